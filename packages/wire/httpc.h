/* HTTP/1.1 client of one server, on h2o's client and connection pool.  Used
   towards upstreams, the platform and the operators' port.  */

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
  uint64_t timeout_ms; /* Longest silence of the server, 0: 30 s.  */
} httpc_request_t;

/* Events of one call, in order: at most one head, any number of chunks, one
   done, after which the call is gone.  HEADERS live for the callback.  DONE
   with VH_OK means that the body was whole; VH_E_CONNECT that no byte of the
   request left this process; VH_E_UPSTREAM_CUT and VH_E_TIMEOUT that the
   server may have run it.  */
typedef struct
{
  void (*head) (void *arg, int status, const httpc_header_t *headers,
                size_t header_count);
  void (*chunk) (void *arg, str_t bytes);
  void (*done) (void *arg, vh_code_t code);
} httpc_events_t;

/* Return a client of ADDRESS (HOST:PORT, numeric), or NULL when it is not
   valid.  KEEP bounds its idle connections.  */
httpc_t *httpc_create (uv_loop_t *loop, str_t address, size_t keep);
/* Release CLIENT when its calls are over; cancel them first.  */
void httpc_destroy (httpc_t *client);
/* Start a call.  The request is copied.  Events come on later turns.  */
httpc_call_t *httpc_start (httpc_t *client, const httpc_request_t *request,
                           const httpc_events_t *events, void *arg);
/* End CALL without further events.  */
void httpc_cancel (httpc_call_t *call);
/* Stop and go on reading, so that a slow reader holds back the server.  */
void httpc_pause (httpc_call_t *call);
void httpc_resume (httpc_call_t *call);

/* A call whose whole body, up to LIMIT bytes, is gathered first.  */
typedef void (*httpc_fetch_cb_t) (void *arg, vh_code_t code, int status,
                                  str_t body);
httpc_call_t *httpc_fetch (httpc_t *client, const httpc_request_t *request,
                           size_t limit, httpc_fetch_cb_t cb, void *arg);

#endif
