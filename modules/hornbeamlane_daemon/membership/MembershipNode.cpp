#include "hornbeamlane_daemon/membership/MembershipNode.h"

#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <charconv>

namespace hornbeamlane {

namespace {

/** Row with the settled version, so that a new reader does not have to find it anew. */
constexpr const char *settledKey = "catalogue/settled";

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end ? std::optional(number) : std::nullopt;
}

std::set<ServerId> serversOf(const Catalogue &catalogue)
{
    std::set<ServerId> servers;
    for (const auto &[id, server] : catalogue.servers) {
        servers.insert(id);
    }
    return servers;
}

} // namespace

MembershipNode::MembershipNode(EventLoop &loop, Options options, Hooks hooks)
    : loop_(loop)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
    , catalogueKeeper_({.name = options_.name,
                        .role = options_.role,
                        .dataCentre = options_.dataCentre,
                        .hasTable = options_.table != nullptr},
                       loop.now())
    , drainKeeper_(DrainKeeper::Options{.hasTable = options_.table != nullptr})
    , confirmations_(ConfirmationBook::Options{.dataCentre = options_.dataCentre})
    , tickTimer_(loop, [this] { tick(); })
    , settlementTimer_(loop, [this] { updateSettlement(); })
{
}

void MembershipNode::start()
{
    tick();
    tickTimer_.startRepeating(options_.tickInterval);
    if (options_.table != nullptr) {
        settlementTimer_.startRepeating(options_.settlementInterval);
    }
}

bool MembershipNode::isReady() const
{
    return catalogueKeeper_.isReady() && drainKeeper_.isReady();
}

CatalogueVersion MembershipNode::version() const
{
    return catalogueKeeper_.version();
}

CatalogueVersion MembershipNode::settledVersion() const
{
    return catalogueKeeper_.settledVersion();
}

const std::shared_ptr<const Catalogue> &MembershipNode::catalogue() const
{
    return catalogueKeeper_.catalogue();
}

const DrainSet &MembershipNode::drains() const
{
    return drainKeeper_.set();
}

const Confirmations &MembershipNode::confirmations() const
{
    return confirmations_.confirmations();
}

bool MembershipNode::mayStartWork(const HostId &host, const ServerId &server) const
{
    return drainKeeper_.mayStartWork(options_.dataCentre, host, server);
}

bool MembershipNode::isReader() const
{
    return options_.table != nullptr && catalogueKeeper_.isReader(loop_.now());
}

Heartbeat MembershipNode::heartbeat(bool isLeaving) const
{
    return {.localTime = std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now().time_since_epoch()),
            .catalogueVersion = version(),
            .drainVersion = drains().digest(),
            .leaving = isLeaving};
}

void MembershipNode::updateHosts(const HostView &hosts)
{
    catalogueKeeper_.updateHosts(hosts);
}

void MembershipNode::linkUp(const std::string &peer, const Hello &hello)
{
    if (hello.role == ProcessRole::Entry && hello.dataCentre == options_.dataCentre) {
        entryPeers_.insert(peer);
    }
    run(catalogueKeeper_.linkUp(peer, hello, loop_.now()));
    run(drainKeeper_.linkUp(peer, loop_.now()));
    if (confirmed_.value() > 0 && entryPeers_.contains(peer)) {
        hooks_.send(peer, CatalogueConfirm{.version = confirmed_, .processes = {options_.name}});
    }
}

void MembershipNode::linkDown(const std::string &peer)
{
    entryPeers_.erase(peer);
    catalogueKeeper_.linkDown(peer);
    drainKeeper_.linkDown(peer);
}

void MembershipNode::onMessage(const std::string &peer, const Message &message)
{
    const auto now = loop_.now();
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        run(catalogueKeeper_.onHeartbeat(peer, *heartbeat, now));
        run(drainKeeper_.onHeartbeat(peer, *heartbeat, now));
    } else if (const auto *update = std::get_if<CatalogueUpdate>(&message)) {
        const auto settledBefore = settledVersion();
        run(catalogueKeeper_.onUpdate(peer, *update, now));
        // A reader of another data centre tells two entries here, which pass it on.
        if (settledVersion() > settledBefore && options_.table != nullptr) {
            run(catalogueKeeper_.announceSettledVersion());
        }
    } else if (const auto *request = std::get_if<CatalogueRequest>(&message)) {
        run(catalogueKeeper_.onRequest(peer, *request, now));
        run(drainKeeper_.onRequest(peer, now));
    } else if (const auto *confirm = std::get_if<CatalogueConfirm>(&message)) {
        for (const auto &process : confirm->processes) {
            confirmations_.note(process, confirm->version);
        }
        run(catalogueKeeper_.onConfirm(peer, *confirm, now));
    } else if (const auto *drains = std::get_if<DrainUpdate>(&message)) {
        run(drainKeeper_.onUpdate(peer, *drains, now));
    }
    reportDrainChange();
}

void MembershipNode::addLocalDrain(const DrainRecord &record)
{
    run(drainKeeper_.addLocal(record, loop_.now()));
    reportDrainChange();
}

void MembershipNode::removeLocalDrain(const DrainId &id)
{
    run(drainKeeper_.removeLocal(id, loop_.now()));
    reportDrainChange();
}

void MembershipNode::tick()
{
    const auto now = loop_.now();
    run(catalogueKeeper_.tick(now));
    run(drainKeeper_.tick(isReader() || !drainKeeper_.isReady(), now));
    if (options_.table != nullptr) {
        run(confirmations_.tick(isReader(), now));
    }
    confirmWhenAllowed();
    reportDrainChange();
}

