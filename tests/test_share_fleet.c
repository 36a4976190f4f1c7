/* A large fleet of gateways that read the store through peer gateways, over
   real RPC and with a store in memory: which gateways call the store, and what
   happens when readers are lost, when the store refuses them, and in an
   outage.  */

#include "fake_rows.h"
#include "gateway/peerrows.h"
#include "gateway/tablesync.h"
#include "loop_wait.h"
#include "suite.h"

#include <signal.h>
#include <stdio.h>

enum
{
  GATEWAYS = 40,
  ZONES = 4,
  WAIT_LIMIT_MS = 8000,
  /* Age from which a confirmation no longer suffices to accept keys.  */
  TRUSTED_AGE_MS = 4500,
  /* Time for which a received sum is included in the sum of the receiver.  */
  SUM_TTL_MS = 3000
};

/* A store that can refuse the calls of one gateway.  */
typedef struct
{
  rows_t base;
  rows_t *store;
  rows_t *down_store; /* A store that is down.  */
  bool is_refusing;
} refusing_store_t;

typedef struct
{
  refusing_store_t refusing_store;
  peer_rows_t *peer_rows;
  table_sync_t *sync;
  char name[16];
  char value[16];  /* Value of row `a' at this gateway.  */
  uint32_t number; /* Number that this gateway adds to the sum.  */
  uint32_t received_sums[GATEWAYS]; /* Last sum from each gateway.  */
  uint64_t received_ms[GATEWAYS];   /* Time at which the sum was received.  */
  uint64_t fillers;                 /* Items received by another user.  */
  uv_loop_t *loop;
  /* The sync whose calls carry the piggybacked sums.  */
  table_sync_t *shared_sync;
} fleet_gateway_t;

typedef struct
{
  uv_loop_t loop;
  fake_rows_t *store;
  fake_rows_t *down_store;
  fleet_gateway_t gateways[GATEWAYS];
  loop_wait_t wait;
} fixture_t;

static rows_t *
target_store (const rows_t *rows)
{
  const refusing_store_t *refusing = (const refusing_store_t *)rows;

  return refusing->is_refusing ? refusing->down_store : refusing->store;
}

static void
refusing_read (rows_t *rows, rows_table_t table, str_t from,
               uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  rows_t *store = target_store (rows);

  store->ops->read (store, table, from, timeout_ms, cb, arg);
}

static void
refusing_watch (rows_t *rows, rows_table_t table, uint64_t after,
                uint64_t wait_ms, uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  rows_t *store = target_store (rows);

  store->ops->watch (store, table, after, wait_ms, timeout_ms, cb, arg);
}

static void
refusing_cancel (rows_t *rows, const void *arg)
{
  const refusing_store_t *refusing = (const refusing_store_t *)rows;

  refusing->store->ops->cancel (refusing->store, arg);
  refusing->down_store->ops->cancel (refusing->down_store, arg);
}

static void
on_put (void *arg, const rows_row_t *row)
{
  fleet_gateway_t *gateway = arg;

  snprintf (gateway->value, sizeof gateway->value, "%.*s",
            STR_ARG (row->value));
}

static void
ignore_put (void *arg, const rows_row_t *row)
{
  (void)arg;
  (void)row;
}

static void
on_removed (void *arg, str_t key)
{
  (void)arg;
  (void)key;
}

static void
on_synced (void *arg, bool is_full_read)
{
  (void)arg;
  (void)is_full_read;
}

/* Return the sum of the number of GATEWAY and of the sums that other gateways
   sent to GATEWAY within SUM_TTL_MS.  */
static uint32_t
sum_at (const fleet_gateway_t *gateway)
{
  uint32_t sum = gateway->number;

  for (size_t i = 0; i < GATEWAYS; i++)
    if (uv_now (gateway->loop) - gateway->received_ms[i] < SUM_TTL_MS)
      sum += gateway->received_sums[i];
  return sum;
}

