#include "conf/settings.h"

#include "conf/reader.h"

#include <stdio.h>

vh_code_t
conf_read_file (const char *path, buf_t *out)
{
  char bytes[16384];
  size_t len;
  vh_code_t code = VH_OK;
  FILE *file = fopen (path, "rbe");

  if (file == NULL)
    return VH_E_IO;
  /* Read at least one byte more than the maximum size, so that the parser
     detects a file that is too large.  */
  while (out->len <= CONF_TEXT_BYTES_MAX
         && (len = fread (bytes, 1, sizeof bytes, file)) > 0)
    buf_append (out, bytes, len);
  if (ferror (file))
    code = VH_E_IO;
  fclose (file);
  return code;
}
