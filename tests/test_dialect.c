/* Parsing and writing of the platform's rows.  */

#include "platform/platform.h"
#include "platform/jsonlist.h"
#include "suite.h"

static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"hostname\":\"h.example\","
      "\"prefix\":\"/a/\",\"kind\":\"stream\",\"timeoutMs\":25000,"
      "\"targetLatencyMs\":3000,\"priority\":1,\"sizes\":[\"s\",\"l\"],"
      "\"trafficSplit\":[{\"service\":\"x\",\"weight\":90},{\"service\":\"y\","
      "\"weight\":10}],\"maxAttempts\":3,\"public\":false,\"resumable\":true,"
      "\"gapAimMs\":1000},{\"name\":\"r2\",\"hostname\":\"h.example\","
      "\"prefix\":\"/b/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1000,"
      "\"service\":\"y\",\"maxAttempts\":1,\"public\":true}],"
      "\"services\":[{\"name\":\"x\",\"healthPath\":\"/health\",\"coldS\":3.0,"
      "\"coldPerS\":14.0,\"engine\":{\"kvCapacity\":100,\"models\":[{\"name\":"
      "\"s\",\"cost\":0.014}]}},{\"name\":\"y\",\"coldS\":0.0,\"coldPerS\":0}]"
      ","
      "\"limits\":{\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t\","
      "\"apiKeys\":[\"k1\",\"k2\"],\"priority\":2}],\"unheardOf\":1}";

START_TEST (configuration_is_parsed)
{
  catalog_t *catalog;

  ck_assert_int_eq (
      platform_dialect ()->read_catalog (str_from (config), NULL, &catalog),
      VH_OK);
  ck_assert_uint_eq (catalog_revision (catalog), 7);
  const route_t *route
      = catalog_match_route (catalog, STR ("h.example"), STR ("/a/1"));
  ck_assert_int_eq (route->kind, ROUTE_STREAM);
  ck_assert_uint_eq (route->timeout_ms, 25000);
  ck_assert_uint_eq (route->objective_ms, 3000);
  ck_assert_uint_eq (route->event_gap_max_ms, 1000);
  ck_assert_uint_eq (route->possible_runs_max, 3);
  ck_assert_uint_eq (route->model_count, 2);
  ck_assert (str_eq (route->models[1], STR ("l")));
  ck_assert_uint_eq (route->service_count, 2);
  ck_assert_uint_eq (route->services[0].weight, 90);
  ck_assert (route->is_resumable && !route->is_public);
  route = catalog_match_route (catalog, STR ("h.example"), STR ("/b/"));
  ck_assert_int_eq (route->kind, ROUTE_AT_MOST_ONCE);
  ck_assert (route->is_public);
  ck_assert (str_eq (route->services[0].service, STR ("y")));
  const service_t *service = catalog_find_service (catalog, STR ("x"));
  ck_assert (service->is_engine);
  ck_assert_double_eq (service->cold_requests_per_s, 14);
  ck_assert_double_eq (service->models[0].cost, 0.014);
  ck_assert (!catalog_find_service (catalog, STR ("y"))->is_engine);
  ck_assert_uint_eq (catalog_limits (catalog)->idle_timeout_ms, 15000);
  const team_t *team = catalog_find_team (catalog, STR ("k2"));
  ck_assert (str_eq (team->name, STR ("t")));
  ck_assert_uint_eq (team->priority, 2);
  catalog_unref (catalog);
}
END_TEST

START_TEST (invalid_configuration_is_rejected)
{
  static const char *const cases[] = {
    "",
    "[]",
    "{\"version\":\"7\"}",
    "{\"version\":7,\"routes\":[{\"name\":\"r\"}]}",
    "{\"version\":7,\"routes\":[{\"prefix\":\"/\",\"kind\":\"new\"}]}",
    "{\"version\":7,\"services\":[3]}",
    "{\"version\":7,\"tenants\":[{\"apiKeys\":[\"k\"]}]}",
  };
  catalog_t *catalog;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      ck_assert_msg (platform_dialect ()->read_catalog (str_from (cases[i]),
                                                        NULL, &catalog)
                         != VH_OK,
                     "case %zu", i);
      ck_assert_ptr_null (catalog);
    }
}
END_TEST

