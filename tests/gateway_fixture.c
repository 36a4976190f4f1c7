#include "gateway_fixture.h"

#include "base/mem.h"
#include "gateway/loader.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  WAIT_TIMEOUT_MS = 10000
};

/* Callers.  */

static void
connect_to_port (gateway_fixture_t *f, caller_t *caller, uint16_t port)
{
  caller_connect (&f->loop, caller, "127.0.0.1", port);
}

void
caller_start_without_reading (gateway_fixture_t *f, caller_t *caller,
                              const char *path, const char *headers)
{
  memset (caller, 0, sizeof *caller);
  caller->reads_nothing = true;
  buf_printf (&caller->request,
              "GET %s HTTP/1.1\r\nHost: desk.example\r\n%s\r\n", path,
              headers);
  connect_to_port (f, caller, gateway_port (f->gateway));
}

void
caller_start (gateway_fixture_t *f, caller_t *caller, const char *method,
              const char *path, const char *headers, const char *body)
{
  memset (caller, 0, sizeof *caller);
  buf_printf (&caller->request,
              "%s %s HTTP/1.1\r\nHost: desk.example\r\n%s"
              "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
              method, path, headers, strlen (body), body);
  connect_to_port (f, caller, gateway_port (f->gateway));
}

void
gateway_fixture_request (gateway_fixture_t *f, caller_t *caller,
                         const char *method, const char *path,
                         const char *headers, const char *body)
{
  caller_start (f, caller, method, path, headers, body);
  gateway_fixture_wait (f, caller->closed);
}

int
gateway_fixture_ready_status (gateway_fixture_t *f)
{
  caller_t caller = { 0 };

  buf_printf (&caller.request, "GET /ready HTTP/1.1\r\nHost: a\r\n"
                               "Connection: close\r\n\r\n");
  connect_to_port (f, &caller, gateway_ready_port (f->gateway));
  gateway_fixture_wait (f, caller.closed);
  int status = caller_status (&caller);
  caller_free (f, &caller);
  return status;
}

double
gateway_fixture_metric (gateway_fixture_t *f, const char *name)
{
  caller_t caller = { 0 };
  char line[128];
  double value = -1;

  buf_printf (&caller.request, "GET /metrics HTTP/1.1\r\nHost: a\r\n"
                               "Connection: close\r\n\r\n");
  connect_to_port (f, &caller, gateway_admin_port (f->gateway));
  gateway_fixture_wait (f, caller.closed);
  snprintf (line, sizeof line, "\n%s ", name);
  const char *at = strstr (caller.response.ptr, line);
  if (at != NULL)
    value = strtod (at + strlen (line), NULL);
  caller_free (f, &caller);
  return value;
}

void
caller_free (gateway_fixture_t *f, caller_t *caller)
{
  caller_disconnect (caller);
  gateway_fixture_wait (f, caller->closed);
  buf_free (&caller->request);
  buf_free (&caller->response);
}

/* Row formats of the tests: words separated by spaces.  */

static operator_row_kind_t
operator_row_kind (str_t key, str_t *name)
{
  str_t kind = str_cut (key, '/', name);

  if (str_eq (kind, STR ("catalog")))
    return OPERATOR_ROW_CATALOG;
  if (str_eq (kind, STR ("rollout")))
    return OPERATOR_ROW_ROLLOUT;
  return str_eq (kind, STR ("zone")) ? OPERATOR_ROW_ZONE_EXCLUSION
                                     : OPERATOR_ROW_UNKNOWN;
}

/* Parse a configuration row, REVISION KEY, optionally followed by a space and
   ignored text.  Services, routes and the team are the same in each.  */
unsigned gateway_fixture_parse_ms = GATEWAY_FIXTURE_PARSE_MS;

