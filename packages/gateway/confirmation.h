/* How recently the store confirmed this process's copy of a table.

   A reply shows that the copy was up to date when its call was sent, or, if
   another gateway passed the rows on, when that gateway's call was sent.  If
   the store's clock is known (storeclock.h), the time at which the store
   created the reply is a later such time.  */

#ifndef GATEWAY_CONFIRMATION_H
#define GATEWAY_CONFIRMATION_H

#include "gateway/rows.h"
#include "gateway/storeclock.h"

typedef struct
{
  store_clock_t store_clock; /* Converts store time to boot clock time.  */
  bool is_known;             /* Whether a reply was recorded.  */
  /* Latest time for which the copy is known to be up to date, in ms of the
     boot clock.  */
  uint64_t confirmed_ms;
} confirmation_t;

/* Return the latest time, in ms of the boot clock, for which RESULT shows a
   copy to be up to date.  Its call was sent at SENT_MS and its reply arrived
   at NOW_MS, both of the boot clock.  */
uint64_t confirmation_time_ms (const confirmation_t *confirmation,
                               const rows_result_t *result, uint64_t sent_ms,
                               uint64_t now_ms);
/* Record that RESULT was applied to the copy.  */
void confirmation_record (confirmation_t *confirmation,
                          const rows_result_t *result, uint64_t sent_ms,
                          uint64_t now_ms);
/* Forget the confirmation, because the copy is read anew.  The store's clock
   stays known.  */
void confirmation_reset (confirmation_t *confirmation);
/* Return the age of the confirmation at NOW_MS of the boot clock, in ms;
   UINT64_MAX if there is none.  */
uint64_t confirmation_age_ms (const confirmation_t *confirmation,
                              uint64_t now_ms);

#endif
