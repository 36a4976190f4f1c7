/* A request's story out of the log lines of any processes.  */

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
  /* Changes of belief are told from so long before the first line of the
     request to its last.  */
  BEFORE_MS = 10000,
  MS_PER_S = 1000
};

typedef struct
{
  str_t key;
  str_t value;
} pair_t;

/* One line that concerns the request or what its entry believed.  */
typedef struct
{
  char *text;
  pair_t pairs[FIELDS_MAX];
  size_t pair_count;
  const log_event_info_t *info;
  uint64_t at_ms;
  size_t order; /* As read; of lines of one moment the earlier is first.  */
} entry_t;

typedef struct
{
  entry_t *items;
  size_t count;
  size_t read;
} entries_t;

static str_t
entry_get (const entry_t *entry, const char *key)
{
  for (size_t i = 0; i < entry->pair_count; i++)
    if (str_eq (entry->pairs[i].key, str_from (key)))
      return entry->pairs[i].value;
  return STR_NULL;
}

/* Cut one KEY=VALUE off *REST; the value may be quoted.  */
static bool
next_pair (str_t *rest, pair_t *pair)
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
  str_t own;
  str_t part = str_cut (name, '.', &own);

  for (int i = 0; i < LOG_EVENT_COUNT; i++)
    {
      const log_event_info_t *info = log_event_info ((log_event_t)i);
      if (str_eq (part, str_from (info->part))
          && str_eq (own, str_from (info->name)))
        return info;
    }
  return NULL;
}

/* Read the seconds of TEXT as milliseconds.  */
static uint64_t
read_time (str_t text)
{
  double seconds;

  return str_to_double (text, &seconds) ? (uint64_t)(seconds * MS_PER_S) : 0;
}

/* Take LINE apart.  Return false when it is no line of the log.  */
static bool
entry_parse (entry_t *entry, const char *line)
{
  const char *start = strstr (line, "event=");
  str_t rest;

  if (start == NULL)
    return false;
  entry->text = str_dup (str_trim (str_from (start)));
  rest = str_from (entry->text);
  entry->pair_count = 0;
  while (entry->pair_count < FIELDS_MAX
         && next_pair (&rest, &entry->pairs[entry->pair_count]))
    entry->pair_count++;
  entry->info = find_event (entry_get (entry, "event"));
  entry->at_ms = read_time (entry_get (entry, "at"));
  if (entry->info != NULL)
    return true;
  free (entry->text);
  return false;
}

/* Keep the lines of FILE that name the request ID or tell of a change.  */
static void
read_file (entries_t *entries, FILE *file, str_t id)
{
  char line[LINE_BYTES_MAX];

  while (fgets (line, sizeof line, file) != NULL)
    {
      entry_t entry = { .order = entries->read++ };
      if (!entry_parse (&entry, line))
        continue;
      bool own = str_eq (entry_get (&entry, "id"), id);
      if (!own && (entry_get (&entry, "id").ptr != NULL))
        {
          free (entry.text);
          continue;
        }
      entries->items = mem_realloc (
          entries->items, (entries->count + 1) * sizeof *entries->items);
      entries->items[entries->count++] = entry;
    }
}

static int
compare_entries (const void *a, const void *b)
{
  const entry_t *one = a;
  const entry_t *other = b;

  if (one->at_ms != other->at_ms)
    return one->at_ms < other->at_ms ? -1 : 1;
  return one->order < other->order ? -1 : one->order > other->order;
}

/* Tell whether a line of the request names UPSTREAM.  */
static bool
is_used (const entries_t *entries, str_t upstream)
{
  for (size_t i = 0; i < entries->count; i++)
    if (entry_get (&entries->items[i], "id").ptr != NULL
        && str_eq (entry_get (&entries->items[i], "upstream"), upstream))
      return true;
  return false;
}

/* What must hold for a line without the request's id to belong to its story:
   it is of an entry that handled it, shortly before or meanwhile, and not of
   an instance that had no part in it.  */
static bool
belongs (const entries_t *entries, const entry_t *entry, uint64_t first_ms,
         uint64_t last_ms)
{
  str_t by = entry_get (entry, "by");

  str_t upstream = entry_get (entry, "upstream");

  if (entry->at_ms + BEFORE_MS < first_ms || entry->at_ms > last_ms
      || strcmp (entry->info->part, "log") == 0)
    return false;
  if (upstream.ptr != NULL && !is_used (entries, upstream))
    return false;
  for (size_t i = 0; i < entries->count; i++)
    if (entry_get (&entries->items[i], "id").ptr != NULL
        && str_eq (entry_get (&entries->items[i], "by"), by))
      return true;
  return false;
}

