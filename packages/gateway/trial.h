/* The roll-out of one version of a service under a time limit.

   Answers: a version that fails, slows or fails on one route, at once or only
   later or under load.  Without it a bad version reaches every caller before
   anybody looks.

   - The share that the new version gets follows TRIAL_STEPS: parts of the
     order's time, so that every entry knows it without being told.  Its area
     up to the half of the time, a few percent of the requests, is what a bad
     version may be shown at most; evidence ends it sooner.
   - Evidence is the answers of both versions in cells by route, shared by all
     entries and forgotten with a half-life of about 4 s, so that a version
     that turns bad late is not covered by its good start.
   - A version is bad when in one cell its failures exceed the old version's by
     TRIAL_HARM and by TRIAL_SIGMAS standard errors, over TRIAL_SAMPLES
     answers; or its first event comes TRIAL_SLOW times as late.  */

#ifndef GATEWAY_TRIAL_H
#define GATEWAY_TRIAL_H

#include "base/code.h"
#include "base/str.h"

#define TRIAL_HARM 0.15
#define TRIAL_SIGMAS 3.0
#define TRIAL_SLOW 3.0
/* Part of its evidence that a second leaves.  */
#define TRIAL_KEEP_S 0.85

/* X (part of the time from which it holds, share).  Half of the time is for
   the evidence of a small share; the rest moves all sessions over and leaves a
   seventh for what still runs on the old version.  */
#define TRIAL_STEPS(X)                                                        \
  X (0.04, 0.05)                                                              \
  X (0.30, 0.10)                                                              \
  X (0.45, 0.25)                                                              \
  X (0.52, 0.50)                                                              \
  X (0.58, 1.00)

enum
{
  TRIAL_CELLS = 4,
  TRIAL_SAMPLES = 8
};

typedef struct trial trial_t;

typedef enum
{
  TRIAL_RUNNING,
  TRIAL_DONE,
  TRIAL_ROLLED_BACK
} trial_phase_t;

typedef enum
{
  TRIAL_OLD,
  TRIAL_NEW,
  TRIAL_ARMS
} trial_arm_t;

/* Sums over the answers of one arm in one cell.  */
typedef struct
{
  double count;
  double failed;
  double waits; /* Answers with a first event.  */
  double log_wait;
  double log_wait_squared;
} trial_sums_t;

/* ORDER tells one order from the next for the same version.  */
trial_t *trial_create (str_t service, str_t version, uint64_t order,
                       uint64_t within_ms);
void trial_destroy (trial_t *trial);
str_t trial_version (const trial_t *trial);
uint64_t trial_order (const trial_t *trial);
uint64_t trial_within_ms (const trial_t *trial);
trial_phase_t trial_phase (const trial_t *trial);
const char *trial_phase_name (trial_phase_t phase);
void trial_set_phase (trial_t *trial, trial_phase_t phase);
/* When the order was first seen, by the store's clock; 0: not known.  */
void trial_set_start (trial_t *trial, uint64_t start_ms);
uint64_t trial_start (const trial_t *trial);

/* Share of the requests for the new version at NOW_MS of the store's clock.
   It does not grow while HELD (the store is away and evidence stays home).  */
double trial_share (trial_t *trial, uint64_t now_ms, bool held);
/* Tell whether sessions that are on the old version stay there: in the first
   half of the order's time.  */
bool trial_keeps_old (const trial_t *trial, uint64_t now_ms);
/* Tell whether the session or request with hash KEY goes to the new version:
   a greater share only adds keys.  */
bool trial_assign (trial_t *trial, uint64_t key, uint64_t now_ms, bool held);

/* Take in an answer on a route with hash ROUTE; WAIT_MS until its first event,
   0 when there was none.  */
void trial_observe (trial_t *trial, trial_arm_t arm, uint64_t route,
                    bool failed, uint64_t wait_ms);
/* Forget by one second.  */
void trial_fade (trial_t *trial);
/* Requests of this entry that run on the old version.  */
void trial_old_running (trial_t *trial, uint32_t running);

/* What this entry tells the others, and what another one told.  */
void trial_write (const trial_t *trial, buf_t *out);
vh_code_t trial_merge (trial_t *trial, str_t entry, str_t text);
/* Tell whether anything was observed since the last write.  */
bool trial_dirty (const trial_t *trial);

/* Judge all evidence; WHY gets a sentence when the version is bad.  */
trial_phase_t trial_judge (trial_t *trial, uint64_t now_ms, buf_t *why);

#endif
