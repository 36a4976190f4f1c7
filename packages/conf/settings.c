#include "conf/settings.h"
#include "base/mem.h"
#include "conf/reader.h"
#include "conf/schema.h"

#include <stdio.h>
#include <stdlib.h>

static const char *const role_names[]
    = { "entry", "sidecar", "standalone", "gateway", NULL };
/* In the order of settings_move_streams_t.  */
static const char *const move_streams_names[]
    = { "reported", "yes", "no", NULL };
static const char *const platform_names[] = { "http", "memory", NULL };
static const char *const upstream_kind_names[] = { "engine", "service", NULL };
/* Indexed by instance_speed_use_t.  */
static const char *const instance_speed_names[] = { "off", "reported", NULL };
static const char *const no_yes_names[] = { "no", "yes", NULL };
static const char *const log_level_names[]
    = { "err", "warning", "notice", "info", "debug", NULL };
/* Indexed by the bit number of the FEATURE_ constant.  */
static const char *const feature_names[]
    = { "load-report", "cache-events", "resume", "priority",
        "orders",      "fencing",      "kv",     NULL };

static const uint64_t kib = 1024;
static const uint64_t mib = 1048576;

enum
{
  LOG_LEVEL_INDEX_INFO = 3, /* Index of "info" in log_level_names.  */
  /* The key is absent, and the role determines the platform.  */
  PLATFORM_UNSET = -1
};

#define HOUR_MS 3600000.0
#define DAY_MS 86400000.0
#define GIB 1073741824.0
/* 2^53: a double represents all smaller integers exactly.  */
#define EXACT_INTEGER_MAX 9007199254740992.0

/* X (key, type, is_required, field, min, max, value_names) for each key.  */
#define PROCESS_KEYS(X)                                                       \
  X ("name", VALUE_NAME, true, pub.name, 0, 0, NULL)                          \
  X ("role", VALUE_ENUM, true, pub.role, 0, 0, role_names)                    \
  X ("availability-zone", VALUE_NAME, true, pub.zone, 0, 0, NULL)             \
  X ("region", VALUE_NAME, false, pub.region, 0, 0, NULL)                     \
  X ("admin", VALUE_ADDRESS, true, pub.admin_listen, 0, 0, NULL)              \
  X ("rpc", VALUE_ADDRESS, false, pub.rpc_listen, 0, 0, NULL)                 \
  X ("log-level", VALUE_ENUM, false, log_level, 0, 0, log_level_names)        \
  X ("drain-grace-ms", VALUE_U64, false, pub.drain_grace_ms, 0, HOUR_MS,      \
     NULL)                                                                    \
  X ("drain-bound-ms", VALUE_U64, false, pub.drain_timeout_ms, 1, DAY_MS,     \
     NULL)                                                                    \
  X ("seed", VALUE_U64, false, pub.seed, 0, EXACT_INTEGER_MAX, NULL)          \
  X ("memory-mb", VALUE_DOUBLE, false, pub.memory_mb, 0, 16777216, NULL)      \
  X ("descriptors-max", VALUE_U32, false, pub.descriptors_max, 0, 10000000,   \
     NULL)                                                                    \
  X ("rpc-keys", VALUE_SECRETS, false, rpc_keys, 0, 0, NULL)                  \
  X ("operator-key-sha256", VALUE_DIGEST, false, pub.operator_key_sha256, 0,  \
     0, NULL)

