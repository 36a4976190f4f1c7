/* Linear regression of a value on several factors, in which older samples have
   less weight.

   A ridge on all factors but the first, which is always 1, keeps the
   coefficients of factors with few samples near 0 (Hoerl and Kennard, Ridge
   Regression, 1970).  A factor should therefore be near 0 where nothing is
   known of it.  */

#ifndef POLICY_REGRESSION_H
#define POLICY_REGRESSION_H

enum
{
  REGRESSION_FACTORS = 7
};

/* Sums over samples, all 0 at first.  */
typedef struct
{
  double moments[REGRESSION_FACTORS][REGRESSION_FACTORS];
  double products[REGRESSION_FACTORS];
} regression_t;

/* Add a sample of VALUE at FACTORS.  */
void regression_add (regression_t *regression,
                     const double factors[REGRESSION_FACTORS], double value);
/* Multiply the weight of all samples by FACTOR.  */
void regression_decay (regression_t *regression, double factor);
/* Return the total weight of the samples.  */
double regression_weight (const regression_t *regression);
/* Set COEFFICIENTS to those of the factors.  The total weight must be above
   0.  */
void regression_solve (const regression_t *regression,
                       double coefficients[REGRESSION_FACTORS]);
/* Return the expected value at FACTORS.  The total weight must be above
   0.  */
double regression_predict (const regression_t *regression,
                           const double factors[REGRESSION_FACTORS]);

#endif
