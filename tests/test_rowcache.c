/* What an entry tells others of a table.  */

#include "gateway/rowcache.h"
#include "suite.h"
#include "wire/proto/wire.h"

#include <stdio.h>

enum
{
  ROWS = 200
};

typedef struct
{
  clock_iface_t *clock;
  rowcache_t *cache;
  char keys[ROWS][32];
  char values[ROWS][300];
  rows_row_t rows[ROWS];
} fixture_t;

/* Let the cache take COUNT rows as changes up to VERSION.  */
static void
take (fixture_t *f, size_t count, uint64_t version, bool is_read)
{
  const rowcache_call_t answer
      = { .is_read = is_read, .is_first_page = is_read };
  rows_result_t result
      = { .rows = f->rows, .count = count, .version = version };

  for (size_t i = 0; i < count; i++)
    {
      snprintf (f->keys[i], sizeof f->keys[i], "i-%zu", i);
      snprintf (f->values[i], sizeof f->values[i],
                "{\"service\":\"drafts\",\"address\":\"10.0.0.%zu:8000\","
                "\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,"
                "\"state\":\"ready\",\"order\":%d}",
                i, (int)version);
      f->rows[i] = (rows_row_t){ .key = str_from (f->keys[i]),
                                 .value = str_from (f->values[i]),
                                 .version = version };
    }
  rowcache_apply_answer (f->cache, &answer, &result);
}

static void
setup (fixture_t *f)
{
  f->clock = clock_manual_create (0);
  f->cache = rowcache_create (f->clock);
  take (f, ROWS, 5, true);
}

static void
teardown (fixture_t *f)
{
  rowcache_destroy (f->cache);
  clock_manual_destroy (f->clock);
}

/* A reader that tells each registration in full to each of its askers sends
   bytes that grow as both.  */
START_TEST (many_rows_are_told_small)
{
  static fixture_t f;
  wire_rows_res_t told;
  wire_row_list_t list;

  setup (&f);
  rowcache_fill_reply (f.cache, 0, true, &told);
  ck_assert_uint_eq (told.rows.rows_len, 0);
  ck_assert_uint_gt (told.plain_len, ROWS * 100);
  ck_assert_uint_lt (told.packed.packed_len, told.plain_len / 5);
  ck_assert_int_eq (rowcache_unpack (str_make (told.packed.packed_val,
                                               told.packed.packed_len),
                                     told.plain_len, &list),
                    VH_OK);
  ck_assert_uint_eq (list.rows.rows_len, ROWS);
  for (u_int i = 0; i < ROWS; i++)
    {
      const wire_row_t *row = &list.rows.rows_val[i];
      size_t at;
      ck_assert_int_eq (sscanf (row->key, "i-%zu", &at), 1);
      ck_assert_uint_eq (row->value.value_len, strlen (f.values[at]));
      ck_assert_mem_eq (row->value.value_val, f.values[at],
                        row->value.value_len);
      ck_assert_uint_eq (row->row_version, 5);
    }
  xdr_free ((xdrproc_t)xdr_wire_row_list_t, (char *)&list);
  teardown (&f);
}
END_TEST

/* An answer that is kept for the next asker must not be told to one that knows
   other rows, nor once there is news.  */
START_TEST (a_kept_answer_is_told_to_none_but_its_like)
{
  static fixture_t f;
  wire_rows_res_t told;
  wire_row_list_t list;
  static const struct
  {
    uint64_t after;
    bool whole;
    u_int count;
    uint64_t newest;
  } asks[] = {
    /* As it was a moment ago.  */
    { 0, true, ROWS, 5 }, { 5, false, 20, 6 }, { 4, false, ROWS, 6 },
    { 6, false, 0, 6 },   { 5, false, 20, 6 },
  };

  setup (&f);
  rowcache_fill_reply (f.cache, 0, true, &told);
  free (told.rows.rows_val);
  take (&f, 20, 6, false);
  for (size_t i = 0; i < sizeof asks / sizeof asks[0]; i++)
    {
      u_int count;
      rowcache_fill_reply (f.cache, asks[i].after, asks[i].whole, &told);
      ck_assert_uint_eq (told.newest, asks[i].newest);
      count = told.rows.rows_len;
      free (told.rows.rows_val);
      if (told.plain_len > 0)
        {
          ck_assert_int_eq (rowcache_unpack (str_make (told.packed.packed_val,
                                                       told.packed.packed_len),
                                             told.plain_len, &list),
                            VH_OK);
          count = list.rows.rows_len;
          xdr_free ((xdrproc_t)xdr_wire_row_list_t, (char *)&list);
        }
      ck_assert_uint_eq (count, asks[i].count);
    }
  clock_manual_advance_us (f.clock, 1000000);
  rowcache_fill_reply (f.cache, 0, true, &told);
  ck_assert_uint_eq (told.newest, 6);
  teardown (&f);
}
END_TEST

/* A table that is larger than what an asker takes as packed is told as it is:
   packed, each asker would refuse it and read the store for itself.  */
START_TEST (a_table_too_large_to_unpack_is_told_plain)
{
  enum
  {
    LARGE_ROWS = 2000,
    VALUE_BYTES = 3000
  };
  static char value[VALUE_BYTES + 1];
  static char keys[LARGE_ROWS][32];
  static rows_row_t rows[LARGE_ROWS];
  const rowcache_call_t answer = { .is_read = true, .is_first_page = true };
  const rows_result_t result
      = { .rows = rows, .count = LARGE_ROWS, .version = 5 };
  clock_iface_t *clock = clock_manual_create (0);
  rowcache_t *cache = rowcache_create (clock);
  wire_rows_res_t told;

  memset (value, 'x', VALUE_BYTES);
  for (size_t i = 0; i < LARGE_ROWS; i++)
    {
      snprintf (keys[i], sizeof keys[i], "i-%zu", i);
      rows[i] = (rows_row_t){ .key = str_from (keys[i]),
                              .value = str_from (value),
                              .version = 5 };
    }
  rowcache_apply_answer (cache, &answer, &result);
  rowcache_fill_reply (cache, 0, true, &told);
  ck_assert_uint_eq (told.plain_len, 0);
  ck_assert_uint_eq (told.rows.rows_len, LARGE_ROWS);
  free (told.rows.rows_val);
  rowcache_destroy (cache);
  clock_manual_destroy (clock);
}
END_TEST

/* What a peer packed is checked before it is believed.  */
START_TEST (bytes_that_are_no_rows_are_refused)
{
  static fixture_t f;
  wire_rows_res_t told;
  wire_row_list_t list;

  setup (&f);
  rowcache_fill_reply (f.cache, 0, true, &told);
  str_t packed = str_make (told.packed.packed_val, told.packed.packed_len);
  ck_assert_int_eq (rowcache_unpack (packed, told.plain_len + 1, &list),
                    VH_E_PROTOCOL);
  ck_assert_int_eq (rowcache_unpack (packed, SIZE_MAX, &list), VH_E_PROTOCOL);
  ck_assert_int_eq (rowcache_unpack (STR ("no rows"), 100, &list),
                    VH_E_PROTOCOL);
  ck_assert_ptr_null (list.rows.rows_val);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rowcache");
  TCase *tcase = tcase_create ("rowcache");

  tcase_add_test (tcase, many_rows_are_told_small);
  tcase_add_test (tcase, a_kept_answer_is_told_to_none_but_its_like);
  tcase_add_test (tcase, a_table_too_large_to_unpack_is_told_plain);
  tcase_add_test (tcase, bytes_that_are_no_rows_are_refused);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
