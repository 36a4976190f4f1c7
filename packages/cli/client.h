/* Sends requests to the operators' port of the entries, one at a time.  */

#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include "cli/cli.h"

#include <jansson.h>

typedef struct client client_t;

/* Reply of an entry to one request.  */
typedef struct
{
  int status; /* HTTP status; 0 if no entry replied.  */
  /* Whether an entry may have executed the request although its reply was
     lost.  */
  bool outcome_unknown;
  buf_t text;
  json_t *json; /* Parsed `text'; NULL if it is not JSON.  */
} reply_t;

/* Return a client of the entries named by CLI, which must outlive the
   client.  */
client_t *client_create (const cli_t *cli);
/* Release CLIENT, which may be NULL.  */
void client_destroy (client_t *client);

/* Send the request to each entry in turn until one replies, starting with the
   entry that replied last.  Return CLI_OK if the status is 200, or another
   exit code after printing an error.  For a POST, status 409 returns
   CLI_REVISION_CONFLICT and status 422 CLI_REFUSED without an error message;
   the caller prints one.  Release REPLY with reply_free in every case.  */
cli_exit_code_t client_get (client_t *client, const char *path,
                            reply_t *reply);
/* Like client_get, but the body need not be JSON.  */
cli_exit_code_t client_get_text (client_t *client, const char *path,
                                 reply_t *reply);
cli_exit_code_t client_post (client_t *client, const char *path, str_t body,
                             reply_t *reply);
void reply_free (reply_t *reply);
/* Print the body of REPLY, without blanks at its ends, and a newline.  */
void reply_print (const reply_t *reply);

/* Return the address of the entry that replied last.  */
str_t client_last_entry (const client_t *client);

/* Return member KEY of the JSON object OBJECT; STR_NULL or 0 if the member is
   absent or has another type.  */
str_t json_str (const json_t *object, const char *key);
uint64_t json_u64 (const json_t *object, const char *key);
double json_double (const json_t *object, const char *key);

#endif
