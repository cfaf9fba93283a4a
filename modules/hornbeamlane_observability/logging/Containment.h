#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** Runs the handler of one row, message or reply from outside. An exception ends that handler only: it is logged with
    the subject's name, and false is returned. */
bool runContained(std::string_view event, const std::string &subject, const std::function<void()> &handler);

} // namespace hornbeamlane
