/* Tests of the shared quality statistics.  */

#include "control/qualitystore.h"
#include "control_fixture.h"
#include "suite.h"

enum
{
  WRITE_INTERVAL_MS = 20
};

typedef struct
{
  control_fixture_t base;
  qualitystore_t *a;
  qualitystore_t *b;
  bool is_done;
  vh_code_t code;
  buf_t rows;
} fixture_t;

static qualitystore_t *
create_store (fixture_t *f, str_t writer)
{
  const qualitystore_options_t options = { writer, WRITE_INTERVAL_MS };

  f->base.env.seed++;
  return qualitystore_create (&f->base.env, &options);
}

static void
setup (fixture_t *f)
{
  memset (f, 0, sizeof *f);
  control_setup (&f->base, 1);
  f->a = create_store (f, STR ("entry-a"));
  f->b = create_store (f, STR ("entry-b"));
}

static void
teardown (fixture_t *f)
{
  qualitystore_destroy (f->a);
  qualitystore_destroy (f->b);
  control_teardown (&f->base);
  buf_free (&f->rows);
}

static void
on_row (void *arg, vh_code_t code, const quality_row_t *row)
{
  fixture_t *f = arg;

  if (row == NULL)
    {
      f->is_done = true;
      f->code = code;
      return;
    }
  ck_assert_uint_gt (row->written_at_ms, 0);
  buf_printf (&f->rows, "%.*s/%.*s=%.*s ", STR_ARG (row->writer),
              STR_ARG (row->part), STR_ARG (row->bytes));
}

static void
assert_rows (fixture_t *f, str_t rows)
{
  f->is_done = false;
  f->rows.len = 0;
  qualitystore_load (f->b, on_row, f);
  control_run_until (&f->base, &f->is_done);
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_msg (str_eq (buf_str (&f->rows), rows), "%.*s",
                 STR_ARG (buf_str (&f->rows)));
}

static void
wait_until_saved (fixture_t *f, qualitystore_t *quality)
{
  for (int i = 0; i < 500 && qualitystore_unsaved_count (quality) > 0; i++)
    control_run_for (&f->base, 5);
  ck_assert_uint_eq (qualitystore_unsaved_count (quality), 0);
}

START_TEST (latest_bytes_of_each_part_are_loaded)
{
  fixture_t f;

  setup (&f);
  assert_rows (&f, STR (""));
  for (int i = 0; i < 5; i++)
    qualitystore_save (f.a, STR ("draft"), STR ("old"));
  qualitystore_save (f.a, STR ("draft"), STR ("new"));
  qualitystore_save (f.a, STR ("tag"), STR ("\xff"));
  qualitystore_save (f.b, STR ("draft"), STR ("other"));
  wait_until_saved (&f, f.a);
  wait_until_saved (&f, f.b);
  assert_rows (&f, STR ("entry-a/draft=new entry-a/tag=\xff "
                        "entry-b/draft=other "));
  ck_assert_uint_eq (faulty_counts (f.base.faulty)->txns, 2);
  teardown (&f);
}
END_TEST

/* Failure: a part is saved again while the write of its previous bytes is in
   progress and loses its reply, and the newer bytes never reach the store.  A
   version that has become worse would then be judged by old statistics.  */
START_TEST (part_saved_during_write_is_written_again)
{
  fixture_t f;

  setup (&f);
  *faulty_config (f.base.faulty)
      = (faulty_config_t){ .lost_reply_share = 0.5, .delay_ms = 10 };
  qualitystore_save (f.a, STR ("draft"), STR ("0"));
  while (faulty_counts (f.base.faulty)->txns == 0)
    control_run_for (&f.base, 1);
  qualitystore_save (f.a, STR ("draft"), STR ("1"));
  ck_assert_uint_eq (qualitystore_unsaved_count (f.a), 1);
  wait_until_saved (&f, f.a);
  *faulty_config (f.base.faulty) = (faulty_config_t){ 0 };
  assert_rows (&f, STR ("entry-a/draft=1 "));
  teardown (&f);
}
END_TEST

/* Failure: during an outage of ten write intervals, writes are retried at the
   normal rate.  */
START_TEST (writes_back_off_while_store_is_down)
{
  fixture_t f;

  setup (&f);
  faulty_config (f.base.faulty)->down = true;
  qualitystore_save (f.a, STR ("draft"), STR ("0"));
  control_run_for (&f.base, 10 * WRITE_INTERVAL_MS);
  ck_assert_uint_le (faulty_counts (f.base.faulty)->txns, 5);
  ck_assert_uint_eq (qualitystore_unsaved_count (f.a), 1);
  faulty_config (f.base.faulty)->down = false;
  wait_until_saved (&f, f.a);
  assert_rows (&f, STR ("entry-a/draft=0 "));
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("qualitystore");
  TCase *tcase = tcase_create ("qualitystore");

  tcase_add_test (tcase, latest_bytes_of_each_part_are_loaded);
  tcase_add_test (tcase, part_saved_during_write_is_written_again);
  tcase_add_test (tcase, writes_back_off_while_store_is_down);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
