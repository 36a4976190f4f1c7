foreach (module limit retry outlier queue balance
    admission poison drain zone config_age)
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
function (vh_policy_cases program timeout_s)
  cmake_parse_arguments (arg "" "PREFIX" "DEPENDS;CASES" ${ARGN})
  add_executable (${program} ${program}.c)
  set_target_properties (${program} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  target_link_libraries (${program} PRIVATE ${arg_DEPENDS} PkgConfig::CHECK)
  foreach (case ${arg_CASES})
    string (REPLACE " " "_" name "${arg_PREFIX}_${case}")
    add_test (NAME ${name} COMMAND ${program}
      WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    set_tests_properties (${name} PROPERTIES TIMEOUT ${timeout_s}
      ENVIRONMENT "CK_FORK=no;CK_RUN_CASE=${case}")
  endforeach ()
endfunction ()
vh_policy_cases (test_trial_times 60 PREFIX trial_times DEPENDS vh_policy
  CASES "routes" "usual times" "three a second" "no answers" "good version")
vh_policy_cases (test_trial_masked 120 PREFIX trial_masked
  DEPENDS vh_rollout_model
  CASES "a sixth breaks off" "a quarter breaks off" "good version")
vh_test (test_trial_instances DEPENDS vh_rollout_model)
vh_test (test_regression DEPENDS vh_policy)
vh_test (test_route_levels DEPENDS vh_policy)
vh_test (test_finish_time DEPENDS vh_policy)
vh_test (test_stream_move DEPENDS vh_policy)
vh_test (test_speed_codec DEPENDS vh_policy)
