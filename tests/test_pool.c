/* Which instance gets a request: hot subjects, cold instances, failures.  */

#include "policy/pool.h"
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  INSTANCES = 6
};

typedef struct
{
  clock_iface_t *clock;
  allotment_t *fleet;
  pool_t *pool;
  pool_criteria_t want;
} fixture_t;

static void
put (fixture_t *f, int index, const char *version, const char *zone,
     uint64_t cold_ms)
{
  char id[16];

  snprintf (id, sizeof id, "i-%d", index);
  const upstream_info_t info = { .id = str_from (id),
                                 .service = STR ("llm"),
                                 .address = STR ("127.0.0.1:1"),
                                 .zone = str_from (zone),
                                 .version = str_from (version),
                                 .slots = 64,
                                 .cold_ms = cold_ms };
  pool_put (f->pool, &info);
}

/* Make F entry INDEX of COUNT, which are in three zones, with INSTANCES.  */
static void
setup_one_of (fixture_t *f, int instances, int index, int count)
{
  pool_options_t options
      = { .zone = STR ("a"), .cold_factor = 1.5, .cold_slack = 5 };

  f->clock = clock_manual_create (0);
  clock_manual_advance_us (f->clock, 10000000);
  for (int i = index; i < index + count; i++)
    {
      static const char *const zones[] = { "a", "b", "c" };
      char name[32];
      snprintf (name, sizeof name, "entry-%d", i % count);
      str_t zone = str_from (zones[i % count % 3]);
      if (i == index)
        f->fleet = allotment_create (f->clock, str_from (name), zone);
      else
        allotment_put (f->fleet, str_from (name), zone);
    }
  allotment_set_loaded (f->fleet);
  options.entries = f->fleet;
  f->pool = pool_create (f->clock, 1, &options);
  f->want = (pool_criteria_t){ .service = STR ("llm") };
  for (int i = 0; i < instances; i++)
    put (f, i, "v1", "a", 0);
}

static void
setup (fixture_t *f, int instances)
{
  setup_one_of (f, instances, 0, 1);
}

static void
teardown (fixture_t *f)
{
  pool_destroy (f->pool);
  allotment_destroy (f->fleet);
  clock_manual_destroy (f->clock);
}

static upstream_t *
choose (fixture_t *f)
{
  upstream_t *upstream = NULL;

  ck_assert_int_eq (pool_select (f->pool, &f->want, &upstream), VH_OK);
  return upstream;
}

/* Start REQUESTS of F's kind.  Return how many instances they came to; USED
   gets these.  */
static size_t
start_some (fixture_t *f, int requests, upstream_t *used[INSTANCES])
{
  size_t count = 0;

  for (int i = 0; i < requests; i++)
    {
      upstream_t *next = choose (f);
      bool known = false;
      pool_request_started (f->pool, next, 0);
      for (size_t j = 0; j < count; j++)
        known = known || used[j] == next;
      if (!known)
        used[count++] = next;
    }
  return count;
}

/* The same subject comes to the same instance at any entry, and a subject that
   becomes hot gets further ones before its first is full.  */
START_TEST (a_subject_has_a_home_until_it_is_hot)
{
  fixture_t f;
  fixture_t other;
  upstream_t *used[INSTANCES] = { NULL };
  size_t count;

  setup (&f, INSTANCES);
  setup (&other, INSTANCES);
  f.want.key = other.want.key = 12345;
  upstream_t *home = choose (&f);
  ck_assert (str_eq (upstream_id (home), upstream_id (choose (&other))));
  count = start_some (&f, 60, used);
  ck_assert_uint_gt (count, 2);
  for (size_t i = 0; i < count; i++)
    ck_assert_uint_lt (upstream_running (used[i]), 40);
  teardown (&f);
  teardown (&other);
}
END_TEST

/* A cold instance falls over at a rate that a warm one bears.  Entries that
   cannot ask each other stay under its bound together.  */
