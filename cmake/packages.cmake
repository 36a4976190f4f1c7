# vh_package (NAME [DEPENDS targets...]): a static library of every .c file in
# the package's folder; headers are included as "NAME/file.h".
function (vh_package name)
  cmake_parse_arguments (ARG "" "" "DEPENDS" ${ARGN})
  file (GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
  add_library (vh_${name} STATIC ${sources})
  target_include_directories (vh_${name} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
  target_link_libraries (vh_${name} PUBLIC ${ARG_DEPENDS})
endfunction ()

# vh_test (NAME [DEPENDS targets...]): tests/NAME.c as one `check' program,
# built into build/tests/NAME.
function (vh_test name)
  cmake_parse_arguments (ARG "" "" "DEPENDS" ${ARGN})
  add_executable (${name} ${CMAKE_SOURCE_DIR}/tests/${name}.c)
  set_target_properties (${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  target_link_libraries (${name} PRIVATE ${ARG_DEPENDS} PkgConfig::CHECK)
  add_test (NAME ${name} COMMAND ${name}
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties (${name} PROPERTIES TIMEOUT 120
    ENVIRONMENT "VH_BUILD=${CMAKE_BINARY_DIR};CK_FORK=no")
endfunction ()

# vh_standin (NAME [DEPENDS targets...]): tests/standins/NAME.c as a program
# in build/tests/NAME.
function (vh_standin name)
  cmake_parse_arguments (ARG "" "" "DEPENDS" ${ARGN})
  add_executable (${name} ${CMAKE_SOURCE_DIR}/tests/standins/${name}.c)
  set_target_properties (${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  target_link_libraries (${name} PRIVATE ${ARG_DEPENDS})
endfunction ()
