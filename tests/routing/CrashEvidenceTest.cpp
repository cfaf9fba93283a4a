#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane {
namespace {

constexpr TraitHash firstPart{1};
constexpr TraitHash deadly{2};
constexpr TraitHash other{3};
constexpr TraitHash another{4};

const TimePoint start = TimePoint() + std::chrono::hours(1);

/** A request as a whole has a number of its own, far from those of the parts. */
RequestTraits request(std::uint64_t number, std::vector<TraitHash> parts)
{
    return {.whole = TraitHash(1000 + number), .parts = std::move(parts)};
}

ServerCrash crash(std::uint64_t id, TimePoint at, std::vector<CrashCandidate> candidates)
{
    return {.id = CrashId(id), .at = at, .candidates = std::move(candidates)};
}

class CrashEvidenceTest : public ::testing::Test
{
protected:
    using Verdict = CrashEvidence::Verdict;

    void begin(const RequestTraits &traits)
    {
        std::vector<CrashId> cleared;
        evidence_.onAnswerBegun(traits, cleared);
    }

    Verdict judge(std::vector<TraitHash> parts, TimePoint at = start)
    {
        return evidence_.judge(request(999, std::move(parts)), at);
    }

    /** A request without parts of one team and route. */
    static RequestTraits fromOrigin(std::uint64_t number)
    {
        auto traits = request(number, {});
        traits.origin = TraitHash(77);
        return traits;
    }

    /** A server crashes, and starts again, with this request alone at it. */
    void crashUnder(std::uint64_t id, TimePoint at, const RequestTraits &traits)
    {
        auto found = crash(id, at, {{.traits = traits, .hadHead = false}});
        found.isConfirmed = true;
        evidence_.onCrash(found, at);
    }

    using seconds = std::chrono::seconds;

