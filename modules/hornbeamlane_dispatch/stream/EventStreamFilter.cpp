#include "hornbeamlane_dispatch/stream/EventStreamFilter.h"

namespace hornbeamlane {

std::string_view EventStreamFilter::push(std::string_view bytes)
{
    pending_.erase(0, passed_);
    lineStart_ -= passed_;
    looked_ -= passed_;
    passed_ = 0;
    pending_.append(bytes);
    const std::string_view text = pending_;
    // Each byte is looked at once, however many pieces an event comes in.
    while (true) {
        const auto lineEnd = text.find('\n', looked_);
        if (lineEnd == std::string_view::npos) {
            looked_ = text.size();
            break;
        }
        const auto line = text.substr(lineStart_, lineEnd - lineStart_);
        lineStart_ = looked_ = lineEnd + 1;
        if (line.empty() || line == "\r") {
            noteEvent(text.substr(passed_, lineStart_ - passed_));
            passed_ = lineStart_;
        }
    }
    return text.substr(0, passed_);
}

void EventStreamFilter::dropPartialEvent()
{
    pending_.clear();
    passed_ = 0;
    lineStart_ = 0;
    looked_ = 0;
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
