#include "policy/regression.h"

#include <math.h>
#include <stddef.h>

/* Weight of the assumption that a coefficient is 0, in samples.  */
static const double ridge = 1;

void
regression_add (regression_t *regression,
                const double factors[REGRESSION_FACTORS], double value)
{
  for (size_t i = 0; i < REGRESSION_FACTORS; i++)
    {
      for (size_t j = 0; j < REGRESSION_FACTORS; j++)
        regression->moments[i][j] += factors[i] * factors[j];
      regression->products[i] += factors[i] * value;
    }
}

void
regression_decay (regression_t *regression, double factor)
{
  for (size_t i = 0; i < REGRESSION_FACTORS; i++)
    {
      for (size_t j = 0; j < REGRESSION_FACTORS; j++)
        regression->moments[i][j] *= factor;
      regression->products[i] *= factor;
    }
}

double
regression_weight (const regression_t *regression)
{
  return regression->moments[0][0];
}

/* Set LOWER to the Cholesky factor of the moments with the ridge, which are
   positive definite.  */
static void
factorize (const regression_t *regression,
           double lower[REGRESSION_FACTORS][REGRESSION_FACTORS])
{
  for (size_t i = 0; i < REGRESSION_FACTORS; i++)
    for (size_t j = 0; j <= i; j++)
      {
        double sum = regression->moments[i][j] + (i == j && i > 0 ? ridge : 0);
        for (size_t k = 0; k < j; k++)
          sum -= lower[i][k] * lower[j][k];
        lower[i][j] = i == j ? sqrt (sum) : sum / lower[j][j];
      }
}

void
regression_solve (const regression_t *regression,
                  double coefficients[REGRESSION_FACTORS])
{
  double lower[REGRESSION_FACTORS][REGRESSION_FACTORS];

  factorize (regression, lower);
  for (size_t i = 0; i < REGRESSION_FACTORS; i++)
    {
      double sum = regression->products[i];
      for (size_t k = 0; k < i; k++)
        sum -= lower[i][k] * coefficients[k];
      coefficients[i] = sum / lower[i][i];
    }
  for (size_t i = REGRESSION_FACTORS; i-- > 0;)
    {
      double sum = coefficients[i];
      for (size_t k = i + 1; k < REGRESSION_FACTORS; k++)
        sum -= lower[k][i] * coefficients[k];
      coefficients[i] = sum / lower[i][i];
    }
}

double
regression_predict (const regression_t *regression,
                    const double factors[REGRESSION_FACTORS])
{
  double coefficients[REGRESSION_FACTORS] = { 0 };
  double value = 0;

  regression_solve (regression, coefficients);
  for (size_t i = 0; i < REGRESSION_FACTORS; i++)
    value += coefficients[i] * factors[i];
  return value;
}
