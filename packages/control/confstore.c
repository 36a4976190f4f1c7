#include "control/confstore.h"

#include "base/log.h"
#include "base/mem.h"
#include "conf/snapshot.h"
#include "storage/json.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  POLL_INTERVAL_MS = 1000,
  APPLY_TIMEOUT_MS = 5000,
  /* Maximum delay between polls while the store is unavailable.  */
  POLL_BACKOFF_MAX_MS = 10000,
  /* Deltas kept in memory for peers.  At 20,000 changes a day, one every 4 s,
     they cover about five minutes, which is longer than a reachable peer lags
     behind.  */
  DELTAS_KEPT = 64,
  /* Number of recent texts kept in the store.  In addition, the text of every
     CHECKPOINT_EVERY-th revision is kept longer as a checkpoint, from which
     the following texts can be reconstructed with the deltas.  */
  TEXTS_KEPT = 64,
  CHECKPOINT_EVERY = 1000,
  CHECKPOINTS_KEPT = 50,
  HISTORY_MAX = 1000,
  APPLY_ATTEMPTS_MAX = 8,
  KEY_SIZE = 40
};

#define HEAD_KEY STR ("conf/head")
#define DELTA_PREFIX STR ("conf/delta/")

typedef struct
{
  uint64_t revision;
  buf_t delta;
} ring_delta_t;

typedef struct change
{
  list_t link;
  confstore_t *conf;
  buf_t text;
  buf_t who;
  uint64_t if_revision;
  uint64_t base_revision;    /* Revision that the change is based on.  */
  uint64_t head_row_version; /* Version of conf/head at BASE_REVISION.  */
  uint64_t sent_ms;
  int attempts;
  /* Whether the change waits until the text of the head is fetched.  */
  bool awaits_text;
  confstore_apply_cb_t cb;
  void *arg;
} change_t;

typedef struct
{
  list_t link;
  confstore_t *conf;
  size_t revision_limit;
  confstore_history_cb_t cb;
  void *arg;
} history_t;

struct confstore
{
  store_t *store;
  control_env_t env;
  confstore_options_t options;
  uv_timer_t timer;
  backoff_t backoff;
  uint64_t revision;
  buf_t text;
  bool is_confirmed;
  uint64_t confirmed_ms;
  /* Ring buffer; the delta of revision R is at index R % DELTAS_KEPT.  */
  ring_delta_t recent_deltas[DELTAS_KEPT];
  bool is_polling;
  uint64_t poll_sent_ms;
  bool is_fetching;
  uint64_t fetch_revision; /* Target revision of the fetch in progress.  */
  uint64_t
      fetch_sent_ms; /* Time when the head was requested from the store.  */
  list_t pending_changes;
  list_t histories;
};

static str_t
make_key (char *buf, const char *row_kind, uint64_t revision)
{
  int len = snprintf (buf, KEY_SIZE, "conf/%s/%012llu", row_kind,
                      (unsigned long long)revision);

  return str_make (buf, (size_t)len);
}

static uint64_t
now_ms (const confstore_t *conf)
{
  return clock_ms (conf->env.clock);
}

static void
set_confirmed (confstore_t *conf, uint64_t at_ms)
{
  if (!conf->is_confirmed || at_ms > conf->confirmed_ms)
    conf->confirmed_ms = at_ms;
  conf->is_confirmed = true;
}

/* Make REVISION the active revision if it is higher than the active one.
   DELTA is the difference from the preceding revision; STR_NULL if unknown.
   Return whether REVISION became active.  */
static bool
activate_revision (confstore_t *conf, uint64_t revision, str_t text,
                   str_t delta)
{
  if (revision <= conf->revision)
    return false;
  ring_delta_t *ring_delta = &conf->recent_deltas[revision % DELTAS_KEPT];
  bool has_delta = delta.ptr != NULL && revision == conf->revision + 1;
  buf_t copy = BUF_NULL;

  ring_delta->revision = has_delta ? revision : 0;
  ring_delta->delta.len = 0;
  if (has_delta)
    buf_append_str (&ring_delta->delta, delta);
  /* TEXT may point into the text that is freed below.  */
  buf_append_str (&copy, text);
  buf_free (&conf->text);
  conf->text = copy;
  conf->revision = revision;
  conf->is_confirmed = false;
  log_info ("conf",
            "Configuration revision is active. revision=%llu bytes=%zu",
            (unsigned long long)revision, text.len);
  if (conf->options.on_revision != NULL)
    conf->options.on_revision (conf->options.owner, revision,
                               buf_str (&conf->text));
  return true;
}

