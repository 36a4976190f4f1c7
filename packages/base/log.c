#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  LINE_BYTES_MAX = 1024
};

static log_level_t max_level = LOG_LEVEL_INFO;

static const struct
{
  const char *name;
  log_level_t level;
} level_names[] = {
  { "err", LOG_LEVEL_ERR },       { "warning", LOG_LEVEL_WARNING },
  { "notice", LOG_LEVEL_NOTICE }, { "info", LOG_LEVEL_INFO },
  { "debug", LOG_LEVEL_DEBUG },
};

void
log_set_level (log_level_t level)
{
  max_level = level;
}

bool
log_set_level_name (const char *name)
{
  for (size_t i = 0; i < sizeof level_names / sizeof level_names[0]; i++)
    if (strcmp (level_names[i].name, name) == 0)
      {
        max_level = level_names[i].level;
        return true;
      }
  return false;
}

bool
log_level_is_enabled (log_level_t level)
{
  return level <= max_level;
}

/* Replace control characters by blanks.  Text from a client may contain
   newlines, which would split a log line.  */
static void
replace_control_chars (char *line, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if ((unsigned char)line[i] < 0x20)
      line[i] = ' ';
}

void
log_write (log_level_t level, const char *part, const char *format, ...)
{
  char line[LINE_BYTES_MAX];
  va_list args;

  if (!log_level_is_enabled (level))
    return;
  int prefix_len = snprintf (line, sizeof line, "<%d>%s: ", (int)level, part);
  if (prefix_len < 0 || (size_t)prefix_len >= sizeof line - 2)
    return;
  size_t capacity = sizeof line - (size_t)prefix_len - 1;
  va_start (args, format);
  int text_len = vsnprintf (line + prefix_len, capacity, format, args);
  va_end (args);
  if (text_len < 0)
    return;
  size_t written_len
      = (size_t)text_len < capacity ? (size_t)text_len : capacity - 1;
  replace_control_chars (line + prefix_len, written_len);
  line[(size_t)prefix_len + written_len] = '\n';
  /* A single write for the whole line, so that lines of processes which
     share standard error do not mix.  */
  ssize_t unused_result
      = write (STDERR_FILENO, line, (size_t)prefix_len + written_len + 1);
  (void)unused_result;
}
