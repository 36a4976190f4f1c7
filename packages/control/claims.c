#include "control/claims.h"

#include "base/log.h"
#include "base/map.h"
#include "base/mem.h"
#include "storage/json.h"

#include <stdlib.h>

enum
{
  BATCH_TIMEOUT_MS = 1000,
  CLEANUP_INTERVAL_MS = 10 * 60 * 1000,
  TICK_MS = 20,
  /* Maximum number of operations in a batch.  A transaction of 64 claims has
     192 conditions and a size of a few kilobytes.  */
  BATCH_OPS_MAX = 64,
  /* Maximum number of detached batches, whose outcome is still being
     resolved.  Beyond this number the store is assumed to be failing, and
     further batches would only accumulate.  */
  DETACHED_BATCHES_MAX = 16,
  QUEUE_OPS_MAX = 20000,
  CLEANUP_PAGE_ROWS = 500,
  RETENTION_DAYS = 3,
  DAY_MS = 24 * 3600 * 1000,
  DAYS_CHECKED = 3,
  /* Maximum delay of the write of an outcome, so that several outcomes share
     a transaction.  No client waits for the write.  */
  OUTCOME_DELAY_MAX_MS = 100,
  RETRY_DELAY_MIN_MS = 50,
  /* Maximum delay after a failed batch.  The delay is short because clients
     wait for their claims; the platform's circuit breaker limits the load on a
     failing store.  */
  RETRY_DELAY_MAX_MS = 1000
};

typedef enum
{
  ROW_OPEN,
  ROW_DONE,
  ROW_ABANDONED
} row_state_t;

static const char *const row_state_names[] = { "open", "done", "abandoned" };

/* A claim that this process holds.  */
typedef struct
{
  buf_t key;
  uint64_t version;
  bool is_outcome_queued; /* The write of its outcome is queued.  */
} held_claim_t;

typedef struct
{
  list_t link;
  claims_t *claims;
  bool is_claim;
  /* Time when the outcome was first queued; 0 for a claim.  */
  uint64_t queued_ms;
  buf_t id;
  uint64_t claim_day; /* Day in the key of the row to write.  */
  /* The next four fields are used for claims only.  */
  bool is_callback_done;
  uint64_t deadline_ms;
  claims_cb_t cb;
  void *arg;
  /* Existing row to take over or to write STATE to; KEY is empty if there is
     none.  */
  buf_t key;
  uint64_t version;
  row_state_t state;
  buf_t outcome;
} operation_t;

typedef struct
{
  list_t link;
  claims_t *claims;
  uint64_t sent_ms;
  bool is_detached;
  size_t count;
  operation_t *ops[BATCH_OPS_MAX];
} batch_t;

struct claims
{
  store_t *store;
  control_env_t env;
  claims_options_t options;
  buf_t writer;
  uv_timer_t timer;
  list_t queue;
  size_t queue_length;
  list_t conflict_reads; /* Claims whose conflicting row is being read.  */
  batch_t *current_batch;
  list_t detached_batches;
  size_t detached_count;
  map_t *held_claims; /* Maps id to held_claim_t.  */
  backoff_t backoff;
  uint64_t next_send_ms;
  bool is_cleanup_running;
  uint64_t next_cleanup_ms;
  uint64_t batches_sent;
  uint64_t ops_sent;
};

static void send_next_batch (claims_t *claims);

static uint64_t
now_ms (const claims_t *claims)
{
  return clock_ms (claims->env.clock);
}

static uint64_t
current_day (const claims_t *claims)
{
  return clock_realtime_ms (claims->env.clock) / DAY_MS;
}

static void
append_key (buf_t *key, uint64_t day, str_t id)
{
  buf_printf (key, "claim/%06llu/%.*s", (unsigned long long)day, STR_ARG (id));
}

static void
op_free (operation_t *op)
{
  buf_free (&op->id);
  buf_free (&op->key);
  buf_free (&op->outcome);
  free (op);
}

/* Call the callback of the claim OP unless it was called before.  OP is not
   freed.  */
static void
invoke_callback (operation_t *op, vh_code_t code, const claim_info_t *info)
{
  static const claim_info_t unknown = { 0 };

  if (op->is_callback_done || !op->is_claim)
    return;
  op->is_callback_done = true;
  op->cb (op->arg, code, info != NULL ? info : &unknown);
}

static void
invoke_callback_and_free (operation_t *op, vh_code_t code,
                          const claim_info_t *info)
{
  invoke_callback (op, code, info);
  op_free (op);
}

