/* Answers to callers: errors, complete answers and streams.  */

#include "entry/entryint.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  ANSWER_HEADERS_MAX = WIRE_HEADERS_MAX + 12,
  /* Sent if no estimate of the waiting time is known.  */
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

/* Answer REQUEST with error CODE, then end REQUEST.  OUTCOME is the value of
   the vanillahook-outcome header: "not-run" or "unknown".  */
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

/* Set the Retry-After time of a request that was refused for lack of
   capacity.  The time is what the team's share needs for the refused work;
   callers are spread over the time at random.  */
static void
set_retry_after (request_t *request, vh_code_t code)
{
  if ((code != VH_E_FULL && code != VH_E_DEADLINE) || request->pool == NULL)
    return;
  uint64_t wait_ms = 1000ull
                     * admission_retry_after_s (request->pool->admission,
                                                request->team->name);
  if (wait_ms > request->retry_after_ms)
    request->retry_after_ms = wait_ms;
}

filter_result_t
answer_refuse (request_t *request, vh_code_t code)
{
  if (request->answer_started)
    {
      answer_abort (request, code);
      return FILTER_DONE;
    }
  if (request->may_have_run && !request->idempotent)
    {
      answer_unknown_outcome (request, VH_E_UNKNOWN);
      return FILTER_DONE;
    }
  if (request->may_have_run)
    {
      answer_unknown_outcome (request, code);
      return FILTER_DONE;
    }
  claim_release (request);
  objective_request_ended (request, code);
  counter_add (request->entry->counters.refused, 1);
  set_retry_after (request, code);
  end_with_error (request, code, "not-run");
  return FILTER_DONE;
}

void
answer_unknown_outcome (request_t *request, vh_code_t code)
{
  if (request->answer_started)
    {
      answer_abort (request, code);
      return;
    }
  claim_record (request);
  objective_request_ended (request, code);
  counter_add (request->entry->counters.unknown_outcomes, 1);
  end_with_error (request, code, "unknown");
}

/* Headers of an answer, and the values that are generated for them.  */
typedef struct
{
  httpc_header_t list[ANSWER_HEADERS_MAX];
  size_t count;
  buf_t session;
  buf_t explain;
} answer_headers_t;

static void
add_header (answer_headers_t *headers, str_t name, str_t value)
{
  if (headers->count < ANSWER_HEADERS_MAX && value.len > 0)
    headers->list[headers->count++] = (httpc_header_t){ name, value };
}

static void
build_headers (const request_t *request, answer_headers_t *headers)
{
  memset (headers, 0, sizeof *headers);
  for (size_t i = 0; i < request->attempt.header_count; i++)
    add_header (headers, request->attempt.headers[i].name,
                request->attempt.headers[i].value);
  add_header (headers, STR ("vanillahook-request-id"),
              str_from (request->request_id));
  add_header (headers, STR ("vanillahook-outcome"), STR ("answered"));
  if (request->version == NULL)
    return;
  str_t version;
  add_header (headers, STR ("vanillahook-model"),
              str_cut (request->version->name, '@', &version));
  add_header (headers, STR ("vanillahook-version"), version);
  choose_write_session_token (request, &headers->session);
  add_header (headers, STR ("vanillahook-session"),
              buf_str (&headers->session));
  if (request->session_version_unusable)
    add_header (headers, STR ("vanillahook-session-moved"), STR ("withdrawn"));
  if (request->explain)
    {
      buf_printf (&headers->explain, "%s; version=%.*s; tries=%u%s",
                  choose_reason (request), STR_ARG (request->version->name),
                  request->attempt_count,
                  request->escalated ? "; escalated" : "");
      add_header (headers, STR ("vanillahook-explain"),
                  buf_str (&headers->explain));
    }
}

static void
free_headers (answer_headers_t *headers)
{
  buf_free (&headers->session);
  buf_free (&headers->explain);
}

static void
record_bill (request_t *request)
{
  entry_t *entry = request->entry;
  const member_t *member = request->attempt.member;
  str_t target = request->version != NULL ? request->version->name
                                          : request->service->name;
  buf_t id = BUF_NULL;

  if (request->attempt.http_status >= 400)
    return;
  buf_printf (&id, "%.*s:%s", STR_ARG (request->team->name),
              request->request_id);
  buf_append_char (&id, '\0');
  char *target_name = str_dup (target);
  char *team = str_dup (request->team->name);
  const wire_bill_t bill = { .bill_id = id.ptr,
                             .team = team,
                             .target = target_name,
                             .at_ms = request->billed_ms,
                             .tokens_in = request->tokens_in,
                             .tokens_out = request->tokens_out,
                             .cost_micro = request->cost_micro };
  entry->options.callbacks->record_bill (
      entry->options.arg, &bill,
      member != NULL ? str_from (member->name) : STR (""));
  free (target_name);
  free (team);
  buf_free (&id);
}

void
answer_finish (request_t *request)
{
  entry_t *entry = request->entry;

  counter_add (entry->counters.answered, 1);
  histogram_record (entry->answer_latency,
                    clock_us (entry->clock) - request->received_us);
  objective_request_ended (request, VH_OK);
  learn_request_answered (request);
  claim_record (request);
  record_bill (request);
  request_destroy (request);
}

void
answer_send_buffered (request_t *request)
{
  answer_headers_t headers;

  if (request->http != NULL)
    {
      build_headers (request, &headers);
      httpd_set_callbacks (request->http, NULL, NULL, NULL);
      httpd_reply (request->http, request->attempt.http_status, headers.list,
                   headers.count, buf_str (&request->attempt.body));
      free_headers (&headers);
      request->http = NULL;
    }
  answer_finish (request);
}

void
answer_stream (request_t *request, str_t bytes, bool last)
{
  answer_headers_t headers;

  if (request->http == NULL)
    return;
  if (!request->answer_started)
    {
      build_headers (request, &headers);
      httpd_start_response (request->http, request->attempt.http_status,
                            headers.list, headers.count);
      free_headers (&headers);
      request->answer_started = true;
      histogram_record (request->entry->first_byte_latency,
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
answer_abort (request_t *request, vh_code_t code)
{
  httpd_req_t *http = request->http;

  claim_record (request);
  objective_request_ended (request, code);
  counter_add (request->entry->counters.unknown_outcomes, 1);
  if (http != NULL)
    {
      httpd_set_callbacks (http, NULL, NULL, NULL);
      if (request->stream)
        {
          /* A client that ignores the error event still detects the missing
             last chunk.  */
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
