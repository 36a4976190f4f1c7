#include "policy/rollout.h"

#include "base/mem.h"
#include "policy/crdt.h"
#include "policy/sample.h"

#include <math.h>
#include <stdlib.h>

enum
{
  FORMAT = 1,
  EXPOSURE_WRITERS_MAX = 4096,
  /* Fewest answers of the new version for a decision; the variance of fewer
     answers is not estimated well enough.  */
  ANSWERS_MIN = 10,
  /* Number of answers with the prior variance that are added to the measured
     ones.  */
  PRIOR_ANSWERS = 4,
  TASK_NAME_MAX = 256
};

/* For each version, at most this share of all answers of the service is sent
   to the rating service.  */
#define RATING_SHARE_MAX 0.1

typedef struct
{
  double share;
  uint64_t exposure_cap;
  double tolerance[ROLLOUT_METRIC_COUNT];
} step_t;

static const step_t steps[] = {
#define X(symbol, share, cap, rating, error, latency)                         \
  { share, cap, { rating, error, latency } },
  ROLLOUT_STEPS (X)
#undef X
};

static const struct
{
  const char *name;
  double margin;
  double scale;
} metrics[] = {
#define X(symbol, name, margin, scale) { name, margin, scale },
  ROLLOUT_METRICS (X)
#undef X
};

/* The state that decisions and the operator's orders change.  Of two copies
   one is kept whole.  */
typedef struct
{
  uint64_t sequence;
  uint64_t phase;
  uint64_t step;
  /* Number of requests that had been sent to the new version when the step
     began or its cap was last granted.  */
  uint64_t exposure_at_step_start;
  uint64_t metric;    /* Metric that caused a halt.  */
  uint64_t task_hash; /* Hash of the task class that caused a halt; 0 if the
                         test that pools all task classes caused the halt.  */
  uint64_t harm_ppm;  /* Estimated difference at a halt, in millionths; its
                         lower bound is LOWER_PPM.  */
  uint64_t lower_ppm;
} decision_t;

typedef struct
{
  char *name;
  uint64_t hash;
  int keys[ROLLOUT_STEP_COUNT][2]; /* Keys in SAMPLE_CRDT by step and arm.  */
} task_class_t;

struct rollout_run
{
  /* Hash of the version and the start, which separates roll-outs.  */
  uint64_t salt;
  uint64_t first_epoch; /* First epoch that counts: the one before the start,
                           for peers whose clock is behind.  */
  decision_t decision;
  crdt_t *sample_crdt;
  crdt_t *exposure_crdt; /* Number of requests by arm, in one epoch that never
                            ends.  */
  int exposure_keys[2];
  /* The last element collects all task classes for which there is no room.  */
  task_class_t tasks[ROLLOUT_TASK_CLASSES_MAX + 1];
  size_t task_count;
};

static int
arm_key_find_or_add (crdt_t *e, uint64_t hash, uint64_t step,
                     rollout_arm_t arm)
{
  return crdt_key_find_or_add (e, (hash ^ arm) + step * 0x9e3779b97f4a7c15u);
}

static uint64_t
task_class_hash (str_t name)
{
  /* The hash is nonzero, because 0 stands for no task class.  */
  return str_hash (name, 0x7a) | 4;
}

/* Return the task class NAME, created on first use.  If there is no room,
   return the last element, named `other'.  */
static task_class_t *
task_class_find_or_add (rollout_run_t *r, str_t name)
{
  uint64_t hash = task_class_hash (name);

  for (size_t i = 0; i < r->task_count; i++)
    if (r->tasks[i].hash == hash)
      return &r->tasks[i];
  if (r->task_count > ROLLOUT_TASK_CLASSES_MAX)
    return &r->tasks[ROLLOUT_TASK_CLASSES_MAX];
  if (r->task_count == ROLLOUT_TASK_CLASSES_MAX)
    {
      name = STR ("other");
      hash = task_class_hash (name);
    }
  task_class_t *task = &r->tasks[r->task_count++];
  task->name = str_dup (name);
  task->hash = hash;
  for (uint64_t step = 0; step < ROLLOUT_STEP_COUNT; step++)
    for (int arm = ROLLOUT_ARM_OLD; arm <= ROLLOUT_ARM_NEW; arm++)
      task->keys[step][arm] = arm_key_find_or_add (
          r->sample_crdt, r->salt ^ hash, step, (rollout_arm_t)arm);
  return task;
}

