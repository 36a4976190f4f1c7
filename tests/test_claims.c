/* Tests of claims: an id is never licensed twice, whatever becomes of the
   replies, and what is told of a claim is true.  */

#include "control/claims.h"
#include "control_fixture.h"
#include "suite.h"

#include <stdio.h>

enum
{
  TASKS = 2,
  PATIENCE_MS = 60,
  WAIT_MS = 200,
  DAY_S = 24 * 3600
};

typedef struct
{
  control_fixture_t base;
  claims_t *claims[TASKS];
  uint64_t starts;
} fixture_t;

typedef struct
{
  bool done;
  vh_code_t code;
  bool known;
  bool recorded;
  char writer[32];
  char outcome[32];
} result_t;

static void
start (fixture_t *f, int task, lease_t *lease)
{
  char writer[32];

  f->base.env.seed++;
  snprintf (writer, sizeof writer, "entry-%d.%llu", task,
            (unsigned long long)++f->starts);
  const claims_options_t options
      = { str_from (writer), PATIENCE_MS, lease, 10 };
  f->claims[task] = claims_create (&f->base.env, &options);
}

static void
setup (fixture_t *f, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  control_setup (&f->base, seed);
  for (int i = 0; i < TASKS; i++)
    start (f, i, NULL);
}

static void
teardown (fixture_t *f)
{
  for (int i = 0; i < TASKS; i++)
    claims_destroy (f->claims[i]);
  control_teardown (&f->base);
}

static void
on_claim (void *arg, vh_code_t code, const claim_info_t *info)
{
  result_t *result = arg;

  ck_assert (!result->done);
  result->done = true;
  result->code = code;
  result->known = info->known;
  result->recorded = info->done;
  snprintf (result->writer, sizeof result->writer, "%.*s",
            STR_ARG (info->writer));
  snprintf (result->outcome, sizeof result->outcome, "%.*s",
            STR_ARG (info->outcome));
}

static result_t
claim (fixture_t *f, int task, const char *id)
{
  result_t result = { 0 };

  claims_acquire (f->claims[task], str_from (id), WAIT_MS, on_claim, &result);
  ck_assert (!result.done);
  control_run_until (&f->base, &result.done);
  return result;
}

static void
drain (fixture_t *f, int task)
{
  for (int i = 0; i < 500 && claims_waiting (f->claims[task]) > 0; i++)
    control_run_for (&f->base, 10);
  ck_assert_uint_eq (claims_waiting (f->claims[task]), 0);
}

/* A disbursement is approved; the officer's client sends it again through
   another entry, first while it runs and then after.  It must not run again,
   and the second resend must get the outcome.  */
START_TEST (resent_request_is_not_licensed)
{
  fixture_t f;

  setup (&f, 1);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_OK);
  result_t result = claim (&f, 1, "pay-1");
  ck_assert_int_eq (result.code, VH_E_CLAIMED);
  ck_assert (result.known);
  ck_assert (!result.recorded);
  ck_assert_str_eq (result.writer, "entry-0.1");
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_CLAIMED);
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("pay-1"), STR ("paid 100")),
      VH_OK);
  drain (&f, 0);
  result = claim (&f, 1, "pay-1");
  ck_assert_int_eq (result.code, VH_E_CLAIMED);
  ck_assert (result.recorded);
  ck_assert_str_eq (result.outcome, "paid 100");
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("pay-1"), STR ("x")),
      VH_E_NOT_FOUND);
  teardown (&f);
}
END_TEST

/* The same id arrives twice at one entry within a millisecond, so that both
   claims go into one transaction, whose conditions both would meet.  */
