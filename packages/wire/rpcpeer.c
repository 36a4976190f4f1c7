#include "wire/rpcint.h"

#include "base/log.h"
#include "wire/addr.h"

#include <stdlib.h>

enum
{
  /* A connection with calls in flight is pinged when nothing came for this
     long, and left when the ping had no answer for as long again twice over:
     1.25 s in all, under the 2 s that a caller may wait for a move.  A loop
     stalled for less than SILENCE_MS loses nothing by a needless move.  */
  BUSY_PING_MS = 400,
  SILENCE_MS = 800,
  CONNECT_TIMEOUT_MS = 800,
  /* Fresh connections in a row without any answer before the peer itself is
     taken for silent (paused, or cut off) and its calls are given back.  */
  SILENT_MOVES_MAX = 2,
  BACKOFF_FIRST_MS = 100,
  BACKOFF_MAX_MS = 3000,
  CALL_TABLE_FIRST = 16
};

typedef struct link link_t;

struct rpc_peer
{
  rpc_node_t *node;
  list_t in_node;
  char *address;
  struct sockaddr_storage addr;
  link_t *current; /* Connecting or up; NULL: none.  */
  rpc_peer_state_t state;
  const rpc_peer_events_t *events;
  void *arg;
  list_t calls;       /* In flight, oldest first.  */
  rpc_call_t **table; /* By transaction id.  */
  size_t table_size;  /* A power of two.  */
  size_t call_count;
  uint64_t epoch;
  uint64_t heard_ms;
  uint64_t ping_sent_ms; /* 0: none without answer.  */
  uint32_t ping_sequence;
  unsigned silent_moves;
  uint64_t backoff_ms;
  uint64_t retry_at_ms;
  bool destroyed;
};

/* One connection to a peer.  */
struct link
{
  rpc_stream_t stream; /* First.  */
  rpc_peer_t *peer;    /* NULL once left.  */
  uv_connect_t connect;
  uint64_t started_ms;
  bool up;
  size_t taken;      /* Of the bytes queued, by the other side's kernel.  */
  uint64_t taken_ms; /* When that was last seen to grow.  */
  bool ping_behind;  /* The ping was sent behind bytes not taken then.  */
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
  unsigned sent;
  bool failed_at_once; /* Report VH_E_CONNECT on the next sweep.  */
  rpc_cb_t cb;
  void *arg;
};

/* Call table.  */

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
  size_t size = peer->table_size > 0 ? 2 * peer->table_size : CALL_TABLE_FIRST;

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
  unsigned sent = call->sent;

  release_call (call);
  cb (arg, code, result, sent);
}

void
rpc_cancel (rpc_call_t *call)
{
  if (call != NULL)
    release_call (call);
}

/* Take the calls out of PEER and end each: the callbacks may make new ones
   meanwhile.  */
