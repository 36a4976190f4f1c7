/* Close of connections whose client still sends.  Closing a socket with unread
   bytes resets the connection, and the client may then lose the response.  So
   the sending side is shut down first, and what the client sends is read and
   discarded until it closes, for a bounded time and number of bytes.  */

#ifndef WIRE_LINGER_H
#define WIRE_LINGER_H

#include <uv.h>

typedef struct linger_set linger_t;

/* BYTES_MAX is the number of bytes that are discarded of one connection.  */
linger_t *linger_create (uv_loop_t *loop, uint64_t bytes_max);
/* Close all connections.  LINGER is released at once.  */
void linger_destroy (linger_t *linger);
/* Take over FD, a socket to which the last byte has been written.  When too
   many connections linger, the oldest is closed.  */
void linger_add (linger_t *linger, int fd);
/* Close the connections that have lingered long enough.  To be called
   periodically.  */
void linger_expire (linger_t *linger);

#endif
