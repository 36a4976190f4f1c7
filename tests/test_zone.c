/* Tests of disabling and enabling an availability zone.  */

#include "policy/zone.h"

#include "suite.h"

START_TEST (disabling_is_immediate_and_enabling_ramps_up)
{
  zone_t *zone = zone_create (0);
  double last = 0;

  ck_assert (zone_share (zone, 0) >= 1);
  zone_disable (zone);
  ck_assert (zone_share (zone, 100) <= 0);
  ck_assert_int_eq (zone_state (zone), ZONE_DISABLED);
  zone_enable (zone, 1000);
  ck_assert_int_eq (zone_state (zone), ZONE_RAMPING);
  for (uint64_t ms = 1000; ms < 1000 + ZONE_RAMP_MS; ms += 100)
    {
      double share = zone_share (zone, ms);
      ck_assert (share > last && share < 1);
      last = share;
    }
  ck_assert (zone_share (zone, 1000) >= ZONE_RAMP_INITIAL_SHARE);
  ck_assert (zone_share (zone, 1000 + ZONE_RAMP_MS) >= 1);
  ck_assert_int_eq (zone_state (zone), ZONE_ENABLED);
  zone_destroy (zone);
}
END_TEST

/* A gateway that loads the configuration from two peers applies it twice.  The
   ramp must not restart each time.  */
START_TEST (enabling_twice_does_not_restart_the_ramp)
{
  zone_t *zone = zone_create (1000);

  zone_enable (zone, 500);
  ck_assert (zone_share (zone, 500) >= 1);
  zone_disable (zone);
  zone_disable (zone);
  zone_enable (zone, 1000);
  zone_enable (zone, 1900);
  ck_assert (zone_share (zone, 2000) >= 1);
  zone_destroy (zone);
}
END_TEST

START_TEST (disabling_during_the_ramp)
{
  zone_t *zone = zone_create (1000);

  zone_disable (zone);
  zone_enable (zone, 1000);
  zone_disable (zone);
  ck_assert (zone_share (zone, 5000) <= 0);
  zone_enable (zone, 6000);
  ck_assert (zone_share (zone, 6000) < 0.2);
  zone_destroy (zone);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("zone");
  TCase *tcase = tcase_create ("zone");

  tcase_add_test (tcase, disabling_is_immediate_and_enabling_ramps_up);
  tcase_add_test (tcase, enabling_twice_does_not_restart_the_ramp);
  tcase_add_test (tcase, disabling_during_the_ramp);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
