#include "client_crowd.h"

#include "base/mem.h"
#include "harness.h"

#include <arpa/inet.h>
#include <check.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  RETURN_MS = 300,
  POLL_MS = 10,
  /* Bytes that a connection sends before the others get their turn.  */
  TURN_BYTES = 1 << 20,
  CONNECTIONS_PER_TURN = 200,
  RESERVED_DESCRIPTORS = 64
};

typedef struct
{
  const crowd_part_t *part;
  int fd; /* -1: not open.  */
  size_t sent;
  bool has_sent_last;
  uint64_t due_ms; /* Of the next byte, or of the next connection.  */
} client_t;

typedef struct
{
  struct sockaddr_in addr;
  client_t *clients;
  struct pollfd *polled;
  size_t count;
  uint64_t started_ms;
} crowd_t;

static void
connect_client (crowd_t *crowd, client_t *client)
{
  int one = 1;

  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  client->sent = 0;
  client->has_sent_last = false;
  client->due_ms = harness_now_ms () + RETURN_MS;
  if (client->fd < 0)
    return;
  setsockopt (client->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (client->fd, (const struct sockaddr *)&crowd->addr,
               sizeof crowd->addr)
          != 0
      && errno != EINPROGRESS)
    {
      close (client->fd);
      client->fd = -1;
    }
}

static void
disconnect_client (client_t *client)
{
  close (client->fd);
  client->fd = -1;
  client->due_ms = client->part->is_returning ? harness_now_ms () + RETURN_MS
                                              : UINT64_MAX;
}

/* Set *BYTES to what CLIENT sends now.  Return false if it sends nothing.  */
static bool
next_bytes (const crowd_t *crowd, const client_t *client, uint64_t now_ms,
            str_t *bytes)
{
  const crowd_part_t *part = client->part;

  if (client->sent < part->bytes.len)
    *bytes = str_make (part->bytes.ptr + client->sent,
                       part->bytes.len - client->sent);
  else if (part->last.len > 0 && !client->has_sent_last
           && now_ms - crowd->started_ms >= part->hold_ms)
    *bytes = part->last;
  else if (part->trickle_ms > 0 && now_ms >= client->due_ms)
    *bytes = STR ("x");
  else
    return false;
  return true;
}

static void
record_sent (client_t *client, size_t len, uint64_t now_ms)
{
  const crowd_part_t *part = client->part;

  if (client->sent < part->bytes.len)
    client->sent += len;
  else if (part->trickle_ms > 0)
    client->due_ms = now_ms + part->trickle_ms;
  else
    client->has_sent_last = true;
  if (client->sent == part->bytes.len && part->repeats)
    client->sent = part->repeat_from;
}

/* Send what the socket of CLIENT takes.  */
static void
send_bytes (const crowd_t *crowd, client_t *client)
{
  uint64_t now_ms = harness_now_ms ();
  size_t turn_len = 0;
  str_t bytes;

  while (turn_len < TURN_BYTES && next_bytes (crowd, client, now_ms, &bytes))
    {
      ssize_t len = send (client->fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);
      if (len < 0)
        {
          if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
            disconnect_client (client);
          return;
        }
      turn_len += (size_t)len;
      record_sent (client, (size_t)len, now_ms);
    }
}

static void
serve_client (const crowd_t *crowd, client_t *client, short events)
{
  char discarded[65536];

  if (events & POLLIN && !client->part->is_silent)
    {
      ssize_t len = recv (client->fd, discarded, sizeof discarded, 0);
      if (len == 0 || (len < 0 && errno != EAGAIN))
        {
          disconnect_client (client);
          return;
        }
    }
  else if (events & (POLLERR | POLLHUP))
    {
      disconnect_client (client);
      return;
    }
  if (events & POLLOUT)
    send_bytes (crowd, client);
}

