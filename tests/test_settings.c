/* Tests of the parser of a process's settings.  */

#include "conf/settings.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define PROCESS                                                               \
  "[process]\n"                                                               \
  "name = a\n"                                                                \
  "role = standalone\n"                                                       \
  "availability-zone = z\n"                                                   \
  "admin = 127.0.0.1:1\n"
#define ENTRY "[entry]\nlisten = 127.0.0.1:2\n"
#define UPSTREAM "[upstream u]\nupstream = 127.0.0.1:3\nserves = m@1, m@2\n"
#define STANDALONE PROCESS ENTRY UPSTREAM

#define ENTRY_ROLE                                                            \
  "[process]\nname = a\nrole = entry\navailability-zone = z\n"                \
  "admin = 127.0.0.1:1\nrpc = 127.0.0.1:4\n"                                  \
  "rpc-keys = 0123456789abcdef\n"                                             \
  "[platform]\naddress = 127.0.0.1:5\n"

enum
{
  /* CONF_TEXT_BYTES_MAX, which the error message quotes.  */
  TEXT_BYTES_MAX = 4194304
};

/* Fail with all messages of ERRORS if there are any.  */
static void
check_no_errors (const conf_errors_t *errors)
{
  buf_t text = BUF_NULL;

  conf_errors_print (errors, "test", STR ("text"), &text);
  ck_assert_msg (errors->count == 0, "%s", text.ptr);
  buf_free (&text);
}

START_TEST (standalone_has_defaults)
{
  settings_t *settings;
  conf_errors_t errors = { 0 };

  settings_parse (STR (STANDALONE), &settings, &errors);
  check_no_errors (&errors);
  ck_assert_int_eq (settings->role, ROLE_STANDALONE);
  ck_assert_int_eq (settings->platform, PLATFORM_MEMORY);
  ck_assert (str_eq (settings->log_level, STR ("info")));
  ck_assert_uint_eq (settings->poll_ms, 1000);
  ck_assert_uint_eq (settings->upstreams_count, 1);
  ck_assert (str_eq (settings->upstreams[0].instance, STR ("u")));
  ck_assert_uint_eq (settings->upstreams[0].served_name_count, 2);
  ck_assert (str_eq (settings->upstreams[0].served_names[1], STR ("m@2")));
  ck_assert (!settings->upstreams[0].is_service);
  ck_assert (str_eq (settings->upstreams[0].listen, STR ("127.0.0.1:0")));
  settings_destroy (settings);
}
END_TEST

