#include "base/code.h"

static const code_info_t code_table[] = {
#define X(symbol, number, status, type, sentence)                             \
  { symbol, status, #symbol, type, sentence },
  VH_CODES (X)
#undef X
};

enum
{
  CODE_COUNT = sizeof code_table / sizeof code_table[0]
};

const code_info_t *
code_info_at (size_t index)
{
  return index < CODE_COUNT ? &code_table[index] : NULL;
}

const code_info_t *
code_info (vh_code_t code)
{
  for (size_t i = 0; i < CODE_COUNT; i++)
    if (code_table[i].code == code)
      return &code_table[i];
  return &code_table[CODE_COUNT - 1];
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
