/* The clock as an interface, so that decisions can be tested without
   waiting.  Monotonic time orders events inside one process; real time is
   only for what people read and for leases kept in the platform's table.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

typedef struct clock_iface clock_iface_t;

typedef struct
{
  struct timespec (*monotonic) (clock_iface_t *clock);
  struct timespec (*realtime) (clock_iface_t *clock);
  /* As monotonic, but counts while the machine is suspended.  */
  struct timespec (*boottime) (clock_iface_t *clock);
} clock_ops_t;

struct clock_iface
{
  const clock_ops_t *ops;
};

/* The operating system's clock; never released.  */
clock_iface_t *clock_system (void);

/* A clock that stands still until it is moved, for tests.  Real time starts
   at REALTIME_S seconds after the epoch, monotonic time at one second.  */
clock_iface_t *clock_manual_create (int64_t realtime_s);
void clock_manual_advance_us (clock_iface_t *clock, uint64_t step_us);
void clock_manual_destroy (clock_iface_t *clock);

static inline uint64_t
timespec_us (struct timespec t)
{
  return (uint64_t)t.tv_sec * 1000000u + (uint64_t)t.tv_nsec / 1000u;
}

/* Monotonic microseconds.  */
static inline uint64_t
clock_us (clock_iface_t *clock)
{
  return timespec_us (clock->ops->monotonic (clock));
}

/* Monotonic milliseconds.  */
static inline uint64_t
clock_ms (clock_iface_t *clock)
{
  return clock_us (clock) / 1000u;
}

/* Milliseconds for the age of a belief: a suspended machine's monotonic clock
   stands still, and what it knew would look fresh when it wakes.  */
static inline uint64_t
clock_boottime_ms (clock_iface_t *clock)
{
  return timespec_us (clock->ops->boottime (clock)) / 1000u;
}

/* Milliseconds since the epoch.  */
static inline uint64_t
clock_realtime_ms (clock_iface_t *clock)
{
  return timespec_us (clock->ops->realtime (clock)) / 1000u;
}

#endif
