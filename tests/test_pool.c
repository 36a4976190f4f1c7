/* Tests of instance selection: prompt affinity, cold instances, failures.  */

#include "base/rng.h"
#include "policy/pool.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  INSTANCES = 6,
  CELLS = 64,
  CELL_INSTANCES = 40
};

typedef struct
{
  clock_iface_t *clock;
  allotment_t *gateways;
  pool_t *pool;
  pool_criteria_t criteria;
} fixture_t;

static void
add_instance (fixture_t *f, int index, const char *version, const char *zone,
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

/* Set up F as gateway INDEX of COUNT, which are spread over three zones, with
   a pool of INSTANCES instances.  */
static void
setup_gateway (fixture_t *f, int instances, int index, int count)
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
        f->gateways = allotment_create (f->clock, str_from (name), zone);
      else
        allotment_put (f->gateways, str_from (name), zone);
    }
  allotment_set_loaded (f->gateways);
  options.gateways = f->gateways;
  f->pool = pool_create (f->clock, 1, &options);
  f->criteria = (pool_criteria_t){ .service = STR ("llm") };
  for (int i = 0; i < instances; i++)
    add_instance (f, i, "v1", "a", 0);
}

static void
setup (fixture_t *f, int instances)
{
  setup_gateway (f, instances, 0, 1);
}

static void
teardown (fixture_t *f)
{
  pool_destroy (f->pool);
  allotment_destroy (f->gateways);
  clock_manual_destroy (f->clock);
}

static upstream_t *
choose (fixture_t *f)
{
  upstream_t *upstream = NULL;

  ck_assert_int_eq (pool_select (f->pool, &f->criteria, &upstream), VH_OK);
  return upstream;
}

/* Start REQUESTS requests with the criteria of F.  Store the instances that
   they were sent to in USED, and return how many these are.  */
static size_t
start_requests (fixture_t *f, int requests, upstream_t *used[INSTANCES])
{
  size_t count = 0;

  for (int i = 0; i < requests; i++)
    {
      upstream_t *next = choose (f);
      bool is_used = false;
      pool_request_started (f->pool, next, 0);
      for (size_t j = 0; j < count; j++)
        is_used = is_used || used[j] == next;
      if (!is_used)
        used[count++] = next;
    }
  return count;
}

/* Requests with one affinity key go to the same instance at all gateways.
   Under high load they spread to further instances before the first is
   full.  */
START_TEST (affinity_holds_until_instance_is_overloaded)
{
  fixture_t f;
  fixture_t other;
  upstream_t *used[INSTANCES] = { NULL };
  size_t count;

  setup (&f, INSTANCES);
  setup (&other, INSTANCES);
  f.criteria.affinity_key = other.criteria.affinity_key = 12345;
  upstream_t *affinity_instance = choose (&f);
  ck_assert (
      str_eq (upstream_id (affinity_instance), upstream_id (choose (&other))));
  count = start_requests (&f, 60, used);
  ck_assert_uint_gt (count, 2);
  for (size_t i = 0; i < count; i++)
    ck_assert_uint_lt (upstream_running_count (used[i]), 40);
  teardown (&f);
  teardown (&other);
}
END_TEST

/* A cold instance fails at a request rate that a warm one sustains.  Gateways
   that do not coordinate must stay below its rate limit together.  */
START_TEST (cold_instance_is_limited_to_its_rate)
{
  fixture_t f;
  upstream_t *upstream;
  int sent = 0;

  setup_gateway (&f, 0, 0, 6);
  add_instance (&f, 0, "v1", "a", 5000);
  f.criteria.cold_rate_per_s = 14;
  while (pool_select (f.pool, &f.criteria, &upstream) == VH_OK)
    {
      pool_request_started (f.pool, upstream, 0);
      sent++;
    }
  ck_assert_int_ge (sent, 1);
  ck_assert_int_le (sent * 6, 14 + 5);
  clock_manual_advance_us (f.clock, 1000000);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  teardown (&f);
}
END_TEST

