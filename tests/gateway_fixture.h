/* Test fixture that runs a gateway with fakes on one event loop: an in-memory
   store, upstreams with scripted responses and callers that send raw HTTP.  */

#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "caller.h"
#include "fake_rows.h"
#include "fake_upstream.h"
#include "gateway/gateway.h"
#include "loop_wait.h"

#include <uv.h>

enum
{
  /* gateway_options_t.config_max_age_ms.  */
  GATEWAY_FIXTURE_MAX_AGE_MS = 3500,
  /* Time to parse a configuration of LOADER_ASYNC_BYTES_MIN bytes or more.
     Longer than a configuration that is not the newest is trusted.  */
  GATEWAY_FIXTURE_PARSE_MS = GATEWAY_FIXTURE_MAX_AGE_MS + 1000
};

/* Real time in ms to parse such a configuration; GATEWAY_FIXTURE_PARSE_MS at
   first.  */
extern unsigned gateway_fixture_parse_ms;

typedef struct
{
  uv_loop_t loop;
  fake_rows_t *rows;
  /* Interface through which gateways that are started use the store; NULL:
     that of ROWS.  */
  rows_t *store_client;
  gateway_t *gateway; /* Gateway to which callers connect.  */
  /* Options of the gateways that are started.  */
  move_streams_t move_streams;
  uint64_t drain_timeout_ms; /* 0: 5000.  */
  fake_upstream_t *upstreams[4];
  size_t lifetimes[4]; /* Restarts of each upstream.  */
  size_t upstream_count;
  loop_wait_t wait;
} gateway_fixture_t;

/* Start a gateway with COUNT instances of the service `app' and of the engine
   `llm', all of which respond normally, and wait until the gateway is
   ready.  */
void gateway_fixture_setup (gateway_fixture_t *f, size_t count);
/* Start a gateway with the same upstreams while the store is unavailable,
   until fake_rows_set_down (f->rows, false).  */
void gateway_fixture_setup_without_store (gateway_fixture_t *f, size_t count);
/* Start the upstreams and register them, without a gateway.  */
void gateway_fixture_setup_upstreams (gateway_fixture_t *f, size_t count);
void gateway_fixture_teardown (gateway_fixture_t *f);
/* Start a further gateway, which uses the same store and upstreams.  The
   caller destroys it before gateway_fixture_teardown.  */
gateway_t *gateway_fixture_start_gateway (gateway_fixture_t *f,
                                          const char *name, uint64_t seed);
/* Run the loop until COND holds.  Fail the test after ten seconds.  */
#define gateway_fixture_wait(f, cond) LOOP_WAIT (&(f)->wait, cond)

/* Register upstream INDEX as an instance of both services.  STATE is `ready'
   or `draining'.  */
void gateway_fixture_register (gateway_fixture_t *f, size_t index,
                               const char *version, const char *state);
/* Restart upstream INDEX after a crash, and register it under new ids.  */
void gateway_fixture_restart_upstream (gateway_fixture_t *f, size_t index);
/* Send a request and wait until its connection is closed.  HEADERS are lines
   that end in CRLF.  */
void gateway_fixture_request (gateway_fixture_t *f, caller_t *caller,
                              const char *method, const char *path,
                              const char *headers, const char *body);
/* Send a request without waiting for the response.  */
void caller_start (gateway_fixture_t *f, caller_t *caller, const char *method,
                   const char *path, const char *headers, const char *body);
/* Send a GET request whose caller does not read the response.  */
void caller_start_without_reading (gateway_fixture_t *f, caller_t *caller,
                                   const char *path, const char *headers);
/* Close the caller's connection, wait for it and free the strings.  */
void caller_free (gateway_fixture_t *f, caller_t *caller);
/* Return the value of the metric NAME, which has no labels, of the gateway; -1
   if it has none of this name.  */
double gateway_fixture_metric (gateway_fixture_t *f, const char *name);
/* Return the status of the readiness check.  */
int gateway_fixture_ready_status (gateway_fixture_t *f);

#endif
