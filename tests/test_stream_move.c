/* The decision to move a stream, for single streams and for a fleet of
   gateways in virtual time.  */

#include "base/rng.h"
#include "policy/stream_move.h"
#include "suite.h"

#include <stdio.h>

/* A stream at NOW_MS, of which an event has arrived each GAP_MS.  */
typedef struct
{
  const char *name;
  double gap_ms;
  uint64_t events; /* Arrived by now, the last one WAITED_MS ago.  */
  uint64_t waited_ms;
  double events_left;
  uint64_t left_ms;
  finish_estimate_t here;
  finish_estimate_t there;
  double budget_left;
  size_t moves_in_window;
  size_t stream_count;
  stream_move_verdict_t verdict;
} stream_case_t;

enum
{
  NOW_MS = 10000
};

#define QUICK                                                                 \
  {                                                                           \
    200, 50, 2150                                                             \
  }
#define SLOW                                                                  \
  {                                                                           \
    600, 150, 6450                                                            \
  }
#define CROWDED                                                               \
  {                                                                           \
    200, 90, 3710                                                             \
  }

/* A stream must move if, and only if, this makes it end in time and leaves
   enough budget.  */
static const stream_case_t stream_cases[] = {
  /* One instance is slow: its streams would be late, the others not.  */
  { "late here, in time there", 150, 20, 0, 40, 4000, SLOW, QUICK, 10, 0, 20,
    STREAM_MOVE_YES },
  { "in time here", 150, 20, 0, 40, 7000, SLOW, QUICK, 10, 0, 20,
    STREAM_MOVE_IN_TIME },
  { "late by less than the margin", 100, 20, 0, 40, 3700, SLOW, QUICK, 10, 0,
    20, STREAM_MOVE_IN_TIME },
  /* All instances are slow.  */
  { "late there as well", 150, 20, 0, 40, 4000, SLOW, SLOW, 10, 0, 20,
    STREAM_MOVE_NOT_FASTER },
  { "in time there by less than the margin", 150, 20, 0, 40, 2600, SLOW, QUICK,
    10, 0, 20, STREAM_MOVE_NOT_FASTER },
  { "hardly faster there", 120, 20, 0, 40, 4200, SLOW, CROWDED, 10, 0, 20,
    STREAM_MOVE_NOT_FASTER },
  { "the time is over", 150, 20, 0, 40, 0, SLOW, QUICK, 10, 0, 20,
    STREAM_MOVE_NOT_FASTER },
  { "half of the budget is spent", 150, 20, 0, 40, 4000, SLOW, QUICK, 4.9, 0,
    20, STREAM_MOVE_NO_BUDGET },
  { "a tenth of the streams moved", 150, 20, 0, 40, 4000, SLOW, QUICK, 10, 2,
    20, STREAM_MOVE_TOO_MANY },
  { "a gateway with few streams may move one", 150, 20, 0, 40, 4000, SLOW,
    QUICK, 10, 0, 3, STREAM_MOVE_YES },
  { "and then none", 150, 20, 0, 40, 4000, SLOW, QUICK, 10, 1, 3,
    STREAM_MOVE_TOO_MANY },
  /* No event arrives: the pace so far says nothing.  */
  { "a short stall", 50, 20, 300, 40, 4000, QUICK, QUICK, 10, 0, 20,
    STREAM_MOVE_IN_TIME },
  { "a long stall", 50, 20, 3000, 40, 4000, QUICK, QUICK, 10, 0, 20,
    STREAM_MOVE_YES },
  /* Before the pace is known the estimate for the instance counts.  */
  { "before the first event", 0, 0, 100, 40, 4000, SLOW, QUICK, 10, 0, 20,
    STREAM_MOVE_YES },
  { "before the first event, in time", 0, 0, 100, 40, 4000, QUICK, QUICK, 10,
    0, 20, STREAM_MOVE_IN_TIME },
  { "no first event for long", 0, 0, 3000, 40, 4000, QUICK, QUICK, 10, 0, 20,
    STREAM_MOVE_YES },
  { "few events, usually quick", 300, 3, 0, 40, 4000, QUICK, QUICK, 10, 0, 20,
    STREAM_MOVE_IN_TIME },
};

