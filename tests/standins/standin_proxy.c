/* A TCP proxy that injects faults.

   Control port: GET /connections replies with [{"id","silent"}];
   POST /fault takes these keys, each optional:
     "silence": "both"|"up"|"down"|"none"  drop the bytes and the ends of
                stream of existing connections without closing them, for the
                rest of their life; "up" is client to target.  "none" affects
                new connections only: existing ones stay silent, as when a NAT
                or firewall has lost their state
     "connection": ID      silence or reset only this connection
     "also_new": true      apply "silence" to new connections too
     "reset": true         reset existing connections
     "refuse": bool        reset new connections when they are accepted
     "delay_ms": N         delay each chunk by N ms
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
  CHUNK_BYTES = 64 * 1024,
  /* Reading from a socket pauses while more bytes than this, received from
     it, are not yet written to the other socket.  */
  MAX_IN_FLIGHT_BYTES = 1024 * 1024
};

enum
{
  SILENT_UP = 1 << 0,  /* Bytes from client to target are dropped.  */
  SILENT_DOWN = 1 << 1 /* Bytes from target to client are dropped.  */
};

typedef struct connection connection_t;

/* One of the two sockets of a proxied connection.  */
typedef struct
{
  uv_tcp_t tcp;
  connection_t *connection;
  unsigned direction; /* Flag of the direction that starts at this socket.  */
  size_t in_flight;   /* Bytes read here and not yet written to the peer.  */
  bool is_paused;
  bool has_ended; /* Its end of stream was forwarded.  */
} endpoint_t;

struct connection
{
  list_t node;
  uint64_t id;
  endpoint_t client;
  endpoint_t target;
  unsigned silent;       /* Mask of SILENT_UP and SILENT_DOWN.  */
  uint64_t target_bytes; /* Received from the target while a cut is set.  */
  bool is_closing;
  unsigned ref_count; /* Number of open sockets and chunks.  */
};

/* Bytes that are forwarded from one socket to the other.  A chunk of length 0
   is the end of the stream.  */
typedef struct
{
  uv_timer_t timer;
  uv_write_t write;
  uv_shutdown_t shutdown;
  endpoint_t *from;
  char *bytes;
  size_t len;
} chunk_t;

typedef struct
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  struct sockaddr_storage target;
  list_t connections;
  uint64_t next_id;
  unsigned new_silent; /* Value of `silent' for new connections.  */
  bool refuses_new;    /* Reset new connections when accepted.  */
  uint64_t delay_ms;
  uint64_t cut_after_bytes; /* Bytes from the target; 0: never cut.  */
} proxy_t;

static proxy_t proxy;

static void
connection_unref (connection_t *connection)
{
  if (--connection->ref_count == 0)
    free (connection);
}

static void
on_endpoint_closed (uv_handle_t *handle)
{
  endpoint_t *endpoint = handle->data;

  connection_unref (endpoint->connection);
}

static void
endpoint_close (endpoint_t *endpoint, bool reset)
{
  uv_handle_t *handle = (uv_handle_t *)&endpoint->tcp;

  if (uv_is_closing (handle))
    return;
  if (!reset || uv_tcp_close_reset (&endpoint->tcp, on_endpoint_closed) != 0)
    uv_close (handle, on_endpoint_closed);
}

static void
connection_close (connection_t *connection, bool reset)
{
  if (connection->is_closing)
    return;
  connection->is_closing = true;
  list_remove (&connection->node);
  endpoint_close (&connection->client, reset);
  endpoint_close (&connection->target, reset);
}

static endpoint_t *
peer_of (endpoint_t *endpoint)
{
  return endpoint == &endpoint->connection->client
             ? &endpoint->connection->target
             : &endpoint->connection->client;
}

static void
on_chunk_closed (uv_handle_t *handle)
{
  chunk_t *chunk = handle->data;

  connection_unref (chunk->from->connection);
  free (chunk->bytes);
  free (chunk);
}

static void on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);

