/* Tests of the compiled configuration.  */

#include "base/rng.h"
#include "conf/snapshot.h"

#include <check.h>
#include <malloc.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define DIGEST_A                                                              \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define DIGEST_B                                                              \
  "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

#define MODELS                                                                \
  "[model draft]\n"                                                           \
  "task = t\n"                                                                \
  "[version draft@1]\n"                                                       \
  "[version draft@2]\n"                                                       \
  "[service pay]\n"
#define PLAN "[plan p]\nallow = draft@*, service:pay\n"
#define TEAM "[team a]\nplan = p\nkey-sha256 = " DIGEST_A "\n"
#define CONFIGURATION MODELS PLAN TEAM

/* Fail with all messages of ERRORS if there are any.  */
static void
check_no_errors (const conf_errors_t *errors)
{
  buf_t text = BUF_NULL;

  conf_errors_print (errors, "test", STR ("text"), &text);
  ck_assert_msg (errors->count == 0, "%s", text.ptr);
  buf_free (&text);
}

static snapshot_t *
parse (str_t text)
{
  snapshot_t *snapshot;
  conf_errors_t errors = { 0 };

  snapshot_parse (text, 7, &snapshot, &errors);
  check_no_errors (&errors);
  return snapshot;
}

/* Return the team that has the key KEY, or NULL.  */
static const team_t *
find_team_by_key (const snapshot_t *snapshot, str_t key)
{
  uint8_t digest[SHA256_DIGEST_LENGTH];

  SHA256 ((const uint8_t *)key.ptr, key.len, digest);
  return snapshot_find_team_by_key (snapshot, digest);
}

static bool
allows (const snapshot_t *snapshot, const char *team, const char *version)
{
  return snapshot_allows (
      snapshot, snapshot_find_team (snapshot, str_from (team)),
      snapshot_find_version (snapshot, str_from (version)));
}

START_TEST (example_compiles)
{
  buf_t text = BUF_NULL;

  ck_assert_int_eq (conf_read_file ("examples/lists.ini", &text), VH_OK);
  snapshot_t *snapshot = parse (buf_str (&text));
  ck_assert_uint_eq (snapshot_revision (snapshot), 7);
  ck_assert (str_eq (snapshot_text (snapshot), buf_str (&text)));
  buf_free (&text);

  const team_t *coast_team
      = find_team_by_key (snapshot, STR ("coast-office-demo-key"));
  ck_assert_ptr_nonnull (coast_team);
  ck_assert_ptr_eq (coast_team,
                    snapshot_find_team (snapshot, STR ("coast-office")));
  ck_assert_uint_eq (coast_team->weight, 4);
  ck_assert (str_eq (coast_team->plan->name, STR ("grants")));
  ck_assert_double_eq (coast_team->plan->quality_target, 0.9);
  ck_assert_int_eq (coast_team->plan->prefer, PREFER_COST);
  ck_assert_ptr_null (find_team_by_key (snapshot, STR ("no-such-key")));

  ck_assert (allows (snapshot, "coast-office", "draft-small@3"));
  ck_assert (allows (snapshot, "coast-office", "draft-large@7"));
  ck_assert (allows (snapshot, "mosque-fund", "draft-small@4"));
  ck_assert (!allows (snapshot, "mosque-fund", "draft-large@7"));
  const service_t *payment_service
      = snapshot_find_service (snapshot, STR ("disbursements"));
  ck_assert (!payment_service->idempotent);
  ck_assert_uint_eq (payment_service->timeout_ms, 20000);
  ck_assert (snapshot_allows_service (snapshot, coast_team, payment_service));
  ck_assert (!snapshot_allows_service (
      snapshot, snapshot_find_team (snapshot, STR ("auditors")),
      payment_service));

  const model_t *small_model
      = snapshot_find_model (snapshot, STR ("draft-small"));
  ck_assert_uint_eq (small_model->version_count, 2);
  ck_assert (str_eq (small_model->versions[1]->name, STR ("draft-small@4")));
  ck_assert_int_eq (small_model->versions[1]->state, VERSION_ROLLING_OUT);
  ck_assert_ptr_eq (small_model->versions[1]->model, small_model);
  ck_assert_double_eq (
      snapshot_find_version (snapshot, STR ("draft-large@7"))->cost, 8.0);

  const rollout_t *rollout = snapshot_rollout_at (snapshot, 0);
  ck_assert (str_eq (rollout->version->name, STR ("draft-small@4")));
  ck_assert (str_eq (rollout->replaced_version->name, STR ("draft-small@3")));
  ck_assert_int_eq (rollout->state, ROLLOUT_PAUSED);
  ck_assert_uint_eq (rollout->share_max_percent, 100);
  ck_assert_ptr_null (snapshot_rollout_at (snapshot, 1));

  ck_assert_uint_eq (snapshot_objective_at (snapshot, 0)->first_token_ms,
                     1500);
  ck_assert (str_eq (snapshot_objective_at (snapshot, 1)->team,
                     STR ("coast-office")));
  ck_assert (str_eq (snapshot_zone_at (snapshot, 2), STR ("nairobi-c")));
  ck_assert_ptr_null (snapshot_zone_at (snapshot, 3).ptr);
  ck_assert (str_eq (snapshot_zone_region (snapshot, STR ("nairobi-a")),
                     STR ("nairobi")));
  ck_assert_ptr_null (snapshot_team_at (snapshot, 3));
  ck_assert_ptr_null (snapshot_model_at (snapshot, 2));
  ck_assert_ptr_null (snapshot_version_at (snapshot, 3));
  ck_assert_ptr_null (snapshot_service_at (snapshot, 1));
  snapshot_unref (snapshot);
}
END_TEST

