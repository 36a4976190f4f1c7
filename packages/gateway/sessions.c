#include "gateway/sessions.h"

#include "base/map.h"
#include "base/mem.h"

#include <stdlib.h>

typedef struct
{
  uint64_t version;
  uint64_t last_ms; /* A request began or ended.  */
  uint32_t running;
} session_t;

struct sessions
{
  clock_iface_t *clock;
  uint64_t keep_ms;
  map_t *by_key;
};

sessions_t *
sessions_create (clock_iface_t *clock, uint64_t keep_ms)
{
  sessions_t *sessions = mem_zalloc (sizeof *sessions);

  sessions->clock = clock;
  sessions->keep_ms = keep_ms;
  sessions->by_key = map_create ();
  return sessions;
}

void
sessions_destroy (sessions_t *sessions)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  if (sessions == NULL)
    return;
  while (map_next (sessions->by_key, &cursor, &key, &value))
    free (value);
  map_destroy (sessions->by_key);
  free (sessions);
}

static str_t
key_of (const uint64_t *key)
{
  return str_make ((const char *)key, sizeof *key);
}

uint64_t
sessions_hash (str_t version)
{
  return str_hash (version, 3) | 1;
}

static bool
is_over (const sessions_t *sessions, const session_t *session)
{
  return session->running == 0
         && clock_ms (sessions->clock) - session->last_ms
                >= sessions->keep_ms;
}

uint64_t
sessions_version (const sessions_t *sessions, uint64_t key)
{
  const session_t *session = map_get (sessions->by_key, key_of (&key));

  return session == NULL || is_over (sessions, session) ? 0
                                                        : session->version;
}

void
sessions_begin (sessions_t *sessions, uint64_t key, str_t version)
{
  session_t *session = map_get (sessions->by_key, key_of (&key));

  if (session == NULL)
    {
      session = mem_zalloc (sizeof *session);
      map_put (sessions->by_key, key_of (&key), session);
    }
  session->version = sessions_hash (version);
  session->last_ms = clock_ms (sessions->clock);
  session->running++;
}

void
sessions_end (sessions_t *sessions, uint64_t key)
{
  session_t *session = map_get (sessions->by_key, key_of (&key));

  if (session == NULL)
    return;
  session->last_ms = clock_ms (sessions->clock);
  session->running--;
}

void
sessions_sweep (sessions_t *sessions)
{
  uint64_t over[256];
  size_t count = 0;
  size_t cursor = 0;
  str_t key;
  void *value;

  while (count < sizeof over / sizeof over[0]
         && map_next (sessions->by_key, &cursor, &key, &value))
    if (is_over (sessions, value))
      memcpy (&over[count++], key.ptr, sizeof over[0]);
  for (size_t i = 0; i < count; i++)
    free (map_remove (sessions->by_key, key_of (&over[i])));
}
