#include "contract/jsonobject.h"

#include <algorithm>
#include <set>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

namespace Galenabarrow
{

namespace
{

/// No valid body is nested deeper, and the recursive destruction of a deeply nested value would overflow the stack.
constexpr std::size_t MaxDepth = 16;

/// Rejects objects with a duplicate field, of which POCO would silently keep the last one.
class UniqueKeyHandler final : public Poco::JSON::ParseHandler
{
public:
    void startObject() override
    {
        m_keys.emplace_back();
        ParseHandler::startObject();
    }

    void endObject() override
    {
        m_keys.pop_back();
        ParseHandler::endObject();
    }

    void key(const std::string &name) override
    {
        if (!m_keys.back().insert(name).second) {
            throw Poco::JSON::JSONException("field " + name + " is given twice");
        }
        ParseHandler::key(name);
    }

private:
    std::vector<std::set<std::string>> m_keys;
};

bool isText(const Poco::Dynamic::Var &value)
{
    return !value.isEmpty() && value.type() == typeid(std::string);
}

}

Result<Poco::JSON::Object::Ptr> parseJsonObject(std::string_view text)
{
    try {
        Poco::JSON::Parser parser(new UniqueKeyHandler);
        parser.setDepth(MaxDepth);
        const Poco::Dynamic::Var value = parser.parse(std::string(text));
        if (value.type() == typeid(Poco::JSON::Object::Ptr)) {
            return value.extract<Poco::JSON::Object::Ptr>();
        }
        return failure(ResultCode::BodyMalformed, "expected a JSON object");
    } catch (const Poco::Exception &e) {
        return failure(ResultCode::BodyMalformed, e.displayText());
    } catch (const std::exception &e) {
        return failure(ResultCode::BodyMalformed, e.what());
    }
}

std::string joinLines(const std::vector<std::string> &faults)
{
    std::string text;
    for (const std::string &it : faults) {
        text += text.empty() ? it : '\n' + it;
    }
    return text;
}

JsonFields::JsonFields(const Poco::JSON::Object &object, std::string path, std::vector<std::string> &faults)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
{
}

std::uint64_t JsonFields::number(const std::string &name, std::uint64_t max)
{
    if (!m_object.has(name)) {
        addFault(name, "is missing");
        return 0;
    }
    return optionalNumber(name, max).value_or(0);
}

std::optional<std::uint64_t> JsonFields::optionalNumber(const std::string &name, std::uint64_t max)
{
    const Poco::Dynamic::Var value = readValue(name);
    if (!m_object.has(name)) {
        return std::nullopt;
    }
    // POCO counts a boolean as an integer.
    const bool isInteger = !value.isEmpty() && value.isInteger() && !value.isBoolean();
    const bool isNegative = isInteger && value.isSigned() && value.convert<std::int64_t>() < 0;
    if (!isInteger || isNegative || value.convert<std::uint64_t>() > max) {
        addFault(name, "expected an integer from 0 to " + std::to_string(max));
        return std::nullopt;
    }
    return value.convert<std::uint64_t>();
}

std::string JsonFields::text(const std::string &name)
{
    const Poco::Dynamic::Var value = readValue(name);
    if (!isText(value)) {
        addFault(name, m_object.has(name) ? "expected a text" : "is missing");
        return {};
    }
    return value.extract<std::string>();
}

std::vector<std::string> JsonFields::texts(const std::string &name)
{
    readValue(name);
    const Poco::JSON::Array::Ptr array = m_object.getArray(name);
    std::vector<std::string> result;
    if (array.isNull() || !std::all_of(array->begin(), array->end(), isText)) {
        addFault(name, m_object.has(name) ? "expected a list of texts" : "is missing");
        return result;
    }
    std::transform(array->begin(), array->end(), std::back_inserter(result),
                   [](const Poco::Dynamic::Var &it) { return it.extract<std::string>(); });
    return result;
}

std::vector<Poco::JSON::Object::Ptr> JsonFields::objects(const std::string &name)
{
    readValue(name);
    const Poco::JSON::Array::Ptr array = m_object.getArray(name);
    const auto isObject = [](const Poco::Dynamic::Var &it) { return !it.isEmpty() && it.type() == typeid(Poco::JSON::Object::Ptr); };
    std::vector<Poco::JSON::Object::Ptr> result;
    if (array.isNull() || !std::all_of(array->begin(), array->end(), isObject)) {
        addFault(name, m_object.has(name) ? "expected a list of objects" : "is missing");
        return result;
    }
    std::transform(array->begin(), array->end(), std::back_inserter(result),
                   [](const Poco::Dynamic::Var &it) { return it.extract<Poco::JSON::Object::Ptr>(); });
    return result;
}

std::string JsonFields::pathOf(const std::string &name) const
{
    return m_path + name;
}

void JsonFields::rejectUnknownFields()
{
    for (const std::string &name : m_object.getNames()) {
        if (std::find(m_readNames.begin(), m_readNames.end(), name) == m_readNames.end()) {
            addFault(name, "is not a field");
        }
    }
}

Poco::Dynamic::Var JsonFields::readValue(const std::string &name)
{
    m_readNames.push_back(name);
    return m_object.get(name);
}

void JsonFields::addFault(const std::string &name, const std::string &message)
{
    m_faults.push_back(pathOf(name) + ": " + message);
}

}
