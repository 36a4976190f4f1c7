#include "fake_entry.h"

#include "base/mem.h"
#include "conf/snapshot.h"

#include <arpa/inet.h>
#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  REQUEST_BYTES_MAX = 1 << 20
};

/* Send a response with STATUS and BODY that announces the end of the
   connection.  */
static void
send_response (int fd, int status, const char *body)
{
  buf_t out = BUF_NULL;

  buf_printf (&out,
              "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
              "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
              status, strlen (body), body);
  for (size_t sent = 0; sent < out.len;)
    {
      ssize_t n = send (fd, out.ptr + sent, out.len - sent, MSG_NOSIGNAL);
      if (n <= 0)
        break;
      sent += (size_t)n;
    }
  buf_free (&out);
}

static void
send_json (int fd, int status, json_t *root)
{
  char *body = json_dumps (root, JSON_COMPACT);

  send_response (fd, status, body);
  free (body);
  json_decref (root);
}

/* Read one request into IN and set BODY to its body.  Return false if the
   connection ends early.  */
static bool
read_request (int fd, buf_t *in, str_t *body)
{
  char bytes[4096];
  char *end = NULL;
  size_t request_len = SIZE_MAX;

  while (in->len < request_len && in->len < REQUEST_BYTES_MAX)
    {
      ssize_t n = recv (fd, bytes, sizeof bytes, 0);
      if (n <= 0)
        return false;
      buf_append (in, bytes, (size_t)n);
      buf_reserve (in, 1);
      in->ptr[in->len] = '\0';
      if (end == NULL && (end = strstr (in->ptr, "\r\n\r\n")) != NULL)
        {
          const char *length = strcasestr (in->ptr, "content-length:");
          size_t head = (size_t)(end - in->ptr) + 4;
          request_len = head
                        + (length != NULL && length < end
                               ? strtoul (length + 15, NULL, 10)
                               : 0);
          *body = str_make (NULL, head);
        }
    }
  size_t head = body->len;
  *body = str_make (in->ptr + head, in->len - head);
  return true;
}

static json_t *
make_error (int code, const char *type, const char *message)
{
  return json_pack ("{s:{s:i, s:s, s:s, s:s}}", "error", "code", code, "type",
                    type, "message", message, "outcome", "not-run");
}

static void
make_concurrent_change (fake_entry_t *server)
{
  server->revision++;
  buf_printf (&server->text, "; change %llu by another\n",
              (unsigned long long)server->revision);
  snprintf (server->author, sizeof server->author, "amina");
}

/* Send the reply to a configuration that is not valid.  */
static void
send_validation_errors (int fd, const conf_errors_t *errors)
{
  json_t *root = make_error (701, "bad_config", "bad");
  json_t *list = json_array ();

  for (size_t i = 0; i < errors->count; i++)
    json_array_append_new (
        list, json_pack ("{s:i, s:s, s:s}", "line", errors->items[i].line,
                         "message", errors->items[i].message, "hint", ""));
  json_object_set_new (json_object_get (root, "error"), "errors", list);
  send_json (fd, 422, root);
}

