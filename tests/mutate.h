/* Random mutation of a text, for fuzz tests with a fixed seed.  */

#ifndef TESTS_MUTATE_H
#define TESTS_MUTATE_H

#include "base/rng.h"
#include "base/str.h"

/* Set OUT to a copy of CORPUS with one to four random mutations: a byte is
   replaced, a run of bytes is removed or copied to the end or the front, or
   the end is cut off.  */
static inline void
mutate (rng_t *rng, str_t corpus, buf_t *out)
{
  uint64_t edits_left = 1 + rng_below (rng, 4);

  out->len = 0;
  buf_append_str (out, corpus);
  while (edits_left-- > 0 && out->len > 0)
    {
      size_t at = (size_t)rng_below (rng, out->len);
      size_t len = 1 + (size_t)rng_below (rng, 40);
      if (len > out->len - at)
        len = out->len - at;
      switch (rng_below (rng, 6))
        {
        case 0:
          out->ptr[at] = (char)rng_u64 (rng);
          break;
        case 1:
          out->ptr[at] = "\"[]{}=,;@*\n\\:-0"[rng_below (rng, 15)];
          break;
        case 2: /* Remove a run.  */
          memmove (out->ptr + at, out->ptr + at + len, out->len - at - len);
          out->len -= len;
          break;
        case 3: /* Append a copy of a run.  */
          buf_reserve (out, len);
          buf_append (out, out->ptr + at, len);
          break;
        case 4:
          out->len = at;
          break;
        default: /* Copy a run over the front.  */
          memmove (out->ptr, out->ptr + at, len);
          break;
        }
    }
}

#endif
