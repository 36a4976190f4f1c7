/* Tests of the watch over versions in service.  */

#include "base/rng.h"
#include "policy/watch.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

/* The start of a minute.  */
#define START_MS ((uint64_t)1699999980000)

enum
{
  PER_MINUTE = 600,
  MINUTE_MS = 60 * 1000,
  QUIET_MINUTES = 60,
  SEEDS = 40
};

typedef struct
{
  const char *name;
  double rating;
  double error;
  double latency;
  int minutes_most; /* From the change to the alarm.  */
} fault_t;

typedef struct
{
  rng_t rng;
  degradation_t *watch;
  uint64_t now_ms;
  double other_share; /* Traffic of large@1; the rest is small@1's.  */
  double small_rating;
  double small_error;
  double small_latency;
  double all_rating; /* Taken off every rating.  */
} world_t;

static double
normal (rng_t *rng)
{
  double u = 1 - rng_double (rng);

  return sqrt (-2 * log (u)) * cos (6.283185307 * rng_double (rng));
}

static world_t
world_make (uint64_t seed)
{
  return (world_t){ .rng = rng_make (seed * 31 + 7),
                    .watch = degradation_create (seed + 1),
                    .now_ms = START_MS,
                    .other_share = 0.2,
                    .small_latency = 1 };
}

/* One minute of traffic: 10 requests a second, one answer in ten rated.
   Return what degradation_check says at its end.  */
static bool
world_minute (world_t *w)
{
  for (int i = 0; i < PER_MINUTE; i++)
    {
      bool small = rng_double (&w->rng) >= w->other_share;
      rollout_sample_t s = { .finished = true };
      double rating = 0.85 + 0.15 * normal (&w->rng) - w->all_rating;
      double error = 0.005 + (small ? w->small_error : 0);
      s.failed = rng_double (&w->rng) < error;
      s.latency_ms = 800 * exp (0.4 * normal (&w->rng));
      s.latency_ms *= small ? w->small_latency : 1;
      s.rated = !s.failed && rng_double (&w->rng) < 0.1;
      s.rating = rating - (small ? w->small_rating : 0);
      degradation_observe (w->watch, small ? STR ("small@1") : STR ("large@1"),
                           rng_below (&w->rng, 3) == 0 ? STR ("tag")
                                                       : STR ("draft"),
                           &s, w->now_ms);
      w->now_ms += MINUTE_MS / PER_MINUTE;
    }
  return degradation_check (w->watch, w->now_ms);
}

static bool
small_alarmed (const world_t *w)
{
  rollout_metric_t metric;
  uint64_t since_ms;

  return degradation_get_alarm (w->watch, STR ("small@1"), &metric, &since_ms);
}

static bool
large_alarmed (const world_t *w)
{
  rollout_metric_t metric;
  uint64_t since_ms;

  return degradation_get_alarm (w->watch, STR ("large@1"), &metric, &since_ms);
}

static const fault_t faults[] = {
  { "ratings fall clearly", 0.3, 0, 1, 3 },
  { "ratings fall slightly", 0.08, 0, 1, 15 },
  { "errors", 0, 0.2, 1, 2 },
  { "slower", 0, 0, 1.5, 2 },
};

/* A version has served well for an hour and turns bad.  The watch must say so
   within minutes, blame that version alone, and take its share down in
   steps.  */
START_TEST (version_that_turns_bad_is_caught)
{
  const fault_t *fault = &faults[_i];

  for (uint64_t seed = 0; seed < 10; seed++)
    {
      world_t w = world_make (seed);
      int minutes = 0;
      for (int i = 0; i < QUIET_MINUTES; i++)
        ck_assert (!world_minute (&w));
      ck_assert_double_eq (
          degradation_traffic_weight (w.watch, STR ("small@1"), w.now_ms), 1);
      w.small_rating = fault->rating;
      w.small_error = fault->error;
      w.small_latency = fault->latency;
      for (; !small_alarmed (&w) && minutes < 60; minutes++)
        world_minute (&w);
      ck_assert_msg (minutes <= fault->minutes_most, "%s, seed %d: %d min",
                     fault->name, (int)seed, minutes);
      ck_assert (!large_alarmed (&w));
      ck_assert_double_eq (
          degradation_traffic_weight (w.watch, STR ("small@1"), w.now_ms),
          0.5);
      ck_assert_double_eq (
          degradation_traffic_weight (w.watch, STR ("small@1"),
                                      w.now_ms + DEGRADATION_WEIGHT_STEP_MS),
          0.1);
      ck_assert_double_eq (degradation_traffic_weight (
                               w.watch, STR ("small@1"), w.now_ms + MINUTE_MS),
                           0);
      ck_assert_double_eq (
          degradation_traffic_weight (w.watch, STR ("large@1"), w.now_ms), 1);
      degradation_destroy (w.watch);
    }
}
END_TEST

/* A version has been in service for ten minutes when it turns slightly bad.
   Its reference is young and must not learn the fault as the new usual.  */
START_TEST (young_reference_does_not_learn_the_fault)
{
  for (uint64_t seed = 0; seed < 10; seed++)
    {
      world_t w = world_make (seed);
      int minutes = 0;
      for (int i = 0; i < 10; i++)
        world_minute (&w);
      w.small_rating = 0.08;
      for (; !small_alarmed (&w) && minutes < 60; minutes++)
        world_minute (&w);
      ck_assert_msg (minutes < 60, "seed %d", (int)seed);
      degradation_destroy (w.watch);
    }
}
END_TEST

