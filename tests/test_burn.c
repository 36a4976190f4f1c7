/* Tests of the report on burn rates of service-level objectives.  */

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
    .answered_share = 0.99,
    .first_token_ms = 500,
    .between_tokens_ms = 100,
    .timely_share = 0.9,
    .quality_target = 0.8,
    .cost_budget = 4 },
  { .name = { "coast", 5 },
    .team = { "coast-office", 12 },
    .answered_share = 0.9 },
};

static burn_t *
create_burn (uint64_t writer)
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
total_rate (const burn_t *b, burn_kind_t kind, burn_window_t window,
            uint64_t now_ms)
{
  return burn_rate (b, 0, kind, BURN_SPLIT_ALL, STR_NULL, window, now_ms).rate;
}

START_TEST (burn_rate_of_a_kind_is_wrong)
{
  burn_t *b = create_burn (1);

  for (int i = 0; i < 100; i++)
    {
      burn_sample_t s = good_sample ();
      /* 2 of 100 failed, with a budget of 1%.  */
      s.answered = i >= 2;
      /* 40 of 98 late, with a budget of 10%.  */
      s.first_token_ms = i < 42 ? 600 : 200;
      /* 10 of 98 late, with a budget of 10%.  */
      s.between_tokens_ms = i < 12 ? 150 : 40;
      /* 0.3 below 1, with a budget of 0.2.  */
      s.rating = i < 50 ? 0.7 : NAN;
      /* 6, with a budget of 4.  */
      s.cost = 6;
      burn_observe (b, &s, START_MS);
    }
  ck_assert_double_eq_tol (
      total_rate (b, BURN_KIND_ANSWERED, BURN_5M, START_MS), 2, 1e-9);
  ck_assert_double_eq_tol (
      total_rate (b, BURN_KIND_FIRST_TOKEN, BURN_1H, START_MS),
      40 / 98.0 / 0.1, 1e-9);
  ck_assert_double_eq_tol (
      total_rate (b, BURN_KIND_BETWEEN_TOKENS, BURN_6H, START_MS),
      10 / 98.0 / 0.1, 1e-9);
  ck_assert_double_eq_tol (
      total_rate (b, BURN_KIND_QUALITY, BURN_3D, START_MS), 1.5, 1e-6);
  ck_assert_double_eq_tol (total_rate (b, BURN_KIND_COST, BURN_3D, START_MS),
                           1.5, 1e-6);
  ck_assert_double_eq_tol (
      burn_budget_left (b, 0, BURN_KIND_QUALITY, START_MS), -0.5, 1e-6);
  /* The second objective has no budget for cost, and the samples are not of
     its team.  */
  ck_assert_double_eq (burn_rate (b, 1, BURN_KIND_COST, BURN_SPLIT_ALL,
                                  STR_NULL, BURN_3D, START_MS)
                           .rate,
                       0);
  ck_assert_double_eq (burn_rate (b, 1, BURN_KIND_ANSWERED, BURN_SPLIT_ALL,
                                  STR_NULL, BURN_3D, START_MS)
                           .count,
                       0);
  burn_destroy (b);
}
END_TEST

START_TEST (late_rating_counts_a_second_request)
{
  burn_t *b = create_burn (1);
  burn_sample_t s = good_sample ();

  burn_observe (b, &s, START_MS);
  s.rating = 0.5;
  burn_observe_rating (b, &s, START_MS + MINUTE_MS);
  burn_rate_t r = burn_rate (b, 0, BURN_KIND_QUALITY, BURN_SPLIT_VERSION,
                             STR ("small@1"), BURN_1H, START_MS + MINUTE_MS);
  ck_assert_double_eq (r.count, 1);
  ck_assert_double_eq_tol (r.rate, 2.5, 1e-6);
  ck_assert_double_eq (burn_rate (b, 0, BURN_KIND_ANSWERED, BURN_SPLIT_ALL,
                                  STR_NULL, BURN_1H, START_MS + MINUTE_MS)
                           .count,
                       1);
  burn_destroy (b);
}
END_TEST

