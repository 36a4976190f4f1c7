#include "policy/fanout.h"

#include "base/map.h"
#include "base/mem.h"
#include "base/rng.h"

#include <stdlib.h>

typedef struct
{
  uint64_t name_hash;
  uint64_t zone_hash; /* Hash of the zone's name.  */
  uint32_t link_mbps;
  uint64_t silent_until_ms;
  uint64_t not_ready_until_ms;
  void *owner;
} peer_t;

struct fanout
{
  clock_iface_t *clock;
  rng_t rng;
  peer_t self;
  map_t *peers; /* The other gateways by name.  */
  bool is_leaving;
  uint64_t own_zone_until_ms; /* Time until which no gateway of another zone is
                                 used as a source.  */
  uint64_t store_down_until_ms; /* Time until which the store counts as down
                                   for this gateway; set when the store did not
                                   respond.  */
  uint64_t store_up_until_ms;   /* Time until which the store counts as
                                   reachable; set when the store responded.  */
  uint64_t next_probe_ms;       /* Earliest next probe of the store; 0 if none
                                   was made.  */
};

static peer_t
make_peer (str_t name, str_t zone, uint32_t link_mbps, void *owner)
{
  return (peer_t){ .name_hash = str_hash (name, 5),
                   .zone_hash = str_hash (zone, 0),
                   .link_mbps = link_mbps,
                   .owner = owner };
}

fanout_t *
fanout_create (clock_iface_t *clock, uint64_t seed, str_t name, str_t zone,
               uint32_t link_mbps)
{
  fanout_t *fanout = mem_zalloc (sizeof *fanout);

  fanout->clock = clock;
  fanout->rng = rng_make (seed);
  fanout->self = make_peer (name, zone, link_mbps, NULL);
  fanout->peers = map_create ();
  return fanout;
}

void
fanout_destroy (fanout_t *fanout)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  if (fanout == NULL)
    return;
  while (map_next (fanout->peers, &cursor, &key, &value))
    free (value);
  map_destroy (fanout->peers);
  free (fanout);
}

void
fanout_put (fanout_t *fanout, str_t name, str_t zone, uint32_t link_mbps,
            void *owner)
{
  peer_t *peer = mem_alloc (sizeof *peer);

  *peer = make_peer (name, zone, link_mbps, owner);
  free (map_put (fanout->peers, name, peer));
}

void
fanout_remove (fanout_t *fanout, str_t name)
{
  free (map_remove (fanout->peers, name));
}

void
fanout_stop_serving (fanout_t *fanout)
{
  fanout->is_leaving = true;
}

static bool
ranks_before (const peer_t *a, const peer_t *b)
{
  return a->link_mbps != b->link_mbps ? a->link_mbps > b->link_mbps
                                      : a->name_hash < b->name_hash;
}

static bool
is_large_fleet (const fanout_t *fanout)
{
  return map_size (fanout->peers) >= FANOUT_SMALL_FLEET_MAX;
}

static bool
cannot_read_store (const fanout_t *fanout, uint64_t now_ms)
{
  return fanout->is_leaving || now_ms < fanout->store_down_until_ms;
}

/* Return the first in rank of the other gateways that may be used as a source,
   or NULL.  With OWN_ZONE_ONLY set only those of this zone are considered,
   with INCLUDE_NOT_READY also those that reported no current data.  */
static const peer_t *
first_source (const fanout_t *fanout, bool own_zone_only,
              bool include_not_ready, uint64_t now_ms)
{
  const peer_t *found = NULL;
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (fanout->peers, &cursor, &key, &value))
    {
      const peer_t *peer = value;
      if (now_ms < peer->silent_until_ms
          || (!include_not_ready && now_ms < peer->not_ready_until_ms)
          || (own_zone_only && peer->zone_hash != fanout->self.zone_hash)
          || (found != NULL && ranks_before (found, peer)))
        continue;
      found = peer;
    }
  return found;
}

/* Return the first in rank of the other gateways, or NULL.  In a large fleet a
   gateway that reported no current data keeps its rank: the gateways after
   that one read from it as well, and have no current data either.  */
static const peer_t *
first_other (const fanout_t *fanout, bool own_zone_only, uint64_t now_ms)
{
  return first_source (fanout, own_zone_only, is_large_fleet (fanout), now_ms);
}

/* Return whether this gateway ranks before OTHER, the first in rank of the
   other gateways; true if OTHER is NULL.  */
static bool
is_first_in_rank (const fanout_t *fanout, const peer_t *other)
{
  return other == NULL || ranks_before (&fanout->self, other);
}

