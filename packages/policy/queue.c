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
  KINDS
};

enum
{
  IDLE,
  WAITING,
  RUNNING
};

enum
{
  /* Units of virtual time to one unit of cost at weight 1.  */
  VIRTUAL_SCALE = 1024,
  /* How many waiting jobs of one team count fully in the load; of the rest
     one in LOAD_REST does.  */
  LOAD_PER_TEAM = 3,
  LOAD_REST = 4
};

/* Weight of one finished job in the running means.  */
#define SPEED_GAIN 0.05
/* The same of a gap between two jobs of a team.  */
#define GAP_GAIN 0.1

/* The jobs of one team and kind.  NODE.key is the virtual time at which its
   next job starts.  */
typedef struct
{
  heap_node_t node;
  heap_t waiters;
  uint64_t cost; /* Of all that wait.  */
  /* How it was served while it had to wait: the mean time between two of its
     jobs, and their mean cost.  */
  uint64_t popped_us; /* Last time; 0 when it did not wait then.  */
  double gap_us;      /* 0 until known.  */
  double gap_cost;
} flow_t;

struct queue_team
{
  uint32_t weight;
  flow_t flows[KINDS];
};

/* What all teams share for one kind of job.  */
typedef struct
{
  heap_t ready;     /* Flows that have waiters.  */
  uint64_t now;     /* Virtual time.  */
  uint64_t last;    /* Latest virtual end of any job.  */
  uint64_t cost;    /* Of all that wait.  */
  uint64_t weights; /* Sum over the flows in READY.  */
  uint32_t running;
  double mean_cost;
  double mean_service_us; /* 0 until a job has ended.  */
} kind_t;

struct queue
{
  clock_iface_t *clock;
  uint32_t max_waiters;
  uint32_t long_cost;
  uint32_t slots;
  double low_slots; /* What SLOTS fell to lately.  */
  uint64_t low_us;  /* When LOW_SLOTS was last let rise.  */
  map_t *teams;
  kind_t kinds[KINDS];
  heap_t lapses;
  uint64_t sequence;
  uint64_t short_seen_us; /* Last arrival of a short job; 0 for never.  */
};

queue_t *
queue_create (const queue_config_t *config, clock_iface_t *clock)
{
  queue_t *queue = mem_zalloc (sizeof *queue);

  queue->clock = clock;
  queue->max_waiters = QUEUE_MAX_WAITERS;
  queue->long_cost = QUEUE_LONG_COST_MIN;
  queue->slots = 1;
  queue->low_slots = INFINITY;
  queue->low_us = clock_us (clock);
  if (config != NULL && config->max_waiters > 0)
    queue->max_waiters = config->max_waiters;
  if (config != NULL && config->long_cost > 0)
    queue->long_cost = config->long_cost;
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

      for (int kind = 0; kind < KINDS; kind++)
        heap_free (&team->flows[kind].waiters);
      free (team);
    }
  map_destroy (queue->teams);
  for (int kind = 0; kind < KINDS; kind++)
    heap_free (&queue->kinds[kind].ready);
  heap_free (&queue->lapses);
  free (queue);
}

/* Return the record of team NAME, made on first use: the names are those of
   the configuration, so there is a bounded number.  */
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
  for (int kind = 0; kind < KINDS; kind++)
    if (team->flows[kind].node.position != 0)
      queue->kinds[kind].weights += (uint64_t)weight - team->weight;
  team->weight = weight;
}

void
queue_set_slots (queue_t *queue, uint32_t slots)
{
  uint64_t now = clock_us (queue->clock);
  double seconds = fmin ((double)(now - queue->low_us) / 1e6, 10);

  queue->slots = slots > 0 ? slots : 1;
  queue->low_slots *= 1 + QUEUE_MIN_SLOTS_RISE_PER_S * seconds;
  queue->low_slots = fmin (queue->low_slots, queue->slots);
  queue->low_us = now;
}

/* Return PART of the slots there surely are, at least one.  Guards against a
   limit that dips: long jobs started at its peak would hold all that is left,
   and the short ones wait for minutes.  */
static uint32_t
part_of_slots (const queue_t *queue, double part)
{
  uint32_t slots = (uint32_t)(fmin (queue->low_slots, queue->slots) * part);

  return slots > 0 ? slots : 1;
}

/* Return how many long jobs may run at a time.  */
static uint32_t
long_cap (const queue_t *queue)
{
  uint64_t memory_us = (uint64_t)QUEUE_SHORT_RESERVE_MS * 1000;

  if (queue->short_seen_us == 0
      || clock_us (queue->clock) - queue->short_seen_us > memory_us)
    return queue->slots;
  return part_of_slots (queue, QUEUE_LONG_SHARE_MAX);
}

