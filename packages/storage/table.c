#include "storage/table.h"

#include "base/map.h"
#include "base/mem.h"
#include "base/rng.h"

#include <stdlib.h>

enum
{
  /* Enough for 4^12 rows at the expected search cost.  */
  LEVELS = 12,
  /* The contract asks for ten minutes.  */
  TOKEN_KEEP_MS = 15 * 60 * 1000
};

/* A row in a skip list (W. Pugh, CACM 33(6), 1990).  */
typedef struct node
{
  char *key;
  size_t key_len;
  char *value;
  size_t value_len;
  uint64_t version;
  int height;
  struct node *next[];
} node_t;

typedef struct outcome
{
  struct outcome *newer;
  char *token;
  size_t token_len;
  uint64_t at_ms;
  vh_code_t code;
  uint64_t revision;
  char *conflict_key;
} outcome_t;

struct table
{
  node_t *head;
  size_t count;
  uint64_t revision;
  rng_t rng;
  map_t *outcomes; /* By token.  */
  outcome_t *oldest;
  outcome_t *newest;
  char *conflict; /* Of the last conflict without a token.  */
};

static node_t *
node_create (str_t key, int height)
{
  node_t *node
      = mem_zalloc (sizeof *node + (size_t)height * sizeof node->next[0]);

  node->key = str_dup (key);
  node->key_len = key.len;
  node->height = height;
  return node;
}

static void
node_free (node_t *node)
{
  free (node->key);
  free (node->value);
  free (node);
}

static str_t
node_key (const node_t *node)
{
  return str_make (node->key, node->key_len);
}

/* Fill BEFORE with the last node of each level whose key is below KEY, or
   not above it when INCLUSIVE; return the node that follows.  */
static node_t *
seek (const table_t *table, str_t key, bool inclusive, node_t **before)
{
  node_t *at = table->head;

  for (int level = LEVELS - 1; level >= 0; level--)
    {
      while (at->next[level] != NULL)
        {
          int order = str_cmp (node_key (at->next[level]), key);
          if (order > 0 || (order == 0 && !inclusive))
            break;
          at = at->next[level];
        }
      if (before != NULL)
        before[level] = at;
    }
  return at->next[0];
}

static node_t *
find (const table_t *table, str_t key)
{
  node_t *node = seek (table, key, false, NULL);

  return node != NULL && str_eq (node_key (node), key) ? node : NULL;
}

static int
random_height (table_t *table)
{
  int height = 1;

  while (height < LEVELS && rng_below (&table->rng, 4) == 0)
    height++;
  return height;
}

static node_t *
insert (table_t *table, str_t key)
{
  node_t *before[LEVELS];
  node_t *node = seek (table, key, false, before);

  if (node != NULL && str_eq (node_key (node), key))
    return node;
  node = node_create (key, random_height (table));
  for (int level = 0; level < node->height; level++)
    {
      node->next[level] = before[level]->next[level];
      before[level]->next[level] = node;
    }
  table->count++;
  return node;
}

static void
erase (table_t *table, str_t key)
{
  node_t *before[LEVELS];
  node_t *node = seek (table, key, false, before);

  if (node == NULL || !str_eq (node_key (node), key))
    return;
  for (int level = 0; level < node->height; level++)
    before[level]->next[level] = node->next[level];
  node_free (node);
  table->count--;
}

table_t *
table_create (void)
{
  table_t *table = mem_zalloc (sizeof *table);

  table->head = node_create (STR (""), LEVELS);
  table->rng = rng_make (1);
  table->outcomes = map_create ();
  return table;
}

static void
outcome_free (outcome_t *outcome)
{
  free (outcome->token);
  free (outcome->conflict_key);
  free (outcome);
}

void
table_destroy (table_t *table)
{
  size_t cursor = 0;
  void *outcome;

  if (table == NULL)
    return;
  for (node_t *node = table->head; node != NULL;)
    {
      node_t *next = node->next[0];
      node_free (node);
      node = next;
    }
  while (map_next (table->outcomes, &cursor, NULL, &outcome))
    outcome_free (outcome);
  map_destroy (table->outcomes);
  free (table->conflict);
  free (table);
}

static void
expire_outcomes (table_t *table, uint64_t now_ms)
{
  while (table->oldest != NULL
         && table->oldest->at_ms + TOKEN_KEEP_MS <= now_ms)
    {
      outcome_t *outcome = table->oldest;
      table->oldest = outcome->newer;
      if (table->oldest == NULL)
        table->newest = NULL;
      map_remove (table->outcomes,
                  str_make (outcome->token, outcome->token_len));
      outcome_free (outcome);
    }
}

