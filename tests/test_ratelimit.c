/* Announced rate limits in virtual time: a fleet of gateways, each with its
   own pool and list of gateways, before one limited instance.  */

#include "base/mem.h"
#include "base/rng.h"
#include "policy/pool.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  STEP_MS = 20,
  SPAN_MS = 4000, /* The span for which the limit is promised.  */
  DAY_MS = 60000,
  ZONES = 3,
  /* Gateways learn of a change of the fleet within this time.  */
  LIST_DELAY_MS = 1500
};

/* One gateway of a fleet.  */
typedef struct
{
  allotment_t *gateways;
  pool_t *pool;
  int64_t clock_error_ms;
  bool is_running;
} gateway_t;

/* The load and the faults of a day.  */
typedef struct
{
  int gateways;
  double rate_per_s;
  /* Requests a second at each gateway, all for the limited instance.  */
  double requests_per_s;
  int64_t max_clock_error_ms;
  /* Largest change of the announced rate from one response to the next, as a
     part of RATE_PER_S.  */
  double rate_noise;
  /* Times in the day at which a gateway is added and another one killed; 0:
     never.  */
  int join_ms;
  int kill_ms;
} day_t;

typedef struct
{
  clock_iface_t *clock;
  rng_t rng;
  day_t day;
  gateway_t *gateways;
  int gateway_count;
  size_t *sends;      /* Requests that the instance got in each step.  */
  size_t first_sends; /* Requests of gateways that had not heard of the limit
                         yet.  */
} fleet_t;

static str_t
gateway_name (char buffer[32], int index)
{
  snprintf (buffer, 32, "gateway-%d", index);
  return str_from (buffer);
}

static str_t
gateway_zone (int index)
{
  static const char *const zones[ZONES] = { "a", "b", "c" };

  return str_from (zones[index % ZONES]);
}

static void
add_instance (pool_t *pool, uint64_t incarnation)
{
  const upstream_info_t info = { .id = STR ("i-1"),
                                 .service = STR ("llm"),
                                 .address = STR ("127.0.0.1:1"),
                                 .zone = STR ("a"),
                                 .version = STR ("v1"),
                                 .slots = 1000,
                                 .incarnation = incarnation };
  pool_put (pool, &info);
}

static upstream_t *
limited_instance (const gateway_t *gateway)
{
  return pool_find (gateway->pool, STR ("i-1"));
}

/* Start gateway INDEX of FLEET, whose list has LISTED gateways.  */
static void
start_gateway (fleet_t *fleet, int index, int listed)
{
  gateway_t *gateway = &fleet->gateways[index];
  char name[32];

  gateway->gateways = allotment_create (
      fleet->clock, gateway_name (name, index), gateway_zone (index));
  for (int i = 0; i < listed; i++)
    allotment_put (gateway->gateways, gateway_name (name, i),
                   gateway_zone (i));
  allotment_set_loaded (gateway->gateways);
  const pool_options_t options
      = { .zone = gateway_zone (index), .gateways = gateway->gateways };
  gateway->pool = pool_create (fleet->clock, rng_u64 (&fleet->rng), &options);
  gateway->clock_error_ms
      = (int64_t)rng_below (&fleet->rng,
                            (uint64_t)fleet->day.max_clock_error_ms * 2 + 1)
        - fleet->day.max_clock_error_ms;
  pool_set_shared_time (gateway->pool,
                        clock_ms (fleet->clock)
                            + (uint64_t)gateway->clock_error_ms);
  add_instance (gateway->pool, 1);
  gateway->is_running = true;
}

static void
setup (fleet_t *fleet, const day_t *day, uint64_t seed)
{
  *fleet = (fleet_t){ .rng = rng_make (seed),
                      .day = *day,
                      .gateway_count = day->gateways };
  fleet->clock = clock_manual_create (0);
  clock_manual_advance_us (fleet->clock, 100000000);
  fleet->gateways
      = mem_zalloc ((size_t)(day->gateways + 1) * sizeof *fleet->gateways);
  fleet->sends = mem_zalloc (DAY_MS / STEP_MS * sizeof *fleet->sends);
  for (int i = 0; i < day->gateways; i++)
    start_gateway (fleet, i, day->gateways);
}

static void
teardown (fleet_t *fleet)
{
  for (int i = 0; i < fleet->gateway_count; i++)
    {
      pool_destroy (fleet->gateways[i].pool);
      allotment_destroy (fleet->gateways[i].gateways);
    }
  free (fleet->gateways);
  free (fleet->sends);
  clock_manual_destroy (fleet->clock);
}

