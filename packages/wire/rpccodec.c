#include "wire/rpcint.h"

#include "base/loop_watch.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <stdlib.h>
#include <sys/ioctl.h>

enum
{
  RPC_VERSION_NUMBER = 2,
  RPC_CALL = 0,
  RPC_REPLY = 1,
  RPC_ACCEPTED = 0,
  /* Authentication flavor of the context, from the range that ONC RPC reserves
     for its users.  */
  RPC_CONTEXT_FLAVOR = 0x20564801,
  RPC_AUTH_MAX = 400,
  SCRATCH_INITIAL_BYTES = 64 << 10,
  OUTPUT_BUFFER_KEPT_BYTES = 2 << 10,
  DIGEST_LEN = 32
};

#define X(proc, args, result, size)                                           \
  [proc] = { #proc,           (xdrproc_t)xdr_##args,                          \
             sizeof (args),   (xdrproc_t)xdr_##result,                        \
             sizeof (result), size },
static const rpc_proc_info_t procs[] = { RPC_PROCS (X) };
#undef X

const rpc_proc_info_t *
rpc_proc_info (uint32_t proc)
{
  if (proc >= sizeof procs / sizeof procs[0] || procs[proc].name == NULL)
    return NULL;
  return &procs[proc];
}

/* Keyed MAC context, initialized once and duplicated for each message.  */
struct rpc_mac
{
  EVP_MAC_CTX *ctx;
};

/* Initialize MAC with KEY.  Return false when OpenSSL reports an error.  */
static bool
mac_init (struct rpc_mac *mac, str_t key)
{
  OSSL_PARAM params[2];
  char digest[] = "SHA256";
  EVP_MAC *algorithm = EVP_MAC_fetch (NULL, "HMAC", NULL);

  if (algorithm == NULL)
    return false;
  mac->ctx = EVP_MAC_CTX_new (algorithm);
  EVP_MAC_free (algorithm);
  params[0] = OSSL_PARAM_construct_utf8_string ("digest", digest, 0);
  params[1] = OSSL_PARAM_construct_end ();
  return mac->ctx != NULL
         && EVP_MAC_init (mac->ctx, (const unsigned char *)key.ptr, key.len,
                          params)
                == 1;
}

/* Write the MAC of BYTES, truncated to WIRE_MAC_LEN bytes, to OUT.  */
static void
mac_compute (const struct rpc_mac *mac, const char *bytes, size_t len,
             char *out)
{
  unsigned char digest[DIGEST_LEN] = { 0 };
  size_t digest_len = 0;
  EVP_MAC_CTX *ctx = EVP_MAC_CTX_dup (mac->ctx);

  if (ctx != NULL
      && EVP_MAC_update (ctx, (const unsigned char *)bytes, len) == 1)
    EVP_MAC_final (ctx, digest, &digest_len, sizeof digest);
  EVP_MAC_CTX_free (ctx);
  memcpy (out, digest, WIRE_MAC_LEN);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  rpc_node_t *node = handle->data;

  if (--node->open_handles > 0)
    return;
  for (size_t i = 0; i < node->mac_count; i++)
    EVP_MAC_CTX_free (node->macs[i].ctx);
  free (node->macs);
  free (node->name);
  free (node->scratch);
  free (node);
}

static void
on_peer_check_timer (uv_timer_t *timer)
{
  rpc_peers_check (timer->data);
}

static void flush_streams (uv_prepare_t *flusher);

rpc_node_t *
rpc_node_create (uv_loop_t *loop, clock_iface_t *clock, rng_t rng, str_t name,
                 const str_t *keys, size_t key_count, const rpc_hooks_t *hooks,
                 void *arg)
{
  enum
  {
    DEFAULT_IDLE_PING_MS = 1000
  };
  rpc_node_t *node = mem_zalloc (sizeof *node);

  node->loop = loop;
  node->clock = clock;
  node->rng = rng;
  node->name = str_dup (name);
  node->epoch = rng_u64 (&node->rng) | 1;
  node->next_xid = (uint32_t)rng_u64 (&node->rng);
  node->hooks = *hooks;
  node->arg = arg;
  node->idle_ping_ms = DEFAULT_IDLE_PING_MS;
  node->scratch_cap = SCRATCH_INITIAL_BYTES;
  node->scratch = mem_alloc (node->scratch_cap);
  node->macs = mem_zalloc ((key_count + 1) * sizeof *node->macs);
  for (size_t i = 0; i < key_count; i++)
    if (mac_init (&node->macs[node->mac_count], keys[i]))
      node->mac_count++;
  list_init (&node->peers);
  list_init (&node->unflushed);
  uv_prepare_init (loop, &node->flusher);
  uv_timer_init (loop, &node->peer_check_timer);
  node->flusher.data = node;
  node->peer_check_timer.data = node;
  node->open_handles = 2;
  uv_prepare_start (&node->flusher, flush_streams);
  uv_timer_start (&node->peer_check_timer, on_peer_check_timer,
                  RPC_PEER_CHECK_INTERVAL_MS, RPC_PEER_CHECK_INTERVAL_MS);
  uv_unref ((uv_handle_t *)&node->flusher);
  uv_unref ((uv_handle_t *)&node->peer_check_timer);
  return node;
}

