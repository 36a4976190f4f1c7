/* Requests suspected of crashing the upstreams that run them.

   Load pattern: now and then one request crashes every upstream that runs it,
   and its caller sends it again, with the same request id or a new one.
   Without this module each resend crashes one more upstream and ends all
   requests that run there.

   When an upstream crashes, the crash is recorded for every request in flight
   there, under the digest of the request's content and under its request id.
   A request with one recorded crash is a suspect, a request with two different
   recorded crashes is refused.  A harmless request that ran beside the cause
   of one crash must not be refused because of a second coincidence.  A suspect
   therefore shares an upstream with no other suspect, so that each crash makes
   one request refused at most; and with no request that is not idempotent,
   whose outcome would be unknown after a crash.

   A process that sees a crash only as broken connections records it for each
   request that it lost there, most of which ran there by chance.  Two rules
   keep those from being refused.  A run that ends without a crash clears the
   records of its request.  A request that ended so within
   POISON_SUCCESS_MEMORY_MS, such as a read that many callers repeat, is
   refused with POISON_CRASHES_TO_REFUSE_PROVEN crashes only.  A request that
   is refused in spite of them gets poison_options_t.test_runs_max test runs,
   the first after POISON_TEST_DELAY_MS, each further one after twice the
   time.

   A crash may also be due to one part of a prompt, whatever else the request
   holds.  Requests with this part are no two alike, so the parts of a request
   have keys of their own, all but the last, which is its own.  Many innocent
   parts are in flight in a crash.  What tells them apart:

   - A guilty part crashes each upstream that begins to answer it.  Any run
     that has begun, and any that still waits behind others when its upstream
     ends, speaks for its parts: the first clears them, and shows that they are
     innocent; only those of runs that have not begun, or just began, get a
     record of the crash.
   - A part without such a run is refused with
     POISON_PART_CRASHES_TO_REFUSE crashes.  A part that ran well is in flight
     in every crash of a busy service, also when many upstreams end at once.
     Of its crashes since its last good run, those within POISON_CLUSTER_MS
     count as one, and it is refused with POISON_PART_CLUSTERS_TO_REFUSE.
   - One crash has one cause.  It counts for no other key when a part that
   never ran well has more crashes than that key.

   Records are pairs of a key and a crash id, so that a process may merge the
   records of another process in any order and any number of times.

   - POISON_KEYS_MAX 4096 of 232 bytes: a crash is recorded for all requests
     that an upstream runs, some dozens, under two keys each, so there is room
     for about thirty crashes at a time.  Keys are stored in small sets by
     hash.  When the set of a new key is full, one key of the set is dropped
     with its records: an expired key first, then the key with the fewest
     crashes, and among these the key that expires first.
   - POISON_EXPIRY_MS 3600000: resends arrive within minutes; after an hour the
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
  /* Number of different crashes with which a request is refused.  */
  POISON_CRASHES_TO_REFUSE = 2,
  /* Number of different crashes with which a request is refused that ran
     without a crash in the last POISON_SUCCESS_MEMORY_MS.  */
  POISON_CRASHES_TO_REFUSE_PROVEN = 4,
  POISON_SUCCESS_MEMORY_MS = 60000,
  /* Keys whose last run without a crash is remembered.  */
  POISON_SUCCESSES_MAX = 4096,
  POISON_TEST_DELAY_MS = 60000,
  /* Different crashes with which a request gets no further test run.  */
  POISON_CRASHES_MAX = 6,
  /* Number of crashes with which a part is refused that never ran well, and of
     groups of crashes with which one is refused that did.  */
  POISON_PART_CRASHES_TO_REFUSE = 3,
  POISON_PART_CLUSTERS_TO_REFUSE = 5,
  POISON_CLUSTER_MS = 300,
  /* Crashes that are recorded for a part.  */
  POISON_PART_CRASHES_MAX = 12
};

typedef struct
{
  /* Test runs of a request that is refused.  There are fewer if it reaches
     POISON_CRASHES_MAX before.  */
  uint32_t test_runs_max;
} poison_options_t;

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

/* One recorded crash of one key, as processes exchange it.  */
typedef struct
{
  poison_key_t key;
  uint64_t crash_id;
  uint64_t age_ms;
} poison_record_t;

/* Numbers of requests that run on an upstream and restrict what may start
   beside them, for poison_may_run_beside.  */
typedef struct
{
  uint32_t suspect_count;
  uint32_t nonidempotent_count;
} poison_in_flight_t;

/* Return a new table without records, owned by the caller.  CLOCK is
   borrowed, OPTIONS copied.  */
poison_t *poison_create (clock_iface_t *clock,
                         const poison_options_t *options);
/* Free POISON, which may be NULL.  */
void poison_destroy (poison_t *poison);

/* Return the key of a digest of the request's content (model and body), and
   the key of a request id.  The kinds never have equal keys.  */
poison_key_t poison_digest_key (str_t digest);
poison_key_t poison_request_key (str_t team, str_t request_id);
/* Return the key of a prompt part, of which PART is the service and the id. */
poison_key_t poison_part_key (str_t part);
bool poison_is_part (poison_key_t key);
bool poison_same_key (poison_key_t a, poison_key_t b);

/* Record that the request with these keys was in flight when an upstream
   crashed.  CRASH_ID is the id that the sidecar drew at random for the
   crash.  */
void poison_record_crash (poison_t *poison, poison_key_t digest,
                          poison_key_t request, uint64_t crash_id);

/* Return the class of the request with the keys DIGEST and REQUEST: whether it
   may run, and whether it may run beside others.  */
poison_class_t poison_classify (const poison_t *poison, poison_key_t digest,
                                poison_key_t request);

/* Return the class of requests with KEY alone, of any kind.  */
poison_class_t poison_classify_key (const poison_t *poison, poison_key_t key);

/* Record that the request with KEY ended AGE_MS ago without a crash.  Return
   the number of crashes that were recorded for it and are cleared.  */
uint32_t poison_record_success (poison_t *poison, poison_key_t key,
                                uint64_t age_ms);
/* Return the number of crashes recorded for KEY.  */
uint32_t poison_crash_count (const poison_t *poison, poison_key_t key);
/* Return the time in ms until a test run of the refused request with KEY is
   due; UINT64_MAX if it gets none.  */
uint64_t poison_test_wait_ms (const poison_t *poison, poison_key_t key);
/* Record that a test run of the request with KEY starts now.  */
void poison_test_started (poison_t *poison, poison_key_t key);

/* Return whether a request of CLASS may start on an upstream that runs
   IN_FLIGHT.  IDEMPOTENT: the request may be sent again after a crash.  */
bool poison_may_run_beside (poison_class_t class, bool idempotent,
                            const poison_in_flight_t *in_flight);

/* Add a record of another process.  Return false if the record was known or is
   expired, or if its key already has enough crashes to be refused.  */
bool poison_merge (poison_t *poison, const poison_record_t *record);
/* Step through the records that are not expired: start with *CURSOR 0; return
   false at the end.  */
bool poison_next_record (const poison_t *poison, size_t *cursor,
                         poison_record_t *record);

#endif
