/* Tests of the compression of texts sent between entries.  */

#include "suite.h"
#include "wire/deflate.h"

enum
{
  TEXT_BYTES = 100000
};

/* A text must be the same after compression and decompression, and a
   repetitive text must become less than a quarter as long.  */
START_TEST (compressed_text_is_restored)
{
  buf_t plain = BUF_NULL;
  buf_t compressed = BUF_NULL;
  buf_t decompressed = BUF_NULL;

  while (plain.len < TEXT_BYTES)
    buf_printf (&plain, "{\"route\":\"r-%zu\",\"timeout\":2000}", plain.len);
  ck_assert (deflate_text (buf_str (&plain), &compressed));
  ck_assert_uint_lt (compressed.len, plain.len / 4);
  ck_assert_int_eq (
      inflate_text (buf_str (&compressed), plain.len, &decompressed), VH_OK);
  ck_assert (str_eq (buf_str (&decompressed), buf_str (&plain)));
  buf_free (&plain);
  buf_free (&compressed);
  buf_free (&decompressed);
}
END_TEST

/* A text that compression does not make smaller must be reported as such.  */
START_TEST (incompressible_text_is_not_compressed)
{
  char noise[64];
  buf_t compressed = BUF_NULL;

  for (size_t i = 0; i < sizeof noise; i++)
    noise[i] = (char)(i * 167 + 13 * i * i);
  ck_assert (!deflate_text (str_make (noise, sizeof noise), &compressed));
  ck_assert_uint_eq (compressed.len, 0);
}
END_TEST

/* A length that does not match the text, or damaged compressed bytes, must be
   refused.  */
START_TEST (damaged_text_is_refused)
{
  buf_t plain = BUF_NULL;
  buf_t compressed = BUF_NULL;
  buf_t decompressed = BUF_NULL;

  while (plain.len < TEXT_BYTES)
    buf_printf (&plain, "%zu,", plain.len);
  ck_assert (deflate_text (buf_str (&plain), &compressed));
  ck_assert_int_eq (
      inflate_text (buf_str (&compressed), plain.len - 1, &decompressed),
      VH_E_PROTOCOL);
  ck_assert_int_eq (
      inflate_text (buf_str (&compressed), plain.len + 1, &decompressed),
      VH_E_PROTOCOL);
  ck_assert_int_eq (
      inflate_text (str_make (compressed.ptr, compressed.len / 2), plain.len,
                    &decompressed),
      VH_E_PROTOCOL);
  compressed.ptr[compressed.len / 2] ^= 1;
  ck_assert_int_eq (
      inflate_text (buf_str (&compressed), plain.len, &decompressed),
      VH_E_PROTOCOL);
  ck_assert_uint_eq (decompressed.len, 0);
  buf_free (&plain);
  buf_free (&compressed);
  buf_free (&decompressed);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("deflate");
  TCase *tcase = tcase_create ("deflate");

  tcase_add_test (tcase, compressed_text_is_restored);
  tcase_add_test (tcase, incompressible_text_is_not_compressed);
  tcase_add_test (tcase, damaged_text_is_refused);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
