#include "control/confstore.h"

#include "base/log.h"
#include "base/mem.h"
#include "conf/snapshot.h"
#include "storage/json.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  PERIOD_MS = 1000,
  PATIENCE_MS = 5000,
  /* Longest wait between two looks while the store is down.  */
  POLL_BACKOFF_MAX_MS = 10000,
  /* Deltas kept for peers: at 20,000 changes a day, one in 4 s, they cover
     five minutes, longer than a peer that is heard at all stays behind.  */
  CHAIN_MAX = 64,
  /* Texts kept in the store, and every so many one kept longer as the base
     from which deltas give the texts that follow.  */
  TEXTS_KEPT = 64,
  CHECKPOINT_EVERY = 1000,
  CHECKPOINTS_KEPT = 50,
  HISTORY_MAX = 1000,
  APPLY_TRIES = 8,
  KEY_SIZE = 40
};

#define HEAD_KEY STR ("conf/head")
#define DELTA_PREFIX STR ("conf/delta/")

typedef struct
{
  uint64_t revision;
  buf_t delta;
} link_t;

typedef struct apply
{
  list_t link;
  confstore_t *conf;
  buf_t text;
  buf_t who;
  uint64_t if_revision;
  uint64_t head; /* Revision and row version that the swap starts from.  */
  uint64_t head_version;
  uint64_t sent_ms;
  int tries;
  bool waiting; /* For the text of the head.  */
  confstore_apply_cb_t cb;
  void *arg;
} apply_t;

typedef struct
{
  list_t link;
  confstore_t *conf;
  size_t limit;
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
  bool confirmed;
  uint64_t confirmed_ms;
  link_t chain[CHAIN_MAX]; /* Ring: revision R stands at R % CHAIN_MAX.  */
  bool polling;
  uint64_t poll_sent_ms;
  bool fetching;
  uint64_t fetch_head;    /* What the fetch under way is to reach.  */
  uint64_t fetch_sent_ms; /* When that head was asked for.  */
  list_t applies;
  list_t histories;
};

