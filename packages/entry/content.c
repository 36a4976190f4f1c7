#include "entry/content.h"

#include <jansson.h>

/* Append choices[0].MEMBER_NAME.content of the JSON object TEXT.  Return false
   if there is no such string.  */
static bool
append_choice_content (str_t text, const char *member_name, buf_t *out)
{
  json_t *root = json_loadb (text.ptr, text.len, 0, NULL);
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const json_t *content
      = json_object_get (json_object_get (choice, member_name), "content");
  bool found = json_is_string (content);

  if (found)
    buf_append (out, json_string_value (content),
                json_string_length (content));
  json_decref (root);
  return found;
}

void
content_extract (str_t answer, bool stream, buf_t *out)
{
  size_t start_len = out->len;
  str_t rest = answer;

  if (!stream)
    append_choice_content (answer, "message", out);
  while (stream && rest.len > 0)
    {
      str_t line = str_trim (str_cut (rest, '\n', &rest));
      if (str_starts_with (line, STR ("data: {")))
        append_choice_content (str_make (line.ptr + 6, line.len - 6), "delta",
                               out);
    }
  if (out->len == start_len)
    buf_append_str (out, answer);
}