static void
chunk_free (chunk_t *chunk)
{
  endpoint_t *from = chunk->from;

  from->in_flight -= chunk->len;
  if (from->is_paused && from->in_flight < MAX_IN_FLIGHT_BYTES / 2
      && !from->connection->is_closing)
    {
      from->is_paused = false;
      uv_read_start ((uv_stream_t *)&from->tcp, on_alloc, on_read);
    }
  uv_close ((uv_handle_t *)&chunk->timer, on_chunk_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  chunk_t *chunk = write->data;

  if (status != 0)
    connection_close (chunk->from->connection, false);
  chunk_free (chunk);
}

/* Forward the end of the stream.  Close the connection once both directions
   have ended.  */
static void
chunk_forward_end (chunk_t *chunk)
{
  endpoint_t *from = chunk->from;
  connection_t *connection = from->connection;

  from->has_ended = true;
  if (connection->client.has_ended && connection->target.has_ended)
    connection_close (connection, false);
  else
    uv_shutdown (&chunk->shutdown, (uv_stream_t *)&peer_of (from)->tcp, NULL);
  chunk_free (chunk);
}

/* Count the bytes of CHUNK if they come from the target.  Return whether the
   connection has exceeded the limit of "cut_after".  */
static bool
exceeds_cut_limit (connection_t *connection, const chunk_t *chunk)
{
  if (chunk->from != &connection->target || proxy.cut_after_bytes == 0)
    return false;
  connection->target_bytes += chunk->len;
  return connection->target_bytes > proxy.cut_after_bytes;
}

static void
on_chunk_due (uv_timer_t *timer)
{
  chunk_t *chunk = timer->data;
  endpoint_t *from = chunk->from;
  connection_t *connection = from->connection;
  uv_buf_t buf = uv_buf_init (chunk->bytes, (unsigned)chunk->len);

  if (!connection->is_closing && exceeds_cut_limit (connection, chunk))
    connection_close (connection, true);
  /* A silent direction drops the bytes after reading them, so that the sender
     receives TCP acknowledgements as usual.  */
  if (connection->is_closing || (connection->silent & from->direction) != 0)
    {
      chunk_free (chunk);
      return;
    }
  if (chunk->len == 0)
    {
      chunk_forward_end (chunk);
      return;
    }
  chunk->write.data = chunk;
  if (uv_write (&chunk->write, (uv_stream_t *)&peer_of (from)->tcp, &buf, 1,
                on_written)
      != 0)
    {
      connection_close (connection, false);
      chunk_free (chunk);
    }
}

/* Forward LEN bytes at BYTES, received from FROM, after the set delay.  Takes
   ownership of BYTES; a LEN of 0 is the end of the stream.  */
static void
chunk_forward (endpoint_t *from, char *bytes, size_t len)
{
  chunk_t *chunk = mem_zalloc (sizeof *chunk);

  chunk->from = from;
  chunk->bytes = bytes;
  chunk->len = len;
  chunk->timer.data = chunk;
  from->in_flight += len;
  from->connection->ref_count++;
  uv_timer_init (proxy.loop, &chunk->timer);
  if (proxy.delay_ms > 0)
    uv_timer_start (&chunk->timer, on_chunk_due, proxy.delay_ms, 0);
  else
    on_chunk_due (&chunk->timer);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  (void)handle;
  (void)size;
  *buf = uv_buf_init (mem_alloc (CHUNK_BYTES), CHUNK_BYTES);
}

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  endpoint_t *endpoint = stream->data;
  connection_t *connection = endpoint->connection;

  if (len > 0)
    {
      chunk_forward (endpoint, buf->base, (size_t)len);
      if (endpoint->in_flight > MAX_IN_FLIGHT_BYTES && !connection->is_closing)
        {
          endpoint->is_paused = true;
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
      chunk_forward (endpoint, NULL, 0);
    }
  else if ((connection->silent & endpoint->direction) == 0)
    connection_close (connection, true);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  connection_t *connection = connect->data;

  free (connect);
  if (status != 0)
    {
      connection_close (connection, true);
      return;
    }
  uv_tcp_nodelay (&connection->target.tcp, 1);
  uv_read_start ((uv_stream_t *)&connection->client.tcp, on_alloc, on_read);
  uv_read_start ((uv_stream_t *)&connection->target.tcp, on_alloc, on_read);
}

static void
endpoint_init (connection_t *connection, endpoint_t *endpoint,
               unsigned direction)
{
  endpoint->connection = connection;
  endpoint->direction = direction;
  uv_tcp_init (proxy.loop, &endpoint->tcp);
  endpoint->tcp.data = endpoint;
  connection->ref_count++;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  connection_t *connection = mem_zalloc (sizeof *connection);
  uv_connect_t *connect;

  connection->id = proxy.next_id++;
  connection->silent = proxy.new_silent;
  endpoint_init (connection, &connection->client, SILENT_UP);
  endpoint_init (connection, &connection->target, SILENT_DOWN);
  list_append (&proxy.connections, &connection->node);
  if (status != 0
      || uv_accept (listener, (uv_stream_t *)&connection->client.tcp) != 0
      || proxy.refuses_new)
    {
      connection_close (connection, true);
      return;
    }
  uv_tcp_nodelay (&connection->client.tcp, 1);
  connect = mem_zalloc (sizeof *connect);
  connect->data = connection;
  if (uv_tcp_connect (connect, &connection->target.tcp,
                      (const struct sockaddr *)&proxy.target, on_connected)
      != 0)
    {
      free (connect);
      connection_close (connection, true);
    }
}

static unsigned
parse_silence (const char *mode)
{
  str_t name = str_from (mode);

  if (str_eq (name, STR ("both")))
    return SILENT_UP | SILENT_DOWN;
  if (str_eq (name, STR ("up")))
    return SILENT_UP;
  return str_eq (name, STR ("down")) ? SILENT_DOWN : 0;
}

/* Apply the faults in ROOT that affect existing connections.  */
static void
apply_connection_faults (const json_t *root)
{
  const json_t *only_id = json_object_get (root, "connection");
  const char *mode = json_string_value (json_object_get (root, "silence"));
  bool reset = json_is_true (json_object_get (root, "reset"));

  LIST_EACH (node_link, &proxy.connections)
    {
      connection_t *connection = CONTAINER_OF (node_link, connection_t, node);
      if (only_id != NULL
          && json_integer_value (only_id) != (json_int_t)connection->id)
        continue;
      if (mode != NULL)
        connection->silent |= parse_silence (mode);
      if (reset)
        connection_close (connection, true);
    }
}

static void
handle_fault (httpd_req_t *req)
{
  str_t body = httpd_body (req);
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  const json_t *value;

  if (root == NULL)
    {
      standin_reply_error (req, 400, "not JSON");
      return;
    }
  apply_connection_faults (root);
  if ((value = json_object_get (root, "silence")) != NULL
      && json_object_get (root, "connection") == NULL)
    proxy.new_silent = json_is_true (json_object_get (root, "also_new"))
                           ? parse_silence (json_string_value (value))
                           : 0;
  if ((value = json_object_get (root, "refuse")) != NULL)
    proxy.refuses_new = json_is_true (value);
  if ((value = json_object_get (root, "delay_ms")) != NULL)
    proxy.delay_ms = (uint64_t)json_integer_value (value);
  if ((value = json_object_get (root, "cut_after")) != NULL)
    proxy.cut_after_bytes = (uint64_t)json_integer_value (value);
  json_decref (root);
  httpd_reply_json (req, 200, STR ("{}"));
}

static void
reply_connections (httpd_req_t *req)
{
  json_t *list = json_array ();

  LIST_EACH (node_link, &proxy.connections)
    {
      const connection_t *connection
          = CONTAINER_OF (node_link, connection_t, node);
      json_array_append_new (
          list, json_pack ("{s:I,s:b}", "id", (json_int_t)connection->id,
                           "silent", connection->silent != 0));
    }
  standin_reply_json (req, 200, list);
}

static void
handle_request (void *arg, httpd_req_t *req)
{
  str_t path = httpd_path (req);

  (void)arg;
  if (str_eq (path, STR ("/connections")))
    reply_connections (req);
  else if (str_eq (path, STR ("/fault")))
    handle_fault (req);
  else
    standin_reply_error (req, 404, "no such path");
}

/* Listen on ADDRESS for connections to forward.  Return the port; exit 1 if
   the address cannot be bound.  */
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
  struct arg_str *target = arg_str1 (NULL, "target", "HOST:PORT",
                                     "address to forward connections to");
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
  list_init (&proxy.connections);
  if (!addr_parse (str_from (target->sval[0]), &proxy.target, &len))
    {
      fprintf (stderr, "standin_proxy: invalid --target address %s\n",
               target->sval[0]);
      return 2;
    }
  httpd_t *server
      = standin_listen (proxy.loop, control_address->sval[0], handle_request);
  uint16_t port = listen_on (address->sval[0]);
  printf ("control %u\n", httpd_port (server));
  standin_run (proxy.loop, port);
}
