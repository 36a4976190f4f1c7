/* Where the requests on an HTTP/1 connection begin and end.

   The HTTP library of the server accepts requests whose end another reader
   would find elsewhere, such as one with two lengths, and then takes a part of
   the body for a request of its own (request smuggling).  This scanner reads
   the same bytes by the grammar of RFC 9112 alone, without its exceptions for
   old clients.  The server passes on a request only if the scanner found its
   end as well.

   Refused:

   - a line that does not end with CR LF; more than one empty line before a
     request (section 2.2)
   - a request line that is not METHOD SP TARGET SP HTTP/1.0 or HTTP/1.1
     (section 3)
   - HTTP/1.1 with no Host, or any version with several (section 3.2)
   - a folded header line, a name that is no token or is followed by white
     space, control characters (section 5)
   - a Content-Length that is not a number, or several that differ; a
     Transfer-Encoding other than one `chunked', beside a Content-Length or
     with HTTP/1.0 (section 6)
   - a chunk size that is no hexadecimal number, white space after it without
     an extension, a chunk that is not as long as its size says, a malformed
     trailer (section 7.1)
   - an Expect other than 100-continue (RFC 9110, section 10.1.1): its body may
     follow or not

   Accepted: one empty line before a request, white space around the values of
   headers, several equal lengths, chunk extensions, trailers.  */

#ifndef WIRE_REQUEST_FRAMING_H
#define WIRE_REQUEST_FRAMING_H

#include "base/str.h"

enum
{
  /* Room for the names and values of headers that decide on the framing.  */
  REQUEST_FRAMING_NAME_SIZE = 20,
  REQUEST_FRAMING_VALUE_SIZE = 24
};

/* State of the scanner; zero at the start of a connection.  */
typedef struct
{
  uint8_t state;         /* One of the states in request_framing.c.  */
  uint8_t matched;       /* Characters of the version that were read.  */
  uint8_t minor_version; /* 0 or 1.  */
  uint8_t digits;        /* Of a chunk size.  */
  bool is_in_trailer;
  bool has_host;
  bool has_length;
  bool has_coding;
  bool is_value_too_long; /* VALUE does not hold all of it.  */
  uint8_t name_len;       /* REQUEST_FRAMING_NAME_SIZE: that or longer.  */
  uint8_t value_len;      /* Without white space at the begin.  */
  char name[REQUEST_FRAMING_NAME_SIZE]; /* In lower case.  */
  char value[REQUEST_FRAMING_VALUE_SIZE];
  uint64_t length;   /* Content-Length.  */
  uint64_t left;     /* Bytes left of the body or of the chunk.  */
  uint64_t requests; /* Complete requests.  */
} request_framing_t;

/* Scan BYTES, the next ones of the connection.  Return false from the first
   byte on that no sound request can have; REQUESTS then counts those before.
   */
bool request_framing_scan (request_framing_t *framing, str_t bytes);

/* Return whether TEXT may be a method or the name of a header, a target, and
   the value of a header.  */
bool request_framing_is_token (str_t text);
bool request_framing_is_target (str_t text);
bool request_framing_is_value (str_t text);

#endif
