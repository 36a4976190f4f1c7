/* Requests that may run once: the claim before dispatch, and the recorded
   outcome of an earlier submission.

   A claim is a row that only one submission of a request id can put into the
   table.  Whoever finds it there looks for the earlier run: in the row's
   recorded outcome, and at the sidecars, which remember what they ran.  What
   cannot be found is told as unknown; it is never run again.  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  CLAIM_WAIT_MS = 3000,
  RECALL_TIMEOUT_MS = 1500,
  /* A larger answer stays with its sidecar alone.  */
  RECORD_BODY_MAX = 16 << 10
};

/* The claim's id of REQUEST, to be freed.  */
static char *
claim_id (const request_t *request)
{
  buf_t id = BUF_NULL;

  buf_printf (&id, "%.*s:%s", STR_ARG (request->team->name),
              request->request_id);
  buf_append_char (&id, '\0');
  return id.ptr;
}

/* Recalls.  */

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
  fleet_unuse (recall->member);
  free (recall);
}

void
claim_forget (request_t *request)
{
  while (!list_empty (&request->recalls))
    free_recall (CONTAINER_OF (request->recalls.next, recall_t, link));
}

/* No sidecar that answered knows the request.  */
static void
recall_failed (request_t *request)
{
  vh_code_t code = request->claim_code;

  if (code == VH_E_CLAIMED || request->recall_unsure)
    {
      request->may_have_run = true;
      answer_unknown (request,
                      code == VH_E_CLAIMED ? VH_E_CLAIMED : VH_E_UNKNOWN);
      return;
    }
  answer_refuse (request, code);
}

static void
on_recalled (void *arg, vh_code_t code, void *result, unsigned sent)
{
  recall_t *recall = arg;
  request_t *request = recall->request;
  const wire_recall_res_t *answer = result;

  (void)sent;
  recall->call = NULL;
  if (code != VH_OK)
    request->recall_unsure = true;
  bool found = code == VH_OK && answer->code == VH_OK;
  bool reused = found && answer->digest != request->digest;
  if (found && !reused)
    {
      member_t *member = recall->member;
      member->in_use++;
      claim_forget (request);
      dispatch_join (request, member, str_from (answer->attempt));
      return;
    }
  free_recall (recall);
  if (reused)
    {
      claim_forget (request);
      answer_refuse (request, VH_E_KEY_REUSED);
    }
  else if (list_empty (&request->recalls))
    recall_failed (request);
}

/* Ask every sidecar of the pool what it knows of REQUEST; CODE is told when
   none knows it.  */
static filter_step_t
recall (request_t *request, vh_code_t code)
{
  entry_t *entry = request->entry;
  char *team = str_dup (request->team->name);
  wire_recall_args_t args
      = { .team = team, .request_id = request->request_id };
  size_t cursor = 0;
  void *value;

  request->claim_code = code;
  while (map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      if (member->is_entry
          || !member_serves (member, str_from (request->pool->name)))
        continue;
      recall_t *one = mem_zalloc (sizeof *one);
      one->request = request;
      one->member = member;
      member->in_use++;
      list_append (&request->recalls, &one->link);
      one->call = rpc_peer_call (member->peer, WIRE_RECALL, &args,
                                 RECALL_TIMEOUT_MS, on_recalled, one);
    }
  free (team);
  if (!list_empty (&request->recalls))
    return FILTER_WAIT;
  recall_failed (request);
  return FILTER_DONE;
}

/* Recorded outcomes.  */

/* Answer from the record OUTCOME of an earlier run.  Return false when it
   holds no answer.  */
static bool
answer_recorded (request_t *request, const json_t *outcome)
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
  /* Billed when it ran; the same bill once more changes nothing.  */
  request->billed_ms
      = (uint64_t)json_integer_value (json_object_get (outcome, "ended_ms"));
  request->at.status = (int)json_integer_value (status);
  if (type != NULL)
    {
      request->at.headers = mem_zalloc (sizeof *request->at.headers);
      request->at.headers[0].name = str_from (str_dup (STR ("content-type")));
      request->at.headers[0].value = str_from (str_dup (str_from (type)));
      request->at.header_count = 1;
    }
  buf_append (&request->at.body, json_string_value (body),
              json_string_length (body));
  answer_whole (request);
  return true;
}

