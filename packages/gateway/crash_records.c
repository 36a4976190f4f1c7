#include "gateway/crash_recordsint.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  LOST_SENDS_MAX = 512,
  /* Time after the loss of a connection in which the crash may become
     known.  */
  CUT_MEMORY_MS = 5000,
  /* Time after this gateway gave a request up in which a crash of the instance
     is recorded for the request as well.  */
  ABANDONED_MEMORY_MS = 1000,
  PROBE_TIMEOUT_MS = 250,
  /* The gateways take turns of this length in test runs, and in deleting
     rows.  */
  TURN_MS = 10000,
  /* Time at the end of a turn in which no test run starts, so that the next
     gateway knows its result.  */
  TURN_REST_MS = 5000,
  TEST_RUNS_MAX = 3, /* Test runs of a refused request.  */
  /* Time for which a row is kept that tells of a run without a crash.  */
  RAN_ROW_MS = 120000,
  /* Time for which the row of a crash is kept that such a run cleared. Shorter
     than RAN_ROW_MS, so that it is deleted first.  */
  CLEARED_ROW_MS = 60000,
  EXPIRY_INTERVAL_MS = 1000,
  WRITES_MAX = 50,       /* Rows written in one call.  */
  UNWRITTEN_MAX = 4096,  /* Rows that wait to be written.  */
  WRITE_RETRY_MS = 1000, /* Delay after a failed write.  */
  HEX_DIGITS = 16
};

static const char ran_name[] = "ran";

/* A request that got no complete response.  */
typedef struct
{
  poison_key_t keys[1 + REQUEST_PARTS_MAX]; /* Its content, then its parts.  */
  size_t key_count;
  uint64_t instance_hash; /* Hash of the instance id.  */
  uint64_t crash_id;      /* Id of a crash of the instance's process, the same
                             at every gateway.  */
  uint64_t lost_ms;
  enum
  {
    LOST_NONE,      /* The entry is free.  */
    LOST_ABANDONED, /* This gateway gave the request up.  */
    LOST_PROBING,   /* The connection ended, and the instance is probed.  */
    LOST_CUT        /* The connection ended, and the instance still listens or
                       its machine does not respond.  */
  } kind;
} lost_send_t;

/* A row of the shared table.  */
typedef struct
{
  uint64_t store_ms; /* Value of the row.  */
  bool is_delete;    /* The row is to be deleted; only in UNWRITTEN.  */
} crash_row_t;

struct crash_records
{
  gateway_state_t *state;
  rows_t *rows;
  poison_t *poison;
  lost_send_t lost_sends[LOST_SENDS_MAX]; /* Ring buffer.  */
  size_t next_lost_send;
  /* Maps of key to crash_row_t.  */
  map_t *stored;    /* Rows of the shared table.  */
  map_t *unwritten; /* Rows that are to be written or deleted.  */
  map_t *in_flight; /* Rows of the write that has no reply yet; NULL if there
                       is none.  */
  uint64_t write_after_ms; /* Earliest monotonic time of the next write.  */
  uint64_t expired_ms;     /* Monotonic time of the last expiry.  */
};

static uint64_t
now_ms (const crash_records_t *records)
{
  return clock_ms (records->state->clock);
}

static uint64_t
store_now_ms (const crash_records_t *records)
{
  return table_sync_store_now_ms (records->state->operator_rows_sync);
}

/* Rows.  */

/* Write the key of the row for CONTENT to OUT; NAME is a crash id or `ran'. */
static void
format_row_key (poison_key_t content, const char *name, buf_t *out)
{
  buf_printf (out, "crash/%016" PRIx64 "%016" PRIx64 "/%s", content.high,
              content.low, name);
}

static bool
parse_hex (str_t text, uint64_t *number)
{
  *number = 0;
  if (text.len != HEX_DIGITS)
    return false;
  for (size_t i = 0; i < text.len; i++)
    {
      const char *digits = "0123456789abcdef";
      const char *digit = memchr (digits, text.ptr[i], HEX_DIGITS);
      if (digit == NULL)
        return false;
      *number = *number << 4 | (uint64_t)(digit - digits);
    }
  return true;
}

/* Parse the row key KEY.  *CRASH_ID is 0 if the row tells of a run without a
   crash.  */
