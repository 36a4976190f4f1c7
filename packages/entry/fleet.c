/* The instances this entry knows, their connections, pools and load.  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  /* Control traffic of idle connections: a ping and its answer are about 400
     bytes, and an entry may spend 3 KB a second.  */
  PING_BYTES = 400,
  PING_BUDGET_BYTES_PER_S = 1500,
  PING_MIN_MS = 1000,
  PING_MAX_MS = 30000,
  ENTRY_PEERS = 12,
  HEARD_EVERY_MS = 1000,
  SUBSET_ROOM = 512,
  WANTED_MS = 1000,
  PINGS_PER_TICK = 16
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
fleet_pool (entry_t *entry, str_t target)
{
  const retry_config_t retries = { .share = entry->settings->retry_share,
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
      = outlier_create (entry->settings->outlier_share, entry->clock);
  pool->outlier_members = map_create ();
  map_put (entry->pools, target, pool);
  return pool;
}

member_t *
fleet_member (entry_t *entry, upstream_id_t id)
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
learn_latency (pool_t *pool, uint64_t latency_us)
{
  if (pool->latency_us == 0)
    {
      pool->latency_us = latency_us;
      pool->latency_dev_us = latency_us / 2;
      return;
    }
  uint64_t gap = latency_us > pool->latency_us ? latency_us - pool->latency_us
                                               : pool->latency_us - latency_us;
  pool->latency_us = (7 * pool->latency_us + latency_us) / 8;
  pool->latency_dev_us = (3 * pool->latency_dev_us + gap) / 4;
}

/* Apply what the watch over POOL has decided.  */
static void
apply_ejections (entry_t *entry, pool_t *pool)
{
  outlier_state_t state;
  member_t *member;

  while ((member = outlier_next_change (pool->outlier, &state)) != NULL)
    {
      bool out = state == OUTLIER_EJECTED;
      if (member->id != 0)
        balance_set_mark (entry->balance, member->id, BALANCE_EJECTED, out);
      log_notice ("entry", "%s. instance=%s pool=%s",
                  out ? "Upstream is ejected" : "Upstream is let back",
                  member->name, pool->name);
    }
}

void
fleet_record (entry_t *entry, pool_t *pool, member_t *member, bool ok,
              uint64_t latency_us, uint32_t units)
{
  str_t name = str_from (member->name);
  outlier_member_t *watched = map_get (pool->outlier_members, name);

  if (member->removed)
    return;
  if (watched == NULL)
    {
      watched = outlier_add_member (pool->outlier, member);
      map_put (pool->outlier_members, name, watched);
    }
  /* Slow while its limit holds it low for coldness: judged by that it would
     be ejected just when it is warm.  */
  outlier_record (pool->outlier, watched, ok,
                  member->load.warming ? 0 : latency_us, units);
  if (ok)
    {
      learn_latency (pool, latency_us);
      retry_record_latency (pool->retry, latency_us);
    }
  apply_ejections (entry, pool);
}

/* Connections.  */

static void
tell (member_t *member, instance_event_t sight)
{
  const entry_t *entry = member->entry;

  if (!entry->destroyed)
    entry->options.host->seen (entry->options.arg, str_from (member->name),
                               sight);
}

static void
on_peer_state (void *arg, rpc_peer_state_t state)
{
  member_t *member = arg;

  member->down = state != RPC_UP;
  if (member->down)
    tell (member, INSTANCE_EVENT_UNREACHABLE);
  else
    /* A request may have come before the first ping; what the process serves
       and can do is only in its pong.  */
    rpc_peer_ping (member->peer);
  if (member->id != 0)
    balance_set_mark (member->entry->balance, member->id, BALANCE_UNREACHABLE,
                      member->down);
  log_info ("entry", "Connection is %s. instance=%s",
            state == RPC_UP             ? "up"
            : state == RPC_UNRESPONSIVE ? "silent"
                                        : "down",
            member->name);
}

static void
set_serves (member_t *member, const str_t *serves, size_t count)
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
same_serves (const member_t *member, const str_t *serves, size_t count)
{
  if (member->serves_count != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!str_eq (member->serves[i], serves[i]))
      return false;
  return true;
}

/* Tell the balance what MEMBER serves and how it stands.  */
static void
publish (member_t *member)
{
  entry_t *entry = member->entry;
  const snapshot_t *snapshot = entry->snapshot;

  if (member->is_entry)
    return;
  for (size_t i = 0; i < member->serves_count; i++)
    fleet_pool (entry, member->serves[i]);
  member->id = balance_update (entry->balance, str_from (member->name),
                               str_from (member->zone), member->serves,
                               member->serves_count, member->id != 0);
  balance_set_mark (entry->balance, member->id, BALANCE_DRAINING,
                    member->draining || member->leaving);
  balance_set_mark (entry->balance, member->id, BALANCE_UNREACHABLE,
                    member->down);
  balance_set_mark (entry->balance, member->id, BALANCE_DISABLED,
                    snapshot != NULL
                        && !snapshot_is_instance_enabled (
                            snapshot, str_from (member->name)));
}

/* What a sidecar says it serves goes before the platform's list, which lags
   and may never have known.  */
static void
on_pong (void *arg, const wire_ping_res_t *pong)
{
  member_t *member = arg;
  size_t count = pong->serves.serves_len;

  for (u_int i = 0; i < pong->suspects.suspects_len; i++)
    guard_told (member->entry, &pong->suspects.suspects_val[i]);
  member->features = pong->features;
  if (pong->orphans > 0)
    peering_take_bills (member);
  if (member->is_entry || count == 0)
    return;
  str_t *serves = mem_zalloc (count * sizeof *serves);
  for (size_t i = 0; i < count; i++)
    serves[i] = str_from (pong->serves.serves_val[i]);
  if (!same_serves (member, serves, count))
    {
      set_serves (member, serves, count);
      publish (member);
    }
  free (serves);
}

static const rpc_peer_events_t peer_events = { on_peer_state, on_pong };

static void
member_free (member_t *member)
{
  set_serves (member, NULL, 0);
  free (member->serves);
  rpc_peer_destroy (member->peer);
  free (member->name);
  free (member->zone);
  free (member->address);
  free (member);
}

void
fleet_unuse (member_t *member)
{
  if (--member->in_use == 0 && member->removed)
    member_free (member);
}

static void
set_idle_ping (entry_t *entry)
{
  uint64_t ms = map_size (entry->members) * PING_BYTES * 1000
                / PING_BUDGET_BYTES_PER_S;

  if (ms < PING_MIN_MS)
    ms = PING_MIN_MS;
  if (ms > PING_MAX_MS)
    ms = PING_MAX_MS;
  rpc_node_set_idle_ping_ms (entry->node, ms);
}

static void
split_serves (member_t *member, str_t text)
{
  str_t list[WIRE_SERVES_MAX];
  size_t count = 0;
  str_t rest = text;

  while (rest.len > 0 && count < WIRE_SERVES_MAX)
    {
      str_t one = str_trim (str_cut (rest, ',', &rest));
      if (str_starts (one, STR ("service:")))
        one = str_make (one.ptr + 8, one.len - 8);
      if (one.len > 0)
        list[count++] = one;
    }
  if (count > 0)
    set_serves (member, list, count);
}

/* Forget MEMBER: at once, or when the last request that points at it ends.
   Its calls are given back first.  */
static void
member_remove (member_t *member)
{
  entry_t *entry = member->entry;
  size_t cursor = 0;
  void *value;

  map_remove (entry->members, str_from (member->name));
  balance_remove (entry->balance, str_from (member->name));
  member->id = 0;
  while (map_next (entry->pools, &cursor, NULL, &value))
    {
      pool_t *pool = value;
      outlier_member_t *watched
          = map_remove (pool->outlier_members, str_from (member->name));
      if (watched != NULL)
        outlier_remove_member (pool->outlier, watched);
    }
  member->removed = true;
  if (member->in_use == 0)
    member_free (member);
  set_idle_ping (entry);
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
          log_warning ("entry",
                       "An instance's address is not valid. "
                       "instance=%s address=%s",
                       member->name, member->address);
          member_free (member);
          return;
        }
      map_put (entry->members, row->name, member);
      set_idle_ping (entry);
      entry->wanted_ms = 0;
    }
  member->leaving = row->state == INSTANCE_LEAVING;
  if (member->serves_count == 0)
    split_serves (member, row->serves);
  publish (member);
}

