/* A TCP proxy that injects faults.

   Control port: GET /connections lists [{"id","silent"}];
   POST /fault takes, each key optional,
     "silence": "both"|"up"|"down"|"none"  swallow the bytes and the ends of
                existing connections, for good; "up" is client to target.
                "none" ends it for new connections only, as when something
                between the two ends has lost track of the old ones
     "connection": ID      silence or reset just this one
     "also_new": true      new connections fall silent too
     "reset": true         reset existing connections
     "refuse": bool        reset new connections as they come
     "delay_ms": N         deliver each piece so much later
     "cut_after": N        reset a connection after N bytes from the target;
                           0: never  */

#include "standins/common.h"

#include "base/mem.h"
#include "wire/addr.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  BACKLOG = 1024,
  PIECE = 64 * 1024,
  /* Bytes on their way through one side before its reader pauses.  */
  IN_FLIGHT_MAX = 1024 * 1024
};

enum
{
  SILENT_UP = 1 << 0,
  SILENT_DOWN = 1 << 1
};

typedef struct link link_t;

/* One of the two sockets of a connection.  */
typedef struct
{
  uv_tcp_t tcp;
  link_t *link;
  unsigned silent_bit; /* Silences what this side sends.  */
  size_t in_flight;    /* Read here, not yet written to the other side.  */
  bool paused;
  bool ended; /* Its end of stream was passed on.  */
} side_t;

struct link
{
  list_t node;
  uint64_t id;
  side_t client;
  side_t target;
  unsigned silent;
  uint64_t from_target; /* Bytes.  */
  bool closing;
  unsigned holds; /* Handles and pieces that refer to it.  */
};

/* Bytes under way from one side to the other; none: its end of stream.  */
typedef struct
{
  uv_timer_t timer;
  uv_write_t write;
  uv_shutdown_t shutdown;
  side_t *from;
  char *bytes;
  size_t len;
} piece_t;

typedef struct
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  struct sockaddr_storage target;
  list_t links;
  uint64_t next_id;
  unsigned silent_new;
  bool refuse;
  uint64_t delay_ms;
  uint64_t cut_after;
} proxy_t;

static proxy_t proxy;

static void
link_release (link_t *link)
{
  if (--link->holds == 0)
    free (link);
}

static void
on_side_closed (uv_handle_t *handle)
{
  side_t *side = handle->data;

  link_release (side->link);
}

static void
close_side (side_t *side, bool reset)
{
  uv_handle_t *handle = (uv_handle_t *)&side->tcp;

  if (uv_is_closing (handle))
    return;
  if (!reset || uv_tcp_close_reset (&side->tcp, on_side_closed) != 0)
    uv_close (handle, on_side_closed);
}

static void
link_close (link_t *link, bool reset)
{
  if (link->closing)
    return;
  link->closing = true;
  list_remove (&link->node);
  close_side (&link->client, reset);
  close_side (&link->target, reset);
}

static side_t *
other (side_t *side)
{
  return side == &side->link->client ? &side->link->target
                                     : &side->link->client;
}

static void
on_piece_closed (uv_handle_t *handle)
{
  piece_t *piece = handle->data;

  link_release (piece->from->link);
  free (piece->bytes);
  free (piece);
}

static void on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);

