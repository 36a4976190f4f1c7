/* Gateways that read the store through peer gateways, over real RPC and with a
   store in memory: which gateway calls the store, how the reader is replaced
   when it fails, and the age of the rows at each gateway.  */

#include "fake_rows.h"
#include "gateway/peerrows.h"
#include "gateway/tablesync.h"
#include "loop_wait.h"
#include "narrow_link.h"
#include "suite.h"

#include <signal.h>
#include <stdio.h>

enum
{
  GATEWAYS = 3,
  WAIT_LIMIT_MS = 8000
};

typedef struct
{
  peer_rows_t *peer_rows;
  table_sync_t *sync;
  char value[64]; /* Value of row `a' at this gateway, truncated.  */
  size_t value_len;
  size_t puts;
  bool is_removed;
} fleet_gateway_t;

typedef struct
{
  const char *zones[GATEWAYS];
  uint32_t link_mbps[GATEWAYS]; /* Bandwidth in Mbit/s; 0: unknown.  */
  uv_loop_t loop;
  fake_rows_t *store;
  fleet_gateway_t gateways[GATEWAYS];
  /* Bandwidth of a simulated link to each gateway; 0: no simulation.  */
  size_t link_bytes_per_s;
  narrow_link_t *narrow_links[GATEWAYS];
  loop_wait_t wait;
} fixture_t;

static void
on_put (void *arg, const rows_row_t *row)
{
  fleet_gateway_t *gateway = arg;

  gateway->puts++;
  gateway->value_len = row->value.len;
  snprintf (gateway->value, sizeof gateway->value, "%.*s",
            STR_ARG (row->value));
}

static void
on_removed (void *arg, str_t key)
{
  (void)key;
  ((fleet_gateway_t *)arg)->is_removed = true;
}

static void
on_synced (void *arg, bool is_full_read)
{
  (void)arg;
  (void)is_full_read;
}

#define WAIT_FOR(f, cond) LOOP_WAIT (&(f)->wait, cond)

static void
run_for (fixture_t *f, uint64_t ms)
{
  loop_wait_for_ms (&f->wait, ms);
}

static void
fleet_gateway_start (fixture_t *f, int index)
{
  static const table_sync_options_t sync_options = { .table = ROWS_OPERATOR,
                                                     .name = "orders",
                                                     .wait_ms = 1500,
                                                     .timeout_slack_ms = 500 };
  static const table_sync_events_t events
      = { .put = on_put, .removed = on_removed, .synced = on_synced };
  fleet_gateway_t *gateway = &f->gateways[index];
  char name[16];

  snprintf (name, sizeof name, "entry-%d", index);
  const peer_rows_options_t options = { .name = str_from (name),
                                        .zone = str_from (f->zones[index]),
                                        .listen = STR ("127.0.0.1:0"),
                                        .link_mbps = f->link_mbps[index] };
  ck_assert_int_eq (peer_rows_create (&f->loop, clock_system (),
                                      (uint64_t)index + 1,
                                      fake_rows_iface (f->store), &options,
                                      &gateway->peer_rows),
                    VH_OK);
  gateway->sync = table_sync_create (&f->loop, clock_system (),
                                     peer_rows_iface (gateway->peer_rows), 1,
                                     &sync_options, &events, gateway);
}

static void
connect_all (fixture_t *f)
{
  char name[16];
  char address[32];
  uint16_t ports[GATEWAYS];

  for (int i = 0; i < GATEWAYS; i++)
    {
      ports[i] = peer_rows_port (f->gateways[i].peer_rows);
      if (f->link_bytes_per_s == 0)
        continue;
      f->narrow_links[i]
          = narrow_link_create (&f->loop, ports[i], f->link_bytes_per_s);
      ports[i] = narrow_link_port (f->narrow_links[i]);
    }
  for (int i = 0; i < GATEWAYS; i++)
    for (int j = 0; j < GATEWAYS; j++)
      {
        snprintf (name, sizeof name, "entry-%d", j);
        snprintf (address, sizeof address, "127.0.0.1:%u", ports[j]);
        peer_rows_add_gateway (f->gateways[i].peer_rows, str_from (name),
                               str_from (f->zones[j]), str_from (address),
                               f->link_mbps[j]);
      }
}

