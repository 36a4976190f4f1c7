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
  ENTRY_COUNT = MODEL_ZONES,
  ATTEMPTS_MAX = 3,
  /* Ratio of the jobs that an engine runs at most to its slots.  */
  BATCH_PER_SLOT = 4,
  COLD_SLOTS = 2,
  SHORT_COST_MIN = 20,
  SHORT_COST_MAX = 80,
  LONG_DEADLINE_FACTOR = 20,
  CACHED_PREFIXES = 32,
  FAILURE_DELAY_US = 1000,
  REPORT_INTERVAL_US = 250000,
  OBSERVE_INTERVAL_US = 200000,
  US_PER_S = 1000000,
  /* Binary digits of the fraction of fixed-point work: work is counted in
     2^20ths of a unit.  */
  WORK_FRACTION_BITS = 20,
  /* The team that sends half of its fair share.  */
  QUIET_TEAM = MODEL_TEAMS - 1,
  NO_RECOVERY = -1
};

/* Lists of the waiting times of short jobs.  */
enum
{
  WAITS_ALL,
  WAITS_QUIET_TEAM,
  WAITS_AFTER_EVENT,
  WAIT_LISTS
};

/* Fractions of the full speed.  */
#define COLD_SPEED_FACTOR 0.2
#define SLOW_SPEED_FACTOR 0.2
/* Fraction of a request's cost that a cached prefix saves.  */
#define CACHED_PREFIX_SAVING 0.4
/* Largest relative error of a cost estimate.  */
#define ESTIMATE_ERROR 0.3
/* Fraction of the cache events that are lost.  */
#define CACHE_EVENT_LOSS 0.2
/* An engine counts as recovered when it runs this fraction of the mean number
   of jobs.  The remainder allows for the usual variation between engines.  */
#define RECOVERED_LOAD_SHARE 0.75

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_ENGINE,       /* A job or an engine's cold phase ends.  */
  EVENT_QUEUE_EXPIRY, /* A request in a sidecar's queue expires.  */
  EVENT_DEADLINE,     /* The caller of a request disconnects.  */
  EVENT_RETRY_STEP,   /* An attempt fails, or a retry is due.  */
  EVENT_REPORT,
  EVENT_DELIVERY, /* A load report or cache event reaches the entries.  */
  EVENT_OBSERVE,
  EVENT_SCRIPT
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
  REQUEST_BACKING_OFF,
  REQUEST_QUEUED,
  REQUEST_RUNNING,
  REQUEST_FAILING
} request_state_t;

typedef struct
{
  event_t deadline;
  event_t retry_step;
  queue_waiter_t waiter;
  heap_node_t job;   /* Its key is the value of the engine's work
                        at which the job ends.  */
  list_t queue_link; /* Member of the engine's queue (baseline only).  */
  request_state_t state;
  entry_t *entry;
  upstream_t *upstream; /* Upstream of the latest attempt; NULL before
                           the first.  */
  int team;
  uint32_t cost;
  uint32_t work;     /* Units to compute: the cost less what a cached prefix
                        saves.  */
  uint32_t estimate; /* Estimated cost, passed to the policy package.  */
  bool is_long;
  bool is_counted; /* Whether the request arrived after the warm-up.  */
  uint64_t affinity;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t started_us;
  int attempt_count;
  upstream_id_t tried_ids[ATTEMPTS_MAX];
} request_t;

struct upstream
{
  event_t engine;
  event_t queue_expiry;
  event_t report;
  event_t observe;
  int number;
  int zone;
  bool exists;
  bool is_slow;
  bool is_failing;
  uint64_t cold_until_us;
  /* Whether the engine has run RECOVERED_LOAD_SHARE of the mean number of jobs
     since its last cold phase.  */
  bool has_recovered;

  heap_t jobs;
  /* Work that a job running since the start would have received, in 2^20ths of
     a unit.  */
  uint64_t work;
  uint64_t work_us; /* Time up to which WORK is computed.  */
  uint64_t observed_work;
  list_t engine_queue; /* Requests queued in the engine (baseline only).  */
  uint32_t queued_count;
  uint64_t cached_prefixes[CACHED_PREFIXES];
  uint32_t next_cache_slot;

  limit_t *limit;
  queue_t *queue;
};

struct entry
{
  balance_t *balance;
  outlier_t *outlier;
  admission_t *admission;
  retry_t *retry;
  upstream_id_t upstream_ids[MODEL_UPSTREAMS_MAX];
  outlier_member_t *outlier_members[MODEL_UPSTREAMS_MAX];
  /* Number of requests at each upstream by its latest report.  */
  double reported_load[MODEL_UPSTREAMS_MAX];
  /* Index of the upstream that round robin selected last.  */
  int last_selected;
};

