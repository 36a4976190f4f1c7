#include "base/log.h"
#include "base/map.h"
#include "daemon/processint.h"

#include <stdlib.h>
#include <sys/random.h>
#include <unistd.h>

enum
{
  TICK_MS = 50,
  /* 730 entries make 365 reads a second of the platform's two thousand.  */
  ROSTER_MS = 2000,
  /* Entries of one zone that look at the store's head; two, so that one's
     pause does not stop the news.  */
  POLLERS = 2,
  LAST_WRITE_MS = 200,
  FLUSHES_PER_S = 70,
  FLUSH_MIN_MS = 1000,
  FLUSH_MAX_MS = 10000,
  PEERS_AGAIN_MS = 5000
};

/* The host functions that the entry calls.  */

static bool
host_delta_from (void *arg, uint64_t have, buf_t *update)
{
  return confstore_write_update (((process_t *)arg)->conf, have, update);
}

static vh_code_t
host_learn (void *arg, str_t update)
{
  return confstore_receive_update (((process_t *)arg)->conf, update);
}

static void
host_confirm (void *arg, uint64_t revision, uint64_t age_ms)
{
  if (age_ms < UINT32_MAX)
    confstore_record_confirmation (((process_t *)arg)->conf, revision, age_ms);
}

static uint32_t
host_confirmed_ms (void *arg)
{
  uint64_t age_ms = confstore_confirmed_age_ms (((process_t *)arg)->conf);

  return age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

static void
host_bill (void *arg, const wire_bill_t *bill, str_t instance)
{
  bills_add (arg, bill, instance);
}

static void
host_write_bills (void *arg)
{
  ledger_flush (((process_t *)arg)->ledger);
}

static void host_seen (void *arg, str_t name, instance_event_t sight);

static const entry_callbacks_t entry_host = {
  .build_config_update = host_delta_from,
  .apply_config_update = host_learn,
  .confirm_revision = host_confirm,
  .get_confirmation_age_ms = host_confirmed_ms,
  .record_bill = host_bill,
  .flush_bills = host_write_bills,
  .on_instance_event = host_seen,
};
static const sidecar_callbacks_t sidecar_host
    = { host_learn, host_delta_from };

/* Put TEXT in force in every role of this process.  */
static void
on_in_force (void *owner, uint64_t revision, str_t text)
{
  process_t *process = owner;

  if (process->entry != NULL)
    entry_configure (process->entry, revision, text);
  for (size_t i = 0; i < process->sidecar_count; i++)
    sidecar_configure (process->sidecars[i], revision, text);
}

bool
process_ready (const process_t *process)
{
  if (!drain_is_healthy (process->drain))
    return false;
  return process->entry != NULL
             ? entry_snapshot (process->entry) != NULL
             : process->sidecar_count > 0
                   && sidecar_revision (process->sidecars[0]) > 0;
}

/* Roster.  */

static void
on_roster (void *owner, roster_event_t event, const roster_entry_t *entry)
{
  process_t *process = owner;
  const instance_row_t row = {
    .name = entry->name,
    .role = entry->role,
    .zone = entry->zone,
    .region = entry->region,
    .address = entry->address,
    .serves = entry->serves,
    .state
    = entry->state == ROSTER_DRAINING ? INSTANCE_LEAVING : INSTANCE_LIVE,
  };

  if (process->over)
    return;
  if (event == ROSTER_REMOVED)
    entry_remove_instance (process->entry, entry->name);
  else
    entry_put_instance (process->entry, &row);
}

static void
host_seen (void *arg, str_t name, instance_event_t sight)
{
  process_t *process = arg;

  if (process->roster == NULL)
    return;
  if (sight == INSTANCE_EVENT_UNREACHABLE || sight == INSTANCE_EVENT_RESTARTED)
    bills_home_lost (process, name);
  if (sight == INSTANCE_EVENT_ALIVE || sight == INSTANCE_EVENT_RESTARTED)
    roster_report_responsive (process->roster, name);
  else if (sight == INSTANCE_EVENT_UNREACHABLE)
    roster_report_unresponsive (process->roster, name);
  else
    roster_report_draining (process->roster, name,
                            sight == INSTANCE_EVENT_DRAINING_STARTED);
}

static void
start_roster (process_t *process)
{
  const control_env_t env = { process->loop, process->clock, process->platform,
                              process->seed + 4000 };
  const roster_options_t options = { .poll_interval_ms = ROSTER_MS,
                                     .on_change = on_roster,
                                     .owner = process };

  process->roster = roster_create (&env, &options);
}

/* Make the peers named in the settings known until the list comes.  */
static void
put_named_peers (process_t *process)
{
  process->peers_ms = clock_ms (process->clock);
  for (size_t i = 0; i < process->settings->peers_count; i++)
    {
      const peer_settings_t *peer = &process->settings->peers[i];
      const instance_row_t row = {
        .name = peer->name,
        .role = peer->role == ROLE_ENTRY ? STR ("entry") : STR ("sidecar"),
        .zone = peer->zone,
        .address = peer->address,
      };
      roster_report_instance (process->roster, &row);
    }
}

/* Planned stop.  */

static size_t
in_hand (const process_t *process)
{
  size_t count = 0;

  if (process->entry != NULL)
    count += entry_count_unfinished_requests (process->entry);
  for (size_t i = 0; i < process->sidecar_count; i++)
    count += sidecar_count_unfinished (process->sidecars[i]);
  return count;
}

/* What a planned stop waits for: requests, then bills.  */
static size_t
left_to_do (process_t *process)
{
  size_t count = in_hand (process);

  if (count > 0)
    {
      process->drained_ms = 0;
      return count;
    }
  if (process->drained_ms == 0)
    process->drained_ms = clock_ms (process->clock);
  /* The last replies are written on the loop's next turn; ending the roles
     before that would cut them.  */
  if (clock_ms (process->clock) - process->drained_ms < LAST_WRITE_MS)
    return 1;
  return bills_settled (process) ? 0 : 1;
}

static void
end_roles (process_t *process)
{
  uint32_t cut = drain_unfinished_at_timeout (process->drain);

  if (cut > 0)
    log_warning ("process",
                 "The stop reached its bound and cuts work. "
                 "requests=%u",
                 cut);
  process->over = true;
  roster_destroy (process->roster);
  process->roster = NULL;
  ledger_destroy (process->ledger);
  entry_destroy (process->entry);
  for (size_t i = 0; i < process->sidecar_count; i++)
    sidecar_destroy (process->sidecars[i]);
  httpd_destroy (process->admin);
  confstore_destroy (process->conf);
  process->platform->ops->destroy (process->platform);
  uv_close ((uv_handle_t *)&process->tick, NULL);
  uv_close ((uv_handle_t *)&process->turn, NULL);
  log_notice ("process", "Stopped.");
}

/* Move the planned stop on.  */
static void
step_stop (process_t *process)
{
  drain_state_t before = process->drain_state;

  if (before == DRAIN_SERVING && drain_is_healthy (process->drain))
    return;
  process->drain_state
      = drain_update (process->drain, (uint32_t)left_to_do (process));
  if (process->drain_state == before)
    return;
  if (process->drain_state == DRAIN_DRAINING && process->entry != NULL)
    entry_stop_listening (process->entry);
  if (process->drain_state == DRAIN_DONE)
    end_roles (process);
}

void
process_stop (process_t *process)
{
  if (!drain_start (process->drain))
    return;
  log_notice ("process", "Stopping. in_hand=%zu", in_hand (process));
  /* A standalone's sidecars serve its entry to the end.  A sidecar alone
     takes nothing new at once: its refusals are free, and every entry has
     others to turn to.  */
  if (process->entry != NULL)
    entry_start_draining (process->entry);
  else
    for (size_t i = 0; i < process->sidecar_count; i++)
      sidecar_drain (process->sidecars[i]);
}

/* How long bills wait for others: the less the better, as long as all entries
   together make no more than FLUSHES_PER_S rows.  */
static uint64_t
flush_ms (const process_t *process)
{
  uint64_t ms
      = entry_count_known_entries (process->entry) * 1000 / FLUSHES_PER_S;

  if (ms < FLUSH_MIN_MS)
    return FLUSH_MIN_MS;
  return ms < FLUSH_MAX_MS ? ms : (uint64_t)FLUSH_MAX_MS;
}

static void
on_turn (uv_prepare_t *handle)
{
  process_t *process = handle->data;
  uint64_t now_ns = uv_hrtime ();
  uint64_t idle_ns = uv_metrics_idle_time (process->loop);

  if (process->turn_ns != 0)
    histogram_record (
        process->busy,
        (now_ns - process->turn_ns - (idle_ns - process->idle_ns)) / 1000);
  process->turn_ns = now_ns;
  process->idle_ns = idle_ns;
}

/* Time the loop's turns: one that takes long holds up every request, and
   shows here first.  */
static void
watch_loop (process_t *process)
{
  process->busy
      = metrics_histogram (process->metrics, "vanillahook_loop_busy_seconds",
                           "", "Work of one turn of the loop.");
  uv_loop_configure (process->loop, UV_METRICS_IDLE_TIME);
  uv_prepare_init (process->loop, &process->turn);
  process->turn.data = process;
  uv_prepare_start (&process->turn, on_turn);
  uv_unref ((uv_handle_t *)&process->turn);
}

static void
on_tick (uv_timer_t *timer)
{
  process_t *process = timer->data;

  if (process->entry != NULL && !process->over)
    {
      confstore_set_polling (process->conf,
                             entry_zone_rank (process->entry) < POLLERS);
      ledger_set_flush_ms (process->ledger, flush_ms (process));
    }
  /* Without the list the settings' peers are all there is to try.  */
  if (process->roster != NULL && !process->over
      && roster_age_ms (process->roster) > PEERS_AGAIN_MS
      && clock_ms (process->clock) - process->peers_ms > PEERS_AGAIN_MS)
    put_named_peers (process);
  step_stop (process);
}

/* Start.  */

static uint64_t
draw_seed (const settings_t *settings)
{
  uint64_t seed = settings->seed;

  if (seed == 0 && getrandom (&seed, sizeof seed, 0) != sizeof seed)
    seed = clock_us (clock_system ()) ^ (uint64_t)getpid ();
  return seed;
}

static vh_code_t
start_sidecars (process_t *process)
{
  const settings_t *settings = process->settings;

  process->sidecars
      = mem_zalloc ((settings->upstreams_count + 1) * sizeof (sidecar_t *));
  for (size_t i = 0; i < settings->upstreams_count; i++)
    {
      const sidecar_options_t options = { .loop = process->loop,
                                          .clock = process->clock,
                                          .metrics = process->metrics,
                                          .settings = settings,
                                          .upstream = &settings->upstreams[i],
                                          .seed = process->seed + i + 1,
                                          .host = &sidecar_host,
                                          .arg = process };
      vh_code_t code = sidecar_create (&options, &process->sidecars[i]);
      if (code != VH_OK)
        return code;
      process->sidecar_count++;
    }
  return VH_OK;
}

static vh_code_t
start_entry (process_t *process)
{
  const entry_options_t options = { .loop = process->loop,
                                    .clock = process->clock,
                                    .metrics = process->metrics,
                                    .settings = process->settings,
                                    .platform = process->platform,
                                    .seed = process->seed,
                                    .callbacks = &entry_host,
                                    .arg = process };

  return entry_create (&options, &process->entry);
}

/* Make the sidecars of a standalone known to its entry.  */
static void
put_own_sidecars (process_t *process)
{
  for (size_t i = 0; i < process->sidecar_count; i++)
    {
      char address[32];
      int len = snprintf (address, sizeof address, "127.0.0.1:%u",
                          sidecar_port (process->sidecars[i]));
      const instance_row_t row
          = { .name = process->settings->upstreams[i].instance,
              .role = STR ("sidecar"),
              .zone = process->settings->zone,
              .address = str_make (address, (size_t)len) };
      entry_put_instance (process->entry, &row);
    }
}

static void
on_first_applied (void *arg, vh_code_t code, uint64_t revision)
{
  (void)arg;
  if (code == VH_OK)
    log_notice ("process",
                "The settings' configuration was applied. "
                "revision=%llu",
                (unsigned long long)revision);
  else if (code != VH_E_STALE_REVISION && code != VH_E_CANCELLED)
    log_warning ("process",
                 "The settings' configuration was not applied. "
                 "code=%d",
                 (int)code);
}

/* Apply the configuration that the settings name, if the table has none.  */
static vh_code_t
load_configuration (process_t *process)
{
  char *path = str_dup (process->settings->configuration_file);
  buf_t text = BUF_NULL;
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;
  vh_code_t code = conf_read_file (path, &text);

  if (code == VH_OK)
    code = snapshot_parse (buf_str (&text), 1, &snapshot, &errors);
  if (code != VH_OK)
    {
      buf_t lines = BUF_NULL;
      conf_errors_print (&errors, "vanillahookd", str_from (path), &lines);
      fprintf (stderr, "%.*s", STR_ARG (buf_str (&lines)));
      log_err ("process", "The configuration cannot be used. file=%s", path);
      buf_free (&lines);
    }
  else
    confstore_apply (process->conf, buf_str (&text), STR ("settings"), 0,
                     on_first_applied, process);
  snapshot_unref (snapshot);
  conf_errors_free (&errors);
  buf_free (&text);
  free (path);
  return code;
}

static void
start_conf (process_t *process)
{
  const control_env_t env = { process->loop, process->clock, process->platform,
                              process->seed + 2000 };
  const confstore_options_t options
      = { .poll_interval_ms = process->settings->poll_ms,
          .polling_enabled = process->settings->role != ROLE_SIDECAR,
          .on_revision = on_in_force,
          .owner = process };

  process->conf = confstore_create (&env, &options);
}

static platform_t *
make_platform (process_t *process)
{
  const settings_t *settings = process->settings;

  if (settings->platform == PLATFORM_MEMORY)
    return platform_memory_create (process->loop);
  return platform_http_create (
      process->loop, process->clock, rng_make (process->seed + 1000),
      settings->platform_address, settings->platform_timeout_ms);
}

static vh_code_t
start_roles (process_t *process)
{
  const settings_t *settings = process->settings;
  vh_code_t code = VH_OK;

  if (settings->role != ROLE_ENTRY)
    code = start_sidecars (process);
  if (code == VH_OK && settings->role != ROLE_SIDECAR)
    code = start_entry (process);
  if (code != VH_OK)
    return code;
  if (settings->role == ROLE_STANDALONE)
    {
      log_warning ("process", "This is a standalone: nothing outlives it, "
                              "neither bills nor claims nor configuration.");
      put_own_sidecars (process);
    }
  bills_start (process);
  if (process->entry != NULL)
    {
      start_roster (process);
      put_named_peers (process);
    }
  if (settings->configuration_file.len > 0)
    code = load_configuration (process);
  return code;
}

vh_code_t
process_create (uv_loop_t *loop, const settings_t *settings, process_t **out)
{
  process_t *process = mem_zalloc (sizeof *process);
  vh_code_t code = VH_E_BAD_SETTINGS;

  *out = NULL;
  process->loop = loop;
  process->settings = settings;
  process->clock = clock_system ();
  process->metrics = metrics_create ();
  process->seed = draw_seed (settings);
  process->started_ms = clock_ms (process->clock);
  process->drain
      = drain_create ((uint32_t)settings->drain_grace_ms,
                      (uint32_t)settings->drain_timeout_ms, process->clock);
  process->platform = make_platform (process);
  if (process->platform == NULL)
    {
      log_err ("process", "The platform's address is not valid.");
      goto free_process;
    }
  start_conf (process);
  code = start_roles (process);
  if (code != VH_OK)
    goto free_platform;
  code = admin_create (process);
  if (code != VH_OK)
    goto free_platform;
  watch_loop (process);
  uv_timer_init (loop, &process->tick);
  process->tick.data = process;
  uv_timer_start (&process->tick, on_tick, TICK_MS, TICK_MS);
  log_notice ("process", "Serving. name=%.*s zone=%.*s",
              STR_ARG (settings->name), STR_ARG (settings->zone));
  *out = process;
  return VH_OK;

free_platform:
  roster_destroy (process->roster);
  process->roster = NULL;
  roster_destroy (process->roster);
  process->roster = NULL;
  ledger_destroy (process->ledger);
  entry_destroy (process->entry);
  for (size_t i = 0; i < process->sidecar_count; i++)
    sidecar_destroy (process->sidecars[i]);
  confstore_destroy (process->conf);
  process->platform->ops->destroy (process->platform);
  uv_run (loop, UV_RUN_DEFAULT);
free_process:
  bills_end (process);
  free (process->sidecars);
  drain_destroy (process->drain);
  metrics_destroy (process->metrics);
  free (process);
  return code;
}

bool
process_destroy (process_t *process)
{
  bool whole = drain_unfinished_at_timeout (process->drain) == 0;

  bills_end (process);
  free (process->sidecars);
  drain_destroy (process->drain);
  metrics_destroy (process->metrics);
  free (process);
  return whole;
}