static void
run_turn (crowd_t *crowd)
{
  uint64_t now_ms = harness_now_ms ();
  size_t connections = 0;
  str_t bytes;

  for (size_t i = 0; i < crowd->count; i++)
    {
      client_t *client = &crowd->clients[i];
      if (client->fd < 0 && now_ms >= client->due_ms
          && connections++ < CONNECTIONS_PER_TURN)
        connect_client (crowd, client);
      crowd->polled[i] = (struct pollfd){
        .fd = client->fd,
        .events
        = (short)((client->part->is_silent ? 0 : POLLIN)
                  | (next_bytes (crowd, client, now_ms, &bytes) ? POLLOUT
                                                                : 0)),
      };
    }
  if (poll (crowd->polled, crowd->count, POLL_MS) <= 0)
    return;
  for (size_t i = 0; i < crowd->count; i++)
    if (crowd->polled[i].fd >= 0 && crowd->polled[i].revents != 0)
      serve_client (crowd, &crowd->clients[i], crowd->polled[i].revents);
}

/* Run the crowd in this process, which ends with it.  */
static void
run_crowd (const char *host, uint16_t port, const crowd_part_t *parts,
           size_t part_count, uint64_t duration_ms)
{
  crowd_t crowd
      = { .addr = { .sin_family = AF_INET, .sin_port = htons (port) } };
  struct rlimit limit;

  for (size_t i = 0; i < part_count; i++)
    crowd.count += parts[i].connections;
  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = crowd.count + RESERVED_DESCRIPTORS;
  if (limit.rlim_cur > limit.rlim_max
      || setrlimit (RLIMIT_NOFILE, &limit) != 0)
    _exit (EXIT_FAILURE);
  inet_pton (AF_INET, host, &crowd.addr.sin_addr);
  crowd.clients = mem_zalloc (crowd.count * sizeof *crowd.clients);
  crowd.polled = mem_zalloc (crowd.count * sizeof *crowd.polled);
  crowd.started_ms = harness_now_ms ();
  client_t *client = crowd.clients;
  for (size_t i = 0; i < part_count; i++)
    for (size_t j = 0; j < parts[i].connections; j++)
      *client++ = (client_t){ .part = &parts[i], .fd = -1 };
  while (harness_now_ms () - crowd.started_ms < duration_ms)
    run_turn (&crowd);
  _exit (EXIT_SUCCESS);
}

pid_t
client_crowd_start (const char *host, uint16_t port, const crowd_part_t *parts,
                    size_t part_count, uint64_t duration_ms)
{
  pid_t crowd = fork ();

  ck_assert_int_ge (crowd, 0);
  if (crowd == 0)
    run_crowd (host, port, parts, part_count, duration_ms);
  return crowd;
}

bool
client_crowd_is_running (pid_t crowd)
{
  int status;
  pid_t ended = waitpid (crowd, &status, WNOHANG);

  if (ended == 0)
    return true;
  ck_assert_int_eq (ended, crowd);
  ck_assert_msg (WIFEXITED (status) && WEXITSTATUS (status) == EXIT_SUCCESS,
                 "the crowd failed");
  return false;
}

void
client_crowd_add_head (buf_t *out, const char *path, const char *framing)
{
  buf_printf (out,
              "POST %s HTTP/1.1\r\nHost: desk.example\r\n"
              "Attempt-Id: 0\r\nDeadline-Ms: 60000\r\n%s\r\n\r\n",
              path, framing);
}

void
client_crowd_add_chunks (buf_t *out, size_t len, size_t chunk_len)
{
  char *chunk = mem_zalloc (chunk_len);

  memset (chunk, 'x', chunk_len);
  for (size_t at = 0; at + chunk_len <= len; at += chunk_len)
    {
      buf_printf (out, "%zx\r\n", chunk_len);
      buf_append (out, chunk, chunk_len);
      buf_append (out, "\r\n", 2);
    }
  free (chunk);
}

size_t
process_peak_memory (pid_t pid)
{
  char path[64];
  char line[256];
  unsigned long kib = 0;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  FILE *file = fopen (path, "r");
  ck_assert_msg (file != NULL, "the process has ended");
  while (fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmHWM: %lu", &kib) == 1)
      break;
  fclose (file);
  ck_assert_uint_gt (kib, 0);
  return (size_t)kib * 1024;
}

size_t
process_descriptors (pid_t pid)
{
  char path[64];
  size_t count = 0;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)pid);
  DIR *dir = opendir (path);
  ck_assert_msg (dir != NULL, "the process has ended");
  for (struct dirent *entry; (entry = readdir (dir)) != NULL;)
    count += entry->d_name[0] != '.';
  closedir (dir);
  return count;
}
