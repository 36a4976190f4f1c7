/* Tests of learned quality and of the mergeable sums below it.  */

#include "base/rng.h"
#include "policy/crdt.h"
#include "policy/quality.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define HOUR_MS ((uint64_t)60 * 60 * 1000)
#define START_MS ((uint64_t)1700000000000)

/* A rating around MEAN, spread 0.15, within 0 and 1.  */
static double
rating_near (rng_t *rng, double mean)
{
  double noise = rng_double (rng) + rng_double (rng) + rng_double (rng) - 1.5;

  return fmax (0, fmin (1, mean + 0.3 * noise));
}

static quality_t *
make (uint64_t writer)
{
  return quality_create (writer, &QUALITY_SAMPLING_DEFAULT);
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
deliver (const quality_t *from, bool own_only, quality_t *to, uint64_t now_ms)
{
  buf_t bytes = BUF_NULL;

  quality_write (from, own_only, &bytes);
  ck_assert_int_eq (quality_merge (to, buf_str (&bytes), now_ms), VH_OK);
  buf_free (&bytes);
}

START_TEST (prior_alone_before_evidence)
{
  quality_t *q = make (1);
  quality_bound_t b
      = quality_estimate (q, STR ("draft"), STR ("small@1"), 0.7, START_MS);

  ck_assert_double_eq_tol (b.mean, 0.7, 1e-9);
  ck_assert_double_lt (b.lower, 0.5);
  ck_assert_double_eq (b.weight, 0);
  quality_destroy (q);
}
END_TEST

/* The lower bound is said to hold 95 times in 100.  Over many seeds and
   several counts of ratings the true mean must lie below it in about 5%, and
   never in more than 8%.  */
START_TEST (lower_bound_covers_the_mean)
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
          /* The prior is right on average only.  */
          double prior = 0.55 + 0.4 * rng_double (&rng);
          quality_bound_t b = quality_posterior (
              counts[c], sum, squares, prior, QUALITY_PRIOR_VARIANCE);
          missed += b.lower > 0.75;
        }
      ck_assert_int_le (missed, SEEDS * 8 / 100);
    }
}
END_TEST

