#include "cli/configuration.h"
#include "base/mem.h"
#include "conf/reader.h"
#include "conf/snapshot.h"

#include <stdio.h>

cli_exit_code_t
configuration_read (client_t *client, configuration_t *out)
{
  *out = (configuration_t){ 0 };
  cli_exit_code_t code
      = client_get (client, "/admin/configuration", &out->reply);

  if (code != CLI_OK)
    return code;
  if (!json_is_string (json_object_get (out->reply.json, "text")))
    {
      cli_print_error ("%.*s: the answer holds no configuration; is it the "
                       "operators' port of an entry?",
                       STR_ARG (client_last_entry (client)));
      return CLI_UNREACHABLE;
    }
  out->revision = json_u64 (out->reply.json, "revision");
  out->confirmed_ms_ago = json_u64 (out->reply.json, "confirmed_ms_ago");
  out->text = json_str (out->reply.json, "text");
  return CLI_OK;
}

void
configuration_free (configuration_t *configuration)
{
  reply_free (&configuration->reply);
}

bool
configuration_load (const char *path, buf_t *text)
{
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;
  buf_t message = BUF_NULL;

  if (conf_read_file (path, text) != VH_OK)
    {
      cli_print_error ("%s: the file cannot be read (check the path and its "
                       "permissions)",
                       path);
      return false;
    }
  bool valid = snapshot_parse (buf_str (text), 0, &snapshot, &errors) == VH_OK;
  if (!valid)
    {
      conf_errors_print (&errors, "vanillahook", str_from (path), &message);
      fputs (message.ptr, stderr);
    }
  buf_free (&message);
  conf_errors_free (&errors);
  snapshot_unref (snapshot);
  return valid;
}

/* Print the header *SECTION unless empty, and clear it to avoid a second
   print.  */
static void
print_section_once (str_t *section)
{
  if (section->len > 0)
    printf ("  %.*s\n", STR_ARG (*section));
  *section = STR_NULL;
}

/* Set *SECTION to LINE if LINE is a section header.  Return whether it is.  */
static bool
update_section (str_t line, str_t *section)
{
  str_t kind;
  str_t name;
  bool closed;

  if (!reader_parse_section_header (line, &kind, &name, &closed))
    return false;
  *section = str_trim (line);
  return true;
}

void
delta_print (str_t old_text, str_t delta)
{
  str_t old_rest = old_text;
  str_t rest;
  str_t section = STR_NULL;

  str_cut (delta, '\n', &rest);
  while (rest.len > 0)
    {
      str_t delta_line = str_cut (rest, '\n', &rest);
      str_t line = delta_line.len > 0
                       ? str_make (delta_line.ptr + 1, delta_line.len - 1)
                       : delta_line;
      uint64_t unchanged_count = 0;
      if (delta_line.len > 0 && delta_line.ptr[0] == '='
          && str_to_u64 (line, &unchanged_count))
        {
          for (; unchanged_count > 0 && old_rest.ptr != NULL;
               unchanged_count--)
            update_section (str_cut (old_rest, '\n', &old_rest), &section);
          continue;
        }
      if (delta_line.len > 0 && delta_line.ptr[0] == '-')
        str_cut (old_rest, '\n', &old_rest);
      /* An added or removed header is printed as a changed line itself.  */
      if (update_section (line, &section))
        section = STR_NULL;
      if (str_trim (line).len > 0)
        print_section_once (&section);
      printf ("%.*s\n", STR_ARG (delta_line));
    }
}

void
delta_print_changed_lines (str_t delta)
{
  str_t rest;

  str_cut (delta, '\n', &rest);
  while (rest.len > 0)
    {
      str_t delta_line = str_cut (rest, '\n', &rest);
      if (delta_line.len > 1 && delta_line.ptr[0] != '=')
        printf ("    %.*s\n", STR_ARG (delta_line));
    }
}
