#include "cli/configuration.h"
#include "conf/snapshot.h"

#include <stdio.h>

/* Print the errors of a file as JSON.  */
static void
print_errors_json (const conf_errors_t *errors)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < errors->count; i++)
    {
      const conf_error_t *error = &errors->items[i];
      json_array_append_new (
          list, json_pack ("{s:i, s:s, s:s}", "line", error->line, "message",
                           error->message, "hint",
                           error->hint != NULL ? error->hint : ""));
    }
  json_t *root
      = json_pack ("{s:b, s:o}", "valid", errors->count == 0, "errors", list);
  json_dumpf (root, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (root);
}

static void
print_summary (const char *path, const snapshot_t *snapshot)
{
  size_t teams = 0;
  size_t models = 0;
  size_t versions = 0;
  size_t services = 0;

  while (snapshot_team_at (snapshot, teams) != NULL)
    teams++;
  while (snapshot_model_at (snapshot, models) != NULL)
    models++;
  while (snapshot_version_at (snapshot, versions) != NULL)
    versions++;
  while (snapshot_service_at (snapshot, services) != NULL)
    services++;
  printf ("%s: valid; teams %zu, models %zu, versions %zu, services %zu\n",
          path, teams, models, versions, services);
}

cli_exit_t
run_check (cli_t *cli)
{
  const char *path = cli->operands[0];
  buf_t text = BUF_NULL;
  buf_t printed = BUF_NULL;
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;

  if (conf_read_file (path, &text) != VH_OK)
    conf_errors_add (&errors, 0, "check the path and its permissions",
                     "the file cannot be read");
  else
    snapshot_parse (buf_str (&text), 0, &snapshot, &errors);
  if (cli->given[OPTION_JSON])
    print_errors_json (&errors);
  else if (snapshot != NULL)
    print_summary (path, snapshot);
  else
    {
      conf_errors_print (&errors, "vanillahook", str_from (path), &printed);
      fputs (printed.ptr, stderr);
    }
  cli_exit_t code = snapshot != NULL ? CLI_DONE : CLI_USAGE;
  conf_errors_free (&errors);
  snapshot_unref (snapshot);
  buf_free (&printed);
  buf_free (&text);
  return code;
}

static void
print_codes_markdown (void)
{
  puts ("# Result codes\n\n"
        "Made by `vanillahook codes --markdown` from the table in\n"
        "`packages/base/code.h`; do not edit.  Numbers are never reused:\n"
        "1xx what the caller sent, 2xx who may do what, 3xx load, 4xx\n"
        "upstreams, 5xx state and platform, 6xx between the processes, 7xx\n"
        "operators and settings.\n\n"
        "| code | symbol | type | HTTP | meaning |\n"
        "|---|---|---|---|---|");
  for (size_t i = 0; code_info_at (i) != NULL; i++)
    printf ("| %d | `%s` | `%s` | %d | %s |\n", code_info_at (i)->code,
            code_info_at (i)->symbol, code_info_at (i)->type,
            code_info_at (i)->http_status, code_info_at (i)->sentence);
}

static void
print_codes_json (void)
{
  json_t *list = json_array ();

  for (size_t i = 0; code_info_at (i) != NULL; i++)
    json_array_append_new (list,
                           json_pack ("{s:i, s:s, s:s, s:i, s:s}", "code",
                                      code_info_at (i)->code, "symbol",
                                      code_info_at (i)->symbol, "type",
                                      code_info_at (i)->type, "status",
                                      code_info_at (i)->http_status, "message",
                                      code_info_at (i)->sentence));
  json_dumpf (list, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (list);
}

cli_exit_t
run_codes (cli_t *cli)
{
  if (cli->given[OPTION_MARKDOWN])
    print_codes_markdown ();
  else if (cli->given[OPTION_JSON])
    print_codes_json ();
  else
    for (size_t i = 0; code_info_at (i) != NULL; i++)
      printf ("%3d  %-24s HTTP %d  %s\n", code_info_at (i)->code,
              code_info_at (i)->type, code_info_at (i)->http_status,
              code_info_at (i)->sentence);
  return CLI_DONE;
}

/* Print the options of VERB with blanks between them.  */
static void
print_options (const verb_t *verb)
{
  for (int i = 0; i < OPTION_COUNT; i++)
    if ((verb->options >> i & 1) != 0)
      printf (" --%s", option_name ((option_t)i));
}

cli_exit_t
run_completion (cli_t *cli)
{
  (void)cli;
  puts ("_vanillahook ()\n"
        "{\n"
        "  local word=${COMP_WORDS[COMP_CWORD]} verb=${COMP_WORDS[1]}\n"
        "  local actions='' options='' files=''\n"
        "  COMPREPLY=()\n"
        "  if [ \"$COMP_CWORD\" -eq 1 ]; then");
  printf ("    COMPREPLY=($(compgen -W '");
  for (size_t i = 0; verb_at (i) != NULL; i++)
    printf ("%s ", verb_at (i)->name);
  puts ("--help --version' -- \"$word\"))\n"
        "    return\n"
        "  fi\n"
        "  case $verb in");
  for (size_t i = 0; verb_at (i) != NULL; i++)
    {
      const verb_t *verb = verb_at (i);
      printf ("    %s) actions='%s' options='", verb->name, verb->actions);
      print_options (verb);
      printf ("'%s ;;\n",
              strcmp (verb->operands, "FILE") == 0 ? " files=yes" : "");
    }
  puts ("  esac\n"
        "  case ${COMP_WORDS[COMP_CWORD-1]} in\n"
        "    --key-file|--html) COMPREPLY=($(compgen -f -- \"$word\")); "
        "return ;;\n"
        "  esac\n"
        "  case $word in\n"
        "    -*) COMPREPLY=($(compgen -W \"$options\" -- \"$word\")) ;;\n"
        "    *)\n"
        "      if [ -n \"$files\" ]; then\n"
        "        COMPREPLY=($(compgen -f -- \"$word\"))\n"
        "      elif [ \"$COMP_CWORD\" -eq 2 ]; then\n"
        "        COMPREPLY=($(compgen -W \"$actions\" -- \"$word\"))\n"
        "      fi ;;\n"
        "  esac\n"
        "}\n"
        "complete -F _vanillahook vanillahook");
  return CLI_DONE;
}
