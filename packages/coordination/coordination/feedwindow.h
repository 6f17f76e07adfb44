#pragma once

#include <cstddef>
#include <cstdint>

namespace Galenabarrow::Coordination
{

/// Flow control for the updates to an entry: counts the bytes in flight. The core instance sends no update while more than
/// Limit are in flight. Changes then wait in its state, where a later change replaces an earlier one, rather than in the
/// send buffers of a slow link.
class FeedWindow
{
public:
    /// An entry on a link of 2 Mbit/s receives this in 65 ms.
    static constexpr std::uint64_t Limit = 16384;
    /// An entry reports at once after receiving this many bytes, well before the window is full.
    static constexpr std::uint64_t ReportAfter = 4096;

    void recordSent(std::size_t bytes);
    /// \p total is the number of bytes that the entry has received on this connection.
    void recordReceived(std::uint64_t total);
    bool isOpen() const;

private:
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

}
