#include "control/claims.h"

#include "base/log.h"
#include "base/map.h"
#include "base/mem.h"
#include "storage/json.h"

#include <stdlib.h>

enum
{
  PATIENCE_MS = 1000,
  SWEEP_MS = 10 * 60 * 1000,
  TICK_MS = 20,
  /* A transaction of 64 claims has 192 conditions and a few kilobytes. */
  BATCH_MAX = 64,
  /* Batches whose outcome is still being found out.  Past that the store is
     so unwell that more would only pile up.  */
  STRAYS_MAX = 16,
  QUEUE_MAX = 20000,
  SWEEP_ROWS = 500,
  KEEP_DAYS = 3,
  DAY_MS = 24 * 3600 * 1000,
  DAYS_CHECKED = 3,
  /* Nobody waits for an outcome: it may wait for company so long.  */
  GATHER_MS = 100,
  RETRY_MIN_MS = 50,
  /* Claimers wait meanwhile; the platform's breaker does the rest.  */
  RETRY_MAX_MS = 1000
};

typedef enum
{
  ROW_OPEN,
  ROW_DONE,
  ROW_ABANDONED
} row_state_t;

static const char *const row_states[] = { "open", "done", "abandoned" };

/* A claim that is ours.  */
typedef struct
{
  buf_t key;
  uint64_t version;
  bool settling; /* Its outcome is queued.  */
} held_t;

typedef struct
{
  list_t link;
  claims_t *claims;
  bool is_claim;
  uint64_t queued_ms; /* Since when, through all attempts.  */
  buf_t id;
  uint64_t day; /* Of the row to write.  */
  /* Claim.  */
  bool answered;
  uint64_t deadline_ms;
  claims_cb_t cb;
  void *arg;
  /* Row to take over, or to write a state to; key empty: none.  */
  buf_t key;
  uint64_t version;
  row_state_t state;
  buf_t outcome;
} item_t;

typedef struct
{
  list_t link;
  claims_t *claims;
  uint64_t sent_ms;
  bool stray;
  size_t count;
  item_t *items[BATCH_MAX];
} batch_t;

struct claims
{
  store_t *store;
  control_env_t env;
  claims_options_t options;
  buf_t writer;
  uv_timer_t timer;
  list_t queue;
  size_t queued;
  list_t reading; /* Claims that wait for the row they met.  */
  batch_t *current;
  list_t strays;
  size_t stray_count;
  map_t *held; /* Of held_t by id.  */
  backoff_t backoff;
  uint64_t not_before_ms;
  bool sweeping;
  uint64_t next_sweep_ms;
  uint64_t batches;
  uint64_t items;
};

static void commit_next (claims_t *claims);

static uint64_t
now_ms (const claims_t *claims)
{
  return clock_ms (claims->env.clock);
}

static uint64_t
today (const claims_t *claims)
{
  return clock_realtime_ms (claims->env.clock) / DAY_MS;
}

static void
append_key (buf_t *key, uint64_t day, str_t id)
{
  buf_printf (key, "claim/%06llu/%.*s", (unsigned long long)day, STR_ARG (id));
}

static void
item_free (item_t *item)
{
  buf_free (&item->id);
  buf_free (&item->key);
  buf_free (&item->outcome);
  free (item);
}

/* Tell the claimer once; the item stays.  */
static void
answer (item_t *item, vh_code_t code, const claim_info_t *info)
{
  static const claim_info_t unknown = { 0 };

  if (item->answered || !item->is_claim)
    return;
  item->answered = true;
  item->cb (item->arg, code, info != NULL ? info : &unknown);
}

static void
answer_and_free (item_t *item, vh_code_t code, const claim_info_t *info)
{
  answer (item, code, info);
  item_free (item);
}

static void
enqueue (item_t *item)
{
  list_append (&item->claims->queue, &item->link);
  item->claims->queued++;
}

static void
dequeue (item_t *item)
{
  list_remove (&item->link);
  item->claims->queued--;
}

