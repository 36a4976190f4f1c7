/* Tests of the choice of upstreams, judged by where requests go.  */

#include "policy/balance.h"

#include "suite.h"

#include <stdio.h>

enum
{
  MANY = 1000
};

static const str_t zones[]
    = { STR ("nairobi-a"), STR ("nairobi-b"), STR ("nairobi-c") };
static const str_t draft = STR ("draft-small@3");

static clock_iface_t *manual;
static rng_t rng;
static balance_t *balance;
static upstream_id_t ids[MANY];

static str_t
runner_name (int i)
{
  static char text[32];

  return str_make (text, (size_t)snprintf (text, sizeof text, "runner-%d", i));
}

/* Make runners FIRST to LAST - 1 known, in turn over ZONE_COUNT zones.  */
static void
add_runners (balance_t *to, int first, int last, int zone_count)
{
  for (int i = first; i < last; i++)
    ids[i] = balance_update (to, runner_name (i), zones[i % zone_count],
                             &draft, 1, false);
}

static void
setup (void)
{
  manual = clock_manual_create (0);
  rng = rng_make (5);
  balance = balance_create (STR ("entry-1"), zones[0], manual, &rng);
}

static void
teardown (void)
{
  balance_destroy (balance);
  clock_manual_destroy (manual);
}

/* Return the number of the runner picked, or -1.  */
static int
pick_from (balance_t *from, uint64_t affinity)
{
  balance_request_t request = { .pool = balance_find_or_add_pool (from, draft),
                                .affinity = affinity };
  upstream_id_t id;
  balance_info_t info;
  uint64_t number;

  if (balance_pick (from, &request, &id) != VH_OK)
    return -1;
  ck_assert (balance_info (from, id, &info));
  ck_assert (
      str_to_u64 (str_make (info.name.ptr + 7, info.name.len - 7), &number));
  return (int)number;
}

static int
pick (void)
{
  return pick_from (balance, BALANCE_NO_AFFINITY);
}

/* Pick N times, each request staying in flight; count them by runner.  */
static void
send_many (int n, int counts[])
{
  for (int i = 0; i < n; i++)
    {
      int at = pick ();
      ck_assert_int_ge (at, 0);
      balance_request_started (balance, ids[at]);
      counts[at]++;
    }
}

START_TEST (spreads_evenly)
{
  int counts[20] = { 0 };

  add_runners (balance, 0, 20, 1);
  send_many (100, counts);
  for (int i = 0; i < 20; i++)
    {
      ck_assert_int_ge (counts[i], 2);
      ck_assert_int_le (counts[i], 8);
    }
}
END_TEST

START_TEST (empty_and_unknown_pools)
{
  ck_assert_int_eq (pick (), -1);
  add_runners (balance, 0, 1, 1);
  ck_assert_int_eq (pick (), 0);
  balance_remove (balance, runner_name (0));
  ck_assert_int_eq (pick (), -1);
  ck_assert_uint_eq (balance_upstream_count (balance), 0);
}
END_TEST

/* A place is used again by another upstream.  What still refers to the old one
   must not touch the new one.  */
START_TEST (stale_ids_name_nobody)
{
  upstream_id_t old;
  balance_info_t info;

  add_runners (balance, 0, 1, 1);
  old = ids[0];
  balance_remove (balance, runner_name (0));
  add_runners (balance, 1, 2, 1);
  balance_request_started (balance, old);
  balance_set_mark (balance, old, BALANCE_DRAINING, true);
  ck_assert (!balance_info (balance, old, &info));
  ck_assert (balance_info (balance, ids[1], &info));
  ck_assert_uint_eq (info.in_flight, 0);
  ck_assert_int_eq (pick (), 1);
  ck_assert_uint_eq (balance_find (balance, runner_name (1)), ids[1]);
  ck_assert_uint_eq (balance_find (balance, runner_name (0)), 0);
}
END_TEST

/* At most one upstream of the subset may change when one goes, or each change
   of membership would break most connections of all entries.  */
