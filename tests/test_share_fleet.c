/* A large fleet whose entries read the store for each other, on real RPC and a
   store in memory: who asks it, and what becomes of the others when those who
   read are lost, refused or told that it is away.  */

#include "fake_rows.h"
#include "gateway/follow.h"
#include "gateway/share.h"
#include "loop_wait.h"
#include "suite.h"

#include <signal.h>
#include <stdio.h>

enum
{
  ENTRIES = 40,
  ZONES = 4,
  LIMIT_MS = 8000,
  /* A confirmation that is older does not let callers in.  */
  TRUST_MS = 4500,
  /* What was told counts so long.  */
  TOLD_MS = 3000
};

/* A store that refuses this entry alone.  */
typedef struct
{
  rows_t base;
  rows_t *store;
  rows_t *dark;
  bool refuses;
} gate_t;

typedef struct
{
  gate_t gate;
  peer_rows_t *share;
  table_sync_t *follow;
  char name[16];
  char value[16]; /* Of row `a', as this entry knows it.  */
  uint32_t told;  /* Sum that it tells its reader, see list_news.  */
  uint32_t heard[ENTRIES];
  uint64_t heard_ms[ENTRIES];
  uv_loop_t *loop;
  table_sync_t *own; /* Its calls carry the news.  */
} member_t;

typedef struct
{
  uv_loop_t loop;
  fake_rows_t *store;
  fake_rows_t *dark;
  member_t members[ENTRIES];
  loop_wait_t wait;
} fixture_t;

static rows_t *
behind (const rows_t *rows)
{
  const gate_t *gate = (const gate_t *)rows;

  return gate->refuses ? gate->dark : gate->store;
}

static void
gate_read (rows_t *rows, rows_table_t table, str_t from, uint64_t timeout_ms,
           rows_cb_t cb, void *arg)
{
  rows_t *store = behind (rows);

  store->ops->read (store, table, from, timeout_ms, cb, arg);
}

static void
gate_watch (rows_t *rows, rows_table_t table, uint64_t after, uint64_t wait_ms,
            uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  rows_t *store = behind (rows);

  store->ops->watch (store, table, after, wait_ms, timeout_ms, cb, arg);
}

static void
gate_forget (rows_t *rows, const void *arg)
{
  const gate_t *gate = (const gate_t *)rows;

  gate->store->ops->forget (gate->store, arg);
  gate->dark->ops->forget (gate->dark, arg);
}

static void
on_put (void *arg, const rows_row_t *row)
{
  member_t *member = arg;

  snprintf (member->value, sizeof member->value, "%.*s", STR_ARG (row->value));
}

static void
on_other_put (void *arg, const rows_row_t *row)
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
on_caught_up (void *arg, bool full)
{
  (void)arg;
  (void)full;
}

/* What MEMBER knows of the sum over all entries.  */
static uint32_t
sum_of (const member_t *member)
{
  uint32_t sum = member->told;

  for (size_t i = 0; i < ENTRIES; i++)
    if (uv_now (member->loop) - member->heard_ms[i] < TOLD_MS)
      sum += member->heard[i];
  return sum;
}

static size_t
list_news (void *arg, bool tells, peer_rows_item_t *items, size_t most)
{
  const member_t *member = arg;

  ck_assert_uint_ge (most, 1);
  buf_append_str (&items[0].key, str_from (member->name));
  buf_printf (&items[0].value, "%u", tells ? sum_of (member) : member->told);
  return 1;
}

static void
take_news (void *arg, str_t key, str_t value)
{
  member_t *member = arg;
  uint64_t index;
  uint64_t sum;
  str_t rest;

  str_cut (key, '-', &rest);
  ck_assert (str_to_u64 (rest, &index) && index < ENTRIES);
  ck_assert (str_to_u64 (value, &sum));
  member->heard[index] = (uint32_t)sum;
  member->heard_ms[index] = uv_now (member->loop);
}

