/* When the answer of a small model is dropped for a larger one's.  */

#include "policy/escalation.h"
#include "suite.h"

#include "base/rng.h"

#include <math.h>

enum
{
  SMALL,
  MIDDLE,
  LARGE,
  OBJECTIVE_MS = 2000,
  PAUSE_MS = 1200,
  RUNNING = 10
};

static const escalation_options_t options = { .worth = 0.55,
                                              .rank_part = 0.5,
                                              .late_part = 0.3,
                                              .poor_part = 0.05,
                                              .opinion_width = 5 };

/* Time to the first event of the large model for a prompt of READ tokens at an
   engine with nothing else.  */
static double
large_ms (uint32_t read)
{
  double x = read / 1000.0;

  return 65 + 26 * x + 0.5 * x * x;
}

static double
small_ms (uint32_t read)
{
  return 60 + (large_ms (read) - 65) / 10;
}

/* Teach ESCALATION the waits of both models.  */
static void
teach (escalation_t *escalation, uint64_t seed)
{
  rng_t rng = rng_make (seed);

  for (int i = 0; i < 400; i++)
    {
      uint32_t read
          = 300 + (uint32_t)rng_below (&rng, 1 << rng_below (&rng, 15));
      double extra = (double)rng_below (&rng, 40);
      escalation_record_wait (escalation, SMALL, read,
                              (uint64_t)(small_ms (read) + extra),
                              OBJECTIVE_MS);
      escalation_record_wait (escalation, LARGE, read,
                              (uint64_t)(large_ms (read) + extra),
                              OBJECTIVE_MS);
    }
  for (int i = 0; i < 100; i++)
    escalation_record_wait (escalation, SMALL, 500, 100, OBJECTIVE_MS);
}

static const escalation_candidate_t large_alone[]
    = { { .model = LARGE, .cost = 0.25, .beside = RUNNING } };
static const escalation_candidate_t middle_too[]
    = { { .model = MIDDLE, .cost = 0.12, .beside = RUNNING },
        { .model = LARGE, .cost = 0.25, .beside = RUNNING } };

/* A draft, a question or a label of the usual size.  */
static escalation_request_t
draft (uint32_t opinion)
{
  return (escalation_request_t){ .model = SMALL,
                                 .cost = 0.017,
                                 .read = 12000,
                                 .generated = 385,
                                 .rank = 1,
                                 .opinion = opinion,
                                 .elapsed_ms = 150,
                                 .objective_ms = OBJECTIVE_MS,
                                 .pause_ms = PAUSE_MS,
                                 .choices = large_alone,
                                 .choice_count = 1 };
}

static escalation_request_t
question (uint32_t opinion)
{
  escalation_request_t request = draft (opinion);

  request.read = 826;
  request.generated = 290;
  request.rank = 0;
  return request;
}

static escalation_request_t
label (uint32_t opinion)
{
  escalation_request_t request = draft (opinion);

  request.read = 2368;
  request.generated = 21;
  request.rank = 2;
  return request;
}

/* The least opinion at which what MAKE gives is kept.  */
static uint32_t
bar (escalation_t *escalation, escalation_request_t (*make) (uint32_t opinion))
{
  for (uint32_t opinion = 0; opinion <= 100; opinion++)
    {
      const escalation_request_t request = make (opinion);
      if (escalation_choose (escalation, &request) == request.choice_count)
        return opinion;
    }
  return 101;
}

/* What the large model takes is known within a tenth from a few hundred
   answers.  */
START_TEST (waits_are_learnt)
{
  static const uint32_t reads[] = { 500, 4000, 12000, 30000 };

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      escalation_t *escalation = escalation_create (&options);
      ck_assert_double_eq (
          escalation_predicted_wait_ms (escalation, LARGE, 500), 0);
      teach (escalation, seed);
      for (size_t i = 0; i < sizeof reads / sizeof reads[0]; i++)
        ck_assert_double_le (
            fabs (escalation_predicted_wait_ms (escalation, LARGE, reads[i])
                  - large_ms (reads[i]) - 20),
            0.1 * large_ms (reads[i]));
      escalation_destroy (escalation);
    }
}
END_TEST

/* Worth and cost differ by kind: of three answers with the same opinion the
   question, which is short and urgent, is asked again and the label, which
   costs half of its worth, is kept.  */
