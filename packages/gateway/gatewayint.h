/* State shared by the parts of a gateway.  duties.c updates the state from the
   store, and the request path (relay.c) reads it; neither calls the other.  */

#ifndef GATEWAY_GATEWAYINT_H
#define GATEWAY_GATEWAYINT_H

#include "base/map.h"
#include "base/mem.h"
#include "base/rng.h"
#include "gateway/billing.h"
#include "gateway/follow.h"
#include "gateway/gateway.h"
#include "gateway/prober.h"
#include "gateway/share.h"
#include "gateway/request_metrics.h"
#include "policy/allotment.h"
#include "policy/sendbudget.h"
#include "policy/escalation.h"
#include "policy/trial.h"
#include "wire/httpd.h"

/* X (field, help): counters of a gateway without labels.  */
#define GATEWAY_COUNTERS(X)                                                   \
  X (requests, "Requests read whole.")                                        \
  X (answered, "Answers of upstreams passed on whole.")                       \
  X (refused, "Requests refused as not run.")                                 \
  X (failed, "Requests that failed or whose outcome is unknown.")             \
  X (left, "Callers that left before their answer was whole.")                \
  X (sends, "Requests sent to upstreams.")                                    \
  X (resends, "Sends beyond the first of a request.")                         \
  X (resumes, "Streams that went on at another upstream.")                    \
  X (escalations, "Answers dropped for one of a larger model.")               \
  X (events, "Events of streams passed on.")

typedef struct
{
#define X(field, help) counter_t *field;
  GATEWAY_COUNTERS (X)
#undef X
} gateway_counters_t;

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
  prober_t *prober;   /* Probes instances of POOL that stopped sending.  */
  catalog_t *catalog; /* Configuration in force; NULL if none is known.  */
  uint64_t config_load_started_ms; /* Boot time at which the loading of a newer
                          configuration began; 0 if none is being loaded.  */
  map_t *trials;                   /* Map of service name to trial_t.  */
  map_t *allowances;               /* Map of service name to send_budget_t.  */
  map_t *escalations;              /* Map of service name to escalation_t.  */
  allotment_t *allotment; /* Gateway processes among which fleet-wide limits
                         are  divided.  */
  uint32_t gateway_count; /* Number of gateway processes that share the retry
                       budgets.  */
  table_sync_t *operator_rows; /* Follower of the table that operators write,
                             which contains the configuration.  */
  gateway_counters_t counters;
  metrics_t *metrics;
  request_metrics_t *request_metrics;
  billing_t *billing;
  list_t relays;
  uint64_t started_ms;
  bool is_initialized;  /* All tables that requests need were read once.  */
  uint64_t stopping_ms; /* Start of the planned stop; 0 if there is none.  */
} gateway_state_t;

/* Request path.  */

/* Start processing REQ, which is answered on this or a later loop
   iteration.  */
void relay_start (gateway_state_t *state, httpd_req_t *req);
/* Abort all requests at the end of a planned stop.  Return their number.  */
size_t relay_abort_all (gateway_state_t *state);

enum
{
  /* Timeout of a write to the store.  A write that times out may still have
     been applied.  */
  STORE_SYNC_COMMIT_TIMEOUT_MS = 2000
};

/* Return the part of row key KEY before its first slash.  *REST is the part
   after the slash, empty if there is no slash.  */
static inline str_t
row_key_prefix (str_t key, str_t *rest)
{
  str_t kind = str_cut (key, '/', rest);

  if (rest->ptr == NULL)
    *rest = STR ("");
  return kind;
}

/* Background tasks: follow the tables of the store and coordinate with the
   other gateway processes.  */
typedef struct duties store_sync_t;

/* SHARE may be NULL.  */
store_sync_t *store_sync_create (gateway_state_t *state, rows_t *rows,
                                 peer_rows_t *share);
/* Begin the planned stop: withdraw this process from those among which limits
   are divided.  */
void store_sync_stop (store_sync_t *duties);
void store_sync_destroy (store_sync_t *duties);

/* Return the retry budget of SERVICE, created on first use.  */
send_budget_t *gateway_service_allowance (gateway_state_t *state,
                                          str_t service);
/* Return the model escalation state of SERVICE, created on first use.  */
escalation_t *gateway_service_escalation (gateway_state_t *state,
                                          str_t service);
/* Return for how many milliseconds a newer configuration than the one in force
   has been loading; 0 if none is being loaded.  */
uint64_t gateway_config_load_ms (const gateway_state_t *state);
/* Return whether a configuration is known and was confirmed by the store
   recently enough to accept its API keys.  */
bool gateway_has_fresh_config (const gateway_state_t *state);

#endif
