#include "gateway/request_attrsint.h"

#include <inttypes.h>

enum
{
  /* Seeds of the two hashes of a request's body.  */
  BODY_SEED_HIGH = 3,
  BODY_SEED_LOW = 4
};

/* Return the hash of all parts of the prompt but the last, which is unique to
   the request; 0 if there are no such parts.  */
static uint64_t
shared_prefix_hash (str_t parts)
{
  size_t end = parts.len;

  if (parts.ptr == NULL)
    return 0;
  while (end > 0 && parts.ptr[end - 1] != ',')
    end--;
  return end == 0 ? 0 : str_hash (str_make (parts.ptr, end - 1), 1);
}

/* Resolve the route and the team.  Return VH_OK, or the reason for rejecting
   the request.  */
static vh_code_t
resolve_route_and_team (request_attrs_t *attrs, const gateway_state_t *state,
                        const httpd_req_t *req)
{
  str_t bearer = httpd_header (req, STR ("authorization"));

  if (state->catalog == NULL)
    return VH_E_STORE_DOWN;
  attrs->catalog = state->catalog;
  catalog_ref (attrs->catalog);
  attrs->route = catalog_match_route (attrs->catalog, httpd_authority (req),
                                      httpd_path (req));
  if (attrs->route == NULL)
    return gateway_has_fresh_config (state) ? VH_E_NO_ROUTE : VH_E_STORE_DOWN;
  if (!attrs->route->is_public && catalog_needs_key (attrs->catalog))
    {
      /* A gateway process without a recent confirmation of its configuration
         may have missed that a key was revoked, so the process rejects
         requests that need a key.  */
      if (!gateway_has_fresh_config (state))
        return VH_E_STORE_DOWN;
      if (!str_starts_with (bearer, STR ("Bearer ")))
        return VH_E_NO_AUTH;
      attrs->team = catalog_find_team (
          attrs->catalog,
          str_trim (str_make (bearer.ptr + 7, bearer.len - 7)));
      if (attrs->team == NULL)
        return VH_E_BAD_KEY;
    }
  return VH_OK;
}

/* Choose the service by the weights of the route's traffic split.  All
   requests of a session get the same service.  */
static void
choose_service (request_attrs_t *attrs)
{
  const route_t *route = attrs->route;
  uint64_t weight_sum = 0;
  size_t index = 0;

  for (size_t i = 0; i < route->service_count; i++)
    weight_sum += route->services[i].weight;
  if (weight_sum > 0)
    {
      uint64_t offset = attrs->session_hash % weight_sum;
      while (offset >= route->services[index].weight)
        offset -= route->services[index++].weight;
    }
  attrs->service = route->service_count > 0 ? catalog_find_service (
                       attrs->catalog, route->services[index].service)
                                            : NULL;
}

/* Parse the request headers.  Return VH_OK or VH_E_BAD_HEADER.  */
static vh_code_t
parse_headers (request_attrs_t *attrs, const header_names_t *names,
               const httpd_req_t *req, str_t attempt_id)
{
  str_t deadline = httpd_header (req, names->deadline_ms);
  str_t token_counts = httpd_header (req, names->token_counts);
  str_t length_hint = httpd_header (req, names->length_hint);
  str_t last_id = httpd_header (req, STR ("last-event-id"));
  str_t session = httpd_header (req, names->session);
  uint64_t timeout_ms = attrs->route->timeout_ms;
  uint64_t prompt_tokens = 0;
  uint64_t number;
  str_t rest;

  if (deadline.ptr != NULL)
    {
      if (!str_to_u64 (str_trim (deadline), &number))
        return VH_E_BAD_HEADER;
      if (number < timeout_ms || timeout_ms == 0)
        timeout_ms = number;
    }
  attrs->deadline_at_ms = attrs->arrived_ms + timeout_ms;
  if (token_counts.ptr != NULL
      && str_to_u64 (str_trim (str_cut (token_counts, ',', &rest)),
                     &prompt_tokens))
    {
      attrs->prompt_tokens
          = prompt_tokens < UINT32_MAX ? (uint32_t)prompt_tokens : UINT32_MAX;
      if (rest.ptr != NULL && str_to_u64 (str_trim (rest), &number))
        attrs->output_tokens_max
            = number < UINT32_MAX ? (uint32_t)number : UINT32_MAX;
    }
  /* Only a hint: a request with a bad one is as good as one without.  */
  if (length_hint.ptr != NULL && str_to_u64 (str_trim (length_hint), &number)
      && number <= LENGTH_HINT_MAX)
    attrs->output_tokens_hint = (uint32_t)number;
  if (attrs->output_tokens_max > 0
      && attrs->output_tokens_hint > attrs->output_tokens_max)
    attrs->output_tokens_hint = attrs->output_tokens_max;
  attrs->prefix_hash
      = shared_prefix_hash (httpd_header (req, names->prompt_parts));
  attrs->session_hash
      = session.ptr != NULL ? str_hash (session, 2) : str_hash (attempt_id, 2);
  if (attrs->route->kind == ROUTE_STREAM && last_id.ptr != NULL
      && str_to_u64 (str_trim (last_id), &number))
    {
      attrs->is_resume = true;
      attrs->last_event_id = number;
    }
  attrs->is_repeatable
      = attrs->route->kind == ROUTE_IDEMPOTENT
        || (attrs->route->kind == ROUTE_STREAM && attrs->route->is_resumable);
  return VH_OK;
}

