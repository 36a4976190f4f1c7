/* Tests of the delta between revisions and of edits of their text.  */

#include "base/rng.h"
#include "conf/snapshot.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/* Append a random line, often one that stands elsewhere too.  */
static void
add_random_line (rng_t *rng, buf_t *text)
{
  switch (rng_below (rng, 5))
    {
    case 0:
      break;
    case 1:
      buf_printf (text, "[instance runner-%d]", (int)rng_below (rng, 9));
      break;
    case 2:
      buf_append_str (text, STR ("state = in"));
      break;
    case 3:
      buf_append_str (text, STR ("state = out\r"));
      break;
    default:
      buf_printf (text, "weight = %d ; %c", (int)rng_below (rng, 4),
                  (int)rng_below (rng, 9));
      break;
    }
  if (rng_below (rng, 20) != 0)
    buf_append_char (text, '\n');
}

/* Append TEXT with a few lines removed, added or changed.  */
static void
edit_randomly (rng_t *rng, str_t text, uint64_t rate, buf_t *out)
{
  str_t rest = text;

  while (rest.ptr != NULL)
    {
      str_t line = str_cut (rest, '\n', &rest);
      if (rng_below (rng, rate) == 0)
        add_random_line (rng, out);
      if (rng_below (rng, rate) == 0)
        continue;
      buf_append_str (out, line);
      if (rest.ptr != NULL)
        buf_append_char (out, '\n');
    }
}

START_TEST (apply_of_make_is_the_new_text)
{
  rng_t rng = rng_make (11);

  for (int round = 0; round < 3000; round++)
    {
      buf_t old_text = BUF_NULL;
      buf_t new_text = BUF_NULL;
      buf_t delta = BUF_NULL;
      buf_t made = BUF_NULL;
      for (uint64_t n = rng_below (&rng, 60); n > 0; n--)
        add_random_line (&rng, &old_text);
      edit_randomly (&rng, buf_str (&old_text), 1 + rng_below (&rng, 30),
                     &new_text);
      buf_append_str (&made, STR ("before"));
      conf_delta_make (buf_str (&old_text), buf_str (&new_text), &delta);
      ck_assert_int_eq (
          conf_delta_apply (buf_str (&old_text), buf_str (&delta), &made),
          VH_OK);
      ck_assert (
          str_eq (str_make (made.ptr + 6, made.len - 6), buf_str (&new_text)));
      if (!str_eq (buf_str (&old_text), buf_str (&new_text)))
        {
          ck_assert_int_eq (
              conf_delta_apply (buf_str (&new_text), buf_str (&delta), &made),
              VH_E_PROTOCOL);
          ck_assert_uint_eq (made.len, 6 + new_text.len);
        }
      buf_free (&old_text);
      buf_free (&new_text);
      buf_free (&delta);
      buf_free (&made);
    }
}
END_TEST

START_TEST (delta_shows_what_changed)
{
  buf_t delta = BUF_NULL;
  const char *body;

  conf_delta_make (STR ("[a]\nx = 1\ny = 2\n[b]\n"),
                   STR ("[a]\nx = 3\ny = 2\nz = 4\n[b]\n"), &delta);
  buf_append_char (&delta, '\0');
  body = strchr (delta.ptr, '\n');
  ck_assert_str_eq (body, "\n=1\n-x = 1\n+x = 3\n=1\n+z = 4\n=2\n");
  buf_free (&delta);
}
END_TEST

/* Story: a process pulls a delta from a peer whose message was damaged, or
   made by a process that is out of its mind.  It must refuse it and ask
   again, and neither crash nor take a wrong text as the revision.  */
START_TEST (malformed_deltas_are_refused)
{
  static const char *const junk[] = {
    "",
    "\n",
    "delta",
    "delta\n",
    "delta 1\n",
    "delta 1 0 0 0\n",
    "delta 2 0000000000000000 0000000000000000 0\n",
    "delta 1 0000000000000000 0000000000000000 99999999999999999999\n",
    "delta 1 0000000000000000 0000000000000000 18446744073709551615\n",
    "delta 1 0000000000000000 0000000000000000 1\n=18446744073709551615\n",
  };
  str_t old_text = STR ("[a]\nx = 1\n\ny = 2\n[b]\nz = 3\n");
  str_t new_text = STR ("[a]\nx = 1\n\ny = 5\n[c]\n[b]\n");
  buf_t delta = BUF_NULL;
  rng_t rng = rng_make (5);
  size_t refused = 0;

  for (size_t i = 0; i < sizeof junk / sizeof junk[0]; i++)
    {
      buf_t made = BUF_NULL;
      ck_assert_int_eq (conf_delta_apply (old_text, str_from (junk[i]), &made),
                        VH_E_PROTOCOL);
      ck_assert_uint_eq (made.len, 0);
      buf_free (&made);
    }
  conf_delta_make (old_text, new_text, &delta);
  for (int round = 0; round < 20000; round++)
    {
      buf_t bad = BUF_NULL;
      buf_t made = BUF_NULL;
      buf_append_str (&bad, buf_str (&delta));
      for (uint64_t n = 1 + rng_below (&rng, 3); n > 0; n--)
        {
          size_t at = rng_below (&rng, bad.len);
          switch (rng_below (&rng, 3))
            {
            case 0:
              bad.ptr[at] = (char)rng_below (&rng, 256);
              break;
            case 1:
              bad.ptr[at] = "=+-\n 09"[rng_below (&rng, 7)];
              break;
            default:
              bad.len = at + 1;
              break;
            }
        }
      /* Exact size on the heap, so that ASan sees a read past it.  */
      char *exact = str_dup (buf_str (&bad));
      vh_code_t code
          = conf_delta_apply (old_text, str_make (exact, bad.len), &made);
      /* What is accepted is the new text and nothing else.  */
      if (code == VH_OK)
        ck_assert (str_eq (buf_str (&made), new_text));
      else
        {
          ck_assert_int_eq (code, VH_E_PROTOCOL);
          ck_assert_uint_eq (made.len, 0);
          refused++;
        }
      free (exact);
      buf_free (&bad);
      buf_free (&made);
    }
  ck_assert_uint_gt (refused, 19000);
  buf_free (&delta);
}
END_TEST

