/* HTTP server based on h2o and libuv.  One handler receives the requests of
   all paths and sends a complete response or streams one with back-pressure.
   The server reports when a client disconnects before its response is
   complete.  Used for callers, the operators' port and the servers that tests
   use in place of real ones.

   Limits of size and time apply while clients send.  When memory or
   connections run out, connections are evicted; docs/LOAD.md lists the order
   and the responses.  */

#ifndef WIRE_HTTPD_H
#define WIRE_HTTPD_H

#include "base/code.h"
#include "base/memory_budget.h"
#include "base/metric.h"
#include "base/str.h"
#include "wire/httpc.h"

#include <uv.h>

typedef struct httpd httpd_t;
typedef struct httpd_req httpd_req_t;

/* Called when a request and its body have been received completely.  REQ stays
   valid until the last byte of its response is passed to httpd_send or
   httpd_reply, or until the ON_DISCONNECT callback of httpd_set_callbacks is
   called, whichever comes first.  */
typedef void (*httpd_handler_t) (void *arg, httpd_req_t *req);

/* Why a client was refused, or its connection closed.  */
#define HTTPD_REFUSALS(X)                                                     \
  X (HTTPD_REFUSED_MEMORY, "memory") /* No memory for the request.  */        \
  X (HTTPD_REFUSED_UNREAD, "unread") /* No memory for the response. */        \
  X (HTTPD_REFUSED_CONNECTIONS, "connections") /* Too many connections.  */   \
  X (HTTPD_REFUSED_TIME, "time")               /* A limit of time.  */        \
  X (HTTPD_REFUSED_HEAD, "head")               /* The head is too large.  */  \
  X (HTTPD_REFUSED_BODY, "body")               /* The body is too large.  */  \
  X (HTTPD_REFUSED_MALFORMED, "malformed")     /* See request_framing.h.  */  \
  X (HTTPD_REFUSED_REQUEST, "request")         /* By httpd_head_cb_t.  */

typedef enum
{
#define X(symbol, name) symbol,
  HTTPD_REFUSALS (X)
#undef X
      HTTPD_REFUSAL_COUNT
} httpd_refusal_t;

/* Limits on what a client sends.  */
typedef struct
{
  size_t body_bytes; /* A larger body gets a 413 response.  */
  size_t head_bytes; /* A larger head gets a 431 response; 0: 64 KiB.  It is
                        not applied to a head that arrives in one read.  */
  uint64_t head_ms;  /* Time from the first byte to the end of the head, after
                        which the client gets a 408 response; 0: that of
                        httpd_options_t.read_timeout_ms.  */
} httpd_limits_t;

/* What is decided on a request whose body has not arrived.  */
typedef struct
{
  vh_code_t code;          /* VH_OK, or why the request is refused.  */
  uint64_t retry_after_ms; /* Retry-After of the refusal; 0: none.  */
  uint64_t body_ms; /* Time in which the body has to arrive, after which the
                       client gets a 408 response; 0: no limit.  */
} httpd_decision_t;

/* Called when the head of a request is complete and its body is not, for
   requests of HTTP/1.  REQ has no body, and is valid until the function
   returns; only functions that read the request may be called for it.  */
typedef httpd_decision_t (*httpd_head_cb_t) (void *arg,
                                             const httpd_req_t *req);

typedef struct
{
  size_t body_limit; /* As httpd_limits_t.body_bytes.  */
  /* Longest time that a client may take to send a request, in ms; 0: 10 s.  */
  uint64_t read_timeout_ms;
  /* Largest number of open connections.  To accept a further one, one that has
     no complete request is evicted.  0: no limit.  */
  uint32_t connections_max;
  memory_budget_t *memory; /* Borrowed; NULL: memory is not limited.  */
  httpd_head_cb_t on_head; /* NULL: all heads are accepted.  */
  /* Paths of the PEM files; NULL: no TLS.  */
  const char *tls_certificate;
  const char *tls_key;
} httpd_options_t;

/* Listen on ADDRESS (HOST:PORT, numeric; port 0 selects a free port).  Return
   VH_OK and the server in *OUT, or VH_E_IO when the address cannot be bound or
   the certificate or key cannot be used.  */
vh_code_t httpd_create (uv_loop_t *loop, str_t address,
                        const httpd_options_t *options,
                        httpd_handler_t handler, void *arg, httpd_t **out);
/* Set the limits for requests from now on.  Those of before are in the options
   of httpd_create.  */
