#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  LINE_MAX_BYTES = 1024
};

static log_level_t threshold = LOG_LEVEL_INFO;

static const struct
{
  const char *name;
  log_level_t level;
} names[] = {
  { "err", LOG_LEVEL_ERR },       { "warning", LOG_LEVEL_WARNING },
  { "notice", LOG_LEVEL_NOTICE }, { "info", LOG_LEVEL_INFO },
  { "debug", LOG_LEVEL_DEBUG },
};

void
log_set_level (log_level_t level)
{
  threshold = level;
}

bool
log_set_level_name (const char *name)
{
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (names[i].name, name) == 0)
      {
        threshold = names[i].level;
        return true;
      }
  return false;
}

bool
log_level_is_enabled (log_level_t level)
{
  return level <= threshold;
}

/* Replace control characters, which a caller's text may carry, so that one
   call stays one line.  */
static void
flatten (char *line, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if ((unsigned char)line[i] < 0x20)
      line[i] = ' ';
}

void
log_write (log_level_t level, const char *part, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  va_list args;

  if (!log_level_is_enabled (level))
    return;
  int head = snprintf (line, sizeof line, "<%d>%s: ", (int)level, part);
  if (head < 0 || (size_t)head >= sizeof line - 2)
    return;
  size_t room = sizeof line - (size_t)head - 1;
  va_start (args, format);
  int body = vsnprintf (line + head, room, format, args);
  va_end (args);
  if (body < 0)
    return;
  size_t body_len = (size_t)body < room ? (size_t)body : room - 1;
  flatten (line + head, body_len);
  line[(size_t)head + body_len] = '\n';
  /* One write a line keeps lines of several processes apart.  */
  ssize_t written = write (STDERR_FILENO, line, (size_t)head + body_len + 1);
  (void)written;
}