static void
on_post (fake_entry_t *server, int fd, const char *head, str_t body)
{
  const char *if_revision = strstr (head, "if-revision=");
  const char *author = strstr (head, "who=");
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;

  server->post_count++;
  if (server->fault == FAULT_STORE_DOWN)
    {
      send_json (fd, 503,
                 make_error (505, "not_accepted",
                             "The change was not accepted; nothing "
                             "changed."));
      return;
    }
  if (server->fault == FAULT_CONCURRENT_CHANGE
      && server->concurrent_changes-- > 0)
    make_concurrent_change (server);
  if (if_revision == NULL
      || strtoull (if_revision + 12, NULL, 10) != server->revision)
    {
      json_t *root = make_error (507, "stale_revision", "stale");
      json_object_set_new (json_object_get (root, "error"), "revision",
                           json_integer ((json_int_t)server->revision));
      send_json (fd, 409, root);
      return;
    }
  if (snapshot_parse (body, 0, &snapshot, &errors) != VH_OK)
    {
      send_validation_errors (fd, &errors);
      conf_errors_free (&errors);
      return;
    }
  snapshot_unref (snapshot);
  if (strstr (head, "dry-run=1") == NULL)
    {
      server->revision++;
      server->text.len = 0;
      buf_append_str (&server->text, body);
      if (author != NULL)
        snprintf (server->author, sizeof server->author, "%.*s",
                  (int)strcspn (author + 4, "& "), author + 4);
    }
  if (server->fault == FAULT_REPLY_LOST)
    return;
  send_json (fd, 200,
             json_pack ("{s:I}", "revision", (json_int_t)server->revision));
}

static void
on_status (fake_entry_t *server, int fd)
{
  json_t *peers = json_array ();
  uint64_t reported_revision = server->revision;

  if (server->outdated_status_replies > 0)
    {
      server->outdated_status_replies--;
      reported_revision--;
    }
  for (int i = 0; i < SIDECAR_COUNT; i++)
    {
      char name[32];
      char zone[32];
      bool is_last = i == SIDECAR_COUNT - 1;
      snprintf (name, sizeof name, "runner-%d", i);
      snprintf (zone, sizeof zone, "nairobi-%c", 'a' + i % 3);
      json_array_append_new (
          peers,
          json_pack ("{s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:i, s:i, s:[s]}",
                     "name", name, "role", "sidecar", "zone", zone, "state",
                     is_last && server->has_lagging_sidecar ? "silent"
                     : i == 3                               ? "ejected"
                                                            : "live",
                     "revision",
                     (json_int_t)(is_last && server->has_lagging_sidecar
                                      ? FIRST_REVISION - 2
                                      : reported_revision),
                     "heard_ms_ago", 40 + i, "in_flight", i, "limit", 64,
                     "queue", i % 4, "serves", "draft-small@3"));
    }
  send_json (
      fd, 200,
      json_pack (
          "{s:{s:s, s:s, s:s, s:i}, s:I, s:i, s:[{s:s, s:s}, {s:s, s:s}], "
          "s:o, s:[{s:s, s:s, s:s, s:f, s:s}], s:[{s:s, s:s, s:s, s:i}]}",
          "process", "name", "entry-1", "role", "entry", "zone", "nairobi-a",
          "uptime_ms", 7300000, "revision", (json_int_t)server->revision,
          "confirmed_ms_ago", 300, "zones", "name", "nairobi-a", "state", "in",
          "name", "nairobi-d", "state", "out", "peers", peers, "rollouts",
          "version", "draft-small@4", "over", "draft-small@3", "state",
          "paused", "share", 12.5, "reason", "paused by operators",
          "decisions", "task", "draft", "choice", "draft-small@3", "reason",
          "cheapest that meets the target", "count", 420));
}

