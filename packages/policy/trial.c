#include "policy/trial.h"

#include "base/map.h"
#include "base/mem.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  CLOCK_RESOLUTION_MS = 1,
  PROCESS_ID_SIZE = 17, /* 16 hexadecimal digits and NUL.  */
  /* Number of processes whose bad answers are known here.  */
  BAD_ANSWER_PROCESSES_MAX = 4096
};

/* Minimum length of each step, as a part of the time limit.  */
static const double step_length_parts[] = {
#define X(symbol, part) part,
  TRIAL_STEPS (X)
#undef X
};

static const struct
{
  double late_factor;
  double samples_min;
  double stderrs;
  const char *name;
} timings[TRIAL_TIMING_COUNT] = {
#define X(symbol, late, samples, stderrs, name)                               \
  [symbol] = { late, samples, stderrs, name },
  TRIAL_TIMINGS (X)
#undef X
};

typedef struct
{
  trial_sums_t sums[TRIAL_ARM_COUNT][TRIAL_CELL_COUNT];
  trial_likelihoods_t likelihoods[TRIAL_ROUTE_CELLS];
  bool was_sent_by_peer; /* Whether a peer sent the counts; otherwise they were
                            read from the store.  */
  unsigned age_s;
} counts_t;

/* Sums over the old version's times in one load class.  */
typedef struct
{
  double time_count;
  double log_ms_sum; /* Sum of the natural logarithms of the times in ms.  */
} load_times_t;

struct trial
{
  char *service;
  char *version;
  uint64_t order;
  uint64_t time_limit_ms;
  double exposure;
  uint64_t order_seen_ms;
  uint64_t start_ms;
  uint32_t step;
  uint64_t step_start_ms; /* Time from which STEP applies; until then the step
                             before it does.  */
  trial_phase_t phase;
  bool is_final_phase_stored; /* Whether the row in the store holds a final
                                 phase.  */
  counts_t own_counts;
  load_times_t usual_times[TRIAL_TIMING_COUNT][TRIAL_ROUTE_CELLS]
                          [TRIAL_LOAD_CLASSES];
  /* Waits for a first event of the old version that ended without one and were
     not late, of this process.  */
  double old_unanswered;
  map_t *peers;              /* Maps the name of a process to its counts_t.  */
  bool has_unwritten_counts; /* Whether a count changed since the last
                                message.  */
  uint64_t process_id;
  /* Maps the id of a process, in hexadecimal digits, to the number of bad
     answers that it counted, as uint64_t.  */
  map_t *bad_answers;
  uint64_t bad_answers_sum;
  /* Time of the store's clock at which there were last few bad answers, or the
     version was shown to be good.  */
  uint64_t acceptable_ms;
};

trial_t *
trial_create (str_t service, str_t version, uint64_t order,
              uint64_t time_limit_ms, double exposure)
{
  trial_t *trial = mem_zalloc (sizeof *trial);

  trial->service = str_dup (service);
  trial->version = str_dup (version);
  trial->order = order;
  trial->time_limit_ms = time_limit_ms;
  trial->exposure = exposure;
  trial->peers = map_create ();
  trial->bad_answers = map_create ();
  return trial;
}

static void
free_map (map_t *map)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (map, &cursor, &key, &value))
    free (value);
  map_destroy (map);
}

void
trial_destroy (trial_t *trial)
{
  if (trial == NULL)
    return;
  free_map (trial->peers);
  free_map (trial->bad_answers);
  free (trial->service);
  free (trial->version);
  free (trial);
}

str_t
trial_version (const trial_t *trial)
{
  return str_from (trial->version);
}

uint64_t
trial_order (const trial_t *trial)
{
  return trial->order;
}

void
trial_set_order (trial_t *trial, uint64_t order)
{
  trial->order = order;
}

uint64_t
trial_time_limit_ms (const trial_t *trial)
{
  return trial->time_limit_ms;
}

trial_phase_t
trial_phase (const trial_t *trial)
{
  return trial->phase;
}

const char *
trial_phase_name (trial_phase_t phase)
{
  static const char *const names[] = { "running", "done", "rolled-back" };

  return names[phase];
}

void
trial_set_phase (trial_t *trial, trial_phase_t phase)
{
  trial->phase = phase;
}

void
trial_set_final_phase_stored (trial_t *trial, bool is_final_phase_stored)
{
  trial->is_final_phase_stored = is_final_phase_stored;
}

bool
trial_is_final_phase_stored (const trial_t *trial)
{
  return trial->is_final_phase_stored;
}

void
trial_set_progress (trial_t *trial, uint64_t start_ms, uint32_t step,
                    uint64_t step_start_ms)
{
  trial->start_ms = start_ms;
  trial->step = step < TRIAL_STEP_COUNT ? step : TRIAL_STEP_COUNT - 1;
  trial->step_start_ms = step_start_ms;
}

void
trial_set_order_seen_ms (trial_t *trial, uint64_t order_seen_ms)
{
  trial->order_seen_ms = order_seen_ms;
}

