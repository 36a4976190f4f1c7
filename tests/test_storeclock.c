/* Conversion of the store's times to local time.  */

#include "gateway/storeclock.h"
#include "suite.h"

enum
{
  AHEAD_MS = 50000 /* Store clock minus local clock.  */
};

/* The store replies to a watch call after a wait of a second.  Gateways that
   added the wait to the age of the confirmation refused clients a second too
   soon in an outage.  */
START_TEST (wait_of_a_watch_does_not_age_its_reply)
{
  store_clock_t clock = { 0 };

  ck_assert_uint_eq (store_clock_to_local (&clock, AHEAD_MS + 1000, 2000), 0);
  store_clock_add_sample (&clock, AHEAD_MS + 1002, 1000, 1004);
  store_clock_add_sample (&clock, AHEAD_MS + 2502, 1500, 2504);
  uint64_t local_ms = store_clock_to_local (&clock, AHEAD_MS + 2502, 2504);
  ck_assert_uint_ge (local_ms, 2498);
  ck_assert_uint_le (local_ms, 2502);
}
END_TEST

/* A reply is delayed for three seconds on the network.  Its confirmation must
   not count as recent, because a key may have been revoked meanwhile.  */
START_TEST (delayed_reply_does_not_count_as_recent)
{
  store_clock_t clock = { 0 };

  store_clock_add_sample (&clock, AHEAD_MS + 1002, 1000, 1004);
  store_clock_add_sample (&clock, AHEAD_MS + 5002, 5000, 8000);
  ck_assert_uint_le (store_clock_to_local (&clock, AHEAD_MS + 5002, 8000),
                     5002);
  /* The late reply is the first sample.  */
  store_clock_t fresh_clock = { 0 };
  store_clock_add_sample (&fresh_clock, AHEAD_MS + 5002, 5000, 8000);
  ck_assert_uint_le (
      store_clock_to_local (&fresh_clock, AHEAD_MS + 5002, 8000), 5002);
}
END_TEST

/* The store restarts with another clock, ahead or behind.  Samples of the old
   clock must not make a confirmation appear more recent than it is.  */
START_TEST (samples_of_a_clock_that_jumped_are_dropped)
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

/* An hour after the last sample, two steady clocks may have drifted apart, so
   confirmations passed on by other gateways must count as older.  */
START_TEST (drift_widens_the_bound_over_time)
{
  store_clock_t clock = { 0 };
  uint64_t hour_ms = 3600000;

  store_clock_add_sample (&clock, AHEAD_MS + 1000, 1000, 1002);
  uint64_t local_ms = store_clock_to_local (&clock, AHEAD_MS + 1000 + hour_ms,
                                            1002 + hour_ms);
  ck_assert_uint_le (local_ms, 1000 + hour_ms - 1000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("storeclock");
  TCase *tcase = tcase_create ("storeclock");

  tcase_add_test (tcase, wait_of_a_watch_does_not_age_its_reply);
  tcase_add_test (tcase, delayed_reply_does_not_count_as_recent);
  tcase_add_test (tcase, samples_of_a_clock_that_jumped_are_dropped);
  tcase_add_test (tcase, drift_widens_the_bound_over_time);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
