#include "base/log.h"
#include "base/map.h"
#include "daemon/processint.h"

#include <inttypes.h>
#include <stdlib.h>
#include <sys/random.h>
#include <unistd.h>

enum
{
  TICK_INTERVAL_MS = 50,
  /* With 730 entries this interval makes 365 reads a second, of the 2000 reads
     a second that the platform can serve.  */
  ROSTER_POLL_INTERVAL_MS = 2000,
  /* Number of entries in each availability zone that poll the store for new
     revisions.  With two, a pause of one entry does not delay them.  */
  POLLERS_PER_ZONE = 2,
  /* Time between the last finished request and the destruction of the roles,
     in which the event loop writes the last replies.  */
  LAST_REPLY_WRITE_MS = 200,
  /* Most bill rows a second that all entries together write.  */
  BILL_ROWS_PER_S_MAX = 70,
  BILL_FLUSH_INTERVAL_MIN_MS = 1000,
  BILL_FLUSH_INTERVAL_MAX_MS = 10000,
  /* Age of the roster, and time since the last attempt, after which the peers
     from the settings are added to the roster again.  */
  CONFIGURED_PEERS_RETRY_MS = 5000
};

static bool
callback_build_config_update (void *arg, uint64_t known_revision,
                              buf_t *update)
{
  return confstore_write_update (((process_t *)arg)->conf, known_revision,
                                 update);
}

static vh_code_t
callback_apply_config_update (void *arg, str_t update)
{
  return confstore_receive_update (((process_t *)arg)->conf, update);
}

static void
callback_confirm_revision (void *arg, uint64_t revision, uint64_t age_ms)
{
  if (age_ms < UINT32_MAX)
    confstore_record_confirmation (((process_t *)arg)->conf, revision, age_ms);
}

static uint32_t
callback_get_confirmation_age_ms (void *arg)
{
  uint64_t age_ms = confstore_confirmed_age_ms (((process_t *)arg)->conf);

  return age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

static void
callback_record_bill (void *arg, const wire_bill_t *bill, str_t instance)
{
  bills_add (arg, bill, instance);
}

static void
callback_flush_bills (void *arg)
{
  ledger_flush (((process_t *)arg)->ledger);
}

static void callback_on_instance_event (void *arg, str_t name,
                                        instance_event_t event);

static const entry_callbacks_t process_entry_callbacks = {
  .build_config_update = callback_build_config_update,
  .apply_config_update = callback_apply_config_update,
  .confirm_revision = callback_confirm_revision,
  .get_confirmation_age_ms = callback_get_confirmation_age_ms,
  .record_bill = callback_record_bill,
  .flush_bills = callback_flush_bills,
  .on_instance_event = callback_on_instance_event,
};
static const sidecar_callbacks_t process_sidecar_callbacks
    = { callback_apply_config_update, callback_build_config_update };

/* Apply configuration TEXT of REVISION in every role of the process.  */
static void
on_revision_in_force (void *owner, uint64_t revision, str_t text)
{
  process_t *process = owner;

  if (process->entry != NULL)
    entry_configure (process->entry, revision, text);
  for (size_t i = 0; i < process->sidecar_count; i++)
    sidecar_configure (process->sidecars[i], revision, text);
}

bool
process_is_ready (const process_t *process)
{
  if (!drain_is_healthy (process->drain))
    return false;
  return process->entry != NULL
             ? entry_snapshot (process->entry) != NULL
             : process->sidecar_count > 0
                   && sidecar_revision (process->sidecars[0]) > 0;
}

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

  if (process->are_roles_destroyed)
    return;
  if (event == ROSTER_REMOVED)
    entry_remove_instance (process->entry, entry->name);
  else
    entry_put_instance (process->entry, &row);
}

static void
callback_on_instance_event (void *arg, str_t name, instance_event_t event)
{
  process_t *process = arg;

  if (process->roster == NULL)
    return;
  if (event == INSTANCE_EVENT_UNREACHABLE || event == INSTANCE_EVENT_RESTARTED)
    bills_replace_lost_copies (process, name);
  if (event == INSTANCE_EVENT_ALIVE || event == INSTANCE_EVENT_RESTARTED)
    roster_report_responsive (process->roster, name);
  else if (event == INSTANCE_EVENT_UNREACHABLE)
    roster_report_unresponsive (process->roster, name);
  else
    roster_report_draining (process->roster, name,
                            event == INSTANCE_EVENT_DRAINING_STARTED);
}

static void
start_roster (process_t *process)
{
  const control_env_t env = { process->loop, process->clock, process->platform,
                              process->seed + 4000 };
  const roster_options_t options
      = { .poll_interval_ms = ROSTER_POLL_INTERVAL_MS,
          .on_change = on_roster,
          .owner = process };

  process->roster = roster_create (&env, &options);
}

/* Add the peers named in the settings to the roster, as a substitute until the
   list of instances has been read.  */
