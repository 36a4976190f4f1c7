/* Gateway process: receives requests from callers on the routes of the
   accepted configuration and forwards each to an instance of an upstream.
   Gateway processes keep persistent state only in rows of the platform's
   store.  */

#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "base/metric.h"
#include "base/stop_time.h"
#include "gateway/catalog.h"
#include "gateway/header_names.h"
#include "gateway/rows.h"
#include "policy/escalation.h"
#include "policy/pool.h"

#include <uv.h>

typedef struct gateway gateway_t;

/* Kind of a row that an operator wrote.  */
typedef enum
{
  OPERATOR_ROW_UNKNOWN,       /* Unknown to this version; ignored.  */
  OPERATOR_ROW_CATALOG,       /* The configuration.  */
  OPERATOR_ROW_ROLLOUT,       /* Roll-out of a version of a service.  */
  OPERATOR_ROW_ZONE_EXCLUSION /* Availability zone whose instances get no
                                 requests.  */
} operator_row_kind_t;

/* Roll-out requested by an operator.  */
typedef struct
{
  str_t service;
  str_t version;
  uint64_t within_ms; /* Time within which the roll-out must finish.  */
} rollout_spec_t;

typedef enum
{
  ROLLOUT_RUNNING,
  ROLLOUT_DONE,
  ROLLOUT_ROLLED_BACK
} rollout_state_t;

/* Names and row formats of one platform.  The functions only convert; all
   decisions are made by the gateway.  */
typedef struct
{
  const header_names_t *names;
  str_t ready_path; /* Path of the readiness check by the platform's load
                       balancer.  */
  /* Return the kind of the row KEY in table ROWS_OPERATOR.  Set *NAME to the
     availability zone or service in the key.  */
  operator_row_kind_t (*operator_row_kind) (str_t key, str_t *name);
  /* Parse a configuration.  Callable from any thread.  PAUSE, which may be
     NULL, is called after each half millisecond of work.  */
  vh_code_t (*read_catalog) (str_t value, void (*pause) (void),
                             catalog_t **out);
  /* Parse a roll-out.  Strings of SPEC are stored in *HOLDER, which the
     caller releases with free_holder.  */
  vh_code_t (*read_rollout) (str_t value, rollout_spec_t *spec, void **holder);
  /* Parse the registration of an instance.  Strings of INFO are stored in
   *HOLDER, which the caller releases with free_holder.  */
  vh_code_t (*read_instance) (str_t key, str_t value, upstream_info_t *info,
                              void **holder);
  void (*free_holder) (void *holder);
  void (*write_rollout_status) (str_t service, str_t version,
                                rollout_state_t state, buf_t *key,
                                buf_t *value);
} gateway_dialect_t;

/* Whether streams that would be late move to another instance; see
   policy/stream_move.h.  */
typedef enum
{
  MOVE_STREAMS_REPORTED, /* Those of services whose instances report how long
                            work takes.  */
  MOVE_STREAMS_YES,
  MOVE_STREAMS_NO
} move_streams_t;

typedef struct
{
  str_t name;
  str_t zone;
  str_t listen;       /* HOST:PORT for requests of callers.  */
  str_t ready_listen; /* HOST:PORT for the readiness check.  */
  str_t admin_listen; /* HOST:PORT for metrics; empty: no such listener.  */
  str_t rpc_listen;   /* HOST:PORT for other gateway processes; empty: each
                         process reads the store itself.  */
  const str_t *rpc_keys;
  size_t rpc_key_count;
  double link_mbps; /* Network bandwidth of this gateway process, in Mbit/s; 0:
                       unknown.  */
  double memory_mb; /* Memory of the machine; 0: MEMORY_BUDGET_MACHINE_MB.  */
  uint32_t descriptors_max; /* Descriptors that this process may have; 0: the
                               limit of the system.  */
  uint64_t seed;
  uint64_t drain_grace_ms;    /* Time after the signal to stop in which new
                                 requests are still accepted.  */
  uint64_t drain_timeout_ms;  /* Time after the signal to stop after which the
                                 remaining requests are aborted.  */
  uint64_t config_max_age_ms; /* Age of the last confirmation of the
                                 configuration above which API keys are
                                 refused, because a key may have been revoked
                                 since then.  */
  uint64_t
      expired_registration_grace_ms; /* Time after the end of a store
                                        outage for which registrations that
                                        expired in the outage remain usable. */
  double retries_per_request; /* Number of retries that all gateway processes
                                 together may make for each request they
                                 receive; 0.1 allows one retry for ten
                                 requests.  */
  double fixed_retries_per_window; /* Further retries that all gateway
                                      processes together may make in each
                                      window of RETRY_WINDOW_MS, even if no
                                      requests arrive.  */
  uint64_t retry_window_ms;
  /* All gateway processes together send an instance that is still warming up
     at most service_t.cold_requests_per_s * cold_factor + cold_slack requests
     a second.  */
  double cold_factor;
  escalation_options_t escalation;
  double cold_slack;         /* In requests a second; see cold_factor.  */
  bool ignores_time_factors; /* The time factors that instances report have no
                                effect.  */
  double rollout_share_max;  /* Largest part, 0 to 1, of the requests that a
                                service gets within rollout_spec_t.within_ms
                                that may be sent to the new version.  */
  move_streams_t move_streams;
} gateway_options_t;

/* Start a gateway on LOOP.  ROWS and DIALECT must outlive the gateway; the
   strings of OPTIONS are copied.  Return VH_OK and set *OUT, or log the error
   and return VH_E_IO.  */
vh_code_t gateway_create (uv_loop_t *loop, clock_iface_t *clock, rows_t *rows,
                          const gateway_dialect_t *dialect,
                          const gateway_options_t *options, gateway_t **out);
/* Return the port of the listener for callers, and of the one for the
   readiness check.  If the options gave port 0, the kernel chose the port.  */
uint16_t gateway_port (const gateway_t *gateway);
uint16_t gateway_ready_port (const gateway_t *gateway);
/* Return the port of the listener for metrics, which the options name.  */
uint16_t gateway_admin_port (const gateway_t *gateway);
/* Begin the planned stop for which the signal was sent at TIME.  A second call
   has no effect.  */
void gateway_begin_stop (gateway_t *gateway, const stop_time_t *time);
/* Return whether the planned stop has finished.  */
bool gateway_is_stopped (const gateway_t *gateway);
/* Abort the remaining requests and free GATEWAY, which may be NULL.  Return
   false if the stop aborted any request.  */
bool gateway_destroy (gateway_t *gateway);

#endif
