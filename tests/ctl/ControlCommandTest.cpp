#include "ctl/HttpClient.h"
#include "ctl/Output.h"
#include "ctl/PlatformServer.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace hornbeamlane {
namespace {

struct Run
{
    int exitCode = 0;
    std::string output;
};

/** Runs the built command; standard error is part of the output. */
Run run(const std::string &arguments)
{
    Run result;
    std::FILE *pipe = popen((HORNBEAMLANECTL " " + arguments + " 2>&1").c_str(), "r");
    char buffer[4096];
    while (const auto size = std::fread(buffer, 1, sizeof(buffer), pipe)) {
        result.output.append(buffer, size);
    }
    result.exitCode = WEXITSTATUS(pclose(pipe));
    return result;
}

/** A directory of catalogue files that is removed at the end. */
class ScopedDirectory final
{
public:
    explicit ScopedDirectory(const std::vector<std::pair<std::string, std::string>> &files)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "hornbeamlane-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
        for (const auto &[name, text] : files) {
            std::ofstream(path_ + "/" + name) << text;
        }
    }

    ~ScopedDirectory()
    {
        std::filesystem::remove_all(path_);
    }

    ScopedDirectory(const ScopedDirectory &) = delete;
    ScopedDirectory &operator=(const ScopedDirectory &) = delete;

    const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

// Guards against an operator who mends one fault only to meet the next, and against scripts that miss a refusal.
TEST(ControlCommand, NamesEveryFaultOfABadCatalogue)
{
    const ScopedDirectory directory({{"a.json", "{"},
                                     {"b.json", R"({"entries": [{"kind": "team", "name": "t", "class": "none",
                                        "limits": {"concurrency": 0}, "colour": 1}, 7]})"},
                                     {"ignored.txt", "{"}});
    for (const std::string command : {"validate ", "diff ", "apply --base 0 "}) {
        const auto result = run(command + directory.path());
        EXPECT_EQ(result.exitCode, 1) << command;
        for (const std::string fault : {"a.json: /: is not valid JSON", "b.json: /entries/0/owner: is required",
                                        "b.json: /entries/0/limits/concurrency: must be at least 1",
                                        "b.json: /entries/0/colour: is not a known field",
                                        "b.json: /entries/0/class: names the class 'none', which has no entry",
                                        "b.json: /entries/1: must be an object"}) {
            EXPECT_NE(result.output.find(fault), std::string::npos) << fault << "\n" << result.output;
        }
    }
    const auto json = run("validate --output json " + directory.path() + " 2>/dev/null");
    EXPECT_EQ(json.exitCode, 1);
    EXPECT_NE(json.output.find("\"path\": \"/entries/0/owner\""), std::string::npos) << json.output;
}

// Guards against usage faults that run half a command, and against flags that work in one spelling only.
TEST(ControlCommand, RefusesWrongUsage)
{
    for (const std::string arguments :
         {"", "destroy", "validate", "validate a b", "apply x", "apply x --base=-1", "apply x --base",
          "status --no-such", "status --output xml", "drain rack r1", "drain host h --local",
          "drain host h --entry 127.0.0.1:1", "status --timeout_seconds 0", "validate /no/such/directory",
          "status --base x"}) {
        EXPECT_EQ(run(arguments).exitCode, 2) << arguments;
    }
    EXPECT_EQ(run("--version").exitCode, 0);
    for (const std::string command : {"validate", "diff", "apply", "status", "drain", "undrain"}) {
        const auto help = run(command + " --help");
        EXPECT_EQ(help.exitCode, 0);
        EXPECT_NE(help.output.find("  hornbeamlanectl " + command), std::string::npos) << command;
    }
}

// Guards against an apply that skips its conditions on the way from the command line to the table.
TEST(ControlCommand, AppliesInTurnAndRefusesAStaleBase)
{
    testing::PlatformServer server;
    const std::string flags = std::string(EXAMPLE_CATALOGUE) + " --table " + server.address() + " --base ";
    for (const std::string dryRun : {" --dry-run", " --dry_run"}) {
        std::string arguments = "apply " + flags + "0";
        arguments += dryRun;
        EXPECT_EQ(run(arguments).exitCode, 0);
    }
    EXPECT_EQ(server.value(catalogueHeadKey), "");
    server.setFaults({"", "", "lost", "", "lost", ""});
    const auto first = run("apply " + flags + "0");
    EXPECT_EQ(first.exitCode, 0) << first.output;
    EXPECT_EQ(CatalogueHead::fromRowValue(server.value(catalogueHeadKey))->version(), CatalogueVersion(1));
    EXPECT_EQ(run("apply " + flags + "0").exitCode, 3);
    const auto diff = run("diff --output json " + flags + "0");
    EXPECT_EQ(diff.exitCode, 0);
    EXPECT_TRUE(nlohmann::json::parse(diff.output)["added"].empty()) << diff.output;
    const auto unconfirmed = run("apply " + flags + "1 --wait --wait-seconds 1 --output json");
    EXPECT_EQ(unconfirmed.exitCode, 6);
    EXPECT_NE(unconfirmed.output.find("\"entry-1\""), std::string::npos) << unconfirmed.output;
    server.setFaults(std::vector<std::string>(20, "503"));
    EXPECT_EQ(run("apply " + flags + "2").exitCode, 4);
    server.setFaults({});
    server.setValue(catalogueHeadKey, "7");
    EXPECT_EQ(run("apply " + flags + "2").exitCode, 7);
    EXPECT_EQ(run("status --table 127.0.0.1:1").exitCode, 4);
}