static void
enqueue (operation_t *op)
{
  list_append (&op->claims->queue, &op->link);
  op->claims->queue_length++;
}

static void
dequeue (operation_t *op)
{
  list_remove (&op->link);
  op->claims->queue_length--;
}

/* Insert OP at the head of the queue.  */
static void
enqueue_first (operation_t *op)
{
  claims_t *claims = op->claims;

  list_append (claims->queue.next, &op->link);
  claims->queue_length++;
}

static void
write_row (const operation_t *op, str_t token, buf_t *out)
{
  const claims_t *claims = op->claims;
  json_t *json = json_object ();

  json_object_set_new (json, "state",
                       json_string (row_state_names[op->state]));
  json_put_bytes (json, "writer", buf_str (&claims->writer));
  json_object_set_new (
      json, "at_ms",
      json_integer ((json_int_t)clock_realtime_ms (claims->env.clock)));
  json_put_bytes (json, "token", token);
  if (op->state == ROW_DONE)
    json_put_bytes (json, "outcome", buf_str (&op->outcome));
  json_write_and_free (json, out);
}

/* A transaction under construction; BUFS own its strings.  */
typedef struct
{
  txn_condition_t conditions[BATCH_OPS_MAX * DAYS_CHECKED];
  size_t condition_count;
  txn_write_t writes[BATCH_OPS_MAX * 2];
  size_t write_count;
  buf_t bufs[BATCH_OPS_MAX * (DAYS_CHECKED + 1)];
  size_t buf_count;
} txn_builder_t;

static void
add_claim (txn_builder_t *builder, operation_t *op, str_t token)
{
  str_t reusable_key = buf_str (&op->key);
  str_t today_key = STR_NULL;

  op->claim_day = current_day (op->claims);
  for (uint64_t day = op->claim_day - 1; day <= op->claim_day + 1; day++)
    {
      buf_t *key = &builder->bufs[builder->buf_count++];
      append_key (key, day, buf_str (&op->id));
      bool is_reusable = str_eq (buf_str (key), reusable_key);
      builder->conditions[builder->condition_count++]
          = (txn_condition_t){ buf_str (key), is_reusable ? op->version : 0 };
      if (day == op->claim_day)
        today_key = buf_str (key);
      else if (is_reusable)
        builder->writes[builder->write_count++]
            = (txn_write_t){ buf_str (key), STR_NULL, true };
    }
  buf_t *row = &builder->bufs[builder->buf_count++];
  op->state = ROW_OPEN;
  write_row (op, token, row);
  builder->writes[builder->write_count++]
      = (txn_write_t){ today_key, buf_str (row), false };
}

static void
add_state_update (txn_builder_t *builder, operation_t *op, str_t token)
{
  buf_t *row = &builder->bufs[builder->buf_count++];

  write_row (op, token, row);
  builder->conditions[builder->condition_count++]
      = (txn_condition_t){ buf_str (&op->key), op->version };
  builder->writes[builder->write_count++]
      = (txn_write_t){ buf_str (&op->key), buf_str (row), false };
}

static bool
batch_has_id (const batch_t *batch, const operation_t *op)
{
  for (size_t i = 0; i < batch->count; i++)
    if (str_eq (buf_str (&batch->ops[i]->id), buf_str (&op->id)))
      return true;
  return false;
}

static batch_t *
create_batch (claims_t *claims)
{
  batch_t *batch = mem_zalloc (sizeof *batch);

  batch->claims = claims;
  batch->sent_ms = now_ms (claims);
  list_init (&batch->link);
  LIST_EACH (at, &claims->queue)
    {
      operation_t *op = CONTAINER_OF (at, operation_t, link);
      /* Two claims of one id in the same transaction would both succeed.  */
      if (batch_has_id (batch, op))
        continue;
      dequeue (op);
      batch->ops[batch->count++] = op;
      if (batch->count == BATCH_OPS_MAX)
        break;
    }
  return batch;
}

static void
add_held_claim (claims_t *claims, const operation_t *op, uint64_t version)
{
  held_claim_t *held = mem_zalloc (sizeof *held);

  append_key (&held->key, op->claim_day, buf_str (&op->id));
  held->version = version;
  held_claim_t *old = map_put (claims->held_claims, buf_str (&op->id), held);
  if (old != NULL)
    {
      buf_free (&old->key);
      free (old);
    }
}

/* Remove the held claim on ID if its row has VERSION.  A later claim of the
   same id is kept.  */
