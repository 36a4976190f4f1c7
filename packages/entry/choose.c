/* Which version answers: candidates the team may use, the session's own, and
   the cascade's plan.  */

#include "entry/content.h"
#include "entry/entryint.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <stdlib.h>

enum
{
  MAC_LEN = 16,
  RATING_TIMEOUT_MS = 2000,
  ANSWER_RATED_MAX = 64 << 10,
  /* Until a pool has shown its own.  */
  LATENCY_UNKNOWN_MS = 2000
};

static void
add_candidate (request_t *request, const version_t *version)
{
  if (request->candidate_count < CANDIDATES_MAX
      && snapshot_allows (request->snapshot, request->team, version))
    request->candidates[request->candidate_count++] = version;
}

/* Add the versions of MODEL in service.  One that is being rolled out gets
   requests by its roll-out's share alone.  */
static void
add_model (request_t *request, const model_t *model)
{
  for (size_t i = 0; i < model->version_count; i++)
    if (model->versions[i]->state == VERSION_SERVING)
      add_candidate (request, model->versions[i]);
}

/* Add every model of task class TASK; return false when there is none.  */
static bool
add_task (request_t *request, str_t task)
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

filter_step_t
choose_candidates (request_t *request)
{
  const snapshot_t *snapshot = request->snapshot;
  str_t name = str_from (request->model);
  const version_t *version = snapshot_find_version (snapshot, name);
  const model_t *model = snapshot_find_model (snapshot, name);

  if (version != NULL && version->state == VERSION_WITHDRAWN)
    return answer_refuse (request, VH_E_WITHDRAWN);
  if (version != NULL)
    add_candidate (request, version);
  else if (model != NULL)
    add_model (request, model);
  else if (!add_task (request, name))
    return answer_refuse (request, VH_E_NO_MODEL);
  if (request->candidate_count == 0)
    return answer_refuse (request, VH_E_NOT_ALLOWED);
  return FILTER_NEXT;
}

/* The mac of a session token for TARGET at INSTANCE, in lower-case hex.  */
static void
token_mac (const request_t *request, str_t target, str_t instance, buf_t *out)
{
  str_t key = request->entry->settings->session_key;
  unsigned char digest[EVP_MAX_MD_SIZE] = { 0 };
  unsigned len = 0;
  buf_t text = BUF_NULL;

  buf_printf (&text, "%.*s\n%.*s\n%.*s", STR_ARG (request->team->name),
              STR_ARG (target), STR_ARG (instance));
  HMAC (EVP_sha256 (), key.ptr != NULL ? key.ptr : "", (int)key.len,
        (const unsigned char *)text.ptr, text.len, digest, &len);
  buf_append_hex (out, digest, MAC_LEN);
  buf_free (&text);
}

void
choose_session_token (const request_t *request, buf_t *out)
{
  str_t instance = request->at.member != NULL
                       ? str_from (request->at.member->name)
                       : STR ("");

  buf_printf (out, "%.*s~%.*s~", STR_ARG (request->version->name),
              STR_ARG (instance));
  token_mac (request, request->version->name, instance, out);
}

/* Take a token apart.  Return false when it is none of ours.  */
static bool
read_token (request_t *request, str_t token)
{
  str_t rest, mac;
  str_t target = str_cut (token, '~', &rest);
  str_t instance = str_cut (rest, '~', &mac);
  buf_t expected = BUF_NULL;

  if (mac.ptr == NULL)
    return false;
  token_mac (request, target, instance, &expected);
  bool good = expected.len == mac.len
              && CRYPTO_memcmp (expected.ptr, mac.ptr, mac.len) == 0;
  buf_free (&expected);
  if (!good)
    return false;
  request->session_version = snapshot_find_version (request->snapshot, target);
  request->session_instance = str_dup (instance);
  return true;
}

static bool
is_candidate_model (const request_t *request, const version_t *version)
{
  str_t asked = str_from (request->model);

  return str_eq (asked, version->name) || str_eq (asked, version->model->name)
         || str_eq (asked, version->model->task);
}

filter_step_t
choose_session (request_t *request)
{
  str_t header = httpd_header (request->http, STR ("vanillahook-session"));
  const version_t *version;

  if (header.ptr == NULL || request->kind != KIND_CHAT)
    return FILTER_NEXT;
  if (header.len == 0 || header.len > WIRE_ID_MAX)
    return answer_refuse (request, VH_E_BAD_HEADER);
  request->session = str_dup (header);
  if (!read_token (request, header))
    return FILTER_NEXT;
  version = request->session_version;
  if (version != NULL && !is_candidate_model (request, version))
    version = NULL;
  /* Withdrawn wins over kept: the session moves, once, and is told.  */
  if (version == NULL
      || !snapshot_allows (request->snapshot, request->team, version)
      || learn_taken_back (request->entry, version))
    request->session_moved = true;
  request->session_version = request->session_moved ? NULL : version;
  return FILTER_NEXT;
}

/* Fill the latency and quality of candidate VERSION.  */
static void
weigh (request_t *request, const version_t *version,
       cascade_candidate_t *candidate)
{
  entry_t *entry = request->entry;
  pool_t *pool = fleet_pool (entry, version->name);
  double mean_ms = (double)pool->latency_us / 1000.0;

  candidate->version = version->name;
  candidate->cost = version->cost * request->cost / 1000.0;
  candidate->latency_ms
      = pool->latency_us > 0
            ? mean_ms + 3.0 * (double)pool->latency_dev_us / 1000.0
            : LATENCY_UNKNOWN_MS;
  candidate->quality = quality_estimate (
      entry->quality, version->model->task, version->name,
      version->model->quality_prior, clock_realtime_ms (entry->clock));
}

