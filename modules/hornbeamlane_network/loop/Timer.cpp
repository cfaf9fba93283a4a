#include "hornbeamlane_network/loop/Timer.h"

#include "hornbeamlane_network/socket/SocketOptions.h"

#include <event2/event.h>

namespace hornbeamlane {

struct Timer::Implementation
{
    std::function<void()> handler;
    event *handle = nullptr;
    bool isRepeating = false;
    timeval interval{};

    void start(Duration duration)
    {
        interval = toTimeval(std::chrono::duration_cast<std::chrono::microseconds>(duration));
        event_add(handle, &interval);
    }

    void fire()
    {
        // Rearmed before the handler runs, so that the handler may stop or destroy the timer.
        if (isRepeating) {
            event_add(handle, &interval);
        }
        const auto running = handler;
        running();
    }
};

Timer::Timer(EventLoop &loop, std::function<void()> handler)
    : implementation_(std::make_unique<Implementation>())
{
    implementation_->handler = std::move(handler);
    implementation_->handle = evtimer_new(
        loop.base(), [](evutil_socket_t, short, void *context) { static_cast<Implementation *>(context)->fire(); },
        implementation_.get());
}

Timer::~Timer()
{
    event_free(implementation_->handle);
}

void Timer::startOnce(Duration delay)
{
    implementation_->isRepeating = false;
    implementation_->start(delay);
}

void Timer::startRepeating(Duration interval)
{
    implementation_->isRepeating = true;
    implementation_->start(interval);
}

void Timer::stop()
{
    event_del(implementation_->handle);
}

} // namespace hornbeamlane
