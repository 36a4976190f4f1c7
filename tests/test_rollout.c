/* Tests of the roll-out by evidence.  */

#include "base/rng.h"
#include "policy/rollout.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

#define START_MS ((uint64_t)1700000000000)

/* How the new version differs from the old one, and for which task class
   (-1: all).  */
typedef struct
{
  const char *name;
  double rating;
  double error;
  double latency; /* Factor.  */
  int task;
  uint64_t shown_most; /* Requests it may be shown on average.  */
} fault_t;

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
  fault_t fault;
  uint64_t now_ms;
  uint64_t requests;
  /* From this request to that one the rating service answers 0.  */
  uint64_t wrong_from;
  uint64_t wrong_to;
  bool no_ratings;
  /* The task classes' shares swing with the time of day.  */
  bool swinging;
} world_t;

static double
normal (rng_t *rng)
{
  double u = 1 - rng_double (rng);

  return sqrt (-2 * log (u)) * cos (6.283185307 * rng_double (rng));
}

static int
draw_task (world_t *w)
{
  double u = rng_double (&w->rng);

  if (w->swinging && (w->requests / 20000) % 2 == 1)
    u = 1 - u;
  return u < 0.5 ? 0 : u < 0.8 ? 1 : 2;
}

static rollout_sample_t
draw_sample (world_t *w, rollout_arm_t arm, int task)
{
  static const double means[TASKS] = { 0.9, 0.8, 0.6 };
  bool hit
      = arm == ROLLOUT_NEW && (w->fault.task < 0 || w->fault.task == task);
  double error = 0.005 + (hit ? w->fault.error : 0);
  double rating = means[task] + 0.15 * normal (&w->rng);
  rollout_sample_t s = { .finished = true };

  s.failed = rng_double (&w->rng) < error;
  s.latency_ms = 800 * exp (0.4 * normal (&w->rng));
  if (hit)
    s.latency_ms *= w->fault.latency;
  s.rated = !s.failed && !w->no_ratings
            && rng_double (&w->rng) < rollout_rating_share (w->run, arm);
  s.rating = rating - (hit ? w->fault.rating : 0);
  if (w->requests >= w->wrong_from && w->requests < w->wrong_to)
    s.rating = 0;
  return s;
}

/* Send one request; ten a second, a look at the evidence every second.  */
static void
world_request (world_t *w)
{
  bool fresh = rollout_is_assigned (w->run, rng_u64 (&w->rng));
  rollout_arm_t arm = fresh ? ROLLOUT_NEW : ROLLOUT_OLD;
  int task = draw_task (w);

  rollout_count_exposure (w->run, arm, w->now_ms);
  rollout_sample_t s = draw_sample (w, arm, task);
  rollout_observe (w->run, arm, str_from (tasks[task]), &s, w->now_ms);
  w->requests++;
  w->now_ms += 100;
  if (w->requests % 10 == 0)
    rollout_decide (w->run, w->now_ms);
}

static bool
world_ended (const world_t *w)
{
  rollout_phase_t phase = rollout_phase (w->run);

  return w->requests >= REQUESTS_MAX || phase == ROLLOUT_PHASE_HALTED
         || phase == ROLLOUT_PHASE_COMPLETE;
}

static world_t
world_make (uint64_t seed, const fault_t *fault)
{
  world_t w = { .rng = rng_make (seed * 7919 + 1),
                .fault = *fault,
                .now_ms = START_MS };

  w.run = rollout_create (seed + 1, STR ("small@2"), START_MS);
  return w;
}

static const fault_t no_fault = { "none", 0, 0, 1, -1, 0 };

static const fault_t faults[] = {
  { "clearly worse", 0.3, 0, 1, -1, 20 },
  { "slightly worse", 0.05, 0, 1, -1, 700 },
  { "one task class worse", 0.25, 0, 1, 2, 120 },
  { "only slower", 0, 0, 1.5, -1, 40 },
  { "only erring", 0, 0.2, 1, -1, 120 },
  { "always erring", 0, 1, 1, -1, 20 },
};

/* An operator starts the roll-out of a version that is worse in one way.
   It must halt by itself, each time, before many callers have seen it.  */
START_TEST (bad_version_is_halted)
{
  const fault_t *fault = &faults[_i];
  uint64_t shown = 0;

  for (uint64_t seed = 0; seed < SEEDS / 4; seed++)
    {
      world_t w = world_make (seed, fault);
      while (!world_ended (&w))
        world_request (&w);
      ck_assert_msg (rollout_phase (w.run) == ROLLOUT_PHASE_HALTED,
                     "%s, seed %d: %s", fault->name, (int)seed,
                     rollout_phase_name (rollout_phase (w.run)));
      ck_assert_double_eq (rollout_share (w.run), 0);
      shown += rollout_exposed_count (w.run);
      rollout_destroy (w.run);
    }
  ck_assert_msg (shown / (SEEDS / 4) <= fault->shown_most,
                 "%s: shown %d on average", fault->name,
                 (int)(shown / (SEEDS / 4)));
}
END_TEST

