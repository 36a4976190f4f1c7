#include "model.h"

#include "base/mem.h"
#include "policy/admission.h"
#include "policy/balance.h"
#include "policy/heap.h"
#include "policy/limit.h"
#include "policy/outlier.h"
#include "policy/queue.h"
#include "policy/retry.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  ENTRIES = MODEL_ZONES,
  TRIES = 3,
  /* An engine takes this many times its slots.  */
  ENGINE_BATCH = 4,
  COLD_SLOTS = 2,
  SHORT_COST_MIN = 20,
  SHORT_COST_MAX = 80,
  LONG_DEADLINES = 20,
  CACHED = 32,
  FAIL_US = 1000,
  REPORT_US = 250000,
  OBSERVE_US = 200000,
  SECOND_US = 1000000,
  /* Work is counted in 2^20ths of a unit.  */
  WORK_SHIFT = 20,
  QUIET_TEAM = MODEL_TEAMS - 1,
  NO_SAMPLE = -1
};

#define COLD_SPEED 0.2
#define SLOW_SPEED 0.2
#define CACHE_SAVING 0.4
#define ESTIMATE_ERROR 0.3
#define EVENTS_LOST 0.2
/* An engine is in full use again at this part of the mean, as the load of each
   varies by about the rest.  */
#define FULL_USE 0.75

typedef enum
{
  ARRIVAL,
  ENGINE,   /* A job of an engine ends.  */
  LAPSE,    /* A waiter of a sidecar cannot make its deadline.  */
  DEADLINE, /* The caller of a request leaves.  */
  STEP,     /* A request fails, or is tried again.  */
  REPORT,
  HEARD, /* An entry hears a report or cache event.  */
  OBSERVE,
  SCRIPT
} event_type_t;

typedef struct
{
  heap_node_t node; /* Its key is the time in microseconds.  */
  event_type_t type;
} event_t;

typedef struct upstream upstream_t;
typedef struct entry entry_t;

typedef enum
{
  BACKING_OFF,
  QUEUED,
  RUNNING,
  FAILING
} request_state_t;

typedef struct
{
  event_t deadline;
  event_t step;
  queue_waiter_t waiter;
  heap_node_t job; /* Its key is the engine's work at which it ends.  */
  list_t waiting;  /* In the engine's own queue.  */
  request_state_t state;
  entry_t *entry;
  upstream_t *at;
  int team;
  uint32_t cost;
  uint32_t work; /* What the cache leaves of the cost.  */
  uint32_t estimate;
  bool is_long;
  bool counted; /* Came after the warm-up.  */
  uint64_t affinity;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t started_us;
  int tries;
  upstream_id_t tried[TRIES];
} request_t;

struct upstream
{
  event_t engine;
  event_t lapse;
  event_t report;
  event_t observe;
  int number;
  int zone;
  bool exists;
  bool slow;
  bool failing;
  uint64_t cold_until_us;
  bool was_full; /* Carried its part since it was last cold.  */

  heap_t jobs;
  uint64_t work;    /* That each job running all along would have had.  */
  uint64_t work_us; /* When WORK was true.  */
  uint64_t observed_work;
  list_t waiting;
  uint32_t waiting_count;
  uint64_t cached[CACHED];
  uint32_t cache_next;

  limit_t *limit;
  queue_t *queue;
};

struct entry
{
  balance_t *balance;
  outlier_t *outlier;
  admission_t *admission;
  retry_t *retry;
  upstream_id_t ids[MODEL_UPSTREAMS_MAX];
  outlier_member_t *members[MODEL_UPSTREAMS_MAX];
  double reported[MODEL_UPSTREAMS_MAX];
  int turn;
};

/* A report or cache event on its way to all entries.  */
typedef struct
{
  event_t event;
  upstream_t *from;
  uint64_t sent_us;
  balance_load_t load;
  uint64_t affinity; /* BALANCE_NO_AFFINITY for a report.  */
} heard_t;

typedef struct
{
  const pattern_t *pattern;
  bool ours;
  rng_t rng;        /* Of the load.  */
  rng_t policy_rng; /* Of the decisions, so that both sides see one load.  */
  clock_iface_t *clock;
  uint64_t now;
  uint64_t begin;
  heap_t events;
  uint64_t sequence;
  event_t arrival;
  event_t script;
  int script_step;
  upstream_t upstreams[MODEL_UPSTREAMS_MAX];
  int upstream_count;
  bool zone_in[MODEL_ZONES];
  entry_t entries[ENTRIES];
  pool_id_t pool;

  outcome_t out;
  double asked[MODEL_TEAMS];
  double served[MODEL_TEAMS];
  double served_sum;
  uint64_t bad_attempts;
  double
      *waits[3]; /* Of short jobs: all, the quiet team's, after the event.  */
  size_t wait_counts[3];
  size_t wait_caps[3];
  double crowd_sum;
  uint64_t crowd_count;
} model_t;

