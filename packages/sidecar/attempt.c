#include "sidecar/attempt.h"

#include <stdlib.h>

enum
{
  /* What an attempt takes beside its answer, counted against the bound.  */
  ATTEMPT_OVERHEAD = 1024,
  /* An answer under a minted request id is asked for again only by the entry
     that lost a reply, and that within its call's time-out.  */
  BRIEF_KEEP_MS = 20000,
  /* An entry that has not come for an end by then is gone.  */
  DELIVERY_MS = 15000
};

struct attempts
{
  clock_iface_t *clock;
  uint64_t keep_ms;
  uint64_t bytes_max;
  uint64_t bytes; /* Of ended answers.  */
  map_t *by_id;
  map_t *by_request;
  list_t live;
  list_t ended; /* Oldest first; so is the next.  */
  list_t brief;
};

attempts_t *
attempts_create (clock_iface_t *clock, uint64_t keep_ms, uint64_t bytes)
{
  attempts_t *attempts = mem_zalloc (sizeof *attempts);

  attempts->clock = clock;
  attempts->keep_ms = keep_ms;
  attempts->bytes_max = bytes;
  attempts->by_id = map_create ();
  attempts->by_request = map_create ();
  list_init (&attempts->live);
  list_init (&attempts->ended);
  list_init (&attempts->brief);
  return attempts;
}

static void
free_headers (attempt_header_t *headers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      free (headers[i].name);
      free (headers[i].value);
    }
  free (headers);
}

static void
free_attempt (attempt_t *attempt)
{
  list_remove (&attempt->link);
  free_headers (attempt->headers, attempt->header_count);
  free_headers (attempt->request_headers, attempt->request_header_count);
  buf_free (&attempt->body);
  buf_free (&attempt->answer);
  if (attempt->digest != NULL)
    XXH3_freeState (attempt->digest);
  free (attempt->id);
  free (attempt->request_id);
  free (attempt->team);
  free (attempt->target);
  free (attempt->key);
  free (attempt->writer);
  free (attempt->method);
  free (attempt->path);
  free (attempt);
}

void
attempts_destroy (attempts_t *attempts)
{
  if (attempts == NULL)
    return;
  while (!list_is_empty (&attempts->live))
    free_attempt (CONTAINER_OF (attempts->live.next, attempt_t, link));
  while (!list_is_empty (&attempts->ended))
    free_attempt (CONTAINER_OF (attempts->ended.next, attempt_t, link));
  while (!list_is_empty (&attempts->brief))
    free_attempt (CONTAINER_OF (attempts->brief.next, attempt_t, link));
  map_destroy (attempts->by_id);
  map_destroy (attempts->by_request);
  free (attempts);
}

attempt_t *
attempts_find (attempts_t *attempts, str_t id)
{
  return map_get (attempts->by_id, id);
}

/* Return the key of TEAM's REQUEST_ID; the separator is in no name.  */
static char *
request_key (str_t team, str_t request_id)
{
  buf_t key = BUF_NULL;

  buf_printf (&key, "%.*s\n%.*s", STR_ARG (team), STR_ARG (request_id));
  buf_append_char (&key, '\0');
  return key.ptr;
}

attempt_t *
attempts_find_request (attempts_t *attempts, str_t team, str_t request_id)
{
  char *key = request_key (team, request_id);
  attempt_t *attempt = map_get (attempts->by_request, str_from (key));

  free (key);
  return attempt;
}

static attempt_t *
new_attempt (attempts_t *attempts, str_t id)
{
  attempt_t *attempt = mem_zalloc (sizeof *attempt);

  attempt->id = str_dup (id);
  attempt->refs = 1;
  attempt->touched_ms = clock_ms (attempts->clock);
  list_init (&attempt->fetchers);
  map_put (attempts->by_id, id, attempt);
  return attempt;
}

