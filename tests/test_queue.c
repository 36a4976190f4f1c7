/* Tests of the queue, judged by which job runs when.  */

#include "policy/queue.h"

#include "base/mem.h"
#include "base/rng.h"
#include "suite.h"

enum
{
  JOBS = 4000,
  SHORT_COST = 100,
  LONG_COST = 5000,
  /* In the trials one unit takes one millisecond in a slot.  */
  UNIT_US = 1000
};

typedef struct
{
  queue_waiter_t waiter;
  int team;
  bool waiting;
} job_t;

static const str_t teams[] = { STR ("coast"), STR ("drift"), STR ("hills") };

static clock_iface_t *manual;
static queue_t *queue;
static job_t jobs[JOBS];
static int job_count;

/* Return the time that N short jobs take one after the other.  */
static uint64_t
jobs_us (uint64_t n)
{
  return n * SHORT_COST * UNIT_US;
}

static void
setup (void)
{
  manual = clock_manual_create (0);
  queue = queue_create (NULL, manual);
  memset (jobs, 0, sizeof jobs);
  job_count = 0;
}

static void
teardown (void)
{
  queue_destroy (queue);
  clock_manual_destroy (manual);
}

/* Push the next job; return it, or NULL when it was refused.  */
static job_t *
push_job (int team, uint32_t cost, queue_priority_t priority,
          uint64_t deadline_us)
{
  job_t *job = &jobs[job_count++];
  queue_job_t wish = { teams[team], cost, priority, deadline_us };
  queue_waiter_t *evicted;

  job->team = team;
  if (queue_push (queue, &job->waiter, &wish, &evicted) != VH_OK)
    return NULL;
  job->waiting = true;
  if (evicted != NULL)
    CONTAINER_OF (evicted, job_t, waiter)->waiting = false;
  return job;
}

static job_t *
push_plain (int team, uint32_t cost)
{
  return push_job (team, cost, QUEUE_NORMAL, QUEUE_NO_DEADLINE);
}

static job_t *
pop_job (void)
{
  queue_waiter_t *waiter = queue_pop (queue);
  job_t *job;

  if (waiter == NULL)
    return NULL;
  job = CONTAINER_OF (waiter, job_t, waiter);
  job->waiting = false;
  return job;
}

static void
run_job (job_t *job, uint32_t used)
{
  clock_manual_advance_us (manual, (uint64_t)used * UNIT_US);
  queue_done (queue, &job->waiter, (uint64_t)used * UNIT_US, used);
}

/* Pop and run N jobs; add the cost of each to its team's SERVED.  */
static void
serve (int n, uint64_t served[])
{
  for (int i = 0; i < n; i++)
    {
      job_t *job = pop_job ();
      ck_assert_ptr_nonnull (job);
      served[job->team] += job->waiter.cost;
      run_job (job, job->waiter.cost);
    }
}

/* One team floods the queue before the others come.  First come, first served
   would make them wait for all of it.  */
START_TEST (teams_share_by_weight_not_by_number)
{
  uint64_t served[3] = { 0 };

  queue_set_weight (queue, teams[1], 2);
  for (int i = 0; i < 1000; i++)
    push_plain (0, 10);
  for (int i = 0; i < 200; i++)
    push_plain (1, 100);
  for (int i = 0; i < 200; i++)
    push_plain (2, 50);
  serve (200, served);
  /* 1 : 2 : 1 by cost, within a job's length.  */
  ck_assert_uint_le (served[1], served[0] * 2 + 200);
  ck_assert_uint_ge (served[1] + 200, served[0] * 2);
  ck_assert_uint_le (served[2], served[0] + 100);
  ck_assert_uint_ge (served[2] + 100, served[0]);
}
END_TEST

/* A team says ten tokens and uses two hundred.  Charged by estimate alone it
   would get twenty times its share.  */
START_TEST (modest_estimates_gain_nothing)
{
  uint64_t used[2] = { 0 };

  for (int i = 0; i < 1000; i++)
    {
      push_plain (0, 10);
      push_plain (1, 200);
    }
  for (int i = 0; i < 400; i++)
    {
      job_t *job = pop_job ();
      used[job->team] += 200;
      run_job (job, 200);
    }
  ck_assert_uint_le (used[0], used[1] * 11 / 10);
}
END_TEST