/* One request a second for three days; for ten minutes, two hours before the
   end, one in five is not answered.  Windows of up to an hour must not include
   the outage; six hours and three days must include their part of it.  */
START_TEST (window_includes_or_misses_a_past_outage)
{
  burn_t *b = create_burn (1);
  uint64_t end = START_MS + 72 * HOUR_MS;
  uint64_t outage_start = end - 2 * HOUR_MS;

  for (uint64_t now = START_MS; now < end; now += 1000)
    {
      burn_sample_t s = good_sample ();
      s.answered = now < outage_start || now >= outage_start + 10 * MINUTE_MS
                   || (now / 1000) % 5 != 0;
      burn_observe (b, &s, now);
    }
  ck_assert_double_eq (total_rate (b, BURN_KIND_ANSWERED, BURN_5M, end), 0);
  ck_assert_double_eq (total_rate (b, BURN_KIND_ANSWERED, BURN_1H, end), 0);
  ck_assert_double_eq_tol (total_rate (b, BURN_KIND_ANSWERED, BURN_6H, end),
                           120 / 21600.0 / 0.01, 0.03);
  ck_assert_double_eq_tol (total_rate (b, BURN_KIND_ANSWERED, BURN_3D, end),
                           120 / 259200.0 / 0.01, 0.003);
  /* 80 hours later the outage is in no window.  */
  ck_assert_double_eq (
      total_rate (b, BURN_KIND_ANSWERED, BURN_3D, end + 80 * HOUR_MS), 0);
  burn_destroy (b);
}
END_TEST

/* One version fails in one zone for one team.  */
static void
observe_one_bad_version (burn_t *b, uint64_t now)
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

/* The report must list the version, team and zone that spend the budget, the
   largest harm first, and no healthy version.  */
START_TEST (report_does_not_name_the_cause)
{
  burn_t *b = create_burn (1);
  buf_t text = BUF_NULL;

  observe_one_bad_version (b, START_MS);
  ck_assert_double_eq_tol (burn_rate (b, 0, BURN_KIND_ANSWERED,
                                      BURN_SPLIT_VERSION, STR ("small@2"),
                                      BURN_1H, START_MS)
                               .rate,
                           50, 1e-6);
  ck_assert_double_eq (burn_rate (b, 0, BURN_KIND_ANSWERED, BURN_SPLIT_VERSION,
                                  STR ("small@1"), BURN_1H, START_MS)
                           .rate,
                       0);
  ck_assert_double_eq_tol (burn_rate (b, 1, BURN_KIND_ANSWERED,
                                      BURN_SPLIT_ZONE, STR ("nairobi-b"),
                                      BURN_1H, START_MS)
                               .rate,
                           5, 1e-6);
  burn_sample_t smaller_harm = good_sample ();
  smaller_harm.zone = STR ("nairobi-c");
  smaller_harm.version = STR ("small@2");
  smaller_harm.answered = false;
  burn_observe (b, &smaller_harm, START_MS);
  burn_write_text (b, START_MS, &text);
  buf_append_char (&text, '\0');
  ck_assert (strstr (text.ptr, "zone nairobi-b")
             < strstr (text.ptr, "zone nairobi-c"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "version small@2"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "team coast-office"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "zone nairobi-b"));
  /* The version has costs, so its name appears below the cost, after
     first-token; it must not appear below answered.  */
  const char *healthy_version = strstr (text.ptr, "version small@1 ");
  ck_assert_ptr_nonnull (healthy_version);
  ck_assert (healthy_version > strstr (text.ptr, "first-token"));
  /* 12.5% failed, with a budget of 1%, give a burn rate of 12.5.  */
  ck_assert_ptr_null (strstr (text.ptr, "page"));
  ck_assert_ptr_nonnull (strstr (text.ptr, "ticket"));
  buf_free (&text);
  burn_destroy (b);
}
END_TEST

