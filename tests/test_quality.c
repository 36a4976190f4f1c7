/* Tests of the learned quality and of the mergeable sums that it is stored
   in.  */

#include "base/rng.h"
#include "policy/crdt.h"
#include "policy/quality.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define HOUR_MS ((uint64_t)60 * 60 * 1000)
#define START_MS ((uint64_t)1700000000000)

/* Return a rating around MEAN with a standard deviation of 0.15, clipped to 0
   to 1.  */
static double
rating_near (rng_t *rng, double mean)
{
  double noise = rng_double (rng) + rng_double (rng) + rng_double (rng) - 1.5;

  return fmax (0, fmin (1, mean + 0.3 * noise));
}

static quality_t *
make_quality (uint64_t writer)
{
  return quality_create (writer, &QUALITY_SAMPLING_DEFAULTS);
}

static bool
same_state (const quality_t *a, const quality_t *b)
{
  buf_t left = BUF_NULL;
  buf_t right = BUF_NULL;

  quality_write (a, false, &left);
  quality_write (b, false, &right);
  bool same = str_eq (buf_str (&left), buf_str (&right));
  buf_free (&left);
  buf_free (&right);
  return same;
}

static void
send_state (const quality_t *from, bool own_only, quality_t *to,
            uint64_t now_ms)
{
  buf_t bytes = BUF_NULL;

  quality_write (from, own_only, &bytes);
  ck_assert_int_eq (quality_merge (to, buf_str (&bytes), now_ms), VH_OK);
  buf_free (&bytes);
}

START_TEST (posterior_is_prior_without_ratings)
{
  quality_t *q = make_quality (1);
  quality_posterior_t b
      = quality_estimate (q, STR ("draft"), STR ("small@1"), 0.7, START_MS);

  ck_assert_double_eq_tol (b.mean, 0.7, 1e-9);
  ck_assert_double_lt (b.lower, 0.5);
  ck_assert_double_eq (b.weight, 0);
  quality_destroy (q);
}
END_TEST

/* Failure: the lower bound, which must hold 95 times in 100, is wrong more
   often.  Over many seeds and several numbers of ratings the true mean is
   expected below the bound in about 5%, and must not be there in more than 8%.
 */
START_TEST (lower_bound_has_stated_coverage)
{
  enum
  {
    SEEDS = 1000
  };
  static const int counts[] = { 10, 50, 200, 800 };

  for (size_t c = 0; c < sizeof counts / sizeof counts[0]; c++)
    {
      int missed = 0;
      for (uint64_t seed = 0; seed < SEEDS; seed++)
        {
          rng_t rng = rng_make (seed * 977 + c);
          double sum = 0;
          double squares = 0;
          for (int i = 0; i < counts[c]; i++)
            {
              double r = rng_double (&rng) < 0.7 ? 0.9 : 0.4;
              sum += r;
              squares += r * r;
            }
          /* Only the average of the priors over all seeds is correct.  */
          double prior = 0.55 + 0.4 * rng_double (&rng);
          quality_posterior_t b = quality_posterior (
              counts[c], sum, squares, prior, QUALITY_PRIOR_VARIANCE);
          missed += b.lower > 0.75;
        }
      ck_assert_int_le (missed, SEEDS * 8 / 100);
    }
}
END_TEST

START_TEST (task_classes_are_independent)
{
  quality_t *q = make_quality (1);
  rng_t rng = rng_make (3);

  for (int i = 0; i < 300; i++)
    {
      quality_add_rating (q, STR ("draft"), STR ("small@1"),
                          rating_near (&rng, 0.9), START_MS);
      quality_add_rating (q, STR ("tag"), STR ("small@1"),
                          rating_near (&rng, 0.5), START_MS);
    }
  ck_assert_double_eq_tol (
      quality_estimate (q, STR ("draft"), STR ("small@1"), 0.5, START_MS).mean,
      0.9, 0.03);
  ck_assert_double_eq_tol (
      quality_estimate (q, STR ("tag"), STR ("small@1"), 0.5, START_MS).mean,
      0.5, 0.03);
  quality_destroy (q);
}
END_TEST

