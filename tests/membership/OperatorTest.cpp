#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <gtest/gtest.h>

#include <map>

namespace hornbeamlane {
namespace {

/** A table whose every request can be given a fault: 0 none, 1 unavailable, 2 reply lost, 3 request lost. */
class ScriptedTable final
{
public:
    TableReply perform(const TableStep &step, int fault)
    {
        if (fault == 1) {
            return {.status = TableStatus::Unavailable};
        }
        TableReply reply{.status = TableStatus::NoReply};
        if (fault != 3) {
            reply = std::holds_alternative<ReadRow>(step) ? read(std::get<ReadRow>(step).key)
                                                          : write(std::get<WriteRow>(step).write);
        }
        return fault == 2 ? TableReply{.status = TableStatus::NoReply} : reply;
    }

    CatalogueHead head() const
    {
        const auto match = rows_.find(catalogueHeadKey);
        return match == rows_.end() ? CatalogueHead() : *CatalogueHead::fromRowValue(match->second.value);
    }

    std::string value(const std::string &key) const
    {
        const auto match = rows_.find(key);
        return match == rows_.end() ? "" : match->second.value;
    }

private:
    TableReply read(const std::string &key) const
    {
        const auto match = rows_.find(key);
        return match == rows_.end() ? TableReply{.status = TableStatus::NotFound}
                                    : TableReply{.status = TableStatus::Ok, .row = match->second};
    }

    TableReply write(const TableWrite &write)
    {
        auto &row = rows_[write.key];
        if (row.version != write.expectedVersion) {
            return {.status = TableStatus::Conflict};
        }
        row = {.key = write.key, .version = row.version.next(), .value = write.value};
        return {.status = TableStatus::Ok, .row = row};
    }

