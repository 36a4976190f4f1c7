#include "policy/watch.h"

#include "base/mem.h"
#include "policy/evidence.h"
#include "policy/sample.h"

#include <math.h>
#include <stdlib.h>

enum
{
  FORMAT = 1,
  /* Answers before a series has a reference: its mean is then known to 0.01
     at a spread of 0.15, a fifth of the shift looked for.  */
  REFERENCE_MIN = 200,
  /* Answers beyond which the reference forgets the oldest.  */
  REFERENCE_MAX = 20000
};

/* The reference stands still while the CUSUM is above this part of the
   threshold, so that it does not learn the fault.  */
#define FREEZE_PART 0.25

/* The shift that the CUSUM of each metric is tuned to, and the least
   variance of one value believed.  */
static const struct
{
  double shift;
  double variance_least;
} tuning[ROLLOUT_METRIC_COUNT] = {
  [ROLLOUT_RATING] = { 0.05, 0.0025 },
  [ROLLOUT_ERROR] = { 0.03, 0 },
  [ROLLOUT_LATENCY] = { 0.2, 0.01 },
};

/* One version and task class; the index is that of its evidence key.  */
typedef struct
{
  uint64_t version; /* Hash; 0: the key came without a name.  */
  uint64_t task;
  uint32_t slot; /* Of the version, in versions.  */
} series_t;

typedef struct
{
  uint64_t hash;
  uint64_t cleared_ms;
  uint64_t since_ms; /* Of the alarm; counts when after cleared_ms.  */
  uint64_t metric;
} version_alarm_t;

/* The CUSUM of one metric of one series.  */
typedef struct
{
  moments_t reference; /* Squares hold the spread around the mean.  */
  double cusum;
  /* Since the CUSUM left zero: how far this series and the other versions
     moved, weighted by this series' answers.  */
  double own_count;
  double own_moved;
  double other_count;
  double other_moved;
  uint32_t common; /* Epochs above the threshold together with others.  */
  /* Of the epoch at hand.  */
  moments_t now;
  double moved;
} track_t;

/* What the versions moved in the epoch at hand, for one metric.  */
typedef struct
{
  double count;
  double moved; /* Times count.  */
} shift_t;

struct watch
{
  crdt_t *evidence;
  series_t series[DEGRADATION_SERIES_MAX];
  version_alarm_t versions[DEGRADATION_VERSIONS_MAX];
  uint32_t version_count;
  track_t tracks[DEGRADATION_SERIES_MAX][ROLLOUT_METRIC_COUNT];
  uint64_t looked_epoch;
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
  degradation_t *w = mem_zalloc (sizeof *w);

  w->evidence = crdt_create (&options);
  return w;
}

void
degradation_destroy (degradation_t *w)
{
  if (w == NULL)
    return;
  crdt_destroy (w->evidence);
  free (w);
}

static uint64_t
name_hash (str_t name)
{
  /* 0 stands for none.  */
  return str_hash (name, 0x77) | 1;
}

static version_alarm_t *
version_find (const degradation_t *w, uint64_t hash)
{
  for (uint32_t i = 0; i < w->version_count; i++)
    if (w->versions[i].hash == hash)
      return (version_alarm_t *)&w->versions[i];
  return NULL;
}

/* Return the version's entry, made on first use; NULL when all are taken.  */
static version_alarm_t *
version_get (degradation_t *w, uint64_t hash)
{
  version_alarm_t *found = version_find (w, hash);

  if (found != NULL || w->version_count == DEGRADATION_VERSIONS_MAX)
    return found;
  w->versions[w->version_count].hash = hash;
  return &w->versions[w->version_count++];
}

/* Return the key of the series, made on first use; -1 when there is no
   room.  */
