#include "hornbeamlane_base/identity/AttemptId.h"

#include <charconv>

namespace hornbeamlane {

namespace {

std::string toHex(std::uint64_t value)
{
    char buffer[16];
    const auto result = std::to_chars(buffer, buffer + sizeof(buffer), value, 16);
    return std::string(buffer, result.ptr);
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, 16);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string AttemptId::toString() const
{
    return toHex(entry.value()) + "-" + toHex(sequence);
}

std::optional<AttemptId> AttemptId::fromString(std::string_view text)
{
    const auto dash = text.find('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto entry = fromHex(text.substr(0, dash));
    const auto sequence = fromHex(text.substr(dash + 1));
    if (!entry || !sequence) {
        return std::nullopt;
    }
    return AttemptId{.entry = Incarnation(*entry), .sequence = *sequence};
}

} // namespace hornbeamlane
