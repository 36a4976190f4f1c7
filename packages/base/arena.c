#include "base/arena.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  ARENA_CHUNK_BYTES_MIN = 4096 - 64,
  ARENA_CHUNK_BYTES_MAX = 256 * 1024
};

struct arena_chunk
{
  arena_chunk_t *next;
  _Alignas(max_align_t) char bytes[];
};

void *
arena_alloc (arena_t *arena, size_t size)
{
  size_t align = _Alignof(max_align_t);
  size_t aligned_size = (size + align - 1) / align * align;

  if (aligned_size > arena->chunk_size - arena->chunk_used)
    {
      size_t chunk_size = arena->chunk_size == 0 ? ARENA_CHUNK_BYTES_MIN
                                                 : arena->chunk_size * 2;
      if (chunk_size > ARENA_CHUNK_BYTES_MAX)
        chunk_size = ARENA_CHUNK_BYTES_MAX;
      if (chunk_size < aligned_size)
        chunk_size = aligned_size;
      arena_chunk_t *chunk = mem_zalloc (sizeof *chunk + chunk_size);
      chunk->next = arena->chunks;
      arena->chunks = chunk;
      arena->chunk_used = 0;
      arena->chunk_size = chunk_size;
    }
  void *ptr = arena->chunks->bytes + arena->chunk_used;
  arena->chunk_used += aligned_size;
  return ptr;
}

str_t
arena_str (arena_t *arena, str_t s)
{
  char *copy = arena_alloc (arena, s.len + 1);

  if (s.len > 0)
    memcpy (copy, s.ptr, s.len);
  return str_make (copy, s.len);
}

void
arena_free (arena_t *arena)
{
  arena_chunk_t *chunk = arena->chunks;

  while (chunk != NULL)
    {
      arena_chunk_t *next = chunk->next;
      free (chunk);
      chunk = next;
    }
  *arena = (arena_t){ 0 };
}
