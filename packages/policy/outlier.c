#include "policy/outlier.h"

#include "base/mem.h"

#include <stdlib.h>

/* Weight of one answer in the running means: they follow the last twenty or
   so.  */
#define OUTLIER_GAIN 0.1

struct outlier_member
{
  list_t link;
  list_t changed; /* In OUTLIER->changed while not yet told.  */
  void *owner;
  outlier_state_t state;
  uint32_t samples;
  uint32_t error_run;
  uint32_t trial_ok;
  uint32_t times; /* Ejections that count for the next one's length.  */
  double errors;  /* Running share of failures.  */
  double unit_us; /* Running latency of one unit of cost; 0 when unknown.  */
  uint64_t until_ms; /* End of the ejection.  */
  uint64_t since_ms; /* When it came back in.  */
};

struct outlier
{
  clock_iface_t *clock;
  double share;
  list_t members;
  list_t changed;
  uint32_t count;
  uint32_t ejected;
  uint64_t judged_ms;
  bool judge_now;  /* A member may be failing fast: do not wait.  */
  double *scratch; /* Room for one figure of each member.  */
  uint32_t scratch_cap;
};

outlier_t *
outlier_create (double share, clock_iface_t *clock)
{
  outlier_t *outlier = mem_zalloc (sizeof *outlier);

  outlier->clock = clock;
  outlier->share = share > 0 ? share : OUTLIER_EJECTED_SHARE_MAX;
  list_init (&outlier->members);
  list_init (&outlier->changed);
  return outlier;
}

void
outlier_destroy (outlier_t *outlier)
{
  if (outlier == NULL)
    return;
  LIST_EACH (at, &outlier->members)
    free (CONTAINER_OF (at, outlier_member_t, link));
  free (outlier->scratch);
  free (outlier);
}

outlier_member_t *
outlier_add_member (outlier_t *outlier, void *owner)
{
  outlier_member_t *member = mem_zalloc (sizeof *member);

  member->owner = owner;
  member->since_ms = clock_ms (outlier->clock);
  list_init (&member->changed);
  list_append (&outlier->members, &member->link);
  outlier->count++;
  if (outlier->count > outlier->scratch_cap)
    {
      outlier->scratch_cap = outlier->count * 2;
      outlier->scratch = mem_realloc (outlier->scratch,
                                      outlier->scratch_cap * sizeof (double));
    }
  return member;
}

void
outlier_remove_member (outlier_t *outlier, outlier_member_t *member)
{
  if (member->state == OUTLIER_EJECTED)
    outlier->ejected--;
  list_remove (&member->link);
  list_remove (&member->changed);
  outlier->count--;
  free (member);
}

static void
set_state (outlier_t *outlier, outlier_member_t *member, outlier_state_t state)
{
  if (member->state == OUTLIER_EJECTED)
    outlier->ejected--;
  if (state == OUTLIER_EJECTED)
    outlier->ejected++;
  member->state = state;
  list_remove (&member->changed);
  list_append (&outlier->changed, &member->changed);
}

/* Return how many members may be out at once.  */
static uint32_t
most_out (const outlier_t *outlier)
{
  uint32_t most = (uint32_t)(outlier->count * outlier->share);

  return most == 0 && outlier->count > 1 ? 1 : most;
}

static void
eject (outlier_t *outlier, outlier_member_t *member)
{
  uint64_t now = clock_ms (outlier->clock);
  uint64_t length_ms = OUTLIER_EJECTION_FIRST_MS;

  /* Guards against the cure that is worse: with most of a pool out the rest
     would be overloaded, look slow and be ejected in turn.  */
  if (outlier->ejected >= most_out (outlier))
    return;
  if (member->state == OUTLIER_ACTIVE
      && now - member->since_ms >= OUTLIER_EJECTION_RESET_MS)
    member->times = 0;
  for (uint32_t i = 0;
       i < member->times && length_ms < OUTLIER_EJECTION_MAX_MS; i++)
    length_ms *= 2;
  if (length_ms > OUTLIER_EJECTION_MAX_MS)
    length_ms = OUTLIER_EJECTION_MAX_MS;
  member->times++;
  member->until_ms = now + length_ms;
  set_state (outlier, member, OUTLIER_EJECTED);
}