static void dispatch (model_t *m, request_t *request);

/* Events.  */

static uint64_t
seconds_us (double seconds)
{
  return (uint64_t)(seconds * SECOND_US);
}

/* Return the seconds since the run began.  */
static double
elapsed (const model_t *m)
{
  return (double)(m->now - m->begin) / SECOND_US;
}

static void
schedule (model_t *m, event_t *event, event_type_t type, uint64_t at_us)
{
  event->type = type;
  event->node.key = at_us;
  event->node.tie = ++m->sequence;
  if (event->node.position != 0)
    heap_update (&m->events, &event->node);
  else
    heap_push (&m->events, &event->node);
}

static void
unschedule (model_t *m, event_t *event)
{
  heap_remove (&m->events, &event->node);
}

/* What callers receive.  */

static void
add_wait (model_t *m, int list, double wait_ms)
{
  if (m->wait_counts[list] == m->wait_caps[list])
    {
      m->wait_caps[list] = m->wait_caps[list] * 2 + 1024;
      m->waits[list]
          = mem_realloc (m->waits[list], m->wait_caps[list] * sizeof (double));
    }
  m->waits[list][m->wait_counts[list]++] = wait_ms;
}

/* Return when the event of the pattern is over, in seconds.  */
static double
event_end (const pattern_t *p)
{
  if (p->zone_in >= 0)
    return p->zone_in;
  if (p->cold_at >= 0)
    return p->cold_at;
  if (p->new_at >= 0)
    return p->new_at;
  if (p->burst > 0)
    return p->burst_to;
  return p->fail_from;
}

/* Record how long the caller of REQUEST waited, if it was a short job.  */
static void
record_wait (model_t *m, const request_t *request)
{
  double wait_ms = (double)(m->now - request->arrived_us) / 1000;
  double arrived = (double)(request->arrived_us - m->begin) / SECOND_US;
  double end = event_end (m->pattern);

  if (request->is_long || !request->counted)
    return;
  add_wait (m, 0, wait_ms);
  if (request->team == QUIET_TEAM)
    add_wait (m, 1, wait_ms);
  if (arrived >= end + 5 && arrived < end + 10)
    add_wait (m, 2, wait_ms);
}

static void
finish (model_t *m, request_t *request)
{
  unschedule (m, &request->deadline);
  unschedule (m, &request->step);
  free (request);
}

static void
finish_answered (model_t *m, request_t *request)
{
  record_wait (m, request);
  if (m->now > request->deadline_us)
    m->out.late++;
  else if (request->counted)
    {
      m->out.answered++;
      m->served[request->team] += request->cost;
      m->served_sum += request->cost;
    }
  finish (m, request);
}

static void
finish_refused (model_t *m, request_t *request)
{
  if (m->now == request->arrived_us)
    m->out.refused += request->counted;
  else
    {
      m->out.lapsed += request->counted;
      record_wait (m, request);
    }
  finish (m, request);
}

static void
finish_failed (model_t *m, request_t *request)
{
  m->out.errors += request->counted;
  record_wait (m, request);
  finish (m, request);
}

/* Engines.  */

static bool
is_cold (const model_t *m, const upstream_t *u)
{
  return m->now < u->cold_until_us;
}

static double
engine_slots (const model_t *m, const upstream_t *u)
{
  return is_cold (m, u) ? COLD_SLOTS : m->pattern->slots;
}

/* Return the units a second that each running job gets.  */
static double
engine_speed (const model_t *m, const upstream_t *u)
{
  double slots = engine_slots (m, u);
  double speed = MODEL_SLOT_UNITS_PER_S;

  if (is_cold (m, u))
    speed *= COLD_SPEED;
  if (u->slow)
    speed *= SLOW_SPEED;
  if (u->jobs.count > slots)
    speed *= pow (slots / u->jobs.count, 1 + m->pattern->thrash);
  return speed;
}

/* Bring the engine's work up to now, before anything changes its speed.  */
static void
engine_work (model_t *m, upstream_t *u)
{
  double done = (double)(m->now - u->work_us) / SECOND_US * engine_speed (m, u)
                * (1 << WORK_SHIFT);

  u->work += (uint64_t)done;
  u->work_us = m->now;
}

/* Set the event of the next job that ends, or of the end of coldness.  */
static void
engine_schedule (model_t *m, upstream_t *u)
{
  heap_node_t *next = heap_top (&u->jobs);
  double left;
  uint64_t at_us;

  unschedule (m, &u->engine);
  if (next == NULL)
    return;
  left = next->key > u->work ? (double)(next->key - u->work) : 0;
  at_us = m->now + 1
          + (uint64_t)(left / (1 << WORK_SHIFT) / engine_speed (m, u)
                       * SECOND_US);
  if (is_cold (m, u) && u->cold_until_us < at_us)
    at_us = u->cold_until_us;
  schedule (m, &u->engine, ENGINE, at_us);
}

