/* Tests of claims: at most one process gets the right to run a request, even
   if replies of the store are lost, and the reported state of a claim is
   correct.  */

#include "control/claims.h"
#include "control_fixture.h"
#include "suite.h"

#include <stdio.h>

enum
{
  ENTRIES = 2,
  BATCH_TIMEOUT_MS = 60,
  CLAIM_TIMEOUT_MS = 200,
  DAY_S = 24 * 3600
};

typedef struct
{
  control_fixture_t base;
  claims_t *claims[ENTRIES];
  uint64_t start_count;
} fixture_t;

typedef struct
{
  bool is_done;
  vh_code_t code;
  bool is_known;
  bool has_outcome;
  char writer[32];
  char outcome[32];
} result_t;

static void
create_claims (fixture_t *f, int entry, lease_t *lease)
{
  char writer[32];

  f->base.env.seed++;
  snprintf (writer, sizeof writer, "entry-%d.%llu", entry,
            (unsigned long long)++f->start_count);
  const claims_options_t options
      = { str_from (writer), BATCH_TIMEOUT_MS, lease, 10 };
  f->claims[entry] = claims_create (&f->base.env, &options);
}

static void
setup (fixture_t *f, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  control_setup (&f->base, seed);
  for (int i = 0; i < ENTRIES; i++)
    create_claims (f, i, NULL);
}

static void
teardown (fixture_t *f)
{
  for (int i = 0; i < ENTRIES; i++)
    claims_destroy (f->claims[i]);
  control_teardown (&f->base);
}

static void
on_claim (void *arg, vh_code_t code, const claim_info_t *info)
{
  result_t *result = arg;

  ck_assert (!result->is_done);
  result->is_done = true;
  result->code = code;
  result->is_known = info->is_known;
  result->has_outcome = info->has_outcome;
  snprintf (result->writer, sizeof result->writer, "%.*s",
            STR_ARG (info->writer));
  snprintf (result->outcome, sizeof result->outcome, "%.*s",
            STR_ARG (info->outcome));
}

static result_t
claim (fixture_t *f, int entry, const char *id)
{
  result_t result = { 0 };

  claims_acquire (f->claims[entry], str_from (id), CLAIM_TIMEOUT_MS, on_claim,
                  &result);
  ck_assert (!result.is_done);
  control_run_until (&f->base, &result.is_done);
  return result;
}

static void
wait_until_written (fixture_t *f, int entry)
{
  for (int i = 0; i < 500 && claims_pending_count (f->claims[entry]) > 0; i++)
    control_run_for (&f->base, 10);
  ck_assert_uint_eq (claims_pending_count (f->claims[entry]), 0);
}

/* Failure: a payment runs twice because the client sends it again through
   another entry, first while the payment is running and then after it.  The
   second resend must get the recorded outcome.  */
START_TEST (resent_request_cannot_be_claimed_again)
{
  fixture_t f;

  setup (&f, 1);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_OK);
  result_t result = claim (&f, 1, "pay-1");
  ck_assert_int_eq (result.code, VH_E_CLAIMED);
  ck_assert (result.is_known);
  ck_assert (!result.has_outcome);
  ck_assert_str_eq (result.writer, "entry-0.1");
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_CLAIMED);
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("pay-1"), STR ("paid 100")),
      VH_OK);
  wait_until_written (&f, 0);
  result = claim (&f, 1, "pay-1");
  ck_assert_int_eq (result.code, VH_E_CLAIMED);
  ck_assert (result.has_outcome);
  ck_assert_str_eq (result.outcome, "paid 100");
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("pay-1"), STR ("x")),
      VH_E_NOT_FOUND);
  teardown (&f);
}
END_TEST

/* Failure: two claims of the same id arrive at one entry within a millisecond
   and both succeed, because in one transaction the conditions of both
   hold.  */
START_TEST (same_id_twice_in_one_batch)
{
  fixture_t f;
  result_t other_claim = { 0 };
  result_t first_claim = { 0 };
  result_t second_claim = { 0 };

  setup (&f, 2);
  claims_acquire (f.claims[0], STR ("other"), CLAIM_TIMEOUT_MS, on_claim,
                  &other_claim);
  claims_acquire (f.claims[0], STR ("pay-1"), CLAIM_TIMEOUT_MS, on_claim,
                  &first_claim);
  claims_acquire (f.claims[0], STR ("pay-1"), CLAIM_TIMEOUT_MS, on_claim,
                  &second_claim);
  control_run_until (&f.base, &first_claim.is_done);
  control_run_until (&f.base, &second_claim.is_done);
  ck_assert_int_eq (first_claim.code, VH_OK);
  ck_assert_int_eq (second_claim.code, VH_E_CLAIMED);
  teardown (&f);
}
END_TEST