START_TEST (every_key_is_stored)
{
  settings_t *settings;
  conf_errors_t errors = { 0 };

  settings_parse (
      STR ("[process]\n"
           "name = s-1\nrole = sidecar\navailability-zone = z-1\n"
           "region = r\nadmin = 127.0.0.1:1\nrpc = [::1]:2\n"
           "log-level = debug\ndrain-grace-ms = 3\ndrain-bound-ms = 4\n"
           "seed = 5\nrpc-keys = 0123456789abcdef , fedcba9876543210\n"
           "memory-mb = 110.5\ndescriptors-max = 4100\n"
           "operator-key-sha256 = "
           "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n"
           "[sidecar]\n"
           "instance = runner-1\nlisten = 127.0.0.1:6\n"
           "upstream = 127.0.0.1:7\nkind = service\nserves = a, b\n"
           "features = load-report, kv\nlimit-start = 8\nlimit-max = 9\n"
           "limit-tolerance = 1.5\nqueue-long-cost = 500\n"
           "queue-max = 10\nanswer-keep-ms = 1100\nanswer-bytes = 65536\n"
           "upstream-timeout-ms = 13\n"
           "[platform]\nkind = http\naddress = 127.0.0.1:14\n"
           "timeout-ms = 15\n"
           "[configuration]\nfile = f.ini\npoll-ms = 16\n"
           "[peer e-1]\nrole = entry\navailability-zone = z-2\n"
           "address = 127.0.0.1:17\n"),
      &settings, &errors);
  check_no_errors (&errors);
  ck_assert (str_eq (settings->name, STR ("s-1")));
  ck_assert_int_eq (settings->role, ROLE_SIDECAR);
  ck_assert (str_eq (settings->zone, STR ("z-1")));
  ck_assert (str_eq (settings->region, STR ("r")));
  ck_assert (str_eq (settings->rpc_listen, STR ("[::1]:2")));
  ck_assert (str_eq (settings->log_level, STR ("debug")));
  ck_assert_uint_eq (settings->drain_grace_ms, 3);
  ck_assert_uint_eq (settings->drain_timeout_ms, 4);
  ck_assert_uint_eq (settings->seed, 5);
  ck_assert_double_eq (settings->memory_mb, 110.5);
  ck_assert_uint_eq (settings->descriptors_max, 4100);
  ck_assert_uint_eq (settings->rpc_keys_count, 2);
  ck_assert (str_eq (settings->rpc_keys[1], STR ("fedcba9876543210")));
  ck_assert_uint_eq (settings->operator_key_sha256.len, 64);
  ck_assert_uint_eq (settings->upstreams_count, 1);
  const upstream_settings_t *upstream = &settings->upstreams[0];
  ck_assert (str_eq (upstream->instance, STR ("runner-1")));
  ck_assert (str_eq (upstream->listen, STR ("127.0.0.1:6")));
  ck_assert (upstream->is_service);
  ck_assert_uint_eq (upstream->features, FEATURE_LOAD_REPORT | FEATURE_KV);
  ck_assert_uint_eq (upstream->limit_initial, 8);
  ck_assert_uint_eq (upstream->limit_max, 9);
  ck_assert_uint_eq (upstream->queue_max, 10);
  ck_assert_double_eq (upstream->limit_tolerance, 1.5);
  ck_assert_uint_eq (upstream->queue_long_cost_min, 500);
  ck_assert_uint_eq (upstream->response_retention_ms, 1100);
  ck_assert_uint_eq (upstream->retained_bytes_max, 65536);
  ck_assert_uint_eq (upstream->upstream_timeout_ms, 13);
  ck_assert_int_eq (settings->platform, PLATFORM_HTTP);
  ck_assert (str_eq (settings->platform_address, STR ("127.0.0.1:14")));
  ck_assert_uint_eq (settings->platform_timeout_ms, 15);
  ck_assert (str_eq (settings->configuration_file, STR ("f.ini")));
  ck_assert_uint_eq (settings->poll_ms, 16);
  ck_assert_uint_eq (settings->peers_count, 1);
  ck_assert (str_eq (settings->peers[0].name, STR ("e-1")));
  ck_assert (str_eq (settings->peers[0].address, STR ("127.0.0.1:17")));
  settings_destroy (settings);
}
END_TEST

START_TEST (entry_stores_load_keys)
{
  settings_t *settings;
  conf_errors_t errors = { 0 };

  settings_parse (STR (PROCESS ENTRY "outlier-share = 0.5\n"
                                     "retry-share = 0.2\n"
                                     "retry-burst = 7\n" UPSTREAM),
                  &settings, &errors);
  check_no_errors (&errors);
  ck_assert_double_eq (settings->ejected_share_max, 0.5);
  ck_assert_double_eq (settings->retry_budget_ratio, 0.2);
  ck_assert_uint_eq (settings->retry_burst, 7);
  settings_destroy (settings);
}
END_TEST

#define GATEWAY                                                               \
  "[process]\nname = g\nrole = gateway\navailability-zone = z\n"              \
  "admin = 127.0.0.1:1\n"                                                     \
  "[gateway]\nlisten = 127.0.0.1:2\nready = 127.0.0.1:3\n"
#define GATEWAY_PLATFORM "[platform]\naddress = 127.0.0.1:4\n"

START_TEST (gateway_stores_use_of_instance_speed)
{
  static const struct
  {
    const char *text;
    instance_speed_use_t use;
  } cases[] = {
    { GATEWAY GATEWAY_PLATFORM, INSTANCE_SPEED_USE_REPORTED },
    { GATEWAY "instance-speed = reported\n" GATEWAY_PLATFORM,
      INSTANCE_SPEED_USE_REPORTED },
    { GATEWAY "instance-speed = off\n" GATEWAY_PLATFORM,
      INSTANCE_SPEED_USE_OFF },
  };
  settings_t *settings;
  conf_errors_t errors = { 0 };

  settings_parse (str_from (cases[_i].text), &settings, &errors);
  check_no_errors (&errors);
  ck_assert_int_eq (settings->instance_speed, cases[_i].use);
  settings_destroy (settings);
}
END_TEST

