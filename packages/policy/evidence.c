#include "policy/evidence.h"

#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

enum
{
  FORMAT = 1,
  /* Larger counts than any fleet reaches are a corrupt message.  */
  VALUE_BITS_MAX = 56
};

typedef struct
{
  uint64_t writer; /* 0: settled.  */
  uint64_t epoch;
  uint32_t key;
  uint32_t used;
} cell_t;

struct evidence
{
  crdt_options_t options;
  uint64_t *hashes; /* By key index.  */
  uint32_t keys;
  uint32_t *key_table; /* Key index + 1 by hash; a power of two.  */
  uint32_t key_mask;
  cell_t *cells; /* Open addressing by (key, writer, epoch).  */
  int64_t *values;
  cell_t *spare_cells; /* For rebuilding without allocation.  */
  int64_t *spare_values;
  uint32_t cell_mask;
  uint32_t cell_count;
  uint64_t floor; /* First epoch kept.  */
  uint64_t last;  /* Last epoch seen.  */
  uint64_t *generations;
  int64_t *sums; /* [key][epoch % epochs][field]  */
  uint64_t changes;
};

static uint32_t
table_size (uint32_t count)
{
  uint32_t size = 16;

  while (size < count + count / 2)
    size *= 2;
  return size;
}

crdt_t *
crdt_create (const crdt_options_t *options)
{
  crdt_t *e = mem_zalloc (sizeof *e);
  uint32_t cells = table_size (options->cells_max);
  uint32_t keys = table_size (options->keys_max);
  size_t fields = options->fields;

  e->options = *options;
  e->hashes = mem_zalloc (options->keys_max * sizeof *e->hashes);
  e->key_table = mem_zalloc (keys * sizeof *e->key_table);
  e->key_mask = keys - 1;
  e->cells = mem_zalloc (cells * sizeof *e->cells);
  e->values = mem_zalloc (cells * fields * sizeof *e->values);
  e->spare_cells = mem_zalloc (cells * sizeof *e->cells);
  e->spare_values = mem_zalloc (cells * fields * sizeof *e->values);
  e->cell_mask = cells - 1;
  e->generations = mem_zalloc (options->epochs * sizeof *e->generations);
  e->sums = mem_zalloc ((size_t)options->keys_max * options->epochs * fields
                        * sizeof *e->sums);
  return e;
}

void
crdt_destroy (crdt_t *e)
{
  if (e == NULL)
    return;
  free (e->sums);
  free (e->generations);
  free (e->spare_values);
  free (e->spare_cells);
  free (e->values);
  free (e->cells);
  free (e->key_table);
  free (e->hashes);
  free (e);
}