void MembershipNode::run(const KeeperActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *read = std::get_if<ReadRow>(&action)) {
            runRead(read->key);
        } else if (const auto *write = std::get_if<WriteRow>(&action)) {
            runWrite(write->write);
        } else if (const auto *send = std::get_if<SendToPeer>(&action)) {
            sendToPeer(send->peer, send->message);
        } else if (const auto *inForce = std::get_if<PutInForce>(&action)) {
            logEvent(LogLevel::Info, "catalogue_in_force", {{"version", std::to_string(inForce->version.value())}});
            hooks_.inForce(inForce->version, *inForce->catalogue);
            confirmWhenAllowed();
        }
    }
}

void MembershipNode::runRead(const std::string &key)
{
    HORNBEAMLANE_ASSERT(options_.table != nullptr);
    options_.table->read(key, [this, key](const TableReply &reply) {
        if (key == drainsRowKey) {
            run(drainKeeper_.onRow(reply, loop_.now()));
            reportDrainChange();
        } else if (key.starts_with(confirmationsPrefix)) {
            confirmations_.onRow(reply);
        } else {
            run(catalogueKeeper_.onRow(key, reply, loop_.now()));
        }
    });
}

void MembershipNode::runWrite(const TableWrite &write)
{
    HORNBEAMLANE_ASSERT(options_.table != nullptr);
    options_.table->write(write, [this, key = write.key](const TableReply &reply) {
        if (key == drainsRowKey) {
            run(drainKeeper_.onWritten(reply, loop_.now()));
        } else {
            confirmations_.onWritten(reply);
        }
    });
}

void MembershipNode::sendToPeer(const std::string &peer, const Message &message)
{
    // An agent confirms later than it puts a version in force; see confirmWhenAllowed().
    const auto *confirm = std::get_if<CatalogueConfirm>(&message);
    if (confirm == nullptr || confirm->version <= confirmed_) {
        hooks_.send(peer, message);
    }
}

void MembershipNode::confirmWhenAllowed()
{
    const auto inForce = version();
    if (inForce <= confirmed_ || (hooks_.mayConfirm && !hooks_.mayConfirm(inForce))) {
        return;
    }
    confirmed_ = inForce;
    confirmations_.note(options_.name, inForce);
    for (const auto &peer : entryPeers_) {
        hooks_.send(peer, CatalogueConfirm{.version = inForce, .processes = {options_.name}});
    }
}

void MembershipNode::reportDrainChange()
{
    const auto digest = drains().digest();
    if (digest != drainDigest_) {
        drainDigest_ = digest;
        logEvent(LogLevel::Info, "drains_changed", {{"in_force", std::to_string(drains().inForce().size())}});
        hooks_.drainsChanged(drains());
    }
}

void MembershipNode::updateSettlement()
{
    if (!isReader()) {
        return;
    }
    if (!settlement_) {
        options_.table->read(settledKey, [this](const TableReply &reply) {
            if (reply.status == TableStatus::Ok) {
                const auto number = parseNumber(reply.row->value);
                settledRowVersion_ = reply.row->version;
                settlement_.emplace(SettlementTracker::Options{}, CatalogueVersion(number.value_or(0)));
                catalogueKeeper_.setSettledVersion(CatalogueVersion(number.value_or(0)));
            } else if (reply.status == TableStatus::NotFound) {
                settlement_.emplace(SettlementTracker::Options{}, CatalogueVersion());
            }
        });
        return;
    }
    options_.table->read(catalogueHeadKey, [this](const TableReply &reply) { handleHead(reply); });
}

void MembershipNode::handleHead(const TableReply &reply)
{
    const auto head = reply.status == TableStatus::Ok ? CatalogueHead::fromRowValue(reply.row->value) : std::nullopt;
    if (!head) {
        return;
    }
    head_ = *head;
    if (const auto missing = settlement_->missingVersion(head_)) {
        options_.table->read(catalogueRowKey(*missing), [this, missing](const TableReply &document) {
            DocumentFaults faults;
            const auto catalogue =
                document.status == TableStatus::Ok ? readCatalogue(document.row->value, faults) : std::nullopt;
            if (catalogue) {
                settlement_->addVersion(*missing, serversOf(*catalogue));
            }
        });
        return;
    }
    options_.table->list(confirmationsPrefix, [this](TableStatus status, const std::vector<TableRow> &rows) {
        if (status != TableStatus::Ok) {
            return;
        }
        Confirmations all;
        for (const auto &row : rows) {
            for (const auto &[process, version] : confirmationsFromRowValue(row.value).value_or(Confirmations())) {
                all[process] = std::max(all[process], version);
            }
        }
        advanceSettlement(all);
    });
}

void MembershipNode::advanceSettlement(const Confirmations &confirmations)
{
    const auto settled = settlement_->update(head_, confirmations);
    if (settled > catalogueKeeper_.settledVersion()) {
        catalogueKeeper_.setSettledVersion(settled);
        run(catalogueKeeper_.announceSettledVersion());
        storeSettled(settled);
    }
}

void MembershipNode::storeSettled(CatalogueVersion version)
{
    const TableWrite write{
        .key = settledKey, .expectedVersion = settledRowVersion_, .value = std::to_string(version.value())};
    options_.table->write(write, [this](const TableReply &reply) {
        if (reply.status == TableStatus::Ok) {
            settledRowVersion_ = reply.row->version;
        } else {
            // Another reader may have written a higher value; both start again from the row.
            settlement_.reset();
        }
    });
}

} // namespace hornbeamlane
