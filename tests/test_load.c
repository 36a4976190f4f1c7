/* Tests of the policy package on simulated load patterns, judged by the
   responses that clients receive.  Each test compares the package with the
   baseline of bench/model.h on the same arrivals.  Each pattern runs with
   several seeds, and the bounds hold for every seed.  */

#include "model.h"

#include "suite.h"

#include <stdio.h>

enum
{
  SEEDS = 3,
  /* For patterns with a single cold engine, whose results vary more between
     seeds.  */
  COLD_ENGINE_SEEDS = 10
};

typedef struct
{
  model_result_t baseline;
  model_result_t policy;
} comparison_t;

static pattern_t
parse_pattern (const char *text)
{
  pattern_t p;

  ck_assert_msg (pattern_parse (str_from (text), &p), "%s", text);
  return p;
}

/* Run the pattern TEXT with SEED by the baseline and by the policy package. */
static comparison_t
run (const char *text, uint64_t seed)
{
  pattern_t p = parse_pattern (text);

  return (comparison_t){ model_run (&p, seed, false),
                         model_run (&p, seed, true) };
}

static double
ratio (uint64_t count, uint64_t all)
{
  return (double)count / (double)all;
}

static double
answered_ratio (const model_result_t *out)
{
  return ratio (out->answered, out->requests);
}

/* Check the bounds that hold for every pattern: no response is sent after the
   deadline, and at most the share MAX_WASTED of the requests waits and then
   fails.  */
static void
check_common_bounds (const comparison_t *result, uint64_t seed,
                     double max_wasted)
{
  const model_result_t *policy = &result->policy;

  ck_assert_uint_eq (policy->answered_late, 0);
  ck_assert_msg (ratio (policy->timed_out + policy->failed, policy->requests)
                     <= max_wasted,
                 "seed %lu: %lu of %lu requests waited and then failed", seed,
                 policy->timed_out + policy->failed, policy->requests);
}

#define CHECK(condition)                                                      \
  ck_assert_msg (condition, "seed %lu: %s", seed, #condition)

/* Failure: a burst delays requests that arrive after the burst.  Ten times the
   capacity arrives for ten seconds.  Engines of the baseline accept all of the
   requests, slow down, and are still working on them seconds later.  */
START_TEST (burst_delays_later_requests)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("burst", seed);

      check_common_bounds (&result, seed, 0.03);
      CHECK (result.policy.goodput_units_per_s
             > result.baseline.goodput_units_per_s * 1.3);
      CHECK (result.policy.after_event_p99_ms < 1500);
      CHECK (result.baseline.after_event_p99_ms > 4000);
      CHECK (result.policy.quiet_answered > 0.95);
    }
}
END_TEST

/* Failure: an overloading team takes capacity from the other teams.  One of
   ten teams sends half of the requests at 1.2 times the capacity, and the
   baseline serves all requests in order of arrival.  */
START_TEST (hot_team_starves_other_teams)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("hot-team", seed);

      check_common_bounds (&result, seed, 0.02);
      CHECK (result.policy.unfairness < 0.05);
      CHECK (result.baseline.unfairness > 0.3);
      CHECK (result.policy.quiet_answered > 0.99);
      CHECK (result.policy.quiet_p99_ms < 2500);
      CHECK (result.policy.goodput_units_per_s
             > 0.85 * 20 * 8 * MODEL_SLOT_UNITS_PER_S);
    }
}
END_TEST

/* Failure: a frequent prompt prefix overloads one engine.  Half of the
   requests share a prefix, and the baseline selects the engine by the hash of
   the prefix.  */
START_TEST (hot_prefix_overloads_one_engine)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("hot-prefix", seed);

      check_common_bounds (&result, seed, 0.01);
      CHECK (answered_ratio (&result.policy) > 0.99);
      CHECK (answered_ratio (&result.baseline) < 0.7);
      CHECK (result.policy.short_p99_ms < 1500);
    }
}
END_TEST

/* Failure: requests with the same prefix are spread over the engines and miss
   the prefix cache.  The engines can serve this load only with cache
   hits.  */
START_TEST (same_prefix_misses_cache)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result
          = run ("hot-prefix,load=1.3,hot_prefix=0.1,prefixes=60", seed);

      CHECK (answered_ratio (&result.policy) > 0.99);
    }
}
END_TEST

/* Failure: a slow upstream keeps its full share of the requests.  One upstream
   in twenty takes five times as long, and one client in twenty of the baseline
   waits for it.  */
START_TEST (slow_upstream_delays_requests)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("slow-upstream", seed);

      check_common_bounds (&result, seed, 0.005);
      CHECK (answered_ratio (&result.policy) > 0.99);
      CHECK (result.policy.short_p99_ms < 3000);
      CHECK (result.baseline.short_p99_ms > 4900);
      CHECK (result.policy.bad_attempt_share < 0.02);
    }
}
END_TEST

