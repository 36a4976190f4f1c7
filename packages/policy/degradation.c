#include "policy/degradation.h"

#include "base/mem.h"
#include "policy/crdt.h"
#include "policy/sample.h"

#include <math.h>
#include <stdlib.h>

enum
{
  FORMAT = 1,
  /* Answers that a series needs before it has a reference.  The mean of 200
     ratings with a standard deviation of 0.15 is exact to 0.01, a fifth of the
     shift to be detected.  */
  REFERENCE_ANSWERS_MIN = 200,
  /* Number of answers above which the reference gives older ones less
     weight.  */
  REFERENCE_ANSWERS_MAX = 20000
};

/* The reference does not change while the CUSUM is above this part of the
   threshold, so that it does not follow the fault.  */
#define FREEZE_THRESHOLD_PART 0.25

/* Shift to which the CUSUM of each metric is tuned, and the smallest variance
   assumed for one value.  */
static const struct
{
  double shift;
  double variance_min;
} metric_settings[ROLLOUT_METRIC_COUNT] = {
  [ROLLOUT_METRIC_RATING] = { 0.05, 0.0025 },
  [ROLLOUT_METRIC_ERROR] = { 0.03, 0 },
  [ROLLOUT_METRIC_LATENCY] = { 0.2, 0.01 },
};

/* A series: the answers of one version for one task class.  The index of a
   series is that of its key in SAMPLE_CRDT.  */
typedef struct
{
  uint64_t version_hash; /* Hash of the version; 0 if a merged key came without
                            a name.  */
  uint64_t task_hash;
  uint32_t version_index; /* Index of the version in VERSIONS.  */
} series_t;

typedef struct
{
  uint64_t hash;
  uint64_t cleared_ms;
  uint64_t since_ms; /* Start of the alarm, which is in force if SINCE_MS is
                        later than CLEARED_MS.  */
  uint64_t metric;
} version_alarm_t;

/* The CUSUM of one metric of one series.  */
typedef struct
{
  /* Moments of the usual values.  */
  deviation_moments_t reference;
  double log_likelihood_sum; /* Sum of log-likelihood ratios; not below 0.  */
  /* Sums over the epochs since the CUSUM was last 0: answers of this series;
     shift of this series times its answers; answers of this series in the
     epochs in which other versions had answers; shift of the other versions
     in these epochs, times the answers of this series.  */
  double own_answer_count;
  double own_weighted_shift_sum;
  double compared_answer_count;
  double other_weighted_shift_sum;
  uint32_t shared_shift_epochs; /* Epochs above the threshold in which other
                                   versions shifted as well.  */
  /* Moments of the current epoch.  */
  moments_t epoch_moments;
  double shift; /* Mean of the current epoch minus mean of the reference.  */
} cusum_t;

/* Sum of the shifts of several series in the current epoch, for one
   metric.  */
typedef struct
{
  double answer_count;
  double shift_sum; /* Sum over the series of shift times number of answers. */
} shift_sum_t;

struct degradation
{
  crdt_t *sample_crdt;
  series_t series[DEGRADATION_SERIES_MAX];
  version_alarm_t versions[DEGRADATION_VERSIONS_MAX];
  uint32_t version_count;
  cusum_t cusums[DEGRADATION_SERIES_MAX][ROLLOUT_METRIC_COUNT];
  uint64_t evaluated_epoch;
};

degradation_t *
degradation_create (uint64_t writer)
{
  const crdt_options_t options = { .writer = writer,
                                   .epoch_ms = DEGRADATION_EPOCH_MS,
                                   .epochs = DEGRADATION_EPOCHS,
                                   .fields = SAMPLE_FIELD_COUNT,
                                   .keys_max = DEGRADATION_SERIES_MAX,
                                   .cells_max = DEGRADATION_CELLS_MAX };
  degradation_t *d = mem_zalloc (sizeof *d);

  d->sample_crdt = crdt_create (&options);
  return d;
}

void
degradation_destroy (degradation_t *d)
{
  if (d == NULL)
    return;
  crdt_destroy (d->sample_crdt);
  free (d);
}

