#include "gateway/limitfield.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

LimitField readOne(std::string_view value)
{
    Http::Fields fields;
    fields.add("X-Max", value);
    return readLimitField(fields, "x-max");
}

}

TEST_CASE("a stated limit is a decimal number of requests a second")
{
    CHECK(readOne("1.8").perSecond == 1.8);
    CHECK(readOne("250").perSecond == 250);
    CHECK(readOne("0").perSecond == 0);
    CHECK(readOne("0.25").perSecond == 0.25);
    CHECK_FALSE(readLimitField(Http::Fields {}, "x-max").isPresent);
}

// Guards against input of a server that stops the requests to it or lets all of them through by accident.
TEST_CASE("a limit that is not a number in range is not used")
{
    for (const char *it : { "", " ", "none", "-1", "+1", "1e3", "0x10", "nan", "inf", "1.8,2", "1.8 ", "1..2", ".", "99999999999999" }) {
        const LimitField field = readOne(it);
        INFO(it);
        CHECK(field.isPresent);
        CHECK_FALSE(field.perSecond);
    }
    CHECK_FALSE(readOne(std::string(5000, '9')).perSecond);
}

TEST_CASE("the lowest readable limit of a response counts")
{
    Http::Fields fields;
    fields.add("X-Max", "many");
    fields.add("X-Max", "4");
    fields.add("X-Max", "2.5");
    CHECK(readLimitField(fields, "x-max").perSecond == 2.5);
}
