/* Attributes of a request: the route, service, team, deadline, priority and
   size.  They are resolved once on arrival, from the request headers and the
   configuration in force at that time.  */

#ifndef GATEWAY_REQUEST_ATTRSINT_H
#define GATEWAY_REQUEST_ATTRSINT_H

#include "gateway/gatewayint.h"

typedef struct
{
  catalog_t *catalog; /* Counted reference, held until the request ends.  */
  const route_t *route;
  const service_t *service;
  const team_t *team; /* NULL if the route needs no API key.  */
  uint64_t arrived_ms;
  uint64_t deadline_ms;   /* Latest time of the response.  */
  uint64_t prefix_hash;   /* Hash of the shared prompt parts; 0: none.  */
  uint64_t session_hash;  /* Hash of the session id, or of the attempt id if
                             the request has no session.  */
  uint32_t prompt_tokens; /* 0: unknown.  */
  uint32_t output_tokens_max; /* Most tokens of the answer; 0: unknown.  */
  uint32_t priority;  /* Of the team or else the route; 0 is the highest.  */
  bool is_repeatable; /* The request may be run more than once.  */
  bool is_resume;     /* The caller has the events up to LAST_EVENT_ID.  */
  uint64_t last_event_id;
} request_attrs_t;

/* Fill ATTRS, whose arrived_ms is already set, from REQ with attempt id
   ATTEMPT_ID.  Return VH_OK, or the reason for rejecting the request; the
   attributes resolved before the error are filled in that case too.  */
vh_code_t request_attrs_resolve (request_attrs_t *attrs,
                                 const gateway_state_t *state,
                                 const httpd_req_t *req, str_t attempt_id);
/* Release the reference to the configuration.  */
void request_attrs_free (request_attrs_t *attrs);

#endif
