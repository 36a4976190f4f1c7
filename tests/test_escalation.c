/* Tests of the decision to replace the answer of a small model by that of a
   larger one.  */

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
  CONCURRENT_REQUESTS = 10
};

static const escalation_options_t options = { .value_per_1k_tokens = 0.55,
                                              .priority_value_ratio = 0.5,
                                              .late_value_ratio = 0.3,
                                              .poor_value_ratio = 0.05,
                                              .confidence_stddev = 5 };

/* Return the time to the first event of the large model for a prompt of
   PROMPT_TOKENS on an idle engine.  */
static double
large_wait_ms (uint32_t prompt_tokens)
{
  double x = prompt_tokens / 1000.0;

  return 65 + 26 * x + 0.5 * x * x;
}

static double
small_wait_ms (uint32_t prompt_tokens)
{
  return 60 + (large_wait_ms (prompt_tokens) - 65) / 10;
}

/* Record times to the first event of the small and the large model, and then a
   low pressure.  */
static void
record_waits (escalation_t *escalation, uint64_t seed)
{
  rng_t rng = rng_make (seed);

  for (int i = 0; i < 400; i++)
    {
      uint32_t prompt_tokens
          = 300 + (uint32_t)rng_below (&rng, 1 << rng_below (&rng, 15));
      double noise_ms = (double)rng_below (&rng, 40);
      escalation_record_wait (
          escalation, SMALL, prompt_tokens,
          (uint64_t)(small_wait_ms (prompt_tokens) + noise_ms), OBJECTIVE_MS);
      escalation_record_wait (
          escalation, LARGE, prompt_tokens,
          (uint64_t)(large_wait_ms (prompt_tokens) + noise_ms), OBJECTIVE_MS);
    }
  for (int i = 0; i < 100; i++)
    escalation_record_wait (escalation, SMALL, 500, 100, OBJECTIVE_MS);
}

static const escalation_candidate_t large_only[] = {
  { .model = LARGE, .cost = 0.25, .running_requests = CONCURRENT_REQUESTS }
};
static const escalation_candidate_t middle_and_large[] = {
  { .model = MIDDLE, .cost = 0.12, .running_requests = CONCURRENT_REQUESTS },
  { .model = LARGE, .cost = 0.25, .running_requests = CONCURRENT_REQUESTS }
};

/* Return a draft, which is a long request, with CONFIDENCE of the small model
   in its answer.  */
static escalation_request_t
make_draft (uint32_t confidence)
{
  return (escalation_request_t){ .model = SMALL,
                                 .cost = 0.017,
                                 .prompt_tokens = 12000,
                                 .output_tokens = 385,
                                 .priority = 1,
                                 .confidence = confidence,
                                 .elapsed_ms = 150,
                                 .objective_ms = OBJECTIVE_MS,
                                 .max_pause_ms = PAUSE_MS,
                                 .candidates = large_only,
                                 .candidate_count = 1 };
}

static escalation_request_t
make_question (uint32_t confidence)
{
  escalation_request_t request = make_draft (confidence);

  request.prompt_tokens = 826;
  request.output_tokens = 290;
  request.priority = 0;
  return request;
}

static escalation_request_t
make_label (uint32_t confidence)
{
  escalation_request_t request = make_draft (confidence);

  request.prompt_tokens = 2368;
  request.output_tokens = 21;
  request.priority = 2;
  return request;
}

/* Return the lowest confidence at which the answer to the request of MAKE is
   kept; 101 if there is none.  */
static uint32_t
keep_threshold (escalation_t *escalation,
                escalation_request_t (*make_request) (uint32_t confidence))
{
  for (uint32_t confidence = 0; confidence <= 100; confidence++)
    {
      const escalation_request_t request = make_request (confidence);
      if (escalation_choose (escalation, &request) == request.candidate_count)
        return confidence;
    }
  return 101;
}

/* After a few hundred answers the predicted time of the large model is within
   a tenth of the actual time.  */
START_TEST (waits_are_predicted)
{
  static const uint32_t prompt_sizes[] = { 500, 4000, 12000, 30000 };

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      escalation_t *escalation = escalation_create (&options);
      ck_assert_double_eq (
          escalation_predicted_wait_ms (escalation, LARGE, 500), 0);
      record_waits (escalation, seed);
      for (size_t i = 0; i < sizeof prompt_sizes / sizeof prompt_sizes[0]; i++)
        ck_assert_double_le (fabs (escalation_predicted_wait_ms (
                                       escalation, LARGE, prompt_sizes[i])
                                   - large_wait_ms (prompt_sizes[i]) - 20),
                             0.1 * large_wait_ms (prompt_sizes[i]));
      escalation_destroy (escalation);
    }
}
END_TEST

