/* Duties of the leader: steps of the roll-outs, and storage of the learned
   evidence.

   One entry at a time is the leader; it holds the lease "learn".  The states
   of the roll-outs are stored in table rows, which are written in transactions
   conditional on the lease, so that a holder that was paused beyond its term
   cannot revert a later decision.  The evidence, such as that for
   quality and cascades, is stored in one object.  Evidence is merged, so an
   older copy that is written late loses at most the evidence added since.
   Every entry loads both once at its start, and then exchanges evidence with
   the other entries.  */

#include "entry/entryint.h"

#include "base/log.h"
#include "control/lease.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  ROLLOUT_STEP_INTERVAL_MS = 500,
  EVIDENCE_SAVE_INTERVAL_MS = 30000,
  LOAD_RETRY_INTERVAL_MS = 2000,
  LEASE_TERM_MS = 10000,
  ROLLOUT_ROWS_MAX = 100,
  STORE_TIMEOUT_MS = 10000
};

static const char rollout_row_prefix[] = "learn/rollout/";

struct leader
{
  entry_t *entry;
  control_env_t env;
  store_t *store;
  lease_t *lease;
  bool loading_rollouts;
  bool rollouts_loaded;
  bool loading_evidence;
  bool evidence_loaded; /* Evidence was loaded under the current lease.  */
  bool destroyed;
  uint64_t next_load_ms;
  uint64_t last_step_ms;
  uint64_t last_save_ms;
};

static void load_evidence (leader_t *leader);

static void
on_lease (void *owner, bool held)
{
  leader_t *leader = owner;

  /* The evidence of the previous holder is loaded first: a compaction without
     that evidence would lose it.  */
  leader->evidence_loaded = false;
  if (held)
    load_evidence (leader);
  log_notice ("entry", "%s",
              held ? "This entry steps the roll-outs now."
                   : "This entry steps the roll-outs no longer.");
}

leader_t *
leader_create (entry_t *entry)
{
  leader_t *leader = mem_zalloc (sizeof *leader);
  char holder[64];

  leader->entry = entry;
  leader->env
      = (control_env_t){ entry->loop, entry->clock, entry->options.platform,
                         rng_u64 (&entry->rng) };
  leader->store = store_create (&leader->env);
  const lease_options_t options
      = { .term_ms = LEASE_TERM_MS, .changed = on_lease, .owner = leader };
  snprintf (holder, sizeof holder, "%016llx",
            (unsigned long long)rpc_node_epoch (entry->node));
  leader->lease = lease_create (&leader->env, STR ("learn"), str_from (holder),
                                &options);
  return leader;
}

/* Free LEADER; no callback of the platform may be outstanding.  */
static void
leader_free (leader_t *leader)
{
  free (leader);
}

void
leader_destroy (leader_t *leader)
{
  if (leader == NULL)
    return;
  leader->destroyed = true;
  lease_destroy (leader->lease);
  store_destroy (leader->store);
  leader->lease = NULL;
  leader->store = NULL;
  if (!leader->loading_evidence)
    leader_free (leader);
}

lease_t *
leader_lease (leader_t *leader)
{
  return leader->lease;
}

lease_t *
entry_leader_lease (entry_t *entry)
{
  return entry->leader->lease;
}

/* Decode the state of a roll-out, which rows hold in hexadecimal.  */
static bool
decode_hex (str_t text, buf_t *out)
{
  if (text.len % 2 != 0)
    return false;
  buf_reserve (out, text.len / 2 + 1);
  if (!str_unhex (text, (uint8_t *)out->ptr, text.len / 2))
    return false;
  out->len = text.len / 2;
  return true;
}

static void
load_rollout_row (leader_t *leader, const row_t *row)
{
  entry_t *entry = leader->entry;
  str_t version = str_make (row->key.ptr + sizeof rollout_row_prefix - 1,
                            row->key.len - (sizeof rollout_row_prefix - 1));
  buf_t state = BUF_NULL;
  uint64_t start_ms;
  str_t state_hex;

  if (str_to_u64 (str_cut (row->value, ' ', &state_hex), &start_ms)
      && decode_hex (state_hex, &state))
    {
      learn_rollout_t *rollout = learn_rollout_put (entry, version, start_ms);
      if (rollout != NULL)
        rollout_merge (rollout->run, buf_str (&state),
                       clock_realtime_ms (entry->clock));
    }
  buf_free (&state);
}

static void
on_rollout_rows (void *arg, vh_code_t code, const row_t *rows, size_t count,
                 bool more)
{
  leader_t *leader = arg;

  (void)more;
  leader->loading_rollouts = false;
  if (code != VH_OK)
    return;
  for (size_t i = 0; i < count; i++)
    load_rollout_row (leader, &rows[i]);
  leader->rollouts_loaded = true;
}

static void
on_evidence_loaded (void *arg, vh_code_t code, str_t bytes)
{
  leader_t *leader = arg;

  if (leader->destroyed)
    {
      leader_free (leader);
      return;
    }
  leader->loading_evidence = false;
  if (code == VH_OK)
    learn_merge (leader->entry, bytes);
  leader->evidence_loaded = code == VH_OK || code == VH_E_NOT_FOUND;
}

static void
load_evidence (leader_t *leader)
{
  platform_t *platform = leader->entry->options.platform;

  if (leader->loading_evidence)
    return;
  leader->loading_evidence = true;
  platform->ops->object_get (platform, STR ("learn-evidence"),
                             on_evidence_loaded, leader);
}

