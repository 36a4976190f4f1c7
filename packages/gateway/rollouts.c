#include "gateway/rolloutsint.h"

#include "base/eventlog.h"

#include <stdlib.h>

enum
{
  /* Who reads the store for others writes the steps of roll-outs too; the
     others do when a step is so late that this one is lost.  */
  WRITER_LATE_MS = 1200
};

/* The shared row of a roll-out as it was read last.  */
typedef struct
{
  uint64_t version; /* The store's.  */
  buf_t text;
} shared_row_t;

struct rollouts
{
  gateway_state_t *belief;
  rows_t *rows;
  peer_rows_t *share;
  bool commit_pending; /* Of a shared row.  */
  uint64_t want_ms;    /* Since when a row is to be written; 0: none is.  */
  map_t *shared;       /* Service to shared_row_t.  */
};

/* Take in the versions that were taken back before, as words of TEXT: this
   entry may have started after that.  */
static void
take_withdrawn (rollouts_t *rollouts, str_t service, str_t text)
{
  const trial_t *trial = map_get (rollouts->belief->trials, service);

  while (text.ptr != NULL && text.len > 0)
    {
      str_t version = str_cut (text, ' ', &text);
      if (trial == NULL || !str_eq (version, trial_version (trial)))
        pool_set_version_withdrawn (rollouts->belief->pool, service, version,
                                    true);
    }
}

/* Take in what the shared row of SERVICE's roll-out says, ORDER START STEP
   FROM PHASE VERSION..., the versions that were taken back before.  The row
   may be read sooner than its order is known.  */
static void
apply_rollout_row (rollouts_t *rollouts, str_t service)
{
  trial_t *trial = map_get (rollouts->belief->trials, service);
  const shared_row_t *row = map_get (rollouts->shared, service);
  uint64_t numbers[4];

  if (row == NULL)
    return;
  str_t rest = buf_str (&row->text);
  for (size_t i = 0; i < 4; i++)
    if (rest.ptr == NULL
        || !str_to_u64 (str_cut (rest, ' ', &rest), &numbers[i]))
      return;
  str_t phase_name = str_cut (rest, ' ', &rest);
  take_withdrawn (rollouts, service, rest);
  if (trial == NULL || phase_name.ptr == NULL
      || numbers[0] != trial_order (trial))
    return;
  trial_set_progress (trial, numbers[1], (uint32_t)numbers[2], numbers[3]);
  log_event (EVENT_ROLLOUT_STEP, field_text (FIELD_SERVICE, service),
             field_text (FIELD_VERSION, trial_version (trial)),
             field_number (FIELD_STEP, numbers[2]),
             field_number (FIELD_FROM, numbers[3]),
             field_text (FIELD_PHASE, phase_name));
  /* A decision made here and not yet written stays over `running'.  */
  bool final = false;
  for (trial_phase_t phase = TRIAL_DONE; phase <= TRIAL_ROLLED_BACK; phase++)
    if (str_eq (phase_name, str_from (trial_phase_name (phase))))
      {
        trial_set_phase (trial, phase);
        final = true;
      }
  trial_set_final_phase_stored (trial, final);
}

void
rollouts_apply_state_row (rollouts_t *rollouts, str_t service,
                          const rows_row_t *row)
{
  shared_row_t *shared = map_get (rollouts->shared, service);

  if (shared == NULL)
    {
      shared = mem_zalloc (sizeof *shared);
      map_put (rollouts->shared, service, shared);
    }
  shared->version = row->version;
  shared->text.len = 0;
  buf_append_str (&shared->text, row->value);
  rollouts->want_ms = 0;
  apply_rollout_row (rollouts, service);
}

/* The store's version of the shared row of SERVICE's roll-out; 0: none.  */
static uint64_t
rollout_row_version (const rollouts_t *rollouts, str_t service)
{
  const shared_row_t *shared = map_get (rollouts->shared, service);

  return shared != NULL ? shared->version : 0;
}

void
rollouts_apply_order (rollouts_t *rollouts, const rows_row_t *row)
{
  gateway_state_t *belief = rollouts->belief;
  rollout_spec_t order;
  void *holder = NULL;
  vh_code_t code = belief->dialect->read_rollout (row->value, &order, &holder);

  if (code != VH_OK)
    {
      log_event (EVENT_ROLLOUT_BAD, field_text (FIELD_KEY, row->key),
                 field_number (FIELD_CODE, code));
      return;
    }
  trial_t *trial = map_get (belief->trials, order.service);
  if (trial == NULL || trial_order (trial) != row->version)
    {
      /* The instances of a version that was taken back are there for a while:
         they must not pass for the old version of the next order.  */
      if (trial != NULL && trial_phase (trial) == TRIAL_ROLLED_BACK)
        pool_set_version_withdrawn (belief->pool, order.service,
                                    trial_version (trial), true);
      pool_set_version_withdrawn (belief->pool, order.service, order.version,
                                  false);
      trial_destroy (map_remove (belief->trials, order.service));
      trial
          = trial_create (order.service, order.version, row->version,
                          order.within_ms, belief->options.rollout_share_max);
      trial_set_order_seen_ms (
          trial, table_sync_store_now_ms (belief->operator_rows));
      map_put (belief->trials, order.service, trial);
      log_event (EVENT_ROLLOUT, field_text (FIELD_SERVICE, order.service),
                 field_text (FIELD_VERSION, order.version),
                 field_number (FIELD_WITHIN_MS, order.within_ms),
                 field_number (FIELD_ORDER, row->version));
      apply_rollout_row (rollouts, order.service);
    }
  belief->dialect->free_holder (holder);
}

