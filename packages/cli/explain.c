/* Explains the course of one request from the log lines of the processes that
   handled it.  */

#include "base/eventlog.h"
#include "base/mem.h"
#include "cli/cli.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  LINE_BYTES_MAX = 8192,
  FIELDS_MAX = 48,
  /* Lines about state changes, such as health, are included from this time
     before the request's first line until its last line.  */
  CONTEXT_BEFORE_MS = 10000,
  MS_PER_S = 1000
};

typedef struct
{
  str_t key;
  str_t value;
} log_pair_t;

/* A parsed log line about the request or about a state change.  */
typedef struct
{
  char *text;
  log_pair_t pairs[FIELDS_MAX];
  size_t pair_count;
  const log_event_info_t *info;
  uint64_t time_ms;
  /* Position in the input; orders lines of equal time.  */
  size_t input_position;
} log_record_t;

typedef struct
{
  log_record_t *items;
  size_t count;
  size_t line_count;
} log_records_t;

static str_t
record_get (const log_record_t *record, const char *key)
{
  for (size_t i = 0; i < record->pair_count; i++)
    if (str_eq (record->pairs[i].key, str_from (key)))
      return record->pairs[i].value;
  return STR_NULL;
}

/* Parse the next KEY=VALUE of *REST into PAIR and advance *REST; the value may
   be quoted.  Return false at the end or on a syntax error.  */
static bool
next_pair (str_t *rest, log_pair_t *pair)
{
  *rest = str_trim (*rest);
  if (rest->len == 0)
    return false;
  str_t after;
  pair->key = str_cut (*rest, '=', &after);
  if (after.ptr == NULL)
    return false;
  if (after.len == 0 || after.ptr[0] != '"')
    {
      pair->value = str_cut (after, ' ', rest);
      if (rest->ptr == NULL)
        *rest = STR ("");
      return true;
    }
  size_t end = 1;
  while (end < after.len && after.ptr[end] != '"')
    end += after.ptr[end] == '\\' ? 2 : 1;
  if (end >= after.len)
    return false;
  pair->value = str_make (after.ptr + 1, end - 1);
  *rest = str_make (after.ptr + end + 1, after.len - end - 1);
  return true;
}

static const log_event_info_t *
find_event (str_t name)
{
  str_t event_name;
  str_t part = str_cut (name, '.', &event_name);

  for (int i = 0; i < LOG_EVENT_COUNT; i++)
    {
      const log_event_info_t *info = log_event_info ((log_event_t)i);
      if (str_eq (part, str_from (info->part))
          && str_eq (event_name, str_from (info->name)))
        return info;
    }
  return NULL;
}

/* Return the time TEXT, in seconds, in milliseconds; 0 if invalid.  */
static uint64_t
parse_time_ms (str_t text)
{
  double seconds;

  return str_to_double (text, &seconds) ? (uint64_t)(seconds * MS_PER_S) : 0;
}

/* Parse LINE into RECORD, which then owns a copy of the text.  Return false if
   LINE is not a log line with a known event.  */
static bool
record_parse (log_record_t *record, const char *line)
{
  const char *start = strstr (line, "event=");
  str_t rest;

  if (start == NULL)
    return false;
  record->text = str_dup (str_trim (str_from (start)));
  rest = str_from (record->text);
  record->pair_count = 0;
  while (record->pair_count < FIELDS_MAX
         && next_pair (&rest, &record->pairs[record->pair_count]))
    record->pair_count++;
  record->info = find_event (record_get (record, "event"));
  record->time_ms = parse_time_ms (record_get (record, "at"));
  if (record->info != NULL)
    return true;
  free (record->text);
  return false;
}

/* Append the lines of FILE that name the request ID, and those that name no
   request.  */
