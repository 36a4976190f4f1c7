/* HTTP server based on h2o and libuv.  One handler receives the requests of
   all paths and sends a complete response or streams one with back-pressure.
   The server reports when a client disconnects before its response is
   complete.  Used for callers, the operators' port and the servers that tests
   use in place of real ones.  */

#ifndef WIRE_HTTPD_H
#define WIRE_HTTPD_H

#include "base/code.h"
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

typedef struct
{
  size_t body_limit; /* In bytes; a larger body gets a 413 response.  */
  /* Longest time that a client may take to send a request's head, in ms;
     0: 10 s.  */
  uint64_t read_timeout_ms;
  /* Largest number of open connections; further ones are closed on accept.
     0: no limit.  */
  uint32_t connections_max;
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
