#include "hornbeamlane_base/random/RandomSource.h"

#include "hornbeamlane_base/failure/Assertions.h"

namespace hornbeamlane {

namespace detail {
__extension__ using Wide = unsigned __int128;
} // namespace detail

RandomSource::RandomSource(std::uint64_t seed)
    : engine_(seed)
{
}

RandomSource RandomSource::fromEntropy()
{
    std::random_device device;
    return RandomSource((static_cast<std::uint64_t>(device()) << 32) ^ device());
}

std::uint64_t RandomSource::next()
{
    return engine_();
}

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    HORNBEAMLANE_ASSERT(bound > 0);
    // Multiply-shift instead of std::uniform_int_distribution, whose results differ between standard libraries.
    return static_cast<std::uint64_t>((static_cast<detail::Wide>(engine_()) * bound) >> 64);
}

double RandomSource::unit()
{
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53);
    return static_cast<double>(engine_() >> 11) * scale;
}

Incarnation RandomSource::incarnation()
{
    std::uint64_t value = 0;
    while (value == 0) {
        value = engine_();
    }
    return Incarnation(value);
}

} // namespace hornbeamlane
