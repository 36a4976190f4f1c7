/* Texts that are made smaller between entries.  */

#include "suite.h"
#include "wire/deflate.h"

enum
{
  LEN = 100000
};

/* A text is the same after both ways, and one that repeats itself is much
   smaller in between.  */
START_TEST (a_text_comes_back_whole)
{
  buf_t plain = BUF_NULL;
  buf_t small = BUF_NULL;
  buf_t back = BUF_NULL;

  while (plain.len < LEN)
    buf_printf (&plain, "{\"route\":\"r-%zu\",\"timeout\":2000}", plain.len);
  ck_assert (deflate_text (buf_str (&plain), &small));
  ck_assert_uint_lt (small.len, plain.len / 4);
  ck_assert_int_eq (inflate_text (buf_str (&small), plain.len, &back), VH_OK);
  ck_assert (str_eq (buf_str (&back), buf_str (&plain)));
  buf_free (&plain);
  buf_free (&small);
  buf_free (&back);
}
END_TEST

/* A text that does not get smaller is left as it is.  */
START_TEST (noise_stays_plain)
{
  char noise[64];
  buf_t small = BUF_NULL;

  for (size_t i = 0; i < sizeof noise; i++)
    noise[i] = (char)(i * 167 + 13 * i * i);
  ck_assert (!deflate_text (str_make (noise, sizeof noise), &small));
  ck_assert_uint_eq (small.len, 0);
}
END_TEST

/* A peer's word about the length is not believed, and garbled bytes are no
   text.  */
START_TEST (bad_bytes_are_refused)
{
  buf_t plain = BUF_NULL;
  buf_t small = BUF_NULL;
  buf_t back = BUF_NULL;

  while (plain.len < LEN)
    buf_printf (&plain, "%zu,", plain.len);
  ck_assert (deflate_text (buf_str (&plain), &small));
  ck_assert_int_eq (inflate_text (buf_str (&small), plain.len - 1, &back),
                    VH_E_PROTOCOL);
  ck_assert_int_eq (inflate_text (buf_str (&small), plain.len + 1, &back),
                    VH_E_PROTOCOL);
  ck_assert_int_eq (
      inflate_text (str_make (small.ptr, small.len / 2), plain.len, &back),
      VH_E_PROTOCOL);
  small.ptr[small.len / 2] ^= 1;
  ck_assert_int_eq (inflate_text (buf_str (&small), plain.len, &back),
                    VH_E_PROTOCOL);
  ck_assert_uint_eq (back.len, 0);
  buf_free (&plain);
  buf_free (&small);
  buf_free (&back);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("deflate");
  TCase *tcase = tcase_create ("deflate");

  tcase_add_test (tcase, a_text_comes_back_whole);
  tcase_add_test (tcase, noise_stays_plain);
  tcase_add_test (tcase, bad_bytes_are_refused);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
