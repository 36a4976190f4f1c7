#define _GNU_SOURCE
#include "lab.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  GATEWAYS_MAX = 8,
  ROWS_MAX = 4096,
  HEAD_MAX = 65536,
  HEARTBEAT_MS = 1200
};

static FILE *record_file;
static int null_fd;
static char work_dir[512];
static bool is_trouble;
static double start_ms;
static pid_t started_pids[GATEWAYS_MAX];
static size_t started_count;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double
clock_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1000 + (double)now.tv_nsec / 1e6;
}

double
lab_ms (void)
{
  return clock_now_ms () - start_ms;
}

void
lab_sleep_ms (double ms)
{
  struct timespec time = { (time_t)(ms / 1000),
                           (long)((ms - (double)(time_t)(ms / 1000) * 1000)
                                  * 1e6) };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

static void
kill_started (void)
{
  for (size_t i = 0; i < started_count; i++)
    if (started_pids[i] > 0)
      kill (started_pids[i], SIGKILL);
}

static void
on_alarm (int signum)
{
  (void)signum;
  kill_started ();
  _exit (EXIT_COULD_NOT_RUN);
}

void
lab_init (const char *record, const char *dir, unsigned limit_s)
{
  const char *trouble = getenv ("TROUBLE");

  start_ms = clock_now_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  signal (SIGTERM, on_alarm);
  signal (SIGINT, on_alarm);
  alarm (limit_s);
  null_fd = open ("/dev/null", O_RDWR | O_CLOEXEC);
  record_file = fopen (record, "w");
  if (record_file == NULL)
    _exit (EXIT_COULD_NOT_RUN);
  snprintf (work_dir, sizeof work_dir, "%s", dir);
  is_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  lab_record ("TROUBLE=%d", is_trouble);
}

bool
lab_trouble (void)
{
  return is_trouble;
}

void
lab_record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%10.1f ms  ", lab_ms ());
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

void
lab_exit (int status)
{
  kill_started ();
  for (size_t i = 0; i < started_count; i++)
    if (started_pids[i] > 0)
      waitpid (started_pids[i], NULL, 0);
  lab_record ("exit status %d", status);
  _exit (status);
}

/* Sockets.  */

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)port) };

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return addr;
}

int
lab_listen (int *port)
{
  struct sockaddr_in addr = loopback (0);
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || listen (fd, 1024) != 0
      || getsockname (fd, (struct sockaddr *)&addr, &len) != 0)
    lab_exit (EXIT_COULD_NOT_RUN);
  *port = ntohs (addr.sin_port);
  return fd;
}

int
lab_free_port (void)
{
  int port;
  int fd = lab_listen (&port);

  close (fd);
  return port;
}

int
lab_connect (int port)
{
  struct sockaddr_in addr = loopback (port);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd >= 0 && connect (fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

bool
lab_send (int fd, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, bytes, len, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      bytes += sent;
      len -= (size_t)sent;
    }
  return true;
}

/* HTTP.  */

bool
lab_header (const lab_message_t *message, const char *name, char *out,
            size_t size)
{
  size_t name_len = strlen (name);

  for (const char *line = strstr (message->head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, name_len) != 0 || line[name_len] != ':')
        continue;
      const char *value = line + name_len + 1;
      while (*value == ' ')
        value++;
      size_t len = strcspn (value, "\r\n");
      if (len >= size)
        len = size - 1;
      memcpy (out, value, len);
      out[len] = '\0';
      return true;
    }
  return false;
}

/* Read up to LEN bytes into the body.  Return whether all came.  */
static bool
read_body_bytes (int fd, lab_message_t *message, size_t len, size_t rate)
{
  size_t end = message->body_len + len;

  message->body = realloc (message->body, end + 1);
  while (message->body_len < end)
    {
      size_t part = end - message->body_len;
      if (rate > 0 && part > rate / 10)
        part = rate / 10;
      ssize_t got = recv (fd, message->body + message->body_len, part, 0);
      if (got <= 0)
        {
          message->is_closed = true;
          break;
        }
      message->body_len += (size_t)got;
      if (rate > 0)
        lab_sleep_ms (1000.0 * (double)got / (double)rate);
    }
  message->body[message->body_len] = '\0';
  return message->body_len == end;
}

