/* State shared by the parts of the HTTP server.

   httpd.c   server, requests and responses
   intake.c  incomplete requests: limits of size and time, and eviction of
             connections when memory or connections run out  */

#ifndef WIRE_HTTPDINT_H
#define WIRE_HTTPDINT_H

#include "base/mem.h"
#include "base/memory_budget.h"
#include "wire/httpd.h"
#include "wire/linger.h"
#include "wire/picohttp.h"
#include "wire/request_framing.h"

#include <h2o.h>

enum
{
  /* Interval of the check of limits of time, and whether the clients of
     unfinished requests have disconnected, in ms: h2o does not read while it
     waits for a response.  */
  HTTPD_CHECK_INTERVAL_MS = 100
};

/* Each stage has a list of its connections, ordered by the time of their last
   progress.  */
typedef enum
{
  STAGE_UNUSED,          /* No byte of a first request has arrived.  */
  STAGE_IDLE,            /* Kept open after a response.  */
  STAGE_RECEIVING,       /* A request is incomplete.  */
  STAGE_RECEIVING_LARGE, /* The same, and it takes much memory.  */
  STAGE_BUSY,            /* A request is with the handler, or its response is
                            being written.  */
  STAGE_COUNT
} connection_stage_t;

/* One accepted connection.  */
typedef struct
{
  list_t link;
  httpd_t *server;
  h2o_socket_t *sock;
  /* The context that h2o_accept got, a reference of this connection: h2o takes
     one only with the first bytes of the client.  NULL: no TLS.  */
  SSL_CTX *tls_context;
  /* h2o's read callback, which on_read of intake.c calls; NULL before it is
     known.  */
  h2o_socket_cb h2o_read;
  h2o_socket_cb handshake_read; /* h2o's read callback in the TLS handshake. */
  list_t unwrapped_link;        /* In httpd.unwrapped, or not linked.  */
  connection_stage_t stage;
  list_t stage_link; /* In httpd.stages[STAGE].  */
  bool is_tls;
  bool is_http2;
  bool has_had_request; /* A request was complete.  */
  bool is_error_sent;   /* An error response was sent for the request that is
                           incomplete.  */
  bool is_closing;      /* No longer counted, and about to be closed.  */
  size_t busy_count;    /* Requests that h2o has not released.  */
  size_t memory;        /* Part of memory_budget_t.used.  */
  size_t closing_bytes; /* Part of httpd.closing_bytes.  */
  size_t unprocessed_bytes;  /* Bytes that h2o left in the input buffer.  */
  request_framing_t framing; /* Of the bytes received over HTTP/1.  */
  bool is_scan_begun;        /* Whether bytes went through FRAMING.  */
  uint64_t passed_requests;  /* Requests that h2o passed to the handler.  */
  size_t received_bytes;
  size_t released_bytes; /* Bytes of bodies of released requests.  */

  /* The incomplete request.  */
  uint64_t started_ms;   /* Arrival of its first byte, by the loop's clock.  */
  uint64_t sequence;     /* Number of the request in order of their begin.  */
  uint64_t due_ms;       /* Time at which it has to be further: the head, then
                            the body complete.  */
  uint64_t expires_ms;   /* Time at which it has to be complete, shortly before
                            h2o closes the connection.  */
  uint64_t progress_ms;  /* Time of the last progress; in the other stages that
                            of their begin.  */
  size_t progress_bytes; /* Bytes received until then.  */
  size_t parsed_len;     /* Bytes that are no complete head.  */
  size_t head_len;       /* 0: the head is not complete.  */
} connection_t;

/* Head of a request whose body is not complete.  */
typedef struct
{
  str_t method;
  str_t target; /* Path and query.  */
  const struct phr_header *headers;
  size_t header_count;
} request_head_t;

typedef struct
{
  h2o_handler_t super;
  httpd_t *server;
} request_handler_t;

/* Allocated in the memory pool of the h2o request.  The disposal of the pool
   reports that h2o has released the request.  */
typedef struct
{
  httpd_req_t *req; /* NULL once REQ is released.  */
} disposal_guard_t;

