#include "hornbeamlane_messages/codec/CborBounds.h"

#include <array>
#include <cstdint>

namespace hornbeamlane::detail {

namespace {

constexpr std::uint64_t maxFrameElements = maxContainerElements * 8;

/** Reads CBOR item headers one after the other. */
class HeaderReader final
{
public:
    explicit HeaderReader(std::string_view frame)
        : rest_(frame)
    {
    }

    struct Header
    {
        std::uint8_t majorType = 0;
        std::uint64_t argument = 0;
    };

    bool isAtEnd() const
    {
        return rest_.empty();
    }

    std::optional<Header> readHeader()
    {
        if (rest_.empty()) {
            return std::nullopt;
        }
        const auto first = static_cast<std::uint8_t>(rest_.front());
        rest_.remove_prefix(1);
        Header header{.majorType = static_cast<std::uint8_t>(first >> 5), .argument = first & 0x1FU};
        if (header.argument < 24) {
            return header;
        }
        // Indefinite lengths (31) are refused: the library parses them by recursion without a bound.
        if (header.argument > 27) {
            return std::nullopt;
        }
        const std::size_t width = std::size_t{1} << (header.argument - 24);
        if (rest_.size() < width) {
            return std::nullopt;
        }
        header.argument = 0;
        for (std::size_t i = 0; i < width; ++i) {
            header.argument = (header.argument << 8) | static_cast<std::uint8_t>(rest_[i]);
        }
        rest_.remove_prefix(width);
        return header;
    }

    bool skip(std::uint64_t length)
    {
        if (length > rest_.size()) {
            return false;
        }
        rest_.remove_prefix(static_cast<std::size_t>(length));
        return true;
    }

private:
    std::string_view rest_;
};

enum MajorType : std::uint8_t { Bytes = 2, Text = 3, Array = 4, Map = 5, Tag = 6 };

} // namespace

DecodeFailure checkCborBounds(std::string_view frame)
{
    if (frame.size() > maxFrameBytes) {
        return DecodeFailure::FrameTooLarge;
    }
    HeaderReader reader(frame);
    std::array<std::uint64_t, maxFrameDepth + 1> remaining{};
    std::size_t depth = 0;
    remaining[0] = 1;
    std::uint64_t total = 0;
    while (true) {
        while (remaining[depth] == 0) {
            if (depth == 0) {
                return reader.isAtEnd() ? DecodeFailure::None : DecodeFailure::Malformed;
            }
            --depth;
        }
        --remaining[depth];
        const auto header = reader.readHeader();
        if (!header || header->majorType == Tag) {
            return DecodeFailure::Malformed;
        }
        if (++total > maxFrameElements) {
            return DecodeFailure::TooManyElements;
        }
        if (header->majorType == Bytes || header->majorType == Text) {
            if (!reader.skip(header->argument)) {
                return DecodeFailure::Malformed;
            }
        } else if (header->majorType == Array || header->majorType == Map) {
            if (header->argument > maxContainerElements) {
                return DecodeFailure::TooManyElements;
            }
            if (depth == maxFrameDepth) {
                return DecodeFailure::NestedTooDeep;
            }
            ++depth;
            remaining[depth] = header->majorType == Map ? header->argument * 2 : header->argument;
        }
    }
}

} // namespace hornbeamlane::detail
