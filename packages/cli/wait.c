#include "base/clock.h"
#include "cli/configuration.h"

#include <stdio.h>
#include <time.h>
#include <unistd.h>

enum
{
  POLL_INTERVAL_MS = 200,
  /* Number of lagging processes that the error message names.  */
  NAMES_PRINTED_MAX = 8
};

/* Number of processes at which a revision is in force.  */
typedef struct
{
  size_t process_count;
  size_t lagging;
  buf_t
      lagging_names; /* Names and revisions of the first lagging processes.  */
} progress_t;

static void
sleep_ms (uint64_t ms)
{
  struct timespec duration
      = { (time_t)(ms / 1000), (long)(ms % 1000) * 1000000 };

  nanosleep (&duration, NULL);
}

/* Count PROCESS, which has revision PROCESS_REVISION.  If that is older than
   REVISION, add the process to LAGGING.  */
static void
progress_add (progress_t *progress, uint64_t revision, const json_t *process,
              uint64_t process_revision, json_t *lagging)
{
  str_t name = json_str (process, "name");
  str_t state = json_str (process, "state");

  progress->process_count++;
  if (process_revision >= revision)
    return;
  progress->lagging++;
  json_array_append_new (lagging, json_stringn (name.ptr, name.len));
  if (progress->lagging > NAMES_PRINTED_MAX)
    return;
  buf_printf (&progress->lagging_names, "%s%.*s at %llu",
              progress->lagging == 1 ? "" : ", ", STR_ARG (name),
              (unsigned long long)process_revision);
  if (state.len > 0 && !str_eq (state, STR ("live")))
    buf_printf (&progress->lagging_names, " (%.*s)", STR_ARG (state));
}

/* Request the status and count the processes at which REVISION is in force.
   Return CLI_OK, or another exit code after printing an error.  */
static cli_exit_code_t
progress_poll (client_t *client, uint64_t revision, progress_t *progress,
               json_t *lagging)
{
  reply_t reply;
  const json_t *peer;
  size_t index;
  cli_exit_code_t code = client_get (client, "/admin/status", &reply);

  progress->process_count = 0;
  progress->lagging = 0;
  progress->lagging_names.len = 0;
  json_array_clear (lagging);
  if (code == CLI_OK)
    {
      progress_add (progress, revision,
                    json_object_get (reply.json, "process"),
                    json_u64 (reply.json, "revision"), lagging);
      json_array_foreach (json_object_get (reply.json, "peers"), index, peer)
          progress_add (progress, revision, peer, json_u64 (peer, "revision"),
                        lagging);
    }
  reply_free (&reply);
  return code;
}

cli_exit_code_t
wait_until_in_force (cli_t *cli, client_t *client, uint64_t revision,
                     json_t *lagging)
{
  clock_iface_t *clock = clock_system ();
  uint64_t deadline_ms = clock_ms (clock) + cli->timeout_ms;
  bool is_terminal = isatty (STDERR_FILENO) == 1;
  progress_t progress = { 0 };
  cli_exit_code_t code;

  for (;;)
    {
      code = progress_poll (client, revision, &progress, lagging);
      if (code != CLI_OK || progress.lagging == 0)
        break;
      if (is_terminal)
        fprintf (stderr, "\r\033[Krevision %llu: in force at %zu of %zu",
                 (unsigned long long)revision,
                 progress.process_count - progress.lagging,
                 progress.process_count);
      if (clock_ms (clock) >= deadline_ms)
        {
          code = CLI_WAIT_TIMEOUT;
          break;
        }
      sleep_ms (POLL_INTERVAL_MS);
    }
  if (is_terminal)
    fputs ("\r\033[K", stderr);
  if (code == CLI_WAIT_TIMEOUT)
    cli_print_error (
        "revision %llu is accepted, but not yet in force at %zu of "
        "%zu processes: %s%s (see `vanillahook status')",
        (unsigned long long)revision, progress.lagging, progress.process_count,
        progress.lagging_names.ptr,
        progress.lagging > NAMES_PRINTED_MAX ? ", ..." : "");
  else if (code == CLI_OK && !cli->has_option[OPTION_JSON])
    printf ("revision %llu is in force at all %zu processes\n",
            (unsigned long long)revision, progress.process_count);
  buf_free (&progress.lagging_names);
  return code;
}
