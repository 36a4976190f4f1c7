/* The upstream instances of all services, and which of them gets a request.

   Answers: many entries that choose among the same instances without asking
   each other.

   - One subject asked for again and again: the instance that has read the
     shared parts of its prompt is found by rendezvous hashing, the same at
     every entry.  Without it each entry warms an instance of its own.
   - A hot subject: its home is passed over once it carries
   POOL_HOT_LOAD_FACTOR times the mean load, and the next in rank becomes a
   second home.  Without it one instance queues while its peers idle.
   - A cold instance, which falls over at a rate that a warm one bears: each
     entry may send it at most its own part of what all entries together may
     send in a second (policy/allotment.h).  Instances turn cold without
     warning, so the part holds for warm ones too, at the bound that must hold
     even for a cold one.
   - A full instance: its report keeps requests away for POOL_FULL_DECAY_MS.
   - An instance that fails: POOL_EJECTION_FAILURES in a row take it out for
     POOL_EJECTION_FIRST_MS, doubled up to POOL_EJECTION_MAX_MS.  When all are
   out, all are in: then it is not the instances.
   - The first share of a new version: it goes to as few instances as make them
     a little more loaded than those of the old version.  Spread over all, a
     tenth of the traffic leaves them idle, and a version that is slow, or bad
     under load, looks good until it has everything.
   - An instance that went silent: it is looked at, and out at once when it
     takes no connection.  */

#ifndef POLICY_POOL_H
#define POLICY_POOL_H

#include "base/clock.h"
#include "base/code.h"
#include "base/str.h"
#include "policy/allotment.h"

#define POOL_HOT_LOAD_FACTOR 1.5

enum
{
  /* Three in a row are no chance at an error rate of a tenth (1 in 1,000).  */
  POOL_EJECTION_FAILURES = 3,
  /* A crashed instance is back after seconds; a probe by a live request each
     second costs one retry.  */
  POOL_EJECTION_FIRST_MS = 1000,
  POOL_EJECTION_MAX_MS = 8000,
  /* Load under which a home is always taken: a batch this small costs its
     members no more than alone.  */
  POOL_HOT_LOAD_MIN = 6,
  /* The window of the rate that a cold instance bears.  */
  POOL_RATE_WINDOW_MS = 1000,
  POOL_SEND_TIMES_MAX = 64,
  /* What an instance said of its load says little after this.  */
  POOL_REPORT_DECAY_MS = 2000,
  /* That it is full says nothing after this: a plain service answers in some
     dozens of milliseconds.  Who is believed full is sent nothing, so nothing
     would ever tell otherwise.  */
  POOL_FULL_DECAY_MS = 300,
  /* Prompt tokens not yet read that weigh as much as one running request: a
     chunk of prefill delays all tokens of a batch by as much as tens of
     further members.  */
  POOL_PROMPT_TOKENS_PER_REQUEST = 1000,
  /* An engine makes a token for each of its requests some dozens of times a
     second, so one that has requests and says nothing for so long is full of
     other entries' prompts, or gone.  */
  POOL_SILENCE_TIMEOUT_MS = 500,
  /* After it was found to be there it is looked at again so much later: a
     connection costs a hundredth of a short answer's worth.  */
  POOL_PROBE_INTERVAL_MS = 1000,
  /* Prompt tokens that a slow, cold engine reads in a millisecond while it
     makes none; a third of what a warm one reads with its largest model.  */
  POOL_PREFILL_TOKENS_PER_MS = 12
};

typedef struct pool pool_t;
typedef struct upstream upstream_t;

/* What an instance says of itself where it registers.  */
typedef struct
{
  str_t id;
  str_t service;
  str_t address;
  str_t zone;
  str_t version;
  uint32_t slots;
  bool draining;
  uint64_t cold_ms; /* For how much longer it stays cold.  */
  uint64_t born;    /* Tells one start under an id from the next.  */
} upstream_info_t;

typedef struct
{
  str_t zone; /* Of this entry.  */
  /* Who shares what an instance may get; NULL: this entry is alone.  Lives as
     long as the pool.  */
  const allotment_t *entries;
  /* A cold instance gets at most rate * factor + slack requests a second from
     all entries together.  */
  double cold_factor;
  double cold_slack;
} pool_options_t;

typedef enum
{
  VERSION_ARM_ANY,
  VERSION_ARM_OLD, /* Any version but the given one.  */
  VERSION_ARM_NEW  /* The given version.  */
} version_arm_t;

