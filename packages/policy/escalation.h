/* Decision whether the answer of a small model is replaced by the answer of a
   larger one.

   Load pattern: requests of unequal size and urgency, on engines under varying
   load.  A small model answers each request first and reports its confidence,
   0 to 100.  With one confidence threshold for all requests, a prompt of
   30,000 tokens is processed again by a larger model, which takes a second and
   a half: the response is late, and so are the other streams on that engine,
   whose events wait for the chunks of the prompt.  Besides, the answer to a
   request of low value, such as a label, is escalated at the same confidence
   as that to a request of high value, such as a draft.

   So the gain of each escalation is compared with its cost, in the unit of the
   costs of the models:

     value * (quality of the larger model - quality of the present answer)
       - cost of the larger answer - value lost by delayed concurrent streams

   - The value of a good answer is configured (escalation_options_t): an amount
     per 1,000 tokens of its size at the highest priority, and a fraction of
     that for each lower priority.
   - The quality of the present answer follows from the probability that the
     answer is good.  The confidence is taken as a noisy measurement, in which
     50 means that a good and a poor answer are equally likely.  A poor answer
     has a configured fraction of the value of a good one, and so has a late
     answer.  The answer of the largest model counts as good.
   - A middle model, between the smallest and the largest one, answers well the
     requests that are slightly too hard for the smallest model, at half of the
     cost of the largest.  Its confidence exceeds that of the smallest model by
     a lead, in points, which is learned from requests that both models
     answered.  The probability that its answer is good follows from the
     confidence of the smallest model plus the lead.  Once the middle model has
     answered, both confidences count.
   - Whether the larger answer is late follows from the recent times to the
     first event of the larger model, fitted as a curve over the prompt tokens.
   - An engine processes a prompt in chunks between the tokens of its other
     requests.  A prompt that takes longer than the longest allowed pause
     between events makes all these requests late, so the value lost grows with
     their number.

   When the engines are under pressure, which shows in the time to the first
   event relative to the objective, up to ESCALATION_PRESSURE_POINTS_MAX points
   are added to each confidence, so that fewer answers are escalated.
   Otherwise the second answers would fill the engines.  */

#ifndef POLICY_ESCALATION_H
#define POLICY_ESCALATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Pressure, the mean time to the first event relative to the objective, up to
   which confidences are not changed and from which the full
   ESCALATION_PRESSURE_POINTS_MAX are added.  An engine with little load
   answers within a tenth of the objective; at a mean of a half the slowest
   tenth of the first events is already late.  */
#define ESCALATION_PRESSURE_LOW 0.16
#define ESCALATION_PRESSURE_HIGH 0.48
/* Points added to a confidence at full pressure.  The answers that are then
   still escalated are nearly always poor.  */
#define ESCALATION_PRESSURE_POINTS_MAX 43
/* Weight of the old pressure at each observation; the average covers about one
   second of the requests of an entry process.  */
#define ESCALATION_PRESSURE_DECAY 0.92
/* Prior for the lead of a model, the points by which its confidence exceeds
   that of the smallest model on the same request, and the weight of the prior
   as a number of requests that both models answered.  */
#define ESCALATION_PRIOR_LEAD_POINTS 10
#define ESCALATION_PRIOR_LEAD_COUNT 4
/* Weight of the old sums of a curve at each observation; the sums cover some
   20 s at ten observations per second.  */
#define ESCALATION_CURVE_DECAY 0.995
/* Width of the transition from on time to late, relative to the limit.  Times
   to the first event scatter around their curve by about this width.  */
#define ESCALATION_LATE_TRANSITION_WIDTH 0.15
/* Time to process a prompt, relative to the longest allowed pause between
   events, that makes concurrent streams late.  A shorter time is spread over
   two gaps between events.  */
#define ESCALATION_PAUSE_FACTOR 1.25

/* Least gain of an escalation, relative to the value of the request.  A
   smaller gain is within the error of the confidence, while the escalation
   loads the engines in any case.  */
#define ESCALATION_GAIN_SHARE_MIN 0.02

enum
{
  ESCALATION_MODELS_MAX = 8,
  /* Fewest observations from which a curve is used.  */
  ESCALATION_OBSERVATIONS_MIN = 10
};