/* If each gateway rounds its share of the rate limit up to one request, a cold
   instance gets as many requests as there are gateways.  */
START_TEST (cold_rate_holds_for_any_number_of_gateways)
{
  static const int gateway_counts[] = { 1, 2, 5, 22, 68, 730 };
  const int gateway_count = gateway_counts[_i];
  fixture_t *all = calloc ((size_t)gateway_count, sizeof *all);
  int sent = 0;

  for (int i = 0; i < gateway_count; i++)
    {
      upstream_t *upstream;
      setup_gateway (&all[i], 0, i, gateway_count);
      add_instance (&all[i], 0, "v1", "a", 5000);
      all[i].criteria.cold_rate_per_s = 10;
      while (pool_select (all[i].pool, &all[i].criteria, &upstream) == VH_OK)
        {
          pool_request_started (all[i].pool, upstream, 0);
          sent++;
        }
    }
  ck_assert_int_le (sent, 10);
  ck_assert_int_ge (sent, 9);
  for (int i = 0; i < gateway_count; i++)
    teardown (&all[i]);
  free (all);
}
END_TEST

/* Failure: gateways that start again send a cold instance their whole parts of
   its rate although their predecessors did so in the same second.  */
START_TEST (restarted_gateways_overload_a_cold_instance)
{
  enum
  {
    GATEWAYS = 6,
    RATE = 14
  };
  int sent = 0;

  for (int life = 0; life < 2; life++)
    for (int i = 0; i < GATEWAYS; i++)
      {
        fixture_t f;
        upstream_t *upstream;
        setup_gateway (&f, 0, i, GATEWAYS);
        add_instance (&f, 0, "v1", "a", 5000);
        f.criteria.cold_rate_per_s = RATE;
        /* The predecessors have been there for longer.  */
        if (life == 0)
          clock_manual_advance_us (f.clock, 2000000);
        while (pool_select (f.pool, &f.criteria, &upstream) == VH_OK)
          {
            pool_request_started (f.pool, upstream, 0);
            sent++;
          }
        teardown (&f);
      }
  ck_assert_int_ge (sent, RATE);
  ck_assert_int_le (sent, RATE * 1.5 + 5);
}
END_TEST

/* A new version with as many instances as the old one gets a tenth of the
   requests.  Spread over all its instances, these leave each of them idle, and
   a version that is slow or fails under load passes.  The requests must go to
   the same few instances at every gateway, and to others only if those are
   full.  */
START_TEST (first_traffic_share_goes_to_few_instances)
{
  fixture_t f;
  fixture_t other;
  upstream_t *used[INSTANCES] = { NULL };
  size_t count;

  setup (&f, INSTANCES);
  setup (&other, INSTANCES);
  f.criteria.arm = other.criteria.arm = VERSION_ARM_NEW;
  f.criteria.version = other.criteria.version = STR ("v1");
  f.criteria.max_instances = other.criteria.max_instances = 2;
  count = start_requests (&f, 100, used);
  ck_assert_uint_eq (count, 2);
  str_t id = upstream_id (choose (&other));
  ck_assert (str_eq (id, upstream_id (used[0]))
             || str_eq (id, upstream_id (used[1])));
  while (upstream_running_count (used[0]) + upstream_running_count (used[1])
         < 2 * 64)
    pool_request_started (f.pool, choose (&f), 0);
  upstream_t *third = choose (&f);
  ck_assert (third != used[0] && third != used[1]);
  teardown (&f);
  teardown (&other);
}
END_TEST

/* One instance fails every request and must be ejected after a few.  When all
   instances fail, all must stay in use.  */
START_TEST (failing_instance_is_ejected)
{
  fixture_t f;
  upstream_t *failing = NULL;

  setup (&f, 2);
  for (int i = 0; i < 40; i++)
    {
      upstream_t *next = choose (&f);
      if (failing == NULL)
        failing = next;
      pool_request_started (f.pool, next, 0);
      pool_request_finished (f.pool, next, 0,
                             next == failing ? SEND_FAILED : SEND_OK);
    }
  for (int i = 0; i < 20; i++)
    ck_assert_ptr_ne (choose (&f), failing);
  for (int i = 0; i < 4; i++)
    {
      upstream_t *other = choose (&f);
      pool_request_started (f.pool, other, 0);
      pool_request_finished (f.pool, other, 0, SEND_FAILED);
    }
  choose (&f);
  teardown (&f);
}
END_TEST

