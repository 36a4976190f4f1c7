/* Internal declarations of the entry: entry.c (life cycle), fleet.c (members
   and their connections), peering.c (configuration, bills and procedures
   called by peers), filter.c (filter chain), choose.c (version selection),
   claim.c (claims of non-idempotent requests), guard.c (poison requests and
   admission), dispatch.c (attempts), answer.c (answers to callers), learn.c
   (ratings and roll-outs), leader.c (duties of the elected entry) and
   objective.c (service-level objectives).  */

#ifndef ENTRY_ENTRYINT_H
#define ENTRY_ENTRYINT_H

#include "base/map.h"
#include "base/mem.h"
#include "control/claims.h"
#include "entry/entry.h"
#include "policy/admission.h"
#include "policy/balance.h"
#include "policy/burn.h"
#include "policy/cascade.h"
#include "policy/outlier.h"
#include "policy/poison.h"
#include "policy/quality.h"
#include "policy/retry.h"
#include "policy/rollout.h"
#include "policy/degradation.h"
#include "wire/httpd.h"

#include <jansson.h>
#include <xxhash.h>

enum
{
  ATTEMPTS_MAX = 5,
  CANDIDATES_MAX = CASCADE_CANDIDATES_MAX,
  IDEMPOTENCY_KEY_MAX = 255,
  ATTEMPT_ID_LEN = 32
};

typedef struct leader leader_t;
typedef struct member member_t;
typedef struct request request_t;

/* One known instance: a sidecar or another entry.  */
struct member
{
  entry_t *entry;
  char *name;
  char *zone;
  char *address;
  bool is_entry;
  bool leaving;              /* Set by the instance list of the platform.  */
  bool draining;             /* Reported by the process itself.  */
  bool config_push_pending;  /* A WIRE_CONFIG_PUSH call is in flight.  */
  bool unreachable;          /* The connection is down, or the member does
                                not respond.  */
  bool keep_connected;       /* The entry keeps a connection to the member.  */
  bool bill_fetch_pending;   /* A WIRE_BILLS_TAKE call is in flight.  */
  upstream_id_t upstream_id; /* Id at the balancer; 0 for an entry.  */
  rpc_peer_t *peer;
  uint64_t epoch; /* Epoch of the process that sent last; 0 before.  */
  uint64_t revision;
  uint32_t confirmation_age_ms; /* As reported by the member.  */
  wire_load_t load;
  unsigned features; /* Bits FEATURE_*.  */
  str_t *serves;     /* Versions and services; owned strings.  */
  size_t serves_count;
  uint64_t last_ping_ms;
  uint64_t last_alive_event_ms; /* Time of the last INSTANCE_EVENT_ALIVE.  */
  size_t ref_count; /* Attempts and calls that point at the member.  */
  bool removed;     /* Freed as soon as REF_COUNT is 0.  */
};

/* Upstreams of one version or service, with the state of their policies.  */
typedef struct
{
  char *name;
  pool_id_t id;
  retry_t *retry;
  admission_t *admission;
  outlier_t *outlier;
  map_t *outlier_members;   /* outlier_member_t by instance name.  */
  uint64_t empty_since_ms;  /* Start of the time without a selectable
                               upstream; 0 if one was selected last.  */
  uint64_t latency_mean_us; /* Moving average over complete answers.  */
  uint64_t latency_dev_us;  /* Moving average of the absolute deviation.  */
} pool_t;

/* This entry's replica of the state of one roll-out.  */
typedef struct
{
  list_t link;
  char *version;
  uint64_t start_ms;
  rollout_run_t *run;
} learn_rollout_t;

typedef enum
{
  REQUEST_KIND_CHAT,
  REQUEST_KIND_SERVICE
} request_kind_t;

typedef enum
{
  FILTER_CONTINUE, /* The next filter runs.  */
  FILTER_PENDING,  /* A callback continues or ends the request.  */
  FILTER_DONE      /* The request is answered and may be freed.  */
} filter_result_t;