static int
series_get (degradation_t *w, uint64_t version, uint64_t task)
{
  uint64_t hash = version ^ (task * 0x9e3779b97f4a7c15u);
  version_alarm_t *entry = version_get (w, version);

  if (entry == NULL)
    return -1;
  int key = crdt_key_find_or_add (w->evidence, hash);
  if (key >= 0 && w->series[key].version == 0)
    w->series[key]
        = (series_t){ version, task, (uint32_t)(entry - w->versions) };
  return key;
}

void
degradation_observe (degradation_t *w, str_t version, str_t task,
                     const rollout_sample_t *sample, uint64_t now_ms)
{
  int64_t fields[SAMPLE_FIELD_COUNT];
  int key = series_get (w, name_hash (version), name_hash (task));

  sample_to_fields (sample, fields);
  crdt_add (w->evidence, key, now_ms, fields);
}

static bool
alarmed (const version_alarm_t *v)
{
  return v->since_ms > v->cleared_ms;
}

/* Forget an alarm up to NOW_MS; equal states must have equal bytes, so
   nothing of it stays.  */
static void
clear_alarm (version_alarm_t *v, uint64_t now_ms)
{
  v->cleared_ms = now_ms;
  if (!alarmed (v))
    {
      v->since_ms = 0;
      v->metric = 0;
    }
}

static double
reference_variance (const track_t *t, rollout_metric_t metric)
{
  return fmax (tuning[metric].variance_least,
               t->reference.squares / t->reference.count);
}

/* Log-likelihood ratio of the epoch's values: shifted against unchanged.  */
static double
likelihood_ratio (const track_t *t, rollout_metric_t metric)
{
  double shift = tuning[metric].shift;

  if (metric == ROLLOUT_ERROR)
    {
      double p0 = (t->reference.sum + 1) / (t->reference.count + 2);
      double p1 = fmin (p0 + shift, (1 + p0) / 2);
      return t->now.sum * log (p1 / p0)
             + (t->now.count - t->now.sum) * log ((1 - p1) / (1 - p0));
    }
  return t->now.count * shift * (t->moved - shift / 2)
         / reference_variance (t, metric);
}

static void
reference_learn (track_t *t)
{
  moments_t *r = &t->reference;
  double mean = t->now.sum / t->now.count;

  if (r->count > 0)
    {
      double apart = mean - r->sum / r->count;
      r->squares += apart * apart * r->count * t->now.count
                    / (r->count + t->now.count);
    }
  r->squares += fmax (0, t->now.squares - mean * t->now.sum);
  r->count += t->now.count;
  r->sum += t->now.sum;
  if (r->count > REFERENCE_MAX)
    {
      double part = REFERENCE_MAX / r->count;
      r->count *= part;
      r->sum *= part;
      r->squares *= part;
    }
}

/* Load the epoch into the tracks of METRIC and sum up by version what moved.
   Return the sum over all versions.  */
static shift_t
load_epoch (degradation_t *w, uint64_t epoch, rollout_metric_t metric,
            shift_t by_version[DEGRADATION_VERSIONS_MAX])
{
  shift_t all = { 0, 0 };

  memset (by_version, 0, DEGRADATION_VERSIONS_MAX * sizeof *by_version);
  for (int key = 0; key < DEGRADATION_SERIES_MAX; key++)
    {
      track_t *t = &w->tracks[key][metric];
      const series_t *s = &w->series[key];
      uint64_t cleared_ms = w->versions[s->slot].cleared_ms;
      t->now = (moments_t){ 0, 0, 0 };
      if (s->version == 0 || epoch * DEGRADATION_EPOCH_MS < cleared_ms)
        continue;
      t->now = sample_moments (crdt_sums (w->evidence, key, epoch), metric);
      if (t->now.count <= 0 || t->reference.count < REFERENCE_MIN)
        continue;
      t->moved
          = t->now.sum / t->now.count - t->reference.sum / t->reference.count;
      by_version[s->slot].count += t->now.count;
      by_version[s->slot].moved += t->now.count * t->moved;
      all.count += t->now.count;
      all.moved += t->now.count * t->moved;
    }
  return all;
}

