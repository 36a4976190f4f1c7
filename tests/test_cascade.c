/* Tests of the plans of the cascade and of the curves that it learns.  */

#include "base/rng.h"
#include "policy/cascade.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define START_MS ((uint64_t)1700000000000)

static quality_posterior_t
bound (double mean, double half)
{
  return (quality_posterior_t){ mean, mean - half, mean + half, 400 };
}

/* Store three versions with many ratings: small, medium and large.  */
static void
known_candidates (cascade_candidate_t out[3])
{
  out[0]
      = (cascade_candidate_t){ STR ("small@1"), 1, bound (0.75, 0.01), 400 };
  out[1]
      = (cascade_candidate_t){ STR ("medium@1"), 4, bound (0.88, 0.01), 900 };
  out[2]
      = (cascade_candidate_t){ STR ("large@1"), 15, bound (0.95, 0.01), 2000 };
}

static cascade_request_t
make_request (const cascade_candidate_t *candidates, size_t count,
              double target)
{
  return (cascade_request_t){ .task = STR ("draft"),
                              .candidates = candidates,
                              .candidate_count = count,
                              .target = target,
                              .deadline_left_ms = 30000,
                              .rating_cost = 0.3,
                              .rating_latency_ms = 150,
                              .is_rater_available = true };
}

/* Without any learned curve all plans are direct.  Each case gives the target,
   the deadline, the preference and the expected choice and reason.  */
START_TEST (direct_plans_without_curves)
{
  static const struct
  {
    double target;
    uint64_t deadline_ms;
    cascade_prefer_t prefer;
    size_t first;
    cascade_reason_t reason;
  } cases[] = {
    { 0.5, 30000, CASCADE_PREFER_COST, 0, CASCADE_REASON_CHEAPEST },
    { 0.74, 30000, CASCADE_PREFER_COST, 0, CASCADE_REASON_CHEAPEST },
    { 0.75, 30000, CASCADE_PREFER_COST, 1, CASCADE_REASON_CHEAPEST },
    { 0.9, 30000, CASCADE_PREFER_COST, 2, CASCADE_REASON_CHEAPEST },
    { 0.9, 30000, CASCADE_PREFER_LATENCY, 2, CASCADE_REASON_FASTEST },
    { 0.8, 30000, CASCADE_PREFER_LATENCY, 1, CASCADE_REASON_FASTEST },
    { 0.97, 30000, CASCADE_PREFER_COST, 2, CASCADE_REASON_NO_BOUND },
    { 0.9, 1500, CASCADE_PREFER_COST, 1, CASCADE_REASON_DEADLINE },
    { 0.9, 300, CASCADE_PREFER_COST, 0, CASCADE_REASON_TOO_LATE },
  };
  cascade_candidate_t candidates[3];
  cascade_t *c = cascade_create (1);
  rng_t rng = rng_make (1);

  known_candidates (candidates);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      cascade_request_t r = make_request (candidates, 3, cases[i].target);
      r.deadline_left_ms = cases[i].deadline_ms;
      r.preference = cases[i].prefer;
      cascade_plan_t plan = cascade_plan (c, &rng, &r, START_MS);
      ck_assert_int_eq (plan.kind, CASCADE_DIRECT);
      ck_assert_msg (plan.first == cases[i].first, "case %zu: chose %zu", i,
                     plan.first);
      ck_assert_msg (plan.reason == cases[i].reason, "case %zu: %s", i,
                     cascade_reason_code (plan.reason));
    }
  ck_assert_uint_eq (cascade_reason_count (c, CASCADE_REASON_CHEAPEST), 4);
  candidates[0].latency_ms = 1200;
  cascade_request_t fast = make_request (candidates, 3, 0.7);
  ck_assert_uint_eq (cascade_plan (c, &rng, &fast, START_MS).first, 0);
  fast.preference = CASCADE_PREFER_LATENCY;
  ck_assert_uint_eq (cascade_plan (c, &rng, &fast, START_MS).first, 1);
  cascade_request_t none = make_request (candidates, 0, 0.9);
  ck_assert_int_eq (cascade_plan (c, &rng, &none, START_MS).kind,
                    CASCADE_NONE);
  cascade_request_t one = make_request (candidates, 1, 0.9);
  ck_assert_int_eq (cascade_plan (c, &rng, &one, START_MS).reason,
                    CASCADE_REASON_SINGLE_VERSION);
  cascade_destroy (c);
}
END_TEST