/* Return the units that the cached prefix of REQUEST leaves to do, and cache
   the prefix.  */
static double
engine_cost (model_t *m, upstream_t *u, const request_t *request)
{
  heard_t *heard;

  if (request->affinity == BALANCE_NO_AFFINITY)
    return request->cost;
  for (int i = 0; i < CACHED; i++)
    if (u->cached[i] == request->affinity)
      return request->cost * (1 - CACHE_SAVING);
  u->cached[u->cache_next++ % CACHED] = request->affinity;
  /* The event of it comes late, or never.  */
  if (m->ours && rng_double (&m->policy_rng) > EVENTS_LOST)
    {
      heard = mem_zalloc (sizeof *heard);
      heard->from = u;
      heard->affinity = request->affinity;
      schedule (m, &heard->event, HEARD,
                m->now + SECOND_US + rng_below (&m->policy_rng, SECOND_US));
    }
  return request->cost;
}

static void
engine_start (model_t *m, upstream_t *u, request_t *request)
{

  request->started_us = m->now;
  if (u->failing)
    {
      request->state = FAILING;
      schedule (m, &request->step, STEP, m->now + FAIL_US);
      return;
    }
  request->state = RUNNING;
  request->work = (uint32_t)engine_cost (m, u, request);
  engine_work (m, u);
  request->job.key = u->work + ((uint64_t)request->work << WORK_SHIFT);
  request->job.tie = ++m->sequence;
  heap_push (&u->jobs, &request->job);
  engine_schedule (m, u);
}

/* Take a running request off its engine; return the units done, less than its
   cost.  */
static uint32_t
engine_stop (model_t *m, upstream_t *u, request_t *request)
{
  double left;

  engine_work (m, u);
  left = request->job.key > u->work ? (double)(request->job.key - u->work) : 0;
  left /= 1 << WORK_SHIFT;
  heap_remove (&u->jobs, &request->job);
  engine_schedule (m, u);
  return left + 1 < request->work ? request->work - (uint32_t)left - 1 : 0;
}

/* Start what waits inside the engine, on the plain side.  */
static void
engine_fill (model_t *m, upstream_t *u)
{
  while (!list_is_empty (&u->waiting)
         && u->jobs.count < m->pattern->slots * ENGINE_BATCH)
    {
      request_t *request = CONTAINER_OF (u->waiting.next, request_t, waiting);

      list_remove (&request->waiting);
      u->waiting_count--;
      engine_start (m, u, request);
    }
}

/* Sidecars, of ours.  */

static void
sidecar_pump (model_t *m, upstream_t *u)
{
  queue_waiter_t *waiter;
  uint64_t lapse_us;

  while ((waiter = queue_pop_expired (u->queue)) != NULL)
    {
      request_t *request = CONTAINER_OF (waiter, request_t, waiter);

      balance_request_ended (request->entry->balance,
                             request->entry->ids[u->number], true);
      finish_refused (m, request);
    }
  queue_set_slots (u->queue, limit_slots (u->limit));
  while (limit_acquire (u->limit) == VH_OK)
    {
      waiter = queue_pop (u->queue);
      if (waiter == NULL)
        {
          limit_release_without_sample (u->limit);
          break;
        }
      engine_start (m, u, CONTAINER_OF (waiter, request_t, waiter));
    }
  lapse_us = queue_next_expiry_us (u->queue);
  unschedule (m, &u->lapse);
  if (lapse_us != QUEUE_NO_DEADLINE)
    schedule (m, &u->lapse, LAPSE, lapse_us > m->now ? lapse_us : m->now);
}

/* Return whether the sidecar of U took REQUEST.  */
static bool
sidecar_submit (model_t *m, upstream_t *u, request_t *request)
{
  queue_job_t job = { .cost = request->estimate,
                      .priority = QUEUE_PRIORITY_NORMAL,
                      .deadline_us = request->deadline_us };
  char team[] = { 't', (char)('0' + request->team) };
  queue_waiter_t *evicted;
  vh_code_t code;

  job.team = str_make (team, sizeof team);
  queue_set_slots (u->queue, limit_slots (u->limit));
  code = queue_push (u->queue, &request->waiter, &job, &evicted);
  if (evicted != NULL)
    {
      request_t *other = CONTAINER_OF (evicted, request_t, waiter);

      balance_request_ended (other->entry->balance,
                             other->entry->ids[u->number], true);
      finish_refused (m, other);
    }
  if (code != VH_OK)
    return false;
  request->state = QUEUED;
  sidecar_pump (m, u);
  return true;
}

/* Entries.  */