START_TEST (task_classes_are_apart)
{
  quality_t *q = make (1);
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

/* The rating service stops for a day.  A version that was well known must be
   trusted less and less, and its bound fall towards the prior's, while its
   mean does not jump.  */
START_TEST (stale_evidence_widens_the_bound)
{
  quality_t *q = make (1);
  rng_t rng = rng_make (5);
  str_t task = STR ("draft");
  str_t version = STR ("small@1");

  for (int i = 0; i < 400; i++)
    quality_add_rating (q, task, version, rating_near (&rng, 0.9), START_MS);
  quality_bound_t before = quality_estimate (q, task, version, 0.6, START_MS);
  double width = before.mean - before.lower;
  for (int hour = 6; hour <= 23; hour += 6)
    {
      quality_bound_t b = quality_estimate (
          q, task, version, 0.6, START_MS + (uint64_t)hour * HOUR_MS);
      ck_assert_double_gt (b.mean - b.lower, width * 1.2);
      ck_assert_double_eq_tol (b.mean, before.mean, 0.06);
      width = b.mean - b.lower;
    }
  quality_bound_t gone
      = quality_estimate (q, task, version, 0.6, START_MS + 30 * HOUR_MS);
  ck_assert_double_eq (gone.weight, 0);
  ck_assert_double_eq_tol (gone.mean, 0.6, 1e-9);
  quality_destroy (q);
}
END_TEST

/* For one hour the rating service answers 0 to everything, at five times the
   usual rate.  The posterior of a good version may sink by the clip at most
   and must come back within hours.  */
START_TEST (wrong_batch_is_clipped)
{
  quality_t *q = make (1);
  rng_t rng = rng_make (8);
  str_t task = STR ("draft");
  str_t version = STR ("small@1");
  uint64_t now = START_MS;

  for (int half = 0; half < 12; half++, now += HOUR_MS / 2)
    for (int i = 0; i < 60; i++)
      quality_add_rating (q, task, version, rating_near (&rng, 0.9), now);
  for (int half = 0; half < 2; half++, now += HOUR_MS / 2)
    for (int i = 0; i < 300; i++)
      quality_add_rating (q, task, version, 0, now);
  quality_bound_t wrong = quality_estimate (q, task, version, 0.6, now);
  ck_assert_double_gt (wrong.mean, 0.9 - QUALITY_CLIP_DISTANCE);
  for (int half = 0; half < 12; half++, now += HOUR_MS / 2)
    for (int i = 0; i < 60; i++)
      quality_add_rating (q, task, version, rating_near (&rng, 0.9), now);
  ck_assert_double_gt (quality_estimate (q, task, version, 0.6, now).mean,
                       0.8);
  quality_destroy (q);
}
END_TEST

START_TEST (nonsense_ratings_are_refused_or_clipped)
{
  quality_t *q = make (1);
  str_t task = STR ("draft");
  str_t version = STR ("small@1");

  ck_assert (!quality_add_rating (q, task, version, NAN, START_MS));
  ck_assert (quality_add_rating (q, task, version, 1e12, START_MS));
  ck_assert (quality_add_rating (q, task, version, -INFINITY, START_MS));
  quality_bound_t b = quality_estimate (q, task, version, 0.5, START_MS);
  ck_assert_double_eq_tol (b.mean, 0.5, 1e-6);
  quality_destroy (q);
}
END_TEST

/* Entries gossip late, twice and in any order.  Whatever the order and
   however often each message arrives, all must end in the same state, byte
   for byte, and it must hold each rating once.  */
START_TEST (merge_order_and_redelivery_do_not_matter)
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
        writers[w] = make (w + 1);
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
      quality_t *ordered = make (90);
      quality_t *shuffled = make (91);
      for (int m = 0; m < MESSAGES; m++)
        quality_merge (ordered, buf_str (&messages[m]), START_MS);
      for (int m = 0; m < MESSAGES * 4; m++)
        quality_merge (shuffled,
                       buf_str (&messages[rng_below (&rng, MESSAGES)]),
                       START_MS);
      for (int m = MESSAGES - 1; m >= 0; m--)
        quality_merge (shuffled, buf_str (&messages[m]), START_MS);
      ck_assert (same_state (ordered, shuffled));
      quality_bound_t b = quality_estimate (shuffled, STR ("draft"),
                                            STR ("small@1"), 0.5, START_MS);
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

/* A lease holder folds closed epochs while an entry still gossips its old
   cells.  The folded sums must win, the old cells must not count again, and
   a process that learns things in the other order must agree.  */
START_TEST (settled_epochs_do_not_count_twice)
{
  quality_t *a = make (1);
  quality_t *b = make (2);
  quality_t *c = make (3);
  buf_t late = BUF_NULL;
  uint64_t later = START_MS + 2 * HOUR_MS;

  for (int i = 0; i < 100; i++)
    {
      quality_add_rating (a, STR ("draft"), STR ("small@1"), 0.8, START_MS);
      quality_add_rating (b, STR ("draft"), STR ("small@1"), 0.6, START_MS);
    }
  quality_write (a, true, &late);
  deliver (a, true, b, later);
  quality_fold_epochs (b, 7, later);
  deliver (b, false, c, later);
  quality_merge (c, buf_str (&late), later);
  quality_merge (b, buf_str (&late), later);
  deliver (b, false, a, later);
  ck_assert (same_state (a, b));
  ck_assert (same_state (b, c));
  quality_bound_t bound
      = quality_estimate (c, STR ("draft"), STR ("small@1"), 0.7, START_MS);
  ck_assert_double_eq_tol (bound.weight, 200, 1e-9);
  ck_assert_double_eq_tol (bound.mean, 0.7, 1e-6);
  buf_free (&late);
  quality_destroy (a);
  quality_destroy (b);
  quality_destroy (c);
}
END_TEST

/* A lease passes on while its old holder still folds an epoch.  Both results
   travel; the later lease's must win in whatever order they arrive, also
   where the writers' own cells were known before.  */
START_TEST (later_lease_wins)
{
  quality_t *writer = make (1);
  quality_t *old = make (2);
  quality_t *next = make (3);
  uint64_t later = START_MS + 2 * HOUR_MS;
  str_t task = STR ("draft");
  str_t version = STR ("small@1");

  for (int i = 0; i < 100; i++)
    quality_add_rating (writer, task, version, 0.8, START_MS);
  deliver (writer, true, old, START_MS);
  for (int i = 0; i < 50; i++)
    quality_add_rating (writer, task, version, 0.8, START_MS);
  deliver (writer, true, next, START_MS);
  quality_fold_epochs (old, 7, later);
  quality_fold_epochs (next, 8, later);
  for (int order = 0; order < 2; order++)
    {
      quality_t *seen = make (4);
      deliver (writer, true, seen, later);
      deliver (order == 0 ? old : next, false, seen, later);
      deliver (order == 0 ? next : old, false, seen, later);
      ck_assert (same_state (seen, next));
      ck_assert_double_eq_tol (
          quality_estimate (seen, task, version, 0.7, START_MS).weight, 150,
          1e-9);
      quality_destroy (seen);
    }
  quality_destroy (writer);
  quality_destroy (old);
  quality_destroy (next);
}
END_TEST

/* A peer sends a cut or altered message.  It is refused whole; what was
   known stays.  */
START_TEST (malformed_messages_change_nothing)
{
  quality_t *a = make (1);
  quality_t *b = make (2);
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
      char kept = bytes.ptr[at];
      bytes.ptr[at] = (char)rng_u64 (&rng);
      quality_merge (b, buf_str (&bytes), START_MS);
      bytes.ptr[at] = kept;
    }
  buf_free (&bytes);
  quality_destroy (a);
  quality_destroy (b);
}
END_TEST