/* Tell whether the other versions moved less than half as much, in this epoch
   and since the change began.  Guards against blaming a version for a rating
   service that turned wrong or a zone that slowed everyone; shows as several
   alarms at once.  */
static bool
alone (const track_t *t, const shift_t *others)
{
  if (others->count > 0 && others->moved / others->count >= 0.5 * t->moved)
    return false;
  return t->other_count <= 0
         || t->other_moved / t->other_count
                < 0.5 * t->own_moved / t->own_count;
}

/* Take the loaded epoch into T.  Return true for an alarm.  */
static bool
track_step (track_t *t, rollout_metric_t metric, const shift_t *others)
{
  if (t->now.count <= 0)
    return false;
  if (t->reference.count < REFERENCE_MIN)
    {
      reference_learn (t);
      return false;
    }
  t->cusum += likelihood_ratio (t, metric);
  if (t->cusum <= 0)
    {
      t->cusum = 0;
      t->own_count = t->own_moved = t->other_count = t->other_moved = 0;
      t->common = 0;
    }
  else
    {
      t->cusum = fmin (t->cusum, 2 * DEGRADATION_CUSUM_THRESHOLD);
      t->own_count += t->now.count;
      t->own_moved += t->now.count * t->moved;
      /* Weighted by this series' answers, so that the same epochs count
         alike on both sides.  */
      if (others->count > 0)
        {
          t->other_count += t->now.count;
          t->other_moved += t->now.count * others->moved / others->count;
        }
    }
  if (t->cusum < FREEZE_PART * DEGRADATION_CUSUM_THRESHOLD)
    reference_learn (t);
  if (t->cusum < DEGRADATION_CUSUM_THRESHOLD)
    return false;
  if (alone (t, others))
    return true;
  if (++t->common >= DEGRADATION_RELEARN_EPOCHS)
    *t = (track_t){ .common = 0 };
  return false;
}

static void
raise_alarm (version_alarm_t *v, rollout_metric_t metric, uint64_t epoch)
{
  v->since_ms = (epoch + 1) * DEGRADATION_EPOCH_MS;
  v->metric = metric;
}

/* Take EPOCH into all tracks of METRIC; return true when an alarm was
   raised.  */
static bool
look_at (degradation_t *w, uint64_t epoch, rollout_metric_t metric)
{
  shift_t by_version[DEGRADATION_VERSIONS_MAX];
  shift_t all = load_epoch (w, epoch, metric, by_version);
  bool raised = false;

  for (int key = 0; key < DEGRADATION_SERIES_MAX; key++)
    {
      const series_t *s = &w->series[key];
      if (s->version == 0)
        continue;
      shift_t others = { all.count - by_version[s->slot].count,
                         all.moved - by_version[s->slot].moved };
      version_alarm_t *v = &w->versions[s->slot];
      if (track_step (&w->tracks[key][metric], metric, &others)
          && !alarmed (v))
        {
          raise_alarm (v, metric, epoch);
          raised = true;
        }
    }
  return raised;
}

bool
degradation_check (degradation_t *w, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (w->evidence, now_ms);
  bool raised = false;

  crdt_advance (w->evidence, now_ms);
  if (now_epoch == w->looked_epoch)
    return false;
  w->looked_epoch = now_epoch;
  /* From the start of what is kept, so that evidence that came late or from
     elsewhere is seen in its place and every process finds the same.  */
  memset (w->tracks, 0, sizeof w->tracks);
  uint64_t epoch = crdt_first_epoch (w->evidence);
  for (; epoch < now_epoch; epoch++)
    for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++)
      raised = look_at (w, epoch, (rollout_metric_t)m) || raised;
  return raised;
}

