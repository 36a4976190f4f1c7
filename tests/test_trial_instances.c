/* Simulated troubles of the instances of a version that was declared good,
   with answers drawn from a seed.  */

#include "rollout_model.h"
#include "suite.h"

static const rollout_setting_t settings[] = {
  { .time_limit_ms = 16000, .requests_per_s = 80, .instances = 18 },
  { .time_limit_ms = 24000, .requests_per_s = 120, .instances = 20 },
  { .time_limit_ms = 16000, .requests_per_s = 30, .instances = 9 },
  { .time_limit_ms = 16000, .requests_per_s = 30, .instances = 3 },
  { .time_limit_ms = 24000, .requests_per_s = 300, .instances = 40 },
};

static const rollout_trouble_t troubles[] = {
  { "0.4 lost at most instances", .lost_share = 0.4, .wait_factor = 1,
    .instances_part = 0.6, .from_ms = 3000, .length_ms = 4000 },
  { "0.3 lost at most instances", .lost_share = 0.3, .wait_factor = 1,
    .instances_part = 0.6, .from_ms = 8000, .length_ms = 6000 },
  { "0.4 fail at most instances", .failure_share = 0.4, .wait_factor = 1,
    .instances_part = 0.6, .from_ms = 3000, .length_ms = 6000 },
};

enum
{
  SETTINGS = sizeof settings / sizeof settings[0],
  TROUBLES = sizeof troubles / sizeof troubles[0],
  SEEDS = 40,
  /* Two of 40 seeds show by chance what a bad version would.  */
  WITHDRAWN_MAX = 2
};

/* Answers of most instances of a version in service are lost, or fail, for
   seconds.  A good version would be withdrawn for good, and its service
   refused, as no instance of the old version is left.  */
START_TEST (trouble_of_instances_withdraws_a_good_version)
{
  static const rollout_badness_t good = { "good", .bad_route = -1 };
  const rollout_trouble_t *trouble = &troubles[_i];

  for (size_t at = 0; at < SETTINGS; at++)
    {
      int done = 0;
      int withdrawn = 0;
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          rollout_result_t result
              = rollout_model_run (&good, trouble, &settings[at], seed);
          done += result.was_done;
          withdrawn += result.phase == TRIAL_PHASE_WITHDRAWN;
        }
      ck_assert_int_ge (done, SEEDS * 9 / 10);
      ck_assert_msg (withdrawn <= WITHDRAWN_MAX,
                     "%s, setting %zu: %d of %d withdrawn", trouble->name, at,
                     withdrawn, done);
    }
}
END_TEST

static const rollout_badness_t badnesses[] = {
  { "a sixth fails", .failure_share = 0.17, .bad_route = -1,
    .bad_from_part = 1.1 },
  { "a half breaks off", .lost_share = 0.5, .bad_route = -1,
    .bad_from_part = 1.1 },
  { "a half of one route fails", .failure_share = 0.5, .bad_route = 1,
    .bad_from_part = 1.1 },
};

/* Most instances of a bad version have a trouble beside it.  The version would
   keep getting requests after its 50th bad answer.  */
START_TEST (trouble_of_instances_hides_a_bad_version)
{
  const rollout_badness_t *badness = &badnesses[_i / TROUBLES];
  const rollout_trouble_t *trouble = &troubles[_i % TROUBLES];

  for (size_t at = 0; at < SETTINGS; at++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        rollout_result_t result
            = rollout_model_run (badness, trouble, &settings[at], seed);
        ck_assert_msg (result.late_requests == 0,
                       "%s beside %s, setting %zu, seed %d: %u requests later "
                       "than %d ms after bad answer %d, phase %s",
                       badness->name, trouble->name, at, (int)seed,
                       result.late_requests, ROLLOUT_LATE_AFTER_MS,
                       ROLLOUT_BAD_ANSWERS, trial_phase_name (result.phase));
      }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("trial in a trouble of instances");
  TCase *tcase = tcase_create ("trouble of instances");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, trouble_of_instances_withdraws_a_good_version, 0,
                       TROUBLES);
  tcase_add_loop_test (tcase, trouble_of_instances_hides_a_bad_version, 0,
                       TROUBLES * (sizeof badnesses / sizeof badnesses[0]));
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
