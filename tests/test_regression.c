/* Regression on samples whose relation is known.  */

#include "policy/regression.h"
#include "suite.h"

#include "base/rng.h"

#include <math.h>

enum
{
  SAMPLES = 400
};

/* Fill FACTORS with 1, two values between -1 and 1, and 0.  */
static void
draw_factors (rng_t *rng, double factors[REGRESSION_FACTORS])
{
  for (size_t i = 0; i < REGRESSION_FACTORS; i++)
    factors[i] = i == 0 ? 1 : i <= 2 ? 2 * rng_double (rng) - 1 : 0;
}

static double
known_value (const double *factors)
{
  return 3 + 2 * factors[1] - factors[2];
}

START_TEST (prediction_is_wrong)
{
  regression_t regression = { 0 };
  rng_t rng = rng_make (1);
  double factors[REGRESSION_FACTORS];

  for (int i = 0; i < SAMPLES; i++)
    {
      draw_factors (&rng, factors);
      regression_add (&regression, factors,
                      known_value (factors) + rng_double (&rng) - 0.5);
    }
  ck_assert_double_eq_tol (regression_weight (&regression), SAMPLES, 1e-9);
  for (int i = 0; i < SAMPLES; i++)
    {
      draw_factors (&rng, factors);
      ck_assert_double_eq_tol (regression_predict (&regression, factors),
                               known_value (factors), 0.2);
    }
}
END_TEST

/* With a single sample nothing is known of any factor; a coefficient without
   a bound would make every other prediction arbitrary.  */
START_TEST (factor_without_samples_changes_the_prediction)
{
  const double known[REGRESSION_FACTORS] = { 1 };
  const double unknown[REGRESSION_FACTORS] = { 1, 5, -5, 5, 5, 5, 5 };
  regression_t regression = { 0 };

  regression_add (&regression, known, 4);
  ck_assert_double_eq_tol (regression_predict (&regression, known), 4, 1e-9);
  ck_assert_double_eq_tol (regression_predict (&regression, unknown), 4, 1e-9);
}
END_TEST

/* A relation that has changed would be predicted as before for ever.  */
START_TEST (old_samples_keep_their_weight)
{
  const double factors[REGRESSION_FACTORS] = { 1 };
  regression_t regression = { 0 };

  for (int second = 0; second < 200; second++)
    {
      regression_add (&regression, factors, second < 100 ? 1 : 2);
      regression_decay (&regression, 0.9);
    }
  ck_assert_double_lt (regression_weight (&regression), 10);
  ck_assert_double_eq_tol (regression_predict (&regression, factors), 2, 0.01);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("regression");
  TCase *tcase = tcase_create ("regression");

  tcase_add_test (tcase, prediction_is_wrong);
  tcase_add_test (tcase, factor_without_samples_changes_the_prediction);
  tcase_add_test (tcase, old_samples_keep_their_weight);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
