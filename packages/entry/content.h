/* The text inside an engine's answer.  */

#ifndef ENTRY_CONTENT_H
#define ENTRY_CONTENT_H

#include "base/str.h"

/* Append to OUT what the model wrote in ANSWER, one JSON object or a STREAM
   of server-sent events; ANSWER itself when it is neither.  */
void content_extract (str_t answer, bool stream, buf_t *out);

#endif