double
degradation_traffic_weight (const degradation_t *w, str_t version,
                            uint64_t now_ms)
{
  const version_alarm_t *v = version_find (w, name_hash (version));

  if (v == NULL || !alarmed (v))
    return 1;
  uint64_t age_ms = now_ms > v->since_ms ? now_ms - v->since_ms : 0;
  if (age_ms < DEGRADATION_WEIGHT_STEP_MS)
    return 0.5;
  return age_ms < (uint64_t)2 * DEGRADATION_WEIGHT_STEP_MS ? 0.1 : 0;
}

bool
degradation_get_alarm (const degradation_t *w, str_t version,
                       rollout_metric_t *metric, uint64_t *since_ms)
{
  const version_alarm_t *v = version_find (w, name_hash (version));

  if (v == NULL || !alarmed (v))
    return false;
  *metric = (rollout_metric_t)v->metric;
  *since_ms = v->since_ms;
  return true;
}

void
degradation_clear_alarm (degradation_t *w, str_t version, uint64_t now_ms)
{
  version_alarm_t *v = version_get (w, name_hash (version));

  if (v != NULL && v->cleared_ms < now_ms)
    clear_alarm (v, now_ms);
}

void
degradation_write (const degradation_t *w, bool own_only, buf_t *out)
{
  uint64_t count = 0;

  for (int key = 0; key < DEGRADATION_SERIES_MAX; key++)
    count += w->series[key].version != 0;
  crdt_write_varint (out, FORMAT);
  crdt_write_varint (out, count);
  for (int key = 0; key < DEGRADATION_SERIES_MAX; key++)
    if (w->series[key].version != 0)
      {
        crdt_write_varint (out, w->series[key].version);
        crdt_write_varint (out, w->series[key].task);
      }
  crdt_write_varint (out, w->version_count);
  for (uint32_t i = 0; i < w->version_count; i++)
    {
      const version_alarm_t *v = &w->versions[i];
      crdt_write_varint (out, v->hash);
      crdt_write_varint (out, v->cleared_ms);
      crdt_write_varint (out, v->since_ms);
      crdt_write_varint (out, v->metric);
    }
  crdt_write (w->evidence, own_only, out);
}

static bool
take_alarm (str_t *rest, version_alarm_t *v)
{
  return crdt_read_varint (rest, &v->hash)
         && crdt_read_varint (rest, &v->cleared_ms)
         && crdt_read_varint (rest, &v->since_ms)
         && crdt_read_varint (rest, &v->metric) && v->hash != 0
         && v->metric < ROLLOUT_METRIC_COUNT;
}

/* The later clearing counts, then the earliest alarm after it.  */
static void
merge_alarm (version_alarm_t *own, const version_alarm_t *other)
{
  if (other->cleared_ms > own->cleared_ms)
    clear_alarm (own, other->cleared_ms);
  if (other->since_ms <= own->cleared_ms)
    return;
  if (!alarmed (own) || other->since_ms < own->since_ms
      || (other->since_ms == own->since_ms && other->metric < own->metric))
    {
      own->since_ms = other->since_ms;
      own->metric = other->metric;
    }
}

vh_code_t
degradation_merge (degradation_t *w, str_t bytes, uint64_t now_ms)
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
    if (!take_alarm (&bytes, &alarm))
      return VH_E_PROTOCOL;
  if (!crdt_is_valid (w->evidence, bytes))
    return VH_E_PROTOCOL;
  for (uint64_t i = 0; i < series && crdt_read_varint (&names, &version)
                       && crdt_read_varint (&names, &task);
       i++)
    series_get (w, version, task);
  for (uint64_t i = 0; i < versions && take_alarm (&alarms, &alarm); i++)
    {
      version_alarm_t *own = version_get (w, alarm.hash);
      if (own != NULL)
        merge_alarm (own, &alarm);
    }
  return crdt_merge (w->evidence, bytes, now_ms);
}

void
degradation_compact (degradation_t *w, uint64_t generation, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (w->evidence, now_ms);
  uint64_t epoch = crdt_first_epoch (w->evidence);

  for (; epoch + 2 <= now_epoch; epoch++)
    crdt_compact (w->evidence, epoch, generation);
}