static void
apply_ejections (entry_t *entry)
{
  outlier_state_t state;
  upstream_t *u;

  while ((u = outlier_next_change (entry->outlier, &state)) != NULL)
    balance_set_mark (entry->balance, entry->ids[u->number], BALANCE_EJECTED,
                      state == OUTLIER_EJECTED);
}

static void
count_attempt (model_t *m, const upstream_t *u, bool counted)
{
  if (!counted)
    return;
  m->out.attempts++;
  m->bad_attempts += u->slow || u->failing || is_cold (m, u);
}

static void
dispatch_ours (model_t *m, request_t *request)
{
  entry_t *entry = request->entry;
  upstream_id_t *tried = request->tried;
  uint32_t estimate = request->estimate;
  bool counted = request->counted;

  while (request->tries < TRIES)
    {
      balance_request_t wish = { .pool = m->pool,
                                 .affinity = request->affinity,
                                 .tried = tried,
                                 .tried_count = (size_t)request->tries };
      balance_info_t info;
      upstream_id_t id;
      uint64_t number = 0;

      if (balance_pick (entry->balance, &wish, &id) != VH_OK)
        break;
      tried[request->tries++] = id;
      balance_info (entry->balance, id, &info);
      str_to_u64 (info.name, &number);
      request->at = &m->upstreams[number];
      balance_request_started (entry->balance, id);
      m->out.dispatched += counted;
      if (sidecar_submit (m, request->at, request))
        {
          /* The request may be gone already, refused as lapsed.  */
          admission_record_result (entry->admission, estimate, true);
          count_attempt (m, &m->upstreams[number], counted);
          return;
        }
      balance_request_ended (entry->balance, id, true);
      admission_record_result (entry->admission, request->estimate, false);
    }
  finish_refused (m, request);
}

static bool
in_service (const model_t *m, int number)
{
  return m->upstreams[number].exists && m->zone_in[m->upstreams[number].zone];
}

static upstream_t *
pick_plain (model_t *m, request_t *request)
{
  entry_t *entry = request->entry;
  int n = m->upstream_count;
  int best = -1;

  if (m->pattern->plain == BASELINE_ROUND_ROBIN || request->affinity == 0)
    do
      entry->turn = (entry->turn + 1) % n;
    while (!in_service (m, entry->turn));
  if (m->pattern->plain == BASELINE_ROUND_ROBIN)
    return &m->upstreams[entry->turn];
  if (m->pattern->plain == BASELINE_PREFIX_HASH && request->affinity != 0)
    return &m->upstreams[(request->affinity * 0x9e3779b97f4a7c15u >> 32)
                         % (uint64_t)n];
  if (m->pattern->plain == BASELINE_PREFIX_HASH)
    return &m->upstreams[entry->turn];
  for (int k = 0; k < n; k++)
    {
      int i = (entry->turn + k) % n;

      if (in_service (m, i)
          && (best < 0 || entry->reported[i] < entry->reported[best]))
        best = i;
    }
  return &m->upstreams[best];
}

static void
dispatch_plain (model_t *m, request_t *request)
{
  upstream_t *u = pick_plain (m, request);

  m->out.dispatched += request->counted;
  request->tries++;
  request->at = u;
  request->state = QUEUED;
  list_append (&u->waiting, &request->waiting);
  u->waiting_count++;
  count_attempt (m, u, request->counted);
  engine_fill (m, u);
}

static void
dispatch (model_t *m, request_t *request)
{
  if (m->ours)
    dispatch_ours (m, request);
  else
    dispatch_plain (m, request);
}

/* The attempt of REQUEST has left its engine with UNITS done: after its
   answer, an error, or its caller's departure, which is no failure of the
   upstream's.  */
static void
attempt_ended (model_t *m, request_t *request, uint32_t units, bool ok)
{
  upstream_t *u = request->at;
  entry_t *entry = request->entry;
  uint64_t took_us = m->now - request->started_us;

  if (!m->ours)
    {
      engine_fill (m, u);
      return;
    }
  limit_release (u->limit, took_us, units, ok);
  if (ok && units == request->work)
    {
      queue_done (u->queue, &request->waiter, took_us, units);
      retry_record_latency (entry->retry, m->now - request->arrived_us);
    }
  else
    queue_cancel (u->queue, &request->waiter);
  balance_request_ended (entry->balance, entry->ids[u->number], ok);
  if (entry->members[u->number] != NULL)
    outlier_record (entry->outlier, entry->members[u->number], ok,
                    limit_is_warming_up (u->limit) ? 0 : took_us, units);
  apply_ejections (entry);
  sidecar_pump (m, u);
}

