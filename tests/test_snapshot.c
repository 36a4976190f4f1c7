/* Tests of the operators' lists.  */

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
#define LISTS MODELS PLAN TEAM

/* Fail with all the complaints that ERRORS holds.  */
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

/* Return the team whose key is KEY.  */
static const team_t *
team_of_key (const snapshot_t *snapshot, str_t key)
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

  const team_t *coast = team_of_key (snapshot, STR ("coast-office-demo-key"));
  ck_assert_ptr_nonnull (coast);
  ck_assert_ptr_eq (coast,
                    snapshot_find_team (snapshot, STR ("coast-office")));
  ck_assert_uint_eq (coast->weight, 4);
  ck_assert (str_eq (coast->plan->name, STR ("grants")));
  ck_assert_double_eq (coast->plan->quality_target, 0.9);
  ck_assert_int_eq (coast->plan->prefer, PREFER_COST);
  ck_assert_ptr_null (team_of_key (snapshot, STR ("no-such-key")));

  ck_assert (allows (snapshot, "coast-office", "draft-small@3"));
  ck_assert (allows (snapshot, "coast-office", "draft-large@7"));
  ck_assert (allows (snapshot, "mosque-fund", "draft-small@4"));
  ck_assert (!allows (snapshot, "mosque-fund", "draft-large@7"));
  const service_t *pay
      = snapshot_find_service (snapshot, STR ("disbursements"));
  ck_assert (!pay->idempotent);
  ck_assert_uint_eq (pay->timeout_ms, 20000);
  ck_assert (snapshot_allows_service (snapshot, coast, pay));
  ck_assert (!snapshot_allows_service (
      snapshot, snapshot_find_team (snapshot, STR ("auditors")), pay));

  const model_t *small = snapshot_find_model (snapshot, STR ("draft-small"));
  ck_assert_uint_eq (small->version_count, 2);
  ck_assert (str_eq (small->versions[1]->name, STR ("draft-small@4")));
  ck_assert_int_eq (small->versions[1]->state, VERSION_ROLLING_OUT);
  ck_assert_ptr_eq (small->versions[1]->model, small);
  ck_assert_double_eq (
      snapshot_find_version (snapshot, STR ("draft-large@7"))->cost, 8.0);

  const rollout_t *rollout = snapshot_rollout_at (snapshot, 0);
  ck_assert (str_eq (rollout->version->name, STR ("draft-small@4")));
  ck_assert (str_eq (rollout->over->name, STR ("draft-small@3")));
  ck_assert_int_eq (rollout->state, ROLLOUT_PAUSED);
  ck_assert_uint_eq (rollout->share_max, 100);
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

START_TEST (withdrawn_is_never_allowed)
{
  snapshot_t *snapshot
      = parse (STR ("[model draft]\n[version draft@1]\nstate = withdrawn\n"
                    "[version draft@2]\n" PLAN "[service pay]\n" TEAM));

  ck_assert (!allows (snapshot, "a", "draft@1"));
  ck_assert (allows (snapshot, "a", "draft@2"));
  snapshot_unref (snapshot);
}
END_TEST

START_TEST (zones_and_instances_default_to_in)
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

/* Story: a team's key is replaced without a moment in which neither works,
   by listing the old and the new one for a while.  */
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
  /* Equal but for the last byte is not equal.  */
  digest[SHA256_DIGEST_LENGTH - 1] = 0;
  ck_assert_ptr_null (snapshot_find_team_by_key (snapshot, digest));
  snapshot_unref (snapshot);
}
END_TEST

START_TEST (comments_may_hold_any_script)
{
  snapshot_unref (parse (STR (LISTS "; café, مسجد, 雪, 🏔\n")));
}
END_TEST

START_TEST (references_keep_a_snapshot)
{
  snapshot_t *snapshot = parse (STR (LISTS));
  snapshot_t *again = snapshot_ref (snapshot);

  snapshot_unref (snapshot);
  ck_assert (allows (again, "a", "draft@1"));
  snapshot_unref (again);
  snapshot_unref (NULL);
  snapshot = parse (STR (""));
  ck_assert_ptr_null (snapshot_find_team (snapshot, STR ("a")));
  snapshot_unref (snapshot);
}
END_TEST

typedef struct
{
  const char *text;
  int line;
  const char *message;
  const char *hint; /* NULL: any.  */
} error_case_t;

