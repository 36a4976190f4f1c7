/* The answers of the engine and service stand-ins.  They are pure functions
   of the request, so that a test can verify every byte of an answer.  */

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
  uint64_t seed;   /* Hash of the version and the prompt.  */
  double quality;  /* Mean quality of the version plus noise, 0 to 1.  */
  uint32_t tokens; /* Length of the answer in tokens.  */
} answer_t;

/* Append the prompt to OUT that the engine derives from the MESSAGES of a chat
   request: the role and the content of each.  */
void answer_append_prompt (const json_t *messages, buf_t *out);

/* Return the answer of VERSION (MODEL@VERSION), whose mean quality is
   MEAN_QUALITY, to PROMPT.  MAX_TOKENS is the length of the answer; 0 means
   ANSWER_DEFAULT_TOKENS.  */
answer_t answer_make (str_t version, double mean_quality, str_t prompt,
                      uint32_t max_tokens);

/* Append token INDEX of ANSWER to OUT.  Token 0 is the quality marker,
   "quality=0.00".  */
void answer_append_token (const answer_t *answer, uint32_t index, buf_t *out);

/* Append the complete text of ANSWER to OUT.  */
void answer_append_text (const answer_t *answer, buf_t *out);

/* Return whether TEXT is the complete text of ANSWER.  The number in the
   quality marker is not compared, since a test may change the quality of a
   version between two requests.  */
bool answer_matches (const answer_t *answer, str_t text);

/* Contents of a response body, as a caller parses it.  */
typedef struct
{
  buf_t text;
  buf_t version;   /* MODEL@VERSION in the field "model".  */
  uint32_t tokens; /* Number of completion tokens in the usage object.  */
  bool has_error;  /* The body or a stream event has an "error" field.  */
} parsed_answer_t;

/* Parse BODY as server-sent events into PARSED.  Return whether the stream
   is complete: it has a [DONE] event and no error.  */
bool answer_parse_stream (str_t body, parsed_answer_t *parsed);
/* Parse BODY as a JSON answer into PARSED.  Return whether it has a
   text.  */
bool answer_parse_json (str_t body, parsed_answer_t *parsed);
void parsed_answer_free (parsed_answer_t *parsed);

/* Append the answer of the service stand-in to a request to OUT.  It depends
   on METHOD, BODY and the last segment of PATH.  */
void answer_append_service (str_t method, str_t path, str_t body, buf_t *out);

#endif
