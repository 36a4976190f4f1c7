/* The load patterns that the policy package is judged by.  */

#include "model.h"

#define DEFAULTS .plain = BASELINE_ROUND_ROBIN, PATTERN_FIELDS (X)
#define X(field, value, text) .field = (value),

/* Later designators take the place of the defaults.  */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Woverride-init"
#ifdef __clang__
#pragma GCC diagnostic ignored "-Winitializer-overrides"
#endif

static const pattern_t patterns[] = {
  { DEFAULTS.name = STR ("burst"), .load = 0.5, .burst = 10 },
  { DEFAULTS.name = STR ("hot-team"), .load = 1.2, .hot_team = 0.5 },
  { DEFAULTS.name = STR ("hot-prefix"), .load = 0.9, .hot_prefix = 0.5,
    .plain = BASELINE_PREFIX_HASH },
  { DEFAULTS.name = STR ("slow-upstream"), .load = 0.8, .slow = 1 },
  { DEFAULTS.name = STR ("fail-fast"), .load = 0.8, .failing = 1 },
  { DEFAULTS.name = STR ("long-short"), .load = 0.9, .long_work = 0.5,
    .duration = 300 },
  { DEFAULTS.name = STR ("overload-1.5"), .load = 1.5, .hot_team = 0.4 },
  { DEFAULTS.name = STR ("overload-3"), .load = 3, .hot_team = 0.4 },
  { DEFAULTS.name = STR ("outage"), .load = 0.6, .failing = 6, .fail_from = 20,
    .fail_to = 40 },
  { DEFAULTS.name = STR ("cold-start"), .load = 0.8, .new_at = 20,
    .cold_for = 10 },
  { DEFAULTS.name = STR ("warm-to-cold"), .load = 0.8, .cold_at = 20,
    .cold_for = 10 },
  { DEFAULTS.name = STR ("zone"), .load = 0.6, .zone_out = 15, .zone_in = 35,
    .cold_for = 3 },
  { DEFAULTS.name = STR ("stale-reports"), .load = 0.8, .lag = 10,
    .plain = BASELINE_LEAST_REPORTED },
};

static const pattern_t plain = { DEFAULTS.name = STR ("plain") };

#pragma GCC diagnostic pop
#undef X

const pattern_t *
pattern_at (size_t index)
{
  return index < sizeof patterns / sizeof patterns[0] ? &patterns[index]
                                                      : NULL;
}

static bool
find_pattern (str_t name, pattern_t *pattern)
{
  *pattern = plain;
  for (size_t i = 0; i < sizeof patterns / sizeof patterns[0]; i++)
    if (str_eq (patterns[i].name, name))
      *pattern = patterns[i];
  return str_eq (pattern->name, name);
}

/* Set the field that TEXT, "FIELD=VALUE", names.  */
static bool
set_field (str_t text, pattern_t *pattern)
{
  str_t value;
  str_t field = str_cut (text, '=', &value);

#define X(name, initial, meaning)                                             \
  if (str_eq (field, STR (#name)))                                            \
    return str_to_double (value, &pattern->name);
  PATTERN_FIELDS (X)
#undef X
  return false;
}

bool
pattern_parse (str_t text, pattern_t *pattern)
{
  str_t rest;
  str_t name = str_cut (text, ',', &rest);

  if (!find_pattern (name, pattern))
    return false;
  while (rest.ptr != NULL)
    {
      str_t setting = str_cut (rest, ',', &rest);

      if (!set_field (setting, pattern))
        return false;
    }
  return pattern->upstreams >= 1 && pattern->upstreams < MODEL_UPSTREAMS_MAX
         && pattern->slots >= 1 && pattern->prefixes >= 1
         && pattern->duration > 0 && pattern->load > 0;
}
