#include "policy/crdt.h"

#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

enum
{
  FORMAT = 1,
  /* Most bits of a value in a message.  Larger values than any deployment
     reaches mean that the message is corrupt.  */
  VALUE_BITS_MAX = 56
};

typedef struct
{
  uint64_t writer; /* 0 for the cell of a compacted epoch.  */
  uint64_t epoch;
  uint32_t key;
  uint32_t is_used;
} cell_t;

struct crdt
{
  crdt_options_t options;
  uint64_t *key_hashes; /* Hash of each key, by key index.  */
  uint32_t key_count;
  uint32_t *key_table; /* Hash table of key index + 1; 0 marks a free slot.
                          The size is a power of two.  */
  uint32_t key_mask;
  /* Hash table of the cells by key, writer and epoch, with open
     addressing.  */
  cell_t *cells;
  int64_t *values;
  /* Second table of cells, so that a rebuild needs no allocation.  */
  cell_t *spare_cells;
  int64_t *spare_values;
  uint32_t cell_mask;
  uint32_t cell_count;
  uint64_t first_epoch; /* First epoch kept.  */
  uint64_t last_epoch;  /* Latest epoch seen, by the clock or in a message.  */
  uint64_t *generations;
  int64_t *sums; /* Sums over all writers, indexed by [key][epoch %
                    epochs][field].  */
  uint64_t change_count;
};

static uint32_t
hash_table_size (uint32_t count)
{
  uint32_t size = 16;

  while (size < count + count / 2)
    size *= 2;
  return size;
}

crdt_t *
crdt_create (const crdt_options_t *options)
{
  crdt_t *crdt = mem_zalloc (sizeof *crdt);
  uint32_t cell_table_len = hash_table_size (options->cells_max);
  uint32_t key_table_len = hash_table_size (options->keys_max);
  size_t fields = options->fields;

  crdt->options = *options;
  crdt->key_hashes = mem_zalloc (options->keys_max * sizeof *crdt->key_hashes);
  crdt->key_table = mem_zalloc (key_table_len * sizeof *crdt->key_table);
  crdt->key_mask = key_table_len - 1;
  crdt->cells = mem_zalloc (cell_table_len * sizeof *crdt->cells);
  crdt->values = mem_zalloc (cell_table_len * fields * sizeof *crdt->values);
  crdt->spare_cells = mem_zalloc (cell_table_len * sizeof *crdt->cells);
  crdt->spare_values
      = mem_zalloc (cell_table_len * fields * sizeof *crdt->values);
  crdt->cell_mask = cell_table_len - 1;
  crdt->generations = mem_zalloc (options->epochs * sizeof *crdt->generations);
  crdt->sums = mem_zalloc ((size_t)options->keys_max * options->epochs * fields
                           * sizeof *crdt->sums);
  return crdt;
}

void
crdt_destroy (crdt_t *crdt)
{
  if (crdt == NULL)
    return;
  free (crdt->sums);
  free (crdt->generations);
  free (crdt->spare_values);
  free (crdt->spare_cells);
  free (crdt->values);
  free (crdt->cells);
  free (crdt->key_table);
  free (crdt->key_hashes);
  free (crdt);
}

