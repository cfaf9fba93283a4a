#pragma once

#include "hornbeamlane_membership/hornbeamlane_membership.h"
#include "hornbeamlane_network/hornbeamlane_network.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hornbeamlane {

/**
    Links to other entries: to all of the own data centre and to two of each other data centre.

    Of two entries in one data centre, the one with the lower name dials. Peers in other data centres are chosen by
    rendezvous hashing, so that the links to a data centre are spread over its entries.
*/
class PeerLinks final
{
public:
    struct Options
    {
        EntryHostId name;
        DataCentreId dataCentre;
        std::size_t peersPerDataCentre = 2;
        Link::Options link;
    };

    struct Callbacks
    {
        std::function<void(const std::string &peer, const Hello &)> up;
        std::function<void(const std::string &peer, Incarnation)> down;
        std::function<void(const std::string &peer, const Message &)> received;
    };

    PeerLinks(EventLoop &loop, RandomSource &random, Options options, Callbacks callbacks);

    bool listen(const std::string &address);
    std::uint16_t port() const;

    /** Dials new peers and drops links to those that are gone from the list. */
    void updateHosts(const HostView &hosts);

    void send(const std::string &peer, const Message &message);

    /** Whether a peer of another data centre is linked under this name. */
    bool isInOtherDataCentre(const std::string &peer) const;

    /** Incarnations of all linked peers by name. */
    std::map<std::string, Incarnation> peers() const;

private:
    struct Peer
    {
        std::map<std::uint64_t, Link *> links;
        Hello hello;
    };

    Link::Callbacks callbacksFor(std::uint64_t id);
    void acceptLink(std::intptr_t socket);
    void dial(const HostRecord &host);
    void handleOpened(std::uint64_t id, const Hello &hello);
    void handleClosed(std::uint64_t id);
    std::map<HostId, HostRecord> wantedPeers(const HostView &hosts) const;
    Link *linkOf(std::uint64_t id) const;

    EventLoop &loop_;
    RandomSource &random_;
    Options options_;
    Callbacks callbacks_;
    LinkListener listener_;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Link>> accepted_;
    std::map<std::uint64_t, std::unique_ptr<LinkConnector>> connectors_;
    std::map<HostId, std::uint64_t> dialled_;
    std::map<std::uint64_t, std::string> nameOfLink_;
    std::map<std::string, Peer> peers_;
};

} // namespace hornbeamlane