/* Failure: a configuration that takes the last team or key away, or whose
   member is empty or of another type, opens routes to all clients, or lets
   them send an empty key.  */
START_TEST (member_without_keys_opens_routes)
{
  static const struct
  {
    const char *text;
    bool is_accepted;
    bool needs_key;
  } cases[] = {
    { "{\"version\":7}", true, false },
    { "{\"version\":7,\"tenants\":[]}", true, true },
    { "{\"version\":7,\"tenants\":null}", false, true },
    { "{\"version\":7,\"tenants\":{}}", false, true },
    { "{\"version\":7,\"tenants\":false}", false, true },
    { "{\"version\":7,\"tenants\":\"\"}", false, true },
    { "{\"version\":7,\"tenants\":[],\"tenants\":[]}", false, true },
    { "{\"version\":7,\"tenants\":[null]}", false, true },
    { "{\"version\":7,\"tenants\":[{\"name\":\"t\"}]}", true, true },
    { "{\"version\":7,\"tenants\":[{\"name\":\"t\",\"apiKeys\":null}]}", true,
      true },
    { "{\"version\":7,\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"\",null,"
      "3,[]]}]}",
      true, true },
    { "{\"version\":7,\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"\"]},"
      "{\"name\":\"u\",\"apiKeys\":[\"\"]}]}",
      true, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      catalog_t *catalog;
      vh_code_t code = platform_dialect ()->read_catalog (
          str_from (cases[i].text), NULL, &catalog);
      ck_assert_msg ((code == VH_OK) == cases[i].is_accepted, "%s",
                     cases[i].text);
      if (code != VH_OK)
        continue;
      ck_assert_msg (catalog_needs_key (catalog) == cases[i].needs_key, "%s",
                     cases[i].text);
      ck_assert_ptr_null (catalog_find_team (catalog, STR ("")));
      catalog_unref (catalog);
    }
}
END_TEST

/* Failure: a member that is no array is read as an empty one, so that routes
   or services are dropped, or a route may be run by any model.  */
START_TEST (member_of_another_type_is_read_as_empty)
{
#define ROUTE "\"prefix\":\"/a/\",\"kind\":\"stream\",\"service\":\"x\""
  static const char *const cases[] = {
    "{\"version\":7,\"routes\":null}",
    "{\"version\":7,\"routes\":{}}",
    "{\"version\":7,\"services\":null}",
    "{\"version\":7,\"services\":{}}",
    "{\"version\":7,\"routes\":[{" ROUTE ",\"sizes\":\"s\"}]}",
    "{\"version\":7,\"routes\":[{" ROUTE ",\"sizes\":null}]}",
    "{\"version\":7,\"routes\":[{" ROUTE ",\"trafficSplit\":{}}]}",
    "{\"version\":7,\"routes\":[],\"routes\":[]}",
  };
#undef ROUTE

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      catalog_t *catalog;
      ck_assert_msg (platform_dialect ()->read_catalog (str_from (cases[i]),
                                                        NULL, &catalog)
                         != VH_OK,
                     "%s", cases[i]);
    }
}
END_TEST

START_TEST (registration_is_parsed)
{
  const gateway_dialect_t *dialect = platform_dialect ();
  upstream_info_t info;
  void *holder;

  ck_assert_int_eq (
      dialect->read_instance (
          STR ("i-1"),
          STR ("{\"service\":\"x\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
               "\"version\":\"v1\",\"slotCount\":128,\"state\":\"ready\","
               "\"coldLeftMs\":3000,\"sequence\":4,\"born\":99}"),
          &info, &holder),
      VH_OK);
  ck_assert (str_eq (info.id, STR ("i-1")));
  ck_assert (str_eq (info.address, STR ("10.0.0.1:80")));
  ck_assert_uint_eq (info.slots, 128);
  ck_assert_uint_eq (info.cold_ms, 3000);
  ck_assert_uint_eq (info.incarnation, 99);
  ck_assert (!info.draining);
  dialect->free_holder (holder);
}
END_TEST

/* Failure: an invalid row in the store becomes an upstream.  The rows lack
   fields, have fields of the wrong type or an unknown state, or are not
   JSON.  */
