/* Points of a measurement, a straight line fitted to them, and the processor
   time and memory that benchmarks measure.  */

#ifndef BENCH_POINTS_H
#define BENCH_POINTS_H

#include "base/str.h"

enum
{
  POINTS_MAX = 64
};

typedef struct
{
  double x[POINTS_MAX];
  double y[POINTS_MAX];
  int count;
} points_t;

void points_add (points_t *points, double x, double y);
/* Fit a straight line to POINTS by least squares; print the line and the
   points under NAME.  UNIT is that of the slope, as "ns/team".  */
void points_print_fit (const points_t *points, const char *name,
                       const char *unit);
/* Return the processor time that this process has used, in ns.  */
double cpu_time_ns (void);
/* Return the number of bytes allocated on the heap and in separate
   mappings.  */
double heap_used_bytes (void);
/* Write "KIND-I" into BUF, of SIZE bytes, and return a reference to it.  */
str_t format_name (char *buf, size_t size, const char *kind, int i);

#endif
