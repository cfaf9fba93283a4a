#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

// Guards against a piece of an event that is passed on and then sent again by the server that resumes the stream.
TEST(EventStreamFilterTest, PassesOnWholeEventsOnly)
{
    EventStreamFilter filter;
    EXPECT_EQ(filter.push("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(filter.lastEventId(), "1");
    EXPECT_EQ(filter.partialEvent(), "id: 2\nda");
    filter.dropPartialEvent();
    EXPECT_EQ(filter.push("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(filter.lastEventId(), "2");
    EXPECT_EQ(filter.completeEvents(), 2U);
}

// Guards against streams that a server cuts at odd places or ends its lines otherwise.
TEST(EventStreamFilterTest, AcceptsAnySplitAndLineEnd)
{
    const std::string text = "id:7\r\ndata: x\r\n\r\n: comment\n\ndata: no id\n\n";
    EventStreamFilter filter;
    std::string passed;
    for (const char byte : text) {
        passed += filter.push(std::string_view(&byte, 1));
    }
    EXPECT_EQ(passed, text);
    EXPECT_EQ(filter.lastEventId(), "7");
}

// Guards against losing the caller's own position when the first server fails before its first event.
TEST(EventStreamFilterTest, KeepsTheCallersPosition)
{
    EventStreamFilter filter;
    filter.setLastEventId("12");
    filter.push("id: 13\nda");
    filter.dropPartialEvent();
    EXPECT_EQ(filter.lastEventId(), "12");
}

} // namespace
} // namespace hornbeamlane
