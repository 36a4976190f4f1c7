/* Misbehaving clients, as a process of their own: many connections that send
   the same bytes as fast as the server reads them, and then stay open, send a
   byte now and then, or do not read.  */

#ifndef TESTS_CLIENT_CROWD_H
#define TESTS_CLIENT_CROWD_H

#include "base/str.h"

#include <sys/types.h>

typedef struct
{
  size_t connections;
  str_t bytes;  /* What each connection sends.  */
  bool repeats; /* BYTES are sent again and again, from REPEAT_FROM.  */
  size_t repeat_from;
  str_t last; /* Sent when HOLD_MS have passed; may be empty.  */
  uint64_t hold_ms;
  uint64_t trickle_ms; /* Interval at which a byte follows after BYTES; 0:
                          none does.  */
  bool is_silent;      /* Responses are not read.  */
  bool is_returning;   /* A connection that was closed is opened again.  */
} crowd_part_t;

enum
{
  CROWD_PARTS_MAX = 12
};

/* Start PARTS against HOST:PORT for DURATION_MS.  Return the process.  */
pid_t client_crowd_start (const char *host, uint16_t port,
                          const crowd_part_t *parts, size_t part_count,
                          uint64_t duration_ms);
/* Return whether the process of CROWD still runs, and reap it otherwise.  */
bool client_crowd_is_running (pid_t crowd);

/* Append the head of a request for PATH.  FRAMING is the line of the body's
   length or coding, without its end.  */
void client_crowd_add_head (buf_t *out, const char *path, const char *framing);
/* Append LEN bytes of a body in chunks of CHUNK_LEN, without the last
   chunk.  */
void client_crowd_add_chunks (buf_t *out, size_t len, size_t chunk_len);

/* Return the largest resident memory that PID has had, in bytes, and the
   number of its open descriptors.  */
size_t process_peak_memory (pid_t pid);
size_t process_descriptors (pid_t pid);

#endif
