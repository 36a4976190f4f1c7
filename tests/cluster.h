/* A small deployment of real processes for integration tests, the chaos test
   and benchmarks: a platform, entries, and engines and services with one
   sidecar each.  Optional fault-injecting proxies stand between the entries
   and the sidecars, and before the platform.  */

#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

#include "harness.h"
#include "rawhttp.h"

enum
{
  CLUSTER_ENTRIES_MAX = 4,
  CLUSTER_UPSTREAMS_MAX = 32,
  CLUSTER_ZONES = 3
};

#define CLUSTER_API_KEY "coast-office-key"
#define CLUSTER_OTHER_API_KEY "mosque-fund-key"
#define CLUSTER_SERVICE "disbursements"

typedef struct
{
  unsigned entries;
  unsigned small_engines; /* Engines of draft-small@3 and draft-small@4.  */
  unsigned large_engines; /* Engines of draft-large@7.  */
  unsigned services;      /* Instances of CLUSTER_SERVICE, not idempotent.  */
  bool with_proxies;      /* Start fault-injecting proxies.  */
  bool single_zone;       /* Place all instances in the first zone.  */
  bool minimal_engines;   /* Engines without optional features.  */
  const char *engine_args[8];   /* Extra arguments of engines, up to NULL.  */
  const char *service_arg;      /* Extra argument of services; NULL: none.  */
  const char *entry_settings;   /* Settings of [entry]; NULL: none.  */
  const char *sidecar_settings; /* Settings of [sidecar]; NULL: none.  */
  uint64_t drain_grace_ms;      /* 0: the default of 300 ms.  */
} cluster_options_t;

typedef struct
{
  char name[24];
  char zone[24];
  proc_t *proc;
  uint16_t port;
  uint16_t admin_port;
  uint16_t rpc_port;
} cluster_entry_t;

/* An upstream, its sidecar, and the proxy between the entries and the
   sidecar.  */
typedef struct
{
  char name[24]; /* Name of the instance.  */
  char zone[24];
  bool is_service;
  const char *serves; /* List of versions, or the name of the service.  */
  proc_t *proc;
  uint16_t port;
  proc_t *sidecar;
  uint16_t admin_port;
  uint16_t rpc_port;
  proc_t *proxy; /* NULL without proxies.  */
  uint16_t proxy_port;
  uint16_t proxy_control_port;
} cluster_upstream_t;

typedef struct
{
  cluster_options_t options;
  harness_t *harness;
  const char *host;
  proc_t *platform;
  uint16_t platform_port;
  proc_t *platform_proxy;
  uint16_t platform_proxy_port; /* Equals platform_port without proxies.  */
  uint16_t platform_proxy_control_port;
  cluster_entry_t entries[CLUSTER_ENTRIES_MAX];
  size_t entry_count;
  cluster_upstream_t upstreams[CLUSTER_UPSTREAMS_MAX];
  size_t upstream_count;
  buf_t configuration; /* Configuration applied last, NUL-terminated.  */
  uint64_t revision;   /* Revision of the configuration applied last.  */
} cluster_t;

/* Start all processes, apply the initial configuration and wait until every
   entry and sidecar is ready.  Return NULL, after a message on standard error,
   when a process does not start or is not ready in time.  */
cluster_t *cluster_create (const cluster_options_t *options);
/* Kill all processes and release CLUSTER.  When FAILED, print the last bytes
   of each process's standard error.  CLUSTER may be NULL.  */
void cluster_destroy (cluster_t *cluster, bool failed);

/* Apply the configuration TEXT through entry number ENTRY if the current
   revision is IF_REVISION.  Return the HTTP status; on 200, set *REVISION to
   the new revision.  */
int cluster_apply_configuration (cluster_t *cluster, size_t entry,
                                 const char *text, uint64_t if_revision,
                                 uint64_t *revision);
/* Set KEY of [SECTION] to VALUE in the current configuration, trying each
   entry until one accepts the change, and set cluster->revision.  Return
   whether an entry accepted the change.  */
bool cluster_set_configuration_key (cluster_t *cluster, const char *section,
                                    const char *key, const char *value);
/* Return the configuration revision that the process with admin port ADMIN
   uses, or 0 when the process does not report a revision.  */
uint64_t cluster_read_revision (const cluster_t *cluster, uint16_t admin);
/* Return whether every running entry and sidecar uses configuration revision
   REVISION or a later one.  */
bool cluster_has_revision (cluster_t *cluster, uint64_t revision);
/* Return whether the process with admin port ADMIN reports that it is
   ready.  */
bool cluster_is_process_ready (const cluster_t *cluster, uint16_t admin);

/* Set the state of an instance (live, leaving or gone) in the platform's
   instance list.  */
void cluster_set_entry_state (cluster_t *cluster, const cluster_entry_t *entry,
                              const char *state);
void cluster_set_upstream_state (cluster_t *cluster,
                                 const cluster_upstream_t *upstream,
                                 const char *state);
/* POST the JSON text BODY to PATH at PORT: faults of the platform or of a
   proxy's control port, or controls of an upstream.  Return whether the
   response status was 200.  */
bool cluster_post_json (const cluster_t *cluster, uint16_t port,
                        const char *path, const char *body);

/* Return member NAME of the /stats of the upstream at PORT, or 0 when it is
   missing.  */
json_int_t cluster_read_stat (const cluster_t *cluster, uint16_t port,
                              const char *name);
/* Return how often the service at PORT ran the request REQUEST_ID.  */
json_int_t cluster_read_run_count (const cluster_t *cluster, uint16_t port,
                                   const char *request_id);

/* Send a chat request through entry number ENTRY and read the response for at
   most WAIT_MS.  HEADERS are complete lines with CRLF, or NULL.  */
rawhttp_t cluster_chat (const cluster_t *cluster, size_t entry,
                        const char *headers, const char *body,
                        uint64_t wait_ms);
/* Return the value of counter or gauge NAME, summed over its label sets, at
   admin port ADMIN, or -1 when the process does not export NAME.  */
double cluster_read_metric (const cluster_t *cluster, uint16_t admin,
                            const char *name);

#endif
