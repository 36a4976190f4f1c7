/* Tests of the server-sent event filter.  */

#include "gateway/sse_filter.h"
#include "suite.h"

#define STREAM "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\n\n"

/* A stream arrives in pieces of any size.  The output must be the same, and
   must consist of complete events.  */
START_TEST (output_does_not_depend_on_chunking)
{
  const str_t stream = STR (STREAM);

  for (size_t chunk = 1; chunk <= stream.len; chunk++)
    {
      sse_filter_t filter = { 0 };
      buf_t out = BUF_NULL;
      size_t count = 0;
      for (size_t offset = 0; offset < stream.len; offset += chunk)
        {
          size_t len
              = stream.len - offset < chunk ? stream.len - offset : chunk;
          ck_assert_int_eq (
              sse_filter_feed (&filter, str_make (stream.ptr + offset, len),
                               &out, &count),
              VH_OK);
        }
      ck_assert (str_eq (buf_str (&out), stream));
      ck_assert_uint_eq (count, 4);
      ck_assert (sse_filter_at_boundary (&filter));
      ck_assert_uint_eq (filter.last_id, 3);
      buf_free (&out);
      sse_filter_free (&filter);
    }
}
END_TEST

/* An upstream fails in the middle of an event, and the next upstream repeats
   the last complete event.  The output must contain neither the partial event
   nor the repeated one, and a gap in the ids must be an error.  */
START_TEST (resumed_stream_has_no_partial_or_repeated_event)
{
  sse_filter_t filter = { 0 };
  buf_t out = BUF_NULL;
  size_t count = 0;

  sse_filter_feed (&filter, STR ("id: 1\n\nid: 2\ndata: ha"), &out, &count);
  ck_assert (!sse_filter_at_boundary (&filter));
  sse_filter_discard_partial (&filter);
  ck_assert_int_eq (sse_filter_feed (&filter,
                                     STR ("id: 1\n\nid: 2\ndata: half\n\n"),
                                     &out, &count),
                    VH_OK);
  ck_assert (str_eq (buf_str (&out), STR ("id: 1\n\nid: 2\ndata: half\n\n")));
  ck_assert_int_eq (sse_filter_feed (&filter, STR ("id: 4\n\n"), &out, &count),
                    VH_E_PROTOCOL);
  buf_free (&out);
  sse_filter_free (&filter);
}
END_TEST

START_TEST (oversized_event_is_an_error)
{
  sse_filter_t filter = { 0 };
  buf_t out = BUF_NULL;
  buf_t big = BUF_NULL;
  size_t count = 0;

  for (int i = 0; i < SSE_EVENT_BYTES_MAX + 1; i++)
    buf_append_char (&big, 'x');
  ck_assert_int_eq (sse_filter_feed (&filter, buf_str (&big), &out, &count),
                    VH_E_PROTOCOL);
  buf_free (&big);
  buf_free (&out);
  sse_filter_free (&filter);
}
END_TEST

/* Feed COUNT times TEXT to FILTER, and return the last result.  */
static vh_code_t
feed_times (sse_filter_t *filter, str_t text, size_t count, buf_t *out,
            size_t *event_count)
{
  vh_code_t code = VH_OK;

  for (size_t i = 0; i < count && code == VH_OK; i++)
    code = sse_filter_feed (filter, text, out, event_count);
  return code;
}

/* A stream of blocks that are no events must pass, without being counted, but
   only up to the limit; an event begins the limit anew.  */
START_TEST (comments_are_bounded_and_no_events)
{
  static const char *const blocks[]
      = { ": c\n\n", "\r\n", "event: ping\n\n", "retry: 1\n\n" };
  sse_filter_t filter = { 0 };
  buf_t out = BUF_NULL;
  size_t count = 0;

  for (size_t i = 0; i < sizeof blocks / sizeof blocks[0]; i++)
    {
      str_t block = str_from (blocks[i]);
      size_t fit_count = SSE_COMMENT_BYTES_MAX / block.len;
      count = 0;
      out.len = 0;
      ck_assert_int_eq (feed_times (&filter, block, fit_count, &out, &count),
                        VH_OK);
      ck_assert_uint_eq (out.len, fit_count * block.len);
      ck_assert_uint_eq (count, 0);
      ck_assert_int_eq (
          sse_filter_feed (&filter, STR ("data: x\n\n"), &out, &count), VH_OK);
      ck_assert_uint_eq (count, fit_count + 1);
      ck_assert (!filter.is_too_large);
      ck_assert_int_eq (
          feed_times (&filter, block, fit_count + 1, &out, &count),
          VH_E_PROTOCOL);
      ck_assert_uint_eq (count, fit_count + 1);
      ck_assert (filter.is_too_large);
      sse_filter_discard_partial (&filter);
    }
  buf_free (&out);
  sse_filter_free (&filter);
}
END_TEST

/* An event that comes in small pieces was searched from its start at each of
   them, a time that grows with the square of its size: this one took longer
   than the test may.  */
START_TEST (event_in_small_pieces_is_searched_once)
{
  sse_filter_t filter = { 0 };
  buf_t out = BUF_NULL;
  size_t count = 0;

  sse_filter_feed (&filter, STR ("data: "), &out, &count);
  ck_assert_int_eq (feed_times (&filter, STR ("xxxxxxxx"),
                                SSE_EVENT_BYTES_MAX / 8 - 1, &out, &count),
                    VH_OK);
  ck_assert_int_eq (sse_filter_feed (&filter, STR ("\n\n"), &out, &count),
                    VH_OK);
  ck_assert_uint_eq (count, 1);
  ck_assert_uint_eq (out.len, SSE_EVENT_BYTES_MAX);
  ck_assert (sse_filter_at_boundary (&filter));
  buf_free (&out);
  sse_filter_free (&filter);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("events");
  TCase *tcase = tcase_create ("events");

  tcase_add_test (tcase, output_does_not_depend_on_chunking);
  tcase_add_test (tcase, resumed_stream_has_no_partial_or_repeated_event);
  tcase_add_test (tcase, oversized_event_is_an_error);
  tcase_add_test (tcase, comments_are_bounded_and_no_events);
  tcase_add_test (tcase, event_in_small_pieces_is_searched_once);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
