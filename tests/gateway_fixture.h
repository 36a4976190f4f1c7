/* A gateway with scripted surroundings on one loop: rows in memory in place of
   the platform's store, upstreams that answer by script, callers that speak
   raw HTTP.  */

#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "fake_rows.h"
#include "fake_upstream.h"
#include "gateway/gateway.h"
#include "loop_wait.h"

#include <uv.h>

/* One caller's request.  */
typedef struct
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  buf_t request;
  buf_t answer; /* NUL-terminated past its length.  */
  bool closed;
  bool deaf;  /* Reads nothing of the answer.  */
  bool reset; /* The connection ended with an error.  */
} caller_t;

enum
{
  /* What it takes to read a configuration of LOADER_ASYNC_BYTES_MIN bytes:
     longer than half of the age at which keys are no longer trusted.  */
  GATEWAY_FIXTURE_READ_MS = 2600
};

typedef struct
{
  uv_loop_t loop;
  fake_rows_t *rows;
  gateway_t *gateway;
  fake_upstream_t *upstreams[4];
  size_t upstream_count;
  loop_wait_t wait;
} gateway_fixture_t;

/* A gateway before UPSTREAMS instances of the service `app' and of the engine
   `llm', each scripted to answer as it should, ready for requests.  */
void gateway_fixture_setup (gateway_fixture_t *f, size_t upstreams);
/* The same, not yet ready, with a store that answers only when it is told so
   by fake_rows_set_down.  */
void gateway_fixture_setup_early (gateway_fixture_t *f, size_t upstreams);
void gateway_fixture_teardown (gateway_fixture_t *f);
/* Turn the loop until COND holds; fail the test after some seconds.  */
#define gateway_fixture_wait(f, cond) LOOP_WAIT (&(f)->wait, cond)

/* List upstream INDEX under both services; STATE is ready or draining.  */
void gateway_fixture_list (gateway_fixture_t *f, size_t index,
                           const char *version, const char *state);
/* Send METHOD PATH with HEADERS (lines that end in CRLF) and wait for the end
   of the answer.  */
void gateway_fixture_ask (gateway_fixture_t *f, caller_t *caller,
                          const char *method, const char *path,
                          const char *headers, const char *body);
/* Only send.  */
void caller_start (gateway_fixture_t *f, caller_t *caller, const char *method,
                   const char *path, const char *headers, const char *body);
/* The same, by a caller that reads nothing of the answer.  */
void caller_start_deaf (gateway_fixture_t *f, caller_t *caller,
                        const char *path, const char *headers);
/* Reset the caller's connection now.  */
void caller_reset (caller_t *caller);
/* Close the caller's connection now.  */
void caller_leave (caller_t *caller);
void caller_free (gateway_fixture_t *f, caller_t *caller);
/* The status of the answer, 0 when there is none.  */
int caller_status (const caller_t *caller);
bool caller_has (const caller_t *caller, const char *text);
/* The answer of the readiness page.  */
int gateway_fixture_ready (gateway_fixture_t *f);

#endif
