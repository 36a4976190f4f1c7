#include "wire/rpcint.h"

#include "base/log.h"
#include "wire/addr.h"

#include <stdlib.h>

enum
{
  /* A connection with calls in flight is pinged when nothing was received for
     BUSY_CONNECTION_PING_AFTER_MS, and replaced when the ping was not answered
     for another SILENCE_TIMEOUT_MS, twice as long.  With the interval of
     rpc_peers_check this takes 1.25 s, less than the 2 s within which a call
     must be sent on a new connection.  Stalls of the loop shorter than
     SILENCE_TIMEOUT_MS do not cause a needless replacement.  */
  BUSY_CONNECTION_PING_AFTER_MS = 400,
  SILENCE_TIMEOUT_MS = 800,
  CONNECT_TIMEOUT_MS = 800,
  /* Number of successive connections without a reply after which the peer is
     considered unresponsive (paused or unreachable) and its calls fail.  */
  SILENT_CONNECTIONS_MAX = 2,
  BACKOFF_INITIAL_MS = 100,
  BACKOFF_MAX_MS = 3000,
  CALL_TABLE_INITIAL_SIZE = 16
};

typedef struct peer_connection peer_connection_t;

struct rpc_peer
{
  rpc_node_t *node;
  list_t node_link;
  char *address;
  struct sockaddr_storage addr;
  peer_connection_t *connection; /* Connecting or connected; NULL: none.  */
  rpc_peer_state_t state;
  const rpc_peer_events_t *events;
  void *arg;
  list_t calls;       /* Calls in flight, oldest first.  */
  rpc_call_t **table; /* Hash table of CALLS by transaction id.  */
  size_t table_size;  /* Number of buckets, a power of two.  */
  size_t call_count;
  uint64_t epoch;         /* Epoch in the last reply; 0: no reply yet.  */
  uint64_t last_reply_ms; /* Time of the last reply, in ms; 0: none yet.  */
  /* Time when the oldest unanswered ping was sent, in ms; 0: no such ping.  */
  uint64_t ping_sent_ms;
  uint32_t ping_sequence;
  /* Successive connections without a reply.  */
  unsigned silent_connections;
  uint64_t backoff_ms;
  uint64_t retry_at_ms; /* Earliest time of the next connection attempt.  */
  bool destroyed;
};

/* One connection to a peer.  */
struct peer_connection
{
  rpc_stream_t stream; /* Must be first.  */
  rpc_peer_t *peer;    /* NULL once the peer has abandoned the connection.  */
  uv_connect_t connect;
  uint64_t started_ms;
  bool is_connected;
  /* Number of queued bytes that the remote kernel has acknowledged.  */
  size_t acknowledged;
  uint64_t acknowledged_ms; /* Time when ACKNOWLEDGED last grew, in ms.  */
  /* Unacknowledged bytes were queued before the last ping.  */
  bool is_ping_delayed;
};

struct rpc_call
{
  list_t link;
  rpc_call_t *next_in_table;
  rpc_peer_t *peer;
  uint32_t xid;
  uint32_t proc;
  char *record;
  size_t len;
  uint64_t deadline_ms;
  unsigned send_count; /* Number of connections on which the call was sent.  */
  /* The next rpc_peers_check ends the call with VH_E_CONNECT.  */
  bool fails_on_next_check;
  rpc_cb_t cb;
  void *arg;
};

/* Hash table of calls.  */

static rpc_call_t **
table_slot (rpc_peer_t *peer, uint32_t xid)
{
  rpc_call_t **slot = &peer->table[xid & (peer->table_size - 1)];

  while (*slot != NULL && (*slot)->xid != xid)
    slot = &(*slot)->next_in_table;
  return slot;
}

static void
table_grow (rpc_peer_t *peer)
{
  size_t size
      = peer->table_size > 0 ? 2 * peer->table_size : CALL_TABLE_INITIAL_SIZE;

  free (peer->table);
  peer->table = mem_zalloc (size * sizeof *peer->table);
  peer->table_size = size;
  LIST_EACH (at, &peer->calls)
    {
      rpc_call_t *call = CONTAINER_OF (at, rpc_call_t, link);
      call->next_in_table = NULL;
      *table_slot (peer, call->xid) = call;
    }
}