static void
read_file (log_records_t *records, FILE *file, str_t id)
{
  char line[LINE_BYTES_MAX];

  while (fgets (line, sizeof line, file) != NULL)
    {
      log_record_t record = { .input_position = records->line_count++ };
      if (!record_parse (&record, line))
        continue;
      bool names_request = str_eq (record_get (&record, "id"), id);
      if (!names_request && (record_get (&record, "id").ptr != NULL))
        {
          free (record.text);
          continue;
        }
      records->items = mem_realloc (
          records->items, (records->count + 1) * sizeof *records->items);
      records->items[records->count++] = record;
    }
}

static int
compare_records (const void *a, const void *b)
{
  const log_record_t *left = a;
  const log_record_t *right = b;

  if (left->time_ms != right->time_ms)
    return left->time_ms < right->time_ms ? -1 : 1;
  return left->input_position < right->input_position
             ? -1
             : left->input_position > right->input_position;
}

/* Return whether a line of the request names UPSTREAM.  */
static bool
is_upstream_used (const log_records_t *records, str_t upstream)
{
  for (size_t i = 0; i < records->count; i++)
    if (record_get (&records->items[i], "id").ptr != NULL
        && str_eq (record_get (&records->items[i], "upstream"), upstream))
      return true;
  return false;
}

/* Return whether a line without a request ID is relevant to the request: a
   process that handled the request logged it shortly before or during the
   request, and it does not concern an upstream that the request did not
   use.  */
static bool
is_relevant (const log_records_t *records, const log_record_t *record,
             uint64_t first_ms, uint64_t last_ms)
{
  str_t process_name = record_get (record, "by");
  str_t upstream = record_get (record, "upstream");

  if (record->time_ms + CONTEXT_BEFORE_MS < first_ms
      || record->time_ms > last_ms || strcmp (record->info->part, "log") == 0)
    return false;
  if (upstream.ptr != NULL && !is_upstream_used (records, upstream))
    return false;
  for (size_t i = 0; i < records->count; i++)
    if (record_get (&records->items[i], "id").ptr != NULL
        && str_eq (record_get (&records->items[i], "by"), process_name))
      return true;
  return false;
}

static void
print_record (const log_record_t *record, uint64_t first_ms)
{
  long long offset_ms = (long long)record->time_ms - (long long)first_ms;

  printf ("%+9lld ms  %-16.*s %s:", offset_ms,
          STR_ARG (record_get (record, "by")), record->info->sentence);
  for (size_t i = 0; i < record->pair_count; i++)
    {
      str_t key = record->pairs[i].key;
      if (!str_eq (key, STR ("event")) && !str_eq (key, STR ("at"))
          && !str_eq (key, STR ("by")) && !str_eq (key, STR ("id")))
        printf (" %.*s=%.*s", STR_ARG (key), STR_ARG (record->pairs[i].value));
    }
  putchar ('\n');
}

static bool
is_final_event (const log_record_t *record)
{
  static const char *const final_events[]
      = { "answered", "failure-passed", "refused", "failed", "cut", "left" };

  for (size_t i = 0; i < sizeof final_events / sizeof final_events[0]; i++)
    if (strcmp (record->info->part, "request") == 0
        && strcmp (record->info->name, final_events[i]) == 0)
      return true;
  return false;
}

/* Print the cause that END, the final event of the request, names.  END is
   NULL if the log ends before the request.  */
