#pragma once

#include "hornbeamlane_entry/AgentLinks.h"
#include "hornbeamlane_entry/CallerRequest.h"
#include "hornbeamlane_entry/EntrySettings.h"
#include "hornbeamlane_entry/RequestFlow.h"

#include <functional>
#include <map>
#include <memory>

namespace hornbeamlane {

/** The entry process: serves callers and sends their requests to agents. */
class Entry final
{
public:
    Entry(EventLoop &loop, RandomSource &random, EntrySettings settings);
    ~Entry();

    /** Starts to listen for callers; false if the address cannot be bound. */
    bool start();

    std::uint16_t httpPort() const;

    /** Fails /readyz at once, then stops accepting, and calls the handler when no request is running. */
    void shutDown(std::function<void()> done);

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    void handleHttp(const Exchange &exchange);
    void handleCall(const Exchange &exchange);
    void handleMessage(const ServerId &server, const Message &message);
    void handleLinkClosed(const ServerId &server, Incarnation incarnation, LinkEnd end);
    std::optional<ServerId> chooseServer(const CallerRequest &request, const std::vector<ServerId> &tried) const;
    void removeFlow(std::uint64_t flow);
    void stopAccepting();
    void reportIfIdle();
    void pollCatalogue();
    void readDocument(CatalogueVersion version);
    Hello hello() const;

    EventLoop &loop_;
    EntrySettings settings_;
    Incarnation incarnation_;
    HttpServer server_;
    HttpTableClient table_;
    Timer pollTimer_;
    Timer shutdownTimer_;
    AgentLinks links_;
    std::optional<Catalogue> catalogue_;
    CatalogueVersion version_;
    std::map<std::uint64_t, std::unique_ptr<RequestFlow>> flows_;
    std::map<AttemptId, std::uint64_t> flowOfAttempt_;
    std::uint64_t lastFlow_ = 0;
    std::uint64_t lastAttempt_ = 0;
    bool isLeaving_ = false;
    bool hasStoppedAccepting_ = false;
    std::function<void()> whenIdle_;
};

} // namespace hornbeamlane
