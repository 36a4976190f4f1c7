#include "conf/reader.h"

#include <ini.h>

/* Where the reader stands in its text.  */
typedef struct
{
  str_t rest;
  int line;      /* Of what inih was given last.  */
  bool partial;  /* The line is longer than inih's buffer so far.  */
  bool expected; /* Inih was given a line that ought to be a key.  */
  const reader_events_t *events;
  void *arg;
  conf_errors_t *errors;
} reader_t;

bool
reader_parse_section_header (str_t line, str_t *kind, str_t *name,
                             bool *closed)
{
  str_t rest;
  str_t inside;

  line = str_trim (line);
  if (line.len == 0 || line.ptr[0] != '[')
    return false;
  inside
      = str_trim (str_cut (str_make (line.ptr + 1, line.len - 1), ']', &rest));
  *closed = rest.ptr != NULL;
  rest = str_trim (rest);
  if (rest.len > 0 && rest.ptr[0] != ';' && rest.ptr[0] != '#')
    *closed = false;
  size_t end = 0;
  while (end < inside.len && inside.ptr[end] != ' ' && inside.ptr[end] != '\t')
    end++;
  *kind = str_make (inside.ptr, end);
  *name = str_trim (str_make (inside.ptr + end, inside.len - end));
  return true;
}

/* Complain when inih passed over the line before: it is no key.  */
static void
reader_settle (reader_t *reader)
{
  if (reader->expected)
    conf_errors_add (reader->errors, reader->line, "write `key = value'",
                     "not a section, a key or a comment");
  reader->expected = false;
}

/* Take up LINE, the next one.  Return true when it is a section header,
   which is dealt with here.  */
static bool
reader_start_line (reader_t *reader, str_t line)
{
  str_t kind;
  str_t name;
  bool closed;

  reader->line++;
  if (reader_parse_section_header (line, &kind, &name, &closed))
    {
      if (!closed)
        conf_errors_add (reader->errors, reader->line,
                         "write `[kind]' or `[kind name]'",
                         "the section header is malformed");
      reader->events->section (reader->arg, kind, name, reader->line);
      return true;
    }
  line = str_trim (line);
  reader->expected = line.len > 0 && line.ptr[0] != ';' && line.ptr[0] != '#';
  return false;
}

/* Give inih up to SIZE - 1 bytes of the next line, like fgets.  */
static char *
reader_gets (char *buffer, int size, void *arg)
{
  reader_t *reader = arg;
  str_t rest = reader->rest;
  size_t len = 0;

  if (rest.len == 0 || size < 2)
    return NULL;
  const char *newline = memchr (rest.ptr, '\n', rest.len);
  size_t whole = newline != NULL ? (size_t)(newline - rest.ptr) + 1 : rest.len;
  if (!reader->partial)
    {
      reader_settle (reader);
      if (reader_start_line (reader, str_make (rest.ptr, whole)))
        {
          /* An empty line keeps inih's own count and state right.  */
          buffer[len++] = '\n';
          buffer[len] = '\0';
          reader->rest = str_make (rest.ptr + whole, rest.len - whole);
          return buffer;
        }
    }
  len = whole < (size_t)size - 1 ? whole : (size_t)size - 1;
  memcpy (buffer, rest.ptr, len);
  buffer[len] = '\0';
  reader->partial = len < whole;
  reader->rest = str_make (rest.ptr + len, rest.len - len);
  return buffer;
}

static int
reader_on_key (void *arg, const char *section, const char *name,
               const char *value)
{
  reader_t *reader = arg;

  (void)section;
  reader->expected = false;
  reader->events->key (reader->arg, str_from (name), str_from (value),
                       reader->line);
  return 1;
}

/* Return the length of the UTF-8 character that S starts with, or 0 when it
   is malformed (RFC 3629, section 4).  */
static size_t
utf8_len (str_t s)
{
  const unsigned char *p = (const unsigned char *)s.ptr;
  unsigned char low = 0x80;
  unsigned char high = 0xbf;
  size_t len;

  if (p[0] < 0x80)
    return 1;
  if (p[0] < 0xc2 || p[0] > 0xf4)
    return 0;
  len = p[0] < 0xe0 ? 2 : p[0] < 0xf0 ? 3 : 4;
  if (s.len < len)
    return 0;
  /* No overlong forms, no surrogates, nothing past U+10FFFF.  */
  if (p[0] == 0xe0)
    low = 0xa0;
  if (p[0] == 0xed)
    high = 0x9f;
  if (p[0] == 0xf0)
    low = 0x90;
  if (p[0] == 0xf4)
    high = 0x8f;
  if (p[1] < low || p[1] > high)
    return 0;
  for (size_t i = 2; i < len; i++)
    if ((p[i] & 0xc0) != 0x80)
      return 0;
  return len;
}

/* Tell whether TEXT is of a size and of bytes that can be read as INI.  */
static bool
reader_check_bytes (str_t text, conf_errors_t *errors)
{
  int line = 1;

  if (text.len > READER_TEXT_MAX)
    {
      conf_errors_add (errors, 0, "split it or remove what is unused",
                       "the text has %zu bytes, more than %d", text.len,
                       READER_TEXT_MAX);
      return false;
    }
  for (size_t i = 0, step; i < text.len; i += step)
    {
      unsigned char byte = (unsigned char)text.ptr[i];
      step = utf8_len (str_make (text.ptr + i, text.len - i));
      /* The text travels as JSON, which carries nothing else.  */
      if (step == 0)
        {
          conf_errors_add (errors, line, "save the file as UTF-8",
                           "byte 0x%02x is not UTF-8", byte);
          return false;
        }
      if (byte == '\n')
        line++;
      else if ((byte < ' ' && byte != '\t' && byte != '\r') || byte == 0x7f)
        {
          conf_errors_add (errors, line, "save the file as plain text",
                           "byte 0x%02x is not text", byte);
          return false;
        }
    }
  return true;
}

void
reader_run (str_t text, const reader_events_t *events, void *arg,
            conf_errors_t *errors)
{
  reader_t reader
      = { .rest = text, .events = events, .arg = arg, .errors = errors };

  if (!reader_check_bytes (text, errors))
    return;
  if (str_starts_with (text, STR ("\xef\xbb\xbf")))
    reader.rest = str_make (text.ptr + 3, text.len - 3);
  /* Lines of any length, one line a key.  */
  ini_use_stack = false;
  ini_allow_realloc = true;
  ini_initial_alloc = 512;
  ini_max_line = READER_TEXT_MAX + 16;
  ini_allow_multiline = false;
  ini_stop_on_first_error = false;
  ini_allow_no_value = false;
  if (ini_parse_stream (reader_gets, &reader, reader_on_key, &reader) < 0)
    conf_errors_add (errors, reader.line, NULL, "out of memory");
  reader_settle (&reader);
}
