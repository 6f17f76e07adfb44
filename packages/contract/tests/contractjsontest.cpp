#include "contract/contractjson.h"
#include "contract/contractrules.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace std::chrono_literals;

namespace
{

Contract sampleContract()
{
    Contract contract;
    contract.customer = CustomerId("abyssinia");
    contract.version = Version(3);
    contract.services = { ServiceTerms { ServiceId("orders"), { "/stock", "/prices" }, 2s, 50, 100 },
                          ServiceTerms { ServiceId("dispatch"), {}, 800ms, 0, 0 } };
    contract.ratePerSecond = 2000;
    contract.burst = 200;
    contract.concurrency = 90;
    contract.objectivePermille = 999;
    contract.objectiveLatency = 50ms;
    return contract;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

struct BadText {
    const char *from;
    const char *to;
    ResultCode code;
    const char *detail;
};

}

// Guards against a field that is lost or changed between operator and control.
TEST_CASE("a contract is unchanged after a round trip through JSON", "[contract]")
{
    const Result<Contract> contract = contractFromJson(toJson(sampleContract()));
    REQUIRE(contract);
    REQUIRE(*contract == sampleContract());

    const std::vector<Contract> several(3, sampleContract());
    const Result<std::vector<Contract>> read = contractsFromJson(toJson(std::span<const Contract>(several)));
    REQUIRE(read);
    REQUIRE(*read == several);
}

// Guards against losing the winner of a conflict.
TEST_CASE("a change result is unchanged after a round trip through JSON", "[contract]")
{
    const ChangeResult result { ResultCode::VersionConflict, Version(7), ChangeId("c-1") };
    REQUIRE(changeResultFromJson(toJson(result)).value() == result);
    REQUIRE(changeResultFromJson(R"({"code":299,"version":1,"winner":""})").error().detail == "code: is not a result code");
    REQUIRE(changeResultFromJson(R"({"code":0,"version":1})").error().detail == "winner: is missing");
}

// Guards against a misspelt field that silently gets a default value, and against input that is not JSON.
TEST_CASE("a contract with an invalid field is rejected", "[contract]")
{
    const BadText cases[] = {
        { "\"burst\"", "\"bursts\"", ResultCode::ContractInvalid, "burst: is missing\nbursts: is not a field" },
        { "\"burst\":200", "\"burst\":\"200\"", ResultCode::ContractInvalid, "burst: expected an integer from 0 to 4294967295" },
        { "\"burst\":200", "\"burst\":true", ResultCode::ContractInvalid, "burst: expected an integer from 0 to 4294967295" },
        { "\"burst\":200", "\"burst\":null", ResultCode::ContractInvalid, "burst: expected an integer from 0 to 4294967295" },
        { "\"burst\":200", "\"burst\":-1", ResultCode::ContractInvalid, "burst: expected an integer from 0 to 4294967295" },
        { "\"burst\":200", "\"burst\":2.5", ResultCode::ContractInvalid, "burst: expected an integer from 0 to 4294967295" },
        { "\"burst\":200", "\"burst\":4294967296", ResultCode::ContractInvalid, "burst: expected an integer from 0 to 4294967295" },
        { "\"burst\":200", "\"burst\":200,\"burst\":300", ResultCode::BodyMalformed, "JSON Exception: field burst is given twice" },
        { "\"customer\":\"abyssinia\"", "\"customer\":7", ResultCode::ContractInvalid, "customer: expected a text" },
        { "[\"/stock\",\"/prices\"]", "[\"/stock\",1]", ResultCode::ContractInvalid,
          "services[0].idempotentPaths: expected a list of texts" },
        { "[\"/stock\",\"/prices\"]", "\"/stock\"", ResultCode::ContractInvalid, "services[0].idempotentPaths: expected a list of texts" },
        { "\"retryPermille\":100", "\"retryPermille\":100,\"retries\":1", ResultCode::ContractInvalid,
          "services[0].retries: is not a field" },
    };
    const std::string good = toJson(sampleContract());
    for (const BadText &it : cases) {
        const Result<Contract> contract = contractFromJson(replaced(good, it.from, it.to));
        INFO(it.from << " -> " << it.to);
        REQUIRE_FALSE(contract);
        REQUIRE(contract.error().code == it.code);
        REQUIRE(contract.error().detail == it.detail);
    }
    for (const char *it : { "", "[]", "null", "7", "{", "{}}", "{\"a\":}" }) {
        INFO(it);
        REQUIRE(contractFromJson(it).error().code == ResultCode::BodyMalformed);
    }
    REQUIRE(contractFromJson(std::string(100'000, '[')).error().code == ResultCode::BodyMalformed);
}

// Guards against accepting values from which no limits can be computed, and against reporting only the first fault.
TEST_CASE("validation reports all faults of a contract at once", "[contract]")
{
    Contract contract = sampleContract();
    contract.customer = CustomerId("a b");
    contract.services[1].service = ServiceId("orders");
    contract.services[1].idempotentPaths = { "/a/../b", "stock", "/x", "/x", "/a%2e" };
    contract.services[0].maxDeadline = 1500us;
    contract.services[0].hedgePermille = 1001;
    contract.ratePerSecond = 0;
    contract.concurrency = 0;
    contract.objectivePermille = 1000;
    contract.objectiveLatency = 0s;
    const std::vector<std::string> faults = contractFaults(contract);
    const char *fields[] = { "customer: ",
                             "services[0].maxDeadlineMs: ",
                             "services[0].hedgePermille: ",
                             "services[1].idempotentPaths[0]: ",
                             "services[1].idempotentPaths[1]: ",
                             "services[1].idempotentPaths[3]: is listed twice",
                             "services[1].idempotentPaths[4]: ",
                             "services[1].service: is listed twice",
                             "ratePerSecond: ",
                             "concurrency: ",
                             "objectivePermille: ",
                             "objectiveLatencyMs: " };
    REQUIRE(faults.size() == std::size(fields));
    for (std::size_t n = 0; n < faults.size(); ++n) {
        REQUIRE_THAT(faults[n], Catch::Matchers::StartsWith(fields[n]));
    }
    REQUIRE(validateContract(contract).error().code == ResultCode::ContractInvalid);
    contract.services.clear();
    REQUIRE_THAT(validateContract(contract).error().detail, Catch::Matchers::Contains("services: expected 1 to 64, found 0"));
    REQUIRE(validateContract(sampleContract()));
}
