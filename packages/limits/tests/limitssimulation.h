#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "base/random.h"
#include "limits/customerlimits.h"
#include "limits/shareallocator.h"
#include "limits/sharecodec.h"
#include "testnetwork/lossynetwork.h"

namespace Galenabarrow::Limits
{

inline Contract makeContract(std::uint32_t rate, std::uint32_t burst, std::uint32_t concurrency)
{
    Contract contract;
    contract.customer = CustomerId("north");
    contract.version = Version(1);
    contract.services = { ServiceTerms { ServiceId("order-desk"), {}, std::chrono::seconds(2), 0, 0 } };
    contract.ratePerSecond = rate;
    contract.burst = burst;
    contract.concurrency = concurrency;
    return contract;
}

/// Checks that the calls admitted in every time span stay within rate x time + burst.
class RateCheck
{
public:
    void reset(const Contract &contract, Instant now)
    {
        m_contract = contract;
        m_level = 0;
        m_at = now;
    }

    /// False when the call exceeds the limit.
    bool admit(Instant now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_at).count();
        m_level = std::max(0.0, m_level - elapsed * m_contract.ratePerSecond) + 1;
        m_at = now;
        return m_level <= m_contract.burst + 1e-6;
    }

private:
    Contract m_contract;
    double m_level = 0;
    Instant m_at {};
};

/// 17 entries with their limits, two control instances of which one is the current leader, and the network between them.
class Simulation
{
public:
    static constexpr std::size_t EntryCount = 17;
    static constexpr Duration Tick = std::chrono::milliseconds(10);
    static constexpr Duration FenceLimit = std::chrono::seconds(5);
    /// A leader steps down after this time without a confirmation by a quorum.
    static constexpr Duration CheckQuorum = std::chrono::milliseconds(1500);

    Simulation(const Contract &contract, std::uint64_t seed)
        : m_random(seed)
        , m_network(m_random)
        , m_contract(contract)
    {
        for (std::size_t n = 0; n < EntryCount; ++n) {
            m_registered.push_back(idOf(n));
        }
        for (ShareAllocator &it : m_allocators) {
            it.setContract(contract);
            it.setRegisteredEntries(m_registered);
        }
        m_allocators[0].becomeLeader(m_now);
        for (std::size_t n = 0; n < EntryCount; ++n) {
            startEntry(n);
        }
        m_rate.reset(contract, m_now);
        m_allowed = contract;
    }

    /// Restarts the process of an entry; its calls end.
    void startEntry(std::size_t n)
    {
        Entry &entry = m_entries[n];
        m_inFlight -= static_cast<std::uint32_t>(entry.calls.size());
        entry.calls.clear();
        entry.limits = std::make_unique<CustomerLimits>(idOf(n), Incarnation(++m_lastIncarnation), LimitTimes { FenceLimit }, m_now);
        entry.updatedAt = m_now;
        entry.firstRequest = m_now + randomDuration(std::chrono::seconds(1));
        updateEntry(entry);
    }

    /// Elects the other control instance. The previous leader may continue until its check of the quorum fails.
    void changeLeader()
    {
        m_confirmedAt = m_now;
        m_leader = 1 - m_leader;
        ++m_leaderChanges;
        m_allocators[m_leader].becomeLeader(m_now);
    }

    /// Changes the contract. Until every entry knows it, the higher of the earlier and new limits are allowed.
    void setContract(Contract contract)
    {
        contract.version = next(m_contract.version);
        const Contract &earlier = m_isChanging ? m_allowed : m_contract;
        m_allowed.ratePerSecond = std::max(earlier.ratePerSecond, contract.ratePerSecond);
        m_allowed.burst = std::max(earlier.burst, contract.burst);
        m_allowed.concurrency = std::max(earlier.concurrency, contract.concurrency);
        m_rate.reset(m_allowed, m_now);
        m_contract = contract;
        m_changedAt = m_now;
        m_isChanging = true;
        for (ShareAllocator &it : m_allocators) {
            it.setContract(contract);
        }
    }

    void setRegistered(std::size_t count)
    {
        m_registered.clear();
        for (std::size_t n = 0; n < count; ++n) {
            m_registered.push_back(idOf(n));
        }
        for (ShareAllocator &it : m_allocators) {
            it.setRegisteredEntries(m_registered);
        }
    }

    void step()
    {
        m_now += m_tick;
        deliver();
        for (std::size_t n = 0; n < EntryCount; ++n) {
            Entry &entry = m_entries[n];
            // An entry learns of changes after a random delay. Without an update for 5 s it is fenced.
            if (!entry.isCutOff && m_random.below(m_ticksPerUpdate) == 0) {
                entry.updatedAt = m_now;
                updateEntry(entry);
                if (m_isReporting && std::exchange(entry.leaderChanges, m_leaderChanges) != m_leaderChanges) {
                    entry.limits->reportToNewLeader();
                    entry.sendsToAll = true;
                }
            }
            endCalls(entry);
            if (m_now >= entry.firstRequest) {
                requestShares(n);
            }
        }
        finishChange();
    }

    /// Starts a call of a random duration, up to the set maximum. False when the limits refuse it or the entry is fenced.
    bool call(std::size_t n)
    {
        Entry &entry = m_entries[n];
        if (m_now - entry.updatedAt >= FenceLimit) {
            return false;
        }
        const bool isAdmitted = entry.limits->admit(m_contract.customer, m_now).has_value();
        if (entry.limits->isRequestDue()) {
            requestShares(n);
        }
        if (!isAdmitted) {
            return false;
        }
        entry.calls.emplace(m_now + randomDuration(m_longestCall), true);
        ++m_admitted;
        ++m_inFlight;
        m_isRateWithinContract = m_rate.admit(m_now) && m_isRateWithinContract;
        m_isConcurrencyWithinContract = m_inFlight <= m_allowed.concurrency && m_isConcurrencyWithinContract;
        return true;
    }

