#pragma once

#include "hornbeamlane_gateway/peers/PeerLoads.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** Packed form of arrivals in a load message, seven bytes for each class. Rates over 10,000 a second are told as that.
 */
std::vector<std::uint8_t> encodeArrivals(const std::vector<ServiceArrivals> &arrivals);

/** Empty for bytes of another form. Priorities over the largest one come out as that. */
std::optional<std::vector<ServiceArrivals>> decodeArrivals(const std::vector<std::uint8_t> &bytes);

} // namespace hornbeamlane
