/* Time factors of instances: the estimate, and its use in the selection.  */

#include "policy/pool.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>

enum
{
  START_MS = 10000,
  INSTANCES = 12,
  KEYS = 20000
};

/* Count COUNT reports of PERCENT, one each INTERVAL_MS from NOW_MS on.  Return
   the time after the last interval.  */
static uint64_t
report (instance_speed_t *speed, uint32_t percent, int count,
        uint64_t interval_ms, uint64_t now_ms)
{
  for (int i = 0; i < count; i++, now_ms += interval_ms)
    ck_assert (instance_speed_report (speed, percent, now_ms));
  return now_ms;
}

/* One report of a short slowdown must not make an instance slow, and a lasting
   change must be known within seconds.  */
START_TEST (lasting_factor_follows_lasting_changes_only)
{
  instance_speed_t speed = { 0 };

  ck_assert (!instance_speed_is_known (&speed));
  ck_assert_double_eq (instance_speed_lasting (&speed), 1);
  ck_assert_double_eq (instance_speed_now (&speed, START_MS), 1);
  uint64_t now_ms = report (&speed, 55, 40, 300, START_MS);
  ck_assert_double_eq_tol (instance_speed_lasting (&speed), 0.55, 1e-9);
  now_ms = report (&speed, 138, 1, 300, now_ms);
  ck_assert_double_lt (instance_speed_lasting (&speed), 0.65);
  ck_assert_double_eq_tol (instance_speed_now (&speed, now_ms - 300), 1.38,
                           1e-9);
  ck_assert_double_lt (instance_speed_now (&speed, now_ms + 700), 0.65);
  /* Half of the way in ten reports.  */
  now_ms = report (&speed, 55, 40, 300, now_ms);
  now_ms = report (&speed, 155, 10, 300, now_ms);
  ck_assert_double_gt (instance_speed_lasting (&speed), 0.95);
  ck_assert_double_lt (instance_speed_lasting (&speed), 1.2);
  report (&speed, 155, 20, 300, now_ms);
  ck_assert_double_gt (instance_speed_lasting (&speed), 1.4);
}
END_TEST

/* Many reports within one slowdown count as one, and so do rare ones.  */
START_TEST (reports_of_one_moment_count_as_one)
{
  instance_speed_t speed = { 0 };
  uint64_t now_ms = report (&speed, 100, 40, 300, START_MS);

  report (&speed, 300, 300, 1, now_ms);
  ck_assert_double_lt (instance_speed_lasting (&speed), 1.35);
  now_ms += 60000;
  report (&speed, 300, 1, 0, now_ms);
  ck_assert_double_lt (instance_speed_lasting (&speed), 2.3);
  ck_assert_double_gt (instance_speed_lasting (&speed), 1.5);
}
END_TEST

/* Factors out of range must change nothing; the clock may stand still.  */
START_TEST (absurd_factors_are_ignored)
{
  static const double factors[] = { 0, -1, 0.0099, 100.1, NAN, INFINITY };
  instance_speed_t speed = { 0 };

  ck_assert (!instance_speed_report (&speed, 0, START_MS));
  ck_assert (!instance_speed_report (&speed, 10001, START_MS));
  for (size_t i = 0; i < sizeof factors / sizeof factors[0]; i++)
    ck_assert (!instance_speed_hear (&speed, factors[i], 0, START_MS));
  ck_assert (!instance_speed_is_known (&speed));
  ck_assert_uint_eq (instance_speed_age_ms (&speed, START_MS), UINT64_MAX);
  report (&speed, 10000, 3, 0, START_MS);
  ck_assert_double_eq (instance_speed_lasting (&speed), 100);
  report (&speed, 1, 3, 0, START_MS - 5);
  ck_assert_double_gt (instance_speed_lasting (&speed), 0);
}
END_TEST

/* A gateway's own fresh reports weigh more than what it hears, old ones less,
   and what it hears is not reported as its own.  */
