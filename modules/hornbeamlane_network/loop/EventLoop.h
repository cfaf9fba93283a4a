#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <functional>
#include <memory>

struct event_base;

namespace hornbeamlane {

/** The one loop of a process; all callbacks run on the thread that calls run(). Makes the process ignore SIGPIPE. */
class EventLoop final
{
public:
    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Monotonic time. */
    TimePoint now() const;

    /** Monotonic time that goes on while the host is suspended; for promises to others, such as leases. */
    TimePoint nowWithSuspend() const;

    /** Runs until stop() is called. */
    void run();
    void stop();

    /** Runs the task on the next turn of the loop, after the callbacks of this turn. */
    void post(std::function<void()> task);

    /** Keeps an object until release() or the end of the loop. */
    void retain(std::shared_ptr<void> object);

    /** Drops a retained object on the next turn. */
    void release(const void *object);

    /** Calls the handler on each arrival of the signal. */
    void onSignal(int signalNumber, std::function<void()> handler);

    /** The library's handle, for the other classes of this module. */
    event_base *base() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
