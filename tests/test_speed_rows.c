/* Several gateways that exchange the time factors of instances, over real
   sockets and in virtual time.  */

#include "base/mem.h"
#include "base/rng.h"
#include "fake_rows.h"
#include "gateway/speed_rows.h"
#include "gateway/tablesync.h"
#include "loop_wait.h"
#include "policy/speed_codec.h"
#include "suite.h"
#include "virtual_time.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  GATEWAYS_MAX = 300,
  ZONES = 4,
  WAIT_LIMIT_MS = 600000,
  TICK_MS = 250,
  /* Time from a report at one gateway to its factor at all others: a
     collection of own factors, a call to the reader, a write and a call for
     it, with a reader of the zone in between.  */
  SPREAD_MS = 5000
};

typedef struct fleet fleet_t;

/* A gateway's calls of the store, which can be cut off.  */
typedef struct
{
  rows_t base;
  fleet_t *fleet;
  bool is_cut;
} store_client_t;

typedef struct
{
  fleet_t *fleet;
  store_client_t store;
  bool is_running;
  char name[16];
  const char *zone;
  pool_t *pool;
  allotment_t *allotment;
  peer_rows_t *peer_rows;
  table_sync_t *sync;
  speed_rows_t *speed_rows;
  uv_timer_t timer;
  counter_t bytes_sent;
  counter_t rows_written;
  counter_t entries_applied;
  counter_t rows_unreadable;
  uint64_t row_bytes; /* Bytes of the rows that were read.  */
} test_gateway_t;

struct fleet
{
  uv_loop_t loop;
  loop_wait_t wait;
  fake_rows_t *store;
  fake_rows_t *down_store;
  test_gateway_t *gateways;
  size_t gateway_count;
  size_t instance_count;
  size_t commits; /* Calls of the store that write.  */
};

/* The store of a gateway.  */

static rows_t *
target_store (rows_t *rows)
{
  const store_client_t *client = (const store_client_t *)rows;

  return fake_rows_iface (client->is_cut ? client->fleet->down_store
                                         : client->fleet->store);
}

static void
client_read (rows_t *rows, rows_table_t table, str_t from, uint64_t timeout_ms,
             rows_cb_t cb, void *arg)
{
  rows_t *store = target_store (rows);

  store->ops->read (store, table, from, timeout_ms, cb, arg);
}

static void
client_watch (rows_t *rows, rows_table_t table, uint64_t after,
              uint64_t wait_ms, uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  rows_t *store = target_store (rows);

  store->ops->watch (store, table, after, wait_ms, timeout_ms, cb, arg);
}

static void
client_commit (rows_t *rows, const rows_write_t *writes, size_t count,
               uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  rows_t *store = target_store (rows);

  ((store_client_t *)rows)->fleet->commits++;
  store->ops->commit (store, writes, count, timeout_ms, cb, arg);
}

static void
client_cancel (rows_t *rows, const void *arg)
{
  const fleet_t *fleet = ((store_client_t *)rows)->fleet;
  rows_t *stores[] = { fake_rows_iface (fleet->store),
                       fake_rows_iface (fleet->down_store) };

  for (int i = 0; i < 2; i++)
    stores[i]->ops->cancel (stores[i], arg);
}

/* Events of a gateway, as in gateway/storesync.c.  */

static void
on_put (void *arg, const rows_row_t *row)
{
  test_gateway_t *gateway = arg;

  gateway->row_bytes += row->key.len + row->value.len;
  speed_rows_apply_row (gateway->speed_rows, row,
                        table_sync_store_now_ms (gateway->sync));
}

static void
on_removed (void *arg, str_t key)
{
  test_gateway_t *gateway = arg;

  (void)key;
  speed_rows_remove_row (gateway->speed_rows);
}

static void
on_synced (void *arg, bool is_full_read)
{
  test_gateway_t *gateway = arg;

  if (is_full_read)
    speed_rows_set_copy (gateway->speed_rows, false);
}

static void
on_era_changed (void *arg)
{
  test_gateway_t *gateway = arg;

  speed_rows_set_copy (gateway->speed_rows, true);
}

static void
on_tick (uv_timer_t *timer)
{
  const test_gateway_t *gateway = timer->data;

  speed_rows_tick (gateway->speed_rows,
                   table_sync_store_now_ms (gateway->sync),
                   !table_sync_is_down (gateway->sync));
}

