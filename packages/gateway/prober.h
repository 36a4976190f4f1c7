/* Connection probes, which test whether an instance still accepts TCP
   connections.

   Load pattern: an engine that has sent nothing for some time.  An engine that
   is busy with the prompts of other requests and one that lost power look the
   same to a client that waits for an event.  Moving a stream from a busy
   engine to another, equally busy engine repeats the work done so far; waiting
   for a dead engine makes the stream miss its latency objective.  A TCP
   connection distinguishes the two cases within a round trip, because the
   kernel of a running machine accepts connections even if the engine is busy.

   At most one probe of an instance is in progress at a time.  A probe sends no
   request.  */

#ifndef GATEWAY_PROBER_H
#define GATEWAY_PROBER_H

#include "base/str.h"

#include <stdbool.h>
#include <uv.h>

typedef struct prober prober_t;

typedef enum
{
  PROBE_ACCEPTED,   /* The instance accepted the connection.  */
  PROBE_REFUSED,    /* The machine runs, and nothing listens there.  */
  PROBE_NO_RESPONSE /* Neither, or not in time.  */
} probe_result_t;

/* Called with the RESULT of a probe of instance ID.  */
typedef void (*prober_cb_t) (void *arg, str_t id, probe_result_t result);

prober_t *prober_create (uv_loop_t *loop, prober_cb_t cb, void *arg);
/* Cancel the probes in progress without calling their callbacks.  PROBER may
   be NULL.  */
void prober_destroy (prober_t *prober);
/* Probe instance ID at ADDRESS (HOST:PORT, numeric).  The instance counts as
   unreachable after TIMEOUT_MS.  Does nothing while a probe of the same
   instance is in progress.  The callback runs on a later loop iteration.  */
void prober_start (prober_t *prober, str_t id, str_t address,
                   uint64_t timeout_ms);

#endif