START_TEST (subset_is_deterministic_and_stable)
{
  enum
  {
    ROOM = 256
  };
  upstream_id_t before[ROOM];
  upstream_id_t after[ROOM];
  balance_t *twin = balance_create (STR ("entry-1"), zones[0], manual, &rng);
  pool_id_t pool = balance_find_or_add_pool (balance, draft);
  balance_info_t info;
  size_t n;
  size_t own = 0;
  size_t kept = 0;

  add_runners (balance, 0, MANY, 3);
  for (int i = MANY - 1; i >= 0; i--)
    balance_update (twin, runner_name (i), zones[i % 3], &draft, 1, false);
  n = balance_subset (balance, pool, before, ROOM);
  ck_assert_uint_eq (n,
                     BALANCE_SUBSET_OWN_ZONE + 2 * BALANCE_SUBSET_OTHER_ZONE);
  ck_assert_uint_eq (balance_subset (twin,
                                     balance_find_or_add_pool (twin, draft),
                                     after, ROOM),
                     n);
  for (size_t i = 0; i < n; i++)
    {
      balance_info_t same;
      ck_assert (balance_info (balance, before[i], &info));
      own += str_eq (info.zone, zones[0]);
      ck_assert_uint_ne (balance_find (twin, info.name), 0);
      ck_assert (balance_info (twin, balance_find (twin, info.name), &same));
    }
  ck_assert_uint_eq (own, BALANCE_SUBSET_OWN_ZONE);

  ck_assert (balance_info (balance, before[3], &info));
  balance_remove (balance, info.name);
  ck_assert_uint_eq (balance_subset (balance, pool, after, ROOM), n);
  for (size_t i = 0; i < n; i++)
    for (size_t j = 0; j < n; j++)
      kept += before[i] == after[j];
  ck_assert_uint_eq (kept, n - 1);
  balance_destroy (twin);
}
END_TEST

/* All entries together must reach every upstream, each by about as many.  */
START_TEST (subsets_of_many_entries_cover_the_pool)
{
  enum
  {
    ENTRIES = 60,
    ROOM = 256
  };
  static int used[MANY];
  int uncovered = 0;

  memset (used, 0, sizeof used);
  for (int e = 0; e < ENTRIES; e++)
    {
      char name[16];
      int len = snprintf (name, sizeof name, "entry-%d", e);
      balance_t *entry = balance_create (str_make (name, (size_t)len),
                                         zones[e % 3], manual, &rng);
      upstream_id_t subset[ROOM];
      size_t n;

      add_runners (entry, 0, MANY, 3);
      n = balance_subset (entry, balance_find_or_add_pool (entry, draft),
                          subset, ROOM);
      for (size_t i = 0; i < n; i++)
        {
          balance_info_t info;
          uint64_t number;
          ck_assert (balance_info (entry, subset[i], &info));
          str_to_u64 (str_make (info.name.ptr + 7, info.name.len - 7),
                      &number);
          used[number]++;
        }
      balance_destroy (entry);
    }
  /* 60 * 128 / 1000 = 7.7 each; e^-7.7 of 1,000 is 0.5.  */
  for (int i = 0; i < MANY; i++)
    {
      uncovered += used[i] == 0;
      ck_assert_int_le (used[i], 24);
    }
  ck_assert_int_le (uncovered, 4);
}
END_TEST

START_TEST (own_zone_first_then_spills)
{
  int counts[30] = { 0 };
  int own = 0;
  int other = 0;

  add_runners (balance, 0, 30, 3);
  send_many (40, counts);
  for (int i = 0; i < 30; i++)
    *(i % 3 == 0 ? &own : &other) += counts[i];
  ck_assert_int_eq (other, 0);
  /* The own zone has 80 slots; what is beyond goes elsewhere.  */
  send_many (160, counts);
  own = 0;
  for (int i = 0; i < 30; i++)
    *(i % 3 == 0 ? &own : &other) += counts[i];
  ck_assert_int_ge (own, 75);
  ck_assert_int_le (own, 115);
  ck_assert_int_ge (other, 85);
}
END_TEST

