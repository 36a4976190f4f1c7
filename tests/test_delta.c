/* Tests of deltas between two texts and of edits of a single key.  */

#include "base/rng.h"
#include "conf/snapshot.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/* Append a random line out of a few, so that duplicates are frequent.  */
static void
append_random_line (rng_t *rng, buf_t *text)
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

/* Append a copy of TEXT in which a line is added or removed with probability
   1 / EDIT_INTERVAL each.  */
static void
append_edited_text (rng_t *rng, str_t text, uint64_t edit_interval, buf_t *out)
{
  str_t rest = text;

  while (rest.ptr != NULL)
    {
      str_t line = str_cut (rest, '\n', &rest);
      if (rng_below (rng, edit_interval) == 0)
        append_random_line (rng, out);
      if (rng_below (rng, edit_interval) == 0)
        continue;
      buf_append_str (out, line);
      if (rest.ptr != NULL)
        buf_append_char (out, '\n');
    }
}

START_TEST (applied_delta_gives_the_new_text)
{
  rng_t rng = rng_make (11);

  for (int round = 0; round < 3000; round++)
    {
      buf_t old_text = BUF_NULL;
      buf_t new_text = BUF_NULL;
      buf_t delta = BUF_NULL;
      buf_t applied = BUF_NULL;
      for (uint64_t n = rng_below (&rng, 60); n > 0; n--)
        append_random_line (&rng, &old_text);
      append_edited_text (&rng, buf_str (&old_text), 1 + rng_below (&rng, 30),
                          &new_text);
      buf_append_str (&applied, STR ("before"));
      conf_delta_make (buf_str (&old_text), buf_str (&new_text), &delta);
      ck_assert_int_eq (
          conf_delta_apply (buf_str (&old_text), buf_str (&delta), &applied),
          VH_OK);
      ck_assert (str_eq (str_make (applied.ptr + 6, applied.len - 6),
                         buf_str (&new_text)));
      if (!str_eq (buf_str (&old_text), buf_str (&new_text)))
        {
          ck_assert_int_eq (conf_delta_apply (buf_str (&new_text),
                                              buf_str (&delta), &applied),
                            VH_E_PROTOCOL);
          ck_assert_uint_eq (applied.len, 6 + new_text.len);
        }
      buf_free (&old_text);
      buf_free (&new_text);
      buf_free (&delta);
      buf_free (&applied);
    }
}
END_TEST

START_TEST (delta_lists_changed_lines)
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

/* A delta from a peer can be damaged in transit or be built by a faulty
   process.  The receiver must reject it; it must not crash or accept a wrong
   text as the new revision.  */
START_TEST (malformed_deltas_are_rejected)
{
  static const char *const malformed[] = {
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
  size_t rejected = 0;

  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    {
      buf_t applied = BUF_NULL;
      ck_assert_int_eq (
          conf_delta_apply (old_text, str_from (malformed[i]), &applied),
          VH_E_PROTOCOL);
      ck_assert_uint_eq (applied.len, 0);
      buf_free (&applied);
    }
  conf_delta_make (old_text, new_text, &delta);
  for (int round = 0; round < 20000; round++)
    {
      buf_t damaged = BUF_NULL;
      buf_t applied = BUF_NULL;
      buf_append_str (&damaged, buf_str (&delta));
      for (uint64_t n = 1 + rng_below (&rng, 3); n > 0; n--)
        {
          size_t at = rng_below (&rng, damaged.len);
          switch (rng_below (&rng, 3))
            {
            case 0:
              damaged.ptr[at] = (char)rng_below (&rng, 256);
              break;
            case 1:
              damaged.ptr[at] = "=+-\n 09"[rng_below (&rng, 7)];
              break;
            default:
              damaged.len = at + 1;
              break;
            }
        }
      /* A heap copy without spare bytes, so that AddressSanitizer detects a
         read past the end.  */
      char *heap_copy = str_dup (buf_str (&damaged));
      vh_code_t code = conf_delta_apply (
          old_text, str_make (heap_copy, damaged.len), &applied);
      /* A delta that is accepted must give the new text.  */
      if (code == VH_OK)
        ck_assert (str_eq (buf_str (&applied), new_text));
      else
        {
          ck_assert_int_eq (code, VH_E_PROTOCOL);
          ck_assert_uint_eq (applied.len, 0);
          rejected++;
        }
      free (heap_copy);
      buf_free (&damaged);
      buf_free (&applied);
    }
  ck_assert_uint_gt (rejected, 19000);
  buf_free (&delta);
}
END_TEST

/* Two texts with more differences than the search for the shortest edit script
   handles; the delta must still be correct.  */
START_TEST (large_changes_apply)
{
  buf_t old_text = BUF_NULL;
  buf_t new_text = BUF_NULL;
  buf_t delta = BUF_NULL;
  buf_t applied = BUF_NULL;

  for (int i = 0; i < 11000; i++)
    {
      buf_printf (&old_text, "[instance runner-%d]\nstate = in\n", i);
      buf_printf (&new_text, "[instance runner-%d]\nstate = %s\n", i * 3,
                  i % 2 ? "in" : "out");
    }
  conf_delta_make (buf_str (&old_text), buf_str (&new_text), &delta);
  ck_assert_int_eq (
      conf_delta_apply (buf_str (&old_text), buf_str (&delta), &applied),
      VH_OK);
  ck_assert (str_eq (buf_str (&applied), buf_str (&new_text)));
  /* Two edits far apart in a large text give a small delta.  */
  new_text.len = 0;
  applied.len = 0;
  delta.len = 0;
  conf_set_key (buf_str (&old_text), STR ("instance runner-5"), STR ("state"),
                STR ("out"), &applied);
  conf_set_key (buf_str (&applied), STR ("instance runner-10995"),
                STR ("state"), STR ("out"), &new_text);
  conf_delta_make (buf_str (&old_text), buf_str (&new_text), &delta);
  ck_assert_uint_lt (delta.len, 200);
  applied.len = 0;
  ck_assert_int_eq (
      conf_delta_apply (buf_str (&old_text), buf_str (&delta), &applied),
      VH_OK);
  ck_assert (str_eq (buf_str (&applied), buf_str (&new_text)));
  buf_free (&old_text);
  buf_free (&new_text);
  buf_free (&delta);
  buf_free (&applied);
}
END_TEST

static const struct
{
  const char *text;
  const char *section;
  const char *key;
  const char *value; /* NULL removes the key.  */
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

START_TEST (edits_change_only_the_key)
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
  tcase_add_test (tcase, applied_delta_gives_the_new_text);
  tcase_add_test (tcase, delta_lists_changed_lines);
  tcase_add_test (tcase, malformed_deltas_are_rejected);
  tcase_add_test (tcase, large_changes_apply);
  tcase_add_loop_test (tcase, edits_change_only_the_key, 0,
                       sizeof edit_cases / sizeof edit_cases[0]);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
