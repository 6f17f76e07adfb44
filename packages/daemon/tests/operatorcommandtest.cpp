#include <fstream>
#include <sstream>

#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>

#include "ctl/commands.h"
#include "ctl/exitcode.h"
#include "processfixture.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Daemon::Test;

namespace
{

/// Runs commands of galenabarrowctl against the entries of a cluster.
class Operator
{
public:
    Operator(Cluster &cluster, const std::string &token)
    {
        m_folder.createDirectories();
        m_invocation.client.addresses = { cluster.entry(0).operators, cluster.entry(1).operators };
        m_invocation.tokenFile = m_folder.path() + "/token";
        std::ofstream(m_invocation.tokenFile) << token;
    }

    int run(std::vector<std::string> words)
    {
        m_invocation.words = std::move(words);
        m_out.str("");
        std::ostringstream err;
        const int status = Ctl::run(m_invocation, m_out, err);
        INFO(err.str());
        return status;
    }

    /// Writes the output of the last command, with \p from replaced by \p to, to a file.
    std::string edited(const std::string &from, const std::string &to)
    {
        std::string text = m_out.str();
        REQUIRE(text.find(from) != std::string::npos);
        text.replace(text.find(from), from.size(), to);
        const std::string path = m_folder.path() + "/contract.json";
        std::ofstream(path) << text;
        return path;
    }

    std::string output() const
    {
        return m_out.str();
    }

private:
    Poco::TemporaryFile m_folder;
    Ctl::Invocation m_invocation;
    std::ostringstream m_out;
};

}

// Guards against incompatible interfaces of the daemon and galenabarrowctl, whose other tests use stand-ins for the other
// side.
TEST_CASE("galenabarrowctl works against the daemon", "[daemon][process]")
{
    Cluster cluster(2);
    Operator good(cluster, "token-of-the-process-tests");
    REQUIRE(good.run({ "contract", "show", "abyssinia" }) == 0);
    const std::string file = good.edited("\"burst\": 100000", "\"burst\": 77");
    REQUIRE(good.run({ "contract", "put", file }) == 0);
    REQUIRE(good.run({ "contract", "put", file }) == Ctl::exitCode(ResultCode::VersionConflict));
    REQUIRE(waitUntil([&] { return good.run({ "contract", "list" }) == 0 && good.output().find(" 77 ") != std::string::npos; }));
    REQUIRE(good.run({ "contract", "show", "nobody" }) == Ctl::exitCode(ResultCode::ContractNotFound));

    REQUIRE(good.run({ "status" }) == 0);
    REQUIRE(good.run({ "burn" }) == 0);
    REQUIRE_THAT(good.output(), Catch::Matchers::Contains("abyssinia") && Catch::Matchers::Contains("Data of 2 entries"));
    REQUIRE(good.run({ "drain", "nothing" }) == Ctl::exitCode(ResultCode::PathUnknown));
    cluster.startServer();
    REQUIRE(good.run({ "drain", "s0" }) == 0);
    REQUIRE(waitUntil([&] { return good.run({ "status" }) == 0 && good.output().find("leaving=true") != std::string::npos; }));

    Operator bad(cluster, "another-token-of-good-length");
    REQUIRE(bad.run({ "contract", "put", file }) == Ctl::exitCode(ResultCode::TokenWrong));
}
