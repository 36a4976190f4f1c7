#include "wire/http_exchange.h"

#include "base/peertimer.h"
#include "base/mem.h"
#include "wire/addr.h"
#include "wire/picohttp.h"

#include <stdlib.h>
#include <sys/socket.h>

enum
{
  /* Limits of a response's head, with the interim responses before it; servers
     send at most a few of these.  */
  HEAD_BYTES_MAX = 65536,
  INTERIM_RESPONSES_MAX = 16,
  /* Length from which an incomplete head is only searched for its end when
     more of it arrives.  Parsing it again each time would take a time that
     grows with the square of its length.  */
  HEAD_REPARSE_BYTES = 4096,
  /* Limit of the bytes of chunk sizes, chunk extensions and trailers that
     arrive without a byte of the body between them, in reads that have none of
     it.  */
  FRAMING_BYTES_MAX = 65536,
  READ_BUFFER_BYTES = 65536,
  /* Limit of the memory for the incomplete heads of all exchanges of the
     process.  Above it only heads up to HEAD_BYTES_SMALL may grow.  */
  HEADS_MEMORY_MAX = 8 << 20,
  HEAD_BYTES_SMALL = 8192
};

typedef enum
{
  BODY_NONE,
  BODY_LENGTH,
  BODY_CHUNKED,
  BODY_UNTIL_CLOSE /* The end of the connection ends the body.  */
} body_framing_t;

struct http_exchange
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  peer_timer_t connect_timeout;
  unsigned open_handles;
  http_exchange_events_t events;
  void *arg;
  buf_t request_head;
  str_t request_body;     /* Borrowed.  */
  buf_t input;            /* Received bytes of an incomplete response head.  */
  size_t input_memory;    /* Part of HEADS_MEMORY for INPUT.  */
  size_t parsed_len;      /* Bytes of INPUT that are no complete head.  */
  size_t head_bytes;      /* Bytes received up to the end of the head.  */
  unsigned interim_count; /* Interim responses received.  */
  size_t framing_bytes;   /* See FRAMING_BYTES_MAX.  */
  uint64_t bytes_received;
  bool connected;
  bool has_response_head;
  bool no_body;
  bool paused;
  bool has_write_failed; /* The server reset the connection, or closed it
                            while the request was being written.  */
  bool closed;           /* No further events are delivered.  */
  body_framing_t body_framing;
  /* Bytes of the body not received yet; used with BODY_LENGTH only.  */
  uint64_t body_bytes_left;
  struct phr_chunked_decoder decoder;
};

/* Read buffer of all exchanges of the process: they read on its only loop
   thread, one at a time.  */
static char read_buffer[READ_BUFFER_BYTES];
/* Memory of the incomplete heads of all exchanges, in bytes.  */
static size_t heads_memory;

/* Count the memory of the input.  */
static void
count_input (http_exchange_t *exchange)
{
  heads_memory += exchange->input.cap - exchange->input_memory;
  exchange->input_memory = exchange->input.cap;
}

static void
free_input (http_exchange_t *exchange)
{
  buf_free (&exchange->input);
  count_input (exchange);
}

static void
on_handle_released (void *arg)
{
  http_exchange_t *exchange = arg;

  if (--exchange->open_handles > 0)
    return;
  buf_free (&exchange->request_head);
  free_input (exchange);
  free (exchange);
}

static void
on_tcp_closed (uv_handle_t *handle)
{
  on_handle_released (handle->data);
}

void
http_exchange_cancel (http_exchange_t *exchange)
{
  if (exchange->closed)
    return;
  exchange->closed = true;
  peer_timer_close (&exchange->connect_timeout, on_handle_released);
  uv_close ((uv_handle_t *)&exchange->tcp, on_tcp_closed);
}

static void
finish (http_exchange_t *exchange, vh_code_t code)
{
  if (exchange->closed)
    return;
  http_exchange_cancel (exchange);
  exchange->events.end (exchange->arg, code);
}

