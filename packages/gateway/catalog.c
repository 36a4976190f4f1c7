#include "gateway/catalog.h"

#include "base/map.h"
#include "base/mem.h"

#include <ctype.h>
#include <stdlib.h>

typedef struct piece
{
  struct piece *next;
  max_align_t bytes[];
} piece_t;

struct catalog
{
  unsigned refs;
  uint64_t revision;
  client_limits_t limits;
  map_t *services;
  map_t *routes; /* By HOST NUL PREFIX.  */
  map_t *teams;
  map_t *keys;
  piece_t *pieces; /* Everything that the maps point at.  */
};

static void *
keep (catalog_t *catalog, size_t size)
{
  piece_t *piece = mem_zalloc (sizeof *piece + size);

  piece->next = catalog->pieces;
  catalog->pieces = piece;
  return piece->bytes;
}

static str_t
keep_str (catalog_t *catalog, str_t s)
{
  char *copy = keep (catalog, s.len + 1);

  if (s.len > 0)
    memcpy (copy, s.ptr, s.len);
  return str_make (copy, s.len);
}

catalog_t *
catalog_create (uint64_t revision)
{
  catalog_t *catalog = mem_zalloc (sizeof *catalog);

  catalog->refs = 1;
  catalog->revision = revision;
  catalog->services = map_create ();
  catalog->routes = map_create ();
  catalog->teams = map_create ();
  catalog->keys = map_create ();
  return catalog;
}

void
catalog_ref (catalog_t *catalog)
{
  catalog->refs++;
}

void
catalog_unref (catalog_t *catalog)
{
  if (catalog == NULL || --catalog->refs > 0)
    return;
  map_destroy (catalog->services);
  map_destroy (catalog->routes);
  map_destroy (catalog->teams);
  map_destroy (catalog->keys);
  while (catalog->pieces != NULL)
    {
      piece_t *piece = catalog->pieces;
      catalog->pieces = piece->next;
      free (piece);
    }
  free (catalog);
}

vh_code_t
catalog_add_service (catalog_t *catalog, const service_t *service)
{
  if (map_get (catalog->services, service->name) != NULL)
    return VH_E_BAD_CONFIG;
  service_t *copy = keep (catalog, sizeof *copy);
  *copy = *service;
  copy->name = keep_str (catalog, service->name);
  copy->health_path = keep_str (catalog, service->health_path);
  for (size_t i = 0; i < copy->model_count; i++)
    copy->models[i].name = keep_str (catalog, copy->models[i].name);
  map_put (catalog->services, copy->name, copy);
  return VH_OK;
}

/* Append the key of HOST and PREFIX to OUT.  */
static void
append_route_key (buf_t *out, str_t host, str_t prefix)
{
  for (size_t i = 0; i < host.len; i++)
    buf_append_char (out, (char)tolower ((unsigned char)host.ptr[i]));
  buf_append_char (out, '\0');
  buf_append_str (out, prefix);
}

vh_code_t
catalog_add_route (catalog_t *catalog, const route_t *route)
{
  buf_t key = BUF_NULL;
  vh_code_t code = VH_E_BAD_CONFIG;

  append_route_key (&key, route->host, route->prefix);
  if (map_get (catalog->routes, buf_str (&key)) != NULL)
    goto done;
  route_t *copy = keep (catalog, sizeof *copy);
  *copy = *route;
  copy->name = keep_str (catalog, route->name);
  copy->host = keep_str (catalog, route->host);
  copy->prefix = keep_str (catalog, route->prefix);
  for (size_t i = 0; i < copy->split_count; i++)
    copy->splits[i].service = keep_str (catalog, copy->splits[i].service);
  for (size_t i = 0; i < copy->model_count; i++)
    copy->models[i] = keep_str (catalog, copy->models[i]);
  map_put (catalog->routes, buf_str (&key), copy);
  code = VH_OK;
done:
  buf_free (&key);
  return code;
}

vh_code_t
catalog_add_team (catalog_t *catalog, const team_t *team, const str_t *keys,
                  size_t key_count)
{
  if (map_get (catalog->teams, team->name) != NULL)
    return VH_E_BAD_CONFIG;
  for (size_t i = 0; i < key_count; i++)
    if (map_get (catalog->keys, keys[i]) != NULL)
      return VH_E_BAD_CONFIG;
  team_t *copy = keep (catalog, sizeof *copy);
  *copy = *team;
  copy->name = keep_str (catalog, team->name);
  map_put (catalog->teams, copy->name, copy);
  for (size_t i = 0; i < key_count; i++)
    map_put (catalog->keys, keys[i], copy);
  return VH_OK;
}

void
catalog_set_limits (catalog_t *catalog, const client_limits_t *limits)
{
  catalog->limits = *limits;
}

uint64_t
catalog_revision (const catalog_t *catalog)
{
  return catalog->revision;
}

const client_limits_t *
catalog_limits (const catalog_t *catalog)
{
  return &catalog->limits;
}

const service_t *
catalog_find_service (const catalog_t *catalog, str_t name)
{
  return map_get (catalog->services, name);
}

const route_t *
catalog_match_route (const catalog_t *catalog, str_t host, str_t path)
{
  const route_t *route = NULL;
  buf_t key = BUF_NULL;
  str_t port;

  host = str_cut (host, ':', &port);
  append_route_key (&key, host, path);
  size_t head = key.len - path.len;
  while (route == NULL && key.len > head)
    {
      /* Prefixes end with a slash: step back from one to the next.  */
      while (key.len > head && key.ptr[key.len - 1] != '/')
        key.len--;
      if (key.len == head)
        break;
      route = map_get (catalog->routes, buf_str (&key));
      key.len--;
    }
  buf_free (&key);
  return route;
}

bool
catalog_has_teams (const catalog_t *catalog)
{
  return map_size (catalog->teams) > 0;
}

const team_t *
catalog_find_team (const catalog_t *catalog, str_t key)
{
  return map_get (catalog->keys, key);
}