START_TEST (selection_obeys_version_zone_and_tried)
{
  fixture_t f;
  upstream_t *upstream;

  setup (&f, 1);
  add_instance (&f, 1, "v2", "b", 0);
  f.criteria.version = STR ("v2");
  f.criteria.arm = VERSION_ARM_NEW;
  ck_assert (str_eq (upstream_id (choose (&f)), STR ("i-1")));
  f.criteria.arm = VERSION_ARM_OLD;
  ck_assert (str_eq (upstream_id (choose (&f)), STR ("i-0")));
  pool_set_zone_disabled (f.pool, STR ("a"), true);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream),
                    VH_E_NO_UPSTREAM);
  f.criteria.arm = VERSION_ARM_ANY;
  upstream_t *only = choose (&f);
  const upstream_t *tried[] = { only };
  f.criteria.tried = tried;
  f.criteria.tried_count = 1;
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream),
                    VH_E_NO_UPSTREAM);
  pool_set_zone_disabled (f.pool, STR ("a"), false);
  ck_assert (str_eq (upstream_id (choose (&f)), STR ("i-0")));
  teardown (&f);
}
END_TEST

/* An instance whose registration expires stays selectable for the given time.
   After its removal it gets no new requests, and its running ones end
   normally.  */
START_TEST (removed_instance_completes_its_requests)
{
  fixture_t f;
  upstream_t *upstream;

  setup (&f, 1);
  upstream_t *running = choose (&f);
  pool_request_started (f.pool, running, 100);
  pool_unregister (f.pool, STR ("i-0"), 2000);
  ck_assert_ptr_eq (choose (&f), running);
  clock_manual_advance_us (f.clock, 2000000);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream),
                    VH_E_NO_UPSTREAM);
  ck_assert (str_eq (upstream_id (running), STR ("i-0")));
  pool_request_finished (f.pool, running, 100, SEND_OK);
  teardown (&f);
}
END_TEST

/* While one instance processes a long prompt, short requests must go to the
   other, where no prefill delays their tokens.  */
START_TEST (instance_in_prefill_gets_no_short_requests)
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

/* An engine that sends no data for any of its requests is probed half a second
   after the last data, and later while it processes a long prompt.  An engine
   that accepts the probe's connection is probed again later; one that does not
   is unreachable immediately, until it sends data.  */
START_TEST (silent_engine_is_probed)
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

/* Version v2 is withdrawn, and a trial of v3 starts while instances of v2
   still run.  They must not be selected as the old version: sessions would
   move from v1 to a version that is known to be faulty.  When v2 is no longer
   withdrawn, it is selected like any other version.  */
START_TEST (withdrawn_version_gets_no_requests)
{
  fixture_t f;
  upstream_t *chosen;
  buf_t text = BUF_NULL;

  setup (&f, 1);
  add_instance (&f, 1, "v2", "a", 0);
  pool_set_version_withdrawn (f.pool, STR ("llm"), STR ("v2"), true);
  add_instance (&f, 2, "v2", "a", 0);
  f.criteria.arm = VERSION_ARM_OLD;
  f.criteria.version = STR ("v3");
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

/* The last response of an instance reported that all its slots were taken by
   requests of other gateways.  Without new requests there was no later report,
   so every request was rejected as full although the slots were free.  */
START_TEST (full_instance_is_selected_again)
{
  fixture_t f;
  upstream_t *chosen;

  setup (&f, 1);
  upstream_t *instance = choose (&f);
  pool_record_load (f.pool, instance, 64, 3, 64);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &chosen), VH_E_FULL);
  clock_manual_advance_us (f.clock, 100000);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &chosen), VH_OK);
  pool_record_load (f.pool, instance, 200, 0, 64);
  clock_manual_advance_us (f.clock, 100000);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &chosen), VH_E_FULL);
  clock_manual_advance_us (f.clock, POOL_FULL_DECAY_MS * 1000);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &chosen), VH_OK);
  teardown (&f);
}
END_TEST

