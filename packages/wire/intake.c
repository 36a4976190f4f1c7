/* Requests until they are complete.

   h2o keeps a request in the input buffer of its connection, and calls the
   handler when the request is complete.  So that clients can be held to limits
   before that, the read callback of each connection is replaced by on_read,
   which calls h2o's and then looks at the input buffer.  h2o sets its callback
   anew when it begins to read again; on_prepare replaces it before the sockets
   are polled next.

   When the memory budget is exceeded, connections are evicted in this order:
   large incomplete requests without progress, longest first; responses that
   their clients do not read; small incomplete requests and unused connections
   without progress; idle connections, if these take most of the budget; the
   large incomplete request that began last.  The newest goes before the
   oldest, so that some of many equal requests become complete.  Complete
   requests stay. Small requests that make progress may exceed the budget by a
   part, and are evicted, the newest first, when that is used up too.  */

#include "wire/httpdint.h"

#include "base/eventlog.h"

#include <linux/sockios.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Memory of a connection beside its input buffer.  */
  CONNECTION_BYTES = 8192,
  INPUT_BYTES_MIN = 4096,
  /* Bytes that count as progress, and the time without progress after which a
     connection is among the first that are evicted.  */
  PROGRESS_BYTES = 16384,
  STALL_MS = 1000,
  HEAD_LIMIT_DEFAULT_BYTES = 65536,
  /* Bytes received over HTTP/2 after which the memory of the process is
     measured again, and its growth beyond the limit that is accepted.  */
  HTTP2_CHECK_BYTES = 256 * 1024,
  HTTP2_SLACK_BYTES = 8 << 20,
  /* Discarded beyond the limit of a body when a refused connection is
     closed.  */
  LINGER_SLACK_BYTES = 1 << 20,
  /* Mean Retry-After of a request that was evicted for its memory; the actual
     value is 50% to 150% of the mean.  The factor, a prime, spreads the values
     of consecutive requests.  */
  RETRY_AFTER_MS = 1000,
  RETRY_SPREAD_FACTOR = 7919,
  MS_PER_S = 1000
};

static const char *const refusal_names[] = {
#define X(symbol, name) name,
  HTTPD_REFUSALS (X)
#undef X
};

void
httpd_export_refusals (const httpd_t *server, metrics_t *metrics,
                       const char *series)
{
  for (int refusal = 0; refusal < HTTPD_REFUSAL_COUNT; refusal++)
    {
      buf_t labels = BUF_NULL;
      buf_printf (&labels, "reason=\"%s\"", refusal_names[refusal]);
      buf_append_char (&labels, '\0');
      metrics_counter (metrics, series, labels.ptr,
                       "Clients refused before their requests were complete, "
                       "and connections closed.")
          ->value
          = server->refusals[refusal];
      buf_free (&labels);
    }
}

static void on_read (h2o_socket_t *sock, const char *err);

/* Stages.  */

static void
leave_stage (connection_t *conn)
{
  if (list_is_empty (&conn->stage_link))
    return;
  list_remove (&conn->stage_link);
  conn->server->stage_counts[conn->stage]--;
}

static void
set_stage (connection_t *conn, connection_stage_t stage)
{
  leave_stage (conn);
  conn->stage = stage;
  list_append (&conn->server->stages[stage], &conn->stage_link);
  conn->server->stage_counts[stage]++;
}

static bool
is_receiving (const connection_t *conn)
{
  return conn->stage == STAGE_RECEIVING
         || conn->stage == STAGE_RECEIVING_LARGE;
}

/* Return the first connection of STAGE, or NULL.  */
static connection_t *
first_in_stage (const httpd_t *server, connection_stage_t stage)
{
  const list_t *list = &server->stages[stage];

  return list_is_empty (list)
             ? NULL
             : CONTAINER_OF (list->next, connection_t, stage_link);
}

static bool
has_stalled (const connection_t *conn)
{
  return uv_now (conn->server->loop) - conn->progress_ms >= STALL_MS;
}

/* Memory.  */

/* Return whether the protocol that was negotiated for CONN is HTTP/2.  */
static bool
has_negotiated_http2 (const connection_t *conn)
{
  h2o_iovec_t protocol
      = conn->is_tls ? h2o_socket_ssl_get_selected_protocol (conn->sock)
                     : h2o_iovec_init (NULL, 0);

  return protocol.len == 2 && memcmp (protocol.base, "h2", 2) == 0;
}

