#include "gateway/announced_limitsint.h"

#include "base/eventlog.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  RATE_TEXT_SIZE = 32,
  WRITES_MAX = 16, /* Rows written in one call.  */
  /* Shortest time between two writes of a row by this gateway, also after a
     failed write.  */
  WRITE_INTERVAL_MS = 2000,
  /* Time after which the row of an instance that is not registered is deleted:
     longer than the registration of an instance takes to arrive after its
     row.  */
  ORPHAN_TIMEOUT_MS = 30000,
  /* The gateways take turns of this length in deleting the row of an instance
     that is gone.  */
  DELETE_TURN_MS = 10000
};

/* The limit of one instance, as this gateway shares it with others.  */
typedef struct
{
  bool has_row;
  double row_rate_per_s;
  uint64_t row_incarnation;
  bool is_unwritten;    /* This gateway saw a change that the row lacks.  */
  uint64_t written_ms;  /* Time of the last write; 0: none.  */
  uint64_t orphaned_ms; /* Time since which the row belongs to no registered
                           instance; 0: it belongs to one.  */
} shared_limit_t;

struct announced_limits
{
  gateway_state_t *state;
  rows_t *rows;
  map_t *by_id; /* Map of instance id to shared_limit_t.  */
  bool is_write_pending;
  bool is_copy; /* The rows are from an older copy of the table.  */
};

/* Return the text of RATE_PER_S, stored in BUFFER.  */
static str_t
format_rate (char buffer[RATE_TEXT_SIZE], double rate_per_s)
{
  snprintf (buffer, RATE_TEXT_SIZE, "%.6g", rate_per_s);
  return str_from (buffer);
}

/* Parse the rate in TEXT.  Return false if TEXT is not a number of at least
   0.  */
static bool
parse_rate (str_t text, double *rate_per_s)
{
  double value;

  if (!str_to_double (str_trim (text), &value) || !isfinite (value)
      || value < 0)
    return false;
  *rate_per_s = value;
  return true;
}

/* Return the only value of header NAME in HEAD, STR_NULL if there is none, or
   an empty string if there are several.  */
static str_t
single_header (const http_exchange_head_t *head, str_t name)
{
  str_t value = STR_NULL;

  for (size_t i = 0; i < head->header_count; i++)
    if (str_eq_nocase (head->headers[i].name, name))
      value = value.ptr == NULL ? head->headers[i].value : STR ("");
  return value;
}

static shared_limit_t *
find_or_add (announced_limits_t *limits, str_t id)
{
  shared_limit_t *shared = map_get (limits->by_id, id);

  if (shared == NULL)
    {
      shared = mem_zalloc (sizeof *shared);
      map_put (limits->by_id, id, shared);
    }
  return shared;
}

/* Put the limit RATE_PER_S of UPSTREAM in force, and log it if it is new.
   SOURCE says how it became known.  Return whether it is new.  */
static bool
announce_limit (announced_limits_t *limits, upstream_t *upstream,
                double rate_per_s, const char *source)
{
  const gateway_state_t *state = limits->state;
  const rate_limit_t before = *upstream_rate_limit (upstream);
  size_t gateways = allotment_gateway_count (state->allotment);
  char rate[RATE_TEXT_SIZE];
  char rate_before[RATE_TEXT_SIZE];
  char share[RATE_TEXT_SIZE];

  if (!pool_announce_rate_limit (state->pool, upstream, rate_per_s))
    return false;
  log_event (
      EVENT_LIMIT, log_field_text (FIELD_UPSTREAM, upstream_id (upstream)),
      log_field_text (FIELD_VERSION, upstream_version (upstream)),
      log_field_text (FIELD_RATE, format_rate (rate, rate_per_s)),
      log_field_text (FIELD_BEFORE, before.is_announced ? format_rate (
                                        rate_before, before.rate_per_s)
                                                        : STR ("-")),
      log_field_text (FIELD_SHARE,
                      format_rate (share, rate_per_s / (double)gateways)),
      log_field_number (FIELD_COUNT, gateways),
      log_field_text (FIELD_SOURCE, str_from (source)));
  return true;
}

/* End the limit of UPSTREAM and log it.  SOURCE says how the end became known.
   Return whether there was a limit.  */