/* Return the time that COST units of KIND take in one slot, from the jobs
   seen; 0 when there were none.  */
static double
service_us (const queue_t *queue, int kind, double cost)
{
  const kind_t *seen = &queue->kinds[kind];

  if (seen->mean_service_us == 0)
    seen = &queue->kinds[kind == SHORT ? LONG : SHORT];
  if (seen->mean_service_us == 0)
    return 0;
  return cost * seen->mean_service_us / seen->mean_cost;
}

/* Return the slots that serve jobs of KIND while the other kind runs what it
   runs now.  */
static uint32_t
slots_for (const queue_t *queue, int kind)
{
  uint32_t others = queue->kinds[kind == SHORT ? LONG : SHORT].running;
  uint32_t left = queue->slots > others ? queue->slots - others : 0;
  uint32_t floor_slots
      = kind == SHORT
            ? queue->slots - part_of_slots (queue, QUEUE_LONG_SHARE_MAX)
            : part_of_slots (queue, QUEUE_LONG_SHARE_MIN);

  if (kind == LONG && left > long_cap (queue))
    left = long_cap (queue);
  if (left < floor_slots)
    left = floor_slots;
  return left > 0 ? left : 1;
}

/* Return the expected wait of a job of COST behind what its team and the
   others have waiting.  */
static uint64_t
expected_wait_us (const queue_t *queue, const queue_team_t *team, int kind,
                  uint32_t cost)
{
  const kind_t *all = &queue->kinds[kind];
  const flow_t *own = &team->flows[kind];
  uint64_t weights = all->weights;
  uint32_t slots = slots_for (queue, kind);
  double formula_us;
  double ahead;

  if (all->cost == 0 && all->running < slots)
    return 0;
  if (own->node.position == 0)
    weights += team->weight;
  /* Until its turn comes a team waits while the others are served in
     proportion to their weights, but never longer than for all there is.  */
  ahead = (double)(own->cost + cost) * (double)weights / team->weight - cost;
  if (ahead > (double)all->cost)
    ahead = (double)all->cost;
  /* And until a slot is free, a slot's share of a mean job.  */
  formula_us
      = (service_us (queue, kind, ahead) + all->mean_service_us) / slots;
  /* Teams that seldom wait take their part all the same; what this one really
     got while it waited shows that.  */
  if (own->gap_us > 0 && own->cost > 0)
    formula_us
        = fmax (formula_us, (double)own->cost * own->gap_us / own->gap_cost);
  return (uint64_t)formula_us;
}

static void
unlink_waiter (queue_t *queue, queue_waiter_t *waiter)
{
  kind_t *all = &queue->kinds[waiter->kind];
  flow_t *flow = &waiter->team->flows[waiter->kind];

  heap_remove (&flow->waiters, &waiter->order);
  heap_remove (&queue->lapses, &waiter->lapse);
  flow->cost -= waiter->cost;
  all->cost -= waiter->cost;
  waiter->state = IDLE;
  if (flow->waiters.count > 0)
    return;
  heap_remove (&all->ready, &flow->node);
  all->weights -= waiter->team->weight;
}

/* Return the flow that waits with most for its weight.  */
static flow_t *
greediest_flow (queue_t *queue, uint32_t *weight)
{
  flow_t *most = NULL;
  size_t cursor = 0;
  str_t name;
  void *value;

  while (map_next (queue->teams, &cursor, &name, &value))
    {
      queue_team_t *team = value;

      for (int kind = 0; kind < KINDS; kind++)
        {
          flow_t *flow = &team->flows[kind];

          if (most != NULL
              && flow->cost * *weight <= most->cost * team->weight)
            continue;
          most = flow;
          *weight = team->weight;
        }
    }
  return most;
}

/* Make room in a full queue for a job of COST of FLOW: take out a last job of
   the greediest flow.  Return it, or NULL when FLOW itself would be the
   greediest.  */
static queue_waiter_t *
make_room (queue_t *queue, const flow_t *flow, uint32_t weight, uint32_t cost)
{
  uint32_t most_weight = 1;
  flow_t *most = greediest_flow (queue, &most_weight);
  queue_waiter_t *last;

  if (most->waiters.count == 0
      || (flow->cost + cost) * most_weight >= most->cost * weight)
    return NULL;
  /* The last leaf is not always the very last in order, but never one that
     comes before another.  */
  last = CONTAINER_OF (most->waiters.nodes[most->waiters.count - 1],
                       queue_waiter_t, order);
  unlink_waiter (queue, last);
  return last;
}

