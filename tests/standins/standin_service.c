/* Stand-in for a plain service, which counts the runs of each request id.

   GET /stats        {"total":N,"running":N,"runs":{"ID":N}}
   POST /control     {"hang":bool,"error":STATUS,"die":"cut"|"exit",
                      "delay_ms":N}; each key is optional
   anything else     counts as one run; the reply is a receipt that depends
                     only on the method, the path and the body  */

#include "standins/answer.h"
#include "standins/common.h"

#include "base/map.h"
#include "base/mem.h"

#include <argtable2.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  EXIT_CRASH = 9
};

typedef enum
{
  CRASH_NONE,
  CRASH_CUT, /* Abort the connection in the middle of the reply.  */
  CRASH_EXIT /* Exit the process before the reply.  */
} crash_mode_t;

typedef struct
{
  uv_loop_t *loop;
  map_t *runs; /* Request id to its number of runs, a uint64_t.  */
  uint64_t total;
  uint64_t running;
  int count_file; /* Descriptor of --count-file; -1: none.  */
  uint64_t delay_ms;
  bool is_hung;     /* No further request gets a reply.  */
  int error_status; /* Status of each run; 0: no forced error.  */
  crash_mode_t crash_mode;
} service_t;

/* A run whose reply is delayed.  */
typedef struct
{
  uv_timer_t timer;
  httpd_req_t *req; /* NULL if the client has disconnected.  */
  buf_t body;
} run_t;

static service_t service;

static uint64_t
count_run (str_t id)
{
  uint64_t *count = map_get (service.runs, id);

  service.total++;
  if (id.len == 0)
    return 0;
  if (count == NULL)
    {
      count = mem_zalloc (sizeof *count);
      map_put (service.runs, id, count);
    }
  return ++*count;
}

/* Append a run of ID to the count file, which is read at the next start.  */
static void
persist_run (str_t id)
{
  buf_t line = BUF_NULL;

  if (service.count_file < 0 || id.len == 0)
    return;
  buf_append_str (&line, id);
  buf_append_char (&line, '\n');
  if (write (service.count_file, line.ptr, line.len) != (ssize_t)line.len)
    abort ();
  buf_free (&line);
}

static void
restore_runs (const char *path)
{
  FILE *file = fopen (path, "re");
  char *line = NULL;
  size_t cap = 0;
  ssize_t len;

  while (file != NULL && (len = getline (&line, &cap, file)) > 0)
    count_run (str_trim (str_make (line, (size_t)len)));
  free (line);
  if (file != NULL)
    fclose (file);
  service.count_file
      = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (service.count_file < 0)
    {
      perror (path);
      exit (EXIT_FAILURE);
    }
}

static void
reply_stats (httpd_req_t *req)
{
  json_t *runs = json_object ();
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (service.runs, &cursor, &key, &value))
    {
      char *id = str_dup (key);
      json_object_set_new (runs, id,
                           json_integer ((json_int_t) * (uint64_t *)value));
      free (id);
    }
  standin_reply_json (req, 200,
                      json_pack ("{s:I,s:I,s:o}", "total",
                                 (json_int_t)service.total, "running",
                                 (json_int_t)service.running, "runs", runs));
}

static void
handle_control (httpd_req_t *req)
{
  str_t body = httpd_body (req);
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  const json_t *value;

  if (root == NULL)
    {
      standin_reply_error (req, 400, "not JSON");
      return;
    }
  if ((value = json_object_get (root, "hang")) != NULL)
    service.is_hung = json_is_true (value);
  if ((value = json_object_get (root, "error")) != NULL)
    service.error_status = (int)json_integer_value (value);
  if ((value = json_object_get (root, "delay_ms")) != NULL)
    service.delay_ms = (uint64_t)json_integer_value (value);
  if ((value = json_object_get (root, "die")) != NULL)
    {
      str_t mode = str_from (json_string_value (value));
      service.crash_mode = str_eq (mode, STR ("cut"))    ? CRASH_CUT
                           : str_eq (mode, STR ("exit")) ? CRASH_EXIT
                                                         : CRASH_NONE;
    }
  json_decref (root);
  httpd_reply_json (req, 200, STR ("{}"));
}

