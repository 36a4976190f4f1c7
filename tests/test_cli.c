/* Tests of the operators' command line.  They run the program against an HTTP
   server that imitates the operators' port of an entry.  */

#include "conf/snapshot.h"
#include "fake_entry.h"

#include <check.h>
#include <fcntl.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#define KEY "operator-demo-key"

enum
{
  ARGS_MAX = 24
};

/* Return whether SERVER has had no change since fake_entry_start.  */
static bool
is_unchanged (const fake_entry_t *server)
{
  buf_t text = BUF_NULL;

  conf_read_file (CONFIGURATION_PATH, &text);
  bool same = server->revision == FIRST_REVISION
              && str_eq (buf_str (&text), buf_str (&server->text));
  buf_free (&text);
  return same;
}

static bool
text_contains (fake_entry_t *server, const char *expected_part)
{
  buf_append_char (&server->text, '\0');
  bool is_found = strstr (server->text.ptr, expected_part) != NULL;
  server->text.len--;
  return is_found;
}

/* Exit code and output of one run of the program.  */
typedef struct
{
  int code;
  buf_t out;
  buf_t err;
} result_t;

/* Append all of FILE to BUF, followed by a NUL byte beyond its length.  Close
   FILE.  */
static void
read_output (FILE *file, buf_t *buf)
{
  char bytes[4096];
  size_t n;

  rewind (file);
  while ((n = fread (bytes, 1, sizeof bytes, file)) > 0)
    buf_append (buf, bytes, n);
  buf_reserve (buf, 1);
  buf->ptr[buf->len] = '\0';
  fclose (file);
}

/* Run ARGV with ENTRIES in VANILLAHOOK_ENTRY and KEY_TEXT in VANILLAHOOK_KEY.
   Standard error goes to ERR_FD or, if ERR_FD is negative, to RESULT.  */
static void
run_argv_with_stderr (char **argv, const char *entries, const char *key_text,
                      int err_fd, result_t *result)
{
  char entry[128];
  char key[64];
  char *environment[]
      = { entry, key, "USER=wanjiru", "PATH=/usr/bin:/bin", NULL };
  FILE *out = tmpfile ();
  FILE *err = tmpfile ();
  posix_spawn_file_actions_t actions;
  pid_t pid;
  int status;

  snprintf (entry, sizeof entry, "VANILLAHOOK_ENTRY=%s", entries);
  snprintf (key, sizeof key, "VANILLAHOOK_KEY=%s", key_text);
  *result = (result_t){ 0 };
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, fileno (out), STDOUT_FILENO);
  posix_spawn_file_actions_adddup2 (
      &actions, err_fd >= 0 ? err_fd : fileno (err), STDERR_FILENO);
  ck_assert_int_eq (
      posix_spawn (&pid, argv[0], &actions, NULL, argv, environment), 0);
  posix_spawn_file_actions_destroy (&actions);
  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  result->code = WIFEXITED (status) ? WEXITSTATUS (status) : -1;
  read_output (out, &result->out);
  read_output (err, &result->err);
}

static void
run_argv (char **argv, const char *entries, const char *key_text,
          result_t *result)
{
  run_argv_with_stderr (argv, entries, key_text, -1, result);
}

/* Run the program with the arguments in LINE, which is split at blanks.  The
   other parameters are those of run_argv_with_stderr.  */
static void
run_with_stderr (const char *line, const char *entries, const char *key_text,
                 int err_fd, result_t *result)
{
  const char *build = getenv ("VH_BUILD");
  char path[512];
  char *copy = str_dup (str_from (line));
  char *argv[ARGS_MAX] = { path };
  int count = 1;
  char *save = NULL;

  snprintf (path, sizeof path, "%s/bin/vanillahook",
            build != NULL ? build : "build");
  for (char *word = strtok_r (copy, " ", &save); word != NULL;
       word = strtok_r (NULL, " ", &save))
    argv[count++] = word;
  run_argv_with_stderr (argv, entries, key_text, err_fd, result);
  free (copy);
}

static void
run_with_entries (const char *line, const char *entries, const char *key_text,
                  result_t *result)
{
  run_with_stderr (line, entries, key_text, -1, result);
}

static void
run (const char *line, const fake_entry_t *server, result_t *result)
{
  run_with_entries (line, server->address, KEY, result);
}

static void
result_free (result_t *result)
{
  buf_free (&result->out);
  buf_free (&result->err);
}

/* Check that RESULT, of the command LINE, has exit code CODE and one line of
   error output that contains PART.  */
