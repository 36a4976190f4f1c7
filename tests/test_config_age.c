/* All orders of cuts, revoked keys, growing configurations, restarts and a
   store that comes back from an older copy, in steps: a key must not be
   accepted for longer after its revocation than keys are trusted, and sound
   keys must be accepted again soon after the store is reached.  */

#include "policy/config_age.h"
#include "suite.h"

#include <string.h>

enum
{
  STEP_MS = 500,
  /* Age up to which the keys of a configuration are accepted, and the time
     within which a revoked key must stop working.  */
  MAX_AGE_MS = 4500,
  REVOCATION_MAX_MS = 5000,
  /* Time that the reply of the store takes.  */
  REPLY_MS = 20,
  ACTIONS_MAX = 6,
  /* Steps after the actions, in which nothing more happens.  */
  QUIET_STEPS = 24,
  /* Longest time to parse a configuration, in steps.  */
  PARSE_STEPS_MAX = 4,
  GAP_STEPS_MAX = 12,
  STEPS_MAX = ACTIONS_MAX * GAP_STEPS_MAX + QUIET_STEPS
};

typedef enum
{
  ACT_NOTHING,
  ACT_REVOKE,     /* A configuration without the key is acknowledged.  */
  ACT_GROW,       /* One with the same keys is.  */
  ACT_CUT,        /* The cut of the gateway begins.  */
  ACT_HEAL,       /* It ends.  */
  ACT_RESTART,    /* The gateway begins anew.  */
  ACT_OLDER_COPY, /* The store comes back without its last configuration, which
                     is written again in the next step.  */
  ACT_COUNT
} action_t;

typedef struct
{
  uint64_t version; /* Of the store.  */
  uint64_t revision;
  bool has_key;
} config_t;

typedef struct
{
  /* The store.  */
  config_t newest;
  config_t before; /* The one before NEWEST.  */
  bool is_copy;    /* The store has BEFORE in place of NEWEST.  */
  uint64_t last_version;
  uint64_t revoked_ms; /* Time of the acknowledgement; 0: it was not.  */
  /* The gateway.  */
  bool is_cut;
  uint64_t reached_since_ms; /* Time since which the store is reached.  */
  config_age_t age;
  uint64_t confirmed_ms;
  config_t in_force; /* Version 0: none.  */
  config_t parsed;
  config_t waiting;
  unsigned parse_steps_left;
} world_t;

static void
write_config (world_t *w, bool has_key)
{
  w->before = w->newest;
  w->newest = (config_t){ ++w->last_version, w->newest.revision + 1, has_key };
}

static void
restart_gateway (world_t *w, uint64_t now_ms)
{
  w->age = (config_age_t){ 0 };
  w->confirmed_ms = 0;
  w->in_force = w->parsed = w->waiting = (config_t){ 0 };
  w->reached_since_ms = now_ms;
}

static void
act (world_t *w, action_t action, uint64_t now_ms)
{
  if (w->is_copy)
    {
      w->is_copy = false;
      w->newest.version = ++w->last_version;
    }
  switch (action)
    {
    case ACT_REVOKE:
      write_config (w, false);
      if (w->revoked_ms == 0)
        w->revoked_ms = now_ms;
      break;
    case ACT_GROW:
      write_config (w, w->newest.has_key);
      break;
    case ACT_CUT:
      w->is_cut = true;
      break;
    case ACT_HEAL:
      if (w->is_cut)
        w->reached_since_ms = now_ms;
      w->is_cut = false;
      break;
    case ACT_RESTART:
      restart_gateway (w, now_ms);
      break;
    case ACT_OLDER_COPY:
      /* Not a copy from before the revocation: a gateway that did not read of
         it before cannot know of it then.  */
      w->is_copy = w->before.has_key == w->newest.has_key;
      if (w->is_copy)
        w->before.version = ++w->last_version;
      break;
    default:
      break;
    }
}

/* Let the gateway read the store, whose reply arrives at NOW_MS.  */
static void
read_store (world_t *w, uint64_t now_ms, unsigned parse_steps)
{
  const config_t *config = w->is_copy ? &w->before : &w->newest;

  if (w->is_cut)
    return;
  if (config_age_read (&w->age, config->version, w->confirmed_ms))
    {
      if (w->parsed.version == 0)
        {
          w->parsed = *config;
          w->parse_steps_left = parse_steps;
        }
      else
        w->waiting = *config;
    }
  w->confirmed_ms = now_ms - REPLY_MS;
}

static void
parse (world_t *w, unsigned parse_steps)
{
  if (w->parsed.version == 0 || w->parse_steps_left-- > 1)
    return;
  bool is_accepted
      = w->in_force.version == 0 || w->parsed.revision > w->in_force.revision;
  config_age_parsed (&w->age, is_accepted);
  if (is_accepted)
    w->in_force = w->parsed;
  w->parsed = w->waiting;
  w->waiting = (config_t){ 0 };
  w->parse_steps_left = parse_steps;
}

static bool
is_fresh (const world_t *w, uint64_t now_ms)
{
  return w->in_force.version != 0
         && config_age_ms (&w->age, w->confirmed_ms, now_ms) <= MAX_AGE_MS;
}

