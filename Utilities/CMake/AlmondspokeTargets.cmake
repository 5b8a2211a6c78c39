# Helpers that give every target of the project the same flags.

add_library(almondspoke_flags INTERFACE)
target_compile_options(almondspoke_flags INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual)
if(ALMONDSPOKE_WARNINGS_AS_ERRORS)
  target_compile_options(almondspoke_flags INTERFACE -Werror)
endif()
if(ALMONDSPOKE_SANITIZE)
  target_compile_options(almondspoke_flags INTERFACE
    -fsanitize=${ALMONDSPOKE_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(almondspoke_flags INTERFACE
    -fsanitize=${ALMONDSPOKE_SANITIZE})
endif()
if(ALMONDSPOKE_SANITIZE MATCHES "thread" AND
    CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  # Asio uses std::atomic_thread_fence, which GCC's thread sanitizer ignores and
  # warns of; the fences only order what its atomics order as well.
  target_compile_options(almondspoke_flags INTERFACE -Wno-error=tsan)
endif()
target_compile_definitions(almondspoke_flags INTERFACE
  ASIO_STANDALONE MSGPACK_NO_BOOST
  ALMONDSPOKE_VERSION="${PROJECT_VERSION}")
target_include_directories(almondspoke_flags INTERFACE ${CMAKE_SOURCE_DIR}/Source)

# almondspoke_library(NAME sources...) adds one static library of an area.
function(almondspoke_library name)
  add_library(${name} STATIC ${ARGN})
  target_link_libraries(${name} PUBLIC almondspoke_flags Threads::Threads)
endfunction()

# almondspoke_test_program(NAME sources...) adds one Catch2 program.
function(almondspoke_test_program name)
  add_executable(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE almondspoke_test_main almondspoke_flags)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
endfunction()

# almondspoke_test(NAME sources...) adds one Catch2 program and registers it
# with the cases that ALMONDSPOKE_TEST_CASES selects, all by default.
function(almondspoke_test name)
  almondspoke_test_program(${name} ${ARGN})
  add_test(NAME ${name} COMMAND ${name} ${ALMONDSPOKE_TEST_CASES})
  set_tests_properties(${name} PROPERTIES
    WORKING_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR} TIMEOUT 600)
endfunction()

# almondspoke_fuzzer(NAME sources...) adds one libFuzzer program; without
# ALMONDSPOKE_FUZZERS its sources are compiled and not linked.
function(almondspoke_fuzzer name)
  if(ALMONDSPOKE_FUZZERS)
    add_executable(${name} ${ARGN})
    target_compile_options(${name} PRIVATE -fsanitize=fuzzer,address)
    target_link_options(${name} PRIVATE -fsanitize=fuzzer,address)
  else()
    add_library(${name} OBJECT ${ARGN})
  endif()
  target_link_libraries(${name} PRIVATE almondspoke_flags)
endfunction()