/* Handle one request at GATEWAY in STEP.  */
static void
handle_request (fleet_t *fleet, gateway_t *gateway, int step)
{
  const pool_criteria_t criteria = { .service = STR ("llm") };
  upstream_t *upstream;

  if (pool_select (gateway->pool, &criteria, &upstream) != VH_OK)
    return;
  pool_request_started (gateway->pool, upstream, 0);
  if (upstream_rate_limit (upstream)->is_announced)
    fleet->sends[step]++;
  else
    fleet->first_sends++;
  pool_request_finished (gateway->pool, upstream, 0, SEND_OK);
  pool_announce_rate_limit (
      gateway->pool, upstream,
      fleet->day.rate_per_s
          * (1 - fleet->day.rate_noise * rng_double (&fleet->rng)));
}

/* Add or remove gateway CHANGED in the lists of the running gateways, each at
   a time of its own between STARTED_MS and LIST_DELAY_MS later.  */
static void
spread_change (fleet_t *fleet, int changed, bool is_added, int started_ms,
               int now_ms)
{
  char name[32];

  for (int i = 0; i < fleet->gateway_count; i++)
    {
      gateway_t *gateway = &fleet->gateways[i];
      int due_ms = started_ms + i * 211 % LIST_DELAY_MS / STEP_MS * STEP_MS;
      if (i == changed || !gateway->is_running || now_ms != due_ms)
        continue;
      if (is_added)
        allotment_put (gateway->gateways, gateway_name (name, changed),
                       gateway_zone (changed));
      else
        allotment_remove (gateway->gateways, gateway_name (name, changed));
    }
}

static void
change_fleet (fleet_t *fleet, int now_ms)
{
  const day_t *day = &fleet->day;

  if (day->join_ms > 0 && now_ms == day->join_ms)
    start_gateway (fleet, fleet->gateway_count++, day->gateways + 1);
  if (day->join_ms > 0 && now_ms >= day->join_ms)
    spread_change (fleet, day->gateways, true, day->join_ms, now_ms);
  if (day->kill_ms > 0 && now_ms == day->kill_ms)
    fleet->gateways[0].is_running = false;
  if (day->kill_ms > 0 && now_ms >= day->kill_ms)
    spread_change (fleet, 0, false, day->kill_ms, now_ms);
  if (now_ms % 1000 == 0)
    for (int i = 0; i < fleet->gateway_count; i++)
      allotment_expire (fleet->gateways[i].gateways);
}

static void
play_day (fleet_t *fleet)
{
  for (int step = 0; step < DAY_MS / STEP_MS; step++)
    {
      change_fleet (fleet, step * STEP_MS);
      for (int i = 0; i < fleet->gateway_count; i++)
        if (fleet->gateways[i].is_running
            && rng_double (&fleet->rng)
                   < fleet->day.requests_per_s * STEP_MS / 1000)
          handle_request (fleet, &fleet->gateways[i], step);
      clock_manual_advance_us (fleet->clock, STEP_MS * 1000);
    }
}

static size_t
max_sends_in_span (const fleet_t *fleet)
{
  size_t sum = 0;
  size_t max = 0;

  for (int step = 0; step < DAY_MS / STEP_MS; step++)
    {
      sum += fleet->sends[step];
      if (step >= SPAN_MS / STEP_MS)
        sum -= fleet->sends[step - SPAN_MS / STEP_MS];
      if (sum > max)
        max = sum;
    }
  return max;
}

static size_t
total_sends (const fleet_t *fleet)
{
  size_t sum = 0;

  for (int step = 0; step < DAY_MS / STEP_MS; step++)
    sum += fleet->sends[step];
  return sum;
}

/* Return the requests that an instance with a limit of RATE_PER_S may get in
   SPAN_MS: one and a half times the limit, plus 5.  */
static size_t
allowed_in_span (double rate_per_s)
{
  return (size_t)(1.5 * rate_per_s * SPAN_MS / 1000 + 5);
}

static void
check_day (const day_t *day, uint64_t seed, double min_use)
{
  fleet_t fleet;

  setup (&fleet, day, seed);
  play_day (&fleet);
  size_t max = max_sends_in_span (&fleet);
  double use
      = (double)total_sends (&fleet) / (day->rate_per_s * DAY_MS / 1000);
  ck_assert_msg (max <= allowed_in_span (day->rate_per_s),
                 "%zu requests in a span, %zu allowed; %d gateways, %g a "
                 "second, seed %llu",
                 max, allowed_in_span (day->rate_per_s), day->gateways,
                 day->rate_per_s, (unsigned long long)seed);
  ck_assert_msg (use >= min_use,
                 "use %.2f; %d gateways, %g a second, seed %llu", use,
                 day->gateways, day->rate_per_s, (unsigned long long)seed);
  ck_assert_uint_le (fleet.first_sends, (size_t)fleet.gateway_count);
  teardown (&fleet);
}

