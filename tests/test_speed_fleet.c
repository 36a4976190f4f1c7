/* Fleets of gateways in virtual time before instances of different speed, with
   load reports that are late and gateways that do not know each other's
   sends.  */

#include "base/mem.h"
#include "base/rng.h"
#include "policy/pool.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  GATEWAYS = 24,
  INSTANCES = 45,
  STEP_MS = 10,
  RUN_MS = 60000,
  WARM_UP_MS = 10000,
  MOMENT_MS = 300, /* Time for which an instance is slowed or not.  */
  HEAR_MS = 2000,
  MEAN_MS = 1000,
  SENDS_MAX = 4096
};

/* A request in progress or one whose report is on its way.  */
typedef struct
{
  int gateway;
  int instance;
  upstream_t *upstream; /* NULL if the entry is free.  */
  double events_left;   /* 0 after the last event.  */
  uint64_t started_ms;
  uint64_t report_due_ms; /* 0 after the report.  */
  uint32_t reported_requests;
  uint32_t reported_percent;
} send_t;

typedef struct
{
  bool reports_factors;
  bool exchanges_factors;
  int zones;
  double requests_per_s;
  int slow_from_ms; /* A third of the instances takes three times as long.  */
  int slow_until_ms;
} day_t;

typedef struct
{
  double mean_ms;        /* Of responses.  */
  double late_part;      /* Responses later than 4 s.  */
  double fast_requests;  /* Mean at a fast instance.  */
  double usual_requests; /* Mean at another instance.  */
  /* Largest multiple of its fair load that an instance has, apart from the
     time before the end of the slow third.  */
  double herd;
  double own_zone_part; /* Of the sends.  */
  /* Requests at the fast instances of the slow third, and at the other fast
     ones: means of about the last second.  */
  double slowed_requests;
  double steady_requests;
  double recovery_ms; /* From the end of the slow third until the former have
                         half of the latter; RUN_MS: not in the run.  */
} result_t;

typedef struct
{
  day_t day;
  clock_iface_t *clock;
  rng_t rng;
  pool_t *pools[GATEWAYS];
  bool is_slowed[INSTANCES];
  uint32_t requests[INSTANCES];
  send_t sends[SENDS_MAX];
  size_t send_count; /* Entries that were ever used.  */
  double count;
  double sum_ms;
  double late;
  double sent;
  double sent_in_zone;
} fleet_t;

static bool
is_fast (int instance)
{
  return instance % 4 == 0;
}

static double
lasting_factor (const fleet_t *fleet, int instance, int now_ms)
{
  bool is_slow = instance % 3 == 0 && now_ms >= fleet->day.slow_from_ms
                 && now_ms < fleet->day.slow_until_ms;

  return (is_fast (instance) ? 0.55 : 1.2) * (is_slow ? 3 : 1);
}

static double
factor (const fleet_t *fleet, int instance, int now_ms)
{
  return lasting_factor (fleet, instance, now_ms)
         * (fleet->is_slowed[instance] ? 2.5 : 1);
}

static str_t
zone_name (const day_t *day, int index)
{
  static const char *const zones[] = { "a", "b", "c", "d" };

  return str_from (zones[day->zones > 1 ? index % day->zones : 0]);
}

static void
setup (fleet_t *fleet, const day_t *day, uint64_t seed)
{
  *fleet = (fleet_t){ .day = *day, .rng = rng_make (seed) };
  fleet->clock = clock_manual_create (0);
  clock_manual_advance_us (fleet->clock, 100000000);
  for (int g = 0; g < GATEWAYS; g++)
    {
      const pool_options_t options = { .zone = zone_name (day, g) };
      fleet->pools[g]
          = pool_create (fleet->clock, rng_u64 (&fleet->rng), &options);
      for (int i = 0; i < INSTANCES; i++)
        {
          char id[16];
          snprintf (id, sizeof id, "i-%d", i);
          const upstream_info_t info = { .id = str_from (id),
                                         .service = STR ("llm"),
                                         .address = STR ("127.0.0.1:1"),
                                         .zone = zone_name (day, i / 4),
                                         .version = STR ("v1"),
                                         .slots = 64,
                                         .incarnation = 1 };
          pool_put (fleet->pools[g], &info);
        }
    }
}

