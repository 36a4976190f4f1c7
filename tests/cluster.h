/* A small fleet of real processes: platform, entries, and engines and
   services each with its sidecar, and fault proxies before the sidecars and
   the platform.  For integration tests, the mixed run and benchmarks.  */

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
  unsigned small_engines; /* Serve draft-small@3 and @4.  */
  unsigned large_engines; /* Serve draft-large@7.  */
  unsigned services;      /* Not idempotent: CLUSTER_SERVICE.  */
  bool proxies;
  bool one_zone;              /* All in the first zone.  */
  bool minimal;               /* Engines with nothing but completions.  */
  const char *engine_args[8]; /* Up to NULL; after the cluster's own.  */
  const char *service_arg;    /* NULL: none.  */
  const char *entry_keys;     /* Lines for [entry]; NULL: none.  */
  const char *sidecar_keys;   /* Lines for [sidecar]; NULL: none.  */
  uint64_t drain_grace_ms;    /* 0: 300.  */
} cluster_options_t;

/* An entry.  */
typedef struct
{
  char name[24];
  char zone[24];
  proc_t *proc;
  uint16_t port;
  uint16_t admin;
  uint16_t rpc;
} cluster_entry_t;

/* An upstream, its sidecar and the proxy between that and the entries.  */
typedef struct
{
  char name[24]; /* Of the instance.  */
  char zone[24];
  bool is_service;
  const char *serves;
  proc_t *proc;
  uint16_t port;
  proc_t *sidecar;
  uint16_t admin;
  uint16_t rpc;
  proc_t *proxy; /* NULL without proxies.  */
  uint16_t proxy_port;
  uint16_t proxy_control;
} cluster_upstream_t;

typedef struct
{
  cluster_options_t options;
  harness_t *harness;
  const char *host;
  proc_t *platform;
  uint16_t platform_port;
  proc_t *platform_proxy;
  uint16_t platform_proxy_port; /* The platform's own without proxies.  */
  uint16_t platform_proxy_control;
  cluster_entry_t entries[CLUSTER_ENTRIES_MAX];
  size_t entry_count;
  cluster_upstream_t upstreams[CLUSTER_UPSTREAMS_MAX];
  size_t upstream_count;
  buf_t lists; /* Configuration put in force last, NUL-terminated.  */
  uint64_t revision;
} cluster_t;

/* Start the fleet, put the first configuration in force and wait until all
   take work.  Return NULL, with a word on standard error, when that did not
   come about.  */
cluster_t *cluster_create (const cluster_options_t *options);
/* End all.  When FAILED, print what the processes said last.  */
void cluster_destroy (cluster_t *cluster, bool failed);

/* Put the lists TEXT in force through ENTRY as of revision IF_REVISION;
   return the HTTP status and, on 200, set *REVISION.  */
int cluster_apply (cluster_t *cluster, size_t entry, const char *text,
                   uint64_t if_revision, uint64_t *revision);
/* Change KEY of [SECTION] in the lists in force, trying each entry, and set
   cluster->revision.  Return false when no entry took it.  */
bool cluster_set_configuration_key (cluster_t *cluster, const char *section,
                                    const char *key, const char *value);
/* Revision in force at the process whose operators' port is ADMIN; 0 when it
   does not say.  */
uint64_t cluster_read_revision (const cluster_t *cluster, uint16_t admin);
/* Tell whether every process that runs has REVISION or a later one.  */
bool cluster_has_revision (cluster_t *cluster, uint64_t revision);
/* Tell whether the process at ADMIN says that it takes work.  */
bool cluster_ready (const cluster_t *cluster, uint16_t admin);

/* Set the state of an instance (live, leaving or gone) in the platform's
   list.  */
void cluster_list_entry (cluster_t *cluster, const cluster_entry_t *entry,
                         const char *state);
void cluster_set_upstream_state (cluster_t *cluster,
                                 const cluster_upstream_t *upstream,
                                 const char *state);
/* Set faults of the platform, or of a proxy by its control port, or controls
   of an upstream.  Return false when it did not answer.  */
bool cluster_post_json (const cluster_t *cluster, uint16_t port,
                        const char *path, const char *body);

/* Member NAME of the upstream's /stats, or of its "runs".  */
json_int_t cluster_read_stat (const cluster_t *cluster, uint16_t port,
                              const char *name);
json_int_t cluster_runs (const cluster_t *cluster, uint16_t port,
                         const char *request_id);

/* One chat call through ENTRY, read to its end for WAIT_MS.  HEADERS may be
   NULL.  */
rawhttp_t cluster_chat (const cluster_t *cluster, size_t entry,
                        const char *headers, const char *body,
                        uint64_t wait_ms);
/* Value of counter or gauge NAME, summed over its labels, at ADMIN; -1 when
   it is not there.  */
double cluster_read_metric (const cluster_t *cluster, uint16_t admin,
                            const char *name);

#endif
