/* Lookups in the catalog, and additions that it must reject.  */

#include "gateway/catalog.h"
#include "suite.h"

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

  ck_assert (!catalog_has_teams (catalog));
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

int
main (void)
{
  Suite *suite = suite_create ("catalog");
  TCase *tcase = tcase_create ("catalog");

  tcase_add_test (tcase, longest_prefix_of_the_host_is_selected);
  tcase_add_test (tcase, key_of_another_team_is_rejected);
  tcase_add_test (tcase, duplicate_route_and_service_are_rejected);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
