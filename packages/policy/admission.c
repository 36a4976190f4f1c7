#include "policy/admission.h"

#include "base/map.h"
#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

enum
{
  PRIORITIES = QUEUE_LOW + 1,
  /* Ticks after which a silent period has no more to teach.  */
  TICKS_MAX = 100
};

/* Part of the refused cost that is remembered from one tick to the next: a
   hundred ticks, ten seconds.  */
#define REFUSED_KEEP 0.99

typedef struct
{
  double asked; /* Cost in this tick.  */
  double rate;  /* Cost a second.  */
  double part;  /* Of the requests, admitted.  */
  double credit;
} demand_t;

typedef struct
{
  list_t link;
  uint32_t weight;
  demand_t demands[PRIORITIES];
  double rate;    /* Sum of the demands.  */
  double share;   /* What of RATE is admitted.  */
  double refused; /* Cost refused in the last seconds.  */
} team_t;

struct admission
{
  clock_iface_t *clock;
  rng_t *rng;
  map_t *names;
  list_t teams;
  uint64_t tick_ms; /* Start of the tick.  */
  double accepted;  /* Cost in this tick.  */
  double refused;
  double accepted_rate; /* Cost a second.  */
  double pressure;
  double capacity; /* Cost a second; INFINITY until the fleet was full.  */
  bool limiting;
};

admission_t *
admission_create (clock_iface_t *clock, rng_t *rng)
{
  admission_t *admission = mem_zalloc (sizeof *admission);

  admission->clock = clock;
  admission->rng = rng;
  admission->names = map_create ();
  admission->tick_ms = clock_ms (clock);
  admission->capacity = INFINITY;
  list_init (&admission->teams);
  return admission;
}

void
admission_destroy (admission_t *admission)
{
  if (admission == NULL)
    return;
  LIST_EACH (at, &admission->teams)
    free (CONTAINER_OF (at, team_t, link));
  map_destroy (admission->names);
  free (admission);
}

/* Return the record of team NAME, made on first use: the names are those of
   the configuration, so there is a bounded number.  */
static team_t *
find_team (admission_t *admission, str_t name)
{
  team_t *team = map_get (admission->names, name);

  if (team != NULL)
    return team;
  team = mem_zalloc (sizeof *team);
  team->weight = 1;
  for (int p = 0; p < PRIORITIES; p++)
    team->demands[p].part = 1;
  map_put (admission->names, name, team);
  list_append (&admission->teams, &team->link);
  return team;
}

void
admission_set_weight (admission_t *admission, str_t name, uint32_t weight)
{
  find_team (admission, name)->weight = weight > 0 ? weight : 1;
}

/* Fold what TICKS ticks brought into a running RATE.  */
static double
next_rate (double rate, double brought, double ticks)
{
  double seconds = ticks * ADMISSION_TICK_MS / 1000;
  double keep = pow (1 - ADMISSION_RATE_SMOOTHING, ticks);

  return rate * keep + brought / seconds * (1 - keep);
}

/* Return the sum of all teams' demand after TICKS ticks.  */
static double
measure_demand (admission_t *admission, double ticks)
{
  double sum = 0;

  LIST_EACH (at, &admission->teams)
    {
      team_t *team = CONTAINER_OF (at, team_t, link);

      team->rate = 0;
      for (int p = 0; p < PRIORITIES; p++)
        {
          demand_t *demand = &team->demands[p];

          demand->rate = next_rate (demand->rate, demand->asked, ticks);
          demand->asked = 0;
          team->rate += demand->rate;
        }
      team->refused *= pow (REFUSED_KEEP, ticks);
      sum += team->rate;
    }
  return sum;
}

/* Move the capacity by what the fleet showed in the last ticks, of a DEMAND a
   second.  */
static void
measure_capacity (admission_t *admission, double demand, double ticks)
{
  double dispatched = admission->accepted + admission->refused;
  bool full
      = admission->refused > dispatched * ADMISSION_OVERLOAD_REFUSED_SHARE
        || admission->pressure > ADMISSION_OVERLOAD_PRESSURE;
  double found;

  admission->accepted_rate
      = next_rate (admission->accepted_rate, admission->accepted, ticks);
  found = admission->accepted_rate * ADMISSION_PROBE_FACTOR;
  /* The rate of what is accepted lags behind a sudden burst just as that of
     what is asked for does, so the two can be compared in it.  */
  if (full || found > admission->capacity)
    admission->capacity = found;
  else if (admission->limiting)
    admission->capacity *= pow (ADMISSION_GROWTH_PER_TICK, ticks);
  admission->capacity
      = fmax (admission->capacity, ADMISSION_ADMITTED_SHARE_MIN * demand);
  admission->accepted = 0;
  admission->refused = 0;
}

