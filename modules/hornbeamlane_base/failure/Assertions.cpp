#include "hornbeamlane_base/failure/Assertions.h"

#include <cstdio>
#include <cstdlib>

namespace hornbeamlane::detail {

void failAssertion(const char *condition, const char *file, int line)
{
    std::fprintf(stderr, "assertion failed: %s (%s:%d)\n", condition, file, line);
    std::abort();
}

} // namespace hornbeamlane::detail