/* Failure: each claim of a burst costs a transaction, or three claims that
   conflict make the other claims in their batches fail.  */
START_TEST (burst_shares_transactions)
{
  enum
  {
    BURST_CLAIMS = 1000
  };
  fixture_t f;
  static result_t results[BURST_CLAIMS];
  char id[32];
  uint64_t batches;
  uint64_t operations;

  setup (&f, 3);
  memset (results, 0, sizeof results);
  for (int i = 100; i < 400; i += 100)
    {
      snprintf (id, sizeof id, "book-%d", i);
      ck_assert_int_eq (claim (&f, 1, id).code, VH_OK);
    }
  for (int i = 0; i < BURST_CLAIMS; i++)
    {
      snprintf (id, sizeof id, "book-%d", i);
      claims_acquire (f.claims[0], str_from (id), 5000, on_claim, &results[i]);
    }
  for (int i = 0; i < BURST_CLAIMS; i++)
    {
      control_run_until (&f.base, &results[i].is_done);
      bool is_resent = i == 100 || i == 200 || i == 300;
      ck_assert_int_eq (results[i].code, is_resent ? VH_E_CLAIMED : VH_OK);
    }
  claims_get_stats (f.claims[0], &batches, &operations);
  ck_assert_uint_lt (batches, 30);
  printf ("figures: burst of %d claims, 3 of them resends: %llu "
          "transactions\n",
          BURST_CLAIMS, (unsigned long long)batches);
  teardown (&f);
}
END_TEST

/* Failure: at a low request rate, each outcome costs a transaction of its own.
   A claim must be written immediately, but outcomes may be delayed and share a
   transaction.  */
START_TEST (outcomes_share_transactions)
{
  enum
  {
    REQUESTS = 30
  };
  fixture_t f;
  char id[32];
  uint64_t batches;
  uint64_t operations;

  setup (&f, 12);
  for (int i = 0; i < REQUESTS; i++)
    {
      snprintf (id, sizeof id, "book-%d", i);
      ck_assert_int_eq (claim (&f, 0, id).code, VH_OK);
      ck_assert_int_eq (
          claims_record_outcome (f.claims[0], str_from (id), STR ("x")),
          VH_OK);
    }
  wait_until_written (&f, 0);
  claims_get_stats (f.claims[0], &batches, &operations);
  ck_assert_uint_eq (operations, 2 * REQUESTS);
  ck_assert_uint_le (batches, REQUESTS + 3);
  printf ("figures: %d runs one by one: %llu transactions for claims and "
          "outcomes\n",
          REQUESTS, (unsigned long long)batches);
  teardown (&f);
}
END_TEST

/* Failure: two entries both claim an id while the store loses replies and
   requests and applies some transactions late; or, after the store has
   recovered, an id that no entry holds cannot be claimed.  */
START_TEST (at_most_one_claim_succeeds)
{
  enum
  {
    IDS = 60
  };
  fixture_t f;
  result_t results[IDS][ENTRIES];
  char id[32];
  int claimed_count = 0;
  int late_count = 0;

  setup (&f, (uint64_t)_i * 100 + 4);
  faulty_config_t *config = faulty_config (f.base.faulty);
  *config = (faulty_config_t){ .fail_share = 0.05,
                               .lost_reply_share = 0.25,
                               .lost_request_share = 0.15,
                               .late_effect_share = 0.25,
                               .late_effect_ms = 150,
                               .delay_ms = 5 };
  memset (results, 0, sizeof results);
  for (int i = 0; i < IDS; i++)
    {
      snprintf (id, sizeof id, "id-%d", i);
      for (int entry = 0; entry < ENTRIES; entry++)
        claims_acquire (f.claims[entry], str_from (id), CLAIM_TIMEOUT_MS,
                        on_claim, &results[i][entry]);
      control_run_for (&f.base, 4);
    }
  for (int i = 0; i < IDS; i++)
    for (int entry = 0; entry < ENTRIES; entry++)
      {
        control_run_until (&f.base, &results[i][entry].is_done);
        late_count += results[i][entry].code == VH_E_STORE_LATE;
      }
  *config = (faulty_config_t){ 0 };
  wait_until_written (&f, 0);
  wait_until_written (&f, 1);
  control_run_until_idle (&f.base);
  for (int i = 0; i < IDS; i++)
    {
      int holders = 0;
      for (int entry = 0; entry < ENTRIES; entry++)
        holders += results[i][entry].code == VH_OK;
      ck_assert_int_le (holders, 1);
      claimed_count += holders;
      snprintf (id, sizeof id, "id-%d", i);
      vh_code_t second_code = claim (&f, i % ENTRIES, id).code;
      ck_assert_msg (second_code == (holders == 1 ? VH_E_CLAIMED : VH_OK),
                     "id %d: %d holders, then %d", i, holders, second_code);
    }
  printf ("figures: seed %d: %d ids, %d licensed, %d answers late\n", _i, IDS,
          claimed_count, late_count);
  teardown (&f);
}
END_TEST

