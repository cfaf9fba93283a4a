#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace hornbeamlane::ctl {

/** Text form of a result: a line for each value, aligned columns for each array of objects. */
std::string formatTable(const nlohmann::ordered_json &result);

/** Prints the result to standard output as JSON or as text. */
void printResult(const nlohmann::ordered_json &result, bool asJson);

} // namespace hornbeamlane::ctl
