/* Looks whether an instance still takes connections.

   Answers: an engine that has said nothing for a while.  A full one, between
   the prompts of others, and one that lost its power look the same to whoever
   waits for an event.  To give up a full one costs the work it has done, done
   again by engines that are as full; to wait for a dead one costs its streams
   their objective.  A connection tells them apart within a round trip: the
   kernel of a living machine takes it however busy the engine is.

   One look at an instance is under way at a time; it carries no request.  */

#ifndef GATEWAY_REACH_H
#define GATEWAY_REACH_H

#include "base/str.h"

#include <stdbool.h>
#include <uv.h>

typedef struct reach reach_t;

/* The instance ID takes connections, or not.  */
typedef void (*reach_cb_t) (void *arg, str_t id, bool reached);

reach_t *reach_create (uv_loop_t *loop, reach_cb_t cb, void *arg);
/* Drop what is under way without its callbacks; NULL is accepted.  */
void reach_destroy (reach_t *reach);
/* Look at instance ID at ADDRESS (HOST:PORT, numeric), which counts as out of
   reach after TIMEOUT_MS.  Nothing happens while a look at it is under way.
   The callback comes on a later turn.  */
void reach_look (reach_t *reach, str_t id, str_t address, uint64_t timeout_ms);

#endif
