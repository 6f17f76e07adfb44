#include "gateway/accountindex.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

Routing::ClientAccount makeAccount(const std::string &name, std::vector<std::string> keys)
{
    Routing::ClientAccount account;
    account.name = AccountId(name);
    account.keys = std::move(keys);
    return account;
}

/// The name of the account of a key; "none" if no account has it.
std::string nameOf(const AccountIndex &index, std::string_view key)
{
    const AccountPointer account = index.find(key);
    return account == nullptr ? "none" : account->name.value();
}

}

// Guards against a key that is charged to another account, and against accounts of which only the first key works.
TEST_CASE("each key of an account finds this account")
{
    SeededRandom random(1);
    std::vector<Routing::ClientAccount> accounts;
    for (int n = 0; n < 79; ++n) {
        const std::string name = "account" + std::to_string(n);
        accounts.push_back(makeAccount(name, { name + "-a", name + "-b" }));
    }
    const AccountIndex index(accounts, random);
    for (const Routing::ClientAccount &it : accounts) {
        CHECK(nameOf(index, it.keys[0]) == it.name.value());
        CHECK(nameOf(index, it.keys[1]) == it.name.value());
    }
}

// Guards against a comparison that stops at the end of the shorter text, ignores case or takes a zero byte for the end.
TEST_CASE("a key that differs from all keys finds no account")
{
    SeededRandom random(1);
    const AccountIndex index({ makeAccount("a", { "secret" }) }, random);
    const std::string_view key = GENERATE("", "secre", "secrets", "Secret", "secret ", "other", std::string_view("secret\0", 7));
    CHECK(nameOf(index, key) == "none");
}

// Guards against keys of 16 bytes or more, for which the hash takes other paths, and against keys that share a long beginning.
TEST_CASE("long keys that differ in one character are told apart")
{
    const std::size_t length = GENERATE(16, 17, 128, 129, 240, 241, 4096);
    SeededRandom random(1);
    const std::string beginning(length, 'k');
    const AccountIndex index({ makeAccount("a", { beginning + "1" }), makeAccount("b", { beginning + "2" }) }, random);
    CHECK(nameOf(index, beginning + "1") == "a");
    CHECK(nameOf(index, beginning + "2") == "b");
    CHECK(nameOf(index, beginning + "3") == "none");
    CHECK(nameOf(index, beginning) == "none");
}

// Guards against access without a key while there is no valid key: an account without keys and an empty list of accounts require one.
TEST_CASE("an index requires keys unless there is no list of accounts")
{
    SeededRandom random(1);
    CHECK_FALSE(AccountIndex().requiresKeys());
    CHECK(nameOf(AccountIndex(), "secret") == "none");
    for (const AccountIndex &index : { AccountIndex({}, random), AccountIndex({ makeAccount("a", {}) }, random) }) {
        CHECK(index.requiresKeys());
        CHECK(nameOf(index, "secret") == "none");
    }
}

// Guards against earlier deployments that behave differently: their random choices must not shift.
TEST_CASE("an index without accounts draws no random numbers")
{
    SeededRandom random(1);
    SeededRandom untouched(1);
    const AccountIndex index({}, random);
    CHECK(random.next() == untouched.next());
}

// Guards against a request in progress whose account is destroyed by a change of the configuration.
TEST_CASE("an account stays valid after its index was replaced")
{
    SeededRandom random(1);
    AccountIndex index({ makeAccount("a", { "secret" }) }, random);
    const AccountPointer account = index.find("secret");
    index = AccountIndex({ makeAccount("b", { "secret" }) }, random);
    CHECK(account->name == AccountId("a"));
    CHECK(nameOf(index, "secret") == "b");
}

// Guards against an entry of the index that refers to a key of the previous index, or to a key of the caller's configuration.
TEST_CASE("an index does not depend on the accounts that it was made from")
{
    SeededRandom random(1);
    AccountIndex index;
    {
        const std::vector<Routing::ClientAccount> accounts { makeAccount("a", { std::string(100, 'k') }) };
        index = AccountIndex(accounts, random);
    }
    CHECK(nameOf(index, std::string(100, 'k')) == "a");
}
