#include "contract/contractjson.h"

#include <algorithm>
#include <limits>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "contract/contractrules.h"
#include "contract/jsonobject.h"

namespace Galenabarrow
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::uint64_t MaxNumber = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxVersion = std::numeric_limits<std::int64_t>::max();

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Duration readDuration(JsonFields &fields, const std::string &name)
{
    return std::chrono::milliseconds(fields.number(name, MaxNumber));
}

std::uint32_t readNumber(JsonFields &fields, const std::string &name)
{
    return static_cast<std::uint32_t>(fields.number(name, MaxNumber));
}

std::string toText(const Object::Ptr &object)
{
    std::ostringstream text;
    object->stringify(text);
    return text.str();
}

Object::Ptr termsObject(const ServiceTerms &terms)
{
    Array::Ptr paths = new Array;
    for (const std::string &it : terms.idempotentPaths) {
        paths->add(it);
    }
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("service", terms.service.value());
    object->set("idempotentPaths", paths);
    object->set("maxDeadlineMs", milliseconds(terms.maxDeadline));
    object->set("hedgePermille", terms.hedgePermille);
    object->set("retryPermille", terms.retryPermille);
    return object;
}

Object::Ptr contractObject(const Contract &contract)
{
    Array::Ptr services = new Array;
    for (const ServiceTerms &it : contract.services) {
        services->add(termsObject(it));
    }
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("customer", contract.customer.value());
    object->set("version", contract.version.value());
    object->set("services", services);
    object->set("ratePerSecond", contract.ratePerSecond);
    object->set("burst", contract.burst);
    object->set("concurrency", contract.concurrency);
    object->set("objectivePermille", contract.objectivePermille);
    object->set("objectiveLatencyMs", milliseconds(contract.objectiveLatency));
    return object;
}

ServiceTerms readTerms(const Object &object, const std::string &path, std::vector<std::string> &faults)
{
    JsonFields fields(object, path, faults);
    ServiceTerms terms;
    terms.service = ServiceId(fields.text("service"));
    terms.idempotentPaths = fields.texts("idempotentPaths");
    terms.maxDeadline = readDuration(fields, "maxDeadlineMs");
    terms.hedgePermille = readNumber(fields, "hedgePermille");
    terms.retryPermille = readNumber(fields, "retryPermille");
    fields.rejectUnknownFields();
    return terms;
}

Contract readContract(const Object &object, const std::string &path, std::vector<std::string> &faults)
{
    JsonFields fields(object, path, faults);
    Contract contract;
    contract.customer = CustomerId(fields.text("customer"));
    contract.version = Version(fields.optionalNumber("version", MaxVersion).value_or(0));
    const std::vector<Object::Ptr> services = fields.objects("services");
    for (std::size_t n = 0; n < services.size(); ++n) {
        contract.services.push_back(readTerms(*services[n], fields.pathOf("services[" + std::to_string(n) + "]."), faults));
    }
    contract.ratePerSecond = readNumber(fields, "ratePerSecond");
    contract.burst = readNumber(fields, "burst");
    contract.concurrency = readNumber(fields, "concurrency");
    contract.objectivePermille = readNumber(fields, "objectivePermille");
    contract.objectiveLatency = readDuration(fields, "objectiveLatencyMs");
    fields.rejectUnknownFields();
    return contract;
}

bool hasFaultForField(const std::vector<std::string> &faults, const std::string &fault)
{
    const std::string field = fault.substr(0, fault.find(": ") + 2);
    return std::any_of(faults.begin(), faults.end(), [&](const std::string &it) { return it.starts_with(field); });
}

/// Reads a contract and adds the faults of its structure, then those of its values for fields that have no fault yet.
Contract readAndValidateContract(const Object &object, const std::string &path, std::vector<std::string> &faults)
{
    Contract contract = readContract(object, path, faults);
    for (const std::string &it : contractFaults(contract)) {
        const std::string fault = path + it;
        if (!hasFaultForField(faults, fault)) {
            faults.push_back(fault);
        }
    }
    return contract;
}

}

std::string toJson(const Contract &contract)
{
    return toText(contractObject(contract));
}

std::string toJson(std::span<const Contract> contracts)
{
    Array::Ptr array = new Array;
    for (const Contract &it : contracts) {
        array->add(contractObject(it));
    }
    Object::Ptr object = new Object;
    object->set("contracts", array);
    return toText(object);
}

std::string toJson(const ChangeResult &result)
{
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("code", static_cast<unsigned>(result.code));
    object->set("version", result.version.value());
    object->set("winner", result.winner.value());
    return toText(object);
}

Result<Contract> contractFromJson(std::string_view text)
{
    const Result<Object::Ptr> object = parseJsonObject(text);
    if (!object) {
        return tl::make_unexpected(object.error());
    }
    std::vector<std::string> faults;
    Contract contract = readAndValidateContract(**object, "", faults);
    if (!faults.empty()) {
        return failure(ResultCode::ContractInvalid, joinLines(faults));
    }
    return contract;
}

Result<std::vector<Contract>> contractsFromJson(std::string_view text)
{
    const Result<Object::Ptr> object = parseJsonObject(text);
    if (!object) {
        return tl::make_unexpected(object.error());
    }
    std::vector<std::string> faults;
    JsonFields fields(**object, "", faults);
    std::vector<Contract> contracts;
    const std::vector<Object::Ptr> objects = fields.objects("contracts");
    fields.rejectUnknownFields();
    for (std::size_t n = 0; n < objects.size(); ++n) {
        contracts.push_back(readAndValidateContract(*objects[n], "contracts[" + std::to_string(n) + "].", faults));
    }
    if (!faults.empty()) {
        return failure(ResultCode::ContractInvalid, joinLines(faults));
    }
    return contracts;
}

Result<ChangeResult> changeResultFromJson(std::string_view text)
{
    const Result<Object::Ptr> object = parseJsonObject(text);
    if (!object) {
        return tl::make_unexpected(object.error());
    }
    std::vector<std::string> faults;
    JsonFields fields(**object, "", faults);
    ChangeResult result;
    result.code = static_cast<ResultCode>(fields.number("code", std::numeric_limits<std::uint16_t>::max()));
    result.version = Version(fields.number("version", MaxVersion));
    result.winner = ChangeId(fields.text("winner"));
    fields.rejectUnknownFields();
    if (faults.empty() && resultCodeName(result.code) == "Unlisted") {
        faults.emplace_back("code: is not a result code");
    }
    if (!faults.empty()) {
        return failure(ResultCode::BodyMalformed, joinLines(faults));
    }
    return result;
}

}
