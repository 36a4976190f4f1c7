/* A caller that sends one request as raw HTTP over a connection of its own and
   stores the response.  */

#ifndef TESTS_CALLER_H
#define TESTS_CALLER_H

#include "base/str.h"

#include <stdbool.h>
#include <uv.h>

/* One request of a caller.  */
typedef struct
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  buf_t request;
  buf_t response; /* NUL-terminated; the NUL is not counted in the length.  */
  bool closed;
  bool reads_nothing; /* The caller does not read the response.  */
  bool has_error;     /* The connection failed or was reset.  */
} caller_t;

/* Connect CALLER to PORT of HOST, an IP address, and send caller->request.
   CALLER must stay valid until caller->closed.  */
void caller_connect (uv_loop_t *loop, caller_t *caller, const char *host,
                     uint16_t port);
/* Let CALLER, which is connected and reads nothing, read the response.  */
void caller_begin_reading (caller_t *caller);
/* Close the caller's connection with a TCP reset.  */
void caller_reset (caller_t *caller);
/* Close the caller's connection.  */
void caller_disconnect (caller_t *caller);
/* Return the status of the response; 0 if there is none.  */
int caller_status (const caller_t *caller);
bool caller_response_contains (const caller_t *caller, const char *text);

#endif
