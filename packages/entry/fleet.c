/* The known instances with their connections, pools and load.  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  /* Control traffic of idle connections.  A ping and its reply take about 400
     bytes; an entry may use 3 KB per second in all.  */
  PING_BYTES = 400,
  PING_BUDGET_BYTES_PER_S = 1500,
  PING_MIN_MS = 1000,
  PING_MAX_MS = 30000,
  ENTRY_CONNECTIONS_MEAN = 12,
  ALIVE_EVENT_INTERVAL_MS = 1000,
  SUBSET_MAX = 512,
  CHOOSE_CONNECTIONS_INTERVAL_MS = 1000,
  PINGS_PER_TICK_MAX = 16
};

static void
pool_free (pool_t *pool)
{
  map_destroy (pool->outlier_members);
  outlier_destroy (pool->outlier);
  admission_destroy (pool->admission);
  retry_destroy (pool->retry);
  free (pool->name);
  free (pool);
}

pool_t *
fleet_get_pool (entry_t *entry, str_t target)
{
  const retry_config_t retries
      = { .share = entry->settings->retry_budget_ratio,
          .burst = entry->settings->retry_burst };
  pool_t *pool = map_get (entry->pools, target);

  if (pool != NULL)
    return pool;
  pool = mem_zalloc (sizeof *pool);
  pool->name = str_dup (target);
  pool->id = balance_find_or_add_pool (entry->balance, target);
  pool->retry = retry_create (&retries, &entry->rng);
  pool->admission = admission_create (entry->clock, &entry->rng);
  pool->outlier
      = outlier_create (entry->settings->ejected_share_max, entry->clock);
  pool->outlier_members = map_create ();
  map_put (entry->pools, target, pool);
  return pool;
}

member_t *
fleet_find_member (entry_t *entry, upstream_id_t id)
{
  balance_info_t info;

  if (!balance_info (entry->balance, id, &info))
    return NULL;
  return map_get (entry->members, info.name);
}

bool
member_serves (const member_t *member, str_t target)
{
  for (size_t i = 0; i < member->serves_count; i++)
    if (str_eq (member->serves[i], target))
      return true;
  return false;
}

static void
record_latency (pool_t *pool, uint64_t latency_us)
{
  if (pool->latency_mean_us == 0)
    {
      pool->latency_mean_us = latency_us;
      pool->latency_dev_us = latency_us / 2;
      return;
    }
  uint64_t deviation = latency_us > pool->latency_mean_us
                           ? latency_us - pool->latency_mean_us
                           : pool->latency_mean_us - latency_us;
  pool->latency_mean_us = (7 * pool->latency_mean_us + latency_us) / 8;
  pool->latency_dev_us = (3 * pool->latency_dev_us + deviation) / 4;
}

/* Apply the pending ejections and returns of POOL's outlier detection.  */
static void
apply_ejections (entry_t *entry, pool_t *pool)
{
  outlier_state_t state;
  member_t *member;

  while ((member = outlier_next_change (pool->outlier, &state)) != NULL)
    {
      bool is_ejected = state == OUTLIER_EJECTED;
      if (member->upstream_id != 0)
        balance_set_mark (entry->balance, member->upstream_id, BALANCE_EJECTED,
                          is_ejected);
      log_notice ("entry", "%s. instance=%s pool=%s",
                  is_ejected ? "Upstream is ejected"
                             : "Upstream is returned to service",
                  member->name, pool->name);
    }
}

void
fleet_record_result (entry_t *entry, pool_t *pool, member_t *member, bool ok,
                     uint64_t latency_us, uint32_t units)
{
  str_t name = str_from (member->name);
  outlier_member_t *outlier_member = map_get (pool->outlier_members, name);

  if (member->removed)
    return;
  if (outlier_member == NULL)
    {
      outlier_member = outlier_add_member (pool->outlier, member);
      map_put (pool->outlier_members, name, outlier_member);
    }
  /* A warming upstream is slow because its concurrency limit is still low.  If
     its latency were recorded, the upstream would be ejected just after it has
     warmed up.  */
  outlier_record (pool->outlier, outlier_member, ok,
                  member->load.warming ? 0 : latency_us, units);
  if (ok)
    {
      record_latency (pool, latency_us);
      retry_record_latency (pool->retry, latency_us);
    }
  apply_ejections (entry, pool);
}

