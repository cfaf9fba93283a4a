#include "hornbeamlane_network/loop/EventLoop.h"

#include <event2/event.h>

#include <csignal>
#include <ctime>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace hornbeamlane {

struct EventLoop::Implementation
{
    struct EventDeleter
    {
        void operator()(event *handle) const
        {
            event_free(handle);
        }
    };

    struct SignalHandler
    {
        std::function<void()> handler;
        std::unique_ptr<event, EventDeleter> handle;
    };

    event_base *base = nullptr;
    std::vector<std::function<void()>> tasks;
    std::list<SignalHandler> signals;
    std::map<const void *, std::shared_ptr<void>> retained;
    std::unique_ptr<event, EventDeleter> wakeUp;

    void runTasks()
    {
        // A task may post another one, which then runs on the following turn.
        const auto current = std::exchange(tasks, {});
        for (const auto &task : current) {
            task();
        }
    }
};

EventLoop::EventLoop()
    : implementation_(std::make_unique<Implementation>())
{
    // A peer that closes its connection must end that connection, not the process.
    std::signal(SIGPIPE, SIG_IGN);
    // By default timers follow a coarse clock of 4 ms, a tenth of the target for the time between two tokens.
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    implementation_->base = event_base_new_with_config(config);
    event_config_free(config);
    HORNBEAMLANE_ASSERT(implementation_->base != nullptr);
    implementation_->wakeUp.reset(event_new(
        implementation_->base, -1, 0,
        [](evutil_socket_t, short, void *context) { static_cast<Implementation *>(context)->runTasks(); },
        implementation_.get()));
}

EventLoop::~EventLoop()
{
    // Retained objects may post tasks when they end, and so may connections whose last reference a task holds.
    implementation_->retained.clear();
    while (!implementation_->tasks.empty()) {
        const auto ended = std::exchange(implementation_->tasks, {});
    }
    implementation_->signals.clear();
    implementation_->wakeUp.reset();
    event_base_free(implementation_->base);
}

TimePoint EventLoop::now() const
{
    return Clock::now();
}

TimePoint EventLoop::nowWithSuspend() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

void EventLoop::run()
{
    event_base_loop(implementation_->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(implementation_->base);
}

void EventLoop::post(std::function<void()> task)
{
    implementation_->tasks.push_back(std::move(task));
    if (implementation_->tasks.size() == 1) {
        event_active(implementation_->wakeUp.get(), EV_TIMEOUT, 0);
    }
}

void EventLoop::retain(std::shared_ptr<void> object)
{
    const void *key = object.get();
    implementation_->retained[key] = std::move(object);
}

void EventLoop::release(const void *object)
{
    post([this, object] { implementation_->retained.erase(object); });
}

void EventLoop::onSignal(int signalNumber, std::function<void()> handler)
{
    auto &entry = implementation_->signals.emplace_back();
    entry.handler = std::move(handler);
    entry.handle.reset(evsignal_new(
        implementation_->base, signalNumber,
        [](evutil_socket_t, short, void *context) { static_cast<Implementation::SignalHandler *>(context)->handler(); },
        &entry));
    evsignal_add(entry.handle.get(), nullptr);
}

event_base *EventLoop::base() const
{
    return implementation_->base;
}

} // namespace hornbeamlane
