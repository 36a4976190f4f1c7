/* Tests of the ledger: every bill counts exactly once, despite lost replies,
   failed writers and compaction.  */

#include "control/billset.h"
#include "control/ledger.h"
#include "control_fixture.h"
#include "suite.h"

#include <stdio.h>

#define DAY STR ("2027-01-15")

enum
{
  WRITERS = 2,
  FLUSH_BILLS = 10,
  FLUSH_MS = 30
};

static const uint64_t day_ms = 1800000000ull * 1000; /* 08:00 UTC on DAY.  */

typedef struct
{
  control_fixture_t base;
  ledger_t *ledgers[WRITERS];
  size_t written;
} fixture_t;

static void
on_written (void *owner, const ledger_bill_t *bills, size_t count)
{
  (void)bills;
  ((fixture_t *)owner)->written += count;
}

static void
create_ledger (fixture_t *f, int writer_index, lease_t *lease,
               size_t pending_bills_max)
{
  char writer[32];

  f->base.env.seed++;
  snprintf (writer, sizeof writer, "entry-%d", writer_index);
  const ledger_options_t options = { .writer = str_from (writer),
                                     .flush_bills = FLUSH_BILLS,
                                     .flush_ms = FLUSH_MS,
                                     .pending_bills_max = pending_bills_max,
                                     .lease = lease,
                                     .large_row_bills = 2500,
                                     .compact_interval_ms = 5,
                                     .on_written = on_written,
                                     .owner = f };
  f->ledgers[writer_index] = ledger_create (&f->base.env, &options);
}

static void
setup (fixture_t *f, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  control_setup (&f->base, seed);
  for (int i = 0; i < WRITERS; i++)
    create_ledger (f, i, NULL, 0);
}

static void
teardown (fixture_t *f)
{
  for (int i = 0; i < WRITERS; i++)
    ledger_destroy (f->ledgers[i]);
  control_teardown (&f->base);
}

static vh_code_t
add_bill (fixture_t *f, int writer_index, int bill_number)
{
  char id[32];

  snprintf (id, sizeof id, "request-%d", bill_number);
  const ledger_bill_t bill
      = { .request_id = str_from (id),
          .team = bill_number % 2 == 0 ? STR ("coast") : STR ("hill"),
          .model = STR ("draft-small"),
          .version = STR ("draft-small@3"),
          .tokens = (uint64_t)bill_number,
          .cost = bill_number / 8.0,
          .created_at_ms = day_ms };
  return ledger_add (f->ledgers[writer_index], &bill);
}

static void
flush_and_wait (fixture_t *f, int writer_index)
{
  ledger_flush (f->ledgers[writer_index]);
  for (int i = 0;
       i < 1000 && ledger_pending_count (f->ledgers[writer_index]) > 0; i++)
    control_run_for (&f->base, 10);
  ck_assert_uint_eq (ledger_pending_count (f->ledgers[writer_index]), 0);
}

typedef struct
{
  bool is_done;
  vh_code_t code;
  size_t lines;
  uint64_t requests;
  uint64_t tokens;
  double cost;
  char first_line[64];
} report_t;

static void
on_report (void *arg, vh_code_t code, const ledger_report_line_t *lines,
           size_t count)
{
  report_t *report = arg;

  report->is_done = true;
  report->code = code;
  report->lines = count;
  for (size_t i = 0; i < count; i++)
    {
      report->requests += lines[i].requests;
      report->tokens += lines[i].tokens;
      report->cost += lines[i].cost;
    }
  if (count > 0)
    snprintf (report->first_line, sizeof report->first_line, "%.*s %.*s %.*s",
              STR_ARG (lines[0].team), STR_ARG (lines[0].model),
              STR_ARG (lines[0].version));
}

/* Assert that the report of DAY contains each of the bills 0 to COUNT - 1
   once.  */
