#include "control/roster.h"

#include "base/map.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  /* With the jitter 730 entries read the list 195 times a second.  */
  PERIOD_MS = 5000,
  LINGER_MS = 10000,
  /* A departure that is listed just after an outage must be known within
     seconds, and half of the usual reads is no stampede.  */
  BACKOFF_PERIODS = 2
};

typedef enum
{
  LISTED_NOT_YET,
  LISTED_LIVE,
  LISTED_LEAVING,
  LISTED_GONE
} listed_t;

typedef enum
{
  SEEN_NOT_YET,
  SEEN_HEARD,
  SEEN_SILENT
} seen_t;

typedef struct
{
  roster_entry_t entry; /* Owns its strings.  */
  listed_t listed;
  seen_t seen;
  uint64_t heard_ms;
  bool draining;
  bool in_full; /* Met in the full list being read.  */
  size_t index; /* Where it stands in the roster.  */
} member_t;

struct roster
{
  store_t *store;
  control_env_t env;
  roster_options_t options;
  uv_timer_t timer;
  backoff_t backoff;
  bool polling;
  uint64_t sent_ms;
  bool was_read;
  uint64_t read_ms;
  uint64_t sequence;
  member_t **members;
  size_t count;
  size_t cap;
  map_t *by_name;
};

static uint64_t
now_ms (const roster_t *roster)
{
  return clock_ms (roster->env.clock);
}

static void
free_strings (roster_entry_t *entry)
{
  free ((char *)entry->name.ptr);
  free ((char *)entry->role.ptr);
  free ((char *)entry->zone.ptr);
  free ((char *)entry->region.ptr);
  free ((char *)entry->address.ptr);
  free ((char *)entry->serves.ptr);
}

static str_t
own (str_t s)
{
  return str_make (str_dup (s), s.len);
}

static void
set_row (roster_entry_t *entry, const instance_row_t *row)
{
  roster_entry_t old = *entry;

  *entry = (roster_entry_t){ .name = own (row->name),
                             .role = own (row->role),
                             .zone = own (row->zone),
                             .region = own (row->region),
                             .address = own (row->address),
                             .serves = own (row->serves),
                             .state = old.state };
  free_strings (&old);
}

static bool
same_row (const roster_entry_t *entry, const instance_row_t *row)
{
  return str_eq (entry->role, row->role) && str_eq (entry->zone, row->zone)
         && str_eq (entry->region, row->region)
         && str_eq (entry->address, row->address)
         && str_eq (entry->serves, row->serves);
}

static member_t *
find (const roster_t *roster, str_t name)
{
  return map_get (roster->by_name, name);
}

static void
tell (roster_t *roster, roster_event_t event, const member_t *member)
{
  if (roster->options.changed != NULL)
    roster->options.changed (roster->options.owner, event, &member->entry);
}

/* Return the state by the table at the head of roster.h.  */
static roster_state_t
state_of (const member_t *member)
{
  if (member->seen == SEEN_SILENT)
    return ROSTER_UNRESPONSIVE;
  if (member->draining || member->listed == LISTED_LEAVING
      || member->listed == LISTED_GONE)
    return ROSTER_DRAINING;
  return ROSTER_UP;
}

static bool
is_heard (const roster_t *roster, const member_t *member)
{
  return member->seen == SEEN_HEARD
         && now_ms (roster) - member->heard_ms < roster->options.linger_ms;
}

/* Tell whether MEMBER is neither listed nor heard.  */
static bool
is_over (const roster_t *roster, const member_t *member)
{
  bool listed
      = member->listed == LISTED_LIVE || member->listed == LISTED_LEAVING;

  return !listed && !is_heard (roster, member);
}

static void
remove_member (roster_t *roster, member_t *member)
{
  member_t *last = roster->members[--roster->count];

  roster->members[member->index] = last;
  last->index = member->index;
  map_remove (roster->by_name, member->entry.name);
  tell (roster, ROSTER_REMOVED, member);
  free_strings (&member->entry);
  free (member);
}

