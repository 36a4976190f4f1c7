/* Gateway processes under load while a seeded schedule injects faults, up to
   FAULT_SLOTS at a time: signals to gateways, instances that fail, crash or
   are crashed by a request, and outages of the store.  Checks the bounds on
   repeated sends, prints the faults and the violations, and exits with 1 when
   there was one.  */

#include "base/rng.h"
#include "chaos_args.h"
#include "gateway_processes.h"
#include "suite.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  FAULT_SLOTS = 3,
  STEP_MS = 50,
  FIRST_FAULT_MS = 2000,
  FAULT_MS_MIN = 300,
  FAULT_MS_MAX = 4000,
  PAUSE_MS_MAX = 3000,
  SLOW_STORE_MS = 600,
  /* Time after which a content that crashed its third instance may be sent
     LATE_CRASHING_MAX more times.  */
  LATE_CRASHING_AFTER_MS = 3000,
  LATE_CRASHING_MAX = 3,
  LATE_DEADLINES_MAX = 20,
  /* Bounds on a prompt part that crashes instances, and on a bad version.  */
  LATE_PART_AFTER_MS = 3000,
  LATE_PART_MAX = 3,
  EXPOSURE_SLACK = 30,
  NEW_INSTANCES = 8,
  ORDER_MS_MIN = 3000,
  ORDER_MS_SPAN = 6000,
  WITHIN_S_MIN = 12,
  WITHIN_S_SPAN = 14,
  VERSION_SEED = 0x51, /* Tells the seed's draws for the version apart.  */
  ENDLESS_SEED = 0x52, /* The same for responses without an end.  */
  ENDLESS_BYTES_MAX = 32768,
  /* Longest time after the time limit at which a version turns bad.  */
  BAD_AFTER_S_MAX = 4,
  MS_PER_S = 1000
};

/* Kinds of runs.  */
enum
{
  VARIANT_READERS,
  VARIANT_VERSIONS,
  VARIANT_COUNT
};

static const double exposure_share = 0.15;

static chaos_args_t args;

static const gateway_processes_options_t chaos_options
    = { .gateways = 6,
        .instances = { [SERVICE_APP] = 3, [SERVICE_ENGINE] = 16 },
        .requests_per_s = { [SERVICE_APP] = 29, [SERVICE_ENGINE] = 84 },
        .budget = { .ratio = 0.9, .slack = 58, .window_ms = 10000 } };

typedef struct fault fault_t;

/* A fault that is in force, or the pause before the next one.  */
typedef struct
{
  const fault_t *fault; /* NULL: a pause.  */
  uint64_t end_ms;      /* Monotonic time, in ms.  */
  size_t target;
  process_service_t service;
} fault_slot_t;

typedef struct
{
  gateway_processes_t *processes;
  rng_t rng;
  rng_t endless_rng; /* Chooses responses without an end, so that the other
                        draws of a seed do not depend on them.  */
  uint64_t start_ms;
  fault_slot_t slots[FAULT_SLOTS];
  size_t crashing_contents; /* Contents of crashing requests so far.  */
  bool has_left[GATEWAY_PROCESSES_MAX]; /* The gateway is not started again. */
  bool has_copy;     /* A copy of the store's rows was taken.  */
  uint64_t order_ms; /* Time after the start at which a version is ordered.  */
  bool is_ordered;
  bool is_version_bad;
  fake_action_t bad_action;
  double bad_share;     /* Part of the requests that get BAD_ACTION.  */
  uint64_t bad_from_ms; /* Time after the start from which they do.  */
  bool is_spoiled;      /* It is that time.  */
} chaos_t;

struct fault
{
  const char *name;
  void (*inject) (chaos_t *chaos, fault_slot_t *slot);
  /* Called at each step while the fault is in force; NULL: nothing to do.  */
  void (*step) (chaos_t *chaos, fault_slot_t *slot);
  void (*revert) (chaos_t *chaos, fault_slot_t *slot);
};