/* Return FANOUT_READS_STORE if this gateway is the root; otherwise ROLE, with
   the owner of OTHER in *OWNER.  A root that cannot read from the store uses
   OTHER, the first of the others, which may read from the store itself.  */
static fanout_role_t
choose_root_role (fanout_t *fanout, const peer_t *other, fanout_role_t role,
                  uint64_t now_ms, void **owner)
{
  if (other == NULL
      || (!cannot_read_store (fanout, now_ms)
          && is_first_in_rank (fanout, other)))
    return FANOUT_READS_STORE;
  *owner = other->owner;
  return role;
}

fanout_role_t
fanout_choose_source (fanout_t *fanout, void **owner)
{
  uint64_t now_ms = clock_ms (fanout->clock);
  bool own_zone_only = now_ms < fanout->own_zone_until_ms;
  const peer_t *other = first_other (fanout, own_zone_only, now_ms);

  *owner = NULL;
  if (!is_large_fleet (fanout))
    return choose_root_role (fanout, other, FANOUT_READS_HEAD, now_ms, owner);
  const peer_t *first_in_zone = first_other (fanout, true, now_ms);
  if (is_first_in_rank (fanout, first_in_zone))
    return choose_root_role (fanout, other, FANOUT_READS_ROOT, now_ms, owner);
  *owner = first_in_zone->owner;
  return FANOUT_READS_HEAD;
}

void *
fanout_next_source (fanout_t *fanout)
{
  uint64_t now_ms = clock_ms (fanout->clock);
  bool own_zone_only = now_ms < fanout->own_zone_until_ms;
  const peer_t *other = first_other (fanout, own_zone_only, now_ms);

  /* The store may refuse only this gateway, and others may read from it.  */
  if (cannot_read_store (fanout, now_ms))
    other = first_source (fanout, own_zone_only, false, now_ms);
  else if (is_first_in_rank (fanout, other))
    return NULL;
  return other != NULL ? other->owner : NULL;
}

void
fanout_source_failed (fanout_t *fanout, str_t name, bool silent)
{
  uint64_t now_ms = clock_ms (fanout->clock);
  peer_t *peer = map_get (fanout->peers, name);

  if (peer == NULL)
    return;
  if (!silent)
    {
      peer->not_ready_until_ms = now_ms + FANOUT_NOT_READY_BACKOFF_MS;
      return;
    }
  peer->silent_until_ms = now_ms + FANOUT_SILENT_BACKOFF_MS;
  if (peer->zone_hash != fanout->self.zone_hash)
    fanout->own_zone_until_ms = now_ms + FANOUT_OWN_ZONE_ONLY_MS;
}

void
fanout_store_call_ended (fanout_t *fanout, bool responded)
{
  uint64_t now_ms = clock_ms (fanout->clock);

  fanout->store_down_until_ms
      = responded ? 0 : now_ms + FANOUT_STORE_BACKOFF_MS;
  fanout->store_up_until_ms
      = responded ? now_ms + FANOUT_PROBE_INTERVAL_MAX_MS : 0;
}

bool
fanout_is_store_reachable (const fanout_t *fanout)
{
  return clock_ms (fanout->clock) < fanout->store_up_until_ms;
}

bool
fanout_may_probe_store (fanout_t *fanout)
{
  uint64_t now_ms = clock_ms (fanout->clock);
  uint64_t interval_ms
      = (map_size (fanout->peers) + 1) * FANOUT_PROBE_INTERVAL_PER_GATEWAY_MS;
  bool own_zone_only = now_ms < fanout->own_zone_until_ms;
  bool is_root
      = is_first_in_rank (fanout, first_other (fanout, own_zone_only, now_ms));

  if (fanout_is_store_reachable (fanout))
    return true;
  if (is_root)
    interval_ms = FANOUT_ROOT_PROBE_INTERVAL_MS;
  else if (interval_ms > FANOUT_PROBE_INTERVAL_MAX_MS)
    interval_ms = FANOUT_PROBE_INTERVAL_MAX_MS;
  /* Gateways that learn of an outage at the same time probe the store at
     random times within the interval.  */
  if (is_large_fleet (fanout) && !is_root
      && (fanout->next_probe_ms == 0
          || now_ms > fanout->next_probe_ms + FANOUT_PROBE_INTERVAL_MAX_MS))
    fanout->next_probe_ms = now_ms + rng_below (&fanout->rng, interval_ms);
  if (now_ms < fanout->next_probe_ms)
    return false;
  fanout->next_probe_ms = now_ms + interval_ms;
  return true;
}