static void
check_error (const char *line, const result_t *result, int code,
             const char *expected_part)
{
  const char *newline = strchr (result->err.ptr, '\n');

  ck_assert_msg (result->code == code, "%s: exit code %d, wanted %d\n%s%s",
                 line, result->code, code, result->out.ptr, result->err.ptr);
  ck_assert_msg (strncmp (result->err.ptr, "vanillahook: ", 13) == 0
                     && newline != NULL && newline[1] == '\0',
                 "%s: not one line:\n%s", line, result->err.ptr);
  ck_assert_msg (strstr (result->err.ptr, expected_part) != NULL,
                 "%s: no `%s' in\n%s", line, expected_part, result->err.ptr);
  ck_assert_msg (result->out.len == 0, "%s: printed\n%s", line,
                 result->out.ptr);
}

/* Check that the command LINE succeeds and prints PART.  */
static void
check_success (const char *line, const fake_entry_t *server,
               const char *expected_part)
{
  result_t result;

  run (line, server, &result);
  ck_assert_msg (result.code == 0, "%s: exit code %d\n%s", line, result.code,
                 result.err.ptr);
  ck_assert_msg (strstr (result.out.ptr, expected_part) != NULL,
                 "%s: no `%s' in\n%s", line, expected_part, result.out.ptr);
  result_free (&result);
}

/* Commands of all verbs that send requests to an entry.  */
static const char *const entry_commands[] = {
  "apply examples/lists.ini",
  "show",
  "diff examples/lists.ini",
  "history",
  "zone out nairobi-a",
  "zone in nairobi-a --dry-run",
  "instance out runner-17",
  "version withdraw draft-small@4",
  "rollout start draft-small@4 --over draft-small@3",
  "rollout resume draft-small@4",
  "rollout abort draft-small@4",
  "status",
  "report burn",
  "report bill --day 2026-12-01",
};

enum
{
  ENTRY_COMMAND_COUNT = sizeof entry_commands / sizeof entry_commands[0]
};

START_TEST (unreachable_entry_is_reported)
{
  result_t result;
  /* No process listens on the port of a server that was stopped just now.  */
  fake_entry_t server;

  fake_entry_start (&server);
  fake_entry_stop (&server);
  run (entry_commands[_i], &server, &result);
  check_error (entry_commands[_i], &result, 4,
               "no entry answers at 127.0.0.1:");
  result_free (&result);
}
END_TEST

START_TEST (wrong_or_missing_key_is_refused)
{
  fake_entry_t server;
  result_t result;

  fake_entry_start (&server);
  server.key = KEY;
  run_with_entries (entry_commands[_i], server.address, "sesame", &result);
  check_error (entry_commands[_i], &result, 5, "is not the right one");
  ck_assert_ptr_null (strstr (result.err.ptr, "sesame"));
  result_free (&result);
  run_with_entries (entry_commands[_i], server.address, "", &result);
  check_error (entry_commands[_i], &result, 5, "key is needed");
  result_free (&result);
  ck_assert (is_unchanged (&server));
  fake_entry_stop (&server);
}
END_TEST

START_TEST (invalid_replies_are_reported)
{
  static const struct
  {
    fault_t fault;
    int code;
    const char *expected_part;
  } cases[] = {
    { FAULT_CLOSE_UNANSWERED, 4, "ended early" },
    { FAULT_NOT_JSON, 4, "is it the operators' port of an entry?" },
    { FAULT_NOT_FOUND, 1, "HTTP status 404; is it the operators' port" },
    { FAULT_DRAINING, 1, "stopping" },
  };
  fake_entry_t server;
  result_t result;

  fake_entry_start (&server);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      server.fault = cases[i].fault;
      run (entry_commands[_i], &server, &result);
      check_error (entry_commands[_i], &result, cases[i].code,
                   cases[i].expected_part);
      result_free (&result);
    }
  ck_assert (is_unchanged (&server));
  fake_entry_stop (&server);
}
END_TEST

