#include "policy/queue.h"

#include "base/map.h"
#include "base/mem.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

enum
{
  SHORT,
  LONG,
  SIZE_CLASS_COUNT
};

enum
{
  IDLE,
  WAITING,
  RUNNING
};

enum
{
  /* Units of virtual time per unit of cost at weight 1.  */
  VIRTUAL_SCALE = 1024,
  /* Most waiting jobs of each flow that count fully in the reported load.  In
     addition all waiting jobs count, divided by WAITING_LOAD_DIVISOR.  */
  FULL_LOAD_JOBS_PER_FLOW = 3,
  WAITING_LOAD_DIVISOR = 4
};

/* Weight of one finished job in the moving averages of cost and time.  */
#define SERVICE_SMOOTHING 0.05
/* Weight of one gap between two jobs of a flow in its moving averages.  */
#define GAP_SMOOTHING 0.1

/* The jobs of one team and size class.  READY_NODE.key is the virtual start
   time of the next job.  */
typedef struct
{
  heap_node_t ready_node;
  heap_t waiters;
  uint64_t waiting_cost; /* Sum of the costs of WAITERS.  */
  uint64_t last_pop_us;  /* Time of the last pop that left jobs waiting; 0 if
                            the last pop emptied the flow.  */
  double mean_gap_us;    /* Mean time between two pops while jobs waited; 0 if
                            unknown.  */
  double mean_cost_after_gap; /* Mean cost of the jobs that were popped at the
                                 end of such gaps.  */
} flow_t;

struct queue_team
{
  uint32_t weight;
  flow_t flows[SIZE_CLASS_COUNT];
};

/* State of one size class over all teams.  */
typedef struct
{
  heap_t ready_flows;   /* Flows with waiting jobs.  */
  uint64_t virtual_now; /* Present virtual time: the virtual start time of the
                           last popped job.  */
  uint64_t last_virtual_end; /* Always 0; nothing reads this field.  */
  uint64_t waiting_cost;     /* Sum of the costs of all waiting jobs.  */
  uint64_t weight_sum; /* Sum of the weights of the teams in READY_FLOWS.  */
  uint32_t running_count;
  double mean_job_cost;
  double mean_service_us; /* Mean service time; 0 if no job has ended yet.  */
} class_state_t;

struct queue
{
  clock_iface_t *clock;
  uint32_t max_waiters;
  uint32_t long_cost_min;
  uint32_t slots;
  double recent_min_slots;   /* Recent minimum of SLOTS.  */
  uint64_t recent_min_at_us; /* Time of the last update of RECENT_MIN_SLOTS. */
  map_t *teams;
  class_state_t classes[SIZE_CLASS_COUNT];
  heap_t expiries;
  uint64_t last_sequence;
  uint64_t last_short_us; /* Time of the last arrival of a short job; 0 if
                             there was none.  */
};

queue_t *
queue_create (const queue_config_t *config, clock_iface_t *clock)
{
  queue_t *queue = mem_zalloc (sizeof *queue);

  queue->clock = clock;
  queue->max_waiters = QUEUE_MAX_WAITERS;
  queue->long_cost_min = QUEUE_LONG_COST_MIN;
  queue->slots = 1;
  queue->recent_min_slots = INFINITY;
  queue->recent_min_at_us = clock_us (clock);
  if (config != NULL && config->max_waiters > 0)
    queue->max_waiters = config->max_waiters;
  if (config != NULL && config->long_cost_min > 0)
    queue->long_cost_min = config->long_cost_min;
  queue->teams = map_create ();
  return queue;
}

