#pragma once

namespace hornbeamlane::detail {

/** Writes the failed condition and its place to standard error and aborts. */
[[noreturn]] void failAssertion(const char *condition, const char *file, int line);

} // namespace hornbeamlane::detail

/** Aborts on a programmer's error. Failures of the outside world are typed values instead. */
#define HORNBEAMLANE_ASSERT(condition) \
    ((condition) ? static_cast<void>(0) : ::hornbeamlane::detail::failAssertion(#condition, __FILE__, __LINE__))