/* Nothing changes for three hours; at most one watch in twenty may cry.  */
START_TEST (quiet_service_raises_no_alarm)
{
  int alarms = 0;

  for (uint64_t seed = 100; seed < 100 + SEEDS; seed++)
    {
      world_t w = world_make (seed);
      bool raised = false;
      for (int i = 0; i < 180; i++)
        raised = world_minute (&w) || raised;
      alarms += raised;
      degradation_destroy (w.watch);
    }
  ck_assert_int_lt (alarms, SEEDS / 20);
}
END_TEST

/* The rating service answers far too low for ten minutes, to everything.  No
   version may lose its share for it.  */
START_TEST (wrong_rater_blames_no_version)
{
  int alarms = 0;

  for (uint64_t seed = 0; seed < SEEDS; seed++)
    {
      world_t w = world_make (seed);
      bool raised = false;
      for (int i = 0; i < 100; i++)
        {
          w.all_rating = i >= 60 && i < 70 ? 0.5 : 0;
          raised = world_minute (&w) || raised;
        }
      alarms += raised;
      degradation_destroy (w.watch);
    }
  ck_assert_int_eq (alarms, 0);
}
END_TEST

/* The rating scale changes for good.  The references must follow, so that a
   version which turns bad afterwards is caught again.  */
START_TEST (lasting_change_of_scale_is_learned)
{
  world_t w = world_make (3);
  int minutes = 0;

  for (int i = 0; i < QUIET_MINUTES; i++)
    world_minute (&w);
  w.all_rating = 0.3;
  for (int i = 0; i < 100; i++)
    ck_assert (!world_minute (&w));
  w.small_rating = 0.3;
  for (; !small_alarmed (&w) && minutes < 60; minutes++)
    world_minute (&w);
  ck_assert_int_le (minutes, 5);
  ck_assert (!large_alarmed (&w));
  degradation_destroy (w.watch);
}
END_TEST

/* The operator has mended the version and clears the alarm.  Its old evidence
   must not raise it again, and a new fault must.  */
START_TEST (clearing_starts_afresh)
{
  world_t w = world_make (5);

  for (int i = 0; i < QUIET_MINUTES; i++)
    world_minute (&w);
  w.small_error = 0.3;
  for (int i = 0; i < 5; i++)
    world_minute (&w);
  ck_assert (small_alarmed (&w));
  w.small_error = 0;
  degradation_clear_alarm (w.watch, STR ("small@1"), w.now_ms);
  ck_assert (!small_alarmed (&w));
  for (int i = 0; i < QUIET_MINUTES; i++)
    ck_assert (!world_minute (&w));
  w.small_error = 0.3;
  for (int i = 0; i < 5; i++)
    world_minute (&w);
  ck_assert (small_alarmed (&w));
  degradation_destroy (w.watch);
}
END_TEST

/* The entry that found the fault goes away.  One that knows only the written
   state must find the same alarm; one that got the evidence before must too,
   and a message delivered twice must change nothing.  */
START_TEST (state_survives_and_merges)
{
  world_t w = world_make (9);
  degradation_t *late = degradation_create (77);
  degradation_t *alone = degradation_create (78);
  buf_t bytes = BUF_NULL;
  buf_t again = BUF_NULL;
  rollout_metric_t metric, metric_late;
  uint64_t since_ms, since_late_ms;

  for (int i = 0; i < QUIET_MINUTES; i++)
    world_minute (&w);
  w.small_error = 0.3;
  for (int i = 0; i < 3; i++)
    world_minute (&w);
  ck_assert (
      degradation_get_alarm (w.watch, STR ("small@1"), &metric, &since_ms));
  ck_assert_int_eq (metric, ROLLOUT_ERROR);
  degradation_write (w.watch, false, &bytes);
  ck_assert_int_eq (degradation_merge (late, buf_str (&bytes), w.now_ms),
                    VH_OK);
  ck_assert_int_eq (degradation_merge (late, buf_str (&bytes), w.now_ms),
                    VH_OK);
  ck_assert (degradation_get_alarm (late, STR ("small@1"), &metric_late,
                                    &since_late_ms));
  ck_assert_uint_eq (since_ms, since_late_ms);
  degradation_write (late, false, &again);
  ck_assert (str_eq (buf_str (&bytes), buf_str (&again)));
  degradation_clear_alarm (late, STR ("small@1"), since_ms + 1);
  degradation_merge (late, buf_str (&bytes), w.now_ms);
  ck_assert (
      !degradation_get_alarm (late, STR ("small@1"), &metric, &since_ms));
  buf_t cleared = BUF_NULL;
  again.len = 0;
  degradation_write (late, false, &cleared);
  degradation_merge (w.watch, buf_str (&cleared), w.now_ms);
  degradation_write (w.watch, false, &again);
  ck_assert (str_eq (buf_str (&cleared), buf_str (&again)));
  buf_free (&cleared);
  for (size_t len = 0; len < bytes.len; len += 1 + len / 50)
    ck_assert_int_eq (
        degradation_merge (alone, str_make (bytes.ptr, len), w.now_ms),
        VH_E_PROTOCOL);
  buf_free (&bytes);
  buf_free (&again);
  degradation_destroy (late);
  degradation_destroy (alone);
  degradation_destroy (w.watch);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("watch");
  TCase *tcase = tcase_create ("watch");

  tcase_set_timeout (tcase, 110);
  tcase_add_loop_test (tcase, version_that_turns_bad_is_caught, 0,
                       (int)(sizeof faults / sizeof faults[0]));
  tcase_add_test (tcase, young_reference_does_not_learn_the_fault);
  tcase_add_test (tcase, quiet_service_raises_no_alarm);
  tcase_add_test (tcase, wrong_rater_blames_no_version);
  tcase_add_test (tcase, lasting_change_of_scale_is_learned);
  tcase_add_test (tcase, clearing_starts_afresh);
  tcase_add_test (tcase, state_survives_and_merges);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