    CrashEvidence evidence_;
};

// Guards against a second crash where one is enough to tell: of all at the server one alone had the head of its answer.
TEST_F(CrashEvidenceTest, RefusesAtOnceWhatOneBegunAnswerExplains)
{
    begin(request(1, {firstPart}));
    evidence_.onCrash(crash(1, start,
                            {{.traits = request(2, {firstPart, deadly}), .hadHead = true},
                             {.traits = request(3, {other}), .hadHead = false}}),
                      start);
    EXPECT_EQ(judge({firstPart, deadly}), Verdict::Quarantined);
    EXPECT_EQ(judge({firstPart}), Verdict::Allowed);
    EXPECT_EQ(judge({other}), Verdict::Allowed);
    const auto culprits = evidence_.culpritsOf(request(9, {deadly}), start);
    ASSERT_EQ(culprits.size(), 1U);
    EXPECT_EQ(culprits[0].traits, std::vector<TraitHash>{deadly});
    EXPECT_GT(culprits[0].until, start + std::chrono::minutes(1));
}

// Guards against sound requests that are refused because their first part has always come with a deadly one so far.
TEST_F(CrashEvidenceTest, TriesPartsApartThatHaveAlwaysComeTogether)
{
    evidence_.onCrash(crash(1, start, {{.traits = request(2, {firstPart, deadly}), .hadHead = true}}), start);
    EXPECT_EQ(judge({firstPart, deadly}), Verdict::Quarantined);
    EXPECT_EQ(judge({firstPart}), Verdict::Suspect);
    EXPECT_EQ(judge({deadly}), Verdict::Suspect);
    begin(request(3, {firstPart}));
    EXPECT_EQ(judge({firstPart}), Verdict::Allowed);
    EXPECT_EQ(judge({deadly, other}), Verdict::Quarantined);
}

// Guards against refusals without proof: several requests may have caused the crash, so each is tried alone.
TEST_F(CrashEvidenceTest, TriesEachPartIfSeveralMayBeTheCause)
{
    evidence_.onCrash(crash(1, start,
                            {{.traits = request(2, {firstPart, deadly}), .hadHead = false},
                             {.traits = request(3, {other}), .hadHead = false}}),
                      start);
    EXPECT_EQ(judge({deadly}), Verdict::Suspect);
    EXPECT_EQ(judge({other}), Verdict::Suspect);
    EXPECT_EQ(judge({another}), Verdict::Allowed);
    begin(request(3, {other}));
    EXPECT_EQ(judge({other}), Verdict::Allowed);
    evidence_.onCrash(crash(2, start, {{.traits = request(4, {firstPart, deadly}), .hadHead = false}}), start);
    EXPECT_EQ(judge({firstPart, deadly}), Verdict::Quarantined);
    EXPECT_EQ(judge({firstPart}), Verdict::Suspect);
}

// Guards against parts that pay for a crash which another part explains: that was at more crashes.
TEST_F(CrashEvidenceTest, BlamesThePartThatWasAtMostCrashes)
{
    for (std::uint64_t id = 1; id <= 3; ++id) {
        evidence_.onCrash(crash(id, start,
                                {{.traits = request(10 + id, {deadly}), .hadHead = false},
                                 {.traits = request(20 + id, {id < 3 ? other : another}), .hadHead = false}}),
                          start);
    }
    EXPECT_EQ(judge({deadly}), Verdict::Quarantined);
    EXPECT_EQ(judge({other}), Verdict::Allowed);
    EXPECT_EQ(judge({another}), Verdict::Allowed);
}

// Guards against trust in the past: a part with which answers had begun may crash servers from some moment on.
TEST_F(CrashEvidenceTest, RefusesAPartThatWasHarmlessBefore)
{
    begin(request(1, {deadly}));
    evidence_.onCrash(crash(1, start, {{.traits = request(2, {deadly}), .hadHead = true}}), start);
    EXPECT_EQ(judge({deadly}), Verdict::Suspect);
    const auto later = start + std::chrono::milliseconds(200);
    evidence_.onCrash(crash(2, later, {{.traits = request(3, {deadly}), .hadHead = true}}), later);
    EXPECT_EQ(judge({deadly}, later), Verdict::Quarantined);
}

// Guards against sound requests that are refused because several servers were lost at the same moment, with a cause in
// common that is no request: the part of all these requests had no chance to be cleared in between.
TEST_F(CrashEvidenceTest, DoesNotCountCrashesAtOneMomentAgainstAProvenPart)
{
    begin(request(1, {firstPart}));
    for (std::uint64_t id = 1; id <= 5; ++id) {
        evidence_.onCrash(crash(id, start, {{.traits = request(10 + id, {firstPart}), .hadHead = false}}), start);
    }
    EXPECT_EQ(judge({firstPart}), Verdict::Suspect);
    begin(request(2, {firstPart}));
    EXPECT_EQ(judge({firstPart}), Verdict::Allowed);
}

// Guards against a cut that is taken for the crash of all servers behind it: what was at them is not to blame.
TEST_F(CrashEvidenceTest, DoesNotBlameRequestsForALossOfManyServersAtOnce)
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        evidence_.onCrash(crash(id, start + std::chrono::milliseconds(id),
                                {{.traits = request(10 + id, {TraitHash(50 + id)}), .hadHead = true}}),
                          start + std::chrono::milliseconds(id));
    }
    for (std::uint64_t id = 1; id <= 6; ++id) {
        EXPECT_EQ(judge({TraitHash(50 + id)}, start + std::chrono::seconds(1)), Verdict::Allowed);
    }
}

// Guards against a burst of one kind of request that crashes many servers at the same moment and passes for a cut.
TEST_F(CrashEvidenceTest, BlamesThePartThatWasAtMostOfManyServersLostAtOnce)
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        evidence_.onCrash(
            crash(id, start, {{.traits = request(10 + id, {deadly, TraitHash(50 + id)}), .hadHead = true}}), start);
    }
    EXPECT_EQ(judge({deadly}), Verdict::Quarantined);
    EXPECT_NE(judge({TraitHash(51)}), Verdict::Quarantined);
}

