#include "base/clock.h"
#include "base/mem.h"
#include "base/rng.h"
#include "cli/change.h"
#include "conf/snapshot.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  /* Few operators change the configuration at the same time, so five revision
     conflicts in a row are unlikely even against a program that changes the
     configuration continuously.  */
  ATTEMPTS_MAX = 5,
  RETRY_DELAY_MS = 100
};

/* Append S percent-encoded for a URL query.  */
static void
append_percent_encoded (buf_t *out, str_t s)
{
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char byte = (unsigned char)s.ptr[i];
      if (isalnum (byte) || strchr ("._-~", byte) != NULL)
        buf_append_char (out, (char)byte);
      else
        buf_printf (out, "%%%02X", byte);
    }
}

/* Print an error that names the revision in force and its author.  */
static void
print_revision_conflict (change_t *change, uint64_t expected,
                         uint64_t current_revision)
{
  reply_t reply;
  cli_exit_code_t code
      = client_get (change->client, "/admin/history?limit=1", &reply);
  const json_t *newest = json_array_get (reply.json, 0);
  str_t author = STR_NULL;

  /* The error names the author if the history is available.  */
  if (code == CLI_OK && json_u64 (newest, "revision") == current_revision)
    author = json_str (newest, "who");
  cli_print_error (
      "revision %llu%s%.*s is in force, not %llu; nothing changed "
      "(see `vanillahook history', then try again)",
      (unsigned long long)current_revision, author.len > 0 ? " by " : "",
      STR_ARG (author), (unsigned long long)expected);
  reply_free (&reply);
}

/* Print the validation errors with which an entry rejected the sent text.  */
static void
print_validation_errors (const change_t *change, const reply_t *reply)
{
  const json_t *error = json_object_get (reply->json, "error");
  const json_t *item;
  size_t index;
  const char *source = change->file_text.len > 0
                           ? change->cli->operands[0]
                           : "the lists in force, edited";

  json_array_foreach (json_object_get (error, "errors"), index, item)
  {
    str_t hint = json_str (item, "hint");
    cli_print_error ("%s:%llu: %.*s%s%.*s%s", source,
                     (unsigned long long)json_u64 (item, "line"),
                     STR_ARG (json_str (item, "message")),
                     hint.len > 0 ? " (" : "", STR_ARG (hint),
                     hint.len > 0 ? ")" : "");
  }
  if (json_array_size (json_object_get (error, "errors")) == 0)
    cli_print_error ("%s: %.*s", source,
                     STR_ARG (json_str (error, "message")));
}

/* Return whether TEXT is in force after the reply to its POST was lost.  If
   so, set the accepted revision of CHANGE.  */
static bool
change_took_effect (change_t *change, str_t text)
{
  configuration_t current;
  bool is_same = configuration_read (change->client, &current) == CLI_OK
                 && str_eq (current.text, text);

  if (is_same)
    {
      change->accepted_revision = current.revision;
      change->is_new_revision = true;
    }
  configuration_free (&current);
  return is_same;
}

/* Send TEXT as the successor of REVISION.  Return CLI_OK with the accepted
   revision in CHANGE, CLI_REVISION_CONFLICT with *CURRENT_REVISION set and no
   error printed, or another exit code after printing an error.  */
static cli_exit_code_t
change_post (change_t *change, uint64_t revision, str_t text,
             uint64_t *current_revision)
{
  const cli_t *cli = change->cli;
  const char *user = getenv ("USER");
  const char *author = cli->has_option[OPTION_WHO] ? cli->values[OPTION_WHO]
                       : user != NULL && user[0] != '\0' ? user
                                                         : "operator";
  buf_t path = BUF_NULL;
  reply_t reply;

  buf_printf (&path, "/admin/configuration?if-revision=%llu&who=",
              (unsigned long long)revision);
  append_percent_encoded (&path, str_from (author));
  buf_printf (&path, "&dry-run=%d", cli->has_option[OPTION_DRY_RUN]);
  cli_exit_code_t code = client_post (change->client, path.ptr, text, &reply);
  buf_free (&path);
  *current_revision
      = json_u64 (json_object_get (reply.json, "error"), "revision");
  if (code == CLI_OK)
    {
      change->accepted_revision = json_u64 (reply.json, "revision");
      change->is_new_revision = true;
    }
  /* An earlier entry may have applied the change while its reply was lost;
     the conflict is then with the revision that this change itself made.  */
  else if (code == CLI_REVISION_CONFLICT && reply.outcome_unknown
           && change_took_effect (change, text))
    code = CLI_OK;
  else if (code == CLI_REFUSED && reply.status == 422)
    print_validation_errors (change, &reply);
  reply_free (&reply);
  return code;
}

static void
sleep_before_retry (void)
{
  struct timespec now = clock_system ()->ops->realtime (clock_system ());
  rng_t rng = rng_make ((uint64_t)now.tv_nsec);
  struct timespec delay
      = { 0, (long)rng_jitter (&rng, RETRY_DELAY_MS) * 1000000 };

  nanosleep (&delay, NULL);
}

