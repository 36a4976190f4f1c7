#include "policy/trialint.h"

#include "base/mem.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>

enum
{
  CLOCK_RESOLUTION_MS = 1,
  /* Number of processes whose bad answers are known here.  */
  BAD_ANSWER_PROCESSES_MAX = 4096
};

const trial_timing_properties_t trial_timings[TRIAL_TIMING_COUNT] = {
#define X(symbol, late, samples, stderrs, name)                               \
  [symbol] = { late, samples, stderrs, name },
  TRIAL_TIMINGS (X)
#undef X
};

double
trial_old_failure_share (double failed, double count)
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

trial_sums_t
trial_sums_of_routes (const trial_counts_t *counts, trial_arm_t arm)
{
  trial_sums_t sums = { 0 };

  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    sums_add (&sums, &counts->sums[arm][cell]);
  return sums;
}

double
trial_old_advance_failure_share (const trial_sums_t *sums)
{
  double extra = sums->lost_connections
                 * (TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT
                    - TRIAL_LOST_CONNECTION_WEIGHT);

  return trial_old_failure_share (sums->failed + extra, sums->count + extra);
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
    old = trial_sums_of_routes (&trial->own_counts, TRIAL_ARM_OLD);
  add_likelihood (trial_old_advance_failure_share (&old),
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
  trial_sums_t old = trial_sums_of_routes (&trial->own_counts, TRIAL_ARM_OLD);
  double unanswered
      = timing == TRIAL_TIMING_FIRST_EVENT ? trial->old_unanswered : 0;

  add_likelihood (
      trial_old_failure_share (old.late_count[timing] + unanswered,
                               old.timing_count[timing] + unanswered),
      is_late_or_unanswered, &likelihoods->times_against,
      &likelihoods->times_for);
}

void
trial_raise_bad_answers (trial_t *trial, str_t id, uint64_t count)
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
trial_count_bad_answer (trial_t *trial)
{
  char id[TRIAL_PROCESS_ID_SIZE];

  snprintf (id, sizeof id, "%" PRIx64, trial->process_id);
  const uint64_t *known = map_get (trial->bad_answers, str_from (id));
  trial_raise_bad_answers (trial, str_from (id),
                           known != NULL ? *known + 1 : 1);
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
usual_time_ms (const trial_load_times_t *loads, size_t class)
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
static trial_load_times_t *
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
  return usual_ms > 0 && ms > usual_ms * trial_timings[timing].late_factor;
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
  trial_load_times_t *loads = usual_times (trial, timing, cell);
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
  const trial_load_times_t *loads = usual_times (trial, timing, cell);

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
counts_decay (trial_counts_t *counts)
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
  trial_load_times_t *usual_times = &trial->usual_times[0][0][0];
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
      ((trial_counts_t *)value)->age_s++;
    }
}

trial_counts_t
trial_total_counts (const trial_t *trial, bool sent_only)
{
  trial_counts_t all = trial->own_counts;
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (trial->peers, &cursor, &key, &value))
    {
      const trial_counts_t *peer = value;
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

trial_likelihoods_t
trial_likelihoods_of_routes (const trial_counts_t *counts)
{
  trial_likelihoods_t sums = { 0 };

  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    likelihoods_add (&sums, &counts->likelihoods[cell]);
  return sums;
}
