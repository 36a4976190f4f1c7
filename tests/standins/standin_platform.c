/* Stand-in for the platform's services: table, objects, instance list and
   ratings over HTTP/JSON (docs/PLATFORM-CONTRACT.md).  Faults are set with
   --faults and with POST /faults.  */

#include "base/map.h"
#include "base/mem.h"
#include "base/rng.h"
#include "storage/json.h"
#include "storage/table.h"
#include "wire/httpd.h"

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  MAX_BODY_BYTES = 64 * 1024 * 1024,
  MAX_SCAN_ROWS = 10000,
  WINDOW_MS = 1000
};

typedef enum
{
  OUTAGE_NONE,
  OUTAGE_REFUSE, /* Requests get status 503 at once.  */
  OUTAGE_SILENT  /* Requests have no effect and get no reply.  */
} outage_t;

typedef enum
{
  RATING_OK,
  RATING_DOWN,
  RATING_SLOW,
  RATING_INVERTED /* The score is 1 minus the real one.  */
} rating_mode_t;

typedef struct
{
  outage_t outage;
  uint64_t slow_ms;
  double lost_reply_share; /* Share of transactions that take effect but get
                              no reply, 0 to 1.  */
  uint64_t write_limit;    /* Most writes a second; 0: no limit.  */
  uint64_t read_limit;     /* Most reads a second; 0: no limit.  */
  rating_mode_t rating;
  uint64_t rating_slow_ms;
  double rating_noise; /* Largest deviation added to a score.  */
  uint64_t lag_ms;     /* Delay of changes to the instance list.  */
} faults_t;

/* X (NAME) for each counter in the reply to GET /stats.  */
#define COUNTS(X)                                                             \
  X (calls)                                                                   \
  X (txns)                                                                    \
  X (writes)                                                                  \
  X (conflicts)                                                               \
  X (reads)                                                                   \
  X (objects)                                                                 \
  X (instances)                                                               \
  X (rates)                                                                   \
  X (lost_replies)                                                            \
  X (limited)                                                                 \
  X (refused)

typedef struct
{
#define X(name) uint64_t name;
  COUNTS (X)
#undef X
} counts_t;

typedef struct
{
  uint64_t started_ms;
  uint64_t call_count;
} rate_window_t;

typedef struct
{
  uv_loop_t *loop;
  httpd_t *server;
  table_t *table;
  instance_list_t *instances;
  map_t *objects; /* Object name to its contents, a buf_t.  */
  faults_t faults;
  counts_t counts;
  rate_window_t write_window;
  rate_window_t read_window;
  rng_t rng;
} platform_standin_t;

/* A reply that is sent after a delay.  */
typedef struct
{
  uv_timer_t timer;
  httpd_req_t *req; /* NULL if the client has disconnected.  */
  int status;
  bool is_json;
  buf_t body;
} delayed_reply_t;

/* A change of the instance list that takes effect after a delay.  */
typedef struct
{
  uv_timer_t timer;
  platform_standin_t *standin;
  json_t *json;
} instance_change_t;

static void
on_reply_closed (uv_handle_t *handle)
{
  delayed_reply_t *delayed = handle->data;

  buf_free (&delayed->body);
  free (delayed);
}

static void
on_client_disconnect (void *arg)
{
  ((delayed_reply_t *)arg)->req = NULL;
}

static void
send_reply (httpd_req_t *req, int status, bool is_json, str_t body)
{
  if (is_json)
    httpd_reply_json (req, status, body);
  else
    httpd_reply (req, status, NULL, 0, body);
}

static void
on_reply_due (uv_timer_t *timer)
{
  delayed_reply_t *delayed = timer->data;
  httpd_req_t *req = delayed->req;

  if (req != NULL)
    {
      httpd_set_callbacks (req, NULL, NULL, NULL);
      send_reply (req, delayed->status, delayed->is_json,
                  buf_str (&delayed->body));
    }
  uv_close ((uv_handle_t *)timer, on_reply_closed);
}

