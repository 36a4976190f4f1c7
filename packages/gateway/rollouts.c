#include "gateway/rolloutsint.h"

#include "base/eventlog.h"

#include <stdlib.h>

enum
{
  /* Time after which any gateway writes a step of a roll-out that is due.
     Normally a gateway that reads the store for others writes the step
     earlier.  */
  WRITER_TIMEOUT_MS = 1200
};

/* The state row of a roll-out, as last read from the store.  */
typedef struct
{
  uint64_t version; /* Version of the row in the store; 0: there is none.  */
  buf_t text;
  bool is_outdated; /* The store lost the state that is in force here, so it is
                       to be written again.  */
} state_row_t;

struct rollouts
{
  gateway_state_t *state;
  rows_t *rows;
  peer_rows_t *peer_rows;
  bool is_commit_pending; /* A write of a state row has no reply yet.  */
  /* Monotonic time, in ms, since which a state row is due to be written; 0 if
     none is due.  */
  uint64_t write_due_ms;
  /* Monotonic time, in ms, until which operators write the requests again that
     the store lost; 0 if it lost none.  */
  uint64_t rewrite_until_ms;
  map_t *state_rows; /* Map of service name to state_row_t.  */
  /* Map of key to text, as NUL-terminated strings, of the rows with evidence
     that were last read from the store.  */
  map_t *evidence_rows;
};

/* Withdraw the versions of SERVICE that TEXT lists, separated by spaces.
   These versions were rolled back earlier, perhaps before this gateway
   started.  */
static void
apply_withdrawn_versions (rollouts_t *rollouts, str_t service, str_t text)
{
  const trial_t *trial = map_get (rollouts->state->trials, service);

  while (text.ptr != NULL && text.len > 0)
    {
      str_t version = str_cut (text, ' ', &text);
      if (trial == NULL || !str_eq (version, trial_version (trial)))
        pool_set_version_withdrawn (rollouts->state->pool, service, version,
                                    true);
    }
}

/* Apply the state row of SERVICE's roll-out, if there is one.  The text of the
   row is ORDER START STEP FROM PHASE VERSION...: the store version of the
   operator's request, the store time at which the request was first read, the
   step in force, the store time from which the step is in force, the phase,
   and the versions that were rolled back earlier.  The state row may be read
   before the operator's request.  */
static void
apply_state_row (rollouts_t *rollouts, str_t service)
{
  trial_t *trial = map_get (rollouts->state->trials, service);
  state_row_t *row = map_get (rollouts->state_rows, service);
  uint64_t numbers[4];

  if (row == NULL)
    return;
  str_t rest = buf_str (&row->text);
  for (size_t i = 0; i < 4; i++)
    if (rest.ptr == NULL
        || !str_to_u64 (str_cut (rest, ' ', &rest), &numbers[i]))
      return;
  str_t phase_name = str_cut (rest, ' ', &rest);
  apply_withdrawn_versions (rollouts, service, rest);
  if (trial == NULL || phase_name.ptr == NULL
      || numbers[0] != trial_order (trial))
    return;
  row->is_outdated = false;
  trial_set_progress (trial, numbers[1], (uint32_t)numbers[2], numbers[3]);
  log_event (EVENT_ROLLOUT_STEP, log_field_text (FIELD_SERVICE, service),
             log_field_text (FIELD_VERSION, trial_version (trial)),
             log_field_number (FIELD_STEP, numbers[2]),
             log_field_number (FIELD_FROM, numbers[3]),
             log_field_text (FIELD_PHASE, phase_name));
  /* The phase `running' in the row does not override a decision of this
     gateway that is not written yet, nor does `done' one to withdraw the
     version.  */
  bool is_final = false;
  for (trial_phase_t phase = TRIAL_PHASE_DONE; phase <= TRIAL_PHASE_WITHDRAWN;
       phase++)
    if (str_eq (phase_name, str_from (trial_phase_name (phase)))
        && (phase != TRIAL_PHASE_DONE
            || trial_phase (trial) != TRIAL_PHASE_WITHDRAWN))
      {
        trial_set_phase (trial, phase);
        is_final = true;
      }
  trial_set_final_phase_stored (trial, is_final);
}