void
queue_destroy (queue_t *queue)
{
  size_t cursor = 0;
  str_t name;
  void *value;

  if (queue == NULL)
    return;
  while (map_next (queue->teams, &cursor, &name, &value))
    {
      queue_team_t *team = value;

      for (int size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
        heap_free (&team->flows[size_class].waiters);
      free (team);
    }
  map_destroy (queue->teams);
  for (int size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
    heap_free (&queue->classes[size_class].ready_flows);
  heap_free (&queue->expiries);
  free (queue);
}

/* Return the state of team NAME, which is created on first use.  Team names
   come from the configuration, so their number is bounded.  */
static queue_team_t *
find_team (queue_t *queue, str_t name)
{
  queue_team_t *team = map_get (queue->teams, name);

  if (team != NULL)
    return team;
  team = mem_zalloc (sizeof *team);
  team->weight = 1;
  map_put (queue->teams, name, team);
  return team;
}

void
queue_set_weight (queue_t *queue, str_t name, uint32_t weight)
{
  queue_team_t *team = find_team (queue, name);

  if (weight == 0)
    weight = 1;
  for (int size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
    if (team->flows[size_class].ready_node.position != 0)
      queue->classes[size_class].weight_sum += (uint64_t)weight - team->weight;
  team->weight = weight;
}

void
queue_set_slots (queue_t *queue, uint32_t slots)
{
  uint64_t now = clock_us (queue->clock);
  double seconds = fmin ((double)(now - queue->recent_min_at_us) / 1e6, 10);

  queue->slots = slots > 0 ? slots : 1;
  queue->recent_min_slots *= 1 + QUEUE_MIN_SLOTS_RISE_PER_S * seconds;
  queue->recent_min_slots = fmin (queue->recent_min_slots, queue->slots);
  queue->recent_min_at_us = now;
}

/* Return SHARE of the recent minimum of the slots, at least one.  The current
   number of slots is not used: after a fall of the limit the long jobs started
   at its peak would hold all remaining slots, and short jobs would wait for
   minutes.  */
static uint32_t
share_of_slots (const queue_t *queue, double share)
{
  uint32_t slots
      = (uint32_t)(fmin (queue->recent_min_slots, queue->slots) * share);

  return slots > 0 ? slots : 1;
}

/* Return the number of long jobs that may run at the same time.  */
static uint32_t
long_slots_max (const queue_t *queue)
{
  uint64_t reserve_us = (uint64_t)QUEUE_SHORT_RESERVE_MS * 1000;

  if (queue->last_short_us == 0
      || clock_us (queue->clock) - queue->last_short_us > reserve_us)
    return queue->slots;
  return share_of_slots (queue, QUEUE_LONG_SHARE_MAX);
}

/* Return the expected time that a job of COST units takes in one slot, from
   the finished jobs of its SIZE_CLASS or else of the other one; 0 if no job
   has ended yet.  */
static double
estimate_service_us (const queue_t *queue, int size_class, double cost)
{
  const class_state_t *sampled = &queue->classes[size_class];

  if (sampled->mean_service_us == 0)
    sampled = &queue->classes[size_class == SHORT ? LONG : SHORT];
  if (sampled->mean_service_us == 0)
    return 0;
  return cost * sampled->mean_service_us / sampled->mean_job_cost;
}

/* Return the number of slots that serve jobs of SIZE_CLASS, given the running
   jobs of the other size class.  */
static uint32_t
slots_for_class (const queue_t *queue, int size_class)
{
  uint32_t other_running
      = queue->classes[size_class == SHORT ? LONG : SHORT].running_count;
  uint32_t available
      = queue->slots > other_running ? queue->slots - other_running : 0;
  uint32_t min_slots
      = size_class == SHORT
            ? queue->slots - share_of_slots (queue, QUEUE_LONG_SHARE_MAX)
            : share_of_slots (queue, QUEUE_LONG_SHARE_MIN);

  if (size_class == LONG && available > long_slots_max (queue))
    available = long_slots_max (queue);
  if (available < min_slots)
    available = min_slots;
  return available > 0 ? available : 1;
}

/* Return the expected wait of a job of TEAM with SIZE_CLASS and COST that
   arrives now.  */
static uint64_t
estimate_wait_us (const queue_t *queue, const queue_team_t *team,
                  int size_class, uint32_t cost)
{
  const class_state_t *class_state = &queue->classes[size_class];
  const flow_t *flow = &team->flows[size_class];
  uint64_t weight_sum = class_state->weight_sum;
  uint32_t slots = slots_for_class (queue, size_class);
  double wait_us;
  double ahead;

  if (class_state->waiting_cost == 0 && class_state->running_count < slots)
    return 0;
  if (flow->ready_node.position == 0)
    weight_sum += team->weight;
  /* While the team waits, the other teams are served in proportion to their
     weights; the work ahead is at most all waiting work.  */
  ahead
      = (double)(flow->waiting_cost + cost) * (double)weight_sum / team->weight
        - cost;
  if (ahead > (double)class_state->waiting_cost)
    ahead = (double)class_state->waiting_cost;
  /* MEAN_SERVICE_US accounts for the wait for a free slot.  */
  wait_us = (estimate_service_us (queue, size_class, ahead)
             + class_state->mean_service_us)
            / slots;
  /* Teams whose jobs hardly wait use slots without adding to the waiting costs
     above.  The gaps between the pops of this flow, while jobs waited, show
     the capacity that other teams left to the flow.  */
  if (flow->mean_gap_us > 0 && flow->waiting_cost > 0)
    wait_us = fmax (wait_us, (double)flow->waiting_cost * flow->mean_gap_us
                                 / flow->mean_cost_after_gap);
  return (uint64_t)wait_us;
}

static void
remove_from_flow (queue_t *queue, queue_waiter_t *waiter)
{
  class_state_t *class_state = &queue->classes[waiter->size_class];
  flow_t *flow = &waiter->team->flows[waiter->size_class];

  heap_remove (&flow->waiters, &waiter->order_node);
  heap_remove (&queue->expiries, &waiter->expiry_node);
  flow->waiting_cost -= waiter->cost;
  class_state->waiting_cost -= waiter->cost;
  waiter->state = IDLE;
  if (flow->waiters.count > 0)
    return;
  heap_remove (&class_state->ready_flows, &flow->ready_node);
  class_state->weight_sum -= waiter->team->weight;
}

/* Return the flow with the most waiting cost relative to the weight of its
   team, and store that weight in *WEIGHT.  */
static flow_t *
most_backlogged_flow (queue_t *queue, uint32_t *weight)
{
  flow_t *backlogged = NULL;
  size_t cursor = 0;
  str_t name;
  void *value;

  while (map_next (queue->teams, &cursor, &name, &value))
    {
      queue_team_t *team = value;

      for (int size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
        {
          flow_t *flow = &team->flows[size_class];

          if (backlogged != NULL
              && flow->waiting_cost * *weight
                     <= backlogged->waiting_cost * team->weight)
            continue;
          backlogged = flow;
          *weight = team->weight;
        }
    }
  return backlogged;
}

/* Remove one of the last jobs of the most backlogged flow, to make room for a
   job of COST in FLOW.  Return the removed job, or NULL when FLOW would itself
   be the most backlogged one.  */
static queue_waiter_t *
evict_job (queue_t *queue, const flow_t *flow, uint32_t weight, uint32_t cost)
{
  uint32_t backlogged_weight = 1;
  flow_t *backlogged = most_backlogged_flow (queue, &backlogged_weight);
  queue_waiter_t *last;

  if (backlogged->waiters.count == 0
      || (flow->waiting_cost + cost) * backlogged_weight
             >= backlogged->waiting_cost * weight)
    return NULL;
  /* The last element of the heap need not be the last in order, but as a
     leaf it has no later jobs below it.  */
  last
      = CONTAINER_OF (backlogged->waiters.nodes[backlogged->waiters.count - 1],
                      queue_waiter_t, order_node);
  remove_from_flow (queue, last);
  return last;
}

/* Return the key by which the jobs of a team are ordered, smallest first: the
   arrival time NOW, plus the expected service time SERVICE_US up to
   QUEUE_REORDER_MAX_MS, plus QUEUE_REORDER_MAX_MS for each step of priority of
   JOB below the highest.  */
static uint64_t
order_key_us (const queue_job_t *job, uint64_t now, uint64_t service_us)
{
  uint64_t max_delay_us = (uint64_t)QUEUE_REORDER_MAX_MS * 1000;

  if (service_us > max_delay_us)
    service_us = max_delay_us;
  return now + service_us + (uint64_t)job->priority * max_delay_us;
}

/* Return the credit of TEAM after the team was idle: the largest virtual time
   by which the virtual start of its next job may lie before the present
   virtual time.  */
static uint64_t
max_virtual_credit (const class_state_t *class_state, const queue_team_t *team)
{
  return (uint64_t)(class_state->mean_job_cost * QUEUE_CREDIT_JOBS
                    * VIRTUAL_SCALE / team->weight);
}

/* Return whether a job that arrives at NOW, with an expected wait of WAIT_US
   and an expected service time of SERVICE_US, is to be accepted.  */
static bool
can_meet_deadline (uint64_t now, uint64_t wait_us, uint64_t service_us,
                   uint64_t deadline_us)
{
  if (now + service_us > deadline_us)
    return false;
  return (double)wait_us
         <= (double)(deadline_us - now - service_us) * QUEUE_WAIT_SLACK_SHARE;
}

vh_code_t
queue_push (queue_t *queue, queue_waiter_t *waiter, const queue_job_t *job,
            queue_waiter_t **evicted)
{
  queue_team_t *team = find_team (queue, job->team);
  uint32_t cost = job->cost > 0 ? job->cost : 1;
  int size_class = cost >= queue->long_cost_min ? LONG : SHORT;
  flow_t *flow = &team->flows[size_class];
  class_state_t *class_state = &queue->classes[size_class];
  uint64_t now = clock_us (queue->clock);
  uint64_t service_us
      = (uint64_t)estimate_service_us (queue, size_class, cost);

  assert (waiter->state == IDLE);
  *evicted = NULL;
  if (size_class == SHORT)
    queue->last_short_us = now;
  if (job->deadline_us != QUEUE_NO_DEADLINE
      && !can_meet_deadline (now,
                             estimate_wait_us (queue, team, size_class, cost),
                             service_us, job->deadline_us))
    return VH_E_DEADLINE;
  if (queue_waiting_count (queue) >= queue->max_waiters)
    {
      *evicted = evict_job (queue, flow, team->weight, cost);
      if (*evicted == NULL)
        return VH_E_FULL;
    }

  waiter->team = team;
  waiter->cost = cost;
  waiter->size_class = (uint8_t)size_class;
  waiter->state = WAITING;
  waiter->order_node.key = order_key_us (job, now, service_us);
  waiter->order_node.tie = ++queue->last_sequence;
  waiter->expiry_node.key = job->deadline_us == QUEUE_NO_DEADLINE
                                ? QUEUE_NO_DEADLINE
                                : job->deadline_us - service_us;
  waiter->expiry_node.tie = queue->last_sequence;
  heap_push (&flow->waiters, &waiter->order_node);
  heap_push (&queue->expiries, &waiter->expiry_node);
  flow->waiting_cost += cost;
  class_state->waiting_cost += cost;
  if (flow->ready_node.position == 0)
    {
      uint64_t credit = max_virtual_credit (class_state, team);

      if (flow->ready_node.key + credit < class_state->virtual_now)
        flow->ready_node.key = class_state->virtual_now - credit;
      flow->ready_node.tie = queue->last_sequence;
      heap_push (&class_state->ready_flows, &flow->ready_node);
      class_state->weight_sum += team->weight;
    }
  return VH_OK;
}

/* Return the size class to serve next, or SIZE_CLASS_COUNT when no waiting job
   may run.  */
static int
choose_class (const queue_t *queue)
{
  const class_state_t *short_class = &queue->classes[SHORT];
  const class_state_t *long_class = &queue->classes[LONG];
  bool may_run_long = long_class->ready_flows.count > 0
                      && long_class->running_count < long_slots_max (queue);

  if (short_class->ready_flows.count == 0)
    return may_run_long ? LONG : SIZE_CLASS_COUNT;
  /* Long jobs get their minimum share even under a continuous stream of short
     jobs, so that they do not starve.  A single slot is not reserved.  */
  if (may_run_long && queue->slots > 1
      && long_class->running_count
             < share_of_slots (queue, QUEUE_LONG_SHARE_MIN))
    return LONG;
  return SHORT;
}

/* Record the time since the last pop of FLOW if the flow had waiting jobs
   throughout.  COST is the cost of the job just popped.  */
static void
record_gap (const queue_t *queue, flow_t *flow, uint32_t cost)
{
  uint64_t now = clock_us (queue->clock);

  if (flow->last_pop_us > 0)
    {
      double gap_us = (double)(now - flow->last_pop_us);

      if (flow->mean_cost_after_gap == 0)
        {
          flow->mean_gap_us = gap_us;
          flow->mean_cost_after_gap = cost;
        }
      flow->mean_gap_us += GAP_SMOOTHING * (gap_us - flow->mean_gap_us);
      flow->mean_cost_after_gap
          += GAP_SMOOTHING * (cost - flow->mean_cost_after_gap);
    }
  flow->last_pop_us = flow->waiters.count > 0 ? now : 0;
}

queue_waiter_t *
queue_pop (queue_t *queue)
{
  int size_class = choose_class (queue);
  class_state_t *class_state;
  flow_t *flow;
  queue_waiter_t *waiter;

  if (size_class == SIZE_CLASS_COUNT)
    return NULL;
  class_state = &queue->classes[size_class];
  flow = CONTAINER_OF (heap_top (&class_state->ready_flows), flow_t,
                       ready_node);
  waiter
      = CONTAINER_OF (heap_top (&flow->waiters), queue_waiter_t, order_node);
  class_state->virtual_now = flow->ready_node.key;
  flow->ready_node.key
      += (uint64_t)waiter->cost * VIRTUAL_SCALE / waiter->team->weight;
  flow->ready_node.tie = ++queue->last_sequence;
  heap_update (&class_state->ready_flows, &flow->ready_node);
  remove_from_flow (queue, waiter);
  record_gap (queue, flow, waiter->cost);
  waiter->state = RUNNING;
  class_state->running_count++;
  return waiter;
}

/* Charge the team of WAITER for the actual cost of USED_COST units instead of
   the estimated cost.  */
static void
correct_charge (queue_t *queue, queue_waiter_t *waiter, uint32_t used_cost)
{
  class_state_t *class_state = &queue->classes[waiter->size_class];
  flow_t *flow = &waiter->team->flows[waiter->size_class];
  uint64_t charged
      = (uint64_t)waiter->cost * VIRTUAL_SCALE / waiter->team->weight;
  uint64_t actual = (uint64_t)used_cost * VIRTUAL_SCALE / waiter->team->weight;

  if (actual >= charged)
    flow->ready_node.key += actual - charged;
  else if (flow->ready_node.key
           > class_state->virtual_now + (charged - actual))
    flow->ready_node.key -= charged - actual;
  else if (flow->ready_node.key > class_state->virtual_now)
    flow->ready_node.key = class_state->virtual_now;
  if (flow->ready_node.position != 0)
    heap_update (&class_state->ready_flows, &flow->ready_node);
}

void
queue_done (queue_t *queue, queue_waiter_t *waiter, uint64_t service_us,
            uint32_t used_cost)
{
  class_state_t *class_state = &queue->classes[waiter->size_class];

  assert (waiter->state == RUNNING);
  class_state->running_count--;
  waiter->state = IDLE;
  if (used_cost > 0)
    correct_charge (queue, waiter, used_cost);
  if (service_us == 0)
    return;
  if (class_state->mean_service_us == 0)
    {
      class_state->mean_service_us = (double)service_us;
      class_state->mean_job_cost = waiter->cost;
      return;
    }
  class_state->mean_service_us
      += SERVICE_SMOOTHING
         * ((double)service_us - class_state->mean_service_us);
  class_state->mean_job_cost
      += SERVICE_SMOOTHING * (waiter->cost - class_state->mean_job_cost);
}

void
queue_cancel (queue_t *queue, queue_waiter_t *waiter)
{
  if (waiter->state == WAITING)
    remove_from_flow (queue, waiter);
  else if (waiter->state == RUNNING)
    queue->classes[waiter->size_class].running_count--;
  waiter->state = IDLE;
}

queue_waiter_t *
queue_pop_expired (queue_t *queue)
{
  heap_node_t *next = heap_top (&queue->expiries);
  queue_waiter_t *waiter;

  if (next == NULL || next->key > clock_us (queue->clock))
    return NULL;
  waiter = CONTAINER_OF (next, queue_waiter_t, expiry_node);
  remove_from_flow (queue, waiter);
  return waiter;
}

uint64_t
queue_next_expiry_us (const queue_t *queue)
{
  const heap_node_t *next = heap_top (&queue->expiries);

  return next != NULL ? next->key : QUEUE_NO_DEADLINE;
}

uint64_t
queue_estimate_wait_us (queue_t *queue, str_t team, uint32_t cost)
{
  int size_class = cost >= queue->long_cost_min ? LONG : SHORT;

  return estimate_wait_us (queue, find_team (queue, team), size_class, cost);
}

uint32_t
queue_waiting_count (const queue_t *queue)
{
  return queue->expiries.count;
}

uint32_t
queue_running_count (const queue_t *queue)
{
  return queue->classes[SHORT].running_count
         + queue->classes[LONG].running_count;
}

uint32_t
queue_load (const queue_t *queue)
{
  uint32_t load = queue_waiting_count (queue) / WAITING_LOAD_DIVISOR;

  for (int size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
    for (uint32_t i = 0; i < queue->classes[size_class].ready_flows.count; i++)
      {
        const flow_t *flow
            = CONTAINER_OF (queue->classes[size_class].ready_flows.nodes[i],
                            flow_t, ready_node);
        uint32_t waiting = flow->waiters.count;

        load += waiting < FULL_LOAD_JOBS_PER_FLOW ? waiting
                                                  : FULL_LOAD_JOBS_PER_FLOW;
      }
  return load;
}
