/* Damaged settings, lists and deltas: a bounded run from fixed seeds.  Each
   is refused with a complaint or taken, and never ends the process; the
   sanitizers' run of the same sees what goes wrong inside.  */

#include "conf/settings.h"
#include "conf/snapshot.h"
#include "mutate.h"
#include "suite.h"

#include <check.h>
#include <stdio.h>

enum
{
  ROUNDS = 3000
};

static void
read_corpus (const char *path, buf_t *text)
{
  ck_assert_int_eq (conf_read_file (path, text), VH_OK);
  ck_assert_uint_gt (text->len, 0);
}

static void
try_settings (str_t text)
{
  conf_errors_t errors = { 0 };
  settings_t *settings = NULL;
  vh_code_t code = settings_parse (text, &settings, &errors);

  ck_assert ((code == VH_OK) == (settings != NULL));
  ck_assert ((code == VH_OK) == (errors.count == 0));
  settings_destroy (settings);
  conf_errors_free (&errors);
}

static void
try_lists (str_t text)
{
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;
  vh_code_t code = snapshot_parse (text, 1, &snapshot, &errors);
  buf_t lines = BUF_NULL;

  ck_assert ((code == VH_OK) == (snapshot != NULL));
  ck_assert ((code == VH_OK) == (errors.count == 0));
  conf_errors_print (&errors, "fuzz", STR ("lists.ini"), &lines);
  if (snapshot != NULL)
    ck_assert (str_eq (snapshot_text (snapshot), text));
  buf_free (&lines);
  snapshot_unref (snapshot);
  conf_errors_free (&errors);
}

static void
run (const char *path, uint64_t seed, void (*attempt) (str_t text))
{
  buf_t corpus = BUF_NULL;
  buf_t damaged = BUF_NULL;
  rng_t rng = rng_make (seed);

  read_corpus (path, &corpus);
  attempt (buf_str (&corpus));
  for (int i = 0; i < ROUNDS; i++)
    {
      mutate (&rng, buf_str (&corpus), &damaged);
      attempt (buf_str (&damaged));
    }
  buf_free (&corpus);
  buf_free (&damaged);
}

START_TEST (settings)
{
  run ("examples/entry.ini", 1, try_settings);
  run ("examples/sidecar.ini", 2, try_settings);
  run ("examples/standalone.ini", 3, try_settings);
}
END_TEST

START_TEST (lists) { run ("examples/lists.ini", 4, try_lists); }
END_TEST

/* A peer sends a damaged delta.  It is refused, or makes the very text that
   its own hash tells.  */
START_TEST (deltas)
{
  buf_t old_text = BUF_NULL;
  buf_t new_text = BUF_NULL;
  buf_t delta = BUF_NULL;
  buf_t damaged = BUF_NULL;
  buf_t made = BUF_NULL;
  rng_t rng = rng_make (5);
  int refused = 0;

  read_corpus ("examples/lists.ini", &old_text);
  conf_set_key (buf_str (&old_text), STR ("team coast-office"), STR ("weight"),
                STR ("9"), &new_text);
  conf_delta_make (buf_str (&old_text), buf_str (&new_text), &delta);
  for (int i = 0; i < ROUNDS; i++)
    {
      mutate (&rng, buf_str (&delta), &damaged);
      made.len = 0;
      vh_code_t code
          = conf_delta_apply (buf_str (&old_text), buf_str (&damaged), &made);
      if (code == VH_OK)
        ck_assert (str_eq (buf_str (&made), buf_str (&new_text)));
      refused += code != VH_OK;
    }
  ck_assert_int_gt (refused, ROUNDS / 2);
  buf_free (&old_text);
  buf_free (&new_text);
  buf_free (&delta);
  buf_free (&damaged);
  buf_free (&made);
}
END_TEST

/* An edit of a damaged text never ends the process, and what it makes is
   refused or taken whole.  */
START_TEST (edits)
{
  buf_t corpus = BUF_NULL;
  buf_t damaged = BUF_NULL;
  buf_t out = BUF_NULL;
  rng_t rng = rng_make (6);

  read_corpus ("examples/lists.ini", &corpus);
  for (int i = 0; i < ROUNDS; i++)
    {
      mutate (&rng, buf_str (&corpus), &damaged);
      out.len = 0;
      conf_set_key (buf_str (&damaged), STR ("availability-zone nairobi-b"),
                    STR ("state"), STR ("out"), &out);
      try_lists (buf_str (&out));
    }
  buf_free (&corpus);
  buf_free (&damaged);
  buf_free (&out);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fuzz_conf");
  TCase *tcase = tcase_create ("fuzz_conf");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, settings);
  tcase_add_test (tcase, lists);
  tcase_add_test (tcase, deltas);
  tcase_add_test (tcase, edits);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
