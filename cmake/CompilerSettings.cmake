add_library(hornbeamlane_compiler_settings INTERFACE)
target_compile_options(hornbeamlane_compiler_settings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror
    -Wno-missing-field-initializers) # designated initialisers leave fields at their defaults on purpose
if(HORNBEAMLANE_SANITIZE)
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()
if(HORNBEAMLANE_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link)
endif()

find_program(HORNBEAMLANE_CCACHE ccache)
if(HORNBEAMLANE_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${HORNBEAMLANE_CCACHE})
endif()