/* A load report or cache event that will be delivered to all entries.  */
typedef struct
{
  event_t event;
  upstream_t *upstream; /* Sender of the notification.  */
  uint64_t sent_us;
  balance_load_t load;
  uint64_t affinity; /* The cached prefix; BALANCE_NO_AFFINITY for a load
                        report.  */
} notification_t;

typedef struct
{
  const pattern_t *pattern;
  bool uses_policy;
  rng_t rng;        /* Generates the load.  */
  rng_t policy_rng; /* Random numbers of the decisions; separate, so that the
                       baseline and the policy package get the same load.  */
  clock_iface_t *clock;
  uint64_t now_us;
  uint64_t start_us;
  heap_t events;
  uint64_t sequence;
  event_t arrival;
  event_t script;
  int script_done; /* Bit N is set once line N of the script has run.  */
  upstream_t upstreams[MODEL_UPSTREAMS_MAX];
  int upstream_count;
  bool is_zone_in_service[MODEL_ZONES];
  entry_t entries[ENTRY_COUNT];
  pool_id_t pool;

  model_result_t out;
  double requested_work[MODEL_TEAMS];
  double served_work[MODEL_TEAMS];
  double served_work_sum;
  uint64_t bad_attempts;
  double *waits[WAIT_LISTS]; /* Time until each short job ended, in ms.  */
  size_t wait_counts[WAIT_LISTS];
  size_t wait_caps[WAIT_LISTS];
  double imbalance_sum;
  uint64_t imbalance_count;
} model_t;

static void dispatch (model_t *m, request_t *request);

/* Events.  */

static uint64_t
seconds_us (double seconds)
{
  return (uint64_t)(seconds * US_PER_S);
}

