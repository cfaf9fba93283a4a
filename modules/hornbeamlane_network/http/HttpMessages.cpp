#include "hornbeamlane_network/http/HttpMessages.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace hornbeamlane {

bool isSameHeader(std::string_view first, std::string_view second)
{
    return first.size() == second.size() && std::equal(first.begin(), first.end(), second.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
           });
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (isSameHeader(key, name)) {
            return &value;
        }
    }
    return nullptr;
}

std::optional<std::string> HttpRequest::header(std::string_view name) const
{
    const auto *value = findHeader(headers, name);
    return value == nullptr ? std::nullopt : std::optional(*value);
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || std::string_view("-._~").find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4];
            encoded += digits[byte & 0x0F];
        }
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto result = std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
            if (result.ptr == text.data() + i + 3) {
                decoded += static_cast<char>(value);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

std::optional<std::string> queryField(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto field = query.substr(0, end);
        const auto equals = std::min(field.find('='), field.size());
        if (field.substr(0, equals) == name) {
            return percentDecode(equals < field.size() ? field.substr(equals + 1) : std::string_view());
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

std::optional<std::chrono::nanoseconds> parseSeconds(std::string_view text)
{
    using Seconds = std::chrono::duration<double>;
    const auto number = parseRate(text);
    if (!number) {
        return std::nullopt;
    }
    constexpr auto longest = std::chrono::nanoseconds::max();
    const Seconds time(*number);
    return time >= Seconds(longest) ? longest : std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

std::optional<double> parseRate(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0) {
        return std::nullopt;
    }
    return value;
}

} // namespace hornbeamlane
