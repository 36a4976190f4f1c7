/* Statistics that an entry learns from its answers: ratings, which are
   requested outside the request path, and evidence for roll-outs.  Entries
   exchange both.  */

#include "entry/content.h"
#include "entry/entryint.h"

#include "base/log.h"

#include <math.h>
#include <stdlib.h>

enum
{
  EXCHANGE_INTERVAL_MS = 1000,
  EXCHANGE_TIMEOUT_MS = 3000,
  TRANSCRIPT_MAX_BYTES = 64 << 10,
  RATINGS_IN_FLIGHT_MAX = 256
};

static bool
is_sampled_for_rollout (request_t *request)
{
  entry_t *entry = request->entry;

  if (request->rollout == NULL)
    return false;
  return rng_double (&entry->rng)
         < rollout_rating_share (request->rollout->run, request->arm);
}

void
learn_decide_sampling (request_t *request)
{
  entry_t *entry = request->entry;
  uint64_t now_ms = clock_realtime_ms (entry->clock);

  if (!quality_is_rater_available (entry->quality, now_ms))
    return;
  request->rating_sampled
      = is_sampled_for_rollout (request)
        || quality_should_rate (entry->quality, &entry->rng,
                                request->version->model->task,
                                request->version->name, now_ms);
}

void
learn_append_transcript (request_t *request, str_t bytes)
{
  if ((request->rating_sampled || request->plan.is_audited)
      && request->transcript.len + bytes.len <= TRANSCRIPT_MAX_BYTES)
    buf_append_str (&request->transcript, bytes);
}

learn_rollout_t *
learn_rollout_find (entry_t *entry, str_t version)
{
  LIST_EACH (at, &entry->rollouts)
    {
      learn_rollout_t *rollout = CONTAINER_OF (at, learn_rollout_t, link);
      if (str_eq (str_from (rollout->version), version))
        return rollout;
    }
  return NULL;
}

learn_rollout_t *
learn_rollout_put (entry_t *entry, str_t version, uint64_t start_ms)
{
  learn_rollout_t *rollout = learn_rollout_find (entry, version);

  /* A later start time means a new roll-out of the same version.  */
  if (rollout != NULL && rollout->start_ms >= start_ms)
    return rollout->start_ms == start_ms ? rollout : NULL;
  if (rollout == NULL)
    {
      rollout = mem_zalloc (sizeof *rollout);
      rollout->version = str_dup (version);
      list_append (&entry->rollouts, &rollout->link);
    }
  else
    rollout_destroy (rollout->run);
  rollout->start_ms = start_ms;
  rollout->run
      = rollout_create (rpc_node_epoch (entry->node), version, start_ms);
  return rollout;
}

static bool
is_halted_or_aborted (const learn_rollout_t *rollout)
{
  rollout_phase_t phase = rollout_phase (rollout->run);

  return phase == ROLLOUT_PHASE_HALTED || phase == ROLLOUT_PHASE_ABORTED;
}

bool
learn_is_rollout_stopped (entry_t *entry, const version_t *version)
{
  const learn_rollout_t *rollout = learn_rollout_find (entry, version->name);

  return version->state == VERSION_ROLLING_OUT && rollout != NULL
         && is_halted_or_aborted (rollout);
}

/* Return the replica of the roll-out CONFIGURED, or NULL before its state has
   reached this entry.  Until then the new version gets no requests.  */
static learn_rollout_t *
find_configured_rollout (entry_t *entry, const rollout_t *configured)
{
  return learn_rollout_find (entry, configured->version->name);
}

const version_t *
learn_assign_rollout (request_t *request, const version_t *chosen)
{
  entry_t *entry = request->entry;
  const rollout_t *configured;
  str_t key = request->session_token != NULL
                  ? str_from (request->session_token)
                  : str_from (request->request_id);

  for (size_t i = 0;
       (configured = snapshot_rollout_at (request->snapshot, i)) != NULL; i++)
    {
      learn_rollout_t *rollout = find_configured_rollout (entry, configured);
      if (rollout == NULL)
        continue;
      bool is_old = configured->replaced_version == chosen;
      bool is_new = configured->version == chosen;
      if (!is_old && !is_new)
        continue;
      request->rollout = rollout;
      request->arm = is_new ? ROLLOUT_ARM_NEW : ROLLOUT_ARM_OLD;
      if (is_old && request->session_version == NULL
          && configured->state == ROLLOUT_RUNNING
          && rollout_is_assigned (rollout->run, str_hash (key, 5))
          && snapshot_allows (request->snapshot, request->team,
                              configured->version))
        {
          request->arm = ROLLOUT_ARM_NEW;
          chosen = configured->version;
        }
      rollout_count_exposure (rollout->run, request->arm,
                              clock_realtime_ms (entry->clock));
      return chosen;
    }
  return chosen;
}

