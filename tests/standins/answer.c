#include "standins/answer.h"

#include "base/rng.h"

#include <inttypes.h>
#include <stdlib.h>

enum
{
  WORD_COUNT = 16
};

/* How far a request's quality may lie from its version's mean.  */
static const double quality_spread = 0.1;

static const char *const words[WORD_COUNT]
    = { "coral", "rafter", "slate", "depth", "ridge", "survey",
        "lime",  "beam",   "guide", "slope", "lift",  "gutter",
        "stone", "drift",  "tile",  "shed" };

void
answer_append_prompt (const json_t *messages, buf_t *out)
{
  size_t index;
  json_t *message;

  json_array_foreach (messages, index, message)
  {
    const json_t *content = json_object_get (message, "content");
    const char *role = json_string_value (json_object_get (message, "role"));

    buf_append_str (out, str_from (role));
    buf_append_char (out, '\n');
    if (json_is_string (content))
      buf_append (out, json_string_value (content),
                  json_string_length (content));
    else if (content != NULL)
      {
        char *text = json_dumps (content, JSON_COMPACT | JSON_ENCODE_ANY
                                              | JSON_SORT_KEYS);
        buf_append_str (out, str_from (text));
        free (text);
      }
    buf_append_char (out, '\n');
  }
}

answer_t
answer_make (str_t version, double mean, str_t prompt, uint32_t max_tokens)
{
  answer_t answer;

  answer.seed = str_hash (prompt, str_hash (version, 1));
  answer.tokens = max_tokens > 0 ? max_tokens : ANSWER_DEFAULT_TOKENS;
  rng_t rng = rng_make (answer.seed);
  double quality = mean + (2 * rng_double (&rng) - 1) * quality_spread;
  answer.quality = quality < 0 ? 0 : quality > 1 ? 1 : quality;
  return answer;
}

void
answer_append_token (const answer_t *answer, uint32_t index, buf_t *out)
{
  if (index == 0)
    {
      buf_printf (out, "quality=%.2f", answer->quality);
      return;
    }
  rng_t rng = rng_make (answer->seed + index);
  uint64_t draw = rng_u64 (&rng);
  buf_printf (out, " %s%" PRIu64, words[draw % WORD_COUNT],
              (draw >> 32) % 1000);
}

void
answer_append_text (const answer_t *answer, buf_t *out)
{
  for (uint32_t i = 0; i < answer->tokens; i++)
    answer_append_token (answer, i, out);
}

void
answer_append_service (str_t method, str_t path, str_t body, buf_t *out)
{
  const char *slash = memrchr (path.ptr, '/', path.len);
  size_t start = slash != NULL ? (size_t)(slash - path.ptr) + 1 : 0;

  buf_append_str (out, STR ("{\"method\":\""));
  buf_append_json_escaped (out, method);
  buf_append_str (out, STR ("\",\"file\":\""));
  buf_append_json_escaped (out, str_make (path.ptr + start, path.len - start));
  buf_printf (out, "\",\"body_bytes\":%zu,\"receipt\":\"%016" PRIx64 "\"}",
              body.len, str_hash (body, 2));
}

bool
answer_matches (const answer_t *answer, str_t text)
{
  buf_t want = BUF_NULL;
  bool same;

  answer_append_text (answer, &want);
  same = text.len == want.len && text.len >= ANSWER_MARKER_LEN
         && memcmp (text.ptr, "quality=", strlen ("quality=")) == 0
         && memcmp (text.ptr + ANSWER_MARKER_LEN, want.ptr + ANSWER_MARKER_LEN,
                    text.len - ANSWER_MARKER_LEN)
                == 0;
  buf_free (&want);
  return same;
}

/* Take what ROOT, an event or a whole answer, tells besides its text.  */
static void
read_common (const json_t *root, parsed_answer_t *reading)
{
  const json_t *model = json_object_get (root, "model");
  const json_t *usage = json_object_get (root, "usage");

  if (json_object_get (root, "error") != NULL)
    reading->error = true;
  if (json_is_object (usage))
    reading->tokens = (uint32_t)json_integer_value (
        json_object_get (usage, "completion_tokens"));
  if (!json_is_string (model))
    return;
  reading->version.len = 0;
  buf_append_str (&reading->version, str_from (json_string_value (model)));
}

/* Take the text under PART of the first choice of ROOT; return whether there
   was one.  */
static bool
read_text (const json_t *root, const char *part, parsed_answer_t *reading)
{
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const json_t *content
      = json_object_get (json_object_get (choice, part), "content");

  if (!json_is_string (content))
    return false;
  buf_append (&reading->text, json_string_value (content),
              json_string_length (content));
  return true;
}

bool
answer_parse_stream (str_t body, parsed_answer_t *reading)
{
  str_t rest = body;
  bool done = false;

  while (rest.ptr != NULL && rest.len > 0)
    {
      str_t prefix = STR ("data: ");
      str_t line = str_trim (str_cut (rest, '\n', &rest));
      if (!str_starts_with (line, prefix))
        continue;
      line = str_make (line.ptr + prefix.len, line.len - prefix.len);
      if (str_eq (line, STR ("[DONE]")))
        {
          done = true;
          continue;
        }
      json_t *root = json_loadb (line.ptr, line.len, 0, NULL);
      read_common (root, reading);
      read_text (root, "delta", reading);
      json_decref (root);
    }
  return done && !reading->error;
}

bool
answer_parse_json (str_t body, parsed_answer_t *reading)
{
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  bool found = read_text (root, "message", reading);

  read_common (root, reading);
  json_decref (root);
  return found;
}

void
parsed_answer_free (parsed_answer_t *reading)
{
  buf_free (&reading->text);
  buf_free (&reading->version);
}
