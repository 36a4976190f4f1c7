/* How old an answer of the store is, by this process's own clock.  */

#include "gateway/storeclock.h"
#include "suite.h"

enum
{
  AHEAD_MS = 50000 /* Of the store's clock before ours.  */
};

/* A call waits a second for news and is answered at its end.  The answer is
   as old as its way back and not as old as the wait: entries that took the
   wait for its age refused callers a second too soon in an outage.  */
START_TEST (a_long_wait_does_not_age_its_answer)
{
  store_clock_t clock = { 0 };

  ck_assert_uint_eq (store_clock_to_local (&clock, AHEAD_MS + 1000, 2000), 0);
  store_clock_add_sample (&clock, AHEAD_MS + 1002, 1000, 1004);
  store_clock_add_sample (&clock, AHEAD_MS + 2502, 1500, 2504);
  uint64_t local = store_clock_to_local (&clock, AHEAD_MS + 2502, 2504);
  ck_assert_uint_ge (local, 2498);
  ck_assert_uint_le (local, 2502);
}
END_TEST

/* An answer is held up for three seconds on its way.  It must not pass for a
   fresh one: a key may have been taken away meanwhile.  */
START_TEST (a_late_answer_is_as_old_as_it_is)
{
  store_clock_t clock = { 0 };

  store_clock_add_sample (&clock, AHEAD_MS + 1002, 1000, 1004);
  store_clock_add_sample (&clock, AHEAD_MS + 5002, 5000, 8000);
  ck_assert_uint_le (store_clock_to_local (&clock, AHEAD_MS + 5002, 8000),
                     5002);
  /* Also when it is the first that is known.  */
  store_clock_t other = { 0 };
  store_clock_add_sample (&other, AHEAD_MS + 5002, 5000, 8000);
  ck_assert_uint_le (store_clock_to_local (&other, AHEAD_MS + 5002, 8000),
                     5002);
}
END_TEST

/* The store comes back with another clock, ahead or behind.  What the old one
   told must make no answer look younger than it is.  */
START_TEST (a_clock_that_jumped_is_learned_anew)
{
  static const int64_t jumps[] = { -40000, 40000 };

  for (size_t i = 0; i < sizeof jumps / sizeof jumps[0]; i++)
    {
      store_clock_t clock = { 0 };
      uint64_t store_ms = (uint64_t)(AHEAD_MS + 2100 + jumps[i]);
      store_clock_add_sample (&clock, AHEAD_MS + 1002, 1000, 1004);
      store_clock_add_sample (&clock, store_ms, 2000, 2200);
      ck_assert_uint_eq (store_clock_to_local (&clock, store_ms, 2200), 2000);
    }
}
END_TEST

/* An hour after the last answer of the store itself two steady clocks may
   differ by more: what others tell counts as older then.  */
START_TEST (clocks_drift)
{
  store_clock_t clock = { 0 };
  uint64_t hour_ms = 3600000;

  store_clock_add_sample (&clock, AHEAD_MS + 1000, 1000, 1002);
  uint64_t local = store_clock_to_local (&clock, AHEAD_MS + 1000 + hour_ms,
                                         1002 + hour_ms);
  ck_assert_uint_le (local, 1000 + hour_ms - 1000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("storeclock");
  TCase *tcase = tcase_create ("storeclock");

  tcase_add_test (tcase, a_long_wait_does_not_age_its_answer);
  tcase_add_test (tcase, a_late_answer_is_as_old_as_it_is);
  tcase_add_test (tcase, a_clock_that_jumped_is_learned_anew);
  tcase_add_test (tcase, clocks_drift);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
