#include "hornbeamlane_gateway/peers/ArrivalCodec.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace hornbeamlane {

namespace {

/** Rates are told in hundredths of a request a second, as 24 bits at most. */
constexpr double rateScale = 100;
constexpr double largestRate = 10000;

/** Classes of one service, and services, in one message. */
constexpr std::size_t maxEntries = 255;

constexpr std::size_t serviceBytes = 4;
constexpr std::size_t teamBytes = 3;
constexpr std::size_t rateBytes = 3;
constexpr std::size_t classBytes = 1 + teamBytes + rateBytes;

void append(std::vector<std::uint8_t> &bytes, std::uint32_t number, std::size_t width)
{
    for (std::size_t i = 0; i < width; ++i) {
        bytes.push_back(static_cast<std::uint8_t>(number >> (8 * i)));
    }
}

std::uint32_t take(std::span<const std::uint8_t> &bytes, std::size_t width)
{
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < width; ++i) {
        number |= static_cast<std::uint32_t>(bytes[i]) << (8 * i);
    }
    bytes = bytes.subspan(width);
    return number;
}

std::uint32_t scaled(double perSecond)
{
    return std::isfinite(perSecond) ? static_cast<std::uint32_t>(std::clamp(perSecond, 0.0, largestRate) * rateScale)
                                    : 0;
}

} // namespace

std::vector<std::uint8_t> encodeArrivals(const std::vector<ServiceArrivals> &arrivals)
{
    std::vector<std::uint8_t> bytes;
    for (const auto &[service, rates] : arrivals) {
        const auto count = std::min(rates.size(), maxEntries);
        append(bytes, service, serviceBytes);
        append(bytes, static_cast<std::uint32_t>(count), 1);
        for (std::size_t i = 0; i < count; ++i) {
            const auto &key = rates[i].arrivals;
            append(bytes, boundedPriority(key.priority) * 2 + (key.isLate ? 1 : 0), 1);
            append(bytes, key.team, teamBytes);
            append(bytes, scaled(rates[i].perSecond), rateBytes);
        }
    }
    return bytes;
}

std::optional<std::vector<ServiceArrivals>> decodeArrivals(const std::vector<std::uint8_t> &bytes)
{
    std::vector<ServiceArrivals> arrivals;
    std::span<const std::uint8_t> rest(bytes);
    while (!rest.empty()) {
        if (rest.size() < serviceBytes + 1 || arrivals.size() >= maxEntries) {
            return std::nullopt;
        }
        auto &service = arrivals.emplace_back();
        service.service = take(rest, serviceBytes);
        const auto count = take(rest, 1);
        if (rest.size() < count * classBytes) {
            return std::nullopt;
        }
        for (std::uint32_t i = 0; i < count; ++i) {
            const auto kind = take(rest, 1);
            const auto team = take(rest, teamBytes);
            const auto rate = take(rest, rateBytes);
            service.rates.push_back(
                {.arrivals = {.priority = boundedPriority(kind / 2), .isLate = kind % 2 == 1, .team = team},
                 .perSecond = std::min(rate / rateScale, largestRate)});
        }
    }
    return arrivals;
}

} // namespace hornbeamlane