static void
teardown (fleet_t *fleet)
{
  for (int g = 0; g < GATEWAYS; g++)
    pool_destroy (fleet->pools[g]);
  clock_manual_destroy (fleet->clock);
}

/* Send a request of a gateway, which gets the instance's report 100 to 200 ms
   later.  */
static void
send_request (fleet_t *fleet, int gateway, int now_ms)
{
  static const double events[] = { 42, 32, 3 };
  const pool_criteria_t criteria = { .service = STR ("llm") };
  send_t *send = fleet->sends;
  upstream_t *upstream;

  while (send->upstream != NULL)
    send++;
  if ((size_t)(send - fleet->sends) >= fleet->send_count)
    fleet->send_count++;
  ck_assert_uint_lt (fleet->send_count, SENDS_MAX);
  if (pool_select (fleet->pools[gateway], &criteria, &upstream) != VH_OK)
    return;
  int instance = atoi (upstream_id (upstream).ptr + 2);
  pool_request_started (fleet->pools[gateway], upstream, 0);
  fleet->requests[instance]++;
  fleet->sent++;
  fleet->sent_in_zone += str_eq (zone_name (&fleet->day, gateway),
                                 zone_name (&fleet->day, instance / 4));
  *send = (send_t){ .gateway = gateway,
                    .instance = instance,
                    .upstream = upstream,
                    .events_left = events[rng_below (&fleet->rng, 3)],
                    .started_ms = (uint64_t)now_ms,
                    .report_due_ms
                    = (uint64_t)now_ms + 100 + rng_below (&fleet->rng, 100),
                    .reported_requests = fleet->requests[instance],
                    .reported_percent = (uint32_t)lround (
                        100 * factor (fleet, instance, now_ms)) };
}

static void
advance_send (fleet_t *fleet, send_t *send, int now_ms)
{
  pool_t *pool = fleet->pools[send->gateway];

  if (send->report_due_ms != 0 && (uint64_t)now_ms >= send->report_due_ms)
    {
      send->report_due_ms = 0;
      pool_record_load (pool, send->upstream, send->reported_requests, 0, 64);
      if (fleet->day.reports_factors)
        pool_record_time_factor (pool, send->upstream, send->reported_percent);
    }
  if (send->events_left > 0)
    {
      send->events_left -= STEP_MS
                           / (factor (fleet, send->instance, now_ms)
                              * (27 + 2.6 * fleet->requests[send->instance]));
      if (send->events_left > 0)
        return;
      send->events_left = 0;
      fleet->requests[send->instance]--;
      if (now_ms >= WARM_UP_MS)
        {
          double took_ms = (double)now_ms - (double)send->started_ms;
          fleet->sum_ms += took_ms;
          fleet->late += took_ms > 4000;
          fleet->count++;
        }
    }
  if (send->report_due_ms != 0)
    return;
  pool_request_finished (pool, send->upstream, 0, SEND_OK);
  send->upstream = NULL;
}

/* Tell all gateways the factors that one has learned.  */
static void
exchange_factors (fleet_t *fleet, int gateway)
{
  size_t cursor = 0;
  pool_time_factor_t known;

  while (pool_next_time_factor (fleet->pools[gateway], &cursor, &known))
    for (int g = 0; g < GATEWAYS; g++)
      if (g != gateway && known.age_ms < HEAR_MS)
        pool_hear_time_factor (fleet->pools[g], known.id, known.incarnation,
                               known.factor, known.age_ms);
}

