/* Bills on their way to the store: each once, whatever becomes of a write.  */

#include "gateway/billing.h"
#include "suite.h"

#include <stdio.h>

enum
{
  LIMIT_MS = 9000
};

/* A store whose writes are done and not answered, or refused.  */
typedef struct
{
  rows_t base;
  uv_loop_t *loop;
  uv_timer_t timer;
  vh_code_t next; /* Told for the call at hand.  */
  bool does;      /* The write takes effect.  */
  char keys[32][96];
  size_t lines[32];
  size_t count;
  size_t calls;
  rows_cb_t cb;
  void *arg;
} store_t;

static void
on_answer (uv_timer_t *timer)
{
  store_t *store = timer->data;
  static const rows_result_t none = { 0 };

  store->cb (store->arg, store->next, &none);
}

static void
commit (rows_t *rows, const rows_write_t *writes, size_t count,
        uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  store_t *store = (store_t *)rows;
  char key[96];
  bool known = false;

  (void)timeout_ms;
  ck_assert_uint_eq (count, 1);
  ck_assert (writes->is_conditional && writes->expected == 0);
  snprintf (key, sizeof key, "%.*s", STR_ARG (writes->key));
  for (size_t i = 0; i < store->count; i++)
    known = known || strcmp (store->keys[i], key) == 0;
  store->calls++;
  if (known)
    store->next = VH_E_CONFLICT;
  else if (store->does)
    {
      strcpy (store->keys[store->count], key);
      for (size_t i = 0; i < writes->value.len; i++)
        store->lines[store->count] += writes->value.ptr[i] == '\n';
      store->count++;
    }
  store->cb = cb;
  store->arg = arg;
  uv_timer_start (&store->timer, on_answer, 1, 0);
}

static void
forget (rows_t *rows, const void *arg)
{
  (void)arg;
  uv_timer_stop (&((store_t *)rows)->timer);
}

static const rows_ops_t ops = { .commit = commit, .cancel = forget };

typedef struct
{
  uv_loop_t loop;
  store_t store;
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
  f->store.next = VH_OK;
  f->store.does = true;
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
add (fixture_t *f, size_t count)
{
  const bill_t bill = { .id = STR ("a \"b\"\n"), .whole = true };

  for (size_t i = 0; i < count; i++)
    billing_add (f->bills, &bill);
}

static size_t
billed (const fixture_t *f)
{
  size_t sum = 0;

  for (size_t i = 0; i < f->store.count; i++)
    sum += f->store.lines[i];
  return sum;
}

static void
flush (fixture_t *f)
{
  uint64_t start_ms = uv_now (&f->loop);

  billing_flush (f->bills);
  while (billing_waiting (f->bills) > 0
         && uv_now (&f->loop) - start_ms < LIMIT_MS)
    uv_run (&f->loop, UV_RUN_ONCE);
  ck_assert_uint_eq (billing_waiting (f->bills), 0);
}

/* A write is done and its reply lost; more bills come before it is sent again.
   Every bill is there once.  */
START_TEST (a_lost_reply_bills_nothing_twice)
{
  fixture_t f;

  setup (&f);
  add (&f, 10);
  f.store.next = VH_E_STORE_LATE;
  billing_flush (f.bills);
  while (f.store.calls == 0 || uv_is_active ((uv_handle_t *)&f.store.timer))
    uv_run (&f.loop, UV_RUN_ONCE);
  add (&f, 5);
  f.store.next = VH_OK;
  while (billing_waiting (f.bills) > 5)
    uv_run (&f.loop, UV_RUN_ONCE);
  f.store.next = VH_OK;
  flush (&f);
  ck_assert_uint_eq (billed (&f), 15);
  teardown (&f);
}
END_TEST

/* The store is away: bills wait within their bound, and are written in batches
   at its return.  */
START_TEST (bills_wait_for_the_store)
{
  fixture_t f;

  setup (&f);
  f.store.next = VH_E_STORE_DOWN;
  f.store.does = false;
  add (&f, 3 * BILLING_BATCH);
  while (f.store.calls < 2)
    uv_run (&f.loop, UV_RUN_ONCE);
  ck_assert_uint_eq (billing_waiting (f.bills), 3 * BILLING_BATCH);
  while (uv_is_active ((uv_handle_t *)&f.store.timer))
    uv_run (&f.loop, UV_RUN_ONCE);
  f.store.does = true;
  f.store.next = VH_OK;
  flush (&f);
  ck_assert_uint_eq (billed (&f), 3 * BILLING_BATCH);
  ck_assert_uint_eq (billing_dropped (f.bills), 0);
  f.store.next = VH_E_STORE_DOWN;
  f.store.does = false;
  add (&f, BILLING_KEPT + 1);
  ck_assert_uint_eq (billing_dropped (f.bills), BILLING_BATCH);
  ck_assert_uint_le (billing_waiting (f.bills), BILLING_KEPT);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("billing");
  TCase *tcase = tcase_create ("billing");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, a_lost_reply_bills_nothing_twice);
  tcase_add_test (tcase, bills_wait_for_the_store);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