/* The fleet.  */

static void
register_instance (test_gateway_t *gateway, size_t index, uint64_t incarnation)
{
  char id[32];

  snprintf (id, sizeof id, "instance-%zu", index);
  const upstream_info_t info = { .id = str_from (id),
                                 .service = STR ("llm"),
                                 .address = STR ("127.0.0.1:1"),
                                 .zone = STR ("a"),
                                 .version = STR ("v1"),
                                 .slots = 64,
                                 .incarnation = incarnation };
  pool_put (gateway->pool, &info);
  speed_rows_apply_registration (gateway->speed_rows, info.id);
}

static void
know_each_other (test_gateway_t *gateway, test_gateway_t *other)
{
  char address[32];

  allotment_put (gateway->allotment, str_from (other->name),
                 str_from (other->zone));
  snprintf (address, sizeof address, "127.0.0.1:%u",
            peer_rows_port (other->peer_rows));
  /* The first gateways have the fastest links, and so are the readers.  */
  size_t index = (size_t)(other - gateway->fleet->gateways);
  peer_rows_add_gateway (gateway->peer_rows, str_from (other->name),
                         str_from (other->zone), str_from (address),
                         (uint32_t)(GATEWAYS_MAX - index) * 10);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  ((test_gateway_t *)handle->data)->is_running = false;
}

/* Start gateway INDEX, which knows the instances.  */
static void
start_gateway (fleet_t *fleet, size_t index)
{
  static const char *const zones[ZONES] = { "a", "b", "c", "d" };
  static const rows_ops_t ops
      = { client_read, client_watch, client_commit, client_cancel, NULL };
  static const table_sync_options_t sync_options = { .table = ROWS_SHARED,
                                                     .name = "own",
                                                     .wait_ms = 8000,
                                                     .timeout_slack_ms = 1000,
                                                     .call_gap_ms = 150,
                                                     .retry_max_ms = 4000 };
  static const table_sync_events_t events = { .put = on_put,
                                              .removed = on_removed,
                                              .synced = on_synced,
                                              .era_changed = on_era_changed };
  test_gateway_t *gateway = &fleet->gateways[index];
  clock_iface_t *clock = clock_system ();

  memset (gateway, 0, sizeof *gateway);
  gateway->fleet = fleet;
  gateway->store = (store_client_t){ .base.ops = &ops, .fleet = fleet };
  gateway->zone = zones[index % ZONES];
  snprintf (gateway->name, sizeof gateway->name, "gateway-%zu", index);
  gateway->allotment = allotment_create (clock, str_from (gateway->name),
                                         str_from (gateway->zone));
  allotment_set_loaded (gateway->allotment);
  const pool_options_t pool_options
      = { .zone = STR ("a"), .gateways = gateway->allotment };
  gateway->pool = pool_create (clock, index + 1, &pool_options);
  const peer_rows_options_t options
      = { .name = str_from (gateway->name),
          .zone = str_from (gateway->zone),
          .listen = STR ("127.0.0.1:0"),
          .link_mbps = (uint32_t)(GATEWAYS_MAX - index) * 10 };
  ck_assert_int_eq (peer_rows_create (&fleet->loop, clock, index + 1,
                                      &gateway->store.base, &options,
                                      &gateway->peer_rows),
                    VH_OK);
  const speed_rows_options_t speed_options
      = { .clock = clock,
          .pool = gateway->pool,
          .gateways = gateway->allotment,
          .rows = peer_rows_iface (gateway->peer_rows),
          .peer_rows = gateway->peer_rows,
          .seed = index,
          .bytes_sent = &gateway->bytes_sent,
          .rows_written = &gateway->rows_written,
          .entries_applied = &gateway->entries_applied,
          .rows_unreadable = &gateway->rows_unreadable };
  gateway->speed_rows = speed_rows_create (&speed_options);
  for (size_t i = 0; i < fleet->instance_count; i++)
    register_instance (gateway, i, 1);
  gateway->is_running = true;
  for (size_t i = 0; i < GATEWAYS_MAX; i++)
    if (i != index && fleet->gateways[i].is_running)
      {
        know_each_other (gateway, &fleet->gateways[i]);
        know_each_other (&fleet->gateways[i], gateway);
      }
  gateway->sync = table_sync_create (
      &fleet->loop, clock, peer_rows_iface (gateway->peer_rows), index + 1,
      &sync_options, &events, gateway);
  uv_timer_init (&fleet->loop, &gateway->timer);
  gateway->timer.data = gateway;
  uv_timer_start (&gateway->timer, on_tick, index % TICK_MS + 1, TICK_MS);
}