/* Check what the gateway accepts from FROM_MS until UNTIL_MS.  */
static void
check (const world_t *w, uint64_t from_ms, uint64_t until_ms,
       unsigned parse_steps, const char *actions)
{
  /* What was read when the store was reached is parsed, then what was read
     meanwhile.  */
  uint64_t settle_ms = (2 * parse_steps + 2) * STEP_MS;

  for (uint64_t now_ms = from_ms; now_ms < until_ms; now_ms += STEP_MS / 4)
    {
      bool is_accepting = is_fresh (w, now_ms);
      if (is_accepting && w->in_force.has_key && w->revoked_ms != 0
          && now_ms > w->revoked_ms + REVOCATION_MAX_MS)
        ck_abort_msg ("a revoked key works: %s", actions);
      if (!is_accepting && !w->is_cut
          && now_ms >= w->reached_since_ms + settle_ms)
        ck_abort_msg ("sound keys are refused: %s", actions);
    }
}

/* Let STEPS pass, with ACTIONS[I] at the end of step I, and check each. Return
   the world after them.  */
static world_t
play (const action_t *actions, size_t steps, unsigned parse_steps,
      const char *text)
{
  world_t w = { .last_version = 1, .newest = { 1, 1, true } };
  uint64_t now_ms = 1000000;

  w.before = w.newest;
  restart_gateway (&w, now_ms);
  for (size_t i = 0; i < steps; i++)
    {
      /* The last confirmation before an action is up to a step old.  */
      read_store (&w, now_ms, parse_steps);
      parse (&w, parse_steps);
      check (&w, now_ms, now_ms + STEP_MS, parse_steps, text);
      now_ms += STEP_MS;
      act (&w, actions[i], now_ms);
    }
  return w;
}

/* Play ACTIONS with GAP_STEPS from one to the next.  */
static void
play_with_gaps (const action_t actions[ACTIONS_MAX], unsigned gap_steps,
                unsigned parse_steps, const char *text)
{
  action_t steps[STEPS_MAX] = { ACT_NOTHING };

  for (size_t i = 0; i < ACTIONS_MAX; i++)
    steps[i * gap_steps] = actions[i];
  play (steps, ACTIONS_MAX * gap_steps + QUIET_STEPS, parse_steps, text);
}

/* A key works again, or sound keys are refused for long, in some order of
   events.  */
START_TEST (keys_in_all_orders)
{
  static const char letters[] = "-RGCHSO";
  /* With the longest, a cut lasts longer than a revocation may take.  */
  static const unsigned gaps[] = { 1, 2, 5, GAP_STEPS_MAX };
  unsigned parse_steps = (unsigned)_i;
  unsigned count = 1;

  for (int i = 0; i < ACTIONS_MAX; i++)
    count *= ACT_COUNT;
  for (unsigned order = 0; order < count; order++)
    {
      action_t actions[ACTIONS_MAX];
      char text[ACTIONS_MAX + 1] = "";
      unsigned rest = order;
      for (int i = 0; i < ACTIONS_MAX; i++, rest /= ACT_COUNT)
        {
          actions[i] = (action_t)(rest % ACT_COUNT);
          text[i] = letters[actions[i]];
        }
      for (size_t i = 0; i < sizeof gaps / sizeof gaps[0]; i++)
        play_with_gaps (actions, gaps[i], parse_steps, text);
    }
}
END_TEST

/* Long texts come one after the other, faster than they are parsed.  Sound
   keys must not be refused.  */
START_TEST (long_texts_in_series)
{
  action_t actions[STEPS_MAX];

  for (size_t i = 0; i < STEPS_MAX; i++)
    actions[i] = ACT_GROW;
  play (actions, STEPS_MAX, (unsigned)_i, "series");
}
END_TEST

/* A key is revoked at the begin of a cut that lasts longer than keys are
   trusted.  */
START_TEST (revocation_behind_long_cut)
{
  static const action_t actions[STEPS_MAX]
      = { [10] = ACT_CUT, [11] = ACT_REVOKE, [26] = ACT_HEAL };

  world_t w = play (actions, STEPS_MAX, (unsigned)_i, "long cut");
  ck_assert (!w.in_force.has_key);
}
END_TEST

/* A text that cannot be parsed must not take the keys in force away.  */
START_TEST (unreadable_text_keeps_keys)
{
  config_age_t age = { 0 };

  ck_assert_uint_eq (config_age_ms (&age, 0, 100), UINT64_MAX);
  ck_assert (config_age_read (&age, 1, 0));
  config_age_parsed (&age, false);
  ck_assert_uint_eq (config_age_ms (&age, 50, 100), UINT64_MAX);
  ck_assert (config_age_read (&age, 2, 50));
  config_age_parsed (&age, true);
  ck_assert (!config_age_read (&age, 2, 60));
  ck_assert (config_age_read (&age, 3, 80));
  ck_assert_uint_eq (config_age_ms (&age, 90, 100), 20);
  config_age_parsed (&age, false);
  ck_assert_uint_eq (config_age_ms (&age, 90, 100), 10);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config_age");
  TCase *tcase = tcase_create ("config_age");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, keys_in_all_orders, 1, PARSE_STEPS_MAX + 1);
  tcase_add_loop_test (tcase, long_texts_in_series, 1, PARSE_STEPS_MAX + 1);
  tcase_add_loop_test (tcase, revocation_behind_long_cut, 1,
                       PARSE_STEPS_MAX + 1);
  tcase_add_test (tcase, unreadable_text_keeps_keys);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
