#include "daemon/gateway_main.h"

#include "base/eventlog.h"
#include "base/stop_signal.h"
#include "gateway/gateway.h"
#include "platform/platform.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/random.h>

enum
{
  /* Time between the end of the drain and the kill of the process.  It covers
     an iteration of the event loop, the last packets that the kernel sends and
     delays on a slow machine.  */
  KILL_MARGIN_MS = 800,
  /* Longest time during which a draining gateway still accepts new requests,
     because the load balancer in front may still send them.  */
  DRAIN_GRACE_MAX_MS = 3000,
  /* One tenth of the time within which a revoked key must stop working is
     reserved for requests in transit and for clock differences.  */
  REVOCATION_MARGIN_DIVISOR = 10,
  MS_PER_S = 1000
};

typedef struct
{
  gateway_t *gateway;
  const char *path;
} gateway_run_t;

static void
on_stop_signal (void *arg, const stop_time_t *time)
{
  gateway_run_t *run = arg;

  gateway_begin_stop (run->gateway, time);
}

/* Check the settings file and log the result.  Settings take effect only at
   start.  */
static void
on_reload_signal (uv_signal_t *handle, int signal_number)
{
  gateway_run_t *run = handle->data;
  settings_t *settings = NULL;
  conf_errors_t errors = { 0 };

  (void)signal_number;
  vh_code_t code = settings_load (run->path, &settings, &errors);
  log_event (EVENT_RELOAD, log_field_text (FIELD_FILE, str_from (run->path)),
             log_field_number (FIELD_CODE, code));
  conf_errors_free (&errors);
  settings_destroy (settings);
}

/* Called before each wait of the event loop.  */
static void
on_loop_prepare (uv_prepare_t *prepare)
{
  (void)prepare;
  eventlog_flush_if_due ();
}

static uint64_t
choose_seed (const settings_t *settings)
{
  uint64_t seed = settings->seed;

  if (seed == 0 && getrandom (&seed, sizeof seed, 0) != sizeof seed)
    seed = (uint64_t)time (NULL);
  return seed;
}

static const move_streams_t move_streams_options[]
    = { [SETTINGS_MOVE_STREAMS_REPORTED] = MOVE_STREAMS_REPORTED,
        [SETTINGS_MOVE_STREAMS_YES] = MOVE_STREAMS_YES,
        [SETTINGS_MOVE_STREAMS_NO] = MOVE_STREAMS_NO };

static gateway_options_t
make_options (const settings_t *settings)
{
  uint64_t kill_after_ms = (uint64_t)(settings->kill_after_s * MS_PER_S);
  gateway_options_t options = {
    .name = settings->name,
    .zone = settings->zone,
    .listen = settings->listen,
    .ready_listen = settings->ready_listen,
    .admin_listen = settings->admin_listen,
    .rpc_listen = settings->rpc_listen,
    .rpc_keys = settings->rpc_keys,
    .rpc_key_count = settings->rpc_keys_count,
    .link_mbps = settings->link_mbps,
    .memory_mb = settings->memory_mb,
    .descriptors_max = settings->descriptors_max,
    .seed = choose_seed (settings),
    .drain_timeout_ms = kill_after_ms - KILL_MARGIN_MS,
    .config_max_age_ms = settings->key_revocation_max_ms > 0
                             ? settings->key_revocation_max_ms
                                   / REVOCATION_MARGIN_DIVISOR
                                   * (REVOCATION_MARGIN_DIVISOR - 1)
                             : settings->config_max_age_ms,
    .expired_registration_grace_ms = settings->expired_registration_grace_ms,
    .retries_per_request = settings->extra_send_ratio,
    .fixed_retries_per_window = settings->extra_send_fixed_budget,
    .retry_window_ms = (uint64_t)(settings->extra_send_window_s * MS_PER_S),
    .cold_factor = settings->cold_factor,
    .cold_slack = settings->cold_slack,
    .ignores_time_factors = settings->instance_speed == INSTANCE_SPEED_USE_OFF,
    .rollout_share_max = settings->rollout_share_max,
    .move_streams = move_streams_options[settings->move_streams],
    .escalation = { .value_per_1k_tokens = settings->good_answer_value,
                    .priority_value_ratio = settings->value_factor_per_rank,
                    .late_value_ratio = settings->late_value_share,
                    .poor_value_ratio = settings->poor_value_share,
                    .confidence_stddev = settings->rating_noise_points },
  };

  options.drain_grace_ms = options.drain_timeout_ms / 2 < DRAIN_GRACE_MAX_MS
                               ? options.drain_timeout_ms / 2
                               : DRAIN_GRACE_MAX_MS;
  return options;
}

int
gateway_main (const settings_t *settings, const char *path)
{
  uv_loop_t *loop = uv_default_loop ();
  gateway_options_t options = make_options (settings);
  rows_t *rows = platform_rows_create (loop, settings->platform_address);
  gateway_run_t run = { .path = path };
  stop_signal_t *stop_signal = NULL;
  uv_signal_t reload_signal;
  uv_prepare_t prepare;
  int status = EXIT_FAILURE;

  signal (SIGPIPE, SIG_IGN);
  eventlog_set_source (settings->name, clock_system ());
  eventlog_set_buffered (true);
  uv_prepare_init (loop, &prepare);
  uv_prepare_start (&prepare, on_loop_prepare);
  uv_unref ((uv_handle_t *)&prepare);
  uv_signal_init (loop, &reload_signal);
  reload_signal.data = &run;
  uv_signal_start (&reload_signal, on_reload_signal, SIGHUP);
  stop_signal
      = stop_signal_create (loop, clock_system (), on_stop_signal, &run);
  if (gateway_create (loop, clock_system (), rows, platform_dialect (),
                      &options, &run.gateway)
      != VH_OK)
    goto close_loop;
  while (!gateway_is_stopped (run.gateway))
    uv_run (loop, UV_RUN_DEFAULT);
  if (gateway_destroy (run.gateway))
    status = EXIT_SUCCESS;
close_loop:
  stop_signal_destroy (stop_signal);
  uv_close ((uv_handle_t *)&reload_signal, NULL);
  uv_close ((uv_handle_t *)&prepare, NULL);
  rows->ops->destroy (rows);
  uv_run (loop, UV_RUN_NOWAIT);
  uv_run (loop, UV_RUN_NOWAIT);
  uv_loop_close (loop);
  eventlog_flush ();
  return status;
}
