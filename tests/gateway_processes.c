#include "gateway_processes.h"

#include "base/mem.h"
#include "base/rng.h"
#include "caller.h"
#include "http_store.h"
#include "loop_wait.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  WAIT_TIMEOUT_MS = 20000,
  LOAD_INTERVAL_MS = 5,
  REQUESTS_MAX = 65536,
  DEADLINE_MS = 3000,
  DEADLINE_SLACK_MS = 500,
  MS_PER_S = 1000,
  CRASH_DELAY_MS = 40,
  /* Number of crashes after which a content may hardly be sent any more.  */
  CRASHES_KNOWN = 3,
  /* Number of crashes after which a prompt part may hardly be sent any more.
   */
  PART_CRASHES_KNOWN = 5,
  /* Numbers of requests beside those of crashing contents.  */
  CRASHING_PART = CRASHING_CONTENTS_MAX,
  NOT_CRASHING,
  /* One in so many connections does not go to the preferred gateway.  */
  PREFERRED_ONE_IN = 8,
  /* Prompt parts that sound requests share.  */
  FIRST_PARTS = 3,
  SUBJECT_PARTS = 40
};

/* Ports of a gateway.  */
enum
{
  PORT_CALLERS,
  PORT_READY,
  PORT_ADMIN,
  PORT_RPC,
  PORTS
};

#define CRASH_TEXT "crash-me"

/* One request of a caller.  */
typedef struct
{
  caller_t caller;
  process_service_t service;
  uint64_t sent_ms;
  size_t arrivals;
  size_t runs;
  uint64_t first_arrival_ms;
  uint64_t first_deadline_end_ms; /* End of the deadline that the first arrival
                                     had.  */
  size_t gateway;                 /* Index of the gateway that got it.  */
  size_t crashing_number;         /* NOT_CRASHING: it crashes no instance.  */
} request_t;

/* An arrival beyond the first of a request.  */
typedef struct
{
  uint64_t at_ms;
  process_service_t service;
} extra_arrival_t;

/* An arrival of a request that crashes instances.  */
typedef struct
{
  uint64_t at_ms;
  uint64_t sent_ms; /* Time at which the caller sent the request.  */
  size_t gateway;
  /* Time since the last signal to the gateway or start of it, and since the
     last disturbance of the store.  */
  uint64_t gateway_calm_ms;
  uint64_t store_calm_ms;
} crashing_arrival_t;

/* Requests of equal content, or with one prompt part, that crash the instances
   that run them.  */
typedef struct
{
  size_t crashes;
  uint64_t known_ms; /* Time of crash number CRASHES_KNOWN, or
                        PART_CRASHES_KNOWN.  */
  crashing_arrival_t *arrivals;
  size_t arrival_count;
} crashing_content_t;

/* The version that was ordered.  */
typedef struct
{
  uint64_t ordered_ms; /* Loop time; 0: none is ordered.  */
  uint64_t time_limit_ms;
  uint64_t late_from_ms; /* Loop time from which requests are sent too late; 0:
                            not known yet.  */
  version_exposure_t exposure;
} ordered_version_t;

typedef struct
{
  proc_t *proc;
  char name[32];
  http_store_t *store; /* The store's address for this gateway.  */
  uint16_t ports[PORTS];
  bool gets_requests;
  uint64_t disturbed_ms; /* Loop time of the last signal or start.  */
} gateway_process_t;

struct gateway_processes
{
  gateway_processes_options_t options;
  uv_loop_t loop;
  loop_wait_t wait;
  fake_rows_t *rows;
  harness_t *harness;
  rng_t rng;
  gateway_process_t gateways[GATEWAY_PROCESSES_MAX];
  fake_upstream_t *instances[SERVICE_COUNT][PROCESS_INSTANCES_MAX];
  size_t lifetimes[SERVICE_COUNT][PROCESS_INSTANCES_MAX];
  uv_timer_t load_timer;
  uint64_t load_started_ms; /* Loop time; 0: no load yet.  */
  double requests_due[SERVICE_COUNT];
  uint64_t load_ticked_ms;     /* Loop time of the last tick.  */
  unsigned era;                /* Of the store.  */
  uint64_t store_disturbed_ms; /* Loop time.  */
  size_t late_deadlines[SERVICE_COUNT];
  request_t *requests;
  size_t request_count;
  extra_arrival_t *extra;
  size_t extra_count;
  crashing_content_t crashing[CRASHING_CONTENTS_MAX + 1];
  ordered_version_t version;
  size_t preferred; /* Index of the gateway that gets most connections;
                       GATEWAY_PROCESSES_MAX: none.  */
};

