#include "hornbeamlane_dispatch/stream/EventStreamFilter.h"

namespace hornbeamlane {

namespace {

/** End of the event that starts at the given place, behind its blank line; npos if it is not complete. */
std::size_t endOfEvent(std::string_view text, std::size_t start)
{
    auto lineStart = start;
    while (true) {
        const auto lineEnd = text.find('\n', lineStart);
        if (lineEnd == std::string_view::npos) {
            return std::string_view::npos;
        }
        auto line = text.substr(lineStart, lineEnd - lineStart);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
    }
}

} // namespace

std::string_view EventStreamFilter::push(std::string_view bytes)
{
    pending_.erase(0, passed_);
    passed_ = 0;
    pending_.append(bytes);
    const std::string_view text = pending_;
    while (true) {
        const auto end = endOfEvent(text, passed_);
        if (end == std::string_view::npos) {
            break;
        }
        noteEvent(text.substr(passed_, end - passed_));
        passed_ = end;
    }
    return text.substr(0, passed_);
}

void EventStreamFilter::dropPartialEvent()
{
    pending_.clear();
    passed_ = 0;
}

void EventStreamFilter::noteEvent(std::string_view event)
{
    bool hasContent = false;
    std::size_t start = 0;
    while (start < event.size()) {
        const auto end = event.find('\n', start);
        auto line = event.substr(start, end == std::string_view::npos ? end : end - start);
        start = end == std::string_view::npos ? event.size() : end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        hasContent = hasContent || !line.empty();
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            lastEventId_ = std::string(line);
        }
    }
    if (hasContent) {
        ++completeEvents_;
    }
}

} // namespace hornbeamlane