static const struct
{
  const char *line;
  fault_t fault;
  int code;
  const char *expected_part;
} failures[] = {
  /* Wrong command lines.  */
  { "", FAULT_NONE, 2, "give a verb" },
  { "aply x", FAULT_NONE, 2, "there is no verb `aply'" },
  { "help aply", FAULT_NONE, 2, "there is no verb `aply'" },
  { "check", FAULT_NONE, 2, "too few operands" },
  { "show me", FAULT_NONE, 2, "too many operands" },
  { "show --frob", FAULT_NONE, 2, "--frob" },
  { "show --wait", FAULT_NONE, 2, "--wait" },
  { "zone oot nairobi-a", FAULT_NONE, 2, "write `vanillahook zone out|in" },
  { "zone out nairobi/a", FAULT_NONE, 2, "is not a name" },
  { "version withdraw draft-small", FAULT_NONE, 2, "write MODEL@VERSION" },
  { "apply " CONFIGURATION_PATH " --if-revision x", FAULT_NONE, 2,
    "--if-revision" },
  { "apply " CONFIGURATION_PATH " --if-revision", FAULT_NONE, 2,
    "--if-revision" },
  { "history --limit 9999", FAULT_NONE, 2, "--limit" },
  { "show --entry localhost:1", FAULT_NONE, 2, "not HOST:PORT" },
  { "show --key-file no/such.key", FAULT_NONE, 2, "no/such.key: the key" },
  { "report bill --day tomorrow", FAULT_NONE, 2, "YYYY-MM-DD" },
  { "report burn --html no/such/dir.html", FAULT_NONE, 2,
    "no/such/dir.html: the page cannot be written" },
  { "completion fish", FAULT_NONE, 2, "completion bash" },
  { "rollout start draft-small@3", FAULT_NONE, 2, "by --over" },
  { "rollout start draft-small@3 --over draft-small@3", FAULT_NONE, 2,
    "over itself" },
  /* Unreadable or invalid files.  */
  { "check no/such.ini", FAULT_NONE, 2, "no/such.ini: the file cannot" },
  { "apply no/such.ini", FAULT_NONE, 2, "no/such.ini: the file cannot" },
  { "diff no/such.ini", FAULT_NONE, 2, "no/such.ini: the file cannot" },
  { "apply examples", FAULT_NONE, 2, "examples: the file cannot" },
  { "apply tests/data/dangling.ini", FAULT_NONE, 2,
    "tests/data/dangling.ini:2: team `a' has the unknown plan `p'" },
  { "check tests/data/dangling.ini", FAULT_NONE, 2,
    "tests/data/dangling.ini:2: team `a' has the unknown plan `p'" },
  { "diff tests/data/dangling.ini", FAULT_NONE, 2,
    "tests/data/dangling.ini:2: team `a' has the unknown plan `p'" },
  /* Names that do not exist.  */
  { "zone out nairobi-x", FAULT_NONE, 1, "did you mean `nairobi-a'?" },
  { "zone out mombasa", FAULT_NONE, 1, "add `[availability-zone mombasa]'" },
  { "instance out runer-17", FAULT_NONE, 1, "did you mean `runner-17'?" },
  { "version withdraw draft-small@9", FAULT_NONE, 1, "did you mean `draft-" },
  { "version serve digest@1", FAULT_NONE, 1, "add `[version digest@1]'" },
  { "rollout start draft-small@9 --over draft-small@3", FAULT_NONE, 1,
    "no version `draft-small@9'" },
  { "rollout start draft-small@4 --over draft-small@9", FAULT_NONE, 1,
    "no version `draft-small@9'" },
  { "rollout pause draft-small@3", FAULT_NONE, 1, "no roll-out of" },
  { "rollout resume draft-large@7", FAULT_NONE, 1, "no roll-out of" },
  /* Revision conflicts.  */
  { "apply examples/lists.ini --if-revision 9", FAULT_NONE, 3,
    "revision 12 by amina is in force, not 9; nothing changed" },
  { "zone out nairobi-a --if-revision 9", FAULT_NONE, 3,
    "revision 12 by amina is in force, not 9" },
  { "instance out runner-17 --if-revision 9", FAULT_NONE, 3, "not 9" },
  { "version withdraw draft-small@4 --if-revision 9", FAULT_NONE, 3, "not 9" },
  { "rollout resume draft-small@4 --if-revision 9", FAULT_NONE, 3, "not 9" },
  /* The entry cannot write to the store.  */
  { "zone out nairobi-a", FAULT_STORE_DOWN, 1,
    "code 505: The change was not accepted; nothing changed." },
  { "version withdraw draft-small@4 --wait", FAULT_STORE_DOWN, 1, "code 505" },
};

START_TEST (failures_print_one_line_and_change_nothing)
{
  const char *line = failures[_i].line;
  fake_entry_t server;
  result_t result;

  fake_entry_start (&server);
  server.fault = failures[_i].fault;
  run (line, &server, &result);
  check_error (line, &result, failures[_i].code, failures[_i].expected_part);
  ck_assert (is_unchanged (&server));
  result_free (&result);
  fake_entry_stop (&server);
}
END_TEST

