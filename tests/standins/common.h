/* What every stand-in does the same way: read its command line, say where it
   listens, end on SIGTERM.  */

#ifndef STANDINS_COMMON_H
#define STANDINS_COMMON_H

#include "base/str.h"
#include "wire/httpd.h"

#include <jansson.h>
#include <uv.h>

/* Parse the command line into ARGTABLE, whose last entry is END and whose
   first is HELP (arg_lit_t).  Print the help and exit 0 when asked for it,
   complain and exit 2 when something is wrong.  */
void standin_parse_args (int argc, char **argv, void **argtable,
                         const char *what);

/* Serve ADDRESS with HANDLER; exit 1 when it cannot be had.  */
httpd_t *standin_listen (uv_loop_t *loop, const char *address,
                         httpd_handler_t handler);

/* Print "listening PORT" and run LOOP until SIGTERM or SIGINT, then exit
   0.  */
void standin_run (uv_loop_t *loop, uint16_t port);

/* Answer STATUS with VALUE, whose reference is taken.  */
void standin_reply_json (httpd_req_t *req, int status, json_t *value);

/* Answer STATUS with an OpenAI-style error.  */
void standin_reply_error (httpd_req_t *req, int status, const char *message);

#endif
