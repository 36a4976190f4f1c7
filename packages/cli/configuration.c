#include "cli/configuration.h"
#include "base/mem.h"
#include "conf/reader.h"
#include "conf/snapshot.h"

#include <stdio.h>

cli_exit_t
configuration_read (client_t *client, configuration_t *out)
{
  *out = (configuration_t){ 0 };
  cli_exit_t code = client_get (client, "/admin/configuration", &out->reply);

  if (code != CLI_DONE)
    return code;
  if (!json_is_string (json_object_get (out->reply.json, "text")))
    {
      cli_complain ("%.*s: the answer holds no configuration; is it the "
                    "operators' port of an entry?",
                    STR_ARG (client_entry (client)));
      return CLI_UNREACHABLE;
    }
  out->revision = json_u64 (out->reply.json, "revision");
  out->confirmed_ms_ago = json_u64 (out->reply.json, "confirmed_ms_ago");
  out->text = json_str (out->reply.json, "text");
  return CLI_DONE;
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
  buf_t printed = BUF_NULL;

  if (conf_read_file (path, text) != VH_OK)
    {
      cli_complain ("%s: the file cannot be read (check the path and its "
                    "permissions)",
                    path);
      return false;
    }
  bool valid = snapshot_parse (buf_str (text), 0, &snapshot, &errors) == VH_OK;
  if (!valid)
    {
      conf_errors_print (&errors, "vanillahook", str_from (path), &printed);
      fputs (printed.ptr, stderr);
    }
  buf_free (&printed);
  conf_errors_free (&errors);
  snapshot_unref (snapshot);
  return valid;
}

/* Print SECTION, unless it was printed before.  */
static void
print_section (str_t *section)
{
  if (section->len > 0)
    printf ("  %.*s\n", STR_ARG (*section));
  *section = STR_NULL;
}

/* Remember LINE in *SECTION when it is a section header.  */
static bool
note_section (str_t line, str_t *section)
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
      str_t op = str_cut (rest, '\n', &rest);
      str_t line = op.len > 0 ? str_make (op.ptr + 1, op.len - 1) : op;
      uint64_t same = 0;
      if (op.len > 0 && op.ptr[0] == '=' && str_to_u64 (line, &same))
        {
          for (; same > 0 && old_rest.ptr != NULL; same--)
            note_section (str_cut (old_rest, '\n', &old_rest), &section);
          continue;
        }
      if (op.len > 0 && op.ptr[0] == '-')
        str_cut (old_rest, '\n', &old_rest);
      /* A header that comes or goes speaks for itself.  */
      if (note_section (line, &section))
        section = STR_NULL;
      if (str_trim (line).len > 0)
        print_section (&section);
      printf ("%.*s\n", STR_ARG (op));
    }
}

void
delta_print_short (str_t delta)
{
  str_t rest;

  str_cut (delta, '\n', &rest);
  while (rest.len > 0)
    {
      str_t op = str_cut (rest, '\n', &rest);
      if (op.len > 1 && op.ptr[0] != '=')
        printf ("    %.*s\n", STR_ARG (op));
    }
}