/* Start all gateways of F, whose zones and link_mbps are set.  */
static void
start_all (fixture_t *f)
{
  uv_loop_init (&f->loop);
  loop_wait_init (&f->wait, &f->loop, WAIT_LIMIT_MS);
  f->store = fake_rows_create (&f->loop);
  fake_rows_put (f->store, ROWS_OPERATOR, "a", "one");
  for (int i = 0; i < GATEWAYS; i++)
    fleet_gateway_start (f, i);
  connect_all (f);
  for (int i = 0; i < GATEWAYS; i++)
    WAIT_FOR (f, strcmp (f->gateways[i].value, "one") == 0);
}

/* Start one gateway in each of ZONES.  */
static void
setup_zones (fixture_t *f, const char *const *zones)
{
  memset (f, 0, sizeof *f);
  memcpy (f->zones, zones, sizeof f->zones);
  start_all (f);
}

static void
setup (fixture_t *f)
{
  static const char *const zones[GATEWAYS] = { "zone-a", "zone-a", "zone-a" };

  setup_zones (f, zones);
}

static void
fleet_gateway_stop (fleet_gateway_t *gateway)
{
  table_sync_destroy (gateway->sync);
  peer_rows_destroy (gateway->peer_rows);
  gateway->sync = NULL;
  gateway->peer_rows = NULL;
}