/* What a team used of an idle upstream is not held against it, and of what it
   did not use no more is saved up than QUEUE_CREDIT_JOBS jobs.  */
START_TEST (idle_time_is_neither_debt_nor_credit)
{
  uint64_t served[3] = { 0 };

  for (int i = 0; i < 100; i++)
    {
      push_plain (0, 100);
      serve (1, served);
    }
  served[0] = 0;
  for (int i = 0; i < 100; i++)
    push_plain (0, 100);
  for (int i = 0; i < 100; i++)
    push_plain (1, 100);
  serve (100, served);
  ck_assert_uint_le (served[0], served[1]);
  ck_assert_uint_le (served[1],
                     served[0] + ((uint64_t)QUEUE_CREDIT_JOBS + 1) * 100);
}
END_TEST

/* A quiet team happens to send three requests together after a pause.  At the
   pace of its share each would wait for the one before; they must not.  */
START_TEST (a_pause_earns_a_small_burst)
{
  uint64_t served[3] = { 0 };

  for (int i = 0; i < 400; i++)
    push_plain (0, 100);
  push_plain (1, 100);
  serve (100, served);
  ck_assert_uint_eq (served[1], 100);
  for (int i = 0; i < 3; i++)
    push_plain (1, 100);
  serve (4, served);
  ck_assert_uint_eq (served[1], 400);
}
END_TEST

/* One team takes most of the upstream without ever waiting long, as its jobs
   go first.  What the other will wait shows in what it waited so far, not in
   the queue.  */
START_TEST (estimate_learns_from_the_waits_seen)
{
  uint64_t served[3] = { 0 };
  uint64_t told_us;
  uint64_t begin_us;
  job_t *last;

  queue_set_weight (queue, teams[1], 9);
  for (int i = 0; i < 300; i++)
    push_plain (0, 100);
  for (int i = 0; i < 300; i++)
    {
      push_plain (1, 100);
      serve (1, served);
    }
  last = push_plain (0, 100);
  told_us = queue_estimate_wait_us (queue, teams[0], 100);
  begin_us = clock_us (manual);
  while (last->waiting)
    {
      push_plain (1, 100);
      serve (1, served);
    }
  ck_assert_uint_ge (told_us * 10, (clock_us (manual) - begin_us) * 7);
  ck_assert_uint_le (told_us * 10, (clock_us (manual) - begin_us) * 13);
}
END_TEST

/* Two upstreams with twenty waiting each: at one all of one team, at the other
   of ten.  A newcomer is better off at the first, and the load must say
   so.  */
START_TEST (load_is_what_a_newcomer_finds)
{
  uint32_t one_team;
  char name[] = "team-0";

  ck_assert_uint_eq (queue_load (queue), 0);
  for (int i = 0; i < 20; i++)
    push_plain (0, 100);
  one_team = queue_load (queue);
  queue_destroy (queue);
  queue = queue_create (NULL, manual);
  for (int i = 0; i < 20; i++)
    {
      job_t *job = &jobs[job_count++];
      queue_job_t wish
          = { str_from (name), 100, QUEUE_NORMAL, QUEUE_NO_DEADLINE };
      queue_waiter_t *evicted;

      name[5] = (char)('0' + i % 10);
      ck_assert_int_eq (queue_push (queue, &job->waiter, &wish, &evicted),
                        VH_OK);
    }
  ck_assert_uint_gt (queue_load (queue) / 2, one_team);
  ck_assert_uint_gt (one_team, 3);
}
END_TEST