bool
learn_is_avoided (const request_t *request, const version_t *version)
{
  entry_t *entry = request->entry;
  double weight = degradation_traffic_weight (
      entry->degradation, version->name, clock_realtime_ms (entry->clock));
  rng_t rng = rng_make (str_hash (str_from (request->request_id), 7));

  return weight < 1.0 && rng_double (&rng) >= weight;
}

void
learn_config_changed (entry_t *entry, const snapshot_t *last,
                      const snapshot_t *next)
{
  const version_t *version;

  for (size_t i = 0;
       last != NULL && (version = snapshot_version_at (next, i)) != NULL; i++)
    {
      const version_t *previous = snapshot_find_version (last, version->name);
      if (previous != NULL && previous->state == VERSION_WITHDRAWN
          && version->state != VERSION_WITHDRAWN)
        degradation_clear_alarm (entry->degradation, version->name,
                                 clock_realtime_ms (entry->clock));
    }
}

static void
record_sample (request_t *request, const rollout_sample_t *sample)
{
  if (request->version == NULL)
    return;
  degradation_observe (request->entry->degradation, request->version->name,
                       request->version->model->task, sample,
                       clock_realtime_ms (request->entry->clock));
  if (request->rollout == NULL)
    return;
  rollout_observe (request->rollout->run, request->arm,
                   request->version->model->task, sample,
                   clock_realtime_ms (request->entry->clock));
}

void
learn_attempt_ended (request_t *request, bool failed)
{
  double latency_ms = (double)(clock_us (request->entry->clock)
                               - request->attempt.started_us)
                      / 1000.0;
  const rollout_sample_t sample = { .finished = true,
                                    .failed = failed,
                                    .latency_ms = failed ? 0 : latency_ms };

  record_sample (request, &sample);
}

/* Reason why a rating is requested.  */
typedef enum
{
  RATING_PURPOSE_SAMPLE,    /* A random sample of the answers.  */
  RATING_PURPOSE_AUDIT,     /* A second rating of a cascade's first answer.  */
  RATING_PURPOSE_ESCALATION /* The answer of an escalated request.  */
} rating_purpose_t;

typedef struct
{
  entry_t *entry;
  rating_purpose_t purpose;
  char *first_version; /* First version of the request's plan.  */
  double first_rating; /* Rating of the cascade's first answer.  */
  char *task;
  char *team;
  char *version;
  char *zone;
  char *rollout_version; /* Version being rolled out, or NULL.  */
  uint64_t rollout_start_ms;
  rollout_arm_t arm;
} rating_t;

static void
rating_free (rating_t *rating)
{
  free (rating->first_version);
  free (rating->task);
  free (rating->team);
  free (rating->zone);
  free (rating->version);
  free (rating->rollout_version);
  free (rating);
}

/* Record SCORE of a sampled answer as evidence for its version.  Scores of
   escalated requests are not recorded here: such requests are harder than the
   average, so their scores are no measure of the version's quality.  */
static void
record_sample_score (const rating_t *rating, double score, uint64_t now_ms)
{
  entry_t *entry = rating->entry;
  str_t task = str_from (rating->task);
  str_t version = str_from (rating->version);
  const rollout_sample_t rollout_sample = { .rated = true, .rating = score };

  quality_add_rating (entry->quality, task, version, score, now_ms);
  degradation_observe (entry->degradation, version, task, &rollout_sample,
                       now_ms);
  learn_rollout_t *rollout
      = rating->rollout_version != NULL
            ? learn_rollout_find (entry, str_from (rating->rollout_version))
            : NULL;
  if (rollout != NULL && rollout->start_ms == rating->rollout_start_ms)
    rollout_observe (rollout->run, rating->arm, task, &rollout_sample, now_ms);
}