static void
add_configured_peers (process_t *process)
{
  process->configured_peers_added_ms = clock_ms (process->clock);
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

/* Return the number of unfinished requests of all roles.  */
static size_t
count_unfinished_requests (const process_t *process)
{
  size_t count = 0;

  if (process->entry != NULL)
    count += entry_count_unfinished_requests (process->entry);
  for (size_t i = 0; i < process->sidecar_count; i++)
    count += sidecar_count_unfinished (process->sidecars[i]);
  return count;
}

/* Return the amount of work that a planned stop still waits for: unfinished
   requests, then 1 while replies are written or bills are pending.  */
static size_t
count_remaining_work (process_t *process)
{
  size_t count = count_unfinished_requests (process);

  if (count > 0)
    {
      process->requests_finished_ms = 0;
      return count;
    }
  if (process->requests_finished_ms == 0)
    process->requests_finished_ms = clock_ms (process->clock);
  /* The event loop writes the last replies in its next iteration.  Destroying
     the roles earlier would truncate the replies.  */
  if (clock_ms (process->clock) - process->requests_finished_ms
      < LAST_REPLY_WRITE_MS)
    return 1;
  return bills_write_or_transfer (process) ? 0 : 1;
}

/* Destroy the roles at the end of a planned stop.  */
static void
destroy_roles (process_t *process)
{
  uint32_t unfinished_count = drain_unfinished_at_timeout (process->drain);

  if (unfinished_count > 0)
    log_warning ("process",
                 "The planned stop timed out and aborts unfinished requests. "
                 "requests=%u",
                 unfinished_count);
  process->are_roles_destroyed = true;
  roster_destroy (process->roster);
  process->roster = NULL;
  ledger_destroy (process->ledger);
  entry_destroy (process->entry);
  for (size_t i = 0; i < process->sidecar_count; i++)
    sidecar_destroy (process->sidecars[i]);
  httpd_destroy (process->admin);
  confstore_destroy (process->conf);
  process->platform->ops->destroy (process->platform);
  uv_close ((uv_handle_t *)&process->tick_timer, NULL);
  loop_watch_destroy (process->loop_watch);
  log_notice ("process", "Stopped.");
}

/* Update the state of the planned stop and act on a change.  */
static void
update_drain (process_t *process)
{
  drain_state_t previous_state = process->drain_state;

  if (previous_state == DRAIN_SERVING && drain_is_healthy (process->drain))
    return;
  process->drain_state = drain_update (
      process->drain, (uint32_t)count_remaining_work (process));
  if (process->drain_state == previous_state)
    return;
  if (process->drain_state == DRAIN_DRAINING && process->entry != NULL)
    entry_stop_listening (process->entry);
  if (process->drain_state == DRAIN_DONE)
    destroy_roles (process);
}

void
process_stop (process_t *process, const stop_time_t *time)
{
  if (!drain_start (process->drain, time))
    return;
  log_notice ("process", "Stopping. in_hand=%zu delay_ms=%" PRIu64,
              count_unfinished_requests (process),
              clock_ms (process->clock) - time->delivered_ms);
  /* The sidecars of a standalone serve its entry until the end of the stop.  A
     separate sidecar refuses new requests at once: a refusal costs nothing,
     and each entry can select another sidecar.  */
  if (process->entry != NULL)
    entry_start_draining (process->entry);
  else
    for (size_t i = 0; i < process->sidecar_count; i++)
      sidecar_drain (process->sidecars[i]);
}

/* Return the time, in ms, that bills wait to be written together in one row.
   Shorter is better, but all entries together must not write more than
   BILL_ROWS_PER_S_MAX rows a second.  */
static uint64_t
bill_flush_interval_ms (const process_t *process)
{
  uint64_t interval_ms = entry_count_known_entries (process->entry) * 1000
                         / BILL_ROWS_PER_S_MAX;

  if (interval_ms < BILL_FLUSH_INTERVAL_MIN_MS)
    return BILL_FLUSH_INTERVAL_MIN_MS;
  return interval_ms < BILL_FLUSH_INTERVAL_MAX_MS
             ? interval_ms
             : (uint64_t)BILL_FLUSH_INTERVAL_MAX_MS;
}

static void
on_tick (uv_timer_t *timer)
{
  process_t *process = timer->data;

  if (process->entry != NULL && !process->are_roles_destroyed)
    {
      confstore_set_polling (process->conf, entry_zone_rank (process->entry)
                                                < POLLERS_PER_ZONE);
      ledger_set_flush_ms (process->ledger, bill_flush_interval_ms (process));
    }
  /* Without a current list of instances, the peers from the settings are the
     only ones to try.  */
  if (process->roster != NULL && !process->are_roles_destroyed
      && roster_age_ms (process->roster) > CONFIGURED_PEERS_RETRY_MS
      && clock_ms (process->clock) - process->configured_peers_added_ms
             > CONFIGURED_PEERS_RETRY_MS)
    add_configured_peers (process);
  update_drain (process);
}

static uint64_t
choose_seed (const settings_t *settings)
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
      const sidecar_options_t options
          = { .loop = process->loop,
              .clock = process->clock,
              .metrics = process->metrics,
              .settings = settings,
              .upstream = &settings->upstreams[i],
              .memory = &process->memory,
              .seed = process->seed + i + 1,
              .callbacks = &process_sidecar_callbacks,
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
                                    .memory = &process->memory,
                                    .clock = process->clock,
                                    .metrics = process->metrics,
                                    .settings = process->settings,
                                    .platform = process->platform,
                                    .seed = process->seed,
                                    .callbacks = &process_entry_callbacks,
                                    .arg = process };

  return entry_create (&options, &process->entry);
}

