/* Tests of the ledger: every bill once, whatever becomes of replies, writers
   and rows.  */

#include "control/billset.h"
#include "control/ledger.h"
#include "control_fixture.h"
#include "suite.h"

#include <stdio.h>

#define DAY STR ("2027-01-15")

enum
{
  TASKS = 2,
  FLUSH_BILLS = 10,
  FLUSH_MS = 30
};

static const uint64_t day_ms = 1800000000ull * 1000; /* 08:00 of DAY.  */

typedef struct
{
  control_fixture_t base;
  ledger_t *ledgers[TASKS];
  size_t written;
} fixture_t;

static void
on_written (void *owner, const bill_t *bills, size_t count)
{
  (void)bills;
  ((fixture_t *)owner)->written += count;
}

static void
start (fixture_t *f, int task, lease_t *lease, size_t bills_max)
{
  char writer[32];

  f->base.env.seed++;
  snprintf (writer, sizeof writer, "entry-%d", task);
  const ledger_options_t options = { .writer = str_from (writer),
                                     .flush_bills = FLUSH_BILLS,
                                     .flush_ms = FLUSH_MS,
                                     .bills_max = bills_max,
                                     .lease = lease,
                                     .large_bills = 2500,
                                     .compact_ms = 5,
                                     .written = on_written,
                                     .owner = f };
  f->ledgers[task] = ledger_create (&f->base.env, &options);
}

static void
setup (fixture_t *f, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  control_setup (&f->base, seed);
  for (int i = 0; i < TASKS; i++)
    start (f, i, NULL, 0);
}

static void
teardown (fixture_t *f)
{
  for (int i = 0; i < TASKS; i++)
    ledger_destroy (f->ledgers[i]);
  control_teardown (&f->base);
}

static vh_code_t
add (fixture_t *f, int task, int number)
{
  char id[32];

  snprintf (id, sizeof id, "request-%d", number);
  const bill_t bill = { .request_id = str_from (id),
                        .team = number % 2 == 0 ? STR ("coast") : STR ("hill"),
                        .model = STR ("draft-small"),
                        .version = STR ("draft-small@3"),
                        .tokens = (uint64_t)number,
                        .cost = number / 8.0,
                        .at_ms = day_ms };
  return ledger_add (f->ledgers[task], &bill);
}

static void
drain (fixture_t *f, int task)
{
  ledger_flush (f->ledgers[task]);
  for (int i = 0; i < 1000 && ledger_pending_count (f->ledgers[task]) > 0; i++)
    control_run_for (&f->base, 10);
  ck_assert_uint_eq (ledger_pending_count (f->ledgers[task]), 0);
}

typedef struct
{
  bool done;
  vh_code_t code;
  size_t lines;
  uint64_t requests;
  uint64_t tokens;
  double cost;
  char first[64];
} report_t;

static void
on_report (void *arg, vh_code_t code, const ledger_report_line_t *lines,
           size_t count)
{
  report_t *report = arg;

  report->done = true;
  report->code = code;
  report->lines = count;
  for (size_t i = 0; i < count; i++)
    {
      report->requests += lines[i].requests;
      report->tokens += lines[i].tokens;
      report->cost += lines[i].cost;
    }
  if (count > 0)
    snprintf (report->first, sizeof report->first, "%.*s %.*s %.*s",
              STR_ARG (lines[0].team), STR_ARG (lines[0].model),
              STR_ARG (lines[0].version));
}

/* The bills 0 to COUNT - 1 must be reported, each once.  */
static void
assert_billed (fixture_t *f, int task, int count)
{
  report_t report = { 0 };

  ledger_report (f->ledgers[task], DAY, on_report, &report);
  control_run_until (&f->base, &report.done);
  ck_assert_int_eq (report.code, VH_OK);
  ck_assert_uint_eq (report.requests, (uint64_t)count);
  ck_assert_uint_eq (report.tokens, (uint64_t)count * (count - 1) / 2);
  ck_assert_double_eq_tol (report.cost, (double)report.tokens / 8, 1e-6);
}

