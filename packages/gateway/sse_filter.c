#include "gateway/sse_filter.h"

/* Return the length of the first complete event in BYTES, including the empty
   line that ends it; 0 if there is none.  */
static size_t
first_event_length (str_t bytes)
{
  size_t line_len = 0; /* Length of the current line without its line end.  */

  for (size_t i = 0; i < bytes.len; i++)
    {
      if (bytes.ptr[i] == '\r')
        continue;
      if (bytes.ptr[i] != '\n')
        line_len++;
      else if (line_len == 0)
        return i + 1;
      else
        line_len = 0;
    }
  return 0;
}

/* Set *ID to the id of EVENT.  Return false if EVENT has no numeric id.  */
static bool
event_id (str_t event, uint64_t *id)
{
  bool found = false;

  while (event.ptr != NULL && event.len > 0)
    {
      str_t line = str_cut (event, '\n', &event);
      if (str_starts_with (line, STR ("id:")))
        found = str_to_u64 (str_trim (str_make (line.ptr + 3, line.len - 3)),
                            id);
    }
  return found;
}

/* Append the complete EVENT to OUT unless its id was already passed.  */
static vh_code_t
pass_event (sse_filter_t *filter, str_t event, buf_t *out, size_t *count)
{
  uint64_t id;

  if (event_id (event, &id))
    {
      if (filter->has_last_id && id <= filter->last_id)
        return VH_OK;
      if (filter->has_last_id && id != filter->last_id + 1)
        return VH_E_PROTOCOL;
      filter->has_last_id = true;
      filter->last_id = id;
    }
  buf_append_str (out, event);
  (*count)++;
  return VH_OK;
}

vh_code_t
sse_filter_feed (sse_filter_t *filter, str_t bytes, buf_t *out, size_t *count)
{
  size_t offset = 0;
  vh_code_t code = VH_OK;

  buf_append_str (&filter->partial, bytes);
  for (;;)
    {
      str_t unread = str_make (filter->partial.ptr + offset,
                               filter->partial.len - offset);
      size_t len = first_event_length (unread);
      if (len == 0 || code != VH_OK)
        break;
      code = pass_event (filter, str_make (unread.ptr, len), out, count);
      offset += len;
    }
  buf_consume (&filter->partial, offset);
  if (code == VH_OK && filter->partial.len > SSE_EVENT_BYTES_MAX)
    code = VH_E_PROTOCOL;
  return code;
}

void
sse_filter_discard_partial (sse_filter_t *filter)
{
  filter->partial.len = 0;
}

bool
sse_filter_at_boundary (const sse_filter_t *filter)
{
  return filter->partial.len == 0;
}

void
sse_filter_free (sse_filter_t *filter)
{
  buf_free (&filter->partial);
}