static const char *const service_names[SERVICE_COUNT] = { "app", "engine" };
static const char *const service_paths[SERVICE_COUNT] = { "/read/", "/chat/" };
static const size_t runs_max[SERVICE_COUNT] = { 2, 3 };

/* Part of the requests that a version may get within its time limit.  */
static const double exposure_share = 0.15;

static const char configuration[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"read\",\"hostname\":\"desk.example\",\"prefix\":\"/read/\","
      "\"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":600,"
      "\"service\":\"app\",\"maxAttempts\":2,\"public\":true},"
      "{\"name\":\"chat\",\"hostname\":\"desk.example\",\"prefix\":\"/chat/\","
      "\"kind\":\"stream\",\"timeoutMs\":3000,\"targetLatencyMs\":1500,"
      "\"service\":\"engine\",\"maxAttempts\":3,\"public\":true,"
      "\"resumable\":true,\"gapAimMs\":1000}],"
      "\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\"},"
      "{\"name\":\"engine\",\"healthPath\":\"/health\"}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

/* Instances.  */

/* Return the number of crashes after which requests with NUMBER are known to
   crash instances.  */
static size_t
crashes_known (size_t number)
{
  return number == CRASHING_PART ? PART_CRASHES_KNOWN : CRASHES_KNOWN;
}

static void
record_crashing_arrival (gateway_processes_t *p, fake_upstream_t *upstream,
                         const request_t *request)
{
  crashing_content_t *content = &p->crashing[request->crashing_number];
  uint64_t now_ms = uv_now (&p->loop);

  content->arrivals
      = mem_realloc (content->arrivals,
                     (content->arrival_count + 1) * sizeof *content->arrivals);
  content->arrivals[content->arrival_count++] = (crashing_arrival_t){
    .at_ms = now_ms,
    .sent_ms = request->sent_ms,
    .gateway = request->gateway,
    .gateway_calm_ms = now_ms - p->gateways[request->gateway].disturbed_ms,
    .store_calm_ms = now_ms - p->store_disturbed_ms,
  };
  if (!fake_upstream_is_crashing (upstream)
      && ++content->crashes == crashes_known (request->crashing_number))
    content->known_ms = now_ms + CRASH_DELAY_MS;
}

static bool
is_new_instance (const gateway_processes_t *p, process_service_t service,
                 size_t index)
{
  return index >= p->options.instances[service];
}

/* Return whether UPSTREAM runs the version that is ordered.  */
static bool
runs_new_version (const gateway_processes_t *p,
                  const fake_upstream_t *upstream)
{
  size_t count = gateway_processes_instance_count (p, SERVICE_ENGINE);

  for (size_t i = p->options.instances[SERVICE_ENGINE]; i < count; i++)
    if (p->instances[SERVICE_ENGINE][i] == upstream)
      return true;
  return false;
}

static bool
is_bad_action (fake_action_t action)
{
  return action != ACT_RESPOND && action != ACT_STREAM
         && action != ACT_STREAM_PAUSE && action != ACT_STREAM_COMMENTED
         && action != ACT_REFUSE_NOT_RUN;
}

/* Record an arrival of REQUEST at UPSTREAM, an instance of
   SERVICE_ENGINE.  */
static void
record_exposure (gateway_processes_t *p, const fake_upstream_t *upstream,
                 const request_t *request)
{
  ordered_version_t *version = &p->version;
  uint64_t now_ms = uv_now (&p->loop);
  bool is_new = runs_new_version (p, upstream);
  bool is_calm
      = now_ms - p->gateways[request->gateway].disturbed_ms >= CALM_AFTER_MS;

  if (now_ms < version->ordered_ms + version->time_limit_ms)
    {
      version->exposure.requests++;
      version->exposure.new_requests += is_new && is_calm;
    }
  /* The count of bad answers begins again after a disturbance of the
     store.  */
  if (now_ms - p->store_disturbed_ms < CALM_AFTER_MS)
    {
      version->exposure.bad_answers = 0;
      version->late_from_ms = 0;
    }
  if (!is_new)
    return;
  version->exposure.late_requests
      += is_calm && version->late_from_ms != 0
         && request->sent_ms > version->late_from_ms;
  if (is_bad_action (fake_upstream_last_action (upstream))
      && ++version->exposure.bad_answers == VERSION_BAD_ANSWERS)
    version->late_from_ms = now_ms + VERSION_LATE_MS;
}

/* Record the deadline of the last request at UPSTREAM, an arrival of REQUEST.
   Return whether it was handed more time than is left.  */
static bool
record_deadline (const gateway_processes_t *p, fake_upstream_t *upstream,
                 request_t *request)
{
  const char *header = strcasestr (fake_upstream_last_request (upstream),
                                   "\r\nDeadline-Ms: ");
  uint64_t now_ms = uv_now (&p->loop);
  unsigned deadline_ms;

  if (header == NULL || sscanf (header, "%*[^:]: %u", &deadline_ms) != 1
      || deadline_ms > DEADLINE_MS + DEADLINE_SLACK_MS)
    return true;
  uint64_t end_ms = now_ms + deadline_ms;
  if (request->arrivals == 0)
    {
      request->first_arrival_ms = now_ms;
      request->first_deadline_end_ms = end_ms;
    }
  return now_ms > request->first_arrival_ms + DEADLINE_SLACK_MS
         && end_ms > request->first_deadline_end_ms + DEADLINE_SLACK_MS
         && end_ms > request->sent_ms + DEADLINE_MS + DEADLINE_SLACK_MS;
}

static void
on_arrival (void *arg, fake_upstream_t *upstream, str_t attempt_id,
            bool is_run)
{
  gateway_processes_t *p = arg;
  uint64_t index;

  ck_assert_msg (str_to_u64 (attempt_id, &index) && index < p->request_count,
                 "not a request of these callers: %s",
                 fake_upstream_last_request (upstream));
  request_t *request = &p->requests[index];
  request->runs += is_run;
  p->late_deadlines[request->service]
      += record_deadline (p, upstream, request);
  if (request->crashing_number != NOT_CRASHING)
    record_crashing_arrival (p, upstream, request);
  if (request->service == SERVICE_ENGINE && p->version.ordered_ms != 0)
    record_exposure (p, upstream, request);
  if (request->arrivals++ == 0)
    return;
  p->extra = mem_realloc (p->extra, (p->extra_count + 1) * sizeof *p->extra);
  p->extra[p->extra_count++]
      = (extra_arrival_t){ uv_now (&p->loop), request->service };
}

static void
format_instance_id (char *text, size_t size, const gateway_processes_t *p,
                    process_service_t service, size_t index)
{
  snprintf (text, size, "%s-%zu-%zu", service_names[service], index,
            p->lifetimes[service][index]);
}

static void
register_instance (gateway_processes_t *p, process_service_t service,
                   size_t index)
{
  char key[64];
  char value[256];

  if (is_new_instance (p, service, index) && p->version.ordered_ms == 0)
    return;
  format_instance_id (key, sizeof key, p, service, index);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"zone-a\",\"version\":\"%s\",\"slotCount\":128,"
            "\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
            "\"born\":%zu}",
            service_names[service],
            fake_upstream_port (p->instances[service][index]),
            is_new_instance (p, service, index) ? "v2" : "v1",
            p->lifetimes[service][index] + 1);
  fake_rows_put (p->rows, ROWS_INSTANCES, key, value);
}