/* Add the loads at NOW_MS to RESULT.  */
static void
observe_loads (const fleet_t *fleet, int now_ms, result_t *result)
{
  double requests = 0;
  double speed = 0;
  double slowed = 0;
  double steady = 0;

  for (int i = 0; i < INSTANCES; i++)
    {
      requests += fleet->requests[i];
      speed += 1 / lasting_factor (fleet, i, now_ms);
    }
  /* The time of a request where all instances take the same time.  */
  double fair = (requests + 10.0 * INSTANCES) / speed;
  for (int i = 0; i < INSTANCES; i++)
    {
      double fair_requests = fair / lasting_factor (fleet, i, now_ms) - 10;
      double multiple = fleet->requests[i] / fmax (fair_requests, 6);
      if (now_ms >= fleet->day.slow_until_ms)
        result->herd = fmax (result->herd, multiple);
      if (is_fast (i))
        result->fast_requests += fleet->requests[i] / 12.0;
      else
        result->usual_requests += fleet->requests[i] / 33.0;
      if (is_fast (i) && i % 3 == 0)
        slowed += fleet->requests[i] / 4.0;
      else if (is_fast (i))
        steady += fleet->requests[i] / 8.0;
    }
  result->slowed_requests
      += (slowed - result->slowed_requests) * STEP_MS / MEAN_MS;
  result->steady_requests
      += (steady - result->steady_requests) * STEP_MS / MEAN_MS;
  if (fleet->day.slow_until_ms > 0 && now_ms >= fleet->day.slow_until_ms
      && result->recovery_ms == 0
      && result->slowed_requests > 0.5 * result->steady_requests)
    result->recovery_ms = now_ms - fleet->day.slow_until_ms + 1;
}

static result_t
play (const day_t *day, uint64_t seed)
{
  fleet_t *fleet = mem_alloc (sizeof *fleet);
  result_t result = { 0 };

  setup (fleet, day, seed);
  for (int now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      for (int i = 0; i < INSTANCES; i++)
        if ((now_ms + i * 70) % MOMENT_MS == 0)
          fleet->is_slowed[i] = rng_below (&fleet->rng, 100) < 15;
      for (int g = 0; g < GATEWAYS; g++)
        {
          /* Bursts of three.  */
          if (rng_double (&fleet->rng)
              < day->requests_per_s / 3 / GATEWAYS * STEP_MS / 1000)
            for (int i = 0; i < 3; i++)
              send_request (fleet, g, now_ms);
          if (day->exchanges_factors && (now_ms + g * 80) % HEAR_MS == 0)
            exchange_factors (fleet, g);
        }
      for (size_t i = 0; i < fleet->send_count; i++)
        if (fleet->sends[i].upstream != NULL)
          advance_send (fleet, &fleet->sends[i], now_ms);
      if (now_ms >= WARM_UP_MS)
        observe_loads (fleet, now_ms, &result);
      clock_manual_advance_us (fleet->clock, STEP_MS * 1000);
    }
  double steps = (RUN_MS - WARM_UP_MS) / (double)STEP_MS;
  if (day->slow_until_ms > 0 && result.recovery_ms == 0)
    result.recovery_ms = RUN_MS;
  result.mean_ms = fleet->sum_ms / fleet->count;
  result.late_part = fleet->late / fleet->count;
  result.own_zone_part = fleet->sent_in_zone / fleet->sent;
  result.fast_requests /= steps;
  result.usual_requests /= steps;
  teardown (fleet);
  free (fleet);
  return result;
}

/* Print a row of the table of results.  */
static void
print_result (const day_t *day, const result_t *result)
{
  printf ("%-8s %-9s %-10s %s %3.0f/s: response %4.0f ms, late %.3f, requests "
          "%4.1f fast %4.1f others, own zone %.2f, multiple %.1f, recovery "
          "%5.0f ms\n",
          day->reports_factors ? "factors" : "counts",
          day->exchanges_factors ? "exchanged" : "",
          day->slow_until_ms > 0 ? "slow third" : "",
          day->zones > 1 ? "4 zones" : "1 zone ", day->requests_per_s,
          result->mean_ms, result->late_part, result->fast_requests,
          result->usual_requests, result->own_zone_part, result->herd,
          result->recovery_ms);
  fflush (stdout);
}

