#include "policy/outlier.h"

#include "base/mem.h"

#include <stdlib.h>

/* Weight of one response in the moving averages, which thereby cover about the
   last twenty responses.  */
#define MOVING_AVERAGE_WEIGHT 0.1

struct outlier_member
{
  list_t list_node;
  list_t change_node; /* Node in the list OUTLIER->changed_members, until
                         outlier_next_change has returned the new state.  */
  void *owner;
  outlier_state_t state;
  uint32_t sample_count;
  uint32_t consecutive_errors;
  uint32_t trial_successes;
  /* Number of ejections since the length of an ejection was reset.  */
  uint32_t ejections_since_reset;
  double error_rate;      /* Moving average of the share of failed responses, 0
                             to 1.  */
  double unit_latency_us; /* Moving average of the latency per unit of cost,
                             in us; 0 if unknown.  */
  uint64_t ejected_until_ms; /* End of the ejection.  */
  /* Time since which the member has not been ejected.  */
  uint64_t active_since_ms;
};

struct outlier
{
  clock_iface_t *clock;
  double max_ejected_share;
  list_t members;
  list_t changed_members;
  uint32_t member_count;
  uint32_t ejected_count;
  uint64_t evaluated_ms;
  bool evaluate_now; /* Whether to evaluate without waiting for the interval,
                        because a member may be failing fast.  */
  double *median_values; /* Buffer for the values of which a median is taken,
                            with room for one value of each member.  */
  uint32_t median_capacity;
};

outlier_t *
outlier_create (double max_ejected_share, clock_iface_t *clock)
{
  outlier_t *outlier = mem_zalloc (sizeof *outlier);

  outlier->clock = clock;
  outlier->max_ejected_share
      = max_ejected_share > 0 ? max_ejected_share : OUTLIER_EJECTED_SHARE_MAX;
  list_init (&outlier->members);
  list_init (&outlier->changed_members);
  return outlier;
}

void
outlier_destroy (outlier_t *outlier)
{
  if (outlier == NULL)
    return;
  LIST_EACH (at, &outlier->members)
    free (CONTAINER_OF (at, outlier_member_t, list_node));
  free (outlier->median_values);
  free (outlier);
}

outlier_member_t *
outlier_add_member (outlier_t *outlier, void *owner)
{
  outlier_member_t *member = mem_zalloc (sizeof *member);

  member->owner = owner;
  member->active_since_ms = clock_ms (outlier->clock);
  list_init (&member->change_node);
  list_append (&outlier->members, &member->list_node);
  outlier->member_count++;
  if (outlier->member_count > outlier->median_capacity)
    {
      outlier->median_capacity = outlier->member_count * 2;
      outlier->median_values = mem_realloc (
          outlier->median_values, outlier->median_capacity * sizeof (double));
    }
  return member;
}

void
outlier_remove_member (outlier_t *outlier, outlier_member_t *member)
{
  if (member->state == OUTLIER_EJECTED)
    outlier->ejected_count--;
  list_remove (&member->list_node);
  list_remove (&member->change_node);
  outlier->member_count--;
  free (member);
}

static void
set_state (outlier_t *outlier, outlier_member_t *member, outlier_state_t state)
{
  if (member->state == OUTLIER_EJECTED)
    outlier->ejected_count--;
  if (state == OUTLIER_EJECTED)
    outlier->ejected_count++;
  member->state = state;
  list_remove (&member->change_node);
  list_append (&outlier->changed_members, &member->change_node);
}

/* Return how many members may be ejected at the same time.  */
static uint32_t
max_ejected_count (const outlier_t *outlier)
{
  uint32_t maximum
      = (uint32_t)(outlier->member_count * outlier->max_ejected_share);

  return maximum == 0 && outlier->member_count > 1 ? 1 : maximum;
}

static void
eject (outlier_t *outlier, outlier_member_t *member)
{
  uint64_t now = clock_ms (outlier->clock);
  uint64_t length_ms = OUTLIER_EJECTION_FIRST_MS;

  /* With most of a pool ejected, the rest would be overloaded, become slow and
     be ejected as well.  */
  if (outlier->ejected_count >= max_ejected_count (outlier))
    return;
  if (member->state == OUTLIER_ACTIVE
      && now - member->active_since_ms >= OUTLIER_EJECTION_RESET_MS)
    member->ejections_since_reset = 0;
  for (uint32_t i = 0; i < member->ejections_since_reset
                       && length_ms < OUTLIER_EJECTION_MAX_MS;
       i++)
    length_ms *= 2;
  if (length_ms > OUTLIER_EJECTION_MAX_MS)
    length_ms = OUTLIER_EJECTION_MAX_MS;
  member->ejections_since_reset++;
  member->ejected_until_ms = now + length_ms;
  set_state (outlier, member, OUTLIER_EJECTED);
}

