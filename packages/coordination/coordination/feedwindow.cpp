#include "coordination/feedwindow.h"

#include <algorithm>

namespace Galenabarrow::Coordination
{

void FeedWindow::recordSent(std::size_t bytes)
{
    m_sent += bytes;
}

void FeedWindow::recordReceived(std::uint64_t total)
{
    // Clamped, since a peer may report more than was sent, or less than before.
    m_received = std::max(m_received, std::min(total, m_sent));
}

bool FeedWindow::isOpen() const
{
    return m_sent - m_received <= Limit;
}

}
