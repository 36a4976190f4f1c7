/* Whether the answer of a small model is dropped for a larger one's.

   Answers: requests of unlike size and urgency, each answered first by a small
   model that says how sure it is, at engines that carry much or little.  With
   one bar for all, a prompt of 30,000 tokens is read again by a model that
   needs a second and a half for it: its caller is late, and so are the streams
   beside it, whose events wait for its chunks; a label that is worth little is
   paid for as dearly as a draft.

   For each such answer what it is worth to go on is weighed against what it
   costs, in the unit of the models' costs:

     worth * (larger's part - kept part) - cost of the larger answer
       - what it does to the streams beside it

   - The worth of a good answer is the operators' word (escalation_options_t):
     so much for 1,000 tokens of its size at rank 0, and a part of that for
   each rank further.
   - The kept part is the chance that the answer is good: the opinion is taken
     for a noisy one, with 50 for `as likely as not'.  A poor answer is worth
     POOR_PART.  The largest model's is good, and worth LATE_PART when late.
   - A model between the two answers well what is a little too hard for the
     small one, at half of the cost: its opinions lead those of the small one
     by so many points, which is learnt from requests that both answered, and
     the chance that it answers well follows from the small one's opinion and
     that lead.  When it has answered, both opinions count.
   - Whether it comes late is told from the time that the larger model has
     taken of late for its first event, as a curve over the tokens of the
     prompt.
   - An engine reads a prompt in chunks between the tokens of its other
     requests.  One that takes longer than the longest pause that is on time
     makes all of them late, so what it does to them grows with their number.

   Under pressure, when first events take a greater part of their objectives,
   ever worse opinions are kept: without this the second answers are what fills
   the engines.  */

#ifndef POLICY_ESCALATION_H
#define POLICY_ESCALATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Mean parts of their objectives that first events take: up to the first all
   is calm, from the second on the engines are pressed.  A calm engine answers
   within a tenth; at half of the objectives on average the slowest tenth of
   first events is late already.  */
#define ESCALATION_PRESSURE_LOW 0.16
#define ESCALATION_PRESSURE_HIGH 0.48
/* Points that are added to an opinion at pressed engines: what is left to drop
   is wrong nearly always.  */
#define ESCALATION_PRESSURE_POINTS_MAX 43
/* What an observation leaves of the pressure: a second's worth of an entry's
   requests.  */
#define ESCALATION_PRESSURE_DECAY 0.92
/* The lead of a model before any was seen, as so many observations.  */
#define ESCALATION_PRIOR_LEAD_POINTS 10
#define ESCALATION_PRIOR_LEAD_COUNT 4
/* What an observation leaves of the curves: some 20 s at ten a second.  */
#define ESCALATION_CURVE_DECAY 0.995
/* Width of the step from on time to late, in what is allowed: that much do
   times scatter about their curve.  */
#define ESCALATION_LATE_TRANSITION_WIDTH 0.15
/* Pauses that are on time for which a prompt must be read to make late what
   runs beside it: a shorter read falls into two gaps between events.  */
#define ESCALATION_PAUSE_FACTOR 1.25

/* Part of its worth by which a request must gain: a drop that gains less than
   an opinion can tell is work for the engines all the same.  */
#define ESCALATION_GAIN_SHARE_MIN 0.02

enum
{
  ESCALATION_MODELS_MAX = 8,
  /* Observations before a curve is believed.  */
  ESCALATION_OBSERVATIONS_MIN = 10
};

typedef struct escalation escalation_t;

/* Words of the operators; there is nothing to learn them from.  */
typedef struct
{
  double worth;         /* Of a good answer of rank 0, for 1,000 of its size:
                           tokens read and ten times those generated; in the
                           unit of the models' costs.  */
  double rank_part;     /* Of it for each rank further.  */
  double late_part;     /* Of its worth that a late answer has.  */
  double poor_part;     /* ... that a poor one has.  */
  double opinion_width; /* Points about 50 in which an opinion may be wrong:
                           the standard deviation of its noise.  */
} escalation_options_t;

/* A model that may answer next.  */
typedef struct
{
  size_t model;  /* Index, smallest first.  */
  double cost;   /* For 1,000 tokens generated or 4,000 read.  */
  double beside; /* Requests at the engine that would read the prompt.  */
} escalation_candidate_t;

/* One request and its answer so far.  */
typedef struct
{
  size_t model;        /* Index of the one that answered.  */
  double cost;         /* Of MODEL.  */
  uint32_t read;       /* Tokens of the prompt.  */
  uint32_t generated;  /* Tokens to come, as far as known.  */
  uint32_t rank;       /* Of the kind of request; 0 is the highest.  */
  uint32_t opinion;    /* Of MODEL on its answer, 0 to 100.  */
  bool has_first;      /* The smallest model answered before MODEL ...  */
  uint32_t first;      /* ... and had this opinion of its answer.  */
  uint64_t elapsed_ms; /* Since the caller asked.  */
  uint64_t objective_ms;
  uint64_t pause_ms; /* Longest between events that is on time; 0: any.  */
  const escalation_candidate_t
      *choices; /* The larger models, smallest first.  */
  size_t choice_count;
} escalation_request_t;

escalation_t *escalation_create (const escalation_options_t *options);
void escalation_destroy (escalation_t *escalation);

/* The first event of MODEL for a prompt of READ tokens came after WAIT_MS; it
   was due after OBJECTIVE_MS.  */
void escalation_record_wait (escalation_t *escalation, size_t model,
                             uint32_t read, uint64_t wait_ms,
                             uint64_t objective_ms);
/* MODEL had OPINION of its answer to a request of which the smallest model had
   opinion FIRST.  */
void escalation_record_confidences (escalation_t *escalation, size_t model,
                                    uint32_t first, uint32_t opinion);
/* Points by which the opinions of MODEL, not the smallest, exceed those of the
   smallest.  */
double escalation_confidence_lead (const escalation_t *escalation,
                                   size_t model);
/* What it is worth to drop the answer for that of choice INDEX.  */
double escalation_gain (const escalation_t *escalation,
                        const escalation_request_t *request, size_t index);
/* The choice that gains most, or the count of choices when the answer is kept.
   The request is taken into account for those that come beside others.  */
size_t escalation_choose (escalation_t *escalation,
                          const escalation_request_t *request);
/* Mean part of its objective that a first event takes now.  */
double escalation_pressure (const escalation_t *escalation);
/* Time to the first event of MODEL for a prompt of READ tokens; 0: not known.
 */
double escalation_predicted_wait_ms (const escalation_t *escalation,
                                     size_t model, uint32_t read);

#endif
