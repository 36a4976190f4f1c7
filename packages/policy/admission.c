#include "policy/admission.h"

#include "base/map.h"
#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

enum
{
  PRIORITIES = QUEUE_PRIORITY_LOW + 1,
  /* Most ticks counted at once.  After ten seconds without a call the old
     rates have decayed to almost nothing.  */
  TICKS_MAX = 100
};

/* Decay of the refused cost per tick, for a mean age of a hundred ticks or ten
   seconds.  */
#define REFUSED_DECAY 0.99

typedef struct
{
  double tick_cost;      /* Requested cost in the current tick.  */
  double rate;           /* Requested cost per second.  */
  double admitted_share; /* Share of the requests to admit, 0 to 1.  */
  double credit; /* Fraction of a request, carried over to the next one.  */
} demand_t;

typedef struct
{
  list_t link;
  uint32_t weight;
  demand_t demands[PRIORITIES];
  double demand_rate;    /* Requested cost per second, all priorities.  */
  double admitted_rate;  /* Admitted cost per second.  */
  double recent_refused; /* Cost refused in the last seconds.  */
} team_t;

struct admission
{
  clock_iface_t *clock;
  rng_t *rng;
  map_t *names;
  list_t teams;
  uint64_t tick_start_ms; /* Start of the current tick.  */
  double tick_accepted; /* Cost accepted by the fleet in the current tick.  */
  double tick_refused;  /* Cost refused by the fleet in the current tick.  */
  double accepted_rate; /* Cost accepted by the fleet per second.  */
  double pressure;      /* Load of the fleet relative to its slots.  */
  double capacity; /* Cost per second; INFINITY if the fleet was never full. */
  bool limiting;
};

admission_t *
admission_create (clock_iface_t *clock, rng_t *rng)
{
  admission_t *admission = mem_zalloc (sizeof *admission);

  admission->clock = clock;
  admission->rng = rng;
  admission->names = map_create ();
  admission->tick_start_ms = clock_ms (clock);
  admission->capacity = INFINITY;
  list_init (&admission->teams);
  return admission;
}

void
admission_destroy (admission_t *admission)
{
  if (admission == NULL)
    return;
  LIST_EACH (node, &admission->teams)
    free (CONTAINER_OF (node, team_t, link));
  map_destroy (admission->names);
  free (admission);
}

/* Return the record of team NAME, which is created on first use.  The names
   come from the configuration, so their number is bounded.  */
static team_t *
find_team (admission_t *admission, str_t name)
{
  team_t *team = map_get (admission->names, name);

  if (team != NULL)
    return team;
  team = mem_zalloc (sizeof *team);
  team->weight = 1;
  for (int priority = 0; priority < PRIORITIES; priority++)
    team->demands[priority].admitted_share = 1;
  map_put (admission->names, name, team);
  list_append (&admission->teams, &team->link);
  return team;
}

void
admission_set_weight (admission_t *admission, str_t name, uint32_t weight)
{
  find_team (admission, name)->weight = weight > 0 ? weight : 1;
}

/* Return the moving average RATE per second after TICKS ticks with a total of
   AMOUNT.  */
static double
update_rate (double rate, double amount, double ticks)
{
  double seconds = ticks * ADMISSION_TICK_MS / 1000;
  double decay = pow (1 - ADMISSION_RATE_SMOOTHING, ticks);

  return rate * decay + amount / seconds * (1 - decay);
}

/* Update the demand of each team after TICKS ticks, and return the sum.  */
static double
update_demand (admission_t *admission, double ticks)
{
  double sum = 0;

  LIST_EACH (node, &admission->teams)
    {
      team_t *team = CONTAINER_OF (node, team_t, link);

      team->demand_rate = 0;
      for (int priority = 0; priority < PRIORITIES; priority++)
        {
          demand_t *demand = &team->demands[priority];

          demand->rate = update_rate (demand->rate, demand->tick_cost, ticks);
          demand->tick_cost = 0;
          team->demand_rate += demand->rate;
        }
      team->recent_refused *= pow (REFUSED_DECAY, ticks);
      sum += team->demand_rate;
    }
  return sum;
}

/* Update the capacity from the results of the last TICKS ticks.  DEMAND is the
   requested cost per second.  */
static void
update_capacity (admission_t *admission, double demand, double ticks)
{
  double dispatched = admission->tick_accepted + admission->tick_refused;
  bool is_full
      = admission->tick_refused > dispatched * ADMISSION_OVERLOAD_REFUSED_SHARE
        || admission->pressure > ADMISSION_OVERLOAD_PRESSURE;
  double probe_capacity;

  admission->accepted_rate = update_rate (admission->accepted_rate,
                                          admission->tick_accepted, ticks);
  probe_capacity = admission->accepted_rate * ADMISSION_PROBE_FACTOR;
  /* The accepted rate and the demand have the same lag behind a sudden burst,
     so the capacity derived from one can be compared with the other.  */
  if (is_full || probe_capacity > admission->capacity)
    admission->capacity = probe_capacity;
  else if (admission->limiting)
    admission->capacity *= pow (ADMISSION_GROWTH_PER_TICK, ticks);
  admission->capacity
      = fmax (admission->capacity, ADMISSION_ADMITTED_SHARE_MIN * demand);
  admission->tick_accepted = 0;
  admission->tick_refused = 0;
}