rollout_run_t *
rollout_create (uint64_t writer, str_t new_version, uint64_t start_ms)
{
  const crdt_options_t options
      = { .writer = writer,
          .epoch_ms = ROLLOUT_EPOCH_MS,
          .epochs = ROLLOUT_EPOCHS,
          .fields = SAMPLE_FIELD_COUNT,
          .keys_max = 2 * ROLLOUT_STEP_COUNT * (ROLLOUT_TASK_CLASSES_MAX + 1),
          .cells_max = ROLLOUT_CELLS_MAX };
  const crdt_options_t exposure_options
      = { .writer = writer,
          .epoch_ms = UINT64_MAX,
          .epochs = 1,
          .fields = 1,
          .keys_max = 2,
          .cells_max = 2 * EXPOSURE_WRITERS_MAX };
  rollout_run_t *r = mem_zalloc (sizeof *r);

  r->salt = str_hash (new_version, start_ms) & ~(uint64_t)3;
  r->sample_crdt = crdt_create (&options);
  r->first_epoch = crdt_epoch_at (r->sample_crdt, start_ms);
  r->first_epoch -= r->first_epoch > 0;
  r->exposure_crdt = crdt_create (&exposure_options);
  r->exposure_keys[ROLLOUT_ARM_OLD]
      = arm_key_find_or_add (r->exposure_crdt, r->salt, 0, ROLLOUT_ARM_OLD);
  r->exposure_keys[ROLLOUT_ARM_NEW]
      = arm_key_find_or_add (r->exposure_crdt, r->salt, 0, ROLLOUT_ARM_NEW);
  return r;
}

void
rollout_destroy (rollout_run_t *r)
{
  if (r == NULL)
    return;
  for (size_t i = 0; i < r->task_count; i++)
    free (r->tasks[i].name);
  crdt_destroy (r->exposure_crdt);
  crdt_destroy (r->sample_crdt);
  free (r);
}

uint64_t
rollout_exposed_count (const rollout_run_t *r)
{
  const int64_t *sums
      = crdt_sums (r->exposure_crdt, r->exposure_keys[ROLLOUT_ARM_NEW], 0);

  return sums != NULL ? (uint64_t)sums[0] : 0;
}

uint64_t
rollout_exposure_cap (const rollout_run_t *r)
{
  uint64_t step = r->decision.step;

  return step < ROLLOUT_STEP_COUNT
             ? r->decision.exposure_at_step_start + steps[step].exposure_cap
             : UINT64_MAX;
}

double
rollout_share (const rollout_run_t *r)
{
  switch ((rollout_phase_t)r->decision.phase)
    {
    case ROLLOUT_PHASE_COMPLETE:
      return 1;
    /* Each process also enforces the cap, on its merged exposure count,
       because there may be no lease holder to stop the step.  */
    case ROLLOUT_PHASE_RUNNING:
    case ROLLOUT_PHASE_PAUSED:
      if (rollout_exposed_count (r) >= rollout_exposure_cap (r))
        return 0;
      return steps[r->decision.step].share;
    default:
      return 0;
    }
}

bool
rollout_is_assigned (const rollout_run_t *r, uint64_t key)
{
  uint64_t z = key ^ r->salt;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  z ^= z >> 31;
  return (double)(z >> 11) * 0x1.0p-53 < rollout_share (r);
}

double
rollout_rating_share (const rollout_run_t *r, rollout_arm_t arm)
{
  double share = rollout_share (r);

  if (r->decision.phase != ROLLOUT_PHASE_RUNNING
      && r->decision.phase != ROLLOUT_PHASE_PAUSED)
    return 0;
  if (arm == ROLLOUT_ARM_OLD)
    share = 1 - share;
  return share > RATING_SHARE_MAX ? RATING_SHARE_MAX / share : 1;
}

