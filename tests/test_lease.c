/* Tests of the lease: which process holds it, and that a former holder cannot
   write.  */

#include "control/lease.h"
#include "control_fixture.h"
#include "suite.h"

enum
{
  TERM_MS = 600
};

typedef struct
{
  control_fixture_t base;
  lease_t *a;
  lease_t *b;
  bool a_held;
  bool b_held;
  bool a_has_lost;
} fixture_t;

static void
a_changed (void *owner, bool held)
{
  fixture_t *f = owner;

  f->a_held = held;
  f->a_has_lost = !held;
}

static void
b_changed (void *owner, bool held)
{
  ((fixture_t *)owner)->b_held = held;
}

static lease_t *
create_lease (fixture_t *f, const char *holder, void (*changed) (void *, bool))
{
  const lease_options_t options = { TERM_MS, changed, f };

  return lease_create (&f->base.env, STR ("duty"), str_from (holder),
                       &options);
}

static void
setup (fixture_t *f)
{
  memset (f, 0, sizeof *f);
  control_setup (&f->base, 1);
  f->a = create_lease (f, "a", a_changed);
  control_run_until (&f->base, &f->a_held);
}

static void
teardown (fixture_t *f)
{
  lease_destroy (f->a);
  lease_destroy (f->b);
  control_teardown (&f->base);
}

typedef struct
{
  bool is_done;
  vh_code_t code;
} result_t;

static void
on_txn (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  result_t *result = arg;

  (void)revision;
  (void)conflict_key;
  result->code = code;
  result->is_done = true;
}

/* Write VALUE to a row on CONDITION and return the result.  */
static vh_code_t
write_with_condition (fixture_t *f, txn_condition_t condition, str_t value)
{
  const txn_write_t write = { STR ("work"), value, false };
  const txn_t txn = { &condition, 1, &write, 1, STR_NULL };
  result_t result = { 0 };

  f->base.memory->ops->txn (f->base.memory, &txn, on_txn, &result);
  control_run_until (&f->base, &result.is_done);
  return result.code;
}

START_TEST (renewals_keep_the_lease)
{
  fixture_t f;

  setup (&f);
  f.b = create_lease (&f, "b", b_changed);
  control_run_for (&f.base, 3 * TERM_MS);
  ck_assert (f.a_held);
  ck_assert (!f.a_has_lost);
  ck_assert (!f.b_held);
  /* A renewal must not change the condition of a write in progress.  */
  ck_assert_int_eq (
      write_with_condition (&f, lease_condition (f.a), STR ("a")), VH_OK);
  teardown (&f);
}
END_TEST

/* Failure: after a planned stop of the holder, the next holder has to wait for
   the end of the term.  */
START_TEST (released_lease_is_acquired_immediately)
{
  fixture_t f;

  setup (&f);
  lease_destroy (f.a);
  f.a = NULL;
  control_run_until_idle (&f.base);
  uint64_t start_ms = clock_ms (f.base.clock);
  f.b = create_lease (&f, "b", b_changed);
  control_run_until (&f.base, &f.b_held);
  ck_assert_uint_lt (clock_ms (f.base.clock) - start_ms, TERM_MS / 2);
  teardown (&f);
}
END_TEST

/* Failure: a holder is paused until its lease expires and another process has
   acquired the lease.  When it resumes, it overwrites the newer writes before
   it checks the clock.  */
START_TEST (paused_holder_cannot_write)
{
  fixture_t f;

  setup (&f);
  txn_condition_t old_condition = lease_condition (f.a);
  /* Simulates the pause: all calls of the first holder fail.  */
  faulty_config (f.base.faulty)->down = true;
  f.base.env.platform = f.base.memory;
  f.b = create_lease (&f, "b", b_changed);
  control_run_until (&f.base, &f.b_held);
  ck_assert_int_eq (
      write_with_condition (&f, lease_condition (f.b), STR ("b")), VH_OK);
  ck_assert_int_eq (write_with_condition (&f, old_condition, STR ("a")),
                    VH_E_CONFLICT);
  ck_assert (!lease_is_held (f.a));
  ck_assert (f.a_has_lost);
  /* After the pause, the first holder must detect the new holder.  */
  faulty_config (f.base.faulty)->down = false;
  control_run_for (&f.base, 2 * TERM_MS);
  ck_assert (!lease_is_held (f.a));
  ck_assert (lease_is_held (f.b));
  buf_t value = BUF_NULL;
  ck_assert (control_read_row (&f.base, STR ("work"), &value));
  ck_assert (str_eq (buf_str (&value), STR ("b")));
  buf_free (&value);
  teardown (&f);
}
END_TEST