/* Run SEEDS roll-outs; return how many halted, in percent.  */
static double
percent_halted (world_t (*make) (uint64_t seed), uint64_t seeds,
                double *complete)
{
  double halted = 0;

  *complete = 0;
  for (uint64_t seed = 0; seed < seeds; seed++)
    {
      world_t w = make (seed);
      while (!world_ended (&w))
        world_request (&w);
      halted += rollout_phase (w.run) == ROLLOUT_PHASE_HALTED;
      *complete += rollout_phase (w.run) == ROLLOUT_PHASE_COMPLETE;
      rollout_destroy (w.run);
    }
  *complete *= 100.0 / (double)seeds;
  return halted * 100 / (double)seeds;
}

static world_t
make_good (uint64_t seed)
{
  return world_make (seed, &no_fault);
}

static world_t
make_wrong_rater (uint64_t seed)
{
  world_t w = world_make (seed, &no_fault);

  w.wrong_from = 2000 + 500 * (seed % 7);
  w.wrong_to = w.wrong_from + 12000;
  return w;
}

static world_t
make_swinging (uint64_t seed)
{
  world_t w = world_make (seed, &no_fault);

  w.swinging = true;
  return w;
}

/* A version as good as the old one.  At most one roll-out in twenty may halt,
   and the others must go through.  */
START_TEST (good_version_completes)
{
  double complete;
  double halted = percent_halted (make_good, SEEDS, &complete);

  ck_assert_double_lt (halted, 5);
  ck_assert_double_ge (complete, 95);
}
END_TEST

/* For twenty minutes in the middle of a roll-out of a good version the rating
   service answers 0 to everything.  Both versions look bad alike, so the
   roll-out must not halt for it.  */
START_TEST (wrong_rater_halts_no_good_version)
{
  double complete;

  ck_assert_double_lt (percent_halted (make_wrong_rater, SEEDS, &complete), 5);
}
END_TEST

/* The mix of task classes turns over while the share rises, so the new
   version's answers are harder ones.  Compared without strata it would look
   worse.  */
START_TEST (change_of_traffic_halts_no_good_version)
{
  double complete;

  ck_assert_double_lt (percent_halted (make_swinging, SEEDS / 2, &complete),
                       5);
}
END_TEST

/* The rating service is down from the start.  Nobody knows whether the new
   version is good; it may be shown to the step's cap and no further, until
   the operator resumes, who grants the cap once more.  */
START_TEST (without_ratings_the_cap_holds)
{
  world_t w = world_make (4, &no_fault);
  uint64_t cap = rollout_exposure_cap (w.run);

  w.no_ratings = true;
  while (w.requests < REQUESTS_MAX)
    world_request (&w);
  ck_assert_int_eq (rollout_phase (w.run), ROLLOUT_PHASE_STARVED);
  ck_assert_uint_eq (rollout_exposed_count (w.run), cap);
  ck_assert (!rollout_is_assigned (w.run, 12345));
  ck_assert (rollout_resume (w.run));
  ck_assert_uint_eq (rollout_exposure_cap (w.run), 2 * cap);
  for (int i = 0; i < REQUESTS_MAX; i++)
    world_request (&w);
  ck_assert_uint_eq (rollout_exposed_count (w.run), 2 * cap);
  /* A pause in between takes nothing of what a resume grants.  */
  ck_assert_int_eq (rollout_phase (w.run), ROLLOUT_PHASE_STARVED);
  ck_assert (rollout_pause (w.run));
  w.no_ratings = false;
  ck_assert (rollout_resume (w.run));
  ck_assert_uint_eq (rollout_exposure_cap (w.run), 3 * cap);
  for (int i = 0; i < REQUESTS_MAX && rollout_step_index (w.run) == 0; i++)
    world_request (&w);
  ck_assert_uint_ge (rollout_step_index (w.run), 1);
  rollout_destroy (w.run);
}
END_TEST

/* The lease holder is gone, so nobody steps.  Each entry still stops at the
   cap by itself.  */
