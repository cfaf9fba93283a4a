// HTTP/1.1 for stand-ins: messages with Content-Length or in chunks, one at a time on a channel.
#pragma once

#include "loop.hh"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    /** Request line or status line, cut at its spaces. */
    std::string first;
    std::string second;
    Headers headers;
    std::string body;

    const std::string *header(std::string_view name) const
    {
        for (const auto &[key, value] : headers) {
            if (key.size() == name.size()
                && std::equal(key.begin(), key.end(), name.begin(),
                              [](char a, char b) { return std::tolower(a) == std::tolower(b); })) {
                return &value;
            }
        }
        return nullptr;
    }

    std::string value(std::string_view name) const
    {
        const auto *found = header(name);
        return found == nullptr ? "" : *found;
    }

    int status() const
    {
        return std::atoi(second.c_str());
    }
};

/** Takes one whole message from the front of the input; empty while it is not there. */
inline std::optional<Message> takeMessage(std::string &input)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    Message message;
    std::size_t at = input.find("\r\n");
    const auto line = input.substr(0, at);
    const auto space = line.find(' ');
    const auto next = line.find(' ', space + 1);
    message.first = line.substr(0, space);
    message.second = line.substr(space + 1, next == std::string::npos ? next : next - space - 1);
    while (at < end) {
        at += 2;
        const auto stop = std::min(input.find("\r\n", at), end);
        const auto colon = input.find(':', at);
        if (colon < stop) {
            auto start = colon + 1;
            while (start < stop && input[start] == ' ') {
                ++start;
            }
            message.headers.emplace_back(input.substr(at, colon - at), input.substr(start, stop - start));
        }
        at = stop;
    }
    const auto bodyAt = end + 4;
    if (message.value("Transfer-Encoding") == "chunked") {
        std::size_t position = bodyAt;
        while (true) {
            const auto lineEnd = input.find("\r\n", position);
            if (lineEnd == std::string::npos) {
                return std::nullopt;
            }
            const auto length = std::strtoul(input.c_str() + position, nullptr, 16);
            position = lineEnd + 2;
            if (input.size() < position + length + 2) {
                return std::nullopt;
            }
            message.body.append(input, position, length);
            position += length + 2;
            if (length == 0) {
                input.erase(0, position);
                return message;
            }
        }
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.value("Content-Length").c_str()));
    if (input.size() < bodyAt + length) {
        return std::nullopt;
    }
    message.body = input.substr(bodyAt, length);
    input.erase(0, bodyAt + length);
    return message;
}