static poison_key_t
content_key (const request_attrs_t *attrs, const httpd_req_t *req)
{
  str_t query = httpd_query (req);
  str_t body = httpd_body (req);
  buf_t text = BUF_NULL;

  buf_printf (&text, "%.*s %.*s %.*s %.*s?%.*s %zu %" PRIx64 " %" PRIx64,
              STR_ARG (attrs->service->name),
              STR_ARG (attrs->team != NULL ? attrs->team->name : STR ("")),
              STR_ARG (httpd_method (req)), STR_ARG (httpd_path (req)),
              STR_ARG (query.ptr != NULL ? query : STR ("")), body.len,
              str_hash (body, BODY_SEED_HIGH), str_hash (body, BODY_SEED_LOW));
  poison_key_t key = poison_digest_key (buf_str (&text));
  buf_free (&text);
  return key;
}

/* Set the keys of the prompt PARTS, a list of ID:TOKENS, all but the last.  */
static void
set_part_keys (request_attrs_t *attrs, str_t parts)
{
  str_t rest = parts;
  buf_t text = BUF_NULL;

  for (;;)
    {
      str_t tokens;
      str_t id = str_trim (str_cut (str_cut (rest, ',', &rest), ':', &tokens));
      if (rest.ptr == NULL || attrs->part_count == REQUEST_PARTS_MAX)
        break;
      text.len = 0;
      buf_printf (&text, "%.*s %.*s", STR_ARG (attrs->service->name),
                  STR_ARG (id));
      attrs->part_keys[attrs->part_count++]
          = poison_part_key (buf_str (&text));
    }
  buf_free (&text);
}

vh_code_t
request_attrs_resolve_head (request_attrs_t *attrs,
                            const gateway_state_t *state,
                            const httpd_req_t *req, str_t attempt_id)
{
  vh_code_t code = resolve_route_and_team (attrs, state, req);

  return code == VH_OK ? parse_headers (attrs, state->names, req, attempt_id)
                       : code;
}

vh_code_t
request_attrs_resolve (request_attrs_t *attrs, const gateway_state_t *state,
                       const httpd_req_t *req, str_t attempt_id)
{
  vh_code_t code = request_attrs_resolve_head (attrs, state, req, attempt_id);

  if (code != VH_OK)
    return code;
  attrs->priority = attrs->team != NULL && attrs->team->has_priority
                        ? attrs->team->priority
                        : attrs->route->priority;
  choose_service (attrs);
  if (attrs->service == NULL)
    return VH_E_NO_UPSTREAM;
  attrs->content_key = content_key (attrs, req);
  str_t parts = httpd_header (req, state->names->prompt_parts);
  if (parts.ptr != NULL)
    set_part_keys (attrs, parts);
  return VH_OK;
}

bool
request_attrs_have_part (const request_attrs_t *attrs,
                         const poison_key_t *parts, size_t count)
{
  for (size_t i = 0; i < attrs->part_count; i++)
    for (size_t at = 0; at < count; at++)
      if (poison_same_key (attrs->part_keys[i], parts[at]))
        return true;
  return false;
}

void
request_attrs_free (request_attrs_t *attrs)
{
  catalog_unref (attrs->catalog);
  attrs->catalog = NULL;
}
