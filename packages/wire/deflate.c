#include "wire/deflate.h"

#include "base/mem.h"

#include <stdlib.h>
#include <zlib.h>

bool
deflate_text (str_t plain, buf_t *out)
{
  uLongf len = compressBound (plain.len);
  Bytef *small = mem_alloc (len);
  bool smaller = compress2 (small, &len, (const Bytef *)plain.ptr, plain.len,
                            Z_BEST_SPEED)
                     == Z_OK
                 && len < plain.len;

  if (smaller)
    buf_append (out, small, len);
  free (small);
  return smaller;
}

vh_code_t
inflate_text (str_t small, size_t plain_len, buf_t *out)
{
  uLongf len = plain_len;
  Bytef *plain = mem_alloc (plain_len + 1);
  vh_code_t code = VH_E_PROTOCOL;

  if (uncompress (plain, &len, (const Bytef *)small.ptr, small.len) == Z_OK
      && len == plain_len)
    {
      buf_append (out, plain, len);
      code = VH_OK;
    }
  free (plain);
  return code;
}