/* A zone is taken out: no new work there.  It comes back: its idle upstreams
   would draw everything at once, with cold caches, if nothing held them.  */
START_TEST (zone_leaves_and_returns_slowly)
{
  int counts[30] = { 0 };
  int first = 0;
  int later = 0;

  add_runners (balance, 0, 30, 3);
  balance_set_zone_enabled (balance, zones[0], false);
  send_many (60, counts);
  for (int i = 0; i < 30; i += 3)
    ck_assert_int_eq (counts[i], 0);
  balance_set_zone_enabled (balance, zones[0], true);
  clock_manual_advance_us (manual, 1000000);
  memset (counts, 0, sizeof counts);
  send_many (60, counts);
  for (int i = 0; i < 30; i += 3)
    first += counts[i];
  /* A fifth of 80 slots.  */
  ck_assert_int_ge (first, 1);
  ck_assert_int_le (first, 20);
  clock_manual_advance_us (manual, (uint64_t)ZONE_RAMP_MS * 1000);
  memset (counts, 0, sizeof counts);
  send_many (50, counts);
  for (int i = 0; i < 30; i += 3)
    later += counts[i];
  ck_assert_int_eq (later, 50);
}
END_TEST

START_TEST (marked_upstreams_get_nothing)
{
  static const balance_mark_t marks[]
      = { BALANCE_DRAINING, BALANCE_EJECTED, BALANCE_DISABLED,
          BALANCE_UNREACHABLE };

  add_runners (balance, 0, 4, 1);
  for (int i = 0; i < 4; i++)
    balance_set_mark (balance, ids[i], marks[i], i != 2);
  for (int i = 0; i < 200; i++)
    ck_assert_int_eq (pick (), 2);
  balance_set_mark (balance, ids[2], BALANCE_DISABLED, true);
  ck_assert_int_eq (pick (), -1);
  balance_set_mark (balance, ids[2], BALANCE_EJECTED, true);
  balance_set_mark (balance, ids[2], BALANCE_DISABLED, false);
  ck_assert_int_eq (pick (), -1);
  balance_set_mark (balance, ids[2], BALANCE_EJECTED, false);
  ck_assert_int_eq (pick (), 2);
}
END_TEST

/* A drained subset must be filled up from those that serve, or an entry whose
   subset drains has no upstream in a pool of a thousand.  */
START_TEST (draining_ones_are_replaced_in_the_subset)
{
  upstream_id_t subset[256];
  pool_id_t pool = balance_find_or_add_pool (balance, draft);
  size_t n;

  add_runners (balance, 0, MANY, 1);
  n = balance_subset (balance, pool, subset, 256);
  for (size_t i = 0; i < n; i++)
    balance_set_mark (balance, subset[i], BALANCE_DRAINING, true);
  ck_assert_uint_eq (balance_subset (balance, pool, subset, 256), n);
  ck_assert_int_ge (pick (), 0);
}
END_TEST

START_TEST (returned_upstream_ramps_up)
{
  int counts[10] = { 0 };

  add_runners (balance, 0, 10, 1);
  balance_set_mark (balance, ids[0], BALANCE_EJECTED, true);
  send_many (27, counts);
  balance_set_mark (balance, ids[0], BALANCE_EJECTED, false);
  send_many (27, counts);
  ck_assert_int_le (counts[0], 1);
  clock_manual_advance_us (manual, (uint64_t)BALANCE_RAMP_MS * 1000);
  send_many (20, counts);
  ck_assert_int_ge (counts[0], 2);
}
END_TEST

START_TEST (tried_ones_are_left_out)
{
  balance_request_t request = { 0 };
  upstream_id_t tried[5];
  upstream_id_t id;

  add_runners (balance, 0, 5, 1);
  request.pool = balance_find_or_add_pool (balance, draft);
  request.tried = tried;
  for (; request.tried_count < 5; request.tried_count++)
    {
      ck_assert_int_eq (balance_pick (balance, &request, &id), VH_OK);
      for (size_t i = 0; i < request.tried_count; i++)
        ck_assert_uint_ne (id, tried[i]);
      tried[request.tried_count] = id;
    }
  ck_assert_int_eq (balance_pick (balance, &request, &id), VH_E_NO_UPSTREAM);
}
END_TEST