/* Failure: the store writes a claim after the caller got VH_E_STORE_LATE, and
   the unused claim blocks the resend of the request through another entry; or
   the first entry treats the claim as held.  */
START_TEST (late_written_claim_is_abandoned)
{
  fixture_t f;

  setup (&f, 5);
  faulty_config_t *config = faulty_config (f.base.faulty);
  *config = (faulty_config_t){ .late_effect_share = 1, .late_effect_ms = 100 };
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_STORE_LATE);
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("pay-1"), STR ("x")),
      VH_E_NOT_FOUND);
  *config = (faulty_config_t){ 0 };
  wait_until_written (&f, 0);
  control_run_until_idle (&f.base);
  ck_assert_int_eq (claim (&f, 1, "pay-1").code, VH_OK);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_CLAIMED);
  teardown (&f);
}
END_TEST

/* Failure: an entry claims an id again before the outcome of its first claim
   is known, and abandoning the first claim removes the second one, so that the
   outcome of the request cannot be recorded.  */
START_TEST (same_entry_claims_after_lost_reply)
{
  fixture_t f;

  setup (&f, 11);
  faulty_config_t *config = faulty_config (f.base.faulty);
  config->lost_reply_share = 1;
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_STORE_LATE);
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("claim/")), 1);
  config->lost_reply_share = 0;
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_OK);
  wait_until_written (&f, 0);
  control_run_until_idle (&f.base);
  ck_assert_int_eq (claim (&f, 1, "pay-1").code, VH_E_CLAIMED);
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("pay-1"), STR ("paid")), VH_OK);
  wait_until_written (&f, 0);
  ck_assert_str_eq (claim (&f, 1, "pay-1").outcome, "paid");
  teardown (&f);
}
END_TEST

/* Failure: while the store is down, claims do not fail by their deadline, or
   are written later, or an outcome recorded during the outage is lost.  */
START_TEST (claims_fail_while_store_is_down)
{
  fixture_t f;

  setup (&f, 6);
  ck_assert_int_eq (claim (&f, 0, "early").code, VH_OK);
  faulty_config (f.base.faulty)->down = true;
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("early"), STR ("ran")), VH_OK);
  uint64_t start_ms = clock_ms (f.base.clock);
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (claim (&f, 0, "later").code, VH_E_STORE_DOWN);
  ck_assert_uint_lt (clock_ms (f.base.clock) - start_ms,
                     3 * CLAIM_TIMEOUT_MS + 200);
  uint64_t txns = faulty_counts (f.base.faulty)->txns;
  control_run_for (&f.base, 500);
  /* Without backoff there would be many more transactions.  */
  ck_assert_uint_lt (faulty_counts (f.base.faulty)->txns - txns, 6);
  faulty_config (f.base.faulty)->down = false;
  wait_until_written (&f, 0);
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("claim/")), 1);
  result_t result = claim (&f, 1, "early");
  ck_assert (result.has_outcome);
  ck_assert_str_eq (result.outcome, "ran");
  ck_assert_int_eq (claim (&f, 1, "later").code, VH_OK);
  teardown (&f);
}
END_TEST

/* Failure: an entry restarts between the claim and the outcome of a request,
   and the new process runs the request although it may already have run.  */