// Guards against a catalogue that is applied although entries in it have no effect, and against a check that fails or
// changes something because the table service is away.
TEST(ControlCommand, ChecksACatalogueBeforeItIsApplied)
{
    testing::PlatformServer server;
    const auto sound = run("check --output json --table " + server.address() + " " EXAMPLE_CATALOGUE);
    EXPECT_EQ(sound.exitCode, 0) << sound.output;
    const auto report = nlohmann::json::parse(sound.output);
    EXPECT_TRUE(report["findings"].empty());
    EXPECT_FALSE(report["added"].empty());
    EXPECT_EQ(server.value(catalogueHeadKey), "");
    const auto away = run("check --table 127.0.0.1:1 " EXAMPLE_CATALOGUE);
    EXPECT_EQ(away.exitCode, 0) << away.output;
    EXPECT_NE(away.output.find("cannot be reached"), std::string::npos) << away.output;
    const std::string unusedModel =
        R"({"entries": [{"kind": "class", "name": "c", "owner": "o", "class": "c", "limits": {}, "priority": 1},
                        {"kind": "model", "name": "m", "owner": "o", "class": "c", "limits": {}}]})";
    const ScopedDirectory unused(std::vector<std::pair<std::string, std::string>>{{"model.json", unusedModel}});
    const auto findings = run("check --table 127.0.0.1:1 " + unused.path());
    EXPECT_EQ(findings.exitCode, 8) << findings.output;
    EXPECT_NE(findings.output.find("no backend server offers it"), std::string::npos) << findings.output;
    const ScopedDirectory faulty(std::vector<std::pair<std::string, std::string>>{{"bad.json", "{}"}});
    EXPECT_EQ(run("check " + faulty.path()).exitCode, 1);
}

// Guards against a drain of a mistyped name, and against an undrain that leaves a drain in force.
TEST(ControlCommand, DrainsAndUndrains)
{
    testing::PlatformServer server;
    const std::string table = " --table " + server.address();
    ASSERT_EQ(run("apply --base 0 " + std::string(EXAMPLE_CATALOGUE) + table).exitCode, 0);
    EXPECT_EQ(run("drain host no-such-host" + table).exitCode, 2);
    for (const std::string target : {"data-centre north", "host entry-1", "backend-server north-orders"}) {
        for (const std::string command : {"drain ", "drain ", "undrain ", "undrain "}) {
            std::string arguments = command;
            arguments += target;
            arguments += table;
            EXPECT_EQ(run(arguments).exitCode, 0) << arguments;
        }
    }
    EXPECT_TRUE(DrainSet::fromRowValue(server.value(drainsRowKey))->inForce().empty());
    EXPECT_EQ(run("drain host entry-1" + table).exitCode, 0);
    const auto status = run("status" + table);
    EXPECT_EQ(status.exitCode, 0);
    EXPECT_NE(status.output.find("host   entry-1"), std::string::npos) << status.output;
    const std::string entry = " --local --entry " + server.address();
    EXPECT_EQ(run("drain host h" + entry).exitCode, 0);
    EXPECT_EQ(run("undrain host h" + entry).exitCode, 0);
    ASSERT_EQ(server.postedDrains().size(), 2U);
    EXPECT_FALSE(nlohmann::json::parse(server.postedDrains()[0])["remove"]);
    const auto removal = nlohmann::json::parse(server.postedDrains()[1]);
    EXPECT_EQ(removal["id"], "d1");
    EXPECT_TRUE(removal["remove"]);
    EXPECT_EQ(run("status --entry " + server.address()).exitCode, 0);
    EXPECT_EQ(run("drain host h --local --entry 127.0.0.1:1").exitCode, 4);
}

// Guards against a write taken for unsent although the server has it, and the other way round.
TEST(HttpClient, TellsUnsentFromUnanswered)
{
    ctl::HttpClient refused("127.0.0.1:1", std::chrono::seconds(5));
    EXPECT_FALSE(refused.perform({.target = "/"}).has_value());
    EXPECT_EQ(refused.lastFailure(), ctl::HttpFailure::NotConnected);
    for (const std::string address : {"", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:x", "127.0.0.1:99999"}) {
        ctl::HttpClient client(address, std::chrono::seconds(5));
        EXPECT_FALSE(client.perform({.target = "/"}).has_value());
        EXPECT_EQ(client.lastFailure(), ctl::HttpFailure::BadAddress) << address;
    }
    testing::PlatformServer server;
    ctl::HttpClient client(server.address(), std::chrono::seconds(5));
    EXPECT_EQ(client.perform({.target = "/nothing"})->status, 404);
    // A listening socket that nobody accepts from takes the request and never answers.
    const int silent = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{.sin_family = AF_INET, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    socklen_t size = sizeof(address);
    ASSERT_EQ(bind(silent, reinterpret_cast<sockaddr *>(&address), size), 0);
    ASSERT_EQ(listen(silent, 1), 0);
    getsockname(silent, reinterpret_cast<sockaddr *>(&address), &size);
    ctl::HttpClient waiting("127.0.0.1:" + std::to_string(ntohs(address.sin_port)), std::chrono::milliseconds(200));
    EXPECT_FALSE(waiting.perform({.method = ctl::HttpMethod::Put, .target = "/", .body = "x"}).has_value());
    EXPECT_EQ(waiting.lastFailure(), ctl::HttpFailure::NoReply);
    close(silent);
    EXPECT_EQ(ctl::percentEncode("a/b %~"), "a%2Fb%20%25~");
}

} // namespace
} // namespace hornbeamlane
