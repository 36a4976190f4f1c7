/* What a gateway learns from the platform's store and does there: the
   configuration, the instances, the operators' orders, the other entries, and
   the roll-outs that all entries carry out together.

   No entry is appointed to anything.  Each row that entries share is written
   under the condition that it is as the writer saw it, so of several that
   decide the same thing one writes and the others read.  */

#include "gateway/gatewayint.h"

#include "base/eventlog.h"
#include "gateway/loader.h"

#include <stdlib.h>

enum
{
  /* Steps of a roll-out are taken on time to a quarter of a second: a good
     version has some seconds to spare in all.  */
  TICK_MS = 250,
  TICKS_PER_S = 4,
  /* A key that was taken away must be unusable within seconds, and the age of
     a confirmation is at most two waits and a timeout.  */
  ORDERS_WAIT_MS = 1500,
  ORDERS_SLACK_MS = 500,
  /* A departure is told at once; the wait only bounds a silent connection.  */
  INSTANCES_WAIT_MS = 2500,
  INSTANCES_SLACK_MS = 600,
  /* Listings come in bursts; a departure may be acted on within 2 s.  */
  INSTANCES_GAP_MS = 300,
  /* Entries and steps of roll-outs.  Evidence goes with these calls, so the
     gap bounds how old it is.  */
  OWN_WAIT_MS = 8000,
  OWN_SLACK_MS = 1000,
  OWN_GAP_MS = 150,
  /* In an outage the orders are asked for on behalf of all tables: 22 entries
     that asked for three each made 120 calls a second.  */
  RETRY_LAST_MS = 4000,
  /* An entry that is not listed yet only lacks its part of what is shared.  */
  NODE_RETRY_MS = 2000,
  COMMIT_TIMEOUT_MS = 2000,
  /* Who reads the store for others writes the steps of roll-outs too; the
     others do when a step is so late that this one is lost.  */
  WRITER_LATE_MS = 1200
};

struct duties
{
  belief_t *belief;
  rows_t *rows;
  share_t *share;
  loader_t *loader;
  follow_t *instances;
  follow_t *own;
  uv_timer_t tick;
  uint64_t ticks;
  bool own_read; /* The shared rows were read once.  */
  bool instances_read;
  bool node_written;
  bool node_pending;
  uint64_t node_again_ms; /* Not before this, after a write that failed.  */
  bool away;              /* Some table could not be read.  */
  uint64_t returned_ms;   /* When the store came back, monotonic.  */
  bool commit_pending;    /* Of a roll-out's row.  */
  uint64_t want_ms;       /* Since when a row is to be written; 0: none is.  */
  map_t *rollout_rows;    /* Service to its shared_row_t.  */
};

/* The shared row of a roll-out as it was read last.  */
typedef struct
{
  uint64_t version; /* The store's.  */
  buf_t text;
} shared_row_t;

static void drop_trial (belief_t *belief, str_t service);
static void apply_rollout_row (duties_t *duties, str_t service);

/* Orders.  */

/* A configuration of LEN bytes was read.  */
static void
on_catalog (void *arg, vh_code_t code, catalog_t *catalog, size_t len)
{
  duties_t *duties = arg;
  belief_t *belief = duties->belief;
  uint64_t read_ms = belief_reading_for_ms (belief);

  /* While a later one waits the keys go on ageing.  */
  if (!loader_busy (duties->loader))
    belief->reading_ms = 0;
  if (code != VH_OK)
    {
      log_event (EVENT_CONFIG_BAD, field_number (FIELD_CODE, code),
                 field_number (FIELD_BYTES, len));
      return;
    }
  if (belief->catalog != NULL
      && catalog_revision (catalog) <= catalog_revision (belief->catalog))
    {
      catalog_unref (catalog);
      return;
    }
  log_event (
      EVENT_CONFIG, field_number (FIELD_REVISION, catalog_revision (catalog)),
      field_number (FIELD_BEFORE, belief->catalog != NULL
                                      ? catalog_revision (belief->catalog)
                                      : 0),
      field_number (FIELD_READ_MS, read_ms));
  catalog_unref (belief->catalog);
  belief->catalog = catalog;
}

