#include "points.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

void
points_add (points_t *points, double x, double y)
{
  points->x[points->count] = x;
  points->y[points->count] = y;
  points->count++;
}

/* Fit and print POINTS.  */
void
points_print (const points_t *points, const char *name, const char *unit)
{
  double n = points->count;
  double mean_x = 0;
  double mean_y = 0;
  double xx = 0;
  double xy = 0;
  double yy = 0;

  for (int i = 0; i < points->count; i++)
    {
      mean_x += points->x[i] / n;
      mean_y += points->y[i] / n;
    }
  for (int i = 0; i < points->count; i++)
    {
      double dx = points->x[i] - mean_x;
      double dy = points->y[i] - mean_y;
      xx += dx * dx;
      xy += dx * dy;
      yy += dy * dy;
    }
  double slope = xx > 0 ? xy / xx : 0;
  double r2 = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
  printf ("slope %s unit=%s intercept=%.6g slope=%.6g r2=%.3f points=%d\n",
          name, unit, mean_y - slope * mean_x, slope, r2, points->count);
  for (int i = 0; i < points->count; i++)
    printf ("point %s x=%.6g y=%.6g\n", name, points->x[i], points->y[i]);
  fflush (stdout);
}

/* Processor time of this process.  */
double
cpu_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

/* Bytes in use of the heap.  */
double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

str_t
name_of (char *buf, size_t size, const char *kind, int i)
{
  int len = snprintf (buf, size, "%s-%d", kind, i);

  return str_make (buf, (size_t)len);
}
