/* Declarations shared by the files that process a request.

   relay.c           arrival, sending, timers, disconnection of the caller
   relay_select.c    selection of the upstream: version, model and load
   relay_response.c  response of the upstream, retries and escalation
   relay_end.c       response to the caller, log line, metrics and bill

   A request passes through the files in this order; relay_send and
   relay_send_failed return to the first for another send.  A send is one
   transmission of the request to an upstream.  */

#ifndef GATEWAY_RELAYINT_H
#define GATEWAY_RELAYINT_H

#include "gateway/gatewayint.h"

#include "base/bound.h"
#include "base/eventlog.h"
#include "gateway/sse_filter.h"
#include "gateway/request_attrsint.h"
#include "wire/http_exchange.h"

enum
{
  /* Mean Retry-After of a refusal because all upstreams are full, with a
     jitter of half of it: some slots become free in this time.  */
  RETRY_AFTER_FULL_MS = 400,
  /* Mean Retry-After without a configuration or an instance: both return
     within seconds.  */
  RETRY_AFTER_UNAVAILABLE_MS = 700
};

typedef enum
{
  PHASE_AWAITING_CONFIG,   /* This process has no configuration yet.  */
  PHASE_AWAITING_UPSTREAM, /* Interrupted stream waits for an upstream with
                              room.  */
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
  uint32_t first_confidence; /* Confidence of the smallest model of the route;
                                valid if MODEL_INDEX > 0.  */
  peer_timer_t timer;        /* Timer of the next timeout, probe, poll or
                           deadline.  */

  /* State of the current send.  */
  http_exchange_t *call;
  upstream_t *upstream;
  relay_phase_t phase;
  uint64_t sent_ms; /* Reset when a timeout is postponed because no
                       retry is possible.  */
  uint64_t head_received_ms;
  uint64_t last_activity_ms; /* Time of the last bytes received from the
                                upstream; at first and when a timeout is
                                postponed, SENT_MS.  */
  uint64_t send_event_count; /* Events received by this send.  */
  uint32_t
      upstream_request_count; /* Requests that ran or waited at the upstream,
                        by its response or else as known to the pool.  */
  bool is_upstream_loaded;    /* Half or more of the upstream's slots were in
                                 use when it answered.  */
  uint32_t unread_prompt_tokens; /* Prompt tokens that the upstream has yet to
                                    read.  */
  bool is_success;               /* The response status is 2xx.  */
  bool connection_lost; /* The connection ended early, or the upstream is
                           unreachable.  */
  bool connect_failed;  /* No connection was established.  */

  /* State of all sends.  */
  const upstream_t *tried[POOL_TRIED_MAX];
  size_t tried_count;
  size_t sends;
  size_t possible_runs;  /* Sends that the upstream may have run.  */
  bool response_started; /* The response head was sent to the caller.  */
  sse_filter_t sse;
  uint64_t event_count; /* Events sent to the caller.  */

  /* Response head, and the body of a response that is not streamed.  */
  int response_status;
  buf_t response_headers; /* Headers, each as NAME NUL VALUE NUL.  */
  buf_t response_body;
  bool is_paused;   /* Reading from the upstream is paused, because the caller
                       reads slowly.  */
  bool was_refused; /* The last upstream reported that it did not run the
                       request.  */
  trial_send_history_t
      trial_sends;            /* Sends of the request during a roll-out.  */
  const char *failure_reason; /* Reason of the last failed send, for the log;
                                 NULL if no send failed.  */
} relay_t;

/* End of a request.  */

/* Remove and free RELAY, whose response is complete or aborted.  */
void relay_destroy (relay_t *relay);
/* End the current send, if any, and report its OUTCOME to the pool and the
   roll-out.  */
void relay_finish_send (relay_t *relay, send_outcome_t outcome);
/* Record the end of the request: bill, metrics by route, team and outcome,
   and one log line.  */
void relay_record_end (const relay_t *relay, log_event_t event, int status,
                       const char *reason, uint64_t retry_ms);
/* Send an error response of the gateway and destroy RELAY.  A response that
   has already started is aborted instead.  RETRY_MS is the mean Retry-After;
   0 sends no such header.  */
void relay_reply_error (relay_t *relay, int status, vh_code_t code,
                        const char *reason, uint64_t retry_ms);
/* Fail the request and destroy RELAY.  The status is 502 or 504 if an upstream
   may have run the request, else 503 with a mean Retry-After of RETRY_MS; 0
   stands for RETRY_AFTER_FULL_MS.  */
void relay_fail (relay_t *relay, vh_code_t code, const char *reason,
                 uint64_t retry_ms);
/* Return the name of the current model, or FALLBACK if the route lists no
   models.  */
str_t relay_model_name (const relay_t *relay, str_t fallback);

/* Roll-outs.  */

/* Return the roll-out of the request's service in any phase, or NULL.  */
trial_t *relay_trial (const relay_t *relay);
/* Return TRIAL_ARM_NEW if the upstream of the current send runs the version
   that is being rolled out, else TRIAL_ARM_OLD.  */
trial_arm_t relay_trial_arm (const relay_t *relay);
/* Record in the running roll-out of the service that TIMING of the current
   send took MS.  */
void relay_record_timing (const relay_t *relay, trial_timing_t timing,
                          double ms);

/* Selection of the upstream.  */

/* Fill CRITERIA for the upstream of the next send.  */
void relay_selection_criteria (const relay_t *relay,
                               pool_criteria_t *criteria);
/* Return whether an upstream other than the current one has room for the
   request.  Also true if no other upstream exists: a new connection to the
   current one may succeed.  */
bool relay_has_alternative (const relay_t *relay);
/* Return the index in the service's list of the model at INDEX in the route's
   list, or SERVICE_MODELS_MAX if the service does not list the model.  */
size_t relay_service_model_index (const relay_t *relay, size_t index);
/* Return the index in the route's list of the larger model that is to answer
   instead of the current one, whose CONFIDENCE in its answer is 0 to 100; the
   index of the current model if its answer is kept.  */
size_t relay_choose_larger_model (relay_t *relay, uint64_t confidence);

/* Sending and receiving.  */

/* Send the request to the best upstream, or fail the request.  */
void relay_send (relay_t *relay);
/* Callbacks for the call of a send; the argument is the relay.  */
extern const http_exchange_events_t relay_call_events;
/* Handle the failure of the current send.  MAY_HAVE_RUN is false only if the
   upstream reported that it did not run the request.  Retries the request if
   allowed, else fails it.  */
void relay_send_failed (relay_t *relay, const char *reason, bool may_have_run);
/* Resume an interrupted stream at another upstream, as soon as one has room
   and the retry budget allows another send.

   The caller has part of the response and loses it if the stream ends here.
   When a gateway process took a healthy upstream for lost, all streams to it
   were aborted because the other upstreams were full at that moment.  */
void relay_resume_stream (relay_t *relay);
/* Return whether the request may be run once more.  */
bool relay_may_retry (const relay_t *relay);
/* Return whether the retry budget of the service in this process allows
   another send.  */
bool relay_has_retry_budget (const relay_t *relay);

#endif