/* Put ITEM before the first of the queue.  */
static void
enqueue_first (item_t *item)
{
  claims_t *claims = item->claims;

  list_append (claims->queue.next, &item->link);
  claims->queued++;
}

static void
write_row (const item_t *item, str_t token, buf_t *out)
{
  const claims_t *claims = item->claims;
  json_t *json = json_object ();

  json_object_set_new (json, "state", json_string (row_states[item->state]));
  json_put_bytes (json, "writer", buf_str (&claims->writer));
  json_object_set_new (
      json, "at_ms",
      json_integer ((json_int_t)clock_realtime_ms (claims->env.clock)));
  json_put_bytes (json, "token", token);
  if (item->state == ROW_DONE)
    json_put_bytes (json, "outcome", buf_str (&item->outcome));
  json_write_and_free (json, out);
}

/* A transaction while it is put together; the strings are owned by BUFS.  */
typedef struct
{
  txn_condition_t conditions[BATCH_MAX * DAYS_CHECKED];
  size_t condition_count;
  txn_write_t writes[BATCH_MAX * 2];
  size_t write_count;
  buf_t bufs[BATCH_MAX * (DAYS_CHECKED + 1)];
  size_t buf_count;
} draft_t;

static void
draft_claim (draft_t *draft, item_t *item, str_t token)
{
  str_t taken = buf_str (&item->key);
  str_t today_key = STR_NULL;

  item->day = today (item->claims);
  for (uint64_t day = item->day - 1; day <= item->day + 1; day++)
    {
      buf_t *key = &draft->bufs[draft->buf_count++];
      append_key (key, day, buf_str (&item->id));
      bool is_taken = str_eq (buf_str (key), taken);
      draft->conditions[draft->condition_count++]
          = (txn_condition_t){ buf_str (key), is_taken ? item->version : 0 };
      if (day == item->day)
        today_key = buf_str (key);
      else if (is_taken)
        draft->writes[draft->write_count++]
            = (txn_write_t){ buf_str (key), STR_NULL, true };
    }
  buf_t *row = &draft->bufs[draft->buf_count++];
  item->state = ROW_OPEN;
  write_row (item, token, row);
  draft->writes[draft->write_count++]
      = (txn_write_t){ today_key, buf_str (row), false };
}

static void
draft_state (draft_t *draft, item_t *item, str_t token)
{
  buf_t *row = &draft->bufs[draft->buf_count++];

  write_row (item, token, row);
  draft->conditions[draft->condition_count++]
      = (txn_condition_t){ buf_str (&item->key), item->version };
  draft->writes[draft->write_count++]
      = (txn_write_t){ buf_str (&item->key), buf_str (row), false };
}

static bool
batch_has (const batch_t *batch, const item_t *item)
{
  for (size_t i = 0; i < batch->count; i++)
    if (str_eq (buf_str (&batch->items[i]->id), buf_str (&item->id)))
      return true;
  return false;
}

static batch_t *
take_batch (claims_t *claims)
{
  batch_t *batch = mem_zalloc (sizeof *batch);

  batch->claims = claims;
  batch->sent_ms = now_ms (claims);
  list_init (&batch->link);
  LIST_EACH (at, &claims->queue)
    {
      item_t *item = CONTAINER_OF (at, item_t, link);
      /* Two claims of one id in one transaction would both hold.  */
      if (batch_has (batch, item))
        continue;
      dequeue (item);
      batch->items[batch->count++] = item;
      if (batch->count == BATCH_MAX)
        break;
    }
  return batch;
}

static void
hold (claims_t *claims, const item_t *item, uint64_t version)
{
  held_t *held = mem_zalloc (sizeof *held);

  append_key (&held->key, item->day, buf_str (&item->id));
  held->version = version;
  held_t *old = map_put (claims->held, buf_str (&item->id), held);
  if (old != NULL)
    {
      buf_free (&old->key);
      free (old);
    }
}