/* Reply to REQ after DELAY_MS with BODY, which is consumed.  */
static void
reply (platform_standin_t *standin, httpd_req_t *req, uint64_t delay_ms,
       int status, bool is_json, buf_t *body)
{
  if (delay_ms == 0)
    {
      send_reply (req, status, is_json, buf_str (body));
      buf_free (body);
      return;
    }
  delayed_reply_t *delayed = mem_zalloc (sizeof *delayed);
  delayed->req = req;
  delayed->status = status;
  delayed->is_json = is_json;
  delayed->body = *body;
  uv_timer_init (standin->loop, &delayed->timer);
  delayed->timer.data = delayed;
  uv_timer_start (&delayed->timer, on_reply_due, delay_ms, 0);
  httpd_set_callbacks (req, NULL, on_client_disconnect, delayed);
}

static void
reply_json (platform_standin_t *standin, httpd_req_t *req, int status,
            json_t *json)
{
  buf_t body = BUF_NULL;

  json_write_and_free (json, &body);
  reply (standin, req, standin->faults.slow_ms, status, true, &body);
}

static void
reply_error (platform_standin_t *standin, httpd_req_t *req, int status,
             const char *message)
{
  json_t *json = json_object ();

  json_object_set_new (json, "error", json_string (message));
  reply_json (standin, req, status, json);
}

/* Return the body of REQ as a JSON object.  If it is none, reply with status
   400 and return NULL.  */
static json_t *
parse_json_body (httpd_req_t *req)
{
  str_t body = httpd_body (req);
  json_t *json = json_loadb (body.len > 0 ? body.ptr : "", body.len,
                             JSON_ALLOW_NUL, NULL);

  if (json_is_object (json))
    return json;
  json_decref (json);
  httpd_reply_json (req, 400, STR ("{\"error\":\"not a JSON object\"}"));
  return NULL;
}

/* Count one call in the rate limit WINDOW.  Return false if the window has
   more than LIMIT calls; a LIMIT of 0 means no limit.  */
static bool
admit_call (platform_standin_t *standin, rate_window_t *window, uint64_t limit)
{
  uint64_t now_ms = uv_now (standin->loop);

  if (now_ms - window->started_ms >= WINDOW_MS)
    *window = (rate_window_t){ .started_ms = now_ms };
  window->call_count++;
  return limit == 0 || window->call_count <= limit;
}

/* Lose the reply to REQ: at random, either reset the connection or send
   nothing.  */
static void
lose_reply (platform_standin_t *standin, httpd_req_t *req)
{
  standin->counts.lost_replies++;
  if (rng_below (&standin->rng, 2) == 0)
    return;
  httpd_start_response (req, 200, NULL, 0);
  httpd_abort (req);
}

static void
serve_txn (platform_standin_t *standin, httpd_req_t *req)
{
  json_t *json = parse_json_body (req);
  uint64_t revision;
  str_t conflict;

  if (json == NULL)
    return;
  txn_t *txn = json_to_txn (json);
  json_decref (json);
  if (txn == NULL)
    {
      reply_error (standin, req, 400, "not a transaction");
      return;
    }
  standin->counts.txns++;
  standin->counts.writes += txn->write_count;
  vh_code_t code = table_execute (standin->table, txn, uv_now (standin->loop),
                                  &revision, &conflict);
  if (rng_double (&standin->rng) < standin->faults.lost_reply_share)
    lose_reply (standin, req);
  else if (code == VH_OK)
    reply_json (standin, req, 200,
                json_pack ("{s:I}", "revision", (json_int_t)revision));
  else
    {
      standin->counts.conflicts++;
      json_t *conflict_json = json_object ();
      json_put_bytes (conflict_json, "conflict", conflict);
      reply_json (standin, req, 409, conflict_json);
    }
  txn_free (txn);
}

