/* Passes bills of answered requests to the ledger, and writes or transfers the
   pending bills when a process stops.  */

#include "base/log.h"
#include "base/map.h"
#include "daemon/processint.h"

#include <stdlib.h>

enum
{
  TRANSFER_BILLS_MAX = 1000
};

void
bills_add (process_t *process, const wire_bill_t *wire, str_t instance)
{
  str_t version;
  str_t model = str_cut (str_from (wire->target), '@', &version);
  str_t id = str_from (wire->bill_id);
  const ledger_bill_t bill
      = { .request_id = id,
          .team = str_from (wire->team),
          .model = model,
          .version = version.ptr != NULL ? version : STR (""),
          .tokens = (uint64_t)wire->tokens_in + wire->tokens_out,
          .cost = wire->cost_micro / 1e6,
          .created_at_ms = wire->at_ms };

  if (ledger_add (process->ledger, &bill) != VH_OK)
    {
      log_err ("process",
               "The ledger is full; the sidecar keeps the bill. "
               "id=%s",
               wire->bill_id);
      return;
    }
  if (instance.len > 0)
    free (map_put (process->bill_holders, id, str_dup (instance)));
}

/* Acknowledge the written BILLS to the sidecars that hold copies, which then
   drop the copies.  The bills of one row mostly have few holders, so each
   round of the loop acknowledges the bills of one holder in one message.  */
static void
on_written (void *owner, const ledger_bill_t *bills, size_t count)
{
  process_t *process = owner;
  str_t *bill_ids = mem_alloc ((count + 1) * sizeof *bill_ids);

  for (;;)
    {
      char *holder = NULL;
      size_t id_count = 0;
      for (size_t i = 0; i < count && id_count < WIRE_BILLS_MAX; i++)
        {
          char *bill_holder
              = map_get (process->bill_holders, bills[i].request_id);
          if (bill_holder == NULL
              || (holder != NULL && strcmp (holder, bill_holder) != 0))
            continue;
          bill_ids[id_count++] = bills[i].request_id;
          if (holder == NULL)
            holder = map_remove (process->bill_holders, bills[i].request_id);
          else
            free (map_remove (process->bill_holders, bills[i].request_id));
        }
      if (holder == NULL)
        break;
      if (!process->are_roles_destroyed && process->entry != NULL)
        entry_acknowledge_bills (process->entry, str_from (holder), bill_ids,
                                 id_count);
      free (holder);
    }
  free (bill_ids);
}

void
bills_start (process_t *process)
{
  const control_env_t env = { process->loop, process->clock, process->platform,
                              process->seed + 3000 };
  const ledger_options_t options
      = { .writer = process->settings->name,
          .lease = process->entry != NULL ? entry_leader_lease (process->entry)
                                          : NULL,
          .on_written = on_written,
          .owner = process };

  process->bill_holders = map_create ();
  process->ledger = ledger_create (&env, &options);
}

void
bills_free (process_t *process)
{
  size_t cursor = 0;
  void *holder;

  if (process->bill_holders == NULL)
    return;
  while (map_next (process->bill_holders, &cursor, NULL, &holder))
    free (holder);
  map_destroy (process->bill_holders);
  process->bill_holders = NULL;
}

typedef struct
{
  wire_bill_t bills[TRANSFER_BILLS_MAX];
  size_t count;
} bill_batch_t;

/* Append a wire copy of BILL to the batch ARG, unless the batch is full.  */
static void
batch_add (void *arg, const ledger_bill_t *bill)
{
  bill_batch_t *batch = arg;
  buf_t target = BUF_NULL;

  if (batch->count == TRANSFER_BILLS_MAX)
    return;
  wire_bill_t *wire = &batch->bills[batch->count++];
  buf_append_str (&target, bill->model);
  if (bill->version.len > 0)
    buf_printf (&target, "@%.*s", STR_ARG (bill->version));
  buf_append_char (&target, '\0');
  wire->bill_id = str_dup (bill->request_id);
  wire->team = str_dup (bill->team);
  wire->target = target.ptr;
  wire->at_ms = bill->created_at_ms;
  wire->tokens_in = 0;
  wire->tokens_out = (u_int)bill->tokens;
  wire->cost_micro = (u_int)(bill->cost * 1e6 + 0.5);
}

static void
batch_free (bill_batch_t *batch)
{
  for (size_t i = 0; i < batch->count; i++)
    {
      free (batch->bills[i].bill_id);
      free (batch->bills[i].team);
      free (batch->bills[i].target);
    }
  free (batch);
}

/* Return whether INSTANCE holds a copy of a bill.  */
static bool
is_bill_holder (const process_t *process, str_t instance)
{
  size_t cursor = 0;
  void *holder;

  while (map_next (process->bill_holders, &cursor, NULL, &holder))
    if (str_eq (str_from (holder), instance))
      return true;
  return false;
}

/* The sender keeps the bills, so the result of the copy does not matter.  */
static void
ignore_copy_result (void *arg, bool is_accepted)
{
  (void)arg;
  (void)is_accepted;
}

/* The bills whose copies are lost exist only in this process.  They are
   written at once, and because the store may be down a peer receives copies as
   well; it is safe if both write the same bill.  */
void
bills_replace_lost_copies (process_t *process, str_t instance)
{
  if (process->ledger == NULL || ledger_pending_count (process->ledger) == 0
      || !is_bill_holder (process, instance))
    return;
  bill_batch_t *batch = mem_zalloc (sizeof *batch);
  ledger_foreach_pending (process->ledger, batch_add, batch);
  entry_transfer_bills (process->entry, batch->bills, batch->count,
                        ignore_copy_result, NULL);
  batch_free (batch);
  ledger_flush (process->ledger);
}

static void
on_transferred (void *arg, bool is_accepted)
{
  process_t *process = arg;

  process->is_transfer_pending = false;
  process->is_transfer_finished = process->is_transfer_finished || is_accepted;
}

/* XXX: Only TRANSFER_BILLS_MAX bills are transferred.  The sidecars keep their
   copies of the others until another entry takes those over.  */
bool
bills_write_or_transfer (process_t *process)
{
  if (process->entry == NULL || process->is_transfer_finished
      || ledger_pending_count (process->ledger) == 0)
    return true;
  uint64_t waited_ms
      = clock_ms (process->clock) - process->requests_finished_ms;
  if (waited_ms >= BILLS_TRANSFER_TIMEOUT_MS)
    {
      log_warning ("process",
                   "Neither the store nor a peer accepted the pending bills; "
                   "the sidecars keep their copies. bills=%zu",
                   ledger_pending_count (process->ledger));
      process->is_transfer_finished = true;
      return true;
    }
  if (process->is_transfer_pending)
    return false;
  ledger_flush (process->ledger);
  if (waited_ms < BILLS_WRITE_TIMEOUT_MS)
    return false;
  bill_batch_t *batch = mem_zalloc (sizeof *batch);
  ledger_foreach_pending (process->ledger, batch_add, batch);
  process->is_transfer_pending = entry_transfer_bills (
      process->entry, batch->bills, batch->count, on_transferred, process);
  batch_free (batch);
  return false;
}
