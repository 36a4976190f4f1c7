#include "gateway/speed_rows.h"

#include "base/eventlog.h"
#include "base/map.h"
#include "base/mem.h"
#include "gateway/gatewayint.h"
#include "policy/speed_codec.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* Largest number of instances of which factors are kept, above the 11,000 of
     the target.  */
  ENTRIES_MAX = 16384,
  /* Interval at which own factors are taken over.  */
  COLLECT_INTERVAL_MS = 1000,
  /* Time after an entry was written for which it is passed on to the pool as
     new, between these two.  */
  HOLD_MIN_MS = 5000,
  HOLD_MAX_MS = 15000,
  /* Interval at which the row is applied again: half of the time in which a
     factor that was heard loses half of its weight.  */
  APPLY_INTERVAL_MS = INSTANCE_SPEED_HALF_LIFE_MS / 2,
  /* Interval at which it is checked which instances are registered.  */
  CHECK_INTERVAL_MS = 5000,
  /* Time for which the factor of an instance that is not registered is kept:
     longer than the registration of an instance takes to arrive after its
     factor.  */
  ORPHAN_TIMEOUT_MS = 30000,
  /* Age from which a factor is neither sent nor merged: the instance may have
     changed since.  */
  FACTOR_AGE_MAX_MS = 10000,
  RESEND_INTERVAL_MS = 2000,
  MESSAGE_ENTRIES_MAX = 64,
  /* Entries a second that all gateways together send to the root of a small
     fleet: 1.4 KB/s.  In a large fleet a reader of a zone gets its zone's part
     of it.  */
  SENT_ENTRIES_PER_S = 128,
  /* Entries a second that a reader of a zone sends on.  */
  PASSED_ENTRIES_PER_S = 32,
  /* Time over which a gateway saves up entries that it does not send.  */
  SAVE_UP_S = 8,
  /* Shortest time between two writes of the row by this gateway, also after a
     failed write.  */
  WRITE_INTERVAL_MS = 2000,
  /* The same if no factor changed by much: on machines that are shared with
     other work some factor is always off by written_ratio, and each write is
     charged.  */
  CALM_WRITE_INTERVAL_MS = 15000,
  /* Bytes a second of rows that change all the time: a full row is written
     every 8 s at most.  Each gateway gets as many.  */
  ROW_BYTES_PER_S = 700,
  /* Number of gateways that makes the weight of a message in the mean least,
     WEIGHT_GATEWAYS / 2 messages.  Gateways that see an instance slow down at
     the same time then make up for the weight by their number.  */
  WEIGHT_GATEWAYS = 16,
  /* Messages that a mean counts as after FACTOR_AGE_MAX_MS without one: rare
     messages of an instance that recovered must change it soon.  */
  STALE_MESSAGES = 3,
  MS_PER_S = 1000
};

/* Ratio from which on a factor is sent.  */
static const double sent_ratio = 1.1;

/* Ratio from which on a factor is written.  */
static const double written_ratio = 1.25;

/* Ratio from which on a factor is written as soon as possible.  The means of
   instances that share their machines with other work differ by less, 12% in a
   standard deviation, from one time to another.  */
static const double urgent_ratio = 1.5;

/* A factor as it was last sent or merged.  */
typedef struct
{
  double factor; /* 0: never.  */
  uint64_t at_ms;
} sent_factor_t;

/* What is known of one process of an instance.  Times are monotonic, and
   factors are 0 if there is none.  */
typedef struct
{
  uint64_t process;
  double own; /* From the reports to this gateway.  */
  uint64_t own_ms;
  sent_factor_t own_sent; /* OWN as sent, or merged here.  */
  double merged;          /* Mean over the gateways.  */
  uint64_t merged_ms;
  uint32_t merge_count;
  sent_factor_t merged_sent; /* MERGED as sent on.  */
  double row;                /* Factor in the row.  */
  uint64_t seen_ms; /* Time at which the instance was last registered, or
                       this entry was created.  */
} entry_t;