static const struct
{
  const char *line;
  const char *expected_text;
} edits[] = {
  { "zone out nairobi-b", "[availability-zone nairobi-b]\nstate = out" },
  { "instance out runner-17", "[instance runner-17]\nstate = out" },
  { "version withdraw draft-small@3",
    "[version draft-small@3]\nstate = withdrawn" },
  { "version serve draft-small@4",
    "[version draft-small@4]\nstate = serving" },
  { "rollout start draft-large@7 --over draft-small@3",
    "[rollout draft-large@7]\nover = draft-small@3\nstate = running" },
  { "rollout resume draft-small@4",
    "[rollout draft-small@4]\nover = draft-small@3\nstate = running" },
  { "rollout abort draft-small@4",
    "[rollout draft-small@4]\nover = draft-small@3\nstate = aborted" },
};

START_TEST (verbs_edit_the_configuration)
{
  fake_entry_t server;

  fake_entry_start (&server);
  check_success (edits[_i].line, &server, "revision 13 accepted\n");
  ck_assert_msg (text_contains (&server, edits[_i].expected_text), "%s:\n%.*s",
                 edits[_i].line, STR_ARG (buf_str (&server.text)));
  ck_assert_str_eq (server.author, "wanjiru");
  /* The other text stays, including comments.  */
  ck_assert (text_contains (&server, "; The operators' lists: who"));
  /* Repeating the command makes no change.  */
  check_success (edits[_i].line, &server,
                 "revision 13 has it already; nothing to change\n");
  ck_assert_uint_eq (server.revision, 13);
  ck_assert_int_eq (server.post_count, 1);
  fake_entry_stop (&server);
}
END_TEST

START_TEST (dry_runs_change_nothing)
{
  fake_entry_t server;
  buf_t line = BUF_NULL;

  fake_entry_start (&server);
  buf_printf (&line, "%s --dry-run", edits[_i].line);
  check_success (line.ptr, &server, "nothing changed\n");
  line.len = 0;
  buf_printf (&line, "%s --dry-run --json", edits[_i].line);
  check_success (line.ptr, &server, "\"dry_run\":true");
  ck_assert_int_eq (server.post_count, 2);
  ck_assert (is_unchanged (&server));
  buf_free (&line);
  fake_entry_stop (&server);
}
END_TEST

/* Two operators change the configuration in the same second, and the second
   change is refused because of its revision.  The program must edit the newer
   revision and try again, so that both changes are kept.  */
START_TEST (revision_conflict_is_retried)
{
  fake_entry_t server;

  fake_entry_start (&server);
  server.fault = FAULT_CONCURRENT_CHANGE;
  server.concurrent_changes = 2;
  check_success ("zone out nairobi-a", &server, "revision 15 accepted\n");
  ck_assert (text_contains (&server, "; change 13 by another\n"));
  ck_assert (text_contains (&server, "; change 14 by another\n"));
  ck_assert (text_contains (&server, "[availability-zone nairobi-a]\n"
                                     "state = out"));
  fake_entry_stop (&server);
}
END_TEST

/* A revision conflict is not resolved by retries: --if-revision requires one
   revision, the change applies a whole file, or each attempt has a conflict.
   The program must name the revision in force and leave it unchanged.  */
