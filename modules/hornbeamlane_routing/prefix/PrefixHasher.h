#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Hashes the prefixes of a prompt in whole blocks; equal prefixes give equal hashes on all hosts. */
class PrefixHasher final
{
public:
    struct Options
    {
        std::size_t blockBytes = 1024;
        /** Longer prompts are hashed up to this many blocks, which bounds the size of a dispatch. */
        std::size_t maxBlocks = 32;
    };

    PrefixHasher();
    explicit PrefixHasher(Options options);

    /** Hashes of all whole-block prefixes, shortest first. The scope, such as the model, separates equal texts. */
    std::vector<std::uint64_t> prefixes(std::string_view scope, std::string_view text) const;

private:
    Options options_;
};

} // namespace hornbeamlane
