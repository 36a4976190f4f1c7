#include "policy/speed_codec.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* First byte of a list; another format has another one.  */
  FORMAT_MARK = 0xf1,
  COUNT_BYTES = 2,
  STAMP_BYTES = 8,
  PROCESS_BYTES = 8,
  FACTOR_BYTES = 2,
  AGE_BYTES = 1,
  FACTOR_CODE_MAX = 65535,
  AGE_UNIT_MS = 1000
};

static void
append_number (buf_t *out, uint64_t number, size_t bytes)
{
  for (size_t i = bytes; i-- > 0;)
    buf_append_char (out, (char)(uint8_t)(number >> (8 * i)));
}

/* Return the number in the first BYTES of *TEXT, which has as many, and skip
   them.  */
static uint64_t
take_number (str_t *text, size_t bytes)
{
  uint64_t number = 0;

  for (size_t i = 0; i < bytes; i++)
    number = number << 8 | (uint8_t)text->ptr[i];
  *text = str_make (text->ptr + bytes, text->len - bytes);
  return number;
}

static double
log_range (void)
{
  return log (SPEED_CODEC_FACTOR_MAX / SPEED_CODEC_FACTOR_MIN);
}

/* Return FACTOR, brought into the range.  A factor that is not a number
   becomes the least one.  */
static double
bound_factor (double factor)
{
  return fmin (fmax (SPEED_CODEC_FACTOR_MIN, factor), SPEED_CODEC_FACTOR_MAX);
}

static uint64_t
encode_factor (double factor)
{
  return (uint64_t)lround (log (bound_factor (factor) / SPEED_CODEC_FACTOR_MIN)
                           / log_range () * FACTOR_CODE_MAX);
}

/* The rounding of the arithmetic may exceed the range.  */
static double
decode_factor (uint64_t code)
{
  return bound_factor (SPEED_CODEC_FACTOR_MIN
                       * exp ((double)code / FACTOR_CODE_MAX * log_range ()));
}

static uint64_t
encode_age (uint64_t age_ms)
{
  if (age_ms > SPEED_CODEC_AGE_MAX_MS)
    age_ms = SPEED_CODEC_AGE_MAX_MS;
  return age_ms / AGE_UNIT_MS;
}

uint64_t
speed_codec_process (str_t id, uint64_t incarnation)
{
  return str_hash (id, incarnation);
}

static int
compare_entries (const void *a, const void *b)
{
  uint64_t process_a = ((const speed_codec_entry_t *)a)->process;
  uint64_t process_b = ((const speed_codec_entry_t *)b)->process;

  return (process_a > process_b) - (process_a < process_b);
}

void
speed_codec_encode (speed_codec_list_t *list, buf_t *out)
{
  qsort (list->entries, list->count, sizeof list->entries[0], compare_entries);
  append_number (out, FORMAT_MARK, 1);
  append_number (out, list->count, COUNT_BYTES);
  append_number (out, list->stamp_ms, STAMP_BYTES);
  for (size_t i = 0; i < list->count; i++)
    {
      const speed_codec_entry_t *entry = &list->entries[i];
      append_number (out, entry->process, PROCESS_BYTES);
      append_number (out, encode_factor (entry->factor), FACTOR_BYTES);
      append_number (out, encode_age (entry->age_ms), AGE_BYTES);
    }
}

vh_code_t
speed_codec_decode (str_t text, speed_codec_list_t *list)
{
  list->count = 0;
  list->stamp_ms = 0;
  if (text.len < SPEED_CODEC_HEAD_BYTES
      || take_number (&text, 1) != FORMAT_MARK)
    return VH_E_BAD_FIELD;
  size_t count = take_number (&text, COUNT_BYTES);
  uint64_t stamp_ms = take_number (&text, STAMP_BYTES);
  if (count > SPEED_CODEC_ENTRIES_MAX
      || text.len != count * SPEED_CODEC_ENTRY_BYTES)
    return VH_E_BAD_FIELD;
  for (size_t i = 0; i < count; i++)
    {
      speed_codec_entry_t *entry = &list->entries[i];
      entry->process = take_number (&text, PROCESS_BYTES);
      entry->factor = decode_factor (take_number (&text, FACTOR_BYTES));
      entry->age_ms = take_number (&text, AGE_BYTES) * AGE_UNIT_MS;
      if (i > 0 && entry->process <= list->entries[i - 1].process)
        return VH_E_BAD_FIELD;
    }
  list->stamp_ms = stamp_ms;
  list->count = count;
  return VH_OK;
}

const speed_codec_entry_t *
speed_codec_find (const speed_codec_list_t *list, uint64_t process)
{
  const speed_codec_entry_t key = { .process = process };

  if (list->count == 0)
    return NULL;
  return bsearch (&key, list->entries, list->count, sizeof key,
                  compare_entries);
}
