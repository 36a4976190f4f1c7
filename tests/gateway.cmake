vh_test (test_gateway DEPENDS vh_gateway)
target_sources (test_gateway PRIVATE gateway_fixture.c caller.c
  fake_rows.c fake_upstream.c virtual_time.c)
vh_test (test_stop DEPENDS vh_gateway)
target_sources (test_stop PRIVATE gateway_fixture.c caller.c
  fake_rows.c fake_upstream.c virtual_time.c)
vh_test (test_unbounded_responses DEPENDS vh_gateway)
target_sources (test_unbounded_responses PRIVATE gateway_fixture.c caller.c
  fake_rows.c fake_upstream.c virtual_time.c)
vh_test (test_announced_limits DEPENDS vh_gateway)
target_sources (test_announced_limits PRIVATE gateway_fixture.c caller.c
  fake_rows.c fake_upstream.c virtual_time.c)
vh_test (test_instance_notices DEPENDS vh_gateway)
target_sources (test_instance_notices PRIVATE gateway_fixture.c caller.c
  fake_rows.c fake_upstream.c virtual_time.c)
vh_test (test_loop_watch DEPENDS vh_base)
target_sources (test_loop_watch PRIVATE virtual_time.c)
vh_test (test_load_reports DEPENDS vh_gateway)
target_sources (test_load_reports PRIVATE fake_rows.c)
vh_test (test_catalog DEPENDS vh_gateway)
vh_test (test_loader DEPENDS vh_gateway)
vh_test (test_events DEPENDS vh_gateway)
vh_test (test_dialect DEPENDS vh_platform)
vh_test (test_eventlog DEPENDS vh_base)
vh_test (test_storeclock DEPENDS vh_gateway)
vh_test (test_share DEPENDS vh_gateway)
target_sources (test_share PRIVATE fake_rows.c narrow_link.c)
vh_test (test_config_delay DEPENDS vh_gateway)
target_sources (test_config_delay PRIVATE fake_rows.c partitioned_store.c
  virtual_time.c)
vh_test (test_tablesync DEPENDS vh_gateway)
vh_test (test_rowcache DEPENDS vh_gateway)
vh_test (test_share_fleet DEPENDS vh_gateway)
target_sources (test_share_fleet PRIVATE fake_rows.c)
vh_test (test_speed_rows DEPENDS vh_gateway)
target_sources (test_speed_rows PRIVATE fake_rows.c virtual_time.c)
vh_test (test_billing DEPENDS vh_gateway)
vh_test (test_rows DEPENDS vh_platform)
target_sources (test_rows PRIVATE narrow_link.c)
vh_test (test_crashing_request DEPENDS vh_gateway)
target_sources (test_crashing_request PRIVATE gateway_fixture.c caller.c
  fake_rows.c fake_upstream.c virtual_time.c)
vh_test (test_store_copy DEPENDS vh_gateway vh_platform)
target_sources (test_store_copy PRIVATE gateway_fixture.c caller.c
  fake_rows.c fake_upstream.c http_store.c partitioned_store.c
  virtual_time.c)
set_tests_properties (test_store_copy PROPERTIES TIMEOUT 240)
# Gateways as processes, with the store and the instances in the test.
add_library (vh_gateway_processes STATIC gateway_processes.c
  budget_window.c caller.c fake_rows.c fake_upstream.c http_store.c
  partitioned_store.c)
target_link_libraries (vh_gateway_processes PUBLIC vh_harness vh_platform
  vh_gateway PkgConfig::CHECK)
vh_test (test_retry_budget DEPENDS vh_gateway_processes)
add_dependencies (test_retry_budget vanillahookd)
vh_test (test_crashing_part DEPENDS vh_gateway_processes)
add_dependencies (test_crashing_part vanillahookd)
# One entry for each trouble, which lasts most of a minute.
add_executable (test_bad_version test_bad_version.c)
set_target_properties (test_bad_version PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
target_link_libraries (test_bad_version PRIVATE vh_gateway_processes)
add_dependencies (test_bad_version vanillahookd)
if (NOT SANITIZE)
foreach (case "a third of the answers fail" "most answers fail"
    "connections are reset" "streams break off" "good version"
    "streams break off in one of six" "answers fail after the decision"
    "resets beside an old version that resets more"
    "cut streams beside an old version that cuts more")
  string (REPLACE " " "_" name "bad_version_${case}")
  add_test (NAME ${name} COMMAND test_bad_version
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties (${name} PROPERTIES TIMEOUT 120
    ENVIRONMENT
      "VH_BUILD=${CMAKE_BINARY_DIR};CK_FORK=no;CK_RUN_CASE=${case}")
endforeach ()
endif ()
# Seeded faults: build/tests/gateway_chaos --seed N --seconds S.
add_executable (gateway_chaos gateway_chaos.c chaos_args.c)
set_target_properties (gateway_chaos PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
target_link_libraries (gateway_chaos PRIVATE vh_gateway_processes vh_standins)
add_dependencies (gateway_chaos vanillahookd)
# Seeds that once failed stay as they are.  Under the sanitizers
# test_retry_budget drives the same code.
if (NOT SANITIZE)
foreach (seed 15 38)
  add_test (NAME gateway_chaos_${seed} COMMAND gateway_chaos --seed ${seed}
    --seconds 45 WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties (gateway_chaos_${seed} PROPERTIES TIMEOUT 120
    ENVIRONMENT "CK_FORK=no")
endforeach ()
add_test (NAME gateway_chaos_readers COMMAND gateway_chaos --readers --seed 101
  --seconds 45 WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
set_tests_properties (gateway_chaos_readers PROPERTIES TIMEOUT 120
  ENVIRONMENT "CK_FORK=no")
add_test (NAME gateway_chaos_versions COMMAND gateway_chaos --versions
  --seed 1 --seconds 40 WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
set_tests_properties (gateway_chaos_versions PROPERTIES TIMEOUT 120
  ENVIRONMENT "CK_FORK=no")
endif ()
# Misbehaving clients, one crowd at a time.
vh_test (test_client_crowds DEPENDS vh_gateway_processes)
target_sources (test_client_crowds PRIVATE client_crowd.c)
add_dependencies (test_client_crowds vanillahookd standins)
set_tests_properties (test_client_crowds PROPERTIES TIMEOUT 300
  RUN_SERIAL ON)
