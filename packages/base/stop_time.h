/* Time of a signal to stop a process.  It is delivered late to a process that
   gets no processor time; see stop_signal.h.  */

#ifndef BASE_STOP_TIME_H
#define BASE_STOP_TIME_H

#include "base/clock.h"

/* In ms of the monotonic clock.  */
typedef struct
{
  uint64_t earliest_ms;  /* The signal was not sent before.  */
  uint64_t delivered_ms; /* Time of its delivery.  */
} stop_time_t;

/* Return the time of a stop that begins now.  */
static inline stop_time_t
stop_time_now (clock_iface_t *clock)
{
  uint64_t now_ms = clock_ms (clock);

  return (stop_time_t){ .earliest_ms = now_ms, .delivered_ms = now_ms };
}

#endif
