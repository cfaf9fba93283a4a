// Stand-in for a consumer: one channel to an entry, requests one after the other.
#pragma once

#include "platform.hh"

#include <memory>

struct Outcome
{
    int status = 0;
    /** The server's answer with its receipt came whole. */
    bool isServed = false;
    /** The channel ended, or nothing came any more, before the answer was complete. */
    bool isCutOff = false;
    int events = 0;
    double endedAt = 0;
};

class Caller
{
public:
    Caller(std::string ip, int port)
        : ip_(std::move(ip))
        , port_(port)
    {
    }

    bool open()
    {
        if (connection_ != nullptr && !connection_->isClosedByPeer()) {
            return true;
        }
        const int fd = Connection::connectTo(ip_, port_);
        connection_ = fd < 0 ? nullptr : std::make_unique<Connection>(fd);
        return fd >= 0;
    }

    void close()
    {
        connection_.reset();
    }

    static std::string head(const std::string &path, const std::string &id, int deadlineMs, std::size_t bodyBytes)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: glue.example\r\nAttempt-Id: " + id
            + "\r\nModel: m\r\nToken-Count: 300,80\r\nPrefix-Hash: 5c1e07a2:40," + id.substr(id.size() - 4)
            + ":260\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nCredential: key-1\r\nContent-Length: "
            + std::to_string(bodyBytes) + "\r\n\r\n";
    }

    bool send(const std::string &bytes)
    {
        return connection_ != nullptr && connection_->send(bytes);
    }

    /** Reads the answer; `deadlineMs` is how long this consumer waits. */
    Outcome receive(const std::string &id, int deadlineMs)
    {
        Outcome outcome;
        Message reply;
        const double patience = deadlineMs / 1000.0 + 1;
        if (connection_ == nullptr || !connection_->readHead(reply, patience)) {
            outcome.isCutOff = true;
            outcome.endedAt = seconds();
            close();
            return outcome;
        }
        outcome.status = reply.status();
        const bool isWhole = connection_->readBody(reply, patience);
        for (auto at = reply.body.find("id:"); at != std::string::npos; at = reply.body.find("id:", at + 1)) {
            ++outcome.events;
        }
        outcome.isCutOff = !isWhole;
        outcome.isServed = isWhole && outcome.status == 200 && !reply.header("server-seal").empty()
            && reply.header("attempt-id") == id;
        outcome.endedAt = seconds();
        if (!isWhole || reply.header("connection") == "close") {
            close();
        }
        return outcome;
    }

    /** One request, sent at once. */
    Outcome request(const std::string &path, const std::string &id, int deadlineMs, const std::string &body)
    {
        record("consumer: sends %s", id.c_str());
        if (!open() || !send(head(path, id, deadlineMs, body.size()) + body)) {
            record("consumer: %s could not be sent", id.c_str());
            return {.isCutOff = true, .endedAt = seconds()};
        }
        const auto outcome = receive(id, deadlineMs);
        record("consumer: %s gets status %d, %d events, %s", id.c_str(), outcome.status, outcome.events,
               outcome.isServed       ? "whole"
                   : outcome.isCutOff ? "cut off"
                                      : "not served");
        return outcome;
    }

private:
    std::string ip_;
    int port_;
    std::unique_ptr<Connection> connection_;
};

/** An id of 16 hexadecimal digits. */
inline std::string newId()
{
    static std::atomic<unsigned> last{0};
    char text[32];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(getpid()) * 2654435761U, ++last);
    return text;
}