START_TEST (priority_orders_within_a_team_only)
{
  job_t *low = push_job (0, 10, QUEUE_LOW, QUEUE_NO_DEADLINE);
  job_t *normal = push_job (0, 10, QUEUE_NORMAL, QUEUE_NO_DEADLINE);
  job_t *high = push_job (0, 10, QUEUE_HIGH, QUEUE_NO_DEADLINE);
  uint64_t served[3] = { 0 };

  ck_assert_ptr_eq (pop_job (), high);
  ck_assert_ptr_eq (pop_job (), normal);
  ck_assert_ptr_eq (pop_job (), low);
  for (int i = 0; i < 100; i++)
    push_job (0, 10, QUEUE_HIGH, QUEUE_NO_DEADLINE);
  for (int i = 0; i < 100; i++)
    push_job (1, 10, QUEUE_LOW, QUEUE_NO_DEADLINE);
  serve (100, served);
  ck_assert_uint_ge (served[1], 480);
}
END_TEST

START_TEST (low_priority_is_not_starved)
{
  job_t *low = push_job (0, 10, QUEUE_LOW, QUEUE_NO_DEADLINE);
  uint64_t begin_us = clock_us (manual);

  while (low->waiting)
    {
      push_job (0, 10, QUEUE_HIGH, QUEUE_NO_DEADLINE);
      run_job (pop_job (), 10);
    }
  ck_assert_uint_le (clock_us (manual) - begin_us,
                     (QUEUE_LOW * QUEUE_REORDER_MAX_MS + 100) * 1000ul);
}
END_TEST

/* A very long draft is put back behind shorter ones of its team, but only for
   so long.  */
START_TEST (long_job_is_not_starved)
{
  job_t *draft;
  uint64_t begin_us;

  run_job ((push_plain (0, LONG_COST), pop_job ()), LONG_COST);
  begin_us = clock_us (manual);
  draft = push_plain (0, LONG_COST * 20);
  while (draft->waiting)
    {
      push_plain (0, QUEUE_LONG_COST_MIN);
      run_job (pop_job (), QUEUE_LONG_COST_MIN);
    }
  ck_assert_uint_le (clock_us (manual) - begin_us,
                     (QUEUE_REORDER_MAX_MS + 1000) * 1000ul);
}
END_TEST

/* Drafts of minutes fill the queue, then questions come.  Callers who ask
   would wait minutes for an answer of a second if drafts could take every
   slot.  */
START_TEST (short_jobs_find_a_slot_among_long_ones)
{
  int longs = 0;
  job_t *ask;

  queue_set_slots (queue, 8);
  run_job ((push_plain (1, SHORT_COST), pop_job ()), SHORT_COST);
  for (int i = 0; i < 50; i++)
    push_plain (0, LONG_COST);
  while (pop_job () != NULL)
    longs++;
  ck_assert_int_eq (longs, 6);
  ask = push_plain (0, SHORT_COST);
  ck_assert_ptr_eq (pop_job (), ask);
}
END_TEST

/* The limit swings between eight and twelve.  Long jobs started at its peak
   would take all that is left at the dip, and a question wait a minute for
   the first of them to end.  */
START_TEST (reserve_outlasts_a_dip_of_the_limit)
{
  int longs = 0;

  queue_set_slots (queue, 8);
  run_job ((push_plain (1, SHORT_COST), pop_job ()), SHORT_COST);
  clock_manual_advance_us (manual, 1000000);
  queue_set_slots (queue, 12);
  for (int i = 0; i < 50; i++)
    push_plain (0, LONG_COST);
  for (; pop_job () != NULL; longs++)
    ;
  ck_assert_int_eq (longs, 6);
  /* When it stays up, more may run.  */
  clock_manual_advance_us (manual, 10000000);
  queue_set_slots (queue, 12);
  for (; pop_job () != NULL; longs++)
    ;
  ck_assert_int_eq (longs, 9);
}
END_TEST

START_TEST (long_jobs_keep_their_floor)
{
  int longs = 0;

  queue_set_slots (queue, 8);
  for (int i = 0; i < 20; i++)
    push_plain (0, LONG_COST);
  for (int i = 0; i < 20; i++)
    push_plain (1, SHORT_COST);
  for (int i = 0; i < 8; i++)
    if (pop_job ()->waiter.cost == LONG_COST)
      longs++;
  ck_assert_int_eq (longs, 2);
}
END_TEST

