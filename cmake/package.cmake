# Defines the package carawayvalve_<name>: public headers under include/,
# private ones and sources under src/, tests under tests/. RED_CASES is a pattern
# of test cases that KNOWN-RED.txt lists: they become a test of their own,
# <name>_red.
function(carawayvalve_package name)
  cmake_parse_arguments(ARG "" "RED_CASES" "PUBLIC;PRIVATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc src/*/*.cc)
  list(FILTER sources EXCLUDE REGEX "main\\.cc$")
  if(sources)
    add_library(carawayvalve_${name} STATIC ${sources})
    target_include_directories(carawayvalve_${name} PUBLIC include PRIVATE src)
    target_link_libraries(carawayvalve_${name} PUBLIC ${ARG_PUBLIC}
                          PRIVATE ${ARG_PRIVATE})
  else()
    add_library(carawayvalve_${name} INTERFACE)
    target_include_directories(carawayvalve_${name} INTERFACE include)
    target_link_libraries(carawayvalve_${name} INTERFACE ${ARG_PUBLIC})
  endif()

  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc)
  if(tests AND CARAWAYVALVE_TESTS)
    add_executable(${name}_tests ${CMAKE_SOURCE_DIR}/tests/doctest_main.cc ${tests})
    target_include_directories(${name}_tests PRIVATE src ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name}_tests PRIVATE carawayvalve_${name}
                          ${ARG_PRIVATE} doctest::doctest rapidcheck)
    set(ctests ${name})
    if(ARG_RED_CASES)
      add_test(NAME ${name} COMMAND ${name}_tests "-tce=${ARG_RED_CASES}")
      add_test(NAME ${name}_red COMMAND ${name}_tests "-tc=${ARG_RED_CASES}")
      list(APPEND ctests ${name}_red)
    else()
      add_test(NAME ${name} COMMAND ${name}_tests)
    endif()
    # Fixes rapidcheck's seed, so that every run tests the same cases.
    set_tests_properties(${ctests} PROPERTIES ENVIRONMENT
                         "RC_PARAMS=seed=20261203 max_success=200")
  endif()
endfunction()
