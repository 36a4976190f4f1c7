/* Tests of admission control.  The fleet is simulated by a token bucket that
   serves CAPACITY units of cost per second and refuses the rest.  */

#include "policy/admission.h"

#include "suite.h"

#include <stdio.h>

enum
{
  TEAMS = 10,
  COST = 10,
  CAPACITY = 10000,
  /* Length of a simulation step, short enough that two teams seldom send a
     request in the same step, where the order of the loop would favour one. */
  STEP_US = 50
};

typedef struct
{
  uint64_t sent;
  uint64_t admitted;
  uint64_t served;
} team_t;

static const str_t names[TEAMS] = {
  STR ("coast"), STR ("drift"), STR ("hills"), STR ("north"), STR ("south"),
  STR ("plain"), STR ("river"), STR ("lakes"), STR ("delta"), STR ("cliff"),
};

static clock_iface_t *manual_clock;
static rng_t rng;
static admission_t *admission;
static team_t teams[TEAMS];
static double bucket_cost;
static uint64_t capacity; /* Capacity of the fleet in cost per second.  */

static void
setup (void)
{
  manual_clock = clock_manual_create (0);
  rng = rng_make (3);
  admission = admission_create (manual_clock, &rng);
  memset (teams, 0, sizeof teams);
  bucket_cost = CAPACITY / 10.0;
  capacity = CAPACITY;
}

static void
teardown (void)
{
  admission_destroy (admission);
  clock_manual_destroy (manual_clock);
}

static vh_code_t
send_request (int team, queue_priority_t priority)
{
  vh_code_t code = admission_decide (admission, names[team], COST, priority);

  teams[team].sent++;
  if (code != VH_OK)
    return code;
  teams[team].admitted++;
  admission_record_result (admission, COST, bucket_cost >= COST);
  if (bucket_cost >= COST)
    {
      bucket_cost -= COST;
      teams[team].served++;
    }
  return code;
}

/* Simulate SECONDS in which team i requests RATES[i] units of cost per second,
   with the counters of all teams reset at the start.  */
static void
simulate (double seconds, const double rates[])
{
  double due[TEAMS];

  memset (teams, 0, sizeof teams);
  /* The teams send at random times, so that no team is always just behind
     another.  */
  for (int i = 0; i < TEAMS; i++)
    due[i] = rng_double (&rng) * COST;
  for (int step = 0; step < seconds * 1000000 / STEP_US; step++)
    {
      clock_manual_advance_us (manual_clock, STEP_US);
      bucket_cost += (double)capacity * STEP_US / 1000000.0;
      if (bucket_cost > CAPACITY / 10.0)
        bucket_cost = CAPACITY / 10.0;
      for (int i = 0; i < TEAMS; i++)
        for (due[i] += rates[i] * STEP_US / 500000.0 * rng_double (&rng);
             due[i] >= COST; due[i] -= COST)
          send_request (i, QUEUE_PRIORITY_NORMAL);
    }
}

static uint64_t
total_served (void)
{
  uint64_t sum = 0;

  for (int i = 0; i < TEAMS; i++)
    sum += teams[i].served;
  return sum * COST;
}

START_TEST (admits_all_requests_below_capacity)
{
  static const double rates[TEAMS]
      = { 4000, 500, 500, 500, 500, 500, 500, 500, 500, 500 };

  simulate (10, rates);
  for (int i = 0; i < TEAMS; i++)
    ck_assert_uint_eq (teams[i].served, teams[i].sent);
  ck_assert (!admission_is_limiting (admission));
}
END_TEST

/* Failure: one hot team costs all others a third of their requests.  The hot
   team requests the whole capacity of the fleet, and the others half of the
   capacity together.  Teams within their share must lose next to nothing.  */
