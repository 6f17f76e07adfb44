#include "mutator.h"

#include <algorithm>
#include <array>

namespace
{

constexpr std::uint64_t MaxChanges = 4;
constexpr std::uint64_t MaxRunLength = 24;
constexpr std::uint64_t ByteValues = 256;
constexpr const char *Digits = "0123456789";
constexpr std::array<const char *, 14> EdgeNumbers = {
    "-1",   "0",   "1001", "65536", "4294967296", "9223372036854775807", "9223372036854775808", "18446744073709551616", "1e999",
    "-0.0", "nan", "null", "true",  "\"1\""
};
/// Tokens of the syntaxes that the parsers accept.
constexpr std::array<const char *, 16> Tokens = { "{",  "}", "[", "]", "[[", "]]", "\"",  "\\u0000",
                                                  "\\", ",", ":", "=", "\n", "#",  "'''", "\xff\xfe" };

}

Mutator::Mutator(std::vector<std::string> samples, std::uint64_t seed)
    : m_samples(std::move(samples))
    , m_random(seed)
{
}

std::string Mutator::next()
{
    std::string text = m_samples[m_random.below(m_samples.size())];
    for (std::uint64_t n = 1 + m_random.below(MaxChanges); n > 0; --n) {
        mutate(text);
    }
    return text;
}

std::size_t Mutator::position(const std::string &text)
{
    return m_random.below(text.size() + 1);
}

void Mutator::mutate(std::string &text)
{
    const std::size_t at = position(text);
    const std::size_t run = 1 + m_random.below(MaxRunLength);
    switch (m_random.below(8)) {
    case 0:
        if (at < text.size()) {
            text[at] = static_cast<char>(text[at] ^ (1 << m_random.below(8)));
        }
        break;
    case 1:
        if (at < text.size()) {
            text[at] = static_cast<char>(m_random.below(ByteValues));
        }
        break;
    case 2:
        text.insert(at, 1, static_cast<char>(m_random.below(ByteValues)));
        break;
    case 3:
        text.erase(at, run);
        break;
    case 4:
        text.insert(position(text), std::string(text, at, run));
        break;
    case 5:
        text.resize(at);
        break;
    case 6:
        replaceNumber(text);
        break;
    default:
        text.insert(at, Tokens[m_random.below(Tokens.size())]);
        break;
    }
}

void Mutator::replaceNumber(std::string &text)
{
    const std::size_t begin = text.find_first_of(Digits, position(text));
    if (begin != std::string::npos) {
        const std::size_t end = std::min(text.find_first_not_of(Digits, begin), text.size());
        text.replace(begin, end - begin, EdgeNumbers[m_random.below(EdgeNumbers.size())]);
    }
}