void
rpc_node_destroy (rpc_node_t *node)
{
  if (node == NULL)
    return;
  rpc_peers_free_destroyed (node);
  uv_close ((uv_handle_t *)&node->flusher, on_handle_closed);
  uv_close ((uv_handle_t *)&node->peer_check_timer, on_handle_closed);
}

void
rpc_node_schedule_peer_check (rpc_node_t *node)
{
  uv_timer_start (&node->peer_check_timer, on_peer_check_timer, 0,
                  RPC_PEER_CHECK_INTERVAL_MS);
}

const rpc_stats_t *
rpc_node_stats (const rpc_node_t *node)
{
  return &node->stats;
}

uint64_t
rpc_node_epoch (const rpc_node_t *node)
{
  return node->epoch;
}

void
rpc_node_set_idle_ping_ms (rpc_node_t *node, uint64_t idle_ms)
{
  node->idle_ping_ms = idle_ms;
}

/* Encode the context of NODE as an opaque_auth and set *MAC_OFFSET to the
   offset of its MAC.  Return false when the buffer of XDR is too small.  */
static bool
encode_context (rpc_node_t *node, XDR *xdr, u_int *mac_offset)
{
  wire_context_t context;
  u_int flavor = RPC_CONTEXT_FLAVOR;
  u_int len = 0;

  memset (&context, 0, sizeof context);
  context.name = node->name;
  node->hooks.outgoing (node->arg, &context);
  context.epoch = node->epoch;
  if (!xdr_u_int (xdr, &flavor))
    return false;
  u_int len_offset = xdr_getpos (xdr);
  if (!xdr_u_int (xdr, &len))
    return false;
  u_int context_begin = xdr_getpos (xdr);
  if (!xdr_wire_context_t (xdr, &context))
    return false;
  u_int context_end = xdr_getpos (xdr);
  len = context_end - context_begin;
  *mac_offset = context_end - WIRE_MAC_LEN;
  return xdr_setpos (xdr, len_offset) && xdr_u_int (xdr, &len)
         && xdr_setpos (xdr, context_end);
}

typedef struct
{
  uint32_t xid;
  uint32_t type;
  uint32_t proc;
  xdrproc_t body;
  void *value;
} message_t;

/* Encode MESSAGE at the start of XDR and set *MAC_OFFSET to the offset of its
   MAC.  Return false when the buffer of XDR is too small.  */
static bool
encode_message (rpc_node_t *node, XDR *xdr, const message_t *message,
                u_int *mac_offset)
{
  u_int call_head[]
      = { message->xid,        RPC_CALL,       RPC_VERSION_NUMBER,
          VANILLAHOOK_PROGRAM, VANILLAHOOK_V1, message->proc };
  u_int reply_head[] = { message->xid, RPC_REPLY, RPC_ACCEPTED };
  u_int none[] = { AUTH_NONE, 0 };
  u_int success = SUCCESS;
  bool is_call = message->type == RPC_CALL;
  u_int *head = is_call ? call_head : reply_head;
  size_t count = is_call ? 6 : 3;

  for (size_t i = 0; i < count; i++)
    if (!xdr_u_int (xdr, &head[i]))
      return false;
  if (!encode_context (node, xdr, mac_offset))
    return false;
  if (is_call && !(xdr_u_int (xdr, &none[0]) && xdr_u_int (xdr, &none[1])))
    return false;
  if (!is_call && !xdr_u_int (xdr, &success))
    return false;
  return message->body (xdr, message->value);
}

