/* Log lines: their form, their budgets, and a reader that stops.  */

#include "base/eventlog.h"
#include "suite.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  FLOOD = 2000
};

/* Standard output led into a pipe.  */
typedef struct
{
  int saved;
  int read_end;
  clock_iface_t *clock;
} fixture_t;

static void
setup (fixture_t *f)
{
  int ends[2];

  fflush (stdout);
  ck_assert_int_eq (pipe (ends), 0);
  f->saved = dup (STDOUT_FILENO);
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  f->read_end = ends[0];
  fcntl (f->read_end, F_SETFL, O_NONBLOCK);
  f->clock = clock_manual_create (1000);
  eventlog_set_source (STR ("entry-1"), f->clock);
  eventlog_set_buffered (false);
}

static void
teardown (fixture_t *f)
{
  eventlog_set_buffered (false);
  eventlog_flush ();
  dup2 (f->saved, STDOUT_FILENO);
  close (f->saved);
  close (f->read_end);
  eventlog_set_source (STR (""), NULL);
  clock_manual_destroy (f->clock);
}

static size_t
drain (fixture_t *f, char *text, size_t size)
{
  size_t len = 0;
  ssize_t got;

  while (len < size - 1
         && (got = read (f->read_end, text + len, size - 1 - len)) > 0)
    len += (size_t)got;
  text[len] = '\0';
  return len;
}

/* What a caller chose, an id with blanks and a line's end, stays inside its
   field.  */
START_TEST (a_line_is_read_by_a_program)
{
  fixture_t f;
  char text[1024];

  setup (&f);
  log_event (EVENT_REFUSED, log_field_text (FIELD_ID, STR ("a b=\"c\"\nx")),
             log_field_number (FIELD_STATUS, 503),
             log_field_text (FIELD_REASON, STR ("full")));
  drain (&f, text, sizeof text);
  teardown (&f);
  ck_assert_str_eq (text,
                    "<6>request: Refused. event=request.refused at=1000.000 "
                    "by=entry-1 id=\"a b=\\\"c\\\"\\u000ax\" status=503 "
                    "reason=full\n");
}
END_TEST

/* A flood of one kind of line: a budget of them comes out, the rest is
   counted, and a line of another kind is not lost among them.  */
START_TEST (a_flood_keeps_within_its_budget)
{
  fixture_t f;
  static char text[1 << 20];
  size_t lines = 0;

  setup (&f);
  for (int i = 0; i < FLOOD; i++)
    {
      log_event (EVENT_SENT, log_field_number (FIELD_COUNT, (uint64_t)i));
      if (i == FLOOD / 2)
        log_event (EVENT_ZONE_OUT, log_field_text (FIELD_ZONE, STR ("z")));
    }
  clock_manual_advance_us (f.clock, 1000000);
  log_event (EVENT_SENT, log_field_number (FIELD_COUNT, 0));
  drain (&f, text, sizeof text);
  teardown (&f);
  for (const char *at = text; (at = strstr (at, "event=request.sent")) != NULL;
       at++)
    lines++;
  ck_assert_uint_eq (lines, log_event_info (EVENT_SENT)->budget + 1);
  ck_assert_ptr_nonnull (strstr (text, "event=zone.out"));
  ck_assert_ptr_nonnull (strstr (text, "event=log.dropped"));
  char dropped[64];
  snprintf (dropped, sizeof dropped, "kind=request.sent count=%u",
            FLOOD - log_event_info (EVENT_SENT)->budget);
  ck_assert_ptr_nonnull (strstr (text, dropped));
}
END_TEST

/* The reader of standard output stops: writing goes on without waiting, what
   has no room is counted, and lines come again once the reader does.  */
START_TEST (a_stopped_reader_stops_nothing)
{
  fixture_t f;
  static char text[1 << 20];
  uint64_t before = eventlog_dropped_lines ();

  setup (&f);
  for (int second = 0; second < 100; second++)
    {
      for (int i = 0; i < 100; i++)
        log_event (EVENT_REFUSED, log_field_text (FIELD_ID, STR ("a")),
                   log_field_text (FIELD_REASON, STR ("full")));
      clock_manual_advance_us (f.clock, 1000000);
    }
  uint64_t dropped = eventlog_dropped_lines () - before;
  ck_assert_uint_gt (drain (&f, text, sizeof text), 4096);
  log_event (EVENT_ZONE_BACK, log_field_text (FIELD_ZONE, STR ("z")));
  drain (&f, text, sizeof text);
  teardown (&f);
  ck_assert_uint_gt (dropped, 1000);
  ck_assert_ptr_nonnull (strstr (text, "event=zone.back"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("eventlog");
  TCase *tcase = tcase_create ("eventlog");

  tcase_add_test (tcase, a_line_is_read_by_a_program);
  tcase_add_test (tcase, a_flood_keeps_within_its_budget);
  tcase_add_test (tcase, a_stopped_reader_stops_nothing);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
