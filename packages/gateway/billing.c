#include "gateway/billing.h"

#include "base/eventlog.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  WRITE_RETRY_MS = 2000,
  WRITE_TIMEOUT_MS = 3000
};

typedef struct
{
  list_t link;
  uint64_t sequence;
  size_t bill_count;
  uint64_t written_ms; /* Loop time of the write.  */
  buf_t lines;         /* One JSON array per bill, each on a line.  */
} batch_t;

struct billing
{
  rows_t *rows;
  char *name;
  uint64_t epoch;
  uint64_t sequence; /* Sequence number of the newest batch while bills can be
                        added to it, else of the next batch.  */
  uv_timer_t timer;
  list_t batches; /* Oldest first; new bills are added to the last
                     one.  */
  list_t written; /* Written batches that are kept, oldest first.  */
  size_t written_bill_count;
  size_t rewrite_count; /* Batches at the start of BATCHES that are written
                           again.  */
  size_t queued_bill_count;
  uint64_t dropped_bill_count;
  bool is_write_pending; /* A write of the oldest batch is in progress.  */
  bool is_flushing;
};

static batch_t *
oldest_batch (const billing_t *billing)
{
  return list_is_empty (&billing->batches)
             ? NULL
             : CONTAINER_OF (billing->batches.next, batch_t, link);
}

static void
batch_free (batch_t *batch)
{
  list_remove (&batch->link);
  buf_free (&batch->lines);
  free (batch);
}

static void
batch_destroy (billing_t *billing, batch_t *batch)
{
  billing->queued_bill_count -= batch->bill_count;
  batch_free (batch);
}

/* Drop the written batches that are too old or too many to be kept.  */
static void
expire_written (billing_t *billing)
{
  LIST_EACH (at, &billing->written)
    {
      batch_t *batch = CONTAINER_OF (at, batch_t, link);
      if (uv_now (billing->timer.loop) - batch->written_ms < BILLING_KEEP_MS
          && billing->written_bill_count <= BILLING_QUEUED_BILLS_MAX)
        break;
      billing->written_bill_count -= batch->bill_count;
      batch_free (batch);
    }
}

/* Keep BATCH, which was written.  */
static void
keep_written (billing_t *billing, batch_t *batch)
{
  list_remove (&batch->link);
  list_append (&billing->written, &batch->link);
  batch->written_ms = uv_now (billing->timer.loop);
  billing->queued_bill_count -= batch->bill_count;
  billing->written_bill_count += batch->bill_count;
  expire_written (billing);
}

static void write_oldest_batch (billing_t *billing);

static void
on_timer (uv_timer_t *timer)
{
  write_oldest_batch (timer->data);
}

static void
on_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  billing_t *billing = arg;

  (void)result;
  billing->is_write_pending = false;
  /* A conflict means that the row exists: an earlier write was applied and its
     reply was lost.  */
  if (code == VH_OK || code == VH_E_CONFLICT)
    {
      keep_written (billing, oldest_batch (billing));
      if (billing->rewrite_count > 0)
        billing->rewrite_count--;
    }
  else
    log_event (EVENT_BILLS_WRITE, log_field_number (FIELD_CODE, code),
               log_field_number (FIELD_COUNT, billing->queued_bill_count));
  const batch_t *next = oldest_batch (billing);
  uint64_t delay_ms = BILLING_INTERVAL_MS;
  if (code != VH_OK && code != VH_E_CONFLICT)
    delay_ms = WRITE_RETRY_MS;
  else if (next != NULL
           && (billing->is_flushing || billing->rewrite_count > 0
               || next->bill_count >= BILLING_BATCH_BILLS))
    delay_ms = 0;
  uv_timer_start (&billing->timer, on_timer, delay_ms, 0);
}

static void
write_oldest_batch (billing_t *billing)
{
  batch_t *batch = oldest_batch (billing);
  buf_t key = BUF_NULL;

  if (batch == NULL || billing->is_write_pending)
    return;
  /* No bills may be added to a batch once a write of the batch was started,
     because the store may apply a write that is reported as failed.  */
  if (batch->link.next == &billing->batches)
    billing->sequence++;
  buf_printf (&key, "bill/%s/%016llx/%llu", billing->name,
              (unsigned long long)billing->epoch,
              (unsigned long long)batch->sequence);
  rows_write_t write = { .table = ROWS_BILLS,
                         .key = buf_str (&key),
                         .value = buf_str (&batch->lines),
                         .is_conditional = true };
  billing->is_write_pending = true;
  billing->rows->ops->commit (billing->rows, &write, 1, WRITE_TIMEOUT_MS,
                              on_written, billing);
  buf_free (&key);
}

