#include "conf/reader.h"

#include <ini.h>

/* State of the parser.  */
typedef struct
{
  str_t rest;              /* Text that inih has not received yet.  */
  int line;                /* Number of the line that inih received last.  */
  bool is_line_incomplete; /* Inih has received only the start of the line,
                              because its buffer was full.  */
  bool is_key_expected;    /* The line must have a key, and inih has not
                              reported one yet.  */
  const reader_callbacks_t *callbacks;
  void *arg;
  conf_errors_t *errors;
} reader_t;

bool
reader_parse_section_header (str_t line, str_t *kind, str_t *name,
                             bool *is_well_formed)
{
  str_t rest;
  str_t content;

  line = str_trim (line);
  if (line.len == 0 || line.ptr[0] != '[')
    return false;
  content
      = str_trim (str_cut (str_make (line.ptr + 1, line.len - 1), ']', &rest));
  *is_well_formed = rest.ptr != NULL;
  rest = str_trim (rest);
  if (rest.len > 0 && rest.ptr[0] != ';' && rest.ptr[0] != '#')
    *is_well_formed = false;
  size_t end = 0;
  while (end < content.len && content.ptr[end] != ' '
         && content.ptr[end] != '\t')
    end++;
  *kind = str_make (content.ptr, end);
  *name = str_trim (str_make (content.ptr + end, content.len - end));
  return true;
}

/* Add an error if inih did not report a key for the previous line.  */
static void
reader_report_missing_key (reader_t *reader)
{
  if (reader->is_key_expected)
    conf_errors_add (reader->errors, reader->line, "write `key = value'",
                     "not a section, a key or a comment");
  reader->is_key_expected = false;
}

/* Start with LINE, the next line.  If LINE is a section header, call the
   section callback and return true.  */
static bool
reader_start_line (reader_t *reader, str_t line)
{
  str_t kind;
  str_t name;
  bool is_well_formed;

  reader->line++;
  if (reader_parse_section_header (line, &kind, &name, &is_well_formed))
    {
      if (!is_well_formed)
        conf_errors_add (reader->errors, reader->line,
                         "write `[kind]' or `[kind name]'",
                         "the section header is malformed");
      reader->callbacks->section (reader->arg, kind, name, reader->line);
      return true;
    }
  line = str_trim (line);
  reader->is_key_expected
      = line.len > 0 && line.ptr[0] != ';' && line.ptr[0] != '#';
  return false;
}

/* Pass inih up to SIZE - 1 bytes of the next line, like fgets.  */
static char *
reader_gets (char *buffer, int size, void *arg)
{
  reader_t *reader = arg;
  str_t rest = reader->rest;
  size_t len = 0;

  if (rest.len == 0 || size < 2)
    return NULL;
  const char *newline = memchr (rest.ptr, '\n', rest.len);
  size_t line_len
      = newline != NULL ? (size_t)(newline - rest.ptr) + 1 : rest.len;
  if (!reader->is_line_incomplete)
    {
      reader_report_missing_key (reader);
      if (reader_start_line (reader, str_make (rest.ptr, line_len)))
        {
          /* An empty line in place of the header keeps inih's line count and
             state correct.  */
          buffer[len++] = '\n';
          buffer[len] = '\0';
          reader->rest = str_make (rest.ptr + line_len, rest.len - line_len);
          return buffer;
        }
    }
  len = line_len < (size_t)size - 1 ? line_len : (size_t)size - 1;
  memcpy (buffer, rest.ptr, len);
  buffer[len] = '\0';
  reader->is_line_incomplete = len < line_len;
  reader->rest = str_make (rest.ptr + len, rest.len - len);
  return buffer;
}

static int
reader_on_key (void *arg, const char *section, const char *name,
               const char *value)
{
  reader_t *reader = arg;

  (void)section;
  reader->is_key_expected = false;
  reader->callbacks->key (reader->arg, str_from (name), str_from (value),
                          reader->line);
  return 1;
}

/* Return the length of the UTF-8 character at the start of S, or 0 if it is
   malformed (RFC 3629, section 4).  */
static size_t
utf8_len (str_t s)
{
  const unsigned char *p = (const unsigned char *)s.ptr;
  unsigned char second_min = 0x80;
  unsigned char second_max = 0xbf;
  size_t len;

  if (p[0] < 0x80)
    return 1;
  if (p[0] < 0xc2 || p[0] > 0xf4)
    return 0;
  len = p[0] < 0xe0 ? 2 : p[0] < 0xf0 ? 3 : 4;
  if (s.len < len)
    return 0;
  /* Reject overlong forms, surrogates and code points above U+10FFFF.  */
  if (p[0] == 0xe0)
    second_min = 0xa0;
  if (p[0] == 0xed)
    second_max = 0x9f;
  if (p[0] == 0xf0)
    second_min = 0x90;
  if (p[0] == 0xf4)
    second_max = 0x8f;
  if (p[1] < second_min || p[1] > second_max)
    return 0;
  for (size_t i = 2; i < len; i++)
    if ((p[i] & 0xc0) != 0x80)
      return 0;
  return len;
}

/* Return whether TEXT is small enough and is UTF-8 without control characters;
   add an error if not.  */
static bool
reader_is_valid_text (str_t text, conf_errors_t *errors)
{
  int line = 1;

  if (text.len > CONF_TEXT_BYTES_MAX)
    {
      conf_errors_add (errors, 0, "split it or remove what is unused",
                       "the text has %zu bytes, more than %d", text.len,
                       CONF_TEXT_BYTES_MAX);
      return false;
    }
  for (size_t i = 0, char_len; i < text.len; i += char_len)
    {
      unsigned char byte = (unsigned char)text.ptr[i];
      char_len = utf8_len (str_make (text.ptr + i, text.len - i));
      /* The text is transferred in JSON, which requires UTF-8.  */
      if (char_len == 0)
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
reader_parse (str_t text, const reader_callbacks_t *callbacks, void *arg,
              conf_errors_t *errors)
{
  reader_t reader
      = { .rest = text, .callbacks = callbacks, .arg = arg, .errors = errors };

  if (!reader_is_valid_text (text, errors))
    return;
  if (str_starts_with (text, STR ("\xef\xbb\xbf")))
    reader.rest = str_make (text.ptr + 3, text.len - 3);
  /* Configure inih for lines of any length and one line per key.  */
  ini_use_stack = false;
  ini_allow_realloc = true;
  ini_initial_alloc = 512;
  ini_max_line = CONF_TEXT_BYTES_MAX + 16;
  ini_allow_multiline = false;
  ini_stop_on_first_error = false;
  ini_allow_no_value = false;
  if (ini_parse_stream (reader_gets, &reader, reader_on_key, &reader) < 0)
    conf_errors_add (errors, reader.line, NULL, "out of memory");
  reader_report_missing_key (&reader);
}
