#include "conf/settings.h"
#include "base/mem.h"
#include "conf/reader.h"
#include "conf/schema.h"

#include <stdio.h>
#include <stdlib.h>

static const char *const role_words[]
    = { "entry", "sidecar", "standalone", "gateway", NULL };
static const char *const platform_words[] = { "http", "memory", NULL };
static const char *const kind_words[] = { "engine", "service", NULL };
static const char *const no_yes[] = { "no", "yes", NULL };
static const char *const level_words[]
    = { "err", "warning", "notice", "info", "debug", NULL };
/* In the order of the FEATURE_ bits.  */
static const char *const feature_words[]
    = { "load-report", "cache-events", "resume", "priority",
        "orders",      "fencing",      "kv",     NULL };

/* Sizes are counted in these.  */
static const uint64_t kib = 1024;
static const uint64_t mib = 1048576;

enum
{
  LEVEL_INFO = 3,
  /* Not said in the text: the role decides.  */
  PLATFORM_UNSET = -1
};

#define HOUR_MS 3600000.0
#define DAY_MS 86400000.0
#define GIB 1073741824.0
#define BIG 9007199254740992.0 /* 2^53, exact as a double.  */

/* X (key, type, required, field, min, max, words), one line a key.  */
#define PROCESS_KEYS(X)                                                       \
  X ("name", VALUE_NAME, true, pub.name, 0, 0, NULL)                          \
  X ("role", VALUE_WORD, true, pub.role, 0, 0, role_words)                    \
  X ("availability-zone", VALUE_NAME, true, pub.zone, 0, 0, NULL)             \
  X ("region", VALUE_NAME, false, pub.region, 0, 0, NULL)                     \
  X ("admin", VALUE_ADDRESS, true, pub.admin, 0, 0, NULL)                     \
  X ("rpc", VALUE_ADDRESS, false, pub.rpc, 0, 0, NULL)                        \
  X ("log-level", VALUE_WORD, false, log_level, 0, 0, level_words)            \
  X ("drain-grace-ms", VALUE_U64, false, pub.drain_grace_ms, 0, HOUR_MS,      \
     NULL)                                                                    \
  X ("drain-bound-ms", VALUE_U64, false, pub.drain_bound_ms, 1, DAY_MS, NULL) \
  X ("seed", VALUE_U64, false, pub.seed, 0, BIG, NULL)                        \
  X ("rpc-keys", VALUE_SECRETS, false, rpc_keys, 0, 0, NULL)                  \
  X ("operator-key-sha256", VALUE_DIGEST, false, pub.operator_key_sha256, 0,  \
     0, NULL)

#define ENTRY_KEYS(X)                                                         \
  X ("listen", VALUE_ADDRESS, true, pub.listen, 0, 0, NULL)                   \
  X ("tls-certificate", VALUE_TEXT, false, pub.tls_certificate, 0, 0, NULL)   \
  X ("tls-key", VALUE_TEXT, false, pub.tls_key, 0, 0, NULL)                   \
  X ("body-limit", VALUE_U64, false, pub.body_limit, 1, GIB, NULL)            \
  X ("header-limit", VALUE_U64, false, pub.header_limit, 256, 1048576, NULL)  \
  X ("deadline-default-ms", VALUE_U64, false, pub.deadline_default_ms, 1,     \
     DAY_MS, NULL)                                                            \
  X ("deadline-max-ms", VALUE_U64, false, pub.deadline_max_ms, 1, DAY_MS,     \
     NULL)                                                                    \
  X ("subset", VALUE_U32, false, pub.subset, 1, 10000, NULL)                  \
  X ("session-key", VALUE_SECRET, false, pub.session_key, 0, 0, NULL)         \
  X ("mint-idempotency-key", VALUE_FLAG, false, pub.mint_keys, 0, 0, no_yes)  \
  X ("connections-max", VALUE_U32, false, pub.connections_max, 1, 1000000,    \
     NULL)                                                                    \
  X ("outlier-share", VALUE_DOUBLE, false, pub.outlier_share, 0.01, 0.9,      \
     NULL)                                                                    \
  X ("retry-share", VALUE_DOUBLE, false, pub.retry_share, 0.001, 1, NULL)     \
  X ("retry-burst", VALUE_U32, false, pub.retry_burst, 1, 10000, NULL)

