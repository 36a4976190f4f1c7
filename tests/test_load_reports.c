/* Reading of the load reports in responses of instances.  */

#include "fake_rows.h"
#include "gateway/announced_limitsint.h"
#include "gateway/instance_noticesint.h"
#include "suite.h"

typedef struct
{
  const char *text; /* NULL: the response has no report.  */
  double requests;
  double factor;
  uint64_t ignored;
} report_t;

/* Figures that are missing, absurd or huge must not become a load or a
   divisor, and a bad time factor must not cost the other three figures.  */
START_TEST (report_is_read_or_ignored)
{
  static const report_t reports[] = {
    { NULL, 0, 1, 0 },
    { "3,2,64", 5, 1, 0 },
    { " 3 , 2 , 64 ", 5, 1, 0 },
    { "3,2,64,55", 5, 0.55, 0 },
    { "3, 2, 64, 300", 5, 3, 0 },
    { "3,2,64,1", 5, 0.01, 0 },
    { "3,2,64,10000", 5, 100, 0 },
    { "3,2,64,0", 5, 1, 1 },
    { "3,2,64,10001", 5, 1, 1 },
    { "3,2,64,4294967396", 5, 1, 1 }, /* 2^32 + 100 */
    { "3,2,64,99999999999999999999999", 5, 1, 1 },
    { "3,2,64,-55", 5, 1, 1 },
    { "3,2,64,5.5", 5, 1, 1 },
    { "3,2,64,", 5, 1, 1 },
    { "3,2,64,55,7", 5, 1, 1 },
    { "3,2,64,nan", 5, 1, 1 },
    { "", 0, 1, 1 },
    { "3,2", 0, 1, 1 },
    { "3,x,64,55", 0, 1, 1 },
    { "-3,2,64", 0, 1, 1 },
    { "4294967299,2,64,55", 0, 1, 1 }, /* 2^32 + 3 */
    { "3,99999999999999999999999,64", 0, 1, 1 },
  };
  const report_t *report = &reports[_i];
  uv_loop_t loop;
  clock_iface_t *clock = clock_manual_create (0);
  const pool_options_t options = { .zone = STR ("a") };
  const upstream_info_t info = { .id = STR ("i-0"),
                                 .service = STR ("llm"),
                                 .address = STR ("127.0.0.1:1"),
                                 .slots = 32 };
  const httpc_header_t header
      = { .name = header_names_default.load,
          .value = str_from (report->text != NULL ? report->text : "") };
  const http_exchange_head_t head
      = { .status = 200,
          .headers = &header,
          .header_count = report->text != NULL ? 1 : 0 };

  uv_loop_init (&loop);
  clock_manual_advance_us (clock, 10000000);
  rows_t *rows = fake_rows_iface (fake_rows_create (&loop));
  gateway_state_t state = { .clock = clock,
                            .names = &header_names_default,
                            .pool = pool_create (clock, 1, &options),
                            .metrics = metrics_create () };
  state.counters.loads_ignored
      = metrics_counter (state.metrics, "ignored", "", "");
  state.announced_limits = announced_limits_create (&state, rows);
  pool_put (state.pool, &info);
  relay_t relay
      = { .state = &state, .upstream = pool_find (state.pool, info.id) };

  instance_notices_observe (&relay, &head);
  ck_assert_double_eq (upstream_request_count (state.pool, relay.upstream),
                       report->requests);
  ck_assert_double_eq_tol (upstream_time_factor (state.pool, relay.upstream),
                           report->factor, 1e-9);
  ck_assert_uint_eq (state.counters.loads_ignored->value, report->ignored);
  announced_limits_destroy (state.announced_limits);
  pool_destroy (state.pool);
  metrics_destroy (state.metrics);
  rows->ops->destroy (rows);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
  clock_manual_destroy (clock);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load_reports");
  TCase *tcase = tcase_create ("load_reports");

  tcase_add_loop_test (tcase, report_is_read_or_ignored, 0, 22);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
