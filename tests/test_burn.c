/* Tests of the service-level burn report.  */

#include "base/rng.h"
#include "policy/burn.h"

#include <check.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* The start of an hour.  */
#define START_MS ((uint64_t)1699999200000)
#define MINUTE_MS ((uint64_t)60 * 1000)
#define HOUR_MS ((uint64_t)60 * MINUTE_MS)

static const burn_objective_t objectives[] = {
  { .name = { "everyone", 8 },
    .answered = 0.99,
    .first_token_ms = 500,
    .between_tokens_ms = 100,
    .within = 0.9,
    .quality = 0.8,
    .cost = 4 },
  { .name = { "coast", 5 }, .team = { "coast-office", 12 }, .answered = 0.9 },
};

static burn_t *
make (uint64_t writer)
{
  burn_t *b = burn_create (writer, BURN_CELLS_DEFAULT);

  ck_assert (burn_set_objectives (b, objectives, 2));
  return b;
}

static burn_sample_t
good_sample (void)
{
  return (burn_sample_t){ .team = STR ("hills"),
                          .model = STR ("small"),
                          .version = STR ("small@1"),
                          .zone = STR ("nairobi-a"),
                          .answered = true,
                          .first_token_ms = 200,
                          .between_tokens_ms = 40,
                          .rating = NAN,
                          .cost = 1 };
}

static double
all_rate (const burn_t *b, burn_kind_t kind, burn_window_t window,
          uint64_t now_ms)
{
  return burn_rate (b, 0, kind, BURN_ALL, STR_NULL, window, now_ms).rate;
}

START_TEST (rates_of_each_kind)
{
  burn_t *b = make (1);

  for (int i = 0; i < 100; i++)
    {
      burn_sample_t s = good_sample ();
      s.answered = i >= 2;                     /* 2 of 100 over 1%.  */
      s.first_token_ms = i < 42 ? 600 : 200;   /* 40 of 98 over 10%.  */
      s.between_tokens_ms = i < 12 ? 150 : 40; /* 10 of 98 over 10%.  */
      s.rating = i < 50 ? 0.7 : NAN;           /* 0.3 lost over 0.2.  */
      s.cost = 6;                              /* 6 over 4.  */
      burn_observe (b, &s, START_MS);
    }
  ck_assert_double_eq_tol (all_rate (b, BURN_ANSWERED, BURN_5M, START_MS), 2,
                           1e-9);
  ck_assert_double_eq_tol (all_rate (b, BURN_FIRST_TOKEN, BURN_1H, START_MS),
                           40 / 98.0 / 0.1, 1e-9);
  ck_assert_double_eq_tol (
      all_rate (b, BURN_BETWEEN_TOKENS, BURN_6H, START_MS), 10 / 98.0 / 0.1,
      1e-9);
  ck_assert_double_eq_tol (all_rate (b, BURN_QUALITY, BURN_3D, START_MS), 1.5,
                           1e-6);
  ck_assert_double_eq_tol (all_rate (b, BURN_COST, BURN_3D, START_MS), 1.5,
                           1e-6);
  ck_assert_double_eq_tol (burn_budget_left (b, 0, BURN_QUALITY, START_MS),
                           -0.5, 1e-6);
  /* Not asked by the second objective, or not of its team.  */
  ck_assert_double_eq (
      burn_rate (b, 1, BURN_COST, BURN_ALL, STR_NULL, BURN_3D, START_MS).rate,
      0);
  ck_assert_double_eq (
      burn_rate (b, 1, BURN_ANSWERED, BURN_ALL, STR_NULL, BURN_3D, START_MS)
          .count,
      0);
  burn_destroy (b);
}
END_TEST

