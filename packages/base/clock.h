/* Clock interface, so that tests can set the time instead of waiting.
   Monotonic time orders events inside one process.  Real time is used only for
   times shown to people and for leases in the platform's store.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

typedef struct clock_iface clock_iface_t;

typedef struct
{
  struct timespec (*monotonic) (clock_iface_t *clock);
  struct timespec (*realtime) (clock_iface_t *clock);
  /* Like monotonic, but also advances while the machine is suspended.  */
  struct timespec (*boottime) (clock_iface_t *clock);
} clock_ops_t;

struct clock_iface
{
  const clock_ops_t *ops;
};

/* Return the clock of the operating system, which is static.  */
clock_iface_t *clock_system (void);

/* Create a clock for tests, which changes only by clock_manual_advance_us.
   Real time starts at REALTIME_S seconds after the epoch, monotonic time at
   one second.  Release it with clock_manual_destroy.  */
clock_iface_t *clock_manual_create (int64_t realtime_s);
void clock_manual_advance_us (clock_iface_t *clock, uint64_t step_us);
void clock_manual_destroy (clock_iface_t *clock);

static inline uint64_t
timespec_us (struct timespec t)
{
  return (uint64_t)t.tv_sec * 1000000u + (uint64_t)t.tv_nsec / 1000u;
}

/* Return monotonic time in microseconds.  */
static inline uint64_t
clock_us (clock_iface_t *clock)
{
  return timespec_us (clock->ops->monotonic (clock));
}

/* Return monotonic time in milliseconds.  */
static inline uint64_t
clock_ms (clock_iface_t *clock)
{
  return clock_us (clock) / 1000u;
}

/* Return the boot time clock in milliseconds, to compute the age of cached
   state.  The monotonic clock stops while the machine is suspended, so stale
   state would appear fresh after a resume.  */
static inline uint64_t
clock_boottime_ms (clock_iface_t *clock)
{
  return timespec_us (clock->ops->boottime (clock)) / 1000u;
}

/* Return real time in milliseconds since the epoch.  */
static inline uint64_t
clock_realtime_ms (clock_iface_t *clock)
{
  return timespec_us (clock->ops->realtime (clock)) / 1000u;
}

#endif