START_TEST (stream_moves_only_if_that_helps)
{
  const stream_case_t *c = &stream_cases[_i];
  stream_pace_t pace = { 0 };
  uint64_t last_ms = NOW_MS - c->waited_ms;

  for (uint64_t i = c->events; i-- > 0;)
    stream_pace_record (&pace, 1, last_ms - (uint64_t)((double)i * c->gap_ms));
  const stream_state_t stream
      = { .now_ms = NOW_MS,
          .sent_ms = c->events == 0 ? last_ms : last_ms - 5000,
          .deadline_ms = NOW_MS + c->left_ms,
          .pace = &pace,
          .events_left = c->events_left,
          .here = c->here };
  const stream_move_option_t option = { .there = c->there,
                                        .common_slowdown = 1,
                                        .budget_left = c->budget_left,
                                        .budget_capacity = 10,
                                        .moves_in_window = c->moves_in_window,
                                        .stream_count = c->stream_count };
  stream_move_verdict_t verdict = stream_move_decide (&stream, &option);
  ck_assert_msg (verdict == c->verdict, "%s: %d instead of %d", c->name,
                 (int)verdict, (int)c->verdict);
}
END_TEST

/* The length hint is often far off.  A response that has outrun it must not
   count as about to end, and none may count as longer than its maximum.  */
START_TEST (events_left_are_bounded)
{
  ck_assert_double_eq_tol (stream_move_events_left (40, 0, 0), 40, 1e-9);
  ck_assert_double_eq_tol (stream_move_events_left (40, 0, 30), 10, 1e-9);
  ck_assert_double_eq_tol (stream_move_events_left (40, 30, 0), 30, 1e-9);
  ck_assert_double_eq_tol (stream_move_events_left (40, 0, 80), 20, 1e-9);
  ck_assert_double_eq_tol (stream_move_events_left (40, 50, 50), 1, 1e-9);
  ck_assert_double_eq_tol (stream_move_events_left (40, 50, 500), 1, 1e-9);
  ck_assert_double_eq_tol (stream_move_events_left (0, 0, 0), 1, 1e-9);
}
END_TEST

/* Events arrive in bursts, and more at once than are kept.  */
START_TEST (pace_is_the_mean_of_the_last_gaps)
{
  stream_pace_t pace = { 0 };

  ck_assert_double_eq (stream_pace_gap_ms (&pace), 0);
  stream_pace_record (&pace, 1, 1000);
  ck_assert_uint_eq (stream_pace_gap_count (&pace), 0);
  stream_pace_record (&pace, 4, 1400);
  ck_assert_uint_eq (stream_pace_gap_count (&pace), 4);
  ck_assert_double_eq_tol (stream_pace_gap_ms (&pace), 100, 1e-9);
  stream_pace_record (&pace, 4, 1800);
  ck_assert_double_eq_tol (stream_pace_gap_ms (&pace), 100, 1e-9);
  stream_pace_record (&pace, 4, 2600);
  ck_assert_double_eq_tol (stream_pace_gap_ms (&pace), 150, 1e-9);
  stream_pace_record (&pace, 1000, 2700);
  ck_assert_uint_eq (stream_pace_gap_count (&pace), STREAM_MOVE_PACE_GAPS);
  ck_assert_double_eq (stream_pace_gap_ms (&pace), 0);
}
END_TEST

START_TEST (moves_are_counted_for_a_second)
{
  stream_moves_t moves = { 0 };

  for (uint64_t i = 0; i < 200; i++)
    stream_moves_record (&moves, 1000 + i);
  ck_assert_uint_eq (stream_moves_in_window (&moves, 1200),
                     STREAM_MOVE_WINDOW_MAX);
  ck_assert_uint_eq (stream_moves_in_window (&moves, 2150), 49);
  ck_assert_uint_eq (stream_moves_in_window (&moves, 2199), 0);
}
END_TEST

/* A fleet in virtual time.  Streams run at instances, and each step gives a
   stream the events that its instance has time for.  A gateway knows the loads
   of the instances REPORT_DELAY_MS late, and its own sends at once.  */
enum
{
  GATEWAYS = 24,
  INSTANCES = 45,
  STREAMS = 360, /* In progress at any time.  */
  STEP_MS = 50,
  DAY_MS = 24000,
  SLOW_FROM_MS = 6000,
  SLOW_UNTIL_MS = 20000,
  TIME_LIMIT_MS = 6000,
  PROMPT_TOKENS = 12000,
  HINT_EVENTS = 42,
  REPORT_DELAY_MS = 500,
  FACTOR_DELAY_MS = 3000, /* Time constant of the known factors.  */
  REPORT_STEPS = REPORT_DELAY_MS / STEP_MS
};

typedef struct
{
  int instance;
  int events;
  double progress; /* Part of the next event that is done.  */
  double prompt_left_ms;
  int length;
  uint64_t sent_ms;
  uint64_t deadline_ms;
  uint64_t checked_ms;
  bool has_moved;
  stream_pace_t pace;
} run_t;