struct speed_rows
{
  speed_rows_options_t options;
  map_t *entries; /* Map of process to entry_t.  */
  size_t cursor;  /* Where the next message begins in ENTRIES.  */
  double credit;  /* Entries that may be sent now.  */
  uint64_t credit_ms;
  uint64_t collected_ms;
  uint64_t checked_ms;
  speed_codec_list_t *row; /* The row as last read.  */
  uint64_t row_version;    /* 0: there is no row.  */
  uint64_t row_read_ms;
  int64_t store_time_offset_ms; /* Store's clock minus monotonic time.  */
  bool has_store_time;          /* STORE_TIME_OFFSET_MS is known.  */
  bool is_row_copy;    /* The row is from an older copy of the table.  */
  uint64_t applied_ms; /* Time at which the row was last applied.  */
  bool is_row_full;
  double row_least;         /* Least distance from 1 in the row.  */
  speed_codec_list_t *list; /* For messages.  */
  buf_t written;            /* Row that was written last.  */
  uint64_t written_ms;      /* Time of that; 0: none.  */
  bool is_write_pending;
  bool is_changed; /* The row may lack something since it was checked.  */
  bool is_copy;    /* The rows are from an older copy of the table.  */
};

static uint64_t
now_ms_of (const speed_rows_t *speed_rows)
{
  return clock_ms (speed_rows->options.clock);
}

static uint64_t
elapsed_ms (uint64_t now_ms, uint64_t then_ms)
{
  return now_ms > then_ms ? now_ms - then_ms : 0;
}

/* Return whether A and B differ by a ratio of at least RATIO.  */
static bool
differs (double a, double b, double ratio)
{
  return a >= b * ratio || b >= a * ratio;
}

static double
distance_from_1 (double factor)
{
  return fabs (log (factor));
}

/* Return whether this gateway gets the factors that others send for the row,
   and so writes it.  */
static bool
is_writer (const speed_rows_t *speed_rows)
{
  return speed_rows->options.peer_rows == NULL
         || peer_rows_is_reader (speed_rows->options.peer_rows);
}

static str_t
process_key (const uint64_t *process)
{
  return str_make ((const char *)process, sizeof *process);
}

/* Return the entry of PROCESS, which is added if it is missing, or NULL if
   there are too many.  */
static entry_t *
find_or_add (speed_rows_t *speed_rows, uint64_t process, uint64_t now_ms)
{
  entry_t *entry = map_get (speed_rows->entries, process_key (&process));
  const speed_codec_entry_t *in_row;

  if (entry != NULL || map_size (speed_rows->entries) >= ENTRIES_MAX)
    return entry;
  entry = mem_zalloc (sizeof *entry);
  entry->process = process;
  entry->seen_ms = now_ms;
  in_row = speed_codec_find (speed_rows->row, process);
  if (in_row != NULL)
    entry->row = in_row->factor;
  map_put (speed_rows->entries, process_key (&process), entry);
  return entry;
}

/* Return the weight of the next message in the mean of ENTRY.  */
static double
merge_weight (const speed_rows_t *speed_rows, const entry_t *entry)
{
  size_t gateways = allotment_gateway_count (speed_rows->options.gateways);
  double messages_max = fmin (fmax ((double)gateways, 4), WEIGHT_GATEWAYS) / 2;

  return 1 / fmin (entry->merge_count, messages_max);
}

/* Merge FACTOR, found at FOUND_MS, into ENTRY.  */
static void
merge (speed_rows_t *speed_rows, entry_t *entry, double factor,
       uint64_t found_ms)
{
  if (entry->merged == 0)
    entry->merge_count = 0;
  else if (found_ms > entry->merged_ms + FACTOR_AGE_MAX_MS
           && entry->merge_count > STALE_MESSAGES)
    entry->merge_count = STALE_MESSAGES;
  entry->merge_count++;
  entry->merged += (factor - entry->merged) * merge_weight (speed_rows, entry);
  if (found_ms > entry->merged_ms)
    entry->merged_ms = found_ms;
  speed_rows->is_changed = true;
}

/* Return whether FACTOR of ENTRY, found at FOUND_MS and last sent as SENT, is
   to be sent.  */