/* Return the batch to which the next bill is added; create one if needed.  */
static batch_t *
open_batch (billing_t *billing)
{
  if (!list_is_empty (&billing->batches))
    {
      batch_t *last = CONTAINER_OF (billing->batches.prev, batch_t, link);
      if (last->sequence == billing->sequence
          && last->bill_count < BILLING_BATCH_BILLS)
        return last;
      if (last->sequence == billing->sequence)
        billing->sequence++;
    }
  batch_t *batch = mem_zalloc (sizeof *batch);
  batch->sequence = billing->sequence;
  list_append (&billing->batches, &batch->link);
  return batch;
}

/* Drop the oldest batch that is not being written.  */
static void
drop_oldest_batch (billing_t *billing)
{
  batch_t *batch = oldest_batch (billing);

  if (billing->is_write_pending)
    batch = CONTAINER_OF (batch->link.next, batch_t, link);
  if (billing->rewrite_count > billing->is_write_pending)
    billing->rewrite_count--;
  billing->dropped_bill_count += batch->bill_count;
  log_event (EVENT_BILLS_DROPPED,
             log_field_number (FIELD_COUNT, batch->bill_count));
  batch_destroy (billing, batch);
}

static void
append_bill (buf_t *out, const bill_t *bill)
{
  const str_t strings[]
      = { bill->attempt_id, bill->team, bill->route, bill->model };

  buf_append_char (out, '[');
  for (size_t i = 0; i < sizeof strings / sizeof strings[0]; i++)
    {
      buf_append_char (out, '"');
      buf_append_json_escaped (out, strings[i]);
      buf_append_str (out, STR ("\","));
    }
  buf_printf (out, "%u,%llu,%u,%d]\n", bill->prompt_tokens,
              (unsigned long long)bill->stream_event_count,
              bill->possible_run_count, bill->is_complete);
}

void
billing_add (billing_t *billing, const bill_t *bill)
{
  if (billing->queued_bill_count >= BILLING_QUEUED_BILLS_MAX)
    drop_oldest_batch (billing);
  batch_t *batch = open_batch (billing);
  append_bill (&batch->lines, bill);
  batch->bill_count++;
  billing->queued_bill_count++;
  if (batch->bill_count >= BILLING_BATCH_BILLS && !billing->is_write_pending)
    write_oldest_batch (billing);
}

void
billing_write_again (billing_t *billing)
{
  expire_written (billing);
  /* The batch that is being written stays the oldest one.  */
  list_t *position = &billing->batches;
  if (billing->is_write_pending)
    position = billing->batches.next;
  while (!list_is_empty (&billing->written))
    {
      batch_t *batch = CONTAINER_OF (billing->written.prev, batch_t, link);
      list_remove (&batch->link);
      list_append (position->next, &batch->link);
      billing->queued_bill_count += batch->bill_count;
      billing->rewrite_count++;
    }
  billing->written_bill_count = 0;
  if (billing->rewrite_count > 0 && !billing->is_write_pending)
    uv_timer_start (&billing->timer, on_timer, 0, 0);
}

void
billing_flush (billing_t *billing)
{
  billing->is_flushing = true;
  write_oldest_batch (billing);
}

size_t
billing_queued_bill_count (const billing_t *billing)
{
  return billing->queued_bill_count;
}

uint64_t
billing_dropped_bill_count (const billing_t *billing)
{
  return billing->dropped_bill_count;
}

billing_t *
billing_create (uv_loop_t *loop, rows_t *rows, str_t name, uint64_t epoch)
{
  billing_t *billing = mem_zalloc (sizeof *billing);

  billing->rows = rows;
  billing->name = str_dup (name);
  billing->epoch = epoch;
  list_init (&billing->batches);
  list_init (&billing->written);
  uv_timer_init (loop, &billing->timer);
  billing->timer.data = billing;
  uv_timer_start (&billing->timer, on_timer, BILLING_INTERVAL_MS, 0);
  return billing;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  billing_t *billing = handle->data;

  while (oldest_batch (billing) != NULL)
    batch_destroy (billing, oldest_batch (billing));
  LIST_EACH (at, &billing->written)
    batch_free (CONTAINER_OF (at, batch_t, link));
  free (billing->name);
  free (billing);
}

void
billing_destroy (billing_t *billing)
{
  if (billing == NULL)
    return;
  billing->rows->ops->cancel (billing->rows, billing);
  uv_close ((uv_handle_t *)&billing->timer, on_timer_closed);
}
