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
  /* About 300 bytes a bill.  */
  BILLS_MAX = 100000,
  COMPACT_MS = 500,
  TICK_MS = 20,
  /* After an outage full rows go out so many to a transaction.  */
  ROWS_A_TXN = 8,
  PATIENCE_MS = 30000,
  RETRY_MIN_MS = 100,
  RETRY_MAX_MS = 5000,
  REPORT_ROWS = 20,
  /* One step reads and merges this much on the loop that answers callers: 64
     rows of 500 bills held it up for 100 ms.  */
  COMPACT_ROWS = 8,
  /* A row of so many bills is left alone.  Merging full rows of a
     busy entry again and again into ever larger ones took 50 ms a step.  */
  LARGE_BILLS = 350,
  BILL_BYTES = 128, /* No bill of usual names is longer in a row.  */
  /* Steps without work after which compaction slows down, and by how much.  */
  IDLE_STEPS = 6,
  IDLE_FACTOR = 30,
  /* Bills of the last days may still come in.  */
  COMPACT_DAYS = 3,
  DAY_S = 24 * 3600,
  DAY_SIZE = 16
};

#define SMALL_PREFIX STR ("ledger/")
#define LARGE_PREFIX STR ("ledger-large/")

typedef struct
{
  list_t link;
  char day[DAY_SIZE];
  uint64_t opened_ms;
  buf_t key; /* Empty until the batch is sealed.  */
  billset_t *bills;
} batch_t;

typedef struct
{
  list_t link;
  ledger_t *ledger;
  buf_t day;
  bool large; /* Reading the large rows.  */
  buf_t after;
  billset_t *bills;
  ledger_report_cb_t cb;
  void *arg;
} report_t;

typedef struct
{
  bool busy;
  uint64_t next_ms;
  uint64_t day; /* How many days back.  */
  buf_t after;
  size_t merging; /* Rows that go if the merge succeeds.  */
  int idle_steps; /* In a row.  */
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
  list_t open;   /* One a day.  */
  list_t sealed; /* In order.  */
  batch_t *sent[ROWS_A_TXN];
  size_t sent_count;
  size_t pending;
  bool near_bound;
  backoff_t backoff;
  uint64_t not_before_ms;
  list_t reports;
  compaction_t compaction;
  ledger_figures_t figures;
};

static uint64_t
now_ms (const ledger_t *ledger)
{
  return clock_ms (ledger->env.clock);
}

static void
format_day (char *day, uint64_t at_ms)
{
  time_t seconds = (time_t)(at_ms / 1000);
  struct tm tm;

  gmtime_r (&seconds, &tm);
  strftime (day, DAY_SIZE, "%Y-%m-%d", &tm);
}

static void
batch_free (batch_t *batch)
{
  billset_destroy (batch->bills);
  buf_free (&batch->key);
  free (batch);
}

static batch_t *
open_batch (ledger_t *ledger, const char *day)
{
  LIST_EACH (at, &ledger->open)
    {
      batch_t *batch = CONTAINER_OF (at, batch_t, link);
      if (strcmp (batch->day, day) == 0)
        return batch;
    }
  batch_t *batch = mem_zalloc (sizeof *batch);
  snprintf (batch->day, sizeof batch->day, "%s", day);
  batch->opened_ms = now_ms (ledger);
  batch->bills = billset_create ();
  list_append (&ledger->open, &batch->link);
  return batch;
}

static void
seal (ledger_t *ledger, batch_t *batch)
{
  buf_printf (&batch->key, "ledger/%s/%.*s/%.*s/%08llu", batch->day,
              STR_ARG (buf_str (&ledger->writer)),
              STR_ARG (buf_str (&ledger->epoch)),
              (unsigned long long)++ledger->sequence);
  list_remove (&batch->link);
  list_append (&ledger->sealed, &batch->link);
}

static void
on_row_written (ledger_t *ledger, batch_t *batch)
{
  size_t count = billset_size (batch->bills);

  ledger->figures.rows++;
  ledger->figures.bills += count;
  ledger->pending -= count;
  if (ledger->options.written != NULL)
    ledger->options.written (ledger->options.owner,
                             billset_items (batch->bills), count);
  batch_free (batch);
}