static void
report_event (member_t *member, instance_event_t event)
{
  const entry_t *entry = member->entry;

  if (!entry->destroyed)
    entry->options.callbacks->on_instance_event (
        entry->options.arg, str_from (member->name), event);
}

static void
on_peer_state (void *arg, rpc_peer_state_t state)
{
  member_t *member = arg;

  member->unreachable = state != RPC_UP;
  if (member->unreachable)
    report_event (member, INSTANCE_EVENT_UNREACHABLE);
  else
    /* A request may open the connection before the first ping, but only the
       reply to a ping lists the served targets and the features.  */
    rpc_peer_ping (member->peer);
  if (member->upstream_id != 0)
    balance_set_mark (member->entry->balance, member->upstream_id,
                      BALANCE_UNREACHABLE, member->unreachable);
  log_info ("entry", "Connection is %s. instance=%s",
            state == RPC_UP             ? "up"
            : state == RPC_UNRESPONSIVE ? "silent"
                                        : "down",
            member->name);
}

static void
set_served_targets (member_t *member, const str_t *serves, size_t count)
{
  for (size_t i = 0; i < member->serves_count; i++)
    free ((char *)(uintptr_t)member->serves[i].ptr);
  free (member->serves);
  member->serves = mem_zalloc ((count + 1) * sizeof *member->serves);
  member->serves_count = count;
  for (size_t i = 0; i < count; i++)
    member->serves[i] = str_make (str_dup (serves[i]), serves[i].len);
}

static bool
serves_same_targets (const member_t *member, const str_t *serves, size_t count)
{
  if (member->serves_count != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!str_eq (member->serves[i], serves[i]))
      return false;
  return true;
}

/* Update the served targets and the BALANCE_ marks (draining, unreachable,
   disabled) of MEMBER at the balancer.  */
static void
update_balancer (member_t *member)
{
  entry_t *entry = member->entry;
  const snapshot_t *snapshot = entry->snapshot;

  if (member->is_entry)
    return;
  for (size_t i = 0; i < member->serves_count; i++)
    fleet_get_pool (entry, member->serves[i]);
  member->upstream_id = balance_update (
      entry->balance, str_from (member->name), str_from (member->zone),
      member->serves, member->serves_count, member->upstream_id != 0);
  balance_set_mark (entry->balance, member->upstream_id, BALANCE_DRAINING,
                    member->draining || member->leaving);
  balance_set_mark (entry->balance, member->upstream_id, BALANCE_UNREACHABLE,
                    member->unreachable);
  balance_set_mark (entry->balance, member->upstream_id, BALANCE_DISABLED,
                    snapshot != NULL
                        && !snapshot_is_instance_enabled (
                            snapshot, str_from (member->name)));
}

/* Process the reply to a ping.  The targets reported by a sidecar take
   precedence over those in the platform's list, which may be late or
   incomplete.  */
static void
on_pong (void *arg, const wire_ping_res_t *pong)
{
  member_t *member = arg;
  size_t count = pong->serves.serves_len;

  for (u_int i = 0; i < pong->suspects.suspects_len; i++)
    guard_record_crash (member->entry, &pong->suspects.suspects_val[i]);
  member->features = pong->features;
  if (pong->orphans > 0)
    peering_fetch_orphaned_bills (member);
  if (member->is_entry || count == 0)
    return;
  str_t *serves = mem_zalloc (count * sizeof *serves);
  for (size_t i = 0; i < count; i++)
    serves[i] = str_from (pong->serves.serves_val[i]);
  if (!serves_same_targets (member, serves, count))
    {
      set_served_targets (member, serves, count);
      update_balancer (member);
    }
  free (serves);
}

static const rpc_peer_events_t peer_events = { on_peer_state, on_pong };

static void
member_free (member_t *member)
{
  set_served_targets (member, NULL, 0);
  free (member->serves);
  rpc_peer_destroy (member->peer);
  free (member->name);
  free (member->zone);
  free (member->address);
  free (member);
}

