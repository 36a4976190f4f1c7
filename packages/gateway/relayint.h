/* What the parts of a request's way share.

   relay.c        arrival, sending, time, the caller
   relay_want.c   what a send asks of an upstream: version, model, load
   relay_hear.c   what an upstream answered, and what follows from it
   relay_end.c    what the caller is told, the log, the bill

   A request goes from the first to the last; relay_send and relay_send_failed
   are the way back for another try.  */

#ifndef GATEWAY_RELAYINT_H
#define GATEWAY_RELAYINT_H

#include "gateway/gatewayint.h"

#include "base/bound.h"
#include "base/eventlog.h"
#include "gateway/events.h"
#include "gateway/termsint.h"
#include "wire/call.h"

enum
{
  /* A refusal for want of room says to return after this, give or take half:
     some slots are free again after it.  */
  RETRY_FULL_MS = 400,
  /* No configuration, or no instance: these come back within seconds.  */
  RETRY_UNAVAILABLE_MS = 700
};

typedef enum
{
  PHASE_EARLY,    /* Waits until this process knows what it needs.  */
  PHASE_HELD,     /* A stream that was broken off waits for an upstream.  */
  PHASE_SENT,     /* No head yet.  */
  PHASE_ANSWERING /* The caller gets the answer of the present call.  */
} phase_t;

typedef struct
{
  list_t link;
  gateway_state_t *belief;
  httpd_req_t *req;
  terms_t terms;
  char *attempt_id;
  size_t model;           /* Index into the route's models.  */
  uint32_t first_opinion; /* Of the route's smallest model, once a larger one
                             is asked.  */
  bound_t bound; /* Until the next moment at which something is due.  */
  /* The present send.  */
  call_t *call;
  upstream_t *upstream;
  phase_t phase;
  uint64_t sent_ms;
  uint64_t head_ms; /* Of the answer's head.  */
  uint64_t last_ms; /* Something came.  */
  uint64_t send_events;
  uint32_t load;  /* Of the upstream when it answered.  */
  bool is_loaded; /* It ran requests in half of its slots then.  */
  uint32_t prompt_left;
  bool is_ok;  /* The head said 2xx.  */
  bool broke;  /* Its connection ended early or the upstream is lost.  */
  bool unsent; /* No connection could be made.  */
  /* All sends.  */
  const upstream_t *tried[POOL_TRIED_MAX];
  size_t tried_count;
  size_t sends;
  size_t runs;  /* Sends that may have run.  */
  bool started; /* The caller has the head of an answer.  */
  events_t events;
  uint64_t event_count;
  /* An answer with a length, until it is whole.  */
  int status;
  buf_t head; /* Pairs of NAME NUL VALUE NUL.  */
  buf_t body;
  bool paused;
  bool shed; /* The last upstream said that it did not run it.  */
  trial_send_history_t
      on_trial;       /* Its sends while a version is under trial.  */
  const char *reason; /* Of the last failure, for the log.  */
} relay_t;

/* Endings.  */

/* Let go of RELAY, whose caller was told.  */
void relay_destroy (relay_t *relay);
/* Let go of the present send, of which OUTCOME is known.  */
void relay_end_send (relay_t *relay, send_outcome_t outcome);
/* Count the request under its route, team and outcome, bill it, and write one
   line on how it ended.  */
void relay_tell_end (const relay_t *relay, log_event_t event, int status,
                     const char *reason, uint64_t retry_ms);
/* Answer with an error of our own and end.  RETRY_MS 0: no Retry-After.  */
void relay_reply (relay_t *relay, int status, vh_code_t code,
                  const char *reason, uint64_t retry_ms);
/* Give the request up: what the caller is told depends on whether it may have
   run.  */
void relay_give_up (relay_t *relay, vh_code_t code, const char *reason,
                    uint64_t retry_ms);
/* The model that is chosen here, or NONE where the route leaves no choice.  */
str_t relay_model_or (const relay_t *relay, str_t none);

/* Roll-outs.  */

/* The roll-out of the request's service, or NULL.  */
trial_t *relay_trial (const relay_t *relay);
/* The arm of the present send: new while its version is under trial.  */
trial_arm_t relay_arm (const relay_t *relay);
/* Tell the trial of the service how long the present send took for TIMING.  */
void relay_time_trial (const relay_t *relay, trial_timing_t timing, double ms);

/* What a send asks.  */

/* What the next send of RELAY asks of an upstream.  */
void relay_want (const relay_t *relay, pool_criteria_t *want);
/* Tell whether the request has a place to go to besides its present upstream,
   if it has one: the others are not all full.  Where there are none, a new
   connection to the same one may do better.  */
bool relay_has_place (const relay_t *relay);
/* Index among the service's models of the route's model at INDEX;
   SERVICE_MODELS_MAX when the service does not list it.  */
size_t relay_service_model (const relay_t *relay, size_t index);
/* The route's model that is to answer in place of the present one, which has
   OPINION of its answer; the present one where that is kept.  */
size_t relay_larger (relay_t *relay, uint64_t opinion);

/* Sending and hearing.  */

/* Send the request to the best upstream, or give it up.  */
void relay_send (relay_t *relay);
/* What the call of a send tells, with the relay as its argument.  */
extern const call_events_t relay_call_events;
/* The present send failed for REASON; RAN unless the upstream said that it did
   not run the request.  Send it again where that is allowed.  */
void relay_send_failed (relay_t *relay, const char *reason, bool ran);
/* Send the rest of a stream that was broken off to another upstream, as soon
   as one has room and an extra send is left.  */
void relay_go_on (relay_t *relay);
/* Tell whether the request may run once more.  */
bool relay_may_send_again (const relay_t *relay);
/* Tell whether its service has an extra send left here.  */
bool relay_may_take_extra (const relay_t *relay);

#endif