static void
remove_held_claim (claims_t *claims, str_t id, uint64_t version)
{
  held_claim_t *held = map_get (claims->held_claims, id);

  if (held == NULL || held->version != version)
    return;
  map_remove (claims->held_claims, id);
  buf_free (&held->key);
  free (held);
}

/* Queue a write of STATE to the row KEY of ID, conditional on VERSION.  */
static void
queue_state_update (claims_t *claims, str_t id, str_t key, uint64_t version,
                    row_state_t state, str_t outcome)
{
  operation_t *op = mem_zalloc (sizeof *op);

  op->claims = claims;
  op->queued_ms = now_ms (claims);
  op->version = version;
  op->state = state;
  buf_append_str (&op->id, id);
  buf_append_str (&op->key, key);
  buf_append_str (&op->outcome, outcome);
  enqueue (op);
}

static void
on_op_committed (operation_t *op, uint64_t version)
{
  claims_t *claims = op->claims;

  if (!op->is_claim)
    {
      remove_held_claim (claims, buf_str (&op->id), op->version);
      op_free (op);
      return;
    }
  if (op->is_callback_done)
    {
      /* The callback has reported that the request will not run under this
         claim, so other processes must be able to claim the id.  */
      buf_t key = BUF_NULL;
      append_key (&key, op->claim_day, buf_str (&op->id));
      queue_state_update (claims, buf_str (&op->id), buf_str (&key), version,
                          ROW_ABANDONED, STR_NULL);
      buf_free (&key);
      op_free (op);
      return;
    }
  add_held_claim (claims, op, version);
  invoke_callback_and_free (op, VH_OK, NULL);
}

static row_state_t
parse_row (const json_t *json)
{
  str_t state = json_get_utf8 (json, "state");

  if (str_eq (state, str_from (row_state_names[ROW_DONE])))
    return ROW_DONE;
  if (str_eq (state, str_from (row_state_names[ROW_ABANDONED])))
    return ROW_ABANDONED;
  return ROW_OPEN;
}

/* Return whether no process will ever dispatch the request under a row that
   has STATE and WRITER.  */
static bool
may_take_over (const operation_t *op, row_state_t state, str_t writer)
{
  claims_t *claims = op->claims;

  if (state == ROW_ABANDONED)
    return true;
  /* An open row that this process wrote but does not hold belongs to a claim
     that expired before the outcome of its transaction was known.  A held
     claim is kept until its outcome is in the row.  */
  return state == ROW_OPEN && str_eq (writer, buf_str (&claims->writer))
         && map_get (claims->held_claims, buf_str (&op->id)) == NULL;
}

static void
on_conflicting_row (void *arg, vh_code_t code, const row_t *row)
{
  operation_t *op = arg;
  claims_t *claims = op->claims;
  json_t *json = NULL;
  buf_t scratch = BUF_NULL;

  list_remove (&op->link);
  if (code != VH_OK && code != VH_E_NOT_FOUND)
    {
      invoke_callback_and_free (op, VH_E_CLAIMED, NULL);
      return;
    }
  if (code == VH_OK)
    json = json_loadb (row->value.ptr, row->value.len, JSON_ALLOW_NUL, NULL);
  row_state_t state = parse_row (json);
  str_t writer = json_get_utf8 (json, "writer");
  bool can_retry = code == VH_E_NOT_FOUND || may_take_over (op, state, writer);
  if (can_retry && !op->is_callback_done)
    {
      op->key.len = 0;
      op->version = row->version;
      if (code == VH_OK)
        buf_append_str (&op->key, row->key);
      enqueue (op);
      send_next_batch (claims);
    }
  else
    {
      const claim_info_t info
          = { true, state == ROW_DONE, writer, json_get_u64 (json, "at_ms"),
              json_get_bytes (json, "outcome", &scratch) };
      invoke_callback_and_free (op, VH_E_CLAIMED, &info);
    }
  json_decref (json);
  buf_free (&scratch);
}

/* Return whether KEY is the key of one of OP's conditions.  */
static bool
op_depends_on_key (const operation_t *op, str_t key)
{
  bool depends = str_eq (buf_str (&op->key), key);

  for (uint64_t day = op->claim_day - 1;
       op->is_claim && !depends && day <= op->claim_day + 1; day++)
    {
      buf_t row_key = BUF_NULL;
      append_key (&row_key, day, buf_str (&op->id));
      depends = str_eq (buf_str (&row_key), key);
      buf_free (&row_key);
    }
  return depends;
}