/* Return the place in its team's order of a job that arrives at NOW and runs
   for LENGTH_US.  */
static uint64_t
due_us (const queue_job_t *job, uint64_t now, uint64_t length_us)
{
  uint64_t pass_us = (uint64_t)QUEUE_REORDER_MAX_MS * 1000;

  if (length_us > pass_us)
    length_us = pass_us;
  return now + length_us + (uint64_t)job->priority * pass_us;
}

/* Return how far behind the others a team may be when it comes back: some
   jobs of its own.  */
static uint64_t
credit_of (const kind_t *all, const queue_team_t *team)
{
  return (uint64_t)(all->mean_cost * QUEUE_CREDIT_JOBS * VIRTUAL_SCALE
                    / team->weight);
}

/* Whether a job that arrives at NOW, is expected to wait for WAIT_US and runs
   for RUNS_US can be taken on for its deadline.  */
static bool
fits (uint64_t now, uint64_t wait_us, uint64_t runs_us, uint64_t deadline_us)
{
  if (now + runs_us > deadline_us)
    return false;
  return (double)wait_us
         <= (double)(deadline_us - now - runs_us) * QUEUE_WAIT_SLACK_SHARE;
}

vh_code_t
queue_push (queue_t *queue, queue_waiter_t *waiter, const queue_job_t *job,
            queue_waiter_t **evicted)
{
  queue_team_t *team = find_team (queue, job->team);
  uint32_t cost = job->cost > 0 ? job->cost : 1;
  int kind = cost >= queue->long_cost ? LONG : SHORT;
  flow_t *flow = &team->flows[kind];
  kind_t *all = &queue->kinds[kind];
  uint64_t now = clock_us (queue->clock);
  uint64_t runs_us = (uint64_t)service_us (queue, kind, cost);

  assert (waiter->state == IDLE);
  *evicted = NULL;
  if (kind == SHORT)
    queue->short_seen_us = now;
  if (job->deadline_us != QUEUE_NO_DEADLINE
      && !fits (now, expected_wait_us (queue, team, kind, cost), runs_us,
                job->deadline_us))
    return VH_E_DEADLINE;
  if (queue_waiting_count (queue) >= queue->max_waiters)
    {
      *evicted = make_room (queue, flow, team->weight, cost);
      if (*evicted == NULL)
        return VH_E_FULL;
    }

  waiter->team = team;
  waiter->cost = cost;
  waiter->kind = (uint8_t)kind;
  waiter->state = WAITING;
  waiter->order.key = due_us (job, now, runs_us);
  waiter->order.tie = ++queue->sequence;
  waiter->lapse.key = job->deadline_us == QUEUE_NO_DEADLINE
                          ? QUEUE_NO_DEADLINE
                          : job->deadline_us - runs_us;
  waiter->lapse.tie = queue->sequence;
  heap_push (&flow->waiters, &waiter->order);
  heap_push (&queue->lapses, &waiter->lapse);
  flow->cost += cost;
  all->cost += cost;
  if (flow->node.position == 0)
    {
      uint64_t credit = credit_of (all, team);

      if (flow->node.key + credit < all->now)
        flow->node.key = all->now - credit;
      flow->node.tie = queue->sequence;
      heap_push (&all->ready, &flow->node);
      all->weights += team->weight;
    }
  return VH_OK;
}

/* Return the kind to serve next, or KINDS when no waiter may run.  */
static int
choose_kind (const queue_t *queue)
{
  const kind_t *shorts = &queue->kinds[SHORT];
  const kind_t *longs = &queue->kinds[LONG];
  bool long_may = longs->ready.count > 0 && longs->running < long_cap (queue);

  if (shorts->ready.count == 0)
    return long_may ? LONG : KINDS;
  /* Guards against starved drafts: under an endless stream of short jobs the
     long ones still get their floor.  Not the only slot, though.  */
  if (long_may && queue->slots > 1
      && longs->running < part_of_slots (queue, QUEUE_LONG_SHARE_MIN))
    return LONG;
  return SHORT;
}

/* Note how long FLOW had to wait between two of its jobs; COST is that of the
   one just taken.  */
static void
measure_gap (const queue_t *queue, flow_t *flow, uint32_t cost)
{
  uint64_t now = clock_us (queue->clock);

  if (flow->popped_us > 0)
    {
      double gap_us = (double)(now - flow->popped_us);

      if (flow->gap_cost == 0)
        {
          flow->gap_us = gap_us;
          flow->gap_cost = cost;
        }
      flow->gap_us += GAP_GAIN * (gap_us - flow->gap_us);
      flow->gap_cost += GAP_GAIN * (cost - flow->gap_cost);
    }
  flow->popped_us = flow->waiters.count > 0 ? now : 0;
}