/* End gateway INDEX.  The others learn it from its registration.  */
static void
stop_gateway (fleet_t *fleet, size_t index)
{
  test_gateway_t *gateway = &fleet->gateways[index];

  uv_close ((uv_handle_t *)&gateway->timer, on_timer_closed);
  LOOP_WAIT (&fleet->wait, !gateway->is_running);
  for (size_t i = 0; i < GATEWAYS_MAX; i++)
    if (fleet->gateways[i].is_running)
      {
        peer_rows_remove_gateway (fleet->gateways[i].peer_rows,
                                  str_from (gateway->name));
        allotment_remove (fleet->gateways[i].allotment,
                          str_from (gateway->name));
      }
  table_sync_destroy (gateway->sync);
  speed_rows_destroy (gateway->speed_rows);
  peer_rows_destroy (gateway->peer_rows);
  pool_destroy (gateway->pool);
  allotment_destroy (gateway->allotment);
}

static void
fleet_setup (fleet_t *fleet, size_t gateways, size_t instances)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->gateways = mem_zalloc (GATEWAYS_MAX * sizeof *fleet->gateways);
  uv_loop_init (&fleet->loop);
  loop_wait_init (&fleet->wait, &fleet->loop, WAIT_LIMIT_MS);
  fleet->store = fake_rows_create (&fleet->loop);
  fleet->down_store = fake_rows_create (&fleet->loop);
  fake_rows_set_down (fleet->down_store, true);
  fleet->instance_count = instances;
  fleet->gateway_count = gateways;
  for (size_t i = 0; i < gateways; i++)
    start_gateway (fleet, i);
  /* A gateway that started before its reader watches the store, and sends
     nothing to the reader until that call ends.  */
  loop_wait_for_ms (&fleet->wait, 10000);
}

static void
fleet_teardown (fleet_t *fleet)
{
  rows_t *stores[] = { fake_rows_iface (fleet->store),
                       fake_rows_iface (fleet->down_store) };

  for (size_t i = 0; i < GATEWAYS_MAX; i++)
    if (fleet->gateways[i].is_running)
      stop_gateway (fleet, i);
  for (int i = 0; i < 2; i++)
    stores[i]->ops->destroy (stores[i]);
  loop_wait_close (&fleet->wait);
  uv_run (&fleet->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&fleet->loop), 0);
  free (fleet->gateways);
}

static void
run_for (fleet_t *fleet, uint64_t ms)
{
  loop_wait_for_ms (&fleet->wait, ms);
}

static upstream_t *
find_instance (const fleet_t *fleet, size_t gateway, size_t instance)
{
  char id[32];

  snprintf (id, sizeof id, "instance-%zu", instance);
  return pool_find (fleet->gateways[gateway].pool, str_from (id));
}

/* Let GATEWAY get a report of INSTANCE.  */
static void
report (const fleet_t *fleet, size_t gateway, size_t instance,
        uint32_t percent)
{
  ck_assert (pool_record_time_factor (fleet->gateways[gateway].pool,
                                      find_instance (fleet, gateway, instance),
                                      percent));
}

/* Let GATEWAY get reports of INSTANCE for MS.  */
static void
report_for (fleet_t *fleet, size_t gateway, size_t instance, uint32_t percent,
            uint64_t ms)
{
  for (uint64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += TICK_MS)
    {
      report (fleet, gateway, instance, percent);
      run_for (fleet, TICK_MS);
    }
}

/* Return the time factor of INSTANCE that GATEWAY knows.  If it knows that of
   no instance, that is 1.  */
static double
factor_at (const fleet_t *fleet, size_t gateway, size_t instance)
{
  pool_t *pool = fleet->gateways[gateway].pool;
  const pool_criteria_t criteria = { .service = STR ("llm") };
  upstream_t *selected;

  /* The mean of the known factors, which unknown instances have, is updated by
     selections.  */
  pool_select (pool, &criteria, &selected);
  return upstream_time_factor (pool, find_instance (fleet, gateway, instance));
}

