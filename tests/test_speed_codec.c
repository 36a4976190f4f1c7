/* Encoded lists of time factors, well formed and not.  */

#include "base/mem.h"
#include "base/rng.h"
#include "policy/speed_codec.h"
#include "suite.h"

#include <math.h>
#include <stdlib.h>

enum
{
  TRIALS = 20000
};

/* Make a list of COUNT entries whose processes are in no order.  */
static speed_codec_list_t *
make_list (size_t count)
{
  speed_codec_list_t *list = mem_zalloc (sizeof *list);

  list->stamp_ms = 1234567890123;
  list->count = count;
  for (size_t i = 0; i < count; i++)
    list->entries[i] = (speed_codec_entry_t){
      .process = speed_codec_process (STR ("instance"), i),
      .factor = 0.55 + (double)i / 100,
      .age_ms = 1000 * i,
    };
  return list;
}

/* A list is read as it was written, and has the length that the bounds of
   bytes are computed with.  */
START_TEST (list_is_read_as_written)
{
  static const size_t counts[] = { 0, 1, 45, 64, SPEED_CODEC_ENTRIES_MAX };
  size_t count = counts[_i];
  speed_codec_list_t *list = make_list (count);
  speed_codec_list_t *read = mem_zalloc (sizeof *read);
  buf_t text = BUF_NULL;

  speed_codec_encode (list, &text);
  ck_assert_uint_eq (text.len,
                     SPEED_CODEC_HEAD_BYTES + count * SPEED_CODEC_ENTRY_BYTES);
  ck_assert_int_eq (speed_codec_decode (buf_str (&text), read), VH_OK);
  ck_assert_uint_eq (read->count, count);
  ck_assert_uint_eq (read->stamp_ms, list->stamp_ms);
  for (size_t i = 0; i < count; i++)
    {
      uint64_t process = speed_codec_process (STR ("instance"), i);
      const speed_codec_entry_t *entry = speed_codec_find (read, process);
      double factor = 0.55 + (double)i / 100;
      ck_assert_ptr_nonnull (entry);
      ck_assert_double_le (fabs (entry->factor / factor - 1), 0.0001);
      ck_assert_uint_eq (entry->age_ms, i <= 255 ? 1000 * i : 255000);
    }
  ck_assert_ptr_null (speed_codec_find (read, 1));
  buf_free (&text);
  free (list);
  free (read);
}
END_TEST

/* A factor out of range, or that is not a number, must not reach the
   receivers, which divide by factors.  */
START_TEST (factors_and_ages_are_brought_into_range)
{
  static const double factors[]
      = { 0, -1, NAN, INFINITY, -INFINITY, 1e-300, 1e300 };
  speed_codec_list_t *list = make_list (7);
  buf_t text = BUF_NULL;

  for (size_t i = 0; i < 7; i++)
    {
      list->entries[i].factor = factors[i];
      list->entries[i].age_ms = UINT64_MAX;
    }
  speed_codec_encode (list, &text);
  ck_assert_int_eq (speed_codec_decode (buf_str (&text), list), VH_OK);
  ck_assert_uint_eq (list->count, 7);
  for (size_t i = 0; i < 7; i++)
    {
      ck_assert_double_ge (list->entries[i].factor, SPEED_CODEC_FACTOR_MIN);
      ck_assert_double_le (list->entries[i].factor, SPEED_CODEC_FACTOR_MAX);
      ck_assert_uint_eq (list->entries[i].age_ms, SPEED_CODEC_AGE_MAX_MS);
    }
  buf_free (&text);
  free (list);
}
END_TEST

/* A process that restarts under its id, and another instance, have another
   hash.  */
START_TEST (hash_names_one_process)
{
  uint64_t process = speed_codec_process (STR ("a"), 1);

  ck_assert_uint_eq (process, speed_codec_process (STR ("a"), 1));
  ck_assert_uint_ne (process, speed_codec_process (STR ("a"), 2));
  ck_assert_uint_ne (process, speed_codec_process (STR ("b"), 1));
}
END_TEST

/* A list that was cut anywhere is refused, also between two entries.  */
START_TEST (truncated_list_is_refused)
{
  speed_codec_list_t *list = make_list (4);
  buf_t text = BUF_NULL;

  speed_codec_encode (list, &text);
  for (size_t len = 0; len < text.len; len++)
    {
      ck_assert_int_eq (speed_codec_decode (str_make (text.ptr, len), list),
                        VH_E_BAD_FIELD);
      ck_assert_uint_eq (list->count, 0);
    }
  buf_append_char (&text, 'x');
  ck_assert_int_eq (speed_codec_decode (buf_str (&text), list),
                    VH_E_BAD_FIELD);
  buf_free (&text);
  free (list);
}
END_TEST