/* Register the only instance as process INCARNATION.  */
static void
register_process (fixture_t *f, uint64_t incarnation, bool draining)
{
  const upstream_info_t info = { .id = STR ("i-0"),
                                 .service = STR ("llm"),
                                 .address = STR ("127.0.0.1:1"),
                                 .zone = STR ("a"),
                                 .version = STR ("v1"),
                                 .slots = 64,
                                 .draining = draining,
                                 .incarnation = incarnation };

  pool_put (f->pool, &info);
}

/* An instance says that it is leaving.  Which registrations end that: that of
   another process, one that is no longer draining, and none that only tells
   what was registered before.  */
START_TEST (registration_forgets_that_an_instance_is_leaving)
{
  upstream_t *upstream;
  fixture_t f;

  setup (&f, 0);
  register_process (&f, 1, false);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  ck_assert (pool_announce_leaving (f.pool, upstream));
  ck_assert (!pool_announce_leaving (f.pool, upstream));
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream),
                    VH_E_NO_UPSTREAM);
  register_process (&f, 1, false);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream),
                    VH_E_NO_UPSTREAM);
  pool_unregister (f.pool, STR ("i-0"), 0);
  register_process (&f, 1, false);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream),
                    VH_E_NO_UPSTREAM);
  register_process (&f, 1, true);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream),
                    VH_E_NO_UPSTREAM);
  register_process (&f, 1, false);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  ck_assert (pool_announce_leaving (f.pool, upstream));
  register_process (&f, 2, false);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  teardown (&f);
}
END_TEST

/* Put the registration of process INCARNATION of instance i-0, its write
   number SEQUENCE.  */
static bool
put_write (fixture_t *f, uint64_t incarnation, uint64_t sequence,
           bool draining)
{
  const upstream_info_t info = { .id = STR ("i-0"),
                                 .service = STR ("llm"),
                                 .address = STR ("127.0.0.1:1"),
                                 .zone = STR ("a"),
                                 .version = STR ("v1"),
                                 .slots = 64,
                                 .draining = draining,
                                 .incarnation = incarnation,
                                 .sequence = sequence };
  bool was_removed = pool_was_removed (f->pool, &info);

  pool_put (f->pool, &info);
  return was_removed;
}

/* An older copy of the store lists a leaving instance as ready, or one that is
   gone.  */
START_TEST (older_registration_replaces_a_later_one)
{
  upstream_t *upstream;
  fixture_t f;

  setup (&f, 0);
  put_write (&f, 7, 5, true);
  put_write (&f, 7, 2, false);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream),
                    VH_E_NO_UPSTREAM);
  put_write (&f, 7, 6, false);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  /* An older one ends an unregistration all the same.  */
  pool_unregister (f.pool, STR ("i-0"), 100);
  put_write (&f, 7, 2, false);
  clock_manual_advance_us (f.clock, 1000000);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  pool_unregister (f.pool, STR ("i-0"), 0);
  ck_assert (put_write (&f, 7, 6, false));
  pool_unregister (f.pool, STR ("i-0"), 0);
  ck_assert (!put_write (&f, 7, 8, false));
  pool_unregister (f.pool, STR ("i-0"), 0);
  ck_assert (!put_write (&f, 8, 1, false));
  teardown (&f);
}
END_TEST

/* Pauses of an instance: a shorter one does not end a longer one, and all
   instances in pauses are passed over, ejected or not.  */
