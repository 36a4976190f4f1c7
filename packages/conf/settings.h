/* Settings of one process, read once at its start from an INI file.  Unknown
   sections and keys, wrong types and missing values are errors with file, line
   and a hint; if there is any error, no setting is applied.  */

#ifndef CONF_SETTINGS_H
#define CONF_SETTINGS_H

#include "base/code.h"
#include "base/str.h"

/* One error in a configuration text.  */
typedef struct
{
  int line; /* From 1; 0 if the error concerns the whole text.  */
  char *message;
  char *hint; /* How to correct the error; may be NULL.  */
} conf_error_t;

typedef struct
{
  conf_error_t *items;
  size_t count;
} conf_errors_t;

/* Append an error.  FORMAT is as for printf; HINT is copied and may be NULL.
   Past a maximum number of errors, further ones are dropped.  */
void conf_errors_add (conf_errors_t *errors, int line, const char *hint,
                      const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Append a line "PROGRAM: FILE:LINE: message (hint)" for each error to OUT,
   and a NUL that the length of OUT excludes.  */
void conf_errors_print (const conf_errors_t *errors, const char *program,
                        str_t file, buf_t *out);
/* Release all errors and make ERRORS empty.  */
void conf_errors_free (conf_errors_t *errors);

/* Role of a process.  */
typedef enum
{
  ROLE_ENTRY,      /* Accepts requests and forwards them to sidecars.  */
  ROLE_SIDECAR,    /* Forwards requests to one upstream instance.  */
  ROLE_STANDALONE, /* Entry and sidecars in one process.  */
  ROLE_GATEWAY     /* Routes by the platform's configuration and connects to
                      upstreams without sidecars.  */
} role_t;

/* Whether streams that would be late move to another instance.  */
typedef enum
{
  SETTINGS_MOVE_STREAMS_REPORTED, /* Those of services whose instances report
                                     how long work takes.  */
  SETTINGS_MOVE_STREAMS_YES,
  SETTINGS_MOVE_STREAMS_NO
} settings_move_streams_t;

/* Implementation of the platform's store.  */
typedef enum
{
  PLATFORM_HTTP,
  PLATFORM_MEMORY /* Inside the process; not shared with other processes.  */
} platform_kind_t;

/* Use of the time that work takes at an instance.  */
typedef enum
{
  INSTANCE_SPEED_USE_OFF,
  INSTANCE_SPEED_USE_REPORTED /* As instances report it.  */
} instance_speed_use_t;

/* Optional features of an engine besides POST /v1/chat/completions.  */
typedef enum
{
  FEATURE_LOAD_REPORT = 1 << 0,  /* GET /load */
  FEATURE_CACHE_EVENTS = 1 << 1, /* GET /cache-events */
  FEATURE_RESUME = 1 << 2,       /* Resumes a stream at an offset.  */
  FEATURE_PRIORITY = 1 << 3,     /* Accepts "priority" in the body.  */
  FEATURE_ORDERS = 1 << 4,       /* POST /orders */
  FEATURE_FENCING = 1 << 5,      /* Rejects outdated fencing tokens.  */
  FEATURE_KV = 1 << 6            /* Exports and imports its KV cache.  */
} feature_t;

/* An upstream instance and the sidecar through which all of its requests
   pass.  */
typedef struct
{
  str_t instance; /* Name in the instance list, such as runner-17.  */
  str_t listen;   /* HOST:PORT on which the sidecar accepts RPC.  */
  str_t upstream; /* HOST:PORT on which the upstream listens.  */
  bool is_service;
  /* MODEL@VERSION strings, or service names if IS_SERVICE.  */
  str_t *served_names;
  size_t served_name_count;
  unsigned features;      /* Bitwise OR of FEATURE_ constants.  */
  uint32_t limit_initial; /* Concurrency limit at the start.  */
  uint32_t limit_max;     /* Upper bound of the concurrency limit.  */
  uint32_t queue_max;     /* Largest number of queued requests.  */
  /* Ratio of latency to the lowest latency above which the concurrency limit
     is lowered; 0 selects the default.  */
  double limit_tolerance;
  /* Cost from which on a job counts as long; 0 selects the default.  */
  uint32_t queue_long_cost_min;
  /* Time for which a finished response is kept.  */
  uint64_t response_retention_ms;
  /* Largest total size of the kept responses.  */
  uint64_t retained_bytes_max;
  /* Time without data from the upstream after which a request fails, in
     ms.  */
  uint64_t upstream_timeout_ms;
} upstream_settings_t;

/* A peer from the settings, used until the instance list has been read.  */
typedef struct
{
  str_t name;
  role_t role;
  str_t zone;
  str_t address; /* HOST:PORT of its RPC listener.  */
} peer_settings_t;

typedef struct settings
{
  /* [process] */
  str_t name;
  role_t role;
  str_t zone;
  str_t region;
  str_t admin_listen; /* HOST:PORT of the admin listener, for operators.  */
  str_t rpc_listen;   /* HOST:PORT on which RPC from peers is accepted.  */
  str_t log_level;
  /* Time for which a stopping process still accepts requests, until external
     load balancers have seen that it is not ready.  */
  uint64_t drain_grace_ms;
  uint64_t drain_timeout_ms; /* Maximum duration of a planned stop.  */
  /* Seed of the random number generator; 0 takes one from the operating
     system.  */
  uint64_t seed;
  double memory_mb;         /* Memory of the machine; 0:
                               MEMORY_BUDGET_MACHINE_MB.  */
  uint32_t descriptors_max; /* Descriptors that the process may have; 0: the
                               limit of the system.  */
  str_t *rpc_keys; /* Accepted shared secrets; the first one signs.  */
  size_t rpc_keys_count;
  /* 64 hexadecimal digits; if empty, operators' requests are accepted from
     loopback only.  */
  str_t operator_key_sha256;
  /* [entry] */
  str_t listen; /* HOST:PORT for client requests; also in [gateway].  */
  str_t tls_certificate;
  str_t tls_key;
  uint64_t body_limit;   /* Largest request body, in bytes.  */
  uint64_t header_limit; /* Largest request header, in bytes.  */
  uint64_t deadline_default_ms;
  uint64_t deadline_max_ms;
  /* Number of sidecars of one pool that an entry connects to.  */
  uint32_t subset_size;
  str_t session_key; /* Secret that signs session tokens.  */
  /* Whether to generate an Idempotency-Key if a request needs one and has
     none.  */
  bool generate_idempotency_keys;
  uint32_t connections_max;
  /* Largest share of a pool that may be ejected at the same time; 0 selects
     the default of the outlier detector.  */
  double ejected_share_max;
  /* Retries added to the retry budget per request; 0 selects the default of
     the retry policy.  */
  double retry_budget_ratio;
  /* Size of the retry budget after a time without requests; 0 selects the
     default of the retry policy.  */
  uint32_t retry_burst;
  /* [gateway] */
  str_t ready_listen; /* HOST:PORT of the readiness check.  */
  /* Time after the start of a planned stop at which the process is killed.  */
  double kill_after_s;
  /* Time after which a revoked client key must not work any more; 0: unset,
     config_max_age_ms applies.  */
  uint64_t key_revocation_max_ms;
  /* Age of the last confirmation of the configuration above which client keys
     are refused.  */
  uint64_t config_max_age_ms;
  /* Time after an outage of the store in which registrations that expired
     during the outage remain usable.  */
  uint64_t expired_registration_grace_ms;
  /* Extra sends (all sends of a request after its first) that all gateways
     together may make per request.  */
  double extra_send_ratio;
  /* Extra sends allowed in a window in addition, however few requests
     arrive.  */
  double extra_send_fixed_budget;
  double extra_send_window_s;
  /* All gateways together send a cold instance, one that is still warming up,
     at most rate * cold_factor + cold_slack requests a second.  */
  double cold_factor;
  double cold_slack;
  instance_speed_use_t instance_speed;
  /* Largest share of a service's requests that a version in roll-out may get
     within the roll-out's time limit.  */
  double rollout_share_max;
  double link_mbps; /* Network bandwidth of this instance; 0: unknown.  */
  /* Value of a good response to a request of rank 0, the highest, for 1,000
     units of size, in the unit of the models' costs.  A token read is 1 unit
     of size, a generated token 10 units.  */
  double good_answer_value;
  /* Factor applied to the value for each rank below the highest.  */
  double value_factor_per_rank;
  double late_value_share; /* Share of its value that a late response has.  */
  double poor_value_share; /* Share of its value that a poor response has.  */
  /* Standard deviation of the noise in a model's rating of a response, in
     points.  */
  double rating_noise_points;
  settings_move_streams_t move_streams;
  /* [sidecar], or [upstream NAME] if the role is standalone */
  upstream_settings_t *upstreams;
  size_t upstreams_count;
  /* [platform] */
  platform_kind_t platform;
  str_t platform_address; /* HOST:PORT */
  uint64_t platform_timeout_ms;
  /* [configuration] */
  /* File with the configuration to apply if the store has none; may be
     empty.  */
  str_t configuration_file;
  /* Interval at which the store is polled for a newer revision.  */
  uint64_t poll_ms;
  /* [peer NAME] */
  peer_settings_t *peers;
  size_t peers_count;
} settings_t;

/* Parse TEXT.  Return VH_OK and set *OUT, which settings_destroy frees, or
   return VH_E_BAD_SETTINGS, add to ERRORS and set *OUT to NULL.  */
vh_code_t settings_parse (str_t text, settings_t **out, conf_errors_t *errors);
/* Like settings_parse for the file PATH; VH_E_IO if the file cannot be read.
   Relative file names in the settings are resolved from the directory of PATH.
   All strings are NUL-terminated; their length excludes the NUL.  */
vh_code_t settings_load (const char *path, settings_t **out,
                         conf_errors_t *errors);
/* Free SETTINGS, which may be NULL.  */
void settings_destroy (settings_t *settings);

/* Append the contents of the file PATH to OUT.  Reading stops soon after the
   maximum size of a configuration, which the parser then rejects.  Return
   VH_OK, or VH_E_IO if the file cannot be read.  */
vh_code_t conf_read_file (const char *path, buf_t *out);

#endif
