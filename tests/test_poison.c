/* Tests of requests that end their upstreams.  */

#include "policy/poison.h"

#include "base/rng.h"
#include "suite.h"

#include <stdio.h>

static clock_iface_t *manual;
static poison_t *poison;

static void
setup (void)
{
  manual = clock_manual_create (0);
  poison = poison_create (manual);
}

static void
teardown (void)
{
  poison_destroy (poison);
  clock_manual_destroy (manual);
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
mark (const char *content, const char *id, uint64_t death)
{
  poison_record_crash (poison, digest_key (content), request_key (id), death);
}

static poison_class_t
judge (const char *content, const char *id)
{
  return poison_classify (poison, digest_key (content), request_key (id));
}

/* A request ends the upstream that runs it, its caller sends it again under a
   new id, and it ends a second one.  A third must not go.  */
START_TEST (resend_under_a_new_id_is_caught)
{
  ck_assert_int_eq (judge ("bad", "one"), POISON_CLEAR);
  mark ("bad", "one", 1);
  ck_assert_int_eq (judge ("bad", "two"), POISON_SUSPECT);
  mark ("bad", "two", 2);
  ck_assert_int_eq (judge ("bad", "three"), POISON_REFUSED);
  ck_assert_int_eq (judge ("good", "four"), POISON_CLEAR);
}
END_TEST

/* The caller's client adds a time stamp to each try: the content differs, the
   id is the same.  */
START_TEST (resend_with_other_content_is_caught)
{
  mark ("bad at 1", "one", 1);
  ck_assert_int_eq (judge ("bad at 2", "one"), POISON_SUSPECT);
  mark ("bad at 2", "one", 2);
  ck_assert_int_eq (judge ("bad at 3", "one"), POISON_REFUSED);
}
END_TEST

/* Two entries report the same death.  It counts once, or an innocent beside
   the culprit would be refused.  */
START_TEST (a_death_counts_once)
{
  for (int i = 0; i < 5; i++)
    mark ("beside", "one", 1);
  ck_assert_int_eq (judge ("beside", "one"), POISON_SUSPECT);
}
END_TEST

START_TEST (same_id_of_another_team_is_another_request)
{
  mark ("bad", "one", 1);
  ck_assert_int_eq (
      poison_classify (poison, digest_key ("good"),
                       poison_request_key (STR ("drift"), STR ("one"))),
      POISON_CLEAR);
}
END_TEST

/* A suspect beside a booking could leave the booking's outcome unknown; two
   suspects side by side could condemn an innocent one.  */
START_TEST (company_of_suspects)
{
  static const struct
  {
    poison_class_t verdict;
    bool repeatable;
    poison_in_flight_t company;
    bool may;
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
    ck_assert_msg (poison_may_run_beside (cases[i].verdict,
                                          cases[i].repeatable,
                                          &cases[i].company)
                       == cases[i].may,
                   "case %zu", i);
}
END_TEST

START_TEST (marks_expire)
{
  mark ("bad", "one", 1);
  mark ("bad", "one", 2);
  clock_manual_advance_us (manual, (uint64_t)POISON_EXPIRY_MS * 1000 - 1000);
  ck_assert_int_eq (judge ("bad", "one"), POISON_REFUSED);
  clock_manual_advance_us (manual, 1000);
  ck_assert_int_eq (judge ("bad", "one"), POISON_CLEAR);
  mark ("bad", "one", 3);
  ck_assert_int_eq (judge ("bad", "one"), POISON_SUSPECT);
}
END_TEST

/* Each of two sidecars saw one death.  Whatever process hears both, in
   whatever order and however often, refuses.  */
START_TEST (merges_as_a_set)
{
  poison_t *other = poison_create (manual);
  poison_record_t mark_of;
  size_t cursor = 0;

  mark ("bad", "one", 1);
  clock_manual_advance_us (manual, 5000000);
  poison_record_crash (other, digest_key ("bad"), request_key ("two"), 2);
  for (int round = 0; round < 3; round++)
    for (cursor = 0; poison_next_record (poison, &cursor, &mark_of);)
      ck_assert (poison_merge (other, &mark_of) == (round == 0));
  ck_assert_int_eq (
      poison_classify (other, digest_key ("bad"), request_key ("three")),
      POISON_REFUSED);
  /* The age travels: the mark does not grow young by being passed on.  */
  cursor = 0;
  ck_assert (poison_next_record (poison, &cursor, &mark_of));
  ck_assert_uint_eq (mark_of.age_ms, 5000);
  ck_assert_uint_eq (mark_of.death, 1);
  /* A third death, heard late, neither lifts nor lengthens a refusal.  */
  mark_of.key = digest_key ("bad");
  mark_of.death = 3;
  ck_assert (!poison_merge (other, &mark_of));
  mark_of.key = digest_key ("old");
  mark_of.age_ms = POISON_EXPIRY_MS;
  ck_assert (!poison_merge (other, &mark_of));
  mark_of.age_ms = POISON_EXPIRY_MS - 1000;
  clock_manual_advance_us (manual, POISON_EXPIRY_MS * 1000ul);
  ck_assert (poison_merge (other, &mark_of));
  ck_assert_int_eq (poison_classify (other, mark_of.key, request_key ("none")),
                    POISON_SUSPECT);
  clock_manual_advance_us (manual, 1000000);
  ck_assert_int_eq (poison_classify (other, mark_of.key, request_key ("none")),
                    POISON_CLEAR);
  poison_destroy (other);
}
END_TEST

/* Many deaths in an hour fill the memory.  Suspects give way, a refused
   request does not.  */
START_TEST (full_memory_keeps_refusals)
{
  mark ("bad", "one", 1);
  mark ("bad", "one", 2);
  for (int i = 0; i < POISON_KEYS_MAX * 4; i++)
    {
      char text[16];

      clock_manual_advance_us (manual, 1000);
      snprintf (text, sizeof text, "r%d", i);
      mark (text, text, 10 + (uint64_t)i);
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
  tcase_add_test (tcase, resend_under_a_new_id_is_caught);
  tcase_add_test (tcase, resend_with_other_content_is_caught);
  tcase_add_test (tcase, a_death_counts_once);
  tcase_add_test (tcase, same_id_of_another_team_is_another_request);
  tcase_add_test (tcase, company_of_suspects);
  tcase_add_test (tcase, marks_expire);
  tcase_add_test (tcase, merges_as_a_set);
  tcase_add_test (tcase, full_memory_keeps_refusals);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