typedef struct
{
  finish_time_t *finish_times[GATEWAYS];
  stream_moves_t moves[GATEWAYS];
  double budgets[GATEWAYS];
  run_t runs[STREAMS];
  int loads[INSTANCES];
  int old_loads[REPORT_STEPS][INSTANCES];
  int own_loads[GATEWAYS][INSTANCES]; /* Moves there since the last report.  */
  double factors[INSTANCES];
  /* Factors that the gateways know from reports.  */
  double known_factors[INSTANCES];
  rng_t rng;
  bool has_moves;
  size_t move_count;
  size_t most_moves_in_s;
  size_t ended;
  size_t late;
} fleet_t;

enum
{
  BUDGET_CAPACITY = 4
};

static finish_place_t
place_seen (const fleet_t *fleet, int gateway, int instance, size_t step)
{
  return (finish_place_t){ .time_factor = fleet->known_factors[instance],
                           .requests
                           = fleet->old_loads[step % REPORT_STEPS][instance]
                             + fleet->own_loads[gateway][instance] + 1 };
}

/* Return the instance that GATEWAY takes for the fastest, apart from
   EXCLUDED.  */
static int
fastest_instance (const fleet_t *fleet, int gateway, int excluded, size_t step)
{
  int best = -1;
  double best_time = 0;

  for (int i = 0; i < INSTANCES; i++)
    {
      finish_place_t place = place_seen (fleet, gateway, i, step);
      double time = place.time_factor * (10 + place.requests);
      if (i == excluded || (best >= 0 && time >= best_time))
        continue;
      best = i;
      best_time = time;
    }
  return best;
}

static void
start_run (fleet_t *fleet, run_t *run, int instance, uint64_t now_ms)
{
  run->instance = instance;
  run->progress = 0;
  run->prompt_left_ms = PROMPT_TOKENS / FINISH_TIME_PROMPT_TOKENS_PER_MS;
  run->sent_ms = now_ms;
  run->checked_ms = now_ms;
  run->pace = (stream_pace_t){ 0 };
  fleet->loads[instance]++;
}

static void
new_stream (fleet_t *fleet, size_t index, uint64_t now_ms, size_t step)
{
  run_t *run = &fleet->runs[index];
  int gateway = (int)(index % GATEWAYS);

  *run = (run_t){ .deadline_ms = now_ms + TIME_LIMIT_MS };
  run->length = HINT_EVENTS / 2 + (int)rng_below (&fleet->rng, HINT_EVENTS);
  int instance = fastest_instance (fleet, gateway, -1, step);
  /* Half of them go by their prompt and not by the load.  */
  if (rng_below (&fleet->rng, 2) == 0)
    instance = (int)rng_below (&fleet->rng, INSTANCES);
  fleet->own_loads[gateway][instance]++;
  start_run (fleet, run, instance, now_ms);
  if (fleet->budgets[gateway] < BUDGET_CAPACITY)
    fleet->budgets[gateway] += 0.1;
}

/* Let RUN run for a step.  */
static void
advance (const fleet_t *fleet, run_t *run, uint64_t now_ms)
{
  double factor = fleet->factors[run->instance];
  double gap_ms
      = factor
        * (FINISH_TIME_GAP_MS
           + FINISH_TIME_GAP_PER_REQUEST_MS * fleet->loads[run->instance]);
  double time_ms = STEP_MS;
  int before = run->events;

  if (run->prompt_left_ms > 0)
    {
      run->prompt_left_ms -= time_ms / factor;
      if (run->prompt_left_ms >= 0)
        return;
      time_ms = -run->prompt_left_ms * factor;
      run->prompt_left_ms = 0;
    }
  run->progress += time_ms / gap_ms;
  run->events += (int)run->progress;
  run->progress -= (int)run->progress;
  if (run->events > before)
    stream_pace_record (&run->pace, (size_t)(run->events - before), now_ms);
}

/* Return the common slowdown that the streams of GATEWAY show at other
   instances than EXCLUDED.  */
static double
common_slowdown (const fleet_t *fleet, size_t gateway, int excluded,
                 size_t step)
{
  double ratios[STREAMS / GATEWAYS];
  size_t count = 0;

  for (size_t i = gateway; i < STREAMS; i += GATEWAYS)
    {
      const run_t *run = &fleet->runs[i];
      const finish_work_t work = { .events_left = 1 };
      finish_place_t here
          = place_seen (fleet, (int)gateway, run->instance, step);
      if (run->instance != excluded
          && stream_pace_gap_count (&run->pace) >= STREAM_MOVE_PACE_GAPS_MIN)
        ratios[count++] = stream_pace_gap_ms (&run->pace)
                          / finish_time_estimate (fleet->finish_times[gateway],
                                                  &work, &here)
                                .gap_ms;
    }
  return stream_move_common_slowdown (ratios, count);
}