bool
http_exchange_was_sent (const http_exchange_t *exchange)
{
  return exchange->connected;
}

uint64_t
http_exchange_bytes_received (const http_exchange_t *exchange)
{
  return exchange->bytes_received;
}

str_t
http_exchange_header (const http_exchange_head_t *head, str_t name)
{
  for (size_t i = 0; i < head->header_count; i++)
    if (str_eq_nocase (head->headers[i].name, name))
      return head->headers[i].value;
  return STR_NULL;
}

/* Determine from HEAD how the body is framed.  Return false when the headers
   contradict each other, as in a response that was corrupted in transit.  */
static bool
set_body_framing (http_exchange_t *exchange, const http_exchange_head_t *head)
{
  str_t length = STR_NULL;

  for (size_t i = 0; i < head->header_count; i++)
    {
      const httpc_header_t *header = &head->headers[i];
      if (str_eq_nocase (header->name, STR ("content-length")))
        {
          if (length.ptr != NULL && !str_eq (length, header->value))
            return false;
          length = header->value;
        }
    }
  str_t coding = http_exchange_header (head, STR ("transfer-encoding"));
  if (exchange->no_body || head->status == 204 || head->status == 304)
    exchange->body_framing = BODY_NONE;
  else if (coding.ptr != NULL)
    {
      if (length.ptr != NULL || !str_eq_nocase (coding, STR ("chunked")))
        return false;
      exchange->body_framing = BODY_CHUNKED;
      exchange->decoder.consume_trailer = 1;
    }
  else if (length.ptr != NULL)
    {
      exchange->body_framing = BODY_LENGTH;
      if (!str_to_u64 (length, &exchange->body_bytes_left))
        return false;
    }
  else
    exchange->body_framing = BODY_UNTIL_CLOSE;
  return true;
}

/* Process LEN received bytes of the body.  BYTES is overwritten.  */
static void
process_body (http_exchange_t *exchange, char *bytes, size_t len)
{
  bool is_complete = false;
  ssize_t trailing_len = 0;

  switch (exchange->body_framing)
    {
    case BODY_NONE:
      is_complete = true;
      len = 0;
      break;
    case BODY_LENGTH:
      if (len > exchange->body_bytes_left)
        len = (size_t)exchange->body_bytes_left;
      exchange->body_bytes_left -= len;
      is_complete = exchange->body_bytes_left == 0;
      break;
    case BODY_CHUNKED:
      {
        size_t received_len = len;
        trailing_len = phr_decode_chunked (&exchange->decoder, bytes, &len);
        is_complete = trailing_len >= 0;
        exchange->framing_bytes
            = len > 0 ? 0 : exchange->framing_bytes + received_len;
        break;
      }
    case BODY_UNTIL_CLOSE:
      break;
    }
  if (len > 0 && trailing_len != -1)
    exchange->events.body (exchange->arg, str_make (bytes, len));
  if (exchange->closed)
    return;
  /* The decoder refuses a chunk size with more digits than a size_t has.  */
  if (trailing_len == -1)
    finish (exchange, exchange->decoder.hex_count_ == 2 * sizeof (size_t)
                          ? VH_E_TOO_LARGE
                          : VH_E_PROTOCOL);
  else if (is_complete)
    finish (exchange, VH_OK);
  else if (exchange->framing_bytes > FRAMING_BYTES_MAX)
    finish (exchange, VH_E_TOO_LARGE);
}

/* Parse the response head in the input into HEAD, whose headers have room for
   HTTP_EXCHANGE_HEADERS_MAX.  Return its length, 0 if it is incomplete, or -1
   if the exchange has ended because the response is not valid or too large. */
