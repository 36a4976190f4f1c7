/* At-most-once execution of non-idempotent requests: the claim before
   dispatch, and the recorded outcome of an earlier submission.

   A claim is a row in the store that only one submission of a request id can
   insert.  A submission that finds the row searches for the earlier run: in
   the outcome recorded in the row, then on the sidecars, which keep the
   attempts that they ran.  If neither has the run, the caller gets the outcome
   "unknown", and the request is never run again.  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  CLAIM_TIMEOUT_MS = 3000,
  RECALL_TIMEOUT_MS = 1500,
  /* A larger body is not recorded in the store; only its sidecar has it.  */
  RECORDED_BODY_MAX_BYTES = 16 << 10
};

/* Return the id under which REQUEST is claimed; the caller frees it.  */
static char *
make_claim_id (const request_t *request)
{
  buf_t id = BUF_NULL;

  buf_printf (&id, "%.*s:%s", STR_ARG (request->team->name),
              request->request_id);
  buf_append_char (&id, '\0');
  return id.ptr;
}

/* One WIRE_RECALL call, which asks a sidecar for an attempt of an earlier
   submission of the request.  */
typedef struct
{
  list_t link;
  request_t *request;
  member_t *member;
  rpc_call_t *call;
} recall_t;

static void
free_recall (recall_t *recall)
{
  list_remove (&recall->link);
  rpc_cancel (recall->call);
  fleet_member_unref (recall->member);
  free (recall);
}

void
claim_cancel_recalls (request_t *request)
{
  while (!list_is_empty (&request->recalls))
    free_recall (CONTAINER_OF (request->recalls.next, recall_t, link));
}

/* No sidecar that answered has an attempt of REQUEST.  */
static void
handle_no_recall_match (request_t *request)
{
  vh_code_t code = request->claim_error;

  if (code == VH_E_CLAIMED || request->recall_incomplete)
    {
      request->may_have_run = true;
      answer_unknown_outcome (request, code == VH_E_CLAIMED ? VH_E_CLAIMED
                                                            : VH_E_UNKNOWN);
      return;
    }
  answer_refuse (request, code);
}

static void
on_recall_result (void *arg, vh_code_t code, void *result, unsigned sent)
{
  recall_t *recall = arg;
  request_t *request = recall->request;
  const wire_recall_res_t *answer = result;

  (void)sent;
  recall->call = NULL;
  if (code != VH_OK)
    request->recall_incomplete = true;
  bool is_found = code == VH_OK && answer->code == VH_OK;
  bool is_key_reused = is_found && answer->digest != request->digest;
  if (is_found && !is_key_reused)
    {
      member_t *member = recall->member;
      member->ref_count++;
      claim_cancel_recalls (request);
      dispatch_join_attempt (request, member, str_from (answer->attempt));
      return;
    }
  free_recall (recall);
  if (is_key_reused)
    {
      claim_cancel_recalls (request);
      answer_refuse (request, VH_E_KEY_REUSED);
    }
  else if (list_is_empty (&request->recalls))
    handle_no_recall_match (request);
}

/* Send WIRE_RECALL for REQUEST to every sidecar of the pool.  CODE is the
   error if no sidecar has an attempt of the request.  */
static filter_result_t
send_recalls (request_t *request, vh_code_t code)
{
  entry_t *entry = request->entry;
  char *team = str_dup (request->team->name);
  wire_recall_args_t args
      = { .team = team, .request_id = request->request_id };
  size_t cursor = 0;
  void *value;

  request->claim_error = code;
  while (map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      if (member->is_entry
          || !member_serves (member, str_from (request->pool->name)))
        continue;
      recall_t *recall = mem_zalloc (sizeof *recall);
      recall->request = request;
      recall->member = member;
      member->ref_count++;
      list_append (&request->recalls, &recall->link);
      recall->call
          = rpc_peer_call (member->peer, WIRE_RECALL, &args, RECALL_TIMEOUT_MS,
                           on_recall_result, recall);
    }
  free (team);
  if (!list_is_empty (&request->recalls))
    return FILTER_PENDING;
  handle_no_recall_match (request);
  return FILTER_DONE;
}

/* Send the answer in the recorded OUTCOME of an earlier run.  Return false if
   OUTCOME contains no answer.  */