static void
start_instances (gateway_processes_t *p)
{
  for (int service = 0; service < SERVICE_COUNT; service++)
    for (size_t i = 0;
         i < gateway_processes_instance_count (p, (process_service_t)service);
         i++)
      {
        char id[32];
        snprintf (id, sizeof id, "%s-%zu", service_names[service], i);
        fake_upstream_t *instance = fake_upstream_create (&p->loop, id);
        fake_upstream_set_names (instance, platform_dialect ()->names);
        fake_upstream_set_arrival_cb (instance, on_arrival, p);
        fake_upstream_crash_on (instance, CRASH_TEXT, CRASH_DELAY_MS);
        p->instances[service][i] = instance;
        register_instance (p, (process_service_t)service, i);
      }
  gateway_processes_script (p, SERVICE_APP, ACT_RESPOND);
  gateway_processes_script (p, SERVICE_ENGINE, ACT_STREAM);
}

size_t
gateway_processes_instance_count (const gateway_processes_t *p,
                                  process_service_t service)
{
  return p->options.instances[service]
         + (service == SERVICE_ENGINE ? p->options.new_instances : 0);
}

fake_upstream_t *
gateway_processes_instance (gateway_processes_t *p, process_service_t service,
                            size_t index)
{
  return p->instances[service][index];
}

