// A small event loop with HTTP/1.1 servers and clients for the stand-ins of the review. Header only, Linux only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <strings.h>
#include <utility>
#include <vector>

namespace net {

using Clock = std::chrono::steady_clock;

inline double secondsSinceStart()
{
    static const auto start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers &headers, const char *name)
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name) == 0) {
            return value;
        }
    }
    return "";
}

struct Message
{
    std::string firstLine;
    Headers headers;
    std::string body;

    std::string header(const char *name) const
    {
        return headerOf(headers, name);
    }
    std::string method() const
    {
        return firstLine.substr(0, firstLine.find(' '));
    }
    std::string target() const
    {
        const auto begin = firstLine.find(' ') + 1;
        return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
    }
    std::string path() const
    {
        const auto all = target();
        return all.substr(0, all.find('?'));
    }
    std::string query(const std::string &name) const
    {
        const auto all = target();
        const auto mark = all.find('?');
        std::string rest = mark == std::string::npos ? "" : all.substr(mark + 1);
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const auto field = rest.substr(0, end);
            rest.erase(0, std::min(end + 1, rest.size()));
            const auto equals = field.find('=');
            if (field.substr(0, equals) == name) {
                return equals == std::string::npos ? "" : decode(field.substr(equals + 1));
            }
        }
        return "";
    }
    int status() const
    {
        const auto space = firstLine.find(' ');
        return space == std::string::npos ? 0 : std::atoi(firstLine.c_str() + space);
    }

private:
    static std::string decode(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
};

/** Parses messages out of a byte stream; chunked bodies and those with a length. */
class Parser
{
public:
    std::string bytes;

    enum class State { More, Done, Bad };

    /** Takes one whole message from the front of the bytes. */
    State take(Message &message)
    {
        const auto headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return State::More;
        }
        Message result;
        std::size_t at = 0;
        while (at < headEnd) {
            const auto end = bytes.find("\r\n", at);
            const auto line = bytes.substr(at, end - at);
            if (at == 0) {
                result.firstLine = line;
            } else if (const auto colon = line.find(':'); colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                result.headers.emplace_back(line.substr(0, colon), value);
            }
            at = end + 2;
        }
        std::size_t position = headEnd + 4;
        if (strcasecmp(result.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                const auto lineEnd = bytes.find("\r\n", position);
                if (lineEnd == std::string::npos) {
                    return State::More;
                }
                const auto length = std::strtoul(bytes.c_str() + position, nullptr, 16);
                const auto next = lineEnd + 2 + length + 2;
                if (bytes.size() < next) {
                    return State::More;
                }
                result.body.append(bytes, lineEnd + 2, length);
                position = next;
                if (length == 0) {
                    break;
                }
            }
        } else {
            const auto length = std::strtoul(result.header("Content-Length").c_str(), nullptr, 10);
            if (bytes.size() < position + length) {
                return State::More;
            }
            result.body = bytes.substr(position, length);
            position += length;
        }
        bytes.erase(0, position);
        message = std::move(result);
        return State::Done;
    }
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

class Loop;

/** One open socket: bytes in, bytes out. */
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    Channel(Loop &loop, int socket);
    ~Channel();

    /** Called with what has come; the owner takes it out of `in`. */
    std::function<void()> onData;
    std::function<void()> onClosed;
    Parser in;
    /** While true nothing is read from the socket, so that its buffer fills up. */
    bool isPaused = false;
    /** Number of answers that the peer has got on this channel; for stand-ins that need it. */
    int answers = 0;
    std::string lastAnswer;
    std::string extraAnswer;

    void send(const std::string &bytes)
    {
        if (socket_ >= 0) {
            out_ += bytes;
            flush();
        }
    }
    void close();
    bool isOpen() const
    {
        return socket_ >= 0;
    }
    int socket() const
    {
        return socket_;
    }
    bool wantsWrite() const
    {
        return !out_.empty();
    }
    void flush();
    void readReady();

private:
    Loop &loop_;
    int socket_;
    std::string out_;
};

using ChannelPtr = std::shared_ptr<Channel>;

class Loop
{
public:
    void at(double time, std::function<void()> task)
    {
        timers_.emplace(time, std::move(task));
    }
    void after(double seconds, std::function<void()> task)
    {
        at(secondsSinceStart() + seconds, std::move(task));
    }
    void every(double seconds, std::function<void()> task)
    {
        after(seconds, [this, seconds, task] {
            task();
            every(seconds, task);
        });
    }

