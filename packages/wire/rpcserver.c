#include "wire/rpcint.h"

#include "base/log.h"
#include "wire/addr.h"

#include <stdlib.h>

enum
{
  SERVER_BACKLOG = 512,
  /* A connection without received bytes for this long is closed: its peer has
     failed without closing the connection, or uses another one now.  */
  SERVER_IDLE_MS = 120000,
  SERVER_IDLE_CHECK_MS = 10000
};

typedef struct connection connection_t;

struct rpc_server
{
  rpc_node_t *node;
  uv_tcp_t listener;
  uv_timer_t idle_check;
  uint16_t port;
  rpc_handler_t handler;
  void *arg;
  list_t connections;
  unsigned refs; /* Number of open handles and connections.  */
  bool destroyed;
};

struct connection
{
  rpc_stream_t stream; /* Must be first.  */
  rpc_server_t *server;
  list_t link;
  list_t requests; /* Requests without a reply yet.  */
};

struct rpc_request
{
  list_t link;
  connection_t *connection; /* NULL once the connection is closed.  */
  uint32_t xid;
  uint32_t proc;
};

static void
unref_server (rpc_server_t *server)
{
  if (--server->refs == 0)
    free (server);
}

static void
detach_requests (connection_t *connection)
{
  LIST_EACH (at, &connection->requests)
    {
      CONTAINER_OF (at, rpc_request_t, link)->connection = NULL;
      list_remove (at);
    }
}

static void
on_stream_ended (rpc_stream_t *stream)
{
  connection_t *connection = (connection_t *)stream;

  detach_requests (connection);
  list_remove (&connection->link);
}

static void
on_stream_release (rpc_stream_t *stream)
{
  connection_t *connection = (connection_t *)stream;

  unref_server (connection->server);
  free (connection);
}

/* Decode the arguments of a call and pass the call to the handler.  Return
   false when the arguments are malformed.  */
static bool
dispatch (connection_t *connection, rpc_head_t *head)
{
  const rpc_proc_info_t *info = rpc_proc_info (head->proc);

  if (info == NULL)
    return false;
  void *args = mem_zalloc (info->args_size);
  bool decoded = info->args (&head->xdr, args);
  if (decoded)
    {
      rpc_request_t *request = mem_zalloc (sizeof *request);
      request->connection = connection;
      request->xid = head->xid;
      request->proc = head->proc;
      list_append (&connection->requests, &request->link);
      connection->server->handler (connection->server->arg, request,
                                   head->proc, args);
    }
  xdr_free (info->args, args);
  free (args);
  return decoded;
}

static bool
on_record (rpc_stream_t *stream, char *bytes, size_t len)
{
  connection_t *connection = (connection_t *)stream;
  rpc_node_t *node = stream->node;
  rpc_head_t head;

  if (!rpc_decode_head (node, bytes, len, &head))
    return false;
  bool is_valid = !head.is_reply;
  if (is_valid)
    {
      node->hooks.incoming (node->arg, NULL, &head.context);
      is_valid = dispatch (connection, &head);
    }
  if (!is_valid)
    node->stats.refused++;
  rpc_head_free (&head);
  return is_valid;
}

static void
on_accept (uv_stream_t *listener, int status)
{
  rpc_server_t *server = listener->data;

  if (status != 0)
    return;
  connection_t *connection = mem_zalloc (sizeof *connection);
  connection->server = server;
  connection->stream.on_record = on_record;
  connection->stream.on_ended = on_stream_ended;
  connection->stream.on_release = on_stream_release;
  list_init (&connection->requests);
  list_append (&server->connections, &connection->link);
  server->refs++;
  rpc_stream_init (&connection->stream, server->node);
  if (uv_accept (listener, (uv_stream_t *)&connection->stream.tcp) != 0)
    {
      list_remove (&connection->link);
      rpc_stream_close (&connection->stream);
      return;
    }
  rpc_stream_start (&connection->stream);
}

static void
on_idle_check (uv_timer_t *timer)
{
  rpc_server_t *server = timer->data;
  uint64_t now_ms = clock_ms (server->node->clock);

  LIST_EACH (at, &server->connections)
    {
      connection_t *connection = CONTAINER_OF (at, connection_t, link);
      if (now_ms - connection->stream.received_ms < SERVER_IDLE_MS)
        continue;
      on_stream_ended (&connection->stream);
      rpc_stream_close (&connection->stream);
    }
}

static void
on_handle_closed (uv_handle_t *handle)
{
  unref_server (handle->data);
}

vh_code_t
rpc_server_create (rpc_node_t *node, str_t address, rpc_handler_t handler,
                   void *arg, rpc_server_t **out)
{
  rpc_server_t *server = mem_zalloc (sizeof *server);

  *out = NULL;
  server->node = node;
  server->handler = handler;
  server->arg = arg;
  list_init (&server->connections);
  uv_tcp_init (node->loop, &server->listener);
  uv_timer_init (node->loop, &server->idle_check);
  server->listener.data = server;
  server->idle_check.data = server;
  server->refs = 2;
  uv_timer_start (&server->idle_check, on_idle_check, SERVER_IDLE_CHECK_MS,
                  SERVER_IDLE_CHECK_MS);
  uv_unref ((uv_handle_t *)&server->idle_check);
  if (!addr_listen (&server->listener, address, SERVER_BACKLOG, on_accept,
                    &server->port))
    {
      log_err ("rpc", "Cannot listen on the RPC address. address=%.*s",
               STR_ARG (address));
      rpc_server_destroy (server);
      return VH_E_IO;
    }
  *out = server;
  return VH_OK;
}

uint16_t
rpc_server_port (const rpc_server_t *server)
{
  return server->port;
}

void
rpc_server_destroy (rpc_server_t *server)
{
  if (server == NULL || server->destroyed)
    return;
  server->destroyed = true;
  LIST_EACH (at, &server->connections)
    {
      connection_t *connection = CONTAINER_OF (at, connection_t, link);
      on_stream_ended (&connection->stream);
      rpc_stream_close (&connection->stream);
    }
  uv_close ((uv_handle_t *)&server->listener, on_handle_closed);
  uv_close ((uv_handle_t *)&server->idle_check, on_handle_closed);
}

void
rpc_reply (rpc_request_t *request, void *result)
{
  connection_t *connection = request->connection;

  if (connection != NULL)
    {
      rpc_node_t *node = connection->server->node;
      size_t len
          = rpc_encode_reply (node, request->xid, request->proc, result);
      if (len > 0)
        rpc_stream_send (&connection->stream, node->scratch, len);
      if (request->proc == WIRE_PING)
        node->stats.control_bytes_out += len;
      list_remove (&request->link);
    }
  free (request);
}

void
rpc_drop (rpc_request_t *request)
{
  list_remove (&request->link);
  free (request);
}
