#include "gateway/announced_limits.h"

#include "base/eventlog.h"

#include <math.h>
#include <stdio.h>

enum
{
  RATE_TEXT_SIZE = 32
};

/* Return the text of RATE_PER_S, stored in BUFFER.  */
static str_t
format_rate (char buffer[RATE_TEXT_SIZE], double rate_per_s)
{
  snprintf (buffer, RATE_TEXT_SIZE, "%.6g", rate_per_s);
  return str_from (buffer);
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

/* Parse the rate in TEXT.  Return false if TEXT is not a number of at least
   0.  */
static bool
parse_rate (str_t text, double *rate_per_s)
{
  return str_to_double (str_trim (text), rate_per_s) && isfinite (*rate_per_s)
         && *rate_per_s >= 0;
}

static void
log_announced (const upstream_t *upstream, const rate_limit_t *before)
{
  char rate[RATE_TEXT_SIZE];
  char rate_before[RATE_TEXT_SIZE];

  log_event (
      EVENT_LIMIT, log_field_text (FIELD_UPSTREAM, upstream_id (upstream)),
      log_field_text (FIELD_VERSION, upstream_version (upstream)),
      log_field_text (
          FIELD_RATE,
          format_rate (rate, upstream_rate_limit (upstream)->rate_per_s)),
      log_field_text (FIELD_BEFORE, before->is_announced ? format_rate (
                                        rate_before, before->rate_per_s)
                                                         : STR ("-")));
}

static void
log_ended (const upstream_t *upstream, const rate_limit_t *before,
           uint64_t now_ms)
{
  char rate_before[RATE_TEXT_SIZE];

  log_event (EVENT_LIMIT_END,
             log_field_text (FIELD_UPSTREAM, upstream_id (upstream)),
             log_field_text (FIELD_BEFORE,
                             format_rate (rate_before, before->rate_per_s)),
             log_field_number (FIELD_KNOWN_MS, now_ms - before->since_ms));
}

void
announced_limits_observe (pool_t *pool, upstream_t *upstream,
                          const http_exchange_head_t *head, str_t name,
                          uint64_t sent_ms)
{
  const rate_limit_t before = *upstream_rate_limit (upstream);
  str_t text = single_header (head, name);
  double rate_per_s;

  if (text.ptr == NULL)
    {
      if (head->status < 300 && sent_ms > before.confirmed_ms
          && pool_end_rate_limit (pool, upstream))
        log_ended (upstream, &before, pool_now_ms (pool));
    }
  else if (!parse_rate (text, &rate_per_s))
    log_event (EVENT_LIMIT_BAD,
               log_field_text (FIELD_UPSTREAM, upstream_id (upstream)),
               log_field_text (FIELD_VALUE, text));
  else if (pool_announce_rate_limit (pool, upstream, rate_per_s))
    log_announced (upstream, &before);
}