START_TEST (twins_in_one_batch)
{
  fixture_t f;
  result_t first = { 0 };
  result_t a = { 0 };
  result_t b = { 0 };

  setup (&f, 2);
  claims_acquire (f.claims[0], STR ("other"), WAIT_MS, on_claim, &first);
  claims_acquire (f.claims[0], STR ("pay-1"), WAIT_MS, on_claim, &a);
  claims_acquire (f.claims[0], STR ("pay-1"), WAIT_MS, on_claim, &b);
  control_run_until (&f.base, &a.done);
  control_run_until (&f.base, &b.done);
  ck_assert_int_eq (a.code, VH_OK);
  ck_assert_int_eq (b.code, VH_E_CLAIMED);
  teardown (&f);
}
END_TEST

/* A burst of a thousand bookings, three of them resends.  They must cost few
   transactions, and the resends must not make the others fail.  */
START_TEST (burst_shares_transactions)
{
  enum
  {
    BURST = 1000
  };
  fixture_t f;
  static result_t results[BURST];
  char id[32];
  uint64_t batches;
  uint64_t items;

  setup (&f, 3);
  memset (results, 0, sizeof results);
  for (int i = 100; i < 400; i += 100)
    {
      snprintf (id, sizeof id, "book-%d", i);
      ck_assert_int_eq (claim (&f, 1, id).code, VH_OK);
    }
  for (int i = 0; i < BURST; i++)
    {
      snprintf (id, sizeof id, "book-%d", i);
      claims_acquire (f.claims[0], str_from (id), 5000, on_claim, &results[i]);
    }
  for (int i = 0; i < BURST; i++)
    {
      control_run_until (&f.base, &results[i].done);
      bool resent = i == 100 || i == 200 || i == 300;
      ck_assert_int_eq (results[i].code, resent ? VH_E_CLAIMED : VH_OK);
    }
  claims_figures (f.claims[0], &batches, &items);
  ck_assert_uint_lt (batches, 30);
  printf ("figures: burst of %d claims, 3 of them resends: %llu "
          "transactions\n",
          BURST, (unsigned long long)batches);
  teardown (&f);
}
END_TEST

/* Claims of a quiet entry come one by one and each has to be written at once;
   their outcomes need not, and must not cost a transaction each.  */
START_TEST (outcomes_wait_for_company)
{
  enum
  {
    RUNS = 30
  };
  fixture_t f;
  char id[32];
  uint64_t batches;
  uint64_t items;

  setup (&f, 12);
  for (int i = 0; i < RUNS; i++)
    {
      snprintf (id, sizeof id, "book-%d", i);
      ck_assert_int_eq (claim (&f, 0, id).code, VH_OK);
      ck_assert_int_eq (
          claims_record_outcome (f.claims[0], str_from (id), STR ("x")),
          VH_OK);
    }
  drain (&f, 0);
  claims_figures (f.claims[0], &batches, &items);
  ck_assert_uint_eq (items, 2 * RUNS);
  ck_assert_uint_le (batches, RUNS + 3);
  printf ("figures: %d runs one by one: %llu transactions for claims and "
          "outcomes\n",
          RUNS, (unsigned long long)batches);
  teardown (&f);
}
END_TEST

/* Store replies are lost, calls vanish and effects come late while two
   entries get every request.  At most one of them may be told to run each,
   and once the store is well again every id that nobody runs can be claimed
   by someone.  */
