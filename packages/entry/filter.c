/* The chain of filters that a request goes through before its first attempt:
   each either lets it on or ends it with a numbered error.  */

#include "entry/entryint.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  KEY_SHA256_LEN = 32,
  /* Output tokens assumed when the caller sets no bound.  */
  TOKENS_DEFAULT = 256,
  TOKENS_MAX = 1000000,
  BYTES_PER_TOKEN = 4,
  PREFIX_BYTES = 1024
};

/* Give REQUEST its method and path, and drop it to KIND.  */
static void
set_route (request_t *request, request_kind_t kind, str_t path)
{
  str_t query = httpd_query (request->http);
  buf_t full = BUF_NULL;

  buf_append_str (&full, path);
  if (query.ptr != NULL)
    buf_printf (&full, "?%.*s", STR_ARG (query));
  buf_append_char (&full, '\0');
  request->kind = kind;
  request->path = full.ptr;
  request->method = str_dup (httpd_method (request->http));
}

/* Take the body apart.  Return VH_OK or the caller's fault.  */
static vh_code_t
decode_chat (request_t *request)
{
  str_t body = httpd_body (request->http);

  request->body = json_loadb (body.ptr, body.len, 0, NULL);
  if (request->body == NULL)
    return VH_E_BAD_JSON;
  const json_t *model = json_object_get (request->body, "model");
  const json_t *messages = json_object_get (request->body, "messages");
  const json_t *stream = json_object_get (request->body, "stream");
  if (!json_is_object (request->body) || !json_is_string (model)
      || !json_is_array (messages)
      || (stream != NULL && !json_is_boolean (stream)
          && !json_is_null (stream)))
    return VH_E_BAD_FIELD;
  request->model = str_dup (
      str_make (json_string_value (model), json_string_length (model)));
  request->stream = json_is_true (stream);
  request->idempotent = true;
  return VH_OK;
}

/* Tell whether the headers are within the settings' bound together.  */
static bool
headers_fit (const request_t *request)
{
  uint64_t bound = request->entry->settings->header_limit;
  uint64_t sum = 0;
  httpc_header_t header;

  for (size_t i = 0; httpd_header_at (request->http, i, &header); i++)
    sum += header.name.len + header.value.len;
  return bound == 0 || sum <= bound;
}

static filter_step_t
filter_decode (request_t *request)
{
  static const char services[] = "/services/";
  str_t path = httpd_path (request->http);
  str_t method = httpd_method (request->http);

  if (!headers_fit (request))
    return answer_refuse (request, VH_E_BAD_HEADER);
  if (str_eq (path, STR ("/v1/chat/completions")))
    {
      if (!str_eq (method, STR ("POST")))
        return answer_refuse (request, VH_E_BAD_METHOD);
      set_route (request, KIND_CHAT, path);
      vh_code_t code = decode_chat (request);
      return code == VH_OK ? FILTER_NEXT : answer_refuse (request, code);
    }
  if (str_starts (path, STR (services)))
    {
      str_t rest = str_make (path.ptr + sizeof services - 1,
                             path.len - (sizeof services - 1));
      str_t tail;
      str_t name = str_cut (rest, '/', &tail);
      if (name.len == 0)
        return answer_refuse (request, VH_E_NO_ROUTE);
      str_t upstream_path = tail.ptr != NULL
                                ? str_make (tail.ptr - 1, tail.len + 1)
                                : STR ("/");
      set_route (request, KIND_SERVICE, upstream_path);
      request->model = str_dup (name);
      return FILTER_NEXT;
    }
  return answer_refuse (request, VH_E_NO_ROUTE);
}

static filter_step_t
filter_authenticate (request_t *request)
{
  uint8_t digest[KEY_SHA256_LEN];
  str_t header = httpd_header (request->http, STR ("authorization"));

  if (header.ptr == NULL)
    return answer_refuse (request, VH_E_NO_AUTH);
  if (!str_starts (header, STR ("Bearer ")))
    return answer_refuse (request, VH_E_NO_AUTH);
  str_t key = str_trim (str_make (header.ptr + 7, header.len - 7));
  if (EVP_Digest (key.ptr, key.len, digest, NULL, EVP_sha256 (), NULL) != 1)
    return answer_refuse (request, VH_E_INTERNAL);
  request->team = snapshot_find_team_by_key (request->snapshot, digest);
  return request->team != NULL ? FILTER_NEXT
                               : answer_refuse (request, VH_E_BAD_KEY);
}