void
fleet_see (entry_t *entry, rpc_peer_t *peer, const wire_context_t *context)
{
  member_t *member = rpc_peer_arg (peer);
  uint64_t mine
      = entry->snapshot != NULL ? snapshot_revision (entry->snapshot) : 0;

  if (member == NULL || member->removed)
    return;
  member->revision = context->revision;
  member->confirmed_ms = context->confirmed_ms;
  member->load = context->load;
  if (member->epoch != 0 && member->epoch != context->epoch)
    tell (member, INSTANCE_EVENT_RESTARTED);
  member->epoch = context->epoch;
  uint64_t now_ms = clock_ms (entry->clock);
  if (now_ms - member->told_ms >= HEARD_EVERY_MS)
    {
      member->told_ms = now_ms;
      tell (member, INSTANCE_EVENT_ALIVE);
    }
  if (member->draining != (bool)context->draining)
    {
      member->draining = context->draining;
      tell (member, member->draining ? INSTANCE_EVENT_DRAINING_STARTED
                                     : INSTANCE_EVENT_DRAINING_ENDED);
      if (member->id != 0)
        balance_set_mark (entry->balance, member->id, BALANCE_DRAINING,
                          member->draining || member->leaving);
    }
  if (member->id != 0)
    {
      const balance_load_t load = { .in_flight = context->load.in_flight,
                                    .slots = context->load.limit };
      balance_record_load (entry->balance, member->id, &load, 0);
    }
  if (context->revision < mine)
    peering_push (member, context->revision);
  else if (context->revision > mine)
    peering_pull (member);
  else if (member->is_entry)
    entry->options.host->confirm (entry->options.arg, mine,
                                  context->confirmed_ms);
}

