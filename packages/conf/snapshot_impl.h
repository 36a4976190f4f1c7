/* Internals of a snapshot, for the files of this package that build one.  */

#ifndef CONF_SNAPSHOT_IMPL_H
#define CONF_SNAPSHOT_IMPL_H

#include "base/map.h"
#include "conf/schema.h"
#include "conf/snapshot.h"

enum
{
  DIGEST_BYTES = 32,
  WORD_BITS = 64
};

/* The values of one section each.  The first member of each struct is its name
   or starts with its name, because name_table_t reads the name there.  The
   references and lists are allocated in the builder's scratch arena.  */
typedef struct
{
  team_t pub;
  value_ref_t plan;
  value_list_t keys; /* Hexadecimal SHA-256 digests.  */
} team_item_t;

typedef struct
{
  plan_t pub;
  value_list_t allow; /* Patterns of allowed versions and services.  */
} plan_item_t;

typedef struct
{
  model_t pub;
  size_t versions_filled; /* Number of entries set in pub.versions.  */
} model_item_t;

typedef struct
{
  version_t pub;
  int line;
} version_item_t;

typedef struct
{
  service_t pub;
} service_item_t;

typedef struct
{
  str_t name;
  str_t region;
  bool is_enabled;
} zone_item_t;

/* Allocated in the builder's scratch arena.  */
typedef struct
{
  str_t name;
  bool is_enabled;
} instance_item_t;

typedef struct
{
  str_t name;
  rollout_t pub;
  value_ref_t over;
  int line;
} rollout_item_t;

typedef struct
{
  objective_t pub;
  value_ref_t team;
} objective_item_t;

/* Sections of one kind, in the order of the text and by name.  */
typedef struct
{
  void **items;
  size_t count;
  size_t capacity;
  map_t *by_name; /* NULL as long as the table is empty.  */
} name_table_t;

/* Slot of a hash table with open addressing from key digests to teams.  The
   hash is the first bytes of the digest, which are uniformly distributed.  */
typedef struct
{
  const team_t *team; /* NULL if the slot is free.  */
  uint8_t digest[DIGEST_BYTES];
} key_slot_t;

struct snapshot
{
  size_t reference_count;
  uint64_t revision;
  str_t text;
  arena_t arena;
  name_table_t teams;
  name_table_t plans;
  name_table_t models;
  name_table_t versions;
  name_table_t services;
  name_table_t zones;
  name_table_t rollouts;
  name_table_t objectives;
  map_t *disabled_instances; /* Names of instances; values are unused.  */
  key_slot_t *keys;
  size_t key_mask; /* Number of key slots, a power of 2, minus 1.  */
  /* Bit matrices of permissions: a row for each plan, a bit for each version
     or service.  The row lengths are in 64-bit words.  */
  uint64_t *version_bits;
  size_t version_row_words;
  uint64_t *service_bits;
  size_t service_row_words;
};

/* A snapshot under construction, and data that is released afterwards.  */
typedef struct
{
  snapshot_t *snapshot;
  arena_t scratch;
  instance_item_t **instances;
  size_t instance_count;
  size_t instance_capacity;
  conf_errors_t *errors;
} snapshot_builder_t;

/* Sections and keys of the configuration; the argument of its callbacks is a
   snapshot_builder_t.  */
extern const schema_t snapshot_schema;

/* Append ITEM, which starts with its name (a str_t) and is borrowed.  */
void name_table_add (name_table_t *names, void *item);
/* Return the item of this name, or NULL.  */
void *name_table_find (const name_table_t *names, str_t name);
/* Return item INDEX, or NULL past the last one.  */
void *name_table_at (const name_table_t *names, size_t index);

/* Return the slot of SNAPSHOT's key table that holds DIGEST, or the free slot
   in which DIGEST is to be stored.  */
key_slot_t *snapshot_find_key_slot (const snapshot_t *snapshot,
                                    const uint8_t *digest);

#endif
