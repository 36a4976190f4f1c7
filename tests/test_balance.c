/* Tests of the selection of upstreams, by the upstreams that requests are sent
   to.  */

#include "policy/balance.h"

#include "suite.h"

#include <stdio.h>

enum
{
  RUNNERS_MAX = 1000
};

static const str_t zones[]
    = { STR ("nairobi-a"), STR ("nairobi-b"), STR ("nairobi-c") };
static const str_t draft_pool = STR ("draft-small@3");

static clock_iface_t *test_clock;
static rng_t rng;
static balance_t *balance;
static upstream_id_t ids[RUNNERS_MAX];

static str_t
runner_name (int i)
{
  static char text[32];

  return str_make (text, (size_t)snprintf (text, sizeof text, "runner-%d", i));
}

/* Add the runners FIRST to LAST - 1 to TO, with runner i in zone i %
   ZONE_COUNT.  */
static void
add_runners (balance_t *to, int first, int last, int zone_count)
{
  for (int i = first; i < last; i++)
    ids[i] = balance_update (to, runner_name (i), zones[i % zone_count],
                             &draft_pool, 1, false);
}

static void
setup (void)
{
  test_clock = clock_manual_create (0);
  rng = rng_make (5);
  balance = balance_create (STR ("entry-1"), zones[0], test_clock, &rng);
}

static void
teardown (void)
{
  balance_destroy (balance);
  clock_manual_destroy (test_clock);
}

