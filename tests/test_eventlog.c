/* Format and rate limits of event log lines, and a reader of the log that
   stops.  */

#include "base/eventlog.h"
#include "suite.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  FLOOD_LINES = 2000
};

/* Standard output is redirected to a pipe.  */
typedef struct
{
  int saved_stdout;
  int read_fd;
  clock_iface_t *clock;
} fixture_t;

static void
setup (fixture_t *f)
{
  int pipe_fds[2];

  fflush (stdout);
  ck_assert_int_eq (pipe (pipe_fds), 0);
  f->saved_stdout = dup (STDOUT_FILENO);
  dup2 (pipe_fds[1], STDOUT_FILENO);
  close (pipe_fds[1]);
  f->read_fd = pipe_fds[0];
  fcntl (f->read_fd, F_SETFL, O_NONBLOCK);
  f->clock = clock_manual_create (1000);
  eventlog_set_source (STR ("entry-1"), f->clock);
  eventlog_set_buffered (false);
}

static void
teardown (fixture_t *f)
{
  eventlog_set_buffered (false);
  eventlog_flush ();
  dup2 (f->saved_stdout, STDOUT_FILENO);
  close (f->saved_stdout);
  close (f->read_fd);
  eventlog_set_source (STR (""), NULL);
  clock_manual_destroy (f->clock);
}

static size_t
read_available (fixture_t *f, char *text, size_t size)
{
  size_t len = 0;
  ssize_t bytes_read;

  while (len < size - 1
         && (bytes_read = read (f->read_fd, text + len, size - 1 - len)) > 0)
    len += (size_t)bytes_read;
  text[len] = '\0';
  return len;
}

/* Failure: an id from a client that contains blanks, quotes and a newline
   splits the log line or forges fields.  */
START_TEST (client_text_stays_in_its_field)
{
  fixture_t f;
  char text[1024];

  setup (&f);
  log_event (EVENT_REFUSED, log_field_text (FIELD_ID, STR ("a b=\"c\"\nx")),
             log_field_number (FIELD_STATUS, 503),
             log_field_text (FIELD_REASON, STR ("full")));
  read_available (&f, text, sizeof text);
  teardown (&f);
  ck_assert_str_eq (text,
                    "<6>request: Refused. event=request.refused at=1000.000 "
                    "by=entry-1 id=\"a b=\\\"c\\\"\\u000ax\" status=503 "
                    "reason=full\n");
}
END_TEST

/* Failure: a flood of one event fills the log.  Lines up to the limit of the
   event are written, the others are counted, and a line of another event is
   kept.  */
START_TEST (flood_of_one_event_is_limited)
{
  fixture_t f;
  static char text[1 << 20];
  size_t lines = 0;

  setup (&f);
  for (int i = 0; i < FLOOD_LINES; i++)
    {
      log_event (EVENT_SENT, log_field_number (FIELD_COUNT, (uint64_t)i));
      if (i == FLOOD_LINES / 2)
        log_event (EVENT_ZONE_OUT, log_field_text (FIELD_ZONE, STR ("z")));
    }
  clock_manual_advance_us (f.clock, 1000000);
  log_event (EVENT_SENT, log_field_number (FIELD_COUNT, 0));
  read_available (&f, text, sizeof text);
  teardown (&f);
  for (const char *match = text;
       (match = strstr (match, "event=request.sent")) != NULL; match++)
    lines++;
  ck_assert_uint_eq (lines, log_event_info (EVENT_SENT)->lines_per_s_max + 1);
  ck_assert_ptr_nonnull (strstr (text, "event=zone.out"));
  ck_assert_ptr_nonnull (strstr (text, "event=log.dropped"));
  char dropped[64];
  snprintf (dropped, sizeof dropped, "kind=request.sent count=%u",
            FLOOD_LINES - log_event_info (EVENT_SENT)->lines_per_s_max);
  ck_assert_ptr_nonnull (strstr (text, dropped));
}
END_TEST

/* Failure: the reader of standard output stops, and the full pipe blocks the
   process.  Writes must not block, lines without room are counted, and lines
   are written again when the reader continues.  */
START_TEST (stopped_reader_does_not_block_writes)
{
  fixture_t f;
  static char text[1 << 20];
  uint64_t dropped_before = eventlog_dropped_lines ();

  setup (&f);
  for (int second = 0; second < 100; second++)
    {
      for (int i = 0; i < 100; i++)
        log_event (EVENT_REFUSED, log_field_text (FIELD_ID, STR ("a")),
                   log_field_text (FIELD_REASON, STR ("full")));
      clock_manual_advance_us (f.clock, 1000000);
    }
  uint64_t dropped = eventlog_dropped_lines () - dropped_before;
  ck_assert_uint_gt (read_available (&f, text, sizeof text), 4096);
  log_event (EVENT_ZONE_BACK, log_field_text (FIELD_ZONE, STR ("z")));
  read_available (&f, text, sizeof text);
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

  tcase_add_test (tcase, client_text_stays_in_its_field);
  tcase_add_test (tcase, flood_of_one_event_is_limited);
  tcase_add_test (tcase, stopped_reader_does_not_block_writes);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