START_TEST (heard_factor_weighs_less_than_a_report)
{
  instance_speed_t speed = { 0 };
  uint64_t age_ms;

  ck_assert (instance_speed_hear (&speed, 3, 600000, START_MS + 600000));
  ck_assert_double_eq (instance_speed_lasting (&speed), 3);
  ck_assert_double_eq (instance_speed_own (&speed, START_MS, &age_ms), 0);
  uint64_t now_ms = START_MS + 600000;
  ck_assert (instance_speed_hear (&speed, 3, 0, now_ms));
  ck_assert (!instance_speed_hear (&speed, 1, 1000, now_ms));
  report (&speed, 100, 1, 0, now_ms);
  ck_assert_double_lt (instance_speed_lasting (&speed), 2);
  ck_assert_double_gt (instance_speed_lasting (&speed), 1.5);
  ck_assert_double_eq (instance_speed_own (&speed, now_ms + 7, &age_ms), 1);
  ck_assert_uint_eq (age_ms, 7);
  now_ms = report (&speed, 100, 30, 300, now_ms);
  ck_assert (instance_speed_hear (&speed, 3, 0, now_ms));
  ck_assert_double_lt (instance_speed_lasting (&speed), 1.15);
  now_ms += 60000;
  ck_assert (instance_speed_hear (&speed, 3, 0, now_ms));
  ck_assert_double_gt (instance_speed_lasting (&speed), 2.9);
  ck_assert_uint_eq (instance_speed_age_ms (&speed, now_ms + 5), 5);
}
END_TEST

typedef struct
{
  clock_iface_t *clock;
  pool_t *pool;
  upstream_t *upstreams[INSTANCES];
} fixture_t;

static upstream_t *
put (fixture_t *f, int index, uint64_t incarnation)
{
  char id[16];

  snprintf (id, sizeof id, "i-%d", index);
  const upstream_info_t info = { .id = str_from (id),
                                 .service = STR ("llm"),
                                 .address = STR ("127.0.0.1:1"),
                                 .zone = STR ("a"),
                                 .version = STR ("v1"),
                                 .slots = 64,
                                 .incarnation = incarnation };
  pool_put (f->pool, &info);
  return f->upstreams[index] = pool_find (f->pool, info.id);
}

static void
setup (fixture_t *f)
{
  const pool_options_t options = { .zone = STR ("a") };

  f->clock = clock_manual_create (0);
  clock_manual_advance_us (f->clock, START_MS * 1000);
  f->pool = pool_create (f->clock, 1, &options);
  for (int i = 0; i < INSTANCES; i++)
    put (f, i, 1);
}

static void
teardown (fixture_t *f)
{
  pool_destroy (f->pool);
  clock_manual_destroy (f->clock);
}

/* Return the instance for KEY.  */
static int
choose (fixture_t *f, uint64_t key)
{
  const pool_criteria_t criteria
      = { .service = STR ("llm"), .affinity_key = key };
  upstream_t *upstream;

  ck_assert_int_eq (pool_select (f->pool, &criteria, &upstream), VH_OK);
  for (int i = 0; i < INSTANCES; i++)
    if (f->upstreams[i] == upstream)
      return i;
  ck_abort ();
}

/* Prompt prefixes keep requests at slow instances while fast ones are idle.
   When the fast ones are busy, the others must share the keys, and a key moves
   only to one of these: the prefixes of the rest stay in the caches.  */
START_TEST (affinity_keeps_requests_at_slow_instances)
{
  enum
  {
    FAST = 3,
    BUSY_REQUESTS = 8
  };
  static int before[KEYS];
  int counts[INSTANCES] = { 0 };
  fixture_t f;

  setup (&f);
  for (int i = 0; i < INSTANCES; i++)
    pool_record_time_factor (f.pool, f.upstreams[i], i < FAST ? 50 : 100);
  for (int key = 0; key < KEYS; key++)
    counts[before[key]
           = choose (&f, (uint64_t)key * 0x9e3779b97f4a7c15u + 1)]++;
  for (int i = 0; i < INSTANCES; i++)
    {
      double expected = i < FAST ? (double)KEYS / FAST : 0;
      ck_assert_double_ge (counts[i], 0.9 * expected);
      ck_assert_double_le (counts[i], 1.1 * expected);
      counts[i] = 0;
    }
  /* Half of the time for each of 10 + 8 requests, against 10.  */
  for (int i = 0; i < FAST * BUSY_REQUESTS; i++)
    pool_request_started (f.pool, f.upstreams[i % FAST], 0);
  for (int key = 0; key < KEYS; key++)
    {
      int now = choose (&f, (uint64_t)key * 0x9e3779b97f4a7c15u + 1);
      ck_assert (now == before[key] || now >= FAST);
      counts[now]++;
    }
  for (int i = 0; i < INSTANCES; i++)
    {
      ck_assert_double_gt (counts[i], 0.9 * KEYS / INSTANCES);
      ck_assert_double_lt (counts[i], 1.1 * KEYS / INSTANCES);
    }
  for (int i = 0; i < FAST * BUSY_REQUESTS; i++)
    pool_request_finished (f.pool, f.upstreams[i % FAST], 0, SEND_OK);
  teardown (&f);
}
END_TEST