/* Drop the hold on ID that stands on VERSION; a later one stays.  */
static void
unhold (claims_t *claims, str_t id, uint64_t version)
{
  held_t *held = map_get (claims->held, id);

  if (held == NULL || held->version != version)
    return;
  map_remove (claims->held, id);
  buf_free (&held->key);
  free (held);
}

/* Queue a write of STATE to the row of ITEM's claim.  */
static void
queue_state (claims_t *claims, str_t id, str_t key, uint64_t version,
             row_state_t state, str_t outcome)
{
  item_t *item = mem_zalloc (sizeof *item);

  item->claims = claims;
  item->queued_ms = now_ms (claims);
  item->version = version;
  item->state = state;
  buf_append_str (&item->id, id);
  buf_append_str (&item->key, key);
  buf_append_str (&item->outcome, outcome);
  enqueue (item);
}

static void
on_written (item_t *item, uint64_t version)
{
  claims_t *claims = item->claims;

  if (!item->is_claim)
    {
      unhold (claims, buf_str (&item->id), item->version);
      item_free (item);
      return;
    }
  if (item->answered)
    {
      /* The claimer was told that this will not run: let others run it.  */
      buf_t key = BUF_NULL;
      append_key (&key, item->day, buf_str (&item->id));
      queue_state (claims, buf_str (&item->id), buf_str (&key), version,
                   ROW_ABANDONED, STR_NULL);
      buf_free (&key);
      item_free (item);
      return;
    }
  hold (claims, item, version);
  answer_and_free (item, VH_OK, NULL);
}

static row_state_t
parse_row (const json_t *json)
{
  str_t state = json_get_utf8 (json, "state");

  if (str_eq (state, str_from (row_states[ROW_DONE])))
    return ROW_DONE;
  if (str_eq (state, str_from (row_states[ROW_ABANDONED])))
    return ROW_ABANDONED;
  return ROW_OPEN;
}

/* Tell whether nobody will ever dispatch under the row.  */
static bool
may_take_over (const item_t *item, row_state_t state, str_t writer)
{
  claims_t *claims = item->claims;

  if (state == ROW_ABANDONED)
    return true;
  /* Open and ours, but not held: a claim of this process that was answered
     before its outcome was known.  What is held stays so until its outcome
     is in the row.  */
  return state == ROW_OPEN && str_eq (writer, buf_str (&claims->writer))
         && map_get (claims->held, buf_str (&item->id)) == NULL;
}

static void
on_met_row (void *arg, vh_code_t code, const row_t *row)
{
  item_t *item = arg;
  claims_t *claims = item->claims;
  json_t *json = NULL;
  buf_t scratch = BUF_NULL;

  list_remove (&item->link);
  if (code != VH_OK && code != VH_E_NOT_FOUND)
    {
      answer_and_free (item, VH_E_CLAIMED, NULL);
      return;
    }
  if (code == VH_OK)
    json = json_loadb (row->value.ptr, row->value.len, JSON_ALLOW_NUL, NULL);
  row_state_t state = parse_row (json);
  str_t writer = json_get_utf8 (json, "writer");
  bool again = code == VH_E_NOT_FOUND || may_take_over (item, state, writer);
  if (again && !item->answered)
    {
      item->key.len = 0;
      item->version = row->version;
      if (code == VH_OK)
        buf_append_str (&item->key, row->key);
      enqueue (item);
      commit_next (claims);
    }
  else
    {
      const claim_info_t info
          = { true, state == ROW_DONE, writer, json_get_u64 (json, "at_ms"),
              json_get_bytes (json, "outcome", &scratch) };
      answer_and_free (item, VH_E_CLAIMED, &info);
    }
  json_decref (json);
  buf_free (&scratch);
}

/* Tell whether KEY is one of the rows that ITEM depends on.  */
static bool
item_has_key (const item_t *item, str_t key)
{
  bool has = str_eq (buf_str (&item->key), key);

  for (uint64_t day = item->day - 1;
       item->is_claim && !has && day <= item->day + 1; day++)
    {
      buf_t own = BUF_NULL;
      append_key (&own, day, buf_str (&item->id));
      has = str_eq (buf_str (&own), key);
      buf_free (&own);
    }
  return has;
}