static void
teardown (fixture_t *f)
{
  for (int i = 0; i < GATEWAYS; i++)
    {
      if (f->gateways[i].peer_rows != NULL)
        fleet_gateway_stop (&f->gateways[i]);
      if (f->narrow_links[i] != NULL)
        narrow_link_destroy (f->narrow_links[i]);
    }
  rows_t *rows = fake_rows_iface (f->store);
  rows->ops->destroy (rows);
  loop_wait_close (&f->wait);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

static int
count_readers (const fixture_t *f)
{
  int count = 0;

  for (int i = 0; i < GATEWAYS; i++)
    count += f->gateways[i].peer_rows != NULL
             && peer_rows_is_reader (f->gateways[i].peer_rows);
  return count;
}

/* Wait until exactly one gateway is a reader; return its index.  */
static int
wait_for_reader (fixture_t *f)
{
  WAIT_FOR (f, count_readers (f) == 1);
  for (int i = 0; i < GATEWAYS; i++)
    if (f->gateways[i].peer_rows != NULL
        && peer_rows_is_reader (f->gateways[i].peer_rows))
      return i;
  return -1;
}

/* Without shared reads each gateway calls the store.  With shared reads one
   gateway must call the store, and a change must still reach each gateway at
   once.  */
START_TEST (one_gateway_calls_the_store_for_all)
{
  fixture_t f;

  setup (&f);
  wait_for_reader (&f);
  run_for (&f, 2000);
  size_t calls_before = fake_rows_call_count (f.store);
  run_for (&f, 3000);
  ck_assert_uint_le (fake_rows_call_count (f.store) - calls_before, 5);
  fake_rows_put (f.store, ROWS_OPERATOR, "a", "two");
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < GATEWAYS; i++)
    WAIT_FOR (&f, strcmp (f.gateways[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 500);
  fake_rows_remove (f.store, ROWS_OPERATOR, "a");
  for (int i = 0; i < GATEWAYS; i++)
    WAIT_FOR (&f, f.gateways[i].is_removed);
  teardown (&f);
}
END_TEST

/* The only reader of a small fleet in three zones crashes.  Each zone must
   then read the store itself, without waiting for a reader in another zone
   that may be unreachable too.  */
START_TEST (few_gateways_use_one_reader_across_zones)
{
  static const char *const zones[GATEWAYS] = { "zone-a", "zone-b", "zone-c" };
  fixture_t f;

  setup_zones (&f, zones);
  int crashed = wait_for_reader (&f);
  run_for (&f, 2000);
  size_t calls_before = fake_rows_call_count (f.store);
  run_for (&f, 3000);
  ck_assert_uint_le (fake_rows_call_count (f.store) - calls_before, 5);
  fleet_gateway_stop (&f.gateways[crashed]);
  WAIT_FOR (&f, count_readers (&f) == GATEWAYS - 1);
  fake_rows_put (f.store, ROWS_OPERATOR, "a", "two");
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < GATEWAYS; i++)
    if (i != crashed)
      WAIT_FOR (&f, strcmp (f.gateways[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 500);
  teardown (&f);
}
END_TEST

/* The reader sends a large configuration to each gateway, which delays its own
   streams on its link.  So the gateway with the widest link must be the
   reader, whatever the hash of its name, and each gateway must get the whole
   text.  */
START_TEST (gateway_with_the_widest_link_is_reader)
{
  enum
  {
    BYTES = 400000
  };
  static const char route[] = "{\"route\":\"r-12345\",\"timeout\":2000}";
  static char text[BYTES + 1];
  fixture_t f;

  for (size_t i = 0; i < BYTES; i++)
    text[i] = route[i % (sizeof route - 1)];
  for (int widest = 0; widest < GATEWAYS; widest++)
    {
      memset (&f, 0, sizeof f);
      for (int i = 0; i < GATEWAYS; i++)
        {
          f.zones[i] = "zone-a";
          f.link_mbps[i] = i == widest ? 200 : 10;
        }
      start_all (&f);
      ck_assert_int_eq (wait_for_reader (&f), widest);
      fake_rows_put (f.store, ROWS_OPERATOR, "a", text);
      for (int i = 0; i < GATEWAYS; i++)
        WAIT_FOR (&f, f.gateways[i].value_len == BYTES);
      teardown (&f);
    }
}
END_TEST

/* A reader that needed longer to send a large configuration than its callers
   waited was considered lost: each caller dropped the part that had arrived
   and read the whole text from the store.  */
START_TEST (slow_reply_of_a_reader_is_not_abandoned)
{
  enum
  {
    /* The link carries the text to two callers in 2 s.  */
    BYTES = 300000,
    BYTES_PER_S = 200000
  };
  static char text[BYTES + 1];
  rng_t rng = rng_make (3);
  fixture_t f;

  for (size_t i = 0; i < BYTES; i++)
    text[i] = (char)('0' + rng_below (&rng, 64));
  memset (&f, 0, sizeof f);
  for (int i = 0; i < GATEWAYS; i++)
    f.zones[i] = "zone-a";
  f.link_bytes_per_s = BYTES_PER_S;
  start_all (&f);
  wait_for_reader (&f);
  run_for (&f, 1000);
  size_t calls_before = fake_rows_call_count (f.store);
  fake_rows_put (f.store, ROWS_OPERATOR, "a", text);
  for (int i = 0; i < GATEWAYS; i++)
    {
      WAIT_FOR (&f, f.gateways[i].value_len == BYTES);
      ck_assert_int_eq (count_readers (&f), 1);
    }
  /* Only the reader called the store.  */
  ck_assert_uint_le (fake_rows_call_count (f.store) - calls_before, 8);
  teardown (&f);
}
END_TEST

/* A reader that was busy with a large table for longer than its callers waited
   was considered lost, and its reply a moment later was dropped.  */
START_TEST (late_reply_of_a_busy_reader_is_used)
{
  enum
  {
    BUSY_MS = 1500
  };
  fixture_t f;

  memset (&f, 0, sizeof f);
  for (int i = 0; i < GATEWAYS; i++)
    f.zones[i] = "zone-a";
  f.link_bytes_per_s = 1000000;
  start_all (&f);
  int reader = wait_for_reader (&f);
  run_for (&f, 1000);
  narrow_link_stall_after (f.narrow_links[reader], 0);
  fake_rows_put (f.store, ROWS_OPERATOR, "a", "two");
  WAIT_FOR (&f, strcmp (f.gateways[reader].value, "two") == 0);
  fake_rows_set_stalled (f.store, ROWS_OPERATOR, true);
  run_for (&f, BUSY_MS);
  narrow_link_stall_after (f.narrow_links[reader], SIZE_MAX);
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < GATEWAYS; i++)
    WAIT_FOR (&f, strcmp (f.gateways[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 500);
  ck_assert_int_eq (count_readers (&f), 1);
  fake_rows_set_stalled (f.store, ROWS_OPERATOR, false);
  teardown (&f);
}
END_TEST

/* The reader crashes.  Its callers must switch to another reader after one
   timeout, and no confirmation may get too old meanwhile.  */
START_TEST (crashed_reader_is_replaced)
{
  fixture_t f;

  setup (&f);
  run_for (&f, 500);
  int crashed = wait_for_reader (&f);
  fleet_gateway_stop (&f.gateways[crashed]);
  fake_rows_put (f.store, ROWS_OPERATOR, "a", "two");
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < GATEWAYS; i++)
    if (i != crashed)
      WAIT_FOR (&f, strcmp (f.gateways[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 2500);
  for (int ms = 0; ms < 4000; ms += 100)
    {
      run_for (&f, 100);
      for (int i = 0; i < GATEWAYS; i++)
        if (i != crashed)
          ck_assert_uint_lt (table_sync_age_ms (f.gateways[i].sync), 4000);
    }
  teardown (&f);
}
END_TEST

/* The store is down for all gateways.  The age of the rows at each gateway
   must count from the last reply of the store, even if another gateway passed
   the rows on.  */
START_TEST (age_counts_from_the_reply_of_the_store)
{
  fixture_t f;

  setup (&f);
  run_for (&f, 2000);
  for (int i = 0; i < GATEWAYS; i++)
    ck_assert_uint_lt (table_sync_age_ms (f.gateways[i].sync), 3500);
  fake_rows_set_down (f.store, true);
  uint64_t down_ms = uv_now (&f.loop);
  for (int ms = 0; ms < 3000; ms += 200)
    {
      run_for (&f, 200);
      for (int i = 0; i < GATEWAYS; i++)
        ck_assert_uint_ge (table_sync_age_ms (f.gateways[i].sync) + 30,
                           uv_now (&f.loop) - down_ms);
    }
  fake_rows_set_down (f.store, false);
  for (int i = 0; i < GATEWAYS; i++)
    WAIT_FOR (&f, table_sync_age_ms (f.gateways[i].sync) < 2000);
  teardown (&f);
}
END_TEST

/* A reader begins a planned stop.  Its callers must switch at once, without a
   timeout.  */
START_TEST (stopping_reader_is_replaced_at_once)
{
  fixture_t f;

  setup (&f);
  run_for (&f, 500);
  int stopped = wait_for_reader (&f);
  peer_rows_stop_serving (f.gateways[stopped].peer_rows);
  fake_rows_put (f.store, ROWS_OPERATOR, "a", "two");
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < GATEWAYS; i++)
    WAIT_FOR (&f, strcmp (f.gateways[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 1500);
  teardown (&f);
}
END_TEST

/* Rows of gateways have addresses that cannot be parsed.  A call must not be
   made to the store a second time because such a gateway is the next reader:
   the second reply would find the call released.  */
START_TEST (unreadable_address_makes_no_second_call)
{
  fixture_t f
      = { .zones = { "zone-a", "zone-a", "zone-a" }, .link_mbps = { 1000 } };

  start_all (&f);
  for (int i = 0; i < GATEWAYS; i++)
    peer_rows_add_gateway (f.gateways[i].peer_rows, STR ("bad"),
                           STR ("zone-a"), STR ("no address"), 500);
  ck_assert_int_eq (wait_for_reader (&f), 0);
  run_for (&f, 2000);
  /* Another calls the store beside its reader, which turns it away before the
     store has replied.  */
  fake_rows_set_stalled (f.store, ROWS_OPERATOR, true);
  size_t calls = fake_rows_call_count (f.store);
  WAIT_FOR (&f, fake_rows_call_count (f.store) > calls);
  peer_rows_stop_serving (f.gateways[0].peer_rows);
  run_for (&f, 300);
  fake_rows_set_stalled (f.store, ROWS_OPERATOR, false);
  fake_rows_put (f.store, ROWS_OPERATOR, "a", "two");
  for (int i = 0; i < GATEWAYS; i++)
    WAIT_FOR (&f, strcmp (f.gateways[i].value, "two") == 0);
  run_for (&f, 1000);
  teardown (&f);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("share");
  TCase *tcase = tcase_create ("share");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, one_gateway_calls_the_store_for_all);
  tcase_add_test (tcase, few_gateways_use_one_reader_across_zones);
  tcase_add_test (tcase, gateway_with_the_widest_link_is_reader);
  tcase_add_test (tcase, slow_reply_of_a_reader_is_not_abandoned);
  tcase_add_test (tcase, late_reply_of_a_busy_reader_is_used);
  tcase_add_test (tcase, crashed_reader_is_replaced);
  tcase_add_test (tcase, age_counts_from_the_reply_of_the_store);
  tcase_add_test (tcase, stopping_reader_is_replaced_at_once);
  tcase_add_test (tcase, unreadable_address_makes_no_second_call);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
