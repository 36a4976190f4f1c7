/* Gateways as processes of their own.  Their store and the instances are
   stand-ins on the event loop of the test, which also plays the callers: it
   sends requests at a constant rate and records which of them reach which
   instance.  */

#ifndef TESTS_GATEWAY_PROCESSES_H
#define TESTS_GATEWAY_PROCESSES_H

#include "budget_window.h"
#include "fake_rows.h"
#include "fake_upstream.h"
#include "harness.h"
#include "partitioned_store.h"

#include <uv.h>

enum
{
  GATEWAY_PROCESSES_MAX = 8,
  PROCESS_INSTANCES_MAX = 32,
  CRASHING_CONTENTS_MAX = 16
};

/* Services of the configuration, each with one route.  */
typedef enum
{
  SERVICE_APP,    /* Idempotent requests, two runs at most.  */
  SERVICE_ENGINE, /* Resumable streams, three runs at most.  */
  SERVICE_COUNT
} process_service_t;

typedef struct
{
  size_t gateways;
  size_t instances[SERVICE_COUNT];
  size_t new_instances; /* Instances of SERVICE_ENGINE that run the version of
                           gateway_processes_order_version.  Their indices
                           follow those of the others.  */
  double requests_per_s[SERVICE_COUNT];
  send_budget_options_t budget; /* Of extra sends, for each service.  */
  bool has_readers; /* The gateways read the store through each other.  */
} gateway_processes_options_t;

typedef struct gateway_processes gateway_processes_t;

/* Start the store, the instances and the gateways, and wait until the gateways
   are ready.  */
gateway_processes_t *
gateway_processes_create (const gateway_processes_options_t *options);
/* Kill the gateways and release PROCESSES.  When FAILED, print the end of
   their logs.  */
void gateway_processes_destroy (gateway_processes_t *processes, bool failed);

/* Send now a request for SERVICE that crashes each instance that runs it.
   Requests with the same NUMBER, below CRASHING_CONTENTS_MAX, have equal
   content.  */
void gateway_processes_send_crashing (gateway_processes_t *processes,
                                      process_service_t service,
                                      size_t number);
/* Send now a request for SERVICE_ENGINE that has the prompt part that crashes
   each instance that runs it, and else is like no other request.  */
void gateway_processes_send_bad_part (gateway_processes_t *processes);
/* Send requests and run the loop for MS.  */
void gateway_processes_run (gateway_processes_t *processes, uint64_t ms);
/* Wait for the responses to all requests.  */
void gateway_processes_finish (gateway_processes_t *processes);

/* Send SIGNUM to gateway INDEX.  Unless it is SIGSTOP or SIGCONT, the callers
   do not use the gateway from then on until gateway_processes_restart.  */
void gateway_processes_signal (gateway_processes_t *processes, size_t index,
                               int signum);
/* Start gateway INDEX, which has ended, again.  Returns at once.  */
void gateway_processes_restart (gateway_processes_t *processes, size_t index);
bool gateway_processes_is_running (gateway_processes_t *processes,
                                   size_t index);
/* Return the process of gateway INDEX, and the host and the port that callers
   connect to.  */
pid_t gateway_processes_pid (const gateway_processes_t *processes,
                             size_t index);
const char *gateway_processes_host (const gateway_processes_t *processes);
uint16_t gateway_processes_port (const gateway_processes_t *processes,
                                 size_t index);

/* Return the value of METRIC, a series of gateway INDEX with its labels, or -1
   if the gateway does not export it.  */
double gateway_processes_metric (gateway_processes_t *processes, size_t index,
                                 const char *metric);

/* Return the number of instances of SERVICE, of all versions.  */
size_t gateway_processes_instance_count (const gateway_processes_t *processes,
                                         process_service_t service);
/* Return instance INDEX of SERVICE.  */
fake_upstream_t *gateway_processes_instance (gateway_processes_t *processes,
                                             process_service_t service,
                                             size_t index);
/* Set the reaction of all instances of SERVICE.  */
void gateway_processes_script (gateway_processes_t *processes,
                               process_service_t service,
                               fake_action_t action);
/* Restart instance INDEX of SERVICE after a crash, under a new id.  */
void gateway_processes_restart_instance (gateway_processes_t *processes,
                                         process_service_t service,
                                         size_t index);
/* Return the store's rows.  */
fake_rows_t *gateway_processes_rows (gateway_processes_t *processes);
/* Set how the store replies to gateway INDEX.  */
void gateway_processes_set_store_access (gateway_processes_t *processes,
                                         size_t index, store_access_t access);
/* Let all calls of the store take DELAY_MS from now on.  */
void gateway_processes_set_store_delay (gateway_processes_t *processes,
                                        uint64_t delay_ms);
