/* State shared by the parts of a gateway.  storesync.c updates the state from
   the store, and the request path (relay.c) reads it; neither calls the other.
 */

#ifndef GATEWAY_GATEWAYINT_H
#define GATEWAY_GATEWAYINT_H

#include "base/map.h"
#include "base/mem.h"
#include "base/memory_budget.h"
#include "base/rng.h"
#include "gateway/billing.h"
#include "gateway/tablesync.h"
#include "gateway/gateway.h"
#include "gateway/prober.h"
#include "gateway/peerrows.h"
#include "gateway/request_metrics.h"
#include "policy/allotment.h"
#include "policy/config_age.h"
#include "policy/sendbudget.h"
#include "policy/escalation.h"
#include "policy/finish_time.h"
#include "policy/stream_move.h"
#include "policy/trial.h"
#include "wire/httpd.h"

/* X (field, help): counters of a gateway without labels.  */
#define GATEWAY_COUNTERS(X)                                                   \
  X (requests, "Requests received completely.")                               \
  X (answered, "Upstream responses forwarded completely.")                    \
  X (refused, "Requests refused; no upstream ran them.")                      \
  X (failed, "Requests that failed or whose outcome is unknown.")             \
  X (left, "Callers that disconnected before the end of their response.")     \
  X (sends, "Requests sent to upstreams.")                                    \
  X (resends, "Sends beyond the first of a request.")                         \
  X (resends_refused, "Times that an extra send was not in the budget.")      \
  X (limited_sends, "Sends to upstreams that announced a rate limit.")        \
  X (loads_ignored, "Load reports, or their time factors, out of range.")     \
  X (resumes, "Interrupted streams resumed by another send.")                 \
  X (unbounded_responses,                                                     \
     "Responses left because they went on without an event or an end.")       \
  X (moves, "Streams moved to another upstream to end in time.")              \
  X (moves_refused, "Checks of a late stream that moved it nowhere.")         \
  X (escalations, "Responses discarded to escalate to a larger model.")       \
  X (events, "Events of streams forwarded to callers.")                       \
  X (crashes, "Crashes of instances that ran requests of this process.")      \
  X (suspects_refused, "Requests refused because their runs crashed.")        \
  X (speed_bytes_sent, "Bytes of time factors sent to the reader.")           \
  X (speed_rows_written, "Rows of time factors written to the store.")        \
  X (speed_entries_applied, "Time factors taken over from other processes.")  \
  X (speed_rows_unreadable,                                                   \
     "Rows and messages of time factors that could not be read.")

typedef struct
{
#define X(field, help) counter_t *field;
  GATEWAY_COUNTERS (X)
#undef X
} gateway_counters_t;

/* Rate limits that instances announced; see announced_limitsint.h.  */
typedef struct announced_limits announced_limits_t;

/* Crashes of instances and the requests that ran there; see
   crash_recordsint.h.  */
typedef struct crash_records crash_records_t;

/* State that the request path reads.  */
typedef struct
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  const gateway_dialect_t *dialect;
  const header_names_t *names;
  gateway_options_t options;
  rng_t rng;
  pool_t *pool;
  prober_t *prober; /* Probes instances of POOL that have sent no data for
                       some time.  */
  announced_limits_t *announced_limits;
  crash_records_t *crash_records;
  catalog_t *catalog; /* Configuration in force; NULL if none is known.  */
  config_age_t config_age;         /* Of CATALOG.  */
  uint64_t config_load_started_ms; /* Time at which the loading of a newer
                                      configuration began, in ms of the boot
                                      clock; 0 if none is being loaded.  */
  map_t *trials;                   /* Map of service name to trial_t.  */
  map_t *usual_times;   /* Map of service name to trial_usual_times_t.  */
  map_t *retry_budgets; /* Map of service name to send_budget_t.  */
  map_t *escalations;   /* Map of service name to escalation_t.  */
  map_t *finish_times;  /* Map of service name to finish_time_t.  */
  stream_moves_t stream_moves; /* Moves of streams in the last second.  */
  /* Registered gateway processes, among which the limits that all gateway
     processes share are divided.  */
  allotment_t *allotment;
  /* Number of gateway processes that share the retry budgets; 0 while it is
     unknown, or the others may not count this one.  */
  uint32_t gateway_count;
  table_sync_t *operator_rows_sync; /* Synchronises table ROWS_OPERATOR, which
                                       contains the configuration.  */
  gateway_counters_t counters;
  metrics_t *metrics;
  request_metrics_t *request_metrics;
  billing_t *billing;
  httpd_t *caller_server;
  memory_budget_t memory; /* Of callers' connections, their requests and the
                             responses.  */
  list_t relays;
  size_t response_memory; /* Bytes of memory that RELAYS have for incomplete
                             events, for bodies that are not streamed and for
                             what callers have not read yet.  */
  uint64_t started_ms;
  bool is_initialized;  /* All tables that are needed to process requests were
                           read at least once.  */
  uint64_t stopping_ms; /* Monotonic time at which the signal to stop was
                           delivered, in ms; 0 if none was.  */
  uint64_t accepts_until_ms; /* Monotonic time from which no new requests are
                                accepted in a planned stop, in ms.  */
} gateway_state_t;