    /** Listens; the handler gets each new channel. Gives the port, or 0. */
    int listen(const std::string &ip, int port, std::function<void(const ChannelPtr &)> handler)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = addressOf(ip, port);
        if (bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(socket, 512) != 0) {
            ::close(socket);
            return 0;
        }
        socklen_t size = sizeof(address);
        getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
        listeners_[socket] = std::move(handler);
        return ntohs(address.sin_port);
    }

    /** Starts to connect; a receive buffer of 0 bytes leaves the default. */
    ChannelPtr connect(const std::string &ip, int port, int receiveBuffer = 0)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0) {
            setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        const auto address = addressOf(ip, port);
        ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        return adopt(socket);
    }

    ChannelPtr adopt(int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto channel = std::make_shared<Channel>(*this, socket);
        channels_[socket] = channel;
        return channel;
    }

    void forget(int socket)
    {
        channels_.erase(socket);
    }

    void stop()
    {
        isStopped_ = true;
    }

    void run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        while (!isStopped_) {
            turn();
        }
    }

private:
    void turn()
    {
        std::vector<pollfd> sockets;
        for (const auto &[socket, handler] : listeners_) {
            sockets.push_back({.fd = socket, .events = POLLIN, .revents = 0});
        }
        for (const auto &[socket, channel] : channels_) {
            const int events = (channel->isPaused ? 0 : POLLIN) | (channel->wantsWrite() ? POLLOUT : 0);
            sockets.push_back({.fd = socket, .events = static_cast<short>(events), .revents = 0});
        }
        const double wait = timers_.empty() ? 0.1 : std::max(0.0, timers_.begin()->first - secondsSinceStart());
        poll(sockets.data(), sockets.size(), static_cast<int>(std::min(wait, 0.1) * 1000));
        for (const auto &ready : sockets) {
            if (ready.revents != 0) {
                handle(ready);
            }
        }
        while (!timers_.empty() && timers_.begin()->first <= secondsSinceStart()) {
            const auto task = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            task();
        }
    }

    void handle(const pollfd &ready)
    {
        if (const auto listener = listeners_.find(ready.fd); listener != listeners_.end()) {
            while (true) {
                const int socket = accept4(ready.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (socket < 0) {
                    return;
                }
                listener->second(adopt(socket));
            }
        }
        const auto found = channels_.find(ready.fd);
        if (found == channels_.end()) {
            return;
        }
        const auto channel = found->second;
        if ((ready.revents & POLLOUT) != 0) {
            channel->flush();
        }
        if (channel->isOpen() && (ready.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            channel->readReady();
        }
    }

    std::multimap<double, std::function<void()>> timers_;
    std::map<int, std::function<void(const ChannelPtr &)>> listeners_;
    std::map<int, ChannelPtr> channels_;
    bool isStopped_ = false;
};

inline Channel::Channel(Loop &loop, int socket)
    : loop_(loop)
    , socket_(socket)
{
}

inline Channel::~Channel()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
}

inline void Channel::close()
{
    if (socket_ < 0) {
        return;
    }
    const auto self = shared_from_this();
    const int socket = std::exchange(socket_, -1);
    loop_.forget(socket);
    ::close(socket);
    if (const auto handler = std::exchange(onClosed, nullptr)) {
        handler();
    }
}

inline void Channel::flush()
{
    while (!out_.empty()) {
        const auto sent = ::send(socket_, out_.data(), out_.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN) {
                close();
            }
            return;
        }
        out_.erase(0, static_cast<std::size_t>(sent));
    }
}

inline void Channel::readReady()
{
    const auto self = shared_from_this();
    char buffer[65536];
    const auto size = recv(socket_, buffer, sizeof(buffer), 0);
    if (size > 0) {
        in.bytes.append(buffer, static_cast<std::size_t>(size));
        if (onData) {
            onData();
        }
        return;
    }
    if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
        close();
    }
}

inline std::string formatHead(const std::string &firstLine, const Headers &headers)
{
    std::string text = firstLine + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "\r\n";
}

inline std::string formatAnswer(int status, Headers headers, const std::string &body)
{
    headers.emplace_back("Content-Length", std::to_string(body.size()));
    return formatHead("HTTP/1.1 " + std::to_string(status) + " X", headers) + body;
}

inline std::string chunk(const std::string &bytes)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/** Calls the handler for each request on each channel of a listener. */
inline int serve(Loop &loop, const std::string &ip, int port,
                 std::function<void(const ChannelPtr &, const Message &)> handler)
{
    return loop.listen(ip, port, [handler = std::move(handler)](const ChannelPtr &channel) {
        channel->onData = [weak = std::weak_ptr(channel), handler] {
            Message message;
            auto self = weak.lock();
            while (self && self->isOpen() && self->in.take(message) == Parser::State::Done) {
                handler(self, message);
            }
        };
    });
}

} // namespace net