/* Failure: outdated ratings are still trusted after the rating service was
   down for a day.  The bound of the version must widen towards that of the
   prior while the mean does not jump.  */
START_TEST (outdated_ratings_widen_bound)
{
  quality_t *q = make_quality (1);
  rng_t rng = rng_make (5);
  str_t task = STR ("draft");
  str_t version = STR ("small@1");

  for (int i = 0; i < 400; i++)
    quality_add_rating (q, task, version, rating_near (&rng, 0.9), START_MS);
  quality_posterior_t before
      = quality_estimate (q, task, version, 0.6, START_MS);
  double width = before.mean - before.lower;
  for (int hour = 6; hour <= 23; hour += 6)
    {
      quality_posterior_t b = quality_estimate (
          q, task, version, 0.6, START_MS + (uint64_t)hour * HOUR_MS);
      ck_assert_double_gt (b.mean - b.lower, width * 1.2);
      ck_assert_double_eq_tol (b.mean, before.mean, 0.06);
      width = b.mean - b.lower;
    }
  quality_posterior_t forgotten
      = quality_estimate (q, task, version, 0.6, START_MS + 30 * HOUR_MS);
  ck_assert_double_eq (forgotten.weight, 0);
  ck_assert_double_eq_tol (forgotten.mean, 0.6, 1e-9);
  quality_destroy (q);
}
END_TEST

/* Failure: a wrong rating service ruins the quality of a good version.  For
   one hour the service returns 0 for every answer, at five times the usual
   rate.  The mean may fall by QUALITY_CLIP_DISTANCE at most and must recover
   within hours.  */
START_TEST (wrong_epochs_are_clipped)
{
  quality_t *q = make_quality (1);
  rng_t rng = rng_make (8);
  str_t task = STR ("draft");
  str_t version = STR ("small@1");
  uint64_t now = START_MS;

  for (int half_hour = 0; half_hour < 12; half_hour++, now += HOUR_MS / 2)
    for (int i = 0; i < 60; i++)
      quality_add_rating (q, task, version, rating_near (&rng, 0.9), now);
  for (int half_hour = 0; half_hour < 2; half_hour++, now += HOUR_MS / 2)
    for (int i = 0; i < 300; i++)
      quality_add_rating (q, task, version, 0, now);
  quality_posterior_t during_fault
      = quality_estimate (q, task, version, 0.6, now);
  ck_assert_double_gt (during_fault.mean, 0.9 - QUALITY_CLIP_DISTANCE);
  for (int half_hour = 0; half_hour < 12; half_hour++, now += HOUR_MS / 2)
    for (int i = 0; i < 60; i++)
      quality_add_rating (q, task, version, rating_near (&rng, 0.9), now);
  ck_assert_double_gt (quality_estimate (q, task, version, 0.6, now).mean,
                       0.8);
  quality_destroy (q);
}
END_TEST

START_TEST (invalid_ratings_are_refused_or_clipped)
{
  quality_t *q = make_quality (1);
  str_t task = STR ("draft");
  str_t version = STR ("small@1");

  ck_assert (!quality_add_rating (q, task, version, NAN, START_MS));
  ck_assert (quality_add_rating (q, task, version, 1e12, START_MS));
  ck_assert (quality_add_rating (q, task, version, -INFINITY, START_MS));
  quality_posterior_t b = quality_estimate (q, task, version, 0.5, START_MS);
  ck_assert_double_eq_tol (b.mean, 0.5, 1e-6);
  quality_destroy (q);
}
END_TEST

/* Failure: processes disagree after gossip that is late, repeated or
   reordered.  In whatever order and however often the messages arrive, the
   final states must be equal byte for byte and contain each rating once.  */
