#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** A UDP socket on the loop. Datagrams may be lost; one that cannot be sent at once is dropped. */
class DatagramSocket final
{
public:
    /** Takes the bytes and the sender's address, "<ip>:<port>". */
    using Handler = std::function<void(std::string_view bytes, const std::string &sender)>;

    DatagramSocket(EventLoop &loop, Handler handler);
    ~DatagramSocket();

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /** False if the address cannot be bound. */
    bool bind(const std::string &address);

    /** Port in use after a successful bind(). */
    std::uint16_t port() const;

    void send(const std::string &address, std::string_view bytes);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
