#include "cli/client.h"
#include "base/mem.h"
#include "wire/httpc.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  /* Time without a reply after which the next entry is tried.  */
  RESPONSE_TIMEOUT_MS = 5000,
  RESPONSE_BYTES_MAX = 64 * 1048576,
  STATUS_OK = 200,
  STATUS_UNAUTHORIZED = 401,
  STATUS_FORBIDDEN = 403,
  STATUS_CONFLICT = 409,
  STATUS_UNPROCESSABLE = 422
};

struct client
{
  uv_loop_t loop;
  const cli_t *cli;
  httpc_t *http[ENTRIES_MAX];
  int last_entry; /* Index of the entry that replied last.  */
  buf_t authorization;
  bool accepts_non_json; /* Whether a body that is not JSON is accepted.  */
};

/* A request whose response is awaited.  */
typedef struct
{
  reply_t *reply;
  vh_code_t code;
  bool is_done;
} pending_request_t;

client_t *
client_create (const cli_t *cli)
{
  client_t *client = mem_zalloc (sizeof *client);

  client->cli = cli;
  if (uv_loop_init (&client->loop) != 0)
    abort ();
  if (cli->key != NULL)
    buf_printf (&client->authorization, "Bearer %s", cli->key);
  return client;
}

void
client_destroy (client_t *client)
{
  if (client == NULL)
    return;
  for (int i = 0; i < ENTRIES_MAX; i++)
    if (client->http[i] != NULL)
      httpc_destroy (client->http[i]);
  uv_run (&client->loop, UV_RUN_DEFAULT);
  uv_loop_close (&client->loop);
  if (client->authorization.len > 0)
    explicit_bzero (client->authorization.ptr, client->authorization.len);
  buf_free (&client->authorization);
  free (client);
}

str_t
client_last_entry (const client_t *client)
{
  return client->cli->entries[client->last_entry];
}

static void
on_response (void *arg, vh_code_t code, int status, str_t body)
{
  pending_request_t *pending = arg;

  pending->code = code;
  pending->is_done = true;
  if (code != VH_OK)
    return;
  pending->reply->status = status;
  buf_append_str (&pending->reply->text, body);
}

/* Send REQUEST to entry number INDEX and run the event loop until the
   request has finished.  Return VH_OK if a response with any status arrived,
   or an error code.  */
static vh_code_t
client_send (client_t *client, int index, const httpc_request_t *request,
             reply_t *reply)
{
  pending_request_t pending = { .reply = reply };

  if (client->http[index] == NULL)
    client->http[index]
        = httpc_create (&client->loop, client->cli->entries[index], 1);
  if (client->http[index] == NULL)
    return VH_E_CONNECT;
  reply->status = 0;
  reply->text.len = 0;
  httpc_fetch (client->http[index], request, RESPONSE_BYTES_MAX, on_response,
               &pending);
  while (!pending.is_done && uv_run (&client->loop, UV_RUN_ONCE) != 0)
    continue;
  return pending.is_done ? pending.code : VH_E_CLOSED;
}

/* Return whether REPLY comes from an entry that is draining; another entry
   may still accept the request.  */
static bool
reply_is_draining (const reply_t *reply)
{
  const json_t *error = json_object_get (reply->json, "error");

  return str_eq (json_str (error, "type"), STR ("draining"));
}

static void
print_unreachable (const client_t *client, vh_code_t code,
                   bool outcome_unknown)
{
  buf_t addresses = BUF_NULL;

  for (int i = 0; i < client->cli->entry_count; i++)
    buf_printf (&addresses, "%s%.*s", i == 0 ? "" : ", ",
                STR_ARG (client->cli->entries[i]));
  cli_print_error ("no entry answers at %s: %s (%s)", addresses.ptr,
                   code == VH_E_CONNECT   ? "the connection could not be made"
                   : code == VH_E_TIMEOUT ? "no reply in time"
                                          : "the connection ended early",
                   outcome_unknown
                       ? "the change may have been made; see `vanillahook "
                         "history' before trying again"
                       : "name another entry by --entry or VANILLAHOOK_ENTRY");
  buf_free (&addresses);
}

/* Return the exit code for REPLY.  Print an error unless the code is CLI_OK or
   the status is 409 or 422 to a POST.  */
