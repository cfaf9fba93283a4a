#include "hornbeamlane_entry/PeerLinks.h"

#include <algorithm>

namespace hornbeamlane {

PeerLinks::PeerLinks(EventLoop &loop, RandomSource &random, Options options, Callbacks callbacks)
    : loop_(loop)
    , random_(random)
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , listener_(loop, [this](std::intptr_t socket) { acceptLink(socket); })
{
}

bool PeerLinks::listen(const std::string &address)
{
    return listener_.listen(address);
}

std::uint16_t PeerLinks::port() const
{
    return listener_.port();
}

Link::Callbacks PeerLinks::callbacksFor(std::uint64_t id)
{
    Link::Callbacks callbacks;
    callbacks.opened = [this, id](const Hello &hello) { handleOpened(id, hello); };
    callbacks.closed = [this, id](LinkEnd, DecodeFailure) { handleClosed(id); };
    callbacks.received = [this, id](const Message &message) {
        const auto name = nameOfLink_.find(id);
        if (name != nameOfLink_.end()) {
            callbacks_.received(name->second, message);
        }
    };
    return callbacks;
}

void PeerLinks::acceptLink(std::intptr_t socket)
{
    const auto id = ++lastId_;
    accepted_[id] = Link::accept(loop_, socket, options_.link, callbacksFor(id));
}

void PeerLinks::dial(const HostRecord &host)
{
    const auto id = ++lastId_;
    dialled_[host.name] = id;
    connectors_[id] = std::make_unique<LinkConnector>(
        loop_, random_, LinkConnector::Options{.address = host.address, .link = options_.link}, callbacksFor(id));
}

std::map<HostId, HostRecord> PeerLinks::wantedPeers(const HostView &hosts) const
{
    std::map<HostId, HostRecord> wanted;
    std::map<DataCentreId, std::vector<HostRecord>> others;
    for (const auto &[name, host] : hosts.hosts()) {
        if (host.role != HostRole::Entry || name.name() == options_.name.name()) {
            continue;
        }
        if (host.dataCentre != options_.dataCentre) {
            others[host.dataCentre].push_back(host);
        } else if (options_.name.name() < name.name()) {
            wanted[name] = host;
        }
    }
    for (auto &[dataCentre, candidates] : others) {
        const auto weight = [this](const HostRecord &host) {
            return rendezvousWeight(options_.name.name(), host.name.name());
        };
        std::sort(candidates.begin(), candidates.end(),
                  [&](const HostRecord &left, const HostRecord &right) { return weight(left) > weight(right); });
        candidates.resize(std::min(candidates.size(), options_.peersPerDataCentre));
        for (const auto &host : candidates) {
            wanted[host.name] = host;
        }
    }
    return wanted;
}

void PeerLinks::updateHosts(const HostView &hosts)
{
    const auto wanted = wantedPeers(hosts);
    for (auto entry = dialled_.begin(); entry != dialled_.end();) {
        const auto found = wanted.find(entry->first);
        const auto id = entry->second;
        if (found != wanted.end() && found->second.address == connectors_.at(id)->address()) {
            ++entry;
            continue;
        }
        entry = dialled_.erase(entry);
        handleClosed(id);
        connectors_.erase(id);
    }
    for (const auto &[name, host] : wanted) {
        if (!dialled_.contains(name)) {
            dial(host);
        }
    }
}

Link *PeerLinks::linkOf(std::uint64_t id) const
{
    const auto accepted = accepted_.find(id);
    if (accepted != accepted_.end()) {
        return accepted->second.get();
    }
    const auto connector = connectors_.find(id);
    return connector != connectors_.end() ? connector->second->openLink() : nullptr;
}

void PeerLinks::handleOpened(std::uint64_t id, const Hello &hello)
{
    nameOfLink_[id] = hello.name;
    auto &peer = peers_[hello.name];
    peer.links[id] = linkOf(id);
    peer.hello = hello;
    callbacks_.up(hello.name, hello);
}

void PeerLinks::handleClosed(std::uint64_t id)
{
    loop_.post([this, id] { accepted_.erase(id); });
    const auto name = nameOfLink_.find(id);
    if (name == nameOfLink_.end()) {
        return;
    }
    const auto peerName = name->second;
    nameOfLink_.erase(name);
    auto &peer = peers_[peerName];
    peer.links.erase(id);
    if (peer.links.empty()) {
        const auto incarnation = peer.hello.incarnation;
        peers_.erase(peerName);
        callbacks_.down(peerName, incarnation);
    }
}

void PeerLinks::send(const std::string &peer, const Message &message)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        found->second.links.rbegin()->second->send(message);
    }
}

bool PeerLinks::isInOtherDataCentre(const std::string &peer) const
{
    const auto found = peers_.find(peer);
    return found != peers_.end() && found->second.hello.dataCentre != options_.dataCentre;
}

std::map<std::string, Incarnation> PeerLinks::peers() const
{
    std::map<std::string, Incarnation> result;
    for (const auto &[name, peer] : peers_) {
        result[name] = peer.hello.incarnation;
    }
    return result;
}

} // namespace hornbeamlane
