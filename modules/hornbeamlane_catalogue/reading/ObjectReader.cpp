#include "hornbeamlane_catalogue/reading/ObjectReader.h"

namespace hornbeamlane::detail {

namespace {

/** Escapes a field name for a JSON pointer. */
std::string escapePointer(const std::string &name)
{
    std::string escaped;
    for (const char character : name) {
        if (character == '~') {
            escaped += "~0";
        } else if (character == '/') {
            escaped += "~1";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

} // namespace

ObjectReader::ObjectReader(const nlohmann::json &object, std::string path, DocumentFaults &faults)
    : object_(object)
    , path_(std::move(path))
    , faults_(faults)
{
    if (!object_.is_object()) {
        faults_.push_back({DocumentFaultKind::WrongType, path_, "must be an object"});
    }
}

bool ObjectReader::has(const char *name) const
{
    return object_.is_object() && object_.contains(name);
}

const nlohmann::json *ObjectReader::find(const char *name)
{
    known_.insert(name);
    return has(name) ? &object_[name] : nullptr;
}

std::string ObjectReader::pathOf(const std::string &name) const
{
    return path_ + "/" + escapePointer(name);
}

void ObjectReader::addFault(DocumentFaultKind kind, const std::string &name, std::string rule)
{
    faults_.push_back({kind, pathOf(name), std::move(rule)});
}

void ObjectReader::required(const char *name, std::string &value)
{
    if (object_.is_object() && !has(name)) {
        known_.insert(name);
        addFault(DocumentFaultKind::MissingField, name, "is required");
        return;
    }
    optional(name, value);
}

void ObjectReader::optional(const char *name, std::string &value)
{
    const auto *json = find(name);
    if (json == nullptr) {
        return;
    }
    if (!json->is_string()) {
        addFault(DocumentFaultKind::WrongType, name, "must be a string");
        return;
    }
    value = json->get<std::string>();
    if (value.empty()) {
        addFault(DocumentFaultKind::OutOfRange, name, "must not be empty");
    }
}

void ObjectReader::optional(const char *name, bool &value)
{
    const auto *json = find(name);
    if (json == nullptr) {
        return;
    }
    if (!json->is_boolean()) {
        addFault(DocumentFaultKind::WrongType, name, "must be true or false");
        return;
    }
    value = json->get<bool>();
}

void ObjectReader::optional(const char *name, double &value, double minimum, double maximum)
{
    const auto *json = find(name);
    if (json == nullptr) {
        return;
    }
    if (!json->is_number()) {
        addFault(DocumentFaultKind::WrongType, name, "must be a number");
        return;
    }
    value = json->get<double>();
    if (value < minimum || value > maximum) {
        addFault(DocumentFaultKind::OutOfRange, name,
                 "must be between " + std::to_string(minimum) + " and " + std::to_string(maximum));
    }
}

void ObjectReader::optional(const char *name, std::uint32_t &value, std::uint32_t minimum, std::uint32_t maximum)
{
    std::optional<std::uint32_t> read;
    optional(name, read, minimum, maximum);
    value = read.value_or(value);
}

void ObjectReader::optional(const char *name, std::optional<std::uint32_t> &value, std::uint32_t minimum,
                            std::uint32_t maximum)
{
    const auto *json = find(name);
    if (json == nullptr) {
        return;
    }
    if (!json->is_number_integer()) {
        addFault(DocumentFaultKind::WrongType, name, "must be an integer");
        return;
    }
    const bool isNegative = !json->is_number_unsigned() && json->get<std::int64_t>() < 0;
    if (isNegative || json->get<std::uint64_t>() < minimum) {
        addFault(DocumentFaultKind::OutOfRange, name, "must be at least " + std::to_string(minimum));
        return;
    }
    if (json->get<std::uint64_t>() > maximum) {
        addFault(DocumentFaultKind::OutOfRange, name, "must be at most " + std::to_string(maximum));
        return;
    }
    value = json->get<std::uint32_t>();
}

void ObjectReader::optional(const char *name, std::chrono::milliseconds &value, std::chrono::milliseconds minimum,
                            std::chrono::milliseconds maximum)
{
    std::optional<std::uint32_t> read;
    optional(name, read, static_cast<std::uint32_t>(minimum.count()), static_cast<std::uint32_t>(maximum.count()));
    if (read) {
        value = std::chrono::milliseconds(*read);
    }
}

void ObjectReader::optional(const char *name, std::vector<std::string> &values)
{
    const auto *json = find(name);
    if (json == nullptr) {
        return;
    }
    if (!json->is_array()) {
        addFault(DocumentFaultKind::WrongType, name, "must be an array of strings");
        return;
    }
    for (std::size_t i = 0; i < json->size(); ++i) {
        const auto &element = (*json)[i];
        if (!element.is_string() || element.get_ref<const std::string &>().empty()) {
            faults_.push_back({DocumentFaultKind::WrongType, pathOf(name) + "/" + std::to_string(i),
                               "must be a string that is not empty"});
            continue;
        }
        values.push_back(element.get<std::string>());
    }
}

void ObjectReader::optionalObject(const char *name, const std::function<void(ObjectReader &)> &visitor)
{
    const auto *json = find(name);
    if (json == nullptr) {
        return;
    }
    ObjectReader reader(*json, pathOf(name), faults_);
    visitor(reader);
    reader.finish();
}

void ObjectReader::optionalObjects(const char *name, const std::function<void(ObjectReader &)> &visitor)
{
    const auto *json = find(name);
    if (json == nullptr) {
        return;
    }
    if (!json->is_array()) {
        addFault(DocumentFaultKind::WrongType, name, "must be an array of objects");
        return;
    }
    for (std::size_t i = 0; i < json->size(); ++i) {
        ObjectReader reader((*json)[i], pathOf(name) + "/" + std::to_string(i), faults_);
        visitor(reader);
        reader.finish();
    }
}

void ObjectReader::optionalNumbers(const char *name,
                                   const std::function<void(const std::string &, std::uint32_t)> &visitor)
{
    const auto *json = find(name);
    if (json == nullptr) {
        return;
    }
    if (!json->is_object()) {
        addFault(DocumentFaultKind::WrongType, name, "must be an object of integers");
        return;
    }
    for (const auto &[key, element] : json->items()) {
        if (!element.is_number_unsigned() || element.get<std::uint64_t>() > UINT32_MAX) {
            faults_.push_back({DocumentFaultKind::WrongType, pathOf(name) + "/" + escapePointer(key),
                               "must be an integer that is at least 0"});
            continue;
        }
        visitor(key, element.get<std::uint32_t>());
    }
}

void ObjectReader::finish()
{
    if (!object_.is_object()) {
        return;
    }
    for (const auto &[key, element] : object_.items()) {
        if (!known_.contains(key)) {
            addFault(DocumentFaultKind::UnknownField, key, "is not a known field");
        }
    }
}

} // namespace hornbeamlane::detail