static state_row_t *
find_or_add_state_row (rollouts_t *rollouts, str_t service)
{
  state_row_t *state_row = map_get (rollouts->state_rows, service);

  if (state_row == NULL)
    {
      state_row = mem_zalloc (sizeof *state_row);
      map_put (rollouts->state_rows, service, state_row);
    }
  return state_row;
}

/* Return whether the state of SERVICE's roll-out is known here.  */
static bool
is_state_known (const rollouts_t *rollouts, str_t service)
{
  const trial_t *trial = map_get (rollouts->state->trials, service);

  return trial != NULL && trial_start_ms (trial) != 0;
}

void
rollouts_apply_state_row (rollouts_t *rollouts, str_t service,
                          const rows_row_t *row, bool is_copy)
{
  state_row_t *state_row = find_or_add_state_row (rollouts, service);

  state_row->version = row->version;
  state_row->text.len = 0;
  buf_append_str (&state_row->text, row->value);
  rollouts->write_due_ms = 0;
  if (is_copy && is_state_known (rollouts, service))
    state_row->is_outdated = true;
  else
    apply_state_row (rollouts, service);
}

void
rollouts_remove_state_row (rollouts_t *rollouts, str_t service)
{
  state_row_t *state_row = find_or_add_state_row (rollouts, service);

  state_row->version = 0;
  state_row->text.len = 0;
  state_row->is_outdated = true;
  rollouts->write_due_ms = 0;
}

/* Return the store version of the state row of SERVICE's roll-out; 0 if there
   is no row.  */
static uint64_t
state_row_version (const rollouts_t *rollouts, str_t service)
{
  const state_row_t *state_row = map_get (rollouts->state_rows, service);

  return state_row != NULL ? state_row->version : 0;
}

void
rollouts_era_changed (rollouts_t *rollouts)
{
  rollouts->rewrite_until_ms
      = clock_ms (rollouts->state->clock) + TABLE_SYNC_REWRITE_MS;
}

/* Return whether SPEC, the request in ROW, is that of TRIAL, written again
   after the store lost it.  */
static bool
is_rewritten_request (const rollouts_t *rollouts, const trial_t *trial,
                      const rollout_spec_t *spec, const rows_row_t *row)
{
  bool was_lost
      = rows_version_era (trial_order (trial))
            < rows_version_era (row->version)
        || clock_ms (rollouts->state->clock) < rollouts->rewrite_until_ms;

  return was_lost && str_eq (spec->version, trial_version (trial))
         && spec->within_ms == trial_time_limit_ms (trial);
}

/* Return whether ROW is an older request than that of TRIAL, from a copy of
   the store.  */
static bool
is_older_request (const trial_t *trial, const rows_row_t *row, bool is_copy)
{
  return is_copy
         && rows_version_era (trial_order (trial))
                < rows_version_era (row->version);
}

static void
apply_evidence (rollouts_t *rollouts, str_t key, bool is_direct, str_t text)
{
  str_t rest;
  str_t gateway;

  if (!str_eq (row_key_first_segment (key, &rest), STR ("evidence")))
    return;
  str_t service = str_cut (rest, '/', &gateway);
  trial_t *trial = map_get (rollouts->state->trials, service);
  if (trial == NULL)
    return;
  /* A row of this gateway has the bad answers that an earlier process of it
     knew.  */
  vh_code_t code = str_eq (gateway, rollouts->state->options.name)
                       ? trial_merge_bad_answers (trial, text)
                       : trial_merge (trial, gateway, is_direct, text);
  if (code != VH_OK)
    log_event (EVENT_ROLLOUT_BAD, log_field_text (FIELD_KEY, key),
               log_field_number (FIELD_CODE, code));
}

