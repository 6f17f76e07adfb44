#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace Galenabarrow::Coordination
{

/// Identifies a request by its content, over all entries and all attempts of its caller.
struct RequestMark {
    static constexpr std::size_t DigestSize = 16;

    /// A fast hash of the method, host and target. Requests of the same place may differ in their account and body.
    std::uint64_t place = 0;
    /// The first bytes of a cryptographic hash of the whole content.
    std::array<std::uint8_t, DigestSize> digest {};

    auto operator<=>(const RequestMark &) const = default; // NOLINT(modernize-use-nullptr): as in base/id.h
};

/// The first four bytes of the digest in hexadecimal digits, for log lines.
std::string describe(const RequestMark &mark);

}