#define GATEWAY_KEYS(X)                                                       \
  X ("listen", VALUE_ADDRESS, true, pub.listen, 0, 0, NULL)                   \
  X ("ready", VALUE_ADDRESS, true, pub.ready, 0, 0, NULL)                     \
  X ("kill-after-s", VALUE_DOUBLE, false, pub.kill_after_s, 2, 3600, NULL)    \
  X ("revoke-ms", VALUE_U64, false, pub.revoke_ms, 100, DAY_MS, NULL)         \
  X ("confirm-ms", VALUE_U64, false, pub.confirm_ms, 100, DAY_MS, NULL)       \
  X ("lapse-ms", VALUE_U64, false, pub.lapse_ms, 0, DAY_MS, NULL)             \
  X ("extra-ratio", VALUE_DOUBLE, false, pub.extra_ratio, 0, 10, NULL)        \
  X ("extra-slack", VALUE_DOUBLE, false, pub.extra_slack, 0, 100000, NULL)    \
  X ("extra-window-s", VALUE_DOUBLE, false, pub.extra_window_s, 1, 3600,      \
     NULL)                                                                    \
  X ("cold-factor", VALUE_DOUBLE, false, pub.cold_factor, 0.1, 100, NULL)     \
  X ("cold-slack", VALUE_DOUBLE, false, pub.cold_slack, 0, 100000, NULL)      \
  X ("exposure-share", VALUE_DOUBLE, false, pub.exposure_share, 0.001, 1,     \
     NULL)                                                                    \
  X ("link-mbps", VALUE_DOUBLE, false, pub.link_mbps, 0, 10000000, NULL)      \
  X ("answer-worth", VALUE_DOUBLE, false, pub.answer_worth, 0, 1000000, NULL) \
  X ("rank-part", VALUE_DOUBLE, false, pub.rank_part, 0, 1, NULL)             \
  X ("late-part", VALUE_DOUBLE, false, pub.late_part, 0, 1, NULL)             \
  X ("poor-part", VALUE_DOUBLE, false, pub.poor_part, 0, 1, NULL)             \
  X ("opinion-width", VALUE_DOUBLE, false, pub.opinion_width, 0.1, 100, NULL)

/* Those of [sidecar] and [upstream NAME] alike.  */
#define UPSTREAM_KEYS(X)                                                      \
  X ("listen", VALUE_ADDRESS, false, pub.listen, 0, 0, NULL)                  \
  X ("upstream", VALUE_ADDRESS, true, pub.upstream, 0, 0, NULL)               \
  X ("kind", VALUE_FLAG, false, pub.is_service, 0, 0, kind_words)             \
  X ("serves", VALUE_LIST, true, serves, 0, 0, NULL)                          \
  X ("features", VALUE_LIST, false, features, 0, 0, NULL)                     \
  X ("limit-start", VALUE_U32, false, pub.limit_start, 1, 100000, NULL)       \
  X ("limit-max", VALUE_U32, false, pub.limit_max, 1, 100000, NULL)           \
  X ("limit-tolerance", VALUE_DOUBLE, false, pub.limit_tolerance, 1.01, 100,  \
     NULL)                                                                    \
  X ("queue-max", VALUE_U32, false, pub.queue_max, 0, 1000000, NULL)          \
  X ("queue-long-cost", VALUE_U32, false, pub.queue_long_cost, 2, 1000000000, \
     NULL)                                                                    \
  X ("answer-keep-ms", VALUE_U64, false, pub.answer_keep_ms, 1000, DAY_MS,    \
     NULL)                                                                    \
  X ("answer-bytes", VALUE_U64, false, pub.answer_bytes, 65536, 64 * GIB,     \
     NULL)                                                                    \
  X ("upstream-timeout-ms", VALUE_U64, false, pub.upstream_timeout_ms, 1,     \
     DAY_MS, NULL)

#define SIDECAR_KEYS(X)                                                       \
  X ("instance", VALUE_NAME, true, pub.instance, 0, 0, NULL)                  \
  UPSTREAM_KEYS (X)

#define PLATFORM_KEYS(X)                                                      \
  X ("kind", VALUE_WORD, false, platform, 0, 0, platform_words)               \
  X ("address", VALUE_ADDRESS, false, pub.platform_address, 0, 0, NULL)       \
  X ("timeout-ms", VALUE_U64, false, pub.platform_timeout_ms, 1, HOUR_MS, NULL)