/* Return an id that no other process uses for TRIAL, nor this gateway's
   earlier ones, which saw the order earlier.  */
static uint64_t
process_id (const rollouts_t *rollouts, const trial_t *trial)
{
  return str_hash (rollouts->state->options.name, trial_order_seen_ms (trial));
}

/* Apply the rows with evidence on SERVICE that were read before the order.  */
static void
apply_evidence_rows (rollouts_t *rollouts, str_t service)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (rollouts->evidence_rows, &cursor, &key, &value))
    {
      str_t rest;
      row_key_first_segment (key, &rest);
      if (str_eq (str_cut (rest, '/', &rest), service))
        apply_evidence (rollouts, key, false, str_from (value));
    }
}

void
rollouts_apply_request (rollouts_t *rollouts, const rows_row_t *row,
                        bool is_copy)
{
  gateway_state_t *state = rollouts->state;
  rollout_spec_t spec;
  void *holder = NULL;
  vh_code_t code = state->dialect->read_rollout (row->value, &spec, &holder);

  if (code != VH_OK)
    {
      log_event (EVENT_ROLLOUT_BAD, log_field_text (FIELD_KEY, row->key),
                 log_field_number (FIELD_CODE, code));
      return;
    }
  trial_t *trial = map_get (state->trials, spec.service);
  bool is_known = trial != NULL && trial_order (trial) == row->version;
  if (trial != NULL && !is_known
      && is_rewritten_request (rollouts, trial, &spec, row))
    {
      trial_set_order (trial, row->version);
      find_or_add_state_row (rollouts, spec.service)->is_outdated = true;
      apply_state_row (rollouts, spec.service);
      log_event (EVENT_ROLLOUT_KEPT,
                 log_field_text (FIELD_SERVICE, spec.service),
                 log_field_text (FIELD_VERSION, spec.version),
                 log_field_number (FIELD_ORDER, row->version));
      is_known = true;
    }
  if (!is_known && (trial == NULL || !is_older_request (trial, row, is_copy)))
    {
      /* Instances of a rolled-back version stay registered for some time.
         They must not count as the old version of the next roll-out.  */
      if (trial != NULL && trial_is_reverted (trial))
        pool_set_version_withdrawn (state->pool, spec.service,
                                    trial_version (trial), true);
      pool_set_version_withdrawn (state->pool, spec.service, spec.version,
                                  false);
      trial_destroy (map_remove (state->trials, spec.service));
      trial = trial_create (spec.service, spec.version, row->version,
                            spec.within_ms, state->options.rollout_share_max);
      trial_set_order_seen_ms (
          trial, table_sync_store_now_ms (state->operator_rows_sync));
      trial_set_process_id (trial, process_id (rollouts, trial));
      const trial_usual_times_t *usual
          = map_get (state->usual_times, spec.service);
      if (usual != NULL)
        trial_set_usual_times (trial, usual);
      map_put (state->trials, spec.service, trial);
      log_event (EVENT_ROLLOUT, log_field_text (FIELD_SERVICE, spec.service),
                 log_field_text (FIELD_VERSION, spec.version),
                 log_field_number (FIELD_WITHIN_MS, spec.within_ms),
                 log_field_number (FIELD_ORDER, row->version));
      apply_state_row (rollouts, spec.service);
      apply_evidence_rows (rollouts, spec.service);
    }
  state->dialect->free_holder (holder);
}

void
rollouts_apply_evidence (rollouts_t *rollouts, str_t key, bool is_direct,
                         str_t text)
{
  if (!is_direct)
    free (map_put (rollouts->evidence_rows, key, str_dup (text)));
  apply_evidence (rollouts, key, is_direct, text);
}

static void
on_evidence_received (void *arg, str_t key, str_t value)
{
  rollouts_apply_evidence (arg, key, true, value);
}

static void
on_state_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  rollouts_t *rollouts = arg;

  (void)result;
  rollouts->is_commit_pending = false;
  if (code != VH_OK && code != VH_E_CONFLICT)
    log_event (EVENT_ROLLOUT_WRITE, log_field_number (FIELD_CODE, code));
}

