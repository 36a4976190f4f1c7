/* Communication with peers apart from requests: distribution of the
   configuration, transfer of bills, and the procedures that peers call.  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  PEER_CALL_TIMEOUT_MS = 5000
};

static void
on_pushed (void *arg, vh_code_t code, void *result, unsigned sent)
{
  member_t *member = arg;

  (void)sent;
  member->config_push_pending = false;
  if (code == VH_OK)
    code = (vh_code_t)((wire_code_res_t *)result)->code;
  if (code == VH_E_STALE_REVISION && !member->removed)
    peering_push_config (member, 0);
  else if (code != VH_OK && code != VH_E_CANCELLED)
    log_notice ("entry",
                "A configuration could not be pushed to an instance. "
                "instance=%s code=%d",
                member->name, (int)code);
  fleet_member_unref (member);
}

void
peering_push_config (member_t *member, uint64_t known_revision)
{
  entry_t *entry = member->entry;
  buf_t update = BUF_NULL;

  if (member->config_push_pending || entry->snapshot == NULL)
    return;
  if (entry->options.callbacks->build_config_update (entry->options.arg,
                                                     known_revision, &update))
    {
      wire_config_push_args_t args
          = { .update = { (u_int)update.len, update.ptr } };
      member->config_push_pending = true;
      member->ref_count++;
      rpc_peer_call (member->peer, WIRE_CONFIG_PUSH, &args,
                     PEER_CALL_TIMEOUT_MS, on_pushed, member);
    }
  buf_free (&update);
}

static void
on_pulled (void *arg, vh_code_t code, void *result, unsigned sent)
{
  member_t *member = arg;
  entry_t *entry = member->entry;
  const wire_config_pull_res_t *pulled = result;

  (void)sent;
  entry->config_pull_pending = false;
  if (code == VH_OK && pulled->update.update_len > 0 && !entry->destroyed)
    entry->options.callbacks->apply_config_update (
        entry->options.arg,
        str_make (pulled->update.update_val, pulled->update.update_len));
  fleet_member_unref (member);
}

void
peering_pull_config (member_t *member)
{
  entry_t *entry = member->entry;
  wire_config_pull_args_t args
      = { .have = entry->snapshot != NULL ? snapshot_revision (entry->snapshot)
                                          : 0 };

  if (entry->config_pull_pending)
    return;
  entry->config_pull_pending = true;
  member->ref_count++;
  rpc_peer_call (member->peer, WIRE_CONFIG_PULL, &args, PEER_CALL_TIMEOUT_MS,
                 on_pulled, member);
}

static uint64_t
push_priority (str_t entry_name, const member_t *member)
{
  return str_hash (entry_name, str_hash (str_from (member->name), 8));
}

bool
peering_ranks_first (const member_t *member)
{
  const entry_t *entry = member->entry;
  uint64_t own_priority = push_priority (entry->settings->name, member);
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      const member_t *other = value;
      if (other->is_entry && other != member
          && rpc_peer_state (other->peer) == RPC_UP
          && push_priority (str_from (other->name), member) > own_priority)
        return false;
    }
  return true;
}

void
entry_acknowledge_bills (entry_t *entry, str_t instance, const str_t *bill_ids,
                         size_t count)
{
  member_t *member = map_get (entry->members, instance);

  if (member == NULL || count == 0 || count > WIRE_BILLS_MAX)
    return;
  char **ids = mem_zalloc (count * sizeof *ids);
  for (size_t i = 0; i < count; i++)
    ids[i] = str_dup (bill_ids[i]);
  wire_bills_drop_args_t args = { .bill_ids = { (u_int)count, ids } };
  rpc_peer_notify (member->peer, WIRE_BILLS_DROP, &args);
  for (size_t i = 0; i < count; i++)
    free (ids[i]);
  free (ids);
}

static void
on_bills_fetched (void *arg, vh_code_t code, void *result, unsigned sent)
{
  member_t *member = arg;
  entry_t *entry = member->entry;
  const wire_bills_take_res_t *fetched = result;

  (void)sent;
  member->bill_fetch_pending = false;
  if (code == VH_OK && !entry->destroyed)
    for (u_int i = 0; i < fetched->bills.bills_len; i++)
      entry->options.callbacks->record_bill (entry->options.arg,
                                             &fetched->bills.bills_val[i],
                                             str_from (member->name));
  if (code == VH_OK && !entry->destroyed && fetched->bills.bills_len > 0)
    entry->options.callbacks->flush_bills (entry->options.arg);
  fleet_member_unref (member);
}

void
peering_fetch_orphaned_bills (member_t *member)
{
  wire_bills_take_args_t args = { .most = WIRE_BILLS_MAX };

  if (member->bill_fetch_pending)
    return;
  member->bill_fetch_pending = true;
  member->ref_count++;
  rpc_peer_call (member->peer, WIRE_BILLS_TAKE, &args, PEER_CALL_TIMEOUT_MS,
                 on_bills_fetched, member);
}

typedef struct
{
  void (*cb) (void *arg, bool accepted);
  void *arg;
} bill_transfer_t;

static void
on_bills_accepted (void *arg, vh_code_t code, void *result, unsigned sent)
{
  bill_transfer_t *transfer = arg;
  bool accepted = code == VH_OK && ((wire_code_res_t *)result)->code == VH_OK;

  (void)sent;
  transfer->cb (transfer->arg, accepted);
  free (transfer);
}

bool
entry_transfer_bills (entry_t *entry, wire_bill_t *bills, size_t count,
                      void (*cb) (void *arg, bool accepted), void *arg)
{
  wire_bills_hold_args_t args
      = { .bills = { (u_int)(count < WIRE_BILLS_MAX ? count : WIRE_BILLS_MAX),
                     bills } };
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      if (!member->is_entry || member->draining
          || rpc_peer_state (member->peer) != RPC_UP)
        continue;
      bill_transfer_t *transfer = mem_alloc (sizeof *transfer);
      *transfer = (bill_transfer_t){ cb, arg };
      rpc_peer_call (member->peer, WIRE_BILLS_HOLD, &args,
                     PEER_CALL_TIMEOUT_MS, on_bills_accepted, transfer);
      return true;
    }
  return false;
}

void
peering_serve (void *arg, rpc_request_t *request, uint32_t proc, void *args)
{
  entry_t *entry = arg;

  if (proc == WIRE_PING)
    {
      char empty[] = "";
      char *zone = str_dup (entry->settings->zone);
      wire_ping_res_t pong
          = { .sequence = ((wire_ping_args_t *)args)->sequence,
              .instance = empty,
              .zone = zone };
      rpc_reply (request, &pong);
      free (zone);
      return;
    }
  if (proc == WIRE_CONFIG_PUSH)
    {
      const wire_config_push_args_t *push = args;
      wire_code_res_t result;
      result.code = (int)entry->options.callbacks->apply_config_update (
          entry->options.arg,
          str_make (push->update.update_val, push->update.update_len));
      rpc_reply (request, &result);
      return;
    }
  if (proc == WIRE_CONFIG_PULL)
    {
      wire_config_pull_res_t result;
      buf_t update = BUF_NULL;
      entry->options.callbacks->build_config_update (
          entry->options.arg, ((wire_config_pull_args_t *)args)->have,
          &update);
      result.update.update_val = update.ptr;
      result.update.update_len = (u_int)update.len;
      rpc_reply (request, &result);
      buf_free (&update);
      return;
    }
  if (proc == WIRE_BILLS_HOLD)
    {
      const wire_bills_hold_args_t *hold = args;
      wire_code_res_t result = { .code = VH_OK };
      for (u_int i = 0; i < hold->bills.bills_len; i++)
        entry->options.callbacks->record_bill (
            entry->options.arg, &hold->bills.bills_val[i], STR (""));
      rpc_reply (request, &result);
      return;
    }
  if (proc == WIRE_EVIDENCE)
    {
      const wire_evidence_args_t *evidence = args;
      wire_evidence_res_t result;
      buf_t rows = BUF_NULL;
      learn_merge (
          entry, str_make (evidence->rows.rows_val, evidence->rows.rows_len));
      learn_write (entry, true, &rows);
      result.rows.rows_val = rows.ptr;
      result.rows.rows_len = (u_int)rows.len;
      rpc_reply (request, &result);
      buf_free (&rows);
      return;
    }
  rpc_drop (request);
}
