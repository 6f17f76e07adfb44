#include "daemon/httpmessage.h"

#include <algorithm>
#include <sstream>

#include <Poco/Ascii.h>
#include <Poco/JSON/Object.h>

namespace Galenabarrow::Daemon
{

namespace
{

bool isLineEnd(char ch)
{
    return ch == '\r' || ch == '\n' || ch == '\0';
}

}

std::string_view HttpRequest::path() const
{
    const std::string_view uri = head.getURI();
    return uri.substr(0, uri.find('?'));
}

bool isSameHeader(std::string_view a, std::string_view b)
{
    // The length first: most comparisons are with another header.
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return Poco::Ascii::toLower(x) == Poco::Ascii::toLower(y); });
}

void appendHeader(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ");
    const auto begin = static_cast<std::ptrdiff_t>(head.size());
    head.append(value);
    std::replace_if(head.begin() + begin, head.end(), isLineEnd, ' ');
    head.append("\r\n");
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

HttpReply errorReply(int status, Outcome outcome, ResultCode code, std::string_view detail)
{
    const int number = static_cast<int>(code);
    Poco::JSON::Object object;
    object.set("code", number);
    object.set("name", std::string(resultCodeName(code)));
    object.set("detail", std::string(detail));
    std::ostringstream text;
    object.stringify(text);
    HttpReply reply;
    reply.status = status;
    reply.headers = { { OutcomeHeader, std::string(outcomeName(outcome)) }, { CodeHeader, std::to_string(number) } };
    reply.body = text.str();
    return reply;
}

}