/* An upstream refuses everything within a millisecond, so nothing is ever in
   flight there.  By load alone it would get most of the requests.  */
START_TEST (failing_fast_draws_no_traffic)
{
  enum
  {
    HELD = 20
  };
  int held[HELD];
  int bad = 0;

  add_runners (balance, 0, 10, 1);
  for (int i = 0; i < HELD; i++)
    held[i] = -1;
  /* A good answer takes as long as twenty requests take to come.  */
  for (int i = 0; i < 300; i++)
    {
      int *oldest = &held[i % HELD];
      int at = pick ();

      if (*oldest >= 0)
        balance_request_ended (balance, ids[*oldest], true);
      *oldest = -1;
      clock_manual_advance_us (manual, 10000);
      balance_request_started (balance, ids[at]);
      if (at != 0)
        *oldest = at;
      else
        balance_request_ended (balance, ids[at], false);
      bad += at == 0;
    }
  /* By load alone it would win each of the 60 draws it is in.  */
  ck_assert_int_le (bad, 10);
}
END_TEST

START_TEST (reports_of_others_count)
{
  int counts[10] = { 0 };
  balance_load_t busy = { .in_flight = 30, .slots = 16 };
  balance_load_t idle = { .in_flight = 0, .slots = 16 };

  add_runners (balance, 0, 10, 1);
  for (int i = 0; i < 10; i++)
    balance_record_load (balance, ids[i], i < 5 ? &busy : &idle, 0);
  send_many (50, counts);
  for (int i = 0; i < 5; i++)
    ck_assert_int_le (counts[i], 3);
}
END_TEST

/* Two reports cross on the way, and the older one comes last.  It must not
   bring back a load that is gone.  */
START_TEST (older_report_is_ignored)
{
  balance_load_t now = { .in_flight = 2, .slots = 10 };
  balance_load_t then = { .in_flight = 90, .slots = 10 };
  balance_info_t info;

  add_runners (balance, 0, 1, 1);
  clock_manual_advance_us (manual, 10000000);
  balance_record_load (balance, ids[0], &now, 0);
  balance_record_load (balance, ids[0], &then, 1000);
  ck_assert (balance_info (balance, ids[0], &info));
  ck_assert (info.load < 1);
  clock_manual_advance_us (manual, 3000000);
  ck_assert (balance_info (balance, ids[0], &info));
  ck_assert_uint_ge (info.report_age_ms, 2990);
  ck_assert_uint_le (info.report_age_ms, 3010);
}
END_TEST

/* Return how many of 60 requests go to the one upstream that is idle by
   reports of AGE_MS.  */
static int
sent_to_idle (uint64_t age_ms)
{
  int counts[20] = { 0 };
  balance_load_t idle = { .in_flight = 0, .slots = 8 };
  balance_load_t busy = { .in_flight = 6, .slots = 8 };

  for (int i = 0; i < 20; i++)
    balance_record_load (balance, ids[i], i == 0 ? &idle : &busy, age_ms);
  send_many (60, counts);
  for (int i = 0; i < 20; i++)
    while (counts[i] > 0 && i > 0)
      {
        balance_request_ended (balance, ids[i], true);
        counts[i]--;
      }
  for (int i = counts[0]; i > 0; i--)
    balance_request_ended (balance, ids[0], true);
  return counts[0];
}

/* Many entries hear the same reports, seconds old, that name one idle
   upstream.  Least load by report would send all of them there until the next
   report comes; the upstream would be buried, then shunned.  */
START_TEST (stale_reports_do_not_herd)
{
  int old;
  int fresh;

  add_runners (balance, 0, 20, 1);
  clock_manual_advance_us (manual, 20000000);
  old = sent_to_idle (10000);
  clock_manual_advance_us (manual, 20000000);
  fresh = sent_to_idle (0);
  /* Three would be its even part.  */
  ck_assert_int_le (old, 4);
  ck_assert_int_ge (old, 1);
  ck_assert_int_ge (fresh, 6);
}
END_TEST