static void
check_move (fleet_t *fleet, size_t index, uint64_t now_ms, size_t step)
{
  run_t *run = &fleet->runs[index];
  int gateway = (int)(index % GATEWAYS);
  const finish_time_t *finish_time = fleet->finish_times[gateway];

  if (!fleet->has_moves || run->has_moved
      || now_ms < run->checked_ms + STREAM_MOVE_CHECK_INTERVAL_MS)
    return;
  run->checked_ms = now_ms;
  const finish_work_t work = { .prompt_tokens = PROMPT_TOKENS,
                               .events_left = stream_move_events_left (
                                   HINT_EVENTS, 0, (uint64_t)run->events) };
  finish_place_t here = place_seen (fleet, gateway, run->instance, step);
  int target = fastest_instance (fleet, gateway, run->instance, step);
  finish_place_t there = place_seen (fleet, gateway, target, step);
  if (there.requests < here.requests)
    there.requests = here.requests;
  const stream_state_t stream
      = { .now_ms = now_ms,
          .sent_ms = run->sent_ms,
          .deadline_ms = run->deadline_ms,
          .pace = &run->pace,
          .events_left = work.events_left,
          .here = finish_time_estimate (finish_time, &work, &here) };
  const stream_move_option_t option
      = { .there = finish_time_estimate (finish_time, &work, &there),
          .common_slowdown
          = common_slowdown (fleet, (size_t)gateway, run->instance, step),
          .budget_left = fleet->budgets[gateway],
          .budget_capacity = BUDGET_CAPACITY,
          .moves_in_window
          = stream_moves_in_window (&fleet->moves[gateway], now_ms),
          .stream_count = STREAMS / GATEWAYS };
  if (stream_move_decide (&stream, &option) != STREAM_MOVE_YES)
    return;
  fleet->budgets[gateway]--;
  stream_moves_record (&fleet->moves[gateway], now_ms);
  fleet->move_count++;
  fleet->own_loads[gateway][target]++;
  fleet->loads[run->instance]--;
  run->has_moved = true;
  start_run (fleet, run, target, now_ms);
}

static void
set_factors (fleet_t *fleet, uint64_t now_ms, int slow_of_three)
{
  bool is_slow = now_ms >= SLOW_FROM_MS && now_ms < SLOW_UNTIL_MS;

  for (int i = 0; i < INSTANCES; i++)
    {
      fleet->factors[i] = is_slow && i % 3 < slow_of_three ? 3 : 1;
      if (now_ms == 0)
        fleet->known_factors[i] = 1;
      fleet->known_factors[i] += (fleet->factors[i] - fleet->known_factors[i])
                                 * STEP_MS / FACTOR_DELAY_MS;
    }
}

static void
report_loads (fleet_t *fleet, size_t step)
{
  size_t at = step % REPORT_STEPS;

  for (int i = 0; i < INSTANCES; i++)
    fleet->old_loads[at][i] = fleet->loads[i];
  if (at == 0)
    for (int g = 0; g < GATEWAYS; g++)
      for (int i = 0; i < INSTANCES; i++)
        fleet->own_loads[g][i] = 0;
}

/* Run a day on which SLOW_OF_THREE of three instances turn three times
   slower.  */
static void
run_day (fleet_t *fleet, bool has_moves, int slow_of_three, uint64_t seed)
{
  *fleet = (fleet_t){ .rng = rng_make (seed), .has_moves = has_moves };
  for (int g = 0; g < GATEWAYS; g++)
    {
      fleet->finish_times[g] = finish_time_create ();
      fleet->budgets[g] = BUDGET_CAPACITY;
    }
  set_factors (fleet, 0, slow_of_three);
  for (size_t i = 0; i < STREAMS; i++)
    new_stream (fleet, i, 0, 0);
  for (uint64_t now_ms = 0; now_ms < DAY_MS; now_ms += STEP_MS)
    {
      size_t step = now_ms / STEP_MS;
      size_t recent = 0;
      set_factors (fleet, now_ms, slow_of_three);
      for (size_t i = 0; i < STREAMS; i++)
        {
          run_t *run = &fleet->runs[i];
          advance (fleet, run, now_ms);
          check_move (fleet, i, now_ms, step);
          bool is_late = now_ms >= run->deadline_ms;
          if (!is_late && run->events < run->length)
            continue;
          fleet->ended++;
          fleet->late += is_late;
          fleet->loads[run->instance]--;
          new_stream (fleet, i, now_ms, step);
        }
      report_loads (fleet, step);
      for (int g = 0; g < GATEWAYS; g++)
        recent += stream_moves_in_window (&fleet->moves[g], now_ms);
      if (recent > fleet->most_moves_in_s)
        fleet->most_moves_in_s = recent;
    }
  for (int g = 0; g < GATEWAYS; g++)
    finish_time_destroy (fleet->finish_times[g]);
}

