#include "policy/instance_speed.h"

#include <math.h>

enum
{
  PERCENT = 100
};

/* Bound of the weight of the own reports, in reports.  A new report then has a
   weight of 1 in 14.4, which is a half-life of ten reports.  */
static const double own_weight_max = 13.4;

/* Weight that old own reports keep, in reports: where reports are rare, one
   during a short slowdown must not replace all that is known.  */
static const double own_weight_min = 1;

/* Weight of a heard factor of age 0, in own reports.  */
static const double heard_weight = 0.75;

/* Return the part of a weight that is left after AGE_MS.  */
static double
decay (uint64_t age_ms)
{
  return exp2 (-(double)age_ms / INSTANCE_SPEED_HALF_LIFE_MS);
}

static uint64_t
elapsed_ms (uint64_t now_ms, uint64_t then_ms)
{
  return now_ms > then_ms ? now_ms - then_ms : 0;
}

static void
update_lasting (instance_speed_t *speed, uint64_t now_ms)
{
  double own_part
      = speed->own_weight * decay (elapsed_ms (now_ms, speed->own_ms));
  double heard_part
      = speed->heard_weight * decay (elapsed_ms (now_ms, speed->heard_ms));
  double sum = own_part + heard_part;

  if (sum > 0)
    speed->lasting = (speed->own * own_part + speed->heard * heard_part) / sum;
}

bool
instance_speed_report (instance_speed_t *speed, uint32_t percent,
                       uint64_t now_ms)
{
  double factor = (double)percent / PERCENT;

  if (percent < INSTANCE_SPEED_PERCENT_MIN
      || percent > INSTANCE_SPEED_PERCENT_MAX)
    return false;
  if (speed->own_weight == 0)
    {
      speed->own = factor;
      speed->own_weight = 1;
    }
  else
    {
      uint64_t age_ms = elapsed_ms (now_ms, speed->own_ms);
      double weight = age_ms < INSTANCE_SPEED_SPACING_MS
                          ? (double)age_ms / INSTANCE_SPEED_SPACING_MS
                          : 1;
      double old_weight = fmax (speed->own_weight * decay (age_ms),
                                fmin (speed->own_weight, own_weight_min));
      speed->own += (factor - speed->own) * weight / (old_weight + weight);
      speed->own_weight = fmin (old_weight + weight, own_weight_max);
    }
  speed->own_ms = now_ms;
  speed->momentary = factor;
  update_lasting (speed, now_ms);
  return true;
}

bool
instance_speed_hear (instance_speed_t *speed, double factor, uint64_t age_ms,
                     uint64_t now_ms)
{
  uint64_t heard_ms = elapsed_ms (now_ms, age_ms);

  if (!(factor >= (double)INSTANCE_SPEED_PERCENT_MIN / PERCENT)
      || !(factor <= (double)INSTANCE_SPEED_PERCENT_MAX / PERCENT)
      || (speed->heard_weight > 0 && heard_ms < speed->heard_ms))
    return false;
  speed->heard = factor;
  speed->heard_weight = heard_weight;
  speed->heard_ms = heard_ms;
  update_lasting (speed, now_ms);
  /* The weights of very old factors are 0.  */
  if (speed->lasting == 0)
    speed->lasting = factor;
  return true;
}

bool
instance_speed_is_known (const instance_speed_t *speed)
{
  return speed->lasting > 0;
}

double
instance_speed_lasting (const instance_speed_t *speed)
{
  return speed->lasting > 0 ? speed->lasting : 1;
}

double
instance_speed_now (const instance_speed_t *speed, uint64_t now_ms)
{
  double lasting = instance_speed_lasting (speed);

  if (speed->own_weight == 0)
    return lasting;
  return lasting
         + (speed->momentary - lasting)
               * exp2 (-(double)elapsed_ms (now_ms, speed->own_ms)
                       / INSTANCE_SPEED_MOMENT_HALF_LIFE_MS);
}

uint64_t
instance_speed_age_ms (const instance_speed_t *speed, uint64_t now_ms)
{
  uint64_t last_ms = 0;

  if (!instance_speed_is_known (speed))
    return UINT64_MAX;
  if (speed->own_weight > 0)
    last_ms = speed->own_ms;
  if (speed->heard_weight > 0 && speed->heard_ms > last_ms)
    last_ms = speed->heard_ms;
  return elapsed_ms (now_ms, last_ms);
}

double
instance_speed_own (const instance_speed_t *speed, uint64_t now_ms,
                    uint64_t *age_ms)
{
  *age_ms = elapsed_ms (now_ms, speed->own_ms);
  return speed->own_weight > 0 ? speed->own : 0;
}
