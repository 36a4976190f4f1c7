/* Functions that all stand-in servers share: command line, listening socket,
   JSON replies, exit on SIGTERM.  */

#ifndef STANDINS_COMMON_H
#define STANDINS_COMMON_H

#include "base/str.h"
#include "wire/httpd.h"

#include <jansson.h>
#include <uv.h>

/* Parse the command line into ARGTABLE, whose last entry is END and whose
   first is HELP (arg_lit_t).  With --help print the usage and DESCRIPTION and
   exit 0; on an invalid command line print the errors and exit 2.  */
void standin_parse_args (int argc, char **argv, void **argtable,
                         const char *description);

/* Serve HTTP on ADDRESS (HOST:PORT) with HANDLER and ignore SIGPIPE.  Exit 1
   if the address cannot be bound.  */
httpd_t *standin_listen (uv_loop_t *loop, const char *address,
                         httpd_handler_t handler);

/* Print "listening PORT" and run LOOP until SIGTERM or SIGINT, then exit
   0.  */
void standin_run (uv_loop_t *loop, uint16_t port);

/* Reply to REQ with STATUS and the JSON text of VALUE, whose reference is
   consumed.  */
void standin_reply_json (httpd_req_t *req, int status, json_t *value);

/* Reply to REQ with STATUS and an error object in the format of OpenAI.  */
void standin_reply_error (httpd_req_t *req, int status, const char *message);

#endif
