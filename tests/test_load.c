/* The load patterns, judged by what callers receive: the policy package
   against the plain baseline on the same arrivals.  The model is that of the
   bench (bench/model.h).  Each pattern runs with several seeds; bounds are on
   the worst.  */

#include "model.h"

#include "suite.h"

#include <stdio.h>

enum
{
  SEEDS = 3,
  /* Where the outcome hangs on one engine, luck plays a greater part.  */
  MANY_SEEDS = 10
};

typedef struct
{
  outcome_t plain;
  outcome_t ours;
} pair_t;

static pattern_t
pattern (const char *text)
{
  pattern_t p;

  ck_assert_msg (pattern_parse (str_from (text), &p), "%s", text);
  return p;
}

/* Run the pattern TEXT on both sides; SEED also goes into the report of a
   failure.  */
static pair_t
run (const char *text, uint64_t seed)
{
  pattern_t p = pattern (text);

  return (pair_t){ model_run (&p, seed, false), model_run (&p, seed, true) };
}

static double
part (uint64_t count, uint64_t all)
{
  return (double)count / (double)all;
}

static double
answered (const outcome_t *out)
{
  return part (out->answered, out->requests);
}

/* What holds under any load: nobody hears after the deadline, and few wait
   for nothing.  */
static void
check_common (const pair_t *pair, uint64_t seed, double most_lapsed)
{
  const outcome_t *ours = &pair->ours;

  ck_assert_uint_eq (ours->late, 0);
  ck_assert_msg (part (ours->lapsed + ours->errors, ours->requests)
                     <= most_lapsed,
                 "seed %lu: %lu of %lu waited for nothing", seed,
                 ours->lapsed + ours->errors, ours->requests);
}

#define CHECK(condition)                                                      \
  ck_assert_msg (condition, "seed %lu: %s", seed, #condition)

/* Ten times the capacity for ten seconds.  Plainly every engine takes all of
   it, slows down for all, and callers are still waiting long after.  */
START_TEST (burst)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("burst", seed);

      check_common (&pair, seed, 0.03);
      CHECK (pair.ours.goodput > pair.plain.goodput * 1.3);
      CHECK (pair.ours.after_p99_ms < 1500);
      CHECK (pair.plain.after_p99_ms > 4000);
      CHECK (pair.ours.quiet_answered > 0.95);
    }
}
END_TEST

/* One team sends half of all traffic, more than there is.  The other teams
   would pay for it; they must not.  */
START_TEST (hot_team)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("hot-team", seed);

      check_common (&pair, seed, 0.02);
      CHECK (pair.ours.unfairness < 0.05);
      CHECK (pair.plain.unfairness > 0.3);
      CHECK (pair.ours.quiet_answered > 0.99);
      CHECK (pair.ours.quiet_p99_ms < 2500);
      CHECK (pair.ours.goodput > 0.85 * 20 * 8 * MODEL_SLOT_UNITS_PER_S);
    }
}
END_TEST

/* Half of the requests share a prefix.  Sent by hash alone they bury one
   engine.  */
START_TEST (hot_prefix)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("hot-prefix", seed);

      check_common (&pair, seed, 0.01);
      CHECK (answered (&pair.ours) > 0.99);
      CHECK (answered (&pair.plain) < 0.7);
      CHECK (pair.ours.short_p99_ms < 1500);
    }
}
END_TEST

/* The cache must be found: at a load that only fits with it.  */
START_TEST (prefixes_are_kept_together)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair
          = run ("hot-prefix,load=1.3,hot_prefix=0.1,prefixes=60", seed);

      CHECK (answered (&pair.ours) > 0.99);
    }
}
END_TEST

/* One upstream in twenty takes five times as long; every twentieth caller
   would wait for it.  */
START_TEST (slow_upstream)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("slow-upstream", seed);

      check_common (&pair, seed, 0.005);
      CHECK (answered (&pair.ours) > 0.99);
      CHECK (pair.ours.short_p99_ms < 3000);
      CHECK (pair.plain.short_p99_ms > 4900);
      CHECK (pair.ours.bad_share < 0.02);
    }
}
END_TEST

/* One upstream answers errors at once.  Always idle, it would draw the
   traffic of anyone who looks for the least loaded.  */
START_TEST (failing_fast)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("fail-fast", seed);

      check_common (&pair, seed, 0.002);
      CHECK (answered (&pair.ours) > 0.995);
      CHECK (pair.ours.bad_share < 0.01);
    }
}
END_TEST

/* Drafts of a minute are half of the work, questions of half a second the
   other.  Plainly a question waits where a few drafts have met.  */
START_TEST (long_among_short)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("long-short", seed);

      check_common (&pair, seed, 0.005);
      CHECK (answered (&pair.ours) > 0.99);
      CHECK (pair.ours.short_p99_ms < 2500);
      CHECK (pair.ours.goodput > pair.plain.goodput);
    }
}
END_TEST

/* Far more drafts than can be done.  They would hold every slot for a minute
   at a time.  */
START_TEST (short_among_too_many_long)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("long-short,long_work=0.9,load=1.5", seed);

      CHECK (pair.ours.short_p99_ms < 3500);
      CHECK (pair.plain.short_p99_ms > 4900);
      CHECK (pair.ours.goodput > pair.plain.goodput * 1.5);
    }
}
END_TEST

/* More work than can be done, for good.  What is answered must not fall with
   what is asked.  */
