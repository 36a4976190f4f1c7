/* Proxy between clients and a server on loopback that simulates a slow network
   link.  It forwards bytes at a limited rate in each direction, which its
   connections share equally, and can stop forwarding the server's bytes while
   the connections stay open.  Bytes that it has not read yet fill the sender's
   socket buffer.  */

#ifndef TESTS_NARROW_LINK_H
#define TESTS_NARROW_LINK_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

typedef struct narrow_link narrow_link_t;

/* Return a link to the server at PORT that forwards BYTES_PER_S in each
   direction.  */
narrow_link_t *narrow_link_create (uv_loop_t *loop, uint16_t port,
                                   size_t bytes_per_s);
/* Close the connections of LINK and release LINK on a later turn of the
   loop.  */
void narrow_link_destroy (narrow_link_t *link);
/* Return the port to which clients connect.  */
uint16_t narrow_link_port (const narrow_link_t *link);
/* Forward BYTES more of the server's bytes and then none; the connections stay
   open.  */
void narrow_link_stall_after (narrow_link_t *link, size_t bytes);
/* Return the number of the server's bytes that were forwarded.  */
size_t narrow_link_forwarded_bytes (const narrow_link_t *link);

#endif
