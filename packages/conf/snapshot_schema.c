#include "base/mem.h"
#include "conf/snapshot_impl.h"

static const char *const version_state_names[]
    = { "serving", "rolling-out", "withdrawn", NULL };
static const char *const preference_names[] = { "cost", "latency", NULL };
static const char *const rollout_state_names[]
    = { "running", "paused", "aborted", NULL };
static const char *const out_in_names[] = { "out", "in", NULL };
static const char *const no_yes_names[] = { "no", "yes", NULL };

#define DAY_MS 86400000.0
#define COST_MAX 1e9

/* X (key, type, is_required, field, min, max, value_names) for each key.  */
#define TEAM_KEYS(X)                                                          \
  X ("plan", VALUE_REF, true, plan, 0, 0, NULL)                               \
  X ("key-sha256", VALUE_LIST, true, keys, 0, 0, NULL)                        \
  X ("weight", VALUE_U32, false, pub.weight, 1, 1000, NULL)

#define PLAN_KEYS(X)                                                          \
  X ("allow", VALUE_LIST, true, allow, 0, 0, NULL)                            \
  X ("quality-target", VALUE_DOUBLE, false, pub.quality_target, 0, 1, NULL)   \
  X ("prefer", VALUE_ENUM, false, pub.prefer, 0, 0, preference_names)         \
  X ("deadline-ms", VALUE_U64, false, pub.deadline_ms, 1, DAY_MS, NULL)

#define MODEL_KEYS(X)                                                         \
  X ("task", VALUE_NAME, false, pub.task, 0, 0, NULL)                         \
  X ("cost", VALUE_DOUBLE, false, pub.cost, 0, COST_MAX, NULL)                \
  X ("quality-prior", VALUE_DOUBLE, false, pub.quality_prior, 0, 1, NULL)

#define VERSION_KEYS(X)                                                       \
  X ("state", VALUE_ENUM, false, pub.state, 0, 0, version_state_names)        \
  X ("cost", VALUE_DOUBLE, false, pub.cost, 0, COST_MAX, NULL)

#define SERVICE_KEYS(X)                                                       \
  X ("idempotent", VALUE_BOOL, false, pub.idempotent, 0, 0, no_yes_names)     \
  X ("timeout-ms", VALUE_U64, false, pub.timeout_ms, 1, DAY_MS, NULL)

#define ZONE_KEYS(X)                                                          \
  X ("state", VALUE_BOOL, false, is_enabled, 0, 0, out_in_names)              \
  X ("region", VALUE_NAME, false, region, 0, 0, NULL)

#define INSTANCE_KEYS(X)                                                      \
  X ("state", VALUE_BOOL, false, is_enabled, 0, 0, out_in_names)

#define ROLLOUT_KEYS(X)                                                       \
  X ("over", VALUE_REF, true, over, 0, 0, NULL)                               \
  X ("state", VALUE_ENUM, false, pub.state, 0, 0, rollout_state_names)        \
  X ("share-max", VALUE_U32, false, pub.share_max_percent, 1, 100, NULL)

#define OBJECTIVE_KEYS(X)                                                     \
  X ("team", VALUE_REF, false, team, 0, 0, NULL)                              \
  X ("answered", VALUE_DOUBLE, false, pub.answered, 0, 1, NULL)               \
  X ("first-token-ms", VALUE_U64, false, pub.first_token_ms, 1, DAY_MS, NULL) \
  X ("between-tokens-ms", VALUE_U64, false, pub.between_tokens_ms, 1, DAY_MS, \
     NULL)                                                                    \
  X ("within", VALUE_DOUBLE, false, pub.within, 0, 1, NULL)                   \
  X ("quality", VALUE_DOUBLE, false, pub.quality, 0, 1, NULL)                 \
  X ("cost", VALUE_DOUBLE, false, pub.cost, 0, COST_MAX, NULL)

static void *
begin_team (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  snapshot_t *snapshot = builder->snapshot;
  team_item_t *item = arena_alloc (&snapshot->arena, sizeof *item);

  (void)line;
  item->pub.name = arena_str (&snapshot->arena, name);
  item->pub.index = (uint32_t)snapshot->teams.count;
  item->pub.weight = 1;
  name_table_add (&snapshot->teams, item);
  return item;
}

static void *
begin_plan (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  snapshot_t *snapshot = builder->snapshot;
  plan_item_t *item = arena_alloc (&snapshot->arena, sizeof *item);

  (void)line;
  item->pub.name = arena_str (&snapshot->arena, name);
  item->pub.index = (uint32_t)snapshot->plans.count;
  name_table_add (&snapshot->plans, item);
  return item;
}

static void *
begin_model (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  snapshot_t *snapshot = builder->snapshot;
  model_item_t *item = arena_alloc (&snapshot->arena, sizeof *item);

  (void)line;
  item->pub.name = arena_str (&snapshot->arena, name);
  item->pub.index = (uint32_t)snapshot->models.count;
  item->pub.cost = 1;
  /* The middle of the scale, as long as the model has no ratings.  */
  item->pub.quality_prior = 0.5;
  name_table_add (&snapshot->models, item);
  return item;
}

