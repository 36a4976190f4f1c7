#include "control/ledger.h"

#include "base/log.h"
#include "base/map.h"
#include "base/mem.h"
#include "control/billset.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  FLUSH_BILLS = 500,
  FLUSH_MS = 10000,
  /* A bill takes about 300 bytes of memory, so the limit is about 30 MB.  */
  PENDING_BILLS_MAX = 100000,
  COMPACT_INTERVAL_MS = 500,
  TICK_MS = 20,
  /* Maximum number of rows in a transaction; reached after an outage.  */
  ROWS_PER_TXN = 8,
  RESOLVE_TIMEOUT_MS = 30000,
  RETRY_DELAY_MIN_MS = 100,
  RETRY_DELAY_MAX_MS = 5000,
  REPORT_PAGE_ROWS = 20,
  /* Rows read by one compaction step.  Steps run on the event loop that
     answers clients, and a step of 64 rows of 500 bills blocked the loop for
     100 ms.  */
  COMPACT_PAGE_ROWS = 8,
  /* Rows with at least this number of bills are not merged.  Without the
     limit, repeatedly merging the full rows of a busy entry into ever larger
     rows took 50 ms per step.  */
  LARGE_ROW_BILLS = 350,
  /* Upper bound of the length of a bill in a row, for names of usual
     length.  */
  BILL_ROW_BYTES = 128,
  /* After IDLE_STEPS steps in sequence without work, IDLE_INTERVAL_FACTOR
     additional intervals pass between steps.  */
  IDLE_STEPS = 6,
  IDLE_INTERVAL_FACTOR = 30,
  /* Number of days to compact, because bills of recent days may still
     arrive.  */
  COMPACT_DAYS = 3,
  DAY_S = 24 * 3600,
  DAY_TEXT_SIZE = 16
};

#define SMALL_ROW_PREFIX STR ("ledger/")
#define LARGE_ROW_PREFIX STR ("ledger-large/")

typedef struct
{
  list_t link;
  char date[DAY_TEXT_SIZE];
  uint64_t created_ms;
  buf_t key; /* Row key; empty until the batch is sealed.  */
  billset_t *bills;
} batch_t;

typedef struct
{
  list_t link;
  ledger_t *ledger;
  buf_t date;
  /* Whether the large rows are being read, which come after the small
     rows.  */
  bool reads_large_rows;
  buf_t last_key;
  billset_t *bills;
  ledger_report_cb_t cb;
  void *arg;
} report_t;

typedef struct
{
  bool is_step_pending;
  uint64_t next_compaction_step_ms;
  uint64_t days_back; /* Day to compact, in days before today.  */
  buf_t last_key;
  size_t rows_to_remove; /* Number of rows that the pending transaction
                            removes.  */
  int idle_steps;        /* Steps without work since the last merge.  */
} compaction_t;

struct ledger
{
  store_t *store;
  control_env_t env;
  ledger_options_t options;
  buf_t writer;
  buf_t epoch;
  uint64_t sequence;
  uv_timer_t timer;
  list_t open_batches;   /* One batch for each day.  */
  list_t sealed_batches; /* Batches to be written, the oldest first.  */
  batch_t *in_flight[ROWS_PER_TXN];
  size_t in_flight_count;
  size_t pending_count;
  bool is_near_limit;
  backoff_t backoff;
  uint64_t next_send_ms;
  list_t reports;
  compaction_t compaction;
  ledger_stats_t stats;
};

static uint64_t
now_ms (const ledger_t *ledger)
{
  return clock_ms (ledger->env.clock);
}

static void
format_date (char *date, uint64_t at_ms)
{
  time_t seconds = (time_t)(at_ms / 1000);
  struct tm tm;

  gmtime_r (&seconds, &tm);
  strftime (date, DAY_TEXT_SIZE, "%Y-%m-%d", &tm);
}

static void
batch_free (batch_t *batch)
{
  billset_destroy (batch->bills);
  buf_free (&batch->key);
  free (batch);
}

static batch_t *
get_open_batch (ledger_t *ledger, const char *date)
{
  LIST_EACH (at, &ledger->open_batches)
    {
      batch_t *batch = CONTAINER_OF (at, batch_t, link);
      if (strcmp (batch->date, date) == 0)
        return batch;
    }
  batch_t *batch = mem_zalloc (sizeof *batch);
  snprintf (batch->date, sizeof batch->date, "%s", date);
  batch->created_ms = now_ms (ledger);
  batch->bills = billset_create ();
  list_append (&ledger->open_batches, &batch->link);
  return batch;
}