/* Record ratings in C by which half of the requests are easy: small@1 has a
   quality of 0.95 for these and 0.55 for the hard ones, large@1 of 0.95 for
   all.  The ratings have a noise of 0.05.  */
static void
record_ratings (cascade_t *c, rng_t *rng, int requests, uint64_t now_ms)
{
  for (int i = 0; i < requests; i++)
    {
      double truth = rng_below (rng, 2) == 0 ? 0.95 : 0.55;
      double rating = truth + 0.1 * (rng_double (rng) - 0.5);
      double audit = truth + 0.1 * (rng_double (rng) - 0.5);
      double second = 0.95 + 0.1 * (rng_double (rng) - 0.5);
      cascade_record_first (c, STR ("draft"), STR ("small@1"), rating, audit,
                            now_ms);
      if (rating < 0.9)
        cascade_record_second (c, STR ("draft"), STR ("small@1"),
                               STR ("large@1"), rating, second, now_ms);
    }
}

/* Failure: every request pays for the large version, although the target lies
   between the small and the large one.  The cascade must escalate only the
   hard half, at an expected cost of about half of the large version.  */
START_TEST (cascade_is_used_when_cheaper)
{
  cascade_candidate_t candidates[3];
  cascade_t *c = cascade_create (1);
  rng_t rng = rng_make (2);

  known_candidates (candidates);
  record_ratings (c, &rng, 1000, START_MS);
  cascade_request_t r = make_request (candidates, 3, 0.92);
  cascade_plan_t plan = cascade_plan (c, &rng, &r, START_MS);
  ck_assert_int_eq (plan.kind, CASCADE_TWO_STAGE);
  ck_assert_int_eq (plan.reason, CASCADE_REASON_TWO_STAGE);
  ck_assert_uint_eq (plan.first, 0);
  ck_assert_uint_eq (plan.second, 2);
  ck_assert_double_gt (plan.threshold, 0.55);
  ck_assert_double_lt (plan.threshold, 0.9);
  ck_assert_double_ge (plan.quality_lower, 0.92 - 1e-9);
  ck_assert_double_lt (plan.cost, 10);
  /* The cost includes the first attempt, its rating and the second attempt. */
  ck_assert_double_gt (plan.cost, 1 + 0.3 + 0.4 * 15);
  cascade_destroy (c);
}
END_TEST

/* A lower target releases more of the doubtful answers and costs less.  */
START_TEST (cost_follows_target)
{
  cascade_candidate_t candidates[3];
  cascade_t *c = cascade_create (1);
  rng_t rng = rng_make (2);
  double cost = 0;

  known_candidates (candidates);
  candidates[1].cost = 14;
  record_ratings (c, &rng, 2000, START_MS);
  for (double target = 0.78; target < 0.93; target += 0.02)
    {
      cascade_request_t r = make_request (candidates, 3, target);
      cascade_plan_t plan = cascade_plan (c, &rng, &r, START_MS);
      ck_assert_int_eq (plan.kind, CASCADE_TWO_STAGE);
      ck_assert_double_ge (plan.cost, cost);
      cost = plan.cost;
    }
  cascade_destroy (c);
}
END_TEST

/* A cascade would be cheaper, but the deadline, the first byte or the rating
   service prevents it.  */