static bool
parse_row_key (str_t key, poison_key_t *content, uint64_t *crash_id)
{
  str_t rest;
  str_t name;

  row_key_first_segment (key, &rest);
  str_t digits = str_cut (rest, '/', &name);
  if (digits.len != 2 * (size_t)HEX_DIGITS || name.ptr == NULL
      || !parse_hex (str_make (digits.ptr, HEX_DIGITS), &content->high)
      || !parse_hex (str_make (digits.ptr + HEX_DIGITS, HEX_DIGITS),
                     &content->low))
    return false;
  *crash_id = 0;
  return str_eq (name, str_from (ran_name)) || parse_hex (name, crash_id);
}

static bool
is_of_content (str_t row_key, poison_key_t content)
{
  poison_key_t other;
  uint64_t crash_id;

  return parse_row_key (row_key, &other, &crash_id)
         && poison_same_key (other, content);
}

static void
put_row (map_t *rows, str_t key, const crash_row_t *row)
{
  crash_row_t *copy = mem_alloc (sizeof *copy);

  *copy = *row;
  free (map_put (rows, key, copy));
}

static void
queue_write (crash_records_t *records, str_t key, const crash_row_t *row)
{
  if (map_size (records->unwritten) >= UNWRITTEN_MAX)
    log_event (EVENT_CRASH_WRITE, log_field_number (FIELD_CODE, VH_E_FULL));
  else
    put_row (records->unwritten, key, row);
}

/* Queue the row for CONTENT and NAME of an event AGE_MS ago.  */
static void
queue_row (crash_records_t *records, poison_key_t content, const char *name,
           uint64_t age_ms)
{
  uint64_t store_ms = store_now_ms (records);
  const crash_row_t row
      = { .store_ms = store_ms > age_ms ? store_ms - age_ms : 0 };
  buf_t key = BUF_NULL;

  format_row_key (content, name, &key);
  queue_write (records, buf_str (&key), &row);
  buf_free (&key);
}

/* Return the age of ROW in ms.  */
static uint64_t
row_age_ms (const crash_records_t *records, const crash_row_t *row)
{
  uint64_t store_ms = store_now_ms (records);

  return store_ms > row->store_ms ? store_ms - row->store_ms : 0;
}

/* Crashes and runs without a crash.  */

log_field_t
crash_records_content_field (poison_key_t content,
                             char text[CONTENT_TEXT_SIZE])
{
  snprintf (text, CONTENT_TEXT_SIZE, "%016" PRIx64, content.high);
  return log_field_text (FIELD_CONTENT, str_from (text));
}

/* Return the field that tells a content, or a part of prompts, in the log.  */
static log_field_t
key_field (poison_key_t key, char text[CONTENT_TEXT_SIZE])
{
  log_field_t field = crash_records_content_field (key, text);

  if (poison_is_part (key))
    {
      field.name = FIELD_PARTS;
      field.text.len = CONTENT_TEXT_SIZE / 2;
    }
  return field;
}

static void
log_suspected (const crash_records_t *records, poison_key_t content,
               const char *source)
{
  char text[CONTENT_TEXT_SIZE];

  log_event (EVENT_SUSPECTED, key_field (content, text),
             log_field_number (FIELD_COUNT,
                               poison_crash_count (records->poison, content)),
             log_field_text (FIELD_SOURCE, str_from (source)));
}

static void
log_cleared (poison_key_t content, uint32_t crash_count, const char *source)
{
  char text[CONTENT_TEXT_SIZE];

  log_event (EVENT_SUSPECT_CLEARED, key_field (content, text),
             log_field_number (FIELD_COUNT, crash_count),
             log_field_text (FIELD_SOURCE, str_from (source)));
}

/* Record the crash under LOST for KEY.  Return whether KEY is refused now.  */
static bool
record_crash (crash_records_t *records, const lost_send_t *lost,
              poison_key_t key)
{
  const poison_record_t record
      = { key, lost->crash_id, now_ms (records) - lost->lost_ms };
  char name[HEX_DIGITS + 1];

  if (!poison_merge (records->poison, &record))
    return false;
  log_suspected (records, key, "own");
  snprintf (name, sizeof name, "%016" PRIx64, lost->crash_id);
  queue_row (records, key, name, record.age_ms);
  return poison_classify_key (records->poison, key) == POISON_REFUSED;
}

static bool
is_expired (const crash_records_t *records, const lost_send_t *lost)
{
  uint64_t memory_ms
      = lost->kind == LOST_ABANDONED ? ABANDONED_MEMORY_MS : CUT_MEMORY_MS;

  return now_ms (records) - lost->lost_ms > memory_ms;
}

/* Record the crash of instance ID for the requests that were lost there, if
   the connection of one of them ended.  */
