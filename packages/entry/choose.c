/* Selection of the version that answers a request: the candidates that the
   team may use, the version of the session, or a cascade of two versions.  */

#include "entry/content.h"
#include "entry/entryint.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <stdlib.h>

enum
{
  SESSION_MAC_LEN = 16,
  RATING_TIMEOUT_MS = 2000,
  RATED_ANSWER_MAX_BYTES = 64 << 10,
  /* Assumed for a pool without a measured latency.  */
  LATENCY_DEFAULT_MS = 2000
};

static void
add_candidate (request_t *request, const version_t *version)
{
  if (request->candidate_count < CANDIDATES_MAX
      && snapshot_allows (request->snapshot, request->team, version))
    request->candidates[request->candidate_count++] = version;
}

/* Add the versions of MODEL in state serving.  A version that is being rolled
   out gets its requests from learn_assign_rollout only.  */
static void
add_model (request_t *request, const model_t *model)
{
  for (size_t i = 0; i < model->version_count; i++)
    if (model->versions[i]->state == VERSION_SERVING)
      add_candidate (request, model->versions[i]);
}

/* Add every model of task class TASK.  Return false if there is none.  */
static bool
add_task_models (request_t *request, str_t task)
{
  const model_t *model;
  bool found = false;

  for (size_t i = 0;
       (model = snapshot_model_at (request->snapshot, i)) != NULL; i++)
    if (str_eq (model->task, task))
      {
        found = true;
        add_model (request, model);
      }
  return found;
}

filter_result_t
choose_candidates (request_t *request)
{
  const snapshot_t *snapshot = request->snapshot;
  str_t name = str_from (request->target_name);
  const version_t *version = snapshot_find_version (snapshot, name);
  const model_t *model = snapshot_find_model (snapshot, name);

  if (version != NULL && version->state == VERSION_WITHDRAWN)
    return answer_refuse (request, VH_E_WITHDRAWN);
  if (version != NULL)
    add_candidate (request, version);
  else if (model != NULL)
    add_model (request, model);
  else if (!add_task_models (request, name))
    return answer_refuse (request, VH_E_NO_MODEL);
  if (request->candidate_count == 0)
    return answer_refuse (request, VH_E_NOT_ALLOWED);
  return FILTER_CONTINUE;
}

/* Append the MAC of the session token for version TARGET on INSTANCE, in
   lower-case hex.  */
static void
append_session_mac (const request_t *request, str_t target, str_t instance,
                    buf_t *out)
{
  str_t key = request->entry->settings->session_key;
  unsigned char digest[EVP_MAX_MD_SIZE] = { 0 };
  unsigned len = 0;
  buf_t text = BUF_NULL;

  buf_printf (&text, "%.*s\n%.*s\n%.*s", STR_ARG (request->team->name),
              STR_ARG (target), STR_ARG (instance));
  HMAC (EVP_sha256 (), key.ptr != NULL ? key.ptr : "", (int)key.len,
        (const unsigned char *)text.ptr, text.len, digest, &len);
  buf_append_hex (out, digest, SESSION_MAC_LEN);
  buf_free (&text);
}

void
choose_write_session_token (const request_t *request, buf_t *out)
{
  str_t instance = request->attempt.member != NULL
                       ? str_from (request->attempt.member->name)
                       : STR ("");

  buf_printf (out, "%.*s~%.*s~", STR_ARG (request->version->name),
              STR_ARG (instance));
  append_session_mac (request, request->version->name, instance, out);
}

/* Parse a session token.  Return false if its MAC is not valid.  */
static bool
parse_session_token (request_t *request, str_t token)
{
  str_t rest, mac;
  str_t target = str_cut (token, '~', &rest);
  str_t instance = str_cut (rest, '~', &mac);
  buf_t expected = BUF_NULL;

  if (mac.ptr == NULL)
    return false;
  append_session_mac (request, target, instance, &expected);
  bool is_valid = expected.len == mac.len
                  && CRYPTO_memcmp (expected.ptr, mac.ptr, mac.len) == 0;
  buf_free (&expected);
  if (!is_valid)
    return false;
  request->session_version = snapshot_find_version (request->snapshot, target);
  request->session_instance = str_dup (instance);
  return true;
}