static bool
is_due (const speed_rows_t *speed_rows, const entry_t *entry, double factor,
        uint64_t found_ms, const sent_factor_t *sent, uint64_t now_ms)
{
  if (factor == 0 || elapsed_ms (now_ms, found_ms) > FACTOR_AGE_MAX_MS)
    return false;
  if (entry->row != 0 && !differs (factor, entry->row, sent_ratio))
    return false;
  if (entry->row == 0 && speed_rows->is_row_full
      && distance_from_1 (factor)
             < speed_rows->row_least + log (written_ratio))
    return false;
  if (sent->factor == 0 || differs (factor, sent->factor, sent_ratio))
    return true;
  return now_ms - sent->at_ms >= RESEND_INTERVAL_MS
         && (entry->row == 0 || differs (factor, entry->row, written_ratio));
}

/* Merge the own factor of ENTRY, as that of another gateway would be.  */
static void
merge_own_if_due (speed_rows_t *speed_rows, entry_t *entry, uint64_t now_ms)
{
  if (!is_due (speed_rows, entry, entry->own, entry->own_ms, &entry->own_sent,
               now_ms))
    return;
  entry->own_sent = (sent_factor_t){ entry->own, now_ms };
  merge (speed_rows, entry, entry->own, entry->own_ms);
}

/* Messages.  */

/* Return the number of entries that this gateway may send now.
   IS_INTERMEDIATE: it is the reader of its zone.  */
static size_t
available_credit (speed_rows_t *speed_rows, bool is_intermediate,
                  uint64_t now_ms)
{
  size_t gateways = allotment_gateway_count (speed_rows->options.gateways);
  double per_s = is_intermediate || gateways == 0
                     ? PASSED_ENTRIES_PER_S
                     : (double)SENT_ENTRIES_PER_S / (double)gateways;
  double credit_max = fmin (fmax (per_s * SAVE_UP_S, 1), MESSAGE_ENTRIES_MAX);
  uint64_t since_ms = elapsed_ms (now_ms, speed_rows->credit_ms);

  speed_rows->credit += per_s * (double)since_ms / MS_PER_S;
  speed_rows->credit = fmin (speed_rows->credit, credit_max);
  speed_rows->credit_ms = now_ms;
  return (size_t)speed_rows->credit;
}

/* Add the factor of ENTRY to the message if it is to be sent.  */
static void
list_if_due (speed_rows_t *speed_rows, entry_t *entry, bool is_intermediate,
             uint64_t now_ms)
{
  sent_factor_t *sent
      = is_intermediate ? &entry->merged_sent : &entry->own_sent;

  if (is_intermediate)
    merge_own_if_due (speed_rows, entry, now_ms);
  double factor = is_intermediate ? entry->merged : entry->own;
  uint64_t found_ms = is_intermediate ? entry->merged_ms : entry->own_ms;
  if (!is_due (speed_rows, entry, factor, found_ms, sent, now_ms))
    return;
  *sent = (sent_factor_t){ factor, now_ms };
  speed_rows->list->entries[speed_rows->list->count++]
      = (speed_codec_entry_t){ entry->process, factor,
                               elapsed_ms (now_ms, found_ms) };
}

/* List the message to the reader, if there is anything to send.  */
static size_t
list_message (void *arg, bool is_intermediate, peer_rows_item_t *items,
              size_t items_max)
{
  speed_rows_t *speed_rows = arg;
  uint64_t now_ms = now_ms_of (speed_rows);
  size_t first = speed_rows->cursor;
  bool has_wrapped = false;
  void *value;

  if (items_max == 0 || map_size (speed_rows->entries) == 0)
    return 0;
  size_t count_max = available_credit (speed_rows, is_intermediate, now_ms);
  speed_rows->list->count = 0;
  speed_rows->list->stamp_ms = 0;
  while (speed_rows->list->count < count_max)
    {
      if (!map_next (speed_rows->entries, &speed_rows->cursor, NULL, &value))
        {
          if (has_wrapped)
            break;
          has_wrapped = true;
          speed_rows->cursor = 0;
          continue;
        }
      if (has_wrapped && speed_rows->cursor > first)
        break;
      list_if_due (speed_rows, value, is_intermediate, now_ms);
    }
  if (speed_rows->list->count == 0)
    return 0;
  speed_rows->credit -= (double)speed_rows->list->count;
  buf_append_str (&items[0].key, STR (SPEED_ROWS_KEY));
  speed_codec_encode (speed_rows->list, &items[0].value);
  counter_add (speed_rows->options.bytes_sent,
               items[0].key.len + items[0].value.len);
  return 1;
}