static void
release_call (rpc_call_t *call)
{
  rpc_peer_t *peer = call->peer;
  rpc_call_t **slot = table_slot (peer, call->xid);

  *slot = call->next_in_table;
  list_remove (&call->link);
  peer->call_count--;
  free (call->record);
  free (call);
}

static void
finish_call (rpc_call_t *call, vh_code_t code, void *result)
{
  rpc_cb_t cb = call->cb;
  void *arg = call->arg;
  unsigned send_count = call->send_count;

  release_call (call);
  cb (arg, code, result, send_count);
}

void
rpc_cancel (rpc_call_t *call)
{
  if (call != NULL)
    release_call (call);
}

/* End the calls of PEER that are in flight now.  Calls that the callbacks
   start meanwhile are not ended.  */
static void
fail_calls (rpc_peer_t *peer)
{
  size_t count = peer->call_count;

  while (count-- > 0 && !list_is_empty (&peer->calls))
    {
      rpc_call_t *call = CONTAINER_OF (peer->calls.next, rpc_call_t, link);
      finish_call (call, call->send_count > 0 ? VH_E_CLOSED : VH_E_CONNECT,
                   NULL);
    }
}

static void
set_state (rpc_peer_t *peer, rpc_peer_state_t state)
{
  if (peer->state == state)
    return;
  peer->state = state;
  if (peer->events->state != NULL)
    peer->events->state (peer->arg, state);
}

/* Connections.  */

static void start_connection (rpc_peer_t *peer);

static void
abandon_connection (rpc_peer_t *peer)
{
  peer_connection_t *old = peer->connection;

  peer->connection = NULL;
  peer->ping_sent_ms = 0;
  if (old == NULL)
    return;
  old->peer = NULL;
  rpc_stream_close (&old->stream);
}

static void
handle_connect_failure (rpc_peer_t *peer)
{
  rpc_node_t *node = peer->node;

  abandon_connection (peer);
  peer->backoff_ms
      = peer->backoff_ms == 0 ? BACKOFF_INITIAL_MS : peer->backoff_ms * 2;
  if (peer->backoff_ms > BACKOFF_MAX_MS)
    peer->backoff_ms = BACKOFF_MAX_MS;
  peer->retry_at_ms
      = clock_ms (node->clock) + rng_jitter (&node->rng, peer->backoff_ms);
  set_state (peer, RPC_DOWN);
  fail_calls (peer);
}

/* Replace a connection that was closed or (WAS_SILENT) stopped responding, and
   send its calls on the new connection.  After SILENT_CONNECTIONS_MAX
   successive connections without a reply, end the calls instead.  Without
   calls in flight, only close the connection.  */
static void
replace_connection (rpc_peer_t *peer, bool was_silent)
{
  abandon_connection (peer);
  if (was_silent && ++peer->silent_connections >= SILENT_CONNECTIONS_MAX)
    {
      peer->silent_connections = 0;
      peer->retry_at_ms = clock_ms (peer->node->clock) + BACKOFF_INITIAL_MS;
      set_state (peer, RPC_UNRESPONSIVE);
      fail_calls (peer);
      return;
    }
  if (peer->call_count > 0)
    start_connection (peer);
  else
    set_state (peer, was_silent ? RPC_UNRESPONSIVE : RPC_DOWN);
}

static void
send_call (rpc_peer_t *peer, rpc_call_t *call)
{
  call->send_count++;
  if (call->send_count > 1)
    peer->node->stats.moved++;
  if (call->proc != WIRE_SUBMIT && call->proc != WIRE_FETCH)
    peer->node->stats.control_bytes_out += call->len;
  rpc_stream_send (&peer->connection->stream, call->record, call->len);
}

static void
on_stream_ended (rpc_stream_t *stream)
{
  peer_connection_t *connection = (peer_connection_t *)stream;

  if (connection->peer != NULL)
    replace_connection (connection->peer, false);
}

static void
on_stream_release (rpc_stream_t *stream)
{
  free (stream);
}

static void
report_pong (rpc_peer_t *peer, const wire_ping_res_t *pong)
{
  if (peer->events->pong != NULL)
    peer->events->pong (peer->arg, pong);
}

