/* HTTP server of the operators' port: health, metrics, configuration, status
   and reports.  docs/CONTRACTS.md describes its calls.  */

#include "base/log.h"
#include "daemon/processint.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdlib.h>

enum
{
  BODY_BYTES_MAX = 8 << 20,
  CONNECTIONS_MAX = 64,
  /* Two bodies of the largest size.  Not part of the process's budget, so that
     many requests of callers do not block the operators' port.  */
  MEMORY_MAX = 2 * BODY_BYTES_MAX,
  SHA256_BYTES = 32
};

/* Return whether REQ may use the calls under /admin/: it carries the
   operators' key or, if no key is configured, comes from loopback.  */
static bool
is_authorized (const process_t *process, const httpd_req_t *req)
{
  uint8_t expected[SHA256_BYTES];
  uint8_t actual[SHA256_BYTES];
  str_t hex = process->settings->operator_key_sha256;
  str_t header = httpd_header (req, STR ("authorization"));

  if (hex.len == 0)
    return httpd_peer_is_loopback (req);
  if (!str_starts_with (header, STR ("Bearer "))
      || !str_unhex (hex, expected, sizeof expected))
    return false;
  str_t key = str_trim (str_make (header.ptr + 7, header.len - 7));
  return EVP_Digest (key.ptr, key.len, actual, NULL, EVP_sha256 (), NULL) == 1
         && CRYPTO_memcmp (expected, actual, sizeof actual) == 0;
}

/* Send an error reply for CODE.  EXTRA is "" or further JSON members of the
   error object, beginning with a comma.  */
static void
reply_error (httpd_req_t *req, vh_code_t code, const char *extra)
{
  const code_info_t *info = code_info (code);
  buf_t body = BUF_NULL;

  buf_printf (
      &body,
      "{\"error\":{\"code\":%d,\"type\":\"%s\",\"message\":\"%s\"%s}}\n",
      (int)info->code, info->type, info->sentence, extra);
  httpd_reply_json (req, info->http_status, buf_str (&body));
  buf_free (&body);
}

static void
reply_text (httpd_req_t *req, int status, str_t text)
{
  static const httpc_header_t plain
      = { { "content-type", 12 }, { "text/plain; version=0.0.4", 25 } };

  httpd_reply (req, status, &plain, 1, text);
}

static void
serve_health (process_t *process, httpd_req_t *req)
{
  if (drain_is_healthy (process->drain))
    reply_text (req, 200, STR ("ok\n"));
  else
    reply_text (req, 503, STR ("draining\n"));
}

static void
serve_ready (process_t *process, httpd_req_t *req)
{
  if (process_is_ready (process))
    reply_text (req, 200, STR ("ready\n"));
  else
    reply_text (req, 503, STR ("not ready\n"));
}

static void
add_rpc_stats (rpc_stats_t *total, rpc_node_t *node)
{
  const rpc_stats_t *stats = rpc_node_stats (node);

#define X(name, help) total->name += stats->name;
  RPC_STATS (X)
#undef X
}

/* Copy the counters of the RPC nodes of PROCESS to its metrics.  */
static void
update_rpc_metrics (process_t *process)
{
  rpc_stats_t total = { 0 };

  if (process->entry != NULL)
    add_rpc_stats (&total, entry_rpc_node (process->entry));
  for (size_t i = 0; i < process->sidecar_count; i++)
    add_rpc_stats (&total, sidecar_node (process->sidecars[i]));
#define X(name, help)                                                         \
  metrics_counter (process->metrics, "vanillahook_rpc_" #name "_total", "",   \
                   help)                                                      \
      ->value                                                                 \
      = total.name;
  RPC_STATS (X)
#undef X
}

static void
serve_metrics (process_t *process, httpd_req_t *req)
{
  buf_t text = BUF_NULL;

  update_rpc_metrics (process);
  if (process->entry != NULL)
    entry_update_metrics (process->entry);
  metrics_write (process->metrics, &text);
  reply_text (req, 200, buf_str (&text));
  buf_free (&text);
}

/* Return the time since the store last confirmed the revision in force, in ms;
   -1 if it never did.  */
static long long
confirmed_ms_ago (const process_t *process)
{
  uint64_t age_ms = confstore_confirmed_age_ms (process->conf);

  return age_ms != UINT64_MAX ? (long long)age_ms : -1;
}

