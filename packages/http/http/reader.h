#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/resultcode.h"
#include "http/message.h"

namespace Galenabarrow::Http
{

enum class ReadState {
    /// Nothing of the message was read yet.
    Idle,
    /// A part of the message was read.
    Partial,
    Complete,
    Failed,
};

/// What a caller may send.
struct ReaderLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = std::size_t { 64 } * 1024 * 1024;
};

/// Reads requests from the bytes of one connection, one after the other.
class RequestReader
{
public:
    explicit RequestReader(ReaderLimits limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;

    /// Applies to the next request.
    void setLimits(ReaderLimits limits);
    /// Adds bytes. Reads no further than the end of the current request.
    ReadState feed(std::string_view bytes);
    ReadState state() const;
    /// The header section was read whole.
    bool hasHeader() const;
    /// The caller waits for "100 Continue" before it sends the body. True once for a request.
    bool consumeExpectContinue();
    /// HeaderTooLarge, BodyTooLarge or HeaderInvalid, after Failed.
    ResultCode failure() const;
    /// The complete request; the reader goes on with the bytes behind it.
    Request take();

private:
    struct Parser;
    ReadState parse();

    ReaderLimits m_limits;
    std::unique_ptr<Parser> m_parser;
    std::string m_input;
    ReadState m_state = ReadState::Idle;
    ResultCode m_failure = ResultCode::Ok;
    bool m_isExpectContinueHandled = false;
};

/// Reads responses from the bytes of one connection to a backend server.
class ResponseReader
{
public:
    ResponseReader();
    ~ResponseReader();

    /// Starts with the response to a new request. \p isHead: the response has no body whatever its length says.
    void expect(bool isHead);
    ReadState feed(std::string_view bytes);
    /// The peer closed its side in order; completes a response without a length.
    ReadState finish();
    ReadState state() const;
    /// Bytes behind the complete response, or before the request was sent: they belong to no request.
    bool hasSurplus() const;
    Response take();

private:
    struct Parser;
    ReadState parse();

    std::unique_ptr<Parser> m_parser;
    std::string m_input;
    ReadState m_state = ReadState::Idle;
};

}
