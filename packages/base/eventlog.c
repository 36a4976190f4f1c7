#include "base/eventlog.h"

#include <poll.h>
#include <unistd.h>

enum
{
  /* A pipe that polls as writable has room for at least PIPE_BUF bytes, 4096
     on Linux, so a write of this size never blocks.  */
  WRITE_BYTES_MAX = 4096,
  BUFFERED_BYTES_MAX = 64 * 1024,
  VALUE_BYTES_MAX = 256,
  LINE_RESERVE_BYTES = 512,
  /* Longest time in the buffer.  A poll and a write in each iteration of the
     loop take a tenth of the CPU time of a busy gateway.  */
  BUFFERED_MS_MAX = 100,
  MS_PER_S = 1000
};

#define LEVEL_PREFIX_ERR "<3>"
#define LEVEL_PREFIX_WARNING "<4>"
#define LEVEL_PREFIX_NOTICE "<5>"
#define LEVEL_PREFIX_INFO "<6>"

static const log_event_info_t events[] = {
#define X(symbol, part, name, level, lines_per_s_max, sentence)               \
  { part,                                                                     \
    name,                                                                     \
    LOG_LEVEL_##level,                                                        \
    lines_per_s_max,                                                          \
    sentence,                                                                 \
    LEVEL_PREFIX_##level part ": " sentence ". event=" part "." name          \
                              " at=" },
  LOG_EVENTS (X)
#undef X
};

static const struct
{
  const char *key;
  const char *meaning;
} field_infos[] = {
#define X(symbol, key, meaning) { key, meaning },
  LOG_FIELDS (X)
#undef X
};

typedef struct
{
  uint64_t second;
  uint32_t lines;
  uint32_t dropped;
} rate_limit_t;

/* Global state, because a process has a single standard output.  */
static struct
{
  str_t process_name;
  clock_iface_t *clock;
  bool is_buffered;
  buf_t buffered;
  uint64_t buffered_since_ms; /* Time at which the oldest buffered line was
                                 logged; valid if BUFFERED is not empty.  */
  rate_limit_t rate_limits[LOG_EVENT_COUNT];
  uint64_t dropped;
} event_log;

const log_event_info_t *
log_event_info (log_event_t event)
{
  return &events[event];
}

const char *
log_field_key (log_field_name_t name)
{
  return field_infos[name].key;
}

const char *
log_field_meaning (log_field_name_t name)
{
  return field_infos[name].meaning;
}

const char *
log_reason_meaning (str_t reason)
{
#define X(name, meaning)                                                      \
  if (str_eq (reason, STR (name)))                                            \
    return meaning;
  LOG_CAUSES (X)
#undef X
  return NULL;
}

void
eventlog_set_source (str_t process_name, clock_iface_t *clock)
{
  event_log.process_name = process_name;
  event_log.clock = clock;
}

void
eventlog_set_buffered (bool is_buffered)
{
  event_log.is_buffered = is_buffered;
}

uint64_t
eventlog_dropped_lines (void)
{
  return event_log.dropped;
}

static clock_iface_t *
current_clock (void)
{
  return event_log.clock != NULL ? event_log.clock : clock_system ();
}

static bool
needs_quotes (str_t text)
{
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char)text.ptr[i] <= ' ' || text.ptr[i] == '"'
        || text.ptr[i] == '=' || text.ptr[i] == '\\')
      return true;
  return text.len == 0;
}

/* Append TEXT as a value, truncated to VALUE_BYTES_MAX and quoted if needed.
   TEXT may come from a client, and must neither split the line nor look like
   further fields.  */
static void
append_value (buf_t *out, str_t text)
{
  if (text.len > VALUE_BYTES_MAX)
    text.len = VALUE_BYTES_MAX;
  if (!needs_quotes (text))
    {
      buf_append_str (out, text);
      return;
    }
  buf_append_char (out, '"');
  buf_append_json_escaped (out, text);
  buf_append_char (out, '"');
}

/* Append the decimal form of NUMBER.  */
static void
append_number (buf_t *out, uint64_t number)
{
  char digits[20];
  size_t start = sizeof digits;

  do
    digits[--start] = (char)('0' + number % 10);
  while ((number /= 10) > 0);
  buf_append (out, digits + start, sizeof digits - start);
}

