/* Compression and decompression of texts that entries send to each other.  */

#ifndef WIRE_DEFLATE_H
#define WIRE_DEFLATE_H

#include "base/code.h"
#include "base/str.h"

enum
{
  /* Smallest text worth compressing, in bytes.  Compression saves less on a
     shorter text than sending the packet costs.  */
  DEFLATE_MIN_BYTES = 4096
};

/* Append PLAIN, compressed with zlib, to OUT.  Return false and append nothing
   when compression does not make PLAIN smaller.  */
bool deflate_text (str_t plain, buf_t *out);
/* Append to OUT the text that deflate_text compressed into COMPRESSED.
   PLAIN_LEN is the length of the text as the sender states it.  Return
   VH_E_PROTOCOL and append nothing when COMPRESSED is damaged or does not
   decompress to PLAIN_LEN bytes.  */
vh_code_t inflate_text (str_t compressed, size_t plain_len, buf_t *out);

#endif