// Guards against long refusals because of servers that may only be cut off: without a sign that a request is to blame,
// nor another start of the server, they last some seconds.
TEST_F(CrashEvidenceTest, RefusesForLongOnlyWhatIsConfirmed)
{
    const auto later = start + std::chrono::seconds(1);
    evidence_.onCrash(crash(1, start, {{.traits = request(1, {deadly}), .hadHead = false}}), start);
    EXPECT_EQ(judge({deadly}), Verdict::Suspect);
    evidence_.onCrash(crash(2, later, {{.traits = request(2, {deadly}), .hadHead = false}}), later);
    EXPECT_EQ(judge({deadly}, later), Verdict::Quarantined);
    EXPECT_EQ(judge({deadly}, later + std::chrono::seconds(20)), Verdict::Allowed);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        auto confirmed = crash(id, later, {});
        confirmed.isConfirmed = true;
        evidence_.onCrash(confirmed, later);
    }
    EXPECT_EQ(judge({deadly}, later + std::chrono::seconds(20)), Verdict::Quarantined);
}

// Guards against a cut-off server that goes on being held against what was at it when it is back.
TEST_F(CrashEvidenceTest, DropsWhatIsRefuted)
{
    const auto found = crash(1, start, {{.traits = request(2, {deadly}), .hadHead = true}});
    evidence_.onCrash(found, start);
    EXPECT_EQ(judge({deadly}), Verdict::Quarantined);
    EXPECT_TRUE(evidence_.onRefuted(found.id));
    EXPECT_EQ(judge({deadly}), Verdict::Allowed);
    EXPECT_EQ(evidence_.digest(), 0U);
    // Another entry that has not heard of it yet does not bring it back.
    EXPECT_FALSE(evidence_.onCrash(found, start));
    EXPECT_EQ(judge({deadly}), Verdict::Allowed);
}

// Guards against entries that never agree, and so tell each other the same for ever: each has seen other requests at
// the same crash, more in all than are remembered.
TEST_F(CrashEvidenceTest, AgreesOnRequestsWhoeverTellsThemFirst)
{
    CrashEvidence peer;
    for (std::uint64_t number = 0; number < 40; ++number) {
        const CrashCandidate candidate{.traits = request(number, {TraitHash(100 + number)}), .hadHead = number == 33};
        (number % 2 == 0 ? evidence_ : peer).onCrash(crash(1, start, {candidate}), start);
    }
    EXPECT_TRUE(evidence_.onCrash(peer.crashes().front(), start));
    peer.onCrash(evidence_.crashes().front(), start);
    EXPECT_EQ(evidence_.digest(), peer.digest());
    EXPECT_EQ(judge({TraitHash(133)}), Verdict::Quarantined);
    EXPECT_FALSE(evidence_.onCrash(peer.crashes().front(), start));
}

// Guards against the same with a request of which two entries remember other parts.
TEST_F(CrashEvidenceTest, AgreesOnThePartsOfARequest)
{
    CrashEvidence peer;
    evidence_.onCrash(crash(1, start, {{.traits = request(1, {firstPart, deadly}), .hadHead = true}}), start);
    peer.onCrash(crash(1, start, {{.traits = request(1, {firstPart, other}), .hadHead = true}}), start);
    evidence_.onCrash(peer.crashes().front(), start);
    peer.onCrash(evidence_.crashes().front(), start);
    EXPECT_EQ(evidence_.digest(), peer.digest());
}

// Guards against crashes that entries forget and teach each other again for ever.
TEST_F(CrashEvidenceTest, DoesNotTakeBackWhatHasExpired)
{
    const auto old = crash(1, start, {{.traits = request(1, {deadly}), .hadHead = false}});
    evidence_.onCrash(old, start);
    const auto later = start + std::chrono::seconds(40);
    evidence_.expire(later);
    EXPECT_TRUE(evidence_.crashes().empty());
    EXPECT_FALSE(evidence_.onCrash(old, later));
    EXPECT_TRUE(evidence_.crashes().empty());
}

