#include "gateway/instance_noticesint.h"

#include "base/eventlog.h"
#include "gateway/announced_limitsint.h"

#include <math.h>

enum
{
  MS_PER_S = 1000,
  PERCENT = 100,
  /* Highest figure of a load report that is used.  No engine has nearly as
     many slots; a sum of two figures has room in 32 bits.  */
  LOAD_FIGURE_MAX = 1000000
};

/* Record the time factor TEXT, in percent, that RELAY's instance
   reported.  */
static void
observe_time_factor (const relay_t *relay, str_t text)
{
  gateway_state_t *state = relay->state;
  uint64_t percent;
  double old_factor;
  double factor;

  if (!str_to_u64 (str_trim (text), &percent) || percent > UINT32_MAX
      || !pool_record_time_factor (state->pool, relay->upstream,
                                   (uint32_t)percent))
    {
      counter_add (state->counters.loads_ignored, 1);
      return;
    }
  if (pool_take_time_factor_change (state->pool, relay->upstream, &old_factor,
                                    &factor))
    log_event (EVENT_SPEED,
               log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
               log_field_number (FIELD_TIME_PERCENT,
                                 (uint64_t)lround (factor * PERCENT)),
               log_field_number (FIELD_OLD_TIME_PERCENT,
                                 (uint64_t)lround (old_factor * PERCENT)));
}

/* Record the load report TEXT of RELAY's instance.  A time factor that cannot
   be used leaves the other figures in force.  */
static void
observe_load (relay_t *relay, str_t text)
{
  uint64_t values[3] = { 0, 0, 0 };
  size_t count = 0;

  if (text.ptr == NULL)
    return;
  while (text.ptr != NULL && count < 3
         && str_to_u64 (str_trim (str_cut (text, ',', &text)), &values[count])
         && values[count] <= LOAD_FIGURE_MAX)
    count++;
  if (count < 3)
    {
      counter_add (relay->state->counters.loads_ignored, 1);
      return;
    }
  relay->upstream_request_count = (uint32_t)(values[0] + values[1]);
  relay->is_upstream_loaded = values[0] * 2 >= values[2];
  pool_record_load (relay->state->pool, relay->upstream, (uint32_t)values[0],
                    (uint32_t)values[1], (uint32_t)values[2]);
  if (text.ptr != NULL)
    observe_time_factor (relay, text);
}

static void
observe_leaving (const relay_t *relay, const http_exchange_head_t *head)
{
  str_t text = http_exchange_header (head, relay->state->names->leaving);

  /* A misdirected request is answered by another instance, which may have got
     the address of this one.  */
  if (head->status == 421 || !str_eq (str_trim (text), STR ("1"))
      || !pool_announce_leaving (relay->state->pool, relay->upstream))
    return;
  log_event (EVENT_LEAVING,
             log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
             log_field_number (FIELD_STATUS, (uint64_t)head->status));
}

/* Return the longest time in ms for which HEAD asks for a pause; 0 if it asks
   for none.  */
static uint64_t
asked_pause_ms (const relay_t *relay, const http_exchange_head_t *head)
{
  str_t name = relay->state->names->retry_after;
  double longest_s = 0;

  for (size_t i = 0; i < head->header_count; i++)
    {
      str_t text = head->headers[i].value;
      double pause_s;
      if (!str_eq_nocase (head->headers[i].name, name))
        continue;
      if (!str_to_double (str_trim (text), &pause_s) || !isfinite (pause_s)
          || pause_s < 0)
        log_event (
            EVENT_PAUSE_BAD,
            log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
            log_field_text (FIELD_VALUE, text));
      else if (pause_s > longest_s)
        longest_s = pause_s;
    }
  return longest_s * MS_PER_S < POOL_PAUSE_MAX_MS
             ? (uint64_t)ceil (longest_s * MS_PER_S)
             : POOL_PAUSE_MAX_MS;
}

static void
observe_pause (const relay_t *relay, const http_exchange_head_t *head)
{
  if (head->status != 503)
    return;
  uint64_t pause_ms = asked_pause_ms (relay, head);
  if (pause_ms == 0)
    return;
  pause_ms = pool_pause (relay->state->pool, relay->upstream, pause_ms);
  if (pause_ms > 0)
    log_event (EVENT_PAUSE,
               log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
               log_field_number (FIELD_PAUSE_MS, pause_ms));
}

void
instance_notices_observe (relay_t *relay, const http_exchange_head_t *head)
{
  const gateway_state_t *state = relay->state;
  const header_names_t *names = state->names;
  str_t cold = http_exchange_header (head, names->cold_ms);
  uint64_t cold_ms;

  observe_load (relay, http_exchange_header (head, names->load));
  if (cold.ptr != NULL && str_to_u64 (cold, &cold_ms) && cold_ms > 0)
    pool_set_cold (state->pool, relay->upstream, cold_ms);
  announced_limits_observe (state->announced_limits, relay->upstream, head,
                            relay->dispatched_ms);
  observe_leaving (relay, head);
  observe_pause (relay, head);
}