START_TEST (gateway_stores_whether_streams_move)
{
  static const struct
  {
    const char *text;
    settings_move_streams_t value;
  } cases[] = {
    { GATEWAY GATEWAY_PLATFORM, SETTINGS_MOVE_STREAMS_REPORTED },
    { GATEWAY "move-streams = reported\n" GATEWAY_PLATFORM,
      SETTINGS_MOVE_STREAMS_REPORTED },
    { GATEWAY "move-streams = yes\n" GATEWAY_PLATFORM,
      SETTINGS_MOVE_STREAMS_YES },
    { GATEWAY "move-streams = no\n" GATEWAY_PLATFORM,
      SETTINGS_MOVE_STREAMS_NO },
  };
  settings_t *settings;
  conf_errors_t errors = { 0 };

  settings_parse (str_from (cases[_i].text), &settings, &errors);
  check_no_errors (&errors);
  ck_assert_int_eq (settings->move_streams, cases[_i].value);
  settings_destroy (settings);
}
END_TEST

/* A faulty text and the error that it must give.  */
typedef struct
{
  const char *text;
  int line;            /* 0 if the error concerns the whole text.  */
  const char *message; /* A part of the message.  */
  const char *hint;    /* A part of the hint; NULL accepts any.  */
} error_case_t;