/* Print the difference between CURRENT and TEXT as the result of a dry
   run.  */
static void
print_dry_run (const cli_t *cli, const configuration_t *current, str_t text)
{
  buf_t delta = BUF_NULL;

  conf_delta_make (current->text, text, &delta);
  if (cli->has_option[OPTION_JSON])
    {
      json_t *root = json_pack ("{s:I, s:b, s:s%}", "revision",
                                (json_int_t)current->revision, "dry_run", 1,
                                "delta", delta.ptr, delta.len);
      json_dumpf (root, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (root);
    }
  else
    {
      delta_print (current->text, buf_str (&delta));
      printf ("dry run: this would be accepted over revision %llu; nothing "
              "changed\n",
              (unsigned long long)current->revision);
    }
  buf_free (&delta);
}

/* Read the configuration, edit it and send the result once.  Set *EXPECTED to
   the revision that the change requires.  Return as change_post does.  */
static cli_exit_code_t
change_attempt (change_t *change, uint64_t *expected,
                uint64_t *current_revision)
{
  const cli_t *cli = change->cli;
  configuration_t current;
  buf_t text = BUF_NULL;
  cli_exit_code_t code = configuration_read (change->client, &current);

  if (code != CLI_OK)
    goto free_current;
  *current_revision = current.revision;
  *expected = cli->has_option[OPTION_IF_REVISION] ? cli->if_revision
                                                  : current.revision;
  if (*expected != current.revision)
    {
      code = CLI_REVISION_CONFLICT;
      goto free_current;
    }
  code = change->edit (change, &current, &text);
  if (code != CLI_OK)
    goto free_text;
  change->accepted_revision = current.revision;
  change->is_new_revision = false;
  if (str_eq (buf_str (&text), current.text))
    goto free_text;
  code = change_post (change, current.revision, buf_str (&text),
                      current_revision);
  if (code == CLI_OK && cli->has_option[OPTION_DRY_RUN])
    print_dry_run (cli, &current, buf_str (&text));

free_text:
  buf_free (&text);
free_current:
  configuration_free (&current);
  return code;
}

/* Print the accepted revision; with --wait, wait until it is in force
   everywhere.  Return the exit code of the program.  */
static cli_exit_code_t
change_print_outcome (change_t *change)
{
  cli_t *cli = change->cli;
  json_t *lagging = json_array ();
  cli_exit_code_t code = CLI_OK;

  if (!cli->has_option[OPTION_JSON])
    {
      printf (change->is_new_revision
                  ? "revision %llu accepted\n"
                  : "revision %llu has it already; nothing to change\n",
              (unsigned long long)change->accepted_revision);
      fflush (stdout);
    }
  if (cli->has_option[OPTION_WAIT])
    code = wait_until_in_force (cli, change->client, change->accepted_revision,
                                lagging);
  if (cli->has_option[OPTION_JSON])
    {
      json_t *root = json_pack (
          "{s:I, s:b, s:b, s:O}", "revision",
          (json_int_t)change->accepted_revision, "changed",
          change->is_new_revision, "in_force_everywhere",
          cli->has_option[OPTION_WAIT] && code == CLI_OK, "behind", lagging);
      json_dumpf (root, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (root);
    }
  json_decref (lagging);
  return code;
}

cli_exit_code_t
change_run (change_t *change)
{
  cli_t *cli = change->cli;
  bool retry_on_conflict
      = change->retry_on_conflict && !cli->has_option[OPTION_IF_REVISION];
  uint64_t expected = 0;
  uint64_t current_revision = 0;
  cli_exit_code_t code = CLI_REVISION_CONFLICT;

  change->client = client_create (cli);
  for (int i = 0; i < ATTEMPTS_MAX && code == CLI_REVISION_CONFLICT; i++)
    {
      if (i > 0 && !retry_on_conflict)
        break;
      if (i > 0)
        sleep_before_retry ();
      code = change_attempt (change, &expected, &current_revision);
    }
  if (code == CLI_REVISION_CONFLICT)
    print_revision_conflict (change, expected, current_revision);
  else if (code == CLI_OK
           && !(cli->has_option[OPTION_DRY_RUN] && change->is_new_revision))
    code = change_print_outcome (change);
  client_destroy (change->client);
  return code;
}

static cli_exit_code_t
edit_apply (change_t *change, const configuration_t *current, buf_t *text)
{
  (void)current;
  buf_append_str (text, buf_str (&change->file_text));
  return CLI_OK;
}

cli_exit_code_t
run_apply (cli_t *cli)
{
  /* The change is not retried after a revision conflict: the file is based on
     the revision that its author saw, and a retry would silently undo the
     changes of others made since.  */
  change_t change = { .cli = cli, .edit = edit_apply };
  cli_exit_code_t code = CLI_USAGE_ERROR;

  if (configuration_load (cli->operands[0], &change.file_text))
    code = change_run (&change);
  buf_free (&change.file_text);
  return code;
}
