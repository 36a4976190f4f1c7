/* The bound on sends beyond the first.  */

#include "policy/allowance.h"
#include "suite.h"

/* An upstream fails every request and each is sent again where the bound
   allows: whatever the entries do, all of them together stay under ratio times
   the requests plus the fixed part, in any window.  */
START_TEST (all_entries_together_keep_the_bound)
{
  const allowance_options_t options
      = { .ratio = 0.5, .slack = 60, .window_ms = 10000 };
  enum
  {
    ENTRIES = 6,
    SECONDS = 30,
    PER_S = 10
  };
  clock_iface_t *clock = clock_manual_create (0);
  allowance_t *entries[ENTRIES];
  int extras = 0;

  for (int i = 0; i < ENTRIES; i++)
    {
      entries[i] = allowance_create (clock, &options);
      allowance_set_entries (entries[i], ENTRIES);
    }
  for (int s = 0; s < SECONDS; s++)
    {
      for (int i = 0; i < ENTRIES; i++)
        for (int j = 0; j < PER_S; j++)
          {
            allowance_request (entries[i]);
            while (allowance_take (entries[i], 0))
              extras++;
          }
      clock_manual_advance_us (clock, 1000000);
    }
  double bound = (double)ENTRIES * PER_S * SECONDS * options.ratio
                 + options.slack * SECONDS / 10;
  ck_assert_double_le (extras, bound);
  ck_assert_double_ge (extras, bound / 2);
  for (int i = 0; i < ENTRIES; i++)
    allowance_destroy (entries[i]);
  clock_manual_destroy (clock);
}
END_TEST

START_TEST (a_reserve_stays)
{
  const allowance_options_t options
      = { .ratio = 0, .slack = 10, .window_ms = 10000 };
  clock_iface_t *clock = clock_manual_create (0);
  allowance_t *allowance = allowance_create (clock, &options);

  while (allowance_take (allowance, 4))
    ;
  ck_assert_double_ge (allowance_left (allowance), 4);
  ck_assert (allowance_take (allowance, 0));
  clock_manual_advance_us (clock, 11000000);
  ck_assert_double_ge (allowance_left (allowance), 8);
  allowance_destroy (allowance);
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
