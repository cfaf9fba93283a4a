#include "fault_matrix/MembershipWorld.h"

#include <algorithm>

namespace hornbeamlane::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto linkLatency = 1ms;
constexpr auto tableLatency = 1ms;
constexpr auto requestTimeout = 2s;
constexpr auto tickInterval = 250ms;
constexpr auto heartbeatInterval = 1s;
constexpr auto dispatchInterval = 500ms;
/** Time within which an accepted version is in force everywhere (C9). */
constexpr auto versionLimit = 6s;
/** Time within which a drained place receives no new work (C3, C7). */
constexpr auto drainLimit = 5s;

std::string document(const std::string &owner)
{
    return R"({"entries":[{"class":"c","kind":"class","limits":{},"name":"c","owner":")" + owner + "\"}]}";
}

std::string stepOf(const Message &message)
{
    static const std::vector<std::pair<std::size_t, const char *>> names = {
        {Message(Heartbeat()).index(), "Heartbeat"},
        {Message(Dispatch()).index(), "Dispatch"},
        {Message(CatalogueUpdate()).index(), "CatalogueUpdate"},
        {Message(CatalogueRequest()).index(), "CatalogueRequest"},
        {Message(CatalogueConfirm()).index(), "CatalogueConfirm"},
        {Message(DrainUpdate()).index(), "DrainUpdate"},
    };
    const auto match = std::find_if(names.begin(), names.end(),
                                    [&message](const auto &name) { return name.first == message.index(); });
    return match == names.end() ? "other" : match->second;
}

std::string stepOf(const TableStep &step)
{
    const auto *write = std::get_if<WriteRow>(&step);
    auto key = write != nullptr ? write->write.key : std::get<ReadRow>(step).key;
    if (key.starts_with(confirmationsPrefix)) {
        key = confirmationsPrefix;
    } else if (catalogueVersionOfKey(key)) {
        key = "catalogue/<version>";
    }
    return (write != nullptr ? "write " : "read ") + key;
}

} // namespace

struct MembershipWorld::Process
{
    std::string name;
    std::string dataCentre;
    ProcessRole role = ProcessRole::Entry;
    std::unique_ptr<CatalogueKeeper> catalogue;
    std::unique_ptr<DrainKeeper> drains;
    std::unique_ptr<ConfirmationBook> book;
    std::unique_ptr<ContactWatch> contact;
    bool isAlive = false;
    bool isPaused = false;
    int incarnation = 0;
    std::vector<std::function<void()>> inbox;
    CatalogueVersion inForce;
    std::map<CatalogueVersion, Time> inForceSince;
    CatalogueVersion establishedAtStart;
    std::set<std::string> links;
    Time lastHeartbeat{-heartbeatInterval};
    Time lastDispatch{0};
};

MembershipWorld::MembershipWorld(DisabledMechanisms disabled, std::vector<MembershipFault> faults)
    : disabled_(std::move(disabled))
    , faults_(std::move(faults))
{
    CatalogueHead head;
    head.accept(CatalogueVersion(1));
    rows_[catalogueHeadKey] = {
        {.since = -1h, .row = {.key = catalogueHeadKey, .version = RowVersion(1), .value = head.toRowValue()}}};
    rows_[catalogueRowKey(head.version())] = {
        {.since = -1h,
         .row = {.key = catalogueRowKey(head.version()), .version = RowVersion(1), .value = document("nobody")}}};
    headVersion_ = head.version();
    std::vector<HostRecord> hosts;
    for (const std::string dataCentre : {"a", "b"}) {
        for (const std::string number : {"1", "2", "3"}) {
            addProcess(dataCentre + number, dataCentre, ProcessRole::Entry);
            hosts.push_back({.name = HostId(dataCentre + number), .dataCentre = DataCentreId(dataCentre)});
        }
    }
    addProcess("sa", "a", ProcessRole::Agent);
    addProcess("sb", "b", ProcessRole::Agent);
    addProcess("sc", "a", ProcessRole::Agent);
    // The list never changes: it lags by more than a run lasts.
    hosts_.update(hosts, now());
    for (const auto &[name, process] : processes_) {
        start(*process);
    }
}

MembershipWorld::~MembershipWorld() = default;

bool MembershipWorld::isOff(const std::string &mechanism) const
{
    return disabled_.contains(mechanism);
}

