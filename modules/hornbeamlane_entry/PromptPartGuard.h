#pragma once

#include "hornbeamlane_entry/CallerRequest.h"
#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/**
    Keeps requests with a part of a prompt that crashes engines from reaching more of them.

    CrashQuarantine does the same for a request that is sent again as it is; this one also sees what different requests
    share. Entries tell each other what they learn; one that starts is told all of it by the first that it links to.
*/
class PromptPartGuard final
{
public:
    enum class Decision {
        Send,
        Wait, ///< Another request tries the suspect; ask again shortly.
        Refuse,
    };

    /** `tellPeers` sends a message to all linked entries. */
    PromptPartGuard(Incarnation self, std::function<void(const Message &)> tellPeers);

    Decision decide(const CallerRequest &request, TimePoint now);

    /** Only after Decision::Refuse. */
    Refusal refusal(const CallerRequest &request, TimePoint now);

    void onDispatched(const AttemptId &attempt, const CallerRequest &request, Incarnation agent, TimePoint now);

    /** The head of an answer has come. */
    void onHead(const AttemptId &attempt, int status);

    /** A part of an answer's body has come, so its server lives. */
    void onAnswerBegun(const AttemptId &attempt, TimePoint now);

    void onEnded(const AttemptId &attempt, TimePoint now);

    /** The request is over, whatever has become of it. */
    void onRequestEnded(RequestNumber request, TimePoint now);

    /** The agent's engine broke off what it ran, so it may have crashed; loss 0 stands for the end of the agent itself.
     */
    void onEngineLost(Incarnation agent, std::uint64_t loss, TimePoint now);

    void merge(const CrashUpdate &update, TimePoint now);
    void merge(const TrialUpdate &update, TimePoint now);

    /** All that is known, for an entry that has just been linked. */
    CrashUpdate everything(TimePoint now) const;

    /** Call several times a second. */
    void sweep(TimePoint now);

private:
    struct Attempt
    {
        RequestNumber request;
        RequestTraits traits;
        Incarnation agent;
        bool hadHead = false;
        /** The answer is an error; its server may not have looked at the request. */
        bool isError = false;
        bool hasBegun = false;
    };

    void tellCrashes(const std::vector<CrashId> &ids, TimePoint now);
    void tellClaims(TimePoint now);

    Incarnation self_;
    std::function<void(const Message &)> tellPeers_;
    CrashEvidence evidence_;
    SuspectTrials trials_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::uint64_t sequence_ = 0;
    /** Whether the last message to the peers held claims. */
    bool hasToldClaims_ = false;
    std::unordered_map<Incarnation, std::uint64_t> sequences_;
};

} // namespace hornbeamlane