static void
append_line (buf_t *out, log_event_t event, const log_field_t *fields,
             size_t count)
{
  const log_event_info_t *info = &events[event];
  uint64_t now_ms = clock_realtime_ms (current_clock ());

  buf_reserve (out, LINE_RESERVE_BYTES);
  buf_append_str (out, str_from (info->prefix));
  append_number (out, now_ms / MS_PER_S);
  buf_append_char (out, '.');
  append_number (out, MS_PER_S + now_ms % MS_PER_S);
  /* Remove the leading digit of 1000 + ms, to keep exactly three digits.  */
  memmove (out->ptr + out->len - 4, out->ptr + out->len - 3, 3);
  out->len--;
  if (event_log.process_name.len > 0)
    {
      buf_append_str (out, STR (" by="));
      append_value (out, event_log.process_name);
    }
  for (size_t i = 0; i < count; i++)
    {
      buf_append_char (out, ' ');
      buf_append_str (out, str_from (field_infos[fields[i].name].key));
      buf_append_char (out, '=');
      if (fields[i].is_text)
        append_value (out, fields[i].text);
      else
        append_number (out, fields[i].number);
    }
  buf_append_char (out, '\n');
}

/* Log that the rate limit of DROPPED_EVENT dropped COUNT lines.  */
static void
append_dropped_count (buf_t *out, log_event_t dropped_event, uint32_t count)
{
  const log_event_info_t *info = &events[dropped_event];
  buf_t name = BUF_NULL;

  buf_printf (&name, "%s.%s", info->part, info->name);
  const log_field_t fields[] = { log_field_text (FIELD_KIND, buf_str (&name)),
                                 log_field_number (FIELD_COUNT, count) };
  append_line (out, EVENT_DROPPED, fields, 2);
  buf_free (&name);
}

/* Count a line of EVENT against its rate limit.  Return false if the line must
   be dropped.  At the start of a new second, append the count of dropped lines
   to OUT.  */
static bool
count_against_limit (log_event_t event, buf_t *out)
{
  rate_limit_t *limit = &event_log.rate_limits[event];
  uint64_t second = clock_ms (current_clock ()) / MS_PER_S;

  if (second != limit->second)
    {
      if (limit->dropped > 0)
        append_dropped_count (out, event, limit->dropped);
      *limit = (rate_limit_t){ .second = second };
    }
  if (limit->lines >= events[event].lines_per_s_max)
    {
      limit->dropped++;
      event_log.dropped++;
      return false;
    }
  limit->lines++;
  return true;
}

/* Return the number of lines in the first LEN bytes of the buffer.  */
static uint64_t
count_lines (size_t len)
{
  uint64_t lines = 0;

  for (size_t i = 0; i < len; i++)
    lines += event_log.buffered.ptr[i] == '\n';
  return lines;
}

/* Return the length of the next write: the whole lines that fit in
   WRITE_BYTES_MAX, or part of a line longer than that.  */
static size_t
next_write_len (void)
{
  size_t len = event_log.buffered.len;

  if (len <= WRITE_BYTES_MAX)
    return len;
  len = WRITE_BYTES_MAX;
  while (len > 0 && event_log.buffered.ptr[len - 1] != '\n')
    len--;
  return len > 0 ? len : WRITE_BYTES_MAX;
}

void
eventlog_flush (void)
{
  while (event_log.buffered.len > 0)
    {
      struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
      size_t len = next_write_len ();
      ssize_t written = -1;
      if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0)
        written = write (STDOUT_FILENO, event_log.buffered.ptr, len);
      if (written <= 0)
        {
          event_log.dropped += count_lines (event_log.buffered.len);
          event_log.buffered.len = 0;
          return;
        }
      buf_consume (&event_log.buffered, (size_t)written);
    }
}

void
eventlog_flush_if_due (void)
{
  if (event_log.buffered.len == 0)
    return;
  if (event_log.buffered.len >= WRITE_BYTES_MAX / 2
      || clock_ms (current_clock ()) - event_log.buffered_since_ms
             >= BUFFERED_MS_MAX)
    eventlog_flush ();
}

void
eventlog_write (log_event_t event, const log_field_t *fields, size_t count)
{
  if (!log_level_is_enabled (events[event].level))
    return;
  if (event_log.buffered.len == 0)
    event_log.buffered_since_ms = clock_ms (current_clock ());
  if (count_against_limit (event, &event_log.buffered))
    append_line (&event_log.buffered, event, fields, count);
  if (!event_log.is_buffered || event_log.buffered.len > BUFFERED_BYTES_MAX)
    eventlog_flush ();
}
