/* A plain service that counts how often each request id ran.

   GET /stats        {"total":N,"running":N,"runs":{"ID":N}}
   POST /control     {"hang":bool,"error":STATUS,"die":"cut"|"exit",
                      "delay_ms":N}; each key is optional
   anything else     one run, answered with a receipt that depends on method,
                     path and body alone  */

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
  DIE_NO,
  DIE_CUT, /* End the connection, live on.  */
  DIE_EXIT /* End the process.  */
} die_t;

typedef struct
{
  uv_loop_t *loop;
  map_t *runs; /* Request id to uint64_t.  */
  uint64_t total;
  uint64_t running;
  int count_file; /* -1: none.  */
  uint64_t delay_ms;
  bool hang;
  int error;
  die_t die;
} service_t;

/* One run whose answer waits.  */
typedef struct
{
  uv_timer_t timer;
  httpd_req_t *req; /* NULL: the peer left.  */
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

/* Note a run of ID where a restart of this program finds it.  */
static void
keep_run (str_t id)
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
load_runs (const char *path)
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
control (httpd_req_t *req)
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
    service.hang = json_is_true (value);
  if ((value = json_object_get (root, "error")) != NULL)
    service.error = (int)json_integer_value (value);
  if ((value = json_object_get (root, "delay_ms")) != NULL)
    service.delay_ms = (uint64_t)json_integer_value (value);
  if ((value = json_object_get (root, "die")) != NULL)
    {
      str_t how = str_from (json_string_value (value));
      service.die = str_eq (how, STR ("cut"))    ? DIE_CUT
                    : str_eq (how, STR ("exit")) ? DIE_EXIT
                                                 : DIE_NO;
    }
  json_decref (root);
  httpd_reply_json (req, 200, STR ("{}"));
}

/* Answer REQ as the controls say, after its run was counted.  */
static void
answer (httpd_req_t *req, str_t body)
{
  const httpc_header_t type
      = { STR ("content-type"), STR ("application/json") };

  service.running--;
  if (service.die == DIE_EXIT)
    _exit (EXIT_CRASH);
  if (service.die == DIE_CUT)
    {
      httpd_start_response (req, 200, &type, 1);
      httpd_send (req, str_make (body.ptr, body.len / 2), false);
      httpd_abort (req);
    }
  else if (service.error != 0)
    standin_reply_error (req, service.error, "told to fail");
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
      answer (run->req, buf_str (&run->body));
    }
  uv_close ((uv_handle_t *)timer, on_run_closed);
}

/* The peer left: what runs cannot be taken back, its answer is lost.  */
static void
on_run_stopped (void *arg)
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
  keep_run (id);
  service.running++;
  answer_append_service (httpd_method (req), httpd_path (req),
                         httpd_body (req), &body);
  if (service.delay_ms == 0 && !service.hang)
    {
      answer (req, buf_str (&body));
      buf_free (&body);
      return;
    }
  run_t *run = mem_zalloc (sizeof *run);
  run->req = req;
  run->body = body;
  run->timer.data = run;
  uv_timer_init (service.loop, &run->timer);
  httpd_set_callbacks (req, NULL, on_run_stopped, run);
  if (!service.hang)
    uv_timer_start (&run->timer, on_run_due, service.delay_ms, 0);
}

static void
handle (void *arg, httpd_req_t *req)
{
  str_t path = httpd_path (req);

  (void)arg;
  if (str_eq (path, STR ("/stats")))
    reply_stats (req);
  else if (str_eq (path, STR ("/control")))
    control (req);
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
      = arg_int0 (NULL, "delay-ms", "N", "time that each run takes");
  struct arg_str *counts
      = arg_str0 (NULL, "count-file", "FILE", "keep the counts here");
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
    load_runs (counts->sval[0]);
  httpd_t *server = standin_listen (service.loop, address->sval[0], handle);
  standin_run (service.loop, httpd_port (server));
}