void
rollout_count_exposure (rollout_run_t *r, rollout_arm_t arm, uint64_t now_ms)
{
  const int64_t no_values[SAMPLE_FIELD_COUNT] = { 0 };

  crdt_add (r->exposure_crdt, r->exposure_keys[arm], now_ms, no_values);
}

void
rollout_observe (rollout_run_t *r, rollout_arm_t arm, str_t task,
                 const rollout_sample_t *sample, uint64_t now_ms)
{
  int64_t fields[SAMPLE_FIELD_COUNT];
  uint64_t step = r->decision.step;

  /* Both versions must be measured at the same times and in a constant ratio
     inside a stratum.  Answers of the old version while the new one gets no
     requests would compare different hours.  */
  if (step >= ROLLOUT_STEP_COUNT
      || (arm == ROLLOUT_ARM_OLD && rollout_share (r) <= 0))
    return;
  sample_to_fields (sample, fields);
  crdt_add (r->sample_crdt, task_class_find_or_add (r, task)->keys[step][arm],
            now_ms, fields);
}

/* Sums over the strata for a stratified difference of means.  */
typedef struct
{
  double weight;
  /* Sum of the strata's differences, each times its weight.  */
  double weighted_difference_sum;
  double variance_factor_new; /* Sum over the strata of weight^2 / count of the
                                 new version's answers.  */
  double variance_factor_old; /* Sum over the strata of weight^2 / count of the
                                 old version's answers.  */
  /* Moments of the new version's values, pooled over the strata; deviations
     are from each stratum's mean.  */
  deviation_moments_t pooled_new;
  /* Moments of the old version's values, pooled in the same way.  */
  deviation_moments_t pooled_old;
} stratified_sums_t;

static void
pool_moments (deviation_moments_t *all, const moments_t *m)
{
  all->count += m->count;
  all->sum += m->sum;
  all->squared_deviations
      += fmax (0, m->square_sum - m->sum * m->sum / m->count);
}

static void
stratum_add (stratified_sums_t *s, const moments_t *new, const moments_t *old)
{
  if (new->count < 1 || old->count < 1)
    return;
  double weight = new->count * old->count / (new->count + old->count);
  s->weight += weight;
  s->weighted_difference_sum
      += weight * (new->sum / new->count - old->sum / old->count);
  s->variance_factor_new += weight * weight / new->count;
  s->variance_factor_old += weight * weight / old->count;
  pool_moments (&s->pooled_new, new);
  pool_moments (&s->pooled_old, old);
}

/* Return the estimated variance of a single value of METRIC.  The prior keeps
   a handful of equal values from giving a variance of 0.  */
static double
value_variance (const deviation_moments_t *all, rollout_metric_t metric)
{
  double p;

  switch (metric)
    {
    case ROLLOUT_METRIC_ERROR:
      p = (all->sum + 1) / (all->count + 2);
      return p * (1 - p);
    case ROLLOUT_METRIC_RATING:
      return (all->squared_deviations + PRIOR_ANSWERS / 12.0)
             / (all->count + PRIOR_ANSWERS);
    default:
      return (all->squared_deviations + PRIOR_ANSWERS * 0.25)
             / (all->count + PRIOR_ANSWERS);
    }
}

/* Return the half width, at level ALPHA, of the normal-mixture confidence
   sequence for an estimate with variance VARIANCE and a mixture with
   standard deviation SCALE.  */
static double
confidence_half_width (double variance, double scale, double alpha)
{
  double mixture = scale * scale;
  double log_bound
      = log (1 / alpha) + 0.5 * log ((variance + mixture) / variance);

  return sqrt (2 * variance * (variance + mixture) / mixture * log_bound);
}

static void
strata_add_task_class (const rollout_run_t *r, const task_class_t *task,
                       rollout_metric_t metric, stratified_sums_t *s)
{
  uint64_t last = crdt_last_epoch (r->sample_crdt);
  uint64_t epoch = crdt_first_epoch (r->sample_crdt);

  if (epoch < r->first_epoch)
    epoch = r->first_epoch;
  for (; epoch <= last; epoch++)
    for (uint64_t step = 0; step < ROLLOUT_STEP_COUNT; step++)
      {
        const int *keys = task->keys[step];
        moments_t new = sample_moments (
            crdt_sums (r->sample_crdt, keys[ROLLOUT_ARM_NEW], epoch), metric);
        moments_t old = sample_moments (
            crdt_sums (r->sample_crdt, keys[ROLLOUT_ARM_OLD], epoch), metric);
        stratum_add (s, &new, &old);
      }
}

