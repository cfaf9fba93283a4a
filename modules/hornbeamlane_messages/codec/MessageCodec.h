#pragma once

#include "hornbeamlane_messages/types/Message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** Largest encoded message. */
constexpr std::size_t maxFrameBytes = 1024 * 1024;

/** Deepest nesting of containers in a frame. */
constexpr std::size_t maxFrameDepth = 16;

/** Most elements in one container and, times eight, in the whole frame. */
constexpr std::size_t maxContainerElements = 4096;

enum class DecodeFailure {
    None,
    FrameTooLarge,
    NestedTooDeep,
    TooManyElements,
    Malformed,
    UnsupportedVersion,
    UnknownType, ///< A newer release sent it; the receiver skips the frame.
    MissingField,
    WrongFieldType,
};

std::string_view toString(DecodeFailure failure);

/** Encodes a message as one CBOR frame. */
std::string encodeMessage(const Message &message);

/** Decodes one CBOR frame; empty with the reason in `failure` if the frame is not a valid message. */
std::optional<Message> decodeMessage(std::string_view frame, DecodeFailure &failure);

} // namespace hornbeamlane