static void
log_unreadable (const speed_rows_t *speed_rows, str_t key, str_t text)
{
  counter_add (speed_rows->options.rows_unreadable, 1);
  log_event (EVENT_SPEED_BAD, log_field_text (FIELD_KEY, key),
             log_field_number (FIELD_BYTES, text.len));
}

/* Merge the message TEXT of another gateway.  */
static void
on_message (void *arg, str_t key, str_t text)
{
  speed_rows_t *speed_rows = arg;
  uint64_t now_ms = now_ms_of (speed_rows);

  if (speed_codec_decode (text, speed_rows->list) != VH_OK)
    {
      log_unreadable (speed_rows, key, text);
      return;
    }
  for (size_t i = 0; i < speed_rows->list->count; i++)
    {
      const speed_codec_entry_t *received = &speed_rows->list->entries[i];
      entry_t *entry = find_or_add (speed_rows, received->process, now_ms);
      if (entry != NULL && received->age_ms <= FACTOR_AGE_MAX_MS)
        merge (speed_rows, entry, received->factor,
               elapsed_ms (now_ms, received->age_ms));
    }
}

/* The row.  */

static void
set_store_time (speed_rows_t *speed_rows, uint64_t store_now_ms)
{
  speed_rows->has_store_time = store_now_ms != 0;
  speed_rows->store_time_offset_ms
      = (int64_t)store_now_ms - (int64_t)now_ms_of (speed_rows);
}

/* Return the age of ENTRY of the row.  An entry of unknown age counts as old,
   as one of a copy does: its stamp may be ahead of the clock of a store that
   came back.  */
static uint64_t
row_entry_age_ms (const speed_rows_t *speed_rows,
                  const speed_codec_entry_t *entry)
{
  int64_t now_ms
      = (int64_t)now_ms_of (speed_rows) + speed_rows->store_time_offset_ms;
  uint64_t age_ms = entry->age_ms
                    + elapsed_ms ((uint64_t)now_ms, speed_rows->row->stamp_ms);

  if (!speed_rows->has_store_time || speed_rows->is_row_copy
      || age_ms > SPEED_CODEC_AGE_MAX_MS)
    return SPEED_CODEC_AGE_MAX_MS;
  return age_ms;
}

/* Apply the row to UPSTREAM, if it has an entry for its process.  Return
   whether the pool took the factor.

   For some time the entry is passed on as new: the row holds until it is
   changed, as gateways whose reports differ from it send theirs.  After that
   it grows old, so that the pool lets a slow instance get requests again.  The
   times of the gateways differ, so that they do not all do that at once.  */
static bool
apply_to_upstream (const speed_rows_t *speed_rows, const upstream_t *upstream)
{
  str_t id = upstream_id (upstream);
  uint64_t incarnation = upstream_incarnation (upstream);
  uint64_t process = speed_codec_process (id, incarnation);
  const speed_codec_entry_t *entry
      = speed_codec_find (speed_rows->row, process);
  uint64_t hold_ms = HOLD_MIN_MS
                     + rendezvous_weight (speed_rows->options.seed, process)
                           % (HOLD_MAX_MS - HOLD_MIN_MS);

  return entry != NULL
         && pool_hear_time_factor (
             speed_rows->options.pool, id, incarnation, entry->factor,
             elapsed_ms (row_entry_age_ms (speed_rows, entry), hold_ms));
}

/* Apply the row to all instances.  Return how many factors were taken.  */
static size_t
apply_to_pool (speed_rows_t *speed_rows, uint64_t now_ms)
{
  const upstream_t *upstream;
  size_t cursor = 0;
  size_t count = 0;

  speed_rows->applied_ms = now_ms;
  while ((upstream = pool_next (speed_rows->options.pool, &cursor)) != NULL)
    count += apply_to_upstream (speed_rows, upstream);
  return count;
}