#define ENTRY_KEYS(X)                                                         \
  X ("listen", VALUE_ADDRESS, true, pub.listen, 0, 0, NULL)                   \
  X ("tls-certificate", VALUE_STRING, false, pub.tls_certificate, 0, 0, NULL) \
  X ("tls-key", VALUE_STRING, false, pub.tls_key, 0, 0, NULL)                 \
  X ("body-limit", VALUE_U64, false, pub.body_limit, 1, GIB, NULL)            \
  X ("header-limit", VALUE_U64, false, pub.header_limit, 256, 1048576, NULL)  \
  X ("deadline-default-ms", VALUE_U64, false, pub.deadline_default_ms, 1,     \
     DAY_MS, NULL)                                                            \
  X ("deadline-max-ms", VALUE_U64, false, pub.deadline_max_ms, 1, DAY_MS,     \
     NULL)                                                                    \
  X ("subset", VALUE_U32, false, pub.subset_size, 1, 10000, NULL)             \
  X ("session-key", VALUE_SECRET, false, pub.session_key, 0, 0, NULL)         \
  X ("mint-idempotency-key", VALUE_BOOL, false,                               \
     pub.generate_idempotency_keys, 0, 0, no_yes_names)                       \
  X ("connections-max", VALUE_U32, false, pub.connections_max, 1, 1000000,    \
     NULL)                                                                    \
  X ("outlier-share", VALUE_DOUBLE, false, pub.ejected_share_max, 0.01, 0.9,  \
     NULL)                                                                    \
  X ("retry-share", VALUE_DOUBLE, false, pub.retry_budget_ratio, 0.001, 1,    \
     NULL)                                                                    \
  X ("retry-burst", VALUE_U32, false, pub.retry_burst, 1, 10000, NULL)

#define GATEWAY_KEYS(X)                                                       \
  X ("listen", VALUE_ADDRESS, true, pub.listen, 0, 0, NULL)                   \
  X ("ready", VALUE_ADDRESS, true, pub.ready_listen, 0, 0, NULL)              \
  X ("kill-after-s", VALUE_DOUBLE, false, pub.kill_after_s, 2, 3600, NULL)    \
  X ("revoke-ms", VALUE_U64, false, pub.key_revocation_max_ms, 100, DAY_MS,   \
     NULL)                                                                    \
  X ("confirm-ms", VALUE_U64, false, pub.config_max_age_ms, 100, DAY_MS,      \
     NULL)                                                                    \
  X ("lapse-ms", VALUE_U64, false, pub.expired_registration_grace_ms, 0,      \
     DAY_MS, NULL)                                                            \
  X ("extra-ratio", VALUE_DOUBLE, false, pub.extra_send_ratio, 0, 10, NULL)   \
  X ("extra-slack", VALUE_DOUBLE, false, pub.extra_send_fixed_budget, 0,      \
     100000, NULL)                                                            \
  X ("extra-window-s", VALUE_DOUBLE, false, pub.extra_send_window_s, 1, 3600, \
     NULL)                                                                    \
  X ("cold-factor", VALUE_DOUBLE, false, pub.cold_factor, 0.1, 100, NULL)     \
  X ("cold-slack", VALUE_DOUBLE, false, pub.cold_slack, 0, 100000, NULL)      \
  X ("instance-speed", VALUE_ENUM, false, pub.instance_speed, 0, 0,           \
     instance_speed_names)                                                    \
  X ("exposure-share", VALUE_DOUBLE, false, pub.rollout_share_max, 0.001, 1,  \
     NULL)                                                                    \
  X ("link-mbps", VALUE_DOUBLE, false, pub.link_mbps, 0, 10000000, NULL)      \
  X ("answer-worth", VALUE_DOUBLE, false, pub.good_answer_value, 0, 1000000,  \
     NULL)                                                                    \
  X ("rank-part", VALUE_DOUBLE, false, pub.value_factor_per_rank, 0, 1, NULL) \
  X ("late-part", VALUE_DOUBLE, false, pub.late_value_share, 0, 1, NULL)      \
  X ("poor-part", VALUE_DOUBLE, false, pub.poor_value_share, 0, 1, NULL)      \
  X ("opinion-width", VALUE_DOUBLE, false, pub.rating_noise_points, 0.1, 100, \
     NULL)                                                                    \
  X ("move-streams", VALUE_ENUM, false, pub.move_streams, 0, 0,               \
     move_streams_names)

