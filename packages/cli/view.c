#include "cli/configuration.h"
#include "conf/snapshot.h"

#include <stdio.h>
#include <time.h>

cli_exit_code_t
run_show (cli_t *cli)
{
  client_t *client = client_create (cli);
  configuration_t current;
  cli_exit_code_t code = configuration_read (client, &current);

  if (code == CLI_OK && cli->has_option[OPTION_JSON])
    reply_print (&current.reply);
  else if (code == CLI_OK)
    {
      /* The revision goes to standard error so that standard output holds the
         configuration text alone.  */
      fprintf (stderr, "revision %llu, confirmed %.1f s ago\n",
               (unsigned long long)current.revision,
               (double)current.confirmed_ms_ago / 1e3);
      fwrite (current.text.ptr, 1, current.text.len, stdout);
    }
  configuration_free (&current);
  client_destroy (client);
  return code;
}

cli_exit_code_t
run_diff (cli_t *cli)
{
  buf_t text = BUF_NULL;
  buf_t delta = BUF_NULL;
  configuration_t current;
  client_t *client;
  cli_exit_code_t code;

  if (!configuration_load (cli->operands[0], &text))
    {
      buf_free (&text);
      return CLI_USAGE_ERROR;
    }
  client = client_create (cli);
  code = configuration_read (client, &current);
  if (code == CLI_OK)
    {
      bool is_same = str_eq (current.text, buf_str (&text));
      conf_delta_make (current.text, buf_str (&text), &delta);
      if (cli->has_option[OPTION_JSON])
        {
          json_t *root = json_pack ("{s:I, s:b, s:s%}", "revision",
                                    (json_int_t)current.revision, "same",
                                    is_same, "delta", delta.ptr, delta.len);
          json_dumpf (root, stdout, JSON_COMPACT);
          putchar ('\n');
          json_decref (root);
        }
      else if (is_same)
        printf ("no difference from revision %llu\n",
                (unsigned long long)current.revision);
      else
        delta_print (current.text, buf_str (&delta));
    }
  configuration_free (&current);
  client_destroy (client);
  buf_free (&delta);
  buf_free (&text);
  return code;
}

/* Print one revision of the history.  */
static void
print_history_entry (const json_t *item)
{
  time_t when = (time_t)(json_u64 (item, "when_ms") / 1000);
  struct tm utc;
  char text[32] = "";
  str_t who = json_str (item, "who");

  if (gmtime_r (&when, &utc) != NULL)
    strftime (text, sizeof text, "%Y-%m-%d %H:%M:%SZ", &utc);
  printf ("revision %llu  %s  %.*s\n",
          (unsigned long long)json_u64 (item, "revision"), text,
          STR_ARG (who));
  delta_print_changed_lines (json_str (item, "delta"));
}

cli_exit_code_t
run_history (cli_t *cli)
{
  client_t *client = client_create (cli);
  reply_t reply;
  buf_t path = BUF_NULL;
  const json_t *item;
  size_t index;

  buf_printf (&path, "/admin/history?limit=%llu",
              (unsigned long long)cli->revision_limit);
  cli_exit_code_t code = client_get (client, path.ptr, &reply);
  if (code == CLI_OK && cli->has_option[OPTION_JSON])
    reply_print (&reply);
  else if (code == CLI_OK)
    json_array_foreach (reply.json, index, item) print_history_entry (item);
  reply_free (&reply);
  client_destroy (client);
  buf_free (&path);
  return code;
}