/* Return the time since the start of the run, in seconds.  */
static double
elapsed_s (const model_t *m)
{
  return (double)(m->now_us - m->start_us) / US_PER_S;
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

/* Outcomes of requests.  */

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

/* Return the time of the pattern's event, in seconds: return of a zone, cold
   phase or start of an engine, end of a burst, or start of errors.  */
static double
event_time_s (const pattern_t *p)
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

/* Record the time since REQUEST arrived, if it is a short job that arrived
   after the warm-up.  */
static void
record_wait (model_t *m, const request_t *request)
{
  double wait_ms = (double)(m->now_us - request->arrived_us) / 1000;
  double arrived_s = (double)(request->arrived_us - m->start_us) / US_PER_S;
  double event_s = event_time_s (m->pattern);

  if (request->is_long || !request->is_counted)
    return;
  add_wait (m, WAITS_ALL, wait_ms);
  if (request->team == QUIET_TEAM)
    add_wait (m, WAITS_QUIET_TEAM, wait_ms);
  if (arrived_s >= event_s + 5 && arrived_s < event_s + 10)
    add_wait (m, WAITS_AFTER_EVENT, wait_ms);
}

static void
finish (model_t *m, request_t *request)
{
  unschedule (m, &request->deadline);
  unschedule (m, &request->retry_step);
  free (request);
}

static void
finish_answered (model_t *m, request_t *request)
{
  record_wait (m, request);
  if (m->now_us > request->deadline_us)
    m->out.answered_late++;
  else if (request->is_counted)
    {
      m->out.answered++;
      m->served_work[request->team] += request->cost;
      m->served_work_sum += request->cost;
    }
  finish (m, request);
}

static void
finish_refused (model_t *m, request_t *request)
{
  if (m->now_us == request->arrived_us)
    m->out.refused += request->is_counted;
  else
    {
      m->out.timed_out += request->is_counted;
      record_wait (m, request);
    }
  finish (m, request);
}

static void
finish_failed (model_t *m, request_t *request)
{
  m->out.failed += request->is_counted;
  record_wait (m, request);
  finish (m, request);
}

/* Engines.  */

static bool
is_cold (const model_t *m, const upstream_t *u)
{
  return m->now_us < u->cold_until_us;
}

static double
engine_slots (const model_t *m, const upstream_t *u)
{
  return is_cold (m, u) ? COLD_SLOTS : m->pattern->slots;
}

/* Return the speed of each running job, in units per second.  */
static double
engine_speed (const model_t *m, const upstream_t *u)
{
  double slots = engine_slots (m, u);
  double speed = MODEL_SLOT_UNITS_PER_S;

  if (is_cold (m, u))
    speed *= COLD_SPEED_FACTOR;
  if (u->is_slow)
    speed *= SLOW_SPEED_FACTOR;
  if (u->jobs.count > slots)
    speed *= pow (slots / u->jobs.count, 1 + m->pattern->thrash);
  return speed;
}

/* Advance U's work to the present.  Called before each change of the engine's
   speed.  */
static void
engine_advance (model_t *m, upstream_t *u)
{
  double done = (double)(m->now_us - u->work_us) / US_PER_S
                * engine_speed (m, u) * (1 << WORK_FRACTION_BITS);

  u->work += (uint64_t)done;
  u->work_us = m->now_us;
}

/* Schedule the engine's event for the end of its next job or of its cold
   phase, whichever comes first.  */
static void
engine_schedule (model_t *m, upstream_t *u)
{
  heap_node_t *next = heap_top (&u->jobs);
  double remaining;
  uint64_t at_us;

  unschedule (m, &u->engine);
  if (next == NULL)
    return;
  remaining = next->key > u->work ? (double)(next->key - u->work) : 0;
  at_us = m->now_us + 1
          + (uint64_t)(remaining / (1 << WORK_FRACTION_BITS)
                       / engine_speed (m, u) * US_PER_S);
  if (is_cold (m, u) && u->cold_until_us < at_us)
    at_us = u->cold_until_us;
  schedule (m, &u->engine, EVENT_ENGINE, at_us);
}

/* Return the units that U must compute for REQUEST: less than the cost if the
   request's prefix is cached.  Cache the prefix.  */
static double
engine_cost_after_cache (model_t *m, upstream_t *u, const request_t *request)
{
  notification_t *notification;

  if (request->affinity == BALANCE_NO_AFFINITY)
    return request->cost;
  for (int i = 0; i < CACHED_PREFIXES; i++)
    if (u->cached_prefixes[i] == request->affinity)
      return request->cost * (1 - CACHED_PREFIX_SAVING);
  u->cached_prefixes[u->next_cache_slot++ % CACHED_PREFIXES]
      = request->affinity;
  /* The cache event is delivered one to two seconds later; a fraction of
    CACHE_EVENT_LOSS is lost.  */
  if (m->uses_policy && rng_double (&m->policy_rng) > CACHE_EVENT_LOSS)
    {
      notification = mem_zalloc (sizeof *notification);
      notification->upstream = u;
      notification->affinity = request->affinity;
      schedule (m, &notification->event, EVENT_DELIVERY,
                m->now_us + US_PER_S + rng_below (&m->policy_rng, US_PER_S));
    }
  return request->cost;
}

static void
engine_start (model_t *m, upstream_t *u, request_t *request)
{

  request->started_us = m->now_us;
  if (u->is_failing)
    {
      request->state = REQUEST_FAILING;
      schedule (m, &request->retry_step, EVENT_RETRY_STEP,
                m->now_us + FAILURE_DELAY_US);
      return;
    }
  request->state = REQUEST_RUNNING;
  request->work = (uint32_t)engine_cost_after_cache (m, u, request);
  engine_advance (m, u);
  request->job.key = u->work + ((uint64_t)request->work << WORK_FRACTION_BITS);
  request->job.tie = ++m->sequence;
  heap_push (&u->jobs, &request->job);
  engine_schedule (m, u);
}

/* Stop a running request; return the units computed for it, fewer than its
   work.  */
static uint32_t
engine_stop (model_t *m, upstream_t *u, request_t *request)
{
  double remaining;

  engine_advance (m, u);
  remaining
      = request->job.key > u->work ? (double)(request->job.key - u->work) : 0;
  remaining /= 1 << WORK_FRACTION_BITS;
  heap_remove (&u->jobs, &request->job);
  engine_schedule (m, u);
  return remaining + 1 < request->work
             ? request->work - (uint32_t)remaining - 1
             : 0;
}

/* Start queued requests of the engine's queue, up to its batch limit (baseline
   only).  */
static void
engine_start_queued (model_t *m, upstream_t *u)
{
  while (!list_is_empty (&u->engine_queue)
         && u->jobs.count < m->pattern->slots * BATCH_PER_SLOT)
    {
      request_t *request
          = CONTAINER_OF (u->engine_queue.next, request_t, queue_link);

      list_remove (&request->queue_link);
      u->queued_count--;
      engine_start (m, u, request);
    }
}

/* Sidecars (policy package only).  */

/* Refuse expired requests of U's queue, start as many others as the limit
   allows, and schedule the next expiry.  */
static void
sidecar_start_queued (model_t *m, upstream_t *u)
{
  queue_waiter_t *waiter;
  uint64_t expiry_us;

  while ((waiter = queue_pop_expired (u->queue)) != NULL)
    {
      request_t *request = CONTAINER_OF (waiter, request_t, waiter);

      balance_request_ended (request->entry->balance,
                             request->entry->upstream_ids[u->number], true);
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
  expiry_us = queue_next_expiry_us (u->queue);
  unschedule (m, &u->queue_expiry);
  if (expiry_us != QUEUE_NO_DEADLINE)
    schedule (m, &u->queue_expiry, EVENT_QUEUE_EXPIRY,
              expiry_us > m->now_us ? expiry_us : m->now_us);
}

/* Submit REQUEST to the sidecar of U; return whether the sidecar accepted
   it.  */
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
                             other->entry->upstream_ids[u->number], true);
      finish_refused (m, other);
    }
  if (code != VH_OK)
    return false;
  request->state = REQUEST_QUEUED;
  sidecar_start_queued (m, u);
  return true;
}

