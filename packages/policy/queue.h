/* Fair queue in front of one upstream.

   Load pattern: more work than the upstream can do, from teams of unequal
   demand and in jobs of unequal length.  With a first-come, first-served queue
   a team that sends half of all traffic gets half of the capacity, whatever
   its weight, a job of a second waits behind jobs of minutes, and under
   overload every request waits until its deadline and is answered too late, so
   that all work is wasted.

   Order: a job is short or long according to its estimated cost.  Among the
   jobs of one size class the team with the least service relative to its
   weight is served next (start-time fair queueing by estimated cost, corrected
   by the actual cost when the job ends, so that a team gains nothing by many
   small requests or by low estimates).  Within a team jobs are ordered by
   arrival; a long service time or a low priority moves a job back by a bounded
   time, so that no job starves.  A priority orders the jobs of one team and
   does not affect other teams.

   Slots of the size classes: short jobs are served first, but long jobs keep
   QUEUE_LONG_SHARE_MIN of the slots, and they never hold more than
   QUEUE_LONG_SHARE_MAX of the slots while short jobs arrive.  So a short job
   waits for other short jobs only.  XXX: an upstream with a single slot cannot
   reserve a slot for short jobs, and a short job waits for the running long
   job.

   Refusal: a job is refused on arrival when the jobs ahead and the service
   times so far show that it cannot end by its deadline; its caller can still
   try another upstream.  A waiting job that can no longer meet its deadline is
   returned to the caller at once.  A full queue refuses a job of the team with
   the most waiting work relative to its weight, not the job that arrived last.

   Reasons for the constants:

   - QUEUE_LONG_SHARE_MAX 0.75, QUEUE_LONG_SHARE_MIN 0.25: each size class can
     hold at most three quarters of the slots.  The reserved quarter serves
     tens of short jobs while one long job runs.
   - QUEUE_MIN_SLOTS_RISE_PER_S 0.1: both shares are taken of the recent
     minimum of the slots, which rises by a tenth per second: the concurrency
     limit oscillates within seconds, while a long job takes a minute.
   - QUEUE_SHORT_RESERVE_MS 60000: time after the last short job for which
     slots stay reserved; without short jobs the long jobs may use all slots.
   - QUEUE_REORDER_MAX_MS 2000: most time by which the service time, and each
     step of priority, move a job back behind later jobs of its team.
   - QUEUE_CREDIT_JOBS 3 jobs of mean cost: unused service that a team may use
     later in a burst.  Without credit, three simultaneous requests of a mostly
     idle team wait for each other at the rate of its share.
   - QUEUE_WAIT_SLACK_SHARE 0.5: share of the slack before the deadline that
     the estimated wait may take.  Later jobs of teams with less service go
     ahead, so the actual wait is up to twice the estimate.  A refusal on
     arrival costs the caller nothing; an expiry in the queue costs the time
     spent waiting.
   - QUEUE_MAX_WAITERS 4096: bounds the memory; deadlines lead to refusals long
     before.  */

#ifndef POLICY_QUEUE_H
#define POLICY_QUEUE_H

#include "base/clock.h"
#include "base/code.h"
#include "policy/heap.h"

enum
{
  QUEUE_SHORT_RESERVE_MS = 60000,
  QUEUE_REORDER_MAX_MS = 2000,
  QUEUE_MAX_WAITERS = 4096,
  QUEUE_LONG_COST_MIN = 1000
};

#define QUEUE_LONG_SHARE_MAX 0.75
#define QUEUE_LONG_SHARE_MIN 0.25
#define QUEUE_WAIT_SLACK_SHARE 0.5
#define QUEUE_CREDIT_JOBS 3.0
#define QUEUE_MIN_SLOTS_RISE_PER_S 0.1
/* Value of a deadline that never passes.  */
#define QUEUE_NO_DEADLINE UINT64_MAX

typedef struct queue queue_t;
typedef struct queue_team queue_team_t;

typedef enum
{
  QUEUE_PRIORITY_HIGH,
  QUEUE_PRIORITY_NORMAL,
  QUEUE_PRIORITY_LOW
} queue_priority_t;