/* Make REVISION the active revision by applying DELTA to the active text.
   Return VH_OK, VH_E_PROTOCOL, or VH_E_STALE_REVISION if REVISION does not
   directly follow the active revision.  */
static vh_code_t
activate_delta (confstore_t *conf, uint64_t revision, str_t delta)
{
  buf_t text = BUF_NULL;

  if (revision <= conf->revision)
    return VH_OK;
  if (revision != conf->revision + 1)
    return VH_E_STALE_REVISION;
  vh_code_t code = conf_delta_apply (buf_str (&conf->text), delta, &text);
  if (code == VH_OK)
    activate_revision (conf, revision, buf_str (&text), delta);
  buf_free (&text);
  return code;
}

static void start_change (change_t *change);
static void commit_change (change_t *change);
static void start_fetch (confstore_t *conf, uint64_t head_revision,
                         uint64_t sent_ms);

static void
change_free (change_t *change)
{
  list_remove (&change->link);
  buf_free (&change->text);
  buf_free (&change->who);
  free (change);
}

static void
finish_change (change_t *change, vh_code_t code, uint64_t revision)
{
  confstore_apply_cb_t cb = change->cb;
  void *arg = change->arg;

  change_free (change);
  cb (arg, code, revision);
}

/* End the pending fetch and resume the changes that waited for the text.  If
   the fetch failed (IS_FETCHED is false), these changes are not accepted.  */
static void
finish_fetch (confstore_t *conf, bool is_fetched)
{
  list_t waiting_changes;

  conf->is_fetching = false;
  if (is_fetched && conf->revision == conf->fetch_revision)
    set_confirmed (conf, conf->fetch_sent_ms);
  list_init (&waiting_changes);
  LIST_EACH (at, &conf->pending_changes)
    {
      if (!CONTAINER_OF (at, change_t, link)->awaits_text)
        continue;
      list_remove (at);
      list_append (&waiting_changes, at);
    }
  LIST_EACH (at, &waiting_changes)
    {
      change_t *change = CONTAINER_OF (at, change_t, link);
      list_remove (at);
      list_append (&conf->pending_changes, at);
      change->awaits_text = false;
      if (is_fetched)
        commit_change (change);
      else
        finish_change (change, VH_E_NOT_ACCEPTED, conf->revision);
    }
}

static void
on_text_fetched (void *arg, vh_code_t code, const row_t *row)
{
  confstore_t *conf = arg;

  if (code == VH_OK)
    activate_revision (conf, conf->fetch_revision, row->value, STR_NULL);
  /* If the text row was deleted, many newer revisions exist, and the next poll
     of the head finds them.  */
  finish_fetch (conf, code == VH_OK);
}

static void
fetch_text (confstore_t *conf)
{
  char key[KEY_SIZE];

  store_get (conf->store, make_key (key, "text", conf->fetch_revision),
             on_text_fetched, conf);
}

static void
on_deltas_fetched (void *arg, vh_code_t code, const row_t *rows, size_t count,
                   bool more)
{
  confstore_t *conf = arg;

  (void)more;
  for (size_t i = 0; i < count && code == VH_OK; i++)
    {
      buf_t scratch = BUF_NULL;
      json_t *json = json_loadb (rows[i].value.ptr, rows[i].value.len,
                                 JSON_ALLOW_NUL, NULL);
      code = activate_delta (conf, json_get_u64 (json, "revision"),
                             json_get_bytes (json, "delta", &scratch));
      json_decref (json);
      buf_free (&scratch);
    }
  if (code == VH_E_STORE_DOWN || code == VH_E_STORE_BUSY)
    finish_fetch (conf, false);
  else if (conf->revision < conf->fetch_revision)
    fetch_text (conf);
  else
    finish_fetch (conf, true);
}

/* Fetch the deltas or the text up to HEAD_REVISION, which was read from the
   store by a request sent at SENT_MS.  */