START_TEST (hot_team_does_not_reduce_service_of_others)
{
  static const double rates[TEAMS]
      = { 10000, 550, 550, 550, 550, 550, 550, 550, 550, 550 };
  uint64_t sent = 0;
  uint64_t served = 0;

  simulate (5, rates);
  simulate (10, rates);
  ck_assert (admission_is_limiting (admission));
  for (int i = 1; i < TEAMS; i++)
    {
      ck_assert_uint_eq (teams[i].admitted, teams[i].sent);
      sent += teams[i].sent;
      served += teams[i].served;
    }
  /* The bucket does not distinguish teams, so it refuses the tenth that
     ADMISSION_PROBE_FACTOR adds from all of them.  */
  ck_assert_uint_ge (served * 100, sent * 87);
  /* 10,000 less nine times 550, plus the tenth of ADMISSION_PROBE_FACTOR.  */
  ck_assert_uint_ge (teams[0].admitted * COST, 49000);
  ck_assert_uint_le (teams[0].admitted * COST, 65000);
  /* The fleet stays fully used.  */
  ck_assert_uint_ge (total_served (), CAPACITY / 10 * 97ul);
}
END_TEST

START_TEST (capacity_is_divided_by_weight)
{
  static const double rates[TEAMS] = { 20000, 20000 };
  static const double unequal_rates[TEAMS] = { 6500, 20000 };

  admission_set_weight (admission, names[0], 3);
  simulate (5, rates);
  simulate (10, rates);
  ck_assert_uint_ge (teams[0].admitted * 10, teams[1].admitted * 29);
  ck_assert_uint_le (teams[0].admitted * 10, teams[1].admitted * 31);
  ck_assert (admission_admitted_share (admission, names[0]) > 0.35);
  /* The demand of the first team is below its weighted share, though above an
     equal share.  */
  simulate (3, unequal_rates);
  simulate (5, unequal_rates);
  ck_assert_uint_eq (teams[0].admitted, teams[0].sent);
  /* The rest of its share goes to the other team.  */
  ck_assert_uint_ge (teams[1].admitted * COST, 17500);
}
END_TEST

START_TEST (wasted_dispatches_are_bounded_at_triple_load)
{
  static const double rates[TEAMS]
      = { 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000 };
  uint64_t admitted = 0;

  simulate (5, rates);
  simulate (10, rates);
  for (int i = 0; i < TEAMS; i++)
    admitted += teams[i].admitted * COST;
  ck_assert_uint_le (admitted, CAPACITY / 10 * 115ul);
  ck_assert_uint_ge (total_served (), CAPACITY / 10 * 97ul);
}
END_TEST

START_TEST (low_priority_is_refused_first)
{
  static const double rates[TEAMS] = { 20000 };
  int high = 0;
  int low = 0;

  simulate (5, rates);
  for (int i = 0; i < 10000; i++)
    {
      bucket_cost += COST / 2.0;
      if (i % 10 == 0)
        clock_manual_advance_us (manual_clock, 5000);
      /* Each priority is half of the demand, and half of the demand can be
         served.  */
      if (i % 2 == 0 && i > 5000)
        high += send_request (0, QUEUE_PRIORITY_HIGH) == VH_OK;
      else if (i > 5000)
        low += send_request (0, QUEUE_PRIORITY_LOW) == VH_OK;
      else
        send_request (0,
                      i % 2 == 0 ? QUEUE_PRIORITY_HIGH : QUEUE_PRIORITY_LOW);
    }
  ck_assert_int_ge (high, 2400);
  ck_assert_int_le (low, 700);
}
END_TEST

/* Failure: requests are refused after a peak, although the fleet is idle.  */
START_TEST (admits_all_again_when_demand_falls)
{
  static const double peak_rates[TEAMS] = { 30000, 1000 };
  static const double low_rates[TEAMS] = { 4000, 1000 };

  simulate (10, peak_rates);
  simulate (3, low_rates);
  simulate (5, low_rates);
  ck_assert_uint_eq (teams[0].served, teams[0].sent);
  ck_assert (!admission_is_limiting (admission));
}
END_TEST

/* Failure: the admitted rate stays at half after half of the fleet was down
   for some seconds.  The demand exceeds the capacity throughout, and the
   admitted rate must follow the capacity up again.  */
