/* Shared by the entry's sources alone: entry.c (the task), fleet.c (members
   and their connections), peering.c (what peers tell each other), filter.c
   (the chain up to the choice), choose.c (which version), dispatch.c
   (attempts) and answer.c (towards the caller).  */

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
#include "policy/watch.h"
#include "wire/httpd.h"

#include <jansson.h>
#include <xxhash.h>

enum
{
  TRIES_MAX = 5,
  CANDIDATES_MAX = CASCADE_CANDIDATES_MAX,
  KEY_MAX = 255,
  ID_LEN = 32
};

typedef struct lead lead_t;
typedef struct member member_t;
typedef struct request request_t;

/* One known instance.  */
struct member
{
  entry_t *entry;
  char *name;
  char *zone;
  char *address;
  bool is_entry;
  bool leaving;  /* By the platform's list.  */
  bool draining; /* Said by the process itself.  */
  bool pushing;  /* A configuration is on its way to it.  */
  bool down;     /* The last try to reach it failed.  */
  bool wanted;   /* A connection to it is kept.  */
  bool taking;   /* Its orphaned bills are being taken over.  */
  upstream_id_t id;
  rpc_peer_t *peer;
  uint64_t epoch; /* Of the process heard last.  */
  uint64_t revision;
  uint32_t confirmed_ms;
  wire_load_t load;
  unsigned features;
  str_t *serves; /* Owned texts.  */
  size_t serves_count;
  uint64_t pinged_ms;
  uint64_t told_ms; /* When the roster was last told that it was heard.  */
  size_t in_use;    /* Requests that point here; freed when 0 and removed.  */
  bool removed;
};

/* All upstreams of one version or service, as this entry uses them.  */
typedef struct
{
  char *name;
  pool_id_t id;
  retry_t *retry;
  admission_t *admission;
  outlier_t *outlier;
  map_t *outlier_members; /* By instance.  */
  uint64_t empty_ms;      /* Since when no upstream could be picked; 0.  */
  uint64_t latency_us;    /* Moving mean and spread of whole answers.  */
  uint64_t latency_dev_us;
} pool_t;

/* The state of one roll-out, as far as it has reached this entry.  */
typedef struct
{
  list_t link;
  char *version;
  uint64_t start_ms;
  rollout_run_t *run;
} learn_rollout_t;

typedef enum
{
  KIND_CHAT,
  KIND_SERVICE
} request_kind_t;

typedef enum
{
  FILTER_NEXT, /* Go on with the next filter.  */
  FILTER_WAIT, /* request_resume goes on later.  */
  FILTER_DONE  /* The request is answered, and may be gone.  */
} filter_step_t;

/* One try at one sidecar.  */
typedef struct
{
  char id[ID_LEN + 8];
  member_t *member;
  upstream_id_t upstream;
  uint64_t epoch; /* Of the sidecar at the first send.  */
  rpc_call_t *call;
  uint64_t began_us;
  uint64_t first_byte_us;
  uint64_t last_byte_us;
  uint64_t offset;
  uint64_t asked_ms; /* Last FETCH.  */
  int status;
  bool live;     /* Sent, and not known to have ended.  */
  bool accepted; /* The sidecar has said that it knows it.  */
  bool joined;   /* Made by an earlier submission of the request.  */
  bool counted;  /* Admission knows that it was taken.  */
  XXH3_state_t *digest;
  httpc_header_t *headers; /* Owned texts.  */
  size_t header_count;
  buf_t body; /* Buffered, when not passed on as it comes.  */
} try_t;

struct request
{
  list_t link;
  entry_t *entry;
  httpd_req_t *http; /* NULL once the caller is gone.  */
  size_t filter_at;
  snapshot_t *snapshot;
  request_kind_t kind;
  char *method;
  char *path; /* Sent to the upstream.  */
  uint64_t received_us;
  uint64_t deadline_ms; /* Monotonic.  */
  bool deadline_given;
  const team_t *team;
  char *request_id;
  bool key_given;
  bool idempotent;
  bool stream;
  bool explain;
  wire_priority_t priority;
  uint64_t digest;
  uint64_t affinity;
  uint32_t cost; /* Estimated tokens.  */
  /* What was asked for.  */
  json_t *body;
  buf_t raw; /* The body as it came.  */
  char *model;
  const service_t *service;
  /* The session.  */
  char *session; /* As given.  */
  const version_t *session_version;
  char *session_instance;
  bool session_moved;
  /* What was chosen.  */
  const version_t *candidates[CANDIDATES_MAX];
  size_t candidate_count;
  cascade_plan_t plan;
  const version_t *plan_first;
  const version_t *plan_second;
  const version_t *version; /* NULL for a service.  */
  bool escalated;
  double first_rating;
  learn_rollout_t *rollout; /* That VERSION takes part in, or NULL.  */
  rollout_arm_t arm;
  bool sampled; /* The answer goes to the rating service.  */
  buf_t transcript;
  pool_t *pool;
  uint32_t cost_micro; /* Of finished attempts, not yet billed.  */
  uint64_t billed_ms;  /* Real time that the bill bears.  */
  uint32_t tokens_in;
  uint32_t tokens_out;
  /* Attempts.  */
  try_t at;
  unsigned tries;
  upstream_id_t tried[TRIES_MAX];
  size_t tried_count;
  uint64_t retry_at_ms; /* 0: no retry waits.  */
  uint64_t retry_after_ms;
  vh_code_t last_code;
  bool may_have_run; /* An earlier attempt may have run.  */
  bool released;     /* Bytes went to the caller.  */
  buf_t tail;        /* Of a stream: an event that has not come whole.  */
  uint32_t events;   /* Of a stream: whole events that went to the caller.  */
  bool suspect;
  bool waiting_fence;
  bool claiming; /* The claim's callback is to come.  */
  bool claimed;  /* The claim is ours and not yet settled.  */
  vh_code_t claim_code;
  list_t recalls;     /* Questions to sidecars under way.  */
  bool recall_unsure; /* A sidecar did not answer one.  */
  bool rating;
  bool ended;
};

