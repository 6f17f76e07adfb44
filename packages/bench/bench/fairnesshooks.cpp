#include "bench/fairnesshooks.h"

#include <utility>

namespace Galenabarrow::Bench
{

namespace
{

/// Interval at which an entry requests its leases; as in the daemon.
constexpr Duration ShareInterval = 1s;
/// Age of the leader's last confirmation by a quorum; an assumed value, about one heartbeat interval.
constexpr Duration ConfirmationAge = 100ms;

InstanceId entryName(std::uint32_t entry)
{
    return InstanceId("entry-" + std::to_string(10 + entry));
}

}

FairnessHooks::Admission::Admission(InstanceId self, Instant now)
    : limits(std::move(self), Incarnation(1), Limits::LimitTimes {}, now)
{
}

tl::expected<void, ResultCode> FairnessHooks::Admission::admit(const CustomerId &customer, Instant now)
{
    return limits.admit(customer, now);
}

void FairnessHooks::Admission::release(const CustomerId &customer, Instant now)
{
    limits.release(customer, now);
}

FairnessHooks::FairnessHooks(const Scenario &scenario, std::uint32_t customers, Contract contract)
    : m_scenario(scenario)
    , m_leader(Limits::LeaseTimes {})
{
    std::vector<InstanceId> registered;
    for (std::uint32_t n = 0; n < EntryCount; ++n) {
        registered.push_back(entryName(n));
        m_entries.push_back(std::make_unique<Admission>(entryName(n), Instant {}));
        m_entries.back()->nextRequest = Instant(ShareInterval * n / static_cast<std::int64_t>(EntryCount));
    }
    for (std::uint32_t n = 0; n < scenario.deployment.services.size(); ++n) {
        contract.services.push_back(ServiceTerms { ServiceId("s" + std::to_string(n)), {}, CallDeadline, 0, 0 });
    }
    contract.version = Version(1);
    for (std::uint32_t n = 0; n < customers; ++n) {
        contract.customer = CustomerId("c" + std::to_string(n));
        m_leader.setContract(contract);
        for (const auto &it : m_entries) {
            it->limits.setContract(contract, Instant {});
        }
    }
    m_leader.setRegisteredEntries(registered);
    m_leader.becomeLeader(Instant {});
    for (const auto &it : m_entries) {
        it->limits.setRegisteredEntries(registered, Instant {});
    }
}

Entry::AdmissionControl &FairnessHooks::admission(std::uint32_t entry)
{
    return *m_entries.at(entry);
}

void FairnessHooks::tick(Instant now)
{
    for (const auto &it : m_entries) {
        if (it->reply) {
            it->limits.applyReply(*it->reply, now);
            it->reply.reset();
        }
        if (now >= it->nextRequest) {
            it->nextRequest = now + ShareInterval;
            it->reply = m_leader.answer(it->limits.makeRequest(now), ConfirmationAge, now);
        }
    }
}

void FairnessHooks::callFinished(const PlannedCall &call, ResultCode code, bool isSuccess, Instant now)
{
    if (call.at < m_scenario.windowStart() || call.at >= m_scenario.windowEnd()) {
        return;
    }
    GroupResult &group = call.customer == ExcessCustomer ? excess : others;
    ++group.measurement.calls;
    if (isSuccess) {
        group.measurement.latencies.push_back(now - call.at);
        if (call.customer != ExcessCustomer) {
            Measurement &part = call.at < m_scenario.windowStart() + SettleTime ? firstOthers : laterOthers;
            part.latencies.push_back(now - call.at);
        }
    } else {
        ++group.refusals[code];
    }
}

}