static void
seal_batch (ledger_t *ledger, batch_t *batch)
{
  buf_printf (&batch->key, "ledger/%s/%.*s/%.*s/%08llu", batch->date,
              STR_ARG (buf_str (&ledger->writer)),
              STR_ARG (buf_str (&ledger->epoch)),
              (unsigned long long)++ledger->sequence);
  list_remove (&batch->link);
  list_append (&ledger->sealed_batches, &batch->link);
}

static void
on_batch_written (ledger_t *ledger, batch_t *batch)
{
  size_t count = billset_size (batch->bills);

  ledger->stats.rows_written++;
  ledger->stats.bills_written += count;
  ledger->pending_count -= count;
  if (ledger->options.on_written != NULL)
    ledger->options.on_written (ledger->options.owner,
                                billset_items (batch->bills), count);
  batch_free (batch);
}

/* Return the batches in flight to the head of the sealed batches.  */
static void
requeue_in_flight (ledger_t *ledger)
{
  for (size_t i = ledger->in_flight_count; i-- > 0;)
    list_append (ledger->sealed_batches.next, &ledger->in_flight[i]->link);
  ledger->in_flight_count = 0;
}

static void
on_rows_sent (void *arg, vh_code_t code, uint64_t version, str_t conflict_key)
{
  ledger_t *ledger = arg;

  (void)version;
  if (code == VH_OK)
    {
      size_t count = ledger->in_flight_count;
      ledger->in_flight_count = 0;
      backoff_reset (&ledger->backoff);
      for (size_t i = 0; i < count; i++)
        on_batch_written (ledger, ledger->in_flight[i]);
      return;
    }
  if (code == VH_E_CONFLICT)
    {
      /* The key contains the epoch of this process, so the row was written by
         an earlier attempt whose reply was lost.  */
      for (size_t i = 0; i < ledger->in_flight_count; i++)
        if (str_eq (buf_str (&ledger->in_flight[i]->key), conflict_key))
          {
            batch_t *batch = ledger->in_flight[i];
            ledger->in_flight[i]
                = ledger->in_flight[--ledger->in_flight_count];
            on_batch_written (ledger, batch);
            break;
          }
      requeue_in_flight (ledger);
      return;
    }
  requeue_in_flight (ledger);
  ledger->next_send_ms
      = now_ms (ledger)
        + backoff_next (&ledger->backoff, store_rng (ledger->store));
}

static void
send_sealed_batches (ledger_t *ledger)
{
  txn_condition_t conditions[ROWS_PER_TXN];
  txn_write_t writes[ROWS_PER_TXN];
  buf_t values[ROWS_PER_TXN] = { BUF_NULL };
  buf_t token = BUF_NULL;
  size_t count = 0;

  LIST_EACH (at, &ledger->sealed_batches)
    {
      batch_t *batch = CONTAINER_OF (at, batch_t, link);
      if (count == ROWS_PER_TXN)
        break;
      list_remove (at);
      billset_write (batch->bills, &values[count]);
      conditions[count] = (txn_condition_t){ buf_str (&batch->key), 0 };
      writes[count] = (txn_write_t){ buf_str (&batch->key),
                                     buf_str (&values[count]), false };
      ledger->in_flight[count++] = batch;
    }
  ledger->in_flight_count = count;
  ledger->stats.txns_sent++;
  store_append_token (ledger->store, &token);
  const txn_t txn = { conditions, count, writes, count, buf_str (&token) };
  store_txn (ledger->store, &txn, RESOLVE_TIMEOUT_MS, on_rows_sent, ledger);
  for (size_t i = 0; i < count; i++)
    buf_free (&values[i]);
  buf_free (&token);
}

/* Seal the open batches that are full or old.  While sealed batches wait for
   the store, only full batches are sealed, so that an outage results in a few
   full rows and not in many small ones.  */
