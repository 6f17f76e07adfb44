#include "coordination/requestmark.h"

#include <cstdio>

namespace Galenabarrow::Coordination
{

std::string describe(const RequestMark &mark)
{
    std::array<char, 16> buf {};
    std::snprintf(buf.data(), buf.size(), "%02x%02x%02x%02x", mark.digest[0], mark.digest[1], mark.digest[2], mark.digest[3]);
    return buf.data();
}

}