START_TEST (late_rating_counts_once)
{
  burn_t *b = make (1);
  burn_sample_t s = good_sample ();

  burn_observe (b, &s, START_MS);
  s.rating = 0.5;
  burn_observe_rating (b, &s, START_MS + MINUTE_MS);
  burn_rate_t r = burn_rate (b, 0, BURN_QUALITY, BURN_VERSION, STR ("small@1"),
                             BURN_1H, START_MS + MINUTE_MS);
  ck_assert_double_eq (r.count, 1);
  ck_assert_double_eq_tol (r.rate, 2.5, 1e-6);
  ck_assert_double_eq (burn_rate (b, 0, BURN_ANSWERED, BURN_ALL, STR_NULL,
                                  BURN_1H, START_MS + MINUTE_MS)
                           .count,
                       1);
  burn_destroy (b);
}
END_TEST

/* A request a second for three days; for ten minutes, two hours ago, one in
   five was not answered.  The short windows must be clean again, the six
   hours must show it, and the three days must have spent their part.  */
START_TEST (windows_see_what_they_cover)
{
  burn_t *b = make (1);
  uint64_t end = START_MS + 72 * HOUR_MS;
  uint64_t bad = end - 2 * HOUR_MS;

  for (uint64_t now = START_MS; now < end; now += 1000)
    {
      burn_sample_t s = good_sample ();
      s.answered
          = now < bad || now >= bad + 10 * MINUTE_MS || (now / 1000) % 5 != 0;
      burn_observe (b, &s, now);
    }
  ck_assert_double_eq (all_rate (b, BURN_ANSWERED, BURN_5M, end), 0);
  ck_assert_double_eq (all_rate (b, BURN_ANSWERED, BURN_1H, end), 0);
  ck_assert_double_eq_tol (all_rate (b, BURN_ANSWERED, BURN_6H, end),
                           120 / 21600.0 / 0.01, 0.03);
  ck_assert_double_eq_tol (all_rate (b, BURN_ANSWERED, BURN_3D, end),
                           120 / 259200.0 / 0.01, 0.003);
  /* Long after, nothing is left of it.  */
  ck_assert_double_eq (
      all_rate (b, BURN_ANSWERED, BURN_3D, end + 80 * HOUR_MS), 0);
  burn_destroy (b);
}
END_TEST

/* One version fails in one zone for one team.  The report must name them,
   the worst first, and not the innocent.  */
static void
fill_one_culprit (burn_t *b, uint64_t now)
{
  for (int i = 0; i < 1000; i++)
    {
      burn_sample_t s = good_sample ();
      if (i % 4 == 0)
        {
          s.team = STR ("coast-office");
          s.version = STR ("small@2");
          s.zone = STR ("nairobi-b");
          s.answered = i % 8 != 0;
        }
      burn_observe (b, &s, now);
    }
}

START_TEST (culprits_are_named)
{
  burn_t *b = make (1);
  buf_t text = BUF_NULL;

  fill_one_culprit (b, START_MS);
  ck_assert_double_eq_tol (burn_rate (b, 0, BURN_ANSWERED, BURN_VERSION,
                                      STR ("small@2"), BURN_1H, START_MS)
                               .rate,
                           50, 1e-6);
  ck_assert_double_eq (burn_rate (b, 0, BURN_ANSWERED, BURN_VERSION,
                                  STR ("small@1"), BURN_1H, START_MS)
                           .rate,
                       0);
  ck_assert_double_eq_tol (burn_rate (b, 1, BURN_ANSWERED, BURN_ZONE,
                                      STR ("nairobi-b"), BURN_1H, START_MS)
                               .rate,
                           5, 1e-6);
  burn_sample_t lesser = good_sample ();
  lesser.zone = STR ("nairobi-c");
  lesser.version = STR ("small@2");
  lesser.answered = false;
  burn_observe (b, &lesser, START_MS);
  burn_write_text (b, START_MS, &text);
  buf_append_char (&text, '\0');
  ck_assert (strstr (text.ptr, "zone nairobi-b")
             < strstr (text.ptr, "zone nairobi-c"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "version small@2"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "team coast-office"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "zone nairobi-b"));
  /* It costs something too, so it stands under that; not under this.  */
  const char *innocent = strstr (text.ptr, "version small@1 ");
  ck_assert_ptr_nonnull (innocent);
  ck_assert (innocent > strstr (text.ptr, "first-token"));
  /* 12.5% over 1% is a burn of 12.5.  */
  ck_assert_ptr_null (strstr (text.ptr, "page"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "ticket"));
  buf_free (&text);
  burn_destroy (b);
}
END_TEST

