/* Edits the configuration in force and submits the result to an entry.  */

#ifndef CLI_CHANGE_H
#define CLI_CHANGE_H

#include "cli/configuration.h"

/* One change of the configuration that a verb makes.  */
typedef struct change
{
  cli_t *cli;
  client_t *client;
  /* Write the edited version of CURRENT to TEXT.  Return CLI_OK, or another
     exit code after printing an error.  */
  cli_exit_code_t (*edit) (struct change *change,
                           const configuration_t *current, buf_t *text);
  /* Whether the edit may be repeated on a newer revision after a revision
     conflict.  */
  bool retry_on_conflict;
  buf_t file_text; /* Text of the file to apply; empty for other verbs.  */
  uint64_t accepted_revision; /* Revision that contains the change.  */
  bool is_new_revision;       /* Whether the change made a new revision.  */
} change_t;

/* Submit the change, with retries after a revision conflict if
   `retry_on_conflict' is set, print the outcome, and with --wait wait until
   the revision is in force everywhere.  Return the exit code of the program;
   an error has been printed unless the code is CLI_OK.  */
cli_exit_code_t change_run (change_t *change);

#endif