TimePoint MembershipWorld::now() const
{
    return TimePoint(std::chrono::hours(1) + time_);
}

void MembershipWorld::fail(const std::string &text)
{
    if (violation_.empty()) {
        violation_ = text + " at " + std::to_string(time_.count()) + " ms";
    }
}

void MembershipWorld::setWindow(Time begin, Time end)
{
    windowBegin_ = begin;
    windowEnd_ = end;
    occurrences_.clear();
}

void MembershipWorld::at(Time time, std::function<void()> task)
{
    events_.push({.time = std::max(time, time_), .sequence = sequence_++, .task = std::move(task)});
}

void MembershipWorld::run(Time until)
{
    while (!events_.empty() && events_.top().time <= until) {
        // The queue gives read access only; the moved-from event is removed at once.
        auto event = std::move(const_cast<Event &>(events_.top()));
        events_.pop();
        time_ = event.time;
        event.task();
    }
    time_ = until;
}

void MembershipWorld::addProcess(const std::string &name, const std::string &dataCentre, ProcessRole role)
{
    auto process = std::make_unique<Process>();
    process->name = name;
    process->dataCentre = dataCentre;
    process->role = role;
    processes_[name] = std::move(process);
}

void MembershipWorld::start(Process &process)
{
    process.isAlive = true;
    process.isPaused = false;
    ++process.incarnation;
    process.inForce = {};
    process.inForceSince.clear();
    process.establishedAtStart = established_[process.dataCentre];
    process.lastDispatch = time_;
    const bool isEntry = process.role == ProcessRole::Entry;
    CatalogueKeeper::Options catalogue{.name = process.name,
                                       .role = process.role,
                                       .dataCentre = DataCentreId(process.dataCentre),
                                       .hasTable = isEntry};
    DrainKeeper::Options drains{.hasTable = isEntry};
    ConfirmationBook::Options book{.dataCentre = DataCentreId(process.dataCentre)};
    ContactWatch::Options contact;
    const auto never = [] { return false; };
    if (isOff("monotonic-version")) {
        catalogue.isNewer = [](CatalogueVersion current, CatalogueVersion offered) { return offered != current; };
    }
    if (isOff("startup-quorum")) {
        catalogue.mayStart = [](const CatalogueKeeper::StartState &state, const auto &) {
            return state.hasReadTable || state.answers > 0;
        };
    }
    if (isOff("startup-claim-check")) {
        catalogue.waitsForClaimedVersion = never;
    }
    if (isOff("peer-gossip")) {
        catalogue.forwards = never;
        catalogue.repairs = never;
        drains.gossips = never;
    }
    if (isOff("version-repair")) {
        catalogue.repairs = never;
    }
    if (isOff("reader-succession")) {
        catalogue.replacesSilentReader = never;
    }
    if (isOff("drain-union")) {
        drains.merge = [](DrainSet &own, const DrainSet &other) {
            const bool isChanged = !(own == other);
            own = other;
            return isChanged;
        };
    }
    if (isOff("drain-write-retry")) {
        drains.retriesWrite = never;
    }
    if (isOff("agent-drain-check") && !isEntry) {
        drains.refusesDrained = never;
    }
    if (isOff("confirmation-retry")) {
        book.retriesWrite = never;
    }
    if (isOff("cut-off-stop")) {
        contact.stopsWhenCutOff = [](CutOffPolicy) { return false; };
    }
    process.catalogue = std::make_unique<CatalogueKeeper>(catalogue, now());
    process.drains = std::make_unique<DrainKeeper>(drains);
    process.book = std::make_unique<ConfirmationBook>(book);
    process.contact = std::make_unique<ContactWatch>(contact, now());
    if (isEntry) {
        process.catalogue->updateHosts(hosts_);
    }
    for (const auto &[name, other] : processes_) {
        if (other->isAlive && isNeighbour(process, *other)) {
            connect(process, *other);
        }
    }
    const int incarnation = process.incarnation;
    // Different phases, so that processes do not act in lock-step.
    const auto phase = std::chrono::milliseconds(hash64(process.name) % 250);
    at(time_ + phase, [this, &process, incarnation] {
        if (process.incarnation == incarnation) {
            tick(process);
        }
    });
}

