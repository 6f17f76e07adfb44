#include "net/memorybudget.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Galenabarrow::Net
{

MemoryBudget::MemoryBudget(MemoryBudgetSettings settings)
    : m_settings(settings)
{
}

bool MemoryBudget::isLimited() const
{
    return m_settings.limit > 0;
}

MemoryBudget::Level MemoryBudget::level() const
{
    return m_level;
}

std::size_t MemoryBudget::used() const
{
    return m_used;
}

std::size_t MemoryBudget::limit() const
{
    return m_settings.limit;
}

const MemoryBudgetCounters &MemoryBudget::counters() const
{
    return m_counters;
}

void MemoryBudget::onLevelChanged(std::function<void(Level)> callback)
{
    m_levelCallback = std::move(callback);
}

void MemoryBudget::recordRejection()
{
    ++m_counters.rejected;
}

std::size_t MemoryBudget::threshold(double fraction) const
{
    return static_cast<std::size_t>(static_cast<double>(m_settings.limit) * fraction);
}

void MemoryBudget::replace(std::size_t before, std::size_t after)
{
    assert(m_used >= before);
    m_used = m_used - before + after;
    if (isLimited()) {
        updateLevel();
    }
}

void MemoryBudget::updateLevel()
{
    const double leaveExhausted = (m_settings.tight + m_settings.exhausted) / 2;
    Level level = m_level;
    if (m_used >= threshold(m_level == Level::Exhausted ? leaveExhausted : m_settings.exhausted)) {
        level = Level::Exhausted;
    } else if (m_used >= threshold(m_settings.tight) || (m_level != Level::Normal && m_used > threshold(m_settings.relief))) {
        level = Level::Tight;
    } else {
        level = Level::Normal;
    }
    if (level == m_level) {
        return;
    }
    const Level before = std::exchange(m_level, level);
    m_counters.tight += before == Level::Normal ? 1 : 0;
    if (m_levelCallback) {
        m_levelCallback(level);
    }
    if (level == Level::Normal) {
        for (const MemoryAccount *it : m_accounts) {
            it->m_holder.onMemoryRelief();
        }
    }
}

void MemoryBudget::sweep(Instant now)
{
    const bool isFirst = now - m_lastSweep > 2 * SweepInterval; // an earlier sweep belongs to an earlier shortage
    const double elapsed = std::chrono::duration<double>(now - m_lastSweep).count();
    m_lastSweep = now;
    if (m_level == Level::Normal) {
        return;
    }
    struct Stalled {
        std::size_t bytes;
        MemoryHolder *holder;
        const MemoryAccount *account;
    };
    std::vector<Stalled> stalled;
    for (MemoryAccount *it : m_accounts) {
        const MemoryUse use = it->m_holder.memoryUse();
        const auto moved = static_cast<double>(use.moved - std::exchange(it->m_movedAtSweep, use.moved));
        const bool isFast = moved >= elapsed * static_cast<double>(m_settings.minBytesPerSecond);
        if (isFirst || isFast || use.isWaitingForUs || use.bytes < m_settings.minEvicted) {
            it->m_progressAt = now;
        } else if (now - it->m_progressAt >= m_settings.progressTimeout) {
            stalled.push_back({ use.bytes, &it->m_holder, it });
        }
    }
    std::sort(stalled.begin(), stalled.end(), [](const Stalled &a, const Stalled &b) { return a.bytes > b.bytes; });
    for (const Stalled &it : stalled) {
        if (m_level == Level::Normal) {
            return;
        }
        // The end of one connection may have ended others.
        if (std::find(m_accounts.begin(), m_accounts.end(), it.account) != m_accounts.end()) {
            ++m_counters.evicted;
            it.holder->onMemoryEviction();
        }
    }
}

MemoryAccount::MemoryAccount(MemoryBudget *budget, MemoryHolder &holder)
    : m_budget(budget)
    , m_holder(holder)
{
    if (m_budget != nullptr) {
        m_index = m_budget->m_accounts.size();
        m_budget->m_accounts.push_back(this);
        m_progressAt = m_budget->m_lastSweep;
    }
}

MemoryAccount::~MemoryAccount()
{
    if (m_budget == nullptr) {
        return;
    }
    m_budget->m_accounts[m_index] = m_budget->m_accounts.back();
    m_budget->m_accounts[m_index]->m_index = m_index;
    m_budget->m_accounts.pop_back();
    m_budget->replace(m_bytes, 0);
}

void MemoryAccount::update()
{
    if (m_budget != nullptr) {
        const std::size_t bytes = m_holder.memoryUse().bytes;
        m_budget->replace(std::exchange(m_bytes, bytes), bytes);
    }
}

bool MemoryAccount::mustPause() const
{
    if (m_budget == nullptr || m_budget->m_level == MemoryBudget::Level::Normal) {
        return false;
    }
    const bool isExhausted = m_budget->m_level == MemoryBudget::Level::Exhausted;
    return m_bytes >= (isExhausted ? m_budget->m_settings.minEvicted : m_budget->m_settings.largeHolding);
}

}