static str_t
make_key (char *buf, const char *kind, uint64_t revision)
{
  int len = snprintf (buf, KEY_SIZE, "conf/%s/%012llu", kind,
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
  if (!conf->confirmed || at_ms > conf->confirmed_ms)
    conf->confirmed_ms = at_ms;
  conf->confirmed = true;
}

/* Bring REVISION into force if it is higher; DELTA, from the one before, may
   be STR_NULL.  */
static bool
adopt (confstore_t *conf, uint64_t revision, str_t text, str_t delta)
{
  if (revision <= conf->revision)
    return false;
  link_t *link = &conf->chain[revision % CHAIN_MAX];
  bool linked = delta.ptr != NULL && revision == conf->revision + 1;
  buf_t copy = BUF_NULL;

  link->revision = linked ? revision : 0;
  link->delta.len = 0;
  if (linked)
    buf_append_str (&link->delta, delta);
  /* TEXT may be borrowed from the one that goes.  */
  buf_append_str (&copy, text);
  buf_free (&conf->text);
  conf->text = copy;
  conf->revision = revision;
  conf->confirmed = false;
  log_info ("conf", "Configuration in force. revision=%llu bytes=%zu",
            (unsigned long long)revision, text.len);
  if (conf->options.in_force != NULL)
    conf->options.in_force (conf->options.owner, revision,
                            buf_str (&conf->text));
  return true;
}

/* Bring REVISION into force from DELTA.  Return VH_OK, VH_E_PROTOCOL, or
   VH_E_STALE_REVISION when revisions lie between.  */
static vh_code_t
adopt_delta (confstore_t *conf, uint64_t revision, str_t delta)
{
  buf_t text = BUF_NULL;

  if (revision <= conf->revision)
    return VH_OK;
  if (revision != conf->revision + 1)
    return VH_E_STALE_REVISION;
  vh_code_t code = conf_delta_apply (buf_str (&conf->text), delta, &text);
  if (code == VH_OK)
    adopt (conf, revision, buf_str (&text), delta);
  buf_free (&text);
  return code;
}

static void start_apply (apply_t *apply);
static void swap_head (apply_t *apply);
static void fetch (confstore_t *conf, uint64_t head, uint64_t sent_ms);

static void
apply_free (apply_t *apply)
{
  list_remove (&apply->link);
  buf_free (&apply->text);
  buf_free (&apply->who);
  free (apply);
}

static void
apply_end (apply_t *apply, vh_code_t code, uint64_t revision)
{
  confstore_apply_cb_t cb = apply->cb;
  void *arg = apply->arg;

  apply_free (apply);
  cb (arg, code, revision);
}

/* The text of the head was fetched, or could not be.  */
static void
fetch_end (confstore_t *conf, bool ok)
{
  list_t waiting;

  conf->fetching = false;
  if (ok && conf->revision == conf->fetch_head)
    set_confirmed (conf, conf->fetch_sent_ms);
  list_init (&waiting);
  LIST_EACH (at, &conf->applies)
    {
      if (!CONTAINER_OF (at, apply_t, link)->waiting)
        continue;
      list_remove (at);
      list_append (&waiting, at);
    }
  LIST_EACH (at, &waiting)
    {
      apply_t *apply = CONTAINER_OF (at, apply_t, link);
      list_remove (at);
      list_append (&conf->applies, at);
      apply->waiting = false;
      if (ok)
        swap_head (apply);
      else
        apply_end (apply, VH_E_NOT_ACCEPTED, conf->revision);
    }
}

static void
on_text (void *arg, vh_code_t code, const row_t *row)
{
  confstore_t *conf = arg;

  if (code == VH_OK)
    adopt (conf, conf->fetch_head, row->value, STR_NULL);
  /* A text that is gone was overtaken by many revisions: the next look at
     the head finds them.  */
  fetch_end (conf, code == VH_OK);
}

static void
fetch_text (confstore_t *conf)
{
  char key[KEY_SIZE];

  store_get (conf->store, make_key (key, "text", conf->fetch_head), on_text,
             conf);
}

static void
on_deltas (void *arg, vh_code_t code, const row_t *rows, size_t count,
           bool more)
{
  confstore_t *conf = arg;

  (void)more;
  for (size_t i = 0; i < count && code == VH_OK; i++)
    {
      buf_t scratch = BUF_NULL;
      json_t *json = json_loadb (rows[i].value.ptr, rows[i].value.len,
                                 JSON_ALLOW_NUL, NULL);
      code = adopt_delta (conf, json_get_u64 (json, "revision"),
                          json_get_bytes (json, "delta", &scratch));
      json_decref (json);
      buf_free (&scratch);
    }
  if (code == VH_E_STORE_DOWN || code == VH_E_STORE_BUSY)
    fetch_end (conf, false);
  else if (conf->revision < conf->fetch_head)
    fetch_text (conf);
  else
    fetch_end (conf, true);
}

/* Catch up with HEAD, which was asked for at SENT_MS.  */
static void
fetch (confstore_t *conf, uint64_t head, uint64_t sent_ms)
{
  char key[KEY_SIZE];

  if (conf->fetching)
    return;
  conf->fetching = true;
  conf->fetch_head = head;
  conf->fetch_sent_ms = sent_ms;
  if (conf->revision > 0 && head - conf->revision <= CHAIN_MAX)
    store_scan (conf->store, DELTA_PREFIX,
                make_key (key, "delta", conf->revision), CHAIN_MAX, on_deltas,
                conf);
  else
    fetch_text (conf);
}

/* Read the head row's value; an absent head is revision 0.  */
static bool
read_head (vh_code_t code, const row_t *row, uint64_t *head)
{
  *head = 0;
  if (code == VH_E_NOT_FOUND)
    return true;
  return code == VH_OK && str_to_u64 (row->value, head);
}

static void
on_polled (void *arg, vh_code_t code, const row_t *row)
{
  confstore_t *conf = arg;
  uint64_t head;

  conf->polling = false;
  if (!read_head (code, row, &head))
    return;
  backoff_reset (&conf->backoff);
  if (head > conf->revision)
    fetch (conf, head, conf->poll_sent_ms);
  else if (head == conf->revision)
    set_confirmed (conf, conf->poll_sent_ms);
  else
    log_warning ("conf",
                 "The store is behind; its revision is not taken. "
                 "store=%llu here=%llu",
                 (unsigned long long)head, (unsigned long long)conf->revision);
}

void
confstore_poll (confstore_t *conf)
{
  if (conf->polling || conf->fetching)
    return;
  conf->polling = true;
  conf->poll_sent_ms = now_ms (conf);
  store_get (conf->store, HEAD_KEY, on_polled, conf);
}

/* The wait grows while looks fail: many pollers must not meet a store that
   comes back all at once.  A look that succeeds resets it.  */
static void
on_timer (uv_timer_t *timer)
{
  confstore_t *conf = timer->data;

  uv_timer_start (&conf->timer, on_timer,
                  backoff_next (&conf->backoff, store_rng (conf->store)) + 1,
                  0);
  if (conf->options.polls)
    confstore_poll (conf);
}

confstore_t *
confstore_create (const control_env_t *env, const confstore_options_t *options)
{
  confstore_t *conf = mem_zalloc (sizeof *conf);

  conf->store = store_create (env);
  conf->env = *env;
  conf->options = *options;
  if (conf->options.period_ms == 0)
    conf->options.period_ms = PERIOD_MS;
  if (conf->options.patience_ms == 0)
    conf->options.patience_ms = PATIENCE_MS;
  conf->backoff
      = (backoff_t){ conf->options.period_ms, POLL_BACKOFF_MAX_MS, 0 };
  list_init (&conf->applies);
  list_init (&conf->histories);
  uv_timer_init (env->loop, &conf->timer);
  conf->timer.data = conf;
  uv_timer_start (&conf->timer, on_timer, 0, 0);
  return conf;
}

static void
on_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
confstore_destroy (confstore_t *conf)
{
  if (conf == NULL)
    return;
  store_destroy (conf->store);
  LIST_EACH (at, &conf->applies)
    apply_end (CONTAINER_OF (at, apply_t, link), VH_E_CANCELLED, 0);
  LIST_EACH (at, &conf->histories)
    {
      history_t *history = CONTAINER_OF (at, history_t, link);
      history->cb (history->arg, VH_E_CANCELLED, NULL, 0);
      free (history);
    }
  for (size_t i = 0; i < CHAIN_MAX; i++)
    buf_free (&conf->chain[i].delta);
  buf_free (&conf->text);
  uv_close ((uv_handle_t *)&conf->timer, on_closed);
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
  return conf->confirmed ? now_ms (conf) - conf->confirmed_ms : UINT64_MAX;
}

void
confstore_set_polling (confstore_t *conf, bool polls)
{
  conf->options.polls = polls;
}

static void
on_head_after_conflict (void *arg, vh_code_t code, const row_t *row)
{
  apply_t *apply = arg;
  confstore_t *conf = apply->conf;
  uint64_t head;

  /* The conflict alone proves that another revision came first.  */
  if (!read_head (code, row, &head) || head <= apply->head)
    head = apply->head + 1;
  apply_end (apply, VH_E_STALE_REVISION, head);
  if (!conf->polling)
    confstore_poll (conf);
}

static void
on_swapped (void *arg, vh_code_t code, uint64_t version, str_t conflict_key)
{
  apply_t *apply = arg;
  confstore_t *conf = apply->conf;
  uint64_t revision = apply->head + 1;

  (void)version;
  (void)conflict_key;
  if (code == VH_OK)
    {
      buf_t delta = BUF_NULL;
      if (conf->revision == apply->head)
        conf_delta_make (buf_str (&conf->text), buf_str (&apply->text),
                         &delta);
      adopt (conf, revision, buf_str (&apply->text), buf_str (&delta));
      buf_free (&delta);
      if (conf->revision == revision)
        set_confirmed (conf, apply->sent_ms);
      apply_end (apply, VH_OK, revision);
    }
  else if (code == VH_E_CONFLICT && apply->if_revision == CONFSTORE_ANY)
    start_apply (apply);
  else if (code == VH_E_CONFLICT)
    store_get (conf->store, HEAD_KEY, on_head_after_conflict, apply);
  else
    apply_end (apply,
               code == VH_E_STORE_LATE ? VH_E_STORE_LATE : VH_E_NOT_ACCEPTED,
               code == VH_E_STORE_LATE ? revision : conf->revision);
}

/* Append to OUT the history row of REVISION.  */
static void
write_delta_row (const apply_t *apply, uint64_t revision, str_t token,
                 buf_t *out)
{
  json_t *json = json_object ();
  buf_t delta = BUF_NULL;

  conf_delta_make (buf_str (&apply->conf->text), buf_str (&apply->text),
                   &delta);
  json_object_set_new (json, "revision", json_integer ((json_int_t)revision));
  json_put_bytes (json, "who", buf_str (&apply->who));
  json_object_set_new (
      json, "when_ms",
      json_integer ((json_int_t)clock_realtime_ms (apply->conf->env.clock)));
  json_put_bytes (json, "token", token);
  json_put_bytes (json, "delta", buf_str (&delta));
  json_write_and_free (json, out);
  buf_free (&delta);
}

/* Return the revision whose text goes when REVISION comes, or 0.  */
static uint64_t
expired_text (uint64_t revision)
{
  uint64_t old = revision > TEXTS_KEPT ? revision - TEXTS_KEPT : 0;

  return old % CHECKPOINT_EVERY != 0 ? old : 0;
}

static uint64_t
expired_checkpoint (uint64_t revision)
{
  uint64_t span = (uint64_t)CHECKPOINT_EVERY * CHECKPOINTS_KEPT;

  return revision % CHECKPOINT_EVERY == 0 && revision > span ? revision - span
                                                             : 0;
}

/* Swap the head from the revision in force here, whose text is at hand.  */
static void
swap_head (apply_t *apply)
{
  confstore_t *conf = apply->conf;
  uint64_t revision = apply->head + 1;
  char delta_key[KEY_SIZE];
  char text_key[KEY_SIZE];
  char old_key[KEY_SIZE];
  char checkpoint_key[KEY_SIZE];
  char number[KEY_SIZE];
  buf_t token = BUF_NULL;
  buf_t row = BUF_NULL;

  if (conf->revision != apply->head)
    {
      start_apply (apply);
      return;
    }
  store_append_token (conf->store, &token);
  write_delta_row (apply, revision, buf_str (&token), &row);
  snprintf (number, sizeof number, "%llu", (unsigned long long)revision);
  txn_write_t writes[5]
      = { { HEAD_KEY, str_from (number), false },
          { make_key (delta_key, "delta", revision), buf_str (&row), false },
          { make_key (text_key, "text", revision), buf_str (&apply->text),
            false } };
  size_t count = 3;
  if (expired_text (revision) > 0)
    writes[count++]
        = (txn_write_t){ make_key (old_key, "text", expired_text (revision)),
                         STR_NULL, true };
  if (expired_checkpoint (revision) > 0)
    writes[count++] = (txn_write_t){ make_key (checkpoint_key, "text",
                                               expired_checkpoint (revision)),
                                     STR_NULL, true };
  const txn_condition_t condition = { HEAD_KEY, apply->head_version };
  const txn_t txn = { &condition, 1, writes, count, buf_str (&token) };
  apply->sent_ms = now_ms (conf);
  store_txn (conf->store, &txn, conf->options.patience_ms, on_swapped, apply);
  buf_free (&row);
  buf_free (&token);
}

static void
on_head (void *arg, vh_code_t code, const row_t *row)
{
  apply_t *apply = arg;
  confstore_t *conf = apply->conf;
  bool any = apply->if_revision == CONFSTORE_ANY;

  if (!read_head (code, row, &apply->head))
    apply_end (apply, VH_E_NOT_ACCEPTED, conf->revision);
  else if (!any && apply->head != apply->if_revision)
    apply_end (apply, VH_E_STALE_REVISION, apply->head);
  else if (apply->head < conf->revision)
    /* Read before a swap that is known here, or a store that lost rows:
       accepting would bring back a lower revision.  */
    start_apply (apply);
  else
    {
      apply->head_version = row->version;
      apply->waiting = apply->head > conf->revision;
      if (apply->waiting)
        fetch (conf, apply->head, apply->sent_ms);
      else
        swap_head (apply);
    }
}

static void
start_apply (apply_t *apply)
{
  confstore_t *conf = apply->conf;

  if (apply->tries++ >= APPLY_TRIES)
    {
      apply_end (apply, VH_E_NOT_ACCEPTED, conf->revision);
      return;
    }
  apply->sent_ms = now_ms (conf);
  store_get (conf->store, HEAD_KEY, on_head, apply);
}

void
confstore_apply (confstore_t *conf, str_t text, str_t who,
                 uint64_t if_revision, confstore_apply_cb_t cb, void *arg)
{
  apply_t *apply = mem_zalloc (sizeof *apply);

  apply->conf = conf;
  apply->if_revision = if_revision;
  apply->cb = cb;
  apply->arg = arg;
  buf_append_str (&apply->text, text);
  buf_append_str (&apply->who, who);
  list_append (&conf->applies, &apply->link);
  start_apply (apply);
}

static void
history_end (history_t *history, vh_code_t code,
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
  history_end (history, code, entries, count);
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
  uint64_t head;

  if (!read_head (code, row, &head))
    {
      history_end (history, code, NULL, 0);
      return;
    }
  store_scan (history->conf->store, DELTA_PREFIX,
              make_key (key, "delta",
                        head > history->limit ? head - history->limit : 0),
              history->limit, on_history_rows, history);
}

void
confstore_history (confstore_t *conf, size_t limit, confstore_history_cb_t cb,
                   void *arg)
{
  history_t *history = mem_zalloc (sizeof *history);

  history->conf = conf;
  history->limit = limit < HISTORY_MAX ? limit : HISTORY_MAX;
  history->cb = cb;
  history->arg = arg;
  list_append (&conf->histories, &history->link);
  store_get (conf->store, HEAD_KEY, on_history_head, history);
}

bool
confstore_learn (confstore_t *conf, uint64_t revision, str_t text)
{
  return adopt (conf, revision, text, STR_NULL);
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
confstore_write_update (const confstore_t *conf, uint64_t have, buf_t *buf)
{
  size_t bytes = 0;
  bool linked = have > 0 && conf->revision - have <= CHAIN_MAX;

  if (have >= conf->revision)
    return false;
  for (uint64_t r = have + 1; linked && r <= conf->revision; r++)
    {
      const link_t *link = &conf->chain[r % CHAIN_MAX];
      linked = link->revision == r;
      bytes += link->delta.len;
    }
  if (!linked || bytes >= conf->text.len)
    {
      buf_printf (buf, "text %llu %zu\n", (unsigned long long)conf->revision,
                  conf->text.len);
      buf_append_str (buf, buf_str (&conf->text));
      return true;
    }
  for (uint64_t r = have + 1; r <= conf->revision; r++)
    {
      const link_t *link = &conf->chain[r % CHAIN_MAX];
      buf_printf (buf, "delta %llu %zu\n", (unsigned long long)r,
                  link->delta.len);
      buf_append_str (buf, buf_str (&link->delta));
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
      str_t kind = str_cut (line, ' ', &numbers);
      str_t len_text;
      str_t revision_text = str_cut (numbers, ' ', &len_text);
      uint64_t revision;
      uint64_t len;

      if (!str_to_u64 (revision_text, &revision)
          || !str_to_u64 (len_text, &len) || len > rest.len)
        return VH_E_PROTOCOL;
      str_t bytes = str_make (rest.ptr, len);
      vh_code_t code = VH_OK;
      if (str_eq (kind, STR ("text")))
        adopt (conf, revision, bytes, STR_NULL);
      else if (str_eq (kind, STR ("delta")))
        code = adopt_delta (conf, revision, bytes);
      else
        code = VH_E_PROTOCOL;
      if (code != VH_OK)
        return code;
      update = str_make (rest.ptr + len, rest.len - len);
    }
  return VH_OK;
}
