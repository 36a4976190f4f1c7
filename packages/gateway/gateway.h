/* The gateway role: takes callers' requests on the routes of the accepted
   configuration and sends each to an upstream instance itself.  Gateways share
   what they must through rows of the platform's store and keep nothing else
   that outlives them.  */

#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "base/clock.h"
#include "base/metric.h"
#include "gateway/catalog.h"
#include "gateway/names.h"
#include "gateway/rows.h"
#include "policy/escalation.h"
#include "policy/pool.h"

#include <uv.h>

typedef struct gateway gateway_t;

/* What an operator wrote.  */
typedef enum
{
  OPERATOR_ROW_UNKNOWN,       /* Nothing that this product knows.  */
  OPERATOR_ROW_CATALOG,       /* A configuration.  */
  OPERATOR_ROW_ROLLOUT,       /* Move a service to a version.  */
  OPERATOR_ROW_ZONE_EXCLUSION /* Send nothing to the instances of a zone.  */
} operator_row_kind_t;

typedef struct
{
  str_t service;
  str_t version;
  uint64_t within_ms;
} rollout_spec_t;

typedef enum
{
  ROLLOUT_RUNNING,
  ROLLOUT_DONE,
  ROLLOUT_ROLLED_BACK
} rollout_state_t;

/* How rows and calls are written on this platform: translation only.  */
typedef struct
{
  const header_names_t *names;
  str_t ready_path; /* Asked by the platform's balancer.  */
  /* What the row KEY of ROWS_ORDERS is, and in *NAME its zone or service.  */
  operator_row_kind_t (*order_kind) (str_t key, str_t *name);
  /* Any thread may call it.  PAUSE, which may be NULL, is called after each
     half of a millisecond's work.  */
  vh_code_t (*read_catalog) (str_t value, void (*pause) (void),
                             catalog_t **out);
  /* Strings of ORDER live in *HOLDER, released with free_holder.  */
  vh_code_t (*read_rollout) (str_t value, rollout_spec_t *order,
                             void **holder);
  vh_code_t (*read_instance) (str_t key, str_t value, upstream_info_t *info,
                              void **holder);
  void (*free_holder) (void *holder);
  void (*write_rollout_status) (str_t service, str_t version,
                                rollout_state_t state, buf_t *key,
                                buf_t *value);
} gateway_dialect_t;

typedef struct
{
  str_t name;
  str_t zone;
  str_t listen; /* Callers, HOST:PORT.  */
  str_t ready;  /* The balancer, HOST:PORT.  */
  str_t admin;  /* Metrics, HOST:PORT; empty: none.  */
  str_t rpc;    /* Peers, HOST:PORT; empty: each entry asks the store.  */
  const str_t *rpc_keys;
  size_t rpc_key_count;
  double link_mbps; /* Of this instance; 0: not known.  */
  uint64_t seed;
  uint64_t drain_grace_ms; /* Take new requests on while a stop is noticed. */
  uint64_t drain_bound_ms; /* Longest planned stop.  */
  uint64_t confirm_ms;     /* Age of the configuration past which a key may
                              have been taken away unseen.  */
  uint64_t lapse_ms;       /* Registrations that lapsed with the store stay
                              usable for so long after its return.  */
  double retry_ratio;      /* Extra sends for each request, of all.  */
  double retry_fixed_budget; /* Extra sends in a window besides.  */
  uint64_t retry_window_ms;
  double cold_factor;
  escalation_options_t escalation;
  double cold_slack;
  double exposure; /* Part of its service's requests that a version under
                      trial may get within its order's time.  */
} gateway_options_t;

/* Start on LOOP.  ROWS and DIALECT outlive the gateway; strings of OPTIONS are
   copied.  Return VH_OK and *OUT, or VH_E_IO, already logged.  */
vh_code_t gateway_create (uv_loop_t *loop, clock_iface_t *clock, rows_t *rows,
                          const gateway_dialect_t *dialect,
                          const gateway_options_t *options, gateway_t **out);
/* Ports listened on, where the options gave 0.  */
uint16_t gateway_port (const gateway_t *gateway);
uint16_t gateway_ready_port (const gateway_t *gateway);
/* Begin the planned stop; a second call changes nothing.  */
void gateway_begin_stop (gateway_t *gateway);
/* Tell whether a planned stop has ended.  */
bool gateway_is_stopped (const gateway_t *gateway);
/* Close what is left.  Return false when the stop cut requests.  */
bool gateway_destroy (gateway_t *gateway);

#endif