START_TEST (short_peak_raises_a_page)
{
  burn_t *b = create_burn (1);
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

START_TEST (json_report_is_malformed)
{
  burn_t *b = create_burn (1);
  buf_t out = BUF_NULL;
  burn_sample_t special = good_sample ();

  special.team = STR ("a \"b\" \\ <c>");
  special.answered = false;
  observe_one_bad_version (b, START_MS);
  burn_observe (b, &special, START_MS);
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

/* Check that all elements are closed, in the reverse order of their opening
   tags.  */
static void
check_elements_are_closed (const char *html)
{
  enum
  {
    OPEN_MAX = 32
  };
  const char *open_elements[OPEN_MAX];
  size_t name_lens[OPEN_MAX];
  int open_count = 0;

  for (const char *at = strchr (html, '<'); at != NULL;
       at = strchr (at + 1, '<'))
    {
      bool is_closing = at[1] == '/';
      const char *name = at + 1 + is_closing;
      size_t name_len = strcspn (name, " />\n");
      const char *end = strchr (at, '>');
      ck_assert_ptr_nonnull (end);
      if (at[1] == '!' || end[-1] == '/' || strncmp (name, "meta", 4) == 0)
        continue;
      if (!is_closing)
        {
          ck_assert_int_lt (open_count, OPEN_MAX);
          open_elements[open_count] = name;
          name_lens[open_count++] = name_len;
          continue;
        }
      ck_assert_int_gt (open_count, 0);
      open_count--;
      ck_assert_msg (name_lens[open_count] == name_len
                         && memcmp (open_elements[open_count], name, name_len)
                                == 0,
                     "near %.30s", at);
    }
  ck_assert_int_eq (open_count, 0);
}

START_TEST (html_report_is_unsafe_or_loads_files)
{
  burn_t *b = create_burn (1);
  buf_t out = BUF_NULL;
  burn_sample_t markup = good_sample ();

  markup.team = STR ("<script>alert('x')</script>&\"");
  markup.answered = false;
  observe_one_bad_version (b, START_MS);
  for (int i = 0; i < 500; i++)
    burn_observe (b, &markup, START_MS);
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
  check_elements_are_closed (out.ptr);
  buf_free (&out);
  burn_destroy (b);
}
END_TEST

static bool
has_same_state (const burn_t *a, const burn_t *b)
{
  buf_t left = BUF_NULL;
  buf_t right = BUF_NULL;

  burn_write_state (a, false, &left);
  burn_write_state (b, false, &right);
  bool same = str_eq (buf_str (&left), buf_str (&right));
  buf_free (&left);
  buf_free (&right);
  return same;
}

/* The operator's report gathers the states of several processes, some twice,
   some late, in any order.  It must equal that of one process that observed
   all requests.  */
START_TEST (merge_depends_on_order_or_redelivery)
{
  enum
  {
    WRITERS = 4,
    MESSAGES = 24
  };
  burn_t *writers[WRITERS];
  buf_t messages[MESSAGES];
  burn_t *single_process = create_burn (50);
  burn_t *ordered = create_burn (51);
  burn_t *shuffled = create_burn (52);
  rng_t rng = rng_make (3);
  buf_t left = BUF_NULL;
  buf_t right = BUF_NULL;

  for (uint64_t i = 0; i < WRITERS; i++)
    writers[i] = create_burn (i + 1);
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
          burn_observe (single_process, &s, now);
        }
      messages[m] = BUF_NULL;
      burn_write_state (writers[m % WRITERS], true, &messages[m]);
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
  ck_assert (has_same_state (ordered, shuffled));
  burn_write_json (single_process, end, &left);
  burn_write_json (shuffled, end, &right);
  ck_assert (str_eq (buf_str (&left), buf_str (&right)));
  burn_t *copied = create_burn (53);
  buf_t copied_state = BUF_NULL;
  burn_write_state (ordered, false, &copied_state);
  burn_merge (copied, buf_str (&copied_state), end);
  buf_free (&copied_state);
  burn_compact (shuffled, 9, end + 3 * HOUR_MS);
  right.len = 0;
  burn_write_json (shuffled, end, &right);
  ck_assert (str_eq (buf_str (&left), buf_str (&right)));
  for (size_t len = 0; len < messages[5].len; len++)
    ck_assert_int_eq (
        burn_merge (ordered, str_make (messages[5].ptr, len), end),
        VH_E_PROTOCOL);
  ck_assert (has_same_state (ordered, copied));
  burn_destroy (copied);
  buf_free (&left);
  buf_free (&right);
  for (int m = 0; m < MESSAGES; m++)
    buf_free (&messages[m]);
  for (int i = 0; i < WRITERS; i++)
    burn_destroy (writers[i]);
  burn_destroy (single_process);
  burn_destroy (ordered);
  burn_destroy (shuffled);
}
END_TEST

/* Two processes observe the same names in a different order.  */
START_TEST (state_depends_on_the_order_of_names)
{
  burn_t *a = create_burn (1);
  burn_t *b = create_burn (2);
  burn_sample_t s = good_sample ();
  burn_sample_t t = good_sample ();
  buf_t from_a = BUF_NULL;
  buf_t from_b = BUF_NULL;

  t.zone = STR ("nairobi-b");
  burn_observe (a, &s, START_MS);
  burn_observe (a, &t, START_MS);
  burn_observe (b, &t, START_MS);
  burn_observe (b, &s, START_MS);
  burn_write_state (a, true, &from_a);
  burn_write_state (b, true, &from_b);
  burn_merge (a, buf_str (&from_b), START_MS);
  burn_merge (b, buf_str (&from_a), START_MS);
  ck_assert (has_same_state (a, b));
  buf_free (&from_a);
  buf_free (&from_b);
  burn_destroy (a);
  burn_destroy (b);
}
END_TEST

/* A caller makes up a new name for each request.  Without a limit the memory
   would grow with the names; with it, the total must stay exact and the names
   above the limit must count as "other".  */
START_TEST (names_exceed_the_memory)
{
  burn_t *b = create_burn (1);
  char name[24];
  double named_count = 0;

  for (int i = 0; i < 2000; i++)
    {
      burn_sample_t s = good_sample ();
      int len = snprintf (name, sizeof name, "team-%d", i);
      s.team = str_make (name, (size_t)len);
      burn_observe (b, &s, START_MS);
    }
  ck_assert_double_eq (burn_rate (b, 0, BURN_KIND_ANSWERED, BURN_SPLIT_ALL,
                                  STR_NULL, BURN_1H, START_MS)
                           .count,
                       2000);
  burn_rate_t other = burn_rate (b, 0, BURN_KIND_ANSWERED, BURN_SPLIT_TEAM,
                                 STR ("other"), BURN_1H, START_MS);
  ck_assert_double_gt (other.count, 2000 - BURN_SERIES_MAX);
  for (int i = 0; i < 2000; i++)
    {
      int len = snprintf (name, sizeof name, "team-%d", i);
      named_count
          += burn_rate (b, 0, BURN_KIND_ANSWERED, BURN_SPLIT_TEAM,
                        str_make (name, (size_t)len), BURN_1H, START_MS)
                 .count;
    }
  ck_assert_double_eq (named_count + other.count, 2000);
  burn_destroy (b);
}
END_TEST

START_TEST (too_many_objectives_are_accepted)
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
  tcase_add_test (tcase, burn_rate_of_a_kind_is_wrong);
  tcase_add_test (tcase, late_rating_counts_a_second_request);
  tcase_add_test (tcase, window_includes_or_misses_a_past_outage);
  tcase_add_test (tcase, report_does_not_name_the_cause);
  tcase_add_test (tcase, short_peak_raises_a_page);
  tcase_add_test (tcase, json_report_is_malformed);
  tcase_add_test (tcase, html_report_is_unsafe_or_loads_files);
  tcase_add_test (tcase, merge_depends_on_order_or_redelivery);
  tcase_add_test (tcase, state_depends_on_the_order_of_names);
  tcase_add_test (tcase, names_exceed_the_memory);
  tcase_add_test (tcase, too_many_objectives_are_accepted);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
