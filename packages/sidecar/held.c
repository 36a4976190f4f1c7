/* Bills held beside the entry that is to write them.

   An entry can die between an answer's last byte and its ledger's next
   write; the bill would be lost.  The sidecar that ran the attempt holds a
   copy until the entry says that it is written.  Once the entry has not been
   heard for HELD_SILENCE_MS its bills are orphans, which the next entry that
   pings takes over.  Two entries may write one bill: the ledger is a set by
   bill id.  A writer is one life of an entry: a restarted one under the same
   name knows nothing of its former bills.  */

#include "sidecar/sidecarint.h"

#include <stdlib.h>

enum
{
  /* Bills whose entry died stand in this process alone, so this is short.
     An idle entry may ping less often: what it then still holds itself is
     written twice, which the ledger undoes.  */
  HELD_SILENCE_MS = 5000,
  HELD_MAX = 65536
};

typedef struct
{
  list_t link;
  wire_bill_t bill; /* Its texts are owned.  */
} held_bill_t;

/* An entry and the bills held for it, so that a sweep looks at entries (few)
   and not at bills (many).  */
typedef struct
{
  uint64_t heard_ms;
  list_t bills;
} writer_t;

struct held
{
  clock_iface_t *clock;
  map_t *bills;   /* By request id.  */
  map_t *writers; /* By name.  */
};

held_t *
held_create (clock_iface_t *clock)
{
  held_t *held = mem_zalloc (sizeof *held);

  held->clock = clock;
  held->bills = map_create ();
  held->writers = map_create ();
  return held;
}

static void
free_bill (held_t *held, held_bill_t *bill)
{
  map_remove (held->bills, str_from (bill->bill.bill_id));
  list_remove (&bill->link);
  free (bill->bill.bill_id);
  free (bill->bill.team);
  free (bill->bill.target);
  free (bill);
}

void
held_destroy (held_t *held)
{
  size_t cursor = 0;
  void *value;

  if (held == NULL)
    return;
  while (map_next (held->writers, &cursor, NULL, &value))
    {
      writer_t *writer = value;
      while (!list_is_empty (&writer->bills))
        free_bill (held, CONTAINER_OF (writer->bills.next, held_bill_t, link));
      free (writer);
    }
  map_destroy (held->writers);
  map_destroy (held->bills);
  free (held);
}

/* Return the record of the entry NAME, made at need.  */
static writer_t *
find_writer (held_t *held, str_t name)
{
  writer_t *writer = map_get (held->writers, name);

  if (writer == NULL)
    {
      writer = mem_zalloc (sizeof *writer);
      writer->heard_ms = clock_ms (held->clock);
      list_init (&writer->bills);
      map_put (held->writers, name, writer);
    }
  return writer;
}

void
held_heard (held_t *held, str_t name)
{
  find_writer (held, name)->heard_ms = clock_ms (held->clock);
}

/* The id of ATTEMPT's bill, to be freed: request ids are the teams' own.  */
static char *
make_bill_id (const attempt_t *attempt)
{
  buf_t id = BUF_NULL;

  buf_printf (&id, "%s:%s", attempt->team, attempt->request_id);
  buf_append_char (&id, '\0');
  return id.ptr;
}

void
held_add (held_t *held, const attempt_t *attempt, str_t writer,
          uint64_t cost_micro)
{
  char *bill_id = make_bill_id (attempt);

  if (map_get (held->bills, str_from (bill_id)) != NULL
      || map_size (held->bills) >= HELD_MAX)
    {
      free (bill_id);
      return;
    }
  held_bill_t *bill = mem_zalloc (sizeof *bill);
  bill->bill.bill_id = bill_id;
  bill->bill.team = str_dup (str_from (attempt->team));
  bill->bill.target = str_dup (str_from (attempt->target));
  bill->bill.at_ms = attempt->ended_real_ms;
  bill->bill.tokens_in = attempt->tokens_in;
  bill->bill.tokens_out = attempt->tokens_out;
  bill->bill.cost_micro = (u_int)cost_micro;
  list_append (&find_writer (held, writer)->bills, &bill->link);
  map_put (held->bills, str_from (bill->bill.bill_id), bill);
}

void
held_drop (held_t *held, str_t bill_id)
{
  held_bill_t *bill = map_get (held->bills, bill_id);

  if (bill != NULL)
    free_bill (held, bill);
}

static bool
is_gone (const held_t *held, const writer_t *writer)
{
  return clock_ms (held->clock) - writer->heard_ms >= HELD_SILENCE_MS;
}

size_t
held_orphans (const held_t *held)
{
  size_t cursor = 0;
  size_t count = 0;
  void *value;

  while (map_next (held->writers, &cursor, NULL, &value))
    {
      const writer_t *writer = value;
      if (is_gone (held, writer))
        for (const list_t *at = writer->bills.next; at != &writer->bills;
             at = at->next)
          count++;
    }
  return count;
}

size_t
held_unheard (const held_t *held, uint64_t since_ms)
{
  size_t cursor = 0;
  size_t count = 0;
  void *value;

  while (map_next (held->writers, &cursor, NULL, &value))
    {
      const writer_t *writer = value;
      if (writer->heard_ms >= since_ms)
        continue;
      for (const list_t *at = writer->bills.next; at != &writer->bills;
           at = at->next)
        count++;
    }
  return count;
}

size_t
held_take (held_t *held, str_t name, size_t most, wire_bill_t *bills)
{
  writer_t *taker = find_writer (held, name);
  size_t cursor = 0;
  size_t count = 0;
  void *value;

  while (map_next (held->writers, &cursor, NULL, &value))
    {
      writer_t *writer = value;
      if (writer == taker || !is_gone (held, writer))
        continue;
      LIST_EACH (at, &writer->bills)
        {
          if (count == most)
            return count;
          bills[count++] = CONTAINER_OF (at, held_bill_t, link)->bill;
          list_remove (at);
          list_append (&taker->bills, at);
        }
    }
  return count;
}

void
held_expire (held_t *held)
{
  size_t cursor = 0;
  str_t name;
  void *value;

  while (map_next (held->writers, &cursor, &name, &value))
    {
      writer_t *writer = value;
      if (!is_gone (held, writer) || !list_is_empty (&writer->bills))
        continue;
      map_remove (held->writers, name);
      free (writer);
      return; /* The map has changed; the next sweep goes on.  */
    }
}

size_t
held_count (const held_t *held)
{
  return map_size (held->bills);
}
