/* Signals to stop a process, SIGTERM and SIGINT.

   An event loop handles a signal after the callbacks that run when it is
   delivered, and after those of other events that are ready then.  What counts
   from the signal, as the time until the platform kills the process, counts
   from its delivery instead, which a signal handler notes.

   A process that gets no processor time is delivered a signal late as well.
   A wait for events ends with the signal, so the signal was not sent before
   the last wait began.  */

#ifndef BASE_STOP_SIGNAL_H
#define BASE_STOP_SIGNAL_H

#include "base/stop_time.h"

#include <uv.h>

typedef struct stop_signal stop_signal_t;

typedef void (*stop_signal_cb_t) (void *arg, const stop_time_t *time);

/* Call CB with ARG on LOOP, once, after the first signal to stop that is
   delivered from now on, also one that is delivered before the loop runs.
   Later signals have no effect.  CLOCK, which is borrowed, is read in a signal
   handler.  Only one exists in a process at a time.  */
stop_signal_t *stop_signal_create (uv_loop_t *loop, clock_iface_t *clock,
                                   stop_signal_cb_t cb, void *arg);
/* Restore the former actions of the signals.  STOP, which may be NULL, is
   released when its loop has closed its handles.  */
void stop_signal_destroy (stop_signal_t *stop);

#endif