#define ENTRY_COUNTERS(X)                                                     \
  X (requests, "vanillahook_requests_total", "Requests taken.")               \
  X (answered, "vanillahook_answered_total", "Requests answered whole.")      \
  X (refused, "vanillahook_refused_total", "Requests refused, not run.")      \
  X (unknown, "vanillahook_unknown_total", "Requests that may have run.")     \
  X (attempts, "vanillahook_attempts_total", "Attempts sent to sidecars.")    \
  X (retries, "vanillahook_retries_total", "Attempts after the first one.")   \
  X (escalations, "vanillahook_escalations_total",                            \
     "Answers rated too low and run again on a stronger version.")            \
  X (departed, "vanillahook_departed_total",                                  \
     "Callers that left before their answer.")                                \
  X (digest, "vanillahook_digest_errors_total",                               \
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
  degradation_t *watch;
  burn_t *burn;
  lead_t *lead;
  claims_t *claims;
  map_t *members; /* By name.  */
  map_t *pools;   /* By target.  */
  list_t requests;
  list_t rollouts;
  size_t ratings_on_way;
  uint64_t exchanged_ms;
  uint64_t wanted_ms; /* When the wanted connections were last chosen.  */
  uv_timer_t tick;
  uint64_t ticks;
  uint64_t next_id;
  bool announced;
  bool pulling;
  bool destroyed;
  histogram_t *first_byte;
  histogram_t *whole;
  struct
  {
#define X(name, series, help) counter_t *name;
    ENTRY_COUNTERS (X)
#undef X
  } counters;
};

/* entry.c */
void request_destroy (request_t *request);

/* filter.c: run the chain from where the request stands.  */
void request_run (request_t *request);
/* Start with what httpd gave.  */
void entry_on_http (void *arg, httpd_req_t *http);

/* choose.c */
filter_step_t choose_candidates (request_t *request);
filter_step_t choose_version (request_t *request);
/* Verify the session header; fills the session fields.  */
filter_step_t choose_session (request_t *request);
/* Append the session token of REQUEST's answer.  */
void choose_session_token (const request_t *request, buf_t *out);
const char *choose_reason (const request_t *request);
/* The answer of the present try is whole: rate it at need.  Return true when
   the request waits for the rating.  */
bool choose_rate_first (request_t *request);

/* dispatch.c */
filter_step_t dispatch_start (request_t *request);
/* Sweep: retries that are due and deadlines.  */
void dispatch_tick (request_t *request, uint64_t now_ms);
/* Ask for the next bytes of a streamed answer, if the caller keeps up.  */
void dispatch_fetch (request_t *request);
/* The caller left.  */
void dispatch_departed (request_t *request);
/* Forget the present try.  */
void dispatch_clear (request_t *request);
/* Let the answer held in the present try go to the caller.  */
void dispatch_release (request_t *request);
/* Pull the answer of ATTEMPT, made by an earlier submission, at MEMBER, whose
   use passes over.  */
void dispatch_join (request_t *request, member_t *member, str_t attempt);
/* Run the request again on VERSION.  */
void dispatch_escalate (request_t *request, const version_t *version);

/* answer.c: each ends the request.  */
filter_step_t answer_refuse (request_t *request, vh_code_t code);
void answer_unknown (request_t *request, vh_code_t code);
/* Send the buffered answer whole.  */
void answer_whole (request_t *request);
/* Send BYTES of a streamed answer; starts it at need.  */
void answer_stream (request_t *request, str_t bytes, bool last);
/* The answer broke after bytes were sent: end it visibly.  */
void answer_break (request_t *request, vh_code_t code);
/* Count, bill and let go of an answered request.  */
void answer_finish (request_t *request);
/* Answer an HTTP request that never became a request_t.  */
void answer_error (httpd_req_t *http, vh_code_t code, const char *outcome,
                   str_t request_id, uint64_t retry_after_ms);