static void
log_fault (const chaos_t *chaos, const char *what, const fault_slot_t *slot)
{
  printf ("%7.3f %s %s, target %zu, service %d\n",
          (double)(harness_now_ms () - chaos->start_ms) / MS_PER_S, what,
          slot->fault->name, slot->target, (int)slot->service);
}

/* Gateways.  */

static void
signal_target (chaos_t *chaos, fault_slot_t *slot, int signum)
{
  slot->target = (size_t)rng_below (&chaos->rng, chaos_options.gateways);
  gateway_processes_signal (chaos->processes, slot->target, signum);
}

static void
kill_gateway (chaos_t *chaos, fault_slot_t *slot)
{
  signal_target (chaos, slot, SIGKILL);
  slot->end_ms = 0;
}

static void
kill_all_gateways (chaos_t *chaos, fault_slot_t *slot)
{
  for (size_t i = 0; i < chaos_options.gateways; i++)
    gateway_processes_signal (chaos->processes, i, SIGKILL);
  slot->end_ms = 0;
}

static void
stop_gateway (chaos_t *chaos, fault_slot_t *slot)
{
  signal_target (chaos, slot, SIGTERM);
  slot->end_ms = 0;
}

static void
pause_gateway (chaos_t *chaos, fault_slot_t *slot)
{
  signal_target (chaos, slot, SIGSTOP);
}

static void
resume_gateway (chaos_t *chaos, fault_slot_t *slot)
{
  gateway_processes_signal (chaos->processes, slot->target, SIGCONT);
}

static void
remove_gateway (chaos_t *chaos, fault_slot_t *slot)
{
  signal_target (chaos, slot, SIGTERM);
  chaos->has_left[slot->target] = true;
}

static void
return_gateway (chaos_t *chaos, fault_slot_t *slot)
{
  chaos->has_left[slot->target] = false;
}

/* Start the gateways again that have ended and did not leave.  */
static void
restart_ended_gateways (chaos_t *chaos)
{
  for (size_t i = 0; i < chaos_options.gateways; i++)
    if (!chaos->has_left[i]
        && !gateway_processes_is_running (chaos->processes, i))
      gateway_processes_restart (chaos->processes, i);
}

/* Instances.  */

static void
choose_instance (chaos_t *chaos, fault_slot_t *slot)
{
  slot->service = (process_service_t)rng_below (&chaos->rng, SERVICE_COUNT);
  slot->target = (size_t)rng_below (
      &chaos->rng,
      gateway_processes_instance_count (chaos->processes, slot->service));
}

static fake_upstream_t *
instance_of (const chaos_t *chaos, const fault_slot_t *slot, size_t index)
{
  return gateway_processes_instance (chaos->processes, slot->service, index);
}

static void
crash_instance (chaos_t *chaos, fault_slot_t *slot)
{
  choose_instance (chaos, slot);
  fake_upstream_crash (instance_of (chaos, slot, slot->target));
}

static void
do_nothing (chaos_t *chaos, fault_slot_t *slot)
{
  (void)chaos;
  (void)slot;
}

/* Start the instances again that have crashed, at most one of each service at
   a step.  */
static void
restart_crashed_instances (chaos_t *chaos)
{
  for (int service = 0; service < SERVICE_COUNT; service++)
    for (size_t i = 0; i < gateway_processes_instance_count (
                           chaos->processes, (process_service_t)service);
         i++)
      if (fake_upstream_has_crashed (gateway_processes_instance (
              chaos->processes, (process_service_t)service, i))
          && rng_below (&chaos->rng, MS_PER_S / STEP_MS) == 0)
        {
          gateway_processes_restart_instance (chaos->processes,
                                              (process_service_t)service, i);
          break;
        }
}

