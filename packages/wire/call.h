/* One HTTP/1.1 call on a connection of its own.

   A kept connection may have been closed, silenced or written to by the
   server while it was idle: a request written to it is then lost without any
   way to tell whether it ran, and bytes left over from an earlier answer can
   be taken for its own.  A connection for each call has none of these states;
   it costs one round trip and three system calls.

   Unlike httpc, a call tells an answer without a length that ended from one
   that was reset, and whether any byte of the request left this process.  */

#ifndef WIRE_CALL_H
#define WIRE_CALL_H

#include "base/code.h"
#include "base/str.h"
#include "wire/httpc.h"

#include <uv.h>

typedef struct call call_t;

typedef struct
{
  int status;
  const httpc_header_t *headers;
  size_t header_count;
} http_exchange_head_t;

/* Events of one call, in order: at most one head, any number of body pieces,
   one end, after which the call is gone.  What is borrowed lives for the
   callback.  END with VH_OK means that the answer was whole; VH_E_CONNECT that
   no byte of the request left this process; VH_E_UPSTREAM_CUT that the
   connection ended early; VH_E_PROTOCOL that the server sent no HTTP.  */
typedef struct
{
  void (*head) (void *arg, const http_exchange_head_t *head);
  void (*body) (void *arg, str_t bytes);
  void (*end) (void *arg, vh_code_t code);
} http_exchange_events_t;

/* Send REQUEST, a whole HTTP/1.1 request that the call takes over, to ADDRESS
   (HOST:PORT, numeric).  A connection that is not there within CONNECT_MS ends
   with VH_E_CONNECT.  NO_BODY says that the answer has none (HEAD).  Events
   come on later turns.  Return NULL when ADDRESS is not valid; REQUEST is
   released then too.  */
call_t *http_exchange_start (uv_loop_t *loop, str_t address, buf_t *request,
                             uint64_t connect_ms, bool no_body,
                             const http_exchange_events_t *events, void *arg);
/* Close the connection; no further events.  Also inside an event.  */
void http_exchange_cancel (call_t *call);
/* Tell whether any byte of the request may have reached the server.  */
bool http_exchange_was_sent (const call_t *call);
/* Stop and go on reading, so that a slow reader holds back the server.  */
void http_exchange_pause (call_t *call);
void http_exchange_resume (call_t *call);

/* Return the value of header NAME (any case) of HEAD, or STR_NULL.  */
str_t http_exchange_header (const http_exchange_head_t *head, str_t name);

#endif
