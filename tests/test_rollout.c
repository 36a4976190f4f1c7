/* Tests of roll-outs that depend on measured results, with simulated
   traffic.  */

#include "base/rng.h"
#include "policy/rollout.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

#define START_MS ((uint64_t)1700000000000)

/* Difference of the new version from the old one, for one task class or for
   all.  */
typedef struct
{
  const char *name;
  double rating;
  double error;
  double latency;       /* Factor on the latency.  */
  int task;             /* Index of the affected task class; -1 for all.  */
  uint64_t exposed_max; /* Largest number of requests that the version may get,
                           on average.  */
} regression_t;

enum
{
  TASKS = 3,
  REQUESTS_MAX = 200000,
  SEEDS = 200
};

static const char *const tasks[TASKS] = { "draft", "answer", "tag" };

typedef struct
{
  rng_t rng;
  rollout_run_t *run;
  regression_t regression;
  uint64_t now_ms;
  uint64_t requests;
  /* First request of the range for which the rating service returns 0.  */
  uint64_t zero_rating_from;
  uint64_t zero_rating_until; /* First request after the range.  */
  bool is_rating_down;
  /* Whether the mix of task classes changes with the time of day.  */
  bool has_changing_mix;
} simulation_t;

static double
draw_normal (rng_t *rng)
{
  double u = 1 - rng_double (rng);

  return sqrt (-2 * log (u)) * cos (6.283185307 * rng_double (rng));
}

static int
draw_task (simulation_t *sim)
{
  double u = rng_double (&sim->rng);

  if (sim->has_changing_mix && (sim->requests / 20000) % 2 == 1)
    u = 1 - u;
  return u < 0.5 ? 0 : u < 0.8 ? 1 : 2;
}

static rollout_sample_t
draw_sample (simulation_t *sim, rollout_arm_t arm, int task)
{
  static const double means[TASKS] = { 0.9, 0.8, 0.6 };
  bool is_affected
      = arm == ROLLOUT_ARM_NEW
        && (sim->regression.task < 0 || sim->regression.task == task);
  double error = 0.005 + (is_affected ? sim->regression.error : 0);
  double rating = means[task] + 0.15 * draw_normal (&sim->rng);
  rollout_sample_t s = { .finished = true };

  s.failed = rng_double (&sim->rng) < error;
  s.latency_ms = 800 * exp (0.4 * draw_normal (&sim->rng));
  if (is_affected)
    s.latency_ms *= sim->regression.latency;
  s.rated = !s.failed && !sim->is_rating_down
            && rng_double (&sim->rng) < rollout_rating_share (sim->run, arm);
  s.rating = rating - (is_affected ? sim->regression.rating : 0);
  if (sim->requests >= sim->zero_rating_from
      && sim->requests < sim->zero_rating_until)
    s.rating = 0;
  return s;
}

/* Simulate one request, at ten requests a second, and let the roll-out decide
   once a second.  */
static void
simulate_request (simulation_t *sim)
{
  bool is_new = rollout_is_assigned (sim->run, rng_u64 (&sim->rng));
  rollout_arm_t arm = is_new ? ROLLOUT_ARM_NEW : ROLLOUT_ARM_OLD;
  int task = draw_task (sim);

  rollout_count_exposure (sim->run, arm, sim->now_ms);
  rollout_sample_t s = draw_sample (sim, arm, task);
  rollout_observe (sim->run, arm, str_from (tasks[task]), &s, sim->now_ms);
  sim->requests++;
  sim->now_ms += 100;
  if (sim->requests % 10 == 0)
    rollout_decide (sim->run, sim->now_ms);
}

static bool
has_ended (const simulation_t *sim)
{
  rollout_phase_t phase = rollout_phase (sim->run);

  return sim->requests >= REQUESTS_MAX || phase == ROLLOUT_PHASE_HALTED
         || phase == ROLLOUT_PHASE_COMPLETE;
}

static simulation_t
simulation_create (uint64_t seed, const regression_t *regression)
{
  simulation_t sim = { .rng = rng_make (seed * 7919 + 1),
                       .regression = *regression,
                       .now_ms = START_MS };

  sim.run = rollout_create (seed + 1, STR ("small@2"), START_MS);
  return sim;
}

static const regression_t no_regression = { "none", 0, 0, 1, -1, 0 };

static const regression_t regressions[] = {
  { "clearly worse", 0.3, 0, 1, -1, 20 },
  { "slightly worse", 0.05, 0, 1, -1, 700 },
  { "one task class worse", 0.25, 0, 1, 2, 120 },
  { "only slower", 0, 0, 1.5, -1, 40 },
  { "only erring", 0, 0.2, 1, -1, 120 },
  { "always erring", 0, 1, 1, -1, 20 },
};

