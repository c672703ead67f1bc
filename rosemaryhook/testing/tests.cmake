# Tests of decisions in virtual time, one ctest entry for each suite.
set(UNIT_SUITES
  api backend_state booking claims contact fleet_state membership placement
  rates retries routing settings sheet suspects)
set(UNIT_SOURCES rosemaryhook/testing/unit_main.cc)
foreach(suite ${UNIT_SUITES})
  list(APPEND UNIT_SOURCES rosemaryhook/testing/${suite}_test.cc)
endforeach()
add_executable(unit_tests ${UNIT_SOURCES})
target_link_libraries(unit_tests PRIVATE
  rosemaryhook Boost::unit_test_framework)
target_compile_definitions(unit_tests PRIVATE BOOST_TEST_DYN_LINK)
foreach(suite ${UNIT_SUITES})
  add_test(NAME unit.${suite} COMMAND unit_tests --run_test=${suite})
endforeach()

# Tests with real processes. Each uses its own ports; they run one at a time,
# because what they wait for takes longer on a crowded machine.
set(PROCESS_SUITES path failure)
set(PROCESS_SOURCES rosemaryhook/testing/unit_main.cc
  rosemaryhook/testing/fleet.cc)
foreach(suite ${PROCESS_SUITES})
  list(APPEND PROCESS_SOURCES rosemaryhook/testing/${suite}_process_test.cc)
endforeach()
add_executable(process_tests ${PROCESS_SOURCES})
target_link_libraries(process_tests PRIVATE
  rosemaryhook Boost::unit_test_framework)
target_compile_definitions(process_tests PRIVATE BOOST_TEST_DYN_LINK
  ROSEMARYHOOK_PROGRAMS="$<TARGET_FILE_DIR:rosemaryhookd>")
target_precompile_headers(process_tests REUSE_FROM rosemaryhook)
add_dependencies(process_tests rosemaryhookd rosemaryhookctl fake_platform
  fake_runner fake_service)
set(PROCESS_TESTS
  path/requests_and_refusals
  path/unreadable_requests
  path/operators_race_and_repeat)
foreach(test ${PROCESS_TESTS})
  string(REPLACE "/" "." name ${test})
  add_test(NAME process.${name} COMMAND process_tests --run_test=${test})
  set_tests_properties(process.${name} PROPERTIES
    RUN_SERIAL ON TIMEOUT 300)
endforeach()

# The core protocol and each rule taken away, by the model checker.
add_test(NAME model.contact COMMAND ${CMAKE_SOURCE_DIR}/model/check)
set_tests_properties(model.contact PROPERTIES TIMEOUT 900)
