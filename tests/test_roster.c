/* Tests of the roster, which combines the instance list, which lags behind,
   with observations of the instances.  */

#include "control/roster.h"
#include "control_fixture.h"
#include "suite.h"

#include <stdio.h>

enum
{
  POLL_INTERVAL_MS = 20,
  UNLISTED_TTL_MS = 100
};

typedef struct
{
  control_fixture_t base;
  roster_t *roster;
  buf_t events; /* Sequence of "+name:STATE ", "~name:STATE " and "-name ".  */
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
set_listed_state (fixture_t *f, const char *name, const char *zone,
                  instance_state_t state)
{
  const instance_row_t row = { .name = str_from (name),
                               .role = STR ("entry"),
                               .zone = str_from (zone),
                               .address = STR ("127.0.0.1:1"),
                               .state = state };

  platform_memory_put_instance (f->base.memory, &row);
}

/* Poll the list, assert that the events since the last call are EVENTS, and
   clear them.  */
static void
assert_events (fixture_t *f, str_t events)
{
  roster_poll (f->roster);
  control_run_until_idle (&f->base);
  ck_assert_msg (str_eq (buf_str (&f->events), events), "%.*s, not %.*s",
                 (int)f->events.len, f->events.ptr, STR_ARG (events));
  f->events.len = 0;
}

static void
setup (fixture_t *f)
{
  const roster_options_t options
      = { POLL_INTERVAL_MS, UNLISTED_TTL_MS, on_changed, f };

  memset (f, 0, sizeof *f);
  control_setup (&f->base, 1);
  set_listed_state (f, "r-1", "a", INSTANCE_LIVE);
  f->roster = roster_create (&f->base.env, &options);
  ck_assert_uint_eq (roster_age_ms (f->roster), UINT64_MAX);
  assert_events (f, STR ("+r-1:up "));
  ck_assert_uint_lt (roster_age_ms (f->roster), 1000);
}

static void
teardown (fixture_t *f)
{
  roster_destroy (f->roster);
  control_teardown (&f->base);
  buf_free (&f->events);
}

START_TEST (changes_of_the_list_are_applied)
{
  fixture_t f;

  setup (&f);
  set_listed_state (&f, "r-2", "a", INSTANCE_LIVE);
  assert_events (&f, STR ("+r-2:up "));
  set_listed_state (&f, "r-1", "a", INSTANCE_LEAVING);
  assert_events (&f, STR ("~r-1:draining "));
  set_listed_state (&f, "r-1", "a", INSTANCE_GONE);
  assert_events (&f, STR ("-r-1 "));
  ck_assert_ptr_null (roster_find (f.roster, STR ("r-1")));
  ck_assert_uint_eq (roster_count (f.roster), 1);
  /* Without a change there must be no event.  */
  assert_events (&f, STR (""));
  teardown (&f);
}
END_TEST

/* Failure: an instance that stops responding, or reports that it is draining,
   gets new work for seconds until the list shows the change; or it gets no
   work after it has recovered.  */
START_TEST (observations_override_the_list)
{
  fixture_t f;

  setup (&f);
  roster_report_unresponsive (f.roster, STR ("r-1"));
  assert_events (&f, STR ("~r-1:silent "));
  roster_report_responsive (f.roster, STR ("r-1"));
  assert_events (&f, STR ("~r-1:up "));
  roster_report_draining (f.roster, STR ("r-1"), true);
  /* The list, in which the instance is still live, must not override the
     report.  */
  assert_events (&f, STR ("~r-1:draining "));
  roster_report_responsive (f.roster, STR ("r-1"));
  assert_events (&f, STR (""));
  roster_report_draining (f.roster, STR ("r-1"), false);
  assert_events (&f, STR ("~r-1:up "));
  teardown (&f);
}
END_TEST

/* Failure: the list removes an instance that still responds, and its running
   requests are cut off.  The instance must drain, and must be removed when it
   no longer responds.  */
START_TEST (unlisted_but_responsive_instance_drains)
{
  fixture_t f;

  setup (&f);
  roster_report_responsive (f.roster, STR ("r-1"));
  set_listed_state (&f, "r-1", "a", INSTANCE_GONE);
  assert_events (&f, STR ("~r-1:draining "));
  clock_manual_advance_us (f.base.clock, (UNLISTED_TTL_MS + 1) * 1000);
  control_run_for (&f.base, 3 * POLL_INTERVAL_MS);
  assert_events (&f, STR ("-r-1 "));
  teardown (&f);
}
END_TEST

/* Failure: a new instance that has contacted this process is not used until
   the list contains it.  */
START_TEST (instance_is_added_before_it_is_listed)
{
  fixture_t f;
  const instance_row_t row = { .name = STR ("r-9"),
                               .role = STR ("entry"),
                               .zone = STR ("a"),
                               .address = STR ("127.0.0.1:1") };

  setup (&f);
  roster_report_instance (f.roster, &row);
  assert_events (&f, STR ("+r-9:up "));
  set_listed_state (&f, "r-9", "a", INSTANCE_LIVE);
  assert_events (&f, STR (""));
  clock_manual_advance_us (f.base.clock, (UNLISTED_TTL_MS + 1) * 1000);
  control_run_for (&f.base, 3 * POLL_INTERVAL_MS);
  assert_events (&f, STR (""));
  teardown (&f);
}
END_TEST

/* Failure: a draining instance is replaced by one with the same name at
   another address, and the new instance is treated as draining.  */
START_TEST (new_address_resets_draining)
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
  assert_events (&f, STR ("~r-1:draining ~r-1:up "));
  ck_assert (str_eq (roster_find (f.roster, STR ("r-1"))->address,
                     STR ("127.0.0.2:1")));
  teardown (&f);
}
END_TEST

