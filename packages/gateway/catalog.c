#include "gateway/catalog.h"

#include "base/arena.h"
#include "base/loop_watch.h"
#include "base/map.h"
#include "base/mem.h"

#include <ctype.h>
#include <stdlib.h>

struct catalog
{
  unsigned ref_count;
  uint64_t revision;
  bool is_open; /* Clients need no API key.  */
  client_limits_t limits;
  map_t *services;
  map_t *routes; /* Map of host, NUL byte and prefix to route_t.  */
  map_t *teams;
  map_t *keys;   /* Map of API key to team_t.  */
  arena_t arena; /* Memory that is freed with the catalog.  */
};

catalog_t *
catalog_create (uint64_t revision)
{
  catalog_t *catalog = mem_zalloc (sizeof *catalog);

  catalog->ref_count = 1;
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
  catalog->ref_count++;
}

void
catalog_unref (catalog_t *catalog)
{
  if (catalog == NULL || --catalog->ref_count > 0)
    return;
  loop_work_t outer = loop_work_begin (LOOP_WORK_CONFIG_FREE);
  map_destroy (catalog->services);
  map_destroy (catalog->routes);
  map_destroy (catalog->teams);
  map_destroy (catalog->keys);
  arena_free (&catalog->arena);
  free (catalog);
  loop_work_end (outer);
}

vh_code_t
catalog_add_service (catalog_t *catalog, const service_t *service)
{
  if (map_get (catalog->services, service->name) != NULL)
    return VH_E_BAD_CONFIG;
  service_t *copy = arena_alloc (&catalog->arena, sizeof *copy);
  *copy = *service;
  copy->name = arena_str (&catalog->arena, service->name);
  copy->health_path = arena_str (&catalog->arena, service->health_path);
  for (size_t i = 0; i < copy->model_count; i++)
    copy->models[i].name = arena_str (&catalog->arena, copy->models[i].name);
  map_put (catalog->services, copy->name, copy);
  return VH_OK;
}

/* Append the key in catalog->routes for HOST and PREFIX to OUT.  */
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

  append_route_key (&key, route->host, route->path_prefix);
  if (map_get (catalog->routes, buf_str (&key)) != NULL)
    goto done;
  route_t *copy = arena_alloc (&catalog->arena, sizeof *copy);
  *copy = *route;
  copy->name = arena_str (&catalog->arena, route->name);
  copy->host = arena_str (&catalog->arena, route->host);
  copy->path_prefix = arena_str (&catalog->arena, route->path_prefix);
  for (size_t i = 0; i < copy->service_count; i++)
    copy->services[i].service
        = arena_str (&catalog->arena, copy->services[i].service);
  for (size_t i = 0; i < copy->model_count; i++)
    copy->models[i] = arena_str (&catalog->arena, copy->models[i]);
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
  team_t *copy = arena_alloc (&catalog->arena, sizeof *copy);
  *copy = *team;
  copy->name = arena_str (&catalog->arena, team->name);
  map_put (catalog->teams, copy->name, copy);
  for (size_t i = 0; i < key_count; i++)
    map_put (catalog->keys, keys[i], copy);
  return VH_OK;
}

void
catalog_set_open (catalog_t *catalog)
{
  catalog->is_open = true;
}

void
catalog_set_limits (catalog_t *catalog, const client_limits_t *limits)
{
  catalog->limits = *limits;
}

static str_t
first_service (const route_t *route)
{
  return route->service_count > 0 ? route->services[0].service : STR ("");
}

static int
compare_strings (str_t a, str_t b)
{
  int order = memcmp (a.ptr, b.ptr, a.len < b.len ? a.len : b.len);

  return order != 0 ? order : (a.len > b.len) - (a.len < b.len);
}

/* A route that is sorted for its group.  */
typedef struct
{
  route_t *route;
  uint64_t name_hash;
} sorted_route_t;

/* Compare two routes by the first service and by the hash of the name.  */
static int
compare_routes (const void *a, const void *b)
{
  const sorted_route_t *x = a;
  const sorted_route_t *y = b;
  int order
      = compare_strings (first_service (x->route), first_service (y->route));

  if (order != 0)
    return order;
  return x->name_hash != y->name_hash
             ? (x->name_hash > y->name_hash) - (x->name_hash < y->name_hash)
             : compare_strings (x->route->name, y->route->name);
}

void
catalog_group_routes (catalog_t *catalog, uint32_t cell_count)
{
  size_t count = map_size (catalog->routes);
  sorted_route_t *routes = mem_alloc ((count + 1) * sizeof *routes);
  size_t used[CATALOG_CELLS_MAX];
  size_t cursor = 0;
  size_t filled = 0;
  str_t key;
  void *value;

  while (map_next (catalog->routes, &cursor, &key, &value))
    {
      route_t *route = value;
      routes[filled++] = (sorted_route_t){ route, str_hash (route->name, 0) };
    }
  qsort (routes, count, sizeof *routes, compare_routes);
  for (size_t i = 0; i < count; i++)
    {
      uint32_t start = (uint32_t)(routes[i].name_hash % cell_count);
      uint32_t cell = start;
      if (i == 0
          || !str_eq (first_service (routes[i].route),
                      first_service (routes[i - 1].route)))
        memset (used, 0, sizeof used);
      /* A route changes its group seldom when another is added: it stays in
         the one of its hash unless that has more routes than another.  */
      for (uint32_t step = 1; step < cell_count; step++)
        if (used[(start + step) % cell_count] < used[cell])
          cell = (start + step) % cell_count;
      used[cell]++;
      routes[i].route->trial_cell = cell;
    }
  free (routes);
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
  size_t host_len = key.len - path.len;
  while (route == NULL && key.len > host_len)
    {
      /* Prefixes end with a slash: cut the path after the previous slash.  */
      while (key.len > host_len && key.ptr[key.len - 1] != '/')
        key.len--;
      if (key.len == host_len)
        break;
      route = map_get (catalog->routes, buf_str (&key));
      key.len--;
    }
  buf_free (&key);
  return route;
}

bool
catalog_needs_key (const catalog_t *catalog)
{
  return !catalog->is_open;
}

const team_t *
catalog_find_team (const catalog_t *catalog, str_t key)
{
  return map_get (catalog->keys, key);
}
