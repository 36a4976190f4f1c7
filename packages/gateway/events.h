/* Takes an event stream apart, so that only whole events in order go to the
   caller.  An upstream may end in the middle of an event, and the one that
   goes on repeats or skips none only if somebody checks.  */

#ifndef GATEWAY_EVENTS_H
#define GATEWAY_EVENTS_H

#include "base/code.h"
#include "base/str.h"

enum
{
  EVENT_BYTES_MAX = 1 << 20
};

typedef struct
{
  buf_t rest;       /* The beginning of an event.  */
  uint64_t last_id; /* Of the last whole event.  */
  bool has_last;
} events_t;

/* Append the whole events that BYTES complete to OUT, and count them in
   *COUNT.  An event whose id was passed on already is left out.  Return
   VH_E_PROTOCOL when one is missing, or an event is larger than the bound.  */
vh_code_t events_take (events_t *events, str_t bytes, buf_t *out,
                       size_t *count);
/* Forget the beginning of an event, before another upstream goes on.  */
void events_restart (events_t *events);
/* Tell whether the stream stands between two events.  */
bool events_at_border (const events_t *events);
void events_free (events_t *events);

#endif
