/* Load on the callers' interface, with a check of every answer byte for
   byte.  Runs on the caller's loop; bounded in count and time.  */

#ifndef STANDINS_LOAD_H
#define STANDINS_LOAD_H

#include "base/code.h"
#include "base/str.h"

#include <uv.h>

typedef struct load load_t;

/* What became of one request, after its last resend.  Strings live for the
   callback.  */
typedef struct
{
  uint64_t number;
  bool is_service;
  bool streamed;
  unsigned sends;   /* 1 when it was sent once.  */
  str_t key;        /* Idempotency-Key; may be empty.  */
  str_t request_id; /* Of the last answer.  */
  vh_code_t code;   /* VH_OK: an HTTP answer ended properly.  */
  int status;       /* 0: no head came.  */
  str_t outcome;    /* Vanillahook-Outcome.  */
  str_t version;    /* MODEL@VERSION that answered.  */
  str_t body;       /* Whole body, as it came.  */
  uint32_t tokens;  /* Usage, completion tokens.  */
  bool whole;       /* Status 2xx and its proper end was seen.  */
  bool wrong;       /* Whole, but not the bytes that the upstream gave.  */
  bool retry_after; /* A Retry-After header was there.  */
  uint64_t started_us;
  uint64_t first_us;   /* To the first byte of the body.  */
  uint64_t between_us; /* Longest wait between two pieces.  */
  uint64_t total_us;
} loadgen_result_t;

typedef struct
{
  const str_t *targets; /* HOST:PORT of each entry, loopback.  */
  size_t target_count;
  const str_t *health;  /* Operators' port of each target, whose /readyz the
                           balancer asks; NULL: all count as ready.  */
  size_t concurrency;   /* Closed loop; also the bound of an open one.  */
  double rate;          /* Requests a second; 0: closed loop.  */
  uint64_t requests;    /* 0: until the time is over.  */
  uint64_t duration_ms; /* 0: until the count is reached.  */
  uint64_t seed;
  double stream_share;
  double service_share; /* Sent to the service instead of a model.  */
  str_t api_key;
  str_t model;
  str_t service;    /* Name under /services/.  */
  str_t session;    /* Vanillahook-Session; may be empty.  */
  str_t key_prefix; /* Of Idempotency-Keys; empty: none are sent.  */
  uint32_t max_tokens;
  size_t prompt_bytes;
  uint64_t deadline_ms; /* 0: none is sent.  */
  uint64_t timeout_ms;
  unsigned resends; /* With the same key, after an unclear end.  */
  void (*finished) (void *arg, const loadgen_result_t *result);
  void (*over) (void *arg); /* The last request is finished.  */
  void *arg;
} loadgen_options_t;

/* Start; OPTIONS and its strings must outlive the load.  Return NULL when a
   target is no loopback address.  */
load_t *loadgen_create (uv_loop_t *loop, const loadgen_options_t *options);
/* Start no more requests; OVER is called when those in hand are done.  May
   be called from any thread.  */
void loadgen_stop (load_t *load);
/* Release LOAD after OVER was called.  */
void loadgen_destroy (load_t *load);

#endif