/* The operator starts the roll-out of a version that is worse in one way.  It
   would go on, or stop only after many callers got the version.  */
START_TEST (bad_version_is_not_halted)
{
  const regression_t *regression = &regressions[_i];
  uint64_t exposed = 0;

  for (uint64_t seed = 0; seed < SEEDS / 4; seed++)
    {
      simulation_t sim = simulation_create (seed, regression);
      while (!has_ended (&sim))
        simulate_request (&sim);
      ck_assert_msg (rollout_phase (sim.run) == ROLLOUT_PHASE_HALTED,
                     "%s, seed %d: %s", regression->name, (int)seed,
                     rollout_phase_name (rollout_phase (sim.run)));
      ck_assert_double_eq (rollout_share (sim.run), 0);
      exposed += rollout_exposed_count (sim.run);
      rollout_destroy (sim.run);
    }
  ck_assert_msg (exposed / (SEEDS / 4) <= regression->exposed_max,
                 "%s: %d requests on average", regression->name,
                 (int)(exposed / (SEEDS / 4)));
}
END_TEST

/* Run roll-outs with the seeds below SEEDS.  Return how many halted, in
   percent, and in *COMPLETE how many completed.  */
static double
percent_of_runs_halted (simulation_t (*create) (uint64_t seed), uint64_t seeds,
                        double *complete)
{
  double halted = 0;

  *complete = 0;
  for (uint64_t seed = 0; seed < seeds; seed++)
    {
      simulation_t sim = create (seed);
      while (!has_ended (&sim))
        simulate_request (&sim);
      halted += rollout_phase (sim.run) == ROLLOUT_PHASE_HALTED;
      *complete += rollout_phase (sim.run) == ROLLOUT_PHASE_COMPLETE;
      rollout_destroy (sim.run);
    }
  *complete *= 100.0 / (double)seeds;
  return halted * 100 / (double)seeds;
}

static simulation_t
create_good (uint64_t seed)
{
  return simulation_create (seed, &no_regression);
}

static simulation_t
create_with_zero_ratings (uint64_t seed)
{
  simulation_t sim = simulation_create (seed, &no_regression);

  sim.zero_rating_from = 2000 + 500 * (seed % 7);
  sim.zero_rating_until = sim.zero_rating_from + 12000;
  return sim;
}

static simulation_t
create_with_changing_mix (uint64_t seed)
{
  simulation_t sim = simulation_create (seed, &no_regression);

  sim.has_changing_mix = true;
  return sim;
}

/* A version is as good as the old one.  By chance at most one roll-out in
   twenty may halt, and the others must complete.  */
START_TEST (good_version_does_not_complete)
{
  double complete;
  double halted = percent_of_runs_halted (create_good, SEEDS, &complete);

  ck_assert_double_lt (halted, 5);
  ck_assert_double_ge (complete, 95);
}
END_TEST

/* For twenty minutes in the middle of a good version's roll-out the rating
   service returns 0 for all answers.  Both versions have the same low ratings,
   which must not count against the new one.  */
START_TEST (zero_ratings_halt_a_good_version)
{
  double complete;

  ck_assert_double_lt (
      percent_of_runs_halted (create_with_zero_ratings, SEEDS, &complete), 5);
}
END_TEST

/* The mix of task classes changes while the share rises, so that the new
   version gets more difficult tasks.  Compared without strata, its ratings
   would be lower.  */
START_TEST (change_of_task_mix_halts_a_good_version)
{
  double complete;

  ck_assert_double_lt (
      percent_of_runs_halted (create_with_changing_mix, SEEDS / 2, &complete),
      5);
}
END_TEST

/* The rating service is down from the start, so that worse answers cannot be
   detected.  Without a cap on the requests of a step the version would get its
   share for good; a resume by the operator grants the cap once more.  */