// Guards against the same if more crashes are known in all than are remembered.
TEST_F(CrashEvidenceTest, DoesNotTakeBackWhatHadToMakeRoom)
{
    const auto told = [](std::uint64_t id) {
        return crash(id, start + std::chrono::seconds(id), {{.traits = request(id, {deadly}), .hadHead = true}});
    };
    const auto now = start + std::chrono::seconds(200);
    for (std::uint64_t id = 1; id <= 140; ++id) {
        evidence_.onCrash(told(id), now);
    }
    EXPECT_FALSE(evidence_.onCrash(told(1), now));
    EXPECT_EQ(evidence_.crashes().size(), 128U);
}

// Guards against a request without parts that comes again and again and crashes each server that runs it.
TEST_F(CrashEvidenceTest, RefusesARepeatedRequestAsAWhole)
{
    const auto repeated = request(7, {});
    evidence_.onCrash(crash(1, start, {{.traits = repeated, .hadHead = false}}), start);
    EXPECT_EQ(evidence_.judge(repeated, start), Verdict::Suspect);
    evidence_.onCrash(crash(2, start, {{.traits = repeated, .hadHead = false}}), start);
    EXPECT_EQ(evidence_.judge(repeated, start), Verdict::Quarantined);
    EXPECT_EQ(evidence_.judge(request(8, {}), start), Verdict::Allowed);
}

// Guards against an entry that starts and does not learn from the others what only two crashes together prove, in
// whatever order it hears of them.
TEST_F(CrashEvidenceTest, LearnsCrashesThatProveSomethingOnlyTogether)
{
    const auto repeated = request(7, {firstPart});
    for (std::uint64_t id = 1; id <= 2; ++id) {
        auto found = crash(id, start, {{.traits = repeated, .hadHead = false}});
        found.isConfirmed = true;
        evidence_.onCrash(found, start);
        begin(request(20 + id, {firstPart}));
    }
    EXPECT_EQ(evidence_.judge(repeated, start), Verdict::Quarantined);
    for (const auto age : {seconds(1), seconds(240)}) {
        CrashEvidence restarted;
        for (const auto &known : evidence_.crashes()) {
            restarted.onCrash(known, start + age);
        }
        restarted.expire(start + age);
        EXPECT_EQ(restarted.judge(repeated, start + age), Verdict::Quarantined);
        EXPECT_EQ(restarted.digest(), evidence_.digest());
    }
}

// Guards against a request that crashes servers before they answer it and goes unnoticed, since answers to others had
// begun there: these pay for it, though it alone was at all of the crashes.
TEST_F(CrashEvidenceTest, BlamesARequestThatComesAgainBesideBegunAnswers)
{
    const auto repeated = request(7, {});
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const auto time = start + id * seconds(1);
        const std::vector<CrashCandidate> candidates = {
            {.traits = repeated, .hadHead = false},
            {.traits = request(20 + id, {firstPart, TraitHash(50 + id)}), .hadHead = true}};
        evidence_.onCrash(crash(id, time, candidates), time);
        begin(request(30 + id, {firstPart}));
    }
    const auto later = start + seconds(4);
    EXPECT_EQ(evidence_.judge(repeated, later), Verdict::Quarantined);
    EXPECT_EQ(judge({firstPart, TraitHash(51)}, later), Verdict::Allowed);
    EXPECT_EQ(judge({firstPart, TraitHash(53)}, later), Verdict::Allowed);
}

// Guards against a request that many callers send and that was at all crashes of another one: it is left alone, or
// tried again after seconds where nothing else explains the crashes.
TEST_F(CrashEvidenceTest, LeavesARequestAloneThatServersHadAnsweredBefore)
{
    const auto popular = request(5, {});
    const auto repeated = request(7, {});
    begin(popular);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const auto time = start + id * seconds(1);
        auto found = crash(id, time, {{.traits = popular, .hadHead = false}, {.traits = repeated, .hadHead = false}});
        found.isConfirmed = true;
        evidence_.onCrash(found, time);
    }
    EXPECT_EQ(evidence_.judge(repeated, start + seconds(60)), Verdict::Quarantined);
    EXPECT_NE(evidence_.judge(popular, start + seconds(3)), Verdict::Quarantined);
    for (std::uint64_t id = 4; id <= 5; ++id) {
        crashUnder(id, start + id * seconds(1), popular);
    }
    EXPECT_EQ(evidence_.judge(popular, start + seconds(9)), Verdict::Quarantined);
    EXPECT_EQ(evidence_.judge(popular, start + seconds(11)), Verdict::Suspect);
    begin(popular);
    EXPECT_EQ(evidence_.judge(popular, start + seconds(11)), Verdict::Allowed);
    EXPECT_EQ(evidence_.judge(repeated, start + seconds(60)), Verdict::Quarantined);
}