static size_t
list_sums (void *arg, bool is_intermediate, peer_rows_item_t *items,
           size_t items_max)
{
  const fleet_gateway_t *gateway = arg;

  ck_assert_uint_ge (items_max, 1);
  buf_append_str (&items[0].key, str_from (gateway->name));
  buf_printf (&items[0].value, "%u",
              is_intermediate ? sum_at (gateway) : gateway->number);
  return 1;
}

static void
receive_sum (void *arg, str_t key, str_t value)
{
  fleet_gateway_t *gateway = arg;
  uint64_t index;
  uint64_t sum;
  str_t rest;

  str_cut (key, '-', &rest);
  ck_assert (str_to_u64 (rest, &index) && index < GATEWAYS);
  ck_assert (str_to_u64 (value, &sum));
  gateway->received_sums[index] = (uint32_t)sum;
  gateway->received_ms[index] = uv_now (gateway->loop);
}

/* Fill all the room for items, as a user with much to send would.  */
static size_t
list_fillers (void *arg, bool is_intermediate, peer_rows_item_t *items,
              size_t items_max)
{
  (void)arg;
  (void)is_intermediate;
  for (size_t i = 0; i < items_max; i++)
    buf_printf (&items[i].key, "filler/%zu", i);
  return items_max;
}

static void
receive_filler (void *arg, str_t key, str_t value)
{
  fleet_gateway_t *gateway = arg;

  ck_assert (str_starts_with (key, STR ("filler/")));
  ck_assert_uint_eq (value.len, 0);
  gateway->fillers++;
}

static void
fleet_gateway_start (fixture_t *f, int index)
{
  static const char *const zones[ZONES] = { "a", "b", "c", "d" };
  static const rows_ops_t ops
      = { refusing_read, refusing_watch, NULL, refusing_cancel, NULL };
  static const peer_rows_piggyback_t fillers
      = { list_fillers, receive_filler };
  static const peer_rows_piggyback_t sums = { list_sums, receive_sum };
  fleet_gateway_t *gateway = &f->gateways[index];

  gateway->refusing_store
      = (refusing_store_t){ .base.ops = &ops,
                            .store = fake_rows_iface (f->store),
                            .down_store = fake_rows_iface (f->down_store) };
  gateway->number = 1;
  gateway->loop = &f->loop;
  snprintf (gateway->name, sizeof gateway->name, "entry-%d", index);
  const peer_rows_options_t options
      = { .name = str_from (gateway->name),
          .zone = str_from (zones[index % ZONES]),
          .listen = STR ("127.0.0.1:0"),
          /* Makes the choice of readers predictable: gateway 0 is the
             root.  */
          .link_mbps = (uint32_t)(GATEWAYS - index) * 10 };
  ck_assert_int_eq (peer_rows_create (&f->loop, clock_system (),
                                      (uint64_t)index + 1,
                                      &gateway->refusing_store.base, &options,
                                      &gateway->peer_rows),
                    VH_OK);
  peer_rows_add_piggyback (gateway->peer_rows, STR ("filler/"), &fillers,
                           gateway);
  peer_rows_add_piggyback (gateway->peer_rows, STR ("entry-"), &sums, gateway);
}

