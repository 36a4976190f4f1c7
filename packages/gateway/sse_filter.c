#include "gateway/sse_filter.h"

enum
{
  /* Size up to which the buffer of incomplete events stays allocated although
     most of it is unused, so that usual events need no allocation.  */
  PARTIAL_BYTES_KEPT = 4096
};

/* Shrink the buffer of incomplete events if most of it is unused, as after a
   read of many events.  */
static void
shrink_partial (sse_filter_t *filter)
{
  buf_t rest = BUF_NULL;

  if (filter->partial.cap <= PARTIAL_BYTES_KEPT
      || filter->partial.len > filter->partial.cap / 4)
    return;
  if (filter->partial.len > 0)
    buf_append_str (&rest, buf_str (&filter->partial));
  buf_free (&filter->partial);
  filter->partial = rest;
}

/* Return the length of the first complete event in the partial bytes of FILTER
   from OFFSET on, including the empty line that ends it; 0 if there is none.
   Bytes that were scanned before are not scanned again.  */
static size_t
first_event_length (sse_filter_t *filter, size_t offset)
{
  const buf_t *bytes = &filter->partial;

  for (size_t i = filter->scanned; i < bytes->len; i++)
    {
      if (bytes->ptr[i] == '\r')
        continue;
      if (bytes->ptr[i] != '\n')
        filter->line_len++;
      else if (filter->line_len == 0)
        {
          filter->scanned = i + 1;
          return i + 1 - offset;
        }
      else
        filter->line_len = 0;
    }
  filter->scanned = bytes->len;
  return 0;
}

/* Return whether BLOCK, which ends with an empty line, is an event.  */
static bool
is_event (str_t block)
{
  /* A stream may begin with a byte order mark.  */
  if (str_starts_with (block, STR ("\xef\xbb\xbf")))
    block = str_make (block.ptr + 3, block.len - 3);
  while (block.ptr != NULL && block.len > 0)
    {
      str_t line = str_cut (block, '\n', &block);
      if (str_starts_with (line, STR ("data:"))
          || str_starts_with (line, STR ("id:"))
          || str_eq (str_trim (line), STR ("data")))
        return true;
    }
  return false;
}

/* Set *ID to the id of EVENT.  Return false if EVENT has no numeric id.  */
static bool
parse_event_id (str_t event, uint64_t *id)
{
  bool has_id = false;

  while (event.ptr != NULL && event.len > 0)
    {
      str_t line = str_cut (event, '\n', &event);
      if (str_starts_with (line, STR ("id:")))
        has_id = str_to_u64 (str_trim (str_make (line.ptr + 3, line.len - 3)),
                             id);
    }
  return has_id;
}

/* Append the complete EVENT to OUT and count it, unless its id was already
   passed.  */
static vh_code_t
append_new_event (sse_filter_t *filter, str_t event, buf_t *out, size_t *count)
{
  uint64_t id;

  if (parse_event_id (event, &id))
    {
      if (filter->has_last_id && id <= filter->last_id)
        return VH_OK;
      if (filter->has_last_id && id != filter->last_id + 1)
        return VH_E_PROTOCOL;
      filter->has_last_id = true;
      filter->last_id = id;
    }
  buf_append_str (out, event);
  *count += 1 + filter->comment_count;
  filter->comment_bytes = 0;
  filter->comment_count = 0;
  return VH_OK;
}

/* Append COMMENT, which is no event, to OUT.  */
static vh_code_t
append_comment (sse_filter_t *filter, str_t comment, buf_t *out)
{
  filter->comment_bytes += comment.len;
  filter->comment_count++;
  if (filter->comment_bytes > SSE_COMMENT_BYTES_MAX)
    {
      filter->is_too_large = true;
      return VH_E_PROTOCOL;
    }
  buf_append_str (out, comment);
  return VH_OK;
}

vh_code_t
sse_filter_feed (sse_filter_t *filter, str_t bytes, buf_t *out, size_t *count)
{
  size_t offset = 0;
  size_t len;
  vh_code_t code = VH_OK;

  buf_append_str (&filter->partial, bytes);
  while (code == VH_OK && (len = first_event_length (filter, offset)) > 0)
    {
      str_t block = str_make (filter->partial.ptr + offset, len);
      code = is_event (block) ? append_new_event (filter, block, out, count)
                              : append_comment (filter, block, out);
      offset += len;
    }
  buf_consume (&filter->partial, offset);
  filter->scanned -= offset;
  shrink_partial (filter);
  if (code == VH_OK && filter->partial.len > SSE_EVENT_BYTES_MAX)
    {
      filter->is_too_large = true;
      code = VH_E_PROTOCOL;
    }
  return code;
}

void
sse_filter_discard_partial (sse_filter_t *filter)
{
  buf_free (&filter->partial);
  filter->scanned = 0;
  filter->line_len = 0;
  filter->comment_bytes = 0;
  filter->comment_count = 0;
  filter->is_too_large = false;
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