START_TEST (a_cold_instance_gets_its_share_of_requests)
{
  fixture_t f;
  upstream_t *upstream;
  int sent = 0;

  setup_one_of (&f, 0, 0, 6);
  put (&f, 0, "v1", "a", 5000);
  f.want.cold_per_s = 14;
  while (pool_select (f.pool, &f.want, &upstream) == VH_OK)
    {
      pool_request_started (f.pool, upstream, 0);
      sent++;
    }
  ck_assert_int_ge (sent, 1);
  ck_assert_int_le (sent * 6, 14 + 5);
  clock_manual_advance_us (f.clock, 1000000);
  ck_assert_int_eq (pool_select (f.pool, &f.want, &upstream), VH_OK);
  teardown (&f);
}
END_TEST

/* Entries that each round their part of a bound up to one request send a cold
   instance as many as there are entries.  */
START_TEST (a_cold_instance_bears_any_number_of_entries)
{
  static const int fleets[] = { 1, 2, 5, 22, 68, 730 };
  const int entries = fleets[_i];
  fixture_t *all = calloc ((size_t)entries, sizeof *all);
  int sent = 0;

  for (int i = 0; i < entries; i++)
    {
      upstream_t *upstream;
      setup_one_of (&all[i], 0, i, entries);
      put (&all[i], 0, "v1", "a", 5000);
      all[i].want.cold_per_s = 10;
      while (pool_select (all[i].pool, &all[i].want, &upstream) == VH_OK)
        {
          pool_request_started (all[i].pool, upstream, 0);
          sent++;
        }
    }
  ck_assert_int_le (sent, 10);
  ck_assert_int_ge (sent, 9);
  for (int i = 0; i < entries; i++)
    teardown (&all[i]);
  free (all);
}
END_TEST

/* A new version with as many instances as the old one gets a tenth of the
   requests.  Spread over all, they leave each idle, and a version that is slow
   or bad under load looks good.  They go to the same few at every entry, and
   to the others only once those are full.  */
START_TEST (the_first_share_loads_a_few)
{
  fixture_t f;
  fixture_t other;
  upstream_t *used[INSTANCES] = { NULL };
  size_t count;

  setup (&f, INSTANCES);
  setup (&other, INSTANCES);
  f.want.arm = other.want.arm = VERSION_ARM_NEW;
  f.want.version = other.want.version = STR ("v1");
  f.want.few = other.want.few = 2;
  count = start_some (&f, 100, used);
  ck_assert_uint_eq (count, 2);
  str_t id = upstream_id (choose (&other));
  ck_assert (str_eq (id, upstream_id (used[0]))
             || str_eq (id, upstream_id (used[1])));
  while (upstream_running (used[0]) + upstream_running (used[1]) < 2 * 64)
    pool_request_started (f.pool, choose (&f), 0);
  upstream_t *third = choose (&f);
  ck_assert (third != used[0] && third != used[1]);
  teardown (&f);
  teardown (&other);
}
END_TEST

/* One instance fails every request: after a few it gets none for a while, then
   one to try.  When all fail, all stay in use.  */
START_TEST (a_failing_instance_is_left_alone)
{
  fixture_t f;
  upstream_t *bad = NULL;

  setup (&f, 2);
  for (int i = 0; i < 40; i++)
    {
      upstream_t *next = choose (&f);
      if (bad == NULL)
        bad = next;
      pool_request_started (f.pool, next, 0);
      pool_request_finished (f.pool, next, 0,
                             next == bad ? SEND_FAILED : SEND_OK);
    }
  for (int i = 0; i < 20; i++)
    ck_assert_ptr_ne (choose (&f), bad);
  for (int i = 0; i < 4; i++)
    {
      upstream_t *good = choose (&f);
      pool_request_started (f.pool, good, 0);
      pool_request_finished (f.pool, good, 0, SEND_FAILED);
    }
  choose (&f);
  teardown (&f);
}
END_TEST

