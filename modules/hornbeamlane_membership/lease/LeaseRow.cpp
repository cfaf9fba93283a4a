#include "hornbeamlane_membership/lease/LeaseRow.h"

#include <array>
#include <charconv>

namespace hornbeamlane {

std::string LeaseRow::toString() const
{
    return std::to_string(holder.value()) + ' ' + std::to_string(sequence) + ' ' + std::to_string(token.value());
}

std::optional<LeaseRow> LeaseRow::fromString(std::string_view text)
{
    std::array<std::uint64_t, 3> numbers{};
    const char *position = text.data();
    const char *const end = text.data() + text.size();
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        if (i > 0 && (position == end || *position++ != ' ')) {
            return std::nullopt;
        }
        const auto [next, error] = std::from_chars(position, end, numbers[i]);
        if (error != std::errc()) {
            return std::nullopt;
        }
        position = next;
    }
    if (position != end) {
        return std::nullopt;
    }
    return LeaseRow{.holder = Incarnation(numbers[0]), .sequence = numbers[1], .token = FencingToken(numbers[2])};
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
