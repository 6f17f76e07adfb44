#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Entry
{

/// Fair queue of the calls of one service that wait for a server. The next call is that of the customer with the fewest served
/// calls; ties are broken by the earliest deadline. The calls of a customer are ordered by deadline.
class DeadlineQueue
{
public:
    /// Adds a call, which must not be in the queue already.
    void push(const CustomerId &customer, Instant deadline, CallId call);
    /// The call with the earliest deadline over all customers; pop() may return another one first.
    std::optional<CallId> earliest() const;
    /// Removes and returns the next call, and counts it as served.
    std::optional<CallId> pop();
    /// Removes a waiting call without counting it as served.
    void remove(const CustomerId &customer, Instant deadline, CallId call);
    /// Decrements the served count of the customer, because a popped call was not run. Must precede a push() of the same call.
    void undoServed(const CustomerId &customer);

    std::size_t size() const;
    bool empty() const;

private:
    struct CustomerRow {
        std::set<std::pair<Instant, CallId>> waiting;
        /// Virtual time of the customer: its served calls, counted from m_virtualTime when it was last idle.
        std::uint64_t served = 0;
    };

    /// True when \p a is served before \p b. Both must have queued calls.
    static bool isBefore(const CustomerRow &a, const CustomerRow &b);
    std::map<CustomerId, CustomerRow>::iterator nextCustomer();

    std::map<CustomerId, CustomerRow> m_customers;
    /// The highest served count of any customer when it was served. A customer that was idle starts at this count, so that it
    /// accumulates no precedence while idle.
    std::uint64_t m_virtualTime = 0;
    std::size_t m_size = 0;
};

}