struct httpd
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  bool listening;
  uint16_t port;
  h2o_globalconf_t config;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept_ctx;
  httpd_handler_t handler;
  httpd_head_cb_t on_head;
  void *arg;
  httpd_limits_t limits;
  uint32_t connections_max;
  size_t connection_count;
  list_t connections; /* Open connections, by link.  */
  list_t requests;    /* Requests not released yet, by link.  */
  size_t in_flight;
  size_t unwritten;      /* Number of elements of REQUESTS.  */
  char *tls_certificate; /* Path of the PEM file; NULL: no TLS.  */
  char *tls_key;
  /* Modification time of the certificate or key file in use, whichever is
     later.  */
  struct timespec tls_modified;
  uint64_t check_count; /* Expirations of CHECK_TIMER.  */
  uv_timer_t check_timer;
  uv_timer_t free_timer; /* Delays the free of the server.  */
  unsigned free_timer_ticks;
  unsigned open_handles; /* Handles that libuv has not closed yet.  */
  bool destroyed;

  /* Intake.  */
  memory_budget_t *memory;    /* Shared with other holders, or OWN_MEMORY.  */
  memory_budget_t own_memory; /* Without a limit.  */
  uint64_t request_ms; /* Time for a request and the idle time before it.  */
  /* Memory of connections that are evicted and that h2o has not released.  */
  size_t closing_bytes;
  list_t stages[STAGE_COUNT];
  size_t stage_counts[STAGE_COUNT];
  list_t unwrapped; /* Connections whose read callback may have changed.  */
  uv_prepare_t prepare;
  connection_t *reading; /* Connection whose read callback runs; NULL if none,
                            or once it is closed.  */
  uint64_t request_sequence;
  linger_t *linger;
  size_t http2_bytes;   /* Received over HTTP/2 since the memory of the process
                           was measured.  */
  size_t initial_bytes; /* Resident memory when the server was created.  */
  uint64_t refusals[HTTPD_REFUSAL_COUNT];
};

struct httpd_req
{
  /* Must be first: h2o passes a pointer to the generator to the callbacks.  */
  h2o_generator_t generator;
  list_t link;
  httpd_t *server;
  connection_t *connection;
  size_t body_bytes;
  const request_head_t *head; /* Set in a call of httpd_head_cb_t only; then
                                 there is nothing else.  */
  h2o_req_t *h2o;             /* NULL once h2o has released the request.  */
  disposal_guard_t *guard;
  buf_t pending;   /* Bytes not passed to h2o yet.  */
  buf_t writing;   /* Bytes of the response that h2o is writing.  */
  size_t memory;   /* Part of memory_budget_t.used.  */
  bool is_writing; /* h2o is writing the bytes of WRITING.  */
  bool started;
  bool is_last;     /* PENDING ends the response.  */
  bool aborted;     /* Aborted while h2o was writing.  */
  bool finished;    /* The last byte was passed to h2o, or REQ was aborted.  */
  int unsent_bytes; /* Bytes in the socket's send buffer at MOVED_MS.  */
  uint64_t moved_ms; /* Time at which the client last took bytes of a response
                        that is finished, by the loop's clock; 0: unknown.  */
  void (*on_drained) (void *arg);
  void (*on_disconnect) (void *arg);
  void *arg;
};

void intake_init (httpd_t *server, const httpd_options_t *options);
/* Release what intake_init acquired.  Connections that are still open are not
   limited any more.  */
void intake_free (httpd_t *server);
/* Return whether the next request that h2o passes on, over HTTP/1 on CONN, is
   one whose end is certain.  Otherwise it may be a part of another one's
   body.  */
bool intake_is_sound_request (connection_t *conn);
/* To be called for a connection that was accepted, when its first request goes
   to the handler, when h2o has released a request, and when it is closed.  */
void intake_add_connection (connection_t *conn);
void intake_request_begins (connection_t *conn);
void intake_request_ends (connection_t *conn, size_t body_bytes);
void intake_remove_connection (connection_t *conn);
/* Count the memory of the response to REQ.  */
void intake_count_response (httpd_req_t *req);
/* Evict a connection, so that another can be accepted.  Return false if none
   may be evicted.  */
bool intake_evict_one (httpd_t *server);
/* Enforce the limits of time.  To be called periodically.  */
void intake_tick (httpd_t *server);

#endif
