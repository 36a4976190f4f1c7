/* A platform that wraps another platform and delays, loses and refuses calls
   according to a seeded random schedule.  */

#ifndef TESTS_FAULTY_PLATFORM_H
#define TESTS_FAULTY_PLATFORM_H

#include "storage/storage.h"

/* Shares are probabilities from 0 to 1, and apply to transactions unless the
   comment says otherwise.  */
typedef struct
{
  bool down;       /* All calls end with VH_E_STORE_DOWN and no effect.  */
  bool hold_reads; /* Reads are held until faulty_release.  */
  bool hold_txns;  /* Transactions are held until faulty_release.  */
  /* Share of all calls that end with VH_E_STORE_DOWN and no effect.  */
  double fail_share;
  /* Takes effect, but ends with VH_E_STORE_LATE.  */
  double lost_reply_share;
  /* Has no effect and ends with VH_E_STORE_LATE.  */
  double lost_request_share;
  /* Ends with VH_E_STORE_LATE and takes effect later.  */
  double late_effect_share;
  uint64_t late_effect_ms; /* Maximum delay of a late effect.  */
  uint64_t delay_ms;       /* Maximum delay before any call starts.  */
} faulty_config_t;

/* Numbers of calls since faulty_create.  */
typedef struct
{
  uint64_t txns;
  uint64_t writes; /* Row writes in the transactions.  */
  uint64_t gets;
  uint64_t scans;
  uint64_t lost_replies; /* Transactions that lost their reply.  */
} faulty_counts_t;

/* The caller keeps ownership of INNER.  */
platform_t *faulty_create (uv_loop_t *loop, platform_t *inner, uint64_t seed);
/* Return the configuration, which the caller may change at any time.  */
faulty_config_t *faulty_config (platform_t *platform);
faulty_counts_t *faulty_counts (platform_t *platform);
/* Stop holding calls and resume the held calls.  */
void faulty_release (platform_t *platform);
/* Return the number of calls that have not ended or whose late effect is
   outstanding.  */
size_t faulty_pending (platform_t *platform);

#endif
