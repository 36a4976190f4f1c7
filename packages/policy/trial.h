/* The roll-out of one version of a service under a time limit.

   Answers: a version that fails, slows or fails on one route, at once or only
   later or under load.  Without it a bad version reaches every caller before
   anybody looks.

   - The share that the new version gets goes up TRIAL_STEPS.  Which step is
     in force stands in a row that all entries share, with the moment of the
     store's clock from which it holds, so that all take it at once.  Nothing
     moves in the first half of the order's time: a session's requests come to
     any entry, none knows which sessions are under way elsewhere, and in that
     half these may not change their version.
   - No evidence shows a version that fails only under a load that its
     instances do not have yet, so its shares add up to a part of the
     operators' bound on what it may get within the order's time.  All requests
     go to it once it is done, as late as the order allows; what still runs on
     the old version then ends while its instances drain.
   - A step is left only while the store answers: an outage must not carry a
     version to everybody while the evidence against it stays home.
   - Evidence is the answers of both versions in cells by route, added up on
   the way to the entry that reads the store for the others, which judges it,
   and forgotten with a half-life of about 4 s, so that a version that turns
   bad late is not covered by its good start.
   - An instance that crashes ends all its requests, at each entry: one event
     that looks like many failures of its version.  A broken connection counts
     as TRIAL_BREAK of an answer, with which a version that breaks half of its
     requests is still found out.
   - A version that fails only where its instances carry load is covered by the
     answers of the others, so those of loaded instances have a cell of their
     own.
   - A version that is still in doubt when its time is nearly over is taken
     back: what holds it is evidence against it.
   - A version is bad when in one cell its failures exceed the old version's by
     TRIAL_HARM and by TRIAL_SIGMAS standard errors, over TRIAL_SAMPLES
     answers; or its first event comes TRIAL_SLOW times as late.
   - A version that fails nothing and is only slow shows in the time to its
     first event and between events, at instances as loaded as those of the old
     one: a time that is so many times the usual one there is late, and late
     answers count as failures do.  Without the load a version eight times as
     slow passes, as its instances are nearly empty.  */

#ifndef POLICY_TRIAL_H
#define POLICY_TRIAL_H

#include "base/code.h"
#include "base/str.h"

#define TRIAL_HARM 0.15
#define TRIAL_SIGMAS 3.0
#define TRIAL_SLOW 3.0
/* X (symbol, late, samples, standard errors, name): what is timed of a send,
   in how many usual times at that load it is late, and by how much and over
   how many samples late ones must exceed the old version's, whose share they
   must exceed by TRIAL_LATE_HARM too.

   First events wait behind prompts, which makes all late that are at one
   instance together.  The gaps between events depend on the size of the batch
   alone.  */
#define TRIAL_TIMINGS(X)                                                      \
  X (TRIAL_TIMING_FIRST_EVENT, 4.0, 16, 4.5, "first events")                  \
  X (TRIAL_TIMING_EVENT_GAP, 2.5, 8, 4.0, "gaps between events")
#define TRIAL_LATE_HARM 0.3
/* A step is not left while more are late by this and so many standard errors.
 */
#define TRIAL_LATE_DOUBT 0.15
#define TRIAL_DOUBT_SIGMAS 1.5
/* At the end a doubt cannot be waited out: it decides against the version.  */
#define TRIAL_LAST_SIGMAS 3.0
/* A broken connection counts as this part of a failure: a crash breaks several
   at once.  */
#define TRIAL_BREAK 0.2
/* ... and as this much where the version has to show that it is good.  */
#define TRIAL_BREAK_PROVEN 0.5
/* Part of its evidence that a second leaves.  */
#define TRIAL_KEEP_S 0.85
/* Of its times, which a dozen slow answers must be found in where three come a
   second.  */
#define TRIAL_KEEP_TIMES_S 0.95

/* A step is left once the new version has so many answers and fails at most by
   TRIAL_PROVEN more than the old one; without so many, after TRIAL_PATIENCE
   times its length.  */
