/* The filter chain that a request passes before its first attempt.  Each
   filter accepts the request or ends the request with an error code.  */

#include "entry/entryint.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  KEY_SHA256_LEN = 32,
  /* Output tokens assumed if the caller sets no limit.  */
  OUTPUT_TOKENS_DEFAULT = 256,
  ESTIMATED_TOKENS_MAX = 1000000,
  BYTES_PER_TOKEN = 4,
  AFFINITY_PREFIX_BYTES = 1024,
  /* Copies of a body: as JSON, as text, encoded for the sidecar and in the
     output of the connection.  */
  BODY_COPIES = 4,
  /* Memory of a JSON value beside its text.  */
  JSON_VALUE_BYTES = 64,
  LARGE_COPIES_BYTES = 4 * MEMORY_BUDGET_SMALL_BYTES
};

/* Set KIND, method and path of REQUEST; the query is appended to PATH.  */
static void
set_route (request_t *request, request_kind_t kind, str_t path)
{
  str_t query = httpd_query (request->http);
  buf_t full_path = BUF_NULL;

  buf_append_str (&full_path, path);
  if (query.ptr != NULL)
    buf_printf (&full_path, "?%.*s", STR_ARG (query));
  buf_append_char (&full_path, '\0');
  request->kind = kind;
  request->path = full_path.ptr;
  request->method = str_dup (httpd_method (request->http));
}

/* Parse the JSON body of a chat request.  Return VH_OK, VH_E_BAD_JSON or
   VH_E_BAD_FIELD.  */
static vh_code_t
parse_chat_body (request_t *request)
{
  str_t body = httpd_body (request->http);

  request->body_json = json_loadb (body.ptr, body.len, 0, NULL);
  if (request->body_json == NULL)
    return VH_E_BAD_JSON;
  const json_t *model = json_object_get (request->body_json, "model");
  const json_t *messages = json_object_get (request->body_json, "messages");
  const json_t *stream = json_object_get (request->body_json, "stream");
  if (!json_is_object (request->body_json) || !json_is_string (model)
      || !json_is_array (messages)
      || (stream != NULL && !json_is_boolean (stream)
          && !json_is_null (stream)))
    return VH_E_BAD_FIELD;
  request->target_name = str_dup (
      str_make (json_string_value (model), json_string_length (model)));
  request->stream = json_is_true (stream);
  request->idempotent = true;
  return VH_OK;
}

/* Tell whether the total size of the headers is within the configured
   limit.  */
static bool
are_headers_within_limit (const request_t *request)
{
  uint64_t limit = request->entry->settings->header_limit;
  uint64_t total = 0;
  httpc_header_t header;

  for (size_t i = 0; httpd_header_at (request->http, i, &header); i++)
    total += header.name.len + header.value.len;
  return limit == 0 || total <= limit;
}

/* Return the largest number of values that BODY can have as JSON.  */
static size_t
count_json_values (str_t body)
{
  size_t count = 1;
  bool is_in_string = false;

  for (size_t i = 0; i < body.len; i++)
    {
      char c = body.ptr[i];
      if (c == '"')
        is_in_string = !is_in_string;
      else if (is_in_string && c == '\\')
        i++;
      else if (!is_in_string && (c == ',' || c == ':' || c == '[' || c == '{'))
        count++;
    }
  return count;
}

/* Count the memory of the copies of the body, and of JSON_BYTES beside them,
   in the request.  Return VH_OK, or the reason for refusing the request: there
   is not enough memory for them and for the copies of the sidecar, which may
   be in this process, or there never is.  */
static vh_code_t
count_body_copies (request_t *request, size_t json_bytes)
{
  memory_budget_t *memory = request->entry->options.memory;
  size_t len = httpd_body (request->http).len;
  size_t bytes = len * BODY_COPIES + json_bytes;
  size_t all_bytes = bytes + len * WIRE_SUBMIT_BODY_COPIES;

  if (all_bytes > LARGE_COPIES_BYTES
      && !memory_budget_fits (memory, all_bytes))
    return all_bytes < memory->limit ? VH_E_OVERLOADED : VH_E_TOO_LARGE;
  memory_budget_count (memory, &request->memory, bytes);
  return VH_OK;
}

