/* Attributes of a request: the route, service, team, deadline, priority and
   size.  They are resolved once on arrival, from the request headers and the
   configuration in force at that time.  */

#ifndef GATEWAY_REQUEST_ATTRSINT_H
#define GATEWAY_REQUEST_ATTRSINT_H

#include "gateway/gatewayint.h"
#include "policy/poison.h"

enum
{
  /* Prompt parts of a request that are looked at, from the first.  */
  REQUEST_PARTS_MAX = 8,
  /* Largest length hint that counts: far above any context length.  */
  LENGTH_HINT_MAX = 1 << 24
};

typedef struct
{
  catalog_t *catalog; /* Counted reference, held until the request ends.  */
  const route_t *route;
  const service_t *service;
  const team_t *team;       /* NULL if the route needs no API key.  */
  uint64_t arrived_ms;      /* Monotonic time of arrival, in ms.  */
  uint64_t deadline_at_ms;  /* Monotonic time by which the response must be
                               complete, in ms.  */
  uint64_t prefix_hash;     /* Hash of the prompt parts that other requests may
                               share; 0: none.  */
  uint64_t session_hash;    /* Hash of the session id, or of the attempt id if
                               the request has no session.  */
  poison_key_t content_key; /* Key of what a caller repeats when it sends the
                               request again: service, team, method, path,
                               query and body.  */
  /* Keys of the prompt parts that other requests may have as well: all but the
     last one.  */
  poison_key_t part_keys[REQUEST_PARTS_MAX];
  size_t part_count;
  uint32_t prompt_tokens; /* Number of tokens of the prompt; 0: unknown.  */
  uint32_t output_tokens_max;  /* Maximum number of tokens of the response; 0:
                                  unknown.  */
  uint32_t output_tokens_hint; /* Estimate by the caller of the number of
                                  tokens of the response, often far off; 0:
                                  none.  */
  uint32_t priority;  /* Priority of the team if it has one, else of the route;
                         0 is the highest.  */
  bool is_repeatable; /* The request may be run more than once.  */
  bool is_resume;     /* The request resumes a stream of which the caller
                         already has the events up to LAST_EVENT_ID.  */
  uint64_t last_event_id;
} request_attrs_t;

/* Fill ATTRS, whose arrived_ms is already set, from REQ with attempt id
   ATTEMPT_ID.  Return VH_OK, or the reason for rejecting the request; the
   attributes resolved before the error are filled in that case too.  */
vh_code_t request_attrs_resolve (request_attrs_t *attrs,
                                 const gateway_state_t *state,
                                 const httpd_req_t *req, str_t attempt_id);
/* Fill what the head of REQ determines without its body: route, team and what
   the headers say.  Return as request_attrs_resolve.  */
vh_code_t request_attrs_resolve_head (request_attrs_t *attrs,
                                      const gateway_state_t *state,
                                      const httpd_req_t *req,
                                      str_t attempt_id);
/* Return whether one of the COUNT keys in PARTS is that of a part of the
   prompt.  */
bool request_attrs_have_part (const request_attrs_t *attrs,
                              const poison_key_t *parts, size_t count);
/* Release the reference to the configuration.  */
void request_attrs_free (request_attrs_t *attrs);

#endif
