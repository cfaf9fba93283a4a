#include "hornbeamlane_admission/hornbeamlane_admission.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start(1h);
const ClassId chat("chat");

Catalogue catalogue(std::uint32_t cold = 2, std::uint32_t concurrency = 8)
{
    Catalogue result;
    result.dataCentres[DataCentreId("a")].header.name = "a";
    result.classes[chat].header.name = "chat";
    auto &server = result.servers[ServerId("s")];
    server.header = {.name = "s", .limits = {.concurrency = concurrency}};
    server.dataCentre = DataCentreId("a");
    server.coldConcurrency = cold;
    server.models = {ModelId("m")};
    for (const std::string name : {"free", "small"}) {
        auto &team = result.teams[TeamId(name)];
        team.header.name = name;
        team.models = {ModelId("m")};
    }
    result.teams[TeamId("small")].header.limits.concurrency = 1;
    result.teams[TeamId("small")].floors[DataCentreId("a")] = 1;
    return result;
}

class AdmissionControllerTest : public ::testing::Test
{
protected:
    AdmissionControllerTest()
    {
        controller_.applyCatalogue(CatalogueVersion(1), catalogue(), CatalogueVersion(1), start);
    }

    void makeReady()
    {
        now_ = start + 1s;
        controller_.engineReported({.engine = Incarnation(7)}, now_);
    }

    AdmissionController::Decision submit(std::uint64_t sequence, const std::string &team = "free",
                                         Duration deadline = 60s)
    {
        return controller_.submit({.attempt = {.entry = Incarnation(1), .sequence = sequence},
                                   .team = TeamId(team),
                                   .requestClass = chat,
                                   .remainingDeadline = deadline,
                                   .tokens = 100},
                                  now_);
    }

    static AttemptId attempt(std::uint64_t sequence)
    {
        return {.entry = Incarnation(1), .sequence = sequence};
    }

    /** Reason of a refusal that says "not run". */
    static RefusalReason reasonOf(const AdmissionController::Decision &decision)
    {
        const auto *refusal = std::get_if<Refusal>(&decision);
        const bool isTrue = refusal && refusal->execution == ExecutionState::NotRun;
        return isTrue ? refusal->reason : RefusalReason::InternalError;
    }

    TimePoint now_ = start;
    AdmissionController controller_{ServerId("s"), Incarnation(1), {}, start};
};

// Guards against work before the engine is free, after a drain, for unknown teams and above a team's share.
TEST_F(AdmissionControllerTest, RefusesAsNotRun)
{
    EXPECT_EQ(reasonOf(submit(1)), RefusalReason::NotReady);
    makeReady();
    EXPECT_EQ(reasonOf(submit(1, "none")), RefusalReason::UnknownTeam);
    EXPECT_EQ(reasonOf(submit(1, "free", 0s)), RefusalReason::DeadlineTooShort);
    ASSERT_TRUE(std::holds_alternative<AdmissionController::Admitted>(submit(1, "small")));
    EXPECT_EQ(reasonOf(submit(2, "small")), RefusalReason::TeamLimitReached);
    controller_.setDraining(true);
    EXPECT_EQ(reasonOf(submit(3)), RefusalReason::Draining);
    controller_.setDraining(false);
    EXPECT_TRUE(std::holds_alternative<AdmissionController::Admitted>(submit(4)));
    controller_.leave();
    EXPECT_EQ(reasonOf(submit(5)), RefusalReason::Draining);
    EXPECT_FALSE(controller_.isIdle());
}

// Guards against slots that are lost or used twice when requests end, are cancelled or time out while they wait.
TEST_F(AdmissionControllerTest, ReturnsEverySlot)
{
    makeReady();
    for (std::uint64_t i = 1; i <= 5; ++i) {
        EXPECT_EQ(std::holds_alternative<AdmissionController::Queued>(submit(i)), i > 2);
    }
    controller_.cancelled(attempt(3), now_);
    controller_.cancelled(attempt(1), now_);
    EXPECT_EQ(controller_.takeActions(now_).cancelInEngine, std::vector{attempt(1)});
    EXPECT_EQ(controller_.running(), 2U);
    controller_.finished(attempt(1), AdmissionController::Outcome::Cancelled, now_);
    EXPECT_EQ(controller_.takeActions(now_).start, std::vector{attempt(4)});
    now_ = *controller_.nextTimer() + 1ms;
    const auto late = controller_.takeActions(now_).refuse;
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late.front().first, attempt(5));
    EXPECT_EQ(late.front().second.reason, RefusalReason::DeadlineTooShort);
    for (const auto sequence : {2U, 4U, 4U}) {
        controller_.finished(attempt(sequence), AdmissionController::Outcome::Failed, now_);
    }
    EXPECT_TRUE(controller_.isIdle());
    EXPECT_EQ(controller_.running(), 0U);
}