START_TEST (many_bills_a_row)
{
  fixture_t f;
  report_t report = { 0 };

  setup (&f, 1);
  for (int i = 0; i < 95; i++)
    ck_assert_int_eq (add (&f, 0, i), VH_OK);
  ck_assert_uint_eq (ledger_pending_count (f.ledgers[0]), 95);
  /* The last five wait for their age.  */
  for (int i = 0; i < 100 && f.written < 95; i++)
    control_run_for (&f.base, 10);
  ck_assert_uint_eq (f.written, 95);
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("ledger/")), 10);
  assert_billed (&f, 1, 95);
  ledger_report (f.ledgers[0], DAY, on_report, &report);
  control_run_until (&f.base, &report.done);
  ck_assert_uint_eq (report.lines, 2);
  ck_assert_str_eq (report.first, "coast draft-small draft-small@3");
  ledger_figures_t figures = ledger_figures (f.ledgers[0]);
  printf ("figures: 95 bills, rows of 10: %llu rows, %llu transactions\n",
          (unsigned long long)figures.rows, (unsigned long long)figures.txns);
  teardown (&f);
}
END_TEST

START_TEST (days_are_kept_apart)
{
  fixture_t f;
  report_t report = { 0 };
  const bill_t late = { .request_id = STR ("midnight"),
                        .team = STR ("coast"),
                        .at_ms = day_ms + 24 * 3600 * 1000 };

  setup (&f, 2);
  add (&f, 0, 0);
  ledger_add (f.ledgers[0], &late);
  drain (&f, 0);
  assert_billed (&f, 0, 1);
  ledger_report (f.ledgers[0], STR ("2027-01-16"), on_report, &report);
  control_run_until (&f.base, &report.done);
  ck_assert_uint_eq (report.requests, 1);
  teardown (&f);
}
END_TEST

/* Replies are lost, calls vanish and effects come late while bills are
   written.  At the end of the month a team must be billed for each request,
   once.  */
START_TEST (store_trouble_loses_and_adds_none)
{
  enum
  {
    BILLS = 300
  };
  fixture_t f;

  setup (&f, (uint64_t)_i * 100 + 3);
  faulty_knobs_t *knobs = faulty_knobs (f.base.faulty);
  *knobs = (faulty_knobs_t){ .fail_share = 0.1,
                             .lost_share = 0.25,
                             .vanish_share = 0.15,
                             .late_effect_share = 0.2,
                             .late_effect_ms = 100,
                             .delay_ms = 5 };
  for (int i = 0; i < BILLS; i++)
    {
      add (&f, i % TASKS, i);
      if (i % 10 == 0)
        control_run_for (&f.base, 5);
    }
  control_run_for (&f.base, 100);
  *knobs = (faulty_knobs_t){ 0 };
  drain (&f, 0);
  drain (&f, 1);
  control_settle (&f.base);
  assert_billed (&f, 0, BILLS);
  teardown (&f);
}
END_TEST

static void
collect (void *arg, const bill_t *bill)
{
  billset_add (arg, bill);
}

/* An entry stops, or dies, with bills that it and a peer hold; some of them
   reached the store with their reply lost.  The peer writes them all: each
   must count once.  */
START_TEST (peer_adopts)
{
  fixture_t f;
  billset_t *held = billset_create ();

  setup (&f, 4);
  for (int i = 0; i < 25; i++)
    add (&f, 0, i);
  faulty_knobs (f.base.faulty)->lost_share = 1;
  control_run_for (&f.base, 60);
  ck_assert_uint_gt (faulty_counts (f.base.faulty)->lost, 0);
  ledger_foreach_pending (f.ledgers[0], collect, held);
  ck_assert_uint_eq (billset_size (held), 25);
  ledger_destroy (f.ledgers[0]);
  faulty_knobs (f.base.faulty)->lost_share = 0;
  ck_assert_uint_gt (control_count_rows (&f.base, STR ("ledger/")), 0);
  ck_assert_int_eq (
      ledger_adopt (f.ledgers[1], billset_items (held), billset_size (held)),
      VH_OK);
  drain (&f, 1);
  start (&f, 0, NULL, 0);
  assert_billed (&f, 0, 25);
  /* The writer under its old name in a new start meets none of its rows.  */
  add (&f, 0, 25);
  drain (&f, 0);
  assert_billed (&f, 1, 26);
  billset_destroy (held);
  teardown (&f);
}
END_TEST