    std::map<std::string, TableRow> rows_;
};

template <class Operation>
void finish(Operation &operation, ScriptedTable &table)
{
    while (const auto step = operation.next()) {
        operation.onReply(table.perform(*step, 0));
    }
}

ApplyOperation apply(std::uint64_t base, const std::string &document)
{
    return ApplyOperation({.base = CatalogueVersion(base), .document = document});
}

// Guards against an apply that is reported as accepted without being in force, or the other way round, and against a
// document put in force in another operator's name: two operators interleaved in every way, one with every fault.
TEST(ApplyOperation, TellsTheTruthUnderEveryFaultAndInterleaving)
{
    int accepted = 0;
    for (int order = 0; order < 256; ++order) {
        for (int point = 0; point < 5; ++point) {
            for (int fault = 0; fault < 4; ++fault) {
                ScriptedTable table;
                auto first = apply(0, "first");
                auto second = apply(0, "second");
                int step = 0;
                for (int turn = 0; turn < 8; ++turn) {
                    auto &operation = ((order >> turn) & 1) != 0 ? first : second;
                    if (const auto request = operation.next()) {
                        const bool isStruck = &operation == &first && step == point;
                        step += &operation == &first ? 1 : 0;
                        operation.onReply(table.perform(*request, isStruck ? fault : 0));
                    }
                }
                finish(first, table);
                finish(second, table);
                int winners = 0;
                for (const auto &[operation, document] :
                     {std::pair(&first, std::string("first")), std::pair(&second, std::string("second"))}) {
                    const auto outcome = *operation->outcome();
                    const bool isAccepted = outcome.status == ApplyStatus::Accepted;
                    winners += isAccepted ? 1 : 0;
                    const bool isInForce = table.value(catalogueRowKey(table.head().version())) == document;
                    ASSERT_EQ(isAccepted, isInForce) << order << ' ' << point << ' ' << fault;
                    ASSERT_TRUE(isAccepted || outcome.status == ApplyStatus::Conflict);
                }
                ASSERT_EQ(winners, 1);
                accepted += winners;
            }
        }
    }
    EXPECT_EQ(accepted, 256 * 5 * 4);
}

// Guards against an operator's crash that leaves a version in force by half or blocks the next operator.
TEST(ApplyOperation, CrashAtAnyStepNeitherTakesEffectNorBlocks)
{
    for (int steps = 0; steps < 3; ++steps) {
        ScriptedTable table;
        auto crashed = apply(0, "crashed");
        for (int i = 0; i < steps; ++i) {
            crashed.onReply(table.perform(*crashed.next(), 0));
        }
        EXPECT_EQ(table.head().version(), CatalogueVersion());
        auto following = apply(0, "following");
        finish(following, table);
        ASSERT_EQ(following.outcome()->status, ApplyStatus::Accepted);
        EXPECT_EQ(table.value(catalogueRowKey(table.head().version())), "following");
        auto stale = apply(0, "stale");
        finish(stale, table);
        EXPECT_EQ(stale.outcome()->status, ApplyStatus::Conflict);
        EXPECT_EQ(stale.outcome()->newest, following.outcome()->version);
    }
}

// Guards against "not accepted" after a write whose reply was lost and that nobody could check.
TEST(ApplyOperation, SaysUnknownWhenTheTableStaysDownAfterTheWrite)
{
    ScriptedTable table;
    auto operation = apply(0, "document");
    for (int step = 0; operation.next(); ++step) {
        operation.onReply(table.perform(*operation.next(), step < 2 ? 0 : step == 2 ? 2 : 1));
    }
    EXPECT_EQ(operation.outcome()->status, ApplyStatus::OutcomeUnknown);
}

// Guards against a forged or damaged head, and against a lost reply that many later applies make undecidable.
TEST(CatalogueHead, RemembersAcceptedVersions)
{
    CatalogueHead head;
    for (std::uint64_t version = 2; version < 2 + 2 * CatalogueHead::maxAccepted; version += 2) {
        head.accept(CatalogueVersion(version));
    }
    EXPECT_EQ(head.wasAccepted(CatalogueVersion(3)), false);
    EXPECT_EQ(head.wasAccepted(CatalogueVersion(2)), true);
    head.accept(CatalogueVersion(1000));
    EXPECT_EQ(head.wasAccepted(CatalogueVersion(2)), std::nullopt);
    EXPECT_EQ(CatalogueHead::fromRowValue(head.toRowValue()), head);
    for (const char *value : {"", "7", "{}", R"({"accepted":[1,2]})", R"({"accepted":["1"]})", R"({"accepted":[0]})"}) {
        EXPECT_FALSE(CatalogueHead::fromRowValue(value).has_value()) << value;
    }
}

// Guards against a lost drain when operators race or replies are lost at any step.
TEST(DrainOperation, StoresBothOfTwoRacingDrains)
{
    for (int fault = 0; fault < 4; ++fault) {
        for (int point = 0; point < 4; ++point) {
            ScriptedTable table;
            const auto drain = [](const char *id, const char *name) {
                return DrainOperation({.record = {.id = DrainId(id), .scope = DrainScope::Host, .name = name}});
            };
            auto first = drain("1", "a");
            auto second = drain("2", "b");
            for (int step = 0; first.next(); ++step) {
                first.onReply(table.perform(*first.next(), step == point ? fault : 0));
                if (step == 0) {
                    finish(second, table);
                }
            }
            EXPECT_EQ(first.outcome(), DrainStatus::Stored);
            EXPECT_EQ(DrainSet::fromRowValue(table.value(drainsRowKey))->inForce().size(), 2U);
            DrainOperation removal({.record = {.scope = DrainScope::Host, .name = "a"}, .isRemoval = true});
            finish(removal, table);
            EXPECT_EQ(removal.outcome(), DrainStatus::Stored);
            EXPECT_EQ(DrainSet::fromRowValue(table.value(drainsRowKey))->inForce().size(), 1U);
            DrainOperation again({.record = {.scope = DrainScope::Host, .name = "a"}, .isRemoval = true});
            finish(again, table);
            EXPECT_EQ(again.outcome(), DrainStatus::NothingToDo);
        }
    }
}

// Guards against a status that passes a process over because nothing was ever heard of it.
TEST(StatusReport, NamesWhoHasNotConfirmed)
{
    StatusSources sources{.newest = CatalogueVersion(7)};
    const DataCentreId a("a");
    sources.catalogue.dataCentres[a] = {};
    sources.catalogue.servers[ServerId("s1")].dataCentre = a;
    sources.hosts = {{.name = HostId("h1"), .dataCentre = a}, {.name = HostId("h2"), .dataCentre = a}};
    sources.confirmations[a] = {{"h1", CatalogueVersion(7)}, {"s1", CatalogueVersion(6)}};
    const auto report = makeStatusReport(sources);
    EXPECT_FALSE(report.isConfirmedEverywhere());
    EXPECT_EQ(report.dataCentres.at(a).missing, (std::vector<std::string>{"h2", "s1"}));
    EXPECT_EQ(report.dataCentres.at(a).confirmed, (std::vector<std::string>{"h1"}));
    EXPECT_EQ(report.dataCentres.at(a).versions.at(CatalogueVersion()), 1U);
}

} // namespace
} // namespace hornbeamlane
