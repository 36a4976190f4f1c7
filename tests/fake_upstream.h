/* An HTTP upstream for tests that responds with a scripted list of actions. */

#ifndef TESTS_FAKE_UPSTREAM_H
#define TESTS_FAKE_UPSTREAM_H

#include "base/str.h"
#include "gateway/header_names.h"

#include <stdbool.h>
#include <uv.h>

enum
{
  BIG_EVENT_BYTES = 900000,
  STREAM_PAUSE_MS = 900, /* Pause of ACT_STREAM_PAUSE.  */
  MANY_HEADERS = 90,     /* Fewer than a response may have.  */
  /* Interval at which an endless response goes on, in ms.  */
  ENDLESS_INTERVAL_MS = 10,
  STREAM_LONG_EVENTS = 20,
  STREAM_SLOW_GAP_MS = 200
};

/* Reaction of a fake upstream to one request.  */
typedef enum
{
  ACT_RESPOND,             /* 200 with the upstream's ID in the body.  */
  ACT_MANY_HEADERS,        /* 200 with MANY_HEADERS before the MAC.  */
  ACT_ERROR,               /* 500 with a response MAC.  */
  ACT_REFUSE_NOT_RUN,      /* 503 with the `not run' header field.  */
  ACT_BUSY,                /* 503 without it.  */
  ACT_NO_RESPONSE,         /* No response; the connection stays open.  */
  ACT_RESET,               /* Connection reset without a response.  */
  ACT_TRUNCATE_BODY,       /* 200 with a body shorter than Content-Length.  */
  ACT_OTHER_ATTEMPT_ID,    /* 200 with the attempt ID of another request.  */
  ACT_NO_MAC,              /* 200 without a response MAC.  */
  ACT_STREAM,              /* A complete event stream.  */
  ACT_STREAM_CUT_IN_EVENT, /* A stream closed in the middle of an event.  */
  ACT_STREAM_LOW_CONFIDENCE, /* A complete stream, low confidence.  */
  ACT_STREAM_STALL,          /* Two events; the connection stays open.  */
  ACT_STREAM_PAUSE,          /* A complete stream with one pause.  */
  ACT_STREAM_LATE,           /* A complete stream after such a pause.  */
  ACT_STREAM_BIG_EVENT,      /* A stream of one event of BIG_EVENT_BYTES.  */
  ACT_STREAM_BIG_STALL, /* Four such events; the connection stays open.  */
  ACT_STREAM_LONG,      /* A complete stream of STREAM_LONG_EVENTS.  */
  ACT_STREAM_SLOW,      /* The same, an event each STREAM_SLOW_GAP_MS.  */
  /* Responses without an end, which go on at the rate of
     fake_upstream_set_endless_bytes.  Those from here on are told apart by
     their order.  */
  ACT_ENDLESS_HEADER_LINE,     /* A response head with a line without end.  */
  ACT_ENDLESS_HEADER_LINES,    /* A response head without end.  */
  ACT_ENDLESS_INTERIM,         /* Interim responses.  */
  ACT_ENDLESS_BODY,            /* A body without a length.  */
  ACT_ENDLESS_CHUNK_SIZE,      /* The line of the first chunk's size.  */
  ACT_ENDLESS_CHUNK_EXTENSION, /* An extension of the first chunk.  */
  ACT_ENDLESS_TRAILERS,        /* Trailers after a complete stream.  */
  ACT_ENDLESS_EVENT,           /* One event of a stream.  */
  ACT_ENDLESS_EVENT_LATER,     /* The same after two events.  */
  ACT_ENDLESS_EVENTS,          /* Events of BIG_EVENT_BYTES or more.  */
  ACT_ENDLESS_COMMENT,         /* One comment line of a stream.  */
  ACT_ENDLESS_COMMENTS,        /* Comments of a stream, each with an empty line
                                  after it.  */
  ACT_ENDLESS_COMMENTS_LATER,  /* The same after two events.  */
  ACT_STREAM_COMMENTED         /* A complete stream with comments every
                                  ENDLESS_INTERVAL_MS in the pause of
                                  ACT_STREAM_PAUSE.  */
} fake_action_t;

typedef struct fake_upstream fake_upstream_t;