/* One attempt to run a request on a sidecar.  */
typedef struct
{
  char id[ATTEMPT_ID_LEN + 8];
  member_t *member; /* Holds a reference; NULL if there is no attempt.  */
  upstream_id_t upstream_id;
  uint64_t epoch;   /* Epoch of the sidecar at the first send; 0: unknown.  */
  rpc_call_t *call; /* SUBMIT, FETCH or FENCE call in flight, or NULL.  */
  uint64_t started_us;
  uint64_t first_byte_us; /* 0 before the first byte.  */
  uint64_t last_byte_us;
  uint64_t offset;        /* Number of answer bytes received.  */
  uint64_t last_fetch_ms; /* Time of the last WIRE_FETCH call.  */
  int http_status;        /* 0 before the answer starts.  */
  bool in_flight;         /* Sent, and not known to have ended.  */
  bool accepted;          /* The sidecar confirmed that it has the attempt.  */
  bool joined; /* Started by an earlier submission of the request.  */
  bool admission_counted; /* Admission control counted the acceptance.  */
  XXH3_state_t *digest_state;
  httpc_header_t *headers; /* Headers of the answer; owned strings.  */
  size_t header_count;
  buf_t body; /* Answer bytes that are not yet forwarded to the caller.  */
} entry_attempt_t;

struct request
{
  list_t link;
  entry_t *entry;
  httpd_req_t *http; /* NULL after the caller disconnected.  */
  size_t next_filter;
  snapshot_t *snapshot;
  request_kind_t kind;
  char *method;
  char *path; /* Path and query sent to the upstream.  */
  uint64_t received_us;
  uint64_t deadline_ms; /* Monotonic time.  */
  bool deadline_given;  /* The caller sent the deadline in a header.  */
  const team_t *team;
  char *request_id; /* Idempotency key of the caller, or a generated id.  */
  bool key_given;   /* The caller sent an idempotency key.  */
  bool idempotent;
  bool stream;  /* The caller asked for server-sent events.  */
  bool explain; /* The answer gets a vanillahook-explain header.  */
  wire_priority_t priority;
  uint64_t digest;   /* Hash of method, path and body.  */
  uint64_t affinity; /* Requests with equal keys prefer the same upstreams.  */
  uint32_t estimated_tokens;
  json_t *body_json;
  buf_t raw_body;
  size_t memory; /* Part of memory_budget_t.used, for copies of the body.  */
  char *target_name; /* Model, version, task class or service, as sent.  */
  const service_t *service; /* NULL for a chat request.  */
  /* Session.  */
  char *session_token; /* As sent by the caller, or NULL.  */
  const version_t *session_version;
  char *session_instance;
  /* The version of the session is unknown, not requested, not allowed for the
     team, or its roll-out is stopped.  */
  bool session_version_unusable;
  /* Version selection.  */
  const version_t *candidates[CANDIDATES_MAX];
  size_t candidate_count;
  cascade_plan_t plan;
  const version_t *first_version;
  const version_t *second_version; /* Version to escalate to, or NULL.  */
  const version_t *version;        /* Current version; NULL for a service.  */
  bool escalated;
  double first_rating;
  learn_rollout_t *rollout; /* Roll-out that VERSION belongs to, or NULL.  */
  rollout_arm_t arm;
  bool rating_sampled; /* The answer is sent to the rating service.  */
  buf_t transcript;    /* Answer bytes kept for the rating.  */
  pool_t *pool;
  uint32_t cost_micro; /* Price of finished attempts, in millionths.  */
  uint64_t billed_ms;  /* Timestamp of the bill, real time.  */
  uint32_t tokens_in;
  uint32_t tokens_out;
  /* Attempts.  */
  entry_attempt_t attempt; /* Current attempt; its MEMBER is NULL if there is
                              none.  */
  unsigned attempt_count;
  upstream_id_t tried_upstreams[ATTEMPTS_MAX];
  size_t tried_count;
  uint64_t retry_at_ms;    /* Time of the scheduled retry; 0: none.  */
  uint64_t retry_after_ms; /* For the Retry-After header; 0: unknown.  */
  vh_code_t last_error;
  bool may_have_run;    /* An earlier attempt may have run.  */
  bool answer_started;  /* Bytes of the answer were sent to the caller.  */
  buf_t partial_event;  /* Incomplete last event of a stream.  */
  uint32_t event_count; /* Complete events sent to the caller.  */
  bool is_suspect;      /* In flight during a crash, not yet refused.  */
  bool fence_pending;
  bool claim_pending;    /* The callback of claims_acquire is outstanding.  */
  bool holds_claim;      /* The claim is held and its outcome not recorded.  */
  vh_code_t claim_error; /* Error for the caller if no sidecar has an
                            attempt of the request.  */
  list_t recalls;        /* WIRE_RECALL calls in flight.  */
  bool recall_incomplete; /* A sidecar did not answer a WIRE_RECALL call.  */
  bool rating_pending;    /* The callback of a rating is outstanding.  */
  bool ended;             /* Freed when no callback is outstanding.  */
};

