#include "policy/route_levels.h"
#include "suite.h"

#include <math.h>
#include <string.h>

/* Each route has a level of its own, which follows newer samples.  */
START_TEST (routes_have_levels_of_their_own)
{
  route_levels_t levels;

  memset (&levels, 0, sizeof levels);
  ck_assert_ptr_null (route_levels_find (&levels, 0));
  route_levels_add (&levels, 0, 1);
  route_levels_add (&levels, ROUTE_LEVELS_BUCKETS, 5);
  route_levels_decay (&levels, 0.5);
  route_levels_add (&levels, 0, 4);
  const route_level_t *level = route_levels_find (&levels, 0);
  ck_assert (fabs (level->weight - 1.5) < 1e-9);
  ck_assert (fabs (level->sum - 4.5) < 1e-9);
  level = route_levels_find (&levels, ROUTE_LEVELS_BUCKETS);
  ck_assert (fabs (level->sum / level->weight - 5) < 1e-9);
}
END_TEST

/* A flood of new routes must not displace a busy one.  */
START_TEST (new_routes_displace_a_busy_one)
{
  route_levels_t levels;

  memset (&levels, 0, sizeof levels);
  for (int i = 0; i < 3; i++)
    route_levels_add (&levels, 7, 2);
  for (uint64_t i = 1; i <= 100; i++)
    route_levels_add (&levels, 7 + i * ROUTE_LEVELS_BUCKETS, 9);
  const route_level_t *level = route_levels_find (&levels, 7);
  ck_assert_ptr_nonnull (level);
  ck_assert (fabs (level->sum - 6) < 1e-9);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("route levels");
  TCase *tcase = tcase_create ("route levels");

  tcase_add_test (tcase, routes_have_levels_of_their_own);
  tcase_add_test (tcase, new_routes_displace_a_busy_one);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
