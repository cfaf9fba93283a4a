#pragma once

#include "hornbeamlane_dispatch/servers/Backend.h"

#include <cstddef>
#include <vector>

namespace hornbeamlane {

/** A server that may take a request; the lower the score, the better. */
struct BackendCandidate
{
    const Backend *backend = nullptr;
    double score = 0;
};

/** Draws one of the best of some candidates, of which there are as many as requests that are not known of yet. */
const Backend &drawBackend(std::vector<BackendCandidate> candidates, double unseenRequests, RandomSource &random);

/** So many of the servers, drawn at random; all if there are no more. */
std::vector<Backend *> drawSample(const std::vector<Backend *> &servers, std::size_t most, RandomSource &random);

} // namespace hornbeamlane
