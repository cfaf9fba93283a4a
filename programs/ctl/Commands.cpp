#include "ctl/Commands.h"

#include "ctl/Output.h"
#include "ctl/ResultJson.h"
#include "hornbeamlane_messages/hornbeamlane_messages.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace hornbeamlane::ctl {

namespace {

constexpr const char *emptyDocument = R"({"entries":[]})";

std::optional<std::vector<CatalogueFile>> readDirectory(const std::string &directory)
{
    std::error_code error;
    std::vector<CatalogueFile> files;
    for (const auto &item : std::filesystem::directory_iterator(directory, error)) {
        if (item.path().extension() != ".json") {
            continue;
        }
        std::ifstream stream(item.path(), std::ios::binary);
        if (!stream) {
            return std::nullopt;
        }
        files.push_back(
            {.name = item.path().filename().string(), .text = std::string(std::istreambuf_iterator<char>(stream), {})});
    }
    if (error) {
        return std::nullopt;
    }
    return files;
}

DrainId newDrainId()
{
    auto random = RandomSource::fromEntropy();
    return DrainId(Hash128{.high = random.next(), .low = random.next()}.toString());
}

} // namespace

Commands::Commands(CommandLine line)
    : line_(std::move(line))
    , platform_(line_.table, line_.timeout)
{
}

ExitCode Commands::run()
{
    auto code = ExitCode::Usage;
    if (line_.command == "validate") {
        code = validate();
    } else if (line_.command == "check") {
        code = check();
    } else if (line_.command == "diff") {
        code = diff();
    } else if (line_.command == "apply") {
        code = apply();
    } else if (line_.command == "status") {
        code = line_.entry.empty() ? status() : entryStatus();
    } else {
        code = drain();
    }
    if (!result_.empty()) {
        printResult(result_, line_.printsJson);
    }
    return code;
}

ExitCode Commands::finish(ExitCode code, const std::string &message)
{
    if (code == ExitCode::Done || line_.printsJson) {
        result_["message"] = message;
    }
    if (code != ExitCode::Done) {
        std::fprintf(stderr, "hornbeamlanectl: %s\n", message.c_str());
    }
    return code;
}

std::optional<LoadedCatalogue> Commands::load(ExitCode &code)
{
    const auto &directory = line_.arguments.front();
    auto files = readDirectory(directory);
    if (!files) {
        code = finish(ExitCode::Usage, "cannot read the directory '" + directory + "' or a file in it");
        return std::nullopt;
    }
    CatalogueFileFaults faults;
    auto loaded = loadCatalogue(std::move(*files), faults);
    if (!loaded) {
        Json array = Json::array();
        for (const auto &fault : faults) {
            array.push_back({{"file", fault.file},
                             {"path", fault.fault.path.empty() ? "/" : fault.fault.path},
                             {"rule", fault.fault.rule},
                             {"code", toString(fault.fault.kind)}});
            if (!line_.printsJson) {
                std::fprintf(stderr, "%s\n", fault.toString().c_str());
            }
        }
        if (line_.printsJson) {
            result_["faults"] = array;
        }
        code = finish(ExitCode::FaultyCatalogue,
                      std::to_string(faults.size()) + (faults.size() == 1 ? " fault in '" : " faults in '") + directory
                          + "'");
        return std::nullopt;
    }
    if (loaded->document.size() + 1024 > maxFrameBytes) {
        code = finish(ExitCode::FaultyCatalogue,
                      "the catalogue has " + std::to_string(loaded->document.size())
                          + " bytes, more than a message between processes can carry");
        return std::nullopt;
    }
    return loaded;
}

std::optional<Commands::Current> Commands::readCurrent(ExitCode &code)
{
    const auto head = platform_.read(catalogueHeadKey);
    if (head.status == TableStatus::NotFound) {
        return Current{.document = emptyDocument};
    }
    if (head.status != TableStatus::Ok) {
        code = finish(ExitCode::Unavailable, "the table service at " + platform_.address() + " cannot be reached");
        return std::nullopt;
    }
    const auto parsed = CatalogueHead::fromRowValue(head.row->value);
    if (!parsed) {
        code = finish(ExitCode::MalformedRow, "the row 'catalogue/head' has an unknown form");
        return std::nullopt;
    }
    const auto document = platform_.read(catalogueRowKey(parsed->version()));
    if (document.status != TableStatus::Ok) {
        code = finish(ExitCode::Unavailable, "the row '" + catalogueRowKey(parsed->version()) + "' cannot be read");
        return std::nullopt;
    }
    return Current{.version = parsed->version(), .document = document.row->value};
}