#define TRIAL_PROVEN 0.1
/* ... and at the end in one cell by no more than this, or than so many
   standard errors.  */
#define TRIAL_CELL_PROVEN 0.13
#define TRIAL_CELL_SIGMAS 2.0
/* In one that gave so many answers of the old version the new one must have
   given some.  */
#define TRIAL_OFTEN 100.0
#define TRIAL_SEEN 2.0
#define TRIAL_ENOUGH 4.0
#define TRIAL_PATIENCE 3

/* X (symbol, part of the order's time that the step lasts at least).  */
#define TRIAL_STEPS(X)                                                        \
  X (TRIAL_STEP_NO_TRAFFIC, 0.50)                                             \
  X (TRIAL_STEP_FIRST, 0.11)                                                  \
  X (TRIAL_STEP_WIDER, 0.06)
/* Of the bound on exposure: what all shares may add up to, and the share of
   the first step.  */
#define TRIAL_SPENT 0.8
#define TRIAL_FIRST 0.7
/* The greatest share before the version is done.  */
#define TRIAL_WIDEST 0.35

typedef enum
{
#define X(symbol, part) symbol,
  TRIAL_STEPS (X)
#undef X
      TRIAL_STEP_COUNT
} trial_step_t;

typedef enum
{
#define X(symbol, late, samples, sigmas, name) symbol,
  TRIAL_TIMINGS (X)
#undef X
      TIMINGS
} trial_timing_t;