void
rollouts_apply_evidence (rollouts_t *rollouts, str_t key, bool told,
                         str_t text)
{
  str_t rest;
  str_t entry;

  if (!str_eq (row_key_prefix (key, &rest), STR ("evidence")))
    return;
  str_t service = str_cut (rest, '/', &entry);
  trial_t *trial = map_get (rollouts->belief->trials, service);
  if (trial != NULL && !str_eq (entry, rollouts->belief->options.name)
      && trial_merge (trial, entry, told, text) != VH_OK)
    log_event (EVENT_ROLLOUT_BAD, field_text (FIELD_KEY, key),
               field_number (FIELD_CODE, VH_E_PROTOCOL));
}

static void
on_news (void *arg, str_t key, str_t value)
{
  rollouts_apply_evidence (arg, key, true, value);
}

static void
on_rollout_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  rollouts_t *rollouts = arg;

  (void)result;
  rollouts->commit_pending = false;
  if (code != VH_OK && code != VH_E_CONFLICT)
    log_event (EVENT_ROLLOUT_WRITE, field_number (FIELD_CODE, code));
}

/* Tell whether this entry has the evidence of others, and is to judge it.  */
static bool
is_judge (const rollouts_t *rollouts)
{
  return rollouts->share == NULL || peer_rows_is_reader (rollouts->share);
}

/* Tell whether this entry is to write a roll-out's row now.  All entries come
   to the same decision at the same time: without this each writes it, 114
   calls of the store on a day of 22 entries, all but five of them in vain.  */
static bool
may_write (rollouts_t *rollouts)
{
  uint64_t now_ms = clock_ms (rollouts->belief->clock);

  if (rollouts->want_ms == 0)
    rollouts->want_ms = now_ms;
  return is_judge (rollouts) || now_ms - rollouts->want_ms >= WRITER_LATE_MS;
}

/* Write the state of TRIAL with STEP from FROM_MS on for the entries and for
   the operators, in one transaction and only over the row as it was seen.  */
static void
write_rollout (rollouts_t *rollouts, str_t service, const trial_t *trial,
               uint64_t start_ms, uint32_t step, uint64_t from_ms)
{
  static const rollout_state_t states[]
      = { ROLLOUT_RUNNING, ROLLOUT_DONE, ROLLOUT_ROLLED_BACK };
  trial_phase_t phase = trial_phase (trial);
  rows_write_t writes[2] = { 0 };
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;
  buf_t status_key = BUF_NULL;
  buf_t status = BUF_NULL;

  if (rollouts->commit_pending || !may_write (rollouts))
    return;
  buf_append_str (&key, STR ("rollout/"));
  buf_append_str (&key, service);
  buf_printf (&value, "%llu %llu %u %llu %s",
              (unsigned long long)trial_order (trial),
              (unsigned long long)start_ms, step, (unsigned long long)from_ms,
              trial_phase_name (phase));
  pool_append_withdrawn_versions (rollouts->belief->pool, service, &value);
  rollouts->belief->dialect->write_rollout_status (
      service, trial_version (trial), states[phase], &status_key, &status);
  writes[0].table = ROWS_SHARED;
  writes[0].key = buf_str (&key);
  writes[0].value = buf_str (&value);
  writes[0].conditional = true;
  writes[0].expected = rollout_row_version (rollouts, service);
  writes[1].table = ROWS_STATUS;
  writes[1].key = buf_str (&status_key);
  writes[1].value = buf_str (&status);
  rollouts->commit_pending = true;
  rollouts->rows->ops->commit (rollouts->rows, writes, 2,
                               STORE_SYNC_COMMIT_TIMEOUT_MS,
                               on_rollout_written, rollouts);
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
    log_event (EVENT_ROLLOUT_WRITE, field_number (FIELD_CODE, code));
}

static void
append_evidence_key (const rollouts_t *rollouts, str_t service, buf_t *out)
{
  buf_append_str (out, STR ("evidence/"));
  buf_append_str (out, service);
  buf_append_char (out, '/');
  buf_append_str (out, rollouts->belief->options.name);
}

