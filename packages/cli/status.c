#include "base/mem.h"
#include "cli/client.h"
#include "cli/table.h"

#include <stdio.h>
#include <stdlib.h>

/* Total load of the processes of one availability zone.  */
typedef struct
{
  str_t zone;
  str_t state;
  size_t processes;
  size_t live_processes;
  size_t lagging;
  uint64_t in_flight;
  uint64_t limit;
  uint64_t queue;
} zone_load_t;

/* Summary of a status reply; the strings point into `root'.  */
typedef struct
{
  const json_t *root;
  uint64_t revision; /* Highest revision of any process.  */
  const json_t **peers;
  size_t peer_count;
  zone_load_t *zones;
  size_t zone_count;
} status_t;

/* Append the duration MS in ms, s, min or h, depending on its length.  */
static void
append_age (buf_t *out, uint64_t ms)
{
  if (ms < 1000)
    buf_printf (out, "%llu ms", (unsigned long long)ms);
  else if (ms < 120000)
    buf_printf (out, "%.1f s", (double)ms / 1e3);
  else if (ms < 7200000)
    buf_printf (out, "%llu min", (unsigned long long)(ms / 60000));
  else
    buf_printf (out, "%llu h", (unsigned long long)(ms / 3600000));
}

/* Compare two peers by zone, role and name.  */
static int
compare_peers (const void *left, const void *right)
{
  static const char *const keys[] = { "zone", "role", "name" };
  const json_t *a = *(const json_t *const *)left;
  const json_t *b = *(const json_t *const *)right;

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      const char *left_value
          = json_string_value (json_object_get (a, keys[i]));
      const char *right_value
          = json_string_value (json_object_get (b, keys[i]));
      /* strverscmp sorts runner-2 before runner-10.  */
      int order = strverscmp (left_value != NULL ? left_value : "",
                              right_value != NULL ? right_value : "");
      if (order != 0)
        return order;
    }
  return 0;
}

/* Return the load record of ZONE, adding one if there is none.  */
static zone_load_t *
status_get_zone (status_t *status, str_t zone)
{
  for (size_t i = 0; i < status->zone_count; i++)
    if (str_eq (status->zones[i].zone, zone))
      return &status->zones[i];
  status->zones = mem_realloc (status->zones, (status->zone_count + 1)
                                                  * sizeof *status->zones);
  status->zones[status->zone_count]
      = (zone_load_t){ .zone = zone, .state = STR ("in") };
  return &status->zones[status->zone_count++];
}

static void
status_init (status_t *status, const json_t *root)
{
  const json_t *peers = json_object_get (root, "peers");
  const json_t *item;
  size_t index;

  *status = (status_t){ .root = root };
  status->revision = json_u64 (root, "revision");
  status->peers
      = mem_alloc ((json_array_size (peers) + 1) * sizeof (json_t *));
  json_array_foreach (json_object_get (root, "zones"), index, item)
      status_get_zone (status, json_str (item, "name"))
          ->state
      = json_str (item, "state");
  json_array_foreach (peers, index, item)
  {
    status->peers[status->peer_count++] = item;
    if (json_u64 (item, "revision") > status->revision)
      status->revision = json_u64 (item, "revision");
  }
  qsort (status->peers, status->peer_count, sizeof (json_t *), compare_peers);
  for (size_t i = 0; i < status->peer_count; i++)
    {
      item = status->peers[i];
      zone_load_t *zone = status_get_zone (status, json_str (item, "zone"));
      zone->processes++;
      zone->live_processes += str_eq (json_str (item, "state"), STR ("live"));
      zone->lagging += json_u64 (item, "revision") < status->revision;
      zone->in_flight += json_u64 (item, "in_flight");
      zone->limit += json_u64 (item, "limit");
      zone->queue += json_u64 (item, "queue");
    }
}

static void
status_free (status_t *status)
{
  free (status->peers);
  free (status->zones);
}

/* Add a cell with IN_FLIGHT, LIMIT and their ratio; `-' if LIMIT is 0.  */
static void
add_load_cell (table_t *table, uint64_t in_flight, uint64_t limit)
{
  if (limit == 0)
    table_add_cell (table, "-");
  else
    table_add_cell (table, "%llu/%llu %3.0f%%", (unsigned long long)in_flight,
                    (unsigned long long)limit,
                    100.0 * (double)in_flight / (double)limit);
}

