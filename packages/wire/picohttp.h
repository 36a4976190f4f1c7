/* Declarations of the HTTP/1 parser (picohttpparser) in h2o's library.
   Debian's package exports these functions but does not contain their header,
   so they are declared here as in the version that scripts/install-deps
   installs.  */

#ifndef WIRE_PICOHTTP_H
#define WIRE_PICOHTTP_H

#include <stddef.h>
#include <sys/types.h>

struct phr_header
{
  const char *name;
  size_t name_len;
  const char *value;
  size_t value_len;
};

struct phr_chunked_decoder
{
  size_t bytes_left_in_chunk;
  char consume_trailer;
  char hex_count_;
  char state_;
};

/* Parse the head of an HTTP response at the start of BUF.  Return its length,
   -2 when BUF holds only part of a head, or -1 when BUF is not valid HTTP.  */
int phr_parse_response (const char *buf, size_t len, int *minor_version,
                        int *status, const char **msg, size_t *msg_len,
                        struct phr_header *headers, size_t *num_headers,
                        size_t last_len);

/* Parse the head of an HTTP request at the start of BUF, of which LAST_LEN
   bytes were found to be no complete head.  Return as phr_parse_response.  */
int phr_parse_request (const char *buf, size_t len, const char **method,
                       size_t *method_len, const char **path, size_t *path_len,
                       int *minor_version, struct phr_header *headers,
                       size_t *num_headers, size_t last_len);

/* Decode chunked data in BUF in place and set *LEN to the number of decoded
   bytes.  Return -2 when the last chunk has not been received, -1 when BUF is
   not valid chunked data, otherwise the number of bytes after the last
   chunk.  */
ssize_t phr_decode_chunked (struct phr_chunked_decoder *decoder, char *buf,
                            size_t *len);

#endif