/* Return whether this gateway gets the evidence of other gateways, and so
   decides on roll-outs.  */
static bool
is_decider (const rollouts_t *rollouts)
{
  return rollouts->peer_rows == NULL
         || peer_rows_is_reader (rollouts->peer_rows);
}

/* Return whether this gateway is to write a state row now.  All gateways come
   to the same decision at the same time.  If each gateway wrote the
   decision, 22 gateways would make 114 calls to the store in a day, of which
   five have an effect.  WRITER_TIMEOUT_MS counts from the first call of this
   function after a state row was read.  */
static bool
should_write_state (rollouts_t *rollouts)
{
  uint64_t now_ms = clock_ms (rollouts->state->clock);

  if (rollouts->write_due_ms == 0)
    rollouts->write_due_ms = now_ms;
  return is_decider (rollouts)
         || now_ms - rollouts->write_due_ms >= WRITER_TIMEOUT_MS;
}

/* Write the state of TRIAL, with STEP in force from FROM_MS on, to the state
   row and to the operators' status row.  Both rows are written in one
   transaction, and only if the state row has not changed since this gateway
   read it.  */
static void
write_state (rollouts_t *rollouts, str_t service, const trial_t *trial,
             uint64_t start_ms, uint32_t step, uint64_t from_ms)
{
  static const rollout_state_t states[]
      = { ROLLOUT_RUNNING, ROLLOUT_DONE, ROLLOUT_ROLLED_BACK,
          ROLLOUT_ROLLED_BACK };
  trial_phase_t phase = trial_phase (trial);
  rows_write_t writes[2] = { 0 };
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;
  buf_t status_key = BUF_NULL;
  buf_t status = BUF_NULL;

  if (rollouts->is_commit_pending || !should_write_state (rollouts))
    return;
  buf_append_str (&key, STR ("rollout/"));
  buf_append_str (&key, service);
  buf_printf (&value, "%llu %llu %u %llu %s",
              (unsigned long long)trial_order (trial),
              (unsigned long long)start_ms, step, (unsigned long long)from_ms,
              trial_phase_name (phase));
  pool_append_withdrawn_versions (rollouts->state->pool, service, &value);
  rollouts->state->dialect->write_rollout_status (
      service, trial_version (trial), states[phase], &status_key, &status);
  writes[0].table = ROWS_SHARED;
  writes[0].key = buf_str (&key);
  writes[0].value = buf_str (&value);
  writes[0].is_conditional = true;
  writes[0].expected_version = state_row_version (rollouts, service);
  writes[1].table = ROWS_STATUS;
  writes[1].key = buf_str (&status_key);
  writes[1].value = buf_str (&status);
  rollouts->is_commit_pending = true;
  rollouts->rows->ops->commit (rollouts->rows, writes, 2,
                               STORE_SYNC_COMMIT_TIMEOUT_MS, on_state_written,
                               rollouts);
  buf_free (&key);
  buf_free (&value);
  buf_free (&status_key);
  buf_free (&status);
}

static void
on_evidence_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  (void)arg;
  (void)result;
  if (code != VH_OK)
    log_event (EVENT_ROLLOUT_WRITE, log_field_number (FIELD_CODE, code));
}

static void
append_evidence_key (const rollouts_t *rollouts, str_t service, buf_t *out)
{
  buf_append_str (out, STR ("evidence/"));
  buf_append_str (out, service);
  buf_append_char (out, '/');
  buf_append_str (out, rollouts->state->options.name);
}

/* Return whether gateways tell each other evidence on TRIAL: it is running, or
   its version is in service and watched.  */
static bool
has_evidence (const rollouts_t *rollouts, const trial_t *trial)
{
  return trial_step (trial) != TRIAL_STEP_NO_TRAFFIC
         && (trial_phase (trial) == TRIAL_PHASE_RUNNING
             || trial_is_watched (trial,
                                  table_sync_store_now_ms (
                                      rollouts->state->operator_rows_sync)));
}