/* Set the admitted rate of each team to its max-min fair share of the
   capacity: teams below the level get their full demand, and the capacity
   that they leave raises the level for the others.  */
static void
divide_capacity (admission_t *admission)
{
  double remaining = admission->capacity;
  double weight_sum = 0;
  bool changed = true;

  LIST_EACH (node, &admission->teams)
    {
      team_t *team = CONTAINER_OF (node, team_t, link);

      team->admitted_rate = -1;
      weight_sum += team->weight;
    }
  while (changed)
    {
      double level = remaining / weight_sum;

      changed = false;
      LIST_EACH (node, &admission->teams)
        {
          team_t *team = CONTAINER_OF (node, team_t, link);

          if (team->admitted_rate >= 0
              || team->demand_rate > level * team->weight)
            continue;
          team->admitted_rate = team->demand_rate;
          remaining -= team->demand_rate;
          weight_sum -= team->weight;
          changed = weight_sum > 0;
        }
    }
  LIST_EACH (node, &admission->teams)
    {
      team_t *team = CONTAINER_OF (node, team_t, link);

      if (team->admitted_rate < 0)
        team->admitted_rate = remaining * team->weight / weight_sum;
    }
}

/* Divide the admitted rate of TEAM among its priorities, highest first.  */
static void
divide_admitted_rate (team_t *team)
{
  double remaining = team->admitted_rate;

  for (int priority = 0; priority < PRIORITIES; priority++)
    {
      demand_t *demand = &team->demands[priority];

      demand->admitted_share = 1;
      if (demand->rate > remaining)
        demand->admitted_share = remaining / demand->rate;
      remaining -= fmin (demand->rate, remaining);
    }
}

static void
admit_all (admission_t *admission)
{
  LIST_EACH (node, &admission->teams)
    {
      team_t *team = CONTAINER_OF (node, team_t, link);

      team->admitted_rate = team->demand_rate;
      for (int priority = 0; priority < PRIORITIES; priority++)
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
  admission->limiting = demand > admission->capacity;
  if (!admission->limiting)
    {
      admit_all (admission);
      return;
    }
  divide_capacity (admission);
  LIST_EACH (node, &admission->teams)
    divide_admitted_rate (CONTAINER_OF (node, team_t, link));
}

vh_code_t
admission_decide (admission_t *admission, str_t name, uint32_t cost,
                  queue_priority_t priority)
{
  team_t *team = find_team (admission, name);
  demand_t *demand = &team->demands[priority];

  update_shares (admission);
  demand->tick_cost += cost;
  if (demand->admitted_share >= 1)
    return VH_OK;
  /* Deterministic credit instead of a random draw: at a share of 0.9 exactly
     each tenth request is refused, never three in a row.  */
  demand->credit += demand->admitted_share;
  if (demand->credit >= 1)
    {
      demand->credit -= 1;
      return VH_OK;
    }
  team->recent_refused += cost;
  return VH_E_TEAM_SHARE;
}

void
admission_record_result (admission_t *admission, uint32_t cost, bool accepted)
{
  update_shares (admission);
  if (accepted)
    admission->tick_accepted += cost;
  else
    admission->tick_refused += cost;
}

void
admission_set_pressure (admission_t *admission, double pressure)
{
  update_shares (admission);
  admission->pressure = pressure;
}

uint32_t
admission_retry_after_s (admission_t *admission, str_t name)
{
  const team_t *team = find_team (admission, name);
  double span_s = 0;

  if (team->admitted_rate > 0)
    span_s = team->recent_refused / team->admitted_rate;
  if (span_s > ADMISSION_RETRY_AFTER_MAX_S - ADMISSION_RETRY_AFTER_MIN_S)
    span_s = ADMISSION_RETRY_AFTER_MAX_S - ADMISSION_RETRY_AFTER_MIN_S;
  return ADMISSION_RETRY_AFTER_MIN_S
         + (uint32_t)rng_below (admission->rng, (uint64_t)span_s + 1);
}

double
admission_admitted_share (admission_t *admission, str_t name)
{
  const team_t *team = find_team (admission, name);

  return team->demand_rate > 0 ? team->admitted_rate / team->demand_rate : 1;
}

bool
admission_is_limiting (const admission_t *admission)
{
  return admission->limiting;
}
