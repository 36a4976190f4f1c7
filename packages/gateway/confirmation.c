#include "gateway/confirmation.h"

uint64_t
confirmation_time_ms (const confirmation_t *confirmation,
                      const rows_result_t *result, uint64_t sent_ms,
                      uint64_t now_ms)
{
  uint64_t sent_time_ms
      = sent_ms > result->age_ms ? sent_ms - result->age_ms : 0;
  uint64_t store_time_ms = store_clock_to_local (
      &confirmation->store_clock, result->store_confirmed_ms, now_ms);

  return store_time_ms > sent_time_ms ? store_time_ms : sent_time_ms;
}

void
confirmation_record (confirmation_t *confirmation, const rows_result_t *result,
                     uint64_t sent_ms, uint64_t now_ms)
{
  if (result->is_direct)
    store_clock_add_sample (&confirmation->store_clock,
                            result->store_confirmed_ms, sent_ms, now_ms);
  uint64_t confirmed_ms
      = confirmation_time_ms (confirmation, result, sent_ms, now_ms);
  /* A reply that is older than the last one does not make the copy older.  */
  if (!confirmation->is_known || confirmed_ms > confirmation->confirmed_ms)
    confirmation->confirmed_ms = confirmed_ms;
  confirmation->is_known = true;
}

void
confirmation_reset (confirmation_t *confirmation)
{
  confirmation->is_known = false;
}

uint64_t
confirmation_age_ms (const confirmation_t *confirmation, uint64_t now_ms)
{
  if (!confirmation->is_known)
    return UINT64_MAX;
  return now_ms > confirmation->confirmed_ms
             ? now_ms - confirmation->confirmed_ms
             : 0;
}