/* Bring the state of MEMBER up to what is known; CHANGED tells that its row
   did change.  MEMBER may be gone afterwards.  */
static void
settle (roster_t *roster, member_t *member, bool changed)
{
  roster_state_t state = state_of (member);

  if (is_over (roster, member))
    {
      remove_member (roster, member);
      return;
    }
  if (state == member->entry.state && !changed)
    return;
  member->entry.state = state;
  tell (roster, ROSTER_CHANGED, member);
}

static member_t *
add (roster_t *roster, const instance_row_t *row, listed_t listed, seen_t seen)
{
  member_t *member = mem_zalloc (sizeof *member);

  if (roster->count == roster->cap)
    {
      roster->cap = roster->cap > 0 ? roster->cap * 2 : 64;
      roster->members
          = mem_realloc (roster->members, roster->cap * sizeof (member_t *));
    }
  member->index = roster->count;
  roster->members[roster->count++] = member;
  map_put (roster->by_name, row->name, member);
  set_row (&member->entry, row);
  member->listed = listed;
  member->seen = seen;
  member->heard_ms = now_ms (roster);
  member->entry.state = state_of (member);
  tell (roster, ROSTER_ADDED, member);
  return member;
}

/* Take over ROW; one at a new address is a new process.  */
static bool
renew_row (member_t *member, const instance_row_t *row)
{
  if (same_row (&member->entry, row))
    return false;
  if (!str_eq (member->entry.address, row->address))
    {
      member->draining = false;
      member->seen = SEEN_NOT_YET;
    }
  set_row (&member->entry, row);
  return true;
}

static void
apply_row (roster_t *roster, const instance_row_t *row)
{
  static const listed_t listed[]
      = { LISTED_LIVE, LISTED_LEAVING, LISTED_GONE };
  member_t *member = find (roster, row->name);
  bool gone = row->state == INSTANCE_GONE;

  if (member == NULL && gone)
    return;
  if (member == NULL)
    member = add (roster, row, listed[row->state], SEEN_NOT_YET);
  member->in_full = true;
  member->listed = listed[row->state];
  /* The row of one that is gone may be empty but for its name.  */
  settle (roster, member, !gone && renew_row (member, row));
}

/* What a full list lacks is gone, unless it was never listed.  */
static void
drop_missing (roster_t *roster)
{
  for (size_t i = roster->count; i-- > 0;)
    {
      member_t *member = roster->members[i];
      bool missing = !member->in_full;
      member->in_full = false;
      if (!missing || member->listed == LISTED_NOT_YET)
        continue;
      member->listed = LISTED_GONE;
      settle (roster, member, false);
    }
}

static void
on_list (void *arg, vh_code_t code, uint64_t sequence, bool full,
         const instance_row_t *rows, size_t count)
{
  roster_t *roster = arg;

  roster->polling = false;
  if (code != VH_OK)
    return;
  backoff_reset (&roster->backoff);
  for (size_t i = 0; i < roster->count; i++)
    roster->members[i]->in_full = false;
  for (size_t i = 0; i < count; i++)
    apply_row (roster, &rows[i]);
  if (full)
    drop_missing (roster);
  roster->sequence = sequence;
  roster->was_read = true;
  roster->read_ms = roster->sent_ms;
}

void
roster_poll (roster_t *roster)
{
  if (roster->polling)
    return;
  roster->polling = true;
  roster->sent_ms = now_ms (roster);
  store_instances (roster->store, roster->sequence, on_list, roster);
}

/* Let go of those that were kept in by hearing alone.  */
static void
drop_unheard (roster_t *roster)
{
  for (size_t i = roster->count; i-- > 0;)
    if (is_over (roster, roster->members[i]))
      remove_member (roster, roster->members[i]);
}