uint64_t
trial_order_seen_ms (const trial_t *trial)
{
  return trial->order_seen_ms;
}

uint64_t
trial_start_ms (const trial_t *trial)
{
  return trial->start_ms;
}

uint32_t
trial_step (const trial_t *trial)
{
  return trial->step;
}

uint64_t
trial_step_start_ms (const trial_t *trial)
{
  return trial->step_start_ms;
}

/* Return the time at which the version is to be declared good, so that the
   operators read the result within the time limit.  */
static double
finish_time_ms (const trial_t *trial)
{
  return (double)trial->start_ms + (double)trial->time_limit_ms
         - TRIAL_FINISH_LEAD_MS;
}

static double
initial_share (const trial_t *trial)
{
  return fmin (trial->exposure * TRIAL_INITIAL_EXPOSURE_PART, TRIAL_SHARE_MAX);
}

/* Return the share in TRIAL_STEP_INCREASED.  Of the part
   TRIAL_STEPS_EXPOSURE_PART of the operators' bound, the requests of the
   initial step, which starts at half the time limit, and the requests after
   the finish are subtracted; the rest is spread over the time up to the
   finish.  The share is at least that of the initial step and at most
   TRIAL_SHARE_MAX.  */
static double
increased_share (const trial_t *trial)
{
  double first = initial_share (trial);
  double time_limit_ms = (double)trial->time_limit_ms;
  double step_start_ms = (double)trial->step_start_ms;
  double share_start_ms
      = (double)trial->start_ms
        + time_limit_ms * step_length_parts[TRIAL_STEP_NO_TRAFFIC];
  double left_ms = trial->exposure * TRIAL_STEPS_EXPOSURE_PART * time_limit_ms
                   - TRIAL_FINISH_LEAD_MS
                   - first * fmax (step_start_ms - share_start_ms, 0);
  double increased_step_ms = finish_time_ms (trial) - step_start_ms;

  if (increased_step_ms <= 0)
    return TRIAL_SHARE_MAX;
  return fmin (fmax (left_ms / increased_step_ms, first), TRIAL_SHARE_MAX);
}

double
trial_share (const trial_t *trial, uint64_t now_ms)
{
  uint32_t step = trial->step;

  if (trial->phase != TRIAL_PHASE_RUNNING)
    return trial->phase == TRIAL_PHASE_DONE ? 1 : 0;
  if (step > TRIAL_STEP_NO_TRAFFIC && now_ms < trial->step_start_ms)
    step--;
  if (trial->start_ms == 0 || step == TRIAL_STEP_NO_TRAFFIC)
    return 0;
  return step == TRIAL_STEP_INITIAL ? initial_share (trial)
                                    : increased_share (trial);
}

bool
trial_is_assigned (const trial_t *trial, uint64_t key, uint64_t now_ms)
{
  return (double)(key >> 11) * 0x1.0p-53 < trial_share (trial, now_ms);
}

trial_arm_t
trial_choose_arm (const trial_t *trial, uint64_t key, uint64_t now_ms,
                  const trial_send_history_t *history)
{
  if (history->failed_on_new)
    return TRIAL_ARM_OLD;
  if (history->was_sent)
    return history->arm;
  return trial_is_assigned (trial, key, now_ms) ? TRIAL_ARM_NEW
                                                : TRIAL_ARM_OLD;
}

/* Return the share of the old version's COUNT answers that FAILED, with a
   prior of twenty answers of which one failed.  When all requests go to the
   new version the old one has no answers; its share must then neither be taken
   for exact nor hide a bad version.  */
static double
old_failure_share (double failed, double count)
{
  return (failed + 1) / (count + 20);
}

static void
sums_add (trial_sums_t *to, const trial_sums_t *from)
{
#define X(field, decimals, decay) to->field += from->field;
  TRIAL_SUMS (X)
#undef X
  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    {
      to->timing_count[timing] += from->timing_count[timing];
      to->late_count[timing] += from->late_count[timing];
    }
}

/* Return the sum of COUNTS over the routes.  */
static trial_sums_t
sums_of_routes (const counts_t *counts, trial_arm_t arm)
{
  trial_sums_t sums = { 0 };

  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    sums_add (&sums, &counts->sums[arm][cell]);
  return sums;
}

/* Return the share of the old version's answers in SUMS that failed, with a
   weight of TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT for lost connections.  */
static double
old_advance_failure_share (const trial_sums_t *sums)
{
  double extra = sums->lost_connections
                 * (TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT
                    - TRIAL_LOST_CONNECTION_WEIGHT);

  return old_failure_share (sums->failed + extra, sums->count + extra);
}

/* Add to AGAINST the logarithm of the likelihood ratio of an event of the new
   version, such as a failed answer, that the old version has in OLD_SHARE of
   the cases; to IN_FAVOR that of a case without the event.  */
