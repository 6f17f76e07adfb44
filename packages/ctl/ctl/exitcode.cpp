#include "ctl/exitcode.h"

#include <array>

namespace Galenabarrow::Ctl
{

namespace
{

constexpr int OtherFailure = 1;
constexpr int FirstShellStatus = 126;
constexpr unsigned CodesPerFamily = 100;
constexpr std::array<int, 6> FamilyBases = { 0, 10, 30, 50, 70, 100 };

}

int exitCode(ResultCode code)
{
    const unsigned number = static_cast<unsigned>(code);
    if (code == ResultCode::Ok) {
        return 0;
    }
    const std::size_t family = number / CodesPerFamily;
    if (family == 0 || family >= FamilyBases.size()) {
        return OtherFailure;
    }
    const int status = FamilyBases[family] + static_cast<int>(number % CodesPerFamily);
    const int end = family + 1 < FamilyBases.size() ? FamilyBases[family + 1] : FirstShellStatus;
    return status < end ? status : OtherFailure;
}

}