void
gateway_processes_script (gateway_processes_t *p, process_service_t service,
                          fake_action_t action)
{
  for (size_t i = 0; i < gateway_processes_instance_count (p, service); i++)
    fake_upstream_script (p->instances[service][i], &action, 1);
}

void
gateway_processes_restart_instance (gateway_processes_t *p,
                                    process_service_t service, size_t index)
{
  char key[64];

  fake_upstream_restart (p->instances[service][index]);
  format_instance_id (key, sizeof key, p, service, index);
  fake_rows_remove (p->rows, ROWS_INSTANCES, key);
  p->lifetimes[service][index]++;
  register_instance (p, service, index);
}

fake_rows_t *
gateway_processes_rows (gateway_processes_t *p)
{
  return p->rows;
}

void
gateway_processes_set_store_access (gateway_processes_t *p, size_t index,
                                    store_access_t access)
{
  http_store_set_access (p->gateways[index].store, access);
}

void
gateway_processes_set_store_delay (gateway_processes_t *p, uint64_t delay_ms)
{
  for (size_t i = 0; i < p->options.gateways; i++)
    http_store_set_delay (p->gateways[i].store, delay_ms);
}

/* Write the registrations of the gateways again, so that gateways read
   them.  */
static void
touch_registrations (gateway_processes_t *p)
{
  for (size_t i = 0; i < p->options.gateways; i++)
    {
      char key[48];
      snprintf (key, sizeof key, "entry/%s", p->gateways[i].name);
      const char *value = fake_rows_get (p->rows, ROWS_SHARED, key);
      if (value == NULL)
        continue;
      char *copy = str_dup (str_from (value));
      fake_rows_put (p->rows, ROWS_SHARED, key, copy);
      free (copy);
    }
}

void
gateway_processes_set_separate (gateway_processes_t *p, bool is_separate)
{
  for (size_t i = 0; i < p->options.gateways; i++)
    http_store_hide_gateways (p->gateways[i].store,
                              is_separate ? p->gateways[i].name : NULL);
  touch_registrations (p);
}

void
gateway_processes_note_store_fault (gateway_processes_t *p)
{
  p->store_disturbed_ms = uv_now (&p->loop);
}

static void
set_store_era (gateway_processes_t *p)
{
  char text[16];

  snprintf (text, sizeof text, "%u", p->era);
  for (size_t i = 0; i < p->options.gateways; i++)
    http_store_set_era (p->gateways[i].store, text);
}

void
gateway_processes_return_to_copy (gateway_processes_t *p)
{
  fake_rows_return_to_copy (p->rows);
  p->era++;
  set_store_era (p);
  for (int service = 0; service < SERVICE_COUNT; service++)
    for (size_t i = 0;
         i < gateway_processes_instance_count (p, (process_service_t)service);
         i++)
      register_instance (p, (process_service_t)service, i);
}

/* Gateways.  */

static void
start_gateway (gateway_processes_t *p, size_t index)
{
  gateway_process_t *gateway = &p->gateways[index];
  const char *host = harness_host (p->harness);
  buf_t settings = BUF_NULL;
  char rpc[64] = "";
  char file[48];

  snprintf (file, sizeof file, "%s.ini", gateway->name);
  for (size_t i = 0; i < PORTS; i++)
    gateway->ports[i] = harness_find_free_port (p->harness);
  if (p->options.has_readers)
    snprintf (rpc, sizeof rpc, "rpc = %s:%u\n", host,
              gateway->ports[PORT_RPC]);
  buf_printf (&settings,
              "[process]\nname = %s\nrole = gateway\n"
              "availability-zone = zone-a\nadmin = %s:%u\n%s"
              "[gateway]\nlisten = %s:%u\nready = %s:%u\nkill-after-s = 4\n"
              "exposure-share = %g\n"
              "extra-ratio = %g\nextra-slack = %g\nextra-window-s = %g\n"
              "[platform]\naddress = %.*s\n",
              gateway->name, host, gateway->ports[PORT_ADMIN], rpc, host,
              gateway->ports[PORT_CALLERS], host, gateway->ports[PORT_READY],
              exposure_share, p->options.budget.ratio, p->options.budget.slack,
              (double)p->options.budget.window_ms / MS_PER_S,
              STR_ARG (http_store_address (gateway->store)));
  gateway->proc = harness_start (
      p->harness, gateway->name, "bin/vanillahookd", "--settings",
      harness_write_file (p->harness, file, buf_str (&settings)),
      (const char *)NULL);
  gateway->gets_requests = true;
  buf_free (&settings);
}

