#include "hornbeamlane_catalogue/loading/CatalogueLoader.h"

#include "hornbeamlane_catalogue/reading/CatalogueReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace hornbeamlane {

namespace {

constexpr std::string_view entriesPrefix = "/entries/";

/** Place of an entry of the merged document. */
struct EntryOrigin
{
    std::string file;
    std::size_t index = 0;
};

std::string textOf(const nlohmann::json &entry, const char *field)
{
    if (!entry.is_object() || !entry.contains(field) || !entry[field].is_string()) {
        return {};
    }
    return entry[field].get<std::string>();
}

std::string dumpCanonical(nlohmann::json document)
{
    auto &entries = document["entries"];
    std::stable_sort(entries.begin(), entries.end(), [](const nlohmann::json &first, const nlohmann::json &second) {
        return std::pair(textOf(first, "kind"), textOf(first, "name"))
            < std::pair(textOf(second, "kind"), textOf(second, "name"));
    });
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** Moves a fault of the merged document to the file that holds the entry. */
CatalogueFileFault locate(DocumentFault fault, const std::vector<EntryOrigin> &origins)
{
    if (!fault.path.starts_with(entriesPrefix)) {
        return {.file = origins.empty() ? "" : origins.front().file, .fault = std::move(fault)};
    }
    const char *first = fault.path.data() + entriesPrefix.size();
    const char *last = fault.path.data() + fault.path.size();
    std::size_t index = 0;
    const auto parsed = std::from_chars(first, last, index);
    if (parsed.ec != std::errc() || index >= origins.size()) {
        return {.file = "", .fault = std::move(fault)};
    }
    const std::string rest(parsed.ptr, last);
    fault.path = std::string(entriesPrefix) + std::to_string(origins[index].index) + rest;
    return {.file = origins[index].file, .fault = std::move(fault)};
}

/** Appends the entries of one file to the merged document. */
void addFile(const CatalogueFile &file, nlohmann::json &entries, std::vector<EntryOrigin> &origins,
             CatalogueFileFaults &faults)
{
    const auto addFault = [&](DocumentFaultKind kind, const std::string &path, const char *rule) {
        faults.push_back({.file = file.name, .fault = {.kind = kind, .path = path, .rule = rule}});
    };
    // A repeated field would silently replace the first one, which the operator may believe to be in force.
    std::vector<std::set<std::string>> fields;
    const auto noteRepeats = [&](int, nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
        if (event == nlohmann::json::parse_event_t::object_start) {
            fields.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            fields.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key) {
            const auto name = parsed.get<std::string>();
            if (!fields.back().insert(name).second) {
                faults.push_back({.file = file.name,
                                  .fault = {.kind = DocumentFaultKind::DuplicateName,
                                            .path = "",
                                            .rule = "repeats the field '" + name + "' within one object"}});
            }
        }
        return true;
    };
    const auto json = nlohmann::json::parse(file.text, noteRepeats, false);
    if (json.is_discarded()) {
        addFault(DocumentFaultKind::NotJson, "", "is not valid JSON");
        return;
    }
    if (!json.is_object()) {
        addFault(DocumentFaultKind::WrongType, "", "must be an object");
        return;
    }
    for (const auto &[name, value] : json.items()) {
        if (name != "entries") {
            addFault(DocumentFaultKind::UnknownField, "/" + name, "is not a known field");
        }
    }
    if (!json.contains("entries")) {
        addFault(DocumentFaultKind::MissingField, "/entries", "is required");
        return;
    }
    if (!json["entries"].is_array()) {
        addFault(DocumentFaultKind::WrongType, "/entries", "must be an array of objects");
        return;
    }
    for (std::size_t i = 0; i < json["entries"].size(); ++i) {
        entries.push_back(json["entries"][i]);
        origins.push_back({.file = file.name, .index = i});
    }
}

} // namespace

std::string CatalogueFileFault::toString() const
{
    return file + ": " + fault.toString();
}

std::optional<LoadedCatalogue> loadCatalogue(std::vector<CatalogueFile> files, CatalogueFileFaults &faults)
{
    const auto before = faults.size();
    std::sort(files.begin(), files.end(),
              [](const auto &first, const auto &second) { return first.name < second.name; });
    if (files.empty()) {
        faults.push_back({.file = ".",
                          .fault = {.kind = DocumentFaultKind::MissingField,
                                    .path = "",
                                    .rule = "must hold at least one file whose name ends in .json"}});
        return std::nullopt;
    }
    nlohmann::json document = {{"entries", nlohmann::json::array()}};
    std::vector<EntryOrigin> origins;
    for (const auto &file : files) {
        addFile(file, document["entries"], origins, faults);
    }
    // Entries of a file that could not be read are missing, so references to them are reported as well.
    DocumentFaults documentFaults;
    auto catalogue =
        readCatalogue(document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), documentFaults);
    for (auto &fault : documentFaults) {
        faults.push_back(locate(std::move(fault), origins));
    }
    if (faults.size() != before || !catalogue) {
        return std::nullopt;
    }
    return LoadedCatalogue{.catalogue = std::move(*catalogue), .document = dumpCanonical(std::move(document))};
}

std::optional<std::string> canonicalDocument(std::string_view document)
{
    auto json = nlohmann::json::parse(document, nullptr, false);
    if (!json.is_object() || !json.contains("entries") || !json["entries"].is_array()) {
        return std::nullopt;
    }
    return dumpCanonical(std::move(json));
}

} // namespace hornbeamlane