static void
on_pong (void *arg, vh_code_t code, void *result, unsigned send_count)
{
  (void)send_count;
  if (code == VH_OK)
    report_pong (arg, result);
}

/* Decode the result of CALL and end CALL with it.  Return false when the
   result is malformed.  */
static bool
deliver_reply (rpc_call_t *call, rpc_head_t *head)
{
  const rpc_proc_info_t *info = rpc_proc_info (call->proc);

  if (head->accept_stat != SUCCESS)
    {
      finish_call (call, VH_E_PROTOCOL, NULL);
      return true;
    }
  void *result = mem_zalloc (info->result_size);
  bool decoded = info->result (&head->xdr, result);
  if (decoded)
    finish_call (call, VH_OK, result);
  xdr_free (info->result, result);
  free (result);
  return decoded;
}

static bool
on_record (rpc_stream_t *stream, char *bytes, size_t len)
{
  peer_connection_t *connection = (peer_connection_t *)stream;
  rpc_peer_t *peer = connection->peer;
  rpc_node_t *node = stream->node;
  rpc_head_t head;

  if (peer == NULL || !rpc_decode_head (node, bytes, len, &head))
    return false;
  bool is_valid = head.is_reply;
  if (is_valid)
    {
      peer->ping_sent_ms = 0;
      peer->silent_connections = 0;
      peer->last_reply_ms = clock_ms (node->clock);
      peer->epoch = head.context.epoch;
      set_state (peer, RPC_UP);
      node->hooks.incoming (node->arg, peer, &head.context);
      rpc_call_t *call
          = peer->call_count > 0 ? *table_slot (peer, head.xid) : NULL;
      /* A reply that matches no call is late, or is the second reply to a call
         that was sent on two connections, which is equal to the first.  */
      if (call == NULL)
        node->stats.late++;
      else
        is_valid = deliver_reply (call, &head);
    }
  rpc_head_free (&head);
  return is_valid;
}

static void
on_connected (uv_connect_t *connect, int status)
{
  peer_connection_t *connection
      = CONTAINER_OF (connect, peer_connection_t, connect);
  rpc_peer_t *peer = connection->peer;

  if (peer == NULL || connection->stream.closing)
    return;
  if (status != 0)
    {
      handle_connect_failure (peer);
      return;
    }
  connection->is_connected = true;
  peer->backoff_ms = 0;
  rpc_stream_start (&connection->stream);
  LIST_EACH (at, &peer->calls)
    send_call (peer, CONTAINER_OF (at, rpc_call_t, link));
}

static void
start_connection (rpc_peer_t *peer)
{
  peer_connection_t *connection = mem_zalloc (sizeof *connection);

  connection->peer = peer;
  connection->started_ms = clock_ms (peer->node->clock);
  connection->stream.on_record = on_record;
  connection->stream.on_ended = on_stream_ended;
  connection->stream.on_release = on_stream_release;
  rpc_stream_init (&connection->stream, peer->node);
  peer->connection = connection;
  if (uv_tcp_connect (&connection->connect, &connection->stream.tcp,
                      (struct sockaddr *)&peer->addr, on_connected)
      != 0)
    /* The next rpc_peers_check treats the connection as timed out.  */
    connection->started_ms = 0;
}

rpc_peer_t *
rpc_peer_create (rpc_node_t *node, str_t address,
                 const rpc_peer_events_t *events, void *arg)
{
  struct sockaddr_storage addr;
  socklen_t len;

  if (!addr_parse (address, &addr, &len))
    return NULL;
  rpc_peer_t *peer = mem_zalloc (sizeof *peer);
  peer->node = node;
  peer->address = str_dup (address);
  peer->addr = addr;
  peer->events = events;
  peer->arg = arg;
  list_init (&peer->calls);
  table_grow (peer);
  list_append (&node->peers, &peer->node_link);
  return peer;
}