static void
assert_billed (fixture_t *f, int writer_index, int count)
{
  report_t report = { 0 };

  ledger_report (f->ledgers[writer_index], DAY, on_report, &report);
  control_run_until (&f->base, &report.is_done);
  ck_assert_int_eq (report.code, VH_OK);
  ck_assert_uint_eq (report.requests, (uint64_t)count);
  ck_assert_uint_eq (report.tokens, (uint64_t)count * (count - 1) / 2);
  ck_assert_double_eq_tol (report.cost, (double)report.tokens / 8, 1e-6);
}

START_TEST (bills_share_rows)
{
  fixture_t f;
  report_t report = { 0 };

  setup (&f, 1);
  for (int i = 0; i < 95; i++)
    ck_assert_int_eq (add_bill (&f, 0, i), VH_OK);
  ck_assert_uint_eq (ledger_pending_count (f.ledgers[0]), 95);
  /* The row with the last five bills is written after FLUSH_MS.  */
  for (int i = 0; i < 100 && f.written < 95; i++)
    control_run_for (&f.base, 10);
  ck_assert_uint_eq (f.written, 95);
  ck_assert_uint_eq (control_count_rows (&f.base, STR ("ledger/")), 10);
  assert_billed (&f, 1, 95);
  ledger_report (f.ledgers[0], DAY, on_report, &report);
  control_run_until (&f.base, &report.is_done);
  ck_assert_uint_eq (report.lines, 2);
  ck_assert_str_eq (report.first_line, "coast draft-small draft-small@3");
  ledger_stats_t stats = ledger_stats (f.ledgers[0]);
  printf ("figures: 95 bills, rows of 10: %llu rows, %llu transactions\n",
          (unsigned long long)stats.rows_written,
          (unsigned long long)stats.txns_sent);
  teardown (&f);
}
END_TEST

START_TEST (bills_are_reported_by_day)
{
  fixture_t f;
  report_t report = { 0 };
  const ledger_bill_t next_day_bill
      = { .request_id = STR ("midnight"),
          .team = STR ("coast"),
          .created_at_ms = day_ms + 24 * 3600 * 1000 };

  setup (&f, 2);
  add_bill (&f, 0, 0);
  ledger_add (f.ledgers[0], &next_day_bill);
  flush_and_wait (&f, 0);
  assert_billed (&f, 0, 1);
  ledger_report (f.ledgers[0], STR ("2027-01-16"), on_report, &report);
  control_run_until (&f.base, &report.is_done);
  ck_assert_uint_eq (report.requests, 1);
  teardown (&f);
}
END_TEST

/* Failure: a bill is lost or counts twice because the store loses replies and
   requests and applies some transactions late.  */
START_TEST (each_bill_counts_once_despite_store_faults)
{
  enum
  {
    BILLS = 300
  };
  fixture_t f;

  setup (&f, (uint64_t)_i * 100 + 3);
  faulty_config_t *config = faulty_config (f.base.faulty);
  *config = (faulty_config_t){ .fail_share = 0.1,
                               .lost_reply_share = 0.25,
                               .lost_request_share = 0.15,
                               .late_effect_share = 0.2,
                               .late_effect_ms = 100,
                               .delay_ms = 5 };
  for (int i = 0; i < BILLS; i++)
    {
      add_bill (&f, i % WRITERS, i);
      if (i % 10 == 0)
        control_run_for (&f.base, 5);
    }
  control_run_for (&f.base, 100);
  *config = (faulty_config_t){ 0 };
  flush_and_wait (&f, 0);
  flush_and_wait (&f, 1);
  control_run_until_idle (&f.base);
  assert_billed (&f, 0, BILLS);
  teardown (&f);
}
END_TEST

static void
collect_bill (void *arg, const ledger_bill_t *bill)
{
  billset_add (arg, bill);
}

/* Failure: bills count twice when an entry stops before it knows that the
   store has some of its bills, and a peer writes all of them again.  */
