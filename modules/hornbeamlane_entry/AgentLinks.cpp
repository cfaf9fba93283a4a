#include "hornbeamlane_entry/AgentLinks.h"

namespace hornbeamlane {

AgentLinks::AgentLinks(EventLoop &loop, RandomSource &random, Link::Options options, Callbacks callbacks)
    : loop_(loop)
    , random_(random)
    , linkOptions_(std::move(options))
    , callbacks_(std::move(callbacks))
{
}

void AgentLinks::applyCatalogue(const Catalogue &catalogue)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto found = catalogue.servers.find(entry->first);
        const bool isKept =
            found != catalogue.servers.end() && found->second.agentAddress == entry->second.connector->address();
        if (isKept) {
            ++entry;
            continue;
        }
        const auto server = entry->first;
        const auto incarnation = entry->second.incarnation;
        entry = entries_.erase(entry);
        callbacks_.closed(server, incarnation, LinkEnd::ClosedLocally);
    }
    for (const auto &[server, description] : catalogue.servers) {
        if (!entries_.contains(server)) {
            dial(server, description.agentAddress);
        }
    }
}

void AgentLinks::dial(const ServerId &server, const std::string &address)
{
    Link::Callbacks callbacks;
    callbacks.opened = [this, server](const Hello &hello) { handleOpened(server, hello); };
    callbacks.received = [this, server](const Message &message) { handleReceived(server, message); };
    callbacks.closed = [this, server](LinkEnd end, DecodeFailure) { handleClosed(server, end); };
    entries_[server].connector = std::make_unique<LinkConnector>(
        loop_, random_, LinkConnector::Options{.address = address, .link = linkOptions_}, std::move(callbacks));
}

void AgentLinks::handleOpened(const ServerId &server, const Hello &hello)
{
    auto &entry = entries_[server];
    entry.incarnation = hello.incarnation;
    entry.agentTime = hello.localTime;
    callbacks_.opened(server, hello);
}

void AgentLinks::handleReceived(const ServerId &server, const Message &message)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        entries_[server].agentTime = heartbeat->localTime;
    }
    callbacks_.received(server, message);
}

void AgentLinks::handleClosed(const ServerId &server, LinkEnd end)
{
    const auto incarnation = std::exchange(entries_[server].incarnation, Incarnation());
    callbacks_.closed(server, incarnation, end);
}

const AgentLinks::Entry *AgentLinks::findOpen(const ServerId &server) const
{
    const auto found = entries_.find(server);
    const bool isOpen = found != entries_.end() && found->second.connector->openLink() != nullptr;
    return isOpen ? &found->second : nullptr;
}

bool AgentLinks::isOpen(const ServerId &server) const
{
    return findOpen(server) != nullptr;
}

std::optional<Incarnation> AgentLinks::incarnation(const ServerId &server) const
{
    const auto *entry = findOpen(server);
    return entry != nullptr ? std::optional(entry->incarnation) : std::nullopt;
}

std::optional<std::chrono::milliseconds> AgentLinks::agentTime(const ServerId &server) const
{
    const auto *entry = findOpen(server);
    return entry != nullptr ? std::optional(entry->agentTime) : std::nullopt;
}

bool AgentLinks::send(const ServerId &server, const Message &message)
{
    const auto *entry = findOpen(server);
    return entry != nullptr && entry->connector->openLink()->send(message);
}

void AgentLinks::broadcast(const Message &message)
{
    for (const auto &[server, entry] : entries_) {
        send(server, message);
    }
}

} // namespace hornbeamlane
