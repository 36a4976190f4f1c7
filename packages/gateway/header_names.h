/* Names of the HTTP headers exchanged between callers, the gateway and
   upstreams.  The names differ between installations; the meaning of each
   header does not.  */

#ifndef GATEWAY_HEADER_NAMES_H
#define GATEWAY_HEADER_NAMES_H

#include "base/str.h"

/* X (field, default name).  */
#define GATEWAY_HEADERS(X)                                                    \
  /* Unique id of one submission by a caller; upstreams echo it.  */          \
  X (attempt_id, "vanillahook-attempt-id")                                    \
  /* Milliseconds until the sender stops waiting for the response.  */        \
  X (deadline_ms, "vanillahook-deadline-ms")                                  \
  /* Parts of the prompt in order, as ID:TOKENS,...  */                       \
  X (prompt_parts, "vanillahook-prompt-parts")                                \
  /* Prompt tokens and maximum output tokens, as N,N.  */                     \
  X (token_counts, "vanillahook-token-counts")                                \
  /* Estimate by the caller of the number of output tokens.  */               \
  X (length_hint, "vanillahook-length-hint")                                  \
  /* Requested model; `*' lets the gateway choose.  */                        \
  X (model, "vanillahook-model")                                              \
  /* Message authentication code of an upstream over its response.  */        \
  X (answer_mac, "vanillahook-answer-mac")                                    \
  /* Team on whose behalf a request runs.  */                                 \
  X (team, "vanillahook-team")                                                \
  /* Only instance that is allowed to run the request.  */                    \
  X (expect_instance, "vanillahook-expect-instance")                          \
  X (expect_version, "vanillahook-expect-version")                            \
  /* Running requests, waiting requests and slots of an upstream, and         \
     optionally the time that work takes there now in percent of the usual    \
     time: N,N,N or N,N,N,N.  */                                              \
  X (load, "vanillahook-load")                                                \
  /* Present if the upstream did not run the request and never will.  */      \
  X (not_run, "vanillahook-not-run")                                          \
  /* Milliseconds until the upstream has finished warming up.  */             \
  X (cold_ms, "vanillahook-cold-ms")                                          \
  /* Requests a second that the upstream accepts from all gateways together,  \
     a decimal number.  */                                                    \
  X (rate_limit, "vanillahook-rate-limit")                                    \
  /* 1: the upstream will stop and wants no further requests.  */             \
  X (leaving, "vanillahook-leaving")                                          \
  /* With status 503: seconds in which the upstream wants no further requests \
     from this gateway.  */                                                   \
  X (retry_after, "retry-after")                                              \
  X (urgency, "vanillahook-urgency")                                          \
  X (session, "vanillahook-session-id")                                       \
  /* Confidence of a model in its own answer, 0 to 100.  */                   \
  X (confidence, "vanillahook-confidence")                                    \
  /* Engine directives that only the gateway may set.  */                     \
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

/* Header names used unless an installation defines its own.  */
extern const header_names_t header_names_default;

#endif