#define ENTRY_COUNTERS(X)                                                     \
  X (requests, "vanillahook_requests_total", "Requests taken.")               \
  X (answered, "vanillahook_answered_total", "Requests answered whole.")      \
  X (refused, "vanillahook_refused_total", "Requests refused, not run.")      \
  X (unknown_outcomes, "vanillahook_unknown_total",                           \
     "Requests that may have run.")                                           \
  X (attempts, "vanillahook_attempts_total", "Attempts sent to sidecars.")    \
  X (retries, "vanillahook_retries_total", "Attempts after the first one.")   \
  X (escalations, "vanillahook_escalations_total",                            \
     "Answers rated too low and run again on a stronger version.")            \
  X (caller_disconnects, "vanillahook_departed_total",                        \
     "Callers that left before their answer.")                                \
  X (digest_mismatches, "vanillahook_digest_errors_total",                    \
     "Answers whose digest did not match.")

struct entry
{
  entry_options_t options;
  uv_loop_t *loop;
  clock_iface_t *clock;
  const settings_t *settings;
  rng_t rng;
  httpd_t *http;
  rpc_node_t *node;
  rpc_server_t *server; /* NULL when no rpc address is set.  */
  snapshot_t *snapshot;
  balance_t *balance;
  quality_t *quality;
  cascade_t *cascade;
  poison_t *poison;
  degradation_t *degradation;
  burn_t *burn;
  leader_t *leader;
  claims_t *claims;
  map_t *members; /* member_t by instance name.  */
  map_t *pools;   /* pool_t by name of the version or service.  */
  list_t requests;
  list_t rollouts; /* learn_rollout_t.  */
  size_t ratings_in_flight;
  uint64_t last_exchange_ms;
  uint64_t connections_chosen_ms; /* Last run of choose_connections; 0: run it
                                     on the next tick.  */
  uv_timer_t tick_timer;
  uint64_t tick_count;
  uint64_t last_id; /* Number in the last generated id.  */
  bool draining;
  bool config_pull_pending; /* A WIRE_CONFIG_PULL call is in flight.  */
  bool destroyed;
  histogram_t *first_byte_latency;
  histogram_t *answer_latency;
  struct
  {
#define X(name, series, help) counter_t *name;
    ENTRY_COUNTERS (X)
#undef X
  } counters;
};

/* entry.c */
void request_destroy (request_t *request);

/* filter.c */
/* Run the filter chain from the next filter of REQUEST.  */
void request_run (request_t *request);
/* Handle an HTTP request; ARG is the entry.  */
void entry_on_http (void *arg, httpd_req_t *http);

/* choose.c */
/* Filter: find the versions that the team may use for the named target.  */
filter_result_t choose_candidates (request_t *request);
/* Filter: select the version, or the two versions of a cascade.  */
filter_result_t choose_version (request_t *request);
/* Filter: verify the session header and set the session fields.  */
filter_result_t choose_read_session (request_t *request);
/* Append the session token for the answer of REQUEST.  */
void choose_write_session_token (const request_t *request, buf_t *out);
/* Return the code of the reason for the selected version.  */
const char *choose_reason (const request_t *request);
/* Send the complete answer of a cascade's first version to the rating
   service.  Return false if the answer needs no rating; otherwise the request
   waits for the rating.  */
bool choose_start_rating (request_t *request);

/* dispatch.c */
/* Filter: start the first attempt.  */
filter_result_t dispatch_start (request_t *request);
/* Run scheduled retries and enforce the deadline.  May free REQUEST.  */
void dispatch_tick (request_t *request, uint64_t now_ms);
/* Fetch the next bytes of the answer unless too many bytes wait for the
   caller.  */