/* Failure: an upstream that fails fast attracts traffic.  One upstream returns
   errors at once and therefore always has the lowest load, so least-loaded
   balancing would prefer it.  */
START_TEST (fast_failing_upstream_attracts_traffic)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("fail-fast", seed);

      check_common_bounds (&result, seed, 0.002);
      CHECK (answered_ratio (&result.policy) > 0.995);
      CHECK (result.policy.bad_attempt_share < 0.01);
    }
}
END_TEST

/* Failure: long jobs delay short ones.  Half of the work is in jobs of a
   minute and half in jobs of half a second.  In the baseline a short job waits
   at an engine where several long jobs run.  */
START_TEST (long_jobs_delay_short_jobs)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("long-short", seed);

      check_common_bounds (&result, seed, 0.005);
      CHECK (answered_ratio (&result.policy) > 0.99);
      CHECK (result.policy.short_p99_ms < 2500);
      CHECK (result.policy.goodput_units_per_s
             > result.baseline.goodput_units_per_s);
    }
}
END_TEST

/* Failure: an overload of long jobs blocks the short ones.  Nine tenths of the
   work is in long jobs, at 1.5 times the capacity, and without limits they
   would occupy every slot for a minute.  */
START_TEST (too_many_long_jobs_block_short_jobs)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("long-short,long_work=0.9,load=1.5", seed);

      CHECK (result.policy.short_p99_ms < 3500);
      CHECK (result.baseline.short_p99_ms > 4900);
      CHECK (result.policy.goodput_units_per_s
             > result.baseline.goodput_units_per_s * 1.5);
    }
}
END_TEST

/* Failure: goodput falls as a permanent overload grows.  At 1.5 and 3 times
   the capacity goodput must stay above 95 % of its peak.  */
START_TEST (overload_reduces_goodput)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t full = run ("plain,load=1", seed);
      comparison_t half_more = run ("overload-1.5", seed);
      comparison_t threefold = run ("overload-3", seed);
      double peak = full.policy.goodput_units_per_s;

      if (peak < half_more.policy.goodput_units_per_s)
        peak = half_more.policy.goodput_units_per_s;
      if (peak < threefold.policy.goodput_units_per_s)
        peak = threefold.policy.goodput_units_per_s;
      check_common_bounds (&half_more, seed, 0.02);
      check_common_bounds (&threefold, seed, 0.02);
      CHECK (half_more.policy.goodput_units_per_s > peak * 0.95);
      CHECK (threefold.policy.goodput_units_per_s > peak * 0.95);
      CHECK (threefold.baseline.goodput_units_per_s < peak * 0.1);
      CHECK (half_more.policy.quiet_answered > 0.98);
      CHECK (threefold.policy.quiet_answered > 0.98);
      CHECK (half_more.policy.quiet_p99_ms < 2500);
      CHECK (threefold.policy.quiet_p99_ms < 2500);
      CHECK (threefold.policy.unfairness < 0.05);
      /* Most requests must be refused at the entry instead of being sent to
         one full upstream after the other.  */
      CHECK (threefold.policy.dispatched < threefold.policy.requests);
    }
}
END_TEST

/* Failure: retries in a partial outage multiply the load.  Six of twenty
   upstreams fail for twenty seconds; more than 99 % of the requests must
   succeed with fewer than 1.2 attempts per request.  */
START_TEST (retries_multiply_load_in_partial_outage)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("outage", seed);

      check_common_bounds (&result, seed, 0.01);
      CHECK (answered_ratio (&result.policy) > 0.99);
      CHECK (result.policy.attempts < result.policy.requests * 12 / 10);
    }
}
END_TEST

/* Failure: retries in a full outage multiply the load.  All upstreams fail for
   twenty seconds, so that outlier ejection cannot help and only the retry
   budget limits the attempts.  */
START_TEST (retries_multiply_load_in_full_outage)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("outage,failing=20", seed);

      CHECK (result.policy.attempts < result.policy.requests * 12 / 10);
      CHECK (result.baseline.attempts > result.baseline.requests * 15 / 10);
    }
}
END_TEST

/* Failure: a new engine is overloaded while it is cold.  For its
   first ten seconds the engine has only two slots.  With its full share it
   would slow down, and its clients would time out.  */
START_TEST (new_cold_engine_is_overloaded)
{
  for (uint64_t seed = 1; seed <= COLD_ENGINE_SEEDS; seed++)
    {
      comparison_t result = run ("cold-start", seed);

      check_common_bounds (&result, seed, 0.002);
      CHECK (answered_ratio (&result.baseline) < 0.985);
      CHECK (result.policy.after_event_p99_ms < 2500);
      CHECK (result.policy.recovery_s < 12);
    }
}
END_TEST

