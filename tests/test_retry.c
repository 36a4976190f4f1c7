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

/* Half of the upstreams are gone, so half of all attempts fail.  Callers would
   see the other half go down as well, because three tries for each failure
   nearly double the load just then.  The cause is a retry that costs
   nothing.  */
START_TEST (partial_outage_stays_within_budget)
{
  enum
  {
    REQUESTS = 10000,
    TRIES = 3
  };
  uint64_t ours = 0;
  uint64_t plain = 0;

  for (int i = 0; i < REQUESTS; i++)
    {
      int tries = 1;

      retry_add_request (retry);
      for (; tries < TRIES && rng_below (&rng, 2) == 0; tries++)
        plain++;
      plain++;
      tries = 1;
      for (; tries < TRIES && rng_below (&rng, 2) == 0; tries++)
        if (retry_spend (retry) == VH_OK)
          ours++;
        else
          break;
      ours++;
    }
  ck_assert_uint_gt (plain, REQUESTS * 16 / 10);
  ck_assert_uint_lt (ours, REQUESTS * 12 / 10);
  ck_assert_uint_gt (ours, REQUESTS * 105 / 100);
}
END_TEST

START_TEST (quiet_pool_still_retries)
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
  uint64_t step_ms = RETRY_FIRST_MS;

  for (uint32_t attempt = 1; attempt < 40; attempt++)
    {
      uint64_t least = UINT64_MAX;
      uint64_t most = 0;

      for (int i = 0; i < 200; i++)
        {
          uint64_t wait_ms = retry_backoff_ms (retry, attempt);
          least = wait_ms < least ? wait_ms : least;
          most = wait_ms > most ? wait_ms : most;
        }
      ck_assert_uint_ge (least, step_ms / 2);
      ck_assert_uint_le (most, step_ms);
      ck_assert_uint_gt (most - least, step_ms / 4);
      step_ms = step_ms * 2 < RETRY_LAST_MS ? step_ms * 2 : RETRY_LAST_MS;
    }
}
END_TEST

/* A booking that answers late would run twice if it were hedged; a question
   may be.  */
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

START_TEST (hedge_follows_the_latency_of_now)
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
  tcase_add_test (tcase, partial_outage_stays_within_budget);
  tcase_add_test (tcase, quiet_pool_still_retries);
  tcase_add_test (tcase, backoff_doubles_with_jitter);
  tcase_add_test (tcase, hedges_only_idempotent_requests);
  tcase_add_test (tcase, hedge_follows_the_latency_of_now);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