static void
member_start (fixture_t *f, int index)
{
  static const char *const zones[ZONES] = { "a", "b", "c", "d" };
  static const rows_ops_t gate
      = { gate_read, gate_watch, NULL, gate_forget, NULL };
  static const peer_rows_piggyback_t news = { list_news, take_news };
  member_t *member = &f->members[index];

  member->gate = (gate_t){ .base.ops = &gate,
                           .store = fake_rows_iface (f->store),
                           .dark = fake_rows_iface (f->dark) };
  member->told = 1;
  member->loop = &f->loop;
  snprintf (member->name, sizeof member->name, "entry-%d", index);
  const peer_rows_options_t share
      = { .name = str_from (member->name),
          .zone = str_from (zones[index % ZONES]),
          .listen = STR ("127.0.0.1:0"),
          /* The first of each zone, and of all, is known.  */
          .link_mbps = (uint32_t)(ENTRIES - index) * 10 };
  ck_assert_int_eq (peer_rows_create (&f->loop, clock_system (),
                                      (uint64_t)index + 1, &member->gate.base,
                                      &share, &member->share),
                    VH_OK);
  peer_rows_set_piggyback (member->share, &news, member);
}

static void
setup (fixture_t *f)
{
  static const char *const zones[ZONES] = { "a", "b", "c", "d" };

  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  loop_wait_init (&f->wait, &f->loop, LIMIT_MS);
  f->store = fake_rows_create (&f->loop);
  f->dark = fake_rows_create (&f->loop);
  fake_rows_set_down (f->dark, true);
  fake_rows_put (f->store, ROWS_ORDERS, "a", "one");
  for (int i = 0; i < ENTRIES; i++)
    member_start (f, i);
  for (int i = 0; i < ENTRIES; i++)
    for (int j = 0; j < ENTRIES; j++)
      {
        char address[32];
        snprintf (address, sizeof address, "127.0.0.1:%u",
                  peer_rows_port (f->members[j].share));
        peer_rows_add_gateway (f->members[i].share,
                               str_from (f->members[j].name),
                               str_from (zones[j % ZONES]), str_from (address),
                               (uint32_t)(ENTRIES - j) * 10);
      }
  for (int i = 0; i < ENTRIES; i++)
    {
      static const table_sync_options_t orders = { .table = ROWS_ORDERS,
                                                   .name = "orders",
                                                   .wait_ms = 1500,
                                                   .slack_ms = 500 };
      static const table_sync_options_t own = {
        .table = ROWS_SHARED, .name = "own", .wait_ms = 8000, .slack_ms = 1000
      };
      static const table_sync_events_t events
          = { on_put, on_removed, on_caught_up, NULL };
      static const table_sync_events_t no_events
          = { on_other_put, on_removed, on_caught_up, NULL };
      member_t *member = &f->members[i];
      rows_t *rows = peer_rows_iface (member->share);
      member->follow = table_sync_create (&f->loop, clock_system (), rows, 1,
                                          &orders, &events, member);
      member->own = table_sync_create (&f->loop, clock_system (), rows, 2,
                                       &own, &no_events, member);
    }
  for (int i = 0; i < ENTRIES; i++)
    LOOP_WAIT (&f->wait, strcmp (f->members[i].value, "one") == 0);
  loop_wait_pass (&f->wait, 500);
}

static void
member_stop (member_t *member)
{
  table_sync_destroy (member->follow);
  table_sync_destroy (member->own);
  peer_rows_destroy (member->share);
  member->follow = NULL;
  member->share = NULL;
}