static void
start_fetch (confstore_t *conf, uint64_t head_revision, uint64_t sent_ms)
{
  char key[KEY_SIZE];

  if (conf->is_fetching)
    return;
  conf->is_fetching = true;
  conf->fetch_revision = head_revision;
  conf->fetch_sent_ms = sent_ms;
  if (conf->revision > 0 && head_revision - conf->revision <= DELTAS_KEPT)
    store_scan (conf->store, DELTA_PREFIX,
                make_key (key, "delta", conf->revision), DELTAS_KEPT,
                on_deltas_fetched, conf);
  else
    fetch_text (conf);
}

/* Parse the value of the head row; an absent row means revision 0.  Return
   false if the read failed or the value is not a number.  */
static bool
parse_head (vh_code_t code, const row_t *row, uint64_t *head_revision)
{
  *head_revision = 0;
  if (code == VH_E_NOT_FOUND)
    return true;
  return code == VH_OK && str_to_u64 (row->value, head_revision);
}

static void
on_head_polled (void *arg, vh_code_t code, const row_t *row)
{
  confstore_t *conf = arg;
  uint64_t head_revision;

  conf->is_polling = false;
  if (!parse_head (code, row, &head_revision))
    return;
  backoff_reset (&conf->backoff);
  if (head_revision > conf->revision)
    start_fetch (conf, head_revision, conf->poll_sent_ms);
  else if (head_revision == conf->revision)
    set_confirmed (conf, conf->poll_sent_ms);
  else
    log_warning ("conf",
                 "The revision in the store is lower than the active revision "
                 "and is ignored. "
                 "store=%llu here=%llu",
                 (unsigned long long)head_revision,
                 (unsigned long long)conf->revision);
}

void
confstore_poll (confstore_t *conf)
{
  if (conf->is_polling || conf->is_fetching)
    return;
  conf->is_polling = true;
  conf->poll_sent_ms = now_ms (conf);
  store_get (conf->store, HEAD_KEY, on_head_polled, conf);
}

/* The delay grows while polls fail, so that a store that recovers is not
   overloaded by many processes polling at the same time.  A successful poll
   resets the delay.  */
static void
on_timer (uv_timer_t *timer)
{
  confstore_t *conf = timer->data;

  uv_timer_start (&conf->timer, on_timer,
                  backoff_next (&conf->backoff, store_rng (conf->store)) + 1,
                  0);
  if (conf->options.polling_enabled)
    confstore_poll (conf);
}

