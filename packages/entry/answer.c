/* Towards the caller: errors, whole answers and streams.  */

#include "entry/entryint.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  HEADERS_OUT = WIRE_HEADERS_MAX + 12,
  /* Without any estimate of the wait.  */
  RETRY_AFTER_DEFAULT_MS = 1000
};

void
answer_error (httpd_req_t *http, vh_code_t code, const char *outcome,
              str_t request_id, uint64_t retry_after_ms)
{
  const code_info_t *info = code_info (code);
  httpc_header_t headers[4];
  size_t count = 0;
  buf_t body = BUF_NULL;
  char seconds[24];
  bool is_retryable = info->http_status == 429 || info->http_status == 503
                      || (code == VH_E_DEADLINE && retry_after_ms > 0);

  code_write_error (code, outcome, &body);
  buf_append_char (&body, '\n');
  headers[count++]
      = (httpc_header_t){ STR ("content-type"), STR ("application/json") };
  headers[count++]
      = (httpc_header_t){ STR ("vanillahook-outcome"), str_from (outcome) };
  if (request_id.len > 0)
    headers[count++]
        = (httpc_header_t){ STR ("vanillahook-request-id"), request_id };
  if (is_retryable)
    {
      uint64_t wait_ms
          = retry_after_ms > 0 ? retry_after_ms : RETRY_AFTER_DEFAULT_MS;
      snprintf (seconds, sizeof seconds, "%llu",
                (unsigned long long)((wait_ms + 999) / 1000));
      headers[count++]
          = (httpc_header_t){ STR ("retry-after"), str_from (seconds) };
    }
  httpd_reply (http, info->http_status, headers, count, buf_str (&body));
  buf_free (&body);
}

/* End REQUEST with an error that tells OUTCOME.  */
static void
end_with_error (request_t *request, vh_code_t code, const char *outcome)
{
  httpd_req_t *http = request->http;
  str_t id = str_from (request->request_id);

  if (http != NULL)
    {
      httpd_set_callbacks (http, NULL, NULL, NULL);
      answer_error (http, code, outcome, id, request->retry_after_ms);
    }
  request_destroy (request);
}

/* Set when the caller of a request that found no room is to return: not
   before its share has worked off what was refused, spread over that time.  */
static void
spread_return (request_t *request, vh_code_t code)
{
  if ((code != VH_E_FULL && code != VH_E_DEADLINE) || request->pool == NULL)
    return;
  uint64_t wait_ms = 1000ull
                     * admission_retry_after_s (request->pool->admission,
                                                request->team->name);
  if (wait_ms > request->retry_after_ms)
    request->retry_after_ms = wait_ms;
}

filter_step_t
answer_refuse (request_t *request, vh_code_t code)
{
  if (request->released)
    {
      answer_break (request, code);
      return FILTER_DONE;
    }
  if (request->may_have_run && !request->idempotent)
    {
      answer_unknown (request, VH_E_UNKNOWN);
      return FILTER_DONE;
    }
  if (request->may_have_run)
    {
      answer_unknown (request, code);
      return FILTER_DONE;
    }
  claim_release (request);
  objective_ended (request, code);
  counter_add (request->entry->counters.refused, 1);
  spread_return (request, code);
  end_with_error (request, code, "not-run");
  return FILTER_DONE;
}

void
answer_unknown (request_t *request, vh_code_t code)
{
  if (request->released)
    {
      answer_break (request, code);
      return;
    }
  claim_record (request);
  objective_ended (request, code);
  counter_add (request->entry->counters.unknown, 1);
  end_with_error (request, code, "unknown");
}

/* Collects the answer's headers; texts that are made live in STORE.  */
typedef struct
{
  httpc_header_t list[HEADERS_OUT];
  size_t count;
  buf_t session;
  buf_t explain;
} head_t;

static void
add (head_t *head, str_t name, str_t value)
{
  if (head->count < HEADERS_OUT && value.len > 0)
    head->list[head->count++] = (httpc_header_t){ name, value };
}

