#include "http/message.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <Poco/Exception.h>
#include <Poco/URI.h>

namespace Galenabarrow::Http
{

namespace
{

struct ReasonRow {
    unsigned status;
    std::string_view reason;
};

constexpr std::array Reasons {
    ReasonRow { 100, "Continue" },
    ReasonRow { 200, "OK" },
    ReasonRow { 307, "Temporary Redirect" },
    ReasonRow { 400, "Bad Request" },
    ReasonRow { 401, "Unauthorized" },
    ReasonRow { 404, "Not Found" },
    ReasonRow { 405, "Method Not Allowed" },
    ReasonRow { 408, "Request Timeout" },
    ReasonRow { 412, "Precondition Failed" },
    ReasonRow { 413, "Content Too Large" },
    ReasonRow { 429, "Too Many Requests" },
    ReasonRow { 431, "Request Header Fields Too Large" },
    ReasonRow { 500, "Internal Server Error" },
    ReasonRow { 502, "Bad Gateway" },
    ReasonRow { 503, "Service Unavailable" },
    ReasonRow { 504, "Gateway Timeout" },
};

constexpr std::array<std::string_view, 10> ConnectionFields { "connection", "keep-alive",     "proxy-connection",
                                                              "te",         "trailer",        "transfer-encoding",
                                                              "upgrade",    "content-length", "proxy-authenticate",
                                                              "expect" };

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::vector<std::string> splitTokens(std::string_view text)
{
    std::vector<std::string> tokens;
    std::string token;
    for (const char it : text) {
        if (it == ',') {
            tokens.push_back(std::move(token));
            token.clear();
        } else if (it != ' ' && it != '\t') {
            token += it;
        }
    }
    tokens.push_back(std::move(token));
    return tokens;
}

void appendFields(std::string &out, const Fields &fields)
{
    for (const Field &it : fields.all()) {
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    }
}

void appendStatusAndFields(std::string &out, const Response &response)
{
    const std::string_view reason = response.reason.empty() ? reasonPhrase(response.status) : std::string_view(response.reason);
    out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reason).append("\r\n");
    appendFields(out, response.fields);
    if (!response.keepsAlive) {
        out.append("Connection: close\r\n");
    }
}

}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
}

void Fields::add(std::string_view name, std::string_view value)
{
    m_fields.push_back(Field { std::string(name), std::string(value) });
}

void Fields::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void Fields::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const Field &it) { return equalsIgnoringCase(it.name, name); });
}

const std::string *Fields::find(std::string_view name) const
{
    const auto it =
        std::find_if(m_fields.begin(), m_fields.end(), [name](const Field &field) { return equalsIgnoringCase(field.name, name); });
    return it == m_fields.end() ? nullptr : &it->value;
}

const std::vector<Field> &Fields::all() const
{
    return m_fields;
}

void Fields::removeConnectionFields()
{
    std::vector<std::string> named;
    for (const Field &it : m_fields) {
        if (equalsIgnoringCase(it.name, "connection")) {
            const std::vector<std::string> tokens = splitTokens(it.value);
            named.insert(named.end(), tokens.begin(), tokens.end());
        }
    }
    std::erase_if(m_fields, [&named](const Field &field) {
        const auto isName = [&field](std::string_view name) { return equalsIgnoringCase(field.name, name); };
        return std::any_of(ConnectionFields.begin(), ConnectionFields.end(), isName) || std::any_of(named.begin(), named.end(), isName);
    });
}

std::string_view Request::path() const
{
    const std::string_view whole(target);
    return whole.substr(0, whole.find('?'));
}

std::string Request::queryParameter(std::string_view name) const
{
    try {
        for (const auto &[key, value] : Poco::URI(target).getQueryParameters()) {
            if (key == name) {
                return value;
            }
        }
    } catch (const Poco::Exception &) {
        return {}; // a query that cannot be decoded has no parameters
    }
    return {};
}

Response makeResponse(unsigned status, std::string body)
{
    Response response;
    response.status = status;
    response.body = std::move(body);
    if (!response.body.empty()) {
        response.fields.add("Content-Type", "application/json");
    }
    return response;
}

std::string_view reasonPhrase(unsigned status)
{
    const auto it = std::find_if(Reasons.begin(), Reasons.end(), [status](const ReasonRow &row) { return row.status == status; });
    return it == Reasons.end() ? std::string_view("Unknown") : it->reason;
}

std::string serialize(const Request &request)
{
    return serializeHead(request, request.body.size()) + request.body;
}

std::string serializeHead(const Request &request, std::uint64_t bodyLength)
{
    std::string out;
    out.reserve(512);
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendFields(out, request.fields);
    const bool mayHaveBody = request.method != "GET" && request.method != "HEAD" && request.method != "DELETE";
    if (bodyLength > 0 || mayHaveBody) {
        out.append("Content-Length: ").append(std::to_string(bodyLength)).append("\r\n");
    }
    out.append("\r\n");
    return out;
}

std::string serializeHead(const Response &response, std::optional<std::uint64_t> bodyLength, bool isChunked)
{
    std::string out;
    out.reserve(512);
    appendStatusAndFields(out, response);
    if (bodyLength) {
        out.append("Content-Length: ").append(std::to_string(*bodyLength)).append("\r\n");
    } else if (isChunked) {
        out.append("Transfer-Encoding: chunked\r\n");
    }
    return out.append("\r\n");
}

std::string serialize(const Response &response, bool isHead)
{
    std::string out;
    out.reserve(response.body.size() + 512);
    appendStatusAndFields(out, response);
    const bool hasBody = response.status != 204 && response.status != 304;
    if (hasBody && !(isHead && response.body.empty())) {
        out.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    out.append("\r\n");
    if (hasBody && !isHead) {
        out.append(response.body);
    }
    return out;
}

}
