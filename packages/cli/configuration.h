/* Reads, checks and compares the operators' configuration.  */

#ifndef CLI_CONFIGURATION_H
#define CLI_CONFIGURATION_H

#include "cli/client.h"

/* The configuration in force, as an entry reports it.  */
typedef struct
{
  uint64_t revision;
  /* Time since the store last confirmed the revision; 0 if it never did.  */
  uint64_t confirmed_ms_ago;
  str_t text;
  reply_t reply; /* Owns the memory of `text'.  */
} configuration_t;

/* Request the configuration in force from an entry.  Return CLI_OK, or
   another exit code after printing an error.  Release OUT with
   configuration_free in every case.  */
cli_exit_code_t configuration_read (client_t *client, configuration_t *out);
void configuration_free (configuration_t *configuration);

/* Read the file PATH into TEXT and validate it as a configuration.  Return
   false after printing the errors if it is unreadable or invalid.  */
bool configuration_load (const char *path, buf_t *text);

/* Print DELTA, which was computed against OLD_TEXT, and the section header
   above each group of changed lines.  */
void delta_print (str_t old_text, str_t delta);
/* Print the added and removed lines of DELTA without section headers.  */
void delta_print_changed_lines (str_t delta);

/* Poll until REVISION is in force at every process, at most for --timeout-ms.
   Return CLI_OK, or after printing an error CLI_WAIT_TIMEOUT or another exit
   code.  The JSON array LAGGING receives the names of the processes that still
   have an older revision.  */
cli_exit_code_t wait_until_in_force (cli_t *cli, client_t *client,
                                     uint64_t revision, json_t *lagging);

#endif
