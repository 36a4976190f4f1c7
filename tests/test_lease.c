/* Tests of the lease: who holds, and what a former holder can still do.  */

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
  bool a_lost;
} fixture_t;

static void
a_changed (void *owner, bool held)
{
  fixture_t *f = owner;

  f->a_held = held;
  f->a_lost = !held;
}

static void
b_changed (void *owner, bool held)
{
  ((fixture_t *)owner)->b_held = held;
}

static lease_t *
make (fixture_t *f, const char *holder, void (*changed) (void *, bool))
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
  f->a = make (f, "a", a_changed);
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
  bool done;
  vh_code_t code;
} result_t;

static void
on_txn (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  result_t *result = arg;

  (void)revision;
  (void)conflict_key;
  result->code = code;
  result->done = true;
}

/* Write VALUE to a row under CONDITION; return the code.  */
static vh_code_t
write_under (fixture_t *f, txn_condition_t condition, str_t value)
{
  const txn_write_t write = { STR ("work"), value, false };
  const txn_t txn = { &condition, 1, &write, 1, STR_NULL };
  result_t result = { 0 };

  f->base.memory->ops->txn (f->base.memory, &txn, on_txn, &result);
  control_run_until (&f->base, &result.done);
  return result.code;
}

START_TEST (one_holder_who_renews)
{
  fixture_t f;

  setup (&f);
  f.b = make (&f, "b", b_changed);
  control_run_for (&f.base, 3 * TERM_MS);
  ck_assert (f.a_held);
  ck_assert (!f.a_lost);
  ck_assert (!f.b_held);
  /* A renewal must not disturb a write under way.  */
  ck_assert_int_eq (write_under (&f, lease_condition (f.a), STR ("a")), VH_OK);
  teardown (&f);
}
END_TEST

/* A planned stop: the duty must pass on at once, not after the term.  */
START_TEST (given_up_is_taken_at_once)
{
  fixture_t f;

  setup (&f);
  lease_destroy (f.a);
  f.a = NULL;
  control_settle (&f.base);
  uint64_t start_ms = clock_ms (f.base.clock);
  f.b = make (&f, "b", b_changed);
  control_run_until (&f.base, &f.b_held);
  ck_assert_uint_lt (clock_ms (f.base.clock) - start_ms, TERM_MS / 2);
  teardown (&f);
}
END_TEST

/* A controller is paused in the middle of its work, its lease lapses, another
   takes over and works on.  The first wakes, has not looked at a clock yet
   and goes on writing: the operator must not see the newer work undone.  */
START_TEST (paused_holder_changes_nothing)
{
  fixture_t f;

  setup (&f);
  txn_condition_t stale = lease_condition (f.a);
  /* Paused: its calls fail and its timers do nothing that counts.  */
  faulty_knobs (f.base.faulty)->down = true;
  f.base.env.platform = f.base.memory;
  f.b = make (&f, "b", b_changed);
  control_run_until (&f.base, &f.b_held);
  ck_assert_int_eq (write_under (&f, lease_condition (f.b), STR ("b")), VH_OK);
  ck_assert_int_eq (write_under (&f, stale, STR ("a")), VH_E_CONFLICT);
  ck_assert (!lease_is_held (f.a));
  ck_assert (f.a_lost);
  /* Awake again, it learns that the lease has passed on.  */
  faulty_knobs (f.base.faulty)->down = false;
  control_run_for (&f.base, 2 * TERM_MS);
  ck_assert (!lease_is_held (f.a));
  ck_assert (lease_is_held (f.b));
  buf_t value = BUF_NULL;
  ck_assert (control_read (&f.base, STR ("work"), &value));
  ck_assert (str_eq (buf_str (&value), STR ("b")));
  buf_free (&value);
  teardown (&f);
}
END_TEST

/* The holder's clock jumps past the term between two looks (a pause as the
   process itself sees it): it must not begin new work.  */
START_TEST (lapsed_holder_knows)
{
  fixture_t f;

  setup (&f);
  ck_assert (lease_is_held (f.a));
  clock_manual_advance_us (f.base.clock, TERM_MS * 1000);
  ck_assert (!lease_is_held (f.a));
  teardown (&f);
}
END_TEST

/* An observer has seen no renewal for a term and sends its bid, which is slow
   on the way; the holder renews meanwhile.  The bid must fail, or a holder in
   the middle of its work would lose it for nothing.  */
START_TEST (renewal_beats_a_slow_bid)
{
  fixture_t f;

  memset (&f, 0, sizeof f);
  control_setup (&f.base, 1);
  platform_t *faulty = f.base.env.platform;
  f.base.env.platform = f.base.memory;
  f.base.env.clock = clock_system ();
  f.a = make (&f, "a", a_changed);
  control_run_until (&f.base, &f.a_held);
  f.base.env.platform = faulty;
  f.base.env.clock = f.base.clock;
  f.b = make (&f, "b", b_changed);
  control_settle (&f.base);
  faulty_knobs (faulty)->hold_txns = true;
  /* Only B's clock jumps.  */
  clock_manual_advance_us (f.base.clock, (TERM_MS + 1) * 1000);
  uint64_t bids = faulty_counts (faulty)->txns;
  while (faulty_counts (faulty)->txns == bids)
    {
      lease_poll (f.b);
      control_run_for (&f.base, 5);
      clock_manual_advance_us (f.base.clock, (TERM_MS + 1) * 1000);
    }
  lease_poll (f.a);
  control_run_for (&f.base, 20);
  faulty_release (faulty);
  control_settle (&f.base);
  ck_assert (!f.b_held);
  ck_assert_int_eq (write_under (&f, lease_condition (f.a), STR ("a")), VH_OK);
  teardown (&f);
}
END_TEST

/* Replies are lost and effects come late while two processes want the duty.
   At no time may both be able to write under it.  */
START_TEST (never_two_writers)
{
  fixture_t f;

  memset (&f, 0, sizeof f);
  control_setup (&f.base, (uint64_t)_i);
  faulty_knobs_t *knobs = faulty_knobs (f.base.faulty);
  knobs->lost_share = 0.2;
  knobs->vanish_share = 0.1;
  knobs->late_effect_share = 0.2;
  knobs->late_effect_ms = TERM_MS;
  knobs->delay_ms = 20;
  f.a = make (&f, "a", a_changed);
  f.b = make (&f, "b", b_changed);
  for (int i = 0; i < 30; i++)
    {
      control_run_for (&f.base, 20);
      if (i % 10 == 9)
        clock_manual_advance_us (f.base.clock, TERM_MS * 1000);
      if (!lease_is_held (f.a) || !lease_is_held (f.b))
        continue;
      vh_code_t a = write_under (&f, lease_condition (f.a), STR ("a"));
      vh_code_t b = write_under (&f, lease_condition (f.b), STR ("b"));
      ck_assert_msg (a != VH_OK || b != VH_OK, "two writers, seed %d", _i);
    }
  knobs->lost_share = knobs->vanish_share = knobs->late_effect_share = 0;
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

  tcase_add_test (tcase, one_holder_who_renews);
  tcase_add_test (tcase, given_up_is_taken_at_once);
  tcase_add_test (tcase, paused_holder_changes_nothing);
  tcase_add_test (tcase, lapsed_holder_knows);
  tcase_add_test (tcase, renewal_beats_a_slow_bid);
  tcase_add_loop_test (tcase, never_two_writers, 0, 5);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