START_TEST (merge_ignores_order_and_repetition)
{
  enum
  {
    WRITERS = 5,
    MESSAGES = 40
  };
  rng_t rng = rng_make (11);

  for (int round = 0; round < 20; round++)
    {
      quality_t *writers[WRITERS];
      buf_t messages[MESSAGES];
      double sum = 0;
      double count = 0;
      for (uint64_t w = 0; w < WRITERS; w++)
        writers[w] = make_quality (w + 1);
      for (int m = 0; m < MESSAGES; m++)
        {
          quality_t *q = writers[m % WRITERS];
          for (int i = 0; i < 5; i++)
            {
              double r = rating_near (&rng, 0.8);
              quality_add_rating (q, STR ("draft"), STR ("small@1"), r,
                                  START_MS);
              sum += r;
              count += 1;
            }
          messages[m] = BUF_NULL;
          quality_write (q, true, &messages[m]);
        }
      quality_t *ordered = make_quality (90);
      quality_t *shuffled = make_quality (91);
      for (int m = 0; m < MESSAGES; m++)
        quality_merge (ordered, buf_str (&messages[m]), START_MS);
      for (int m = 0; m < MESSAGES * 4; m++)
        quality_merge (shuffled,
                       buf_str (&messages[rng_below (&rng, MESSAGES)]),
                       START_MS);
      for (int m = MESSAGES - 1; m >= 0; m--)
        quality_merge (shuffled, buf_str (&messages[m]), START_MS);
      ck_assert (same_state (ordered, shuffled));
      quality_posterior_t b = quality_estimate (
          shuffled, STR ("draft"), STR ("small@1"), 0.5, START_MS);
      ck_assert_double_eq_tol (b.weight, count, 1e-9);
      ck_assert_double_eq_tol (b.mean,
                               (sum + 0.5 * QUALITY_PRIOR_WEIGHT)
                                   / (count + QUALITY_PRIOR_WEIGHT),
                               1e-5);
      for (int m = 0; m < MESSAGES; m++)
        buf_free (&messages[m]);
      for (int w = 0; w < WRITERS; w++)
        quality_destroy (writers[w]);
      quality_destroy (ordered);
      quality_destroy (shuffled);
    }
}
END_TEST

/* Failure: ratings count twice.  A lease holder folds closed epochs while
   another process still gossips its old cells.  The folded sums must replace
   the old cells, also in a process that receives both in the other order.  */
START_TEST (folded_epochs_do_not_count_twice)
{
  quality_t *a = make_quality (1);
  quality_t *b = make_quality (2);
  quality_t *c = make_quality (3);
  buf_t delayed_message = BUF_NULL;
  uint64_t later = START_MS + 2 * HOUR_MS;

  for (int i = 0; i < 100; i++)
    {
      quality_add_rating (a, STR ("draft"), STR ("small@1"), 0.8, START_MS);
      quality_add_rating (b, STR ("draft"), STR ("small@1"), 0.6, START_MS);
    }
  quality_write (a, true, &delayed_message);
  send_state (a, true, b, later);
  quality_compact (b, 7, later);
  send_state (b, false, c, later);
  quality_merge (c, buf_str (&delayed_message), later);
  quality_merge (b, buf_str (&delayed_message), later);
  send_state (b, false, a, later);
  ck_assert (same_state (a, b));
  ck_assert (same_state (b, c));
  quality_posterior_t bound
      = quality_estimate (c, STR ("draft"), STR ("small@1"), 0.7, START_MS);
  ck_assert_double_eq_tol (bound.weight, 200, 1e-9);
  ck_assert_double_eq_tol (bound.mean, 0.7, 1e-6);
  buf_free (&delayed_message);
  quality_destroy (a);
  quality_destroy (b);
  quality_destroy (c);
}
END_TEST

/* Failure: processes keep different folds of an epoch.  A lease changes its
   holder while the old holder still folds the epoch, and both results are
   gossiped.  The result of the later lease must replace the other one in
   either order, also in a process that already has the original cells.  */