/* Get PATH from PORT of a gateway.  CALLER is empty and gets the response.  */
static void
get (gateway_processes_t *p, caller_t *caller, uint16_t port, const char *path)
{
  buf_printf (&caller->request,
              "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", path);
  caller_connect (&p->loop, caller, harness_host (p->harness), port);
  LOOP_WAIT (&p->wait, caller->closed);
}

static bool
is_ready (gateway_processes_t *p, size_t index)
{
  caller_t caller = { 0 };

  get (p, &caller, p->gateways[index].ports[PORT_READY], "/v1/ready");
  int status = caller_status (&caller);
  buf_free (&caller.request);
  buf_free (&caller.response);
  return status == 200;
}

double
gateway_processes_metric (gateway_processes_t *p, size_t index,
                          const char *metric)
{
  caller_t caller = { 0 };
  double value = -1;

  get (p, &caller, p->gateways[index].ports[PORT_ADMIN], "/metrics");
  const char *at = caller.response.ptr != NULL
                       ? strstr (caller.response.ptr, metric)
                       : NULL;
  if (at != NULL)
    value = strtod (at + strlen (metric), NULL);
  buf_free (&caller.request);
  buf_free (&caller.response);
  return value;
}

void
gateway_processes_signal (gateway_processes_t *p, size_t index, int signum)
{
  gateway_process_t *gateway = &p->gateways[index];

  proc_signal (gateway->proc, signum);
  if (signum != SIGSTOP && signum != SIGCONT)
    gateway->gets_requests = false;
  gateway->disturbed_ms = uv_now (&p->loop);
}

bool
gateway_processes_is_running (gateway_processes_t *p, size_t index)
{
  return proc_is_running (p->gateways[index].proc);
}

pid_t
gateway_processes_pid (const gateway_processes_t *p, size_t index)
{
  return proc_pid (p->gateways[index].proc);
}

const char *
gateway_processes_host (const gateway_processes_t *p)
{
  return harness_host (p->harness);
}

uint16_t
gateway_processes_port (const gateway_processes_t *p, size_t index)
{
  return p->gateways[index].ports[PORT_CALLERS];
}

void
gateway_processes_restart (gateway_processes_t *p, size_t index)
{
  proc_restart (p->gateways[index].proc);
  p->gateways[index].gets_requests = true;
  p->gateways[index].disturbed_ms = uv_now (&p->loop);
}

/* Load.  */

/* Return a gateway that gets requests, chosen at random, or NULL.  */
static gateway_process_t *
choose_gateway (gateway_processes_t *p)
{
  size_t first = (size_t)rng_below (&p->rng, p->options.gateways);

  if (p->preferred < GATEWAY_PROCESSES_MAX
      && rng_below (&p->rng, PREFERRED_ONE_IN) != 0)
    first = p->preferred;

  for (size_t i = 0; i < p->options.gateways; i++)
    {
      gateway_process_t *gateway
          = &p->gateways[(first + i) % p->options.gateways];
      if (gateway->gets_requests)
        return gateway;
    }
  return NULL;
}

/* Append the header with the prompt parts of the engine's request INDEX.  */
static void
append_parts (gateway_processes_t *p, size_t index, bool has_bad_part,
              buf_t *out)
{
  unsigned first = (unsigned)rng_below (&p->rng, FIRST_PARTS);
  unsigned subject = (unsigned)rng_below (&p->rng, SUBJECT_PARTS);

  buf_printf (out, "Prompt-Prefix: f%u:800,", first);
  if (has_bad_part)
    buf_append_str (out, STR (CRASH_TEXT ":40,"));
  else
    buf_printf (out, "5%u:400,", subject);
  buf_printf (out, "a%zu:100\r\n", index);
}