/* Let all instances of a service, or every other one, react with ACTION.  */
static void
script_instances (chaos_t *chaos, fault_slot_t *slot, fake_action_t action)
{
  choose_instance (chaos, slot);
  size_t step = 1 + (size_t)rng_below (&chaos->rng, 2);
  for (size_t i = 0;
       i < gateway_processes_instance_count (chaos->processes, slot->service);
       i += step)
    fake_upstream_script (instance_of (chaos, slot, i), &action, 1);
}

static void
fail_instances (chaos_t *chaos, fault_slot_t *slot)
{
  script_instances (chaos, slot, ACT_ERROR);
}

static void
refuse_requests (chaos_t *chaos, fault_slot_t *slot)
{
  script_instances (chaos, slot, ACT_REFUSE_NOT_RUN);
}

static void
reset_requests (chaos_t *chaos, fault_slot_t *slot)
{
  script_instances (chaos, slot, ACT_RESET);
}

/* Return a response without an end, and set *BYTES to the size of its
   parts.  */
static fake_action_t
draw_endless (rng_t *rng, size_t *bytes)
{
  static const fake_action_t actions[]
      = { ACT_ENDLESS_HEADER_LINE, ACT_ENDLESS_HEADER_LINES,
          ACT_ENDLESS_INTERIM,     ACT_ENDLESS_BODY,
          ACT_ENDLESS_CHUNK_SIZE,  ACT_ENDLESS_CHUNK_EXTENSION,
          ACT_ENDLESS_TRAILERS,    ACT_ENDLESS_EVENT,
          ACT_ENDLESS_EVENT_LATER, ACT_ENDLESS_COMMENT,
          ACT_ENDLESS_COMMENTS,    ACT_ENDLESS_COMMENTS_LATER };

  *bytes = rng_below (rng, 2) == 0
               ? 0
               : (size_t)rng_below (rng, ENDLESS_BYTES_MAX);
  return actions[rng_below (rng, sizeof actions / sizeof actions[0])];
}

/* Let the instances send only a part of their responses and close the
   connection, or, in half of the cases, responses without an end.  */
static void
cut_responses (chaos_t *chaos, fault_slot_t *slot)
{
  size_t bytes;
  fake_action_t action = draw_endless (&chaos->endless_rng, &bytes);

  if (rng_below (&chaos->endless_rng, 2) == 0)
    action = ACT_STREAM_CUT_IN_EVENT;
  else
    printf ("responses without an end, action %d in parts of %zu bytes\n",
            (int)action, bytes);
  script_instances (chaos, slot, action);
  for (size_t i = 0;
       i < gateway_processes_instance_count (chaos->processes, slot->service);
       i++)
    fake_upstream_set_endless_bytes (instance_of (chaos, slot, i), bytes);
}

static void
restore_instances (chaos_t *chaos, fault_slot_t *slot)
{
  gateway_processes_script (chaos->processes, slot->service,
                            slot->service == SERVICE_APP ? ACT_RESPOND
                                                         : ACT_STREAM_PAUSE);
}

/* Send a request that crashes instances, and send it again at each step with
   an attempt id of its own.  */
static void
begin_crashing_request (chaos_t *chaos, fault_slot_t *slot)
{
  choose_instance (chaos, slot);
  slot->target = chaos->crashing_contents++ % CRASHING_CONTENTS_MAX;
}

static void
repeat_crashing_request (chaos_t *chaos, fault_slot_t *slot)
{
  if (rng_below (&chaos->rng, 4) == 0)
    gateway_processes_send_crashing (chaos->processes, slot->service,
                                     slot->target);
}

/* Send requests, no two alike, that have a prompt part which crashes
   instances.  */
static void
repeat_bad_part (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  if (rng_below (&chaos->rng, 4) == 0)
    gateway_processes_send_bad_part (chaos->processes);
}

/* Order a version, in most runs a bad one, if it is time.  How bad it is, and
   from when, follows from the seed alone, so that the other draws stay.  */
