#include "hornbeamlane_catalogue/reading/CatalogueReader.h"

#include "hornbeamlane_catalogue/reading/ObjectReader.h"

#include <array>
#include <limits>

namespace hornbeamlane {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t maxCount = 1'000'000;
constexpr std::uint32_t maxRanks = 4096;

constexpr std::array<std::pair<const char *, CutOffPolicy>, 2> cutOffPolicyNames = {
    {{"serve", CutOffPolicy::Serve}, {"stop", CutOffPolicy::Stop}}};
constexpr std::array<std::pair<const char *, FencingSupport>, 2> fencingSupportNames = {
    {{"enforced", FencingSupport::Enforced}, {"ignored", FencingSupport::Ignored}}};
constexpr std::array<std::pair<const char *, KeyPolicy>, 2> keyPolicyNames = {
    {{"required", KeyPolicy::Required}, {"optional", KeyPolicy::Optional}}};

/** Reads the entries one by one, then checks the rules that span entries. */
class CatalogueBuilder final
{
public:
    explicit CatalogueBuilder(DocumentFaults &faults)
        : faults_(faults)
    {
    }

    void readEntry(detail::ObjectReader &reader);
    void checkReferences();

    Catalogue takeCatalogue()
    {
        return std::move(catalogue_);
    }

private:
    using Reader = detail::ObjectReader;

    void readHeader(Reader &reader, EntryHeader &header);
    void readClass(Reader &reader, ClassEntry &entry);
    void readDataCentre(Reader &reader, DataCentreEntry &entry);
    void readServer(Reader &reader, ServerEntry &entry);
    void readService(Reader &reader, ServiceEntry &entry);
    void readTeam(Reader &reader, TeamEntry &entry);
    void readGroup(Reader &reader, GroupEntry &entry);
    void readPolicy(Reader &reader, PolicyEntry &entry);

    void checkTeam(const TeamEntry &team, const std::string &path);
    void checkServer(const ServerEntry &server, const std::string &path);
    void checkGroup(const GroupEntry &group, const std::string &path);

    template <class Entries, class Id>
    void checkReference(const Entries &entries, const Id &id, const std::string &path, const char *kind)
    {
        if (!id.isEmpty() && !entries.contains(id)) {
            faults_.push_back({DocumentFaultKind::UnknownReference, path,
                               "names the " + std::string(kind) + " '" + id.name() + "', which has no entry"});
        }
    }

    template <class Entries, class Id>
    void checkReferenceList(const Entries &entries, const std::vector<Id> &ids, const std::string &path,
                            const char *kind)
    {
        for (std::size_t i = 0; i < ids.size(); ++i) {
            checkReference(entries, ids[i], path + "/" + std::to_string(i), kind);
        }
    }

    template <class Id, class Entry>
    void store(std::map<Id, Entry> &entries, Entry entry, Reader &reader)
    {
        const Id id(entry.header.name);
        if (id.isEmpty()) {
            return;
        }
        if (entries.contains(id)) {
            reader.addFault(DocumentFaultKind::DuplicateName, "name", "is already used by another entry of its kind");
            return;
        }
        paths_[std::string(typeid(Entry).name()) + id.name()] = reader.path();
        entries.emplace(id, std::move(entry));
    }

    template <class Entry>
    const std::string &pathOf(const Entry &entry)
    {
        return paths_[std::string(typeid(Entry).name()) + entry.header.name];
    }

    template <class Entries>
    void checkClasses(const Entries &entries)
    {
        for (const auto &[id, entry] : entries) {
            checkReference(catalogue_.classes, entry.header.entryClass, pathOf(entry) + "/class", "class");
        }
    }

