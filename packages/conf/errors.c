#include "base/mem.h"
#include "conf/settings.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  /* A file that is not INI has an error in each line; 200 of them are enough
     for its author.  */
  CONF_ERRORS_MAX = 200
};

/* Append an error.  ERRORS takes ownership of MESSAGE and HINT.  */
static void
errors_push (conf_errors_t *errors, int line, char *message, char *hint)
{
  errors->items = mem_realloc (errors->items,
                               (errors->count + 1) * sizeof *errors->items);
  errors->items[errors->count++] = (conf_error_t){ line, message, hint };
}

void
conf_errors_add (conf_errors_t *errors, int line, const char *hint,
                 const char *format, ...)
{
  buf_t message = BUF_NULL;
  va_list args;

  if (errors->count == CONF_ERRORS_MAX)
    return;
  if (errors->count == CONF_ERRORS_MAX - 1)
    {
      errors_push (errors, line,
                   str_dup (STR ("further errors are not shown")), NULL);
      return;
    }
  va_start (args, format);
  buf_vprintf (&message, format, args);
  va_end (args);
  errors_push (errors, line, str_dup (buf_str (&message)),
               hint != NULL ? str_dup (str_from (hint)) : NULL);
  buf_free (&message);
}

void
conf_errors_print (const conf_errors_t *errors, const char *program,
                   str_t file, buf_t *out)
{
  for (size_t i = 0; i < errors->count; i++)
    {
      const conf_error_t *error = &errors->items[i];
      buf_printf (out, "%s: %.*s:", program, STR_ARG (file));
      if (error->line > 0)
        buf_printf (out, "%d:", error->line);
      buf_printf (out, " %s", error->message);
      if (error->hint != NULL)
        buf_printf (out, " (%s)", error->hint);
      buf_append_char (out, '\n');
    }
  buf_reserve (out, 1);
  out->ptr[out->len] = '\0';
}

void
conf_errors_free (conf_errors_t *errors)
{
  for (size_t i = 0; i < errors->count; i++)
    {
      free (errors->items[i].message);
      free (errors->items[i].hint);
    }
  free (errors->items);
  *errors = (conf_errors_t){ 0 };
}
