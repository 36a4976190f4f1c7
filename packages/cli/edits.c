#include "cli/change.h"
#include "conf/reader.h"
#include "conf/schema.h"
#include "conf/snapshot.h"

/* Return whether the configuration TEXT has a section [KIND NAME].  Add the
   other names of that kind to NEAREST as candidates.  */
static bool
text_has_section (str_t text, str_t kind, str_t name, closest_match_t *nearest)
{
  str_t rest = text;
  str_t found_kind;
  str_t found_name;
  bool closed;

  while (rest.ptr != NULL)
    {
      str_t line = str_cut (rest, '\n', &rest);
      if (!reader_parse_section_header (line, &found_kind, &found_name,
                                        &closed)
          || !str_eq (kind, found_kind))
        continue;
      if (str_eq (name, found_name))
        return true;
      closest_match_add_candidate (nearest, found_name);
    }
  return false;
}

/* Return whether an object of the JSON array LIST has the value NAME for its
   member KEY.  Add the other values to NEAREST as candidates.  */
static bool
array_has_value (const json_t *list, const char *key, str_t name,
                 closest_match_t *nearest)
{
  const json_t *item;
  size_t index;

  json_array_foreach (list, index, item)
  {
    str_t found = json_str (item, key);
    if (str_eq (found, name))
      return true;
    closest_match_add_candidate (nearest, found);
  }
  return false;
}

/* Check that NAME of KIND exists in the configuration CURRENT or, if
   SEARCH_STATUS, in the status that an entry reports.  Return CLI_OK, or
   another exit code after printing an error.  */
static cli_exit_code_t
check_name_exists (change_t *change, const configuration_t *current,
                   const char *kind, str_t name, bool search_status)
{
  closest_match_t nearest = closest_match_make (name);
  buf_t hint = BUF_NULL;
  buf_t fallback = BUF_NULL;
  reply_t reply = { 0 };
  cli_exit_code_t code = CLI_OK;

  if (text_has_section (current->text, str_from (kind), name, &nearest))
    return CLI_OK;
  if (search_status)
    code = client_get (change->client, "/admin/status", &reply);
  if (code != CLI_OK)
    goto free_reply;
  const json_t *peers = json_object_get (reply.json, "peers");
  if (strcmp (kind, "instance") == 0
      && array_has_value (peers, "name", name, &nearest))
    goto free_reply;
  if (strcmp (kind, "availability-zone") == 0
      && (array_has_value (json_object_get (reply.json, "zones"), "name", name,
                           &nearest)
          || array_has_value (peers, "zone", name, &nearest)))
    goto free_reply;
  buf_printf (&fallback, "add `[%s %.*s]' to the lists and apply them", kind,
              STR_ARG (name));
  cli_print_error ("there is no %s `%.*s'; nothing changed (%s)", kind,
                   STR_ARG (name),
                   closest_match_hint (&nearest, fallback.ptr, &hint));
  code = CLI_REFUSED;

free_reply:
  reply_free (&reply);
  buf_free (&hint);
  buf_free (&fallback);
  return code;
}

/* Set KEY of section [KIND NAME] to VALUE in *TEXT.  */
static void
set_section_key (buf_t *text, const char *kind, str_t name, const char *key,
                 str_t value)
{
  buf_t section = BUF_NULL;
  buf_t edited = BUF_NULL;

  buf_printf (&section, "%s %.*s", kind, STR_ARG (name));
  conf_set_key (buf_str (text), buf_str (&section), str_from (key), value,
                &edited);
  buf_free (&section);
  buf_free (text);
  *text = edited;
}

/* Check the syntax of NAME: MODEL@VERSION if IS_VERSION, a plain name
   otherwise.  Return CLI_OK, or CLI_USAGE_ERROR after printing an error.  */
static cli_exit_code_t
check_name_syntax (const char *name, bool is_version)
{
  bool valid = is_version ? schema_is_valid_version (str_from (name))
                          : schema_is_valid_name (str_from (name));

  if (valid)
    return CLI_OK;
  cli_print_error ("`%s' is not a name (%s)", name,
                   is_version ? "write MODEL@VERSION"
                              : "letters, digits, `.', `_' and `-'");
  return CLI_USAGE_ERROR;
}

/* Set the state of the zone or instance named on the command line.  KIND is
   the section's kind.  */
static cli_exit_code_t
edit_section_state (change_t *change, const configuration_t *current,
                    buf_t *text, const char *kind)
{
  str_t action = str_from (change->cli->operands[0]);
  str_t name = str_from (change->cli->operands[1]);
  cli_exit_code_t code = check_name_exists (change, current, kind, name, true);

  if (code != CLI_OK)
    return code;
  buf_append_str (text, current->text);
  set_section_key (text, kind, name, "state", action);
  return CLI_OK;
}

static cli_exit_code_t
edit_zone (change_t *change, const configuration_t *current, buf_t *text)
{
  return edit_section_state (change, current, text, "availability-zone");
}

static cli_exit_code_t
edit_instance (change_t *change, const configuration_t *current, buf_t *text)
{
  return edit_section_state (change, current, text, "instance");
}