/* Entries.  */

static void
apply_ejections (entry_t *entry)
{
  outlier_state_t state;
  upstream_t *u;

  while ((u = outlier_next_change (entry->outlier, &state)) != NULL)
    balance_set_mark (entry->balance, entry->upstream_ids[u->number],
                      BALANCE_EJECTED, state == OUTLIER_EJECTED);
}

static void
count_attempt (model_t *m, const upstream_t *u, bool is_counted)
{
  if (!is_counted)
    return;
  m->out.attempts++;
  m->bad_attempts += u->is_slow || u->is_failing || is_cold (m, u);
}

static void
dispatch_by_policy (model_t *m, request_t *request)
{
  entry_t *entry = request->entry;
  upstream_id_t *tried_ids = request->tried_ids;
  uint32_t estimate = request->estimate;
  bool is_counted = request->is_counted;

  while (request->attempt_count < ATTEMPTS_MAX)
    {
      balance_request_t criteria
          = { .pool = m->pool,
              .affinity = request->affinity,
              .tried = tried_ids,
              .tried_count = (size_t)request->attempt_count };
      balance_info_t info;
      upstream_id_t id;
      uint64_t number = 0;

      if (balance_pick (entry->balance, &criteria, &id) != VH_OK)
        break;
      tried_ids[request->attempt_count++] = id;
      balance_info (entry->balance, id, &info);
      str_to_u64 (info.name, &number);
      request->upstream = &m->upstreams[number];
      balance_request_started (entry->balance, id);
      m->out.dispatched += is_counted;
      if (sidecar_submit (m, request->upstream, request))
        {
          /* sidecar_submit may have freed an expired request.  */
          admission_record_result (entry->admission, estimate, true);
          count_attempt (m, &m->upstreams[number], is_counted);
          return;
        }
      balance_request_ended (entry->balance, id, true);
      admission_record_result (entry->admission, request->estimate, false);
    }
  finish_refused (m, request);
}

static bool
is_in_service (const model_t *m, int number)
{
  return m->upstreams[number].exists
         && m->is_zone_in_service[m->upstreams[number].zone];
}

static upstream_t *
select_by_baseline (model_t *m, request_t *request)
{
  entry_t *entry = request->entry;
  int n = m->upstream_count;
  int best = -1;

  if (m->pattern->baseline_selection == BASELINE_ROUND_ROBIN
      || request->affinity == 0)
    do
      entry->last_selected = (entry->last_selected + 1) % n;
    while (!is_in_service (m, entry->last_selected));
  if (m->pattern->baseline_selection == BASELINE_ROUND_ROBIN)
    return &m->upstreams[entry->last_selected];
  if (m->pattern->baseline_selection == BASELINE_PREFIX_HASH
      && request->affinity != 0)
    return &m->upstreams[(request->affinity * 0x9e3779b97f4a7c15u >> 32)
                         % (uint64_t)n];
  if (m->pattern->baseline_selection == BASELINE_PREFIX_HASH)
    return &m->upstreams[entry->last_selected];
  for (int k = 0; k < n; k++)
    {
      int i = (entry->last_selected + k) % n;

      if (is_in_service (m, i)
          && (best < 0
              || entry->reported_load[i] < entry->reported_load[best]))
        best = i;
    }
  return &m->upstreams[best];
}

static void
dispatch_by_baseline (model_t *m, request_t *request)
{
  upstream_t *u = select_by_baseline (m, request);

  m->out.dispatched += request->is_counted;
  request->attempt_count++;
  request->upstream = u;
  request->state = REQUEST_QUEUED;
  list_append (&u->engine_queue, &request->queue_link);
  u->queued_count++;
  count_attempt (m, u, request->is_counted);
  engine_start_queued (m, u);
}

static void
dispatch (model_t *m, request_t *request)
{
  if (m->uses_policy)
    dispatch_by_policy (m, request);
  else
    dispatch_by_baseline (m, request);
}

/* End the attempt of REQUEST on its engine, which computed UNITS.  OK is false
   after an error of the upstream; it is true after an answer, and after a
   disconnect of the caller, which is no failure of the upstream.  */
static void
end_attempt (model_t *m, request_t *request, uint32_t units, bool ok)
{
  upstream_t *u = request->upstream;
  entry_t *entry = request->entry;
  uint64_t service_us = m->now_us - request->started_us;

  if (!m->uses_policy)
    {
      engine_start_queued (m, u);
      return;
    }
  limit_release (u->limit, service_us, units, ok);
  if (ok && units == request->work)
    {
      queue_done (u->queue, &request->waiter, service_us, units);
      retry_record_latency (entry->retry, m->now_us - request->arrived_us);
    }
  else
    queue_cancel (u->queue, &request->waiter);
  balance_request_ended (entry->balance, entry->upstream_ids[u->number], ok);
  if (entry->outlier_members[u->number] != NULL)
    outlier_record (entry->outlier, entry->outlier_members[u->number], ok,
                    limit_is_warming_up (u->limit) ? 0 : service_us, units);
  apply_ejections (entry);
  sidecar_start_queued (m, u);
}