void
fleet_member_unref (member_t *member)
{
  if (--member->ref_count == 0 && member->removed)
    member_free (member);
}

static void
set_idle_ping_interval (entry_t *entry)
{
  uint64_t interval_ms = map_size (entry->members) * PING_BYTES * 1000
                         / PING_BUDGET_BYTES_PER_S;

  if (interval_ms < PING_MIN_MS)
    interval_ms = PING_MIN_MS;
  if (interval_ms > PING_MAX_MS)
    interval_ms = PING_MAX_MS;
  rpc_node_set_idle_ping_ms (entry->node, interval_ms);
}

static void
parse_served_targets (member_t *member, str_t text)
{
  str_t list[WIRE_SERVES_MAX];
  size_t count = 0;
  str_t rest = text;

  while (rest.len > 0 && count < WIRE_SERVES_MAX)
    {
      str_t target = str_trim (str_cut (rest, ',', &rest));
      if (str_starts_with (target, STR ("service:")))
        target = str_make (target.ptr + 8, target.len - 8);
      if (target.len > 0)
        list[count++] = target;
    }
  if (count > 0)
    set_served_targets (member, list, count);
}

/* Remove MEMBER from the maps and from the balancer.  The memory is freed when
   the last reference is dropped.  */
static void
member_remove (member_t *member)
{
  entry_t *entry = member->entry;
  size_t cursor = 0;
  void *value;

  map_remove (entry->members, str_from (member->name));
  balance_remove (entry->balance, str_from (member->name));
  member->upstream_id = 0;
  while (map_next (entry->pools, &cursor, NULL, &value))
    {
      pool_t *pool = value;
      outlier_member_t *outlier_member
          = map_remove (pool->outlier_members, str_from (member->name));
      if (outlier_member != NULL)
        outlier_remove_member (pool->outlier, outlier_member);
    }
  member->removed = true;
  if (member->ref_count == 0)
    member_free (member);
  set_idle_ping_interval (entry);
}

void
entry_remove_instance (entry_t *entry, str_t name)
{
  member_t *member = map_get (entry->members, name);

  if (member != NULL)
    member_remove (member);
}

void
entry_put_instance (entry_t *entry, const instance_row_t *row)
{
  member_t *member = map_get (entry->members, row->name);

  if (str_eq (row->name, entry->settings->name))
    return;
  if (member != NULL
      && (!str_eq (str_from (member->address), row->address)
          || !str_eq (str_from (member->zone), row->zone)))
    {
      member_remove (member);
      member = NULL;
    }
  if (member == NULL)
    {
      member = mem_zalloc (sizeof *member);
      member->entry = entry;
      member->name = str_dup (row->name);
      member->zone = str_dup (row->zone);
      member->address = str_dup (row->address);
      member->is_entry = str_eq (row->role, STR ("entry"));
      member->serves = mem_zalloc (sizeof *member->serves);
      member->peer
          = rpc_peer_create (entry->node, row->address, &peer_events, member);
      if (member->peer == NULL)
        {
          log_warning (
              "entry",
              "The address of an instance is not valid; the instance is "
              "ignored. instance=%s address=%s",
              member->name, member->address);
          member_free (member);
          return;
        }
      map_put (entry->members, row->name, member);
      set_idle_ping_interval (entry);
      entry->connections_chosen_ms = 0;
    }
  member->leaving = row->state == INSTANCE_LEAVING;
  if (member->serves_count == 0)
    parse_served_targets (member, row->serves);
  update_balancer (member);
}