enum
{
  POOL_TRIED_MAX = 8
};

typedef struct
{
  str_t service;
  double cold_per_s; /* What a cold instance bears; 0: no bound.  */
  version_arm_t arm;
  str_t version; /* For the arm.  */
  size_t few; /* Of VERSION_ARM_NEW: only so many instances, the same at every
                 entry, as long as they have room; 0: all.  */
  uint64_t key; /* Hash of the shared prompt parts; 0: none.  */
  const upstream_t *const *tried;
  size_t tried_count;
} pool_criteria_t;

typedef enum
{
  SEND_OK,       /* Answered as it should.  */
  SEND_REFUSED,  /* Said that it did not run the request.  */
  SEND_FAILED,   /* Broke off, was silent, or answered with a failure.  */
  SEND_CANCELLED /* We ended it: says nothing of the instance.  */
} send_outcome_t;

pool_t *pool_create (clock_iface_t *clock, uint64_t seed,
                     const pool_options_t *options);
void pool_destroy (pool_t *pool);

/* An instance registered or changed.  */
void pool_put (pool_t *pool, const upstream_info_t *info);
/* Its registration is gone.  KEEP_MS: it may still be used for so long, as
   registrations lapse while the store is away.  */
void pool_remove (pool_t *pool, str_t id, uint64_t keep_ms);
/* VERSION of SERVICE was taken back, or is ordered again: then WITHDRAWN is
   false.  One that was taken back gets nothing, whatever else is on trial.  */
void pool_set_version_withdrawn (pool_t *pool, str_t service, str_t version,
                                 bool withdrawn);
/* Append the withdrawn versions of SERVICE, a space before each.  */
void pool_append_withdrawn_versions (const pool_t *pool, str_t service,
                                     buf_t *out);
void pool_set_zone_disabled (pool_t *pool, str_t zone, bool out);

/* Choose an instance.  Return VH_OK and *OUT, VH_E_NO_UPSTREAM when none may
   be used, or VH_E_FULL when those that may are full.  */
vh_code_t pool_select (pool_t *pool, const pool_criteria_t *want,
                       upstream_t **out);
/* How many instances of ARM of SERVICE are in service, counted up to MOST.  */
size_t pool_count (pool_t *pool, str_t service, version_arm_t arm,
                   str_t version, size_t most);
/* A request with PROMPT tokens left for UPSTREAM, which the sender holds
   until pool_request_finished.  */
void pool_request_started (pool_t *pool, upstream_t *upstream,
                           uint32_t prompt);
/* Its first event came: the prompt has been read.  */
void pool_prompt_processed (upstream_t *upstream, uint32_t prompt);
/* It is over; PROMPT unless pool_prompt_processed was told.  */
void pool_request_finished (pool_t *pool, upstream_t *upstream,
                            uint32_t prompt, send_outcome_t outcome);
/* Something came from UPSTREAM.  */
void pool_data_received (pool_t *pool, upstream_t *upstream);
/* When UPSTREAM, which has requests of this entry, is to be looked at unless
   it is heard before: POOL_SILENCE_TIMEOUT_MS after the last sign of it, and
   the time that the prompts sent to it take to be read.  0 when it is lost. */
uint64_t pool_probe_due_ms (const upstream_t *upstream);
/* A look at instance ID found that it takes connections, or does not: then it
   is lost until it is heard or gets a request again.  */
void pool_probe_finished (pool_t *pool, str_t id, bool reached);
bool upstream_is_unreachable (const upstream_t *upstream);
/* What an answer said.  */
void pool_record_load (pool_t *pool, upstream_t *upstream, uint32_t running,
                       uint32_t waiting, uint32_t slots);
void pool_set_cold (pool_t *pool, upstream_t *upstream, uint64_t cold_ms);

str_t upstream_id (const upstream_t *upstream);
str_t upstream_address (const upstream_t *upstream);
str_t upstream_version (const upstream_t *upstream);
/* Requests that run or wait there, of all entries as far as it said.  */
double upstream_request_count (const pool_t *pool, const upstream_t *upstream);
/* Requests that it runs at once, by its own word.  */
uint32_t upstream_slots (const upstream_t *upstream);
/* Requests of this entry that run there.  */
uint32_t upstream_running (const upstream_t *upstream);

#endif