START_TEST (admitted_rate_follows_returning_capacity)
{
  static const double rates[TEAMS] = { 30000 };

  simulate (3, rates);
  capacity = CAPACITY / 2;
  simulate (5, rates);
  ck_assert_uint_ge (total_served (), 5 * capacity / 100 * 97ul);
  ck_assert_uint_le (total_served (), 5 * capacity / 100 * 103ul);
  capacity = CAPACITY;
  simulate (10, rates);
  simulate (5, rates);
  ck_assert_uint_ge (total_served (), 5 * CAPACITY / 100 * 97ul);
  /* The capacity grows beyond the demand, so no refusal indicates the
     capacity.  */
  capacity = CAPACITY * 4ul;
  simulate (15, rates);
  simulate (1, rates);
  ck_assert_uint_eq (teams[0].served, teams[0].sent);
}
END_TEST

/* Failure: all requests are refused permanently after an outage.  Every
   upstream is down for twenty seconds and then returns.  While nothing is
   accepted nothing would be admitted, and while nothing is admitted nothing
   can be accepted.  */
START_TEST (requests_are_admitted_again_after_outage)
{
  static const double rates[TEAMS] = { 30000 };

  simulate (3, rates);
  capacity = 0;
  simulate (20, rates);
  capacity = CAPACITY;
  simulate (5, rates);
  simulate (3, rates);
  ck_assert_uint_ge (total_served (), 3 * CAPACITY / 100 * 90ul);
}
END_TEST

START_TEST (reported_pressure_limits_admission)
{
  static const double rates[TEAMS] = { 8000 };

  simulate (3, rates);
  ck_assert (!admission_is_limiting (admission));
  admission_set_pressure (admission, ADMISSION_OVERLOAD_PRESSURE * 1.5);
  /* From here on the fleet accepts half of the dispatched cost.  */
  for (int i = 0; i < 3000; i++)
    {
      clock_manual_advance_us (manual_clock, 1000);
      if (admission_decide (admission, names[0], 8, QUEUE_PRIORITY_NORMAL)
          == VH_OK)
        admission_record_result (admission, 4, true);
    }
  ck_assert (admission_is_limiting (admission));
}
END_TEST

/* Failure: a thousand callers that are refused in the same second all retry in
   the same second, because they received the same Retry-After.  */
START_TEST (retry_after_spreads_retries)
{
  static const double rates[TEAMS] = { 30000, 100 };
  int counts[ADMISSION_RETRY_AFTER_MAX_S + 1] = { 0 };
  int max_count = 0;

  ck_assert_uint_eq (admission_retry_after_s (admission, names[0]),
                     ADMISSION_RETRY_AFTER_MIN_S);
  simulate (10, rates);
  for (int i = 0; i < 1000; i++)
    {
      uint32_t after_s = admission_retry_after_s (admission, names[0]);
      ck_assert_uint_ge (after_s, ADMISSION_RETRY_AFTER_MIN_S);
      ck_assert_uint_le (after_s, ADMISSION_RETRY_AFTER_MAX_S);
      counts[after_s]++;
    }
  for (int i = 0; i <= ADMISSION_RETRY_AFTER_MAX_S; i++)
    max_count = counts[i] > max_count ? counts[i] : max_count;
  ck_assert_int_le (max_count, 200);
  /* A team within its share gets the shortest Retry-After.  */
  ck_assert_uint_eq (admission_retry_after_s (admission, names[1]),
                     ADMISSION_RETRY_AFTER_MIN_S);
  capacity = 100;
  simulate (10, rates);
  for (int i = 0; i < 1000; i++)
    ck_assert_uint_le (admission_retry_after_s (admission, names[0]),
                       ADMISSION_RETRY_AFTER_MAX_S);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission");
  TCase *tcase = tcase_create ("admission");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, admits_all_requests_below_capacity);
  tcase_add_test (tcase, hot_team_does_not_reduce_service_of_others);
  tcase_add_test (tcase, capacity_is_divided_by_weight);
  tcase_add_test (tcase, wasted_dispatches_are_bounded_at_triple_load);
  tcase_add_test (tcase, low_priority_is_refused_first);
  tcase_add_test (tcase, admits_all_again_when_demand_falls);
  tcase_add_test (tcase, admitted_rate_follows_returning_capacity);
  tcase_add_test (tcase, requests_are_admitted_again_after_outage);
  tcase_add_test (tcase, reported_pressure_limits_admission);
  tcase_add_test (tcase, retry_after_spreads_retries);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
