foreach (module limit retry outlier queue balance
    admission poison drain zone)
  vh_test (test_${module} DEPENDS vh_policy)
endforeach ()
# The load patterns, on the queueing model of the bench.
vh_test (test_load DEPENDS vh_model)
vh_test (test_escalation DEPENDS vh_policy)
vh_test (test_allotment DEPENDS vh_policy)
vh_test (test_readers DEPENDS vh_policy)
vh_test (test_pool DEPENDS vh_policy)
vh_test (test_instance_speed DEPENDS vh_policy)
vh_test (test_speed_fleet DEPENDS vh_policy)
vh_test (test_ratelimit DEPENDS vh_policy)
vh_test (test_sendbudget DEPENDS vh_policy)
target_sources (test_sendbudget PRIVATE budget_fleet.c budget_window.c)
# The model of roll-outs, of the bench.
vh_test (test_trial DEPENDS vh_rollout_model)
# One entry for each case, so that KNOWN-RED.txt can name one.
add_executable (test_trial_times test_trial_times.c)
set_target_properties (test_trial_times PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
target_link_libraries (test_trial_times PRIVATE vh_policy PkgConfig::CHECK)
foreach (case "routes" "usual times" "three a second" "good version")
  string (REPLACE " " "_" name "trial_times_${case}")
  add_test (NAME ${name} COMMAND test_trial_times
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties (${name} PROPERTIES TIMEOUT 60
    ENVIRONMENT "CK_FORK=no;CK_RUN_CASE=${case}")
endforeach ()
# One entry for each case, so that KNOWN-RED.txt can name one.
add_executable (test_trial_masked test_trial_masked.c)
set_target_properties (test_trial_masked PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
target_link_libraries (test_trial_masked PRIVATE vh_rollout_model
  PkgConfig::CHECK)
foreach (case "a sixth breaks off" "a quarter breaks off" "good version")
  string (REPLACE " " "_" name "trial_masked_${case}")
  add_test (NAME ${name} COMMAND test_trial_masked
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties (${name} PROPERTIES TIMEOUT 120
    ENVIRONMENT "CK_FORK=no;CK_RUN_CASE=${case}")
endforeach ()
vh_test (test_regression DEPENDS vh_policy)
vh_test (test_route_levels DEPENDS vh_policy)
vh_test (test_finish_time DEPENDS vh_policy)
vh_test (test_stream_move DEPENDS vh_policy)
vh_test (test_speed_codec DEPENDS vh_policy)
