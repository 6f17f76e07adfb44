#include "settings/reader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include "base/name.h"
#include "settings/address.h"

namespace Galenabarrow::Settings
{

namespace
{

constexpr std::size_t MaxFileName = 4096;

template<typename... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template<typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

struct TextKindRow {
    TextKind kind;
    std::string_view type;
    bool (*isValid)(const std::string &);
};

bool isFileName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxFileName && text.find('\0') == std::string::npos;
}

constexpr TextKindRow TextKinds[] = {
    { TextKind::Name, "1 to 64 letters, digits, '.', '_' or '-'", [](const std::string &it) { return isName(it); } },
    { TextKind::FileName, "file name", isFileName },
    { TextKind::ListenAddress, "IP address:port, port 0 lets the system choose",
      [](const std::string &it) { return isAddress(it, AddressUse::Listen); } },
    { TextKind::ConnectAddress, "IP address:port", [](const std::string &it) { return isAddress(it, AddressUse::Connect); } },
    { TextKind::Role, "entry, control", [](const std::string &it) { return it == "entry" || it == "control"; } },
};

const TextKindRow &textKindRow(TextKind kind)
{
    return *std::find_if(std::begin(TextKinds), std::end(TextKinds), [kind](const TextKindRow &it) { return it.kind == kind; });
}

std::string numberText(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string joined(std::span<const std::string_view> names)
{
    std::string text;
    for (const std::string_view it : names) {
        text += text.empty() ? "" : ", ";
        text += it;
    }
    return text;
}

std::string rangeText(std::string_view type, const std::string &min, const std::string &max)
{
    return std::string(type) + ", " + min + " to " + max;
}

/// Checks a value against a rule and stores it. Each overload returns false without a change when the value breaks the rule.
class StoreVisitor
{
public:
    StoreVisitor(const Value &value, Target target)
        : m_value(value)
        , m_target(target)
    {
    }

    bool operator()(const IntegerRule &rule) const
    {
        const auto *value = std::get_if<std::int64_t>(&m_value);
        if (!value || *value < rule.min || *value > rule.max) {
            return false;
        }
        rule.field(m_target) = static_cast<std::uint32_t>(*value);
        return true;
    }

    bool operator()(const DurationRule &rule) const
    {
        const auto *value = std::get_if<std::int64_t>(&m_value);
        if (!value || *value < rule.min || *value > rule.max) {
            return false;
        }
        rule.field(m_target) = *value * rule.unit;
        return true;
    }

    bool operator()(const NumberRule &rule) const
    {
        const auto *integer = std::get_if<std::int64_t>(&m_value);
        const auto *number = std::get_if<double>(&m_value);
        if (!integer && !number) {
            return false;
        }
        const double value = integer ? static_cast<double>(*integer) : *number;
        // Written so that NaN is rejected.
        if (!(value >= rule.min && value <= rule.max)) {
            return false;
        }
        rule.field(m_target) = value;
        return true;
    }

    bool operator()(const FlagRule &rule) const
    {
        const auto *value = std::get_if<bool>(&m_value);
        if (!value) {
            return false;
        }
        rule.field(m_target) = *value;
        return true;
    }

    bool operator()(const ChoiceRule &rule) const
    {
        const auto *value = std::get_if<std::string>(&m_value);
        if (!value || std::find(rule.names.begin(), rule.names.end(), *value) == rule.names.end()) {
            return false;
        }
        rule.field(m_target) = *value;
        return true;
    }

    bool operator()(const TextRule &rule) const
    {
        const auto *value = std::get_if<std::string>(&m_value);
        if (!value || !textKindRow(rule.kind).isValid(*value)) {
            return false;
        }
        rule.store(m_target, *value);
        return true;
    }

    bool operator()(const ListRule &rule) const
    {
        const auto *value = std::get_if<std::vector<std::string>>(&m_value);
        if (!value || value->size() > rule.max || !std::all_of(value->begin(), value->end(), textKindRow(rule.kind).isValid)) {
            return false;
        }
        const std::set<std::string> unique(value->begin(), value->end());
        if (unique.size() != value->size()) {
            return false;
        }
        rule.store(m_target, *value);
        return true;
    }

private:
    const Value &m_value;
    Target m_target;
};

/// The value for messages; long texts are truncated.
std::string valueText(const Value &value)
{
    constexpr std::size_t MaxShown = 80;
    const auto shown = [](const std::string &it) { return '"' + it.substr(0, MaxShown) + (it.size() > MaxShown ? "...\"" : "\""); };
    return std::visit(Overloaded {
                          [](std::int64_t it) { return std::to_string(it); },
                          [](double it) { return numberText(it); },
                          [](bool it) { return std::string(it ? "true" : "false"); },
                          [&](const std::string &it) { return shown(it); },
                          [](const std::vector<std::string> &it) { return "a list of " + std::to_string(it.size()); },
                          [](const UnsupportedValue &it) { return "a value of type " + it.type; },
                      },
                      value);
}

struct KeyPattern {
    std::string pattern;
    std::size_t index = 0;
};

/// Splits "control.replicas[2].instance" into "control.replicas[].instance" and 2. Other keys stay as they are.
KeyPattern patternOf(const std::string &key)
{
    const std::size_t open = key.find('[');
    const std::size_t close = key.find(']', open);
    if (open == std::string::npos || close == std::string::npos) {
        return KeyPattern { key, 0 };
    }
    KeyPattern result { key.substr(0, open + 1) + key.substr(close), 0 };
    const auto [end, ec] = std::from_chars(key.data() + open + 1, key.data() + close, result.index);
    return ec == std::errc() && end == key.data() + close ? result : KeyPattern { key, 0 };
}

bool isTableOfSettings(const std::string &key)
{
    return std::any_of(rules().begin(), rules().end(), [&](const Rule &rule) {
        return rule.key.starts_with(key) && rule.key.size() > key.size() && (rule.key[key.size()] == '.' || rule.key[key.size()] == '[');
    });
}

std::string replicaKey(std::string_view pattern, std::size_t index)
{
    std::string key(pattern);
    key.insert(key.find('[') + 1, std::to_string(index));
    return key;
}

}

Reader::Reader(DaemonSettings &settings, Faults &faults)
    : m_settings(settings)
    , m_faults(faults)
{
}

void Reader::read(const Assignment &assignment)
{
    const KeyPattern key = patternOf(assignment.key);
    const auto rule = std::find_if(rules().begin(), rules().end(), [&](const Rule &it) { return it.key == key.pattern; });
    if (rule == rules().end()) {
        rejectUnknown(assignment);
        return;
    }
    m_keys.insert(assignment.key);
    if (!std::visit(StoreVisitor(assignment.value, Target { m_settings, key.index }), rule->body)) {
        m_faults.add(assignment.line, assignment.key, "expected " + typeText(rule->body) + ", found " + valueText(assignment.value));
    }
}

void Reader::rejectUnknown(const Assignment &assignment)
{
    if (!isTableOfSettings(patternOf(assignment.key).pattern)) {
        m_faults.add(assignment.line, assignment.key, "is not a setting");
        return;
    }
    const auto *other = std::get_if<UnsupportedValue>(&assignment.value);
    if (!other || other->type != "table") {
        m_faults.add(assignment.line, assignment.key, "expected a table, found " + valueText(assignment.value));
    } else if (assignment.key.ends_with(']')) {
        // An empty table leaves the defaults in force, but an empty element of a list of tables would be ignored silently.
        m_faults.add(assignment.line, assignment.key, "is empty");
    }
}

void Reader::require(const std::string &key, std::string_view reason)
{
    if (!isSet(key)) {
        m_faults.add(0, key, "is required" + std::string(reason));
    }
}

void Reader::checkRequired()
{
    for (const Rule &rule : rules()) {
        if (rule.requirement == Requirement::Always) {
            require(std::string(rule.key), "");
        } else if (rule.requirement == Requirement::Entry && m_settings.instance.isEntry) {
            require(std::string(rule.key), " for the role entry");
        } else if (rule.requirement == Requirement::Control && m_settings.instance.isControl) {
            require(std::string(rule.key), " for the role control");
        } else if (rule.requirement == Requirement::EachReplica) {
            for (std::size_t n = 0; n < m_settings.control.replicas.size(); ++n) {
                require(replicaKey(rule.key, n), "");
            }
        }
    }
}

bool Reader::isSet(std::string_view key) const
{
    return m_keys.contains(key);
}

std::string typeText(const RuleBody &body)
{
    return std::visit(Overloaded {
                          [](const IntegerRule &it) { return rangeText("integer", std::to_string(it.min), std::to_string(it.max)); },
                          [](const DurationRule &it) { return rangeText("integer", std::to_string(it.min), std::to_string(it.max)); },
                          [](const NumberRule &it) { return rangeText("number", numberText(it.min), numberText(it.max)); },
                          [](const FlagRule &) { return std::string("true or false"); },
                          [](const ChoiceRule &it) { return "one of " + joined(it.names); },
                          [](const TextRule &it) { return std::string(textKindRow(it.kind).type); },
                          [](const ListRule &it) {
                              return "list of at most " + std::to_string(it.max) + " different texts ("
                                  + std::string(textKindRow(it.kind).type) + ")";
                          },
                      },
                      body);
}

std::string defaultText(const RuleBody &body)
{
    DaemonSettings settings;
    const Target target { settings };
    return std::visit(Overloaded {
                          [&](const IntegerRule &it) { return std::to_string(it.field(target)); },
                          [&](const DurationRule &it) { return std::to_string(it.field(target) / it.unit); },
                          [&](const NumberRule &it) { return numberText(it.field(target)); },
                          [&](const FlagRule &it) { return std::string(it.field(target) ? "true" : "false"); },
                          [&](const ChoiceRule &it) { return it.field(target); },
                          [](const auto &) { return std::string("none"); },
                      },
                      body);
}

}
