/* Gateway processes before instances that crash when they begin to write an
   answer to a prompt with one particular part, which comes again and again in
   requests that are like no others.  */

#include "gateway_processes.h"
#include "suite.h"

#include "base/rng.h"

#include <stdio.h>

enum
{
  GATEWAYS = 4,
  INSTANCES = 9,
  STEP_MS = 50,
  CALM_MS = 3000,
  BAD_MS = 12000,
  /* Time for which an instance is down after a crash.  */
  DOWN_MS = 2000,
  BAD_INTERVAL_MIN_MS = 150,
  BAD_INTERVAL_MAX_MS = 500,
  /* After the fifth crash and this time, at most LATE_SENDS_MAX sends of
     requests with the part may reach instances.  */
  LATE_AFTER_MS = 3000,
  LATE_SENDS_MAX = 3
};

static const gateway_processes_options_t options
    = { .gateways = GATEWAYS,
        .instances = { [SERVICE_APP] = 1, [SERVICE_ENGINE] = INSTANCES },
        .requests_per_s = { [SERVICE_APP] = 1, [SERVICE_ENGINE] = 40 },
        .budget = { .ratio = 0.9, .slack = 58, .window_ms = 10000 } };

/* Start the instances again that have been down for DOWN_MS.  DOWN_STEPS is
   the number of steps for which each has been down.  */
static void
restart_instances (gateway_processes_t *processes, unsigned *down_steps)
{
  for (size_t i = 0; i < INSTANCES; i++)
    if (!fake_upstream_has_crashed (
            gateway_processes_instance (processes, SERVICE_ENGINE, i)))
      down_steps[i] = 0;
    else if (++down_steps[i] == DOWN_MS / STEP_MS)
      gateway_processes_restart_instance (processes, SERVICE_ENGINE, i);
}

/* Failure: requests that have one part of their prompts in common end instance
   after instance, as each is refused only after crashes of its own.  */
START_TEST (prompt_part_ends_instance_after_instance)
{
  gateway_processes_t *processes = gateway_processes_create (&options);
  unsigned down_steps[INSTANCES] = { 0 };
  rng_t rng = rng_make (1);
  int until_bad_ms = 0;

  gateway_processes_run (processes, CALM_MS);
  size_t sent_before = gateway_processes_sent (processes, SERVICE_ENGINE);
  for (int ms = 0; ms < BAD_MS; ms += STEP_MS)
    {
      if ((until_bad_ms -= STEP_MS) <= 0)
        {
          gateway_processes_send_bad_part (processes);
          until_bad_ms = (int)(BAD_INTERVAL_MIN_MS
                               + rng_below (&rng, BAD_INTERVAL_MAX_MS
                                                      - BAD_INTERVAL_MIN_MS));
        }
      restart_instances (processes, down_steps);
      gateway_processes_run (processes, STEP_MS);
    }
  gateway_processes_finish (processes);
  size_t late = gateway_processes_late_part (processes, LATE_AFTER_MS, false);
  size_t bad = gateway_processes_bad_part_sent (processes);
  double sound = (double)(gateway_processes_sent (processes, SERVICE_ENGINE)
                          - sent_before - bad);
  double answered
      = (double)(gateway_processes_answered (processes, SERVICE_ENGINE)
                 - sent_before);
  printf ("%zu requests with the part, %zu crashes, %zu late sends; "
          "%.2f of the others answered\n",
          bad, gateway_processes_part_crashes (processes), late,
          answered / sound);
  ck_assert_uint_le (late, LATE_SENDS_MAX);
  ck_assert_double_ge (answered / sound, 0.5);
  gateway_processes_destroy (processes, false);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("crashing part");
  TCase *tcase = tcase_create ("crashing part");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, prompt_part_ends_instance_after_instance);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