START_TEST (cap_is_exceeded_without_ratings)
{
  simulation_t sim = simulation_create (4, &no_regression);
  uint64_t cap = rollout_exposure_cap (sim.run);

  sim.is_rating_down = true;
  while (sim.requests < REQUESTS_MAX)
    simulate_request (&sim);
  ck_assert_int_eq (rollout_phase (sim.run), ROLLOUT_PHASE_CAP_REACHED);
  ck_assert_uint_eq (rollout_exposed_count (sim.run), cap);
  ck_assert (!rollout_is_assigned (sim.run, 12345));
  ck_assert (rollout_resume (sim.run));
  ck_assert_uint_eq (rollout_exposure_cap (sim.run), 2 * cap);
  for (int i = 0; i < REQUESTS_MAX; i++)
    simulate_request (&sim);
  ck_assert_uint_eq (rollout_exposed_count (sim.run), 2 * cap);
  /* A pause before the resume must not reduce the cap that the resume
     grants.  */
  ck_assert_int_eq (rollout_phase (sim.run), ROLLOUT_PHASE_CAP_REACHED);
  ck_assert (rollout_pause (sim.run));
  sim.is_rating_down = false;
  ck_assert (rollout_resume (sim.run));
  ck_assert_uint_eq (rollout_exposure_cap (sim.run), 3 * cap);
  for (int i = 0; i < REQUESTS_MAX && rollout_step_index (sim.run) == 0; i++)
    simulate_request (&sim);
  ck_assert_uint_ge (rollout_step_index (sim.run), 1);
  rollout_destroy (sim.run);
}
END_TEST

/* The lease holder is gone, so that no process takes decisions.  Without a cap
   in each process the version would get its share for good.  */
START_TEST (cap_is_exceeded_without_a_lease_holder)
{
  rollout_run_t *run = rollout_create (1, STR ("small@2"), START_MS);
  rng_t rng = rng_make (3);

  for (int i = 0; i < REQUESTS_MAX; i++)
    if (rollout_is_assigned (run, rng_u64 (&rng)))
      rollout_count_exposure (run, ROLLOUT_ARM_NEW, START_MS + (uint64_t)i);
  ck_assert_uint_eq (rollout_exposed_count (run), rollout_exposure_cap (run));
  rollout_destroy (run);
}
END_TEST

/* Replace the process that runs the roll-out by a new one that has only the
   written state.  */
static void
replace_process (simulation_t *sim, uint64_t writer)
{
  rollout_run_t *next = rollout_create (writer, STR ("small@2"), START_MS);
  buf_t state = BUF_NULL;

  rollout_write (sim->run, false, &state);
  ck_assert_int_eq (rollout_merge (next, buf_str (&state), sim->now_ms),
                    VH_OK);
  ck_assert_int_eq (rollout_merge (next, buf_str (&state), sim->now_ms),
                    VH_OK);
  buf_free (&state);
  rollout_destroy (sim->run);
  sim->run = next;
}

/* The process that holds the lease is replaced several times, also right after
   each step.  If the state did not hold all that decisions depend on, the
   roll-out would go on differently from one that is not interrupted.  */
START_TEST (replaced_lease_holder_decides_differently)
{
  for (size_t f = 0; f <= sizeof regressions / sizeof regressions[0]; f++)
    {
      const regression_t *regression
          = f == 0 ? &no_regression : &regressions[f - 1];
      simulation_t uninterrupted = simulation_create (9, regression);
      simulation_t interrupted = simulation_create (9, regression);
      uint64_t writer = 100;
      uint32_t replaced_at_step = UINT32_MAX;
      while (!has_ended (&uninterrupted))
        {
          simulate_request (&uninterrupted);
          simulate_request (&interrupted);
          ck_assert_int_eq (rollout_phase (uninterrupted.run),
                            rollout_phase (interrupted.run));
          ck_assert_uint_eq (rollout_step_index (uninterrupted.run),
                             rollout_step_index (interrupted.run));
          ck_assert_uint_eq (rollout_exposed_count (uninterrupted.run),
                             rollout_exposed_count (interrupted.run));
          if (rollout_step_index (interrupted.run) != replaced_at_step
              || interrupted.requests % 4999 == 0)
            {
              replaced_at_step = rollout_step_index (interrupted.run);
              replace_process (&interrupted, writer++);
            }
        }
      ck_assert (has_ended (&interrupted));
      rollout_destroy (uninterrupted.run);
      rollout_destroy (interrupted.run);
    }
}
END_TEST

static bool
has_same_state (const rollout_run_t *a, const rollout_run_t *b)
{
  buf_t left = BUF_NULL;
  buf_t right = BUF_NULL;

  rollout_write (a, false, &left);
  rollout_write (b, false, &right);
  bool same = str_eq (buf_str (&left), buf_str (&right));
  buf_free (&left);
  buf_free (&right);
  return same;
}

/* Several processes observe parts of the answers, and messages between them
   arrive twice and in any order.  The processes would decide differently if
   their states differed.  */