/* End a failed attempt of REQUEST.  Retry if attempts and retry budget are
   left; otherwise, the request fails.  */
static void
fail_attempt (model_t *m, request_t *request)
{
  retry_t *retry = request->entry->retry;

  end_attempt (m, request, 0, false);
  request->state = REQUEST_BACKING_OFF;
  if (request->attempt_count >= ATTEMPTS_MAX
      || (m->uses_policy && retry_spend (retry) != VH_OK))
    {
      finish_failed (m, request);
      return;
    }
  if (!m->uses_policy)
    dispatch (m, request);
  else
    schedule (m, &request->retry_step, EVENT_RETRY_STEP,
              m->now_us
                  + 1000
                        * retry_backoff_ms (retry,
                                            (uint32_t)request->attempt_count));
}

static void
on_retry_step (model_t *m, request_t *request)
{
  if (request->state == REQUEST_FAILING)
    fail_attempt (m, request);
  else
    dispatch (m, request);
}

static void
on_engine (model_t *m, upstream_t *u)
{
  heap_node_t *node;

  engine_advance (m, u);
  while ((node = heap_top (&u->jobs)) != NULL && node->key <= u->work + 1)
    {
      request_t *request = CONTAINER_OF (node, request_t, job);

      heap_remove (&u->jobs, node);
      end_attempt (m, request, request->work, true);
      finish_answered (m, request);
    }
  engine_schedule (m, u);
}