/* Apply the limits on clients of CATALOG.  */
void gateway_apply_client_limits (gateway_state_t *state,
                                  const catalog_t *catalog);

/* Request path.  */

/* Decide on a request whose body has not arrived.  */
httpd_decision_t relay_check_head (const gateway_state_t *state,
                                   const httpd_req_t *req);

/* Start processing REQ.  The response is sent on this or a later loop
   iteration.  */
void relay_start (gateway_state_t *state, httpd_req_t *req);
/* Admit the requests that wait for the first configuration, unless they still
   have to wait.  To be called when a table was read for the first time, and
   when a configuration was parsed.  */
void relay_admit_waiting (gateway_state_t *state);
/* End the requests that wait for the begin of an answer and are refused by
   now, before they crash the instances that have them.  */
void relay_end_refused (gateway_state_t *state);
/* Abort all requests at the end of a planned stop.  Return their number.  */
size_t relay_abort_all (gateway_state_t *state);

enum
{
  /* Timeout of a write to the store.  A write that times out may still have
     been applied.  */
  STORE_SYNC_COMMIT_TIMEOUT_MS = 2000,
  /* Longest time that the store holds a watch call for ROWS_OPERATOR, and the
     time after that in which it may send no data before the call fails.  A
     change must be in force within 2 s even if the reply to a call is
     lost.  */
  STORE_SYNC_OPERATOR_ROWS_WAIT_MS = 900,
  STORE_SYNC_OPERATOR_ROWS_TIMEOUT_SLACK_MS = 500
};

/* How ROWS_OPERATOR and ROWS_INSTANCES are read.  */
extern const table_sync_options_t store_sync_operator_rows_options;
extern const table_sync_options_t store_sync_instances_options;

/* Return the part of row key KEY before its first slash.  *REST is the part
   after the slash, empty if there is no slash.  */
static inline str_t
row_key_first_segment (str_t key, str_t *rest)
{
  str_t kind = str_cut (key, '/', rest);

  if (rest->ptr == NULL)
    *rest = STR ("");
  return kind;
}

/* Background tasks: synchronise the tables of the store and coordinate with
   the other gateway processes.  */
typedef struct store_sync store_sync_t;

/* Start the background tasks.  PEER_ROWS is NULL if this process does not
   share reads of the store with other gateway processes.  */
store_sync_t *store_sync_create (gateway_state_t *state, rows_t *rows,
                                 peer_rows_t *peer_rows);
/* Begin the planned stop: delete the registration of this process, so that the
   shared limits are divided among the others.  */
void store_sync_stop (store_sync_t *sync);
void store_sync_destroy (store_sync_t *sync);

/* Return the retry budget of SERVICE, which also covers resumed streams and
   escalations.  The budget is created on first use.  */
send_budget_t *gateway_service_retry_budget (gateway_state_t *state,
                                             str_t service);
/* Return the model escalation state of SERVICE, created on first use.  */
escalation_t *gateway_service_escalation (gateway_state_t *state,
                                          str_t service);
/* Return the estimate of times of SERVICE, created on first use.  */
finish_time_t *gateway_service_finish_time (gateway_state_t *state,
                                            str_t service);
/* Return whether it is this gateway's turn to do what one gateway at a time
   does for the object with HASH.  The turns have TURN_MS.  */
bool gateway_has_turn (const gateway_state_t *state, uint64_t hash,
                       uint64_t turn_ms);
/* Return the time since the loading of a configuration newer than the one in
   force began, in ms; 0 if none is being loaded.  */
uint64_t gateway_config_load_elapsed_ms (const gateway_state_t *state);
/* Return whether a request that arrived at ARRIVED_MS of the monotonic clock
   is accepted.  */
bool gateway_accepts_request (const gateway_state_t *state,
                              uint64_t arrived_ms);
/* Return whether a configuration is known and was confirmed by the store
   recently enough to accept its API keys.  */
bool gateway_has_fresh_config (const gateway_state_t *state);

#endif
