/* The operators' configuration: the platform's table decides which revision
   is the head, and each process keeps an active revision that never
   decreases.

   The row conf/head holds the number of the newest revision.  A change is one
   transaction, conditional on the version of conf/head, that also writes
   conf/delta/N (author, time and difference; kept permanently) and
   conf/text/N (the whole text).  The same transaction deletes the text that
   is TEXTS_KEPT revisions old, unless it is one of the last checkpoints, so
   that the number of stored texts stays bounded.

   A process accepts a higher revision from the store or from a peer, and
   never a lower one.  */

#ifndef CONTROL_CONFSTORE_H
#define CONTROL_CONFSTORE_H

#include "control/store.h"

typedef struct confstore confstore_t;

typedef struct
{
  /* Interval between polls of the head, in ms; 0: 1 s.  */
  uint64_t poll_interval_ms;
  /* Maximum time to resolve the outcome of a change, in ms; 0: 5 s.  */
  uint64_t apply_timeout_ms;
  bool polling_enabled; /* Whether this process polls the store.  */
  /* Called when REVISION has become active; TEXT is valid until the next
     revision becomes active.  */
  void (*on_revision) (void *owner, uint64_t revision, str_t text);
  void *owner;
} confstore_options_t;

/* Value of IF_REVISION that applies a change on top of any revision.  */
#define CONFSTORE_ANY UINT64_MAX

/* VH_OK: REVISION was accepted.
   VH_E_STALE_REVISION: the head is REVISION, not the expected revision.
   VH_E_NOT_ACCEPTED: the change was not made and will not be made.
   VH_E_STORE_LATE: the store became unavailable during the change; REVISION
   may have been accepted, and its history row names the author.  */
typedef void (*confstore_apply_cb_t) (void *arg, vh_code_t code,
                                      uint64_t revision);

/* One change in the history.  */
typedef struct
{
  uint64_t revision;
  str_t who;        /* Author of the change.  */
  uint64_t when_ms; /* Time of the change, in ms since the epoch.  */
  str_t delta;
} confstore_history_entry_t;

/* ENTRIES are ordered from the newest to the oldest and are valid during the
   callback.  */
typedef void (*confstore_history_cb_t) (
    void *arg, vh_code_t code, const confstore_history_entry_t *entries,
    size_t count);

confstore_t *confstore_create (const control_env_t *env,
                               const confstore_options_t *options);
/* Pending changes and history reads end with VH_E_CANCELLED before the call
   returns.  NULL is accepted.  */
void confstore_destroy (confstore_t *conf);
/* Return the active revision; 0 before the first revision.  */
uint64_t confstore_revision (const confstore_t *conf);
/* Return the text of the active revision; empty before the first
   revision.  */
str_t confstore_text (const confstore_t *conf);
/* Return the time since the active revision was last confirmed to be the
   head, in ms; UINT64_MAX if it was never confirmed.  */
uint64_t confstore_confirmed_age_ms (const confstore_t *conf);
void confstore_set_polling (confstore_t *conf, bool polls);
/* Read the head now, without waiting for the next poll.  */
void confstore_poll (confstore_t *conf);
/* Make TEXT, which the caller has validated, the next revision if the head is
   IF_REVISION.  */
void confstore_apply (confstore_t *conf, str_t text, str_t who,
                      uint64_t if_revision, confstore_apply_cb_t cb,
                      void *arg);
/* Read the last REVISION_LIMIT changes.  */
void confstore_history (confstore_t *conf, size_t revision_limit,
                        confstore_history_cb_t cb, void *arg);

/* Handle TEXT, which a peer sent as REVISION.  Return true if it became the
   active revision.  */
bool confstore_receive_text (confstore_t *conf, uint64_t revision, str_t text);
/* Handle the report of a peer that REVISION was confirmed as the head AGE_MS
   ago.  */
void confstore_record_confirmation (confstore_t *conf, uint64_t revision,
                                    uint64_t age_ms);
/* Append to BUF the update for a peer whose revision is PEER_REVISION: the
   deltas after that revision, or the whole text if it is shorter or if the
   deltas are no longer in memory.  Return false if the peer is up to date.  */
bool confstore_write_update (const confstore_t *conf, uint64_t peer_revision,
                             buf_t *buf);
/* Handle UPDATE, which confstore_write_update produced in a peer.  Return
   VH_OK, VH_E_PROTOCOL if it is malformed, or VH_E_STALE_REVISION if its
   first delta does not follow the active revision: the caller should then
   request an update from revision 0.  */
vh_code_t confstore_receive_update (confstore_t *conf, str_t update);

#endif
