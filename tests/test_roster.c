/* Tests of the roster: the lagging list against what is seen.  */

#include "control/roster.h"
#include "control_fixture.h"
#include "suite.h"

#include <stdio.h>

enum
{
  PERIOD_MS = 20,
  LINGER_MS = 100
};

typedef struct
{
  control_fixture_t base;
  roster_t *roster;
  buf_t events; /* "+name ", "~name:STATE ", "-name " in order.  */
} fixture_t;

static void
on_changed (void *owner, roster_event_t event, const roster_entry_t *entry)
{
  static const char *const signs[] = { "+", "~", "-" };
  static const char *const states[] = { "up", "draining", "silent" };
  fixture_t *f = owner;

  buf_printf (&f->events, "%s%.*s", signs[event], STR_ARG (entry->name));
  if (event != ROSTER_REMOVED)
    buf_printf (&f->events, ":%s", states[entry->state]);
  buf_append_char (&f->events, ' ');
}

static void
list (fixture_t *f, const char *name, const char *zone, instance_state_t state)
{
  const instance_row_t row = { .name = str_from (name),
                               .role = STR ("entry"),
                               .zone = str_from (zone),
                               .address = STR ("127.0.0.1:1"),
                               .state = state };

  platform_memory_put_instance (f->base.memory, &row);
}

/* Let the roster read the list, then compare and forget the events.  */
static void
expect (fixture_t *f, str_t events)
{
  roster_poll (f->roster);
  control_settle (&f->base);
  ck_assert_msg (str_eq (buf_str (&f->events), events), "%.*s, not %.*s",
                 (int)f->events.len, f->events.ptr, STR_ARG (events));
  f->events.len = 0;
}

static void
setup (fixture_t *f)
{
  const roster_options_t options = { PERIOD_MS, LINGER_MS, on_changed, f };

  memset (f, 0, sizeof *f);
  control_setup (&f->base, 1);
  list (f, "r-1", "a", INSTANCE_LIVE);
  f->roster = roster_create (&f->base.env, &options);
  ck_assert_uint_eq (roster_age_ms (f->roster), UINT64_MAX);
  expect (f, STR ("+r-1:up "));
  ck_assert_uint_lt (roster_age_ms (f->roster), 1000);
}

static void
teardown (fixture_t *f)
{
  roster_destroy (f->roster);
  control_teardown (&f->base);
  buf_free (&f->events);
}

START_TEST (the_list_is_followed)
{
  fixture_t f;

  setup (&f);
  list (&f, "r-2", "a", INSTANCE_LIVE);
  expect (&f, STR ("+r-2:up "));
  list (&f, "r-1", "a", INSTANCE_LEAVING);
  expect (&f, STR ("~r-1:draining "));
  list (&f, "r-1", "a", INSTANCE_GONE);
  expect (&f, STR ("-r-1 "));
  ck_assert_ptr_null (roster_find (f.roster, STR ("r-1")));
  ck_assert_uint_eq (roster_count (f.roster), 1);
  /* Nothing new, nothing told.  */
  expect (&f, STR (""));
  teardown (&f);
}
END_TEST

/* A runner stops answering, or says that it drains, seconds before the list
   knows: it must get no new work from then on, and work again when it
   returns.  */
START_TEST (sight_comes_before_the_list)
{
  fixture_t f;

  setup (&f);
  roster_report_unresponsive (f.roster, STR ("r-1"));
  expect (&f, STR ("~r-1:silent "));
  roster_report_responsive (f.roster, STR ("r-1"));
  expect (&f, STR ("~r-1:up "));
  roster_report_draining (f.roster, STR ("r-1"), true);
  /* The list, which still says live, does not undo it.  */
  expect (&f, STR ("~r-1:draining "));
  roster_report_responsive (f.roster, STR ("r-1"));
  expect (&f, STR (""));
  roster_report_draining (f.roster, STR ("r-1"), false);
  expect (&f, STR ("~r-1:up "));
  teardown (&f);
}
END_TEST

/* The list drops a runner that still answers.  What it has in hand must not
   be cut off, but it gets nothing new, and it goes once it is quiet.  */
START_TEST (gone_but_heard_drains)
{
  fixture_t f;

  setup (&f);
  roster_report_responsive (f.roster, STR ("r-1"));
  list (&f, "r-1", "a", INSTANCE_GONE);
  expect (&f, STR ("~r-1:draining "));
  clock_manual_advance_us (f.base.clock, (LINGER_MS + 1) * 1000);
  control_run_for (&f.base, 3 * PERIOD_MS);
  expect (&f, STR ("-r-1 "));
  teardown (&f);
}
END_TEST

/* A new runner says hello before the list has it.  */
START_TEST (sighted_before_listed)
{
  fixture_t f;
  const instance_row_t row = { .name = STR ("r-9"),
                               .role = STR ("entry"),
                               .zone = STR ("a"),
                               .address = STR ("127.0.0.1:1") };

  setup (&f);
  roster_report_instance (f.roster, &row);
  expect (&f, STR ("+r-9:up "));
  list (&f, "r-9", "a", INSTANCE_LIVE);
  expect (&f, STR (""));
  clock_manual_advance_us (f.base.clock, (LINGER_MS + 1) * 1000);
  control_run_for (&f.base, 3 * PERIOD_MS);
  expect (&f, STR (""));
  teardown (&f);
}
END_TEST