static void
serve_get (platform_standin_t *standin, httpd_req_t *req)
{
  json_t *json = parse_json_body (req);
  row_t row;

  if (json == NULL)
    return;
  if (table_get (standin->table, json_get_utf8 (json, "key"), &row))
    reply_json (standin, req, 200, json_from_row (&row));
  else
    reply_error (standin, req, 404, "no such row");
  json_decref (json);
}

static void
serve_scan (platform_standin_t *standin, httpd_req_t *req)
{
  json_t *json = parse_json_body (req);
  bool has_more;

  if (json == NULL)
    return;
  size_t limit = json_get_u64 (json, "limit");
  if (limit > MAX_SCAN_ROWS)
    limit = MAX_SCAN_ROWS;
  row_t *rows = mem_alloc ((limit + 1) * sizeof *rows);
  size_t count
      = table_scan (standin->table, json_get_utf8 (json, "prefix"),
                    json_get_utf8 (json, "after"), limit, rows, &has_more);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, json_from_row (&rows[i]));
  reply_json (standin, req, 200,
              json_pack ("{s:o,s:b}", "rows", list, "more", has_more));
  free (rows);
  json_decref (json);
}

static void
serve_object (platform_standin_t *standin, httpd_req_t *req)
{
  /* The map key is the percent-encoded name.  Decoding is not needed, since
     only equal names have to match.  */
  str_t name = httpd_query_param (req, STR ("name"));
  buf_t *object = map_get (standin->objects, name);
  buf_t body = BUF_NULL;

  standin->counts.objects++;
  if (str_eq (httpd_method (req), STR ("PUT")))
    {
      if (object == NULL)
        {
          object = mem_zalloc (sizeof *object);
          map_put (standin->objects, name, object);
        }
      object->len = 0;
      buf_append_str (object, httpd_body (req));
      reply (standin, req, standin->faults.slow_ms, 200, false, &body);
    }
  else if (object == NULL)
    reply_error (standin, req, 404, "no such object");
  else
    {
      buf_append_str (&body, buf_str (object));
      reply (standin, req, standin->faults.slow_ms, 200, false, &body);
    }
}

static void
serve_instances (platform_standin_t *standin, httpd_req_t *req)
{
  instance_row_t *rows;
  uint64_t after = 0;
  uint64_t sequence;
  bool is_full;

  standin->counts.instances++;
  str_to_u64 (httpd_query_param (req, STR ("after")), &after);
  size_t count = instance_list_get_changes (standin->instances, after, &rows,
                                            &sequence, &is_full);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, json_from_instance (&rows[i]));
  free (rows);
  reply_json (standin, req, 200,
              json_pack ("{s:I,s:b,s:o}", "sequence", (json_int_t)sequence,
                         "full", is_full, "instances", list));
}

static void
on_change_closed (uv_handle_t *handle)
{
  instance_change_t *change = handle->data;

  json_decref (change->json);
  free (change);
}

static void
on_change_due (uv_timer_t *timer)
{
  instance_change_t *change = timer->data;
  instance_row_t row;

  if (json_to_instance (change->json, &row))
    instance_list_put (change->standin->instances, &row);
  uv_close ((uv_handle_t *)timer, on_change_closed);
}

static void
schedule_change (platform_standin_t *standin, json_t *json)
{
  instance_change_t *change = mem_zalloc (sizeof *change);

  change->standin = standin;
  change->json = json_incref (json);
  uv_timer_init (standin->loop, &change->timer);
  change->timer.data = change;
  uv_timer_start (&change->timer, on_change_due, standin->faults.lag_ms, 0);
}