static void
serve_configuration (process_t *process, httpd_req_t *req)
{
  buf_t body = BUF_NULL;

  buf_printf (&body,
              "{\"revision\":%llu,\"confirmed_ms_ago\":%lld,\"text\":\"",
              (unsigned long long)confstore_revision (process->conf),
              confirmed_ms_ago (process));
  buf_append_json_escaped (&body, confstore_text (process->conf));
  buf_printf (&body, "\"}\n");
  httpd_reply_json (req, 200, buf_str (&body));
  buf_free (&body);
}

static void
reply_validation_errors (httpd_req_t *req, const conf_errors_t *errors)
{
  buf_t extra = BUF_NULL;

  buf_printf (&extra, ",\"errors\":[");
  for (size_t i = 0; i < errors->count; i++)
    {
      const conf_error_t *error = &errors->items[i];
      buf_printf (&extra, "%s{\"line\":%d,\"message\":\"", i > 0 ? "," : "",
                  error->line);
      buf_append_json_escaped (&extra, str_from (error->message));
      buf_printf (&extra, "\",\"hint\":\"");
      buf_append_json_escaped (&extra, str_from (error->hint));
      buf_printf (&extra, "\"}");
    }
  buf_printf (&extra, "]");
  buf_append_char (&extra, '\0');
  reply_error (req, VH_E_BAD_CONFIG, extra.ptr);
  buf_free (&extra);
}

/* A call of an operator that waits for a reply of the store.  */
typedef struct
{
  httpd_req_t *req; /* NULL after the operator has disconnected.  */
} store_call_t;

static void
on_operator_disconnected (void *arg)
{
  ((store_call_t *)arg)->req = NULL;
}

static store_call_t *
store_call_start (httpd_req_t *req)
{
  store_call_t *call = mem_zalloc (sizeof *call);

  call->req = req;
  httpd_set_callbacks (req, NULL, on_operator_disconnected, call);
  return call;
}

/* Release CALL.  Return the request, or NULL if the operator has
   disconnected.  */
static httpd_req_t *
store_call_finish (store_call_t *call)
{
  httpd_req_t *req = call->req;

  free (call);
  if (req != NULL)
    httpd_set_callbacks (req, NULL, NULL, NULL);
  return req;
}

static void
reply_stale_revision (httpd_req_t *req, uint64_t revision)
{
  buf_t extra = BUF_NULL;

  buf_printf (&extra, ",\"revision\":%llu", (unsigned long long)revision);
  buf_append_char (&extra, '\0');
  reply_error (req, VH_E_STALE_REVISION, extra.ptr);
  buf_free (&extra);
}

static void
reply_revision (httpd_req_t *req, uint64_t revision)
{
  buf_t body = BUF_NULL;

  buf_printf (&body, "{\"revision\":%llu}\n", (unsigned long long)revision);
  httpd_reply_json (req, 200, buf_str (&body));
  buf_free (&body);
}

static void
on_applied (void *arg, vh_code_t code, uint64_t revision)
{
  httpd_req_t *req = store_call_finish (arg);

  if (req == NULL)
    return;
  if (code == VH_OK)
    reply_revision (req, revision);
  else if (code == VH_E_STALE_REVISION)
    reply_stale_revision (req, revision);
  else
    reply_error (req, code == VH_E_CANCELLED ? VH_E_DRAINING : code, "");
}

static void
serve_apply (process_t *process, httpd_req_t *req)
{
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;
  str_t text = httpd_body (req);
  uint64_t current_revision = confstore_revision (process->conf);
  uint64_t expected = CONFSTORE_ANY;
  str_t parameter = httpd_query_param (req, STR ("if-revision"));
  str_t who = httpd_query_param (req, STR ("who"));

  if (parameter.ptr != NULL && !str_to_u64 (parameter, &expected))
    reply_error (req, VH_E_BAD_REQUEST, "");
  else if (snapshot_parse (text, current_revision + 1, &snapshot, &errors)
           != VH_OK)
    reply_validation_errors (req, &errors);
  else if (str_eq (httpd_query_param (req, STR ("dry-run")), STR ("1")))
    {
      if (expected != CONFSTORE_ANY && expected != current_revision)
        reply_stale_revision (req, current_revision);
      else
        reply_revision (req, current_revision);
    }
  else
    confstore_apply (process->conf, text, who.len > 0 ? who : STR ("unnamed"),
                     expected, on_applied, store_call_start (req));
  snapshot_unref (snapshot);
  conf_errors_free (&errors);
}

