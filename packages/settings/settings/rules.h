#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "settings/daemonsettings.h"

namespace Galenabarrow::Settings
{

/// Where a value is stored: the settings, and the index of the replica for keys of control.replicas[].
struct Target {
    DaemonSettings &settings;
    std::size_t index = 0;
};

struct IntegerRule {
    std::int64_t min;
    std::int64_t max;
    std::uint32_t &(*field)(Target);
};

/// A duration, written as an integer number of units.
struct DurationRule {
    std::int64_t min;
    std::int64_t max;
    Duration unit;
    Duration &(*field)(Target);
};

struct NumberRule {
    double min;
    double max;
    double &(*field)(Target);
};

struct FlagRule {
    bool &(*field)(Target);
};

struct ChoiceRule {
    std::span<const std::string_view> names;
    std::string &(*field)(Target);
};

/// The format that a text must have.
enum class TextKind { Name, FileName, ListenAddress, ConnectAddress, Role };

struct TextRule {
    TextKind kind;
    void (*store)(Target, std::string);
};

struct ListRule {
    TextKind kind;
    std::size_t max;
    void (*store)(Target, std::vector<std::string>);
};

using RuleBody = std::variant<IntegerRule, DurationRule, NumberRule, FlagRule, ChoiceRule, TextRule, ListRule>;

/// When a key must be present.
enum class Requirement { Optional, Always, Entry, Control, EachReplica };

/// One setting.
struct Rule {
    /// Dotted path; "[]" stands for any index of a list.
    std::string_view key;
    Requirement requirement;
    RuleBody body;
    std::string_view meaning;
};

/// All settings in the order of the documentation.
std::span<const Rule> rules();

/// Names of the routing strategies.
std::span<const std::string_view> routingStrategies();

}