/* Reply to REQ with BODY, or with the fault set by POST /control.  The run has
   been counted before.  */
static void
send_reply (httpd_req_t *req, str_t body)
{
  const httpc_header_t type
      = { STR ("content-type"), STR ("application/json") };

  service.running--;
  if (service.crash_mode == CRASH_EXIT)
    _exit (EXIT_CRASH);
  if (service.crash_mode == CRASH_CUT)
    {
      httpd_start_response (req, 200, &type, 1);
      httpd_send (req, str_make (body.ptr, body.len / 2), false);
      httpd_abort (req);
    }
  else if (service.error_status != 0)
    standin_reply_error (req, service.error_status,
                         "error set by POST /control");
  else
    httpd_reply (req, 200, &type, 1, body);
}

static void
on_run_closed (uv_handle_t *handle)
{
  run_t *run = handle->data;

  buf_free (&run->body);
  free (run);
}

static void
on_run_due (uv_timer_t *timer)
{
  run_t *run = timer->data;

  if (run->req != NULL)
    {
      httpd_set_callbacks (run->req, NULL, NULL, NULL);
      send_reply (run->req, buf_str (&run->body));
    }
  uv_close ((uv_handle_t *)timer, on_run_closed);
}

/* Discard the reply when the client disconnects.  The run stays counted, as
   its effect cannot be undone.  */
static void
on_client_disconnect (void *arg)
{
  run_t *run = arg;

  run->req = NULL;
  service.running--;
}

static void
start_run (httpd_req_t *req)
{
  buf_t body = BUF_NULL;
  str_t id = httpd_header (req, STR ("vanillahook-request-id"));

  count_run (id);
  persist_run (id);
  service.running++;
  answer_append_service (httpd_method (req), httpd_path (req),
                         httpd_body (req), &body);
  if (service.delay_ms == 0 && !service.is_hung)
    {
      send_reply (req, buf_str (&body));
      buf_free (&body);
      return;
    }
  run_t *run = mem_zalloc (sizeof *run);
  run->req = req;
  run->body = body;
  run->timer.data = run;
  uv_timer_init (service.loop, &run->timer);
  httpd_set_callbacks (req, NULL, on_client_disconnect, run);
  if (!service.is_hung)
    uv_timer_start (&run->timer, on_run_due, service.delay_ms, 0);
}

static void
handle_request (void *arg, httpd_req_t *req)
{
  str_t path = httpd_path (req);

  (void)arg;
  if (str_eq (path, STR ("/stats")))
    reply_stats (req);
  else if (str_eq (path, STR ("/control")))
    handle_control (req);
  else
    start_run (req);
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *address
      = arg_str0 (NULL, "listen", "HOST:PORT", "address; port 0 picks one");
  struct arg_int *delay
      = arg_int0 (NULL, "delay-ms", "N", "duration of each run, in ms");
  struct arg_str *counts
      = arg_str0 (NULL, "count-file", "FILE",
                  "file that keeps the counts across restarts");
  struct arg_end *end = arg_end (5);
  void *argtable[] = { help, address, delay, counts, end };

  address->sval[0] = "127.0.0.1:0";
  delay->ival[0] = 0;
  standin_parse_args (argc, argv, argtable,
                      "A plain service that counts runs per request id.");
  service.loop = uv_default_loop ();
  service.runs = map_create ();
  service.count_file = -1;
  service.delay_ms = (uint64_t)delay->ival[0];
  if (counts->count > 0)
    restore_runs (counts->sval[0]);
  httpd_t *server
      = standin_listen (service.loop, address->sval[0], handle_request);
  standin_run (service.loop, httpd_port (server));
}