static bool
is_requested_version (const request_t *request, const version_t *version)
{
  str_t requested = str_from (request->target_name);

  return str_eq (requested, version->name)
         || str_eq (requested, version->model->name)
         || str_eq (requested, version->model->task);
}

filter_result_t
choose_read_session (request_t *request)
{
  str_t header = httpd_header (request->http, STR ("vanillahook-session"));
  const version_t *version;

  if (header.ptr == NULL || request->kind != REQUEST_KIND_CHAT)
    return FILTER_CONTINUE;
  if (header.len == 0 || header.len > WIRE_ID_MAX)
    return answer_refuse (request, VH_E_BAD_HEADER);
  request->session_token = str_dup (header);
  if (!parse_session_token (request, header))
    return FILTER_CONTINUE;
  version = request->session_version;
  if (version != NULL && !is_requested_version (request, version))
    version = NULL;
  /* A withdrawn version takes precedence over session affinity: the session
     moves to another version, and the answer reports the move.  */
  if (version == NULL
      || !snapshot_allows (request->snapshot, request->team, version)
      || learn_is_rollout_stopped (request->entry, version))
    request->session_version_unusable = true;
  request->session_version
      = request->session_version_unusable ? NULL : version;
  return FILTER_CONTINUE;
}

/* Fill CANDIDATE with the cost, latency and quality of VERSION.  */
static void
fill_candidate (request_t *request, const version_t *version,
                cascade_candidate_t *candidate)
{
  entry_t *entry = request->entry;
  pool_t *pool = fleet_get_pool (entry, version->name);
  double mean_ms = (double)pool->latency_mean_us / 1000.0;

  candidate->version = version->name;
  candidate->cost = version->cost * request->estimated_tokens / 1000.0;
  candidate->latency_ms
      = pool->latency_mean_us > 0
            ? mean_ms + 3.0 * (double)pool->latency_dev_us / 1000.0
            : LATENCY_DEFAULT_MS;
  candidate->quality = quality_estimate (
      entry->quality, version->model->task, version->name,
      version->model->quality_prior, clock_realtime_ms (entry->clock));
}

static bool
has_selectable_upstream (entry_t *entry, const version_t *version)
{
  upstream_id_t id;
  pool_t *pool = fleet_get_pool (entry, version->name);
  const balance_request_t probe = { .pool = pool->id };

  return balance_pick (entry->balance, &probe, &id) == VH_OK;
}

static bool
is_usable (request_t *request, const version_t *version)
{
  return has_selectable_upstream (request->entry, version)
         && !learn_is_avoided (request, version);
}

/* Remove candidates without a selectable upstream or with a degradation
   alarm, unless no candidate would remain.  */
static void
drop_unusable_candidates (request_t *request)
{
  const version_t *usable[CANDIDATES_MAX];
  size_t count = 0;

  if (request->candidate_count < 2)
    return;
  for (size_t i = 0; i < request->candidate_count; i++)
    if (is_usable (request, request->candidates[i]))
      usable[count++] = request->candidates[i];
  if (count == 0)
    return;
  memcpy (request->candidates, usable, count * sizeof usable[0]);
  request->candidate_count = count;
}