static void
order_version (chaos_t *chaos)
{
  static const fake_action_t bad_actions[]
      = { ACT_ERROR, ACT_RESET, ACT_STREAM_CUT_IN_EVENT, ACT_TRUNCATE_BODY };
  static const double bad_shares[] = { 0.1, 0.15, 0.25, 0.35, 0.5, 0.8 };
  rng_t rng = rng_make (args.seed ^ VERSION_SEED);
  uint64_t now_ms = harness_now_ms () - chaos->start_ms;

  if (!args.is_variant[VARIANT_VERSIONS] || chaos->is_ordered
      || now_ms < chaos->order_ms)
    return;
  chaos->is_ordered = true;
  chaos->is_version_bad = rng_below (&chaos->rng, 4) != 0;
  chaos->bad_action = bad_actions[rng_below (
      &chaos->rng, sizeof bad_actions / sizeof bad_actions[0])];
  unsigned within_s
      = (unsigned)(WITHIN_S_MIN + rng_below (&chaos->rng, WITHIN_S_SPAN));
  chaos->bad_share
      = bad_shares[rng_below (&rng, sizeof bad_shares / sizeof bad_shares[0])];
  if (rng_below (&rng, 5) == 0)
    chaos->bad_action = ACT_STREAM_LATE;
  chaos->bad_from_ms = now_ms;
  if (rng_below (&rng, 3) == 0)
    chaos->bad_from_ms
        += rng_below (&rng, (within_s + BAD_AFTER_S_MAX) * MS_PER_S);
  gateway_processes_order_version (chaos->processes, within_s,
                                   chaos->bad_action, 0);
  printf ("%7.3f order of a %s version within %u s, action %d in %g from "
          "%.3f s on\n",
          (double)now_ms / MS_PER_S, chaos->is_version_bad ? "bad" : "good",
          within_s, (int)chaos->bad_action,
          chaos->is_version_bad ? chaos->bad_share : 0,
          (double)chaos->bad_from_ms / MS_PER_S);
}

/* Let a bad version be bad if it is time.  */
static void
spoil_version (chaos_t *chaos)
{
  if (!chaos->is_ordered || !chaos->is_version_bad || chaos->is_spoiled
      || harness_now_ms () - chaos->start_ms < chaos->bad_from_ms)
    return;
  chaos->is_spoiled = true;
  gateway_processes_set_version_share (chaos->processes, chaos->bad_action,
                                       chaos->bad_share);
}

/* Store.  */

static void
disturb_store (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  gateway_processes_note_store_fault (chaos->processes);
}

static void
begin_outage (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  fake_rows_set_down (gateway_processes_rows (chaos->processes), true);
}

static void
end_outage (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  fake_rows_set_down (gateway_processes_rows (chaos->processes), false);
}

/* Cut a gateway off from the store; it reaches the other gateways.  */
static void
cut_store (chaos_t *chaos, fault_slot_t *slot)
{
  slot->target = (size_t)rng_below (&chaos->rng, chaos_options.gateways);
  gateway_processes_set_store_access (
      chaos->processes, slot->target,
      rng_below (&chaos->rng, 2) == 0 ? STORE_SILENT : STORE_REFUSING);
}

static void
reconnect_store (chaos_t *chaos, fault_slot_t *slot)
{
  gateway_processes_set_store_access (chaos->processes, slot->target,
                                      STORE_REACHABLE);
}

static void
slow_store (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  gateway_processes_set_store_delay (chaos->processes, SLOW_STORE_MS);
}

static void
speed_up_store (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  gateway_processes_set_store_delay (chaos->processes, 0);
}

static void
separate_gateways (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  gateway_processes_set_separate (chaos->processes, true);
}

static void
connect_gateways (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  gateway_processes_set_separate (chaos->processes, false);
}

static void
stall_gateway_list (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  fake_rows_set_stalled (gateway_processes_rows (chaos->processes),
                         ROWS_SHARED, true);
}

