#include "net/framestream.h"

namespace Galenabarrow::Net
{

FrameStream::FrameStream(std::shared_ptr<Stream> stream, const Wire::FrameCodec &codec)
    : m_stream(std::move(stream))
    , m_codec(codec)
{
    m_stream->onData([this](std::string_view bytes) { receive(bytes); });
    m_stream->onEnd([this](StreamEnd) { end(Error { ResultCode::Unreachable, "the connection ended" }); });
}

FrameStream::~FrameStream()
{
    *m_isAlive = false;
    close();
}

void FrameStream::onFrame(FrameCallback callback)
{
    m_frameCallback = std::move(callback);
}

void FrameStream::onEnd(EndCallback callback)
{
    m_endCallback = std::move(callback);
}

void FrameStream::send(const std::vector<std::uint8_t> &body)
{
    const std::vector<std::uint8_t> frame = m_codec.seal(body);
    m_stream->write(std::string_view(reinterpret_cast<const char *>(frame.data()), frame.size()));
}

bool FrameStream::isOpen() const
{
    return m_stream->isOpen();
}

std::size_t FrameStream::unsent() const
{
    return m_stream->unsent();
}

bool FrameStream::hasPartialFrame() const
{
    return !m_input.empty();
}

std::uint64_t FrameStream::received() const
{
    return m_received;
}

void FrameStream::close()
{
    m_stream->close();
}

void FrameStream::receive(std::string_view bytes)
{
    m_input.append(bytes);
    m_received += bytes.size();
    std::size_t used = 0;
    const std::shared_ptr<bool> isAlive = m_isAlive;
    while (m_input.size() - used >= Wire::FrameHeaderSize) {
        const auto *data = reinterpret_cast<const std::uint8_t *>(m_input.data()) + used;
        const std::span<const std::uint8_t, Wire::FrameHeaderSize> header(data, Wire::FrameHeaderSize);
        const Result<std::size_t> length = m_codec.bodyLength(header);
        if (!length) {
            end(length.error());
            return;
        }
        if (m_input.size() - used < Wire::FrameHeaderSize + *length) {
            break;
        }
        std::vector<std::uint8_t> body(data + Wire::FrameHeaderSize, data + Wire::FrameHeaderSize + *length);
        if (const Result<void> checked = m_codec.verify(header, body); !checked) {
            end(checked.error());
            return;
        }
        used += Wire::FrameHeaderSize + *length;
        if (m_frameCallback) {
            m_frameCallback(std::move(body));
        }
        if (!*isAlive || !isOpen()) {
            return;
        }
    }
    m_input.erase(0, used);
}

void FrameStream::end(const Error &error)
{
    const EndCallback callback = std::move(m_endCallback);
    m_stream->close();
    if (callback) {
        callback(error);
    }
}

}
