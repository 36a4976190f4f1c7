/* Service-level objectives: what each request's end means for them.  */

#include "entry/entryint.h"

#include <math.h>

enum
{
  /* Below it the codes are the caller's own doing, see base/code.h.  */
  FIRST_CODE_OF_OURS = 300
};

void
objective_configured (entry_t *entry)
{
  burn_objective_t objectives[BURN_OBJECTIVES_MAX];
  const objective_t *asked;
  size_t count = 0;

  while (count < BURN_OBJECTIVES_MAX
         && (asked = snapshot_objective_at (entry->snapshot, count)) != NULL)
    objectives[count++] = (burn_objective_t){
      .name = asked->name,
      .team = asked->team,
      .answered = asked->answered,
      .first_token_ms = asked->first_token_ms,
      .between_tokens_ms = asked->between_tokens_ms,
      .within = asked->within,
      .quality = asked->quality,
      .cost = asked->cost,
    };
  burn_set_objectives (entry->burn, objectives, count);
}

/* Mean time between the events of a stream, 0 when there were none.  */
static double
between_tokens_ms (const request_t *request)
{
  const try_t *at = &request->at;

  if (!request->stream || request->events < 2
      || at->last_byte_us <= at->first_byte_us)
    return 0;
  return (double)(at->last_byte_us - at->first_byte_us) / 1000.0
         / (request->events - 1);
}

void
objective_ended (const request_t *request, vh_code_t code)
{
  entry_t *entry = request->entry;
  const try_t *at = &request->at;

  if (request->team == NULL || code == VH_E_CANCELLED
      || (code != VH_OK && (int)code < FIRST_CODE_OF_OURS))
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
  if (at->member != NULL)
    sample.zone = str_from (at->member->zone);
  if (request->stream && at->first_byte_us > request->received_us)
    sample.first_token_ms
        = (double)(at->first_byte_us - request->received_us) / 1000.0;
  sample.between_tokens_ms = between_tokens_ms (request);
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