/* Put back what was sent, before the rest.  */
static void
unsend (ledger_t *ledger)
{
  for (size_t i = ledger->sent_count; i-- > 0;)
    list_append (ledger->sealed.next, &ledger->sent[i]->link);
  ledger->sent_count = 0;
}

static void
on_sent (void *arg, vh_code_t code, uint64_t version, str_t conflict_key)
{
  ledger_t *ledger = arg;

  (void)version;
  if (code == VH_OK)
    {
      size_t count = ledger->sent_count;
      ledger->sent_count = 0;
      backoff_reset (&ledger->backoff);
      for (size_t i = 0; i < count; i++)
        on_row_written (ledger, ledger->sent[i]);
      return;
    }
  if (code == VH_E_CONFLICT)
    {
      /* The key is of this start alone: an earlier attempt wrote the row and
         its reply was lost.  */
      for (size_t i = 0; i < ledger->sent_count; i++)
        if (str_eq (buf_str (&ledger->sent[i]->key), conflict_key))
          {
            batch_t *batch = ledger->sent[i];
            ledger->sent[i] = ledger->sent[--ledger->sent_count];
            on_row_written (ledger, batch);
            break;
          }
      unsend (ledger);
      return;
    }
  unsend (ledger);
  ledger->not_before_ms
      = now_ms (ledger)
        + backoff_next (&ledger->backoff, store_rng (ledger->store));
}

static void
send_rows (ledger_t *ledger)
{
  txn_condition_t conditions[ROWS_A_TXN];
  txn_write_t writes[ROWS_A_TXN];
  buf_t values[ROWS_A_TXN] = { BUF_NULL };
  buf_t token = BUF_NULL;
  size_t count = 0;

  LIST_EACH (at, &ledger->sealed)
    {
      batch_t *batch = CONTAINER_OF (at, batch_t, link);
      if (count == ROWS_A_TXN)
        break;
      list_remove (at);
      billset_write (batch->bills, &values[count]);
      conditions[count] = (txn_condition_t){ buf_str (&batch->key), 0 };
      writes[count] = (txn_write_t){ buf_str (&batch->key),
                                     buf_str (&values[count]), false };
      ledger->sent[count++] = batch;
    }
  ledger->sent_count = count;
  ledger->figures.txns++;
  store_append_token (ledger->store, &token);
  const txn_t txn = { conditions, count, writes, count, buf_str (&token) };
  store_txn (ledger->store, &txn, PATIENCE_MS, on_sent, ledger);
  for (size_t i = 0; i < count; i++)
    buf_free (&values[i]);
  buf_free (&token);
}

/* Seal what is full or old.  While rows wait for the store an open batch goes
   on filling: an outage ends in few full rows, not many small ones.  */
static void
seal_due (ledger_t *ledger)
{
  bool store_keeps_up = list_is_empty (&ledger->sealed);
  uint64_t now = now_ms (ledger);

  LIST_EACH (at, &ledger->open)
    {
      batch_t *batch = CONTAINER_OF (at, batch_t, link);
      bool old = now - batch->opened_ms >= ledger->options.flush_ms;
      if (billset_size (batch->bills) >= ledger->options.flush_bills
          || (old && store_keeps_up))
        seal (ledger, batch);
    }
}

static void compact (ledger_t *ledger);

static void
on_tick (uv_timer_t *timer)
{
  ledger_t *ledger = timer->data;

  seal_due (ledger);
  if (ledger->sent_count == 0 && !list_is_empty (&ledger->sealed)
      && now_ms (ledger) >= ledger->not_before_ms)
    send_rows (ledger);
  compact (ledger);
}

