#include "base/code.h"

static const code_info_t table[] = {
#define X(symbol, number, status, type, sentence)                             \
  { symbol, status, #symbol, type, sentence },
  VH_CODES (X)
#undef X
};

enum
{
  TABLE_SIZE = sizeof table / sizeof table[0]
};

const code_info_t *
code_info_at (size_t index)
{
  return index < TABLE_SIZE ? &table[index] : NULL;
}

const code_info_t *
code_info (vh_code_t code)
{
  for (size_t i = 0; i < TABLE_SIZE; i++)
    if (table[i].code == code)
      return &table[i];
  return &table[TABLE_SIZE - 1];
}

void
code_write_error (vh_code_t code, const char *outcome, buf_t *out)
{
  const code_info_t *info = code_info (code);

  buf_printf (out,
              "{\"error\":{\"code\":%d,\"type\":\"%s\",\"message\":\"%s\","
              "\"outcome\":\"%s\"}}",
              (int)info->code, info->type, info->sentence, outcome);
}
