#pragma once

#include "gateway/GatewayMessages.h"
#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamlane {

/** Entries that hear each other, servers that crash under certain prompt parts or name limits, and callers of them. */
class GatewayWorld final
{
public:
    struct Options
    {
        std::size_t entries = 3;
        std::size_t servers = 6;
        /** Time from the arrival of a deadly request to the crash of its server. */
        std::chrono::milliseconds crashDelay{10};
        /** Time after which a crashed server is back. */
        std::chrono::milliseconds downTime{150};
        /** Whether it comes back under the id that it had, and nothing tells its starts apart. */
        bool keepsIds = false;
        /** Whether entries are told the time of each start. */
        bool tellsStarts = false;
        /** Whether a server that crashes has sent the head of its answer before. */
        bool sendsHeadBeforeCrash = true;
        /** Whether the entries hear each other. */
        bool hasPeers = true;
        /** Whether the entries reach the table with the row of known crashes. */
        bool hasTable = false;
        /** Time that an entry which starts takes to read the table. */
        std::chrono::milliseconds tableReadTime{0};
        /** See GatewaySettings::crashLearningTime. */
        std::chrono::milliseconds learningTime{0};
    };

    explicit GatewayWorld(Options options);
    ~GatewayWorld();

    /** Parts under which servers crash as they begin to answer. */
    std::set<std::string> deadlyParts;

    /** Lookups and orders whose path begins so crash their server; empty: none does. */
    std::string deadlyPath;

    /** Servers answer lookups and orders with an error and do not run them. */
    bool isFailing = false;

    /** Time that servers take for other lookups and orders. */
    std::chrono::milliseconds lookupTime{0};

    /** Servers close a connection on which they have answered before when one of these lookups comes on it. */
    std::string closedPath;

    /** Lists of parts whose requests servers take and do not answer. */
    std::set<std::string> silentParts;

    Gateway &entry(std::size_t index)
    {
        return *entries_[index];
    }

    EventLoop &loop()
    {
        return loop_;
    }

    /** Ends an entry at once and starts another one in its place, which knows nothing. */
    void restartEntry(std::size_t index);

    /** Sends a stream request with these parts, such as "a:40,b:7,c:100", to an entry. */
    std::shared_ptr<CallerAnswer> send(std::size_t entry, const std::string &parts);

    /** Sends a lookup, which carries no parts of a prompt, in the name of a team, "glue" or "zip". */
    std::shared_ptr<CallerAnswer> sendLookup(std::size_t entry, const std::string &team, const std::string &path);

    /** Sends an order, which may run only once, in the name of a team. */
    std::shared_ptr<CallerAnswer> sendOrder(std::size_t entry, const std::string &team, const std::string &path);

    void crashServer(std::size_t index);

    /** Requests a second that the server names in its answers from now on; empty: none. */
    void setLimit(std::size_t server, std::optional<double> perSecond);

    /** When requests have reached a server, also in its earlier lifetimes. */
    const std::vector<TimePoint> &arrivals(std::size_t server) const;

    /** Whether the table answers; without it nothing is written or read. */
    void setTableReachable(bool isReachable)
    {
        isTableReachable_ = isReachable;
    }

    void runFor(std::chrono::milliseconds time);

    int crashes() const
    {
        return crashes_;
    }

    /** Requests with a deadly part or path that have reached servers. */
    int deadlyRequests() const
    {
        return static_cast<int>(deadlyArrivals_.size());
    }

    /** Those of them that came later than this after the third one had crashed its server. */
    int deadlyRequestsAfterThirdCrash(std::chrono::milliseconds time) const;

private:
    struct Server
    {
        std::unique_ptr<testing::ScriptedServer> process;
        std::string id;
        int lifetimes = 0;
        /** In milliseconds of Unix time. */
        std::uint64_t startedAt = 0;
        bool isUp = true;
        std::optional<double> limit;
        std::vector<TimePoint> arrivals;
    };

    void startEntry(std::size_t index);
    void introduceEntries();
    /** Lists a server at one entry under its present id. */
    void listServerAt(Gateway &entry, const Server &server);
    void writeRow(const std::string &value, RowVersion expected, const TableClient::ReplyHandler &handler);
    /** All entries read the row that has just been written. */
    void readRow();
    void readTable(std::size_t entry);
    void listServer(Server &server);
    void answerLookup(Server &server, testing::ScriptedServer::Connection &connection, const std::string &head);
    bool isLookup(const std::string &head) const;
    /** The server crashes under the request that has just reached it. */
    void crashUnderRequest(Server &server);
    void answerRequest(Server &server, testing::ScriptedServer::Connection &connection, const std::string &head);
    bool isDeadly(const std::string &parts) const;
    std::shared_ptr<CallerAnswer> callForTeam(std::size_t entry, const std::string &team, const std::string &method,
                                              const std::string &path);
    std::shared_ptr<CallerAnswer> call(std::size_t entry, Http1ClientConnection::Request request);
    void later(std::chrono::milliseconds delay, std::function<void()> action);

    EventLoop loop_;
    RandomSource random_{5};
    Options options_;
    std::vector<std::unique_ptr<Gateway>> entries_;
    std::vector<Server> servers_;
    /** Connections of callers, each with its answer. */
    std::list<std::pair<std::unique_ptr<Http1ClientConnection>, std::shared_ptr<CallerAnswer>>> callers_;
    std::vector<std::unique_ptr<Timer>> timers_;
    std::string row_;
    RowVersion rowVersion_;
    bool isTableReachable_ = false;
    int attempts_ = 0;
    int crashes_ = 0;
    std::vector<TimePoint> deadlyArrivals_;
};

} // namespace hornbeamlane
