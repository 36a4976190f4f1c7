/* Processes before misbehaving clients.  Failure: such clients end a process,
   which runs out of memory or of descriptors, or keep it from serving others.

   The bounds are those of the smallest machine that is announced: 88 MB and
   3,075 descriptors.  The sanitizers need several times the memory of a
   process, so its bound is checked without them.  */

#include "client_crowd.h"
#include "gateway_processes.h"
#include "rawhttp.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  MEMORY_MAX = 88 * 1000 * 1000,
  DESCRIPTORS_MAX = 3075,
  CONNECTIONS = 60,
  MANY_CONNECTIONS = 3600,
  /* Below the limit of the configuration, which is the second.  */
  BODY_BYTES = 4000000,
  LARGEST_BODY_BYTES = 4194304,
  SMALL_BODY_BYTES = 300,
  LARGE_CHUNK_BYTES = 65536,
  SMALL_CHUNK_BYTES = 16,
  HEAD_BYTES = 16384,
  CROWD_MS = 6000,
  MANY_CROWD_MS = 9000,
  STOP_CROWD_MS = 8000,
  /* Time after which the ordinary requests that are answered beside the crowd
     count.  */
  SETTLE_MS = 2000,
  PAUSE_MS = 1000,
  STEP_MS = 50,
  ANSWER_WAIT_MS = 20000,
  ORDINARY_PER_S = 10
};

static const gateway_processes_options_t options
    = { .gateways = 1,
        .instances = { [SERVICE_APP] = 3, [SERVICE_ENGINE] = 1 },
        .requests_per_s = { [SERVICE_APP] = ORDINARY_PER_S },
        .budget = { .ratio = 0.9, .slack = 58, .window_ms = 10000 } };

#ifdef __SANITIZE_ADDRESS__
static const bool checks_memory = false;
#else
static const bool checks_memory = true;
#endif

/* Path of a route of the gateway, one that no route has, and one of a
   standalone process.  */
#define ROUTE_PATH "/read/1"
#define NO_ROUTE_PATH "/none/1"
#define STANDALONE_PATH "/v1/chat/completions"

/* Bytes that crowds send; allocated once.  */
static buf_t bodies[8];
static size_t body_count;

/* Return a request for PATH with a body of ANNOUNCED bytes of which SENT bytes
   follow.  */
static str_t
announced_body (const char *path, size_t announced, size_t sent)
{
  buf_t *out = &bodies[body_count++];
  char framing[48];

  snprintf (framing, sizeof framing, "Content-Length: %zu", announced);
  client_crowd_add_head (out, path, framing);
  buf_reserve (out, sent);
  memset (out->ptr + out->len, 'x', sent);
  out->len += sent;
  return buf_str (out);
}

/* Return a request for PATH with a body of LEN bytes in chunks of CHUNK_LEN.
   HEAD_LEN is set to the length of its head.  */
static str_t
chunked_body (const char *path, size_t len, size_t chunk_len, size_t *head_len)
{
  buf_t *out = &bodies[body_count++];

  client_crowd_add_head (out, path, "Transfer-Encoding: chunked");
  *head_len = out->len;
  client_crowd_add_chunks (out, len, chunk_len);
  return buf_str (out);
}

/* Return the begin of a head of HEAD_BYTES without its last line.  */
static str_t
incomplete_head (void)
{
  buf_t *out = &bodies[body_count++];
  char line[1025];

  memset (line, 'a', sizeof line);
  line[sizeof line - 1] = '\0';
  buf_append_str (out, STR ("GET /read/1 HTTP/1.1\r\nHost: desk.example\r\n"));
  for (int i = 0; out->len + sizeof line + 16 < HEAD_BYTES; i++)
    buf_printf (out, "x-%d: %s\r\n", i, line);
  return buf_str (out);
}

static void
free_bodies (void)
{
  while (body_count > 0)
    buf_free (&bodies[--body_count]);
}

/* The crowds.  */

static crowd_part_t
announced_crowd (const char *path)
{
  return (crowd_part_t){
    .connections = CONNECTIONS,
    .bytes = announced_body (path, BODY_BYTES, BODY_BYTES - 1),
    .is_returning = true,
  };
}

static crowd_part_t
chunked_crowd (const char *path, size_t chunk_len)
{
  size_t head_len;

  return (crowd_part_t){
    .connections = CONNECTIONS,
    .bytes = chunked_body (path, BODY_BYTES, chunk_len, &head_len),
    .is_returning = true,
  };
}

