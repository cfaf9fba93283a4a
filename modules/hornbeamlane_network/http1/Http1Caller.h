#pragma once

#include "hornbeamlane_network/http1/Http1ClientConnection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/** Short calls to control interfaces, with a time limit each, on connections that are kept. */
class Http1Caller final
{
public:
    struct Call
    {
        /** "<ip>:<port>". */
        std::string address;
        std::string method = "GET";
        std::string target;
        std::string contentType;
        /** Beside Host and Content-Type. */
        HttpHeaders headers;
        std::string body;
        std::chrono::milliseconds timeout{1000};
    };

    struct Reply
    {
        /** Empty if there was no complete answer in time. */
        std::optional<int> status;
        /** Status and headers as they came, also of an answer that was not complete. */
        std::optional<Http1ResponseHead> head;
        std::string body;
        /** No byte of the call has left the process. */
        bool isNotSent = false;
    };

    using Handler = std::function<void(const Reply &)>;

    /** Longest body of a reply; the control interfaces keep theirs well below. */
    static constexpr std::size_t maxReplyBytes = 8 * 1024 * 1024;

    explicit Http1Caller(EventLoop &loop);
    ~Http1Caller();

    /** The handler runs once, later. */
    void call(const Call &call, Handler handler);

    /** Bytes of replies that are not complete. */
    std::size_t heldBytes() const
    {
        return heldBytes_;
    }

    /** Number of addresses to which connections are kept. */
    std::size_t keptAddresses() const
    {
        return idle_.size();
    }

private:
    struct Running;

    void append(Running *running, std::string_view bytes);
    std::unique_ptr<Http1ClientConnection> connectionTo(const Call &call);
    /** Drops kept connections that the servers have closed. */
    void dropClosed();
    void finish(Running *running, Http1CallEnd end);

    EventLoop &loop_;
    std::size_t heldBytes_ = 0;
    std::unordered_map<Running *, std::unique_ptr<Running>> running_;
    std::map<std::string, std::vector<std::unique_ptr<Http1ClientConnection>>> idle_;
};

} // namespace hornbeamlane