/* The store is down for long.  Bills must stay in memory up to a bound that
   is announced; retries must thin out; and when the store is back the rows
   must be few.  */
START_TEST (outage_is_bounded)
{
  enum
  {
    BOUND = 1000
  };
  fixture_t f;

  setup (&f, 5);
  ledger_destroy (f.ledgers[0]);
  start (&f, 0, NULL, BOUND);
  faulty_knobs (f.base.faulty)->down = true;
  uint64_t txns = faulty_counts (f.base.faulty)->txns;
  for (int i = 0; i < BOUND; i++)
    {
      ck_assert_int_eq (add (&f, 0, i), VH_OK);
      if (i % 50 == 0)
        control_run_for (&f.base, 40);
    }
  ck_assert_int_eq (add (&f, 0, BOUND), VH_E_FULL);
  txns = faulty_counts (f.base.faulty)->txns - txns;
  /* 0.8 s of outage with waits from 0.05 s on, doubling.  */
  ck_assert_uint_lt (txns, 8);
  ledger_figures_t figures = ledger_figures (f.ledgers[0]);
  ck_assert_uint_eq (figures.near_bound, 1);
  ck_assert_uint_eq (figures.refused, 1);
  ck_assert_uint_eq (figures.rows, 0);
  faulty_knobs (f.base.faulty)->down = false;
  drain (&f, 0);
  figures = ledger_figures (f.ledgers[0]);
  /* One row may have been sealed by age before the first refusal.  */
  ck_assert_uint_le (figures.rows, BOUND / FLUSH_BILLS + 1);
  assert_billed (&f, 0, BOUND);
  printf (
      "figures: outage of 0.8 s: %llu transactions tried; then %d bills in "
      "%llu rows\n",
      (unsigned long long)txns, BOUND, (unsigned long long)figures.rows);
  teardown (&f);
}
END_TEST

static void
on_held (void *owner, bool held)
{
  *(bool *)owner = held;
}

/* Compaction runs while two writers go on writing, replies of both get lost
   and reports are read.  No report may miss a bill that was written before it
   began, and none may count one twice.  */
START_TEST (compaction_races_writers)
{
  enum
  {
    BILLS = 600
  };
  fixture_t f;
  bool held = false;
  const lease_options_t options = { 300, on_held, &held };

  setup (&f, (uint64_t)_i * 100 + 6);
  lease_t *lease
      = lease_create (&f.base.env, STR ("ledger"), STR ("entry-0"), &options);
  control_run_until (&f.base, &held);
  ledger_destroy (f.ledgers[0]);
  start (&f, 0, lease, 0);
  faulty_knobs_t *knobs = faulty_knobs (f.base.faulty);
  *knobs = (faulty_knobs_t){ .lost_share = 0.2,
                             .vanish_share = 0.1,
                             .late_effect_share = 0.1,
                             .late_effect_ms = 60,
                             .delay_ms = 4 };
  for (int i = 0; i < BILLS; i++)
    {
      add (&f, i % TASKS, i);
      if (i % 100 == 99)
        {
          drain (&f, 0);
          drain (&f, 1);
          assert_billed (&f, 1, i + 1);
        }
    }
  *knobs = (faulty_knobs_t){ 0 };
  size_t rows = 0;
  for (int i = 0; i < 200; i++)
    {
      control_run_for (&f.base, 10);
      rows = control_count_rows (&f.base, STR ("ledger/"));
      if (rows == 1)
        break;
    }
  ck_assert_uint_eq (rows, 1);
  control_settle (&f.base);
  assert_billed (&f, 0, BILLS);
  ck_assert_uint_gt (ledger_figures (f.ledgers[0]).merged_rows, 20);
  ledger_destroy (f.ledgers[0]);
  f.ledgers[0] = NULL;
  lease_destroy (lease);
  teardown (&f);
}
END_TEST

