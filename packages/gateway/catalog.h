/* The routes, services and teams of one accepted configuration.  A catalog is
   filled once and not changed afterwards.  A request holds a reference to the
   catalog under which it started.  */

#ifndef GATEWAY_CATALOG_H
#define GATEWAY_CATALOG_H

#include "base/code.h"
#include "base/str.h"

typedef struct catalog catalog_t;

typedef enum
{
  ROUTE_IDEMPOTENT,   /* Requests may be executed more than once.  */
  ROUTE_AT_MOST_ONCE, /* Requests are executed at most once.  */
  /* Answers are event streams.  Requests are executed at most once, unless
     streams of the route can be resumed.  */
  ROUTE_STREAM
} route_kind_t;

enum
{
  ROUTE_SPLITS_MAX = 8,
  ROUTE_MODELS_MAX = 8,
  SERVICE_MODELS_MAX = 32
};

typedef struct
{
  str_t name;
  double cost; /* Price of 1,000 output tokens; an input token costs a quarter
                  of an output token.  */
} service_model_t;

typedef struct
{
  str_t name;
  str_t health_path;
  /* Connections allowed to one instance, from all gateways together.  */
  uint32_t connections_max;
  /* Time for which a new instance counts as cold.  */
  double cold_start_s;
  /* Requests a second that a cold instance can take; 0: no bound.  */
  double cold_requests_per_s;
  bool is_engine; /* Whether the instances are inference engines.  */
  /* Capacity of an engine's KV cache; 0: unknown.  */
  uint64_t kv_cache_tokens;
  service_model_t models[SERVICE_MODELS_MAX];
  size_t model_count;
} service_t;

typedef struct
{
  str_t service;
  uint32_t weight;
} route_split_t;

typedef struct
{
  str_t name;
  str_t host;
  str_t prefix; /* Path prefix; begins and ends with a slash.  */
  route_kind_t kind;
  uint64_t timeout_ms; /* Longest time for which a client may wait.  */
  /* Latency objective of the answer, or of the first event of a stream.  */
  uint64_t objective_ms;
  /* Longest time between two events of a stream that meets the objective.  */
  uint64_t event_gap_max_ms;
  uint32_t attempts_max; /* Upstreams on which one request may be executed.  */
  uint32_t priority;     /* 0 is the highest.  */
  bool is_public;        /* Whether clients need no key.  */
  /* Whether a broken stream may go on at another upstream.  */
  bool is_resumable;
  route_split_t splits[ROUTE_SPLITS_MAX];
  size_t split_count;
  /* Models to choose from, in ascending order of size.  */
  str_t models[ROUTE_MODELS_MAX];
  size_t model_count;
} route_t;

typedef struct
{
  str_t name;
  uint32_t priority;
  bool has_priority; /* Whether PRIORITY overrides that of the route.  */
} team_t;

/* Limits on the requests of clients.  */
typedef struct
{
  uint64_t header_bytes_max;
  uint64_t body_bytes;
  /* Time in which a request's headers must arrive.  */
  uint64_t header_timeout_ms;
  /* Time after which an idle connection is closed.  */
  uint64_t idle_timeout_ms;
} client_limits_t;

/* REVISION grows with each configuration.  The caller owns the only reference
   to the result.  */
catalog_t *catalog_create (uint64_t revision);
void catalog_ref (catalog_t *catalog);
/* Drop a reference; NULL is accepted.  */
void catalog_unref (catalog_t *catalog);

/* Add to a catalog that is being filled; arguments are copied.  Return
   VH_E_BAD_CONFIG and add nothing when the name, the prefix at this host or a
   key is already present.  */
vh_code_t catalog_add_service (catalog_t *catalog, const service_t *service);
vh_code_t catalog_add_route (catalog_t *catalog, const route_t *route);
vh_code_t catalog_add_team (catalog_t *catalog, const team_t *team,
                            const str_t *keys, size_t key_count);
void catalog_set_limits (catalog_t *catalog, const client_limits_t *limits);

uint64_t catalog_revision (const catalog_t *catalog);
const client_limits_t *catalog_limits (const catalog_t *catalog);
/* The service NAME, or NULL.  */
const service_t *catalog_find_service (const catalog_t *catalog, str_t name);
/* The route of HOST with the longest prefix of PATH, or NULL.  A port in HOST
   is ignored.  */
const route_t *catalog_match_route (const catalog_t *catalog, str_t host,
                                    str_t path);
/* Return whether the catalog has teams; without any, clients need no key.  */
bool catalog_has_teams (const catalog_t *catalog);
/* The team that holds KEY, or NULL.  */
const team_t *catalog_find_team (const catalog_t *catalog, str_t key);

#endif
