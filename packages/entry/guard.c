/* Requests kept out before they are dispatched: those that end their
   upstreams, and those over their team's share while the fleet is full.  */

#include "entry/entryint.h"

#include <stdio.h>

enum
{
  /* Domains of the keys, so that a digest is never taken for a request.  */
  DOMAIN_DIGEST = 1,
  DOMAIN_REQUEST = 2
};

static poison_key_t
digest_key (uint64_t digest)
{
  return (poison_key_t){ DOMAIN_DIGEST, digest };
}

static poison_key_t
request_key (uint64_t request)
{
  return (poison_key_t){ DOMAIN_REQUEST, request };
}

/* The hash that sidecars make of a team and a request id.  */
static uint64_t
request_hash (const request_t *request)
{
  buf_t text = BUF_NULL;

  buf_printf (&text, "%.*s\n%s", STR_ARG (request->team->name),
              request->request_id);
  uint64_t hash = str_hash (buf_str (&text), 0);
  buf_free (&text);
  return hash;
}

filter_step_t
guard_poison (request_t *request)
{
  poison_class_t verdict
      = poison_classify (request->entry->poison, digest_key (request->digest),
                         request_key (request_hash (request)));

  if (verdict == POISON_REFUSED)
    return answer_refuse (request, VH_E_POISON);
  request->suspect = verdict == POISON_SUSPECT;
  return FILTER_NEXT;
}

void
guard_told (entry_t *entry, const wire_suspect_t *suspect)
{
  poison_record_crash (entry->poison, digest_key (suspect->digest),
                       request_key (suspect->request), suspect->death);
}

void
guard_died (request_t *request, uint64_t death)
{
  const wire_suspect_t suspect
      = { request->digest, request_hash (request), death };

  guard_told (request->entry, &suspect);
  /* The caller may send it again through another entry within
     milliseconds.  */
  learn_spread (request->entry);
}

void
guard_write (const entry_t *entry, buf_t *out)
{
  size_t cursor = 0;
  poison_record_t mark;

  while (poison_next_record (entry->poison, &cursor, &mark))
    buf_printf (
        out, "%llu %llu %llu %llu\n", (unsigned long long)mark.key.high,
        (unsigned long long)mark.key.low, (unsigned long long)mark.death,
        (unsigned long long)mark.age_ms);
}

void
guard_merge (entry_t *entry, str_t bytes)
{
  while (bytes.len > 0)
    {
      poison_record_t mark = { 0 };
      str_t line = str_cut (bytes, '\n', &bytes);
      uint64_t *fields[]
          = { &mark.key.high, &mark.key.low, &mark.death, &mark.age_ms };
      for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
        if (!str_to_u64 (str_cut (line, ' ', &line), fields[i]))
          return;
      poison_merge (entry->poison, &mark);
    }
}

static queue_priority_t
priority_of (const request_t *request)
{
  static const queue_priority_t priorities[]
      = { [WIRE_PRIORITY_LOW] = QUEUE_LOW,
          [WIRE_PRIORITY_NORMAL] = QUEUE_NORMAL,
          [WIRE_PRIORITY_HIGH] = QUEUE_HIGH };

  return priorities[request->priority];
}

filter_step_t
guard_admit (request_t *request)
{
  admission_t *admission = request->pool->admission;
  str_t team = request->team->name;

  admission_set_weight (admission, team, request->team->weight);
  vh_code_t code = admission_decide (admission, team, request->cost,
                                     priority_of (request));
  if (code == VH_OK)
    return FILTER_NEXT;
  request->retry_after_ms
      = 1000ull * admission_retry_after_s (admission, team);
  return answer_refuse (request, code);
}