/* Keys that [sidecar] and [upstream NAME] have in common.  */
#define UPSTREAM_KEYS(X)                                                      \
  X ("listen", VALUE_ADDRESS, false, pub.listen, 0, 0, NULL)                  \
  X ("upstream", VALUE_ADDRESS, true, pub.upstream, 0, 0, NULL)               \
  X ("kind", VALUE_BOOL, false, pub.is_service, 0, 0, upstream_kind_names)    \
  X ("serves", VALUE_LIST, true, serves, 0, 0, NULL)                          \
  X ("features", VALUE_LIST, false, features, 0, 0, NULL)                     \
  X ("limit-start", VALUE_U32, false, pub.limit_initial, 1, 100000, NULL)     \
  X ("limit-max", VALUE_U32, false, pub.limit_max, 1, 100000, NULL)           \
  X ("limit-tolerance", VALUE_DOUBLE, false, pub.limit_tolerance, 1.01, 100,  \
     NULL)                                                                    \
  X ("queue-max", VALUE_U32, false, pub.queue_max, 0, 1000000, NULL)          \
  X ("queue-long-cost", VALUE_U32, false, pub.queue_long_cost_min, 2,         \
     1000000000, NULL)                                                        \
  X ("answer-keep-ms", VALUE_U64, false, pub.response_retention_ms, 1000,     \
     DAY_MS, NULL)                                                            \
  X ("answer-bytes", VALUE_U64, false, pub.retained_bytes_max, 65536,         \
     64 * GIB, NULL)                                                          \
  X ("upstream-timeout-ms", VALUE_U64, false, pub.upstream_timeout_ms, 1,     \
     DAY_MS, NULL)

#define SIDECAR_KEYS(X)                                                       \
  X ("instance", VALUE_NAME, true, pub.instance, 0, 0, NULL)                  \
  UPSTREAM_KEYS (X)

#define PLATFORM_KEYS(X)                                                      \
  X ("kind", VALUE_ENUM, false, platform, 0, 0, platform_names)               \
  X ("address", VALUE_ADDRESS, false, pub.platform_address, 0, 0, NULL)       \
  X ("timeout-ms", VALUE_U64, false, pub.platform_timeout_ms, 1, HOUR_MS, NULL)

#define CONFIGURATION_KEYS(X)                                                 \
  X ("file", VALUE_STRING, false, pub.configuration_file, 0, 0, NULL)         \
  X ("poll-ms", VALUE_U64, false, pub.poll_ms, 10, HOUR_MS, NULL)

#define PEER_KEYS(X)                                                          \
  X ("role", VALUE_ENUM, true, pub.role, 0, 0, role_names)                    \
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

/* The settings, and data that only their parser needs.  */
typedef struct
{
  /* The first member, because settings_destroy converts its address to that of
     the parser_t.  */
  settings_t pub;
  arena_t arena;
  arena_t scratch;
  int log_level;
  int platform;
  value_list_t rpc_keys;
  upstream_item_t **upstreams;
  size_t upstreams_count;
  peer_item_t **peers;
  size_t peers_count;
  /* Line of the first section of each kind; 0 if absent.  */
  int entry_line;
  int gateway_line;
  int sidecar_line;
  int upstream_line;
  conf_errors_t *errors;
} parser_t;

#define KEY(struct_type, key, type, is_required, field, min, max,             \
            value_names)                                                      \
  { key, type, is_required, offsetof (struct_type, field),                    \
    min, max,  value_names },
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
begin_process_section (void *arg, str_t name, int line)
{
  (void)name;
  (void)line;
  return arg;
}

static void *
begin_entry (void *arg, str_t name, int line)
{
  parser_t *parser = arg;

  (void)name;
  parser->entry_line = line;
  return parser;
}

static void *
begin_gateway (void *arg, str_t name, int line)
{
  parser_t *parser = arg;

  (void)name;
  parser->gateway_line = line;
  return parser;
}

/* Add an upstream with default values and return it.  */
static upstream_item_t *
parser_add_upstream (parser_t *parser, int line)
{
  upstream_item_t *item = arena_alloc (&parser->scratch, sizeof *item);

  item->line = line;
  /* An engine that has just started is slow; four concurrent requests are
     enough to observe whether it can take more.  */
  item->pub.limit_initial = 4;
  item->pub.limit_max = 64;
  item->pub.queue_max = 256;
  /* Longer than the time until a client that lost its connection sends the
     request again.  */
  item->pub.response_retention_ms = 600000;
  item->pub.retained_bytes_max = 64 * mib;
  item->pub.upstream_timeout_ms = 30000;
  parser->upstreams
      = mem_realloc (parser->upstreams, (parser->upstreams_count + 1)
                                            * sizeof (upstream_item_t *));
  parser->upstreams[parser->upstreams_count++] = item;
  return item;
}

static void *
begin_sidecar (void *arg, str_t name, int line)
{
  parser_t *parser = arg;

  (void)name;
  parser->sidecar_line = line;
  return parser_add_upstream (parser, line);
}

