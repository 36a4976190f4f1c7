#include "base/mem.h"
#include "conf/snapshot_impl.h"

#include <stdlib.h>

/* Return a hint for an error about NAME, which NAMES does not contain: the
   closest name, written to HINT, or FALLBACK.  */
static const char *
name_table_hint (const name_table_t *names, str_t name, const char *fallback,
                 buf_t *hint)
{
  closest_match_t match = closest_match_make (name);

  for (size_t i = 0; i < names->count; i++)
    closest_match_add_candidate (&match, *(const str_t *)names->items[i]);
  return closest_match_hint (&match, fallback, hint);
}

/* Set the model of each version and the list of versions of each model.  */
static void
builder_link_versions (snapshot_builder_t *builder)
{
  snapshot_t *snapshot = builder->snapshot;
  buf_t hint = BUF_NULL;
  str_t rest;

  for (size_t i = 0; i < snapshot->versions.count; i++)
    {
      version_item_t *version = snapshot->versions.items[i];
      str_t name = str_cut (version->pub.name, '@', &rest);
      model_item_t *model = name_table_find (&snapshot->models, name);
      version->pub.model = model != NULL ? &model->pub : NULL;
      if (model == NULL)
        {
          conf_errors_add (builder->errors, version->line,
                           name_table_hint (&snapshot->models, name,
                                            "add a [model] of this name",
                                            &hint),
                           "version of unknown model `%.*s'", STR_ARG (name));
          continue;
        }
      model->pub.version_count++;
      if (version->pub.cost < 0)
        version->pub.cost = model->pub.cost;
    }
  for (size_t i = 0; i < snapshot->models.count; i++)
    {
      model_item_t *model = snapshot->models.items[i];
      model->pub.versions
          = arena_alloc (&snapshot->arena, (model->pub.version_count + 1)
                                               * sizeof (version_t *));
    }
  for (size_t i = 0; i < snapshot->versions.count; i++)
    {
      version_item_t *version = snapshot->versions.items[i];
      /* The public model is the first member of its item.  */
      model_item_t *model = (model_item_t *)version->pub.model;
      if (model != NULL)
        ((const version_t **)model->pub.versions)[model->versions_filled++]
            = &version->pub;
    }
  buf_free (&hint);
}

static void
bit_set (uint64_t *row, size_t bit)
{
  row[bit / WORD_BITS] |= (uint64_t)1 << (bit % WORD_BITS);
}

/* Allow PLAN all versions or services that match GLOB, a pattern of its key
   `allow'.  Return whether there is any.  */
static bool
builder_allow_matches (snapshot_t *snapshot, const plan_t *plan, str_t glob)
{
  static const str_t prefix = { "service:", 8 };
  bool found = false;

  if (str_starts_with (glob, prefix))
    {
      glob = str_make (glob.ptr + prefix.len, glob.len - prefix.len);
      for (size_t i = 0; i < snapshot->services.count; i++)
        {
          const service_item_t *service = snapshot->services.items[i];
          if (!str_matches_glob (glob, service->pub.name))
            continue;
          found = true;
          bit_set (snapshot->service_bits
                       + plan->index * snapshot->service_row_words,
                   i);
        }
      return found;
    }
  for (size_t i = 0; i < snapshot->versions.count; i++)
    {
      const version_item_t *version = snapshot->versions.items[i];
      if (!str_matches_glob (glob, version->pub.name))
        continue;
      found = true;
      if (version->pub.state != VERSION_WITHDRAWN)
        bit_set (snapshot->version_bits
                     + plan->index * snapshot->version_row_words,
                 i);
    }
  return found;
}

/* Return a hint, written to HINT or constant, for an error about the pattern
   GLOB, which matches nothing.  */
static const char *
builder_allow_hint (snapshot_t *snapshot, str_t glob, buf_t *hint)
{
  str_t version;
  str_t model = str_cut (glob, '@', &version);

  if (str_starts_with (glob, STR ("service:")))
    return name_table_hint (&snapshot->services,
                            str_make (glob.ptr + 8, glob.len - 8),
                            "add a [service] of this name", hint);
  if (version.ptr == NULL
      && name_table_find (&snapshot->models, model) != NULL)
    {
      buf_printf (hint, "write `%.*s@*'", STR_ARG (model));
      return hint->ptr;
    }
  if (version.ptr == NULL
      && name_table_find (&snapshot->services, model) != NULL)
    {
      buf_printf (hint, "write `service:%.*s'", STR_ARG (model));
      return hint->ptr;
    }
  if (name_table_find (&snapshot->models, model) == NULL)
    return name_table_hint (&snapshot->models, model,
                            "add a [model] of this name", hint);
  return name_table_hint (&snapshot->versions, glob,
                          "add a [version] of this name", hint);
}

