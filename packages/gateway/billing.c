#include "gateway/billing.h"

#include "base/eventlog.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  RETRY_MS = 2000,
  COMMIT_TIMEOUT_MS = 3000
};

typedef struct
{
  list_t link;
  uint64_t sequence;
  size_t count;
  buf_t lines; /* One bill a line, a JSON array.  */
} batch_t;

struct billing
{
  rows_t *rows;
  char *name;
  uint64_t epoch;
  uint64_t sequence; /* Of the newest batch.  */
  uv_timer_t timer;
  list_t batches; /* The oldest first; the last one grows.  */
  size_t waiting;
  uint64_t dropped;
  bool pending; /* The oldest batch is on its way.  */
  bool flushing;
};

static batch_t *
first_batch (const billing_t *billing)
{
  return list_empty (&billing->batches)
             ? NULL
             : CONTAINER_OF (billing->batches.next, batch_t, link);
}

static void
batch_destroy (billing_t *billing, batch_t *batch)
{
  billing->waiting -= batch->count;
  list_remove (&batch->link);
  buf_free (&batch->lines);
  free (batch);
}

static void write_first (billing_t *billing);

static void
on_timer (uv_timer_t *timer)
{
  write_first (timer->data);
}

static void
on_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  billing_t *billing = arg;

  (void)result;
  billing->pending = false;
  /* A conflict: the row is there, by an earlier try whose reply was lost.  */
  if (code == VH_OK || code == VH_E_CONFLICT)
    batch_destroy (billing, first_batch (billing));
  else
    log_event (EVENT_BILLS_WRITE, field_number (FIELD_CODE, code),
               field_number (FIELD_COUNT, billing->waiting));
  const batch_t *next = first_batch (billing);
  uint64_t wait_ms = BILLING_WAIT_MS;
  if (code != VH_OK && code != VH_E_CONFLICT)
    wait_ms = RETRY_MS;
  else if (next != NULL && (billing->flushing || next->count >= BILLING_BATCH))
    wait_ms = 0;
  uv_timer_start (&billing->timer, on_timer, wait_ms, 0);
}

static void
write_first (billing_t *billing)
{
  batch_t *batch = first_batch (billing);
  buf_t key = BUF_NULL;

  if (batch == NULL || billing->pending)
    return;
  /* A batch that was sent once must stay as it was: it may have been
     written.  */
  if (batch->link.next == &billing->batches)
    billing->sequence++;
  buf_printf (&key, "bill/%s/%016llx/%llu", billing->name,
              (unsigned long long)billing->epoch,
              (unsigned long long)batch->sequence);
  rows_write_t write = { .table = ROWS_BILLS,
                         .key = buf_str (&key),
                         .value = buf_str (&batch->lines),
                         .is_conditional = true };
  billing->pending = true;
  billing->rows->ops->commit (billing->rows, &write, 1, COMMIT_TIMEOUT_MS,
                              on_written, billing);
  buf_free (&key);
}

/* The batch that takes the next bill.  */
static batch_t *
open_batch (billing_t *billing)
{
  if (!list_empty (&billing->batches))
    {
      batch_t *last = CONTAINER_OF (billing->batches.prev, batch_t, link);
      if (last->sequence == billing->sequence && last->count < BILLING_BATCH)
        return last;
      if (last->sequence == billing->sequence)
        billing->sequence++;
    }
  batch_t *batch = mem_zalloc (sizeof *batch);
  batch->sequence = billing->sequence;
  list_append (&billing->batches, &batch->link);
  return batch;
}

/* Make room by the oldest batch that is not on its way.  */
static void
drop_oldest (billing_t *billing)
{
  batch_t *batch = first_batch (billing);

  if (billing->pending)
    batch = CONTAINER_OF (batch->link.next, batch_t, link);
  billing->dropped += batch->count;
  log_event (EVENT_BILLS_DROPPED, field_number (FIELD_COUNT, batch->count));
  batch_destroy (billing, batch);
}

static void
append_bill (buf_t *out, const bill_t *bill)
{
  const str_t texts[] = { bill->id, bill->team, bill->route, bill->model };

  buf_append_char (out, '[');
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      buf_append_char (out, '"');
      buf_append_json (out, texts[i]);
      buf_append_str (out, STR ("\","));
    }
  buf_printf (out, "%u,%llu,%u,%d]\n", bill->prompt,
              (unsigned long long)bill->events, bill->runs, bill->whole);
}

void
billing_add (billing_t *billing, const bill_t *bill)
{
  if (billing->waiting >= BILLING_KEPT)
    drop_oldest (billing);
  batch_t *batch = open_batch (billing);
  append_bill (&batch->lines, bill);
  batch->count++;
  billing->waiting++;
  if (batch->count >= BILLING_BATCH && !billing->pending)
    write_first (billing);
}

void
billing_flush (billing_t *billing)
{
  billing->flushing = true;
  write_first (billing);
}

size_t
billing_waiting (const billing_t *billing)
{
  return billing->waiting;
}

uint64_t
billing_dropped (const billing_t *billing)
{
  return billing->dropped;
}

billing_t *
billing_create (uv_loop_t *loop, rows_t *rows, str_t name, uint64_t epoch)
{
  billing_t *billing = mem_zalloc (sizeof *billing);

  billing->rows = rows;
  billing->name = str_dup (name);
  billing->epoch = epoch;
  list_init (&billing->batches);
  uv_timer_init (loop, &billing->timer);
  billing->timer.data = billing;
  uv_timer_start (&billing->timer, on_timer, BILLING_WAIT_MS, 0);
  return billing;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  billing_t *billing = handle->data;

  while (first_batch (billing) != NULL)
    batch_destroy (billing, first_batch (billing));
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
