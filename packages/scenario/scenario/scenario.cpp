#include "scenario/scenario.h"

#include <charconv>
#include <fstream>
#include <sstream>
#include <utility>

namespace Galenabarrow::Scenario
{

namespace
{

constexpr std::size_t FirstArgument = 3; // after "at", the time and the verb

tl::unexpected<Error> failureAtLine(std::size_t line, ResultCode code, const std::string &detail)
{
    return failure(code, "line " + std::to_string(line) + ": " + detail);
}

std::vector<std::string> splitWords(const std::string &line)
{
    std::istringstream in(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    std::string word;
    while (in >> word) {
        words.push_back(word);
    }
    return words;
}

Result<Step> parseStep(const std::vector<std::string> &words, std::size_t line)
{
    if (words.size() < FirstArgument || words[0] != "at") {
        return failureAtLine(line, ResultCode::UsageError, "expected: at <time> <verb> <argument>...");
    }
    const Result<Duration> at = parseDuration(words[1]);
    if (!at) {
        return failureAtLine(line, at.error().code, at.error().detail);
    }
    return Step { *at, words[2], { words.begin() + FirstArgument, words.end() }, line };
}

}

Result<Duration> parseDuration(std::string_view text)
{
    static const std::map<std::string_view, std::int64_t> Units { { "us", 1 }, { "ms", 1000 }, { "s", 1000000 } };
    constexpr std::int64_t MaxNumber = 1000000000; // prevents an overflow of 64 bits with every unit
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto unit = Units.find(text.substr(static_cast<std::size_t>(end - text.data())));
    if (ec != std::errc {} || unit == Units.end() || number < 0 || number > MaxNumber) {
        return failure(ResultCode::UsageError, "invalid time (expected e.g. 200ms): " + std::string(text));
    }
    return Duration(number * unit->second);
}

Result<std::vector<Step>> parse(std::string_view text)
{
    std::istringstream in { std::string(text) };
    std::vector<Step> steps;
    std::string content;
    for (std::size_t line = 1; std::getline(in, content); ++line) {
        const std::vector<std::string> words = splitWords(content);
        if (words.empty()) {
            continue;
        }
        Result<Step> step = parseStep(words, line);
        if (!step) {
            return tl::make_unexpected(step.error());
        }
        if (!steps.empty() && step->at < steps.back().at) {
            return failureAtLine(line, ResultCode::UsageError, "the time is earlier than that of the previous step");
        }
        steps.push_back(std::move(*step));
    }
    return steps;
}

Runner::Runner(Advance advance)
    : m_advance(std::move(advance))
{
}

void Runner::addVerb(std::string name, std::size_t argumentCount, Verb verb)
{
    m_verbs[std::move(name)] = VerbEntry { argumentCount, std::move(verb) };
}

Result<void> Runner::run(std::string_view text)
{
    const Result<std::vector<Step>> steps = parse(text);
    if (!steps) {
        return tl::make_unexpected(steps.error());
    }
    for (const Step &step : *steps) {
        m_advance(step.at);
        const Result<void> done = execute(step);
        if (!done) {
            return failureAtLine(step.line, done.error().code, done.error().detail);
        }
    }
    return {};
}

Result<void> Runner::runFile(const std::string &path)
{
    std::ifstream in(path);
    if (!in.is_open()) {
        return failure(ResultCode::SettingsUnreadable, "cannot read " + path);
    }
    std::ostringstream text;
    text << in.rdbuf();
    const Result<void> done = run(text.str());
    if (!done) {
        return failure(done.error().code, path + ", " + done.error().detail);
    }
    return {};
}

Result<void> Runner::execute(const Step &step)
{
    const auto it = m_verbs.find(step.verb);
    if (it == m_verbs.end()) {
        return failure(ResultCode::UsageError, "unknown verb " + step.verb);
    }
    if (it->second.argumentCount != AnyCount && it->second.argumentCount != step.arguments.size()) {
        return failure(ResultCode::UsageError, step.verb + " takes " + std::to_string(it->second.argumentCount) + " arguments");
    }
    return it->second.verb(step.arguments);
}

}