START_TEST (withdrawn_version_is_never_allowed)
{
  snapshot_t *snapshot
      = parse (STR ("[model draft]\n[version draft@1]\nstate = withdrawn\n"
                    "[version draft@2]\n" PLAN "[service pay]\n" TEAM));

  ck_assert (!allows (snapshot, "a", "draft@1"));
  ck_assert (allows (snapshot, "a", "draft@2"));
  snapshot_unref (snapshot);
}
END_TEST

START_TEST (zones_and_instances_are_enabled_by_default)
{
  snapshot_t *snapshot
      = parse (STR ("[availability-zone x]\nstate = out\n"
                    "[availability-zone y]\nstate = in\n"
                    "[instance i]\nstate = out\n[instance j]\n"));

  ck_assert (!snapshot_is_zone_enabled (snapshot, STR ("x")));
  ck_assert (snapshot_is_zone_enabled (snapshot, STR ("y")));
  ck_assert (snapshot_is_zone_enabled (snapshot, STR ("other")));
  ck_assert (!snapshot_is_instance_enabled (snapshot, STR ("i")));
  ck_assert (snapshot_is_instance_enabled (snapshot, STR ("j")));
  ck_assert (snapshot_is_instance_enabled (snapshot, STR ("k")));
  snapshot_unref (snapshot);
}
END_TEST

/* To replace its key without an interruption, a team has the old and the new
   key for some time.  If only one were accepted, the requests with the other
   would be rejected.  */
START_TEST (a_team_may_have_two_keys)
{
  snapshot_t *snapshot
      = parse (STR (MODELS PLAN "[team a]\nplan = p\nkey-sha256 = " DIGEST_A
                                " , " DIGEST_B "\n"));
  uint8_t digest[SHA256_DIGEST_LENGTH];

  memset (digest, 0xaa, sizeof digest);
  ck_assert_ptr_nonnull (snapshot_find_team_by_key (snapshot, digest));
  memset (digest, 0xbb, sizeof digest);
  ck_assert_ptr_nonnull (snapshot_find_team_by_key (snapshot, digest));
  /* A digest that differs only in the last byte does not match.  */
  digest[SHA256_DIGEST_LENGTH - 1] = 0;
  ck_assert_ptr_null (snapshot_find_team_by_key (snapshot, digest));
  snapshot_unref (snapshot);
}
END_TEST

START_TEST (comments_may_hold_any_script)
{
  snapshot_unref (
      parse (STR (CONFIGURATION "; café, مسجد, 雪, 🏔\n")));
}
END_TEST

START_TEST (reference_keeps_snapshot_alive)
{
  snapshot_t *snapshot = parse (STR (CONFIGURATION));
  snapshot_t *second_reference = snapshot_ref (snapshot);

  snapshot_unref (snapshot);
  ck_assert (allows (second_reference, "a", "draft@1"));
  snapshot_unref (second_reference);
  snapshot_unref (NULL);
  snapshot = parse (STR (""));
  ck_assert_ptr_null (snapshot_find_team (snapshot, STR ("a")));
  snapshot_unref (snapshot);
}
END_TEST

/* A faulty text and the error that it must give.  */
typedef struct
{
  const char *text;
  int line;
  const char *message; /* A part of the message.  */
  const char *hint;    /* A part of the hint; NULL accepts any.  */
} error_case_t;

