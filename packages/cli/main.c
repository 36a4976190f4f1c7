#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPTION_BIT(option) (1u << OPTION_##option)
#define QUERY_OPTIONS                                                         \
  (OPTION_BIT (ENTRY) | OPTION_BIT (KEY_FILE) | OPTION_BIT (JSON)             \
   | OPTION_BIT (HELP))
#define CHANGE_OPTIONS                                                        \
  (QUERY_OPTIONS | OPTION_BIT (IF_REVISION) | OPTION_BIT (WAIT)               \
   | OPTION_BIT (TIMEOUT_MS) | OPTION_BIT (DRY_RUN) | OPTION_BIT (WHO))

/* X (name, operands, actions, min, max, options, help, example).  */
#define VERBS(X)                                                              \
  X (check, "FILE", "", 1, 1, OPTION_BIT (JSON) | OPTION_BIT (HELP),          \
     "Check a file with the operators' lists; no entry is contacted.",        \
     "vanillahook check lists.ini")                                           \
  X (apply, "FILE", "", 1, 1, CHANGE_OPTIONS,                                 \
     "Put the lists of FILE in force.",                                       \
     "vanillahook apply lists.ini --if-revision 12 --wait")                   \
  X (show, "", "", 0, 0, QUERY_OPTIONS, "Print the lists in force.",          \
     "vanillahook show >lists.ini")                                           \
  X (diff, "FILE", "", 1, 1, QUERY_OPTIONS,                                   \
     "Print what applying FILE would change.", "vanillahook diff lists.ini")  \
  X (history, "", "", 0, 0, QUERY_OPTIONS | OPTION_BIT (LIMIT),               \
     "Print who changed what, newest first.",                                 \
     "vanillahook history --limit 3")                                         \
  X (zone, "out|in NAME", "out in", 2, 2, CHANGE_OPTIONS,                     \
     "Take an availability zone out of service, or back in.",                 \
     "vanillahook zone out nairobi-a --wait")                                 \
  X (instance, "out|in NAME", "out in", 2, 2, CHANGE_OPTIONS,                 \
     "Take an upstream instance out of service, or back in.",                 \
     "vanillahook instance out runner-17")                                    \
  X (version, "withdraw|serve MODEL@VERSION", "withdraw serve", 2, 2,         \
     CHANGE_OPTIONS, "Withdraw a version from new work, or serve it.",        \
     "vanillahook version withdraw draft-small@4 --wait")                     \
  X (rollout, "start|pause|resume|abort MODEL@VERSION",                       \
     "start pause resume abort", 2, 2, CHANGE_OPTIONS | OPTION_BIT (OVER),    \
     "Start, pause, resume or abort the roll-out of a version.",              \
     "vanillahook rollout start draft-small@4 --over draft-small@3")          \
  X (status, "", "", 0, 0, QUERY_OPTIONS,                                     \
     "Print every process, its state, revision and load.",                    \
     "vanillahook status --entry 10.0.0.4:9100 --entry 10.0.1.4:9100")        \
  X (report, "burn|bill", "burn bill", 1, 1,                                  \
     QUERY_OPTIONS | OPTION_BIT (DAY) | OPTION_BIT (HTML),                    \
     "Print the service-level burn, or a day's bill.",                        \
     "vanillahook report burn --html burn.html")                              \
  X (explain, "ID [FILE...]", "", 1, OPERANDS_MAX,                            \
     OPTION_BIT (JSON) | OPTION_BIT (HELP),                                   \
     "Explain the course of a request from log files or standard input.",     \
     "vanillahook explain 9c41d07be2a35f68 entry-1.log entry-2.log")          \
  X (events, "", "", 0, 0, OPTION_BIT (MARKDOWN) | OPTION_BIT (HELP),         \
     "Print the events, fields and causes of the log.",                       \
     "vanillahook events --markdown")                                         \
  X (codes, "", "", 0, 0,                                                     \
     OPTION_BIT (JSON) | OPTION_BIT (MARKDOWN) | OPTION_BIT (HELP),           \
     "Print the numbered result codes.", "vanillahook codes")                 \
  X (completion, "bash", "bash", 1, 1, OPTION_BIT (HELP),                     \
     "Print completion for a shell.",                                         \
     "vanillahook completion bash >/etc/bash_completion.d/vanillahook")       \
  X (help, "[VERB]", "", 0, 1, OPTION_BIT (HELP),                             \
     "Print help on the program or on one verb.", "vanillahook help rollout")

