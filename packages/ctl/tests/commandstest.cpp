#include "ctl/commands.h"
#include "ctl/exitcode.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <Poco/Net/ServerSocket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "contract/contractjson.h"
#include "contract/operatorsapi.h"
#include "fakeoperators.h"
#include "report/burndata.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Ctl;
using Catch::Matchers::Contains;
using Behaviour = FakeOperators::Behaviour;

namespace
{

constexpr const char *Token = "0123456789abcdef";

std::string contractText(std::uint64_t version)
{
    Contract contract;
    contract.customer = CustomerId("mill");
    contract.version = Version(version);
    contract.services = { ServiceTerms { ServiceId("floor"), { "/patterns" }, std::chrono::seconds(1), 10, 20 } };
    contract.ratePerSecond = 100;
    contract.concurrency = 10;
    contract.objectivePermille = 990;
    contract.objectiveLatency = std::chrono::milliseconds(100);
    return toJson(contract);
}

/// An address that nothing listens on.
std::string closedAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
    return socket.address().toString();
}

/// Runs commands against a FakeOperators with two listeners.
class Fixture
{
public:
    Fixture()
        : m_folder(std::filesystem::temp_directory_path() / ("galenabarrow-ctl-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder);
        invocation.client.addresses = { fake.addListener(), fake.addListener() };
        invocation.tokenFile = write("token", Token);
    }
    ~Fixture()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_folder / name) << text;
        return (m_folder / name).string();
    }

    /// Runs the command \p words and returns its exit status.
    int runWords(std::vector<std::string> words)
    {
        invocation.words = std::move(words);
        out.str("");
        err.str("");
        return run(invocation, out, err);
    }

    FakeOperators fake { Token };
    Invocation invocation;
    std::ostringstream out;
    std::ostringstream err;

private:
    std::filesystem::path m_folder;
};

}

// Guards against "contract show" printing a form that "contract put" rejects, and against a put without a version check.
TEST_CASE("a contract is put, listed, shown, replaced and withdrawn", "[ctl]")
{
    Fixture fixture;
    REQUIRE(fixture.runWords({ "contract", "put", fixture.write("c.json", contractText(0)) }) == 0);
    REQUIRE_THAT(fixture.out.str(), Contains("the contract of mill has version 1 (change ctl-"));
    REQUIRE(fixture.runWords({ "contract", "list" }) == 0);
    REQUIRE_THAT(fixture.out.str(), Contains("mill"));
    REQUIRE(fixture.runWords({ "contract", "show", "mill" }) == 0);
    REQUIRE(contractFromJson(fixture.out.str()).value().version == Version(1));

    REQUIRE(fixture.runWords({ "contract", "put", fixture.write("c.json", fixture.out.str()) }) == 0);
    REQUIRE(fixture.fake.version() == 2);
    REQUIRE(fixture.runWords({ "contract", "put", fixture.write("c.json", contractText(1)) }) == exitCode(ResultCode::VersionConflict));
    REQUIRE_THAT(fixture.err.str(), Contains("error 300 VersionConflict: the contract of mill has version 2, made by change ctl-"));
    REQUIRE_THAT(fixture.err.str(), Contains("; expected version 1"));

    REQUIRE(fixture.runWords({ "contract", "withdraw", "mill" }) == exitCode(ResultCode::UsageError));
    fixture.invocation.expectedVersion = 2;
    REQUIRE(fixture.runWords({ "contract", "withdraw", "mill" }) == 0);
    REQUIRE(fixture.runWords({ "contract", "show", "mill" }) == exitCode(ResultCode::ContractNotFound));
}

