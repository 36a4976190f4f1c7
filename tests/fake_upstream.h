/* An upstream that answers by script.  */

#ifndef TESTS_FAKE_UPSTREAM_H
#define TESTS_FAKE_UPSTREAM_H

#include "base/str.h"

#include <uv.h>

enum
{
  BIG_EVENT_BYTES = 900000,
  PAUSE_MS = 900
};

/* What a scripted upstream does with a request.  */
typedef enum
{
  ACT_RESPOND,               /* 200 with a body of its own.  */
  ACT_ERROR,                 /* 500 with its mac.  */
  ACT_REFUSE_NOT_RUN,        /* 503, not run.  */
  ACT_NO_RESPONSE,           /* Nothing.  */
  ACT_RESET,                 /* Closes without a word.  */
  ACT_TRUNCATE_BODY,         /* Half of the body that it announced.  */
  ACT_OTHER_ATTEMPT_ID,      /* An answer to another attempt.  */
  ACT_NO_MAC,                /* 200 without a mac.  */
  ACT_STREAM,                /* Events, to the end.  */
  ACT_STREAM_CUT_IN_EVENT,   /* Events, broken in the middle of one.  */
  ACT_STREAM_LOW_CONFIDENCE, /* Events of a model that doubts itself.  */
  ACT_STREAM_STALL,          /* Two events, then nothing.  */
  ACT_STREAM_PAUSE,    /* Two events, a pause of PAUSE_MS, the others.  */
  ACT_STREAM_BIG_EVENT /* One event of BIG_EVENT_BYTES.  */
} fake_action_t;

typedef struct fake_upstream fake_upstream_t;

fake_upstream_t *fake_upstream_create (uv_loop_t *loop, const char *id);
void fake_upstream_destroy (fake_upstream_t *upstream);
/* What comes next; the last one given holds on.  */
void fake_upstream_script (fake_upstream_t *upstream,
                           const fake_action_t *acts, size_t count);
/* Requests that came, and the head of the last one.  */
size_t fake_upstream_request_count (const fake_upstream_t *upstream);
const char *fake_upstream_last_request (const fake_upstream_t *upstream);
/* Connections with a request whose other side closed before the answer was
   over.  */
size_t fake_upstream_abort_count (const fake_upstream_t *upstream);

/* Take no more connections, and say nothing on those there are: what its
   callers see of an instance that lost its power, but that a connection is
   refused rather than not answered.  */
void fake_upstream_go_silent (fake_upstream_t *upstream);

uint16_t fake_upstream_port (const fake_upstream_t *upstream);

#endif
