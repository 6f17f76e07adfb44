#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenabarrow::Http
{

/// A header field as received.
struct Field {
    std::string name;
    std::string value;
};

/// Header fields in order of insertion. Names are compared case-insensitively.
class Fields
{
public:
    void add(std::string_view name, std::string_view value);
    /// Replaces all fields of this name.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    /// The value of the first field of this name; null if there is none.
    const std::string *find(std::string_view name) const;
    const std::vector<Field> &all() const;
    /// Removes the connection-specific fields (RFC 9110, section 7.6.1), those listed in Connection, and Content-Length.
    void removeConnectionFields();

private:
    std::vector<Field> m_fields;
};

bool equalsIgnoringCase(std::string_view a, std::string_view b);

struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;
    bool keepsAlive = true;
    /// The caller understands a chunked response; false for HTTP/1.0.
    bool acceptsChunked = true;

    /// The target without its query.
    std::string_view path() const;
    /// The decoded value of a query parameter; empty if there is none or the query cannot be decoded.
    std::string queryParameter(std::string_view name) const;
};

/// The rest of the body of a response that is still being received. Its destruction ends the reception.
class BodySource
{
public:
    virtual ~BodySource() = default;
    /// The length of the whole body; absent if it is not known before its end.
    virtual std::optional<std::uint64_t> length() const = 0;
    /// Sets the callbacks for further bytes, and for the end: whether the body is complete. Neither is called before this returns.
    virtual void start(std::function<void(std::string_view)> data, std::function<void(bool isComplete)> end) = 0;
    /// Stops reading from the server, whose sending then stops as well.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

struct Response {
    unsigned status = 200;
    std::string reason;
    Fields fields;
    std::string body;
    bool keepsAlive = true;
    /// The body has no stated length and ended when the sender closed the connection.
    bool isCloseDelimited = false;
    /// Set if \c body is only the beginning, as the body is too large to be held.
    std::shared_ptr<BodySource> rest;
};

/// A response with an optional JSON body.
Response makeResponse(unsigned status, std::string body = {});
/// The standard reason phrase of \p status.
std::string_view reasonPhrase(unsigned status);

/// The bytes of a request, framed by Content-Length.
std::string serialize(const Request &request);
/// The bytes of a request up to its body, which has \p bodyLength bytes and is sent separately.
std::string serializeHead(const Request &request, std::uint64_t bodyLength);
/// The bytes of a response up to its body, framed by Content-Length if the length is known, else chunked if \p isChunked, else by the
/// end of the connection.
std::string serializeHead(const Response &response, std::optional<std::uint64_t> bodyLength, bool isChunked);
/// The bytes of a response, framed by Content-Length; a response to HEAD has no body.
std::string serialize(const Response &response, bool isHead);

}