/* Accept one instance, or {"instances":[...]}.  */
static void
serve_instance_change (platform_standin_t *standin, httpd_req_t *req)
{
  json_t *json = parse_json_body (req);
  json_t *list;
  json_t *item;
  size_t index;
  instance_row_t row;
  bool is_valid = true;

  if (json == NULL)
    return;
  list = json_object_get (json, "instances");
  if (list == NULL)
    list = json_pack ("[O]", json);
  else
    json_incref (list);
  json_array_foreach (list, index, item) is_valid
      = is_valid && json_to_instance (item, &row);
  if (is_valid)
    json_array_foreach (list, index, item) schedule_change (standin, item);
  json_decref (list);
  json_decref (json);
  if (is_valid)
    httpd_reply_json (req, 200, STR ("{}"));
  else
    httpd_reply_json (
        req, 400,
        STR ("{\"error\":\"an instance needs a name and a state\"}"));
}

static void
serve_rate (platform_standin_t *standin, httpd_req_t *req)
{
  const faults_t *faults = &standin->faults;
  buf_t body = BUF_NULL;

  standin->counts.rates++;
  if (faults->rating == RATING_DOWN)
    {
      httpd_reply_json (req, 503, STR ("{\"error\":\"down\"}"));
      return;
    }
  json_t *json = parse_json_body (req);
  if (json == NULL)
    return;
  double score = rating_parse_marker (json_get_utf8 (json, "answer"));
  json_decref (json);
  score += (rng_double (&standin->rng) * 2 - 1) * faults->rating_noise;
  score = score < 0 ? 0 : score > 1 ? 1 : score;
  if (faults->rating == RATING_INVERTED)
    score = 1 - score;
  json_write_and_free (json_pack ("{s:f}", "score", score), &body);
  reply (standin, req,
         faults->rating == RATING_SLOW ? faults->rating_slow_ms : 0, 200, true,
         &body);
}

/* Set *VALUE to the index in CHOICES of the string that JSON has under NAME.
   Without such a field, leave *VALUE.  Return false if the value is not in
   CHOICES.  */
static bool
set_enum (const json_t *json, const char *name, const char *const *choices,
          int *value)
{
  str_t text = json_get_utf8 (json, name);

  if (text.ptr == NULL)
    return json_object_get (json, name) == NULL;
  for (int i = 0; choices[i] != NULL; i++)
    if (str_eq (text, str_from (choices[i])))
      {
        *value = i;
        return true;
      }
  return false;
}

static void
set_u64 (const json_t *json, const char *name, uint64_t *value)
{
  if (json_is_number (json_object_get (json, name)))
    *value = (uint64_t)json_number_value (json_object_get (json, name));
}

static void
set_double (const json_t *json, const char *name, double *value)
{
  if (json_is_number (json_object_get (json, name)))
    *value = json_number_value (json_object_get (json, name));
}

/* Set the fields of FAULTS that JSON has.  Return false and change nothing if
   an outage or rating mode is unknown.  */
static bool
set_faults (faults_t *faults, const json_t *json)
{
  static const char *const outages[] = { "none", "refuse", "silent", NULL };
  static const char *const ratings[] = { "ok", "down", "slow", "wrong", NULL };
  int outage = faults->outage;
  int rating = faults->rating;

  if (!set_enum (json, "outage", outages, &outage)
      || !set_enum (json, "rating", ratings, &rating))
    return false;
  faults->outage = (outage_t)outage;
  faults->rating = (rating_mode_t)rating;
  set_u64 (json, "slow_ms", &faults->slow_ms);
  set_u64 (json, "write_limit", &faults->write_limit);
  set_u64 (json, "read_limit", &faults->read_limit);
  set_u64 (json, "rating_slow_ms", &faults->rating_slow_ms);
  set_u64 (json, "lag_ms", &faults->lag_ms);
  set_double (json, "lost_reply_share", &faults->lost_reply_share);
  set_double (json, "rating_noise", &faults->rating_noise);
  return true;
}

