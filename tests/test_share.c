/* Entries that read the store for each other, on real RPC and a store in
   memory: who asks it, what becomes of the others when the reader is lost, and
   how old what they believe is.  */

#include "fake_rows.h"
#include "gateway/follow.h"
#include "gateway/share.h"
#include "loop_wait.h"
#include "narrow_link.h"
#include "suite.h"

#include <signal.h>
#include <stdio.h>

enum
{
  ENTRIES = 3,
  LIMIT_MS = 8000
};

typedef struct
{
  peer_rows_t *share;
  table_sync_t *follow;
  char value[64]; /* Of row `a', as this entry knows it.  */
  size_t value_len;
  size_t puts;
  bool removed;
} member_t;

typedef struct
{
  const char *zones[ENTRIES];
  uint32_t links[ENTRIES]; /* Mbit/s.  */
  uv_loop_t loop;
  fake_rows_t *store;
  member_t members[ENTRIES];
  /* Of what each entry tells the others; 0: they meet without a link.  */
  size_t link_bytes_per_s;
  narrow_link_t *narrow[ENTRIES];
  loop_wait_t wait;
} fixture_t;

static void
on_put (void *arg, const rows_row_t *row)
{
  member_t *member = arg;

  member->puts++;
  member->value_len = row->value.len;
  snprintf (member->value, sizeof member->value, "%.*s", STR_ARG (row->value));
}

static void
on_removed (void *arg, str_t key)
{
  (void)key;
  ((member_t *)arg)->removed = true;
}

static void
on_caught_up (void *arg, bool full)
{
  (void)arg;
  (void)full;
}

#define WAIT_FOR(f, cond) LOOP_WAIT (&(f)->wait, cond)

static void
pass (fixture_t *f, uint64_t ms)
{
  loop_wait_pass (&f->wait, ms);
}

static void
member_start (fixture_t *f, int index)
{
  static const table_sync_options_t options = {
    .table = ROWS_ORDERS, .name = "orders", .wait_ms = 1500, .slack_ms = 500
  };
  static const table_sync_events_t events
      = { on_put, on_removed, on_caught_up, NULL };
  member_t *member = &f->members[index];
  char name[16];

  snprintf (name, sizeof name, "entry-%d", index);
  const peer_rows_options_t share = { .name = str_from (name),
                                      .zone = str_from (f->zones[index]),
                                      .listen = STR ("127.0.0.1:0"),
                                      .link_mbps = f->links[index] };
  ck_assert_int_eq (
      peer_rows_create (&f->loop, clock_system (), (uint64_t)index + 1,
                        fake_rows_iface (f->store), &share, &member->share),
      VH_OK);
  member->follow = table_sync_create (&f->loop, clock_system (),
                                      peer_rows_iface (member->share), 1,
                                      &options, &events, member);
}

