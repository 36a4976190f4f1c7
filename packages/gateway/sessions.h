/* Which version the requests of a session run on.

   Answers: a roll-out whose share grows while sessions go on.  Each growth
   would move the sessions between the old share and the new one to the other
   version in the middle of a conversation.  A session's requests come to one
   entry, as the balancer places a caller by a hash, so each entry remembers
   its own; a session that comes to another entry is placed by the same hash
   there.  Entries are forgotten SESSION time after their last request ended;
   the book holds about rate times that time of them, some hundreds.  */

#ifndef GATEWAY_SESSIONS_H
#define GATEWAY_SESSIONS_H

#include "base/clock.h"
#include "base/str.h"

typedef struct sessions sessions_t;

/* KEEP_MS: how long after the end of a request the next one belongs to the
   same session.  */
sessions_t *sessions_create (clock_iface_t *clock, uint64_t keep_ms);
void sessions_destroy (sessions_t *sessions);

/* The version, hashed, of the last request of session KEY; 0: none within the
   time.  */
uint64_t sessions_version (const sessions_t *sessions, uint64_t key);
/* A request of KEY runs on VERSION, until sessions_end.  */
void sessions_begin (sessions_t *sessions, uint64_t key, str_t version);
void sessions_end (sessions_t *sessions, uint64_t key);
/* Forget those whose time is over.  */
void sessions_sweep (sessions_t *sessions);
/* The hash of a version as sessions_version returns it; never 0.  */
uint64_t sessions_hash (str_t version);

#endif