#define CONFIGURATION_KEYS(X)                                                 \
  X ("file", VALUE_TEXT, false, pub.configuration_file, 0, 0, NULL)           \
  X ("poll-ms", VALUE_U64, false, pub.poll_ms, 10, HOUR_MS, NULL)

#define PEER_KEYS(X)                                                          \
  X ("role", VALUE_WORD, true, pub.role, 0, 0, role_words)                    \
  X ("availability-zone", VALUE_NAME, true, pub.zone, 0, 0, NULL)             \
  X ("address", VALUE_ADDRESS, true, pub.address, 0, 0, NULL)

typedef struct
{
  upstream_settings_t pub;
  value_list_t serves;
  value_list_t features;
  int line;
} upstream_item_t;

typedef struct
{
  peer_settings_t pub;
} peer_item_t;

/* The settings and what only their parser needs.  */
typedef struct
{
  settings_t pub; /* First, so that settings_destroy finds the rest.  */
  arena_t keep;
  arena_t scratch;
  int log_level;
  int platform;
  value_list_t rpc_keys;
  upstream_item_t **upstreams;
  size_t upstreams_count;
  peer_item_t **peers;
  size_t peers_count;
  int entry_line; /* Of each section, 0 when absent.  */
  int gateway_line;
  int sidecar_line;
  int upstream_line;
  conf_errors_t *errors;
} parser_t;

#define KEY(holder, key, type, required, field, min, max, words)              \
  { key, type, required, offsetof (holder, field), min, max, words },
#define OF_PARSER(...) KEY (parser_t, __VA_ARGS__)
#define OF_UPSTREAM(...) KEY (upstream_item_t, __VA_ARGS__)
#define OF_PEER(...) KEY (peer_item_t, __VA_ARGS__)

static const schema_key_t process_keys[] = { PROCESS_KEYS (OF_PARSER) };
static const schema_key_t entry_keys[] = { ENTRY_KEYS (OF_PARSER) };
static const schema_key_t gateway_keys[] = { GATEWAY_KEYS (OF_PARSER) };
static const schema_key_t sidecar_keys[] = { SIDECAR_KEYS (OF_UPSTREAM) };
static const schema_key_t upstream_keys[] = { UPSTREAM_KEYS (OF_UPSTREAM) };
static const schema_key_t platform_keys[] = { PLATFORM_KEYS (OF_PARSER) };
static const schema_key_t configuration_keys[]
    = { CONFIGURATION_KEYS (OF_PARSER) };
static const schema_key_t peer_keys[] = { PEER_KEYS (OF_PEER) };

static void *
open_self (void *arg, str_t name, int line)
{
  (void)name;
  (void)line;
  return arg;
}

static void *
open_entry (void *arg, str_t name, int line)
{
  parser_t *parser = arg;

  (void)name;
  parser->entry_line = line;
  return parser;
}

static void *
open_gateway (void *arg, str_t name, int line)
{
  parser_t *parser = arg;

  (void)name;
  parser->gateway_line = line;
  return parser;
}

/* Return a new upstream with its defaults.  */
static upstream_item_t *
parser_add_upstream (parser_t *parser, int line)
{
  upstream_item_t *item = arena_alloc (&parser->scratch, sizeof *item);

  item->line = line;
  /* A cold engine answers slowly; four at once show whether it holds.  */
  item->pub.limit_start = 4;
  item->pub.limit_max = 64;
  item->pub.queue_max = 256;
  /* Longer than any caller's resend after a lost connection.  */
  item->pub.answer_keep_ms = 600000;
  item->pub.answer_bytes = 64 * mib;
  item->pub.upstream_timeout_ms = 30000;
  parser->upstreams
      = mem_realloc (parser->upstreams, (parser->upstreams_count + 1)
                                            * sizeof (upstream_item_t *));
  parser->upstreams[parser->upstreams_count++] = item;
  return item;
}

static void *
open_sidecar (void *arg, str_t name, int line)
{
  parser_t *parser = arg;

  (void)name;
  parser->sidecar_line = line;
  return parser_add_upstream (parser, line);
}

static void *
open_upstream (void *arg, str_t name, int line)
{
  parser_t *parser = arg;
  upstream_item_t *item = parser_add_upstream (parser, line);

  if (parser->upstream_line == 0)
    parser->upstream_line = line;
  item->pub.instance = arena_str (&parser->keep, name);
  /* In one process the port is of no interest; any will do.  */
  item->pub.listen = STR ("127.0.0.1:0");
  return item;
}

