#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** A 128-bit hash value. */
struct Hash128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Hash128 &) const = default;

    /** 32 hexadecimal digits. */
    std::string toString() const;
};

/** XXH3 hash of the bytes; equal on all hosts. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/** XXH3 128-bit hash of the bytes; equal on all hosts. */
Hash128 hash128(std::string_view bytes);

/** Weight of a candidate for a key in rendezvous hashing; the highest weight ranks first. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace hornbeamlane
