/* Tests of the operators' command line: the real binary against a small
   HTTP server that plays the operators' port of an entry.  */

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

/* Tell whether nothing changed since server_start.  */
static bool
server_unchanged (const server_t *server)
{
  buf_t text = BUF_NULL;

  conf_read_file (LISTS, &text);
  bool same = server->revision == FIRST_REVISION
              && str_eq (buf_str (&text), buf_str (&server->text));
  buf_free (&text);
  return same;
}

static bool
server_has (server_t *server, const char *part)
{
  buf_append_char (&server->text, '\0');
  bool has = strstr (server->text.ptr, part) != NULL;
  server->text.len--;
  return has;
}

/* What a run of the program printed.  */
typedef struct
{
  int code;
  buf_t out;
  buf_t err;
} result_t;

/* Read all of FILE into BUF, NUL-terminated past its length.  */
static void
read_back (FILE *file, buf_t *buf)
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

/* Run ARGV with the entries ENTRIES and the operators' KEY_TEXT, standard
   error being ERR_FD unless negative.  */
static void
run_argv_err (char **argv, const char *entries, const char *key_text,
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
  read_back (out, &result->out);
  read_back (err, &result->err);
}

static void
run_argv (char **argv, const char *entries, const char *key_text,
          result_t *result)
{
  run_argv_err (argv, entries, key_text, -1, result);
}

/* Run `vanillahook LINE', LINE being split at blanks, with standard error
   as run_argv_err has it.  */
static void
run_err (const char *line, const char *entries, const char *key_text,
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
  run_argv_err (argv, entries, key_text, err_fd, result);
  free (copy);
}

static void
run_at (const char *line, const char *entries, const char *key_text,
        result_t *result)
{
  run_err (line, entries, key_text, -1, result);
}

static void
run (const char *line, const server_t *server, result_t *result)
{
  run_at (line, server->address, KEY, result);
}

static void
result_free (result_t *result)
{
  buf_free (&result->out);
  buf_free (&result->err);
}

/* Check that RESULT of LINE is CODE and one complaint that holds PART.  */
static void
check_complaint (const char *line, const result_t *result, int code,
                 const char *part)
{
  const char *newline = strchr (result->err.ptr, '\n');

  ck_assert_msg (result->code == code, "%s: exit code %d, wanted %d\n%s%s",
                 line, result->code, code, result->out.ptr, result->err.ptr);
  ck_assert_msg (strncmp (result->err.ptr, "vanillahook: ", 13) == 0
                     && newline != NULL && newline[1] == '\0',
                 "%s: not one line:\n%s", line, result->err.ptr);
  ck_assert_msg (strstr (result->err.ptr, part) != NULL, "%s: no `%s' in\n%s",
                 line, part, result->err.ptr);
  ck_assert_msg (result->out.len == 0, "%s: printed\n%s", line,
                 result->out.ptr);
}

/* Check that LINE succeeds and prints PART.  */
static void
check_success (const char *line, const server_t *server, const char *part)
{
  result_t result;

  run (line, server, &result);
  ck_assert_msg (result.code == 0, "%s: exit code %d\n%s", line, result.code,
                 result.err.ptr);
  ck_assert_msg (strstr (result.out.ptr, part) != NULL, "%s: no `%s' in\n%s",
                 line, part, result.out.ptr);
  result_free (&result);
}

/* Every verb that asks an entry.  */
static const char *const asking[] = {
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
  ASKING_COUNT = sizeof asking / sizeof asking[0]
};

START_TEST (unreachable_entry)
{
  result_t result;
  /* A port that nothing listens on: one that was just given back.  */
  server_t server;

  server_start (&server);
  server_stop (&server);
  run (asking[_i], &server, &result);
  check_complaint (asking[_i], &result, 4, "no entry answers at 127.0.0.1:");
  result_free (&result);
}
END_TEST