static void
confirm_crash (crash_records_t *records, str_t id)
{
  uint64_t instance_hash = str_hash (id, 0);
  size_t count = 0;
  bool has_cut = false;
  bool has_refused = false;

  for (size_t i = 0; i < LOST_SENDS_MAX; i++)
    {
      const lost_send_t *lost = &records->lost_sends[i];
      has_cut |= lost->instance_hash == instance_hash
                 && (lost->kind == LOST_CUT || lost->kind == LOST_PROBING)
                 && !is_expired (records, lost);
    }
  for (size_t i = 0; has_cut && i < LOST_SENDS_MAX; i++)
    {
      lost_send_t *lost = &records->lost_sends[i];
      if (lost->kind == LOST_NONE || lost->instance_hash != instance_hash)
        continue;
      if (!is_expired (records, lost))
        {
          for (size_t at = 0; at < lost->key_count; at++)
            has_refused |= record_crash (records, lost, lost->keys[at]);
          count++;
        }
      lost->kind = LOST_NONE;
    }
  if (count == 0)
    return;
  counter_add (records->state->counters.crashes, 1);
  log_event (EVENT_CRASH, log_field_text (FIELD_UPSTREAM, id),
             log_field_number (FIELD_COUNT, count));
  if (has_refused)
    relay_end_refused (records->state);
}

void
crash_records_send_lost (crash_records_t *records, const upstream_t *upstream,
                         const request_attrs_t *attrs, bool has_begun,
                         bool is_cut)
{
  lost_send_t *lost = &records->lost_sends[records->next_lost_send];
  str_t id = upstream_id (upstream);

  if (upstream_is_leaving (upstream))
    return;
  *lost = (lost_send_t){ .keys = { attrs->content_key },
                         .key_count = has_begun ? 0 : 1,
                         .instance_hash = str_hash (id, 0),
                         .crash_id
                         = str_hash (id, upstream_incarnation (upstream)),
                         .lost_ms = now_ms (records),
                         .kind = is_cut ? LOST_PROBING : LOST_ABANDONED };
  for (size_t i = 0; i < attrs->part_count && !has_begun; i++)
    lost->keys[lost->key_count++] = attrs->part_keys[i];
  records->next_lost_send = (records->next_lost_send + 1) % LOST_SENDS_MAX;
  if (is_cut)
    prober_start (records->state->prober, id, upstream_address (upstream),
                  PROBE_TIMEOUT_MS);
}

bool
crash_records_awaits_probe (const crash_records_t *records,
                            poison_key_t content)
{
  for (size_t i = 0; i < LOST_SENDS_MAX; i++)
    {
      const lost_send_t *lost = &records->lost_sends[i];
      if (lost->kind == LOST_PROBING
          && poison_same_key (lost->keys[0], content))
        return true;
    }
  return false;
}

void
crash_records_probe_finished (crash_records_t *records, str_t id,
                              probe_result_t result)
{
  uint64_t instance_hash = str_hash (id, 0);

  if (result == PROBE_REFUSED)
    {
      confirm_crash (records, id);
      return;
    }
  for (size_t i = 0; i < LOST_SENDS_MAX; i++)
    {
      lost_send_t *lost = &records->lost_sends[i];
      if (lost->kind == LOST_PROBING && lost->instance_hash == instance_hash)
        lost->kind = LOST_CUT;
    }
}

void
crash_records_apply_registration (crash_records_t *records,
                                  const upstream_info_t *info)
{
  const upstream_t *upstream = pool_find (records->state->pool, info->id);

  if (upstream != NULL && upstream_incarnation (upstream) != info->incarnation
      && !upstream_is_leaving (upstream))
    confirm_crash (records, info->id);
}

/* Record that KEY did not crash an instance.  */
static void
key_survived (crash_records_t *records, poison_key_t survivor)
{
  uint32_t cleared = poison_record_success (records->poison, survivor, 0);
  size_t cursor = 0;
  bool is_shared = records->in_flight != NULL;
  str_t key;
  void *value;

  if (cleared == 0)
    return;
  log_cleared (survivor, cleared, "own");
  while (!is_shared && map_next (records->stored, &cursor, &key, &value))
    is_shared = is_of_content (key, survivor);
  if (is_shared)
    queue_row (records, survivor, ran_name, 0);
}

void
crash_records_send_survived (crash_records_t *records, poison_key_t content)
{
  key_survived (records, content);
}