/* Encode MESSAGE with its record mark into the scratch buffer of NODE, which
   grows as needed.  Return as rpc_encode_call does.  */
static size_t
encode_record (rpc_node_t *node, const message_t *message)
{
  for (;;)
    {
      XDR xdr;
      u_int mac_offset = 0;
      char *bytes = node->scratch + RPC_RECORD_MARK_LEN;

      xdrmem_create (&xdr, bytes,
                     (u_int)(node->scratch_cap - RPC_RECORD_MARK_LEN),
                     XDR_ENCODE);
      if (encode_message (node, &xdr, message, &mac_offset))
        {
          size_t len = xdr_getpos (&xdr);
          uint32_t mark = htonl ((uint32_t)len | 0x80000000u);
          memcpy (node->scratch, &mark, sizeof mark);
          if (node->mac_count > 0)
            mac_compute (&node->macs[0], bytes, len, bytes + mac_offset);
          return len + RPC_RECORD_MARK_LEN;
        }
      if (node->scratch_cap >= RPC_RECORD_MAX_BYTES)
        return 0;
      node->scratch_cap *= 2;
      node->scratch = mem_realloc (node->scratch, node->scratch_cap);
    }
}

size_t
rpc_encode_call (rpc_node_t *node, uint32_t xid, uint32_t proc, void *args)
{
  const message_t message
      = { xid, RPC_CALL, proc, rpc_proc_info (proc)->args, args };

  return encode_record (node, &message);
}

size_t
rpc_encode_reply (rpc_node_t *node, uint32_t xid, uint32_t proc, void *result)
{
  const message_t message
      = { xid, RPC_REPLY, proc, rpc_proc_info (proc)->result, result };

  return encode_record (node, &message);
}

/* Return whether the MAC at MAC_OFFSET of RECORD was computed with a known
   key, or NODE has no keys.  The MAC in RECORD is overwritten with zeros.  */
static bool
verify_mac (rpc_node_t *node, char *record, size_t len, size_t mac_offset)
{
  char received_mac[WIRE_MAC_LEN];
  char computed_mac[WIRE_MAC_LEN];

  if (node->mac_count == 0)
    return true;
  memcpy (received_mac, record + mac_offset, sizeof received_mac);
  memset (record + mac_offset, 0, sizeof received_mac);
  for (size_t i = 0; i < node->mac_count; i++)
    {
      mac_compute (&node->macs[i], record, len, computed_mac);
      if (CRYPTO_memcmp (received_mac, computed_mac, sizeof received_mac) == 0)
        return true;
    }
  return false;
}

/* Decode the context at XDR.  Return false when the context is malformed.  */
static bool
decode_context (XDR *xdr, wire_context_t *context, size_t *mac_offset)
{
  u_int flavor, len;

  if (!xdr_u_int (xdr, &flavor) || !xdr_u_int (xdr, &len)
      || flavor != RPC_CONTEXT_FLAVOR || len > RPC_AUTH_MAX)
    return false;
  u_int context_begin = xdr_getpos (xdr);
  if (!xdr_wire_context_t (xdr, context)
      || xdr_getpos (xdr) - context_begin != len)
    return false;
  *mac_offset = xdr_getpos (xdr) - WIRE_MAC_LEN;
  return true;
}

/* Decode the part of a call's head after the message type.  */
static bool
decode_call_head (XDR *xdr, rpc_head_t *head, size_t *mac_offset)
{
  u_int version, program, program_version, proc, flavor, len;

  if (!xdr_u_int (xdr, &version) || !xdr_u_int (xdr, &program)
      || !xdr_u_int (xdr, &program_version) || !xdr_u_int (xdr, &proc)
      || version != RPC_VERSION_NUMBER || program != VANILLAHOOK_PROGRAM
      || program_version != VANILLAHOOK_V1)
    return false;
  head->proc = proc;
  return decode_context (xdr, &head->context, mac_offset)
         && xdr_u_int (xdr, &flavor) && xdr_u_int (xdr, &len)
         && flavor == AUTH_NONE && len == 0;
}

/* Decode the part of a reply's head after the message type.  */
static bool
decode_reply_head (XDR *xdr, rpc_head_t *head, size_t *mac_offset)
{
  u_int reply_stat, accept_stat;

  if (!xdr_u_int (xdr, &reply_stat) || reply_stat != RPC_ACCEPTED
      || !decode_context (xdr, &head->context, mac_offset)
      || !xdr_u_int (xdr, &accept_stat))
    return false;
  head->accept_stat = accept_stat;
  return true;
}