static uint64_t
hash_name (str_t name)
{
  /* The hash is nonzero, because 0 stands for no name.  */
  return str_hash (name, 0x77) | 1;
}

static version_alarm_t *
version_find (const degradation_t *d, uint64_t hash)
{
  for (uint32_t i = 0; i < d->version_count; i++)
    if (d->versions[i].hash == hash)
      return (version_alarm_t *)&d->versions[i];
  return NULL;
}

/* Return the alarm state of the version with HASH, created on first use; NULL
   if there is no room.  */
static version_alarm_t *
version_find_or_add (degradation_t *d, uint64_t hash)
{
  version_alarm_t *alarm = version_find (d, hash);

  if (alarm != NULL || d->version_count == DEGRADATION_VERSIONS_MAX)
    return alarm;
  d->versions[d->version_count].hash = hash;
  return &d->versions[d->version_count++];
}

/* Return the key of the series of VERSION and TASK, created on first use; -1
   if there is no room.  */
static int
series_find_or_add (degradation_t *d, uint64_t version, uint64_t task)
{
  uint64_t hash = version ^ (task * 0x9e3779b97f4a7c15u);
  version_alarm_t *alarm_state = version_find_or_add (d, version);

  if (alarm_state == NULL)
    return -1;
  int key = crdt_key_find_or_add (d->sample_crdt, hash);
  if (key >= 0 && d->series[key].version_hash == 0)
    d->series[key]
        = (series_t){ version, task, (uint32_t)(alarm_state - d->versions) };
  return key;
}

void
degradation_observe (degradation_t *d, str_t version, str_t task,
                     const rollout_sample_t *sample, uint64_t now_ms)
{
  int64_t fields[SAMPLE_FIELD_COUNT];
  int key = series_find_or_add (d, hash_name (version), hash_name (task));

  sample_to_fields (sample, fields);
  crdt_add (d->sample_crdt, key, now_ms, fields);
}

static bool
has_alarm (const version_alarm_t *v)
{
  return v->since_ms > v->cleared_ms;
}

/* End an alarm that began up to NOW_MS.  Its fields are reset, since equal
   states must have equal bytes.  */
static void
clear_alarm (version_alarm_t *v, uint64_t now_ms)
{
  v->cleared_ms = now_ms;
  if (!has_alarm (v))
    {
      v->since_ms = 0;
      v->metric = 0;
    }
}

static double
reference_variance (const cusum_t *cusum, rollout_metric_t metric)
{
  return fmax (metric_settings[metric].variance_min,
               cusum->reference.squared_deviations / cusum->reference.count);
}

/* Return the log-likelihood ratio of the current epoch's values for the shift
   to which the CUSUM is tuned against no shift.  */
static double
epoch_log_likelihood_ratio (const cusum_t *cusum, rollout_metric_t metric)
{
  double shift = metric_settings[metric].shift;

  if (metric == ROLLOUT_METRIC_ERROR)
    {
      double p0 = (cusum->reference.sum + 1) / (cusum->reference.count + 2);
      double p1 = fmin (p0 + shift, (1 + p0) / 2);
      return cusum->epoch_moments.sum * log (p1 / p0)
             + (cusum->epoch_moments.count - cusum->epoch_moments.sum)
                   * log ((1 - p1) / (1 - p0));
    }
  return cusum->epoch_moments.count * shift * (cusum->shift - shift / 2)
         / reference_variance (cusum, metric);
}

static void
reference_add_epoch (cusum_t *cusum)
{
  deviation_moments_t *r = &cusum->reference;
  double mean = cusum->epoch_moments.sum / cusum->epoch_moments.count;

  if (r->count > 0)
    {
      double mean_difference = mean - r->sum / r->count;
      r->squared_deviations += mean_difference * mean_difference * r->count
                               * cusum->epoch_moments.count
                               / (r->count + cusum->epoch_moments.count);
    }
  r->squared_deviations += fmax (0, cusum->epoch_moments.square_sum
                                        - mean * cusum->epoch_moments.sum);
  r->count += cusum->epoch_moments.count;
  r->sum += cusum->epoch_moments.sum;
  if (r->count > REFERENCE_ANSWERS_MAX)
    {
      double scale = REFERENCE_ANSWERS_MAX / r->count;
      r->count *= scale;
      r->sum *= scale;
      r->squared_deviations *= scale;
    }
}

