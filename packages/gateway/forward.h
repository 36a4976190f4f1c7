/* A caller's request as an upstream gets it: what goes on as it came, what
   stays here, and what is set by us whatever the caller sent.  */

#ifndef GATEWAY_FORWARD_H
#define GATEWAY_FORWARD_H

#include "gateway/names.h"
#include "wire/httpd.h"

enum
{
  FORWARD_URGENCY_MAX = 9
};

typedef struct
{
  const header_names_t *names;
  str_t upstream;   /* Id of the instance that alone may run it.  */
  str_t team;       /* STR_NULL: none.  */
  str_t model;      /* STR_NULL: none.  */
  uint64_t left_ms; /* Until its answer is due.  */
  uint32_t urgency; /* 0 is first, FORWARD_URGENCY_MAX last.  */
  bool resumes;     /* A stream goes on after event LAST_ID.  */
  uint64_t last_id;
} forward_t;

/* Append the HTTP/1.1 form of REQ to OUT.  */
void forward_write (const forward_t *forward, const httpd_req_t *req,
                    buf_t *out);
/* Tell whether header NAME is of one connection only, or set anew on the next
   one.  */
bool forward_is_hop (str_t name);

#endif
