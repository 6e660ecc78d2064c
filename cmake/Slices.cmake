# One library for each slice, one program for each duty, tests beside what they test.

add_library(project_options INTERFACE)
target_compile_options(project_options INTERFACE -Wall -Wextra -Wshadow -Wnon-virtual-dtor)
if(BUCKTHORNFORD_WERROR)
  target_compile_options(project_options INTERFACE -Werror)
endif()
if(BUCKTHORNFORD_FUZZERS)
  target_compile_options(project_options INTERFACE -fsanitize=fuzzer-no-link,address,undefined,float-cast-overflow
                         -fno-sanitize-recover=undefined,float-cast-overflow)
  target_link_options(project_options INTERFACE -fsanitize=address,undefined)
endif()
target_include_directories(project_options INTERFACE ${CMAKE_SOURCE_DIR}/src)

# slice(NAME SOURCES ... DEPENDS ...): the library buckthornford_NAME from src/NAME.
function(slice name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  list(TRANSFORM ARG_SOURCES PREPEND ${name}/)
  add_library(buckthornford_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(buckthornford_${name} PUBLIC project_options Threads::Threads
                                                     ${ARG_DEPENDS})
endfunction()

# slice_test(NAME FILE DEPENDS ...): one Boost.Test program from FILE.
function(slice_test name file)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(${name} ${file})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework ${RAPIDCHECK})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# program(NAME [FOLDER folder] SOURCES ... DEPENDS ...): the binary buckthornford-NAME from
# programs/FOLDER, or from programs/NAME if no folder is given.
function(program name)
  cmake_parse_arguments(ARG "" "FOLDER" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_FOLDER)
    set(ARG_FOLDER ${name})
  endif()
  list(TRANSFORM ARG_SOURCES PREPEND ${ARG_FOLDER}/)
  add_executable(buckthornford-${name} ${ARG_SOURCES})
  target_include_directories(buckthornford-${name} PRIVATE ${CMAKE_SOURCE_DIR}/programs)
  target_link_libraries(buckthornford-${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(buckthornford-${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                                                         ${CMAKE_BINARY_DIR}/bin)
endfunction()
