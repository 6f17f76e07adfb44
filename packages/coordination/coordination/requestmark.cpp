#include "coordination/requestmark.h"

#include <array>
#include <cstdio>

namespace Galenabarrow::Coordination
{

std::string describe(const RequestMark &mark)
{
    constexpr unsigned ShownBits = 32;
    std::array<char, 16> buf {};
    std::snprintf(buf.data(), buf.size(), "%08x", static_cast<unsigned>(mark.digestHigh >> ShownBits));
    return buf.data();
}

}