static void
on_deadline (model_t *m, request_t *request)
{
  upstream_t *u = request->upstream;

  m->out.timed_out += request->is_counted;
  record_wait (m, request);
  switch (request->state)
    {
    case REQUEST_RUNNING:
      end_attempt (m, request, engine_stop (m, u, request), true);
      break;
    case REQUEST_FAILING:
      end_attempt (m, request, 0, false);
      break;
    case REQUEST_QUEUED:
      if (m->uses_policy)
        {
          queue_cancel (u->queue, &request->waiter);
          balance_request_ended (request->entry->balance,
                                 request->entry->upstream_ids[u->number],
                                 true);
          break;
        }
      list_remove (&request->queue_link);
      u->queued_count--;
      break;
    case REQUEST_BACKING_OFF:
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
  double t = elapsed_s (m);

  return p->burst > 0 && t >= p->burst_from && t < p->burst_to ? p->burst
                                                               : p->load;
}

static double
short_cost_mean (void)
{
  return (SHORT_COST_MIN + SHORT_COST_MAX) / 2.0;
}

/* Return the fraction of the requests that are long, computed from the
   fraction of the work that is in long jobs.  */
static double
long_request_share (const pattern_t *p)
{
  double long_rate = p->long_work / p->long_cost;
  double short_rate = (1 - p->long_work) / short_cost_mean ();

  return long_rate / (long_rate + short_rate);
}

static double
mean_cost (const pattern_t *p)
{
  double long_share = long_request_share (p);

  return long_share * p->long_cost + (1 - long_share) * short_cost_mean ();
}

static void
schedule_arrival (model_t *m)
{
  const pattern_t *p = m->pattern;
  double rate = current_load (m) * p->upstreams * p->slots
                * MODEL_SLOT_UNITS_PER_S / mean_cost (p);

  schedule (m, &m->arrival, EVENT_ARRIVAL,
            m->now_us + 1 + seconds_us (exponential (&m->rng, 1 / rate)));
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

  request->entry = &m->entries[rng_below (&m->rng, ENTRY_COUNT)];
  request->team = draw_team (m);
  request->affinity = draw_affinity (m);
  request->is_long = rng_double (&m->rng) < long_request_share (p);
  cost = SHORT_COST_MIN
         + rng_double (&m->rng) * (SHORT_COST_MAX - SHORT_COST_MIN);
  if (request->is_long)
    cost = p->long_cost * (0.5 + rng_double (&m->rng));
  request->cost = (uint32_t)cost;
  request->estimate
      = (uint32_t)(cost
                   * (1 + ESTIMATE_ERROR * (2 * rng_double (&m->rng) - 1)));
  request->arrived_us = m->now_us;
  request->is_counted = elapsed_s (m) >= p->warm_up;
  request->deadline_us
      = m->now_us
        + seconds_us (p->deadline
                      * (request->is_long ? LONG_DEADLINE_FACTOR : 1));
  list_init (&request->queue_link);
  return request;
}

static void
on_arrival (model_t *m)
{
  request_t *request;
  char team[2] = "t";

  if (elapsed_s (m) >= m->pattern->duration)
    return;
  request = draw_request (m);
  schedule_arrival (m);
  schedule (m, &request->deadline, EVENT_DEADLINE, request->deadline_us);
  if (request->is_counted)
    {
      m->out.requests++;
      m->requested_work[request->team] += request->cost;
    }
  team[1] = (char)('0' + request->team);
  if (m->uses_policy
      && admission_decide (request->entry->admission, str_make (team, 2),
                           request->estimate, QUEUE_PRIORITY_NORMAL)
             != VH_OK)
    {
      finish_refused (m, request);
      return;
    }
  dispatch (m, request);
}

/* Load reports and cache events.  */

static void
on_report (model_t *m, upstream_t *u)
{
  notification_t *notification = mem_zalloc (sizeof *notification);
  double lag = m->pattern->lag * rng_double (&m->policy_rng);

  notification->upstream = u;
  notification->sent_us = m->now_us;
  notification->load.in_flight = u->jobs.count + u->queued_count;
  notification->load.slots = (uint32_t)m->pattern->slots;
  if (m->uses_policy)
    {
      notification->load.in_flight
          = limit_in_flight (u->limit) + queue_load (u->queue);
      notification->load.slots = limit_slots (u->limit);
    }
  schedule (m, &notification->event, EVENT_DELIVERY,
            m->now_us + seconds_us (lag));
  if (elapsed_s (m) < m->pattern->duration)
    schedule (m, &u->report, EVENT_REPORT, m->now_us + REPORT_INTERVAL_US);
}

static void
on_notification (model_t *m, notification_t *notification)
{
  upstream_t *u = notification->upstream;

  for (int e = 0; e < ENTRY_COUNT; e++)
    {
      entry_t *entry = &m->entries[e];

      if (!m->uses_policy)
        {
          entry->reported_load[u->number] = notification->load.in_flight;
          continue;
        }
      if (notification->affinity != BALANCE_NO_AFFINITY)
        {
          balance_cache_event (entry->balance, entry->upstream_ids[u->number],
                               notification->affinity, true);
          continue;
        }
      balance_record_load (entry->balance, entry->upstream_ids[u->number],
                           &notification->load,
                           (m->now_us - notification->sent_us) / 1000);
      admission_set_pressure (entry->admission,
                              balance_pressure (entry->balance, m->pool));
    }
  free (notification);
}

/* Record the ratio of the most loaded engine's load to the mean load.  */
static void
record_imbalance (model_t *m)
{
  double highest = 0;
  double sum = 0;
  int count = 0;

  for (int i = 0; i < m->upstream_count; i++)
    {
      upstream_t *u = &m->upstreams[i];
      double load = u->jobs.count + u->queued_count;

      if (!is_in_service (m, i))
        continue;
      if (m->uses_policy)
        load = limit_in_flight (u->limit) + queue_waiting_count (u->queue);
      highest = load > highest ? load : highest;
      sum += load;
      count++;
    }
  if (sum == 0)
    return;
  m->imbalance_sum += highest * count / sum;
  m->imbalance_count++;
}

/* Return the mean number of running jobs over the engines in service.  */
static double
mean_jobs (const model_t *m)
{
  double sum = 0;
  int count = 0;

  for (int i = 0; i < m->upstream_count; i++)
    if (is_in_service (m, i))
      {
        sum += m->upstreams[i].jobs.count;
        count++;
      }
  return sum / count;
}

/* Record the recovery time of engines that reached RECOVERED_LOAD_SHARE of the
   mean number of jobs after a cold phase.  */
static void
record_recovery (model_t *m)
{
  double recovered_jobs = mean_jobs (m) * RECOVERED_LOAD_SHARE;

  for (int i = 0; i < m->upstream_count; i++)
    {
      upstream_t *u = &m->upstreams[i];

      if (u->cold_until_us == 0 || is_cold (m, u) || u->has_recovered
          || u->jobs.count < recovered_jobs)
        continue;
      u->has_recovered = true;
      m->out.recovery_s
          = fmax (m->out.recovery_s,
                  (double)(m->now_us - u->cold_until_us) / US_PER_S);
    }
}

/* Report the progress of U's running jobs to its limit, and sample the load of
   all engines once for each interval.  */
static void
on_observe (model_t *m, upstream_t *u)
{
  double units;

  if (u->number == 0)
    {
      record_imbalance (m);
      record_recovery (m);
    }
  engine_advance (m, u);
  units = (double)(u->work - u->observed_work) / (1 << WORK_FRACTION_BITS);
  u->observed_work = u->work;
  if (m->uses_policy)
    {
      for (uint32_t n = u->jobs.count; n > 0; n--)
        limit_report_progress (u->limit, OBSERVE_INTERVAL_US, (uint32_t)units);
      sidecar_start_queued (m, u);
      for (int e = 0; e < ENTRY_COUNT; e++)
        apply_ejections (&m->entries[e]);
    }
  if (elapsed_s (m) < m->pattern->duration)
    schedule (m, &u->observe, EVENT_OBSERVE, m->now_us + OBSERVE_INTERVAL_US);
}

/* Scripted events: changes by operators and faults.  */

/* Register engine NUMBER with all entries.  RETURNING is passed on to
   balance_update.  */
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
  u->work_us = m->now_us;
  for (int e = 0; m->uses_policy && e < ENTRY_COUNT; e++)
    {
      entry_t *entry = &m->entries[e];

      entry->upstream_ids[number]
          = balance_update (entry->balance, str_make (name, (size_t)len),
                            zones[u->zone], &pool, 1, returning);
      entry->outlier_members[number] = outlier_add_member (entry->outlier, u);
    }
  schedule (m, &u->report, EVENT_REPORT,
            m->now_us + rng_below (&m->rng, REPORT_INTERVAL_US));
  schedule (m, &u->observe, EVENT_OBSERVE, m->now_us + OBSERVE_INTERVAL_US);
}