static bool
end_limit (announced_limits_t *limits, upstream_t *upstream,
           const char *source)
{
  pool_t *pool = limits->state->pool;
  const rate_limit_t before = *upstream_rate_limit (upstream);
  char rate_before[RATE_TEXT_SIZE];

  if (!pool_end_rate_limit (pool, upstream))
    return false;
  log_event (
      EVENT_LIMIT_END, log_field_text (FIELD_UPSTREAM, upstream_id (upstream)),
      log_field_text (FIELD_BEFORE,
                      format_rate (rate_before, before.rate_per_s)),
      log_field_number (FIELD_KNOWN_MS, pool_now_ms (pool) - before.since_ms),
      log_field_text (FIELD_SOURCE, str_from (source)));
  return true;
}

void
announced_limits_observe (announced_limits_t *limits, upstream_t *upstream,
                          const http_exchange_head_t *head, uint64_t sent_ms)
{
  str_t text = single_header (head, limits->state->names->rate_limit);
  double rate_per_s;
  bool has_changed = false;

  if (text.ptr == NULL)
    {
      if (head->status < 300
          && sent_ms > upstream_rate_limit (upstream)->confirmed_ms)
        has_changed = end_limit (limits, upstream, "response");
    }
  else if (!parse_rate (text, &rate_per_s))
    log_event (EVENT_LIMIT_BAD,
               log_field_text (FIELD_UPSTREAM, upstream_id (upstream)),
               log_field_text (FIELD_VALUE, text));
  else
    has_changed = announce_limit (limits, upstream, rate_per_s, "response");
  if (has_changed)
    find_or_add (limits, upstream_id (upstream))->is_unwritten = true;
}

/* Return whether the row of SHARED is about the registered UPSTREAM, which may
   be NULL.  */
static bool
is_row_of (const shared_limit_t *shared, const upstream_t *upstream)
{
  return shared->has_row && upstream != NULL
         && shared->row_incarnation == upstream_incarnation (upstream);
}

void
announced_limits_apply_registration (announced_limits_t *limits, str_t id)
{
  const shared_limit_t *shared = map_get (limits->by_id, id);
  upstream_t *upstream = pool_find (limits->state->pool, id);

  if (shared != NULL && !shared->is_unwritten && is_row_of (shared, upstream))
    announce_limit (limits, upstream, shared->row_rate_per_s, "peer");
}

/* If the rows are from an older copy, keep the limit of instance ID that is in
   force, and let it be written again.  */
static void
keep_limit (const announced_limits_t *limits, str_t id, shared_limit_t *shared)
{
  const upstream_t *upstream = pool_find (limits->state->pool, id);

  if (limits->is_copy && upstream != NULL
      && upstream_rate_limit (upstream)->is_announced)
    shared->is_unwritten = true;
}

void
announced_limits_apply_row (announced_limits_t *limits, str_t id,
                            const rows_row_t *row)
{
  shared_limit_t *shared;
  str_t incarnation;
  str_t rate = str_cut (row->value, ' ', &incarnation);
  double rate_per_s;
  uint64_t number;

  if (!parse_rate (rate, &rate_per_s) || incarnation.ptr == NULL
      || !str_to_u64 (incarnation, &number))
    {
      log_event (EVENT_LIMIT_BAD, log_field_text (FIELD_UPSTREAM, id),
                 log_field_text (FIELD_VALUE, row->value));
      return;
    }
  shared = find_or_add (limits, id);
  shared->has_row = true;
  shared->row_rate_per_s = rate_per_s;
  shared->row_incarnation = number;
  keep_limit (limits, id, shared);
  announced_limits_apply_registration (limits, id);
}

void
announced_limits_remove_row (announced_limits_t *limits, str_t id)
{
  shared_limit_t *shared = map_get (limits->by_id, id);
  upstream_t *upstream = pool_find (limits->state->pool, id);

  if (shared == NULL)
    return;
  keep_limit (limits, id, shared);
  if (!shared->is_unwritten && is_row_of (shared, upstream))
    end_limit (limits, upstream, "peer");
  shared->has_row = false;
}

void
announced_limits_set_copy (announced_limits_t *limits, bool is_copy)
{
  limits->is_copy = is_copy;
}

/* Return whether the row of SHARED, of the unregistered instance ID, is to be
   deleted now.  */
static bool
should_delete_orphan (const announced_limits_t *limits, str_t id,
                      shared_limit_t *shared, uint64_t now_ms)
{
  if (shared->orphaned_ms == 0)
    shared->orphaned_ms = now_ms;
  return now_ms - shared->orphaned_ms >= ORPHAN_TIMEOUT_MS
         && gateway_has_turn (limits->state, str_hash (id, 0), DELETE_TURN_MS);
}

