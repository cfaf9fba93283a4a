#include "hornbeamlane_orders/claims/ClaimRecord.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace hornbeamlane {

namespace {

using nlohmann::json;

constexpr std::uint64_t recordVersion = 1;
// Base64 enlarges a body by a third; the other fields are names and numbers.
constexpr std::size_t maxRowSize = maxStoredBodySize / 3 * 4 + 16 * 1024;
constexpr int minStatus = 100;
// Services may answer with any status of three digits.
constexpr int maxStatus = 999;
constexpr std::size_t maxContentTypeSize = 1024;
constexpr std::array stateNames = {"claimed", "done", "unknown"};
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr std::string_view base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

bool isPlain(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
}

/** Writes every byte but letters, digits, "-", "_" and "." as "%xx". */
std::string escape(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (isPlain(character)) {
            result += character;
        } else {
            const auto byte = static_cast<unsigned char>(character);
            result += '%';
            result += hexDigits[byte / 16];
            result += hexDigits[byte % 16];
        }
    }
    return result;
}

std::optional<std::string> unescape(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        const auto high = hexDigits.find(text[i + 1]);
        const auto low = hexDigits.find(text[i + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        result += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return escape(result) == text ? std::optional(result) : std::nullopt;
}

std::string toBase64(std::string_view bytes)
{
    std::string result;
    result.reserve(bytes.size() / 3 * 4 + 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            const bool isPadding = i + j > bytes.size();
            result += isPadding ? '=' : base64Digits[group >> (18U - 6U * j) & 63U];
        }
    }
    return result;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string result;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char character : text.substr(0, text.find('='))) {
        const auto digit = base64Digits.find(character);
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        group = (group << 6U | static_cast<std::uint32_t>(digit)) & 0xFFFFFFU;
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>(group >> bits & 0xFFU);
        }
    }
    // Encoding again finds wrong padding and stray bits, so that one body has one text.
    return toBase64(result) == text ? std::optional(result) : std::nullopt;
}

std::optional<Hash128> hashFromString(std::string_view text)
{
    Hash128 hash;
    if (text.size() != 32) {
        return std::nullopt;
    }
    std::from_chars(text.data(), text.data() + 16, hash.high, 16);
    std::from_chars(text.data() + 16, text.data() + 32, hash.low, 16);
    return hash.toString() == text ? std::optional(hash) : std::nullopt;
}

/** Takes the fields of the row; one absent, superfluous or wrong field makes the whole row invalid. */
class RowReader final
{
public:
    explicit RowReader(const json &object)
        : object_(object)
    {
    }

    std::string text(const char *name)
    {
        const auto *value = field(name);
        isValid_ = isValid_ && value != nullptr && value->is_string();
        return isValid_ ? value->get<std::string>() : std::string();
    }

    std::int64_t number(const char *name, std::int64_t minimum, std::int64_t maximum)
    {
        const auto *value = field(name);
        isValid_ = isValid_ && value != nullptr && value->is_number_integer();
        const auto result = isValid_ ? value->get<std::int64_t>() : 0;
        isValid_ = isValid_ && result >= minimum && result <= maximum;
        return result;
    }

    template <class Value>
    Value converted(const std::optional<Value> &value)
    {
        isValid_ = isValid_ && value.has_value();
        return value.value_or(Value());
    }

    bool isComplete() const
    {
        return isValid_ && taken_ == object_.size();
    }

private:
    const json *field(const char *name)
    {
        ++taken_;
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

    const json &object_;
    std::size_t taken_ = 0;
    bool isValid_ = true;
};

} // namespace

std::string claimRowKey(const TeamId &team, std::string_view idempotencyKey)
{
    return "claims/" + escape(team.name()) + "/" + escape(idempotencyKey);
}

bool fitsIntoRow(const StoredResponse &response)
{
    return !response.isBodyOmitted && response.body.size() <= maxStoredBodySize
        && response.contentType.size() <= maxContentTypeSize;
}

std::string encodeClaim(const ClaimRecord &record)
{
    json row = {
        {"v", recordVersion},
        {"state", stateNames.at(static_cast<std::size_t>(record.state))},
        {"attempt", record.attempt.toString()},
        {"server", escape(record.server.name())},
        {"agent", AttemptId{.entry = record.agentIncarnation}.toString()},
        {"validUntil", record.validUntil.count()},
        {"digest", record.digest.toString()},
    };
    if (record.state == ClaimState::Done) {
        const bool isOmitted = !fitsIntoRow(record.response);
        row["status"] = record.response.status;
        row["contentType"] = isOmitted ? std::string() : escape(record.response.contentType);
        row["omitted"] = isOmitted ? 1 : 0;
        row["body"] = isOmitted ? std::string() : toBase64(record.response.body);
    }
    return row.dump();
}

std::optional<ClaimRecord> decodeClaim(std::string_view text, ClaimDecodeFailure &failure)
{
    failure = ClaimDecodeFailure::TooLarge;
    if (text.size() > maxRowSize) {
        return std::nullopt;
    }
    const json row = json::parse(text, nullptr, false);
    failure = ClaimDecodeFailure::Malformed;
    if (!row.is_object()) {
        return std::nullopt;
    }
    failure = ClaimDecodeFailure::UnsupportedVersion;
    if (row.value("v", json()) != recordVersion) {
        return std::nullopt;
    }
    failure = ClaimDecodeFailure::WrongField;
    RowReader reader(row);
    reader.number("v", recordVersion, recordVersion);
    ClaimRecord record;
    const auto state = reader.text("state");
    std::optional<ClaimState> known;
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (state == stateNames.at(i)) {
            known = static_cast<ClaimState>(i);
        }
    }
    record.state = reader.converted(known);
    record.attempt = reader.converted(AttemptId::fromString(reader.text("attempt")));
    record.server = ServerId(reader.converted(unescape(reader.text("server"))));
    record.agentIncarnation = reader.converted(AttemptId::fromString(reader.text("agent"))).entry;
    record.validUntil =
        std::chrono::milliseconds(reader.number("validUntil", 0, std::chrono::milliseconds::max().count()));
    record.digest = reader.converted(hashFromString(reader.text("digest")));
    if (record.state == ClaimState::Done) {
        record.response.status = static_cast<int>(reader.number("status", minStatus, maxStatus));
        record.response.contentType = reader.converted(unescape(reader.text("contentType")));
        record.response.isBodyOmitted = reader.number("omitted", 0, 1) == 1;
        record.response.body = reader.converted(fromBase64(reader.text("body")));
    }
    if (!reader.isComplete()) {
        return std::nullopt;
    }
    failure = ClaimDecodeFailure::None;
    return record;
}

} // namespace hornbeamlane
