# Defines the package carawayvalve_<name>: public headers under include/,
# private ones and sources under src/, tests under tests/.
function(carawayvalve_package name)
  cmake_parse_arguments(ARG "" "" "PUBLIC;PRIVATE" ${ARGN})
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
    add_test(NAME ${name} COMMAND ${name}_tests)
    # Fixes rapidcheck's seed, so that every run tests the same cases.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT
                         "RC_PARAMS=seed=20261203 max_success=200")
  endif()
endfunction()