/* Set whether the gateways reach the store but not each other.  */
void gateway_processes_set_separate (gateway_processes_t *processes,
                                     bool is_separate);
/* Record that the store is disturbed now.  */
void gateway_processes_note_store_fault (gateway_processes_t *processes);
/* Let the store go back to the copy taken by fake_rows_take_copy, after which
   the instances register again.  */
void gateway_processes_return_to_copy (gateway_processes_t *processes);
/* Send REQUESTS_PER_S requests for SERVICE from now on.  */
void gateway_processes_set_rate (gateway_processes_t *processes,
                                 process_service_t service,
                                 double requests_per_s);

/* Roll-out of a version of SERVICE_ENGINE.  */

/* Let the instances of the new version react to SHARE of the requests with
   ACTION.  */
void gateway_processes_set_version_share (gateway_processes_t *processes,
                                          fake_action_t action, double share);
/* Start the new instances and order their version within WITHIN_S.  They react
   to SHARE of the requests with ACTION.  */
void gateway_processes_order_version (gateway_processes_t *processes,
                                      unsigned within_s, fake_action_t action,
                                      double share);
/* Return whether the order is decided as STATE, a text of the status row.  */
bool gateway_processes_is_version (gateway_processes_t *processes,
                                   const char *state);

typedef struct
{
  size_t requests;      /* Arrivals at the service within the time limit.  */
  size_t new_requests;  /* Arrivals at the version within the time limit.  */
  size_t bad_answers;   /* Arrivals at the version to which it reacted badly,
                           since the store was last disturbed.  */
  size_t late_requests; /* Arrivals at the version of requests that were sent
                           later than VERSION_LATE_MS after bad answer
                           VERSION_BAD_ANSWERS.  */
} version_exposure_t;

enum
{
  VERSION_BAD_ANSWERS = 50,
  VERSION_LATE_MS = 5000,
  /* Time since the last disturbance of a gateway, or of the store, after which
     arrivals through it count.  */
  CALM_AFTER_MS = 3000
};

/* Return the arrivals since the order, through gateways that were not
   disturbed for CALM_AFTER_MS.  */
version_exposure_t
gateway_processes_exposure (const gateway_processes_t *processes);

/* Let most new connections go to gateway INDEX from now on, or to all alike
   with GATEWAY_PROCESSES_MAX.  */
void gateway_processes_prefer (gateway_processes_t *processes, size_t index);

/* Return the window in which the arrivals at SERVICE beyond the first of each
   request use the largest part of what the budget allows.  A step is a ms
   since the first request.  */
budget_window_t
gateway_processes_worst_window (const gateway_processes_t *processes,
                                process_service_t service);
/* Return the number of requests for SERVICE that ran more often than their
   route allows.  */
size_t gateway_processes_excess_runs (const gateway_processes_t *processes,
                                      process_service_t service);
/* Return the number of arrivals at SERVICE with no deadline, with one more
   than 0.5 s longer than the caller's, or, more than 0.5 s after the first
   arrival of the request, with one that ends more than 0.5 s after that of the
   first and after the caller's.  */
size_t gateway_processes_late_deadlines (const gateway_processes_t *processes,
                                         process_service_t service);
/* Return the largest number of arrivals of requests of one content that came
   later than AFTER_MS after this content crashed its third instance.
   IS_CALM_ONLY: count only those from gateways that got no signal and were not
   started, and with a store that was not disturbed, for AFTER_MS before.  */
size_t gateway_processes_late_crashing (const gateway_processes_t *processes,
                                        uint64_t after_ms, bool is_calm_only);
/* Return the number of requests of gateway_processes_send_bad_part.  */
size_t gateway_processes_bad_part_sent (const gateway_processes_t *processes);
/* Return the number of instances that the part of
   gateway_processes_send_bad_part crashed.  */
size_t gateway_processes_part_crashes (const gateway_processes_t *processes);
/* Return the number of arrivals of requests with this part that were sent
   later than AFTER_MS after its fifth crash.  IS_CALM_ONLY as above.  */
size_t gateway_processes_late_part (const gateway_processes_t *processes,
                                    uint64_t after_ms, bool is_calm_only);
/* Return the numbers of requests for SERVICE that were sent, and that got a
   response with a status below 300.  */
size_t gateway_processes_sent (const gateway_processes_t *processes,
                               process_service_t service);
size_t gateway_processes_answered (const gateway_processes_t *processes,
                                   process_service_t service);
/* Return the number of requests for SERVICE that were refused as not run, with
   a time to come back after.  */
size_t gateway_processes_refused (const gateway_processes_t *processes,
                                  process_service_t service);

#endif