/* A limit is probing: now it stands at twice the slots, now at half.  By the
   last reports alone, seconds old, one of two like upstreams would get four
   times what the other gets.  */
START_TEST (old_slots_give_way_to_the_usual)
{
  int counts[2] = { 0 };

  add_runners (balance, 0, 2, 1);
  for (uint32_t round = 0; round < 20; round++)
    for (uint32_t i = 0; i < 2; i++)
      {
        balance_load_t load = { .slots = (round + i) % 2 == 0 ? 8 : 32 };
        balance_record_load (balance, ids[i], &load, 0);
      }
  clock_manual_advance_us (manual, 5000000);
  send_many (30, counts);
  ck_assert_int_ge (counts[0], 10);
  ck_assert_int_ge (counts[1], 10);
}
END_TEST

/* A sidecar has just cut its limit from sixteen to two.  */
START_TEST (fresh_slots_count)
{
  int counts[2] = { 0 };
  balance_load_t warm = { .slots = 16 };
  balance_load_t cold = { .slots = 2 };

  add_runners (balance, 0, 2, 1);
  for (int round = 0; round < 20; round++)
    for (int i = 0; i < 2; i++)
      balance_record_load (balance, ids[i], &warm, 0);
  balance_record_load (balance, ids[0], &cold, 0);
  send_many (18, counts);
  ck_assert_int_le (counts[0], 3);
}
END_TEST

/* Two entries must send the same prefix to the same upstream without asking
   each other, or each cache holds a part of everything.  */
START_TEST (affinity_agrees_between_entries)
{
  balance_t *other = balance_create (STR ("entry-2"), zones[0], manual, &rng);
  int moved = 0;
  int homes[200];

  for (int i = MANY - 1; i >= 0; i--)
    balance_update (other, runner_name (i), zones[i % 3], &draft, 1, false);
  add_runners (balance, 0, MANY, 3);
  for (int i = 0; i < 200; i++)
    {
      homes[i] = pick_from (balance, 1000 + (uint64_t)i);
      ck_assert_int_eq (homes[i] % 3, 0);
      ck_assert_int_eq (pick_from (other, 1000 + (uint64_t)i), homes[i]);
    }
  for (int i = 0; i < 30; i++)
    balance_remove (balance, runner_name (i));
  for (int i = 0; i < 200; i++)
    moved += pick_from (balance, 1000 + (uint64_t)i) != homes[i];
  ck_assert_int_le (moved, 20);
  balance_destroy (other);
}
END_TEST

/* One prefix takes half of all traffic.  Its home must not be buried.  */
START_TEST (hot_prefix_is_bounded)
{
  int counts[10] = { 0 };

  add_runners (balance, 0, 10, 1);
  for (int i = 0; i < 60; i++)
    {
      int at = pick_from (balance, i % 2 == 0 ? 77 : BALANCE_NO_AFFINITY);
      balance_request_started (balance, ids[at]);
      counts[at]++;
    }
  for (int i = 0; i < 10; i++)
    ck_assert_int_le (counts[i], BALANCE_DEFAULT_SLOTS);
}
END_TEST

START_TEST (cache_events_late_and_with_gaps)
{
  str_t large = STR ("draft-large@7");
  int home;
  int cached;

  add_runners (balance, 0, 10, 1);
  home = pick_from (balance, 77);
  cached = (home + 1) % 10;
  balance_cache_event (balance, ids[cached], 77, true);
  ck_assert_int_eq (pick_from (balance, 77), cached);
  balance_cache_event (balance, ids[home], 77, false);
  ck_assert_int_eq (pick_from (balance, 77), cached);
  balance_cache_event (balance, ids[cached], 77, false);
  ck_assert_int_eq (pick_from (balance, 77), home);
  /* The eviction is never told: the hint ends by itself.  */
  balance_cache_event (balance, ids[cached], 77, true);
  clock_manual_advance_us (manual, (BALANCE_HINT_TTL_MS + 100) * 1000ul);
  ck_assert_int_eq (pick_from (balance, 77), home);
  /* The upstream serves something else by now, or is gone.  */
  balance_cache_event (balance, ids[cached], 77, true);
  balance_update (balance, runner_name (cached), zones[0], &large, 1, false);
  ck_assert_int_eq (pick_from (balance, 77), home);
  balance_remove (balance, runner_name (cached));
  ck_assert_int_eq (pick_from (balance, 77), home);
}
END_TEST

