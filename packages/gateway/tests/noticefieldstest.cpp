#include "gateway/noticefields.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

struct NamedValue {
    std::string name;
    std::string value;
};

NoticeFields read(const std::vector<NamedValue> &values, unsigned status = 503)
{
    Http::Response response = Http::makeResponse(status);
    for (const NamedValue &it : values) {
        response.fields.add(it.name, it.value);
    }
    return readNoticeFields(response, "x-leaving", "retry-after");
}

}

// Guards against a statement that is overlooked, and against a value without a meaning that takes a server away.
TEST_CASE("a server leaves by the value 1 only")
{
    CHECK_FALSE(read({}).isLeaving);
    CHECK(read({}).unreadable == 0);
    for (const unsigned status : { 200U, 404U, 421U, 500U, 503U }) {
        CHECK(read({ { "X-Leaving", "1" } }, status).isLeaving);
    }
    for (const char *it :
         { "", "0", "2", "-1", "1.0", "true", "1,1", "1 ", "99999999999999999999", "inf", "Sat, 05 Dec 2026 07:00:00 GMT" }) {
        INFO(it);
        CHECK_FALSE(read({ { "X-Leaving", it } }).isLeaving);
        CHECK(read({ { "X-Leaving", it } }).unreadable == 1);
    }
    CHECK(read({ { "X-Leaving", "no" }, { "X-Leaving", "1" } }).isLeaving);
    CHECK(read({ { "X-Leaving", "1" }, { "X-Leaving", "0" } }).isLeaving);
}

// Guards against a value that ends the entry, or that takes a server away for ever.
TEST_CASE("a time is a decimal number of seconds and has an upper bound")
{
    struct Row {
        std::string value;
        Duration away;
    };
    const std::vector<Row> rows = {
        { "2", std::chrono::seconds(2) },
        { "0.25", std::chrono::milliseconds(250) },
        { "0", Duration {} },
        { "0.0000001", std::chrono::microseconds(1) },
        { "601", MaxNoticeTime },
        { "99999999999999999999", MaxNoticeTime },
        { std::string(5000, '9'), MaxNoticeTime },
    };
    for (const Row &it : rows) {
        INFO(it.value);
        CHECK(read({ { "Retry-After", it.value } }).away == it.away);
        CHECK(read({ { "Retry-After", it.value } }).unreadable == 0);
    }
    for (const char *it :
         { "", " ", ".", "-1", "+1", "1e9", "inf", "nan", "0x10", "1,2", "1..2", "2 ", "soon", "Sat, 05 Dec 2026 07:00:00 GMT" }) {
        INFO(it);
        CHECK_FALSE(read({ { "Retry-After", it } }).away);
        CHECK(read({ { "Retry-After", it } }).unreadable == 1);
    }
}

TEST_CASE("the longest readable time of a response counts, and only with the status 503")
{
    CHECK(read({ { "Retry-After", "soon" }, { "Retry-After", "3" }, { "Retry-After", "1" } }).away == std::chrono::seconds(3));
    for (const unsigned status : { 200U, 429U, 500U }) {
        CHECK_FALSE(read({ { "Retry-After", "3" } }, status).away);
        CHECK(read({ { "Retry-After", "soon" } }, status).unreadable == 0);
    }
}
