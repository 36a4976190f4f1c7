#include "gateway/relayint.h"

#include <math.h>

enum
{
  /* Minimum number of instances that get the requests of a new version.  A
     single instance may have a queue by chance, and the version would be
     judged by that.  */
  NEW_VERSION_INSTANCES_MIN = 2
};

size_t
relay_service_model_index (const relay_t *relay, size_t index)
{
  const service_t *service = relay->attrs.service;

  for (size_t i = 0; i < service->model_count; i++)
    if (str_eq (service->models[i].name, relay->attrs.route->models[index]))
      return i;
  return SERVICE_MODELS_MAX;
}

static double
model_cost (const relay_t *relay, size_t index)
{
  return index < SERVICE_MODELS_MAX ? relay->attrs.service->models[index].cost
                                    : 0;
}

/* Return whether the pool has an instance that runs VERSION of the request's
   service.  */
static bool
has_instance_of_version (const relay_t *relay, str_t version)
{
  return pool_count_instances (relay->state->pool, relay->attrs.service->name,
                               VERSION_ARM_NEW, version, 1)
         > 0;
}

/* Load of the instances that get the requests of a new version, relative to
   the load of the old version's instances.  The ratio is above 1, so that the
   new version is tested with more load than it will get at normal traffic.  */
static const double new_version_load_ratio = 1.25;

/* Return how many instances of the version in TRIAL get its share of the
   requests.  */
static size_t
new_version_instance_count (const relay_t *relay, const trial_t *trial)
{
  const gateway_state_t *state = relay->state;
  double share = trial_share (
      trial, table_sync_store_now_ms (state->operator_rows_sync));
  size_t old_instances = pool_count_instances (
      state->pool, relay->attrs.service->name, VERSION_ARM_OLD,
      trial_version (trial), SIZE_MAX);
  size_t count
      = (size_t)ceil (share * (double)old_instances / new_version_load_ratio);
  return count > NEW_VERSION_INSTANCES_MIN ? count : NEW_VERSION_INSTANCES_MIN;
}

/* Set the versions that CRITERIA allows, according to the roll-out of the
   service.  */
static void
choose_version_arm (const relay_t *relay, pool_criteria_t *criteria)
{
  gateway_state_t *state = relay->state;
  const trial_t *trial = relay_trial (relay);

  criteria->arm = VERSION_ARM_ANY;
  if (trial == NULL)
    return;
  criteria->version = trial_version (trial);
  switch (trial_phase (trial))
    {
    case TRIAL_PHASE_ROLLED_BACK:
    case TRIAL_PHASE_WITHDRAWN:
      criteria->arm = VERSION_ARM_OLD;
      break;
    case TRIAL_PHASE_DONE:
      if (has_instance_of_version (relay, criteria->version))
        criteria->arm = VERSION_ARM_NEW;
      break;
    case TRIAL_PHASE_RUNNING:
      if (trial_choose_arm (
              trial, relay->attrs.session_hash,
              table_sync_store_now_ms (state->operator_rows_sync),
              &relay->trial_sends)
              == TRIAL_ARM_NEW
          && has_instance_of_version (relay, criteria->version))
        {
          criteria->arm = VERSION_ARM_NEW;
          criteria->max_instances = new_version_instance_count (relay, trial);
        }
      else
        criteria->arm = VERSION_ARM_OLD;
      break;
    }
}

/* Fill CRITERIA for a send to the model at INDEX in the route's list.  */
static void
fill_criteria (const relay_t *relay, size_t index, pool_criteria_t *criteria)
{
  const request_attrs_t *attrs = &relay->attrs;

  *criteria = (pool_criteria_t){
    .service = attrs->service->name,
    .cold_rate_per_s = attrs->service->cold_requests_per_s,
    .affinity_key
    = attrs->prefix_hash != 0 ? attrs->prefix_hash ^ (index + 1) : 0,
    .is_extra_send = relay->send_count > 0,
    .is_repeatable = attrs->is_repeatable,
    .poison_class = relay->poison_class,
    .tried = relay->tried,
    .tried_count = relay->tried_count,
  };
  choose_version_arm (relay, criteria);
}