/* Failure: one confidence threshold for all requests.  The value and the cost
   differ, so at the same confidence a question, which is short and urgent, is
   escalated, and a label, whose escalation costs half of its value, is
   kept.  */
START_TEST (threshold_depends_on_value_and_cost)
{
  escalation_t *escalation = escalation_create (&options);

  record_waits (escalation, 1);
  ck_assert_uint_gt (keep_threshold (escalation, make_question),
                     keep_threshold (escalation, make_draft));
  ck_assert_uint_gt (keep_threshold (escalation, make_draft),
                     keep_threshold (escalation, make_label));
  ck_assert_uint_gt (keep_threshold (escalation, make_label), 40);
  ck_assert_uint_lt (keep_threshold (escalation, make_question), 70);
  escalation_destroy (escalation);
}
END_TEST

/* Failure: a long prompt is escalated, the answer is late, and ten concurrent
   streams pause for longer than allowed.  The poor answer to a prompt of more
   than 30,000 tokens must be kept; for a prompt a third as long the same
   answer is replaced.  */
START_TEST (answer_to_long_prompt_is_kept)
{
  escalation_t *escalation = escalation_create (&options);
  escalation_request_t request = make_draft (10);

  record_waits (escalation, 1);
  ck_assert_double_gt (escalation_gain (escalation, &request, 0), 0);
  request.prompt_tokens = 40000;
  ck_assert_double_lt (escalation_gain (escalation, &request, 0), 0);
  escalation_destroy (escalation);
}
END_TEST

/* The same prompt is escalated on an idle engine and with a longer
   objective.  */
START_TEST (idle_engine_may_process_long_prompts)
{
  escalation_t *escalation = escalation_create (&options);
  escalation_request_t request = make_draft (10);

  record_waits (escalation, 1);
  request.prompt_tokens = 40000;
  request.objective_ms = 4 * OBJECTIVE_MS;
  ck_assert_double_lt (escalation_gain (escalation, &request, 0), 0);
  escalation_candidate_t idle_large = large_only[0];
  idle_large.running_requests = 0;
  request.candidates = &idle_large;
  ck_assert_double_gt (escalation_gain (escalation, &request, 0), 0);
  escalation_destroy (escalation);
}
END_TEST

/* Failure: an escalation makes an answer late.  Most of the objective has
   passed when the small model answers.  */
START_TEST (no_escalation_when_answer_would_be_late)
{
  escalation_t *escalation = escalation_create (&options);
  escalation_request_t request = make_draft (48);

  record_waits (escalation, 1);
  ck_assert_double_gt (escalation_gain (escalation, &request, 0), 0);
  request.elapsed_ms = 1900;
  ck_assert_double_lt (escalation_gain (escalation, &request, 0), 0);
  escalation_destroy (escalation);
}
END_TEST

static void
record_small_waits (escalation_t *escalation, int count, uint64_t wait_ms)
{
  for (int i = 0; i < count; i++)
    escalation_record_wait (escalation, SMALL, 500, wait_ms, OBJECTIVE_MS);
}

/* Failure: second answers of the large model fill the remaining engines after
   half of the engines crashed.  First events then take half of their
   objective.  Within a second only answers of the lowest confidence may be
   escalated, and the usual ones again once the engines are back.  */
START_TEST (pressure_lowers_threshold)
{
  escalation_t *escalation = escalation_create (&options);

  record_waits (escalation, 1);
  record_small_waits (escalation, 20, 130);
  uint32_t threshold = keep_threshold (escalation, make_question);
  record_small_waits (escalation, 24, OBJECTIVE_MS / 2);
  ck_assert_uint_lt (keep_threshold (escalation, make_question),
                     threshold * 2 / 3);
  record_small_waits (escalation, 40, OBJECTIVE_MS / 2);
  ck_assert_uint_le (keep_threshold (escalation, make_question),
                     threshold - ESCALATION_PRESSURE_POINTS_MAX);
  record_small_waits (escalation, 40, 130);
  ck_assert_uint_ge (keep_threshold (escalation, make_question),
                     threshold - 2);
  escalation_destroy (escalation);
}
END_TEST

/* Failure: doubtful answers are kept on healthy engines because one first
   event was lost with its engine and counts as very late.  */
START_TEST (one_outlier_hardly_changes_threshold)
{
  escalation_t *escalation = escalation_create (&options);

  record_waits (escalation, 1);
  record_small_waits (escalation, 20, 130);
  uint32_t threshold = keep_threshold (escalation, make_question);
  record_small_waits (escalation, 1, 60000);
  ck_assert_uint_gt (keep_threshold (escalation, make_question),
                     threshold * 3 / 4);
  escalation_destroy (escalation);
}
END_TEST

