#pragma once

#include "hornbeamlane_network/link/Link.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <memory>
#include <string>

namespace hornbeamlane {

/** Keeps a link to one address: dials, and after each end dials again with a jittered, growing delay. */
class LinkConnector final
{
public:
    struct Options
    {
        std::string address;
        Duration firstDelay = std::chrono::milliseconds(50);
        Duration maxDelay = std::chrono::seconds(2);
        Link::Options link;
    };

    LinkConnector(EventLoop &loop, RandomSource &random, Options options, Link::Callbacks callbacks);

    /** The open link, or nullptr. */
    Link *openLink() const;

    const std::string &address() const;

private:
    void dial();
    void scheduleDial();

    EventLoop &loop_;
    RandomSource &random_;
    Options options_;
    Link::Callbacks callbacks_;
    Timer retryTimer_;
    std::unique_ptr<Link> link_;
    Duration delay_;
};

} // namespace hornbeamlane