static void
fail_calls (rpc_peer_t *peer)
{
  size_t count = peer->call_count;

  while (count-- > 0 && !list_is_empty (&peer->calls))
    {
      rpc_call_t *call = CONTAINER_OF (peer->calls.next, rpc_call_t, link);
      finish_call (call, call->sent > 0 ? VH_E_CLOSED : VH_E_CONNECT, NULL);
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

static void start_link (rpc_peer_t *peer);

static void
leave_link (rpc_peer_t *peer)
{
  link_t *old = peer->current;

  peer->current = NULL;
  peer->ping_sent_ms = 0;
  if (old == NULL)
    return;
  old->peer = NULL;
  rpc_stream_close (&old->stream);
}

static void
connect_failed (rpc_peer_t *peer)
{
  rpc_node_t *node = peer->node;

  leave_link (peer);
  peer->backoff_ms
      = peer->backoff_ms == 0 ? BACKOFF_FIRST_MS : peer->backoff_ms * 2;
  if (peer->backoff_ms > BACKOFF_MAX_MS)
    peer->backoff_ms = BACKOFF_MAX_MS;
  peer->retry_at_ms
      = clock_ms (node->clock) + rng_jitter (&node->rng, peer->backoff_ms);
  set_state (peer, RPC_DOWN);
  fail_calls (peer);
}

/* The connection ended or went silent: go on with a fresh one, or give up on
   a peer that answers on none.  */
static void
move_calls (rpc_peer_t *peer, bool was_silent)
{
  leave_link (peer);
  if (was_silent && ++peer->silent_moves >= SILENT_MOVES_MAX)
    {
      peer->silent_moves = 0;
      peer->retry_at_ms = clock_ms (peer->node->clock) + BACKOFF_FIRST_MS;
      set_state (peer, RPC_UNRESPONSIVE);
      fail_calls (peer);
      return;
    }
  if (peer->call_count > 0)
    start_link (peer);
  else
    set_state (peer, was_silent ? RPC_UNRESPONSIVE : RPC_DOWN);
}

static void
send_call (rpc_peer_t *peer, rpc_call_t *call)
{
  call->sent++;
  if (call->sent > 1)
    peer->node->stats.moved++;
  if (call->proc != WIRE_SUBMIT && call->proc != WIRE_FETCH)
    peer->node->stats.control_bytes_out += call->len;
  rpc_stream_send (&peer->current->stream, call->record, call->len);
}

static void
on_stream_ended (rpc_stream_t *stream)
{
  link_t *link = (link_t *)stream;

  if (link->peer != NULL)
    move_calls (link->peer, false);
}

static void
on_stream_release (rpc_stream_t *stream)
{
  free (stream);
}

static void
take_pong (rpc_peer_t *peer, const wire_ping_res_t *pong)
{
  if (peer->events->pong != NULL)
    peer->events->pong (peer->arg, pong);
}

static void
on_pong (void *arg, vh_code_t code, void *result, unsigned sent)
{
  (void)sent;
  if (code == VH_OK)
    take_pong (arg, result);
}

/* Decode the result of CALL and report it.  Return false when malformed.  */
static bool
deliver (rpc_call_t *call, rpc_head_t *head)
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
  link_t *link = (link_t *)stream;
  rpc_peer_t *peer = link->peer;
  rpc_node_t *node = stream->node;
  rpc_head_t head;

  if (peer == NULL || !rpc_decode_head (node, bytes, len, &head))
    return false;
  bool good = head.is_reply;
  if (good)
    {
      peer->ping_sent_ms = 0;
      peer->silent_moves = 0;
      peer->heard_ms = clock_ms (node->clock);
      peer->epoch = head.context.epoch;
      set_state (peer, RPC_UP);
      node->hooks.incoming (node->arg, peer, &head.context);
      rpc_call_t *call
          = peer->call_count > 0 ? *table_slot (peer, head.xid) : NULL;
      /* A reply that nothing waits for is late, or the second one of a call
         that moved; the first was as good.  */
      if (call == NULL)
        node->stats.late++;
      else
        good = deliver (call, &head);
    }
  rpc_head_free (&head);
  return good;
}

static void
on_connected (uv_connect_t *connect, int status)
{
  link_t *link = CONTAINER_OF (connect, link_t, connect);
  rpc_peer_t *peer = link->peer;

  if (peer == NULL || link->stream.closing)
    return;
  if (status != 0)
    {
      connect_failed (peer);
      return;
    }
  link->up = true;
  peer->backoff_ms = 0;
  rpc_stream_start (&link->stream);
  LIST_EACH (at, &peer->calls)
    send_call (peer, CONTAINER_OF (at, rpc_call_t, link));
}

static void
start_link (rpc_peer_t *peer)
{
  link_t *link = mem_zalloc (sizeof *link);

  link->peer = peer;
  link->started_ms = clock_ms (peer->node->clock);
  link->stream.record = on_record;
  link->stream.ended = on_stream_ended;
  link->stream.release = on_stream_release;
  rpc_stream_init (&link->stream, peer->node);
  peer->current = link;
  if (uv_tcp_connect (&link->connect, &link->stream.tcp,
                      (struct sockaddr *)&peer->addr, on_connected)
      != 0)
    link->started_ms = 0; /* The next sweep takes it for timed out.  */
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
  list_append (&node->peers, &peer->in_node);
  return peer;
}

void
rpc_peer_destroy (rpc_peer_t *peer)
{
  if (peer == NULL || peer->destroyed)
    return;
  /* The memory goes at the next sweep: this may be called from a callback of
     the peer itself, or of its neighbour in a sweep.  */
  peer->destroyed = true;
  leave_link (peer);
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
  return peer->heard_ms;
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
  call->failed_at_once = call->len == 0;
  call->record = str_dup (str_make (node->scratch, call->len));
  if (peer->call_count >= peer->table_size)
    table_grow (peer);
  list_append (&peer->calls, &call->link);
  *table_slot (peer, call->xid) = call;
  peer->call_count++;
  node->stats.calls++;
  if (peer->current != NULL && peer->current->up)
    send_call (peer, call);
  else if (peer->current == NULL && now_ms < peer->retry_at_ms)
    call->failed_at_once = true;
  else if (peer->current == NULL)
    start_link (peer);
  if (call->failed_at_once)
    rpc_node_sweep_soon (node);
  return call;
}

static void
ignore_result (void *arg, vh_code_t code, void *result, unsigned sent)
{
  (void)arg;
  (void)code;
  (void)result;
  (void)sent;
}

void
rpc_peer_notify (rpc_peer_t *peer, uint32_t proc, void *args)
{
  rpc_peer_call (peer, proc, args, 4 * SILENCE_MS, ignore_result, NULL);
}

/* See what was taken from LINK.  Return how many bytes were not.  */
static size_t
look_at_output (link_t *link, uint64_t now_ms)
{
  size_t unsent = rpc_stream_unsent (&link->stream);
  size_t queued = link->stream.queued;
  size_t taken = queued > unsent ? queued - unsent : 0;

  if (taken > link->taken)
    {
      link->taken = taken;
      link->taken_ms = now_ms;
    }
  return unsent;
}

/* Tell whether bytes were taken from LINK of late.  */
static bool
is_taking (link_t *link, uint64_t now_ms)
{
  look_at_output (link, now_ms);
  return now_ms - link->taken_ms < SILENCE_MS;
}

void
rpc_peer_ping (rpc_peer_t *peer)
{
  uint64_t now_ms = clock_ms (peer->node->clock);
  wire_ping_args_t args = { .sequence = ++peer->ping_sequence };

  if (peer->ping_sent_ms == 0)
    {
      peer->ping_sent_ms = now_ms;
      if (peer->current != NULL)
        peer->current->ping_behind
            = look_at_output (peer->current, now_ms) > 0;
    }
  rpc_peer_call (peer, WIRE_PING, &args, 4 * SILENCE_MS, on_pong, peer);
}

/* Heartbeats and sweeps.  */

static void
check_link (rpc_peer_t *peer, uint64_t now_ms)
{
  link_t *link = peer->current;
  rpc_node_t *node = peer->node;

  if (!link->up)
    {
      if (now_ms - link->started_ms >= CONNECT_TIMEOUT_MS)
        connect_failed (peer);
      return;
    }
  /* Some middle box may have lost track of this connection: bytes vanish
     both ways and no error ever comes, while a new connection works.  Only
     the missing answer shows it, and of a ping behind a large call not before
     the link has stopped taking that.  */
  if (peer->ping_sent_ms != 0 && now_ms - peer->ping_sent_ms >= SILENCE_MS
      && now_ms - link->stream.received_ms >= SILENCE_MS
      && !(link->ping_behind && is_taking (link, now_ms)))
    {
      node->stats.silent++;
      log_notice ("rpc", "Connection is silent, moving. peer=%s calls=%zu",
                  peer->address, peer->call_count);
      move_calls (peer, true);
      return;
    }
  uint64_t quiet_ms = peer->call_count > 0 ? BUSY_PING_MS : node->idle_ping_ms;
  if (peer->ping_sent_ms == 0 && now_ms - link->stream.received_ms >= quiet_ms)
    rpc_peer_ping (peer);
}

bool
rpc_call_is_transferring (const rpc_call_t *call)
{
  uint64_t now_ms = clock_ms (call->peer->node->clock);
  link_t *link = call->peer->current;

  if (link == NULL || !link->up)
    return false;
  switch (rpc_proc_info (call->proc)->size)
    {
    case RPC_SMALL:
      break;
    case RPC_LARGE_CALL:
      return is_taking (link, now_ms);
    case RPC_LARGE_REPLY:
      return link->stream.in.len > 0
             && now_ms - link->stream.received_ms < SILENCE_MS;
    }
  return false;
}

/* End the first call that is due.  Return false when none is.  */
static bool
end_due_call (rpc_peer_t *peer, uint64_t now_ms)
{
  LIST_EACH (at, &peer->calls)
    {
      rpc_call_t *call = CONTAINER_OF (at, rpc_call_t, link);
      if (!call->failed_at_once
          && (now_ms < call->deadline_ms || rpc_call_is_transferring (call)))
        continue;
      finish_call (call, call->sent > 0 ? VH_E_TIMEOUT : VH_E_CONNECT, NULL);
      return true;
    }
  return false;
}

static void
check_calls (rpc_peer_t *peer, uint64_t now_ms)
{
  /* A callback may make a call that fails at once again: it waits for the
     next sweep, or this loop might never end.  */
  for (size_t due = peer->call_count; due > 0; due--)
    if (!end_due_call (peer, now_ms))
      return;
}

static void
free_peer (rpc_peer_t *peer)
{
  list_remove (&peer->in_node);
  free (peer->table);
  free (peer->address);
  free (peer);
}

void
rpc_peers_purge (rpc_node_t *node)
{
  LIST_EACH (at, &node->peers)
    {
      rpc_peer_t *peer = CONTAINER_OF (at, rpc_peer_t, in_node);
      if (peer->destroyed)
        free_peer (peer);
    }
}

void
rpc_peers_sweep (rpc_node_t *node)
{
  uint64_t now_ms = clock_ms (node->clock);

  rpc_peers_purge (node);
  for (list_t *at = node->peers.next; at != &node->peers; at = at->next)
    {
      rpc_peer_t *peer = CONTAINER_OF (at, rpc_peer_t, in_node);
      if (peer->destroyed)
        continue;
      if (peer->current != NULL)
        check_link (peer, now_ms);
      else if (peer->state == RPC_UP)
        set_state (peer, RPC_DOWN);
      check_calls (peer, now_ms);
    }
}