/* Random texts far apart, past the bound of the shortest path.  */
START_TEST (large_changes_still_apply)
{
  buf_t old_text = BUF_NULL;
  buf_t new_text = BUF_NULL;
  buf_t delta = BUF_NULL;
  buf_t made = BUF_NULL;

  for (int i = 0; i < 11000; i++)
    {
      buf_printf (&old_text, "[instance runner-%d]\nstate = in\n", i);
      buf_printf (&new_text, "[instance runner-%d]\nstate = %s\n", i * 3,
                  i % 2 ? "in" : "out");
    }
  conf_delta_make (buf_str (&old_text), buf_str (&new_text), &delta);
  ck_assert_int_eq (
      conf_delta_apply (buf_str (&old_text), buf_str (&delta), &made), VH_OK);
  ck_assert (str_eq (buf_str (&made), buf_str (&new_text)));
  /* A few edits far apart make a small delta of a large text.  */
  new_text.len = 0;
  made.len = 0;
  delta.len = 0;
  conf_set_key (buf_str (&old_text), STR ("instance runner-5"), STR ("state"),
                STR ("out"), &made);
  conf_set_key (buf_str (&made), STR ("instance runner-10995"), STR ("state"),
                STR ("out"), &new_text);
  conf_delta_make (buf_str (&old_text), buf_str (&new_text), &delta);
  ck_assert_uint_lt (delta.len, 200);
  made.len = 0;
  ck_assert_int_eq (
      conf_delta_apply (buf_str (&old_text), buf_str (&delta), &made), VH_OK);
  ck_assert (str_eq (buf_str (&made), buf_str (&new_text)));
  buf_free (&old_text);
  buf_free (&new_text);
  buf_free (&delta);
  buf_free (&made);
}
END_TEST

static const struct
{
  const char *text;
  const char *section;
  const char *key;
  const char *value; /* NULL removes.  */
  const char *result;
} edit_cases[] = {
  { "[a x]\nk = 1\n", "a x", "k", "2", "[a x]\nk = 2\n" },
  { "[a x]\nk = 1 ; why\n", "a x", "k", "2", "[a x]\nk = 2 ; why\n" },
  { "[a x]\nk = 1\t; why\r\n", "a x", "k", "2", "[a x]\nk = 2\t; why\r\n" },
  { "[a x]\nk=1;2\n", "a x", "k", "3", "[a x]\nk=3\n" },
  { "[a x]\nk =\n", "a x", "k", "3", "[a x]\nk =3\n" },
  { "[a x]\nk = ; why\n", "a x", "k", "3", "[a x]\nk = 3; why\n" },
  { "[ a   x ] ; c\nk = 1", "a x", "k", "2", "[ a   x ] ; c\nk = 2" },
  { "; k = 1\n[a x]\n;k = 1\nk = 1\n[b]\nk = 1\n", "a x", "k", "2",
    "; k = 1\n[a x]\n;k = 1\nk = 2\n[b]\nk = 1\n" },
  { "[a x]\nj = 1\n\n; of b\n[b]\n", "a x", "k", "2",
    "[a x]\nj = 1\nk = 2\n\n; of b\n[b]\n" },
  { "[a x]\nj = 1", "a x", "k", "2", "[a x]\nj = 1\nk = 2\n" },
  { "[a x]", "a x", "k", "2", "[a x]\nk = 2\n" },
  { "[a x]\n\n[b]\n", "a x", "k", "2", "[a x]\nk = 2\n\n[b]\n" },
  { "", "a x", "k", "2", "[a x]\nk = 2\n" },
  { "[b]\nk = 1", "a x", "k", "2", "[b]\nk = 1\n\n[a x]\nk = 2\n" },
  { "[a x]\nj = 1\nk = 2\nl = 3\n", "a x", "k", NULL,
    "[a x]\nj = 1\nl = 3\n" },
  { "[a x]\nj = 1\n", "a x", "k", NULL, "[a x]\nj = 1\n" },
  { "[a x]\nj = 1\n", "b", "k", NULL, "[a x]\nj = 1\n" },
  { "[a]\nk = 1\n", "a", "k", "2", "[a]\nk = 2\n" },
};

START_TEST (edits_keep_all_else)
{
  buf_t out = BUF_NULL;
  const char *value = edit_cases[_i].value;

  conf_set_key (str_from (edit_cases[_i].text),
                str_from (edit_cases[_i].section),
                str_from (edit_cases[_i].key),
                value != NULL ? str_from (value) : STR_NULL, &out);
  buf_append_char (&out, '\0');
  ck_assert_str_eq (out.ptr, edit_cases[_i].result);
  buf_free (&out);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("delta");
  TCase *tcase = tcase_create ("delta");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, apply_of_make_is_the_new_text);
  tcase_add_test (tcase, delta_shows_what_changed);
  tcase_add_test (tcase, malformed_deltas_are_refused);
  tcase_add_test (tcase, large_changes_still_apply);
  tcase_add_loop_test (tcase, edits_keep_all_else, 0,
                       sizeof edit_cases / sizeof edit_cases[0]);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