/* Sums over days with different seeds.  */
typedef struct
{
  size_t ended;
  size_t late;
  size_t moves;
  size_t most_moves_in_s;
} days_t;

static days_t
run_days (bool has_moves, int slow_of_three)
{
  static fleet_t fleet;
  days_t days = { 0 };

  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      run_day (&fleet, has_moves, slow_of_three, seed);
      days.ended += fleet.ended;
      days.late += fleet.late;
      days.moves += fleet.move_count;
      if (fleet.most_moves_in_s > days.most_moves_in_s)
        days.most_moves_in_s = fleet.most_moves_in_s;
    }
  printf ("%d of 3 slow, %s: late %zu of %zu, %zu moves, at most %zu a "
          "second\n",
          slow_of_three, has_moves ? "moves" : "no moves", days.late,
          days.ended, days.moves, days.most_moves_in_s);
  return days;
}

/* A third of the instances turns three times slower.  All gateways see it at
   the same time; their moves must stay bounded and still save many of the
   streams that would be late.  */
START_TEST (moves_of_a_fleet_are_bounded_and_help)
{
  days_t still = run_days (false, 1);
  days_t moving = run_days (true, 1);

  ck_assert_uint_gt (still.late, 200);
  ck_assert_uint_le (moving.most_moves_in_s,
                     (size_t)(STREAMS * STREAM_MOVE_SHARE_PER_S));
  ck_assert_uint_lt (moving.late * 100, still.late * 65);
}
END_TEST

/* All instances turn slow and the reports say so late: there is nowhere to go,
   and moves would only add the reading of prompts.  */
START_TEST (fleet_that_is_slow_as_a_whole_does_not_move)
{
  days_t still = run_days (false, 3);
  days_t moving = run_days (true, 3);

  ck_assert_uint_gt (still.late, 200);
  /* A few streams, at gateways that cannot see the paces at three others.  */
  ck_assert_uint_le (moving.moves * 500, moving.ended);
  ck_assert_uint_le (moving.late * 100, still.late * 102);
}
END_TEST

/* Instances are unevenly loaded, but none is slow.  */
START_TEST (usual_fleet_does_not_move)
{
  days_t moving = run_days (true, 0);

  ck_assert_uint_eq (moving.moves, 0);
}
END_TEST

/* The median must not follow one stream that is slow, nor make an instance
   look faster than its estimate.  */
START_TEST (common_slowdown_is_a_median)
{
  double none[] = { 9, 9 };
  double one[] = { 1, 8, 1.1, 0.9 };
  double most[] = { 3, 2.5, 1, 3.1, 2.9 };
  double fast[] = { 0.5, 0.4, 0.6 };

  ck_assert_double_eq (stream_move_common_slowdown (none, 2), 1);
  ck_assert_double_eq_tol (stream_move_common_slowdown (one, 4), 1.1, 1e-9);
  ck_assert_double_eq_tol (stream_move_common_slowdown (most, 5), 2.9, 1e-9);
  ck_assert_double_eq (stream_move_common_slowdown (fast, 3), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stream_move");
  TCase *tcase = tcase_create ("stream_move");

  tcase_add_loop_test (tcase, stream_moves_only_if_that_helps, 0,
                       sizeof stream_cases / sizeof stream_cases[0]);
  tcase_add_test (tcase, events_left_are_bounded);
  tcase_add_test (tcase, pace_is_the_mean_of_the_last_gaps);
  tcase_add_test (tcase, moves_are_counted_for_a_second);
  tcase_add_test (tcase, moves_of_a_fleet_are_bounded_and_help);
  tcase_add_test (tcase, fleet_that_is_slow_as_a_whole_does_not_move);
  tcase_add_test (tcase, usual_fleet_does_not_move);
  tcase_add_test (tcase, common_slowdown_is_a_median);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
