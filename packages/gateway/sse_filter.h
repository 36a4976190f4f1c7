/* Filter for a stream of server-sent events.  It passes only complete events,
   drops events whose id is not higher than that of the last event, and detects
   a gap in the ids.

   An event has a line of data or an id.  Anything else that ends with an empty
   line, such as a comment that keeps the connection alive, is passed at once,
   but counted only with the event after it, so that a stream without events
   has none.

   An upstream may fail in the middle of an event, and the upstream that
   resumes the stream may repeat or skip events.  */

#ifndef GATEWAY_SSE_FILTER_H
#define GATEWAY_SSE_FILTER_H

#include "base/code.h"
#include "base/str.h"

enum
{
  SSE_EVENT_BYTES_MAX = 1 << 20,
  /* Limit of the bytes between two events that belong to none.  Comments that
     keep a connection alive have a few bytes each.  */
  SSE_COMMENT_BYTES_MAX = 65536
};

typedef struct
{
  buf_t partial;        /* Bytes of an event that is not complete yet.  */
  size_t scanned;       /* Bytes of PARTIAL known not to end the event.  */
  size_t line_len;      /* Length of the line that they end with.  */
  size_t comment_bytes; /* Bytes passed since the last event that belong to
                           none.  */
  size_t comment_count; /* Comments that they are, not counted yet.  */
  bool is_too_large;    /* The last error was one of size.  */
  uint64_t last_id;     /* Id of the last complete event.  */
  bool has_last_id;
} sse_filter_t;

/* Feed BYTES to FILTER.  Append the events that are now complete and new, and
   what is between them, to OUT and add their number to *COUNT, which changes
   only with an event.  Return VH_E_PROTOCOL if the event ids have a gap, an
   event is larger than SSE_EVENT_BYTES_MAX or more than SSE_COMMENT_BYTES_MAX
   are between two events; the last two set FILTER->is_too_large.  FILTER holds
   at most SSE_EVENT_BYTES_MAX and BYTES.  */
vh_code_t sse_filter_feed (sse_filter_t *filter, str_t bytes, buf_t *out,
                           size_t *count);
/* Discard an incomplete event, before another upstream resumes the stream.  */
void sse_filter_discard_partial (sse_filter_t *filter);
/* Return whether the bytes received so far end with a complete event.  */
bool sse_filter_at_boundary (const sse_filter_t *filter);
void sse_filter_free (sse_filter_t *filter);

#endif