START_TEST (reserve_is_not_kept_for_nobody)
{
  int longs = 0;

  queue_set_slots (queue, 8);
  for (int i = 0; i < 20; i++)
    push_plain (0, LONG_COST);
  for (; longs < 8 && pop_job () != NULL; longs++)
    ;
  ck_assert_int_eq (longs, 8);
}
END_TEST

/* Overload: more waits than can be done in time.  Taken in, the last ones
   would wait until their deadline and be refused then, or answered to nobody;
   refused on arrival, their callers can go elsewhere.  */
START_TEST (refuses_on_arrival_what_cannot_be_done)
{
  uint64_t deadline_us;
  uint64_t served[3] = { 0 };
  int taken = 0;

  push_plain (0, SHORT_COST);
  serve (1, served);
  deadline_us = clock_us (manual) + jobs_us (10);
  for (int i = 0; i < 30; i++)
    if (push_job (0, SHORT_COST, QUEUE_NORMAL, deadline_us) != NULL)
      taken++;
  /* Ten could be done at best; the wait may take half of the nine left.  */
  ck_assert_int_ge (taken, 4);
  ck_assert_int_le (taken, 6);
  /* What was taken in is done in time.  */
  for (; taken > 0; taken--)
    {
      ck_assert_ptr_null (queue_pop_expired (queue));
      serve (1, served);
    }
  ck_assert_uint_le (clock_us (manual), deadline_us);
}
END_TEST

/* One team has filled the queue up to its deadlines.  Another, with nothing
   waiting, is next whatever waits, so it must not be refused for that.  */
START_TEST (estimate_knows_the_team_share)
{
  uint64_t served[3] = { 0 };
  uint64_t all_us;

  push_plain (0, SHORT_COST);
  serve (1, served);
  for (int i = 0; i < 20; i++)
    push_plain (0, SHORT_COST);
  pop_job ();
  all_us = jobs_us (19);
  ck_assert_uint_ge (queue_estimate_wait_us (queue, teams[0], SHORT_COST),
                     all_us);
  ck_assert_uint_le (queue_estimate_wait_us (queue, teams[1], SHORT_COST),
                     jobs_us (3));
  ck_assert_ptr_nonnull (
      push_job (1, SHORT_COST, QUEUE_NORMAL, clock_us (manual) + jobs_us (6)));
  serve (2, served);
  ck_assert_uint_eq (served[1], SHORT_COST);
  /* Nor does a heavy team with little waiting make the wait longer than all
     that waits.  */
  queue_set_weight (queue, teams[2], 1000);
  push_plain (2, SHORT_COST);
  ck_assert_uint_le (queue_estimate_wait_us (queue, teams[0], SHORT_COST),
                     jobs_us (queue_waiting_count (queue) + 1));
}
END_TEST

/* The upstream turns slow after a job was taken in.  Its caller must hear as
   soon as it cannot be done, not when its turn would have come.  */
START_TEST (lapsed_is_handed_back_at_once)
{
  uint64_t served[3] = { 0 };
  job_t *late;
  uint64_t lapse_us;

  push_plain (0, SHORT_COST);
  serve (1, served);
  push_plain (0, SHORT_COST);
  push_plain (0, SHORT_COST);
  late = push_job (0, SHORT_COST, QUEUE_NORMAL,
                   clock_us (manual) + jobs_us (8));
  ck_assert_ptr_nonnull (late);
  pop_job ();
  lapse_us = queue_next_expiry_us (queue);
  ck_assert_uint_eq (lapse_us, clock_us (manual) + jobs_us (7));
  clock_manual_advance_us (manual, lapse_us - clock_us (manual) - 1);
  ck_assert_ptr_null (queue_pop_expired (queue));
  clock_manual_advance_us (manual, 1);
  ck_assert_ptr_eq (queue_pop_expired (queue), &late->waiter);
  ck_assert_ptr_null (queue_pop_expired (queue));
  ck_assert_uint_eq (queue_waiting_count (queue), 1);
}
END_TEST