static void
record_score (const rating_t *rating, double score)
{
  entry_t *entry = rating->entry;
  uint64_t now_ms = clock_realtime_ms (entry->clock);
  str_t task = str_from (rating->task);
  str_t version = str_from (rating->version);
  str_t rest;
  const burn_sample_t sample = { .team = str_from (rating->team),
                                 .model = str_cut (version, '@', &rest),
                                 .version = version,
                                 .zone = str_from (rating->zone),
                                 .rating = score };

  quality_record_rater_success (entry->quality);
  if (rating->purpose == RATING_PURPOSE_AUDIT)
    {
      cascade_record_first (entry->cascade, task, version,
                            rating->first_rating, score, now_ms);
      return;
    }
  burn_observe_rating (entry->burn, &sample, now_ms);
  if (rating->purpose == RATING_PURPOSE_ESCALATION)
    cascade_record_second (entry->cascade, task,
                           str_from (rating->first_version), version,
                           rating->first_rating, score, now_ms);
  else
    record_sample_score (rating, score, now_ms);
}

static void
on_rated (void *arg, vh_code_t code, double score)
{
  rating_t *rating = arg;
  entry_t *entry = rating->entry;

  if (code != VH_E_CANCELLED)
    {
      entry->ratings_in_flight--;
      if (code == VH_OK)
        record_score (rating, score);
      else
        {
          quality_record_rater_failure (entry->quality,
                                        clock_realtime_ms (entry->clock));
          /* The first rating of the audited answer is still recorded.  */
          if (rating->purpose == RATING_PURPOSE_AUDIT)
            cascade_record_first (entry->cascade, str_from (rating->task),
                                  str_from (rating->version),
                                  rating->first_rating, NAN,
                                  clock_realtime_ms (entry->clock));
        }
    }
  rating_free (rating);
}

/* Send CONTENT, the answer of the current version, to the rating service.  */
static void
request_rating (request_t *request, rating_purpose_t purpose, str_t content)
{
  entry_t *entry = request->entry;
  rating_t *rating = mem_zalloc (sizeof *rating);

  rating->entry = entry;
  rating->purpose = purpose;
  rating->first_version = str_dup (request->first_version->name);
  rating->first_rating = request->first_rating;
  rating->task = str_dup (request->version->model->task);
  rating->team = str_dup (request->team->name);
  rating->zone = str_dup (request->attempt.member != NULL
                              ? str_from (request->attempt.member->zone)
                              : STR (""));
  rating->version = str_dup (request->version->name);
  rating->arm = request->arm;
  if (request->rollout != NULL)
    {
      rating->rollout_version = str_dup (str_from (request->rollout->version));
      rating->rollout_start_ms = request->rollout->start_ms;
    }
  entry->ratings_in_flight++;
  entry->options.platform->ops->rate_answer (
      entry->options.platform, request->version->model->task,
      buf_str (&request->raw_body), content, on_rated, rating);
}

void
learn_first_rated (request_t *request, str_t content)
{
  entry_t *entry = request->entry;
  uint64_t now_ms = clock_realtime_ms (entry->clock);

  quality_add_rating (entry->quality, request->version->model->task,
                      request->version->name, request->first_rating, now_ms);
  if (request->plan.is_audited
      && entry->ratings_in_flight < RATINGS_IN_FLIGHT_MAX)
    request_rating (request, RATING_PURPOSE_AUDIT, content);
  else
    cascade_record_first (entry->cascade, request->version->model->task,
                          request->version->name, request->first_rating, NAN,
                          now_ms);
}

void
learn_request_answered (request_t *request)
{
  entry_t *entry = request->entry;
  buf_t content = BUF_NULL;
  bool is_rating_wanted = request->escalated ? request->plan.is_audited
                                             : request->rating_sampled;

  if (request->version == NULL || !is_rating_wanted
      || entry->ratings_in_flight >= RATINGS_IN_FLIGHT_MAX
      || request->attempt.http_status != 200 || request->transcript.len == 0)
    return;
  content_extract (buf_str (&request->transcript), request->stream, &content);
  request_rating (request,
                  request->escalated ? RATING_PURPOSE_ESCALATION
                                     : RATING_PURPOSE_SAMPLE,
                  buf_str (&content));
  buf_free (&content);
}