/* Read a line without its CR LF into LINE.  */
static bool
read_line (int fd, char *line, size_t size)
{
  size_t len = 0;

  while (len + 1 < size && recv (fd, line + len, 1, 0) == 1)
    if (line[len++] == '\n')
      {
        line[len >= 2 ? len - 2 : 0] = '\0';
        return true;
      }
  return false;
}

static bool
read_chunks (int fd, lab_message_t *message)
{
  char line[256];
  size_t len;

  do
    {
      if (!read_line (fd, line, sizeof line) || !isxdigit ((int)line[0]))
        {
          message->is_closed = true;
          return false;
        }
      len = strtoul (line, NULL, 16);
      if ((len > 0 && !read_body_bytes (fd, message, len, 0))
          || !read_line (fd, line, sizeof line))
        {
          message->is_closed = true;
          return false;
        }
    }
  while (len > 0);
  return true;
}

/* Read a head into MESSAGE.  */
static bool
read_head (int fd, lab_message_t *message)
{
  size_t len = 0;

  memset (message, 0, sizeof *message);
  message->head = malloc (HEAD_MAX);
  message->body = calloc (1, 1);
  message->head[0] = '\0';
  while (len < 4 || memcmp (message->head + len - 4, "\r\n\r\n", 4) != 0)
    {
      if (len + 1 >= HEAD_MAX || recv (fd, message->head + len, 1, 0) != 1)
        {
          message->is_closed = true;
          return false;
        }
      message->head[++len] = '\0';
    }
  return true;
}

bool
lab_read_message (int fd, bool is_response, size_t body_rate,
                  lab_message_t *message)
{
  char value[256];

  if (!read_head (fd, message))
    return false;
  if (is_response)
    message->status = atoi (message->head + 9);
  if (lab_header (message, "Content-Length", value, sizeof value))
    message->is_complete
        = read_body_bytes (fd, message, strtoul (value, NULL, 10), body_rate);
  else if (lab_header (message, "Transfer-Encoding", value, sizeof value))
    message->is_complete = read_chunks (fd, message);
  else
    message->is_complete = true;
  return true;
}

void
lab_free_message (lab_message_t *message)
{
  free (message->head);
  free (message->body);
}

/* Threads.  */

typedef struct
{
  void (*serve) (void *owner, int fd);
  void *owner;
  int fd;
  bool is_serial; /* Connections are served one after the other.  */
} connection_t;

static void *
run_connection (void *arg)
{
  connection_t connection = *(connection_t *)arg;

  free (arg);
  connection.serve (connection.owner, connection.fd);
  close (connection.fd);
  return NULL;
}

