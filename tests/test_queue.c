/* Tests of the order in which the queue runs its jobs, and of its refusals. */

#include "policy/queue.h"

#include "base/mem.h"
#include "base/rng.h"
#include "suite.h"

enum
{
  JOBS = 4000,
  SHORT_COST = 100,
  LONG_COST = 5000,
  /* Time of one unit of cost in a slot.  */
  UNIT_US = 1000
};

typedef struct
{
  queue_waiter_t waiter;
  int team;
  bool waiting;
} job_t;

static const str_t teams[] = { STR ("coast"), STR ("drift"), STR ("hills") };

static clock_iface_t *manual_clock;
static queue_t *queue;
static job_t jobs[JOBS];
static int job_count;

/* Return the time of N short jobs in sequence.  */
static uint64_t
jobs_us (uint64_t n)
{
  return n * SHORT_COST * UNIT_US;
}

static void
setup (void)
{
  manual_clock = clock_manual_create (0);
  queue = queue_create (NULL, manual_clock);
  memset (jobs, 0, sizeof jobs);
  job_count = 0;
}

static void
teardown (void)
{
  queue_destroy (queue);
  clock_manual_destroy (manual_clock);
}

/* Push the next job of JOBS and return the job, or NULL if the queue refused
   it.  */
static job_t *
push_job (int team, uint32_t cost, queue_priority_t priority,
          uint64_t deadline_us)
{
  job_t *job = &jobs[job_count++];
  queue_job_t description = { teams[team], cost, priority, deadline_us };
  queue_waiter_t *evicted;

  job->team = team;
  if (queue_push (queue, &job->waiter, &description, &evicted) != VH_OK)
    return NULL;
  job->waiting = true;
  if (evicted != NULL)
    CONTAINER_OF (evicted, job_t, waiter)->waiting = false;
  return job;
}

static job_t *
push_normal (int team, uint32_t cost)
{
  return push_job (team, cost, QUEUE_PRIORITY_NORMAL, QUEUE_NO_DEADLINE);
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
  clock_manual_advance_us (manual_clock, (uint64_t)used * UNIT_US);
  queue_done (queue, &job->waiter, (uint64_t)used * UNIT_US, used);
}

/* Pop and run N jobs, and add the cost of each job to SERVED of its team.  */
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

/* Failure: one team fills the queue before the others send requests, and they
   wait for all its jobs, as in a first-come, first-served queue.  */
START_TEST (teams_are_served_by_weight_not_request_count)
{
  uint64_t served[3] = { 0 };

  queue_set_weight (queue, teams[1], 2);
  for (int i = 0; i < 1000; i++)
    push_normal (0, 10);
  for (int i = 0; i < 200; i++)
    push_normal (1, 100);
  for (int i = 0; i < 200; i++)
    push_normal (2, 50);
  serve (200, served);
  /* The served costs are 1 : 2 : 1, within the cost of one job.  */
  ck_assert_uint_le (served[1], served[0] * 2 + 200);
  ck_assert_uint_ge (served[1] + 200, served[0] * 2);
  ck_assert_uint_le (served[2], served[0] + 100);
  ck_assert_uint_ge (served[2] + 100, served[0]);
}
END_TEST

/* Failure: a team gets twenty times its share by estimating ten tokens for
   jobs that use two hundred.  The actual cost must be charged.  */
