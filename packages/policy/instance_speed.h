/* How long work takes at one instance against the usual time, from its load
   reports and from what other gateways report of it.

   A factor of 1 means as usual, 2 twice as long.  The lasting factor is a
   weighted mean of the reported ones.  The momentary factor is the last one
   reported; it says little about an answer that takes seconds, because other
   workloads on the machine come and go within some hundred ms.

   - Reports that follow each other within INSTANCE_SPEED_SPACING_MS are of
     one moment: together they count as one.
   - A mean of other gateways counts less than one fresh report, and it is
     kept apart from the own reports, so that gateways do not hear their own
     factors again as those of others.
   - Own and heard factors lose half of their weight in
     INSTANCE_SPEED_HALF_LIFE_MS.  The last known lasting factor stays without
     reports.  */

#ifndef POLICY_INSTANCE_SPEED_H
#define POLICY_INSTANCE_SPEED_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Range of a reported factor in percent.  */
  INSTANCE_SPEED_PERCENT_MIN = 1,
  INSTANCE_SPEED_PERCENT_MAX = 10000,
  /* Time for which a machine is about equally fast.  */
  INSTANCE_SPEED_SPACING_MS = 300,
  INSTANCE_SPEED_HALF_LIFE_MS = 4000,
  /* Time in which the momentary factor goes half way to the lasting one.  */
  INSTANCE_SPEED_MOMENT_HALF_LIFE_MS = 150
};

/* State of one instance.  Nothing is known if all is 0.  */
typedef struct
{
  double lasting; /* 0 if unknown.  */
  double own;     /* Mean of the own reports.  */
  double own_weight;
  uint64_t own_ms; /* Time of the last own report; 0 for none.  */
  double heard;
  double heard_weight; /* At HEARD_MS.  */
  uint64_t heard_ms;   /* Time of the heard factor: when it was heard, less
                          its age.  */
  double momentary;
} instance_speed_t;

/* Count a report of PERCENT.  Return false, without an effect, if it is out of
   range.  */
bool instance_speed_report (instance_speed_t *speed, uint32_t percent,
                            uint64_t now_ms);
/* Count a factor that is AGE_MS old from another gateway.  Return false,
   without an effect, if it is out of the range of reports or not a number, or
   older than the one heard last.  */
bool instance_speed_hear (instance_speed_t *speed, double factor,
                          uint64_t age_ms, uint64_t now_ms);
bool instance_speed_is_known (const instance_speed_t *speed);
/* Return the lasting factor; 1 if unknown.  */
double instance_speed_lasting (const instance_speed_t *speed);
/* Return the momentary factor, which approaches the lasting one as it becomes
   older; 1 if unknown.  */
double instance_speed_now (const instance_speed_t *speed, uint64_t now_ms);
/* Return the time in ms since the last own report or that of a heard factor;
   UINT64_MAX if unknown.  */
uint64_t instance_speed_age_ms (const instance_speed_t *speed,
                                uint64_t now_ms);
/* Return the mean of the own reports, and set *AGE_MS to the age of the last
   one; return 0 if there is none.  */
double instance_speed_own (const instance_speed_t *speed, uint64_t now_ms,
                           uint64_t *age_ms);

#endif
