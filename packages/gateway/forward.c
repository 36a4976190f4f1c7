#include "gateway/forward.h"

enum
{
  HEAD_BYTES_INITIAL = 1024 /* Initial buffer size; most request heads are
                               smaller.  */
};

bool
forward_is_hop_by_hop (str_t name)
{
  static const char *const names[] = { "connection",
                                       "keep-alive",
                                       "proxy-connection",
                                       "proxy-authenticate",
                                       "proxy-authorization",
                                       "te",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade",
                                       "content-length",
                                       "expect",
                                       "date",
                                       "server" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (str_eq_nocase (name, str_from (names[i])))
      return true;
  return false;
}

static void
append_header (buf_t *out, str_t name, str_t value)
{
  buf_append_str (out, name);
  buf_append (out, ": ", 2);
  buf_append_str (out, value);
  buf_append (out, "\r\n", 2);
}

static void
append_number_header (buf_t *out, str_t name, uint64_t value)
{
  buf_append_str (out, name);
  buf_printf (out, ": %llu\r\n", (unsigned long long)value);
}

/* Return whether NAME is a header that the gateway sets itself or does not
   forward.  */
static bool
is_reserved_header (const header_names_t *names, str_t name)
{
  const str_t reserved[]
      = { names->deadline_ms,     names->model,          names->team,
          names->expect_instance, names->expect_version, names->urgency,
          names->reservation,     names->pin_ms,         names->kv_backup,
          names->kv_source,       names->kv_fetch,       names->not_run,
          STR ("authorization"),  STR ("host") };

  for (size_t i = 0; i < sizeof reserved / sizeof reserved[0]; i++)
    if (str_eq_nocase (name, reserved[i]))
      return true;
  return false;
}

/* Return whether the comma-separated list VALUE of a Connection header
   contains NAME.  */
static bool
list_contains (str_t value, str_t name)
{
  while (value.ptr != NULL)
    if (str_eq_nocase (str_trim (str_cut (value, ',', &value)), name))
      return true;
  return false;
}

/* Append the caller's request line and the headers that are forwarded.  */
static void
write_caller_head (const forward_params_t *params, const httpd_req_t *req,
                   buf_t *out)
{
  str_t connection = httpd_header (req, STR ("connection"));
  str_t query = httpd_query (req);
  httpc_header_t header;

  buf_append_str (out, httpd_method (req));
  buf_append_char (out, ' ');
  buf_append_str (out, httpd_path (req));
  if (query.ptr != NULL)
    {
      buf_append_char (out, '?');
      buf_append_str (out, query);
    }
  buf_append (out, " HTTP/1.1\r\n", 11);
  append_header (out, STR ("Host"), httpd_authority (req));
  for (size_t i = 0; httpd_header_at (req, i, &header); i++)
    {
      if (forward_is_hop_by_hop (header.name)
          || is_reserved_header (params->names, header.name)
          || list_contains (connection, header.name)
          || (params->is_resume
              && str_eq_nocase (header.name, STR ("last-event-id"))))
        continue;
      append_header (out, header.name, header.value);
    }
}

void
forward_write_head (const forward_params_t *params, const httpd_req_t *req,
                    buf_t *out)
{
  const header_names_t *names = params->names;
  str_t body = httpd_body (req);

  buf_reserve (out, HEAD_BYTES_INITIAL);
  write_caller_head (params, req, out);
  if (params->is_resume)
    append_number_header (out, STR ("Last-Event-Id"), params->last_event_id);
  append_number_header (out, names->deadline_ms, params->remaining_ms);
  append_header (out, names->expect_instance, params->upstream_id);
  append_number_header (out, names->urgency, params->urgency);
  if (params->team.ptr != NULL)
    append_header (out, names->team, params->team);
  if (params->model.ptr != NULL)
    append_header (out, names->model, params->model);
  if (body.len > 0 || !str_eq (httpd_method (req), STR ("GET")))
    append_number_header (out, STR ("Content-Length"), body.len);
  buf_append (out, "Connection: close\r\n\r\n", 21);
}
