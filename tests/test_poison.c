/* Tests of requests that crash their upstreams.  */

#include "policy/poison.h"

#include "base/rng.h"
#include "suite.h"

#include <stdio.h>

static clock_iface_t *manual_clock;
static poison_t *poison;

static void
setup (void)
{
  manual_clock = clock_manual_create (0);
  poison = poison_create (manual_clock);
}

static void
teardown (void)
{
  poison_destroy (poison);
  clock_manual_destroy (manual_clock);
}

static poison_key_t
digest_key (const char *content)
{
  return poison_digest_key (str_from (content));
}

static poison_key_t
request_key (const char *id)
{
  return poison_request_key (STR ("coast"), str_from (id));
}

static void
record (const char *content, const char *id, uint64_t crash_id)
{
  poison_record_crash (poison, digest_key (content), request_key (id),
                       crash_id);
}

static poison_class_t
judge (const char *content, const char *id)
{
  return poison_classify (poison, digest_key (content), request_key (id));
}

/* A request crashes its upstream, its caller sends it again under a new id,
   and it crashes a second one.  A third run would crash the next
   upstream.  */
START_TEST (resend_under_a_new_id_is_not_refused)
{
  ck_assert_int_eq (judge ("bad", "one"), POISON_CLEAR);
  record ("bad", "one", 1);
  ck_assert_int_eq (judge ("bad", "two"), POISON_SUSPECT);
  record ("bad", "two", 2);
  ck_assert_int_eq (judge ("bad", "three"), POISON_REFUSED);
  ck_assert_int_eq (judge ("good", "four"), POISON_CLEAR);
}
END_TEST

/* The caller's client adds a time stamp to each resend, so that the content
   differs and only the request id is the same.  */
START_TEST (resend_with_other_content_is_not_refused)
{
  record ("bad at 1", "one", 1);
  ck_assert_int_eq (judge ("bad at 2", "one"), POISON_SUSPECT);
  record ("bad at 2", "one", 2);
  ck_assert_int_eq (judge ("bad at 3", "one"), POISON_REFUSED);
}
END_TEST

/* Two processes report the same crash.  Counted twice, it would refuse a
   request that only ran beside the cause.  */
START_TEST (crash_reported_twice_counts_twice)
{
  for (int i = 0; i < 5; i++)
    record ("beside", "one", 1);
  ck_assert_int_eq (judge ("beside", "one"), POISON_SUSPECT);
}
END_TEST

START_TEST (request_id_of_another_team_is_suspected)
{
  record ("bad", "one", 1);
  ck_assert_int_eq (
      poison_classify (poison, digest_key ("good"),
                       poison_request_key (STR ("drift"), STR ("one"))),
      POISON_CLEAR);
}
END_TEST

/* A crash leaves the outcome of a request unknown that is not idempotent; of
   two suspects on one upstream, a crash may refuse the wrong one.  */
