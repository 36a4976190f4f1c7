/* Declarations shared by the files that process a request.

   relay.c           arrival, sending, timers, disconnection of the caller
   relay_select.c    selection of the upstream: version, model and load
   relay_response.c  response of the upstream, retries and escalation
   relay_move.c      move of a late stream to another upstream
   relay_end.c       response to the caller, log line, metrics and bill

   A send is one transmission of the request to an upstream.  Each send starts
   with relay_send in relay.c.  After a failed send, relay_send_failed in
   relay_response.c sends the request again, lets an interrupted stream wait
   for an upstream, or ends the request.  */

#ifndef GATEWAY_RELAYINT_H
#define GATEWAY_RELAYINT_H

#include "gateway/gatewayint.h"

#include "base/peertimer.h"
#include "base/eventlog.h"
#include "gateway/sse_filter.h"
#include "gateway/request_attrsint.h"
#include "wire/http_exchange.h"

enum
{
  /* Mean Retry-After when all upstreams are full; the actual value is 50% to
     150% of the mean.  Some slots become free within this time.  */
  RETRY_AFTER_FULL_MS = 400,
  /* Mean Retry-After when no configuration or no instance is known, which
     usually lasts only seconds.  */
  RETRY_AFTER_UNAVAILABLE_MS = 700,
  /* Mean Retry-After when the service's only version is withdrawn: the
     operators have to order another one.  */
  RETRY_AFTER_WITHDRAWN_MS = 10000,
  /* Span over which callers return after a pause of all instances.  */
  PAUSE_SPREAD_MS = 800
};

typedef enum
{
  PHASE_AWAITING_CONFIG,   /* Waits for the first read of the store by this
                              process.  */
  PHASE_AWAITING_UPSTREAM, /* Interrupted stream waits for an upstream with a
                              free slot.  */
  PHASE_AWAITING_PROBE,    /* The send failed, and it is not known yet if the
                              upstream crashed.  */
  PHASE_AWAITING_SUSPECT,  /* Waits until another request with the same
                              suspected prompt part has begun to be
                              answered.  */
  PHASE_AWAITING_RESPONSE, /* Request sent; no response head received yet.  */
  PHASE_RECEIVING_RESPONSE /* Response head received.  */
} relay_phase_t;

typedef struct
{
  list_t link;
  gateway_state_t *state;
  httpd_req_t *req;
  request_attrs_t attrs;
  char *attempt_id;
  size_t model_index;        /* Index into the models of the route.  */
  uint32_t first_confidence; /* Confidence, 0 to 100, of the smallest model of
                                the route in its response; valid if MODEL_INDEX
                                > 0.  */
  /* Timer of the next timeout, probe or deadline, or of the next check in the
     phases PHASE_AWAITING_CONFIG and PHASE_AWAITING_UPSTREAM.  */
  peer_timer_t timer;

  /* State of the current send.  */
  http_exchange_t *call;
  upstream_t *upstream;
  relay_phase_t phase;
  uint64_t sent_ms; /* Monotonic time of the send, in ms.  Set to the current
                       time when a timeout is postponed because no retry is
                       possible.  */
  uint64_t dispatched_ms; /* Monotonic time of the send, in ms; not changed
                             when a timeout is postponed.  */
  uint64_t head_received_ms;
  uint64_t last_progress_ms; /* Monotonic time, in ms, of the response head or
                                the last event received from the upstream, or
                                of the end of a pause in reading.  Equal to
                                SENT_MS before the head and when a timeout is
                                postponed.  Other bytes are no progress.  */
  uint64_t progress_bytes;   /* Bytes received from the upstream up to that
                                time.  */
  uint64_t first_event_ms;   /* Monotonic time of the first event of this send,
                                in ms; 0 before.  */
  bool has_survived;  /* The answer went on long enough to show that the prompt
                         does not crash its instance.  */
  stream_pace_t pace; /* Events of this send; restarted when reading from the
                         upstream was paused.  */
  uint64_t move_checked_ms;  /* Monotonic time of the last check whether the
                                stream moves, in ms.  */
  uint64_t send_event_count; /* Events received by this send.  */
  uint32_t upstream_request_count; /* Requests running or waiting at the
                                      upstream, as reported in its response;
                                      before the response, requests that this
                                      process knows to be running there.  */
  bool is_upstream_loaded; /* At least half of the upstream's slots were in
                              use at the time of its response.  */
  uint32_t unread_prompt_tokens; /* Prompt tokens that the upstream has not
                                    processed yet.  */
  bool has_head;                 /* A response head was received.  */
  bool is_success;               /* The response status is 2xx.  */
  bool is_connection_lost; /* The connection was closed before the end of the
                           response, or the upstream is unreachable.  */
  bool has_connect_failed; /* No connection was established.  */
  bool has_bad_answer;     /* The answer was counted as bad in a roll-out.  */

  /* State of all sends.  */
  const upstream_t *tried[POOL_TRIED_MAX];
  size_t tried_count;
  size_t send_count;
  size_t possible_run_count;   /* Sends that an upstream may have run.  */
  poison_class_t poison_class; /* At the time of the last send.  */
  bool has_moved;              /* The stream was moved to another upstream.  */
  bool is_moving;              /* The current send ends for the move.  */
  upstream_t *move_target; /* Upstream of the next send, a move; else NULL.  */
  bool is_test_run; /* It is refused, and the last send was a test run.  */
  uint64_t probe_wait_end_ms;   /* Monotonic time, in ms, at which the request
                                   waits no longer in PHASE_AWAITING_PROBE.  */
  uint64_t suspect_wait_end_ms; /* The same in PHASE_AWAITING_SUSPECT; 0 before
                                   the first wait.  */
  bool has_response_started; /* The response head was sent to the caller.  */
  sse_filter_t sse;
  uint64_t event_count; /* Events sent to the caller.  */

  /* Response of the current send.  The body is stored only if the response is
     not streamed.  */
  int response_status;
  size_t response_memory; /* Part of gateway_state_t.response_memory.  */
  size_t counted_memory;  /* Part of memory_budget_t.used, without what the
                             server of callers counts.  */
  buf_t response_headers; /* Headers, each as NAME NUL VALUE NUL.  */
  buf_t response_body;

  /* Flow control of the response, and results of earlier sends.  */
  bool is_paused;   /* Reading from the upstream is paused, because the caller
                       reads slowly.  */
  bool was_refused; /* The last upstream reported that it did not run the
                       request.  */
  trial_send_history_t trial_sends; /* Sends of the request during a roll-out,
                                       by version.  */
  uint64_t retry_after_min_ms;      /* Shortest Retry-After of a refusal.  */
  const char *failure_reason; /* Reason of the last failed send, for the log;
                                 NULL if no send failed.  */
} relay_t;

