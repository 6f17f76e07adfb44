#include "gateway/decisiontrail.h"

namespace Galenabarrow::Gateway
{

void DecisionTrail::add(Duration since, std::string_view decision, std::string_view detail)
{
    const std::string time = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
    constexpr std::size_t Separators = 3;
    const std::size_t added = time.size() + decision.size() + detail.size() + Separators;
    if (m_omitted > 0 || m_text.size() + added > MaxBytes) {
        ++m_omitted;
        return;
    }
    m_text.append(m_text.empty() ? "" : ",").append(time).append(":").append(decision).append("=").append(detail);
}

std::string DecisionTrail::text() const
{
    return m_omitted == 0 ? m_text : m_text + "...+" + std::to_string(m_omitted);
}

}