START_TEST (page_needs_both_windows)
{
  burn_t *b = make (1);
  buf_t text = BUF_NULL;

  for (int i = 0; i < 4000; i++)
    {
      burn_sample_t s = good_sample ();
      burn_observe (b, &s, START_MS);
    }
  for (int i = 0; i < 100; i++)
    {
      burn_sample_t s = good_sample ();
      s.answered = false;
      burn_observe (b, &s, START_MS + 30 * MINUTE_MS);
    }
  burn_write_text (b, START_MS + 30 * MINUTE_MS, &text);
  buf_append_char (&text, '\0');
  ck_assert_ptr_null (strstr (text.ptr, "page"));
  for (int i = 0; i < 900; i++)
    {
      burn_sample_t s = good_sample ();
      s.answered = false;
      burn_observe (b, &s, START_MS + 30 * MINUTE_MS);
    }
  text.len = 0;
  burn_write_text (b, START_MS + 30 * MINUTE_MS, &text);
  buf_append_char (&text, '\0');
  ck_assert_ptr_nonnull (strstr (text.ptr, "page"));
  buf_free (&text);
  burn_destroy (b);
}
END_TEST

START_TEST (json_is_valid)
{
  burn_t *b = make (1);
  buf_t out = BUF_NULL;
  burn_sample_t odd = good_sample ();

  odd.team = STR ("a \"b\" \\ <c>");
  odd.answered = false;
  fill_one_culprit (b, START_MS);
  burn_observe (b, &odd, START_MS);
  burn_write_json (b, START_MS, &out);
  json_t *root = json_loadb (out.ptr, out.len, 0, NULL);
  ck_assert_ptr_nonnull (root);
  json_t *first = json_array_get (json_object_get (root, "objectives"), 0);
  json_t *kinds = json_object_get (first, "kinds");
  ck_assert_uint_eq (json_array_size (kinds), BURN_KIND_COUNT);
  json_t *answered = json_array_get (kinds, 0);
  ck_assert_str_eq (json_string_value (json_object_get (answered, "state")),
                    "ticket");
  json_t *hour = json_object_get (json_object_get (answered, "windows"), "1h");
  ck_assert_double_eq_tol (json_number_value (json_object_get (hour, "rate")),
                           126 / 1001.0 / 0.01, 1e-3);
  json_decref (root);
  buf_free (&out);
  burn_destroy (b);
}
END_TEST

/* Check that every element that is opened is closed in order.  */
static void
check_nesting (const char *html)
{
  enum
  {
    DEPTH = 32
  };
  const char *stack[DEPTH];
  size_t lens[DEPTH];
  int depth = 0;

  for (const char *at = strchr (html, '<'); at != NULL;
       at = strchr (at + 1, '<'))
    {
      bool closing = at[1] == '/';
      const char *name = at + 1 + closing;
      size_t len = strcspn (name, " />\n");
      const char *end = strchr (at, '>');
      ck_assert_ptr_nonnull (end);
      if (at[1] == '!' || end[-1] == '/' || strncmp (name, "meta", 4) == 0)
        continue;
      if (!closing)
        {
          ck_assert_int_lt (depth, DEPTH);
          stack[depth] = name;
          lens[depth++] = len;
          continue;
        }
      ck_assert_int_gt (depth, 0);
      depth--;
      ck_assert_msg (lens[depth] == len
                         && memcmp (stack[depth], name, len) == 0,
                     "near %.30s", at);
    }
  ck_assert_int_eq (depth, 0);
}

