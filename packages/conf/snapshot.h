/* One revision of the operators' lists, compiled: immutable, reference
   counted, with lookups that cost a hash or a bit test.  A snapshot is used
   by the loop's own thread only.  */

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
  uint32_t index; /* Dense, in order of appearance.  */
  const plan_t *plan;
  uint32_t weight; /* Share when the fleet is full; at least 1.  */
} team_t;

/* [plan NAME] */
struct plan
{
  str_t name;
  uint32_t index;
  double quality_target; /* 0 to 1.  */
  prefer_t prefer;
  uint64_t deadline_ms; /* Default for its teams; 0: the process's.  */
};

/* [model NAME] */
struct model
{
  str_t name;
  uint32_t index;
  str_t task;           /* Task class the cascade resolves.  */
  double cost;          /* Price units for 1,000 tokens.  */
  double quality_prior; /* Expected rating before evidence, 0 to 1.  */
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
  double cost; /* The model's unless set.  */
};

/* [service NAME] */
typedef struct
{
  str_t name;
  uint32_t index;
  bool idempotent;
  uint64_t timeout_ms; /* 0: the request's deadline alone.  */
} service_t;

/* [rollout MODEL@VERSION] */
typedef struct
{
  const version_t *version;
  const version_t *over;
  rollout_state_t state;
  uint32_t share_max; /* Percent at which it counts as complete.  */
} rollout_t;

/* [objective NAME]: a service-level objective over a team or everyone.  */
typedef struct
{
  str_t name;
  str_t team;                 /* Empty: all.  */
  double answered;            /* Share, such as 0.999; 0: none.  */
  uint64_t first_token_ms;    /* 0: none.  */
  uint64_t between_tokens_ms; /* 0: none.  */
  double within;              /* Share that must meet the two above.  */
  double quality;             /* Mean rating; 0: none.  */
  double cost;                /* Price units a request; 0: none.  */
} objective_t;

/* Compile TEXT as revision REVISION.  Return VH_OK and *OUT with one
   reference, or VH_E_BAD_CONFIG with ERRORS filled and *OUT NULL.  */
vh_code_t snapshot_parse (str_t text, uint64_t revision, snapshot_t **out,
                          conf_errors_t *errors);
snapshot_t *snapshot_ref (snapshot_t *snapshot);
/* Drop a reference; NULL is accepted.  */
void snapshot_unref (snapshot_t *snapshot);

uint64_t snapshot_revision (const snapshot_t *snapshot);
/* The text it was compiled from, byte for byte.  */
str_t snapshot_text (const snapshot_t *snapshot);

/* Return the team whose key has SHA-256 digest KEY_SHA256 (32 bytes), or
   NULL.  Digests are compared in constant time.  */
const team_t *snapshot_find_team_by_key (const snapshot_t *snapshot,
                                         const uint8_t *key_sha256);
const team_t *snapshot_find_team (const snapshot_t *snapshot, str_t name);
const model_t *snapshot_find_model (const snapshot_t *snapshot, str_t name);
/* NAME is MODEL@VERSION.  */
const version_t *snapshot_find_version (const snapshot_t *snapshot,
                                        str_t name);
const service_t *snapshot_find_service (const snapshot_t *snapshot,
                                        str_t name);

/* Tell whether TEAM's plan allows VERSION and it is not withdrawn.  */
bool snapshot_allows (const snapshot_t *snapshot, const team_t *team,
                      const version_t *version);
bool snapshot_allows_service (const snapshot_t *snapshot, const team_t *team,
                              const service_t *service);

/* Zones and instances not named in the text are in.  */
bool snapshot_is_zone_enabled (const snapshot_t *snapshot, str_t zone);
bool snapshot_is_instance_enabled (const snapshot_t *snapshot, str_t instance);

/* Step through the lists: entry INDEX, or NULL past the end.  */
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
/* Name of zone INDEX of the text, or STR_NULL past the end.  */
str_t snapshot_zone_at (const snapshot_t *snapshot, size_t index);
/* Region of ZONE, empty when the text names none.  */
str_t snapshot_zone_region (const snapshot_t *snapshot, str_t zone);

/* Append to OUT the delta that turns OLD_TEXT into NEW_TEXT.  */
void conf_delta_make (str_t old_text, str_t new_text, buf_t *out);
/* Append to OUT the text that DELTA makes of OLD_TEXT.  Return VH_OK, or
   VH_E_PROTOCOL when DELTA is malformed or does not fit OLD_TEXT.  */
vh_code_t conf_delta_apply (str_t old_text, str_t delta, buf_t *out);

/* Append to OUT a copy of TEXT in which KEY of [SECTION] reads VALUE; the
   section or key is added at need, all else (comments too) stays.  A VALUE
   of STR_NULL removes the key.  */
void conf_set_key (str_t text, str_t section, str_t key, str_t value,
                   buf_t *out);

#endif