static bool
has_upstream (entry_t *entry, const version_t *version)
{
  upstream_id_t id;
  pool_t *pool = fleet_pool (entry, version->name);
  const balance_request_t probe = { .pool = pool->id };

  return balance_pick (entry->balance, &probe, &id) == VH_OK;
}

static bool
is_usable (request_t *request, const version_t *version)
{
  return has_upstream (request->entry, version)
         && !learn_avoids (request, version);
}

/* Leave out candidates with no upstream in service and those under alarm,
   unless that is all.  */
static void
drop_unusable (request_t *request)
{
  const version_t *kept[CANDIDATES_MAX];
  size_t count = 0;

  if (request->candidate_count < 2)
    return;
  for (size_t i = 0; i < request->candidate_count; i++)
    if (is_usable (request, request->candidates[i]))
      kept[count++] = request->candidates[i];
  if (count == 0)
    return;
  memcpy (request->candidates, kept, count * sizeof kept[0]);
  request->candidate_count = count;
}

static void
make_plan (request_t *request)
{
  entry_t *entry = request->entry;
  cascade_candidate_t candidates[CANDIDATES_MAX];
  uint64_t now_ms = clock_ms (entry->clock);
  uint64_t real_ms = clock_realtime_ms (entry->clock);
  /* A resent request must make the same choice, or it would not meet its
     earlier self.  */
  rng_t own = rng_make (request->digest);

  drop_unusable (request);
  for (size_t i = 0; i < request->candidate_count; i++)
    weigh (request, request->candidates[i], &candidates[i]);
  const plan_t *plan = request->team->plan;
  const cascade_request_t asked = {
    .task = request->candidates[0]->model->task,
    .candidates = candidates,
    .count = request->candidate_count,
    .target = plan->quality_target,
    .prefer = plan->prefer == PREFER_LATENCY ? CASCADE_PREFER_LATENCY
                                             : CASCADE_PREFER_COST,
    .deadline_left_ms
    = request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 0,
    .streaming = request->stream,
    .first_byte_ms = 0,
    .rating_cost = 0,
    .rating_latency_ms = RATING_TIMEOUT_MS / 4.0,
    .rater_ok = quality_is_rater_available (entry->quality, real_ms),
    .explore = CASCADE_EXPLORE_COST_SHARE,
  };
  request->plan
      = cascade_plan (entry->cascade, request->key_given ? &own : &entry->rng,
                      &asked, real_ms);
  request->plan_first = request->candidates[request->plan.first];
  if (request->plan.kind == CASCADE_TWO_STAGE)
    request->plan_second = request->candidates[request->plan.second];
}

filter_step_t
choose_version (request_t *request)
{
  if (request->kind == KIND_SERVICE)
    {
      request->pool = fleet_pool (request->entry, request->service->name);
      return FILTER_NEXT;
    }
  if (request->session_version != NULL)
    request->plan_first = request->session_version;
  else
    make_plan (request);
  /* A session stays where it is; its answers still count as evidence.  */
  const version_t *assigned = learn_assign (request, request->plan_first);
  if (request->session_version == NULL)
    request->plan_first = assigned;
  request->version = request->plan_first;
  request->pool = fleet_pool (request->entry, request->version->name);
  learn_sample (request);
  return FILTER_NEXT;
}

const char *
choose_reason (const request_t *request)
{
  if (request->session_version != NULL)
    return "session";
  return cascade_reason_code (request->plan.reason);
}

/* The prompt as text for the rating service.  */
static str_t
question (const request_t *request)
{
  return buf_str (&request->raw);
}

static void
on_rated (void *arg, vh_code_t code, double score)
{
  request_t *request = arg;
  entry_t *entry = request->entry;

  request->rating = false;
  if (request->ended)
    {
      request_destroy (request);
      return;
    }
  uint64_t now_ms = clock_realtime_ms (entry->clock);
  if (code != VH_OK)
    {
      /* Without a rating the answer cannot be told good from bad: the
         stronger version gives it.  */
      quality_record_rater_failure (entry->quality, now_ms);
      dispatch_escalate (request, request->plan_second);
      return;
    }
  buf_t content = BUF_NULL;
  quality_record_rater_success (entry->quality);
  request->first_rating = score;
  content_extract (buf_str (&request->at.body), false, &content);
  learn_first_rated (request, buf_str (&content));
  buf_free (&content);
  if (score < request->plan.threshold)
    dispatch_escalate (request, request->plan_second);
  else
    dispatch_release (request);
}

bool
choose_rate_first (request_t *request)
{
  entry_t *entry = request->entry;
  buf_t content = BUF_NULL;

  if (request->plan_second == NULL || request->escalated
      || request->at.status != 200 || request->session_version != NULL
      || request->at.body.len > ANSWER_RATED_MAX)
    return false;
  request->rating = true;
  content_extract (buf_str (&request->at.body), false, &content);
  entry->options.platform->ops->rate_answer (
      entry->options.platform, request->version->model->task,
      question (request), buf_str (&content), on_rated, request);
  buf_free (&content);
  return true;
}