START_TEST (merge_depends_on_order_or_redelivery)
{
  enum
  {
    WRITERS = 4,
    MESSAGES = 32,
    EXPOSED = MESSAGES * 10
  };
  rollout_run_t *writers[WRITERS];
  buf_t messages[MESSAGES];
  rng_t rng = rng_make (31);

  for (uint64_t i = 0; i < WRITERS; i++)
    writers[i] = rollout_create (i + 1, STR ("small@2"), START_MS);
  for (int m = 0; m < MESSAGES; m++)
    {
      rollout_run_t *run = writers[m % WRITERS];
      for (int i = 0; i < 20; i++)
        {
          rollout_arm_t arm = i % 2 == 0 ? ROLLOUT_ARM_NEW : ROLLOUT_ARM_OLD;
          rollout_sample_t s = { .finished = true,
                                 .latency_ms = 500 + 10 * i,
                                 .rated = true,
                                 .rating = rng_double (&rng) };
          rollout_count_exposure (run, arm, START_MS);
          rollout_observe (run, arm, STR ("draft"), &s, START_MS);
        }
      messages[m] = BUF_NULL;
      rollout_write (run, true, &messages[m]);
    }
  rollout_run_t *ordered = rollout_create (90, STR ("small@2"), START_MS);
  rollout_run_t *shuffled = rollout_create (91, STR ("small@2"), START_MS);
  for (int m = 0; m < MESSAGES; m++)
    rollout_merge (ordered, buf_str (&messages[m]), START_MS);
  for (int m = 0; m < 3 * MESSAGES; m++)
    rollout_merge (shuffled, buf_str (&messages[rng_below (&rng, MESSAGES)]),
                   START_MS);
  for (int m = MESSAGES - 1; m >= 0; m--)
    rollout_merge (shuffled, buf_str (&messages[m]), START_MS);
  ck_assert (has_same_state (ordered, shuffled));
  ck_assert_uint_eq (rollout_exposed_count (shuffled), EXPOSED);
  ck_assert_uint_eq (
      rollout_estimate (shuffled, ROLLOUT_METRIC_RATING).count_new, EXPOSED);
  for (int m = 0; m < MESSAGES; m++)
    buf_free (&messages[m]);
  for (int i = 0; i < WRITERS; i++)
    rollout_destroy (writers[i]);
  rollout_destroy (ordered);
  rollout_destroy (shuffled);
}
END_TEST

/* One process aborts a roll-out while another one receives the operator's
   pause.  The processes would end in different phases if the order of the
   messages counted.  */
START_TEST (less_cautious_decision_wins_a_conflict)
{
  rollout_run_t *a = rollout_create (1, STR ("small@2"), START_MS);
  rollout_run_t *b = rollout_create (2, STR ("small@2"), START_MS);
  buf_t from_a = BUF_NULL;
  buf_t from_b = BUF_NULL;

  ck_assert (rollout_abort (a));
  ck_assert (rollout_pause (b));
  rollout_write (a, true, &from_a);
  rollout_write (b, true, &from_b);
  rollout_merge (a, buf_str (&from_b), START_MS);
  rollout_merge (b, buf_str (&from_a), START_MS);
  ck_assert_int_eq (rollout_phase (a), ROLLOUT_PHASE_ABORTED);
  ck_assert_int_eq (rollout_phase (b), ROLLOUT_PHASE_ABORTED);
  ck_assert (!rollout_resume (a));
  ck_assert (has_same_state (a, b));
  buf_free (&from_a);
  buf_free (&from_b);
  rollout_destroy (a);
  rollout_destroy (b);
}
END_TEST

START_TEST (pause_changes_the_share_or_prevents_a_halt)
{
  simulation_t sim = simulation_create (2, &regressions[5]);

  ck_assert (rollout_pause (sim.run));
  ck_assert (!rollout_pause (sim.run));
  ck_assert_double_eq (rollout_share (sim.run), 0.01);
  while (!has_ended (&sim))
    simulate_request (&sim);
  ck_assert_int_eq (rollout_phase (sim.run), ROLLOUT_PHASE_HALTED);
  rollout_destroy (sim.run);

  simulation_t good = simulation_create (2, &no_regression);
  rollout_pause (good.run);
  for (int i = 0; i < 20000; i++)
    simulate_request (&good);
  ck_assert_uint_eq (rollout_step_index (good.run), 0);
  ck_assert (rollout_resume (good.run));
  while (!has_ended (&good))
    simulate_request (&good);
  ck_assert_int_eq (rollout_phase (good.run), ROLLOUT_PHASE_COMPLETE);
  rollout_destroy (good.run);
}
END_TEST

/* Processes must assign a session to the same version, and a session assigned
   to the new version must stay there when the share rises.  */