START_TEST (cap_holds_without_a_lease_holder)
{
  rollout_run_t *run = rollout_create (1, STR ("small@2"), START_MS);
  rng_t rng = rng_make (3);

  for (int i = 0; i < REQUESTS_MAX; i++)
    if (rollout_is_assigned (run, rng_u64 (&rng)))
      rollout_count_exposure (run, ROLLOUT_NEW, START_MS + (uint64_t)i);
  ck_assert_uint_eq (rollout_exposed_count (run), rollout_exposure_cap (run));
  rollout_destroy (run);
}
END_TEST

/* Replace the process that runs the roll-out by a new one that knows only the
   state that was written.  */
static void
hand_over (world_t *w, uint64_t writer)
{
  rollout_run_t *next = rollout_create (writer, STR ("small@2"), START_MS);
  buf_t state = BUF_NULL;

  rollout_write (w->run, false, &state);
  ck_assert_int_eq (rollout_merge (next, buf_str (&state), w->now_ms), VH_OK);
  ck_assert_int_eq (rollout_merge (next, buf_str (&state), w->now_ms), VH_OK);
  buf_free (&state);
  rollout_destroy (w->run);
  w->run = next;
}

/* The entry that holds the lease is replaced again and again, also right at
   each step.  The roll-out must take the same decisions at the same requests
   as one that is never interrupted.  */
START_TEST (resumes_halfway_at_every_step)
{
  for (size_t f = 0; f <= sizeof faults / sizeof faults[0]; f++)
    {
      const fault_t *fault = f == 0 ? &no_fault : &faults[f - 1];
      world_t whole = world_make (9, fault);
      world_t broken = world_make (9, fault);
      uint64_t writer = 100;
      uint32_t handed_at = UINT32_MAX;
      while (!world_ended (&whole))
        {
          world_request (&whole);
          world_request (&broken);
          ck_assert_int_eq (rollout_phase (whole.run),
                            rollout_phase (broken.run));
          ck_assert_uint_eq (rollout_step_index (whole.run),
                             rollout_step_index (broken.run));
          ck_assert_uint_eq (rollout_exposed_count (whole.run),
                             rollout_exposed_count (broken.run));
          if (rollout_step_index (broken.run) != handed_at
              || broken.requests % 4999 == 0)
            {
              handed_at = rollout_step_index (broken.run);
              hand_over (&broken, writer++);
            }
        }
      ck_assert (world_ended (&broken));
      rollout_destroy (whole.run);
      rollout_destroy (broken.run);
    }
}
END_TEST

static bool
same_state (const rollout_run_t *a, const rollout_run_t *b)
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

/* Several entries see their parts of the answers and gossip them twice and in
   any order.  All must reach the same state and so the same decision.  */
START_TEST (merge_order_and_redelivery_do_not_matter)
{
  enum
  {
    WRITERS = 4,
    MESSAGES = 32,
    SHOWN = MESSAGES * 10
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
          rollout_arm_t arm = i % 2 == 0 ? ROLLOUT_NEW : ROLLOUT_OLD;
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
  ck_assert (same_state (ordered, shuffled));
  ck_assert_uint_eq (rollout_exposed_count (shuffled), SHOWN);
  ck_assert_uint_eq (rollout_estimate (shuffled, ROLLOUT_RATING).count_new,
                     SHOWN);
  for (int m = 0; m < MESSAGES; m++)
    buf_free (&messages[m]);
  for (int i = 0; i < WRITERS; i++)
    rollout_destroy (writers[i]);
  rollout_destroy (ordered);
  rollout_destroy (shuffled);
}
END_TEST

/* One process halts a roll-out while an operator's pause reaches another.
   Whichever message comes first, all processes must end halted.  */
START_TEST (more_careful_decision_wins)
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
  ck_assert (same_state (a, b));
  buf_free (&from_a);
  buf_free (&from_b);
  rollout_destroy (a);
  rollout_destroy (b);
}
END_TEST

START_TEST (pause_keeps_the_share_and_the_guard)
{
  world_t w = world_make (2, &faults[5]);

  ck_assert (rollout_pause (w.run));
  ck_assert (!rollout_pause (w.run));
  ck_assert_double_eq (rollout_share (w.run), 0.01);
  while (!world_ended (&w))
    world_request (&w);
  ck_assert_int_eq (rollout_phase (w.run), ROLLOUT_PHASE_HALTED);
  rollout_destroy (w.run);

  world_t good = world_make (2, &no_fault);
  rollout_pause (good.run);
  for (int i = 0; i < 20000; i++)
    world_request (&good);
  ck_assert_uint_eq (rollout_step_index (good.run), 0);
  ck_assert (rollout_resume (good.run));
  while (!world_ended (&good))
    world_request (&good);
  ck_assert_int_eq (rollout_phase (good.run), ROLLOUT_PHASE_COMPLETE);
  rollout_destroy (good.run);
}
END_TEST

