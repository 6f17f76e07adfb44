#include "ctl/reportcommands.h"

#include <ostream>

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Object.h>

#include "contract/jsonobject.h"
#include "contract/operatorsapi.h"
#include "report/burnreport.h"

namespace Galenabarrow::Ctl
{

namespace
{

/// The parts of a result that came from several addresses, and what went wrong at the others.
template<typename T>
struct Collected {
    std::vector<std::pair<std::string, T>> parts;
    std::vector<std::string> errors;
};

template<typename T>
Collected<T> collect(const Call &call, const char *path, Result<T> (*read)(std::string_view))
{
    Collected<T> result;
    for (const std::string &address : call.client.addresses()) {
        Result<T> part = call.client.getFrom(address, path).and_then(read);
        if (part) {
            result.parts.emplace_back(address, std::move(*part));
        } else {
            result.errors.push_back(std::string(resultCodeName(part.error().code)) + ": " + part.error().detail);
        }
    }
    return result;
}

Result<void> conclude(const std::vector<std::string> &errors, std::size_t addressCount)
{
    if (errors.empty()) {
        return {};
    }
    std::string detail = std::to_string(errors.size()) + " of " + std::to_string(addressCount) + " instances did not answer as expected";
    for (const std::string &it : errors) {
        detail += "\n  " + it;
    }
    return failure(ResultCode::Unreachable, detail);
}

void printFields(std::ostream &out, const Poco::JSON::Object &object)
{
    for (const std::string &name : object.getNames()) {
        out << "  " << name << ": ";
        const Poco::Dynamic::Var value = object.get(name);
        const bool isText = !value.isEmpty() && value.isString();
        out << (isText ? value.convert<std::string>() : Poco::Dynamic::Var::toString(value)) << '\n';
    }
}

}

Result<void> status(const Call &call)
{
    const auto collected = collect<Poco::JSON::Object::Ptr>(call, OperatorsApi::StatusPath, parseJsonObject);
    for (const auto &[address, object] : collected.parts) {
        call.out << address << '\n';
        printFields(call.out, *object);
    }
    return conclude(collected.errors, call.client.addresses().size());
}

Result<void> burn(const Call &call)
{
    const auto collected = collect<Report::BurnData>(call, OperatorsApi::BurnPath, Report::burnDataFromJson);
    std::vector<Report::BurnData> parts;
    for (const auto &[address, data] : collected.parts) {
        parts.push_back(data);
    }
    if (!parts.empty()) {
        const Report::BurnReport report(Report::merge(parts));
        call.out << (call.invocation.wantsJson ? report.json() + '\n' : report.table());
    }
    return conclude(collected.errors, call.client.addresses().size());
}

}