/* Return the estimate of METRIC for TASK, or pooled over all task classes if
   TASK is NULL.  */
static rollout_estimate_t
estimate_metric (const rollout_run_t *r, rollout_metric_t metric,
                 const task_class_t *task)
{
  uint64_t step = r->decision.step < ROLLOUT_STEP_COUNT
                      ? r->decision.step
                      : ROLLOUT_STEP_COUNT - 1;
  double alpha = ROLLOUT_ALPHA / 2 / ROLLOUT_METRIC_COUNT;
  rollout_estimate_t e = { .lower = -INFINITY,
                           .upper = INFINITY,
                           .margin = metrics[metric].margin,
                           .tolerance = steps[step].tolerance[metric] };
  stratified_sums_t s = { 0 };

  if (task != NULL)
    {
      strata_add_task_class (r, task, metric, &s);
      alpha /= (double)r->task_count;
    }
  else
    for (size_t i = 0; i < r->task_count; i++)
      strata_add_task_class (r, &r->tasks[i], metric, &s);
  e.count_new = (uint64_t)s.pooled_new.count;
  e.count_old = (uint64_t)s.pooled_old.count;
  if (s.weight <= 0)
    return e;
  double variance
      = (s.variance_factor_new * value_variance (&s.pooled_new, metric)
         + s.variance_factor_old * value_variance (&s.pooled_old, metric))
        / (s.weight * s.weight);
  double half_width
      = confidence_half_width (variance, metrics[metric].scale, alpha);
  e.difference = s.weighted_difference_sum / s.weight;
  e.lower = e.difference - half_width;
  e.upper = e.difference + half_width;
  return e;
}

rollout_estimate_t
rollout_estimate (const rollout_run_t *r, rollout_metric_t metric)
{
  return estimate_metric (r, metric, NULL);
}

static void
set_phase (rollout_run_t *r, rollout_phase_t phase)
{
  r->decision.phase = phase;
  r->decision.sequence++;
}

static uint64_t
to_ppm (double value)
{
  return value > 0 ? (uint64_t)(value * 1e6) : 0;
}

/* Halt if the lower confidence bound of METRIC exceeds its margin for TASK, or
   pooled over all task classes if TASK is NULL.  Return whether the roll-out
   was halted.  */
static bool
halt_if_harmful (rollout_run_t *r, rollout_metric_t metric,
                 const task_class_t *task)
{
  rollout_estimate_t e = estimate_metric (r, metric, task);

  if (e.count_new < ANSWERS_MIN || e.lower <= e.margin)
    return false;
  r->decision.metric = metric;
  r->decision.task_hash = task != NULL ? task->hash : 0;
  r->decision.harm_ppm = to_ppm (e.difference);
  r->decision.lower_ppm = to_ppm (e.lower);
  set_phase (r, ROLLOUT_PHASE_HALTED);
  return true;
}

static bool
halt_if_any_harmful (rollout_run_t *r)
{
  for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++)
    {
      if (halt_if_harmful (r, (rollout_metric_t)m, NULL))
        return true;
      for (size_t i = 0; i < r->task_count; i++)
        if (halt_if_harmful (r, (rollout_metric_t)m, &r->tasks[i]))
          return true;
    }
  return false;
}

/* Return whether harm beyond the step's tolerance is excluded for all
   metrics.  */
static bool
is_step_proven (const rollout_run_t *r)
{
  for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++)
    {
      rollout_estimate_t all = estimate_metric (r, (rollout_metric_t)m, NULL);
      if (all.count_new < ANSWERS_MIN || all.upper >= all.tolerance)
        return false;
      for (size_t i = 0; i < r->task_count; i++)
        {
          rollout_estimate_t e
              = estimate_metric (r, (rollout_metric_t)m, &r->tasks[i]);
          if (e.count_new > 0 && e.difference >= e.tolerance)
            return false;
        }
    }
  return true;
}