/* Handle the conflict of OP at KEY, because of which its whole batch was not
   written.  */
static void
on_op_conflict (operation_t *op, str_t key)
{
  claims_t *claims = op->claims;

  if (!op->is_claim)
    {
      /* The row was written by an attempt whose reply was lost, or was taken
         over by another process.  */
      on_op_committed (op, 0);
      return;
    }
  if (op->is_callback_done)
    {
      op_free (op);
      return;
    }
  list_append (&claims->conflict_reads, &op->link);
  store_get (claims->store, key, on_conflicting_row, op);
}

/* Return the operations of BATCH to the queue, except the operation whose
   condition on KEY failed.  */
static void
on_batch_conflict (batch_t *batch, str_t key)
{
  bool is_conflict_found = false;

  for (size_t i = batch->count; i-- > 0;)
    {
      operation_t *op = batch->ops[i];
      if (!is_conflict_found && op_depends_on_key (op, key))
        {
          is_conflict_found = true;
          on_op_conflict (op, key);
        }
      else if (op->is_callback_done)
        op_free (op);
      else
        enqueue_first (op);
    }
}

/* Handle the failure CODE of BATCH, of which nothing was written.  */
static void
on_batch_refused (batch_t *batch, vh_code_t code)
{
  claims_t *claims = batch->claims;

  claims->next_send_ms
      = now_ms (claims)
        + backoff_next (&claims->backoff, store_rng (claims->store));
  for (size_t i = batch->count; i-- > 0;)
    {
      operation_t *op = batch->ops[i];
      bool is_retried = !op->is_claim
                        || (code == VH_E_STORE_BUSY && !op->is_callback_done);
      if (is_retried)
        enqueue_first (op);
      else
        invoke_callback_and_free (op, VH_E_STORE_DOWN, NULL);
    }
}

/* Handle BATCH, whose outcome was not resolved while the store remembered its
   token.  */
static void
on_batch_unresolved (batch_t *batch)
{
  log_err ("claims",
           "The outcome of a batch is unknown; its claims are refused and its "
           "outcomes are written again. items=%zu",
           batch->count);
  for (size_t i = 0; i < batch->count; i++)
    {
      operation_t *op = batch->ops[i];
      if (op->is_claim)
        invoke_callback_and_free (op, VH_E_STORE_LATE, NULL);
      else
        enqueue (op);
    }
}

static void
on_batch_done (void *arg, vh_code_t code, uint64_t version, str_t conflict_key)
{
  batch_t *batch = arg;
  claims_t *claims = batch->claims;

  if (batch->is_detached)
    claims->detached_count--;
  else
    claims->current_batch = NULL;
  list_remove (&batch->link);
  if (code == VH_OK)
    {
      backoff_reset (&claims->backoff);
      claims->next_send_ms = 0;
      for (size_t i = 0; i < batch->count; i++)
        on_op_committed (batch->ops[i], version);
    }
  else if (code == VH_E_CONFLICT)
    on_batch_conflict (batch, conflict_key);
  else if (code == VH_E_STORE_LATE)
    on_batch_unresolved (batch);
  else
    on_batch_refused (batch, code);
  free (batch);
  send_next_batch (claims);
}

static void
send_batch (claims_t *claims, batch_t *batch)
{
  txn_builder_t *builder = mem_zalloc (sizeof *builder);
  buf_t token = BUF_NULL;

  store_append_token (claims->store, &token);
  for (size_t i = 0; i < batch->count; i++)
    if (batch->ops[i]->is_claim)
      add_claim (builder, batch->ops[i], buf_str (&token));
    else
      add_state_update (builder, batch->ops[i], buf_str (&token));
  const txn_t txn
      = { builder->conditions, builder->condition_count, builder->writes,
          builder->write_count, buf_str (&token) };
  claims->batches_sent++;
  claims->ops_sent += batch->count;
  claims->current_batch = batch;
  store_txn (claims->store, &txn, STORE_RESOLVE_TIMEOUT_MAX_MS, on_batch_done,
             batch);
  for (size_t i = 0; i < builder->buf_count; i++)
    buf_free (&builder->bufs[i]);
  free (builder);
  buf_free (&token);
}

/* Return whether the queue contains a claim, or an outcome whose maximum
   delay has passed.  */