/* Append a row of evidence: "KIND NAME START LENGTH\n" and LENGTH bytes.  */
static void
append_row (buf_t *out, const char *kind, str_t name, uint64_t start_ms,
            const buf_t *bytes)
{
  buf_printf (out, "%s %.*s %llu %zu\n", kind, STR_ARG (name),
              (unsigned long long)start_ms, bytes->len);
  buf_append_str (out, buf_str (bytes));
}

void
learn_compact (entry_t *entry, uint64_t generation)
{
  uint64_t now_ms = clock_realtime_ms (entry->clock);

  quality_compact (entry->quality, generation, now_ms);
  cascade_compact (entry->cascade, generation, now_ms);
  degradation_compact (entry->degradation, generation, now_ms);
  burn_compact (entry->burn, generation, now_ms);
  LIST_EACH (at, &entry->rollouts)
    rollout_compact (CONTAINER_OF (at, learn_rollout_t, link)->run, generation,
                     now_ms);
}

void
learn_write (entry_t *entry, bool own_only, buf_t *out)
{
  buf_t bytes = BUF_NULL;

  quality_write (entry->quality, own_only, &bytes);
  append_row (out, "quality", STR ("-"), 0, &bytes);
  bytes.len = 0;
  cascade_write (entry->cascade, own_only, &bytes);
  append_row (out, "cascade", STR ("-"), 0, &bytes);
  bytes.len = 0;
  degradation_write (entry->degradation, own_only, &bytes);
  append_row (out, "watch", STR ("-"), 0, &bytes);
  bytes.len = 0;
  burn_write_state (entry->burn, own_only, &bytes);
  append_row (out, "burn", STR ("-"), 0, &bytes);
  bytes.len = 0;
  guard_write (entry, &bytes);
  append_row (out, "poison", STR ("-"), 0, &bytes);
  LIST_EACH (at, &entry->rollouts)
    {
      const learn_rollout_t *rollout
          = CONTAINER_OF (at, learn_rollout_t, link);
      bytes.len = 0;
      rollout_write (rollout->run, own_only, &bytes);
      append_row (out, "rollout", str_from (rollout->version),
                  rollout->start_ms, &bytes);
    }
  buf_free (&bytes);
}

/* Merge one row.  A row of an unknown kind is ignored, and so is a roll-out
   that starts more than 60 s in the future.  */
static void
merge_row (entry_t *entry, str_t kind, str_t name, uint64_t start_ms,
           str_t bytes)
{
  uint64_t now_ms = clock_realtime_ms (entry->clock);

  if (str_eq (kind, STR ("quality")))
    quality_merge (entry->quality, bytes, now_ms);
  else if (str_eq (kind, STR ("cascade")))
    cascade_merge (entry->cascade, bytes, now_ms);
  else if (str_eq (kind, STR ("watch")))
    degradation_merge (entry->degradation, bytes, now_ms);
  else if (str_eq (kind, STR ("burn")))
    burn_merge (entry->burn, bytes, now_ms);
  else if (str_eq (kind, STR ("poison")))
    guard_merge (entry, bytes);
  else if (str_eq (kind, STR ("rollout")) && start_ms <= now_ms + 60000)
    {
      learn_rollout_t *rollout = learn_rollout_put (entry, name, start_ms);
      if (rollout != NULL)
        rollout_merge (rollout->run, bytes, now_ms);
    }
}

void
learn_merge (entry_t *entry, str_t rows)
{
  while (rows.len > 0)
    {
      str_t rest, start_text, len_text;
      uint64_t start_ms, len;
      str_t line = str_cut (rows, '\n', &rest);
      str_t kind = str_cut (line, ' ', &line);
      str_t name = str_cut (line, ' ', &line);
      start_text = str_cut (line, ' ', &len_text);
      if (!str_to_u64 (start_text, &start_ms) || !str_to_u64 (len_text, &len)
          || len > rest.len)
        return;
      merge_row (entry, kind, name, start_ms, str_make (rest.ptr, len));
      rows = str_make (rest.ptr + len, rest.len - len);
    }
}

static void
on_evidence_received (void *arg, vh_code_t code, void *result, unsigned sent)
{
  member_t *member = arg;
  const wire_evidence_res_t *answer = result;

  (void)sent;
  if (code == VH_OK && !member->entry->destroyed)
    learn_merge (member->entry,
                 str_make (answer->rows.rows_val, answer->rows.rows_len));
  fleet_member_unref (member);
}