/* ITEM alone kept the batch from being written.  */
static void
on_conflict_item (item_t *item, str_t key)
{
  claims_t *claims = item->claims;

  if (!item->is_claim)
    {
      /* Written by an attempt whose reply was lost, or taken over.  */
      on_written (item, 0);
      return;
    }
  if (item->answered)
    {
      item_free (item);
      return;
    }
  list_append (&claims->reading, &item->link);
  store_get (claims->store, key, on_met_row, item);
}

/* Put back what the batch holds, but for the item of the row KEY.  */
static void
on_conflict (batch_t *batch, str_t key)
{
  bool found = false;

  for (size_t i = batch->count; i-- > 0;)
    {
      item_t *item = batch->items[i];
      if (!found && item_has_key (item, key))
        {
          found = true;
          on_conflict_item (item, key);
        }
      else if (item->answered)
        item_free (item);
      else
        enqueue_first (item);
    }
}

/* Nothing of the batch was written.  */
static void
on_refused (batch_t *batch, vh_code_t code)
{
  claims_t *claims = batch->claims;

  claims->not_before_ms
      = now_ms (claims)
        + backoff_next (&claims->backoff, store_rng (claims->store));
  for (size_t i = batch->count; i-- > 0;)
    {
      item_t *item = batch->items[i];
      bool wait
          = !item->is_claim || (code == VH_E_STORE_BUSY && !item->answered);
      if (wait)
        enqueue_first (item);
      else
        answer_and_free (item, VH_E_STORE_DOWN, NULL);
    }
}

/* The outcome was not found out in all the time that tokens are kept.  */
static void
on_lost (batch_t *batch)
{
  log_err ("claims", "A batch of claims has no known outcome. items=%zu",
           batch->count);
  for (size_t i = 0; i < batch->count; i++)
    {
      item_t *item = batch->items[i];
      if (item->is_claim)
        answer_and_free (item, VH_E_STORE_LATE, NULL);
      else
        enqueue (item);
    }
}

static void
on_batch (void *arg, vh_code_t code, uint64_t version, str_t conflict_key)
{
  batch_t *batch = arg;
  claims_t *claims = batch->claims;

  if (batch->stray)
    claims->stray_count--;
  else
    claims->current = NULL;
  list_remove (&batch->link);
  if (code == VH_OK)
    {
      backoff_reset (&claims->backoff);
      claims->not_before_ms = 0;
      for (size_t i = 0; i < batch->count; i++)
        on_written (batch->items[i], version);
    }
  else if (code == VH_E_CONFLICT)
    on_conflict (batch, conflict_key);
  else if (code == VH_E_STORE_LATE)
    on_lost (batch);
  else
    on_refused (batch, code);
  free (batch);
  commit_next (claims);
}

static void
send_batch (claims_t *claims, batch_t *batch)
{
  draft_t *draft = mem_zalloc (sizeof *draft);
  buf_t token = BUF_NULL;

  store_append_token (claims->store, &token);
  for (size_t i = 0; i < batch->count; i++)
    if (batch->items[i]->is_claim)
      draft_claim (draft, batch->items[i], buf_str (&token));
    else
      draft_state (draft, batch->items[i], buf_str (&token));
  const txn_t txn = { draft->conditions, draft->condition_count, draft->writes,
                      draft->write_count, buf_str (&token) };
  claims->batches++;
  claims->items += batch->count;
  claims->current = batch;
  store_txn (claims->store, &txn, STORE_PATIENCE_MAX_MS, on_batch, batch);
  for (size_t i = 0; i < draft->buf_count; i++)
    buf_free (&draft->bufs[i]);
  free (draft);
  buf_free (&token);
}

/* Tell whether a claim waits, or an outcome has waited long enough.  */
static bool
is_due (const claims_t *claims)
{
  uint64_t now = now_ms (claims);

  LIST_EACH (at, &claims->queue)
    {
      const item_t *item = CONTAINER_OF (at, item_t, link);
      if (item->is_claim || now - item->queued_ms >= GATHER_MS)
        return true;
    }
  return false;
}

