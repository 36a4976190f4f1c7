/* Estimates of times against a known engine.  */

#include "base/rng.h"
#include "policy/finish_time.h"
#include "suite.h"

#include <math.h>

static const finish_place_t usual = { 1, 10 };

/* Before a response is known, the prior must be that of the measured
   engines, scaled by the time factor.  */
START_TEST (first_estimate_is_the_prior)
{
  finish_time_t *finish_time = finish_time_create ();
  const finish_work_t work = { .prompt_tokens = 9210, .events_left = 11 };
  const finish_place_t slow = { 3, 10 };
  finish_estimate_t estimate
      = finish_time_estimate (finish_time, &work, &usual);

  ck_assert_double_eq_tol (estimate.gap_ms, 53, 1e-6);
  ck_assert_double_eq_tol (estimate.first_event_ms, 153, 1e-6);
  ck_assert_double_eq_tol (estimate.last_event_ms, 683, 1e-6);
  finish_estimate_t slow_estimate
      = finish_time_estimate (finish_time, &work, &slow);
  ck_assert_double_eq_tol (slow_estimate.last_event_ms, 3 * 683, 1e-6);
  finish_time_destroy (finish_time);
}
END_TEST

/* Engines of another kind, of which a model is slower than the other.  The
   samples come from instances of different speed and load.  */
START_TEST (curves_are_learned)
{
  finish_time_t *finish_time = finish_time_create ();
  rng_t rng = rng_make (3);
  uint64_t now_ms = 0;

  for (int i = 0; i < 400; i++)
    {
      const finish_place_t place
          = { 0.5 + 2 * rng_double (&rng), 1 + 30 * rng_double (&rng) };
      size_t model = i % 2;
      uint32_t prompt_tokens = (uint32_t)rng_below (&rng, 20000);
      double noise = 0.9 + 0.2 * rng_double (&rng);
      double gap_ms = 40 + 5 * place.requests + (model == 1 ? 30 : 0);
      finish_time_record_gap (finish_time, model, &place,
                              place.time_factor * gap_ms * noise, now_ms);
      finish_time_record_first_event (
          finish_time, prompt_tokens, model, &place,
          place.time_factor * (100 + prompt_tokens / 40.0) * noise, now_ms);
      now_ms += 50;
    }
  for (size_t model = 0; model < 2; model++)
    {
      const finish_work_t work
          = { .prompt_tokens = 12000, .events_left = 21, .model = model };
      const finish_place_t place = { 1.5, 20 };
      finish_estimate_t estimate
          = finish_time_estimate (finish_time, &work, &place);
      double gap_ms = 1.5 * (140 + (model == 1 ? 30 : 0));
      ck_assert_double_eq_tol (estimate.gap_ms, gap_ms, gap_ms * 0.1);
      ck_assert_double_eq_tol (estimate.first_event_ms, 600, 90);
      ck_assert_double_eq_tol (estimate.last_event_ms,
                               estimate.first_event_ms + 20 * estimate.gap_ms,
                               1e-6);
    }
  finish_time_destroy (finish_time);
}
END_TEST

/* All engines turn slow without telling it: the estimates must follow within
   some seconds of samples, so that no instance looks better than the one a
   stream is at.  They must follow back as well.  */
START_TEST (old_samples_lose_their_weight)
{
  finish_time_t *finish_time = finish_time_create ();
  const finish_work_t work = { .events_left = 1 };
  uint64_t now_ms = 0;

  for (int i = 0; i < 1000; i++, now_ms += 100)
    finish_time_record_gap (finish_time, 0, &usual, 53, now_ms);
  for (int i = 0; i < 600; i++, now_ms += 100)
    finish_time_record_gap (finish_time, 0, &usual, 159, now_ms);
  ck_assert_double_ge (
      finish_time_estimate (finish_time, &work, &usual).gap_ms, 140);
  for (int i = 0; i < 600; i++, now_ms += 100)
    finish_time_record_gap (finish_time, 0, &usual, 53, now_ms);
  ck_assert_double_le (
      finish_time_estimate (finish_time, &work, &usual).gap_ms, 72);
  finish_time_destroy (finish_time);
}
END_TEST

/* A clock that jumps, a connection that was stuck, or a place of which nothing
   is known must not make the estimate useless.  */
START_TEST (absurd_samples_are_bounded)
{
  static const double absurd[] = { 0, -1, 1e300, NAN, INFINITY, -INFINITY };
  static const size_t count = sizeof absurd / sizeof absurd[0];
  finish_time_t *finish_time = finish_time_create ();
  const finish_work_t work = { .prompt_tokens = 100, .events_left = 10 };

  for (size_t i = 0; i < count; i++)
    for (size_t j = 0; j < count; j++)
      {
        const finish_place_t place = { absurd[i], absurd[j] };
        finish_estimate_t estimate
            = finish_time_estimate (finish_time, &work, &place);
        ck_assert (isfinite (estimate.last_event_ms));
        ck_assert_double_gt (estimate.last_event_ms, 0);
        finish_time_record_gap (finish_time, 0, &place, 50, 1000);
        finish_time_record_gap (finish_time, 0, &usual, absurd[j], 500);
        finish_time_record_first_event (finish_time, 100, 0, &place, absurd[j],
                                        UINT64_MAX);
      }
  finish_estimate_t estimate
      = finish_time_estimate (finish_time, &work, &usual);
  ck_assert (isfinite (estimate.last_event_ms));
  ck_assert_double_le (estimate.gap_ms, 20 * 53);
  ck_assert_double_ge (estimate.gap_ms, 53 / 20.0);
  finish_time_destroy (finish_time);
}
END_TEST

/* Hints are right at the median and often far off by a large factor: a mean
   would be that of the outliers.  */
START_TEST (events_follow_the_median_of_the_hints)
{
  finish_time_t *finish_time = finish_time_create ();
  rng_t rng = rng_make (5);

  ck_assert_double_eq_tol (finish_time_events (finish_time, 90), 10, 1e-9);
  finish_time_record_length (finish_time, 0, 10);
  finish_time_record_length (finish_time, 10, 0);
  ck_assert_double_eq_tol (finish_time_events (finish_time, 90), 10, 1e-9);
  for (int i = 0; i < 1000; i++)
    {
      uint32_t events = 10 + (uint32_t)rng_below (&rng, 50);
      uint32_t hint = events * 4;
      if (i % 10 < 4)
        hint = i % 10 == 0 ? hint / 8 : hint * (i % 10 < 3 ? 20 : 1);
      else if (i % 10 == 4)
        hint = 1;
      finish_time_record_length (finish_time, hint, events);
    }
  ck_assert_double_eq_tol (finish_time_events (finish_time, 400), 100, 15);
  finish_time_destroy (finish_time);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("finish_time");
  TCase *tcase = tcase_create ("finish_time");

  tcase_add_test (tcase, first_estimate_is_the_prior);
  tcase_add_test (tcase, curves_are_learned);
  tcase_add_test (tcase, old_samples_lose_their_weight);
  tcase_add_test (tcase, absurd_samples_are_bounded);
  tcase_add_test (tcase, events_follow_the_median_of_the_hints);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