/* Called with each request that arrives at UPSTREAM, before the reaction to
   it.  IS_RUN: the upstream does not refuse it as not run.  */
typedef void (*fake_upstream_arrival_cb_t) (void *arg,
                                            fake_upstream_t *upstream,
                                            str_t attempt_id, bool is_run);

/* Listen on a loopback port of LOOP.  ID is copied; it is part of the response
   bodies and MACs.  */
fake_upstream_t *fake_upstream_create (uv_loop_t *loop, const char *id);
void fake_upstream_destroy (fake_upstream_t *upstream);
/* Set the actions for the next requests.  The last action is repeated.  */
void fake_upstream_script (fake_upstream_t *upstream,
                           const fake_action_t *actions, size_t count);
/* React with ACTION to SHARE of the requests, chosen at random, instead of the
   scripted action.  */
void fake_upstream_set_share (fake_upstream_t *upstream, fake_action_t action,
                              double share);
/* Let endless responses go on by BYTES, or one unit of the repeated text if
   that is more, every ENDLESS_INTERVAL_MS in which the client has read what
   was sent before.  Without this call each part is one unit.  */
void fake_upstream_set_endless_bytes (fake_upstream_t *upstream, size_t bytes);
/* Return the reaction to the last request, valid from the arrival callback
   on.  */
fake_action_t fake_upstream_last_action (const fake_upstream_t *upstream);
/* Set the names of the headers, header_names_default before.  NAMES must
   outlive UPSTREAM.  */
void fake_upstream_set_names (fake_upstream_t *upstream,
                              const header_names_t *names);
/* Call CB with ARG for each request that arrives.  */
void fake_upstream_set_arrival_cb (fake_upstream_t *upstream,
                                   fake_upstream_arrival_cb_t cb, void *arg);
/* Set the value of the rate limit header in the responses; NULL: the responses
   have no such header.  TEXT is copied.  */
void fake_upstream_set_rate_limit (fake_upstream_t *upstream,
                                   const char *text);
/* Add LINES, each of which ends in CRLF, to the headers of the responses;
   NULL: add none.  LINES is copied.  */
void fake_upstream_set_headers (fake_upstream_t *upstream, const char *lines);
/* Return the loop times, in ms, at which the requests arrived, in order. Owned
   by UPSTREAM and valid until the next request.  */
const uint64_t *fake_upstream_arrivals_ms (const fake_upstream_t *upstream);
/* Return the number of complete requests received.  */
size_t fake_upstream_request_count (const fake_upstream_t *upstream);
/* Return the text of the last request, owned by UPSTREAM, or NULL before the
   first one.  */
const char *fake_upstream_last_request (const fake_upstream_t *upstream);
/* Return the number of connections that the client closed after sending a
   request or a part of one and before UPSTREAM finished the response.  */
size_t fake_upstream_abort_count (const fake_upstream_t *upstream);

/* Stop listening and send nothing more on the open connections.  Simulates an
   instance that lost power, except that new connections are refused instead
   of timing out.  */
void fake_upstream_go_silent (fake_upstream_t *upstream);

/* Crash UPSTREAM DELAY_MS after it got a request that contains TEXT: stop
   listening and reset all connections.  TEXT is copied.  */
void fake_upstream_crash_on (fake_upstream_t *upstream, const char *text,
                             uint64_t delay_ms);
/* Crash UPSTREAM now, as after such a request.  */
void fake_upstream_crash (fake_upstream_t *upstream);
/* Return whether UPSTREAM crashed and was not restarted.  */
bool fake_upstream_has_crashed (const fake_upstream_t *upstream);
/* Return whether UPSTREAM runs a request that is about to crash it.  */
bool fake_upstream_is_crashing (const fake_upstream_t *upstream);
/* Listen again on the same port after a crash.  */
void fake_upstream_restart (fake_upstream_t *upstream);
/* Return the loop times, in ms, at which the requests arrived that contain the
   text of fake_upstream_crash_on, and set *COUNT to their number.  Owned by
   UPSTREAM and valid until the next request.  */
const uint64_t *
fake_upstream_crash_arrivals_ms (const fake_upstream_t *upstream,
                                 size_t *count);

uint16_t fake_upstream_port (const fake_upstream_t *upstream);

#endif
