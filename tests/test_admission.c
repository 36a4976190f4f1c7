/* Tests of admission.  The fleet is a bucket that takes CAPACITY units of cost
   a second and refuses the rest.  */

#include "policy/admission.h"

#include "suite.h"

#include <stdio.h>

enum
{
  TEAMS = 10,
  COST = 10,
  CAPACITY = 10000,
  /* Short enough that two seldom ask in the same step, as the order of the
     loop would then choose between them.  */
  STEP_US = 50
};

typedef struct
{
  uint64_t asked;
  uint64_t admitted;
  uint64_t served;
} team_t;

static const str_t names[TEAMS] = {
  STR ("coast"), STR ("drift"), STR ("hills"), STR ("north"), STR ("south"),
  STR ("plain"), STR ("river"), STR ("lakes"), STR ("delta"), STR ("cliff"),
};

static clock_iface_t *manual;
static rng_t rng;
static admission_t *admission;
static team_t teams[TEAMS];
static double bucket;
static uint64_t fleet; /* Cost a second.  */

static void
setup (void)
{
  manual = clock_manual_create (0);
  rng = rng_make (3);
  admission = admission_create (manual, &rng);
  memset (teams, 0, sizeof teams);
  bucket = CAPACITY / 10.0;
  fleet = CAPACITY;
}

static void
teardown (void)
{
  admission_destroy (admission);
  clock_manual_destroy (manual);
}

static vh_code_t
ask (int team, queue_priority_t priority)
{
  vh_code_t code = admission_decide (admission, names[team], COST, priority);

  teams[team].asked++;
  if (code != VH_OK)
    return code;
  teams[team].admitted++;
  admission_record_result (admission, COST, bucket >= COST);
  if (bucket >= COST)
    {
      bucket -= COST;
      teams[team].served++;
    }
  return code;
}

/* Let SECONDS pass in which team i asks for RATES[i] units of cost a second;
   count what happened afresh.  */
