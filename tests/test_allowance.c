/* The bound on sends beyond the first.  */

#include "policy/allowance.h"
#include "suite.h"

/* An upstream fails every request and each is sent again where the bound
   allows: whatever the entries do, all of them together stay under ratio times
   the requests plus the fixed part, in any window.  */
START_TEST (all_entries_together_keep_the_bound)
{
  const send_budget_options_t options
      = { .ratio = 0.5, .slack = 60, .window_ms = 10000 };
  enum
  {
    ENTRIES = 6,
    SECONDS = 30,
    PER_S = 10
  };
  clock_iface_t *clock = clock_manual_create (0);
  send_budget_t *entries[ENTRIES];
  int extras = 0;

  for (int i = 0; i < ENTRIES; i++)
    {
      entries[i] = send_budget_create (clock, &options);
      send_budget_set_gateway_count (entries[i], ENTRIES);
    }
  for (int s = 0; s < SECONDS; s++)
    {
      for (int i = 0; i < ENTRIES; i++)
        for (int j = 0; j < PER_S; j++)
          {
            send_budget_count_request (entries[i]);
            while (send_budget_try_take (entries[i], 0))
              extras++;
          }
      clock_manual_advance_us (clock, 1000000);
    }
  double bound = (double)ENTRIES * PER_S * SECONDS * options.ratio
                 + options.slack * SECONDS / 10;
  ck_assert_double_le (extras, bound);
  ck_assert_double_ge (extras, bound / 2);
  for (int i = 0; i < ENTRIES; i++)
    send_budget_destroy (entries[i]);
  clock_manual_destroy (clock);
}
END_TEST

START_TEST (a_reserve_stays)
{
  const send_budget_options_t options
      = { .ratio = 0, .slack = 10, .window_ms = 10000 };
  clock_iface_t *clock = clock_manual_create (0);
  send_budget_t *allowance = send_budget_create (clock, &options);

  while (send_budget_try_take (allowance, 4))
    ;
  ck_assert_double_ge (send_budget_remaining (allowance), 4);
  ck_assert (send_budget_try_take (allowance, 0));
  clock_manual_advance_us (clock, 11000000);
  ck_assert_double_ge (send_budget_remaining (allowance), 8);
  send_budget_destroy (allowance);
  clock_manual_destroy (clock);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("allowance");
  TCase *tcase = tcase_create ("allowance");

  tcase_add_test (tcase, all_entries_together_keep_the_bound);
  tcase_add_test (tcase, a_reserve_stays);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