static int
parse_head (http_exchange_t *exchange, http_exchange_head_t *head,
            httpc_header_t *headers)
{
  struct phr_header parsed[HTTP_EXCHANGE_HEADERS_MAX];
  const char *reason;
  size_t reason_len;
  int minor;

  head->headers = headers;
  head->header_count = HTTP_EXCHANGE_HEADERS_MAX;
  int len = phr_parse_response (
      exchange->input.ptr, exchange->input.len, &minor, &head->status, &reason,
      &reason_len, parsed, &head->header_count,
      exchange->parsed_len >= HEAD_REPARSE_BYTES ? exchange->parsed_len : 0);

  exchange->parsed_len = exchange->input.len;
  if (len == -1)
    finish (exchange, head->header_count == HTTP_EXCHANGE_HEADERS_MAX
                          ? VH_E_TOO_LARGE
                          : VH_E_PROTOCOL);
  else if (exchange->head_bytes + (len > 0 ? (size_t)len : exchange->input.len)
           > HEAD_BYTES_MAX)
    finish (exchange, VH_E_TOO_LARGE);
  if (exchange->closed)
    return -1;
  if (len == -2)
    return 0;
  for (size_t i = 0; i < head->header_count; i++)
    {
      headers[i].name = str_make (parsed[i].name, parsed[i].name_len);
      headers[i].value = str_make (parsed[i].value, parsed[i].value_len);
    }
  return len;
}

/* Process the response head in the input, and drop the interim responses (1xx)
   before it.  Return its length, or 0 when the head is incomplete or the
   exchange has ended.  */
static size_t
process_head (http_exchange_t *exchange)
{
  httpc_header_t headers[HTTP_EXCHANGE_HEADERS_MAX];
  http_exchange_head_t head;
  int len;

  while ((len = parse_head (exchange, &head, headers)) > 0
         && head.status >= 100 && head.status < 200 && head.status != 101)
    {
      exchange->head_bytes += (size_t)len;
      exchange->parsed_len = 0;
      buf_consume (&exchange->input, (size_t)len);
      if (++exchange->interim_count > INTERIM_RESPONSES_MAX)
        {
          finish (exchange, VH_E_TOO_LARGE);
          return 0;
        }
    }
  if (len <= 0)
    return 0;
  /* 101 is the response to an offer that no request here makes.  */
  if (head.status < 200 || head.status > 599
      || !set_body_framing (exchange, &head))
    {
      finish (exchange, VH_E_PROTOCOL);
      return 0;
    }
  exchange->has_response_head = true;
  exchange->events.head (exchange->arg, &head);
  return exchange->closed ? 0 : (size_t)len;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (read_buffer, sizeof read_buffer);
}

/* Return whether the connection was reset although the read reported its end.
   The kernel reports an error of a connection only once, to the first call
   that meets it.  If libuv infers the end without a read, the error is still
   pending.  If the rest of the request was being written, the write took the
   error, and the read and the pending error show a normal end.  */
