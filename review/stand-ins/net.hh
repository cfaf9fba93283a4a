// Small blocking HTTP/1.1 helpers for the stand-ins of the review. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

inline void sleepFor(double s)
{
    if (s > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(s));
    }
}

inline void sleepUntil(double at)
{
    sleepFor(at - seconds());
}

/** What was sent, answered and run, a line each. */
inline FILE *recordFile = nullptr;
inline std::mutex recordMutex;

inline void record(const char *format, ...)
{
    const std::lock_guard lock(recordMutex);
    std::fprintf(recordFile, "%9.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

/** The case could not run. */
[[noreturn]] inline void cannotRun(const std::string &why);

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

struct Message
{
    std::string first;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }

    /** Path and query of a request. */
    std::string target() const
    {
        const auto from = first.find(' ');
        const auto to = first.rfind(' ');
        return from == std::string::npos || to <= from ? "" : first.substr(from + 1, to - from - 1);
    }

    std::string path() const
    {
        const auto whole = target();
        return whole.substr(0, whole.find('?'));
    }

    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

inline std::string percentDecode(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

inline std::string queryField(const std::string &target, const std::string &name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return percentDecode(part.substr(name.size() + 1));
        }
        at = end;
    }
    return "";
}

/** One TCP connection. */
class Connection
{
public:
    explicit Connection(int fd)
        : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    static int connectTo(const std::string &ip, int port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = addressOf(ip, port);
        if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            ::close(fd);
            return -1;
        }
        return fd;
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /** Whether the peer has closed or reset the connection. */
    bool isClosedByPeer() const
    {
        pollfd one{.fd = fd_, .events = POLLRDHUP, .revents = 0};
        return poll(&one, 1, 0) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    /** Reads more; false at the end, on an error or after `timeout` seconds without a byte. */
    bool fill(double timeout)
    {
        pollfd one{.fd = fd_, .events = POLLIN, .revents = 0};
        if (poll(&one, 1, static_cast<int>(timeout * 1000)) <= 0) {
            return false;
        }
        char bytes[65536];
        const auto n = recv(fd_, bytes, sizeof(bytes), 0);
        if (n <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    bool readHead(Message &message, double timeout)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeout)) {
                return false;
            }
        }
        const auto head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        message = Message();
        std::size_t at = head.find("\r\n");
        message.first = head.substr(0, at);
        while (at + 2 < head.size()) {
            const auto next = head.find("\r\n", at + 2);
            const auto line = head.substr(at + 2, next - at - 2);
            at = next;
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        return true;
    }

    bool readBytes(std::size_t count, std::string &out, double timeout)
    {
        while (buffer_.size() < count) {
            if (!fill(timeout)) {
                return false;
            }
        }
        out.append(buffer_, 0, count);
        buffer_.erase(0, count);
        return true;
    }

    bool readLine(std::string &line, double timeout)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill(timeout)) {
                return false;
            }
        }
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    /** False if the body does not come whole. */
    bool readBody(Message &message, double timeout)
    {
        if (message.header("transfer-encoding") == "chunked") {
            while (true) {
                std::string line;
                if (!readLine(line, timeout)) {
                    return false;
                }
                const auto size = std::strtoul(line.c_str(), nullptr, 16);
                if (!readBytes(size, message.body, timeout) || !readLine(line, timeout)) {
                    return false;
                }
                if (size == 0) {
                    return true;
                }
            }
        }
        const auto length = message.header("content-length");
        return length.empty() || readBytes(std::strtoul(length.c_str(), nullptr, 10), message.body, timeout);
    }

private:
    int fd_;
    std::string buffer_;
};

inline std::string answer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline std::string jsonAnswer(int status, const std::string &body)
{
    return answer(status, "Content-Type: application/json\r\n", body);
}

/** Handles one request; false if the connection has to be closed. */
using RequestHandler = std::function<bool(Connection &, const Message &)>;

inline void listenOn(const std::string &ip, int port, RequestHandler handler)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
        cannotRun("cannot listen on " + ip + ":" + std::to_string(port));
    }
    std::thread([fd, handler = std::move(handler)] {
        while (true) {
            const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            std::thread([accepted, handler] {
                Connection connection(accepted);
                Message request;
                while (connection.readHead(request, 100) && connection.readBody(request, 100)
                       && handler(connection, request)) {
                }
            }).detach();
        }
    }).detach();
}

/** A port of `ip` that is free for TCP and UDP. */
inline int freePort(const std::string &ip)
{
    for (int tries = 0; tries < 100; ++tries) {
        const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto address = addressOf(ip, 0);
        socklen_t size = sizeof(address);
        bool isFree = bind(tcp, reinterpret_cast<sockaddr *>(&address), size) == 0
            && getsockname(tcp, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        isFree = isFree && bind(udp, reinterpret_cast<sockaddr *>(&address), size) == 0;
        ::close(tcp);
        ::close(udp);
        if (isFree) {
            return ntohs(address.sin_port);
        }
    }
    cannotRun("no free port on " + ip);
}
