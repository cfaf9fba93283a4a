#include "hornbeamlane_gateway/crashes/CrashExchange.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

/** Senders and peers remembered; more are forgotten all at once, which costs a few messages. */
constexpr std::size_t maxRemembered = 4096;

} // namespace

CrashExchange::CrashExchange(EventLoop &loop, CrashEvidence &evidence, SuspectTrials &trials, Options options,
                             Hooks hooks)
    : loop_(loop)
    , evidence_(evidence)
    , trials_(trials)
    , options_(options)
    , hooks_(std::move(hooks))
    , claimTimer_(loop, [this] { tellClaims(); })
{
}

std::string CrashExchange::encode(std::vector<ServerCrash> crashes, bool withClaims)
{
    CrashMessage message{.sender = options_.incarnation, .sequence = ++sequence_, .crashes = std::move(crashes)};
    if (withClaims) {
        message.claims = trials_.ownClaims();
    }
    return encodeCrashMessage(message, loop_.now());
}

void CrashExchange::tellCrashes(const std::vector<CrashId> &ids)
{
    std::vector<ServerCrash> told;
    for (const auto &crash : evidence_.crashes()) {
        if (std::find(ids.begin(), ids.end(), crash.id) != ids.end()) {
            told.push_back(crash);
        }
    }
    for (std::size_t from = 0; from < told.size(); from += options_.maxCrashesInMessage) {
        const auto to = std::min(told.size(), from + options_.maxCrashesInMessage);
        hooks_.sendToAll(encode(
            {told.begin() + static_cast<std::ptrdiff_t>(from), told.begin() + static_cast<std::ptrdiff_t>(to)}, false));
    }
}

void CrashExchange::tellClaims()
{
    hooks_.sendToAll(encode({}, true));
    if (!trials_.ownClaims().empty()) {
        claimTimer_.startOnce(options_.claimInterval);
    } else {
        claimTimer_.stop();
    }
}

void CrashExchange::onPeerDigest(const std::string &address, std::uint64_t digest)
{
    const auto own = evidence_.digest();
    if (own == digest) {
        resends_.erase(address);
        return;
    }
    const auto now = loop_.now();
    auto &resend = resends_[address];
    const bool isSame = resend.ownDigest == own && resend.peerDigest == digest;
    if (now - resend.sentAt < (isSame ? resend.pause : options_.firstResend)) {
        return;
    }
    const auto pause = isSame ? std::min(resend.pause * 2, options_.maxResend) : options_.firstResend;
    resend = {.ownDigest = own, .peerDigest = digest, .sentAt = now, .pause = pause};
    const auto &crashes = evidence_.crashes();
    for (std::size_t from = 0; from < crashes.size(); from += options_.maxCrashesInMessage) {
        const auto to = std::min(crashes.size(), from + options_.maxCrashesInMessage);
        hooks_.sendTo(address,
                      encode({crashes.begin() + static_cast<std::ptrdiff_t>(from),
                              crashes.begin() + static_cast<std::ptrdiff_t>(to)},
                             false));
    }
}

bool CrashExchange::onMessage(std::string_view bytes)
{
    const auto now = loop_.now();
    const auto message = decodeCrashMessage(bytes, now);
    if (!message) {
        return false;
    }
    bool hasChanged = false;
    for (const auto &crash : message->crashes) {
        hasChanged = evidence_.onCrash(crash, now) || hasChanged;
    }
    if (message->claims) {
        auto &newest = sequences_[message->sender];
        if (message->sequence > newest) {
            newest = message->sequence;
            if (trials_.onClaims(message->sender, *message->claims, now)) {
                logEvent(LogLevel::Info, "trial_gave_way", {{"to", std::to_string(message->sender.value())}});
                tellClaims();
            }
            hasChanged = true;
        }
    }
    if (hasChanged) {
        hooks_.changed();
    }
    return true;
}

void CrashExchange::sweep(TimePoint now)
{
    trials_.expire(now);
    if (sequences_.size() > maxRemembered) {
        sequences_.clear();
    }
    if (resends_.size() > maxRemembered) {
        resends_.clear();
    }
}

} // namespace hornbeamlane