static void
copy_request (attempt_t *attempt, const wire_submit_args_t *args)
{
  size_t count = args->headers.headers_len;

  attempt->method = str_dup (str_from (args->method));
  attempt->path = str_dup (str_from (args->path));
  buf_append (&attempt->body, args->body.body_val, args->body.body_len);
  attempt->request_headers
      = mem_zalloc ((count + 1) * sizeof *attempt->request_headers);
  attempt->request_header_count = count;
  for (size_t i = 0; i < count; i++)
    {
      const wire_header_t *header = &args->headers.headers_val[i];
      attempt->request_headers[i].name = str_dup (str_from (header->name));
      attempt->request_headers[i].value = str_dup (str_from (header->value));
    }
}

attempt_t *
attempts_add (attempts_t *attempts, const wire_submit_args_t *args)
{
  attempt_t *attempt = new_attempt (attempts, str_from (args->attempt));
  uint64_t now_ms = clock_ms (attempts->clock);

  attempt->state = ATTEMPT_QUEUED;
  attempt->request_id = str_dup (str_from (args->request_id));
  attempt->team = str_dup (str_from (args->team));
  attempt->target = str_dup (str_from (args->target));
  attempt->key
      = request_key (str_from (args->team), str_from (args->request_id));
  attempt->request_digest = args->digest;
  attempt->idempotent = args->idempotent;
  attempt->brief = args->idempotent && !args->key_given;
  attempt->suspect = args->is_suspect;
  attempt->stream = args->stream;
  attempt->cost = args->cost;
  attempt->priority = args->priority;
  attempt->deadline_ms
      = args->deadline_ms > 0 ? now_ms + args->deadline_ms : 0;
  attempt->digest = XXH3_createState ();
  XXH3_64bits_reset (attempt->digest);
  copy_request (attempt, args);
  list_append (&attempts->live, &attempt->link);
  map_put (attempts->by_request, str_from (attempt->key), attempt);
  return attempt;
}

void
attempts_alias (attempts_t *attempts, str_t id, attempt_t *attempt)
{
  if (map_put (attempts->by_id, id, attempt) == NULL)
    attempt->refs++;
}

attempt_t *
attempts_fence (attempts_t *attempts, str_t id)
{
  attempt_t *attempt = new_attempt (attempts, id);

  attempt->state = ATTEMPT_FENCED;
  attempt->code = VH_E_FENCED;
  attempt->ended_ms = clock_ms (attempts->clock);
  attempts->bytes += ATTEMPT_OVERHEAD;
  list_append (&attempts->ended, &attempt->link);
  return attempt;
}

void
attempts_end (attempts_t *attempts, attempt_t *attempt)
{
  attempt->ended_ms = clock_ms (attempts->clock);
  attempt->ended_real_ms = clock_realtime_ms (attempts->clock);
  list_remove (&attempt->link);
  list_append (attempt->brief ? &attempts->brief : &attempts->ended,
               &attempt->link);
  attempts->bytes += attempt->answer.len + ATTEMPT_OVERHEAD;
  buf_free (&attempt->body);
}

/* Forget ATTEMPT, an ended one.  Aliases are looked for only when there are
   any, which is when somebody sent a request again.  */
static void
forget (attempts_t *attempts, attempt_t *attempt)
{
  attempts->bytes -= attempt->answer.len + ATTEMPT_OVERHEAD;
  map_remove (attempts->by_id, str_from (attempt->id));
  while (attempt->refs > 1)
    {
      size_t cursor = 0;
      str_t key;
      void *value;
      while (map_next (attempts->by_id, &cursor, &key, &value))
        if (value == attempt)
          {
            map_remove (attempts->by_id, key);
            break;
          }
      attempt->refs--;
    }
  if (attempt->key != NULL
      && map_get (attempts->by_request, str_from (attempt->key)) == attempt)
    map_remove (attempts->by_request, str_from (attempt->key));
  free_attempt (attempt);
}

