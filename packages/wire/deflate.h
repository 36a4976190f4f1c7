/* Texts made smaller for the way between entries.  */

#ifndef WIRE_DEFLATE_H
#define WIRE_DEFLATE_H

#include "base/code.h"
#include "base/str.h"

enum
{
  /* Shorter texts gain less than their packet costs.  */
  DEFLATE_MIN_BYTES = 4096
};

/* Append PLAIN, made smaller, to OUT.  Return false with nothing appended when
   it is not smaller so.  */
bool deflate_text (str_t plain, buf_t *out);
/* Append to OUT what deflate_text made SMALL of.  PLAIN_LEN is its length by
   the sender's word.  Return VH_E_PROTOCOL with nothing appended when SMALL is
   none of that length.  */
vh_code_t inflate_text (str_t small, size_t plain_len, buf_t *out);

#endif