static filter_result_t
filter_decode (request_t *request)
{
  static const char services_path[] = "/services/";
  str_t path = httpd_path (request->http);
  str_t method = httpd_method (request->http);
  vh_code_t code;

  if (!are_headers_within_limit (request))
    return answer_refuse (request, VH_E_BAD_HEADER);
  if (str_eq (path, STR ("/v1/chat/completions")))
    {
      if (!str_eq (method, STR ("POST")))
        return answer_refuse (request, VH_E_BAD_METHOD);
      set_route (request, REQUEST_KIND_CHAT, path);
      code = count_body_copies (request,
                                count_json_values (httpd_body (request->http))
                                    * JSON_VALUE_BYTES);
      if (code == VH_OK)
        code = parse_chat_body (request);
      return code == VH_OK ? FILTER_CONTINUE : answer_refuse (request, code);
    }
  if (str_starts_with (path, STR (services_path)))
    {
      str_t rest = str_make (path.ptr + sizeof services_path - 1,
                             path.len - (sizeof services_path - 1));
      str_t remainder;
      str_t name = str_cut (rest, '/', &remainder);
      if (name.len == 0)
        return answer_refuse (request, VH_E_NO_ROUTE);
      str_t upstream_path
          = remainder.ptr != NULL
                ? str_make (remainder.ptr - 1, remainder.len + 1)
                : STR ("/");
      set_route (request, REQUEST_KIND_SERVICE, upstream_path);
      request->target_name = str_dup (name);
      code = count_body_copies (request, 0);
      return code == VH_OK ? FILTER_CONTINUE : answer_refuse (request, code);
    }
  return answer_refuse (request, VH_E_NO_ROUTE);
}