static vh_code_t
read_catalog (str_t value, void (*pause) (void), catalog_t **out)
{
  static const service_t services[] = {
    { .name = { "app", 3 } },
    { .name = { "llm", 3 }, .is_engine = true, .cold_requests_per_s = 50 }
  };
  static const route_t routes[] = {
    { .name = { "read", 4 },
      .host = { "desk.example", 12 },
      .path_prefix = { "/read/", 6 },
      .kind = ROUTE_IDEMPOTENT,
      .timeout_ms = 1500,
      .objective_ms = 300,
      .possible_runs_max = 2,
      .services = { { { "app", 3 }, 1 } },
      .service_count = 1 },
    { .name = { "book", 4 },
      .host = { "desk.example", 12 },
      .path_prefix = { "/book/", 6 },
      .kind = ROUTE_AT_MOST_ONCE,
      .timeout_ms = 600,
      .objective_ms = 300,
      .possible_runs_max = 1,
      .services = { { { "app", 3 }, 1 } },
      .service_count = 1 },
    { .name = { "chat", 4 },
      .host = { "desk.example", 12 },
      .path_prefix = { "/chat/", 6 },
      .kind = ROUTE_STREAM,
      .timeout_ms = 3000,
      .objective_ms = 600,
      .event_gap_max_ms = 500,
      .possible_runs_max = 3,
      .is_resumable = true,
      .services = { { { "llm", 3 }, 1 } },
      .service_count = 1,
      .models = { { "small", 5 }, { "large", 5 } },
      .model_count = 2 },
    { .name = { "tell", 4 },
      .host = { "desk.example", 12 },
      .path_prefix = { "/tell/", 6 },
      .kind = ROUTE_STREAM,
      .timeout_ms = 3000,
      .objective_ms = 600,
      .event_gap_max_ms = 500,
      .possible_runs_max = 3,
      .services = { { { "llm", 3 }, 1 } },
      .service_count = 1,
      .models = { { "small", 5 }, { "large", 5 } },
      .model_count = 2 },
    { .name = { "open", 4 },
      .host = { "desk.example", 12 },
      .path_prefix = { "/open/", 6 },
      .kind = ROUTE_IDEMPOTENT,
      .timeout_ms = 1500,
      .objective_ms = 300,
      .possible_runs_max = 2,
      .is_public = true,
      .services = { { { "app", 3 }, 1 } },
      .service_count = 1 },
  };
  static const team_t team = { .name = { "coast", 5 } };
  str_t key;
  uint64_t revision;

  (void)pause;
  /* The loader calls this function on a separate thread for rows of this
     size.  */
  if (value.len >= LOADER_ASYNC_BYTES_MIN)
    uv_sleep (gateway_fixture_parse_ms);

  if (!str_to_u64 (str_cut (value, ' ', &key), &revision))
    return VH_E_BAD_FIELD;
  key = str_cut (key, ' ', &value);
  *out = catalog_create (revision);
  for (size_t i = 0; i < sizeof services / sizeof services[0]; i++)
    catalog_add_service (*out, &services[i]);
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    catalog_add_route (*out, &routes[i]);
  catalog_add_team (*out, &team, &key, 1);
  return VH_OK;
}

/* Split the first COUNT words off VALUE.  */
static vh_code_t
read_words (str_t value, str_t *words, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (value.ptr == NULL)
        return VH_E_BAD_FIELD;
      words[i] = str_cut (value, ' ', &value);
    }
  return VH_OK;
}

/* Parse a roll-out row: SERVICE VERSION WITHIN_MS.  */
static vh_code_t
read_rollout (str_t value, rollout_spec_t *spec, void **holder)
{
  str_t words[3];

  *holder = NULL;
  if (read_words (value, words, 3) != VH_OK
      || !str_to_u64 (words[2], &spec->within_ms))
    return VH_E_BAD_FIELD;
  spec->service = words[0];
  spec->version = words[1];
  return VH_OK;
}

/* Parse an instance row: SERVICE ADDRESS ZONE VERSION STATE, optionally
   followed by the sequence.  */
static vh_code_t
read_instance (str_t key, str_t value, upstream_info_t *info, void **holder)
{
  str_t words[6];
  uint64_t sequence = 0;

  *holder = NULL;
  if (read_words (value, words, 5) != VH_OK)
    return VH_E_BAD_FIELD;
  if (read_words (value, words, 6) == VH_OK)
    str_to_u64 (words[5], &sequence);
  *info = (upstream_info_t){ .id = key,
                             .service = words[0],
                             .address = words[1],
                             .zone = words[2],
                             .version = words[3],
                             .slots = 32,
                             .draining = str_eq (words[4], STR ("draining")),
                             .sequence = sequence };
  return VH_OK;
}

static void
free_holder (void *holder)
{
  (void)holder;
}

static void
write_rollout_status (str_t service, str_t version, rollout_state_t state,
                      buf_t *key, buf_t *value)
{
  static const char *const words[] = { "running", "done", "taken-back" };

  buf_append_str (key, service);
  buf_printf (value, "%.*s %s", STR_ARG (version), words[state]);
}

static const gateway_dialect_t test_dialect = {
  .names = &header_names_default,
  .ready_path = { "/ready", 6 },
  .operator_row_kind = operator_row_kind,
  .read_catalog = read_catalog,
  .read_rollout = read_rollout,
  .read_instance = read_instance,
  .free_holder = free_holder,
  .write_rollout_status = write_rollout_status,
};

/* The fixture.  */

static const char *const instance_services[] = { "app", "llm" };

static void
format_instance_id (char *text, size_t size, const char *service, size_t index,
                    size_t lifetime)
{
  int len = snprintf (text, size, "%s-%zu", service, index);

  if (lifetime > 0)
    snprintf (text + len, size - (size_t)len, "-%zu", lifetime);
}