/* Forget from LIST what is older than KEEP_MS, and what the bound forces.  */
static void
expire_list (attempts_t *attempts, list_t *list, uint64_t keep_ms)
{
  uint64_t now_ms = clock_ms (attempts->clock);

  while (!list_is_empty (list))
    {
      attempt_t *oldest = CONTAINER_OF (list->next, attempt_t, link);
      bool old = now_ms - oldest->ended_ms >= keep_ms;
      if ((!old && attempts->bytes <= attempts->bytes_max)
          || !list_is_empty (&oldest->fetchers))
        return;
      forget (attempts, oldest);
    }
}

void
attempts_expire (attempts_t *attempts)
{
  expire_list (attempts, &attempts->brief, BRIEF_KEEP_MS);
  expire_list (attempts, &attempts->ended, attempts->keep_ms);
}

list_t *
attempts_live (attempts_t *attempts)
{
  return &attempts->live;
}

/* Count in LIST, newest first, up to the first that ended too long ago.  */
static size_t
count_undelivered (const list_t *list, uint64_t now_ms)
{
  size_t count = 0;

  for (const list_t *at = list->prev; at != list; at = at->prev)
    {
      const attempt_t *attempt = CONTAINER_OF (at, attempt_t, link);
      if (now_ms - attempt->ended_ms >= DELIVERY_MS)
        break;
      count += !attempt->delivered && attempt->state == ATTEMPT_DONE
               && attempt->code == VH_OK;
    }
  return count;
}

size_t
attempts_undelivered (const attempts_t *attempts)
{
  uint64_t now_ms = clock_ms (attempts->clock);

  return count_undelivered (&attempts->ended, now_ms)
         + count_undelivered (&attempts->brief, now_ms);
}

size_t
attempts_count (const attempts_t *attempts)
{
  return map_size (attempts->by_id);
}

uint64_t
attempts_bytes (const attempts_t *attempts)
{
  return attempts->bytes;
}

void
attempt_append (attempt_t *attempt, str_t bytes)
{
  buf_append_str (&attempt->answer, bytes);
  XXH3_64bits_update (attempt->digest, bytes.ptr, bytes.len);
}

static void
fill_headers (const attempt_t *attempt, wire_header_t *headers,
              wire_answer_t *answer)
{
  size_t count = attempt->header_count;

  if (count > WIRE_HEADERS_MAX)
    count = WIRE_HEADERS_MAX;
  for (size_t i = 0; i < count; i++)
    {
      headers[i].name = attempt->headers[i].name;
      headers[i].value = attempt->headers[i].value;
    }
  answer->headers.headers_val = headers;
  answer->headers.headers_len = (u_int)count;
}

void
attempt_fill (const attempt_t *attempt, uint64_t offset, uint32_t max_bytes,
              wire_header_t *headers, wire_answer_t *answer)
{
  static const wire_state_t states[] = { [ATTEMPT_FENCED] = WIRE_DONE,
                                         [ATTEMPT_QUEUED] = WIRE_QUEUED,
                                         [ATTEMPT_RUNNING] = WIRE_RUNNING,
                                         [ATTEMPT_DONE] = WIRE_DONE };
  uint64_t len = attempt->answer.len;
  uint64_t at = offset < len ? offset : len;
  uint64_t take = len - at < max_bytes ? len - at : max_bytes;

  memset (answer, 0, sizeof *answer);
  answer->started = attempt->started;
  answer->state = states[attempt->state];
  answer->status = attempt->status;
  answer->offset = at;
  answer->bytes.bytes_val = attempt->answer.ptr + at;
  answer->bytes.bytes_len = (u_int)take;
  answer->death = attempt->death;
  if (offset == 0)
    fill_headers (attempt, headers, answer);
  if (answer->state != WIRE_DONE || at + take < len)
    return;
  answer->code = (int)attempt->code;
  answer->end = true;
  answer->retry_after_ms = attempt->retry_after_ms;
  answer->total = len;
  answer->ended_ms = attempt->ended_real_ms;
  answer->digest
      = attempt->digest != NULL ? XXH3_64bits_digest (attempt->digest) : 0;
  answer->tokens_in = attempt->tokens_in;
  answer->tokens_out = attempt->tokens_out;
}
