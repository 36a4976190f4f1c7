/* Backup copies of bills that an entry has yet to write to the ledger.

   An entry that crashes between the last byte of an answer and its next write
   to the ledger would lose the bill.  The sidecar that ran the attempt
   therefore keeps a copy until the entry confirms the write.  The bills of an
   entry that has sent no message for ENTRY_DEAD_MS are orphans, which the next
   entry that pings the sidecar adopts.  Two entries may write the same bill,
   since the ledger is a set keyed by bill id.  An entry is identified by name
   and epoch, because an entry that restarts under the same name has lost its
   earlier bills.  */

#include "sidecar/sidecarint.h"

#include <stdlib.h>

enum
{
  /* Time without a message after which an entry is considered dead.  It is
     short, since the bills of a dead entry exist in this process only.  An
     idle entry may ping less often; its bills are then written twice, which
     has no effect on the ledger.  */
  ENTRY_DEAD_MS = 5000,
  BILLS_MAX = 65536
};

typedef struct
{
  list_t link;
  wire_bill_t bill; /* Owns its strings.  */
} backup_bill_t;

/* An entry and its bills.  A periodic scan visits the entries, which are few,
   and not the bills, which are many.  */
typedef struct
{
  uint64_t last_contact_ms;
  list_t bills;
} entry_record_t;

struct bill_backup
{
  clock_iface_t *clock;
  map_t *bills;   /* Bills by bill id.  */
  map_t *entries; /* Entry records by NAME/EPOCH.  */
};

bill_backup_t *
bill_backup_create (clock_iface_t *clock)
{
  bill_backup_t *backup = mem_zalloc (sizeof *backup);

  backup->clock = clock;
  backup->bills = map_create ();
  backup->entries = map_create ();
  return backup;
}

static void
free_bill (bill_backup_t *backup, backup_bill_t *bill)
{
  map_remove (backup->bills, str_from (bill->bill.bill_id));
  list_remove (&bill->link);
  free (bill->bill.bill_id);
  free (bill->bill.team);
  free (bill->bill.target);
  free (bill);
}

void
bill_backup_destroy (bill_backup_t *backup)
{
  size_t cursor = 0;
  void *value;

  if (backup == NULL)
    return;
  while (map_next (backup->entries, &cursor, NULL, &value))
    {
      entry_record_t *entry = value;
      while (!list_is_empty (&entry->bills))
        free_bill (backup,
                   CONTAINER_OF (entry->bills.next, backup_bill_t, link));
      free (entry);
    }
  map_destroy (backup->entries);
  map_destroy (backup->bills);
  free (backup);
}

/* Return the record of the entry ENTRY_ID, created if there is none.  */
static entry_record_t *
find_or_add_entry (bill_backup_t *backup, str_t entry_id)
{
  entry_record_t *entry = map_get (backup->entries, entry_id);

  if (entry == NULL)
    {
      entry = mem_zalloc (sizeof *entry);
      entry->last_contact_ms = clock_ms (backup->clock);
      list_init (&entry->bills);
      map_put (backup->entries, entry_id, entry);
    }
  return entry;
}

void
bill_backup_record_contact (bill_backup_t *backup, str_t entry_id)
{
  find_or_add_entry (backup, entry_id)->last_contact_ms
      = clock_ms (backup->clock);
}

/* Return the id of ATTEMPT's bill, to be freed.  It contains the team, since
   request ids are unique within a team only.  */
static char *
make_bill_id (const attempt_t *attempt)
{
  buf_t id = BUF_NULL;

  buf_printf (&id, "%s:%s", attempt->team, attempt->request_id);
  buf_append_char (&id, '\0');
  return id.ptr;
}

void
bill_backup_add (bill_backup_t *backup, const attempt_t *attempt,
                 str_t entry_id, uint64_t cost_micro)
{
  char *bill_id = make_bill_id (attempt);

  if (map_get (backup->bills, str_from (bill_id)) != NULL
      || map_size (backup->bills) >= BILLS_MAX)
    {
      free (bill_id);
      return;
    }
  backup_bill_t *bill = mem_zalloc (sizeof *bill);
  bill->bill.bill_id = bill_id;
  bill->bill.team = str_dup (str_from (attempt->team));
  bill->bill.target = str_dup (str_from (attempt->target));
  bill->bill.at_ms = attempt->ended_real_ms;
  bill->bill.tokens_in = attempt->tokens_in;
  bill->bill.tokens_out = attempt->tokens_out;
  bill->bill.cost_micro = (u_int)cost_micro;
  list_append (&find_or_add_entry (backup, entry_id)->bills, &bill->link);
  map_put (backup->bills, str_from (bill->bill.bill_id), bill);
}

void
bill_backup_remove (bill_backup_t *backup, str_t bill_id)
{
  backup_bill_t *bill = map_get (backup->bills, bill_id);

  if (bill != NULL)
    free_bill (backup, bill);
}

static bool
is_dead (const bill_backup_t *backup, const entry_record_t *entry)
{
  return clock_ms (backup->clock) - entry->last_contact_ms >= ENTRY_DEAD_MS;
}

size_t
bill_backup_count_orphans (const bill_backup_t *backup)
{
  size_t cursor = 0;
  size_t count = 0;
  void *value;

  while (map_next (backup->entries, &cursor, NULL, &value))
    {
      const entry_record_t *entry = value;
      if (is_dead (backup, entry))
        for (const list_t *at = entry->bills.next; at != &entry->bills;
             at = at->next)
          count++;
    }
  return count;
}

size_t
bill_backup_count_silent (const bill_backup_t *backup, uint64_t since_ms)
{
  size_t cursor = 0;
  size_t count = 0;
  void *value;

  while (map_next (backup->entries, &cursor, NULL, &value))
    {
      const entry_record_t *entry = value;
      if (entry->last_contact_ms >= since_ms)
        continue;
      for (const list_t *at = entry->bills.next; at != &entry->bills;
           at = at->next)
        count++;
    }
  return count;
}

size_t
bill_backup_adopt (bill_backup_t *backup, str_t entry_id, size_t max_count,
                   wire_bill_t *bills)
{
  entry_record_t *adopter = find_or_add_entry (backup, entry_id);
  size_t cursor = 0;
  size_t count = 0;
  void *value;

  while (map_next (backup->entries, &cursor, NULL, &value))
    {
      entry_record_t *entry = value;
      if (entry == adopter || !is_dead (backup, entry))
        continue;
      LIST_EACH (at, &entry->bills)
        {
          if (count == max_count)
            return count;
          bills[count++] = CONTAINER_OF (at, backup_bill_t, link)->bill;
          list_remove (at);
          list_append (&adopter->bills, at);
        }
    }
  return count;
}

void
bill_backup_remove_dead_entry (bill_backup_t *backup)
{
  size_t cursor = 0;
  str_t entry_id;
  void *value;

  while (map_next (backup->entries, &cursor, &entry_id, &value))
    {
      entry_record_t *entry = value;
      if (!is_dead (backup, entry) || !list_is_empty (&entry->bills))
        continue;
      map_remove (backup->entries, entry_id);
      free (entry);
      return; /* The removal invalidates CURSOR; the next call continues.  */
    }
}

size_t
bill_backup_count (const bill_backup_t *backup)
{
  return map_size (backup->bills);
}
