# One fuzz target for each group of decoders. With ROSEMARYHOOK_FUZZ, which
# needs clang, they are built for libFuzzer; else with a driver that runs a
# fixed number of inputs in CI.
foreach(target rows backend configuration peer_message http)
  add_executable(fuzz_${target} fuzz/${target}.cc)
  # The codecs in rosemaryhook_core read headers with functions of rosemaryhook.
  target_link_libraries(fuzz_${target} PRIVATE CLI11::CLI11
    -Wl,--start-group rosemaryhook rosemaryhook_core -Wl,--end-group)
  if(ROSEMARYHOOK_FUZZ)
    target_link_options(fuzz_${target} PRIVATE -fsanitize=fuzzer)
  else()
    target_sources(fuzz_${target} PRIVATE fuzz/mutate.cc)
    add_test(NAME fuzz.${target} COMMAND fuzz_${target} --inputs 5000)
    set_tests_properties(fuzz.${target} PROPERTIES TIMEOUT 120)
  endif()
endforeach()