void
outlier_record (outlier_t *outlier, outlier_member_t *member, bool ok,
                uint64_t latency_us, uint32_t units)
{
  member->samples++;
  member->errors += OUTLIER_GAIN * ((ok ? 0 : 1) - member->errors);
  member->error_run = ok ? 0 : member->error_run + 1;
  if (ok && latency_us > 0)
    {
      double unit_us = (double)latency_us / (units > 0 ? units : 1);

      /* The latency of failures is no measure: the quickest of all fail.  */
      if (member->unit_us == 0)
        member->unit_us = unit_us;
      member->unit_us += OUTLIER_GAIN * (unit_us - member->unit_us);
    }
  /* Guards against an upstream that fails fast: always idle, it could draw
     most of the traffic until the next judgement is due.  */
  if (member->error_run == OUTLIER_CONSECUTIVE_ERRORS)
    outlier->judge_now = true;
  if (member->state == OUTLIER_TRIAL && !ok)
    eject (outlier, member);
  else if (member->state == OUTLIER_TRIAL
           && ++member->trial_ok >= OUTLIER_TRIAL_SUCCESSES)
    {
      member->since_ms = clock_ms (outlier->clock);
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

/* Return the median of the COUNT figures in the scratch room; 0 when none.
   The lower of two middles, so that in a pool of two the better one is the
   measure.  */
static double
median (outlier_t *outlier, uint32_t count)
{
  if (count == 0)
    return 0;
  qsort (outlier->scratch, count, sizeof (double), compare_doubles);
  return outlier->scratch[(count - 1) / 2];
}

static bool
measurable (const outlier_member_t *member)
{
  return member->state == OUTLIER_ACTIVE
         && member->samples >= OUTLIER_SAMPLES_MIN;
}

/* Return the median share of failures of those that are in.  Few samples are
   enough for this: a failure that all share must be seen before the first
   member has its run of OUTLIER_CONSECUTIVE_ERRORS.  */
static double
median_errors (outlier_t *outlier)
{
  uint32_t count = 0;

  LIST_EACH (at, &outlier->members)
    {
      outlier_member_t *member = CONTAINER_OF (at, outlier_member_t, link);

      if (member->state == OUTLIER_ACTIVE && member->samples > 0)
        outlier->scratch[count++] = member->errors;
    }
  return median (outlier, count);
}

static double
median_unit_us (outlier_t *outlier)
{
  uint32_t count = 0;

  LIST_EACH (at, &outlier->members)
    {
      outlier_member_t *member = CONTAINER_OF (at, outlier_member_t, link);

      if (measurable (member) && member->unit_us > 0)
        outlier->scratch[count++] = member->unit_us;
    }
  return median (outlier, count);
}

/* Let the members return whose time is over, as strangers: what they did
   before says nothing of what they do now.  */
static void
return_due (outlier_t *outlier, uint64_t now)
{
  LIST_EACH (at, &outlier->members)
    {
      outlier_member_t *member = CONTAINER_OF (at, outlier_member_t, link);

      if (member->state != OUTLIER_EJECTED || now < member->until_ms)
        continue;
      member->samples = 0;
      member->error_run = 0;
      member->trial_ok = 0;
      member->errors = 0;
      member->unit_us = 0;
      set_state (outlier, member, OUTLIER_TRIAL);
    }
}

static void
judge (outlier_t *outlier)
{
  double errors = median_errors (outlier);
  double unit_us = median_unit_us (outlier);

  LIST_EACH (at, &outlier->members)
    {
      outlier_member_t *member = CONTAINER_OF (at, outlier_member_t, link);

      if (member->state != OUTLIER_ACTIVE)
        continue;
      if ((member->error_run >= OUTLIER_CONSECUTIVE_ERRORS
           || measurable (member))
          && member->errors > errors + OUTLIER_ERROR_RATE_MARGIN)
        eject (outlier, member);
      else if (!measurable (member))
        continue;
      else if (unit_us > 0
               && member->unit_us > unit_us * OUTLIER_LATENCY_FACTOR)
        eject (outlier, member);
    }
}

void *
outlier_next_change (outlier_t *outlier, outlier_state_t *state)
{
  uint64_t now = clock_ms (outlier->clock);
  outlier_member_t *member;

  if (now >= outlier->judged_ms + OUTLIER_EVALUATION_INTERVAL_MS
      || outlier->judge_now)
    {
      outlier->judge_now = false;
      outlier->judged_ms = now;
      return_due (outlier, now);
      judge (outlier);
    }
  if (list_empty (&outlier->changed))
    return NULL;
  member = CONTAINER_OF (outlier->changed.next, outlier_member_t, changed);
  list_remove (&member->changed);
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
  return outlier->ejected;
}
