include(GNUInstallDirs)

# Compiler and linker flags of all targets.
function(galenabarrow_flags target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
    if(GALENABARROW_SANITIZE)
        # With instrumentation, g++ 12 gives false warnings about uninitialized memory in the standard library.
        target_compile_options(${target} PRIVATE -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer -Wno-maybe-uninitialized)
        target_link_options(${target} PRIVATE -fsanitize=address,undefined)
    endif()
endfunction()

# galenabarrow_package(<name> [DEPENDS <library>...] [TEST_DEPENDS <library>...])
# Declares the library galenabarrow-<name> from all sources below packages/<name>/<name>, and the test program
# test-<name> from all sources below packages/<name>/tests if there are any. TEST_DEPENDS names further libraries of the tests.
function(galenabarrow_package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
    set(target galenabarrow-${name})
    add_library(${target} STATIC ${sources})
    set_target_properties(${target} PROPERTIES LINKER_LANGUAGE CXX)
    target_include_directories(${target} PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/galenabarrow>)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS} Threads::Threads)
    galenabarrow_flags(${target})
    install(TARGETS ${target} ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY ${name} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/galenabarrow FILES_MATCHING PATTERN "*.h")

    file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(tests AND GALENABARROW_TESTS)
        add_executable(test-${name} ${tests})
        target_link_libraries(test-${name} PRIVATE ${target} galenabarrow-testmain ${ARG_TEST_DEPENDS})
        target_include_directories(test-${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/tests)
        galenabarrow_flags(test-${name})
        target_compile_definitions(test-${name} PRIVATE GALENABARROW_SOURCE_DIR="${CMAKE_SOURCE_DIR}" GALENABARROW_BIN_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
        add_test(NAME ${name} COMMAND test-${name})
    endif()
endfunction()
