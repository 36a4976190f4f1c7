/* Lookups in the catalog, and additions that it must reject.  */

#include "gateway/catalog.h"
#include "suite.h"

#include <stdio.h>

static route_t
route_make (const char *name, const char *host, const char *prefix)
{
  return (route_t){ .name = str_from (name),
                    .host = str_from (host),
                    .path_prefix = str_from (prefix) };
}

START_TEST (longest_prefix_of_the_host_is_selected)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *name; /* NULL: no route.  */
  } cases[] = {
    { "a.example", "/x/1", "short" },
    { "a.example", "/x/y/1", "long" },
    { "a.example", "/x/yy", "short" },
    { "A.Example:8080", "/x/", "short" },
    { "a.example", "/x", NULL },
    { "a.example", "/z/", NULL },
    { "b.example", "/x/1", "other" },
    { "c.example", "/x/1", NULL },
    { "", "", NULL },
  };
  catalog_t *catalog = catalog_create (1);
  route_t routes[] = { route_make ("short", "a.example", "/x/"),
                       route_make ("long", "a.example", "/x/y/"),
                       route_make ("other", "b.example", "/") };

  for (size_t i = 0; i < 3; i++)
    ck_assert_int_eq (catalog_add_route (catalog, &routes[i]), VH_OK);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const route_t *found = catalog_match_route (
          catalog, str_from (cases[i].host), str_from (cases[i].path));
      if (cases[i].name == NULL)
        ck_assert_msg (found == NULL, "case %zu", i);
      else
        ck_assert_msg (found != NULL
                           && str_eq (found->name, str_from (cases[i].name)),
                       "case %zu", i);
    }
  catalog_unref (catalog);
}
END_TEST

START_TEST (key_of_another_team_is_rejected)
{
  catalog_t *catalog = catalog_create (1);
  const team_t coast = { .name = STR ("coast") };
  const team_t hills = { .name = STR ("hills") };
  const str_t keys[] = { STR ("k1"), STR ("k2") };

  ck_assert (catalog_needs_key (catalog));
  ck_assert_int_eq (catalog_add_team (catalog, &coast, keys, 2), VH_OK);
  ck_assert_int_eq (catalog_add_team (catalog, &hills, keys + 1, 1),
                    VH_E_BAD_CONFIG);
  ck_assert (
      str_eq (catalog_find_team (catalog, STR ("k2"))->name, STR ("coast")));
  ck_assert_ptr_null (catalog_find_team (catalog, STR ("k")));
  catalog_unref (catalog);
}
END_TEST

START_TEST (duplicate_route_and_service_are_rejected)
{
  catalog_t *catalog = catalog_create (1);
  route_t route = route_make ("one", "a", "/x/");
  const service_t service = { .name = STR ("app") };

  ck_assert_int_eq (catalog_add_route (catalog, &route), VH_OK);
  ck_assert_int_eq (catalog_add_route (catalog, &route), VH_E_BAD_CONFIG);
  ck_assert_int_eq (catalog_add_service (catalog, &service), VH_OK);
  ck_assert_int_eq (catalog_add_service (catalog, &service), VH_E_BAD_CONFIG);
  ck_assert_ptr_nonnull (catalog_find_service (catalog, STR ("app")));
  catalog_unref (catalog);
}
END_TEST

/* Failure: a version that is bad on one route only is not found, because the
   answers of all routes of its service count in one group.  The names have
   equal hashes modulo 4.  */
START_TEST (routes_of_a_service_share_a_group)
{
  static const char *const names[]
      = { "r-5hiq3yq", "r-d6rj786", "r-qvhma6j", "r-7zcd7w4" };
  static const char *const prefixes[] = { "/a/", "/b/", "/c/", "/d/" };
  enum
  {
    CELLS = 4
  };
  catalog_t *catalog = catalog_create (1);
  bool used[CELLS] = { false };

  for (size_t i = 0; i < CELLS; i++)
    {
      route_t route = route_make (names[i], "a", prefixes[i]);
      route.services[0].service = STR ("engine");
      route.service_count = 1;
      ck_assert_int_eq (catalog_add_route (catalog, &route), VH_OK);
    }
  catalog_group_routes (catalog, CELLS);
  for (size_t i = 0; i < CELLS; i++)
    {
      uint32_t cell
          = catalog_match_route (catalog, STR ("a"), str_from (prefixes[i]))
                ->trial_cell;
      ck_assert_uint_lt (cell, CELLS);
      ck_assert_msg (!used[cell], "route %zu", i);
      used[cell] = true;
    }
  catalog_unref (catalog);
}
END_TEST

/* Failure: gateways that learned of the routes in another order count a
   route's answers in other groups.  */
START_TEST (groups_depend_on_the_order_of_routes)
{
  enum
  {
    ROUTES = 11,
    CELLS = 4
  };
  catalog_t *catalogs[2] = { catalog_create (1), catalog_create (1) };
  char names[ROUTES][8];
  char prefixes[ROUTES][8];
  size_t counts[CELLS] = { 0 };

  for (size_t i = 0; i < ROUTES; i++)
    {
      snprintf (names[i], sizeof names[i], "r-%zu", i);
      snprintf (prefixes[i], sizeof prefixes[i], "/%zu/", i);
    }
  for (size_t i = 0; i < ROUTES; i++)
    for (size_t c = 0; c < 2; c++)
      {
        size_t at = c == 0 ? i : ROUTES - 1 - i;
        route_t route = route_make (names[at], "a", prefixes[at]);
        ck_assert_int_eq (catalog_add_route (catalogs[c], &route), VH_OK);
      }
  for (size_t c = 0; c < 2; c++)
    catalog_group_routes (catalogs[c], CELLS);
  for (size_t i = 0; i < ROUTES; i++)
    {
      uint32_t cells[2];
      for (size_t c = 0; c < 2; c++)
        cells[c] = catalog_match_route (catalogs[c], STR ("a"),
                                        str_from (prefixes[i]))
                       ->trial_cell;
      ck_assert_uint_eq (cells[0], cells[1]);
      counts[cells[0]]++;
    }
  for (size_t cell = 0; cell < CELLS; cell++)
    ck_assert_uint_ge (counts[cell], ROUTES / CELLS);
  for (size_t c = 0; c < 2; c++)
    catalog_unref (catalogs[c]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("catalog");
  TCase *tcase = tcase_create ("catalog");

  tcase_add_test (tcase, longest_prefix_of_the_host_is_selected);
  tcase_add_test (tcase, key_of_another_team_is_rejected);
  tcase_add_test (tcase, duplicate_route_and_service_are_rejected);
  tcase_add_test (tcase, routes_of_a_service_share_a_group);
  tcase_add_test (tcase, groups_depend_on_the_order_of_routes);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
