/* Tests of a zone's way out and back.  */

#include "policy/zone.h"

#include "suite.h"

START_TEST (out_is_at_once_and_back_is_slow)
{
  zone_t *zone = zone_create (0);
  double last = 0;

  ck_assert (zone_share (zone, 0) >= 1);
  zone_out (zone);
  ck_assert (zone_share (zone, 100) <= 0);
  ck_assert_int_eq (zone_state (zone), ZONE_OUT);
  zone_in (zone, 1000);
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

/* The same configuration is applied twice, as entries do when they pull it
   from two peers.  The ramp must not begin anew each time.  */
START_TEST (saying_it_twice_changes_nothing)
{
  zone_t *zone = zone_create (1000);

  zone_in (zone, 500);
  ck_assert (zone_share (zone, 500) >= 1);
  zone_out (zone);
  zone_out (zone);
  zone_in (zone, 1000);
  zone_in (zone, 1900);
  ck_assert (zone_share (zone, 2000) >= 1);
  zone_destroy (zone);
}
END_TEST

START_TEST (out_again_during_the_ramp)
{
  zone_t *zone = zone_create (1000);

  zone_out (zone);
  zone_in (zone, 1000);
  zone_out (zone);
  ck_assert (zone_share (zone, 5000) <= 0);
  zone_in (zone, 6000);
  ck_assert (zone_share (zone, 6000) < 0.2);
  zone_destroy (zone);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("zone");
  TCase *tcase = tcase_create ("zone");

  tcase_add_test (tcase, out_is_at_once_and_back_is_slow);
  tcase_add_test (tcase, saying_it_twice_changes_nothing);
  tcase_add_test (tcase, out_again_during_the_ramp);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
