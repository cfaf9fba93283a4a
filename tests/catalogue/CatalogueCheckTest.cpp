#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using Kind = CatalogueFindingKind;

class CatalogueCheckTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        catalogue_.classes[ClassId("office")] = {.header = {.name = "office"}};
        catalogue_.dataCentres[DataCentreId("north")] = {.header = {.name = "north"}};
        catalogue_.models[ModelId("assistant")] = {.header = {.name = "assistant"}};
        catalogue_.services[ServiceId("orders")] = {
            .header = {.name = "orders"},
            .calls = {{.method = "GET", .pathPrefix = "/"}, {.method = "POST", .pathPrefix = "/orders"}}};
        catalogue_.servers[ServerId("n1")] = {.header = {.name = "n1", .limits = {.concurrency = 32}},
                                              .dataCentre = DataCentreId("north"),
                                              .models = {ModelId("assistant")},
                                              .services = {ServiceId("orders")}};
        catalogue_.teams[TeamId("sales")] = {.header = {.name = "sales", .limits = {.concurrency = 40}},
                                             .floors = {{DataCentreId("north"), 32}},
                                             .models = {ModelId("assistant")},
                                             .services = {ServiceId("orders")}};
    }

    /** "<kind> <entry kind> <name><path>" of each finding. */
    std::vector<std::string> findings() const
    {
        std::vector<std::string> texts;
        for (const auto &finding : checkCatalogue(catalogue_)) {
            EXPECT_FALSE(finding.text.empty());
            texts.push_back(std::string(toString(finding.kind)) + " " + finding.entry.toString() + finding.path);
        }
        return texts;
    }

    Catalogue catalogue_;
};

using Texts = std::vector<std::string>;

// Guards against findings about a catalogue that is as it should be.
TEST_F(CatalogueCheckTest, FindsNothingInASoundCatalogue)
{
    EXPECT_EQ(findings(), Texts());
    EXPECT_TRUE(checkCatalogue(Catalogue()).empty());
}

// Guards against services, models and data centres that an operator believes to be in use.
TEST_F(CatalogueCheckTest, FindsEntriesWithoutServersOrCallers)
{
    catalogue_.models[ModelId("summary")] = {};
    catalogue_.dataCentres[DataCentreId("south")] = {};
    catalogue_.servers.begin()->second.services.clear();
    catalogue_.teams[TeamId("idle")] = {};
    EXPECT_EQ(findings(),
              Texts({"never-matches dataCentre south", "never-matches model summary", "never-matches model summary",
                     "never-matches service orders", "never-matches team idle"}));
}

// Guards against a rule for calls that another one hides: calls taken for repeatable would be sent twice.
TEST_F(CatalogueCheckTest, FindsRulesThatAnotherOneHides)
{
    auto &calls = catalogue_.services.begin()->second.calls;
    calls.push_back({.method = "POST", .pathPrefix = "/orders/drafts", .isRepeatable = true});
    calls.push_back({.method = "PUT", .pathPrefix = "/orders"});
    EXPECT_EQ(findings(), Texts({"never-matches service orders/calls/2"}));
    std::swap(calls[1], calls[2]);
    EXPECT_EQ(findings(), Texts());
}

// Guards against guarantees that the servers cannot keep, and limits that leave nothing or bound nothing.
TEST_F(CatalogueCheckTest, FindsLimitsThatContradictEachOther)
{
    catalogue_.teams[TeamId("reports")] = {
        .header = {.name = "reports", .limits = {.requestsPerSecond = 0, .tokensPerSecond = 5}},
        .floors = {{DataCentreId("north"), 1}},
        .services = {ServiceId("orders")}};
    catalogue_.classes.begin()->second.firstTokenTarget = std::chrono::milliseconds(60000);
    EXPECT_EQ(findings(),
              Texts({"contradicting-limits class office/firstTokenTargetMilliseconds",
                     "contradicting-limits dataCentre north", "contradicting-limits team reports/limits",
                     "contradicting-limits team reports/limits/tokensPerSecond"}));
}

} // namespace
} // namespace hornbeamlane
