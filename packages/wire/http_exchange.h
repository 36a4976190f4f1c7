/* One HTTP/1.1 request and its response on a connection of their own.

   Connections are not reused.  The server may close an idle connection, stop
   responding on it or write to it.  A request sent on a reused connection may
   then be lost, without any way to know whether the server executed it, and
   bytes left from an earlier response can be mistaken for the response.  A new
   connection for each request excludes all of this; it costs one round trip
   and three system calls.

   Unlike httpc, this client reports whether any byte of the request left this
   process.  */

#ifndef WIRE_HTTP_EXCHANGE_H
#define WIRE_HTTP_EXCHANGE_H

#include "base/code.h"
#include "base/str.h"
#include "wire/httpc.h"

#include <uv.h>

typedef struct http_exchange http_exchange_t;

enum
{
  /* Limit of the headers of a response; servers send a few dozen.  */
  HTTP_EXCHANGE_HEADERS_MAX = 100
};

typedef struct
{
  int status; /* HTTP status code.  */
  const httpc_header_t *headers;
  size_t header_count;
} http_exchange_head_t;

/* Events of one exchange, in this order: at most one HEAD, any number of BODY,
   one END.  The exchange is released after END.  Borrowed arguments are valid
   until the callback returns.  END receives VH_OK for a complete response,
   VH_E_CONNECT when no byte of the request left this process,
   VH_E_UPSTREAM_CUT when the connection ended early, VH_E_PROTOCOL when the
   server's response is not valid HTTP or has a status that no response has,
   and VH_E_TOO_LARGE when its head with the interim responses before it is
   larger than 64 KiB or has more than 100 headers, there are more than 16
   interim responses, a chunk size has more than 16 digits, or more than 64 KiB
   of chunk sizes, chunk extensions and trailers arrive without a byte of the
   body (up to 64 KiB more of them are read with such bytes).  It is also given
   for a head of more than 8 KiB while the incomplete heads of all exchanges of
   the process take more than 8 MiB. The body itself has no limit, and there is
   no limit in time: both are up to the caller.  */
typedef struct
{
  void (*head) (void *arg, const http_exchange_head_t *head);
  void (*body) (void *arg, str_t bytes);
  void (*end) (void *arg, vh_code_t code);
} http_exchange_events_t;

/* Send an HTTP/1.1 request to ADDRESS (HOST:PORT, numeric): HEAD, a complete
   head whose buffer is taken over, and BODY, which is borrowed until the
   exchange ends or is cancelled.  The exchange ends with VH_E_CONNECT when the
   connection is not established within CONNECT_MS.  NO_BODY states that the
   response has no body (HEAD).  No event is delivered before this function
   returns.  Return NULL and release HEAD when ADDRESS is not valid.  */
http_exchange_t *http_exchange_start (uv_loop_t *loop, str_t address,
                                      buf_t *head, str_t body,
                                      uint64_t connect_ms, bool no_body,
                                      const http_exchange_events_t *events,
                                      void *arg);
/* Close the connection and deliver no further events.  May be called from an
   event callback.  */
void http_exchange_cancel (http_exchange_t *exchange);
/* Return whether the server may have received any byte of the request.  */
bool http_exchange_was_sent (const http_exchange_t *exchange);
/* Return the number of bytes received from the server.  */
uint64_t http_exchange_bytes_received (const http_exchange_t *exchange);
/* Stop and restart reading from the server.  While reading is stopped, TCP
   flow control limits the rate of a server whose response is consumed slowly.
 */
void http_exchange_pause (http_exchange_t *exchange);
void http_exchange_resume (http_exchange_t *exchange);

/* Return the value of the header NAME (in any letter case) of HEAD, or
   STR_NULL when HEAD has no such header.  */
str_t http_exchange_header (const http_exchange_head_t *head, str_t name);

#endif
