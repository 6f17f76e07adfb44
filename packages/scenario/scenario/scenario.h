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

/// One line of a scenario: a verb with its arguments, and when to run it, as the time since the start of the scenario.
struct Step {
    Duration at {};
    std::string verb;
    std::vector<std::string> arguments;
    std::size_t line = 0;
};

/// Parses a duration: a whole number followed by us, ms or s. Fails with UsageError.
Result<Duration> parseDuration(std::string_view text);

/// Parses lines of the form "at <time> <verb> <argument>...". A # starts a comment, empty lines are skipped, and the times
/// must not decrease. Fails with UsageError; the detail names the line number.
Result<std::vector<Step>> parse(std::string_view text);

/// Runs scenarios with the verbs that a test registers.
class Runner
{
public:
    using Arguments = std::vector<std::string>;
    /// Executes a step. An error ends the run.
    using Verb = std::function<Result<void>(const Arguments &)>;
    /// Advances the system under test to this time since the start of the scenario.
    using Advance = std::function<void(Duration)>;

    /// For verbs that accept any number of arguments and check it themselves.
    static constexpr std::size_t AnyCount = static_cast<std::size_t>(-1);

    explicit Runner(Advance advance);
    /// Registers a verb. A line with a number of arguments other than \p argumentCount is an error, unless that is AnyCount.
    void addVerb(std::string name, std::size_t argumentCount, Verb verb);

    /// Fails with the error of the first failed step; the detail begins with its line number.
    Result<void> run(std::string_view text);
    /// Runs the scenario in a file. Errors also name the file; fails with SettingsUnreadable if it cannot be read.
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