/* Add the sidecars of a standalone to the instances of its entry.  */
static void
add_local_sidecars (process_t *process)
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
on_initial_configuration_applied (void *arg, vh_code_t code, uint64_t revision)
{
  (void)arg;
  if (code == VH_OK)
    log_notice ("process",
                "The initial configuration was applied. "
                "revision=%llu",
                (unsigned long long)revision);
  else if (code != VH_E_STALE_REVISION && code != VH_E_CANCELLED)
    log_warning ("process",
                 "The initial configuration was not applied. "
                 "code=%d",
                 (int)code);
}

/* Apply the configuration file that the settings name, if the store has no
   configuration yet.  Return VH_OK, or an error code after logging the
   error.  */
static vh_code_t
load_initial_configuration (process_t *process)
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
      log_err (
          "process",
          "The initial configuration cannot be read or is not valid. file=%s",
          path);
      buf_free (&lines);
    }
  else
    confstore_apply (process->conf, buf_str (&text), STR ("settings"), 0,
                     on_initial_configuration_applied, process);
  snapshot_unref (snapshot);
  conf_errors_free (&errors);
  buf_free (&text);
  free (path);
  return code;
}

static void
start_confstore (process_t *process)
{
  const control_env_t env = { process->loop, process->clock, process->platform,
                              process->seed + 2000 };
  const confstore_options_t options
      = { .poll_interval_ms = process->settings->poll_ms,
          .polling_enabled = process->settings->role != ROLE_SIDECAR,
          .on_revision = on_revision_in_force,
          .owner = process };

  process->conf = confstore_create (&env, &options);
}

static platform_t *
create_platform (process_t *process)
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
      log_warning ("process",
                   "Standalone process: bills, claims and configuration "
                   "are lost when it stops.");
      add_local_sidecars (process);
    }
  bills_start (process);
  if (process->entry != NULL)
    {
      start_roster (process);
      add_configured_peers (process);
    }
  if (settings->configuration_file.len > 0)
    code = load_initial_configuration (process);
  return code;
}

vh_code_t
process_create (uv_loop_t *loop, const settings_t *settings, process_t **out)
{
  process_t *process = mem_zalloc (sizeof *process);
  vh_code_t code = VH_E_BAD_SETTINGS;

  *out = NULL;
  process->loop = loop;
  process->memory.limit = memory_budget_limit ((uint32_t)settings->memory_mb,
                                               settings->body_limit);
  process->settings = settings;
  process->clock = clock_system ();
  process->metrics = metrics_create ();
  process->seed = choose_seed (settings);
  process->started_ms = clock_ms (process->clock);
  process->drain
      = drain_create ((uint32_t)settings->drain_grace_ms,
                      (uint32_t)settings->drain_timeout_ms, process->clock);
  process->platform = create_platform (process);
  if (process->platform == NULL)
    {
      log_err ("process", "The platform's address is not valid.");
      goto free_process;
    }
  start_confstore (process);
  code = start_roles (process);
  if (code != VH_OK)
    goto free_platform;
  code = admin_create (process);
  if (code != VH_OK)
    goto free_platform;
  process->loop_watch = loop_watch_create (
      loop, metrics_histogram (process->metrics, LOOP_WATCH_METRIC, "",
                               LOOP_WATCH_HELP));
  uv_timer_init (loop, &process->tick_timer);
  process->tick_timer.data = process;
  uv_timer_start (&process->tick_timer, on_tick, TICK_INTERVAL_MS,
                  TICK_INTERVAL_MS);
  log_notice ("process", "Serving. name=%.*s zone=%.*s",
              STR_ARG (settings->name), STR_ARG (settings->zone));
  *out = process;
  return VH_OK;

free_platform:
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
  bills_free (process);
  free (process->sidecars);
  drain_destroy (process->drain);
  metrics_destroy (process->metrics);
  free (process);
  return code;
}

bool
process_destroy (process_t *process)
{
  bool is_clean_stop = drain_unfinished_at_timeout (process->drain) == 0;

  bills_free (process);
  free (process->sidecars);
  drain_destroy (process->drain);
  metrics_destroy (process->metrics);
  free (process);
  return is_clean_stop;
}