/* Return whether all gateways know about FACTOR of INSTANCE.  */
static bool
all_know (const fleet_t *fleet, size_t instance, double factor)
{
  for (size_t i = 0; i < fleet->gateway_count; i++)
    if (fabs (log (factor_at (fleet, i, instance) / factor)) > log (1.25))
      return false;
  return true;
}

static uint64_t
sum_bytes_sent (const fleet_t *fleet)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < fleet->gateway_count; i++)
    sum += fleet->gateways[i].bytes_sent.value;
  return sum;
}

/* Where instances report no factor, the exchange must cost nothing: each call
   of the store is charged.  */
START_TEST (nothing_is_sent_or_written_without_factors)
{
  fleet_t fleet;

  fleet_setup (&fleet, 8, 20);
  run_for (&fleet, 60000);
  ck_assert_uint_eq (fleet.commits, 0);
  ck_assert_uint_eq (sum_bytes_sent (&fleet), 0);
  ck_assert_ptr_null (
      fake_rows_get_bytes (fleet.store, ROWS_SHARED, SPEED_ROWS_KEY).ptr);
  for (size_t i = 0; i < fleet.gateway_count; i++)
    ck_assert_double_eq (factor_at (&fleet, i, 0), 1);
  fleet_teardown (&fleet);
}
END_TEST

/* A factor that one gateway finds reaches all others, in a small fleet by the
   root and in a large one by the readers of the zones, also that of a reader.
   Gateways without requests for an instance would not know it.  */
START_TEST (factor_reaches_all_gateways)
{
  static const size_t sizes[] = { 1, 8, 40 };
  size_t gateways = sizes[_i];
  fleet_t fleet;

  fleet_setup (&fleet, gateways, 5);
  report_for (&fleet, gateways - 1, 0, 300, 1000);
  report_for (&fleet, 0, 1, 55, 1000);
  report_for (&fleet, gateways > 1, 2, 200, 1000);
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 3));
  ck_assert (all_know (&fleet, 1, 0.55));
  ck_assert (all_know (&fleet, 2, 2));
  fleet_teardown (&fleet);
}
END_TEST

/* A gateway that starts would send to the slow instances as to the others
   until it has reports of its own.  */
START_TEST (started_gateway_knows_the_factors_at_once)
{
  fleet_t fleet;

  fleet_setup (&fleet, 4, 5);
  report_for (&fleet, 2, 0, 300, 1000);
  run_for (&fleet, 60000);
  fleet.gateway_count = 5;
  start_gateway (&fleet, 4);
  run_for (&fleet, 1000);
  ck_assert (all_know (&fleet, 0, 3));
  ck_assert_uint_ge (fleet.gateways[4].entries_applied.value, 1);
  /* So does one whose instances are read after the row.  */
  fleet.instance_count = 0;
  start_gateway (&fleet, 5);
  run_for (&fleet, 1000);
  register_instance (&fleet.gateways[5], 0, 1);
  ck_assert (fabs (factor_at (&fleet, 5, 0) - 3) < 0.1);
  fleet_teardown (&fleet);
}
END_TEST

/* An instance that recovers, or becomes slow, is soon known to do so by all
   gateways, though only some have requests for it.  */
START_TEST (changed_factor_replaces_the_old_one)
{
  fleet_t fleet;

  fleet_setup (&fleet, 8, 5);
  report_for (&fleet, 3, 0, 300, 2000);
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 3));
  run_for (&fleet, 60000);
  for (int i = 0; i < 40; i++)
    {
      report (&fleet, 3, 0, 120);
      report (&fleet, 5, 0, 120);
      run_for (&fleet, TICK_MS);
    }
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 1.2));
  fleet_teardown (&fleet);
}
END_TEST

/* A gateway that reaches neither the store nor the others keeps what it knows
   and learns from its own reports; afterwards it has the factors of all.  */
