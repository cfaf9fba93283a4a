#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"

#include <functional>
#include <memory>

namespace hornbeamlane {

/** A timer on an event loop; destroying it cancels it. */
class Timer final
{
public:
    Timer(EventLoop &loop, std::function<void()> handler);
    ~Timer();

    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(Duration delay);
    void startRepeating(Duration interval);
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
