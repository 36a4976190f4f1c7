/* The request rate that an instance announced: how many requests a second it
   accepts from all gateways together, until it no longer announces it.

   Load pattern: an instance in need accepts one request a second, and hundreds
   of gateways send to it, none of which sees the requests of the others.  With
   shares rounded up to one request each gateway sends one.  With shares
   rounded down, and with whole units given to the gateways that rank first,
   most gateways never send, and so never see that the limit has ended.

   - The rate R is divided into time slots.  A slot starts every 1 / R seconds
     of a clock that the gateways share, and permits one request.  Slot K
     belongs to the gateway whose rank for the instance is K mod N, among N
     gateways, so each gateway has a slot in every N / R seconds.
   - A slot is valid from its start for rate_limit_slot_validity_ms, so that
     unused slots do not accumulate.  The requests of a span of S seconds use
     slots that started in it or within the validity before it: at most
     R * (S + 2) + 3, for any N.
   - A gateway that has stopped wastes its own slots only.
   - A gateway whose clock or list of gateways differs from the others' still
     uses every Nth slot, so the sum over all gateways keeps its mean.
   - After the end of a limit its rate doubles every second up to
     RATE_LIMIT_RAMP_END_PER_S, where it no longer applies: the instance looks
     idle to all gateways, and would get their next requests all at once.  */

#ifndef POLICY_RATELIMIT_H
#define POLICY_RATELIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Lowest rate at which requests are sent, also to an instance that announces
   0: only its responses show that a limit has ended.  */
#define RATE_LIMIT_MIN_PER_S 0.1
/* Rate from which on a limit is not enforced.  */
#define RATE_LIMIT_MAX_PER_S 1000.0
#define RATE_LIMIT_RAMP_END_PER_S 64.0

/* The limit of one instance, as known to this gateway.  A zeroed structure has
   no limit.  Times are monotonic, in ms, unless noted otherwise.  */
typedef struct
{
  bool is_announced;     /* Whether the instance announces a limit.  */
  double rate_per_s;     /* Rate that was announced last.  */
  uint64_t since_ms;     /* Time at which the limit became known.  */
  uint64_t confirmed_ms; /* Time of the last announcement.  */
  uint64_t ended_ms;     /* Time at which the limit ended; 0 if it is announced
                            or was never known.  */
  uint64_t slots_from_ms; /* Time from which on slots may be used.  */
  bool has_used_slot;     /* A slot was used.  */
  double used_slot_ms;    /* Time at which the last slot used starts.  */
} rate_limit_t;

/* The slots of one gateway.  */
typedef struct
{
  double rate_per_s; /* Of the instance, over all gateways; above 0.  */
  size_t rank;       /* Rank of the gateway for the instance, from 0.  */
  size_t gateway_count;
} rate_limit_slots_t;

/* Record the announcement of RATE_PER_S, at least 0.  Return whether there was
   no limit before, or one of another rate.  */
bool rate_limit_announce (rate_limit_t *limit, double rate_per_s,
                          uint64_t now_ms);
/* Record that the instance no longer announces a limit.  Return whether there
   was one.  */
bool rate_limit_end (rate_limit_t *limit, uint64_t now_ms);
/* Return the rate to enforce now, between RATE_LIMIT_MIN_PER_S and
   RATE_LIMIT_MAX_PER_S; 0 if there is no limit to enforce.  */
double rate_limit_enforced_per_s (const rate_limit_t *limit, uint64_t now_ms);

/* Return for how long after its start a slot is valid at RATE_PER_S.  */
double rate_limit_slot_validity_ms (double rate_per_s);
/* Return the start, in shared time, of the first slot of SLOTS after AFTER_MS.
 */
double rate_limit_slot_after_ms (const rate_limit_slots_t *slots,
                                 double after_ms);
/* Return whether SLOTS has an unused slot at NOW_MS, when the shared time is
   SHARED_NOW_MS.  */
bool rate_limit_has_slot (const rate_limit_t *limit,
                          const rate_limit_slots_t *slots, uint64_t now_ms,
                          uint64_t shared_now_ms);
/* Use the oldest valid slot of SLOTS, if there is one.  */
void rate_limit_use_slot (rate_limit_t *limit, const rate_limit_slots_t *slots,
                          uint64_t now_ms, uint64_t shared_now_ms);

#endif