void
outlier_record (outlier_t *outlier, outlier_member_t *member, bool ok,
                uint64_t latency_us, uint32_t units)
{
  member->sample_count++;
  member->error_rate
      += MOVING_AVERAGE_WEIGHT * ((ok ? 0 : 1) - member->error_rate);
  member->consecutive_errors = ok ? 0 : member->consecutive_errors + 1;
  if (ok && latency_us > 0)
    {
      double unit_latency_us = (double)latency_us / (units > 0 ? units : 1);

      /* The latency of failures is not counted: a member that fails fast would
         have the lowest latency of all.  */
      if (member->unit_latency_us == 0)
        member->unit_latency_us = unit_latency_us;
      member->unit_latency_us += MOVING_AVERAGE_WEIGHT
                                 * (unit_latency_us - member->unit_latency_us);
    }
  /* An upstream that fails fast always has the fewest requests in flight, and
     could get most of the traffic until the next evaluation is due.  */
  if (member->consecutive_errors == OUTLIER_CONSECUTIVE_ERRORS)
    outlier->evaluate_now = true;
  if (member->state == OUTLIER_ON_TRIAL && !ok)
    eject (outlier, member);
  else if (member->state == OUTLIER_ON_TRIAL
           && ++member->trial_successes >= OUTLIER_TRIAL_SUCCESSES)
    {
      member->active_since_ms = clock_ms (outlier->clock);
      set_state (outlier, member, OUTLIER_ACTIVE);
    }
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Return the median of the first COUNT elements of OUTLIER->median_values; 0
   if COUNT is 0.  With an even COUNT this is the lower of the two middle
   values, so that both members of a pool of two are compared with the better
   one.  */
static double
median (outlier_t *outlier, uint32_t count)
{
  if (count == 0)
    return 0;
  qsort (outlier->median_values, count, sizeof (double), compare_doubles);
  return outlier->median_values[(count - 1) / 2];
}

static bool
has_enough_samples (const outlier_member_t *member)
{
  return member->state == OUTLIER_ACTIVE
         && member->sample_count >= OUTLIER_SAMPLES_MIN;
}

/* Return the median error rate of the members that are not ejected and not on
   trial.  One response of a member is enough for this: a failure common to all
   members must be detected before the first of them has
   OUTLIER_CONSECUTIVE_ERRORS consecutive failures.  */
static double
median_error_rate (outlier_t *outlier)
{
  uint32_t count = 0;

  LIST_EACH (at, &outlier->members)
    {
      outlier_member_t *member
          = CONTAINER_OF (at, outlier_member_t, list_node);

      if (member->state == OUTLIER_ACTIVE && member->sample_count > 0)
        outlier->median_values[count++] = member->error_rate;
    }
  return median (outlier, count);
}

static double
median_unit_latency_us (outlier_t *outlier)
{
  uint32_t count = 0;

  LIST_EACH (at, &outlier->members)
    {
      outlier_member_t *member
          = CONTAINER_OF (at, outlier_member_t, list_node);

      if (has_enough_samples (member) && member->unit_latency_us > 0)
        outlier->median_values[count++] = member->unit_latency_us;
    }
  return median (outlier, count);
}

/* Put the members whose ejection has ended on trial, with their statistics
   reset: figures from before the ejection do not describe the current
   state.  */
static void
end_ejections (outlier_t *outlier, uint64_t now)
{
  LIST_EACH (at, &outlier->members)
    {
      outlier_member_t *member
          = CONTAINER_OF (at, outlier_member_t, list_node);

      if (member->state != OUTLIER_EJECTED || now < member->ejected_until_ms)
        continue;
      member->sample_count = 0;
      member->consecutive_errors = 0;
      member->trial_successes = 0;
      member->error_rate = 0;
      member->unit_latency_us = 0;
      set_state (outlier, member, OUTLIER_ON_TRIAL);
    }
}

static void
evaluate (outlier_t *outlier)
{
  double median_rate = median_error_rate (outlier);
  double median_latency_us = median_unit_latency_us (outlier);

  LIST_EACH (at, &outlier->members)
    {
      outlier_member_t *member
          = CONTAINER_OF (at, outlier_member_t, list_node);

      if (member->state != OUTLIER_ACTIVE)
        continue;
      if ((member->consecutive_errors >= OUTLIER_CONSECUTIVE_ERRORS
           || has_enough_samples (member))
          && member->error_rate > median_rate + OUTLIER_ERROR_RATE_MARGIN)
        eject (outlier, member);
      else if (!has_enough_samples (member))
        continue;
      else if (median_latency_us > 0
               && member->unit_latency_us
                      > median_latency_us * OUTLIER_LATENCY_FACTOR)
        eject (outlier, member);
    }
}

void *
outlier_next_change (outlier_t *outlier, outlier_state_t *state)
{
  uint64_t now = clock_ms (outlier->clock);
  outlier_member_t *member;

  if (now >= outlier->evaluated_ms + OUTLIER_EVALUATION_INTERVAL_MS
      || outlier->evaluate_now)
    {
      outlier->evaluate_now = false;
      outlier->evaluated_ms = now;
      end_ejections (outlier, now);
      evaluate (outlier);
    }
  if (list_is_empty (&outlier->changed_members))
    return NULL;
  member = CONTAINER_OF (outlier->changed_members.next, outlier_member_t,
                         change_node);
  list_remove (&member->change_node);
  *state = member->state;
  return member->owner;
}

outlier_state_t
outlier_state (const outlier_member_t *member)
{
  return member->state;
}

uint32_t
outlier_ejected_count (const outlier_t *outlier)
{
  return outlier->ejected_count;
}