static void
make_cascade_plan (request_t *request)
{
  entry_t *entry = request->entry;
  cascade_candidate_t candidates[CANDIDATES_MAX];
  uint64_t now_ms = clock_ms (entry->clock);
  uint64_t real_ms = clock_realtime_ms (entry->clock);
  /* A request that is sent again with the same idempotency key must get the
     same plan; otherwise it would not reach the sidecar of its earlier
     submission.  */
  rng_t request_rng = rng_make (request->digest);

  drop_unusable_candidates (request);
  for (size_t i = 0; i < request->candidate_count; i++)
    fill_candidate (request, request->candidates[i], &candidates[i]);
  const plan_t *plan = request->team->plan;
  const cascade_request_t cascade_request = {
    .task = request->candidates[0]->model->task,
    .candidates = candidates,
    .candidate_count = request->candidate_count,
    .target = plan->quality_target,
    .preference = plan->prefer == PREFER_LATENCY ? CASCADE_PREFER_LATENCY
                                                 : CASCADE_PREFER_COST,
    .deadline_left_ms
    = request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 0,
    .is_streaming = request->stream,
    .first_byte_ms = 0,
    .rating_cost = 0,
    .rating_latency_ms = RATING_TIMEOUT_MS / 4.0,
    .is_rater_available = quality_is_rater_available (entry->quality, real_ms),
    .explore_cost_share = CASCADE_EXPLORE_COST_SHARE,
  };
  request->plan = cascade_plan (
      entry->cascade, request->key_given ? &request_rng : &entry->rng,
      &cascade_request, real_ms);
  request->first_version = request->candidates[request->plan.first];
  if (request->plan.kind == CASCADE_TWO_STAGE)
    request->second_version = request->candidates[request->plan.second];
}

filter_result_t
choose_version (request_t *request)
{
  if (request->kind == REQUEST_KIND_SERVICE)
    {
      request->pool = fleet_get_pool (request->entry, request->service->name);
      return FILTER_CONTINUE;
    }
  if (request->session_version != NULL)
    request->first_version = request->session_version;
  else
    make_cascade_plan (request);
  /* A session keeps its version, but its answers count as evidence for the
     roll-out.  */
  const version_t *assigned
      = learn_assign_rollout (request, request->first_version);
  if (request->session_version == NULL)
    request->first_version = assigned;
  request->version = request->first_version;
  request->pool = fleet_get_pool (request->entry, request->version->name);
  learn_decide_sampling (request);
  return FILTER_CONTINUE;
}

const char *
choose_reason (const request_t *request)
{
  if (request->session_version != NULL)
    return "session";
  return cascade_reason_code (request->plan.reason);
}

/* Return the prompt for the rating service: the request body.  */
static str_t
request_text (const request_t *request)
{
  return buf_str (&request->raw_body);
}

static void
on_first_rated (void *arg, vh_code_t code, double score)
{
  request_t *request = arg;
  entry_t *entry = request->entry;

  request->rating_pending = false;
  if (request->ended)
    {
      request_destroy (request);
      return;
    }
  uint64_t now_ms = clock_realtime_ms (entry->clock);
  if (code != VH_OK)
    {
      /* The quality of the first answer is unknown, so the request is run on
         the stronger version.  */
      quality_record_rater_failure (entry->quality, now_ms);
      dispatch_escalate (request, request->second_version);
      return;
    }
  buf_t content = BUF_NULL;
  quality_record_rater_success (entry->quality);
  request->first_rating = score;
  content_extract (buf_str (&request->attempt.body), false, &content);
  learn_first_rated (request, buf_str (&content));
  buf_free (&content);
  if (score < request->plan.threshold)
    dispatch_escalate (request, request->second_version);
  else
    dispatch_send_held_answer (request);
}

bool
choose_start_rating (request_t *request)
{
  entry_t *entry = request->entry;
  buf_t content = BUF_NULL;

  if (request->second_version == NULL || request->escalated
      || request->attempt.http_status != 200
      || request->session_version != NULL
      || request->attempt.body.len > RATED_ANSWER_MAX_BYTES)
    return false;
  request->rating_pending = true;
  content_extract (buf_str (&request->attempt.body), false, &content);
  entry->options.platform->ops->rate_answer (
      entry->options.platform, request->version->model->task,
      request_text (request), buf_str (&content), on_first_rated, request);
  buf_free (&content);
  return true;
}