static void
seal_due_batches (ledger_t *ledger)
{
  bool is_store_keeping_up = list_is_empty (&ledger->sealed_batches);
  uint64_t now = now_ms (ledger);

  LIST_EACH (at, &ledger->open_batches)
    {
      batch_t *batch = CONTAINER_OF (at, batch_t, link);
      bool is_old = now - batch->created_ms >= ledger->options.flush_ms;
      if (billset_size (batch->bills) >= ledger->options.flush_bills
          || (is_old && is_store_keeping_up))
        seal_batch (ledger, batch);
    }
}

static void run_compaction_step (ledger_t *ledger);

static void
on_tick (uv_timer_t *timer)
{
  ledger_t *ledger = timer->data;

  seal_due_batches (ledger);
  if (ledger->in_flight_count == 0 && !list_is_empty (&ledger->sealed_batches)
      && now_ms (ledger) >= ledger->next_send_ms)
    send_sealed_batches (ledger);
  run_compaction_step (ledger);
}

static void
set_defaults (ledger_options_t *options)
{
  if (options->flush_bills == 0)
    options->flush_bills = FLUSH_BILLS;
  if (options->flush_ms == 0)
    options->flush_ms = FLUSH_MS;
  if (options->pending_bills_max == 0)
    options->pending_bills_max = PENDING_BILLS_MAX;
  if (options->large_row_bills == 0)
    options->large_row_bills = LARGE_ROW_BILLS;
  if (options->compact_interval_ms == 0)
    options->compact_interval_ms = COMPACT_INTERVAL_MS;
}

