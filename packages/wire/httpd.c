#include "wire/httpdint.h"

#include "base/log.h"
#include "wire/addr.h"

#include <h2o/http1.h>
#include <h2o/http2.h>
#include <netinet/tcp.h>
#include <openssl/ssl.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/stat.h>

enum
{
  LISTEN_BACKLOG = 1024,
  FREE_DELAY_TICKS = 2,
  /* Size up to which the buffer of a response is kept for its next part.  */
  SPARE_BYTES_MAX = 4096,
  DEFAULT_READ_TIMEOUT_MS = 10000,
  /* Checks of the connections per check of the certificate files.  */
  TLS_CHECK_TICKS = 20,
  /* How far h2o's limit of a request body is above ours, in bytes: a body
     between the two limits is received and refused with our own response.  */
  H2O_BODY_LIMIT_MARGIN_BYTES = 1 << 20,
  /* Descriptors that are kept for other uses than connections of clients.  */
  OTHER_DESCRIPTORS = 600,
  HTTP2_VERSION = 0x200 /* As in h2o_req_t.  */
};

/* h2o's limit of a request body where the intake enforces ours.  */
static const size_t h2o_body_limit_none = (size_t)1 << 40;

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
  intake_count_response (req);
  if (req->connection != NULL)
    intake_request_ends (req->connection, req->body_bytes);
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
  intake_count_response (req);
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
  intake_count_response (req);
  if (req->aborted)
    h2o_send (req->h2o, NULL, 0, H2O_SEND_STATE_ERROR);
  if (req->finished)
    return;
  if (req->pending.len > 0 || req->is_last)
    send_pending (req);
  else if (req->on_drained != NULL)
    req->on_drained (req->arg);
}

/* Return the connection of H2O.  */
static connection_t *
request_connection (const h2o_req_t *h2o)
{
  h2o_socket_t *sock = h2o->conn->callbacks->get_socket (h2o->conn);

  return sock != NULL ? sock->on_close.data : NULL;
}

static str_t
str_of (h2o_iovec_t text)
{
  return str_make (text.base, text.len);
}

/* Return whether the parts of H2O, a request over HTTP/2, may stand in a
   request of HTTP/1.  */
static bool
is_sound_http2_request (const h2o_req_t *h2o)
{
  if (!request_framing_is_token (str_of (h2o->input.method))
      || !request_framing_is_target (str_of (h2o->input.path))
      || !request_framing_is_target (str_of (h2o->input.authority)))
    return false;
  for (size_t i = 0; i < h2o->headers.size; i++)
    {
      const h2o_header_t *header = &h2o->headers.entries[i];
      if (!request_framing_is_token (str_of (*header->name))
          || !request_framing_is_value (str_of (header->value)))
        return false;
    }
  return true;
}

static bool
is_sound_request (connection_t *conn, const h2o_req_t *h2o)
{
  if (h2o->version >= HTTP2_VERSION)
    return is_sound_http2_request (h2o);
  return conn == NULL || intake_is_sound_request (conn);
}

/* Refuse REQ with CODE.  */
static void
refuse_request (httpd_req_t *req, vh_code_t code)
{
  buf_t body = BUF_NULL;

  code_write_error (code, "not-run", &body);
  buf_append_char (&body, '\n');
  httpd_reply_json (req, code_info (code)->http_status, buf_str (&body));
  buf_free (&body);
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
  req->connection = request_connection (h2o);
  req->body_bytes = h2o->entity.len;
  if (req->connection != NULL)
    intake_request_begins (req->connection);
  if (!is_sound_request (req->connection, h2o))
    {
      httpd_disable_keep_alive (req);
      refuse_request (req, VH_E_BAD_REQUEST);
      return 0;
    }
  if (h2o->entity.len > server->limits.body_bytes)
    {
      refuse_request (req, VH_E_TOO_LARGE);
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

static void
on_check_timer (uv_timer_t *timer)
{
  httpd_t *server = timer->data;

  if (server->tls_certificate != NULL
      && ++server->check_count % TLS_CHECK_TICKS == 0)
    reload_certificate (server);
  intake_tick (server);
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
  intake_remove_connection (conn);
  SSL_CTX_free (conn->tls_context);
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
          && server->connection_count >= server->connections_max
          && !intake_evict_one (server)))
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
  conn->tls_context = server->accept_ctx.ssl_ctx;
  if (conn->tls_context != NULL)
    SSL_CTX_up_ref (conn->tls_context);
  h2o_accept (&server->accept_ctx, sock);
  intake_add_connection (conn);
}

static void
configure (httpd_t *server, const httpd_options_t *options)
{
  h2o_config_init (&server->config);
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("vanillahook"));
  server->config.max_request_entity_size
      = options->tls_certificate != NULL
            ? options->body_limit + H2O_BODY_LIMIT_MARGIN_BYTES
            : h2o_body_limit_none;
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
  intake_init (server, options);
  server->open_handles = 3;
  uv_timer_start (&server->check_timer, on_check_timer,
                  HTTPD_CHECK_INTERVAL_MS, HTTPD_CHECK_INTERVAL_MS);
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

uint32_t
httpd_connection_limit (uint32_t max, uint32_t descriptors)
{
  struct rlimit limit = { RLIM_INFINITY, RLIM_INFINITY };
  uint32_t available = UINT32_MAX;

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < UINT32_MAX)
    available = (uint32_t)limit.rlim_cur;
  if (descriptors > 0 && descriptors < available)
    available = descriptors;
  available = available > 2 * OTHER_DESCRIPTORS ? available - OTHER_DESCRIPTORS
                                                : available / 2;
  return max > 0 && max < available ? max : available;
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
  uv_close ((uv_handle_t *)&server->prepare, on_handle_closed);
  intake_free (server);
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
  return req->head != NULL ? req->head->method
                           : vec_to_str (req->h2o->input.method);
}

str_t
httpd_authority (const httpd_req_t *req)
{
  return req->head != NULL ? httpd_header (req, STR ("host"))
                           : vec_to_str (req->h2o->input.authority);
}

str_t
httpd_path (const httpd_req_t *req)
{
  str_t query;

  if (req->head != NULL)
    return str_cut (req->head->target, '?', &query);
  str_t path = vec_to_str (req->h2o->input.path);
  if (req->h2o->input.query_at != SIZE_MAX)
    path.len = req->h2o->input.query_at;
  return path;
}

str_t
httpd_query (const httpd_req_t *req)
{
  str_t query;

  if (req->head != NULL)
    {
      (void)str_cut (req->head->target, '?', &query);
      return query;
    }
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
  httpc_header_t header;

  for (size_t i = 0; httpd_header_at (req, i, &header); i++)
    if (str_eq_nocase (header.name, name))
      return header.value;
  return STR_NULL;
}

bool
httpd_header_at (const httpd_req_t *req, size_t index, httpc_header_t *header)
{
  if (req->head != NULL)
    {
      if (index >= req->head->header_count)
        return false;
      const struct phr_header *parsed = &req->head->headers[index];
      header->name = str_make (parsed->name, parsed->name_len);
      header->value = str_make (parsed->value, parsed->value_len);
      return true;
    }
  if (index >= req->h2o->headers.size)
    return false;
  header->name = vec_to_str (*req->h2o->headers.entries[index].name);
  header->value = vec_to_str (req->h2o->headers.entries[index].value);
  return true;
}

str_t
httpd_body (const httpd_req_t *req)
{
  return req->head != NULL ? STR ("") : vec_to_str (req->h2o->entity);
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
  intake_count_response (req);
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