inline std::string formatAnswer(int status, const Headers &headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

/** A server of HTTP. Requests of one channel are answered in turn. */
class HttpServer
{
public:
    class Exchange
    {
    public:
        Exchange(std::weak_ptr<Stream> stream, Message request, std::function<void()> done)
            : request(std::move(request))
            , stream_(std::move(stream))
            , done_(std::move(done))
        {
        }

        void reply(int status, const Headers &headers, std::string_view body)
        {
            if (const auto stream = stream_.lock(); stream && stream->isOpen()) {
                stream->write(formatAnswer(status, headers, body));
                done_();
            }
        }

        /** Starts an answer in chunks; pieces follow, and finish() ends it. */
        void startStream(int status, const Headers &headers)
        {
            std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
            for (const auto &[name, value] : headers) {
                text += name + ": " + value + "\r\n";
            }
            send(text + "Transfer-Encoding: chunked\r\n\r\n");
        }

        void sendPiece(std::string_view bytes)
        {
            char length[20];
            std::snprintf(length, sizeof(length), "%zx\r\n", bytes.size());
            send(std::string(length).append(bytes).append("\r\n"));
        }

        void finishStream()
        {
            send("0\r\n\r\n");
            done_();
        }

        bool isOpen() const
        {
            const auto stream = stream_.lock();
            return stream && stream->isOpen();
        }

        const Message request;

    private:
        void send(std::string_view bytes)
        {
            if (const auto stream = stream_.lock(); stream && stream->isOpen()) {
                stream->write(bytes);
            }
        }

        std::weak_ptr<Stream> stream_;
        std::function<void()> done_;
    };

    using Handler = std::function<void(const std::shared_ptr<Exchange> &)>;

    HttpServer(Loop &loop, const std::string &address, Handler handler)
        : loop_(loop)
        , handler_(std::move(handler))
        , listener_(std::make_unique<Listener>(loop, address, [this](int fd) { accept(fd); }))
    {
    }

private:
    struct Channel
    {
        std::shared_ptr<Stream> stream;
        std::string waiting;
        bool isBusy = false;
    };

    void accept(int fd)
    {
        const auto channel = std::make_shared<Channel>();
        channel->stream = std::make_shared<Stream>(loop_, fd);
        channels_.insert(channel);
        channel->stream->start(
            [this, weak = std::weak_ptr(channel)](std::string &input) {
                if (const auto self = weak.lock()) {
                    self->waiting += std::exchange(input, {});
                    serve(self);
                }
            },
            [this, weak = std::weak_ptr(channel)](bool) {
                if (const auto self = weak.lock()) {
                    channels_.erase(self);
                }
            });
    }

    void serve(const std::shared_ptr<Channel> &channel)
    {
        if (channel->isBusy) {
            return;
        }
        if (auto request = takeMessage(channel->waiting)) {
            channel->isBusy = true;
            handler_(std::make_shared<Exchange>(channel->stream, std::move(*request),
                                                [this, weak = std::weak_ptr(channel)] {
                                                    if (const auto self = weak.lock()) {
                                                        self->isBusy = false;
                                                        loop_.after(0, [this, weak] {
                                                            if (const auto again = weak.lock()) {
                                                                serve(again);
                                                            }
                                                        });
                                                    }
                                                }));
        }
    }

    Loop &loop_;
    Handler handler_;
    std::set<std::shared_ptr<Channel>> channels_;
    std::unique_ptr<Listener> listener_;
};

/** A caller that keeps its idle channels and opens a new one where none is idle. */
class HttpCaller
{
public:
    /** Status 0 with a note: no complete answer. */
    using Handler = std::function<void(int status, const Message &answer, const std::string &note)>;

    HttpCaller(Loop &loop, std::string address)
        : loop_(loop)
        , address_(std::move(address))
    {
    }

    void call(const std::string &method, const std::string &target, const Headers &headers, const std::string &body,
              double timeoutMs, Handler handler)
    {
        std::shared_ptr<Channel> channel;
        while (!idle_.empty() && !channel) {
            channel = idle_.back();
            idle_.pop_back();
            if (!channel->stream->isOpen()) {
                channel.reset();
            }
        }
        if (!channel) {
            channel = std::make_shared<Channel>();
            channel->stream = Stream::connectTo(loop_, address_);
            all_.insert(channel);
            channel->stream->start(
                [this, weak = std::weak_ptr(channel)](std::string &input) {
                    const auto self = weak.lock();
                    if (!self) {
                        return;
                    }
                    if (auto answer = takeMessage(input)) {
                        const auto handler = std::exchange(self->handler, nullptr);
                        if (answer->value("Connection") == "close") {
                            drop(self);
                        } else {
                            idle_.push_back(self);
                        }
                        if (handler) {
                            handler(answer->status(), *answer, "");
                        }
                    }
                },
                [this, weak = std::weak_ptr(channel)](bool isReset) {
                    if (const auto self = weak.lock()) {
                        fail(self, isReset ? "reset" : "closed");
                    }
                });
        }
        channel->handler = std::move(handler);
        const auto number = ++channel->calls;
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        channel->stream->write(text);
        loop_.after(timeoutMs, [this, weak = std::weak_ptr(channel), number] {
            const auto self = weak.lock();
            if (self && self->handler && self->calls == number) {
                fail(self, "given up");
            }
        });
    }

private:
    struct Channel
    {
        std::shared_ptr<Stream> stream;
        Handler handler;
        std::uint64_t calls = 0;
    };

    void drop(const std::shared_ptr<Channel> &channel)
    {
        channel->stream->close();
        all_.erase(channel);
        idle_.erase(std::remove(idle_.begin(), idle_.end(), channel), idle_.end());
    }

    void fail(const std::shared_ptr<Channel> &channel, const std::string &note)
    {
        const auto handler = std::exchange(channel->handler, nullptr);
        drop(channel);
        if (handler) {
            handler(0, Message(), note);
        }
    }

    Loop &loop_;
    std::string address_;
    std::set<std::shared_ptr<Channel>> all_;
    std::vector<std::shared_ptr<Channel>> idle_;
};

} // namespace review
