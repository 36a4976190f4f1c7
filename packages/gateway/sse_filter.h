/* Filter for a stream of server-sent events.  It passes only complete events,
   drops events whose id is not higher than that of the last event, and detects
   a gap in the ids.

   An upstream may fail in the middle of an event, and the upstream that
   resumes the stream may repeat or skip events.  */

#ifndef GATEWAY_SSE_FILTER_H
#define GATEWAY_SSE_FILTER_H

#include "base/code.h"
#include "base/str.h"

enum
{
  SSE_EVENT_BYTES_MAX = 1 << 20
};

typedef struct
{
  buf_t partial;    /* Bytes of an event that is not complete yet.  */
  uint64_t last_id; /* Id of the last complete event.  */
  bool has_last_id;
} sse_filter_t;

/* Feed BYTES to FILTER.  Append the events that are now complete and new to
   OUT and add their number to *COUNT.  Return VH_E_PROTOCOL if the event ids
   have a gap or an event is larger than SSE_EVENT_BYTES_MAX.  */
vh_code_t sse_filter_feed (sse_filter_t *filter, str_t bytes, buf_t *out,
                           size_t *count);
/* Discard an incomplete event, before another upstream resumes the stream.  */
void sse_filter_discard_partial (sse_filter_t *filter);
/* Return whether the bytes received so far end with a complete event.  */
bool sse_filter_at_boundary (const sse_filter_t *filter);
void sse_filter_free (sse_filter_t *filter);

#endif