static void
introduce (fixture_t *f)
{
  char name[16];
  char address[32];
  uint16_t ports[ENTRIES];

  for (int i = 0; i < ENTRIES; i++)
    {
      ports[i] = peer_rows_port (f->members[i].share);
      if (f->link_bytes_per_s == 0)
        continue;
      f->narrow[i]
          = narrow_link_create (&f->loop, ports[i], f->link_bytes_per_s);
      ports[i] = narrow_link_port (f->narrow[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    for (int j = 0; j < ENTRIES; j++)
      {
        snprintf (name, sizeof name, "entry-%d", j);
        snprintf (address, sizeof address, "127.0.0.1:%u", ports[j]);
        peer_rows_add_gateway (f->members[i].share, str_from (name),
                               str_from (f->zones[j]), str_from (address),
                               f->links[j]);
      }
}

/* Start the entries whose zones and links are set.  */
static void
start_all (fixture_t *f)
{
  uv_loop_init (&f->loop);
  loop_wait_init (&f->wait, &f->loop, LIMIT_MS);
  f->store = fake_rows_create (&f->loop);
  fake_rows_put (f->store, ROWS_ORDERS, "a", "one");
  for (int i = 0; i < ENTRIES; i++)
    member_start (f, i);
  introduce (f);
  for (int i = 0; i < ENTRIES; i++)
    WAIT_FOR (f, strcmp (f->members[i].value, "one") == 0);
}

/* Entries in ZONES.  */
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
  static const char *const zones[ENTRIES] = { "zone-a", "zone-a", "zone-a" };

  setup_zones (f, zones);
}

static void
member_stop (member_t *member)
{
  table_sync_destroy (member->follow);
  peer_rows_destroy (member->share);
  member->follow = NULL;
  member->share = NULL;
}

static void
teardown (fixture_t *f)
{
  for (int i = 0; i < ENTRIES; i++)
    {
      if (f->members[i].share != NULL)
        member_stop (&f->members[i]);
      if (f->narrow[i] != NULL)
        narrow_link_destroy (f->narrow[i]);
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

  for (int i = 0; i < ENTRIES; i++)
    count += f->members[i].share != NULL
             && peer_rows_is_reader (f->members[i].share);
  return count;
}

/* Wait until one entry alone reads; return which.  */
static int
the_reader (fixture_t *f)
{
  WAIT_FOR (f, count_readers (f) == 1);
  for (int i = 0; i < ENTRIES; i++)
    if (f->members[i].share != NULL
        && peer_rows_is_reader (f->members[i].share))
      return i;
  return -1;
}

/* One entry asks the store for all three, and a change is at each of them in
   a moment.  */
START_TEST (one_entry_reads_for_all)
{
  fixture_t f;

  setup (&f);
  the_reader (&f);
  pass (&f, 2000);
  size_t before = fake_rows_call_count (f.store);
  pass (&f, 3000);
  ck_assert_uint_le (fake_rows_call_count (f.store) - before, 5);
  fake_rows_put (f.store, ROWS_ORDERS, "a", "two");
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < ENTRIES; i++)
    WAIT_FOR (&f, strcmp (f.members[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 500);
  fake_rows_remove (f.store, ROWS_ORDERS, "a");
  for (int i = 0; i < ENTRIES; i++)
    WAIT_FOR (&f, f.members[i].removed);
  teardown (&f);
}
END_TEST

/* Few entries in three zones: one asks the store for all of them.  It dies
   without a word, and each zone goes on by itself: none waits for another that
   may be as far away.  */
START_TEST (few_entries_share_a_reader_over_zones)
{
  static const char *const zones[ENTRIES] = { "zone-a", "zone-b", "zone-c" };
  fixture_t f;

  setup_zones (&f, zones);
  int lost = the_reader (&f);
  pass (&f, 2000);
  size_t before = fake_rows_call_count (f.store);
  pass (&f, 3000);
  ck_assert_uint_le (fake_rows_call_count (f.store) - before, 5);
  member_stop (&f.members[lost]);
  WAIT_FOR (&f, count_readers (&f) == ENTRIES - 1);
  fake_rows_put (f.store, ROWS_ORDERS, "a", "two");
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < ENTRIES; i++)
    if (i != lost)
      WAIT_FOR (&f, strcmp (f.members[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 500);
  teardown (&f);
}
END_TEST

/* A large configuration is accepted.  The entry that reads for the others
   sends it to each of them, and its own streams wait behind that on its link:
   so the entry with the widest link reads, whatever the hash of its name, and
   the rows that are told get smaller.  Each entry has the whole of it.  */
START_TEST (the_widest_link_reads_large_rows)
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
  for (int widest = 0; widest < ENTRIES; widest++)
    {
      memset (&f, 0, sizeof f);
      for (int i = 0; i < ENTRIES; i++)
        {
          f.zones[i] = "zone-a";
          f.links[i] = i == widest ? 200 : 10;
        }
      start_all (&f);
      ck_assert_int_eq (the_reader (&f), widest);
      fake_rows_put (f.store, ROWS_ORDERS, "a", text);
      for (int i = 0; i < ENTRIES; i++)
        WAIT_FOR (&f, f.members[i].value_len == BYTES);
      teardown (&f);
    }
}
END_TEST

/* A reader that took longer to hand out a large configuration than its askers
   waited passed for lost: each of them gave up what it had got of the answer
   and fetched the whole from the store.  */
START_TEST (a_reader_is_waited_for_while_its_answer_comes)
{
  enum
  {
    /* Two askers take the link 2 s.  */
    BYTES = 300000,
    BYTES_PER_S = 200000
  };
  static char text[BYTES + 1];
  rng_t rng = rng_make (3);
  fixture_t f;

  for (size_t i = 0; i < BYTES; i++)
    text[i] = (char)('0' + rng_below (&rng, 64));
  memset (&f, 0, sizeof f);
  for (int i = 0; i < ENTRIES; i++)
    f.zones[i] = "zone-a";
  f.link_bytes_per_s = BYTES_PER_S;
  start_all (&f);
  the_reader (&f);
  pass (&f, 1000);
  size_t before = fake_rows_call_count (f.store);
  fake_rows_put (f.store, ROWS_ORDERS, "a", text);
  for (int i = 0; i < ENTRIES; i++)
    {
      WAIT_FOR (&f, f.members[i].value_len == BYTES);
      ck_assert_int_eq (count_readers (&f), 1);
    }
  /* Those of the reader alone.  */
  ck_assert_uint_le (fake_rows_call_count (f.store) - before, 8);
  teardown (&f);
}
END_TEST

/* A reader that was busy with a large table for longer than its askers waited
   passed for lost, and what it said a moment later was dropped.  */
START_TEST (a_late_answer_of_a_reader_is_taken)
{
  enum
  {
    BUSY_MS = 1500
  };
  fixture_t f;

  memset (&f, 0, sizeof f);
  for (int i = 0; i < ENTRIES; i++)
    f.zones[i] = "zone-a";
  f.link_bytes_per_s = 1000000;
  start_all (&f);
  int busy = the_reader (&f);
  pass (&f, 1000);
  narrow_link_stop_after (f.narrow[busy], 0);
  fake_rows_put (f.store, ROWS_ORDERS, "a", "two");
  WAIT_FOR (&f, strcmp (f.members[busy].value, "two") == 0);
  fake_rows_set_stalled (f.store, ROWS_ORDERS, true);
  pass (&f, BUSY_MS);
  narrow_link_stop_after (f.narrow[busy], SIZE_MAX);
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < ENTRIES; i++)
    WAIT_FOR (&f, strcmp (f.members[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 500);
  ck_assert_int_eq (count_readers (&f), 1);
  fake_rows_set_stalled (f.store, ROWS_ORDERS, false);
  teardown (&f);
}
END_TEST

/* The reader dies without a word.  Its zone goes on after a timeout, with
   another reader, and no confirmation grows old meanwhile.  */
START_TEST (a_lost_reader_is_replaced)
{
  fixture_t f;

  setup (&f);
  pass (&f, 500);
  int lost = the_reader (&f);
  member_stop (&f.members[lost]);
  fake_rows_put (f.store, ROWS_ORDERS, "a", "two");
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < ENTRIES; i++)
    if (i != lost)
      WAIT_FOR (&f, strcmp (f.members[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 2500);
  for (int ms = 0; ms < 4000; ms += 100)
    {
      pass (&f, 100);
      for (int i = 0; i < ENTRIES; i++)
        if (i != lost)
          ck_assert_uint_lt (table_sync_age_ms (f.members[i].follow), 4000);
    }
  teardown (&f);
}
END_TEST

/* The store goes away for all.  No entry's belief looks younger than the last
   answer of the store, through whomever it came.  */
START_TEST (an_age_counts_from_the_store)
{
  fixture_t f;

  setup (&f);
  pass (&f, 2000);
  for (int i = 0; i < ENTRIES; i++)
    ck_assert_uint_lt (table_sync_age_ms (f.members[i].follow), 3500);
  fake_rows_set_down (f.store, true);
  uint64_t down_ms = uv_now (&f.loop);
  for (int ms = 0; ms < 3000; ms += 200)
    {
      pass (&f, 200);
      for (int i = 0; i < ENTRIES; i++)
        ck_assert_uint_ge (table_sync_age_ms (f.members[i].follow) + 30,
                           uv_now (&f.loop) - down_ms);
    }
  fake_rows_set_down (f.store, false);
  for (int i = 0; i < ENTRIES; i++)
    WAIT_FOR (&f, table_sync_age_ms (f.members[i].follow) < 2000);
  teardown (&f);
}
END_TEST

/* A reader that stops as planned leaves at once: nobody waits for it.  */
START_TEST (a_leaving_reader_hands_over)
{
  fixture_t f;

  setup (&f);
  pass (&f, 500);
  int left = the_reader (&f);
  peer_rows_stop_serving (f.members[left].share);
  fake_rows_put (f.store, ROWS_ORDERS, "a", "two");
  uint64_t start_ms = uv_now (&f.loop);
  for (int i = 0; i < ENTRIES; i++)
    WAIT_FOR (&f, strcmp (f.members[i].value, "two") == 0);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 1500);
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
  tcase_add_test (tcase, one_entry_reads_for_all);
  tcase_add_test (tcase, few_entries_share_a_reader_over_zones);
  tcase_add_test (tcase, the_widest_link_reads_large_rows);
  tcase_add_test (tcase, a_reader_is_waited_for_while_its_answer_comes);
  tcase_add_test (tcase, a_late_answer_of_a_reader_is_taken);
  tcase_add_test (tcase, a_lost_reader_is_replaced);
  tcase_add_test (tcase, an_age_counts_from_the_store);
  tcase_add_test (tcase, a_leaving_reader_hands_over);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
