#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/resultcode.h"
#include "http/message.h"

namespace Galenabarrow::Http
{

enum class ReadState {
    /// No byte of the message has been read.
    Idle,
    /// Part of the message has been read.
    Partial,
    Complete,
    Failed,
};

/// Largest sizes of the parts of a request.
struct ReaderLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = std::size_t { 64 } * 1024 * 1024;
};

/// Incremental parser for the requests of one connection.
class RequestReader
{
public:
    explicit RequestReader(ReaderLimits limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;

    /// Applies to the next request.
    void setLimits(ReaderLimits limits);
    /// Adds received bytes and parses up to the end of the current request.
    ReadState feed(std::string_view bytes);
    ReadState state() const;
    /// The header section has been read completely.
    bool hasHeader() const;
    /// Returns true once per request, if the caller waits for "100 Continue" before it sends the body.
    bool consumeExpectContinue();
    /// The cause of ReadState::Failed: HeaderTooLarge, BodyTooLarge or HeaderInvalid.
    ResultCode failure() const;
    /// The length of the body as stated by Content-Length; absent before the header section has been read and for a chunked body.
    std::optional<std::uint64_t> statedBodyLength() const;
    /// The request of the header section that has been read, without its body, which takeBody() returns in parts.
    Request head() const;
    /// The bytes of the body that were received since the last call.
    std::string takeBody();
    /// Bytes of the request and of what follows it that are held here.
    std::size_t heldBytes() const;
    /// Drops what was read and what follows it.
    void clear();
    /// Returns the complete request, less what takeBody() has returned, and continues with the bytes that follow it.
    Request take();

private:
    struct Parser;
    ReadState parse();
    /// Makes room for \p more bytes of a large chunked body.
    void reserveBody(std::size_t more);

    ReaderLimits m_limits;
    std::unique_ptr<Parser> m_parser;
    std::string m_input;
    ReadState m_state = ReadState::Idle;
    ResultCode m_failure = ResultCode::Ok;
    bool m_isExpectContinueHandled = false;
    /// Bytes fed for the current request until its header section was read, and the size of that.
    std::size_t m_headBytes = 0;
};

/// Larger response bodies are rejected, unless they are taken in parts.
constexpr std::uint64_t MaxResponseBody = std::uint64_t { 64 } * 1024 * 1024;

/// Incremental parser for the responses of one connection to a backend server.
class ResponseReader
{
public:
    ResponseReader();
    ~ResponseReader();

    /// Starts to read the response to a new request. With \p isHead it has no body, whatever Content-Length states. \p maxBody: the
    /// largest accepted body; absent for no limit, if the body is taken in parts.
    void expect(bool isHead, std::optional<std::uint64_t> maxBody = MaxResponseBody);
    ReadState feed(std::string_view bytes);
    /// Handles an orderly close by the peer, which completes a response without a stated length.
    ReadState finish();
    ReadState state() const;
    /// There are bytes after the complete response or before expect() was called, which belong to no request.
    bool hasSurplus() const;
    /// The header section has been read completely.
    bool hasHeader() const;
    /// The response of the header section that has been read, without its body.
    Response head() const;
    /// The length of the body as stated by Content-Length.
    std::optional<std::uint64_t> statedBodyLength() const;
    /// The bytes of the body that were received since the last call.
    std::string takeBody();
    /// Bytes of the response and of what follows it that are held here.
    std::size_t heldBytes() const;
    /// Returns the complete response, less what takeBody() has returned.
    Response take();

private:
    struct Parser;
    ReadState parse();

    std::unique_ptr<Parser> m_parser;
    std::string m_input;
    ReadState m_state = ReadState::Idle;
};

}
