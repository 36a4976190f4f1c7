/* The instances of the service: the platform's instance list, which lags
   behind, corrected by what this process observes on its connections.

   Reports of an instance about itself and the state of the connections to it
   are newer than the list.  The list contains the instances that this process
   has not contacted yet.  The state is derived from both:

     list        observed               state
     live        responsive or unknown  up
     live        unresponsive           unresponsive: probed, no new work
     leaving     responsive or unknown  draining
     leaving     unresponsive           unresponsive
     any         reports draining       draining
     gone        responsive             draining, then removed
     gone        otherwise              removed
     not listed  responsive             up, then removed
     not listed  otherwise              removed

   "Then removed" means once the instance has not responded for the TTL of
   unlisted instances.  If the list cannot be read, the last list remains in
   use.  */

#ifndef CONTROL_ROSTER_H
#define CONTROL_ROSTER_H

#include "control/store.h"

typedef struct roster roster_t;

typedef enum
{
  ROSTER_UP,
  ROSTER_DRAINING,
  ROSTER_UNRESPONSIVE
} roster_state_t;

typedef enum
{
  ROSTER_ADDED,
  ROSTER_CHANGED,
  ROSTER_REMOVED
} roster_event_t;

typedef struct
{
  str_t name;
  str_t role;
  str_t zone;
  str_t region;
  str_t address;
  str_t serves;
  roster_state_t state;
} roster_entry_t;

typedef struct
{
  uint64_t poll_interval_ms; /* Interval between polls of the list; 0: 5 s.  */
  /* Time since its last response after which an instance that is not in the
     list is removed, in ms; 0: 10 s.  */
  uint64_t unlisted_ttl_ms;
  /* Called after ENTRY was added, changed or removed; may be NULL.  */
  void (*on_change) (void *owner, roster_event_t event,
                     const roster_entry_t *entry);
  void *owner;
} roster_options_t;

roster_t *roster_create (const control_env_t *env,
                         const roster_options_t *options);
/* NULL is accepted.  */
void roster_destroy (roster_t *roster);
/* Read the list now, without waiting for the next poll.  */
void roster_poll (roster_t *roster);
/* Return the time since the list was last read, in ms; UINT64_MAX if it was
   never read.  */
uint64_t roster_age_ms (const roster_t *roster);

/* Report that the instance in ROW, which the list may not contain yet, is
   responsive.  */
void roster_report_instance (roster_t *roster, const instance_row_t *row);
/* Report that the instance NAME replied or sent a heartbeat.  */
void roster_report_responsive (roster_t *roster, str_t name);
/* Report that the instance NAME does not respond.  */
void roster_report_unresponsive (roster_t *roster, str_t name);
/* Report that the instance NAME announced that it is, or is not, draining.  */
void roster_report_draining (roster_t *roster, str_t name, bool draining);

size_t roster_count (const roster_t *roster);
/* Return the entry with index INDEX, in no particular order; NULL if INDEX is
   out of range.  The entry is valid until the roster changes.  */
const roster_entry_t *roster_at (const roster_t *roster, size_t index);
/* Return the entry of the instance NAME, valid until the roster changes; NULL
   if there is none.  */
const roster_entry_t *roster_find (const roster_t *roster, str_t name);
/* Return the rank, from 0, of the instance NAME for DUTY among the instances
   of ROLE that are up in ZONE, by rendezvous hashing.  Processes that know
   the same instances compute the same ranks, and the departure of an instance
   reassigns only its own duties.  NAME need not be in the roster.  */
size_t roster_rank (const roster_t *roster, str_t duty, str_t role, str_t zone,
                    str_t name);

#endif