static void
add_likelihood (double old_share, bool has_event, double *against,
                double *in_favor)
{
  double good = old_share + (1 - old_share) * TRIAL_GOOD_SHARE;
  double bad = old_share + (1 - old_share) * TRIAL_BAD_SHARE;

  if (has_event)
    *against += log (bad / good);
  else
    *in_favor += log ((1 - good) / (1 - bad));
}

/* Weigh OUTCOME of the new version in CELL against the old version's
   answers.  */
static void
weigh_outcome (trial_t *trial, size_t cell, trial_outcome_t outcome)
{
  trial_likelihoods_t *likelihoods = &trial->own_counts.likelihoods[cell];
  trial_sums_t old = trial->own_counts.sums[TRIAL_ARM_OLD][cell];

  if (old.count < TRIAL_ANSWERS_MIN)
    old = sums_of_routes (&trial->own_counts, TRIAL_ARM_OLD);
  add_likelihood (old_advance_failure_share (&old),
                  outcome != TRIAL_OUTCOME_ANSWERED,
                  outcome == TRIAL_OUTCOME_CONNECTION_LOST
                      ? &likelihoods->losses_against
                      : &likelihoods->failures_against,
                  &likelihoods->failures_for);
}

/* Weigh a time of the new version in CELL, or a wait that ended without an
   event, against the old version's times of the same kind.  */
static void
weigh_time (trial_t *trial, size_t cell, trial_timing_t timing,
            bool is_late_or_unanswered)
{
  trial_likelihoods_t *likelihoods = &trial->own_counts.likelihoods[cell];
  trial_sums_t old = sums_of_routes (&trial->own_counts, TRIAL_ARM_OLD);
  double unanswered
      = timing == TRIAL_TIMING_FIRST_EVENT ? trial->old_unanswered : 0;

  add_likelihood (old_failure_share (old.late_count[timing] + unanswered,
                                     old.timing_count[timing] + unanswered),
                  is_late_or_unanswered, &likelihoods->times_against,
                  &likelihoods->times_for);
}

/* Raise the number of bad answers that process ID counted to COUNT.  A number
   never falls, so that messages may arrive in any order.  */
static void
raise_bad_answers (trial_t *trial, str_t id, uint64_t count)
{
  uint64_t *known = map_get (trial->bad_answers, id);

  if (known == NULL
      && map_size (trial->bad_answers) >= BAD_ANSWER_PROCESSES_MAX)
    return;
  if (known == NULL)
    {
      known = mem_zalloc (sizeof *known);
      map_put (trial->bad_answers, id, known);
    }
  if (count <= *known)
    return;
  trial->bad_answers_sum += count - *known;
  *known = count;
}

void
trial_set_process_id (trial_t *trial, uint64_t process_id)
{
  trial->process_id = process_id;
}

void
trial_count_bad_answer (trial_t *trial)
{
  char id[PROCESS_ID_SIZE];

  snprintf (id, sizeof id, "%" PRIx64, trial->process_id);
  const uint64_t *known = map_get (trial->bad_answers, str_from (id));
  raise_bad_answers (trial, str_from (id), known != NULL ? *known + 1 : 1);
  trial->has_unwritten_counts = true;
}

uint64_t
trial_bad_answers (const trial_t *trial)
{
  return trial->bad_answers_sum;
}

void
trial_count_request (trial_t *trial, uint64_t route)
{
  trial->own_counts.likelihoods[route % TRIAL_ROUTE_CELLS].requests++;
}

static void
sums_add_outcome (trial_sums_t *sums, trial_outcome_t outcome)
{
  double answer_weight = outcome == TRIAL_OUTCOME_CONNECTION_LOST
                             ? TRIAL_LOST_CONNECTION_WEIGHT
                             : 1;

  sums->count += answer_weight;
  if (outcome != TRIAL_OUTCOME_ANSWERED)
    sums->failed += answer_weight;
  if (outcome == TRIAL_OUTCOME_CONNECTION_LOST)
    {
      sums->lost_connections += 1;
      return;
    }
  sums->total_count += 1;
  if (outcome == TRIAL_OUTCOME_FAILED)
    sums->total_failed += 1;
}

void
trial_observe (trial_t *trial, trial_arm_t arm, uint64_t route,
               trial_outcome_t outcome, uint64_t wait_ms, bool is_loaded)
{
  trial_sums_t *sums = &trial->own_counts.sums[arm][route % TRIAL_ROUTE_CELLS];
  trial_sums_t *loaded = &trial->own_counts.sums[arm][TRIAL_ROUTE_CELLS];

  if (is_loaded)
    sums_add_outcome (loaded, outcome);
  sums_add_outcome (sums, outcome);
  if (arm == TRIAL_ARM_NEW)
    weigh_outcome (trial, route % TRIAL_ROUTE_CELLS, outcome);
  if (wait_ms > 0)
    {
      double log_wait = log ((double)wait_ms);
      sums->first_events += 1;
      sums->log_wait_sum += log_wait;
      sums->log_wait_square_sum += log_wait * log_wait;
    }
  trial->has_unwritten_counts = true;
}