static size_t
buffer_bytes (const h2o_buffer_t *buffer)
{
  if (buffer == NULL || buffer->bytes == NULL)
    return 0;
  /* Consumed bytes before the others stay allocated.  */
  return (size_t)(buffer->bytes - buffer->_buf) + buffer->size;
}

/* Return the memory of the requests on CONN, and set *INCOMPLETE to the bytes
   received of those that are not complete.  */
static size_t
measure (const connection_t *conn, size_t *incomplete)
{
  size_t bytes = buffer_bytes (conn->sock->input);

  *incomplete
      = conn->busy_count == 0 && !conn->is_http2 ? conn->sock->input->size : 0;
  return bytes < INPUT_BYTES_MIN ? INPUT_BYTES_MIN : bytes;
}

void
intake_count_response (httpd_req_t *req)
{
  memory_budget_count (req->server->memory, &req->memory,
                       req->pending.cap + req->writing.cap);
}

/* Refusals.  */

static void
add_closing_bytes (connection_t *conn, size_t bytes)
{
  conn->closing_bytes += bytes;
  conn->server->closing_bytes += bytes;
}

/* Close CONN.  The memory is no longer counted, though h2o may release it
   later.  CONN may be released on return.  */
static void
close_connection (connection_t *conn)
{
  h2o_socket_t *sock = conn->sock;

  conn->is_closing = true;
  add_closing_bytes (conn, conn->memory);
  memory_budget_count (conn->server->memory, &conn->memory, 0);
  leave_stage (conn);
  if (sock->_cb.read == on_read && (conn->busy_count == 0 || conn->is_http2))
    conn->h2o_read (sock, h2o_socket_error_closed);
  else
    shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
}

static void
send_error (connection_t *conn, vh_code_t code, uint64_t retry_after_ms)
{
  const code_info_t *info = code_info (code);
  buf_t body = BUF_NULL;
  buf_t response = BUF_NULL;

  if (conn->is_error_sent || conn->is_tls || conn->busy_count > 0)
    return;
  conn->is_error_sent = true;
  code_write_error (code, "not-run", &body);
  buf_append_char (&body, '\n');
  buf_printf (&response,
              "HTTP/1.1 %d %s\r\nconnection: close\r\n"
              "content-type: application/json\r\n"
              "vanillahook-outcome: not-run\r\n",
              info->http_status, info->type);
  if (retry_after_ms > 0)
    buf_printf (&response, "retry-after: %.3f\r\n",
                (double)retry_after_ms / MS_PER_S);
  buf_printf (&response, "content-length: %zu\r\n\r\n", body.len);
  buf_append_str (&response, buf_str (&body));
  ssize_t sent = send (h2o_socket_get_fd (conn->sock), response.ptr,
                       response.len, MSG_DONTWAIT | MSG_NOSIGNAL);
  (void)sent;
  buf_free (&body);
  buf_free (&response);
}

static void
record_refusal (const connection_t *conn, httpd_refusal_t refusal,
                vh_code_t code)
{
  httpd_t *server = conn->server;

  server->refusals[refusal]++;
  log_event (EVENT_CLIENT_REFUSED,
             log_field_text (FIELD_REASON, str_from (refusal_names[refusal])),
             log_field_number (FIELD_CODE, code),
             log_field_number (FIELD_BYTES, conn->sock->input->size),
             log_field_number (FIELD_MS,
                               is_receiving (conn)
                                   ? uv_now (server->loop) - conn->started_ms
                                   : 0),
             log_field_number (FIELD_CONNECTIONS, server->connection_count));
}

/* Refuse the incomplete request on CONN for REFUSAL, with CODE unless CONN has
   none, and close CONN.  */
static void
refuse (connection_t *conn, httpd_refusal_t refusal, vh_code_t code,
        uint64_t retry_after_ms)
{
  httpd_t *server = conn->server;
  int fd = -1;

  record_refusal (conn, refusal, code);
  if (is_receiving (conn))
    {
      send_error (conn, code, retry_after_ms);
      /* A client that has stalled has sent nothing that was not read.  */
      if (!conn->is_tls && !has_stalled (conn))
        fd = dup (h2o_socket_get_fd (conn->sock));
    }
  close_connection (conn);
  if (fd >= 0)
    linger_add (server->linger, fd);
}

