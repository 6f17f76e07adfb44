#include "settings/tomlreader.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace
{

/// Thrown when an assertion of toml++ fails for an input.
class ParserAssertionError : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

[[noreturn]] void throwAssertionError(const char *condition)
{
    throw ParserAssertionError(condition);
}

}

// toml++ 3.3 asserts that a table header starts with a character of a key, so the line "[{a]" would abort the process. With
// NDEBUG the parser would assume the condition without a check. An exception replaces the assertion in both builds.
#undef NDEBUG
#define TOML_ASSERT(condition) ((condition) ? static_cast<void>(0) : throwAssertionError(#condition))
#include <toml++/toml.h>

#include "settings/tomlscan.h"

namespace Galenabarrow::Settings
{

namespace
{

class Flattener
{
public:
    explicit Flattener(std::vector<Assignment> &assignments)
        : m_assignments(assignments)
    {
    }

    void addTable(const std::string &path, const toml::table &table)
    {
        if (table.empty() && !path.empty()) {
            addUnsupported(path, table);
        }
        for (const auto &[key, node] : table) {
            addNode(join(path, key.str()), node);
        }
    }

private:
    static bool isBareKey(std::string_view key)
    {
        return !key.empty() && std::all_of(key.begin(), key.end(), [](char it) {
            return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9') || it == '_';
        });
    }

    // A key with other characters is quoted, so that the key "a.b" is not mistaken for the key b of the table a.
    static std::string join(const std::string &path, std::string_view key)
    {
        const std::string part = isBareKey(key) ? std::string(key) : '"' + std::string(key) + '"';
        return path.empty() ? part : path + '.' + part;
    }

    void addNode(const std::string &path, const toml::node &node)
    {
        if (const auto *table = node.as_table()) {
            addTable(path, *table);
        } else if (const auto *array = node.as_array()) {
            addArray(path, *array);
        } else if (const auto *text = node.as_string()) {
            add(path, node, text->get());
        } else if (const auto *flag = node.as_boolean()) {
            add(path, node, flag->get());
        } else if (const auto *integer = node.as_integer()) {
            add(path, node, integer->get());
        } else if (const auto *number = node.as_floating_point()) {
            add(path, node, number->get());
        } else {
            addUnsupported(path, node);
        }
    }

    void addArray(const std::string &path, const toml::array &array)
    {
        const auto isText = [](const toml::node &it) { return it.is_string(); };
        if (std::all_of(array.begin(), array.end(), isText)) {
            std::vector<std::string> texts;
            for (const toml::node &it : array) {
                texts.push_back(it.as_string()->get());
            }
            add(path, array, std::move(texts));
            return;
        }
        for (std::size_t n = 0; n < array.size(); ++n) {
            addNode(path + '[' + std::to_string(n) + ']', array[n]);
        }
    }

    void addUnsupported(const std::string &path, const toml::node &node)
    {
        std::ostringstream type;
        type << node.type();
        add(path, node, UnsupportedValue { type.str() });
    }

    void add(const std::string &path, const toml::node &node, Value value)
    {
        m_assignments.push_back(Assignment { path, static_cast<unsigned>(node.source().begin.line), std::move(value) });
    }

    std::vector<Assignment> &m_assignments;
};

bool failsAssertion(std::string_view text)
{
    try {
        static_cast<void>(toml::parse(text));
    } catch (const toml::parse_error &) {
        return false;
    } catch (const ParserAssertionError &) {
        return true;
    }
    return false;
}

/// The line at which an assertion of toml++ failed. The assertion has no position, so this searches for the shortest prefix
/// of whole lines that fails. The parser reads from the front, so every longer prefix fails too, and a binary search works.
unsigned lineOfAssertion(std::string_view text)
{
    std::vector<std::size_t> lineEnds;
    for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        lineEnds.push_back(at + 1);
    }
    const auto isBefore = [text](std::size_t end, bool) { return !failsAssertion(text.substr(0, end)); };
    const auto it = std::lower_bound(lineEnds.begin(), lineEnds.end(), true, isBefore);
    return static_cast<unsigned>(it - lineEnds.begin()) + 1;
}

}

std::vector<Assignment> readToml(std::string_view text, std::vector<Fault> &faults)
{
    std::vector<Assignment> assignments;
    std::vector<Fault> unsafe = scanToml(text);
    if (!unsafe.empty()) {
        faults.insert(faults.end(), unsafe.begin(), unsafe.end());
        return assignments;
    }
    try {
        const toml::table root = toml::parse(text);
        Flattener(assignments).addTable({}, root);
    } catch (const toml::parse_error &e) {
        faults.push_back(Fault { static_cast<unsigned>(e.source().begin.line), "", std::string(e.description()) });
    } catch (const ParserAssertionError &) {
        faults.push_back(Fault { lineOfAssertion(text), "", "the line is not TOML" });
    }
    const auto isEarlier = [](const Assignment &a, const Assignment &b) { return a.line < b.line; };
    std::stable_sort(assignments.begin(), assignments.end(), isEarlier);
    return assignments;
}

}
