#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hornbeamlane {

/**
    A UDP socket on the loop. Datagrams may be lost; one that cannot be sent at once is dropped.

    Datagrams that come within a short time of each other are read together, so that many peers do not wake the process
    one by one.
*/
class DatagramSocket final
{
public:
    /** Takes the bytes and the sender's address, "<ip>:<port>". */
    using Handler = std::function<void(std::string_view bytes, const std::string &sender)>;

    struct Callbacks
    {
        Handler received;
        /** All that had come has been handled. */
        std::function<void()> drained = [] {};
    };

    DatagramSocket(EventLoop &loop, Callbacks callbacks);
    ~DatagramSocket();

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /** False if the address cannot be bound. */
    bool bind(const std::string &address);

    /** Port in use after a successful bind(). */
    std::uint16_t port() const;

    /** Time for which nothing is read after a read. */
    void setQuietTime(std::chrono::milliseconds time);

    void send(const std::string &address, std::string_view bytes);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
