#include "base/mem.h"
#include "conf/snapshot_impl.h"

#include <stdlib.h>

/* Write a hint for NAME, which NAMES does not hold, and return it.  */
static const char *
names_hint (const names_t *names, str_t name, const char *fallback,
            buf_t *hint)
{
  closest_match_t nearest = closest_match_make (name);

  for (size_t i = 0; i < names->count; i++)
    closest_match_add_candidate (&nearest, *(const str_t *)names->items[i]);
  return closest_match_hint (&nearest, fallback, hint);
}

/* Give each version its model and each model its versions.  */
static void
compiler_link_versions (compiler_t *compiler)
{
  snapshot_t *snapshot = compiler->snapshot;
  buf_t hint = BUF_NULL;
  str_t rest;

  for (size_t i = 0; i < snapshot->versions.count; i++)
    {
      version_item_t *version = snapshot->versions.items[i];
      str_t name = str_cut (version->pub.name, '@', &rest);
      model_item_t *model = names_get (&snapshot->models, name);
      version->pub.model = model != NULL ? &model->pub : NULL;
      if (model == NULL)
        {
          conf_errors_add (compiler->errors, version->line,
                           names_hint (&snapshot->models, name,
                                       "add a [model] of this name", &hint),
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
          = arena_alloc (&snapshot->keep, (model->pub.version_count + 1)
                                              * sizeof (version_t *));
    }
  for (size_t i = 0; i < snapshot->versions.count; i++)
    {
      version_item_t *version = snapshot->versions.items[i];
      /* The item behind the public model, whose first member it is.  */
      model_item_t *model = (model_item_t *)version->pub.model;
      if (model != NULL)
        ((const version_t **)model->pub.versions)[model->filled++]
            = &version->pub;
    }
  buf_free (&hint);
}

static void
bit_set (uint64_t *row, size_t bit)
{
  row[bit / WORD_BITS] |= (uint64_t)1 << (bit % WORD_BITS);
}

/* Set the bits of what GLOB, an item of PLAN's allow, matches.  Return
   whether it matches anything.  */
static bool
compiler_allow (snapshot_t *snapshot, const plan_t *plan, str_t glob)
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
          bit_set (snapshot->allows_service
                       + plan->index * snapshot->allows_service_row,
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
        bit_set (snapshot->allows + plan->index * snapshot->allows_row, i);
    }
  return found;
}

/* Write a hint for GLOB, which allows nothing, and return it.  */
static const char *
compiler_allow_hint (snapshot_t *snapshot, str_t glob, buf_t *hint)
{
  str_t version;
  str_t model = str_cut (glob, '@', &version);

  if (str_starts_with (glob, STR ("service:")))
    return names_hint (&snapshot->services,
                       str_make (glob.ptr + 8, glob.len - 8),
                       "add a [service] of this name", hint);
  if (version.ptr == NULL && names_get (&snapshot->models, model) != NULL)
    {
      buf_printf (hint, "write `%.*s@*'", STR_ARG (model));
      return hint->ptr;
    }
  if (version.ptr == NULL && names_get (&snapshot->services, model) != NULL)
    {
      buf_printf (hint, "write `service:%.*s'", STR_ARG (model));
      return hint->ptr;
    }
  if (names_get (&snapshot->models, model) == NULL)
    return names_hint (&snapshot->models, model, "add a [model] of this name",
                       hint);
  return names_hint (&snapshot->versions, glob, "add a [version] of this name",
                     hint);
}

static void
compiler_link_plans (compiler_t *compiler)
{
  snapshot_t *snapshot = compiler->snapshot;
  size_t plans = snapshot->plans.count;

  snapshot->allows_row
      = (snapshot->versions.count + WORD_BITS - 1) / WORD_BITS;
  snapshot->allows_service_row
      = (snapshot->services.count + WORD_BITS - 1) / WORD_BITS;
  snapshot->allows = arena_alloc (
      &snapshot->keep, plans * snapshot->allows_row * sizeof (uint64_t) + 1);
  snapshot->allows_service = arena_alloc (
      &snapshot->keep,
      plans * snapshot->allows_service_row * sizeof (uint64_t) + 1);
  for (size_t i = 0; i < plans; i++)
    {
      const plan_item_t *plan = snapshot->plans.items[i];
      for (size_t k = 0; k < plan->allow.count; k++)
        {
          str_t glob = plan->allow.items[k];
          buf_t hint = BUF_NULL;
          if (!compiler_allow (snapshot, &plan->pub, glob))
            conf_errors_add (compiler->errors, plan->allow.line,
                             compiler_allow_hint (snapshot, glob, &hint),
                             "plan `%.*s' allows `%.*s', which is no version "
                             "or service",
                             STR_ARG (plan->pub.name), STR_ARG (glob));
          buf_free (&hint);
        }
    }
}

/* Enter the keys of TEAM.  */
static void
compiler_add_keys (compiler_t *compiler, const team_item_t *team)
{
  for (size_t i = 0; i < team->keys.count; i++)
    {
      uint8_t digest[DIGEST_BYTES];
      if (!str_unhex (team->keys.items[i], digest, sizeof digest))
        {
          conf_errors_add (compiler->errors, team->keys.line,
                           "64 hexadecimal digits, as by `printf %s KEY | "
                           "sha256sum'",
                           "`key-sha256' cannot be `%.*s'",
                           STR_ARG (team->keys.items[i]));
          continue;
        }
      key_slot_t *slot = snapshot_key_slot (compiler->snapshot, digest);
      if (slot->team != NULL)
        {
          conf_errors_add (compiler->errors, team->keys.line,
                           "give each team keys of its own",
                           "team `%.*s' has a key that team `%.*s' has",
                           STR_ARG (team->pub.name),
                           STR_ARG (slot->team->name));
          continue;
        }
      slot->team = &team->pub;
      memcpy (slot->digest, digest, sizeof digest);
    }
}

static void
compiler_link_teams (compiler_t *compiler)
{
  snapshot_t *snapshot = compiler->snapshot;
  buf_t hint = BUF_NULL;
  size_t keys = 0;
  size_t slots = 8;

  for (size_t i = 0; i < snapshot->teams.count; i++)
    keys += ((team_item_t *)snapshot->teams.items[i])->keys.count;
  /* At most half full, so that a probe meets few neighbours.  */
  while (slots < keys * 2)
    slots *= 2;
  snapshot->key_mask = slots - 1;
  snapshot->keys = mem_zalloc (slots * sizeof *snapshot->keys);
  for (size_t i = 0; i < snapshot->teams.count; i++)
    {
      team_item_t *team = snapshot->teams.items[i];
      if (team->plan.text.len > 0)
        {
          const plan_item_t *plan
              = names_get (&snapshot->plans, team->plan.text);
          if (plan == NULL)
            conf_errors_add (compiler->errors, team->plan.line,
                             names_hint (&snapshot->plans, team->plan.text,
                                         "add a [plan] of this name", &hint),
                             "team `%.*s' has the unknown plan `%.*s'",
                             STR_ARG (team->pub.name),
                             STR_ARG (team->plan.text));
          else
            team->pub.plan = &plan->pub;
        }
      compiler_add_keys (compiler, team);
    }
  buf_free (&hint);
}

static void
compiler_link_rollouts (compiler_t *compiler)
{
  snapshot_t *snapshot = compiler->snapshot;
  buf_t hint = BUF_NULL;

  for (size_t i = 0; i < snapshot->rollouts.count; i++)
    {
      rollout_item_t *rollout = snapshot->rollouts.items[i];
      rollout->pub.version = names_get (&snapshot->versions, rollout->name);
      rollout->pub.over = names_get (&snapshot->versions, rollout->over.text);
      if (rollout->pub.version == NULL)
        conf_errors_add (compiler->errors, rollout->line,
                         names_hint (&snapshot->versions, rollout->name,
                                     "add a [version] of this name", &hint),
                         "roll-out of the unknown version `%.*s'",
                         STR_ARG (rollout->name));
      if (rollout->over.text.len > 0 && rollout->pub.over == NULL)
        conf_errors_add (compiler->errors, rollout->over.line,
                         names_hint (&snapshot->versions, rollout->over.text,
                                     "add a [version] of this name", &hint),
                         "roll-out over the unknown version `%.*s'",
                         STR_ARG (rollout->over.text));
      if (rollout->pub.version != NULL
          && rollout->pub.version == rollout->pub.over)
        conf_errors_add (compiler->errors, rollout->over.line,
                         "name the version in service now",
                         "a version cannot be rolled out over itself");
    }
  buf_free (&hint);
}

static void
compiler_link_objectives (compiler_t *compiler)
{
  snapshot_t *snapshot = compiler->snapshot;
  buf_t hint = BUF_NULL;

  for (size_t i = 0; i < snapshot->objectives.count; i++)
    {
      objective_item_t *objective = snapshot->objectives.items[i];
      if (objective->team.text.len == 0)
        continue;
      const team_item_t *team
          = names_get (&snapshot->teams, objective->team.text);
      if (team == NULL)
        conf_errors_add (compiler->errors, objective->team.line,
                         names_hint (&snapshot->teams, objective->team.text,
                                     "add a [team] of this name", &hint),
                         "objective of the unknown team `%.*s'",
                         STR_ARG (objective->team.text));
      else
        objective->pub.team = team->pub.name;
    }
  buf_free (&hint);
}

static void
compiler_link_instances (compiler_t *compiler)
{
  snapshot_t *snapshot = compiler->snapshot;

  for (size_t i = 0; i < compiler->instances_count; i++)
    if (!compiler->instances[i]->in)
      map_put (snapshot->instances_out, compiler->instances[i]->name,
               snapshot);
}

/* Forget what lives in the scratch arena.  */
static void
compiler_drop_scratch (compiler_t *compiler)
{
  snapshot_t *snapshot = compiler->snapshot;

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
  free (compiler->instances);
  arena_free (&compiler->scratch);
}

vh_code_t
snapshot_parse (str_t text, uint64_t revision, snapshot_t **out,
                conf_errors_t *errors)
{
  snapshot_t *snapshot = mem_zalloc (sizeof *snapshot);
  compiler_t compiler = { .snapshot = snapshot, .errors = errors };
  size_t before = errors->count;

  *out = NULL;
  snapshot->references = 1;
  snapshot->revision = revision;
  snapshot->instances_out = map_create ();
  schema_run (&lists_schema, text, &compiler, &snapshot->keep,
              &compiler.scratch, errors);
  compiler_link_versions (&compiler);
  compiler_link_plans (&compiler);
  compiler_link_teams (&compiler);
  compiler_link_rollouts (&compiler);
  compiler_link_objectives (&compiler);
  compiler_link_instances (&compiler);
  compiler_drop_scratch (&compiler);
  schema_sort_errors (errors);
  if (errors->count > before)
    {
      snapshot_unref (snapshot);
      return VH_E_BAD_CONFIG;
    }
  snapshot->text = arena_str (&snapshot->keep, text);
  *out = snapshot;
  return VH_OK;
}
