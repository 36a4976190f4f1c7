/* Syslog-style log lines on standard error: "<LEVEL>part: Sentence.
   key=value".  Each call writes one line.  LEVEL is the syslog severity, which
   lets a journal filter lines.  */

#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>

typedef enum
{
  LOG_LEVEL_ERR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
} log_level_t;

/* Drop lines less severe than LEVEL.  The default is LOG_LEVEL_INFO.  */
void log_set_level (log_level_t level);
/* Set the level by NAME: err, warning, notice, info or debug.  Return false,
   with the level unchanged, if NAME is none of these.  */
bool log_set_level_name (const char *name);

/* Return whether lines of LEVEL are written.  */
bool log_level_is_enabled (log_level_t level);
void log_write (log_level_t level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#define log_err(part, ...) log_write (LOG_LEVEL_ERR, part, __VA_ARGS__)
#define log_warning(part, ...) log_write (LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define log_notice(part, ...) log_write (LOG_LEVEL_NOTICE, part, __VA_ARGS__)
#define log_info(part, ...) log_write (LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_write (LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