START_TEST (gateway_that_is_cut_off_keeps_its_factors)
{
  fleet_t fleet;
  test_gateway_t *cut;

  fleet_setup (&fleet, 4, 5);
  cut = &fleet.gateways[3];
  report_for (&fleet, 1, 0, 300, 1000);
  run_for (&fleet, SPREAD_MS);
  cut->store.is_cut = true;
  for (size_t i = 0; i < 3; i++)
    {
      peer_rows_remove_gateway (cut->peer_rows,
                                str_from (fleet.gateways[i].name));
      peer_rows_remove_gateway (fleet.gateways[i].peer_rows,
                                str_from (cut->name));
    }
  run_for (&fleet, SPREAD_MS);
  size_t commits = fleet.commits;
  report_for (&fleet, 3, 1, 55, 4000);
  run_for (&fleet, 60000);
  ck_assert_double_eq_tol (factor_at (&fleet, 3, 0), 3, 0.1);
  ck_assert_double_eq_tol (factor_at (&fleet, 3, 1), 0.55, 0.05);
  ck_assert_uint_eq (fleet.commits, commits);
  cut->store.is_cut = false;
  for (size_t i = 0; i < 3; i++)
    {
      know_each_other (cut, &fleet.gateways[i]);
      know_each_other (&fleet.gateways[i], cut);
    }
  report_for (&fleet, 2, 2, 200, 1000);
  report_for (&fleet, 3, 1, 55, 1000);
  run_for (&fleet, 2 * SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 3));
  ck_assert (all_know (&fleet, 1, 0.55));
  ck_assert (all_know (&fleet, 2, 2));
  fleet_teardown (&fleet);
}
END_TEST

/* Nothing is written while the store does not answer, and what was found then
   is written afterwards.  */
START_TEST (factors_survive_an_outage_of_the_store)
{
  fleet_t fleet;

  fleet_setup (&fleet, 4, 5);
  report_for (&fleet, 1, 0, 300, 1000);
  run_for (&fleet, SPREAD_MS);
  fake_rows_set_down (fleet.store, true);
  run_for (&fleet, SPREAD_MS);
  size_t commits = fleet.commits;
  report_for (&fleet, 1, 1, 55, 30000);
  ck_assert_uint_eq (fleet.commits, commits);
  ck_assert (all_know (&fleet, 0, 3));
  fake_rows_set_down (fleet.store, false);
  report_for (&fleet, 1, 1, 55, 2 * SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 3));
  ck_assert (all_know (&fleet, 1, 0.55));
  fleet_teardown (&fleet);
}
END_TEST

/* The process that registers under the id of a slow one may be fast, and would
   get no requests by which that shows.  */
START_TEST (new_process_does_not_inherit)
{
  fleet_t fleet;

  fleet_setup (&fleet, 4, 1);
  report_for (&fleet, 1, 0, 300, 1000);
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 3));
  for (size_t i = 0; i < 4; i++)
    register_instance (&fleet.gateways[i], 0, 2);
  run_for (&fleet, 10000);
  for (size_t i = 0; i < 4; i++)
    ck_assert_double_eq (factor_at (&fleet, i, 0), 1);
  /* The row of a process that is gone is not kept forever.  */
  run_for (&fleet, 60000);
  ck_assert_ptr_null (
      fake_rows_get_bytes (fleet.store, ROWS_SHARED, SPEED_ROWS_KEY).ptr);
  fleet_teardown (&fleet);
}
END_TEST

/* A row that is not one of time factors is counted and ignored, and replaced
   when there are factors to write.  */
START_TEST (unreadable_row_is_ignored)
{
  fleet_t fleet;

  fleet_setup (&fleet, 4, 5);
  report_for (&fleet, 1, 0, 300, 1000);
  run_for (&fleet, SPREAD_MS);
  fake_rows_put (fleet.store, ROWS_SHARED, SPEED_ROWS_KEY, "0 1 2 3 4 5 6 7");
  run_for (&fleet, 1000);
  for (size_t i = 0; i < 4; i++)
    ck_assert_uint_ge (fleet.gateways[i].rows_unreadable.value, 1);
  ck_assert (all_know (&fleet, 0, 3));
  report_for (&fleet, 2, 1, 55, 1000);
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 3));
  ck_assert (all_know (&fleet, 1, 0.55));
  fleet_teardown (&fleet);
}
END_TEST

/* The store comes back from an older copy.  The factors found since stay and
   are written again.  */
START_TEST (older_copy_does_not_replace_factors)
{
  fleet_t fleet;

  fleet_setup (&fleet, 4, 5);
  report_for (&fleet, 1, 0, 300, 1000);
  run_for (&fleet, SPREAD_MS);
  fake_rows_take_copy (fleet.store);
  report_for (&fleet, 1, 0, 55, 20000);
  report_for (&fleet, 1, 1, 200, 1000);
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 0.55));
  fake_rows_return_to_copy (fleet.store);
  fake_rows_set_era (fleet.store, 1);
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 0.55));
  ck_assert (all_know (&fleet, 1, 2));
  fleet.gateway_count = 5;
  start_gateway (&fleet, 4);
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 0.55));
  ck_assert (all_know (&fleet, 1, 2));
  fleet_teardown (&fleet);
}
END_TEST