/* Make U cold: slow, with few slots and an empty prefix cache.  RESTARTED:
   reset the learned concurrency limit too.  */
static void
make_cold (model_t *m, upstream_t *u, bool restarted)
{
  engine_advance (m, u);
  u->cold_until_us = m->now_us + seconds_us (m->pattern->cold_for);
  u->has_recovered = false;
  for (int i = 0; i < CACHED_PREFIXES; i++)
    u->cached_prefixes[i] = 0;
  if (restarted && m->uses_policy)
    limit_reset (u->limit);
  engine_schedule (m, u);
}

static void
set_zone_in_service (model_t *m, bool is_in)
{
  m->is_zone_in_service[0] = is_in;
  for (int e = 0; m->uses_policy && e < ENTRY_COUNT; e++)
    balance_set_zone_enabled (m->entries[e].balance, STR ("zone-a"), is_in);
  for (int i = 0; is_in && i < m->upstream_count; i++)
    if (m->upstreams[i].zone == 0)
      make_cold (m, &m->upstreams[i], m->upstreams[i].jobs.count == 0);
}

static void
set_engines_failing (model_t *m, bool is_failing)
{
  for (int i = 0; i < m->pattern->failing; i++)
    m->upstreams[i + (int)m->pattern->slow].is_failing = is_failing;
}

/* X (time in seconds, action).  */
#define SCRIPT_ACTIONS(X)                                                     \
  X (p->fail_from, set_engines_failing (m, true))                             \
  X (p->fail_to, set_engines_failing (m, false))                              \
  X (p->cold_at, make_cold (m, &m->upstreams[1], false))                      \
  X (p->new_at, (add_upstream (m, m->upstream_count, true),                   \
                 make_cold (m, &m->upstreams[m->upstream_count++], true)))    \
  X (p->zone_out, set_zone_in_service (m, false))                             \
  X (p->zone_in, set_zone_in_service (m, true))

/* Run the script lines that are due; schedule an event for the next one.  */
static void
on_script (model_t *m)
{
  const pattern_t *p = m->pattern;
  double t = elapsed_s (m);
  double next = 1e9;
  int line = 0;

#define X(when, action)                                                       \
  line++;                                                                     \
  if ((when) >= 0 && (m->script_done & 1 << line) == 0)                       \
    {                                                                         \
      if ((when) <= t + 1e-9)                                                 \
        {                                                                     \
          m->script_done |= 1 << line;                                        \
          action;                                                             \
        }                                                                     \
      else if ((when) < next)                                                 \
        next = (when);                                                        \
    }
  SCRIPT_ACTIONS (X)
#undef X
  if (next < 1e9)
    schedule (m, &m->script, EVENT_SCRIPT,
              m->start_us + seconds_us (next) + 1);
}

/* Setup and results.  */

static void
create_entry (model_t *m, int e)
{
  static const str_t zones[MODEL_ZONES]
      = { STR ("zone-a"), STR ("zone-b"), STR ("zone-c") };
  entry_t *entry = &m->entries[e];
  char name[] = { 'e', (char)('0' + e) };

  entry->last_selected
      = (int)rng_below (&m->policy_rng, (uint64_t)m->upstream_count);
  if (!m->uses_policy)
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
  u->is_slow = number < m->pattern->slow;
  list_init (&u->engine_queue);
  if (!m->uses_policy)
    return;
  u->limit = limit_create (NULL, m->clock);
  u->queue = queue_create (NULL, m->clock);
}