    std::size_t leader() const
    {
        return EntryCount + m_leader;
    }

    bool isWithinContract() const
    {
        return m_isRateWithinContract && m_isConcurrencyWithinContract;
    }

    void setLongestCall(Duration longest)
    {
        m_longestCall = longest;
    }

    void setTicksPerUpdate(std::uint64_t ticks)
    {
        m_ticksPerUpdate = ticks;
    }

    void setTick(Duration tick)
    {
        m_tick = tick;
    }

    /// Sets whether entries report to a new leader when they learn of it.
    void setReporting(bool isReporting)
    {
        m_isReporting = isReporting;
    }

    /// The concurrency in force, summed over all entries.
    std::uint32_t concurrencyInForce()
    {
        std::uint32_t sum = 0;
        for (Entry &it : m_entries) {
            sum += it.limits->effectiveShare(m_contract.customer, m_now)->concurrency;
        }
        return sum;
    }

    std::uint64_t requests() const
    {
        return m_requests;
    }

    void cutOff(std::size_t n, bool isCutOff)
    {
        m_entries[n].isCutOff = isCutOff;
    }

    TestNetwork::LinkFaults &faults()
    {
        return m_network.faults();
    }

    RandomSource &random()
    {
        return m_random;
    }

    std::uint64_t admitted() const
    {
        return m_admitted;
    }

    std::uint32_t inFlight() const
    {
        return m_inFlight;
    }

    Instant now() const
    {
        return m_now;
    }

private:
    struct Entry {
        std::unique_ptr<CustomerLimits> limits;
        /// The entry knows every change made before this time.
        Instant updatedAt {};
        bool isCutOff = false;
        /// Time of the first request; differs between entries, so that they do not send at the same time.
        Instant firstRequest {};
        std::uint64_t leaderChanges = 0;
        /// Whether the next request goes to both control instances.
        bool sendsToAll = false;
        /// The calls in flight by the time at which they end.
        std::multimap<Instant, bool> calls;
    };

    static InstanceId idOf(std::size_t n)
    {
        return InstanceId("entry-" + std::to_string(10 + n));
    }

    Duration randomDuration(Duration limit)
    {
        return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(limit.count()))));
    }

    void updateEntry(Entry &entry)
    {
        entry.limits->setContract(m_contract, m_now);
        entry.limits->setRegisteredEntries(m_registered, m_now);
    }

    void requestShares(std::size_t n)
    {
        const std::optional<ShareRequest> request = m_entries[n].limits->takeRequest(m_now);
        if (!request) {
            return;
        }
        // After an election, some entries still send their requests to the previous leader.
        const bool usesOldLeader = m_now - m_confirmedAt < 2 * CheckQuorum && m_random.below(2) == 0;
        const std::size_t control = usesOldLeader ? 1 - m_leader : m_leader;
        ++m_requests;
        m_network.send(n, EntryCount + control, encode(*request), m_now);
        if (std::exchange(m_entries[n].sendsToAll, false)) {
            m_network.send(n, EntryCount + 1 - control, encode(*request), m_now);
        }
    }

    void endCalls(Entry &entry)
    {
        while (!entry.calls.empty() && entry.calls.begin()->first <= m_now) {
            entry.calls.erase(entry.calls.begin());
            entry.limits->release(m_contract.customer, m_now);
            --m_inFlight;
        }
    }

    void deliver()
    {
        for (const auto &it : m_network.takeArrived(m_now)) {
            if (it.to < EntryCount) {
                m_entries[it.to].limits->applyReply(*decodeShareReply(it.message), m_now);
                continue;
            }
            const std::size_t control = it.to - EntryCount;
            const Duration age = control == m_leader ? Duration::zero() : m_now - m_confirmedAt;
            if (age < CheckQuorum) {
                const ShareReply reply = m_allocators[control].answer(*decodeShareRequest(it.message), age, m_now);
                m_network.send(it.to, it.from, encode(reply), m_now);
            }
        }
    }

    // The new limits apply once every entry knows the contract or is fenced, and the calls admitted before have ended.
    void finishChange()
    {
        if (m_isChanging && m_now - m_changedAt >= FenceLimit + std::chrono::seconds(2) + m_tick) {
            m_isChanging = false;
            m_allowed = m_contract;
            m_rate.reset(m_contract, m_now);
        }
    }

    SeededRandom m_random;
    TestNetwork::LossyNetwork<std::vector<std::uint8_t>> m_network;
    Contract m_contract;
    Instant m_now = Instant(std::chrono::hours(1));
    std::vector<InstanceId> m_registered;
    std::array<ShareAllocator, 2> m_allocators { ShareAllocator({}), ShareAllocator({}) };
    std::size_t m_leader = 0;
    Instant m_confirmedAt {};
    std::uint64_t m_leaderChanges = 0;
    bool m_isReporting = true;
    std::array<Entry, EntryCount> m_entries;
    std::uint64_t m_lastIncarnation = 0;
    Duration m_longestCall = std::chrono::seconds(2);
    std::uint64_t m_ticksPerUpdate = 200;
    Duration m_tick = Tick;
    std::uint64_t m_requests = 0;
    RateCheck m_rate;
    /// The limits that all entries together must not exceed.
    Contract m_allowed;
    Instant m_changedAt {};
    bool m_isChanging = false;
    std::uint64_t m_admitted = 0;
    std::uint32_t m_inFlight = 0;
    bool m_isRateWithinContract = true;
    bool m_isConcurrencyWithinContract = true;
};

}
