#include "policy/admission.h"

#include "base/map.h"
#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

enum
{
  PRIORITY_COUNT = QUEUE_PRIORITY_LOW + 1,
  /* Largest number of ticks that one update counts.  After ten seconds without
     an update the old rates have decayed to almost nothing.  */
  TICKS_MAX = 100
};

/* Factor by which the recently refused cost of a team decays per tick, for a
   mean age of a hundred ticks or ten seconds.  */
#define REFUSED_DECAY_PER_TICK 0.99

typedef struct
{
  double tick_cost;      /* Requested cost in the current tick.  */
  double cost_per_s;     /* Requested cost per second.  */
  double admitted_share; /* Share of the requests to admit, 0 to 1.  */
  double request_credit; /* Sum of the admitted shares of past requests, minus
                            the admitted requests.  */
} demand_t;

typedef struct
{
  list_t list_node;
  uint32_t weight;
  demand_t demands[PRIORITY_COUNT];
  double demand_cost_per_s; /* Requested cost per second, of all priorities. */
  double admitted_cost_per_s; /* Admitted cost per second.  */
  double recent_refused_cost; /* Cost of the requests refused in the last
                                 seconds, decayed.  */
} team_t;

struct admission
{
  clock_iface_t *clock;
  rng_t *rng;
  map_t *teams_by_name;
  list_t teams;
  uint64_t tick_start_ms; /* Start of the current tick.  */
  /* Cost accepted by the fleet in the current tick.  */
  double tick_accepted_cost;
  /* Cost refused by the fleet in the current tick.  */
  double tick_refused_cost;
  double accepted_cost_per_s; /* Cost accepted by the fleet per second.  */
  /* Load that the sidecars report, relative to their slots.  */
  double pressure;
  double capacity_per_s; /* Cost that the fleet can serve per second; INFINITY
                            if it was never full.  */
  bool is_limiting;
};

admission_t *
admission_create (clock_iface_t *clock, rng_t *rng)
{
  admission_t *admission = mem_zalloc (sizeof *admission);

  admission->clock = clock;
  admission->rng = rng;
  admission->teams_by_name = map_create ();
  admission->tick_start_ms = clock_ms (clock);
  admission->capacity_per_s = INFINITY;
  list_init (&admission->teams);
  return admission;
}

void
admission_destroy (admission_t *admission)
{
  if (admission == NULL)
    return;
  LIST_EACH (node, &admission->teams)
    free (CONTAINER_OF (node, team_t, list_node));
  map_destroy (admission->teams_by_name);
  free (admission);
}

/* Return the state of team TEAM_NAME, which is created on first use.  Team
   names come from the configuration, so their number is bounded.  */
static team_t *
find_team (admission_t *admission, str_t team_name)
{
  team_t *team = map_get (admission->teams_by_name, team_name);

  if (team != NULL)
    return team;
  team = mem_zalloc (sizeof *team);
  team->weight = 1;
  for (int priority = 0; priority < PRIORITY_COUNT; priority++)
    team->demands[priority].admitted_share = 1;
  map_put (admission->teams_by_name, team_name, team);
  list_append (&admission->teams, &team->list_node);
  return team;
}

void
admission_set_weight (admission_t *admission, str_t team_name, uint32_t weight)
{
  find_team (admission, team_name)->weight = weight > 0 ? weight : 1;
}

/* Return the moving average RATE of an amount per second, updated by the last
   TICKS ticks, in which the amount was AMOUNT in total.  */
static double
average_per_s (double rate, double amount, double ticks)
{
  double seconds = ticks * ADMISSION_TICK_MS / 1000;
  double decay = pow (1 - ADMISSION_RATE_SMOOTHING, ticks);

  return rate * decay + amount / seconds * (1 - decay);
}

/* Update the demand of each team after TICKS ticks, and return the demand of
   all teams, as cost per second.  */
static double
update_demand (admission_t *admission, double ticks)
{
  double sum = 0;

  LIST_EACH (node, &admission->teams)
    {
      team_t *team = CONTAINER_OF (node, team_t, list_node);

      team->demand_cost_per_s = 0;
      for (int priority = 0; priority < PRIORITY_COUNT; priority++)
        {
          demand_t *demand = &team->demands[priority];

          demand->cost_per_s
              = average_per_s (demand->cost_per_s, demand->tick_cost, ticks);
          demand->tick_cost = 0;
          team->demand_cost_per_s += demand->cost_per_s;
        }
      team->recent_refused_cost *= pow (REFUSED_DECAY_PER_TICK, ticks);
      sum += team->demand_cost_per_s;
    }
  return sum;
}

/* Update the capacity from the results of the last TICKS ticks.  DEMAND is the
   requested cost per second.  */
static void
update_capacity (admission_t *admission, double demand, double ticks)
{
  double dispatched_cost
      = admission->tick_accepted_cost + admission->tick_refused_cost;
  bool is_full = admission->tick_refused_cost
                     > dispatched_cost * ADMISSION_OVERLOAD_REFUSED_SHARE
                 || admission->pressure > ADMISSION_OVERLOAD_PRESSURE;
  double probe_capacity;

  admission->accepted_cost_per_s = average_per_s (
      admission->accepted_cost_per_s, admission->tick_accepted_cost, ticks);
  probe_capacity = admission->accepted_cost_per_s * ADMISSION_PROBE_FACTOR;
  /* The accepted rate and the demand have the same lag behind a sudden burst,
     so the capacity derived from one can be compared with the other.  */
  if (is_full || probe_capacity > admission->capacity_per_s)
    admission->capacity_per_s = probe_capacity;
  else if (admission->is_limiting)
    admission->capacity_per_s *= pow (ADMISSION_GROWTH_PER_TICK, ticks);
  admission->capacity_per_s = fmax (admission->capacity_per_s,
                                    ADMISSION_ADMITTED_SHARE_MIN * demand);
  admission->tick_accepted_cost = 0;
  admission->tick_refused_cost = 0;
}