static void
model_create (model_t *m)
{
  m->clock = clock_manual_create (0);
  m->start_us = m->now_us = clock_us (m->clock);
  m->upstream_count = (int)m->pattern->upstreams;
  for (int z = 0; z < MODEL_ZONES; z++)
    m->is_zone_in_service[z] = true;
  for (int e = 0; e < ENTRY_COUNT; e++)
    create_entry (m, e);
  for (int i = 0; i < MODEL_UPSTREAMS_MAX; i++)
    create_upstream (m, i);
  for (int i = 0; i < m->upstream_count; i++)
    add_upstream (m, i, false);
}

static void
model_destroy (model_t *m)
{
  for (int e = 0; e < ENTRY_COUNT; e++)
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
  for (int list = 0; list < WAIT_LISTS; list++)
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

/* Return the shortfall of the worst-served team against its max-min fair share
   of the served work, as a fraction of that share.  */
static double
compute_unfairness (const model_t *m)
{
  double fair_share = 0;
  double upper = m->served_work_sum + 1;
  double worst_shortfall = 0;

  /* Find by bisection the fair share at which the entitlements add up to the
     served work.  */
  for (int i = 0; i < 60; i++)
    {
      double middle = (fair_share + upper) / 2;
      double sum = 0;

      for (int t = 0; t < MODEL_TEAMS; t++)
        sum += fmin (m->requested_work[t], middle);
      if (sum <= m->served_work_sum)
        fair_share = middle;
      else
        upper = middle;
    }
  for (int t = 0; t < MODEL_TEAMS; t++)
    if (m->requested_work[t] > 0)
      worst_shortfall = fmax (
          worst_shortfall,
          1 - m->served_work[t] / fmin (m->requested_work[t], fair_share));
  return worst_shortfall;
}

static void
compute_result (model_t *m)
{
  model_result_t *out = &m->out;

  out->goodput_units_per_s
      = m->served_work_sum / (m->pattern->duration - m->pattern->warm_up);
  out->short_p50_ms = quantile (m, WAITS_ALL, 0.5);
  out->short_p99_ms = quantile (m, WAITS_ALL, 0.99);
  out->quiet_p99_ms = quantile (m, WAITS_QUIET_TEAM, 0.99);
  if (m->requested_work[QUIET_TEAM] > 0)
    out->quiet_answered
        = m->served_work[QUIET_TEAM] / m->requested_work[QUIET_TEAM];
  out->after_event_p99_ms = quantile (m, WAITS_AFTER_EVENT, 0.99);
  out->unfairness = compute_unfairness (m);
  if (out->attempts > 0)
    out->bad_attempt_share = (double)m->bad_attempts / (double)out->attempts;
  if (out->recovery_s == NO_RECOVERY)
    out->recovery_s = m->pattern->duration;
  if (m->imbalance_count > 0)
    out->load_imbalance = m->imbalance_sum / (double)m->imbalance_count;
}

static void
run_event (model_t *m, event_t *event)
{
  switch (event->type)
    {
    case EVENT_ARRIVAL:
      on_arrival (m);
      break;
    case EVENT_ENGINE:
      on_engine (m, CONTAINER_OF (event, upstream_t, engine));
      break;
    case EVENT_QUEUE_EXPIRY:
      sidecar_start_queued (m, CONTAINER_OF (event, upstream_t, queue_expiry));
      break;
    case EVENT_DEADLINE:
      on_deadline (m, CONTAINER_OF (event, request_t, deadline));
      break;
    case EVENT_RETRY_STEP:
      on_retry_step (m, CONTAINER_OF (event, request_t, retry_step));
      break;
    case EVENT_REPORT:
      on_report (m, CONTAINER_OF (event, upstream_t, report));
      break;
    case EVENT_DELIVERY:
      on_notification (m, CONTAINER_OF (event, notification_t, event));
      break;
    case EVENT_OBSERVE:
      on_observe (m, CONTAINER_OF (event, upstream_t, observe));
      break;
    case EVENT_SCRIPT:
      on_script (m);
      break;
    }
}

model_result_t
model_run (const pattern_t *pattern, uint64_t seed, bool uses_policy)
{
  model_t *m = mem_zalloc (sizeof *m);
  heap_node_t *node;
  model_result_t out;

  m->pattern = pattern;
  m->uses_policy = uses_policy;
  m->rng = rng_make (seed);
  m->policy_rng = rng_make (~seed);
  m->out.recovery_s = NO_RECOVERY;
  model_create (m);
  on_script (m);
  schedule_arrival (m);
  while ((node = heap_top (&m->events)) != NULL)
    {
      event_t *event = CONTAINER_OF (node, event_t, node);

      clock_manual_advance_us (m->clock, node->key - m->now_us);
      m->now_us = node->key;
      unschedule (m, event);
      run_event (m, event);
    }
  compute_result (m);
  out = m->out;
  model_destroy (m);
  free (m);
  return out;
}
