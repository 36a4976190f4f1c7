/* Shared by rpccodec.c, rpcserver.c and rpcpeer.c alone.  */

#ifndef WIRE_RPCINT_H
#define WIRE_RPCINT_H

#include "base/mem.h"
#include "wire/rpc.h"

enum
{
  RPC_SWEEP_MS = 50,
  RPC_RECORD_MAX = 8 << 20, /* Bytes; larger ones end the connection.  */
  RPC_MARK_LEN = 4,
  RPC_READ_CHUNK = 64 << 10
};

typedef enum
{
  RPC_SMALL,
  RPC_LARGE_CALL,
  RPC_LARGE_REPLY
} rpc_size_t;

typedef struct
{
  const char *name;
  xdrproc_t args;
  size_t args_size;
  xdrproc_t result;
  size_t result_size;
  rpc_size_t size;
} rpc_proc_info_t;

/* Return the entry of PROC, or NULL.  */
const rpc_proc_info_t *rpc_proc_info (uint32_t proc);

struct rpc_node
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  rng_t rng;
  char *name;
  uint64_t epoch;
  struct rpc_mac *macs; /* One a key.  */
  size_t mac_count;
  rpc_hooks_t hooks;
  void *arg;
  char *scratch; /* Encoding room, grown at need.  */
  size_t scratch_cap;
  uint32_t next_xid;
  uint64_t idle_ping_ms;
  list_t peers;
  list_t dirty; /* Streams with bytes to write, flushed once a turn.  */
  uv_prepare_t flusher;
  uv_timer_t sweep;
  unsigned open_handles;
  bool destroyed;
  rpc_stats_t stats;
};

/* A TCP connection that cuts its input into records and gathers its output
   into one write a turn.  Embedded in the server's and the peer's
   connections; RELEASE frees the embedding struct.  */
typedef struct rpc_stream
{
  uv_tcp_t tcp;
  rpc_node_t *node;
  buf_t in;
  size_t in_at; /* Bytes of IN already cut.  */
  buf_t out;
  list_t dirty;
  size_t queued; /* Bytes ever queued.  */
  uint64_t received_ms;
  bool closing;
  /* RECORD returns false when it is malformed, which ends the stream.  */
  bool (*record) (struct rpc_stream *stream, char *bytes, size_t len);
  void (*ended) (struct rpc_stream *stream);
  void (*release) (struct rpc_stream *stream);
} rpc_stream_t;

void rpc_stream_init (rpc_stream_t *stream, rpc_node_t *node);
/* Begin reading.  */
void rpc_stream_start (rpc_stream_t *stream);
/* Queue RECORD, mark included, for this turn's write.  */
void rpc_stream_send (rpc_stream_t *stream, const char *record, size_t len);
/* Bytes queued that the other side's kernel has not taken yet.  */
size_t rpc_stream_unsent (const rpc_stream_t *stream);
/* Close without calling ENDED; RELEASE follows on a later turn.  */
void rpc_stream_close (rpc_stream_t *stream);

/* Encode a call with its mark into the node's scratch.  Return its length,
   or 0 when it is larger than RPC_RECORD_MAX.  */
size_t rpc_encode_call (rpc_node_t *node, uint32_t xid, uint32_t proc,
                        void *args);
size_t rpc_encode_reply (rpc_node_t *node, uint32_t xid, uint32_t proc,
                         void *result);

typedef struct
{
  uint32_t xid;
  bool is_reply;
  uint32_t proc;          /* Of a call.  */
  uint32_t accept_stat;   /* Of a reply; 0: success.  */
  wire_context_t context; /* Release with rpc_head_free.  */
  XDR xdr;                /* Stands at the arguments or the result.  */
} rpc_head_t;

/* Decode the head of a record, verifying its mac.  Return false when it is
   malformed or not signed by a known key, with nothing to free.  */
bool rpc_decode_head (rpc_node_t *node, char *record, size_t len,
                      rpc_head_t *head);
void rpc_head_free (rpc_head_t *head);

/* One sweep over the peers of NODE: heartbeats and timeouts.  */
void rpc_peers_sweep (rpc_node_t *node);
/* Free the peers that were destroyed.  */
void rpc_peers_purge (rpc_node_t *node);
/* Sweep on the next turn.  */
void rpc_node_sweep_soon (rpc_node_t *node);

#endif