/* Failure: an engine that turns cold while all of its slots are in use is
   overloaded.  */
START_TEST (engine_turning_cold_is_overloaded)
{
  for (uint64_t seed = 1; seed <= COLD_ENGINE_SEEDS; seed++)
    {
      comparison_t result = run ("warm-to-cold", seed);

      check_common_bounds (&result, seed, 0.004);
      CHECK (answered_ratio (&result.baseline) < 0.985);
      CHECK (result.policy.recovery_s < 12);
    }
}
END_TEST

/* Failure: an availability zone is overloaded on its return.  A zone is taken
   out while the other zones serve its load, and returns with cold
   engines.  */
START_TEST (returning_zone_is_overloaded)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("zone", seed);

      check_common_bounds (&result, seed, 0.002);
      CHECK (answered_ratio (&result.policy) > 0.995);
      CHECK (result.policy.failed == 0);
      CHECK (result.policy.after_event_p99_ms < 2500);
      CHECK (result.baseline.after_event_p99_ms > 4000);
    }
}
END_TEST

/* Failure: stale load reports crowd one engine.  Reports are up to ten seconds
   late, and least-loaded balancing sends all requests to the engines that were
   idle in the last report.  */
START_TEST (stale_reports_crowd_one_engine)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("stale-reports", seed);

      check_common_bounds (&result, seed, 0.002);
      CHECK (answered_ratio (&result.policy) > 0.99);
      CHECK (result.policy.load_imbalance < 2);
      CHECK (result.baseline.load_imbalance > 2.5);
    }
}
END_TEST

/* Failure: limits lower goodput for engines that do not slow down when they
   are overfilled.  These engines are the best case of the baseline, and the
   package differs from it only in the order and fairness of the requests.  */
START_TEST (limits_reduce_goodput_without_thrashing)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      comparison_t result = run ("overload-1.5,thrash=0", seed);

      check_common_bounds (&result, seed, 0.02);
      CHECK (result.policy.goodput_units_per_s
             > result.baseline.goodput_units_per_s);
      CHECK (result.policy.goodput_units_per_s
             > 0.9 * 20 * 8 * MODEL_SLOT_UNITS_PER_S);
      CHECK (result.policy.quiet_answered > 0.98);
    }
}
END_TEST

START_TEST (model_is_not_reproducible)
{
  pattern_t p = parse_pattern ("burst,duration=20");
  model_result_t a = model_run (&p, 7, true);
  model_result_t b = model_run (&p, 7, true);
  model_result_t c = model_run (&p, 8, true);

  ck_assert_uint_eq (a.answered, b.answered);
  ck_assert (a.short_p99_ms <= b.short_p99_ms
             && a.short_p99_ms >= b.short_p99_ms);
  ck_assert_uint_ne (a.requests, c.requests);
}
END_TEST

START_TEST (parser_accepts_invalid_pattern)
{
  pattern_t p = parse_pattern ("burst,load=0.25,slots=4");

  ck_assert (p.load < 0.26 && p.slots < 5 && p.burst > 9);
  ck_assert (!pattern_parse (STR ("no-such"), &p));
  ck_assert (!pattern_parse (STR ("burst,lod=1"), &p));
  ck_assert (!pattern_parse (STR ("burst,load=x"), &p));
  ck_assert (!pattern_parse (STR ("burst,upstreams=1000"), &p));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load");
  TCase *tcase = tcase_create ("load");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, burst_delays_later_requests);
  tcase_add_test (tcase, hot_team_starves_other_teams);
  tcase_add_test (tcase, hot_prefix_overloads_one_engine);
  tcase_add_test (tcase, same_prefix_misses_cache);
  tcase_add_test (tcase, slow_upstream_delays_requests);
  tcase_add_test (tcase, fast_failing_upstream_attracts_traffic);
  tcase_add_test (tcase, long_jobs_delay_short_jobs);
  tcase_add_test (tcase, too_many_long_jobs_block_short_jobs);
  tcase_add_test (tcase, overload_reduces_goodput);
  tcase_add_test (tcase, retries_multiply_load_in_partial_outage);
  tcase_add_test (tcase, retries_multiply_load_in_full_outage);
  tcase_add_test (tcase, new_cold_engine_is_overloaded);
  tcase_add_test (tcase, engine_turning_cold_is_overloaded);
  tcase_add_test (tcase, returning_zone_is_overloaded);
  tcase_add_test (tcase, stale_reports_crowd_one_engine);
  tcase_add_test (tcase, limits_reduce_goodput_without_thrashing);
  tcase_add_test (tcase, model_is_not_reproducible);
  tcase_add_test (tcase, parser_accepts_invalid_pattern);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
