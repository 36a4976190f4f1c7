#include "policy/trial.h"

#include "base/map.h"
#include "base/mem.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* Part of the order's time that each step lasts at least.  */
static const double step_parts[] = {
#define X(symbol, part) part,
  TRIAL_STEPS (X)
#undef X
};

static const struct
{
  double late;
  double samples;
  double sigmas;
  const char *name;
} timings[TIMINGS] = {
#define X(symbol, late, samples, sigmas, name)                                \
  [symbol] = { late, samples, sigmas, name },
  TRIAL_TIMINGS (X)
#undef X
};

typedef struct
{
  trial_sums_t sums[TRIAL_ARMS][TRIAL_CELLS_ALL];
  bool told; /* By a peer to this entry.  */
  unsigned age_s;
} crdt_t;

/* Sums over the logarithms of the old version's times at one load.  */
typedef struct
{
  double count;
  double log_ms;
} usual_t;

struct trial
{
  char *service;
  char *version;
  uint64_t order;
  uint64_t within_ms;
  double exposure;
  uint64_t seen_ms;
  uint64_t start_ms;
  uint32_t step;
  uint64_t from_ms; /* When STEP holds; the one before it until then.  */
  trial_phase_t phase;
  bool written;
  crdt_t own;
  usual_t usual[TIMINGS][TRIAL_CELLS][TRIAL_LOADS];
  map_t *peers; /* Entry to crdt_t.  */
  bool dirty;
};

trial_t *
trial_create (str_t service, str_t version, uint64_t order, uint64_t within_ms,
              double exposure)
{
  trial_t *trial = mem_zalloc (sizeof *trial);

  trial->service = str_dup (service);
  trial->version = str_dup (version);
  trial->order = order;
  trial->within_ms = within_ms;
  trial->exposure = exposure;
  trial->peers = map_create ();
  return trial;
}

void
trial_destroy (trial_t *trial)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  if (trial == NULL)
    return;
  while (map_next (trial->peers, &cursor, &key, &value))
    free (value);
  map_destroy (trial->peers);
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