static void
setup (fixture_t *f)
{
  static const char *const zones[ZONES] = { "a", "b", "c", "d" };

  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  loop_wait_init (&f->wait, &f->loop, WAIT_LIMIT_MS);
  f->store = fake_rows_create (&f->loop);
  f->down_store = fake_rows_create (&f->loop);
  fake_rows_set_down (f->down_store, true);
  fake_rows_put (f->store, ROWS_OPERATOR, "a", "one");
  for (int i = 0; i < GATEWAYS; i++)
    fleet_gateway_start (f, i);
  for (int i = 0; i < GATEWAYS; i++)
    for (int j = 0; j < GATEWAYS; j++)
      {
        char address[32];
        snprintf (address, sizeof address, "127.0.0.1:%u",
                  peer_rows_port (f->gateways[j].peer_rows));
        peer_rows_add_gateway (f->gateways[i].peer_rows,
                               str_from (f->gateways[j].name),
                               str_from (zones[j % ZONES]), str_from (address),
                               (uint32_t)(GATEWAYS - j) * 10);
      }
  for (int i = 0; i < GATEWAYS; i++)
    {
      static const table_sync_options_t orders = { .table = ROWS_OPERATOR,
                                                   .name = "orders",
                                                   .wait_ms = 1500,
                                                   .timeout_slack_ms = 500 };
      static const table_sync_options_t shared = { .table = ROWS_SHARED,
                                                   .name = "own",
                                                   .wait_ms = 8000,
                                                   .timeout_slack_ms = 1000 };
      static const table_sync_events_t events
          = { .put = on_put, .removed = on_removed, .synced = on_synced };
      static const table_sync_events_t shared_events
          = { .put = ignore_put, .removed = on_removed, .synced = on_synced };
      fleet_gateway_t *gateway = &f->gateways[i];
      rows_t *rows = peer_rows_iface (gateway->peer_rows);
      gateway->sync = table_sync_create (&f->loop, clock_system (), rows, 1,
                                         &orders, &events, gateway);
      gateway->shared_sync
          = table_sync_create (&f->loop, clock_system (), rows, 2, &shared,
                               &shared_events, gateway);
    }
  for (int i = 0; i < GATEWAYS; i++)
    LOOP_WAIT (&f->wait, strcmp (f->gateways[i].value, "one") == 0);
  loop_wait_for_ms (&f->wait, 500);
}

static void
fleet_gateway_stop (fleet_gateway_t *gateway)
{
  table_sync_destroy (gateway->sync);
  table_sync_destroy (gateway->shared_sync);
  peer_rows_destroy (gateway->peer_rows);
  gateway->sync = NULL;
  gateway->peer_rows = NULL;
}

