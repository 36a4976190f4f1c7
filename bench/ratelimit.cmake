add_executable (bench_ratelimit bench_ratelimit.c)
target_link_libraries (bench_ratelimit PRIVATE vh_policy m)
set_target_properties (bench_ratelimit PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
