#include "ctl/explain.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <optional>
#include <vector>

#include "ctl/commandcontext.h"

namespace Galenabarrow::Ctl
{

namespace
{

/// Events that change the configuration or the state by which an instance handles requests, or that report lost log lines.
constexpr std::array<std::string_view, 16> StateEvents { "config_in_force",
                                                         "core_instance_chosen",
                                                         "leader_changed",
                                                         "change_decided",
                                                         "started",
                                                         "stopping",
                                                         "stopped",
                                                         "lines_dropped",
                                                         "settings_reloaded",
                                                         "entry_lost",
                                                         "lines_lost",
                                                         "config_applied",
                                                         "evacuation_started",
                                                         "evacuation_in_force",
                                                         "evacuation_ended",
                                                         "evacuation_decided" };

/// The value of a field of a line; empty if the line has no such field. Values with spaces are quoted.
std::string_view fieldOf(std::string_view line, std::string_view key)
{
    const std::string pattern = std::string(key) + "=";
    std::size_t at = line.find(pattern);
    while (at != std::string_view::npos && at > 0 && line[at - 1] != ' ') {
        at = line.find(pattern, at + 1);
    }
    if (at == std::string_view::npos) {
        return {};
    }
    std::string_view value = line.substr(at + pattern.size());
    if (value.starts_with('"')) {
        value.remove_prefix(1);
        return value.substr(0, value.find('"'));
    }
    return value.substr(0, value.find(' '));
}

bool isStateEvent(std::string_view line)
{
    const std::string_view event = fieldOf(line, "event");
    return std::find(StateEvents.begin(), StateEvents.end(), event) != StateEvents.end();
}

/// The last word before the time: the name of the instance, if the log collector adds one; otherwise empty.
std::string_view sourceOf(std::string_view line)
{
    const std::string_view before = line.substr(0, line.find("time="));
    const std::size_t end = before.find_last_not_of(' ');
    const std::string_view trimmed = end == std::string_view::npos ? std::string_view() : before.substr(0, end + 1);
    const std::size_t space = trimmed.rfind(' ');
    return space == std::string_view::npos ? trimmed : trimmed.substr(space + 1);
}

}

Result<void> explainRequest(std::string_view id, std::istream &in, std::ostream &out)
{
    std::vector<std::string> requestLines;
    std::vector<std::string> stateLines;
    for (std::string line; std::getline(in, line);) {
        if (fieldOf(line, "time").empty()) {
            continue;
        }
        if (fieldOf(line, "id") == id) {
            requestLines.push_back(line);
        } else if (isStateEvent(line)) {
            stateLines.push_back(line);
        }
    }
    if (requestLines.empty()) {
        return failure(ResultCode::Unreachable, "no line names the request " + std::string(id));
    }
    const auto byTime = [](const std::string &a, const std::string &b) { return fieldOf(a, "time") < fieldOf(b, "time"); };
    std::stable_sort(requestLines.begin(), requestLines.end(), byTime);
    const std::string last(fieldOf(requestLines.back(), "time"));
    // Of each kind of state event, only the newest one of a source up to the last line of the request is printed.
    std::vector<std::string> timeline;
    std::stable_sort(stateLines.begin(), stateLines.end(), byTime);
    for (auto it = stateLines.rbegin(); it != stateLines.rend(); ++it) {
        const auto isSameKind = [&it](const std::string &other) {
            return sourceOf(other) == sourceOf(*it) && fieldOf(other, "event") == fieldOf(*it, "event");
        };
        const bool isBefore = fieldOf(*it, "time") <= last;
        if (isBefore && std::none_of(timeline.begin(), timeline.end(), isSameKind)) {
            timeline.push_back(*it);
        }
    }
    timeline.insert(timeline.end(), requestLines.begin(), requestLines.end());
    std::stable_sort(timeline.begin(), timeline.end(), byTime);
    for (const std::string &line : timeline) {
        out << (fieldOf(line, "id") == id ? "> " : "  ") << line << '\n';
    }
    return {};
}

Result<void> explain(const CommandContext &context)
{
    const std::string &name = context.arguments[1];
    if (name == "-") {
        return explainRequest(context.arguments[0], std::cin, context.out);
    }
    std::ifstream file(name);
    if (!file) {
        return failure(ResultCode::UsageError, "cannot read " + name);
    }
    return explainRequest(context.arguments[0], file, context.out);
}

}