bool
rpc_decode_head (rpc_node_t *node, char *record, size_t len, rpc_head_t *head)
{
  u_int xid, type;
  size_t mac_offset = 0;

  memset (head, 0, sizeof *head);
  xdrmem_create (&head->xdr, record, (u_int)len, XDR_DECODE);
  if (!xdr_u_int (&head->xdr, &xid) || !xdr_u_int (&head->xdr, &type)
      || type > RPC_REPLY)
    goto malformed;
  head->xid = xid;
  head->is_reply = type == RPC_REPLY;
  if (!(head->is_reply ? decode_reply_head (&head->xdr, head, &mac_offset)
                       : decode_call_head (&head->xdr, head, &mac_offset))
      || !verify_mac (node, record, len, mac_offset))
    goto malformed;
  return true;

malformed:
  rpc_head_free (head);
  node->stats.refused++;
  return false;
}

void
rpc_head_free (rpc_head_t *head)
{
  xdr_free ((xdrproc_t)xdr_wire_context_t, (char *)&head->context);
}

vh_code_t
rpc_decode_and_discard (rpc_node_t *node, str_t record)
{
  char *copy = str_dup (record);
  rpc_head_t head;
  vh_code_t code = VH_E_PROTOCOL;

  if (!rpc_decode_head (node, copy, record.len, &head))
    goto done;
  const rpc_proc_info_t *info
      = rpc_proc_info (head.is_reply ? (uint32_t)WIRE_FETCH : head.proc);
  if (info != NULL)
    {
      xdrproc_t proc = head.is_reply ? info->result : info->args;
      size_t size = head.is_reply ? info->result_size : info->args_size;
      void *value = mem_zalloc (size);
      if (proc (&head.xdr, value))
        code = VH_OK;
      xdr_free (proc, value);
      free (value);
    }
  rpc_head_free (&head);
done:
  free (copy);
  return code;
}

/* Connections that carry records.  */

static void
on_stream_closed (uv_handle_t *handle)
{
  rpc_stream_t *stream = handle->data;

  buf_free (&stream->in);
  buf_free (&stream->out);
  stream->on_release (stream);
}

void
rpc_stream_close (rpc_stream_t *stream)
{
  if (stream->closing)
    return;
  stream->closing = true;
  list_remove (&stream->unflushed);
  uv_close ((uv_handle_t *)&stream->tcp, on_stream_closed);
}

static void
end_stream (rpc_stream_t *stream)
{
  if (stream->closing)
    return;
  rpc_stream_close (stream);
  stream->on_ended (stream);
}

void
rpc_stream_init (rpc_stream_t *stream, rpc_node_t *node)
{
  stream->node = node;
  list_init (&stream->unflushed);
  uv_tcp_init (node->loop, &stream->tcp);
  stream->tcp.data = stream;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
  rpc_stream_t *stream = handle->data;

  (void)suggested;
  buf_reserve (&stream->in, RPC_READ_CHUNK_BYTES);
  out->base = stream->in.ptr + stream->in.len;
  out->len = stream->in.cap - stream->in.len;
}

/* Process the complete records of the input.  Return false when the stream
   must be closed.  */
static bool
process_records (rpc_stream_t *stream)
{
  while (stream->in.len - stream->in_processed >= RPC_RECORD_MARK_LEN)
    {
      uint32_t mark;
      char *record_start = stream->in.ptr + stream->in_processed;

      memcpy (&mark, record_start, sizeof mark);
      mark = ntohl (mark);
      size_t len = mark & 0x7fffffffu;
      /* Our encoder never splits a record into fragments, so a sender that
         does is not one of our processes.  The length is checked before memory
         is allocated for the record.  */
      if ((mark & 0x80000000u) == 0 || len > RPC_RECORD_MAX_BYTES)
        {
          stream->node->stats.refused++;
          return false;
        }
      if (stream->in.len - stream->in_processed < RPC_RECORD_MARK_LEN + len)
        {
          buf_reserve (&stream->in, RPC_RECORD_MARK_LEN + len);
          break;
        }
      stream->in_processed += RPC_RECORD_MARK_LEN + len;
      if (!stream->on_record (stream, record_start + RPC_RECORD_MARK_LEN, len))
        return false;
      if (stream->closing)
        return true;
    }
  buf_consume (&stream->in, stream->in_processed);
  stream->in_processed = 0;
  /* An entry has thousands of connections, most of them idle; read buffers
     kept for all of them would be most of its memory.  */
  if (stream->in.len == 0)
    buf_free (&stream->in);
  return true;
}