static bool
has_due_op (const claims_t *claims)
{
  uint64_t now = now_ms (claims);

  LIST_EACH (at, &claims->queue)
    {
      const operation_t *op = CONTAINER_OF (at, operation_t, link);
      if (op->is_claim || now - op->queued_ms >= OUTCOME_DELAY_MAX_MS)
        return true;
    }
  return false;
}

static void
send_next_batch (claims_t *claims)
{
  if (claims->current_batch != NULL
      || claims->detached_count >= DETACHED_BATCHES_MAX
      || now_ms (claims) < claims->next_send_ms || !has_due_op (claims))
    return;
  send_batch (claims, create_batch (claims));
}

/* End the claims whose deadline has passed.  Claims that were not sent were
   certainly not written and end with VH_E_STORE_DOWN.  */
static void
expire_claims (claims_t *claims)
{
  uint64_t now = now_ms (claims);
  batch_t *batch = claims->current_batch;

  LIST_EACH (at, &claims->queue)
    {
      operation_t *op = CONTAINER_OF (at, operation_t, link);
      if (!op->is_claim || now < op->deadline_ms)
        continue;
      dequeue (op);
      invoke_callback_and_free (op, VH_E_STORE_DOWN, NULL);
    }
  LIST_EACH (at, &claims->conflict_reads)
    {
      operation_t *op = CONTAINER_OF (at, operation_t, link);
      if (now >= op->deadline_ms)
        invoke_callback (op, VH_E_CLAIMED, NULL);
    }
  for (size_t i = 0; batch != NULL && i < batch->count; i++)
    if (now >= batch->ops[i]->deadline_ms)
      invoke_callback (batch->ops[i], VH_E_STORE_LATE, NULL);
}

/* Detach the current batch if its outcome is still unknown after the batch
   timeout, so that the next batch can be sent.  */
static void
detach_slow_batch (claims_t *claims)
{
  batch_t *batch = claims->current_batch;

  if (batch == NULL
      || now_ms (claims) - batch->sent_ms < claims->options.batch_timeout_ms)
    return;
  claims->current_batch = NULL;
  batch->is_detached = true;
  list_append (&claims->detached_batches, &batch->link);
  claims->detached_count++;
  for (size_t i = 0; i < batch->count; i++)
    invoke_callback (batch->ops[i], VH_E_STORE_LATE, NULL);
}

static void delete_expired_rows (claims_t *claims);

static void
on_rows_deleted (void *arg, vh_code_t code, uint64_t version,
                 str_t conflict_key)
{
  claims_t *claims = arg;

  (void)version;
  (void)conflict_key;
  claims->is_cleanup_running = false;
  if (code == VH_OK)
    delete_expired_rows (claims);
}

/* Delete the expired rows of one page.  Row keys are sorted by day, so the
   page contains the oldest rows.  */
static void
on_oldest_rows (void *arg, vh_code_t code, const row_t *rows, size_t count,
                bool more)
{
  claims_t *claims = arg;
  txn_write_t writes[CLEANUP_PAGE_ROWS];
  size_t write_count = 0;
  buf_t first_kept_key = BUF_NULL;

  (void)more;
  append_key (&first_kept_key, current_day (claims) - RETENTION_DAYS + 1,
              STR (""));
  for (size_t i = 0; code == VH_OK && i < count; i++)
    if (str_cmp (rows[i].key, buf_str (&first_kept_key)) < 0)
      writes[write_count++] = (txn_write_t){ rows[i].key, STR_NULL, true };
  buf_free (&first_kept_key);
  if (write_count == 0 || !lease_is_held (claims->options.lease))
    {
      claims->is_cleanup_running = false;
      return;
    }
  const txn_condition_t condition = lease_condition (claims->options.lease);
  const txn_t txn = { &condition, 1, writes, write_count, STR_NULL };
  store_txn (claims->store, &txn, 0, on_rows_deleted, claims);
}

static void
delete_expired_rows (claims_t *claims)
{
  claims->is_cleanup_running = true;
  store_scan (claims->store, STR ("claim/"), STR_NULL, CLEANUP_PAGE_ROWS,
              on_oldest_rows, claims);
}

static void
start_cleanup_if_due (claims_t *claims)
{
  uint64_t now = now_ms (claims);

  if (claims->options.lease == NULL || claims->is_cleanup_running
      || now < claims->next_cleanup_ms)
    return;
  claims->next_cleanup_ms = now
                            + rng_jitter (store_rng (claims->store),
                                          claims->options.cleanup_interval_ms);
  if (lease_is_held (claims->options.lease))
    delete_expired_rows (claims);
}

