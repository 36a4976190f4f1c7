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
  LINGER_TURNS = 2,
  DEFAULT_READ_TIMEOUT_MS = 10000,
  /* How often sockets of requests in hand are looked at for a peer that
     left: h2o does not read while it waits for an answer.  */
  DEPARTURE_CHECK_MS = 100,
  TLS_CHECK_TICKS = 20, /* Departure checks between looks at the files.  */
  ENTITY_SLACK = 1 << 20
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
  size_t connections;
  list_t conns;    /* Every connection, by link.  */
  list_t requests; /* In hand, by link.  */
  size_t in_flight;
  size_t unwritten;      /* Length of REQUESTS.  */
  char *tls_certificate; /* NULL: no TLS.  */
  char *tls_key;
  struct timespec tls_changed; /* The later change of the two files.  */
  uint64_t ticks;              /* Of DEPARTURES.  */
  uv_timer_t departures;
  uv_timer_t linger; /* Carries the end of the server to a later turn.  */
  unsigned lingered;
  unsigned open_handles; /* Of ours, not yet closed by libuv.  */
  bool destroyed;
};

/* One accepted connection.  */
typedef struct
{
  list_t link;
  httpd_t *server;
  h2o_socket_t *sock;
  h2o_socket_cb read;   /* H2o's own, until the first request is whole.  */
  uint64_t accepted_ms; /* By the loop's clock.  */
  bool told;            /* The peer was sent an error by us.  */
} connection_t;

typedef struct
{
  h2o_handler_t super;
  httpd_t *server;
} glue_t;

/* Lives in the request's pool; its disposal says that h2o let go.  */
typedef struct
{
  httpd_req_t *owner;
} anchor_t;

struct httpd_req
{
  h2o_generator_t generator; /* First: h2o hands it back.  */
  list_t link;
  httpd_t *server;
  h2o_req_t *h2o; /* NULL once h2o let go.  */
  anchor_t *anchor;
  buf_t pending;   /* Not yet given to h2o.  */
  buf_t in_flight; /* Given to h2o, not yet taken by the socket.  */
  bool sending;
  bool started;
  bool last;
  bool aborted;  /* Cut while h2o was writing.  */
  bool finished; /* The last byte was given to h2o, or it was cut.  */
  void (*drained) (void *arg);
  void (*stopped) (void *arg);
  void *arg;
};

/* Count REQ as answered, once.  */
static void
settle (httpd_req_t *req)
{
  if (req->finished)
    return;
  req->finished = true;
  req->server->in_flight--;
}

static void
release_req (httpd_req_t *req)
{
  settle (req);
  list_remove (&req->link);
  req->server->unwritten--;
  if (req->anchor != NULL)
    req->anchor->owner = NULL;
  buf_free (&req->pending);
  buf_free (&req->in_flight);
  free (req);
}

/* H2O let go of the request before its answer was whole.  */
static void
on_peer_gone (httpd_req_t *req)
{
  void (*stopped) (void *) = req->finished ? NULL : req->stopped;
  void *arg = req->arg;

  req->h2o = NULL;
  req->anchor = NULL;
  release_req (req);
  if (stopped != NULL)
    stopped (arg);
}

static void
on_anchor_disposed (void *ptr)
{
  anchor_t *anchor = ptr;

  if (anchor->owner != NULL)
    on_peer_gone (anchor->owner);
}

static void
on_generator_stop (h2o_generator_t *generator, h2o_req_t *h2o)
{
  httpd_req_t *req = (httpd_req_t *)generator;

  (void)h2o;
  if (req->anchor != NULL)
    req->anchor->owner = NULL;
  on_peer_gone (req);
}