static void
set_defaults (ledger_options_t *options)
{
  if (options->flush_bills == 0)
    options->flush_bills = FLUSH_BILLS;
  if (options->flush_ms == 0)
    options->flush_ms = FLUSH_MS;
  if (options->bills_max == 0)
    options->bills_max = BILLS_MAX;
  if (options->large_bills == 0)
    options->large_bills = LARGE_BILLS;
  if (options->compact_ms == 0)
    options->compact_ms = COMPACT_MS;
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
  list_init (&ledger->open);
  list_init (&ledger->sealed);
  list_init (&ledger->reports);
  ledger->backoff = (backoff_t){ RETRY_MIN_MS, RETRY_MAX_MS, 0 };
  uv_timer_init (env->loop, &ledger->timer);
  ledger->timer.data = ledger;
  uv_timer_start (&ledger->timer, on_tick, TICK_MS, TICK_MS);
  return ledger;
}

static void
on_closed (uv_handle_t *handle)
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
  buf_free (&report->day);
  buf_free (&report->after);
  free (report);
}

void
ledger_destroy (ledger_t *ledger)
{
  if (ledger == NULL)
    return;
  store_destroy (ledger->store);
  free_batches (&ledger->open);
  free_batches (&ledger->sealed);
  for (size_t i = 0; i < ledger->sent_count; i++)
    batch_free (ledger->sent[i]);
  LIST_EACH (at, &ledger->reports)
    {
      report_t *report = CONTAINER_OF (at, report_t, link);
      report->cb (report->arg, VH_E_CANCELLED, NULL, 0);
      report_free (report);
    }
  buf_free (&ledger->compaction.after);
  buf_free (&ledger->epoch);
  buf_free (&ledger->writer);
  uv_close ((uv_handle_t *)&ledger->timer, on_closed);
}

/* Say loudly, once each time, that the store must come back soon.  */
static void
watch_bound (ledger_t *ledger)
{
  bool near = ledger->pending >= ledger->options.bills_max / 5 * 4;

  if (near && !ledger->near_bound)
    {
      ledger->figures.near_bound++;
      log_err ("ledger",
               "Unwritten bills are near the bound. held=%zu bound=%zu",
               ledger->pending, ledger->options.bills_max);
    }
  ledger->near_bound = near;
}

vh_code_t
ledger_add (ledger_t *ledger, const bill_t *bill)
{
  return ledger_adopt (ledger, bill, 1);
}

vh_code_t
ledger_adopt (ledger_t *ledger, const bill_t *bills, size_t count)
{
  char day[DAY_SIZE];

  if (ledger->pending + count > ledger->options.bills_max)
    {
      ledger->figures.refused += count;
      return VH_E_FULL;
    }
  for (size_t i = 0; i < count; i++)
    {
      format_day (day, bills[i].at_ms);
      batch_t *batch = open_batch (ledger, day);
      size_t before = billset_size (batch->bills);
      billset_add (batch->bills, &bills[i]);
      ledger->pending += billset_size (batch->bills) - before;
      if (billset_size (batch->bills) >= ledger->options.flush_bills)
        seal (ledger, batch);
    }
  watch_bound (ledger);
  return VH_OK;
}

void
ledger_flush (ledger_t *ledger)
{
  LIST_EACH (at, &ledger->open)
    seal (ledger, CONTAINER_OF (at, batch_t, link));
}

void
ledger_set_flush_ms (ledger_t *ledger, uint64_t flush_ms)
{
  ledger->options.flush_ms = flush_ms;
}

size_t
ledger_pending_count (const ledger_t *ledger)
{
  return ledger->pending;
}

static void
each_bill (const batch_t *batch, void (*each) (void *, const bill_t *),
           void *arg)
{
  const bill_t *bills = billset_items (batch->bills);

  for (size_t i = 0; i < billset_size (batch->bills); i++)
    each (arg, &bills[i]);
}

void
ledger_foreach_pending (const ledger_t *ledger,
                        void (*each) (void *arg, const bill_t *bill),
                        void *arg)
{
  for (size_t i = 0; i < ledger->sent_count; i++)
    each_bill (ledger->sent[i], each, arg);
  LIST_EACH (at, &ledger->sealed)
    each_bill (CONTAINER_OF (at, batch_t, link), each, arg);
  LIST_EACH (at, &ledger->open)
    each_bill (CONTAINER_OF (at, batch_t, link), each, arg);
}

