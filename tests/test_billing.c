/* Tests of billing: each bill is written exactly once although writes fail or
   their replies are lost.  */

#include "gateway/billing.h"
#include "suite.h"

#include <stdio.h>

enum
{
  FLUSH_TIMEOUT_MS = 9000
};

/* Simulated store that applies writes but loses the reply, or refuses
   writes.  */
typedef struct
{
  rows_t base;
  uv_loop_t *loop;
  uv_timer_t timer;
  vh_code_t next_code; /* Result reported for the current write.  */
  bool applies_writes; /* Writes take effect, even if their result is an
                          error.  */
  char keys[32][96];
  size_t line_counts[32];
  size_t row_count;
  size_t commit_count;
  rows_cb_t cb;
  void *arg;
} fake_store_t;

static void
on_reply (uv_timer_t *timer)
{
  fake_store_t *store = timer->data;
  static const rows_result_t none = { 0 };

  store->cb (store->arg, store->next_code, &none);
}

static void
commit (rows_t *rows, const rows_write_t *writes, size_t count,
        uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  fake_store_t *store = (fake_store_t *)rows;
  char key[96];
  bool exists = false;

  (void)timeout_ms;
  ck_assert_uint_eq (count, 1);
  ck_assert (writes->is_conditional && writes->expected_version == 0);
  snprintf (key, sizeof key, "%.*s", STR_ARG (writes->key));
  for (size_t i = 0; i < store->row_count; i++)
    exists = exists || strcmp (store->keys[i], key) == 0;
  store->commit_count++;
  if (exists)
    store->next_code = VH_E_CONFLICT;
  else if (store->applies_writes)
    {
      strcpy (store->keys[store->row_count], key);
      for (size_t i = 0; i < writes->value.len; i++)
        store->line_counts[store->row_count] += writes->value.ptr[i] == '\n';
      store->row_count++;
    }
  store->cb = cb;
  store->arg = arg;
  uv_timer_start (&store->timer, on_reply, 1, 0);
}

static void
forget (rows_t *rows, const void *arg)
{
  (void)arg;
  uv_timer_stop (&((fake_store_t *)rows)->timer);
}

static const rows_ops_t ops = { .commit = commit, .cancel = forget };

typedef struct
{
  uv_loop_t loop;
  fake_store_t store;
  billing_t *bills;
} fixture_t;

static void
setup (fixture_t *f)
{
  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  f->store.base.ops = &ops;
  f->store.loop = &f->loop;
  uv_timer_init (&f->loop, &f->store.timer);
  f->store.timer.data = &f->store;
  f->store.next_code = VH_OK;
  f->store.applies_writes = true;
  f->bills = billing_create (&f->loop, &f->store.base, STR ("g"), 7);
}

static void
teardown (fixture_t *f)
{
  billing_destroy (f->bills);
  uv_close ((uv_handle_t *)&f->store.timer, NULL);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

static void
add_bills (fixture_t *f, size_t count)
{
  const bill_t bill = { .attempt_id = STR ("a \"b\"\n"), .is_complete = true };

  for (size_t i = 0; i < count; i++)
    billing_add (f->bills, &bill);
}

static size_t
stored_bill_count (const fixture_t *f)
{
  size_t total = 0;

  for (size_t i = 0; i < f->store.row_count; i++)
    total += f->store.line_counts[i];
  return total;
}

static void
flush_and_wait (fixture_t *f)
{
  uint64_t start_ms = uv_now (&f->loop);

  billing_flush (f->bills);
  while (billing_queued_bill_count (f->bills) > 0
         && uv_now (&f->loop) - start_ms < FLUSH_TIMEOUT_MS)
    uv_run (&f->loop, UV_RUN_ONCE);
  ck_assert_uint_eq (billing_queued_bill_count (f->bills), 0);
}

/* A write is applied, its reply is lost, and more bills are added before the
   write is repeated.  Each bill must be stored once.  */
START_TEST (lost_reply_does_not_duplicate_bills)
{
  fixture_t f;

  setup (&f);
  add_bills (&f, 10);
  f.store.next_code = VH_E_STORE_LATE;
  billing_flush (f.bills);
  while (f.store.commit_count == 0
         || uv_is_active ((uv_handle_t *)&f.store.timer))
    uv_run (&f.loop, UV_RUN_ONCE);
  add_bills (&f, 5);
  f.store.next_code = VH_OK;
  while (billing_queued_bill_count (f.bills) > 5)
    uv_run (&f.loop, UV_RUN_ONCE);
  f.store.next_code = VH_OK;
  flush_and_wait (&f);
  ck_assert_uint_eq (stored_bill_count (&f), 15);
  teardown (&f);
}
END_TEST

/* The store is unavailable.  Bills must be queued up to the limit and written
   in batches when the store is available again; bills beyond the limit must be
   dropped and counted.  */
START_TEST (bills_are_queued_during_outage)
{
  fixture_t f;

  setup (&f);
  f.store.next_code = VH_E_STORE_DOWN;
  f.store.applies_writes = false;
  add_bills (&f, 3 * BILLING_BATCH_BILLS);
  while (f.store.commit_count < 2)
    uv_run (&f.loop, UV_RUN_ONCE);
  ck_assert_uint_eq (billing_queued_bill_count (f.bills),
                     3 * BILLING_BATCH_BILLS);
  while (uv_is_active ((uv_handle_t *)&f.store.timer))
    uv_run (&f.loop, UV_RUN_ONCE);
  f.store.applies_writes = true;
  f.store.next_code = VH_OK;
  flush_and_wait (&f);
  ck_assert_uint_eq (stored_bill_count (&f), 3 * BILLING_BATCH_BILLS);
  ck_assert_uint_eq (billing_dropped_bill_count (f.bills), 0);
  f.store.next_code = VH_E_STORE_DOWN;
  f.store.applies_writes = false;
  add_bills (&f, BILLING_QUEUED_BILLS_MAX + 1);
  ck_assert_uint_eq (billing_dropped_bill_count (f.bills),
                     BILLING_BATCH_BILLS);
  ck_assert_uint_le (billing_queued_bill_count (f.bills),
                     BILLING_QUEUED_BILLS_MAX);
  teardown (&f);
}
END_TEST

/* The store comes back from an older copy, without batches that it had
   acknowledged.  Each bill must be stored once, also if the copy has some.  */
START_TEST (acknowledged_bills_are_lost_with_the_store)
{
  fixture_t f;

  setup (&f);
  add_bills (&f, BILLING_BATCH_BILLS);
  flush_and_wait (&f);
  add_bills (&f, 7);
  flush_and_wait (&f);
  ck_assert_uint_eq (f.store.row_count, 2);
  memset (&f.store.line_counts[1], 0, sizeof f.store.line_counts[1]);
  f.store.row_count = 1;
  add_bills (&f, 3);
  billing_write_again (f.bills);
  while (billing_queued_bill_count (f.bills) > 0)
    {
      f.store.next_code = VH_OK;
      uv_run (&f.loop, UV_RUN_ONCE);
    }
  ck_assert_uint_eq (f.store.row_count, 3);
  ck_assert_uint_eq (stored_bill_count (&f), BILLING_BATCH_BILLS + 10);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("billing");
  TCase *tcase = tcase_create ("billing");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, lost_reply_does_not_duplicate_bills);
  tcase_add_test (tcase, bills_are_queued_during_outage);
  tcase_add_test (tcase, acknowledged_bills_are_lost_with_the_store);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
