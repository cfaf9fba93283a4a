#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane {
namespace {

constexpr const char *validDocument = R"({"entries": [
    {"kind": "class", "name": "counter", "owner": "ops", "class": "counter", "limits": {}, "priority": 5},
    {"kind": "dataCentre", "name": "a", "owner": "ops", "class": "counter", "limits": {}, "region": "north"},
    {"kind": "model", "name": "draft", "owner": "ops", "class": "counter", "limits": {}},
    {"kind": "backendServer", "name": "s1", "owner": "ops", "class": "counter", "limits": {"concurrency": 8},
     "dataCentre": "a", "host": "h1", "agentAddress": "127.0.0.1:1", "models": ["draft"], "fencing": "ignored"},
    {"kind": "team", "name": "t", "owner": "ops", "class": "counter", "limits": {"concurrency": 4},
     "floors": {"a": 2}, "models": ["draft"]}
]})";

std::vector<std::string> faultsOf(std::string_view document)
{
    DocumentFaults faults;
    EXPECT_FALSE(readCatalogue(document, faults).has_value());
    std::vector<std::string> texts;
    for (const auto &fault : faults) {
        texts.push_back(fault.toString());
    }
    return texts;
}

// Guards against fields that are silently ignored.
TEST(CatalogueReader, ReadsEveryKind)
{
    DocumentFaults faults;
    const auto catalogue = readCatalogue(validDocument, faults);
    ASSERT_TRUE(catalogue.has_value()) << faults.front().toString();
    EXPECT_EQ(catalogue->servers.at(ServerId("s1")).fencing, FencingSupport::Ignored);
    EXPECT_EQ(catalogue->teams.at(TeamId("t")).floors.at(DataCentreId("a")), 2U);
    EXPECT_EQ(catalogue->classes.at(ClassId("counter")).priority, 5U);
}

// Guards against an operator who mends one fault only to meet the next: all are named at once, by path.
TEST(CatalogueReader, NamesEveryFaultWithItsPath)
{
    const auto faults = faultsOf(R"({"entries": [
        {"kind": "team", "name": "t", "class": "none", "limits": {"concurrency": 0}, "color": 1},
        {"kind": "teapot", "name": "x", "owner": "o", "class": "c", "limits": {}},
        7]})");
    const auto has = [&faults](const std::string &text) {
        return std::find(faults.begin(), faults.end(), text) != faults.end();
    };
    EXPECT_TRUE(has("/entries/0/owner: is required"));
    EXPECT_TRUE(has("/entries/0/limits/concurrency: must be at least 1"));
    EXPECT_TRUE(has("/entries/0/color: is not a known field"));
    EXPECT_TRUE(has("/entries/0/class: names the class 'none', which has no entry"));
    EXPECT_TRUE(has("/entries/2: must be an object"));
    EXPECT_TRUE(std::any_of(faults.begin(), faults.end(),
                            [](const auto &fault) { return fault.starts_with("/entries/1/kind: must be one of"); }));
}

// Guards against floors that together exceed the limit of the team.
TEST(CatalogueReader, RefusesFloorsAboveTheLimit)
{
    std::string document(validDocument);
    document.replace(document.find("\"a\": 2}"), 7, "\"a\": 5}");
    const auto faults = faultsOf(document);
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults.front(), "/entries/4/floors: add up to 5, more than limits.concurrency 4");
}

// Guards against a crash on input that is not a catalogue at all.
TEST(CatalogueReader, RefusesOtherDocuments)
{
    EXPECT_EQ(faultsOf("{").front(), "/: is not valid JSON");
    EXPECT_EQ(faultsOf("[]").front(), "/: must be an object");
    EXPECT_EQ(faultsOf("{}").front(), "/entries: is required");
    EXPECT_EQ(faultsOf(R"({"entries": 3})").front(), "/entries: must be an array of objects");
}

} // namespace
} // namespace hornbeamlane