void
crash_records_parts_survived (crash_records_t *records,
                              const request_attrs_t *attrs)
{
  for (size_t i = 0; i < attrs->part_count; i++)
    key_survived (records, attrs->part_keys[i]);
}

/* Decisions.  */

poison_key_t
crash_records_refused_key (const crash_records_t *records,
                           const request_attrs_t *attrs)
{
  for (size_t i = 0; i < attrs->part_count; i++)
    if (poison_classify_key (records->poison, attrs->part_keys[i])
        == POISON_REFUSED)
      return attrs->part_keys[i];
  return attrs->content_key;
}

bool
crash_records_is_refused (const crash_records_t *records,
                          const request_attrs_t *attrs)
{
  return poison_classify_key (records->poison,
                              crash_records_refused_key (records, attrs))
         == POISON_REFUSED;
}

size_t
crash_records_suspect_parts (const crash_records_t *records,
                             const request_attrs_t *attrs, poison_key_t *parts)
{
  size_t count = 0;

  for (size_t i = 0; i < attrs->part_count; i++)
    if (poison_classify_key (records->poison, attrs->part_keys[i])
        != POISON_CLEAR)
      parts[count++] = attrs->part_keys[i];
  return count;
}

/* Return the worst class of the keys of a request with ATTRS.  */
static poison_class_t
classify (const crash_records_t *records, const request_attrs_t *attrs)
{
  poison_class_t worst
      = poison_classify_key (records->poison, attrs->content_key);

  for (size_t i = 0; i < attrs->part_count; i++)
    {
      poison_class_t poison_class
          = poison_classify_key (records->poison, attrs->part_keys[i]);
      if (poison_class > worst)
        worst = poison_class;
    }
  return worst;
}

poison_class_t
crash_records_admit (crash_records_t *records, const request_attrs_t *attrs)
{
  poison_class_t poison_class = classify (records, attrs);
  char text[CONTENT_TEXT_SIZE];

  if (poison_class != POISON_REFUSED)
    return poison_class;
  poison_key_t key = crash_records_refused_key (records, attrs);
  if (poison_test_wait_ms (records->poison, key) > 0
      || store_now_ms (records) % TURN_MS >= TURN_MS - TURN_REST_MS
      || !gateway_has_turn (records->state, key.high, TURN_MS))
    return poison_class;
  poison_test_started (records->poison, key);
  log_event (
      EVENT_SUSPECT_TESTED, key_field (key, text),
      log_field_number (FIELD_COUNT, crash_records_count (records, key)));
  return POISON_SUSPECT;
}

uint64_t
crash_records_test_wait_ms (const crash_records_t *records,
                            poison_key_t content)
{
  return poison_test_wait_ms (records->poison, content);
}

uint32_t
crash_records_count (const crash_records_t *records, poison_key_t content)
{
  return poison_crash_count (records->poison, content);
}

size_t
crash_records_suspect_count (const crash_records_t *records)
{
  poison_key_t last = { 0 };
  poison_record_t record;
  size_t cursor = 0;
  size_t count = 0;

  while (poison_next_record (records->poison, &cursor, &record))
    {
      count += record.key.high != last.high || record.key.low != last.low;
      last = record.key;
    }
  return count;
}

/* The shared table.  */

void
crash_records_apply_row (crash_records_t *records, const rows_row_t *row)
{
  poison_record_t record = { 0 };
  crash_row_t crash_row = { 0 };

  if (!parse_row_key (row->key, &record.key, &record.crash_id)
      || !str_to_u64 (row->value, &crash_row.store_ms))
    {
      log_event (EVENT_CRASH_BAD, log_field_text (FIELD_KEY, row->key),
                 log_field_number (FIELD_CODE, VH_E_BAD_FIELD));
      return;
    }
  put_row (records->stored, row->key, &crash_row);
  record.age_ms = row_age_ms (records, &crash_row);
  if (record.crash_id != 0)
    {
      if (poison_merge (records->poison, &record))
        {
          log_suspected (records, record.key, "peer");
          if (poison_classify_key (records->poison, record.key)
              == POISON_REFUSED)
            relay_end_refused (records->state);
        }
      return;
    }
  uint32_t cleared
      = poison_record_success (records->poison, record.key, record.age_ms);
  if (cleared > 0)
    log_cleared (record.key, cleared, "peer");
}

void
crash_records_remove_row (crash_records_t *records, str_t key, bool is_lost)
{
  crash_row_t *row = map_remove (records->stored, key);

  if (row != NULL && is_lost)
    queue_write (records, key, row);
  free (row);
}

