#include "control/roster.h"

#include "base/map.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  /* With this interval and its jitter, 730 entry processes read the list 195
     times per second.  */
  POLL_INTERVAL_MS = 5000,
  UNLISTED_TTL_MS = 10000,
  /* Maximum delay between polls while the list cannot be read, in poll
     intervals.  The limit is low because an instance that leaves just after
     an outage must be detected within seconds, and half of the normal poll
     rate does not overload a recovering service.  */
  BACKOFF_INTERVALS_MAX = 2
};

typedef enum
{
  LIST_ABSENT,
  LIST_LIVE,
  LIST_LEAVING,
  LIST_GONE
} list_state_t;

typedef enum
{
  CONTACT_NONE,
  CONTACT_RESPONSIVE,
  CONTACT_UNRESPONSIVE
} contact_t;

typedef struct
{
  roster_entry_t entry; /* The member owns the strings of its entry.  */
  list_state_t list_state;
  contact_t contact;
  uint64_t last_response_ms;
  bool is_draining;
  /* Whether the list that is being read contains the member.  */
  bool is_in_full_list;
  size_t index; /* Index in MEMBERS of the roster.  */
} member_t;

struct roster
{
  store_t *store;
  control_env_t env;
  roster_options_t options;
  uv_timer_t timer;
  backoff_t backoff;
  bool is_polling;
  uint64_t poll_sent_ms;
  bool has_list;
  uint64_t list_read_ms;
  uint64_t list_sequence;
  member_t **members;
  size_t count;
  size_t capacity;
  map_t *by_name;
};

static uint64_t
now_ms (const roster_t *roster)
{
  return clock_ms (roster->env.clock);
}

static void
free_entry_strings (roster_entry_t *entry)
{
  free ((char *)entry->name.ptr);
  free ((char *)entry->role.ptr);
  free ((char *)entry->zone.ptr);
  free ((char *)entry->region.ptr);
  free ((char *)entry->address.ptr);
  free ((char *)entry->serves.ptr);
}

static str_t
copy_str (str_t s)
{
  return str_make (str_dup (s), s.len);
}

static void
copy_row (roster_entry_t *entry, const instance_row_t *row)
{
  roster_entry_t old = *entry;

  *entry = (roster_entry_t){ .name = copy_str (row->name),
                             .role = copy_str (row->role),
                             .zone = copy_str (row->zone),
                             .region = copy_str (row->region),
                             .address = copy_str (row->address),
                             .serves = copy_str (row->serves),
                             .state = old.state };
  free_entry_strings (&old);
}

static bool
is_same_row (const roster_entry_t *entry, const instance_row_t *row)
{
  return str_eq (entry->role, row->role) && str_eq (entry->zone, row->zone)
         && str_eq (entry->region, row->region)
         && str_eq (entry->address, row->address)
         && str_eq (entry->serves, row->serves);
}

static member_t *
find_member (const roster_t *roster, str_t name)
{
  return map_get (roster->by_name, name);
}

static void
notify (roster_t *roster, roster_event_t event, const member_t *member)
{
  if (roster->options.on_change != NULL)
    roster->options.on_change (roster->options.owner, event, &member->entry);
}

/* Return the state according to the table at the top of roster.h.  */
static roster_state_t
member_state (const member_t *member)
{
  if (member->contact == CONTACT_UNRESPONSIVE)
    return ROSTER_UNRESPONSIVE;
  if (member->is_draining || member->list_state == LIST_LEAVING
      || member->list_state == LIST_GONE)
    return ROSTER_DRAINING;
  return ROSTER_UP;
}

static bool
responded_recently (const roster_t *roster, const member_t *member)
{
  return member->contact == CONTACT_RESPONSIVE
         && now_ms (roster) - member->last_response_ms
                < roster->options.unlisted_ttl_ms;
}

/* Return whether MEMBER is not in the list and has not responded within the
   TTL of unlisted instances.  */
