#include "gateway/instance_noticesint.h"

#include "base/eventlog.h"
#include "gateway/announced_limitsint.h"

static void
observe_load (relay_t *relay, str_t text)
{
  uint64_t values[3] = { 0, 0, 0 };
  size_t count = 0;

  while (text.ptr != NULL && count < 3
         && str_to_u64 (str_trim (str_cut (text, ',', &text)), &values[count]))
    count++;
  if (count < 3)
    return;
  relay->upstream_request_count = (uint32_t)(values[0] + values[1]);
  relay->is_upstream_loaded = values[0] * 2 >= values[2];
  pool_record_load (relay->state->pool, relay->upstream, (uint32_t)values[0],
                    (uint32_t)values[1], (uint32_t)values[2]);
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
}
