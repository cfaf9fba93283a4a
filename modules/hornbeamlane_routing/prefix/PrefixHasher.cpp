#include "hornbeamlane_routing/prefix/PrefixHasher.h"

#include <algorithm>

namespace hornbeamlane {

PrefixHasher::PrefixHasher()
    : PrefixHasher(Options{})
{
}

PrefixHasher::PrefixHasher(Options options)
    : options_(options)
{
    HORNBEAMLANE_ASSERT(options_.blockBytes > 0);
}

std::vector<std::uint64_t> PrefixHasher::prefixes(std::string_view scope, std::string_view text) const
{
    const std::size_t blocks = std::min(text.size() / options_.blockBytes, options_.maxBlocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(blocks);
    std::uint64_t chain = hash64(scope);
    for (std::size_t i = 0; i < blocks; ++i) {
        chain = hash64(text.substr(i * options_.blockBytes, options_.blockBytes), chain);
        hashes.push_back(chain);
    }
    return hashes;
}

} // namespace hornbeamlane
