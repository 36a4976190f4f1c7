#include "policy/trialint.h"

#include "base/mem.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>

enum
{
  TIMES_COUNT = TRIAL_ARM_COUNT * TRIAL_TIMING_COUNT * (TRIAL_TIME_BINS + 1),
  TALLIES_COUNT = (1 + TRIAL_FLAW_COUNT) * TRIAL_ROUTE_CELLS * TRIAL_TALLIES,
  /* Number of sums in a message.  */
  SUMS_COUNT = TRIAL_ARM_COUNT * TRIAL_CELL_COUNT
               * (int)(sizeof (trial_sums_t) / sizeof (double)),
  /* Number of weights between the sums and the bad answers, in a message and
     in that of an older process.  */
  WEIGHTS_COUNT
  = TRIAL_ROUTE_CELLS * (int)(sizeof (trial_likelihoods_t) / sizeof (double))
    + TIMES_COUNT + TALLIES_COUNT,
  OLDER_WEIGHTS_COUNT = 24
};

static const str_t message_format = { "2:", 2 };

bool
trial_has_unwritten_counts (const trial_t *trial)
{
  return trial->has_unwritten_counts;
}

void
trial_describe (const trial_t *trial, trial_arm_t arm, buf_t *out)
{
  trial_counts_t all = trial_total_counts (trial, false);
  trial_sums_t sums = trial_sums_of_routes (&all, arm);

  buf_printf (out, "%.0f failed of %.0f, %.0f lost; %.0f of %.0f in all",
              sums.failed, sums.count, sums.lost_connections,
              sums.total_failed, sums.total_count);
  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    buf_printf (out, "; late %s %.0f of %.0f", trial_timings[timing].name,
                sums.late_count[timing], sums.timing_count[timing]);
}

/* The message is one line: MESSAGE_FORMAT and the order's number, then the
   sums, the logarithms of likelihood ratios, the histograms, the tallies, and
   PROCESS=COUNT
   for the bad answers of each process.  The message of an older process has no
   format and other weights, which are not read.  */
/* Append the bad answers of this process to OUT; with ALL, of all
   processes.  */
static void
write_bad_answers (const trial_t *trial, bool all, buf_t *out)
{
  char own_id[TRIAL_PROCESS_ID_SIZE];
  size_t cursor = 0;
  str_t id;
  void *value;

  snprintf (own_id, sizeof own_id, "%" PRIx64, trial->process_id);
  while (map_next (trial->bad_answers, &cursor, &id, &value))
    if (all || str_eq (id, str_from (own_id)))
      buf_printf (out, " %.*s=%" PRIu64, STR_ARG (id),
                  *(const uint64_t *)value);
}

void
trial_write (trial_t *trial, bool all, buf_t *out)
{
  const trial_counts_t counts
      = all ? trial_total_counts (trial, true) : trial->own_counts;

  buf_append_str (out, message_format);
  buf_printf (out, "%llu", (unsigned long long)trial->order);
  for (size_t arm = 0; arm < TRIAL_ARM_COUNT; arm++)
    for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
      {
        const trial_sums_t *sums = &counts.sums[arm][cell];
#define X(field, decimals, decay)                                             \
  buf_printf (out, " %.*f", decimals, sums->field);
        TRIAL_SUMS (X)
#undef X
        for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
          buf_printf (out, " %.2f %.2f", sums->timing_count[timing],
                      sums->late_count[timing]);
      }
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    {
      const trial_likelihoods_t *likelihoods = &counts.likelihoods[cell];
#define X(field, decimals, decay)                                             \
  buf_printf (out, " %.*f", decimals, likelihoods->field);
      TRIAL_LIKELIHOODS (X)
#undef X
    }
  for (size_t i = 0; i < TIMES_COUNT; i++)
    buf_printf (out, " %.4g", (&counts.times[0][0][0])[i]);
  for (size_t i = 0; i < (size_t)TRIAL_ROUTE_CELLS * TRIAL_TALLIES; i++)
    {
      const trial_tally_t *tally
          = &counts.tallies[i / TRIAL_TALLIES][i % TRIAL_TALLIES];
      buf_printf (out, " %.4g", tally->answers);
      for (size_t flaw = 0; flaw < TRIAL_FLAW_COUNT; flaw++)
        buf_printf (out, " %.4g", tally->flawed[flaw]);
    }
  write_bad_answers (trial, all, out);
  trial->has_unwritten_counts = false;
}

/* Read the next number of *REST into *VALUE.  Return false unless it is finite
   and not negative.  */
static bool
read_number (str_t *rest, double *value)
{
  if (rest->ptr == NULL)
    return false;
  str_t word = str_cut (*rest, ' ', rest);
  return str_to_double (word, value) && isfinite (*value) && *value >= 0;
}