START_TEST (full_queue_refuses_the_greediest)
{
  queue_config_t config = { .max_waiters = 10 };
  job_t *small;

  queue_destroy (queue);
  queue = queue_create (&config, manual);
  for (int i = 0; i < 10; i++)
    ck_assert_ptr_nonnull (push_plain (0, 100));
  ck_assert_ptr_null (push_plain (0, 100));
  small = push_plain (1, 100);
  ck_assert_ptr_nonnull (small);
  ck_assert_uint_eq (queue_waiting_count (queue), 10);
  ck_assert (!jobs[9].waiting);
  ck_assert (jobs[0].waiting);
}
END_TEST

START_TEST (heap_stays_in_order)
{
  enum
  {
    NODES = 200
  };
  heap_t heap = { 0 };
  heap_node_t nodes[NODES] = { 0 };
  rng_t rng = rng_make (9);

  for (int step = 0; step < 5000; step++)
    {
      heap_node_t *node = &nodes[rng_below (&rng, NODES)];

      node->tie = (uint64_t)step;
      if (node->position != 0)
        heap_remove (&heap, node);
      else
        {
          node->key = rng_below (&rng, 1000);
          heap_push (&heap, node);
        }
      for (uint32_t i = 1; i < heap.count; i++)
        ck_assert_uint_le (heap.nodes[(i - 1) / 2]->key, heap.nodes[i]->key);
    }
  heap_free (&heap);
}
END_TEST

START_TEST (cancel_anywhere)
{
  rng_t rng = rng_make (3);
  uint32_t waiting = 0;

  queue_set_slots (queue, 4);
  for (int step = 0; step < 20000; step++)
    {
      job_t *job = &jobs[rng_below (&rng, 500)];
      queue_job_t wish
          = { teams[rng_below (&rng, 3)],
              rng_below (&rng, 2) ? SHORT_COST : LONG_COST,
              (queue_priority_t)rng_below (&rng, 3), QUEUE_NO_DEADLINE };
      queue_waiter_t *evicted;

      if (job->waiting)
        {
          queue_cancel (queue, &job->waiter);
          job->waiting = false;
          waiting--;
        }
      else
        {
          ck_assert_int_eq (queue_push (queue, &job->waiter, &wish, &evicted),
                            VH_OK);
          job->waiting = true;
          waiting++;
        }
      if (rng_below (&rng, 4) == 0 && (job = pop_job ()) != NULL)
        {
          waiting--;
          queue_cancel (queue, &job->waiter);
        }
      ck_assert_uint_eq (queue_waiting_count (queue), waiting);
      ck_assert_uint_eq (queue_running_count (queue), 0);
    }
  while (pop_job () != NULL)
    waiting--;
  ck_assert_uint_ge (waiting, queue_waiting_count (queue));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("queue");
  TCase *tcase = tcase_create ("queue");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, teams_share_by_weight_not_by_number);
  tcase_add_test (tcase, modest_estimates_gain_nothing);
  tcase_add_test (tcase, idle_time_is_neither_debt_nor_credit);
  tcase_add_test (tcase, a_pause_earns_a_small_burst);
  tcase_add_test (tcase, estimate_learns_from_the_waits_seen);
  tcase_add_test (tcase, load_is_what_a_newcomer_finds);
  tcase_add_test (tcase, priority_orders_within_a_team_only);
  tcase_add_test (tcase, low_priority_is_not_starved);
  tcase_add_test (tcase, long_job_is_not_starved);
  tcase_add_test (tcase, short_jobs_find_a_slot_among_long_ones);
  tcase_add_test (tcase, reserve_outlasts_a_dip_of_the_limit);
  tcase_add_test (tcase, long_jobs_keep_their_floor);
  tcase_add_test (tcase, reserve_is_not_kept_for_nobody);
  tcase_add_test (tcase, refuses_on_arrival_what_cannot_be_done);
  tcase_add_test (tcase, estimate_knows_the_team_share);
  tcase_add_test (tcase, lapsed_is_handed_back_at_once);
  tcase_add_test (tcase, full_queue_refuses_the_greediest);
  tcase_add_test (tcase, heap_stays_in_order);
  tcase_add_test (tcase, cancel_anywhere);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
