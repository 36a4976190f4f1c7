/* A gateway with scripted surroundings on one loop: rows in memory in place of
   the platform's store, upstreams that answer by script, callers that speak
   raw HTTP.  */

#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "gateway/gateway.h"

#include <uv.h>

enum
{
  BIG_EVENT_BYTES = 900000
};

/* Rows in memory.  */
typedef struct fake_rows fake_rows_t;

fake_rows_t *fake_rows_create (uv_loop_t *loop);
rows_t *fake_rows_iface (fake_rows_t *fake);
/* Write a row as an operator or another process would.  */
void fake_rows_put (fake_rows_t *fake, rows_table_t table, const char *key,
                    const char *value);
void fake_rows_remove (fake_rows_t *fake, rows_table_t table, const char *key);
/* The value under KEY, or NULL.  */
const char *fake_rows_get (const fake_rows_t *fake, rows_table_t table,
                           const char *key);
/* From now on all calls fail, or are answered again.  */
void fake_rows_down (fake_rows_t *fake, bool down);
/* Reads and watches are answered as of version VERSION (0: of now).  */
void fake_rows_stale (fake_rows_t *fake, uint64_t version);
uint64_t fake_rows_version (const fake_rows_t *fake);
/* The history up to now is gone: watches end with VH_E_NOT_FOUND.  */
void fake_rows_forget (fake_rows_t *fake);
/* The store's clock moves on by MS.  */
void fake_rows_advance (fake_rows_t *fake, uint64_t ms);
size_t fake_rows_calls (const fake_rows_t *fake);

/* What a scripted upstream does with a request.  */
typedef enum
{
  ACT_ANSWER,       /* 200 with a body of its own.  */
  ACT_ERROR,        /* 500 with its mac.  */
  ACT_SHED,         /* 503, not run.  */
  ACT_SILENT,       /* Nothing.  */
  ACT_RESET,        /* Closes without a word.  */
  ACT_SHORT,        /* Half of the body that it announced.  */
  ACT_FOREIGN,      /* An answer to another attempt.  */
  ACT_NO_MAC,       /* 200 without a mac.  */
  ACT_STREAM,       /* Events, to the end.  */
  ACT_STREAM_BREAK, /* Events, broken in the middle of one.  */
  ACT_STREAM_DOUBT, /* Events of a model that doubts itself.  */
  ACT_STREAM_STALL, /* Two events, then nothing.  */
  ACT_STREAM_BIG    /* One event of BIG_EVENT_BYTES.  */
} act_t;

typedef struct fake_upstream fake_upstream_t;

fake_upstream_t *fake_upstream_create (uv_loop_t *loop, const char *id);
void fake_upstream_destroy (fake_upstream_t *upstream);
/* What comes next; the last one given holds on.  */
void fake_upstream_script (fake_upstream_t *upstream, const act_t *acts,
                           size_t count);
/* Requests that came, and the head of the last one.  */
size_t fake_upstream_requests (const fake_upstream_t *upstream);
const char *fake_upstream_last (const fake_upstream_t *upstream);
/* Connections whose other side closed before the answer was over.  */
size_t fake_upstream_abandoned (const fake_upstream_t *upstream);

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

typedef struct
{
  uv_loop_t loop;
  fake_rows_t *rows;
  gateway_t *gateway;
  fake_upstream_t *upstreams[4];
  size_t upstream_count;
  bool expired;
  uv_timer_t deadline;
} gateway_fixture_t;

/* A gateway before UPSTREAMS instances of the service `app' and of the engine
   `llm', each scripted to answer as it should, ready for requests.  */
void gateway_fixture_setup (gateway_fixture_t *f, size_t upstreams);
void gateway_fixture_teardown (gateway_fixture_t *f);
/* Turn the loop until COND holds; fail the test after some seconds.  */
#define gateway_fixture_wait(f, cond)                                         \
  do                                                                          \
    {                                                                         \
      gateway_fixture_limit (f);                                              \
      while (!(cond) && !(f)->expired)                                        \
        uv_run (&(f)->loop, UV_RUN_ONCE);                                     \
      ck_assert_msg (!(f)->expired, "waited in vain for " #cond);             \
    }                                                                         \
  while (0)
void gateway_fixture_limit (gateway_fixture_t *f);

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