/* Queue entry of one job, embedded in the caller's own record and zeroed by
   the caller before the first push.  The fields are private to the queue.  The
   caller may free the entry after the job was refused, evicted or cancelled,
   returned by queue_pop_expired, or passed to queue_done.  */
typedef struct
{
  heap_node_t order_node;  /* Position among the jobs of the team.  */
  heap_node_t expiry_node; /* Position in the order of expiry.  */
  queue_team_t *team;
  uint32_t cost;
  uint8_t size_class;
  uint8_t state;
} queue_waiter_t;

/* Description of a job to be queued.  */
typedef struct
{
  str_t team;
  uint32_t cost; /* Estimated cost in tokens, at least 1.  */
  queue_priority_t priority;
  uint64_t deadline_us; /* Monotonic time, or QUEUE_NO_DEADLINE.  */
} queue_job_t;

/* Settings of a queue.  MAX_WAITERS 0 selects QUEUE_MAX_WAITERS, and
   LONG_COST_MIN 0 selects QUEUE_LONG_COST_MIN.  */
typedef struct
{
  uint32_t max_waiters;
  uint32_t long_cost_min; /* Least cost of a long job.  */
} queue_config_t;

/* Return a new queue, owned by the caller.  CONFIG may be NULL for the
   defaults.  CLOCK is borrowed and must outlive the queue.  */
queue_t *queue_create (const queue_config_t *config, clock_iface_t *clock);
/* Free QUEUE.  The callers still own the entries of waiting jobs.  */
void queue_destroy (queue_t *queue);

/* Set the weight of TEAM.  The default is 1, and 0 counts as 1.  */
void queue_set_weight (queue_t *queue, str_t team, uint32_t weight);
/* Set the number of jobs that the upstream can run at the same time.  */
void queue_set_slots (queue_t *queue, uint32_t slots);

/* Add WAITER to the queue.  Return VH_OK, VH_E_DEADLINE when the job cannot
   end by its deadline, or VH_E_FULL when the queue is full.  A full queue may
   evict a job of another team instead: *EVICTED is then that job, which the
   caller must refuse with VH_E_FULL, and otherwise NULL.  */
vh_code_t queue_push (queue_t *queue, queue_waiter_t *waiter,
                      const queue_job_t *job, queue_waiter_t **evicted);

/* Remove and return the job to run next, or NULL when no waiting job may run.
   The job counts as running until queue_done or queue_cancel.  Before each
   call, queue_pop_expired must be called until it returns NULL.  */
queue_waiter_t *queue_pop (queue_t *queue);

/* Record that the running job WAITER ended after SERVICE_US at a cost of
   USED_COST units; USED_COST is 0 when the cost is unknown, and SERVICE_US is
   0 when the time must not count.  */
void queue_done (queue_t *queue, queue_waiter_t *waiter, uint64_t service_us,
                 uint32_t used_cost);

/* Remove WAITER, waiting or running, from the queue in O(log n).  A running
   job stays charged with its estimated cost, and its service time is not
   sampled.  */
void queue_cancel (queue_t *queue, queue_waiter_t *waiter);

/* Remove and return a job that can no longer meet its deadline, to be refused
   with VH_E_DEADLINE; NULL if there is none.  */
queue_waiter_t *queue_pop_expired (queue_t *queue);
/* Return the time at which the next waiting job expires, or
   QUEUE_NO_DEADLINE.  */
uint64_t queue_next_expiry_us (const queue_t *queue);

/* Return the expected wait of a job of TEAM with COST that arrives now.  */
uint64_t queue_estimate_wait_us (queue_t *queue, str_t team, uint32_t cost);

/* Return the load of the waiting jobs to report to the balancer: the work that
   would be served before a job of a further team.  A plain count of jobs would
   not distinguish an upstream with one waiting team from one with many, and
   the teams within their share would gather at upstreams where they wait for
   each other.  */
uint32_t queue_load (const queue_t *queue);

/* Return the number of waiting jobs.  */
uint32_t queue_waiting_count (const queue_t *queue);
/* Return the number of running jobs.  */
uint32_t queue_running_count (const queue_t *queue);

#endif
