/* HTTP server on h2o over libuv: one handler for all paths, answers whole or
   streamed with back-pressure, and notice of a caller that went away.
   Serves callers, the operators' port and the tests' stand-ins.  */

#ifndef WIRE_HTTPD_H
#define WIRE_HTTPD_H

#include "base/code.h"
#include "base/str.h"
#include "wire/httpc.h"

#include <uv.h>

typedef struct httpd httpd_t;
typedef struct httpd_req httpd_req_t;

/* Called once a request and its body have been read whole.  The request
   stays valid until its answer's last byte is handed over or STOP is called,
   whichever is first.  */
typedef void (*httpd_handler_t) (void *arg, httpd_req_t *req);

typedef struct
{
  size_t body_limit;        /* Bytes; a larger body is answered with 413.  */
  uint64_t read_timeout_ms; /* Longest time to send a request's head.  */
  uint32_t connections_max; /* More are closed at once; 0: no bound.  */
  const char *tls_certificate; /* PEM files; NULL: no TLS.  */
  const char *tls_key;
} httpd_options_t;

/* Listen on ADDRESS (HOST:PORT, numeric; port 0 picks one).  Return VH_OK
   and *OUT, or VH_E_IO.  */
vh_code_t httpd_create (uv_loop_t *loop, str_t address,
                        const httpd_options_t *options,
                        httpd_handler_t handler, void *arg, httpd_t **out);
/* From now on end each HTTP/1 connection with its current answer, so that
   keep-alive callers move to another process.  */
void httpd_drain (httpd_t *server);
/* Stop listening; connections go on until idle.  */
void httpd_stop_listening (httpd_t *server);
/* Close idle connections and release SERVER when the last one is gone.  */
void httpd_destroy (httpd_t *server);
uint16_t httpd_port (const httpd_t *server);
/* Requests handed to the handler and not yet answered whole.  */
size_t httpd_in_flight (const httpd_t *server);
/* Requests whose answer has not left this process whole, or that are not
   answered yet.  */
size_t httpd_unwritten_responses (const httpd_t *server);
size_t httpd_connections (const httpd_t *server);

str_t httpd_method (const httpd_req_t *req);
/* The Host header.  */
str_t httpd_authority (const httpd_req_t *req);
/* The path without the query.  */
str_t httpd_path (const httpd_req_t *req);
/* What follows '?', or STR_NULL.  */
str_t httpd_query (const httpd_req_t *req);
/* Value of parameter NAME of the query, not decoded, or STR_NULL.  */
str_t httpd_query_param (const httpd_req_t *req, str_t name);
/* Value of header NAME (lower case), or STR_NULL.  */
str_t httpd_header (const httpd_req_t *req, str_t name);
/* Header INDEX; false past the end.  */
bool httpd_header_at (const httpd_req_t *req, size_t index,
                      httpc_header_t *header);
str_t httpd_body (const httpd_req_t *req);
/* Numeric address of the peer, in BUF; false when unknown.  */
bool httpd_peer_address (const httpd_req_t *req, char *buf, size_t size);
/* Tell whether the peer's address is a loopback one.  */
bool httpd_peer_is_loopback (const httpd_req_t *req);

/* Answer whole: STATUS, HEADERS and BODY, all copied.  */
void httpd_reply (httpd_req_t *req, int status, const httpc_header_t *headers,
                  size_t header_count, str_t body);
/* End the connection of REQ with its answer.  */
void httpd_disable_keep_alive (httpd_req_t *req);
/* Answer with BODY as application/json.  */
void httpd_reply_json (httpd_req_t *req, int status, str_t body);

/* Streamed answer: start, then send until LAST.  What cannot be written yet
   is buffered; the caller keeps the buffer small with the drained call.  */
void httpd_start_response (httpd_req_t *req, int status,
                           const httpc_header_t *headers, size_t header_count);
void httpd_send (httpd_req_t *req, str_t bytes, bool last);
/* End a started answer without its proper end, so that the peer sees it was
   cut.  */
void httpd_abort (httpd_req_t *req);
/* Bytes handed over and not yet taken by the socket.  */
size_t httpd_buffered_bytes (const httpd_req_t *req);

/* DRAINED: the buffer ran empty.  STOPPED: the peer went away; REQ is gone
   after it.  Either may be NULL.  */
void httpd_set_callbacks (httpd_req_t *req, void (*drained) (void *arg),
                          void (*stopped) (void *arg), void *arg);

#endif
