/* Estimate of the times of the first and the last event of a request at an
   instance, for one service.

   Load pattern: a stream runs at an instance that has turned slow, or a choice
   has to be made between instances of different speed and load.  The time
   limit of a caller can only be compared with an estimate in ms.

   - All times are learned divided by the time factor of the instance (1: as
     usual), so that samples of all instances of a service are comparable.
   - The time between two events rises linearly with the requests at the
     instance, the time to the first event with the prompt and the requests.
     Each model may differ by a constant.
   - Without samples the prior holds: FINISH_TIME_GAP_MS plus
     FINISH_TIME_GAP_PER_REQUEST_MS for each request, and
     FINISH_TIME_PROMPT_TOKENS_PER_MS.  A few samples move the estimate only in
     part, and an absurd one only by its bounded value.
   - Samples lose half their weight in FINISH_TIME_HALF_LIFE_MS.  */

#ifndef POLICY_FINISH_TIME_H
#define POLICY_FINISH_TIME_H

#include <stddef.h>
#include <stdint.h>

/* Priors for an instance of usual speed.  */
#define FINISH_TIME_GAP_MS 27.0
#define FINISH_TIME_GAP_PER_REQUEST_MS 2.6
#define FINISH_TIME_PROMPT_TOKENS_PER_MS 92.1
/* Tokens of an event before a response has shown their number.  */
#define FINISH_TIME_TOKENS_PER_EVENT 9.0

enum
{
  FINISH_TIME_HALF_LIFE_MS = 20000
};

typedef struct finish_time finish_time_t;

/* The work that is left of a request.  */
typedef struct
{
  uint32_t prompt_tokens; /* Prompt tokens that must be read; 0: none.  */
  double events_left;     /* Events until the end, at least 1.  */
  size_t model;           /* Index of the model in the service's list.  */
} finish_work_t;

/* An instance.  */
typedef struct
{
  double time_factor; /* Time that work takes there; 1: as usual.  */
  double requests;    /* Requests there, this one included.  */
} finish_place_t;

/* Times in ms.  */
typedef struct
{
  double first_event_ms; /* From the send to the first event.  */
  double gap_ms;         /* Between two events.  */
  double last_event_ms;  /* From the send to the last event.  */
} finish_estimate_t;

finish_time_t *finish_time_create (void);
void finish_time_destroy (finish_time_t *finish_time);

/* Record that the first event of a request with PROMPT_TOKENS for MODEL took
   MS at PLACE.  Values that are not finite or not positive are ignored, as
   below.  */
void finish_time_record_first_event (finish_time_t *finish_time,
                                     uint32_t prompt_tokens, size_t model,
                                     const finish_place_t *place, double ms,
                                     uint64_t now_ms);
/* Record a mean time of GAP_MS between the events of a stream of MODEL at
   PLACE.  */
void finish_time_record_gap (finish_time_t *finish_time, size_t model,
                             const finish_place_t *place, double gap_ms,
                             uint64_t now_ms);
/* Record that a complete response for which HINT_TOKENS were announced had
   EVENTS.  Hints are right at the median only, and the tokens of an event are
   learned as a median.  */
void finish_time_record_length (finish_time_t *finish_time,
                                uint32_t hint_tokens, uint64_t events);
/* Return the number of events of a response of TOKENS.  */
double finish_time_events (const finish_time_t *finish_time, uint32_t tokens);
/* Return the estimate for WORK at PLACE, from a send that is made now.  All
   times are above 0.  */
finish_estimate_t finish_time_estimate (const finish_time_t *finish_time,
                                        const finish_work_t *work,
                                        const finish_place_t *place);

#endif