void
fleet_on_peer_context (entry_t *entry, rpc_peer_t *peer,
                       const wire_context_t *context)
{
  member_t *member = rpc_peer_arg (peer);
  uint64_t own_revision
      = entry->snapshot != NULL ? snapshot_revision (entry->snapshot) : 0;

  if (member == NULL || member->removed)
    return;
  member->revision = context->revision;
  member->confirmation_age_ms = context->confirmed_ms;
  member->load = context->load;
  if (member->epoch != 0 && member->epoch != context->epoch)
    report_event (member, INSTANCE_EVENT_RESTARTED);
  member->epoch = context->epoch;
  uint64_t now_ms = clock_ms (entry->clock);
  if (now_ms - member->last_alive_event_ms >= ALIVE_EVENT_INTERVAL_MS)
    {
      member->last_alive_event_ms = now_ms;
      report_event (member, INSTANCE_EVENT_ALIVE);
    }
  if (member->draining != (bool)context->draining)
    {
      member->draining = context->draining;
      report_event (member, member->draining ? INSTANCE_EVENT_DRAINING_STARTED
                                             : INSTANCE_EVENT_DRAINING_ENDED);
      if (member->upstream_id != 0)
        balance_set_mark (entry->balance, member->upstream_id,
                          BALANCE_DRAINING,
                          member->draining || member->leaving);
    }
  if (member->upstream_id != 0)
    {
      const balance_load_t load = { .in_flight = context->load.in_flight,
                                    .slots = context->load.limit };
      balance_record_load (entry->balance, member->upstream_id, &load, 0);
    }
  if (context->revision < own_revision)
    peering_push_config (member, context->revision);
  else if (context->revision > own_revision)
    peering_pull_config (member);
  else if (member->is_entry)
    entry->options.callbacks->confirm_revision (
        entry->options.arg, own_revision, context->confirmed_ms);
}

void
fleet_config_changed (entry_t *entry)
{
  size_t cursor = 0;
  void *value;
  str_t zone;

  for (size_t i = 0;
       (zone = snapshot_zone_at (entry->snapshot, i)).ptr != NULL; i++)
    balance_set_zone_enabled (
        entry->balance, zone,
        snapshot_is_zone_enabled (entry->snapshot, zone));
  while (map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      update_balancer (member);
      /* The entry that ranks first for a member pushes a new configuration at
         once.  Other entries push only if a later message of the member still
         reports an old revision.  */
      if (rpc_peer_state (member->peer) == RPC_UP
          && peering_ranks_first (member))
        peering_push_config (member, member->revision);
    }
}

/* Return the priority of entry NAME for the shared duties of this entry's
   zone; a higher value ranks first.  */
static uint64_t
duty_priority (const entry_t *entry, str_t name)
{
  return str_hash (name, str_hash (entry->settings->zone, 6));
}

/* Tell whether this entry keeps a connection to the entry MEMBER.  Connections
   are kept to twelve entries on average, so that an update reaches all entries
   in a few rounds, and to the entries of the same zone with the highest duty
   priority, so that their duties are taken over when they fail.  */
static bool
is_chosen_peer (const member_t *member, size_t entry_count)
{
  const entry_t *entry = member->entry;
  str_t name = str_from (member->name);
  uint64_t hash = str_hash (name, str_hash (entry->settings->name, 9));

  if (entry_count <= ENTRY_CONNECTIONS_MEAN
      || hash % entry_count < ENTRY_CONNECTIONS_MEAN)
    return true;
  return str_eq (str_from (member->zone), entry->settings->zone)
         && duty_priority (entry, name) > UINT64_MAX - UINT64_MAX / 16;
}

static size_t
count_entries (const entry_t *entry)
{
  size_t cursor = 0;
  size_t count = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    count += ((member_t *)value)->is_entry;
  return count;
}

/* Choose the members to keep connections to: some entries, and the balancer's
   subset of each pool.  */
static void
choose_connections (entry_t *entry)
{
  upstream_id_t ids[SUBSET_MAX];
  size_t entry_count = count_entries (entry);
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      /* A sidecar whose targets are unknown is pinged for them.  */
      member->keep_connected = member->is_entry
                                   ? is_chosen_peer (member, entry_count)
                                   : member->serves_count == 0;
    }
  cursor = 0;
  while (map_next (entry->pools, &cursor, NULL, &value))
    {
      const pool_t *pool = value;
      size_t count
          = balance_subset (entry->balance, pool->id, ids, SUBSET_MAX);
      for (size_t i = 0; i < count && i < SUBSET_MAX; i++)
        {
          member_t *member = fleet_find_member (entry, ids[i]);
          if (member != NULL)
            member->keep_connected = true;
        }
    }
}

/* Ping chosen members without a connection, and unreachable members, a bounded
   number of them per tick.  A ping opens the connection.  */
