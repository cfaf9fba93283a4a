#include "hornbeamlane_membership/lease/LeaseRow.h"

#include <array>
#include <charconv>

namespace hornbeamlane {

std::string LeaseRow::toString() const
{
    auto text = std::to_string(holder.value()) + ' ' + std::to_string(sequence) + ' ' + std::to_string(token.value());
    if (expiresAt) {
        text += ' ' + std::to_string(expiresAt->count());
    }
    return text;
}

std::optional<LeaseRow> LeaseRow::fromString(std::string_view text)
{
    constexpr std::size_t withoutExpiry = 3;
    std::array<std::uint64_t, withoutExpiry + 1> numbers{};
    std::size_t count = 0;
    const char *position = text.data();
    const char *const end = text.data() + text.size();
    while (count < numbers.size()) {
        if (count > 0 && (position == end || *position++ != ' ')) {
            return std::nullopt;
        }
        const auto [next, error] = std::from_chars(position, end, numbers[count]);
        if (error != std::errc()) {
            return std::nullopt;
        }
        position = next;
        ++count;
        if (count == withoutExpiry && position == end) {
            break;
        }
    }
    if (position != end) {
        return std::nullopt;
    }
    LeaseRow row{.holder = Incarnation(numbers[0]), .sequence = numbers[1], .token = FencingToken(numbers[2])};
    if (count > withoutExpiry) {
        row.expiresAt = std::chrono::milliseconds(numbers[withoutExpiry]);
    }
    return row;
}

FencingToken fencingTokenOf(const TableRow &row)
{
    const auto lease = LeaseRow::fromString(row.value);
    if (!lease) {
        return FencingToken();
    }
    return lease->token == FencingToken() ? FencingToken(row.version.value()) : lease->token;
}

} // namespace hornbeamlane