bool MembershipWorld::isNeighbour(const Process &first, const Process &second) const
{
    if (&first == &second || (first.role == ProcessRole::Agent && second.role == ProcessRole::Agent)) {
        return false;
    }
    // Agents are linked to every entry; of the entries, only two of each data centre to those of the other.
    const bool isCrossing = first.dataCentre != second.dataCentre && first.role == second.role;
    return !isCrossing || (first.name[1] != '3' && second.name[1] != '3');
}

bool MembershipWorld::isReachable(const Process &first, const Process &second) const
{
    return !(areDataCentresCut_ && first.dataCentre != second.dataCentre)
        && !cutLinks_.contains(std::minmax(first.name, second.name));
}

void MembershipWorld::connect(Process &first, Process &second)
{
    if (!isReachable(first, second) || !first.isAlive || !second.isAlive) {
        return;
    }
    for (const auto &[from, to] : {std::pair(&first, &second), std::pair(&second, &first)}) {
        const Hello hello{.role = from->role,
                          .name = from->name,
                          .dataCentre = DataCentreId(from->dataCentre),
                          .catalogueVersion = from->inForce};
        at(time_ + linkLatency, [this, hello, to = to] {
            deliver(*to, [this, hello, to] {
                to->links.insert(hello.name);
                perform(*to, to->catalogue->linkUp(hello.name, hello, now()));
                perform(*to, to->drains->linkUp(hello.name, now()));
                if (hello.dataCentre.name() == to->dataCentre) {
                    to->book->note(hello.name, hello.catalogueVersion);
                }
            });
        });
    }
}

void MembershipWorld::deliver(Process &process, std::function<void()> task)
{
    if (!process.isAlive) {
        return;
    }
    if (process.isPaused) {
        process.inbox.push_back(std::move(task));
    } else {
        task();
    }
}

void MembershipWorld::kill(const std::string &name)
{
    auto &process = *processes_.at(name);
    process.isAlive = false;
    process.isPaused = false;
    ++process.incarnation;
    process.inbox.clear();
    process.links.clear();
    for (const auto &[otherName, other] : processes_) {
        at(time_ + linkLatency, [this, name, &other = *other] {
            deliver(other, [name, &other] {
                other.links.erase(name);
                other.catalogue->linkDown(name);
                other.drains->linkDown(name);
            });
        });
    }
    faultsEnd_ = std::max(faultsEnd_, time_);
}

void MembershipWorld::restart(const std::string &name)
{
    auto &process = *processes_.at(name);
    if (!process.isAlive) {
        start(process);
        faultsEnd_ = std::max(faultsEnd_, time_);
    }
}

void MembershipWorld::pause(const std::string &name)
{
    processes_.at(name)->isPaused = processes_.at(name)->isAlive;
}

void MembershipWorld::resume(const std::string &name)
{
    auto &process = *processes_.at(name);
    process.isPaused = false;
    faultsEnd_ = std::max(faultsEnd_, time_);
    // What arrived in the meantime is handled first; it may kill or pause the process again.
    const auto inbox = std::exchange(process.inbox, {});
    for (const auto &task : inbox) {
        deliver(process, task);
    }
}

void MembershipWorld::cutPlatform(const std::string &name, bool isCut)
{
    if (isCut) {
        cutPlatforms_.insert(name);
    } else {
        cutPlatforms_.erase(name);
    }
    faultsEnd_ = std::max(faultsEnd_, time_);
}

void MembershipWorld::setLink(Process &first, Process &second, bool isCut)
{
    if (!isNeighbour(first, second)) {
        return;
    }
    if (!isCut) {
        connect(first, second);
        return;
    }
    for (const auto &[process, peer] : {std::pair(&first, &second), std::pair(&second, &first)}) {
        process->links.erase(peer->name);
        process->catalogue->linkDown(peer->name);
        process->drains->linkDown(peer->name);
    }
}

void MembershipWorld::cutLink(const std::string &first, const std::string &second, bool isCut)
{
    const auto link = std::pair(std::min(first, second), std::max(first, second));
    if (isCut) {
        cutLinks_.insert(link);
    } else {
        cutLinks_.erase(link);
    }
    faultsEnd_ = std::max(faultsEnd_, time_);
    setLink(*processes_.at(first), *processes_.at(second), isCut);
}

void MembershipWorld::cutDataCentres(bool isCut)
{
    areDataCentresCut_ = isCut;
    faultsEnd_ = std::max(faultsEnd_, time_);
    for (const auto &[firstName, first] : processes_) {
        for (const auto &[secondName, second] : processes_) {
            if (firstName < secondName && first->dataCentre != second->dataCentre) {
                setLink(*first, *second, isCut);
            }
        }
    }
}

