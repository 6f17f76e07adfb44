#pragma once

#include <functional>
#include <optional>

#include "actions/actionregistry.h"
#include "daemon/clusternode.h"
#include "entry/engineinterfaces.h"
#include "entry/serverrecord.h"
#include "limits/customerlimits.h"
#include "membership/record.h"

namespace Galenabarrow::Daemon
{

/// Provides the call engine with contracts, limits, action keys and freshness. Guarded by the lock of the ClusterNode.
class EngineDependencies final : public Entry::ContractView,
                                 public Entry::AdmissionControl,
                                 public Entry::ActionKeys,
                                 public Entry::FreshnessView
{
public:
    /// \p requestShares is called, with the lock held, when a call has made a share request due.
    EngineDependencies(ClusterNode &cluster, Limits::CustomerLimits &limits, Actions::ActionRegistry &registry,
                       std::function<void(Instant)> requestShares);

    tl::expected<Entry::CallTerms, ResultCode> terms(const CustomerId &customer, const ServiceId &service) const override;
    tl::expected<void, ResultCode> admit(const CustomerId &customer, Instant now) override;
    std::optional<Instant> shareExpectedUntil(const CustomerId &customer, Instant now) const override;
    tl::expected<void, ResultCode> admitWaiting(const CustomerId &customer, Instant now) override;
    void release(const CustomerId &customer, Instant now) override;
    tl::expected<void, Entry::KeyRefusal> begin(const Actions::ActionKey &key, Instant now) override;
    void finish(const Actions::ActionKey &key, Outcome outcome, Instant now) override;
    bool isFenced(Instant now) const override;

    /// The terms as the contract states them; null without a contract or when it does not name the service.
    const ServiceTerms *serviceTerms(const CustomerId &customer, const ServiceId &service) const;

private:
    ClusterNode &m_cluster;
    Limits::CustomerLimits &m_limits;
    Actions::ActionRegistry &m_registry;
    std::function<void(Instant)> m_requestShares;
};

/// The engine's view of a server's membership record.
Entry::ServerRecord toServerRecord(const Membership::Record &record, Instant now);

}