/* Give each team its max-min fair share of the capacity: those that ask for
   less than the level get all, and the level rises by what they leave.  */
static void
divide_capacity (admission_t *admission)
{
  double left = admission->capacity;
  double weights = 0;
  bool more = true;

  LIST_EACH (at, &admission->teams)
    {
      team_t *team = CONTAINER_OF (at, team_t, link);

      team->share = -1;
      weights += team->weight;
    }
  while (more)
    {
      double level = left / weights;

      more = false;
      LIST_EACH (at, &admission->teams)
        {
          team_t *team = CONTAINER_OF (at, team_t, link);

          if (team->share >= 0 || team->rate > level * team->weight)
            continue;
          team->share = team->rate;
          left -= team->rate;
          weights -= team->weight;
          more = weights > 0;
        }
    }
  LIST_EACH (at, &admission->teams)
    {
      team_t *team = CONTAINER_OF (at, team_t, link);

      if (team->share < 0)
        team->share = left * team->weight / weights;
    }
}

/* Spend the share of TEAM on its priorities, the high ones first.  */
static void
divide_share (team_t *team)
{
  double left = team->share;

  for (int p = 0; p < PRIORITIES; p++)
    {
      demand_t *demand = &team->demands[p];

      demand->part = 1;
      if (demand->rate > left)
        demand->part = left / demand->rate;
      left -= fmin (demand->rate, left);
    }
}

static void
admit_all (admission_t *admission)
{
  LIST_EACH (at, &admission->teams)
    {
      team_t *team = CONTAINER_OF (at, team_t, link);

      team->share = team->rate;
      for (int p = 0; p < PRIORITIES; p++)
        team->demands[p].part = 1;
    }
}

/* Work out the parts anew when a tick has passed.  */
static void
tick (admission_t *admission)
{
  uint64_t ticks
      = (clock_ms (admission->clock) - admission->tick_ms) / ADMISSION_TICK_MS;
  double demand;

  if (ticks == 0)
    return;
  admission->tick_ms += ticks * ADMISSION_TICK_MS;
  if (ticks > TICKS_MAX)
    ticks = TICKS_MAX;
  demand = measure_demand (admission, (double)ticks);
  measure_capacity (admission, demand, (double)ticks);
  admission->limiting = demand > admission->capacity;
  if (!admission->limiting)
    {
      admit_all (admission);
      return;
    }
  divide_capacity (admission);
  LIST_EACH (at, &admission->teams)
    divide_share (CONTAINER_OF (at, team_t, link));
}

vh_code_t
admission_decide (admission_t *admission, str_t name, uint32_t cost,
                  queue_priority_t priority)
{
  team_t *team = find_team (admission, name);
  demand_t *demand = &team->demands[priority];

  tick (admission);
  demand->asked += cost;
  if (demand->part >= 1)
    return VH_OK;
  /* Credit instead of a draw: of a part of 0.9 exactly each tenth is
     refused, never three in a row.  */
  demand->credit += demand->part;
  if (demand->credit >= 1)
    {
      demand->credit -= 1;
      return VH_OK;
    }
  team->refused += cost;
  return VH_E_TEAM_SHARE;
}

void
admission_record_result (admission_t *admission, uint32_t cost, bool accepted)
{
  tick (admission);
  if (accepted)
    admission->accepted += cost;
  else
    admission->refused += cost;
}

void
admission_set_pressure (admission_t *admission, double pressure)
{
  tick (admission);
  admission->pressure = pressure;
}

uint32_t
admission_retry_after_s (admission_t *admission, str_t name)
{
  const team_t *team = find_team (admission, name);
  double span_s = 0;

  if (team->share > 0)
    span_s = team->refused / team->share;
  if (span_s > ADMISSION_RETRY_AFTER_MAX_S - ADMISSION_RETRY_AFTER_MIN_S)
    span_s = ADMISSION_RETRY_AFTER_MAX_S - ADMISSION_RETRY_AFTER_MIN_S;
  return ADMISSION_RETRY_AFTER_MIN_S
         + (uint32_t)rng_below (admission->rng, (uint64_t)span_s + 1);
}

double
admission_admitted_share (admission_t *admission, str_t name)
{
  const team_t *team = find_team (admission, name);

  return team->rate > 0 ? team->share / team->rate : 1;
}

bool
admission_is_limiting (const admission_t *admission)
{
  return admission->limiting;
}