START_TEST (no_cascade_without_time_or_rater)
{
  cascade_candidate_t candidates[3];
  cascade_t *c = cascade_create (1);
  rng_t rng = rng_make (2);

  known_candidates (candidates);
  record_ratings (c, &rng, 1000, START_MS);
  cascade_request_t r = make_request (candidates, 3, 0.92);
  r.explore_cost_share = 1;
  r.deadline_left_ms = 2600;
  cascade_plan_t plan = cascade_plan (c, &rng, &r, START_MS);
  ck_assert_int_eq (plan.kind, CASCADE_DIRECT);
  ck_assert_uint_eq (plan.first, 2);
  ck_assert_int_ne (plan.reason, CASCADE_REASON_EXPLORE);

  r.explore_cost_share = 0;
  r.deadline_left_ms = 30000;
  r.is_streaming = true;
  r.first_byte_ms = 500;
  plan = cascade_plan (c, &rng, &r, START_MS);
  ck_assert_int_eq (plan.kind, CASCADE_DIRECT);
  r.first_byte_ms = 600;
  plan = cascade_plan (c, &rng, &r, START_MS);
  ck_assert_int_eq (plan.kind, CASCADE_TWO_STAGE);

  r.is_streaming = false;
  r.is_rater_available = false;
  plan = cascade_plan (c, &rng, &r, START_MS);
  ck_assert_int_eq (plan.kind, CASCADE_DIRECT);
  ck_assert_uint_eq (plan.first, 2);
  cascade_destroy (c);
}
END_TEST

START_TEST (reason_names_obstacle)
{
  cascade_candidate_t candidates[3];
  cascade_t *c = cascade_create (1);
  rng_t rng = rng_make (2);

  known_candidates (candidates);
  cascade_request_t r = make_request (candidates, 3, 0.99);
  r.is_rater_available = false;
  ck_assert_int_eq (cascade_plan (c, &rng, &r, START_MS).reason,
                    CASCADE_REASON_RATER_DOWN);
  r.is_rater_available = true;
  r.is_streaming = true;
  ck_assert_int_eq (cascade_plan (c, &rng, &r, START_MS).reason,
                    CASCADE_REASON_STREAMING);
  for (int i = 0; i < CASCADE_REASON_COUNT; i++)
    ck_assert_uint_gt (strlen (cascade_reason_sentence ((cascade_reason_t)i)),
                       10);
  cascade_destroy (c);
}
END_TEST

/* Failure: exploration costs more than its share, delays requests with a short
   deadline, or releases answers rated below the target.  */
START_TEST (exploration_cost_is_bounded)
{
  enum
  {
    REQUESTS = 20000
  };
  cascade_candidate_t candidates[3];
  cascade_t *c = cascade_create (1);
  rng_t rng = rng_make (5);
  double extra = 0;
  double base = 0;
  int explored = 0;

  known_candidates (candidates);
  cascade_request_t r = make_request (candidates, 3, 0.9);
  r.explore_cost_share = 0.02;
  for (int i = 0; i < REQUESTS; i++)
    {
      cascade_plan_t plan = cascade_plan (c, &rng, &r, START_MS);
      base += 15;
      extra += plan.cost - 15;
      explored += plan.reason == CASCADE_REASON_EXPLORE;
      if (plan.reason == CASCADE_REASON_EXPLORE
          && plan.kind == CASCADE_TWO_STAGE)
        {
          ck_assert_double_ge (plan.threshold, 0.9);
          ck_assert_uint_eq (plan.second, 2);
        }
    }
  ck_assert_double_le (extra, 0.02 * base);
  ck_assert_double_ge (extra, 0.01 * base);
  ck_assert_int_le (explored, REQUESTS / 4);
  r.deadline_left_ms = 2500;
  for (int i = 0; i < REQUESTS; i++)
    ck_assert_int_ne (cascade_plan (c, &rng, &r, START_MS).reason,
                      CASCADE_REASON_EXPLORE);
  cascade_destroy (c);
}
END_TEST

/* A simulation with a share of easy requests, which only the ratings reveal.
   Nothing is known at first.  After some thousand requests the quality must
   meet the target, at no more than half of the cost of the large version
   alone.  Where four requests in five are hard, the cost may be 15% above that
   of a cascade that knows which requests to escalate (0.717).  */
typedef struct
{
  double easy;
  double target;
  double quality;
  double cost; /* Mean cost relative to the strongest version alone.  */
} simulation_t;

static double
answer_quality (rng_t *rng, size_t version, bool easy)
{
  static const double means[3][2]
      = { { 0.55, 0.93 }, { 0.8, 0.95 }, { 0.92, 0.96 } };

  return means[version][easy] + 0.06 * (rng_double (rng) - 0.5);
}

/* Return a rating: the share of twenty checks that are met, each with
   probability TRUTH.  */
static double
rate (rng_t *rng, double truth)
{
  int met = 0;

  for (int i = 0; i < 20; i++)
    met += rng_double (rng) < truth;
  return met / 20.0;
}