/* An engine failed REQUEST: try again, if that is allowed.  */
static void
attempt_failed (model_t *m, request_t *request)
{
  retry_t *retry = request->entry->retry;

  attempt_ended (m, request, 0, false);
  request->state = BACKING_OFF;
  if (request->tries >= TRIES || (m->ours && retry_spend (retry) != VH_OK))
    {
      finish_failed (m, request);
      return;
    }
  if (!m->ours)
    dispatch (m, request);
  else
    schedule (m, &request->step, STEP,
              m->now
                  + 1000 * retry_backoff_ms (retry, (uint32_t)request->tries));
}

static void
on_step (model_t *m, request_t *request)
{
  if (request->state == FAILING)
    attempt_failed (m, request);
  else
    dispatch (m, request);
}

static void
on_engine (model_t *m, upstream_t *u)
{
  heap_node_t *node;

  engine_work (m, u);
  while ((node = heap_top (&u->jobs)) != NULL && node->key <= u->work + 1)
    {
      request_t *request = CONTAINER_OF (node, request_t, job);

      heap_remove (&u->jobs, node);
      attempt_ended (m, request, request->work, true);
      finish_answered (m, request);
    }
  engine_schedule (m, u);
}

static void
on_deadline (model_t *m, request_t *request)
{
  upstream_t *u = request->at;

  m->out.lapsed += request->counted;
  record_wait (m, request);
  switch (request->state)
    {
    case RUNNING:
      attempt_ended (m, request, engine_stop (m, u, request), true);
      break;
    case FAILING:
      attempt_ended (m, request, 0, false);
      break;
    case QUEUED:
      if (m->ours)
        {
          queue_cancel (u->queue, &request->waiter);
          balance_request_ended (request->entry->balance,
                                 request->entry->ids[u->number], true);
          break;
        }
      list_remove (&request->waiting);
      u->waiting_count--;
      break;
    case BACKING_OFF:
      break;
    }
  finish (m, request);
}

/* Load.  */

static double
exponential (rng_t *rng, double mean)
{
  return -mean * log (1 - rng_double (rng));
}

static double
current_load (const model_t *m)
{
  const pattern_t *p = m->pattern;
  double t = elapsed (m);

  return p->burst > 0 && t >= p->burst_from && t < p->burst_to ? p->burst
                                                               : p->load;
}

static double
short_mean (void)
{
  return (SHORT_COST_MIN + SHORT_COST_MAX) / 2.0;
}

/* Return the part of the requests that are long, from that of the work.  */
static double
long_part (const pattern_t *p)
{
  double longs = p->long_work / p->long_cost;
  double shorts = (1 - p->long_work) / short_mean ();

  return longs / (longs + shorts);
}

static double
mean_cost (const pattern_t *p)
{
  double part = long_part (p);

  return part * p->long_cost + (1 - part) * short_mean ();
}

static void
schedule_arrival (model_t *m)
{
  const pattern_t *p = m->pattern;
  double rate = current_load (m) * p->upstreams * p->slots
                * MODEL_SLOT_UNITS_PER_S / mean_cost (p);

  schedule (m, &m->arrival, ARRIVAL,
            m->now + 1 + seconds_us (exponential (&m->rng, 1 / rate)));
}

static int
draw_team (model_t *m)
{
  if (rng_double (&m->rng) < m->pattern->quiet / current_load (m))
    return QUIET_TEAM;
  if (rng_double (&m->rng) < m->pattern->hot_team)
    return 0;
  return 1 + (int)rng_below (&m->rng, QUIET_TEAM - 1);
}

static uint64_t
draw_affinity (model_t *m)
{
  if (m->pattern->hot_prefix <= 0)
    return BALANCE_NO_AFFINITY;
  if (rng_double (&m->rng) < m->pattern->hot_prefix)
    return 1;
  return 2 + rng_below (&m->rng, (uint64_t)m->pattern->prefixes);
}

static request_t *
draw_request (model_t *m)
{
  const pattern_t *p = m->pattern;
  request_t *request = mem_zalloc (sizeof *request);
  double cost;

  request->entry = &m->entries[rng_below (&m->rng, ENTRIES)];
  request->team = draw_team (m);
  request->affinity = draw_affinity (m);
  request->is_long = rng_double (&m->rng) < long_part (p);
  cost = SHORT_COST_MIN
         + rng_double (&m->rng) * (SHORT_COST_MAX - SHORT_COST_MIN);
  if (request->is_long)
    cost = p->long_cost * (0.5 + rng_double (&m->rng));
  request->cost = (uint32_t)cost;
  request->estimate
      = (uint32_t)(cost
                   * (1 + ESTIMATE_ERROR * (2 * rng_double (&m->rng) - 1)));
  request->arrived_us = m->now;
  request->counted = elapsed (m) >= p->warm_up;
  request->deadline_us
      = m->now
        + seconds_us (p->deadline * (request->is_long ? LONG_DEADLINES : 1));
  list_init (&request->waiting);
  return request;
}

