/* The queue in front of one upstream.

   Answers: more work than the upstream carries, from teams of unlike appetite
   and in jobs of unlike length.  Without it (first come, first served) a team
   that sends half of all traffic takes half of the service whatever its
   weight, a question of a second waits behind drafts of minutes, and under
   overload every request waits until its deadline and is then answered too
   late: all work is wasted.

   Whom it serves: jobs are short or long by cost.  Among those of one kind
   the team with the least service so far for its weight is next (start-time
   fair queueing over estimated cost, put right by the true cost at the end,
   so that neither many small requests nor modest estimates gain anything).
   Within a team the order is by arrival, put back by the job's own length and
   by a low priority, both bounded, so that nothing starves.  A priority says
   what matters inside a team; it takes nothing from other teams.

   Short against long: short ones go first, but the long ones keep
   QUEUE_LONG_SHARE_MIN of the slots and may never hold more than
   QUEUE_LONG_SHARE_MAX of them while short ones are about.  So a short job
   waits for other short jobs only.  XXX: with a single slot there is nothing
   to keep free, and a short job waits for the long one that runs.

   Who is refused: a job which, by what waits before it and the speed seen,
   cannot end by its deadline is refused when it arrives, while its caller can
   still go elsewhere.  One that turns out not to make it is handed back as
   soon as that is known.  A full queue refuses the team that waits with most
   for its weight, not the one that happens to come last.

   - QUEUE_LONG_SHARE_MAX 0.75, QUEUE_LONG_SHARE_MIN 0.25: three quarters for
   either kind at its strongest.  The quarter kept free turns over tens of
   times while a long job runs.
   - QUEUE_MIN_SLOTS_RISE_PER_S 0.1: cap and floor are taken of the least slots
   seen lately, which is let rise by a tenth a second: the sawtooth of the
   limit has a period of some seconds, a long job lasts a minute.
   - QUEUE_SHORT_RESERVE_MS 60000: for how long after the last short job the
     reserve is kept; a pool without short jobs uses all its slots.
   - QUEUE_REORDER_MAX_MS 2000: how far a job's length or priority can put it
   back behind later ones of its team.
   - QUEUE_CREDIT_JOBS 3 mean jobs: what a team may have left unused and take
   later at once.  Without it three requests that a quiet team happens to send
     together wait for each other at the pace of its share alone.
   - QUEUE_WAIT_SLACK_SHARE 0.5: an estimated wait may take half of the time
   left. What comes later from teams with less service goes first, so waits
   turn out up to twice as long; a refusal on arrival costs the caller nothing,
   a lapse costs all it waited.
   - QUEUE_MAX_WAITERS 4096: bounds memory; deadlines refuse long before.  */

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
#define QUEUE_NO_DEADLINE UINT64_MAX

typedef struct queue queue_t;
typedef struct queue_team queue_team_t;

typedef enum
{
  QUEUE_HIGH,
  QUEUE_NORMAL,
  QUEUE_LOW
} queue_priority_t;

/* One job, embedded in the caller's own record; zero it before the first
   push.  Its fields are the queue's.  It may go away after it was refused,
   cancelled, handed back by queue_pop_expired, or passed to queue_done.  */
typedef struct
{
  heap_node_t order;
  heap_node_t lapse;
  queue_team_t *team;
  uint32_t cost;
  uint8_t kind;
  uint8_t state;
} queue_waiter_t;

typedef struct
{
  str_t team;
  uint32_t cost; /* Estimated units (tokens), at least 1.  */
  queue_priority_t priority;
  uint64_t deadline_us; /* Monotonic, or QUEUE_NO_DEADLINE.  */
} queue_job_t;

/* A field left 0 takes the constant above.  */
typedef struct
{
  uint32_t max_waiters;
  uint32_t long_cost; /* Jobs of this cost and more are long.  */
} queue_config_t;

/* CONFIG may be NULL.  CLOCK is borrowed.  */
queue_t *queue_create (const queue_config_t *config, clock_iface_t *clock);
/* Release QUEUE; the waiters stay the callers'.  */
void queue_destroy (queue_t *queue);

/* Set the weight of TEAM (1 until set, 0 counts as 1).  */
void queue_set_weight (queue_t *queue, str_t team, uint32_t weight);
/* Tell how many jobs the upstream runs at a time (limit_slots).  */
void queue_set_slots (queue_t *queue, uint32_t slots);

/* Let WAITER wait.  Return VH_OK; VH_E_DEADLINE when it cannot be done in
   time; VH_E_FULL when the queue is full.  In a full queue the last job of
   another team may have to give way: it is returned in *EVICTED (else NULL)
   and is to be refused with VH_E_FULL.  */
vh_code_t queue_push (queue_t *queue, queue_waiter_t *waiter,
                      const queue_job_t *job, queue_waiter_t **evicted);

/* Return the waiter to run next, or NULL when none waits that may run now.
   It counts as running until queue_done.  Take out the lapsed ones first.  */
queue_waiter_t *queue_pop (queue_t *queue);

/* A popped job ended after SERVICE_US, having cost USED units (0 when not
   known).  */
void queue_done (queue_t *queue, queue_waiter_t *waiter, uint64_t service_us,
                 uint32_t used);

/* Take WAITER out, wherever it is; O(log n).  A running one is only no longer
   counted.  */
void queue_cancel (queue_t *queue, queue_waiter_t *waiter);

/* Return a waiter that can no longer make its deadline, to be refused with
   VH_E_DEADLINE, or NULL when there is none.  */
queue_waiter_t *queue_pop_expired (queue_t *queue);
/* Return when the next waiter lapses, or QUEUE_NO_DEADLINE.  */
uint64_t queue_next_expiry_us (const queue_t *queue);

/* Return how long a job of TEAM with COST would wait from now.  */
uint64_t queue_estimate_wait_us (queue_t *queue, str_t team, uint32_t cost);

/* Return the load to report of what waits: how much of it the job of one more
   team would find before it.  A plain count makes upstreams look alike whether
   one team waits with all or all with some; the teams within their share then
   gather where they wait for each other.  */
uint32_t queue_load (const queue_t *queue);

uint32_t queue_waiting_count (const queue_t *queue);
uint32_t queue_running_count (const queue_t *queue);

#endif
