#include "cli/client.h"
#include "cli/table.h"

#include <stdio.h>
#include <time.h>

enum
{
  DAY_BYTES = 16
};

/* Write today's date in UTC as YYYY-MM-DD.  */
static void
write_today (char *date, size_t size)
{
  time_t now = time (NULL);
  struct tm utc;

  gmtime_r (&now, &utc);
  strftime (date, size, "%Y-%m-%d", &utc);
}

/* Return whether DATE is a date of the form YYYY-MM-DD.  */
static bool
is_valid_date (const char *date)
{
  struct tm parsed = { 0 };
  const char *end = strptime (date, "%Y-%m-%d", &parsed);

  return strlen (date) == 10 && end != NULL && *end == '\0';
}

static void
print_bill (const json_t *rows, const char *date)
{
  const json_t *row;
  size_t index;
  table_t table;
  uint64_t requests = 0;
  uint64_t tokens = 0;
  double cost = 0;

  table_init (&table, 6);
  table_add_cell (&table, "TEAM");
  table_add_cell (&table, "MODEL");
  table_add_cell (&table, "VERSION");
  table_add_cell (&table, "REQUESTS");
  table_add_cell (&table, "TOKENS");
  table_add_cell (&table, "COST");
  json_array_foreach (rows, index, row)
  {
    table_add_cell (&table, "%.*s", STR_ARG (json_str (row, "team")));
    table_add_cell (&table, "%.*s", STR_ARG (json_str (row, "model")));
    table_add_cell (&table, "%.*s", STR_ARG (json_str (row, "version")));
    table_add_cell (&table, "%llu",
                    (unsigned long long)json_u64 (row, "requests"));
    table_add_cell (&table, "%llu",
                    (unsigned long long)json_u64 (row, "tokens"));
    table_add_cell (&table, "%.3f", json_double (row, "cost"));
    requests += json_u64 (row, "requests");
    tokens += json_u64 (row, "tokens");
    cost += json_double (row, "cost");
  }
  table_add_cell (&table, "total");
  table_add_cell (&table, "-");
  table_add_cell (&table, "-");
  table_add_cell (&table, "%llu", (unsigned long long)requests);
  table_add_cell (&table, "%llu", (unsigned long long)tokens);
  table_add_cell (&table, "%.3f", cost);
  printf ("bill of %s\n\n", date);
  table_print (&table);
  table_free (&table);
}

static cli_exit_code_t
run_bill (cli_t *cli)
{
  char today[DAY_BYTES];
  const char *date = cli->values[OPTION_DAY];
  buf_t path = BUF_NULL;
  reply_t reply;

  write_today (today, sizeof today);
  if (date == NULL)
    date = today;
  if (!is_valid_date (date))
    {
      cli_print_error ("--day cannot be `%s' (write YYYY-MM-DD)", date);
      return CLI_USAGE_ERROR;
    }
  client_t *client = client_create (cli);
  buf_printf (&path, "/admin/report/bill?day=%s", date);
  cli_exit_code_t code = client_get (client, path.ptr, &reply);
  if (code == CLI_OK && cli->has_option[OPTION_JSON])
    reply_print (&reply);
  else if (code == CLI_OK)
    print_bill (reply.json, date);
  reply_free (&reply);
  client_destroy (client);
  buf_free (&path);
  return code;
}

/* Write PAGE to the file PATH.  Return false after printing an error.  */
static bool
write_page (str_t page, const char *path)
{
  FILE *file = fopen (path, "we");
  bool is_written
      = file != NULL && fwrite (page.ptr, 1, page.len, file) == page.len;

  if (file != NULL && fclose (file) != 0)
    is_written = false;
  if (!is_written)
    cli_print_error ("%s: the page cannot be written (check the path and its "
                     "permissions)",
                     path);
  return is_written;
}

static cli_exit_code_t
run_burn (cli_t *cli)
{
  client_t *client = client_create (cli);
  reply_t json = { 0 };
  reply_t page = { 0 };
  reply_t text = { 0 };
  /* JSON is requested first because only a JSON reply shows that the server is
     an entry.  */
  cli_exit_code_t code
      = client_get (client, "/admin/report/burn?format=json", &json);

  if (code == CLI_OK && cli->has_option[OPTION_HTML])
    code = client_get_text (client, "/admin/report/burn?format=html", &page);
  if (code == CLI_OK && cli->has_option[OPTION_HTML]
      && !write_page (buf_str (&page.text), cli->values[OPTION_HTML]))
    code = CLI_USAGE_ERROR;
  if (code == CLI_OK && !cli->has_option[OPTION_JSON])
    code = client_get_text (client, "/admin/report/burn?format=text", &text);
  if (code == CLI_OK)
    reply_print (cli->has_option[OPTION_JSON] ? &json : &text);
  reply_free (&json);
  reply_free (&page);
  reply_free (&text);
  client_destroy (client);
  return code;
}

cli_exit_code_t
run_report (cli_t *cli)
{
  return strcmp (cli->operands[0], "bill") == 0 ? run_bill (cli)
                                                : run_burn (cli);
}
