/* Event streams taken apart.  */

#include "gateway/events.h"
#include "suite.h"

#define STREAM "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\n\n"

/* However a stream is cut into pieces, the same bytes come out, and only whole
   events.  */
START_TEST (pieces_do_not_matter)
{
  const str_t stream = STR (STREAM);

  for (size_t piece = 1; piece <= stream.len; piece++)
    {
      events_t events = { 0 };
      buf_t out = BUF_NULL;
      size_t count = 0;
      for (size_t at = 0; at < stream.len; at += piece)
        {
          size_t len = stream.len - at < piece ? stream.len - at : piece;
          ck_assert_int_eq (events_take (&events,
                                         str_make (stream.ptr + at, len), &out,
                                         &count),
                            VH_OK);
        }
      ck_assert (str_eq (buf_str (&out), stream));
      ck_assert_uint_eq (count, 4);
      ck_assert (events_at_border (&events));
      ck_assert_uint_eq (events.last_id, 3);
      buf_free (&out);
      events_free (&events);
    }
}
END_TEST

/* An upstream ended in the middle of an event, and the next one repeats the
   last whole one: it is left out, and nothing of the broken one remains.  */
START_TEST (a_resumed_stream_joins_at_the_border)
{
  events_t events = { 0 };
  buf_t out = BUF_NULL;
  size_t count = 0;

  events_take (&events, STR ("id: 1\n\nid: 2\ndata: ha"), &out, &count);
  ck_assert (!events_at_border (&events));
  events_restart (&events);
  ck_assert_int_eq (events_take (&events,
                                 STR ("id: 1\n\nid: 2\ndata: half\n\n"), &out,
                                 &count),
                    VH_OK);
  ck_assert (str_eq (buf_str (&out), STR ("id: 1\n\nid: 2\ndata: half\n\n")));
  ck_assert_int_eq (events_take (&events, STR ("id: 4\n\n"), &out, &count),
                    VH_E_PROTOCOL);
  buf_free (&out);
  events_free (&events);
}
END_TEST

START_TEST (an_event_has_a_bound)
{
  events_t events = { 0 };
  buf_t out = BUF_NULL;
  buf_t big = BUF_NULL;
  size_t count = 0;

  for (int i = 0; i < EVENT_BYTES_MAX + 1; i++)
    buf_append_char (&big, 'x');
  ck_assert_int_eq (events_take (&events, buf_str (&big), &out, &count),
                    VH_E_PROTOCOL);
  buf_free (&big);
  buf_free (&out);
  events_free (&events);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("events");
  TCase *tcase = tcase_create ("events");

  tcase_add_test (tcase, pieces_do_not_matter);
  tcase_add_test (tcase, a_resumed_stream_joins_at_the_border);
  tcase_add_test (tcase, an_event_has_a_bound);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