static void
fill_head (const request_t *request, head_t *head)
{
  memset (head, 0, sizeof *head);
  for (size_t i = 0; i < request->at.header_count; i++)
    add (head, request->at.headers[i].name, request->at.headers[i].value);
  add (head, STR ("vanillahook-request-id"), str_from (request->request_id));
  add (head, STR ("vanillahook-outcome"), STR ("answered"));
  if (request->version == NULL)
    return;
  str_t version;
  add (head, STR ("vanillahook-model"),
       str_cut (request->version->name, '@', &version));
  add (head, STR ("vanillahook-version"), version);
  choose_session_token (request, &head->session);
  add (head, STR ("vanillahook-session"), buf_str (&head->session));
  if (request->session_moved)
    add (head, STR ("vanillahook-session-moved"), STR ("withdrawn"));
  if (request->explain)
    {
      buf_printf (&head->explain, "%s; version=%.*s; tries=%u%s",
                  choose_reason (request), STR_ARG (request->version->name),
                  request->tries, request->escalated ? "; escalated" : "");
      add (head, STR ("vanillahook-explain"), buf_str (&head->explain));
    }
}

static void
free_head (head_t *head)
{
  buf_free (&head->session);
  buf_free (&head->explain);
}

static void
bill (request_t *request)
{
  entry_t *entry = request->entry;
  const member_t *member = request->at.member;
  str_t target = request->version != NULL ? request->version->name
                                          : request->service->name;
  buf_t id = BUF_NULL;

  if (request->at.status >= 400)
    return;
  buf_printf (&id, "%.*s:%s", STR_ARG (request->team->name),
              request->request_id);
  buf_append_char (&id, '\0');
  char *target_text = str_dup (target);
  char *team = str_dup (request->team->name);
  const wire_bill_t bill = { .bill_id = id.ptr,
                             .team = team,
                             .target = target_text,
                             .at_ms = request->billed_ms,
                             .tokens_in = request->tokens_in,
                             .tokens_out = request->tokens_out,
                             .cost_micro = request->cost_micro };
  entry->options.host->bill (entry->options.arg, &bill,
                             member != NULL ? str_from (member->name)
                                            : STR (""));
  free (target_text);
  free (team);
  buf_free (&id);
}

void
answer_finish (request_t *request)
{
  entry_t *entry = request->entry;

  counter_add (entry->counters.answered, 1);
  histogram_record (entry->whole,
                    clock_us (entry->clock) - request->received_us);
  objective_ended (request, VH_OK);
  learn_answered (request);
  claim_record (request);
  bill (request);
  request_destroy (request);
}

void
answer_whole (request_t *request)
{
  head_t head;

  if (request->http != NULL)
    {
      fill_head (request, &head);
      httpd_set_callbacks (request->http, NULL, NULL, NULL);
      httpd_reply (request->http, request->at.status, head.list, head.count,
                   buf_str (&request->at.body));
      free_head (&head);
      request->http = NULL;
    }
  answer_finish (request);
}

void
answer_stream (request_t *request, str_t bytes, bool last)
{
  head_t head;

  if (request->http == NULL)
    return;
  if (!request->released)
    {
      fill_head (request, &head);
      httpd_start_response (request->http, request->at.status, head.list,
                            head.count);
      free_head (&head);
      request->released = true;
      histogram_record (request->entry->first_byte,
                        clock_us (request->entry->clock)
                            - request->received_us);
    }
  if (last)
    httpd_set_callbacks (request->http, NULL, NULL, NULL);
  httpd_send (request->http, bytes, last);
  if (last)
    request->http = NULL;
}

void
answer_break (request_t *request, vh_code_t code)
{
  httpd_req_t *http = request->http;

  claim_record (request);
  objective_ended (request, code);
  counter_add (request->entry->counters.unknown, 1);
  if (http != NULL)
    {
      httpd_set_callbacks (http, NULL, NULL, NULL);
      if (request->stream)
        {
          /* A stream's reader sees the event; one that reads no events still
             sees that the last chunk never came.  */
          buf_t event = BUF_NULL;
          buf_append_str (&event, STR ("data: "));
          code_write_error (code, "unknown", &event);
          buf_append_str (&event, STR ("\n\n"));
          httpd_send (http, buf_str (&event), false);
          buf_free (&event);
        }
      httpd_abort (http);
    }
  request_destroy (request);
}