static void
run (double seconds, const double rates[])
{
  double due[TEAMS];

  memset (teams, 0, sizeof teams);
  /* Teams ask at random times, so that none is always just behind another.  */
  for (int i = 0; i < TEAMS; i++)
    due[i] = rng_double (&rng) * COST;
  for (int step = 0; step < seconds * 1000000 / STEP_US; step++)
    {
      clock_manual_advance_us (manual, STEP_US);
      bucket += (double)fleet * STEP_US / 1000000.0;
      if (bucket > CAPACITY / 10.0)
        bucket = CAPACITY / 10.0;
      for (int i = 0; i < TEAMS; i++)
        for (due[i] += rates[i] * STEP_US / 500000.0 * rng_double (&rng);
             due[i] >= COST; due[i] -= COST)
          ask (i, QUEUE_NORMAL);
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

START_TEST (admits_all_when_not_full)
{
  static const double rates[TEAMS]
      = { 4000, 500, 500, 500, 500, 500, 500, 500, 500, 500 };

  run (10, rates);
  for (int i = 0; i < TEAMS; i++)
    ck_assert_uint_eq (teams[i].served, teams[i].asked);
  ck_assert (!admission_is_limiting (admission));
}
END_TEST

/* One team sends as much as the fleet carries, the others half of that
   together.  Served as they ask, everyone would lose a third; those within
   their share must lose next to nothing.  */
START_TEST (hot_team_pays_for_itself)
{
  static const double rates[TEAMS]
      = { 10000, 550, 550, 550, 550, 550, 550, 550, 550, 550 };
  uint64_t asked = 0;
  uint64_t served = 0;

  run (5, rates);
  run (10, rates);
  ck_assert (admission_is_limiting (admission));
  for (int i = 1; i < TEAMS; i++)
    {
      ck_assert_uint_eq (teams[i].admitted, teams[i].asked);
      asked += teams[i].asked;
      served += teams[i].served;
    }
  /* The bucket knows no teams, so it refuses the probe's tenth of all.  */
  ck_assert_uint_ge (served * 100, asked * 87);
  /* 10,000 less nine times 550, and the probe's tenth.  */
  ck_assert_uint_ge (teams[0].admitted * COST, 49000);
  ck_assert_uint_le (teams[0].admitted * COST, 65000);
  /* The fleet is kept full.  */
  ck_assert_uint_ge (total_served (), CAPACITY / 10 * 97ul);
}
END_TEST

START_TEST (weights_divide_what_there_is)
{
  static const double rates[TEAMS] = { 20000, 20000 };
  static const double unlike[TEAMS] = { 6500, 20000 };

  admission_set_weight (admission, names[0], 3);
  run (5, rates);
  run (10, rates);
  ck_assert_uint_ge (teams[0].admitted * 10, teams[1].admitted * 29);
  ck_assert_uint_le (teams[0].admitted * 10, teams[1].admitted * 31);
  ck_assert (admission_admitted_share (admission, names[0]) > 0.35);
  /* Less than its share, though more than an even part.  */
  run (3, unlike);
  run (5, unlike);
  ck_assert_uint_eq (teams[0].admitted, teams[0].asked);
  /* And what it leaves goes to the other.  */
  ck_assert_uint_ge (teams[1].admitted * COST, 17500);
}
END_TEST

START_TEST (waste_is_bounded_at_three_times_the_load)
{
  static const double rates[TEAMS]
      = { 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000 };
  uint64_t admitted = 0;

  run (5, rates);
  run (10, rates);
  for (int i = 0; i < TEAMS; i++)
    admitted += teams[i].admitted * COST;
  ck_assert_uint_le (admitted, CAPACITY / 10 * 115ul);
  ck_assert_uint_ge (total_served (), CAPACITY / 10 * 97ul);
}
END_TEST

START_TEST (low_priority_goes_first)
{
  static const double rates[TEAMS] = { 20000 };
  int high = 0;
  int low = 0;

  run (5, rates);
  for (int i = 0; i < 10000; i++)
    {
      bucket += COST / 2.0;
      if (i % 10 == 0)
        clock_manual_advance_us (manual, 5000);
      /* Half of the demand each; half can be served.  */
      if (i % 2 == 0 && i > 5000)
        high += ask (0, QUEUE_HIGH) == VH_OK;
      else if (i > 5000)
        low += ask (0, QUEUE_LOW) == VH_OK;
      else
        ask (0, i % 2 == 0 ? QUEUE_HIGH : QUEUE_LOW);
    }
  ck_assert_int_ge (high, 2400);
  ck_assert_int_le (low, 700);
}
END_TEST

/* The rush is over.  Nobody may be refused by an idle fleet.  */
START_TEST (opens_again_when_demand_falls)
{
  static const double rush[TEAMS] = { 30000, 1000 };
  static const double calm[TEAMS] = { 4000, 1000 };

  run (10, rush);
  run (3, calm);
  run (5, calm);
  ck_assert_uint_eq (teams[0].served, teams[0].asked);
  ck_assert (!admission_is_limiting (admission));
}
END_TEST

/* Half of the fleet goes for some seconds and returns while demand stays above
   what there is.  What is admitted must follow it up, not stay at the
   half.  */
START_TEST (grows_back_when_the_fleet_does)
{
  static const double rates[TEAMS] = { 30000 };

  run (3, rates);
  fleet = CAPACITY / 2;
  run (5, rates);
  ck_assert_uint_ge (total_served (), 5 * fleet / 100 * 97ul);
  ck_assert_uint_le (total_served (), 5 * fleet / 100 * 103ul);
  fleet = CAPACITY;
  run (10, rates);
  run (5, rates);
  ck_assert_uint_ge (total_served (), 5 * CAPACITY / 100 * 97ul);
  /* More comes than is asked for, so no refusal shows where the end is.  */
  fleet = CAPACITY * 4ul;
  run (15, rates);
  run (1, rates);
  ck_assert_uint_eq (teams[0].served, teams[0].asked);
}
END_TEST

/* Every upstream is gone for twenty seconds and then back, and demand stays.
   With nothing taken in, nothing was let through, and with nothing let through
   nothing could be taken in: callers would be refused for good.  */
START_TEST (an_outage_does_not_shut_out_for_good)
{
  static const double rates[TEAMS] = { 30000 };

  run (3, rates);
  fleet = 0;
  run (20, rates);
  fleet = CAPACITY;
  run (5, rates);
  run (3, rates);
  ck_assert_uint_ge (total_served (), 3 * CAPACITY / 100 * 90ul);
}
END_TEST

START_TEST (reported_pressure_is_heard)
{
  static const double rates[TEAMS] = { 8000 };

  run (3, rates);
  ck_assert (!admission_is_limiting (admission));
  admission_set_pressure (admission, ADMISSION_OVERLOAD_PRESSURE * 1.5);
  /* The fleet takes half of what is dispatched from here on.  */
  for (int i = 0; i < 3000; i++)
    {
      clock_manual_advance_us (manual, 1000);
      if (admission_decide (admission, names[0], 8, QUEUE_NORMAL) == VH_OK)
        admission_record_result (admission, 4, true);
    }
  ck_assert (admission_is_limiting (admission));
}
END_TEST

/* A thousand callers are refused in the same second.  Told the same time they
   would all be back in the same second.  */
START_TEST (retry_after_spreads_the_returns)
{
  static const double rates[TEAMS] = { 30000, 100 };
  int counts[ADMISSION_RETRY_AFTER_MAX_S + 1] = { 0 };
  int most = 0;

  ck_assert_uint_eq (admission_retry_after_s (admission, names[0]),
                     ADMISSION_RETRY_AFTER_MIN_S);
  run (10, rates);
  for (int i = 0; i < 1000; i++)
    {
      uint32_t after_s = admission_retry_after_s (admission, names[0]);
      ck_assert_uint_ge (after_s, ADMISSION_RETRY_AFTER_MIN_S);
      ck_assert_uint_le (after_s, ADMISSION_RETRY_AFTER_MAX_S);
      counts[after_s]++;
    }
  for (int i = 0; i <= ADMISSION_RETRY_AFTER_MAX_S; i++)
    most = counts[i] > most ? counts[i] : most;
  ck_assert_int_le (most, 200);
  /* Who is within its share is not kept away.  */
  ck_assert_uint_eq (admission_retry_after_s (admission, names[1]),
                     ADMISSION_RETRY_AFTER_MIN_S);
  fleet = 100;
  run (10, rates);
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
  tcase_add_test (tcase, admits_all_when_not_full);
  tcase_add_test (tcase, hot_team_pays_for_itself);
  tcase_add_test (tcase, weights_divide_what_there_is);
  tcase_add_test (tcase, waste_is_bounded_at_three_times_the_load);
  tcase_add_test (tcase, low_priority_goes_first);
  tcase_add_test (tcase, opens_again_when_demand_falls);
  tcase_add_test (tcase, grows_back_when_the_fleet_does);
  tcase_add_test (tcase, an_outage_does_not_shut_out_for_good);
  tcase_add_test (tcase, reported_pressure_is_heard);
  tcase_add_test (tcase, retry_after_spreads_the_returns);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