/* Reply to the GET request whose first line is HEAD.  */
static void
on_get (fake_entry_t *server, int fd, const char *head)
{
  if (strncmp (head, "GET /admin/configuration", 24) == 0)
    send_json (fd, 200,
               json_pack ("{s:I, s:i, s:s%}", "revision",
                          (json_int_t)server->revision, "confirmed_ms_ago",
                          250, "text", server->text.ptr, server->text.len));
  else if (strncmp (head, "GET /admin/status", 17) == 0)
    on_status (server, fd);
  else if (strncmp (head, "GET /admin/history?limit=", 25) == 0)
    send_json (fd, 200,
               json_pack ("[{s:I, s:s, s:I, s:s}]", "revision",
                          (json_int_t)server->revision, "who", server->author,
                          "when_ms", (json_int_t)1764633600000, "delta",
                          "delta 1 0 0 0\n=3\n-weight = 4\n+weight = 5\n"));
  else if (strncmp (head, "GET /admin/report/bill?day=2026-12-01 ", 38) == 0)
    send_json (fd, 200,
               json_pack ("[{s:s, s:s, s:s, s:s, s:i, s:i, s:f}]", "team",
                          "coast-office", "model", "draft-small", "version",
                          "draft-small@3", "day", "2026-12-01", "requests", 7,
                          "tokens", 1900, "cost", 1.5));
  else if (strncmp (head, "GET /admin/report/burn?format=text ", 35) == 0)
    send_response (fd, 200, "drafts  answered  5m 3.00 page\n");
  else if (strncmp (head, "GET /admin/report/burn?format=json ", 35) == 0)
    send_response (fd, 200, "{\"objectives\":[{\"name\":\"drafts\"}]}");
  else if (strncmp (head, "GET /admin/report/burn?format=html ", 35) == 0)
    send_response (fd, 200, "<!doctype html><svg></svg>");
  else
    send_json (fd, 404, make_error (105, "no_route", "no route"));
}

static void
on_connection (fake_entry_t *server, int fd)
{
  buf_t in = BUF_NULL;
  str_t body = STR_NULL;

  if (!read_request (fd, &in, &body))
    goto free_in;
  server->request_count++;
  if (server->fault == FAULT_CLOSE_UNANSWERED
      || server->fault == FAULT_NO_REPLY)
    goto free_in;
  const char *authorization
      = strcasestr (in.ptr, "\r\nauthorization: bearer ");
  if (server->fault == FAULT_NOT_JSON)
    send_response (fd, 200, "<html>");
  else if (server->fault == FAULT_NOT_FOUND)
    send_response (fd, 404, "not here");
  else if (server->fault == FAULT_DRAINING)
    send_json (fd, 503, make_error (304, "draining", "stopping"));
  else if (server->key != NULL
           && (authorization == NULL
               || strncmp (authorization + 24, server->key,
                           strlen (server->key))
                      != 0))
    send_json (fd, 401, make_error (201, "bad_key", "bad key"));
  else if (strncmp (in.ptr, "POST /admin/configuration?", 26) == 0)
    {
      char *end = strchr (in.ptr, '\r');
      *end = '\0';
      on_post (server, fd, in.ptr, body);
    }
  else
    on_get (server, fd, in.ptr);

free_in:
  buf_free (&in);
}

static void *
serve (void *arg)
{
  fake_entry_t *server = arg;

  for (;;)
    {
      int fd = accept (server->fd, NULL, NULL);
      if (fd < 0)
        return NULL;
      pthread_mutex_lock (&server->lock);
      on_connection (server, fd);
      pthread_mutex_unlock (&server->lock);
      if (server->fault == FAULT_NO_REPLY && server->open_fd_count < 8)
        server->open_fds[server->open_fd_count++] = fd;
      else
        close (fd);
    }
}

void
fake_entry_start (fake_entry_t *server)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  *server = (fake_entry_t){ .revision = FIRST_REVISION, .author = "amina" };
  ck_assert_int_eq (conf_read_file (CONFIGURATION_PATH, &server->text), VH_OK);
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (server->fd, (struct sockaddr *)&address, len), 0);
  ck_assert_int_eq (listen (server->fd, 16), 0);
  getsockname (server->fd, (struct sockaddr *)&address, &len);
  snprintf (server->address, sizeof server->address, "127.0.0.1:%d",
            ntohs (address.sin_port));
  pthread_mutex_init (&server->lock, NULL);
  pthread_create (&server->thread, NULL, serve, server);
}

void
fake_entry_stop (fake_entry_t *server)
{
  shutdown (server->fd, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->fd);
  for (int i = 0; i < server->open_fd_count; i++)
    close (server->open_fds[i]);
  pthread_mutex_destroy (&server->lock);
  buf_free (&server->text);
}