static void
evict_for_memory (connection_t *conn)
{
  uint64_t spread = conn->sequence * RETRY_SPREAD_FACTOR % RETRY_AFTER_MS;

  refuse (conn, HTTPD_REFUSED_MEMORY, VH_E_OVERLOADED,
          RETRY_AFTER_MS / 2 + spread);
}

/* Return the connection of STAGE whose request began last, or NULL.  */
static connection_t *
newest_in_stage (const httpd_t *server, connection_stage_t stage)
{
  connection_t *newest = NULL;

  LIST_EACH (at, &server->stages[stage])
    {
      connection_t *conn = CONTAINER_OF (at, connection_t, stage_link);
      if (newest == NULL || conn->sequence > newest->sequence)
        newest = conn;
    }
  return newest;
}

/* Return whether the client of REQ has not received all of its finished
   response.  */
static bool
is_response_unread (const httpd_req_t *req)
{
  return req->finished && req->connection != NULL
         && !req->connection->is_closing;
}

/* Record when the clients of finished responses last took bytes.  */
static void
watch_unread_responses (httpd_t *server)
{
  uint64_t now_ms = uv_now (server->loop);

  LIST_EACH (at, &server->requests)
    {
      httpd_req_t *req = CONTAINER_OF (at, httpd_req_t, link);
      int unsent = -1;
      if (!is_response_unread (req)
          || (req->moved_ms != 0
              && ioctl (h2o_socket_get_fd (req->connection->sock), SIOCOUTQ,
                        &unsent)
                     == 0
              && unsent == req->unsent_bytes))
        continue;
      req->moved_ms = now_ms;
      req->unsent_bytes = unsent;
    }
}

/* Cut the finished response whose client has read nothing for longest, of
   those that take BYTES_MIN with their requests.  Return false if there is
   none.  */
static bool
cut_unread_response (httpd_t *server, size_t bytes_min)
{
  httpd_req_t *oldest = NULL;

  LIST_EACH (at, &server->requests)
    {
      httpd_req_t *req = CONTAINER_OF (at, httpd_req_t, link);
      if (is_response_unread (req) && req->moved_ms != 0
          && req->connection->memory + req->memory >= bytes_min
          && uv_now (server->loop) - req->moved_ms >= STALL_MS
          && (oldest == NULL || req->moved_ms < oldest->moved_ms))
        oldest = req;
    }
  if (oldest == NULL)
    return false;
  add_closing_bytes (oldest->connection, oldest->memory);
  memory_budget_count (server->memory, &oldest->memory, 0);
  refuse (oldest->connection, HTTPD_REFUSED_UNREAD, VH_E_OVERLOADED, 0);
  return true;
}

/* Return the connection of STAGE that has made no progress for longest, or
   NULL if none has stalled.  */
static connection_t *
stalled_in_stage (const httpd_t *server, connection_stage_t stage)
{
  connection_t *conn = first_in_stage (server, stage);

  return conn != NULL && has_stalled (conn) ? conn : NULL;
}

/* Return whether idle connections take most of the budget.  */
static bool
is_budget_mostly_idle (const httpd_t *server)
{
  return server->stage_counts[STAGE_IDLE]
             * (size_t)(CONNECTION_BYTES + INPUT_BYTES_MIN)
         > server->memory->limit / 2;
}

/* Evict one connection, by the order for large requests.  Return false if none
   may be evicted.  */
static bool
evict_large (httpd_t *server)
{
  connection_t *conn = stalled_in_stage (server, STAGE_RECEIVING_LARGE);

  if (conn == NULL
      && cut_unread_response (server,
                              CONNECTION_BYTES + MEMORY_BUDGET_SMALL_BYTES))
    return true;
  if (conn == NULL)
    conn = stalled_in_stage (server, STAGE_RECEIVING);
  if (conn == NULL)
    conn = stalled_in_stage (server, STAGE_UNUSED);
  if (conn == NULL && is_budget_mostly_idle (server))
    conn = first_in_stage (server, STAGE_IDLE);
  if (conn == NULL)
    conn = newest_in_stage (server, STAGE_RECEIVING_LARGE);
  if (conn == NULL)
    return false;
  evict_for_memory (conn);
  return true;
}

/* Evict one connection that takes little memory.  Return false if there is
   none.  */
