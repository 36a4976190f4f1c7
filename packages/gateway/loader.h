/* Parses configuration texts from the store into catalogs.

   Load pattern: a change of a configuration of 2,000 routes, which a gateway
   with a tenth of a core takes 230 to 530 ms to parse.  Parsing on the event
   loop delays every stream by that time, and a stream with an event that is
   200 ms late misses its latency objective: one request in three did while
   such a configuration was parsed (277 and 246 of 800 in two windows of 2 s).

   Long texts are therefore parsed on libuv's thread pool, one after the other.
   The thread pauses after each half millisecond of work, because a thread that
   shares one slow core with the event loop would otherwise occupy the core for
   long periods.  If several texts arrive while another is parsed, only the
   newest of them is parsed next.

   The first text is parsed without pauses, because no request can be served
   without a configuration, but not on the loop, which has to notice signals
   and readiness checks meanwhile.  */

#ifndef GATEWAY_LOADER_H
#define GATEWAY_LOADER_H

#include "gateway/catalog.h"

#include <stdbool.h>
#include <uv.h>

enum
{
  /* Length in bytes from which a text is parsed on the thread pool.  A tenth
     of a core parses shorter texts in less than 40 ms.  */
  LOADER_ASYNC_BYTES_MIN = 32768
};

typedef struct loader loader_t;

/* Parse TEXT into *OUT, which the caller owns; may run on any thread.  PAUSE
   is called after each half millisecond of work; NULL: no pauses.  */
typedef vh_code_t (*loader_parse_t) (str_t text, void (*pause) (void),
                                     catalog_t **out);
/* Called after a text of LEN bytes was parsed.  If CODE is VH_OK, the callee
   owns CATALOG; otherwise CODE is the reason why the text is invalid.  */
typedef void (*loader_cb_t) (void *arg, vh_code_t code, catalog_t *catalog,
                             size_t len);

loader_t *loader_create (uv_loop_t *loop, loader_parse_t parse, loader_cb_t cb,
                         void *arg);
/* Destroy LOADER, which may be NULL, without calling the callback again.  */
void loader_destroy (loader_t *loader);
/* Parse TEXT, which is copied if needed later.  Unless another text is being
   parsed, a short text is parsed before the function returns.  IS_URGENT:
   parse without pauses, as no configuration is in force yet.  */
void loader_submit (loader_t *loader, str_t text, bool is_urgent);
/* Return whether a text is being parsed or waits to be parsed.  May be called
   from the callback.  */
bool loader_is_busy (const loader_t *loader);

#endif
