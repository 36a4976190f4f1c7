#include "policy/config_age.h"

/* Record that a newer one than CONFIG is known.  */
static void
supersede (known_config_t *config, uint64_t confirmed_ms)
{
  if (!config->is_known || !config->is_newest)
    return;
  config->is_newest = false;
  config->current_ms = confirmed_ms;
}

bool
config_age_read (config_age_t *age, uint64_t version, uint64_t confirmed_ms)
{
  const known_config_t newest = { .is_known = true, .is_newest = true };

  if (version == age->newest_version)
    return false;
  age->newest_version = version;
  supersede (&age->in_force, confirmed_ms);
  supersede (&age->parsed, confirmed_ms);
  if (age->parsed.is_known)
    age->waiting = newest;
  else
    age->parsed = newest;
  return true;
}

void
config_age_parsed (config_age_t *age, bool is_accepted)
{
  if (is_accepted || age->in_force.is_known)
    age->in_force = age->parsed;
  age->parsed = age->waiting;
  age->waiting = (known_config_t){ 0 };
}

uint64_t
config_age_ms (const config_age_t *age, uint64_t confirmed_ms, uint64_t now_ms)
{
  const known_config_t *config = &age->in_force;
  uint64_t current_ms = config->is_newest ? confirmed_ms : config->current_ms;

  if (!config->is_known || current_ms == 0)
    return UINT64_MAX;
  return now_ms > current_ms ? now_ms - current_ms : 0;
}