/* Send a request for SERVICE.  CRASHING_NUMBER is the number of its content if
   it crashes instances, CRASHING_PART if a part of it does, else
   NOT_CRASHING.  */
static void
send_request (gateway_processes_t *p, process_service_t service,
              size_t crashing_number)
{
  gateway_process_t *gateway = choose_gateway (p);

  if (gateway == NULL)
    return;
  ck_assert_uint_lt (p->request_count, REQUESTS_MAX);
  size_t index = p->request_count++;
  request_t *request = &p->requests[index];
  request->service = service;
  request->sent_ms = uv_now (&p->loop);
  request->gateway = (size_t)(gateway - p->gateways);
  request->crashing_number = crashing_number;
  bool is_crashing = crashing_number < CRASHING_PART;
  buf_printf (&request->caller.request,
              "GET %s%s%zu HTTP/1.1\r\nHost: desk.example\r\n"
              "Attempt-Id: %zu\r\nDeadline-Ms: %d\r\n",
              service_paths[service], is_crashing ? CRASH_TEXT "-" : "",
              is_crashing ? crashing_number : index, index, DEADLINE_MS);
  if (service == SERVICE_ENGINE)
    append_parts (p, index, crashing_number == CRASHING_PART,
                  &request->caller.request);
  buf_append_str (&request->caller.request, STR ("Connection: close\r\n\r\n"));
  caller_connect (&p->loop, &request->caller, harness_host (p->harness),
                  gateway->ports[PORT_CALLERS]);
}

void
gateway_processes_send_crashing (gateway_processes_t *p,
                                 process_service_t service, size_t number)
{
  uv_update_time (&p->loop);
  send_request (p, service, number);
}

void
gateway_processes_send_bad_part (gateway_processes_t *p)
{
  uv_update_time (&p->loop);
  send_request (p, SERVICE_ENGINE, CRASHING_PART);
}

static void
on_load_tick (uv_timer_t *timer)
{
  gateway_processes_t *p = timer->data;
  uint64_t now_ms = uv_now (&p->loop);
  double elapsed_s = (double)(now_ms - p->load_ticked_ms) / MS_PER_S;

  p->load_ticked_ms = now_ms;
  for (int service = 0; service < SERVICE_COUNT; service++)
    {
      double *due = &p->requests_due[service];
      for (*due += p->options.requests_per_s[service] * elapsed_s; *due >= 1;
           (*due)--)
        send_request (p, (process_service_t)service, NOT_CRASHING);
    }
}

void
gateway_processes_prefer (gateway_processes_t *p, size_t index)
{
  p->preferred = index;
}

void
gateway_processes_set_rate (gateway_processes_t *p, process_service_t service,
                            double requests_per_s)
{
  p->options.requests_per_s[service] = requests_per_s;
}

void
gateway_processes_run (gateway_processes_t *p, uint64_t ms)
{
  uv_update_time (&p->loop);
  p->load_ticked_ms = uv_now (&p->loop);
  if (p->load_started_ms == 0)
    p->load_started_ms = p->load_ticked_ms;
  uv_timer_start (&p->load_timer, on_load_tick, 0, LOAD_INTERVAL_MS);
  loop_wait_for_ms (&p->wait, ms);
  uv_timer_stop (&p->load_timer);
}

void
gateway_processes_finish (gateway_processes_t *p)
{
  for (size_t i = 0; i < p->request_count; i++)
    LOOP_WAIT (&p->wait, p->requests[i].caller.closed);
}

/* Roll-outs.  */

void
gateway_processes_set_version_share (gateway_processes_t *p,
                                     fake_action_t action, double share)
{
  size_t count = gateway_processes_instance_count (p, SERVICE_ENGINE);

  for (size_t i = p->options.instances[SERVICE_ENGINE]; i < count; i++)
    fake_upstream_set_share (p->instances[SERVICE_ENGINE][i], action, share);
}

