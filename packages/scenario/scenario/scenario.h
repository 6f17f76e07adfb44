#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/resultcode.h"

namespace Galenabarrow::Scenario
{

/// One line of a scenario: at a time since its start, a verb with its arguments.
struct Step {
    Duration at {};
    std::string verb;
    std::vector<std::string> arguments;
    std::size_t line = 0;
};

/// Reads a length of time: a whole number followed by us, ms or s. Fails with UsageError.
Result<Duration> parseDuration(std::string_view text);

/// Reads lines of the form "at <time> <verb> <argument>...". A # starts a comment, empty lines are skipped, and times
/// must not fall. Fails with UsageError and the number of the line.
Result<std::vector<Step>> parse(std::string_view text);

/// Runs scenarios with verbs that a test registers.
class Runner
{
public:
    using Arguments = std::vector<std::string>;
    /// Performs a step. An error ends the run.
    using Verb = std::function<Result<void>(const Arguments &)>;
    /// Moves the tested system on to this time since the start of the scenario.
    using Advance = std::function<void(Duration)>;

    /// For verbs that count their arguments themselves.
    static constexpr std::size_t AnyCount = static_cast<std::size_t>(-1);

    explicit Runner(Advance advance);
    /// A line with another number of arguments than \p argumentCount is an error.
    void addVerb(std::string name, std::size_t argumentCount, Verb verb);

    /// Fails with the error of the first failed step, its line number before the detail.
    Result<void> run(std::string_view text);
    /// Runs the scenario in a file; the errors name the file. Fails also with SettingsUnreadable.
    Result<void> runFile(const std::string &path);

private:
    struct VerbEntry {
        std::size_t argumentCount = 0;
        Verb verb;
    };
    Result<void> execute(const Step &step);

    Advance m_advance;
    std::map<std::string, VerbEntry> m_verbs;
};

}