/* Read the configuration in ROW.  What is in force until then is as old as the
   last confirmation before this one.  */
static void
take_catalog (duties_t *duties, const rows_row_t *row)
{
  belief_t *belief = duties->belief;

  log_event (EVENT_CONFIG_TEXT, field_number (FIELD_ORDER, row->version),
             field_number (FIELD_BYTES, row->value.len));
  if (belief->reading_ms == 0)
    belief->reading_ms = clock_boot_ms (belief->clock);
  loader_take (duties->loader, row->value, belief->catalog == NULL);
}

static void
take_rollout (duties_t *duties, const rows_row_t *row)
{
  belief_t *belief = duties->belief;
  rollout_order_t order;
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
        pool_withdraw (belief->pool, order.service, trial_version (trial),
                       true);
      pool_withdraw (belief->pool, order.service, order.version, false);
      drop_trial (belief, order.service);
      trial = trial_create (order.service, order.version, row->version,
                            order.within_ms);
      trial_set_seen (trial, follow_store_ms (belief->orders));
      map_put (belief->trials, order.service, trial);
      log_event (EVENT_ROLLOUT, field_text (FIELD_SERVICE, order.service),
                 field_text (FIELD_VERSION, order.version),
                 field_number (FIELD_WITHIN_MS, order.within_ms),
                 field_number (FIELD_ORDER, row->version));
      apply_rollout_row (duties, order.service);
    }
  belief->dialect->free_holder (holder);
}

static void
drop_trial (belief_t *belief, str_t service)
{
  trial_destroy (map_remove (belief->trials, service));
}

static void
on_order_put (void *arg, const rows_row_t *row)
{
  duties_t *duties = arg;
  belief_t *belief = duties->belief;
  str_t name;

  switch (belief->dialect->order_kind (row->key, &name))
    {
    case ORDER_CATALOG:
      take_catalog (duties, row);
      break;
    case ORDER_ROLLOUT:
      take_rollout (duties, row);
      break;
    case ORDER_ZONE_OUT:
      log_event (EVENT_ZONE_OUT, field_text (FIELD_ZONE, name));
      pool_zone_out (belief->pool, name, true);
      break;
    case ORDER_NONE:
      break;
    }
}

static void
on_order_removed (void *arg, str_t key)
{
  duties_t *duties = arg;
  str_t name;

  if (duties->belief->dialect->order_kind (key, &name) != ORDER_ZONE_OUT)
    return;
  log_event (EVENT_ZONE_BACK, field_text (FIELD_ZONE, name));
  pool_zone_out (duties->belief->pool, name, false);
}

/* Instances.  */

static void
on_instance_put (void *arg, const rows_row_t *row)
{
  duties_t *duties = arg;
  belief_t *belief = duties->belief;
  upstream_info_t info;
  void *holder = NULL;
  vh_code_t code
      = belief->dialect->read_instance (row->key, row->value, &info, &holder);

  if (code != VH_OK)
    {
      log_event (EVENT_LISTING_BAD, field_text (FIELD_UPSTREAM, row->key),
                 field_number (FIELD_CODE, code));
      return;
    }
  log_event (EVENT_LISTED, field_text (FIELD_UPSTREAM, info.id),
             field_text (FIELD_SERVICE, info.service),
             field_text (FIELD_VERSION, info.version),
             field_text (FIELD_ZONE, info.zone),
             field_number (FIELD_DRAINING, info.draining),
             field_number (FIELD_COLD_MS, info.cold_ms));
  pool_put (belief->pool, &info);
  belief->dialect->free_holder (holder);
}