/* Failure: a holder starts new work after a pause that was longer than the
   term, which the process observes as a jump of its clock.  */
START_TEST (expired_lease_is_not_held)
{
  fixture_t f;

  setup (&f);
  ck_assert (lease_is_held (f.a));
  clock_manual_advance_us (f.base.clock, TERM_MS * 1000);
  ck_assert (!lease_is_held (f.a));
  teardown (&f);
}
END_TEST

/* Failure: an observer sees no renewal for a whole term and sends a
   transaction to acquire the lease, which is delayed.  The holder renews in
   the meantime, but loses the lease to the delayed transaction.  */
START_TEST (renewal_defeats_slow_acquisition)
{
  fixture_t f;

  memset (&f, 0, sizeof f);
  control_setup (&f.base, 1);
  platform_t *faulty = f.base.env.platform;
  f.base.env.platform = f.base.memory;
  f.base.env.clock = clock_system ();
  f.a = create_lease (&f, "a", a_changed);
  control_run_until (&f.base, &f.a_held);
  f.base.env.platform = faulty;
  f.base.env.clock = f.base.clock;
  f.b = create_lease (&f, "b", b_changed);
  control_run_until_idle (&f.base);
  faulty_config (faulty)->hold_txns = true;
  /* Only the clock of B is advanced past the term.  */
  clock_manual_advance_us (f.base.clock, (TERM_MS + 1) * 1000);
  uint64_t txns_before = faulty_counts (faulty)->txns;
  while (faulty_counts (faulty)->txns == txns_before)
    {
      lease_poll (f.b);
      control_run_for (&f.base, 5);
      clock_manual_advance_us (f.base.clock, (TERM_MS + 1) * 1000);
    }
  lease_poll (f.a);
  control_run_for (&f.base, 20);
  faulty_release (faulty);
  control_run_until_idle (&f.base);
  ck_assert (!f.b_held);
  ck_assert_int_eq (
      write_with_condition (&f, lease_condition (f.a), STR ("a")), VH_OK);
  teardown (&f);
}
END_TEST

/* Failure: two processes can write under the lease at the same time, because
   replies are lost and transactions take effect late.  */
START_TEST (never_two_concurrent_writers)
{
  fixture_t f;

  memset (&f, 0, sizeof f);
  control_setup (&f.base, (uint64_t)_i);
  faulty_config_t *config = faulty_config (f.base.faulty);
  config->lost_reply_share = 0.2;
  config->lost_request_share = 0.1;
  config->late_effect_share = 0.2;
  config->late_effect_ms = TERM_MS;
  config->delay_ms = 20;
  f.a = create_lease (&f, "a", a_changed);
  f.b = create_lease (&f, "b", b_changed);
  for (int i = 0; i < 30; i++)
    {
      control_run_for (&f.base, 20);
      if (i % 10 == 9)
        clock_manual_advance_us (f.base.clock, TERM_MS * 1000);
      if (!lease_is_held (f.a) || !lease_is_held (f.b))
        continue;
      vh_code_t a
          = write_with_condition (&f, lease_condition (f.a), STR ("a"));
      vh_code_t b
          = write_with_condition (&f, lease_condition (f.b), STR ("b"));
      ck_assert_msg (a != VH_OK || b != VH_OK,
                     "both processes wrote under the lease, seed %d", _i);
    }
  config->lost_reply_share = config->lost_request_share
      = config->late_effect_share = 0;
  control_run_for (&f.base, 2 * TERM_MS);
  ck_assert (lease_is_held (f.a) != lease_is_held (f.b));
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("lease");
  TCase *tcase = tcase_create ("lease");

  tcase_add_test (tcase, renewals_keep_the_lease);
  tcase_add_test (tcase, released_lease_is_acquired_immediately);
  tcase_add_test (tcase, paused_holder_cannot_write);
  tcase_add_test (tcase, expired_lease_is_not_held);
  tcase_add_test (tcase, renewal_defeats_slow_acquisition);
  tcase_add_loop_test (tcase, never_two_concurrent_writers, 0, 5);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