START_TEST (pause_is_shortened_or_passed_over)
{
  upstream_t *upstream;
  fixture_t f;

  setup (&f, 1);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  ck_assert_uint_eq (pool_pause (f.pool, upstream, 3000), 3000);
  ck_assert_uint_eq (pool_pause (f.pool, upstream, 1000), 0);
  pool_probe_finished (f.pool, STR ("i-0"), false);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_E_PAUSED);
  ck_assert_uint_eq (pool_paused_count (f.pool), 1);
  ck_assert_uint_eq (pool_pause_left_ms (f.pool, &f.criteria), 3000);
  pool_unregister (f.pool, STR ("i-0"), 0);
  add_instance (&f, 0, "v1", "a", 0);
  ck_assert_uint_eq (pool_pause_left_ms (f.pool, &f.criteria), 3000);
  clock_manual_advance_us (f.clock, 2000000);
  upstream = pool_find (f.pool, STR ("i-0"));
  ck_assert_uint_eq (pool_pause (f.pool, upstream, 2500), 2500);
  clock_manual_advance_us (f.clock, 2499000);
  ck_assert (!pool_take_pause_end (f.pool, upstream));
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_E_PAUSED);
  clock_manual_advance_us (f.clock, 1000);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  ck_assert (pool_take_pause_end (f.pool, upstream));
  ck_assert (!pool_take_pause_end (f.pool, upstream));
  add_instance (&f, 1, "v1", "a", 0);
  ck_assert_uint_eq (pool_pause (f.pool, upstream, UINT64_MAX),
                     POOL_PAUSE_MAX_MS);
  ck_assert_uint_eq (pool_pause_left_ms (f.pool, &f.criteria), 0);
  ck_assert_int_eq (pool_select (f.pool, &f.criteria, &upstream), VH_OK);
  ck_assert (str_eq (upstream_id (upstream), STR ("i-1")));
  teardown (&f);
}
END_TEST

enum
{
  RECORDED_INSTANCES = 9,
  RECORDED_CHOICES = 20000,
  RECORDED_RUNNING = 60
};

/* Where time factors are reported in play_recorded_choices.  */
typedef enum
{
  FACTORS_NOWHERE,
  FACTORS_OF_ANOTHER_SERVICE,
  FACTORS_IGNORED, /* Everywhere, but the pool ignores them.  */
  FACTORS_OF_REMOVED_INSTANCES,
  FACTORS_INVALID,
  FACTORS_CASES
} recorded_factors_t;

static void
put_recorded_factors (fixture_t *f, recorded_factors_t factors)
{
  const pool_options_t options = { .zone = STR ("a"),
                                   .gateways = f->gateways,
                                   .cold_factor = 1.5,
                                   .cold_slack = 5,
                                   .ignores_time_factors = true };
  upstream_info_t info
      = { .id = STR ("other"),
          .service = factors == FACTORS_OF_ANOTHER_SERVICE ? STR ("other")
                                                           : STR ("llm"),
          .address = STR ("127.0.0.1:1"),
          .slots = 64 };

  if (factors == FACTORS_IGNORED)
    {
      pool_destroy (f->pool);
      f->pool = pool_create (f->clock, 1, &options);
    }
  if (factors == FACTORS_OF_ANOTHER_SERVICE
      || factors == FACTORS_OF_REMOVED_INSTANCES)
    {
      pool_put (f->pool, &info);
      ck_assert (pool_record_time_factor (f->pool,
                                          pool_find (f->pool, info.id), 250));
    }
  if (factors == FACTORS_OF_REMOVED_INSTANCES)
    pool_unregister (f->pool, info.id, 0);
}

static void
report_recorded_factor (fixture_t *f, upstream_t *upstream, int i,
                        recorded_factors_t factors)
{
  str_t id = upstream_id (upstream);

  if (factors == FACTORS_IGNORED)
    {
      ck_assert (pool_record_time_factor (f->pool, upstream,
                                          (uint32_t)(1 + i % 300)));
      ck_assert (!pool_hear_time_factor (f->pool, id, 0, 0.5, 0));
    }
  else if (factors == FACTORS_INVALID)
    {
      ck_assert (!pool_record_time_factor (f->pool, upstream, 0));
      ck_assert (!pool_record_time_factor (f->pool, upstream, 10001));
      ck_assert (!pool_record_time_factor (f->pool, upstream, UINT32_MAX));
      ck_assert (!pool_hear_time_factor (f->pool, id, 7, 0.5, 0));
      ck_assert (!pool_hear_time_factor (f->pool, id, 0, 0, 0));
      ck_assert (!pool_hear_time_factor (f->pool, id, 0, -1, 0));
      ck_assert (!pool_hear_time_factor (f->pool, id, 0, NAN, 0));
      ck_assert (!pool_hear_time_factor (f->pool, id, 0, INFINITY, 0));
    }
}