void MembershipWorld::setTable(bool isDown, Time delay, Time staleness)
{
    isTableDown_ = isDown;
    tableDelay_ = delay;
    tableStaleness_ = staleness;
    faultsEnd_ = std::max(faultsEnd_, time_);
}

bool MembershipWorld::isInWindow() const
{
    return time_ >= windowBegin_ && time_ < windowEnd_;
}

const MembershipFault *MembershipWorld::strike(const std::string &step)
{
    const auto occurrence = occurrences_[step]++;
    const auto match = std::find_if(faults_.begin(), faults_.end(), [&](const auto &fault) {
        return fault.step == step && fault.occurrence == occurrence;
    });
    return match == faults_.end() ? nullptr : &*match;
}

void MembershipWorld::send(Process &from, Process &to, const Message &message)
{
    if (!from.links.contains(to.name) || !isReachable(from, to)) {
        return;
    }
    const auto *fault = isInWindow() ? strike(stepOf(message)) : nullptr;
    auto latency = Time(linkLatency);
    const auto shared = std::make_shared<const Message>(message);
    const auto arrive = [this, &from, &to, shared, incarnation = to.incarnation](Time time) {
        at(time, [this, &from, &to, shared, incarnation] {
            if (to.incarnation == incarnation) {
                deliver(to, [this, &from, &to, shared] { receive(from, to, *shared); });
            }
        });
    };
    if (fault != nullptr) {
        switch (fault->kind) {
        case MembershipFaultKind::MessageLost:
            return;
        case MembershipFaultKind::MessageDoubled:
            arrive(time_ + 500ms);
            break;
        case MembershipFaultKind::MessageDelayed:
            latency = 6s;
            break;
        case MembershipFaultKind::MessageReordered:
            latency = 30ms;
            break;
        case MembershipFaultKind::ReceiverKilled:
            kill(to.name);
            at(time_ + 1s, [this, name = to.name] { restart(name); });
            return;
        case MembershipFaultKind::ReceiverPaused:
            pause(to.name);
            at(time_ + 4s, [this, name = to.name] { resume(name); });
            break;
        default:
            break;
        }
    }
    arrive(time_ + latency);
}

void MembershipWorld::perform(Process &process, const KeeperActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *message = std::get_if<SendToPeer>(&action)) {
            send(process, *processes_.at(message->peer), message->message);
        } else if (const auto *version = std::get_if<PutInForce>(&action)) {
            putInForce(process, version->version);
        } else {
            const bool isWrite = std::holds_alternative<WriteRow>(action);
            const TableStep step =
                isWrite ? TableStep(std::get<WriteRow>(action)) : TableStep(std::get<ReadRow>(action));
            const auto key = isWrite ? std::get<WriteRow>(action).write.key : std::get<ReadRow>(action).key;
            const auto onReply = [this, &process, key, isWrite](const TableReply &reply) {
                if (reply.status != TableStatus::NoReply) {
                    process.contact->noteContact(now());
                }
                if (key == drainsRowKey) {
                    perform(process,
                            isWrite ? process.drains->onWritten(reply, now()) : process.drains->onRow(reply, now()));
                } else if (key.starts_with(confirmationsPrefix)) {
                    isWrite ? process.book->onWritten(reply) : process.book->onRow(reply);
                } else {
                    perform(process, process.catalogue->onRow(key, reply, now()));
                }
            };
            const bool isCut = cutPlatforms_.contains(process.dataCentre) || cutPlatforms_.contains(process.name);
            request(isCut, step, [this, &process, onReply, incarnation = process.incarnation](const auto &reply) {
                if (process.incarnation == incarnation) {
                    deliver(process, [onReply, reply] { onReply(reply); });
                }
            });
        }
    }
}