START_TEST (overload)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t full = run ("plain,load=1", seed);
      pair_t half_more = run ("overload-1.5", seed);
      pair_t threefold = run ("overload-3", seed);
      double peak = full.ours.goodput;

      if (peak < half_more.ours.goodput)
        peak = half_more.ours.goodput;
      if (peak < threefold.ours.goodput)
        peak = threefold.ours.goodput;
      check_common (&half_more, seed, 0.02);
      check_common (&threefold, seed, 0.02);
      CHECK (half_more.ours.goodput > peak * 0.95);
      CHECK (threefold.ours.goodput > peak * 0.95);
      CHECK (threefold.plain.goodput < peak * 0.1);
      CHECK (half_more.ours.quiet_answered > 0.98);
      CHECK (threefold.ours.quiet_answered > 0.98);
      CHECK (half_more.ours.quiet_p99_ms < 2500);
      CHECK (threefold.ours.quiet_p99_ms < 2500);
      CHECK (threefold.ours.unfairness < 0.05);
      /* Most are refused at the entry, not sent about to full upstreams.  */
      CHECK (threefold.ours.dispatched < threefold.ours.requests);
    }
}
END_TEST

/* Six of twenty upstreams fail for twenty seconds.  Retries must bring the
   answers home without multiplying the load.  */
START_TEST (partial_outage)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("outage", seed);

      check_common (&pair, seed, 0.01);
      CHECK (answered (&pair.ours) > 0.99);
      CHECK (pair.ours.attempts < pair.ours.requests * 12 / 10);
    }
}
END_TEST

/* All upstreams fail for twenty seconds: nobody can be ejected for that, and
   only the budget is left.  */
START_TEST (retries_in_a_wide_outage)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("outage,failing=20", seed);

      CHECK (pair.ours.attempts < pair.ours.requests * 12 / 10);
      CHECK (pair.plain.attempts > pair.plain.requests * 15 / 10);
    }
}
END_TEST

/* A new engine carries two jobs for ten seconds.  With its full share it
   would fall over, and its callers would time out.  */
START_TEST (cold_start)
{
  for (uint64_t seed = 1; seed <= MANY_SEEDS; seed++)
    {
      pair_t pair = run ("cold-start", seed);

      check_common (&pair, seed, 0.002);
      CHECK (answered (&pair.plain) < 0.985);
      CHECK (pair.ours.after_p99_ms < 2500);
      CHECK (pair.ours.full_use_s < 12);
    }
}
END_TEST

/* A warm engine loses its warmth in service, with its slots taken.  */
START_TEST (warm_to_cold)
{
  for (uint64_t seed = 1; seed <= MANY_SEEDS; seed++)
    {
      pair_t pair = run ("warm-to-cold", seed);

      check_common (&pair, seed, 0.004);
      CHECK (answered (&pair.plain) < 0.985);
      CHECK (pair.ours.full_use_s < 12);
    }
}
END_TEST

/* A zone is taken out and brought back cold.  The others carry its load
   meanwhile; on its return it must not be buried.  */
START_TEST (zone_out_and_back)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("zone", seed);

      check_common (&pair, seed, 0.002);
      CHECK (answered (&pair.ours) > 0.995);
      CHECK (pair.ours.errors == 0);
      CHECK (pair.ours.after_p99_ms < 2500);
      CHECK (pair.plain.after_p99_ms > 4000);
    }
}
END_TEST

/* Reports come up to ten seconds late.  Whoever follows them sends all to
   what was idle then.  */
START_TEST (stale_reports)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("stale-reports", seed);

      check_common (&pair, seed, 0.002);
      CHECK (answered (&pair.ours) > 0.99);
      CHECK (pair.ours.crowding < 2);
      CHECK (pair.plain.crowding > 2.5);
    }
}
END_TEST

/* An engine that loses nothing by being overfilled is the plain side's best
   case: what then differs is only whom it serves and when.  */
START_TEST (overload_of_patient_engines)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pair_t pair = run ("overload-1.5,thrash=0", seed);

      check_common (&pair, seed, 0.02);
      CHECK (pair.ours.goodput > pair.plain.goodput);
      CHECK (pair.ours.goodput > 0.9 * 20 * 8 * MODEL_SLOT_UNITS_PER_S);
      CHECK (pair.ours.quiet_answered > 0.98);
    }
}
END_TEST

START_TEST (same_seed_same_run)
{
  pattern_t p = pattern ("burst,duration=20");
  outcome_t a = model_run (&p, 7, true);
  outcome_t b = model_run (&p, 7, true);
  outcome_t c = model_run (&p, 8, true);

  ck_assert_uint_eq (a.answered, b.answered);
  ck_assert (a.short_p99_ms <= b.short_p99_ms
             && a.short_p99_ms >= b.short_p99_ms);
  ck_assert_uint_ne (a.requests, c.requests);
}
END_TEST

START_TEST (patterns_parse)
{
  pattern_t p = pattern ("burst,load=0.25,slots=4");

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
  tcase_add_test (tcase, burst);
  tcase_add_test (tcase, hot_team);
  tcase_add_test (tcase, hot_prefix);
  tcase_add_test (tcase, prefixes_are_kept_together);
  tcase_add_test (tcase, slow_upstream);
  tcase_add_test (tcase, failing_fast);
  tcase_add_test (tcase, long_among_short);
  tcase_add_test (tcase, short_among_too_many_long);
  tcase_add_test (tcase, overload);
  tcase_add_test (tcase, partial_outage);
  tcase_add_test (tcase, retries_in_a_wide_outage);
  tcase_add_test (tcase, cold_start);
  tcase_add_test (tcase, warm_to_cold);
  tcase_add_test (tcase, zone_out_and_back);
  tcase_add_test (tcase, stale_reports);
  tcase_add_test (tcase, overload_of_patient_engines);
  tcase_add_test (tcase, same_seed_same_run);
  tcase_add_test (tcase, patterns_parse);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