/* Without observations and without the size of a request, answers of low
   confidence are replaced and answers of high confidence are kept.  */
START_TEST (decides_without_observations)
{
  escalation_t *escalation = escalation_create (&options);
  const escalation_candidate_t large = { .model = LARGE };
  escalation_request_t request
      = { .confidence = 10, .candidates = &large, .candidate_count = 1 };

  ck_assert_double_gt (escalation_gain (escalation, &request, 0), 0);
  request.confidence = 100;
  ck_assert_double_lt (escalation_gain (escalation, &request, 0), 0);
  escalation_destroy (escalation);
}
END_TEST

/* Record noisy confidences by which the middle model exceeds the smallest one
   by LEAD points.  */
static void
record_comparisons (escalation_t *escalation, uint32_t lead, uint64_t seed)
{
  rng_t rng = rng_make (seed);

  for (int i = 0; i < 100; i++)
    {
      uint32_t smallest_confidence = 35 + (uint32_t)rng_below (&rng, 20);
      escalation_record_confidences (
          escalation, MIDDLE, smallest_confidence,
          smallest_confidence + lead + (uint32_t)rng_below (&rng, 21) - 10);
    }
}

/* Return the choice for a draft with CONFIDENCE of the smallest model: 0 is
   the middle model, 1 the largest one, 2 means that the answer is kept.  */
static size_t
choose_for_draft (escalation_t *escalation, uint32_t confidence)
{
  escalation_request_t request = make_draft (confidence);

  request.candidates = middle_and_large;
  request.candidate_count = 2;
  return escalation_choose (escalation, &request);
}

/* Failure: requests that are a little too hard for the smallest model go to
   the largest one, at twice the cost of the middle model, which answers them
   well.  */
START_TEST (middle_model_gets_slightly_hard_requests)
{
  escalation_t *escalation = escalation_create (&options);

  record_waits (escalation, 1);
  record_comparisons (escalation, 14, 1);
  ck_assert_double_le (
      fabs (escalation_confidence_lead (escalation, MIDDLE) - 14), 2);
  ck_assert_uint_eq (choose_for_draft (escalation, 10), 1);
  ck_assert_uint_eq (choose_for_draft (escalation, 50), 0);
  ck_assert_uint_eq (choose_for_draft (escalation, 80), 2);
  escalation_destroy (escalation);
}
END_TEST

/* Failure: requests are escalated to a middle model although the recorded
   confidences show that it is no better than the smallest one.  */
START_TEST (middle_model_without_lead_gets_no_requests)
{
  escalation_t *escalation = escalation_create (&options);

  record_waits (escalation, 1);
  record_comparisons (escalation, 0, 1);
  for (uint32_t confidence = 0; confidence <= 100; confidence++)
    ck_assert_uint_ne (choose_for_draft (escalation, confidence), 0);
  escalation_destroy (escalation);
}
END_TEST

/* Failure: a good answer of the middle model is replaced because of a single
   low confidence.  The confidence of the smallest model plus the lead counts
   too.  */
START_TEST (both_confidences_count)
{
  escalation_t *escalation = escalation_create (&options);
  escalation_request_t request = make_draft (50);

  record_waits (escalation, 1);
  record_comparisons (escalation, 14, 1);
  request.model = MIDDLE;
  request.cost = middle_and_large[0].cost;
  ck_assert_uint_eq (escalation_choose (escalation, &request), 0);
  request.has_smallest_confidence = true;
  request.smallest_confidence = 48;
  ck_assert_uint_eq (escalation_choose (escalation, &request), 1);
  request.smallest_confidence = 30;
  ck_assert_uint_eq (escalation_choose (escalation, &request), 0);
  escalation_destroy (escalation);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("escalation");
  TCase *tcase = tcase_create ("escalation");

  tcase_add_test (tcase, waits_are_predicted);
  tcase_add_test (tcase, threshold_depends_on_value_and_cost);
  tcase_add_test (tcase, answer_to_long_prompt_is_kept);
  tcase_add_test (tcase, idle_engine_may_process_long_prompts);
  tcase_add_test (tcase, no_escalation_when_answer_would_be_late);
  tcase_add_test (tcase, pressure_lowers_threshold);
  tcase_add_test (tcase, one_outlier_hardly_changes_threshold);
  tcase_add_test (tcase, decides_without_observations);
  tcase_add_test (tcase, middle_model_gets_slightly_hard_requests);
  tcase_add_test (tcase, middle_model_without_lead_gets_no_requests);
  tcase_add_test (tcase, both_confidences_count);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