/* Return the class of LOAD: its number of binary digits, at most the last
   class.  */
static size_t
load_class (uint32_t load)
{
  size_t class = 0;

  while (load > 0 && class < TRIAL_LOAD_CLASSES - 1)
    {
      load >>= 1;
      class ++;
    }
  return class;
}

/* Return the geometric mean of the old version's times at load CLASS.  If that
   class has too few samples, return the mean of the next higher class that has
   enough, which is no shorter; 0 if there is none.  */
static double
usual_time_ms (const load_times_t *loads, size_t class)
{
  for (; class < TRIAL_LOAD_CLASSES; class ++)
    if (loads[class].time_count >= TRIAL_ANSWERS_MIN)
      return exp (loads[class].log_ms_sum / loads[class].time_count);
  return 0;
}

/* Return the usual times with which times for TIMING in CELL are compared.
   Gaps between events of all routes are compared together, because all
   requests of a batch receive tokens at the same rate.  Times to the first
   event are compared by route.  */
static load_times_t *
usual_times (trial_t *trial, trial_timing_t timing, size_t cell)
{
  return trial
      ->usual_times[timing][timing == TRIAL_TIMING_EVENT_GAP ? 0 : cell];
}

/* Return whether MS ms for TIMING are late, compared with USUAL_MS, 0 if it is
   not known.  */
static bool
is_late_time (trial_timing_t timing, double ms, double usual_ms)
{
  return usual_ms > 0 && ms > usual_ms * timings[timing].late_factor;
}

/* Return whether a first event of ARM after MS ms may be late because the
   version's instances have no prompts in their caches yet.  */
static bool
is_warming_up (const trial_t *trial, trial_arm_t arm, trial_timing_t timing,
               double ms, uint64_t now_ms)
{
  return arm == TRIAL_ARM_NEW && timing == TRIAL_TIMING_FIRST_EVENT
         && trial->step == TRIAL_STEP_INITIAL
         && now_ms < trial->step_start_ms + TRIAL_WARM_UP_MS + (uint64_t)ms;
}

/* Count a time for TIMING of ARM in CELL.  */
static void
count_time (trial_t *trial, trial_arm_t arm, size_t cell,
            trial_timing_t timing, bool is_late)
{
  trial_sums_t *sums = &trial->own_counts.sums[arm][cell];

  sums->timing_count[timing] += 1;
  sums->late_count[timing] += is_late;
  if (arm == TRIAL_ARM_NEW)
    weigh_time (trial, cell, timing, is_late);
  trial->has_unwritten_counts = true;
}

bool
trial_observe_timing (trial_t *trial, trial_arm_t arm, uint64_t route,
                      trial_timing_t timing, uint32_t load, double ms,
                      uint64_t now_ms)
{
  size_t cell = route % TRIAL_ROUTE_CELLS;
  size_t class = load_class (load);
  load_times_t *loads = usual_times (trial, timing, cell);
  double usual_ms = usual_time_ms (loads, class);

  if (timing == TRIAL_TIMING_FIRST_EVENT)
    ms = fmax (ms, CLOCK_RESOLUTION_MS);
  if (ms <= 0)
    return false;
  bool is_late = is_late_time (timing, ms, usual_ms);
  if (usual_ms > 0 && !is_warming_up (trial, arm, timing, ms, now_ms))
    count_time (trial, arm, cell, timing, is_late);
  if (arm == TRIAL_ARM_OLD)
    {
      loads[class].time_count += 1;
      loads[class].log_ms_sum += log (ms);
    }
  return is_late;
}

bool
trial_observe_unanswered (trial_t *trial, trial_arm_t arm, uint64_t route,
                          uint32_t load, double ms, uint64_t now_ms)
{
  const trial_timing_t timing = TRIAL_TIMING_FIRST_EVENT;
  size_t cell = route % TRIAL_ROUTE_CELLS;
  const load_times_t *loads = usual_times (trial, timing, cell);

  if (is_warming_up (trial, arm, timing, ms, now_ms))
    return false;
  if (is_late_time (timing, ms, usual_time_ms (loads, load_class (load))))
    {
      count_time (trial, arm, cell, timing, true);
      return true;
    }
  if (arm == TRIAL_ARM_OLD)
    trial->old_unanswered++;
  else
    weigh_time (trial, cell, timing, true);
  return false;
}

static void
sums_decay (trial_sums_t *sums)
{
#define X(field, decimals, decay) sums->field *= (decay);
  TRIAL_SUMS (X)
#undef X
  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    {
      sums->timing_count[timing] *= TRIAL_TIMING_DECAY_PER_S;
      sums->late_count[timing] *= TRIAL_TIMING_DECAY_PER_S;
    }
}

static void
likelihoods_decay (trial_likelihoods_t *likelihoods)
{
#define X(field, decimals, decay) likelihoods->field *= (decay);
  TRIAL_LIKELIHOODS (X)
#undef X
}

