# Small targets that list their dependencies.

set(deployedPrograms persimmonlbd persimmonlbctl persimmonlb-node)

# plb_library(NAME SOURCES file... [DEPS target...] [PRIVATE_DEPS target...])
# A static library that other components may link as plb::NAME.
function(plb_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;PRIVATE_DEPS" ${ARGN})
  add_library(plb_${name} STATIC ${ARG_SOURCES})
  add_library(plb::${name} ALIAS plb_${name})
  target_include_directories(plb_${name} PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(plb_${name} PUBLIC ${ARG_DEPS} PRIVATE ${ARG_PRIVATE_DEPS})
endfunction()

# plb_program(NAME SOURCES file... DEPS target...)
function(plb_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  if(PERSIMMONLB_DEPLOY AND NOT name IN_LIST deployedPrograms)
    set_target_properties(${name} PROPERTIES EXCLUDE_FROM_ALL ON)
  endif()
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# plb_test(NAME SOURCES file... DEPS target...)
# A Boost.Test program, run by ctest. Its sources define no main function and no
# BOOST_TEST_MODULE: cmake/testmain.cpp does.
function(plb_test name)
  if(PERSIMMONLB_DEPLOY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/cmake/testmain.cpp)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} Boost::unit_test_framework)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
