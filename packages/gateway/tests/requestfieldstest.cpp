#include "gateway/requestfields.h"

#include <limits>

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

// Guards against numbers that are read in part, and against signs, exponents and words that from_chars accepts.
TEST_CASE("only plain decimal numbers are read")
{
    CHECK(parseDecimal("0") == 0.0);
    CHECK(parseDecimal("12.5") == 12.5);
    CHECK(parseDecimal(".5") == 0.5);
    CHECK(parseDecimal(std::string(400, '9')) == std::numeric_limits<double>::infinity());
    for (const char *text : { "", "-1", "+1", "1e3", "nan", "inf", "1,5", "1.2.3", " 1", "1 ", "0x10", "." }) {
        INFO(text);
        CHECK_FALSE(parseDecimal(text));
    }
}
