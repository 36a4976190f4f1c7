/* Tests of the retry budget, backoff and hedging.  */

#include "policy/retry.h"

#include "suite.h"

static rng_t rng;
static retry_t *retry;

static void
setup (void)
{
  rng = rng_make (11);
  retry = retry_create (NULL, &rng);
}

static void
teardown (void)
{
  retry_destroy (retry);
}

/* Failure: retries without a budget overload the remaining upstreams.  Half of
   the upstreams are down and half of all attempts fail, so three tries for
   each request nearly double the load.  */
START_TEST (retries_stay_within_budget_in_partial_outage)
{
  enum
  {
    REQUESTS = 10000,
    TRIES = 3
  };
  uint64_t budgeted_attempts = 0;
  uint64_t unlimited_attempts = 0;

  for (int i = 0; i < REQUESTS; i++)
    {
      int tries = 1;

      retry_add_request (retry);
      for (; tries < TRIES && rng_below (&rng, 2) == 0; tries++)
        unlimited_attempts++;
      unlimited_attempts++;
      tries = 1;
      for (; tries < TRIES && rng_below (&rng, 2) == 0; tries++)
        if (retry_spend (retry) == VH_OK)
          budgeted_attempts++;
        else
          break;
      budgeted_attempts++;
    }
  ck_assert_uint_gt (unlimited_attempts, REQUESTS * 16 / 10);
  ck_assert_uint_lt (budgeted_attempts, REQUESTS * 12 / 10);
  ck_assert_uint_gt (budgeted_attempts, REQUESTS * 105 / 100);
}
END_TEST

START_TEST (idle_pool_has_full_budget)
{
  for (int i = 0; i < RETRY_BURST; i++)
    ck_assert_int_eq (retry_spend (retry), VH_OK);
  ck_assert_int_eq (retry_spend (retry), VH_E_RETRY_BUDGET);
  for (int i = 0; i < 1000; i++)
    retry_add_request (retry);
  ck_assert (retry_budget_left (retry) <= RETRY_BURST);
  ck_assert (retry_budget_left (retry) > RETRY_BURST - 0.01);
}
END_TEST

START_TEST (backoff_doubles_with_jitter)
{
  uint64_t step_ms = RETRY_BACKOFF_MIN_MS;

  for (uint32_t attempt = 1; attempt < 40; attempt++)
    {
      uint64_t min_ms = UINT64_MAX;
      uint64_t max_ms = 0;

      for (int i = 0; i < 200; i++)
        {
          uint64_t wait_ms = retry_backoff_ms (retry, attempt);
          min_ms = wait_ms < min_ms ? wait_ms : min_ms;
          max_ms = wait_ms > max_ms ? wait_ms : max_ms;
        }
      ck_assert_uint_ge (min_ms, step_ms / 2);
      ck_assert_uint_le (max_ms, step_ms);
      ck_assert_uint_gt (max_ms - min_ms, step_ms / 4);
      step_ms = step_ms * 2 < RETRY_BACKOFF_MAX_MS ? step_ms * 2
                                                   : RETRY_BACKOFF_MAX_MS;
    }
}
END_TEST

/* Failure: a request that changes state, such as a booking, is executed twice
   because its late response caused a hedge.  */
START_TEST (hedges_only_idempotent_requests)
{
  ck_assert_uint_eq (retry_hedge_delay_ms (retry, true), RETRY_NO_HEDGE);
  for (int i = 0; i < 1000; i++)
    retry_record_latency (retry, i % 100 < 97 ? 100000 : 5000000);
  ck_assert_uint_ge (retry_hedge_delay_ms (retry, true), 100);
  ck_assert_uint_le (retry_hedge_delay_ms (retry, true), 130);
  ck_assert_uint_eq (retry_hedge_delay_ms (retry, false), RETRY_NO_HEDGE);
  while (retry_spend (retry) == VH_OK)
    ;
  ck_assert_uint_eq (retry_hedge_delay_ms (retry, true), RETRY_NO_HEDGE);
}
END_TEST

START_TEST (hedge_delay_follows_recent_latency)
{
  for (int i = 0; i < 20000; i++)
    retry_record_latency (retry, 100000);
  for (int i = 0; i < 20000; i++)
    retry_record_latency (retry, 1000000);
  ck_assert_uint_ge (retry_hedge_delay_ms (retry, true), 1000);
  ck_assert_uint_le (retry_hedge_delay_ms (retry, true), 1200);
  for (int i = 0; i < 40000; i++)
    retry_record_latency (retry, 100000);
  ck_assert_uint_le (retry_hedge_delay_ms (retry, true), 130);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("retry");
  TCase *tcase = tcase_create ("retry");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, retries_stay_within_budget_in_partial_outage);
  tcase_add_test (tcase, idle_pool_has_full_budget);
  tcase_add_test (tcase, backoff_doubles_with_jitter);
  tcase_add_test (tcase, hedges_only_idempotent_requests);
  tcase_add_test (tcase, hedge_delay_follows_recent_latency);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
