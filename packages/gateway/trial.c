#include "gateway/trial.h"

#include "base/map.h"
#include "base/mem.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* Part of the order's time after the last step at which the old version is
   given up though requests still run there.  */
static const double linger_part = 0.10;

static const struct
{
  double share;
  double part;
} steps[] = {
#define X(symbol, share, part) { share, part },
  TRIAL_STEPS (X)
#undef X
};

typedef struct
{
  trial_sums_t sums[TRIAL_ARMS][TRIAL_CELLS];
  uint32_t old_running;
} evidence_t;

struct trial
{
  char *service;
  char *version;
  uint64_t order;
  uint64_t within_ms;
  uint64_t start_ms;
  uint32_t step;
  uint64_t from_ms; /* When STEP holds; the one before it until then.  */
  trial_phase_t phase;
  bool written;
  evidence_t own;
  map_t *peers; /* Entry to evidence_t.  */
  bool dirty;
};

trial_t *
trial_create (str_t service, str_t version, uint64_t order, uint64_t within_ms)
{
  trial_t *trial = mem_zalloc (sizeof *trial);

  trial->service = str_dup (service);
  trial->version = str_dup (version);
  trial->order = order;
  trial->within_ms = within_ms;
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
trial_within_ms (const trial_t *trial)
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
trial_set_written (trial_t *trial, bool written)
{
  trial->written = written;
}

bool
trial_written (const trial_t *trial)
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

uint64_t
trial_start (const trial_t *trial)
{
  return trial->start_ms;
}

uint32_t
trial_step (const trial_t *trial)
{
  return trial->step;
}

uint64_t
trial_from (const trial_t *trial)
{
  return trial->from_ms;
}

double
trial_share (const trial_t *trial, uint64_t now_ms)
{
  if (trial->phase != TRIAL_RUNNING)
    return trial->phase == TRIAL_DONE ? 1 : 0;
  if (trial->start_ms == 0 || trial->step == TRIAL_STEP_HELD)
    return 0;
  return steps[now_ms >= trial->from_ms ? trial->step : trial->step - 1].share;
}

bool
trial_assign (const trial_t *trial, uint64_t key, uint64_t now_ms)
{
  return (double)(key >> 11) * 0x1.0p-53 < trial_share (trial, now_ms);
}

trial_arm_t
trial_choose (const trial_t *trial, uint64_t key, uint64_t now_ms,
              const trial_sent_t *sent)
{
  if (sent->failed)
    return TRIAL_OLD;
  if (sent->any)
    return sent->arm;
  return trial_assign (trial, key, now_ms) ? TRIAL_NEW : TRIAL_OLD;
}

void
trial_observe (trial_t *trial, trial_arm_t arm, uint64_t route,
               trial_outcome_t outcome, uint64_t wait_ms)
{
  trial_sums_t *sums = &trial->own.sums[arm][route % TRIAL_CELLS];

  double weight = outcome == TRIAL_BROKE ? TRIAL_BREAK : 1;

  sums->count += weight;
  if (outcome != TRIAL_ANSWERED)
    sums->failed += weight;
  if (wait_ms > 0)
    {
      double log_wait = log ((double)wait_ms);
      sums->waits += 1;
      sums->log_wait += log_wait;
      sums->log_wait_squared += log_wait * log_wait;
    }
  trial->dirty = true;
}

static void
sums_scale (trial_sums_t *sums, double factor)
{
  sums->count *= factor;
  sums->failed *= factor;
  sums->waits *= factor;
  sums->log_wait *= factor;
  sums->log_wait_squared *= factor;
}

static void
sums_add (trial_sums_t *to, const trial_sums_t *from)
{
  to->count += from->count;
  to->failed += from->failed;
  to->waits += from->waits;
  to->log_wait += from->log_wait;
  to->log_wait_squared += from->log_wait_squared;
}

static void
evidence_fade (evidence_t *evidence)
{
  for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
    for (size_t cell = 0; cell < TRIAL_CELLS; cell++)
      sums_scale (&evidence->sums[arm][cell], TRIAL_KEEP_S);
}

void
trial_fade (trial_t *trial)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  evidence_fade (&trial->own);
  while (map_next (trial->peers, &cursor, &key, &value))
    evidence_fade (value);
}

void
trial_old_running (trial_t *trial, uint32_t running)
{
  if ((running == 0) != (trial->own.old_running == 0))
    trial->dirty = true;
  trial->own.old_running = running;
}

bool
trial_dirty (const trial_t *trial)
{
  return trial->dirty;
}