/* Store the moments and the shift of EPOCH in all CUSUMs of METRIC, and the
   sum of the shifts of each version in BY_VERSION.  Return the sum over all
   versions.  */
static shift_sum_t
compute_epoch_shifts (degradation_t *d, uint64_t epoch,
                      rollout_metric_t metric,
                      shift_sum_t by_version[DEGRADATION_VERSIONS_MAX])
{
  shift_sum_t total_shift = { 0, 0 };

  memset (by_version, 0, DEGRADATION_VERSIONS_MAX * sizeof *by_version);
  for (int key = 0; key < DEGRADATION_SERIES_MAX; key++)
    {
      cusum_t *cusum = &d->cusums[key][metric];
      const series_t *s = &d->series[key];
      uint64_t cleared_ms = d->versions[s->version_index].cleared_ms;
      cusum->epoch_moments = (moments_t){ 0, 0, 0 };
      if (s->version_hash == 0 || epoch * DEGRADATION_EPOCH_MS < cleared_ms)
        continue;
      cusum->epoch_moments
          = sample_moments (crdt_sums (d->sample_crdt, key, epoch), metric);
      if (cusum->epoch_moments.count <= 0
          || cusum->reference.count < REFERENCE_ANSWERS_MIN)
        continue;
      cusum->shift = cusum->epoch_moments.sum / cusum->epoch_moments.count
                     - cusum->reference.sum / cusum->reference.count;
      by_version[s->version_index].answer_count += cusum->epoch_moments.count;
      by_version[s->version_index].shift_sum
          += cusum->epoch_moments.count * cusum->shift;
      total_shift.answer_count += cusum->epoch_moments.count;
      total_shift.shift_sum += cusum->epoch_moments.count * cusum->shift;
    }
  return total_shift;
}

/* Return whether OTHERS, the other versions in the current epoch, shifted less
   than half as much as the series of CUSUM, and did so since the change began.
   Without this check several versions get an alarm at once when the rating
   service becomes wrong or a zone slows all versions down.  */
static bool
is_only_version_shifted (const cusum_t *cusum, const shift_sum_t *others)
{
  if (others->answer_count > 0
      && others->shift_sum / others->answer_count >= 0.5 * cusum->shift)
    return false;
  return cusum->compared_answer_count <= 0
         || cusum->other_weighted_shift_sum / cusum->compared_answer_count
                < 0.5 * cusum->own_weighted_shift_sum
                      / cusum->own_answer_count;
}

/* Add the current epoch, CUSUM->epoch_moments, to CUSUM, or only to its
   reference while that has fewer than REFERENCE_ANSWERS_MIN answers.  OTHERS
   is the shift of the other versions in the same epoch.  Return true for an
   alarm.  */
static bool
cusum_add_epoch (cusum_t *cusum, rollout_metric_t metric,
                 const shift_sum_t *others)
{
  if (cusum->epoch_moments.count <= 0)
    return false;
  if (cusum->reference.count < REFERENCE_ANSWERS_MIN)
    {
      reference_add_epoch (cusum);
      return false;
    }
  cusum->log_likelihood_sum += epoch_log_likelihood_ratio (cusum, metric);
  if (cusum->log_likelihood_sum <= 0)
    {
      cusum->log_likelihood_sum = 0;
      cusum->own_answer_count = cusum->own_weighted_shift_sum
          = cusum->compared_answer_count = cusum->other_weighted_shift_sum = 0;
      cusum->shared_shift_epochs = 0;
    }
  else
    {
      cusum->log_likelihood_sum
          = fmin (cusum->log_likelihood_sum, 2 * DEGRADATION_CUSUM_THRESHOLD);
      cusum->own_answer_count += cusum->epoch_moments.count;
      cusum->own_weighted_shift_sum
          += cusum->epoch_moments.count * cusum->shift;
      /* The shift of the other versions is weighted by this series' answers,
         so that an epoch has the same weight in both sums.  */
      if (others->answer_count > 0)
        {
          cusum->compared_answer_count += cusum->epoch_moments.count;
          cusum->other_weighted_shift_sum += cusum->epoch_moments.count
                                             * others->shift_sum
                                             / others->answer_count;
        }
    }
  if (cusum->log_likelihood_sum
      < FREEZE_THRESHOLD_PART * DEGRADATION_CUSUM_THRESHOLD)
    reference_add_epoch (cusum);
  if (cusum->log_likelihood_sum < DEGRADATION_CUSUM_THRESHOLD)
    return false;
  if (is_only_version_shifted (cusum, others))
    return true;
  if (++cusum->shared_shift_epochs >= DEGRADATION_RELEARN_EPOCHS)
    *cusum = (cusum_t){ .shared_shift_epochs = 0 };
  return false;
}