static void
print_cause (const log_record_t *end, bool json)
{
  str_t reason = end != NULL ? record_get (end, "reason") : STR ("");
  const char *cause = log_reason_meaning (reason);
  const char *outcome = end != NULL ? end->info->sentence
                                    : "The lines end before the request does";

  if (cause == NULL)
    cause = end != NULL && strcmp (end->info->name, "answered") == 0
                ? "Nothing went wrong."
                : "No cause is named.";
  if (json)
    {
      json_t *root = json_pack ("{s:s, s:s%, s:s}", "end", outcome, "reason",
                                reason.ptr, reason.len, "cause", cause);
      json_dumpf (root, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (root);
      return;
    }
  printf ("Cause: %s", outcome);
  if (reason.len > 0 && !str_eq (reason, STR ("-")))
    printf (" (%.*s)", STR_ARG (reason));
  printf (".  %s\n", cause);
}

/* Print the lines and the cause of the request.  Return false if no line of
   RECORDS names the request.  */
static bool
print_explanation (const log_records_t *records, bool json)
{
  const log_record_t *first = NULL;
  const log_record_t *last = NULL;
  const log_record_t *end = NULL;

  for (size_t i = 0; i < records->count; i++)
    {
      const log_record_t *record = &records->items[i];
      if (record_get (record, "id").ptr == NULL)
        continue;
      first = first != NULL ? first : record;
      last = record;
      if (is_final_event (record))
        end = record;
    }
  if (first == NULL)
    return false;
  for (size_t i = 0; i < records->count && !json; i++)
    {
      const log_record_t *record = &records->items[i];
      if (record_get (record, "id").ptr != NULL
          || is_relevant (records, record, first->time_ms, last->time_ms))
        print_record (record, first->time_ms);
    }
  print_cause (end, json);
  return true;
}

cli_exit_code_t
run_explain (cli_t *cli)
{
  log_records_t records = { 0 };
  cli_exit_code_t code = CLI_OK;

  if (cli->operand_count == 1)
    read_file (&records, stdin, str_from (cli->operands[0]));
  for (int i = 1; i < cli->operand_count; i++)
    {
      FILE *file = fopen (cli->operands[i], "r");
      if (file == NULL)
        {
          cli_print_error ("%s: the log file cannot be read",
                           cli->operands[i]);
          code = CLI_USAGE_ERROR;
          goto done;
        }
      read_file (&records, file, str_from (cli->operands[0]));
      fclose (file);
    }
  if (records.count > 0)
    qsort (records.items, records.count, sizeof *records.items,
           compare_records);
  if (!print_explanation (&records, cli->has_option[OPTION_JSON]))
    {
      cli_print_error ("no line names the request %s", cli->operands[0]);
      code = CLI_REFUSED;
    }
done:
  for (size_t i = 0; i < records.count; i++)
    free (records.items[i].text);
  free (records.items);
  return code;
}

static void
print_events_markdown (void)
{
  puts ("# Log lines\n\n"
        "Made by `vanillahook events --markdown` from the tables in\n"
        "`packages/base/eventlog.h`.  A line is\n"
        "`<LEVEL>PART: SENTENCE. event=PART.NAME at=SECONDS by=PROCESS "
        "KEY=VALUE...`,\n"
        "with a value in quotes where it holds a blank, a quote or `=`.\n\n"
        "## Events\n\n"
        "| event | level | lines a second at most | sentence |\n"
        "|---|---|---|---|");
  for (int i = 0; i < LOG_EVENT_COUNT; i++)
    {
      const log_event_info_t *info = log_event_info ((log_event_t)i);
      printf ("| `%s.%s` | %d | %u | %s |\n", info->part, info->name,
              (int)info->level, info->lines_per_s_max, info->sentence);
    }
  puts ("\n## Fields\n\n| field | meaning |\n|---|---|");
  for (int i = 0; i < LOG_FIELD_COUNT; i++)
    printf ("| `%s` | %s |\n", log_field_key ((log_field_name_t)i),
            log_field_meaning ((log_field_name_t)i));
  puts ("\n## Causes\n\nValues of the field `reason`.\n\n"
        "| reason | meaning |\n|---|---|");
#define X(reason, meaning) printf ("| `%s` | %s |\n", reason, meaning);
  LOG_CAUSES (X)
#undef X
}

cli_exit_code_t
run_events (cli_t *cli)
{
  if (cli->has_option[OPTION_MARKDOWN])
    {
      print_events_markdown ();
      return CLI_OK;
    }
  for (int i = 0; i < LOG_EVENT_COUNT; i++)
    {
      const log_event_info_t *info = log_event_info ((log_event_t)i);
      printf ("%d  %s.%-16s %s\n", (int)info->level, info->part, info->name,
              info->sentence);
    }
  return CLI_OK;
}
