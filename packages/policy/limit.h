/* Concurrency limit of one upstream, found from its latency and errors.

   Answers: an upstream that was just started, or has gone cold in service,
   and falls over under the load that a warm one carries.  Without it every
   request that arrives is sent on at once, all of them slow down together,
   and the first answers come after their callers have left.

   Works like the congestion window of a transport.  A new upstream gets
   LIMIT_INITIAL_SLOTS requests at a time; each round (as many samples as the
   limit) without a rise of latency doubles it, until a first rise; from then
   on it grows by LIMIT_GROWTH_SLOTS a round.  After a fall in slow start it
   doubles only up to half of where it fell.  Latency is taken per unit of
   cost, so that long jobs do not read as slowness, and compared with the best
   this upstream has shown.  The figures; a trial is one on the model of
   bench/model.h:

   - LIMIT_INITIAL_SLOTS 2: the least that shows whether work side by side
   hurts.
   - LIMIT_LATENCY_TOLERANCE 1.25: past its slots an engine gives each job less
   in proportion, or less still; a quarter is found two jobs past eight.  An
     engine whose jobs slow smoothly as its batch fills wants more: what a
     full batch costs is this setting.
   - LIMIT_GROWTH_SLOTS 0.5: a rise shows a round or two after what caused it,
   so whole steps overshoot by some slots.
   - LIMIT_COLD_LATENCY_RATIO 3, LIMIT_COLD_SAMPLES 3: a full batch never takes
   three times the best (it would have been cut long before), and three samples
     in a row are no single odd job.  A fall back to LIMIT_INITIAL_SLOTS costs
   a few rounds when wrong; staying high costs a wave of time-outs.
   - LIMIT_CONSECUTIVE_ERRORS 3: one malformed request may fail; three in a row
   are the upstream's doing.
   - LIMIT_BEST_SMOOTHING 0.3 of the way to a better best: one round of odd
   jobs must not make all that follow look slow.
   - LIMIT_WARM_LATENCY_RATIO 0.5: a round at half the best latency means that
   the upstream was cold all the time before; it doubles again.
   - LIMIT_DOUBLE_UTILIZATION 0.75, LIMIT_GROWTH_UTILIZATION 0.49: more of the
   slots than this in use over the round.  What is not used was not tried, and
   growth on a moment's peak (a trial) brought idle upstreams to twice their
   slots. Balance keeps all upstreams about equally used, so with bounds much
     higher one that starts low in a half idle pool stays low (in a trial with
     0.5 two new upstreams of six never got beyond two slots).  Below
     LIMIT_SMALL_SLOTS 6 slots half is enough to double, once the best of the
   warm engine is known.
   - LIMIT_ROUND_MIN_MS 20: no round is judged on less, or jobs of a
   millisecond would double the limit before the engine felt the load.
   - LIMIT_BEST_DRIFT_PER_MIN 0.1: the best latency is forgotten slowly, so
   that a lasting change of hardware or version is learned in minutes while a
   cold spell of seconds is not taken for normal.  */

#ifndef POLICY_LIMIT_H
#define POLICY_LIMIT_H

#include "base/clock.h"
#include "base/code.h"

enum
{
  LIMIT_INITIAL_SLOTS = 2,
  LIMIT_COLD_SAMPLES = 3,
  LIMIT_CONSECUTIVE_ERRORS = 3,
  LIMIT_SMALL_SLOTS = 6,
  LIMIT_ROUND_MIN_MS = 20,
  LIMIT_SLOTS_MAX = 1024
};

#define LIMIT_LATENCY_TOLERANCE 1.25
#define LIMIT_COLD_LATENCY_RATIO 3.0
#define LIMIT_BEST_DRIFT_PER_MIN 0.1
#define LIMIT_GROWTH_SLOTS 0.5
#define LIMIT_WARM_LATENCY_RATIO 0.5
#define LIMIT_BEST_SMOOTHING 0.3
#define LIMIT_DOUBLE_UTILIZATION 0.75
#define LIMIT_GROWTH_UTILIZATION 0.49

typedef struct limit limit_t;

/* A field left 0 takes the constant above.  */
typedef struct
{
  uint32_t start;
  uint32_t max; /* The upstream's own slots, where known.  */
  double tolerance;
} limit_config_t;

/* CONFIG may be NULL.  CLOCK is borrowed.  */
limit_t *limit_create (const limit_config_t *config, clock_iface_t *clock);
void limit_destroy (limit_t *limit);

/* Take a slot.  Return VH_OK, or VH_E_FULL with nothing taken.  */
vh_code_t limit_acquire (limit_t *limit);

/* Give back a slot whose request took LATENCY_US for UNITS of cost, less what
   the engine had in its cache, or a cached prefix reads as a new best.  OK is
   false when the upstream failed, not when the request itself was at fault.
   A caller's departure, or a deadline, is no failure: UNITS is what was done
   by then, and shows an upstream that hardly does anything.  (Taken as a
   failure, in a trial, the last jobs that a full queue lets through held the
   limit at its start.)  */
void limit_release (limit_t *limit, uint64_t latency_us, uint32_t units,
                    bool ok);

/* Give back a slot that tells nothing: cancelled, or refused unstarted.  */
void limit_release_without_sample (limit_t *limit);

/* Take in progress of a running request: UNITS produced in LATENCY_US since
   the last report; 0 counts as 1, so that silence reads as slowness.  Only
   between two bytes of an answer, as the time to the first is the prompt's.
   Long jobs show coldness through it before they end.  */
void limit_report_progress (limit_t *limit, uint64_t latency_us,
                            uint32_t units);

/* The upstream was started anew: its warmth is gone, and so are the requests
   in flight, which are not to be released any more.  */
void limit_reset (limit_t *limit);

uint32_t limit_slots (const limit_t *limit);
uint32_t limit_in_flight (const limit_t *limit);
/* Whether the upstream is in slow start, after a start or a cold turn, or held
   at its start; never of one whose start is its greatest.  */
bool limit_is_warming_up (const limit_t *limit);

#endif
