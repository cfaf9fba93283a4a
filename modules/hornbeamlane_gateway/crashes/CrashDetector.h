#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_network/socket/ConnectProbe.h"
#include "hornbeamlane_routing/crashes/FailedSends.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** One start of a backend server, as it was when a request was sent to it. */
struct ServerStart
{
    ServerId server;
    std::uint64_t incarnation = 0;
    std::string address;

    ServerKey serverKey() const;
    ServerStartKey key() const;
};

/** What shows that a server has crashed. */
enum class CrashSign {
    ConnectionRefused, ///< Nobody listens at its address; it may also be cut off.
    StartedAgain,
    AddressTaken, ///< Another server has its address.
};

std::string_view toString(CrashSign sign);

/**
    Tells servers that have crashed from connections that broke.

    A server seems to have crashed if it refuses connections right after one broke, and has if another start of it, or
    another server, has its address without its having announced its end. One that cannot be reached is not looked at.
    If it still accepts connections after one broke, that one was closed by a server that lives, mostly a kept
   connection that had been idle for too long; or the next start is there already, as its entry tells later.
*/
class CrashDetector final
{
public:
    struct Options
    {
        std::chrono::milliseconds probeTimeout{120};
        /** Time after a refused or accepted probe for which the same start is not probed again. */
        std::chrono::milliseconds probePause{200};
        std::function<TimeOfDay()> timeOfDay = [] { return std::chrono::system_clock::now(); };
        /** A refused connection shows the cause of what broke off within this time before; what failed earlier may have
            failed because the server is cut off. */
        std::chrono::milliseconds refusalReach{400};
    };

    struct Hooks
    {
        /** Requests without an answer that are at the server now. */
        std::function<std::vector<LostRequest>(const ServerId &)> unanswered;
        /** The server has crashed with these requests, or more than once if its starts could not be told apart. */
        std::function<void(const ServerStart &, CrashSign, const std::vector<LostRequest> &)> crashed;
    };

    CrashDetector(EventLoop &loop, const BackendBook &servers, Options options, Hooks hooks);

    /** The connection broke before an answer; `checked` runs once it is known whether the server has crashed. */
    void onBrokenOff(const ServerStart &start, LostRequest request, std::function<void()> checked);

    /** The request was given up without an answer, which says nothing if the server lives on. */
    void onGivenUp(const ServerStart &start, LostRequest request);

    /** Looks for the ends of servers in their entries. */
    void sweep(TimePoint now);

private:
    struct Probe
    {
        ServerStart start;
        std::unique_ptr<ConnectProbe> connection;
        TimePoint begunAt;
        TimePoint endedAt;
        std::vector<std::function<void()>> checked;
        /** The same for connections that broke after it had begun, of which it says nothing if the server listens. */
        std::vector<std::function<void()>> checkedNext;
        /** Connections have broken in the pause after it. */
        bool isDue = false;
    };

    bool isLeaving(const ServerId &server) const;
    void probe(const ServerStart &start, std::function<void()> checked);
    void beginProbe(Probe &probe);
    void probeWhatIsDue(TimePoint now);
    void finishProbe(ServerStartKey key, ConnectProbe::Result result);
    /** The end of a start, as the entries of the servers tell it. */
    struct End
    {
        CrashSign sign = CrashSign::StartedAgain;
        /** When the next start at the address began; empty if its entry does not tell. */
        std::optional<TimeOfDay> nextStart;
    };

    /** Empty if the start has not ended. */
    std::optional<End> endOf(const ServerStart &start) const;

    EventLoop &loop_;
    const BackendBook &servers_;
    Options options_;
    Hooks hooks_;
    FailedSends failed_;
    /** Starts at which requests failed, until these are forgotten. */
    std::map<ServerStartKey, ServerStart> watched_;
    std::map<ServerStartKey, Probe> probes_;
};

} // namespace hornbeamlane
