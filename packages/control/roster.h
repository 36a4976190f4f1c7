/* Who is there: the platform's lagging list, corrected by direct sight.

   What a process says of itself and what the connections show is newer than
   the list, and the list knows of those that nobody here has met:

     list      seen               state
     live      heard, or not yet  up
     live      silent             silent: no new work, still probed
     leaving   heard, or not yet  draining
     any       said draining      draining
     gone      heard              draining, removed once it is not heard
     gone      silent, or not     removed
     not yet   heard              up, removed once it is not heard

   While the list cannot be read it stays as it is.  */

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
  uint64_t period_ms; /* Between two looks at the list; 0: 5 s.  */
  uint64_t linger_ms; /* How long hearing keeps one in that the list lacks;
                         0: 10 s.  */
  void (*changed) (void *owner, roster_event_t event,
                   const roster_entry_t *entry);
  void *owner;
} roster_options_t;

roster_t *roster_create (const control_env_t *env,
                         const roster_options_t *options);
/* NULL is accepted.  */
void roster_destroy (roster_t *roster);
/* Look at the list now.  */
void roster_poll (roster_t *roster);
/* Milliseconds since the list was read; UINT64_MAX when it never was.  */
uint64_t roster_age_ms (const roster_t *roster);

/* A process that the list may not have yet has shown itself.  */
void roster_report_instance (roster_t *roster, const instance_row_t *row);
/* NAME answered, or a heartbeat of it came.  */
void roster_report_responsive (roster_t *roster, str_t name);
/* NAME does not answer.  */
void roster_report_unresponsive (roster_t *roster, str_t name);
/* NAME said that it is, or is not, draining.  */
void roster_report_draining (roster_t *roster, str_t name, bool draining);

size_t roster_count (const roster_t *roster);
/* Entry INDEX, in no order, until the next change; NULL past the end.  */
const roster_entry_t *roster_at (const roster_t *roster, size_t index);
const roster_entry_t *roster_find (const roster_t *roster, str_t name);
/* Rank of NAME for DUTY among those of ROLE that are up in ZONE, from 0, by
   rendezvous hashing: all who know the same members give the same answer,
   and one that goes moves only its own duties.  NAME need not be listed.  */
size_t roster_rank (const roster_t *roster, str_t duty, str_t role, str_t zone,
                    str_t name);

#endif