static void
on_history (void *arg, vh_code_t code,
            const confstore_history_entry_t *entries, size_t count)
{
  httpd_req_t *req = store_call_finish (arg);
  buf_t body = BUF_NULL;

  if (req == NULL)
    return;
  if (code != VH_OK)
    {
      reply_error (req, code == VH_E_CANCELLED ? VH_E_DRAINING : code, "");
      return;
    }
  buf_append_char (&body, '[');
  for (size_t i = 0; i < count; i++)
    {
      buf_printf (&body, "%s{\"revision\":%llu,\"who\":\"", i > 0 ? "," : "",
                  (unsigned long long)entries[i].revision);
      buf_append_json_escaped (&body, entries[i].who);
      buf_printf (&body, "\",\"when_ms\":%llu,\"delta\":\"",
                  (unsigned long long)entries[i].when_ms);
      buf_append_json_escaped (&body, entries[i].delta);
      buf_printf (&body, "\"}");
    }
  buf_append_str (&body, STR ("]\n"));
  httpd_reply_json (req, 200, buf_str (&body));
  buf_free (&body);
}

static void
serve_history (process_t *process, httpd_req_t *req)
{
  enum
  {
    HISTORY_LIMIT_DEFAULT = 20,
    HISTORY_LIMIT_MAX = 1000
  };
  uint64_t limit = HISTORY_LIMIT_DEFAULT;
  str_t parameter = httpd_query_param (req, STR ("limit"));

  if (parameter.ptr != NULL
      && (!str_to_u64 (parameter, &limit) || limit == 0
          || limit > HISTORY_LIMIT_MAX))
    {
      reply_error (req, VH_E_BAD_REQUEST, "");
      return;
    }
  confstore_history (process->conf, (size_t)limit, on_history,
                     store_call_start (req));
}

static void
serve_status (process_t *process, httpd_req_t *req)
{
  static const char *const roles[] = { "entry", "sidecar", "standalone" };
  const settings_t *settings = process->settings;
  buf_t body = BUF_NULL;

  buf_printf (
      &body,
      "{\"process\":{\"name\":\"%.*s\",\"role\":\"%s\",\"zone\":"
      "\"%.*s\",\"uptime_ms\":%llu},\"revision\":%llu,"
      "\"confirmed_ms_ago\":%llu",
      STR_ARG (settings->name), roles[settings->role],
      STR_ARG (settings->zone),
      (unsigned long long)(clock_ms (process->clock) - process->started_ms),
      (unsigned long long)confstore_revision (process->conf),
      confirmed_ms_ago (process));
  buf_append_char (&body, ',');
  if (process->entry != NULL)
    entry_write_status (process->entry, &body);
  else
    buf_printf (&body, "\"zones\":[],\"peers\":[],\"rollouts\":[],"
                       "\"decisions\":[]");
  buf_printf (&body, ",\"sidecars\":[");
  for (size_t i = 0; i < process->sidecar_count; i++)
    {
      if (i > 0)
        buf_append_char (&body, ',');
      sidecar_status (process->sidecars[i], &body);
    }
  buf_printf (&body, "]}\n");
  httpd_reply_json (req, 200, buf_str (&body));
  buf_free (&body);
}

/* A bill report that waits for the store.  */
typedef struct
{
  store_call_t *call;
  char date[16]; /* Day of the report, as YYYY-MM-DD.  */
} bill_report_t;

static void
on_bill_report (void *arg, vh_code_t code, const ledger_report_line_t *lines,
                size_t count)
{
  bill_report_t *report = arg;
  httpd_req_t *req = store_call_finish (report->call);
  buf_t body = BUF_NULL;

  if (req != NULL && code != VH_OK)
    reply_error (req, code == VH_E_CANCELLED ? VH_E_DRAINING : code, "");
  else if (req != NULL)
    {
      buf_append_char (&body, '[');
      for (size_t i = 0; i < count; i++)
        buf_printf (&body,
                    "%s{\"team\":\"%.*s\",\"model\":\"%.*s\","
                    "\"version\":\"%.*s\",\"day\":\"%s\","
                    "\"requests\":%llu,\"tokens\":%llu,\"cost\":%.6f}",
                    i > 0 ? "," : "", STR_ARG (lines[i].team),
                    STR_ARG (lines[i].model), STR_ARG (lines[i].version),
                    report->date, (unsigned long long)lines[i].requests,
                    (unsigned long long)lines[i].tokens, lines[i].cost);
      buf_append_str (&body, STR ("]\n"));
      httpd_reply_json (req, 200, buf_str (&body));
      buf_free (&body);
    }
  free (report);
}

