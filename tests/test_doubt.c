/* When the answer of a small model is kept.  */

#include "gateway/doubt.h"
#include "suite.h"

enum
{
  OBJECTIVE_MS = 2000
};

static void
observe (doubt_t *doubt, int count, uint64_t wait_ms)
{
  for (int i = 0; i < count; i++)
    doubt_observe (doubt, wait_ms, OBJECTIVE_MS);
}

/* Half of the engines crash and callers' first events come after half of their
   objective.  Second answers of the large model would fill the rest: within a
   second's worth of answers only the least certain are still dropped, and as
   few once the engines are back.  */
START_TEST (pressed_engines_keep_doubtful_answers)
{
  doubt_t doubt = { 0 };

  observe (&doubt, 20, 130);
  ck_assert_uint_eq (doubt_bar (&doubt), DOUBT_BAR);
  observe (&doubt, 24, OBJECTIVE_MS / 2);
  ck_assert_uint_lt (doubt_bar (&doubt), DOUBT_BAR / 2);
  observe (&doubt, 40, OBJECTIVE_MS / 2);
  ck_assert_uint_eq (doubt_bar (&doubt), DOUBT_BAR_PRESSED);
  observe (&doubt, 30, 130);
  ck_assert_uint_eq (doubt_bar (&doubt), DOUBT_BAR);
}
END_TEST

/* One first event is lost with its engine and counts as very late.  That alone
   must not make callers of healthy engines take doubtful answers.  */
START_TEST (one_stray_wait_changes_little)
{
  doubt_t doubt = { 0 };

  observe (&doubt, 20, 130);
  observe (&doubt, 1, 60000);
  ck_assert_uint_gt (doubt_bar (&doubt), DOUBT_BAR - DOUBT_BAR / 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("doubt");
  TCase *tcase = tcase_create ("doubt");

  tcase_add_test (tcase, pressed_engines_keep_doubtful_answers);
  tcase_add_test (tcase, one_stray_wait_changes_little);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