void dispatch_fetch (request_t *request);
/* The caller disconnected.  */
void dispatch_caller_disconnected (request_t *request);
/* Reset the current attempt and drop its answer.  */
void dispatch_clear_attempt (request_t *request);
/* Send the buffered answer of the current attempt to the caller.  */
void dispatch_send_held_answer (request_t *request);
/* Fetch the answer of ATTEMPT_ID, which an earlier submission of the request
   started on MEMBER.  Takes over the caller's reference to MEMBER.  */
void dispatch_join_attempt (request_t *request, member_t *member,
                            str_t attempt_id);
/* Run the request again on VERSION.  */
void dispatch_escalate (request_t *request, const version_t *version);

/* answer.c: all functions except answer_stream and answer_error end the
   request.  */
/* Refuse REQUEST with CODE; the outcome is "unknown" if an attempt may have
   run, "not-run" otherwise.  Always return FILTER_DONE.  */
filter_result_t answer_refuse (request_t *request, vh_code_t code);
/* Answer with error CODE and outcome "unknown".  */
void answer_unknown_outcome (request_t *request, vh_code_t code);
/* Send the buffered answer.  */
void answer_send_buffered (request_t *request);
/* Send BYTES of a streamed answer, preceded by the headers on the first
   call.  */
void answer_stream (request_t *request, str_t bytes, bool last);
/* Abort an answer whose first bytes are sent: append an error event to a
   stream, then end the connection without the last chunk.  */
void answer_abort (request_t *request, vh_code_t code);
/* Count, record and bill an answered request.  */
void answer_finish (request_t *request);
/* Answer an HTTP request with error CODE.  RETRY_AFTER_MS 0: unknown.  */
void answer_error (httpd_req_t *http, vh_code_t code, const char *outcome,
                   str_t request_id, uint64_t retry_after_ms);

/* learn.c */
/* Decide whether the answer of REQUEST is rated.  */
void learn_decide_sampling (request_t *request);
/* Keep BYTES of an answer that is to be rated.  */
void learn_append_transcript (request_t *request, str_t bytes);
/* Record the latency of the current attempt, or a failure of the version if
   FAILED.  */
void learn_attempt_ended (request_t *request, bool failed);
/* Record the rating of a cascade's first answer; CONTENT is its text.  */
void learn_first_rated (request_t *request, str_t content);
/* Compact old evidence under GENERATION, the fencing number of the lease.  */
void learn_compact (entry_t *entry, uint64_t generation);
/* The answer is complete: send it to the rating service if sampled.  */
void learn_request_answered (request_t *request);
/* Return CHOSEN, or the version that replaces CHOSEN in a roll-out if the
   request falls into the share of the roll-out.  */
const version_t *learn_assign_rollout (request_t *request,
                                       const version_t *chosen);
/* Tell whether this request avoids VERSION because of a degradation alarm.  */
bool learn_is_avoided (const request_t *request, const version_t *version);
/* Clear the degradation alarm of each version that is withdrawn in
   configuration LAST and no longer in NEXT, which replaces LAST.  LAST is NULL
   if NEXT is the first configuration.  */
void learn_config_changed (entry_t *entry, const snapshot_t *last,
                           const snapshot_t *next);
/* Tell whether the roll-out of VERSION is halted or aborted.  */
bool learn_is_rollout_stopped (entry_t *entry, const version_t *version);
learn_rollout_t *learn_rollout_find (entry_t *entry, str_t version);
/* Return the roll-out of VERSION that started at START_MS, created if it is
   not known; NULL if a later roll-out of VERSION is known.  */
learn_rollout_t *learn_rollout_put (entry_t *entry, str_t version,
                                    uint64_t start_ms);
/* Append the learned evidence as rows, for peers and for the store; OWN_ONLY:
   leave out what other entries contributed.  */
void learn_write (entry_t *entry, bool own_only, buf_t *out);
/* Merge the evidence in ROWS, which learn_write wrote; rows from the first
   malformed one on are ignored.  */
void learn_merge (entry_t *entry, str_t rows);
/* Update the degradation alarms and exchange evidence with one connected
   entry, drawn at random, if the exchange interval has passed.  */
