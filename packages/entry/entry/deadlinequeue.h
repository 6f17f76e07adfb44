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

/// Calls of one service that wait for a server. The customer with the fewest served calls comes first, among equals the one
/// with the earliest deadline, and among its calls the one with the earliest deadline.
class DeadlineQueue
{
public:
    /// Adds a call that is not in the queue.
    void push(const CustomerId &customer, Instant deadline, CallId call);
    /// The call with the earliest deadline of all customers; it need not be the next one.
    std::optional<CallId> earliest() const;
    /// Takes the next call and counts it as served.
    std::optional<CallId> pop();
    /// Removes a waiting call without counting it as served.
    void remove(const CustomerId &customer, Instant deadline, CallId call);
    /// Takes back the count of a call that was taken but not run, before it is added again.
    void undoServed(const CustomerId &customer);

    std::size_t size() const;
    bool empty() const;

private:
    struct CustomerRow {
        std::set<std::pair<Instant, CallId>> waiting;
        /// Calls served since the customer was last idle, on a line that all customers share.
        std::uint64_t served = 0;
    };

    /// Both customers have waiting calls.
    static bool isBefore(const CustomerRow &a, const CustomerRow &b);
    std::map<CustomerId, CustomerRow>::iterator nextCustomer();

    std::map<CustomerId, CustomerRow> m_customers;
    /// The served count of the customer that was served last; a customer that was idle starts here and saves up nothing.
    std::uint64_t m_virtualTime = 0;
    std::size_t m_size = 0;
};

}
