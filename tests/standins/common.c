#include "standins/common.h"

#include "base/mem.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  EXIT_USAGE = 2,
  BODY_LIMIT = 64 << 20,
  MAX_ERRORS_SHOWN = 5
};

void
standin_parse_args (int argc, char **argv, void **argtable, const char *what)
{
  int last = 0;

  if (arg_nullcheck (argtable) != 0)
    abort ();
  while (((struct arg_hdr *)argtable[last])->flag != ARG_TERMINATOR)
    last++;
  struct arg_lit *help = argtable[0];
  struct arg_end *end = argtable[last];
  int errors = arg_parse (argc, argv, argtable);
  if (help->count > 0)
    {
      printf ("Usage: %s", argv[0]);
      arg_print_syntax (stdout, argtable, "\n");
      printf ("%s\n\n", what);
      arg_print_glossary (stdout, argtable, "  %-34s %s\n");
      exit (EXIT_SUCCESS);
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      exit (EXIT_USAGE);
    }
}

httpd_t *
standin_listen (uv_loop_t *loop, const char *address, httpd_handler_t handler)
{
  const httpd_options_t options = { .body_limit = BODY_LIMIT };
  httpd_t *server;

  /* A cut answer is written to a socket that is shut.  */
  signal (SIGPIPE, SIG_IGN);
  if (httpd_create (loop, str_from (address), &options, handler, NULL, &server)
      != VH_OK)
    {
      fprintf (stderr, "cannot listen on %s\n", address);
      exit (EXIT_FAILURE);
    }
  return server;
}

/* A stand-in keeps nothing, so nothing is put away before its end.  */
static void
on_signal (uv_signal_t *handle, int signum)
{
  (void)handle;
  (void)signum;
  fflush (stdout);
  _exit (EXIT_SUCCESS);
}

void
standin_run (uv_loop_t *loop, uint16_t port)
{
  static uv_signal_t term;
  static uv_signal_t interrupt;

  uv_signal_init (loop, &term);
  uv_signal_start (&term, on_signal, SIGTERM);
  uv_signal_init (loop, &interrupt);
  uv_signal_start (&interrupt, on_signal, SIGINT);
  printf ("listening %u\n", port);
  fflush (stdout);
  uv_run (loop, UV_RUN_DEFAULT);
  _exit (EXIT_SUCCESS);
}

void
standin_reply_json (httpd_req_t *req, int status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  httpd_reply_json (req, status, str_from (text));
  free (text);
  json_decref (value);
}

void
standin_reply_error (httpd_req_t *req, int status, const char *message)
{
  standin_reply_json (req, status,
                      json_pack ("{s:{s:s,s:s}}", "error", "message", message,
                                 "type", "standin_error"));
}