static void
on_instance_removed (void *arg, str_t key)
{
  duties_t *duties = arg;
  belief_t *belief = duties->belief;
  uint64_t now_ms = clock_ms (belief->clock);
  uint64_t keep_ms = 0;

  if (duties->returned_ms != 0
      && now_ms - duties->returned_ms < belief->options.lapse_ms)
    keep_ms = belief->options.lapse_ms - (now_ms - duties->returned_ms);
  log_event (EVENT_UNLISTED, field_text (FIELD_UPSTREAM, key),
             field_number (FIELD_KEEP_MS, keep_ms));
  pool_remove (belief->pool, key, keep_ms);
}

/* Requests may be served once all tables were read.  */
static void
set_prepared (duties_t *duties)
{
  if (duties->own_read && duties->instances_read)
    duties->belief->is_prepared = true;
}

static void
on_instances_caught_up (void *arg, bool full)
{
  duties_t *duties = arg;

  (void)full;
  duties->instances_read = true;
  set_prepared (duties);
}

/* Registrations that lapsed in an outage count from the first sign that the
   store is back, whichever table it is on.  The instances may be read seconds
   after the orders, when their call hung on a connection that was cut: counted
   from there, an instance that had left 13 s before got a request.  */
static void
note_reach (duties_t *duties, bool down)
{
  if (!down && duties->away)
    duties->returned_ms = clock_ms (duties->belief->clock);
  duties->away = down;
}

static void
on_instances_reach (void *arg, bool down)
{
  note_reach (arg, down);
}

/* Shared rows.  */

/* Split KEY at its first slash; *REST is empty without one.  */
static str_t
key_kind (str_t key, str_t *rest)
{
  str_t kind = str_cut (key, '/', rest);

  if (rest->ptr == NULL)
    *rest = STR ("");
  return kind;
}

/* Take in the versions that were taken back before, as words of TEXT: this
   entry may have started after that.  */
static void
take_withdrawn (duties_t *duties, str_t service, str_t text)
{
  const trial_t *trial = map_get (duties->belief->trials, service);

  while (text.ptr != NULL && text.len > 0)
    {
      str_t version = str_cut (text, ' ', &text);
      if (trial == NULL || !str_eq (version, trial_version (trial)))
        pool_withdraw (duties->belief->pool, service, version, true);
    }
}

/* Take in what the shared row of SERVICE's roll-out says, ORDER START STEP
   FROM PHASE VERSION..., the versions that were taken back before.  The row
   may be read sooner than its order is known.  */
static void
apply_rollout_row (duties_t *duties, str_t service)
{
  trial_t *trial = map_get (duties->belief->trials, service);
  const shared_row_t *row = map_get (duties->rollout_rows, service);
  uint64_t numbers[4];

  if (row == NULL)
    return;
  str_t rest = buf_str (&row->text);
  for (size_t i = 0; i < 4; i++)
    if (rest.ptr == NULL
        || !str_to_u64 (str_cut (rest, ' ', &rest), &numbers[i]))
      return;
  str_t phase_name = str_cut (rest, ' ', &rest);
  take_withdrawn (duties, service, rest);
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
  trial_set_written (trial, final);
}

static void
take_rollout_row (duties_t *duties, str_t service, const rows_row_t *row)
{
  shared_row_t *shared = map_get (duties->rollout_rows, service);

  if (shared == NULL)
    {
      shared = mem_zalloc (sizeof *shared);
      map_put (duties->rollout_rows, service, shared);
    }
  shared->version = row->version;
  shared->text.len = 0;
  buf_append_str (&shared->text, row->value);
  duties->want_ms = 0;
  apply_rollout_row (duties, service);
}

/* The store's version of the shared row of SERVICE's roll-out; 0: none.  */
static uint64_t
rollout_row_version (const duties_t *duties, str_t service)
{
  const shared_row_t *shared = map_get (duties->rollout_rows, service);

  return shared != NULL ? shared->version : 0;
}

