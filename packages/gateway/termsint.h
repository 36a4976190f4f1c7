/* What a request asks for and may have: read once on its arrival, from its
   head and the configuration in force then.  */

#ifndef GATEWAY_TERMSINT_H
#define GATEWAY_TERMSINT_H

#include "gateway/gatewayint.h"

typedef struct
{
  catalog_t *catalog; /* The request keeps it to its end.  */
  const route_t *route;
  const service_t *service;
  const team_t *team; /* NULL: the route needs no key.  */
  uint64_t arrived_ms;
  uint64_t due_ms;    /* The last moment for an answer.  */
  uint64_t key;       /* Hash of the shared prompt parts; 0: none.  */
  uint64_t session;   /* Hash of the session, or of the attempt's id.  */
  uint32_t prompt;    /* Tokens.  */
  uint32_t generated; /* Tokens of the answer at most; 0: not told.  */
  uint32_t rank;      /* Of its team or route; 0 is the highest.  */
  bool may_repeat;
  bool resumes; /* The caller has the events of a stream up to LAST_ID.  */
  uint64_t last_id;
} terms_t;

/* Fill TERMS, whose arrived_ms is set, from REQ with attempt id ATTEMPT.
   Return VH_OK or why the request is refused; what was found out until then
   is filled either way.  */
vh_code_t terms_read (terms_t *terms, const gateway_state_t *belief,
                      const httpd_req_t *req, str_t attempt);
/* Let go of the configuration.  */
void terms_free (terms_t *terms);

#endif