static void
teardown (fixture_t *f)
{
  fake_rows_t *stores[] = { f->store, f->dark };

  for (int i = 0; i < ENTRIES; i++)
    if (f->members[i].share != NULL)
      member_stop (&f->members[i]);
  for (int i = 0; i < 2; i++)
    {
      rows_t *rows = fake_rows_iface (stores[i]);
      rows->ops->destroy (rows);
    }
  loop_wait_close (&f->wait);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

/* Write VALUE and wait until all entries that run know it; return after how
   many ms.  */
static uint64_t
spread (fixture_t *f, const char *value)
{
  uint64_t start_ms = uv_now (&f->loop);

  fake_rows_put (f->store, ROWS_ORDERS, "a", value);
  for (int i = 0; i < ENTRIES; i++)
    LOOP_WAIT (&f->wait, f->members[i].share == NULL
                             || strcmp (f->members[i].value, value) == 0);
  return uv_now (&f->loop) - start_ms;
}

/* Pass MS; no entry's confirmation gets too old meanwhile.  */
static void
pass_trusted (fixture_t *f, uint64_t ms)
{
  for (uint64_t passed = 0; passed < ms; passed += 100)
    {
      loop_wait_pass (&f->wait, 100);
      for (int i = 0; i < ENTRIES; i++)
        if (f->members[i].share != NULL)
          ck_assert_uint_lt (table_sync_age_ms (f->members[i].follow),
                             TRUST_MS);
    }
}

/* A reader in each zone makes the calls grow with the zones.  */
START_TEST (one_entry_reads_for_a_large_fleet)
{
  fixture_t f;

  setup (&f);
  size_t before = fake_rows_call_count (f.store);
  pass_trusted (&f, 3000);
  ck_assert_uint_le (fake_rows_call_count (f.store) - before, 6);
  ck_assert_uint_lt (spread (&f, "two"), 500);
  teardown (&f);
}
END_TEST

/* The store goes away.  Each entry found that out for itself, again and again,
   and the store got most of its calls when it could bear none.  */
START_TEST (an_outage_is_not_asked_about_by_all)
{
  enum
  {
    OUTAGE_S = 4
  };
  fixture_t f;

  setup (&f);
  fake_rows_set_down (f.store, true);
  size_t before = fake_rows_call_count (f.store);
  loop_wait_pass (&f.wait, OUTAGE_S * 1000);
  ck_assert_uint_le (fake_rows_call_count (f.store) - before, OUTAGE_S * 30);
  fake_rows_set_down (f.store, false);
  ck_assert_uint_lt (spread (&f, "two"), 1500);
  teardown (&f);
}
END_TEST

/* The entry that reads for all dies without a word.  */
START_TEST (a_lost_root_is_replaced)
{
  fixture_t f;

  setup (&f);
  ck_assert (peer_rows_is_reader (f.members[0].share));
  member_stop (&f.members[0]);
  ck_assert_uint_lt (spread (&f, "two"), 3000);
  pass_trusted (&f, 3000);
  teardown (&f);
}
END_TEST

/* Two readers die together, and nobody that they served grows stale.  */
START_TEST (lost_readers_are_replaced)
{
  fixture_t f;

  setup (&f);
  for (int i = 0; i < ZONES; i++)
    member_stop (&f.members[i]);
  ck_assert_uint_lt (spread (&f, "two"), 3000);
  pass_trusted (&f, 3000);
  teardown (&f);
}
END_TEST

/* The store refuses the entry that reads for all, and the head of a zone, and
   serves the others.  */
START_TEST (refused_readers_are_gone_round)
{
  fixture_t f;

  setup (&f);
  f.members[0].gate.refuses = true;
  f.members[1].gate.refuses = true;
  ck_assert_uint_lt (spread (&f, "two"), 4000);
  pass_trusted (&f, 6000);
  f.members[0].gate.refuses = false;
  f.members[1].gate.refuses = false;
  loop_wait_pass (&f.wait, 4000);
  ck_assert_uint_lt (spread (&f, "three"), 1000);
  teardown (&f);
}
END_TEST

/* What all entries that ask the store were told.  */
static uint32_t
sum_of_readers (const fixture_t *f)
{
  uint32_t sum = 0;

  for (int i = 0; i < ENTRIES; i++)
    if (f->members[i].share != NULL
        && peer_rows_is_reader (f->members[i].share))
      sum += sum_of (&f->members[i]);
  return sum;
}

/* What each entry has to tell comes to the one that reads for all, added up on
   the way, and after that one's death to those that read then.  */
START_TEST (news_come_to_the_root)
{
  fixture_t f;

  setup (&f);
  LOOP_WAIT (&f.wait, sum_of (&f.members[0]) == ENTRIES);
  member_stop (&f.members[0]);
  spread (&f, "two");
  LOOP_WAIT (&f.wait, sum_of_readers (&f) == ENTRIES - 1);
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
  tcase_add_test (tcase, one_entry_reads_for_a_large_fleet);
  tcase_add_test (tcase, an_outage_is_not_asked_about_by_all);
  tcase_add_test (tcase, a_lost_root_is_replaced);
  tcase_add_test (tcase, lost_readers_are_replaced);
  tcase_add_test (tcase, refused_readers_are_gone_round);
  tcase_add_test (tcase, news_come_to_the_root);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
