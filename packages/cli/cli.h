/* The operators' command line: what its verbs share.  */

#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "base/code.h"
#include "base/str.h"

/* X (symbol, number, sentence): how the program ends.  */
#define CLI_EXITS(X)                                                          \
  X (CLI_DONE, 0, "done")                                                     \
  X (CLI_REFUSED, 1, "refused; nothing changed")                              \
  X (CLI_USAGE, 2, "wrong command line, or a file with errors")               \
  X (CLI_RACE, 3, "another change came first; nothing changed")               \
  X (CLI_UNREACHABLE, 4, "no entry can be reached")                           \
  X (CLI_KEY, 5, "the operators' key is missing or wrong")                    \
  X (CLI_LATE, 6, "accepted, but not in force everywhere in time")

typedef enum
{
#define X(symbol, number, sentence) symbol = (number),
  CLI_EXITS (X)
#undef X
} cli_exit_t;

/* X (symbol, long name, value or NULL for a flag, help).  */
#define CLI_OPTIONS(X)                                                        \
  X (ENTRY, "entry", "HOST:PORT",                                             \
     "operators' port of an entry; may be given several times")               \
  X (KEY_FILE, "key-file", "FILE", "file with the operators' key")            \
  X (IF_REVISION, "if-revision", "N",                                         \
     "change only if revision N is in force")                                 \
  X (WAIT, "wait", NULL, "wait until the revision is in force everywhere")    \
  X (TIMEOUT_MS, "timeout-ms", "N", "how long to wait (default 30000)")       \
  X (DRY_RUN, "dry-run", NULL, "have the change checked, but not made")       \
  X (WHO, "who", "NAME", "who makes the change (default $USER)")              \
  X (OVER, "over", "MODEL@VERSION", "version in service that it replaces")    \
  X (LIMIT, "limit", "N", "how many revisions (default 10)")                  \
  X (DAY, "day", "YYYY-MM-DD", "day of the bill (default today, UTC)")        \
  X (HTML, "html", "FILE", "write the report as a page too")                  \
  X (MARKDOWN, "markdown", NULL, "write the page of docs/")                   \
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

/* One run of the program.  */
typedef struct
{
  const verb_t *verb;
  const char *operands[OPERANDS_MAX];
  int operand_count;
  str_t entries[ENTRIES_MAX];
  int entry_count;
  bool given[OPTION_COUNT];
  const char *values[OPTION_COUNT];
  uint64_t if_revision;
  uint64_t timeout_ms;
  uint64_t limit;
  char *key; /* The operators' key; NULL: none.  */
} cli_t;

struct verb
{
  const char *name;
  const char *operands; /* As in the synopsis.  */
  const char *actions;  /* First operand, blanks between; "" when free.  */
  int operand_min;
  int operand_max;
  uint32_t options; /* Bits of option_t.  */
  cli_exit_t (*run) (cli_t *cli);
  const char *help;
  const char *example;
};

/* Return verb INDEX, or NULL past the end.  */
const verb_t *verb_at (size_t index);
const verb_t *verb_find (const char *name);

/* Parse what follows VERB into CLI.  Return false with *CODE set when the
   program is to end: after --help, or with a complaint.  */
bool options_parse (cli_t *cli, int argc, char **argv, cli_exit_t *code);
/* Print the synopsis, options and example of VERB.  */
void options_help (const verb_t *verb);
/* Long name of OPTION.  */
const char *option_name (option_t option);

/* Print one line `vanillahook: MESSAGE' on standard error.  */
void cli_complain (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

cli_exit_t run_check (cli_t *cli);
cli_exit_t run_codes (cli_t *cli);
cli_exit_t run_explain (cli_t *cli);
cli_exit_t run_events (cli_t *cli);
cli_exit_t run_completion (cli_t *cli);
cli_exit_t run_help (cli_t *cli);
cli_exit_t run_show (cli_t *cli);
cli_exit_t run_diff (cli_t *cli);
cli_exit_t run_history (cli_t *cli);
cli_exit_t run_apply (cli_t *cli);
cli_exit_t run_zone (cli_t *cli);
cli_exit_t run_instance (cli_t *cli);
cli_exit_t run_version (cli_t *cli);
cli_exit_t run_rollout (cli_t *cli);
cli_exit_t run_status (cli_t *cli);
cli_exit_t run_report (cli_t *cli);

#endif