/* LISTS has ten lines.  */
static const error_case_t error_cases[] = {
  { LISTS "[teem b]\n", 11, "unknown section `teem'", "`team'" },
  { LISTS "[team a]\nplan = p\nkey-sha256 = " DIGEST_B "\n", 11,
    "stands twice, first in line 8", NULL },
  { LISTS "weigth = 2\n", 11, "unknown key `weigth'", "`weight'" },
  { LISTS "weight = 0\n", 11, "`weight' cannot be `0'", "from 1 to 1000" },
  { LISTS "weight = 1\nweight = 2\n", 12, "`weight' stands twice", NULL },
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
  { LISTS "[team b]\nplan = p\nkey-sha256 = " DIGEST_A "\n", 13,
    "team `b' has a key that team `a' has", NULL },
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
  { LISTS "[plan q]\nallow = *\nquality-target = 1.1\n", 13,
    "`quality-target' cannot be `1.1'", "from 0 to 1" },
  { LISTS "[plan q]\nallow = *\nquality-target = nan\n", 13,
    "`quality-target' cannot be", NULL },
  { LISTS "[plan q]\nallow = *\nprefer = speed\n", 13,
    "`prefer' cannot be `speed'", "cost, latency" },
  { LISTS "[version drafd@3]\n", 11, "unknown model `drafd'", "`draft'" },
  { LISTS "[version draft]\n", 11, "does not fit", "MODEL@VERSION" },
  { LISTS "[version draft@1@2]\n", 11, "does not fit", NULL },
  { LISTS "[model a/b]\n", 11, "does not fit", "letters" },
  { LISTS "[version draft@3]\nstate = gone\n", 12, "`state' cannot be `gone'",
    "serving, rolling-out, withdrawn" },
  { LISTS "[model m]\ncost = cheap\n", 12, "`cost' cannot be", "a number" },
  { LISTS "[model m]\ncost = -1\n", 12, "`cost' cannot be", NULL },
  { LISTS "[service s]\nidempotent = maybe\n", 12, "`idempotent' cannot be",
    "one of no, yes" },
  { LISTS "[rollout draft@3]\nover = draft@1\n", 11,
    "unknown version `draft@3'", "draft@" },
  { LISTS "[rollout draft@2]\nover = draft@9\n", 12,
    "unknown version `draft@9'", "draft@" },
  { LISTS "[rollout draft@2]\nover = draft@2\n", 12, "over itself", NULL },
  { LISTS "[rollout draft@2]\nshare-max = 50\n", 11, "lacks the key `over'",
    NULL },
  { LISTS "[rollout draft@2]\nover = draft@1\nshare-max = 101\n", 13,
    "`share-max' cannot be", "from 1 to 100" },
  { LISTS "[objective o]\nteam = b\n", 12, "unknown team `b'",
    "add a [team]" },
  { LISTS "[objective o]\nanswered = 99.9\n", 12, "`answered' cannot be",
    "from 0 to 1" },
  { LISTS "[availability-zone z]\nstate = down\n", 12, "`state' cannot be",
    "out, in" },
  { LISTS "; Caf\xe9\n", 11, "byte 0xe9 is not UTF-8", "UTF-8" },
  { LISTS "; \xed\xa0\x80\n", 11, "not UTF-8", NULL },
  { LISTS "; \xf0\x8f\xbf\xbf\n", 11, "not UTF-8", NULL },
  { LISTS "; \xe2\x82", 11, "not UTF-8", NULL },
  { LISTS "; a\x07\n", 11, "byte 0x07 is not text", NULL },
  { LISTS "[instance]\n", 11, "[instance] lacks a name", NULL },
};

/* Tell whether ERRORS holds the complaint of WANTED.  */
static bool
has_error (const conf_errors_t *errors, const error_case_t *wanted)
{
  for (size_t i = 0; i < errors->count; i++)
    {
      const conf_error_t *error = &errors->items[i];
      if (error->line != wanted->line
          || strstr (error->message, wanted->message) == NULL)
        continue;
      if (wanted->hint == NULL
          || (error->hint != NULL && strstr (error->hint, wanted->hint)))
        return true;
    }
  return false;
}

START_TEST (errors_name_line_and_hint)
{
  const error_case_t *wanted = &error_cases[_i];
  snapshot_t *snapshot;
  conf_errors_t errors = { 0 };
  buf_t text = BUF_NULL;

  ck_assert_int_eq (
      snapshot_parse (str_from (wanted->text), 1, &snapshot, &errors),
      VH_E_BAD_CONFIG);
  ck_assert_ptr_null (snapshot);
  conf_errors_print (&errors, "vanillahook", STR ("a.ini"), &text);
  ck_assert_msg (has_error (&errors, wanted),
                 "wanted line %d, %s (%s)\nhave\n%s", wanted->line,
                 wanted->message, wanted->hint ? wanted->hint : "any",
                 text.ptr);
  buf_free (&text);
  conf_errors_free (&errors);
}
END_TEST

