/* Tests of the detection of versions in service that become worse, with
   simulated traffic.  */

#include "base/rng.h"
#include "policy/degradation.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

/* The start of a minute.  */
#define START_MS ((uint64_t)1699999980000)

enum
{
  REQUESTS_PER_MINUTE = 600,
  MINUTE_MS = 60 * 1000,
  HEALTHY_MINUTES = 60,
  SEEDS = 40
};

typedef struct
{
  const char *name;
  double rating;
  double error;
  double latency;
  int minutes_max; /* Largest time from the change to the alarm.  */
} regression_t;

typedef struct
{
  rng_t rng;
  degradation_t *degradation;
  uint64_t now_ms;
  double large_share; /* Share of large@1 in the traffic; the rest is
                         small@1's.  */
  double small_rating_loss;
  double small_error_increase;
  double small_latency_factor;
  /* Subtracted from the ratings of both versions.  */
  double common_rating_loss;
} simulation_t;

static double
draw_normal (rng_t *rng)
{
  double u = 1 - rng_double (rng);

  return sqrt (-2 * log (u)) * cos (6.283185307 * rng_double (rng));
}

static simulation_t
simulation_create (uint64_t seed)
{
  return (simulation_t){ .rng = rng_make (seed * 31 + 7),
                         .degradation = degradation_create (seed + 1),
                         .now_ms = START_MS,
                         .large_share = 0.2,
                         .small_latency_factor = 1 };
}

/* Simulate one minute of traffic, with 10 requests a second and one answer in
   ten rated.  Return the result of degradation_check at its end.  */
static bool
simulate_minute (simulation_t *sim)
{
  for (int i = 0; i < REQUESTS_PER_MINUTE; i++)
    {
      bool small = rng_double (&sim->rng) >= sim->large_share;
      rollout_sample_t s = { .finished = true };
      double rating
          = 0.85 + 0.15 * draw_normal (&sim->rng) - sim->common_rating_loss;
      double error = 0.005 + (small ? sim->small_error_increase : 0);
      s.failed = rng_double (&sim->rng) < error;
      s.latency_ms = 800 * exp (0.4 * draw_normal (&sim->rng));
      s.latency_ms *= small ? sim->small_latency_factor : 1;
      s.rated = !s.failed && rng_double (&sim->rng) < 0.1;
      s.rating = rating - (small ? sim->small_rating_loss : 0);
      degradation_observe (
          sim->degradation, small ? STR ("small@1") : STR ("large@1"),
          rng_below (&sim->rng, 3) == 0 ? STR ("tag") : STR ("draft"), &s,
          sim->now_ms);
      sim->now_ms += MINUTE_MS / REQUESTS_PER_MINUTE;
    }
  return degradation_check (sim->degradation, sim->now_ms);
}

static bool
has_small_alarm (const simulation_t *sim)
{
  rollout_metric_t metric;
  uint64_t since_ms;

  return degradation_get_alarm (sim->degradation, STR ("small@1"), &metric,
                                &since_ms);
}

static bool
has_large_alarm (const simulation_t *sim)
{
  rollout_metric_t metric;
  uint64_t since_ms;

  return degradation_get_alarm (sim->degradation, STR ("large@1"), &metric,
                                &since_ms);
}

static const regression_t regressions[] = {
  { "ratings fall clearly", 0.3, 0, 1, 3 },
  { "ratings fall slightly", 0.08, 0, 1, 15 },
  { "errors", 0, 0.2, 1, 2 },
  { "slower", 0, 0, 1.5, 2 },
};

/* A version answers well for an hour and becomes worse.  It would keep its
   traffic if there were no alarm within minutes, and another version would
   lose its own if the alarm hit that one.  */