static void
teardown (fixture_t *f)
{
  fake_rows_t *stores[] = { f->store, f->down_store };

  for (int i = 0; i < GATEWAYS; i++)
    if (f->gateways[i].peer_rows != NULL)
      fleet_gateway_stop (&f->gateways[i]);
  for (int i = 0; i < 2; i++)
    {
      rows_t *rows = fake_rows_iface (stores[i]);
      rows->ops->destroy (rows);
    }
  loop_wait_close (&f->wait);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

/* Write VALUE and wait until all running gateways have read it.  Return the
   time until then, in ms.  */
static uint64_t
propagate (fixture_t *f, const char *value)
{
  uint64_t start_ms = uv_now (&f->loop);

  fake_rows_put (f->store, ROWS_OPERATOR, "a", value);
  for (int i = 0; i < GATEWAYS; i++)
    LOOP_WAIT (&f->wait, f->gateways[i].peer_rows == NULL
                             || strcmp (f->gateways[i].value, value) == 0);
  return uv_now (&f->loop) - start_ms;
}

/* Run for MS and check that no gateway's confirmation gets too old.  */
static void
run_trusted (fixture_t *f, uint64_t ms)
{
  for (uint64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += 100)
    {
      loop_wait_for_ms (&f->wait, 100);
      for (int i = 0; i < GATEWAYS; i++)
        if (f->gateways[i].peer_rows != NULL)
          ck_assert_uint_lt (table_sync_age_ms (f->gateways[i].sync),
                             TRUSTED_AGE_MS);
    }
}

/* If the reader of each zone called the store, the number of calls would grow
   with the number of zones.  */
START_TEST (one_gateway_calls_the_store_for_a_large_fleet)
{
  fixture_t f;

  setup (&f);
  size_t calls_before = fake_rows_call_count (f.store);
  run_trusted (&f, 3000);
  ck_assert_uint_le (fake_rows_call_count (f.store) - calls_before, 6);
  ck_assert_uint_lt (propagate (&f, "two"), 500);
  teardown (&f);
}
END_TEST

/* The store is down.  Each gateway probed the store repeatedly, so the store
   got most calls while it was least able to handle them.  */
START_TEST (gateways_do_not_all_probe_a_store_that_is_down)
{
  enum
  {
    OUTAGE_S = 4
  };
  fixture_t f;

  setup (&f);
  fake_rows_set_down (f.store, true);
  size_t calls_before = fake_rows_call_count (f.store);
  loop_wait_for_ms (&f.wait, OUTAGE_S * 1000);
  ck_assert_uint_le (fake_rows_call_count (f.store) - calls_before,
                     OUTAGE_S * 30);
  fake_rows_set_down (f.store, false);
  ck_assert_uint_lt (propagate (&f, "two"), 1500);
  teardown (&f);
}
END_TEST

/* The gateway that reads the store for all others crashes.  */
START_TEST (crashed_root_is_replaced)
{
  fixture_t f;

  setup (&f);
  ck_assert (peer_rows_is_reader (f.gateways[0].peer_rows));
  fleet_gateway_stop (&f.gateways[0]);
  ck_assert_uint_lt (propagate (&f, "two"), 3000);
  run_trusted (&f, 3000);
  teardown (&f);
}
END_TEST

/* The readers of all zones crash together.  The confirmations of the gateways
   that they served must not get too old.  */
START_TEST (crashed_zone_readers_are_replaced)
{
  fixture_t f;

  setup (&f);
  for (int i = 0; i < ZONES; i++)
    fleet_gateway_stop (&f.gateways[i]);
  ck_assert_uint_lt (propagate (&f, "two"), 3000);
  run_trusted (&f, 3000);
  teardown (&f);
}
END_TEST

/* The store refuses the calls of the root and of the reader of one zone, and
   serves all other gateways.  */
START_TEST (readers_refused_by_the_store_are_bypassed)
{
  fixture_t f;

  setup (&f);
  f.gateways[0].refusing_store.is_refusing = true;
  f.gateways[1].refusing_store.is_refusing = true;
  ck_assert_uint_lt (propagate (&f, "two"), 4000);
  run_trusted (&f, 6000);
  f.gateways[0].refusing_store.is_refusing = false;
  f.gateways[1].refusing_store.is_refusing = false;
  loop_wait_for_ms (&f.wait, 4000);
  ck_assert_uint_lt (propagate (&f, "three"), 1000);
  teardown (&f);
}
END_TEST

/* Return the total of the sums at the gateways that call the store.  */
static uint32_t
sum_at_readers (const fixture_t *f)
{
  uint32_t sum = 0;

  for (int i = 0; i < GATEWAYS; i++)
    if (f->gateways[i].peer_rows != NULL
        && peer_rows_is_reader (f->gateways[i].peer_rows))
      sum += sum_at (&f->gateways[i]);
  return sum;
}

/* Piggybacked data must reach the root, aggregated by the readers on the way,
   and after a crash of the root the gateways that read the store then. Another
   user of the calls, which fills all the room that it gets, must neither keep
   the data back nor get it.  */
START_TEST (piggybacked_data_reaches_the_root)
{
  fixture_t f;

  setup (&f);
  LOOP_WAIT (&f.wait, sum_at (&f.gateways[0]) == GATEWAYS);
  LOOP_WAIT (&f.wait, f.gateways[0].fillers > 0);
  fleet_gateway_stop (&f.gateways[0]);
  propagate (&f, "two");
  LOOP_WAIT (&f.wait, sum_at_readers (&f) == GATEWAYS - 1);
  teardown (&f);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("share_fleet");
  TCase *tcase = tcase_create ("share_fleet");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, one_gateway_calls_the_store_for_a_large_fleet);
  tcase_add_test (tcase, gateways_do_not_all_probe_a_store_that_is_down);
  tcase_add_test (tcase, crashed_root_is_replaced);
  tcase_add_test (tcase, crashed_zone_readers_are_replaced);
  tcase_add_test (tcase, readers_refused_by_the_store_are_bypassed);
  tcase_add_test (tcase, piggybacked_data_reaches_the_root);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
