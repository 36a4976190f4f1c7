/* A link between callers and a server on loopback that passes bytes at a
   bounded rate each way, which its connections share alike, or stops passing
   those of the server without a word.  Bytes that it has not taken wait at
   their sender.  */

#ifndef TESTS_NARROW_LINK_H
#define TESTS_NARROW_LINK_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

typedef struct narrow_link narrow_link_t;

/* A link to PORT that passes BYTES_PER_S.  */
narrow_link_t *narrow_link_create (uv_loop_t *loop, uint16_t port,
                                   size_t bytes_per_s);
/* The memory goes on a later turn.  */
void narrow_link_destroy (narrow_link_t *link);
/* Where callers connect.  */
uint16_t narrow_link_port (const narrow_link_t *link);
/* Pass on BYTES more of what servers send, then nothing; the connections stay
   open.  */
void narrow_link_stall_after (narrow_link_t *link, size_t bytes);
/* Bytes of servers that were passed on.  */
size_t narrow_link_forwarded_bytes (const narrow_link_t *link);

#endif
