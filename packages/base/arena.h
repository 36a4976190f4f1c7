/* Region allocator: all memory allocated from an arena is released in one
   call.  It owns the strings and structs that are parsed from one text.  */

#ifndef BASE_ARENA_H
#define BASE_ARENA_H

#include "base/str.h"

typedef struct arena_chunk arena_chunk_t;

/* Zero-initialise before the first use.  */
typedef struct
{
  arena_chunk_t *chunks; /* Newest first.  */
  size_t chunk_used;     /* Bytes allocated from the newest chunk.  */
  size_t chunk_size;     /* Capacity of the newest chunk, in bytes.  */
} arena_t;

/* Return SIZE zeroed bytes that stay valid until arena_free.  */
void *arena_alloc (arena_t *arena, size_t size);
/* Return a copy of S in ARENA, followed by a NUL that its length excludes.  */
str_t arena_str (arena_t *arena, str_t s);
/* Release all memory of ARENA and make it empty.  */
void arena_free (arena_t *arena);

#endif
