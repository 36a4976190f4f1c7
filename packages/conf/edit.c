#include "conf/reader.h"
#include "conf/snapshot.h"

/* Return the first line of *REST with its newline, and step past it.  */
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

/* Tell whether LINE is the header of SECTION.  */
static bool
edit_is_section (str_t line, str_t section)
{
  str_t kind;
  str_t name;
  str_t wanted_name;
  bool closed;
  str_t wanted_kind = str_cut (section, ' ', &wanted_name);

  return reader_parse_section_header (line, &kind, &name, &closed)
         && str_eq (kind, wanted_kind)
         && str_eq (name, str_trim (wanted_name));
}

static bool
edit_any_section (str_t line)
{
  str_t kind;
  str_t name;
  bool closed;

  return reader_parse_section_header (line, &kind, &name, &closed);
}

/* Tell whether LINE gives KEY; *AT is then where its value starts and *END
   where it ends, before blanks and a comment.  */
static bool
edit_is_key (str_t line, str_t key, size_t *at, size_t *end)
{
  size_t split = 0;

  while (split < line.len && line.ptr[split] != '=' && line.ptr[split] != ':')
    split++;
  if (split == line.len
      || !str_eq (str_trim (str_make (line.ptr, split)), key))
    return false;
  *at = split + 1;
  while (*at < line.len && (line.ptr[*at] == ' ' || line.ptr[*at] == '\t'))
    ++*at;
  *end = *at;
  /* A comment starts with `;' after a blank, as inih has it.  */
  while (*end < line.len
         && !(line.ptr[*end] == ';' && *end > split + 1
              && (line.ptr[*end - 1] == ' ' || line.ptr[*end - 1] == '\t')))
    ++*end;
  *end = *at + str_trim (str_make (line.ptr + *at, *end - *at)).len;
  return true;
}

static void
edit_write_key (buf_t *out, str_t key, str_t value)
{
  buf_printf (out, "%.*s = %.*s\n", STR_ARG (key), STR_ARG (value));
}

/* End the last line of OUT when it is not ended.  */
static void
edit_end_line (buf_t *out)
{
  if (out->len > 0 && out->ptr[out->len - 1] != '\n')
    buf_append_char (out, '\n');
}

/* Return the length of the part of BODY, a section's lines, that ends with
   its last key: blank lines and comments after it belong to what follows.  */
static size_t
edit_last_key (str_t body)
{
  str_t rest = body;
  size_t end = 0;

  while (rest.len > 0)
    {
      str_t line = str_trim (edit_next_line (&rest));
      if (line.len > 0 && line.ptr[0] != ';' && line.ptr[0] != '#')
        end = body.len - rest.len;
    }
  return end;
}

/* Copy BODY, the lines of the section after its header, with the edit.  */
static void
edit_body (str_t body, str_t key, str_t value, buf_t *out)
{
  size_t last = edit_last_key (body);
  str_t rest = body;
  bool found = false;
  size_t at;
  size_t end;

  while (rest.len > 0)
    {
      size_t start = body.len - rest.len;
      if (!found && value.ptr != NULL && start == last)
        {
          /* Not among the keys so far, and this is where they end.  */
          edit_end_line (out);
          edit_write_key (out, key, value);
          found = true;
        }
      str_t line = edit_next_line (&rest);
      if (found || !edit_is_key (line, key, &at, &end))
        {
          buf_append_str (out, line);
          continue;
        }
      found = true;
      if (value.ptr == NULL)
        continue;
      buf_append (out, line.ptr, at);
      buf_append_str (out, value);
      buf_append (out, line.ptr + end, line.len - end);
    }
  if (!found && value.ptr != NULL)
    {
      edit_end_line (out);
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
          str_t ahead = rest;
          if (edit_any_section (edit_next_line (&ahead)))
            break;
          rest = ahead;
          len = body.len - rest.len;
        }
      edit_body (str_make (body.ptr, len), key, value, out);
    }
  if (found || value.ptr == NULL)
    return;
  edit_end_line (out);
  if (text.len > 0)
    buf_append_char (out, '\n');
  buf_printf (out, "[%.*s]\n", STR_ARG (section));
  edit_write_key (out, key, value);
}