/* Queue the deletion of the rows that are no longer needed.  */
static void
expire_rows (crash_records_t *records)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  if (now_ms (records) - records->expired_ms < EXPIRY_INTERVAL_MS)
    return;
  records->expired_ms = now_ms (records);
  while (map_next (records->stored, &cursor, &key, &value))
    {
      static const crash_row_t deletion = { .is_delete = true };
      poison_key_t content;
      uint64_t crash_id;
      uint64_t keep_ms = RAN_ROW_MS;
      if (!parse_row_key (key, &content, &crash_id))
        continue;
      if (crash_id != 0)
        keep_ms = crash_records_count (records, content) > 0 ? POISON_EXPIRY_MS
                                                             : CLEARED_ROW_MS;
      if (row_age_ms (records, value) >= keep_ms
          && gateway_has_turn (records->state, content.high, TURN_MS))
        queue_write (records, key, &deletion);
    }
}

/* Return whether ROW with KEY still has to be written.  */
static bool
is_write_needed (const crash_records_t *records, str_t key,
                 const crash_row_t *row)
{
  poison_key_t content;
  uint64_t crash_id;

  if (row->is_delete)
    return map_get (records->stored, key) != NULL;
  return parse_row_key (key, &content, &crash_id)
         && (crash_id == 0 || crash_records_count (records, content) > 0);
}

static void
free_rows (map_t *rows)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (rows, &cursor, &key, &value))
    free (value);
  map_destroy (rows);
}

static void
on_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  crash_records_t *records = arg;
  size_t cursor = 0;
  str_t key;
  void *value;

  (void)result;
  if (code != VH_OK)
    {
      records->write_after_ms = now_ms (records) + WRITE_RETRY_MS;
      log_event (EVENT_CRASH_WRITE, log_field_number (FIELD_CODE, code));
      while (map_next (records->in_flight, &cursor, &key, &value))
        if (map_get (records->unwritten, key) == NULL)
          put_row (records->unwritten, key, value);
    }
  free_rows (records->in_flight);
  records->in_flight = NULL;
}

/* Move up to WRITES_MAX rows that are to be written from UNWRITTEN to
   IN_FLIGHT, and drop those that need no write.  */
static void
take_unwritten (crash_records_t *records)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  records->in_flight = map_create ();
  while (map_size (records->in_flight) < WRITES_MAX
         && map_next (records->unwritten, &cursor, &key, &value))
    {
      if (is_write_needed (records, key, value))
        put_row (records->in_flight, key, value);
      free (map_remove (records->unwritten, key));
      cursor = 0;
    }
}

void
crash_records_tick (crash_records_t *records)
{
  rows_write_t writes[WRITES_MAX] = { 0 };
  buf_t values[WRITES_MAX] = { 0 };
  size_t count = 0;
  size_t cursor = 0;
  str_t key;
  void *value;

  expire_rows (records);
  if (records->in_flight != NULL || map_size (records->unwritten) == 0
      || now_ms (records) < records->write_after_ms)
    return;
  take_unwritten (records);
  while (map_next (records->in_flight, &cursor, &key, &value))
    {
      const crash_row_t *row = value;
      buf_printf (&values[count], "%" PRIu64, row->store_ms);
      writes[count] = (rows_write_t){ .table = ROWS_SHARED,
                                      .key = key,
                                      .value = buf_str (&values[count]),
                                      .is_delete = row->is_delete };
      count++;
    }
  if (count == 0)
    {
      free_rows (records->in_flight);
      records->in_flight = NULL;
      return;
    }
  records->rows->ops->commit (records->rows, writes, count,
                              STORE_SYNC_COMMIT_TIMEOUT_MS, on_written,
                              records);
  for (size_t i = 0; i < count; i++)
    buf_free (&values[i]);
}

crash_records_t *
crash_records_create (gateway_state_t *state, rows_t *rows)
{
  static const poison_options_t options = { .test_runs_max = TEST_RUNS_MAX };
  crash_records_t *records = mem_zalloc (sizeof *records);

  records->state = state;
  records->rows = rows;
  records->poison = poison_create (state->clock, &options);
  records->stored = map_create ();
  records->unwritten = map_create ();
  return records;
}

void
crash_records_destroy (crash_records_t *records)
{
  if (records == NULL)
    return;
  records->rows->ops->cancel (records->rows, records);
  if (records->in_flight != NULL)
    free_rows (records->in_flight);
  free_rows (records->unwritten);
  free_rows (records->stored);
  poison_destroy (records->poison);
  free (records);
}