START_TEST (version_that_becomes_worse_is_missed)
{
  const regression_t *regression = &regressions[_i];

  for (uint64_t seed = 0; seed < 10; seed++)
    {
      simulation_t sim = simulation_create (seed);
      int minutes = 0;
      for (int i = 0; i < HEALTHY_MINUTES; i++)
        ck_assert (!simulate_minute (&sim));
      ck_assert_double_eq (degradation_traffic_weight (
                               sim.degradation, STR ("small@1"), sim.now_ms),
                           1);
      sim.small_rating_loss = regression->rating;
      sim.small_error_increase = regression->error;
      sim.small_latency_factor = regression->latency;
      for (; !has_small_alarm (&sim) && minutes < 60; minutes++)
        simulate_minute (&sim);
      ck_assert_msg (minutes <= regression->minutes_max,
                     "%s, seed %d: alarm after %d min", regression->name,
                     (int)seed, minutes);
      ck_assert (!has_large_alarm (&sim));
      ck_assert_double_eq (degradation_traffic_weight (
                               sim.degradation, STR ("small@1"), sim.now_ms),
                           0.5);
      ck_assert_double_eq (
          degradation_traffic_weight (sim.degradation, STR ("small@1"),
                                      sim.now_ms + DEGRADATION_WEIGHT_STEP_MS),
          0.1);
      ck_assert_double_eq (degradation_traffic_weight (sim.degradation,
                                                       STR ("small@1"),
                                                       sim.now_ms + MINUTE_MS),
                           0);
      ck_assert_double_eq (degradation_traffic_weight (
                               sim.degradation, STR ("large@1"), sim.now_ms),
                           1);
      degradation_destroy (sim.degradation);
    }
}
END_TEST

/* A version has been in service for ten minutes when it becomes slightly
   worse.  Its reference, made from few answers, would follow the fault and
   hide it.  */
START_TEST (reference_of_a_new_version_follows_the_fault)
{
  for (uint64_t seed = 0; seed < 10; seed++)
    {
      simulation_t sim = simulation_create (seed);
      int minutes = 0;
      for (int i = 0; i < 10; i++)
        simulate_minute (&sim);
      sim.small_rating_loss = 0.08;
      for (; !has_small_alarm (&sim) && minutes < 60; minutes++)
        simulate_minute (&sim);
      ck_assert_msg (minutes < 60, "seed %d", (int)seed);
      degradation_destroy (sim.degradation);
    }
}
END_TEST

/* Nothing changes for three hours.  By chance at most one service in twenty
   may get an alarm.  */
START_TEST (unchanged_service_raises_an_alarm)
{
  int alarms = 0;

  for (uint64_t seed = 100; seed < 100 + SEEDS; seed++)
    {
      simulation_t sim = simulation_create (seed);
      bool raised = false;
      for (int i = 0; i < 180; i++)
        raised = simulate_minute (&sim) || raised;
      alarms += raised;
      degradation_destroy (sim.degradation);
    }
  ck_assert_int_lt (alarms, SEEDS / 20);
}
END_TEST

/* The rating service returns far too low ratings for ten minutes, for both
   versions.  Versions that did not change would lose their traffic.  */
START_TEST (wrong_ratings_raise_an_alarm)
{
  int alarms = 0;

  for (uint64_t seed = 0; seed < SEEDS; seed++)
    {
      simulation_t sim = simulation_create (seed);
      bool raised = false;
      for (int i = 0; i < 100; i++)
        {
          sim.common_rating_loss = i >= 60 && i < 70 ? 0.5 : 0;
          raised = simulate_minute (&sim) || raised;
        }
      alarms += raised;
      degradation_destroy (sim.degradation);
    }
  ck_assert_int_eq (alarms, 0);
}
END_TEST

/* The scale of the ratings changes for good.  If the references did not
   follow, a version that becomes worse afterwards would be missed.  */
START_TEST (reference_stays_at_an_old_rating_scale)
{
  simulation_t sim = simulation_create (3);
  int minutes = 0;

  for (int i = 0; i < HEALTHY_MINUTES; i++)
    simulate_minute (&sim);
  sim.common_rating_loss = 0.3;
  for (int i = 0; i < 100; i++)
    ck_assert (!simulate_minute (&sim));
  sim.small_rating_loss = 0.3;
  for (; !has_small_alarm (&sim) && minutes < 60; minutes++)
    simulate_minute (&sim);
  ck_assert_int_le (minutes, 5);
  ck_assert (!has_large_alarm (&sim));
  degradation_destroy (sim.degradation);
}
END_TEST

/* The operator ends an alarm after the version was repaired.  The old
   measurements would raise the alarm again, or a new fault would be
   missed.  */