// Guards against a request that crashes servers for ever because they had answered it before.
TEST_F(CrashEvidenceTest, RefusesARequestThatWasHarmlessBefore)
{
    const auto repeated = request(7, {});
    begin(repeated);
    int crashes = 0;
    for (auto time = start; time < start + seconds(300); time += std::chrono::milliseconds(200)) {
        if (evidence_.judge(repeated, time) != Verdict::Quarantined) {
            crashUnder(++crashes, time, repeated);
        }
    }
    EXPECT_LE(crashes, 5);
}

// Guards against a request that is never remembered, since each server that it crashes has more requests than are
// remembered and it is always the same ones that are left out.
TEST_F(CrashEvidenceTest, RemembersEachRequestOfSomeOfManyCrashes)
{
    const RequestTraits repeated{.whole = TraitHash(~std::uint64_t(0))};
    auto time = start;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        time += seconds(1);
        std::vector<CrashCandidate> candidates;
        for (std::uint64_t number = 0; number < 40; ++number) {
            candidates.push_back({.traits = request(100 * id + number, {firstPart}), .hadHead = false});
        }
        candidates.push_back({.traits = repeated, .hadHead = false});
        evidence_.onCrash(crash(id, time, candidates), time);
        begin(request(9000 + id, {firstPart}));
    }
    EXPECT_EQ(evidence_.judge(repeated, time), Verdict::Quarantined);
}

// Guards against crashes that count for nothing because the server was back so soon that its answer seemed to refute
// them: they still tell of a request that comes again, and of everything once another start of the server is seen.
TEST_F(CrashEvidenceTest, HoldsRefutedCrashesAgainstARequestThatComesAgain)
{
    const auto repeated = request(7, {deadly});
    for (std::uint64_t id = 1; id <= 3; ++id) {
        evidence_.onCrash(crash(id, start + id * seconds(1), {{.traits = repeated, .hadHead = true}}), start);
        evidence_.onRefuted(CrashId(id));
    }
    EXPECT_EQ(evidence_.judge(repeated, start + seconds(60)), Verdict::Quarantined);
    EXPECT_EQ(judge({deadly}, start + seconds(4)), Verdict::Allowed);
    CrashEvidence peer;
    for (const auto &known : evidence_.crashes()) {
        peer.onCrash(known, start + seconds(4));
    }
    EXPECT_EQ(peer.digest(), evidence_.digest());
    EXPECT_EQ(peer.judge(repeated, start + seconds(60)), Verdict::Quarantined);
    evidence_.onConfirmed(CrashId(1));
    EXPECT_NE(peer.digest(), evidence_.digest());
    EXPECT_EQ(judge({deadly}, start + seconds(4)), Verdict::Quarantined);
}

// Guards against a request that is let through again each time its quarantine of seconds is over: nothing confirms its
// crashes, and they may lie far apart.
TEST_F(CrashEvidenceTest, RefusesForLongWhatComesAgainThoughNothingConfirmsItsCrashes)
{
    const auto repeated = request(7, {});
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const auto time = start + id * seconds(60);
        evidence_.expire(time);
        EXPECT_NE(evidence_.judge(repeated, time), Verdict::Quarantined);
        evidence_.onCrash(crash(id, time, {{.traits = repeated, .hadHead = false}}), time);
    }
    const auto last = start + seconds(180);
    evidence_.expire(last + seconds(500));
    EXPECT_EQ(evidence_.judge(repeated, last + seconds(500)), Verdict::Quarantined);
    EXPECT_EQ(evidence_.judge(request(8, {}), last), Verdict::Allowed);
    evidence_.expire(last + seconds(601));
    EXPECT_EQ(evidence_.judge(repeated, last + seconds(601)), Verdict::Allowed);
}

