#pragma once

#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <optional>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Reads the platform's host list, {"hosts": [...]}; empty if it has another form. Faulty hosts are left out. */
std::optional<std::vector<HostRecord>> readHostList(std::string_view text);

} // namespace hornbeamlane