/* Read the logarithms of likelihood ratios and the histograms from *REST.  */
static vh_code_t
read_weights (str_t *rest, trial_counts_t *counts)
{
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    {
      trial_likelihoods_t *likelihoods = &counts->likelihoods[cell];
#define X(field, decimals, decay)                                             \
  if (!read_number (rest, &likelihoods->field))                               \
    return VH_E_PROTOCOL;
      TRIAL_LIKELIHOODS (X)
#undef X
    }
  for (size_t i = 0; i < TIMES_COUNT; i++)
    if (!read_number (rest, &(&counts->times[0][0][0])[i]))
      return VH_E_PROTOCOL;
  for (size_t i = 0; i < (size_t)TRIAL_ROUTE_CELLS * TRIAL_TALLIES; i++)
    {
      trial_tally_t *tally
          = &counts->tallies[i / TRIAL_TALLIES][i % TRIAL_TALLIES];
      if (!read_number (rest, &tally->answers))
        return VH_E_PROTOCOL;
      for (size_t flaw = 0; flaw < TRIAL_FLAW_COUNT; flaw++)
        if (!read_number (rest, &tally->flawed[flaw]))
          return VH_E_PROTOCOL;
    }
  return VH_OK;
}

/* Read the weights of an older process from *REST, which may have none, and
   leave them out.  */
static vh_code_t
read_older_weights (str_t *rest)
{
  double weight;

  if (rest->ptr == NULL)
    return VH_OK;
  for (size_t i = 0; i < OLDER_WEIGHTS_COUNT; i++)
    if (!read_number (rest, &weight))
      return VH_E_PROTOCOL;
  return VH_OK;
}

/* Read the start of a message from *TEXT.  Set *IS_OLDER to whether an older
   process wrote it, and *ORDER to its order.  */
static vh_code_t
read_start (str_t *text, bool *is_older, uint64_t *order)
{
  *is_older = !str_starts_with (*text, message_format);
  if (!*is_older)
    *text = str_make (text->ptr + message_format.len,
                      text->len - message_format.len);
  return str_to_u64 (str_cut (*text, ' ', text), order) ? VH_OK
                                                        : VH_E_PROTOCOL;
}

static void
skip_words (str_t *text, size_t count)
{
  while (count-- > 0 && text->ptr != NULL)
    str_cut (*text, ' ', text);
}

/* Take the bad answers of processes from TEXT, the rest of a message.  */
static vh_code_t
read_bad_answers (trial_t *trial, str_t text)
{
  while (text.ptr != NULL && text.len > 0)
    {
      str_t count_text;
      uint64_t count;
      str_t id = str_cut (str_cut (text, ' ', &text), '=', &count_text);
      if (id.len == 0 || id.len >= TRIAL_PROCESS_ID_SIZE
          || count_text.ptr == NULL || !str_to_u64 (count_text, &count))
        return VH_E_PROTOCOL;
      trial_raise_bad_answers (trial, id, count);
    }
  return VH_OK;
}

vh_code_t
trial_merge_bad_answers (trial_t *trial, str_t text)
{
  uint64_t order;
  bool is_older;

  if (read_start (&text, &is_older, &order) != VH_OK)
    return VH_E_PROTOCOL;
  if (order != trial->order)
    return VH_OK;
  skip_words (&text,
              SUMS_COUNT + (is_older ? OLDER_WEIGHTS_COUNT : WEIGHTS_COUNT));
  return read_bad_answers (trial, text);
}

vh_code_t
trial_merge (trial_t *trial, str_t process, bool was_sent_by_peer, str_t text)
{
  trial_counts_t received = { .was_sent_by_peer = was_sent_by_peer };
  uint64_t order;
  bool is_older;

  if (read_start (&text, &is_older, &order) != VH_OK)
    return VH_E_PROTOCOL;
  if (order != trial->order)
    return VH_OK;
  for (size_t arm = 0; arm < TRIAL_ARM_COUNT; arm++)
    for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
      {
        trial_sums_t *sums = &received.sums[arm][cell];
#define X(field, decimals, decay)                                             \
  if (!read_number (&text, &sums->field))                                     \
    return VH_E_PROTOCOL;
        TRIAL_SUMS (X)
#undef X
        for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
          if (!read_number (&text, &sums->timing_count[timing])
              || !read_number (&text, &sums->late_count[timing]))
            return VH_E_PROTOCOL;
      }
  if ((is_older ? read_older_weights (&text) : read_weights (&text, &received))
      != VH_OK)
    return VH_E_PROTOCOL;
  if (read_bad_answers (trial, text) != VH_OK)
    return VH_E_PROTOCOL;
  trial_counts_t *peer = map_get (trial->peers, process);
  if (peer == NULL)
    {
      peer = mem_alloc (sizeof *peer);
      map_put (trial->peers, process, peer);
    }
  *peer = received;
  if (was_sent_by_peer)
    trial->has_unwritten_counts = true;
  return VH_OK;
}
