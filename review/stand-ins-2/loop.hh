// A small event loop for stand-ins: sockets by epoll, timers by a map. One thread, loopback only.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

namespace review {

/** Milliseconds of the steady clock. */
inline double nowMs()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<double>(time.tv_sec) * 1000.0 + static_cast<double>(time.tv_nsec) / 1e6;
}

inline std::int64_t unixMs()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

class Loop
{
public:
    Loop()
        : epoll_(epoll_create1(EPOLL_CLOEXEC))
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    using Handler = std::function<void(std::uint32_t events)>;

    void watch(int fd, std::uint32_t events, Handler handler)
    {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        epoll_ctl(epoll_, handlers_.count(fd) != 0 ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
        handlers_[fd] = std::make_shared<Handler>(std::move(handler));
    }

    void change(int fd, std::uint32_t events)
    {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
    }

    void forget(int fd)
    {
        epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
        handlers_.erase(fd);
    }

    void after(double ms, std::function<void()> action)
    {
        timers_.emplace(nowMs() + ms, std::move(action));
    }

    void stop()
    {
        isRunning_ = false;
    }

    void run()
    {
        isRunning_ = true;
        while (isRunning_) {
            const double now = nowMs();
            while (!timers_.empty() && timers_.begin()->first <= now && isRunning_) {
                const auto action = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                action();
            }
            int wait = 100;
            if (!timers_.empty()) {
                wait = std::max(0, std::min(100, static_cast<int>(timers_.begin()->first - nowMs()) + 1));
            }
            epoll_event events[256];
            const int count = epoll_wait(epoll_, events, 256, wait);
            for (int i = 0; i < count; ++i) {
                const auto found = handlers_.find(events[i].data.fd);
                if (found != handlers_.end()) {
                    const auto handler = found->second;
                    (*handler)(events[i].events);
                }
            }
        }
    }

private:
    int epoll_;
    bool isRunning_ = false;
    std::map<int, std::shared_ptr<Handler>> handlers_;
    std::multimap<double, std::function<void()>> timers_;
};

inline sockaddr_in addressOf(const std::string &text)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const auto colon = text.rfind(':');
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return address;
}

/** A listening socket; exits with 2, as the case can't run, where the address is taken. */
inline int listenOn(const std::string &text)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = addressOf(text);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
        std::fprintf(stderr, "cannot listen on %s: %s\n", text.c_str(), std::strerror(errno));
        std::exit(2);
    }
    return fd;
}

/** A stream socket with buffers. */
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    Stream(Loop &loop, int fd)
        : loop_(loop)
        , fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~Stream()
    {
        close();
    }

    static std::shared_ptr<Stream> connectTo(Loop &loop, const std::string &text)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto address = addressOf(text);
        connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        return std::make_shared<Stream>(loop, fd);
    }

    /** `data` is called with all bytes that wait; `closed` once at the peer's end or a reset. */
    void start(std::function<void(std::string &input)> data, std::function<void(bool isReset)> closed)
    {
        data_ = std::move(data);
        closed_ = std::move(closed);
        const std::weak_ptr<Stream> weak = weak_from_this();
        loop_.watch(fd_, EPOLLIN | EPOLLOUT, [weak](std::uint32_t events) {
            if (const auto self = weak.lock()) {
                self->handle(events);
            }
        });
    }

    void write(std::string_view bytes)
    {
        if (fd_ < 0) {
            return;
        }
        output_.append(bytes);
        flush();
    }

    void close()
    {
        if (fd_ >= 0) {
            loop_.forget(fd_);
            ::close(fd_);
            fd_ = -1;
        }
    }

    /** Closes with a reset. */
    void reset()
    {
        if (fd_ >= 0) {
            const linger now{1, 0};
            setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            close();
        }
    }

    bool isOpen() const
    {
        return fd_ >= 0;
    }

private:
    void flush()
    {
        while (!output_.empty() && fd_ >= 0) {
            const auto count = send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                break;
            }
            output_.erase(0, static_cast<std::size_t>(count));
        }
        if (fd_ >= 0) {
            loop_.change(fd_, output_.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
        }
    }

    void handle(std::uint32_t events)
    {
        const auto self = shared_from_this();
        if ((events & EPOLLOUT) != 0) {
            flush();
        }
        if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) == 0) {
            return;
        }
        bool isEnd = false;
        bool isReset = false;
        char buffer[65536];
        while (fd_ >= 0) {
            const auto count = recv(fd_, buffer, sizeof(buffer), 0);
            if (count > 0) {
                input_.append(buffer, static_cast<std::size_t>(count));
                continue;
            }
            isEnd = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            isReset = count < 0 && isEnd;
            break;
        }
        if (!input_.empty() && data_) {
            data_(input_);
        }
        if (isEnd && fd_ >= 0) {
            close();
            if (closed_) {
                const auto closed = closed_;
                closed(isReset);
            }
        }
    }

    Loop &loop_;
    int fd_;
    std::string input_;
    std::string output_;
    std::function<void(std::string &)> data_;
    std::function<void(bool)> closed_;
};

/** Accepts on an address until destroyed. */
class Listener
{
public:
    Listener(Loop &loop, const std::string &address, std::function<void(int fd)> accepted)
        : loop_(loop)
        , fd_(listenOn(address))
    {
        loop_.watch(fd_, EPOLLIN, [this, accepted = std::move(accepted)](std::uint32_t) {
            while (true) {
                const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                accepted(fd);
            }
        });
    }

    ~Listener()
    {
        loop_.forget(fd_);
        ::close(fd_);
    }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

private:
    Loop &loop_;
    int fd_;
};

} // namespace review
