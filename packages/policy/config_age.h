/* For how long a process may not have known of a newer configuration than the
   one in force.

   A key is revoked by a configuration without it.  The store confirms time and
   again that the newest configuration that this process has read is the newest
   of all.  That says nothing of the one in force while a newer one is parsed:
   the newer one may have been written long before, if the process was cut off.
   So the one in force ages from the last confirmation before the newer one was
   read.

   At most three configurations are known at a time: the one in force, one that
   is parsed, and the newest, which waits to be parsed.  Times are in ms of the
   boot clock.  */

#ifndef POLICY_CONFIG_AGE_H
#define POLICY_CONFIG_AGE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool is_known;
  bool is_newest;      /* No newer one is known.  */
  uint64_t current_ms; /* Last time at which it was confirmed to be the newest;
                          only if another is newer now.  */
} known_config_t;

/* Zero-initialise before the first use.  */
typedef struct
{
  uint64_t newest_version; /* Store version of the newest one that was read. */
  known_config_t in_force;
  known_config_t parsed;
  known_config_t waiting;
} config_age_t;

/* Record that the configuration with the store version VERSION was read.  What
   was known before was confirmed last at CONFIRMED_MS; 0: never.  Return
   false, with nothing changed, if it is the one that was read last.  */
bool config_age_read (config_age_t *age, uint64_t version,
                      uint64_t confirmed_ms);
/* Record that the configuration that was read first of those not parsed yet
   was parsed, and is in force if IS_ACCEPTED.  Otherwise it is left out, and
   the one in force counts as confirmed together with it.  */
void config_age_parsed (config_age_t *age, bool is_accepted);
/* Return the time at NOW_MS since the configuration in force was the newest
   for certain, in ms; UINT64_MAX if none is in force or none was ever
   confirmed. What is known was confirmed last at CONFIRMED_MS; 0: never.  */
uint64_t config_age_ms (const config_age_t *age, uint64_t confirmed_ms,
                        uint64_t now_ms);

#endif
