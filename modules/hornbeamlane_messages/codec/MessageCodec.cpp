#include "hornbeamlane_messages/codec/MessageCodec.h"

#include "hornbeamlane_messages/codec/CborBounds.h"
#include "hornbeamlane_messages/codec/FieldCodec.h"

#include <array>
#include <utility>

namespace hornbeamlane {

namespace {

using nlohmann::json;

constexpr std::uint64_t wireVersion = 1;
constexpr const char *versionField = "v";
constexpr const char *typeField = "t";

template <std::size_t... indices>
std::optional<Message> decodeAlternative(std::size_t type, const json &object, std::index_sequence<indices...>)
{
    std::optional<Message> message;
    const auto decodeOne = [&]<std::size_t index>(std::integral_constant<std::size_t, index>) {
        if (index == type) {
            std::variant_alternative_t<index, Message> value;
            detail::FieldReader reader(object);
            detail::visitFields(reader, value);
            message = std::move(value);
        }
    };
    (decodeOne(std::integral_constant<std::size_t, indices>()), ...);
    return message;
}

} // namespace

std::string_view toString(DecodeFailure failure)
{
    switch (failure) {
    case DecodeFailure::None:
        return "none";
    case DecodeFailure::FrameTooLarge:
        return "frame_too_large";
    case DecodeFailure::NestedTooDeep:
        return "nested_too_deep";
    case DecodeFailure::TooManyElements:
        return "too_many_elements";
    case DecodeFailure::Malformed:
        return "malformed";
    case DecodeFailure::UnsupportedVersion:
        return "unsupported_version";
    case DecodeFailure::UnknownType:
        return "unknown_type";
    case DecodeFailure::MissingField:
        return "missing_field";
    case DecodeFailure::WrongFieldType:
        return "wrong_field_type";
    }
    return "none";
}

std::string encodeMessage(const Message &message)
{
    json object = json::object();
    object[versionField] = wireVersion;
    object[typeField] = message.index();
    std::visit(
        [&object](const auto &value) {
            detail::FieldWriter writer(object);
            // The visitor is shared with the reader and takes a mutable reference; the writer does not change it.
            auto copy = value;
            detail::visitFields(writer, copy);
        },
        message);
    std::string frame;
    json::to_cbor(object, frame);
    return frame;
}

std::optional<Message> decodeMessage(std::string_view frame, DecodeFailure &failure)
{
    failure = detail::checkCborBounds(frame);
    if (failure != DecodeFailure::None) {
        return std::nullopt;
    }
    const json object = json::from_cbor(frame, true, false);
    if (!object.is_object()) {
        failure = DecodeFailure::Malformed;
        return std::nullopt;
    }
    const auto version = object.find(versionField);
    const auto type = object.find(typeField);
    if (version == object.end() || type == object.end()) {
        failure = DecodeFailure::MissingField;
        return std::nullopt;
    }
    if (!version->is_number_unsigned() || !type->is_number_unsigned()) {
        failure = DecodeFailure::WrongFieldType;
        return std::nullopt;
    }
    if (version->get<std::uint64_t>() != wireVersion) {
        failure = DecodeFailure::UnsupportedVersion;
        return std::nullopt;
    }
    const auto index = type->get<std::uint64_t>();
    if (index >= std::variant_size_v<Message>) {
        failure = DecodeFailure::UnknownType;
        return std::nullopt;
    }
    try {
        return decodeAlternative(index, object, std::make_index_sequence<std::variant_size_v<Message>>());
    } catch (const detail::FieldError &error) {
        failure = error.failure;
        return std::nullopt;
    }
}

} // namespace hornbeamlane