START_TEST (versions_zones_and_tried_ones_are_told_apart)
{
  fixture_t f;
  upstream_t *upstream;

  setup (&f, 1);
  put (&f, 1, "v2", "b", 0);
  f.want.version = STR ("v2");
  f.want.arm = VERSION_ARM_NEW;
  ck_assert (str_eq (upstream_id (choose (&f)), STR ("i-1")));
  f.want.arm = VERSION_ARM_OLD;
  ck_assert (str_eq (upstream_id (choose (&f)), STR ("i-0")));
  pool_set_zone_disabled (f.pool, STR ("a"), true);
  ck_assert_int_eq (pool_select (f.pool, &f.want, &upstream),
                    VH_E_NO_UPSTREAM);
  f.want.arm = VERSION_ARM_ANY;
  upstream_t *only = choose (&f);
  const upstream_t *tried[] = { only };
  f.want.tried = tried;
  f.want.tried_count = 1;
  ck_assert_int_eq (pool_select (f.pool, &f.want, &upstream),
                    VH_E_NO_UPSTREAM);
  pool_set_zone_disabled (f.pool, STR ("a"), false);
  ck_assert (str_eq (upstream_id (choose (&f)), STR ("i-0")));
  teardown (&f);
}
END_TEST

/* An instance is removed while requests run there: they keep it, new ones do
   not get it.  A lapsed one is usable for the time given.  */
START_TEST (a_removed_instance_ends_its_requests)
{
  fixture_t f;
  upstream_t *upstream;

  setup (&f, 1);
  upstream_t *running = choose (&f);
  pool_request_started (f.pool, running, 100);
  pool_remove (f.pool, STR ("i-0"), 2000);
  ck_assert_ptr_eq (choose (&f), running);
  clock_manual_advance_us (f.clock, 2000000);
  ck_assert_int_eq (pool_select (f.pool, &f.want, &upstream),
                    VH_E_NO_UPSTREAM);
  ck_assert (str_eq (upstream_id (running), STR ("i-0")));
  pool_request_finished (f.pool, running, 100, SEND_OK);
  teardown (&f);
}
END_TEST

/* A long prompt is being read at one instance: short requests go elsewhere,
   where no prefill delays their tokens.  */
START_TEST (long_prompts_keep_others_away)
{
  fixture_t f;

  setup (&f, 2);
  upstream_t *busy = choose (&f);
  pool_request_started (f.pool, busy, 12000);
  for (int i = 0; i < 8; i++)
    {
      upstream_t *next = choose (&f);
      ck_assert_ptr_ne (next, busy);
      pool_request_started (f.pool, next, 200);
    }
  pool_prompt_processed (busy, 12000);
  ck_assert_ptr_eq (choose (&f), busy);
  teardown (&f);
}
END_TEST

/* An engine with requests says nothing to any of them: it is looked at half a
   second after its last sign, later while it reads a long prompt, and not at
   all while one of its requests gets tokens.  One that takes connections is
   looked at again after a while, one that takes none is lost at once.  */
START_TEST (a_dead_engine_is_told_from_a_slow_one)
{
  fixture_t f;

  setup (&f, 1);
  upstream_t *engine = choose (&f);
  uint64_t now_ms = clock_ms (f.clock);
  pool_request_started (f.pool, engine, 0);
  ck_assert_uint_eq (pool_probe_due_ms (engine),
                     now_ms + POOL_SILENCE_TIMEOUT_MS);
  pool_request_started (f.pool, engine, 12000);
  ck_assert_uint_ge (pool_probe_due_ms (engine), now_ms + 1400);
  clock_manual_advance_us (f.clock, 400000);
  pool_data_received (f.pool, engine);
  pool_prompt_processed (engine, 12000);
  ck_assert_uint_eq (pool_probe_due_ms (engine),
                     now_ms + 400 + POOL_SILENCE_TIMEOUT_MS);
  clock_manual_advance_us (f.clock, 600000);
  pool_probe_finished (f.pool, upstream_id (engine), true);
  ck_assert_uint_eq (pool_probe_due_ms (engine),
                     now_ms + 1000 + POOL_PROBE_INTERVAL_MS);
  pool_probe_finished (f.pool, upstream_id (engine), false);
  ck_assert (upstream_is_unreachable (engine));
  ck_assert_uint_eq (pool_probe_due_ms (engine), 0);
  pool_data_received (f.pool, engine);
  ck_assert (!upstream_is_unreachable (engine));
  teardown (&f);
}
END_TEST