// Guards against a change that is accepted twice, or reported as refused although it was accepted, when answers are lost.
TEST_CASE("a change keeps its id and gets one result", "[ctl]")
{
    struct Row {
        const char *name;
        std::deque<Behaviour> behaviours;
        ResultCode code;
        std::uint64_t version;
    };
    const std::deque<Behaviour> alwaysDropped(10, Behaviour::DropAnswer);
    const Row rows[] = {
        { "request lost", { Behaviour::DropRequest }, ResultCode::Ok, 1 },
        { "answer lost", { Behaviour::DropAnswer }, ResultCode::Ok, 1 },
        { "answer cut short", { Behaviour::TruncateAnswer }, ResultCode::Ok, 1 },
        { "several lost",
          { Behaviour::DropAnswer, Behaviour::DropRequest, Behaviour::TruncateAnswer, Behaviour::DropAnswer },
          ResultCode::Ok,
          1 },
        { "no leader for a while",
          { Behaviour::RefuseNotLeader, Behaviour::RefuseNotLeader, Behaviour::RefuseNotLeader },
          ResultCode::Ok,
          1 },
        { "leader stepped down", { Behaviour::RefuseOutcomeUnknown }, ResultCode::Ok, 1 },
        { "refused", { Behaviour::RefuseNotAccepted }, ResultCode::NotAccepted, 0 },
        { "refused after a lost answer", { Behaviour::DropAnswer, Behaviour::RefuseNotAccepted }, ResultCode::ChangeOutcomeUnknown, 1 },
        { "decided in the log", { Behaviour::DecideNotAccepted }, ResultCode::NotAccepted, 0 },
        { "all lost", alwaysDropped, ResultCode::ChangeOutcomeUnknown, 1 },
        { "never a leader", std::deque<Behaviour>(10, Behaviour::RefuseNotLeader), ResultCode::NotLeader, 0 },
    };
    for (const Row &row : rows) {
        Fixture fixture;
        INFO(row.name);
        fixture.fake.setBehaviours(row.behaviours);
        REQUIRE(fixture.runWords({ "contract", "put", fixture.write("c.json", contractText(0)) }) == exitCode(row.code));
        REQUIRE(fixture.fake.version() == row.version);
        const std::vector<std::string> ids = fixture.fake.changeIds();
        REQUIRE(std::set<std::string>(ids.begin(), ids.end()).size() <= 1);
    }
}

// Guards against a change with an unknown result that an operator cannot look up later.
TEST_CASE("an unknown result is resolved by the change id", "[ctl]")
{
    Fixture fixture;
    fixture.fake.setBehaviours(std::deque<Behaviour>(10, Behaviour::DropAnswer));
    const std::string file = fixture.write("c.json", contractText(0));
    REQUIRE(fixture.runWords({ "contract", "put", file }) == exitCode(ResultCode::ChangeOutcomeUnknown));
    const std::string id = fixture.fake.changeIds().front();
    REQUIRE_THAT(fixture.err.str(), Contains("--change_id=" + id + " --expect=0"));

    fixture.invocation.changeId = id;
    fixture.invocation.expectedVersion = 0;
    REQUIRE(fixture.runWords({ "contract", "put", file }) == 0);
    REQUIRE(fixture.fake.version() == 1);
}

// Guards against an unreachable instance that blocks all commands, and against reporting the result of a change as unknown
// although it was never sent.
TEST_CASE("addresses are tried in turn", "[ctl]")
{
    Fixture fixture;
    const std::string file = fixture.write("c.json", contractText(0));
    fixture.invocation.client.addresses.insert(fixture.invocation.client.addresses.begin(), closedAddress());
    REQUIRE(fixture.runWords({ "contract", "put", file }) == 0);
    REQUIRE(fixture.runWords({ "drain", "server-1" }) == exitCode(ResultCode::PathUnknown));
    fixture.fake.setAnswer("/v1/servers/server-1/drain", "{}");
    REQUIRE(fixture.runWords({ "drain", "server-1" }) == 0);
    REQUIRE(fixture.fake.requests().back() == "POST /v1/servers/server-1/drain");

    fixture.invocation.client.addresses = { closedAddress() };
    REQUIRE(fixture.runWords({ "contract", "put", file }) == exitCode(ResultCode::Unreachable));
    REQUIRE(fixture.runWords({ "status" }) == exitCode(ResultCode::Unreachable));
}