/* CONFIGURATION has ten lines.  */
static const error_case_t error_cases[] = {
  { CONFIGURATION "[teem b]\n", 11, "unknown section `teem'", "`team'" },
  { CONFIGURATION "[team a]\nplan = p\nkey-sha256 = " DIGEST_B "\n", 11,
    "is defined twice, first in line 8", NULL },
  { CONFIGURATION "weigth = 2\n", 11, "unknown key `weigth'", "`weight'" },
  { CONFIGURATION "weight = 0\n", 11, "`weight' cannot be `0'",
    "from 1 to 1000" },
  { CONFIGURATION "weight = 1\nweight = 2\n", 12, "`weight' is set twice",
    NULL },
  { MODELS PLAN "[team a]\nplan = q\nkey-sha256 = " DIGEST_A "\n", 9,
    "unknown plan `q'", "add a [plan]" },
  { MODELS "[plan grants]\nallow = draft@*\n"
           "[team a]\nplan = grant\nkey-sha256 = " DIGEST_A "\n",
    9, "unknown plan `grant'", "`grants'" },
  { MODELS PLAN "[team a]\nkey-sha256 = " DIGEST_A "\n", 8,
    "[team] lacks the key `plan'", NULL },
  { MODELS PLAN "[team a]\nplan = p\n", 8, "lacks the key `key-sha256'",
    NULL },
  { MODELS PLAN "[team a]\nplan = p\nkey-sha256 = secret\n", 10,
    "`key-sha256' cannot be", "64 hexadecimal" },
  { CONFIGURATION "[team b]\nplan = p\nkey-sha256 = " DIGEST_A "\n", 13,
    "team `b' has the same key as team `a'", NULL },
  { MODELS "[plan p]\nallow = darft@*\n", 7, "allows `darft@*'", "`draft'" },
  { MODELS "[plan p]\nallow = draft\n", 7, "allows `draft'",
    "write `draft@*'" },
  { MODELS "[plan p]\nallow = pay\n", 7, "allows `pay'",
    "write `service:pay'" },
  { MODELS "[plan p]\nallow = draft@3\n", 7, "allows `draft@3'", "`draft@" },
  { MODELS "[plan p]\nallow = service:pays\n", 7, "allows `service:pays'",
    "`pay'" },
  { MODELS "[plan p]\nallow = draft@1,\n", 7, "`allow' cannot be", "commas" },
  { MODELS "[plan p]\nquality-target = 0.9\n", 6, "lacks the key `allow'",
    NULL },
  { CONFIGURATION "[plan q]\nallow = *\nquality-target = 1.1\n", 13,
    "`quality-target' cannot be `1.1'", "from 0 to 1" },
  { CONFIGURATION "[plan q]\nallow = *\nquality-target = nan\n", 13,
    "`quality-target' cannot be", NULL },
  { CONFIGURATION "[plan q]\nallow = *\nprefer = speed\n", 13,
    "`prefer' cannot be `speed'", "cost, latency" },
  { CONFIGURATION "[version drafd@3]\n", 11, "unknown model `drafd'",
    "`draft'" },
  { CONFIGURATION "[version draft]\n", 11, "has an invalid name",
    "MODEL@VERSION" },
  { CONFIGURATION "[version draft@1@2]\n", 11, "has an invalid name", NULL },
  { CONFIGURATION "[model a/b]\n", 11, "has an invalid name", "letters" },
  { CONFIGURATION "[version draft@3]\nstate = gone\n", 12,
    "`state' cannot be `gone'", "serving, rolling-out, withdrawn" },
  { CONFIGURATION "[model m]\ncost = cheap\n", 12, "`cost' cannot be",
    "a number" },
  { CONFIGURATION "[model m]\ncost = -1\n", 12, "`cost' cannot be", NULL },
  { CONFIGURATION "[service s]\nidempotent = maybe\n", 12,
    "`idempotent' cannot be", "one of no, yes" },
  { CONFIGURATION "[rollout draft@3]\nover = draft@1\n", 11,
    "unknown version `draft@3'", "draft@" },
  { CONFIGURATION "[rollout draft@2]\nover = draft@9\n", 12,
    "unknown version `draft@9'", "draft@" },
  { CONFIGURATION "[rollout draft@2]\nover = draft@2\n", 12, "over itself",
    NULL },
  { CONFIGURATION "[rollout draft@2]\nshare-max = 50\n", 11,
    "lacks the key `over'", NULL },
  { CONFIGURATION "[rollout draft@2]\nover = draft@1\nshare-max = 101\n", 13,
    "`share-max' cannot be", "from 1 to 100" },
  { CONFIGURATION "[objective o]\nteam = b\n", 12, "unknown team `b'",
    "add a [team]" },
  { CONFIGURATION "[objective o]\nanswered = 99.9\n", 12,
    "`answered' cannot be", "from 0 to 1" },
  { CONFIGURATION "[availability-zone z]\nstate = down\n", 12,
    "`state' cannot be", "out, in" },
  { CONFIGURATION "; Caf\xe9\n", 11, "byte 0xe9 is not UTF-8", "UTF-8" },
  { CONFIGURATION "; \xed\xa0\x80\n", 11, "not UTF-8", NULL },
  { CONFIGURATION "; \xf0\x8f\xbf\xbf\n", 11, "not UTF-8", NULL },
  { CONFIGURATION "; \xe2\x82", 11, "not UTF-8", NULL },
  { CONFIGURATION "; a\x07\n", 11, "byte 0x07 is not text", NULL },
  { CONFIGURATION "[instance]\n", 11, "[instance] lacks a name", NULL },
};

