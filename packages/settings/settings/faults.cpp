#include "settings/faults.h"

#include <algorithm>

namespace Galenabarrow::Settings
{

void Faults::add(unsigned line, std::string key, std::string message)
{
    m_faults.push_back(Fault { line, std::move(key), std::move(message) });
}

void Faults::add(std::vector<Fault> faults)
{
    for (Fault &it : faults) {
        m_faults.push_back(std::move(it));
    }
}

bool Faults::isEmpty() const
{
    return m_faults.empty();
}

bool Faults::has(std::string_view key) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [key](const Fault &it) { return it.key == key; });
}

std::string Faults::text(std::string_view name) const
{
    std::vector<Fault> sorted = m_faults;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Fault &a, const Fault &b) { return a.line < b.line; });
    std::string text;
    for (const Fault &it : sorted) {
        text += text.empty() ? "" : "\n";
        text += name;
        text += it.line == 0 ? ": " : ':' + std::to_string(it.line) + ": ";
        text += it.key.empty() ? "" : it.key + ": ";
        text += it.message;
    }
    return text;
}

}