enum
{
  PART_DIGITS = 8,
  /* Digits and a comma or NUL for each part.  */
  PARTS_TEXT_SIZE = REQUEST_PARTS_MAX * (PART_DIGITS + 1) + 1
};

/* Return a log field with the digests of the shared parts of the prompt, whose
   text is in TEXT.  */
log_field_t relay_parts_field (const relay_t *relay,
                               char text[PARTS_TEXT_SIZE]);

/* End of a request.  */

/* Remove and free RELAY, whose response is complete or aborted.  */
void relay_destroy (relay_t *relay);
/* End the current send, if any, and report its OUTCOME to the pool and the
   roll-out.  */
void relay_finish_send (relay_t *relay, send_outcome_t outcome);
/* Add CHANGE, 1 or -1, for the current send to the counts by which the pool
   keeps suspects apart from other requests.  */
void relay_count_in_flight (const relay_t *relay, int change);
/* Return whether the answer of the current send has begun long enough ago that
   the instance does not crash under its prompt.  */
bool relay_has_begun (const relay_t *relay);
/* Record the end of the request: bill, metrics by route, team and outcome,
   and one log line.  */
void relay_record_end (const relay_t *relay, log_event_t event, int status,
                       const char *reason, uint64_t retry_ms);
/* Send an error response of the gateway and destroy RELAY.  If the response
   has already started, it is aborted instead.  RETRY_MS is the mean
   Retry-After; if it is 0, the header is not sent.  */
void relay_reply_error (relay_t *relay, int status, vh_code_t code,
                        const char *reason, uint64_t retry_ms);
/* Fail the request and destroy RELAY.  The status is 502 or 504 if an upstream
   may have run the request, else 503 with a mean Retry-After of RETRY_MS.  If
   RETRY_MS is 0, the mean is RETRY_AFTER_FULL_MS.  */
void relay_fail (relay_t *relay, vh_code_t code, const char *reason,
                 uint64_t retry_ms);
/* Return the name of the current model, or FALLBACK if the route lists no
   models.  */
str_t relay_model_name (const relay_t *relay, str_t fallback);

/* Roll-outs.  */

/* Return the roll-out of the request's service in any phase, or NULL.  */
trial_t *relay_trial (const relay_t *relay);
/* Return whether a version of the request's service is under trial.  */
bool relay_is_under_trial (const relay_t *relay);
/* Return TRIAL_ARM_NEW if the upstream of the current send runs the version
   that is being rolled out, else TRIAL_ARM_OLD.  */