/* Take over the factors of the row, after the entries have none.  */
static void
take_row (speed_rows_t *speed_rows, bool is_own, uint64_t now_ms)
{
  const speed_codec_list_t *row = speed_rows->row;

  speed_rows->is_row_full = row->count == SPEED_CODEC_ENTRIES_MAX;
  speed_rows->row_least = HUGE_VAL;
  for (size_t i = 0; i < row->count; i++)
    {
      const speed_codec_entry_t *in_row = &row->entries[i];
      entry_t *entry = find_or_add (speed_rows, in_row->process, now_ms);
      speed_rows->row_least
          = fmin (speed_rows->row_least, distance_from_1 (in_row->factor));
      if (entry == NULL)
        continue;
      entry->row = in_row->factor;
      /* Another gateway that writes the row merged more than this one did,
         except what the store lost.  */
      if (!is_own && (!speed_rows->is_copy || entry->merged == 0))
        {
          entry->merged = in_row->factor;
          entry->merged_ms
              = elapsed_ms (now_ms, row_entry_age_ms (speed_rows, in_row));
          entry->merge_count = WEIGHT_GATEWAYS;
        }
    }
}

/* Forget which factors are in the row.  */
static void
clear_row (speed_rows_t *speed_rows)
{
  size_t cursor = 0;
  void *value;

  speed_rows->row->count = 0;
  speed_rows->is_row_full = false;
  speed_rows->is_changed = true;
  while (map_next (speed_rows->entries, &cursor, NULL, &value))
    ((entry_t *)value)->row = 0;
}

void
speed_rows_apply_row (speed_rows_t *speed_rows, const rows_row_t *row,
                      uint64_t store_now_ms)
{
  uint64_t now_ms = now_ms_of (speed_rows);

  speed_rows->row_version = row->version;
  speed_rows->row_read_ms = now_ms;
  set_store_time (speed_rows, store_now_ms);
  speed_rows->is_row_copy = speed_rows->is_copy;
  clear_row (speed_rows);
  if (speed_codec_decode (row->value, speed_rows->row) != VH_OK)
    {
      log_unreadable (speed_rows, row->key, row->value);
      return;
    }
  take_row (speed_rows, str_eq (row->value, buf_str (&speed_rows->written)),
            now_ms);
  counter_add (speed_rows->options.entries_applied,
               apply_to_pool (speed_rows, now_ms));
}

void
speed_rows_remove_row (speed_rows_t *speed_rows)
{
  speed_rows->row_version = 0;
  clear_row (speed_rows);
}

void
speed_rows_apply_registration (speed_rows_t *speed_rows, str_t id)
{
  const upstream_t *upstream = pool_find (speed_rows->options.pool, id);

  if (upstream != NULL && apply_to_upstream (speed_rows, upstream))
    counter_add (speed_rows->options.entries_applied, 1);
}

void
speed_rows_set_copy (speed_rows_t *speed_rows, bool is_copy)
{
  speed_rows->is_copy = is_copy;
}

/* Take over the own factors.  The gateway that writes the row merges its own
   here, the reader of a zone when it lists a message.  */
static void
collect_own_factors (speed_rows_t *speed_rows, uint64_t now_ms)
{
  pool_time_factor_t own;
  size_t cursor = 0;

  while (pool_next_time_factor (speed_rows->options.pool, &cursor, &own))
    {
      entry_t *entry = find_or_add (
          speed_rows, speed_codec_process (own.id, own.incarnation), now_ms);
      if (entry == NULL)
        continue;
      entry->own = own.factor;
      entry->own_ms = elapsed_ms (now_ms, own.age_ms);
      if (is_writer (speed_rows))
        merge_own_if_due (speed_rows, entry, now_ms);
    }
}

/* Remove the entries of processes that have not been registered for
   ORPHAN_TIMEOUT_MS.  */
