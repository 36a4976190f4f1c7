/* Refusal of requests before dispatch: requests that crash upstreams, and
   requests above the share of their team while the fleet is at capacity.  */

#include "entry/entryint.h"

#include <stdio.h>

enum
{
  /* High halves of the keys, so that a digest and a request id never have
     equal keys.  */
  KEY_DOMAIN_DIGEST = 1,
  KEY_DOMAIN_REQUEST_ID = 2
};

static poison_key_t
make_digest_key (uint64_t digest)
{
  return (poison_key_t){ KEY_DOMAIN_DIGEST, digest };
}

static poison_key_t
make_request_key (uint64_t request_id_hash)
{
  return (poison_key_t){ KEY_DOMAIN_REQUEST_ID, request_id_hash };
}

/* Return the hash of team and request id.  Sidecars compute the same hash.  */
static uint64_t
hash_request_id (const request_t *request)
{
  buf_t text = BUF_NULL;

  buf_printf (&text, "%.*s\n%s", STR_ARG (request->team->name),
              request->request_id);
  uint64_t hash = str_hash (buf_str (&text), 0);
  buf_free (&text);
  return hash;
}

filter_result_t
guard_poison (request_t *request)
{
  poison_class_t poison_class = poison_classify (
      request->entry->poison, make_digest_key (request->digest),
      make_request_key (hash_request_id (request)));

  if (poison_class == POISON_REFUSED)
    return answer_refuse (request, VH_E_POISON);
  request->is_suspect = poison_class == POISON_SUSPECT;
  return FILTER_CONTINUE;
}

void
guard_record_crash (entry_t *entry, const wire_suspect_t *suspect)
{
  poison_record_crash (entry->poison, make_digest_key (suspect->digest),
                       make_request_key (suspect->request), suspect->death);
}

void
guard_upstream_crashed (request_t *request, uint64_t crash_id)
{
  const wire_suspect_t suspect
      = { request->digest, hash_request_id (request), crash_id };

  guard_record_crash (request->entry, &suspect);
  /* The caller may send the request again through another entry within
     milliseconds.  */
  learn_broadcast (request->entry);
}

void
guard_write (const entry_t *entry, buf_t *out)
{
  size_t cursor = 0;
  poison_record_t record;

  while (poison_next_record (entry->poison, &cursor, &record))
    buf_printf (out, "%llu %llu %llu %llu\n",
                (unsigned long long)record.key.high,
                (unsigned long long)record.key.low,
                (unsigned long long)record.crash_id,
                (unsigned long long)record.age_ms);
}

void
guard_merge (entry_t *entry, str_t bytes)
{
  while (bytes.len > 0)
    {
      poison_record_t record = { 0 };
      str_t line = str_cut (bytes, '\n', &bytes);
      uint64_t *fields[] = { &record.key.high, &record.key.low,
                             &record.crash_id, &record.age_ms };
      for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
        if (!str_to_u64 (str_cut (line, ' ', &line), fields[i]))
          return;
      poison_merge (entry->poison, &record);
    }
}

static queue_priority_t
queue_priority (const request_t *request)
{
  static const queue_priority_t priorities[]
      = { [WIRE_PRIORITY_LOW] = QUEUE_PRIORITY_LOW,
          [WIRE_PRIORITY_NORMAL] = QUEUE_PRIORITY_NORMAL,
          [WIRE_PRIORITY_HIGH] = QUEUE_PRIORITY_HIGH };

  return priorities[request->priority];
}

filter_result_t
guard_admit (request_t *request)
{
  admission_t *admission = request->pool->admission;
  str_t team = request->team->name;

  admission_set_weight (admission, team, request->team->weight);
  vh_code_t code = admission_decide (
      admission, team, request->estimated_tokens, queue_priority (request));
  if (code == VH_OK)
    return FILTER_CONTINUE;
  request->retry_after_ms
      = 1000ull * admission_retry_after_s (admission, team);
  return answer_refuse (request, code);
}
