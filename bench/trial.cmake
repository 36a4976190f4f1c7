add_library (vh_rollout_model STATIC rollout_model.c)
target_include_directories (vh_rollout_model PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
target_link_libraries (vh_rollout_model PUBLIC vh_policy m)
add_executable (bench_trial bench_trial.c)
target_link_libraries (bench_trial PRIVATE vh_rollout_model PkgConfig::ARGTABLE2)
set_target_properties (bench_trial PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