static const double rates_per_s[] = { 0.3, 1, 2.5, 20 };
static const int fleet_sizes[] = { 1, 4, 12, 68, 735 };

/* If each gateway rounds its share of a small limit up, the instance gets as
   many requests as there are gateways; if each rounds down, it is idle.  */
START_TEST (limit_holds_and_is_used_for_any_number_of_gateways)
{
  int size = fleet_sizes[_i];

  for (size_t r = 0; r < 4; r++)
    for (uint64_t seed = 1; seed <= (size > 100 ? 1 : 10); seed++)
      {
        const day_t day = { .gateways = size,
                            .rate_per_s = rates_per_s[r],
                            .requests_per_s = 20 };
        check_day (&day, seed, 0.8);
      }
}
END_TEST

/* Gateways whose lists differ for some seconds, or whose estimates of the
   shared time differ, each believe that a slot is theirs.  */
START_TEST (limit_holds_while_lists_and_clocks_differ)
{
  int size = fleet_sizes[_i];

  for (size_t r = 0; r < 4; r++)
    for (uint64_t seed = 1; seed <= (size > 100 ? 1 : 10); seed++)
      {
        const day_t day = { .gateways = size,
                            .rate_per_s = rates_per_s[r],
                            .requests_per_s = 20,
                            .max_clock_error_ms = 300,
                            .join_ms = 20000,
                            .kill_ms = 30000 };
        check_day (&day, seed, 0);
      }
}
END_TEST

/* Each change of the rate shifts the slots, and must not yield further ones.
 */
START_TEST (limit_holds_while_its_rate_changes_with_each_response)
{
  for (size_t r = 0; r < 4; r++)
    for (uint64_t seed = 1; seed <= 10; seed++)
      {
        const day_t day = { .gateways = fleet_sizes[_i],
                            .rate_per_s = rates_per_s[r],
                            .requests_per_s = 20,
                            .rate_noise = 0.2 };
        check_day (&day, seed, 0.5);
      }
}
END_TEST

/* A gateway that knows no other gateway yet must not take the whole limit.  */
START_TEST (limited_instance_gets_nothing_before_the_fleet_is_known)
{
  const pool_criteria_t criteria = { .service = STR ("llm") };
  clock_iface_t *clock = clock_manual_create (0);
  allotment_t *gateways = allotment_create (clock, STR ("g"), STR ("a"));
  const pool_options_t options = { .zone = STR ("a"), .gateways = gateways };
  pool_t *pool = pool_create (clock, 1, &options);
  upstream_t *upstream;

  add_instance (pool, 1);
  ck_assert_int_eq (pool_select (pool, &criteria, &upstream), VH_OK);
  pool_announce_rate_limit (pool, upstream, 10);
  for (int i = 0; i < 100; i++)
    {
      clock_manual_advance_us (clock, 100000);
      ck_assert_int_eq (pool_select (pool, &criteria, &upstream),
                        VH_E_LIMITED);
    }
  pool_destroy (pool);
  allotment_destroy (gateways);
  clock_manual_destroy (clock);
}
END_TEST

/* Set up a single gateway whose instance announces RATE_PER_S.  */
static upstream_t *
setup_single (fleet_t *fleet, double rate_per_s)
{
  const day_t day = { .gateways = 1, .rate_per_s = rate_per_s };

  setup (fleet, &day, 1);
  upstream_t *upstream = limited_instance (&fleet->gateways[0]);
  pool_announce_rate_limit (fleet->gateways[0].pool, upstream, rate_per_s);
  return upstream;
}

/* Send requests to the instance for MS, one every STEP_MS if allowed.  Return
   how many were sent.  */
static size_t
send_for (fleet_t *fleet, int ms)
{
  const pool_criteria_t criteria = { .service = STR ("llm") };
  pool_t *pool = fleet->gateways[0].pool;
  upstream_t *upstream;
  size_t sent = 0;

  for (int at_ms = 0; at_ms < ms; at_ms += STEP_MS)
    {
      if (pool_select (pool, &criteria, &upstream) == VH_OK)
        {
          pool_request_started (pool, upstream, 0);
          pool_request_finished (pool, upstream, 0, SEND_OK);
          sent++;
        }
      clock_manual_advance_us (fleet->clock, STEP_MS * 1000);
    }
  return sent;
}

