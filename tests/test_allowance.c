/* Tests of the budget for extra sends.  */

#include "policy/sendbudget.h"
#include "suite.h"

/* An upstream fails every request, and each request is sent again if the
   budget allows.  All gateways together must stay within ratio times the
   requests plus the fixed number of extra sends for each window.  */
START_TEST (gateways_together_stay_within_the_budget)
{
  const send_budget_options_t options
      = { .ratio = 0.5, .slack = 60, .window_ms = 10000 };
  enum
  {
    GATEWAYS = 6,
    SECONDS = 30,
    REQUESTS_PER_S = 10
  };
  clock_iface_t *clock = clock_manual_create (0);
  send_budget_t *gateways[GATEWAYS];
  int extra_sends = 0;

  for (int i = 0; i < GATEWAYS; i++)
    {
      gateways[i] = send_budget_create (clock, &options);
      send_budget_set_gateway_count (gateways[i], GATEWAYS);
    }
  for (int s = 0; s < SECONDS; s++)
    {
      for (int i = 0; i < GATEWAYS; i++)
        for (int j = 0; j < REQUESTS_PER_S; j++)
          {
            send_budget_count_request (gateways[i]);
            while (send_budget_try_take (gateways[i], 0))
              extra_sends++;
          }
      clock_manual_advance_us (clock, 1000000);
    }
  double bound = (double)GATEWAYS * REQUESTS_PER_S * SECONDS * options.ratio
                 + options.slack * SECONDS / 10;
  ck_assert_double_le (extra_sends, bound);
  ck_assert_double_ge (extra_sends, bound / 2);
  for (int i = 0; i < GATEWAYS; i++)
    send_budget_destroy (gateways[i]);
  clock_manual_destroy (clock);
}
END_TEST

START_TEST (reserve_is_kept)
{
  const send_budget_options_t options
      = { .ratio = 0, .slack = 10, .window_ms = 10000 };
  clock_iface_t *clock = clock_manual_create (0);
  send_budget_t *send_budget = send_budget_create (clock, &options);

  while (send_budget_try_take (send_budget, 4))
    ;
  ck_assert_double_ge (send_budget_remaining (send_budget), 4);
  ck_assert (send_budget_try_take (send_budget, 0));
  clock_manual_advance_us (clock, 11000000);
  ck_assert_double_ge (send_budget_remaining (send_budget), 8);
  send_budget_destroy (send_budget);
  clock_manual_destroy (clock);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("allowance");
  TCase *tcase = tcase_create ("allowance");

  tcase_add_test (tcase, gateways_together_stay_within_the_budget);
  tcase_add_test (tcase, reserve_is_kept);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
