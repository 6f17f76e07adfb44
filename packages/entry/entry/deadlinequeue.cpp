#include "entry/deadlinequeue.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace Galenabarrow::Entry
{

namespace
{
/// Rows of idle customers are erased when there are more rows than this.
constexpr std::size_t MaxIdleCustomers = 256;
}

void DeadlineQueue::push(const CustomerId &customer, Instant deadline, CallId call)
{
    CustomerRow &row = m_customers[customer];
    if (row.waiting.empty()) {
        row.served = std::max(row.served, m_virtualTime);
    }
    const bool isNew = row.waiting.emplace(deadline, call).second;
    assert(isNew);
    m_size += isNew ? 1 : 0;
}

bool DeadlineQueue::isBefore(const CustomerRow &a, const CustomerRow &b)
{
    // Few calls are queued at one entry, so most customers have equal counts, and the order among these decides the tail latency.
    return std::tie(a.served, *a.waiting.begin()) < std::tie(b.served, *b.waiting.begin());
}

std::map<CustomerId, DeadlineQueue::CustomerRow>::iterator DeadlineQueue::nextCustomer()
{
    auto best = m_customers.end();
    for (auto it = m_customers.begin(); it != m_customers.end(); ++it) {
        if (!it->second.waiting.empty() && (best == m_customers.end() || isBefore(it->second, best->second))) {
            best = it;
        }
    }
    return best;
}

std::optional<CallId> DeadlineQueue::earliest() const
{
    const std::pair<Instant, CallId> *best = nullptr;
    for (const auto &[id, row] : m_customers) {
        if (!row.waiting.empty() && (best == nullptr || *row.waiting.begin() < *best)) {
            best = &*row.waiting.begin();
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->second);
}

std::optional<CallId> DeadlineQueue::pop()
{
    if (m_size == 0) {
        return std::nullopt;
    }
    const auto customer = nextCustomer();
    CustomerRow &row = customer->second;
    const CallId call = row.waiting.begin()->second;
    row.waiting.erase(row.waiting.begin());
    m_virtualTime = std::max(m_virtualTime, row.served);
    ++row.served;
    --m_size;
    if (m_customers.size() > MaxIdleCustomers) {
        std::erase_if(m_customers, [](const auto &it) { return it.second.waiting.empty(); });
    }
    return call;
}

void DeadlineQueue::remove(const CustomerId &customer, Instant deadline, CallId call)
{
    const auto it = m_customers.find(customer);
    if (it != m_customers.end() && it->second.waiting.erase({ deadline, call }) > 0) {
        --m_size;
    }
}

void DeadlineQueue::undoServed(const CustomerId &customer)
{
    const auto it = m_customers.find(customer);
    if (it != m_customers.end() && it->second.served > 0) {
        --it->second.served;
    }
}

std::size_t DeadlineQueue::size() const
{
    return m_size;
}

bool DeadlineQueue::empty() const
{
    return m_size == 0;
}

}