void
rpc_peer_destroy (rpc_peer_t *peer)
{
  if (peer == NULL || peer->destroyed)
    return;
  /* The next rpc_peers_check frees the memory: the caller may be a callback
     of this peer, or of another peer during rpc_peers_check.  */
  peer->destroyed = true;
  abandon_connection (peer);
  while (!list_is_empty (&peer->calls))
    finish_call (CONTAINER_OF (peer->calls.next, rpc_call_t, link),
                 VH_E_CANCELLED, NULL);
}

rpc_peer_state_t
rpc_peer_state (const rpc_peer_t *peer)
{
  return peer->state;
}

void *
rpc_peer_arg (const rpc_peer_t *peer)
{
  return peer->arg;
}

uint64_t
rpc_peer_epoch (const rpc_peer_t *peer)
{
  return peer->epoch;
}

uint64_t
rpc_peer_last_reply_ms (const rpc_peer_t *peer)
{
  return peer->last_reply_ms;
}

rpc_call_t *
rpc_peer_call (rpc_peer_t *peer, uint32_t proc, void *args,
               uint64_t timeout_ms, rpc_cb_t cb, void *arg)
{
  rpc_node_t *node = peer->node;
  rpc_call_t *call = mem_zalloc (sizeof *call);
  uint64_t now_ms = clock_ms (node->clock);

  call->peer = peer;
  call->xid = node->next_xid++;
  call->proc = proc;
  call->deadline_ms = now_ms + timeout_ms;
  call->cb = cb;
  call->arg = arg;
  call->len = rpc_encode_call (node, call->xid, proc, args);
  call->fails_on_next_check = call->len == 0;
  call->record = str_dup (str_make (node->scratch, call->len));
  if (peer->call_count >= peer->table_size)
    table_grow (peer);
  list_append (&peer->calls, &call->link);
  *table_slot (peer, call->xid) = call;
  peer->call_count++;
  node->stats.calls++;
  if (peer->connection != NULL && peer->connection->is_connected)
    send_call (peer, call);
  else if (peer->connection == NULL && now_ms < peer->retry_at_ms)
    call->fails_on_next_check = true;
  else if (peer->connection == NULL)
    start_connection (peer);
  if (call->fails_on_next_check)
    rpc_node_schedule_peer_check (node);
  return call;
}

static void
ignore_outcome (void *arg, vh_code_t code, void *result, unsigned send_count)
{
  (void)arg;
  (void)code;
  (void)result;
  (void)send_count;
}

void
rpc_peer_notify (rpc_peer_t *peer, uint32_t proc, void *args)
{
  rpc_peer_call (peer, proc, args, 4 * SILENCE_TIMEOUT_MS, ignore_outcome,
                 NULL);
}

/* Record how many bytes of CONNECTION are acknowledged.  Return the number of
   unacknowledged bytes.  */
static size_t
update_acknowledged (peer_connection_t *connection, uint64_t now_ms)
{
  size_t unacknowledged
      = rpc_stream_unacknowledged_bytes (&connection->stream);
  size_t queued = connection->stream.queued_total;
  size_t acknowledged = queued > unacknowledged ? queued - unacknowledged : 0;

  if (acknowledged > connection->acknowledged)
    {
      connection->acknowledged = acknowledged;
      connection->acknowledged_ms = now_ms;
    }
  return unacknowledged;
}

/* Return whether bytes of CONNECTION were acknowledged within the last
   SILENCE_TIMEOUT_MS.  */
static bool
is_output_progressing (peer_connection_t *connection, uint64_t now_ms)
{
  update_acknowledged (connection, now_ms);
  return now_ms - connection->acknowledged_ms < SILENCE_TIMEOUT_MS;
}

void
rpc_peer_ping (rpc_peer_t *peer)
{
  uint64_t now_ms = clock_ms (peer->node->clock);
  wire_ping_args_t args = { .sequence = ++peer->ping_sequence };

  if (peer->ping_sent_ms == 0)
    {
      peer->ping_sent_ms = now_ms;
      if (peer->connection != NULL)
        peer->connection->is_ping_delayed
            = update_acknowledged (peer->connection, now_ms) > 0;
    }
  rpc_peer_call (peer, WIRE_PING, &args, 4 * SILENCE_TIMEOUT_MS, on_pong,
                 peer);
}

/* Pings and timeouts.  */