START_TEST (bills_written_by_two_processes_count_once)
{
  fixture_t f;
  billset_t *held = billset_create ();

  setup (&f, 4);
  for (int i = 0; i < 25; i++)
    add_bill (&f, 0, i);
  faulty_config (f.base.faulty)->lost_reply_share = 1;
  control_run_for (&f.base, 60);
  ck_assert_uint_gt (faulty_counts (f.base.faulty)->lost_replies, 0);
  ledger_foreach_pending (f.ledgers[0], collect_bill, held);
  ck_assert_uint_eq (billset_size (held), 25);
  ledger_destroy (f.ledgers[0]);
  faulty_config (f.base.faulty)->lost_reply_share = 0;
  ck_assert_uint_gt (control_count_rows (&f.base, STR ("ledger/")), 0);
  ck_assert_int_eq (
      ledger_add_all (f.ledgers[1], billset_items (held), billset_size (held)),
      VH_OK);
  flush_and_wait (&f, 1);
  create_ledger (&f, 0, NULL, 0);
  assert_billed (&f, 0, 25);
  /* After a restart under the same name, the writer uses new row keys.  */
  add_bill (&f, 0, 25);
  flush_and_wait (&f, 0);
  assert_billed (&f, 1, 26);
  billset_destroy (held);
  teardown (&f);
}
END_TEST

/* Failure: during a long outage, pending bills use unbounded memory, retries
   continue at the normal rate, or the bills are written as many small rows
   afterwards.  The approach to the limit must be reported once.  */
START_TEST (memory_and_retries_are_bounded_in_outage)
{
  enum
  {
    BILLS_LIMIT = 1000
  };
  fixture_t f;

  setup (&f, 5);
  ledger_destroy (f.ledgers[0]);
  create_ledger (&f, 0, NULL, BILLS_LIMIT);
  faulty_config (f.base.faulty)->down = true;
  uint64_t txns = faulty_counts (f.base.faulty)->txns;
  for (int i = 0; i < BILLS_LIMIT; i++)
    {
      ck_assert_int_eq (add_bill (&f, 0, i), VH_OK);
      if (i % 50 == 0)
        control_run_for (&f.base, 40);
    }
  ck_assert_int_eq (add_bill (&f, 0, BILLS_LIMIT), VH_E_FULL);
  txns = faulty_counts (f.base.faulty)->txns - txns;
  /* The outage takes 0.8 s, and the retry delay doubles from 0.05 s.  */
  ck_assert_uint_lt (txns, 8);
  ledger_stats_t stats = ledger_stats (f.ledgers[0]);
  ck_assert_uint_eq (stats.limit_warnings, 1);
  ck_assert_uint_eq (stats.bills_rejected, 1);
  ck_assert_uint_eq (stats.rows_written, 0);
  faulty_config (f.base.faulty)->down = false;
  flush_and_wait (&f, 0);
  stats = ledger_stats (f.ledgers[0]);
  /* One partial row may have been sealed before the first failed write.  */
  ck_assert_uint_le (stats.rows_written, BILLS_LIMIT / FLUSH_BILLS + 1);
  assert_billed (&f, 0, BILLS_LIMIT);
  printf (
      "figures: outage of 0.8 s: %llu transactions tried; then %d bills in "
      "%llu rows\n",
      (unsigned long long)txns, BILLS_LIMIT,
      (unsigned long long)stats.rows_written);
  teardown (&f);
}
END_TEST

static void
on_held (void *owner, bool held)
{
  *(bool *)owner = held;
}

/* Failure: a report that runs during compaction misses a bill that was written
   before the report started, or counts it twice.  Two writers continue to
   write and lose replies in the meantime.  */
