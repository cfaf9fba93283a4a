#pragma once

#include "hornbeamlane_agent/hornbeamlane_agent.h"
#include "hornbeamlane_entry/hornbeamlane_entry.h"
#include "standins/EngineStandIn.h"
#include "standins/PlatformStandIn.h"
#include "standins/ServiceStandIn.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamlane::testing {

/** The whole path on one event loop: platform, one engine, one order service, their agents and one entry. */
class LocalPath final
{
public:
    struct Options
    {
        EngineStandIn::Options engine;
        std::uint32_t engineConcurrency = 8;
    };

    explicit LocalPath(const Options &options);

    /** Runs the loop until the condition holds; false after the bound. */
    bool runUntil(const std::function<bool()> &condition, Duration bound = std::chrono::seconds(20));

    /** Waits until a request to the model and one to the service would be admitted. */
    bool runUntilReady();

    struct Answer
    {
        HttpCallEnd end = HttpCallEnd::BrokenOff;
        HttpResponse response;
    };

    /** Sends a request to the entry and waits for the whole answer. */
    Answer call(const std::string &method, const std::string &target, const HttpHeaders &headers,
                const std::string &body);
    Answer callAt(const std::string &address, const std::string &method, const std::string &target,
                  const HttpHeaders &headers, const std::string &body);

    EventLoop &loop()
    {
        return loop_;
    }

    std::string entryAddress() const;
    std::string engineAddress() const;
    std::string serviceAddress() const;
    std::string platformAddress() const;

    /** Headers of the team that the catalogue knows. */
    static HttpHeaders teamHeaders();
    static std::string chatBody(std::uint64_t tokens, bool isStream, const std::string &text = "zip care");

    /** Ends the agent of the service as a crash would. */
    void loseServiceAgent();

private:
    std::string catalogueDocument(std::uint32_t engineConcurrency) const;
    void writeCatalogue(const std::string &document);

    EventLoop loop_;
    RandomSource random_{7};
    PlatformStandIn platform_;
    EngineStandIn engine_;
    ServiceStandIn service_;
    std::unique_ptr<Agent> engineAgent_;
    std::unique_ptr<Agent> serviceAgent_;
    std::unique_ptr<Entry> entry_;
};

} // namespace hornbeamlane::testing