static void
commit_next (claims_t *claims)
{
  if (claims->current != NULL || claims->stray_count >= STRAYS_MAX
      || now_ms (claims) < claims->not_before_ms || !is_due (claims))
    return;
  send_batch (claims, take_batch (claims));
}

/* Answer the claims whose time is up: those not sent were surely not
   written.  */
static void
check_deadlines (claims_t *claims)
{
  uint64_t now = now_ms (claims);
  batch_t *batch = claims->current;

  LIST_EACH (at, &claims->queue)
    {
      item_t *item = CONTAINER_OF (at, item_t, link);
      if (!item->is_claim || now < item->deadline_ms)
        continue;
      dequeue (item);
      answer_and_free (item, VH_E_STORE_DOWN, NULL);
    }
  LIST_EACH (at, &claims->reading)
    {
      item_t *item = CONTAINER_OF (at, item_t, link);
      if (now >= item->deadline_ms)
        answer (item, VH_E_CLAIMED, NULL);
    }
  for (size_t i = 0; batch != NULL && i < batch->count; i++)
    if (now >= batch->items[i]->deadline_ms)
      answer (batch->items[i], VH_E_STORE_LATE, NULL);
}

/* Let the next batch go when the one under way takes too long.  */
static void
check_current (claims_t *claims)
{
  batch_t *batch = claims->current;

  if (batch == NULL
      || now_ms (claims) - batch->sent_ms < claims->options.patience_ms)
    return;
  claims->current = NULL;
  batch->stray = true;
  list_append (&claims->strays, &batch->link);
  claims->stray_count++;
  for (size_t i = 0; i < batch->count; i++)
    answer (batch->items[i], VH_E_STORE_LATE, NULL);
}

static void sweep (claims_t *claims);

static void
on_swept (void *arg, vh_code_t code, uint64_t version, str_t conflict_key)
{
  claims_t *claims = arg;

  (void)version;
  (void)conflict_key;
  claims->sweeping = false;
  if (code == VH_OK)
    sweep (claims);
}

/* The rows come by day, the oldest first.  */
static void
on_old_rows (void *arg, vh_code_t code, const row_t *rows, size_t count,
             bool more)
{
  claims_t *claims = arg;
  txn_write_t writes[SWEEP_ROWS];
  size_t write_count = 0;
  buf_t keep = BUF_NULL;

  (void)more;
  append_key (&keep, today (claims) - KEEP_DAYS + 1, STR (""));
  for (size_t i = 0; code == VH_OK && i < count; i++)
    if (str_cmp (rows[i].key, buf_str (&keep)) < 0)
      writes[write_count++] = (txn_write_t){ rows[i].key, STR_NULL, true };
  buf_free (&keep);
  if (write_count == 0 || !lease_is_held (claims->options.lease))
    {
      claims->sweeping = false;
      return;
    }
  const txn_condition_t condition = lease_condition (claims->options.lease);
  const txn_t txn = { &condition, 1, writes, write_count, STR_NULL };
  store_txn (claims->store, &txn, 0, on_swept, claims);
}

static void
sweep (claims_t *claims)
{
  claims->sweeping = true;
  store_scan (claims->store, STR ("claim/"), STR_NULL, SWEEP_ROWS, on_old_rows,
              claims);
}

static void
check_sweep (claims_t *claims)
{
  uint64_t now = now_ms (claims);

  if (claims->options.lease == NULL || claims->sweeping
      || now < claims->next_sweep_ms)
    return;
  claims->next_sweep_ms
      = now + rng_jitter (store_rng (claims->store), claims->options.sweep_ms);
  if (lease_is_held (claims->options.lease))
    sweep (claims);
}

static void
on_tick (uv_timer_t *timer)
{
  claims_t *claims = timer->data;

  check_deadlines (claims);
  check_current (claims);
  check_sweep (claims);
  commit_next (claims);
}

