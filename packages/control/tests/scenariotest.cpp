#include <filesystem>

#include <catch2/catch.hpp>

#include "invariants.h"
#include "scenario/scenario.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Control;

namespace
{

using Words = Scenario::Runner::Arguments;

constexpr std::uint64_t EntriesPerSnapshot = 40; // small, so that scenarios create snapshots

/// Implements the verbs of the scenario files. "leader" and "follower" are the current leader and a follower;
/// "name <alias> <node>" stores such a node under an alias for later lines.
class ScenarioTest
{
public:
    explicit ScenarioTest(std::uint64_t seed)
        : m_simulation(seed, 5, 3, EntriesPerSnapshot)
        , m_invariants(m_simulation)
        , m_runner([this](Duration at) { m_simulation.advanceTo(at); })
    {
        m_simulation.onStep = [this] { m_invariants.check(); };
        addFaults();
        addChanges();
        m_runner.addVerb("expect", Scenario::Runner::AnyCount, [this](const Words &words) { return expect(words); });
    }

    Result<void> run(const std::string &path)
    {
        return m_runner.runFile(path);
    }

private:
    using Fault = void (Simulation::*)(const std::string &);
    using Check = bool (ScenarioTest::*)(const Words &);

    void addFaults()
    {
        static const std::map<std::string, Fault> Faults { { "crash", &Simulation::crash },
                                                           { "restart", &Simulation::restart },
                                                           { "losedisk", &Simulation::loseDisk },
                                                           { "freeze", &Simulation::freeze },
                                                           { "thaw", &Simulation::thaw },
                                                           { "isolate", &Simulation::isolate },
                                                           { "restartentry", &Simulation::restartEntry } };
        for (const auto &[verb, fault] : Faults) {
            m_runner.addVerb(verb, 1, makeVerb([this, fault = fault](const Words &words) { (m_simulation.*fault)(node(words[0])); }));
        }
        m_runner.addVerb("cut", 2, makeVerb([this](const Words &words) { m_simulation.cut(node(words[0]), node(words[1])); }));
        m_runner.addVerb("cutoneway", 2, makeVerb([this](const Words &words) { m_simulation.cutOneWay(node(words[0]), node(words[1])); }));
        m_runner.addVerb("heal", 0, makeVerb([this](const Words &) { m_simulation.healNetwork(); }));
        m_runner.addVerb("name", 2, makeVerb([this](const Words &words) { m_names[words[0]] = node(words[1]); }));
        m_runner.addVerb("noteterm", 0, makeVerb([this](const Words &) { m_term = m_simulation.status(m_simulation.leader()).term; }));
    }

    void addChanges()
    {
        m_runner.addVerb("put", 4, makeVerb([this](const Words &words) {
                             m_simulation.proposeAt(node(words[0]), words[3], putChange(words[1], std::stoull(words[2]), words[3]));
                         }));
        m_runner.addVerb("withdraw", 4, makeVerb([this](const Words &words) {
                             m_simulation.proposeAt(node(words[0]), words[3], withdrawChange(words[1], std::stoull(words[2]), words[3]));
                         }));
        m_runner.addVerb("abandon", 2, makeVerb([this](const Words &words) {
                             m_simulation.proposeAt(node(words[0]), words[1], ChangeAbandonment { ChangeId(words[1]) });
                         }));
        m_runner.addVerb("send", 3, makeVerb([this](const Words &words) {
                             m_simulation.proposeRemotely(words[2], putChange(words[0], std::stoull(words[1]), words[2]),
                                                          std::chrono::seconds(8));
                         }));
        m_runner.addVerb("fill", 2, makeVerb([this](const Words &words) {
                             for (int n = 0; n < std::stoi(words[1]); ++n) {
                                 const std::string customer = "filler" + std::to_string(m_fillers++);
                                 m_simulation.proposeAt(node(words[0]), customer + "-1", putChange(customer, 0, customer + "-1"));
                             }
                         }));
    }

