#pragma once

#include "hornbeamlane_messages/codec/MessageCodec.h"

#include <string_view>

namespace hornbeamlane::detail {

/** Checks a frame's size, depth and element counts without recursion; DecodeFailure::None if all are in bounds. */
DecodeFailure checkCborBounds(std::string_view frame);

} // namespace hornbeamlane::detail
