#include "conf/reader.h"
#include "conf/snapshot.h"

/* Remove the first line from *REST and return it with its newline.  */
static str_t
edit_next_line (str_t *rest)
{
  const char *newline
      = rest->len > 0 ? memchr (rest->ptr, '\n', rest->len) : NULL;
  size_t len = newline != NULL ? (size_t)(newline - rest->ptr) + 1 : rest->len;
  str_t line = str_make (rest->ptr, len);

  *rest = str_make (rest->ptr + len, rest->len - len);
  return line;
}

/* Return whether LINE is the header of SECTION.  */
static bool
edit_is_section (str_t line, str_t section)
{
  str_t kind;
  str_t name;
  str_t wanted_name;
  bool is_well_formed;
  str_t wanted_kind = str_cut (section, ' ', &wanted_name);

  return reader_parse_section_header (line, &kind, &name, &is_well_formed)
         && str_eq (kind, wanted_kind)
         && str_eq (name, str_trim (wanted_name));
}

static bool
edit_is_any_section (str_t line)
{
  str_t kind;
  str_t name;
  bool is_well_formed;

  return reader_parse_section_header (line, &kind, &name, &is_well_formed);
}

/* Return whether LINE sets KEY.  If so, set *VALUE_START and *VALUE_END to the
   range of the value, without trailing blanks and comment.  */
static bool
edit_find_value (str_t line, str_t key, size_t *value_start, size_t *value_end)
{
  size_t separator = 0;

  while (separator < line.len && line.ptr[separator] != '='
         && line.ptr[separator] != ':')
    separator++;
  if (separator == line.len
      || !str_eq (str_trim (str_make (line.ptr, separator)), key))
    return false;
  *value_start = separator + 1;
  while (*value_start < line.len
         && (line.ptr[*value_start] == ' ' || line.ptr[*value_start] == '\t'))
    ++*value_start;
  *value_end = *value_start;
  /* As in inih, a comment starts with `;' after a blank.  */
  while (*value_end < line.len
         && !(line.ptr[*value_end] == ';' && *value_end > separator + 1
              && (line.ptr[*value_end - 1] == ' '
                  || line.ptr[*value_end - 1] == '\t')))
    ++*value_end;
  *value_end = *value_start
               + str_trim (str_make (line.ptr + *value_start,
                                     *value_end - *value_start))
                     .len;
  return true;
}

static void
edit_write_key (buf_t *out, str_t key, str_t value)
{
  buf_printf (out, "%.*s = %.*s\n", STR_ARG (key), STR_ARG (value));
}

/* Append a newline to OUT if its last line has none.  */
static void
edit_terminate_line (buf_t *out)
{
  if (out->len > 0 && out->ptr[out->len - 1] != '\n')
    buf_append_char (out, '\n');
}

/* Return the length of BODY, the lines of a section, up to its last key.
   Blank lines and comments after that key belong to the next section.  */
static size_t
edit_keys_len (str_t body)
{
  str_t rest = body;
  size_t value_end = 0;

  while (rest.len > 0)
    {
      str_t line = str_trim (edit_next_line (&rest));
      if (line.len > 0 && line.ptr[0] != ';' && line.ptr[0] != '#')
        value_end = body.len - rest.len;
    }
  return value_end;
}

/* Copy BODY, the lines of the section after its header, to OUT with KEY set to
   VALUE, or without KEY if VALUE is STR_NULL.  */
static void
edit_section_body (str_t body, str_t key, str_t value, buf_t *out)
{
  size_t keys_len = edit_keys_len (body);
  str_t rest = body;
  bool found = false;
  size_t value_start;
  size_t value_end;

  while (rest.len > 0)
    {
      size_t start = body.len - rest.len;
      if (!found && value.ptr != NULL && start == keys_len)
        {
          /* After its last key, the section has no KEY: add it here.  */
          edit_terminate_line (out);
          edit_write_key (out, key, value);
          found = true;
        }
      str_t line = edit_next_line (&rest);
      if (found || !edit_find_value (line, key, &value_start, &value_end))
        {
          buf_append_str (out, line);
          continue;
        }
      found = true;
      if (value.ptr == NULL)
        continue;
      buf_append (out, line.ptr, value_start);
      buf_append_str (out, value);
      buf_append (out, line.ptr + value_end, line.len - value_end);
    }
  if (!found && value.ptr != NULL)
    {
      edit_terminate_line (out);
      edit_write_key (out, key, value);
    }
}

void
conf_set_key (str_t text, str_t section, str_t key, str_t value, buf_t *out)
{
  str_t rest = text;
  bool found = false;

  while (rest.len > 0)
    {
      str_t line = edit_next_line (&rest);
      buf_append_str (out, line);
      if (found || !edit_is_section (line, section))
        continue;
      found = true;
      str_t body = rest;
      size_t len = 0;
      while (rest.len > 0)
        {
          str_t after_line = rest;
          if (edit_is_any_section (edit_next_line (&after_line)))
            break;
          rest = after_line;
          len = body.len - rest.len;
        }
      edit_section_body (str_make (body.ptr, len), key, value, out);
    }
  if (found || value.ptr == NULL)
    return;
  edit_terminate_line (out);
  if (text.len > 0)
    buf_append_char (out, '\n');
  buf_printf (out, "[%.*s]\n", STR_ARG (section));
  edit_write_key (out, key, value);
}