claims_t *
claims_create (const control_env_t *env, const claims_options_t *options)
{
  claims_t *claims = mem_zalloc (sizeof *claims);

  claims->store = store_create (env);
  claims->env = *env;
  claims->options = *options;
  if (claims->options.patience_ms == 0)
    claims->options.patience_ms = PATIENCE_MS;
  if (claims->options.sweep_ms == 0)
    claims->options.sweep_ms = SWEEP_MS;
  buf_append_str (&claims->writer, options->writer);
  list_init (&claims->queue);
  list_init (&claims->reading);
  list_init (&claims->strays);
  claims->held = map_create ();
  claims->backoff = (backoff_t){ RETRY_MIN_MS, RETRY_MAX_MS, 0 };
  uv_timer_init (env->loop, &claims->timer);
  claims->timer.data = claims;
  uv_timer_start (&claims->timer, on_tick, TICK_MS, TICK_MS);
  return claims;
}

static void
on_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
cancel_items (list_t *items)
{
  LIST_EACH (at, items)
    answer_and_free (CONTAINER_OF (at, item_t, link), VH_E_CANCELLED, NULL);
}

static void
cancel_batch (batch_t *batch)
{
  for (size_t i = 0; i < batch->count; i++)
    answer_and_free (batch->items[i], VH_E_CANCELLED, NULL);
  free (batch);
}

void
claims_destroy (claims_t *claims)
{
  size_t cursor = 0;
  void *value;

  if (claims == NULL)
    return;
  store_destroy (claims->store);
  cancel_items (&claims->queue);
  cancel_items (&claims->reading);
  LIST_EACH (at, &claims->strays)
    cancel_batch (CONTAINER_OF (at, batch_t, link));
  if (claims->current != NULL)
    cancel_batch (claims->current);
  while (map_next (claims->held, &cursor, NULL, &value))
    {
      held_t *held = value;
      buf_free (&held->key);
      free (held);
    }
  map_destroy (claims->held);
  buf_free (&claims->writer);
  uv_close ((uv_handle_t *)&claims->timer, on_closed);
}

void
claims_acquire (claims_t *claims, str_t id, uint64_t wait_ms, claims_cb_t cb,
                void *arg)
{
  item_t *item = mem_zalloc (sizeof *item);

  item->claims = claims;
  item->is_claim = true;
  item->deadline_ms = now_ms (claims) + wait_ms;
  item->cb = cb;
  item->arg = arg;
  buf_append_str (&item->id, id);
  /* A queue past its bound is answered by the deadline, never at once from
     inside this call.  */
  if (claims->queued >= QUEUE_MAX)
    item->deadline_ms = 0;
  enqueue (item);
  commit_next (claims);
}

/* Write STATE to the row of ID, which is held.  */
static vh_code_t
settle (claims_t *claims, str_t id, row_state_t state, str_t outcome)
{
  held_t *held = map_get (claims->held, id);

  if (held == NULL || held->settling)
    return VH_E_NOT_FOUND;
  if (claims->queued >= QUEUE_MAX)
    return VH_E_FULL;
  held->settling = true;
  queue_state (claims, id, buf_str (&held->key), held->version, state,
               outcome);
  commit_next (claims);
  return VH_OK;
}

vh_code_t
claims_record_outcome (claims_t *claims, str_t id, str_t outcome)
{
  return settle (claims, id, ROW_DONE, outcome);
}

vh_code_t
claims_release (claims_t *claims, str_t id)
{
  return settle (claims, id, ROW_ABANDONED, STR_NULL);
}

size_t
claims_waiting (const claims_t *claims)
{
  size_t waiting = claims->queued;

  if (claims->current != NULL)
    waiting += claims->current->count;
  LIST_EACH (at, &claims->strays)
    waiting += CONTAINER_OF (at, batch_t, link)->count;
  return waiting;
}

void
claims_figures (const claims_t *claims, uint64_t *batches, uint64_t *items)
{
  *batches = claims->batches;
  *items = claims->items;
}
