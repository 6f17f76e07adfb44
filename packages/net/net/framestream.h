#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/stream.h"
#include "wire/frame.h"

namespace Galenabarrow::Net
{

/// Frames of the system's own protocol over a stream. A frame that fails its checks ends the stream: what follows it
/// cannot be read either.
class FrameStream
{
public:
    using FrameCallback = std::function<void(std::vector<std::uint8_t>)>;
    /// Takes the reason as a code; Unreachable when the connection itself ended.
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
    /// Bytes that the socket has not taken yet.
    std::size_t unsent() const;
    /// Part of a frame has come, and the rest is on its way.
    bool hasPartialFrame() const;
    /// Bytes that came so far, those of a frame that is not complete yet included.
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