void
claim_record (request_t *request)
{
  const try_t *at = &request->at;
  char digest[24];

  if (!request->claimed)
    return;
  request->claimed = false;
  snprintf (digest, sizeof digest, "%llx",
            (unsigned long long)request->digest);
  json_t *outcome = json_pack ("{s:s, s:s}", "instance",
                               at->member != NULL ? at->member->name : "",
                               "digest", digest);
  if (at->status > 0 && !at->live && at->body.len <= RECORD_BODY_MAX)
    {
      json_t *body = json_stringn (at->body.ptr != NULL ? at->body.ptr : "",
                                   at->body.len);
      if (body != NULL)
        {
          json_object_set_new (outcome, "body", body);
          json_object_set_new (outcome, "status", json_integer (at->status));
          json_object_set_new (outcome, "ended_ms",
                               json_integer ((json_int_t)request->billed_ms));
        }
      for (size_t i = 0; i < at->header_count; i++)
        if (str_eq_nocase (at->headers[i].name, STR ("content-type")))
          json_object_set_new (outcome, "type",
                               json_stringn (at->headers[i].value.ptr,
                                             at->headers[i].value.len));
    }
  char *text = json_dumps (outcome, JSON_COMPACT);
  char *id = claim_id (request);
  claims_record_outcome (request->entry->claims, str_from (id),
                         str_from (text));
  free (id);
  free (text);
  json_decref (outcome);
}

void
claim_release (request_t *request)
{
  if (!request->claimed)
    return;
  request->claimed = false;
  char *id = claim_id (request);
  claims_release (request->entry->claims, str_from (id));
  free (id);
}

/* Somebody claimed the id before.  */
static void
on_earlier (request_t *request, const claim_info_t *info)
{
  json_t *outcome
      = info->known && info->done
            ? json_loadb (info->outcome.ptr, info->outcome.len, 0, NULL)
            : NULL;

  if (outcome == NULL || !answer_recorded (request, outcome))
    recall (request, VH_E_CLAIMED);
  json_decref (outcome);
}

static void
on_claimed (void *arg, vh_code_t code, const claim_info_t *info)
{
  request_t *request = arg;

  request->claiming = false;
  if (code == VH_OK)
    request->claimed = true;
  if (request->ended)
    {
      claim_release (request);
      request_destroy (request);
      return;
    }
  if (code == VH_OK)
    request_run (request);
  else if (code == VH_E_CLAIMED)
    on_earlier (request, info);
  else if (code == VH_E_CANCELLED)
    answer_refuse (request, VH_E_DRAINING);
  else if (request->key_given)
    /* This submission will not run, but an earlier one may have, and the
       store cannot say.  The sidecars may.  */
    recall (request, code);
  else
    answer_refuse (request, code);
}

filter_step_t
claim_filter (request_t *request)
{
  entry_t *entry = request->entry;
  uint64_t now_ms = clock_ms (entry->clock);
  uint64_t left_ms
      = request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 0;

  if (request->idempotent)
    return FILTER_NEXT;
  char *id = claim_id (request);
  request->claiming = true;
  claims_acquire (entry->claims, str_from (id),
                  left_ms < CLAIM_WAIT_MS ? left_ms : CLAIM_WAIT_MS,
                  on_claimed, request);
  free (id);
  return FILTER_WAIT;
}

void
claim_start (entry_t *entry)
{
  char writer[64];
  const control_env_t env = { entry->loop, entry->clock,
                              entry->options.platform, rng_u64 (&entry->rng) };

  snprintf (writer, sizeof writer, "%016llx",
            (unsigned long long)rpc_node_epoch (entry->node));
  const claims_options_t options
      = { .writer = str_from (writer), .lease = lead_lease (entry->lead) };
  entry->claims = claims_create (&env, &options);
}