static void
simulate (simulation_t *simulation, int requests, int warmup, uint64_t seed)
{
  static const double costs[3] = { 1, 4, 15 };
  static const char *const names[3] = { "small@1", "medium@1", "large@1" };
  static const double priors[3] = { 0.6, 0.7, 0.8 };
  cascade_t *c = cascade_create (seed + 1);
  quality_t *q = quality_create (seed + 1, &QUALITY_SAMPLING_DEFAULTS);
  rng_t rng = rng_make (seed);
  uint64_t now = START_MS;
  double quality = 0;
  double cost = 0;

  for (int i = 0; i < warmup + requests; i++, now += 100)
    {
      bool easy = rng_double (&rng) < simulation->easy;
      double request_cost = 0;
      double true_quality;
      cascade_candidate_t candidates[3];
      known_candidates (candidates);
      for (size_t v = 0; v < 3; v++)
        candidates[v].quality = quality_estimate (
            q, STR ("draft"), str_from (names[v]), priors[v], now);
      cascade_request_t r = make_request (candidates, 3, simulation->target);
      r.explore_cost_share = CASCADE_EXPLORE_COST_SHARE;
      cascade_plan_t plan = cascade_plan (c, &rng, &r, now);
      str_t first = str_from (names[plan.first]);
      true_quality = answer_quality (&rng, plan.first, easy);
      request_cost += costs[plan.first];
      if (plan.kind == CASCADE_TWO_STAGE)
        {
          double rating = rate (&rng, true_quality);
          double audit = plan.is_audited ? rate (&rng, true_quality) : NAN;
          request_cost += 0.3 + (plan.is_audited ? 0.3 : 0);
          cascade_record_first (c, STR ("draft"), first, rating, audit, now);
          quality_add_rating (q, STR ("draft"), first, rating, now);
          if (rating < plan.threshold)
            {
              true_quality = answer_quality (&rng, plan.second, easy);
              request_cost += costs[plan.second] + (plan.is_audited ? 0.3 : 0);
              if (plan.is_audited)
                cascade_record_second (c, STR ("draft"), first,
                                       str_from (names[plan.second]), rating,
                                       rate (&rng, true_quality), now);
            }
        }
      else if (plan.is_audited
               || quality_should_rate (q, &rng, STR ("draft"), first, now))
        {
          quality_add_rating (q, STR ("draft"), first,
                              rate (&rng, true_quality), now);
          request_cost += 0.3;
        }
      if (i >= warmup)
        {
          quality += true_quality;
          cost += request_cost;
        }
    }
  simulation->quality = quality / requests;
  simulation->cost = cost / requests / 15;
  cascade_destroy (c);
  quality_destroy (q);
}

START_TEST (learned_plans_meet_target)
{
  for (uint64_t seed = 0; seed < 5; seed++)
    for (double easy = 0.2; easy < 0.9; easy += 0.3)
      {
        double strongest = 0.92 + 0.04 * easy;
        simulation_t simulation = { .easy = easy, .target = 0.95 * strongest };
        simulate (&simulation, 20000, 5000, seed);
        ck_assert_msg (simulation.quality >= simulation.target - 0.003,
                       "easy %g seed %d: quality %g under %g", easy, (int)seed,
                       simulation.quality, simulation.target);
        ck_assert_msg (simulation.cost <= (easy < 0.4 ? 0.825 : 0.5),
                       "easy %g seed %d: cost %g", easy, (int)seed,
                       simulation.cost);
      }
}
END_TEST

/* Failure: the strongest version is never used.  A version of medium quality
   has many good ratings, and the prior of the strongest version is lower.  The
   strongest version must be used, with each answer rated, until it has enough
   ratings.  */