static void
remember (table_t *table, str_t token, uint64_t now_ms, vh_code_t code,
          uint64_t revision, str_t conflict_key)
{
  outcome_t *outcome = mem_zalloc (sizeof *outcome);

  outcome->token = str_dup (token);
  outcome->token_len = token.len;
  outcome->at_ms = now_ms;
  outcome->code = code;
  outcome->revision = revision;
  outcome->conflict_key = str_dup (conflict_key);
  map_put (table->outcomes, token, outcome);
  if (table->newest != NULL)
    table->newest->newer = outcome;
  else
    table->oldest = outcome;
  table->newest = outcome;
}

/* Return the first condition of TXN that does not hold, or NULL.  */
static const txn_condition_t *
failed_condition (const table_t *table, const txn_t *txn)
{
  for (size_t i = 0; i < txn->condition_count; i++)
    {
      node_t *node = find (table, txn->conditions[i].key);
      if ((node != NULL ? node->version : 0) != txn->conditions[i].version)
        return &txn->conditions[i];
    }
  return NULL;
}

static void
apply (table_t *table, const txn_t *txn)
{
  for (size_t i = 0; i < txn->write_count; i++)
    {
      const txn_write_t *write = &txn->writes[i];
      if (write->is_delete)
        {
          erase (table, write->key);
          continue;
        }
      node_t *node = insert (table, write->key);
      free (node->value);
      node->value = str_dup (write->value);
      node->value_len = write->value.len;
      node->version = table->revision;
    }
}

vh_code_t
table_execute (table_t *table, const txn_t *txn, uint64_t now_ms,
               uint64_t *revision, str_t *conflict_key)
{
  expire_outcomes (table, now_ms);
  outcome_t *earlier
      = txn->token.len > 0 ? map_get (table->outcomes, txn->token) : NULL;
  if (earlier != NULL)
    {
      *revision = earlier->revision;
      *conflict_key = str_from (earlier->conflict_key);
      return earlier->code;
    }
  const txn_condition_t *failed = failed_condition (table, txn);
  vh_code_t code = failed != NULL ? VH_E_CONFLICT : VH_OK;
  *revision = failed != NULL ? 0 : ++table->revision;
  free (table->conflict);
  table->conflict = failed != NULL ? str_dup (failed->key) : NULL;
  *conflict_key = str_from (table->conflict);
  if (code == VH_OK)
    apply (table, txn);
  if (txn->token.len > 0)
    remember (table, txn->token, now_ms, code, *revision, *conflict_key);
  return code;
}

static row_t
node_row (const node_t *node)
{
  return (row_t){ node_key (node), str_make (node->value, node->value_len),
                  node->version };
}

bool
table_get (const table_t *table, str_t key, row_t *row)
{
  node_t *node = find (table, key);

  if (node == NULL)
    return false;
  *row = node_row (node);
  return true;
}

size_t
table_scan (const table_t *table, str_t prefix, str_t after, size_t limit,
            row_t *rows, bool *more)
{
  bool past_prefix = str_cmp (after, prefix) >= 0;
  node_t *node = seek (table, past_prefix ? after : prefix, past_prefix, NULL);
  size_t count = 0;

  /* AFTER excludes a row of that very key; the bare prefix does not.  */
  if (past_prefix && after.len == 0 && prefix.len == 0)
    node = table->head->next[0];
  while (node != NULL && count < limit
         && str_starts_with (node_key (node), prefix))
    {
      rows[count++] = node_row (node);
      node = node->next[0];
    }
  *more = node != NULL && str_starts_with (node_key (node), prefix);
  return count;
}

size_t
table_size (const table_t *table)
{
  return table->count;
}

txn_t *
txn_copy (const txn_t *txn)
{
  txn_t *copy = mem_zalloc (sizeof *copy);
  txn_condition_t *conditions
      = mem_zalloc ((txn->condition_count + 1) * sizeof *conditions);
  txn_write_t *writes = mem_zalloc ((txn->write_count + 1) * sizeof *writes);

  for (size_t i = 0; i < txn->condition_count; i++)
    {
      conditions[i] = txn->conditions[i];
      conditions[i].key.ptr = str_dup (conditions[i].key);
    }
  for (size_t i = 0; i < txn->write_count; i++)
    {
      writes[i] = txn->writes[i];
      writes[i].key.ptr = str_dup (writes[i].key);
      writes[i].value.ptr = str_dup (writes[i].value);
    }
  copy->conditions = conditions;
  copy->condition_count = txn->condition_count;
  copy->writes = writes;
  copy->write_count = txn->write_count;
  copy->token = str_make (str_dup (txn->token), txn->token.len);
  return copy;
}

