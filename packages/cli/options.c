#include "base/mem.h"
#include "cli/cli.h"
#include "conf/schema.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  WAIT_TIMEOUT_DEFAULT_MS = 30000,
  WAIT_TIMEOUT_MAX_MS = 3600000,
  HISTORY_LIMIT_DEFAULT = 10,
  HISTORY_LIMIT_MAX = 1000,
  KEY_BYTES_MAX = 4096,
  PARSE_ERRORS_MAX = 4
};

static const char *const option_names[] = {
#define X(symbol, name, value, help) name,
  CLI_OPTIONS (X)
#undef X
};

static const char *const option_value_names[] = {
#define X(symbol, name, value, help) value,
  CLI_OPTIONS (X)
#undef X
};

static const char *const option_help_texts[] = {
#define X(symbol, name, value, help) help,
  CLI_OPTIONS (X)
#undef X
};

const char *
option_name (option_t option)
{
  return option_names[option];
}

/* Argtable parser for the options and operands of one verb.  */
typedef struct
{
  void *table[OPTION_COUNT + 2]; /* Options, operands, end marker.  */
  int count;
  option_t options[OPTION_COUNT];
  int option_count;
  struct arg_str *operands;
  struct arg_end *end;
} parser_t;

/* Set up the parser of VERB; release it with parser_free.  */
static void
parser_init (parser_t *parser, const verb_t *verb)
{
  memset (parser, 0, sizeof *parser);
  for (int i = 0; i < OPTION_COUNT; i++)
    {
      if ((verb->options >> i & 1) == 0)
        continue;
      parser->options[parser->option_count++] = (option_t)i;
      if (option_value_names[i] == NULL)
        parser->table[parser->count++]
            = arg_lit0 (NULL, option_names[i], option_help_texts[i]);
      else
        parser->table[parser->count++] = arg_strn (
            NULL, option_names[i], option_value_names[i], 0,
            i == OPTION_ENTRY ? ENTRIES_MAX : 1, option_help_texts[i]);
    }
  parser->operands = arg_strn (NULL, NULL, "", 0, OPERANDS_MAX, NULL);
  parser->table[parser->count++] = parser->operands;
  parser->end = arg_end (PARSE_ERRORS_MAX);
  parser->table[parser->count++] = parser->end;
  if (arg_nullcheck (parser->table) != 0)
    abort ();
}

static void
parser_free (parser_t *parser)
{
  arg_freetable (parser->table, (size_t)parser->count);
}

void
options_print_help (const verb_t *verb)
{
  printf ("Usage: vanillahook %s%s%s [OPTION...]\n\n%s\n\nOptions:\n",
          verb->name, verb->operands[0] != '\0' ? " " : "", verb->operands,
          verb->help);
  for (int i = 0; i < OPTION_COUNT; i++)
    {
      char name[64];
      if ((verb->options >> i & 1) == 0)
        continue;
      snprintf (name, sizeof name, "--%s%s%s", option_names[i],
                option_value_names[i] != NULL ? "=" : "",
                option_value_names[i] != NULL ? option_value_names[i] : "");
      printf ("  %-22s %s\n", name, option_help_texts[i]);
    }
  printf ("\nExample:\n  %s\n", verb->example);
}

/* Print the first error that argtable found.  */
static void
print_first_error (const parser_t *parser, const verb_t *verb)
{
  char *text = NULL;
  size_t size = 0;
  FILE *memory = open_memstream (&text, &size);

  if (memory == NULL)
    abort ();
  arg_print_errors (memory, parser->end, "vanillahook");
  fclose (memory);
  fprintf (stderr, "%.*s (see `vanillahook %s --help')\n",
           (int)strcspn (text, "\n"), text, verb->name);
  free (text);
}

/* Return whether NAME is one of the actions of VERB.  */
static bool
is_action (const verb_t *verb, const char *name)
{
  str_t rest = str_from (verb->actions);

  while (rest.ptr != NULL)
    if (str_eq (str_cut (rest, ' ', &rest), str_from (name)))
      return true;
  return false;
}

static bool
check_operands (const cli_t *cli)
{
  const verb_t *verb = cli->verb;

  if (cli->operand_count < verb->operand_min
      || cli->operand_count > verb->operand_max)
    {
      cli_print_error ("%s operands; write `vanillahook %s%s%s' (see "
                       "`vanillahook %s --help')",
                       cli->operand_count < verb->operand_min ? "too few"
                                                              : "too many",
                       verb->name, verb->operands[0] != '\0' ? " " : "",
                       verb->operands, verb->name);
      return false;
    }
  if (verb->actions[0] != '\0' && !is_action (verb, cli->operands[0]))
    {
      cli_print_error ("`%s %s' is not known; write `vanillahook %s %s'",
                       verb->name, cli->operands[0], verb->name,
                       verb->operands);
      return false;
    }
  for (int i = 0; i < cli->operand_count; i++)
    if (cli->operands[i][0] == '\0')
      {
        cli_print_error ("an operand is empty; write `vanillahook %s %s'",
                         verb->name, verb->operands);
        return false;
      }
  return true;
}

/* Add ADDRESS, which must outlive CLI, to the entries.  Return false after
   printing an error.  */