enum
{
  SEEDS = 3
};

/* Return the means of RESULT_T over SEEDS, and the largest of the last two
   fields.  */
static result_t
play_seeds (const day_t *day)
{
  result_t all = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      result_t one = play (day, seed);
      all.mean_ms += one.mean_ms / SEEDS;
      all.late_part += one.late_part / SEEDS;
      all.fast_requests += one.fast_requests / SEEDS;
      all.usual_requests += one.usual_requests / SEEDS;
      all.own_zone_part += one.own_zone_part / SEEDS;
      all.herd = fmax (all.herd, one.herd);
      all.recovery_ms = fmax (all.recovery_ms, one.recovery_ms);
    }
  print_result (day, &all);
  return all;
}

/* Compared by counts, fast instances are idle while the others are crowded.
   Compared by time factors that all gateways know, all gateways may send to
   the fast instances until these are the crowded ones.  */
START_TEST (fleet_uses_fast_instances_without_a_herd)
{
  day_t day = { .requests_per_s = _i == 0 ? 120 : 240 };
  result_t counts = play_seeds (&day);

  day.reports_factors = true;
  for (int exchanges = 0; exchanges < 2; exchanges++)
    {
      day.exchanges_factors = exchanges > 0;
      result_t factors = play_seeds (&day);
      ck_assert_double_lt (factors.mean_ms, 0.85 * counts.mean_ms);
      ck_assert_double_gt (factors.fast_requests, 2 * factors.usual_requests);
      ck_assert_double_lt (factors.fast_requests, 15);
      ck_assert_double_lt (factors.herd, 3.5);
    }
}
END_TEST

/* An instance that gets no requests because it was slow reports nothing, and
   when it has recovered, all gateways may send to it at once.  */
START_TEST (fleet_detects_a_recovery_without_a_herd)
{
  day_t day = { .requests_per_s = _i == 0 ? 120 : 240,
                .slow_from_ms = 20000,
                .slow_until_ms = 34000 };
  result_t counts = play_seeds (&day);

  day.reports_factors = true;
  for (int exchanges = 0; exchanges < 2; exchanges++)
    {
      day.exchanges_factors = exchanges > 0;
      result_t factors = play_seeds (&day);
      ck_assert_double_lt (factors.mean_ms, 0.85 * counts.mean_ms);
      ck_assert_double_lt (factors.late_part, 0.7 * counts.late_part);
      ck_assert_double_lt (factors.herd, 3.5);
      ck_assert_double_lt (factors.recovery_ms, exchanges > 0 ? 10000 : 15000);
    }
}
END_TEST

/* Random costs that spread the sends must not outweigh the cost of another
   zone, and fast instances in other zones not draw all requests.  */
START_TEST (fleet_in_zones_keeps_requests_in_their_zone)
{
  day_t day = { .zones = 4, .requests_per_s = _i == 0 ? 120 : 240 };
  result_t counts = play_seeds (&day);

  day.reports_factors = true;
  for (int exchanges = 0; exchanges < 2; exchanges++)
    {
      day.exchanges_factors = exchanges > 0;
      result_t factors = play_seeds (&day);
      ck_assert_double_lt (factors.mean_ms, 0.9 * counts.mean_ms);
      ck_assert_double_gt (factors.own_zone_part, 0.75);
      ck_assert_double_lt (factors.herd, 3.5);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("speed_fleet");
  TCase *tcase = tcase_create ("speed_fleet");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, fleet_uses_fast_instances_without_a_herd, 0, 2);
  tcase_add_loop_test (tcase, fleet_detects_a_recovery_without_a_herd, 0, 2);
  tcase_add_loop_test (tcase, fleet_in_zones_keeps_requests_in_their_zone, 0,
                       2);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
