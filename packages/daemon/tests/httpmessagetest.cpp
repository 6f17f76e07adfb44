#include "daemon/httpmessage.h"

#include <sstream>

#include <catch2/catch.hpp>

using namespace Galenabarrow::Daemon;

// Guards against header lines, or a second message on a pooled connection, that a caller or a server smuggles in an encoded
// word: Poco decodes "=?UTF-8?B?DQpFdmlsOiAx?=" to a line break and "Evil: 1".
TEST_CASE("a decoded line break in a header adds no header line", "[daemon]")
{
    std::istringstream stream("GET / HTTP/1.1\r\nFirst: =?UTF-8?B?DQpFdmlsOiAx?=\r\n\r\n");
    Poco::Net::HTTPRequest head;
    head.read(stream);
    std::string text;
    appendHeader(text, "First", head.get("First"));
    REQUIRE(text.find("Evil: 1") != std::string::npos);
    REQUIRE(text.find_first_of("\r\n") == text.size() - 2);
}
