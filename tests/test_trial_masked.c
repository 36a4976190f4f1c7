/* Simulated roll-outs beside an old version that fails during the roll-out,
   with answers drawn from a seed.  */

#include "rollout_model.h"
#include "suite.h"

static const rollout_setting_t settings[] = { { 16000, 30, 0 },
                                              { 24000, 30, 0 },
                                              { 24000, 120, 0 },
                                              { 40000, 120, 0 },
                                              { 24000, 60, 0 } };

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

/* A trouble of both versions ends after a good version was declared good.
   While the share of its recent failures falls, it looks like a version that
   fails less than the old one, and would be withdrawn.  */
START_TEST (end_of_a_common_trouble_withdraws_a_good_version)
{
  static const rollout_badness_t good = { "good", .bad_route = -1 };
  static const rollout_trouble_t trouble
      = { "0.15 breaks off", .lost_share = 0.15, .wait_factor = 1 };

  for (size_t at = 0; at < SETTINGS; at++)
    {
      int withdrawn = 0;
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        withdrawn
            += rollout_model_run (&good, &trouble, &settings[at], seed).phase
               == TRIAL_PHASE_WITHDRAWN;
      /* One in 40 fails by chance more than the old version did.  */
      ck_assert_msg (withdrawn <= 1, "setting %zu: %d of %d withdrawn", at,
                     withdrawn, SEEDS);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("trial beside an old version that fails");
  TCase *good = tcase_create ("good version");

  for (int i = 0; i < (int)(sizeof masked_cases / sizeof masked_cases[0]); i++)
    {
      TCase *tcase = tcase_create (masked_cases[i].badness.name);
      tcase_set_timeout (tcase, 60);
      tcase_add_loop_test (tcase,
                           bad_version_stays_beside_an_old_one_that_fails_more,
                           i, i + 1);
      suite_add_tcase (suite, tcase);
      tcase_add_loop_test (
          good, good_version_is_reverted_beside_an_old_one_that_fails, i,
          i + 1);
    }
  tcase_set_timeout (good, 60);
  tcase_add_test (good, end_of_a_common_trouble_withdraws_a_good_version);
  suite_add_tcase (suite, good);
  return suite_run (suite);
}
