/* Attempts of one sidecar and their answers.

   An attempt is one try of a request at this upstream.  The bytes of its
   answer are kept until the answer expires or the store is full.  So a FETCH
   that is repeated, delayed or sent by another connection gets the same bytes
   for the same offset, and a request id that is sent again gets the recorded
   outcome instead of a second execution.  */

#ifndef SIDECAR_ATTEMPT_H
#define SIDECAR_ATTEMPT_H

#include "base/clock.h"
#include "base/map.h"
#include "base/mem.h"
#include "policy/queue.h"
#include "wire/httpc.h"
#include "wire/rpc.h"

#include <xxhash.h>

typedef enum
{
  ATTEMPT_FENCED, /* Fenced before it was submitted; can never start.  */
  ATTEMPT_QUEUED,
  ATTEMPT_RUNNING,
  ATTEMPT_DONE
} attempt_state_t;

/* A FETCH or SUBMIT whose reply waits for bytes of the answer from OFFSET
   on.  */
typedef struct
{
  list_t link;
  rpc_request_t *request;
  uint64_t offset;
  uint32_t max_bytes;
  uint64_t timeout_at_ms;
} pending_fetch_t;

typedef struct
{
  char *name;
  char *value;
} attempt_header_t;

typedef struct attempt
{
  queue_waiter_t waiter;
  list_t link; /* In the list of active attempts or in one of ended ones.  */
  attempt_state_t state;
  char *id;
  char *request_id;
  char *team;
  char *target;
  char *request_key; /* Combined from team and request id.  */
  char *entry_id;    /* NAME/EPOCH of the entry that fetched last.  */
  uint64_t request_digest;
  uint64_t crash_id; /* Crash that ended the attempt; 0 if none did.  */
  bool idempotent;
  bool short_retention; /* No client can send its request id again.  */
  bool is_suspect;      /* Was in flight before when an upstream crashed.  */
  bool started;
  bool stream;
  bool end_delivered; /* A reply with the end of the answer was sent.  */
  bool has_bill;      /* Its bill was added to the bill backup.  */
  uint32_t cost;
  uint64_t deadline_ms; /* Monotonic; 0 if there is none.  */
  uint64_t started_us;
  uint64_t first_byte_at_us;
  uint64_t pace_sampled_at_us;   /* End of the last pace sample.  */
  uint32_t event_count;          /* Stream events received so far.  */
  uint32_t events_sampled;       /* Those covered by pace samples.  */
  uint64_t paused_at_us;         /* Start of the current pause.  */
  uint64_t paused_us;            /* Total length of the ended pauses.  */
  uint32_t crash_count_at_start; /* Upstream's crash count at the start.  */
  uint32_t retry_after_ms;
  uint64_t last_fetch_ms;
  uint64_t ended_ms;
  uint64_t ended_real_ms;
  /* The request; the body is freed when the attempt ends.  */
  char *method;
  char *path;
  buf_t body;
  attempt_header_t *request_headers;
  size_t request_header_count;
  wire_priority_t priority;
  /* The answer.  */
  httpc_call_t *call;
  void *call_arg; /* Owned; freed when CALL ends.  */
  bool paused;
  vh_code_t code;
  int status;
  attempt_header_t *headers;
  size_t header_count;
  buf_t answer;
  XXH3_state_t *digest;
  uint32_t tokens_in;
  uint32_t tokens_out;
  uint32_t tokens_cached; /* Part of TOKENS_IN found in the engine's cache.  */
  uint64_t fetched_bytes; /* Highest offset up to which bytes were sent.  */
  list_t pending_fetches;
  uint32_t id_count; /* Attempt ids that refer to it.  */
} attempt_t;

typedef struct attempts attempts_t;

/* Create a store that keeps ended answers for KEEP_MS and at most BYTES of
   them in total.  */
attempts_t *attempts_create (clock_iface_t *clock, uint64_t keep_ms,
                             uint64_t bytes);
void attempts_destroy (attempts_t *attempts);

/* Return the attempt with id or alias ID, or NULL.  */
attempt_t *attempts_find (attempts_t *attempts, str_t id);
/* Return the newest attempt of TEAM's REQUEST_ID, or NULL.  */
attempt_t *attempts_find_request (attempts_t *attempts, str_t team,
                                  str_t request_id);
/* Add a queued attempt with the request in ARGS, whose attempt id must be
   new.  */
attempt_t *attempts_add (attempts_t *attempts, const wire_submit_args_t *args);
/* Make ID another id of ATTEMPT.  */
void attempts_add_alias (attempts_t *attempts, str_t id, attempt_t *attempt);
/* Record that an attempt ID, which is unknown so far, must never start.  */
attempt_t *attempts_add_fenced (attempts_t *attempts, str_t id);
/* Move ATTEMPT to the ended attempts, from which it may expire.  */
void attempts_end (attempts_t *attempts, attempt_t *attempt);
/* Remove ended attempts that are too old or exceed the store's bound.  */
void attempts_expire (attempts_t *attempts);
/* Return the list of active attempts: queued and running.  */
list_t *attempts_active (attempts_t *attempts);
/* Return the number of attempts that ended with VH_OK a short time ago and
   whose end no entry has fetched.  */
size_t attempts_count_undelivered (const attempts_t *attempts);
size_t attempts_count (const attempts_t *attempts);
uint64_t attempts_bytes (const attempts_t *attempts);

/* Append BYTES to the answer.  */
void attempt_append (attempt_t *attempt, str_t bytes);
/* Fill ANSWER with at most MAX_BYTES of the answer from OFFSET on.  ANSWER
   borrows from ATTEMPT and stores its header list in HEADERS, which must have
   room for WIRE_HEADERS_MAX.  */
void attempt_fill_answer (const attempt_t *attempt, uint64_t offset,
                          uint32_t max_bytes, wire_header_t *headers,
                          wire_answer_t *answer);

#endif
