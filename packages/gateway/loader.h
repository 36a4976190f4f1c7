/* Parses configuration texts from the store into catalogs.

   Answers: a configuration of 2,000 routes, which a gateway with a tenth of a
   core parses in 230 to 530 ms.  Parsed on the event loop, it delays every
   stream by that time, and an event that is 200 ms late makes its answer late:
   that was one request in three while such a configuration was parsed (277 and
   246 of 800 in two windows of 2 s).

   Long texts are therefore parsed on libuv's thread pool, one after the other,
   with a pause after each half millisecond of work, because a thread that
   shares one slow core with the loop keeps the core for long.  Of the texts
   that wait to be parsed only the newest is.

   The first text is parsed on the loop: no request can be served before
   that.  */

#ifndef GATEWAY_LOADER_H
#define GATEWAY_LOADER_H

#include "gateway/catalog.h"

#include <stdbool.h>
#include <uv.h>

enum
{
  /* Length in bytes from which a text is parsed on the thread pool.  A tenth
     of a core parses a shorter one in less than 40 ms.  */
  LOADER_ASYNC_BYTES_MIN = 32768
};

typedef struct loader loader_t;

/* Parse TEXT into *OUT, which the caller owns; may run on any thread.  PAUSE
   is called after each half millisecond of work; NULL: no pauses.  */
typedef vh_code_t (*loader_parse_t) (str_t text, void (*pause) (void),
                                     catalog_t **out);
/* A text of LEN bytes was parsed.  With VH_OK the callee owns CATALOG; any
   other CODE tells why the text is invalid.  */
typedef void (*loader_cb_t) (void *arg, vh_code_t code, catalog_t *catalog,
                             size_t len);

loader_t *loader_create (uv_loop_t *loop, loader_parse_t parse, loader_cb_t cb,
                         void *arg);
/* The callback is not called any more; NULL is accepted.  */
void loader_destroy (loader_t *loader);
/* Parse TEXT, which is copied.  A short text is parsed before the function
   returns, and so is any text if IS_FIRST, unless another text is being
   parsed.  */
void loader_submit (loader_t *loader, str_t text, bool is_first);
/* Return whether a text is being parsed or waits; may be called from the
   callback.  */
bool loader_is_busy (const loader_t *loader);

#endif
