#include "base/clock.h"

#include "base/mem.h"

#include <stdlib.h>

static struct timespec
read_clock (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return now;
}

static struct timespec
system_monotonic (clock_iface_t *clock)
{
  (void)clock;
  return read_clock (CLOCK_MONOTONIC);
}

static struct timespec
system_realtime (clock_iface_t *clock)
{
  (void)clock;
  return read_clock (CLOCK_REALTIME);
}

static struct timespec
system_boottime (clock_iface_t *clock)
{
  (void)clock;
  return read_clock (CLOCK_BOOTTIME);
}

static const clock_ops_t system_ops
    = { system_monotonic, system_realtime, system_boottime };

clock_iface_t *
clock_system (void)
{
  static clock_iface_t clock = { &system_ops };

  return &clock;
}

typedef struct
{
  clock_iface_t base;
  uint64_t elapsed_us;
  int64_t realtime_s;
} manual_clock_t;

static struct timespec
timespec_from_us (int64_t offset_s, uint64_t us)
{
  struct timespec t = { .tv_sec = offset_s + (int64_t)(us / 1000000u),
                        .tv_nsec = (long)(us % 1000000u) * 1000 };

  return t;
}

static struct timespec
manual_monotonic (clock_iface_t *clock)
{
  return timespec_from_us (1, ((manual_clock_t *)clock)->elapsed_us);
}

static struct timespec
manual_realtime (clock_iface_t *clock)
{
  manual_clock_t *manual_clock = (manual_clock_t *)clock;

  return timespec_from_us (manual_clock->realtime_s, manual_clock->elapsed_us);
}

static const clock_ops_t manual_ops
    = { manual_monotonic, manual_realtime, manual_monotonic };

clock_iface_t *
clock_manual_create (int64_t realtime_s)
{
  manual_clock_t *manual_clock = mem_zalloc (sizeof *manual_clock);

  manual_clock->base.ops = &manual_ops;
  manual_clock->realtime_s = realtime_s;
  return &manual_clock->base;
}

void
clock_manual_advance_us (clock_iface_t *clock, uint64_t step_us)
{
  ((manual_clock_t *)clock)->elapsed_us += step_us;
}

void
clock_manual_destroy (clock_iface_t *clock)
{
  free (clock);
}
