#include "ctl/Output.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace hornbeamlane::ctl {

namespace {

std::string cell(const Json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_array()) {
        return value.dump();
    }
    std::string joined;
    for (const auto &element : value) {
        joined += (joined.empty() ? "" : ", ") + cell(element);
    }
    return joined.empty() ? "none" : joined;
}

std::string rows(const Json &objects)
{
    std::map<std::string, std::size_t> widths;
    for (const auto &object : objects) {
        for (const auto &[name, value] : object.items()) {
            widths[name] = std::max({widths[name], name.size(), cell(value).size()});
        }
    }
    std::string text;
    const auto addLine = [&](const auto &valueOf) {
        std::string line = "  ";
        for (const auto &[name, value] : objects.front().items()) {
            auto content = valueOf(name);
            content.resize(widths[name] + 2, ' ');
            line += content;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    };
    addLine([](const std::string &name) { return name; });
    for (const auto &object : objects) {
        addLine([&object](const std::string &name) { return object.contains(name) ? cell(object[name]) : ""; });
    }
    return text;
}

} // namespace

std::string formatTable(const Json &result)
{
    std::string text;
    for (const auto &[name, value] : result.items()) {
        if (value.is_array() && !value.empty() && value.front().is_object()) {
            text += name + ":\n" + rows(value);
        } else {
            text += name + ": " + cell(value) + "\n";
        }
    }
    return text;
}

void printResult(const Json &result, bool asJson)
{
    const auto text = asJson ? result.dump(2, ' ', false, Json::error_handler_t::replace) + "\n" : formatTable(result);
    std::fputs(text.c_str(), stdout);
}

} // namespace hornbeamlane::ctl
