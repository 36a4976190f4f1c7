/* A platform around another that delays, loses and refuses by a seeded
   schedule, for tests of what stands on a platform.  */

#ifndef TESTS_FAULTY_PLATFORM_H
#define TESTS_FAULTY_PLATFORM_H

#include "storage/storage.h"

/* Shares are of transactions unless said otherwise.  */
typedef struct
{
  bool down;                /* All calls: VH_E_STORE_DOWN, no effect.  */
  bool hold_reads;          /* Reads wait until faulty_release.  */
  bool hold_txns;           /* So do transactions.  */
  double fail_share;        /* Of all calls: as DOWN.  */
  double lost_share;        /* Takes effect, told as VH_E_STORE_LATE.  */
  double vanish_share;      /* No effect, told as VH_E_STORE_LATE.  */
  double late_effect_share; /* Told as VH_E_STORE_LATE, effect comes later.  */
  uint64_t late_effect_ms;  /* How much later at most.  */
  uint64_t delay_ms;        /* Each call starts up to so much later.  */
} faulty_knobs_t;

typedef struct
{
  uint64_t txns;
  uint64_t writes;
  uint64_t gets;
  uint64_t scans;
  uint64_t lost;
} faulty_counts_t;

/* INNER stays the caller's.  */
platform_t *faulty_create (uv_loop_t *loop, platform_t *inner, uint64_t seed);
faulty_knobs_t *faulty_knobs (platform_t *platform);
faulty_counts_t *faulty_counts (platform_t *platform);
/* Let what is held go on.  */
void faulty_release (platform_t *platform);
/* Calls not yet told or without their late effect.  */
size_t faulty_pending (platform_t *platform);

#endif