/* One line: the order, what runs on the old version, then the sums.  */
void
trial_write (const trial_t *trial, buf_t *out)
{
  buf_printf (out, "%llu %u", (unsigned long long)trial->order,
              trial->own.old_running);
  for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
    for (size_t cell = 0; cell < TRIAL_CELLS; cell++)
      {
        const trial_sums_t *sums = &trial->own.sums[arm][cell];
        buf_printf (out, " %.2f %.2f %.2f %.3f %.3f", sums->count,
                    sums->failed, sums->waits, sums->log_wait,
                    sums->log_wait_squared);
      }
  ((trial_t *)trial)->dirty = false;
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
trial_merge (trial_t *trial, str_t entry, str_t text)
{
  evidence_t got = { 0 };
  double order;
  double running;

  if (!next_number (&text, &order) || !next_number (&text, &running))
    return VH_E_PROTOCOL;
  if ((uint64_t)order != trial->order)
    return VH_OK;
  got.old_running = (uint32_t)running;
  for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
    for (size_t cell = 0; cell < TRIAL_CELLS; cell++)
      {
        trial_sums_t *sums = &got.sums[arm][cell];
        if (!next_number (&text, &sums->count)
            || !next_number (&text, &sums->failed)
            || !next_number (&text, &sums->waits)
            || !next_number (&text, &sums->log_wait)
            || !next_number (&text, &sums->log_wait_squared))
          return VH_E_PROTOCOL;
      }
  evidence_t *peer = map_get (trial->peers, entry);
  if (peer == NULL)
    {
      peer = mem_alloc (sizeof *peer);
      map_put (trial->peers, entry, peer);
    }
  *peer = got;
  return VH_OK;
}

/* Add up what is known of all entries.  */
static evidence_t
gather (const trial_t *trial)
{
  evidence_t all = trial->own;
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (trial->peers, &cursor, &key, &value))
    {
      const evidence_t *peer = value;
      all.old_running += peer->old_running;
      for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
        for (size_t cell = 0; cell < TRIAL_CELLS; cell++)
          sums_add (&all.sums[arm][cell], &peer->sums[arm][cell]);
    }
  return all;
}

/* Share of failures of the old version, by its answers and by twenty imagined
   ones with one failure: an arm without answers, as when all requests go to
   the new version, must neither claim certainty nor hide a bad one.  */
static double
old_failures (const trial_sums_t *old)
{
  return (old->failed + 1) / (old->count + 20);
}

/* Tell whether the evidence lets a step be left that has lasted IN_STEP_MS of
   LEAST_MS.  */
static bool
is_proven (const trial_sums_t *old, const trial_sums_t *new, double in_step_ms,
           double least_ms)
{
  if (new->count < TRIAL_ENOUGH)
    return in_step_ms >= TRIAL_PATIENCE * least_ms;
  return new->failed / new->count - old_failures (old) <= TRIAL_PROVEN;
}

/* Tell whether the new version fails more than the old one.  */
static bool
fails_more (const trial_sums_t *old, const trial_sums_t *new)
{
  if (new->count < TRIAL_SAMPLES)
    return false;
  double p_new = new->failed / new->count;
  double p_old = old_failures (old);
  double pooled
      = (new->failed + old->failed + 1) / (new->count + old->count + 2);
  double error
      = sqrt (pooled * (1 - pooled) * (1 / new->count + 1 / (old->count + 1)));
  return p_new - p_old > TRIAL_HARM && p_new - p_old > TRIAL_SIGMAS * error;
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
  if (fails_more (old, new))
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
  return false;
}

trial_verdict_t
trial_judge (const trial_t *trial, uint64_t now_ms, bool alone, buf_t *why)
{
  evidence_t all = gather (trial);
  trial_sums_t sums[TRIAL_ARMS] = { 0 };

  if (trial->phase != TRIAL_RUNNING || trial->start_ms == 0)
    return TRIAL_WAIT;
  for (size_t cell = 0; cell < TRIAL_CELLS; cell++)
    {
      if (is_bad (&all.sums[TRIAL_OLD][cell], &all.sums[TRIAL_NEW][cell], why))
        return TRIAL_TAKE_BACK;
      for (size_t arm = 0; arm < TRIAL_ARMS; arm++)
        sums_add (&sums[arm], &all.sums[arm][cell]);
    }
  if (is_bad (&sums[TRIAL_OLD], &sums[TRIAL_NEW], why))
    return TRIAL_TAKE_BACK;
  double within_ms = (double)trial->within_ms;
  double least_ms = steps[trial->step].part * within_ms;
  /* The first move holds from the half on, and is written before it.  */
  if (trial->step == TRIAL_STEP_HELD)
    least_ms -= TRIAL_NOTICE_MS;
  if (least_ms < TRIAL_STEP_MS_MIN)
    least_ms = TRIAL_STEP_MS_MIN;
  double in_step_ms
      = now_ms > trial->from_ms ? (double)(now_ms - trial->from_ms) : 0;
  if (alone || in_step_ms < least_ms)
    return TRIAL_WAIT;
  if (trial->step > TRIAL_STEP_HELD
      && !is_proven (&sums[TRIAL_OLD], &sums[TRIAL_NEW], in_step_ms, least_ms))
    return TRIAL_WAIT;
  if (trial->step + 1 < TRIAL_STEP_COUNT)
    return TRIAL_ADVANCE;
  return all.old_running == 0 || in_step_ms >= linger_part * within_ms
             ? TRIAL_FINISH
             : TRIAL_WAIT;
}