START_TEST (html_is_one_safe_page)
{
  burn_t *b = make (1);
  buf_t out = BUF_NULL;
  burn_sample_t odd = good_sample ();

  odd.team = STR ("<script>alert('x')</script>&\"");
  odd.answered = false;
  fill_one_culprit (b, START_MS);
  for (int i = 0; i < 500; i++)
    burn_observe (b, &odd, START_MS);
  burn_write_html (b, START_MS, &out);
  buf_append_char (&out, '\0');
  ck_assert_ptr_null (strstr (out.ptr, "<script"));
  ck_assert_ptr_nonnull (strstr (out.ptr, "&lt;script&gt;"));
  ck_assert_ptr_null (strstr (out.ptr, "http:"));
  ck_assert_ptr_null (strstr (out.ptr, "src="));
  ck_assert_ptr_nonnull (strstr (out.ptr, "name='viewport'"));
  ck_assert_ptr_nonnull (strstr (out.ptr, "@media print"));
  ck_assert_ptr_nonnull (strstr (out.ptr, "<svg "));
  ck_assert_ptr_nonnull (strstr (out.ptr, "class='page'"));
  check_nesting (out.ptr);
  buf_free (&out);
  burn_destroy (b);
}
END_TEST

static bool
same_state (const burn_t *a, const burn_t *b)
{
  buf_t left = BUF_NULL;
  buf_t right = BUF_NULL;

  burn_write (a, false, &left);
  burn_write (b, false, &right);
  bool same = str_eq (buf_str (&left), buf_str (&right));
  buf_free (&left);
  buf_free (&right);
  return same;
}

/* An operator's report gathers the entries' states; some answer twice, some
   late, in any order.  The report must be that of one process that saw
   everything.  */
START_TEST (merge_order_and_redelivery_do_not_matter)
{
  enum
  {
    WRITERS = 4,
    MESSAGES = 24
  };
  burn_t *writers[WRITERS];
  buf_t messages[MESSAGES];
  burn_t *whole = make (50);
  burn_t *ordered = make (51);
  burn_t *shuffled = make (52);
  rng_t rng = rng_make (3);
  buf_t left = BUF_NULL;
  buf_t right = BUF_NULL;

  for (uint64_t i = 0; i < WRITERS; i++)
    writers[i] = make (i + 1);
  for (int m = 0; m < MESSAGES; m++)
    {
      uint64_t now = START_MS + (uint64_t)m * MINUTE_MS;
      for (int i = 0; i < 10; i++)
        {
          burn_sample_t s = good_sample ();
          s.answered = rng_below (&rng, 5) != 0;
          s.rating = rng_double (&rng);
          s.zone = rng_below (&rng, 2) == 0 ? STR ("a") : STR ("b");
          burn_observe (writers[m % WRITERS], &s, now);
          burn_observe (whole, &s, now);
        }
      messages[m] = BUF_NULL;
      burn_write (writers[m % WRITERS], true, &messages[m]);
    }
  uint64_t end = START_MS + MESSAGES * MINUTE_MS;
  for (int m = 0; m < MESSAGES; m++)
    ck_assert_int_eq (burn_merge (ordered, buf_str (&messages[m]), end),
                      VH_OK);
  for (int m = 0; m < 3 * MESSAGES; m++)
    burn_merge (shuffled, buf_str (&messages[rng_below (&rng, MESSAGES)]),
                end);
  for (int m = MESSAGES - 1; m >= 0; m--)
    burn_merge (shuffled, buf_str (&messages[m]), end);
  ck_assert (same_state (ordered, shuffled));
  burn_write_json (whole, end, &left);
  burn_write_json (shuffled, end, &right);
  ck_assert (str_eq (buf_str (&left), buf_str (&right)));
  burn_t *untouched = make (53);
  buf_t copy = BUF_NULL;
  burn_write (ordered, false, &copy);
  burn_merge (untouched, buf_str (&copy), end);
  buf_free (&copy);
  burn_compact (shuffled, 9, end + 3 * HOUR_MS);
  right.len = 0;
  burn_write_json (shuffled, end, &right);
  ck_assert (str_eq (buf_str (&left), buf_str (&right)));
  for (size_t len = 0; len < messages[5].len; len++)
    ck_assert_int_eq (
        burn_merge (ordered, str_make (messages[5].ptr, len), end),
        VH_E_PROTOCOL);
  ck_assert (same_state (ordered, untouched));
  burn_destroy (untouched);
  buf_free (&left);
  buf_free (&right);
  for (int m = 0; m < MESSAGES; m++)
    buf_free (&messages[m]);
  for (int i = 0; i < WRITERS; i++)
    burn_destroy (writers[i]);
  burn_destroy (whole);
  burn_destroy (ordered);
  burn_destroy (shuffled);
}
END_TEST