static void *
run_listener (void *arg)
{
  connection_t listener = *(connection_t *)arg;

  free (arg);
  for (;;)
    {
      int one = 1;
      int fd = accept4 (listener.fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        {
          lab_sleep_ms (10);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      if (listener.is_serial)
        {
          listener.serve (listener.owner, fd);
          close (fd);
          continue;
        }
      connection_t *connection = malloc (sizeof *connection);
      *connection = listener;
      connection->fd = fd;
      pthread_t thread;
      if (pthread_create (&thread, NULL, run_connection, connection) == 0)
        pthread_detach (thread);
      else
        close (fd);
    }
  return NULL;
}

static void
start_listener (int fd, void (*serve) (void *owner, int fd), void *owner,
                bool is_serial)
{
  connection_t *listener = malloc (sizeof *listener);
  pthread_t thread;

  *listener = (connection_t){ serve, owner, fd, is_serial };
  pthread_create (&thread, NULL, run_listener, listener);
  pthread_detach (thread);
}

/* The store.  */

typedef struct
{
  char *table;
  char *part;
  char *key;
  char *value; /* Base64.  */
  uint64_t version;
  bool is_deleted;
} row_t;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  row_t rows[ROWS_MAX];
  size_t count;
  uint64_t version;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* The store as one gateway sees it.  */
typedef struct
{
  char name[LAB_ID_MAX];
  bool is_cut;
} view_t;

static view_t views[GATEWAYS_MAX];
static size_t view_count;

static row_t *
find_row (const char *table, const char *part, const char *key)
{
  for (size_t i = 0; i < store.count; i++)
    {
      row_t *row = &store.rows[i];
      if (strcmp (row->table, table) == 0 && strcmp (row->part, part) == 0
          && strcmp (row->key, key) == 0)
        return row;
    }
  return NULL;
}

static void
set_row (const char *table, const char *part, const char *key,
         const char *value, uint64_t version)
{
  row_t *row = find_row (table, part, key);

  if (row == NULL)
    {
      if (store.count == ROWS_MAX)
        lab_exit (EXIT_COULD_NOT_RUN);
      row = &store.rows[store.count++];
      *row = (row_t){ .table = strdup (table),
                      .part = strdup (part),
                      .key = strdup (key) };
    }
  free (row->value);
  row->value = value != NULL ? strdup (value) : NULL;
  row->is_deleted = value == NULL;
  row->version = version;
}

static char *
encode_base64 (const char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                               "abcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text);
  char *out = malloc (len / 3 * 4 + 8);
  char *to = out;

  for (size_t i = 0; i < len; i += 3)
    {
      unsigned bits = (unsigned char)text[i] << 16;
      if (i + 1 < len)
        bits |= (unsigned)(unsigned char)text[i + 1] << 8;
      if (i + 2 < len)
        bits |= (unsigned char)text[i + 2];
      *to++ = digits[bits >> 18];
      *to++ = digits[bits >> 12 & 63];
      *to++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
      *to++ = i + 2 < len ? digits[bits & 63] : '=';
    }
  *to = '\0';
  return out;
}

double
lab_store_put (const char *table, const char *key, const char *value)
{
  char *text = encode_base64 (value);
  double acked_ms;

  pthread_mutex_lock (&store.lock);
  set_row (table, "", key, text, ++store.version);
  acked_ms = lab_ms ();
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
  free (text);
  return acked_ms;
}

static view_t *
find_view (const char *name)
{
  for (size_t i = 0; i < view_count; i++)
    if (strcmp (views[i].name, name) == 0)
      return &views[i];
  return NULL;
}

static char *
decode_base64 (const char *text)
{
  char *out = malloc (strlen (text) / 4 * 3 + 4);
  size_t len = 0;
  unsigned bits = 0;
  unsigned count = 0;

  for (; *text != '\0' && *text != '='; text++)
    {
      unsigned char c = (unsigned char)*text;
      unsigned digit = c >= 'a'   ? c - 'a' + 26u
                       : c >= 'A' ? c - 'A' + 0u
                       : c >= '0' ? c - '0' + 52u
                       : c == '+' ? 62u
                                  : 63u;
      bits = bits << 6 | digit;
      count += 6;
      if (count >= 8)
        {
          count -= 8;
          out[len++] = (char)(bits >> count & 255);
        }
    }
  out[len] = '\0';
  return out;
}

/* Proxies between gateways.  */

typedef struct
{
  const view_t *target; /* The gateway behind the proxy.  */
  int target_port;
  int port;
} proxy_t;

static proxy_t proxies[GATEWAYS_MAX];
static size_t proxy_count;

void
lab_reset_channel (int fd)
{
  struct linger reset = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void
lab_abort_channel (int fd)
{
  lab_reset_channel (fd);
  /* Closes the socket, and keeps its number for the caller's close.  */
  dup2 (null_fd, fd);
}

/* Return the gateway whose call is in the LEN BYTES.  A call bears the name of
   its sender.  */
static const view_t *
find_caller (const char *bytes, size_t len)
{
  for (size_t i = 0; i < view_count; i++)
    {
      size_t name_len = strlen (views[i].name);
      char text[LAB_ID_MAX + 4] = { 0, 0, 0, (char)name_len };
      memcpy (text + 4, views[i].name, name_len);
      if (memmem (bytes, len, text, name_len + 4) != NULL)
        return &views[i];
    }
  return NULL;
}

/* Pass bytes between FD and the target unless one of both gateways is cut
   off.  */
static void
serve_proxy (void *owner, int fd)
{
  const proxy_t *proxy = owner;
  const view_t *caller = NULL;
  int target = lab_connect (proxy->target_port);
  struct pollfd fds[2] = { { .fd = fd, .events = POLLIN },
                           { .fd = target, .events = POLLIN } };
  bool is_open = target >= 0;

  while (is_open && !proxy->target->is_cut
         && (caller == NULL || !caller->is_cut))
    {
      char bytes[65536];
      if (poll (fds, 2, 20) <= 0)
        continue;
      for (int i = 0; i < 2 && is_open; i++)
        if (fds[i].revents != 0)
          {
            ssize_t got = recv (fds[i].fd, bytes, sizeof bytes, 0);
            if (i == 0 && caller == NULL && got > 0)
              caller = find_caller (bytes, (size_t)got);
            is_open = got > 0 && (caller == NULL || !caller->is_cut)
                      && lab_send (fds[1 - i].fd, bytes, (size_t)got);
          }
    }
  lab_reset_channel (fd);
  if (target < 0)
    return;
  lab_reset_channel (target);
  close (target);
}

/* Return the port of the proxy before TARGET, which listens at PORT.  */
static int
proxy_port (const view_t *target, int port)
{
  for (size_t i = 0; i < proxy_count; i++)
    if (proxies[i].target == target && proxies[i].target_port == port)
      return proxies[i].port;
  if (proxy_count == GATEWAYS_MAX)
    lab_exit (EXIT_COULD_NOT_RUN);
  proxy_t *proxy = &proxies[proxy_count++];
  *proxy = (proxy_t){ .target = target, .target_port = port };
  int fd = lab_listen (&proxy->port);
  start_listener (fd, serve_proxy, proxy, false);
  return proxy->port;
}

/* Return the value of ROW as it is served.  A row that lists a gateway has the
   address of the proxy before it.  */
static char *
served_value (const row_t *row)
{
  const view_t *listed = strcmp (row->table, "vanillahook") == 0
                                 && strncmp (row->key, "entry/", 6) == 0
                             ? find_view (row->key + 6)
                             : NULL;
  char zone[128];
  char rest[128];
  char value[512];
  int port;

  if (listed == NULL)
    return strdup (row->value);
  char *text = decode_base64 (row->value);
  int count = sscanf (text, "%127s 127.0.0.1:%d %127s", zone, &port, rest);
  free (text);
  if (count != 3)
    return strdup (row->value);
  snprintf (value, sizeof value, "%s 127.0.0.1:%d %s", zone,
            proxy_port (listed, port), rest);
  return encode_base64 (value);
}

void
lab_cut (const char *name, bool is_cut)
{
  pthread_mutex_lock (&store.lock);
  find_view (name)->is_cut = is_cut;
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
}

static void
query_value (const char *target, const char *name, char *out, size_t size)
{
  size_t name_len = strlen (name);
  size_t len = 0;

  out[0] = '\0';
  for (const char *at = strchr (target, '?'); at != NULL;
       at = strchr (at, '&'))
    {
      at++;
      if (strncmp (at, name, name_len) != 0 || at[name_len] != '=')
        continue;
      for (at += name_len + 1; *at != '&' && *at != ' ' && *at != '\0'; at++)
        {
          unsigned code;
          char c = *at;
          if (c == '%' && sscanf (at + 1, "%2x", &code) == 1)
            {
              c = (char)code;
              at += 2;
            }
          if (len + 1 < size)
            out[len++] = c;
        }
      out[len] = '\0';
      return;
    }
}

static json_t *
row_to_json (const row_t *row)
{
  json_t *object = json_pack ("{s:s,s:s,s:s,s:I}", "table", row->table, "part",
                              row->part, "key", row->key, "ver",
                              (json_int_t)row->version);

  if (row->is_deleted)
    json_object_set_new (object, "deleted", json_true ());
  else
    {
      char *value = served_value (row);
      json_object_set_new (object, "value", json_string (value));
      free (value);
    }
  return object;
}

static int
compare_rows (const void *a, const void *b)
{
  const row_t *x = *(row_t *const *)a;
  const row_t *y = *(row_t *const *)b;

  return strcmp (x->key, y->key);
}

static int
compare_versions (const void *a, const void *b)
{
  const row_t *x = *(row_t *const *)a;
  const row_t *y = *(row_t *const *)b;

  return (x->version > y->version) - (x->version < y->version);
}

/* Return the rows of TABLE after version AFTER; all live ones if IS_READ.  */
static json_t *
list_rows (const char *table, const char *from, uint64_t after, bool is_read)
{
  json_t *list = json_array ();
  row_t **found = malloc ((store.count + 1) * sizeof *found);
  size_t count = 0;

  for (size_t i = 0; i < store.count; i++)
    {
      row_t *row = &store.rows[i];
      if (strcmp (row->table, table) == 0
          && (is_read ? !row->is_deleted && strcmp (row->key, from) >= 0
                      : row->version > after))
        found[count++] = row;
    }
  qsort (found, count, sizeof *found,
         is_read ? compare_rows : compare_versions);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, row_to_json (found[i]));
  free (found);
  return list;
}

static json_t *
stamp (json_t *object)
{
  json_object_set_new (object, "ver",
                       json_integer ((json_int_t)store.version));
  json_object_set_new (object, "nowMs",
                       json_integer ((json_int_t)(lab_ms () + 50000)));
  return object;
}

static json_t *
serve_read (const char *target)
{
  char table[256];
  char from[256];

  query_value (target, "table", table, sizeof table);
  query_value (target, "from", from, sizeof from);
  return stamp (json_pack ("{s:o,s:b}", "rows",
                           list_rows (table, from, 0, true),
                           "hasMore", 0));
}

static json_t *
serve_feed (const view_t *viewer, const char *target)
{
  char table[256];
  char text[64];
  double end_ms;

  query_value (target, "table", table, sizeof table);
  query_value (target, "waitMs", text, sizeof text);
  end_ms = lab_ms () + atof (text);
  query_value (target, "after", text, sizeof text);
  uint64_t after = strtoull (text, NULL, 10);
  for (;;)
    {
      json_t *rows = list_rows (table, "", after, false);
      double left_ms = end_ms - lab_ms ();
      struct timespec until;
      if (json_array_size (rows) > 0 || left_ms <= 0
          || viewer->is_cut)
        return stamp (json_pack ("{s:o}", "rows", rows));
      json_decref (rows);
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_sec += (time_t)(left_ms / 1000);
      until.tv_nsec += (long)(left_ms * 1e6) % 1000000000L;
      if (until.tv_nsec >= 1000000000L)
        {
          until.tv_sec++;
          until.tv_nsec -= 1000000000L;
        }
      pthread_cond_timedwait (&store.changed, &store.lock, &until);
    }
}

static const char *
text_of (const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text != NULL ? text : "";
}

static json_t *
serve_transaction (const char *body, int *status)
{
  json_t *root = json_loads (body, 0, NULL);
  json_t *conflicts = json_array ();
  bool holds = true;
  size_t i;
  json_t *entry;

  json_array_foreach (json_object_get (root, "expected"), i, entry)
  {
    const row_t *row = find_row (text_of (entry, "table"),
                                 text_of (entry, "part"),
                                 text_of (entry, "key"));
    uint64_t version = row != NULL && !row->is_deleted ? row->version : 0;
    holds &= version
             == (uint64_t)json_integer_value (json_object_get (entry, "ver"));
    if (row != NULL && !row->is_deleted)
      json_array_append_new (conflicts, row_to_json (row));
  }
  *status = holds ? 200 : 412;
  if (holds)
    {
      store.version++;
      json_array_foreach (json_object_get (root, "upserts"), i, entry) set_row (
          text_of (entry, "table"), text_of (entry, "part"),
          text_of (entry, "key"), text_of (entry, "value"), store.version);
      json_array_foreach (json_object_get (root, "remove"), i, entry)
      {
        if (find_row (text_of (entry, "table"), text_of (entry, "part"),
                      text_of (entry, "key"))
            != NULL)
          set_row (text_of (entry, "table"), text_of (entry, "part"),
                   text_of (entry, "key"), NULL, store.version);
      }
      pthread_cond_broadcast (&store.changed);
    }
  json_decref (root);
  json_t *reply = stamp (json_object ());
  if (!holds)
    json_object_set (reply, "rows", conflicts);
  json_decref (conflicts);
  return reply;
}

static void
serve_store_call (void *owner, int fd)
{
  view_t *viewer = owner;
  lab_message_t request;
  json_t *reply = NULL;
  int status = 200;

  if (lab_read_message (fd, false, 0, &request) && request.is_complete)
    {
      const char *target = strchr (request.head, ' ') + 1;
      lab_sleep_ms (4);
      pthread_mutex_lock (&store.lock);
      if (viewer->is_cut)
        ;
      else if (strncmp (target, "/v1/rows-get", 12) == 0)
        reply = serve_read (target);
      else if (strncmp (target, "/v1/rows-feed", 13) == 0)
        reply = serve_feed (viewer, target);
      else if (strncmp (target, "/v1/rows-tx", 11) == 0)
        reply = serve_transaction (request.body, &status);
      else
        status = 404;
      bool is_cut = viewer->is_cut;
      pthread_mutex_unlock (&store.lock);
      char *body
          = reply != NULL ? json_dumps (reply, JSON_COMPACT) : strdup ("{}");
      char head[256];
      int len = snprintf (head, sizeof head,
                          "HTTP/1.1 %d Store\r\nContent-Type: "
                          "application/json\r\nContent-Length: %zu\r\n"
                          "Connection: close\r\n\r\n",
                          status, strlen (body));
      if (is_cut)
        lab_reset_channel (fd);
      else if (lab_send (fd, head, (size_t)len))
        lab_send (fd, body, strlen (body));
      free (body);
      json_decref (reply);
    }
  lab_free_message (&request);
}

int
lab_store_open (const char *name)
{
  int port;
  int fd = lab_listen (&port);
  view_t *view = &views[view_count];

  if (view_count == GATEWAYS_MAX)
    lab_exit (EXIT_COULD_NOT_RUN);
  if (view_count == 0)
    pthread_cond_init (&store.changed, NULL);
  snprintf (view->name, sizeof view->name, "%s", name);
  view_count++;
  start_listener (fd, serve_store_call, view, false);
  return port;
}

/* Runners.  */

void
lab_respond (const lab_runner_t *runner, int fd, const lab_message_t *request,
             int status, const char *headers, const char *body)
{
  char attempt[128] = "";
  char head[1024];

  lab_header (request, "Attempt-Id", attempt, sizeof attempt);
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 %d Answer\r\nAttempt-Id: %s\r\n"
                      "Server-Seal: seal-%s-%s\r\n%sContent-Length: %zu\r\n"
                      "Connection: close\r\n\r\n",
                      status, attempt, runner->id, attempt, headers,
                      strlen (body));
  if (lab_send (fd, head, (size_t)len))
    lab_send (fd, body, strlen (body));
}

static void
serve_runner (void *owner, int fd)
{
  lab_runner_t *runner = owner;
  lab_message_t request;
  char expected[LAB_ID_MAX] = "";

  bool is_read
      = runner->answers_early
            ? read_head (fd, &request)
            : lab_read_message (fd, false, runner->read_rate, &request)
                  && request.is_complete;
  if (is_read)
    {
      if (lab_header (&request, "Expect-Instance", expected, sizeof expected)
          && strcmp (expected, runner->id) != 0)
        lab_respond (runner, fd, &request, 421, "Not-Executed: 1\r\n", "");
      else
        runner->handler (runner, fd, &request);
    }
  lab_free_message (&request);
}

static void *
run_heartbeats (void *arg)
{
  const lab_runner_t *runner = arg;
  struct timespec now;
  long long born_ms;

  clock_gettime (CLOCK_REALTIME, &now);
  born_ms = (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  for (unsigned sequence = 1;; sequence++)
    {
      char value[512];
      snprintf (value, sizeof value,
                "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":"
                "\"zone-a\",\"version\":\"v1\",\"slotCount\":%u,\"state\":"
                "\"ready\",\"coldLeftMs\":0,\"sequence\":%u,\"born\":%lld}",
                runner->service, runner->port, runner->slots, sequence,
                born_ms);
      lab_store_put ("servers", runner->id, value);
      lab_sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

void
lab_runner_start (lab_runner_t *runner)
{
  pthread_t thread;

  runner->listener = lab_listen (&runner->port);
  if (runner->window > 0)
    setsockopt (runner->listener, SOL_SOCKET, SO_RCVBUF, &runner->window,
                sizeof runner->window);
  start_listener (runner->listener, serve_runner, runner, runner->is_serial);
  pthread_create (&thread, NULL, run_heartbeats, runner);
  pthread_detach (thread);
}

/* Gateways.  */

static void
write_settings (const lab_gateway_t *gateway, int store_port, const char *path)
{
  FILE *file = fopen (path, "w");

  if (file == NULL)
    lab_exit (EXIT_COULD_NOT_RUN);
  fprintf (file,
           "[process]\nname = %s\nrole = gateway\navailability-zone = zone-a\n"
           "region = region-a\nadmin = 127.0.0.1:%d\nrpc = 127.0.0.1:%d\n\n"
           "[gateway]\nlisten = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
           "kill-after-s = 8\nrevoke-ms = 5000\nextra-ratio = 0.9\n"
           "extra-slack = 54\nextra-window-s = 10\ncold-factor = 1.5\n"
           "cold-slack = 5\nexposure-share = 0.15\nlink-mbps = 1000.0\n\n"
           "[platform]\naddress = 127.0.0.1:%d\n",
           gateway->name, gateway->admin, gateway->rpc, gateway->front,
           gateway->ready, store_port);
  fclose (file);
}

void
lab_gateway_start (lab_gateway_t *gateway, const char *name, int store_port)
{
  char settings[1024];
  char log[1024];

  snprintf (gateway->name, sizeof gateway->name, "%s", name);
  gateway->front = lab_free_port ();
  gateway->ready = lab_free_port ();
  gateway->admin = lab_free_port ();
  gateway->rpc = lab_free_port ();
  snprintf (settings, sizeof settings, "%s/%s.ini", work_dir, name);
  snprintf (log, sizeof log, "%s/%s.log", work_dir, name);
  write_settings (gateway, store_port, settings);
  gateway->pid = fork ();
  if (gateway->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      signal (SIGPIPE, SIG_DFL);
      execl ("target/bin/vanillahookd", "target/bin/vanillahookd",
             "--settings", settings, (char *)NULL);
      _exit (127);
    }
  if (started_count < GATEWAYS_MAX)
    started_pids[started_count++] = gateway->pid;
  lab_record ("the platform starts %s", name);
}

bool
lab_gateway_is_ready (const lab_gateway_t *gateway)
{
  static const char request[]
      = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
  lab_message_t response;
  bool is_ready = false;
  int fd = lab_connect (gateway->ready);

  if (fd < 0)
    return false;
  if (lab_send (fd, request, sizeof request - 1))
    {
      is_ready = lab_read_message (fd, true, 0, &response)
                 && response.status == 200;
      lab_free_message (&response);
    }
  close (fd);
  return is_ready;
}

void
lab_gateway_wait_ready (const lab_gateway_t *gateway)
{
  for (int i = 0; i < 300; i++)
    {
      if (lab_gateway_is_ready (gateway))
        {
          lab_record ("%s is ready", gateway->name);
          return;
        }
      lab_sleep_ms (50);
    }
  lab_record ("%s does not become ready", gateway->name);
  lab_exit (EXIT_COULD_NOT_RUN);
}

bool
lab_gateway_is_running (lab_gateway_t *gateway)
{
  int status;

  if (gateway->pid <= 0)
    return false;
  if (waitpid (gateway->pid, &status, WNOHANG) != gateway->pid)
    return true;
  for (size_t i = 0; i < started_count; i++)
    if (started_pids[i] == gateway->pid)
      started_pids[i] = 0;
  gateway->pid = 0;
  return false;
}

double
lab_gateway_memory_mb (const lab_gateway_t *gateway)
{
  char path[64];
  char line[256];
  double memory_kb = 0;

  snprintf (path, sizeof path, "/proc/%d/status", (int)gateway->pid);
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return 0;
  while (fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmRSS: %lf", &memory_kb) == 1)
      break;
  fclose (file);
  return memory_kb / 1024;
}
