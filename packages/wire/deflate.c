#include "wire/deflate.h"

#include "base/mem.h"

#include <stdlib.h>
#include <zlib.h>

bool
deflate_text (str_t plain, buf_t *out)
{
  uLongf len = compressBound (plain.len);
  Bytef *compressed = mem_alloc (len);
  bool is_smaller = compress2 (compressed, &len, (const Bytef *)plain.ptr,
                               plain.len, Z_BEST_SPEED)
                        == Z_OK
                    && len < plain.len;

  if (is_smaller)
    buf_append (out, compressed, len);
  free (compressed);
  return is_smaller;
}

vh_code_t
inflate_text (str_t compressed, size_t plain_len, buf_t *out)
{
  uLongf len = plain_len;
  Bytef *plain = mem_alloc (plain_len + 1);
  vh_code_t code = VH_E_PROTOCOL;

  if (uncompress (plain, &len, (const Bytef *)compressed.ptr, compressed.len)
          == Z_OK
      && len == plain_len)
    {
      buf_append (out, plain, len);
      code = VH_OK;
    }
  free (plain);
  return code;
}
