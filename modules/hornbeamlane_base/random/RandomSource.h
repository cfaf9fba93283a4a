#pragma once

#include "hornbeamlane_base/identity/Identifiers.h"

#include <cstdint>
#include <random>

namespace hornbeamlane {

/** Seeded random numbers; the same seed gives the same decisions. */
class RandomSource final
{
public:
    explicit RandomSource(std::uint64_t seed);

    /** A source seeded from the operating system, for daemons. */
    static RandomSource fromEntropy();

    std::uint64_t next();

    /** Uniform in [0, bound). The bound must be positive. */
    std::uint64_t below(std::uint64_t bound);

    /** Uniform in [0, 1). */
    double unit();

    /** A non-zero random incarnation. */
    Incarnation incarnation();

private:
    std::mt19937_64 engine_;
};

} // namespace hornbeamlane
