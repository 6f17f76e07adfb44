#include "actions/actionkey.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Actions;

// Guards against a printed key that parses as a different one.
TEST_CASE("action keys are unchanged by printing and parsing", "[actions]")
{
    const std::string text = GENERATE(as<std::string>(), "order-17", "e1.ab.3", "e1.ffffffffffffffff.4294967295:order-17",
                                      "entry.dc1.example.9f.1:a~b+c=.", "e1.1.0:" + std::string(MaxKeyTextLength, 'x'));
    const Result<ActionKey> key = parseActionKey(text);
    REQUIRE(key);
    REQUIRE(printActionKey(*key) == text);
    REQUIRE(key->scope.has_value() == (text.find(':') != std::string::npos));
}

// Guards against a key with a damaged scope that is accepted as one without a scope, and against two spellings of one key.
TEST_CASE("malformed action keys are rejected with a result code and a detail text", "[actions]")
{
    const std::string text = GENERATE(
        as<std::string>(), "", ":", "e1.ab.3:", ":order", "e1:order", "e1.ab:order", ".ab.3:order", "e1..3:order", "e1.ab.:order",
        "e1.0.3:order", "e1.AB.3:order", "e1.0ab.3:order", "e1.ab.03:order", "e1.ab.-3:order", "e1.ab.+3:order", "e1.ab.4294967296:order",
        "e1.10000000000000000.3:order", "e1.ab.3:or:der", "e1.ab.3:or/der", "e 1.ab.3:order", "order 17", "order\n17", "e1.ab.3:\xc3\xa4",
        "e1.ab.3:" + std::string(MaxKeyTextLength + 1, 'x'), std::string(MaxOwnerLength + 1, 'e') + ".ab.3:order");
    const Result<ActionKey> key = parseActionKey(text);
    REQUIRE_FALSE(key);
    REQUIRE(key.error().code == ResultCode::HeaderInvalid);
    REQUIRE_FALSE(key.error().detail.empty());
}

// Guards against the action of one customer being treated as a resend of another customer's action.
TEST_CASE("equal texts of two customers are different keys", "[actions]")
{
    const ActionKey key = *parseActionKey("e1.ab.3:order-17");
    REQUIRE(qualified(key, CustomerId("north")) != qualified(key, CustomerId("south")));
    REQUIRE(qualified(key, CustomerId("north")).scope == key.scope);
    REQUIRE_FALSE(parseActionKey(printActionKey(qualified(key, CustomerId("north")))));
}
