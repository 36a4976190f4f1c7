/* From an answered request to the ledger, and what is left at a stop.  */

#include "base/log.h"
#include "base/map.h"
#include "daemon/processint.h"

#include <stdlib.h>

enum
{
  HAND_OVER_MAX = 1000
};

void
bills_add (process_t *process, const wire_bill_t *wire, str_t instance)
{
  str_t version;
  str_t model = str_cut (str_from (wire->target), '@', &version);
  str_t id = str_from (wire->bill_id);
  const bill_t bill = { .request_id = id,
                        .team = str_from (wire->team),
                        .model = model,
                        .version = version.ptr != NULL ? version : STR (""),
                        .tokens = (uint64_t)wire->tokens_in + wire->tokens_out,
                        .cost = wire->cost_micro / 1e6,
                        .at_ms = wire->at_ms };

  if (ledger_add (process->ledger, &bill) != VH_OK)
    {
      log_err ("process",
               "A bill found no room; its sidecar keeps it. "
               "id=%s",
               wire->bill_id);
      return;
    }
  if (instance.len > 0)
    free (map_put (process->bill_homes, id, str_dup (instance)));
}

/* Tell the sidecars that hold copies of BILLS that they may let go.  Bills of
   one row mostly have few homes, so each round takes those of one.  */
static void
on_written (void *owner, const bill_t *bills, size_t count)
{
  process_t *process = owner;
  str_t *ids = mem_alloc ((count + 1) * sizeof *ids);

  for (;;)
    {
      char *home = NULL;
      size_t found = 0;
      for (size_t i = 0; i < count && found < WIRE_BILLS_MAX; i++)
        {
          char *at = map_get (process->bill_homes, bills[i].request_id);
          if (at == NULL || (home != NULL && strcmp (home, at) != 0))
            continue;
          ids[found++] = bills[i].request_id;
          if (home == NULL)
            home = map_remove (process->bill_homes, bills[i].request_id);
          else
            free (map_remove (process->bill_homes, bills[i].request_id));
        }
      if (home == NULL)
        break;
      if (!process->over && process->entry != NULL)
        entry_acknowledge_bills (process->entry, str_from (home), ids, found);
      free (home);
    }
  free (ids);
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
          .written = on_written,
          .owner = process };

  process->bill_homes = map_create ();
  process->ledger = ledger_create (&env, &options);
}

void
bills_end (process_t *process)
{
  size_t cursor = 0;
  void *home;

  if (process->bill_homes == NULL)
    return;
  while (map_next (process->bill_homes, &cursor, NULL, &home))
    free (home);
  map_destroy (process->bill_homes);
  process->bill_homes = NULL;
}

typedef struct
{
  wire_bill_t bills[HAND_OVER_MAX];
  size_t count;
} gathered_t;

static void
gather (void *arg, const bill_t *bill)
{
  gathered_t *gathered = arg;
  buf_t target = BUF_NULL;

  if (gathered->count == HAND_OVER_MAX)
    return;
  wire_bill_t *wire = &gathered->bills[gathered->count++];
  buf_append_str (&target, bill->model);
  if (bill->version.len > 0)
    buf_printf (&target, "@%.*s", STR_ARG (bill->version));
  buf_append_char (&target, '\0');
  wire->bill_id = str_dup (bill->request_id);
  wire->team = str_dup (bill->team);
  wire->target = target.ptr;
  wire->at_ms = bill->at_ms;
  wire->tokens_in = 0;
  wire->tokens_out = (u_int)bill->tokens;
  wire->cost_micro = (u_int)(bill->cost * 1e6 + 0.5);
}

static void
free_gathered (gathered_t *gathered)
{
  for (size_t i = 0; i < gathered->count; i++)
    {
      free (gathered->bills[i].bill_id);
      free (gathered->bills[i].team);
      free (gathered->bills[i].target);
    }
  free (gathered);
}

static bool
has_home (const process_t *process, str_t instance)
{
  size_t cursor = 0;
  void *home;

  while (map_next (process->bill_homes, &cursor, NULL, &home))
    if (str_eq (str_from (home), instance))
      return true;
  return false;
}

static void
ignore_copy (void *arg, bool taken)
{
  (void)arg;
  (void)taken;
}

/* The bills whose copies went stand in this process alone.  They are written
   now, and while the store may be down a peer gets copies: both may write
   them.  */
void
bills_home_lost (process_t *process, str_t instance)
{
  if (process->ledger == NULL || ledger_pending_count (process->ledger) == 0
      || !has_home (process, instance))
    return;
  gathered_t *gathered = mem_zalloc (sizeof *gathered);
  ledger_foreach_pending (process->ledger, gather, gathered);
  entry_transfer_bills (process->entry, gathered->bills, gathered->count,
                        ignore_copy, NULL);
  free_gathered (gathered);
  ledger_flush (process->ledger);
}

static void
on_handed_over (void *arg, bool taken)
{
  process_t *process = arg;

  process->handing_over = false;
  process->handed_over = process->handed_over || taken;
}

/* XXX: of more than HAND_OVER_MAX bills the rest stays with the sidecars
   that hold copies; another entry takes those over.  */
bool
bills_settled (process_t *process)
{
  if (process->entry == NULL || process->handed_over
      || ledger_pending_count (process->ledger) == 0)
    return true;
  uint64_t waited_ms = clock_ms (process->clock) - process->drained_ms;
  if (waited_ms >= BILLS_GIVE_UP_MS)
    {
      log_warning ("process",
                   "Neither store nor peer took the last bills; the sidecars "
                   "keep their copies. bills=%zu",
                   ledger_pending_count (process->ledger));
      process->handed_over = true;
      return true;
    }
  if (process->handing_over)
    return false;
  ledger_flush (process->ledger);
  if (waited_ms < BILLS_FLUSH_MS)
    return false;
  gathered_t *gathered = mem_zalloc (sizeof *gathered);
  ledger_foreach_pending (process->ledger, gather, gathered);
  process->handing_over
      = entry_transfer_bills (process->entry, gathered->bills, gathered->count,
                              on_handed_over, process);
  free_gathered (gathered);
  return false;
}