START_TEST (wrong_or_missing_key)
{
  server_t server;
  result_t result;

  server_start (&server);
  server.key = KEY;
  run_at (asking[_i], server.address, "sesame", &result);
  check_complaint (asking[_i], &result, 5, "is not the right one");
  ck_assert_ptr_null (strstr (result.err.ptr, "sesame"));
  result_free (&result);
  run_at (asking[_i], server.address, "", &result);
  check_complaint (asking[_i], &result, 5, "key is needed");
  result_free (&result);
  ck_assert (server_unchanged (&server));
  server_stop (&server);
}
END_TEST

START_TEST (entry_that_is_none)
{
  static const struct
  {
    fault_t fault;
    int code;
    const char *part;
  } cases[] = {
    { FAULT_CUT, 4, "ended early" },
    { FAULT_GARBAGE, 4, "is it the operators' port of an entry?" },
    { FAULT_NOT_FOUND, 1, "HTTP status 404; is it the operators' port" },
    { FAULT_DRAINING, 1, "stopping" },
  };
  server_t server;
  result_t result;

  server_start (&server);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      server.fault = cases[i].fault;
      run (asking[_i], &server, &result);
      check_complaint (asking[_i], &result, cases[i].code, cases[i].part);
      result_free (&result);
    }
  ck_assert (server_unchanged (&server));
  server_stop (&server);
}
END_TEST

static const struct
{
  const char *line;
  fault_t fault;
  int code;
  const char *part;
} failures[] = {
  /* Usage.  */
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
  { "apply " LISTS " --if-revision x", FAULT_NONE, 2, "--if-revision" },
  { "apply " LISTS " --if-revision", FAULT_NONE, 2, "--if-revision" },
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
  /* Files.  */
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
  /* Dangling names.  */
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
  /* Lost races.  */
  { "apply examples/lists.ini --if-revision 9", FAULT_NONE, 3,
    "revision 12 by amina is in force, not 9; nothing changed" },
  { "zone out nairobi-a --if-revision 9", FAULT_NONE, 3,
    "revision 12 by amina is in force, not 9" },
  { "instance out runner-17 --if-revision 9", FAULT_NONE, 3, "not 9" },
  { "version withdraw draft-small@4 --if-revision 9", FAULT_NONE, 3, "not 9" },
  { "rollout resume draft-small@4 --if-revision 9", FAULT_NONE, 3, "not 9" },
  /* The store cannot say.  */
  { "zone out nairobi-a", FAULT_STORE_DOWN, 1,
    "code 505: The change was not accepted; nothing changed." },
  { "version withdraw draft-small@4 --wait", FAULT_STORE_DOWN, 1, "code 505" },
};

START_TEST (failures_are_one_line_and_change_nothing)
{
  const char *line = failures[_i].line;
  server_t server;
  result_t result;

  server_start (&server);
  server.fault = failures[_i].fault;
  run (line, &server, &result);
  check_complaint (line, &result, failures[_i].code, failures[_i].part);
  ck_assert (server_unchanged (&server));
  result_free (&result);
  server_stop (&server);
}
END_TEST