static void
serve_bill (process_t *process, httpd_req_t *req)
{
  bill_report_t *report = mem_zalloc (sizeof *report);
  str_t date = httpd_query_param (req, STR ("day"));
  time_t now = (time_t)(clock_realtime_ms (process->clock) / 1000);
  struct tm utc;

  strftime (report->date, sizeof report->date, "%Y-%m-%d",
            gmtime_r (&now, &utc));
  if (date.len == 10)
    memcpy (report->date, date.ptr, date.len);
  report->call = store_call_start (req);
  /* Pending bills of this process are written now, so that at the latest the
     next report includes them.  */
  ledger_flush (process->ledger);
  ledger_report (process->ledger, str_from (report->date), on_bill_report,
                 report);
}

static void
serve_burn (process_t *process, httpd_req_t *req)
{
  str_t format = httpd_query_param (req, STR ("format"));
  buf_t body = BUF_NULL;

  if (process->entry == NULL)
    {
      reply_error (req, VH_E_NO_ROUTE, "");
      return;
    }
  if (str_eq (format, STR ("html")))
    {
      const httpc_header_t type
          = { STR ("content-type"), STR ("text/html; charset=utf-8") };
      entry_write_burn_report (process->entry, BURN_FORMAT_HTML, &body);
      httpd_reply (req, 200, &type, 1, buf_str (&body));
    }
  else if (str_eq (format, STR ("text")))
    {
      entry_write_burn_report (process->entry, BURN_FORMAT_TEXT, &body);
      reply_text (req, 200, buf_str (&body));
    }
  else
    {
      entry_write_burn_report (process->entry, BURN_FORMAT_JSON, &body);
      httpd_reply_json (req, 200, buf_str (&body));
    }
  buf_free (&body);
}

typedef struct
{
  str_t method;
  str_t path;
  bool is_public; /* Whether requests need no operators' key.  */
  void (*serve) (process_t *process, httpd_req_t *req);
} route_t;

#define ROUTES(X)                                                             \
  X ("GET", "/healthz", true, serve_health)                                   \
  X ("GET", "/readyz", true, serve_ready)                                     \
  X ("GET", "/metrics", true, serve_metrics)                                  \
  X ("GET", "/admin/configuration", false, serve_configuration)               \
  X ("POST", "/admin/configuration", false, serve_apply)                      \
  X ("GET", "/admin/history", false, serve_history)                           \
  X ("GET", "/admin/status", false, serve_status)                             \
  X ("GET", "/admin/report/burn", false, serve_burn)                          \
  X ("GET", "/admin/report/bill", false, serve_bill)

static void
on_request (void *arg, httpd_req_t *req)
{
#define X(method, path, is_public, serve)                                     \
  { STR (method), STR (path), is_public, serve },
  const route_t routes[] = { ROUTES (X) };
#undef X
  process_t *process = arg;
  str_t path = httpd_path (req);
  bool is_known_path = false;

  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    {
      const route_t *route = &routes[i];
      if (!str_eq (route->path, path))
        continue;
      is_known_path = true;
      if (!str_eq (route->method, httpd_method (req)))
        continue;
      if (!route->is_public && !is_authorized (process, req))
        reply_error (req, VH_E_BAD_KEY, "");
      else
        route->serve (process, req);
      return;
    }
  reply_error (req, is_known_path ? VH_E_BAD_METHOD : VH_E_NO_ROUTE, "");
}

vh_code_t
admin_create (process_t *process)
{
  const httpd_options_t options = { .body_limit = BODY_BYTES_MAX,
                                    .connections_max = CONNECTIONS_MAX,
                                    .memory = &process->admin_memory };

  process->admin_memory.limit = MEMORY_MAX;
  vh_code_t code
      = httpd_create (process->loop, process->settings->admin_listen, &options,
                      on_request, process, &process->admin);

  if (code != VH_OK)
    log_err ("process", "Cannot listen on the operators' port. address=%.*s",
             STR_ARG (process->settings->admin_listen));
  return code;
}