/* Return a connected entry to exchange evidence with, drawn at random, or NULL
   if there is none.  */
static member_t *
pick_partner (entry_t *entry)
{
  member_t *partners[64];
  size_t count = 0;
  size_t cursor = 0;
  void *value;

  while (count < 64 && map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      if (member->is_entry && rpc_peer_state (member->peer) == RPC_UP)
        partners[count++] = member;
    }
  return count > 0 ? partners[rng_below (&entry->rng, count)] : NULL;
}

static void
exchange_evidence (member_t *partner)
{
  buf_t rows = BUF_NULL;

  learn_write (partner->entry, true, &rows);
  wire_evidence_args_t args = { .rows = { (u_int)rows.len, rows.ptr } };
  partner->ref_count++;
  rpc_peer_call (partner->peer, WIRE_EVIDENCE, &args, EXCHANGE_TIMEOUT_MS,
                 on_evidence_received, partner);
  buf_free (&rows);
}

void
learn_broadcast (entry_t *entry)
{
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      if (member->is_entry && rpc_peer_state (member->peer) == RPC_UP)
        exchange_evidence (member);
    }
}

void
learn_tick (entry_t *entry, uint64_t now_ms)
{
  if (now_ms - entry->last_exchange_ms < EXCHANGE_INTERVAL_MS)
    return;
  entry->last_exchange_ms = now_ms;
  if (degradation_check (entry->degradation, clock_realtime_ms (entry->clock)))
    log_warning ("entry", "A version in service is degraded; its traffic is "
                          "moved to other versions.");
  member_t *partner = pick_partner (entry);
  if (partner != NULL)
    exchange_evidence (partner);
}

void
learn_destroy (entry_t *entry)
{
  while (!list_is_empty (&entry->rollouts))
    {
      learn_rollout_t *rollout
          = CONTAINER_OF (entry->rollouts.next, learn_rollout_t, link);
      list_remove (&rollout->link);
      rollout_destroy (rollout->run);
      free (rollout->version);
      free (rollout);
    }
}

static void
write_alarms_status (entry_t *entry, buf_t *out)
{
  const version_t *version;
  rollout_metric_t metric;
  uint64_t since_ms;
  bool first = true;

  for (size_t i = 0;
       entry->snapshot != NULL
       && (version = snapshot_version_at (entry->snapshot, i)) != NULL;
       i++)
    {
      if (!degradation_get_alarm (entry->degradation, version->name, &metric,
                                  &since_ms))
        continue;
      buf_printf (
          out,
          "%s{\"version\":\"%.*s\",\"metric\":\"%s\","
          "\"since_ms\":%llu,\"weight\":%g}",
          first ? "" : ",", STR_ARG (version->name),
          rollout_metric_name (metric), (unsigned long long)since_ms,
          degradation_traffic_weight (entry->degradation, version->name,
                                      clock_realtime_ms (entry->clock)));
      first = false;
    }
}

void
learn_status (entry_t *entry, buf_t *out)
{
  const rollout_t *configured;
  bool first = true;

  buf_printf (out, "\"rollouts\":[");
  for (size_t i = 0;
       entry->snapshot != NULL
       && (configured = snapshot_rollout_at (entry->snapshot, i)) != NULL;
       i++)
    {
      const learn_rollout_t *rollout
          = find_configured_rollout (entry, configured);
      buf_t reason = BUF_NULL;
      if (rollout != NULL)
        rollout_explain (rollout->run, &reason);
      buf_printf (
          out,
          "%s{\"version\":\"%.*s\",\"over\":\"%.*s\",\"state\":"
          "\"%s\",\"share\":%g,\"shown\":%llu,\"reason\":\"",
          first ? "" : ",", STR_ARG (configured->version->name),
          STR_ARG (configured->replaced_version->name),
          rollout != NULL ? rollout_phase_name (rollout_phase (rollout->run))
                          : "unknown",
          rollout != NULL ? 100.0 * rollout_share (rollout->run) : 0.0,
          (unsigned long long)(rollout != NULL
                                   ? rollout_exposed_count (rollout->run)
                                   : 0));
      buf_append_json_escaped (out, buf_str (&reason));
      buf_printf (out, "\"}");
      buf_free (&reason);
      first = false;
    }
  buf_printf (out, "],\"alarms\":[");
  write_alarms_status (entry, out);
  buf_printf (out, "]");
}