static void
raise_alarm (version_alarm_t *v, rollout_metric_t metric, uint64_t epoch)
{
  v->since_ms = (epoch + 1) * DEGRADATION_EPOCH_MS;
  v->metric = metric;
}

/* Add EPOCH to all CUSUMs of METRIC.  Return true if an alarm was raised.  */
static bool
evaluate_epoch (degradation_t *d, uint64_t epoch, rollout_metric_t metric)
{
  shift_sum_t by_version[DEGRADATION_VERSIONS_MAX];
  shift_sum_t total_shift
      = compute_epoch_shifts (d, epoch, metric, by_version);
  bool raised = false;

  for (int key = 0; key < DEGRADATION_SERIES_MAX; key++)
    {
      const series_t *s = &d->series[key];
      if (s->version_hash == 0)
        continue;
      shift_sum_t others
          = { total_shift.answer_count
                  - by_version[s->version_index].answer_count,
              total_shift.shift_sum - by_version[s->version_index].shift_sum };
      version_alarm_t *v = &d->versions[s->version_index];
      if (cusum_add_epoch (&d->cusums[key][metric], metric, &others)
          && !has_alarm (v))
        {
          raise_alarm (v, metric, epoch);
          raised = true;
        }
    }
  return raised;
}

bool
degradation_check (degradation_t *d, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (d->sample_crdt, now_ms);
  bool raised = false;

  crdt_advance (d->sample_crdt, now_ms);
  if (now_epoch == d->evaluated_epoch)
    return false;
  d->evaluated_epoch = now_epoch;
  /* Evaluate all epochs kept again from the first one, so that measurements
     that arrived late or from other processes count in their epoch, and
     all processes with the same sums raise the same alarms.  */
  memset (d->cusums, 0, sizeof d->cusums);
  uint64_t epoch = crdt_first_epoch (d->sample_crdt);
  for (; epoch < now_epoch; epoch++)
    for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++)
      raised = evaluate_epoch (d, epoch, (rollout_metric_t)m) || raised;
  return raised;
}

double
degradation_traffic_weight (const degradation_t *d, str_t version,
                            uint64_t now_ms)
{
  const version_alarm_t *v = version_find (d, hash_name (version));

  if (v == NULL || !has_alarm (v))
    return 1;
  uint64_t age_ms = now_ms > v->since_ms ? now_ms - v->since_ms : 0;
  if (age_ms < DEGRADATION_WEIGHT_STEP_MS)
    return 0.5;
  return age_ms < (uint64_t)2 * DEGRADATION_WEIGHT_STEP_MS ? 0.1 : 0;
}

bool
degradation_get_alarm (const degradation_t *d, str_t version,
                       rollout_metric_t *metric, uint64_t *since_ms)
{
  const version_alarm_t *v = version_find (d, hash_name (version));

  if (v == NULL || !has_alarm (v))
    return false;
  *metric = (rollout_metric_t)v->metric;
  *since_ms = v->since_ms;
  return true;
}

void
degradation_clear_alarm (degradation_t *d, str_t version, uint64_t now_ms)
{
  version_alarm_t *v = version_find_or_add (d, hash_name (version));

  if (v != NULL && v->cleared_ms < now_ms)
    clear_alarm (v, now_ms);
}