START_TEST (reports_are_exact_during_compaction)
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
  create_ledger (&f, 0, lease, 0);
  faulty_config_t *config = faulty_config (f.base.faulty);
  *config = (faulty_config_t){ .lost_reply_share = 0.2,
                               .lost_request_share = 0.1,
                               .late_effect_share = 0.1,
                               .late_effect_ms = 60,
                               .delay_ms = 4 };
  for (int i = 0; i < BILLS; i++)
    {
      add_bill (&f, i % WRITERS, i);
      if (i % 100 == 99)
        {
          flush_and_wait (&f, 0);
          flush_and_wait (&f, 1);
          assert_billed (&f, 1, i + 1);
        }
    }
  *config = (faulty_config_t){ 0 };
  size_t rows = 0;
  for (int i = 0; i < 200; i++)
    {
      control_run_for (&f.base, 10);
      rows = control_count_rows (&f.base, STR ("ledger/"));
      if (rows == 1)
        break;
    }
  ck_assert_uint_eq (rows, 1);
  control_run_until_idle (&f.base);
  assert_billed (&f, 0, BILLS);
  ck_assert_uint_gt (ledger_stats (f.ledgers[0]).rows_merged, 20);
  ledger_destroy (f.ledgers[0]);
  f.ledgers[0] = NULL;
  lease_destroy (lease);
  teardown (&f);
}
END_TEST

/* Failure: on a day with many bills, compaction merges rows that are already
   large again and again.  */
START_TEST (large_rows_are_not_merged)
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
    add_bill (&f, 1, i);
  flush_and_wait (&f, 1);
  size_t rows = control_count_rows (&f.base, STR ("ledger/"));
  ck_assert_uint_eq (rows, BILLS / FLUSH_BILLS);
  lease_t *lease
      = lease_create (&f.base.env, STR ("ledger"), STR ("entry-0"), &options);
  control_run_until (&f.base, &held);
  ledger_destroy (f.ledgers[0]);
  create_ledger (&f, 0, lease, 0);
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

/* Failure: a compactor is paused after it has read rows, another process
   acquires the lease and merges the same rows, and the first compactor then
   writes the old rows again.  */
START_TEST (paused_compactor_cannot_write)
{
  fixture_t f;
  bool held = false;
  const lease_options_t options = { 200, on_held, &held };

  setup (&f, 8);
  for (int i = 0; i < 40; i++)
    add_bill (&f, 1, i);
  flush_and_wait (&f, 1);
  lease_t *lease
      = lease_create (&f.base.env, STR ("ledger"), STR ("entry-0"), &options);
  control_run_until (&f.base, &held);
  /* Transactions take effect after another process has the lease.  */
  *faulty_config (f.base.faulty)
      = (faulty_config_t){ .late_effect_share = 1, .late_effect_ms = 800 };
  ledger_destroy (f.ledgers[0]);
  create_ledger (&f, 0, lease, 0);
  control_run_for (&f.base, 30);
  bool held_b = false;
  const lease_options_t options_b = { 200, on_held, &held_b };
  f.base.env.platform = f.base.memory;
  lease_t *second_lease = lease_create (&f.base.env, STR ("ledger"),
                                        STR ("entry-1"), &options_b);
  control_run_until (&f.base, &held_b);
  control_run_for (&f.base, 50);
  *faulty_config (f.base.faulty) = (faulty_config_t){ 0 };
  control_run_until_idle (&f.base);
  assert_billed (&f, 1, 40);
  ledger_destroy (f.ledgers[0]);
  f.ledgers[0] = NULL;
  lease_destroy (lease);
  lease_destroy (second_lease);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ledger");
  TCase *tcase = tcase_create ("ledger");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, bills_share_rows);
  tcase_add_test (tcase, bills_are_reported_by_day);
  tcase_add_loop_test (tcase, each_bill_counts_once_despite_store_faults, 0,
                       5);
  tcase_add_test (tcase, bills_written_by_two_processes_count_once);
  tcase_add_test (tcase, memory_and_retries_are_bounded_in_outage);
  tcase_add_loop_test (tcase, reports_are_exact_during_compaction, 0, 3);
  tcase_add_test (tcase, large_rows_are_not_merged);
  tcase_add_test (tcase, paused_compactor_cannot_write);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