static bool
is_printable (str_t s)
{
  for (size_t i = 0; i < s.len; i++)
    if (s.ptr[i] <= ' ' || s.ptr[i] > '~')
      return false;
  return true;
}

static void
mint_id (entry_t *entry, buf_t *id)
{
  buf_printf (id, "%016llx%016llx",
              (unsigned long long)rpc_node_epoch (entry->node),
              (unsigned long long)++entry->next_id);
}

static filter_step_t
filter_identify (request_t *request)
{
  str_t key = httpd_header (request->http, STR ("idempotency-key"));
  str_t body = httpd_body (request->http);
  buf_t id = BUF_NULL;

  if (key.ptr != NULL
      && (key.len == 0 || key.len > KEY_MAX || !is_printable (key)))
    return answer_refuse (request, VH_E_BAD_HEADER);
  request->key_given = key.ptr != NULL;
  if (request->key_given)
    buf_append_str (&id, key);
  else
    mint_id (request->entry, &id);
  buf_append_char (&id, '\0');
  request->request_id = id.ptr;
  request->digest = str_hash (str_from (request->method), 1);
  request->digest = str_hash (str_from (request->path), request->digest);
  request->digest = str_hash (body, request->digest);
  return FILTER_NEXT;
}

/* Read header NAME as a whole number.  Return false when it is not one.  */
static bool
number_header (const request_t *request, str_t name, uint64_t *value,
               bool *given)
{
  str_t text = httpd_header (request->http, name);

  *given = text.ptr != NULL;
  return !*given || str_to_u64 (text, value);
}

static filter_step_t
filter_deadline (request_t *request)
{
  const settings_t *settings = request->entry->settings;
  uint64_t left_ms = request->team->plan->deadline_ms > 0
                         ? request->team->plan->deadline_ms
                         : settings->deadline_default_ms;
  str_t priority = httpd_header (request->http, STR ("vanillahook-priority"));
  str_t explain = httpd_header (request->http, STR ("vanillahook-explain"));

  if (!number_header (request, STR ("vanillahook-deadline-ms"), &left_ms,
                      &request->deadline_given)
      || left_ms == 0)
    return answer_refuse (request, VH_E_BAD_HEADER);
  if (left_ms > settings->deadline_max_ms)
    left_ms = settings->deadline_max_ms;
  request->deadline_ms = request->received_us / 1000 + left_ms;
  request->explain = str_eq (explain, STR ("1"));
  request->priority = WIRE_PRIORITY_NORMAL;
  if (str_eq_nocase (priority, STR ("high")))
    request->priority = WIRE_PRIORITY_HIGH;
  else if (str_eq_nocase (priority, STR ("low")))
    request->priority = WIRE_PRIORITY_LOW;
  else if (priority.ptr != NULL && !str_eq_nocase (priority, STR ("normal")))
    return answer_refuse (request, VH_E_BAD_HEADER);
  return FILTER_NEXT;
}

static filter_step_t
filter_permit_service (request_t *request)
{
  const snapshot_t *snapshot = request->snapshot;

  request->service
      = snapshot_find_service (snapshot, str_from (request->model));
  if (request->service == NULL)
    return answer_refuse (request, VH_E_NO_MODEL);
  if (!snapshot_allows_service (snapshot, request->team, request->service))
    return answer_refuse (request, VH_E_NOT_ALLOWED);
  request->idempotent = request->service->idempotent
                        || str_eq (str_from (request->method), STR ("GET"))
                        || str_eq (str_from (request->method), STR ("HEAD"));
  if (!request->idempotent && !request->key_given
      && !request->entry->settings->mint_keys)
    return answer_refuse (request, VH_E_NEED_KEY);
  if (request->service->timeout_ms > 0)
    {
      uint64_t limit_ms
          = request->received_us / 1000 + request->service->timeout_ms;
      if (limit_ms < request->deadline_ms)
        request->deadline_ms = limit_ms;
    }
  return FILTER_NEXT;
}

static filter_step_t
filter_permit (request_t *request)
{
  if (request->kind == KIND_SERVICE)
    return filter_permit_service (request);
  return choose_candidates (request);
}