static void
ping_disconnected (entry_t *entry, uint64_t now_ms)
{
  size_t cursor = 0;
  size_t pings_left = PINGS_PER_TICK_MAX;
  void *value;

  while (pings_left > 0 && map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      if (rpc_peer_state (member->peer) == RPC_UP
          || !(member->keep_connected || member->unreachable)
          || now_ms - member->last_ping_ms < PING_MIN_MS)
        continue;
      member->last_ping_ms = now_ms;
      rpc_peer_ping (member->peer);
      pings_left--;
    }
}

void
fleet_tick (entry_t *entry, uint64_t now_ms)
{
  size_t cursor = 0;
  void *value;

  if (now_ms - entry->connections_chosen_ms >= CHOOSE_CONNECTIONS_INTERVAL_MS)
    {
      entry->connections_chosen_ms = now_ms;
      choose_connections (entry);
    }
  ping_disconnected (entry, now_ms);
  while (map_next (entry->pools, &cursor, NULL, &value))
    {
      pool_t *pool = value;
      apply_ejections (entry, pool);
      admission_set_pressure (pool->admission,
                              balance_pressure (entry->balance, pool->id));
    }
}

size_t
entry_count_known_entries (const entry_t *entry)
{
  return count_entries (entry) + 1;
}

size_t
entry_zone_rank (const entry_t *entry)
{
  uint64_t own_priority = duty_priority (entry, entry->settings->name);
  size_t rank = 0;
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      const member_t *member = value;
      if (member->is_entry && !member->unreachable && !member->draining
          && !member->leaving
          && str_eq (str_from (member->zone), entry->settings->zone)
          && duty_priority (entry, str_from (member->name)) > own_priority)
        rank++;
    }
  return rank;
}

void
fleet_destroy (entry_t *entry)
{
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      /* Calls in flight hold references to the member; destroying the peer
         cancels them.  */
      rpc_peer_destroy (((member_t *)value)->peer);
      member_remove (value);
      cursor = 0;
    }
  cursor = 0;
  while (map_next (entry->pools, &cursor, NULL, &value))
    pool_free (value);
  map_destroy (entry->members);
  map_destroy (entry->pools);
}

static const char *
member_state (const member_t *member, unsigned marks)
{
  if (member->draining || member->leaving)
    return "draining";
  if ((marks & BALANCE_DISABLED) != 0)
    return "out";
  if (rpc_peer_state (member->peer) != RPC_UP)
    return "silent";
  return (marks & BALANCE_EJECTED) != 0 ? "ejected" : "live";
}

static void
member_status (const member_t *member, uint64_t now_ms, buf_t *is_ejected)
{
  balance_info_t info = { 0 };
  uint64_t heard_ms = rpc_peer_last_reply_ms (member->peer);

  if (member->upstream_id != 0)
    balance_info (member->entry->balance, member->upstream_id, &info);
  buf_printf (is_ejected,
              "{\"name\":\"%s\",\"role\":\"%s\",\"zone\":\"%s\","
              "\"state\":\"%s\",\"revision\":%llu,\"heard_ms_ago\":%llu,"
              "\"in_flight\":%u,\"limit\":%u,\"queue\":%u,\"serves\":[",
              member->name, member->is_entry ? "entry" : "sidecar",
              member->zone, member_state (member, info.marks),
              (unsigned long long)member->revision,
              (unsigned long long)(heard_ms > 0 ? now_ms - heard_ms : 0),
              member->load.in_flight, member->load.limit, member->load.queued);
  for (size_t i = 0; i < member->serves_count; i++)
    buf_printf (is_ejected, "%s\"%.*s\"", i > 0 ? "," : "",
                STR_ARG (member->serves[i]));
  buf_printf (is_ejected, "]}");
}

void
fleet_status (entry_t *entry, buf_t *is_ejected)
{
  uint64_t now_ms = clock_ms (entry->clock);
  size_t cursor = 0;
  bool first = true;
  void *value;

  buf_printf (is_ejected, "\"peers\":[");
  while (map_next (entry->members, &cursor, NULL, &value))
    {
      if (!first)
        buf_append_char (is_ejected, ',');
      first = false;
      member_status (value, now_ms, is_ejected);
    }
  buf_printf (is_ejected, "]");
}
