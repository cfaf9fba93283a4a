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

FencingToken tokenOfVersion(RowVersion version, std::optional<TableEra> era)
{
    // More writes than a service loses with the seconds that its copy is older. Tokens number maps, and versions of
    // maps stay exact as floating-point numbers up to 2^53, so the step is not larger.
    constexpr std::uint64_t versionsPerEra = std::uint64_t(1) << 24;
    return FencingToken(version.value() + era.value_or(0) * versionsPerEra);
}

FencingToken fencingTokenOf(const TableRow &row, std::optional<TableEra> era)
{
    const auto lease = LeaseRow::fromString(row.value);
    if (!lease) {
        return FencingToken();
    }
    return lease->token == FencingToken() ? tokenOfVersion(row.version, era) : lease->token;
}

} // namespace hornbeamlane
