#pragma once

#include "hornbeamlane_network/http1/Http1ClientConnection.h"
#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "hostile/DaemonProcess.h"
#include "hostile/HostileCrowd.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>

namespace hornbeamlane {

/** What a crowd must leave intact: the process, its bounds and its service; neither times nor shares are checked. */
class HostileFixture : public ::testing::Test
{
protected:
    /** Growth of the memory over that of the quiet process. */
    struct Bounds
    {
        std::size_t memoryGrowth = 0;
        std::size_t descriptors = 0;
    };

    void runFor(std::chrono::milliseconds time)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    /** Status of one ordinary request to the daemon on a connection of its own; 0 if there was none. */
    int request(const Http1ClientConnection::Request &request, std::size_t &bodyBytes)
    {
        int status = 0;
        bool isOver = false;
        Http1ClientConnection connection(loop_, {.address = address_});
        connection.call(request,
                        {.head =
                             [&](const Http1ResponseHead &head) {
                                 status = head.status;
                                 return true;
                             },
                         .data = [&](std::string_view bytes) { bodyBytes += bytes.size(); },
                         .end =
                             [&](Http1CallEnd end) {
                                 isOver = true;
                                 status = end == Http1CallEnd::Complete ? status : 0;
                             }});
        for (int turn = 0; turn < 100 && !isOver; ++turn) {
            runFor(std::chrono::milliseconds(50));
        }
        return isOver ? status : 0;
    }

    /** Asks again after each refusal, as callers do, until the request is answered with 200. */
    bool isServed(const Http1ClientConnection::Request &one)
    {
        for (int attempt = 0; attempt < 40; ++attempt) {
            std::size_t bodyBytes = 0;
            if (request(one, bodyBytes) == 200) {
                return true;
            }
            runFor(std::chrono::milliseconds(250));
        }
        return false;
    }

    bool isServed()
    {
        return isServed(ordinary_);
    }

    void check(std::size_t connections, const HostileCrowd::Script &script, const Bounds &bounds)
    {
        ASSERT_TRUE(isServed()) << daemon_->output();
        const auto quiet = daemon_->residentBytes();
        HostileCrowd crowd(loop_, port_, connections, script);
        std::size_t descriptors = 0;
        for (int turn = 0; turn < 600 && !crowd.isDone(); ++turn) {
            runFor(std::chrono::milliseconds(50));
            descriptors = std::max(descriptors, daemon_->openDescriptors());
        }
        runFor(std::chrono::milliseconds(1000));
        descriptors = std::max(descriptors, daemon_->openDescriptors());
        const bool isServedBesideCrowd = isServed();
        EXPECT_TRUE(daemon_->isAlive());
        const auto growth = daemon_->peakBytes() - quiet;
        std::printf("crowd sent %zu bytes; quiet %zu kB, growth %zu kB, descriptors %zu\n", crowd.sentBytes(),
                    quiet / 1024, growth / 1024, descriptors);
        EXPECT_LE(growth, bounds.memoryGrowth);
        EXPECT_LE(descriptors, bounds.descriptors);
        EXPECT_TRUE(isServedBesideCrowd);
    }

    EventLoop loop_;
    std::unique_ptr<DaemonProcess> daemon_;
    std::uint16_t port_ = 0;
    std::string address_;
    Http1ClientConnection::Request ordinary_;
};

} // namespace hornbeamlane
