/* Fuzz tests of the parsers of settings, configurations and deltas, with a
   fixed number of rounds and fixed seeds.  A damaged text must be rejected
   with an error or accepted, and must not crash the process.  Builds with
   sanitizers run the same tests to detect invalid memory accesses.  */

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
parse_settings (str_t text)
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
parse_configuration (str_t text)
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
fuzz_file (const char *path, uint64_t seed, void (*parse) (str_t text))
{
  buf_t corpus = BUF_NULL;
  buf_t damaged = BUF_NULL;
  rng_t rng = rng_make (seed);

  read_corpus (path, &corpus);
  parse (buf_str (&corpus));
  for (int i = 0; i < ROUNDS; i++)
    {
      mutate (&rng, buf_str (&corpus), &damaged);
      parse (buf_str (&damaged));
    }
  buf_free (&corpus);
  buf_free (&damaged);
}

START_TEST (damaged_settings_never_crash)
{
  fuzz_file ("examples/entry.ini", 1, parse_settings);
  fuzz_file ("examples/sidecar.ini", 2, parse_settings);
  fuzz_file ("examples/standalone.ini", 3, parse_settings);
}
END_TEST

START_TEST (damaged_configurations_never_crash)
{
  fuzz_file ("examples/lists.ini", 4, parse_configuration);
}
END_TEST

/* A peer may send a damaged delta.  It must be rejected or give the text whose
   hash the delta contains.  */
START_TEST (damaged_deltas_never_crash)
{
  buf_t old_text = BUF_NULL;
  buf_t new_text = BUF_NULL;
  buf_t delta = BUF_NULL;
  buf_t damaged = BUF_NULL;
  buf_t result = BUF_NULL;
  rng_t rng = rng_make (5);
  int rejected = 0;

  read_corpus ("examples/lists.ini", &old_text);
  conf_set_key (buf_str (&old_text), STR ("team coast-office"), STR ("weight"),
                STR ("9"), &new_text);
  conf_delta_make (buf_str (&old_text), buf_str (&new_text), &delta);
  for (int i = 0; i < ROUNDS; i++)
    {
      mutate (&rng, buf_str (&delta), &damaged);
      result.len = 0;
      vh_code_t code = conf_delta_apply (buf_str (&old_text),
                                         buf_str (&damaged), &result);
      if (code == VH_OK)
        ck_assert (str_eq (buf_str (&result), buf_str (&new_text)));
      rejected += code != VH_OK;
    }
  ck_assert_int_gt (rejected, ROUNDS / 2);
  buf_free (&old_text);
  buf_free (&new_text);
  buf_free (&delta);
  buf_free (&damaged);
  buf_free (&result);
}
END_TEST

/* An edit of a damaged text must not crash the process, and its result must be
   rejected with an error or accepted.  */
START_TEST (edited_damaged_texts_never_crash)
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
      parse_configuration (buf_str (&out));
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
  tcase_add_test (tcase, damaged_settings_never_crash);
  tcase_add_test (tcase, damaged_configurations_never_crash);
  tcase_add_test (tcase, damaged_deltas_never_crash);
  tcase_add_test (tcase, edited_damaged_texts_never_crash);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