START_TEST (suspect_runs_beside_unsafe_requests)
{
  static const struct
  {
    poison_class_t class;
    bool idempotent;
    poison_in_flight_t in_flight;
    bool may_run;
  } cases[] = {
    { POISON_CLEAR, true, { 0, 0 }, true },
    { POISON_CLEAR, true, { 1, 0 }, true },
    { POISON_CLEAR, false, { 0, 3 }, true },
    { POISON_CLEAR, false, { 1, 0 }, false },
    { POISON_SUSPECT, true, { 0, 0 }, true },
    { POISON_SUSPECT, false, { 0, 0 }, true },
    { POISON_SUSPECT, true, { 0, 1 }, false },
    { POISON_SUSPECT, true, { 1, 0 }, false },
    { POISON_REFUSED, true, { 0, 0 }, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    ck_assert_msg (poison_may_run_beside (cases[i].class, cases[i].idempotent,
                                          &cases[i].in_flight)
                       == cases[i].may_run,
                   "case %zu", i);
}
END_TEST

START_TEST (records_do_not_expire)
{
  record ("bad", "one", 1);
  record ("bad", "one", 2);
  clock_manual_advance_us (manual_clock,
                           (uint64_t)POISON_EXPIRY_MS * 1000 - 1000);
  ck_assert_int_eq (judge ("bad", "one"), POISON_REFUSED);
  clock_manual_advance_us (manual_clock, 1000);
  ck_assert_int_eq (judge ("bad", "one"), POISON_CLEAR);
  record ("bad", "one", 3);
  ck_assert_int_eq (judge ("bad", "one"), POISON_SUSPECT);
}
END_TEST

/* Two sidecars each report one crash.  A process that merges both records, in
   any order and any number of times, must refuse the request.  */
START_TEST (merge_depends_on_order_or_redelivery)
{
  poison_t *other = poison_create (manual_clock);
  poison_record_t exchanged;
  size_t cursor = 0;

  record ("bad", "one", 1);
  clock_manual_advance_us (manual_clock, 5000000);
  poison_record_crash (other, digest_key ("bad"), request_key ("two"), 2);
  for (int round = 0; round < 3; round++)
    for (cursor = 0; poison_next_record (poison, &cursor, &exchanged);)
      ck_assert (poison_merge (other, &exchanged) == (round == 0));
  ck_assert_int_eq (
      poison_classify (other, digest_key ("bad"), request_key ("three")),
      POISON_REFUSED);
  /* The age is part of the record: a record that is passed on must not live
     longer.  */
  cursor = 0;
  ck_assert (poison_next_record (poison, &cursor, &exchanged));
  ck_assert_uint_eq (exchanged.age_ms, 5000);
  ck_assert_uint_eq (exchanged.crash_id, 1);
  /* A third crash that is reported late must neither lift nor prolong a
     refusal.  */
  exchanged.key = digest_key ("bad");
  exchanged.crash_id = 3;
  ck_assert (!poison_merge (other, &exchanged));
  exchanged.key = digest_key ("old");
  exchanged.age_ms = POISON_EXPIRY_MS;
  ck_assert (!poison_merge (other, &exchanged));
  exchanged.age_ms = POISON_EXPIRY_MS - 1000;
  clock_manual_advance_us (manual_clock, POISON_EXPIRY_MS * 1000ul);
  ck_assert (poison_merge (other, &exchanged));
  ck_assert_int_eq (
      poison_classify (other, exchanged.key, request_key ("none")),
      POISON_SUSPECT);
  clock_manual_advance_us (manual_clock, 1000000);
  ck_assert_int_eq (
      poison_classify (other, exchanged.key, request_key ("none")),
      POISON_CLEAR);
  poison_destroy (other);
}
END_TEST

/* Many crashes in an hour fill the memory.  If records of refused requests
   were dropped, these requests would run again.  */
START_TEST (full_memory_drops_refusals)
{
  record ("bad", "one", 1);
  record ("bad", "one", 2);
  for (int i = 0; i < POISON_KEYS_MAX * 4; i++)
    {
      char text[16];

      clock_manual_advance_us (manual_clock, 1000);
      snprintf (text, sizeof text, "r%d", i);
      record (text, text, 10 + (uint64_t)i);
    }
  ck_assert_int_eq (judge ("bad", "new"), POISON_REFUSED);
  ck_assert_int_eq (judge ("r16383", "new"), POISON_SUSPECT);
  ck_assert_int_eq (judge ("r0", "new"), POISON_CLEAR);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("poison");
  TCase *tcase = tcase_create ("poison");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, resend_under_a_new_id_is_not_refused);
  tcase_add_test (tcase, resend_with_other_content_is_not_refused);
  tcase_add_test (tcase, crash_reported_twice_counts_twice);
  tcase_add_test (tcase, request_id_of_another_team_is_suspected);
  tcase_add_test (tcase, suspect_runs_beside_unsafe_requests);
  tcase_add_test (tcase, records_do_not_expire);
  tcase_add_test (tcase, merge_depends_on_order_or_redelivery);
  tcase_add_test (tcase, full_memory_drops_refusals);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