/* Return the number of peers with ROLE and STATE; an empty string matches any
   value.  */
static size_t
count_peers (const status_t *status, str_t role, str_t state)
{
  size_t count = 0;

  for (size_t i = 0; i < status->peer_count; i++)
    count += (role.len == 0
              || str_eq (json_str (status->peers[i], "role"), role))
             && (state.len == 0
                 || str_eq (json_str (status->peers[i], "state"), state));
  return count;
}

static void
print_overview (const status_t *status)
{
  static const char *const states[]
      = { "live", "draining", "silent", "ejected", "out" };
  const json_t *process = json_object_get (status->root, "process");
  buf_t age_text = BUF_NULL;
  buf_t uptime = BUF_NULL;
  size_t lagging = json_u64 (status->root, "revision") < status->revision;

  append_age (&age_text, json_u64 (status->root, "confirmed_ms_ago"));
  append_age (&uptime, json_u64 (process, "uptime_ms"));
  for (size_t i = 0; i < status->zone_count; i++)
    lagging += status->zones[i].lagging;
  printf ("revision %llu, confirmed %s ago; as seen by %.*s (%.*s, %.*s, up "
          "%s)\n",
          (unsigned long long)status->revision, age_text.ptr,
          STR_ARG (json_str (process, "name")),
          STR_ARG (json_str (process, "role")),
          STR_ARG (json_str (process, "zone")), uptime.ptr);
  printf ("%zu entries and %zu sidecars besides:",
          count_peers (status, STR ("entry"), STR_NULL),
          count_peers (status, STR ("sidecar"), STR_NULL));
  for (size_t i = 0; i < sizeof states / sizeof states[0]; i++)
    {
      size_t count = count_peers (status, STR_NULL, str_from (states[i]));
      if (count > 0 || i == 0)
        printf ("%s %zu %s", i == 0 ? "" : ",", count, states[i]);
    }
  if (lagging > 0)
    printf ("; %zu behind in revision\n", lagging);
  else
    printf ("; all at revision %llu\n", (unsigned long long)status->revision);
  buf_free (&age_text);
  buf_free (&uptime);
}

static void
print_zones (const status_t *status)
{
  table_t table;

  table_init (&table, 7);
  table_add_cell (&table, "ZONE");
  table_add_cell (&table, "STATE");
  table_add_cell (&table, "PROCESSES");
  table_add_cell (&table, "LIVE");
  table_add_cell (&table, "BEHIND");
  table_add_cell (&table, "LOAD");
  table_add_cell (&table, "QUEUE");
  for (size_t i = 0; i < status->zone_count; i++)
    {
      const zone_load_t *zone = &status->zones[i];
      table_add_cell (&table, "%.*s", STR_ARG (zone->zone));
      table_add_cell (&table, "%.*s", STR_ARG (zone->state));
      table_add_cell (&table, "%zu", zone->processes);
      table_add_cell (&table, "%zu", zone->live_processes);
      table_add_cell (&table, "%zu", zone->lagging);
      add_load_cell (&table, zone->in_flight, zone->limit);
      table_add_cell (&table, "%llu", (unsigned long long)zone->queue);
    }
  putchar ('\n');
  table_print (&table);
  table_free (&table);
}

/* Add a cell with the models, versions or services that PEER serves.  */
static void
add_serves_cell (table_t *table, const json_t *peer)
{
  buf_t names = BUF_NULL;
  const json_t *name;
  size_t index;

  json_array_foreach (json_object_get (peer, "serves"), index, name)
      buf_printf (&names, "%s%s", index == 0 ? "" : " ",
                  json_is_string (name) ? json_string_value (name) : "?");
  table_add_cell (table, "%.*s", STR_ARG (buf_str (&names)));
  buf_free (&names);
}

