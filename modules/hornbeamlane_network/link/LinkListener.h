#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hornbeamlane {

/** Accepts TCP connections and hands their sockets over. */
class LinkListener final
{
public:
    using Handler = std::function<void(std::intptr_t socket)>;

    LinkListener(EventLoop &loop, Handler handler);
    ~LinkListener();

    /** Starts to listen on "<ip>:<port>"; port 0 takes a free port. False if the address cannot be bound. */
    bool listen(const std::string &address);

    std::uint16_t port() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