static crowd_part_t
endless_chunks_crowd (const char *path)
{
  crowd_part_t part
      = { .connections = CONNECTIONS, .repeats = true, .is_returning = true };

  part.bytes = chunked_body (path, LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES,
                             &part.repeat_from);
  return part;
}

static crowd_part_t
too_long_crowd (const char *path)
{
  crowd_part_t part = {
    .connections = CONNECTIONS,
    .bytes = announced_body (path, 400000000, LARGE_CHUNK_BYTES),
    .repeats = true,
    .is_returning = true,
  };

  part.repeat_from = part.bytes.len - LARGE_CHUNK_BYTES;
  return part;
}

static crowd_part_t
unread_responses_crowd (const char *path)
{
  return (crowd_part_t){
    .connections = CONNECTIONS,
    .bytes = announced_body (path, BODY_BYTES, BODY_BYTES),
    .repeats = true,
    .is_silent = true,
    .is_returning = true,
  };
}

static crowd_part_t
trickling_crowd (const char *path)
{
  return (crowd_part_t){
    .connections = CONNECTIONS,
    .bytes = announced_body (path, BODY_BYTES, BODY_BYTES / 4),
    .trickle_ms = 20,
    .is_returning = true,
  };
}

static crowd_part_t
ending_at_once_crowd (const char *path)
{
  return (crowd_part_t){
    .connections = CONNECTIONS,
    .bytes = announced_body (path, BODY_BYTES, BODY_BYTES - 1),
    .last = STR ("x"),
    .hold_ms = CROWD_MS / 2,
    .is_returning = true,
  };
}

static crowd_part_t
many_bodies_crowd (const char *path)
{
  return (crowd_part_t){
    .connections = MANY_CONNECTIONS,
    .bytes = announced_body (path, SMALL_BODY_BYTES, SMALL_BODY_BYTES - 1),
    .is_returning = true,
  };
}

static crowd_part_t
many_heads_crowd (void)
{
  return (crowd_part_t){
    .connections = MANY_CONNECTIONS,
    .bytes = incomplete_head (),
    .is_returning = true,
  };
}

/* Checks.  */

static void
check_process (pid_t pid)
{
  size_t descriptors = process_descriptors (pid);
  size_t memory = process_peak_memory (pid);

  ck_assert_uint_le (descriptors, DESCRIPTORS_MAX);
  if (checks_memory)
    ck_assert_msg (memory <= MEMORY_MAX, "peak of %zu bytes of memory",
                   memory);
}

/* Run PARTS against GATEWAYS for MS beside ordinary callers, and check that
   one ordinary request is answered afterwards.  */
static void
run_gateway_crowd (gateway_processes_t *gateways, const crowd_part_t *parts,
                   size_t part_count, uint64_t ms)
{
  pid_t pid = gateway_processes_pid (gateways, 0);
  pid_t crowd = client_crowd_start (gateway_processes_host (gateways),
                                    gateway_processes_port (gateways, 0),
                                    parts, part_count, ms);

  gateway_processes_run (gateways, SETTLE_MS);
  size_t answered = gateway_processes_answered (gateways, SERVICE_APP);
  while (client_crowd_is_running (crowd))
    {
      gateway_processes_run (gateways, STEP_MS);
      ck_assert (gateway_processes_is_running (gateways, 0));
      ck_assert_uint_le (process_descriptors (pid), DESCRIPTORS_MAX);
    }
  printf ("peak %zu kB, %zu ordinary requests answered beside the crowd\n",
          process_peak_memory (pid) / 1000,
          gateway_processes_answered (gateways, SERVICE_APP) - answered);
  check_process (pid);
  ck_assert_uint_gt (gateway_processes_answered (gateways, SERVICE_APP),
                     answered);
  answered = gateway_processes_answered (gateways, SERVICE_APP);
  for (int left_ms = ANSWER_WAIT_MS;
       left_ms > 0
       && gateway_processes_answered (gateways, SERVICE_APP) == answered;
       left_ms -= STEP_MS)
    gateway_processes_run (gateways, STEP_MS);
  ck_assert_uint_gt (gateway_processes_answered (gateways, SERVICE_APP),
                     answered);
}

/* Lower the limit of descriptors for processes that are started.  Return that
   of before.  */
