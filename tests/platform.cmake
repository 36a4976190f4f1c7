vh_standin (standin_platform DEPENDS vh_storage vh_wire PkgConfig::JANSSON)
vh_test (test_platform DEPENDS vh_storage PkgConfig::JANSSON)
target_sources (test_platform PRIVATE ${CMAKE_SOURCE_DIR}/tests/platform_child.c)
add_dependencies (test_platform standin_platform)

# vh_control_test (NAME): a test of a control task on the in-memory platform.
function (vh_control_test name)
  vh_test (${name} DEPENDS vh_control)
  target_sources (${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests/control_fixture.c
    ${CMAKE_SOURCE_DIR}/tests/faulty_platform.c)
endfunction ()
vh_control_test (test_lease)
vh_control_test (test_confstore)
vh_control_test (test_claims)
vh_control_test (test_ledger)
vh_control_test (test_roster)
vh_control_test (test_qualitystore)
