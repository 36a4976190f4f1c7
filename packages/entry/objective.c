/* Service-level objectives: classification of ended requests.  */

#include "entry/entryint.h"

#include <math.h>

enum
{
  /* Lower codes are errors of the caller; see base/code.h.  */
  FIRST_SERVER_SIDE_CODE = 300
};

void
objective_config_changed (entry_t *entry)
{
  burn_objective_t objectives[BURN_OBJECTIVES_MAX];
  const objective_t *objective;
  size_t count = 0;

  while (count < BURN_OBJECTIVES_MAX
         && (objective = snapshot_objective_at (entry->snapshot, count))
                != NULL)
    objectives[count++] = (burn_objective_t){
      .name = objective->name,
      .team = objective->team,
      .answered_share = objective->answered,
      .first_token_ms = objective->first_token_ms,
      .between_tokens_ms = objective->between_tokens_ms,
      .timely_share = objective->within,
      .quality_target = objective->quality,
      .cost_budget = objective->cost,
    };
  burn_set_objectives (entry->burn, objectives, count);
}

/* Return the mean time between two events of a stream, in ms; 0 if there were
   fewer than two events.  */
static double
mean_token_gap_ms (const request_t *request)
{
  const entry_attempt_t *attempt = &request->attempt;

  if (!request->stream || request->event_count < 2
      || attempt->last_byte_us <= attempt->first_byte_us)
    return 0;
  return (double)(attempt->last_byte_us - attempt->first_byte_us) / 1000.0
         / (request->event_count - 1);
}

void
objective_request_ended (const request_t *request, vh_code_t code)
{
  entry_t *entry = request->entry;
  const entry_attempt_t *attempt = &request->attempt;

  if (request->team == NULL || code == VH_E_CANCELLED
      || (code != VH_OK && (int)code < FIRST_SERVER_SIDE_CODE))
    return;
  burn_sample_t sample = { .team = request->team->name,
                           .answered = code == VH_OK,
                           .rating = NAN,
                           .cost = request->cost_micro / 1e6 };
  if (request->version != NULL)
    {
      sample.model = request->version->model->name;
      sample.version = request->version->name;
    }
  else if (request->service != NULL)
    sample.model = request->service->name;
  if (attempt->member != NULL)
    sample.zone = str_from (attempt->member->zone);
  if (request->stream && attempt->first_byte_us > request->received_us)
    sample.first_token_ms
        = (double)(attempt->first_byte_us - request->received_us) / 1000.0;
  sample.between_tokens_ms = mean_token_gap_ms (request);
  burn_observe (entry->burn, &sample, clock_realtime_ms (entry->clock));
}

void
entry_write_burn_report (entry_t *entry, burn_format_t format, buf_t *out)
{
  uint64_t now_ms = clock_realtime_ms (entry->clock);

  switch (format)
    {
    case BURN_FORMAT_TEXT:
      burn_write_text (entry->burn, now_ms, out);
      break;
    case BURN_FORMAT_JSON:
      burn_write_json (entry->burn, now_ms, out);
      break;
    case BURN_FORMAT_HTML:
      burn_write_html (entry->burn, now_ms, out);
      break;
    }
}