// Guards against a request that is sent to servers by all entries at once when a quarantine of seconds is over.
TEST_F(CrashEvidenceTest, TriesWhatTwoDoubtfulCrashesExplainAfterItsQuarantine)
{
    const auto repeated = request(7, {firstPart});
    for (std::uint64_t id = 1; id <= 2; ++id) {
        evidence_.onCrash(crash(id, start + id * seconds(1), {{.traits = repeated, .hadHead = false}}), start);
        begin(request(20 + id, {firstPart}));
    }
    EXPECT_EQ(evidence_.judge(repeated, start + seconds(6)), Verdict::Quarantined);
    EXPECT_EQ(evidence_.judge(repeated, start + seconds(8)), Verdict::Suspect);
    EXPECT_EQ(evidence_.judge(request(9, {firstPart}), start + seconds(8)), Verdict::Allowed);
}

// Guards against a second crash of a server that passes for the first one because nothing tells its starts apart.
TEST_F(CrashEvidenceTest, NamesCrashesOfAServerByWhatWasSentInBetween)
{
    constexpr ServerKey server{5};
    const auto first = evidence_.nameOf(server, start - seconds(1));
    evidence_.onCrash(
        {.id = first.id(), .at = start, .name = first, .candidates = {{.traits = request(7, {}), .hadHead = false}}},
        start);
    EXPECT_EQ(evidence_.nameOf(server, start - seconds(2)).id(), first.id());
    const auto second = evidence_.nameOf(server, start + seconds(1));
    EXPECT_NE(second.id(), first.id());
    EXPECT_EQ(evidence_.nameOf(ServerKey(6), start + seconds(1)).number, 0U);
    evidence_.onCrash({.id = second.id(),
                       .at = start + seconds(2),
                       .name = second,
                       .candidates = {{.traits = request(7, {}), .hadHead = false}}},
                      start + seconds(2));
    EXPECT_EQ(evidence_.nameOf(server, start + seconds(1)).id(), second.id());
    EXPECT_EQ(evidence_.nameOf(server, start + seconds(3)).number, 2U);
    ASSERT_NE(evidence_.lastCrashOf(server, start + seconds(1)), nullptr);
    EXPECT_EQ(evidence_.lastCrashOf(server, start + seconds(1))->id, first.id());
    EXPECT_EQ(evidence_.lastCrashOf(server, start), nullptr);
    EXPECT_EQ(evidence_.judge(request(7, {}), start + seconds(2)), Verdict::Quarantined);
}

// Guards against requests without parts that crash server after server, no two of them alike: all they share is their
// origin. They are refused for longer each time, and tried one at a time in between.
TEST_F(CrashEvidenceTest, RefusesAnOriginWhoseRequestsCrashServers)
{
    crashUnder(1, start, fromOrigin(1));
    EXPECT_EQ(evidence_.judge(fromOrigin(8), start), Verdict::Allowed);
    crashUnder(2, start + seconds(1), fromOrigin(2));
    EXPECT_EQ(evidence_.judge(fromOrigin(8), start + seconds(5)), Verdict::Quarantined);
    EXPECT_EQ(evidence_.judge(request(9, {}), start + seconds(5)), Verdict::Allowed);
    EXPECT_EQ(evidence_.judge(fromOrigin(8), start + seconds(7)), Verdict::Suspect);
    crashUnder(3, start + seconds(7), fromOrigin(3));
    EXPECT_EQ(evidence_.judge(fromOrigin(8), start + seconds(16)), Verdict::Quarantined);
    EXPECT_EQ(evidence_.judge(fromOrigin(8), start + seconds(18)), Verdict::Suspect);
}

