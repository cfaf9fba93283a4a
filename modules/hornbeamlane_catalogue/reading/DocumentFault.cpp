#include "hornbeamlane_catalogue/reading/DocumentFault.h"

namespace hornbeamlane {

std::string_view toString(DocumentFaultKind kind)
{
    switch (kind) {
    case DocumentFaultKind::NotJson:
        return "not_json";
    case DocumentFaultKind::WrongType:
        return "wrong_type";
    case DocumentFaultKind::MissingField:
        return "missing_field";
    case DocumentFaultKind::UnknownField:
        return "unknown_field";
    case DocumentFaultKind::OutOfRange:
        return "out_of_range";
    case DocumentFaultKind::UnknownValue:
        return "unknown_value";
    case DocumentFaultKind::DuplicateName:
        return "duplicate_name";
    case DocumentFaultKind::UnknownReference:
        return "unknown_reference";
    case DocumentFaultKind::LimitExceeded:
        return "limit_exceeded";
    }
    return "not_json";
}

std::string DocumentFault::toString() const
{
    return (path.empty() ? "/" : path) + ": " + rule;
}

} // namespace hornbeamlane