/* Register the process number LIFETIME, counted from 0, of upstream INDEX.  */
static void
register_lifetime (gateway_fixture_t *f, size_t index, size_t lifetime,
                   const char *version, const char *state)
{
  char key[64];
  char value[128];

  for (size_t i = 0; i < 2; i++)
    {
      format_instance_id (key, sizeof key, instance_services[i], index,
                          lifetime);
      snprintf (value, sizeof value, "%s 127.0.0.1:%u zone-a %s %s",
                instance_services[i], fake_upstream_port (f->upstreams[index]),
                version, state);
      fake_rows_put (f->rows, ROWS_INSTANCES, key, value);
    }
}

void
gateway_fixture_register (gateway_fixture_t *f, size_t index,
                          const char *version, const char *state)
{
  register_lifetime (f, index, 0, version, state);
}

void
gateway_fixture_restart_upstream (gateway_fixture_t *f, size_t index)
{
  char key[64];

  fake_upstream_restart (f->upstreams[index]);
  for (size_t i = 0; i < 2; i++)
    {
      format_instance_id (key, sizeof key, instance_services[i], index,
                          f->lifetimes[index]);
      fake_rows_remove (f->rows, ROWS_INSTANCES, key);
    }
  register_lifetime (f, index, ++f->lifetimes[index], "v1", "ready");
}

gateway_t *
gateway_fixture_start_gateway (gateway_fixture_t *f, const char *name,
                               uint64_t seed)
{
  const gateway_options_t options = {
    .name = str_from (name),
    .zone = STR ("zone-a"),
    .listen = STR ("127.0.0.1:0"),
    .ready_listen = STR ("127.0.0.1:0"),
    .admin_listen = STR ("127.0.0.1:0"),
    .seed = seed,
    .drain_grace_ms = 500,
    .drain_timeout_ms = f->drain_timeout_ms > 0 ? f->drain_timeout_ms : 5000,
    .config_max_age_ms = GATEWAY_FIXTURE_MAX_AGE_MS,
    .expired_registration_grace_ms = 2000,
    /* The budget of a gateway that has just started is empty; this allows the
       extra sends of its first request.  */
    .retries_per_request = 40,
    .fixed_retries_per_window = 50,
    .retry_window_ms = 10000,
    .cold_factor = 1.5,
    .cold_slack = 5,
    .escalation = { .value_per_1k_tokens = 0.55,
                    .priority_value_ratio = 0.5,
                    .late_value_ratio = 0.3,
                    .poor_value_ratio = 0.05,
                    .confidence_stddev = 5 },
    .move_streams = f->move_streams,
  };
  gateway_t *gateway;

  rows_t *rows
      = f->store_client != NULL ? f->store_client : fake_rows_iface (f->rows);
  ck_assert_int_eq (gateway_create (&f->loop, clock_system (), rows,
                                    &test_dialect, &options, &gateway),
                    VH_OK);
  return gateway;
}

void
gateway_fixture_setup_upstreams (gateway_fixture_t *f, size_t count)
{
  static const fake_action_t answer[] = { ACT_RESPOND };
  char id[32];

  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  loop_wait_init (&f->wait, &f->loop, WAIT_TIMEOUT_MS);
  f->rows = fake_rows_create (&f->loop);
  fake_rows_put (f->rows, ROWS_OPERATOR, "catalog", "1 key-1");
  for (size_t i = 0; i < count; i++)
    {
      snprintf (id, sizeof id, "up-%zu", i);
      f->upstreams[i] = fake_upstream_create (&f->loop, id);
      fake_upstream_script (f->upstreams[i], answer, 1);
      gateway_fixture_register (f, i, "v1", "ready");
    }
  f->upstream_count = count;
}

void
gateway_fixture_setup_without_store (gateway_fixture_t *f, size_t count)
{
  gateway_fixture_setup_upstreams (f, count);
  fake_rows_set_down (f->rows, true);
  f->gateway = gateway_fixture_start_gateway (f, "gateway-1", 1);
}

void
gateway_fixture_setup (gateway_fixture_t *f, size_t count)
{
  gateway_fixture_setup_without_store (f, count);
  fake_rows_set_down (f->rows, false);
  gateway_fixture_wait (f, gateway_fixture_ready_status (f) == 200);
}

void
gateway_fixture_teardown (gateway_fixture_t *f)
{
  gateway_destroy (f->gateway);
  rows_t *rows = fake_rows_iface (f->rows);
  rows->ops->destroy (rows);
  for (size_t i = 0; i < f->upstream_count; i++)
    fake_upstream_destroy (f->upstreams[i]);
  loop_wait_close (&f->wait);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}