typedef struct escalation escalation_t;

/* Settings of the operators, which cannot be learned from the traffic.  */
typedef struct
{
  /* Value of a good answer of the highest priority per 1,000 tokens of size,
     in the unit of the costs of the models.  The size is the number of prompt
     tokens plus ten times the number of output tokens.  */
  double value_per_1k_tokens;
  /* Ratio of the value at a priority to that at the next higher one.  */
  double priority_value_ratio;
  /* Ratio of the value of a late answer to that of a timely one.  */
  double late_value_ratio;
  /* Ratio of the value of a poor answer to that of a good one.  */
  double poor_value_ratio;
  /* Standard deviation of the noise of a confidence, in points: the range
     around 50 in which a confidence may be wrong.  */
  double confidence_stddev;
} escalation_options_t;

/* A larger model that may answer the request next.  */
typedef struct
{
  size_t model; /* Index of the model; 0 is the smallest.  */
  double cost;  /* Cost of 1,000 output tokens or of 4,000 prompt tokens.  */
  /* Requests running on the engine that would process the prompt.  */
  double running_requests;
} escalation_candidate_t;

/* A request and its present answer.  */
typedef struct
{
  size_t model; /* Index of the model that answered; 0 is the smallest.  */
  double cost;  /* Cost of MODEL, as in escalation_candidate_t.  */
  uint32_t prompt_tokens;
  uint32_t output_tokens; /* Expected output tokens; 0 if unknown.  */
  uint32_t priority;      /* Priority of the request; 0 is the highest.  */
  uint32_t confidence;    /* Confidence of MODEL in its answer, 0 to 100.  */
  /* Whether the smallest model answered before MODEL, and its confidence in
     that answer.  */
  bool has_smallest_confidence;
  uint32_t smallest_confidence;
  uint64_t elapsed_ms;   /* Time since the arrival of the request.  */
  uint64_t objective_ms; /* Objective for the first event; 0 for none.  */
  /* Longest allowed pause between events; 0 for no limit.  */
  uint64_t max_pause_ms;
  /* Models larger than MODEL, smallest first.  */
  const escalation_candidate_t *candidates;
  size_t candidate_count;
} escalation_request_t;

/* Return new learned state for the requests of one service, owned by the
   caller.  OPTIONS is copied.  */
escalation_t *escalation_create (const escalation_options_t *options);
void escalation_destroy (escalation_t *escalation);

/* Record that the first event of MODEL for a prompt of PROMPT_TOKENS arrived
   after WAIT_MS.  OBJECTIVE_MS is the objective; 0 for none.  */
void escalation_record_wait (escalation_t *escalation, size_t model,
                             uint32_t prompt_tokens, uint64_t wait_ms,
                             uint64_t objective_ms);
/* Record the CONFIDENCE of MODEL and the SMALLEST_CONFIDENCE of the smallest
   model in their answers to the same request.  */
void escalation_record_confidences (escalation_t *escalation, size_t model,
                                    uint32_t smallest_confidence,
                                    uint32_t confidence);
/* Return the points by which the confidence of MODEL, which is not the
   smallest one, exceeds that of the smallest model.  */
double escalation_confidence_lead (const escalation_t *escalation,
                                   size_t model);
/* Return the gain of replacing the present answer by that of the candidate
   INDEX, in the unit of the costs.  */
double escalation_gain (const escalation_t *escalation,
                        const escalation_request_t *request, size_t index);
/* Return the index of the candidate with the largest gain, or the number of
   candidates when the present answer is kept.  The value of REQUEST is added
   to the moving average that stands for the value of each concurrent
   request.  */
size_t escalation_choose (escalation_t *escalation,
                          const escalation_request_t *request);
/* Return the mean time to the first event relative to the objective.  */
double escalation_pressure (const escalation_t *escalation);
/* Return the expected time to the first event of MODEL for a prompt of
   PROMPT_TOKENS; 0 if there are too few observations.  */
double escalation_predicted_wait_ms (const escalation_t *escalation,
                                     size_t model, uint32_t prompt_tokens);

#endif