static cli_exit_code_t
client_classify_reply (const client_t *client, const reply_t *reply,
                       bool is_post)
{
  const json_t *error = json_object_get (reply->json, "error");
  str_t message = json_str (error, "message");
  str_t entry = client_last_entry (client);

  switch (reply->status)
    {
    case STATUS_OK:
      if (reply->json != NULL || client->accepts_non_json)
        return CLI_OK;
      cli_print_error (
          "%.*s: the answer is not JSON; is it the operators' port "
          "of an entry?",
          STR_ARG (entry));
      return CLI_UNREACHABLE;
    case STATUS_UNAUTHORIZED:
    case STATUS_FORBIDDEN:
      cli_print_error ("%.*s: %s (give it by --key-file or VANILLAHOOK_KEY)",
                       STR_ARG (entry),
                       client->cli->key == NULL
                           ? "the operators' key is needed"
                           : "the operators' key is not the right one");
      return CLI_BAD_KEY;
    case STATUS_CONFLICT:
      if (is_post)
        return CLI_REVISION_CONFLICT;
      break;
    case STATUS_UNPROCESSABLE:
      if (is_post)
        return CLI_REFUSED;
      break;
    default:
      break;
    }
  if (message.len == 0)
    cli_print_error ("%.*s: HTTP status %d; is it the operators' port of an "
                     "entry?",
                     STR_ARG (entry), reply->status);
  else
    cli_print_error ("%.*s: refused with code %llu: %.*s (see `vanillahook "
                     "codes')",
                     STR_ARG (entry),
                     (unsigned long long)json_u64 (error, "code"),
                     STR_ARG (message));
  return CLI_REFUSED;
}

static cli_exit_code_t
client_call (client_t *client, str_t method, const char *path, str_t body,
             reply_t *reply)
{
  httpc_header_t headers[2];
  size_t header_count = 0;
  int entries = client->cli->entry_count;
  int first_index = client->last_entry;
  bool is_post = str_eq (method, STR ("POST"));
  vh_code_t code = VH_E_CONNECT;

  if (client->authorization.len > 0)
    headers[header_count++]
        = (httpc_header_t){ STR ("authorization"),
                            buf_str (&client->authorization) };
  if (body.len > 0)
    headers[header_count++]
        = (httpc_header_t){ STR ("content-type"), STR ("text/plain") };
  httpc_request_t request = { .method = method,
                              .path = str_from (path),
                              .headers = headers,
                              .header_count = header_count,
                              .body = body,
                              .timeout_ms = RESPONSE_TIMEOUT_MS };
  *reply = (reply_t){ 0 };
  for (int i = 0; i < entries; i++)
    {
      int index = (first_index + i) % entries;
      code = client_send (client, index, &request, reply);
      if (code != VH_OK)
        {
          /* If the connection failed after the request was sent, the entry may
             have executed the request.  */
          reply->outcome_unknown
              = reply->outcome_unknown || code != VH_E_CONNECT;
          continue;
        }
      json_decref (reply->json);
      reply->json = json_loadb (reply->text.ptr != NULL ? reply->text.ptr : "",
                                reply->text.len, JSON_REJECT_DUPLICATES, NULL);
      client->last_entry = index;
      if (!reply_is_draining (reply) || i == entries - 1)
        return client_classify_reply (client, reply, is_post);
    }
  if (reply->status != 0)
    return client_classify_reply (client, reply, is_post);
  print_unreachable (client, code, is_post && reply->outcome_unknown);
  return CLI_UNREACHABLE;
}

cli_exit_code_t
client_get (client_t *client, const char *path, reply_t *reply)
{
  return client_call (client, STR ("GET"), path, STR_NULL, reply);
}

cli_exit_code_t
client_get_text (client_t *client, const char *path, reply_t *reply)
{
  client->accepts_non_json = true;
  cli_exit_code_t code = client_get (client, path, reply);
  client->accepts_non_json = false;
  return code;
}

cli_exit_code_t
client_post (client_t *client, const char *path, str_t body, reply_t *reply)
{
  return client_call (client, STR ("POST"), path, body, reply);
}

void
reply_free (reply_t *reply)
{
  buf_free (&reply->text);
  json_decref (reply->json);
  *reply = (reply_t){ 0 };
}

void
reply_print (const reply_t *reply)
{
  printf ("%.*s\n", STR_ARG (str_trim (buf_str (&reply->text))));
}

str_t
json_str (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);

  if (!json_is_string (value))
    return STR_NULL;
  return str_make (json_string_value (value), json_string_length (value));
}

uint64_t
json_u64 (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);

  return json_is_integer (value) && json_integer_value (value) > 0
             ? (uint64_t)json_integer_value (value)
             : 0;
}

double
json_double (const json_t *object, const char *key)
{
  return json_number_value (json_object_get (object, key));
}
