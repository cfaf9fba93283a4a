#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::seconds;

constexpr TimePoint start{Duration(std::chrono::hours(1))};
const DataCentreId east("east");
const DataCentreId west("west");
using DataCentres = std::set<DataCentreId>;

// Guards against new work for a data centre whose evacuation the store has lost, and against an evacuation that was
// lifted and comes back with the copy.
TEST(EvacuationBookTest, KeepsWhatARestoredStoreHasLost)
{
    EvacuationBook book;
    book.onSnapshot({west});
    book.onRow(west, false);
    book.onRow(east, true);
    book.onRestored({west}, start);
    EXPECT_EQ(book.evacuated(start), DataCentres{east});
    // A second read in the same era tells nothing new.
    book.onSnapshot({west});
    EXPECT_EQ(book.evacuated(start + seconds(1)), DataCentres{east});
}

// Guards against an evacuation that is kept although the operator has lifted it: each row that is written counts at
// once, and the store counts alone when the operator must have written.
TEST(EvacuationBookTest, BelievesWhatIsWrittenAgain)
{
    EvacuationBook book({.restoredGrace = seconds(10)});
    book.onSnapshot({east});
    book.onRestored({west}, start);
    book.onRow(east, true);
    book.onRow(east, false);
    EXPECT_EQ(book.evacuated(start + seconds(1)), DataCentres{});
    EXPECT_EQ(book.nextChangeAt(start + seconds(1)), start + seconds(10));
    EXPECT_EQ(book.evacuated(start + seconds(10)), DataCentres{west});
    EXPECT_EQ(book.nextChangeAt(start + seconds(10)), std::nullopt);
}

// Guards against a second restore that makes the book believe the first copy.
TEST(EvacuationBookTest, KeepsWhatIsKnownOverTwoRestores)
{
    EvacuationBook book({.restoredGrace = seconds(10)});
    book.onSnapshot({east});
    book.onRestored({}, start);
    book.onRestored({}, start + seconds(5));
    EXPECT_EQ(book.evacuated(start + seconds(14)), DataCentres{east});
    EXPECT_EQ(book.evacuated(start + seconds(15)), DataCentres{});
}

// Guards against new work for a server that leaves, and for the earlier start of a server, because the rows in which it
// said so are lost.
TEST(RestoredServerTest, NeitherReturnsNorGoesBack)
{
    const BackendSpec row{
        .id = ServerId("s"), .service = ServiceId("desk"), .address = "10.0.0.1:80", .incarnation = 7};
    EXPECT_FALSE(restoredServer(row, nullptr)->isDraining);
    Backend known{.spec = row};
    EXPECT_FALSE(restoredServer(row, &known)->isDraining);
    known.spec.isDraining = true;
    EXPECT_TRUE(restoredServer(row, &known)->isDraining);
    auto later = row;
    later.incarnation = 8;
    EXPECT_FALSE(restoredServer(later, &known)->isDraining);
    known.spec.incarnation = 9;
    EXPECT_FALSE(restoredServer(row, &known));
    known.isGone = true;
    EXPECT_TRUE(restoredServer(row, &known));
}

// Guards against a service without servers because the store has lost the rows of those that came last.
TEST(LapseWindowTest, KeepsServersThatARestoredStoreDoesNotName)
{
    LapseWindow lapses;
    EXPECT_FALSE(lapses.usableUntil(start));
    lapses.onRestored(start);
    EXPECT_EQ(lapses.usableUntil(start), start + seconds(10));
    // Later removals are told by the restored store.
    EXPECT_FALSE(lapses.usableUntil(start + seconds(1)));
}

} // namespace
} // namespace hornbeamlane