/* Return a hash of RECORDED_CHOICES choices among instances of two versions
   and three zones, with load reports, failures, prompts, pauses and rate
   limits.  Append the first choices to TEXT.  */
static uint64_t
play_recorded_choices (fixture_t *f, recorded_factors_t factors, buf_t *text)
{
  static const char *const zones[] = { "a", "b", "c" };
  static const char *const versions[] = { "v1", "v1", "v2" };
  upstream_t *running[RECORDED_RUNNING] = { NULL };
  uint32_t prompt_tokens[RECORDED_RUNNING] = { 0 };
  rng_t rng = rng_make (42);
  uint64_t hash = 0;

  setup (f, 0);
  put_recorded_factors (f, factors);
  for (int i = 0; i < RECORDED_INSTANCES; i++)
    add_instance (f, i, versions[i / 2 % 3], zones[i % 3], i == 3 ? 5000 : 0);
  for (int i = 0; i < RECORDED_CHOICES; i++)
    {
      size_t slot = rng_below (&rng, RECORDED_RUNNING);
      upstream_t *upstream = running[slot];
      if (upstream != NULL)
        {
          report_recorded_factor (f, upstream, i, factors);
          pool_request_finished (f->pool, upstream, prompt_tokens[slot],
                                 rng_below (&rng, 10) == 0 ? SEND_FAILED
                                                           : SEND_OK);
          if (rng_below (&rng, 2) == 0)
            {
              uint32_t waiting = (uint32_t)rng_below (&rng, 3);
              uint32_t running_now = (uint32_t)rng_below (&rng, 40);
              pool_record_load (f->pool, upstream, running_now, waiting, 64);
            }
          if (rng_below (&rng, 100) == 0)
            pool_pause (f->pool, upstream, 1 + rng_below (&rng, 500));
          if (rng_below (&rng, 500) == 0)
            pool_announce_rate_limit (f->pool, upstream, 20);
          else if (rng_below (&rng, 100) == 0)
            pool_end_rate_limit (f->pool, upstream);
          running[slot] = NULL;
        }
      const pool_criteria_t criteria
          = { .service = STR ("llm"),
              .cold_rate_per_s = rng_below (&rng, 2) == 0 ? 0 : 10,
              .arm = (version_arm_t)rng_below (&rng, 3),
              .version = STR ("v2"),
              .max_instances = rng_below (&rng, 3),
              .affinity_key = rng_below (&rng, 2) * rng_below (&rng, 50),
              .is_extra_send = rng_below (&rng, 8) == 0,
              .is_repeatable = true,
              .tried = (const upstream_t *const *)running,
              .tried_count = rng_below (&rng, 3) };
      vh_code_t code = pool_select (f->pool, &criteria, &upstream);
      uint64_t choice = upstream != NULL ? str_hash (upstream_id (upstream), 0)
                                         : (uint64_t)code;
      hash = rendezvous_weight (hash + 1, choice);
      if (i < 80)
        buf_append_char (
            text, upstream == NULL ? '-' : upstream_id (upstream).ptr[2]);
      if (upstream != NULL)
        {
          prompt_tokens[slot] = (uint32_t)rng_below (&rng, 8000);
          pool_request_started (f->pool, upstream, prompt_tokens[slot]);
          running[slot] = upstream;
        }
      clock_manual_advance_us (f->clock, (int64_t)rng_below (&rng, 30000));
    }
  return hash;
}

/* Where no factor is known, the time factors must change no choice, nor the
   random numbers drawn for it.  The choices were recorded with the code before
   time factors.  */
