#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace hornbeamlane {

/** Opens a connection only to see whether anybody listens, and closes it. Destroying the object ends the attempt. */
class ConnectProbe final
{
public:
    enum class Result {
        Listening,
        Refused, ///< The host answers that nobody listens.
        NoAnswer,
    };

    /** The handler runs once, later; it may destroy the probe. */
    ConnectProbe(EventLoop &loop, const std::string &address, std::chrono::milliseconds timeout,
                 std::function<void(Result)> handler);
    ~ConnectProbe();

    ConnectProbe(const ConnectProbe &) = delete;
    ConnectProbe &operator=(const ConnectProbe &) = delete;

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