uint64_t
trial_time_limit_ms (const trial_t *trial)
{
  return trial->within_ms;
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
trial_set_final_phase_stored (trial_t *trial, bool written)
{
  trial->written = written;
}

bool
trial_is_final_phase_stored (const trial_t *trial)
{
  return trial->written;
}

void
trial_set_progress (trial_t *trial, uint64_t start_ms, uint32_t step,
                    uint64_t from_ms)
{
  trial->start_ms = start_ms;
  trial->step = step < TRIAL_STEP_COUNT ? step : TRIAL_STEP_COUNT - 1;
  trial->from_ms = from_ms;
}

void
trial_set_order_seen_ms (trial_t *trial, uint64_t seen_ms)
{
  trial->seen_ms = seen_ms;
}

uint64_t
trial_order_seen_ms (const trial_t *trial)
{
  return trial->seen_ms;
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
  return trial->from_ms;
}

/* When the version is to be declared good, so that the operators read it
   within the order's time.  */
static double
finish_ms (const trial_t *trial)
{
  return (double)trial->start_ms + (double)trial->within_ms - TRIAL_FINISH_MS;
}

static double
first_share (const trial_t *trial)
{
  return fmin (trial->exposure * TRIAL_FIRST, TRIAL_WIDEST);
}

/* The share from the second step on: what the first one, from the half of the
   order's time on, and the time from the finish on leave of the bound.  */
static double
wider_share (const trial_t *trial)
{
  double first = first_share (trial);
  double within_ms = (double)trial->within_ms;
  double from_ms = (double)trial->from_ms;
  double half_ms = (double)trial->start_ms
                   + within_ms * step_parts[TRIAL_STEP_NO_TRAFFIC];
  double left_ms = trial->exposure * TRIAL_SPENT * within_ms - TRIAL_FINISH_MS
                   - first * fmax (from_ms - half_ms, 0);
  double lasts_ms = finish_ms (trial) - from_ms;

  if (lasts_ms <= 0)
    return TRIAL_WIDEST;
  return fmin (fmax (left_ms / lasts_ms, first), TRIAL_WIDEST);
}

double
trial_share (const trial_t *trial, uint64_t now_ms)
{
  uint32_t step = trial->step;

  if (trial->phase != TRIAL_RUNNING)
    return trial->phase == TRIAL_DONE ? 1 : 0;
  if (step > TRIAL_STEP_NO_TRAFFIC && now_ms < trial->from_ms)
    step--;
  if (trial->start_ms == 0 || step == TRIAL_STEP_NO_TRAFFIC)
    return 0;
  return step == TRIAL_STEP_FIRST ? first_share (trial) : wider_share (trial);
}

bool
trial_is_assigned (const trial_t *trial, uint64_t key, uint64_t now_ms)
{
  return (double)(key >> 11) * 0x1.0p-53 < trial_share (trial, now_ms);
}

trial_arm_t
trial_choose_arm (const trial_t *trial, uint64_t key, uint64_t now_ms,
                  const trial_send_history_t *sent)
{
  if (sent->failed)
    return TRIAL_OLD;
  if (sent->any)
    return sent->arm;
  return trial_is_assigned (trial, key, now_ms) ? TRIAL_NEW : TRIAL_OLD;
}

static void
sums_count (trial_sums_t *sums, trial_outcome_t outcome)
{
  double weight = outcome == TRIAL_CONNECTION_LOST ? TRIAL_BREAK : 1;

  sums->count += weight;
  if (outcome != TRIAL_ANSWERED)
    sums->failed += weight;
  if (outcome == TRIAL_CONNECTION_LOST)
    {
      sums->broken += 1;
      return;
    }
  sums->all_count += 1;
  if (outcome == TRIAL_FAILED)
    sums->all_failed += 1;
}

void
trial_observe (trial_t *trial, trial_arm_t arm, uint64_t route,
               trial_outcome_t outcome, uint64_t wait_ms, bool is_loaded)
{
  trial_sums_t *sums = &trial->own.sums[arm][route % TRIAL_CELLS];
  trial_sums_t *loaded = &trial->own.sums[arm][TRIAL_CELLS];

  if (is_loaded)
    sums_count (loaded, outcome);
  sums_count (sums, outcome);
  if (wait_ms > 0)
    {
      double log_wait = log ((double)wait_ms);
      sums->waits += 1;
      sums->log_wait += log_wait;
      sums->log_wait_squared += log_wait * log_wait;
    }
  trial->dirty = true;
}

/* The class of a load: its power of two.  */
static size_t
load_class (uint32_t load)
{
  size_t class = 0;

  while (load > 0 && class < TRIAL_LOADS - 1)
    {
      load >>= 1;
      class ++;
    }
  return class;
}

/* The usual time of the old version at a load of CLASS or, where it has not
   run so, at the next higher one: which is no shorter.  0: not known.  */
static double
usual_ms (const usual_t *loads, size_t class)
{
  for (; class < TRIAL_LOADS; class ++)
    if (loads[class].count >= TRIAL_SAMPLES)
      return exp (loads[class].log_ms / loads[class].count);
  return 0;
}

void
trial_observe_timing (trial_t *trial, trial_arm_t arm, uint64_t route,
                      trial_timing_t timing, uint32_t load, double ms,
                      uint64_t now_ms)
{
  size_t cell = route % TRIAL_CELLS;
  /* All requests of a batch get their tokens at one pace.  */
  usual_t *loads
      = trial->usual[timing][timing == TRIAL_TIMING_EVENT_GAP ? 0 : cell];
  size_t class = load_class (load);
  trial_sums_t *sums = &trial->own.sums[arm][cell];
  double usual = usual_ms (loads, class);

  if (ms <= 0)
    return;
  bool is_early = arm == TRIAL_NEW && timing == TRIAL_TIMING_FIRST_EVENT
                  && trial->step == TRIAL_STEP_FIRST
                  && now_ms < trial->from_ms + TRIAL_WARM_MS + (uint64_t)ms;
  if (usual > 0 && !is_early)
    {
      sums->timed[timing] += 1;
      if (ms > usual * timings[timing].late)
        sums->late[timing] += 1;
      trial->dirty = true;
    }
  if (arm != TRIAL_OLD)
    return;
  loads[class].count += 1;
  loads[class].log_ms += log (ms);
}

static void
sums_fade (trial_sums_t *sums)
{
#define X(field, decimals, keep) sums->field *= (keep);
  TRIAL_SUMS (X)
#undef X
  for (size_t timing = 0; timing < TIMINGS; timing++)
    {
      sums->timed[timing] *= TRIAL_KEEP_TIMES_S;
      sums->late[timing] *= TRIAL_KEEP_TIMES_S;
    }
}

static void
sums_add (trial_sums_t *to, const trial_sums_t *from)
{
#define X(field, decimals, keep) to->field += from->field;
  TRIAL_SUMS (X)
#undef X
  for (size_t timing = 0; timing < TIMINGS; timing++)
    {
      to->timed[timing] += from->timed[timing];
      to->late[timing] += from->late[timing];
    }
}

static void
evidence_fade (crdt_t *evidence)
{
  for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
    for (size_t cell = 0; cell < TRIAL_CELLS_ALL; cell++)
      sums_fade (&evidence->sums[arm][cell]);
}

void
trial_decay (trial_t *trial)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  evidence_fade (&trial->own);
  usual_t *usual = &trial->usual[0][0][0];
  for (size_t i = 0; i < (size_t)TIMINGS * TRIAL_CELLS * TRIAL_LOADS; i++)
    {
      usual[i].count *= TRIAL_KEEP_S;
      usual[i].log_ms *= TRIAL_KEEP_S;
    }
  while (map_next (trial->peers, &cursor, &key, &value))
    {
      evidence_fade (value);
      ((crdt_t *)value)->age_s++;
    }
}