void
relay_selection_criteria (const relay_t *relay, pool_criteria_t *criteria)
{
  fill_criteria (relay, relay->model_index, criteria);
}

bool
relay_has_alternative (const relay_t *relay)
{
  const upstream_t *tried[POOL_TRIED_MAX + 1];
  pool_criteria_t criteria;
  upstream_t *upstream;

  relay_selection_criteria (relay, &criteria);
  for (size_t i = 0; i < relay->tried_count; i++)
    tried[i] = relay->tried[i];
  if (relay->upstream != NULL)
    tried[criteria.tried_count++] = relay->upstream;
  criteria.tried = tried;
  vh_code_t code = pool_select (relay->state->pool, &criteria, &upstream);
  return code != VH_E_FULL && code != VH_E_LIMITED && code != VH_E_PAUSED;
}

uint64_t
relay_pause_left_ms (const relay_t *relay)
{
  pool_criteria_t criteria;

  if (relay->attrs.service == NULL)
    return 0;
  relay_selection_criteria (relay, &criteria);
  criteria.tried_count = 0;
  return pool_pause_left_ms (relay->state->pool, &criteria);
}

/* Return the number of requests at the engine that the request would be sent
   to now for the model at INDEX in the route's list.  Without such an engine,
   return the number of slots of the current upstream.

   The engine is the one that caches the shared parts of the prompt, even for a
   long prompt: if long prompts were sent to the least loaded engine, they
   would slow down all engines.  */
static double
load_for_model (const relay_t *relay, size_t index)
{
  pool_criteria_t criteria;
  upstream_t *upstream;

  fill_criteria (relay, index, &criteria);
  if (pool_select (relay->state->pool, &criteria, &upstream) != VH_OK)
    return upstream_slots (relay->upstream);
  return upstream_request_count (relay->state->pool, upstream);
}

size_t
relay_choose_larger_model (relay_t *relay, uint64_t confidence)
{
  const request_attrs_t *attrs = &relay->attrs;
  const route_t *route = attrs->route;
  escalation_t *escalation
      = gateway_service_escalation (relay->state, attrs->service->name);
  size_t model = relay_service_model_index (relay, relay->model_index);
  uint32_t confidence_points = confidence < 100 ? (uint32_t)confidence : 100;
  escalation_candidate_t choices[SERVICE_MODELS_MAX];
  size_t count = 0;

  if (relay->model_index == 0)
    relay->first_confidence = confidence_points;
  else
    escalation_record_confidences (escalation, model, relay->first_confidence,
                                   confidence_points);
  for (size_t i = relay->model_index + 1;
       i < route->model_count && count < SERVICE_MODELS_MAX; i++)
    {
      size_t larger_model = relay_service_model_index (relay, i);
      choices[count++]
          = (escalation_candidate_t){ .model = larger_model,
                                      .cost = model_cost (relay, larger_model),
                                      .running_requests
                                      = load_for_model (relay, i) };
    }
  const escalation_request_t request
      = { .model = model,
          .cost = model_cost (relay, model),
          .prompt_tokens = attrs->prompt_tokens,
          .output_tokens = attrs->output_tokens_max,
          .priority = route->priority,
          .confidence = confidence_points,
          .has_smallest_confidence = relay->model_index > 0,
          .smallest_confidence = relay->first_confidence,
          .elapsed_ms = relay->last_progress_ms - attrs->arrived_ms,
          .objective_ms = route->objective_ms,
          .max_pause_ms = route->event_gap_max_ms,
          .candidates = choices,
          .candidate_count = count };
  size_t chosen = escalation_choose (escalation, &request);
  return chosen < count ? relay->model_index + 1 + chosen : relay->model_index;
}
