#include "gateway/header_names.h"

const header_names_t header_names_default = {
#define X(field, name) .field = { name, sizeof (name) - 1 },
  GATEWAY_HEADERS (X)
#undef X
};