START_TEST (at_most_one_licence)
{
  enum
  {
    IDS = 60
  };
  fixture_t f;
  result_t results[IDS][TASKS];
  char id[32];
  int licensed = 0;
  int late = 0;

  setup (&f, (uint64_t)_i * 100 + 4);
  faulty_knobs_t *knobs = faulty_knobs (f.base.faulty);
  *knobs = (faulty_knobs_t){ .fail_share = 0.05,
                             .lost_share = 0.25,
                             .vanish_share = 0.15,
                             .late_effect_share = 0.25,
                             .late_effect_ms = 150,
                             .delay_ms = 5 };
  memset (results, 0, sizeof results);
  for (int i = 0; i < IDS; i++)
    {
      snprintf (id, sizeof id, "id-%d", i);
      for (int t = 0; t < TASKS; t++)
        claims_acquire (f.claims[t], str_from (id), WAIT_MS, on_claim,
                        &results[i][t]);
      control_run_for (&f.base, 4);
    }
  for (int i = 0; i < IDS; i++)
    for (int t = 0; t < TASKS; t++)
      {
        control_run_until (&f.base, &results[i][t].done);
        late += results[i][t].code == VH_E_STORE_LATE;
      }
  *knobs = (faulty_knobs_t){ 0 };
  drain (&f, 0);
  drain (&f, 1);
  control_settle (&f.base);
  for (int i = 0; i < IDS; i++)
    {
      int holders = 0;
      for (int t = 0; t < TASKS; t++)
        holders += results[i][t].code == VH_OK;
      ck_assert_int_le (holders, 1);
      licensed += holders;
      snprintf (id, sizeof id, "id-%d", i);
      vh_code_t again = claim (&f, i % TASKS, id).code;
      ck_assert_msg (again == (holders == 1 ? VH_E_CLAIMED : VH_OK),
                     "id %d: %d holders, then %d", i, holders, again);
    }
  printf ("figures: seed %d: %d ids, %d licensed, %d answers late\n", _i, IDS,
          licensed, late);
  teardown (&f);
}
END_TEST

/* The store goes silent under a claim and writes it after all once the
   caller was refused.  The refusal must stay true: the entry that refused may
   not run it, and the caller's resend through another entry must not be kept
   from running by a claim that nobody uses.  */
START_TEST (refused_claim_is_given_back)
{
  fixture_t f;

  setup (&f, 5);
  faulty_knobs_t *knobs = faulty_knobs (f.base.faulty);
  *knobs = (faulty_knobs_t){ .late_effect_share = 1, .late_effect_ms = 100 };
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_STORE_LATE);
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("pay-1"), STR ("x")),
      VH_E_NOT_FOUND);
  *knobs = (faulty_knobs_t){ 0 };
  drain (&f, 0);
  control_settle (&f.base);
  ck_assert_int_eq (claim (&f, 1, "pay-1").code, VH_OK);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_CLAIMED);
  teardown (&f);
}
END_TEST

/* As above, but the caller sends again through the same entry, which gets the
   id anew before it has heard what became of its first claim.  The clean-up of
   the first must not take the second away: its outcome has to be recorded.  */
START_TEST (same_entry_claims_again)
{
  fixture_t f;

  setup (&f, 11);
  faulty_knobs_t *knobs = faulty_knobs (f.base.faulty);
  knobs->lost_share = 1;
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_STORE_LATE);
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("claim/")), 1);
  knobs->lost_share = 0;
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_OK);
  drain (&f, 0);
  control_settle (&f.base);
  ck_assert_int_eq (claim (&f, 1, "pay-1").code, VH_E_CLAIMED);
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("pay-1"), STR ("paid")), VH_OK);
  drain (&f, 0);
  ck_assert_str_eq (claim (&f, 1, "pay-1").outcome, "paid");
  teardown (&f);
}
END_TEST

/* The store is down: callers hear "not run" soon, and nothing of it shows up
   later.  An outcome that is due meanwhile is written afterwards.  */
START_TEST (store_down)
{
  fixture_t f;

  setup (&f, 6);
  ck_assert_int_eq (claim (&f, 0, "early").code, VH_OK);
  faulty_knobs (f.base.faulty)->down = true;
  ck_assert_int_eq (
      claims_record_outcome (f.claims[0], STR ("early"), STR ("ran")), VH_OK);
  uint64_t start_ms = clock_ms (f.base.clock);
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (claim (&f, 0, "later").code, VH_E_STORE_DOWN);
  ck_assert_uint_lt (clock_ms (f.base.clock) - start_ms, 3 * WAIT_MS + 200);
  uint64_t txns = faulty_counts (f.base.faulty)->txns;
  control_run_for (&f.base, 500);
  /* Backed off, not hammering.  */
  ck_assert_uint_lt (faulty_counts (f.base.faulty)->txns - txns, 6);
  faulty_knobs (f.base.faulty)->down = false;
  drain (&f, 0);
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("claim/")), 1);
  result_t result = claim (&f, 1, "early");
  ck_assert (result.recorded);
  ck_assert_str_eq (result.outcome, "ran");
  ck_assert_int_eq (claim (&f, 1, "later").code, VH_OK);
  teardown (&f);
}
END_TEST

