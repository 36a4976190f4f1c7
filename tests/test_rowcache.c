/* Replies to other gateways from the cached rows of a table.  */

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

/* Apply COUNT rows with VERSION to the cache, as the reply to a read or to a
   watch.  */
static void
apply_rows (fixture_t *f, size_t count, uint64_t version, bool is_read)
{
  const rowcache_call_t call
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
  rowcache_apply_result (f->cache, &call, &result);
}

static void
setup (fixture_t *f)
{
  f->clock = clock_manual_create (0);
  f->cache = rowcache_create (f->clock);
  apply_rows (f, ROWS, 5, true);
}

static void
teardown (fixture_t *f)
{
  rowcache_destroy (f->cache);
  clock_manual_destroy (f->clock);
}

/* If a reader sends each registration uncompressed to each caller, its traffic
   grows with the product of both numbers.  */
START_TEST (many_rows_are_packed)
{
  static fixture_t f;
  wire_rows_res_t reply;
  wire_row_list_t list;

  setup (&f);
  rowcache_fill_reply (f.cache, 0, true, &reply);
  ck_assert_uint_eq (reply.rows.rows_len, 0);
  ck_assert_uint_gt (reply.plain_len, ROWS * 100);
  ck_assert_uint_lt (reply.packed.packed_len, reply.plain_len / 5);
  ck_assert_int_eq (rowcache_unpack (str_make (reply.packed.packed_val,
                                               reply.packed.packed_len),
                                     reply.plain_len, &list),
                    VH_OK);
  ck_assert_uint_eq (list.rows.rows_len, ROWS);
  for (u_int i = 0; i < ROWS; i++)
    {
      const wire_row_t *row = &list.rows.rows_val[i];
      size_t index;
      ck_assert_int_eq (sscanf (row->key, "i-%zu", &index), 1);
      ck_assert_uint_eq (row->value.value_len, strlen (f.values[index]));
      ck_assert_mem_eq (row->value.value_val, f.values[index],
                        row->value.value_len);
      ck_assert_uint_eq (row->row_version, 5);
    }
  xdr_free ((xdrproc_t)xdr_wire_row_list_t, (char *)&list);
  teardown (&f);
}
END_TEST

/* A packed reply that is kept for further callers must not be sent to a caller
   with another version, nor after a change.  */
START_TEST (kept_reply_is_not_sent_to_other_calls)
{
  static fixture_t f;
  wire_rows_res_t reply;
  wire_row_list_t list;
  static const struct
  {
    uint64_t after;
    bool is_whole;
    u_int count;
    uint64_t newest;
  } cases[] = {
    /* Served with the packed table that is kept.  */
    { 0, true, ROWS, 5 }, { 5, false, 20, 6 }, { 4, false, ROWS, 6 },
    { 6, false, 0, 6 },   { 5, false, 20, 6 },
  };

  setup (&f);
  rowcache_fill_reply (f.cache, 0, true, &reply);
  free (reply.rows.rows_val);
  apply_rows (&f, 20, 6, false);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      u_int count;
      rowcache_fill_reply (f.cache, cases[i].after, cases[i].is_whole, &reply);
      ck_assert_uint_eq (reply.newest, cases[i].newest);
      count = reply.rows.rows_len;
      free (reply.rows.rows_val);
      if (reply.plain_len > 0)
        {
          ck_assert_int_eq (
              rowcache_unpack (
                  str_make (reply.packed.packed_val, reply.packed.packed_len),
                  reply.plain_len, &list),
              VH_OK);
          count = list.rows.rows_len;
          xdr_free ((xdrproc_t)xdr_wire_row_list_t, (char *)&list);
        }
      ck_assert_uint_eq (count, cases[i].count);
    }
  clock_manual_advance_us (f.clock, 1000000);
  rowcache_fill_reply (f.cache, 0, true, &reply);
  ck_assert_uint_eq (reply.newest, 6);
  teardown (&f);
}
END_TEST

/* A table that is larger than callers accept after unpacking must be sent
   unpacked: each caller would reject it packed, and read the store itself.  */
START_TEST (table_too_large_to_unpack_is_sent_unpacked)
{
  enum
  {
    LARGE_ROWS = 2000,
    VALUE_BYTES = 3000
  };
  static char value[VALUE_BYTES + 1];
  static char keys[LARGE_ROWS][32];
  static rows_row_t rows[LARGE_ROWS];
  const rowcache_call_t call = { .is_read = true, .is_first_page = true };
  const rows_result_t result
      = { .rows = rows, .count = LARGE_ROWS, .version = 5 };
  clock_iface_t *clock = clock_manual_create (0);
  rowcache_t *cache = rowcache_create (clock);
  wire_rows_res_t reply;

  memset (value, 'x', VALUE_BYTES);
  for (size_t i = 0; i < LARGE_ROWS; i++)
    {
      snprintf (keys[i], sizeof keys[i], "i-%zu", i);
      rows[i] = (rows_row_t){ .key = str_from (keys[i]),
                              .value = str_from (value),
                              .version = 5 };
    }
  rowcache_apply_result (cache, &call, &result);
  rowcache_fill_reply (cache, 0, true, &reply);
  ck_assert_uint_eq (reply.plain_len, 0);
  ck_assert_uint_eq (reply.rows.rows_len, LARGE_ROWS);
  free (reply.rows.rows_val);
  rowcache_destroy (cache);
  clock_manual_destroy (clock);
}
END_TEST

/* Packed rows from a peer are not trusted and must be validated.  */
START_TEST (invalid_packed_rows_are_rejected)
{
  static fixture_t f;
  wire_rows_res_t reply;
  wire_row_list_t list;

  setup (&f);
  rowcache_fill_reply (f.cache, 0, true, &reply);
  str_t packed = str_make (reply.packed.packed_val, reply.packed.packed_len);
  ck_assert_int_eq (rowcache_unpack (packed, reply.plain_len + 1, &list),
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

  tcase_add_test (tcase, many_rows_are_packed);
  tcase_add_test (tcase, kept_reply_is_not_sent_to_other_calls);
  tcase_add_test (tcase, table_too_large_to_unpack_is_sent_unpacked);
  tcase_add_test (tcase, invalid_packed_rows_are_rejected);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
