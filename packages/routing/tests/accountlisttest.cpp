#include <catch2/catch.hpp>

#include "routing/codec.h"
#include "routing/routingstate.h"
#include "routing/rules.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Routing;

namespace
{

ClientAccount makeAccount(const std::string &name)
{
    ClientAccount account;
    account.name = AccountId(name);
    account.keys = { "key-of-" + name };
    return account;
}

/// A state to which one change after the other is applied, each at the log entry of its version.
struct Log {
    void apply(ConfigChange change)
    {
        ++version;
        change.version = Version(version);
        change.base = Version(version - 1);
        Command command;
        command.change = std::move(change);
        const Result<Command> decoded = decodeCommand(encode(command));
        REQUIRE(decoded);
        REQUIRE(state.apply(*decoded, LogIndex(version)));
    }

    void replace(bool hasAccounts, std::vector<ClientAccount> accounts = {})
    {
        ConfigChange change;
        change.config.hasAccounts = hasAccounts;
        change.config.accounts = std::move(accounts);
        apply(std::move(change));
    }

    void patch(std::vector<ClientAccount> added, std::vector<std::string> removed = {})
    {
        ConfigChange change;
        change.isPatch = true;
        change.config.accounts = std::move(added);
        change.removedAccounts = std::move(removed);
        apply(std::move(change));
    }

    std::uint64_t version = 0;
    RoutingState state;
};

}

// Guards against an empty list of accounts that turns into none, with which no key is needed, on the way to an entry or to a replica.
TEST_CASE("an empty list of accounts stays one in commands, images and updates", "[accountlist]")
{
    Log log;
    log.replace(GENERATE(false, true));
    const RoutingConfig older = log.state.config();
    log.patch({ makeAccount("first") });
    const RoutingConfig withAccount = log.state.config();
    log.patch({}, { "first" });
    REQUIRE(log.state.config().accounts.empty());
    CHECK(log.state.config().requiresKeys());

    RoutingState restored;
    REQUIRE(restored.restoreImage(log.state.encodeImage()));
    CHECK(restored.config() == log.state.config());

    // Entries that know the first, the second or no version.
    CHECK(apply(*log.state.changesAfter(LogIndex(1)).config, older).requiresKeys());
    CHECK(apply(*log.state.changesAfter(LogIndex(2)).config, withAccount).requiresKeys());
    CHECK(apply(*log.state.changesAfter(LogIndex()).config, {}).requiresKeys());
}

// Guards against keys that are needed although the operator has taken the list of accounts away.
TEST_CASE("a configuration without a list of accounts requires no keys", "[accountlist]")
{
    Log log;
    log.replace(true, { makeAccount("first") });
    const RoutingConfig withAccount = log.state.config();
    log.replace(false);
    CHECK_FALSE(log.state.config().requiresKeys());
    CHECK_FALSE(apply(*log.state.changesAfter(LogIndex(1)).config, withAccount).requiresKeys());
}

// Guards against a store or an instance of an earlier build, which does not write whether there is a list, and whose accounts would be
// open.
TEST_CASE("accounts of an earlier build require keys", "[accountlist]")
{
    RoutingConfig config;
    config.accounts = { makeAccount("first") };
    const auto packed = pack(config);
    packed->has_accounts = false;
    CHECK(unpack(*packed).requiresKeys());
    CHECK(unpack(*packed).hasAccounts);
}
