#include "gateway/events.h"

/* Return the length of the first whole event of BYTES with the empty line
   that ends it, or 0.  */
static size_t
event_length (str_t bytes)
{
  size_t line = 0; /* Length of the present line without its end.  */

  for (size_t i = 0; i < bytes.len; i++)
    {
      if (bytes.ptr[i] == '\r')
        continue;
      if (bytes.ptr[i] != '\n')
        line++;
      else if (line == 0)
        return i + 1;
      else
        line = 0;
    }
  return 0;
}

/* Find the id of EVENT.  Return false when it has none that is a number.  */
static bool
event_id (str_t event, uint64_t *id)
{
  bool found = false;

  while (event.ptr != NULL && event.len > 0)
    {
      str_t line = str_cut (event, '\n', &event);
      if (str_starts (line, STR ("id:")))
        found = str_to_u64 (str_trim (str_make (line.ptr + 3, line.len - 3)),
                            id);
    }
  return found;
}

/* Take one whole EVENT.  */
static vh_code_t
take_one (events_t *events, str_t event, buf_t *out, size_t *count)
{
  uint64_t id;

  if (event_id (event, &id))
    {
      if (events->has_last && id <= events->last_id)
        return VH_OK;
      if (events->has_last && id != events->last_id + 1)
        return VH_E_PROTOCOL;
      events->has_last = true;
      events->last_id = id;
    }
  buf_append_str (out, event);
  (*count)++;
  return VH_OK;
}

vh_code_t
events_take (events_t *events, str_t bytes, buf_t *out, size_t *count)
{
  size_t at = 0;
  vh_code_t code = VH_OK;

  buf_append_str (&events->rest, bytes);
  for (;;)
    {
      str_t left = str_make (events->rest.ptr + at, events->rest.len - at);
      size_t len = event_length (left);
      if (len == 0 || code != VH_OK)
        break;
      code = take_one (events, str_make (left.ptr, len), out, count);
      at += len;
    }
  buf_consume (&events->rest, at);
  if (code == VH_OK && events->rest.len > EVENT_BYTES_MAX)
    code = VH_E_PROTOCOL;
  return code;
}

void
events_restart (events_t *events)
{
  events->rest.len = 0;
}

bool
events_at_border (const events_t *events)
{
  return events->rest.len == 0;
}

void
events_free (events_t *events)
{
  buf_free (&events->rest);
}