void
txn_free (txn_t *txn)
{
  if (txn == NULL)
    return;
  for (size_t i = 0; i < txn->condition_count; i++)
    free ((char *)txn->conditions[i].key.ptr);
  for (size_t i = 0; i < txn->write_count; i++)
    {
      free ((char *)txn->writes[i].key.ptr);
      free ((char *)txn->writes[i].value.ptr);
    }
  free ((void *)txn->conditions);
  free ((void *)txn->writes);
  free ((char *)txn->token.ptr);
  free (txn);
}

typedef struct
{
  instance_row_t row; /* Owns its strings.  */
  uint64_t sequence;
} instance_entry_t;

struct instance_list
{
  /* XXX: entries that are gone are kept, so that every reader hears of it;
     a list of tests does not grow without bound.  */
  instance_entry_t *entries;
  size_t count;
  uint64_t sequence;
};

instance_list_t *
instance_list_create (void)
{
  return mem_zalloc (sizeof (instance_list_t));
}

static void
free_row (instance_row_t *row)
{
  free ((char *)row->name.ptr);
  free ((char *)row->role.ptr);
  free ((char *)row->zone.ptr);
  free ((char *)row->region.ptr);
  free ((char *)row->address.ptr);
  free ((char *)row->serves.ptr);
}

static str_t
own (str_t s)
{
  return str_make (str_dup (s), s.len);
}

void
instance_list_destroy (instance_list_t *list)
{
  if (list == NULL)
    return;
  for (size_t i = 0; i < list->count; i++)
    free_row (&list->entries[i].row);
  free (list->entries);
  free (list);
}

static instance_entry_t *
entry_of (instance_list_t *list, str_t name)
{
  for (size_t i = 0; i < list->count; i++)
    if (str_eq (list->entries[i].row.name, name))
      return &list->entries[i];
  list->entries
      = mem_realloc (list->entries, (list->count + 1) * sizeof *list->entries);
  instance_entry_t *entry = &list->entries[list->count++];
  memset (entry, 0, sizeof *entry);
  return entry;
}

void
instance_list_put (instance_list_t *list, const instance_row_t *row)
{
  instance_entry_t *entry = entry_of (list, row->name);
  instance_row_t old = entry->row;

  entry->row = (instance_row_t){ .name = own (row->name),
                                 .role = own (row->role),
                                 .zone = own (row->zone),
                                 .region = own (row->region),
                                 .address = own (row->address),
                                 .serves = own (row->serves),
                                 .state = row->state };
  entry->sequence = ++list->sequence;
  free_row (&old);
}

size_t
instance_list_get_changes (const instance_list_t *list, uint64_t after,
                           instance_row_t **rows, uint64_t *sequence,
                           bool *full)
{
  size_t count = 0;

  *full = after == 0 || after > list->sequence;
  *sequence = list->sequence;
  *rows = mem_alloc ((list->count + 1) * sizeof **rows);
  for (size_t i = 0; i < list->count; i++)
    {
      const instance_entry_t *entry = &list->entries[i];
      bool wanted = *full ? entry->row.state != INSTANCE_GONE
                          : entry->sequence > after;
      if (wanted)
        (*rows)[count++] = entry->row;
    }
  return count;
}

double
rating_parse_marker (str_t answer)
{
  static const char marker[] = "quality=";
  const char *at = answer.len > 0 ? memmem (answer.ptr, answer.len, marker,
                                            sizeof marker - 1)
                                  : NULL;
  double score = 0.5;

  if (at == NULL)
    return score;
  at += sizeof marker - 1;
  str_t digits = { at, 0 };
  const char *end = answer.ptr + answer.len;
  while (at + digits.len < end
         && ((at[digits.len] >= '0' && at[digits.len] <= '9')
             || at[digits.len] == '.'))
    digits.len++;
  /* A full stop that ends the sentence.  */
  if (digits.len > 0 && at[digits.len - 1] == '.')
    digits.len--;
  if (!str_to_double (digits, &score))
    score = 0.5;
  return score < 0 ? 0 : score > 1 ? 1 : score;
}