static void *
begin_upstream (void *arg, str_t name, int line)
{
  parser_t *parser = arg;
  upstream_item_t *item = parser_add_upstream (parser, line);

  if (parser->upstream_line == 0)
    parser->upstream_line = line;
  item->pub.instance = arena_str (&parser->arena, name);
  /* Only this process connects to the sidecar, so that any free port will
     do.  */
  item->pub.listen = STR ("127.0.0.1:0");
  return item;
}

static void *
begin_peer (void *arg, str_t name, int line)
{
  parser_t *parser = arg;
  peer_item_t *item = arena_alloc (&parser->scratch, sizeof *item);

  (void)line;
  item->pub.name = arena_str (&parser->arena, name);
  parser->peers = mem_realloc (parser->peers, (parser->peers_count + 1)
                                                  * sizeof (peer_item_t *));
  parser->peers[parser->peers_count++] = item;
  return item;
}

#define SECTION(kind, form, keys, begin)                                      \
  {                                                                           \
    kind, form, keys, sizeof (keys) / sizeof (keys)[0], begin                 \
  }

static const schema_section_t settings_sections[] = {
  SECTION ("process", SECTION_UNNAMED, process_keys, begin_process_section),
  SECTION ("entry", SECTION_UNNAMED, entry_keys, begin_entry),
  SECTION ("gateway", SECTION_UNNAMED, gateway_keys, begin_gateway),
  SECTION ("sidecar", SECTION_UNNAMED, sidecar_keys, begin_sidecar),
  SECTION ("upstream", SECTION_NAMED, upstream_keys, begin_upstream),
  SECTION ("platform", SECTION_UNNAMED, platform_keys, begin_process_section),
  SECTION ("configuration", SECTION_UNNAMED, configuration_keys,
           begin_process_section),
  SECTION ("peer", SECTION_NAMED, peer_keys, begin_peer),
};

static const schema_t settings_schema
    = { settings_sections,
        sizeof settings_sections / sizeof settings_sections[0] };

static void
parser_set_defaults (parser_t *parser)
{
  settings_t *pub = &parser->pub;

  parser->log_level = LOG_LEVEL_INDEX_INFO;
  parser->platform = PLATFORM_UNSET;
  /* External load balancers check health every few seconds and need two
     failures to stop sending.  */
  pub->drain_grace_ms = 5000;
  pub->drain_timeout_ms = 120000;
  pub->body_limit = 4 * mib;
  pub->header_limit = 16 * kib;
  pub->deadline_default_ms = 120000;
  pub->deadline_max_ms = 600000;
  pub->subset_size = 20;
  pub->connections_max = 10000;
  pub->platform_timeout_ms = 2000;
  pub->poll_ms = 1000;
  pub->kill_after_s = 10;
  /* A revoked key must stop working within 5 s of the change.  */
  pub->config_max_age_ms = 4500;
  pub->expired_registration_grace_ms = 2000;
  pub->extra_send_ratio = 0.1;
  pub->extra_send_fixed_budget = 10;
  pub->extra_send_window_s = 10;
  pub->cold_factor = 1;
  pub->instance_speed = INSTANCE_SPEED_USE_REPORTED;
  pub->rollout_share_max = 0.1;
  /* For 1,000 units of size, the users pay 0.45 to 0.56 for a good response of
     rank 0, 0.25 to 0.28 for rank 1 and 0.14 to 0.17 for rank 2.  A late
     response is paid at 30% of the price of a good response of the same rank,
     and a poor response at 5%.  */
  pub->good_answer_value = 0.55;
  pub->value_factor_per_rank = 0.5;
  pub->late_value_share = 0.3;
  pub->poor_value_share = 0.05;
  pub->rating_noise_points = 5;
}

/* Add an error if SECTION, which the role does not allow, is present.  LINE is
   its line, or 0 if SECTION is absent.  */
static void
parser_reject_section (parser_t *parser, int line, const char *section,
                       const char *hint)
{
  if (line != 0)
    conf_errors_add (parser->errors, line, hint,
                     "[%s] is not allowed in the role `%s'", section,
                     role_names[parser->pub.role]);
}

/* Add an error unless IS_PRESENT, for KEY of SECTION, which the role
   requires.  */
