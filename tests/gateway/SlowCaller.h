#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"

#include <cstdint>
#include <string>
#include <string_view>

struct bufferevent;

namespace hornbeamlane {

/** A caller whose bytes a test writes piece by piece. */
class SlowCaller final
{
public:
    /** Connects to that port on loopback. */
    SlowCaller(EventLoop &loop, std::uint16_t port);
    ~SlowCaller();

    SlowCaller(const SlowCaller &) = delete;
    SlowCaller &operator=(const SlowCaller &) = delete;

    void send(std::string_view bytes);

    /** All bytes that have come so far. */
    const std::string &received() const
    {
        return received_;
    }

private:
    void read();

    bufferevent *stream_ = nullptr;
    std::string received_;
};

} // namespace hornbeamlane
