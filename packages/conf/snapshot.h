/* Compiled form of one revision of the configuration: the teams, plans,
   models, versions, services, zones, instances, roll-outs and objectives that
   operators define.  A snapshot is immutable and reference counted; a lookup
   costs one hash or one bit test.  The reference count is not atomic, so only
   the thread of the event loop may use a snapshot.  */

#ifndef CONF_SNAPSHOT_H
#define CONF_SNAPSHOT_H

#include "base/code.h"
#include "base/str.h"
#include "conf/settings.h"

typedef struct snapshot snapshot_t;

typedef enum
{
  VERSION_SERVING,
  VERSION_ROLLING_OUT,
  VERSION_WITHDRAWN
} version_state_t;

typedef enum
{
  PREFER_COST,
  PREFER_LATENCY
} prefer_t;

typedef enum
{
  ROLLOUT_RUNNING,
  ROLLOUT_PAUSED,
  ROLLOUT_ABORTED
} rollout_state_t;

typedef struct model model_t;
typedef struct version version_t;
typedef struct plan plan_t;

/* [team NAME] */
typedef struct
{
  str_t name;
  uint32_t index; /* From 0 without gaps, in the order of the text.  */
  const plan_t *plan;
  uint32_t weight; /* Weight of the team's share of capacity under overload; at
                      least 1.  */
} team_t;

/* [plan NAME] */
struct plan
{
  str_t name;
  uint32_t index;
  double quality_target; /* Rating that responses should reach, 0 to 1.  */
  prefer_t prefer;
  uint64_t deadline_ms; /* Default deadline of requests; 0: the default from
                           the process's settings.  */
};

/* [model NAME] */
struct model
{
  str_t name;
  uint32_t index;
  str_t task;           /* Task class for which the model cascade may select
                           this model.  */
  double cost;          /* Price units per 1,000 tokens.  */
  double quality_prior; /* Expected rating before any was observed, 0 to 1.  */
  const version_t *const *versions;
  size_t version_count;
};

/* [version MODEL@VERSION] */
struct version
{
  str_t name; /* MODEL@VERSION */
  uint32_t index;
  const model_t *model;
  version_state_t state;
  double cost; /* Price units per 1,000 tokens; the model's if not set.  */
};

/* [service NAME] */
typedef struct
{
  str_t name;
  uint32_t index;
  bool idempotent;
  uint64_t timeout_ms; /* 0: only the request's deadline applies.  */
} service_t;

/* [rollout MODEL@VERSION] */
typedef struct
{
  const version_t *version;
  const version_t *replaced_version;
  rollout_state_t state;
  /* Share of requests at which the roll-out is complete.  */
  uint32_t share_max_percent;
} rollout_t;

/* [objective NAME]: a service-level objective of one team or of all.  */
typedef struct
{
  str_t name;
  str_t team;                 /* Empty for all teams.  */
  double answered;            /* Required share of answered requests, such as
                                 0.999; 0: not set.  */
  uint64_t first_token_ms;    /* Time to the first token; 0: not set.  */
  uint64_t between_tokens_ms; /* Time between tokens; 0: not set.  */
  double within;              /* Share of requests that must meet the two times
                                 above.  */
  double quality;             /* Required mean rating; 0: not set.  */
  double cost;                /* Budget: mean price units per request; 0: not
                                 set.  */
} objective_t;

/* Compile TEXT as revision REVISION.  Return VH_OK and set *OUT to a snapshot
   with one reference, or return VH_E_BAD_CONFIG, add to ERRORS and set *OUT to
   NULL.  */
vh_code_t snapshot_parse (str_t text, uint64_t revision, snapshot_t **out,
                          conf_errors_t *errors);
/* Add a reference and return SNAPSHOT.  */
snapshot_t *snapshot_ref (snapshot_t *snapshot);
/* Release a reference, and free SNAPSHOT with the last one.  SNAPSHOT may be
   NULL.  */
void snapshot_unref (snapshot_t *snapshot);

uint64_t snapshot_revision (const snapshot_t *snapshot);
/* Return the text from which SNAPSHOT was compiled, byte for byte.  */
str_t snapshot_text (const snapshot_t *snapshot);

/* Return the team that has a key with the SHA-256 digest KEY_SHA256 (32
   bytes), or NULL.  Digests are compared in constant time.  */
const team_t *snapshot_find_team_by_key (const snapshot_t *snapshot,
                                         const uint8_t *key_sha256);
/* Return the team, model, version or service of this name, or NULL.  */
const team_t *snapshot_find_team (const snapshot_t *snapshot, str_t name);
const model_t *snapshot_find_model (const snapshot_t *snapshot, str_t name);
/* NAME has the form MODEL@VERSION.  */
const version_t *snapshot_find_version (const snapshot_t *snapshot,
                                        str_t name);
const service_t *snapshot_find_service (const snapshot_t *snapshot,
                                        str_t name);

/* Return whether TEAM's plan allows VERSION and VERSION is not withdrawn. TEAM
   and VERSION must belong to SNAPSHOT.  */
bool snapshot_allows (const snapshot_t *snapshot, const team_t *team,
                      const version_t *version);
/* Return whether TEAM's plan allows SERVICE.  TEAM and SERVICE must belong to
   SNAPSHOT.  */
bool snapshot_allows_service (const snapshot_t *snapshot, const team_t *team,
                              const service_t *service);

/* Return whether a zone or instance may receive requests: true unless the text
   sets its state to `out'.  */
bool snapshot_is_zone_enabled (const snapshot_t *snapshot, str_t zone);
bool snapshot_is_instance_enabled (const snapshot_t *snapshot, str_t instance);

/* Return entry INDEX in the order of the text, or NULL past the last one.  */
const team_t *snapshot_team_at (const snapshot_t *snapshot, size_t index);
const model_t *snapshot_model_at (const snapshot_t *snapshot, size_t index);
const version_t *snapshot_version_at (const snapshot_t *snapshot,
                                      size_t index);
const service_t *snapshot_service_at (const snapshot_t *snapshot,
                                      size_t index);
const rollout_t *snapshot_rollout_at (const snapshot_t *snapshot,
                                      size_t index);
const objective_t *snapshot_objective_at (const snapshot_t *snapshot,
                                          size_t index);
/* Return the name of zone INDEX in the order of the text, or STR_NULL past the
   last one.  */
str_t snapshot_zone_at (const snapshot_t *snapshot, size_t index);
/* Return the region of ZONE, or STR_NULL if the text sets none.  */
str_t snapshot_zone_region (const snapshot_t *snapshot, str_t zone);

/* Append to OUT a delta from OLD_TEXT to NEW_TEXT.  */
void conf_delta_make (str_t old_text, str_t new_text, buf_t *out);
/* Apply DELTA to OLD_TEXT and append the new text to OUT.  Return VH_OK, or
   VH_E_PROTOCOL with OUT unchanged if DELTA is malformed or was made for
   another text.  */
vh_code_t conf_delta_apply (str_t old_text, str_t delta, buf_t *out);

/* Append to OUT a copy of TEXT in which KEY of [SECTION] has the value VALUE.
   A missing section or key is added; all other bytes, comments included, are
   unchanged.  STR_NULL as VALUE removes the key.  */
void conf_set_key (str_t text, str_t section, str_t key, str_t value,
                   buf_t *out);

#endif
