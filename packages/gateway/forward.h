/* Writes the head of the request to an upstream: copies the caller's request
   line and headers, drops hop-by-hop and reserved headers, and adds the
   headers that only the gateway may set.  */

#ifndef GATEWAY_FORWARD_H
#define GATEWAY_FORWARD_H

#include "gateway/header_names.h"
#include "wire/httpd.h"

enum
{
  FORWARD_URGENCY_MAX = 9
};

typedef struct
{
  const header_names_t *names;
  str_t upstream_id; /* Only instance that is allowed to run the request.  */
  str_t team;        /* STR_NULL: no team header is sent.  */
  str_t model;       /* STR_NULL: no model header is sent.  */
  uint64_t remaining_ms; /* Time until the deadline of the response.  */
  uint32_t urgency;      /* Scheduling order at the engine, from 0 (first) to
                            FORWARD_URGENCY_MAX (last).  */
  bool is_resume;        /* The request resumes an event stream after
                            LAST_EVENT_ID.  */
  uint64_t last_event_id;
} forward_params_t;

/* Append the head of REQ to OUT, as that of an HTTP/1.1 request with the same
   body.  */
void forward_write_head (const forward_params_t *params,
                         const httpd_req_t *req, buf_t *out);
/* Return whether NAME is a hop-by-hop header, or one that each hop generates
   anew, such as Date and Content-Length.  */
bool forward_is_hop_by_hop (str_t name);

#endif