static void
remove_orphans (speed_rows_t *speed_rows, uint64_t now_ms)
{
  const upstream_t *upstream;
  size_t cursor = 0;
  void *value;

  while ((upstream = pool_next (speed_rows->options.pool, &cursor)) != NULL)
    {
      uint64_t process = speed_codec_process (upstream_id (upstream),
                                              upstream_incarnation (upstream));
      entry_t *entry = map_get (speed_rows->entries, process_key (&process));
      if (entry != NULL)
        entry->seen_ms = now_ms;
    }
  entry_t **orphans
      = mem_alloc ((map_size (speed_rows->entries) + 1) * sizeof *orphans);
  size_t count = 0;
  cursor = 0;
  while (map_next (speed_rows->entries, &cursor, NULL, &value))
    if (now_ms - ((entry_t *)value)->seen_ms >= ORPHAN_TIMEOUT_MS)
      orphans[count++] = value;
  for (size_t i = 0; i < count; i++)
    {
      map_remove (speed_rows->entries, process_key (&orphans[i]->process));
      free (orphans[i]);
      speed_rows->is_changed = true;
    }
  free (orphans);
}

/* Return how much ENTRY belongs into a row that has no room for all.  An entry
   that is in the row has an advantage, so that two whose factors are alike do
   not replace each other all the time.  */
static double
row_rank (const entry_t *entry)
{
  return distance_from_1 (entry->merged)
         + (entry->row != 0 ? log (written_ratio) : 0);
}

static int
compare_row_ranks (const void *a, const void *b)
{
  double rank_a = row_rank (*(const entry_t *const *)a);
  double rank_b = row_rank (*(const entry_t *const *)b);

  return (rank_a < rank_b) - (rank_a > rank_b);
}

typedef enum
{
  ROW_IS_CURRENT,
  ROW_DIFFERS,         /* By written_ratio.  */
  ROW_DIFFERS_BY_MUCH, /* By urgent_ratio, or lacks an instance.  */
} row_state_t;

static row_state_t
compare_with_row (const entry_t *entry)
{
  if (entry->row == 0 || differs (entry->merged, entry->row, urgent_ratio))
    return ROW_DIFFERS_BY_MUCH;
  return differs (entry->merged, entry->row, written_ratio) ? ROW_DIFFERS
                                                            : ROW_IS_CURRENT;
}

/* Fill LIST with the entries that the row is to have.  Return how much the row
   that was read differs.  */
static row_state_t
fill_row (const speed_rows_t *speed_rows, speed_codec_list_t *list,
          uint64_t now_ms)
{
  size_t size = map_size (speed_rows->entries);
  entry_t **entries = mem_alloc ((size + 1) * sizeof *entries);
  row_state_t state = ROW_IS_CURRENT;
  size_t count = 0;
  size_t cursor = 0;
  void *value;

  while (map_next (speed_rows->entries, &cursor, NULL, &value))
    if (((entry_t *)value)->merged != 0)
      entries[count++] = value;
  if (count > SPEED_CODEC_ENTRIES_MAX)
    {
      qsort (entries, count, sizeof *entries, compare_row_ranks);
      count = SPEED_CODEC_ENTRIES_MAX;
    }
  list->count = count;
  for (size_t i = 0; i < count; i++)
    {
      const entry_t *entry = entries[i];
      row_state_t entry_state = compare_with_row (entry);
      if (entry_state > state)
        state = entry_state;
      list->entries[i]
          = (speed_codec_entry_t){ entry->process, entry->merged,
                                   elapsed_ms (now_ms, entry->merged_ms) };
    }
  free (entries);
  return state;
}

static void
on_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  speed_rows_t *speed_rows = arg;

  (void)result;
  speed_rows->is_write_pending = false;
  if (code == VH_OK)
    {
      counter_add (speed_rows->options.rows_written, 1);
      return;
    }
  speed_rows->is_changed = true;
  if (code != VH_E_CONFLICT)
    log_event (EVENT_SPEED_WRITE, log_field_number (FIELD_CODE, code));
}

/* Return whether all instances of the row are gone.  */
static bool
is_row_orphaned (const speed_rows_t *speed_rows, uint64_t now_ms)
{
  return speed_rows->row_version != 0 && map_size (speed_rows->entries) == 0
         && now_ms - speed_rows->row_read_ms >= ORPHAN_TIMEOUT_MS;
}

/* Write the row, or delete it, if that is due.  It is written only if
   it is still the one that this gateway read, as each writer knows only what
   it was sent.  */