static void *
open_peer (void *arg, str_t name, int line)
{
  parser_t *parser = arg;
  peer_item_t *item = arena_alloc (&parser->scratch, sizeof *item);

  (void)line;
  item->pub.name = arena_str (&parser->keep, name);
  parser->peers = mem_realloc (parser->peers, (parser->peers_count + 1)
                                                  * sizeof (peer_item_t *));
  parser->peers[parser->peers_count++] = item;
  return item;
}

#define SECTION(kind, form, keys, open)                                       \
  {                                                                           \
    kind, form, keys, sizeof (keys) / sizeof (keys)[0], open                  \
  }

static const schema_section_t settings_sections[] = {
  SECTION ("process", SECTION_BARE, process_keys, open_self),
  SECTION ("entry", SECTION_BARE, entry_keys, open_entry),
  SECTION ("gateway", SECTION_BARE, gateway_keys, open_gateway),
  SECTION ("sidecar", SECTION_BARE, sidecar_keys, open_sidecar),
  SECTION ("upstream", SECTION_NAMED, upstream_keys, open_upstream),
  SECTION ("platform", SECTION_BARE, platform_keys, open_self),
  SECTION ("configuration", SECTION_BARE, configuration_keys, open_self),
  SECTION ("peer", SECTION_NAMED, peer_keys, open_peer),
};

static const schema_t settings_schema
    = { settings_sections,
        sizeof settings_sections / sizeof settings_sections[0] };

static void
parser_defaults (parser_t *parser)
{
  settings_t *pub = &parser->pub;

  parser->log_level = LEVEL_INFO;
  parser->platform = PLATFORM_UNSET;
  /* Balancers check health every few seconds and want two failures.  */
  pub->drain_grace_ms = 5000;
  pub->drain_bound_ms = 120000;
  pub->body_limit = 4 * mib;
  pub->header_limit = 16 * kib;
  pub->deadline_default_ms = 120000;
  pub->deadline_max_ms = 600000;
  pub->subset = 20;
  pub->connections_max = 10000;
  pub->platform_timeout_ms = 2000;
  pub->poll_ms = 1000;
  pub->kill_after_s = 10;
  /* Revoked keys are to be unusable 5 s after the change.  */
  pub->confirm_ms = 4500;
  pub->lapse_ms = 2000;
  pub->extra_ratio = 0.1;
  pub->extra_slack = 10;
  pub->extra_window_s = 10;
  pub->cold_factor = 1;
  pub->exposure_share = 0.1;
  /* What the users pay for a good answer of three kinds, by rank: 0.45 to
     0.56, 0.25 to 0.28 and 0.14 to 0.17 for 1,000 of its size; three tenths of
     that when late, a twentieth when poor.  */
  pub->answer_worth = 0.55;
  pub->rank_part = 0.5;
  pub->late_part = 0.3;
  pub->poor_part = 0.05;
  pub->opinion_width = 5;
}

/* Complain that SECTION, in LINE unless 0, has no use in this role.  */
static void
parser_forbid (parser_t *parser, int line, const char *section,
               const char *hint)
{
  if (line != 0)
    conf_errors_add (parser->errors, line, hint,
                     "[%s] has no use in the role `%s'", section,
                     role_words[parser->pub.role]);
}

/* Complain when VALUE, of a key that this role needs, is empty.  */
static void
parser_need (parser_t *parser, bool present, const char *section,
             const char *key)
{
  if (!present)
    conf_errors_add (parser->errors, 0, NULL,
                     "the role `%s' needs the key `%s' in [%s]",
                     role_words[parser->pub.role], key, section);
}

static void
parser_check_entry (parser_t *parser)
{
  settings_t *pub = &parser->pub;

  if (parser->entry_line == 0)
    {
      parser_need (parser, false, "entry", "listen");
      return;
    }
  if (pub->deadline_default_ms > pub->deadline_max_ms)
    conf_errors_add (parser->errors, parser->entry_line, NULL,
                     "`deadline-default-ms' is above `deadline-max-ms'");
  if ((pub->tls_certificate.len == 0) != (pub->tls_key.len == 0))
    conf_errors_add (parser->errors, parser->entry_line, NULL,
                     "`tls-certificate' and `tls-key' need each other");
}