void
degradation_write (const degradation_t *d, bool own_only, buf_t *out)
{
  uint64_t count = 0;

  for (int key = 0; key < DEGRADATION_SERIES_MAX; key++)
    count += d->series[key].version_hash != 0;
  crdt_write_varint (out, FORMAT);
  crdt_write_varint (out, count);
  for (int key = 0; key < DEGRADATION_SERIES_MAX; key++)
    if (d->series[key].version_hash != 0)
      {
        crdt_write_varint (out, d->series[key].version_hash);
        crdt_write_varint (out, d->series[key].task_hash);
      }
  crdt_write_varint (out, d->version_count);
  for (uint32_t i = 0; i < d->version_count; i++)
    {
      const version_alarm_t *v = &d->versions[i];
      crdt_write_varint (out, v->hash);
      crdt_write_varint (out, v->cleared_ms);
      crdt_write_varint (out, v->since_ms);
      crdt_write_varint (out, v->metric);
    }
  crdt_write (d->sample_crdt, own_only, out);
}

static bool
read_alarm (str_t *rest, version_alarm_t *v)
{
  return crdt_read_varint (rest, &v->hash)
         && crdt_read_varint (rest, &v->cleared_ms)
         && crdt_read_varint (rest, &v->since_ms)
         && crdt_read_varint (rest, &v->metric) && v->hash != 0
         && v->metric < ROLLOUT_METRIC_COUNT;
}

/* Keep the later of the two times at which the operator ended an alarm, and
   the earlier of two alarms after that time.  */
static void
merge_alarm (version_alarm_t *own, const version_alarm_t *other)
{
  if (other->cleared_ms > own->cleared_ms)
    clear_alarm (own, other->cleared_ms);
  if (other->since_ms <= own->cleared_ms)
    return;
  if (!has_alarm (own) || other->since_ms < own->since_ms
      || (other->since_ms == own->since_ms && other->metric < own->metric))
    {
      own->since_ms = other->since_ms;
      own->metric = other->metric;
    }
}

vh_code_t
degradation_merge (degradation_t *d, str_t bytes, uint64_t now_ms)
{
  uint64_t format, series, versions;
  uint64_t version = 0;
  uint64_t task = 0;
  version_alarm_t alarm = { 0 };

  if (!crdt_read_varint (&bytes, &format) || format != FORMAT
      || !crdt_read_varint (&bytes, &series)
      || series > DEGRADATION_SERIES_MAX)
    return VH_E_PROTOCOL;
  str_t names = bytes;
  for (uint64_t i = 0; i < series; i++)
    if (!crdt_read_varint (&bytes, &version)
        || !crdt_read_varint (&bytes, &task) || version == 0)
      return VH_E_PROTOCOL;
  if (!crdt_read_varint (&bytes, &versions)
      || versions > DEGRADATION_VERSIONS_MAX)
    return VH_E_PROTOCOL;
  str_t alarms = bytes;
  for (uint64_t i = 0; i < versions; i++)
    if (!read_alarm (&bytes, &alarm))
      return VH_E_PROTOCOL;
  if (!crdt_is_valid (d->sample_crdt, bytes))
    return VH_E_PROTOCOL;
  for (uint64_t i = 0; i < series && crdt_read_varint (&names, &version)
                       && crdt_read_varint (&names, &task);
       i++)
    series_find_or_add (d, version, task);
  for (uint64_t i = 0; i < versions && read_alarm (&alarms, &alarm); i++)
    {
      version_alarm_t *own = version_find_or_add (d, alarm.hash);
      if (own != NULL)
        merge_alarm (own, &alarm);
    }
  return crdt_merge (d->sample_crdt, bytes, now_ms);
}

void
degradation_compact (degradation_t *d, uint64_t generation, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (d->sample_crdt, now_ms);
  uint64_t epoch = crdt_first_epoch (d->sample_crdt);

  for (; epoch + 2 <= now_epoch; epoch++)
    crdt_compact (d->sample_crdt, epoch, generation);
}
