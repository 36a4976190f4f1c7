/* The entry that steps roll-outs and keeps what was learned.

   One entry at a time, under the lease "learn".  Roll-outs' states stand in
   table rows, written in transactions conditional on the lease, so that a
   holder paused past its term takes no decision back.  Evidence for quality
   and cascade stands in two objects; it is merged, so an older copy written
   late costs at most the evidence since.  Every entry reads all of it once
   when it starts, and goes on by exchange with the others.  */

#include "entry/entryint.h"

#include "base/log.h"
#include "control/lease.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  STEP_MS = 500,
  SAVE_MS = 30000,
  LOAD_RETRY_MS = 2000,
  LEASE_TERM_MS = 10000,
  SCAN_LIMIT = 100,
  PATIENCE_MS = 10000
};

static const char row_prefix[] = "learn/rollout/";

struct lead
{
  entry_t *entry;
  control_env_t env;
  store_t *store;
  lease_t *lease;
  bool loading;
  bool loaded;
  bool asking;          /* For the evidence.  */
  bool evidence_loaded; /* Since the lease was taken.  */
  bool ended;
  uint64_t load_at_ms;
  uint64_t stepped_ms;
  uint64_t saved_ms;
};

static void load_evidence (lead_t *lead);

static void
on_lease (void *owner, bool held)
{
  lead_t *lead = owner;

  /* Folding what one knows less of than the last holder did would lose what
     that one had: read it first.  */
  lead->evidence_loaded = false;
  if (held)
    load_evidence (lead);
  log_notice ("entry", "%s",
              held ? "This entry steps the roll-outs now."
                   : "This entry steps the roll-outs no longer.");
}

lead_t *
lead_create (entry_t *entry)
{
  lead_t *lead = mem_zalloc (sizeof *lead);
  char holder[64];

  lead->entry = entry;
  lead->env
      = (control_env_t){ entry->loop, entry->clock, entry->options.platform,
                         rng_u64 (&entry->rng) };
  lead->store = store_create (&lead->env);
  const lease_options_t options
      = { .term_ms = LEASE_TERM_MS, .changed = on_lease, .owner = lead };
  snprintf (holder, sizeof holder, "%016llx",
            (unsigned long long)rpc_node_epoch (entry->node));
  lead->lease
      = lease_create (&lead->env, STR ("learn"), str_from (holder), &options);
  return lead;
}

/* Release LEAD once the platform owes it no answer.  */
static void
lead_free (lead_t *lead)
{
  free (lead);
}

void
lead_destroy (lead_t *lead)
{
  if (lead == NULL)
    return;
  lead->ended = true;
  lease_destroy (lead->lease);
  store_destroy (lead->store);
  lead->lease = NULL;
  lead->store = NULL;
  if (!lead->asking)
    lead_free (lead);
}

lease_t *
lead_lease (lead_t *lead)
{
  return lead->lease;
}

lease_t *
entry_leader_lease (entry_t *entry)
{
  return entry->lead->lease;
}

/* Rows are text: state bytes travel in hexadecimal.  */
static bool
unhex (str_t text, buf_t *out)
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
load_row (lead_t *lead, const row_t *row)
{
  entry_t *entry = lead->entry;
  str_t version = str_make (row->key.ptr + sizeof row_prefix - 1,
                            row->key.len - (sizeof row_prefix - 1));
  buf_t state = BUF_NULL;
  uint64_t start_ms;
  str_t hex;

  if (str_to_u64 (str_cut (row->value, ' ', &hex), &start_ms)
      && unhex (hex, &state))
    {
      learn_rollout_t *rollout = learn_rollout_put (entry, version, start_ms);
      if (rollout != NULL)
        rollout_merge (rollout->run, buf_str (&state),
                       clock_realtime_ms (entry->clock));
    }
  buf_free (&state);
}

static void
on_rows (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  lead_t *lead = arg;

  (void)more;
  lead->loading = false;
  if (code != VH_OK)
    return;
  for (size_t i = 0; i < count; i++)
    load_row (lead, &rows[i]);
  lead->loaded = true;
}

static void
on_evidence (void *arg, vh_code_t code, str_t bytes)
{
  lead_t *lead = arg;

  if (lead->ended)
    {
      lead_free (lead);
      return;
    }
  lead->asking = false;
  if (code == VH_OK)
    learn_merge (lead->entry, bytes);
  lead->evidence_loaded = code == VH_OK || code == VH_E_NOT_FOUND;
}

static void
load_evidence (lead_t *lead)
{
  platform_t *platform = lead->entry->options.platform;

  if (lead->asking)
    return;
  lead->asking = true;
  platform->ops->object_get (platform, STR ("learn-evidence"), on_evidence,
                             lead);
}

