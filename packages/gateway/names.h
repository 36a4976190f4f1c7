/* The names of the headers that callers, upstreams and this product use with
   each other.  They differ between installations, so the code asks for them
   here; what each one holds is the same everywhere.  */

#ifndef GATEWAY_NAMES_H
#define GATEWAY_NAMES_H

#include "base/str.h"

/* X (field, default name).  */
#define GATEWAY_HEADERS(X)                                                    \
  /* Unique to one submission of a caller; upstreams echo it.  */             \
  X (attempt_id, "vanillahook-attempt-id")                                    \
  /* Milliseconds that the sender will still wait.  */                        \
  X (deadline_ms, "vanillahook-deadline-ms")                                  \
  /* Parts of the prompt in order, ID:TOKENS,...  */                          \
  X (prompt_parts, "vanillahook-prompt-parts")                                \
  /* Prompt tokens and most tokens of the answer, N,N.  */                    \
  X (token_counts, "vanillahook-token-counts")                                \
  /* The model asked for; `*' leaves it to us.  */                            \
  X (model, "vanillahook-model")                                              \
  /* Mac of an upstream over its answer.  */                                  \
  X (answer_mac, "vanillahook-answer-mac")                                    \
  /* Team that a request runs for.  */                                        \
  X (team, "vanillahook-team")                                                \
  /* Instance that alone may run the request.  */                             \
  X (expect_instance, "vanillahook-expect-instance")                          \
  X (expect_version, "vanillahook-expect-version")                            \
  /* Running, waiting and slots of an upstream, N,N,N.  */                    \
  X (load, "vanillahook-load")                                                \
  /* Present: the upstream did not run the request and never will.  */        \
  X (not_run, "vanillahook-not-run")                                          \
  /* Milliseconds for which an upstream stays cold.  */                       \
  X (cold_ms, "vanillahook-cold-ms")                                          \
  X (urgency, "vanillahook-urgency")                                          \
  X (session, "vanillahook-session-id")                                       \
  /* A model's own opinion of its answer, 0 to 100.  */                       \
  X (confidence, "vanillahook-confidence")                                    \
  /* Orders to an engine that only this product may give.  */                 \
  X (reservation, "vanillahook-reservation")                                  \
  X (pin_ms, "vanillahook-pin-ms")                                            \
  X (kv_backup, "vanillahook-kv-backup")                                      \
  X (kv_source, "vanillahook-kv-source")                                      \
  X (kv_fetch, "vanillahook-kv-fetch")

typedef struct
{
#define X(field, name) str_t field;
  GATEWAY_HEADERS (X)
#undef X
} header_names_t;

/* The product's own names.  */
extern const header_names_t header_names_default;

#endif