bool
trial_has_unwritten_counts (const trial_t *trial)
{
  return trial->dirty;
}

/* Add what the peers said, with TOLD_ONLY what they told this entry.  */
static crdt_t
gather (const trial_t *trial, bool told_only)
{
  crdt_t all = trial->own;
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (trial->peers, &cursor, &key, &value))
    {
      const crdt_t *peer = value;
      if (peer->age_s > TRIAL_PEER_S || (told_only && !peer->told))
        continue;
      for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
        for (size_t cell = 0; cell < TRIAL_CELLS_ALL; cell++)
          sums_add (&all.sums[arm][cell], &peer->sums[arm][cell]);
    }
  return all;
}

/* One line: the order, then the sums.  */
void
trial_write (trial_t *trial, bool all, buf_t *out)
{
  const crdt_t evidence = all ? gather (trial, true) : trial->own;

  buf_printf (out, "%llu", (unsigned long long)trial->order);
  for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
    for (size_t cell = 0; cell < TRIAL_CELLS_ALL; cell++)
      {
        const trial_sums_t *sums = &evidence.sums[arm][cell];
#define X(field, decimals, keep)                                              \
  buf_printf (out, " %.*f", decimals, sums->field);
        TRIAL_SUMS (X)
#undef X
        for (size_t timing = 0; timing < TIMINGS; timing++)
          buf_printf (out, " %.2f %.2f", sums->timed[timing],
                      sums->late[timing]);
      }
  trial->dirty = false;
}

/* Read the next number of *REST.  */
static bool
next_number (str_t *rest, double *value)
{
  if (rest->ptr == NULL)
    return false;
  str_t word = str_cut (*rest, ' ', rest);
  return str_to_double (word, value) && isfinite (*value) && *value >= 0;
}