/* A version was taken back and the next one is ordered before its instances
   are gone.  They must not pass for the old version: a session would go from
   the old one to one that is known to be bad.  Ordered again, it is one like
   any other.  */
START_TEST (a_version_that_was_taken_back_gets_nothing)
{
  fixture_t f;
  upstream_t *chosen;
  buf_t text = BUF_NULL;

  setup (&f, 1);
  put (&f, 1, "v2", "a", 0);
  pool_set_version_withdrawn (f.pool, STR ("llm"), STR ("v2"), true);
  put (&f, 2, "v2", "a", 0);
  f.want.arm = VERSION_ARM_OLD;
  f.want.version = STR ("v3");
  for (int i = 0; i < 20; i++)
    {
      chosen = choose (&f);
      ck_assert (str_eq (upstream_version (chosen), STR ("v1")));
      pool_request_started (f.pool, chosen, 100);
    }
  pool_append_withdrawn_versions (f.pool, STR ("llm"), &text);
  ck_assert (str_eq (buf_str (&text), STR (" v2")));
  buf_free (&text);
  pool_set_version_withdrawn (f.pool, STR ("llm"), STR ("v2"), false);
  ck_assert (!str_eq (upstream_version (choose (&f)), STR ("v1")));
  teardown (&f);
}
END_TEST

/* The last answer of each instance said that all its slots were taken, by
   requests of other entries.  They were free a moment later, but nothing that
   was not sent could tell: every request was refused as full until then.  */
START_TEST (a_full_instance_is_tried_again)
{
  fixture_t f;
  upstream_t *chosen;

  setup (&f, 1);
  upstream_t *instance = choose (&f);
  pool_record_load (f.pool, instance, 64, 3, 64);
  ck_assert_int_eq (pool_select (f.pool, &f.want, &chosen), VH_E_FULL);
  clock_manual_advance_us (f.clock, 100000);
  ck_assert_int_eq (pool_select (f.pool, &f.want, &chosen), VH_OK);
  pool_record_load (f.pool, instance, 200, 0, 64);
  clock_manual_advance_us (f.clock, 100000);
  ck_assert_int_eq (pool_select (f.pool, &f.want, &chosen), VH_E_FULL);
  clock_manual_advance_us (f.clock, POOL_FULL_DECAY_MS * 1000);
  ck_assert_int_eq (pool_select (f.pool, &f.want, &chosen), VH_OK);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pool");
  TCase *tcase = tcase_create ("pool");

  tcase_add_test (tcase, a_subject_has_a_home_until_it_is_hot);
  tcase_add_test (tcase, a_cold_instance_gets_its_share_of_requests);
  tcase_add_loop_test (tcase, a_cold_instance_bears_any_number_of_entries, 0,
                       6);
  tcase_add_test (tcase, the_first_share_loads_a_few);
  tcase_add_test (tcase, a_failing_instance_is_left_alone);
  tcase_add_test (tcase, versions_zones_and_tried_ones_are_told_apart);
  tcase_add_test (tcase, a_removed_instance_ends_its_requests);
  tcase_add_test (tcase, long_prompts_keep_others_away);
  tcase_add_test (tcase, a_dead_engine_is_told_from_a_slow_one);
  tcase_add_test (tcase, a_version_that_was_taken_back_gets_nothing);
  tcase_add_test (tcase, a_full_instance_is_tried_again);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