/* List the evidence on roll-outs that is sent to the reader.  If
   IS_INTERMEDIATE, the evidence that other gateways sent to this gateway is
   included.  */
static size_t
list_evidence (void *arg, bool is_intermediate, peer_rows_item_t *items,
               size_t items_max)
{
  rollouts_t *rollouts = arg;
  size_t count = 0;
  size_t cursor = 0;
  str_t service;
  void *value;

  while (count < items_max
         && map_next (rollouts->state->trials, &cursor, &service, &value))
    {
      trial_t *trial = value;
      if (!has_evidence (rollouts, trial))
        continue;
      append_evidence_key (rollouts, service, &items[count].key);
      trial_write (trial, is_intermediate, &items[count++].value);
    }
  return count;
}

/* Write the evidence on TRIAL to the store, for other gateways that read the
   store, such as those in zones that have no connection to this gateway.  */
static void
write_evidence (rollouts_t *rollouts, str_t service, trial_t *trial)
{
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;

  append_evidence_key (rollouts, service, &key);
  trial_write (trial, true, &value);
  rows_write_t write = { .table = ROWS_SHARED,
                         .key = buf_str (&key),
                         .value = buf_str (&value) };
  rollouts->rows->ops->commit (rollouts->rows, &write, 1,
                               STORE_SYNC_COMMIT_TIMEOUT_MS,
                               on_evidence_written, rollouts);
  buf_free (&key);
  buf_free (&value);
}

/* Log that TRIAL is decided for REASON.  */
static void
log_decision (str_t service, const trial_t *trial, str_t reason)
{
  buf_t old = BUF_NULL;
  buf_t new = BUF_NULL;

  trial_describe (trial, TRIAL_ARM_OLD, &old);
  trial_describe (trial, TRIAL_ARM_NEW, &new);
  log_event (EVENT_ROLLOUT_END, log_field_text (FIELD_SERVICE, service),
             log_field_text (FIELD_VERSION, trial_version (trial)),
             log_field_text (FIELD_PHASE, str_from (trial_phase_name (
                                              trial_phase (trial)))),
             log_field_text (FIELD_WHY, reason),
             log_field_text (FIELD_OLD, buf_str (&old)),
             log_field_text (FIELD_NEW, buf_str (&new)));
  buf_free (&old);
  buf_free (&new);
}

/* Evaluate the evidence on TRIAL and carry out the verdict.  */
static void
evaluate_trial (rollouts_t *rollouts, str_t service, trial_t *trial)
{
  uint64_t now_ms
      = table_sync_store_now_ms (rollouts->state->operator_rows_sync);
  bool is_isolated = table_sync_is_down (rollouts->state->operator_rows_sync);
  buf_t reason = BUF_NULL;

  /* A gateway that cannot reach the store decides on its own evidence.  */
  if (!is_isolated && !is_decider (rollouts))
    return;
  trial_decision_t verdict
      = trial_decide (trial, now_ms, is_isolated, &reason);

  switch (verdict)
    {
    case TRIAL_DECISION_WAIT:
      break;
    case TRIAL_DECISION_ADVANCE:
      write_state (rollouts, service, trial, trial_start_ms (trial),
                   trial_step (trial) + 1, now_ms + TRIAL_STEP_NOTICE_MS);
      break;
    case TRIAL_DECISION_ROLL_BACK:
    case TRIAL_DECISION_FINISH:
      trial_set_phase (trial, verdict == TRIAL_DECISION_FINISH
                                  ? TRIAL_PHASE_DONE
                                  : TRIAL_PHASE_ROLLED_BACK);
      log_decision (service, trial, buf_str (&reason));
      break;
    case TRIAL_DECISION_WITHDRAW:
      trial_set_phase (trial, TRIAL_PHASE_WITHDRAWN);
      trial_set_final_phase_stored (trial, false);
      log_decision (service, trial, buf_str (&reason));
      break;
    }
  buf_free (&reason);
}

