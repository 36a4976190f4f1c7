/* Settings of one process, read once at start from an INI file.  Unknown
   sections and keys, wrong types and missing values are errors with file,
   line and a hint; nothing is half applied.  */

#ifndef CONF_SETTINGS_H
#define CONF_SETTINGS_H

#include "base/code.h"
#include "base/str.h"

/* One complaint about a text.  */
typedef struct
{
  int line; /* From 1; 0 when it concerns the whole text.  */
  char *message;
  char *hint; /* What to do about it; may be NULL.  */
} conf_error_t;

typedef struct
{
  conf_error_t *items;
  size_t count;
} conf_errors_t;

/* Append one complaint; MESSAGE as for printf, HINT may be NULL.  */
void conf_errors_add (conf_errors_t *errors, int line, const char *hint,
                      const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Append "PROGRAM: FILE:LINE: message (hint)" lines to OUT, and a NUL past
   its length.  */
void conf_errors_print (const conf_errors_t *errors, const char *program,
                        str_t file, buf_t *out);
void conf_errors_free (conf_errors_t *errors);

typedef enum
{
  ROLE_ENTRY,
  ROLE_SIDECAR,
  ROLE_STANDALONE,
  ROLE_GATEWAY /* Routes of the platform's configuration; dials upstreams.  */
} role_t;

typedef enum
{
  PLATFORM_HTTP,
  PLATFORM_MEMORY
} platform_kind_t;

/* What an engine offers beyond POST /v1/chat/completions.  */
typedef enum
{
  FEATURE_LOAD_REPORT = 1 << 0,  /* GET /load */
  FEATURE_CACHE_EVENTS = 1 << 1, /* GET /cache-events */
  FEATURE_RESUME = 1 << 2,       /* resume a stream at an offset */
  FEATURE_PRIORITY = 1 << 3,     /* "priority" in the body */
  FEATURE_ORDERS = 1 << 4,       /* POST /orders */
  FEATURE_FENCING = 1 << 5,      /* refuses an old fencing number itself */
  FEATURE_KV = 1 << 6            /* KV cache export and import */
} feature_t;

/* An upstream instance and the sidecar that is its only door.  */
typedef struct
{
  str_t instance; /* Name in the roster, such as runner-17.  */
  str_t listen;   /* Where the sidecar takes RPC, HOST:PORT.  */
  str_t upstream; /* Where the upstream listens, HOST:PORT.  */
  bool is_service;
  str_t *serves; /* MODEL@VERSION, or service names.  */
  size_t serves_count;
  unsigned features;            /* FEATURE_ bits.  */
  uint32_t limit_start;         /* Concurrency just after a start.  */
  uint32_t limit_max;           /* Concurrency never exceeded.  */
  uint32_t queue_max;           /* Requests that may wait.  */
  double limit_tolerance;       /* Of latency over the best; 0: default.  */
  uint32_t queue_long_cost;     /* Jobs from this on are long; 0: default.  */
  uint64_t answer_keep_ms;      /* How long a finished answer is kept.  */
  uint64_t answer_bytes;        /* Bound on all answers kept.  */
  uint64_t upstream_timeout_ms; /* Longest silence of the upstream.  */
} upstream_settings_t;

/* A peer named in the settings, used until the instance list is known.  */
typedef struct
{
  str_t name;
  role_t role;
  str_t zone;
  str_t address; /* RPC, HOST:PORT.  */
} peer_settings_t;

typedef struct settings
{
  /* [process] */
  str_t name;
  role_t role;
  str_t zone;
  str_t region;
  str_t admin; /* Operators' port, HOST:PORT.  */
  str_t rpc;   /* Where an entry takes RPC from its peers, HOST:PORT.  */
  str_t log_level;
  uint64_t drain_grace_ms; /* Accept on while the balancer notices.  */
  uint64_t drain_bound_ms; /* Longest planned stop.  */
  uint64_t seed;           /* 0: from the system.  */
  str_t *rpc_keys;         /* Shared secrets; the first one signs.  */
  size_t rpc_keys_count;
  str_t operator_key_sha256; /* 64 hex digits; empty: loopback only.  */
  /* [entry] */
  str_t listen;
  str_t tls_certificate;
  str_t tls_key;
  uint64_t body_limit;
  uint64_t header_limit;
  uint64_t deadline_default_ms;
  uint64_t deadline_max_ms;
  uint32_t subset;   /* Sidecars of one pool an entry connects to.  */
  str_t session_key; /* Signs session tokens.  */
  bool mint_keys;    /* Mint an Idempotency-Key where one is needed.  */
  uint32_t connections_max;
  /* 0 takes the default of the policy module.  */
  double outlier_share; /* Of a pool that may be ejected at once.  */
  double retry_share;   /* Retries earned by each request.  */
  uint32_t retry_burst; /* Retries that a quiet pool may spend at once.  */
  /* [gateway]; LISTEN is shared with [entry] */
  str_t ready;         /* Asked by the balancer, HOST:PORT.  */
  double kill_after_s; /* A stop is ended by force after this.  */
  uint64_t revoke_ms;  /* A key that is taken away works no longer than this;
                          0: not said.  */
  uint64_t confirm_ms; /* Longest age of the configuration's keys.  */
  uint64_t lapse_ms;   /* Use of registrations lapsed in an outage.  */
  double extra_ratio;  /* Extra sends for each request.  */
  double extra_slack;  /* Extra sends in a window besides.  */
  double extra_window_s;
  double cold_factor;    /* Over a cold instance's rate ...  */
  double cold_slack;     /* ... and more requests in a second.  */
  double exposure_share; /* Part of its service's requests that a version
                            under trial may get within its order's time.  */
  double link_mbps;      /* Of this instance's own link; 0: not known.  */
  double answer_worth; /* Of a good answer of rank 0, for 1,000 of its size. */
  double rank_part;    /* Of that for each rank further.  */
  double late_part;    /* Of its worth that a late answer has.  */
  double poor_part;    /* ... that a poor one has.  */
  double opinion_width; /* Noise of a model's opinion, in points.  */
  /* [sidecar], or [upstream NAME] of a standalone */
  upstream_settings_t *upstreams;
  size_t upstreams_count;
  /* [platform] */
  platform_kind_t platform;
  str_t platform_address; /* HOST:PORT */
  uint64_t platform_timeout_ms;
  /* [configuration] */
  str_t configuration_file; /* First revision of a standalone.  */
  uint64_t poll_ms;         /* Head polling period.  */
  /* [peer NAME] */
  peer_settings_t *peers;
  size_t peers_count;
} settings_t;

/* Parse TEXT.  Return VH_OK and *OUT, or VH_E_BAD_SETTINGS with ERRORS
   filled and *OUT NULL.  */
vh_code_t settings_parse (str_t text, settings_t **out, conf_errors_t *errors);
/* Read and parse PATH; VH_E_IO when it cannot be read.  Relative file names
   in it start at its own folder.  All strings are NUL-terminated past their
   length.  */
vh_code_t settings_load (const char *path, settings_t **out,
                         conf_errors_t *errors);
void settings_destroy (settings_t *settings);

/* Append the bytes of the file PATH to OUT, somewhat past the bound of a
   configuration's size at most.  Return VH_E_IO when it cannot be read.  */
vh_code_t conf_read_file (const char *path, buf_t *out);

#endif