static void
likelihoods_add (trial_likelihoods_t *to, const trial_likelihoods_t *from)
{
#define X(field, decimals, decay) to->field += from->field;
  TRIAL_LIKELIHOODS (X)
#undef X
}

static void
counts_decay (counts_t *counts)
{
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    likelihoods_decay (&counts->likelihoods[cell]);
  for (size_t arm = 0; arm < TRIAL_ARM_COUNT; arm++)
    for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
      sums_decay (&counts->sums[arm][cell]);
}

void
trial_decay (trial_t *trial)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  counts_decay (&trial->own_counts);
  trial->old_unanswered *= TRIAL_TIMING_DECAY_PER_S;
  load_times_t *usual_times = &trial->usual_times[0][0][0];
  for (size_t i = 0;
       i < (size_t)TRIAL_TIMING_COUNT * TRIAL_ROUTE_CELLS * TRIAL_LOAD_CLASSES;
       i++)
    {
      usual_times[i].time_count *= TRIAL_DECAY_PER_S;
      usual_times[i].log_ms_sum *= TRIAL_DECAY_PER_S;
    }
  while (map_next (trial->peers, &cursor, &key, &value))
    {
      counts_decay (value);
      ((counts_t *)value)->age_s++;
    }
}

bool
trial_has_unwritten_counts (const trial_t *trial)
{
  return trial->has_unwritten_counts;
}

/* Return the sum of this process's counts and those of its peers; with
   SENT_ONLY, only of peers that send to this process.  */
static counts_t
total_counts (const trial_t *trial, bool sent_only)
{
  counts_t all = trial->own_counts;
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (trial->peers, &cursor, &key, &value))
    {
      const counts_t *peer = value;
      if (peer->age_s > TRIAL_PEER_EXPIRY_S
          || (sent_only && !peer->was_sent_by_peer))
        continue;
      for (size_t arm = 0; arm < TRIAL_ARM_COUNT; arm++)
        for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
          sums_add (&all.sums[arm][cell], &peer->sums[arm][cell]);
      for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
        likelihoods_add (&all.likelihoods[cell], &peer->likelihoods[cell]);
    }
  return all;
}

void
trial_describe (const trial_t *trial, trial_arm_t arm, buf_t *out)
{
  counts_t all = total_counts (trial, false);
  trial_sums_t sums = sums_of_routes (&all, arm);

  buf_printf (out, "%.0f failed of %.0f, %.0f lost; %.0f of %.0f in all",
              sums.failed, sums.count, sums.lost_connections,
              sums.total_failed, sums.total_count);
  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    buf_printf (out, "; late %s %.0f of %.0f", timings[timing].name,
                sums.late_count[timing], sums.timing_count[timing]);
}

/* The message is one line: the order's number, then the sums, then what older
   processes do not read: the logarithms of likelihood ratios, and
   PROCESS=COUNT for the bad answers of each process.  */
/* Append the bad answers of this process to OUT; with ALL, of all
   processes.  */
static void
write_bad_answers (const trial_t *trial, bool all, buf_t *out)
{
  char own_id[PROCESS_ID_SIZE];
  size_t cursor = 0;
  str_t id;
  void *value;

  snprintf (own_id, sizeof own_id, "%" PRIx64, trial->process_id);
  while (map_next (trial->bad_answers, &cursor, &id, &value))
    if (all || str_eq (id, str_from (own_id)))
      buf_printf (out, " %.*s=%" PRIu64, STR_ARG (id),
                  *(const uint64_t *)value);
}

void
trial_write (trial_t *trial, bool all, buf_t *out)
{
  const counts_t counts = all ? total_counts (trial, true) : trial->own_counts;

  buf_printf (out, "%llu", (unsigned long long)trial->order);
  for (size_t arm = 0; arm < TRIAL_ARM_COUNT; arm++)
    for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
      {
        const trial_sums_t *sums = &counts.sums[arm][cell];
#define X(field, decimals, decay)                                             \
  buf_printf (out, " %.*f", decimals, sums->field);
        TRIAL_SUMS (X)
#undef X
        for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
          buf_printf (out, " %.2f %.2f", sums->timing_count[timing],
                      sums->late_count[timing]);
      }
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    {
      const trial_likelihoods_t *likelihoods = &counts.likelihoods[cell];
#define X(field, decimals, decay)                                             \
  buf_printf (out, " %.*f", decimals, likelihoods->field);
      TRIAL_LIKELIHOODS (X)
#undef X
    }
  write_bad_answers (trial, all, out);
  trial->has_unwritten_counts = false;
}

/* Read the next number of *REST into *VALUE.  Return false unless it is finite
   and not negative.  */
static bool
read_number (str_t *rest, double *value)
{
  if (rest->ptr == NULL)
    return false;
  str_t word = str_cut (*rest, ' ', rest);
  return str_to_double (word, value) && isfinite (*value) && *value >= 0;
}

/* Read the logarithms of likelihood ratios from *REST, which is empty in the
   message of an older process.  */
