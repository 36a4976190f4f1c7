/* vanillahookd: reads the settings, runs the role that they name, and stops on
   SIGTERM or SIGINT.  Exit status: 0 after a planned stop, 1 if the process
   could not start or the stop aborted unfinished requests, 2 for invalid
   options or settings.  */

#include "base/log.h"
#include "base/memory_budget.h"
#include "base/stop_signal.h"
#include "daemon/gateway_main.h"
#include "daemon/process.h"

#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>

enum
{
  EXIT_BAD_SETTINGS = 2
};

static void
on_stop_signal (void *arg, const stop_time_t *time)
{
  process_t **process = arg;

  /* The loop also runs after a start that failed.  */
  if (*process != NULL)
    process_stop (*process, time);
}

/* Run a process with SETTINGS until a planned stop is complete.  Return the
   exit status.  */
static int
run_process (const settings_t *settings)
{
  uv_loop_t *loop = uv_default_loop ();
  process_t *process = NULL;

  signal (SIGPIPE, SIG_IGN);
  stop_signal_t *stop_signal
      = stop_signal_create (loop, clock_system (), on_stop_signal, &process);
  if (process_create (loop, settings, &process) != VH_OK)
    {
      stop_signal_destroy (stop_signal);
      return EXIT_FAILURE;
    }
  uv_run (loop, UV_RUN_DEFAULT);
  stop_signal_destroy (stop_signal);
  uv_run (loop, UV_RUN_DEFAULT);
  bool is_clean_stop = process_destroy (process);
  uv_loop_close (loop);
  return is_clean_stop ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Load the settings file PATH and, unless CHECK_ONLY, run a process with it.
   LEVEL is the log level, or NULL for the level in the settings.  Return the
   exit status.  */
static int
load_and_run (const char *path, bool check_only, const char *level)
{
  settings_t *settings = NULL;
  conf_errors_t errors = { 0 };
  int status = EXIT_BAD_SETTINGS;
  vh_code_t code = settings_load (path, &settings, &errors);

  if (code == VH_E_IO)
    fprintf (stderr, "vanillahookd: %s: the settings file cannot be read\n",
             path);
  if (code != VH_OK)
    {
      buf_t lines = BUF_NULL;
      conf_errors_print (&errors, "vanillahookd", str_from (path), &lines);
      fprintf (stderr, "%.*s", STR_ARG (buf_str (&lines)));
      buf_free (&lines);
    }
  else if (check_only)
    {
      printf ("%s: good\n", path);
      status = EXIT_SUCCESS;
    }
  else
    {
      char *configured_level = str_dup (settings->log_level);
      log_set_level_name (level != NULL ? level : configured_level);
      free (configured_level);
      status = settings->role == ROLE_GATEWAY ? gateway_main (settings, path)
                                              : run_process (settings);
    }
  conf_errors_free (&errors);
  settings_destroy (settings);
  return status;
}

int
main (int argc, char **argv)
{
  struct arg_file *settings
      = arg_file1 ("s", "settings", "FILE", "settings of this process (INI)");
  struct arg_lit *check
      = arg_lit0 ("c", "check", "check the settings and exit");
  struct arg_str *level = arg_str0 (NULL, "log-level", "LEVEL",
                                    "err, warning, notice, info or debug");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version
      = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_end *end = arg_end (8);
  void *table[] = { settings, check, level, help, version, end };
  int status = EXIT_BAD_SETTINGS;
  int errors = arg_parse (argc, argv, table);

  memory_budget_configure_allocator ();

  if (help->count > 0)
    {
      printf ("Usage: vanillahookd");
      arg_print_syntax (stdout, table, "\n");
      printf ("A model-aware router for versions and cascades.\n\n");
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("vanillahookd %s\n", VH_VERSION);
      status = EXIT_SUCCESS;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, "vanillahookd");
      fprintf (stderr, "Try 'vanillahookd --help'.\n");
    }
  else
    status = load_and_run (settings->filename[0], check->count > 0,
                           level->count > 0 ? level->sval[0] : NULL);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
