/* A growing array of measured values.  All values are stored, so that
   quantiles are exact.  */

#ifndef STANDINS_SAMPLES_H
#define STANDINS_SAMPLES_H

#include <stddef.h>
#include <stdint.h>

/* Must be zero-initialised before the first use.  */
typedef struct
{
  uint64_t *values;
  size_t count;
  size_t cap; /* Number of values that the array can hold.  */
} samples_t;

void samples_add (samples_t *samples, uint64_t value);
/* Return the value at quantile Q (0 to 1); 0 if there are no values.  Sorts
   the values of SAMPLES.  */
uint64_t samples_quantile (samples_t *samples, double q);
void samples_free (samples_t *samples);

#endif