static bool
evict_small (httpd_t *server)
{
  connection_t *conn = newest_in_stage (server, STAGE_RECEIVING);

  if (conn == NULL)
    conn = first_in_stage (server, STAGE_UNUSED);
  if (conn == NULL)
    conn = first_in_stage (server, STAGE_IDLE);
  if (conn == NULL)
    return false;
  evict_for_memory (conn);
  return true;
}

void
httpd_release_memory (httpd_t *server)
{
  connection_t *newest;

  while (memory_budget_is_exceeded (server->memory) && evict_large (server))
    ;
  /* What others receive meanwhile must not come on top of memory that is about
     to be released.  */
  while (memory_budget_is_exhausted (server->memory, server->closing_bytes)
         && (newest = newest_in_stage (server, STAGE_RECEIVING_LARGE)) != NULL)
    evict_for_memory (newest);
  while (memory_budget_is_exhausted (server->memory, 0)
         && evict_small (server))
    ;
}

bool
intake_evict_one (httpd_t *server)
{
  static const connection_stage_t stages[]
      = { STAGE_RECEIVING, STAGE_RECEIVING_LARGE, STAGE_UNUSED, STAGE_IDLE };
  connection_t *oldest = NULL;

  for (size_t i = 0; i < sizeof stages / sizeof stages[0]; i++)
    {
      connection_t *conn = first_in_stage (server, stages[i]);
      if (conn == NULL)
        continue;
      /* Requests that make progress are evicted last.  */
      if (has_stalled (conn) && stages[i] != STAGE_IDLE)
        {
          oldest = conn;
          break;
        }
      if (oldest == NULL || stages[i] == STAGE_IDLE)
        oldest = conn;
    }
  if (oldest == NULL)
    return cut_unread_response (server, 0);
  refuse (oldest, HTTPD_REFUSED_CONNECTIONS, VH_E_REQUEST_TIMEOUT, 0);
  return true;
}

/* The incomplete request.  */

static str_t
find_header (const request_head_t *head, str_t name)
{
  for (size_t i = 0; i < head->header_count; i++)
    if (str_eq_nocase (
            str_make (head->headers[i].name, head->headers[i].name_len), name))
      return str_make (head->headers[i].value, head->headers[i].value_len);
  return STR_NULL;
}

/* Give the incomplete request on CONN LIMIT_MS from now on; 0: until it
   expires.  */
static void
set_due (connection_t *conn, uint64_t limit_ms)
{
  uint64_t due_ms = uv_now (conn->server->loop) + limit_ms;

  conn->due_ms
      = limit_ms > 0 && due_ms < conn->expires_ms ? due_ms : conn->expires_ms;
}

/* Let the server's user decide on HEAD, the head of the request on CONN.
   Return false if the request was refused.  */
static bool
decide_on_head (connection_t *conn, const request_head_t *head)
{
  httpd_t *server = conn->server;
  httpd_req_t req = { .server = server, .connection = conn, .head = head };
  str_t length = find_header (head, STR ("content-length"));
  uint64_t body_bytes = 0;

  set_due (conn, 0);
  if (length.ptr != NULL && str_to_u64 (length, &body_bytes)
      && body_bytes > server->limits.body_bytes)
    {
      refuse (conn, HTTPD_REFUSED_BODY, VH_E_TOO_LARGE, 0);
      return false;
    }
  if (server->on_head == NULL)
    return true;
  httpd_decision_t decision = server->on_head (server->arg, &req);
  if (decision.code != VH_OK)
    {
      refuse (conn, HTTPD_REFUSED_REQUEST, decision.code,
              decision.retry_after_ms);
      return false;
    }
  set_due (conn, decision.body_ms);
  return true;
}

/* Check the bytes that have arrived of the incomplete request on CONN.  Return
   false if the request was refused.  */
static bool
check_request (connection_t *conn)
{
  const h2o_buffer_t *input = conn->sock->input;
  const httpd_limits_t *limits = &conn->server->limits;
  struct phr_header headers[H2O_MAX_HEADERS];
  request_head_t head
      = { .headers = headers, .header_count = H2O_MAX_HEADERS };
  int minor_version;

  if (conn->head_len > 0)
    {
      if (input->size - conn->head_len <= limits->body_bytes)
        return true;
      refuse (conn, HTTPD_REFUSED_BODY, VH_E_TOO_LARGE, 0);
      return false;
    }
  int len = phr_parse_request (input->bytes, input->size, &head.method.ptr,
                               &head.method.len, &head.target.ptr,
                               &head.target.len, &minor_version, headers,
                               &head.header_count, conn->parsed_len);
  conn->parsed_len = input->size;
  if (len > 0)
    {
      conn->head_len = (size_t)len;
      return decide_on_head (conn, &head) && check_request (conn);
    }
  if (input->size <= limits->head_bytes)
    return true;
  refuse (conn, HTTPD_REFUSED_HEAD, VH_E_HEAD_TOO_LARGE, 0);
  return false;
}

