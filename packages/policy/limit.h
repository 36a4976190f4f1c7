/* Adaptive concurrency limit of one upstream.

   Load pattern: an upstream that was just started, or that lost its caches
   while in service, fails under the load that a warm upstream carries.
   Without a limit every request is sent on at once, all requests slow down
   together, and the first responses arrive after their callers have timed out.

   The limit works like the congestion window of a transport protocol.  A slot
   is the permission to run one request.  The limit is the number of slots.  A
   new upstream has LIMIT_INITIAL_SLOTS of them.  A round ends after as many
   samples as there are slots.  During slow start each round without a rise in
   latency doubles the limit; the first rise ends slow start, and each later
   round without a rise adds LIMIT_GROWTH_SLOTS.  When the limit is reset
   during slow start, the next slow start doubles only up to half of the limit
   before the reset.  Latency is divided by the cost of the request, so that
   long jobs do not count as slow ones, and compared with the best latency per
   unit of cost of this upstream.

   Reasons for the constants:

   - LIMIT_INITIAL_SLOTS 2: the smallest number of slots that shows whether
     concurrent requests slow each other down.
   - LIMIT_LATENCY_TOLERANCE 1.25: accepted ratio of latency to the best
     latency.  An engine with more jobs than its batch holds slows each job in
     proportion or more, so a ratio of 1.25 is reached two jobs past a batch of
     eight.  An engine that slows gradually as its batch fills needs a higher
     ratio, the one of a full batch.
   - LIMIT_GROWTH_SLOTS 0.5 slots: a rise in latency shows one or two rounds
     after its cause, so steps of a whole slot overshoot by several slots.
   - LIMIT_COLD_LATENCY_RATIO 3, LIMIT_COLD_SAMPLES 3: the limit is reset after
     three consecutive samples of three times the best latency.  A full batch
     never gets that slow, because the limit is cut long before, and one
     unusual job gives one sample only.  A wrong reset to LIMIT_INITIAL_SLOTS
     costs a few rounds; a necessary reset that is missing makes a batch of
     requests time out.
   - LIMIT_CONSECUTIVE_ERRORS 3: one error may come from a malformed request;
     three consecutive errors are attributed to the upstream.
   - LIMIT_BEST_LATENCY_SMOOTHING 0.3: smoothing weight of a lower best
     latency.  One round of unusually fast jobs must not make all later jobs
     count as slow.
   - LIMIT_WARM_LATENCY_RATIO 0.5: a round at half of the best latency shows
     that the upstream was cold in all earlier rounds; slow start begins again.
   - LIMIT_DOUBLE_UTILIZATION 0.75, LIMIT_GROWTH_UTILIZATION 0.49: utilization
     of the slots over the round above which the limit doubles or grows.
     Unused slots were not tested: growth on a momentary peak brings idle
     upstreams to twice the slots that they can serve.  The balancer keeps the
     utilization of all upstreams about equal, so with a much higher bound an
     upstream that starts low in a half idle pool stays low; with 0.5, two new
     upstreams of six never got beyond two slots.  Below LIMIT_SMALL_SLOTS 6
     slots LIMIT_GROWTH_UTILIZATION is enough to double, once the best latency
     is that of a warm engine.
   - LIMIT_ROUND_MIN_MS 20: minimum length of a round.  Jobs of a millisecond
     would otherwise double the limit before the engine is affected by the
     load.
   - LIMIT_BEST_LATENCY_DRIFT_PER_MIN 0.1: rate at which the best latency is
     raised, so that a lasting change of hardware or version is adopted within
     minutes while a cold period of seconds is not.  */

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
#define LIMIT_BEST_LATENCY_DRIFT_PER_MIN 0.1
#define LIMIT_GROWTH_SLOTS 0.5
#define LIMIT_WARM_LATENCY_RATIO 0.5
#define LIMIT_BEST_LATENCY_SMOOTHING 0.3
#define LIMIT_DOUBLE_UTILIZATION 0.75
#define LIMIT_GROWTH_UTILIZATION 0.49

typedef struct limit limit_t;

/* Settings of a limit; 0 selects LIMIT_INITIAL_SLOTS for INITIAL_SLOTS,
   LIMIT_SLOTS_MAX for MAX_SLOTS, and LIMIT_LATENCY_TOLERANCE for TOLERANCE. */
typedef struct
{
  uint32_t initial_slots; /* Slots after creation and after a reset.  */
  uint32_t max_slots; /* Most slots, such as the batch size of the engine.  */
  double tolerance;   /* Accepted ratio of latency to the best latency.  */
} limit_config_t;

/* Return a new limit, owned by the caller.  CONFIG may be NULL for the
   defaults.  CLOCK is borrowed and must outlive the limit.  */
limit_t *limit_create (const limit_config_t *config, clock_iface_t *clock);
void limit_destroy (limit_t *limit);

/* Acquire a slot.  Return VH_OK, or VH_E_FULL when all slots are in use.  */
vh_code_t limit_acquire (limit_t *limit);

/* Release a slot whose request took LATENCY_US for UNITS of cost.  UNITS
   excludes what the engine served from its prefix cache; otherwise a cache hit
   counts as a new best latency.  OK is false when the upstream failed, but not
   when the request was invalid, the caller disconnected or the deadline
   passed.  After a disconnect or a deadline UNITS is the work done until then,
   which exposes an upstream that makes hardly any progress.  Deadlines counted
   as failures would keep the limit of an upstream with a full queue at its
   start.  */
void limit_release (limit_t *limit, uint64_t latency_us, uint32_t units,
                    bool ok);

/* Release a slot without a latency sample: its request was cancelled, or
   refused before it started.  */
void limit_release_without_sample (limit_t *limit);

/* Record the progress of a running request: UNITS produced in LATENCY_US since
   the last report.  UNITS 0 counts as 1, so that a stalled request counts as
   slow.  Call it only after the first byte of the response, as the time to the
   first byte depends on the prompt.  With it a cold upstream is detected
   before its long jobs end.  */
void limit_report_progress (limit_t *limit, uint64_t latency_us,
                            uint32_t units);

/* Reset LIMIT after a restart of the upstream: its caches are cold, and the
   requests in flight are lost and must not be released.  */
void limit_reset (limit_t *limit);

/* Return the number of requests that may run at the same time.  */
uint32_t limit_slots (const limit_t *limit);
/* Return the number of slots in use.  */
uint32_t limit_in_flight (const limit_t *limit);
/* Return whether the limit is in slow start or at its start value.  Always
   false when the start value equals the maximum.  */
bool limit_is_warming_up (const limit_t *limit);

#endif