// Guards against a report that silently leaves out entries.
TEST_CASE("status and burn query all instances and name those that did not answer", "[ctl]")
{
    Fixture fixture;
    fixture.fake.setAnswer(
        "/v1/status",
        R"({"instance":"e1","roles":["entry"],"control":{"leader":"c1"},"servers":[],"contracts":[{"customer":"a","version":7}]})");
    REQUIRE(fixture.runWords({ "status" }) == 0);
    REQUIRE_THAT(fixture.out.str(), Contains("  instance: e1\n"));
    REQUIRE_THAT(fixture.out.str(), Contains("  contracts:\n    customer=a version=7\n  control: leader=c1\n"));
    REQUIRE_THAT(fixture.out.str(), Contains("  roles: entry\n  servers: none\n"));

    Report::BurnData data;
    data.instances = { InstanceId("e1") };
    data.customers = { Report::CustomerBurn { CustomerId("mill"),
                                              Version(1),
                                              Report::Objective { 990, std::chrono::milliseconds(100) },
                                              { { { 100, 50 }, { 100, 50 }, { 100, 50 }, { 100, 50 } } } } };
    fixture.fake.setAnswer("/v1/burn", toJson(data));
    REQUIRE(fixture.runWords({ "burn" }) == 0);
    REQUIRE_THAT(fixture.out.str(), Contains("page-fast"));

    const std::string closed = closedAddress();
    fixture.invocation.client.addresses.push_back(closed);
    fixture.invocation.wantsJson = true;
    REQUIRE(fixture.runWords({ "burn" }) == exitCode(ResultCode::Unreachable));
    REQUIRE_THAT(fixture.out.str(), Contains("\"burnRate\": 50"));
    REQUIRE_THAT(fixture.err.str(), Contains("1 of 3 instances did not answer as expected\n  Unreachable: " + closed));
}

// Guards against invalid input that is sent to an instance, and against errors without a result code.
TEST_CASE("invalid input is rejected with a result code", "[ctl]")
{
    Fixture fixture;
    struct Row {
        std::vector<std::string> words;
        ResultCode code;
    };
    const Row rows[] = {
        { {}, ResultCode::UsageError },
        { { "contract" }, ResultCode::UsageError },
        { { "contracts", "list" }, ResultCode::UsageError },
        { { "contract", "list", "all" }, ResultCode::UsageError },
        { { "contract", "show" }, ResultCode::UsageError },
        { { "contract", "show", "../status" }, ResultCode::UsageError },
        { { "drain", "a/b" }, ResultCode::UsageError },
        { { "contract", "put", "does-not-exist.json" }, ResultCode::UsageError },
        { { "contract", "put", fixture.write("bad.json", "{") }, ResultCode::BodyMalformed },
        { { "contract", "put", fixture.write("faults.json", "{}") }, ResultCode::ContractInvalid },
        { { "check", "does-not-exist.toml" }, ResultCode::SettingsUnreadable },
        { { "check", fixture.write("bad.toml", "a = 1") }, ResultCode::SettingsInvalid },
    };
    for (const Row &it : rows) {
        REQUIRE(fixture.runWords(it.words) == exitCode(it.code));
        REQUIRE_THAT(fixture.err.str(), Contains("error " + std::to_string(static_cast<unsigned>(it.code)) + ' '));
    }
    REQUIRE(fixture.fake.requests().empty());

    fixture.invocation.tokenFile = fixture.write("token", "another-token-of-good-length");
    REQUIRE(fixture.runWords({ "contract", "list" }) == exitCode(ResultCode::TokenWrong));
    fixture.invocation.tokenFile = "";
    REQUIRE(fixture.runWords({ "contract", "list" }) == exitCode(ResultCode::UsageError));
    REQUIRE(fixture.runWords({ "check", std::string(GALENABARROW_SOURCE_DIR) + "/examples/abyssinia/entry.toml" }) == 0);
}

// Guards against two errors that a script cannot distinguish, and against statuses that shells use themselves.
TEST_CASE("every result code has its own exit status", "[ctl]")
{
    std::set<int> seen;
    for (const ResultCodeRow &it : resultCodeTable()) {
        const int status = exitCode(it.code);
        REQUIRE(status != 1);
        REQUIRE(status < 126);
        REQUIRE(seen.insert(status).second);
    }
    REQUIRE(exitCode(ResultCode::Ok) == 0);
    REQUIRE(exitCode(static_cast<ResultCode>(150)) == 1);
    Fixture fixture;
    REQUIRE(fixture.runWords({ "codes" }) == 0);
    REQUIRE_THAT(fixture.out.str(), Contains(" 300    50  VersionConflict: "));
}

// Guards against example contracts that the codec no longer accepts.
TEST_CASE("the example contracts are valid", "[ctl]")
{
    for (const char *it : { "abyssinia", "odalaigh" }) {
        std::ifstream file(std::string(GALENABARROW_SOURCE_DIR) + "/examples/" + it + "/contract.json");
        std::ostringstream text;
        text << file.rdbuf();
        const Result<Contract> contract = contractFromJson(text.str());
        INFO((contract ? "" : contract.error().detail));
        REQUIRE(contract);
    }
}