static void
serve_faults (platform_standin_t *standin, httpd_req_t *req)
{
  json_t *json = parse_json_body (req);

  if (json == NULL)
    return;
  bool is_valid = set_faults (&standin->faults, json);
  json_decref (json);
  if (is_valid)
    httpd_reply_json (req, 200, STR ("{}"));
  else
    httpd_reply_json (req, 400, STR ("{\"error\":\"unknown fault\"}"));
}

static void
serve_stats (platform_standin_t *standin, httpd_req_t *req)
{
  json_t *json = json_object ();
  buf_t body = BUF_NULL;

#define X(name)                                                               \
  json_object_set_new (json, #name,                                           \
                       json_integer ((json_int_t)standin->counts.name));
  COUNTS (X)
#undef X
  json_object_set_new (json, "rows",
                       json_integer ((json_int_t)table_size (standin->table)));
  json_write_and_free (json, &body);
  reply (standin, req, 0, 200, true, &body);
}

typedef void (*serve_t) (platform_standin_t *standin, httpd_req_t *req);

typedef enum
{
  ROUTE_CONTROL, /* Used by the tests; not subject to faults.  */
  ROUTE_READ,
  ROUTE_WRITE,
  ROUTE_RATE
} route_kind_t;

typedef struct
{
  const char *method;
  const char *path;
  route_kind_t kind;
  serve_t serve;
} route_t;

static const route_t routes[] = {
  { "POST", "/v1/txn", ROUTE_WRITE, serve_txn },
  { "POST", "/v1/get", ROUTE_READ, serve_get },
  { "POST", "/v1/scan", ROUTE_READ, serve_scan },
  { "GET", "/v1/object", ROUTE_READ, serve_object },
  { "PUT", "/v1/object", ROUTE_WRITE, serve_object },
  { "GET", "/v1/instances", ROUTE_READ, serve_instances },
  { "POST", "/v1/rate", ROUTE_RATE, serve_rate },
  { "POST", "/instances", ROUTE_CONTROL, serve_instance_change },
  { "POST", "/faults", ROUTE_CONTROL, serve_faults },
  { "GET", "/stats", ROUTE_CONTROL, serve_stats },
};

static const route_t *
find_route (const httpd_req_t *req)
{
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    if (str_eq (httpd_method (req), str_from (routes[i].method))
        && str_eq (httpd_path (req), str_from (routes[i].path)))
      return &routes[i];
  return NULL;
}

/* Apply outages and rate limits to REQ.  Return true if REQ was refused or is
   never to be answered.  */
static bool
apply_store_fault (platform_standin_t *standin, httpd_req_t *req,
                   route_kind_t kind)
{
  const faults_t *faults = &standin->faults;
  bool is_write = kind == ROUTE_WRITE;

  if (faults->outage == OUTAGE_SILENT)
    return true;
  if (faults->outage == OUTAGE_REFUSE)
    {
      standin->counts.refused++;
      httpd_reply_json (req, 503, STR ("{\"error\":\"down\"}"));
      return true;
    }
  if (admit_call (standin,
                  is_write ? &standin->write_window : &standin->read_window,
                  is_write ? faults->write_limit : faults->read_limit))
    return false;
  standin->counts.limited++;
  httpd_reply_json (req, 429, STR ("{\"error\":\"too many calls\"}"));
  return true;
}

static void
handle_request (void *arg, httpd_req_t *req)
{
  platform_standin_t *standin = arg;
  const route_t *route = find_route (req);

  if (route == NULL)
    {
      httpd_reply_json (req, 404, STR ("{\"error\":\"no such path\"}"));
      return;
    }
  if (route->kind != ROUTE_CONTROL)
    standin->counts.calls++;
  if ((route->kind == ROUTE_READ || route->kind == ROUTE_WRITE)
      && apply_store_fault (standin, req, route->kind))
    return;
  if (route->kind == ROUTE_READ)
    standin->counts.reads++;
  route->serve (standin, req);
}