START_TEST (each_kind_has_its_own_bar)
{
  escalation_t *escalation = escalation_create (&options);

  teach (escalation, 1);
  ck_assert_uint_gt (bar (escalation, question), bar (escalation, draft));
  ck_assert_uint_gt (bar (escalation, draft), bar (escalation, label));
  ck_assert_uint_gt (bar (escalation, label), 40);
  ck_assert_uint_lt (bar (escalation, question), 70);
  escalation_destroy (escalation);
}
END_TEST

/* A prompt of 30,000 tokens: read again by the large model it would come after
   its objective, and ten streams beside it would stand still for longer than
   their callers bear.  The poor answer is kept.  Of a prompt a third as long
   the same answer is dropped.  */
START_TEST (what_would_come_late_is_kept)
{
  escalation_t *escalation = escalation_create (&options);
  escalation_request_t request = draft (10);

  teach (escalation, 1);
  ck_assert_double_gt (escalation_gain (escalation, &request, 0), 0);
  request.read = 40000;
  ck_assert_double_lt (escalation_gain (escalation, &request, 0), 0);
  escalation_destroy (escalation);
}
END_TEST

/* The same prompt is worth reading where nothing runs beside it and its caller
   waits longer.  */
START_TEST (an_idle_engine_may_read_long_prompts)
{
  escalation_t *escalation = escalation_create (&options);
  escalation_request_t request = draft (10);

  teach (escalation, 1);
  request.read = 40000;
  request.objective_ms = 4 * OBJECTIVE_MS;
  ck_assert_double_lt (escalation_gain (escalation, &request, 0), 0);
  escalation_candidate_t alone = large_alone[0];
  alone.beside = 0;
  request.choices = &alone;
  ck_assert_double_gt (escalation_gain (escalation, &request, 0), 0);
  escalation_destroy (escalation);
}
END_TEST

/* A caller has waited for most of its objective when the small model's answer
   comes: another wait would make it late.  */
START_TEST (a_late_drop_is_not_made)
{
  escalation_t *escalation = escalation_create (&options);
  escalation_request_t request = draft (48);

  teach (escalation, 1);
  ck_assert_double_gt (escalation_gain (escalation, &request, 0), 0);
  request.elapsed_ms = 1900;
  ck_assert_double_lt (escalation_gain (escalation, &request, 0), 0);
  escalation_destroy (escalation);
}
END_TEST

static void
press (escalation_t *escalation, int count, uint64_t wait_ms)
{
  for (int i = 0; i < count; i++)
    escalation_record_wait (escalation, SMALL, 500, wait_ms, OBJECTIVE_MS);
}

/* Half of the engines crash and callers' first events come after half of their
   objective.  Second answers of the large model would fill the rest: within a
   second's worth of answers only the least certain are still dropped, and as
   few once the engines are back.  */
START_TEST (pressed_engines_keep_doubtful_answers)
{
  escalation_t *escalation = escalation_create (&options);

  teach (escalation, 1);
  press (escalation, 20, 130);
  uint32_t calm = bar (escalation, question);
  press (escalation, 24, OBJECTIVE_MS / 2);
  ck_assert_uint_lt (bar (escalation, question), calm * 2 / 3);
  press (escalation, 40, OBJECTIVE_MS / 2);
  ck_assert_uint_le (bar (escalation, question),
                     calm - ESCALATION_PRESSURE_POINTS_MAX);
  press (escalation, 40, 130);
  ck_assert_uint_ge (bar (escalation, question), calm - 2);
  escalation_destroy (escalation);
}
END_TEST

/* One first event is lost with its engine and counts as very late.  That alone
   must not make callers of healthy engines take doubtful answers.  */
START_TEST (one_stray_wait_changes_little)
{
  escalation_t *escalation = escalation_create (&options);

  teach (escalation, 1);
  press (escalation, 20, 130);
  uint32_t calm = bar (escalation, question);
  press (escalation, 1, 60000);
  ck_assert_uint_gt (bar (escalation, question), calm * 3 / 4);
  escalation_destroy (escalation);
}
END_TEST

/* Nothing was heard yet and requests tell no size: doubtful answers are
   dropped and sure ones kept all the same.  */