/* A day of many bills: merged rows become large and are then left alone.  */
START_TEST (large_rows_are_left_alone)
{
  enum
  {
    BILLS = 6000
  };
  fixture_t f;
  bool held = false;
  const lease_options_t options = { 600, on_held, &held };

  setup (&f, 7);
  for (int i = 0; i < BILLS; i++)
    add (&f, 1, i);
  drain (&f, 1);
  size_t rows = control_count_rows (&f.base, STR ("ledger/"));
  ck_assert_uint_eq (rows, BILLS / FLUSH_BILLS);
  lease_t *lease
      = lease_create (&f.base.env, STR ("ledger"), STR ("entry-0"), &options);
  control_run_until (&f.base, &held);
  ledger_destroy (f.ledgers[0]);
  start (&f, 0, lease, 0);
  for (int i = 0; i < 300 && rows > 1; i++)
    {
      control_run_for (&f.base, 20);
      rows = control_count_rows (&f.base, STR ("ledger/"));
    }
  ck_assert_uint_le (rows, 1);
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("ledger-large/")), 2);
  assert_billed (&f, 1, BILLS);
  ledger_destroy (f.ledgers[0]);
  f.ledgers[0] = NULL;
  lease_destroy (lease);
  teardown (&f);
}
END_TEST

/* The compactor is paused after it read its rows, its lease passes on and the
   new holder merges the same rows.  The first must not bring them back.  */
START_TEST (paused_compactor_changes_nothing)
{
  fixture_t f;
  bool held = false;
  const lease_options_t options = { 200, on_held, &held };

  setup (&f, 8);
  for (int i = 0; i < 40; i++)
    add (&f, 1, i);
  drain (&f, 1);
  lease_t *lease
      = lease_create (&f.base.env, STR ("ledger"), STR ("entry-0"), &options);
  control_run_until (&f.base, &held);
  /* Its transactions arrive late: after the lease has passed on.  */
  *faulty_knobs (f.base.faulty)
      = (faulty_knobs_t){ .late_effect_share = 1, .late_effect_ms = 800 };
  ledger_destroy (f.ledgers[0]);
  start (&f, 0, lease, 0);
  control_run_for (&f.base, 30);
  bool held_b = false;
  const lease_options_t options_b = { 200, on_held, &held_b };
  f.base.env.platform = f.base.memory;
  lease_t *other = lease_create (&f.base.env, STR ("ledger"), STR ("entry-1"),
                                 &options_b);
  control_run_until (&f.base, &held_b);
  control_run_for (&f.base, 50);
  *faulty_knobs (f.base.faulty) = (faulty_knobs_t){ 0 };
  control_settle (&f.base);
  assert_billed (&f, 1, 40);
  ledger_destroy (f.ledgers[0]);
  f.ledgers[0] = NULL;
  lease_destroy (lease);
  lease_destroy (other);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ledger");
  TCase *tcase = tcase_create ("ledger");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, many_bills_a_row);
  tcase_add_test (tcase, days_are_kept_apart);
  tcase_add_loop_test (tcase, store_trouble_loses_and_adds_none, 0, 5);
  tcase_add_test (tcase, peer_adopts);
  tcase_add_test (tcase, outage_is_bounded);
  tcase_add_loop_test (tcase, compaction_races_writers, 0, 3);
  tcase_add_test (tcase, large_rows_are_left_alone);
  tcase_add_test (tcase, paused_compactor_changes_nothing);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