/* Note that BYTES of incomplete requests have arrived on CONN.  */
static void
record_received (connection_t *conn, size_t bytes)
{
  httpd_t *server = conn->server;
  uint64_t now_ms = uv_now (server->loop);
  bool is_large = conn->memory > CONNECTION_BYTES + MEMORY_BUDGET_SMALL_BYTES;
  connection_stage_t stage
      = is_large ? STAGE_RECEIVING_LARGE : STAGE_RECEIVING;

  if (!is_receiving (conn))
    {
      /* h2o's time for a request begins with the end of the response.  */
      if (conn->stage == STAGE_BUSY)
        conn->expires_ms = now_ms + server->request_ms;
      conn->started_ms = now_ms;
      conn->sequence = ++server->request_sequence;
      set_due (conn, server->limits.head_ms);
      conn->parsed_len = 0;
      conn->head_len = 0;
    }
  else if (bytes < conn->progress_bytes + PROGRESS_BYTES
           && stage == conn->stage)
    return;
  conn->progress_ms = now_ms;
  conn->progress_bytes = bytes;
  set_stage (conn, stage);
}

/* HTTP/2.  h2o does not show the bodies of incomplete requests.  So the memory
   of the process is measured, and the connection is evicted that has sent most
   beside complete requests.  */

/* Return the resident memory of the process, in bytes; 0: not known.  */
static size_t
resident_bytes (void)
{
  FILE *file = fopen ("/proc/self/statm", "re");
  size_t pages = 0;

  if (file == NULL)
    return 0;
  if (fscanf (file, "%*u %zu", &pages) != 1)
    pages = 0;
  fclose (file);
  return pages * (size_t)sysconf (_SC_PAGESIZE);
}

/* Return the bytes that CONN has sent beside the bodies of requests that h2o
   has released.  */
static size_t
unreleased_bytes (const connection_t *conn)
{
  return conn->received_bytes > conn->released_bytes
             ? conn->received_bytes - conn->released_bytes
             : 0;
}

/* Note that RECEIVED_BYTES have arrived over HTTP/2 on CONN.  CONN may be
   released on return.  */
static void
update_http2 (connection_t *conn, size_t received_bytes)
{
  httpd_t *server = conn->server;
  connection_t *largest = NULL;

  if (conn->is_closing || server->destroyed)
    return;
  conn->progress_ms = uv_now (server->loop);
  set_stage (conn, conn->stage);
  server->http2_bytes += received_bytes;
  if (server->memory->limit == 0 || server->http2_bytes < HTTP2_CHECK_BYTES)
    return;
  server->http2_bytes = 0;
  if (resident_bytes ()
      <= server->initial_bytes + server->memory->limit + HTTP2_SLACK_BYTES)
    return;
  LIST_EACH (at, &server->connections)
    {
      connection_t *other = CONTAINER_OF (at, connection_t, link);
      if (other->is_http2 && !other->is_closing
          && (largest == NULL
              || unreleased_bytes (other) > unreleased_bytes (largest)))
        largest = other;
    }
  if (largest != NULL)
    refuse (largest, HTTPD_REFUSED_MEMORY, VH_E_OVERLOADED, 0);
}

/* Look at the input of CONN after it has changed.  CONN may be released on
   return.  */
static void
update (connection_t *conn)
{
  httpd_t *server = conn->server;
  size_t bytes;

  if (conn->is_closing || server->destroyed)
    return;
  memory_budget_count (server->memory, &conn->memory,
                       CONNECTION_BYTES + measure (conn, &bytes));
  if (bytes > 0)
    {
      record_received (conn, bytes);
      if (!check_request (conn))
        return;
    }
  else
    {
      connection_stage_t stage = conn->busy_count > 0    ? STAGE_BUSY
                                 : conn->has_had_request ? STAGE_IDLE
                                                         : STAGE_UNUSED;
      if (stage != conn->stage)
        {
          conn->progress_ms = uv_now (server->loop);
          conn->expires_ms = conn->progress_ms + server->request_ms;
          set_stage (conn, stage);
        }
    }
  httpd_release_memory (server);
}

