/* The routes, services and teams of one accepted configuration.  A catalog
   is filled once and then never changes; requests keep the one that they
   started under.  */

#ifndef GATEWAY_CATALOG_H
#define GATEWAY_CATALOG_H

#include "base/code.h"
#include "base/str.h"

typedef struct catalog catalog_t;

typedef enum
{
  ROUTE_IDEMPOTENT,   /* May run more than once.  */
  ROUTE_AT_MOST_ONCE, /* Runs at most once.  */
  ROUTE_STREAM /* An event stream; as ROUTE_AT_MOST_ONCE unless is_resumable.
                */
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
  double cost; /* For 1,000 tokens generated; tokens read count a quarter.  */
} service_model_t;

typedef struct
{
  str_t name;
  str_t health_path;
  uint32_t connections_max; /* At one instance, from all callers.  */
  double cold_start_s;      /* How long a fresh instance stays cold.  */
  double cold_per_s;        /* Requests a second a cold one bears; 0: any.  */
  bool is_engine;
  uint64_t kv_cache_tokens; /* Memory of an engine; 0: not known.  */
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
  str_t prefix; /* Begins and ends with a slash.  */
  route_kind_t kind;
  uint64_t timeout_ms;   /* Longest time a caller is kept waiting.  */
  uint64_t objective_ms; /* An answer, or its first event, is due.  */
  uint64_t pause_ms;     /* Longest pause between events that is on time.  */
  uint32_t attempts_max; /* Upstreams that one submission may run on.  */
  uint32_t priority;     /* 0 is the highest.  */
  bool is_public;        /* Needs no key.  */
  bool is_resumable;
  route_split_t splits[ROUTE_SPLITS_MAX];
  size_t split_count;
  str_t models[ROUTE_MODELS_MAX]; /* To choose from, smallest first.  */
  size_t model_count;
} route_t;

typedef struct
{
  str_t name;
  uint32_t priority;
  bool has_priority; /* Goes before that of the route.  */
} team_t;

typedef struct
{
  uint64_t header_bytes;
  uint64_t body_bytes;
  uint64_t header_ms;
  uint64_t idle_ms;
} client_limits_t;

/* REVISION grows with each configuration.  The catalog starts with one
   reference.  */
catalog_t *catalog_create (uint64_t revision);
void catalog_ref (catalog_t *catalog);
/* Drop a reference; NULL is accepted.  */
void catalog_unref (catalog_t *catalog);

/* Fill: everything is copied.  Return VH_E_BAD_CONFIG for a second one of the
   same name, prefix or key, with nothing added.  */
vh_code_t catalog_add_service (catalog_t *catalog, const service_t *service);
vh_code_t catalog_add_route (catalog_t *catalog, const route_t *route);
vh_code_t catalog_add_team (catalog_t *catalog, const team_t *team,
                            const str_t *keys, size_t key_count);
void catalog_set_limits (catalog_t *catalog, const client_limits_t *limits);

uint64_t catalog_revision (const catalog_t *catalog);
const client_limits_t *catalog_limits (const catalog_t *catalog);
const service_t *catalog_find_service (const catalog_t *catalog, str_t name);
/* The route of HOST (a port is ignored) with the longest prefix that begins
   PATH, or NULL.  */
const route_t *catalog_match_route (const catalog_t *catalog, str_t host,
                                    str_t path);
/* Tell whether any team is known: without one no key is needed.  */
bool catalog_has_teams (const catalog_t *catalog);
/* The team that holds KEY, or NULL.  */
const team_t *catalog_find_team (const catalog_t *catalog, str_t key);

#endif