/* All entries must place a session alike, and a session placed on the new
   version must stay there when the share grows.  */
START_TEST (assignment_agrees_and_only_grows)
{
  enum
  {
    KEYS = 20000
  };
  static bool placed[KEYS];
  world_t w = world_make (6, &no_fault);
  rollout_run_t *other = rollout_create (77, STR ("small@2"), START_MS);
  uint32_t step = UINT32_MAX;

  while (!world_ended (&w))
    {
      if (rollout_step_index (w.run) != step)
        {
          buf_t state = BUF_NULL;
          int count = 0;
          step = rollout_step_index (w.run);
          rollout_write (w.run, false, &state);
          rollout_merge (other, buf_str (&state), w.now_ms);
          buf_free (&state);
          for (uint64_t key = 0; key < KEYS; key++)
            {
              bool fresh = rollout_is_assigned (w.run, key);
              ck_assert (fresh == rollout_is_assigned (other, key));
              ck_assert (fresh || !placed[key]);
              placed[key] = fresh;
              count += fresh;
            }
          ck_assert_double_eq_tol ((double)count / KEYS, rollout_share (w.run),
                                   0.012);
        }
      world_request (&w);
    }
  ck_assert_double_eq (rollout_share (w.run), 1);
  rollout_destroy (other);
  rollout_destroy (w.run);
}
END_TEST

START_TEST (halt_is_explained)
{
  world_t w = world_make (1, &faults[2]);
  buf_t text = BUF_NULL;

  while (!world_ended (&w))
    world_request (&w);
  rollout_explain (w.run, &text);
  buf_append_char (&text, '\0');
  ck_assert_ptr_nonnull (strstr (text.ptr, "halted at step"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "rating worse by 0."));
  ck_assert_ptr_nonnull (strstr (text.ptr, "for tag"));
  buf_free (&text);
  rollout_destroy (w.run);
}
END_TEST

START_TEST (malformed_messages_change_nothing)
{
  world_t w = world_make (1, &no_fault);
  rollout_run_t *other = rollout_create (5, STR ("small@2"), START_MS);
  rollout_run_t *fresh = rollout_create (5, STR ("small@2"), START_MS);
  rollout_run_t *wrong = rollout_create (6, STR ("small@3"), START_MS);
  buf_t bytes = BUF_NULL;
  rng_t rng = rng_make (3);

  for (int i = 0; i < 2000; i++)
    world_request (&w);
  rollout_write (w.run, false, &bytes);
  for (size_t len = 0; len < bytes.len; len++)
    ck_assert_int_eq (
        rollout_merge (other, str_make (bytes.ptr, len), w.now_ms),
        VH_E_PROTOCOL);
  ck_assert (same_state (other, fresh));
  ck_assert_int_eq (rollout_merge (wrong, buf_str (&bytes), w.now_ms),
                    VH_E_PROTOCOL);
  for (int i = 0; i < 3000; i++)
    {
      size_t at = rng_below (&rng, bytes.len);
      char kept = bytes.ptr[at];
      bytes.ptr[at] = (char)rng_u64 (&rng);
      rollout_merge (other, buf_str (&bytes), w.now_ms);
      rollout_decide (other, w.now_ms);
      bytes.ptr[at] = kept;
    }
  buf_free (&bytes);
  rollout_destroy (w.run);
  rollout_destroy (other);
  rollout_destroy (fresh);
  rollout_destroy (wrong);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rollout");
  TCase *tcase = tcase_create ("rollout");

  tcase_set_timeout (tcase, 110);
  tcase_add_loop_test (tcase, bad_version_is_halted, 0,
                       (int)(sizeof faults / sizeof faults[0]));
  tcase_add_test (tcase, good_version_completes);
  tcase_add_test (tcase, wrong_rater_halts_no_good_version);
  tcase_add_test (tcase, change_of_traffic_halts_no_good_version);
  tcase_add_test (tcase, without_ratings_the_cap_holds);
  tcase_add_test (tcase, cap_holds_without_a_lease_holder);
  tcase_add_test (tcase, resumes_halfway_at_every_step);
  tcase_add_test (tcase, merge_order_and_redelivery_do_not_matter);
  tcase_add_test (tcase, more_careful_decision_wins);
  tcase_add_test (tcase, pause_keeps_the_share_and_the_guard);
  tcase_add_test (tcase, assignment_agrees_and_only_grows);
  tcase_add_test (tcase, halt_is_explained);
  tcase_add_test (tcase, malformed_messages_change_nothing);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
