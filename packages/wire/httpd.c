#include "wire/httpd.h"

#include "base/log.h"
#include "base/mem.h"
#include "wire/addr.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <netinet/tcp.h>
#include <openssl/ssl.h>
#include <stdlib.h>
#include <sys/stat.h>

enum
{
  LISTEN_BACKLOG = 1024,
  FREE_DELAY_TICKS = 2,
  /* Size up to which the buffer of a response is kept for its next part.  */
  SPARE_BYTES_MAX = 4096,
  DEFAULT_READ_TIMEOUT_MS = 10000,
  /* Interval of the check whether the clients of unfinished requests have
     disconnected, in ms: h2o does not read while it waits for a response.  */
  DISCONNECT_CHECK_INTERVAL_MS = 100,
  /* Disconnect checks per check of the certificate files.  */
  TLS_CHECK_TICKS = 20,
  /* How far h2o's limit of a request body is above ours, in bytes: a body
     between the two limits is received and refused with our own response.  */
  H2O_BODY_LIMIT_MARGIN_BYTES = 1 << 20
};

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
  void *arg;
  size_t body_limit;
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
};

/* One accepted connection.  */
typedef struct
{
  list_t link;
  httpd_t *server;
  h2o_socket_t *sock;
  /* h2o's read callback, which on_first_read calls.  NULL: TLS connection.  */
  h2o_socket_cb h2o_read;
  uint64_t accepted_ms; /* Time of the accept by the loop's clock, in ms.  */
  bool error_sent; /* reject_incomplete_request sent an error response.  */
} connection_t;

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

struct httpd_req
{
  /* Must be first: h2o passes a pointer to the generator to the callbacks.  */
  h2o_generator_t generator;
  list_t link;
  httpd_t *server;
  h2o_req_t *h2o; /* NULL once h2o has released the request.  */
  disposal_guard_t *guard;
  buf_t pending;   /* Bytes not passed to h2o yet.  */
  buf_t writing;   /* Bytes of the response that h2o is writing.  */
  bool is_writing; /* h2o is writing the bytes of WRITING.  */
  bool started;
  bool is_last;  /* PENDING ends the response.  */
  bool aborted;  /* Aborted while h2o was writing.  */
  bool finished; /* The last byte was passed to h2o, or REQ was aborted.  */
  void (*on_drained) (void *arg);
  void (*on_disconnect) (void *arg);
  void *arg;
};

/* Mark REQ as finished.  Further calls have no effect.  */
static void
mark_finished (httpd_req_t *req)
{
  if (req->finished)
    return;
  req->finished = true;
  req->server->in_flight--;
}

static void
release_req (httpd_req_t *req)
{
  mark_finished (req);
  list_remove (&req->link);
  req->server->unwritten--;
  if (req->guard != NULL)
    req->guard->req = NULL;
  buf_free (&req->pending);
  buf_free (&req->writing);
  free (req);
}

/* Release REQ after h2o has released its request, and report the disconnected
   client if the response was not complete.  */
static void
on_request_disposed (httpd_req_t *req)
{
  void (*on_disconnect) (void *) = req->finished ? NULL : req->on_disconnect;
  void *arg = req->arg;

  req->h2o = NULL;
  req->guard = NULL;
  release_req (req);
  if (on_disconnect != NULL)
    on_disconnect (arg);
}

static void
on_guard_disposed (void *ptr)
{
  disposal_guard_t *guard = ptr;

  if (guard->req != NULL)
    on_request_disposed (guard->req);
}

static void
on_generator_stop (h2o_generator_t *generator, h2o_req_t *h2o)
{
  httpd_req_t *req = (httpd_req_t *)generator;

  (void)h2o;
  if (req->guard != NULL)
    req->guard->req = NULL;
  on_request_disposed (req);
}

/* Release the empty BUF unless it is small enough to be kept.  */
static void
free_large_buffer (buf_t *buf)
{
  buf->len = 0;
  if (buf->cap > SPARE_BYTES_MAX)
    buf_free (buf);
}

