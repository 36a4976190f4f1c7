/* Who asks the store and who asks whom, without sockets.  */

#include "policy/readers.h"
#include "suite.h"

#include <stdio.h>

enum
{
  ENTRIES_MAX = 730,
  ZONES = 10
};

typedef struct
{
  clock_iface_t *clock;
  size_t count;
  fanout_t *entries[ENTRIES_MAX];
  size_t numbers[ENTRIES_MAX]; /* What stands for each.  */
} fleet_t;

static void
setup (fleet_t *fleet, size_t count)
{
  char name[32];
  char zone[32];

  memset (fleet, 0, sizeof *fleet);
  fleet->clock = clock_manual_create (0);
  clock_manual_advance_us (fleet->clock, 100000000);
  fleet->count = count;
  for (size_t i = 0; i < count; i++)
    {
      fleet->numbers[i] = i;
      snprintf (name, sizeof name, "entry-%zu", i);
      snprintf (zone, sizeof zone, "zone-%zu", i % ZONES);
      fleet->entries[i] = fanout_create (fleet->clock, i, str_from (name),
                                         str_from (zone), 20);
    }
  for (size_t i = 0; i < count; i++)
    for (size_t j = 0; j < count; j++)
      {
        if (i == j)
          continue;
        snprintf (name, sizeof name, "entry-%zu", j);
        snprintf (zone, sizeof zone, "zone-%zu", j % ZONES);
        fanout_put (fleet->entries[i], str_from (name), str_from (zone), 20,
                    &fleet->numbers[j]);
      }
}

static void
teardown (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    fanout_destroy (fleet->entries[i]);
  clock_manual_destroy (fleet->clock);
}

/* Whom entry INDEX asks; SIZE_MAX: the store.  */
static size_t
asks (fleet_t *fleet, size_t index)
{
  void *owner;
  fanout_role_t role = fanout_choose_source (fleet->entries[index], &owner);

  ck_assert ((role == FANOUT_READS_STORE) == (owner == NULL));
  return owner != NULL ? *(size_t *)owner : SIZE_MAX;
}

/* A reader that tells the whole fleet sends bytes that grow with it.  */
START_TEST (nobody_tells_more_than_a_zone)
{
  static const size_t sizes[] = { 5, 31, 68, 300, 730 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      fleet_t fleet;
      size_t askers[ENTRIES_MAX] = { 0 };
      size_t of_store = 0;
      size_t most = 0;
      setup (&fleet, sizes[s]);
      for (size_t i = 0; i < fleet.count; i++)
        {
          size_t asked = asks (&fleet, i);
          if (asked == SIZE_MAX)
            of_store++;
          else if (++askers[asked] > most)
            most = askers[asked];
        }
      ck_assert_uint_eq (of_store, 1);
      if (sizes[s] > FANOUT_SMALL_FLEET_MAX)
        ck_assert_uint_le (most, sizes[s] / ZONES + ZONES);
      /* Nobody is told by more than two hands.  */
      for (size_t i = 0; i < fleet.count; i++)
        {
          size_t by = asks (&fleet, i);
          if (by != SIZE_MAX && asks (&fleet, by) != SIZE_MAX)
            ck_assert_uint_eq (asks (&fleet, asks (&fleet, by)), SIZE_MAX);
        }
      teardown (&fleet);
    }
}
END_TEST

/* The store is away for all: they do not ask it all at once, and each asks it
   in time to notice that it is refused alone.  */
START_TEST (an_outage_is_probed_by_few)
{
  static const size_t sizes[] = { 40, 68, 300, 730 };
  enum
  {
    STEP_MS = 100,
    SPAN_MS = 6000
  };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      fleet_t fleet;
      size_t most = 0;
      size_t first[ENTRIES_MAX] = { 0 };
      setup (&fleet, sizes[s]);
      for (size_t ms = STEP_MS; ms <= SPAN_MS; ms += STEP_MS)
        {
          size_t now = 0;
          clock_manual_advance_us (fleet.clock, STEP_MS * 1000u);
          for (size_t i = 0; i < fleet.count; i++)
            if (fanout_may_probe_store (fleet.entries[i]))
              {
                now++;
                if (first[i] == 0)
                  first[i] = ms;
                fanout_store_call_ended (fleet.entries[i], false);
              }
          if (now > most)
            most = now;
        }
      for (size_t i = 0; i < fleet.count; i++)
        {
          ck_assert_uint_gt (first[i], 0);
          ck_assert_uint_le (first[i], FANOUT_PROBE_INTERVAL_MAX_MS + STEP_MS);
        }
      printf ("%zu entries: at most %zu calls in %d ms\n", sizes[s], most,
              STEP_MS);
      ck_assert_uint_le (most, sizes[s] / 10 + 6);
      teardown (&fleet);
    }
}
END_TEST

/* One that the store answers goes on asking it, and one that is silent is
   passed over, with all other zones left alone for a while.  */
START_TEST (silence_and_refusal_are_told_apart)
{
  fleet_t fleet;

  setup (&fleet, 68);
  size_t member = 0;
  while (asks (&fleet, member) == SIZE_MAX
         || asks (&fleet, asks (&fleet, member)) == SIZE_MAX)
    member++;
  size_t head = asks (&fleet, member);
  char name[32];
  snprintf (name, sizeof name, "entry-%zu", head);
  fanout_source_failed (fleet.entries[member], str_from (name), false);
  ck_assert_uint_eq (asks (&fleet, member), head);
  ck_assert_ptr_nonnull (fanout_next_source (fleet.entries[member]));
  fanout_source_failed (fleet.entries[member], str_from (name), true);
  ck_assert_uint_ne (asks (&fleet, member), head);
  clock_manual_advance_us (fleet.clock, FANOUT_SILENT_BACKOFF_MS * 1000u);
  ck_assert_uint_eq (asks (&fleet, member), head);
  /* The head's root, in another zone, is silent: it asks the store.  */
  snprintf (name, sizeof name, "entry-%zu", asks (&fleet, head));
  fanout_source_failed (fleet.entries[head], str_from (name), true);
  ck_assert_uint_eq (asks (&fleet, head), SIZE_MAX);
  ck_assert (!fanout_is_store_reachable (fleet.entries[head]));
  fanout_store_call_ended (fleet.entries[head], true);
  ck_assert (fanout_is_store_reachable (fleet.entries[head]));
  ck_assert (fanout_may_probe_store (fleet.entries[head]));
  ck_assert (fanout_may_probe_store (fleet.entries[head]));
  teardown (&fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("readers");
  TCase *tcase = tcase_create ("readers");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, nobody_tells_more_than_a_zone);
  tcase_add_test (tcase, an_outage_is_probed_by_few);
  tcase_add_test (tcase, silence_and_refusal_are_told_apart);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
