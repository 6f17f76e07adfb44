#include "gateway/requestfields.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

TEST_CASE("a caller's deadline is accepted only as whole milliseconds")
{
    struct Row {
        std::string text;
        std::optional<Duration> expected;
    };
    const Row row = GENERATE(Row { "1500", std::chrono::milliseconds(1500) }, Row { "0", Duration {} }, Row { "", std::nullopt },
                             Row { "-1", std::nullopt }, Row { "1.5", std::nullopt }, Row { "15 ", std::nullopt },
                             Row { "9223372036854775807", std::chrono::minutes(10) }, Row { "99999999999999999999", std::nullopt });
    INFO(row.text);
    CHECK(parseMilliseconds(&row.text) == row.expected);
    CHECK(parseMilliseconds(nullptr) == std::nullopt);
}
