#include "gateway/relayint.h"

#include <math.h>

enum
{
  /* Of instances that get the first share of a version: one that happens to
     have a queue must not speak for all.  */
  FEW_LEAST = 2
};

/* Index among the service's models of the route's model at INDEX;
   SERVICE_MODELS_MAX when the service does not list it.  */
size_t
relay_service_model (const relay_t *relay, size_t index)
{
  const service_t *service = relay->terms.service;

  for (size_t i = 0; i < service->model_count; i++)
    if (str_eq (service->models[i].name, relay->terms.route->models[index]))
      return i;
  return SERVICE_MODELS_MAX;
}

static double
model_cost (const relay_t *relay, size_t index)
{
  return index < SERVICE_MODELS_MAX ? relay->terms.service->models[index].cost
                                    : 0;
}

/* Tell whether VERSION of the request's service has an instance in service. */
static bool
has_version (const relay_t *relay, str_t version)
{
  return pool_count (relay->belief->pool, relay->terms.service->name,
                     VERSION_ARM_NEW, version, 1)
         > 0;
}

/* Load of the instances that get a version's share, over that of the old
   version's: it must be seen to bear more than it will get on a calm day.  */
static const double crowding = 1.25;

/* How many instances of the version under TRIAL get its share of the requests.
 */
static size_t
few_of (const relay_t *relay, const trial_t *trial)
{
  const gateway_state_t *belief = relay->belief;
  double share = trial_share (trial, table_sync_store_now_ms (belief->orders));
  size_t old = pool_count (belief->pool, relay->terms.service->name,
                           VERSION_ARM_OLD, trial_version (trial), SIZE_MAX);
  size_t few = (size_t)ceil (share * (double)old / crowding);
  return few > FEW_LEAST ? few : FEW_LEAST;
}

/* Which versions WANT may go to.  */
static void
choose_arm (const relay_t *relay, pool_criteria_t *want)
{
  gateway_state_t *belief = relay->belief;
  const trial_t *trial = relay_trial (relay);

  want->arm = VERSION_ARM_ANY;
  if (trial == NULL)
    return;
  want->version = trial_version (trial);
  switch (trial_phase (trial))
    {
    case TRIAL_ROLLED_BACK:
      want->arm = VERSION_ARM_OLD;
      break;
    case TRIAL_DONE:
      if (has_version (relay, want->version))
        want->arm = VERSION_ARM_NEW;
      break;
    case TRIAL_RUNNING:
      if (trial_choose_arm (trial, relay->terms.session,
                            table_sync_store_now_ms (belief->orders),
                            &relay->on_trial)
              == TRIAL_NEW
          && has_version (relay, want->version))
        {
          want->arm = VERSION_ARM_NEW;
          want->few = few_of (relay, trial);
        }
      else
        want->arm = VERSION_ARM_OLD;
      break;
    }
}

/* What a send of RELAY to the route's model at INDEX asks of an upstream.  */
static void
want_for (const relay_t *relay, size_t index, pool_criteria_t *want)
{
  const terms_t *terms = &relay->terms;

  *want = (pool_criteria_t){
    .service = terms->service->name,
    .cold_per_s = terms->service->cold_per_s,
    .key = terms->key != 0 ? terms->key ^ (index + 1) : 0,
    .tried = relay->tried,
    .tried_count = relay->tried_count,
  };
  choose_arm (relay, want);
}

void
relay_want (const relay_t *relay, pool_criteria_t *want)
{
  want_for (relay, relay->model, want);
}

bool
relay_has_place (const relay_t *relay)
{
  const upstream_t *tried[POOL_TRIED_MAX + 1];
  pool_criteria_t want;
  upstream_t *upstream;

  relay_want (relay, &want);
  for (size_t i = 0; i < relay->tried_count; i++)
    tried[i] = relay->tried[i];
  if (relay->upstream != NULL)
    tried[want.tried_count++] = relay->upstream;
  want.tried = tried;
  return pool_select (relay->belief->pool, &want, &upstream) != VH_E_FULL;
}

/* Requests at the engine that would read the prompt if it went to the route's
   model at INDEX now; all that an engine can carry when none would.  That is
   the home of its shared parts also for a long prompt: sent to the idlest
   engine, long reads spread over all of them.  */
static double
load_beside (const relay_t *relay, size_t index)
{
  pool_criteria_t want;
  upstream_t *upstream;

  want_for (relay, index, &want);
  if (pool_select (relay->belief->pool, &want, &upstream) != VH_OK)
    return upstream_slots (relay->upstream);
  return upstream_request_count (relay->belief->pool, upstream);
}

size_t
relay_larger (relay_t *relay, uint64_t opinion)
{
  const terms_t *terms = &relay->terms;
  const route_t *route = terms->route;
  escalation_t *escalation
      = belief_escalation (relay->belief, terms->service->name);
  size_t model = relay_service_model (relay, relay->model);
  uint32_t points = opinion < 100 ? (uint32_t)opinion : 100;
  escalation_candidate_t choices[SERVICE_MODELS_MAX];
  size_t count = 0;

  if (relay->model == 0)
    relay->first_opinion = points;
  else
    escalation_record_confidences (escalation, model, relay->first_opinion,
                                   points);
  for (size_t i = relay->model + 1;
       i < route->model_count && count < SERVICE_MODELS_MAX; i++)
    {
      size_t larger = relay_service_model (relay, i);
      choices[count++]
          = (escalation_candidate_t){ .model = larger,
                                      .cost = model_cost (relay, larger),
                                      .running_requests
                                      = load_beside (relay, i) };
    }
  const escalation_request_t request
      = { .model = model,
          .cost = model_cost (relay, model),
          .prompt_tokens = terms->prompt,
          .output_tokens = terms->generated,
          .priority = route->priority,
          .confidence = points,
          .has_smallest_confidence = relay->model > 0,
          .smallest_confidence = relay->first_opinion,
          .elapsed_ms = relay->last_ms - terms->arrived_ms,
          .objective_ms = route->objective_ms,
          .max_pause_ms = route->pause_ms,
          .candidates = choices,
          .candidate_count = count };
  size_t chosen = escalation_choose (escalation, &request);
  return chosen < count ? relay->model + 1 + chosen : relay->model;
}