// Guards against sound requests of a caller that pay for a single one which comes again and again.
TEST_F(CrashEvidenceTest, DoesNotBlameTheOriginOfARepeatedRequest)
{
    crashUnder(1, start, fromOrigin(1));
    crashUnder(2, start + seconds(1), fromOrigin(1));
    EXPECT_EQ(evidence_.judge(fromOrigin(1), start + seconds(1)), Verdict::Quarantined);
    EXPECT_EQ(evidence_.judge(fromOrigin(2), start + seconds(1)), Verdict::Allowed);
}

// Guards against sound orders of a caller that were at the same servers as a single one which comes again and again.
TEST_F(CrashEvidenceTest, DoesNotBlameAnOriginForRequestsBesideARepeatedOne)
{
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const auto time = start + id * seconds(1);
        auto found = crash(
            id, time, {{.traits = fromOrigin(7), .hadHead = false}, {.traits = fromOrigin(20 + id), .hadHead = false}});
        found.isConfirmed = true;
        evidence_.onCrash(found, time);
    }
    EXPECT_EQ(evidence_.judge(fromOrigin(7), start + seconds(3)), Verdict::Quarantined);
    EXPECT_EQ(evidence_.judge(fromOrigin(8), start + seconds(3)), Verdict::Allowed);
}

// Guards against an origin that is let off because each of its requests was sent again once and crashed two servers.
TEST_F(CrashEvidenceTest, BlamesAnOriginWhoseRequestsEachCrashTwoServers)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        crashUnder(id, start + id * seconds(1), fromOrigin(id / 2));
    }
    EXPECT_EQ(evidence_.judge(fromOrigin(8), start + seconds(4)), Verdict::Quarantined);
}

// Guards against callers that pay for crashes with another cause: most of their requests are answered in between, and
// one that was at a crash is answered when it comes again.
TEST_F(CrashEvidenceTest, HoldsSoundRequestsAgainstTheCrashesOfTheirOrigin)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const auto time = start + id * seconds(1);
        crashUnder(id, time, fromOrigin(id));
        EXPECT_EQ(evidence_.judge(fromOrigin(99), time), Verdict::Allowed) << id;
        for (std::uint64_t sound = 0; sound < 3; ++sound) {
            begin(fromOrigin(10 * id + sound));
        }
    }
    crashUnder(5, start + seconds(5), fromOrigin(5));
    begin(fromOrigin(5));
    crashUnder(6, start + seconds(6), fromOrigin(6));
    EXPECT_EQ(evidence_.judge(fromOrigin(99), start + seconds(6)), Verdict::Allowed);
}

// Guards against a caller whose requests crash servers as often as not and that is let off by each sound one.
TEST_F(CrashEvidenceTest, RefusesAnOriginInSpiteOfSomeSoundRequests)
{
    for (std::uint64_t id = 1; id <= 2; ++id) {
        crashUnder(id, start + id * seconds(1), fromOrigin(id));
        begin(fromOrigin(10 + id));
    }
    EXPECT_EQ(evidence_.judge(fromOrigin(99), start + seconds(2)), Verdict::Quarantined);
}

// Guards against entries that never agree because each has seen other sound requests of an origin.
TEST_F(CrashEvidenceTest, AgreesOnSoundRequestsOfAnOrigin)
{
    CrashEvidence peer;
    crashUnder(1, start, fromOrigin(1));
    peer.onCrash(evidence_.crashes().front(), start);
    std::vector<CrashId> cleared;
    for (std::uint64_t number = 10; number < 20; ++number) {
        (number % 2 == 0 ? evidence_ : peer).onAnswerBegun(fromOrigin(number), cleared);
    }
    peer.onCrash(evidence_.crashes().front(), start);
    evidence_.onCrash(peer.crashes().front(), start);
    EXPECT_EQ(evidence_.digest(), peer.digest());
    EXPECT_EQ(evidence_.crashes().front().soundSince.size(), soundRequestsToClear);
    EXPECT_FALSE(evidence_.onCrash(peer.crashes().front(), start));
}