static bool
send_recorded_answer (request_t *request, const json_t *outcome)
{
  const json_t *body = json_object_get (outcome, "body");
  const json_t *status = json_object_get (outcome, "status");
  const char *type = json_string_value (json_object_get (outcome, "type"));
  const json_t *digest = json_object_get (outcome, "digest");

  if (!json_is_string (body) || !json_is_integer (status))
    return false;
  if (json_is_string (digest)
      && strtoull (json_string_value (digest), NULL, 16) != request->digest)
    {
      answer_refuse (request, VH_E_KEY_REUSED);
      return true;
    }
  /* The earlier run was billed.  Writing the same bill again has no effect, as
     its id and time are the same.  */
  request->billed_ms
      = (uint64_t)json_integer_value (json_object_get (outcome, "ended_ms"));
  request->attempt.http_status = (int)json_integer_value (status);
  if (type != NULL)
    {
      request->attempt.headers = mem_zalloc (sizeof *request->attempt.headers);
      request->attempt.headers[0].name
          = str_from (str_dup (STR ("content-type")));
      request->attempt.headers[0].value = str_from (str_dup (str_from (type)));
      request->attempt.header_count = 1;
    }
  buf_append (&request->attempt.body, json_string_value (body),
              json_string_length (body));
  answer_send_buffered (request);
  return true;
}

void
claim_record (request_t *request)
{
  const entry_attempt_t *attempt = &request->attempt;
  char digest[24];

  if (!request->holds_claim)
    return;
  request->holds_claim = false;
  snprintf (digest, sizeof digest, "%llx",
            (unsigned long long)request->digest);
  json_t *outcome = json_pack (
      "{s:s, s:s}", "instance",
      attempt->member != NULL ? attempt->member->name : "", "digest", digest);
  if (attempt->http_status > 0 && !attempt->in_flight
      && attempt->body.len <= RECORDED_BODY_MAX_BYTES)
    {
      json_t *body
          = json_stringn (attempt->body.ptr != NULL ? attempt->body.ptr : "",
                          attempt->body.len);
      if (body != NULL)
        {
          json_object_set_new (outcome, "body", body);
          json_object_set_new (outcome, "status",
                               json_integer (attempt->http_status));
          json_object_set_new (outcome, "ended_ms",
                               json_integer ((json_int_t)request->billed_ms));
        }
      for (size_t i = 0; i < attempt->header_count; i++)
        if (str_eq_nocase (attempt->headers[i].name, STR ("content-type")))
          json_object_set_new (outcome, "type",
                               json_stringn (attempt->headers[i].value.ptr,
                                             attempt->headers[i].value.len));
    }
  char *text = json_dumps (outcome, JSON_COMPACT);
  char *id = make_claim_id (request);
  claims_record_outcome (request->entry->claims, str_from (id),
                         str_from (text));
  free (id);
  free (text);
  json_decref (outcome);
}

void
claim_release (request_t *request)
{
  if (!request->holds_claim)
    return;
  request->holds_claim = false;
  char *id = make_claim_id (request);
  claims_release (request->entry->claims, str_from (id));
  free (id);
}

/* An earlier submission holds the claim.  */
static void
on_already_claimed (request_t *request, const claim_info_t *info)
{
  json_t *outcome
      = info->is_known && info->has_outcome
            ? json_loadb (info->outcome.ptr, info->outcome.len, 0, NULL)
            : NULL;

  if (outcome == NULL || !send_recorded_answer (request, outcome))
    send_recalls (request, VH_E_CLAIMED);
  json_decref (outcome);
}

static void
on_claimed (void *arg, vh_code_t code, const claim_info_t *info)
{
  request_t *request = arg;

  request->claim_pending = false;
  if (code == VH_OK)
    request->holds_claim = true;
  if (request->ended)
    {
      claim_release (request);
      request_destroy (request);
      return;
    }
  if (code == VH_OK)
    request_run (request);
  else if (code == VH_E_CLAIMED)
    on_already_claimed (request, info);
  else if (code == VH_E_CANCELLED)
    answer_refuse (request, VH_E_DRAINING);
  else if (request->key_given)
    /* This submission will not run.  Whether an earlier submission ran cannot
       be read from the store, but a sidecar may have the attempt.  */
    send_recalls (request, code);
  else
    answer_refuse (request, code);
}

filter_result_t
claim_filter (request_t *request)
{
  entry_t *entry = request->entry;
  uint64_t now_ms = clock_ms (entry->clock);
  uint64_t left_ms
      = request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 0;

  if (request->idempotent)
    return FILTER_CONTINUE;
  char *id = make_claim_id (request);
  request->claim_pending = true;
  claims_acquire (entry->claims, str_from (id),
                  left_ms < CLAIM_TIMEOUT_MS ? left_ms : CLAIM_TIMEOUT_MS,
                  on_claimed, request);
  free (id);
  return FILTER_PENDING;
}

void
claim_init (entry_t *entry)
{
  char writer[64];
  const control_env_t env = { entry->loop, entry->clock,
                              entry->options.platform, rng_u64 (&entry->rng) };

  snprintf (writer, sizeof writer, "%016llx",
            (unsigned long long)rpc_node_epoch (entry->node));
  const claims_options_t options
      = { .writer = str_from (writer), .lease = leader_lease (entry->leader) };
  entry->claims = claims_create (&env, &options);
}