START_TEST (low_estimates_gain_no_service)
{
  uint64_t used[2] = { 0 };

  for (int i = 0; i < 1000; i++)
    {
      push_normal (0, 10);
      push_normal (1, 200);
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

/* Failure: a team pays for service that it took while the upstream was idle,
   or a team saves more unused service than QUEUE_CREDIT_JOBS jobs.  */
START_TEST (idle_period_gives_no_debt_and_bounded_credit)
{
  uint64_t served[3] = { 0 };

  for (int i = 0; i < 100; i++)
    {
      push_normal (0, 100);
      serve (1, served);
    }
  served[0] = 0;
  for (int i = 0; i < 100; i++)
    push_normal (0, 100);
  for (int i = 0; i < 100; i++)
    push_normal (1, 100);
  serve (100, served);
  ck_assert_uint_le (served[0], served[1]);
  ck_assert_uint_le (served[1],
                     served[0] + ((uint64_t)QUEUE_CREDIT_JOBS + 1) * 100);
}
END_TEST

/* Failure: three simultaneous requests of a mostly idle team wait for each
   other, because the team is served at the rate of its share.  */
START_TEST (idle_team_may_send_small_burst)
{
  uint64_t served[3] = { 0 };

  for (int i = 0; i < 400; i++)
    push_normal (0, 100);
  push_normal (1, 100);
  serve (100, served);
  ck_assert_uint_eq (served[1], 100);
  for (int i = 0; i < 3; i++)
    push_normal (1, 100);
  serve (4, served);
  ck_assert_uint_eq (served[1], 400);
}
END_TEST

/* Failure: the estimated wait is far too short.  One team takes most of the
   service without jobs in the queue, as its jobs are served first.  The wait
   of the other team follows from its past waits, not from the waiting jobs. */
START_TEST (wait_estimate_follows_past_waits)
{
  uint64_t served[3] = { 0 };
  uint64_t estimated_us;
  uint64_t start_us;
  job_t *last;

  queue_set_weight (queue, teams[1], 9);
  for (int i = 0; i < 300; i++)
    push_normal (0, 100);
  for (int i = 0; i < 300; i++)
    {
      push_normal (1, 100);
      serve (1, served);
    }
  last = push_normal (0, 100);
  estimated_us = queue_estimate_wait_us (queue, teams[0], 100);
  start_us = clock_us (manual_clock);
  while (last->waiting)
    {
      push_normal (1, 100);
      serve (1, served);
    }
  ck_assert_uint_ge (estimated_us * 10,
                     (clock_us (manual_clock) - start_us) * 7);
  ck_assert_uint_le (estimated_us * 10,
                     (clock_us (manual_clock) - start_us) * 13);
}
END_TEST

/* Failure: a new team is sent to the upstream with the longer wait.  Two
   upstreams have twenty waiting jobs each, one of a single team and one of ten
   teams.  A new team waits less at the first, whose load must be lower.  */
START_TEST (load_counts_work_ahead_of_new_team)
{
  uint32_t one_team_load;
  char name[] = "team-0";

  ck_assert_uint_eq (queue_load (queue), 0);
  for (int i = 0; i < 20; i++)
    push_normal (0, 100);
  one_team_load = queue_load (queue);
  queue_destroy (queue);
  queue = queue_create (NULL, manual_clock);
  for (int i = 0; i < 20; i++)
    {
      job_t *job = &jobs[job_count++];
      queue_job_t description
          = { str_from (name), 100, QUEUE_PRIORITY_NORMAL, QUEUE_NO_DEADLINE };
      queue_waiter_t *evicted;

      name[5] = (char)('0' + i % 10);
      ck_assert_int_eq (
          queue_push (queue, &job->waiter, &description, &evicted), VH_OK);
    }
  ck_assert_uint_gt (queue_load (queue) / 2, one_team_load);
  ck_assert_uint_gt (one_team_load, 3);
}
END_TEST

START_TEST (priority_orders_jobs_within_team_only)
{
  job_t *low = push_job (0, 10, QUEUE_PRIORITY_LOW, QUEUE_NO_DEADLINE);
  job_t *normal = push_job (0, 10, QUEUE_PRIORITY_NORMAL, QUEUE_NO_DEADLINE);
  job_t *high = push_job (0, 10, QUEUE_PRIORITY_HIGH, QUEUE_NO_DEADLINE);
  uint64_t served[3] = { 0 };

  ck_assert_ptr_eq (pop_job (), high);
  ck_assert_ptr_eq (pop_job (), normal);
  ck_assert_ptr_eq (pop_job (), low);
  for (int i = 0; i < 100; i++)
    push_job (0, 10, QUEUE_PRIORITY_HIGH, QUEUE_NO_DEADLINE);
  for (int i = 0; i < 100; i++)
    push_job (1, 10, QUEUE_PRIORITY_LOW, QUEUE_NO_DEADLINE);
  serve (100, served);
  ck_assert_uint_ge (served[1], 480);
}
END_TEST

START_TEST (low_priority_is_not_starved)
{
  job_t *low = push_job (0, 10, QUEUE_PRIORITY_LOW, QUEUE_NO_DEADLINE);
  uint64_t start_us = clock_us (manual_clock);

  while (low->waiting)
    {
      push_job (0, 10, QUEUE_PRIORITY_HIGH, QUEUE_NO_DEADLINE);
      run_job (pop_job (), 10);
    }
  ck_assert_uint_le (clock_us (manual_clock) - start_us,
                     (QUEUE_PRIORITY_LOW * QUEUE_REORDER_MAX_MS + 100)
                         * 1000ul);
}
END_TEST

/* Failure: a very long job starves behind shorter jobs of its team.  Its delay
   must be bounded.  */
START_TEST (very_long_job_is_not_starved)
{
  job_t *long_job;
  uint64_t start_us;

  run_job ((push_normal (0, LONG_COST), pop_job ()), LONG_COST);
  start_us = clock_us (manual_clock);
  long_job = push_normal (0, LONG_COST * 20);
  while (long_job->waiting)
    {
      push_normal (0, QUEUE_LONG_COST_MIN);
      run_job (pop_job (), QUEUE_LONG_COST_MIN);
    }
  ck_assert_uint_le (clock_us (manual_clock) - start_us,
                     (QUEUE_REORDER_MAX_MS + 1000) * 1000ul);
}
END_TEST

/* Failure: a short job waits minutes for a slot, because long jobs filled the
   queue first and hold every slot.  */
START_TEST (long_jobs_leave_slots_for_short_jobs)
{
  int long_count = 0;
  job_t *short_job;

  queue_set_slots (queue, 8);
  run_job ((push_normal (1, SHORT_COST), pop_job ()), SHORT_COST);
  for (int i = 0; i < 50; i++)
    push_normal (0, LONG_COST);
  while (pop_job () != NULL)
    long_count++;
  ck_assert_int_eq (long_count, 6);
  short_job = push_normal (0, SHORT_COST);
  ck_assert_ptr_eq (pop_job (), short_job);
}
END_TEST

/* Failure: a short job waits a minute for a slot.  The number of slots
   oscillates between eight and twelve, and long jobs started at twelve hold
   all slots at eight.  */
START_TEST (reserved_slots_survive_drop_of_limit)
{
  int long_count = 0;

  queue_set_slots (queue, 8);
  run_job ((push_normal (1, SHORT_COST), pop_job ()), SHORT_COST);
  clock_manual_advance_us (manual_clock, 1000000);
  queue_set_slots (queue, 12);
  for (int i = 0; i < 50; i++)
    push_normal (0, LONG_COST);
  for (; pop_job () != NULL; long_count++)
    ;
  ck_assert_int_eq (long_count, 6);
  /* Once the number of slots has stayed high, more long jobs may run.  */
  clock_manual_advance_us (manual_clock, 10000000);
  queue_set_slots (queue, 12);
  for (; pop_job () != NULL; long_count++)
    ;
  ck_assert_int_eq (long_count, 9);
}
END_TEST

START_TEST (long_jobs_keep_minimum_share)
{
  int long_count = 0;

  queue_set_slots (queue, 8);
  for (int i = 0; i < 20; i++)
    push_normal (0, LONG_COST);
  for (int i = 0; i < 20; i++)
    push_normal (1, SHORT_COST);
  for (int i = 0; i < 8; i++)
    if (pop_job ()->waiter.cost == LONG_COST)
      long_count++;
  ck_assert_int_eq (long_count, 2);
}
END_TEST

START_TEST (no_slots_reserved_without_short_jobs)
{
  int long_count = 0;

  queue_set_slots (queue, 8);
  for (int i = 0; i < 20; i++)
    push_normal (0, LONG_COST);
  for (; long_count < 8 && pop_job () != NULL; long_count++)
    ;
  ck_assert_int_eq (long_count, 8);
}
END_TEST

/* Failure: under overload, jobs wait until their deadline and are refused only
   then, or are run for a caller that has left.  They must be refused on
   arrival, while their callers can still try elsewhere.  */
START_TEST (job_that_cannot_meet_deadline_is_refused_on_arrival)
{
  uint64_t deadline_us;
  uint64_t served[3] = { 0 };
  int accepted = 0;

  push_normal (0, SHORT_COST);
  serve (1, served);
  deadline_us = clock_us (manual_clock) + jobs_us (10);
  for (int i = 0; i < 30; i++)
    if (push_job (0, SHORT_COST, QUEUE_PRIORITY_NORMAL, deadline_us) != NULL)
      accepted++;
  /* Ten jobs fit at most; the wait may take half of the slack of nine jobs. */
  ck_assert_int_ge (accepted, 4);
  ck_assert_int_le (accepted, 6);
  /* The accepted jobs end by their deadline.  */
  for (; accepted > 0; accepted--)
    {
      ck_assert_ptr_null (queue_pop_expired (queue));
      serve (1, served);
    }
  ck_assert_uint_le (clock_us (manual_clock), deadline_us);
}
END_TEST

/* Failure: a team without waiting jobs is refused because another team has
   filled the queue up to its deadlines, although its job would run next.  */
START_TEST (wait_estimate_considers_team_share)
{
  uint64_t served[3] = { 0 };
  uint64_t waiting_us;

  push_normal (0, SHORT_COST);
  serve (1, served);
  for (int i = 0; i < 20; i++)
    push_normal (0, SHORT_COST);
  pop_job ();
  waiting_us = jobs_us (19);
  ck_assert_uint_ge (queue_estimate_wait_us (queue, teams[0], SHORT_COST),
                     waiting_us);
  ck_assert_uint_le (queue_estimate_wait_us (queue, teams[1], SHORT_COST),
                     jobs_us (3));
  ck_assert_ptr_nonnull (push_job (1, SHORT_COST, QUEUE_PRIORITY_NORMAL,
                                   clock_us (manual_clock) + jobs_us (6)));
  serve (2, served);
  ck_assert_uint_eq (served[1], SHORT_COST);
  /* A team of large weight with few waiting jobs does not raise the estimate
     above the time of all waiting jobs.  */
  queue_set_weight (queue, teams[2], 1000);
  push_normal (2, SHORT_COST);
  ck_assert_uint_le (queue_estimate_wait_us (queue, teams[0], SHORT_COST),
                     jobs_us (queue_waiting_count (queue) + 1));
}
END_TEST

/* Failure: a job that can no longer meet its deadline is refused only when its
   turn comes.  The upstream becomes slow after the job was accepted, and the
   job must expire as soon as it can no longer end in time.  */
START_TEST (expired_job_is_returned_at_once)
{
  uint64_t served[3] = { 0 };
  job_t *late_job;
  uint64_t expiry_us;

  push_normal (0, SHORT_COST);
  serve (1, served);
  push_normal (0, SHORT_COST);
  push_normal (0, SHORT_COST);
  late_job = push_job (0, SHORT_COST, QUEUE_PRIORITY_NORMAL,
                       clock_us (manual_clock) + jobs_us (8));
  ck_assert_ptr_nonnull (late_job);
  pop_job ();
  expiry_us = queue_next_expiry_us (queue);
  ck_assert_uint_eq (expiry_us, clock_us (manual_clock) + jobs_us (7));
  clock_manual_advance_us (manual_clock,
                           expiry_us - clock_us (manual_clock) - 1);
  ck_assert_ptr_null (queue_pop_expired (queue));
  clock_manual_advance_us (manual_clock, 1);
  ck_assert_ptr_eq (queue_pop_expired (queue), &late_job->waiter);
  ck_assert_ptr_null (queue_pop_expired (queue));
  ck_assert_uint_eq (queue_waiting_count (queue), 1);
}
END_TEST

START_TEST (full_queue_evicts_job_of_most_backlogged_team)
{
  queue_config_t config = { .max_waiters = 10 };
  job_t *small_team_job;

  queue_destroy (queue);
  queue = queue_create (&config, manual_clock);
  for (int i = 0; i < 10; i++)
    ck_assert_ptr_nonnull (push_normal (0, 100));
  ck_assert_ptr_null (push_normal (0, 100));
  small_team_job = push_normal (1, 100);
  ck_assert_ptr_nonnull (small_team_job);
  ck_assert_uint_eq (queue_waiting_count (queue), 10);
  ck_assert (!jobs[9].waiting);
  ck_assert (jobs[0].waiting);
}
END_TEST

START_TEST (heap_keeps_order)
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

START_TEST (jobs_can_be_cancelled_in_any_state)
{
  rng_t rng = rng_make (3);
  uint32_t waiting = 0;

  queue_set_slots (queue, 4);
  for (int step = 0; step < 20000; step++)
    {
      job_t *job = &jobs[rng_below (&rng, 500)];
      queue_job_t description
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
          ck_assert_int_eq (
              queue_push (queue, &job->waiter, &description, &evicted), VH_OK);
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
  tcase_add_test (tcase, teams_are_served_by_weight_not_request_count);
  tcase_add_test (tcase, low_estimates_gain_no_service);
  tcase_add_test (tcase, idle_period_gives_no_debt_and_bounded_credit);
  tcase_add_test (tcase, idle_team_may_send_small_burst);
  tcase_add_test (tcase, wait_estimate_follows_past_waits);
  tcase_add_test (tcase, load_counts_work_ahead_of_new_team);
  tcase_add_test (tcase, priority_orders_jobs_within_team_only);
  tcase_add_test (tcase, low_priority_is_not_starved);
  tcase_add_test (tcase, very_long_job_is_not_starved);
  tcase_add_test (tcase, long_jobs_leave_slots_for_short_jobs);
  tcase_add_test (tcase, reserved_slots_survive_drop_of_limit);
  tcase_add_test (tcase, long_jobs_keep_minimum_share);
  tcase_add_test (tcase, no_slots_reserved_without_short_jobs);
  tcase_add_test (tcase, job_that_cannot_meet_deadline_is_refused_on_arrival);
  tcase_add_test (tcase, wait_estimate_considers_team_share);
  tcase_add_test (tcase, expired_job_is_returned_at_once);
  tcase_add_test (tcase, full_queue_evicts_job_of_most_backlogged_team);
  tcase_add_test (tcase, heap_keeps_order);
  tcase_add_test (tcase, jobs_can_be_cancelled_in_any_state);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
