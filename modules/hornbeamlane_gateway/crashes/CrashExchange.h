#pragma once

#include "hornbeamlane_gateway/crashes/CrashMessage.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_routing/crashes/CrashEvidence.h"
#include "hornbeamlane_routing/crashes/SuspectTrials.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/**
    Keeps the evidence of this entry equal to that of the others.

    News go to all of them at once. What is lost is made up for: each load message carries a digest of the evidence, and
    two entries with different ones send each other all they know.
*/
class CrashExchange final
{
public:
    struct Options
    {
        Incarnation incarnation;
        /** Messages stay below the usual size of a frame unless a single crash is larger. */
        std::size_t maxCrashesInMessage = 4;
        /** Time between two messages with claims while there are any. */
        std::chrono::milliseconds claimInterval{250};
        /** Time between two messages to a peer with another digest, doubled up to the bound while it does not change.
         */
        std::chrono::milliseconds firstResend{100};
        std::chrono::milliseconds maxResend{2000};
    };

    struct Hooks
    {
        std::function<void(const std::string &bytes)> sendToAll;
        std::function<void(const std::string &address, const std::string &bytes)> sendTo;
        /** Evidence or claims of others have changed what is known here. */
        std::function<void()> changed;
        /** Another entry has told of a crash. */
        std::function<void(const ServerCrash &, CrashNews)> told;
        /** Another entry knows the same of crashes as this one, and some. */
        std::function<void()> agreed;
    };

    CrashExchange(EventLoop &loop, CrashEvidence &evidence, SuspectTrials &trials, Options options, Hooks hooks);

    /** This entry has learned something of these crashes. */
    void tellCrashes(const std::vector<CrashId> &ids);

    /** The claims of this entry have changed. */
    void tellClaims();

    void onPeerDigest(const std::string &address, std::uint64_t digest);

    /** False for bytes that are no message of this kind. */
    bool onMessage(std::string_view bytes);

    void sweep(TimePoint now);

private:
    /** What was last sent to a peer whose digest differs from ours. */
    struct Resend
    {
        std::uint64_t ownDigest = 0;
        std::uint64_t peerDigest = 0;
        TimePoint sentAt;
        std::chrono::milliseconds pause{0};
    };

    /** Sends crashes in messages of bounded size. */
    void sendCrashes(const std::vector<ServerCrash> &crashes, const std::function<void(const std::string &)> &send);
    void takeClaims(const TrialUpdate &update);

    EventLoop &loop_;
    CrashEvidence &evidence_;
    SuspectTrials &trials_;
    Options options_;
    Hooks hooks_;
    Timer claimTimer_;
    std::uint64_t sequence_ = 0;
    /** Newest message of each sender. */
    std::map<Incarnation, std::uint64_t> sequences_;
    std::map<std::string, Resend> resends_;
};

} // namespace hornbeamlane
