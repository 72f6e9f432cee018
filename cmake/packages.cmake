# Functions that declare the libraries of the packages and their test programs.

# quetzalspan_package(NAME [DEPENDS target...])
# Declares the library quetzalspan_NAME of all sources in the current folder: a static library, or an interface
# library if the folder has only headers. If there are sources in tests/, also declares the test program
# NAME_tests of them.
function(quetzalspan_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(quetzalspan_${name} STATIC ${sources})
    target_include_directories(quetzalspan_${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
    target_link_libraries(quetzalspan_${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(quetzalspan_${name} INTERFACE)
    target_include_directories(quetzalspan_${name} INTERFACE ${PROJECT_SOURCE_DIR}/packages)
    target_link_libraries(quetzalspan_${name} INTERFACE ${ARG_DEPENDS})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(tests AND NOT QUETZALSPAN_PROGRAMS_ONLY)
    quetzalspan_test(${name}_tests SOURCES ${tests} DEPENDS quetzalspan_${name})
  endif()
endfunction()

# quetzalspan_test(NAME SOURCES file... [DEPENDS target...])
# Declares a CppUTest program with the common main function, and registers it with CTest with a time limit of
# 240 s.
function(quetzalspan_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/tests/support/test_main.cpp)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR} ${PROJECT_SOURCE_DIR}/packages)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} rapidcheck PkgConfig::CPPUTEST)
  add_test(NAME ${name} COMMAND ${name} -v)
  set_tests_properties(${name} PROPERTIES TIMEOUT 240)
endfunction()
