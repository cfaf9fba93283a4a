#pragma once

#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"
#include "hornbeamlane_network/hornbeamlane_network.h"

#include <functional>
#include <map>
#include <memory>

namespace hornbeamlane {

/** Keeps one link to the agent of each backend server in the catalogue. */
class AgentLinks final
{
public:
    struct Callbacks
    {
        std::function<void(const ServerId &, const Hello &)> opened;
        std::function<void(const ServerId &, const Message &)> received;
        /** The incarnation of the agent whose link ended; zero if it never opened. */
        std::function<void(const ServerId &, Incarnation, LinkEnd)> closed;
    };

    AgentLinks(EventLoop &loop, RandomSource &random, Link::Options options, Callbacks callbacks);

    /** Dials new servers and drops links to servers that the catalogue no longer has. */
    void applyCatalogue(const Catalogue &catalogue);

    bool isOpen(const ServerId &server) const;

    /** Incarnation of the agent on the open link. */
    std::optional<Incarnation> incarnation(const ServerId &server) const;

    /** Latest known time on the agent's own clock. */
    std::optional<std::chrono::milliseconds> agentTime(const ServerId &server) const;

    /** False if the link is not open; no byte of the message has then left the process. */
    bool send(const ServerId &server, const Message &message);

    /** Sends the message to all open links. */
    void broadcast(const Message &message);

private:
    struct Entry
    {
        std::unique_ptr<LinkConnector> connector;
        Incarnation incarnation;
        std::chrono::milliseconds agentTime{0};
    };

    void dial(const ServerId &server, const std::string &address);
    void handleOpened(const ServerId &server, const Hello &hello);
    void handleReceived(const ServerId &server, const Message &message);
    void handleClosed(const ServerId &server, LinkEnd end);
    const Entry *findOpen(const ServerId &server) const;

    EventLoop &loop_;
    RandomSource &random_;
    Link::Options linkOptions_;
    Callbacks callbacks_;
    std::map<ServerId, Entry> entries_;
};

} // namespace hornbeamlane
