#include "policy/escalation.h"

#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

enum
{
  CURVE_TERMS
  = 3 /* Number of terms of a curve: constant, linear and quadratic.  */
};

/* Largest ratio of a wait to its objective that enters the pressure, so that a
   single outlier hardly changes the pressure.  */
static const double pressure_sample_max = 2;
/* Times to the first event are clipped at OUTLIER_FACTOR times the value of
   the curve plus OUTLIER_MS.  The wait of a stalled request does not depend on
   the time to process its prompt.  */
static const double outlier_factor = 2;
static const double outlier_ms = 200;
/* Weight of the old mean value of a request when a new request arrives.  */
static const double value_decay = 0.98;
/* Tokens per unit of the curves, the costs and the value.  */
static const double tokens_per_unit = 1000;
/* Cost of a prompt token relative to an output token.  */
static const double prompt_cost_ratio = 0.25;
/* Weight of an output token in the size of a request, in prompt tokens.  */
static const double output_size_weight = 10;

/* Decayed sums for the fit of a quadratic curve of the wait y in ms over x
   thousand prompt tokens.  */
typedef struct
{
  double wait_count; /* Number of observations after decay.  */
  double power_sums[2 * CURVE_TERMS - 1]; /* Sums of x^0 to x^4.  */
  double wait_sums[CURVE_TERMS];          /* Sums of y x^0 to y x^2.  */
} curve_t;

/* Decayed sum of the points by which the confidence of a model exceeds that of
   the smallest model.  */
typedef struct
{
  double answer_count; /* Number of observations after decay.  */
  double points_sum;
} lead_sums_t;

struct escalation
{
  escalation_options_t options;
  /* Mean time to the first event relative to the objective.  */
  double pressure;
  /* Time to the first event by model.  */
  curve_t curves[ESCALATION_MODELS_MAX];
  lead_sums_t leads[ESCALATION_MODELS_MAX];
  double mean_request_value; /* Moving average of the values of requests; 0 if
                                there was no request.  */
};

escalation_t *
escalation_create (const escalation_options_t *options)
{
  escalation_t *escalation = mem_zalloc (sizeof *escalation);

  escalation->options = *options;
  return escalation;
}

void
escalation_destroy (escalation_t *escalation)
{
  free (escalation);
}

/* Solve the first EQUATION_COUNT equations of MATRIX * X = VECTOR and store X
   in VECTOR.  Return false when the equations are nearly singular.  */
static bool
solve_equations (double matrix[CURVE_TERMS][CURVE_TERMS],
                 double vector[CURVE_TERMS], size_t equation_count)
{
  static const double pivot_min = 1e-9;

  for (size_t i = 0; i < equation_count; i++)
    {
      if (fabs (matrix[i][i]) < pivot_min)
        return false;
      for (size_t row = 0; row < equation_count; row++)
        {
          double factor = row == i ? 0 : matrix[row][i] / matrix[i][i];
          for (size_t col = i; col < equation_count; col++)
            matrix[row][col] -= factor * matrix[i][col];
          vector[row] -= factor * vector[i];
        }
    }
  for (size_t i = 0; i < equation_count; i++)
    vector[i] /= matrix[i][i];
  return true;
}

/* Fit the first TERM_COUNT terms of CURVE.  Return false when the sums do not
   determine the terms, or when a term is negative, which would predict less
   time for longer prompts.  */
static bool
fit_terms (const curve_t *curve, size_t term_count, double terms[CURVE_TERMS])
{
  double matrix[CURVE_TERMS][CURVE_TERMS];

  for (size_t row = 0; row < CURVE_TERMS; row++)
    {
      terms[row] = row < term_count ? curve->wait_sums[row] : 0;
      for (size_t col = 0; col < CURVE_TERMS; col++)
        matrix[row][col] = curve->power_sums[row + col];
    }
  if (!solve_equations (matrix, terms, term_count))
    return false;
  for (size_t i = 0; i < term_count; i++)
    if (terms[i] < 0)
      return false;
  return true;
}

/* Store the terms of CURVE in TERMS, as many as the observations determine. */
static void
fit_curve (const curve_t *curve, double terms[CURVE_TERMS])
{
  for (size_t term_count = CURVE_TERMS; term_count > 1; term_count--)
    if (fit_terms (curve, term_count, terms))
      return;
  terms[0] = curve->wait_sums[0] / curve->wait_count;
  terms[1] = 0;
  terms[2] = 0;
}

/* Store the terms of the curve of MODEL in TERMS.  Return false when there are
   too few observations.  */