/* Set the admitted rate of each team to its max-min fair share of the
   capacity: a team whose demand relative to its weight is below the common
   level gets its full demand, and the capacity that such teams leave raises
   the level for the others.  */
static void
divide_capacity (admission_t *admission)
{
  double remaining = admission->capacity_per_s;
  double weight_sum = 0;
  bool has_level_changed = true;

  LIST_EACH (node, &admission->teams)
    {
      team_t *team = CONTAINER_OF (node, team_t, list_node);

      team->admitted_cost_per_s = -1;
      weight_sum += team->weight;
    }
  while (has_level_changed)
    {
      double level = remaining / weight_sum;

      has_level_changed = false;
      LIST_EACH (node, &admission->teams)
        {
          team_t *team = CONTAINER_OF (node, team_t, list_node);

          if (team->admitted_cost_per_s >= 0
              || team->demand_cost_per_s > level * team->weight)
            continue;
          team->admitted_cost_per_s = team->demand_cost_per_s;
          remaining -= team->demand_cost_per_s;
          weight_sum -= team->weight;
          has_level_changed = weight_sum > 0;
        }
    }
  LIST_EACH (node, &admission->teams)
    {
      team_t *team = CONTAINER_OF (node, team_t, list_node);

      if (team->admitted_cost_per_s < 0)
        team->admitted_cost_per_s = remaining * team->weight / weight_sum;
    }
}

/* Divide the admitted rate of TEAM among its priorities, highest first.  */
static void
divide_admitted_rate (team_t *team)
{
  double remaining = team->admitted_cost_per_s;

  for (int priority = 0; priority < PRIORITY_COUNT; priority++)
    {
      demand_t *demand = &team->demands[priority];

      demand->admitted_share = 1;
      if (demand->cost_per_s > remaining)
        demand->admitted_share = remaining / demand->cost_per_s;
      remaining -= fmin (demand->cost_per_s, remaining);
    }
}

static void
admit_all (admission_t *admission)
{
  LIST_EACH (node, &admission->teams)
    {
      team_t *team = CONTAINER_OF (node, team_t, list_node);

      team->admitted_cost_per_s = team->demand_cost_per_s;
      for (int priority = 0; priority < PRIORITY_COUNT; priority++)
        team->demands[priority].admitted_share = 1;
    }
}

/* Recompute all admitted shares if at least one tick has passed.  */
static void
update_shares (admission_t *admission)
{
  uint64_t ticks = (clock_ms (admission->clock) - admission->tick_start_ms)
                   / ADMISSION_TICK_MS;
  double demand;

  if (ticks == 0)
    return;
  admission->tick_start_ms += ticks * ADMISSION_TICK_MS;
  if (ticks > TICKS_MAX)
    ticks = TICKS_MAX;
  demand = update_demand (admission, (double)ticks);
  update_capacity (admission, demand, (double)ticks);
  admission->is_limiting = demand > admission->capacity_per_s;
  if (!admission->is_limiting)
    {
      admit_all (admission);
      return;
    }
  divide_capacity (admission);
  LIST_EACH (node, &admission->teams)
    divide_admitted_rate (CONTAINER_OF (node, team_t, list_node));
}

vh_code_t
admission_decide (admission_t *admission, str_t team_name, uint32_t cost,
                  queue_priority_t priority)
{
  team_t *team = find_team (admission, team_name);
  demand_t *demand = &team->demands[priority];

  update_shares (admission);
  demand->tick_cost += cost;
  if (demand->admitted_share >= 1)
    return VH_OK;
  /* Deterministic credit instead of a random draw: at a share of 0.9 exactly
     each tenth request is refused, never three in a row.  */
  demand->request_credit += demand->admitted_share;
  if (demand->request_credit >= 1)
    {
      demand->request_credit -= 1;
      return VH_OK;
    }
  team->recent_refused_cost += cost;
  return VH_E_TEAM_SHARE;
}

void
admission_record_result (admission_t *admission, uint32_t cost, bool accepted)
{
  update_shares (admission);
  if (accepted)
    admission->tick_accepted_cost += cost;
  else
    admission->tick_refused_cost += cost;
}

void
admission_set_pressure (admission_t *admission, double pressure)
{
  update_shares (admission);
  admission->pressure = pressure;
}

uint32_t
admission_retry_after_s (admission_t *admission, str_t team_name)
{
  const team_t *team = find_team (admission, team_name);
  double span_s = 0;

  if (team->admitted_cost_per_s > 0)
    span_s = team->recent_refused_cost / team->admitted_cost_per_s;
  if (span_s > ADMISSION_RETRY_AFTER_MAX_S - ADMISSION_RETRY_AFTER_MIN_S)
    span_s = ADMISSION_RETRY_AFTER_MAX_S - ADMISSION_RETRY_AFTER_MIN_S;
  return ADMISSION_RETRY_AFTER_MIN_S
         + (uint32_t)rng_below (admission->rng, (uint64_t)span_s + 1);
}

double
admission_admitted_share (admission_t *admission, str_t team_name)
{
  const team_t *team = find_team (admission, team_name);

  return team->demand_cost_per_s > 0
             ? team->admitted_cost_per_s / team->demand_cost_per_s
             : 1;
}

bool
admission_is_limiting (const admission_t *admission)
{
  return admission->is_limiting;
}