/* In an outage of the store, gateways that joined last are unknown to the
   others: the older ones divide the limit by a quarter of the gateways, and
   the sum is 1.75 times the limit.  */
START_TEST (limit_holds_in_an_outage_after_the_fleet_has_grown)
{
  for (size_t r = 0; r < 4; r++)
    {
      const day_t day = { .gateways = fleet_sizes[_i],
                          .rate_per_s = rates_per_s[r],
                          .requests_per_s = 20 };
      char name[32];
      fleet_t fleet;
      setup (&fleet, &day, 1);
      for (int i = 0; i < day.gateways; i++)
        {
          gateway_t *gateway = &fleet.gateways[i];
          pool_set_gateway_list_stale (gateway->pool, true);
          for (int j = day.gateways / 4;
               i < day.gateways / 4 && j < day.gateways; j++)
            allotment_remove (gateway->gateways, gateway_name (name, j));
        }
      clock_manual_advance_us (fleet.clock,
                               ALLOTMENT_REMOVAL_DELAY_MS * 1000ULL);
      play_day (&fleet);
      ck_assert_uint_le (max_sends_in_span (&fleet),
                         allowed_in_span (day.rate_per_s));
      ck_assert_uint_ge (total_sends (&fleet),
                         (size_t)(day.rate_per_s * DAY_MS / 1000 / 4));
      teardown (&fleet);
    }
}
END_TEST

/* An instance that announces 0 would get no request, and no response would
   ever end the limit.  */
START_TEST (limit_of_zero_can_end)
{
  fleet_t fleet;

  setup_single (&fleet, 0);
  size_t sent = send_for (&fleet, 60000);
  ck_assert_uint_ge (sent, 1);
  ck_assert_uint_le (sent, 60 * RATE_LIMIT_MIN_PER_S + 5);
  teardown (&fleet);
}
END_TEST

/* Unused parts of the limit must not be sent all at once later.  */
START_TEST (idle_gateway_saves_up_no_burst)
{
  fleet_t fleet;

  setup_single (&fleet, 2);
  clock_manual_advance_us (fleet.clock, 60000000);
  ck_assert_uint_le (send_for (&fleet, SPAN_MS), allowed_in_span (2));
  teardown (&fleet);
}
END_TEST

/* After the end of a limit the instance is idle, so all gateways would choose
   it for their next requests.  */
START_TEST (rate_rises_gradually_after_the_end_of_a_limit)
{
  fleet_t fleet;
  upstream_t *upstream = setup_single (&fleet, 1);
  pool_t *pool = fleet.gateways[0].pool;

  send_for (&fleet, SPAN_MS);
  ck_assert (pool_end_rate_limit (pool, upstream));
  ck_assert_uint_le (send_for (&fleet, 1000), 5);
  size_t sent = send_for (&fleet, 2000);
  ck_assert_uint_ge (sent, 3);
  ck_assert_uint_le (sent, 20);
  send_for (&fleet, 5000);
  ck_assert_uint_eq (send_for (&fleet, 1000), 1000 / STEP_MS);
  /* A new announcement is in force at once.  */
  pool_announce_rate_limit (pool, upstream, 1);
  ck_assert_uint_le (send_for (&fleet, SPAN_MS), allowed_in_span (1));
  teardown (&fleet);
}
END_TEST

/* A lower limit must hold at once, and a higher one not only after the
   interval of the lower one.  */
START_TEST (changed_rate_is_in_force_at_once)
{
  fleet_t fleet;
  upstream_t *upstream = setup_single (&fleet, 0.3);
  pool_t *pool = fleet.gateways[0].pool;

  send_for (&fleet, SPAN_MS);
  pool_announce_rate_limit (pool, upstream, 10);
  ck_assert_uint_ge (send_for (&fleet, 1000), 8);
  pool_announce_rate_limit (pool, upstream, 0.3);
  ck_assert_uint_le (send_for (&fleet, SPAN_MS), allowed_in_span (0.3));
  teardown (&fleet);
}
END_TEST

/* A limit belongs to a process of the instance, not to its id.  */
START_TEST (restarted_instance_has_no_limit)
{
  fleet_t fleet;

  setup_single (&fleet, 0.3);
  add_instance (fleet.gateways[0].pool, 2);
  ck_assert_uint_eq (send_for (&fleet, 1000), 1000 / STEP_MS);
  teardown (&fleet);
}
END_TEST

