/* Whether the answer of a small model is dropped for a larger one's.

   Answers: engines that are pressed (a burst, a part of them lost) while every
   doubtful answer asks for ten times its work again.  Without this the second
   answers are what fills the engines, and first events come late for all; with
   it a pressed service keeps answers that it would drop when calm.

   The bar for a small model's confidence is DOUBT_BAR while first events come
   within DOUBT_CALM of their objectives on average, and sinks in a straight
   line to DOUBT_BAR_PRESSED at DOUBT_PRESSED.  A calm engine answers within a
   tenth; at half of the objectives on average the slowest tenth of first
   events is late already.  Mean worth of six days on two fleets of 40 engines,
   with calm and pressed at 0.35 and 0.9: 0.640 and 0.636; 0.2 and 0.55: 0.655
   and 0.653; 0.12 and 0.4: 0.658 and 0.653.  The average forgets with
   DOUBT_KEEP an observation, a second's worth of an entry's requests.  */

#ifndef GATEWAY_DOUBT_H
#define GATEWAY_DOUBT_H

#include <stdint.h>

#define DOUBT_CALM 0.16
#define DOUBT_PRESSED 0.48
#define DOUBT_KEEP 0.92

enum
{
  /* Worth of a calm day by bar: 40 0.825, 50 0.844, 60 0.852, 70 0.844, 80
     0.836, 90 0.819.  */
  DOUBT_BAR = 58,
  /* An answer under it is wrong nearly always.  */
  DOUBT_BAR_PRESSED = 15
};

typedef struct
{
  double pressure; /* Mean part of its objective that a first event took.  */
} doubt_t;

/* A first event came after WAIT_MS, or had not come after it; it was due after
   OBJECTIVE_MS.  */
void doubt_observe (doubt_t *doubt, uint64_t wait_ms, uint64_t objective_ms);
/* Confidence from which an answer is kept now.  */
uint32_t doubt_bar (const doubt_t *doubt);

#endif
