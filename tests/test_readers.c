/* Tests of the selection of sources for the shared tables, without sockets.
 */

#include "policy/fanout.h"
#include "suite.h"

#include <stdio.h>

enum
{
  GATEWAYS_MAX = 730,
  ZONES = 10
};

typedef struct
{
  clock_iface_t *clock;
  size_t count;
  fanout_t *gateways[GATEWAYS_MAX];
  size_t numbers[GATEWAYS_MAX]; /* The owners of the gateways.  */
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
      fleet->gateways[i] = fanout_create (fleet->clock, i, str_from (name),
                                          str_from (zone), 20);
    }
  for (size_t i = 0; i < count; i++)
    for (size_t j = 0; j < count; j++)
      {
        if (i == j)
          continue;
        snprintf (name, sizeof name, "entry-%zu", j);
        snprintf (zone, sizeof zone, "zone-%zu", j % ZONES);
        fanout_put (fleet->gateways[i], str_from (name), str_from (zone), 20,
                    &fleet->numbers[j]);
      }
}

static void
teardown (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    fanout_destroy (fleet->gateways[i]);
  clock_manual_destroy (fleet->clock);
}

/* Return the number of the gateway that gateway INDEX reads from; SIZE_MAX if
   it reads from the store.  */
static size_t
source_of (fleet_t *fleet, size_t index)
{
  void *owner;
  fanout_role_t role = fanout_choose_source (fleet->gateways[index], &owner);

  ck_assert ((role == FANOUT_READS_STORE) == (owner == NULL));
  return owner != NULL ? *(size_t *)owner : SIZE_MAX;
}

/* A gateway that served the whole fleet would send a volume that grows with
   the fleet.  */
START_TEST (no_gateway_serves_more_than_a_zone)
{
  static const size_t sizes[] = { 5, 31, 68, 300, 730 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      fleet_t fleet;
      size_t reader_counts[GATEWAYS_MAX] = { 0 };
      size_t store_readers = 0;
      size_t maximum = 0;
      setup (&fleet, sizes[s]);
      for (size_t i = 0; i < fleet.count; i++)
        {
          size_t source = source_of (&fleet, i);
          if (source == SIZE_MAX)
            store_readers++;
          else if (++reader_counts[source] > maximum)
            maximum = reader_counts[source];
        }
      ck_assert_uint_eq (store_readers, 1);
      if (sizes[s] > FANOUT_SMALL_FLEET_MAX)
        ck_assert_uint_le (maximum, sizes[s] / ZONES + ZONES);
      /* There are at most two gateways between a gateway and the store.  */
      for (size_t i = 0; i < fleet.count; i++)
        {
          size_t source = source_of (&fleet, i);
          if (source != SIZE_MAX && source_of (&fleet, source) != SIZE_MAX)
            ck_assert_uint_eq (source_of (&fleet, source_of (&fleet, source)),
                               SIZE_MAX);
        }
      teardown (&fleet);
    }
}
END_TEST

/* The store is unavailable for all gateways.  They must not probe it at the
   same time, yet each must do so soon enough to notice an outage that concerns
   only the others.  */
START_TEST (store_outage_is_probed_by_few_at_a_time)
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
      size_t maximum = 0;
      size_t first_probe_ms[GATEWAYS_MAX] = { 0 };
      setup (&fleet, sizes[s]);
      for (size_t ms = STEP_MS; ms <= SPAN_MS; ms += STEP_MS)
        {
          size_t probes = 0;
          clock_manual_advance_us (fleet.clock, STEP_MS * 1000u);
          for (size_t i = 0; i < fleet.count; i++)
            if (fanout_may_probe_store (fleet.gateways[i]))
              {
                probes++;
                if (first_probe_ms[i] == 0)
                  first_probe_ms[i] = ms;
                fanout_store_call_ended (fleet.gateways[i], false);
              }
          if (probes > maximum)
            maximum = probes;
        }
      for (size_t i = 0; i < fleet.count; i++)
        {
          ck_assert_uint_gt (first_probe_ms[i], 0);
          ck_assert_uint_le (first_probe_ms[i],
                             FANOUT_PROBE_INTERVAL_MAX_MS + STEP_MS);
        }
      printf ("%zu entries: at most %zu calls in %d ms\n", sizes[s], maximum,
              STEP_MS);
      ck_assert_uint_le (maximum, sizes[s] / 10 + 6);
      teardown (&fleet);
    }
}
END_TEST

/* A source without current data is asked again, and one that does not respond
   is skipped for a while; if it is in another zone, so are all other zones.  A
   gateway that gets a response from the store keeps calling it.  */
START_TEST (silent_source_is_skipped_and_refusing_one_is_not)
{
  fleet_t fleet;

  setup (&fleet, 68);
  size_t member = 0;
  while (source_of (&fleet, member) == SIZE_MAX
         || source_of (&fleet, source_of (&fleet, member)) == SIZE_MAX)
    member++;
  size_t head = source_of (&fleet, member);
  char name[32];
  snprintf (name, sizeof name, "entry-%zu", head);
  fanout_source_failed (fleet.gateways[member], str_from (name), false);
  ck_assert_uint_eq (source_of (&fleet, member), head);
  ck_assert_ptr_nonnull (fanout_next_source (fleet.gateways[member]));
  fanout_source_failed (fleet.gateways[member], str_from (name), true);
  ck_assert_uint_ne (source_of (&fleet, member), head);
  clock_manual_advance_us (fleet.clock, FANOUT_SILENT_BACKOFF_MS * 1000u);
  ck_assert_uint_eq (source_of (&fleet, member), head);
  /* The root, in another zone, does not respond to the head, which then reads
     from the store.  */
  snprintf (name, sizeof name, "entry-%zu", source_of (&fleet, head));
  fanout_source_failed (fleet.gateways[head], str_from (name), true);
  ck_assert_uint_eq (source_of (&fleet, head), SIZE_MAX);
  ck_assert (!fanout_is_store_reachable (fleet.gateways[head]));
  fanout_store_call_ended (fleet.gateways[head], true);
  ck_assert (fanout_is_store_reachable (fleet.gateways[head]));
  ck_assert (fanout_may_probe_store (fleet.gateways[head]));
  ck_assert (fanout_may_probe_store (fleet.gateways[head]));
  teardown (&fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("readers");
  TCase *tcase = tcase_create ("readers");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, no_gateway_serves_more_than_a_zone);
  tcase_add_test (tcase, store_outage_is_probed_by_few_at_a_time);
  tcase_add_test (tcase, silent_source_is_skipped_and_refusing_one_is_not);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