START_TEST (strongest_version_without_ratings_is_used)
{
  cascade_candidate_t candidates[3];
  cascade_t *c = cascade_create (1);
  rng_t rng = rng_make (2);

  known_candidates (candidates);
  candidates[2].quality
      = quality_posterior (0, 0, 0, 0.8, QUALITY_PRIOR_VARIANCE);
  cascade_request_t r = make_request (candidates, 3, 0.9);
  cascade_plan_t plan = cascade_plan (c, &rng, &r, START_MS);
  ck_assert_uint_eq (plan.first, 2);
  ck_assert (plan.is_audited);
  candidates[2].quality
      = quality_posterior (60, 36, 22, 0.8, QUALITY_PRIOR_VARIANCE);
  plan = cascade_plan (c, &rng, &r, START_MS);
  ck_assert_uint_eq (plan.first, 1);
  ck_assert (!plan.is_audited);
  cascade_destroy (c);
}
END_TEST

/* Failure: the learned curves are lost at a restart, or count twice when they
   are received twice by gossip.  */
START_TEST (learned_state_survives_restart_and_merge)
{
  cascade_candidate_t candidates[3];
  cascade_t *a = cascade_create (1);
  cascade_t *b = cascade_create (2);
  rng_t rng = rng_make (2);
  buf_t bytes = BUF_NULL;
  buf_t again = BUF_NULL;

  known_candidates (candidates);
  record_ratings (a, &rng, 1000, START_MS);
  cascade_write (a, false, &bytes);
  ck_assert_int_eq (cascade_merge (b, buf_str (&bytes), START_MS), VH_OK);
  ck_assert_int_eq (cascade_merge (b, buf_str (&bytes), START_MS), VH_OK);
  cascade_write (b, false, &again);
  ck_assert (str_eq (buf_str (&bytes), buf_str (&again)));
  cascade_request_t r = make_request (candidates, 3, 0.92);
  cascade_plan_t left = cascade_plan (a, &rng, &r, START_MS);
  cascade_plan_t right = cascade_plan (b, &rng, &r, START_MS);
  ck_assert_int_eq (left.kind, CASCADE_TWO_STAGE);
  ck_assert_int_eq (right.kind, CASCADE_TWO_STAGE);
  ck_assert_double_eq (left.threshold, right.threshold);
  ck_assert_int_eq (
      cascade_merge (b, str_make (bytes.ptr, bytes.len - 1), START_MS),
      VH_E_PROTOCOL);
  buf_free (&bytes);
  buf_free (&again);
  cascade_destroy (a);
  cascade_destroy (b);
}
END_TEST

/* Failure: a threshold stays in use that no recent rating supports.  After a
   day without ratings the curve is forgotten and the plans are direct.  */
START_TEST (stale_curve_is_not_used)
{
  cascade_candidate_t candidates[3];
  cascade_t *c = cascade_create (1);
  rng_t rng = rng_make (2);

  known_candidates (candidates);
  record_ratings (c, &rng, 1000, START_MS);
  cascade_request_t r = make_request (candidates, 3, 0.92);
  cascade_plan_t plan
      = cascade_plan (c, &rng, &r, START_MS + (uint64_t)26 * 3600 * 1000);
  ck_assert_int_eq (plan.kind, CASCADE_DIRECT);
  ck_assert_uint_eq (plan.first, 2);
  cascade_destroy (c);

  /* Ratings decay gradually: a curve with just enough ratings has too few half
     a day later.  */
  c = cascade_create (1);
  record_ratings (c, &rng, 200, START_MS);
  ck_assert_int_eq (cascade_plan (c, &rng, &r, START_MS).kind,
                    CASCADE_TWO_STAGE);
  plan = cascade_plan (c, &rng, &r, START_MS + (uint64_t)12 * 3600 * 1000);
  ck_assert_int_eq (plan.kind, CASCADE_DIRECT);
  cascade_destroy (c);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cascade");
  TCase *tcase = tcase_create ("cascade");

  tcase_set_timeout (tcase, 110);
  tcase_add_test (tcase, direct_plans_without_curves);
  tcase_add_test (tcase, cascade_is_used_when_cheaper);
  tcase_add_test (tcase, cost_follows_target);
  tcase_add_test (tcase, no_cascade_without_time_or_rater);
  tcase_add_test (tcase, reason_names_obstacle);
  tcase_add_test (tcase, exploration_cost_is_bounded);
  tcase_add_test (tcase, learned_plans_meet_target);
  tcase_add_test (tcase, strongest_version_without_ratings_is_used);
  tcase_add_test (tcase, learned_state_survives_restart_and_merge);
  tcase_add_test (tcase, stale_curve_is_not_used);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
