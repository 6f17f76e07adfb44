#include "settings/tomlscan.h"

namespace Galenabarrow::Settings
{

namespace
{

/// The first fault of \p line; empty when there is none.
std::string_view firstFault(std::string_view line)
{
    constexpr char NoQuote = '\0';
    char quote = NoQuote;
    for (std::size_t n = 0; n < line.size(); ++n) {
        const char it = line[n];
        if (quote != NoQuote) {
            n += quote == '"' && it == '\\' ? 1 : 0;
            quote = it == quote ? NoQuote : quote;
        } else if (it == '#') {
            return {};
        } else if ((static_cast<unsigned char>(it) & 0x80U) != 0) {
            return "a character other than ASCII is allowed in comments and strings only";
        } else if (it == '"' || it == '\'') {
            if (line.substr(n).starts_with(std::string(3, it))) {
                return "multi-line strings are not allowed";
            }
            quote = it;
        }
    }
    return {};
}

}

std::vector<Fault> scanToml(std::string_view text)
{
    std::vector<Fault> faults;
    unsigned number = 1;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view fault = firstFault(text.substr(0, end));
        if (!fault.empty()) {
            faults.push_back(Fault { number, "", std::string(fault) });
        }
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++number;
    }
    return faults;
}

}