static void
on_arrival (model_t *m)
{
  request_t *request;
  char team[2] = "t";

  if (elapsed (m) >= m->pattern->duration)
    return;
  request = draw_request (m);
  schedule_arrival (m);
  schedule (m, &request->deadline, DEADLINE, request->deadline_us);
  if (request->counted)
    {
      m->out.requests++;
      m->asked[request->team] += request->cost;
    }
  team[1] = (char)('0' + request->team);
  if (m->ours
      && admission_decide (request->entry->admission, str_make (team, 2),
                           request->estimate, QUEUE_PRIORITY_NORMAL)
             != VH_OK)
    {
      finish_refused (m, request);
      return;
    }
  dispatch (m, request);
}

/* Reports.  */

static void
on_report (model_t *m, upstream_t *u)
{
  heard_t *heard = mem_zalloc (sizeof *heard);
  double lag = m->pattern->lag * rng_double (&m->policy_rng);

  heard->from = u;
  heard->sent_us = m->now;
  heard->load.in_flight = u->jobs.count + u->waiting_count;
  heard->load.slots = (uint32_t)m->pattern->slots;
  if (m->ours)
    {
      heard->load.in_flight
          = limit_in_flight (u->limit) + queue_load (u->queue);
      heard->load.slots = limit_slots (u->limit);
    }
  schedule (m, &heard->event, HEARD, m->now + seconds_us (lag));
  if (elapsed (m) < m->pattern->duration)
    schedule (m, &u->report, REPORT, m->now + REPORT_US);
}

static void
on_heard (model_t *m, heard_t *heard)
{
  upstream_t *u = heard->from;

  for (int e = 0; e < ENTRIES; e++)
    {
      entry_t *entry = &m->entries[e];

      if (!m->ours)
        {
          entry->reported[u->number] = heard->load.in_flight;
          continue;
        }
      if (heard->affinity != BALANCE_NO_AFFINITY)
        {
          balance_cache_event (entry->balance, entry->ids[u->number],
                               heard->affinity, true);
          continue;
        }
      balance_record_load (entry->balance, entry->ids[u->number], &heard->load,
                           (m->now - heard->sent_us) / 1000);
      admission_set_pressure (entry->admission,
                              balance_pressure (entry->balance, m->pool));
    }
  free (heard);
}

/* Note how much more than the mean the fullest engine has.  */
static void
note_crowding (model_t *m)
{
  double most = 0;
  double sum = 0;
  int count = 0;

  for (int i = 0; i < m->upstream_count; i++)
    {
      upstream_t *u = &m->upstreams[i];
      double load = u->jobs.count + u->waiting_count;

      if (!in_service (m, i))
        continue;
      if (m->ours)
        load = limit_in_flight (u->limit) + queue_waiting_count (u->queue);
      most = load > most ? load : most;
      sum += load;
      count++;
    }
  if (sum == 0)
    return;
  m->crowd_sum += most * count / sum;
  m->crowd_count++;
}

/* Return the mean number of jobs at an engine in service.  */
static double
mean_jobs (const model_t *m)
{
  double sum = 0;
  int count = 0;

  for (int i = 0; i < m->upstream_count; i++)
    if (in_service (m, i))
      {
        sum += m->upstreams[i].jobs.count;
        count++;
      }
  return sum / count;
}

/* Note when engines that were cold carry their part again.  */
static void
note_full_use (model_t *m)
{
  double enough = mean_jobs (m) * FULL_USE;

  for (int i = 0; i < m->upstream_count; i++)
    {
      upstream_t *u = &m->upstreams[i];

      if (u->cold_until_us == 0 || is_cold (m, u) || u->was_full
          || u->jobs.count < enough)
        continue;
      u->was_full = true;
      m->out.full_use_s = fmax (
          m->out.full_use_s, (double)(m->now - u->cold_until_us) / SECOND_US);
    }
}

/* The sidecar sees how the running jobs get on.  */
static void
on_observe (model_t *m, upstream_t *u)
{
  double units;

  if (u->number == 0)
    {
      note_crowding (m);
      note_full_use (m);
    }
  engine_work (m, u);
  units = (double)(u->work - u->observed_work) / (1 << WORK_SHIFT);
  u->observed_work = u->work;
  if (m->ours)
    {
      for (uint32_t n = u->jobs.count; n > 0; n--)
        limit_report_progress (u->limit, OBSERVE_US, (uint32_t)units);
      sidecar_pump (m, u);
      for (int e = 0; e < ENTRIES; e++)
        apply_ejections (&m->entries[e]);
    }
  if (elapsed (m) < m->pattern->duration)
    schedule (m, &u->observe, OBSERVE, m->now + OBSERVE_US);
}

/* What operators and fate do.  */

