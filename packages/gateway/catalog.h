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
  ROUTE_IDEMPOTENT,   /* Requests may be run more than once.  */
  ROUTE_AT_MOST_ONCE, /* Requests are run at most once.  */
  /* Responses are event streams.  Requests are run at most once, unless the
     route is resumable.  */
  ROUTE_STREAM
} route_kind_t;

enum
{
  ROUTE_SERVICES_MAX = 8,
  ROUTE_MODELS_MAX = 8,
  SERVICE_MODELS_MAX = 32,
  CATALOG_CELLS_MAX = 16
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
  /* Maximum number of connections to one instance, from all gateways
     together.  */
  uint32_t connections_max;
  /* Time for which a new instance is treated as cold, in seconds.  */
  double cold_start_s;
  /* Requests a second that a cold instance can handle; 0: no limit.  */
  double cold_requests_per_s;
  bool is_engine; /* Whether the instances are inference engines.  */
  /* Capacity of an engine's KV cache, in tokens; 0: unknown.  */
  uint64_t kv_cache_tokens;
  service_model_t models[SERVICE_MODELS_MAX];
  size_t model_count;
} service_t;

typedef struct
{
  str_t service;
  uint32_t weight;
} weighted_service_t;

typedef struct
{
  str_t name;
  str_t host;
  str_t path_prefix; /* Path prefix; begins and ends with a slash.  */
  route_kind_t kind;
  uint64_t timeout_ms; /* Maximum time from the arrival of a request to the end
                          of its response.  */
  /* Latency objective of a response, or of the first event of a stream.  */
  uint64_t objective_ms;
  /* Latency objective of each further event of a stream: maximum time since
     the event before.  */
  uint64_t event_gap_max_ms;
  uint32_t possible_runs_max; /* Maximum number of upstream sends of a request
                            that may have run the request.  */
  uint32_t priority;          /* Priority of requests on the route; 0 is the
                                 highest.  */
  bool is_public;             /* Whether clients need no API key.  */
  /* Whether an interrupted stream may be resumed at another upstream.  */
  bool is_resumable;
  weighted_service_t services[ROUTE_SERVICES_MAX];
  size_t service_count;
  /* Names of the models that may run a request, smallest first.  */
  str_t models[ROUTE_MODELS_MAX];
  size_t model_count;
  /* Group of routes of the service in which a roll-out counts the answers; set
     by catalog_group_routes.  */
  uint32_t trial_cell;
} route_t;

typedef struct
{
  str_t name;
  uint32_t priority;
  bool has_priority; /* Whether PRIORITY overrides that of the route.  */
} team_t;

/* Limits on the requests of clients, as configured; 0: none is.  */
typedef struct
{
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
  /* Time limit for the arrival of a request's headers.  */
  uint64_t header_timeout_ms;
  /* Time after which an idle connection is closed.  Not enforced.  */
  uint64_t idle_timeout_ms;
} client_limits_t;

/* Create an empty catalog, to which the caller owns the only reference.
   REVISION is higher for each newer configuration.  */
catalog_t *catalog_create (uint64_t revision);
void catalog_ref (catalog_t *catalog);
/* Drop a reference to CATALOG, which may be NULL.  */
void catalog_unref (catalog_t *catalog);

/* Add a copy of SERVICE to a catalog that is being filled.  Return
   VH_E_BAD_CONFIG if CATALOG already has a service of the same name.  */
vh_code_t catalog_add_service (catalog_t *catalog, const service_t *service);
/* Add a copy of ROUTE to a catalog that is being filled.  Return
   VH_E_BAD_CONFIG if CATALOG already has a route with the same host and
   prefix.  */
vh_code_t catalog_add_route (catalog_t *catalog, const route_t *route);
/* Add a copy of TEAM, which holds the API keys KEYS, to a catalog that is
   being filled.  Return VH_E_BAD_CONFIG and add nothing if CATALOG already has
   a team of the same name or a team that holds one of KEYS.  */
vh_code_t catalog_add_team (catalog_t *catalog, const team_t *team,
                            const str_t *keys, size_t key_count);
/* State that the configuration has no teams and clients need no API key.
   Without this call they do, also while the catalog has no team.  */
void catalog_set_open (catalog_t *catalog);
void catalog_set_limits (catalog_t *catalog, const client_limits_t *limits);
/* Spread the routes of each service evenly over CELL_COUNT groups, at most
   CATALOG_CELLS_MAX, and set their trial_cell.  The groups follow from the
   names of the routes alone, so that all gateways have the same.  A hash of
   the name would often put most routes of a service into one group, in which
   the answers of the others hide the failures of one.  */
void catalog_group_routes (catalog_t *catalog, uint32_t cell_count);

uint64_t catalog_revision (const catalog_t *catalog);
const client_limits_t *catalog_limits (const catalog_t *catalog);
/* Return the service NAME, or NULL if there is none.  */
const service_t *catalog_find_service (const catalog_t *catalog, str_t name);
/* Return the route of HOST with the longest prefix of PATH, or NULL if none
   matches.  A port in HOST is ignored.  */
const route_t *catalog_match_route (const catalog_t *catalog, str_t host,
                                    str_t path);
/* Return whether clients need the API key of a team on routes that are not
   public.  */
bool catalog_needs_key (const catalog_t *catalog);
/* Return the team that holds the API key KEY, or NULL if there is none.  */
const team_t *catalog_find_team (const catalog_t *catalog, str_t key);

#endif
