#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Galenabarrow::Coordination
{

/// Identifies a request by its content, over all entries and all attempts of its caller.
struct RequestMark {
    /// A fast hash of the method, host and target. Requests of the same place may differ in their account and body.
    std::uint64_t place = 0;
    /// The first 128 bits of a cryptographic hash of the whole content.
    std::uint64_t digestHigh = 0;
    std::uint64_t digestLow = 0;

    auto operator<=>(const RequestMark &) const = default; // NOLINT(modernize-use-nullptr): as in base/id.h
};

/// The first 32 bits of the digest in hexadecimal digits, for log lines.
std::string describe(const RequestMark &mark);

}