/* Return whether the row of instance ID lacks what this gateway knows.  If so,
   set the value and the kind of WRITE; VALUE holds the value.  */
static bool
prepare_write (const announced_limits_t *limits, str_t id,
               shared_limit_t *shared, uint64_t now_ms, buf_t *value,
               rows_write_t *write)
{
  const upstream_t *upstream = pool_find (limits->state->pool, id);

  if (upstream == NULL
      || (shared->has_row && !is_row_of (shared, upstream)
          && !shared->is_unwritten))
    {
      shared->is_unwritten = false;
      write->is_delete = true;
      return shared->has_row
             && should_delete_orphan (limits, id, shared, now_ms);
    }
  shared->orphaned_ms = 0;
  if (!shared->is_unwritten)
    return false;
  const rate_limit_t *limit = upstream_rate_limit (upstream);
  bool is_row_current = limit->is_announced ? is_row_of (shared, upstream)
                                                  && shared->row_rate_per_s
                                                         == limit->rate_per_s
                                            : !shared->has_row;
  if (is_row_current)
    {
      shared->is_unwritten = false;
      return false;
    }
  write->is_delete = !limit->is_announced;
  if (limit->is_announced)
    buf_printf (value, "%.17g %llu", limit->rate_per_s,
                (unsigned long long)upstream_incarnation (upstream));
  return true;
}

static void
on_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  announced_limits_t *limits = arg;

  (void)result;
  limits->is_write_pending = false;
  if (code != VH_OK)
    log_event (EVENT_LIMIT_WRITE, log_field_number (FIELD_CODE, code));
}

/* Return whether this gateway wrote the row of SHARED so recently that it may
   not write it again yet.  */
static bool
is_recently_written (const shared_limit_t *shared, uint64_t now_ms)
{
  return shared->written_ms != 0
         && now_ms - shared->written_ms < WRITE_INTERVAL_MS;
}

/* Remove the records that have neither a row nor a change to write.  */
static void
remove_unused (announced_limits_t *limits, uint64_t now_ms)
{
  size_t cursor = 0;
  str_t id;
  void *value;

  while (map_next (limits->by_id, &cursor, &id, &value))
    {
      const shared_limit_t *shared = value;
      if (shared->has_row || shared->is_unwritten
          || is_recently_written (shared, now_ms))
        continue;
      free (map_remove (limits->by_id, id));
      cursor = 0;
    }
}

void
announced_limits_tick (announced_limits_t *limits)
{
  uint64_t now_ms = clock_ms (limits->state->clock);
  rows_write_t writes[WRITES_MAX] = { 0 };
  buf_t keys[WRITES_MAX] = { 0 };
  buf_t values[WRITES_MAX] = { 0 };
  size_t count = 0;
  size_t cursor = 0;
  str_t id;
  void *value;

  if (limits->is_write_pending)
    return;
  while (count < WRITES_MAX && map_next (limits->by_id, &cursor, &id, &value))
    {
      shared_limit_t *shared = value;
      if (is_recently_written (shared, now_ms))
        continue;
      if (!prepare_write (limits, id, shared, now_ms, &values[count],
                          &writes[count]))
        continue;
      shared->written_ms = now_ms;
      buf_append_str (&keys[count], STR ("limit/"));
      buf_append_str (&keys[count], id);
      writes[count].table = ROWS_SHARED;
      writes[count].key = buf_str (&keys[count]);
      writes[count].value = buf_str (&values[count]);
      count++;
    }
  if (count > 0)
    {
      limits->is_write_pending = true;
      limits->rows->ops->commit (limits->rows, writes, count,
                                 STORE_SYNC_COMMIT_TIMEOUT_MS, on_written,
                                 limits);
    }
  for (size_t i = 0; i < count; i++)
    {
      buf_free (&keys[i]);
      buf_free (&values[i]);
    }
  remove_unused (limits, now_ms);
}

announced_limits_t *
announced_limits_create (gateway_state_t *state, rows_t *rows)
{
  announced_limits_t *limits = mem_zalloc (sizeof *limits);

  limits->state = state;
  limits->rows = rows;
  limits->by_id = map_create ();
  return limits;
}

void
announced_limits_destroy (announced_limits_t *limits)
{
  size_t cursor = 0;
  str_t id;
  void *value;

  if (limits == NULL)
    return;
  limits->rows->ops->cancel (limits->rows, limits);
  while (map_next (limits->by_id, &cursor, &id, &value))
    free (value);
  map_destroy (limits->by_id);
  free (limits);
}