static uint64_t
mix (uint64_t z)
{
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

/* Return the place in the key table of HASH, taken or free.  */
static uint32_t
key_place (const crdt_t *e, uint64_t hash)
{
  uint32_t at = (uint32_t)mix (hash) & e->key_mask;

  while (e->key_table[at] != 0 && e->hashes[e->key_table[at] - 1] != hash)
    at = (at + 1) & e->key_mask;
  return at;
}

int
crdt_key_find (const crdt_t *e, uint64_t hash)
{
  return (int)e->key_table[key_place (e, hash)] - 1;
}

int
crdt_key_find_or_add (crdt_t *e, uint64_t hash)
{
  uint32_t at = key_place (e, hash);

  if (e->key_table[at] == 0)
    {
      if (e->keys == e->options.keys_max)
        return -1;
      e->hashes[e->keys++] = hash;
      e->key_table[at] = e->keys;
    }
  return (int)e->key_table[at] - 1;
}

static int64_t *
sums_at (const crdt_t *e, uint32_t key, uint64_t epoch)
{
  size_t slot = epoch % e->options.epochs;

  return e->sums
         + ((size_t)key * e->options.epochs + slot) * e->options.fields;
}

static int64_t *
values_at (const crdt_t *e, uint32_t cell)
{
  return e->values + (size_t)cell * e->options.fields;
}

/* Return the place of the cell, taken or free.  */
static uint32_t
cell_place (const crdt_t *e, uint32_t key, uint64_t writer, uint64_t epoch)
{
  uint64_t hash = mix (writer ^ mix (epoch ^ ((uint64_t)key << 40)));
  uint32_t at = (uint32_t)hash & e->cell_mask;

  while (e->cells[at].used
         && (e->cells[at].key != key || e->cells[at].writer != writer
             || e->cells[at].epoch != epoch))
    at = (at + 1) & e->cell_mask;
  return at;
}

/* Rebuild the table without the cells of epochs below FLOOR and of epoch
   ONE.  */
static void
cells_rebuild (crdt_t *e, uint64_t floor, uint64_t one)
{
  size_t size = (size_t)e->cell_mask + 1;
  size_t fields = e->options.fields;
  cell_t *cells = e->cells;
  int64_t *values = e->values;

  e->cells = e->spare_cells;
  e->values = e->spare_values;
  e->spare_cells = cells;
  e->spare_values = values;
  memset (e->cells, 0, size * sizeof *e->cells);
  e->cell_count = 0;
  for (size_t i = 0; i < size; i++)
    {
      const cell_t *c = &cells[i];
      if (!c->used || c->epoch < floor || c->epoch == one)
        continue;
      uint32_t at = cell_place (e, c->key, c->writer, c->epoch);
      e->cells[at] = *c;
      memcpy (values_at (e, at), values + i * fields, fields * sizeof *values);
      e->cell_count++;
    }
}

static void
clear_epoch (crdt_t *e, uint64_t epoch)
{
  e->generations[epoch % e->options.epochs] = 0;
  for (uint32_t key = 0; key < e->keys; key++)
    memset (sums_at (e, key, epoch), 0, e->options.fields * sizeof *e->sums);
}

/* Make FLOOR the first epoch kept.  */
static void
raise_floor (crdt_t *e, uint64_t floor)
{
  if (floor <= e->floor)
    return;
  uint64_t end = floor < e->floor + e->options.epochs
                     ? floor
                     : e->floor + e->options.epochs;
  for (uint64_t epoch = e->floor; epoch < end; epoch++)
    clear_epoch (e, epoch);
  e->floor = floor;
  cells_rebuild (e, floor, UINT64_MAX);
  e->changes++;
}

uint64_t
crdt_epoch_at (const crdt_t *e, uint64_t now_ms)
{
  return now_ms / e->options.epoch_ms;
}

static void
advance_to (crdt_t *e, uint64_t epoch)
{
  if (epoch > e->last)
    e->last = epoch;
  if (e->last + 1 > e->options.epochs)
    raise_floor (e, e->last + 1 - e->options.epochs);
}

void
crdt_advance (crdt_t *e, uint64_t now_ms)
{
  advance_to (e, crdt_epoch_at (e, now_ms));
}

/* Return the cell's place, made at need; the epoch must be kept.  Return
   false when making room would forget the epoch itself.  */
static bool
cell_get (crdt_t *e, uint32_t key, uint64_t writer, uint64_t epoch,
          uint32_t *at)
{
  *at = cell_place (e, key, writer, epoch);
  if (e->cells[*at].used)
    return true;
  while (e->cell_count >= e->options.cells_max)
    {
      if (e->floor >= epoch)
        return false;
      raise_floor (e, e->floor + 1);
    }
  *at = cell_place (e, key, writer, epoch);
  e->cells[*at] = (cell_t){ writer, epoch, key, 1 };
  memset (values_at (e, *at), 0, e->options.fields * sizeof (int64_t));
  e->cell_count++;
  return true;
}

bool
crdt_add (crdt_t *e, int key, uint64_t now_ms, const int64_t *sample)
{
  uint64_t epoch = crdt_epoch_at (e, now_ms);
  uint32_t at;

  advance_to (e, epoch);
  if (key < 0 || epoch < e->floor)
    return false;
  if (!cell_get (e, (uint32_t)key, e->options.writer, epoch, &at))
    return false;
  int64_t *cell = values_at (e, at);
  int64_t *sums = sums_at (e, (uint32_t)key, epoch);
  cell[0]++;
  sums[0]++;
  for (uint32_t f = 1; f < e->options.fields; f++)
    {
      cell[f] += sample[f];
      sums[f] += sample[f];
    }
  e->changes++;
  return true;
}

uint64_t
crdt_first_epoch (const crdt_t *e)
{
  return e->floor;
}

uint64_t
crdt_last_epoch (const crdt_t *e)
{
  return e->last;
}

const int64_t *
crdt_sums (const crdt_t *e, int key, uint64_t epoch)
{
  if (key < 0 || epoch < e->floor || epoch > e->last)
    return NULL;
  const int64_t *sums = sums_at (e, (uint32_t)key, epoch);
  return sums[0] != 0 ? sums : NULL;
}

uint64_t
crdt_change_count (const crdt_t *e)
{
  return e->changes;
}

/* Tell whether anything is kept for EPOCH.  */
static bool
epoch_used (const crdt_t *e, uint64_t epoch)
{
  for (uint32_t key = 0; key < e->keys; key++)
    if (sums_at (e, key, epoch)[0] != 0)
      return true;
  return false;
}

bool
crdt_compact (crdt_t *e, uint64_t epoch, uint64_t generation)
{
  uint64_t *current = &e->generations[epoch % e->options.epochs];

  if (epoch < e->floor || epoch > e->last || *current >= generation
      || !epoch_used (e, epoch))
    return false;
  *current = generation;
  cells_rebuild (e, e->floor, epoch);
  for (uint32_t key = 0; key < e->keys; key++)
    {
      uint32_t at;
      const int64_t *sums = sums_at (e, key, epoch);
      if (sums[0] != 0 && cell_get (e, key, 0, epoch, &at))
        memcpy (values_at (e, at), sums, e->options.fields * sizeof *sums);
    }
  e->changes++;
  return true;
}

int64_t
crdt_to_fixed_point (double value)
{
  if (!isfinite (value))
    return 0;
  return llround (fmax (-1e9, fmin (1e9, value)) * CRDT_FIXED_POINT_ONE);
}

void
crdt_write_varint (buf_t *out, uint64_t n)
{
  for (; n >= 0x80; n >>= 7)
    buf_append_char (out, (char)(n | 0x80));
  buf_append_char (out, (char)n);
}

bool
crdt_read_varint (str_t *rest, uint64_t *n)
{
  uint64_t value = 0;

  for (unsigned shift = 0; shift < 64 && rest->len > 0; shift += 7)
    {
      uint8_t byte = (uint8_t)*rest->ptr;
      rest->ptr++;
      rest->len--;
      value |= (uint64_t)(byte & 0x7f) << shift;
      if (byte < 0x80)
        {
          *n = value;
          return true;
        }
    }
  return false;
}

bool
crdt_read_string (str_t *rest, str_t *s)
{
  uint64_t len;

  if (!crdt_read_varint (rest, &len) || len > rest->len)
    return false;
  *s = str_make (rest->ptr, len);
  rest->ptr += len;
  rest->len -= len;
  return true;
}

/* Small numbers of either sign become small unsigned ones.  */
static uint64_t
zigzag (int64_t value)
{
  return ((uint64_t)value << 1) ^ (uint64_t)(value >> 63);
}

static int64_t
unzigzag (uint64_t value)
{
  return (int64_t)(value >> 1) ^ -(int64_t)(value & 1);
}

typedef struct
{
  uint64_t epoch;
  uint64_t hash;
  uint64_t writer;
  const int64_t *values;
} entry_t;

static int
compare_u64 (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

static int
compare_entries (const void *a, const void *b)
{
  const entry_t *left = a;
  const entry_t *right = b;
  int order = compare_u64 (left->epoch, right->epoch);

  if (order == 0)
    order = compare_u64 (left->hash, right->hash);
  return order != 0 ? order : compare_u64 (left->writer, right->writer);
}

static void
put_entry (const crdt_t *e, const entry_t *entry, buf_t *out)
{
  crdt_write_varint (out, entry->epoch);
  buf_append (out, &entry->hash, sizeof entry->hash);
  buf_append (out, &entry->writer, sizeof entry->writer);
  for (uint32_t f = 0; f < e->options.fields; f++)
    crdt_write_varint (out, zigzag (entry->values[f]));
}

/* Tell whether cell C goes into a message for peers.  */
static bool
is_news (const crdt_t *e, const cell_t *c)
{
  return c->writer == e->options.writer
         && c->epoch + CRDT_RECENT_EPOCHS > e->last;
}

void
crdt_write (const crdt_t *e, bool own_only, buf_t *out)
{
  entry_t *entries = mem_alloc ((e->cell_count + 1) * sizeof *entries);
  size_t count = 0;
  size_t generations = 0;

  for (uint32_t i = 0; i <= e->cell_mask; i++)
    {
      const cell_t *c = &e->cells[i];
      if (!c->used || (own_only && !is_news (e, c)))
        continue;
      entries[count++] = (entry_t){ c->epoch, e->hashes[c->key], c->writer,
                                    values_at (e, i) };
    }
  qsort (entries, count, sizeof *entries, compare_entries);
  for (uint64_t epoch = e->floor; epoch <= e->last; epoch++)
    generations += e->generations[epoch % e->options.epochs] != 0;
  crdt_write_varint (out, FORMAT);
  crdt_write_varint (out, e->options.fields);
  crdt_write_varint (out, e->options.epoch_ms);
  crdt_write_varint (out, generations);
  for (uint64_t epoch = e->floor; epoch <= e->last; epoch++)
    if (e->generations[epoch % e->options.epochs] != 0)
      {
        crdt_write_varint (out, epoch);
        crdt_write_varint (out, e->generations[epoch % e->options.epochs]);
      }
  crdt_write_varint (out, count);
  for (size_t i = 0; i < count; i++)
    put_entry (e, &entries[i], out);
  free (entries);
}

static bool
take_word (str_t *rest, uint64_t *word)
{
  if (rest->len < sizeof *word)
    return false;
  memcpy (word, rest->ptr, sizeof *word);
  rest->ptr += sizeof *word;
  rest->len -= sizeof *word;
  return true;
}

/* Take one cell off *REST into *ENTRY and VALUES.  */
static bool
take_entry (const crdt_t *e, str_t *rest, entry_t *entry, int64_t *values)
{
  if (!crdt_read_varint (rest, &entry->epoch)
      || !take_word (rest, &entry->hash) || !take_word (rest, &entry->writer))
    return false;
  for (uint32_t f = 0; f < e->options.fields; f++)
    {
      uint64_t raw;
      if (!crdt_read_varint (rest, &raw) || raw >> VALUE_BITS_MAX != 0)
        return false;
      values[f] = unzigzag (raw);
    }
  entry->values = values;
  return values[0] > 0;
}

/* Tell whether cell values A are newer than B.  Two copies with the same
   count are equal unless a writer id was used twice; then the larger one
   wins everywhere alike.  */
static bool
newer (const int64_t *a, const int64_t *b, uint32_t fields)
{
  for (uint32_t f = 0; f < fields; f++)
    if (a[f] != b[f])
      return a[f] > b[f];
  return false;
}

/* Tell whether EPOCH may be kept at NOW_EPOCH.  */
static bool
epoch_fits (const crdt_t *e, uint64_t epoch, uint64_t now_epoch)
{
  return epoch >= e->floor && epoch <= now_epoch + 1
         && epoch + e->options.epochs > now_epoch;
}

static void
merge_generation (crdt_t *e, uint64_t epoch, uint64_t generation)
{
  uint64_t *current = &e->generations[epoch % e->options.epochs];

  if (generation <= *current)
    return;
  cells_rebuild (e, e->floor, epoch);
  clear_epoch (e, epoch);
  *current = generation;
}

static void
merge_entry (crdt_t *e, const entry_t *entry)
{
  int key = crdt_key_find_or_add (e, entry->hash);
  uint32_t at;

  if (key < 0 || !cell_get (e, (uint32_t)key, entry->writer, entry->epoch, &at)
      || !newer (entry->values, values_at (e, at), e->options.fields))
    return;
  int64_t *cell = values_at (e, at);
  int64_t *sums = sums_at (e, (uint32_t)key, entry->epoch);
  for (uint32_t f = 0; f < e->options.fields; f++)
    {
      sums[f] += entry->values[f] - cell[f];
      cell[f] = entry->values[f];
    }
}

/* A message under its header.  */
typedef struct
{
  str_t settled; /* The generations, then the rest.  */
  uint64_t settled_count;
  str_t cells;
  uint64_t cell_count;
} message_parts_t;

/* Split BYTES.  Return false when the header is malformed or is that of
   other evidence.  */
static bool
take_header (const crdt_t *e, str_t bytes, message_parts_t *parts)
{
  uint64_t format, fields, epoch_ms, ignored;

  if (!crdt_read_varint (&bytes, &format) || format != FORMAT
      || !crdt_read_varint (&bytes, &fields) || fields != e->options.fields
      || !crdt_read_varint (&bytes, &epoch_ms)
      || epoch_ms != e->options.epoch_ms
      || !crdt_read_varint (&bytes, &parts->settled_count))
    return false;
  parts->settled = bytes;
  for (uint64_t i = 0; i < parts->settled_count; i++)
    if (!crdt_read_varint (&bytes, &ignored)
        || !crdt_read_varint (&bytes, &ignored))
      return false;
  if (!crdt_read_varint (&bytes, &parts->cell_count))
    return false;
  parts->cells = bytes;
  return true;
}

/* Tell whether every cell is well formed and nothing follows them.  */
static bool
cells_valid (const crdt_t *e, const message_parts_t *parts)
{
  int64_t values[CRDT_FIELDS_MAX] = { 0 };
  str_t rest = parts->cells;
  entry_t entry;

  for (uint64_t i = 0; i < parts->cell_count; i++)
    if (!take_entry (e, &rest, &entry, values))
      return false;
  return rest.len == 0;
}

/* Return the generation that the message gives EPOCH; 0 when unsettled.  */
static uint64_t
message_generation (const message_parts_t *parts, uint64_t epoch)
{
  str_t rest = parts->settled;
  uint64_t of = 0;
  uint64_t generation = 0;

  for (uint64_t i = 0; i < parts->settled_count; i++)
    if (crdt_read_varint (&rest, &of) && crdt_read_varint (&rest, &generation)
        && of == epoch)
      return generation;
  return 0;
}

static void
merge_settled (crdt_t *e, const message_parts_t *parts, uint64_t now_epoch)
{
  str_t rest = parts->settled;
  uint64_t epoch = 0;
  uint64_t generation = 0;

  for (uint64_t i = 0; i < parts->settled_count; i++)
    if (crdt_read_varint (&rest, &epoch)
        && crdt_read_varint (&rest, &generation)
        && epoch_fits (e, epoch, now_epoch))
      {
        advance_to (e, epoch);
        merge_generation (e, epoch, generation);
      }
}

static void
merge_cells (crdt_t *e, const message_parts_t *parts, uint64_t now_epoch)
{
  int64_t values[CRDT_FIELDS_MAX] = { 0 };
  str_t rest = parts->cells;
  entry_t entry;

  for (uint64_t i = 0; i < parts->cell_count; i++)
    {
      if (!take_entry (e, &rest, &entry, values))
        return;
      if (!epoch_fits (e, entry.epoch, now_epoch))
        continue;
      advance_to (e, entry.epoch);
      /* What was settled since holds the cells of an older generation.  */
      if (message_generation (parts, entry.epoch)
          == e->generations[entry.epoch % e->options.epochs])
        merge_entry (e, &entry);
    }
}

bool
crdt_is_valid (const crdt_t *e, str_t bytes)
{
  message_parts_t parts = { 0 };

  return take_header (e, bytes, &parts) && cells_valid (e, &parts);
}

vh_code_t
crdt_merge (crdt_t *e, str_t bytes, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (e, now_ms);
  message_parts_t parts = { 0 };

  if (!take_header (e, bytes, &parts) || !cells_valid (e, &parts))
    return VH_E_PROTOCOL;
  advance_to (e, now_epoch);
  merge_settled (e, &parts, now_epoch);
  merge_cells (e, &parts, now_epoch);
  e->changes++;
  return VH_OK;
}