void
gateway_processes_order_version (gateway_processes_t *p, unsigned within_s,
                                 fake_action_t action, double share)
{
  size_t count = gateway_processes_instance_count (p, SERVICE_ENGINE);
  char order[96];

  uv_update_time (&p->loop);
  p->version
      = (ordered_version_t){ .ordered_ms = uv_now (&p->loop),
                             .time_limit_ms = (uint64_t)within_s * MS_PER_S };
  gateway_processes_set_version_share (p, action, share);
  for (size_t i = p->options.instances[SERVICE_ENGINE]; i < count; i++)
    register_instance (p, SERVICE_ENGINE, i);
  snprintf (order, sizeof order,
            "{\"service\":\"engine\",\"to\":\"v2\",\"withinS\":%u}", within_s);
  fake_rows_put (p->rows, ROWS_OPERATOR, "rollout/engine", order);
}

bool
gateway_processes_is_version (gateway_processes_t *p, const char *state)
{
  const char *status = fake_rows_get (p->rows, ROWS_STATUS, "rollout/engine");
  char expected[48];

  snprintf (expected, sizeof expected, "\"state\":\"%s\"", state);
  return status != NULL && strstr (status, expected) != NULL;
}

version_exposure_t
gateway_processes_exposure (const gateway_processes_t *p)
{
  return p->version.exposure;
}

/* Checks.  */

budget_window_t
gateway_processes_worst_window (const gateway_processes_t *p,
                                process_service_t service)
{
  /* Steps of one ms.  */
  size_t steps = (size_t)(uv_now (&p->loop) - p->load_started_ms + 1);
  double *requests = mem_zalloc (steps * sizeof *requests);
  double *extra_sends = mem_zalloc (steps * sizeof *extra_sends);

  for (size_t i = 0; i < p->request_count; i++)
    if (p->requests[i].service == service)
      requests[p->requests[i].sent_ms - p->load_started_ms]++;
  for (size_t i = 0; i < p->extra_count; i++)
    if (p->extra[i].service == service)
      extra_sends[p->extra[i].at_ms - p->load_started_ms]++;
  budget_window_t worst
      = budget_window_worst (&p->options.budget, requests, extra_sends, steps,
                             (size_t)p->options.budget.window_ms);
  free (requests);
  free (extra_sends);
  return worst;
}

size_t
gateway_processes_excess_runs (const gateway_processes_t *p,
                               process_service_t service)
{
  size_t count = 0;

  for (size_t i = 0; i < p->request_count; i++)
    count += p->requests[i].service == service
             && p->requests[i].runs > runs_max[service];
  return count;
}

size_t
gateway_processes_late_deadlines (const gateway_processes_t *p,
                                  process_service_t service)
{
  return p->late_deadlines[service];
}

/* Return the number of arrivals of requests with NUMBER later than AFTER_MS
   after they are known to crash instances.  IS_CALM_ONLY: only those from
   gateways that got no signal and were not started, and with a store that was
   not disturbed, for AFTER_MS before.  */
static size_t
count_late (const gateway_processes_t *p, size_t number, uint64_t after_ms,
            bool is_calm_only)
{
  const crashing_content_t *content = &p->crashing[number];
  size_t count = 0;

  if (content->crashes < crashes_known (number))
    return 0;
  for (size_t i = 0; i < content->arrival_count; i++)
    {
      const crashing_arrival_t *arrival = &content->arrivals[i];
      bool is_calm = arrival->gateway_calm_ms >= after_ms
                     && arrival->store_calm_ms >= after_ms;
      uint64_t at_ms
          = number == CRASHING_PART ? arrival->sent_ms : arrival->at_ms;
      count += at_ms > content->known_ms + after_ms
               && (is_calm || !is_calm_only);
    }
  return count;
}

size_t
gateway_processes_late_crashing (const gateway_processes_t *p,
                                 uint64_t after_ms, bool is_calm_only)
{
  size_t most = 0;

  for (size_t i = 0; i < CRASHING_CONTENTS_MAX; i++)
    {
      size_t count = count_late (p, i, after_ms, is_calm_only);
      if (count > most)
        most = count;
    }
  return most;
}

size_t
gateway_processes_bad_part_sent (const gateway_processes_t *p)
{
  size_t count = 0;

  for (size_t i = 0; i < p->request_count; i++)
    count += p->requests[i].crashing_number == CRASHING_PART;
  return count;
}