void learn_tick (entry_t *entry, uint64_t now_ms);
/* Exchange evidence with every connected entry now, without waiting for the
   exchange interval.  */
void learn_broadcast (entry_t *entry);
/* Append the roll-outs and the degradation alarms as the JSON members
   "rollouts" and "alarms".  */
void learn_status (entry_t *entry, buf_t *out);
void learn_destroy (entry_t *entry);

/* objective.c */
void objective_config_changed (entry_t *entry);
/* Record that REQUEST ended with CODE; VH_OK: answered.  */
void objective_request_ended (const request_t *request, vh_code_t code);

/* leader.c */
leader_t *leader_create (entry_t *entry);
void leader_destroy (leader_t *leader);
void leader_tick (leader_t *leader, uint64_t now_ms);
/* Return the lease that an entry needs for the leader's duties; owned by
   LEADER.  */
lease_t *leader_lease (leader_t *leader);

/* claim.c */
/* Filter: claim the id of a non-idempotent request.  */
filter_result_t claim_filter (request_t *request);
/* Record the outcome of a claimed request as far as it is known.  */
void claim_record (request_t *request);
/* Release the claim of a request that was never dispatched.  */
void claim_release (request_t *request);
/* Cancel the WIRE_RECALL calls in flight.  */
void claim_cancel_recalls (request_t *request);
/* Create ENTRY->claims, which uses the lease of ENTRY->leader.  */
void claim_init (entry_t *entry);

/* guard.c */
/* Filter: refuse a request whose earlier runs crashed upstreams.  */
filter_result_t guard_poison (request_t *request);
/* Filter: admission control by team share.  */
filter_result_t guard_admit (request_t *request);
/* The upstream of the current attempt crashed; CRASH_ID names the crash.  */
void guard_upstream_crashed (request_t *request, uint64_t crash_id);
/* Record a crash that a sidecar reports.  */
void guard_record_crash (entry_t *entry, const wire_suspect_t *suspect);
/* Append the crash records, for an exchange of evidence.  */
void guard_write (const entry_t *entry, buf_t *out);
/* Merge crash records that guard_write wrote; lines from the first malformed
   one on are ignored.  */
void guard_merge (entry_t *entry, str_t bytes);

/* peering.c */
/* Send MEMBER the update from KNOWN_REVISION, the revision that MEMBER has, to
   the revision of this entry.  Does nothing while another push to MEMBER is in
   flight.  */
void peering_push_config (member_t *member, uint64_t known_revision);
/* Tell whether this entry ranks first for MEMBER among the entries that it
   is connected to; that entry pushes a new configuration at once.  */
bool peering_ranks_first (const member_t *member);
/* Fetch the later configuration of MEMBER.  */
void peering_pull_config (member_t *member);
/* Fetch from the sidecar MEMBER the bills of entries that MEMBER considers
   dead.  */
void peering_fetch_orphaned_bills (member_t *member);
/* Handle a procedure that a peer calls; ARG is the entry.  */
void peering_serve (void *arg, rpc_request_t *request, uint32_t proc,
                    void *args);

/* fleet.c */
bool member_serves (const member_t *member, str_t target);
/* Return the pool of TARGET, created if there is none.  */
pool_t *fleet_get_pool (entry_t *entry, str_t target);
/* Return the member with balancer id ID, or NULL.  */
member_t *fleet_find_member (entry_t *entry, upstream_id_t id);
/* Record the result of an attempt that generated UNITS tokens, or 1 for a
   service, in the policies of POOL.  */
void fleet_record_result (entry_t *entry, pool_t *pool, member_t *member,
                          bool ok, uint64_t latency_us, uint32_t units);
void fleet_tick (entry_t *entry, uint64_t now_ms);
void fleet_config_changed (entry_t *entry);
/* Process CONTEXT, the sender's revision, load and state, which each RPC
   message of PEER contains.  */
void fleet_on_peer_context (entry_t *entry, rpc_peer_t *peer,
                            const wire_context_t *context);
void fleet_destroy (entry_t *entry);
/* Drop a reference to MEMBER; a removed member is freed with the last one.  */
void fleet_member_unref (member_t *member);
void fleet_status (entry_t *entry, buf_t *out);

#endif