/* Give h2o what is pending, if it can take it.  */
static void
push (httpd_req_t *req)
{
  if (req->sending || (req->pending.len == 0 && !req->last))
    return;
  buf_t spare = req->in_flight;
  req->in_flight = req->pending;
  req->pending = spare;
  req->pending.len = 0;
  req->sending = true;
  if (req->last)
    settle (req);
  h2o_iovec_t vec = h2o_iovec_init (req->in_flight.ptr, req->in_flight.len);
  h2o_send (req->h2o, &vec, vec.len > 0 ? 1 : 0,
            req->last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_generator_proceed (h2o_generator_t *generator, h2o_req_t *h2o)
{
  httpd_req_t *req = (httpd_req_t *)generator;

  (void)h2o;
  req->sending = false;
  if (req->aborted)
    h2o_send (req->h2o, NULL, 0, H2O_SEND_STATE_ERROR);
  if (req->finished)
    return;
  if (req->pending.len > 0 || req->last)
    push (req);
  else if (req->drained != NULL)
    req->drained (req->arg);
}

static int
on_request (h2o_handler_t *self, h2o_req_t *h2o)
{
  httpd_t *server = ((glue_t *)self)->server;
  httpd_req_t *req = mem_zalloc (sizeof *req);

  req->generator.proceed = on_generator_proceed;
  req->generator.stop = on_generator_stop;
  req->server = server;
  req->h2o = h2o;
  req->anchor = h2o_mem_alloc_shared (&h2o->pool, sizeof *req->anchor,
                                      on_anchor_disposed);
  req->anchor->owner = req;
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

/* Tell whether the peer of REQ closed or reset its connection.  */
static bool
peer_left (const httpd_req_t *req)
{
  h2o_conn_t *conn = req->h2o->conn;
  char byte;

  if (conn->callbacks->get_socket == NULL)
    return false;
  h2o_socket_t *sock = conn->callbacks->get_socket (conn);
  if (sock == NULL || h2o_socket_is_reading (sock))
    return false;
  ssize_t got
      = recv (h2o_socket_get_fd (sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/* Cut the answer of REQ and tell its owner.  */
static void
cut (httpd_req_t *req)
{
  void (*stopped) (void *) = req->stopped;
  void *arg = req->arg;

  if (req->finished)
    return;
  httpd_abort (req);
  if (stopped != NULL)
    stopped (arg);
}

/* Load the certificate.  Return NULL when it cannot be used.  */
static SSL_CTX *
tls_create (const char *certificate, const char *key)
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

/* Return the later change of the two files; zero when one is missing.  */
static struct timespec
tls_change (const httpd_t *server)
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

/* Take a renewed certificate into use for new connections.  Halfway through a
   renewal the files do not match: the old one stays until they do.  */
static void
tls_renew (httpd_t *server)
{
  struct timespec change = tls_change (server);

  if (change.tv_sec == server->tls_changed.tv_sec
      && change.tv_nsec == server->tls_changed.tv_nsec)
    return;
  SSL_CTX *fresh = tls_create (server->tls_certificate, server->tls_key);
  if (fresh == NULL)
    return;
  server->tls_changed = change;
  SSL_CTX_free (server->accept_ctx.ssl_ctx);
  server->accept_ctx.ssl_ctx = fresh;
  log_notice ("http", "A renewed certificate is in use. file=%s",
              server->tls_certificate);
}

static void tell_late (httpd_t *server);

static void
on_departures (uv_timer_t *timer)
{
  httpd_t *server = timer->data;

  if (server->tls_certificate != NULL
      && ++server->ticks % TLS_CHECK_TICKS == 0)
    tls_renew (server);
  tell_late (server);
  LIST_EACH (at, &server->requests)
    {
      httpd_req_t *req = CONTAINER_OF (at, httpd_req_t, link);
      if (req->stopped != NULL && peer_left (req))
        cut (req);
    }
}

static void release_if_over (httpd_t *server);

static void
on_handle_closed (uv_handle_t *handle)
{
  httpd_t *server = handle->data;

  server->open_handles--;
  release_if_over (server);
}

static void
on_linger_closed (uv_handle_t *handle)
{
  free (handle->data);
}

/* Destroying from a close callback puts h2o's handles on the next turn's
   closing list, whose timers come before it; libuv walks that list from the
   newest, so a free on that turn would pull away the handles behind it.  The
   second time the list is done.  */
static void
on_linger (uv_timer_t *timer)
{
  httpd_t *server = timer->data;

  if (++server->lingered == LINGER_TURNS)
    uv_close ((uv_handle_t *)timer, on_linger_closed);
}

/* Release SERVER once its handles and connections are gone.  */
static void
release_if_over (httpd_t *server)
{
  if (!server->destroyed || server->open_handles > 0
      || server->connections > 0)
    return;
  if (server->accept_ctx.ssl_ctx != NULL)
    SSL_CTX_free (server->accept_ctx.ssl_ctx);
  h2o_context_dispose (&server->ctx);
  free (server->tls_certificate);
  free (server->tls_key);
  h2o_config_dispose (&server->config);
  /* h2o closes its timers without a callback, at the end of this turn at the
     latest: the last free waits for a timer of a later turn.  */
  uv_timer_init (server->loop, &server->linger);
  server->linger.data = server;
  uv_timer_start (&server->linger, on_linger, 1, 1);
}

static void
on_connection_closed (void *data)
{
  connection_t *conn = data;
  httpd_t *server = conn->server;

  list_remove (&conn->link);
  free (conn);
  server->connections--;
  if (server->destroyed && server->connections == 0)
    {
      /* h2o is still on the stack with this connection.  */
      server->open_handles++;
      uv_timer_init (server->loop, &server->linger);
      server->linger.data = server;
      uv_close ((uv_handle_t *)&server->linger, on_handle_closed);
    }
}

static void
free_stream (uv_handle_t *handle)
{
  free (handle);
}

/* Tell the peer of CONN, whose first request never became whole, that it was
   not run.  h2o closes such a connection without a word, and the caller could
   not tell it from an answer that was lost.  */
static void
tell_half (connection_t *conn)
{
  const code_info_t *info = code_info (VH_E_BAD_REQUEST);
  buf_t body = BUF_NULL;
  buf_t answer = BUF_NULL;

  if (conn->told)
    return;
  conn->told = true;
  code_write_error (VH_E_BAD_REQUEST, "not-run", &body);
  buf_append_char (&body, '\n');
  buf_printf (&answer,
              "HTTP/1.1 %d Bad Request\r\nconnection: close\r\n"
              "content-type: application/json\r\n"
              "vanillahook-outcome: not-run\r\ncontent-length: %zu\r\n\r\n",
              info->http_status, body.len);
  buf_append_str (&answer, buf_str (&body));
  ssize_t sent = send (h2o_socket_get_fd (conn->sock), answer.ptr, answer.len,
                       MSG_DONTWAIT | MSG_NOSIGNAL);
  (void)sent;
  buf_free (&body);
  buf_free (&answer);
}

/* Tell whether INPUT's first line, if it is whole, is none of HTTP.  */
static bool
is_garbage (str_t input)
{
  const char *end = memchr (input.ptr, '\n', input.len);

  return end != NULL
         && memmem (input.ptr, (size_t)(end - input.ptr), " HTTP/", 6) == NULL;
}

/* Stands before h2o's reader until the first request has come whole.
   XXX: a later request on the same connection, or one over TLS, that never
   becomes whole still ends without a word.  */
static void
on_first_read (h2o_socket_t *sock, const char *err)
{
  connection_t *conn = sock->on_close.data;
  h2o_socket_cb read = conn->read;

  /* To h2o garbage is reported as the connection's end: it would add an error
     of its own.  */
  if (err == NULL
      && is_garbage (str_make (sock->input->bytes, sock->input->size)))
    err = h2o_socket_error_closed;
  if (err != NULL && sock->input->size > 0)
    tell_half (conn);
  read (sock, err);
}

/* Tell the peers whose first request did not become whole in time, just
   before h2o closes their connections.  */
static void
tell_late (httpd_t *server)
{
  uint64_t limit_ms
      = server->config.http1.req_timeout - 2 * DEPARTURE_CHECK_MS;
  uint64_t now_ms = uv_now (server->loop);

  LIST_EACH (at, &server->conns)
    {
      connection_t *conn = CONTAINER_OF (at, connection_t, link);
      if (conn->read != NULL && conn->sock->_cb.read == on_first_read
          && conn->sock->input->size > 0
          && now_ms - conn->accepted_ms >= limit_ms)
        tell_half (conn);
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
          && server->connections >= server->connections_max))
    {
      uv_close ((uv_handle_t *)stream, free_stream);
      return;
    }
  uv_tcp_nodelay (stream, 1);
  h2o_socket_t *sock
      = h2o_uv_socket_create ((uv_stream_t *)stream, free_stream);
  connection_t *conn = mem_zalloc (sizeof *conn);
  conn->server = server;
  conn->sock = sock;
  list_append (&server->conns, &conn->link);
  sock->on_close.cb = on_connection_closed;
  sock->on_close.data = conn;
  server->connections++;
  conn->accepted_ms = uv_now (server->loop);
  h2o_accept (&server->accept_ctx, sock);
  if (server->accept_ctx.ssl_ctx == NULL)
    {
      conn->read = sock->_cb.read;
      sock->_cb.read = on_first_read;
    }
}

static void
configure (httpd_t *server, const httpd_options_t *options)
{
  h2o_config_init (&server->config);
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("vanillahook"));
  server->config.max_request_entity_size = options->body_limit + ENTITY_SLACK;
  server->config.http1.req_timeout = options->read_timeout_ms > 0
                                         ? options->read_timeout_ms
                                         : DEFAULT_READ_TIMEOUT_MS;
  server->config.http1.upgrade_to_http2 = 0;
  h2o_hostconf_t *host = h2o_config_register_host (
      &server->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  glue_t *glue = (glue_t *)h2o_create_handler (path, sizeof *glue);
  glue->super.on_req = on_request;
  glue->server = server;
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
  list_init (&server->conns);
  list_init (&server->requests);
  configure (server, options);
  if (options->tls_certificate != NULL)
    {
      server->accept_ctx.ssl_ctx
          = tls_create (options->tls_certificate, options->tls_key);
      if (server->accept_ctx.ssl_ctx == NULL)
        {
          log_err ("http", "The certificate or key cannot be used. file=%s",
                   options->tls_certificate);
          free (server);
          return VH_E_IO;
        }
      server->tls_certificate = str_dup (str_from (options->tls_certificate));
      server->tls_key = str_dup (str_from (options->tls_key));
      server->tls_changed = tls_change (server);
    }
  uv_tcp_init (loop, &server->listener);
  uv_timer_init (loop, &server->departures);
  server->listener.data = server;
  server->departures.data = server;
  server->open_handles = 2;
  uv_timer_start (&server->departures, on_departures, DEPARTURE_CHECK_MS,
                  DEPARTURE_CHECK_MS);
  uv_unref ((uv_handle_t *)&server->departures);
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
  /* XXX: HTTP/2 connections get no GOAWAY: h2o's own shutdown call links a
     timer that h2o_context_dispose then trips over.  They end with the
     server.  */
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
  uv_close ((uv_handle_t *)&server->departures, on_handle_closed);
  /* h2o keeps an idle connection until its peer or a timer ends it; the shut
     socket makes h2o close it on the next turn.  */
  LIST_EACH (at, &server->requests)
    cut (CONTAINER_OF (at, httpd_req_t, link));
  LIST_EACH (at, &server->conns)
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
  return server->connections;
}

static str_t
from_vec (h2o_iovec_t vec)
{
  return str_make (vec.base, vec.len);
}

str_t
httpd_method (const httpd_req_t *req)
{
  return from_vec (req->h2o->input.method);
}

str_t
httpd_authority (const httpd_req_t *req)
{
  return from_vec (req->h2o->input.authority);
}

str_t
httpd_path (const httpd_req_t *req)
{
  str_t path = from_vec (req->h2o->input.path);

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
    if (str_eq_nocase (from_vec (*headers->entries[i].name), name))
      return from_vec (headers->entries[i].value);
  return STR_NULL;
}

bool
httpd_header_at (const httpd_req_t *req, size_t index, httpc_header_t *header)
{
  if (index >= req->h2o->headers.size)
    return false;
  header->name = from_vec (*req->h2o->headers.entries[index].name);
  header->value = from_vec (req->h2o->headers.entries[index].value);
  return true;
}

str_t
httpd_body (const httpd_req_t *req)
{
  return from_vec (req->h2o->entity);
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

/* Put HEADERS into the answer.  h2o keeps pointers, so names and values are
   copied into the request's pool.  */
static void
set_head (httpd_req_t *req, int status, const httpc_header_t *headers,
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
  set_head (req, status, headers, header_count);
  req->started = true;
  h2o_start_response (req->h2o, &req->generator);
}

void
httpd_send (httpd_req_t *req, str_t bytes, bool last)
{
  buf_append_str (&req->pending, bytes);
  req->last = req->last || last;
  push (req);
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

void
httpd_abort (httpd_req_t *req)
{
  h2o_req_t *h2o = req->h2o;

  req->stopped = NULL;
  settle (req);
  h2o->http1_is_persistent = 0;
  if (!req->started)
    {
      /* With nothing sent yet h2o does not close on an error state; a whole
         empty answer on a connection that ends with it does.  */
      set_head (req, 502, NULL, 0);
      h2o->res.content_length = 0;
      req->started = true;
      h2o_start_response (h2o, &req->generator);
      h2o_send (h2o, NULL, 0, H2O_SEND_STATE_FINAL);
      return;
    }
  /* Shut the socket first: h2o marks a broken chunked answer by bytes that
     are no chunk, and a peer may take these for part of an answer.  What it
     writes after the shutdown fails, and it ends the connection.  */
  h2o_conn_t *conn = h2o->conn;
  h2o_socket_t *sock = conn->callbacks->get_socket != NULL
                           ? conn->callbacks->get_socket (conn)
                           : NULL;
  if (sock != NULL)
    shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
  if (req->sending)
    {
      req->aborted = true;
      return;
    }
  h2o_send (h2o, NULL, 0, H2O_SEND_STATE_ERROR);
}

size_t
httpd_buffered_bytes (const httpd_req_t *req)
{
  return req->pending.len + (req->sending ? req->in_flight.len : 0);
}

void
httpd_set_callbacks (httpd_req_t *req, void (*drained) (void *arg),
                     void (*stopped) (void *arg), void *arg)
{
  req->drained = drained;
  req->stopped = stopped;
  req->arg = arg;
}