bool Commands::addDifference(const Current &current, const std::string &document)
{
    const auto difference = diffCatalogues(current.document, document);
    if (!difference) {
        return false;
    }
    Json changed = Json::array();
    for (const auto &entry : difference->changed) {
        changed.push_back({{"kind", entry.key.kind}, {"name", entry.key.name}, {"paths", entry.paths}});
    }
    result_["base"] = current.version.value();
    result_["added"] = keysToJson(difference->added);
    result_["removed"] = keysToJson(difference->removed);
    result_["changed"] = changed;
    return true;
}

ExitCode Commands::validate()
{
    auto code = ExitCode::Done;
    const auto loaded = load(code);
    if (!loaded) {
        return code;
    }
    const auto &catalogue = loaded->catalogue;
    result_["dataCentres"] = catalogue.dataCentres.size();
    result_["backendServers"] = catalogue.servers.size();
    result_["teams"] = catalogue.teams.size();
    result_["bytes"] = loaded->document.size();
    return finish(ExitCode::Done, "the catalogue is valid");
}

ExitCode Commands::check()
{
    auto code = ExitCode::Done;
    const auto loaded = load(code);
    if (!loaded) {
        return code;
    }
    const auto findings = checkCatalogue(loaded->catalogue);
    result_["findings"] = findingsToJson(findings);
    addDifferenceIfKnown(loaded->document);
    if (findings.empty()) {
        return finish(ExitCode::Done, "nothing was found");
    }
    return finish(ExitCode::Findings,
                  std::to_string(findings.size()) + (findings.size() == 1 ? " finding" : " findings"));
}

void Commands::addDifferenceIfKnown(const std::string &document)
{
    const auto head = platform_.read(catalogueHeadKey);
    if (head.status != TableStatus::Ok && head.status != TableStatus::NotFound) {
        result_["compared"] = "no, the table service at " + platform_.address() + " cannot be reached";
        return;
    }
    auto code = ExitCode::Done;
    const auto current = readCurrent(code);
    if (!current || !addDifference(*current, document)) {
        result_["compared"] = "no, the newest version cannot be read";
    }
}

ExitCode Commands::diff()
{
    auto code = ExitCode::Done;
    const auto loaded = load(code);
    if (!loaded) {
        return code;
    }
    const auto current = readCurrent(code);
    if (!current) {
        return code;
    }
    if (!addDifference(*current, loaded->document)) {
        return finish(ExitCode::MalformedRow, "the newest catalogue in the table has an unknown form");
    }
    return ExitCode::Done;
}

ExitCode Commands::apply()
{
    auto code = ExitCode::Done;
    const auto loaded = load(code);
    if (!loaded) {
        return code;
    }
    const auto current = readCurrent(code);
    if (!current) {
        return code;
    }
    const CatalogueVersion base(line_.base.value_or(0));
    const auto conflict = [this, base](CatalogueVersion newest) {
        return finish(ExitCode::Conflict,
                      "version " + std::to_string(newest.value()) + " is the newest, not the base "
                          + std::to_string(base.value()) + "; run diff again and name the newest version");
    };
    if (current->version != base) {
        return conflict(current->version);
    }
    addDifference(*current, loaded->document);
    if (line_.isDryRun) {
        return finish(ExitCode::Done, "dry run; nothing was changed");
    }
    ApplyOperation operation({.base = base, .document = loaded->document});
    while (const auto step = operation.next()) {
        operation.onReply(platform_.perform(*step));
    }
    const auto outcome = *operation.outcome();
    result_["status"] = toString(outcome.status);
    switch (outcome.status) {
    case ApplyStatus::Accepted:
        result_["version"] = outcome.version.value();
        return line_.waits ? waitForConfirmation(outcome.version)
                           : finish(ExitCode::Done, "version " + std::to_string(outcome.version.value()) + " accepted");
    case ApplyStatus::Conflict:
        return conflict(outcome.newest);
    case ApplyStatus::Unavailable:
        return finish(ExitCode::Unavailable, "the table service cannot be used; nothing was accepted");
    case ApplyStatus::OutcomeUnknown:
        return finish(ExitCode::OutcomeUnknown,
                      "version " + std::to_string(outcome.version.value())
                          + " may or may not be accepted; status shows the newest version");
    case ApplyStatus::MalformedHead:
        break;
    }
    return finish(ExitCode::MalformedRow, "the row 'catalogue/head' has an unknown form; nothing was accepted");
}