/* Estimated tokens, for queue and fairness.  */
static uint32_t
estimate_cost (const request_t *request)
{
  uint64_t tokens = TOKENS_DEFAULT;

  if (request->kind == KIND_SERVICE)
    return 1;
  const json_t *bound = json_object_get (request->body, "max_tokens");
  if (bound == NULL)
    bound = json_object_get (request->body, "max_completion_tokens");
  if (json_is_integer (bound) && json_integer_value (bound) > 0)
    tokens = (uint64_t)json_integer_value (bound);
  tokens += request->raw.len / BYTES_PER_TOKEN / 8;
  return tokens < TOKENS_MAX ? (uint32_t)tokens : (uint32_t)TOKENS_MAX;
}

/* What the request should be near to: its session, its earlier self, or
   others with the same prompt prefix.  */
static uint64_t
find_affinity (const request_t *request)
{
  str_t body = buf_str (&request->raw);

  if (request->session != NULL)
    return str_hash (str_from (request->session), 2) | 1;
  if (request->key_given)
    return str_hash (str_from (request->request_id), 3) | 1;
  if (request->kind == KIND_CHAT && body.len > PREFIX_BYTES)
    return str_hash (str_make (body.ptr, PREFIX_BYTES), 4) | 1;
  return BALANCE_NO_AFFINITY;
}

static filter_step_t
filter_measure (request_t *request)
{
  buf_append_str (&request->raw, httpd_body (request->http));
  request->cost = estimate_cost (request);
  request->affinity = find_affinity (request);
  return FILTER_NEXT;
}

typedef filter_step_t (*filter_t) (request_t *request);

static const filter_t chain[]
    = { filter_decode,  filter_authenticate, filter_identify, filter_deadline,
        filter_permit,  guard_poison,        choose_session,  filter_measure,
        choose_version, guard_admit,         claim_filter,    dispatch_start };

void
request_run (request_t *request)
{
  while (request->filter_at < sizeof chain / sizeof chain[0])
    {
      filter_t filter = chain[request->filter_at++];
      if (filter (request) != FILTER_NEXT)
        return;
    }
}

static void
on_drained (void *arg)
{
  dispatch_fetch (arg);
}

static void
on_stopped (void *arg)
{
  dispatch_departed (arg);
}

/* Append one model or version that TEAM may use.  */
static void
append_model (buf_t *body, str_t id, const model_t *model, bool *first)
{
  buf_printf (body,
              "%s{\"id\":\"%.*s\",\"object\":\"model\",\"owned_by\":"
              "\"vanillahook\",\"task\":\"%.*s\"}",
              *first ? "" : ",", STR_ARG (id), STR_ARG (model->task));
  *first = false;
}

/* GET /v1/models: what the team may use.  */
static void
list_models (request_t *request)
{
  const snapshot_t *snapshot = request->snapshot;
  buf_t body = BUF_NULL;
  bool first = true;
  const version_t *version;

  buf_printf (&body, "{\"object\":\"list\",\"data\":[");
  for (size_t i = 0; (version = snapshot_version_at (snapshot, i)) != NULL;
       i++)
    if (snapshot_allows (snapshot, request->team, version))
      append_model (&body, version->name, version->model, &first);
  buf_printf (&body, "]}\n");
  httpd_reply_json (request->http, 200, buf_str (&body));
  buf_free (&body);
  request_destroy (request);
}

void
entry_on_http (void *arg, httpd_req_t *http)
{
  entry_t *entry = arg;

  counter_add (entry->counters.requests, 1);
  if (entry->snapshot == NULL)
    {
      answer_error (http, VH_E_DRAINING, "not-run", STR_NULL, 0);
      return;
    }
  request_t *request = mem_zalloc (sizeof *request);
  request->entry = entry;
  request->http = http;
  request->received_us = clock_us (entry->clock);
  request->snapshot = snapshot_ref (entry->snapshot);
  list_init (&request->recalls);
  list_append (&entry->requests, &request->link);
  httpd_set_callbacks (http, on_drained, on_stopped, request);
  if (str_eq (httpd_path (http), STR ("/v1/models")))
    {
      if (!str_eq (httpd_method (http), STR ("GET")))
        answer_refuse (request, VH_E_BAD_METHOD);
      else if (filter_authenticate (request) == FILTER_NEXT)
        list_models (request);
      return;
    }
  request_run (request);
}
