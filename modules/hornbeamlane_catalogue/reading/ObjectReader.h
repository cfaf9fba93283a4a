#pragma once

#include "hornbeamlane_base/identity/Identifiers.h"
#include "hornbeamlane_catalogue/reading/DocumentFault.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace hornbeamlane::detail {

/**
    Reads the fields of one JSON object and reports every fault with its path.

    finish() reports the fields that were never asked for. Shared by the catalogue and the settings of the daemons.
*/
class ObjectReader final
{
public:
    ObjectReader(const nlohmann::json &object, std::string path, DocumentFaults &faults);

    const std::string &path() const
    {
        return path_;
    }

    bool has(const char *name) const;

    void required(const char *name, std::string &value);
    void optional(const char *name, std::string &value);
    void optional(const char *name, bool &value);
    void optional(const char *name, double &value, double minimum, double maximum);
    void optional(const char *name, std::uint32_t &value, std::uint32_t minimum, std::uint32_t maximum);
    void optional(const char *name, std::optional<std::uint32_t> &value, std::uint32_t minimum, std::uint32_t maximum);
    void optional(const char *name, std::chrono::milliseconds &value, std::chrono::milliseconds minimum,
                  std::chrono::milliseconds maximum);
    void optional(const char *name, std::vector<std::string> &values);

    template <class Tag>
    void required(const char *name, Identifier<Tag> &value)
    {
        std::string text;
        required(name, text);
        value = Identifier<Tag>(std::move(text));
    }

    template <class Tag>
    void optional(const char *name, std::vector<Identifier<Tag>> &values)
    {
        std::vector<std::string> texts;
        optional(name, texts);
        for (auto &text : texts) {
            values.emplace_back(std::move(text));
        }
    }

    /** Reads a text that must be one of the given names. */
    template <class Enumeration, std::size_t count>
    void optional(const char *name, Enumeration &value,
                  const std::array<std::pair<const char *, Enumeration>, count> &names)
    {
        std::string text;
        if (!has(name)) {
            return;
        }
        optional(name, text);
        std::string allowed;
        for (const auto &[candidate, enumerator] : names) {
            if (text == candidate) {
                value = enumerator;
                return;
            }
            allowed += (allowed.empty() ? "" : ", ") + std::string(candidate);
        }
        addFault(DocumentFaultKind::UnknownValue, name, "must be one of " + allowed);
    }

    /** Calls the visitor for an object field; does nothing if the field is absent. */
    void optionalObject(const char *name, const std::function<void(ObjectReader &)> &visitor);

    /** Calls the visitor for each object of an array field. */
    void optionalObjects(const char *name, const std::function<void(ObjectReader &)> &visitor);

    /** Calls the visitor with name and value for each non-negative integer of an object field. */
    void optionalNumbers(const char *name, const std::function<void(const std::string &, std::uint32_t)> &visitor);

    void addFault(DocumentFaultKind kind, const std::string &name, std::string rule);

    /** Reports unknown fields. Call once, after all fields were read. */
    void finish();

private:
    const nlohmann::json *find(const char *name);
    std::string pathOf(const std::string &name) const;

    const nlohmann::json &object_;
    std::string path_;
    DocumentFaults &faults_;
    std::set<std::string> known_;
};

} // namespace hornbeamlane::detail