/* Failure: instances are removed because the list cannot be read.  */
START_TEST (unreadable_list_removes_no_instance)
{
  fixture_t f;

  setup (&f);
  faulty_config (f.base.faulty)->down = true;
  control_run_for (&f.base, 200);
  assert_events (&f, STR (""));
  ck_assert_uint_eq (roster_count (f.roster), 1);
  ck_assert_uint_ge (roster_age_ms (f.roster), 150);
  faulty_config (f.base.faulty)->down = false;
  set_listed_state (&f, "r-2", "a", INSTANCE_LIVE);
  assert_events (&f, STR ("+r-2:up "));
  teardown (&f);
}
END_TEST

/* Failure: an upstream that the platform lists as leaving just after an outage
   continues to get work for up to half the length of the outage.  This happens
   if the poll delay doubles without a low limit, because the delay was chosen
   during the outage and is not shortened afterwards.  */
START_TEST (departure_is_detected_soon_after_outage)
{
  enum
  {
    OUTAGE_MS = 1500,
    DETECTION_MAX_MS = 6 * POLL_INTERVAL_MS
  };
  fixture_t f;

  setup (&f);
  faulty_config (f.base.faulty)->down = true;
  control_run_for (&f.base, OUTAGE_MS);
  faulty_config (f.base.faulty)->down = false;
  set_listed_state (&f, "r-1", "a", INSTANCE_LEAVING);
  control_run_for (&f.base, DETECTION_MAX_MS);
  ck_assert_msg (str_eq (buf_str (&f.events), STR ("~r-1:draining ")),
                 "events: %.*s", STR_ARG (buf_str (&f.events)));
  teardown (&f);
}
END_TEST

/* Failure: the entries do not agree on which of them poll the store.  Ranks
   must be distinct, and must depend only on the roster; an instance that
   leaves must not change the order of the others.  */
START_TEST (ranks_are_distinct_and_stable)
{
  enum
  {
    MEMBERS = 20
  };
  fixture_t f;
  char name[16];
  size_t rank[MEMBERS];
  bool is_taken[MEMBERS] = { false };
  int first_ranked = 0;

  setup (&f);
  set_listed_state (&f, "r-1", "a", INSTANCE_GONE);
  for (int i = 0; i < MEMBERS; i++)
    {
      snprintf (name, sizeof name, "e-%d", i);
      set_listed_state (&f, name, "b", INSTANCE_LIVE);
    }
  roster_poll (f.roster);
  control_run_until_idle (&f.base);
  for (int i = 0; i < MEMBERS; i++)
    {
      snprintf (name, sizeof name, "e-%d", i);
      rank[i] = roster_rank (f.roster, STR ("conf"), STR ("entry"), STR ("b"),
                             str_from (name));
      ck_assert_uint_lt (rank[i], MEMBERS);
      ck_assert (!is_taken[rank[i]]);
      is_taken[rank[i]] = true;
      first_ranked = rank[i] == 0 ? i : first_ranked;
    }
  snprintf (name, sizeof name, "e-%d", first_ranked);
  roster_report_unresponsive (f.roster, str_from (name));
  for (int i = 0; i < MEMBERS; i++)
    {
      snprintf (name, sizeof name, "e-%d", i);
      size_t new_rank = roster_rank (f.roster, STR ("conf"), STR ("entry"),
                                     STR ("b"), str_from (name));
      ck_assert_uint_eq (new_rank, i == first_ranked ? 0 : rank[i] - 1);
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

  tcase_add_test (tcase, changes_of_the_list_are_applied);
  tcase_add_test (tcase, observations_override_the_list);
  tcase_add_test (tcase, unlisted_but_responsive_instance_drains);
  tcase_add_test (tcase, instance_is_added_before_it_is_listed);
  tcase_add_test (tcase, new_address_resets_draining);
  tcase_add_test (tcase, unreadable_list_removes_no_instance);
  tcase_add_test (tcase, departure_is_detected_soon_after_outage);
  tcase_add_test (tcase, ranks_are_distinct_and_stable);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
