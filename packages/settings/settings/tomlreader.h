#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Galenabarrow::Settings
{

/// A value of a type that no setting has, such as a date, represented by the name of the type.
struct UnsupportedValue {
    std::string type;
};

using Value = std::variant<std::int64_t, double, bool, std::string, std::vector<std::string>, UnsupportedValue>;

/// One value of a file.
struct Assignment {
    /// Dotted path, such as "control.replicas[0].instance".
    std::string key;
    unsigned line = 0;
    Value value;
};

/// One fault of a file; the line is 0 when the fault belongs to no line, such as a missing key.
struct Fault {
    unsigned line = 0;
    std::string key;
    std::string message;
};

/// All values of a TOML text, with tables flattened to dotted paths. Adds syntax errors to \p faults, with their lines.
std::vector<Assignment> readToml(std::string_view text, std::vector<Fault> &faults);

}