static const struct
{
  const char *line;
  const char *has;
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

START_TEST (verbs_edit_the_lists)
{
  server_t server;

  server_start (&server);
  check_success (edits[_i].line, &server, "revision 13 accepted\n");
  ck_assert_msg (server_has (&server, edits[_i].has), "%s:\n%.*s",
                 edits[_i].line, STR_ARG (buf_str (&server.text)));
  ck_assert_str_eq (server.who, "wanjiru");
  /* All else stays, comments too.  */
  ck_assert (server_has (&server, "; The operators' lists: who"));
  /* Once more is no change.  */
  check_success (edits[_i].line, &server,
                 "revision 13 has it already; nothing to change\n");
  ck_assert_uint_eq (server.revision, 13);
  ck_assert_int_eq (server.posts, 1);
  server_stop (&server);
}
END_TEST

START_TEST (dry_runs_change_nothing)
{
  server_t server;
  buf_t line = BUF_NULL;

  server_start (&server);
  buf_printf (&line, "%s --dry-run", edits[_i].line);
  check_success (line.ptr, &server, "nothing changed\n");
  line.len = 0;
  buf_printf (&line, "%s --dry-run --json", edits[_i].line);
  check_success (line.ptr, &server, "\"dry_run\":true");
  ck_assert_int_eq (server.posts, 2);
  ck_assert (server_unchanged (&server));
  buf_free (&line);
  server_stop (&server);
}
END_TEST

/* Story: two operators take things out of service in the same second.  The
   second one's change is refused for its revision; it reads again and edits
   what is in force by then, so that both changes last.  */
START_TEST (lost_race_is_run_again)
{
  server_t server;

  server_start (&server);
  server.fault = FAULT_RACE;
  server.races = 2;
  check_success ("zone out nairobi-a", &server, "revision 15 accepted\n");
  ck_assert (server_has (&server, "; change 13 by another\n"));
  ck_assert (server_has (&server, "; change 14 by another\n"));
  ck_assert (server_has (&server, "[availability-zone nairobi-a]\n"
                                  "state = out"));
  server_stop (&server);
}
END_TEST

/* Story: the same, but the operator asked for a change of one revision
   only, or applies a whole file, or loses every time.  It ends with the
   revision that beat it, and leaves that one in force.  */
START_TEST (lost_race_is_told)
{
  static const struct
  {
    const char *line;
    int races;
    const char *part;
  } cases[] = {
    { "zone out nairobi-a --if-revision 12", 1,
      "revision 13 by amina is in force, not 12; nothing changed" },
    { "apply tests/data/small.ini", 1,
      "revision 13 by amina is in force, not 12" },
    { "zone out nairobi-a", 100, "by amina is in force" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      server_t server;
      result_t result;
      server_start (&server);
      server.fault = FAULT_RACE;
      server.races = cases[i].races;
      run (cases[i].line, &server, &result);
      check_complaint (cases[i].line, &result, 3, cases[i].part);
      ck_assert (!server_has (&server, "state = out"));
      ck_assert_str_eq (server.who, "amina");
      result_free (&result);
      server_stop (&server);
    }
}
END_TEST

/* Story: the first entry makes the change and dies before it says so.  The
   second entry knows nothing of that and sees a newer revision; the operator
   must not be told that somebody else was first.  */
START_TEST (lost_reply_is_read_back)
{
  server_t first;
  server_t second;
  result_t result;
  char entries[96];

  server_start (&first);
  first.fault = FAULT_LOSE_REPLY;
  run ("zone out nairobi-a", &first, &result);
  check_complaint ("zone out", &result, 4,
                   "the change may have been made; see `vanillahook history'");
  ck_assert_uint_eq (first.revision, 13);
  result_free (&result);
  server_stop (&first);

  /* Both entries read the same lists: the second one already sees them.  */
  server_start (&first);
  server_start (&second);
  first.fault = FAULT_LOSE_REPLY;
  second.text.len = 0;
  conf_set_key (buf_str (&first.text), STR ("availability-zone nairobi-a"),
                STR ("state"), STR ("out"), &second.text);
  second.revision = 13;
  snprintf (entries, sizeof entries, "%s,%s", first.address, second.address);
  run_at ("zone out nairobi-a", entries, KEY, &result);
  ck_assert_msg (result.code == 0, "%s", result.err.ptr);
  ck_assert_str_eq (result.out.ptr, "revision 13 accepted\n");
  result_free (&result);
  server_stop (&first);
  server_stop (&second);
}
END_TEST

START_TEST (next_entry_is_tried)
{
  server_t down;
  server_t stopping;
  server_t up;
  result_t result;
  char entries[96];

  server_start (&down);
  server_stop (&down);
  server_start (&stopping);
  stopping.fault = FAULT_DRAINING;
  server_start (&up);
  snprintf (entries, sizeof entries, "%s,%s,%s", down.address,
            stopping.address, up.address);
  run_at ("zone out nairobi-a", entries, KEY, &result);
  ck_assert_msg (result.code == 0, "%s", result.err.ptr);
  ck_assert_str_eq (result.out.ptr, "revision 13 accepted\n");
  ck_assert_uint_eq (up.revision, 13);
  ck_assert_int_eq (stopping.requests, 1);
  result_free (&result);
  server_stop (&stopping);
  server_stop (&up);
}
END_TEST

/* Story: something between the operator and an entry has lost track of the
   connection, or the entry hangs.  The next entry is asked after some
   seconds, and only once: the silent one is not asked again.  */
START_TEST (silent_entry_is_passed_over)
{
  server_t silent;
  server_t up;
  result_t result;
  char entries[96];

  server_start (&silent);
  silent.fault = FAULT_SILENT;
  server_start (&up);
  snprintf (entries, sizeof entries, "%s,%s", silent.address, up.address);
  run_at ("zone out nairobi-a --wait", entries, KEY, &result);
  ck_assert_msg (result.code == 0, "%s", result.err.ptr);
  ck_assert_uint_eq (up.revision, 13);
  ck_assert_int_eq (silent.requests, 1);
  result_free (&result);
  server_stop (&silent);
  server_stop (&up);
}
END_TEST

START_TEST (key_file_and_entry_options)
{
  char path[] = "/tmp/test_cli_key_XXXXXX";
  int fd = mkstemp (path);
  server_t server;
  result_t result;
  buf_t line = BUF_NULL;

  ck_assert_int_eq (write (fd, KEY "\n", sizeof KEY), sizeof KEY);
  close (fd);
  server_start (&server);
  server.key = KEY;
  buf_printf (&line,
              "zone out nairobi-a --who otieno --key-file %s --entry %s", path,
              server.address);
  run_at (line.ptr, "127.0.0.1:1", "", &result);
  ck_assert_msg (result.code == 0, "%s", result.err.ptr);
  ck_assert_str_eq (server.who, "otieno");
  result_free (&result);
  unlink (path);
  buf_free (&line);
  server_stop (&server);
}
END_TEST

START_TEST (wait_reports_when_it_is_in_force)
{
  server_t server;

  server_start (&server);
  server.polls_late = 2;
  check_success ("zone out nairobi-a --wait", &server,
                 "revision 13 accepted\n"
                 "revision 13 is in force at all 27 processes\n");
  ck_assert_int_eq (server.polls_late, 0);
  server_stop (&server);
}
END_TEST

/* Story: a zone must be out before works on its power start.  One process
   does not answer, and may go on sending work there: the operator must hear
   its name, and a script must see it in the exit code.  */
START_TEST (wait_names_who_is_late)
{
  server_t server;
  result_t result;

  server_start (&server);
  server.never = true;
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
  server_stop (&server);
}
END_TEST

/* The progress line goes to a terminal only; the other tests of --wait see
   none in a file.  */
START_TEST (progress_on_a_terminal)
{
  int terminal = posix_openpt (O_RDWR | O_NOCTTY);
  server_t server;
  result_t result;
  char text[4096];

  ck_assert_int_ge (terminal, 0);
  ck_assert_int_eq (grantpt (terminal), 0);
  ck_assert_int_eq (unlockpt (terminal), 0);
  int line = open (ptsname (terminal), O_RDWR | O_NOCTTY);
  ck_assert_int_ge (line, 0);
  server_start (&server);
  server.polls_late = 1;
  run_err ("zone out nairobi-a --wait", server.address, KEY, line, &result);
  ck_assert_int_eq (result.code, 0);
  ssize_t len = read (terminal, text, sizeof text - 1);
  ck_assert_int_gt (len, 0);
  text[len] = '\0';
  ck_assert_msg (strstr (text, "revision 13: in force at 1 of 27") != NULL,
                 "%s", text);
  result_free (&result);
  close (line);
  close (terminal);
  server_stop (&server);
}
END_TEST

START_TEST (apply_and_views)
{
  server_t server;

  server_start (&server);
  check_success ("check " LISTS, &server,
                 LISTS ": valid; teams 3, models 2, versions 3, services 1\n");
  check_success ("check " LISTS " --json", &server,
                 "{\"valid\":true,\"errors\":[]}\n");
  check_success ("apply " LISTS, &server, "revision 12 has it already");
  check_success ("diff " LISTS, &server, "no difference from revision 12\n");
  check_success ("diff tests/data/small.ini", &server, "+[plan p]\n");
  check_success ("show", &server, "[team coast-office]\nplan = grants\n");
  check_success ("show --json", &server, "\"revision\":12");
  check_success ("apply tests/data/small.ini --if-revision 12 --json", &server,
                 "{\"revision\":13,\"changed\":true");
  check_success ("history", &server,
                 "revision 13  2025-12-02 00:00:00Z  wanjiru\n"
                 "    -weight = 4\n    +weight = 5\n");
  check_success ("history --json --limit 1", &server, "\"who\":\"wanjiru\"");
  server_stop (&server);
}
END_TEST

/* The text of `show' goes back by `apply' unchanged.  */
START_TEST (show_is_the_text_in_force)
{
  server_t server;
  result_t result;

  server_start (&server);
  run ("show", &server, &result);
  ck_assert (str_eq (buf_str (&result.out), buf_str (&server.text)));
  ck_assert_str_eq (result.err.ptr, "revision 12, confirmed 0.2 s ago\n");
  result_free (&result);
  server_stop (&server);
}
END_TEST

START_TEST (diff_names_the_section)
{
  server_t server;
  buf_t edited = BUF_NULL;

  server_start (&server);
  conf_set_key (buf_str (&server.text), STR ("plan drafts"), STR ("prefer"),
                STR ("cost"), &edited);
  buf_free (&server.text);
  server.text = edited;
  check_success ("diff " LISTS, &server,
                 "  [plan drafts]\n-prefer = cost\n+prefer = latency\n");
  server_stop (&server);
}
END_TEST

START_TEST (status_at_a_glance)
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
  server_t server;
  result_t result;
  size_t longest = 0;

  server_start (&server);
  server.never = true;
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
  server_stop (&server);
}
END_TEST

START_TEST (reports)
{
  char path[] = "/tmp/test_cli_html_XXXXXX";
  int fd = mkstemp (path);
  server_t server;
  buf_t line = BUF_NULL;
  buf_t page = BUF_NULL;

  close (fd);
  server_start (&server);
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
  server_stop (&server);
}
END_TEST

START_TEST (codes_page_is_up_to_date)
{
  server_t server = { .address = "127.0.0.1:1" };
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
  server_t server = { .address = "127.0.0.1:1" };
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

/* Every verb and option stands in the pages.  */
START_TEST (pages_name_every_verb_and_option)
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

START_TEST (completion_completes)
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
  server_t server = { .address = "127.0.0.1:1" };
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
  tcase_add_loop_test (tcase, unreachable_entry, 0, ASKING_COUNT);
  tcase_add_loop_test (tcase, wrong_or_missing_key, 0, ASKING_COUNT);
  tcase_add_loop_test (tcase, entry_that_is_none, 0, ASKING_COUNT);
  tcase_add_loop_test (tcase, failures_are_one_line_and_change_nothing, 0,
                       sizeof failures / sizeof failures[0]);
  tcase_add_loop_test (tcase, verbs_edit_the_lists, 0,
                       sizeof edits / sizeof edits[0]);
  tcase_add_loop_test (tcase, dry_runs_change_nothing, 0,
                       sizeof edits / sizeof edits[0]);
  tcase_add_test (tcase, lost_race_is_run_again);
  tcase_add_test (tcase, lost_race_is_told);
  tcase_add_test (tcase, lost_reply_is_read_back);
  tcase_add_test (tcase, next_entry_is_tried);
  tcase_add_test (tcase, silent_entry_is_passed_over);
  tcase_add_test (tcase, key_file_and_entry_options);
  tcase_add_test (tcase, wait_reports_when_it_is_in_force);
  tcase_add_test (tcase, wait_names_who_is_late);
  tcase_add_test (tcase, progress_on_a_terminal);
  tcase_add_test (tcase, apply_and_views);
  tcase_add_test (tcase, show_is_the_text_in_force);
  tcase_add_test (tcase, diff_names_the_section);
  tcase_add_test (tcase, status_at_a_glance);
  tcase_add_test (tcase, reports);
  tcase_add_test (tcase, codes_page_is_up_to_date);
  tcase_add_loop_test (tcase, each_verb_has_help, 0, VERB_COUNT);
  tcase_add_test (tcase, pages_name_every_verb_and_option);
  tcase_add_test (tcase, completion_completes);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