static bool
was_reset (const http_exchange_t *exchange)
{
  uv_os_fd_t fd;
  int error = 0;
  socklen_t len = sizeof error;

  if (exchange->has_write_failed)
    return true;
  if (uv_fileno ((const uv_handle_t *)&exchange->tcp, &fd) != 0
      || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    return true;
  return error != 0;
}

static void
on_read (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  http_exchange_t *exchange = stream->data;

  if (read_len == 0)
    return;
  if (read_len < 0)
    {
      /* A response without a length is complete only when the connection
         was closed normally; after a reset it is incomplete.  */
      bool is_complete = read_len == UV_EOF && exchange->has_response_head
                         && exchange->body_framing == BODY_UNTIL_CLOSE
                         && !was_reset (exchange);
      finish (exchange, is_complete ? VH_OK : VH_E_UPSTREAM_CUT);
      return;
    }
  exchange->bytes_received += (size_t)read_len;
  if (exchange->has_response_head)
    {
      process_body (exchange, buf->base, (size_t)read_len);
      return;
    }
  buf_append (&exchange->input, buf->base, (size_t)read_len);
  size_t len = process_head (exchange);
  count_input (exchange);
  if (len == 0)
    {
      if (heads_memory > HEADS_MEMORY_MAX
          && exchange->input.len > HEAD_BYTES_SMALL)
        finish (exchange, VH_E_TOO_LARGE);
      return;
    }
  /* Needed without further bytes too: a body of length 0 is complete.  */
  if (exchange->body_framing != BODY_UNTIL_CLOSE || exchange->input.len > len)
    process_body (exchange, exchange->input.ptr + len,
                  exchange->input.len - len);
  free_input (exchange);
}

static void
on_written (uv_write_t *write, int status)
{
  http_exchange_t *exchange = write->data;

  /* A failed write does not end the exchange: a server that responds early may
     close the connection before it has read the whole request, and bytes of
     its response may still wait to be read.  */
  exchange->has_write_failed = status != 0;
  buf_free (&exchange->request_head);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  http_exchange_t *exchange = connect->data;

  if (exchange->closed)
    return;
  if (status != 0)
    {
      finish (exchange, VH_E_CONNECT);
      return;
    }
  peer_timer_stop (&exchange->connect_timeout);
  exchange->connected = true;
  uv_tcp_nodelay (&exchange->tcp, 1);
  if (!exchange->paused)
    uv_read_start ((uv_stream_t *)&exchange->tcp, on_alloc, on_read);
  const uv_buf_t bufs[] = {
    uv_buf_init (exchange->request_head.ptr,
                 (unsigned)exchange->request_head.len),
    uv_buf_init ((char *)exchange->request_body.ptr,
                 (unsigned)exchange->request_body.len),
  };
  exchange->write.data = exchange;
  if (uv_write (&exchange->write, (uv_stream_t *)&exchange->tcp, bufs,
                exchange->request_body.len > 0 ? 2 : 1, on_written)
      != 0)
    finish (exchange, VH_E_UPSTREAM_CUT);
}

static void
on_connect_timeout (void *arg)
{
  finish (arg, VH_E_CONNECT);
}

http_exchange_t *
http_exchange_start (uv_loop_t *loop, str_t address, buf_t *head, str_t body,
                     uint64_t connect_ms, bool no_body,
                     const http_exchange_events_t *events, void *arg)
{
  struct sockaddr_storage addr;
  socklen_t addr_len;

  if (!addr_parse (address, &addr, &addr_len))
    {
      buf_free (head);
      return NULL;
    }
  http_exchange_t *exchange = mem_zalloc (sizeof *exchange);
  exchange->events = *events;
  exchange->arg = arg;
  exchange->no_body = no_body;
  exchange->request_head = *head;
  exchange->request_body = body;
  *head = BUF_NULL;
  uv_tcp_init (loop, &exchange->tcp);
  peer_timer_init (&exchange->connect_timeout, loop, on_connect_timeout,
                   exchange);
  exchange->tcp.data = exchange;
  exchange->connect.data = exchange;
  exchange->open_handles = 2;
  peer_timer_start (&exchange->connect_timeout, connect_ms);
  int status = uv_tcp_connect (&exchange->connect, &exchange->tcp,
                               (struct sockaddr *)&addr, on_connected);
  /* All events are delivered on a later turn of the loop; the connect timeout
     reports this failure.  */
  if (status != 0)
    peer_timer_start (&exchange->connect_timeout, 0);
  return exchange;
}

void
http_exchange_pause (http_exchange_t *exchange)
{
  exchange->paused = true;
  if (exchange->connected && !exchange->closed)
    uv_read_stop ((uv_stream_t *)&exchange->tcp);
}

void
http_exchange_resume (http_exchange_t *exchange)
{
  exchange->paused = false;
  if (exchange->connected && !exchange->closed)
    uv_read_start ((uv_stream_t *)&exchange->tcp, on_alloc, on_read);
}
