#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Object.h>

#include "base/resultcode.h"

namespace Galenabarrow
{

/// Parses a JSON text strictly: one object, no comments, no duplicate fields, limited nesting. Fails with BodyMalformed.
Result<Poco::JSON::Object::Ptr> parseJsonObject(std::string_view text);

/// \p faults as one text, one per line.
std::string joinLines(const std::vector<std::string> &faults);

/// Reads the fields of one JSON object and records every fault: a missing, unknown or wrongly typed field.
class JsonFields
{
public:
    /// \p path is the prefix of the names of fields in faults.
    JsonFields(const Poco::JSON::Object &object, std::string path, std::vector<std::string> &faults);

    /// A number from 0 to \p max; 0 after a fault.
    std::uint64_t number(const std::string &name, std::uint64_t max);
    /// The same for a field that may be missing.
    std::optional<std::uint64_t> optionalNumber(const std::string &name, std::uint64_t max);
    std::string text(const std::string &name);
    std::vector<std::string> texts(const std::string &name);
    std::vector<Poco::JSON::Object::Ptr> objects(const std::string &name);
    /// The name of a field with its path, as faults give it.
    std::string pathOf(const std::string &name) const;
    /// Adds a fault for each field that was not read. Called after all other reads.
    void rejectUnknownFields();

private:
    Poco::Dynamic::Var readValue(const std::string &name);
    void addFault(const std::string &name, const std::string &message);

    const Poco::JSON::Object &m_object;
    std::string m_path;
    std::vector<std::string> &m_faults;
    std::vector<std::string> m_readNames;
};

}