void
fleet_configured (entry_t *entry)
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
      publish (member);
      /* A change goes at once from the entry that ranks first for a member;
         the others find out with their next message whether it came.  */
      if (rpc_peer_state (member->peer) == RPC_UP
          && peering_ranks_first (member))
        peering_push (member, member->revision);
    }
}

/* The rank of the entry NAME in the own zone; lower comes first.  */
static uint64_t
duty_rank (const entry_t *entry, str_t name)
{
  return str_hash (name, str_hash (entry->settings->zone, 6));
}

/* Tell whether a connection to the entry MEMBER is kept: to a dozen of them
   on average, so that what entries tell each other reaches all in a few
   rounds, and to the first of the own zone, whose duties others take over.  */
static bool
wants_entry (const member_t *member, size_t entries)
{
  const entry_t *entry = member->entry;
  str_t name = str_from (member->name);
  uint64_t draw = str_hash (name, str_hash (entry->settings->name, 9));

  if (entries <= ENTRY_PEERS || draw % entries < ENTRY_PEERS)
    return true;
  return str_eq (str_from (member->zone), entry->settings->zone)
         && duty_rank (entry, name) > UINT64_MAX - UINT64_MAX / 16;
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

/* Choose whom to keep connections to: the balance's subset of each pool.  */
static void
choose_wanted (entry_t *entry)
{
  upstream_id_t ids[SUBSET_ROOM];
  size_t entries = count_entries (entry);
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      /* One without any pool yet must be asked what it serves.  */
      member->wanted = member->is_entry ? wants_entry (member, entries)
                                        : member->serves_count == 0;
    }
  cursor = 0;
  while (map_next (entry->pools, &cursor, NULL, &value))
    {
      const pool_t *pool = value;
      size_t count
          = balance_subset (entry->balance, pool->id, ids, SUBSET_ROOM);
      for (size_t i = 0; i < count && i < SUBSET_ROOM; i++)
        {
          member_t *member = fleet_member (entry, ids[i]);
          if (member != NULL)
            member->wanted = true;
        }
    }
}

/* Connect to whom is wanted, and see whether those that were down are back, a
   bounded number at a time.  */
static void
ping_unconnected (entry_t *entry, uint64_t now_ms)
{
  size_t cursor = 0;
  size_t room = PINGS_PER_TICK;
  void *value;

  while (room > 0 && map_next (entry->members, &cursor, NULL, &value))
    {
      member_t *member = value;
      if (rpc_peer_state (member->peer) == RPC_UP
          || !(member->wanted || member->down)
          || now_ms - member->pinged_ms < PING_MIN_MS)
        continue;
      member->pinged_ms = now_ms;
      rpc_peer_ping (member->peer);
      room--;
    }
}

void
fleet_tick (entry_t *entry, uint64_t now_ms)
{
  size_t cursor = 0;
  void *value;

  if (now_ms - entry->wanted_ms >= WANTED_MS)
    {
      entry->wanted_ms = now_ms;
      choose_wanted (entry);
    }
  ping_unconnected (entry, now_ms);
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
  uint64_t mine = duty_rank (entry, entry->settings->name);
  size_t rank = 0;
  size_t cursor = 0;
  void *value;

  while (map_next (entry->members, &cursor, NULL, &value))
    {
      const member_t *member = value;
      if (member->is_entry && !member->down && !member->draining
          && !member->leaving
          && str_eq (str_from (member->zone), entry->settings->zone)
          && duty_rank (entry, str_from (member->name)) > mine)
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
      /* Calls in flight hold the member; they end here.  */
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
member_status (const member_t *member, uint64_t now_ms, buf_t *out)
{
  balance_info_t info = { 0 };
  uint64_t heard_ms = rpc_peer_last_reply_ms (member->peer);

  if (member->id != 0)
    balance_info (member->entry->balance, member->id, &info);
  buf_printf (out,
              "{\"name\":\"%s\",\"role\":\"%s\",\"zone\":\"%s\","
              "\"state\":\"%s\",\"revision\":%llu,\"heard_ms_ago\":%llu,"
              "\"in_flight\":%u,\"limit\":%u,\"queue\":%u,\"serves\":[",
              member->name, member->is_entry ? "entry" : "sidecar",
              member->zone, member_state (member, info.marks),
              (unsigned long long)member->revision,
              (unsigned long long)(heard_ms > 0 ? now_ms - heard_ms : 0),
              member->load.in_flight, member->load.limit, member->load.queued);
  for (size_t i = 0; i < member->serves_count; i++)
    buf_printf (out, "%s\"%.*s\"", i > 0 ? "," : "",
                STR_ARG (member->serves[i]));
  buf_printf (out, "]}");
}

void
fleet_status (entry_t *entry, buf_t *out)
{
  uint64_t now_ms = clock_ms (entry->clock);
  size_t cursor = 0;
  bool first = true;
  void *value;

  buf_printf (out, "\"peers\":[");
  while (map_next (entry->members, &cursor, NULL, &value))
    {
      if (!first)
        buf_append_char (out, ',');
      first = false;
      member_status (value, now_ms, out);
    }
  buf_printf (out, "]");
}