static uint64_t
mix_hash (uint64_t z)
{
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

/* Return the slot of HASH in the key table, or the free slot for that
   hash.  */
static uint32_t
key_slot (const crdt_t *crdt, uint64_t hash)
{
  uint32_t slot_index = (uint32_t)mix_hash (hash) & crdt->key_mask;

  while (crdt->key_table[slot_index] != 0
         && crdt->key_hashes[crdt->key_table[slot_index] - 1] != hash)
    slot_index = (slot_index + 1) & crdt->key_mask;
  return slot_index;
}

int
crdt_key_find (const crdt_t *crdt, uint64_t hash)
{
  return (int)crdt->key_table[key_slot (crdt, hash)] - 1;
}

int
crdt_key_find_or_add (crdt_t *crdt, uint64_t hash)
{
  uint32_t slot_index = key_slot (crdt, hash);

  if (crdt->key_table[slot_index] == 0)
    {
      if (crdt->key_count == crdt->options.keys_max)
        return -1;
      crdt->key_hashes[crdt->key_count++] = hash;
      crdt->key_table[slot_index] = crdt->key_count;
    }
  return (int)crdt->key_table[slot_index] - 1;
}

static int64_t *
sums_at (const crdt_t *crdt, uint32_t key, uint64_t epoch)
{
  size_t slot = epoch % crdt->options.epochs;

  return crdt->sums
         + ((size_t)key * crdt->options.epochs + slot) * crdt->options.fields;
}

static int64_t *
values_at (const crdt_t *crdt, uint32_t cell)
{
  return crdt->values + (size_t)cell * crdt->options.fields;
}

/* Return the slot of the cell of KEY, WRITER and EPOCH in the table of cells,
   or the free slot for that cell.  */
static uint32_t
cell_slot (const crdt_t *crdt, uint32_t key, uint64_t writer, uint64_t epoch)
{
  uint64_t hash = mix_hash (writer ^ mix_hash (epoch ^ ((uint64_t)key << 40)));
  uint32_t slot_index = (uint32_t)hash & crdt->cell_mask;

  while (crdt->cells[slot_index].is_used
         && (crdt->cells[slot_index].key != key
             || crdt->cells[slot_index].writer != writer
             || crdt->cells[slot_index].epoch != epoch))
    slot_index = (slot_index + 1) & crdt->cell_mask;
  return slot_index;
}

/* Rebuild the table of cells without those of epochs before FIRST_EPOCH and of
   DROPPED_EPOCH.  */
static void
rebuild_cells (crdt_t *crdt, uint64_t first_epoch, uint64_t dropped_epoch)
{
  size_t size = (size_t)crdt->cell_mask + 1;
  size_t fields = crdt->options.fields;
  cell_t *cells = crdt->cells;
  int64_t *values = crdt->values;

  crdt->cells = crdt->spare_cells;
  crdt->values = crdt->spare_values;
  crdt->spare_cells = cells;
  crdt->spare_values = values;
  memset (crdt->cells, 0, size * sizeof *crdt->cells);
  crdt->cell_count = 0;
  for (size_t i = 0; i < size; i++)
    {
      const cell_t *c = &cells[i];
      if (!c->is_used || c->epoch < first_epoch || c->epoch == dropped_epoch)
        continue;
      uint32_t slot_index = cell_slot (crdt, c->key, c->writer, c->epoch);
      crdt->cells[slot_index] = *c;
      memcpy (values_at (crdt, slot_index), values + i * fields,
              fields * sizeof *values);
      crdt->cell_count++;
    }
}

static void
clear_epoch (crdt_t *crdt, uint64_t epoch)
{
  crdt->generations[epoch % crdt->options.epochs] = 0;
  for (uint32_t key = 0; key < crdt->key_count; key++)
    memset (sums_at (crdt, key, epoch), 0,
            crdt->options.fields * sizeof *crdt->sums);
}

/* Drop all epochs before FIRST_EPOCH.  */
static void
drop_epochs_before (crdt_t *crdt, uint64_t first_epoch)
{
  if (first_epoch <= crdt->first_epoch)
    return;
  uint64_t end = first_epoch < crdt->first_epoch + crdt->options.epochs
                     ? first_epoch
                     : crdt->first_epoch + crdt->options.epochs;
  for (uint64_t epoch = crdt->first_epoch; epoch < end; epoch++)
    clear_epoch (crdt, epoch);
  crdt->first_epoch = first_epoch;
  rebuild_cells (crdt, first_epoch, UINT64_MAX);
  crdt->change_count++;
}

uint64_t
crdt_epoch_at (const crdt_t *crdt, uint64_t now_ms)
{
  return now_ms / crdt->options.epoch_ms;
}

static void
advance_to (crdt_t *crdt, uint64_t epoch)
{
  if (epoch > crdt->last_epoch)
    crdt->last_epoch = epoch;
  if (crdt->last_epoch + 1 > crdt->options.epochs)
    drop_epochs_before (crdt, crdt->last_epoch + 1 - crdt->options.epochs);
}

void
crdt_advance (crdt_t *crdt, uint64_t now_ms)
{
  advance_to (crdt, crdt_epoch_at (crdt, now_ms));
}

/* Store the cell's slot in *SLOT_INDEX, creating the cell if it is missing;
   EPOCH must be kept.  Return false if EPOCH itself would have to be dropped
   to make room.  */
static bool
cell_find_or_add (crdt_t *crdt, uint32_t key, uint64_t writer, uint64_t epoch,
                  uint32_t *slot_index)
{
  *slot_index = cell_slot (crdt, key, writer, epoch);
  if (crdt->cells[*slot_index].is_used)
    return true;
  while (crdt->cell_count >= crdt->options.cells_max)
    {
      if (crdt->first_epoch >= epoch)
        return false;
      drop_epochs_before (crdt, crdt->first_epoch + 1);
    }
  *slot_index = cell_slot (crdt, key, writer, epoch);
  crdt->cells[*slot_index] = (cell_t){ writer, epoch, key, 1 };
  memset (values_at (crdt, *slot_index), 0,
          crdt->options.fields * sizeof (int64_t));
  crdt->cell_count++;
  return true;
}

bool
crdt_add (crdt_t *crdt, int key, uint64_t now_ms, const int64_t *sample)
{
  uint64_t epoch = crdt_epoch_at (crdt, now_ms);
  uint32_t slot_index;

  advance_to (crdt, epoch);
  if (key < 0 || epoch < crdt->first_epoch)
    return false;
  if (!cell_find_or_add (crdt, (uint32_t)key, crdt->options.writer, epoch,
                         &slot_index))
    return false;
  int64_t *cell = values_at (crdt, slot_index);
  int64_t *sums = sums_at (crdt, (uint32_t)key, epoch);
  cell[0]++;
  sums[0]++;
  for (uint32_t f = 1; f < crdt->options.fields; f++)
    {
      cell[f] += sample[f];
      sums[f] += sample[f];
    }
  crdt->change_count++;
  return true;
}

uint64_t
crdt_first_epoch (const crdt_t *crdt)
{
  return crdt->first_epoch;
}

uint64_t
crdt_last_epoch (const crdt_t *crdt)
{
  return crdt->last_epoch;
}

const int64_t *
crdt_sums (const crdt_t *crdt, int key, uint64_t epoch)
{
  if (key < 0 || epoch < crdt->first_epoch || epoch > crdt->last_epoch)
    return NULL;
  const int64_t *sums = sums_at (crdt, (uint32_t)key, epoch);
  return sums[0] != 0 ? sums : NULL;
}

uint64_t
crdt_change_count (const crdt_t *crdt)
{
  return crdt->change_count;
}

/* Return whether there are sums for EPOCH.  */
static bool
has_epoch (const crdt_t *crdt, uint64_t epoch)
{
  for (uint32_t key = 0; key < crdt->key_count; key++)
    if (sums_at (crdt, key, epoch)[0] != 0)
      return true;
  return false;
}

bool
crdt_compact (crdt_t *crdt, uint64_t epoch, uint64_t generation)
{
  uint64_t *current = &crdt->generations[epoch % crdt->options.epochs];

  if (epoch < crdt->first_epoch || epoch > crdt->last_epoch
      || *current >= generation || !has_epoch (crdt, epoch))
    return false;
  *current = generation;
  rebuild_cells (crdt, crdt->first_epoch, epoch);
  for (uint32_t key = 0; key < crdt->key_count; key++)
    {
      uint32_t slot_index;
      const int64_t *sums = sums_at (crdt, key, epoch);
      if (sums[0] != 0 && cell_find_or_add (crdt, key, 0, epoch, &slot_index))
        memcpy (values_at (crdt, slot_index), sums,
                crdt->options.fields * sizeof *sums);
    }
  crdt->change_count++;
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

/* Map integers of small absolute value to small unsigned ones, which are short
   as variable-length integers.  */
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
} message_cell_t;

static int
compare_u64 (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

static int
compare_cells (const void *a, const void *b)
{
  const message_cell_t *left = a;
  const message_cell_t *right = b;
  int order = compare_u64 (left->epoch, right->epoch);

  if (order == 0)
    order = compare_u64 (left->hash, right->hash);
  return order != 0 ? order : compare_u64 (left->writer, right->writer);
}

static void
append_cell (const crdt_t *crdt, const message_cell_t *message_cell,
             buf_t *out)
{
  crdt_write_varint (out, message_cell->epoch);
  buf_append (out, &message_cell->hash, sizeof message_cell->hash);
  buf_append (out, &message_cell->writer, sizeof message_cell->writer);
  for (uint32_t f = 0; f < crdt->options.fields; f++)
    crdt_write_varint (out, zigzag (message_cell->values[f]));
}

/* Return whether the cell C belongs in a message to peers.  */
static bool
is_recent_own_cell (const crdt_t *crdt, const cell_t *c)
{
  return c->writer == crdt->options.writer
         && c->epoch + CRDT_RECENT_EPOCHS > crdt->last_epoch;
}

void
crdt_write (const crdt_t *crdt, bool own_only, buf_t *out)
{
  message_cell_t *message_cells
      = mem_alloc ((crdt->cell_count + 1) * sizeof *message_cells);
  size_t count = 0;
  size_t generation_count = 0;

  for (uint32_t i = 0; i <= crdt->cell_mask; i++)
    {
      const cell_t *c = &crdt->cells[i];
      if (!c->is_used || (own_only && !is_recent_own_cell (crdt, c)))
        continue;
      message_cells[count++]
          = (message_cell_t){ c->epoch, crdt->key_hashes[c->key], c->writer,
                              values_at (crdt, i) };
    }
  qsort (message_cells, count, sizeof *message_cells, compare_cells);
  for (uint64_t epoch = crdt->first_epoch; epoch <= crdt->last_epoch; epoch++)
    generation_count += crdt->generations[epoch % crdt->options.epochs] != 0;
  crdt_write_varint (out, FORMAT);
  crdt_write_varint (out, crdt->options.fields);
  crdt_write_varint (out, crdt->options.epoch_ms);
  crdt_write_varint (out, generation_count);
  for (uint64_t epoch = crdt->first_epoch; epoch <= crdt->last_epoch; epoch++)
    if (crdt->generations[epoch % crdt->options.epochs] != 0)
      {
        crdt_write_varint (out, epoch);
        crdt_write_varint (out,
                           crdt->generations[epoch % crdt->options.epochs]);
      }
  crdt_write_varint (out, count);
  for (size_t i = 0; i < count; i++)
    append_cell (crdt, &message_cells[i], out);
  free (message_cells);
}

static bool
read_word (str_t *rest, uint64_t *word)
{
  if (rest->len < sizeof *word)
    return false;
  memcpy (word, rest->ptr, sizeof *word);
  rest->ptr += sizeof *word;
  rest->len -= sizeof *word;
  return true;
}

/* Read one cell at the start of *REST into *MESSAGE_CELL and VALUES, and skip
   it.  */
static bool
read_cell (const crdt_t *crdt, str_t *rest, message_cell_t *message_cell,
           int64_t *values)
{
  if (!crdt_read_varint (rest, &message_cell->epoch)
      || !read_word (rest, &message_cell->hash)
      || !read_word (rest, &message_cell->writer))
    return false;
  for (uint32_t f = 0; f < crdt->options.fields; f++)
    {
      uint64_t raw;
      if (!crdt_read_varint (rest, &raw) || raw >> VALUE_BITS_MAX != 0)
        return false;
      values[f] = unzigzag (raw);
    }
  message_cell->values = values;
  return values[0] > 0;
}

/* Return whether the cell values A are newer than B.  Two copies with the same
   count are equal unless a writer id was used twice; then all processes keep
   the copy with the larger values.  */
static bool
is_newer (const int64_t *a, const int64_t *b, uint32_t fields)
{
  for (uint32_t f = 0; f < fields; f++)
    if (a[f] != b[f])
      return a[f] > b[f];
  return false;
}

/* Return whether a cell of EPOCH may be merged at NOW_EPOCH.  */
static bool
is_epoch_acceptable (const crdt_t *crdt, uint64_t epoch, uint64_t now_epoch)
{
  return epoch >= crdt->first_epoch && epoch <= now_epoch + 1
         && epoch + crdt->options.epochs > now_epoch;
}

static void
merge_generation (crdt_t *crdt, uint64_t epoch, uint64_t generation)
{
  uint64_t *current = &crdt->generations[epoch % crdt->options.epochs];

  if (generation <= *current)
    return;
  rebuild_cells (crdt, crdt->first_epoch, epoch);
  clear_epoch (crdt, epoch);
  *current = generation;
}

static void
merge_cell (crdt_t *crdt, const message_cell_t *message_cell)
{
  int key = crdt_key_find_or_add (crdt, message_cell->hash);
  uint32_t slot_index;

  if (key < 0
      || !cell_find_or_add (crdt, (uint32_t)key, message_cell->writer,
                            message_cell->epoch, &slot_index)
      || !is_newer (message_cell->values, values_at (crdt, slot_index),
                    crdt->options.fields))
    return;
  int64_t *cell = values_at (crdt, slot_index);
  int64_t *sums = sums_at (crdt, (uint32_t)key, message_cell->epoch);
  for (uint32_t f = 0; f < crdt->options.fields; f++)
    {
      sums[f] += message_cell->values[f] - cell[f];
      cell[f] = message_cell->values[f];
    }
}

/* Parts of a message of crdt_write after the header.  */
typedef struct
{
  /* The compacted epochs with their generations, and all bytes after them.  */
  str_t bytes_from_compacted_epochs;
  uint64_t compacted_count;
  str_t cells;
  uint64_t cell_count;
} message_t;

/* Split BYTES into *MESSAGE.  Return false if the header is malformed or
   belongs to a state with other fields or another epoch length.  */
static bool
read_header (const crdt_t *crdt, str_t bytes, message_t *message)
{
  uint64_t format, fields, epoch_ms, skipped;

  if (!crdt_read_varint (&bytes, &format) || format != FORMAT
      || !crdt_read_varint (&bytes, &fields) || fields != crdt->options.fields
      || !crdt_read_varint (&bytes, &epoch_ms)
      || epoch_ms != crdt->options.epoch_ms
      || !crdt_read_varint (&bytes, &message->compacted_count))
    return false;
  message->bytes_from_compacted_epochs = bytes;
  for (uint64_t i = 0; i < message->compacted_count; i++)
    if (!crdt_read_varint (&bytes, &skipped)
        || !crdt_read_varint (&bytes, &skipped))
      return false;
  if (!crdt_read_varint (&bytes, &message->cell_count))
    return false;
  message->cells = bytes;
  return true;
}

/* Return whether every cell is well formed and no bytes follow the last
   one.  */
static bool
has_valid_cells (const crdt_t *crdt, const message_t *message)
{
  int64_t values[CRDT_FIELDS_MAX] = { 0 };
  str_t rest = message->cells;
  message_cell_t message_cell;

  for (uint64_t i = 0; i < message->cell_count; i++)
    if (!read_cell (crdt, &rest, &message_cell, values))
      return false;
  return rest.len == 0;
}

/* Return the generation under which EPOCH is compacted in MESSAGE; 0 if the
   epoch is not compacted there.  */
static uint64_t
message_generation (const message_t *message, uint64_t epoch)
{
  str_t rest = message->bytes_from_compacted_epochs;
  uint64_t compacted_epoch = 0;
  uint64_t generation = 0;

  for (uint64_t i = 0; i < message->compacted_count; i++)
    if (crdt_read_varint (&rest, &compacted_epoch)
        && crdt_read_varint (&rest, &generation) && compacted_epoch == epoch)
      return generation;
  return 0;
}

static void
merge_compacted (crdt_t *crdt, const message_t *message, uint64_t now_epoch)
{
  str_t rest = message->bytes_from_compacted_epochs;
  uint64_t epoch = 0;
  uint64_t generation = 0;

  for (uint64_t i = 0; i < message->compacted_count; i++)
    if (crdt_read_varint (&rest, &epoch)
        && crdt_read_varint (&rest, &generation)
        && is_epoch_acceptable (crdt, epoch, now_epoch))
      {
        advance_to (crdt, epoch);
        merge_generation (crdt, epoch, generation);
      }
}

static void
merge_cells (crdt_t *crdt, const message_t *message, uint64_t now_epoch)
{
  int64_t values[CRDT_FIELDS_MAX] = { 0 };
  str_t rest = message->cells;
  message_cell_t message_cell;

  for (uint64_t i = 0; i < message->cell_count; i++)
    {
      if (!read_cell (crdt, &rest, &message_cell, values))
        return;
      if (!is_epoch_acceptable (crdt, message_cell.epoch, now_epoch))
        continue;
      advance_to (crdt, message_cell.epoch);
      /* The cells of an older generation are already in the compacted cell. */
      if (message_generation (message, message_cell.epoch)
          == crdt->generations[message_cell.epoch % crdt->options.epochs])
        merge_cell (crdt, &message_cell);
    }
}

bool
crdt_is_valid (const crdt_t *crdt, str_t bytes)
{
  message_t message = { 0 };

  return read_header (crdt, bytes, &message)
         && has_valid_cells (crdt, &message);
}

vh_code_t
crdt_merge (crdt_t *crdt, str_t bytes, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (crdt, now_ms);
  message_t message = { 0 };

  if (!read_header (crdt, bytes, &message)
      || !has_valid_cells (crdt, &message))
    return VH_E_PROTOCOL;
  advance_to (crdt, now_epoch);
  merge_compacted (crdt, &message, now_epoch);
  merge_cells (crdt, &message, now_epoch);
  crdt->change_count++;
  return VH_OK;
}
