/* What the parts of a gateway share.  A request (relay.c) reads the beliefs
   that the duties (duties.c) keep, and neither calls the other.  */

#ifndef GATEWAY_GATEWAYINT_H
#define GATEWAY_GATEWAYINT_H

#include "base/map.h"
#include "base/mem.h"
#include "base/rng.h"
#include "gateway/billing.h"
#include "gateway/follow.h"
#include "gateway/gateway.h"
#include "gateway/reach.h"
#include "gateway/share.h"
#include "gateway/tally.h"
#include "policy/allotment.h"
#include "policy/allowance.h"
#include "policy/escalation.h"
#include "policy/trial.h"
#include "wire/httpd.h"

/* X (field, help): plain counters of a gateway.  */
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

/* State and beliefs that requests read.  */
typedef struct
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  const gateway_dialect_t *dialect;
  const header_names_t *names;
  gateway_options_t options;
  rng_t rng;
  pool_t *pool;
  reach_t *reach;       /* Looks at silent instances of POOL.  */
  catalog_t *catalog;   /* NULL until one is known.  */
  uint64_t reading_ms;  /* Since when a later one is being read, by boot time;
                           0: none is.  */
  map_t *trials;        /* Service to trial_t.  */
  map_t *allowances;    /* Service to send_budget_t.  */
  map_t *escalations;   /* Service to escalation_t.  */
  allotment_t *fleet;   /* Entries that share what all may use.  */
  uint32_t entries;     /* How many these are, as the allowances know.  */
  table_sync_t *orders; /* Tells how old the configuration is.  */
  gateway_counters_t counters;
  metrics_t *metrics;
  tally_t *tally;
  billing_t *bills;
  list_t relays;
  uint64_t started_ms;
  bool is_initialized;  /* All that a request needs was read once.  */
  uint64_t stopping_ms; /* When the planned stop began; 0: it did not.  */
} gateway_state_t;

/* Relay of requests.  */

/* Take over REQ and answer it.  */
void relay_start (gateway_state_t *belief, httpd_req_t *req);
/* Cut what is left at the end of a planned stop; return how many.  */
size_t relay_cut_all (gateway_state_t *belief);

enum
{
  /* A write that the store is silent on for so long may have been done.  */
  STORE_SYNC_COMMIT_TIMEOUT_MS = 2000
};

/* Split KEY of a row that entries share at its first slash; *REST is empty
   without one.  */
static inline str_t
row_key_prefix (str_t key, str_t *rest)
{
  str_t kind = str_cut (key, '/', rest);

  if (rest->ptr == NULL)
    *rest = STR ("");
  return kind;
}

/* Duties: follows the store and does what entries do together.  */
typedef struct duties store_sync_t;

/* SHARE may be NULL.  */
store_sync_t *store_sync_create (gateway_state_t *belief, rows_t *rows,
                                 peer_rows_t *share);
/* A planned stop begins: the other entries need not count on this one.  */
void store_sync_stop (store_sync_t *duties);
void store_sync_destroy (store_sync_t *duties);

/* Extra sends of SERVICE; made on first use.  */
send_budget_t *belief_allowance (gateway_state_t *belief, str_t service);
/* What is weighed of SERVICE's models; made on first use.  */
escalation_t *belief_escalation (gateway_state_t *belief, str_t service);
/* Milliseconds for which a later configuration than that in force has been
   read; 0: none is.  */
uint64_t gateway_config_load_ms (const gateway_state_t *belief);
/* Tell whether the configuration is known and confirmed recently enough to
   trust its keys.  */
bool belief_confirmed (const gateway_state_t *belief);

#endif