static void
piece_done (piece_t *piece)
{
  side_t *from = piece->from;

  from->in_flight -= piece->len;
  if (from->paused && from->in_flight < IN_FLIGHT_MAX / 2
      && !from->link->closing)
    {
      from->paused = false;
      uv_read_start ((uv_stream_t *)&from->tcp, on_alloc, on_read);
    }
  uv_close ((uv_handle_t *)&piece->timer, on_piece_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  piece_t *piece = write->data;

  if (status != 0)
    link_close (piece->from->link, false);
  piece_done (piece);
}

/* Pass on the end of stream; both passed on, the connection is over.  */
static void
piece_end (piece_t *piece)
{
  side_t *from = piece->from;
  link_t *link = from->link;

  from->ended = true;
  if (link->client.ended && link->target.ended)
    link_close (link, false);
  else
    uv_shutdown (&piece->shutdown, (uv_stream_t *)&other (from)->tcp, NULL);
  piece_done (piece);
}

/* Tell whether this piece from the target takes LINK to its cut.  */
static bool
is_cut (link_t *link, const piece_t *piece)
{
  if (piece->from != &link->target || proxy.cut_after == 0)
    return false;
  link->from_target += piece->len;
  return link->from_target > proxy.cut_after;
}

static void
on_piece_due (uv_timer_t *timer)
{
  piece_t *piece = timer->data;
  side_t *from = piece->from;
  link_t *link = from->link;
  uv_buf_t buf = uv_buf_init (piece->bytes, (unsigned)piece->len);

  if (!link->closing && is_cut (link, piece))
    link_close (link, true);
  /* Swallowed, not refused: the sender's TCP sees it taken.  */
  if (link->closing || (link->silent & from->silent_bit) != 0)
    {
      piece_done (piece);
      return;
    }
  if (piece->len == 0)
    {
      piece_end (piece);
      return;
    }
  piece->write.data = piece;
  if (uv_write (&piece->write, (uv_stream_t *)&other (from)->tcp, &buf, 1,
                on_written)
      != 0)
    {
      link_close (link, false);
      piece_done (piece);
    }
}

/* Send BYTES, taken over, from side FROM on their way.  */
static void
piece_send (side_t *from, char *bytes, size_t len)
{
  piece_t *piece = mem_zalloc (sizeof *piece);

  piece->from = from;
  piece->bytes = bytes;
  piece->len = len;
  piece->timer.data = piece;
  from->in_flight += len;
  from->link->holds++;
  uv_timer_init (proxy.loop, &piece->timer);
  if (proxy.delay_ms > 0)
    uv_timer_start (&piece->timer, on_piece_due, proxy.delay_ms, 0);
  else
    on_piece_due (&piece->timer);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  (void)handle;
  (void)size;
  *buf = uv_buf_init (mem_alloc (PIECE), PIECE);
}

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  side_t *side = stream->data;
  link_t *link = side->link;

  if (len > 0)
    {
      piece_send (side, buf->base, (size_t)len);
      if (side->in_flight > IN_FLIGHT_MAX && !link->closing)
        {
          side->paused = true;
          uv_read_stop (stream);
        }
      return;
    }
  free (buf->base);
  if (len == 0)
    return;
  if (len == UV_EOF)
    {
      uv_read_stop (stream);
      piece_send (side, NULL, 0);
    }
  else if ((link->silent & side->silent_bit) == 0)
    link_close (link, true);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  link_t *link = connect->data;

  free (connect);
  if (status != 0)
    {
      link_close (link, true);
      return;
    }
  uv_tcp_nodelay (&link->target.tcp, 1);
  uv_read_start ((uv_stream_t *)&link->client.tcp, on_alloc, on_read);
  uv_read_start ((uv_stream_t *)&link->target.tcp, on_alloc, on_read);
}

static void
side_init (link_t *link, side_t *side, unsigned silent_bit)
{
  side->link = link;
  side->silent_bit = silent_bit;
  uv_tcp_init (proxy.loop, &side->tcp);
  side->tcp.data = side;
  link->holds++;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  link_t *link = mem_zalloc (sizeof *link);
  uv_connect_t *connect;

  link->id = proxy.next_id++;
  link->silent = proxy.silent_new;
  side_init (link, &link->client, SILENT_UP);
  side_init (link, &link->target, SILENT_DOWN);
  list_append (&proxy.links, &link->node);
  if (status != 0
      || uv_accept (listener, (uv_stream_t *)&link->client.tcp) != 0
      || proxy.refuse)
    {
      link_close (link, true);
      return;
    }
  uv_tcp_nodelay (&link->client.tcp, 1);
  connect = mem_zalloc (sizeof *connect);
  connect->data = link;
  if (uv_tcp_connect (connect, &link->target.tcp,
                      (const struct sockaddr *)&proxy.target, on_connected)
      != 0)
    {
      free (connect);
      link_close (link, true);
    }
}

static unsigned
silence_bits (const char *how)
{
  str_t name = str_from (how);

  if (str_eq (name, STR ("both")))
    return SILENT_UP | SILENT_DOWN;
  if (str_eq (name, STR ("up")))
    return SILENT_UP;
  return str_eq (name, STR ("down")) ? SILENT_DOWN : 0;
}