static struct rlimit
lower_descriptor_limit (void)
{
  struct rlimit before;
  struct rlimit lowered;

  getrlimit (RLIMIT_NOFILE, &before);
  lowered = before;
  lowered.rlim_cur = DESCRIPTORS_MAX;
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &lowered), 0);
  return before;
}

static gateway_processes_t *
start_gateway (void)
{
  struct rlimit before = lower_descriptor_limit ();
  gateway_processes_t *gateways = gateway_processes_create (&options);
  setrlimit (RLIMIT_NOFILE, &before);
  gateway_processes_run (gateways, PAUSE_MS);
  return gateways;
}

/* Run one crowd of PARTS against a gateway.  */
static void
check_gateway (const crowd_part_t *parts, size_t part_count, uint64_t ms)
{
  gateway_processes_t *gateways = start_gateway ();

  run_gateway_crowd (gateways, parts, part_count, ms);
  gateway_processes_destroy (gateways, false);
  free_bodies ();
}

/* Failure: bodies that stop short of their end are kept in any number.  */
START_TEST (gateway_holds_announced_bodies)
{
  crowd_part_t part = announced_crowd (ROUTE_PATH);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: the bodies of requests that no route takes are kept.  */
START_TEST (gateway_holds_bodies_without_route)
{
  crowd_part_t part = announced_crowd (NO_ROUTE_PATH);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: chunked bodies that stop short of their end are kept in any
   number.  */
START_TEST (gateway_holds_large_chunks)
{
  crowd_part_t part = chunked_crowd (ROUTE_PATH, LARGE_CHUNK_BYTES);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: the framing of small chunks takes memory beside the bodies.  */
START_TEST (gateway_holds_small_chunks)
{
  crowd_part_t part = chunked_crowd (ROUTE_PATH, SMALL_CHUNK_BYTES);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: chunked bodies grow without end.  */
START_TEST (gateway_holds_endless_chunks)
{
  crowd_part_t part = endless_chunks_crowd (ROUTE_PATH);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: a body that is announced as too large is received.  */
START_TEST (gateway_holds_bodies_over_the_limit)
{
  crowd_part_t part = too_long_crowd (ROUTE_PATH);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: requests are kept while their clients read no response.  */
START_TEST (gateway_holds_unread_responses)
{
  crowd_part_t part = unread_responses_crowd (ROUTE_PATH);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: a body that grows by a byte now and then is kept.  */
START_TEST (gateway_holds_trickling_bodies)
{
  crowd_part_t part = trickling_crowd (ROUTE_PATH);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: bodies that are complete are copied when they are sent.  */
START_TEST (gateway_holds_bodies_that_end_at_once)
{
  crowd_part_t part = ending_at_once_crowd (ROUTE_PATH);

  check_gateway (&part, 1, CROWD_MS);
}
END_TEST

/* Failure: small requests that never end take all connections.  */
START_TEST (gateway_holds_many_bodies)
{
  crowd_part_t part = many_bodies_crowd (ROUTE_PATH);

  check_gateway (&part, 1, MANY_CROWD_MS);
}
END_TEST

/* Failure: heads that never end take all connections and much memory.  */
START_TEST (gateway_holds_many_heads)
{
  crowd_part_t part = many_heads_crowd ();

  check_gateway (&part, 1, MANY_CROWD_MS);
}
END_TEST

/* Failure: memory that one crowd leaves behind adds to that of the next, which
   sends other sizes.  */
START_TEST (gateway_holds_second_crowd)
{
  gateway_processes_t *gateways = start_gateway ();
  crowd_part_t first = announced_crowd (ROUTE_PATH);
  crowd_part_t second[] = {
    many_heads_crowd (),
    chunked_crowd (ROUTE_PATH, LARGE_CHUNK_BYTES),
    trickling_crowd (ROUTE_PATH),
    unread_responses_crowd (ROUTE_PATH),
  };

  second[0].connections = MANY_CONNECTIONS / 2;
  run_gateway_crowd (gateways, &first, 1, CROWD_MS);
  gateway_processes_run (gateways, PAUSE_MS);
  run_gateway_crowd (gateways, second, sizeof second / sizeof second[0],
                     MANY_CROWD_MS);
  gateway_processes_destroy (gateways, false);
  free_bodies ();
}
END_TEST

/* Run WORK, which gets the address of the gateway, in a process of its own
   while GATEWAYS run.  Return its exit status.  */
static int
run_beside (gateway_processes_t *gateways,
            int (*work) (const char *host, uint16_t port))
{
  pid_t pid = fork ();
  int status;

  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    _exit (work (gateway_processes_host (gateways),
                 gateway_processes_port (gateways, 0)));
  while (waitpid (pid, &status, WNOHANG) == 0)
    gateway_processes_run (gateways, STEP_MS);
  ck_assert (WIFEXITED (status));
  return WEXITSTATUS (status);
}

/* Failure: memory of many small requests that have left is kept, and that of
   large ones comes on top of it.  */
START_TEST (gateway_holds_bodies_after_heads)
{
  gateway_processes_t *gateways = start_gateway ();
  crowd_part_t heads = many_heads_crowd ();
  crowd_part_t announced = announced_crowd (ROUTE_PATH);

  run_gateway_crowd (gateways, &heads, 1, CROWD_MS);
  run_gateway_crowd (gateways, &announced, 1, CROWD_MS);
  gateway_processes_destroy (gateways, false);
  free_bodies ();
}
END_TEST

static bool
is_answered (const char *host, uint16_t port, str_t request)
{
  rawhttp_t http = rawhttp_connect (host, port);
  bool is_served;

  rawhttp_send (&http, request);
  is_served = rawhttp_read_all (&http, ANSWER_WAIT_MS) && http.status == 200;
  rawhttp_close (&http);
  return is_served;
}

/* Send the largest body of the configuration, with its length and in chunks.
   Return the number of requests that are not answered with 200.  */
static int
send_largest_bodies (const char *host, uint16_t port)
{
  size_t head_len;
  int failed;
  str_t announced
      = announced_body (ROUTE_PATH, LARGEST_BODY_BYTES, LARGEST_BODY_BYTES);
  buf_t chunked = BUF_NULL;

  buf_append_str (&chunked, chunked_body (ROUTE_PATH, LARGEST_BODY_BYTES,
                                          LARGE_CHUNK_BYTES, &head_len));
  buf_append_str (&chunked, STR ("0\r\n\r\n"));
  failed = !is_answered (host, port, announced)
           + !is_answered (host, port, buf_str (&chunked));
  buf_free (&chunked);
  return failed;
}

/* Failure: the largest body that the configuration allows is refused in
   calm.  */
START_TEST (gateway_serves_largest_bodies_in_calm)
{
  gateway_processes_t *gateways = start_gateway ();

  ck_assert_int_eq (run_beside (gateways, send_largest_bodies), 0);
  check_process (gateway_processes_pid (gateways, 0));
  gateway_processes_destroy (gateways, false);
}
END_TEST

/* Failure: a planned stop does not end while clients send, or do not read.  */
START_TEST (gateway_stops_beside_crowds)
{
  gateway_processes_t *gateways = start_gateway ();
  const crowd_part_t parts[] = {
    announced_crowd (ROUTE_PATH),
    endless_chunks_crowd (ROUTE_PATH),
    unread_responses_crowd (ROUTE_PATH),
  };
  pid_t crowd = client_crowd_start (
      gateway_processes_host (gateways), gateway_processes_port (gateways, 0),
      parts, sizeof parts / sizeof parts[0], STOP_CROWD_MS);

  gateway_processes_run (gateways, SETTLE_MS);
  gateway_processes_signal (gateways, 0, SIGTERM);
  for (int left_ms = ANSWER_WAIT_MS;
       left_ms > 0 && gateway_processes_is_running (gateways, 0);
       left_ms -= STEP_MS)
    gateway_processes_run (gateways, STEP_MS);
  ck_assert (!gateway_processes_is_running (gateways, 0));
  while (client_crowd_is_running (crowd))
    gateway_processes_run (gateways, STEP_MS);
  gateway_processes_destroy (gateways, false);
  free_bodies ();
}
END_TEST

/* A standalone process.  */

typedef struct
{
  harness_t *harness;
  proc_t *proc;
  uint16_t port;
} standalone_t;

static bool
is_models_list_answered (const standalone_t *standalone)
{
  json_t *models = rawhttp_json (harness_host (standalone->harness),
                                 standalone->port, "/v1/models", NULL);
  bool is_answered = models != NULL;

  json_decref (models);
  return is_answered;
}

/* Return whether one ordinary request is answered within ANSWER_WAIT_MS.  */
static bool
is_serving (const standalone_t *standalone)
{
  bool is_answered;

  WAIT_UNTIL (is_models_list_answered (standalone), ANSWER_WAIT_MS,
              &is_answered);
  return is_answered;
}

static standalone_t
start_standalone (void)
{
  standalone_t standalone = { .harness = harness_create () };
  const char *host = harness_host (standalone.harness);
  uint16_t admin = harness_find_free_port (standalone.harness);
  buf_t text = BUF_NULL;

  standalone.port = harness_find_free_port (standalone.harness);
  buf_printf (&text,
              "[process]\nname = standalone-1\nrole = standalone\n"
              "availability-zone = a\nadmin = %s:%u\n[entry]\n"
              "listen = %s:%u\n"
              "[upstream r]\nupstream = %s:1\nserves = m@1\n",
              host, admin, host, standalone.port, host);
  const char *settings = harness_write_file (
      standalone.harness, "standalone.ini", buf_str (&text));
  buf_free (&text);
  standalone.proc
      = harness_start (standalone.harness, "standalone", "bin/vanillahookd",
                       "--settings", settings, NULL);
  ck_assert (is_serving (&standalone));
  return standalone;
}

/* Run one crowd of PART against a standalone process.  */
static void
check_standalone (crowd_part_t part, uint64_t ms)
{
  struct rlimit before = lower_descriptor_limit ();
  standalone_t standalone = start_standalone ();
  pid_t pid = proc_pid (standalone.proc);

  setrlimit (RLIMIT_NOFILE, &before);
  pid_t crowd = client_crowd_start (harness_host (standalone.harness),
                                    standalone.port, &part, 1, ms);
  harness_sleep_ms (SETTLE_MS);
  ck_assert (is_serving (&standalone));
  while (client_crowd_is_running (crowd))
    {
      harness_sleep_ms (STEP_MS);
      ck_assert (proc_is_running (standalone.proc));
      ck_assert_uint_le (process_descriptors (pid), DESCRIPTORS_MAX);
    }
  printf ("peak %zu kB\n", process_peak_memory (pid) / 1000);
  check_process (pid);
  ck_assert (is_serving (&standalone));
  harness_destroy (standalone.harness, false);
  free_bodies ();
}

/* Failure: bodies that stop short of their end are kept in any number.  */
START_TEST (standalone_holds_announced_bodies)
{
  check_standalone (announced_crowd (STANDALONE_PATH), CROWD_MS);
}
END_TEST

/* Failure: chunked bodies that stop short of their end are kept in any
   number.  */
START_TEST (standalone_holds_large_chunks)
{
  check_standalone (chunked_crowd (STANDALONE_PATH, LARGE_CHUNK_BYTES),
                    CROWD_MS);
}
END_TEST

/* Failure: chunked bodies grow without end.  */
START_TEST (standalone_holds_endless_chunks)
{
  check_standalone (endless_chunks_crowd (STANDALONE_PATH), CROWD_MS);
}
END_TEST

/* Failure: requests are kept while their clients read no response.  */
START_TEST (standalone_holds_unread_responses)
{
  check_standalone (unread_responses_crowd (STANDALONE_PATH), CROWD_MS);
}
END_TEST

/* Failure: small requests that never end take all connections.  */
START_TEST (standalone_holds_many_bodies)
{
  check_standalone (many_bodies_crowd (STANDALONE_PATH), MANY_CROWD_MS);
}
END_TEST

/* A standalone process with an engine, and the team key of its lists.  */

#define CHAT_KEY "coast-office-demo-key"
#define CHAT_BEGIN                                                            \
  "{\"model\":\"draft-small\",\"max_tokens\":2,\"messages\":[{\"role\":"      \
  "\"user\",\"content\":\""

/* Return a request to PATH with HEADERS.  Its body has up to LEN bytes: FILL
   again and again between BEGIN and END.  */
static str_t
team_request (const char *path, const char *headers, const char *begin,
              const char *fill, const char *end, size_t len)
{
  buf_t *out = &bodies[body_count++];
  size_t fill_len = strlen (fill);
  size_t count = (len - strlen (begin) - strlen (end)) / fill_len;

  buf_printf (out,
              "POST %s HTTP/1.1\r\nHost: a\r\n"
              "Authorization: Bearer " CHAT_KEY "\r\n%sContent-Length: %zu\r\n"
              "\r\n%s",
              path, headers, strlen (begin) + count * fill_len + strlen (end),
              begin);
  for (size_t i = 0; i < count; i++)
    buf_append (out, fill, fill_len);
  buf_append_str (out, str_from (end));
  return buf_str (out);
}

static str_t
chat_request (const char *begin, const char *fill, const char *end, size_t len)
{
  return team_request (STANDALONE_PATH, "", begin, fill, end, len);
}

/* Return whether a small chat request gets its answer within
   ANSWER_WAIT_MS.  */
static bool
is_chat_served (const standalone_t *standalone)
{
  str_t request = chat_request (CHAT_BEGIN, "x", "\"}]}", 100);
  bool is_served;

  WAIT_UNTIL (is_answered (harness_host (standalone->harness),
                           standalone->port, request),
              ANSWER_WAIT_MS, &is_served);
  return is_served;
}

/* Start a standalone process with an engine, whose tokens take TOKEN_MS, and a
   service.  */
static standalone_t
start_standalone_with_upstreams (const char *token_ms)
{
  standalone_t standalone = { .harness = harness_create () };
  const char *host = harness_host (standalone.harness);
  uint16_t admin = harness_find_free_port (standalone.harness);
  uint16_t engine = harness_find_free_port (standalone.harness);
  uint16_t service = harness_find_free_port (standalone.harness);
  char *lists = realpath ("examples/lists.ini", NULL);
  char engine_listen[64];
  char service_listen[64];
  char token_ms_arg[32];
  buf_t text = BUF_NULL;

  ck_assert_ptr_nonnull (lists);
  standalone.port = harness_find_free_port (standalone.harness);
  snprintf (engine_listen, sizeof engine_listen, "--listen=%s:%u", host,
            engine);
  snprintf (token_ms_arg, sizeof token_ms_arg, "--token-ms=%s", token_ms);
  snprintf (service_listen, sizeof service_listen, "--listen=%s:%u", host,
            service);
  harness_start (standalone.harness, "engine", "tests/standin_engine",
                 engine_listen, "--version=draft-small@3:0.83", token_ms_arg,
                 "--slots=64", NULL);
  harness_start (standalone.harness, "service", "tests/standin_service",
                 service_listen, NULL);
  buf_printf (&text,
              "[process]\nname = standalone-1\nrole = standalone\n"
              "availability-zone = nairobi-a\nadmin = %s:%u\n"
              "[entry]\nlisten = %s:%u\n[configuration]\nfile = %s\n"
              "[upstream r]\nupstream = %s:%u\n"
              "serves = draft-small@3, draft-large@7\n"
              "[upstream s]\nupstream = %s:%u\nkind = service\n"
              "serves = disbursements\n",
              host, admin, host, standalone.port, lists, host, engine, host,
              service);
  standalone.proc = harness_start (
      standalone.harness, "standalone", "bin/vanillahookd", "--settings",
      harness_write_file (standalone.harness, "standalone.ini",
                          buf_str (&text)),
      NULL);
  buf_free (&text);
  free (lists);
  ck_assert (is_chat_served (&standalone));
  return standalone;
}

/* Run a crowd that sends REQUEST against a standalone process with an engine
   that takes its time.  */
static void
check_standalone_with_engine (str_t request)
{
  standalone_t standalone = start_standalone_with_upstreams ("200");
  const crowd_part_t part
      = { .connections = CONNECTIONS, .bytes = request, .is_returning = true };
  pid_t pid = proc_pid (standalone.proc);
  pid_t crowd = client_crowd_start (harness_host (standalone.harness),
                                    standalone.port, &part, 1, CROWD_MS);

  while (client_crowd_is_running (crowd))
    {
      harness_sleep_ms (STEP_MS);
      ck_assert (proc_is_running (standalone.proc));
    }
  printf ("peak %zu kB\n", process_peak_memory (pid) / 1000);
  check_process (pid);
  ck_assert (is_chat_served (&standalone));
  harness_destroy (standalone.harness, false);
  free_bodies ();
}

/* Failure: each body is there several times on its way to the engine.  */
START_TEST (standalone_holds_whole_bodies)
{
  check_standalone_with_engine (
      chat_request (CHAT_BEGIN, "x", "\"}]}", BODY_BYTES));
}
END_TEST

/* Failure: a body of many JSON values takes many times its length.  */
START_TEST (standalone_holds_many_values)
{
  check_standalone_with_engine (
      chat_request (CHAT_BEGIN "x\"}],\"stop\":[0", ",0", "]}", BODY_BYTES));
}
END_TEST

/* Failure: text with many commas, which is not JSON or is one string of it, is
   refused as if it took the memory of as many JSON values.  */
START_TEST (standalone_serves_commas)
{
  standalone_t standalone = start_standalone_with_upstreams ("1");
  const char *host = harness_host (standalone.harness);
  pid_t pid = proc_pid (standalone.proc);

  ck_assert (
      is_answered (host, standalone.port,
                   chat_request (CHAT_BEGIN, "1,", "\"}]}", BODY_BYTES)));
  ck_assert (is_answered (host, standalone.port,
                          team_request ("/services/disbursements/x",
                                        "Idempotency-Key: commas\r\n", "[1",
                                        ",1", "]", BODY_BYTES)));
  check_process (pid);
  harness_destroy (standalone.harness, false);
  free_bodies ();
}
END_TEST

/* Failure: the body of the largest size does not fit into the call to the
   sidecar, as it names the version there and not the model.  */
START_TEST (standalone_serves_largest_bodies_in_calm)
{
  standalone_t standalone = start_standalone_with_upstreams ("1");
  const char *host = harness_host (standalone.harness);
  pid_t pid = proc_pid (standalone.proc);

  ck_assert (is_answered (
      host, standalone.port,
      chat_request (CHAT_BEGIN, "x", "\"}]}", LARGEST_BODY_BYTES)));
  ck_assert (is_answered (host, standalone.port,
                          team_request ("/services/disbursements/x",
                                        "Idempotency-Key: largest-body\r\n",
                                        "x", "x", "x", LARGEST_BODY_BYTES)));
  check_process (pid);
  harness_destroy (standalone.harness, false);
  free_bodies ();
}
END_TEST

static void
add_case (Suite *suite, const char *name, const TTest *test)
{
  TCase *tcase = tcase_create (name);

  tcase_set_timeout (tcase, 120);
  tcase_add_test (tcase, test);
  suite_add_tcase (suite, tcase);
}

int
main (void)
{
  Suite *suite = suite_create ("client crowds");

  add_case (suite, "gateway, announced", gateway_holds_announced_bodies);
  add_case (suite, "gateway, no route", gateway_holds_bodies_without_route);
  add_case (suite, "gateway, large chunks", gateway_holds_large_chunks);
  add_case (suite, "gateway, small chunks", gateway_holds_small_chunks);
  add_case (suite, "gateway, endless chunks", gateway_holds_endless_chunks);
  add_case (suite, "gateway, over the limit",
            gateway_holds_bodies_over_the_limit);
  add_case (suite, "gateway, unread responses",
            gateway_holds_unread_responses);
  add_case (suite, "gateway, trickle", gateway_holds_trickling_bodies);
  add_case (suite, "gateway, end at once",
            gateway_holds_bodies_that_end_at_once);
  add_case (suite, "gateway, many bodies", gateway_holds_many_bodies);
  add_case (suite, "gateway, many heads", gateway_holds_many_heads);
  add_case (suite, "gateway, second crowd", gateway_holds_second_crowd);
  add_case (suite, "gateway, bodies after heads",
            gateway_holds_bodies_after_heads);
  add_case (suite, "gateway, largest bodies",
            gateway_serves_largest_bodies_in_calm);
  add_case (suite, "gateway, stop", gateway_stops_beside_crowds);
  add_case (suite, "standalone, announced", standalone_holds_announced_bodies);
  add_case (suite, "standalone, large chunks", standalone_holds_large_chunks);
  add_case (suite, "standalone, endless chunks",
            standalone_holds_endless_chunks);
  add_case (suite, "standalone, unread responses",
            standalone_holds_unread_responses);
  add_case (suite, "standalone, many bodies", standalone_holds_many_bodies);
  add_case (suite, "standalone, whole bodies", standalone_holds_whole_bodies);
  add_case (suite, "standalone, many values", standalone_holds_many_values);
  add_case (suite, "standalone, commas", standalone_serves_commas);
  add_case (suite, "standalone, largest bodies",
            standalone_serves_largest_bodies_in_calm);
  return suite_run (suite);
}
