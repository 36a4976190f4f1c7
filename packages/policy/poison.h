/* Requests suspected of ending the upstreams that run them.

   Answers: now and then one request crashes every upstream that runs it, and
   its caller sends it again, with the same request id or a new one.  Without
   this each resend takes down one more upstream, with all that runs there.

   When an upstream dies every request in flight there gets the death as a
   mark, under the digest of its content and under its request id.  One mark
   makes a suspect, two of different deaths a refusal.  An innocent that was
   beside the culprit must not be condemned by a second coincidence, so a
   suspect shares an upstream with no other suspect (each death then condemns
   one request at most), and with nothing that may not be repeated, which its
   death would leave unknown.

   Marks are pairs of key and death id, so a process may take in those of
   another in any order and any number of times.

   - POISON_KEYS_MAX 4096 of 48 bytes: a death marks as many requests as an
     upstream runs, some dozens, under two keys; room for about thirty deaths
     at a time.  When it is full, the mark that expires first gives way, a
     refusal last.
   - POISON_EXPIRY_MS 3600000: resends come within minutes; after an hour the
     upstream's software may have changed.  */

#ifndef POLICY_POISON_H
#define POLICY_POISON_H

#include "base/clock.h"
#include "base/code.h"
#include "base/str.h"

enum
{
  POISON_KEYS_MAX = 4096,
  POISON_EXPIRY_MS = 3600000,
  POISON_DEATHS = 2
};

typedef struct poison poison_t;

typedef struct
{
  uint64_t high;
  uint64_t low;
} poison_key_t;

typedef enum
{
  POISON_CLEAR,
  POISON_SUSPECT,
  POISON_REFUSED
} poison_class_t;

/* One mark, as it goes between processes.  */
typedef struct
{
  poison_key_t key;
  uint64_t death;
  uint64_t age_ms;
} poison_record_t;

/* What runs on an upstream, for poison_may_run_beside.  */
typedef struct
{
  uint32_t suspects;
  uint32_t not_repeatable;
} poison_in_flight_t;

/* CLOCK is borrowed.  */
poison_t *poison_create (clock_iface_t *clock);
void poison_destroy (poison_t *poison);

/* Return the key of a digest of the request's content (model and body), and
   that of a request id; the two never meet.  */
poison_key_t poison_digest_key (str_t digest);
poison_key_t poison_request_key (str_t team, str_t request_id);

/* The request with these keys was in flight where DEATH happened: an id the
   sidecar drew at random for it.  */
void poison_record_crash (poison_t *poison, poison_key_t digest,
                          poison_key_t request, uint64_t death);

/* Judge a request by both its keys.  */
poison_class_t poison_classify (const poison_t *poison, poison_key_t digest,
                                poison_key_t request);

/* Whether a request with VERDICT may start beside COMPANY on one upstream.  */
bool poison_may_run_beside (poison_class_t verdict, bool repeatable,
                            const poison_in_flight_t *company);

/* Take in a mark of another process; return whether it was news.  */
bool poison_merge (poison_t *poison, const poison_record_t *mark);
/* Step through the marks: start with *CURSOR 0; return false at the end.  */
bool poison_next_record (const poison_t *poison, size_t *cursor,
                         poison_record_t *mark);

#endif