/* Take in an entry that listed itself: ZONE ADDRESS LINK.  */
static void
take_entry (share_t *share, str_t name, str_t text)
{
  str_t rest;
  str_t zone = str_cut (text, ' ', &rest);
  uint64_t link_mbps = 0;

  if (rest.ptr == NULL)
    return;
  str_t address = str_cut (rest, ' ', &rest);
  if (rest.ptr != NULL && !str_to_u64 (rest, &link_mbps))
    log_event (EVENT_LISTING_BAD, field_text (FIELD_UPSTREAM, name),
               field_number (FIELD_CODE, VH_E_BAD_FIELD));
  share_put (share, name, zone, address, (uint32_t)link_mbps);
}

/* Take in evidence under KEY, evidence/SERVICE/ENTRY, which was TOLD to this
   entry or is a row.  */
static void
take_evidence (duties_t *duties, str_t key, bool told, str_t text)
{
  str_t rest;
  str_t entry;

  if (!str_eq (key_kind (key, &rest), STR ("evidence")))
    return;
  str_t service = str_cut (rest, '/', &entry);
  trial_t *trial = map_get (duties->belief->trials, service);
  if (trial != NULL && !str_eq (entry, duties->belief->options.name)
      && trial_merge (trial, entry, told, text) != VH_OK)
    log_event (EVENT_ROLLOUT_BAD, field_text (FIELD_KEY, key),
               field_number (FIELD_CODE, VH_E_PROTOCOL));
}

static void
on_news (void *arg, str_t key, str_t value)
{
  take_evidence (arg, key, true, value);
}

static void
on_own_put (void *arg, const rows_row_t *row)
{
  duties_t *duties = arg;
  str_t rest;
  str_t kind = key_kind (row->key, &rest);

  if (str_eq (kind, STR ("rollout")))
    take_rollout_row (duties, rest, row);
  else if (str_eq (kind, STR ("evidence")))
    take_evidence (duties, row->key, false, row->value);
  else if (str_eq (kind, STR ("entry")) && rest.len > 0)
    {
      str_t more;
      allotment_put (duties->belief->fleet, rest,
                     str_cut (row->value, ' ', &more));
      if (duties->share != NULL)
        take_entry (duties->share, rest, row->value);
    }
}

static void
on_own_removed (void *arg, str_t key)
{
  duties_t *duties = arg;
  str_t rest;

  if (str_eq (key_kind (key, &rest), STR ("entry")))
    {
      allotment_leave (duties->belief->fleet, rest);
      if (duties->share != NULL)
        share_remove (duties->share, rest);
    }
}

/* Divide what all entries may use among those that there are now.  */
static void
divide_shares (duties_t *duties)
{
  belief_t *belief = duties->belief;
  size_t cursor = 0;
  str_t key;
  void *value;

  allotment_expire (belief->fleet);
  uint32_t entries = (uint32_t)allotment_size (belief->fleet);
  if (entries == belief->entries)
    return;
  log_event (EVENT_ENTRIES, field_number (FIELD_COUNT, entries),
             field_number (FIELD_BEFORE, belief->entries));
  belief->entries = entries;
  while (map_next (belief->allowances, &cursor, &key, &value))
    allowance_set_entries (value, entries);
}

static void
on_own_caught_up (void *arg, bool full)
{
  duties_t *duties = arg;

  (void)full;
  duties->own_read = true;
  set_prepared (duties);
  allotment_read (duties->belief->fleet);
  divide_shares (duties);
}

/* Writing.  */

static void
on_node_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  duties_t *duties = arg;

  (void)result;
  duties->node_pending = false;
  duties->node_written = code == VH_OK;
  if (code == VH_OK)
    return;
  duties->node_again_ms = clock_ms (duties->belief->clock) + NODE_RETRY_MS;
  log_event (EVENT_ENTRY_WRITE, field_number (FIELD_CODE, code));
}