static const error_case_t error_cases[] = {
  { "", 0, "[process] is missing", "role" },
  { STANDALONE "[entri]\nx = 1\n", 11, "unknown section `entri'", "`entry'" },
  { GATEWAY "move-streams = maybe\n" GATEWAY_PLATFORM, 9,
    "`move-streams' cannot be `maybe'", "one of reported, yes, no" },
  { GATEWAY "instance-speed = measured\n" GATEWAY_PLATFORM, 9,
    "`instance-speed' cannot be `measured'", "off, reported" },
  { GATEWAY "instance-speed =\n" GATEWAY_PLATFORM, 9,
    "`instance-speed' cannot be", "off, reported" },
  { STANDALONE "[zebra]\nx = 1\n", 11, "unknown section `zebra'",
    "known sections: process" },
  { STANDALONE "[entry]\nlisten = 127.0.0.1:9\n", 11, "is defined twice",
    "keep one" },
  { PROCESS "name = b\n" ENTRY, 6, "`name' is set twice", NULL },
  { PROCESS "nmae = b\n" ENTRY, 6, "unknown key `nmae'", "`name'" },
  { PROCESS "body-limit = 5\n" ENTRY, 6, "unknown key `body-limit'",
    "it belongs in [entry]" },
  { PROCESS "xyzzy = 5\n" ENTRY, 6, "unknown key `xyzzy'",
    "known keys: name" },
  { PROCESS "seed = -1\n" ENTRY, 6, "`seed' cannot be `-1'",
    "a whole number" },
  { PROCESS "seed = 1.5\n" ENTRY, 6, "`seed' cannot be `1.5'", NULL },
  { PROCESS "seed = 99999999999999999999\n" ENTRY, 6, "`seed' cannot be",
    NULL },
  { PROCESS "log-level = loud\n" ENTRY, 6, "`log-level' cannot be `loud'",
    "one of err, warning" },
  { PROCESS "region = a b\n" ENTRY, 6, "`region' cannot be `a b'",
    "letters, digits" },
  { PROCESS "region =\n" ENTRY, 6, "`region' cannot be `'", NULL },
  { PROCESS "rpc = localhost:80\n" ENTRY, 6, "`rpc' cannot be",
    "HOST:PORT with an IP address" },
  { PROCESS "rpc = 127.0.0.1\n" ENTRY, 6, "`rpc' cannot be", NULL },
  { PROCESS "rpc = 127.0.0.1:65536\n" ENTRY, 6, "`rpc' cannot be", NULL },
  { PROCESS "rpc = ::1:80\n" ENTRY, 6, "`rpc' cannot be", NULL },
  { PROCESS "rpc = 127.0.0.1:\n" ENTRY, 6, "`rpc' cannot be", NULL },
  { PROCESS "rpc-keys = short\n" ENTRY, 6, "`rpc-keys' has an invalid value",
    "16 bytes" },
  { PROCESS "operator-key-sha256 = abc\n" ENTRY, 6, "`operator-key-sha256'",
    "64 hexadecimal digits" },
  { PROCESS "drain-grace-ms = 9\ndrain-bound-ms = 8\n" ENTRY, 0,
    "`drain-grace-ms' is above", NULL },
  { PROCESS "drain-grace-ms = 3600001\n" ENTRY, 6, "`drain-grace-ms' cannot",
    "from 0 to 3600000" },
  { PROCESS "just words\n" ENTRY, 6, "not a section, a key or a comment",
    "key = value" },
  { PROCESS "[entry\nlisten = 127.0.0.1:2\n", 6, "header is malformed", NULL },
  { PROCESS "[entry] x\nlisten = 127.0.0.1:2\n", 6, "header is malformed",
    NULL },
  { "name = a\n" STANDALONE, 1, "is outside of any section", NULL },
  { PROCESS ENTRY "[upstream]\nupstream = 127.0.0.1:3\nserves = m@1\n", 8,
    "[upstream] lacks a name", "[upstream NAME]" },
  { PROCESS ENTRY "[upstream a b]\nupstream = 127.0.0.1:3\nserves = m@1\n", 8,
    "has an invalid name", NULL },
  { PROCESS "[entry x]\nlisten = 127.0.0.1:2\n", 6, "has an invalid name",
    "write `[entry]'" },
  { PROCESS, 0, "needs the key `listen' in [entry]", NULL },
  { PROCESS "[entry]\n", 6, "[entry] lacks the key `listen'", NULL },
  { PROCESS ENTRY "[upstream u]\nupstream = 127.0.0.1:3\n", 8,
    "lacks the key `serves'", NULL },
  { PROCESS ENTRY "[upstream u]\nupstream = 127.0.0.1:3\nserves = m\n", 10,
    "`serves' cannot hold `m'", "MODEL@VERSION" },
  { PROCESS ENTRY
    "[upstream u]\nupstream = 127.0.0.1:3\nserves = m@1\nkind = service\n",
    10, "`serves' cannot hold `m@1'", "without a version" },
  { PROCESS ENTRY "[upstream u]\nupstream = 127.0.0.1:3\nserves = m@1,,\n", 10,
    "`serves' cannot be", "commas" },
  { STANDALONE "features = load-reprot\n", 11, "unknown feature",
    "`load-report'" },
  { STANDALONE "limit-start = 9\nlimit-max = 8\n", 8, "`limit-start' is above",
    NULL },
  { STANDALONE "limit-tolerance = 1\n", 11, "`limit-tolerance' cannot be `1'",
    NULL },
  { STANDALONE "queue-long-cost = 1\n", 11, "`queue-long-cost' cannot be `1'",
    NULL },
  { PROCESS ENTRY "outlier-share = 1\n" UPSTREAM, 8,
    "`outlier-share' cannot be `1'", NULL },
  { PROCESS ENTRY "retry-share = 2\n" UPSTREAM, 8,
    "`retry-share' cannot be `2'", NULL },
  { PROCESS ENTRY "retry-burst = 0\n" UPSTREAM, 8,
    "`retry-burst' cannot be `0'", NULL },
  { STANDALONE "limit-start = 0\n", 11, "`limit-start' cannot be `0'",
    "from 1 to" },
  { PROCESS ENTRY "deadline-default-ms = 9\ndeadline-max-ms = 8\n", 6,
    "`deadline-default-ms' is above", NULL },
  { PROCESS ENTRY "tls-key = a.pem\n", 6, "must be set together", NULL },
  { PROCESS ENTRY "mint-idempotency-key = true\n", 8,
    "`mint-idempotency-key' cannot be `true'", "one of no, yes" },
  { STANDALONE "[sidecar]\ninstance = a\nlisten = 127.0.0.1:4\n"
               "upstream = 127.0.0.1:3\nserves = m@1\n",
    11, "[sidecar] is not allowed in the role `standalone'", "upstream NAME" },
  { ENTRY_ROLE ENTRY, 0, "needs the key `session-key' in [entry]", NULL },
  { ENTRY_ROLE ENTRY "session-key = 0123456789abcdef\n" UPSTREAM, 13,
    "[upstream] is not allowed in the role `entry'", NULL },
  { ENTRY_ROLE "kind = memory\n" ENTRY "session-key = 0123456789abcdef\n", 0,
    "in-memory platform is not shared", "standalone" },
  { "[process]\nname = a\nrole = sidecar\navailability-zone = z\n"
    "admin = 127.0.0.1:1\nrpc-keys = 0123456789abcdef\n",
    0, "needs the key `instance' in [sidecar]", NULL },
  { "[process]\nname = a\nrole = sidecar\navailability-zone = z\n"
    "admin = 127.0.0.1:1\nrpc-keys = 0123456789abcdef\n"
    "[sidecar]\ninstance = i\nupstream = 127.0.0.1:3\nserves = m@1\n"
    "[platform]\naddress = 127.0.0.1:5\n",
    0, "needs the key `listen' in [sidecar]", NULL },
  { "[process]\nname = a\nrole = sidecar\navailability-zone = z\n"
    "admin = 127.0.0.1:1\nrpc-keys = 0123456789abcdef\n"
    "[sidecar]\ninstance = i\nlisten = 127.0.0.1:2\n"
    "upstream = 127.0.0.1:3\nserves = m@1\n",
    0, "needs the key `address' in [platform]", NULL },
  { "[process]\nname = a\nrole = sidecar\navailability-zone = z\n"
    "admin = 127.0.0.1:1\n",
    0, "needs the key `rpc-keys' in [process]", NULL },
  { PROCESS "region = a\x01\n" ENTRY, 6, "byte 0x01 is not text", NULL },
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
  settings_t *settings;
  conf_errors_t errors = { 0 };
  buf_t text = BUF_NULL;

  ck_assert_int_eq (
      settings_parse (str_from (expected->text), &settings, &errors),
      VH_E_BAD_SETTINGS);
  ck_assert_ptr_null (settings);
  conf_errors_print (&errors, "vanillahookd", STR ("a.ini"), &text);
  ck_assert_msg (has_expected_error (&errors, expected),
                 "expected line %d, %s (%s)\nerrors:\n%s", expected->line,
                 expected->message, expected->hint ? expected->hint : "any",
                 text.ptr);
  buf_free (&text);
  conf_errors_free (&errors);
}
END_TEST