bool
rollout_decide (rollout_run_t *r, uint64_t now_ms)
{
  rollout_phase_t phase = (rollout_phase_t)r->decision.phase;

  crdt_advance (r->sample_crdt, now_ms);
  if (phase == ROLLOUT_PHASE_HALTED || phase == ROLLOUT_PHASE_ABORTED
      || phase == ROLLOUT_PHASE_COMPLETE)
    return false;
  /* A pause stops the steps, but harm still halts the roll-out.  */
  if (halt_if_any_harmful (r))
    return true;
  if (phase == ROLLOUT_PHASE_PAUSED)
    return false;
  if (is_step_proven (r))
    {
      r->decision.step++;
      r->decision.exposure_at_step_start = rollout_exposed_count (r);
      set_phase (r, r->decision.step == ROLLOUT_STEP_COUNT
                        ? ROLLOUT_PHASE_COMPLETE
                        : ROLLOUT_PHASE_RUNNING);
      return true;
    }
  if (phase == ROLLOUT_PHASE_RUNNING
      && rollout_exposed_count (r) >= rollout_exposure_cap (r))
    {
      set_phase (r, ROLLOUT_PHASE_CAP_REACHED);
      return true;
    }
  return false;
}

bool
rollout_pause (rollout_run_t *r)
{
  if (r->decision.phase != ROLLOUT_PHASE_RUNNING
      && r->decision.phase != ROLLOUT_PHASE_CAP_REACHED)
    return false;
  set_phase (r, ROLLOUT_PHASE_PAUSED);
  return true;
}

bool
rollout_resume (rollout_run_t *r)
{
  if (r->decision.phase != ROLLOUT_PHASE_CAP_REACHED
      && r->decision.phase != ROLLOUT_PHASE_PAUSED)
    return false;
  if (rollout_exposed_count (r) >= rollout_exposure_cap (r))
    r->decision.exposure_at_step_start = rollout_exposed_count (r);
  set_phase (r, ROLLOUT_PHASE_RUNNING);
  return true;
}

bool
rollout_abort (rollout_run_t *r)
{
  if (r->decision.phase == ROLLOUT_PHASE_ABORTED
      || r->decision.phase == ROLLOUT_PHASE_HALTED)
    return false;
  set_phase (r, ROLLOUT_PHASE_ABORTED);
  return true;
}

rollout_phase_t
rollout_phase (const rollout_run_t *r)
{
  return (rollout_phase_t)r->decision.phase;
}

const char *
rollout_phase_name (rollout_phase_t phase)
{
  static const char *const names[]
      = { "running", "starved", "paused", "halted", "aborted", "complete" };

  return names[phase];
}

uint32_t
rollout_step_index (const rollout_run_t *r)
{
  return (uint32_t)r->decision.step;
}

const char *
rollout_metric_name (rollout_metric_t metric)
{
  return metrics[metric].name;
}

static const char *
task_class_name (const rollout_run_t *r, uint64_t hash)
{
  for (size_t i = 0; i < r->task_count; i++)
    if (r->tasks[i].hash == hash)
      return r->tasks[i].name;
  return "an unnamed task class";
}

void
rollout_explain (const rollout_run_t *r, buf_t *out)
{
  const decision_t *d = &r->decision;

  buf_printf (out, "%s", rollout_phase_name ((rollout_phase_t)d->phase));
  if (d->step < ROLLOUT_STEP_COUNT)
    buf_printf (out, " at step %u of %d (%g%%)", (unsigned)d->step + 1,
                ROLLOUT_STEP_COUNT, steps[d->step].share * 100);
  buf_printf (out, ", shown %llu",
              (unsigned long long)rollout_exposed_count (r));
  if (d->phase != ROLLOUT_PHASE_HALTED)
    return;
  buf_printf (out, ": %s worse by %.3g, at least %.3g",
              metrics[d->metric].name, (double)d->harm_ppm / 1e6,
              (double)d->lower_ppm / 1e6);
  if (d->task_hash != 0)
    buf_printf (out, ", for %s", task_class_name (r, d->task_hash));
}

static void
append_length_prefixed (const crdt_t *e, bool own_only, buf_t *out)
{
  buf_t part = BUF_NULL;

  crdt_write (e, own_only, &part);
  crdt_write_varint (out, part.len);
  buf_append_str (out, buf_str (&part));
  buf_free (&part);
}