/* Make engine NUMBER known to all entries.  */
static void
add_upstream (model_t *m, int number, bool returning)
{
  static const str_t zones[MODEL_ZONES]
      = { STR ("zone-a"), STR ("zone-b"), STR ("zone-c") };
  str_t pool = STR ("draft@1");
  upstream_t *u = &m->upstreams[number];
  char name[8];
  int len = snprintf (name, sizeof name, "%d", number);

  u->exists = true;
  u->work_us = m->now;
  for (int e = 0; m->ours && e < ENTRIES; e++)
    {
      entry_t *entry = &m->entries[e];

      entry->ids[number]
          = balance_update (entry->balance, str_make (name, (size_t)len),
                            zones[u->zone], &pool, 1, returning);
      entry->members[number] = outlier_add_member (entry->outlier, u);
    }
  schedule (m, &u->report, REPORT, m->now + rng_below (&m->rng, REPORT_US));
  schedule (m, &u->observe, OBSERVE, m->now + OBSERVE_US);
}

static void
turn_cold (model_t *m, upstream_t *u, bool restarted)
{
  engine_work (m, u);
  u->cold_until_us = m->now + seconds_us (m->pattern->cold_for);
  u->was_full = false;
  for (int i = 0; i < CACHED; i++)
    u->cached[i] = 0;
  if (restarted && m->ours)
    limit_reset (u->limit);
  engine_schedule (m, u);
}

static void
set_zone (model_t *m, bool in)
{
  m->zone_in[0] = in;
  for (int e = 0; m->ours && e < ENTRIES; e++)
    balance_set_zone_enabled (m->entries[e].balance, STR ("zone-a"), in);
  for (int i = 0; in && i < m->upstream_count; i++)
    if (m->upstreams[i].zone == 0)
      turn_cold (m, &m->upstreams[i], m->upstreams[i].jobs.count == 0);
}

static void
set_failing (model_t *m, bool failing)
{
  for (int i = 0; i < m->pattern->failing; i++)
    m->upstreams[i + (int)m->pattern->slow].failing = failing;
}

/* X (when, what happens).  */
#define SCRIPT_LINES(X)                                                       \
  X (p->fail_from, set_failing (m, true))                                     \
  X (p->fail_to, set_failing (m, false))                                      \
  X (p->cold_at, turn_cold (m, &m->upstreams[1], false))                      \
  X (p->new_at, (add_upstream (m, m->upstream_count, true),                   \
                 turn_cold (m, &m->upstreams[m->upstream_count++], true)))    \
  X (p->zone_out, set_zone (m, false))                                        \
  X (p->zone_in, set_zone (m, true))

/* Do what is due by now, and wait for the next.  */
static void
on_script (model_t *m)
{
  const pattern_t *p = m->pattern;
  double t = elapsed (m);
  double next = 1e9;
  int line = 0;

#define X(when, action)                                                       \
  line++;                                                                     \
  if ((when) >= 0 && (m->script_step & 1 << line) == 0)                       \
    {                                                                         \
      if ((when) <= t + 1e-9)                                                 \
        {                                                                     \
          m->script_step |= 1 << line;                                        \
          action;                                                             \
        }                                                                     \
      else if ((when) < next)                                                 \
        next = (when);                                                        \
    }
  SCRIPT_LINES (X)
#undef X
  if (next < 1e9)
    schedule (m, &m->script, SCRIPT, m->begin + seconds_us (next) + 1);
}

/* Set-up and results.  */

static void
create_entry (model_t *m, int e)
{
  static const str_t zones[MODEL_ZONES]
      = { STR ("zone-a"), STR ("zone-b"), STR ("zone-c") };
  entry_t *entry = &m->entries[e];
  char name[] = { 'e', (char)('0' + e) };

  entry->turn = (int)rng_below (&m->policy_rng, (uint64_t)m->upstream_count);
  if (!m->ours)
    return;
  entry->balance = balance_create (str_make (name, sizeof name), zones[e],
                                   m->clock, &m->policy_rng);
  entry->outlier = outlier_create (0, m->clock);
  entry->admission = admission_create (m->clock, &m->policy_rng);
  entry->retry = retry_create (NULL, &m->policy_rng);
  m->pool = balance_find_or_add_pool (entry->balance, STR ("draft@1"));
}

static void
create_upstream (model_t *m, int number)
{
  upstream_t *u = &m->upstreams[number];

  u->number = number;
  u->zone = number % MODEL_ZONES;
  u->slow = number < m->pattern->slow;
  list_init (&u->waiting);
  if (!m->ours)
    return;
  u->limit = limit_create (NULL, m->clock);
  u->queue = queue_create (NULL, m->clock);
}

static void
create (model_t *m)
{
  m->clock = clock_manual_create (0);
  m->begin = m->now = clock_us (m->clock);
  m->upstream_count = (int)m->pattern->upstreams;
  for (int z = 0; z < MODEL_ZONES; z++)
    m->zone_in[z] = true;
  for (int e = 0; e < ENTRIES; e++)
    create_entry (m, e);
  for (int i = 0; i < MODEL_UPSTREAMS_MAX; i++)
    create_upstream (m, i);
  for (int i = 0; i < m->upstream_count; i++)
    add_upstream (m, i, false);
}