static bool
is_removable (const roster_t *roster, const member_t *member)
{
  bool is_listed
      = member->list_state == LIST_LIVE || member->list_state == LIST_LEAVING;

  return !is_listed && !responded_recently (roster, member);
}

static void
remove_member (roster_t *roster, member_t *member)
{
  member_t *last = roster->members[--roster->count];

  roster->members[member->index] = last;
  last->index = member->index;
  map_remove (roster->by_name, member->entry.name);
  notify (roster, ROSTER_REMOVED, member);
  free_entry_strings (&member->entry);
  free (member);
}

/* Recompute the state of MEMBER, and notify the owner if the state changed or
   if ROW_CHANGED is true.  Frees MEMBER if it is removable.  */
static void
update_state (roster_t *roster, member_t *member, bool row_changed)
{
  roster_state_t state = member_state (member);

  if (is_removable (roster, member))
    {
      remove_member (roster, member);
      return;
    }
  if (state == member->entry.state && !row_changed)
    return;
  member->entry.state = state;
  notify (roster, ROSTER_CHANGED, member);
}

static member_t *
add_member (roster_t *roster, const instance_row_t *row,
            list_state_t list_state, contact_t contact)
{
  member_t *member = mem_zalloc (sizeof *member);

  if (roster->count == roster->capacity)
    {
      roster->capacity = roster->capacity > 0 ? roster->capacity * 2 : 64;
      roster->members = mem_realloc (roster->members,
                                     roster->capacity * sizeof (member_t *));
    }
  member->index = roster->count;
  roster->members[roster->count++] = member;
  map_put (roster->by_name, row->name, member);
  copy_row (&member->entry, row);
  member->list_state = list_state;
  member->contact = contact;
  member->last_response_ms = now_ms (roster);
  member->entry.state = member_state (member);
  notify (roster, ROSTER_ADDED, member);
  return member;
}

/* Replace the row of MEMBER by ROW.  A new address means a new process, which
   inherits neither draining nor contact state.  Return whether the row
   changed.  */
static bool
update_row (member_t *member, const instance_row_t *row)
{
  if (is_same_row (&member->entry, row))
    return false;
  if (!str_eq (member->entry.address, row->address))
    {
      member->is_draining = false;
      member->contact = CONTACT_NONE;
    }
  copy_row (&member->entry, row);
  return true;
}

static void
apply_row (roster_t *roster, const instance_row_t *row)
{
  static const list_state_t list_states[]
      = { LIST_LIVE, LIST_LEAVING, LIST_GONE };
  member_t *member = find_member (roster, row->name);
  bool is_gone = row->state == INSTANCE_GONE;

  if (member == NULL && is_gone)
    return;
  if (member == NULL)
    member = add_member (roster, row, list_states[row->state], CONTACT_NONE);
  member->is_in_full_list = true;
  member->list_state = list_states[row->state];
  /* The row of an instance that has gone may contain only its name.  */
  update_state (roster, member, !is_gone && update_row (member, row));
}

/* Treat the members that are missing from a full list as gone, except members
   that were never listed.  */
static void
remove_unlisted (roster_t *roster)
{
  for (size_t i = roster->count; i-- > 0;)
    {
      member_t *member = roster->members[i];
      bool is_missing = !member->is_in_full_list;
      member->is_in_full_list = false;
      if (!is_missing || member->list_state == LIST_ABSENT)
        continue;
      member->list_state = LIST_GONE;
      update_state (roster, member, false);
    }
}

static void
on_list_read (void *arg, vh_code_t code, uint64_t list_sequence, bool full,
              const instance_row_t *rows, size_t count)
{
  roster_t *roster = arg;

  roster->is_polling = false;
  if (code != VH_OK)
    return;
  backoff_reset (&roster->backoff);
  for (size_t i = 0; i < roster->count; i++)
    roster->members[i]->is_in_full_list = false;
  for (size_t i = 0; i < count; i++)
    apply_row (roster, &rows[i]);
  if (full)
    remove_unlisted (roster);
  roster->list_sequence = list_sequence;
  roster->has_list = true;
  roster->list_read_ms = roster->poll_sent_ms;
}