/* learn.c: decide whether REQUEST's answer is to be rated.  */
void learn_sample (request_t *request);
/* Keep BYTES of an answer that is to be rated.  */
void learn_bytes (request_t *request, str_t bytes);
/* A try ended; FAILED when the version did.  */
void learn_ended (request_t *request, bool failed);
/* The first answer of a cascade got its rating; CONTENT is its text.  */
void learn_first_rated (request_t *request, str_t content);
/* Fold what is old under GENERATION, the fencing number of the lease.  */
void learn_settle (entry_t *entry, uint64_t generation);
/* The caller has the whole answer.  */
void learn_answered (request_t *request);
/* Return CHOSEN, or the version being rolled out over it when the request
   falls into its share.  */
const version_t *learn_assign (request_t *request, const version_t *chosen);
/* Tell whether this request is to pass VERSION by, which is under alarm.  */
bool learn_avoids (const request_t *request, const version_t *version);
/* NEXT comes into force after LAST (NULL at first): an operator who puts a
   withdrawn version back trusts it again.  */
void learn_configured (entry_t *entry, const snapshot_t *last,
                       const snapshot_t *next);
/* Tell whether VERSION's roll-out was halted or aborted.  */
bool learn_taken_back (entry_t *entry, const version_t *version);
learn_rollout_t *learn_rollout_find (entry_t *entry, str_t version);
/* Return the roll-out of VERSION that began at START_MS, made at need; NULL
   when a later one is known.  */
learn_rollout_t *learn_rollout_put (entry_t *entry, str_t version,
                                    uint64_t start_ms);
/* Write and merge all that is learned, as rows for exchange and store.  */
void learn_write (entry_t *entry, bool own_only, buf_t *out);
void learn_merge (entry_t *entry, str_t rows);
void learn_tick (entry_t *entry, uint64_t now_ms);
/* Tell the other entries now, without waiting for the next exchange.  */
void learn_spread (entry_t *entry);
void learn_status (entry_t *entry, buf_t *out);
void learn_destroy (entry_t *entry);

/* objective.c: service-level objectives.  */
void objective_configured (entry_t *entry);
/* REQUEST ended with CODE (VH_OK: answered).  */
void objective_ended (const request_t *request, vh_code_t code);

/* lead.c */
lead_t *lead_create (entry_t *entry);
void lead_destroy (lead_t *lead);
void lead_tick (lead_t *lead, uint64_t now_ms);
lease_t *lead_lease (lead_t *lead);

/* claim.c: claim a request that may run once.  */
filter_step_t claim_filter (request_t *request);
/* Record what came of a claimed request, as far as it is known.  */
void claim_record (request_t *request);
/* The claimed request was surely never dispatched.  */
void claim_release (request_t *request);
/* Let go of questions under way.  */
void claim_forget (request_t *request);
void claim_start (entry_t *entry);

/* guard.c: poison and admission.  */
filter_step_t guard_poison (request_t *request);
filter_step_t guard_admit (request_t *request);
/* The present try ended with DEATH of its upstream.  */
void guard_died (request_t *request, uint64_t death);
/* A sidecar told of a death.  */
void guard_told (entry_t *entry, const wire_suspect_t *suspect);
/* Append and merge the marks for other entries.  */
void guard_write (const entry_t *entry, buf_t *out);
void guard_merge (entry_t *entry, str_t bytes);

/* peering.c: bring MEMBER, which is at revision HAVE, to the one in force.  */
void peering_push (member_t *member, uint64_t have);
/* Tell whether no entry that this one reaches ranks before it for MEMBER: the
   first pushes a change at once.  */
bool peering_ranks_first (const member_t *member);
/* Ask MEMBER for the configuration that it is ahead with.  */
void peering_pull (member_t *member);
/* Take over the bills at MEMBER whose entry is gone.  */
void peering_take_bills (member_t *member);

/* fleet.c */
bool member_serves (const member_t *member, str_t target);
pool_t *fleet_pool (entry_t *entry, str_t target);
member_t *fleet_member (entry_t *entry, upstream_id_t id);
void fleet_record (entry_t *entry, pool_t *pool, member_t *member, bool ok,
                   uint64_t latency_us, uint32_t units);
void fleet_tick (entry_t *entry, uint64_t now_ms);
void fleet_configured (entry_t *entry);
void fleet_see (entry_t *entry, rpc_peer_t *peer,
                const wire_context_t *context);
void fleet_destroy (entry_t *entry);
void fleet_unuse (member_t *member);
void fleet_status (entry_t *entry, buf_t *out);
void fleet_serve (void *arg, rpc_request_t *request, uint32_t proc,
                  void *args);

#endif