/* Callbacks.  */

/* Wrap the read callback of CONN before the sockets are polled next.  */
static void
wrap_later (connection_t *conn)
{
  list_remove (&conn->unwrapped_link);
  list_append (&conn->server->unwrapped, &conn->unwrapped_link);
}

/* Scan the bytes of CONN that the last read brought.  */
static bool
scan_input (connection_t *conn)
{
  const h2o_socket_t *sock = conn->sock;
  size_t len = sock->input->size;

  /* In the TLS handshake h2o may read bytes of a request before its read
     callback is wrapped; until a request is passed on it consumes none.  */
  if (conn->is_scan_begun && sock->bytes_read < len)
    len = sock->bytes_read;
  conn->is_scan_begun = true;
  return request_framing_scan (
      &conn->framing,
      str_make (sock->input->bytes + sock->input->size - len, len));
}

bool
intake_is_sound_request (connection_t *conn)
{
  if (!conn->is_scan_begun)
    scan_input (conn);
  if (++conn->passed_requests <= conn->framing.requests)
    return true;
  record_refusal (conn, HTTPD_REFUSED_MALFORMED, VH_E_BAD_REQUEST);
  return false;
}

/* Read callback of all connections.
   XXX: a connection is closed without a response when a request over TLS, or a
   later request on a connection, is not valid.  */
static void
on_read (h2o_socket_t *sock, const char *err)
{
  connection_t *conn = sock->on_close.data;
  httpd_t *server = conn->server;

  /* What arrived before the malformed request goes to h2o first; then
     intake_is_sound_request refuses the rest.  */
  if (err == NULL && !conn->is_http2 && !scan_input (conn)
      && conn->passed_requests == conn->framing.requests)
    {
      record_received (conn, sock->input->size);
      refuse (conn, HTTPD_REFUSED_MALFORMED, VH_E_BAD_REQUEST, 0);
      return;
    }
  /* h2o closes the connection without a response, which the client could not
     distinguish from a lost response.  */
  if (err != NULL && !conn->is_tls && !conn->has_had_request
      && sock->input->size > 0)
    send_error (conn, VH_E_BAD_REQUEST, 0);
  size_t received = sock->input->size - conn->unprocessed_bytes;
  server->reading = conn;
  conn->h2o_read (sock, err);
  if (server->reading != conn)
    return;
  server->reading = NULL;
  if (sock->_cb.read != on_read)
    wrap_later (conn);
  conn->unprocessed_bytes = sock->input->size;
  conn->received_bytes += received;
  if (conn->is_http2)
    update_http2 (conn, received);
  else
    update (conn);
}

/* Let on_read be called in place of h2o's read callback of CONN.  Return false
   if it has to be tried again: the callback is not set, or that of the TLS
   handshake.  */
static bool
wrap_read_callback (connection_t *conn)
{
  h2o_socket_t *sock = conn->sock;

  if (!h2o_socket_is_reading (sock))
    return conn->busy_count > 0;
  if (sock->_cb.read == on_read)
    return true;
  /* The handshake may also end in a write callback, so its read callback is
     not wrapped.  The first other one is that of the protocol.  */
  if (conn->is_tls && conn->h2o_read == NULL
      && (conn->handshake_read == NULL
          || conn->handshake_read == sock->_cb.read))
    {
      conn->handshake_read = sock->_cb.read;
      return false;
    }
  if (conn->handshake_read != NULL)
    {
      conn->handshake_read = NULL;
      conn->is_http2 = has_negotiated_http2 (conn);
    }
  conn->h2o_read = sock->_cb.read;
  sock->_cb.read = on_read;
  return true;
}

static void
on_prepare (uv_prepare_t *prepare)
{
  httpd_t *server = prepare->data;
  list_t end;

  memory_budget_trim (server->memory);
  /* An update may close other connections of the list, and connections whose
     callback is not known yet are appended again.  */
  list_append (&server->unwrapped, &end);
  while (server->unwrapped.next != &end)
    {
      connection_t *conn = CONTAINER_OF (server->unwrapped.next, connection_t,
                                         unwrapped_link);
      list_remove (&conn->unwrapped_link);
      if (wrap_read_callback (conn))
        update (conn);
      else
        wrap_later (conn);
    }
  list_remove (&end);
}

