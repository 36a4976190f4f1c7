/* Log lines on standard error in syslog style: "<LEVEL>part: Sentence.
   key=value".  One line a call; the level number is the syslog severity, so
   that a journal can sort them.  */

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

/* Lines above LEVEL are dropped; the default is LOG_LEVEL_INFO.  */
void log_set_level (log_level_t level);
/* Set the level by NAME (err, warning, notice, info, debug); return false
   when there is no such level.  */
bool log_set_level_name (const char *name);

/* Tell whether lines of LEVEL are written.  */
bool log_level_is_enabled (log_level_t level);
void log_write (log_level_t level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#define log_err(part, ...) log_write (LOG_LEVEL_ERR, part, __VA_ARGS__)
#define log_warning(part, ...) log_write (LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define log_notice(part, ...) log_write (LOG_LEVEL_NOTICE, part, __VA_ARGS__)
#define log_info(part, ...) log_write (LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_write (LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