static void
print_entry (const entry_t *entry, uint64_t first_ms)
{
  long long offset_ms = (long long)entry->at_ms - (long long)first_ms;

  printf ("%+9lld ms  %-16.*s %s:", offset_ms,
          STR_ARG (entry_get (entry, "by")), entry->info->sentence);
  for (size_t i = 0; i < entry->pair_count; i++)
    {
      str_t key = entry->pairs[i].key;
      if (!str_eq (key, STR ("event")) && !str_eq (key, STR ("at"))
          && !str_eq (key, STR ("by")) && !str_eq (key, STR ("id")))
        printf (" %.*s=%.*s", STR_ARG (key), STR_ARG (entry->pairs[i].value));
    }
  putchar ('\n');
}

static bool
is_end (const entry_t *entry)
{
  static const char *const ends[]
      = { "answered", "failure-passed", "refused", "failed", "cut", "left" };

  for (size_t i = 0; i < sizeof ends / sizeof ends[0]; i++)
    if (strcmp (entry->info->part, "request") == 0
        && strcmp (entry->info->name, ends[i]) == 0)
      return true;
  return false;
}

/* Print the cause that the last line of the request names.  */
static void
print_cause (const entry_t *end, bool json)
{
  str_t reason = end != NULL ? entry_get (end, "reason") : STR ("");
  const char *cause = log_reason_meaning (reason);
  const char *how = end != NULL ? end->info->sentence
                                : "The lines end before the request does";

  if (cause == NULL)
    cause = end != NULL && strcmp (end->info->name, "answered") == 0
                ? "Nothing went wrong."
                : "No cause is named.";
  if (json)
    {
      json_t *root = json_pack ("{s:s, s:s%, s:s}", "end", how, "reason",
                                reason.ptr, reason.len, "cause", cause);
      json_dumpf (root, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (root);
      return;
    }
  printf ("Cause: %s", how);
  if (reason.len > 0 && !str_eq (reason, STR ("-")))
    printf (" (%.*s)", STR_ARG (reason));
  printf (".  %s\n", cause);
}

/* Tell the story in ENTRIES.  Return false when they hold none.  */
static bool
tell (const entries_t *entries, bool json)
{
  const entry_t *first = NULL;
  const entry_t *last = NULL;
  const entry_t *end = NULL;

  for (size_t i = 0; i < entries->count; i++)
    {
      const entry_t *entry = &entries->items[i];
      if (entry_get (entry, "id").ptr == NULL)
        continue;
      first = first != NULL ? first : entry;
      last = entry;
      if (is_end (entry))
        end = entry;
    }
  if (first == NULL)
    return false;
  for (size_t i = 0; i < entries->count && !json; i++)
    {
      const entry_t *entry = &entries->items[i];
      if (entry_get (entry, "id").ptr != NULL
          || belongs (entries, entry, first->at_ms, last->at_ms))
        print_entry (entry, first->at_ms);
    }
  print_cause (end, json);
  return true;
}

cli_exit_t
run_explain (cli_t *cli)
{
  entries_t entries = { 0 };
  cli_exit_t code = CLI_DONE;

  if (cli->operand_count == 1)
    read_file (&entries, stdin, str_from (cli->operands[0]));
  for (int i = 1; i < cli->operand_count; i++)
    {
      FILE *file = fopen (cli->operands[i], "r");
      if (file == NULL)
        {
          cli_complain ("%s: cannot be read", cli->operands[i]);
          code = CLI_USAGE;
          goto done;
        }
      read_file (&entries, file, str_from (cli->operands[0]));
      fclose (file);
    }
  if (entries.count > 0)
    qsort (entries.items, entries.count, sizeof *entries.items,
           compare_entries);
  if (!tell (&entries, cli->given[OPTION_JSON]))
    {
      cli_complain ("no line names the request %s", cli->operands[0]);
      code = CLI_REFUSED;
    }
done:
  for (size_t i = 0; i < entries.count; i++)
    free (entries.items[i].text);
  free (entries.items);
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
              (int)info->level, info->budget, info->sentence);
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

cli_exit_t
run_events (cli_t *cli)
{
  if (cli->given[OPTION_MARKDOWN])
    {
      print_events_markdown ();
      return CLI_DONE;
    }
  for (int i = 0; i < LOG_EVENT_COUNT; i++)
    {
      const log_event_info_t *info = log_event_info ((log_event_t)i);
      printf ("%d  %s.%-16s %s\n", (int)info->level, info->part, info->name,
              info->sentence);
    }
  return CLI_DONE;
}