static void
parser_check_role (parser_t *parser)
{
  const settings_t *pub = &parser->pub;

  switch (pub->role)
    {
    case ROLE_ENTRY:
      parser_check_entry (parser);
      parser_need (parser, pub->rpc.len > 0, "process", "rpc");
      parser_need (parser, parser->rpc_keys.count > 0, "process", "rpc-keys");
      parser_need (parser, pub->session_key.len > 0, "entry", "session-key");
      parser_forbid (parser, parser->sidecar_line, "sidecar",
                     "a sidecar is a process of its own");
      parser_forbid (parser, parser->upstream_line, "upstream",
                     "an entry finds upstreams by the instance list");
      break;
    case ROLE_SIDECAR:
      if (parser->sidecar_line == 0)
        parser_need (parser, false, "sidecar", "instance");
      else
        parser_need (parser, parser->upstreams[0]->pub.listen.len > 0,
                     "sidecar", "listen");
      parser_need (parser, parser->rpc_keys.count > 0, "process", "rpc-keys");
      parser_forbid (parser, parser->entry_line, "entry",
                     "an entry is a process of its own");
      parser_forbid (parser, parser->upstream_line, "upstream",
                     "write `[sidecar]'");
      break;
    case ROLE_GATEWAY:
      if (parser->gateway_line == 0)
        parser_need (parser, false, "gateway", "listen");
      parser_forbid (parser, parser->entry_line, "entry",
                     "a gateway's section is [gateway]");
      parser_forbid (parser, parser->sidecar_line, "sidecar",
                     "a gateway dials upstreams itself");
      parser_forbid (parser, parser->upstream_line, "upstream",
                     "a gateway finds upstreams in the platform's store");
      break;
    case ROLE_STANDALONE:
      parser_check_entry (parser);
      parser_forbid (parser, parser->sidecar_line, "sidecar",
                     "write `[upstream NAME]'");
      break;
    }
}

static void
parser_check_platform (parser_t *parser)
{
  settings_t *pub = &parser->pub;

  if (parser->platform == PLATFORM_UNSET)
    parser->platform
        = pub->role == ROLE_STANDALONE && pub->platform_address.len == 0
              ? PLATFORM_MEMORY
              : PLATFORM_HTTP;
  pub->platform = (platform_kind_t)parser->platform;
  if (pub->platform == PLATFORM_HTTP)
    parser_need (parser, pub->platform_address.len > 0, "platform", "address");
  else if (pub->role != ROLE_STANDALONE)
    conf_errors_add (parser->errors, 0,
                     "give `kind = http' and an address, or use the role "
                     "`standalone'",
                     "the in-memory platform is not shared between processes");
}

/* Check what ITEM serves and take its features.  */
static void
parser_check_upstream (parser_t *parser, upstream_item_t *item)
{
  for (size_t i = 0; i < item->serves.count; i++)
    {
      str_t name = item->serves.items[i];
      bool fits = item->pub.is_service ? schema_is_valid_name (name)
                                       : schema_is_valid_version (name);
      if (!fits)
        conf_errors_add (parser->errors, item->serves.line,
                         item->pub.is_service
                             ? "a service is named without a version"
                             : "write MODEL@VERSION, or `kind = service'",
                         "`serves' cannot hold `%.*s'", STR_ARG (name));
    }
  for (size_t i = 0; i < item->features.count; i++)
    {
      str_t name = item->features.items[i];
      closest_match_t nearest = closest_match_make (name);
      buf_t hint = BUF_NULL;
      size_t bit = 0;
      for (; feature_words[bit] != NULL; bit++)
        {
          if (str_eq (name, str_from (feature_words[bit])))
            break;
          closest_match_add_candidate (&nearest,
                                       str_from (feature_words[bit]));
        }
      if (feature_words[bit] != NULL)
        item->pub.features |= 1u << bit;
      else
        conf_errors_add (
            parser->errors, item->features.line,
            closest_match_hint (&nearest,
                                "known are load-report, cache-events, resume, "
                                "priority, orders, fencing, kv",
                                &hint),
            "unknown feature `%.*s'", STR_ARG (name));
      buf_free (&hint);
    }
  if (item->pub.limit_start > item->pub.limit_max)
    conf_errors_add (parser->errors, item->line, NULL,
                     "`limit-start' is above `limit-max'");
}