/* Tell the others that there is one more to share with, or one less.  */
static void
write_node (duties_t *duties, bool leaves)
{
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;

  buf_append_str (&key, STR ("entry/"));
  buf_append_str (&key, duties->belief->options.name);
  buf_printf (&value, "%.*s %.*s %u", STR_ARG (duties->belief->options.zone),
              STR_ARG (duties->belief->options.rpc),
              (unsigned)duties->belief->options.link_mbps);
  rows_write_t write = { .table = ROWS_OWN,
                         .key = buf_str (&key),
                         .value = buf_str (&value),
                         .remove = leaves };
  duties->node_pending = true;
  duties->rows->ops->commit (duties->rows, &write, 1, COMMIT_TIMEOUT_MS,
                             on_node_written, duties);
  buf_free (&key);
  buf_free (&value);
}

static void
on_rollout_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  duties_t *duties = arg;

  (void)result;
  duties->commit_pending = false;
  if (code != VH_OK && code != VH_E_CONFLICT)
    log_event (EVENT_ROLLOUT_WRITE, field_number (FIELD_CODE, code));
}

/* Tell whether this entry is to write a roll-out's row now.  All entries come
   to the same decision at the same time: without this each writes it, 114
   calls of the store on a day of 22 entries, all but five of them in vain.  */
static bool
may_write (duties_t *duties)
{
  uint64_t now_ms = clock_ms (duties->belief->clock);

  if (duties->want_ms == 0)
    duties->want_ms = now_ms;
  return duties->share == NULL || share_reads (duties->share)
         || now_ms - duties->want_ms >= WRITER_LATE_MS;
}

/* Write the state of TRIAL with STEP from FROM_MS on for the entries and for
   the operators, in one transaction and only over the row as it was seen.  */
