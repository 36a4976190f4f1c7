/* A load generator for the callers' interface, which compares every byte of
   every answer with the expected one.  It runs on the caller's event loop and
   stops at a given number of requests or duration.  */

#ifndef STANDINS_LOADGEN_H
#define STANDINS_LOADGEN_H

#include "base/code.h"
#include "base/str.h"

#include <uv.h>

typedef struct loadgen loadgen_t;

/* Result of one request, after its last resend.  The strings are valid during
   the callback only.  */
typedef struct
{
  uint64_t number;
  bool is_service;
  bool is_streamed;
  unsigned send_count; /* Number of times that the request was sent.  */
  str_t key;           /* Idempotency-Key; empty if none was sent.  */
  str_t request_id;    /* Vanillahook-Request-Id of the last answer.  */
  vh_code_t code;      /* VH_OK if the HTTP response was complete.  */
  int status;          /* HTTP status; 0 if no response head was received.  */
  str_t outcome;       /* Value of the Vanillahook-Outcome header.  */
  str_t version;       /* MODEL@VERSION that produced the answer.  */
  str_t body;          /* Response body as received, possibly truncated.  */
  uint32_t tokens;     /* Number of completion tokens in the usage object.  */
  bool is_complete;    /* The status is 2xx and the answer is complete.  */
  bool has_wrong_body; /* The answer is complete but not the expected text.  */
  bool has_retry_after;   /* The response had a Retry-After header.  */
  uint64_t started_us;    /* Send time; in an open loop the scheduled time.  */
  uint64_t first_byte_us; /* Time from the start to the first body byte.  */
  uint64_t max_chunk_gap_us; /* Longest time between two body chunks.  */
  uint64_t total_us; /* Time from the start to the last response's end.  */
} loadgen_result_t;

typedef struct
{
  const str_t *targets; /* HOST:PORT of each entry, on 127.x.x.x.  */
  size_t target_count;
  /* HOST:PORT of the operators' port of each target, whose /readyz is
     checked; NULL: all targets are ready.  */
  const str_t *health_addresses;
  size_t concurrency;    /* Most requests in flight, also in an open loop.  */
  double rate;           /* Requests a second; 0: closed loop.  */
  uint64_t max_requests; /* Number of requests to start; 0: no limit.  */
  /* Time during which requests are started; 0: no limit.  */
  uint64_t duration_ms;
  uint64_t seed;
  double stream_share; /* Share of chat requests that are streamed, 0 to 1.  */
  double service_share; /* Share of requests to the service, 0 to 1.  */
  str_t api_key;
  str_t model;
  str_t service;    /* Name of the service, in /services/NAME.  */
  str_t session;    /* Value of Vanillahook-Session; empty: not sent.  */
  str_t key_prefix; /* Prefix of Idempotency-Key values; empty: not sent.  */
  uint32_t max_tokens;
  size_t prompt_bytes;
  uint64_t deadline_ms; /* Value of Vanillahook-Deadline-Ms; 0: not sent.  */
  uint64_t timeout_ms;  /* Timeout of one send; 0: 30 s.  */
  /* Most resends, with the same key, of a request that may have run.  */
  unsigned max_resends;
  /* Called when a request has ended, after any resends.  */
  void (*on_result) (void *arg, const loadgen_result_t *result);
  /* Called once, after the last request has ended.  */
  void (*on_complete) (void *arg);
  void *arg;
} loadgen_options_t;

/* Start the load.  OPTIONS and its strings are borrowed until loadgen_destroy.
   Return NULL if there is no target or a target is not on 127.x.x.x.  */
loadgen_t *loadgen_create (uv_loop_t *loop, const loadgen_options_t *options);
/* Start no more requests.  ON_COMPLETE is called when the requests in flight
   have ended.  May be called from any thread.  */
void loadgen_stop (loadgen_t *load);
/* Release LOAD, once ON_COMPLETE has been called; NULL is ignored.  The loop
   must run once more to close the handles.  */
void loadgen_destroy (loadgen_t *load);

#endif