size_t
gateway_processes_part_crashes (const gateway_processes_t *p)
{
  return p->crashing[CRASHING_PART].crashes;
}

size_t
gateway_processes_late_part (const gateway_processes_t *p, uint64_t after_ms,
                             bool is_calm_only)
{
  return count_late (p, CRASHING_PART, after_ms, is_calm_only);
}

size_t
gateway_processes_sent (const gateway_processes_t *p,
                        process_service_t service)
{
  size_t count = 0;

  for (size_t i = 0; i < p->request_count; i++)
    count += p->requests[i].service == service;
  return count;
}

size_t
gateway_processes_answered (const gateway_processes_t *p,
                            process_service_t service)
{
  size_t count = 0;

  for (size_t i = 0; i < p->request_count; i++)
    {
      int status = caller_status (&p->requests[i].caller);
      count += p->requests[i].service == service && status >= 200
               && status < 300;
    }
  return count;
}

size_t
gateway_processes_refused (const gateway_processes_t *p,
                           process_service_t service)
{
  size_t count = 0;

  for (size_t i = 0; i < p->request_count; i++)
    {
      const caller_t *caller = &p->requests[i].caller;
      count += p->requests[i].service == service
               && caller_status (caller) == 503
               && caller_response_contains (caller, "retry-after: ")
               && caller_response_contains (caller, "not-run");
    }
  return count;
}

/* Creation.  */

gateway_processes_t *
gateway_processes_create (const gateway_processes_options_t *options)
{
  gateway_processes_t *p = mem_zalloc (sizeof *p);

  p->options = *options;
  p->rng = rng_make (1);
  p->preferred = GATEWAY_PROCESSES_MAX;
  p->requests = mem_zalloc (REQUESTS_MAX * sizeof *p->requests);
  uv_loop_init (&p->loop);
  loop_wait_init (&p->wait, &p->loop, WAIT_TIMEOUT_MS);
  uv_timer_init (&p->loop, &p->load_timer);
  p->load_timer.data = p;
  p->rows = fake_rows_create (&p->loop);
  for (size_t i = 0; i < options->gateways; i++)
    {
      gateway_process_t *gateway = &p->gateways[i];
      snprintf (gateway->name, sizeof gateway->name, "gateway-%zu", i);
      gateway->store = http_store_create (&p->loop, p->rows);
    }
  p->era = 1;
  set_store_era (p);
  fake_rows_put (p->rows, ROWS_OPERATOR, "config", configuration);
  start_instances (p);
  p->harness = harness_create ();
  for (size_t i = 0; i < options->gateways; i++)
    start_gateway (p, i);
  for (size_t i = 0; i < options->gateways; i++)
    while (!is_ready (p, i))
      loop_wait_for_ms (&p->wait, LOAD_INTERVAL_MS);
  return p;
}

void
gateway_processes_destroy (gateway_processes_t *p, bool failed)
{
  harness_destroy (p->harness, failed);
  for (size_t i = 0; i < p->request_count; i++)
    {
      caller_t *caller = &p->requests[i].caller;
      caller_disconnect (caller);
      LOOP_WAIT (&p->wait, caller->closed);
      buf_free (&caller->request);
      buf_free (&caller->response);
    }
  for (int service = 0; service < SERVICE_COUNT; service++)
    for (size_t i = 0;
         i < gateway_processes_instance_count (p, (process_service_t)service);
         i++)
      fake_upstream_destroy (p->instances[service][i]);
  for (size_t i = 0; i < p->options.gateways; i++)
    http_store_close (p->gateways[i].store);
  rows_t *rows = fake_rows_iface (p->rows);
  uv_close ((uv_handle_t *)&p->load_timer, NULL);
  loop_wait_close (&p->wait);
  uv_run (&p->loop, UV_RUN_DEFAULT);
  rows->ops->destroy (rows);
  uv_run (&p->loop, UV_RUN_DEFAULT);
  for (size_t i = 0; i < p->options.gateways; i++)
    http_store_destroy (p->gateways[i].store);
  ck_assert_int_eq (uv_loop_close (&p->loop), 0);
  for (size_t i = 0; i <= CRASHING_PART; i++)
    free (p->crashing[i].arrivals);
  free (p->requests);
  free (p->extra);
  free (p);
}
