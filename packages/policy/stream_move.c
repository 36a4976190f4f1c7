#include "policy/stream_move.h"

#include <stdlib.h>

enum
{
  PACE_TIMES = STREAM_MOVE_PACE_GAPS + 1
};

/* Part of the events so far that a response which has outrun its hint is
   expected to have yet.  */
static const double outrun_part = 0.25;

void
stream_pace_record (stream_pace_t *pace, size_t count, uint64_t now_ms)
{
  size_t kept = count < PACE_TIMES ? count : PACE_TIMES;

  pace->count += count - kept;
  for (size_t i = 0; i < kept; i++)
    pace->times_ms[pace->count++ % PACE_TIMES] = now_ms;
}

size_t
stream_pace_gap_count (const stream_pace_t *pace)
{
  if (pace->count == 0)
    return 0;
  return pace->count - 1 < STREAM_MOVE_PACE_GAPS ? (size_t)(pace->count - 1)
                                                 : STREAM_MOVE_PACE_GAPS;
}

/* Return the time of the last event but BACK, which must be known.  */
static uint64_t
event_time_ms (const stream_pace_t *pace, size_t back)
{
  return pace->times_ms[(pace->count - 1 - back) % PACE_TIMES];
}

double
stream_pace_gap_ms (const stream_pace_t *pace)
{
  size_t gaps = stream_pace_gap_count (pace);

  return gaps == 0
             ? 0
             : (double)(event_time_ms (pace, 0) - event_time_ms (pace, gaps))
                   / (double)gaps;
}

void
stream_moves_record (stream_moves_t *moves, uint64_t now_ms)
{
  moves->times_ms[moves->count++ % STREAM_MOVE_WINDOW_MAX] = now_ms;
}

size_t
stream_moves_in_window (const stream_moves_t *moves, uint64_t now_ms)
{
  size_t known = moves->count < STREAM_MOVE_WINDOW_MAX
                     ? (size_t)moves->count
                     : STREAM_MOVE_WINDOW_MAX;
  size_t count = 0;

  for (size_t i = 0; i < known; i++)
    count += now_ms - moves->times_ms[i] < STREAM_MOVE_WINDOW_MS;
  return count;
}

double
stream_move_events_left (double hint_events, double max_events,
                         uint64_t events)
{
  double so_far = (double)events;
  double left = hint_events - so_far;

  if (left < so_far * outrun_part)
    left = so_far * outrun_part;
  if (max_events > 0 && left > max_events - so_far)
    left = max_events - so_far;
  return left > 1 ? left : 1;
}

double
stream_move_time_here_ms (const stream_state_t *stream)
{
  const stream_pace_t *pace = stream->pace;
  double gap_ms = stream_pace_gap_count (pace) >= STREAM_MOVE_PACE_GAPS_MIN
                      ? stream_pace_gap_ms (pace)
                      : stream->here.gap_ms;
  uint64_t since_ms
      = pace->count > 0 ? event_time_ms (pace, 0) : stream->sent_ms;
  double expected_ms = pace->count > 0 ? gap_ms : stream->here.first_event_ms;
  double waited_ms
      = stream->now_ms > since_ms ? (double)(stream->now_ms - since_ms) : 0;
  double next_ms = waited_ms < expected_ms ? expected_ms - waited_ms
                                           : waited_ms - expected_ms;

  return next_ms + (stream->events_left - 1) * gap_ms;
}

static double
time_left_ms (const stream_state_t *stream)
{
  return stream->deadline_ms > stream->now_ms
             ? (double)(stream->deadline_ms - stream->now_ms)
             : 0;
}

bool
stream_move_is_late (const stream_state_t *stream)
{
  return stream_move_time_here_ms (stream)
         > time_left_ms (stream) * STREAM_MOVE_LATE_PART;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

double
stream_move_common_slowdown (double *ratios, size_t count)
{
  if (count < STREAM_MOVE_RATIOS_MIN)
    return 1;
  qsort (ratios, count, sizeof *ratios, compare_doubles);
  return ratios[count / 2] > 1 ? ratios[count / 2] : 1;
}

stream_move_verdict_t
stream_move_decide (const stream_state_t *stream,
                    const stream_move_option_t *option)
{
  double gap_here_ms = stream_move_time_here_ms (stream) / stream->events_left;
  double moves_max = (double)option->stream_count * STREAM_MOVE_SHARE_PER_S;

  if (!stream_move_is_late (stream))
    return STREAM_MOVE_IN_TIME;
  if (option->there.last_event_ms * option->common_slowdown
          > time_left_ms (stream) * STREAM_MOVE_IN_TIME_PART
      || option->there.gap_ms * option->common_slowdown
             > gap_here_ms * STREAM_MOVE_GAP_PART_MAX)
    return STREAM_MOVE_NOT_FASTER;
  if (option->budget_left < 1
      || option->budget_left
             < option->budget_capacity * STREAM_MOVE_BUDGET_PART)
    return STREAM_MOVE_NO_BUDGET;
  if (option->moves_in_window >= STREAM_MOVE_WINDOW_MAX
      || (option->moves_in_window > 0
          && (double)option->moves_in_window + 1 > moves_max))
    return STREAM_MOVE_TOO_MANY;
  return STREAM_MOVE_YES;
}