    Catalogue catalogue_;
    DocumentFaults &faults_;
    std::map<std::string, std::string> paths_;
    bool hasPolicy_ = false;
};

void CatalogueBuilder::readHeader(Reader &reader, EntryHeader &header)
{
    std::string kind;
    reader.required("kind", kind);
    reader.required("name", header.name);
    reader.required("owner", header.owner);
    reader.required("class", header.entryClass);
    if (!reader.has("limits")) {
        reader.addFault(DocumentFaultKind::MissingField, "limits", "is required");
    }
    reader.optionalObject("limits", [&header](Reader &limits) {
        limits.optional("concurrency", header.limits.concurrency, 1, maxCount);
        limits.optional("requestsPerSecond", header.limits.requestsPerSecond, 1, maxCount);
        limits.optional("tokensPerSecond", header.limits.tokensPerSecond, 1, std::numeric_limits<std::uint32_t>::max());
    });
}

void CatalogueBuilder::readClass(Reader &reader, ClassEntry &entry)
{
    reader.optional("priority", entry.priority, 0, 1000);
    reader.optional("firstTokenTargetMilliseconds", entry.firstTokenTarget, 1ms, 10min);
    reader.optional("tokenIntervalTargetMilliseconds", entry.tokenIntervalTarget, 1ms, 1min);
    reader.optional("deadlineMilliseconds", entry.deadline, 1ms, 24h);
}

void CatalogueBuilder::readDataCentre(Reader &reader, DataCentreEntry &entry)
{
    reader.required("region", entry.region);
    reader.optional("whenCutOff", entry.whenCutOff, cutOffPolicyNames);
}

void CatalogueBuilder::readServer(Reader &reader, ServerEntry &entry)
{
    reader.required("dataCentre", entry.dataCentre);
    reader.required("host", entry.host);
    reader.required("agentAddress", entry.agentAddress);
    reader.optional("coldConcurrency", entry.coldConcurrency, 1, maxCount);
    reader.optional("fencing", entry.fencing, fencingSupportNames);
    reader.optional("models", entry.models);
    reader.optional("services", entry.services);
    if (!entry.header.limits.concurrency && reader.has("limits")) {
        reader.addFault(DocumentFaultKind::MissingField, "limits",
                        "must state concurrency, since the agent has to know what the server bears");
    }
}

void CatalogueBuilder::readService(Reader &reader, ServiceEntry &entry)
{
    reader.optionalObjects("calls", [&entry](Reader &call) {
        CallRule rule;
        call.required("method", rule.method);
        call.required("pathPrefix", rule.pathPrefix);
        call.optional("repeatable", rule.isRepeatable);
        call.optional("idempotencyKey", rule.idempotencyKey, keyPolicyNames);
        entry.calls.push_back(std::move(rule));
    });
}

void CatalogueBuilder::readTeam(Reader &reader, TeamEntry &entry)
{
    reader.optional("models", entry.models);
    reader.optional("services", entry.services);
    reader.optionalNumbers("floors", [&entry](const std::string &dataCentre, std::uint32_t floor) {
        entry.floors[DataCentreId(dataCentre)] = floor;
    });
}

void CatalogueBuilder::readGroup(Reader &reader, GroupEntry &entry)
{
    reader.required("model", entry.model);
    reader.optional("ranks", entry.ranks, 1, maxRanks);
    reader.optional("expertsPerLayer", entry.expertsPerLayer, 1, maxRanks);
    reader.optional("layers", entry.layers, 1, maxRanks);
    reader.optional("servers", entry.servers);
}

void CatalogueBuilder::readPolicy(Reader &reader, PolicyEntry &entry)
{
    reader.optional("stepTimeSkewWeight", entry.stepTimeSkewWeight, 0, 1);
    reader.optional("serviceContinuityWeight", entry.serviceContinuityWeight, 0, 1);
}

void CatalogueBuilder::readEntry(Reader &reader)
{
    std::string kind;
    if (reader.has("kind")) {
        reader.optional("kind", kind);
    }
    const auto read = [&]<class Id, class Entry>(std::map<Id, Entry> &entries, auto readFields) {
        Entry entry;
        readHeader(reader, entry.header);
        (this->*readFields)(reader, entry);
        store(entries, std::move(entry), reader);
    };
    if (kind == "class") {
        read(catalogue_.classes, &CatalogueBuilder::readClass);
    } else if (kind == "dataCentre") {
        read(catalogue_.dataCentres, &CatalogueBuilder::readDataCentre);
    } else if (kind == "backendServer") {
        read(catalogue_.servers, &CatalogueBuilder::readServer);
    } else if (kind == "service") {
        read(catalogue_.services, &CatalogueBuilder::readService);
    } else if (kind == "team") {
        read(catalogue_.teams, &CatalogueBuilder::readTeam);
    } else if (kind == "group") {
        read(catalogue_.groups, &CatalogueBuilder::readGroup);
    } else if (kind == "model") {
        ModelEntry entry;
        readHeader(reader, entry.header);
        store(catalogue_.models, std::move(entry), reader);
    } else if (kind == "policy") {
        if (hasPolicy_) {
            reader.addFault(DocumentFaultKind::DuplicateName, "kind", "only one policy entry is allowed");
        }
        hasPolicy_ = true;
        readHeader(reader, catalogue_.policy.header);
        readPolicy(reader, catalogue_.policy);
    } else {
        EntryHeader header;
        readHeader(reader, header);
        if (!kind.empty()) {
            reader.addFault(DocumentFaultKind::UnknownValue, "kind",
                            "must be one of class, dataCentre, backendServer, model, service, team, group, policy");
        }
    }
}

void CatalogueBuilder::checkTeam(const TeamEntry &team, const std::string &path)
{
    checkReferenceList(catalogue_.models, team.models, path + "/models", "model");
    checkReferenceList(catalogue_.services, team.services, path + "/services", "service");
    std::uint64_t sum = 0;
    for (const auto &[dataCentre, floor] : team.floors) {
        checkReference(catalogue_.dataCentres, dataCentre, path + "/floors/" + dataCentre.name(), "data centre");
        sum += floor;
    }
    const auto limit = team.header.limits.concurrency;
    if (!team.floors.empty() && !limit) {
        faults_.push_back(
            {DocumentFaultKind::MissingField, path + "/limits/concurrency", "is required when the team has floors"});
    }
    if (limit && sum > *limit) {
        faults_.push_back(
            {DocumentFaultKind::LimitExceeded, path + "/floors",
             "add up to " + std::to_string(sum) + ", more than limits.concurrency " + std::to_string(*limit)});
    }
}

void CatalogueBuilder::checkServer(const ServerEntry &server, const std::string &path)
{
    checkReference(catalogue_.dataCentres, server.dataCentre, path + "/dataCentre", "data centre");
    checkReferenceList(catalogue_.models, server.models, path + "/models", "model");
    checkReferenceList(catalogue_.services, server.services, path + "/services", "service");
    const auto limit = server.header.limits.concurrency;
    if (limit && server.coldConcurrency > *limit) {
        faults_.push_back(
            {DocumentFaultKind::LimitExceeded, path + "/coldConcurrency", "must be at most limits.concurrency"});
    }
}

void CatalogueBuilder::checkGroup(const GroupEntry &group, const std::string &path)
{
    checkReference(catalogue_.models, group.model, path + "/model", "model");
    checkReferenceList(catalogue_.servers, group.servers, path + "/servers", "backend server");
    if (!group.servers.empty() && group.ranks % group.servers.size() != 0) {
        faults_.push_back({DocumentFaultKind::OutOfRange, path + "/ranks", "must be a multiple of the servers"});
    }
}

void CatalogueBuilder::checkReferences()
{
    checkClasses(catalogue_.dataCentres);
    checkClasses(catalogue_.servers);
    checkClasses(catalogue_.models);
    checkClasses(catalogue_.services);
    checkClasses(catalogue_.teams);
    checkClasses(catalogue_.groups);
    for (const auto &[id, team] : catalogue_.teams) {
        checkTeam(team, pathOf(team));
    }
    for (const auto &[id, server] : catalogue_.servers) {
        checkServer(server, pathOf(server));
    }
    for (const auto &[id, group] : catalogue_.groups) {
        checkGroup(group, pathOf(group));
    }
}

} // namespace

std::optional<Catalogue> readCatalogue(std::string_view document, DocumentFaults &faults)
{
    const auto before = faults.size();
    const auto json = nlohmann::json::parse(document, nullptr, false);
    if (json.is_discarded()) {
        faults.push_back({DocumentFaultKind::NotJson, "", "is not valid JSON"});
        return std::nullopt;
    }
    CatalogueBuilder builder(faults);
    detail::ObjectReader root(json, "", faults);
    if (json.is_object() && !root.has("entries")) {
        root.addFault(DocumentFaultKind::MissingField, "entries", "is required");
    }
    root.optionalObjects("entries", [&builder](detail::ObjectReader &entry) { builder.readEntry(entry); });
    root.finish();
    builder.checkReferences();
    if (faults.size() != before) {
        return std::nullopt;
    }
    return builder.takeCatalogue();
}

} // namespace hornbeamlane
