#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hornbeamlane::testing {

/** A small table service, host list and entry administration on a free loopback port, for the tests of the command. */
class PlatformServer final
{
public:
    PlatformServer();
    ~PlatformServer();

    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /** "127.0.0.1:<port>". */
    std::string address() const;

    std::string value(const std::string &key) const;
    void setValue(const std::string &key, const std::string &value);

    /** Answers the next requests to rows with this fault: "" none, "503", or "lost" for a reply lost after a write. */
    void setFaults(std::vector<std::string> faults);

    /** Bodies posted to /admin/drains. */
    std::vector<std::string> postedDrains() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
    std::thread thread_;
};

} // namespace hornbeamlane::testing