/* What the entry that reads for this one is told of the roll-outs.  */
static size_t
list_news (void *arg, bool tells, peer_rows_item_t *items, size_t most)
{
  rollouts_t *rollouts = arg;
  size_t count = 0;
  size_t cursor = 0;
  str_t service;
  void *value;

  while (count < most
         && map_next (rollouts->belief->trials, &cursor, &service, &value))
    {
      trial_t *trial = value;
      if (trial_phase (trial) != TRIAL_RUNNING
          || trial_step (trial) == TRIAL_STEP_NO_TRAFFIC)
        continue;
      append_evidence_key (rollouts, service, &items[count].key);
      trial_write (trial, tells, &items[count++].value);
    }
  return count;
}

/* Tell other entries that read the store, as in other zones that are cut off
   from this one.  */
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

/* Carry out what the evidence says of a running TRIAL.  */
static void
judge_trial (rollouts_t *rollouts, str_t service, trial_t *trial)
{
  uint64_t now_ms = table_sync_store_now_ms (rollouts->belief->operator_rows);
  bool alone = table_sync_is_down (rollouts->belief->operator_rows);
  buf_t why = BUF_NULL;

  /* One that cannot reach the store still judges what it saw.  */
  if (!alone && !is_judge (rollouts))
    return;
  trial_decision_t verdict = trial_decide (trial, now_ms, alone, &why);

  switch (verdict)
    {
    case TRIAL_WAIT:
      break;
    case TRIAL_ADVANCE:
      write_rollout (rollouts, service, trial, trial_start_ms (trial),
                     trial_step (trial) + 1, now_ms + TRIAL_STEP_NOTICE_MS);
      break;
    case TRIAL_ROLL_BACK:
    case TRIAL_FINISH:
      trial_set_phase (trial, verdict == TRIAL_FINISH ? TRIAL_DONE
                                                      : TRIAL_ROLLED_BACK);
      log_event (EVENT_ROLLOUT_END, field_text (FIELD_SERVICE, service),
                 field_text (FIELD_VERSION, trial_version (trial)),
                 field_text (FIELD_PHASE, str_from (trial_phase_name (
                                              trial_phase (trial)))),
                 field_text (FIELD_WHY, buf_str (&why)));
      break;
    }
  buf_free (&why);
}

static void
step_trial (rollouts_t *rollouts, str_t service, trial_t *trial,
            bool is_second)
{
  uint64_t now_ms = table_sync_store_now_ms (rollouts->belief->operator_rows);

  if (trial_start_ms (trial) == 0)
    {
      /* The order's time runs from when it was seen, however late the row.  */
      uint64_t start_ms = trial_order_seen_ms (trial) != 0
                              ? trial_order_seen_ms (trial)
                              : now_ms;
      write_rollout (rollouts, service, trial, start_ms, 0, start_ms);
      return;
    }
  if (trial_phase (trial) == TRIAL_RUNNING)
    {
      if (is_second)
        trial_decay (trial);
      judge_trial (rollouts, service, trial);
    }
  /* A decision is written again until the shared row has it or another.  */
  if (trial_phase (trial) != TRIAL_RUNNING
      && !trial_is_final_phase_stored (trial))
    write_rollout (rollouts, service, trial, trial_start_ms (trial),
                   trial_step (trial), trial_step_start_ms (trial));
  else if (is_second && trial_phase (trial) == TRIAL_RUNNING
           && trial_step (trial) > 0 && trial_has_unwritten_counts (trial)
           && is_judge (rollouts))
    write_evidence (rollouts, service, trial);
}

void
rollouts_tick (rollouts_t *rollouts, bool is_second)
{
  size_t cursor = 0;
  str_t service;
  void *value;

  while (map_next (rollouts->belief->trials, &cursor, &service, &value))
    step_trial (rollouts, service, value, is_second);
}

rollouts_t *
rollouts_create (gateway_state_t *belief, rows_t *rows, peer_rows_t *share)
{
  static const peer_rows_piggyback_t news = { list_news, on_news };
  rollouts_t *rollouts = mem_zalloc (sizeof *rollouts);

  rollouts->belief = belief;
  rollouts->rows = rows;
  rollouts->share = share;
  rollouts->shared = map_create ();
  if (share != NULL)
    peer_rows_set_piggyback (share, &news, rollouts);
  return rollouts;
}

void
rollouts_destroy (rollouts_t *rollouts)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  rollouts->rows->ops->forget (rollouts->rows, rollouts);
  while (map_next (rollouts->shared, &cursor, &key, &value))
    {
      buf_free (&((shared_row_t *)value)->text);
      free (value);
    }
  map_destroy (rollouts->shared);
  free (rollouts);
}