START_TEST (the_first_answers_are_judged_too)
{
  escalation_t *escalation = escalation_create (&options);
  const escalation_candidate_t large = { .model = LARGE };
  escalation_request_t request
      = { .opinion = 10, .choices = &large, .choice_count = 1 };

  ck_assert_double_gt (escalation_gain (escalation, &request, 0), 0);
  request.opinion = 100;
  ck_assert_double_lt (escalation_gain (escalation, &request, 0), 0);
  escalation_destroy (escalation);
}
END_TEST

/* Teach ESCALATION that the middle model answers well what is harder by LEAD
   points, from opinions that are wrong by some.  */
static void
compare (escalation_t *escalation, uint32_t lead, uint64_t seed)
{
  rng_t rng = rng_make (seed);

  for (int i = 0; i < 100; i++)
    {
      uint32_t first = 35 + (uint32_t)rng_below (&rng, 20);
      escalation_record_confidences (
          escalation, MIDDLE, first,
          first + lead + (uint32_t)rng_below (&rng, 21) - 10);
    }
}

/* What OPINION of the smallest model on a draft leads to: 0 and 1 for the
   middle and the largest one, 2 when the answer is kept.  */
static size_t
next (escalation_t *escalation, uint32_t opinion)
{
  escalation_request_t request = draft (opinion);

  request.choices = middle_too;
  request.choice_count = 2;
  return escalation_choose (escalation, &request);
}

/* Requests that are a little too hard for the smallest model go to the largest
   at twice the cost of the middle one, which answers them well.  */
START_TEST (the_middle_model_gets_what_is_a_little_too_hard)
{
  escalation_t *escalation = escalation_create (&options);

  teach (escalation, 1);
  compare (escalation, 14, 1);
  ck_assert_double_le (
      fabs (escalation_confidence_lead (escalation, MIDDLE) - 14), 2);
  ck_assert_uint_eq (next (escalation, 10), 1);
  ck_assert_uint_eq (next (escalation, 50), 0);
  ck_assert_uint_eq (next (escalation, 80), 2);
  escalation_destroy (escalation);
}
END_TEST

/* A middle model that answers no better than the smallest one gets nothing,
   once that has been seen.  */
START_TEST (a_middle_model_that_is_no_better_gets_nothing)
{
  escalation_t *escalation = escalation_create (&options);

  teach (escalation, 1);
  compare (escalation, 0, 1);
  for (uint32_t opinion = 0; opinion <= 100; opinion++)
    ck_assert_uint_ne (next (escalation, opinion), 0);
  escalation_destroy (escalation);
}
END_TEST

/* The middle model doubts its answer by chance: the opinion of the smallest
   one, by its lead, still speaks for it.  */
START_TEST (two_opinions_say_more_than_one)
{
  escalation_t *escalation = escalation_create (&options);
  escalation_request_t request = draft (50);

  teach (escalation, 1);
  compare (escalation, 14, 1);
  request.model = MIDDLE;
  request.cost = middle_too[0].cost;
  ck_assert_uint_eq (escalation_choose (escalation, &request), 0);
  request.has_first = true;
  request.first = 48;
  ck_assert_uint_eq (escalation_choose (escalation, &request), 1);
  request.first = 30;
  ck_assert_uint_eq (escalation_choose (escalation, &request), 0);
  escalation_destroy (escalation);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("escalation");
  TCase *tcase = tcase_create ("escalation");

  tcase_add_test (tcase, waits_are_learnt);
  tcase_add_test (tcase, each_kind_has_its_own_bar);
  tcase_add_test (tcase, what_would_come_late_is_kept);
  tcase_add_test (tcase, an_idle_engine_may_read_long_prompts);
  tcase_add_test (tcase, a_late_drop_is_not_made);
  tcase_add_test (tcase, pressed_engines_keep_doubtful_answers);
  tcase_add_test (tcase, one_stray_wait_changes_little);
  tcase_add_test (tcase, the_first_answers_are_judged_too);
  tcase_add_test (tcase, the_middle_model_gets_what_is_a_little_too_hard);
  tcase_add_test (tcase, a_middle_model_that_is_no_better_gets_nothing);
  tcase_add_test (tcase, two_opinions_say_more_than_one);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