static void
destroy (model_t *m)
{
  for (int e = 0; e < ENTRIES; e++)
    {
      balance_destroy (m->entries[e].balance);
      outlier_destroy (m->entries[e].outlier);
      admission_destroy (m->entries[e].admission);
      retry_destroy (m->entries[e].retry);
    }
  for (int i = 0; i < MODEL_UPSTREAMS_MAX; i++)
    {
      limit_destroy (m->upstreams[i].limit);
      queue_destroy (m->upstreams[i].queue);
      heap_free (&m->upstreams[i].jobs);
    }
  for (int list = 0; list < 3; list++)
    free (m->waits[list]);
  heap_free (&m->events);
  clock_manual_destroy (m->clock);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
quantile (model_t *m, int list, double q)
{
  size_t n = m->wait_counts[list];

  if (n == 0)
    return 0;
  qsort (m->waits[list], n, sizeof (double), compare_doubles);
  return m->waits[list][(size_t)((double)(n - 1) * q)];
}

/* Return the shortfall of the team worst off against its max-min fair share
   of what was served.  */
static double
unfairness (const model_t *m)
{
  double level = 0;
  double high = m->served_sum + 1;
  double worst = 0;

  /* Find the level at which the entitlements add up to what was served.  */
  for (int i = 0; i < 60; i++)
    {
      double middle = (level + high) / 2;
      double sum = 0;

      for (int t = 0; t < MODEL_TEAMS; t++)
        sum += fmin (m->asked[t], middle);
      if (sum <= m->served_sum)
        level = middle;
      else
        high = middle;
    }
  for (int t = 0; t < MODEL_TEAMS; t++)
    if (m->asked[t] > 0)
      worst = fmax (worst, 1 - m->served[t] / fmin (m->asked[t], level));
  return worst;
}

static void
sum_up (model_t *m)
{
  outcome_t *out = &m->out;

  out->goodput = m->served_sum / (m->pattern->duration - m->pattern->warm_up);
  out->short_p50_ms = quantile (m, 0, 0.5);
  out->short_p99_ms = quantile (m, 0, 0.99);
  out->quiet_p99_ms = quantile (m, 1, 0.99);
  if (m->asked[QUIET_TEAM] > 0)
    out->quiet_answered = m->served[QUIET_TEAM] / m->asked[QUIET_TEAM];
  out->after_p99_ms = quantile (m, 2, 0.99);
  out->unfairness = unfairness (m);
  if (out->attempts > 0)
    out->bad_share = (double)m->bad_attempts / (double)out->attempts;
  if (out->full_use_s == NO_SAMPLE)
    out->full_use_s = m->pattern->duration;
  if (m->crowd_count > 0)
    out->crowding = m->crowd_sum / (double)m->crowd_count;
}

static void
run_event (model_t *m, event_t *event)
{
  switch (event->type)
    {
    case ARRIVAL:
      on_arrival (m);
      break;
    case ENGINE:
      on_engine (m, CONTAINER_OF (event, upstream_t, engine));
      break;
    case LAPSE:
      sidecar_pump (m, CONTAINER_OF (event, upstream_t, lapse));
      break;
    case DEADLINE:
      on_deadline (m, CONTAINER_OF (event, request_t, deadline));
      break;
    case STEP:
      on_step (m, CONTAINER_OF (event, request_t, step));
      break;
    case REPORT:
      on_report (m, CONTAINER_OF (event, upstream_t, report));
      break;
    case HEARD:
      on_heard (m, CONTAINER_OF (event, heard_t, event));
      break;
    case OBSERVE:
      on_observe (m, CONTAINER_OF (event, upstream_t, observe));
      break;
    case SCRIPT:
      on_script (m);
      break;
    }
}

outcome_t
model_run (const pattern_t *pattern, uint64_t seed, bool ours)
{
  model_t *m = mem_zalloc (sizeof *m);
  heap_node_t *node;
  outcome_t out;

  m->pattern = pattern;
  m->ours = ours;
  m->rng = rng_make (seed);
  m->policy_rng = rng_make (~seed);
  m->out.full_use_s = NO_SAMPLE;
  create (m);
  on_script (m);
  schedule_arrival (m);
  while ((node = heap_top (&m->events)) != NULL)
    {
      event_t *event = CONTAINER_OF (node, event_t, node);

      clock_manual_advance_us (m->clock, node->key - m->now);
      m->now = node->key;
      unschedule (m, event);
      run_event (m, event);
    }
  sum_up (m);
  out = m->out;
  destroy (m);
  free (m);
  return out;
}