static vh_code_t
read_likelihoods (str_t *rest, trial_likelihoods_t *cells)
{
  if (rest->ptr == NULL)
    return VH_OK;
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    {
      trial_likelihoods_t *likelihoods = &cells[cell];
#define X(field, decimals, decay)                                             \
  if (!read_number (rest, &likelihoods->field))                               \
    return VH_E_PROTOCOL;
      TRIAL_LIKELIHOODS (X)
#undef X
    }
  return VH_OK;
}

/* Take the bad answers of processes from TEXT, the rest of a message.  */
static vh_code_t
read_bad_answers (trial_t *trial, str_t text)
{
  while (text.ptr != NULL && text.len > 0)
    {
      str_t count_text;
      uint64_t count;
      str_t id = str_cut (str_cut (text, ' ', &text), '=', &count_text);
      if (id.len == 0 || id.len >= PROCESS_ID_SIZE || count_text.ptr == NULL
          || !str_to_u64 (count_text, &count))
        return VH_E_PROTOCOL;
      raise_bad_answers (trial, id, count);
    }
  return VH_OK;
}

vh_code_t
trial_merge_bad_answers (trial_t *trial, str_t text)
{
  const size_t sums_count
      = (size_t)TRIAL_ARM_COUNT * TRIAL_CELL_COUNT
            * (sizeof (trial_sums_t) / sizeof (double))
        + TRIAL_ROUTE_CELLS * (sizeof (trial_likelihoods_t) / sizeof (double));
  uint64_t order;

  if (!str_to_u64 (str_cut (text, ' ', &text), &order))
    return VH_E_PROTOCOL;
  if (order != trial->order)
    return VH_OK;
  for (size_t i = 0; i < sums_count && text.ptr != NULL; i++)
    str_cut (text, ' ', &text);
  return read_bad_answers (trial, text);
}

vh_code_t
trial_merge (trial_t *trial, str_t process, bool was_sent_by_peer, str_t text)
{
  counts_t received = { .was_sent_by_peer = was_sent_by_peer };
  uint64_t order;

  if (!str_to_u64 (str_cut (text, ' ', &text), &order))
    return VH_E_PROTOCOL;
  if (order != trial->order)
    return VH_OK;
  for (size_t arm = 0; arm < TRIAL_ARM_COUNT; arm++)
    for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
      {
        trial_sums_t *sums = &received.sums[arm][cell];
#define X(field, decimals, decay)                                             \
  if (!read_number (&text, &sums->field))                                     \
    return VH_E_PROTOCOL;
        TRIAL_SUMS (X)
#undef X
        for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
          if (!read_number (&text, &sums->timing_count[timing])
              || !read_number (&text, &sums->late_count[timing]))
            return VH_E_PROTOCOL;
      }
  if (read_likelihoods (&text, received.likelihoods) != VH_OK
      || read_bad_answers (trial, text) != VH_OK)
    return VH_E_PROTOCOL;
  counts_t *peer = map_get (trial->peers, process);
  if (peer == NULL)
    {
      peer = mem_alloc (sizeof *peer);
      map_put (trial->peers, process, peer);
    }
  *peer = received;
  if (was_sent_by_peer)
    trial->has_unwritten_counts = true;
  return VH_OK;
}

/* Return whether the new version's share of failed answers exceeds the old
   one's by EXCESS_MIN of the old version's good answers, since only those can
   show failures of the new one, and by STDERRS standard errors.  */
static bool
has_share_excess (double old_failed, double old_count, double new_failed,
                  double new_count, double excess_min, double stderrs)
{
  double old_share = old_failure_share (old_failed, old_count);
  double excess = new_failed / new_count - old_share;
  double pooled = (new_failed + old_failed + 1) / (new_count + old_count + 2);
  double std_error
      = sqrt (pooled * (1 - pooled) * (1 / new_count + 1 / (old_count + 1)));
  return excess > excess_min * (1 - old_share) && excess > stderrs * std_error;
}

/* Return the share of SUMS that failed, with a weight of
   TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT for lost connections.  */
static double
advance_failure_share (const trial_sums_t *sums)
{
  double extra = sums->lost_connections
                 * (TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT
                    - TRIAL_LOST_CONNECTION_WEIGHT);

  return (sums->failed + extra) / (sums->count + extra);
}

/* Return whether a step that has lasted IN_STEP_MS, with a minimum length of
   STEP_MIN_MS, may advance.  An excess of late answers of at least STDERRS
   standard errors prevents the advance.  */
static bool
is_ready_to_advance (const trial_sums_t *old, const trial_sums_t *new,
                     double in_step_ms, double step_min_ms, double stderrs)
{
  if (new->count < TRIAL_ADVANCE_ANSWERS_MIN)
    return in_step_ms >= TRIAL_STEP_TIMEOUT_FACTOR * step_min_ms;
  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    if (new->timing_count[timing] > 0
        && has_share_excess (
            old->late_count[timing], old->timing_count[timing],
            new->late_count[timing], new->timing_count[timing],
            TRIAL_HOLD_LATE_EXCESS, stderrs))
      return false;
  double old_share = old_failure_share (old->failed, old->count);
  return advance_failure_share (new) - old_share
         <= TRIAL_ADVANCE_EXCESS * (1 - old_share);
}

