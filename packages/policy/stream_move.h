/* Decision whether a stream in progress moves to another instance.

   Load pattern: an instance turns slow while it has streams.  They would run
   into the time limits of their callers, although other instances could end
   them in time.  A move has a cost: the other instance reads the prompt again
   and gets more load.  If all instances turn slow, moves would only add
   load.

   A stream moves if

   - by its own pace it will not end in its time where it is;
   - it will end in its time at the other instance, the reading of the prompt
     included, and events come there in at most STREAM_MOVE_GAP_PART_MAX of the
     time.  The estimate is taken at no less load than here, because other
     gateways send there as well and uneven loads alone are no reason to move.
     It is multiplied by the slowdown that the other streams show;
   - at least STREAM_MOVE_BUDGET_PART of what the gateway's budget of extra
     sends can hold is left, so that failed sends come first;
   - the gateway has moved at most STREAM_MOVE_SHARE_PER_S of its streams in
     the last second, or none.  Many gateways see a slow instance at the same
     time, and their loads at the other instances reach each other late.

   The number of events left follows from the caller's hint, which is accurate
   at the median.  */

#ifndef POLICY_STREAM_MOVE_H
#define POLICY_STREAM_MOVE_H

#include "policy/finish_time.h"

#include <stdbool.h>

/* Parts of the time left: a stream above the first is late where it is, and
   may go where it stays below the second.  */
#define STREAM_MOVE_LATE_PART 1.1
#define STREAM_MOVE_IN_TIME_PART 0.8
#define STREAM_MOVE_GAP_PART_MAX (2.0 / 3)
#define STREAM_MOVE_BUDGET_PART 0.5
#define STREAM_MOVE_SHARE_PER_S 0.1

enum
{
  /* Time between two checks of a stream.  */
  STREAM_MOVE_CHECK_INTERVAL_MS = 250,
  /* Events over whose gaps the pace is measured, and gaps from which it
     counts.  */
  STREAM_MOVE_PACE_GAPS = 8,
  STREAM_MOVE_PACE_GAPS_MIN = 4,
  STREAM_MOVE_WINDOW_MS = 1000,
  /* Most moves of a gateway in a window.  */
  STREAM_MOVE_WINDOW_MAX = 64,
  /* Streams from which a common slowdown is computed.  */
  STREAM_MOVE_RATIOS_MIN = 3
};

/* Times of the last events of a send, all 0 at first.  */
typedef struct
{
  uint64_t times_ms[STREAM_MOVE_PACE_GAPS + 1];
  uint64_t count; /* Events of the send.  */
} stream_pace_t;

/* Record COUNT events that arrived at NOW_MS.  */
void stream_pace_record (stream_pace_t *pace, size_t count, uint64_t now_ms);
/* Return the number of gaps that are known, at most
   STREAM_MOVE_PACE_GAPS.  */
size_t stream_pace_gap_count (const stream_pace_t *pace);
/* Return the mean of the known gaps in ms; 0 if none is known.  */
double stream_pace_gap_ms (const stream_pace_t *pace);

/* Moves of a gateway in the last window, all 0 at first.  */
typedef struct
{
  uint64_t times_ms[STREAM_MOVE_WINDOW_MAX]; /* Ring buffer.  */
  uint64_t count;
} stream_moves_t;

void stream_moves_record (stream_moves_t *moves, uint64_t now_ms);
/* Return the number of moves in the window that ends at NOW_MS.  */
size_t stream_moves_in_window (const stream_moves_t *moves, uint64_t now_ms);

/* Return the number of events to assume as left, at least 1, of a response of
   about HINT_EVENTS and at most MAX_EVENTS (0: unknown), of which EVENTS have
   arrived.  A response that has outrun its hint goes on for a part of what it
   has.  */
double stream_move_events_left (double hint_events, double max_events,
                                uint64_t events);

typedef struct
{
  uint64_t now_ms;
  uint64_t sent_ms;     /* Time of the current send.  */
  uint64_t deadline_ms; /* Time by which the stream must end.  */
  const stream_pace_t *pace;
  double events_left; /* See stream_move_events_left.  */
  /* Estimate at the current instance from the send on, used until the pace
     counts.  */
  finish_estimate_t here;
} stream_state_t;

/* Return the time in ms until STREAM ends where it is.  A stall lasts as long
   again as it has lasted.  */
double stream_move_time_here_ms (const stream_state_t *stream);
/* Return whether STREAM will not end in time where it is.  */
bool stream_move_is_late (const stream_state_t *stream);

typedef enum
{
  STREAM_MOVE_YES,
  STREAM_MOVE_IN_TIME,    /* It ends in time where it is.  */
  STREAM_MOVE_NOT_FASTER, /* It would be late there too, or not faster.  */
  STREAM_MOVE_NO_BUDGET,  /* Too few extra sends are left.  */
  STREAM_MOVE_TOO_MANY    /* Too many streams moved in this window.  */
} stream_move_verdict_t;

/* Return the median of RATIOS, COUNT paces of streams at other instances than
   the one in question divided by their estimates, at least 1; 1 if there are
   too few.  RATIOS is sorted.

   Reports of load arrive late.  When all instances turn slow, the paces show
   it first.  */
double stream_move_common_slowdown (double *ratios, size_t count);

typedef struct
{
  finish_estimate_t there; /* Estimate at the other instance.  */
  double common_slowdown;  /* See stream_move_common_slowdown.  */
  double budget_left;      /* Extra sends that may be made now.  */
  double budget_capacity;  /* Extra sends that the budget can hold.  */
  size_t moves_in_window;  /* See stream_moves_in_window.  */
  size_t stream_count;     /* Streams in progress at this gateway.  */
} stream_move_option_t;

/* Return whether STREAM moves as OPTION describes, or why not.  */
stream_move_verdict_t stream_move_decide (const stream_state_t *stream,
                                          const stream_move_option_t *option);

#endif