static void
on_tick (uv_timer_t *timer)
{
  claims_t *claims = timer->data;

  expire_claims (claims);
  detach_slow_batch (claims);
  start_cleanup_if_due (claims);
  send_next_batch (claims);
}

claims_t *
claims_create (const control_env_t *env, const claims_options_t *options)
{
  claims_t *claims = mem_zalloc (sizeof *claims);

  claims->store = store_create (env);
  claims->env = *env;
  claims->options = *options;
  if (claims->options.batch_timeout_ms == 0)
    claims->options.batch_timeout_ms = BATCH_TIMEOUT_MS;
  if (claims->options.cleanup_interval_ms == 0)
    claims->options.cleanup_interval_ms = CLEANUP_INTERVAL_MS;
  buf_append_str (&claims->writer, options->writer);
  list_init (&claims->queue);
  list_init (&claims->conflict_reads);
  list_init (&claims->detached_batches);
  claims->held_claims = map_create ();
  claims->backoff = (backoff_t){ RETRY_DELAY_MIN_MS, RETRY_DELAY_MAX_MS, 0 };
  uv_timer_init (env->loop, &claims->timer);
  claims->timer.data = claims;
  uv_timer_start (&claims->timer, on_tick, TICK_MS, TICK_MS);
  return claims;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
cancel_ops (list_t *ops)
{
  LIST_EACH (at, ops)
    invoke_callback_and_free (CONTAINER_OF (at, operation_t, link),
                              VH_E_CANCELLED, NULL);
}

static void
cancel_batch (batch_t *batch)
{
  for (size_t i = 0; i < batch->count; i++)
    invoke_callback_and_free (batch->ops[i], VH_E_CANCELLED, NULL);
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
  cancel_ops (&claims->queue);
  cancel_ops (&claims->conflict_reads);
  LIST_EACH (at, &claims->detached_batches)
    cancel_batch (CONTAINER_OF (at, batch_t, link));
  if (claims->current_batch != NULL)
    cancel_batch (claims->current_batch);
  while (map_next (claims->held_claims, &cursor, NULL, &value))
    {
      held_claim_t *held = value;
      buf_free (&held->key);
      free (held);
    }
  map_destroy (claims->held_claims);
  buf_free (&claims->writer);
  uv_close ((uv_handle_t *)&claims->timer, on_timer_closed);
}

void
claims_acquire (claims_t *claims, str_t id, uint64_t timeout_ms,
                claims_cb_t cb, void *arg)
{
  operation_t *op = mem_zalloc (sizeof *op);

  op->claims = claims;
  op->is_claim = true;
  op->deadline_ms = now_ms (claims) + timeout_ms;
  op->cb = cb;
  op->arg = arg;
  buf_append_str (&op->id, id);
  /* If the queue is full, the claim expires at the next timer tick, so that
     the callback is never called from inside this function.  */
  if (claims->queue_length >= QUEUE_OPS_MAX)
    op->deadline_ms = 0;
  enqueue (op);
  send_next_batch (claims);
}

/* Queue a write of STATE to the row of the held claim on ID.  */
static vh_code_t
finish_claim (claims_t *claims, str_t id, row_state_t state, str_t outcome)
{
  held_claim_t *held = map_get (claims->held_claims, id);

  if (held == NULL || held->is_outcome_queued)
    return VH_E_NOT_FOUND;
  if (claims->queue_length >= QUEUE_OPS_MAX)
    return VH_E_FULL;
  held->is_outcome_queued = true;
  queue_state_update (claims, id, buf_str (&held->key), held->version, state,
                      outcome);
  send_next_batch (claims);
  return VH_OK;
}

vh_code_t
claims_record_outcome (claims_t *claims, str_t id, str_t outcome)
{
  return finish_claim (claims, id, ROW_DONE, outcome);
}

vh_code_t
claims_release (claims_t *claims, str_t id)
{
  return finish_claim (claims, id, ROW_ABANDONED, STR_NULL);
}

size_t
claims_pending_count (const claims_t *claims)
{
  size_t pending_count = claims->queue_length;

  if (claims->current_batch != NULL)
    pending_count += claims->current_batch->count;
  LIST_EACH (at, &claims->detached_batches)
    pending_count += CONTAINER_OF (at, batch_t, link)->count;
  return pending_count;
}

void
claims_get_stats (const claims_t *claims, uint64_t *batches,
                  uint64_t *operations)
{
  *batches = claims->batches_sent;
  *operations = claims->ops_sent;
}
