/* HTTP/1.1 client of one server, based on h2o's client and connection pool.
   Used for requests to upstreams, the platform and the operators' port.  */

#ifndef WIRE_HTTPC_H
#define WIRE_HTTPC_H

#include "base/code.h"
#include "base/str.h"

#include <uv.h>

typedef struct httpc httpc_t;
typedef struct httpc_call httpc_call_t;

typedef struct
{
  str_t name;
  str_t value;
} httpc_header_t;

typedef struct
{
  str_t method;
  str_t path;
  const httpc_header_t *headers;
  size_t header_count;
  str_t body;
  /* Longest time without a byte from the server, in ms; 0: 30 s.  */
  uint64_t timeout_ms;
} httpc_request_t;

/* Events of one call, in this order: at most one HEAD, any number of CHUNK,
   one DONE.  The call is released after DONE.  HEADERS are valid until the
   callback returns.  DONE receives VH_OK for a complete body, VH_E_CONNECT
   when no byte of the request left this process.  The server may have executed
   the request where it receives VH_E_UPSTREAM_CUT, VH_E_TIMEOUT,
   VH_E_PROTOCOL for a status that no response has, or VH_E_TOO_LARGE for a
   head of more than 64 KiB.  */
typedef struct
{
  void (*head) (void *arg, int status, const httpc_header_t *headers,
                size_t header_count);
  void (*chunk) (void *arg, str_t bytes);
  void (*done) (void *arg, vh_code_t code);
} httpc_events_t;

/* Return a client of the server at ADDRESS (HOST:PORT, numeric), or NULL when
   ADDRESS is not valid.  At most MAX_IDLE idle connections are kept open.  */
httpc_t *httpc_create (uv_loop_t *loop, str_t address, size_t max_idle);
/* Release CLIENT.  All of its calls must have finished or been cancelled.  */
void httpc_destroy (httpc_t *client);
/* Start a call.  REQUEST is copied.  No event is delivered before this
   function returns.  */
httpc_call_t *httpc_start (httpc_t *client, const httpc_request_t *request,
                           const httpc_events_t *events, void *arg);
/* End CALL and deliver no further events.  */
void httpc_cancel (httpc_call_t *call);
/* Stop and restart reading, so that a slow reader slows the server down.  */
void httpc_pause (httpc_call_t *call);
void httpc_resume (httpc_call_t *call);

/* Receives the result of httpc_fetch.  CODE is as in httpc_events_t, or
   VH_E_TOO_LARGE as soon as the body is larger than the limit; the connection
   is closed then.  BODY is valid until the callback returns.  */
typedef void (*httpc_fetch_cb_t) (void *arg, vh_code_t code, int status,
                                  str_t body);
/* Start a call whose body, of up to LIMIT bytes, is collected and passed to CB
   at once.  */
httpc_call_t *httpc_fetch (httpc_t *client, const httpc_request_t *request,
                           size_t limit, httpc_fetch_cb_t cb, void *arg);

#endif