static void
on_timer (uv_timer_t *timer)
{
  roster_t *roster = timer->data;

  /* The wait grows while the list cannot be read, see backoff_next.  */
  uv_timer_start (
      &roster->timer, on_timer,
      backoff_next (&roster->backoff, store_rng (roster->store)) + 1, 0);
  drop_unheard (roster);
  roster_poll (roster);
}

roster_t *
roster_create (const control_env_t *env, const roster_options_t *options)
{
  roster_t *roster = mem_zalloc (sizeof *roster);

  roster->store = store_create (env);
  roster->env = *env;
  roster->options = *options;
  if (roster->options.period_ms == 0)
    roster->options.period_ms = PERIOD_MS;
  if (roster->options.linger_ms == 0)
    roster->options.linger_ms = LINGER_MS;
  roster->backoff
      = (backoff_t){ roster->options.period_ms,
                     BACKOFF_PERIODS * roster->options.period_ms, 0 };
  roster->by_name = map_create ();
  uv_timer_init (env->loop, &roster->timer);
  roster->timer.data = roster;
  uv_timer_start (&roster->timer, on_timer, 0, 0);
  return roster;
}

static void
on_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
roster_destroy (roster_t *roster)
{
  if (roster == NULL)
    return;
  store_destroy (roster->store);
  for (size_t i = 0; i < roster->count; i++)
    {
      free_strings (&roster->members[i]->entry);
      free (roster->members[i]);
    }
  free (roster->members);
  map_destroy (roster->by_name);
  uv_close ((uv_handle_t *)&roster->timer, on_closed);
}

uint64_t
roster_age_ms (const roster_t *roster)
{
  return roster->was_read ? now_ms (roster) - roster->read_ms : UINT64_MAX;
}

void
roster_report_instance (roster_t *roster, const instance_row_t *row)
{
  member_t *member = find (roster, row->name);

  if (member == NULL)
    {
      add (roster, row, LISTED_NOT_YET, SEEN_HEARD);
      return;
    }
  bool changed = renew_row (member, row);
  member->seen = SEEN_HEARD;
  member->heard_ms = now_ms (roster);
  settle (roster, member, changed);
}

void
roster_report_responsive (roster_t *roster, str_t name)
{
  member_t *member = find (roster, name);

  if (member == NULL)
    return;
  member->seen = SEEN_HEARD;
  member->heard_ms = now_ms (roster);
  settle (roster, member, false);
}

void
roster_report_unresponsive (roster_t *roster, str_t name)
{
  member_t *member = find (roster, name);

  if (member == NULL)
    return;
  member->seen = SEEN_SILENT;
  settle (roster, member, false);
}

void
roster_report_draining (roster_t *roster, str_t name, bool draining)
{
  member_t *member = find (roster, name);

  if (member == NULL)
    return;
  member->draining = draining;
  member->seen = SEEN_HEARD;
  member->heard_ms = now_ms (roster);
  settle (roster, member, false);
}

size_t
roster_count (const roster_t *roster)
{
  return roster->count;
}

const roster_entry_t *
roster_at (const roster_t *roster, size_t index)
{
  return index < roster->count ? &roster->members[index]->entry : NULL;
}

const roster_entry_t *
roster_find (const roster_t *roster, str_t name)
{
  const member_t *member = find (roster, name);

  return member != NULL ? &member->entry : NULL;
}

size_t
roster_rank (const roster_t *roster, str_t duty, str_t role, str_t zone,
             str_t name)
{
  uint64_t seed = str_hash (duty, 0);
  uint64_t own_hash = str_hash (name, seed);
  size_t rank = 0;

  for (size_t i = 0; i < roster->count; i++)
    {
      const roster_entry_t *entry = &roster->members[i]->entry;
      if (entry->state != ROSTER_UP || !str_eq (entry->role, role)
          || !str_eq (entry->zone, zone) || str_eq (entry->name, name))
        continue;
      uint64_t hash = str_hash (entry->name, seed);
      rank += hash > own_hash
              || (hash == own_hash && str_cmp (entry->name, name) < 0);
    }
  return rank;
}