trial_arm_t relay_trial_arm (const relay_t *relay);
/* Record in the running roll-out of the service that TIMING of the current
   send took DURATION_MS.  */
void relay_record_timing (relay_t *relay, trial_timing_t timing,
                          double duration_ms);
/* Count the request in the running roll-out of the service.  */
void relay_count_trial_request (const relay_t *relay);

/* Selection of the upstream.  */

/* Fill CRITERIA for the upstream of the next send.  */
void relay_selection_criteria (const relay_t *relay,
                               pool_criteria_t *criteria);
/* Return whether an upstream other than the current one can take the request.
   Also return true if no other upstream exists, because a new connection to
   the current one may succeed.  */
bool relay_has_alternative (const relay_t *relay);
/* Return the time in ms until an instance may get the request, if each of them
   is in a pause that it asked for; otherwise 0.  */
uint64_t relay_pause_left_ms (const relay_t *relay);
/* Return the index in the service's list of the model at INDEX in the route's
   list, or SERVICE_MODELS_MAX if the service does not list the model.  */
size_t relay_service_model_index (const relay_t *relay, size_t index);
/* Return the index in the route's list of the larger model to which the
   request is escalated, or the index of the current model if its response is
   kept.  CONFIDENCE, 0 to 100, is that of the current model in its
   response.  */
size_t relay_choose_larger_model (relay_t *relay, uint64_t confidence);

/* Moves of late streams.  */

/* Return the time at which the stream is to be checked, in ms; UINT64_MAX if
   it may not move.  */
uint64_t relay_move_check_due_ms (const relay_t *relay);
/* Move the stream if it is due to be checked and will be late.  Return whether
   the current send was ended; RELAY may be destroyed then.  */
bool relay_check_move (relay_t *relay, uint64_t now_ms);
/* Record COUNT events that arrived at NOW_MS.  */
void relay_record_pace (relay_t *relay, size_t count, uint64_t now_ms);
/* Record the length of the response, which is complete.  */
void relay_record_length (const relay_t *relay);

/* Sending and receiving.  */

/* Send the request to the best upstream, or fail the request.  */
void relay_send (relay_t *relay);
/* Callbacks for the HTTP call of a send; their argument is the relay_t.  */
extern const http_exchange_events_t relay_call_events;
/* Handle the failure of the current send.  MAY_HAVE_RUN is false only if the
   upstream reported that it did not run the request.  Retries the request if
   allowed, else fails it.  */
void relay_send_failed (relay_t *relay, const char *reason, bool may_have_run);
/* Count the memory that the response takes now.  */
void relay_count_memory (relay_t *relay);
/* Record that the upstream sent the response head or an event now.  */
void relay_note_progress (relay_t *relay);
/* Handle that the upstream has made no progress for too long.  */
void relay_send_stalled (relay_t *relay);
/* Handle the failure of the current send for REASON before a byte of the
   request was sent.  The next send does not count against the retry budget. */
void relay_connect_failed (relay_t *relay, const char *reason);
/* Continue in PHASE_AWAITING_PROBE: send the request again if the result is
   known, else wait on.  */
void relay_continue_after_probe (relay_t *relay);
/* Resume an interrupted stream at another upstream, as soon as an upstream has
   a free slot and the retry budget allows another send.

   The stream waits, because the caller has received part of the response,
   which an abort would waste.  If streams did not wait, a gateway process that
   wrongly considers a healthy upstream unreachable would abort all streams
   from that upstream whenever the other upstreams are full.  */
void relay_resume_stream (relay_t *relay);
/* Let an interrupted stream wait before the next try to resume it.  */
void relay_wait_for_upstream (relay_t *relay);
/* Return whether the request may be sent once more although an upstream may
   have run it.  */
bool relay_may_retry (const relay_t *relay);
/* Return the retry budget of the service in this process.  */
send_budget_t *relay_retry_budget (const relay_t *relay);
/* Take one retry from the retry budget of the service.  Return false if none
   is left.  */
bool relay_take_retry (relay_t *relay);
/* Exclude the current upstream from further sends, and discard what is stored
   of the response of the current send, which has ended with OUTCOME.  */
void relay_leave_upstream (relay_t *relay, send_outcome_t outcome);
/* Return whether the retry budget of the service in this process allows
   another send, and count the refusal if it does not.  */
bool relay_check_retry_budget (const relay_t *relay);
/* Return the retry budget of the service left in this process, rounded
   down.  */
uint64_t relay_retries_left (const relay_t *relay);

#endif
