# Build helpers: one call per folder declares its product and its test program.

add_library(laburnum_options INTERFACE)
# -Wrestrict of g++ 12 warns about std::string concatenation without cause (GCC bug 105651).
target_compile_options(laburnum_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers -Wno-restrict -Wno-unknown-warning-option)
if(LABURNUM_WERROR)
  target_compile_options(laburnum_options INTERFACE -Werror)
endif()
target_include_directories(laburnum_options INTERFACE ${CMAKE_SOURCE_DIR}/src/include)
# Asio is compiled once, in libnet; the other definitions let clang-tidy see its coroutines.
target_compile_definitions(laburnum_options INTERFACE ASIO_SEPARATE_COMPILATION ASIO_NO_DEPRECATED ASIO_HAS_CO_AWAIT)
target_link_libraries(laburnum_options INTERFACE Threads::Threads)

if(LABURNUM_TESTS)
  add_library(laburnum_testmain OBJECT ${CMAKE_SOURCE_DIR}/testsuite/catch_main.cpp)
  target_link_libraries(laburnum_testmain PUBLIC laburnum_options Catch2::Catch2)
endif()

# laburnum_library(NAME SOURCES a.cpp ... [LINK lib ...]): a static library; every
# *_test.cpp in its folder goes into the test program NAME_test. An OBJECT-like
# whole-archive link keeps self-registering plug-ins.
function(laburnum_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC laburnum_options ${ARG_LINK})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
  if(tests AND LABURNUM_TESTS)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE laburnum_testmain laburnum_fakes ${name} laburnum_plugins)
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()

# laburnum_program(NAME SOURCES ... LINK ...): an executable with all plug-ins.
function(laburnum_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE laburnum_options ${ARG_LINK} laburnum_plugins)
endfunction()

# laburnum_plugin(SOURCES ... [LINK ...]): the folder NAME.KIND as objects that
# every program links whole, so that its registration runs.
function(laburnum_plugin)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  get_filename_component(folder ${CMAKE_CURRENT_SOURCE_DIR} NAME)
  string(REPLACE "." "_" name ${folder})
  add_library(${name} OBJECT ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC laburnum_options ${ARG_LINK})
  target_sources(laburnum_plugins INTERFACE $<TARGET_OBJECTS:${name}>)
  target_link_libraries(laburnum_plugins INTERFACE ${ARG_LINK})
endfunction()