ledger_t *
ledger_create (const control_env_t *env, const ledger_options_t *options)
{
  ledger_t *ledger = mem_zalloc (sizeof *ledger);

  ledger->store = store_create (env);
  ledger->env = *env;
  ledger->options = *options;
  set_defaults (&ledger->options);
  buf_append_str (&ledger->writer, options->writer);
  buf_printf (&ledger->epoch, "%013llu-",
              (unsigned long long)clock_realtime_ms (env->clock));
  store_append_token (ledger->store, &ledger->epoch);
  list_init (&ledger->open_batches);
  list_init (&ledger->sealed_batches);
  list_init (&ledger->reports);
  ledger->backoff = (backoff_t){ RETRY_DELAY_MIN_MS, RETRY_DELAY_MAX_MS, 0 };
  uv_timer_init (env->loop, &ledger->timer);
  ledger->timer.data = ledger;
  uv_timer_start (&ledger->timer, on_tick, TICK_MS, TICK_MS);
  return ledger;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
free_batches (list_t *batches)
{
  LIST_EACH (at, batches)
    batch_free (CONTAINER_OF (at, batch_t, link));
}

static void
report_free (report_t *report)
{
  billset_destroy (report->bills);
  buf_free (&report->date);
  buf_free (&report->last_key);
  free (report);
}

void
ledger_destroy (ledger_t *ledger)
{
  if (ledger == NULL)
    return;
  store_destroy (ledger->store);
  free_batches (&ledger->open_batches);
  free_batches (&ledger->sealed_batches);
  for (size_t i = 0; i < ledger->in_flight_count; i++)
    batch_free (ledger->in_flight[i]);
  LIST_EACH (at, &ledger->reports)
    {
      report_t *report = CONTAINER_OF (at, report_t, link);
      report->cb (report->arg, VH_E_CANCELLED, NULL, 0);
      report_free (report);
    }
  buf_free (&ledger->compaction.last_key);
  buf_free (&ledger->epoch);
  buf_free (&ledger->writer);
  uv_close ((uv_handle_t *)&ledger->timer, on_timer_closed);
}

/* Log an error once each time that the number of pending bills rises to 80%
   of the limit.  */
static void
check_pending_limit (ledger_t *ledger)
{
  bool is_near
      = ledger->pending_count >= ledger->options.pending_bills_max / 5 * 4;

  if (is_near && !ledger->is_near_limit)
    {
      ledger->stats.limit_warnings++;
      log_err (
          "ledger",
          "Pending bills have reached 80%% of the limit; at the limit, new "
          "bills are rejected. held=%zu bound=%zu",
          ledger->pending_count, ledger->options.pending_bills_max);
    }
  ledger->is_near_limit = is_near;
}

vh_code_t
ledger_add (ledger_t *ledger, const ledger_bill_t *bill)
{
  return ledger_add_all (ledger, bill, 1);
}

vh_code_t
ledger_add_all (ledger_t *ledger, const ledger_bill_t *bills, size_t count)
{
  char date[DAY_TEXT_SIZE];

  if (ledger->pending_count + count > ledger->options.pending_bills_max)
    {
      ledger->stats.bills_rejected += count;
      return VH_E_FULL;
    }
  for (size_t i = 0; i < count; i++)
    {
      format_date (date, bills[i].created_at_ms);
      batch_t *batch = get_open_batch (ledger, date);
      size_t size_before = billset_size (batch->bills);
      billset_add (batch->bills, &bills[i]);
      ledger->pending_count += billset_size (batch->bills) - size_before;
      if (billset_size (batch->bills) >= ledger->options.flush_bills)
        seal_batch (ledger, batch);
    }
  check_pending_limit (ledger);
  return VH_OK;
}

void
ledger_flush (ledger_t *ledger)
{
  LIST_EACH (at, &ledger->open_batches)
    seal_batch (ledger, CONTAINER_OF (at, batch_t, link));
}

void
ledger_set_flush_ms (ledger_t *ledger, uint64_t flush_ms)
{
  ledger->options.flush_ms = flush_ms;
}

size_t
ledger_pending_count (const ledger_t *ledger)
{
  return ledger->pending_count;
}

static void
each_bill (const batch_t *batch, void (*each) (void *, const ledger_bill_t *),
           void *arg)
{
  const ledger_bill_t *bills = billset_items (batch->bills);

  for (size_t i = 0; i < billset_size (batch->bills); i++)
    each (arg, &bills[i]);
}

void
ledger_foreach_pending (const ledger_t *ledger,
                        void (*each) (void *arg, const ledger_bill_t *bill),
                        void *arg)
{
  for (size_t i = 0; i < ledger->in_flight_count; i++)
    each_bill (ledger->in_flight[i], each, arg);
  LIST_EACH (at, &ledger->sealed_batches)
    each_bill (CONTAINER_OF (at, batch_t, link), each, arg);
  LIST_EACH (at, &ledger->open_batches)
    each_bill (CONTAINER_OF (at, batch_t, link), each, arg);
}

ledger_stats_t
ledger_stats (const ledger_t *ledger)
{
  return ledger->stats;
}

static int
compare_lines (const void *left, const void *right)
{
  const ledger_report_line_t *a = left;
  const ledger_report_line_t *b = right;
  int order = str_cmp (a->team, b->team);

  if (order == 0)
    order = str_cmp (a->model, b->model);
  return order != 0 ? order : str_cmp (a->version, b->version);
}

/* Sum BILLS by team, model and version into LINES, which has space for one
   line for each bill.  Return the number of lines.  */
static size_t
sum_bills (const billset_t *bills, ledger_report_line_t *lines)
{
  const ledger_bill_t *items = billset_items (bills);
  size_t count = 0;

  for (size_t i = 0; i < billset_size (bills); i++)
    lines[i] = (ledger_report_line_t){ items[i].team,    items[i].model,
                                       items[i].version, 1,
                                       items[i].tokens,  items[i].cost };
  qsort (lines, billset_size (bills), sizeof *lines, compare_lines);
  for (size_t i = 0; i < billset_size (bills); i++)
    {
      if (count == 0 || compare_lines (&lines[count - 1], &lines[i]) != 0)
        {
          lines[count++] = lines[i];
          continue;
        }
      lines[count - 1].requests += lines[i].requests;
      lines[count - 1].tokens += lines[i].tokens;
      lines[count - 1].cost += lines[i].cost;
    }
  return count;
}

static void
report_finish (report_t *report, vh_code_t code)
{
  ledger_report_line_t *lines
      = mem_zalloc ((billset_size (report->bills) + 1) * sizeof *lines);
  size_t count = code == VH_OK ? sum_bills (report->bills, lines) : 0;

  list_remove (&report->link);
  report->cb (report->arg, code, lines, count);
  free (lines);
  report_free (report);
}

static void read_report_page (report_t *report);

static void
on_report_page (void *arg, vh_code_t code, const row_t *rows, size_t count,
                bool more)
{
  report_t *report = arg;

  for (size_t i = 0; i < count && code == VH_OK; i++)
    code = billset_read (report->bills, rows[i].value);
  bool is_prefix_done = !more || count == 0;
  if (code != VH_OK || (is_prefix_done && report->reads_large_rows))
    {
      report_finish (report, code);
      return;
    }
  report->last_key.len = 0;
  /* Small rows are read first because compaction moves bills from small to
     large rows, and a moved bill must not be missed.  */
  if (is_prefix_done)
    report->reads_large_rows = true;
  else
    buf_append_str (&report->last_key, rows[count - 1].key);
  read_report_page (report);
}

static void
read_report_page (report_t *report)
{
  buf_t prefix = BUF_NULL;

  buf_append_str (&prefix, report->reads_large_rows ? LARGE_ROW_PREFIX
                                                    : SMALL_ROW_PREFIX);
  buf_append_str (&prefix, buf_str (&report->date));
  buf_append_char (&prefix, '/');
  store_scan (report->ledger->store, buf_str (&prefix),
              buf_str (&report->last_key), REPORT_PAGE_ROWS, on_report_page,
              report);
  buf_free (&prefix);
}

void
ledger_report (ledger_t *ledger, str_t date, ledger_report_cb_t cb, void *arg)
{
  report_t *report = mem_zalloc (sizeof *report);

  /* XXX: all bills of a day are in memory at once, about 300 bytes each.  A
     day with more than a few million bills would need several passes, each
     over a part of the request ids.  */
  report->ledger = ledger;
  report->cb = cb;
  report->arg = arg;
  report->bills = billset_create ();
  buf_append_str (&report->date, date);
  list_append (&ledger->reports, &report->link);
  read_report_page (report);
}

static void
on_compaction_written (void *arg, vh_code_t code, uint64_t version,
                       str_t conflict_key)
{
  ledger_t *ledger = arg;

  (void)version;
  (void)conflict_key;
  ledger->compaction.is_step_pending = false;
  /* After an error the outcome is unknown, but need not be resolved: the next
     step reads the current rows.  */
  if (code == VH_OK)
    ledger->stats.rows_merged += ledger->compaction.rows_to_remove;
}

/* Replace the COUNT rows by one row with BILLS, the union of their bills.
   The new row has the key of the last row, or, if the new row is large, a key
   with the prefix of large rows, which compaction does not read.  */
static void
merge_rows (ledger_t *ledger, const row_t *rows, size_t count,
            const billset_t *bills)
{
  txn_condition_t conditions[COMPACT_PAGE_ROWS + 2];
  txn_write_t writes[COMPACT_PAGE_ROWS + 1];
  size_t condition_count = 0;
  size_t write_count = 0;
  buf_t value = BUF_NULL;
  buf_t key = BUF_NULL;
  bool is_large_result
      = billset_size (bills) >= ledger->options.large_row_bills;

  for (size_t i = 0; i < count; i++)
    {
      conditions[condition_count++]
          = (txn_condition_t){ rows[i].key, rows[i].version };
      if (i + 1 < count || is_large_result)
        writes[write_count++] = (txn_write_t){ rows[i].key, STR_NULL, true };
    }
  str_t last = rows[count - 1].key;
  if (is_large_result)
    {
      size_t prefix_len = SMALL_ROW_PREFIX.len;
      buf_append_str (&key, LARGE_ROW_PREFIX);
      buf_append (&key, last.ptr + prefix_len, last.len - prefix_len);
      conditions[condition_count++] = (txn_condition_t){ buf_str (&key), 0 };
    }
  else
    buf_append_str (&key, last);
  billset_write (bills, &value);
  writes[write_count++]
      = (txn_write_t){ buf_str (&key), buf_str (&value), false };
  conditions[condition_count++] = lease_condition (ledger->options.lease);
  const txn_t txn
      = { conditions, condition_count, writes, write_count, STR_NULL };
  ledger->compaction.rows_to_remove = count - 1;
  store_txn (ledger->store, &txn, 0, on_compaction_written, ledger);
  buf_free (&value);
  buf_free (&key);
}

/* Return whether ROW is too large to be merged, estimated from the length of
   its value without parsing it.  */
static bool
is_large (const ledger_t *ledger, const row_t *row)
{
  return row->value.len >= ledger->options.large_row_bills * BILL_ROW_BYTES;
}

/* Add to BILLS the bills of consecutive rows, starting with the first row,
   until BILLS would make a large row.  Return the number of rows read.  A row
   that cannot be parsed ends the run and is kept for manual inspection.  */
static size_t
read_mergeable_rows (const ledger_t *ledger, const row_t *rows, size_t count,
                     billset_t *bills)
{
  size_t row_count = 0;

  while (row_count < count
         && billset_size (bills) < ledger->options.large_row_bills
         && !is_large (ledger, &rows[row_count]))
    {
      if (billset_read (bills, rows[row_count].value) != VH_OK)
        break;
      row_count++;
    }
  return row_count;
}

/* Move ROW, which is large, to the prefix of large rows, which compaction
   does not read.  */
static void
move_large_row (ledger_t *ledger, const row_t *row)
{
  buf_t key = BUF_NULL;

  buf_append_str (&key, LARGE_ROW_PREFIX);
  buf_append (&key, row->key.ptr + SMALL_ROW_PREFIX.len,
              row->key.len - SMALL_ROW_PREFIX.len);
  const txn_condition_t conditions[]
      = { { row->key, row->version },
          { buf_str (&key), 0 },
          lease_condition (ledger->options.lease) };
  const txn_write_t writes[] = { { row->key, STR_NULL, true },
                                 { buf_str (&key), row->value, false } };
  const txn_t txn = { conditions, 3, writes, 2, STR_NULL };
  ledger->compaction.rows_to_remove = 0;
  store_txn (ledger->store, &txn, 0, on_compaction_written, ledger);
  buf_free (&key);
}

/* Merge the first run of at least two small rows, or move a large row that
   precedes it.  Return false if there is neither.  */
static bool
merge_first_run (ledger_t *ledger, const row_t *rows, size_t count)
{
  for (size_t first = 0; first < count; first++)
    {
      if (is_large (ledger, &rows[first]))
        {
          move_large_row (ledger, &rows[first]);
          return true;
        }
      if (first + 1 == count)
        break;
      billset_t *bills = billset_create ();
      size_t row_count
          = read_mergeable_rows (ledger, &rows[first], count - first, bills);
      if (row_count >= 2)
        merge_rows (ledger, &rows[first], row_count, bills);
      billset_destroy (bills);
      if (row_count >= 2)
        return true;
    }
  return false;
}

static void
advance_day (compaction_t *compaction)
{
  compaction->last_key.len = 0;
  compaction->days_back = (compaction->days_back + 1) % COMPACT_DAYS;
}

static void
on_compaction_page (void *arg, vh_code_t code, const row_t *rows, size_t count,
                    bool more)
{
  ledger_t *ledger = arg;
  compaction_t *compaction = &ledger->compaction;

  if (code != VH_OK || !lease_is_held (ledger->options.lease))
    {
      compaction->is_step_pending = false;
      return;
    }
  if (merge_first_run (ledger, rows, count))
    {
      compaction->idle_steps = 0;
      return;
    }
  compaction->idle_steps++;
  compaction->is_step_pending = false;
  if (!more || count == 0)
    advance_day (compaction);
  else
    {
      compaction->last_key.len = 0;
      buf_append_str (&compaction->last_key, rows[count - 1].key);
    }
}

/* Start a compaction step if one is due: read one page of the small rows of
   a day and merge the first run of rows in it.  */
static void
run_compaction_step (ledger_t *ledger)
{
  compaction_t *compaction = &ledger->compaction;
  uint64_t now = now_ms (ledger);
  char date[DAY_TEXT_SIZE];
  buf_t prefix = BUF_NULL;

  if (ledger->options.lease == NULL || compaction->is_step_pending
      || now < compaction->next_compaction_step_ms
      || !lease_is_held (ledger->options.lease))
    return;
  compaction->is_step_pending = true;
  compaction->next_compaction_step_ms
      = now + ledger->options.compact_interval_ms;
  if (compaction->idle_steps >= IDLE_STEPS)
    compaction->next_compaction_step_ms
        += ledger->options.compact_interval_ms * IDLE_INTERVAL_FACTOR;
  format_date (date, clock_realtime_ms (ledger->env.clock)
                         - compaction->days_back * DAY_S * 1000ull);
  buf_printf (&prefix, "%s%s/", SMALL_ROW_PREFIX.ptr, date);
  store_scan (ledger->store, buf_str (&prefix),
              buf_str (&compaction->last_key), COMPACT_PAGE_ROWS,
              on_compaction_page, ledger);
  buf_free (&prefix);
}
