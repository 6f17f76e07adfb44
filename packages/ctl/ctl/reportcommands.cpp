#include "ctl/reportcommands.h"

#include <ostream>

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "contract/jsonobject.h"
#include "contract/operatorsapi.h"
#include "report/burnreport.h"

namespace Galenabarrow::Ctl
{

namespace
{

/// The answers of the addresses that could be read, and the errors of the others.
template<typename T>
struct QueryResults {
    std::vector<std::pair<std::string, T>> answers;
    std::vector<std::string> errors;
};

template<typename T>
QueryResults<T> queryAll(const CommandContext &context, const char *path, Result<T> (*read)(std::string_view))
{
    QueryResults<T> result;
    for (const std::string &address : context.client.addresses()) {
        Result<T> part = context.client.getFrom(address, path).and_then(read);
        if (part) {
            result.answers.emplace_back(address, std::move(*part));
        } else {
            result.errors.push_back(std::string(resultCodeName(part.error().code)) + ": " + part.error().detail);
        }
    }
    return result;
}

Result<void> checkAllAnswered(const std::vector<std::string> &errors, std::size_t addressCount)
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

std::string valueText(const Poco::Dynamic::Var &value)
{
    return !value.isEmpty() && value.isString() ? value.convert<std::string>() : Poco::Dynamic::Var::toString(value);
}

/// The fields of an object on one line, as "name=value name=value".
std::string joinFields(const Poco::JSON::Object &object)
{
    std::string line;
    for (const std::string &name : object.getNames()) {
        line += (line.empty() ? "" : " ") + name + '=' + valueText(object.get(name));
    }
    return line;
}

void printField(std::ostream &out, const std::string &name, const Poco::JSON::Object &object)
{
    if (const Poco::JSON::Object::Ptr inner = object.getObject(name)) {
        out << "  " << name << ": " << joinFields(*inner) << '\n';
        return;
    }
    const Poco::JSON::Array::Ptr list = object.getArray(name);
    if (!list) {
        out << "  " << name << ": " << valueText(object.get(name)) << '\n';
        return;
    }
    out << "  " << name << ':' << (list->size() == 0 ? " none" : "");
    for (unsigned n = 0; n < list->size(); ++n) {
        const Poco::JSON::Object::Ptr element = list->getObject(n);
        out << (element ? "\n    " + joinFields(*element) : ' ' + valueText(list->get(n)));
    }
    out << '\n';
}

void printFields(std::ostream &out, const Poco::JSON::Object &object)
{
    for (const std::string &name : object.getNames()) {
        printField(out, name, object);
    }
}

}

Result<void> status(const CommandContext &context)
{
    const auto results = queryAll<Poco::JSON::Object::Ptr>(context, OperatorsApi::StatusPath, parseJsonObject);
    for (const auto &[address, object] : results.answers) {
        context.out << address << '\n';
        printFields(context.out, *object);
    }
    return checkAllAnswered(results.errors, context.client.addresses().size());
}

Result<void> burn(const CommandContext &context)
{
    const auto results = queryAll<Report::BurnData>(context, OperatorsApi::BurnPath, Report::burnDataFromJson);
    std::vector<Report::BurnData> parts;
    for (const auto &[address, data] : results.answers) {
        parts.push_back(data);
    }
    if (!parts.empty()) {
        const Report::BurnReport report(Report::merge(parts));
        context.out << (context.invocation.wantsJson ? report.json() + '\n' : report.table());
    }
    return checkAllAnswered(results.errors, context.client.addresses().size());
}

}