static void
write_row (speed_rows_t *speed_rows, uint64_t store_now_ms, uint64_t now_ms)
{
  speed_codec_list_t *list = speed_rows->list;
  rows_write_t write = { .table = ROWS_SHARED,
                         .key = STR (SPEED_ROWS_KEY),
                         .is_conditional = true,
                         .expected_version = speed_rows->row_version };

  write.is_delete = is_row_orphaned (speed_rows, now_ms);
  if (!write.is_delete)
    {
      row_state_t state = fill_row (speed_rows, list, now_ms);
      speed_rows->is_changed = state != ROW_IS_CURRENT;
      if (state == ROW_IS_CURRENT
          || (state == ROW_DIFFERS && speed_rows->written_ms != 0
              && now_ms - speed_rows->written_ms < CALM_WRITE_INTERVAL_MS))
        return;
    }
  speed_rows->is_changed = false;
  speed_rows->written.len = 0;
  if (!write.is_delete)
    {
      list->stamp_ms = store_now_ms;
      speed_codec_encode (list, &speed_rows->written);
      write.value = buf_str (&speed_rows->written);
    }
  speed_rows->written_ms = now_ms;
  speed_rows->is_write_pending = true;
  speed_rows->options.rows->ops->commit (speed_rows->options.rows, &write, 1,
                                         STORE_SYNC_COMMIT_TIMEOUT_MS,
                                         on_written, speed_rows);
}

/* Return whether this gateway wrote a row so recently that it may not write
   one yet.  */
static bool
is_recently_written (const speed_rows_t *speed_rows, uint64_t now_ms)
{
  uint64_t row_ms = speed_rows->written.len * MS_PER_S / ROW_BYTES_PER_S;
  uint64_t interval_ms
      = row_ms > WRITE_INTERVAL_MS ? row_ms : WRITE_INTERVAL_MS;

  return speed_rows->written_ms != 0
         && now_ms - speed_rows->written_ms < interval_ms;
}

void
speed_rows_tick (speed_rows_t *speed_rows, uint64_t store_now_ms,
                 bool may_write)
{
  uint64_t now_ms = now_ms_of (speed_rows);

  set_store_time (speed_rows, store_now_ms);
  if (now_ms - speed_rows->collected_ms >= COLLECT_INTERVAL_MS)
    {
      speed_rows->collected_ms = now_ms;
      collect_own_factors (speed_rows, now_ms);
    }
  if (now_ms - speed_rows->checked_ms >= CHECK_INTERVAL_MS
      && (map_size (speed_rows->entries) > 0 || speed_rows->row_version != 0))
    {
      speed_rows->checked_ms = now_ms;
      remove_orphans (speed_rows, now_ms);
      speed_rows->is_changed |= is_row_orphaned (speed_rows, now_ms);
    }
  if (speed_rows->row->count > 0
      && now_ms - speed_rows->applied_ms >= APPLY_INTERVAL_MS)
    apply_to_pool (speed_rows, now_ms);
  if (speed_rows->is_changed && may_write && store_now_ms != 0
      && !speed_rows->is_write_pending && is_writer (speed_rows)
      && !is_recently_written (speed_rows, now_ms))
    write_row (speed_rows, store_now_ms, now_ms);
}

speed_rows_t *
speed_rows_create (const speed_rows_options_t *options)
{
  static const peer_rows_piggyback_t piggyback = { list_message, on_message };
  speed_rows_t *speed_rows = mem_zalloc (sizeof *speed_rows);

  speed_rows->options = *options;
  speed_rows->entries = map_create ();
  speed_rows->row = mem_zalloc (sizeof *speed_rows->row);
  speed_rows->list = mem_zalloc (sizeof *speed_rows->list);
  if (options->peer_rows != NULL)
    peer_rows_add_piggyback (options->peer_rows, STR ("speed/"), &piggyback,
                             speed_rows);
  return speed_rows;
}

void
speed_rows_destroy (speed_rows_t *speed_rows)
{
  size_t cursor = 0;
  void *value;

  if (speed_rows == NULL)
    return;
  speed_rows->options.rows->ops->cancel (speed_rows->options.rows, speed_rows);
  while (map_next (speed_rows->entries, &cursor, NULL, &value))
    free (value);
  map_destroy (speed_rows->entries);
  buf_free (&speed_rows->written);
  free (speed_rows->row);
  free (speed_rows->list);
  free (speed_rows);
}
