/* Token counts of an engine's answer.  */

#ifndef SIDECAR_USAGE_H
#define SIDECAR_USAGE_H

#include "base/str.h"

/* Parse the token counts under "usage" in ANSWER, one JSON object or, if
   STREAM, a stream of server-sent events.  Without them the counts are
   estimated at 4 bytes per token from PROMPT_BYTES and the answer's length, so
   that every answer gets a bill.  *TOKENS_CACHED is the part of the prompt
   that the engine reports as found in its cache.  */
void usage_parse (str_t answer, bool stream, size_t prompt_bytes,
                  uint32_t *tokens_in, uint32_t *tokens_out,
                  uint32_t *tokens_cached);

#endif
