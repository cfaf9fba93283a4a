#include "hornbeamlane_network/link/LinkConnector.h"

#include <algorithm>

namespace hornbeamlane {

LinkConnector::LinkConnector(EventLoop &loop, RandomSource &random, Options options, Link::Callbacks callbacks)
    : loop_(loop)
    , random_(random)
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , retryTimer_(loop, [this] { dial(); })
    , delay_(options_.firstDelay)
{
    dial();
}

Link *LinkConnector::openLink() const
{
    return link_ && link_->isOpen() ? link_.get() : nullptr;
}

const std::string &LinkConnector::address() const
{
    return options_.address;
}

void LinkConnector::dial()
{
    Link::Callbacks callbacks;
    callbacks.opened = [this](const Hello &hello) {
        delay_ = options_.firstDelay;
        callbacks_.opened(hello);
    };
    callbacks.received = [this](const Message &message) { callbacks_.received(message); };
    callbacks.closed = [this](LinkEnd end, DecodeFailure failure) {
        scheduleDial();
        callbacks_.closed(end, failure);
    };
    link_ = Link::connect(loop_, options_.address, options_.link, std::move(callbacks));
}

void LinkConnector::scheduleDial()
{
    // Half of the delay is random, so that many peers do not dial a restarted process at the same moment.
    const auto half = delay_ / 2;
    const auto jitter =
        Duration(static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(half.count()) + 1)));
    retryTimer_.startOnce(half + jitter);
    delay_ = std::min(delay_ * 2, options_.maxDelay);
}

} // namespace hornbeamlane