/* Pass the pending bytes to h2o unless h2o is still writing.  */
static void
send_pending (httpd_req_t *req)
{
  if (req->is_writing || (req->pending.len == 0 && !req->is_last))
    return;
  buf_t spare = req->writing;
  req->writing = req->pending;
  req->pending = spare;
  req->pending.len = 0;
  req->is_writing = true;
  if (req->is_last)
    mark_finished (req);
  h2o_iovec_t vec = h2o_iovec_init (req->writing.ptr, req->writing.len);
  h2o_send (req->h2o, &vec, vec.len > 0 ? 1 : 0,
            req->is_last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_generator_proceed (h2o_generator_t *generator, h2o_req_t *h2o)
{
  httpd_req_t *req = (httpd_req_t *)generator;

  (void)h2o;
  req->is_writing = false;
  free_large_buffer (&req->writing);
  if (req->aborted)
    h2o_send (req->h2o, NULL, 0, H2O_SEND_STATE_ERROR);
  if (req->finished)
    return;
  if (req->pending.len > 0 || req->is_last)
    send_pending (req);
  else if (req->on_drained != NULL)
    req->on_drained (req->arg);
}

static int
on_request (h2o_handler_t *self, h2o_req_t *h2o)
{
  httpd_t *server = ((request_handler_t *)self)->server;
  httpd_req_t *req = mem_zalloc (sizeof *req);

  req->generator.proceed = on_generator_proceed;
  req->generator.stop = on_generator_stop;
  req->server = server;
  req->h2o = h2o;
  req->guard = h2o_mem_alloc_shared (&h2o->pool, sizeof *req->guard,
                                     on_guard_disposed);
  req->guard->req = req;
  list_append (&server->requests, &req->link);
  server->in_flight++;
  server->unwritten++;
  if (h2o->entity.len > server->body_limit)
    {
      const code_info_t *info = code_info (VH_E_TOO_LARGE);
      buf_t body = BUF_NULL;
      code_write_error (VH_E_TOO_LARGE, "not-run", &body);
      buf_append_char (&body, '\n');
      httpd_reply_json (req, info->http_status, buf_str (&body));
      buf_free (&body);
      return 0;
    }
  server->handler (server->arg, req);
  return 0;
}

/* Return whether the client of REQ has closed or reset its connection.  */
static bool
has_client_disconnected (const httpd_req_t *req)
{
  h2o_conn_t *conn = req->h2o->conn;
  char byte;

  if (conn->callbacks->get_socket == NULL)
    return false;
  h2o_socket_t *sock = conn->callbacks->get_socket (conn);
  if (sock == NULL || h2o_socket_is_reading (sock))
    return false;
  ssize_t peeked
      = recv (h2o_socket_get_fd (sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EINTR);
}

/* Abort the response of REQ and call its on_disconnect callback.  */
static void
abort_response (httpd_req_t *req)
{
  void (*on_disconnect) (void *) = req->on_disconnect;
  void *arg = req->arg;

  if (req->finished)
    return;
  httpd_abort (req);
  if (on_disconnect != NULL)
    on_disconnect (arg);
}

/* Return a TLS context with the certificate and key of the PEM files, or NULL
   when they cannot be used.  */
static SSL_CTX *
create_tls_context (const char *certificate, const char *key)
{
  SSL_CTX *tls = SSL_CTX_new (TLS_server_method ());

  if (tls == NULL)
    return NULL;
  SSL_CTX_set_min_proto_version (tls, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file (tls, certificate) != 1
      || SSL_CTX_use_PrivateKey_file (tls, key, SSL_FILETYPE_PEM) != 1
      || SSL_CTX_check_private_key (tls) != 1)
    {
      SSL_CTX_free (tls);
      return NULL;
    }
  h2o_ssl_register_alpn_protocols (tls, h2o_http2_alpn_protocols);
  return tls;
}

/* Return the modification time of the certificate or key file, whichever is
   later, or zero when a file is missing.  */
static struct timespec
latest_tls_modification (const httpd_t *server)
{
  struct stat certificate, key;
  struct timespec none = { 0, 0 };

  if (stat (server->tls_certificate, &certificate) != 0
      || stat (server->tls_key, &key) != 0)
    return none;
  bool key_is_later
      = key.st_mtim.tv_sec > certificate.st_mtim.tv_sec
        || (key.st_mtim.tv_sec == certificate.st_mtim.tv_sec
            && key.st_mtim.tv_nsec > certificate.st_mtim.tv_nsec);
  return key_is_later ? key.st_mtim : certificate.st_mtim;
}

/* Load a changed certificate and use it for new connections.  While the files
   are being replaced the certificate and the key do not match; the old
   certificate stays in use until they do.  */
static void
reload_certificate (httpd_t *server)
{
  struct timespec modified = latest_tls_modification (server);

  if (modified.tv_sec == server->tls_modified.tv_sec
      && modified.tv_nsec == server->tls_modified.tv_nsec)
    return;
  SSL_CTX *new_context
      = create_tls_context (server->tls_certificate, server->tls_key);
  if (new_context == NULL)
    return;
  server->tls_modified = modified;
  SSL_CTX_free (server->accept_ctx.ssl_ctx);
  server->accept_ctx.ssl_ctx = new_context;
  log_notice ("http", "New connections use the renewed certificate. file=%s",
              server->tls_certificate);
}

static void reject_late_requests (httpd_t *server);

static void
on_check_timer (uv_timer_t *timer)
{
  httpd_t *server = timer->data;

  if (server->tls_certificate != NULL
      && ++server->check_count % TLS_CHECK_TICKS == 0)
    reload_certificate (server);
  reject_late_requests (server);
  LIST_EACH (at, &server->requests)
    {
      httpd_req_t *req = CONTAINER_OF (at, httpd_req_t, link);
      if (req->on_disconnect != NULL && has_client_disconnected (req))
        abort_response (req);
    }
}

static void release_if_closed (httpd_t *server);

static void
on_handle_closed (uv_handle_t *handle)
{
  httpd_t *server = handle->data;

  server->open_handles--;
  release_if_closed (server);
}

static void
on_free_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

/* Free the server on the second tick of the timer.  When the server is
   released from a close callback, libuv puts h2o's handles on the closing list
   of the next turn of the loop.  The timers of that turn run before the list
   is processed, and the list is processed from the newest handle on, so that a
   free on that turn would release handles that are still on the list.  On the
   second tick the list has been processed.  */
static void
on_free_timer (uv_timer_t *timer)
{
  httpd_t *server = timer->data;

  if (++server->free_timer_ticks == FREE_DELAY_TICKS)
    uv_close ((uv_handle_t *)timer, on_free_timer_closed);
}

/* Release SERVER if it is destroyed and its handles and connections are
   closed.  */
static void
release_if_closed (httpd_t *server)
{
  if (!server->destroyed || server->open_handles > 0
      || server->connection_count > 0)
    return;
  if (server->accept_ctx.ssl_ctx != NULL)
    SSL_CTX_free (server->accept_ctx.ssl_ctx);
  h2o_context_dispose (&server->ctx);
  free (server->tls_certificate);
  free (server->tls_key);
  h2o_config_dispose (&server->config);
  /* h2o closes its timers without a callback, and libuv needs their memory
     until the end of this turn of the loop at the latest, so a timer frees the
     memory on a later turn.  */
  uv_timer_init (server->loop, &server->free_timer);
  server->free_timer.data = server;
  uv_timer_start (&server->free_timer, on_free_timer, 1, 1);
}

static void
on_connection_closed (void *data)
{
  connection_t *conn = data;
  httpd_t *server = conn->server;

  list_remove (&conn->link);
  free (conn);
  server->connection_count--;
  if (server->destroyed && server->connection_count == 0)
    {
      /* h2o called this function and still uses the connection: the server is
         released on a later turn of the loop.  */
      server->open_handles++;
      uv_timer_init (server->loop, &server->free_timer);
      server->free_timer.data = server;
      uv_close ((uv_handle_t *)&server->free_timer, on_handle_closed);
    }
}

static void
free_tcp_handle (uv_handle_t *handle)
{
  free (handle);
}

/* Send the client of CONN, whose first request was not received completely, an
   error response stating that the request was not executed.  h2o closes such a
   connection without a response, which the client could not distinguish from a
   lost response.  */
static void
reject_incomplete_request (connection_t *conn)
{
  const code_info_t *info = code_info (VH_E_BAD_REQUEST);
  buf_t body = BUF_NULL;
  buf_t response = BUF_NULL;

  if (conn->error_sent)
    return;
  conn->error_sent = true;
  code_write_error (VH_E_BAD_REQUEST, "not-run", &body);
  buf_append_char (&body, '\n');
  buf_printf (&response,
              "HTTP/1.1 %d Bad Request\r\nconnection: close\r\n"
              "content-type: application/json\r\n"
              "vanillahook-outcome: not-run\r\ncontent-length: %zu\r\n\r\n",
              info->http_status, body.len);
  buf_append_str (&response, buf_str (&body));
  ssize_t sent = send (h2o_socket_get_fd (conn->sock), response.ptr,
                       response.len, MSG_DONTWAIT | MSG_NOSIGNAL);
  (void)sent;
  buf_free (&body);
  buf_free (&response);
}

/* Return whether INPUT starts with a complete line that is not an HTTP request
   line.  */
static bool
is_not_http (str_t input)
{
  const char *end = memchr (input.ptr, '\n', input.len);

  return end != NULL
         && memmem (input.ptr, (size_t)(end - input.ptr), " HTTP/", 6) == NULL;
}

/* Read callback of a connection until its first request is complete; calls
   h2o's read callback.
   XXX: the connection is still closed without a response when a later request
   on the same connection, or a request over TLS, is not received
   completely.  */
static void
on_first_read (h2o_socket_t *sock, const char *err)
{
  connection_t *conn = sock->on_close.data;
  h2o_socket_cb h2o_read = conn->h2o_read;

  /* Input that is not HTTP is reported to h2o as a closed connection: h2o
     would send an error response of its own as well.  */
  if (err == NULL
      && is_not_http (str_make (sock->input->bytes, sock->input->size)))
    err = h2o_socket_error_closed;
  if (err != NULL && sock->input->size > 0)
    reject_incomplete_request (conn);
  h2o_read (sock, err);
}

/* Send an error response on connections whose first request is not complete in
   time, shortly before h2o closes these connections.  */
static void
reject_late_requests (httpd_t *server)
{
  uint64_t limit_ms
      = server->config.http1.req_timeout - 2 * DISCONNECT_CHECK_INTERVAL_MS;
  uint64_t now_ms = uv_now (server->loop);

  LIST_EACH (at, &server->connections)
    {
      connection_t *conn = CONTAINER_OF (at, connection_t, link);
      if (conn->h2o_read != NULL && conn->sock->_cb.read == on_first_read
          && conn->sock->input->size > 0
          && now_ms - conn->accepted_ms >= limit_ms)
        reject_incomplete_request (conn);
    }
}

static void
on_accept (uv_stream_t *listener, int status)
{
  httpd_t *server = listener->data;

  if (status != 0)
    return;
  uv_tcp_t *stream = mem_alloc (sizeof *stream);
  uv_tcp_init (server->loop, stream);
  if (uv_accept (listener, (uv_stream_t *)stream) != 0
      || (server->connections_max > 0
          && server->connection_count >= server->connections_max))
    {
      uv_close ((uv_handle_t *)stream, free_tcp_handle);
      return;
    }
  uv_tcp_nodelay (stream, 1);
  h2o_socket_t *sock
      = h2o_uv_socket_create ((uv_stream_t *)stream, free_tcp_handle);
  connection_t *conn = mem_zalloc (sizeof *conn);
  conn->server = server;
  conn->sock = sock;
  list_append (&server->connections, &conn->link);
  sock->on_close.cb = on_connection_closed;
  sock->on_close.data = conn;
  server->connection_count++;
  conn->accepted_ms = uv_now (server->loop);
  h2o_accept (&server->accept_ctx, sock);
  if (server->accept_ctx.ssl_ctx == NULL)
    {
      conn->h2o_read = sock->_cb.read;
      sock->_cb.read = on_first_read;
    }
}

static void
configure (httpd_t *server, const httpd_options_t *options)
{
  h2o_config_init (&server->config);
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("vanillahook"));
  server->config.max_request_entity_size
      = options->body_limit + H2O_BODY_LIMIT_MARGIN_BYTES;
  server->config.http1.req_timeout = options->read_timeout_ms > 0
                                         ? options->read_timeout_ms
                                         : DEFAULT_READ_TIMEOUT_MS;
  server->config.http1.upgrade_to_http2 = 0;
  h2o_hostconf_t *host = h2o_config_register_host (
      &server->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  request_handler_t *handler
      = (request_handler_t *)h2o_create_handler (path, sizeof *handler);
  handler->super.on_req = on_request;
  handler->server = server;
  h2o_context_init (&server->ctx, server->loop, &server->config);
  server->accept_ctx.ctx = &server->ctx;
  server->accept_ctx.hosts = server->config.hosts;
}

vh_code_t
httpd_create (uv_loop_t *loop, str_t address, const httpd_options_t *options,
              httpd_handler_t handler, void *arg, httpd_t **out)
{
  httpd_t *server = mem_zalloc (sizeof *server);

  *out = NULL;
  server->loop = loop;
  server->handler = handler;
  server->arg = arg;
  server->body_limit = options->body_limit;
  server->connections_max = options->connections_max;
  list_init (&server->connections);
  list_init (&server->requests);
  configure (server, options);
  if (options->tls_certificate != NULL)
    {
      server->accept_ctx.ssl_ctx
          = create_tls_context (options->tls_certificate, options->tls_key);
      if (server->accept_ctx.ssl_ctx == NULL)
        {
          log_err ("http",
                   "Cannot load the TLS certificate or its key. file=%s",
                   options->tls_certificate);
          free (server);
          return VH_E_IO;
        }
      server->tls_certificate = str_dup (str_from (options->tls_certificate));
      server->tls_key = str_dup (str_from (options->tls_key));
      server->tls_modified = latest_tls_modification (server);
    }
  uv_tcp_init (loop, &server->listener);
  uv_timer_init (loop, &server->check_timer);
  server->listener.data = server;
  server->check_timer.data = server;
  server->open_handles = 2;
  uv_timer_start (&server->check_timer, on_check_timer,
                  DISCONNECT_CHECK_INTERVAL_MS, DISCONNECT_CHECK_INTERVAL_MS);
  uv_unref ((uv_handle_t *)&server->check_timer);
  if (!addr_listen (&server->listener, address, LISTEN_BACKLOG, on_accept,
                    &server->port))
    {
      httpd_destroy (server);
      return VH_E_IO;
    }
  server->listening = true;
  *out = server;
  return VH_OK;
}

void
httpd_drain (httpd_t *server)
{
  /* XXX: HTTP/2 connections are sent no GOAWAY and stay open until the server
     is destroyed.  h2o's own shutdown function registers a timer with which
     h2o_context_dispose then fails.  */
  server->ctx.shutdown_requested = 1;
}

void
httpd_stop_listening (httpd_t *server)
{
  if (!server->listening)
    return;
  server->listening = false;
  uv_close ((uv_handle_t *)&server->listener, on_handle_closed);
}

void
httpd_destroy (httpd_t *server)
{
  if (server == NULL || server->destroyed)
    return;
  server->destroyed = true;
  httpd_drain (server);
  if (!uv_is_closing ((uv_handle_t *)&server->listener))
    uv_close ((uv_handle_t *)&server->listener, on_handle_closed);
  server->listening = false;
  uv_close ((uv_handle_t *)&server->check_timer, on_handle_closed);
  /* h2o keeps an idle connection open until its client or a timeout closes it.
     Shutting the socket down makes h2o close the connection on the next turn
     of the loop.  */
  LIST_EACH (at, &server->requests)
    abort_response (CONTAINER_OF (at, httpd_req_t, link));
  LIST_EACH (at, &server->connections)
    shutdown (h2o_socket_get_fd (CONTAINER_OF (at, connection_t, link)->sock),
              SHUT_RDWR);
}

uint16_t
httpd_port (const httpd_t *server)
{
  return server->port;
}

size_t
httpd_in_flight (const httpd_t *server)
{
  return server->in_flight;
}

size_t
httpd_unwritten_responses (const httpd_t *server)
{
  return server->unwritten;
}

size_t
httpd_connections (const httpd_t *server)
{
  return server->connection_count;
}

static str_t
vec_to_str (h2o_iovec_t vec)
{
  return str_make (vec.base, vec.len);
}

str_t
httpd_method (const httpd_req_t *req)
{
  return vec_to_str (req->h2o->input.method);
}

str_t
httpd_authority (const httpd_req_t *req)
{
  return vec_to_str (req->h2o->input.authority);
}

str_t
httpd_path (const httpd_req_t *req)
{
  str_t path = vec_to_str (req->h2o->input.path);

  if (req->h2o->input.query_at != SIZE_MAX)
    path.len = req->h2o->input.query_at;
  return path;
}

str_t
httpd_query (const httpd_req_t *req)
{
  size_t at = req->h2o->input.query_at;

  if (at == SIZE_MAX)
    return STR_NULL;
  h2o_iovec_t path = req->h2o->input.path;
  return str_make (path.base + at + 1, path.len - at - 1);
}

str_t
httpd_query_param (const httpd_req_t *req, str_t name)
{
  str_t rest = httpd_query (req);

  while (rest.ptr != NULL)
    {
      str_t pair = str_cut (rest, '&', &rest);
      str_t value;
      str_t key = str_cut (pair, '=', &value);
      if (str_eq (key, name))
        return value.ptr != NULL ? value : STR ("");
    }
  return STR_NULL;
}

str_t
httpd_header (const httpd_req_t *req, str_t name)
{
  const h2o_headers_t *headers = &req->h2o->headers;

  for (size_t i = 0; i < headers->size; i++)
    if (str_eq_nocase (vec_to_str (*headers->entries[i].name), name))
      return vec_to_str (headers->entries[i].value);
  return STR_NULL;
}

bool
httpd_header_at (const httpd_req_t *req, size_t index, httpc_header_t *header)
{
  if (index >= req->h2o->headers.size)
    return false;
  header->name = vec_to_str (*req->h2o->headers.entries[index].name);
  header->value = vec_to_str (req->h2o->headers.entries[index].value);
  return true;
}

str_t
httpd_body (const httpd_req_t *req)
{
  return vec_to_str (req->h2o->entity);
}

bool
httpd_peer_address (const httpd_req_t *req, char *buf, size_t size)
{
  struct sockaddr_storage addr;
  h2o_conn_t *conn = req->h2o->conn;
  socklen_t len
      = conn->callbacks->get_peername (conn, (struct sockaddr *)&addr);

  if (len == 0 || size < NI_MAXHOST)
    return false;
  size_t n = h2o_socket_getnumerichost ((struct sockaddr *)&addr, len, buf);
  if (n == SIZE_MAX)
    return false;
  buf[n] = '\0';
  return true;
}

bool
httpd_peer_is_loopback (const httpd_req_t *req)
{
  char host[NI_MAXHOST];

  if (!httpd_peer_address (req, host, sizeof host))
    return false;
  return strncmp (host, "127.", 4) == 0 || strcmp (host, "::1") == 0;
}

/* Set the status and headers of the response.  h2o stores pointers only, so
   names and values are copied into the request's memory pool.  */
static void
set_response_head (httpd_req_t *req, int status, const httpc_header_t *headers,
                   size_t header_count)
{
  h2o_req_t *h2o = req->h2o;

  h2o->res.status = status;
  h2o->res.reason = "";
  for (size_t i = 0; i < header_count; i++)
    {
      h2o_iovec_t name
          = h2o_strdup (&h2o->pool, headers[i].name.ptr, headers[i].name.len);
      h2o_iovec_t value = h2o_strdup (&h2o->pool, headers[i].value.ptr,
                                      headers[i].value.len);
      h2o_add_header_by_str (&h2o->pool, &h2o->res.headers, name.base,
                             name.len, 1, NULL, value.base, value.len);
    }
}

void
httpd_start_response (httpd_req_t *req, int status,
                      const httpc_header_t *headers, size_t header_count)
{
  set_response_head (req, status, headers, header_count);
  req->started = true;
  h2o_start_response (req->h2o, &req->generator);
}

void
httpd_send (httpd_req_t *req, str_t bytes, bool is_last)
{
  buf_append_str (&req->pending, bytes);
  req->is_last = req->is_last || is_last;
  send_pending (req);
}

void
httpd_reply (httpd_req_t *req, int status, const httpc_header_t *headers,
             size_t header_count, str_t body)
{
  req->h2o->res.content_length = body.len;
  httpd_start_response (req, status, headers, header_count);
  httpd_send (req, body, true);
}

void
httpd_disable_keep_alive (httpd_req_t *req)
{
  req->h2o->http1_is_persistent = 0;
}

void
httpd_reply_json (httpd_req_t *req, int status, str_t body)
{
  static const httpc_header_t json
      = { { "content-type", 12 }, { "application/json", 16 } };

  httpd_reply (req, status, &json, 1, body);
}

/* Shut the connection of SOCK down, so that the client takes the response of
   REQ for incomplete.  A client of HTTP/1.0 takes the end of the connection
   for that of a response without a length, and needs a reset.  */
static void
cut_connection (const httpd_req_t *req, h2o_socket_t *sock)
{
  const struct sockaddr unspecified = { .sa_family = AF_UNSPEC };
  int fd = h2o_socket_get_fd (sock);
  bool is_end_delimited
      = req->h2o->version < 0x101 && req->h2o->res.content_length == SIZE_MAX;

  /* Linux resets a TCP connection that is dissolved.  */
  if (!is_end_delimited || connect (fd, &unspecified, sizeof unspecified) != 0)
    shutdown (fd, SHUT_RDWR);
}

void
httpd_abort (httpd_req_t *req)
{
  h2o_req_t *h2o = req->h2o;

  req->on_disconnect = NULL;
  mark_finished (req);
  h2o->http1_is_persistent = 0;
  if (!req->started)
    {
      /* Before the first byte of a response h2o does not close the connection
         on an error state.  A complete empty response on a connection that is
         not persistent closes it.  */
      set_response_head (req, 502, NULL, 0);
      h2o->res.content_length = 0;
      req->started = true;
      h2o_start_response (h2o, &req->generator);
      h2o_send (h2o, NULL, 0, H2O_SEND_STATE_FINAL);
      return;
    }
  /* Shut the socket down first: h2o marks an aborted chunked response with
     bytes that are not a valid chunk, and a client may take these for a part
     of the response.  After the shutdown h2o's write fails, and h2o closes the
     connection.  */
  h2o_conn_t *conn = h2o->conn;
  h2o_socket_t *sock = conn->callbacks->get_socket != NULL
                           ? conn->callbacks->get_socket (conn)
                           : NULL;
  if (sock != NULL)
    cut_connection (req, sock);
  if (req->is_writing)
    {
      req->aborted = true;
      return;
    }
  h2o_send (h2o, NULL, 0, H2O_SEND_STATE_ERROR);
}

size_t
httpd_buffer_memory (const httpd_req_t *req)
{
  return req->pending.cap + req->writing.cap;
}

size_t
httpd_buffered_bytes (const httpd_req_t *req)
{
  return req->pending.len + (req->is_writing ? req->writing.len : 0);
}

void
httpd_set_callbacks (httpd_req_t *req, void (*on_drained) (void *arg),
                     void (*on_disconnect) (void *arg), void *arg)
{
  req->on_drained = on_drained;
  req->on_disconnect = on_disconnect;
  req->arg = arg;
}