static void *
begin_version (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  snapshot_t *snapshot = builder->snapshot;
  version_item_t *item = arena_alloc (&snapshot->arena, sizeof *item);

  item->line = line;
  item->pub.name = arena_str (&snapshot->arena, name);
  item->pub.index = (uint32_t)snapshot->versions.count;
  item->pub.cost = -1;
  name_table_add (&snapshot->versions, item);
  return item;
}

static void *
begin_service (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  snapshot_t *snapshot = builder->snapshot;
  service_item_t *item = arena_alloc (&snapshot->arena, sizeof *item);

  (void)line;
  item->pub.name = arena_str (&snapshot->arena, name);
  item->pub.index = (uint32_t)snapshot->services.count;
  name_table_add (&snapshot->services, item);
  return item;
}

static void *
begin_zone (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  snapshot_t *snapshot = builder->snapshot;
  zone_item_t *item = arena_alloc (&snapshot->arena, sizeof *item);

  (void)line;
  item->name = arena_str (&snapshot->arena, name);
  item->is_enabled = true;
  name_table_add (&snapshot->zones, item);
  return item;
}

static void *
begin_instance (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  instance_item_t *item = arena_alloc (&builder->scratch, sizeof *item);

  (void)line;
  item->name = arena_str (&builder->scratch, name);
  item->is_enabled = true;
  if (builder->instance_count == builder->instance_capacity)
    {
      builder->instance_capacity = builder->instance_capacity * 2 + 8;
      builder->instances
          = mem_realloc (builder->instances, builder->instance_capacity
                                                 * sizeof (instance_item_t *));
    }
  builder->instances[builder->instance_count++] = item;
  return item;
}

static void *
begin_rollout (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  snapshot_t *snapshot = builder->snapshot;
  rollout_item_t *item = arena_alloc (&snapshot->arena, sizeof *item);

  item->line = line;
  item->name = arena_str (&snapshot->arena, name);
  item->pub.share_max_percent = 100;
  name_table_add (&snapshot->rollouts, item);
  return item;
}

static void *
begin_objective (void *arg, str_t name, int line)
{
  snapshot_builder_t *builder = arg;
  snapshot_t *snapshot = builder->snapshot;
  objective_item_t *item = arena_alloc (&snapshot->arena, sizeof *item);

  (void)line;
  item->pub.name = arena_str (&snapshot->arena, name);
  item->pub.within = 0.95;
  name_table_add (&snapshot->objectives, item);
  return item;
}

#define KEY(struct_type, key, type, is_required, field, min, max,             \
            value_names)                                                      \
  { key, type, is_required, offsetof (struct_type, field),                    \
    min, max,  value_names },
#define OF_TEAM(...) KEY (team_item_t, __VA_ARGS__)
#define OF_PLAN(...) KEY (plan_item_t, __VA_ARGS__)
#define OF_MODEL(...) KEY (model_item_t, __VA_ARGS__)
#define OF_VERSION(...) KEY (version_item_t, __VA_ARGS__)
#define OF_SERVICE(...) KEY (service_item_t, __VA_ARGS__)
#define OF_ZONE(...) KEY (zone_item_t, __VA_ARGS__)
#define OF_INSTANCE(...) KEY (instance_item_t, __VA_ARGS__)
#define OF_ROLLOUT(...) KEY (rollout_item_t, __VA_ARGS__)
#define OF_OBJECTIVE(...) KEY (objective_item_t, __VA_ARGS__)

static const schema_key_t team_keys[] = { TEAM_KEYS (OF_TEAM) };
static const schema_key_t plan_keys[] = { PLAN_KEYS (OF_PLAN) };
static const schema_key_t model_keys[] = { MODEL_KEYS (OF_MODEL) };
static const schema_key_t version_keys[] = { VERSION_KEYS (OF_VERSION) };
static const schema_key_t service_keys[] = { SERVICE_KEYS (OF_SERVICE) };
static const schema_key_t zone_keys[] = { ZONE_KEYS (OF_ZONE) };
static const schema_key_t instance_keys[] = { INSTANCE_KEYS (OF_INSTANCE) };
static const schema_key_t rollout_keys[] = { ROLLOUT_KEYS (OF_ROLLOUT) };
static const schema_key_t objective_keys[] = { OBJECTIVE_KEYS (OF_OBJECTIVE) };

#define SECTION(kind, form, keys, begin)                                      \
  {                                                                           \
    kind, form, keys, sizeof (keys) / sizeof (keys)[0], begin                 \
  }

static const schema_section_t snapshot_sections[] = {
  SECTION ("team", SECTION_NAMED, team_keys, begin_team),
  SECTION ("plan", SECTION_NAMED, plan_keys, begin_plan),
  SECTION ("model", SECTION_NAMED, model_keys, begin_model),
  SECTION ("version", SECTION_VERSION, version_keys, begin_version),
  SECTION ("service", SECTION_NAMED, service_keys, begin_service),
  SECTION ("availability-zone", SECTION_NAMED, zone_keys, begin_zone),
  SECTION ("instance", SECTION_NAMED, instance_keys, begin_instance),
  SECTION ("rollout", SECTION_VERSION, rollout_keys, begin_rollout),
  SECTION ("objective", SECTION_NAMED, objective_keys, begin_objective),
};

const schema_t snapshot_schema
    = { snapshot_sections,
        sizeof snapshot_sections / sizeof snapshot_sections[0] };