START_TEST (invalid_registration_is_rejected)
{
  static const char *const cases[] = {
    "",
    "\xff\xfe",
    "[]",
    "{\"service\":\"x\",\"address\":\"a:1\",\"zone\":\"z\",\"version\":\"v\","
    "\"slotCount\":1,\"state\":\"asleep\"}",
    "{\"service\":3,\"address\":\"a:1\",\"zone\":\"z\",\"version\":\"v\","
    "\"slotCount\":1,\"state\":\"ready\"}",
    "{\"service\":\"x\",\"zone\":\"z\",\"version\":\"v\",\"slotCount\":1,"
    "\"state\":\"ready\"}",
    "{\"service\":\"x\",\"address\":\"a:1\",\"zone\":\"z\",\"version\":\"v\","
    "\"slotCount\":\"1\",\"state\":\"ready\"}",
#define REGISTRATION(members)                                                 \
  "{\"service\":\"x\",\"address\":\"a:1\",\"zone\":\"z\",\"version\":\"v\","  \
  "\"state\":\"ready\"," members "}"
    REGISTRATION ("\"slotCount\":1000000000000000"),
    REGISTRATION ("\"slotCount\":4294967297"),
    REGISTRATION ("\"slotCount\":1e400"),
    REGISTRATION ("\"slotCount\":-1"),
    REGISTRATION ("\"slotCount\":1,\"coldLeftMs\":-1"),
    REGISTRATION ("\"slotCount\":1,\"coldLeftMs\":1000000000000000"),
    REGISTRATION ("\"slotCount\":1,\"coldLeftMs\":\"0\""),
    REGISTRATION ("\"slotCount\":1,\"born\":-1"),
    REGISTRATION ("\"slotCount\":1,\"born\":[]"),
    REGISTRATION ("\"slotCount\":1,\"sequence\":99999999999999999999"),
    REGISTRATION ("\"slotCount\":1,\"slotCount\":1"),
#undef REGISTRATION
  };
  upstream_info_t info;
  void *holder;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    ck_assert_msg (platform_dialect ()->read_instance (
                       STR ("i"), str_from (cases[i]), &info, &holder)
                       != VH_OK,
                   "case %zu", i);
}
END_TEST

/* Failure: a row that is nested very deeply ends the process that reads it. */
START_TEST (deep_row_exhausts_the_stack)
{
  enum
  {
    DEPTH = 1000000
  };
  const gateway_dialect_t *dialect = platform_dialect ();
  static const char *const starts[]
      = { "", "{\"version\":7,\"routes\":", "{\"version\":7,\"tenants\":",
          "{\"service\":\"x\",\"slotCount\":" };

  for (size_t i = 0; i < sizeof starts / sizeof starts[0]; i++)
    for (int is_closed = 0; is_closed < 2; is_closed++)
      {
        buf_t text = BUF_NULL;
        catalog_t *catalog;
        upstream_info_t info;
        rollout_spec_t spec;
        void *holder;
        buf_append_str (&text, str_from (starts[i]));
        for (int depth = 0; depth < DEPTH; depth++)
          buf_append_char (&text, '[');
        for (int depth = 0; is_closed && depth < DEPTH; depth++)
          buf_append_char (&text, ']');
        if (is_closed && starts[i][0] != '\0')
          buf_append_char (&text, '}');
        ck_assert_int_ne (
            dialect->read_catalog (buf_str (&text), NULL, &catalog), VH_OK);
        ck_assert_int_ne (dialect->read_instance (STR ("i"), buf_str (&text),
                                                  &info, &holder),
                          VH_OK);
        ck_assert_int_ne (
            dialect->read_rollout (buf_str (&text), &spec, &holder), VH_OK);
        buf_free (&text);
      }
}
END_TEST