static bool
fit_model (const escalation_t *escalation, size_t model,
           double terms[CURVE_TERMS])
{
  if (model >= ESCALATION_MODELS_MAX
      || escalation->curves[model].wait_count < ESCALATION_OBSERVATIONS_MIN)
    return false;
  fit_curve (&escalation->curves[model], terms);
  return true;
}

static double
evaluate_curve (const double terms[CURVE_TERMS], uint32_t prompt_tokens)
{
  double x = prompt_tokens / tokens_per_unit;

  return terms[0] + terms[1] * x + terms[2] * x * x;
}

double
escalation_predicted_wait_ms (const escalation_t *escalation, size_t model,
                              uint32_t prompt_tokens)
{
  double terms[CURVE_TERMS];

  return fit_model (escalation, model, terms)
             ? evaluate_curve (terms, prompt_tokens)
             : 0;
}

static void
curve_add_wait (curve_t *curve, double x, double wait_ms)
{
  double power = 1;

  curve->wait_count = curve->wait_count * ESCALATION_CURVE_DECAY + 1;
  for (size_t i = 0; i < 2 * CURVE_TERMS - 1; i++)
    {
      curve->power_sums[i]
          = curve->power_sums[i] * ESCALATION_CURVE_DECAY + power;
      if (i < CURVE_TERMS)
        curve->wait_sums[i]
            = curve->wait_sums[i] * ESCALATION_CURVE_DECAY + wait_ms * power;
      power *= x;
    }
}

void
escalation_record_wait (escalation_t *escalation, size_t model,
                        uint32_t prompt_tokens, uint64_t wait_ms,
                        uint64_t objective_ms)
{
  double terms[CURVE_TERMS];
  double wait = (double)wait_ms;

  if (objective_ms > 0)
    escalation->pressure
        = escalation->pressure * ESCALATION_PRESSURE_DECAY
          + fmin (wait / (double)objective_ms, pressure_sample_max)
                * (1 - ESCALATION_PRESSURE_DECAY);
  if (model >= ESCALATION_MODELS_MAX)
    return;
  if (fit_model (escalation, model, terms))
    wait = fmin (wait, evaluate_curve (terms, prompt_tokens) * outlier_factor
                           + outlier_ms);
  curve_add_wait (&escalation->curves[model], prompt_tokens / tokens_per_unit,
                  wait);
}

double
escalation_pressure (const escalation_t *escalation)
{
  return escalation->pressure;
}

/* Return the probability that a time of VALUE exceeds LIMIT, as a logistic
   function: 0 well below LIMIT, 1 well above LIMIT.  */
static double
exceedance_probability (double value, double limit)
{
  return 1
         / (1
            + exp ((limit - value)
                   / (limit * ESCALATION_LATE_TRANSITION_WIDTH)));
}

void
escalation_record_confidences (escalation_t *escalation, size_t model,
                               uint32_t smallest_confidence,
                               uint32_t confidence)
{
  /* Confidences at the ends of the scale are clipped and would distort the
     lead.  */
  if (model >= ESCALATION_MODELS_MAX || smallest_confidence == 0
      || smallest_confidence >= 100 || confidence == 0 || confidence >= 100)
    return;
  lead_sums_t *lead = &escalation->leads[model];
  lead->answer_count = lead->answer_count * ESCALATION_CURVE_DECAY + 1;
  lead->points_sum = lead->points_sum * ESCALATION_CURVE_DECAY + confidence
                     - smallest_confidence;
}

double
escalation_confidence_lead (const escalation_t *escalation, size_t model)
{
  if (model >= ESCALATION_MODELS_MAX)
    return 0;
  const lead_sums_t *lead = &escalation->leads[model];
  return (lead->points_sum
          + ESCALATION_PRIOR_LEAD_POINTS * ESCALATION_PRIOR_LEAD_COUNT)
         / (lead->answer_count + ESCALATION_PRIOR_LEAD_COUNT);
}

/* Return the probability that an answer is good, given CONFIDENCE as the mean
   of CONFIDENCE_COUNT confidences.  */
static double
good_answer_probability (const escalation_t *escalation, double confidence,
                         double confidence_count)
{
  return 0.5
         * erfc ((50 - confidence) * sqrt (confidence_count / 2)
                 / escalation->options.confidence_stddev);
}

/* Return the points that are added to each confidence at the present
   pressure.  */
static double
pressure_points (const escalation_t *escalation)
{
  double excess = (escalation->pressure - ESCALATION_PRESSURE_LOW)
                  / (ESCALATION_PRESSURE_HIGH - ESCALATION_PRESSURE_LOW);

  return fmin (fmax (excess, 0), 1) * ESCALATION_PRESSURE_POINTS_MAX;
}