static void
on_read (uv_stream_t *tcp, ssize_t read_len, const uv_buf_t *buf)
{
  rpc_stream_t *stream = tcp->data;

  (void)buf;
  if (read_len == 0)
    return;
  if (read_len < 0)
    {
      end_stream (stream);
      return;
    }
  stream->in.len += (size_t)read_len;
  stream->node->stats.bytes_in += (uint64_t)read_len;
  stream->received_ms = clock_ms (stream->node->clock);
  loop_work_t outer = loop_work_begin (LOOP_WORK_PEERS);
  bool is_valid = process_records (stream);
  loop_work_end (outer);
  if (!is_valid)
    end_stream (stream);
}

void
rpc_stream_start (rpc_stream_t *stream)
{
  uv_tcp_nodelay (&stream->tcp, 1);
  stream->received_ms = clock_ms (stream->node->clock);
  uv_read_start ((uv_stream_t *)&stream->tcp, on_alloc, on_read);
}

void
rpc_stream_send (rpc_stream_t *stream, const char *record, size_t len)
{
  if (stream->closing)
    return;
  buf_append (&stream->out, record, len);
  stream->queued_total += len;
  stream->node->stats.bytes_out += len;
  if (list_is_empty (&stream->unflushed))
    list_append (&stream->node->unflushed, &stream->unflushed);
}

size_t
rpc_stream_unacknowledged_bytes (const rpc_stream_t *stream)
{
  uv_os_fd_t fd;
  int unacknowledged = 0;

  /* When the kernel does not report its unacknowledged bytes, a transfer may
     be considered complete too early.  */
  if (uv_fileno ((const uv_handle_t *)&stream->tcp, &fd) != 0
      || ioctl (fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged < 0)
    unacknowledged = 0;
  return stream->out.len
         + uv_stream_get_write_queue_size ((const uv_stream_t *)&stream->tcp)
         + (size_t)unacknowledged;
}

typedef struct
{
  uv_write_t req;
  rpc_stream_t *stream;
  char bytes[];
} pending_write_t;

static void
on_written (uv_write_t *req, int status)
{
  pending_write_t *write = CONTAINER_OF (req, pending_write_t, req);
  rpc_stream_t *stream = write->stream;

  free (write);
  if (status != 0 && status != UV_ECANCELED)
    end_stream (stream);
}

/* Write the queued bytes of STREAM: directly as far as the socket accepts
   them, and the rest through libuv.  libuv accepts nothing directly while an
   earlier rest is waiting, so the order is kept.  */
static void
flush_stream (rpc_stream_t *stream)
{
  uv_buf_t all = uv_buf_init (stream->out.ptr, (unsigned)stream->out.len);
  int written = uv_try_write ((uv_stream_t *)&stream->tcp, &all, 1);
  size_t done = written > 0 ? (size_t)written : 0;
  size_t unwritten_len = stream->out.len - done;
  if (unwritten_len > 0)
    {
      pending_write_t *write = mem_alloc (sizeof *write + unwritten_len);
      write->stream = stream;
      memcpy (write->bytes, stream->out.ptr + done, unwritten_len);
      uv_buf_t buf = uv_buf_init (write->bytes, (unsigned)unwritten_len);
      if (uv_write (&write->req, (uv_stream_t *)&stream->tcp, &buf, 1,
                    on_written)
          != 0)
        {
          free (write);
          stream->out.len = 0;
          end_stream (stream);
          return;
        }
    }
  stream->out.len = 0;
}

/* Free a large output buffer, as read buffers are freed, to save the memory of
   idle connections.  A small one is kept for the next message.  */
static void
free_large_output (rpc_stream_t *stream)
{
  if (stream->out.cap > OUTPUT_BUFFER_KEPT_BYTES)
    buf_free (&stream->out);
}

static void
flush_streams (uv_prepare_t *flusher)
{
  rpc_node_t *node = flusher->data;

  while (!list_is_empty (&node->unflushed))
    {
      rpc_stream_t *stream
          = CONTAINER_OF (node->unflushed.next, rpc_stream_t, unflushed);
      list_remove (&stream->unflushed);
      flush_stream (stream);
      free_large_output (stream);
    }
}
