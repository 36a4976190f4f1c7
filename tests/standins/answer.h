/* The text that the engine stand-in answers, as a pure function of the
   request, so that a checker can tell every byte of every answer.  */

#ifndef STANDINS_ANSWER_H
#define STANDINS_ANSWER_H

#include "base/str.h"

#include <jansson.h>

enum
{
  ANSWER_DEFAULT_TOKENS = 16,
  ANSWER_MARKER_LEN = sizeof "quality=0.00" - 1
};

typedef struct
{
  uint64_t seed;   /* Of version and prompt.  */
  double quality;  /* Drawn for this request around the version's mean.  */
  uint32_t tokens; /* Length of the answer.  */
} answer_t;

/* Append to OUT what the engine takes as the prompt of a chat request's
   MESSAGES: each role and content.  */
void answer_append_prompt (const json_t *messages, buf_t *out);

/* Plan the answer of VERSION (MODEL@VERSION), whose mean quality is MEAN, to
   PROMPT in MAX_TOKENS tokens (0: the default).  */
answer_t answer_make (str_t version, double mean, str_t prompt,
                      uint32_t max_tokens);

/* Append token INDEX of ANSWER; the first one is the quality marker.  */
void answer_append_token (const answer_t *answer, uint32_t index, buf_t *out);

/* Append the whole text of ANSWER.  */
void answer_append_text (const answer_t *answer, buf_t *out);

/* Tell whether TEXT is the whole of ANSWER.  The figure of the quality
   marker may differ, as a version may turn bad between two runs.  */
bool answer_matches (const answer_t *answer, str_t text);

/* What a caller reads out of the body of an answer.  */
typedef struct
{
  buf_t text;
  buf_t version; /* MODEL@VERSION, by the engine's own word.  */
  uint32_t tokens;
  bool error; /* An error was told, in the stream or instead of it.  */
} parsed_answer_t;

/* Read the server-sent events BODY; return whether their proper end was
   there.  */
bool answer_parse_stream (str_t body, parsed_answer_t *reading);
/* Read the JSON answer BODY; return whether it was one.  */
bool answer_parse_json (str_t body, parsed_answer_t *reading);
void parsed_answer_free (parsed_answer_t *reading);

/* Append the answer of the service stand-in to METHOD on PATH, of which only
   the last part counts, with BODY.  */
void answer_append_service (str_t method, str_t path, str_t body, buf_t *out);

#endif