START_TEST (fold_of_later_lease_replaces_earlier_one)
{
  quality_t *writer = make_quality (1);
  quality_t *old_holder = make_quality (2);
  quality_t *new_holder = make_quality (3);
  uint64_t later = START_MS + 2 * HOUR_MS;
  str_t task = STR ("draft");
  str_t version = STR ("small@1");

  for (int i = 0; i < 100; i++)
    quality_add_rating (writer, task, version, 0.8, START_MS);
  send_state (writer, true, old_holder, START_MS);
  for (int i = 0; i < 50; i++)
    quality_add_rating (writer, task, version, 0.8, START_MS);
  send_state (writer, true, new_holder, START_MS);
  quality_compact (old_holder, 7, later);
  quality_compact (new_holder, 8, later);
  for (int order = 0; order < 2; order++)
    {
      quality_t *receiver = make_quality (4);
      send_state (writer, true, receiver, later);
      send_state (order == 0 ? old_holder : new_holder, false, receiver,
                  later);
      send_state (order == 0 ? new_holder : old_holder, false, receiver,
                  later);
      ck_assert (same_state (receiver, new_holder));
      ck_assert_double_eq_tol (
          quality_estimate (receiver, task, version, 0.7, START_MS).weight,
          150, 1e-9);
      quality_destroy (receiver);
    }
  quality_destroy (writer);
  quality_destroy (old_holder);
  quality_destroy (new_holder);
}
END_TEST

/* Failure: a truncated or altered message of a peer changes the state.  It
   must be refused as a whole.  */
START_TEST (malformed_messages_do_not_change_state)
{
  quality_t *a = make_quality (1);
  quality_t *b = make_quality (2);
  buf_t bytes = BUF_NULL;
  rng_t rng = rng_make (17);

  for (int i = 0; i < 50; i++)
    quality_add_rating (a, STR ("draft"), STR ("small@1"), 0.8, START_MS);
  quality_write (a, false, &bytes);
  buf_append_char (&bytes, 'x');
  ck_assert_int_eq (quality_merge (b, buf_str (&bytes), START_MS),
                    VH_E_PROTOCOL);
  bytes.len--;
  for (size_t len = 0; len < bytes.len; len++)
    ck_assert_int_eq (quality_merge (b, str_make (bytes.ptr, len), START_MS),
                      VH_E_PROTOCOL);
  ck_assert_double_eq (
      quality_estimate (b, STR ("draft"), STR ("small@1"), 0.5, START_MS)
          .weight,
      0);
  for (int i = 0; i < 2000; i++)
    {
      size_t at = rng_below (&rng, bytes.len);
      char original = bytes.ptr[at];
      bytes.ptr[at] = (char)rng_u64 (&rng);
      quality_merge (b, buf_str (&bytes), START_MS);
      bytes.ptr[at] = original;
    }
  buf_free (&bytes);
  quality_destroy (a);
  quality_destroy (b);
}
END_TEST

/* Failure: sums are wrong when more cells arrive than fit in the fixed memory.
   The oldest epoch must be dropped as a whole, and the newest sums must stay
   correct.  */
START_TEST (full_memory_drops_oldest_epoch)
{
  const crdt_options_t options = { .writer = 1,
                                   .epoch_ms = 1000,
                                   .epochs = 8,
                                   .fields = 2,
                                   .keys_max = 16,
                                   .cells_max = 32 };
  crdt_t *e = crdt_create (&options);
  const int64_t sample[2] = { 0, 5 };

  for (uint64_t second = 0; second < 8; second++)
    for (uint64_t key = 1; key <= 8; key++)
      ck_assert (crdt_add (e, crdt_key_find_or_add (e, key),
                           50000 + second * 1000, sample));
  ck_assert_uint_ge (crdt_first_epoch (e), 54);
  ck_assert_ptr_null (crdt_sums (e, crdt_key_find (e, 1), 52));
  const int64_t *sums = crdt_sums (e, crdt_key_find (e, 8), 57);
  ck_assert_ptr_nonnull (sums);
  ck_assert_int_eq (sums[1], 5);
  ck_assert (!crdt_add (e, crdt_key_find (e, 1), 51000, sample));
  crdt_destroy (e);
}
END_TEST

/* Failure: the gossip sent every second grows with the stored state.  A
   message to peers must contain only the last epochs, while the full state
   contains all.  */
START_TEST (gossip_contains_recent_epochs_only)
{
  quality_t *a = make_quality (1);
  quality_t *b = make_quality (2);
  buf_t recent = BUF_NULL;
  buf_t full = BUF_NULL;
  uint64_t now = START_MS;

  for (int half_hour = 0; half_hour < 40; half_hour++, now += HOUR_MS / 2)
    {
      quality_add_rating (a, STR ("draft"), STR ("small@1"), 0.8, now);
      send_state (a, true, b, now);
    }
  quality_write (a, true, &recent);
  quality_write (a, false, &full);
  ck_assert_uint_lt (recent.len, full.len / 5);
  ck_assert (same_state (a, b));
  buf_free (&recent);
  buf_free (&full);
  quality_destroy (a);
  quality_destroy (b);
}
END_TEST

