/* Time for which callbacks keep an event loop busy.  Signals, timeouts and
   requests that arrive meanwhile are noticed only afterwards.

   The work of an iteration is the time from the end of one wait for events to
   the begin of the next.  Functions that may take long mark their work with
   loop_work_begin and loop_work_end, so that the log names what ran in an
   iteration over LOOP_WATCH_BOUND_MS.  */

#ifndef BASE_LOOP_WATCH_H
#define BASE_LOOP_WATCH_H

#include "base/metric.h"

#include <uv.h>

enum
{
  /* Work of one iteration that is logged if it is exceeded.  */
  LOOP_WATCH_BOUND_MS = 50
};

/* Name and help of the histogram in the metrics of a process.  */
#define LOOP_WATCH_METRIC "vanillahook_loop_busy_seconds"
#define LOOP_WATCH_HELP "Work of one iteration of the event loop."

/* X (symbol, name): kinds of work that are marked.  */
#define LOOP_WORK(X)                                                          \
  X (LOOP_WORK_OTHER, "other")                                                \
  X (LOOP_WORK_CONFIG, "config")                                              \
  X (LOOP_WORK_CONFIG_FREE, "config-free")                                    \
  X (LOOP_WORK_STORE_REPLY, "store-reply")                                    \
  X (LOOP_WORK_ROWS, "rows")                                                  \
  X (LOOP_WORK_PEERS, "peers")                                                \
  X (LOOP_WORK_PACK, "pack")                                                  \
  X (LOOP_WORK_UNPACK, "unpack")                                              \
  X (LOOP_WORK_TICK, "tick")

typedef enum
{
#define X(symbol, name) symbol,
  LOOP_WORK (X)
#undef X
      LOOP_WORK_COUNT
} loop_work_t;

typedef struct loop_watch loop_watch_t;

/* Measure the iterations of LOOP, which this thread runs, and record each in
   HISTOGRAM, to the ms; both are borrowed.  If the thread runs several loops
   that are watched, the marks count for the last.  */
loop_watch_t *loop_watch_create (uv_loop_t *loop, histogram_t *histogram);
/* Release WATCH, which may be NULL, when its loop has closed its handles.  */
void loop_watch_destroy (loop_watch_t *watch);

/* Attribute the time from now on to WORK.  Return the kind to which it was
   attributed before, for loop_work_end.  Does nothing on a thread without a
   watched loop.  */
loop_work_t loop_work_begin (loop_work_t work);
void loop_work_end (loop_work_t outer);

#endif