vh_code_t
trial_merge (trial_t *trial, str_t entry, bool told, str_t text)
{
  crdt_t got = { .told = told };
  double order;

  if (!next_number (&text, &order))
    return VH_E_PROTOCOL;
  if ((uint64_t)order != trial->order)
    return VH_OK;
  for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
    for (size_t cell = 0; cell < TRIAL_CELLS_ALL; cell++)
      {
        trial_sums_t *sums = &got.sums[arm][cell];
#define X(field, decimals, keep)                                              \
  if (!next_number (&text, &sums->field))                                     \
    return VH_E_PROTOCOL;
        TRIAL_SUMS (X)
#undef X
        for (size_t timing = 0; timing < TIMINGS; timing++)
          if (!next_number (&text, &sums->timed[timing])
              || !next_number (&text, &sums->late[timing]))
            return VH_E_PROTOCOL;
      }
  crdt_t *peer = map_get (trial->peers, entry);
  if (peer == NULL)
    {
      peer = mem_alloc (sizeof *peer);
      map_put (trial->peers, entry, peer);
    }
  *peer = got;
  if (told)
    trial->dirty = true;
  return VH_OK;
}

/* Share of the old version's COUNT answers that FAILED, with twenty imagined
   ones of which one failed: an arm without answers, as when all requests go to
   the new version, must neither claim certainty nor hide a bad one.  */
static double
old_share (double failed, double count)
{
  return (failed + 1) / (count + 20);
}

/* Tell whether more of the new version's answers FAILED than of the old one's,
   out of the counts, by HARM and SIGMAS standard errors.  */
static bool
fails_more (double old_failed, double old_count, double new_failed,
            double new_count, double harm, double sigmas)
{
  double excess = new_failed / new_count - old_share (old_failed, old_count);
  double pooled = (new_failed + old_failed + 1) / (new_count + old_count + 2);
  double error
      = sqrt (pooled * (1 - pooled) * (1 / new_count + 1 / (old_count + 1)));
  return excess > harm && excess > sigmas * error;
}

/* Share of SUMS that failed, with broken connections as TRIAL_BREAK_PROVEN. */
static double
unproven_share (const trial_sums_t *sums)
{
  double more = sums->broken * (TRIAL_BREAK_PROVEN - TRIAL_BREAK);

  return (sums->failed + more) / (sums->count + more);
}

/* Tell whether the evidence lets a step be left that has lasted IN_STEP_MS of
   LEAST_MS; late answers hold it from SIGMAS standard errors on.  */
static bool
is_proven (const trial_sums_t *old, const trial_sums_t *new, double in_step_ms,
           double least_ms, double sigmas)
{
  if (new->count < TRIAL_ENOUGH)
    return in_step_ms >= TRIAL_PATIENCE * least_ms;
  for (size_t timing = 0; timing < TIMINGS; timing++)
    if (new->timed[timing] > 0
        && fails_more (old->late[timing], old->timed[timing],
                       new->late[timing], new->timed[timing], TRIAL_LATE_DOUBT,
                       sigmas))
      return false;
  return unproven_share (new) - old_share (old->failed, old->count)
         <= TRIAL_PROVEN;
}

/* Tell whether the new version has failed more in one cell since its first
   answer, by too little to condemn it, or has hardly been seen in one that is
   asked often: over all cells neither may show.  */
static bool
is_doubtful (const trial_sums_t *old, const trial_sums_t *new)
{
  if (new->all_count < TRIAL_ENOUGH)
    return new->all_count < TRIAL_SEEN && old->all_count >= TRIAL_OFTEN;
  return fails_more (old->all_failed, old->all_count, new->all_failed,
                     new->all_count, TRIAL_CELL_PROVEN, TRIAL_CELL_SIGMAS);
}

/* Tell whether the new version's first events come later.  */
static bool
is_slower (const trial_sums_t *old, const trial_sums_t *new)
{
  if (new->waits < TRIAL_SAMPLES || old->waits < TRIAL_SAMPLES)
    return false;
  double mean_new = new->log_wait / new->waits;
  double mean_old = old->log_wait / old->waits;
  double var_new = new->log_wait_squared / new->waits - mean_new *mean_new;
  double var_old = old->log_wait_squared / old->waits - mean_old * mean_old;
  double error = sqrt (fmax (var_new, 0.05) / new->waits
                       + fmax (var_old, 0.05) / old->waits);
  return mean_new - mean_old > log (TRIAL_SLOW)
         && mean_new - mean_old > log (TRIAL_SLOW) / 2 + TRIAL_SIGMAS * error;
}