/* A new process under an old id is another one, perhaps on another machine,
   and so is one that a gateway hears of too late.  */
START_TEST (factor_belongs_to_one_process)
{
  fixture_t f;
  double old_factor;
  double factor;

  setup (&f);
  ck_assert (pool_record_time_factor (f.pool, f.upstreams[0], 300));
  ck_assert (pool_record_time_factor (f.pool, f.upstreams[1], 100));
  /* An unknown one counts as the mean.  */
  choose (&f, 0);
  ck_assert_double_eq (upstream_time_factor (f.pool, f.upstreams[2]), 2);
  put (&f, 0, 2);
  choose (&f, 0);
  ck_assert_double_eq (upstream_time_factor (f.pool, f.upstreams[0]), 1);
  ck_assert (!pool_hear_time_factor (f.pool, STR ("i-0"), 1, 3, 0));
  ck_assert (!pool_hear_time_factor (f.pool, STR ("i-99"), 1, 3, 0));
  ck_assert (pool_hear_time_factor (f.pool, STR ("i-0"), 2, 0.5, 100));
  ck_assert_double_eq (upstream_time_factor (f.pool, f.upstreams[0]), 0.5);
  ck_assert_uint_eq (pool_time_factor_range (f.pool, &old_factor, &factor), 2);
  ck_assert_double_eq (old_factor, 0.5);
  ck_assert_double_eq (factor, 1);
  teardown (&f);
}
END_TEST

/* Listed are the factors of own reports only: heard ones would go round
   between the gateways and never get old.  */
START_TEST (only_own_factors_are_listed)
{
  fixture_t f;
  size_t cursor = 0;
  pool_time_factor_t known;

  setup (&f);
  ck_assert (!pool_next_time_factor (f.pool, &cursor, &known));
  pool_hear_time_factor (f.pool, STR ("i-1"), 1, 3, 0);
  pool_record_time_factor (f.pool, f.upstreams[4], 120);
  pool_hear_time_factor (f.pool, STR ("i-4"), 1, 3, 0);
  clock_manual_advance_us (f.clock, 250000);
  ck_assert (pool_next_time_factor (f.pool, &cursor, &known));
  ck_assert (str_eq (known.id, STR ("i-4")));
  ck_assert_uint_eq (known.incarnation, 1);
  ck_assert_uint_eq (known.age_ms, 250);
  ck_assert_double_eq (known.factor, 1.2);
  ck_assert (!pool_next_time_factor (f.pool, &cursor, &known));
  ck_assert_uint_eq (cursor, 0);
  teardown (&f);
}
END_TEST

/* A factor that moves to and fro must not fill the log.  */
START_TEST (changes_are_noticed_rarely)
{
  fixture_t f;
  double old_factor;
  double factor;
  int count = 0;

  setup (&f);
  pool_record_time_factor (f.pool, f.upstreams[0], 110);
  ck_assert (!pool_take_time_factor_change (f.pool, f.upstreams[0],
                                            &old_factor, &factor));
  ck_assert (!pool_take_time_factor_change (f.pool, f.upstreams[1],
                                            &old_factor, &factor));
  pool_record_time_factor (f.pool, f.upstreams[1], 200);
  ck_assert (pool_take_time_factor_change (f.pool, f.upstreams[1], &old_factor,
                                           &factor));
  ck_assert_double_eq (old_factor, 1);
  ck_assert_double_eq (factor, 2);
  for (int i = 0; i < 400; i++)
    {
      clock_manual_advance_us (f.clock, 300000);
      pool_record_time_factor (f.pool, f.upstreams[2],
                               i / 40 % 2 == 0 ? 60 : 300);
      count += pool_take_time_factor_change (f.pool, f.upstreams[2],
                                             &old_factor, &factor);
    }
  ck_assert_int_gt (count, 1);
  ck_assert_int_le (count, 400 * 300 / POOL_TIME_FACTOR_NOTICE_MS + 1);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("instance_speed");
  TCase *tcase = tcase_create ("instance_speed");

  tcase_add_test (tcase, lasting_factor_follows_lasting_changes_only);
  tcase_add_test (tcase, reports_of_one_moment_count_as_one);
  tcase_add_test (tcase, absurd_factors_are_ignored);
  tcase_add_test (tcase, heard_factor_weighs_less_than_a_report);
  tcase_add_test (tcase, affinity_keeps_requests_at_slow_instances);
  tcase_add_test (tcase, factor_belongs_to_one_process);
  tcase_add_test (tcase, only_own_factors_are_listed);
  tcase_add_test (tcase, changes_are_noticed_rarely);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