ledger_figures_t
ledger_figures (const ledger_t *ledger)
{
  return ledger->figures;
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

/* Add up BILLS, one line to each team, model and version, into LINES, which
   has room for all; return their number.  */
static size_t
add_up (const billset_t *bills, ledger_report_line_t *lines)
{
  const bill_t *items = billset_items (bills);
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
report_end (report_t *report, vh_code_t code)
{
  ledger_report_line_t *lines
      = mem_zalloc ((billset_size (report->bills) + 1) * sizeof *lines);
  size_t count = code == VH_OK ? add_up (report->bills, lines) : 0;

  list_remove (&report->link);
  report->cb (report->arg, code, lines, count);
  free (lines);
  report_free (report);
}

static void read_page (report_t *report);

static void
on_page (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  report_t *report = arg;

  for (size_t i = 0; i < count && code == VH_OK; i++)
    code = billset_read (report->bills, rows[i].value);
  bool prefix_done = !more || count == 0;
  if (code != VH_OK || (prefix_done && report->large))
    {
      report_end (report, code);
      return;
    }
  report->after.len = 0;
  /* The small rows first: bills move from these to the large ones.  */
  if (prefix_done)
    report->large = true;
  else
    buf_append_str (&report->after, rows[count - 1].key);
  read_page (report);
}

static void
read_page (report_t *report)
{
  buf_t prefix = BUF_NULL;

  buf_append_str (&prefix, report->large ? LARGE_PREFIX : SMALL_PREFIX);
  buf_append_str (&prefix, buf_str (&report->day));
  buf_append_char (&prefix, '/');
  store_scan (report->ledger->store, buf_str (&prefix),
              buf_str (&report->after), REPORT_ROWS, on_page, report);
  buf_free (&prefix);
}

void
ledger_report (ledger_t *ledger, str_t day, ledger_report_cb_t cb, void *arg)
{
  report_t *report = mem_zalloc (sizeof *report);

  /* XXX: all request ids of a day are in memory at once, some 300 bytes
     each; a day of more than a few million wants passes by part of the ids.
     */
  report->ledger = ledger;
  report->cb = cb;
  report->arg = arg;
  report->bills = billset_create ();
  buf_append_str (&report->day, day);
  list_append (&ledger->reports, &report->link);
  read_page (report);
}

static void
on_merged (void *arg, vh_code_t code, uint64_t version, str_t conflict_key)
{
  ledger_t *ledger = arg;

  (void)version;
  (void)conflict_key;
  ledger->compaction.busy = false;
  /* Without VH_OK nothing is known and nothing need be: the next look reads
     the rows as they are.  */
  if (code == VH_OK)
    ledger->figures.merged_rows += ledger->compaction.merging;
}

/* Write BILLS, all those of the COUNT rows, as one row in place of them: the
   last of them, or, when it has become large, one that no later step reads
   again.  */
static void
merge (ledger_t *ledger, const row_t *rows, size_t count,
       const billset_t *bills)
{
  txn_condition_t conditions[COMPACT_ROWS + 2];
  txn_write_t writes[COMPACT_ROWS + 1];
  size_t condition_count = 0;
  size_t write_count = 0;
  buf_t value = BUF_NULL;
  buf_t key = BUF_NULL;
  bool large = billset_size (bills) >= ledger->options.large_bills;

  for (size_t i = 0; i < count; i++)
    {
      conditions[condition_count++]
          = (txn_condition_t){ rows[i].key, rows[i].version };
      if (i + 1 < count || large)
        writes[write_count++] = (txn_write_t){ rows[i].key, STR_NULL, true };
    }
  str_t last = rows[count - 1].key;
  if (large)
    {
      size_t skip = SMALL_PREFIX.len;
      buf_append_str (&key, LARGE_PREFIX);
      buf_append (&key, last.ptr + skip, last.len - skip);
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
  ledger->compaction.merging = count - 1;
  store_txn (ledger->store, &txn, 0, on_merged, ledger);
  buf_free (&value);
  buf_free (&key);
}

/* Tell by its length, before it is read, that ROW is to be left alone.  */
static bool
is_large (const ledger_t *ledger, const row_t *row)
{
  return row->value.len >= ledger->options.large_bills * BILL_BYTES;
}

/* Gather in BILLS the rows from the first on until they make a large one;
   return how many.  A row that cannot be read ends the run: it stays for a
   person to look at.  */
static size_t
gather (const ledger_t *ledger, const row_t *rows, size_t count,
        billset_t *bills)
{
  size_t taken = 0;

  while (taken < count && billset_size (bills) < ledger->options.large_bills
         && !is_large (ledger, &rows[taken]))
    {
      if (billset_read (bills, rows[taken].value) != VH_OK)
        break;
      taken++;
    }
  return taken;
}

/* Put ROW, large as it is, where compaction does not look again.  */
static void
move_aside (ledger_t *ledger, const row_t *row)
{
  buf_t key = BUF_NULL;

  buf_append_str (&key, LARGE_PREFIX);
  buf_append (&key, row->key.ptr + SMALL_PREFIX.len,
              row->key.len - SMALL_PREFIX.len);
  const txn_condition_t conditions[]
      = { { row->key, row->version },
          { buf_str (&key), 0 },
          lease_condition (ledger->options.lease) };
  const txn_write_t writes[] = { { row->key, STR_NULL, true },
                                 { buf_str (&key), row->value, false } };
  const txn_t txn = { conditions, 3, writes, 2, STR_NULL };
  ledger->compaction.merging = 0;
  store_txn (ledger->store, &txn, 0, on_merged, ledger);
  buf_free (&key);
}

/* Merge the first run of at least two rows.  Return false when there is none
   among them.  */
static bool
merge_first_run (ledger_t *ledger, const row_t *rows, size_t count)
{
  for (size_t first = 0; first < count; first++)
    {
      if (is_large (ledger, &rows[first]))
        {
          move_aside (ledger, &rows[first]);
          return true;
        }
      if (first + 1 == count)
        break;
      billset_t *bills = billset_create ();
      size_t taken = gather (ledger, &rows[first], count - first, bills);
      if (taken >= 2)
        merge (ledger, &rows[first], taken, bills);
      billset_destroy (bills);
      if (taken >= 2)
        return true;
    }
  return false;
}

static void
next_day (compaction_t *compaction)
{
  compaction->after.len = 0;
  compaction->day = (compaction->day + 1) % COMPACT_DAYS;
}

static void
on_small_rows (void *arg, vh_code_t code, const row_t *rows, size_t count,
               bool more)
{
  ledger_t *ledger = arg;
  compaction_t *compaction = &ledger->compaction;

  if (code != VH_OK || !lease_is_held (ledger->options.lease))
    {
      compaction->busy = false;
      return;
    }
  if (merge_first_run (ledger, rows, count))
    {
      compaction->idle_steps = 0;
      return;
    }
  compaction->idle_steps++;
  compaction->busy = false;
  if (!more || count == 0)
    next_day (compaction);
  else
    {
      compaction->after.len = 0;
      buf_append_str (&compaction->after, rows[count - 1].key);
    }
}

/* One step: read a page of a day's rows and merge the first run in it.  */
static void
compact (ledger_t *ledger)
{
  compaction_t *compaction = &ledger->compaction;
  uint64_t now = now_ms (ledger);
  char day[DAY_SIZE];
  buf_t prefix = BUF_NULL;

  if (ledger->options.lease == NULL || compaction->busy
      || now < compaction->next_ms || !lease_is_held (ledger->options.lease))
    return;
  compaction->busy = true;
  compaction->next_ms = now + ledger->options.compact_ms;
  if (compaction->idle_steps >= IDLE_STEPS)
    compaction->next_ms += ledger->options.compact_ms * IDLE_FACTOR;
  format_day (day, clock_realtime_ms (ledger->env.clock)
                       - compaction->day * DAY_S * 1000ull);
  buf_printf (&prefix, "%s%s/", SMALL_PREFIX.ptr, day);
  store_scan (ledger->store, buf_str (&prefix), buf_str (&compaction->after),
              COMPACT_ROWS, on_small_rows, ledger);
  buf_free (&prefix);
}