static void
release_gateway_list (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  fake_rows_set_stalled (gateway_processes_rows (chaos->processes),
                         ROWS_SHARED, false);
}

static void
refuse_writes (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  fake_rows_set_refusing_writes (gateway_processes_rows (chaos->processes),
                                 true);
}

static void
accept_writes (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  fake_rows_set_refusing_writes (gateway_processes_rows (chaos->processes),
                                 false);
}

/* Take a copy of the store, unless another slot did.  */
static void
take_copy (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  if (!chaos->has_copy)
    fake_rows_take_copy (gateway_processes_rows (chaos->processes));
  chaos->has_copy = true;
}

static void
return_to_copy (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  if (chaos->has_copy)
    gateway_processes_return_to_copy (chaos->processes);
  chaos->has_copy = false;
}

/* Load.  */

static void
reduce_load (chaos_t *chaos, fault_slot_t *slot)
{
  choose_instance (chaos, slot);
  gateway_processes_set_rate (chaos->processes, slot->service,
                              chaos_options.requests_per_s[slot->service]
                                  / 10);
}

static void
restore_load (chaos_t *chaos, fault_slot_t *slot)
{
  gateway_processes_set_rate (chaos->processes, slot->service,
                              chaos_options.requests_per_s[slot->service]);
}

static void
prefer_gateway (chaos_t *chaos, fault_slot_t *slot)
{
  slot->target = (size_t)rng_below (&chaos->rng, chaos_options.gateways);
  gateway_processes_prefer (chaos->processes, slot->target);
}

static void
prefer_no_gateway (chaos_t *chaos, fault_slot_t *slot)
{
  (void)slot;
  gateway_processes_prefer (chaos->processes, GATEWAY_PROCESSES_MAX);
}

static const fault_t faults[] = {
  { "kill gateway", kill_gateway, NULL, do_nothing },
  { "kill all gateways", kill_all_gateways, NULL, do_nothing },
  { "stop gateway", stop_gateway, NULL, do_nothing },
  { "pause gateway", pause_gateway, NULL, resume_gateway },
  { "gateway leaves", remove_gateway, NULL, return_gateway },
  { "crash instance", crash_instance, NULL, do_nothing },
  { "instances fail", fail_instances, NULL, restore_instances },
  { "instances are full", refuse_requests, NULL, restore_instances },
  { "instances reset", reset_requests, NULL, restore_instances },
  { "responses are cut", cut_responses, NULL, restore_instances },
  { "crashing request", begin_crashing_request, repeat_crashing_request,
    do_nothing },
  { "store outage", begin_outage, disturb_store, end_outage },
  { "list of gateways stalls", stall_gateway_list, disturb_store,
    release_gateway_list },
  { "store refuses writes", refuse_writes, disturb_store, accept_writes },
  { "older copy of the store", take_copy, disturb_store, return_to_copy },
  { "little traffic", reduce_load, NULL, restore_load },
  /* Only where gateways read the store through each other.  */
  { "gateway cut from the store", cut_store, disturb_store, reconnect_store },
  { "slow store", slow_store, disturb_store, speed_up_store },
  { "gateways apart", separate_gateways, disturb_store, connect_gateways },
  /* Only beside a version that is ordered.  */
  { "bad prompt part", do_nothing, repeat_bad_part, do_nothing },
  { "bad prompt part", do_nothing, repeat_bad_part, do_nothing },
  { "most connections to one gateway", prefer_gateway, NULL,
    prefer_no_gateway }
};

enum
{
  /* Numbers of faults at the end of the table.  */
  READER_FAULTS = 3,
  VERSION_FAULTS = 3,
  FAULTS = sizeof faults / sizeof faults[0]
};

/* Return a fault of this kind of run.  */
static const fault_t *
choose_fault (rng_t *rng)
{
  size_t count = FAULTS - READER_FAULTS - VERSION_FAULTS;

  if (args.is_variant[VARIANT_VERSIONS])
    count = FAULTS;
  else if (args.is_variant[VARIANT_READERS])
    count = FAULTS - VERSION_FAULTS;
  return &faults[rng_below (rng, count)];
}