void
intake_add_connection (connection_t *conn)
{
  httpd_t *server = conn->server;

  conn->is_tls = server->accept_ctx.ssl_ctx != NULL;
  conn->progress_ms = uv_now (server->loop);
  conn->expires_ms = conn->progress_ms + server->request_ms;
  list_init (&conn->stage_link);
  list_init (&conn->unwrapped_link);
  set_stage (conn, STAGE_UNUSED);
  if (!wrap_read_callback (conn))
    wrap_later (conn);
  memory_budget_count (server->memory, &conn->memory,
                       CONNECTION_BYTES + INPUT_BYTES_MIN);
  httpd_release_memory (server);
}

void
intake_request_begins (connection_t *conn)
{
  conn->has_had_request = true;
  conn->busy_count++;
  /* h2o uses the connection now, so it must not be closed to make room.  */
  if (!conn->is_closing)
    set_stage (conn, STAGE_BUSY);
}

void
intake_request_ends (connection_t *conn, size_t body_bytes)
{
  conn->busy_count--;
  conn->released_bytes += body_bytes;
  wrap_later (conn);
}

void
intake_remove_connection (connection_t *conn)
{
  httpd_t *server = conn->server;

  leave_stage (conn);
  server->closing_bytes -= conn->closing_bytes;
  list_remove (&conn->unwrapped_link);
  memory_budget_count (server->memory, &conn->memory, 0);
  if (conn->busy_count > 0)
    LIST_EACH (at, &server->requests)
      {
        httpd_req_t *req = CONTAINER_OF (at, httpd_req_t, link);
        if (req->connection == conn)
          req->connection = NULL;
      }
  if (server->reading == conn)
    server->reading = NULL;
}

void
intake_tick (httpd_t *server)
{
  static const connection_stage_t stages[]
      = { STAGE_RECEIVING, STAGE_RECEIVING_LARGE };
  uint64_t now_ms = uv_now (server->loop);

  for (size_t i = 0; i < sizeof stages / sizeof stages[0]; i++)
    LIST_EACH (at, &server->stages[stages[i]])
      {
        connection_t *conn = CONTAINER_OF (at, connection_t, stage_link);
        if (now_ms >= conn->due_ms)
          refuse (conn, HTTPD_REFUSED_TIME, VH_E_REQUEST_TIMEOUT, 0);
      }
  watch_unread_responses (server);
  httpd_release_memory (server);
  linger_expire (server->linger);
}

void
httpd_set_limits (httpd_t *server, const httpd_limits_t *limits)
{
  server->limits = *limits;
  if (server->limits.head_bytes == 0)
    server->limits.head_bytes = HEAD_LIMIT_DEFAULT_BYTES;
}

void
intake_init (httpd_t *server, const httpd_options_t *options)
{
  const httpd_limits_t limits = { .body_bytes = options->body_limit };

  httpd_set_limits (server, &limits);
  server->memory
      = options->memory != NULL ? options->memory : &server->own_memory;
  server->on_head = options->on_head;
  server->request_ms
      = server->config.http1.req_timeout - 2 * HTTPD_CHECK_INTERVAL_MS;
  for (int i = 0; i < STAGE_COUNT; i++)
    list_init (&server->stages[i]);
  list_init (&server->unwrapped);
  uv_prepare_init (server->loop, &server->prepare);
  server->prepare.data = server;
  uv_prepare_start (&server->prepare, on_prepare);
  uv_unref ((uv_handle_t *)&server->prepare);
  server->linger
      = linger_create (server->loop, options->body_limit + LINGER_SLACK_BYTES);
}

void
intake_free (httpd_t *server)
{
  /* The budget's owner may be released before the last connection.  */
  LIST_EACH (at, &server->connections)
    memory_budget_count (server->memory,
                         &CONTAINER_OF (at, connection_t, link)->memory, 0);
  LIST_EACH (at, &server->requests)
    memory_budget_count (server->memory,
                         &CONTAINER_OF (at, httpd_req_t, link)->memory, 0);
  server->memory = &server->own_memory;
  linger_destroy (server->linger);
  server->linger = NULL;
}
