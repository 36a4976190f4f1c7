/* Points of a measurement, the straight line through them, and what is
   measured.  */

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
/* Fit a straight line of least squares and print it and the points.  */
void points_print (const points_t *points, const char *name, const char *unit);
/* Processor time of this process.  */
double cpu_ns (void);
/* Bytes in use of the heap.  */
double heap_bytes (void);
/* Write KIND-I into BUF.  */
str_t name_of (char *buf, size_t size, const char *kind, int i);

#endif
