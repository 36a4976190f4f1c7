#include "base/eventlog.h"

#include <poll.h>
#include <unistd.h>

enum
{
  /* A pipe that polls writable has room for at least so much (PIPE_BUF of
     Linux), so a write of no more never blocks.  */
  WRITE_BYTES_MAX = 4096,
  HELD_BYTES_MAX = 64 * 1024,
  TEXT_BYTES_MAX = 256,
  LINE_BYTES = 512,
  /* Lines wait for others so long: a poll and a write for each turn of the
     loop cost a tenth of a busy entry's time.  */
  HOLD_MS = 100,
  MS_PER_S = 1000
};

#define LEVEL_TEXT_ERR "<3>"
#define LEVEL_TEXT_WARNING "<4>"
#define LEVEL_TEXT_NOTICE "<5>"
#define LEVEL_TEXT_INFO "<6>"

static const log_event_info_t events[] = {
#define X(symbol, part, name, level, budget, sentence)                        \
  { part,                                                                     \
    name,                                                                     \
    LOG_LEVEL_##level,                                                        \
    budget,                                                                   \
    sentence,                                                                 \
    LEVEL_TEXT_##level part ": " sentence ". event=" part "." name " at=" },
  LOG_EVENTS (X)
#undef X
};

static const struct
{
  const char *key;
  const char *meaning;
} fields_info[] = {
#define X(symbol, key, meaning) { key, meaning },
  LOG_FIELDS (X)
#undef X
};

typedef struct
{
  uint64_t second;
  uint32_t lines;
  uint32_t dropped;
} budget_t;

/* One process, one standard output.  */
static struct
{
  str_t by;
  clock_iface_t *clock;
  bool hold;
  buf_t held;
  uint64_t held_from_ms; /* Of the oldest line held.  */
  budget_t budgets[LOG_EVENT_COUNT];
  uint64_t dropped;
} state;

const log_event_info_t *
log_event_info (log_event_t event)
{
  return &events[event];
}

const char *
log_field_key (log_field_name_t name)
{
  return fields_info[name].key;
}

const char *
log_field_meaning (log_field_name_t name)
{
  return fields_info[name].meaning;
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
eventlog_set_source (str_t by, clock_iface_t *clock)
{
  state.by = by;
  state.clock = clock;
}

void
eventlog_set_buffered (bool hold)
{
  state.hold = hold;
}

uint64_t
eventlog_dropped_lines (void)
{
  return state.dropped;
}

static clock_iface_t *
log_clock (void)
{
  return state.clock != NULL ? state.clock : clock_system ();
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

/* Append TEXT, which a caller may have chosen, so that the line stays one line
   and its fields stay apart.  */
static void
append_text (buf_t *out, str_t text)
{
  if (text.len > TEXT_BYTES_MAX)
    text.len = TEXT_BYTES_MAX;
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
  size_t at = sizeof digits;

  do
    digits[--at] = (char)('0' + number % 10);
  while ((number /= 10) > 0);
  buf_append (out, digits + at, sizeof digits - at);
}

static void
append_line (buf_t *out, log_event_t event, const log_field_t *fields,
             size_t count)
{
  const log_event_info_t *info = &events[event];
  uint64_t now_ms = clock_realtime_ms (log_clock ());

  buf_reserve (out, LINE_BYTES);
  buf_append_str (out, str_from (info->prefix));
  append_number (out, now_ms / MS_PER_S);
  buf_append_char (out, '.');
  append_number (out, MS_PER_S + now_ms % MS_PER_S);
  /* Three digits: the thousand goes.  */
  memmove (out->ptr + out->len - 4, out->ptr + out->len - 3, 3);
  out->len--;
  if (state.by.len > 0)
    {
      buf_append_str (out, STR (" by="));
      append_text (out, state.by);
    }
  for (size_t i = 0; i < count; i++)
    {
      buf_append_char (out, ' ');
      buf_append_str (out, str_from (fields_info[fields[i].name].key));
      buf_append_char (out, '=');
      if (fields[i].is_text)
        append_text (out, fields[i].text);
      else
        append_number (out, fields[i].number);
    }
  buf_append_char (out, '\n');
}

/* Tell of the lines of KIND that had no budget in the second before.  */
static void
append_dropped (buf_t *out, log_event_t kind, uint32_t count)
{
  const log_event_info_t *info = &events[kind];
  buf_t name = BUF_NULL;

  buf_printf (&name, "%s.%s", info->part, info->name);
  const log_field_t fields[] = { log_field_text (FIELD_KIND, buf_str (&name)),
                                 log_field_number (FIELD_COUNT, count) };
  append_line (out, EVENT_DROPPED, fields, 2);
  buf_free (&name);
}

/* Take one line of the budget of EVENT.  */
static bool
take_budget (log_event_t event, buf_t *out)
{
  budget_t *budget = &state.budgets[event];
  uint64_t second = clock_ms (log_clock ()) / MS_PER_S;

  if (second != budget->second)
    {
      if (budget->dropped > 0)
        append_dropped (out, event, budget->dropped);
      *budget = (budget_t){ .second = second };
    }
  if (budget->lines >= events[event].budget)
    {
      budget->dropped++;
      state.dropped++;
      return false;
    }
  budget->lines++;
  return true;
}

/* Count the lines of the first LEN bytes that are held.  */
static uint64_t
count_lines (size_t len)
{
  uint64_t lines = 0;

  for (size_t i = 0; i < len; i++)
    lines += state.held.ptr[i] == '\n';
  return lines;
}

/* The length of the whole lines that fit one write.  */
static size_t
next_write (void)
{
  size_t len = state.held.len;

  if (len <= WRITE_BYTES_MAX)
    return len;
  len = WRITE_BYTES_MAX;
  while (len > 0 && state.held.ptr[len - 1] != '\n')
    len--;
  return len > 0 ? len : WRITE_BYTES_MAX;
}

void
eventlog_flush (void)
{
  while (state.held.len > 0)
    {
      struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
      size_t len = next_write ();
      ssize_t done = -1;
      if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0)
        done = write (STDOUT_FILENO, state.held.ptr, len);
      if (done <= 0)
        {
          state.dropped += count_lines (state.held.len);
          state.held.len = 0;
          return;
        }
      buf_consume (&state.held, (size_t)done);
    }
}

void
eventlog_flush_if_due (void)
{
  if (state.held.len == 0)
    return;
  if (state.held.len >= WRITE_BYTES_MAX / 2
      || clock_ms (log_clock ()) - state.held_from_ms >= HOLD_MS)
    eventlog_flush ();
}

void
eventlog_write (log_event_t event, const log_field_t *fields, size_t count)
{
  if (!log_level_is_enabled (events[event].level))
    return;
  if (state.held.len == 0)
    state.held_from_ms = clock_ms (log_clock ());
  if (take_budget (event, &state.held))
    append_line (&state.held, event, fields, count);
  if (!state.hold || state.held.len > HELD_BYTES_MAX)
    eventlog_flush ();
}