void httpd_set_limits (httpd_t *server, const httpd_limits_t *limits);
/* Return the number of connections that a process may accept of which MAX are
   wanted, so that it keeps descriptors for other uses.  DESCRIPTORS is the
   limit of the process's descriptors, 0: that of the system.  */
uint32_t httpd_connection_limit (uint32_t max, uint32_t descriptors);
/* Evict connections until the memory budget is not exceeded, or none is left
   that may be evicted.  */
void httpd_release_memory (httpd_t *server);
/* Set the counters SERIES of METRICS, which have the label `reason', to the
   numbers of clients that SERVER refused.  SERIES must outlive METRICS.  */
void httpd_export_refusals (const httpd_t *server, metrics_t *metrics,
                            const char *series);
/* From now on close each HTTP/1 connection after its current response, so that
   keep-alive clients reconnect to another process.  */
void httpd_drain (httpd_t *server);
/* Close the listening socket; open connections continue until they are
   idle.  */
void httpd_stop_listening (httpd_t *server);
/* Abort the responses in progress, close all connections and release SERVER
   once the last connection is closed.  */
void httpd_destroy (httpd_t *server);
/* Return the port on which SERVER listens.  */
uint16_t httpd_port (const httpd_t *server);
/* Return the number of requests passed to the handler whose response the
   handler has not completed.  */
size_t httpd_in_flight (const httpd_t *server);
/* Return the number of requests whose response is not completed, or has not
   been written to the socket completely.  */
size_t httpd_unwritten_responses (const httpd_t *server);
/* Return the number of open connections.  */
size_t httpd_connections (const httpd_t *server);

str_t httpd_method (const httpd_req_t *req);
/* Return the value of the Host header.  */
str_t httpd_authority (const httpd_req_t *req);
/* Return the path without the query.  */
str_t httpd_path (const httpd_req_t *req);
/* Return the part of the path after `?', or STR_NULL when there is none.  */
str_t httpd_query (const httpd_req_t *req);
/* Return the value of the query parameter NAME, not percent-decoded, or
   STR_NULL when the query has no such parameter.  */
str_t httpd_query_param (const httpd_req_t *req, str_t name);
/* Return the value of the header NAME (lower case), or STR_NULL when the
   request has no such header.  */
str_t httpd_header (const httpd_req_t *req, str_t name);
/* Set *HEADER to the header with the index INDEX.  Return false when INDEX is
   past the last header.  */
bool httpd_header_at (const httpd_req_t *req, size_t index,
                      httpc_header_t *header);
str_t httpd_body (const httpd_req_t *req);
/* Write the numeric address of the client to BUF, which must have room for
   NI_MAXHOST bytes.  Return false when the address is not known.  */
bool httpd_peer_address (const httpd_req_t *req, char *buf, size_t size);
/* Return whether the client has a loopback address.  */
bool httpd_peer_is_loopback (const httpd_req_t *req);

/* Send a complete response of STATUS, HEADERS and BODY, all of which are
   copied.  */
void httpd_reply (httpd_req_t *req, int status, const httpc_header_t *headers,
                  size_t header_count, str_t body);
/* Close the connection of REQ after its response.  */
void httpd_disable_keep_alive (httpd_req_t *req);
/* Send a complete response with BODY as application/json.  */
void httpd_reply_json (httpd_req_t *req, int status, str_t body);

/* Start a streamed response.  The body follows with httpd_send.  */
void httpd_start_response (httpd_req_t *req, int status,
                           const httpc_header_t *headers, size_t header_count);
/* Send BYTES of a streamed response; LAST ends the response.  Bytes that the
   socket does not accept yet are buffered without a limit: the caller bounds
   the buffer by sending more from the ON_DRAINED callback of
   httpd_set_callbacks.  */
void httpd_send (httpd_req_t *req, str_t bytes, bool last);
/* Close the connection before the end of the response, so that the client
   recognizes the response as incomplete.  */
void httpd_abort (httpd_req_t *req);
/* Return the number of bytes passed to httpd_send that the socket has not
   accepted yet.  */
size_t httpd_buffered_bytes (const httpd_req_t *req);
/* Return the memory of the buffers for these bytes.  */
size_t httpd_buffer_memory (const httpd_req_t *req);

/* Set the callbacks of REQ.  ON_DRAINED is called when the send buffer becomes
   empty.  ON_DISCONNECT is called when the client has disconnected; REQ must
   not be used from then on.  Either may be NULL.  */
void httpd_set_callbacks (httpd_req_t *req, void (*on_drained) (void *arg),
                          void (*on_disconnect) (void *arg), void *arg);

#endif