/* Two entries met the same names in a different order.  */
START_TEST (order_of_names_does_not_matter)
{
  burn_t *a = make (1);
  burn_t *b = make (2);
  burn_sample_t s = good_sample ();
  burn_sample_t t = good_sample ();
  buf_t from_a = BUF_NULL;
  buf_t from_b = BUF_NULL;

  t.zone = STR ("nairobi-b");
  burn_observe (a, &s, START_MS);
  burn_observe (a, &t, START_MS);
  burn_observe (b, &t, START_MS);
  burn_observe (b, &s, START_MS);
  burn_write (a, true, &from_a);
  burn_write (b, true, &from_b);
  burn_merge (a, buf_str (&from_b), START_MS);
  burn_merge (b, buf_str (&from_a), START_MS);
  ck_assert (same_state (a, b));
  buf_free (&from_a);
  buf_free (&from_b);
  burn_destroy (a);
  burn_destroy (b);
}
END_TEST

/* A caller makes up a new name for each request.  Memory stays bounded, the
   whole stays right, and the names beyond the most count as "other".  */
START_TEST (names_are_bounded)
{
  burn_t *b = make (1);
  char name[24];
  double named = 0;

  for (int i = 0; i < 2000; i++)
    {
      burn_sample_t s = good_sample ();
      int len = snprintf (name, sizeof name, "team-%d", i);
      s.team = str_make (name, (size_t)len);
      burn_observe (b, &s, START_MS);
    }
  ck_assert_double_eq (
      burn_rate (b, 0, BURN_ANSWERED, BURN_ALL, STR_NULL, BURN_1H, START_MS)
          .count,
      2000);
  burn_rate_t other = burn_rate (b, 0, BURN_ANSWERED, BURN_TEAM, STR ("other"),
                                 BURN_1H, START_MS);
  ck_assert_double_gt (other.count, 2000 - BURN_SERIES_MAX);
  for (int i = 0; i < 2000; i++)
    {
      int len = snprintf (name, sizeof name, "team-%d", i);
      named += burn_rate (b, 0, BURN_ANSWERED, BURN_TEAM,
                          str_make (name, (size_t)len), BURN_1H, START_MS)
                   .count;
    }
  ck_assert_double_eq (named + other.count, 2000);
  burn_destroy (b);
}
END_TEST

START_TEST (too_many_objectives_are_refused)
{
  burn_t *b = burn_create (1, 64);
  burn_objective_t many[BURN_OBJECTIVES_MAX + 1];
  buf_t text = BUF_NULL;

  burn_write_text (b, START_MS, &text);
  ck_assert (str_eq (buf_str (&text), STR ("No objective is configured.\n")));
  buf_free (&text);
  for (int i = 0; i <= BURN_OBJECTIVES_MAX; i++)
    many[i] = objectives[0];
  ck_assert (!burn_set_objectives (b, many, BURN_OBJECTIVES_MAX + 1));
  ck_assert (burn_set_objectives (b, many, BURN_OBJECTIVES_MAX));
  burn_destroy (b);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("burn");
  TCase *tcase = tcase_create ("burn");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, rates_of_each_kind);
  tcase_add_test (tcase, late_rating_counts_once);
  tcase_add_test (tcase, windows_see_what_they_cover);
  tcase_add_test (tcase, culprits_are_named);
  tcase_add_test (tcase, page_needs_both_windows);
  tcase_add_test (tcase, json_is_valid);
  tcase_add_test (tcase, html_is_one_safe_page);
  tcase_add_test (tcase, merge_order_and_redelivery_do_not_matter);
  tcase_add_test (tcase, order_of_names_does_not_matter);
  tcase_add_test (tcase, names_are_bounded);
  tcase_add_test (tcase, too_many_objectives_are_refused);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
