# Defines a static library for each module, and a test program for its tests.
function(sardinerun_module NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;MODULES;LIBRARIES" ${ARGN})
    add_library(${NAME} STATIC ${ARG_SOURCES})
    target_include_directories(${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    foreach(it ${ARG_MODULES})
        target_link_libraries(${NAME} PUBLIC ${it})
    endforeach()
    target_link_libraries(${NAME} PUBLIC ${ARG_LIBRARIES})
endfunction()

function(sardinerun_tests NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;MODULES;LIBRARIES" ${ARGN})
    add_executable(${NAME}_tests ${ARG_SOURCES})
    target_compile_definitions(${NAME}_tests PRIVATE BOOST_TEST_DYN_LINK
        SARDINERUN_TESTS_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests")
    target_link_libraries(${NAME}_tests PRIVATE ${NAME} ${ARG_MODULES} ${ARG_LIBRARIES} boost_unit_test_framework)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests --log_level=error)
endfunction()
