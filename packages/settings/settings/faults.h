#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/tomlreader.h"

namespace Galenabarrow::Settings
{

/// Collects the faults of one settings file.
class Faults
{
public:
    void add(unsigned line, std::string key, std::string message);
    void add(std::vector<Fault> faults);
    bool isEmpty() const;
    /// Whether \p key has a fault. Checks that compare several keys skip such a key, since its value was not stored.
    bool has(std::string_view key) const;
    /// All faults sorted by line number, one per line of text, as "name:line: key: message".
    std::string text(std::string_view name) const;

private:
    std::vector<Fault> m_faults;
};

}