START_TEST (operator_rows_are_distinguished)
{
  const gateway_dialect_t *dialect = platform_dialect ();
  rollout_spec_t spec;
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;
  void *holder;
  str_t name;

  ck_assert_int_eq (dialect->operator_row_kind (STR ("config"), &name),
                    OPERATOR_ROW_CATALOG);
  ck_assert_int_eq (dialect->operator_row_kind (STR ("rollout/x"), &name),
                    OPERATOR_ROW_ROLLOUT);
  ck_assert (str_eq (name, STR ("x")));
  ck_assert_int_eq (dialect->operator_row_kind (STR ("evacuate/z"), &name),
                    OPERATOR_ROW_ZONE_EXCLUSION);
  ck_assert (str_eq (name, STR ("z")));
  ck_assert_int_eq (dialect->operator_row_kind (STR ("other"), &name),
                    OPERATOR_ROW_UNKNOWN);
  ck_assert_int_eq (
      dialect->read_rollout (
          STR ("{\"service\":\"x\",\"to\":\"v2\",\"withinS\":12}"), &spec,
          &holder),
      VH_OK);
  ck_assert_uint_eq (spec.within_ms, 12000);
  dialect->free_holder (holder);
  ck_assert_int_ne (
      dialect->read_rollout (STR ("{\"service\":\"x\"}"), &spec, &holder),
      VH_OK);
  dialect->write_rollout_status (STR ("x"), STR ("v2"), ROLLOUT_ROLLED_BACK,
                                 &key, &value);
  ck_assert (str_eq (buf_str (&key), STR ("rollout/x")));
  ck_assert (str_eq (buf_str (&value), STR ("{\"service\":\"x\",\"to\":\"v2\","
                                            "\"state\":\"rolled_back\"}")));
  buf_free (&key);
  buf_free (&value);
}
END_TEST

/* Failure: a bracket in a string or in a nested value ends an element of a
   list too early.  */
START_TEST (brackets_inside_elements_do_not_split_them)
{
  static const struct
  {
    const char *text;
    const char *elements[4];
  } cases[] = {
    { "{\"a\":[1],\"list\":[{\"x\":\"]}\\\"[\"}, [2,{}] ,\"s\",3]}",
      { "{\"x\":\"]}\\\"[\"}", "[2,{}]", "\"s\"", "3" } },
    { " { \"b\" : {\"list\":[9]} , \"list\" : [ true , null ] } ",
      { "true", "null" } },
    { "{\"list\":[]}", { NULL } },
    { "{\"list\":[[]]}", { "[]" } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      str_t list;
      str_t element;
      ck_assert (
          jsonlist_find (str_from (cases[i].text), STR ("list"), &list));
      str_t rest = jsonlist_elements (list);
      for (size_t j = 0; j < 4 && cases[i].elements[j] != NULL; j++)
        {
          ck_assert (jsonlist_next (&rest, &element));
          ck_assert_msg (str_eq (element, str_from (cases[i].elements[j])),
                         "case %zu element %zu: %.*s", i, j,
                         STR_ARG (element));
        }
      ck_assert (!jsonlist_next (&rest, &element));
    }
}
END_TEST

/* Failure: the search does not end, or reads past the end, in a text that is
   truncated at any byte or is not JSON.  */
START_TEST (truncated_list_ends_iteration)
{
  static const char json_text[]
      = "{\"a\":\"x\\\"\",\"list\":[{\"b\":[1,2]},{\"c\":\"]\"}],\"d\":{}}";

  for (size_t len = 0; len < sizeof json_text; len++)
    {
      str_t list;
      str_t element;
      size_t count = 0;
      if (!jsonlist_find (str_make (json_text, len), STR ("list"), &list))
        continue;
      str_t rest = jsonlist_elements (list);
      while (jsonlist_next (&rest, &element))
        ck_assert_uint_le (++count, 2);
    }
  str_t list;
  ck_assert (!jsonlist_find (STR ("[1]"), STR ("list"), &list));
  ck_assert (!jsonlist_find (STR ("{\"list\":1}"), STR ("list"), &list));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dialect");
  TCase *tcase = tcase_create ("dialect");

  tcase_add_test (tcase, brackets_inside_elements_do_not_split_them);
  tcase_add_test (tcase, truncated_list_ends_iteration);
  tcase_add_test (tcase, configuration_is_parsed);
  tcase_add_test (tcase, invalid_configuration_is_rejected);
  tcase_add_test (tcase, member_without_keys_opens_routes);
  tcase_add_test (tcase, member_of_another_type_is_read_as_empty);
  tcase_add_test (tcase, registration_is_parsed);
  tcase_add_test (tcase, invalid_registration_is_rejected);
  tcase_add_test (tcase, operator_rows_are_distinguished);
  tcase_add_test (tcase, deep_row_exhausts_the_stack);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