/* A store that starts its clock anew must not block the instance.  */
START_TEST (limit_is_used_after_the_shared_time_was_set_back)
{
  const pool_criteria_t criteria = { .service = STR ("llm") };
  fleet_t fleet;

  setup_single (&fleet, 2);
  pool_t *pool = fleet.gateways[0].pool;
  send_for (&fleet, SPAN_MS);
  pool_promise_slot (pool, &criteria, 10000);
  pool_set_shared_time (pool, 1000);
  size_t sent = send_for (&fleet, SPAN_MS);
  ck_assert_uint_ge (sent, 4);
  ck_assert_uint_le (sent, allowed_in_span (2));
  ck_assert_uint_le (pool_promise_slot (pool, &criteria, 10000), 500);
  teardown (&fleet);
}
END_TEST

/* Callers that are refused get slots of their own, so that they do not return
   at the same time, and a caller that cannot wait takes no slot.  */
START_TEST (refused_callers_return_one_by_one)
{
  const pool_criteria_t criteria = { .service = STR ("llm") };
  fleet_t fleet;

  setup_single (&fleet, 2);
  pool_t *pool = fleet.gateways[0].pool;
  send_for (&fleet, SPAN_MS);
  uint64_t first_ms = pool_promise_slot (pool, &criteria, 10000);
  uint64_t second_ms = pool_promise_slot (pool, &criteria, 10000);
  ck_assert_uint_ge (first_ms, 1);
  ck_assert_uint_le (first_ms, 500);
  ck_assert_uint_eq (second_ms, first_ms + 500);
  uint64_t third_ms = pool_promise_slot (pool, &criteria, 100);
  ck_assert_uint_eq (third_ms, first_ms + 1000);
  ck_assert_uint_eq (pool_promise_slot (pool, &criteria, 10000), third_ms);
  teardown (&fleet);
}
END_TEST

/* Retries, resumed streams and escalations must not use up the limit while
   other instances are free.  */
START_TEST (extra_sends_leave_the_limit_to_first_sends)
{
  pool_criteria_t criteria = { .service = STR ("llm"), .is_extra_send = true };
  fleet_t fleet;
  upstream_t *chosen;

  upstream_t *limited = setup_single (&fleet, 2);
  pool_t *pool = fleet.gateways[0].pool;
  const upstream_info_t free_instance = { .id = STR ("i-2"),
                                          .service = STR ("llm"),
                                          .address = STR ("127.0.0.1:2"),
                                          .zone = STR ("c"),
                                          .version = STR ("v1"),
                                          .slots = 1 };
  pool_put (pool, &free_instance);
  for (int i = 0; i < 50; i++)
    {
      clock_manual_advance_us (fleet.clock, 100000);
      ck_assert_int_eq (pool_select (pool, &criteria, &chosen), VH_OK);
      ck_assert_ptr_ne (chosen, limited);
    }
  pool_request_started (pool, chosen, 0);
  ck_assert_int_eq (pool_select (pool, &criteria, &chosen), VH_OK);
  ck_assert_ptr_eq (chosen, limited);
  teardown (&fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ratelimit");
  TCase *tcase = tcase_create ("ratelimit");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (
      tcase, limit_holds_and_is_used_for_any_number_of_gateways, 0, 5);
  tcase_add_loop_test (tcase, limit_holds_while_lists_and_clocks_differ, 0, 5);
  tcase_add_loop_test (
      tcase, limit_holds_while_its_rate_changes_with_each_response, 0, 4);
  tcase_add_test (tcase,
                  limited_instance_gets_nothing_before_the_fleet_is_known);
  tcase_add_loop_test (
      tcase, limit_holds_in_an_outage_after_the_fleet_has_grown, 1, 4);
  tcase_add_test (tcase, limit_of_zero_can_end);
  tcase_add_test (tcase, idle_gateway_saves_up_no_burst);
  tcase_add_test (tcase, rate_rises_gradually_after_the_end_of_a_limit);
  tcase_add_test (tcase, changed_rate_is_in_force_at_once);
  tcase_add_test (tcase, restarted_instance_has_no_limit);
  tcase_add_test (tcase, limit_is_used_after_the_shared_time_was_set_back);
  tcase_add_test (tcase, refused_callers_return_one_by_one);
  tcase_add_test (tcase, extra_sends_leave_the_limit_to_first_sends);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
