#include "policy/trialint.h"

#include "base/mem.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>

enum
{
  /* Number of processes whose bad answers are known here.  */
  BAD_ANSWER_PROCESSES_MAX = 4096
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
   the cases and a bad version itself in BAD_SHARE; to IN_FAVOR that of a case
   without the event.  */
static void
add_likelihood (double old_share, double bad_share, bool has_event,
                double *against, double *in_favor)
{
  double good = old_share + (1 - old_share) * TRIAL_GOOD_SHARE;
  double bad = old_share + (1 - old_share) * bad_share;

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
  bool has_failed = outcome != TRIAL_OUTCOME_ANSWERED;
  bool is_lost = outcome == TRIAL_OUTCOME_CONNECTION_LOST;

  if (old.count < TRIAL_ANSWERS_MIN)
    old = trial_sums_of_routes (&trial->own_counts, TRIAL_ARM_OLD);
  double old_share = trial_old_advance_failure_share (&old);
  add_likelihood (old_share, TRIAL_BAD_SHARE, has_failed,
                  is_lost ? &likelihoods->losses_against
                          : &likelihoods->failures_against,
                  &likelihoods->failures_for);
  add_likelihood (old_share, TRIAL_BAD_ROUTE_SHARE, has_failed,
                  is_lost ? &likelihoods->route_losses_against
                          : &likelihoods->route_failures_against,
                  &likelihoods->route_failures_for);
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
  trial->has_unwritten_counts |= trial->phase == TRIAL_PHASE_RUNNING;
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

/* Let a second pass for COUNTS.  When the new version has all requests, no
   times of the old one replace older ones, so these keep their weight.  */
static void
counts_decay (trial_counts_t *counts, bool is_running)
{
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    likelihoods_decay (&counts->likelihoods[cell]);
  for (size_t arm = 0; arm < TRIAL_ARM_COUNT; arm++)
    for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
      sums_decay (&counts->sums[arm][cell]);
  trial_tallies_decay (counts);
  for (size_t arm = is_running ? TRIAL_ARM_OLD : TRIAL_ARM_NEW;
       arm < TRIAL_ARM_COUNT; arm++)
    for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
      for (size_t bin = 0; bin <= TRIAL_TIME_BINS; bin++)
        counts->times[arm][timing][bin] *= TRIAL_TIMING_DECAY_PER_S;
}

void
trial_decay (trial_t *trial)
{
  size_t cursor = 0;
  str_t key;
  void *value;
  bool is_running = trial->phase == TRIAL_PHASE_RUNNING;

  trial_counts_t all = trial_total_counts (trial, false);
  trial_track_trouble (trial, &all);
  counts_decay (&trial->own_counts, is_running);
  if (is_running)
    trial_usual_times_decay (&trial->usual);
  while (map_next (trial->peers, &cursor, &key, &value))
    {
      counts_decay (value, is_running);
      ((trial_counts_t *)value)->age_s++;
    }
  all = trial_total_counts (trial, false);
  trial_track_decayed (trial, &all);
}

trial_counts_t
trial_total_counts (const trial_t *trial, bool sent_only)
{
  trial_counts_t all = trial->own_counts;
  size_t cursor = 0;
  str_t key;
  void *value;

  all.processes = 1;
  while (map_next (trial->peers, &cursor, &key, &value))
    {
      const trial_counts_t *peer = value;
      if (peer->age_s > TRIAL_PEER_EXPIRY_S
          || (sent_only && !peer->was_sent_by_peer))
        continue;
      all.processes++;
      for (size_t arm = 0; arm < TRIAL_ARM_COUNT; arm++)
        for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
          sums_add (&all.sums[arm][cell], &peer->sums[arm][cell]);
      for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
        likelihoods_add (&all.likelihoods[cell], &peer->likelihoods[cell]);
      trial_tallies_add (&all, peer);
      for (size_t i = 0; i < sizeof all.times / sizeof (double); i++)
        (&all.times[0][0][0])[i] += (&peer->times[0][0][0])[i];
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