/* If only the first error of a file were reported, an operator would have to
   start the daemon once for each error.  */
START_TEST (all_errors_are_reported_in_order)
{
  settings_t *settings;
  conf_errors_t errors = { 0 };
  buf_t text = BUF_NULL;

  settings_parse (STR ("[process]\n"
                       "name = a\n"
                       "role = clerk\n"
                       "no equals sign\n"
                       "availability-zone = z\n"
                       "admin = here\n"
                       "[entry]\n"
                       "body-limit = many\n"
                       "[sidecat]\n"
                       "x = y\n"),
                  &settings, &errors);
  ck_assert_ptr_null (settings);
  int lines[] = { 3, 4, 6, 7, 8, 9 };
  size_t found = 0;
  for (size_t i = 0; i < errors.count; i++)
    {
      if (found < 6 && errors.items[i].line == lines[found])
        found++;
      ck_assert (i == 0 || errors.items[i - 1].line <= errors.items[i].line);
    }
  conf_errors_print (&errors, "vanillahookd", STR ("a.ini"), &text);
  ck_assert_msg (found == 6, "%s", text.ptr);
  ck_assert_msg (strstr (text.ptr, "vanillahookd: a.ini:3: `role' cannot be "
                                   "`clerk' (one of entry, sidecar, "
                                   "standalone, gateway)\n")
                     != NULL,
                 "%s", text.ptr);
  buf_free (&text);
  conf_errors_free (&errors);
}
END_TEST

/* The error messages of rejected settings are logged.  If a message quoted a
   shared secret, everyone who can read the log would get it.  */
START_TEST (secrets_are_never_quoted)
{
  settings_t *settings;
  conf_errors_t errors = { 0 };
  buf_t text = BUF_NULL;

  settings_parse (STR (PROCESS "rpc-keys = 0123456789abcdef, sesame\n" ENTRY
                               "session-key = tiny\n"),
                  &settings, &errors);
  conf_errors_print (&errors, "vanillahookd", STR ("a.ini"), &text);
  ck_assert_uint_eq (errors.count, 2);
  ck_assert_ptr_null (strstr (text.ptr, "sesame"));
  ck_assert_ptr_null (strstr (text.ptr, "0123456789"));
  ck_assert_ptr_null (strstr (text.ptr, "tiny"));
  buf_free (&text);
  conf_errors_free (&errors);
}
END_TEST