/* Copy LIST to KEEP; return its items.  */
static str_t *
list_keep (arena_t *keep, const value_list_t *list)
{
  str_t *items = arena_alloc (keep, (list->count + 1) * sizeof *items);

  for (size_t i = 0; i < list->count; i++)
    items[i] = arena_str (keep, list->items[i]);
  return items;
}

/* Move the lists that grew to their final arrays.  */
static void
parser_finish (parser_t *parser)
{
  settings_t *pub = &parser->pub;
  arena_t *keep = &parser->keep;

  pub->log_level = str_from (level_words[parser->log_level]);
  pub->rpc_keys = list_keep (keep, &parser->rpc_keys);
  pub->rpc_keys_count = parser->rpc_keys.count;
  pub->upstreams_count = parser->upstreams_count;
  pub->upstreams = arena_alloc (keep, (parser->upstreams_count + 1)
                                          * sizeof *pub->upstreams);
  for (size_t i = 0; i < parser->upstreams_count; i++)
    {
      const upstream_item_t *item = parser->upstreams[i];
      pub->upstreams[i] = item->pub;
      pub->upstreams[i].serves = list_keep (keep, &item->serves);
      pub->upstreams[i].serves_count = item->serves.count;
    }
  pub->peers_count = parser->peers_count;
  pub->peers
      = arena_alloc (keep, (parser->peers_count + 1) * sizeof *pub->peers);
  for (size_t i = 0; i < parser->peers_count; i++)
    pub->peers[i] = parser->peers[i]->pub;
}

vh_code_t
settings_parse (str_t text, settings_t **out, conf_errors_t *errors)
{
  parser_t *parser = mem_zalloc (sizeof *parser);
  size_t before = errors->count;

  *out = NULL;
  parser->errors = errors;
  parser_defaults (parser);
  schema_run (&settings_schema, text, parser, &parser->keep, &parser->scratch,
              errors);
  for (size_t i = 0; i < parser->upstreams_count; i++)
    parser_check_upstream (parser, parser->upstreams[i]);
  if (parser->pub.drain_grace_ms > parser->pub.drain_bound_ms)
    conf_errors_add (errors, 0, NULL,
                     "`drain-grace-ms' is above `drain-bound-ms'");
  /* Without a name there was no [process], so the role is not known.  */
  if (parser->pub.name.len == 0)
    conf_errors_add (errors, 0,
                     "give it `name', `role', "
                     "`availability-zone' and `admin'",
                     "[process] is missing or has no name");
  else
    {
      parser_check_role (parser);
      parser_check_platform (parser);
    }
  schema_sort_errors (errors);
  if (errors->count == before)
    {
      parser_finish (parser);
      *out = &parser->pub;
    }
  arena_free (&parser->scratch);
  free (parser->upstreams);
  free (parser->peers);
  parser->upstreams = NULL;
  parser->peers = NULL;
  if (*out != NULL)
    return VH_OK;
  settings_destroy (&parser->pub);
  return VH_E_BAD_SETTINGS;
}

/* Make *FILE, when relative, start at the folder of the settings file PATH,
   so that a process finds its files from any working folder.  */
static void
parser_resolve (parser_t *parser, const char *path, str_t *file)
{
  const char *slash = strrchr (path, '/');
  buf_t joined = BUF_NULL;

  if (file->len == 0 || file->ptr[0] == '/' || slash == NULL)
    return;
  buf_append (&joined, path, (size_t)(slash - path) + 1);
  buf_append_str (&joined, *file);
  *file = arena_str (&parser->keep, buf_str (&joined));
  buf_free (&joined);
}

vh_code_t
settings_load (const char *path, settings_t **out, conf_errors_t *errors)
{
  buf_t text = BUF_NULL;
  vh_code_t code = conf_read_file (path, &text);

  *out = NULL;
  if (code == VH_OK)
    code = settings_parse (buf_str (&text), out, errors);
  else
    conf_errors_add (errors, 0, "check the path and its permissions",
                     "the file cannot be read");
  if (code == VH_OK)
    {
      parser_t *parser = (parser_t *)*out;
      parser_resolve (parser, path, &(*out)->configuration_file);
      parser_resolve (parser, path, &(*out)->tls_certificate);
      parser_resolve (parser, path, &(*out)->tls_key);
    }
  buf_free (&text);
  return code;
}

void
settings_destroy (settings_t *settings)
{
  parser_t *parser = (parser_t *)settings;

  if (settings == NULL)
    return;
  arena_free (&parser->keep);
  free (parser);
}