/* Memory is fixed: more cells than fit must forget the oldest epoch whole
   and keep the newest sums right.  */
START_TEST (full_cells_forget_the_oldest_epoch)
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

/* Entries gossip every second.  What they send must not grow with what they
   keep: a message for peers holds the last epochs, the whole state all.  */
START_TEST (gossip_holds_the_news_only)
{
  quality_t *a = make (1);
  quality_t *b = make (2);
  buf_t news = BUF_NULL;
  buf_t all = BUF_NULL;
  uint64_t now = START_MS;

  for (int half = 0; half < 40; half++, now += HOUR_MS / 2)
    {
      quality_add_rating (a, STR ("draft"), STR ("small@1"), 0.8, now);
      deliver (a, true, b, now);
    }
  quality_write (a, true, &news);
  quality_write (a, false, &all);
  ck_assert_uint_lt (news.len, all.len / 5);
  ck_assert (same_state (a, b));
  buf_free (&news);
  buf_free (&all);
  quality_destroy (a);
  quality_destroy (b);
}
END_TEST

START_TEST (keys_beyond_the_most_are_refused)
{
  quality_t *q = make (1);
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

/* The sampling rule: never above the share, never above the rate, and a
   version that is well known takes less of the rating service.  */
START_TEST (sampling_is_bounded)
{
  quality_t *q = make (1);
  rng_t rng = rng_make (23);
  str_t task = STR ("draft");
  int first = 0;
  int second = 0;
  int burst = 0;

  for (int i = 0; i < 20000; i++)
    first += quality_should_rate (q, &rng, task, STR ("small@1"),
                                  START_MS + (uint64_t)i * 100);
  ck_assert_int_ge (first, 20000 * 4 / 100);
  ck_assert_int_le (first, 20000 * 6 / 100);
  for (int i = 0; i < 4000; i++)
    quality_add_rating (q, task, STR ("small@1"), 0.9, START_MS + 2000000);
  for (int i = 0; i < 20000; i++)
    second += quality_should_rate (q, &rng, task, STR ("small@1"),
                                   START_MS + 2000000 + (uint64_t)i * 10);
  ck_assert_int_le (second, first / 3);
  ck_assert_int_gt (second, 0);
  for (int i = 0; i < 100000; i++)
    burst += quality_should_rate (q, &rng, task, STR ("new@1"),
                                  START_MS + 3000000);
  ck_assert_int_le (burst, 40);
  quality_destroy (q);
}
END_TEST

START_TEST (failing_rater_is_left_alone)
{
  quality_t *q = make (1);

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
  tcase_add_test (tcase, prior_alone_before_evidence);
  tcase_add_test (tcase, lower_bound_covers_the_mean);
  tcase_add_test (tcase, task_classes_are_apart);
  tcase_add_test (tcase, stale_evidence_widens_the_bound);
  tcase_add_test (tcase, wrong_batch_is_clipped);
  tcase_add_test (tcase, nonsense_ratings_are_refused_or_clipped);
  tcase_add_test (tcase, merge_order_and_redelivery_do_not_matter);
  tcase_add_test (tcase, settled_epochs_do_not_count_twice);
  tcase_add_test (tcase, later_lease_wins);
  tcase_add_test (tcase, malformed_messages_change_nothing);
  tcase_add_test (tcase, full_cells_forget_the_oldest_epoch);
  tcase_add_test (tcase, gossip_holds_the_news_only);
  tcase_add_test (tcase, keys_beyond_the_most_are_refused);
  tcase_add_test (tcase, sampling_is_bounded);
  tcase_add_test (tcase, failing_rater_is_left_alone);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
