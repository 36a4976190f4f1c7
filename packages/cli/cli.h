/* Shared by the verbs of the operators' command line.  */

#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "base/code.h"
#include "base/str.h"

/* X (symbol, number, sentence): exit codes of the program.  */
#define CLI_EXITS(X)                                                          \
  X (CLI_OK, 0, "done")                                                       \
  X (CLI_REFUSED, 1, "refused; nothing changed")                              \
  X (CLI_USAGE_ERROR, 2, "wrong command line, or a file with errors")         \
  X (CLI_REVISION_CONFLICT, 3, "another change came first; nothing changed")  \
  X (CLI_UNREACHABLE, 4, "no entry can be reached")                           \
  X (CLI_BAD_KEY, 5, "the operators' key is missing or wrong")                \
  X (CLI_WAIT_TIMEOUT, 6, "accepted, but not in force everywhere in time")

typedef enum
{
#define X(symbol, number, sentence) symbol = (number),
  CLI_EXITS (X)
#undef X
} cli_exit_code_t;

/* X (symbol, long name, value or NULL for a flag, help).  */
#define CLI_OPTIONS(X)                                                        \
  X (ENTRY, "entry", "HOST:PORT",                                             \
     "operators' port of an entry; may be given several times")               \
  X (KEY_FILE, "key-file", "FILE", "file with the operators' key")            \
  X (IF_REVISION, "if-revision", "N",                                         \
     "change only if revision N is in force")                                 \
  X (WAIT, "wait", NULL, "wait until the revision is in force everywhere")    \
  X (TIMEOUT_MS, "timeout-ms", "N", "how long to wait (default 30000)")       \
  X (DRY_RUN, "dry-run", NULL, "check the change without making it")          \
  X (WHO, "who", "NAME", "author recorded with the change (default $USER)")   \
  X (OVER, "over", "MODEL@VERSION", "version in service that it replaces")    \
  X (LIMIT, "limit", "N", "how many revisions (default 10)")                  \
  X (DAY, "day", "YYYY-MM-DD", "day of the bill (default today, UTC)")        \
  X (HTML, "html", "FILE", "also write the report to FILE as HTML")           \
  X (MARKDOWN, "markdown", NULL, "print Markdown, as in docs/")               \
  X (JSON, "json", NULL, "write JSON, for programs")                          \
  X (HELP, "help", NULL, "print this help")

typedef enum
{
#define X(symbol, name, value, help) OPTION_##symbol,
  CLI_OPTIONS (X)
#undef X
      OPTION_COUNT
} option_t;

enum
{
  ENTRIES_MAX = 16,
  OPERANDS_MAX = 8
};

typedef struct verb verb_t;

/* The parsed command line and the credentials of one run.  */
typedef struct
{
  const verb_t *verb;
  const char *operands[OPERANDS_MAX];
  int operand_count;
  str_t entries[ENTRIES_MAX];
  int entry_count;
  bool has_option[OPTION_COUNT];
  const char *values[OPTION_COUNT]; /* NULL for flags and absent options.  */
  uint64_t if_revision;
  uint64_t timeout_ms;
  uint64_t revision_limit;
  char *key; /* The operators' key; NULL if none was provided.  */
} cli_t;

struct verb
{
  const char *name;
  const char *operands; /* Operands as the synopsis prints them.  */
  /* Accepted values of the first operand, separated by blanks; "" accepts any
     value.  */
  const char *actions;
  int operand_min;
  int operand_max;
  /* Accepted options; bit N stands for option N of option_t.  */
  uint32_t options;
  /* Run the verb; return the exit code of the program.  */
  cli_exit_code_t (*run) (cli_t *cli);
  const char *help;
  const char *example;
};

/* Return verb number INDEX, or NULL if INDEX is past the last verb.  */
const verb_t *verb_at (size_t index);
/* Return the verb called NAME, or NULL if there is none.  */
const verb_t *verb_find (const char *name);

/* Parse the arguments after the verb into CLI.  Return false with *CODE set
   if the program must exit: after printing help or an error.  */
bool options_parse (cli_t *cli, int argc, char **argv, cli_exit_code_t *code);
/* Print the synopsis, options and example of VERB.  */
void options_print_help (const verb_t *verb);
/* Return the long name of OPTION without the leading dashes.  */
const char *option_name (option_t option);

/* Print the formatted message as one line `vanillahook: MESSAGE' on standard
   error.  */
void cli_print_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

cli_exit_code_t run_check (cli_t *cli);
cli_exit_code_t run_codes (cli_t *cli);
cli_exit_code_t run_explain (cli_t *cli);
cli_exit_code_t run_events (cli_t *cli);
cli_exit_code_t run_completion (cli_t *cli);
cli_exit_code_t run_help (cli_t *cli);
cli_exit_code_t run_show (cli_t *cli);
cli_exit_code_t run_diff (cli_t *cli);
cli_exit_code_t run_history (cli_t *cli);
cli_exit_code_t run_apply (cli_t *cli);
cli_exit_code_t run_zone (cli_t *cli);
cli_exit_code_t run_instance (cli_t *cli);
cli_exit_code_t run_version (cli_t *cli);
cli_exit_code_t run_rollout (cli_t *cli);
cli_exit_code_t run_status (cli_t *cli);
cli_exit_code_t run_report (cli_t *cli);

#endif
