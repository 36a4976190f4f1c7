/* What this entry and its peers tell each other beside requests: the
   configuration in force, bills, and the procedures that others call here.  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  CONFIG_TIMEOUT_MS = 5000
};

/* Configuration along traffic.  */

static void
on_pushed (void *arg, vh_code_t code, void *result, unsigned sent)
{
  member_t *member = arg;

  (void)sent;
  member->pushing = false;
  if (code == VH_OK)
    code = (vh_code_t)((wire_code_res_t *)result)->code;
  if (code == VH_E_STALE_REVISION && !member->removed)
    peering_push (member, 0);
  else if (code != VH_OK && code != VH_E_CANCELLED)
    log_notice ("entry", "A configuration was not taken. instance=%s code=%d",
                member->name, (int)code);
  fleet_unuse (member);
}

/* Bring MEMBER, which is at revision HAVE, to the revision in force here.  */
void
peering_push (member_t *member, uint64_t have)
{
  entry_t *entry = member->entry;
  buf_t update = BUF_NULL;

  if (member->pushing || entry->snapshot == NULL)
    return;
  if (entry->options.host->delta_from (entry->options.arg, have, &update))
    {
      wire_config_push_args_t args
          = { .update = { (u_int)update.len, update.ptr } };
      member->pushing = true;
      member->in_use++;
      rpc_peer_call (member->peer, WIRE_CONFIG_PUSH, &args, CONFIG_TIMEOUT_MS,
                     on_pushed, member);
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
  entry->pulling = false;
  if (code == VH_OK && pulled->update.update_len > 0 && !entry->destroyed)
    entry->options.host->learn (
        entry->options.arg,
        str_make (pulled->update.update_val, pulled->update.update_len));
  fleet_unuse (member);
}

void
peering_pull (member_t *member)
{
  entry_t *entry = member->entry;
  wire_config_pull_args_t args
      = { .have = entry->snapshot != NULL ? snapshot_revision (entry->snapshot)
                                          : 0 };

  if (entry->pulling)
    return;
  entry->pulling = true;
  member->in_use++;
  rpc_peer_call (member->peer, WIRE_CONFIG_PULL, &args, CONFIG_TIMEOUT_MS,
                 on_pulled, member);
}

static uint64_t
rank_for (str_t entry_name, const member_t *member)
{
  return str_hash (entry_name, str_hash (str_from (member->name), 8));
}

/* Tell whether no entry that this one reaches ranks before it for MEMBER.  */
bool
peering_ranks_first (const member_t *member)
{
  const entry_t *entry = member->entry;
  uint64_t mine = rank_for (entry->settings->name, member);
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      const member_t *other = value;
      if (other->is_entry && other != member
          && rpc_peer_state (other->peer) == RPC_UP
          && rank_for (str_from (other->name), member) > mine)
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
on_taken (void *arg, vh_code_t code, void *result, unsigned sent)
{
  member_t *member = arg;
  entry_t *entry = member->entry;
  const wire_bills_take_res_t *taken = result;

  (void)sent;
  member->taking = false;
  if (code == VH_OK && !entry->destroyed)
    for (u_int i = 0; i < taken->bills.bills_len; i++)
      entry->options.host->bill (entry->options.arg,
                                 &taken->bills.bills_val[i],
                                 str_from (member->name));
  if (code == VH_OK && !entry->destroyed && taken->bills.bills_len > 0)
    entry->options.host->write_bills (entry->options.arg);
  fleet_unuse (member);
}

/* Take over the bills at MEMBER whose entry is gone.  */
void
peering_take_bills (member_t *member)
{
  wire_bills_take_args_t args = { .most = WIRE_BILLS_MAX };

  if (member->taking)
    return;
  member->taking = true;
  member->in_use++;
  rpc_peer_call (member->peer, WIRE_BILLS_TAKE, &args, CONFIG_TIMEOUT_MS,
                 on_taken, member);
}

typedef struct
{
  void (*cb) (void *arg, bool taken);
  void *arg;
} hand_over_t;

static void
on_handed_over (void *arg, vh_code_t code, void *result, unsigned sent)
{
  hand_over_t *hand_over = arg;
  bool taken = code == VH_OK && ((wire_code_res_t *)result)->code == VH_OK;

  (void)sent;
  hand_over->cb (hand_over->arg, taken);
  free (hand_over);
}

bool
entry_transfer_bills (entry_t *entry, wire_bill_t *bills, size_t count,
                      void (*cb) (void *arg, bool taken), void *arg)
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
      hand_over_t *hand_over = mem_alloc (sizeof *hand_over);
      *hand_over = (hand_over_t){ cb, arg };
      rpc_peer_call (member->peer, WIRE_BILLS_HOLD, &args, CONFIG_TIMEOUT_MS,
                     on_handed_over, hand_over);
      return true;
    }
  return false;
}

/* Procedures that peers call at an entry.  */
void
fleet_serve (void *arg, rpc_request_t *request, uint32_t proc, void *args)
{
  entry_t *entry = arg;

  if (proc == WIRE_PING)
    {
      char nothing[] = "";
      char *zone = str_dup (entry->settings->zone);
      wire_ping_res_t pong
          = { .sequence = ((wire_ping_args_t *)args)->sequence,
              .instance = nothing,
              .zone = zone };
      rpc_reply (request, &pong);
      free (zone);
      return;
    }
  if (proc == WIRE_CONFIG_PUSH)
    {
      const wire_config_push_args_t *push = args;
      wire_code_res_t result;
      result.code = (int)entry->options.host->learn (
          entry->options.arg,
          str_make (push->update.update_val, push->update.update_len));
      rpc_reply (request, &result);
      return;
    }
  if (proc == WIRE_CONFIG_PULL)
    {
      wire_config_pull_res_t result;
      buf_t update = BUF_NULL;
      entry->options.host->delta_from (entry->options.arg,
                                       ((wire_config_pull_args_t *)args)->have,
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
        entry->options.host->bill (entry->options.arg,
                                   &hold->bills.bills_val[i], STR (""));
      rpc_reply (request, &result);
      return;
    }
  if (proc == WIRE_EVIDENCE)
    {
      const wire_evidence_args_t *given = args;
      wire_evidence_res_t result;
      buf_t rows = BUF_NULL;
      learn_merge (entry,
                   str_make (given->rows.rows_val, given->rows.rows_len));
      learn_write (entry, true, &rows);
      result.rows.rows_val = rows.ptr;
      result.rows.rows_len = (u_int)rows.len;
      rpc_reply (request, &result);
      buf_free (&rows);
      return;
    }
  rpc_drop (request);
}
