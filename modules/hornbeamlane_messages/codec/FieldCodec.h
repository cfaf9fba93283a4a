#pragma once

#include "hornbeamlane_messages/codec/MessageCodec.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <type_traits>

namespace hornbeamlane::detail {

/** Ends the decoding of one frame; caught in decodeMessage(). */
struct FieldError
{
    DecodeFailure failure;
};

template <class T>
struct IsVector : std::false_type
{
};
template <class T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template <class T>
struct IsOptional : std::false_type
{
};
template <class T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template <class T>
struct IsDuration : std::false_type
{
};
template <class Representation, class Period>
struct IsDuration<std::chrono::duration<Representation, Period>> : std::true_type
{
};
template <class T>
struct IsIdentifier : std::false_type
{
};
template <class Tag>
struct IsIdentifier<Identifier<Tag>> : std::true_type
{
};
template <class T>
struct IsNumber : std::false_type
{
};
template <class Tag>
struct IsNumber<Number<Tag>> : std::true_type
{
};

/** Number of enumerators of each enumeration that travels on the wire. */
template <class T>
constexpr std::uint64_t enumeratorCount = 0;
template <>
inline constexpr std::uint64_t enumeratorCount<ProcessRole> = 3;
template <>
inline constexpr std::uint64_t enumeratorCount<WorkKind> = 2;
template <>
inline constexpr std::uint64_t enumeratorCount<DrainScope> = 3;
template <>
inline constexpr std::uint64_t enumeratorCount<MapOrderKind> = 5;

/** Writes fields of a message into a JSON object. */
class FieldWriter final
{
public:
    explicit FieldWriter(nlohmann::json &object)
        : object_(object)
    {
    }

    template <class T>
    void field(const char *name, const T &value)
    {
        object_[name] = toJson(value);
    }

private:
    template <class T>
    static nlohmann::json toJson(const T &value);

    nlohmann::json &object_;
};

/** Reads fields of a message from a JSON object; absent fields keep their defaults. */
class FieldReader final
{
public:
    explicit FieldReader(const nlohmann::json &object)
        : object_(object)
    {
    }

    template <class T>
    void field(const char *name, T &value)
    {
        const auto found = object_.find(name);
        if (found != object_.end()) {
            fromJson(*found, value);
        }
    }

private:
    template <class T>
    static void fromJson(const nlohmann::json &json, T &value);

    template <class T>
    static T integer(const nlohmann::json &json);

