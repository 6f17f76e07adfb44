#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/tomlreader.h"

namespace Galenabarrow::Settings
{

/// The faults of one file.
class Faults
{
public:
    void add(unsigned line, std::string key, std::string message);
    void add(std::vector<Fault> faults);
    bool isEmpty() const;
    /// Whether \p key has a fault. A check of several keys passes over them then, since their values are not meant.
    bool has(std::string_view key) const;
    /// All faults by line, one per line of text, as "name:line: key: message".
    std::string text(std::string_view name) const;

private:
    std::vector<Fault> m_faults;
};

}