START_TEST (assignment_differs_or_reverts_to_the_old_version)
{
  enum
  {
    KEYS = 20000
  };
  static bool is_assigned_new[KEYS];
  simulation_t sim = simulation_create (6, &no_regression);
  rollout_run_t *other = rollout_create (77, STR ("small@2"), START_MS);
  uint32_t step = UINT32_MAX;

  while (!has_ended (&sim))
    {
      if (rollout_step_index (sim.run) != step)
        {
          buf_t state = BUF_NULL;
          int count = 0;
          step = rollout_step_index (sim.run);
          rollout_write (sim.run, false, &state);
          rollout_merge (other, buf_str (&state), sim.now_ms);
          buf_free (&state);
          for (uint64_t key = 0; key < KEYS; key++)
            {
              bool is_new = rollout_is_assigned (sim.run, key);
              ck_assert (is_new == rollout_is_assigned (other, key));
              ck_assert (is_new || !is_assigned_new[key]);
              is_assigned_new[key] = is_new;
              count += is_new;
            }
          ck_assert_double_eq_tol ((double)count / KEYS,
                                   rollout_share (sim.run), 0.012);
        }
      simulate_request (&sim);
    }
  ck_assert_double_eq (rollout_share (sim.run), 1);
  rollout_destroy (other);
  rollout_destroy (sim.run);
}
END_TEST

START_TEST (halt_reason_is_missing)
{
  simulation_t sim = simulation_create (1, &regressions[2]);
  buf_t text = BUF_NULL;

  while (!has_ended (&sim))
    simulate_request (&sim);
  rollout_explain (sim.run, &text);
  buf_append_char (&text, '\0');
  ck_assert_ptr_nonnull (strstr (text.ptr, "halted at step"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "rating worse by 0."));
  ck_assert_ptr_nonnull (strstr (text.ptr, "for tag"));
  buf_free (&text);
  rollout_destroy (sim.run);
}
END_TEST

START_TEST (malformed_message_changes_the_state)
{
  simulation_t sim = simulation_create (1, &no_regression);
  rollout_run_t *other = rollout_create (5, STR ("small@2"), START_MS);
  rollout_run_t *untouched = rollout_create (5, STR ("small@2"), START_MS);
  rollout_run_t *other_rollout = rollout_create (6, STR ("small@3"), START_MS);
  buf_t bytes = BUF_NULL;
  rng_t rng = rng_make (3);

  for (int i = 0; i < 2000; i++)
    simulate_request (&sim);
  rollout_write (sim.run, false, &bytes);
  for (size_t len = 0; len < bytes.len; len++)
    ck_assert_int_eq (
        rollout_merge (other, str_make (bytes.ptr, len), sim.now_ms),
        VH_E_PROTOCOL);
  ck_assert (has_same_state (other, untouched));
  ck_assert_int_eq (
      rollout_merge (other_rollout, buf_str (&bytes), sim.now_ms),
      VH_E_PROTOCOL);
  for (int i = 0; i < 3000; i++)
    {
      size_t at = rng_below (&rng, bytes.len);
      char original = bytes.ptr[at];
      bytes.ptr[at] = (char)rng_u64 (&rng);
      rollout_merge (other, buf_str (&bytes), sim.now_ms);
      rollout_decide (other, sim.now_ms);
      bytes.ptr[at] = original;
    }
  buf_free (&bytes);
  rollout_destroy (sim.run);
  rollout_destroy (other);
  rollout_destroy (untouched);
  rollout_destroy (other_rollout);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rollout");
  TCase *tcase = tcase_create ("rollout");

  tcase_set_timeout (tcase, 110);
  tcase_add_loop_test (tcase, bad_version_is_not_halted, 0,
                       (int)(sizeof regressions / sizeof regressions[0]));
  tcase_add_test (tcase, good_version_does_not_complete);
  tcase_add_test (tcase, zero_ratings_halt_a_good_version);
  tcase_add_test (tcase, change_of_task_mix_halts_a_good_version);
  tcase_add_test (tcase, cap_is_exceeded_without_ratings);
  tcase_add_test (tcase, cap_is_exceeded_without_a_lease_holder);
  tcase_add_test (tcase, replaced_lease_holder_decides_differently);
  tcase_add_test (tcase, merge_depends_on_order_or_redelivery);
  tcase_add_test (tcase, less_cautious_decision_wins_a_conflict);
  tcase_add_test (tcase, pause_changes_the_share_or_prevents_a_halt);
  tcase_add_test (tcase, assignment_differs_or_reverts_to_the_old_version);
  tcase_add_test (tcase, halt_reason_is_missing);
  tcase_add_test (tcase, malformed_message_changes_the_state);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