void MembershipWorld::receive(Process &from, Process &to, const Message &message)
{
    if (from.dataCentre != to.dataCentre) {
        to.contact->noteContact(now());
    }
    const bool isHere = from.dataCentre == to.dataCentre;
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        perform(to, to.catalogue->onHeartbeat(from.name, *heartbeat, now()));
        perform(to, to.drains->onHeartbeat(from.name, *heartbeat, now()));
        if (isHere) {
            to.book->note(from.name, heartbeat->catalogueVersion);
        }
    } else if (const auto *update = std::get_if<CatalogueUpdate>(&message)) {
        perform(to, to.catalogue->onUpdate(from.name, *update, now()));
    } else if (const auto *requested = std::get_if<CatalogueRequest>(&message)) {
        perform(to, to.drains->onRequest(from.name, now()));
        perform(to, to.catalogue->onRequest(from.name, *requested, now()));
    } else if (const auto *confirm = std::get_if<CatalogueConfirm>(&message)) {
        perform(to, to.catalogue->onConfirm(from.name, *confirm, now()));
        if (isHere) {
            to.book->note(from.name, confirm->version);
        }
    } else if (const auto *drains = std::get_if<DrainUpdate>(&message)) {
        perform(to, to.drains->onUpdate(from.name, *drains, now()));
    } else if (std::holds_alternative<Dispatch>(message)) {
        startWork(to);
    }
}

void MembershipWorld::putInForce(Process &process, CatalogueVersion version)
{
    if (version <= process.inForce) {
        fail(process.name + " reverted to version " + std::to_string(version.value()));
    }
    if (process.inForce == CatalogueVersion() && version < process.establishedAtStart) {
        fail(process.name + " started with version " + std::to_string(version.value())
             + ", older than the one in force in its data centre");
    }
    process.inForce = version;
    process.inForceSince.emplace(version, time_);
    process.book->note(process.name, version);
    std::vector<CatalogueVersion> versions;
    for (const auto &[name, other] : processes_) {
        if (other->role == ProcessRole::Entry && other->dataCentre == process.dataCentre) {
            versions.push_back(other->inForce);
        }
    }
    std::sort(versions.rbegin(), versions.rend());
    auto &established = established_[process.dataCentre];
    established = std::max(established, versions[versions.size() / 2]);
}

void MembershipWorld::startWork(Process &agent)
{
    const DataCentreId dataCentre(agent.dataCentre);
    const bool mayServe = agent.contact->mayServe(CutOffPolicy::Stop, now()) || !stops_.contains(agent.dataCentre);
    if (!agent.catalogue->isReady() || !mayServe
        || !agent.drains->mayStartWork(dataCentre, HostId("host-" + agent.name), ServerId(agent.name))) {
        return;
    }
    lastWork_[agent.name] = time_;
    for (const auto &expectation : drains_) {
        DrainSet set;
        set.add(expectation.record);
        if (!expectation.isRemoved && time_ > std::max(expectation.since, faultsEnd_) + drainLimit
            && set.isDrained(dataCentre, HostId("host-" + agent.name), ServerId(agent.name))) {
            fail("work started on " + agent.name + " under drain " + expectation.record.id.name());
        }
    }
    const auto stop = stops_.find(agent.dataCentre);
    if (stop != stops_.end() && time_ >= stop->second.first && time_ < stop->second.second) {
        fail("work started on " + agent.name + " although its data centre stops when cut off");
    }
}

void MembershipWorld::tick(Process &process)
{
    at(time_ + tickInterval, [this, &process, incarnation = process.incarnation] {
        if (process.incarnation == incarnation) {
            tick(process);
        }
    });
    if (process.isPaused) {
        return;
    }
    const bool isReader = process.catalogue->isReader(now());
    perform(process, process.catalogue->tick(now()));
    perform(process, process.drains->tick(isReader, now()));
    perform(process, process.book->tick(isReader, now()));
    const auto links = process.links;
    if (time_ - process.lastHeartbeat >= heartbeatInterval) {
        process.lastHeartbeat = time_;
        for (const auto &name : links) {
            send(
                process, *processes_.at(name),
                Heartbeat{.catalogueVersion = process.catalogue->version(), .drainVersion = process.drains->version()});
        }
    }
    if (process.role != ProcessRole::Entry || !process.catalogue->isReady()
        || time_ - process.lastDispatch < dispatchInterval) {
        return;
    }
    process.lastDispatch = time_;
    for (const auto &name : links) {
        const auto &agent = *processes_.at(name);
        if (agent.role == ProcessRole::Agent
            && process.drains->mayStartWork(DataCentreId(agent.dataCentre), HostId("host-" + name), ServerId(name))) {
            send(process, *processes_.at(name), Dispatch{.target = name});
        }
    }
}