void
roster_poll (roster_t *roster)
{
  if (roster->is_polling)
    return;
  roster->is_polling = true;
  roster->poll_sent_ms = now_ms (roster);
  store_instances (roster->store, roster->list_sequence, on_list_read, roster);
}

/* Remove the unlisted members that have not responded recently.  */
static void
remove_expired (roster_t *roster)
{
  for (size_t i = roster->count; i-- > 0;)
    if (is_removable (roster, roster->members[i]))
      remove_member (roster, roster->members[i]);
}

static void
on_timer (uv_timer_t *timer)
{
  roster_t *roster = timer->data;

  /* The delay grows while the list cannot be read; a successful read resets
     it.  */
  uv_timer_start (
      &roster->timer, on_timer,
      backoff_next (&roster->backoff, store_rng (roster->store)) + 1, 0);
  remove_expired (roster);
  roster_poll (roster);
}

roster_t *
roster_create (const control_env_t *env, const roster_options_t *options)
{
  roster_t *roster = mem_zalloc (sizeof *roster);

  roster->store = store_create (env);
  roster->env = *env;
  roster->options = *options;
  if (roster->options.poll_interval_ms == 0)
    roster->options.poll_interval_ms = POLL_INTERVAL_MS;
  if (roster->options.unlisted_ttl_ms == 0)
    roster->options.unlisted_ttl_ms = UNLISTED_TTL_MS;
  roster->backoff
      = (backoff_t){ roster->options.poll_interval_ms,
                     BACKOFF_INTERVALS_MAX * roster->options.poll_interval_ms,
                     0 };
  roster->by_name = map_create ();
  uv_timer_init (env->loop, &roster->timer);
  roster->timer.data = roster;
  uv_timer_start (&roster->timer, on_timer, 0, 0);
  return roster;
}

static void
on_timer_closed (uv_handle_t *handle)
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
      free_entry_strings (&roster->members[i]->entry);
      free (roster->members[i]);
    }
  free (roster->members);
  map_destroy (roster->by_name);
  uv_close ((uv_handle_t *)&roster->timer, on_timer_closed);
}

uint64_t
roster_age_ms (const roster_t *roster)
{
  return roster->has_list ? now_ms (roster) - roster->list_read_ms
                          : UINT64_MAX;
}

void
roster_report_instance (roster_t *roster, const instance_row_t *row)
{
  member_t *member = find_member (roster, row->name);

  if (member == NULL)
    {
      add_member (roster, row, LIST_ABSENT, CONTACT_RESPONSIVE);
      return;
    }
  bool row_changed = update_row (member, row);
  member->contact = CONTACT_RESPONSIVE;
  member->last_response_ms = now_ms (roster);
  update_state (roster, member, row_changed);
}

void
roster_report_responsive (roster_t *roster, str_t name)
{
  member_t *member = find_member (roster, name);

  if (member == NULL)
    return;
  member->contact = CONTACT_RESPONSIVE;
  member->last_response_ms = now_ms (roster);
  update_state (roster, member, false);
}

void
roster_report_unresponsive (roster_t *roster, str_t name)
{
  member_t *member = find_member (roster, name);

  if (member == NULL)
    return;
  member->contact = CONTACT_UNRESPONSIVE;
  update_state (roster, member, false);
}

void
roster_report_draining (roster_t *roster, str_t name, bool draining)
{
  member_t *member = find_member (roster, name);

  if (member == NULL)
    return;
  member->is_draining = draining;
  member->contact = CONTACT_RESPONSIVE;
  member->last_response_ms = now_ms (roster);
  update_state (roster, member, false);
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
  const member_t *member = find_member (roster, name);

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