static void
check_connection (rpc_peer_t *peer, uint64_t now_ms)
{
  peer_connection_t *connection = peer->connection;
  rpc_node_t *node = peer->node;

  if (!connection->is_connected)
    {
      if (now_ms - connection->started_ms >= CONNECT_TIMEOUT_MS)
        handle_connect_failure (peer);
      return;
    }
  /* A middlebox may have lost its state of this connection: bytes of both
     directions are dropped without an error, while a new connection works.
     Only the missing reply to a ping shows this.  A ping that was sent after a
     large call counts as unanswered only when the remote kernel no longer
     acknowledges bytes of that call.  */
  if (peer->ping_sent_ms != 0
      && now_ms - peer->ping_sent_ms >= SILENCE_TIMEOUT_MS
      && now_ms - connection->stream.received_ms >= SILENCE_TIMEOUT_MS
      && !(connection->is_ping_delayed
           && is_output_progressing (connection, now_ms)))
    {
      node->stats.silent++;
      log_notice (
          "rpc",
          "A connection no longer responds and is closed. peer=%s calls=%zu",
          peer->address, peer->call_count);
      replace_connection (peer, true);
      return;
    }
  uint64_t ping_after_ms = peer->call_count > 0 ? BUSY_CONNECTION_PING_AFTER_MS
                                                : node->idle_ping_ms;
  if (peer->ping_sent_ms == 0
      && now_ms - connection->stream.received_ms >= ping_after_ms)
    rpc_peer_ping (peer);
}

bool
rpc_call_is_transferring (const rpc_call_t *call)
{
  uint64_t now_ms = clock_ms (call->peer->node->clock);
  peer_connection_t *connection = call->peer->connection;

  if (connection == NULL || !connection->is_connected)
    return false;
  switch (rpc_proc_info (call->proc)->transfer_size)
    {
    case RPC_TRANSFER_SMALL:
      break;
    case RPC_TRANSFER_LARGE_CALL:
      return is_output_progressing (connection, now_ms);
    case RPC_TRANSFER_LARGE_REPLY:
      return connection->stream.in.len > 0
             && now_ms - connection->stream.received_ms < SILENCE_TIMEOUT_MS;
    }
  return false;
}

/* End the first call that has failed or timed out.  Return false when there is
   no such call.  */
static bool
end_due_call (rpc_peer_t *peer, uint64_t now_ms)
{
  LIST_EACH (at, &peer->calls)
    {
      rpc_call_t *call = CONTAINER_OF (at, rpc_call_t, link);
      if (!call->fails_on_next_check
          && (now_ms < call->deadline_ms || rpc_call_is_transferring (call)))
        continue;
      finish_call (call, call->send_count > 0 ? VH_E_TIMEOUT : VH_E_CONNECT,
                   NULL);
      return true;
    }
  return false;
}

static void
check_calls (rpc_peer_t *peer, uint64_t now_ms)
{
  /* The callback of a failed call may start a new call that also fails at
     once.  The new call is ended by the next rpc_peers_check; otherwise this
     loop might never end.  */
  for (size_t due = peer->call_count; due > 0; due--)
    if (!end_due_call (peer, now_ms))
      return;
}

static void
free_peer (rpc_peer_t *peer)
{
  list_remove (&peer->node_link);
  free (peer->table);
  free (peer->address);
  free (peer);
}

void
rpc_peers_free_destroyed (rpc_node_t *node)
{
  LIST_EACH (at, &node->peers)
    {
      rpc_peer_t *peer = CONTAINER_OF (at, rpc_peer_t, node_link);
      if (peer->destroyed)
        free_peer (peer);
    }
}

void
rpc_peers_check (rpc_node_t *node)
{
  uint64_t now_ms = clock_ms (node->clock);

  rpc_peers_free_destroyed (node);
  for (list_t *at = node->peers.next; at != &node->peers; at = at->next)
    {
      rpc_peer_t *peer = CONTAINER_OF (at, rpc_peer_t, node_link);
      if (peer->destroyed)
        continue;
      if (peer->connection != NULL)
        check_connection (peer, now_ms);
      else if (peer->state == RPC_UP)
        set_state (peer, RPC_DOWN);
      check_calls (peer, now_ms);
    }
}