START_TEST (pools_and_zones_of_an_upstream_change)
{
  str_t both[] = { draft, STR ("draft-large@7") };
  balance_request_t large = { 0 };
  upstream_id_t id;
  balance_info_t info;
  size_t cursor = 0;

  add_runners (balance, 0, 3, 1);
  large.pool = balance_find_or_add_pool (balance, both[1]);
  ck_assert_int_eq (balance_pick (balance, &large, &id), VH_E_NO_UPSTREAM);
  ck_assert_uint_eq (
      balance_update (balance, runner_name (1), zones[0], both, 2, false),
      ids[1]);
  ck_assert_int_eq (balance_pick (balance, &large, &id), VH_OK);
  ck_assert_uint_eq (id, ids[1]);
  balance_update (balance, runner_name (1), zones[2], both + 1, 1, false);
  for (int i = 0; i < 100; i++)
    ck_assert_int_ne (pick (), 1);
  ck_assert (balance_info (balance, ids[1], &info));
  ck_assert (str_eq (info.zone, zones[2]));
  for (int i = 0; i < 3; i++)
    ck_assert (balance_next_upstream (balance, &cursor, &info));
  ck_assert (!balance_next_upstream (balance, &cursor, &info));
}
END_TEST

START_TEST (pressure_is_the_mean_and_fades)
{
  balance_load_t full = { .in_flight = 16, .slots = 8 };
  pool_id_t pool = balance_find_or_add_pool (balance, draft);

  add_runners (balance, 0, 10, 1);
  ck_assert (balance_pressure (balance, pool) == 0);
  for (int round = 0; round < 30; round++)
    for (int i = 0; i < 10; i++)
      balance_record_load (balance, ids[i], &full, 0);
  ck_assert (balance_pressure (balance, pool) > 1.9);
  clock_manual_advance_us (manual, 60000000);
  ck_assert (balance_pressure (balance, pool) < 0.2);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("balance");
  TCase *tcase = tcase_create ("balance");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, spreads_evenly);
  tcase_add_test (tcase, empty_and_unknown_pools);
  tcase_add_test (tcase, stale_ids_name_nobody);
  tcase_add_test (tcase, subset_is_deterministic_and_stable);
  tcase_add_test (tcase, subsets_of_many_entries_cover_the_pool);
  tcase_add_test (tcase, own_zone_first_then_spills);
  tcase_add_test (tcase, zone_leaves_and_returns_slowly);
  tcase_add_test (tcase, marked_upstreams_get_nothing);
  tcase_add_test (tcase, draining_ones_are_replaced_in_the_subset);
  tcase_add_test (tcase, returned_upstream_ramps_up);
  tcase_add_test (tcase, tried_ones_are_left_out);
  tcase_add_test (tcase, failing_fast_draws_no_traffic);
  tcase_add_test (tcase, reports_of_others_count);
  tcase_add_test (tcase, older_report_is_ignored);
  tcase_add_test (tcase, stale_reports_do_not_herd);
  tcase_add_test (tcase, old_slots_give_way_to_the_usual);
  tcase_add_test (tcase, fresh_slots_count);
  tcase_add_test (tcase, affinity_agrees_between_entries);
  tcase_add_test (tcase, hot_prefix_is_bounded);
  tcase_add_test (tcase, cache_events_late_and_with_gaps);
  tcase_add_test (tcase, pools_and_zones_of_an_upstream_change);
  tcase_add_test (tcase, pressure_is_the_mean_and_fades);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