// Guards against a verdict for ever: evidence ends, and what is sound now is served again.
TEST_F(CrashEvidenceTest, ForgetsCrashes)
{
    evidence_.onCrash(crash(1, start, {{.traits = request(2, {deadly}), .hadHead = true}}), start);
    EXPECT_EQ(judge({deadly}, start + std::chrono::minutes(1)), Verdict::Quarantined);
    EXPECT_EQ(judge({deadly}, start + std::chrono::seconds(150)), Verdict::Suspect);
    EXPECT_EQ(judge({deadly}, start + std::chrono::minutes(4)), Verdict::Allowed);
    evidence_.onCrash(crash(2, start + std::chrono::minutes(4), {{.traits = request(3, {deadly}), .hadHead = true}}),
                      start + std::chrono::minutes(4));
    EXPECT_EQ(judge({deadly}, start + std::chrono::minutes(9)), Verdict::Quarantined);
    evidence_.expire(start + std::chrono::minutes(15));
    EXPECT_TRUE(evidence_.crashes().empty());
    EXPECT_EQ(judge({deadly}, start + std::chrono::minutes(15)), Verdict::Allowed);
    // News that are older than any evidence counts do not revive it.
    EXPECT_FALSE(evidence_.onCrash(crash(1, start, {{.traits = request(2, {deadly}), .hadHead = true}}),
                                   start + std::chrono::minutes(15)));
}

// Guards against memory that grows with crashes, and against crashes without a meaning that displace those with one.
TEST_F(CrashEvidenceTest, KeepsABoundedNumberOfCrashes)
{
    evidence_.onCrash(crash(1, start, {{.traits = request(1, {deadly}), .hadHead = true}}), start);
    for (std::uint64_t id = 2; id < 500; ++id) {
        const auto traits = request(id, {TraitHash(100000 + id)});
        evidence_.onCrash(crash(id, start + std::chrono::seconds(1), {{.traits = traits, .hadHead = false}}),
                          start + std::chrono::seconds(1));
        begin(traits);
    }
    EXPECT_LE(evidence_.crashes().size(), 128U);
    EXPECT_EQ(judge({deadly}, start + std::chrono::seconds(1)), Verdict::Quarantined);
}

// Guards against entries that come to different verdicts: what they know is merged in any order and any number of
// times.
TEST_F(CrashEvidenceTest, MergesInAnyOrder)
{
    RandomSource random(4);
    for (int round = 0; round < 50; ++round) {
        std::vector<ServerCrash> facts;
        for (int i = 0; i < 12; ++i) {
            auto fact = crash(1 + random.below(4), start,
                              {{.traits = request(random.below(5), {TraitHash(1 + random.below(6))}),
                                .hadHead = random.below(3) == 0}});
            // One request has the same parts wherever it is seen.
            auto &traits = fact.candidates.front().traits;
            traits.parts = {TraitHash(1 + traits.whole.value() % 6)};
            if (random.below(2) == 0) {
                fact.cleared = traits.parts;
            }
            facts.push_back(std::move(fact));
        }
        CrashEvidence one;
        CrashEvidence two;
        for (const auto &fact : facts) {
            one.onCrash(fact, start);
        }
        for (int i = 0; i < 40; ++i) {
            two.onCrash(facts[random.below(facts.size())], start);
        }
        for (auto fact = facts.rbegin(); fact != facts.rend(); ++fact) {
            two.onCrash(*fact, start);
        }
        // A crash that is settled when it comes is not kept, so both hear all that the other knows.
        for (int exchange = 0; exchange < 2; ++exchange) {
            for (const auto &known : std::vector(one.crashes())) {
                two.onCrash(known, start);
            }
            for (const auto &known : std::vector(two.crashes())) {
                one.onCrash(known, start);
            }
        }
        EXPECT_EQ(one.digest(), two.digest());
        for (std::uint64_t part = 1; part <= 6; ++part) {
            const auto traits = request(999, {TraitHash(part)});
            EXPECT_EQ(one.judge(traits, start), two.judge(traits, start));
        }
    }
}

} // namespace
} // namespace hornbeamlane