/* Compute the permission bits of all plans.  */
static void
builder_resolve_plans (snapshot_builder_t *builder)
{
  snapshot_t *snapshot = builder->snapshot;
  size_t plans = snapshot->plans.count;

  snapshot->version_row_words
      = (snapshot->versions.count + WORD_BITS - 1) / WORD_BITS;
  snapshot->service_row_words
      = (snapshot->services.count + WORD_BITS - 1) / WORD_BITS;
  snapshot->version_bits = arena_alloc (
      &snapshot->arena,
      plans * snapshot->version_row_words * sizeof (uint64_t) + 1);
  snapshot->service_bits = arena_alloc (
      &snapshot->arena,
      plans * snapshot->service_row_words * sizeof (uint64_t) + 1);
  for (size_t i = 0; i < plans; i++)
    {
      const plan_item_t *plan = snapshot->plans.items[i];
      for (size_t k = 0; k < plan->allow.count; k++)
        {
          str_t glob = plan->allow.items[k];
          buf_t hint = BUF_NULL;
          if (!builder_allow_matches (snapshot, &plan->pub, glob))
            conf_errors_add (
                builder->errors, plan->allow.line,
                builder_allow_hint (snapshot, glob, &hint),
                "plan `%.*s' allows `%.*s', which matches no version "
                "or service",
                STR_ARG (plan->pub.name), STR_ARG (glob));
          buf_free (&hint);
        }
    }
}

/* Add the keys of TEAM to the key table.  */
static void
builder_add_team_keys (snapshot_builder_t *builder, const team_item_t *team)
{
  for (size_t i = 0; i < team->keys.count; i++)
    {
      uint8_t digest[DIGEST_BYTES];
      if (!str_unhex (team->keys.items[i], digest, sizeof digest))
        {
          conf_errors_add (builder->errors, team->keys.line,
                           "64 hexadecimal digits, as by `printf %s KEY | "
                           "sha256sum'",
                           "`key-sha256' cannot be `%.*s'",
                           STR_ARG (team->keys.items[i]));
          continue;
        }
      key_slot_t *slot = snapshot_find_key_slot (builder->snapshot, digest);
      if (slot->team != NULL)
        {
          conf_errors_add (builder->errors, team->keys.line,
                           "give each team keys of its own",
                           "team `%.*s' has the same key as team `%.*s'",
                           STR_ARG (team->pub.name),
                           STR_ARG (slot->team->name));
          continue;
        }
      slot->team = &team->pub;
      memcpy (slot->digest, digest, sizeof digest);
    }
}

/* Set the plan of each team and build the key table.  */
static void
builder_resolve_teams (snapshot_builder_t *builder)
{
  snapshot_t *snapshot = builder->snapshot;
  buf_t hint = BUF_NULL;
  size_t key_count = 0;
  size_t slot_count = 8;

  for (size_t i = 0; i < snapshot->teams.count; i++)
    key_count += ((team_item_t *)snapshot->teams.items[i])->keys.count;
  /* A load factor of at most 1/2 keeps the probe sequences short.  */
  while (slot_count < key_count * 2)
    slot_count *= 2;
  snapshot->key_mask = slot_count - 1;
  snapshot->keys = mem_zalloc (slot_count * sizeof *snapshot->keys);
  for (size_t i = 0; i < snapshot->teams.count; i++)
    {
      team_item_t *team = snapshot->teams.items[i];
      if (team->plan.text.len > 0)
        {
          const plan_item_t *plan
              = name_table_find (&snapshot->plans, team->plan.text);
          if (plan == NULL)
            conf_errors_add (
                builder->errors, team->plan.line,
                name_table_hint (&snapshot->plans, team->plan.text,
                                 "add a [plan] of this name", &hint),
                "team `%.*s' has the unknown plan `%.*s'",
                STR_ARG (team->pub.name), STR_ARG (team->plan.text));
          else
            team->pub.plan = &plan->pub;
        }
      builder_add_team_keys (builder, team);
    }
  buf_free (&hint);
}