/* Return the number of the selected runner, or -1 if there is none.  */
static int
select_from (balance_t *from, uint64_t affinity)
{
  balance_request_t request
      = { .pool = balance_find_or_add_pool (from, draft_pool),
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
select_runner (void)
{
  return select_from (balance, BALANCE_NO_AFFINITY);
}

/* Send N requests that stay in flight, and add the requests of each runner to
   COUNTS.  */
static void
send_requests (int n, int counts[])
{
  for (int i = 0; i < n; i++)
    {
      int at = select_runner ();
      ck_assert_int_ge (at, 0);
      balance_request_started (balance, ids[at]);
      counts[at]++;
    }
}

START_TEST (requests_spread_evenly)
{
  int counts[20] = { 0 };

  add_runners (balance, 0, 20, 1);
  send_requests (100, counts);
  for (int i = 0; i < 20; i++)
    {
      ck_assert_int_ge (counts[i], 2);
      ck_assert_int_le (counts[i], 8);
    }
}
END_TEST

START_TEST (pool_without_upstreams_selects_none)
{
  ck_assert_int_eq (select_runner (), -1);
  add_runners (balance, 0, 1, 1);
  ck_assert_int_eq (select_runner (), 0);
  balance_remove (balance, runner_name (0));
  ck_assert_int_eq (select_runner (), -1);
  ck_assert_uint_eq (balance_upstream_count (balance), 0);
}
END_TEST

/* The index of a removed upstream is reused by a new one.  The id of the
   removed upstream must not refer to the new one.  */
START_TEST (id_of_removed_upstream_is_invalid)
{
  upstream_id_t removed_id;
  balance_info_t info;

  add_runners (balance, 0, 1, 1);
  removed_id = ids[0];
  balance_remove (balance, runner_name (0));
  add_runners (balance, 1, 2, 1);
  balance_request_started (balance, removed_id);
  balance_set_mark (balance, removed_id, BALANCE_DRAINING, true);
  ck_assert (!balance_info (balance, removed_id, &info));
  ck_assert (balance_info (balance, ids[1], &info));
  ck_assert_uint_eq (info.in_flight, 0);
  ck_assert_int_eq (select_runner (), 1);
  ck_assert_uint_eq (balance_find (balance, runner_name (1)), ids[1]);
  ck_assert_uint_eq (balance_find (balance, runner_name (0)), 0);
}
END_TEST

/* The removal of one upstream may replace only that one in the subset.
   Otherwise each change of membership would close most connections of all
   gateways.  */
START_TEST (subset_is_deterministic_and_stable)
{
  enum
  {
    SUBSET_CAPACITY = 256
  };
  upstream_id_t before[SUBSET_CAPACITY];
  upstream_id_t after[SUBSET_CAPACITY];
  balance_t *same_gateway
      = balance_create (STR ("entry-1"), zones[0], test_clock, &rng);
  pool_id_t pool = balance_find_or_add_pool (balance, draft_pool);
  balance_info_t info;
  size_t n;
  size_t own = 0;
  size_t kept = 0;

  add_runners (balance, 0, RUNNERS_MAX, 3);
  for (int i = RUNNERS_MAX - 1; i >= 0; i--)
    balance_update (same_gateway, runner_name (i), zones[i % 3], &draft_pool,
                    1, false);
  n = balance_subset (balance, pool, before, SUBSET_CAPACITY);
  ck_assert_uint_eq (n,
                     BALANCE_SUBSET_OWN_ZONE + 2 * BALANCE_SUBSET_OTHER_ZONE);
  ck_assert_uint_eq (
      balance_subset (same_gateway,
                      balance_find_or_add_pool (same_gateway, draft_pool),
                      after, SUBSET_CAPACITY),
      n);
  for (size_t i = 0; i < n; i++)
    {
      balance_info_t same;
      ck_assert (balance_info (balance, before[i], &info));
      own += str_eq (info.zone, zones[0]);
      ck_assert_uint_ne (balance_find (same_gateway, info.name), 0);
      ck_assert (balance_info (same_gateway,
                               balance_find (same_gateway, info.name), &same));
    }
  ck_assert_uint_eq (own, BALANCE_SUBSET_OWN_ZONE);

  ck_assert (balance_info (balance, before[3], &info));
  balance_remove (balance, info.name);
  ck_assert_uint_eq (balance_subset (balance, pool, after, SUBSET_CAPACITY),
                     n);
  for (size_t i = 0; i < n; i++)
    for (size_t j = 0; j < n; j++)
      kept += before[i] == after[j];
  ck_assert_uint_eq (kept, n - 1);
  balance_destroy (same_gateway);
}
END_TEST

/* The subsets of all gateways together must contain nearly every upstream, and
   each upstream must be in a similar number of subsets.  */
START_TEST (subsets_of_many_gateways_cover_the_pool)
{
  enum
  {
    GATEWAYS = 60,
    SUBSET_CAPACITY = 256
  };
  static int used[RUNNERS_MAX];
  int uncovered = 0;

  memset (used, 0, sizeof used);
  for (int e = 0; e < GATEWAYS; e++)
    {
      char name[16];
      int len = snprintf (name, sizeof name, "entry-%d", e);
      balance_t *gateway = balance_create (str_make (name, (size_t)len),
                                           zones[e % 3], test_clock, &rng);
      upstream_id_t subset[SUBSET_CAPACITY];
      size_t n;

      add_runners (gateway, 0, RUNNERS_MAX, 3);
      n = balance_subset (gateway,
                          balance_find_or_add_pool (gateway, draft_pool),
                          subset, SUBSET_CAPACITY);
      for (size_t i = 0; i < n; i++)
        {
          balance_info_t info;
          uint64_t number;
          ck_assert (balance_info (gateway, subset[i], &info));
          str_to_u64 (str_make (info.name.ptr + 7, info.name.len - 7),
                      &number);
          used[number]++;
        }
      balance_destroy (gateway);
    }
  /* An upstream is in 60 * 128 / 1000 = 7.7 subsets on average; e^-7.7 of
     1,000 upstreams, or 0.5, are in none.  */
  for (int i = 0; i < RUNNERS_MAX; i++)
    {
      uncovered += used[i] == 0;
      ck_assert_int_le (used[i], 24);
    }
  ck_assert_int_le (uncovered, 4);
}
END_TEST

START_TEST (own_zone_is_filled_before_others)
{
  int counts[30] = { 0 };
  int own = 0;
  int other = 0;

  add_runners (balance, 0, 30, 3);
  send_requests (40, counts);
  for (int i = 0; i < 30; i++)
    *(i % 3 == 0 ? &own : &other) += counts[i];
  ck_assert_int_eq (other, 0);
  /* The gateway's own zone has 80 slots; further requests go to other
     zones.  */
  send_requests (160, counts);
  own = 0;
  for (int i = 0; i < 30; i++)
    *(i % 3 == 0 ? &own : &other) += counts[i];
  ck_assert_int_ge (own, 75);
  ck_assert_int_le (own, 115);
  ck_assert_int_ge (other, 85);
}
END_TEST

/* A disabled zone gets no new requests.  When it is enabled again, its idle
   upstreams with cold caches would get all requests immediately if there were
   no ramp.  */
START_TEST (enabled_zone_ramps_up)
{
  int counts[30] = { 0 };
  int first = 0;
  int later = 0;

  add_runners (balance, 0, 30, 3);
  balance_set_zone_enabled (balance, zones[0], false);
  send_requests (60, counts);
  for (int i = 0; i < 30; i += 3)
    ck_assert_int_eq (counts[i], 0);
  balance_set_zone_enabled (balance, zones[0], true);
  clock_manual_advance_us (test_clock, 1000000);
  memset (counts, 0, sizeof counts);
  send_requests (60, counts);
  for (int i = 0; i < 30; i += 3)
    first += counts[i];
  /* One second into the ramp the zone counts as a fifth of its 80 slots.  */
  ck_assert_int_ge (first, 1);
  ck_assert_int_le (first, 20);
  clock_manual_advance_us (test_clock, (uint64_t)ZONE_RAMP_MS * 1000);
  memset (counts, 0, sizeof counts);
  send_requests (50, counts);
  for (int i = 0; i < 30; i += 3)
    later += counts[i];
  ck_assert_int_eq (later, 50);
}
END_TEST

START_TEST (marked_upstreams_get_no_requests)
{
  static const balance_mark_t marks[]
      = { BALANCE_DRAINING, BALANCE_EJECTED, BALANCE_DISABLED,
          BALANCE_UNREACHABLE };

  add_runners (balance, 0, 4, 1);
  for (int i = 0; i < 4; i++)
    balance_set_mark (balance, ids[i], marks[i], i != 2);
  for (int i = 0; i < 200; i++)
    ck_assert_int_eq (select_runner (), 2);
  balance_set_mark (balance, ids[2], BALANCE_DISABLED, true);
  ck_assert_int_eq (select_runner (), -1);
  balance_set_mark (balance, ids[2], BALANCE_EJECTED, true);
  balance_set_mark (balance, ids[2], BALANCE_DISABLED, false);
  ck_assert_int_eq (select_runner (), -1);
  balance_set_mark (balance, ids[2], BALANCE_EJECTED, false);
  ck_assert_int_eq (select_runner (), 2);
}
END_TEST

/* Draining upstreams must be replaced in the subset.  Otherwise a gateway
   whose whole subset drains has no upstream in a pool of a thousand.  */
START_TEST (draining_upstreams_are_replaced_in_the_subset)
{
  upstream_id_t subset[256];
  pool_id_t pool = balance_find_or_add_pool (balance, draft_pool);
  size_t n;

  add_runners (balance, 0, RUNNERS_MAX, 1);
  n = balance_subset (balance, pool, subset, 256);
  for (size_t i = 0; i < n; i++)
    balance_set_mark (balance, subset[i], BALANCE_DRAINING, true);
  ck_assert_uint_eq (balance_subset (balance, pool, subset, 256), n);
  ck_assert_int_ge (select_runner (), 0);
}
END_TEST

START_TEST (upstream_ramps_up_after_ejection)
{
  int counts[10] = { 0 };

  add_runners (balance, 0, 10, 1);
  balance_set_mark (balance, ids[0], BALANCE_EJECTED, true);
  send_requests (27, counts);
  balance_set_mark (balance, ids[0], BALANCE_EJECTED, false);
  send_requests (27, counts);
  ck_assert_int_le (counts[0], 1);
  clock_manual_advance_us (test_clock, (uint64_t)BALANCE_RAMP_MS * 1000);
  send_requests (20, counts);
  ck_assert_int_ge (counts[0], 2);
}
END_TEST

START_TEST (tried_upstreams_are_not_selected_again)
{
  balance_request_t request = { 0 };
  upstream_id_t tried[5];
  upstream_id_t id;

  add_runners (balance, 0, 5, 1);
  request.pool = balance_find_or_add_pool (balance, draft_pool);
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

/* One upstream rejects every request within a millisecond and so never has one
   in flight.  By load alone it would get most of the requests.  */
START_TEST (fast_failures_do_not_attract_requests)
{
  enum
  {
    IN_FLIGHT = 20
  };
  int in_flight[IN_FLIGHT];
  int failing = 0;

  add_runners (balance, 0, 10, 1);
  for (int i = 0; i < IN_FLIGHT; i++)
    in_flight[i] = -1;
  /* A request to a healthy upstream ends when twenty more were sent.  */
  for (int i = 0; i < 300; i++)
    {
      int *oldest = &in_flight[i % IN_FLIGHT];
      int at = select_runner ();

      if (*oldest >= 0)
        balance_request_ended (balance, ids[*oldest], true);
      *oldest = -1;
      clock_manual_advance_us (test_clock, 10000);
      balance_request_started (balance, ids[at]);
      if (at != 0)
        *oldest = at;
      else
        balance_request_ended (balance, ids[at], false);
      failing += at == 0;
    }
  /* By load alone the failing upstream would be selected in each of the 60
     draws that contain it.  */
  ck_assert_int_le (failing, 10);
}
END_TEST

START_TEST (load_of_other_gateways_counts)
{
  int counts[10] = { 0 };
  balance_load_t busy = { .in_flight = 30, .slots = 16 };
  balance_load_t idle = { .in_flight = 0, .slots = 16 };

  add_runners (balance, 0, 10, 1);
  for (int i = 0; i < 10; i++)
    balance_record_load (balance, ids[i], i < 5 ? &busy : &idle, 0);
  send_requests (50, counts);
  for (int i = 0; i < 5; i++)
    ck_assert_int_le (counts[i], 3);
}
END_TEST

/* Two reports arrive out of order.  The older one, which arrives last, must
   not restore a load that no longer exists.  */
START_TEST (older_report_is_ignored)
{
  balance_load_t now = { .in_flight = 2, .slots = 10 };
  balance_load_t then = { .in_flight = 90, .slots = 10 };
  balance_info_t info;

  add_runners (balance, 0, 1, 1);
  clock_manual_advance_us (test_clock, 10000000);
  balance_record_load (balance, ids[0], &now, 0);
  balance_record_load (balance, ids[0], &then, 1000);
  ck_assert (balance_info (balance, ids[0], &info));
  ck_assert (info.load < 1);
  clock_manual_advance_us (test_clock, 3000000);
  ck_assert (balance_info (balance, ids[0], &info));
  ck_assert_uint_ge (info.report_age_ms, 2990);
  ck_assert_uint_le (info.report_age_ms, 3010);
}
END_TEST

/* Return how many of 60 requests are sent to the only upstream that is idle
   according to reports of AGE_MS.  */
static int
requests_to_idle_upstream (uint64_t age_ms)
{
  int counts[20] = { 0 };
  balance_load_t idle = { .in_flight = 0, .slots = 8 };
  balance_load_t busy = { .in_flight = 6, .slots = 8 };

  for (int i = 0; i < 20; i++)
    balance_record_load (balance, ids[i], i == 0 ? &idle : &busy, age_ms);
  send_requests (60, counts);
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

/* All gateways receive the same reports, which are seconds old and show one
   idle upstream.  With least load by report all gateways would select it until
   the next report, which overloads it, and then none.  */
START_TEST (old_reports_do_not_cause_herding)
{
  int sent_by_old_reports;
  int sent_by_current_reports;

  add_runners (balance, 0, 20, 1);
  clock_manual_advance_us (test_clock, 20000000);
  sent_by_old_reports = requests_to_idle_upstream (10000);
  clock_manual_advance_us (test_clock, 20000000);
  sent_by_current_reports = requests_to_idle_upstream (0);
  /* An equal share would be three.  */
  ck_assert_int_le (sent_by_old_reports, 4);
  ck_assert_int_ge (sent_by_old_reports, 1);
  ck_assert_int_ge (sent_by_current_reports, 6);
}
END_TEST

/* The concurrency limits of two equal upstreams alternate between half and
   twice their mean.  By the last reports alone, seconds old, one of them would
   get four times the requests of the other.  */
START_TEST (old_slot_reports_decay_to_the_average)
{
  int counts[2] = { 0 };

  add_runners (balance, 0, 2, 1);
  for (uint32_t round = 0; round < 20; round++)
    for (uint32_t i = 0; i < 2; i++)
      {
        balance_load_t load = { .slots = (round + i) % 2 == 0 ? 8 : 32 };
        balance_record_load (balance, ids[i], &load, 0);
      }
  clock_manual_advance_us (test_clock, 5000000);
  send_requests (30, counts);
  ck_assert_int_ge (counts[0], 10);
  ck_assert_int_ge (counts[1], 10);
}
END_TEST

/* A sidecar has just lowered its concurrency limit from sixteen to two.  */
START_TEST (current_slot_reports_count)
{
  int counts[2] = { 0 };
  balance_load_t warm = { .slots = 16 };
  balance_load_t cold = { .slots = 2 };

  add_runners (balance, 0, 2, 1);
  for (int round = 0; round < 20; round++)
    for (int i = 0; i < 2; i++)
      balance_record_load (balance, ids[i], &warm, 0);
  balance_record_load (balance, ids[0], &cold, 0);
  send_requests (18, counts);
  ck_assert_int_le (counts[0], 3);
}
END_TEST

/* Gateways must select the same upstream for a prefix without coordination.
   Otherwise every prefix takes up room in several caches.  */
START_TEST (affinity_is_equal_at_all_gateways)
{
  balance_t *other
      = balance_create (STR ("entry-2"), zones[0], test_clock, &rng);
  int moved = 0;
  int selected[200];

  for (int i = RUNNERS_MAX - 1; i >= 0; i--)
    balance_update (other, runner_name (i), zones[i % 3], &draft_pool, 1,
                    false);
  add_runners (balance, 0, RUNNERS_MAX, 3);
  for (int i = 0; i < 200; i++)
    {
      selected[i] = select_from (balance, 1000 + (uint64_t)i);
      ck_assert_int_eq (selected[i] % 3, 0);
      ck_assert_int_eq (select_from (other, 1000 + (uint64_t)i), selected[i]);
    }
  for (int i = 0; i < 30; i++)
    balance_remove (balance, runner_name (i));
  for (int i = 0; i < 200; i++)
    moved += select_from (balance, 1000 + (uint64_t)i) != selected[i];
  ck_assert_int_le (moved, 20);
  balance_destroy (other);
}
END_TEST

/* Half of all requests have the same prefix.  The upstream that affinity
   selects for them must not be overloaded.  */
START_TEST (hot_prefix_does_not_overload_an_upstream)
{
  int counts[10] = { 0 };

  add_runners (balance, 0, 10, 1);
  for (int i = 0; i < 60; i++)
    {
      int at = select_from (balance, i % 2 == 0 ? 77 : BALANCE_NO_AFFINITY);
      balance_request_started (balance, ids[at]);
      counts[at]++;
    }
  for (int i = 0; i < 10; i++)
    ck_assert_int_le (counts[i], BALANCE_DEFAULT_SLOTS);
}
END_TEST

START_TEST (late_and_lost_cache_events)
{
  str_t large = STR ("draft-large@7");
  int ring_upstream;
  int hinted_upstream;

  add_runners (balance, 0, 10, 1);
  ring_upstream = select_from (balance, 77);
  hinted_upstream = (ring_upstream + 1) % 10;
  balance_cache_event (balance, ids[hinted_upstream], 77, true);
  ck_assert_int_eq (select_from (balance, 77), hinted_upstream);
  balance_cache_event (balance, ids[ring_upstream], 77, false);
  ck_assert_int_eq (select_from (balance, 77), hinted_upstream);
  balance_cache_event (balance, ids[hinted_upstream], 77, false);
  ck_assert_int_eq (select_from (balance, 77), ring_upstream);
  /* Without an eviction event the cache hint expires.  */
  balance_cache_event (balance, ids[hinted_upstream], 77, true);
  clock_manual_advance_us (test_clock, (BALANCE_HINT_TTL_MS + 100) * 1000ul);
  ck_assert_int_eq (select_from (balance, 77), ring_upstream);
  /* The upstream now serves another pool, and then it is removed.  */
  balance_cache_event (balance, ids[hinted_upstream], 77, true);
  balance_update (balance, runner_name (hinted_upstream), zones[0], &large, 1,
                  false);
  ck_assert_int_eq (select_from (balance, 77), ring_upstream);
  balance_remove (balance, runner_name (hinted_upstream));
  ck_assert_int_eq (select_from (balance, 77), ring_upstream);
}
END_TEST

START_TEST (pools_and_zone_of_an_upstream_change)
{
  str_t both[] = { draft_pool, STR ("draft-large@7") };
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
    ck_assert_int_ne (select_runner (), 1);
  ck_assert (balance_info (balance, ids[1], &info));
  ck_assert (str_eq (info.zone, zones[2]));
  for (int i = 0; i < 3; i++)
    ck_assert (balance_next_upstream (balance, &cursor, &info));
  ck_assert (!balance_next_upstream (balance, &cursor, &info));
}
END_TEST

START_TEST (pressure_is_the_mean_load_and_decays)
{
  balance_load_t full = { .in_flight = 16, .slots = 8 };
  pool_id_t pool = balance_find_or_add_pool (balance, draft_pool);

  add_runners (balance, 0, 10, 1);
  ck_assert (balance_pressure (balance, pool) == 0);
  for (int round = 0; round < 30; round++)
    for (int i = 0; i < 10; i++)
      balance_record_load (balance, ids[i], &full, 0);
  ck_assert (balance_pressure (balance, pool) > 1.9);
  clock_manual_advance_us (test_clock, 60000000);
  ck_assert (balance_pressure (balance, pool) < 0.2);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("balance");
  TCase *tcase = tcase_create ("balance");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, requests_spread_evenly);
  tcase_add_test (tcase, pool_without_upstreams_selects_none);
  tcase_add_test (tcase, id_of_removed_upstream_is_invalid);
  tcase_add_test (tcase, subset_is_deterministic_and_stable);
  tcase_add_test (tcase, subsets_of_many_gateways_cover_the_pool);
  tcase_add_test (tcase, own_zone_is_filled_before_others);
  tcase_add_test (tcase, enabled_zone_ramps_up);
  tcase_add_test (tcase, marked_upstreams_get_no_requests);
  tcase_add_test (tcase, draining_upstreams_are_replaced_in_the_subset);
  tcase_add_test (tcase, upstream_ramps_up_after_ejection);
  tcase_add_test (tcase, tried_upstreams_are_not_selected_again);
  tcase_add_test (tcase, fast_failures_do_not_attract_requests);
  tcase_add_test (tcase, load_of_other_gateways_counts);
  tcase_add_test (tcase, older_report_is_ignored);
  tcase_add_test (tcase, old_reports_do_not_cause_herding);
  tcase_add_test (tcase, old_slot_reports_decay_to_the_average);
  tcase_add_test (tcase, current_slot_reports_count);
  tcase_add_test (tcase, affinity_is_equal_at_all_gateways);
  tcase_add_test (tcase, hot_prefix_does_not_overload_an_upstream);
  tcase_add_test (tcase, late_and_lost_cache_events);
  tcase_add_test (tcase, pools_and_zone_of_an_upstream_change);
  tcase_add_test (tcase, pressure_is_the_mean_load_and_decays);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