static bool
add_entry (cli_t *cli, str_t address)
{
  if (!schema_is_valid_address (address))
    {
      cli_print_error ("the entry `%.*s' is not HOST:PORT by IP number",
                       STR_ARG (address));
      return false;
    }
  if (cli->entry_count == ENTRIES_MAX)
    {
      cli_print_error ("more than %d entries are given", ENTRIES_MAX);
      return false;
    }
  cli->entries[cli->entry_count++] = address;
  return true;
}

/* Add the entries of VANILLAHOOK_ENTRY, or the default entry if the variable
   is unset or empty.  Return false after printing an error.  */
static bool
add_default_entries (cli_t *cli)
{
  const char *environment = getenv ("VANILLAHOOK_ENTRY");
  str_t rest = str_from (environment);

  if (environment == NULL || environment[0] == '\0')
    return add_entry (cli, STR ("127.0.0.1:9100"));
  while (rest.ptr != NULL)
    if (!add_entry (cli, str_trim (str_cut (rest, ',', &rest))))
      return false;
  return true;
}

/* Read the operators' key from the first line of the file PATH.  Return false
   after printing an error.  */
static bool
read_key_file (cli_t *cli, const char *path)
{
  char line[KEY_BYTES_MAX];
  FILE *file = fopen (path, "re");
  bool read = file != NULL && fgets (line, sizeof line, file) != NULL;

  if (file != NULL)
    fclose (file);
  str_t key = read ? str_trim (str_from (line)) : STR_NULL;
  if (key.len == 0)
    {
      cli_print_error ("%s: the key file cannot be read or is empty", path);
      return false;
    }
  cli->key = str_dup (key);
  explicit_bzero (line, sizeof line);
  return true;
}

/* Load the operators' key from --key-file or VANILLAHOOK_KEY, if either is
   present.  Return false after printing an error.  */
static bool
load_key (cli_t *cli)
{
  const char *environment = getenv ("VANILLAHOOK_KEY");

  if (cli->has_option[OPTION_KEY_FILE])
    return read_key_file (cli, cli->values[OPTION_KEY_FILE]);
  if (environment != NULL && environment[0] != '\0')
    cli->key = str_dup (str_from (environment));
  return true;
}

/* Parse the value of OPTION, if present, as a number up to MAX into *VALUE.
   Return false after printing an error.  */
static bool
parse_number_option (const cli_t *cli, option_t option, uint64_t max,
                     uint64_t *value)
{
  if (!cli->has_option[option])
    return true;
  if (str_to_u64 (str_from (cli->values[option]), value) && *value <= max)
    return true;
  cli_print_error ("--%s cannot be `%s' (a whole number up to %llu)",
                   option_names[option], cli->values[option],
                   (unsigned long long)max);
  return false;
}

/* Copy the parsed options and operands to CLI.  The strings still point into
   argv.  */
static bool
copy_values (cli_t *cli, const parser_t *parser)
{
  for (int i = 0; i < parser->option_count; i++)
    {
      option_t option = parser->options[i];
      if (option_value_names[option] == NULL)
        {
          const struct arg_lit *flag = parser->table[i];
          cli->has_option[option] = flag->count > 0;
          continue;
        }
      const struct arg_str *value = parser->table[i];
      cli->has_option[option] = value->count > 0;
      if (value->count > 0)
        cli->values[option] = value->sval[0];
      for (int k = 0; option == OPTION_ENTRY && k < value->count; k++)
        if (!add_entry (cli, str_from (value->sval[k])))
          return false;
    }
  cli->operand_count = parser->operands->count;
  for (int i = 0; i < cli->operand_count; i++)
    cli->operands[i] = parser->operands->sval[i];
  return true;
}

bool
options_parse (cli_t *cli, int argc, char **argv, cli_exit_code_t *code)
{
  parser_t parser;
  bool is_valid = false;

  *code = CLI_USAGE_ERROR;
  cli->timeout_ms = WAIT_TIMEOUT_DEFAULT_MS;
  cli->revision_limit = HISTORY_LIMIT_DEFAULT;
  parser_init (&parser, cli->verb);
  int errors = arg_parse (argc, argv, parser.table);
  if (!copy_values (cli, &parser))
    goto free_parser;
  if (cli->has_option[OPTION_HELP])
    {
      options_print_help (cli->verb);
      *code = CLI_OK;
      goto free_parser;
    }
  if (errors > 0)
    {
      print_first_error (&parser, cli->verb);
      goto free_parser;
    }
  if (!check_operands (cli))
    goto free_parser;
  is_valid = parse_number_option (cli, OPTION_IF_REVISION, UINT64_MAX,
                                  &cli->if_revision)
             && parse_number_option (cli, OPTION_TIMEOUT_MS,
                                     WAIT_TIMEOUT_MAX_MS, &cli->timeout_ms)
             && parse_number_option (cli, OPTION_LIMIT, HISTORY_LIMIT_MAX,
                                     &cli->revision_limit);
  if (is_valid && (cli->verb->options >> OPTION_ENTRY & 1) != 0)
    is_valid = (cli->entry_count > 0 || add_default_entries (cli))
               && load_key (cli);

free_parser:
  parser_free (&parser);
  return is_valid;
}