/* Return the sum of the logarithms of likelihood ratios in COUNTS.  */
static trial_likelihoods_t
likelihoods_of_routes (const counts_t *counts)
{
  trial_likelihoods_t sums = { 0 };

  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    likelihoods_add (&sums, &counts->likelihoods[cell]);
  return sums;
}

/* Return the logarithm of the likelihood ratio, good against bad, of the
   outcomes in LIKELIHOODS, with LOSS_WEIGHT for lost connections.  */
static double
outcome_log_ratio (const trial_likelihoods_t *likelihoods, double loss_weight)
{
  return likelihoods->failures_for - likelihoods->failures_against
         - loss_weight * likelihoods->losses_against;
}

/* Return whether the answers in COUNTS show that the version is good.  */
static bool
is_shown_good (const counts_t *counts)
{
  trial_likelihoods_t all = likelihoods_of_routes (counts);
  trial_sums_t old = sums_of_routes (counts, TRIAL_ARM_OLD);
  bool has_times = false;

  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    has_times |= old.timing_count[timing] > 0;
  if (outcome_log_ratio (&all, TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT)
          < TRIAL_GOOD_LOG_RATIO
      || (has_times
          && all.times_for - all.times_against < TRIAL_GOOD_LOG_RATIO))
    return false;
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    {
      const trial_likelihoods_t *likelihoods = &counts->likelihoods[cell];
      if (likelihoods->requests >= TRIAL_BUSY_REQUESTS
          && outcome_log_ratio (likelihoods, TRIAL_LOST_CONNECTION_WEIGHT)
                 < TRIAL_GOOD_CELL_LOG_RATIO)
        return false;
    }
  return true;
}

/* Return whether COUNTS do not suffice to declare the version good, which the
   requests of a service that is not busy cannot tell.  */
static bool
lacks_evidence_of_good (const counts_t *counts)
{
  trial_sums_t old = sums_of_routes (counts, TRIAL_ARM_OLD);

  return likelihoods_of_routes (counts).requests >= TRIAL_BUSY_REQUESTS
         && (old_advance_failure_share (&old) > TRIAL_OLD_FAILURES_MAX
             || !is_shown_good (counts));
}

/* Return whether the counts of one cell since the start do not suffice to
   declare the new version good: its share of failed answers exceeds the old
   version's by TRIAL_FINAL_EXCESS and by TRIAL_FINAL_STDERRS standard errors,
   or it has hardly any answers although the old version has many.  Sums over
   all cells may show neither.  */
static bool
is_cell_inconclusive (const trial_sums_t *old, const trial_sums_t *new)
{
  if (new->total_count < TRIAL_ADVANCE_ANSWERS_MIN)
    return new->total_count < TRIAL_BUSY_CELL_NEW_MIN
           && old->total_count >= TRIAL_BUSY_CELL_ANSWERS;
  return has_share_excess (old->total_failed, old->total_count,
                           new->total_failed, new->total_count,
                           TRIAL_FINAL_EXCESS, TRIAL_FINAL_STDERRS);
}

/* Return whether the new version's mean time to the first event exceeds
   TRIAL_FIRST_EVENT_RATIO times the old version's.  */
static bool
has_slow_first_events (const trial_sums_t *old, const trial_sums_t *new)
{
  if (new->first_events < TRIAL_ANSWERS_MIN
      || old->first_events < TRIAL_ANSWERS_MIN)
    return false;
  double mean_new = new->log_wait_sum / new->first_events;
  double mean_old = old->log_wait_sum / old->first_events;
  double var_new
      = new->log_wait_square_sum / new->first_events - mean_new *mean_new;
  double var_old
      = old->log_wait_square_sum / old->first_events - mean_old * mean_old;
  double std_error = sqrt (fmax (var_new, 0.05) / new->first_events
                           + fmax (var_old, 0.05) / old->first_events);
  return mean_new - mean_old > log (TRIAL_FIRST_EVENT_RATIO)
         && mean_new - mean_old > log (TRIAL_FIRST_EVENT_RATIO) / 2
                                      + TRIAL_FAILURE_STDERRS * std_error;
}

/* Return whether the sums of one cell show that the new version is bad; if so,
   append the reason to REASON.  */
