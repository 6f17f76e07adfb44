#include "gateway/markbuilder.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

Http::Request makeRequest()
{
    Http::Request request;
    request.method = "POST";
    request.target = "/a/b?c=1";
    request.fields.add("Host", "shop.example");
    request.fields.add("Authorization", "Bearer k1");
    request.fields.add("x-id", "id1");
    request.body = "two sleepers";
    return request;
}

}

TEST_CASE("the attempts of a caller have the same mark")
{
    Http::Request other = makeRequest();
    other.fields.set("x-id", "id2");
    other.fields.add("x-wait", "900");
    CHECK(markOf(other) == markOf(makeRequest()));
    CHECK(markOf(other).place == placeOf(other));
}

// Guards against a request that is held back because it looks like somebody else's.
TEST_CASE("requests that differ in method, host, target, credentials or body have different marks")
{
    std::vector<Http::Request> others(6, makeRequest());
    others[0].method = "PUT";
    others[1].fields.set("Host", "other.example");
    others[2].target = "/a/b?c=2";
    others[3].fields.set("Authorization", "Bearer k2");
    others[4].body = "two sleeper";
    others[5].fields.set("Authorization", "Bearer k1two");
    others[5].body = " sleepers";
    const Coordination::RequestMark mark = markOf(makeRequest());
    for (const Http::Request &it : others) {
        CHECK(markOf(it).digestHigh != mark.digestHigh);
        CHECK(markOf(it).digestLow != mark.digestLow);
    }
}