TableReply MembershipWorld::access(const TableStep &step, Time staleness)
{
    if (const auto *read = std::get_if<ReadRow>(&step)) {
        const auto &history = rows_[read->key];
        const auto match = std::find_if(history.rbegin(), history.rend(),
                                        [&](const auto &row) { return row.since <= time_ - staleness; });
        return match == history.rend() ? TableReply{.status = TableStatus::NotFound}
                                       : TableReply{.status = TableStatus::Ok, .row = match->row};
    }
    const auto &write = std::get<WriteRow>(step).write;
    auto &history = rows_[write.key];
    const auto current = history.empty() ? RowVersion() : history.back().row.version;
    if (current != write.expectedVersion) {
        return {.status = TableStatus::Conflict};
    }
    history.push_back({.since = time_, .row = {.key = write.key, .version = current.next(), .value = write.value}});
    if (write.key == catalogueHeadKey) {
        const auto version = CatalogueHead::fromRowValue(write.value)->version();
        const auto previous = CatalogueHead::fromRowValue(history[history.size() - 2].row.value);
        if (CatalogueHead::fromRowValue(write.value)->wasAccepted(previous->version()) == false) {
            fail("the head forgot an accepted version");
        }
        if (version <= headVersion_) {
            fail("the head reverted");
        }
        headVersion_ = version;
        acceptedAt_ = time_;
    }
    return {.status = TableStatus::Ok, .row = TableRow{.key = write.key, .version = current.next()}};
}

void MembershipWorld::request(bool isCut, const TableStep &step, const std::function<void(const TableReply &)> &handler)
{
    const auto reply = [this, handler](Time time, const TableReply &content) {
        at(time, [handler, content] { handler(content); });
    };
    if (isCut) {
        reply(time_ + requestTimeout, {.status = TableStatus::NoReply});
        return;
    }
    const auto *fault = isInWindow() ? strike(stepOf(step)) : nullptr;
    const auto kind = fault != nullptr ? std::optional(fault->kind) : std::nullopt;
    if (isTableDown_ || kind == MembershipFaultKind::TableRefuses) {
        reply(time_ + tableLatency, {.status = TableStatus::Unavailable});
        return;
    }
    if (kind == MembershipFaultKind::TableRequestLost) {
        reply(time_ + requestTimeout, {.status = TableStatus::NoReply});
        return;
    }
    if (kind == MembershipFaultKind::TableWriteLate) {
        reply(time_ + requestTimeout, {.status = TableStatus::NoReply});
        at(time_ + 3s, [this, step] { access(step, 0ms); });
        return;
    }
    const auto staleness = kind == MembershipFaultKind::TableStale ? Time(10s) : tableStaleness_;
    const auto delay = kind == MembershipFaultKind::TableSlow ? Time(3s) : tableDelay_;
    at(time_ + tableLatency, [this, step, staleness, delay, reply, kind] {
        const auto content = access(step, staleness);
        if (kind == MembershipFaultKind::TableReplyLost) {
            reply(time_ + requestTimeout, {.status = TableStatus::NoReply});
        } else {
            reply(time_ + tableLatency + delay, content);
        }
    });
}

template <class Operation>
void MembershipWorld::operate(std::shared_ptr<Operation> operation, std::function<void()> onEnd)
{
    const auto step = operation->next();
    if (!step) {
        onEnd();
        return;
    }
    request(false, *step, [this, operation, onEnd](const TableReply &reply) {
        operation->onReply(reply);
        operate(operation, onEnd);
    });
}

void MembershipWorld::apply(CatalogueVersion base, const std::string &content)
{
    ApplyOperation::Options options{.base = base, .document = document(content)};
    if (isOff("apply-read-back")) {
        options.readsBack = [] { return false; };
    }
    if (isOff("conditional-head-write")) {
        options.conditionsHeadWrite = [] { return false; };
    }
    const auto operation = std::make_shared<ApplyOperation>(options);
    operate(operation, [this, operation, text = options.document] {
        applied_.push_back({.document = text, .outcome = *operation->outcome()});
    });
}

void MembershipWorld::checkApplied()
{
    const auto head = CatalogueHead::fromRowValue(rows_[catalogueHeadKey].back().row.value);
    const auto &current = rows_[catalogueRowKey(head->version())].back().row.value;
    for (const auto &[text, outcome] : applied_) {
        if (outcome.status == ApplyStatus::Accepted
            && (head->wasAccepted(outcome.version) != true
                || rows_[catalogueRowKey(outcome.version)].back().row.value != text)) {
            fail("an apply was reported as accepted and is not");
        }
        if (outcome.status != ApplyStatus::Accepted && outcome.status != ApplyStatus::OutcomeUnknown
            && current == text) {
            fail("an apply was reported as " + std::string(toString(outcome.status)) + " and is in force");
        }
    }
}

