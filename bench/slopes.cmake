add_executable (bench_slopes ${CMAKE_CURRENT_SOURCE_DIR}/bench_slopes.c
  ${CMAKE_CURRENT_SOURCE_DIR}/points.c)
target_link_libraries (bench_slopes PRIVATE vh_policy vh_conf vh_wire
  PkgConfig::LIBUV m)
add_executable (bench_gateway ${CMAKE_CURRENT_SOURCE_DIR}/bench_gateway.c
  ${CMAKE_CURRENT_SOURCE_DIR}/points.c)
target_link_libraries (bench_gateway PRIVATE vh_gateway m)
set_target_properties (bench_slopes bench_gateway PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