/* An entry dies between its claim and its outcome and starts again.  The
   request may have run: nobody, not even the new process, may run it.  */
START_TEST (writer_restarts)
{
  fixture_t f;

  setup (&f, 7);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_OK);
  claims_destroy (f.claims[0]);
  start (&f, 0, NULL);
  result_t result = claim (&f, 0, "pay-1");
  ck_assert_int_eq (result.code, VH_E_CLAIMED);
  ck_assert (!result.recorded);
  teardown (&f);
}
END_TEST

/* A caller goes away between claim and dispatch: its resend must run.  */
START_TEST (released_claim_is_free)
{
  fixture_t f;

  setup (&f, 8);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_OK);
  ck_assert_int_eq (claims_release (f.claims[0], STR ("pay-1")), VH_OK);
  drain (&f, 0);
  ck_assert_int_eq (claim (&f, 1, "pay-1").code, VH_OK);
  ck_assert_int_eq (claim (&f, 0, "pay-1").code, VH_E_CLAIMED);
  teardown (&f);
}
END_TEST

/* The day turns between a request and its resend, or the second entry's clock
   is a day ahead: the row stands under another day and must still be met.  */
START_TEST (days_do_not_part_resends)
{
  fixture_t f;

  setup (&f, 9);
  ck_assert_int_eq (claim (&f, 0, "a").code, VH_OK);
  clock_manual_advance_us (f.base.clock, DAY_S * 1000000ull);
  ck_assert_int_eq (claim (&f, 1, "a").code, VH_E_CLAIMED);
  ck_assert_int_eq (claim (&f, 1, "b").code, VH_OK);
  clock_iface_t *behind = clock_manual_create (1800000000);
  f.base.env.clock = behind;
  claims_destroy (f.claims[0]);
  start (&f, 0, NULL);
  /* No deadline passes on a clock that stands still.  */
  ck_assert_int_eq (claim (&f, 0, "b").code, VH_E_CLAIMED);
  teardown (&f);
  clock_manual_destroy (behind);
}
END_TEST

static void
on_held (void *owner, bool held)
{
  *(bool *)owner = held;
}

/* Old rows must go, young ones stay; and only the holder of the lease may
   delete.  */
START_TEST (old_rows_are_swept)
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
      control_run_until (&f.base, &result.done);
    }
  clock_manual_advance_us (f.base.clock, 2ull * DAY_S * 1000000ull);
  ck_assert_int_eq (claim (&f, 1, "young").code, VH_OK);
  lease_t *lease
      = lease_create (&f.base.env, STR ("sweep"), STR ("entry-0"), &options);
  control_run_until (&f.base, &held);
  claims_destroy (f.claims[0]);
  start (&f, 0, lease);
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
  tcase_add_test (tcase, resent_request_is_not_licensed);
  tcase_add_test (tcase, twins_in_one_batch);
  tcase_add_test (tcase, burst_shares_transactions);
  tcase_add_test (tcase, outcomes_wait_for_company);
  tcase_add_loop_test (tcase, at_most_one_licence, 0, 6);
  tcase_add_test (tcase, refused_claim_is_given_back);
  tcase_add_test (tcase, same_entry_claims_again);
  tcase_add_test (tcase, store_down);
  tcase_add_test (tcase, writer_restarts);
  tcase_add_test (tcase, released_claim_is_free);
  tcase_add_test (tcase, days_do_not_part_resends);
  tcase_add_test (tcase, old_rows_are_swept);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