enum
{
  TRIAL_CELLS = 4,
  /* One more holds the answers of loaded instances, whatever their route.  */
  TRIAL_CELLS_ALL = TRIAL_CELLS + 1,
  TRIAL_SAMPLES = 9,
  /* Loads are told apart by their power of two.  */
  TRIAL_LOADS = 8,
  /* A step in force is read by all entries within a second of its writing,
     and a second of answers must be judged before the next.  */
  TRIAL_STEP_NOTICE_MS = 1000,
  /* Instances that get their first requests have read no prompt yet: their
     first events say nothing of the version for so long.  */
  TRIAL_WARM_MS = 1000,
  /* Entries tell what they saw each second, and one that turns to another
     reader must not be counted by both for long.  */
  TRIAL_PEER_S = 4,
  TRIAL_STEP_MS_MIN = 1500,
  /* A version is declared good so long before the order's time is over that
     the operators read it in time, and one in doubt is taken back.  */
  TRIAL_FINISH_MS = 700,
  TRIAL_DOUBT_MS = 300
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

/* X (field, decimals as told, what a second leaves): sums over answers, in the
   order in which they are told.  */
#define TRIAL_SUMS(X)                                                         \
  X (count, 2, TRIAL_KEEP_S)                                                  \
  X (failed, 2, TRIAL_KEEP_S)                                                 \
  /* By a broken connection; not weighted.  */                                \
  X (broken, 2, TRIAL_KEEP_S)                                                 \
  /* As count and failed, but nothing is forgotten and broken connections do  \
     not count.  */                                                           \
  X (all_count, 1, 1)                                                         \
  X (all_failed, 1, 1)                                                        \
  /* Answers with a first event.  */                                          \
  X (waits, 2, TRIAL_KEEP_S)                                                  \
  X (log_wait, 3, TRIAL_KEEP_S)                                               \
  X (log_wait_squared, 3, TRIAL_KEEP_S)

/* Sums over the answers of one arm in one cell.  */
typedef struct
{
#define X(field, decimals, keep) double field;
  TRIAL_SUMS (X)
#undef X
  double timed[TIMINGS];
  double late[TIMINGS]; /* Of these.  */
} trial_sums_t;

/* ORDER tells one order from the next for the same version.  EXPOSURE: part of
   the service's requests that the version may get within WITHIN_MS.  */
trial_t *trial_create (str_t service, str_t version, uint64_t order,
                       uint64_t within_ms, double exposure);
/* When this entry saw the order, by the store's clock; 0: not known.  */
void trial_set_order_seen_ms (trial_t *trial, uint64_t seen_ms);
uint64_t trial_order_seen_ms (const trial_t *trial);
void trial_destroy (trial_t *trial);
str_t trial_version (const trial_t *trial);
uint64_t trial_order (const trial_t *trial);
uint64_t trial_time_limit_ms (const trial_t *trial);
trial_phase_t trial_phase (const trial_t *trial);
const char *trial_phase_name (trial_phase_t phase);
void trial_set_phase (trial_t *trial, trial_phase_t phase);
/* Whether the shared row bears a final phase.  */
void trial_set_final_phase_stored (trial_t *trial, bool written);
bool trial_is_final_phase_stored (const trial_t *trial);
/* What the shared row says: when the order was first seen, the step, and from
   when it holds, all by the store's clock.  */
void trial_set_progress (trial_t *trial, uint64_t start_ms, uint32_t step,
                         uint64_t from_ms);
/* 0 while the row is not known.  */
uint64_t trial_start_ms (const trial_t *trial);
uint32_t trial_step (const trial_t *trial);
uint64_t trial_step_start_ms (const trial_t *trial);

/* Share of the requests for the new version at NOW_MS of the store's clock.
 */
double trial_share (const trial_t *trial, uint64_t now_ms);
/* Tell whether the session or request with hash KEY goes to the new version:
   a greater share only adds keys.  */
bool trial_is_assigned (const trial_t *trial, uint64_t key, uint64_t now_ms);

/* What became of the sends of one request so far.  */
typedef struct
{
  bool any; /* It was sent before, to ARM.  */
  trial_arm_t arm;
  bool failed; /* A send to the new version failed.  */
} trial_send_history_t;

/* The arm of a request with hash KEY.  It stays with the arm of its first
   send: a stream that was broken on the old version must not go on at one
   that may be bad, where a second failure would end it.  What failed on the
   new version goes to the old one.  */
trial_arm_t trial_choose_arm (const trial_t *trial, uint64_t key,
                              uint64_t now_ms,
                              const trial_send_history_t *sent);

typedef enum
{
  TRIAL_ANSWERED,
  TRIAL_FAILED,         /* The upstream answered with a failure, or never.  */
  TRIAL_CONNECTION_LOST /* Its connection ended or the instance is gone.  */
} trial_outcome_t;

/* Take in what became of a send on a route with hash ROUTE; WAIT_MS until its
   first event, 0 when there was none.  IS_LOADED: the instance ran requests in
   half of its slots or more.  */
void trial_observe (trial_t *trial, trial_arm_t arm, uint64_t route,
                    trial_outcome_t outcome, uint64_t wait_ms, bool is_loaded);
/* A send on a route with hash ROUTE took MS for TIMING at an instance with
   LOAD requests, of all entries, until NOW_MS of the store's clock.  */
void trial_observe_timing (trial_t *trial, trial_arm_t arm, uint64_t route,
                           trial_timing_t timing, uint32_t load, double ms,
                           uint64_t now_ms);
/* Forget by one second.  */
void trial_decay (trial_t *trial);

/* What this entry tells: what it saw and, with ALL, what others told it.  */
void trial_write (trial_t *trial, bool all, buf_t *out);
/* ENTRY says TEXT: TOLD to this entry, or where all can read it.  It counts
   until TRIAL_PEER_S seconds went by without another word.  */
vh_code_t trial_merge (trial_t *trial, str_t entry, bool told, str_t text);
/* Tell whether anything was observed since the last write.  */
bool trial_has_unwritten_counts (const trial_t *trial);

typedef enum
{
  TRIAL_WAIT,      /* Nothing to do yet.  */
  TRIAL_ADVANCE,   /* Take the next step.  */
  TRIAL_ROLL_BACK, /* The version is bad.  */
  TRIAL_FINISH     /* The old version may stop.  */
} trial_decision_t;

/* Judge all evidence; WHY gets a sentence when the version is bad.  ALONE:
   the store does not answer, so the evidence of others is not here.  */
trial_decision_t trial_decide (const trial_t *trial, uint64_t now_ms,
                               bool alone, buf_t *why);

#endif