static double
request_value (const escalation_t *escalation,
               const escalation_request_t *request)
{
  double size
      = request->prompt_tokens + output_size_weight * request->output_tokens;

  if (size <= 0)
    size = tokens_per_unit;
  return escalation->options.value_per_1k_tokens
         * pow (escalation->options.priority_value_ratio, request->priority)
         * size / tokens_per_unit;
}

/* Return the additional cost of an answer of CANDIDATE.  When the candidate
   answers, the present answer is not generated to its end, which saves the
   cost of its output tokens.  */
static double
additional_cost (const escalation_request_t *request,
                 const escalation_candidate_t *candidate)
{
  double output_units = request->output_tokens / tokens_per_unit;
  double prompt_units
      = request->prompt_tokens / tokens_per_unit * prompt_cost_ratio;

  return candidate->cost * (output_units + prompt_units)
         - request->cost * output_units;
}

/* Store the expected time to the first event of CANDIDATE, and the part of
   that time for processing the prompt.  */
static void
predict_wait (const escalation_t *escalation,
              const escalation_request_t *request,
              const escalation_candidate_t *candidate, double *wait_ms,
              double *prompt_ms)
{
  double terms[CURVE_TERMS];
  double ratio = 1;

  if (!fit_model (escalation, candidate->model, terms))
    {
      /* Without observations the time is assumed to grow with the cost of the
         model, from the time of the model that answered.  */
      if (!fit_model (escalation, request->model, terms))
        terms[0] = terms[1] = terms[2] = 0;
      else if (request->cost > 0)
        ratio = candidate->cost / request->cost;
    }
  *prompt_ms
      = (evaluate_curve (terms, request->prompt_tokens) - terms[0]) * ratio;
  *wait_ms = terms[0] + *prompt_ms;
}

/* Return the confidence in the present answer, on the scale of its model.  The
   result is the mean of *CONFIDENCE_COUNT confidences.  */
static double
combined_confidence (const escalation_t *escalation,
                     const escalation_request_t *request,
                     double *confidence_count)
{
  *confidence_count = 1;
  if (!request->has_smallest_confidence)
    return request->confidence;
  *confidence_count = 2;
  return (request->confidence + request->smallest_confidence
          + escalation_confidence_lead (escalation, request->model))
         / 2;
}

double
escalation_gain (const escalation_t *escalation,
                 const escalation_request_t *request, size_t index)
{
  const escalation_options_t *options = &escalation->options;
  const escalation_candidate_t *candidate = &request->candidates[index];
  double value = request_value (escalation, request);
  double confidence_count;
  double confidence
      = combined_confidence (escalation, request, &confidence_count)
        + pressure_points (escalation);
  double lead = escalation_confidence_lead (escalation, candidate->model);
  if (request->has_smallest_confidence)
    lead -= escalation_confidence_lead (escalation, request->model);
  double present_probability
      = good_answer_probability (escalation, confidence, confidence_count);
  double candidate_probability
      = index + 1 == request->candidate_count
            ? 1
            : good_answer_probability (escalation, confidence + lead,
                                       confidence_count);
  double wait_ms;
  double prompt_ms;
  double delayed_value = 0;

  predict_wait (escalation, request, candidate, &wait_ms, &prompt_ms);
  double late_probability
      = request->objective_ms > 0
            ? exceedance_probability ((double)request->elapsed_ms + wait_ms,
                                      (double)request->objective_ms)
            : 0;
  if (request->max_pause_ms > 0)
    delayed_value
        = exceedance_probability (prompt_ms, (double)request->max_pause_ms
                                                 * ESCALATION_PAUSE_FACTOR)
          * candidate->running_requests * (1 - options->late_value_ratio)
          * (escalation->mean_request_value > 0
                 ? escalation->mean_request_value
                 : value);
  double candidate_quality
      = (candidate_probability
         + (1 - candidate_probability) * options->poor_value_ratio)
        * (1 - late_probability * (1 - options->late_value_ratio));
  double present_quality
      = present_probability
        + (1 - present_probability) * options->poor_value_ratio;
  return value
             * (candidate_quality - present_quality
                - ESCALATION_GAIN_SHARE_MIN)
         - additional_cost (request, candidate) - delayed_value;
}

size_t
escalation_choose (escalation_t *escalation,
                   const escalation_request_t *request)
{
  double value = request_value (escalation, request);
  size_t best = request->candidate_count;
  double best_gain = 0;

  escalation->mean_request_value
      = escalation->mean_request_value == 0
            ? value
            : escalation->mean_request_value * value_decay
                  + value * (1 - value_decay);
  for (size_t i = 0; i < request->candidate_count; i++)
    {
      double gain = escalation_gain (escalation, request, i);
      if (gain <= best_gain)
        continue;
      best = i;
      best_gain = gain;
    }
  return best;
}
