#pragma once

#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>

namespace hornbeamlane::measure {

/**
    Seeded requests and late reports that drive the real routing decisions: 3 data centres, 16 model servers, 8 entries.

    Servers are reduced to what routing reacts to: slots, a bounded queue, a prefix cache with least recently used
    replacement, and a limit that grows after a start. Time is virtual and in seconds.
*/
class RoutingLoad final
{
public:
    struct Departure
    {
        double leavesAt = 90;
        double returnsAt = 180;
        /** The data centre fails without notice instead of being drained. */
        bool isSudden = false;
    };

    struct Setup
    {
        std::uint64_t seed = 1;
        double seconds = 120;
        /** Offered load over the slots of all servers. */
        double utilisation = 0.7;
        /** Figures count only requests that arrive after this time, when caches and reports are filled. */
        double countFrom = 30;
        ServerChooser::Options chooser;
        /** Policy of each entry; empty for the default. */
        std::function<ServerChooser::Policy()> policy;
        SpillPolicy::Options spill;
        std::optional<Departure> departure;
    };

    struct Result
    {
        std::uint64_t requests = 0;
        std::uint64_t onTime = 0;
        std::uint64_t refused = 0;
        std::uint64_t late = 0;
        /** Attempts that ended because their server or entry was lost. */
        std::uint64_t cut = 0;
        std::uint64_t runTwice = 0;
        std::uint64_t refusedHighest = 0;
        std::uint64_t highest = 0;
        std::vector<double> firstTokens;
        double cachedBlocks = 0;
        double blocks = 0;
        /** Mean over time of the most loaded server over the mean load. */
        double imbalance = 0;
        /** Last time after the departure at which the data centre was sent new work. */
        double lastNewWork = 0;
        /** Highest load over limit of another data centre during the absence. */
        double peakOfOthers = 0;
    };

    explicit RoutingLoad(Setup setup);
    ~RoutingLoad();
    RoutingLoad(const RoutingLoad &) = delete;
    RoutingLoad &operator=(const RoutingLoad &) = delete;

    Result run();

private:
    struct Request
    {
        TeamId team;
        double rank = 0;
        std::vector<std::uint64_t> prefixes;
        double arrivedAt = 0;
        std::size_t entry = 0;
        std::size_t server = 0;
        Incarnation serverIncarnation;
        int attempts = 0;
        bool hasStarted = false;
        bool hasFirstToken = false;
        bool isCounted = false;
        /** Events of an earlier attempt are void. */
        std::uint64_t epoch = 0;
        std::vector<std::size_t> tried;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Server
    {
        ServerId id;
        std::size_t dataCentre = 0;
        Incarnation incarnation;
        bool isAlive = true;
        std::uint32_t limit = 0;
        bool hasAnswered = false;
        std::vector<RequestPointer> running;
        std::deque<RequestPointer> queue;
        std::list<std::uint64_t> cacheOrder;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
        std::uint64_t cacheSequence = 0;
        std::vector<std::uint64_t> cached;
        std::vector<std::uint64_t> evicted;
    };

    struct Entry
    {
        std::size_t dataCentre = 0;
        bool isAlive = true;
        double reportLag = 0;
        ServerView view;
        PrefixCacheView cache;
        std::unique_ptr<ServerChooser> chooser;
        std::unique_ptr<SpillPolicy> spill;
    };

    struct Event
    {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };

    void schedule(double delay, std::function<void()> run);
    TimePoint now() const;
    void scheduleArrival(std::size_t dataCentre);
    RequestPointer makeRequest();
    std::size_t entryFor(std::size_t dataCentre);
    void route(const RequestPointer &request);
    void refuse(const RequestPointer &request);
    void accept(const RequestPointer &request);
    void start(Server &server, const RequestPointer &request);
    void finish(Server &server, const RequestPointer &request);
    double useCache(Server &server, const Request &request);
    void report(std::size_t server);
    void connect(std::size_t server);
    void sample();
    void scheduleDeparture();
    void loseDataCentre();
    void returnDataCentre();
    void cutAttempt(const RequestPointer &request);

    Setup setup_;
    RandomSource random_;
    Result result_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    double now_ = 0;
    std::vector<Server> servers_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::uint64_t samples_ = 0;
    /** Whether callers reach the entries of data centre 0. */
    bool isReachable_ = true;
    bool isAbsent_ = false;
};

} // namespace hornbeamlane::measure