/* Change a few bytes of TEXT, mostly to ones that mean something.  */
static void
damage (rng_t *rng, buf_t *text)
{
  static const char telling[] = "[]=;#:@*,. \n\r\t0aA-\"";

  for (uint64_t n = 1 + rng_below (rng, 8); n > 0 && text->len > 0; n--)
    {
      size_t at = rng_below (rng, text->len);
      size_t len = rng_below (rng, 40);
      switch (rng_below (rng, 4))
        {
        case 0:
          text->ptr[at] = telling[rng_below (rng, sizeof telling - 1)];
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

/* Story: an operator applies a file that an editor or a copy cut short or
   mangled.  It must be refused with a line, or be lists that stand by
   themselves; the daemon must never fall over it.  */
START_TEST (damaged_texts_never_crash)
{
  static const char *const files[]
      = { "examples/lists.ini", "examples/standalone.ini",
          "examples/sidecar.ini" };
  rng_t rng = rng_make (3);
  size_t refused = 0;

  for (int round = 0; round < 6000; round++)
    {
      buf_t text = BUF_NULL;
      conf_errors_t errors = { 0 };
      snapshot_t *snapshot = NULL;
      settings_t *settings = NULL;
      vh_code_t code;
      conf_read_file (files[round % 3], &text);
      damage (&rng, &text);
      /* Exact size on the heap, so that ASan sees a read past it.  */
      char *exact = malloc (text.len + 1);
      memcpy (exact, text.ptr, text.len);
      str_t damaged = str_make (exact, text.len);
      if (round % 3 == 0)
        code = snapshot_parse (damaged, 1, &snapshot, &errors);
      else
        code = settings_parse (damaged, &settings, &errors);
      ck_assert_int_eq (code == VH_OK, errors.count == 0);
      ck_assert_int_eq (code == VH_OK, snapshot != NULL || settings != NULL);
      refused += code != VH_OK;
      snapshot_unref (snapshot);
      settings_destroy (settings);
      conf_errors_free (&errors);
      free (exact);
      buf_free (&text);
    }
  ck_assert_uint_gt (refused, 3000);
}
END_TEST

enum
{
  TEAMS = 5000,
  VERSIONS = 23,
  INSTANCES = 11000,
  PLANS = 50,
  LOOKUPS = 1000000,
  HELD_MAX = 8388608
};

static double
seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

/* Return the bytes that are allocated now.  */
static size_t
bytes_in_use (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Write lists of the two-year size.  */
static void
write_large (buf_t *text)
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

START_TEST (two_year_size_is_quick_and_small)
{
  buf_t text = BUF_NULL;
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot;
  size_t allowed = 0;

  write_large (&text);
  size_t before = bytes_in_use ();
  double start = seconds ();
  ck_assert_int_eq (snapshot_parse (buf_str (&text), 1, &snapshot, &errors),
                    VH_OK);
  double parsed = seconds ();
  size_t bytes = bytes_in_use () - before;
  for (int i = 0; i < LOOKUPS; i++)
    {
      const team_t *team = snapshot_team_at (snapshot, (size_t)i % TEAMS);
      const version_t *version
          = snapshot_version_at (snapshot, (size_t)i % VERSIONS);
      allowed += snapshot_allows (snapshot, team, version);
    }
  double looked = seconds ();
  ck_assert_uint_gt (allowed, 0);
  ck_assert_ptr_eq (team_of_key (snapshot, STR ("key-4999")),
                    snapshot_find_team (snapshot, STR ("team-4999")));
  ck_assert (!snapshot_is_instance_enabled (snapshot, STR ("runner-100")));
  ck_assert (snapshot_is_instance_enabled (snapshot, STR ("runner-101")));
  printf ("%d teams, %d versions, %d instances: text %zu bytes, parsed in "
          "%.1f ms, %zu bytes held, %.1f ns a permission\n",
          TEAMS, VERSIONS, INSTANCES, text.len, (parsed - start) * 1e3, bytes,
          (looked - parsed) * 1e9 / LOOKUPS);
  /* Changes come a few a second at most; the sanitizers take some of it.  */
  ck_assert_double_lt (parsed - start, 2.0);
  /* The text and what is compiled from it; budget of a process is 32 MB.  */
  ck_assert_uint_lt (bytes, HELD_MAX);
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
  tcase_add_test (tcase, withdrawn_is_never_allowed);
  tcase_add_test (tcase, zones_and_instances_default_to_in);
  tcase_add_test (tcase, a_team_may_have_two_keys);
  tcase_add_test (tcase, comments_may_hold_any_script);
  tcase_add_test (tcase, references_keep_a_snapshot);
  tcase_add_loop_test (tcase, errors_name_line_and_hint, 0,
                       sizeof error_cases / sizeof error_cases[0]);
  tcase_add_test (tcase, damaged_texts_never_crash);
  tcase_add_test (tcase, two_year_size_is_quick_and_small);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
