#include "daemon/enginedependencies.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Daemon
{

EngineDependencies::EngineDependencies(ClusterNode &cluster, Limits::CustomerLimits &limits, Actions::ActionRegistry &registry,
                                       std::function<void(Instant)> requestShares)
    : m_cluster(cluster)
    , m_limits(limits)
    , m_registry(registry)
    , m_requestShares(std::move(requestShares))
{
}

tl::expected<Entry::CallTerms, ResultCode> EngineDependencies::terms(const CustomerId &customer, const ServiceId &service) const
{
    if (m_cluster.feed().find(customer) == nullptr) {
        return tl::make_unexpected(ResultCode::NoContract);
    }
    const ServiceTerms *found = serviceTerms(customer, service);
    if (found == nullptr) {
        return tl::make_unexpected(ResultCode::ServiceNotInContract);
    }
    return Entry::CallTerms { found->maxDeadline, found->hedgePermille, found->retryPermille };
}

tl::expected<void, ResultCode> EngineDependencies::admit(const CustomerId &customer, Instant now)
{
    const tl::expected<void, ResultCode> admitted = m_limits.admit(customer, now);
    if (m_limits.isRequestDue()) {
        m_requestShares(now); // not at the next tick, because a burst may use up the share before it
    }
    return admitted;
}

std::optional<Instant> EngineDependencies::shareExpectedUntil(const CustomerId &customer, Instant now) const
{
    return m_limits.shareExpectedUntil(customer, now);
}

tl::expected<void, ResultCode> EngineDependencies::admitWaiting(const CustomerId &customer, Instant now)
{
    return m_limits.admitWaiting(customer, now);
}

void EngineDependencies::release(const CustomerId &customer, Instant now)
{
    m_limits.release(customer, now);
}

tl::expected<void, Entry::KeyRefusal> EngineDependencies::begin(const Actions::ActionKey &key, Instant now)
{
    const auto begun = key.scope ? m_registry.begin(key, now) : m_registry.beginClaimed(key, now);
    if (!begun) {
        return tl::make_unexpected(Entry::KeyRefusal { begun.error().outcome, begun.error().code });
    }
    return {};
}

void EngineDependencies::finish(const Actions::ActionKey &key, Outcome outcome, Instant now)
{
    m_registry.finish(key, outcome, now);
}

bool EngineDependencies::isFenced(Instant now) const
{
    return m_cluster.isFenced(now);
}

const ServiceTerms *EngineDependencies::serviceTerms(const CustomerId &customer, const ServiceId &service) const
{
    const Contract *contract = m_cluster.feed().find(customer);
    if (contract == nullptr) {
        return nullptr;
    }
    const auto it = std::find_if(contract->services.begin(), contract->services.end(),
                                 [&service](const ServiceTerms &terms) { return terms.service == service; });
    return it == contract->services.end() ? nullptr : &*it;
}

Entry::ServerRecord toServerRecord(const Membership::Record &record, Instant now)
{
    const auto &info = std::get<Membership::ServerInfo>(record.body);
    Entry::ServerRecord server;
    server.server = ServerId(record.key.id);
    server.service = info.service;
    server.dataCentre = info.dataCentre;
    server.incarnation = record.incarnation;
    server.slots = info.slots;
    server.reportedInFlight = record.load;
    server.reportAge = now - record.lastContactAt;
    server.draining = record.leaving;
    server.coldStart = info.coldStart;
    return server;
}

}
