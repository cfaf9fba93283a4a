#pragma once

#include "hornbeamlane_daemon/hornbeamlane_daemon.h"
#include "hornbeamlane_entry/AgentLinks.h"
#include "hornbeamlane_entry/ClaimedFlow.h"
#include "hornbeamlane_entry/DirectFlow.h"
#include "hornbeamlane_entry/EntryRouting.h"
#include "hornbeamlane_entry/EntrySettings.h"
#include "hornbeamlane_entry/PeerLinks.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"
#include "hornbeamlane_observability/logging/RefusedConnections.h"

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

    /** Starts to listen for callers and peers; false if an address cannot be bound. */
    bool start();

    /** Port in use after a successful start(). */
    std::uint16_t httpPort() const;

    /** Fails /readyz at once, then stops accepting, and calls the handler when no request is running. */
    void shutDown(std::function<void()> done);

private:
    using Exchange = std::shared_ptr<HttpExchange>;
    using FlowId = std::uint64_t;

    void handleHttp(const Exchange &exchange);
    void handleCall(const Exchange &exchange);
    void handleAdminDrain(const Exchange &exchange);
    void replyStatus(const Exchange &exchange);
    HttpResponse readiness() const;
    bool isReady() const;
    bool mayServe() const;

    void startFlow(CallerRequest request, const Exchange &exchange);
    RequestFlow::Hooks flowHooks(FlowId flow);
    ClaimedFlow::TableHooks tableHooks(FlowId flow);
    CallerReply::Hooks replyHooks(const CallerRequest &request);
    std::optional<RequestFlow::Target> chooseTarget(const CallerRequest &request, const std::vector<ServerId> &tried,
                                                    RequestFlow::NoTarget &none);
    void settleFlow(FlowId flow);
    void forEachFlow(const std::function<void(RequestFlow &)> &visitor);
    void wakeFlows();

    void handleAgentMessage(const ServerId &server, const Message &message);
    void handleAgentLinkUp(const ServerId &server, const Hello &hello);
    void handleAgentLinkDown(const ServerId &server, Incarnation incarnation, LinkEnd end);
    void handlePeerMessage(const std::string &peer, const Message &message);
    void sendToPeer(const std::string &peer, const Message &message);
    void updatePeers();
    void shareQuarantine();

    void applyCatalogue(const Catalogue &catalogue);
    void pollHosts();
    void handleHosts(const HttpResponse &response);
    void housekeep();
    void stopAccepting();
    void reportIfIdle();
    Hello hello() const;

    EventLoop &loop_;
    EntrySettings settings_;
    Incarnation incarnation_;
    /** What is held for all callers; outlives their connections. */
    MemoryAccount memory_;
    HttpServer server_;
    HttpTableClient table_;
    AgentLinks agents_;
    PeerLinks peers_;
    MembershipNode membership_;
    EntryRouting routing_;
    ContactWatch contact_;
    RetryBudget retryBudget_;
    MetricsRegistry metrics_;
    RefusedConnections refusedConnections_;
    PrefixHasher prefixHasher_;
    Timer housekeepingTimer_;
    Timer hostsTimer_;
    Timer flowTimer_;
    Timer shutdownTimer_;
    std::map<FlowId, std::unique_ptr<RequestFlow>> flows_;
    std::map<AttemptId, FlowId> flowOfAttempt_;
    FlowId lastFlow_ = 0;
    std::uint64_t lastAttempt_ = 0;
    TimePoint reselectTeamsAt_;
    bool isLeaving_ = false;
    bool hasStoppedAccepting_ = false;
    std::function<void()> whenIdle_;
};

} // namespace hornbeamlane
