/* The operators' configuration: agreed in the platform's table, kept in force
   here, never reverting.

   conf/head holds the number of the revision in force and is changed by
   compare-and-swap in one transaction with conf/delta/N (who, when, the
   difference; kept for good) and conf/text/N (the whole text).  The same
   transaction deletes the text that is TEXTS_KEPT revisions old, unless it
   is one of the last checkpoints, so that texts do not pile up.

   A process takes a higher revision from the store or from a peer and never
   a lower one.  */

#ifndef CONTROL_CONFSTORE_H
#define CONTROL_CONFSTORE_H

#include "control/store.h"

typedef struct confstore confstore_t;

typedef struct
{
  uint64_t period_ms;   /* Between two looks at the head; 0: 1 s.  */
  uint64_t patience_ms; /* To find out what became of a change; 0: 5 s.  */
  bool polls;           /* Whether this process looks at the store.  */
  /* A revision came into force; TEXT lives until the next one.  */
  void (*in_force) (void *owner, uint64_t revision, str_t text);
  void *owner;
} confstore_options_t;

/* Apply over whatever is in force.  */
#define CONFSTORE_ANY UINT64_MAX

/* VH_OK: REVISION was accepted.  VH_E_STALE_REVISION: REVISION is in force,
   not the one asked for.  VH_E_NOT_ACCEPTED: nothing changed, nor will.
   VH_E_STORE_LATE: the store went away with the change; REVISION may have
   been accepted, and its history row says by whom.  */
typedef void (*confstore_apply_cb_t) (void *arg, vh_code_t code,
                                      uint64_t revision);

typedef struct
{
  uint64_t revision;
  str_t who;
  uint64_t when_ms; /* Since the epoch.  */
  str_t delta;
} confstore_history_entry_t;

/* ENTRIES live for the callback, newest first.  */
typedef void (*confstore_history_cb_t) (
    void *arg, vh_code_t code, const confstore_history_entry_t *entries,
    size_t count);

confstore_t *confstore_create (const control_env_t *env,
                               const confstore_options_t *options);
/* Applies and histories not yet answered end with VH_E_CANCELLED inside the
   call.  NULL is accepted.  */
void confstore_destroy (confstore_t *conf);
/* The revision in force here; 0 and an empty text before the first.  */
uint64_t confstore_revision (const confstore_t *conf);
str_t confstore_text (const confstore_t *conf);
/* Milliseconds since the revision here was known to be the head; UINT64_MAX
   when it never was.  */
uint64_t confstore_confirmed_age_ms (const confstore_t *conf);
void confstore_set_polling (confstore_t *conf, bool polls);
/* Look at the head now.  */
void confstore_poll (confstore_t *conf);
/* Make TEXT, which the caller has checked, the next revision if IF_REVISION
   is in force.  */
void confstore_apply (confstore_t *conf, str_t text, str_t who,
                      uint64_t if_revision, confstore_apply_cb_t cb,
                      void *arg);
void confstore_history (confstore_t *conf, size_t limit,
                        confstore_history_cb_t cb, void *arg);

/* A peer holds TEXT as REVISION.  Return true when it came into force.  */
bool confstore_learn (confstore_t *conf, uint64_t revision, str_t text);
/* A peer had REVISION confirmed AGE_MS ago.  */
void confstore_record_confirmation (confstore_t *conf, uint64_t revision,
                                    uint64_t age_ms);
/* Append what a peer at revision HAVE lacks: the deltas since, or the whole
   text when that is shorter or the deltas are not kept.  Return false when
   it lacks nothing.  */
bool confstore_write_update (const confstore_t *conf, uint64_t have,
                             buf_t *buf);
/* Take what confstore_write_update made elsewhere.  Return VH_OK,
   VH_E_PROTOCOL when it is malformed, or VH_E_STALE_REVISION when it starts
   past the revision here: then ask again from revision 0.  */
vh_code_t confstore_receive_update (confstore_t *conf, str_t update);

#endif