    const nlohmann::json &object_;
};

// clang-format off
template <class V> void visitFields(V &v, Hash128 &m) { v.field("h", m.high); v.field("l", m.low); }
template <class V> void visitFields(V &v, AttemptId &m) { v.field("e", m.entry); v.field("s", m.sequence); }
template <class V> void visitFields(V &v, Refusal &m)
{ v.field("reason", m.reason); v.field("execution", m.execution); v.field("retryAfter", m.retryAfter); v.field("detail", m.detail); }
template <class V> void visitFields(V &v, TeamBudget &m) { v.field("team", m.team); v.field("free", m.freeConcurrency); }
template <class V> void visitFields(V &v, DrainRecord &m) { v.field("id", m.id); v.field("scope", m.scope); v.field("name", m.name); }
template <class V> void visitFields(V &v, QuarantineRecord &m)
{
    v.field("fingerprint", m.fingerprint); v.field("lost", m.lostServers); v.field("expiresIn", m.expiresIn);
    v.field("owner", m.owner); v.field("reserved", m.reservedServer); v.field("cleared", m.isCleared);
    v.field("reply", m.isReply); v.field("declined", m.isReservationDeclined);
}

template <class V> void visitFields(V &v, Hello &m)
{
    v.field("role", m.role); v.field("name", m.name); v.field("incarnation", m.incarnation);
    v.field("dataCentre", m.dataCentre); v.field("protocol", m.protocolVersion);
    v.field("catalogue", m.catalogueVersion); v.field("localTime", m.localTime);
}
template <class V> void visitFields(V &v, Heartbeat &m)
{
    v.field("localTime", m.localTime); v.field("catalogue", m.catalogueVersion);
    v.field("drain", m.drainVersion); v.field("leaving", m.leaving);
}
template <class V> void visitFields(V &v, LoadReport &m)
{
    v.field("inFlight", m.inFlight); v.field("limit", m.limit); v.field("queued", m.queued);
    v.field("warm", m.warmFraction); v.field("engine", m.engineIncarnation); v.field("stepTime", m.stepTime);
    v.field("budgets", m.teamBudgets); v.field("cacheSequence", m.cacheSequence);
    v.field("cached", m.cachedPrefixes); v.field("evicted", m.evictedPrefixes); v.field("leaving", m.leaving);
    v.field("engineDown", m.isEngineDown);
}
template <class V> void visitFields(V &v, Dispatch &m)
{
    v.field("attempt", m.attempt); v.field("incarnation", m.targetIncarnation); v.field("team", m.team);
    v.field("class", m.requestClass); v.field("kind", m.kind); v.field("target", m.target);
    v.field("method", m.method); v.field("path", m.path); v.field("contentType", m.contentType);
    v.field("body", m.body); v.field("deadline", m.remainingDeadline); v.field("validUntil", m.validUntil);
    v.field("priority", m.priority); v.field("repeatable", m.isRepeatable); v.field("stream", m.isStream);
    v.field("fingerprint", m.fingerprint); v.field("prefixes", m.prefixes); v.field("key", m.idempotencyKey);
    v.field("maxTokens", m.maxTokens);
}
template <class V> void visitFields(V &v, Cancel &m) { v.field("attempt", m.attempt); }
template <class V> void visitFields(V &v, Credit &m) { v.field("attempt", m.attempt); v.field("bytes", m.bytes); }
template <class V> void visitFields(V &v, QueryAttempt &m)
{ v.field("attempt", m.attempt); v.field("incarnation", m.targetIncarnation); }
template <class V> void visitFields(V &v, AttemptStatus &m)
{
    v.field("attempt", m.attempt); v.field("incarnation", m.agentIncarnation); v.field("state", m.state);
    v.field("hasResponse", m.hasResponse); v.field("status", m.status); v.field("contentType", m.contentType);
    v.field("body", m.body);
}
template <class V> void visitFields(V &v, ResultRecorded &m) { v.field("attempt", m.attempt); }
template <class V> void visitFields(V &v, ResponseHead &m)
{
    v.field("attempt", m.attempt); v.field("seq", m.sequence); v.field("status", m.status);
    v.field("contentType", m.contentType);
}
template <class V> void visitFields(V &v, ResponseData &m)
{ v.field("attempt", m.attempt); v.field("seq", m.sequence); v.field("bytes", m.bytes); }
template <class V> void visitFields(V &v, ResponseEnd &m) { v.field("attempt", m.attempt); v.field("seq", m.sequence); }
template <class V> void visitFields(V &v, Rejected &m)
{ v.field("attempt", m.attempt); v.field("refusal", m.refusal); v.field("budget", m.freeTeamConcurrency); v.field("loss", m.engineLoss); }
template <class V> void visitFields(V &v, CatalogueUpdate &m)
{ v.field("version", m.version); v.field("settled", m.settledVersion); v.field("document", m.document); }
template <class V> void visitFields(V &v, CatalogueRequest &m) { v.field("known", m.knownVersion); }
template <class V> void visitFields(V &v, CatalogueConfirm &m) { v.field("version", m.version); v.field("processes", m.processes); }
template <class V> void visitFields(V &v, DrainUpdate &m) { v.field("added", m.added); v.field("removed", m.removed); }
template <class V> void visitFields(V &v, QuarantineUpdate &m) { v.field("records", m.records); }
template <class V> void visitFields(V &v, MapOrder &m)
{
    v.field("group", m.group); v.field("rank", m.rank); v.field("token", m.token); v.field("kind", m.kind);
    v.field("engine", m.engine); v.field("map", m.map); v.field("step", m.step); v.field("experts", m.experts);
}
template <class V> void visitFields(V &v, MapStatus &m)
{
    v.field("group", m.group); v.field("rank", m.rank); v.field("token", m.token); v.field("accepted", m.isAccepted);
    v.field("step", m.currentStep); v.field("active", m.activeMap); v.field("staged", m.stagedMap);
    v.field("armed", m.armedMap); v.field("armedStep", m.armedStep); v.field("go", m.hasGo);
    v.field("engine", m.engine); v.field("joining", m.isJoining);
}
template <class V> void visitFields(V &v, RequestTraits &m)
{ v.field("w", m.whole); v.field("p", m.parts); v.field("o", m.origin); }
template <class V> void visitFields(V &v, SoundRequest &m) { v.field("o", m.origin); v.field("w", m.whole); }
template <class V> void visitFields(V &v, CrashCandidate &m) { v.field("t", m.traits); v.field("h", m.hadHead); }
template <class V> void visitFields(V &v, CrashRecord &m)
{
    v.field("id", m.id); v.field("server", m.server); v.field("number", m.number); v.field("age", m.age); v.field("candidates", m.candidates); v.field("cleared", m.cleared);
    v.field("begun", m.begunBefore); v.field("confirmed", m.isConfirmed);
    v.field("refuted", m.isRefuted); v.field("sound", m.soundSince);
}
template <class V> void visitFields(V &v, CrashUpdate &m) { v.field("crashes", m.crashes); v.field("writtenAt", m.writtenAt); }
template <class V> void visitFields(V &v, TrialClaim &m) { v.field("t", m.trait); v.field("r", m.isRunning); }
template <class V> void visitFields(V &v, TrialUpdate &m)
{ v.field("sender", m.sender); v.field("seq", m.sequence); v.field("claims", m.claims); }
// clang-format on

template <class T>
nlohmann::json FieldWriter::toJson(const T &value)
{
    if constexpr (IsVector<T>::value) {
        auto array = nlohmann::json::array();
        for (const auto &element : value) {
            array.push_back(toJson(element));
        }
        return array;
    } else if constexpr (IsOptional<T>::value) {
        return value ? toJson(*value) : nlohmann::json();
    } else if constexpr (IsDuration<T>::value) {
        return value.count();
    } else if constexpr (IsIdentifier<T>::value) {
        return toJson(value.name());
    } else if constexpr (IsNumber<T>::value) {
        return value.value();
    } else if constexpr (std::is_same_v<T, RefusalReason> || std::is_same_v<T, ExecutionState>) {
        return std::string(toString(value));
    } else if constexpr (std::is_enum_v<T>) {
        return static_cast<std::uint64_t>(value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        // Bodies may hold any bytes, so text travels as a CBOR byte string.
        return nlohmann::json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
    } else if constexpr (std::is_arithmetic_v<T>) {
        return value;
    } else {
        auto object = nlohmann::json::object();
        FieldWriter writer(object);
        auto copy = value;
        visitFields(writer, copy);
        return object;
    }
}

template <class T>
T FieldReader::integer(const nlohmann::json &json)
{
    if (json.is_number_unsigned()) {
        const auto wide = json.get<std::uint64_t>();
        if (wide <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
            return static_cast<T>(wide);
        }
    } else if (json.is_number_integer() && std::is_signed_v<T>) {
        const auto wide = json.get<std::int64_t>();
        if (wide >= static_cast<std::int64_t>(std::numeric_limits<T>::min())) {
            return static_cast<T>(wide);
        }
    }
    throw FieldError{DecodeFailure::WrongFieldType};
}

template <class T>
void FieldReader::fromJson(const nlohmann::json &json, T &value)
{
    if constexpr (IsVector<T>::value) {
        if (!json.is_array()) {
            throw FieldError{DecodeFailure::WrongFieldType};
        }
        value.clear();
        value.reserve(json.size());
        for (const auto &element : json) {
            fromJson(element, value.emplace_back());
        }
    } else if constexpr (IsOptional<T>::value) {
        if (!json.is_null()) {
            fromJson(json, value.emplace());
        }
    } else if constexpr (IsDuration<T>::value) {
        value = T(integer<typename T::rep>(json));
    } else if constexpr (IsIdentifier<T>::value) {
        std::string name;
        fromJson(json, name);
        value = T(std::move(name));
    } else if constexpr (IsNumber<T>::value) {
        value = T(integer<std::uint64_t>(json));
    } else if constexpr (std::is_same_v<T, RefusalReason>) {
        if (!json.is_string()) {
            throw FieldError{DecodeFailure::WrongFieldType};
        }
        // A reason of a newer release is shown as an internal error; its execution state still holds.
        value = refusalReasonFromString(json.get_ref<const std::string &>()).value_or(RefusalReason::InternalError);
    } else if constexpr (std::is_same_v<T, ExecutionState>) {
        if (!json.is_string()) {
            throw FieldError{DecodeFailure::WrongFieldType};
        }
        value = executionStateFromString(json.get_ref<const std::string &>()).value_or(ExecutionState::Unknown);
    } else if constexpr (std::is_enum_v<T>) {
        const auto number = integer<std::uint64_t>(json);
        if (number >= enumeratorCount<T>) {
            throw FieldError{DecodeFailure::WrongFieldType};
        }
        value = static_cast<T>(number);
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (!json.is_binary()) {
            throw FieldError{DecodeFailure::WrongFieldType};
        }
        const auto &bytes = json.get_binary();
        value.assign(bytes.begin(), bytes.end());
    } else if constexpr (std::is_same_v<T, bool>) {
        if (!json.is_boolean()) {
            throw FieldError{DecodeFailure::WrongFieldType};
        }
        value = json.get<bool>();
    } else if constexpr (std::is_floating_point_v<T>) {
        if (!json.is_number()) {
            throw FieldError{DecodeFailure::WrongFieldType};
        }
        value = json.get<T>();
    } else if constexpr (std::is_integral_v<T>) {
        value = integer<T>(json);
    } else {
        if (!json.is_object()) {
            throw FieldError{DecodeFailure::WrongFieldType};
        }
        FieldReader reader(json);
        visitFields(reader, value);
    }
}

} // namespace hornbeamlane::detail
