/* Gateway processes before instances of two versions of an engine, the new one
   bad, while something else troubles both versions.  */

#include "gateway_processes.h"
#include "suite.h"

#include <stdio.h>

enum
{
  WITHIN_S = 40,
  GOOD_WITHIN_S = 16,
  STEP_MS = 1000,
  CALM_MS = 1000,
  /* The version gets its first requests after half of the time limit.  */
  TROUBLE_FROM_MS = 3000,
  TROUBLE_MS = 35500,
  AFTER_MS = 6000,
  SHORT_WITHIN_S = 8,
  /* Time in which a version that is bad a little gives 50 bad answers, and the
     operators' bound passes.  */
  EXPOSED_MS = 12000,
  MASKED_WITHIN_S = 24,
  MASKED_RATE = 60,
  OLD_FAILS_FROM_MS = 10000
};

static const gateway_processes_options_t options
    = { .gateways = 4,
        .instances = { [SERVICE_APP] = 1, [SERVICE_ENGINE] = 9 },
        .new_instances = 9,
        .requests_per_s = { [SERVICE_APP] = 1, [SERVICE_ENGINE] = 120 },
        .budget = { .ratio = 0.9, .slack = 58, .window_ms = 10000 } };

typedef struct
{
  const char *name;
  fake_action_t action; /* Reaction of all instances in the trouble.  */
  double share;         /* Part of the requests that get it.  */
} trouble_t;

static const trouble_t troubles[] = {
  { "a third of the answers fail", ACT_ERROR, 0.33 },
  { "most answers fail", ACT_ERROR, 0.8 },
  { "connections are reset", ACT_RESET, 0.7 },
  { "streams break off", ACT_STREAM_CUT_IN_EVENT, 0.6 },
};

/* Send requests for MS, in steps that are shorter than the fixture's limit. */
static void
run (gateway_processes_t *processes, unsigned ms)
{
  for (; ms > STEP_MS; ms -= STEP_MS)
    gateway_processes_run (processes, STEP_MS);
  gateway_processes_run (processes, ms);
}

/* Begin or end TROUBLE at all instances of the engine.  The new ones go on
   being bad with BAD_SHARE.  */
static void
set_trouble (gateway_processes_t *processes, const trouble_t *trouble,
             double bad_share)
{
  size_t count = gateway_processes_instance_count (processes, SERVICE_ENGINE);

  for (size_t i = 0; i < count; i++)
    {
      bool is_new = i >= options.instances[SERVICE_ENGINE];
      double share = is_new ? bad_share : 0;
      fake_upstream_set_share (
          gateway_processes_instance (processes, SERVICE_ENGINE, i),
          trouble != NULL ? trouble->action : ACT_ERROR,
          trouble != NULL ? share + (1 - share) * trouble->share : share);
    }
}

/* Check that the version of the run NAME got no request too late and is rolled
   back, and end PROCESSES.  */
static void
finish_reverted (gateway_processes_t *processes, const char *name)
{
  version_exposure_t exposure = gateway_processes_exposure (processes);

  printf ("%s: %zu of %zu requests, %zu bad answers, %zu late requests\n",
          name, exposure.new_requests, exposure.requests, exposure.bad_answers,
          exposure.late_requests);
  ck_assert_uint_eq (exposure.late_requests, 0);
  ck_assert (gateway_processes_is_version (processes, "rolled_back"));
  gateway_processes_finish (processes);
  gateway_processes_destroy (processes, false);
}

/* Failure: a version of which half of the answers are bad gets requests long
   after its 50th bad answer, since the old version fails as well.  */
START_TEST (bad_version_stays_in_a_trouble_of_both_versions)
{
  const trouble_t *trouble = &troubles[_i];
  const double bad_share = 0.5;
  gateway_processes_t *processes = gateway_processes_create (&options);

  gateway_processes_run (processes, CALM_MS);
  gateway_processes_order_version (processes, WITHIN_S, ACT_ERROR, bad_share);
  run (processes, TROUBLE_FROM_MS);
  set_trouble (processes, trouble, bad_share);
  run (processes, TROUBLE_MS);
  set_trouble (processes, NULL, bad_share);
  run (processes, AFTER_MS);
  finish_reverted (processes, trouble->name);
}
END_TEST

typedef struct
{
  const char *name;
  fake_action_t action;
  double share;       /* Part of the requests that get ACTION.  */
  bool is_after_done; /* The version is good until it is declared good.  */
} small_badness_t;