/* A runner is replaced by one of the same name elsewhere while the old one
   was draining: the new one must not inherit that.  */
START_TEST (new_address_is_a_new_process)
{
  fixture_t f;
  const instance_row_t row = { .name = STR ("r-1"),
                               .role = STR ("entry"),
                               .zone = STR ("a"),
                               .address = STR ("127.0.0.2:1"),
                               .state = INSTANCE_LIVE };

  setup (&f);
  roster_report_draining (f.roster, STR ("r-1"), true);
  platform_memory_put_instance (f.base.memory, &row);
  expect (&f, STR ("~r-1:draining ~r-1:up "));
  ck_assert (str_eq (roster_find (f.roster, STR ("r-1"))->address,
                     STR ("127.0.0.2:1")));
  teardown (&f);
}
END_TEST

/* The list cannot be read for long: nobody may be dropped for it, and the
   service is asked less and less.  */
START_TEST (list_down_keeps_all)
{
  fixture_t f;

  setup (&f);
  faulty_knobs (f.base.faulty)->down = true;
  control_run_for (&f.base, 200);
  expect (&f, STR (""));
  ck_assert_uint_eq (roster_count (f.roster), 1);
  ck_assert_uint_ge (roster_age_ms (f.roster), 150);
  faulty_knobs (f.base.faulty)->down = false;
  list (&f, "r-2", "a", INSTANCE_LIVE);
  expect (&f, STR ("+r-2:up "));
  teardown (&f);
}
END_TEST

/* The store was down for many periods.  Just after its return the platform
   lists an upstream as leaving.  A roster whose waits had doubled all the
   while would go on sending it work for as long as half the outage: the wait
   was drawn before the return and nothing cuts it short.  */
START_TEST (departure_after_an_outage)
{
  enum
  {
    OUTAGE_MS = 1500,
    KNOWN_MS = 6 * PERIOD_MS
  };
  fixture_t f;

  setup (&f);
  faulty_knobs (f.base.faulty)->down = true;
  control_run_for (&f.base, OUTAGE_MS);
  faulty_knobs (f.base.faulty)->down = false;
  list (&f, "r-1", "a", INSTANCE_LEAVING);
  control_run_for (&f.base, KNOWN_MS);
  ck_assert_msg (str_eq (buf_str (&f.events), STR ("~r-1:draining ")),
                 "events: %.*s", STR_ARG (buf_str (&f.events)));
  teardown (&f);
}
END_TEST

/* Which entries poll the store must follow from the roster alone: distinct
   ranks, the same for all who ask, and one that leaves changes no order
   among the others.  */
START_TEST (ranks_are_agreed)
{
  enum
  {
    MEMBERS = 20
  };
  fixture_t f;
  char name[16];
  size_t rank[MEMBERS];
  bool taken[MEMBERS] = { false };
  int last = 0;

  setup (&f);
  list (&f, "r-1", "a", INSTANCE_GONE);
  for (int i = 0; i < MEMBERS; i++)
    {
      snprintf (name, sizeof name, "e-%d", i);
      list (&f, name, "b", INSTANCE_LIVE);
    }
  roster_poll (f.roster);
  control_settle (&f.base);
  for (int i = 0; i < MEMBERS; i++)
    {
      snprintf (name, sizeof name, "e-%d", i);
      rank[i] = roster_rank (f.roster, STR ("conf"), STR ("entry"), STR ("b"),
                             str_from (name));
      ck_assert_uint_lt (rank[i], MEMBERS);
      ck_assert (!taken[rank[i]]);
      taken[rank[i]] = true;
      last = rank[i] == 0 ? i : last;
    }
  snprintf (name, sizeof name, "e-%d", last);
  roster_report_unresponsive (f.roster, str_from (name));
  for (int i = 0; i < MEMBERS; i++)
    {
      snprintf (name, sizeof name, "e-%d", i);
      size_t now = roster_rank (f.roster, STR ("conf"), STR ("entry"),
                                STR ("b"), str_from (name));
      ck_assert_uint_eq (now, i == last ? 0 : rank[i] - 1);
    }
  f.events.len = 0;
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("roster");
  TCase *tcase = tcase_create ("roster");

  tcase_add_test (tcase, the_list_is_followed);
  tcase_add_test (tcase, sight_comes_before_the_list);
  tcase_add_test (tcase, gone_but_heard_drains);
  tcase_add_test (tcase, sighted_before_listed);
  tcase_add_test (tcase, new_address_is_a_new_process);
  tcase_add_test (tcase, list_down_keeps_all);
  tcase_add_test (tcase, departure_after_an_outage);
  tcase_add_test (tcase, ranks_are_agreed);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
