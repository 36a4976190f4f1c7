#include "gateway/termsint.h"

/* Hash of the parts of the prompt but the last, which no other request
   shares; 0 when there are none.  */
static uint64_t
shared_key (str_t parts)
{
  size_t end = parts.len;

  if (parts.ptr == NULL)
    return 0;
  while (end > 0 && parts.ptr[end - 1] != ',')
    end--;
  return end == 0 ? 0 : str_hash (str_make (parts.ptr, end - 1), 1);
}

/* Find who asks for what.  Return VH_OK, or the reason why not.  */
static vh_code_t
identify (terms_t *terms, const gateway_state_t *belief,
          const httpd_req_t *req)
{
  str_t bearer = httpd_header (req, STR ("authorization"));

  if (belief->catalog == NULL)
    return VH_E_STORE_DOWN;
  terms->catalog = belief->catalog;
  catalog_ref (terms->catalog);
  terms->route = catalog_match_route (terms->catalog, httpd_authority (req),
                                      httpd_path (req));
  if (terms->route == NULL)
    return belief_confirmed (belief) ? VH_E_NO_ROUTE : VH_E_STORE_DOWN;
  if (!terms->route->is_public && catalog_has_teams (terms->catalog))
    {
      /* A key that was taken away must not be used by an entry that cannot
         see it: a confirmation that is too old lets no key in.  */
      if (!belief_confirmed (belief))
        return VH_E_STORE_DOWN;
      if (!str_starts (bearer, STR ("Bearer ")))
        return VH_E_NO_AUTH;
      terms->team = catalog_find_team (
          terms->catalog,
          str_trim (str_make (bearer.ptr + 7, bearer.len - 7)));
      if (terms->team == NULL)
        return VH_E_BAD_KEY;
    }
  return VH_OK;
}

/* Choose the service by the route's weights.  */
static void
choose_service (terms_t *terms)
{
  const route_t *route = terms->route;
  uint64_t total = 0;
  size_t at = 0;

  for (size_t i = 0; i < route->split_count; i++)
    total += route->splits[i].weight;
  if (total > 0)
    {
      uint64_t point = terms->session % total;
      while (point >= route->splits[at].weight)
        point -= route->splits[at++].weight;
    }
  terms->service
      = route->split_count > 0
            ? catalog_find_service (terms->catalog, route->splits[at].service)
            : NULL;
}

/* Read the numbers of the request.  Return VH_OK or VH_E_BAD_HEADER.  */
static vh_code_t
read_numbers (terms_t *terms, const header_names_t *names,
              const httpd_req_t *req, str_t attempt)
{
  str_t deadline = httpd_header (req, names->deadline_ms);
  str_t tokens = httpd_header (req, names->token_counts);
  str_t last_id = httpd_header (req, STR ("last-event-id"));
  str_t session = httpd_header (req, names->session);
  uint64_t wait_ms = terms->route->timeout_ms;
  uint64_t prompt = 0;
  uint64_t given;
  str_t rest;

  if (deadline.ptr != NULL)
    {
      if (!str_to_u64 (str_trim (deadline), &given))
        return VH_E_BAD_HEADER;
      if (given < wait_ms || wait_ms == 0)
        wait_ms = given;
    }
  terms->due_ms = terms->arrived_ms + wait_ms;
  if (tokens.ptr != NULL
      && str_to_u64 (str_trim (str_cut (tokens, ',', &rest)), &prompt))
    {
      terms->prompt = prompt < UINT32_MAX ? (uint32_t)prompt : UINT32_MAX;
      if (rest.ptr != NULL && str_to_u64 (str_trim (rest), &given))
        terms->generated = given < UINT32_MAX ? (uint32_t)given : UINT32_MAX;
    }
  terms->key = shared_key (httpd_header (req, names->prompt_parts));
  terms->session
      = session.ptr != NULL ? str_hash (session, 2) : str_hash (attempt, 2);
  if (terms->route->kind == ROUTE_STREAM && last_id.ptr != NULL
      && str_to_u64 (str_trim (last_id), &given))
    {
      terms->resumes = true;
      terms->last_id = given;
    }
  terms->may_repeat
      = terms->route->kind == ROUTE_IDEMPOTENT
        || (terms->route->kind == ROUTE_STREAM && terms->route->is_resumable);
  return VH_OK;
}

vh_code_t
terms_read (terms_t *terms, const gateway_state_t *belief,
            const httpd_req_t *req, str_t attempt)
{
  vh_code_t code = identify (terms, belief, req);

  if (code == VH_OK)
    code = read_numbers (terms, belief->names, req, attempt);
  if (code != VH_OK)
    return code;
  terms->rank = terms->team != NULL && terms->team->has_priority
                    ? terms->team->priority
                    : terms->route->priority;
  choose_service (terms);
  return terms->service != NULL ? VH_OK : VH_E_NO_UPSTREAM;
}

void
terms_free (terms_t *terms)
{
  catalog_unref (terms->catalog);
  terms->catalog = NULL;
}