static const char help_text[]
    = "Usage: standin_platform [OPTION]...\n"
      "Stand-in for the platform: table, objects, instances and ratings.\n"
      "Prints `listening PORT' when ready; serves until terminated.\n"
      "\n"
      "  --listen=HOST:PORT  address (default 127.0.0.1:0)\n"
      "  --seed=N            seed of noise and lost replies (default 1)\n"
      "  --faults=JSON       as POST /faults: outage none|refuse|silent,\n"
      "                      slow_ms, lost_reply_share, write_limit,\n"
      "                      read_limit, rating ok|down|slow|wrong,\n"
      "                      rating_slow_ms, rating_noise, lag_ms\n"
      "  --instance=JSON     add to the instance list, may be repeated\n"
      "  --help              print this and exit\n"
      "  --version           print the version and exit\n"
      "\n"
      "POST /faults, POST /instances and GET /stats are for tests.\n";

/* Apply the JSON text of --instance (IS_INSTANCE) or --faults.  Return false
   if it is not valid.  */
static bool
apply_json_option (platform_standin_t *standin, const char *text,
                   bool is_instance)
{
  json_t *json = json_loads (text, 0, NULL);
  instance_row_t row;
  bool is_valid = json_is_object (json);

  if (is_valid && is_instance)
    {
      is_valid = json_to_instance (json, &row);
      if (is_valid)
        instance_list_put (standin->instances, &row);
    }
  else if (is_valid)
    is_valid = set_faults (&standin->faults, json);
  json_decref (json);
  return is_valid;
}

typedef enum
{
  OPTIONS_OK,
  OPTIONS_EXIT,
  OPTIONS_INVALID
} options_result_t;

static options_result_t
parse_options (platform_standin_t *standin, int argc, char **argv,
               const char **listen)
{
  static const struct option options[] = {
    { "listen", required_argument, NULL, 'l' },
    { "seed", required_argument, NULL, 's' },
    { "faults", required_argument, NULL, 'f' },
    { "instance", required_argument, NULL, 'i' },
    { "help", no_argument, NULL, 'h' },
    { "version", no_argument, NULL, 'v' },
    { NULL, 0, NULL, 0 },
  };
  int option;

  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 'l':
        *listen = optarg;
        break;
      case 's':
        standin->rng = rng_make (strtoull (optarg, NULL, 10));
        break;
      case 'f':
      case 'i':
        if (!apply_json_option (standin, optarg, option == 'i'))
          {
            fprintf (stderr, "standin_platform: invalid JSON option: %s\n",
                     optarg);
            return OPTIONS_INVALID;
          }
        break;
      case 'h':
        fputs (help_text, stdout);
        return OPTIONS_EXIT;
      case 'v':
        puts ("standin_platform " VH_VERSION);
        return OPTIONS_EXIT;
      default:
        return OPTIONS_INVALID;
      }
  return OPTIONS_OK;
}

int
main (int argc, char **argv)
{
  const httpd_options_t options = { .body_limit = MAX_BODY_BYTES };
  const char *listen = "127.0.0.1:0";
  platform_standin_t standin
      = { .loop = uv_default_loop (), .rng = rng_make (1) };

  standin.table = table_create ();
  standin.instances = instance_list_create ();
  standin.objects = map_create ();
  options_result_t result = parse_options (&standin, argc, argv, &listen);
  if (result != OPTIONS_OK)
    return result == OPTIONS_EXIT ? EXIT_SUCCESS : 2;
  /* A write to a connection that the client has closed must return EPIPE
     instead of ending the process.  */
  signal (SIGPIPE, SIG_IGN);
  if (httpd_create (standin.loop, str_from (listen), &options, handle_request,
                    &standin, &standin.server)
      != VH_OK)
    {
      fprintf (stderr, "standin_platform: cannot listen on %s\n", listen);
      return EXIT_FAILURE;
    }
  printf ("listening %u\n", httpd_port (standin.server));
  fflush (stdout);
  uv_run (standin.loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}
