/* Blocking HTTP/1.1 client on a plain socket, for tests that examine partial
   responses or the time of a received part, or send invalid requests.  */

#ifndef TESTS_RAWHTTP_H
#define TESTS_RAWHTTP_H

#include "base/str.h"

#include <jansson.h>

typedef struct
{
  int fd;
  int status; /* HTTP status; 0 before the head is received.  */
  buf_t raw;  /* Bytes received and not decoded yet.  */
  buf_t head;
  buf_t body;       /* Bytes of the body decoded so far.  */
  bool is_complete; /* The complete response was received.  */
  bool has_ended;   /* The connection was closed or refused.  */
  bool chunked;
  /* Content-Length, or UINT64_MAX when the response has none.  */
  uint64_t length;
  /* Bytes left of the current chunk, including its CRLF.  */
  uint64_t chunk_left;
} rawhttp_t;

/* Connect to HOST:PORT.  The fd of the result is -1 when the connection was
   refused.  */
rawhttp_t rawhttp_connect (const char *host, uint16_t port);
/* Send BYTES unchanged.  */
void rawhttp_send (rawhttp_t *http, str_t bytes);
/* Connect and send a request.  HEADERS are complete lines with CRLF, or NULL;
   BODY may be STR_NULL.  */
rawhttp_t rawhttp_start (const char *host, uint16_t port, const char *method,
                         const char *path, const char *headers, str_t body);
/* Read until the head is received.  Return false when that takes longer than
   WAIT_MS or the connection closes before.  */
bool rawhttp_read_head (rawhttp_t *http, uint64_t wait_ms);
/* Read for at most WAIT_MS until the body has LEN bytes or the response ends.
   Return whether the body has LEN bytes.  */
bool rawhttp_read_body (rawhttp_t *http, size_t len, uint64_t wait_ms);
/* Read for at most WAIT_MS until the response ends.  Return whether the
   response is complete.  */
bool rawhttp_read_all (rawhttp_t *http, uint64_t wait_ms);
/* Return the value of header NAME, or STR_NULL when the response has no such
   header.  */
str_t rawhttp_header (const rawhttp_t *http, const char *name);
/* Close the connection and release the buffers.  */
void rawhttp_close (rawhttp_t *http);

/* Send a request, read the complete response and close the connection.  The
   status is 0 when there was no response.  The caller releases the buffers
   with rawhttp_close.  */
rawhttp_t rawhttp_call (const char *host, uint16_t port, const char *method,
                        const char *path, const char *headers, str_t body,
                        uint64_t wait_ms);
/* Send a POST request with BODY, or a GET request when BODY is NULL.  Return
   the JSON of the response, which the caller releases with json_decref, or
   NULL when the response is incomplete or not JSON.  */
json_t *rawhttp_json (const char *host, uint16_t port, const char *path,
                      const char *body);

#endif