void MembershipWorld::drain(const DrainRecord &record)
{
    const auto operation = std::make_shared<DrainOperation>(DrainOperation::Options{.record = record});
    operate(operation, [this, operation, record] {
        if (operation->outcome() == DrainStatus::Stored) {
            drains_.push_back({.record = record, .since = time_});
        }
    });
}

void MembershipWorld::undrain(const DrainRecord &record)
{
    const auto operation =
        std::make_shared<DrainOperation>(DrainOperation::Options{.record = record, .isRemoval = true});
    // The removal may take effect long before its reply arrives.
    const auto setRemoved = [this, record](bool isRemoved) {
        for (auto &expectation : drains_) {
            if (expectation.record.name == record.name) {
                expectation.isRemoved = isRemoved;
            }
        }
    };
    setRemoved(true);
    operate(operation, [operation, setRemoved] { setRemoved(operation->outcome() == DrainStatus::Stored); });
}

void MembershipWorld::drainAtEntry(const std::string &entry, const DrainRecord &record)
{
    auto &process = *processes_.at(entry);
    if (process.isAlive && !process.isPaused) {
        drains_.push_back({.record = record, .since = time_});
        perform(process, process.drains->addLocal(record, now()));
    }
}

void MembershipWorld::expectStop(const std::string &dataCentre, Time begin, Time end)
{
    stops_[dataCentre] = {begin, end};
}

void MembershipWorld::excuseUntil(Time time)
{
    faultsEnd_ = std::max(faultsEnd_, time);
}

void MembershipWorld::expectUpToDate(const std::string &dataCentre)
{
    for (const auto &[name, process] : processes_) {
        if (process->dataCentre == dataCentre && process->isAlive && !process->isPaused) {
            checkProcess(*process);
        }
    }
}

std::vector<std::string> MembershipWorld::readers(const std::string &dataCentre) const
{
    std::vector<std::string> names;
    for (const auto &[name, process] : processes_) {
        if (process->dataCentre == dataCentre && process->isAlive && process->catalogue->isReader(now())) {
            names.push_back(name);
        }
    }
    return names;
}

void MembershipWorld::checkProcess(const Process &process)
{
    const auto since = process.inForceSince.find(headVersion_);
    if (since == process.inForceSince.end() || since->second > std::max(acceptedAt_, faultsEnd_) + versionLimit) {
        fail(process.name + " does not have version " + std::to_string(headVersion_.value()) + " in force in time");
    }
    for (const auto &expectation : drains_) {
        const bool isDrained = !process.drains->set().find(expectation.record.scope, expectation.record.name).empty();
        if (isDrained == expectation.isRemoved) {
            fail(process.name + (isDrained ? " still has the removed drain " : " does not have the drain ")
                 + expectation.record.id.name());
        }
    }
}

void MembershipWorld::finish()
{
    checkApplied();
    expectUpToDate("a");
    expectUpToDate("b");
    const auto &history = rows_[drainsRowKey];
    const auto stored = history.empty() ? DrainSet() : *DrainSet::fromRowValue(history.back().row.value);
    for (const auto &expectation : drains_) {
        if (stored.find(expectation.record.scope, expectation.record.name).empty() != expectation.isRemoved) {
            fail("the table disagrees about the drain " + expectation.record.id.name());
        }
    }
    for (const std::string dataCentre : {"a", "b"}) {
        const auto &confirmed = rows_[confirmationsPrefix + dataCentre];
        const auto confirmations =
            confirmed.empty() ? Confirmations() : *confirmationsFromRowValue(confirmed.back().row.value);
        for (const auto &[name, process] : processes_) {
            const auto match = confirmations.find(name);
            if (process->isAlive && !process->isPaused && process->dataCentre == dataCentre
                && (match == confirmations.end() || match->second != headVersion_)) {
                fail("the table does not show that " + name + " has confirmed");
            }
        }
    }
    if (time_ - lastWork_["sc"] > 1s) {
        fail("no work starts on sc, which is not drained any more");
    }
}

} // namespace hornbeamlane::testing
