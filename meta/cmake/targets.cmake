# One static library for each folder below libraries/; its headers are
# included as <name/file.hpp>. Sources are found by glob, so that a new class
# needs no line here.
function(berylhill_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(NOT sources)
        add_library(berylhill_${name} INTERFACE)
        target_include_directories(berylhill_${name} INTERFACE ${PROJECT_SOURCE_DIR}/libraries)
        target_link_libraries(berylhill_${name} INTERFACE ${ARG_DEPENDS} Threads::Threads)
        return()
    endif()
    add_library(berylhill_${name} STATIC ${sources})
    target_include_directories(berylhill_${name} PUBLIC ${PROJECT_SOURCE_DIR}/libraries)
    target_link_libraries(berylhill_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# One Boost.Test program for each folder below tests/ that mirrors a library.
function(berylhill_unit_test name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(test_${name} ${sources})
    target_compile_definitions(test_${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(test_${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND test_${name} --log_level=message --color_output=no)
    set_tests_properties(${name} PROPERTIES LABELS unit TIMEOUT 300)
endfunction()
