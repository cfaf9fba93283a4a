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

void CrashExchange::sendCrashes(const std::vector<ServerCrash> &crashes,
                                const std::function<void(const std::string &)> &send)
{
    for (std::size_t from = 0; from < crashes.size(); from += options_.maxCrashesInMessage) {
        const auto to = std::min(crashes.size(), from + options_.maxCrashesInMessage);
        const std::vector<ServerCrash> some(crashes.begin() + static_cast<std::ptrdiff_t>(from),
                                            crashes.begin() + static_cast<std::ptrdiff_t>(to));
        send(encodeCrashes(some, loop_.now()));
    }
}

void CrashExchange::tellCrashes(const std::vector<CrashId> &ids)
{
    std::vector<ServerCrash> told;
    for (const auto &crash : evidence_.crashes()) {
        if (std::find(ids.begin(), ids.end(), crash.id) != ids.end()) {
            told.push_back(crash);
        }
    }
    sendCrashes(told, hooks_.sendToAll);
}

void CrashExchange::tellClaims()
{
    const auto claims = trials_.ownClaims(loop_.now());
    hooks_.sendToAll(
        encodeMessage(TrialUpdate{.sender = options_.incarnation, .sequence = ++sequence_, .claims = claims}));
    if (!claims.empty()) {
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
        if (own != 0) {
            hooks_.agreed();
        }
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
    sendCrashes(evidence_.crashes(), [this, &address](const std::string &bytes) { hooks_.sendTo(address, bytes); });
}

bool CrashExchange::onMessage(std::string_view bytes)
{
    DecodeFailure failure = DecodeFailure::None;
    const auto message = decodeMessage(bytes, failure);
    if (!message) {
        return false;
    }
    if (const auto *claims = std::get_if<TrialUpdate>(&*message)) {
        takeClaims(*claims);
        return true;
    }
    const auto *update = std::get_if<CrashUpdate>(&*message);
    if (update == nullptr) {
        return false;
    }
    const auto now = loop_.now();
    bool hasChanged = false;
    for (const auto &crash : crashesOf(*update, now)) {
        const auto news = evidence_.learn(crash, now);
        hooks_.told(crash, news);
        hasChanged = hasChanged || news == CrashNews::New || news == CrashNews::More;
    }
    if (hasChanged) {
        hooks_.changed();
    }
    return true;
}

void CrashExchange::takeClaims(const TrialUpdate &update)
{
    auto &newest = sequences_[update.sender];
    if (update.sequence <= newest) {
        return;
    }
    newest = update.sequence;
    if (trials_.onClaims(update.sender, update.claims, loop_.now())) {
        logEvent(LogLevel::Info, "trial_gave_way", {{"to", std::to_string(update.sender.value())}});
        tellClaims();
    }
    hooks_.changed();
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