static const small_badness_t small_badnesses[] = {
  { "streams break off in one of six", ACT_STREAM_CUT_IN_EVENT, 0.17, false },
  { "answers fail after the decision", ACT_ERROR, 0.3, true },
};

/* Failure: a version is bad a little, or only after it was declared good, and
   keeps getting requests after its 50th bad answer.  */
START_TEST (bad_version_stays_after_it_was_declared_good)
{
  const small_badness_t *badness = &small_badnesses[_i];
  double share_before = badness->is_after_done ? 0 : badness->share;
  gateway_processes_t *processes = gateway_processes_create (&options);

  gateway_processes_run (processes, CALM_MS);
  gateway_processes_order_version (processes, SHORT_WITHIN_S, badness->action,
                                   share_before);
  run (processes, SHORT_WITHIN_S * 1000);
  gateway_processes_set_version_share (processes, badness->action,
                                       badness->share);
  run (processes, EXPOSED_MS);
  finish_reverted (processes, badness->name);
}
END_TEST

typedef struct
{
  const char *name;
  fake_action_t action;
  double old_share; /* Part of the requests that get ACTION from the old
                       version, from OLD_FAILS_FROM_MS on.  */
  double new_share; /* The same from the new version, from the order on.  */
} masked_badness_t;

static const masked_badness_t masked_badnesses[] = {
  { "resets beside an old version that resets more", ACT_RESET, 1.0 / 3,
    0.17 },
  { "cut streams beside an old version that cuts more",
    ACT_STREAM_CUT_IN_EVENT, 2.0 / 3, 0.25 },
};

/* Failure: a bad version is declared good, and keeps getting requests after
   its 50th bad answer, since the old version fails in the same way and more
   often.  */
START_TEST (bad_version_stays_beside_an_old_one_that_fails_as_well)
{
  const masked_badness_t *badness = &masked_badnesses[_i];
  gateway_processes_t *processes = gateway_processes_create (&options);

  gateway_processes_set_rate (processes, SERVICE_ENGINE, MASKED_RATE);
  gateway_processes_run (processes, CALM_MS);
  gateway_processes_order_version (processes, MASKED_WITHIN_S, badness->action,
                                   badness->new_share);
  run (processes, OLD_FAILS_FROM_MS);
  for (size_t i = 0; i < options.instances[SERVICE_ENGINE]; i++)
    fake_upstream_set_share (
        gateway_processes_instance (processes, SERVICE_ENGINE, i),
        badness->action, badness->old_share);
  run (processes, MASKED_WITHIN_S * 1000 - OLD_FAILS_FROM_MS + EXPOSED_MS);
  finish_reverted (processes, badness->name);
}
END_TEST

/* Failure: a good version is rolled back on a calm day.  */
START_TEST (good_version_is_rolled_back)
{
  gateway_processes_t *processes = gateway_processes_create (&options);

  gateway_processes_run (processes, CALM_MS);
  gateway_processes_order_version (processes, GOOD_WITHIN_S, ACT_ERROR, 0);
  run (processes, GOOD_WITHIN_S * 1000);
  ck_assert (gateway_processes_is_version (processes, "done"));
  gateway_processes_finish (processes);
  gateway_processes_destroy (processes, false);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("bad version");
  TCase *good = tcase_create ("good version");

  for (int i = 0; i < (int)(sizeof troubles / sizeof troubles[0]); i++)
    {
      TCase *tcase = tcase_create (troubles[i].name);
      tcase_set_timeout (tcase, 90);
      tcase_add_loop_test (
          tcase, bad_version_stays_in_a_trouble_of_both_versions, i, i + 1);
      suite_add_tcase (suite, tcase);
    }
  for (int i = 0;
       i < (int)(sizeof small_badnesses / sizeof small_badnesses[0]); i++)
    {
      TCase *tcase = tcase_create (small_badnesses[i].name);
      tcase_set_timeout (tcase, 90);
      tcase_add_loop_test (tcase, bad_version_stays_after_it_was_declared_good,
                           i, i + 1);
      suite_add_tcase (suite, tcase);
    }
  for (int i = 0;
       i < (int)(sizeof masked_badnesses / sizeof masked_badnesses[0]); i++)
    {
      TCase *tcase = tcase_create (masked_badnesses[i].name);
      tcase_set_timeout (tcase, 90);
      tcase_add_loop_test (
          tcase, bad_version_stays_beside_an_old_one_that_fails_as_well, i,
          i + 1);
      suite_add_tcase (suite, tcase);
    }
  tcase_set_timeout (good, 90);
  tcase_add_test (good, good_version_is_rolled_back);
  suite_add_tcase (suite, good);
  return suite_run (suite);
}