START_TEST (cleared_alarm_returns_or_hides_a_new_fault)
{
  simulation_t sim = simulation_create (5);

  for (int i = 0; i < HEALTHY_MINUTES; i++)
    simulate_minute (&sim);
  sim.small_error_increase = 0.3;
  for (int i = 0; i < 5; i++)
    simulate_minute (&sim);
  ck_assert (has_small_alarm (&sim));
  sim.small_error_increase = 0;
  degradation_clear_alarm (sim.degradation, STR ("small@1"), sim.now_ms);
  ck_assert (!has_small_alarm (&sim));
  for (int i = 0; i < HEALTHY_MINUTES; i++)
    ck_assert (!simulate_minute (&sim));
  sim.small_error_increase = 0.3;
  for (int i = 0; i < 5; i++)
    simulate_minute (&sim);
  ck_assert (has_small_alarm (&sim));
  degradation_destroy (sim.degradation);
}
END_TEST

/* The process that raised an alarm is gone.  A process that knows only the
   written state would not have the alarm; a message that arrives twice would
   change the state, and the merge of an older state would bring back an alarm
   that was ended.  */
START_TEST (alarm_is_lost_with_its_process)
{
  simulation_t sim = simulation_create (9);
  degradation_t *receiver = degradation_create (77);
  degradation_t *untouched = degradation_create (78);
  buf_t bytes = BUF_NULL;
  buf_t rewritten = BUF_NULL;
  rollout_metric_t metric, receiver_metric;
  uint64_t since_ms, receiver_since_ms;

  for (int i = 0; i < HEALTHY_MINUTES; i++)
    simulate_minute (&sim);
  sim.small_error_increase = 0.3;
  for (int i = 0; i < 3; i++)
    simulate_minute (&sim);
  ck_assert (degradation_get_alarm (sim.degradation, STR ("small@1"), &metric,
                                    &since_ms));
  ck_assert_int_eq (metric, ROLLOUT_METRIC_ERROR);
  degradation_write (sim.degradation, false, &bytes);
  ck_assert_int_eq (degradation_merge (receiver, buf_str (&bytes), sim.now_ms),
                    VH_OK);
  ck_assert_int_eq (degradation_merge (receiver, buf_str (&bytes), sim.now_ms),
                    VH_OK);
  ck_assert (degradation_get_alarm (receiver, STR ("small@1"),
                                    &receiver_metric, &receiver_since_ms));
  ck_assert_uint_eq (since_ms, receiver_since_ms);
  degradation_write (receiver, false, &rewritten);
  ck_assert (str_eq (buf_str (&bytes), buf_str (&rewritten)));
  degradation_clear_alarm (receiver, STR ("small@1"), since_ms + 1);
  degradation_merge (receiver, buf_str (&bytes), sim.now_ms);
  ck_assert (
      !degradation_get_alarm (receiver, STR ("small@1"), &metric, &since_ms));
  buf_t cleared = BUF_NULL;
  rewritten.len = 0;
  degradation_write (receiver, false, &cleared);
  degradation_merge (sim.degradation, buf_str (&cleared), sim.now_ms);
  degradation_write (sim.degradation, false, &rewritten);
  ck_assert (str_eq (buf_str (&cleared), buf_str (&rewritten)));
  buf_free (&cleared);
  for (size_t len = 0; len < bytes.len; len += 1 + len / 50)
    ck_assert_int_eq (
        degradation_merge (untouched, str_make (bytes.ptr, len), sim.now_ms),
        VH_E_PROTOCOL);
  buf_free (&bytes);
  buf_free (&rewritten);
  degradation_destroy (receiver);
  degradation_destroy (untouched);
  degradation_destroy (sim.degradation);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("watch");
  TCase *tcase = tcase_create ("watch");

  tcase_set_timeout (tcase, 110);
  tcase_add_loop_test (tcase, version_that_becomes_worse_is_missed, 0,
                       (int)(sizeof regressions / sizeof regressions[0]));
  tcase_add_test (tcase, reference_of_a_new_version_follows_the_fault);
  tcase_add_test (tcase, unchanged_service_raises_an_alarm);
  tcase_add_test (tcase, wrong_ratings_raise_an_alarm);
  tcase_add_test (tcase, reference_stays_at_an_old_rating_scale);
  tcase_add_test (tcase, cleared_alarm_returns_or_hides_a_new_fault);
  tcase_add_test (tcase, alarm_is_lost_with_its_process);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