/* Apply the faults of ROOT that concern existing connections.  */
static void
fault_existing (const json_t *root)
{
  const json_t *only = json_object_get (root, "connection");
  const char *how = json_string_value (json_object_get (root, "silence"));
  bool reset = json_is_true (json_object_get (root, "reset"));

  LIST_EACH (at, &proxy.links)
    {
      link_t *link = CONTAINER_OF (at, link_t, node);
      if (only != NULL && json_integer_value (only) != (json_int_t)link->id)
        continue;
      if (how != NULL)
        link->silent |= silence_bits (how);
      if (reset)
        link_close (link, true);
    }
}

static void
fault (httpd_req_t *req)
{
  str_t body = httpd_body (req);
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  const json_t *value;

  if (root == NULL)
    {
      standin_reply_error (req, 400, "not JSON");
      return;
    }
  fault_existing (root);
  if ((value = json_object_get (root, "silence")) != NULL
      && json_object_get (root, "connection") == NULL)
    proxy.silent_new = json_is_true (json_object_get (root, "also_new"))
                           ? silence_bits (json_string_value (value))
                           : 0;
  if ((value = json_object_get (root, "refuse")) != NULL)
    proxy.refuse = json_is_true (value);
  if ((value = json_object_get (root, "delay_ms")) != NULL)
    proxy.delay_ms = (uint64_t)json_integer_value (value);
  if ((value = json_object_get (root, "cut_after")) != NULL)
    proxy.cut_after = (uint64_t)json_integer_value (value);
  json_decref (root);
  httpd_reply_json (req, 200, STR ("{}"));
}

static void
list_connections (httpd_req_t *req)
{
  json_t *list = json_array ();

  LIST_EACH (at, &proxy.links)
    {
      const link_t *link = CONTAINER_OF (at, link_t, node);
      json_array_append_new (list, json_pack ("{s:I,s:b}", "id",
                                              (json_int_t)link->id, "silent",
                                              link->silent != 0));
    }
  standin_reply_json (req, 200, list);
}

static void
handle (void *arg, httpd_req_t *req)
{
  str_t path = httpd_path (req);

  (void)arg;
  if (str_eq (path, STR ("/connections")))
    list_connections (req);
  else if (str_eq (path, STR ("/fault")))
    fault (req);
  else
    standin_reply_error (req, 404, "no such path");
}

/* Listen for connections to pass on; exit 1 when ADDRESS cannot be had.
   Return the port.  */
static uint16_t
listen_on (const char *address)
{
  struct sockaddr_storage addr;
  socklen_t len;
  int size = sizeof addr;

  uv_tcp_init (proxy.loop, &proxy.listener);
  if (!addr_parse (str_from (address), &addr, &len)
      || uv_tcp_bind (&proxy.listener, (const struct sockaddr *)&addr, 0) != 0
      || uv_listen ((uv_stream_t *)&proxy.listener, BACKLOG, on_connection)
             != 0
      || uv_tcp_getsockname (&proxy.listener, (struct sockaddr *)&addr, &size)
             != 0)
    {
      fprintf (stderr, "standin_proxy: cannot listen on %s\n", address);
      exit (EXIT_FAILURE);
    }
  return ntohs (((const struct sockaddr_in *)&addr)->sin_port);
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *address
      = arg_str0 (NULL, "listen", "HOST:PORT", "address; port 0 picks one");
  struct arg_str *target
      = arg_str1 (NULL, "target", "HOST:PORT", "where connections go");
  struct arg_str *control_address = arg_str0 (
      NULL, "control", "HOST:PORT", "control port, printed as `control PORT'");
  struct arg_end *end = arg_end (5);
  void *argtable[] = { help, address, target, control_address, end };
  socklen_t len;

  address->sval[0] = "127.0.0.1:0";
  control_address->sval[0] = "127.0.0.1:0";
  standin_parse_args (argc, argv, argtable,
                      "A TCP proxy that injects faults.");
  proxy.loop = uv_default_loop ();
  proxy.next_id = 1;
  list_init (&proxy.links);
  if (!addr_parse (str_from (target->sval[0]), &proxy.target, &len))
    {
      fprintf (stderr, "standin_proxy: bad target %s\n", target->sval[0]);
      return 2;
    }
  httpd_t *server
      = standin_listen (proxy.loop, control_address->sval[0], handle);
  uint16_t port = listen_on (address->sval[0]);
  printf ("control %u\n", httpd_port (server));
  standin_run (proxy.loop, port);
}