/* The gateway that writes the row ends.  The next one goes on from the row,
   without dropping what it was not sent itself.  */
START_TEST (next_writer_goes_on_from_the_row)
{
  fleet_t fleet;

  fleet_setup (&fleet, 4, 5);
  report_for (&fleet, 2, 0, 300, 1000);
  run_for (&fleet, SPREAD_MS);
  stop_gateway (&fleet, 0);
  run_for (&fleet, SPREAD_MS);
  report_for (&fleet, 3, 1, 55, 1000);
  run_for (&fleet, SPREAD_MS);
  start_gateway (&fleet, 0);
  run_for (&fleet, SPREAD_MS);
  ck_assert (all_know (&fleet, 0, 3));
  ck_assert (all_know (&fleet, 1, 0.55));
  fleet_teardown (&fleet);
}
END_TEST

/* With more instances than a row has room for, the bytes stay bounded, the row
   has the instances that differ most from the usual, and it is not written
   again and again.  */
START_TEST (row_is_bounded)
{
  enum
  {
    INSTANCES = 700
  };
  speed_codec_list_t *row = mem_zalloc (sizeof *row);
  fleet_t fleet;

  fleet_setup (&fleet, 3, INSTANCES);
  for (int round = 0; round < 240; round++)
    {
      for (size_t i = 0; i < INSTANCES; i++)
        report (&fleet, round % 3, i, i % 10 == 0 ? 300 : 100 + i % 7);
      run_for (&fleet, TICK_MS);
    }
  size_t commits = fleet.commits;
  uint64_t bytes = sum_bytes_sent (&fleet);
  for (int round = 0; round < 240; round++)
    {
      for (size_t i = 0; i < INSTANCES; i++)
        report (&fleet, round % 3, i, i % 10 == 0 ? 300 : 100 + i % 7);
      run_for (&fleet, TICK_MS);
    }
  ck_assert_uint_le (fleet.commits - commits, 3);
  ck_assert_uint_le (sum_bytes_sent (&fleet) - bytes, 2000);
  str_t text = fake_rows_get_bytes (fleet.store, ROWS_SHARED, SPEED_ROWS_KEY);
  ck_assert_uint_eq (text.len, 5643);
  ck_assert_int_eq (speed_codec_decode (text, row), VH_OK);
  ck_assert_uint_eq (row->count, SPEED_CODEC_ENTRIES_MAX);
  for (size_t i = 0; i < INSTANCES; i += 10)
    {
      char id[32];
      snprintf (id, sizeof id, "instance-%zu", i);
      ck_assert_ptr_nonnull (
          speed_codec_find (row, speed_codec_process (str_from (id), 1)));
      ck_assert (all_know (&fleet, i, 3));
    }
  free (row);
  fleet_teardown (&fleet);
}
END_TEST

/* Run FLEET for MS.  Each instance needs 0.55 or 1.2 times the usual time, and
   2.5 times as long in 15 of 100 spans of 400 ms.  Each gateway gets
   REPORTS_PER_S reports, of instances at random.  */
static void
run_noisy (fleet_t *fleet, rng_t *rng, double reports_per_s, uint64_t ms)
{
  uint64_t end_ms = uv_now (&fleet->loop) + ms;
  double due = 0;

  while (uv_now (&fleet->loop) < end_ms)
    {
      due += reports_per_s * (double)fleet->gateway_count * TICK_MS / 1000;
      for (; due >= 1; due--)
        {
          size_t instance = rng_below (rng, fleet->instance_count);
          uint64_t span = uv_now (&fleet->loop) / 400;
          bool is_slow
              = str_hash (STR ("span"), span * 1000 + instance) % 100 < 15;
          double percent = instance % 4 == 0 ? 55 : 120;
          report (fleet, rng_below (rng, fleet->gateway_count), instance,
                  (uint32_t)(is_slow ? percent * 2.5 : percent));
        }
      run_for (fleet, TICK_MS);
    }
}