/* A count beyond the array must not be used, also with as many bytes.  */
START_TEST (huge_count_is_refused)
{
  speed_codec_list_t *list = make_list (SPEED_CODEC_ENTRIES_MAX);
  buf_t text = BUF_NULL;

  speed_codec_encode (list, &text);
  for (size_t i = 0; i < SPEED_CODEC_ENTRY_BYTES; i++)
    buf_append_char (&text, (char)0xff);
  text.ptr[1] = (SPEED_CODEC_ENTRIES_MAX + 1) >> 8;
  text.ptr[2] = (SPEED_CODEC_ENTRIES_MAX + 1) & 0xff;
  ck_assert_int_eq (speed_codec_decode (buf_str (&text), list),
                    VH_E_BAD_FIELD);
  text.ptr[1] = (char)0xff;
  text.ptr[2] = (char)0xff;
  ck_assert_int_eq (speed_codec_decode (buf_str (&text), list),
                    VH_E_BAD_FIELD);
  ck_assert_uint_eq (list->count, 0);
  buf_free (&text);
  free (list);
}
END_TEST

/* Text of another format, and entries out of order or of the same process,
   are refused as a whole.  */
START_TEST (foreign_list_is_refused)
{
  static const char *const foreign[]
      = { "",
          "1",
          "0.55 17 1.2 18 1.37",
          "{\"speeds\":[1,2,3,4,5,6]}",
          "a",
          "\n",
          "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" };
  speed_codec_list_t *list = make_list (2);
  buf_t text = BUF_NULL;
  char *entries;

  for (size_t i = 0; i < sizeof foreign / sizeof foreign[0]; i++)
    ck_assert_int_eq (speed_codec_decode (str_from (foreign[i]), list),
                      VH_E_BAD_FIELD);
  list->count = 2;
  list->entries[0] = (speed_codec_entry_t){ .process = 1, .factor = 1 };
  list->entries[1] = (speed_codec_entry_t){ .process = 2, .factor = 1 };
  speed_codec_encode (list, &text);
  ck_assert_int_eq (speed_codec_decode (buf_str (&text), list), VH_OK);
  entries = text.ptr + SPEED_CODEC_HEAD_BYTES;
  entries[7] = 2;
  ck_assert_int_eq (speed_codec_decode (buf_str (&text), list),
                    VH_E_BAD_FIELD);
  entries[7] = 3;
  ck_assert_int_eq (speed_codec_decode (buf_str (&text), list),
                    VH_E_BAD_FIELD);
  ck_assert_uint_eq (list->count, 0);
  buf_free (&text);
  free (list);
}
END_TEST

/* Random bytes behind a valid head are refused or give factors in range.  */
START_TEST (random_bytes_give_no_bad_factor)
{
  speed_codec_list_t *list = make_list (3);
  rng_t rng = rng_make (7);
  buf_t text = BUF_NULL;

  speed_codec_encode (list, &text);
  for (int trial = 0; trial < TRIALS; trial++)
    {
      text.ptr[rng_below (&rng, text.len)] = (char)rng_u64 (&rng);
      if (speed_codec_decode (buf_str (&text), list) != VH_OK)
        {
          ck_assert_uint_eq (list->count, 0);
          list->count = 3;
          text.len = 0;
          for (uint64_t i = 0; i < 3; i++)
            list->entries[i]
                = (speed_codec_entry_t){ .process = i, .factor = 1 };
          speed_codec_encode (list, &text);
          continue;
        }
      for (size_t i = 0; i < list->count; i++)
        ck_assert (list->entries[i].factor >= SPEED_CODEC_FACTOR_MIN
                   && list->entries[i].factor <= SPEED_CODEC_FACTOR_MAX);
    }
  buf_free (&text);
  free (list);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("speed_codec");
  TCase *tcase = tcase_create ("speed_codec");

  tcase_add_loop_test (tcase, list_is_read_as_written, 0, 5);
  tcase_add_test (tcase, factors_and_ages_are_brought_into_range);
  tcase_add_test (tcase, hash_names_one_process);
  tcase_add_test (tcase, truncated_list_is_refused);
  tcase_add_test (tcase, huge_count_is_refused);
  tcase_add_test (tcase, foreign_list_is_refused);
  tcase_add_test (tcase, random_bytes_give_no_bad_factor);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