static void
print_peers (const status_t *status)
{
  table_t table;
  buf_t age_text = BUF_NULL;

  table_init (&table, 9);
  table_add_cell (&table, "ZONE");
  table_add_cell (&table, "PROCESS");
  table_add_cell (&table, "ROLE");
  table_add_cell (&table, "STATE");
  table_add_cell (&table, "REVISION");
  table_add_cell (&table, "HEARD");
  table_add_cell (&table, "LOAD");
  table_add_cell (&table, "QUEUE");
  table_add_cell (&table, "SERVES");
  for (size_t i = 0; i < status->peer_count; i++)
    {
      const json_t *peer = status->peers[i];
      uint64_t revision = json_u64 (peer, "revision");
      table_add_cell (&table, "%.*s", STR_ARG (json_str (peer, "zone")));
      table_add_cell (&table, "%.*s", STR_ARG (json_str (peer, "name")));
      table_add_cell (&table, "%.*s", STR_ARG (json_str (peer, "role")));
      table_add_cell (&table, "%.*s", STR_ARG (json_str (peer, "state")));
      if (revision < status->revision)
        table_add_cell (&table, "%llu (-%llu)", (unsigned long long)revision,
                        (unsigned long long)(status->revision - revision));
      else
        table_add_cell (&table, "%llu", (unsigned long long)revision);
      age_text.len = 0;
      append_age (&age_text, json_u64 (peer, "heard_ms_ago"));
      table_add_cell (&table, "%s", age_text.ptr);
      add_load_cell (&table, json_u64 (peer, "in_flight"),
                     json_u64 (peer, "limit"));
      table_add_cell (&table, "%llu",
                      (unsigned long long)json_u64 (peer, "queue"));
      add_serves_cell (&table, peer);
    }
  putchar ('\n');
  table_print (&table);
  table_free (&table);
  buf_free (&age_text);
}

static void
print_rollouts (const status_t *status)
{
  const json_t *list = json_object_get (status->root, "rollouts");
  const json_t *item;
  size_t index;
  table_t table;

  if (json_array_size (list) == 0)
    return;
  table_init (&table, 5);
  table_add_cell (&table, "ROLL-OUT");
  table_add_cell (&table, "OVER");
  table_add_cell (&table, "STATE");
  table_add_cell (&table, "SHARE");
  table_add_cell (&table, "REASON");
  json_array_foreach (list, index, item)
  {
    table_add_cell (&table, "%.*s", STR_ARG (json_str (item, "version")));
    table_add_cell (&table, "%.*s", STR_ARG (json_str (item, "over")));
    table_add_cell (&table, "%.*s", STR_ARG (json_str (item, "state")));
    table_add_cell (&table, "%g%%", json_double (item, "share"));
    table_add_cell (&table, "%.*s", STR_ARG (json_str (item, "reason")));
  }
  putchar ('\n');
  table_print (&table);
  table_free (&table);
}

static void
print_decisions (const status_t *status)
{
  const json_t *list = json_object_get (status->root, "decisions");
  const json_t *item;
  size_t index;
  table_t table;

  if (json_array_size (list) == 0)
    return;
  table_init (&table, 4);
  table_add_cell (&table, "TASK");
  table_add_cell (&table, "CHOICE");
  table_add_cell (&table, "COUNT");
  table_add_cell (&table, "REASON");
  json_array_foreach (list, index, item)
  {
    table_add_cell (&table, "%.*s", STR_ARG (json_str (item, "task")));
    table_add_cell (&table, "%.*s", STR_ARG (json_str (item, "choice")));
    table_add_cell (&table, "%llu",
                    (unsigned long long)json_u64 (item, "count"));
    table_add_cell (&table, "%.*s", STR_ARG (json_str (item, "reason")));
  }
  putchar ('\n');
  table_print (&table);
  table_free (&table);
}

cli_exit_code_t
run_status (cli_t *cli)
{
  client_t *client = client_create (cli);
  reply_t reply;
  status_t status;
  cli_exit_code_t code = client_get (client, "/admin/status", &reply);

  if (code == CLI_OK && cli->has_option[OPTION_JSON])
    reply_print (&reply);
  else if (code == CLI_OK)
    {
      status_init (&status, reply.json);
      print_overview (&status);
      print_zones (&status);
      print_peers (&status);
      print_rollouts (&status);
      print_decisions (&status);
      status_free (&status);
    }
  reply_free (&reply);
  client_destroy (client);
  return code;
}