START_TEST (final_revision_conflict_is_reported)
{
  static const struct
  {
    const char *line;
    int concurrent_changes;
    const char *expected_part;
  } cases[] = {
    { "zone out nairobi-a --if-revision 12", 1,
      "revision 13 by amina is in force, not 12; nothing changed" },
    { "apply tests/data/small.ini", 1,
      "revision 13 by amina is in force, not 12" },
    { "zone out nairobi-a", 100, "by amina is in force" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      fake_entry_t server;
      result_t result;
      fake_entry_start (&server);
      server.fault = FAULT_CONCURRENT_CHANGE;
      server.concurrent_changes = cases[i].concurrent_changes;
      run (cases[i].line, &server, &result);
      check_error (cases[i].line, &result, 3, cases[i].expected_part);
      ck_assert (!text_contains (&server, "state = out"));
      ck_assert_str_eq (server.author, "amina");
      result_free (&result);
      fake_entry_stop (&server);
    }
}
END_TEST

/* The first entry applies the change and stops before it replies.  The second
   entry refuses the same change because of the newer revision.  The program
   must not report a conflict with another operator.  */
START_TEST (lost_reply_is_not_a_conflict)
{
  fake_entry_t first;
  fake_entry_t second;
  result_t result;
  char entries[96];

  fake_entry_start (&first);
  first.fault = FAULT_REPLY_LOST;
  run ("zone out nairobi-a", &first, &result);
  check_error ("zone out", &result, 4,
               "the change may have been made; see `vanillahook history'");
  ck_assert_uint_eq (first.revision, 13);
  result_free (&result);
  fake_entry_stop (&first);

  /* The second entry already has the revision that the first one made.  */
  fake_entry_start (&first);
  fake_entry_start (&second);
  first.fault = FAULT_REPLY_LOST;
  second.text.len = 0;
  conf_set_key (buf_str (&first.text), STR ("availability-zone nairobi-a"),
                STR ("state"), STR ("out"), &second.text);
  second.revision = 13;
  snprintf (entries, sizeof entries, "%s,%s", first.address, second.address);
  run_with_entries ("zone out nairobi-a", entries, KEY, &result);
  ck_assert_msg (result.code == 0, "%s", result.err.ptr);
  ck_assert_str_eq (result.out.ptr, "revision 13 accepted\n");
  result_free (&result);
  fake_entry_stop (&first);
  fake_entry_stop (&second);
}
END_TEST

START_TEST (next_entry_is_tried)
{
  fake_entry_t stopped;
  fake_entry_t stopping;
  fake_entry_t up;
  result_t result;
  char entries[96];

  fake_entry_start (&stopped);
  fake_entry_stop (&stopped);
  fake_entry_start (&stopping);
  stopping.fault = FAULT_DRAINING;
  fake_entry_start (&up);
  snprintf (entries, sizeof entries, "%s,%s,%s", stopped.address,
            stopping.address, up.address);
  run_with_entries ("zone out nairobi-a", entries, KEY, &result);
  ck_assert_msg (result.code == 0, "%s", result.err.ptr);
  ck_assert_str_eq (result.out.ptr, "revision 13 accepted\n");
  ck_assert_uint_eq (up.revision, 13);
  ck_assert_int_eq (stopping.request_count, 1);
  result_free (&result);
  fake_entry_stop (&stopping);
  fake_entry_stop (&up);
}
END_TEST

/* An entry hangs, or a device in between dropped the connection, so that no
   reply arrives.  The program must try the next entry after a timeout, and
   must send no further request to the first one.  */
START_TEST (unresponsive_entry_is_skipped)
{
  fake_entry_t unresponsive;
  fake_entry_t up;
  result_t result;
  char entries[96];

  fake_entry_start (&unresponsive);
  unresponsive.fault = FAULT_NO_REPLY;
  fake_entry_start (&up);
  snprintf (entries, sizeof entries, "%s,%s", unresponsive.address,
            up.address);
  run_with_entries ("zone out nairobi-a --wait", entries, KEY, &result);
  ck_assert_msg (result.code == 0, "%s", result.err.ptr);
  ck_assert_uint_eq (up.revision, 13);
  ck_assert_int_eq (unresponsive.request_count, 1);
  result_free (&result);
  fake_entry_stop (&unresponsive);
  fake_entry_stop (&up);
}
END_TEST

START_TEST (key_file_and_entry_options_are_used)
{
  char path[] = "/tmp/test_cli_key_XXXXXX";
  int fd = mkstemp (path);
  fake_entry_t server;
  result_t result;
  buf_t line = BUF_NULL;

  ck_assert_int_eq (write (fd, KEY "\n", sizeof KEY), sizeof KEY);
  close (fd);
  fake_entry_start (&server);
  server.key = KEY;
  buf_printf (&line,
              "zone out nairobi-a --who otieno --key-file %s --entry %s", path,
              server.address);
  run_with_entries (line.ptr, "127.0.0.1:1", "", &result);
  ck_assert_msg (result.code == 0, "%s", result.err.ptr);
  ck_assert_str_eq (server.author, "otieno");
  result_free (&result);
  unlink (path);
  buf_free (&line);
  fake_entry_stop (&server);
}
END_TEST

START_TEST (wait_ends_when_in_force_everywhere)
{
  fake_entry_t server;

  fake_entry_start (&server);
  server.outdated_status_replies = 2;
  check_success ("zone out nairobi-a --wait", &server,
                 "revision 13 accepted\n"
                 "revision 13 is in force at all 27 processes\n");
  ck_assert_int_eq (server.outdated_status_replies, 0);
  fake_entry_stop (&server);
}
END_TEST

/* A zone must be out of service before work on its power supply starts.  One
   process does not follow the change and may still send requests to the zone.
   The error must name that process, and the exit code must show the
   timeout.  */
START_TEST (wait_names_lagging_process)
{
  fake_entry_t server;
  result_t result;

  fake_entry_start (&server);
  server.has_lagging_sidecar = true;
  run ("zone out nairobi-a --wait --timeout-ms 300", &server, &result);
  ck_assert_int_eq (result.code, 6);
  ck_assert_str_eq (result.out.ptr, "revision 13 accepted\n");
  ck_assert_str_eq (
      result.err.ptr,
      "vanillahook: revision 13 is accepted, but not yet in force at 1 of 27 "
      "processes: runner-25 at 10 (silent) (see `vanillahook status')\n");
  result_free (&result);
  run ("zone in nairobi-a --wait --timeout-ms 0 --json", &server, &result);
  ck_assert_int_eq (result.code, 6);
  ck_assert_str_eq (result.out.ptr, "{\"revision\":14,\"changed\":true,"
                                    "\"in_force_everywhere\":false,"
                                    "\"behind\":[\"runner-25\"]}\n");
  result_free (&result);
  fake_entry_stop (&server);
}
END_TEST

/* The progress line is printed on a terminal only.  The other tests of --wait
   check that a file receives none.  */
START_TEST (progress_is_printed_on_a_terminal)
{
  int terminal = posix_openpt (O_RDWR | O_NOCTTY);
  fake_entry_t server;
  result_t result;
  char text[4096];

  ck_assert_int_ge (terminal, 0);
  ck_assert_int_eq (grantpt (terminal), 0);
  ck_assert_int_eq (unlockpt (terminal), 0);
  int line = open (ptsname (terminal), O_RDWR | O_NOCTTY);
  ck_assert_int_ge (line, 0);
  fake_entry_start (&server);
  server.outdated_status_replies = 1;
  run_with_stderr ("zone out nairobi-a --wait", server.address, KEY, line,
                   &result);
  ck_assert_int_eq (result.code, 0);
  ssize_t len = read (terminal, text, sizeof text - 1);
  ck_assert_int_gt (len, 0);
  text[len] = '\0';
  ck_assert_msg (strstr (text, "revision 13: in force at 1 of 27") != NULL,
                 "%s", text);
  result_free (&result);
  close (line);
  close (terminal);
  fake_entry_stop (&server);
}
END_TEST

START_TEST (apply_and_views_print_the_configuration)
{
  fake_entry_t server;

  fake_entry_start (&server);
  check_success ("check " CONFIGURATION_PATH, &server,
                 CONFIGURATION_PATH
                 ": valid; teams 3, models 2, versions 3, services 1\n");
  check_success ("check " CONFIGURATION_PATH " --json", &server,
                 "{\"valid\":true,\"errors\":[]}\n");
  check_success ("apply " CONFIGURATION_PATH, &server,
                 "revision 12 has it already");
  check_success ("diff " CONFIGURATION_PATH, &server,
                 "no difference from revision 12\n");
  check_success ("diff tests/data/small.ini", &server, "+[plan p]\n");
  check_success ("show", &server, "[team coast-office]\nplan = grants\n");
  check_success ("show --json", &server, "\"revision\":12");
  check_success ("apply tests/data/small.ini --if-revision 12 --json", &server,
                 "{\"revision\":13,\"changed\":true");
  check_success ("history", &server,
                 "revision 13  2025-12-02 00:00:00Z  wanjiru\n"
                 "    -weight = 4\n    +weight = 5\n");
  check_success ("history --json --limit 1", &server, "\"who\":\"wanjiru\"");
  fake_entry_stop (&server);
}
END_TEST

/* `show' prints exactly the text in force, so that `apply' accepts it
   unchanged.  */
START_TEST (show_prints_the_text_in_force)
{
  fake_entry_t server;
  result_t result;

  fake_entry_start (&server);
  run ("show", &server, &result);
  ck_assert (str_eq (buf_str (&result.out), buf_str (&server.text)));
  ck_assert_str_eq (result.err.ptr, "revision 12, confirmed 0.2 s ago\n");
  result_free (&result);
  fake_entry_stop (&server);
}
END_TEST

START_TEST (diff_names_the_section)
{
  fake_entry_t server;
  buf_t edited = BUF_NULL;

  fake_entry_start (&server);
  conf_set_key (buf_str (&server.text), STR ("plan drafts"), STR ("prefer"),
                STR ("cost"), &edited);
  buf_free (&server.text);
  server.text = edited;
  check_success ("diff " CONFIGURATION_PATH, &server,
                 "  [plan drafts]\n-prefer = cost\n+prefer = latency\n");
  fake_entry_stop (&server);
}
END_TEST

START_TEST (status_prints_all_tables)
{
  static const char *const parts[] = {
    "revision 12, confirmed 300 ms ago; as seen by entry-1 (entry, "
    "nairobi-a, up 2 h)\n",
    "0 entries and 26 sidecars besides: 24 live, 1 silent, 1 ejected; 1 "
    "behind in revision\n",
    "ZONE       STATE  PROCESSES  LIVE  BEHIND  LOAD",
    "nairobi-d  out    0          0     0       -  ",
    "nairobi-b  runner-25  sidecar  silent   10 (-2)   65 ms  25/64  39%",
    "draft-small@4  draft-small@3  paused  12.5%  paused by operators\n",
    "draft  draft-small@3  420    cheapest that meets the target\n",
  };
  fake_entry_t server;
  result_t result;
  size_t longest = 0;

  fake_entry_start (&server);
  server.has_lagging_sidecar = true;
  run ("status", &server, &result);
  ck_assert_int_eq (result.code, 0);
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    ck_assert_msg (strstr (result.out.ptr, parts[i]) != NULL, "no `%s' in\n%s",
                   parts[i], result.out.ptr);
  for (const char *line = result.out.ptr; *line != '\0';)
    {
      size_t len = strcspn (line, "\n");
      longest = len > longest ? len : longest;
      line += len + (line[len] != '\0');
    }
  ck_assert_uint_le (longest, 100);
  result_free (&result);
  check_success ("status --json", &server, "\"peers\":[{");
  fake_entry_stop (&server);
}
END_TEST

START_TEST (reports_are_printed)
{
  char path[] = "/tmp/test_cli_html_XXXXXX";
  int fd = mkstemp (path);
  fake_entry_t server;
  buf_t line = BUF_NULL;
  buf_t page = BUF_NULL;

  close (fd);
  fake_entry_start (&server);
  check_success ("report bill --day 2026-12-01", &server,
                 "coast-office  draft-small  draft-small@3  7         1900  "
                 "  1.500\n");
  check_success ("report bill --day 2026-12-01 --json", &server,
                 "\"cost\":1.5");
  buf_printf (&line, "report burn --html %s", path);
  check_success (line.ptr, &server, "drafts  answered  5m 3.00 page\n");
  check_success ("report burn", &server, "drafts  answered  5m 3.00 page\n");
  check_success ("report burn --json", &server, "\"name\":\"drafts\"");
  ck_assert_int_eq (conf_read_file (path, &page), VH_OK);
  ck_assert (str_eq (buf_str (&page), STR ("<!doctype html><svg></svg>")));
  unlink (path);
  buf_free (&page);
  buf_free (&line);
  fake_entry_stop (&server);
}
END_TEST

START_TEST (codes_page_is_up_to_date)
{
  fake_entry_t server = { .address = "127.0.0.1:1" };
  result_t result;
  buf_t page = BUF_NULL;

  run ("codes --markdown", &server, &result);
  ck_assert_int_eq (conf_read_file ("docs/CODES.md", &page), VH_OK);
  ck_assert_msg (str_eq (buf_str (&page), buf_str (&result.out)),
                 "run `build/bin/vanillahook codes --markdown "
                 ">docs/CODES.md'");
  result_free (&result);
  buf_free (&page);
  check_success ("codes", &server,
                 "507  stale_revision           HTTP 409  The revision is");
  check_success ("codes --json", &server,
                 "{\"code\":507,\"symbol\":\"VH_E_STALE_REVISION\"");
}
END_TEST

static const char *const verb_names[]
    = { "check",  "apply",    "show",       "diff",    "history",
        "zone",   "instance", "version",    "rollout", "status",
        "report", "codes",    "completion", "help" };

enum
{
  VERB_COUNT = sizeof verb_names / sizeof verb_names[0]
};

START_TEST (each_verb_has_help)
{
  fake_entry_t server = { .address = "127.0.0.1:1" };
  char line[64];
  char usage[64];

  snprintf (line, sizeof line, "%s --help", verb_names[_i]);
  snprintf (usage, sizeof usage, "Usage: vanillahook %s", verb_names[_i]);
  check_success (line, &server, usage);
  check_success (line, &server, "\nExample:\n  vanillahook ");
  snprintf (line, sizeof line, "help %s", verb_names[_i]);
  check_success (line, &server, usage);
  check_success ("help", &server, verb_names[_i]);
  check_success ("--help", &server, "  6  accepted, but not in force");
  check_success ("--version", &server, "vanillahook 0.");
}
END_TEST

/* The manual pages name every verb and option.  */
START_TEST (manual_names_every_verb_and_option)
{
  static const char *const pages[]
      = { "docs/CLI.md", "docs/man/vanillahook.1" };
  static const char *const options[]
      = { "entry",   "key-file", "if-revision", "wait",  "timeout-ms",
          "dry-run", "who",      "over",        "limit", "day",
          "html",    "markdown", "json",        "help" };

  for (size_t i = 0; i < sizeof pages / sizeof pages[0]; i++)
    {
      buf_t page = BUF_NULL;
      ck_assert_int_eq (conf_read_file (pages[i], &page), VH_OK);
      buf_append_char (&page, '\0');
      for (size_t k = 0; k < VERB_COUNT; k++)
        ck_assert_msg (strstr (page.ptr, verb_names[k]) != NULL,
                       "%s lacks the verb %s", pages[i], verb_names[k]);
      for (size_t k = 0; k < sizeof options / sizeof options[0]; k++)
        {
          char option[32];
          snprintf (option, sizeof option, "--%s", options[k]);
          ck_assert_msg (strstr (page.ptr, option) != NULL,
                         "%s lacks the option %s", pages[i], option);
        }
      buf_free (&page);
    }
}
END_TEST

START_TEST (completion_replies_match)
{
  static const struct
  {
    const char *words;
    const char *current; /* Index of the word at the cursor.  */
    const char *reply;
  } cases[] = {
    { "vanillahook zo", "1", "zone\n" },
    { "vanillahook rollout pa", "2", "pause\n" },
    { "vanillahook zone out x --dr", "4", "--dry-run\n" },
    { "vanillahook check examples/lists", "2", "examples/lists.ini\n" },
  };
  fake_entry_t server = { .address = "127.0.0.1:1" };
  result_t script;

  run ("completion bash", &server, &script);
  ck_assert_int_eq (script.code, 0);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      buf_t text = BUF_NULL;
      result_t result;
      buf_append_str (&text, buf_str (&script.out));
      buf_printf (&text,
                  "COMP_WORDS=(%s); COMP_CWORD=%s; _vanillahook; "
                  "echo \"${COMPREPLY[@]}\"\n",
                  cases[i].words, cases[i].current);
      char *argv[] = { "/bin/bash", "-c", text.ptr, NULL };
      run_argv (argv, "", "", &result);
      ck_assert_msg (strcmp (result.out.ptr, cases[i].reply) == 0, "%s: %s%s",
                     cases[i].words, result.out.ptr, result.err.ptr);
      result_free (&result);
      buf_free (&text);
    }
  result_free (&script);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cli");
  TCase *tcase = tcase_create ("cli");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, unreachable_entry_is_reported, 0,
                       ENTRY_COMMAND_COUNT);
  tcase_add_loop_test (tcase, wrong_or_missing_key_is_refused, 0,
                       ENTRY_COMMAND_COUNT);
  tcase_add_loop_test (tcase, invalid_replies_are_reported, 0,
                       ENTRY_COMMAND_COUNT);
  tcase_add_loop_test (tcase, failures_print_one_line_and_change_nothing, 0,
                       sizeof failures / sizeof failures[0]);
  tcase_add_loop_test (tcase, verbs_edit_the_configuration, 0,
                       sizeof edits / sizeof edits[0]);
  tcase_add_loop_test (tcase, dry_runs_change_nothing, 0,
                       sizeof edits / sizeof edits[0]);
  tcase_add_test (tcase, revision_conflict_is_retried);
  tcase_add_test (tcase, final_revision_conflict_is_reported);
  tcase_add_test (tcase, lost_reply_is_not_a_conflict);
  tcase_add_test (tcase, next_entry_is_tried);
  tcase_add_test (tcase, unresponsive_entry_is_skipped);
  tcase_add_test (tcase, key_file_and_entry_options_are_used);
  tcase_add_test (tcase, wait_ends_when_in_force_everywhere);
  tcase_add_test (tcase, wait_names_lagging_process);
  tcase_add_test (tcase, progress_is_printed_on_a_terminal);
  tcase_add_test (tcase, apply_and_views_print_the_configuration);
  tcase_add_test (tcase, show_prints_the_text_in_force);
  tcase_add_test (tcase, diff_names_the_section);
  tcase_add_test (tcase, status_prints_all_tables);
  tcase_add_test (tcase, reports_are_printed);
  tcase_add_test (tcase, codes_page_is_up_to_date);
  tcase_add_loop_test (tcase, each_verb_has_help, 0, VERB_COUNT);
  tcase_add_test (tcase, manual_names_every_verb_and_option);
  tcase_add_test (tcase, completion_replies_match);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
