#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

/** Entry point of a fuzz target; called by libFuzzer or by FuzzMain.cpp. */
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer sets the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace hornbeamlane::fuzz {

/** Well-formed inputs of the target, which FuzzMain.cpp mutates. */
std::vector<std::string> seedInputs();

inline std::string_view toText(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

/** Ends the process if a property does not hold, also in builds without assertions. */
inline void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

} // namespace hornbeamlane::fuzz