START_TEST (series_above_maximum_are_refused)
{
  quality_t *q = make_quality (1);
  char name[16];

  for (int i = 0; i < QUALITY_SERIES_MAX + 10; i++)
    {
      int len = snprintf (name, sizeof name, "v@%d", i);
      ck_assert_int_eq (quality_add_rating (q, STR ("draft"),
                                            str_make (name, (size_t)len), 0.5,
                                            START_MS),
                        i < QUALITY_SERIES_MAX);
    }
  quality_destroy (q);
}
END_TEST

/* Failure: sampling overloads the rating service.  It must stay below the
   share and the rate, and a version with many ratings must be sampled less. */
START_TEST (sampling_is_bounded)
{
  quality_t *q = make_quality (1);
  rng_t rng = rng_make (23);
  str_t task = STR ("draft");
  int few_ratings_sampled = 0;
  int many_ratings_sampled = 0;
  int burst_sampled = 0;

  for (int i = 0; i < 20000; i++)
    few_ratings_sampled += quality_should_rate (q, &rng, task, STR ("small@1"),
                                                START_MS + (uint64_t)i * 100);
  ck_assert_int_ge (few_ratings_sampled, 20000 * 4 / 100);
  ck_assert_int_le (few_ratings_sampled, 20000 * 6 / 100);
  for (int i = 0; i < 4000; i++)
    quality_add_rating (q, task, STR ("small@1"), 0.9, START_MS + 2000000);
  for (int i = 0; i < 20000; i++)
    many_ratings_sampled += quality_should_rate (
        q, &rng, task, STR ("small@1"), START_MS + 2000000 + (uint64_t)i * 10);
  ck_assert_int_le (many_ratings_sampled, few_ratings_sampled / 3);
  ck_assert_int_gt (many_ratings_sampled, 0);
  for (int i = 0; i < 100000; i++)
    burst_sampled += quality_should_rate (q, &rng, task, STR ("new@1"),
                                          START_MS + 3000000);
  ck_assert_int_le (burst_sampled, 40);
  quality_destroy (q);
}
END_TEST

START_TEST (failing_rating_service_is_paused)
{
  quality_t *q = make_quality (1);

  ck_assert (quality_is_rater_available (q, START_MS));
  for (int i = 0; i < 20; i++)
    quality_record_rater_failure (q, START_MS);
  ck_assert (!quality_is_rater_available (q, START_MS + 59000));
  ck_assert (quality_is_rater_available (q, START_MS + 61000));
  quality_record_rater_success (q);
  quality_record_rater_failure (q, START_MS);
  ck_assert (quality_is_rater_available (q, START_MS + 1000));
  quality_destroy (q);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quality");
  TCase *tcase = tcase_create ("quality");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, posterior_is_prior_without_ratings);
  tcase_add_test (tcase, lower_bound_has_stated_coverage);
  tcase_add_test (tcase, task_classes_are_independent);
  tcase_add_test (tcase, outdated_ratings_widen_bound);
  tcase_add_test (tcase, wrong_epochs_are_clipped);
  tcase_add_test (tcase, invalid_ratings_are_refused_or_clipped);
  tcase_add_test (tcase, merge_ignores_order_and_repetition);
  tcase_add_test (tcase, folded_epochs_do_not_count_twice);
  tcase_add_test (tcase, fold_of_later_lease_replaces_earlier_one);
  tcase_add_test (tcase, malformed_messages_do_not_change_state);
  tcase_add_test (tcase, full_memory_drops_oldest_epoch);
  tcase_add_test (tcase, gossip_contains_recent_epochs_only);
  tcase_add_test (tcase, series_above_maximum_are_refused);
  tcase_add_test (tcase, sampling_is_bounded);
  tcase_add_test (tcase, failing_rating_service_is_paused);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