START_TEST (choices_without_time_factors_are_as_recorded)
{
  fixture_t f;
  buf_t text = BUF_NULL;

  uint64_t hash = play_recorded_choices (&f, (recorded_factors_t)_i, &text);
  ck_assert (str_eq (buf_str (&text), STR ("88835065884517562560833580648725"
                                           "55554330322842876388448806448075"
                                           "5405314351846080")));
  ck_assert_uint_eq (hash, 0x1afa95cebb1d7438);
  buf_free (&text);
  teardown (&f);
}
END_TEST

/* Cells of the instances i-FIRST to i-LAST.  */
static void
read_cells (const fixture_t *f, int first, int last, uint32_t *cells)
{
  for (int i = first; i <= last; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "i-%d", i);
      cells[i]
          = pool_instance_cell (pool_find (f->pool, str_from (id)), CELLS);
    }
}

/* Failure: sound instances share a cell with those that have a trouble, so
   that the trouble of some looks like one of all; or gateways that heard of
   the instances in another order add the answers of other ones.  */
START_TEST (instances_share_a_cell_beside_empty_ones)
{
  fixture_t forward;
  fixture_t backward;
  uint32_t cells[CELLS] = { 0 };
  uint32_t other_cells[CELLS] = { 0 };
  unsigned counts[2][CELLS] = { { 0 } };
  int changed = 0;

  setup (&forward, 0);
  setup (&backward, 0);
  for (int i = 0; i < CELL_INSTANCES; i++)
    {
      int other = CELL_INSTANCES - 1 - i;
      add_instance (&forward, i, i % 2 == 0 ? "v1" : "v2", "a", 0);
      add_instance (&backward, other, other % 2 == 0 ? "v1" : "v2", "a", 0);
    }
  read_cells (&forward, 0, CELL_INSTANCES - 1, cells);
  read_cells (&backward, 0, CELL_INSTANCES - 1, other_cells);
  for (int i = 0; i < CELL_INSTANCES; i++)
    {
      ck_assert_uint_eq (cells[i], other_cells[i]);
      ck_assert_uint_eq (++counts[i % 2][cells[i]], 1);
    }
  add_instance (&backward, CELL_INSTANCES, "v1", "a", 0);
  pool_unregister (backward.pool, STR ("i-0"), 0);
  read_cells (&backward, 1, CELL_INSTANCES, other_cells);
  for (int i = 1; i < CELL_INSTANCES; i++)
    changed += cells[i] != other_cells[i];
  ck_assert_int_le (changed, CELL_INSTANCES / 4);
  teardown (&forward);
  teardown (&backward);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pool");
  TCase *tcase = tcase_create ("pool");

  tcase_add_test (tcase, affinity_holds_until_instance_is_overloaded);
  tcase_add_test (tcase, cold_instance_is_limited_to_its_rate);
  tcase_add_test (tcase, restarted_gateways_overload_a_cold_instance);
  tcase_add_loop_test (tcase, cold_rate_holds_for_any_number_of_gateways, 0,
                       6);
  tcase_add_test (tcase, first_traffic_share_goes_to_few_instances);
  tcase_add_test (tcase, failing_instance_is_ejected);
  tcase_add_test (tcase, selection_obeys_version_zone_and_tried);
  tcase_add_test (tcase, removed_instance_completes_its_requests);
  tcase_add_test (tcase, instance_in_prefill_gets_no_short_requests);
  tcase_add_test (tcase, silent_engine_is_probed);
  tcase_add_test (tcase, withdrawn_version_gets_no_requests);
  tcase_add_test (tcase, full_instance_is_selected_again);
  tcase_add_test (tcase, older_registration_replaces_a_later_one);
  tcase_add_test (tcase, pause_is_shortened_or_passed_over);
  tcase_add_test (tcase, registration_forgets_that_an_instance_is_leaving);
  tcase_add_loop_test (tcase, choices_without_time_factors_are_as_recorded,
                       FACTORS_NOWHERE, FACTORS_CASES);
  tcase_add_test (tcase, instances_share_a_cell_beside_empty_ones);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