static bool
is_version_bad (const trial_sums_t *old, const trial_sums_t *new,
                buf_t *reason)
{
  if (new->count >= TRIAL_ANSWERS_MIN
      && has_share_excess (old->failed, old->count, new->failed, new->count,
                           TRIAL_FAILURE_EXCESS, TRIAL_FAILURE_STDERRS))
    {
      buf_printf (
          reason,
          "failed answers: %.0f of %.0f; of the old version: %.0f of %.0f",
          new->failed, new->count, old->failed, old->count);
      return true;
    }
  if (has_slow_first_events (old, new))
    {
      buf_printf (
          reason,
          "time to the first event: %.0f ms; of the old version: %.0f ms",
          exp (new->log_wait_sum / new->first_events),
          exp (old->log_wait_sum / old->first_events));
      return true;
    }
  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    if (new->timing_count[timing] >= timings[timing].samples_min
        && has_share_excess (
            old->late_count[timing], old->timing_count[timing],
            new->late_count[timing], new->timing_count[timing],
            TRIAL_LATE_EXCESS, timings[timing].stderrs))
      {
        buf_printf (reason,
                    "late %s: %.0f of %.0f; of the old version: %.0f of %.0f",
                    timings[timing].name, new->late_count[timing],
                    new->timing_count[timing], old->late_count[timing],
                    old->timing_count[timing]);
        return true;
      }
  return false;
}

/* Return whether the version has given so many bad answers, and for so long
   not been shown to be good, that it must go, whether or not the old version
   is better.  */
static bool
has_too_many_bad_answers (trial_t *trial, const counts_t *counts,
                          uint64_t now_ms)
{
  if (trial->bad_answers_sum < TRIAL_BAD_ANSWERS_MAX || is_shown_good (counts)
      || now_ms < trial->acceptable_ms)
    trial->acceptable_ms = now_ms;
  return now_ms - trial->acceptable_ms >= TRIAL_BAD_ANSWERS_WAIT_MS;
}

trial_decision_t
trial_decide (trial_t *trial, uint64_t now_ms, bool is_store_down,
              buf_t *reason)
{
  counts_t all = total_counts (trial, false);
  const trial_sums_t old = sums_of_routes (&all, TRIAL_ARM_OLD);
  const trial_sums_t new = sums_of_routes (&all, TRIAL_ARM_NEW);
  bool has_inconclusive_cell = false;

  if (trial->phase != TRIAL_PHASE_RUNNING || trial->start_ms == 0)
    return TRIAL_DECISION_WAIT;
  for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
    {
      if (is_version_bad (&all.sums[TRIAL_ARM_OLD][cell],
                          &all.sums[TRIAL_ARM_NEW][cell], reason))
        return TRIAL_DECISION_ROLL_BACK;
      has_inconclusive_cell |= is_cell_inconclusive (
          &all.sums[TRIAL_ARM_OLD][cell], &all.sums[TRIAL_ARM_NEW][cell]);
    }
  if (is_version_bad (&old, &new, reason))
    return TRIAL_DECISION_ROLL_BACK;
  if (has_too_many_bad_answers (trial, &all, now_ms))
    {
      buf_printf (reason,
                  "%" PRIu64
                  " bad answers, and not shown to be as good as the "
                  "old version",
                  trial->bad_answers_sum);
      return TRIAL_DECISION_ROLL_BACK;
    }
  double time_limit_ms = (double)trial->time_limit_ms;
  double step_min_ms = step_length_parts[trial->step] * time_limit_ms;
  /* The initial step applies from half the time limit on and is written
     TRIAL_STEP_NOTICE_MS before.  */
  if (trial->step == TRIAL_STEP_NO_TRAFFIC)
    step_min_ms -= TRIAL_STEP_NOTICE_MS;
  if (step_min_ms < TRIAL_STEP_MS_MIN)
    step_min_ms = TRIAL_STEP_MS_MIN;
  double in_step_ms = now_ms > trial->step_start_ms
                          ? (double)(now_ms - trial->step_start_ms)
                          : 0;
  if (is_store_down || in_step_ms < step_min_ms)
    return TRIAL_DECISION_WAIT;
  bool is_due = (double)now_ms >= finish_time_ms (trial);
  bool is_last_step = trial->step + 1 == TRIAL_STEP_COUNT;
  bool is_busy = likelihoods_of_routes (&all).requests >= TRIAL_BUSY_REQUESTS;
  /* Before the finish is due missing evidence does not hold the version back,
     because further answers may still bring it.  */
  bool is_held_back
      = (is_due && has_inconclusive_cell)
        || (is_due && is_last_step && lacks_evidence_of_good (&all))
        || !is_ready_to_advance (&old, &new, in_step_ms, step_min_ms,
                                 is_due ? TRIAL_FINAL_HOLD_STDERRS
                                        : TRIAL_HOLD_STDERRS);
  if (trial->step > TRIAL_STEP_NO_TRAFFIC && is_held_back)
    {
      if ((new.count < TRIAL_ADVANCE_ANSWERS_MIN && !is_busy)
          || (double)now_ms + TRIAL_ROLLBACK_LEAD_MS
                 < (double)trial->start_ms + time_limit_ms)
        return TRIAL_DECISION_WAIT;
      buf_printf (reason,
                  "failures or latency not proven acceptable before the "
                  "time limit");
      return TRIAL_DECISION_ROLL_BACK;
    }
  if (!is_last_step)
    return TRIAL_DECISION_ADVANCE;
  return is_due ? TRIAL_DECISION_FINISH : TRIAL_DECISION_WAIT;
}