static bool
is_state_outdated (const rollouts_t *rollouts, str_t service)
{
  const state_row_t *state_row = map_get (rollouts->state_rows, service);

  return state_row != NULL && state_row->is_outdated;
}

/* Carry out the step of TRIAL that is due, if any.  HAS_SECOND_ELAPSED is true
   in one call a second.  */
static void
run_trial_step (rollouts_t *rollouts, str_t service, trial_t *trial,
                bool has_second_elapsed)
{
  uint64_t now_ms
      = table_sync_store_now_ms (rollouts->state->operator_rows_sync);

  if (trial_start_ms (trial) == 0)
    {
      /* The time limit of the roll-out counts from the time at which this
         gateway read the operator's request, even if the state row is written
         late.  */
      uint64_t start_ms = trial_order_seen_ms (trial) != 0
                              ? trial_order_seen_ms (trial)
                              : now_ms;
      write_state (rollouts, service, trial, start_ms, 0, start_ms);
      return;
    }
  if (trial_phase (trial) == TRIAL_PHASE_RUNNING
      || trial_is_watched (trial, now_ms))
    {
      if (has_second_elapsed)
        trial_decay (trial);
      evaluate_trial (rollouts, service, trial);
    }
  /* Repeat the write until the state row has a decision, of this or another
     gateway, or again has the state that the store lost.  */
  if (is_state_outdated (rollouts, service)
      || (trial_phase (trial) != TRIAL_PHASE_RUNNING
          && !trial_is_final_phase_stored (trial)))
    write_state (rollouts, service, trial, trial_start_ms (trial),
                 trial_step (trial), trial_step_start_ms (trial));
  else if (has_second_elapsed && has_evidence (rollouts, trial)
           && trial_has_unwritten_counts (trial) && is_decider (rollouts))
    write_evidence (rollouts, service, trial);
}

/* Let a second pass for USUAL_TIMES, and remove one service that had no
   answers for some minutes.  */
static void
decay_usual_times (map_t *usual_times)
{
  size_t cursor = 0;
  str_t service;
  str_t idle = STR_NULL;
  void *value;

  while (map_next (usual_times, &cursor, &service, &value))
    if (!trial_usual_times_decay (value))
      idle = service;
  if (idle.ptr != NULL)
    free (map_remove (usual_times, idle));
}

void
rollouts_tick (rollouts_t *rollouts, bool has_second_elapsed)
{
  size_t cursor = 0;
  str_t service;
  void *value;

  while (map_next (rollouts->state->trials, &cursor, &service, &value))
    run_trial_step (rollouts, service, value, has_second_elapsed);
  if (has_second_elapsed)
    decay_usual_times (rollouts->state->usual_times);
}

rollouts_t *
rollouts_create (gateway_state_t *state, rows_t *rows, peer_rows_t *peer_rows)
{
  static const peer_rows_piggyback_t piggyback
      = { list_evidence, on_evidence_received };
  rollouts_t *rollouts = mem_zalloc (sizeof *rollouts);

  rollouts->state = state;
  rollouts->rows = rows;
  rollouts->peer_rows = peer_rows;
  rollouts->state_rows = map_create ();
  rollouts->evidence_rows = map_create ();
  if (peer_rows != NULL)
    peer_rows_add_piggyback (peer_rows, STR ("evidence/"), &piggyback,
                             rollouts);
  return rollouts;
}

void
rollouts_destroy (rollouts_t *rollouts)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  rollouts->rows->ops->cancel (rollouts->rows, rollouts);
  while (map_next (rollouts->state_rows, &cursor, &key, &value))
    {
      buf_free (&((state_row_t *)value)->text);
      free (value);
    }
  map_destroy (rollouts->state_rows);
  cursor = 0;
  while (map_next (rollouts->evidence_rows, &cursor, &key, &value))
    free (value);
  map_destroy (rollouts->evidence_rows);
  free (rollouts);
}