START_TEST (long_lines_keep_their_line_numbers)
{
  buf_t text = BUF_NULL;
  settings_t *settings;
  conf_errors_t errors = { 0 };

  buf_append_str (&text, STR ("; "));
  for (int i = 0; i < 5000; i++)
    buf_append_char (&text, 'x');
  buf_append_str (&text, STR ("\r\n" PROCESS ENTRY "[upstream "));
  for (int i = 0; i < 120; i++)
    buf_append_char (&text, 'n');
  buf_append_str (&text, STR ("]\r\nupstream = 127.0.0.1:3\nserves = m@0"));
  for (int i = 1; i < 3000; i++)
    buf_printf (&text, ", m@%d", i);
  settings_parse (buf_str (&text), &settings, &errors);
  check_no_errors (&errors);
  ck_assert_uint_eq (settings->upstreams[0].served_name_count, 3000);
  ck_assert_uint_eq (settings->upstreams[0].instance.len, 120);
  settings_destroy (settings);
  buf_append_str (&text, STR ("\nbad = 1"));
  settings_parse (buf_str (&text), &settings, &errors);
  ck_assert_uint_eq (errors.count, 1);
  ck_assert_int_eq (errors.items[0].line, 12);
  conf_errors_free (&errors);
  buf_free (&text);
}
END_TEST

START_TEST (error_count_is_bounded)
{
  buf_t text = BUF_NULL;
  settings_t *settings;
  conf_errors_t errors = { 0 };

  for (int i = 0; i < 100000; i++)
    buf_append_str (&text, STR ("garbage\n"));
  settings_parse (buf_str (&text), &settings, &errors);
  ck_assert_uint_ge (errors.count, 100);
  ck_assert_uint_le (errors.count, 1000);
  conf_errors_free (&errors);
  while (text.len <= TEXT_BYTES_MAX)
    buf_append_str (&text, STR ("; a comment that fills the file\n"));
  settings_parse (buf_str (&text), &settings, &errors);
  ck_assert_ptr_nonnull (strstr (errors.items[0].message, "more than"));
  conf_errors_free (&errors);
  buf_free (&text);
}
END_TEST

START_TEST (example_files_are_valid)
{
  static const char *const files[]
      = { "examples/standalone.ini", "examples/entry.ini",
          "examples/sidecar.ini" };
  settings_t *settings;
  conf_errors_t errors = { 0 };

  for (size_t i = 0; i < sizeof files / sizeof files[0]; i++)
    {
      ck_assert_int_eq (settings_load (files[i], &settings, &errors), VH_OK);
      check_no_errors (&errors);
      if (i == 0)
        ck_assert (
            str_eq (settings->configuration_file, STR ("examples/lists.ini")));
      settings_destroy (settings);
    }
}
END_TEST

START_TEST (unreadable_files_are_errors)
{
  settings_t *settings;
  conf_errors_t errors = { 0 };

  ck_assert_int_eq (settings_load ("no/such.ini", &settings, &errors),
                    VH_E_IO);
  ck_assert_int_eq (settings_load ("examples", &settings, &errors), VH_E_IO);
  ck_assert_ptr_null (settings);
  ck_assert_uint_eq (errors.count, 2);
  conf_errors_free (&errors);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings");
  TCase *tcase = tcase_create ("settings");

  tcase_add_test (tcase, standalone_has_defaults);
  tcase_add_test (tcase, every_key_is_stored);
  tcase_add_test (tcase, entry_stores_load_keys);
  tcase_add_loop_test (tcase, gateway_stores_use_of_instance_speed, 0, 3);
  tcase_add_loop_test (tcase, gateway_stores_whether_streams_move, 0, 4);
  tcase_add_loop_test (tcase, errors_name_line_and_hint, 0,
                       sizeof error_cases / sizeof error_cases[0]);
  tcase_add_test (tcase, all_errors_are_reported_in_order);
  tcase_add_test (tcase, secrets_are_never_quoted);
  tcase_add_test (tcase, long_lines_keep_their_line_numbers);
  tcase_add_test (tcase, error_count_is_bounded);
  tcase_add_test (tcase, example_files_are_valid);
  tcase_add_test (tcase, unreadable_files_are_errors);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
