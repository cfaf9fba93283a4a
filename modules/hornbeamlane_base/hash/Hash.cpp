#include "hornbeamlane_base/hash/Hash.h"

#include <xxhash.h>

#include <cstdio>

namespace hornbeamlane {

std::string Hash128::toString() const
{
    char buffer[33];
    std::snprintf(buffer, sizeof(buffer), "%016llx%016llx", static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return buffer;
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Hash128 hash128(std::string_view bytes)
{
    const XXH128_hash_t value = XXH3_128bits(bytes.data(), bytes.size());
    return Hash128{.high = value.high64, .low = value.low64};
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hash64(candidate, hash64(key));
}

} // namespace hornbeamlane