static const verb_t verbs[] = {
#define X(name, operands, actions, min, max, options, help, example)          \
  { #name, operands, actions, min, max, options, run_##name, help, example },
  VERBS (X)
#undef X
};

const verb_t *
verb_at (size_t index)
{
  return index < sizeof verbs / sizeof verbs[0] ? &verbs[index] : NULL;
}

const verb_t *
verb_find (const char *name)
{
  for (size_t i = 0; verb_at (i) != NULL; i++)
    if (strcmp (verbs[i].name, name) == 0)
      return &verbs[i];
  return NULL;
}

void
cli_print_error (const char *format, ...)
{
  va_list args;

  fputs ("vanillahook: ", stderr);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
}

/* Print the help of the whole program.  */
static void
print_program_help (void)
{
  puts ("Usage: vanillahook VERB [OPERAND...] [OPTION...]\n\n"
        "Drives vanillahook: the operators' lists, availability zones,\n"
        "instances, versions and roll-outs.\n\nVerbs:");
  for (size_t i = 0; verb_at (i) != NULL; i++)
    {
      char synopsis[64];
      snprintf (synopsis, sizeof synopsis, "%s %s", verbs[i].name,
                verbs[i].operands);
      if (strlen (synopsis) <= 22)
        printf ("  %-22s %s\n", synopsis, verbs[i].help);
      else
        printf ("  %s\n  %-22s %s\n", synopsis, "", verbs[i].help);
    }
  puts ("\n`vanillahook VERB --help' lists the options of a verb.\n\n"
        "Entries are named by --entry, or by VANILLAHOOK_ENTRY with commas\n"
        "between them (default 127.0.0.1:9100); the next is tried if one\n"
        "does not answer.  The operators' key is in the file of --key-file,\n"
        "or in VANILLAHOOK_KEY.\n\nExit codes:");
#define X(symbol, number, sentence) printf ("  %d  %s\n", number, sentence);
  CLI_EXITS (X)
#undef X
}

cli_exit_code_t
run_help (cli_t *cli)
{
  const verb_t *verb;

  if (cli->operand_count == 0)
    {
      print_program_help ();
      return CLI_OK;
    }
  verb = verb_find (cli->operands[0]);
  if (verb == NULL)
    {
      cli_print_error ("there is no verb `%s' (see `vanillahook help')",
                       cli->operands[0]);
      return CLI_USAGE_ERROR;
    }
  options_print_help (verb);
  return CLI_OK;
}

int
main (int argc, char **argv)
{
  cli_t cli = { 0 };
  cli_exit_code_t code;

  if (argc < 2)
    {
      cli_print_error ("give a verb (see `vanillahook help')");
      return CLI_USAGE_ERROR;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      puts ("vanillahook " VH_VERSION);
      return CLI_OK;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    {
      print_program_help ();
      return CLI_OK;
    }
  cli.verb = verb_find (argv[1]);
  if (cli.verb == NULL)
    {
      cli_print_error ("there is no verb `%s' (see `vanillahook help')",
                       argv[1]);
      return CLI_USAGE_ERROR;
    }
  if (options_parse (&cli, argc - 1, argv + 1, &code))
    code = cli.verb->run (&cli);
  free (cli.key);
  if (fflush (stdout) != 0 || ferror (stdout))
    {
      cli_print_error ("standard output cannot be written");
      return CLI_USAGE_ERROR;
    }
  return code;
}