static cli_exit_code_t
edit_version (change_t *change, const configuration_t *current, buf_t *text)
{
  bool withdraw = strcmp (change->cli->operands[0], "withdraw") == 0;
  str_t name = str_from (change->cli->operands[1]);
  cli_exit_code_t code
      = check_name_exists (change, current, "version", name, false);

  if (code != CLI_OK)
    return code;
  buf_append_str (text, current->text);
  set_section_key (text, "version", name, "state",
                   withdraw ? STR ("withdrawn") : STR ("serving"));
  return CLI_OK;
}

/* Find the roll-out of version NAME in the configuration TEXT.  Return whether
   there is one, with its state in *STATE.  */
static bool
find_rollout (str_t text, str_t name, rollout_state_t *state)
{
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;
  bool found = false;

  snapshot_parse (text, 0, &snapshot, &errors);
  for (size_t i = 0;
       snapshot != NULL && snapshot_rollout_at (snapshot, i) != NULL; i++)
    {
      const rollout_t *rollout = snapshot_rollout_at (snapshot, i);
      if (!str_eq (rollout->version->name, name))
        continue;
      found = true;
      *state = rollout->state;
    }
  conf_errors_free (&errors);
  snapshot_unref (snapshot);
  return found;
}

/* Write the configuration with the roll-out of version NAME running to TEXT.
   If EXISTS, the configuration has the roll-out already.  */
static cli_exit_code_t
edit_rollout_start (change_t *change, const configuration_t *current,
                    str_t name, bool exists, buf_t *text)
{
  const cli_t *cli = change->cli;
  str_t over = str_from (cli->values[OPTION_OVER]);

  if (!exists && !cli->has_option[OPTION_OVER])
    {
      cli_print_error ("name the version that `%.*s' replaces by --over",
                       STR_ARG (name));
      return CLI_USAGE_ERROR;
    }
  if (cli->has_option[OPTION_OVER])
    {
      cli_exit_code_t code
          = check_name_syntax (cli->values[OPTION_OVER], true);
      if (code == CLI_OK)
        code = check_name_exists (change, current, "version", over, false);
      if (code != CLI_OK)
        return code;
      if (str_eq (over, name))
        {
          cli_print_error ("`%.*s' cannot be rolled out over itself",
                           STR_ARG (name));
          return CLI_USAGE_ERROR;
        }
    }
  buf_append_str (text, current->text);
  set_section_key (text, "version", name, "state", STR ("rolling-out"));
  if (cli->has_option[OPTION_OVER])
    set_section_key (text, "rollout", name, "over", over);
  set_section_key (text, "rollout", name, "state", STR ("running"));
  return CLI_OK;
}

static cli_exit_code_t
edit_rollout (change_t *change, const configuration_t *current, buf_t *text)
{
  const char *action = change->cli->operands[0];
  str_t name = str_from (change->cli->operands[1]);
  rollout_state_t state = ROLLOUT_RUNNING;
  cli_exit_code_t code
      = check_name_exists (change, current, "version", name, false);

  if (code != CLI_OK)
    return code;
  bool exists = find_rollout (current->text, name, &state);
  if (strcmp (action, "start") == 0)
    return edit_rollout_start (change, current, name, exists, text);
  if (!exists)
    {
      cli_print_error (
          "there is no roll-out of `%.*s'; nothing changed (begin "
          "with `vanillahook rollout start')",
          STR_ARG (name));
      return CLI_REFUSED;
    }
  if (state == ROLLOUT_ABORTED && strcmp (action, "abort") != 0)
    {
      cli_print_error ("the roll-out of `%.*s' is aborted; nothing changed "
                       "(begin again with `vanillahook rollout start')",
                       STR_ARG (name));
      return CLI_REFUSED;
    }
  buf_append_str (text, current->text);
  set_section_key (text, "rollout", name, "state",
                   strcmp (action, "pause") == 0    ? STR ("paused")
                   : strcmp (action, "resume") == 0 ? STR ("running")
                                                    : STR ("aborted"));
  return CLI_OK;
}

/* Run a verb that changes the section named by the second operand.  */
static cli_exit_code_t
run_edit (cli_t *cli, bool is_version,
          cli_exit_code_t (*edit) (change_t *change,
                                   const configuration_t *current,
                                   buf_t *text))
{
  change_t change = { .cli = cli, .edit = edit, .retry_on_conflict = true };
  cli_exit_code_t code = check_name_syntax (cli->operands[1], is_version);

  return code == CLI_OK ? change_run (&change) : code;
}

cli_exit_code_t
run_zone (cli_t *cli)
{
  return run_edit (cli, false, edit_zone);
}

cli_exit_code_t
run_instance (cli_t *cli)
{
  return run_edit (cli, false, edit_instance);
}

cli_exit_code_t
run_version (cli_t *cli)
{
  return run_edit (cli, true, edit_version);
}

cli_exit_code_t
run_rollout (cli_t *cli)
{
  return run_edit (cli, true, edit_rollout);
}