static void
parser_require_key (parser_t *parser, bool is_present, const char *section,
                    const char *key)
{
  if (!is_present)
    conf_errors_add (parser->errors, 0, NULL,
                     "the role `%s' needs the key `%s' in [%s]",
                     role_names[parser->pub.role], key, section);
}

static void
parser_check_entry (parser_t *parser)
{
  settings_t *pub = &parser->pub;

  if (parser->entry_line == 0)
    {
      parser_require_key (parser, false, "entry", "listen");
      return;
    }
  if (pub->deadline_default_ms > pub->deadline_max_ms)
    conf_errors_add (parser->errors, parser->entry_line, NULL,
                     "`deadline-default-ms' is above `deadline-max-ms'");
  if ((pub->tls_certificate.len == 0) != (pub->tls_key.len == 0))
    conf_errors_add (parser->errors, parser->entry_line, NULL,
                     "`tls-certificate' and `tls-key' must be set together");
}

static void
parser_check_role (parser_t *parser)
{
  const settings_t *pub = &parser->pub;

  switch (pub->role)
    {
    case ROLE_ENTRY:
      parser_check_entry (parser);
      parser_require_key (parser, pub->rpc_listen.len > 0, "process", "rpc");
      parser_require_key (parser, parser->rpc_keys.count > 0, "process",
                          "rpc-keys");
      parser_require_key (parser, pub->session_key.len > 0, "entry",
                          "session-key");
      parser_reject_section (parser, parser->sidecar_line, "sidecar",
                             "a sidecar is a process of its own");
      parser_reject_section (parser, parser->upstream_line, "upstream",
                             "an entry finds upstreams by the instance list");
      break;
    case ROLE_SIDECAR:
      if (parser->sidecar_line == 0)
        parser_require_key (parser, false, "sidecar", "instance");
      else
        parser_require_key (parser, parser->upstreams[0]->pub.listen.len > 0,
                            "sidecar", "listen");
      parser_require_key (parser, parser->rpc_keys.count > 0, "process",
                          "rpc-keys");
      parser_reject_section (parser, parser->entry_line, "entry",
                             "an entry is a process of its own");
      parser_reject_section (parser, parser->upstream_line, "upstream",
                             "write `[sidecar]'");
      break;
    case ROLE_GATEWAY:
      if (parser->gateway_line == 0)
        parser_require_key (parser, false, "gateway", "listen");
      parser_reject_section (parser, parser->entry_line, "entry",
                             "a gateway's section is [gateway]");
      parser_reject_section (parser, parser->sidecar_line, "sidecar",
                             "a gateway connects to upstreams itself");
      parser_reject_section (
          parser, parser->upstream_line, "upstream",
          "a gateway finds upstreams in the platform's store");
      break;
    case ROLE_STANDALONE:
      parser_check_entry (parser);
      parser_reject_section (parser, parser->sidecar_line, "sidecar",
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
    parser_require_key (parser, pub->platform_address.len > 0, "platform",
                        "address");
  else if (pub->role != ROLE_STANDALONE)
    conf_errors_add (parser->errors, 0,
                     "set `kind = http' and `address', or use the role "
                     "`standalone'",
                     "the in-memory platform is not shared between processes");
}

/* Check the names that ITEM serves, and set its feature bits.  */
static void
parser_check_upstream (parser_t *parser, upstream_item_t *item)
{
  for (size_t i = 0; i < item->serves.count; i++)
    {
      str_t name = item->serves.items[i];
      bool is_valid = item->pub.is_service ? schema_is_valid_name (name)
                                           : schema_is_valid_version (name);
      if (!is_valid)
        conf_errors_add (parser->errors, item->serves.line,
                         item->pub.is_service
                             ? "a service is named without a version"
                             : "write MODEL@VERSION, or `kind = service'",
                         "`serves' cannot hold `%.*s'", STR_ARG (name));
    }
  for (size_t i = 0; i < item->features.count; i++)
    {
      str_t name = item->features.items[i];
      closest_match_t match = closest_match_make (name);
      buf_t hint = BUF_NULL;
      size_t bit = 0;
      for (; feature_names[bit] != NULL; bit++)
        {
          if (str_eq (name, str_from (feature_names[bit])))
            break;
          closest_match_add_candidate (&match, str_from (feature_names[bit]));
        }
      if (feature_names[bit] != NULL)
        item->pub.features |= 1u << bit;
      else
        conf_errors_add (
            parser->errors, item->features.line,
            closest_match_hint (
                &match,
                "known features: load-report, cache-events, resume, "
                "priority, orders, fencing, kv",
                &hint),
            "unknown feature `%.*s'", STR_ARG (name));
      buf_free (&hint);
    }
  if (item->pub.limit_initial > item->pub.limit_max)
    conf_errors_add (parser->errors, item->line, NULL,
                     "`limit-start' is above `limit-max'");
}

/* Copy the items of LIST to ARENA and return them.  */
static str_t *
list_copy (arena_t *arena, const value_list_t *list)
{
  str_t *items = arena_alloc (arena, (list->count + 1) * sizeof *items);

  for (size_t i = 0; i < list->count; i++)
    items[i] = arena_str (arena, list->items[i]);
  return items;
}

/* Copy all lists from the scratch arena to the result.  */
static void
parser_build_result (parser_t *parser)
{
  settings_t *pub = &parser->pub;
  arena_t *arena = &parser->arena;

  pub->log_level = str_from (log_level_names[parser->log_level]);
  pub->rpc_keys = list_copy (arena, &parser->rpc_keys);
  pub->rpc_keys_count = parser->rpc_keys.count;
  pub->upstreams_count = parser->upstreams_count;
  pub->upstreams = arena_alloc (arena, (parser->upstreams_count + 1)
                                           * sizeof *pub->upstreams);
  for (size_t i = 0; i < parser->upstreams_count; i++)
    {
      const upstream_item_t *item = parser->upstreams[i];
      pub->upstreams[i] = item->pub;
      pub->upstreams[i].served_names = list_copy (arena, &item->serves);
      pub->upstreams[i].served_name_count = item->serves.count;
    }
  pub->peers_count = parser->peers_count;
  pub->peers
      = arena_alloc (arena, (parser->peers_count + 1) * sizeof *pub->peers);
  for (size_t i = 0; i < parser->peers_count; i++)
    pub->peers[i] = parser->peers[i]->pub;
}

vh_code_t
settings_parse (str_t text, settings_t **out, conf_errors_t *errors)
{
  parser_t *parser = mem_zalloc (sizeof *parser);
  size_t error_count_before = errors->count;

  *out = NULL;
  parser->errors = errors;
  parser_set_defaults (parser);
  schema_parse (&settings_schema, text, parser, &parser->arena,
                &parser->scratch, errors);
  for (size_t i = 0; i < parser->upstreams_count; i++)
    parser_check_upstream (parser, parser->upstreams[i]);
  if (parser->pub.drain_grace_ms > parser->pub.drain_timeout_ms)
    conf_errors_add (errors, 0, NULL,
                     "`drain-grace-ms' is above `drain-bound-ms'");
  /* Without a valid [process] section the role is unknown, and the checks that
     depend on the role are left out.  */
  if (parser->pub.name.len == 0)
    conf_errors_add (errors, 0,
                     "set `name', `role', "
                     "`availability-zone' and `admin'",
                     "[process] is missing or has no name");
  else
    {
      parser_check_role (parser);
      parser_check_platform (parser);
    }
  schema_sort_errors (errors);
  if (errors->count == error_count_before)
    {
      parser_build_result (parser);
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

/* If *FILE is a relative path, resolve it from the directory of the settings
   file PATH, so that it does not depend on the working directory.  */
static void
parser_resolve_path (parser_t *parser, const char *path, str_t *file)
{
  const char *slash = strrchr (path, '/');
  buf_t resolved = BUF_NULL;

  if (file->len == 0 || file->ptr[0] == '/' || slash == NULL)
    return;
  buf_append (&resolved, path, (size_t)(slash - path) + 1);
  buf_append_str (&resolved, *file);
  *file = arena_str (&parser->arena, buf_str (&resolved));
  buf_free (&resolved);
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
      parser_resolve_path (parser, path, &(*out)->configuration_file);
      parser_resolve_path (parser, path, &(*out)->tls_certificate);
      parser_resolve_path (parser, path, &(*out)->tls_key);
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
  arena_free (&parser->arena);
  free (parser);
}
