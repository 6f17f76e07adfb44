#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/stream.h"
#include "wire/frame.h"

namespace Galenabarrow::Net
{

/// Sends and receives frames over a stream. An invalid frame ends the stream, since the start of the next one cannot be found.
class FrameStream
{
public:
    using FrameCallback = std::function<void(std::vector<std::uint8_t>)>;
    /// Receives the cause; Unreachable if the connection itself ended.
    using EndCallback = std::function<void(const Error &)>;

    /// \p codec must outlive the stream.
    FrameStream(std::shared_ptr<Stream> stream, const Wire::FrameCodec &codec);
    ~FrameStream();
    FrameStream(const FrameStream &) = delete;
    FrameStream &operator=(const FrameStream &) = delete;

    void onFrame(FrameCallback callback);
    void onEnd(EndCallback callback);
    void send(const std::vector<std::uint8_t> &body);
    bool isOpen() const;
    /// Number of queued bytes that the socket has not accepted yet.
    std::size_t unsent() const;
    /// Part of a frame has been received.
    bool hasPartialFrame() const;
    /// Number of bytes received so far, including those of an incomplete frame.
    std::uint64_t received() const;
    void close();

private:
    void receive(std::string_view bytes);
    void end(const Error &error);

    std::shared_ptr<Stream> m_stream;
    const Wire::FrameCodec &m_codec;
    std::string m_input;
    std::uint64_t m_received = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    FrameCallback m_frameCallback;
    EndCallback m_endCallback;
};

}
