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

void
points_print_fit (const points_t *points, const char *name, const char *unit)
{
  double n = points->count;
  double mean_x = 0;
  double mean_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double sum_yy = 0;

  for (int i = 0; i < points->count; i++)
    {
      mean_x += points->x[i] / n;
      mean_y += points->y[i] / n;
    }
  for (int i = 0; i < points->count; i++)
    {
      double dx = points->x[i] - mean_x;
      double dy = points->y[i] - mean_y;
      sum_xx += dx * dx;
      sum_xy += dx * dy;
      sum_yy += dy * dy;
    }
  double slope = sum_xx > 0 ? sum_xy / sum_xx : 0;
  double r2
      = sum_xx > 0 && sum_yy > 0 ? sum_xy * sum_xy / (sum_xx * sum_yy) : 1;
  printf ("slope %s unit=%s intercept=%.6g slope=%.6g r2=%.3f points=%d\n",
          name, unit, mean_y - slope * mean_x, slope, r2, points->count);
  for (int i = 0; i < points->count; i++)
    printf ("point %s x=%.6g y=%.6g\n", name, points->x[i], points->y[i]);
  fflush (stdout);
}

double
cpu_time_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

double
heap_used_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

str_t
format_name (char *buf, size_t size, const char *kind, int i)
{
  int len = snprintf (buf, size, "%s-%d", kind, i);

  return str_make (buf, (size_t)len);
}