/* Return whether ERRORS contains the error of EXPECTED.  */
static bool
has_expected_error (const conf_errors_t *errors, const error_case_t *expected)
{
  for (size_t i = 0; i < errors->count; i++)
    {
      const conf_error_t *error = &errors->items[i];
      if (error->line != expected->line
          || strstr (error->message, expected->message) == NULL)
        continue;
      if (expected->hint == NULL
          || (error->hint != NULL && strstr (error->hint, expected->hint)))
        return true;
    }
  return false;
}

START_TEST (errors_name_line_and_hint)
{
  const error_case_t *expected = &error_cases[_i];
  snapshot_t *snapshot;
  conf_errors_t errors = { 0 };
  buf_t text = BUF_NULL;

  ck_assert_int_eq (
      snapshot_parse (str_from (expected->text), 1, &snapshot, &errors),
      VH_E_BAD_CONFIG);
  ck_assert_ptr_null (snapshot);
  conf_errors_print (&errors, "vanillahook", STR ("a.ini"), &text);
  ck_assert_msg (has_expected_error (&errors, expected),
                 "expected line %d, %s (%s)\nerrors:\n%s", expected->line,
                 expected->message, expected->hint ? expected->hint : "any",
                 text.ptr);
  buf_free (&text);
  conf_errors_free (&errors);
}
END_TEST

/* Apply one to eight random changes to TEXT.  Many replace a byte by one that
   is significant in INI.  */
static void
damage_text (rng_t *rng, buf_t *text)
{
  static const char significant[] = "[]=;#:@*,. \n\r\t0aA-\"";

  for (uint64_t n = 1 + rng_below (rng, 8); n > 0 && text->len > 0; n--)
    {
      size_t at = rng_below (rng, text->len);
      size_t len = rng_below (rng, 40);
      switch (rng_below (rng, 4))
        {
        case 0:
          text->ptr[at] = significant[rng_below (rng, sizeof significant - 1)];
          break;
        case 1:
          text->ptr[at] = (char)rng_below (rng, 256);
          break;
        case 2:
          if (len > text->len - at)
            len = text->len - at;
          memmove (text->ptr + at, text->ptr + at + len, text->len - at - len);
          text->len -= len;
          break;
        default:
          text->len = at;
          break;
        }
    }
}

/* An editor or an interrupted copy can truncate or damage a file before an
   operator applies it.  It must be rejected with an error or be valid as it
   is, and the daemon must not crash.  */
START_TEST (damaged_texts_never_crash)
{
  static const char *const files[]
      = { "examples/lists.ini", "examples/standalone.ini",
          "examples/sidecar.ini" };
  rng_t rng = rng_make (3);
  size_t rejected = 0;

  for (int round = 0; round < 6000; round++)
    {
      buf_t text = BUF_NULL;
      conf_errors_t errors = { 0 };
      snapshot_t *snapshot = NULL;
      settings_t *settings = NULL;
      vh_code_t code;
      conf_read_file (files[round % 3], &text);
      damage_text (&rng, &text);
      /* A heap copy without spare bytes, so that AddressSanitizer detects a
         read past the end.  */
      char *heap_copy = malloc (text.len + 1);
      memcpy (heap_copy, text.ptr, text.len);
      str_t damaged = str_make (heap_copy, text.len);
      if (round % 3 == 0)
        code = snapshot_parse (damaged, 1, &snapshot, &errors);
      else
        code = settings_parse (damaged, &settings, &errors);
      ck_assert_int_eq (code == VH_OK, errors.count == 0);
      ck_assert_int_eq (code == VH_OK, snapshot != NULL || settings != NULL);
      rejected += code != VH_OK;
      snapshot_unref (snapshot);
      settings_destroy (settings);
      conf_errors_free (&errors);
      free (heap_copy);
      buf_free (&text);
    }
  ck_assert_uint_gt (rejected, 3000);
}
END_TEST

