/* Configurations on their way from the store's text to a catalog.

   Answers: a configuration of 2,000 routes, which takes an entry with a tenth
   of a core 230 to 530 ms to read.  Read on the loop it holds up every stream
   for that long, and an event that comes 200 ms late makes its answer late:
   one caller in three while such a configuration came in (277 and 246 of 800
   in two windows of 2 s).  So long ones are read on libuv's pool, one after
   the other, with a pause after each half of a millisecond's work: threads
   that share one small core get it for long.  Of those that wait only the last
   is read.

   The first one is read at once: nothing can be served without it.  */

#ifndef GATEWAY_LOADER_H
#define GATEWAY_LOADER_H

#include "gateway/catalog.h"

#include <stdbool.h>
#include <uv.h>

enum
{
  /* Shorter texts are read on the loop: a tenth of a core reads one in less
     than 40 ms.  */
  LOADER_ASYNC_BYTES_MIN = 32768
};

typedef struct loader loader_t;

/* Read TEXT into *OUT, on any thread, with a PAUSE now and then unless it is
   NULL.  */
typedef vh_code_t (*loader_parse_t) (str_t text, void (*pause) (void),
                                     catalog_t **out);
/* A text of LEN bytes was read into CATALOG, which the callee owns, or could
   not be for CODE.  */
typedef void (*loader_cb_t) (void *arg, vh_code_t code, catalog_t *catalog,
                             size_t len);

loader_t *loader_create (uv_loop_t *loop, loader_parse_t read, loader_cb_t cb,
                         void *arg);
/* No callback comes after this; NULL is accepted.  */
void loader_destroy (loader_t *loader);
/* Read TEXT, which is copied: at once where it is short or FIRST.  */
void loader_submit (loader_t *loader, str_t text, bool first);
/* Tell whether a text is still to be read, also when a callback asks.  */
bool loader_is_busy (const loader_t *loader);

#endif
