#include "sidecar/usage.h"

#include <jansson.h>

enum
{
  BYTES_PER_TOKEN = 4
};

/* Return the text of the last event of STREAM that has "usage" in it, or
   STR_NULL.  */
static str_t
last_usage_event (str_t stream)
{
  static const char mark[] = "\"usage\"";
  size_t end = stream.len;

  while (end > 0)
    {
      size_t begin = end;
      while (begin > 0 && stream.ptr[begin - 1] != '\n')
        begin--;
      str_t line = str_make (stream.ptr + begin, end - begin);
      if (str_starts_with (line, STR ("data: "))
          && memmem (line.ptr, line.len, mark, sizeof mark - 1) != NULL)
        return str_make (line.ptr + 6, line.len - 6);
      end = begin > 0 ? begin - 1 : 0;
    }
  return STR_NULL;
}

static bool
read_count (const json_t *usage, const char *name, uint32_t *count)
{
  const json_t *value = json_object_get (usage, name);

  if (!json_is_integer (value) || json_integer_value (value) < 0
      || json_integer_value (value) > UINT32_MAX)
    return false;
  *count = (uint32_t)json_integer_value (value);
  return true;
}

void
usage_read (str_t answer, bool stream, size_t prompt_bytes,
            uint32_t *tokens_in, uint32_t *tokens_out, uint32_t *cached)
{
  str_t text = stream ? last_usage_event (answer) : answer;
  json_t *root = NULL;

  *tokens_in = (uint32_t)(prompt_bytes / BYTES_PER_TOKEN);
  *tokens_out = (uint32_t)(answer.len / BYTES_PER_TOKEN);
  *cached = 0;
  if (text.len > 0)
    root = json_loadb (text.ptr, text.len, 0, NULL);
  const json_t *usage = json_object_get (root, "usage");
  read_count (usage, "prompt_tokens", tokens_in);
  read_count (usage, "completion_tokens", tokens_out);
  read_count (json_object_get (usage, "prompt_tokens_details"),
              "cached_tokens", cached);
  json_decref (root);
}