// Guards against requests that outlive their deadline in the engine and hold their team's share.
TEST_F(AdmissionControllerTest, CancelsAtTheDeadline)
{
    makeReady();
    submit(1, "small", 5s);
    controller_.takeActions(now_);
    ASSERT_EQ(controller_.nextTimer(), now_ + 5s);
    now_ += 5s;
    EXPECT_EQ(controller_.takeActions(now_).cancelInEngine, std::vector{attempt(1)});
    EXPECT_EQ(reasonOf(submit(2, "small")), RefusalReason::TeamLimitReached);
    controller_.finished(attempt(1), AdmissionController::Outcome::Cancelled, now_);
    EXPECT_TRUE(std::holds_alternative<AdmissionController::Admitted>(submit(2, "small")));
}

// Guards against a report that hides changed budgets or repeats all of them each time.
TEST_F(AdmissionControllerTest, ReportsChangedBudgets)
{
    makeReady();
    controller_.loadReport(now_);
    EXPECT_TRUE(controller_.loadReport(now_).teamBudgets.empty());
    submit(1, "small");
    const auto report = controller_.loadReport(now_);
    ASSERT_EQ(report.teamBudgets.size(), 1U);
    EXPECT_EQ(report.teamBudgets.front().team, TeamId("small"));
    EXPECT_EQ(report.teamBudgets.front().freeConcurrency, 0U);
    EXPECT_EQ(report.inFlight, 1U);
    EXPECT_EQ(report.limit, 2U);
    EXPECT_EQ(report.engineIncarnation, Incarnation(7));
}

// Guards against an engine that names how many requests a second it takes and gets more, or that gets none at all;
// against requests that wait although they cannot be in time; and against a limit that outlives the engine's need.
TEST_F(AdmissionControllerTest, KeepsTheRateThatTheEngineNames)
{
    constexpr double perSecond = 2;
    constexpr int steps = 100;
    makeReady();
    EXPECT_TRUE(controller_.engineAnswered(perSecond, now_, now_));
    std::size_t started = 0;
    std::vector<AttemptId> running;
    for (std::uint64_t i = 1; i <= steps; ++i) {
        now_ += 100ms;
        const auto decision = submit(i);
        if (const auto *refusal = std::get_if<Refusal>(&decision)) {
            EXPECT_TRUE(refusal->retryAfter);
        }
        if (std::holds_alternative<AdmissionController::Admitted>(decision)) {
            running.push_back(attempt(i));
        }
        const auto actions = controller_.takeActions(now_);
        running.insert(running.end(), actions.start.begin(), actions.start.end());
        started += running.size();
        for (const auto &id : std::exchange(running, {})) {
            controller_.finished(id, AdmissionController::Outcome::Succeeded, now_ + 10ms);
        }
    }
    EXPECT_GE(started, static_cast<std::size_t>(perSecond * steps / 10 * 0.9));
    EXPECT_LE(started, static_cast<std::size_t>(perSecond * steps / 10 + 2));
    EXPECT_EQ(controller_.loadReport(now_).limit, 1U);
    // An answer that was on its way when the limit was named does not lift it.
    EXPECT_FALSE(controller_.engineAnswered(std::nullopt, start + 1s, now_));
    EXPECT_TRUE(controller_.engineAnswered(std::nullopt, now_, now_));
    EXPECT_EQ(controller_.loadReport(now_).limit, controller_.limit());
    EXPECT_GT(controller_.limit(), 1U);
}

} // namespace
} // namespace hornbeamlane