confstore_t *
confstore_create (const control_env_t *env, const confstore_options_t *options)
{
  confstore_t *conf = mem_zalloc (sizeof *conf);

  conf->store = store_create (env);
  conf->env = *env;
  conf->options = *options;
  if (conf->options.poll_interval_ms == 0)
    conf->options.poll_interval_ms = POLL_INTERVAL_MS;
  if (conf->options.apply_timeout_ms == 0)
    conf->options.apply_timeout_ms = APPLY_TIMEOUT_MS;
  conf->backoff
      = (backoff_t){ conf->options.poll_interval_ms, POLL_BACKOFF_MAX_MS, 0 };
  list_init (&conf->pending_changes);
  list_init (&conf->histories);
  uv_timer_init (env->loop, &conf->timer);
  conf->timer.data = conf;
  uv_timer_start (&conf->timer, on_timer, 0, 0);
  return conf;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
confstore_destroy (confstore_t *conf)
{
  if (conf == NULL)
    return;
  store_destroy (conf->store);
  LIST_EACH (at, &conf->pending_changes)
    finish_change (CONTAINER_OF (at, change_t, link), VH_E_CANCELLED, 0);
  LIST_EACH (at, &conf->histories)
    {
      history_t *history = CONTAINER_OF (at, history_t, link);
      history->cb (history->arg, VH_E_CANCELLED, NULL, 0);
      free (history);
    }
  for (size_t i = 0; i < DELTAS_KEPT; i++)
    buf_free (&conf->recent_deltas[i].delta);
  buf_free (&conf->text);
  uv_close ((uv_handle_t *)&conf->timer, on_timer_closed);
}

uint64_t
confstore_revision (const confstore_t *conf)
{
  return conf->revision;
}

str_t
confstore_text (const confstore_t *conf)
{
  return buf_str (&conf->text);
}

uint64_t
confstore_confirmed_age_ms (const confstore_t *conf)
{
  return conf->is_confirmed ? now_ms (conf) - conf->confirmed_ms : UINT64_MAX;
}

void
confstore_set_polling (confstore_t *conf, bool polls)
{
  conf->options.polling_enabled = polls;
}

static void
on_head_after_conflict (void *arg, vh_code_t code, const row_t *row)
{
  change_t *change = arg;
  confstore_t *conf = change->conf;
  uint64_t head_revision;

  /* The conflict proves that a newer revision exists even if the head cannot
     be read.  */
  if (!parse_head (code, row, &head_revision)
      || head_revision <= change->base_revision)
    head_revision = change->base_revision + 1;
  finish_change (change, VH_E_STALE_REVISION, head_revision);
  if (!conf->is_polling)
    confstore_poll (conf);
}

static void
on_committed (void *arg, vh_code_t code, uint64_t version, str_t conflict_key)
{
  change_t *change = arg;
  confstore_t *conf = change->conf;
  uint64_t revision = change->base_revision + 1;

  (void)version;
  (void)conflict_key;
  if (code == VH_OK)
    {
      buf_t delta = BUF_NULL;
      if (conf->revision == change->base_revision)
        conf_delta_make (buf_str (&conf->text), buf_str (&change->text),
                         &delta);
      activate_revision (conf, revision, buf_str (&change->text),
                         buf_str (&delta));
      buf_free (&delta);
      if (conf->revision == revision)
        set_confirmed (conf, change->sent_ms);
      finish_change (change, VH_OK, revision);
    }
  else if (code == VH_E_CONFLICT && change->if_revision == CONFSTORE_ANY)
    start_change (change);
  else if (code == VH_E_CONFLICT)
    store_get (conf->store, HEAD_KEY, on_head_after_conflict, change);
  else
    finish_change (
        change, code == VH_E_STORE_LATE ? VH_E_STORE_LATE : VH_E_NOT_ACCEPTED,
        code == VH_E_STORE_LATE ? revision : conf->revision);
}

/* Append to OUT the value of the history row of REVISION.  */
static void
write_delta_row (const change_t *change, uint64_t revision, str_t token,
                 buf_t *out)
{
  json_t *json = json_object ();
  buf_t delta = BUF_NULL;

  conf_delta_make (buf_str (&change->conf->text), buf_str (&change->text),
                   &delta);
  json_object_set_new (json, "revision", json_integer ((json_int_t)revision));
  json_put_bytes (json, "who", buf_str (&change->who));
  json_object_set_new (
      json, "when_ms",
      json_integer ((json_int_t)clock_realtime_ms (change->conf->env.clock)));
  json_put_bytes (json, "token", token);
  json_put_bytes (json, "delta", buf_str (&delta));
  json_write_and_free (json, out);
  buf_free (&delta);
}

/* Return the revision whose text is deleted when REVISION is written, or 0 if
   no text is deleted.  */
static uint64_t
expired_text_revision (uint64_t revision)
{
  uint64_t old = revision > TEXTS_KEPT ? revision - TEXTS_KEPT : 0;

  return old % CHECKPOINT_EVERY != 0 ? old : 0;
}

/* Return the checkpoint revision whose text is deleted when REVISION is
   written, or 0 if no checkpoint is deleted.  */
static uint64_t
expired_checkpoint_revision (uint64_t revision)
{
  uint64_t kept_revisions = (uint64_t)CHECKPOINT_EVERY * CHECKPOINTS_KEPT;

  return revision % CHECKPOINT_EVERY == 0 && revision > kept_revisions
             ? revision - kept_revisions
             : 0;
}

/* Write the change and advance the head in one transaction.  The active
   revision must be the one that the change is based on.  */
static void
commit_change (change_t *change)
{
  confstore_t *conf = change->conf;
  uint64_t revision = change->base_revision + 1;
  char delta_key[KEY_SIZE];
  char text_key[KEY_SIZE];
  char text_to_delete_key[KEY_SIZE];
  char checkpoint_key[KEY_SIZE];
  char head_text[KEY_SIZE];
  buf_t token = BUF_NULL;
  buf_t row = BUF_NULL;

  if (conf->revision != change->base_revision)
    {
      start_change (change);
      return;
    }
  store_append_token (conf->store, &token);
  write_delta_row (change, revision, buf_str (&token), &row);
  snprintf (head_text, sizeof head_text, "%llu", (unsigned long long)revision);
  txn_write_t writes[5]
      = { { HEAD_KEY, str_from (head_text), false },
          { make_key (delta_key, "delta", revision), buf_str (&row), false },
          { make_key (text_key, "text", revision), buf_str (&change->text),
            false } };
  size_t count = 3;
  if (expired_text_revision (revision) > 0)
    writes[count++]
        = (txn_write_t){ make_key (text_to_delete_key, "text",
                                   expired_text_revision (revision)),
                         STR_NULL, true };
  if (expired_checkpoint_revision (revision) > 0)
    writes[count++]
        = (txn_write_t){ make_key (checkpoint_key, "text",
                                   expired_checkpoint_revision (revision)),
                         STR_NULL, true };
  const txn_condition_t condition = { HEAD_KEY, change->head_row_version };
  const txn_t txn = { &condition, 1, writes, count, buf_str (&token) };
  change->sent_ms = now_ms (conf);
  store_txn (conf->store, &txn, conf->options.apply_timeout_ms, on_committed,
             change);
  buf_free (&row);
  buf_free (&token);
}

static void
on_change_head (void *arg, vh_code_t code, const row_t *row)
{
  change_t *change = arg;
  confstore_t *conf = change->conf;
  bool is_any_revision = change->if_revision == CONFSTORE_ANY;

  if (!parse_head (code, row, &change->base_revision))
    finish_change (change, VH_E_NOT_ACCEPTED, conf->revision);
  else if (!is_any_revision && change->base_revision != change->if_revision)
    finish_change (change, VH_E_STALE_REVISION, change->base_revision);
  else if (change->base_revision < conf->revision)
    /* The head was read before a newer change, or the store has lost rows.
       Accepting the change would reactivate a lower revision.  */
    start_change (change);
  else
    {
      change->head_row_version = row->version;
      change->awaits_text = change->base_revision > conf->revision;
      if (change->awaits_text)
        start_fetch (conf, change->base_revision, change->sent_ms);
      else
        commit_change (change);
    }
}

static void
start_change (change_t *change)
{
  confstore_t *conf = change->conf;

  if (change->attempts++ >= APPLY_ATTEMPTS_MAX)
    {
      finish_change (change, VH_E_NOT_ACCEPTED, conf->revision);
      return;
    }
  change->sent_ms = now_ms (conf);
  store_get (conf->store, HEAD_KEY, on_change_head, change);
}

void
confstore_apply (confstore_t *conf, str_t text, str_t who,
                 uint64_t if_revision, confstore_apply_cb_t cb, void *arg)
{
  change_t *change = mem_zalloc (sizeof *change);

  change->conf = conf;
  change->if_revision = if_revision;
  change->cb = cb;
  change->arg = arg;
  buf_append_str (&change->text, text);
  buf_append_str (&change->who, who);
  list_append (&conf->pending_changes, &change->link);
  start_change (change);
}

static void
finish_history (history_t *history, vh_code_t code,
                const confstore_history_entry_t *entries, size_t count)
{
  list_remove (&history->link);
  history->cb (history->arg, code, entries, count);
  free (history);
}

static void
on_history_rows (void *arg, vh_code_t code, const row_t *rows, size_t count,
                 bool more)
{
  history_t *history = arg;
  confstore_history_entry_t *entries
      = mem_zalloc ((count + 1) * sizeof *entries);
  json_t **json = mem_zalloc ((count + 1) * sizeof (json_t *));
  buf_t *scratch = mem_zalloc ((2 * count + 1) * sizeof *scratch);

  (void)more;
  for (size_t i = 0; i < count; i++)
    {
      const row_t *row = &rows[count - 1 - i];
      json[i]
          = json_loadb (row->value.ptr, row->value.len, JSON_ALLOW_NUL, NULL);
      entries[i] = (confstore_history_entry_t){
        .revision = json_get_u64 (json[i], "revision"),
        .who = json_get_bytes (json[i], "who", &scratch[2 * i]),
        .when_ms = json_get_u64 (json[i], "when_ms"),
        .delta = json_get_bytes (json[i], "delta", &scratch[2 * i + 1]),
      };
    }
  finish_history (history, code, entries, count);
  for (size_t i = 0; i < count; i++)
    {
      json_decref (json[i]);
      buf_free (&scratch[2 * i]);
      buf_free (&scratch[2 * i + 1]);
    }
  free (scratch);
  free (json);
  free (entries);
}

static void
on_history_head (void *arg, vh_code_t code, const row_t *row)
{
  history_t *history = arg;
  char key[KEY_SIZE];
  uint64_t head_revision;

  if (!parse_head (code, row, &head_revision))
    {
      finish_history (history, code, NULL, 0);
      return;
    }
  store_scan (history->conf->store, DELTA_PREFIX,
              make_key (key, "delta",
                        head_revision > history->revision_limit
                            ? head_revision - history->revision_limit
                            : 0),
              history->revision_limit, on_history_rows, history);
}

void
confstore_history (confstore_t *conf, size_t revision_limit,
                   confstore_history_cb_t cb, void *arg)
{
  history_t *history = mem_zalloc (sizeof *history);

  history->conf = conf;
  history->revision_limit
      = revision_limit < HISTORY_MAX ? revision_limit : HISTORY_MAX;
  history->cb = cb;
  history->arg = arg;
  list_append (&conf->histories, &history->link);
  store_get (conf->store, HEAD_KEY, on_history_head, history);
}

bool
confstore_receive_text (confstore_t *conf, uint64_t revision, str_t text)
{
  return activate_revision (conf, revision, text, STR_NULL);
}

void
confstore_record_confirmation (confstore_t *conf, uint64_t revision,
                               uint64_t age_ms)
{
  uint64_t now = now_ms (conf);

  if (revision == conf->revision && age_ms <= now)
    set_confirmed (conf, now - age_ms);
}

bool
confstore_write_update (const confstore_t *conf, uint64_t peer_revision,
                        buf_t *buf)
{
  size_t delta_bytes = 0;
  bool has_all_deltas
      = peer_revision > 0 && conf->revision - peer_revision <= DELTAS_KEPT;

  if (peer_revision >= conf->revision)
    return false;
  for (uint64_t revision = peer_revision + 1;
       has_all_deltas && revision <= conf->revision; revision++)
    {
      const ring_delta_t *ring_delta
          = &conf->recent_deltas[revision % DELTAS_KEPT];
      has_all_deltas = ring_delta->revision == revision;
      delta_bytes += ring_delta->delta.len;
    }
  if (!has_all_deltas || delta_bytes >= conf->text.len)
    {
      buf_printf (buf, "text %llu %zu\n", (unsigned long long)conf->revision,
                  conf->text.len);
      buf_append_str (buf, buf_str (&conf->text));
      return true;
    }
  for (uint64_t revision = peer_revision + 1; revision <= conf->revision;
       revision++)
    {
      const ring_delta_t *ring_delta
          = &conf->recent_deltas[revision % DELTAS_KEPT];
      buf_printf (buf, "delta %llu %zu\n", (unsigned long long)revision,
                  ring_delta->delta.len);
      buf_append_str (buf, buf_str (&ring_delta->delta));
    }
  return true;
}

vh_code_t
confstore_receive_update (confstore_t *conf, str_t update)
{
  while (update.len > 0)
    {
      str_t rest;
      str_t line = str_cut (update, '\n', &rest);
      str_t numbers;
      str_t section_kind = str_cut (line, ' ', &numbers);
      str_t len_text;
      str_t revision_text = str_cut (numbers, ' ', &len_text);
      uint64_t revision;
      uint64_t len;

      if (!str_to_u64 (revision_text, &revision)
          || !str_to_u64 (len_text, &len) || len > rest.len)
        return VH_E_PROTOCOL;
      str_t content = str_make (rest.ptr, len);
      vh_code_t code = VH_OK;
      if (str_eq (section_kind, STR ("text")))
        activate_revision (conf, revision, content, STR_NULL);
      else if (str_eq (section_kind, STR ("delta")))
        code = activate_delta (conf, revision, content);
      else
        code = VH_E_PROTOCOL;
      if (code != VH_OK)
        return code;
      update = str_make (rest.ptr + len, rest.len - len);
    }
  return VH_OK;
}