static void
load (lead_t *lead, uint64_t now_ms)
{
  entry_t *entry = lead->entry;

  if (lead->loading || now_ms < lead->load_at_ms)
    return;
  lead->loading = true;
  lead->load_at_ms = now_ms + rng_jitter (&entry->rng, 2 * LOAD_RETRY_MS);
  store_scan (lead->store, STR (row_prefix), STR (""), SCAN_LIMIT, on_rows,
              lead);
  load_evidence (lead);
}

static void
on_saved (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  (void)arg;
  (void)revision;
  (void)conflict_key;
  if (code != VH_OK)
    log_warning ("entry", "A roll-out's state was not kept. code=%d",
                 (int)code);
}

/* Keep ROLLOUT's state, if this entry still leads.  */
static void
save (lead_t *lead, const learn_rollout_t *rollout)
{
  buf_t key = BUF_NULL, value = BUF_NULL, state = BUF_NULL, token = BUF_NULL;

  rollout_write (rollout->run, false, &state);
  buf_printf (&key, "%s%s", row_prefix, rollout->version);
  buf_printf (&value, "%llu ", (unsigned long long)rollout->start_ms);
  buf_append_hex (&value, state.ptr, state.len);
  store_append_token (lead->store, &token);
  const txn_condition_t condition = lease_condition (lead->lease);
  const txn_write_t write
      = { .key = buf_str (&key), .value = buf_str (&value) };
  const txn_t txn = { .conditions = &condition,
                      .condition_count = 1,
                      .writes = &write,
                      .write_count = 1,
                      .token = buf_str (&token) };
  store_txn (lead->store, &txn, PATIENCE_MS, on_saved, lead);
  buf_free (&key);
  buf_free (&value);
  buf_free (&state);
  buf_free (&token);
}

/* Apply what the operators want of CONFIGURED.  Return true when the state
   changed.  */
static bool
follow_orders (const rollout_t *configured, rollout_run_t *run)
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
step_one (lead_t *lead, const rollout_t *configured)
{
  entry_t *entry = lead->entry;
  uint64_t now_ms = clock_realtime_ms (entry->clock);
  learn_rollout_t *rollout
      = learn_rollout_find (entry, configured->version->name);
  bool wanted = configured->state == ROLLOUT_RUNNING;
  bool is_new
      = rollout == NULL
        || (wanted && rollout_phase (rollout->run) == ROLLOUT_PHASE_ABORTED);

  if (is_new)
    {
      if (!wanted)
        return;
      rollout = learn_rollout_put (entry, configured->version->name, now_ms);
      if (rollout == NULL)
        return;
      log_notice ("entry", "A roll-out begins. version=%s", rollout->version);
    }
  bool changed = follow_orders (configured, rollout->run);
  changed = rollout_decide (rollout->run, now_ms) || changed;
  if (!changed && !is_new)
    return;
  buf_t reason = BUF_NULL;
  rollout_explain (rollout->run, &reason);
  log_notice ("entry", "A roll-out moved. version=%s state=%s why=\"%.*s\"",
              rollout->version,
              rollout_phase_name (rollout_phase (rollout->run)),
              STR_ARG (buf_str (&reason)));
  buf_free (&reason);
  save (lead, rollout);
  learn_spread (entry);
}

static void
on_object_saved (void *arg, vh_code_t code, str_t bytes)
{
  (void)arg;
  (void)bytes;
  if (code != VH_OK && code != VH_E_CANCELLED)
    log_info ("entry", "Evidence was not kept. code=%d", (int)code);
}

static void
save_evidence (lead_t *lead)
{
  entry_t *entry = lead->entry;
  platform_t *platform = entry->options.platform;
  buf_t rows = BUF_NULL;

  learn_write (entry, false, &rows);
  platform->ops->object_put (platform, STR ("learn-evidence"), buf_str (&rows),
                             on_object_saved, NULL);
  buf_free (&rows);
}

void
lead_tick (lead_t *lead, uint64_t now_ms)
{
  entry_t *entry = lead->entry;
  const rollout_t *configured;

  if (!lead->loaded)
    load (lead, now_ms);
  if (now_ms - lead->stepped_ms < STEP_MS || !lead->loaded
      || entry->snapshot == NULL || !lease_is_held (lead->lease))
    return;
  lead->stepped_ms = now_ms;
  for (size_t i = 0;
       (configured = snapshot_rollout_at (entry->snapshot, i)) != NULL; i++)
    step_one (lead, configured);
  if (now_ms - lead->saved_ms < SAVE_MS)
    return;
  lead->saved_ms = now_ms;
  if (!lead->evidence_loaded)
    {
      load_evidence (lead);
      return;
    }
  learn_settle (entry, lease_condition (lead->lease).version);
  save_evidence (lead);
}
