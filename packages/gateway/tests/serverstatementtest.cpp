#include "gateway/serverstatement.h"

#include <catch2/catch.hpp>

#include "scriptedserver.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

Http::Response makeResponse(unsigned status, const std::vector<std::pair<std::string, std::string>> &fields)
{
    Http::Response response = Http::makeResponse(status);
    for (const auto &[name, value] : fields) {
        response.fields.add(name, value);
    }
    response.fields.add("x-leaving", "1");
    return response;
}

}

// Guards against another server's statements, and those in the response to another request.
TEST_CASE("a response says something of the server that its request was sent to, or nothing")
{
    struct Row {
        unsigned status;
        std::vector<std::pair<std::string, std::string>> fields;
        std::optional<StatementSource> source;
    };
    const std::vector<Row> rows = {
        { 200, { { "x-id", "id1" }, { "x-sign", "s" } }, StatementSource::Response },
        { 500, { { "x-id", "id1" }, { "x-sign", "s" } }, StatementSource::Response },
        { 503, { { "x-id", "id1" }, { "x-sign", "s" } }, StatementSource::Response },
        { 503, { { "x-id", "id1" }, { "x-not-run", "1" } }, StatementSource::Rejection },
        { 200, { { "x-id", "id1" }, { "x-sign", "s" }, { "x-server", "s1" } }, StatementSource::Response },
        { 200, { { "x-id", "id1" }, { "x-sign", "s" }, { "x-server", "s2" } }, std::nullopt },
        { 200, { { "x-id", "id2" }, { "x-sign", "s" } }, std::nullopt },
        { 200, { { "x-sign", "s" } }, std::nullopt },
        { 200, { { "x-id", "id1" } }, std::nullopt },
        { 421, { { "x-id", "id1" }, { "x-not-run", "1" } }, std::nullopt },
    };
    for (const Row &it : rows) {
        const auto statement = readStatement(makeResponse(it.status, it.fields), testHeaderNames(), ServerId("s1"), "id1");
        CHECK(statement.has_value() == it.source.has_value());
        if (statement && it.source) {
            CHECK(statement->source == *it.source);
            CHECK(statement->notices.isLeaving);
        }
    }
}

TEST_CASE("a response to a probe has to name its server")
{
    const ServerId server("s1");
    CHECK(readProbeStatement(makeResponse(503, { { "x-server", "s1" } }), testHeaderNames(), server));
    CHECK_FALSE(readProbeStatement(makeResponse(200, { { "x-server", "s2" } }), testHeaderNames(), server));
    CHECK_FALSE(readProbeStatement(makeResponse(200, {}), testHeaderNames(), server));
}