START_TEST (claim_survives_restart_of_writer)
{
  fixture_t f;

  setup (&f, 7);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_OK);
  claims_destroy (f.claims[0]);
  create_claims (&f, 0, NULL);
  result_t result = claim (&f, 0, "pay-1");
  ck_assert_int_eq (result.code, VH_E_CLAIMED);
  ck_assert (!result.has_outcome);
  teardown (&f);
}
END_TEST

/* Failure: the client disconnects between claim and dispatch, and its resend
   is refused although the request never ran.  */
START_TEST (released_id_can_be_claimed)
{
  fixture_t f;

  setup (&f, 8);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_OK);
  ck_assert_int_eq (claims_release (f.claims[0], STR ("pay-1")), VH_OK);
  wait_until_written (&f, 0);
  ck_assert_int_eq (claim (&f, 1, "pay-1").code, VH_OK);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_CLAIMED);
  teardown (&f);
}
END_TEST

/* Failure: a resend is claimed again because the first row has the key of
   another day: midnight has passed, or the clock of one entry is a day
   ahead.  */
START_TEST (claim_is_found_on_adjacent_days)
{
  fixture_t f;

  setup (&f, 9);
  ck_assert_int_eq (claim (&f, 0, "a").code, VH_OK);
  clock_manual_advance_us (f.base.clock, DAY_S * 1000000ull);
  ck_assert_int_eq (claim (&f, 1, "a").code, VH_E_CLAIMED);
  ck_assert_int_eq (claim (&f, 1, "b").code, VH_OK);
  clock_iface_t *slow_clock = clock_manual_create (1800000000);
  f.base.env.clock = slow_clock;
  claims_destroy (f.claims[0]);
  create_claims (&f, 0, NULL);
  /* The claim has no timeout here because its clock does not advance.  */
  ck_assert_int_eq (claim (&f, 0, "b").code, VH_E_CLAIMED);
  teardown (&f);
  clock_manual_destroy (slow_clock);
}
END_TEST

static void
on_held (void *owner, bool held)
{
  *(bool *)owner = held;
}

/* Failure: expired rows accumulate, or recent rows are deleted.  Only the
   holder of the lease deletes rows.  */
START_TEST (expired_rows_are_deleted)
{
  fixture_t f;
  bool held = false;
  const lease_options_t options = { 300, on_held, &held };
  char id[32];

  setup (&f, 10);
  for (int i = 0; i < 600; i++)
    {
      snprintf (id, sizeof id, "old-%d", i);
      result_t result = { 0 };
      claims_acquire (f.claims[1], str_from (id), 5000, on_claim, &result);
      control_run_until (&f.base, &result.is_done);
    }
  clock_manual_advance_us (f.base.clock, 2ull * DAY_S * 1000000ull);
  ck_assert_int_eq (claim (&f, 1, "young").code, VH_OK);
  lease_t *lease
      = lease_create (&f.base.env, STR ("sweep"), STR ("entry-0"), &options);
  control_run_until (&f.base, &held);
  claims_destroy (f.claims[0]);
  create_claims (&f, 0, lease);
  control_run_for (&f.base, 100);
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("claim/")), 601);
  clock_manual_advance_us (f.base.clock, DAY_S * 1000000ull);
  for (int i = 0; i < 200; i++)
    {
      control_run_for (&f.base, 10);
      if (control_count_rows (&f.base, STR ("claim/")) == 1)
        break;
    }
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("claim/")), 1);
  claims_destroy (f.claims[0]);
  f.claims[0] = NULL;
  lease_destroy (lease);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claims");
  TCase *tcase = tcase_create ("claims");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, resent_request_cannot_be_claimed_again);
  tcase_add_test (tcase, same_id_twice_in_one_batch);
  tcase_add_test (tcase, burst_shares_transactions);
  tcase_add_test (tcase, outcomes_share_transactions);
  tcase_add_loop_test (tcase, at_most_one_claim_succeeds, 0, 6);
  tcase_add_test (tcase, late_written_claim_is_abandoned);
  tcase_add_test (tcase, same_entry_claims_after_lost_reply);
  tcase_add_test (tcase, claims_fail_while_store_is_down);
  tcase_add_test (tcase, claim_survives_restart_of_writer);
  tcase_add_test (tcase, released_id_can_be_claimed);
  tcase_add_test (tcase, claim_is_found_on_adjacent_days);
  tcase_add_test (tcase, expired_rows_are_deleted);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