/* Return the mean error of the known factors, as a logarithm.  */
static double
mean_error (const fleet_t *fleet)
{
  double sum = 0;

  for (size_t i = 0; i < fleet->gateway_count; i++)
    for (size_t j = 0; j < fleet->instance_count; j++)
      {
        double mean_slowdown = 0.85 + 0.15 * 2.5;
        double factor = (j % 4 == 0 ? 0.55 : 1.2) * mean_slowdown;
        sum += fabs (log (factor_at (fleet, i, j) / factor));
      }
  return sum / (double)(fleet->gateway_count * fleet->instance_count);
}

/* Each call of the store is charged, and the bytes of a node are limited.
   Means that always differ a little would be sent and written all the time.
   The figures of docs/CAPACITY.md are those of this test.  */
START_TEST (exchange_costs_little_on_shared_machines)
{
  static const struct
  {
    size_t gateways;
    size_t instances;
    double reports_per_s;
    uint64_t sent_max; /* Bytes a second of all gateways.  */
  } cases[]
      = { { 24, 45, 1.5, 2500 }, { 28, 50, 20, 3500 }, { 300, 100, 1, 8000 } };
  fleet_t fleet;
  rng_t rng = rng_make (5);

  fleet_setup (&fleet, cases[_i].gateways, cases[_i].instances);
  run_noisy (&fleet, &rng, cases[_i].reports_per_s, 20000);
  size_t commits = fleet.commits;
  uint64_t sent = sum_bytes_sent (&fleet);
  uint64_t row_bytes = fleet.gateways[5].row_bytes;
  run_noisy (&fleet, &rng, cases[_i].reports_per_s, 60000);
  commits = fleet.commits - commits;
  sent = (sum_bytes_sent (&fleet) - sent) / 60;
  row_bytes = (fleet.gateways[5].row_bytes - row_bytes) / 60;
  double error = mean_error (&fleet);
  ck_assert_msg (commits <= 12 && sent <= cases[_i].sent_max
                     && row_bytes <= 200 && error <= 0.2,
                 "%zu writes a minute, %llu bytes/s sent by all, %llu read by "
                 "each, error %.3f",
                 commits, (unsigned long long)sent,
                 (unsigned long long)row_bytes, error);
  fleet_teardown (&fleet);
}
END_TEST

/* Once all gateways agree on factors that do not change, nothing is sent or
   written.  */
START_TEST (constant_factors_cost_nothing)
{
  enum
  {
    INSTANCES = 20
  };
  fleet_t fleet;
  size_t commits = 0;
  uint64_t sent = 0;

  fleet_setup (&fleet, 8, INSTANCES);
  for (int round = 0; round < 480; round++)
    {
      if (round == 80)
        {
          commits = fleet.commits;
          sent = sum_bytes_sent (&fleet);
          ck_assert_uint_gt (commits, 0);
        }
      for (size_t i = 0; i < INSTANCES; i++)
        report (&fleet, (i + (size_t)round) % 8, i, i % 4 == 0 ? 55 : 120);
      run_for (&fleet, TICK_MS);
    }
  ck_assert_uint_eq (fleet.commits, commits);
  ck_assert_uint_eq (sum_bytes_sent (&fleet), sent);
  fleet_teardown (&fleet);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("speed_rows");
  TCase *tcase = tcase_create ("speed_rows");

  tcase_add_checked_fixture (tcase, virtual_time_setup, virtual_time_teardown);
  tcase_set_timeout (tcase, 120);
  tcase_add_test (tcase, nothing_is_sent_or_written_without_factors);
  tcase_add_loop_test (tcase, factor_reaches_all_gateways, 0, 3);
  tcase_add_test (tcase, started_gateway_knows_the_factors_at_once);
  tcase_add_test (tcase, changed_factor_replaces_the_old_one);
  tcase_add_test (tcase, gateway_that_is_cut_off_keeps_its_factors);
  tcase_add_test (tcase, factors_survive_an_outage_of_the_store);
  tcase_add_test (tcase, new_process_does_not_inherit);
  tcase_add_test (tcase, unreadable_row_is_ignored);
  tcase_add_test (tcase, older_copy_does_not_replace_factors);
  tcase_add_test (tcase, next_writer_goes_on_from_the_row);
  tcase_add_test (tcase, row_is_bounded);
  tcase_add_loop_test (tcase, exchange_costs_little_on_shared_machines, 0, 3);
  tcase_add_test (tcase, constant_factors_cost_nothing);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