ExitCode Commands::waitForConfirmation(CatalogueVersion version)
{
    const auto deadline = Clock::now() + line_.waitLimit;
    while (true) {
        auto code = ExitCode::Done;
        const auto report = readStatus(code);
        // A later version confirms this one as well.
        if (report && report->newest >= version && report->isConfirmedEverywhere()) {
            return finish(ExitCode::Done, "version " + std::to_string(version.value()) + " confirmed everywhere");
        }
        if (Clock::now() >= deadline) {
            if (report) {
                result_["report"] = reportToJson(*report)["dataCentres"];
            }
            return finish(ExitCode::NotConfirmed,
                          "version " + std::to_string(version.value()) + " accepted, but not confirmed everywhere");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
}

std::optional<StatusReport> Commands::readStatus(ExitCode &code)
{
    const auto current = readCurrent(code);
    if (!current) {
        return std::nullopt;
    }
    StatusSources sources{.newest = current->version};
    DocumentFaults faults;
    if (auto catalogue = readCatalogue(current->document, faults)) {
        sources.catalogue = std::move(*catalogue);
    } else {
        code = finish(ExitCode::MalformedRow, "the newest catalogue in the table has an unknown form");
        return std::nullopt;
    }
    const auto hosts = platform_.hosts();
    const auto rows = platform_.list(confirmationsPrefix);
    const auto drains = platform_.read(drainsRowKey);
    const bool hasDrains = drains.status == TableStatus::Ok;
    if (!hosts || !rows || (!hasDrains && drains.status != TableStatus::NotFound)) {
        code = finish(ExitCode::Unavailable, "the platform at " + platform_.address() + " cannot be reached");
        return std::nullopt;
    }
    const auto set = hasDrains ? DrainSet::fromRowValue(drains.row->value) : DrainSet();
    if (!set) {
        code = finish(ExitCode::MalformedRow, "the row 'drains' has an unknown form");
        return std::nullopt;
    }
    sources.hosts = *hosts;
    sources.drains = *set;
    for (const auto &row : *rows) {
        const auto dataCentre = row.key.substr(std::string(confirmationsPrefix).size());
        sources.confirmations[DataCentreId(dataCentre)] =
            confirmationsFromRowValue(row.value).value_or(Confirmations());
    }
    return makeStatusReport(sources);
}

ExitCode Commands::status()
{
    auto code = ExitCode::Done;
    if (const auto report = readStatus(code)) {
        result_ = reportToJson(*report);
    }
    return code;
}

ExitCode Commands::entryStatus()
{
    HttpClient client(line_.entry, line_.timeout);
    const auto response = client.perform({.target = "/admin/status"});
    if (!response || response->status != 200) {
        return finish(ExitCode::Unavailable, "the entry at " + line_.entry + " cannot be reached");
    }
    auto json = Json::parse(response->body, nullptr, false);
    if (!json.is_object()) {
        return finish(ExitCode::MalformedRow, "the answer of the entry at " + line_.entry + " has an unknown form");
    }
    result_ = std::move(json);
    return ExitCode::Done;
}

std::string Commands::unknownNameFault(DrainScope scope, const std::string &name)
{
    // A drain of a mistyped name would succeed and protect nothing. Names are not checked while they cannot be read.
    auto code = ExitCode::Done;
    const auto head = platform_.read(catalogueHeadKey);
    if (head.status != TableStatus::Ok) {
        return {};
    }
    const auto current = readCurrent(code);
    const auto hosts = platform_.hosts();
    DocumentFaults faults;
    const auto catalogue = current ? readCatalogue(current->document, faults) : std::nullopt;
    if (!catalogue || !hosts) {
        return {};
    }
    const auto isServerOnHost = [&name](const auto &item) { return item.second.host.name() == name; };
    const bool isKnown = (scope == DrainScope::DataCentre && catalogue->dataCentres.contains(DataCentreId(name)))
        || (scope == DrainScope::BackendServer && catalogue->servers.contains(ServerId(name)))
        || (scope == DrainScope::Host
            && (std::any_of(hosts->begin(), hosts->end(), [&](const auto &host) { return host.name.name() == name; })
                || std::any_of(catalogue->servers.begin(), catalogue->servers.end(), isServerOnHost)));
    return isKnown ? ""
                   : "no " + std::string(toString(scope)) + " '" + name
            + "' in the newest catalogue or the host list; nothing was changed";
}

ExitCode Commands::drain()
{
    const auto &name = line_.arguments[1];
    const auto scope = drainScopeFromString(line_.arguments[0]);
    if (!scope || name.empty()) {
        return finish(ExitCode::Usage, "SCOPE must be data-centre, host or backend-server, and NAME must not be empty");
    }
    if (line_.isLocal) {
        return localDrain(*scope);
    }
    const bool isRemoval = line_.command == "undrain";
    if (!isRemoval) {
        if (const auto fault = unknownNameFault(*scope, name); !fault.empty()) {
            return finish(ExitCode::Usage, fault);
        }
    }
    DrainOperation operation({.record = {.id = newDrainId(), .scope = *scope, .name = name}, .isRemoval = isRemoval});
    while (const auto step = operation.next()) {
        operation.onReply(platform_.perform(*step));
    }
    result_["status"] = toString(*operation.outcome());
    result_["ids"] = Json::array();
    for (const auto &id : operation.ids()) {
        result_["ids"].push_back(id.name());
    }
    switch (*operation.outcome()) {
    case DrainStatus::Stored:
        return finish(ExitCode::Done, isRemoval ? "the drain is removed" : "the drain is stored");
    case DrainStatus::NothingToDo:
        return finish(ExitCode::Done, isRemoval ? "there is no such drain" : "it is already drained");
    case DrainStatus::Unavailable:
        return finish(
            ExitCode::Unavailable,
            "the table service cannot be used; nothing was changed; --local --entry reaches an entry directly");
    case DrainStatus::OutcomeUnknown:
        return finish(ExitCode::OutcomeUnknown, "the change may or may not be stored; repeat the command");
    case DrainStatus::MalformedRow:
        break;
    }
    return finish(ExitCode::MalformedRow, "the row 'drains' has an unknown form; nothing was changed");
}

ExitCode Commands::localDrain(DrainScope scope)
{
    const auto &name = line_.arguments[1];
    HttpClient client(line_.entry, line_.timeout);
    std::vector<std::string> ids = {newDrainId().name()};
    const bool isRemoval = line_.command == "undrain";
    if (isRemoval) {
        ids.clear();
        const auto response = client.perform({.target = "/admin/status"});
        const auto json = nlohmann::json::parse(response ? response->body : "", nullptr, false);
        if (!json.is_object() || !json.contains("drains") || !json["drains"].is_array()) {
            return finish(ExitCode::Unavailable, "the entry at " + line_.entry + " does not list its drains");
        }
        for (const auto &drain : json["drains"]) {
            if (drain.value("scope", "") == toString(scope) && drain.value("name", "") == name) {
                ids.push_back(drain.value("id", ""));
            }
        }
    }
    for (const auto &id : ids) {
        const Json body = {{"id", id}, {"scope", toString(scope)}, {"name", name}, {"remove", isRemoval}};
        const auto response = client.perform({.method = HttpMethod::Post,
                                              .target = "/admin/drains",
                                              .headers = {{"Content-Type", "application/json"}},
                                              .body = body.dump()});
        if (!response && client.lastFailure() == HttpFailure::NoReply) {
            return finish(ExitCode::OutcomeUnknown, "the entry did not answer; repeat the command");
        }
        if (!response || response->status < 200 || response->status > 299) {
            return finish(ExitCode::Unavailable, "the entry at " + line_.entry + " did not take the change");
        }
    }
    result_["ids"] = ids;
    return finish(ExitCode::Done, ids.empty() ? "there is no such drain" : "the entry has the change and passes it on");
}

} // namespace hornbeamlane::ctl