static void
step_slot (chaos_t *chaos, fault_slot_t *slot)
{
  uint64_t now_ms = harness_now_ms ();

  if (slot->fault != NULL && slot->fault->step != NULL)
    slot->fault->step (chaos, slot);
  if (now_ms < slot->end_ms)
    return;
  if (slot->fault != NULL)
    {
      slot->fault->revert (chaos, slot);
      log_fault (chaos, "end of", slot);
      slot->fault = NULL;
      slot->end_ms = now_ms + rng_below (&chaos->rng, PAUSE_MS_MAX);
      return;
    }
  slot->fault = choose_fault (&chaos->rng);
  slot->end_ms = now_ms + FAULT_MS_MIN
                 + rng_below (&chaos->rng, FAULT_MS_MAX - FAULT_MS_MIN);
  slot->fault->inject (chaos, slot);
  log_fault (chaos, "begin of", slot);
}

static void
run_schedule (chaos_t *chaos, uint64_t run_ms)
{
  gateway_processes_run (chaos->processes, FIRST_FAULT_MS);
  while (harness_now_ms () - chaos->start_ms < run_ms)
    {
      for (size_t i = 0; i < FAULT_SLOTS; i++)
        step_slot (chaos, &chaos->slots[i]);
      order_version (chaos);
      spoil_version (chaos);
      restart_ended_gateways (chaos);
      restart_crashed_instances (chaos);
      gateway_processes_run (chaos->processes, STEP_MS);
    }
  for (size_t i = 0; i < FAULT_SLOTS; i++)
    if (chaos->slots[i].fault != NULL)
      chaos->slots[i].fault->revert (chaos, &chaos->slots[i]);
}

/* Checks.  Each returns the number of violations.  */

static unsigned
check_service (const chaos_t *chaos, process_service_t service)
{
  budget_window_t worst
      = gateway_processes_worst_window (chaos->processes, service);
  size_t excess_runs
      = gateway_processes_excess_runs (chaos->processes, service);
  size_t late_deadlines
      = gateway_processes_late_deadlines (chaos->processes, service);
  bool is_over = worst.extra_sends > worst.allowed;
  bool is_late = late_deadlines > LATE_DEADLINES_MAX;

  printf ("service %d: %zu of %zu answered; extra sends at most %.0f of %.1f "
          "until %.3f s, run too often %zu, late deadlines %zu\n",
          (int)service, gateway_processes_answered (chaos->processes, service),
          gateway_processes_sent (chaos->processes, service),
          worst.extra_sends, worst.allowed, (double)worst.end_step / MS_PER_S,
          excess_runs, late_deadlines);
  if (is_over)
    printf ("VIOLATION extra sends\n");
  if (excess_runs > 0)
    printf ("VIOLATION runs of one request\n");
  if (is_late)
    printf ("VIOLATION deadlines\n");
  return (unsigned)is_over + (excess_runs > 0) + is_late;
}

static unsigned
check_crashing (const chaos_t *chaos)
{
  size_t late = gateway_processes_late_crashing (chaos->processes,
                                                 LATE_CRASHING_AFTER_MS, true);
  size_t all = gateway_processes_late_crashing (chaos->processes,
                                                LATE_CRASHING_AFTER_MS, false);

  printf ("late sends of a crashing request: %zu, with disturbed gateways and "
          "store %zu\n",
          late, all);
  if (late <= LATE_CRASHING_MAX)
    return 0;
  printf ("VIOLATION crashing request\n");
  return 1;
}