queue_waiter_t *
queue_pop (queue_t *queue)
{
  int kind = choose_kind (queue);
  kind_t *all;
  flow_t *flow;
  queue_waiter_t *waiter;

  if (kind == KINDS)
    return NULL;
  all = &queue->kinds[kind];
  flow = CONTAINER_OF (heap_top (&all->ready), flow_t, node);
  waiter = CONTAINER_OF (heap_top (&flow->waiters), queue_waiter_t, order);
  all->now = flow->node.key;
  flow->node.key
      += (uint64_t)waiter->cost * VIRTUAL_SCALE / waiter->team->weight;
  flow->node.tie = ++queue->sequence;
  heap_update (&all->ready, &flow->node);
  unlink_waiter (queue, waiter);
  measure_gap (queue, flow, waiter->cost);
  waiter->state = RUNNING;
  all->running++;
  return waiter;
}

/* Charge the team of WAITER for USED units in place of the estimate.  */
static void
settle (queue_t *queue, queue_waiter_t *waiter, uint32_t used)
{
  kind_t *all = &queue->kinds[waiter->kind];
  flow_t *flow = &waiter->team->flows[waiter->kind];
  uint64_t charged
      = (uint64_t)waiter->cost * VIRTUAL_SCALE / waiter->team->weight;
  uint64_t due = (uint64_t)used * VIRTUAL_SCALE / waiter->team->weight;

  if (due >= charged)
    flow->node.key += due - charged;
  else if (flow->node.key > all->now + (charged - due))
    flow->node.key -= charged - due;
  else if (flow->node.key > all->now)
    flow->node.key = all->now;
  if (flow->node.position != 0)
    heap_update (&all->ready, &flow->node);
}

void
queue_done (queue_t *queue, queue_waiter_t *waiter, uint64_t took_us,
            uint32_t used)
{
  kind_t *all = &queue->kinds[waiter->kind];

  assert (waiter->state == RUNNING);
  all->running--;
  waiter->state = IDLE;
  if (used > 0)
    settle (queue, waiter, used);
  if (took_us == 0)
    return;
  if (all->mean_service_us == 0)
    {
      all->mean_service_us = (double)took_us;
      all->mean_cost = waiter->cost;
      return;
    }
  all->mean_service_us
      += SPEED_GAIN * ((double)took_us - all->mean_service_us);
  all->mean_cost += SPEED_GAIN * (waiter->cost - all->mean_cost);
}

void
queue_cancel (queue_t *queue, queue_waiter_t *waiter)
{
  if (waiter->state == WAITING)
    unlink_waiter (queue, waiter);
  else if (waiter->state == RUNNING)
    queue->kinds[waiter->kind].running--;
  waiter->state = IDLE;
}

queue_waiter_t *
queue_pop_expired (queue_t *queue)
{
  heap_node_t *first = heap_top (&queue->lapses);
  queue_waiter_t *waiter;

  if (first == NULL || first->key > clock_us (queue->clock))
    return NULL;
  waiter = CONTAINER_OF (first, queue_waiter_t, lapse);
  unlink_waiter (queue, waiter);
  return waiter;
}

uint64_t
queue_next_expiry_us (const queue_t *queue)
{
  const heap_node_t *first = heap_top (&queue->lapses);

  return first != NULL ? first->key : QUEUE_NO_DEADLINE;
}

uint64_t
queue_estimate_wait_us (queue_t *queue, str_t team, uint32_t cost)
{
  int kind = cost >= queue->long_cost ? LONG : SHORT;

  return expected_wait_us (queue, find_team (queue, team), kind, cost);
}

uint32_t
queue_waiting_count (const queue_t *queue)
{
  return queue->lapses.count;
}

uint32_t
queue_running_count (const queue_t *queue)
{
  return queue->kinds[SHORT].running + queue->kinds[LONG].running;
}

uint32_t
queue_load (const queue_t *queue)
{
  uint32_t load = queue_waiting_count (queue) / LOAD_REST;

  for (int kind = 0; kind < KINDS; kind++)
    for (uint32_t i = 0; i < queue->kinds[kind].ready.count; i++)
      {
        const flow_t *flow
            = CONTAINER_OF (queue->kinds[kind].ready.nodes[i], flow_t, node);
        uint32_t waiting = flow->waiters.count;

        load += waiting < LOAD_PER_TEAM ? waiting : LOAD_PER_TEAM;
      }
  return load;
}