/* Tell whether the evidence of one cell is against the new version.  */
static bool
is_bad (const trial_sums_t *old, const trial_sums_t *new, buf_t *why)
{
  if (new->count >= TRIAL_SAMPLES
      && fails_more (old->failed, old->count, new->failed, new->count,
                     TRIAL_HARM, TRIAL_SIGMAS))
    {
      buf_printf (why, "failed %.0f of %.0f, the old version %.0f of %.0f",
                  new->failed, new->count, old->failed, old->count);
      return true;
    }
  if (is_slower (old, new))
    {
      buf_printf (why, "first events in %.0f ms, the old version's in %.0f ms",
                  exp (new->log_wait / new->waits),
                  exp (old->log_wait / old->waits));
      return true;
    }
  for (size_t timing = 0; timing < TIMINGS; timing++)
    if (new->timed[timing] >= timings[timing].samples
        && fails_more (old->late[timing], old->timed[timing],
                       new->late[timing], new->timed[timing], TRIAL_LATE_HARM,
                       timings[timing].sigmas))
      {
        buf_printf (why, "late %s: %.0f of %.0f, the old version %.0f of %.0f",
                    timings[timing].name, new->late[timing],
                    new->timed[timing], old->late[timing], old->timed[timing]);
        return true;
      }
  return false;
}

trial_decision_t
trial_decide (const trial_t *trial, uint64_t now_ms, bool alone, buf_t *why)
{
  crdt_t all = gather (trial, false);
  trial_sums_t sums[TRIAL_ARMS] = { 0 };
  bool any_doubtful = false;

  if (trial->phase != TRIAL_RUNNING || trial->start_ms == 0)
    return TRIAL_WAIT;
  for (size_t cell = 0; cell < TRIAL_CELLS_ALL; cell++)
    {
      if (is_bad (&all.sums[TRIAL_OLD][cell], &all.sums[TRIAL_NEW][cell], why))
        return TRIAL_ROLL_BACK;
      any_doubtful |= is_doubtful (&all.sums[TRIAL_OLD][cell],
                                   &all.sums[TRIAL_NEW][cell]);
      for (size_t arm = 0; arm < TRIAL_ARMS && cell < TRIAL_CELLS; arm++)
        sums_add (&sums[arm], &all.sums[arm][cell]);
    }
  if (is_bad (&sums[TRIAL_OLD], &sums[TRIAL_NEW], why))
    return TRIAL_ROLL_BACK;
  double within_ms = (double)trial->within_ms;
  double least_ms = step_parts[trial->step] * within_ms;
  /* The first move holds from the half on, and is written before it.  */
  if (trial->step == TRIAL_STEP_NO_TRAFFIC)
    least_ms -= TRIAL_STEP_NOTICE_MS;
  if (least_ms < TRIAL_STEP_MS_MIN)
    least_ms = TRIAL_STEP_MS_MIN;
  double in_step_ms
      = now_ms > trial->from_ms ? (double)(now_ms - trial->from_ms) : 0;
  if (alone || in_step_ms < least_ms)
    return TRIAL_WAIT;
  bool is_due = (double)now_ms >= finish_ms (trial);
  /* A doubt of a few answers passes while there is time.  */
  bool in_doubt = (is_due && any_doubtful)
                  || !is_proven (
                      &sums[TRIAL_OLD], &sums[TRIAL_NEW], in_step_ms, least_ms,
                      is_due ? TRIAL_LAST_SIGMAS : TRIAL_DOUBT_SIGMAS);
  if (trial->step > TRIAL_STEP_NO_TRAFFIC && in_doubt)
    {
      if (sums[TRIAL_NEW].count < TRIAL_ENOUGH
          || (double)now_ms + TRIAL_DOUBT_MS
                 < (double)trial->start_ms + within_ms)
        return TRIAL_WAIT;
      buf_printf (why, "in doubt at its time limit");
      return TRIAL_ROLL_BACK;
    }
  if (trial->step + 1 < TRIAL_STEP_COUNT)
    return TRIAL_ADVANCE;
  return is_due ? TRIAL_FINISH : TRIAL_WAIT;
}
