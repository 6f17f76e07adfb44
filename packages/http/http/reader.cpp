#include "http/reader.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Galenabarrow::Http
{

namespace beast = boost::beast::http;

namespace
{

/// A larger input buffer is released once it is parsed: a connection that stays open would hold it without any content.
constexpr std::size_t MaxKeptInput = std::size_t { 16 } * 1024;
/// The buffer of a chunked body from this size on grows by this factor, not twofold: each growth copies the body, and both copies are
/// resident until it ends. Memory that is reserved but not written is not resident.
constexpr std::size_t MinReservedBody = std::size_t { 256 } * 1024;
constexpr std::size_t GrowthFactor = 4;
/// Larger response headers are rejected.
constexpr std::uint32_t MaxResponseHeader = 65536;
/// An eager parser drops the error of a body above the limit when the input goes on after the header section, so the result would depend on
/// how the bytes are divided.
constexpr bool ParsesEagerly = false;

template<typename Parser>
std::size_t feedParser(Parser &parser, const std::string &input, std::size_t used, boost::beast::error_code &ec)
{
    return parser.put(boost::asio::const_buffer(input.data() + used, input.size() - used), ec);
}

/// Parses \p input until the message is complete or more bytes are needed, and removes the parsed bytes. The remaining bytes
/// belong to an incomplete header section, chunk header or trailer; more than \p maxPending of them fail.
template<typename Parser>
ReadState parseAvailable(Parser &parser, std::string &input, std::size_t maxPending, boost::beast::error_code &ec)
{
    std::size_t used = 0;
    while (used < input.size() && !parser.is_done()) {
        const std::size_t size = feedParser(parser, input, used, ec);
        used += size;
        if (ec == beast::error::need_more) {
            ec = {};
            break;
        }
        if (ec) {
            return ReadState::Failed;
        }
        if (size == 0) {
            break;
        }
    }
    input.erase(0, used);
    if (input.capacity() > MaxKeptInput && input.size() < input.capacity() / 2) {
        input.shrink_to_fit();
    }
    if (parser.is_done()) {
        return ReadState::Complete;
    }
    if (input.size() > maxPending) {
        ec = beast::error::header_limit;
        return ReadState::Failed;
    }
    return parser.got_some() || !input.empty() ? ReadState::Partial : ReadState::Idle;
}

template<typename From>
Fields toFields(const From &from)
{
    Fields fields;
    for (const auto &it : from) {
        fields.add(std::string_view(it.name_string().data(), it.name_string().size()),
                   std::string_view(it.value().data(), it.value().size()));
    }
    return fields;
}

}

struct RequestReader::Parser {
    beast::request_parser<beast::string_body> parser;
};

RequestReader::RequestReader(ReaderLimits limits)
    : m_limits(limits)
{
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader &&) noexcept = default;

void RequestReader::setLimits(ReaderLimits limits)
{
    m_limits = limits;
}

ReadState RequestReader::feed(std::string_view bytes)
{
    if (m_state == ReadState::Failed) {
        return m_state;
    }
    m_input.append(bytes);
    if (m_state == ReadState::Partial && hasHeader()) {
        reserveBody(bytes.size());
    }
    return m_state == ReadState::Complete ? m_state : parse();
}

void RequestReader::reserveBody(std::size_t more)
{
    std::string &body = m_parser->parser.get().body();
    if (m_parser->parser.content_length() || body.size() < MinReservedBody || body.capacity() - body.size() >= more) {
        return;
    }
    const std::size_t wanted = std::min(std::max(GrowthFactor * body.size(), body.size() + more), m_limits.bodyBytes);
    if (wanted > body.capacity()) {
        body.reserve(wanted);
    }
}

ReadState RequestReader::state() const
{
    return m_state;
}

bool RequestReader::hasHeader() const
{
    return m_parser != nullptr && m_parser->parser.is_header_done();
}

bool RequestReader::consumeExpectContinue()
{
    if (!hasHeader() || m_isExpectContinueHandled || m_state != ReadState::Partial) {
        return false;
    }
    m_isExpectContinueHandled = true;
    const auto it = m_parser->parser.get().find(beast::field::expect);
    return it != m_parser->parser.get().end() && boost::beast::iequals(it->value(), "100-continue");
}

ResultCode RequestReader::failure() const
{
    return m_failure;
}

std::optional<std::uint64_t> RequestReader::statedBodyLength() const
{
    if (!hasHeader() || !m_parser->parser.content_length()) {
        return std::nullopt;
    }
    return *m_parser->parser.content_length();
}

Request RequestReader::head() const
{
    Request request;
    const auto &message = m_parser->parser.get();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = toFields(message);
    request.keepsAlive = m_parser->parser.keep_alive();
    request.acceptsChunked = message.version() >= 11;
    return request;
}

std::string RequestReader::takeBody()
{
    return std::exchange(m_parser->parser.get().body(), {});
}

std::size_t RequestReader::heldBytes() const
{
    return m_input.size() + (m_parser == nullptr ? 0 : m_parser->parser.get().body().size() + m_headBytes);
}

void RequestReader::clear()
{
    m_parser.reset();
    std::string().swap(m_input); // an assignment would keep the buffer
    m_headBytes = 0;
    m_state = ReadState::Idle;
}

Request RequestReader::take()
{
    Request request = head();
    request.body = takeBody();
    m_parser.reset();
    m_headBytes = 0;
    m_isExpectContinueHandled = false;
    m_state = ReadState::Idle;
    parse();
    return request;
}

ReadState RequestReader::parse()
{
    if (m_parser == nullptr) {
        // Empty lines before a request are allowed (RFC 9112, section 2.2).
        m_input.erase(0, m_input.find_first_not_of("\r\n"));
        if (m_input.empty()) {
            m_state = ReadState::Idle;
            return m_state;
        }
        m_parser = std::make_unique<Parser>();
        m_parser->parser.eager(ParsesEagerly);
        m_parser->parser.header_limit(
            static_cast<std::uint32_t>(std::min<std::size_t>(m_limits.headerBytes, std::numeric_limits<std::uint32_t>::max())));
        m_parser->parser.body_limit(m_limits.bodyBytes);
    }
    const std::size_t size = m_input.size();
    boost::beast::error_code ec;
    m_state = parseAvailable(m_parser->parser, m_input, m_limits.headerBytes, ec);
    if (m_headBytes == 0 && m_parser->parser.is_header_done()) {
        m_headBytes = std::min(size - m_input.size(), m_limits.headerBytes);
    }
    if (m_state == ReadState::Failed) {
        m_failure = ec == beast::error::header_limit ? ResultCode::HeaderTooLarge
            : ec == beast::error::body_limit         ? ResultCode::BodyTooLarge
                                                     : ResultCode::HeaderInvalid;
    }
    return m_state;
}

struct ResponseReader::Parser {
    beast::response_parser<beast::string_body> parser;
};

ResponseReader::ResponseReader() = default;
ResponseReader::~ResponseReader() = default;

void ResponseReader::expect(bool isHead, std::optional<std::uint64_t> maxBody)
{
    m_parser = std::make_unique<Parser>();
    m_parser->parser.eager(ParsesEagerly);
    m_parser->parser.header_limit(MaxResponseHeader);
    // The parser compares a stated length also with a limit that is absent, and finds every length above it.
    m_parser->parser.body_limit(maxBody.value_or(std::numeric_limits<std::uint64_t>::max()));
    m_parser->parser.skip(isHead);
    m_state = ReadState::Idle;
    if (!m_input.empty()) {
        parse();
    }
}

ReadState ResponseReader::feed(std::string_view bytes)
{
    if (m_state == ReadState::Failed) {
        return m_state;
    }
    m_input.append(bytes);
    return m_state == ReadState::Complete || m_parser == nullptr ? m_state : parse();
}

ReadState ResponseReader::finish()
{
    if (m_parser == nullptr || m_state != ReadState::Partial || !m_parser->parser.is_header_done()) {
        return m_state;
    }
    boost::beast::error_code ec;
    m_parser->parser.put_eof(ec);
    m_state = ec || !m_parser->parser.is_done() ? ReadState::Failed : ReadState::Complete;
    return m_state;
}

ReadState ResponseReader::state() const
{
    return m_state;
}

bool ResponseReader::hasSurplus() const
{
    return !m_input.empty() && (m_parser == nullptr || m_state == ReadState::Complete);
}

bool ResponseReader::hasHeader() const
{
    return m_parser != nullptr && m_parser->parser.is_header_done();
}

Response ResponseReader::head() const
{
    Response response;
    const auto &message = m_parser->parser.get();
    response.status = message.result_int();
    response.reason = std::string(message.reason());
    response.keepsAlive = m_parser->parser.keep_alive();
    response.isCloseDelimited = m_parser->parser.need_eof();
    response.fields = toFields(message);
    return response;
}

std::optional<std::uint64_t> ResponseReader::statedBodyLength() const
{
    if (!hasHeader() || !m_parser->parser.content_length()) {
        return std::nullopt;
    }
    return *m_parser->parser.content_length();
}

std::string ResponseReader::takeBody()
{
    return std::exchange(m_parser->parser.get().body(), {});
}

std::size_t ResponseReader::heldBytes() const
{
    return m_input.size() + (m_parser == nullptr ? 0 : m_parser->parser.get().body().size());
}

Response ResponseReader::take()
{
    Response response = head();
    response.body = takeBody();
    m_parser.reset();
    return response;
}

ReadState ResponseReader::parse()
{
    boost::beast::error_code ec;
    m_state = parseAvailable(m_parser->parser, m_input, MaxResponseHeader, ec);
    return m_state;
}

}