static void
builder_resolve_rollouts (snapshot_builder_t *builder)
{
  snapshot_t *snapshot = builder->snapshot;
  buf_t hint = BUF_NULL;

  for (size_t i = 0; i < snapshot->rollouts.count; i++)
    {
      rollout_item_t *rollout = snapshot->rollouts.items[i];
      rollout->pub.version
          = name_table_find (&snapshot->versions, rollout->name);
      rollout->pub.replaced_version
          = name_table_find (&snapshot->versions, rollout->over.text);
      if (rollout->pub.version == NULL)
        conf_errors_add (
            builder->errors, rollout->line,
            name_table_hint (&snapshot->versions, rollout->name,
                             "add a [version] of this name", &hint),
            "roll-out of the unknown version `%.*s'", STR_ARG (rollout->name));
      if (rollout->over.text.len > 0 && rollout->pub.replaced_version == NULL)
        conf_errors_add (
            builder->errors, rollout->over.line,
            name_table_hint (&snapshot->versions, rollout->over.text,
                             "add a [version] of this name", &hint),
            "roll-out over the unknown version `%.*s'",
            STR_ARG (rollout->over.text));
      if (rollout->pub.version != NULL
          && rollout->pub.version == rollout->pub.replaced_version)
        conf_errors_add (builder->errors, rollout->over.line,
                         "name the version in service now",
                         "a version cannot be rolled out over itself");
    }
  buf_free (&hint);
}

static void
builder_resolve_objectives (snapshot_builder_t *builder)
{
  snapshot_t *snapshot = builder->snapshot;
  buf_t hint = BUF_NULL;

  for (size_t i = 0; i < snapshot->objectives.count; i++)
    {
      objective_item_t *objective = snapshot->objectives.items[i];
      if (objective->team.text.len == 0)
        continue;
      const team_item_t *team
          = name_table_find (&snapshot->teams, objective->team.text);
      if (team == NULL)
        conf_errors_add (builder->errors, objective->team.line,
                         name_table_hint (&snapshot->teams,
                                          objective->team.text,
                                          "add a [team] of this name", &hint),
                         "objective of the unknown team `%.*s'",
                         STR_ARG (objective->team.text));
      else
        objective->pub.team = team->pub.name;
    }
  buf_free (&hint);
}

static void
builder_add_disabled_instances (snapshot_builder_t *builder)
{
  snapshot_t *snapshot = builder->snapshot;

  for (size_t i = 0; i < builder->instance_count; i++)
    if (!builder->instances[i]->is_enabled)
      map_put (snapshot->disabled_instances, builder->instances[i]->name,
               snapshot);
}

/* Release the scratch arena and clear all pointers into it.  */
static void
builder_clear_scratch_pointers (snapshot_builder_t *builder)
{
  snapshot_t *snapshot = builder->snapshot;

  for (size_t i = 0; i < snapshot->teams.count; i++)
    {
      team_item_t *team = snapshot->teams.items[i];
      team->plan = (value_ref_t){ STR_NULL, 0 };
      team->keys = (value_list_t){ NULL, 0, 0 };
    }
  for (size_t i = 0; i < snapshot->plans.count; i++)
    ((plan_item_t *)snapshot->plans.items[i])->allow
        = (value_list_t){ NULL, 0, 0 };
  for (size_t i = 0; i < snapshot->rollouts.count; i++)
    ((rollout_item_t *)snapshot->rollouts.items[i])->over
        = (value_ref_t){ STR_NULL, 0 };
  for (size_t i = 0; i < snapshot->objectives.count; i++)
    ((objective_item_t *)snapshot->objectives.items[i])->team
        = (value_ref_t){ STR_NULL, 0 };
  free (builder->instances);
  arena_free (&builder->scratch);
}

vh_code_t
snapshot_parse (str_t text, uint64_t revision, snapshot_t **out,
                conf_errors_t *errors)
{
  snapshot_t *snapshot = mem_zalloc (sizeof *snapshot);
  snapshot_builder_t builder = { .snapshot = snapshot, .errors = errors };
  size_t before = errors->count;

  *out = NULL;
  snapshot->reference_count = 1;
  snapshot->revision = revision;
  snapshot->disabled_instances = map_create ();
  schema_parse (&snapshot_schema, text, &builder, &snapshot->arena,
                &builder.scratch, errors);
  builder_link_versions (&builder);
  builder_resolve_plans (&builder);
  builder_resolve_teams (&builder);
  builder_resolve_rollouts (&builder);
  builder_resolve_objectives (&builder);
  builder_add_disabled_instances (&builder);
  builder_clear_scratch_pointers (&builder);
  schema_sort_errors (errors);
  if (errors->count > before)
    {
      snapshot_unref (snapshot);
      return VH_E_BAD_CONFIG;
    }
  snapshot->text = arena_str (&snapshot->arena, text);
  *out = snapshot;
  return VH_OK;
}