    Result<void> expect(const Words &words)
    {
        static const std::map<std::string, Check> Checks {
            { "result", &ScenarioTest::hasResult },  { "winner", &ScenarioTest::hasWinner },     { "version", &ScenarioTest::hasVersion },
            { "voters", &ScenarioTest::hasVoters },  { "voter", &ScenarioTest::isVoter },        { "novoter", &ScenarioTest::isNoVoter },
            { "leader", &ScenarioTest::isLeader },   { "noleader", &ScenarioTest::hasNoLeader }, { "fenced", &ScenarioTest::isFenced },
            { "serving", &ScenarioTest::isServing }, { "sameterm", &ScenarioTest::isSameTerm }
        };
        const auto check = words.empty() ? Checks.end() : Checks.find(words[0]);
        if (check == Checks.end()) {
            return failure(ResultCode::UsageError, "unknown expectation");
        }
        std::string line;
        for (const std::string &word : words) {
            line += " " + word;
        }
        if (!(this->*check->second)(words)) {
            return failure(ResultCode::InternalError, "expected" + line + "; " + m_actual);
        }
        return {};
    }

    bool hasResult(const Words &words)
    {
        const auto &results = m_simulation.results[words.at(1)];
        m_actual = results.empty() ? "no result" : std::string(resultCodeName(results.back().code));
        return m_actual == words.at(2) && (words.size() < 4 || results.back().version == Version(std::stoull(words[3])));
    }
    bool hasWinner(const Words &words)
    {
        return m_simulation.results[words.at(1)].back().winner == ChangeId(words.at(2));
    }
    bool hasVersion(const Words &words)
    {
        const CustomerId customer(words.at(1));
        const auto holds = [&](const auto &table) {
            const auto row = table.find(customer);
            return (row == table.end() ? Version() : row->second.contract.version) == Version(std::stoull(words.at(2)));
        };
        for (const auto &[name, control] : m_simulation.controls) {
            m_actual = name + " has another version";
            if (m_simulation.isRunning(name) && !holds(control.service->state().contracts())) {
                return false;
            }
        }
        for (const auto &[name, entry] : m_simulation.entries) {
            m_actual = name + " has another version";
            if (!entry->isFenced(m_simulation.timeAt(name)) && !holds(entry->contracts())) {
                return false;
            }
        }
        return true;
    }
    bool hasVoters(const Words &words)
    {
        m_actual = "found " + std::to_string(m_simulation.status(m_simulation.leader()).membership.voterCount());
        return m_actual == "found " + words.at(1);
    }
    bool isVoter(const Words &words)
    {
        return m_simulation.status(node(words.at(1))).isVoter;
    }
    bool isNoVoter(const Words &words)
    {
        return !isVoter(words);
    }
    bool isLeader(const Words &words)
    {
        m_actual = "found " + m_simulation.leader();
        return !m_simulation.leader().empty() && m_simulation.leader() == node(words.at(1));
    }
    bool hasNoLeader(const Words &)
    {
        m_actual = "found " + m_simulation.leader();
        return m_simulation.leader().empty();
    }
    bool isFenced(const Words &words)
    {
        return m_simulation.entries.at(words.at(1))->isFenced(m_simulation.timeAt(words[1]));
    }
    bool isServing(const Words &words)
    {
        return !isFenced(words);
    }
    bool isSameTerm(const Words &)
    {
        const Term term = m_simulation.status(m_simulation.leader()).term;
        m_actual = "term " + std::to_string(term.value()) + " instead of " + std::to_string(m_term.value());
        return term == m_term;
    }

    std::string node(const std::string &word)
    {
        const std::string leader = m_simulation.leader();
        if (word == "leader") {
            return leader;
        }
        if (word == "follower") {
            return leader == "c5" ? "c4" : "c5";
        }
        const auto it = m_names.find(word);
        return it == m_names.end() ? word : it->second;
    }

    template<typename Function>
    static Scenario::Runner::Verb makeVerb(Function function)
    {
        return [function](const Words &words) -> Result<void> {
            function(words);
            return {};
        };
    }

    Simulation m_simulation;
    Invariants m_invariants;
    Scenario::Runner m_runner;
    std::map<std::string, std::string> m_names;
    std::string m_actual;
    Term m_term;
    int m_fillers = 0;
};

}

// The comment at the start of each scenario file says which failure it guards against.
TEST_CASE("the scenarios of control", "[control][scenario]")
{
    const std::filesystem::path folder = std::filesystem::path(GALENABARROW_SOURCE_DIR) / "packages/control/tests/scenarios";
    std::size_t count = 0;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        ++count;
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            INFO("seed " << seed);
            try {
                const Result<void> done = ScenarioTest(seed).run(file.path().string());
                CHECK((done ? "" : done.error().detail) == std::string());
            } catch (const std::exception &broken) {
                FAIL_CHECK(file.path().filename().string() << ": " << broken.what());
            }
        }
    }
    REQUIRE(count >= 12);
}
