#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace hornbeamlane::ctl {

/** Keeps the order in which fields are added. */
using Json = nlohmann::ordered_json;

/** Text form of a result: a line for each value, aligned columns for each array of objects. */
std::string formatTable(const Json &result);

/** Prints the result to standard output as JSON or as text. */
void printResult(const Json &result, bool asJson);

} // namespace hornbeamlane::ctl