static void
write_rollout (duties_t *duties, str_t service, const trial_t *trial,
               uint64_t start_ms, uint32_t step, uint64_t from_ms)
{
  static const rollout_state_t states[]
      = { ROLLOUT_RUNNING, ROLLOUT_DONE, ROLLOUT_TAKEN_BACK };
  trial_phase_t phase = trial_phase (trial);
  rows_write_t writes[2] = { 0 };
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;
  buf_t status_key = BUF_NULL;
  buf_t status = BUF_NULL;

  if (duties->commit_pending || !may_write (duties))
    return;
  buf_append_str (&key, STR ("rollout/"));
  buf_append_str (&key, service);
  buf_printf (&value, "%llu %llu %u %llu %s",
              (unsigned long long)trial_order (trial),
              (unsigned long long)start_ms, step, (unsigned long long)from_ms,
              trial_phase_name (phase));
  pool_write_withdrawn (duties->belief->pool, service, &value);
  duties->belief->dialect->write_rollout_status (
      service, trial_version (trial), states[phase], &status_key, &status);
  writes[0].table = ROWS_OWN;
  writes[0].key = buf_str (&key);
  writes[0].value = buf_str (&value);
  writes[0].conditional = true;
  writes[0].expected = rollout_row_version (duties, service);
  writes[1].table = ROWS_STATUS;
  writes[1].key = buf_str (&status_key);
  writes[1].value = buf_str (&status);
  duties->commit_pending = true;
  duties->rows->ops->commit (duties->rows, writes, 2, COMMIT_TIMEOUT_MS,
                             on_rollout_written, duties);
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
append_evidence_key (const duties_t *duties, str_t service, buf_t *out)
{
  buf_append_str (out, STR ("evidence/"));
  buf_append_str (out, service);
  buf_append_char (out, '/');
  buf_append_str (out, duties->belief->options.name);
}

/* Tell whether this entry has the evidence of others, and is to judge it.  One
   that cannot reach the store still judges what it saw.  */
static bool
is_judge (duties_t *duties)
{
  return duties->share == NULL || share_reads (duties->share);
}

/* What the entry that reads for this one is told of the roll-outs.  */
static size_t
list_news (void *arg, bool tells, share_item_t *items, size_t most)
{
  duties_t *duties = arg;
  size_t count = 0;
  size_t cursor = 0;
  str_t service;
  void *value;

  while (count < most
         && map_next (duties->belief->trials, &cursor, &service, &value))
    {
      trial_t *trial = value;
      if (trial_phase (trial) != TRIAL_RUNNING
          || trial_step (trial) == TRIAL_STEP_HELD)
        continue;
      append_evidence_key (duties, service, &items[count].key);
      trial_write (trial, tells, &items[count++].value);
    }
  return count;
}

/* Tell other entries that read the store, as in other zones that are cut off
   from this one.  */
static void
write_evidence (duties_t *duties, str_t service, trial_t *trial)
{
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;

  append_evidence_key (duties, service, &key);
  trial_write (trial, true, &value);
  rows_write_t write = { .table = ROWS_OWN,
                         .key = buf_str (&key),
                         .value = buf_str (&value) };
  duties->rows->ops->commit (duties->rows, &write, 1, COMMIT_TIMEOUT_MS,
                             on_evidence_written, duties);
  buf_free (&key);
  buf_free (&value);
}

/* Carry out what the evidence says of a running TRIAL.  */
static void
judge_trial (duties_t *duties, str_t service, trial_t *trial)
{
  uint64_t now_ms = follow_store_ms (duties->belief->orders);
  bool alone = follow_down (duties->belief->orders);
  buf_t why = BUF_NULL;

  if (!alone && !is_judge (duties))
    return;
  trial_verdict_t verdict = trial_judge (trial, now_ms, alone, &why);

  switch (verdict)
    {
    case TRIAL_WAIT:
      break;
    case TRIAL_ADVANCE:
      write_rollout (duties, service, trial, trial_start (trial),
                     trial_step (trial) + 1, now_ms + TRIAL_NOTICE_MS);
      break;
    case TRIAL_TAKE_BACK:
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
step_trial (duties_t *duties, str_t service, trial_t *trial)
{
  uint64_t now_ms = follow_store_ms (duties->belief->orders);

  if (trial_start (trial) == 0)
    {
      /* The order's time runs from when it was seen, however late the row.  */
      uint64_t start_ms
          = trial_seen (trial) != 0 ? trial_seen (trial) : now_ms;
      write_rollout (duties, service, trial, start_ms, 0, start_ms);
      return;
    }
  if (trial_phase (trial) == TRIAL_RUNNING)
    {
      if (duties->ticks % TICKS_PER_S == 0)
        trial_fade (trial);
      trial_old_running (
          trial, pool_running_other_versions (duties->belief->pool, service,
                                              trial_version (trial)));
      judge_trial (duties, service, trial);
    }
  /* A decision is written again until the shared row has it or another.  */
  if (trial_phase (trial) != TRIAL_RUNNING && !trial_written (trial))
    write_rollout (duties, service, trial, trial_start (trial),
                   trial_step (trial), trial_from (trial));
  else if (duties->ticks % TICKS_PER_S == 0
           && trial_phase (trial) == TRIAL_RUNNING && trial_step (trial) > 0
           && trial_dirty (trial) && is_judge (duties))
    write_evidence (duties, service, trial);
}

static void
on_tick (uv_timer_t *timer)
{
  duties_t *duties = timer->data;
  belief_t *belief = duties->belief;
  size_t cursor = 0;
  str_t service;
  void *value;

  duties->ticks++;
  if (belief->stopping_ms != 0 || !duties->own_read)
    return;
  if (!duties->node_written && !duties->node_pending
      && clock_ms (belief->clock) >= duties->node_again_ms)
    write_node (duties, false);
  if (duties->ticks % TICKS_PER_S == 0)
    divide_shares (duties);
  while (map_next (belief->trials, &cursor, &service, &value))
    step_trial (duties, service, value);
}

/* Start and end.  */

/* The first configuration and its orders are known: an instance of a version
   under trial must not be taken for any other.  */
static void
on_orders_caught_up (void *arg, bool full)
{
  static const follow_options_t instances = { .table = ROWS_INSTANCES,
                                              .name = "instances",
                                              .gap_ms = INSTANCES_GAP_MS,
                                              .wait_ms = INSTANCES_WAIT_MS,
                                              .retry_last_ms = RETRY_LAST_MS,
                                              .slack_ms = INSTANCES_SLACK_MS };
  static const follow_events_t events
      = { on_instance_put, on_instance_removed, on_instances_caught_up,
          on_instances_reach };
  duties_t *duties = arg;
  belief_t *belief = duties->belief;

  (void)full;
  if (duties->instances == NULL)
    duties->instances
        = follow_create (belief->loop, belief->clock, duties->rows,
                         rng_u64 (&belief->rng), &instances, &events, duties);
}

/* The store is back: the other tables are read at once.  */
static void
on_orders_reach (void *arg, bool down)
{
  duties_t *duties = arg;

  note_reach (duties, down);
  if (down)
    return;
  follow_retry (duties->own);
  if (duties->instances != NULL)
    follow_retry (duties->instances);
}

duties_t *
duties_create (belief_t *belief, rows_t *rows, share_t *share)
{
  static const follow_options_t orders = { .table = ROWS_ORDERS,
                                           .name = "orders",
                                           .wait_ms = ORDERS_WAIT_MS,
                                           .slack_ms = ORDERS_SLACK_MS };
  static const follow_events_t order_events
      = { on_order_put, on_order_removed, on_orders_caught_up,
          on_orders_reach };
  static const follow_options_t own = { .table = ROWS_OWN,
                                        .name = "own",
                                        .wait_ms = OWN_WAIT_MS,
                                        .retry_last_ms = RETRY_LAST_MS,
                                        .slack_ms = OWN_SLACK_MS,
                                        .gap_ms = OWN_GAP_MS };
  static const follow_events_t own_events
      = { on_own_put, on_own_removed, on_own_caught_up, NULL };
  static const share_news_t news = { list_news, on_news };
  duties_t *duties = mem_zalloc (sizeof *duties);

  duties->belief = belief;
  duties->rows = rows;
  duties->share = share;
  duties->rollout_rows = map_create ();
  if (share != NULL)
    share_set_news (share, &news, duties);
  duties->loader = loader_create (belief->loop, belief->dialect->read_catalog,
                                  on_catalog, duties);
  belief->orders
      = follow_create (belief->loop, belief->clock, rows,
                       rng_u64 (&belief->rng), &orders, &order_events, duties);
  /* With the orders, as it tells who reads them for this entry.  */
  duties->own
      = follow_create (belief->loop, belief->clock, rows,
                       rng_u64 (&belief->rng), &own, &own_events, duties);
  uv_timer_init (belief->loop, &duties->tick);
  duties->tick.data = duties;
  uv_timer_start (&duties->tick, on_tick,
                  rng_below (&belief->rng, TICK_MS) + 1, TICK_MS);
  return duties;
}

void
duties_stop (duties_t *duties)
{
  if (duties->share != NULL)
    share_leave (duties->share);
  if (duties->node_written)
    write_node (duties, true);
}

static void
on_tick_closed (uv_handle_t *handle)
{
  duties_t *duties = handle->data;

  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (duties->rollout_rows, &cursor, &key, &value))
    {
      buf_free (&((shared_row_t *)value)->text);
      free (value);
    }
  map_destroy (duties->rollout_rows);
  free (duties);
}

void
duties_destroy (duties_t *duties)
{
  if (duties == NULL)
    return;
  follow_destroy (duties->belief->orders);
  duties->belief->orders = NULL;
  loader_destroy (duties->loader);
  follow_destroy (duties->instances);
  follow_destroy (duties->own);
  duties->rows->ops->forget (duties->rows, duties);
  uv_close ((uv_handle_t *)&duties->tick, on_tick_closed);
}
