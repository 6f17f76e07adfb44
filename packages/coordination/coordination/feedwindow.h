#pragma once

#include <cstddef>
#include <cstdint>

namespace Galenabarrow::Coordination
{

/// Counts the bytes on their way to an entry. While more than Limit are, the core instance sends nothing: changes then
/// wait in its state, where a later one replaces an earlier one, and not in the buffers before a slow link.
class FeedWindow
{
public:
    /// An entry on a link of 2 Mbit/s receives this in 65 ms.
    static constexpr std::uint64_t Limit = 16384;
    /// An entry reports at once after this many bytes, well before the window is full.
    static constexpr std::uint64_t ReportAfter = 4096;

    void recordSent(std::size_t bytes);
    /// \p total are the bytes that the entry received on this connection.
    void recordReceived(std::uint64_t total);
    bool isOpen() const;

private:
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

}
