/* The HTTP/1 parser inside h2o's library.  Debian's package exports these
   functions but does not ship their header, so the declarations stand here,
   as of the version that scripts/install-deps names.  */

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

/* Return the length of the head, -2 when it is not whole, -1 when it is not
   HTTP.  */
int phr_parse_response (const char *buf, size_t len, int *minor_version,
                        int *status, const char **msg, size_t *msg_len,
                        struct phr_header *headers, size_t *num_headers,
                        size_t last_len);

/* Decode BUF in place; *LEN becomes the number of decoded bytes.  Return -2
   when the body is not whole, -1 when it is not chunked data, else the bytes
   left past its end.  */
ssize_t phr_decode_chunked (struct phr_chunked_decoder *decoder, char *buf,
                            size_t *len);

#endif
