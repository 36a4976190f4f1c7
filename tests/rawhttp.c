#include "rawhttp.h"

#include "harness.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BYTES = 16384,
  JSON_WAIT_MS = 5000,
  CRLF_LEN = 2
};

rawhttp_t
rawhttp_connect (const char *host, uint16_t port)
{
  rawhttp_t http = { .fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int on = 1;

  addr.sin_port = htons (port);
  inet_pton (AF_INET, host, &addr.sin_addr);
  setsockopt (http.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (http.fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      close (http.fd);
      http.fd = -1;
      http.has_ended = true;
    }
  return http;
}

void
rawhttp_send (rawhttp_t *http, str_t bytes)
{
  while (http->fd >= 0 && bytes.len > 0)
    {
      ssize_t sent = send (http->fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
      bytes = str_make (bytes.ptr + sent, bytes.len - (size_t)sent);
    }
}

rawhttp_t
rawhttp_start (const char *host, uint16_t port, const char *method,
               const char *path, const char *headers, str_t body)
{
  rawhttp_t http = rawhttp_connect (host, port);
  buf_t out = BUF_NULL;

  buf_printf (
      &out, "%s %s HTTP/1.1\r\nhost: %s:%u\r\n%scontent-length: %zu\r\n\r\n",
      method, path, host, port, headers != NULL ? headers : "", body.len);
  buf_append_str (&out, body);
  rawhttp_send (&http, buf_str (&out));
  buf_free (&out);
  return http;
}

/* Read once, waiting until END_MS at most.  */
static void
read_once (rawhttp_t *http, uint64_t end_ms)
{
  struct pollfd wait = { .fd = http->fd, .events = POLLIN };
  uint64_t now_ms = harness_now_ms ();

  if (http->has_ended || now_ms >= end_ms
      || poll (&wait, 1, (int)(end_ms - now_ms)) <= 0)
    return;
  buf_reserve (&http->raw, READ_BYTES);
  ssize_t received
      = recv (http->fd, http->raw.ptr + http->raw.len, READ_BYTES, 0);
  if (received > 0)
    http->raw.len += (size_t)received;
  else
    http->has_ended = true;
}

str_t
rawhttp_header (const rawhttp_t *http, const char *name)
{
  str_t rest = buf_str (&http->head);

  while (rest.ptr != NULL)
    {
      str_t value;
      str_t header = str_cut (rest, '\n', &rest);
      if (str_eq_nocase (str_trim (str_cut (header, ':', &value)),
                         str_from (name)))
        return str_trim (value);
    }
  return STR_NULL;
}

/* Return the first occurrence of TEXT in BUF, or NULL.  */
static const char *
find_text (const buf_t *buf, str_t text)
{
  return buf->len > 0 ? memmem (buf->ptr, buf->len, text.ptr, text.len) : NULL;
}

/* Parse the head and remove it from the received bytes, if the head is
   complete.  Return whether a head has been parsed.  */
static bool
parse_head (rawhttp_t *http)
{
  const char *end = find_text (&http->raw, STR ("\r\n\r\n"));

  if (http->status != 0 || end == NULL)
    return http->status != 0;
  size_t len = (size_t)(end - http->raw.ptr) + 2 * CRLF_LEN;
  buf_append (&http->head, http->raw.ptr, len);
  buf_consume (&http->raw, len);
  str_t code;
  str_t rest;
  str_cut (buf_str (&http->head), ' ', &code);
  uint64_t status = 0;
  str_to_u64 (str_cut (code, ' ', &rest), &status);
  http->status = status > 0 ? (int)status : -1;
  http->chunked = str_eq_nocase (rawhttp_header (http, "transfer-encoding"),
                                 STR ("chunked"));
  http->length = UINT64_MAX;
  str_to_u64 (rawhttp_header (http, "content-length"), &http->length);
  /* Skip an interim response (1xx); the final one follows.  */
  if (http->status / 100 == 1)
    {
      http->status = 0;
      http->head.len = 0;
      return parse_head (http);
    }
  return true;
}

static void
decode_chunks (rawhttp_t *http)
{
  while (!http->is_complete)
    {
      if (http->chunk_left > CRLF_LEN)
        {
          size_t len = http->chunk_left - CRLF_LEN;
          if (len > http->raw.len)
            len = http->raw.len;
          if (len == 0)
            return;
          buf_append (&http->body, http->raw.ptr, len);
          buf_consume (&http->raw, len);
          http->chunk_left -= len;
          continue;
        }
      if (http->raw.len < http->chunk_left)
        return;
      buf_consume (&http->raw, http->chunk_left);
      http->chunk_left = 0;
      const char *end = find_text (&http->raw, STR ("\r\n"));
      if (end == NULL)
        return;
      size_t line_len = (size_t)(end - http->raw.ptr) + CRLF_LEN;
      http->chunk_left = strtoull (http->raw.ptr, NULL, 16) + CRLF_LEN;
      http->is_complete = http->chunk_left == CRLF_LEN;
      buf_consume (&http->raw, line_len);
    }
}

static void
decode_body (rawhttp_t *http)
{
  if (!parse_head (http))
    return;
  if (http->chunked)
    {
      decode_chunks (http);
      return;
    }
  buf_append_str (&http->body, buf_str (&http->raw));
  http->raw.len = 0;
  http->is_complete = http->body.len >= http->length
                      || (http->length == UINT64_MAX && http->has_ended);
}

bool
rawhttp_read_head (rawhttp_t *http, uint64_t wait_ms)
{
  uint64_t end_ms = harness_now_ms () + wait_ms;

  while (!parse_head (http) && !http->has_ended && harness_now_ms () < end_ms)
    read_once (http, end_ms);
  return http->status != 0;
}

bool
rawhttp_read_body (rawhttp_t *http, size_t len, uint64_t wait_ms)
{
  uint64_t end_ms = harness_now_ms () + wait_ms;

  decode_body (http);
  while (http->body.len < len && !http->is_complete && !http->has_ended
         && harness_now_ms () < end_ms)
    {
      read_once (http, end_ms);
      decode_body (http);
    }
  return http->body.len >= len;
}

bool
rawhttp_read_all (rawhttp_t *http, uint64_t wait_ms)
{
  rawhttp_read_body (http, SIZE_MAX, wait_ms);
  return http->is_complete;
}

void
rawhttp_close (rawhttp_t *http)
{
  if (http->fd >= 0)
    close (http->fd);
  http->fd = -1;
  buf_free (&http->raw);
  buf_free (&http->head);
  buf_free (&http->body);
}

rawhttp_t
rawhttp_call (const char *host, uint16_t port, const char *method,
              const char *path, const char *headers, str_t body,
              uint64_t wait_ms)
{
  rawhttp_t http = rawhttp_start (host, port, method, path, headers, body);

  rawhttp_read_all (&http, wait_ms);
  if (http.fd >= 0)
    close (http.fd);
  http.fd = -1;
  return http;
}

json_t *
rawhttp_json (const char *host, uint16_t port, const char *path,
              const char *body)
{
  rawhttp_t http = rawhttp_call (host, port, body != NULL ? "POST" : "GET",
                                 path, "content-type: application/json\r\n",
                                 str_from (body), JSON_WAIT_MS);
  json_t *root = http.is_complete ? json_loadb (http.body.ptr, http.body.len,
                                                JSON_DECODE_ANY, NULL)
                                  : NULL;

  rawhttp_close (&http);
  return root;
}