enum
{
  TEAMS = 5000,
  VERSIONS = 23,
  INSTANCES = 11000,
  PLANS = 50,
  LOOKUPS = 1000000,
  HELD_BYTES_MAX = 8388608
};

static double
monotonic_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

/* Return the number of heap bytes in use.  */
static size_t
bytes_in_use (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Write a configuration of the size that is expected in two years.  */
static void
write_largest_configuration (buf_t *text)
{
  for (int i = 0; i < VERSIONS; i++)
    {
      if (i % 4 == 0)
        buf_printf (text, "[model m%d]\ntask = draft\ncost = %d\n", i / 4,
                    1 + i);
      buf_printf (text, "[version m%d@%d]\nstate = serving\n", i / 4, i);
    }
  for (int i = 0; i < PLANS; i++)
    buf_printf (text, "[plan p%d]\nallow = m%d@*, m0@0\n", i, i % 5);
  for (int i = 0; i < TEAMS; i++)
    {
      uint8_t digest[SHA256_DIGEST_LENGTH];
      char key[32];
      int len = snprintf (key, sizeof key, "key-%d", i);
      SHA256 ((uint8_t *)key, (size_t)len, digest);
      buf_printf (text, "[team team-%d]\nplan = p%d\nkey-sha256 = ", i,
                  i % PLANS);
      buf_append_hex (text, digest, sizeof digest);
      buf_printf (text, "\nweight = %d\n", 1 + i % 10);
    }
  for (int i = 0; i < INSTANCES; i++)
    buf_printf (text, "[instance runner-%d]\nstate = %s\n", i,
                i % 100 == 0 ? "out" : "in");
}

START_TEST (largest_configuration_is_fast_and_small)
{
  buf_t text = BUF_NULL;
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot;
  size_t allowed = 0;

  write_largest_configuration (&text);
  size_t before = bytes_in_use ();
  double start = monotonic_s ();
  ck_assert_int_eq (snapshot_parse (buf_str (&text), 1, &snapshot, &errors),
                    VH_OK);
  double parsed = monotonic_s ();
  size_t bytes = bytes_in_use () - before;
  for (int i = 0; i < LOOKUPS; i++)
    {
      const team_t *team = snapshot_team_at (snapshot, (size_t)i % TEAMS);
      const version_t *version
          = snapshot_version_at (snapshot, (size_t)i % VERSIONS);
      allowed += snapshot_allows (snapshot, team, version);
    }
  double lookups_done = monotonic_s ();
  ck_assert_uint_gt (allowed, 0);
  ck_assert_ptr_eq (find_team_by_key (snapshot, STR ("key-4999")),
                    snapshot_find_team (snapshot, STR ("team-4999")));
  ck_assert (!snapshot_is_instance_enabled (snapshot, STR ("runner-100")));
  ck_assert (snapshot_is_instance_enabled (snapshot, STR ("runner-101")));
  printf ("%d teams, %d versions, %d instances: text %zu bytes, parsed in "
          "%.1f ms, %zu bytes held, %.1f ns per permission check\n",
          TEAMS, VERSIONS, INSTANCES, text.len, (parsed - start) * 1e3, bytes,
          (lookups_done - parsed) * 1e9 / LOOKUPS);
  /* At most a few changes a second are expected.  The bound leaves room for
     the overhead of the sanitizers.  */
  ck_assert_double_lt (parsed - start, 2.0);
  /* The text and its compiled form; the memory budget of a process is 32 MB.
   */
  ck_assert_uint_lt (bytes, HELD_BYTES_MAX);
  snapshot_unref (snapshot);
  buf_free (&text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("snapshot");
  TCase *tcase = tcase_create ("snapshot");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, example_compiles);
  tcase_add_test (tcase, withdrawn_version_is_never_allowed);
  tcase_add_test (tcase, zones_and_instances_are_enabled_by_default);
  tcase_add_test (tcase, a_team_may_have_two_keys);
  tcase_add_test (tcase, comments_may_hold_any_script);
  tcase_add_test (tcase, reference_keeps_snapshot_alive);
  tcase_add_loop_test (tcase, errors_name_line_and_hint, 0,
                       sizeof error_cases / sizeof error_cases[0]);
  tcase_add_test (tcase, damaged_texts_never_crash);
  tcase_add_test (tcase, largest_configuration_is_fast_and_small);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