static filter_result_t
filter_authenticate (request_t *request)
{
  uint8_t digest[KEY_SHA256_LEN];
  str_t header = httpd_header (request->http, STR ("authorization"));

  if (header.ptr == NULL)
    return answer_refuse (request, VH_E_NO_AUTH);
  if (!str_starts_with (header, STR ("Bearer ")))
    return answer_refuse (request, VH_E_NO_AUTH);
  str_t key = str_trim (str_make (header.ptr + 7, header.len - 7));
  if (EVP_Digest (key.ptr, key.len, digest, NULL, EVP_sha256 (), NULL) != 1)
    return answer_refuse (request, VH_E_INTERNAL);
  request->team = snapshot_find_team_by_key (request->snapshot, digest);
  return request->team != NULL ? FILTER_CONTINUE
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
generate_id (entry_t *entry, buf_t *id)
{
  buf_printf (id, "%016llx%016llx",
              (unsigned long long)rpc_node_epoch (entry->node),
              (unsigned long long)++entry->last_id);
}

static filter_result_t
filter_identify (request_t *request)
{
  str_t key = httpd_header (request->http, STR ("idempotency-key"));
  str_t body = httpd_body (request->http);
  buf_t id = BUF_NULL;

  if (key.ptr != NULL
      && (key.len == 0 || key.len > IDEMPOTENCY_KEY_MAX
          || !is_printable (key)))
    return answer_refuse (request, VH_E_BAD_HEADER);
  request->key_given = key.ptr != NULL;
  if (request->key_given)
    buf_append_str (&id, key);
  else
    generate_id (request->entry, &id);
  buf_append_char (&id, '\0');
  request->request_id = id.ptr;
  request->digest = str_hash (str_from (request->method), 1);
  request->digest = str_hash (str_from (request->path), request->digest);
  request->digest = str_hash (body, request->digest);
  return FILTER_CONTINUE;
}

/* Read header NAME as an unsigned integer.  Return false if its value is not
   an integer; *VALUE is unchanged if the header is missing.  */
static bool
read_number_header (const request_t *request, str_t name, uint64_t *value,
                    bool *given)
{
  str_t text = httpd_header (request->http, name);

  *given = text.ptr != NULL;
  return !*given || str_to_u64 (text, value);
}

static filter_result_t
filter_read_options (request_t *request)
{
  const settings_t *settings = request->entry->settings;
  uint64_t timeout_ms = request->team->plan->deadline_ms > 0
                            ? request->team->plan->deadline_ms
                            : settings->deadline_default_ms;
  str_t priority = httpd_header (request->http, STR ("vanillahook-priority"));
  str_t explain = httpd_header (request->http, STR ("vanillahook-explain"));

  if (!read_number_header (request, STR ("vanillahook-deadline-ms"),
                           &timeout_ms, &request->deadline_given)
      || timeout_ms == 0)
    return answer_refuse (request, VH_E_BAD_HEADER);
  if (timeout_ms > settings->deadline_max_ms)
    timeout_ms = settings->deadline_max_ms;
  request->deadline_ms = request->received_us / 1000 + timeout_ms;
  request->explain = str_eq (explain, STR ("1"));
  request->priority = WIRE_PRIORITY_NORMAL;
  if (str_eq_nocase (priority, STR ("high")))
    request->priority = WIRE_PRIORITY_HIGH;
  else if (str_eq_nocase (priority, STR ("low")))
    request->priority = WIRE_PRIORITY_LOW;
  else if (priority.ptr != NULL && !str_eq_nocase (priority, STR ("normal")))
    return answer_refuse (request, VH_E_BAD_HEADER);
  return FILTER_CONTINUE;
}

static filter_result_t
authorize_service (request_t *request)
{
  const snapshot_t *snapshot = request->snapshot;

  request->service
      = snapshot_find_service (snapshot, str_from (request->target_name));
  if (request->service == NULL)
    return answer_refuse (request, VH_E_NO_MODEL);
  if (!snapshot_allows_service (snapshot, request->team, request->service))
    return answer_refuse (request, VH_E_NOT_ALLOWED);
  request->idempotent = request->service->idempotent
                        || str_eq (str_from (request->method), STR ("GET"))
                        || str_eq (str_from (request->method), STR ("HEAD"));
  if (!request->idempotent && !request->key_given
      && !request->entry->settings->generate_idempotency_keys)
    return answer_refuse (request, VH_E_NEED_KEY);
  if (request->service->timeout_ms > 0)
    {
      uint64_t limit_ms
          = request->received_us / 1000 + request->service->timeout_ms;
      if (limit_ms < request->deadline_ms)
        request->deadline_ms = limit_ms;
    }
  return FILTER_CONTINUE;
}

static filter_result_t
filter_authorize (request_t *request)
{
  if (request->kind == REQUEST_KIND_SERVICE)
    return authorize_service (request);
  return choose_candidates (request);
}

/* Return the estimated number of tokens, the cost used for queueing and fair
   sharing.  */
static uint32_t
estimate_tokens (const request_t *request)
{
  uint64_t tokens = OUTPUT_TOKENS_DEFAULT;

  if (request->kind == REQUEST_KIND_SERVICE)
    return 1;
  const json_t *limit = json_object_get (request->body_json, "max_tokens");
  if (limit == NULL)
    limit = json_object_get (request->body_json, "max_completion_tokens");
  if (json_is_integer (limit) && json_integer_value (limit) > 0)
    tokens = (uint64_t)json_integer_value (limit);
  tokens += request->raw_body.len / BYTES_PER_TOKEN / 8;
  return tokens < ESTIMATED_TOKENS_MAX ? (uint32_t)tokens
                                       : (uint32_t)ESTIMATED_TOKENS_MAX;
}

/* Return the affinity key for the balancer: requests of the same session, with
   the same idempotency key or with the same prompt prefix go to the same
   upstreams.  */
static uint64_t
compute_affinity (const request_t *request)
{
  str_t body = buf_str (&request->raw_body);

  if (request->session_token != NULL)
    return str_hash (str_from (request->session_token), 2) | 1;
  if (request->key_given)
    return str_hash (str_from (request->request_id), 3) | 1;
  if (request->kind == REQUEST_KIND_CHAT && body.len > AFFINITY_PREFIX_BYTES)
    return str_hash (str_make (body.ptr, AFFINITY_PREFIX_BYTES), 4) | 1;
  return BALANCE_NO_AFFINITY;
}

static filter_result_t
filter_estimate (request_t *request)
{
  buf_append_str (&request->raw_body, httpd_body (request->http));
  request->estimated_tokens = estimate_tokens (request);
  request->affinity = compute_affinity (request);
  return FILTER_CONTINUE;
}

typedef filter_result_t (*filter_t) (request_t *request);

static const filter_t chain[]
    = { filter_decode,       filter_authenticate, filter_identify,
        filter_read_options, filter_authorize,    guard_poison,
        choose_read_session, filter_estimate,     choose_version,
        guard_admit,         claim_filter,        dispatch_start };

void
request_run (request_t *request)
{
  while (request->next_filter < sizeof chain / sizeof chain[0])
    {
      filter_t filter = chain[request->next_filter++];
      if (filter (request) != FILTER_CONTINUE)
        return;
    }
}

static void
on_writable (void *arg)
{
  dispatch_fetch (arg);
}

static void
on_caller_disconnected (void *arg)
{
  dispatch_caller_disconnected (arg);
}

/* Append the JSON object of the model or version ID.  */
static void
append_model (buf_t *body, str_t id, const model_t *model, bool *first)
{
  buf_printf (body,
              "%s{\"id\":\"%.*s\",\"object\":\"model\",\"owned_by\":"
              "\"vanillahook\",\"task\":\"%.*s\"}",
              *first ? "" : ",", STR_ARG (id), STR_ARG (model->task));
  *first = false;
}

/* Answer GET /v1/models with the versions that the team may use.  */
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
  httpd_set_callbacks (http, on_writable, on_caller_disconnected, request);
  if (str_eq (httpd_path (http), STR ("/v1/models")))
    {
      if (!str_eq (httpd_method (http), STR ("GET")))
        answer_refuse (request, VH_E_BAD_METHOD);
      else if (filter_authenticate (request) == FILTER_CONTINUE)
        list_models (request);
      return;
    }
  request_run (request);
}
