#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

enum class DocumentFaultKind {
    NotJson,
    WrongType,
    MissingField,
    UnknownField,
    OutOfRange,
    UnknownValue,
    DuplicateName,
    UnknownReference,
    LimitExceeded,
};

std::string_view toString(DocumentFaultKind kind);

/** One fault of a JSON document. */
struct DocumentFault
{
    DocumentFaultKind kind = DocumentFaultKind::NotJson;
    /** JSON pointer to the faulty value, for instance "/entries/3/limits/concurrency". */
    std::string path;
    /** Rule that was broken, for instance "must be at least 1". */
    std::string rule;

    /** "<path>: <rule>". */
    std::string toString() const;

    bool operator==(const DocumentFault &) const = default;
};

using DocumentFaults = std::vector<DocumentFault>;

} // namespace hornbeamlane
