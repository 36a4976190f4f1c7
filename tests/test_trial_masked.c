/* Simulated roll-outs beside an old version that fails during the roll-out,
   with answers drawn from a seed.  */

#include "rollout_model.h"
#include "suite.h"

static const rollout_setting_t settings[] = {
  { 16000, 30 }, { 24000, 30 }, { 24000, 120 }, { 40000, 120 }, { 24000, 60 }
};

enum
{
  SETTINGS = sizeof settings / sizeof settings[0],
  SEEDS = 40
};

typedef struct
{
  rollout_badness_t badness; /* Of the new version.  */
  rollout_trouble_t trouble; /* Of the old version.  */
} masked_case_t;

static const masked_case_t masked_cases[] = {
  { { "a sixth breaks off", .lost_share = 0.17, .bad_route = -1 },
    { "a third breaks off", .lost_share = 0.33, .wait_factor = 1,
      .is_of_old_version = true } },
  { { "a quarter breaks off", .lost_share = 0.25, .bad_route = -1 },
    { "two thirds break off", .lost_share = 0.67, .wait_factor = 1,
      .is_of_old_version = true } },
};

/* A bad version fails less often than the old version does since a trouble of
   the old one began.  It would be declared good and keep getting requests
   after its 50th bad answer.  */
START_TEST (bad_version_stays_beside_an_old_one_that_fails_more)
{
  const masked_case_t *masked = &masked_cases[_i];

  for (size_t at = 0; at < SETTINGS; at++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        rollout_result_t result = rollout_model_run (
            &masked->badness, &masked->trouble, &settings[at], seed);
        ck_assert_msg (result.late_requests == 0,
                       "%s, of the old version %s, setting %zu, seed %d: %u "
                       "requests later than %d ms after bad answer %d, "
                       "phase %s",
                       masked->badness.name, masked->trouble.name, at,
                       (int)seed, result.late_requests, ROLLOUT_LATE_AFTER_MS,
                       ROLLOUT_BAD_ANSWERS, trial_phase_name (result.phase));
      }
}
END_TEST

/* A good version is rolled back or withdrawn since the old version fails.  */
START_TEST (good_version_is_reverted_beside_an_old_one_that_fails)
{
  static const rollout_badness_t good = { "good", .bad_route = -1 };
  const masked_case_t *masked = &masked_cases[_i];

  for (size_t at = 0; at < SETTINGS; at++)
    {
      int done = 0;
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        done
            += rollout_model_run (&good, &masked->trouble, &settings[at], seed)
                   .phase
               == TRIAL_PHASE_DONE;
      /* One seed in 40 may have too few answers on a route.  */
      ck_assert_msg (done >= SEEDS - 1, "setting %zu: %d of %d done", at, done,
                     SEEDS);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("trial beside an old version that fails");
  TCase *tcase = tcase_create ("masked");
  int cases = sizeof masked_cases / sizeof masked_cases[0];

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (
      tcase, bad_version_stays_beside_an_old_one_that_fails_more, 0, cases);
  tcase_add_loop_test (
      tcase, good_version_is_reverted_beside_an_old_one_that_fails, 0, cases);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
