#include "policy/escalation.h"

#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

enum
{
  TERMS = 3 /* Of a curve: constant, linear, square.  */
};

/* One stray wait must not move the pressure by itself.  */
static const double part_max = 2;
/* Waits beyond so many times what the curve says, and this besides, count as
   that: a request that was stuck says nothing of reading.  */
static const double stray_times = 2;
static const double stray_ms = 200;
/* Of the means over requests and engines.  */
static const double keep_mean = 0.98;
/* Tokens that are counted as one in the curves.  */
static const double kilo = 1000;
/* A token that is read costs a quarter of one that is generated.  */
static const double read_cost_part = 0.25;
/* A token that is generated counts as ten that are read in a request's size.
 */
static const double generated_size = 10;

/* Sums for a square curve of waits over tokens.  */
typedef struct
{
  double count;
  double powers[2 * TERMS - 1]; /* Sums of x^0 to x^4.  */
  double waits[TERMS];          /* Sums of y x^0 to y x^2.  */
} curve_t;

/* Sums of the points by which a model's opinions exceed the smallest's.  */
typedef struct
{
  double count;
  double points;
} lead_t;

struct escalation
{
  escalation_options_t options;
  double pressure;
  curve_t curves[ESCALATION_MODELS_MAX];
  lead_t leads[ESCALATION_MODELS_MAX];
  double worth; /* Mean, of a request; 0: none came.  */
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

/* Solve the first COUNT equations of M X = V in place.  Return false when they
   say too little.  */
static bool
solve (double m[TERMS][TERMS], double v[TERMS], size_t count)
{
  static const double least = 1e-9;

  for (size_t i = 0; i < count; i++)
    {
      if (fabs (m[i][i]) < least)
        return false;
      for (size_t row = 0; row < count; row++)
        {
          double factor = row == i ? 0 : m[row][i] / m[i][i];
          for (size_t col = i; col < count; col++)
            m[row][col] -= factor * m[i][col];
          v[row] -= factor * v[i];
        }
    }
  for (size_t i = 0; i < count; i++)
    v[i] /= m[i][i];
  return true;
}

/* Fit the first COUNT terms of CURVE.  Return false when the sums say too
   little, or that longer prompts take less.  */
static bool
fit (const curve_t *curve, size_t count, double terms[TERMS])
{
  double m[TERMS][TERMS];

  for (size_t row = 0; row < TERMS; row++)
    {
      terms[row] = row < count ? curve->waits[row] : 0;
      for (size_t col = 0; col < TERMS; col++)
        m[row][col] = curve->powers[row + col];
    }
  if (!solve (m, terms, count))
    return false;
  for (size_t i = 0; i < count; i++)
    if (terms[i] < 0)
      return false;
  return true;
}

/* The terms of CURVE: as many as the observations bear.  */
static void
curve_terms (const curve_t *curve, double terms[TERMS])
{
  for (size_t count = TERMS; count > 1; count--)
    if (fit (curve, count, terms))
      return;
  terms[0] = curve->waits[0] / curve->count;
  terms[1] = 0;
  terms[2] = 0;
}

/* Fill TERMS of MODEL.  Return false when nothing is known of it.  */
static bool
model_terms (const escalation_t *escalation, size_t model, double terms[TERMS])
{
  if (model >= ESCALATION_MODELS_MAX
      || escalation->curves[model].count < ESCALATION_OBSERVATIONS_MIN)
    return false;
  curve_terms (&escalation->curves[model], terms);
  return true;
}

static double
at (const double terms[TERMS], uint32_t read)
{
  double x = read / kilo;

  return terms[0] + terms[1] * x + terms[2] * x * x;
}

double
escalation_predicted_wait_ms (const escalation_t *escalation, size_t model,
                              uint32_t read)
{
  double terms[TERMS];

  return model_terms (escalation, model, terms) ? at (terms, read) : 0;
}

static void
learn_curve (curve_t *curve, double x, double wait_ms)
{
  double power = 1;

  curve->count = curve->count * ESCALATION_CURVE_DECAY + 1;
  for (size_t i = 0; i < 2 * TERMS - 1; i++)
    {
      curve->powers[i] = curve->powers[i] * ESCALATION_CURVE_DECAY + power;
      if (i < TERMS)
        curve->waits[i]
            = curve->waits[i] * ESCALATION_CURVE_DECAY + wait_ms * power;
      power *= x;
    }
}

void
escalation_record_wait (escalation_t *escalation, size_t model, uint32_t read,
                        uint64_t wait_ms, uint64_t objective_ms)
{
  double terms[TERMS];
  double wait = (double)wait_ms;

  if (objective_ms > 0)
    escalation->pressure = escalation->pressure * ESCALATION_PRESSURE_DECAY
                           + fmin (wait / (double)objective_ms, part_max)
                                 * (1 - ESCALATION_PRESSURE_DECAY);
  if (model >= ESCALATION_MODELS_MAX)
    return;
  if (model_terms (escalation, model, terms))
    wait = fmin (wait, at (terms, read) * stray_times + stray_ms);
  learn_curve (&escalation->curves[model], read / kilo, wait);
}

double
escalation_pressure (const escalation_t *escalation)
{
  return escalation->pressure;
}

/* 0 well below LIMIT, 1 well above it.  */
static double
beyond (double value, double limit)
{
  return 1
         / (1
            + exp ((limit - value)
                   / (limit * ESCALATION_LATE_TRANSITION_WIDTH)));
}

void
escalation_record_confidences (escalation_t *escalation, size_t model,
                               uint32_t first, uint32_t opinion)
{
  /* At the ends of their scale opinions say less than they mean.  */
  if (model >= ESCALATION_MODELS_MAX || first == 0 || first >= 100
      || opinion == 0 || opinion >= 100)
    return;
  lead_t *lead = &escalation->leads[model];
  lead->count = lead->count * ESCALATION_CURVE_DECAY + 1;
  lead->points = lead->points * ESCALATION_CURVE_DECAY + opinion - first;
}

double
escalation_confidence_lead (const escalation_t *escalation, size_t model)
{
  if (model >= ESCALATION_MODELS_MAX)
    return 0;
  const lead_t *lead = &escalation->leads[model];
  return (lead->points
          + ESCALATION_PRIOR_LEAD_POINTS * ESCALATION_PRIOR_LEAD_COUNT)
         / (lead->count + ESCALATION_PRIOR_LEAD_COUNT);
}

/* The chance that an answer is good of which a model has OPINION, a mean of
   COUNT opinions.  */
static double
good_part (const escalation_t *escalation, double opinion, double count)
{
  return 0.5
         * erfc ((50 - opinion) * sqrt (count / 2)
                 / escalation->options.opinion_width);
}

/* Points that are added to an opinion at the present pressure.  */
static double
pressed_points (const escalation_t *escalation)
{
  double pressed = (escalation->pressure - ESCALATION_PRESSURE_LOW)
                   / (ESCALATION_PRESSURE_HIGH - ESCALATION_PRESSURE_LOW);

  return fmin (fmax (pressed, 0), 1) * ESCALATION_PRESSURE_POINTS_MAX;
}

static double
worth_of (const escalation_t *escalation, const escalation_request_t *request)
{
  double size = request->read + generated_size * request->generated;

  if (size <= 0)
    size = kilo;
  return escalation->options.worth
         * pow (escalation->options.rank_part, request->rank) * size / kilo;
}

/* What a second answer of CHOICE costs in the use of models: the first is not
   generated to its end.  */
static double
cost_of (const escalation_request_t *request,
         const escalation_candidate_t *choice)
{
  double generated = request->generated / kilo;
  double read = request->read / kilo * read_cost_part;

  return choice->cost * (generated + read) - request->cost * generated;
}

/* Fill what CHOICE would take until its first event, and how much of that is
   for reading.  */
static void
foresee (const escalation_t *escalation, const escalation_request_t *request,
         const escalation_candidate_t *choice, double *wait_ms,
         double *reading_ms)
{
  double terms[TERMS];
  double ratio = 1;

  if (!model_terms (escalation, choice->model, terms))
    {
      /* Not seen yet: it takes longer than the small one as it costs more. */
      if (!model_terms (escalation, request->model, terms))
        terms[0] = terms[1] = terms[2] = 0;
      else if (request->cost > 0)
        ratio = choice->cost / request->cost;
    }
  *reading_ms = (at (terms, request->read) - terms[0]) * ratio;
  *wait_ms = terms[0] + *reading_ms;
}

/* The opinion of the answer, in points of its model; COUNT gets of how many
   opinions that is the mean.  */
static double
opinion_of (const escalation_t *escalation,
            const escalation_request_t *request, double *count)
{
  *count = 1;
  if (!request->has_first)
    return request->opinion;
  *count = 2;
  return (request->opinion + request->first
          + escalation_confidence_lead (escalation, request->model))
         / 2;
}

double
escalation_gain (const escalation_t *escalation,
                 const escalation_request_t *request, size_t index)
{
  const escalation_options_t *options = &escalation->options;
  const escalation_candidate_t *choice = &request->choices[index];
  double worth = worth_of (escalation, request);
  double count;
  double opinion
      = opinion_of (escalation, request, &count) + pressed_points (escalation);
  double lead = escalation_confidence_lead (escalation, choice->model);
  if (request->has_first)
    lead -= escalation_confidence_lead (escalation, request->model);
  double kept = good_part (escalation, opinion, count);
  double good = index + 1 == request->choice_count
                    ? 1
                    : good_part (escalation, opinion + lead, count);
  double wait_ms;
  double reading_ms;
  double harm = 0;

  foresee (escalation, request, choice, &wait_ms, &reading_ms);
  double late = request->objective_ms > 0
                    ? beyond ((double)request->elapsed_ms + wait_ms,
                              (double)request->objective_ms)
                    : 0;
  if (request->pause_ms > 0)
    harm = beyond (reading_ms,
                   (double)request->pause_ms * ESCALATION_PAUSE_FACTOR)
           * choice->beside * (1 - options->late_part)
           * (escalation->worth > 0 ? escalation->worth : worth);
  double larger_part = (good + (1 - good) * options->poor_part)
                       * (1 - late * (1 - options->late_part));
  double kept_part = kept + (1 - kept) * options->poor_part;
  return worth * (larger_part - kept_part - ESCALATION_GAIN_SHARE_MIN)
         - cost_of (request, choice) - harm;
}

size_t
escalation_choose (escalation_t *escalation,
                   const escalation_request_t *request)
{
  double worth = worth_of (escalation, request);
  size_t best = request->choice_count;
  double best_gain = 0;

  escalation->worth = escalation->worth == 0 ? worth
                                             : escalation->worth * keep_mean
                                                   + worth * (1 - keep_mean);
  for (size_t i = 0; i < request->choice_count; i++)
    {
      double gain = escalation_gain (escalation, request, i);
      if (gain <= best_gain)
        continue;
      best = i;
      best_gain = gain;
    }
  return best;
}