static void
load_state (leader_t *leader, uint64_t now_ms)
{
  entry_t *entry = leader->entry;

  if (leader->loading_rollouts || now_ms < leader->next_load_ms)
    return;
  leader->loading_rollouts = true;
  leader->next_load_ms
      = now_ms + rng_jitter (&entry->rng, 2 * LOAD_RETRY_INTERVAL_MS);
  store_scan (leader->store, STR (rollout_row_prefix), STR (""),
              ROLLOUT_ROWS_MAX, on_rollout_rows, leader);
  load_evidence (leader);
}

static void
on_rollout_saved (void *arg, vh_code_t code, uint64_t revision,
                  str_t conflict_key)
{
  (void)arg;
  (void)revision;
  (void)conflict_key;
  if (code != VH_OK)
    log_warning ("entry",
                 "The state of a roll-out was not written to the store. "
                 "code=%d",
                 (int)code);
}

/* Write the state of ROLLOUT on the condition that this entry still holds the
   lease.  */
static void
save_rollout (leader_t *leader, const learn_rollout_t *rollout)
{
  buf_t key = BUF_NULL, value = BUF_NULL, state = BUF_NULL, token = BUF_NULL;

  rollout_write (rollout->run, false, &state);
  buf_printf (&key, "%s%s", rollout_row_prefix, rollout->version);
  buf_printf (&value, "%llu ", (unsigned long long)rollout->start_ms);
  buf_append_hex (&value, state.ptr, state.len);
  store_append_token (leader->store, &token);
  const txn_condition_t condition = lease_condition (leader->lease);
  const txn_write_t write
      = { .key = buf_str (&key), .value = buf_str (&value) };
  const txn_t txn = { .conditions = &condition,
                      .condition_count = 1,
                      .writes = &write,
                      .write_count = 1,
                      .token = buf_str (&token) };
  store_txn (leader->store, &txn, STORE_TIMEOUT_MS, on_rollout_saved, leader);
  buf_free (&key);
  buf_free (&value);
  buf_free (&state);
  buf_free (&token);
}

/* Pause, abort or resume RUN according to the state that the operators set in
   CONFIGURED.  Return true if the phase of RUN changed.  */
static bool
apply_configured_state (const rollout_t *configured, rollout_run_t *run)
{
  switch (configured->state)
    {
    case ROLLOUT_PAUSED:
      return rollout_pause (run);
    case ROLLOUT_ABORTED:
      return rollout_abort (run);
    case ROLLOUT_RUNNING:
      return rollout_phase (run) == ROLLOUT_PHASE_PAUSED
             && rollout_resume (run);
    }
  return false;
}

static void
step_rollout (leader_t *leader, const rollout_t *configured)
{
  entry_t *entry = leader->entry;
  uint64_t now_ms = clock_realtime_ms (entry->clock);
  learn_rollout_t *rollout
      = learn_rollout_find (entry, configured->version->name);
  bool should_run = configured->state == ROLLOUT_RUNNING;
  bool is_new = rollout == NULL
                || (should_run
                    && rollout_phase (rollout->run) == ROLLOUT_PHASE_ABORTED);

  if (is_new)
    {
      if (!should_run)
        return;
      rollout = learn_rollout_put (entry, configured->version->name, now_ms);
      if (rollout == NULL)
        return;
      log_notice ("entry", "A roll-out starts. version=%s", rollout->version);
    }
  bool changed = apply_configured_state (configured, rollout->run);
  changed = rollout_decide (rollout->run, now_ms) || changed;
  if (!changed && !is_new)
    return;
  buf_t reason = BUF_NULL;
  rollout_explain (rollout->run, &reason);
  log_notice ("entry",
              "A roll-out changed its state. version=%s state=%s "
              "why=\"%.*s\"",
              rollout->version,
              rollout_phase_name (rollout_phase (rollout->run)),
              STR_ARG (buf_str (&reason)));
  buf_free (&reason);
  save_rollout (leader, rollout);
  learn_broadcast (entry);
}

static void
on_evidence_saved (void *arg, vh_code_t code, str_t bytes)
{
  (void)arg;
  (void)bytes;
  if (code != VH_OK && code != VH_E_CANCELLED)
    log_info ("entry",
              "The learned evidence was not written to the store. code=%d",
              (int)code);
}

static void
save_evidence (leader_t *leader)
{
  entry_t *entry = leader->entry;
  platform_t *platform = entry->options.platform;
  buf_t rows = BUF_NULL;

  learn_write (entry, false, &rows);
  platform->ops->object_put (platform, STR ("learn-evidence"), buf_str (&rows),
                             on_evidence_saved, NULL);
  buf_free (&rows);
}

void
leader_tick (leader_t *leader, uint64_t now_ms)
{
  entry_t *entry = leader->entry;
  const rollout_t *configured;

  if (!leader->rollouts_loaded)
    load_state (leader, now_ms);
  if (now_ms - leader->last_step_ms < ROLLOUT_STEP_INTERVAL_MS
      || !leader->rollouts_loaded || entry->snapshot == NULL
      || !lease_is_held (leader->lease))
    return;
  leader->last_step_ms = now_ms;
  for (size_t i = 0;
       (configured = snapshot_rollout_at (entry->snapshot, i)) != NULL; i++)
    step_rollout (leader, configured);
  if (now_ms - leader->last_save_ms < EVIDENCE_SAVE_INTERVAL_MS)
    return;
  leader->last_save_ms = now_ms;
  if (!leader->evidence_loaded)
    {
      load_evidence (leader);
      return;
    }
  learn_compact (entry, lease_condition (leader->lease).version);
  save_evidence (leader);
}