void
rollout_write (const rollout_run_t *r, bool own_only, buf_t *out)
{
  const decision_t *d = &r->decision;
  const uint64_t values[]
      = { FORMAT,      r->salt,      d->sequence,
          d->phase,    d->step,      d->exposure_at_step_start,
          d->metric,   d->task_hash, d->harm_ppm,
          d->lower_ppm };

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    crdt_write_varint (out, values[i]);
  crdt_write_varint (out, r->task_count);
  for (size_t i = 0; i < r->task_count; i++)
    {
      str_t name = str_from (r->tasks[i].name);
      crdt_write_varint (out, name.len);
      buf_append_str (out, name);
    }
  append_length_prefixed (r->exposure_crdt, own_only, out);
  append_length_prefixed (r->sample_crdt, own_only, out);
}

static bool
read_decision (str_t *rest, decision_t *d)
{
  uint64_t *const values[] = { &d->sequence, &d->phase,
                               &d->step,     &d->exposure_at_step_start,
                               &d->metric,   &d->task_hash,
                               &d->harm_ppm, &d->lower_ppm };

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    if (!crdt_read_varint (rest, values[i]))
      return false;
  return d->phase <= ROLLOUT_PHASE_COMPLETE && d->metric < ROLLOUT_METRIC_COUNT
         && d->step
                <= ROLLOUT_STEP_COUNT - (d->phase != ROLLOUT_PHASE_COMPLETE);
}

/* Return the rank of a phase: of two decisions with the same sequence number,
   the one that sends fewer requests to the new version has the higher
   rank.  */
static int
caution_rank (uint64_t phase)
{
  static const int ranks[] = { 1, 3, 2, 5, 4, 0 };

  return ranks[phase];
}

static bool
supersedes (const decision_t *a, const decision_t *b)
{
  if (a->sequence != b->sequence)
    return a->sequence > b->sequence;
  if (a->phase != b->phase)
    return caution_rank (a->phase) > caution_rank (b->phase);
  if (a->step != b->step)
    return a->step < b->step;
  /* The two decisions differ in nothing that changes routing; any fixed order
     gives all processes the same one.  */
  return memcmp (a, b, sizeof *a) > 0;
}

vh_code_t
rollout_merge (rollout_run_t *r, str_t bytes, uint64_t now_ms)
{
  decision_t decision = { 0 };
  uint64_t format, salt, task_count;
  str_t name, exposure, measurements;

  if (!crdt_read_varint (&bytes, &format) || format != FORMAT
      || !crdt_read_varint (&bytes, &salt) || salt != r->salt
      || !read_decision (&bytes, &decision)
      || !crdt_read_varint (&bytes, &task_count)
      || task_count > ROLLOUT_TASK_CLASSES_MAX + 1)
    return VH_E_PROTOCOL;
  str_t names = bytes;
  for (uint64_t i = 0; i < task_count; i++)
    if (!crdt_read_string (&bytes, &name) || name.len > TASK_NAME_MAX)
      return VH_E_PROTOCOL;
  if (!crdt_read_string (&bytes, &exposure)
      || !crdt_read_string (&bytes, &measurements) || bytes.len != 0)
    return VH_E_PROTOCOL;
  if (!crdt_is_valid (r->sample_crdt, measurements)
      || !crdt_is_valid (r->exposure_crdt, exposure))
    return VH_E_PROTOCOL;
  for (uint64_t i = 0; i < task_count && crdt_read_string (&names, &name); i++)
    task_class_find_or_add (r, name);
  crdt_merge (r->sample_crdt, measurements, now_ms);
  crdt_merge (r->exposure_crdt, exposure, now_ms);
  if (supersedes (&decision, &r->decision))
    r->decision = decision;
  return VH_OK;
}

void
rollout_compact (rollout_run_t *r, uint64_t generation, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (r->sample_crdt, now_ms);
  uint64_t epoch = crdt_first_epoch (r->sample_crdt);

  for (; epoch + 2 <= now_epoch; epoch++)
    crdt_compact (r->sample_crdt, epoch, generation);
}