static unsigned
check_part (const chaos_t *chaos)
{
  size_t late = gateway_processes_late_part (chaos->processes,
                                             LATE_PART_AFTER_MS, true);

  printf ("prompt part: %zu requests, %zu crashes, late sends %zu, with "
          "disturbed gateways and store %zu\n",
          gateway_processes_bad_part_sent (chaos->processes),
          gateway_processes_part_crashes (chaos->processes), late,
          gateway_processes_late_part (chaos->processes, LATE_PART_AFTER_MS,
                                       false));
  if (late <= LATE_PART_MAX)
    return 0;
  printf ("VIOLATION prompt part\n");
  return 1;
}

static unsigned
check_version (const chaos_t *chaos)
{
  version_exposure_t exposure = gateway_processes_exposure (chaos->processes);
  double allowed = exposure_share * (double)exposure.requests + EXPOSURE_SLACK;
  bool is_over = (double)exposure.new_requests > allowed;
  bool is_late = exposure.late_requests > 0;

  if (!chaos->is_ordered)
    return 0;
  printf ("version: %s, %s, %zu of %.1f requests, %zu bad answers, late %zu\n",
          chaos->is_version_bad ? "bad" : "good",
          gateway_processes_is_version (chaos->processes, "done") ? "done"
          : gateway_processes_is_version (chaos->processes, "rolled_back")
              ? "rolled back"
              : "running",
          exposure.new_requests, allowed, exposure.bad_answers,
          exposure.late_requests);
  if (!chaos->is_version_bad)
    return 0;
  if (is_over)
    printf ("VIOLATION share of a bad version\n");
  if (is_late)
    printf ("VIOLATION bad version\n");
  return (unsigned)is_over + is_late;
}

START_TEST (bounds_on_repeated_sends_hold)
{
  chaos_t chaos = { .rng = rng_make (args.seed),
                    .endless_rng = rng_make (args.seed ^ ENDLESS_SEED) };
  gateway_processes_options_t options = chaos_options;
  unsigned violations = 0;

  printf ("seed %" PRIu64 ", %" PRIu64 " s\n", args.seed, args.seconds);
  options.has_readers
      = args.is_variant[VARIANT_READERS] || args.is_variant[VARIANT_VERSIONS];
  if (args.is_variant[VARIANT_VERSIONS])
    {
      options.new_instances = NEW_INSTANCES;
      chaos.order_ms = ORDER_MS_MIN + rng_below (&chaos.rng, ORDER_MS_SPAN);
    }
  chaos.processes = gateway_processes_create (&options);
  gateway_processes_script (chaos.processes, SERVICE_ENGINE, ACT_STREAM_PAUSE);
  chaos.start_ms = harness_now_ms ();
  run_schedule (&chaos, args.seconds * MS_PER_S);
  gateway_processes_finish (chaos.processes);
  for (int service = 0; service < SERVICE_COUNT; service++)
    violations += check_service (&chaos, (process_service_t)service);
  violations += check_crashing (&chaos);
  violations += check_part (&chaos);
  violations += check_version (&chaos);
  printf ("calls of the store: %zu\n",
          fake_rows_call_count (gateway_processes_rows (chaos.processes)));
  printf ("violations %u\n", violations);
  fflush (stdout);
  gateway_processes_destroy (chaos.processes, violations > 0);
  ck_assert_uint_eq (violations, 0);
}
END_TEST

int
main (int argc, char **argv)
{
  static const chaos_variant_t variants[VARIANT_COUNT] = {
    [VARIANT_READERS]
    = { "readers", "the gateways read the store through each other" },
    [VARIANT_VERSIONS] = { "versions", "the same, with a version that is "
                                       "ordered and a bad prompt part" },
  };
  Suite *suite = suite_create ("gateway chaos");
  TCase *tcase = tcase_create ("gateway chaos");

  args = chaos_args_parse (argc, argv,
                           "Send load through gateways, inject faults and "
                           "check the bounds on repeated sends.",
                           variants, VARIANT_COUNT);
  tcase_set_timeout (tcase, 0);
  tcase_add_test (tcase, bounds_on_repeated_sends_hold);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
